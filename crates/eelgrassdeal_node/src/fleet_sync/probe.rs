//! Probes of the replicas that this node owns, and orders to group members whose state differs from
//! the configuration.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_http::check_status;
use eelgrassdeal_routing::LoadReport;
use eelgrassdeal_schema::config::{GroupRecord, Vm};
use eelgrassdeal_schema::engine::{EngineStatus, GroupOrder};
use eelgrassdeal_schema::peer::RevokeNotice;
use eelgrassdeal_schema::peer::peer_request::Body as RequestBody;
use eelgrassdeal_store::{record_control_traffic, request_size, response_head_size};
use eelgrassdeal_types::{ReplicaId, StartId};
use futures_util::future::join_all;
use sha2::{Digest, Sha256};

use super::loss::LossDetector;
use crate::slots::{ProbeResult, call_peer, record_probe_result, replicas_to_probe};
use crate::state::NodeState;

/// Interval between two probes of a replica. With [`PROBE_TIMEOUT`] and the lifetime of an
/// allowance (1 s) it bounds the time until no new requests go to a group that lost a member: 2 s.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Length of the digest of all members' start identities, in bytes.
const START_ID_BYTES: usize = 8;

const READY: &str = "ready";
const LOADING: &str = "loading";

/// Probes the replicas that this node owns until the task is dropped.
pub(crate) async fn probe_replicas(state: Rc<NodeState>) {
    let losses = Rc::new(LossDetector::new());
    loop {
        for id in replicas_to_probe(&state) {
            let (state, losses) = (state.clone(), losses.clone());
            compio::runtime::spawn(async move { probe_replica(&state, &losses, id).await })
                .detach();
        }
        compio::time::sleep(PROBE_INTERVAL).await;
    }
}

async fn probe_replica(state: &Rc<NodeState>, losses: &Rc<LossDetector>, id: ReplicaId) {
    let fleet = state.fleet();
    let result = match (fleet.group(&id), fleet.upstream(&id)) {
        (Some(group), _) => probe_group(state, losses, &fleet, group).await,
        (None, Some(upstream)) => probe_upstream(state, &upstream.address).await,
        (None, None) => return,
    };
    if let Some(notice) = record_probe_result(state, &id, result) {
        log::info!("replica {id} stopped serving: {}", notice.reason);
        send_revocations(state, &id, notice);
    }
}

/// Sends the notice to all reporters concurrently. A reporter that cannot be reached stops starting
/// requests at the replica when its allowance expires.
fn send_revocations(state: &Rc<NodeState>, id: &ReplicaId, notice: RevokeNotice) {
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
    losses: &Rc<LossDetector>,
    fleet: &Rc<FleetConfig>,
    group: &GroupRecord,
) -> ProbeResult {
    let sent_at = Instant::now();
    let members: Vec<Option<&Vm>> = group.members.iter().map(|vm| fleet.vm(vm)).collect();
    let statuses = join_all(members.iter().map(async |vm| match vm {
        Some(vm) => read_status(state, &vm.address).await,
        None => None,
    }))
    .await;
    let mut reason = None;
    // The leader fails when a member is lost, and an order would only make it fail again. So while
    // a member does not answer, those that are in the right group but not ready get no order.
    let is_complete = statuses.iter().all(Option::is_some);
    for (rank, status) in statuses.iter().enumerate() {
        let name = &group.members[rank];
        losses.record_probe(state, name, status.is_some());
        match status {
            None => reason = Some(format!("{name} does not answer")),
            Some(status) if !is_expected_member(group, rank, status) => {
                reason = Some(format!("{name} reports another group, generation or rank"));
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
    let outcome = match reason {
        Some(reason) => Err(reason),
        None => Ok(summarize(&statuses, sent_at)),
    };
    ProbeResult { generation: group.generation, sent_at, outcome }
}

/// Returns the load of the leader, and a start identity that changes when the start identity of any
/// member changes.
fn summarize(statuses: &[Option<EngineStatus>], sent_at: Instant) -> (LoadReport, StartId) {
    let statuses = || statuses.iter().flatten();
    let leader = statuses().next().cloned().unwrap_or_default();
    let mut hasher = Sha256::new();
    statuses().for_each(|status| hasher.update(&status.start_id));
    let start_id = hex::encode(&hasher.finalize()[..START_ID_BYTES]);
    let load = LoadReport {
        load: leader.running.saturating_add(leader.waiting),
        age: Duration::from_millis(leader.load_age_ms),
        probe_sent: sent_at,
    };
    (load, StartId::from(start_id))
}

/// Whether the status is that of the member with this rank in this generation of the group.
fn is_expected_member(group: &GroupRecord, rank: usize, status: &EngineStatus) -> bool {
    status.group == group.id
        && status.generation == group.generation
        && status.rank as usize == rank
}

/// Reads the status of an upstream. Returns `None` if there is no valid response within
/// [`PROBE_TIMEOUT`].
pub(crate) async fn read_status(state: &NodeState, address: &str) -> Option<EngineStatus> {
    let exchange = async {
        let builder = state.client.get(format!("http://{address}/status")).ok()?;
        let response = builder.send().await.ok()?;
        check_status(address, response.status()).ok()?;
        let head = response_head_size(response.headers());
        let bytes = response.bytes().await.ok()?;
        record_control_traffic("probe", request_size("/status", &[], 0), head + bytes.len());
        serde_json::from_slice(&bytes).ok()
    };
    compio::time::timeout(PROBE_TIMEOUT, exchange).await.ok().flatten()
}

/// Orders a member to join the group with its configured rank. A node whose configuration is not
/// confirmed sends no orders; otherwise two nodes with different configurations could repeatedly
/// overwrite each other's orders.
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
        // The token is sent only to engines that check it.
        if let (true, Some(token)) = (vm.authenticates_orders, &state.secrets.order) {
            builder = builder.bearer_auth(token).ok()?;
        }
        let response = builder.json(order).ok()?.send().await.ok()?;
        check_status(&vm.address, response.status()).ok()?;
        Some(response.status().as_u16())
    };
    let GroupOrder { group, rank, generation, .. } = order;
    match compio::time::timeout(ORDER_TIMEOUT, exchange).await {
        Ok(Some(200)) => {
            log::info!("ordered {} to join {group} generation {generation} as rank {rank}", vm.id);
        }
        Ok(Some(status)) => log::warn!("{} refused an order with HTTP status {status}", vm.id),
        Ok(None) | Err(_) => {
            log::warn!("{} did not answer an order within 2 s or could not be reached", vm.id)
        }
    }
}

async fn probe_upstream(state: &NodeState, address: &str) -> ProbeResult {
    let sent_at = Instant::now();
    let outcome = match read_status(state, address).await {
        Some(status) if status.state == READY => Ok(summarize(&[Some(status)], sent_at)),
        Some(status) => Err(format!("the upstream is {}", status.state)),
        None => Err("the upstream does not answer".to_owned()),
    };
    ProbeResult { generation: 0, sent_at, outcome }
}
