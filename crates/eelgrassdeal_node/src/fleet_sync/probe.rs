//! Probes of the replicas that this node owns, and orders to members that do not belong to their
//! recorded group.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_routing::LoadReport;
use eelgrassdeal_schema::config::{GroupRecord, Vm};
use eelgrassdeal_schema::engine::{EngineStatus, GroupOrder};
use eelgrassdeal_schema::peer::RevokeNotice;
use eelgrassdeal_schema::peer::peer_request::Body as RequestBody;
use eelgrassdeal_store::{record_control_traffic, request_size, response_head_size};
use eelgrassdeal_types::{ReplicaId, StartId};
use futures_util::future::join_all;
use sha2::{Digest, Sha256};

use super::loss::LossWatch;
use crate::slots::{ProbeResult, call_peer, note_probe, serving_replicas};
use crate::state::NodeState;

/// How often each replica is probed, and how long a probe may take. Together with the lifetime of
/// an allowance they bound the time until no new work goes to a group that lost a member: 2 s.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of the digest that stands for the start identities of all members.
const START_ID_BYTES: usize = 8;

const READY: &str = "ready";
const LOADING: &str = "loading";

/// Probes the replicas that this node owns until the task is dropped.
pub(crate) async fn probe_replicas(state: Rc<NodeState>) {
    let losses = Rc::new(LossWatch::new());
    loop {
        for id in serving_replicas(&state) {
            let (state, losses) = (state.clone(), losses.clone());
            compio::runtime::spawn(async move { probe_replica(&state, &losses, id).await })
                .detach();
        }
        compio::time::sleep(PROBE_INTERVAL).await;
    }
}

async fn probe_replica(state: &Rc<NodeState>, losses: &Rc<LossWatch>, id: ReplicaId) {
    let fleet = state.fleet();
    let result = match (fleet.group(&id), fleet.upstream(&id)) {
        (Some(group), _) => probe_group(state, losses, &fleet, group).await,
        (None, Some(upstream)) => probe_upstream(state, &upstream.address).await,
        (None, None) => return,
    };
    if let Some(notice) = note_probe(state, &id, result) {
        log::info!("replica {id} stops serving: {}", notice.reason);
        push_revocation(state, &id, notice);
    }
}

/// Tells every reporter at once; one that is out of reach stops when its allowance lapses.
fn push_revocation(state: &Rc<NodeState>, id: &ReplicaId, notice: RevokeNotice) {
    let reporters = {
        let mut slots = state.slots.borrow_mut();
        let node = slots.node.clone();
        slots.holder.apply_revoke(&node, &notice);
        let entry = slots.replicas.get(id);
        entry.map(|entry| entry.reporters.reporters().to_vec()).unwrap_or_default()
    };
    for reporter in reporters.into_iter().filter(|reporter| *reporter != state.node) {
        let (state, notice) = (state.clone(), notice.clone());
        compio::runtime::spawn(async move {
            call_peer(&state, &reporter, RequestBody::Revoke(notice)).await;
        })
        .detach();
    }
}

async fn probe_group(
    state: &Rc<NodeState>,
    losses: &Rc<LossWatch>,
    fleet: &Rc<FleetConfig>,
    group: &GroupRecord,
) -> ProbeResult {
    let sent = Instant::now();
    let members: Vec<Option<&Vm>> = group.members.iter().map(|vm| fleet.vm(vm)).collect();
    let statuses = join_all(members.iter().map(async |vm| match vm {
        Some(vm) => read_status(state, &vm.address).await,
        None => None,
    }))
    .await;
    let mut reason = None;
    // A leader fails when a member is lost; orders would only make it fail again.
    let is_complete = statuses.iter().all(Option::is_some);
    for (rank, status) in statuses.iter().enumerate() {
        let name = &group.members[rank];
        losses.note(state, name, status.is_some());
        match status {
            None => reason = Some(format!("{name} does not answer")),
            Some(status) if !belongs(group, rank, status) => {
                reason = Some(format!("{name} reports another group or generation"));
                order_member(state, fleet, group, rank);
            }
            Some(status) if status.state != READY => {
                reason = Some(format!("{name} is {}", status.state));
                if is_complete && status.state != LOADING {
                    order_member(state, fleet, group, rank);
                }
            }
            Some(_) => {}
        }
    }
    let found = match reason {
        Some(reason) => Err(reason),
        None => Ok(summarize(&statuses, sent)),
    };
    ProbeResult { generation: group.generation, sent, found }
}

/// Load of the leader, and a start identity that changes with that of any member.
fn summarize(statuses: &[Option<EngineStatus>], sent: Instant) -> (LoadReport, StartId) {
    let statuses = || statuses.iter().flatten();
    let leader = statuses().next().cloned().unwrap_or_default();
    let mut hasher = Sha256::new();
    statuses().for_each(|status| hasher.update(&status.start_id));
    let start = hex::encode(&hasher.finalize()[..START_ID_BYTES]);
    let load = LoadReport {
        running: leader.running.saturating_add(leader.waiting),
        age: Duration::from_millis(leader.load_age_ms),
        probe_sent: sent,
    };
    (load, StartId::from(start))
}

fn belongs(group: &GroupRecord, rank: usize, status: &EngineStatus) -> bool {
    status.group == group.id
        && status.generation == group.generation
        && status.rank as usize == rank
}

/// Asks an upstream for its status.
pub(crate) async fn read_status(state: &NodeState, address: &str) -> Option<EngineStatus> {
    let exchange = async {
        let builder = state.client.get(format!("http://{address}/status")).ok()?;
        let response = builder.send().await.ok()?;
        let head = response_head_size(response.headers());
        let bytes = response.bytes().await.ok()?;
        record_control_traffic("probe", request_size("/status", &[], 0), head + bytes.len());
        serde_json::from_slice(&bytes).ok()
    };
    compio::time::timeout(PROBE_TIMEOUT, exchange).await.ok().flatten()
}

/// Orders a member into its place. An unconfirmed node sends no orders, so that two nodes with
/// different configurations do not keep overwriting each other's.
fn order_member(state: &Rc<NodeState>, fleet: &FleetConfig, group: &GroupRecord, rank: usize) {
    if !state.confirmation.borrow().is_confirmed(Instant::now()) {
        return;
    }
    let Some(vm) = fleet.vm(&group.members[rank]).cloned() else { return };
    let address_of = |vm: &String| fleet.vm(vm).map(|vm| vm.address.clone());
    let order = GroupOrder {
        group: group.id.clone(),
        generation: group.generation,
        rank: u32::try_from(rank).unwrap_or(u32::MAX),
        member_addresses: group.members.iter().filter_map(address_of).collect(),
        model: group.model.clone(),
        version: group.version.clone(),
        fencing: group.fencing,
        weights_bytes: fleet
            .model(&group.model)
            .map_or(0, |model| model.weights_bytes / u64::from(model.vms_per_replica.max(1))),
    };
    let state = state.clone();
    compio::runtime::spawn(async move { send_order(&state, &vm, &order).await }).detach();
}

async fn send_order(state: &NodeState, vm: &Vm, order: &GroupOrder) {
    let exchange = async {
        let mut builder = state.client.post(format!("http://{}/order", vm.address)).ok()?;
        // The token goes only to engines that check it.
        if let (true, Some(token)) = (vm.authenticates_orders, &state.secrets.order) {
            builder = builder.bearer_auth(token).ok()?;
        }
        let response = builder.json(order).ok()?.send().await.ok()?;
        Some(response.status().as_u16())
    };
    let GroupOrder { group, rank, generation, .. } = order;
    match compio::time::timeout(ORDER_TIMEOUT, exchange).await {
        Ok(Some(200)) => {
            log::info!("ordered {} into {group} generation {generation} rank {rank}", vm.id);
        }
        Ok(Some(status)) => log::warn!("{} refused an order: status {status}", vm.id),
        Ok(None) | Err(_) => log::warn!("{} did not answer an order", vm.id),
    }
}

async fn probe_upstream(state: &NodeState, address: &str) -> ProbeResult {
    let sent = Instant::now();
    let found = match read_status(state, address).await {
        Some(status) if status.state == READY => Ok(summarize(&[Some(status)], sent)),
        Some(status) => Err(format!("the upstream is {}", status.state)),
        None => Err("the upstream does not answer".to_owned()),
    };
    ProbeResult { generation: 0, sent, found }
}
