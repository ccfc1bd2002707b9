//! Watches for workers that are lost, and records their loss for the planner.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_control::{FleetConfig, GroupPlan};
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{ConfigEntry, VmLoss};
use eelgrassdeal_schema::peer::ProbeRequest;
use eelgrassdeal_schema::peer::peer_reply::Body as ReplyBody;
use eelgrassdeal_schema::peer::peer_request::Body as RequestBody;
use eelgrassdeal_types::{NodeId, unix_ms_now};
use futures_util::future::join_all;

use super::append::append_edit;
use crate::slots::call_peer;
use crate::state::NodeState;

/// A worker that has not answered for this long is lost: three probes.
const LOSS_TIME: Duration = Duration::from_millis(1_500);
/// Peers that are asked whether they can reach a worker.
const WITNESSES: usize = 2;

/// Since when workers have not answered.
#[derive(Default)]
pub(super) struct LossWatch {
    silent: RefCell<BTreeMap<String, Instant>>,
}

impl LossWatch {
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Notes whether a worker answered a probe.
    pub(super) fn note(self: &Rc<Self>, state: &Rc<NodeState>, vm: &str, has_answered: bool) {
        let mut silent = self.silent.borrow_mut();
        if has_answered {
            silent.remove(vm);
            return;
        }
        let since = *silent.entry(vm.to_owned()).or_insert_with(Instant::now);
        if since.elapsed() >= LOSS_TIME && state.fleet().vm_loss(vm).is_none() {
            // Counts again from now, so that one loss is not recorded by every probe.
            silent.insert(vm.to_owned(), Instant::now());
            let (state, vm) = (state.clone(), vm.to_owned());
            compio::runtime::spawn(async move { record_loss(&state, &vm).await }).detach();
        }
    }
}

async fn record_loss(state: &Rc<NodeState>, vm: &str) {
    if is_reachable_elsewhere(state, vm).await {
        log::warn!("{vm} answers other nodes but not this one; its loss is not recorded");
        return;
    }
    let is_recorded = append_edit(state, |fleet| loss_edit(fleet, vm)).await;
    log::warn!("{vm} is lost; recorded: {is_recorded}");
}

/// Asks other reporters, so that an owner that is cut off itself does not have healthy groups
/// rebuilt.
async fn is_reachable_elsewhere(state: &Rc<NodeState>, vm: &str) -> bool {
    let address = match state.fleet().vm(vm) {
        Some(vm) => vm.address.clone(),
        None => return false,
    };
    let peers: Vec<NodeId> = {
        let slots = state.slots.borrow();
        let peers = slots.peers().into_iter();
        peers.filter(|peer| !slots.suspicion.is_suspected(peer)).take(WITNESSES).collect()
    };
    let answers = join_all(peers.iter().map(|peer| {
        let probe = ProbeRequest { address: address.clone() };
        call_peer(state, peer, RequestBody::Probe(probe))
    }))
    .await;
    answers.iter().any(|answer| match answer {
        Some(ReplyBody::Probe(reply)) => reply.is_reachable,
        _ => false,
    })
}

fn loss_edit(fleet: &FleetConfig, vm: &str) -> GroupPlan {
    match (fleet.vm(vm), fleet.vm_loss(vm)) {
        (Some(_), None) => {
            let loss = VmLoss { id: vm.to_owned(), since_unix_ms: unix_ms_now() };
            let entry = ConfigEntry { body: Some(Body::VmLoss(loss)) };
            GroupPlan { upsert: vec![entry], remove: Vec::new() }
        }
        _ => GroupPlan::default(),
    }
}
