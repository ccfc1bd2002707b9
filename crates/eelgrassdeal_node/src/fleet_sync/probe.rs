//! Checks replicas, and orders members that do not belong to their recorded group.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_schema::config::{GroupRecord, Vm};
use eelgrassdeal_schema::engine::{EngineStatus, GroupOrder};
use futures_util::future::join_all;

use crate::state::NodeState;

/// How often each replica is checked, and how long a check may take. Together with the lifetime of
/// a healthy result they bound the time until a lost member is noticed.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

const READY: &str = "ready";
const LOADING: &str = "loading";

/// Checks all replicas until the task is dropped.
pub(crate) async fn probe_replicas(state: Rc<NodeState>) {
    loop {
        let fleet = state.fleet();
        for group in fleet.groups() {
            compio::runtime::spawn(probe_group(state.clone(), fleet.clone(), group.id.clone()))
                .detach();
        }
        for upstream in fleet.upstreams() {
            let (id, address) = (upstream.id.clone(), upstream.address.clone());
            compio::runtime::spawn(probe_upstream(state.clone(), id, address)).detach();
        }
        compio::time::sleep(PROBE_INTERVAL).await;
    }
}

async fn probe_group(state: Rc<NodeState>, fleet: Rc<FleetConfig>, id: String) {
    let Some(group) = fleet.group(&id) else { return };
    let started = Instant::now();
    let members: Vec<Option<&Vm>> = group.members.iter().map(|vm| fleet.vm(vm)).collect();
    let statuses = join_all(members.iter().map(async |vm| match vm {
        Some(vm) => read_status(&state, &vm.address).await,
        None => None,
    }))
    .await;
    let mut reason = None;
    for (rank, status) in statuses.iter().enumerate() {
        let name = &group.members[rank];
        match status {
            None => reason = Some(format!("{name} does not answer")),
            Some(status) if !belongs(group, rank, status) => {
                reason = Some(format!("{name} reports another group or generation"));
                order_member(&state, &fleet, group, rank).await;
            }
            Some(status) if status.state != READY => {
                reason = Some(format!("{name} is {}", status.state));
                if status.state != LOADING {
                    order_member(&state, &fleet, group, rank).await;
                }
            }
            Some(_) => {}
        }
    }
    let health = reason.map_or(Ok(started), Err);
    state.replicas.borrow_mut().note_health(&group.id, group.generation, health);
}

fn belongs(group: &GroupRecord, rank: usize, status: &EngineStatus) -> bool {
    status.group == group.id
        && status.generation == group.generation
        && status.rank as usize == rank
}

async fn read_status(state: &NodeState, address: &str) -> Option<EngineStatus> {
    let exchange = async {
        let builder = state.client.get(format!("http://{address}/status")).ok()?;
        builder.send().await.ok()?.json().await.ok()
    };
    compio::time::timeout(PROBE_TIMEOUT, exchange).await.ok().flatten()
}

async fn order_member(state: &NodeState, fleet: &FleetConfig, group: &GroupRecord, rank: usize) {
    let Some(vm) = fleet.vm(&group.members[rank]) else { return };
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
    let exchange = async {
        let mut builder = state.client.post(format!("http://{}/order", vm.address)).ok()?;
        // The token goes only to engines that check it.
        if let (true, Some(token)) = (vm.authenticates_orders, &state.secrets.order) {
            builder = builder.bearer_auth(token).ok()?;
        }
        let response = builder.json(&order).ok()?.send().await.ok()?;
        Some(response.status().as_u16())
    };
    match compio::time::timeout(ORDER_TIMEOUT, exchange).await {
        Ok(Some(200)) => log::info!("ordered {} into {} rank {rank}", vm.id, group.id),
        Ok(Some(status)) => log::warn!("{} refused an order: status {status}", vm.id),
        Ok(None) | Err(_) => log::warn!("{} did not answer an order", vm.id),
    }
}

async fn probe_upstream(state: Rc<NodeState>, id: String, address: String) {
    let started = Instant::now();
    let health = match read_status(&state, &address).await {
        Some(status) if status.state == READY => Ok(started),
        Some(status) => Err(format!("the upstream is {}", status.state)),
        None => Err("the upstream does not answer".to_owned()),
    };
    state.replicas.borrow_mut().note_health(&id, 0, health);
}
