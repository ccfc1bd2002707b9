//! Detects lost workers, and records their loss in the configuration for the planner. A worker is a
//! VM that runs an engine.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_control::{ConfigPlan, FleetConfig};
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{ConfigEntry, VmLoss};
use eelgrassdeal_schema::peer::ProbeRequest;
use eelgrassdeal_schema::peer::peer_reply::Body as ReplyBody;
use eelgrassdeal_schema::peer::peer_request::Body as RequestBody;
use eelgrassdeal_types::{NodeId, unix_ms_now};
use futures_util::future::join_all;

use super::append::append_plan;
use crate::slots::call_peer;
use crate::state::NodeState;

/// Time without a response to probes after which a worker counts as lost. It spans three probe
/// intervals of 500 ms.
const LOSS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of peers that are asked whether they can reach a worker.
const WITNESS_COUNT: usize = 2;

/// Detects workers that have stopped answering probes.
#[derive(Default)]
pub(super) struct LossDetector {
    /// By VM, when its first unanswered probe was recorded, or when a task that records its loss
    /// was last started.
    silent_since: RefCell<BTreeMap<String, Instant>>,
}

impl LossDetector {
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Records whether a worker answered a probe. Starts a task that records its loss once it has
    /// not answered for [`LOSS_TIMEOUT`].
    pub(super) fn record_probe(
        self: &Rc<Self>,
        state: &Rc<NodeState>,
        vm: &str,
        has_answered: bool,
    ) {
        let mut silent_since = self.silent_since.borrow_mut();
        if has_answered {
            silent_since.remove(vm);
            return;
        }
        let since = *silent_since.entry(vm.to_owned()).or_insert_with(Instant::now);
        if since.elapsed() >= LOSS_TIMEOUT && state.fleet().vm_loss(vm).is_none() {
            // The timeout starts anew, so that not every further probe records the loss again.
            silent_since.insert(vm.to_owned(), Instant::now());
            let (state, vm) = (state.clone(), vm.to_owned());
            compio::runtime::spawn(async move { record_loss(&state, &vm).await }).detach();
        }
    }
}

async fn record_loss(state: &Rc<NodeState>, vm: &str) {
    if is_reachable_from_peers(state, vm).await {
        log::warn!("{vm} is reachable from another node but not from this one; loss not recorded");
        return;
    }
    let is_recorded = append_plan(state, |fleet| loss_plan(fleet, vm)).await;
    log::warn!("{vm} is lost; loss recorded: {is_recorded}");
}

/// Asks peers whether they reach the worker. Otherwise an owner that is partitioned itself would
/// cause healthy groups to be rebuilt.
async fn is_reachable_from_peers(state: &Rc<NodeState>, vm: &str) -> bool {
    let address = match state.fleet().vm(vm) {
        Some(vm) => vm.address.clone(),
        None => return false,
    };
    let peers: Vec<NodeId> = {
        let slots = state.slots.borrow();
        let peers = slots.reporter_peers().into_iter();
        peers
            .filter(|peer| !slots.failure_detector.is_suspected(peer))
            .take(WITNESS_COUNT)
            .collect()
    };
    let replies = join_all(peers.iter().map(|peer| {
        let probe = ProbeRequest { address: address.clone() };
        call_peer(state, peer, RequestBody::Probe(probe))
    }))
    .await;
    replies.iter().any(|reply| match reply {
        Some(ReplyBody::Probe(reply)) => reply.is_reachable,
        _ => false,
    })
}

/// Plan that adds the loss of `vm`; empty if the VM is not in the configuration or its loss is
/// recorded already.
fn loss_plan(fleet: &FleetConfig, vm: &str) -> ConfigPlan {
    match (fleet.vm(vm), fleet.vm_loss(vm)) {
        (Some(_), None) => {
            let loss = VmLoss { id: vm.to_owned(), since_unix_ms: unix_ms_now() };
            let entry = ConfigEntry { body: Some(Body::VmLoss(loss)) };
            ConfigPlan { upsert: vec![entry], remove: Vec::new() }
        }
        _ => ConfigPlan::default(),
    }
}
