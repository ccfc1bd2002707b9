//! Reports of this node to the owners of replicas, and pings of its peers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_routing::{ServePermission, SlotPolicy};
use eelgrassdeal_schema::peer::peer_reply::Body as ReplyBody;
use eelgrassdeal_schema::peer::peer_request::Body as RequestBody;
use eelgrassdeal_schema::peer::{PingRequest, ReportBatch};
use eelgrassdeal_types::NodeId;

use super::held_slot::dispatch_waiting;
use super::owner::handle_reports;
use super::peer::call_peer;
use crate::state::{NodePhase, NodeState};

/// How often the node checks whether reports are due or more requests wait.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// At short intervals, until the task is dropped, sends each due report to the owner of the replica
/// and starts the waiting requests for which a slot is free.
pub(crate) async fn send_reports(state: Rc<NodeState>) {
    loop {
        send_due_reports(&state);
        dispatch_waiting(&state);
        compio::time::sleep(REPORT_CHECK_INTERVAL).await;
    }
}

fn send_due_reports(state: &Rc<NodeState>) {
    let batches = {
        let mut slots = state.slots.borrow_mut();
        if slots.policy != SlotPolicy::Owner || state.phase.get() == NodePhase::Starting {
            return;
        }
        slots.update_demand();
        let owners = slots.owners();
        slots.holder.build_reports(Instant::now(), &owners)
    };
    for (owner, batch) in batches {
        if owner == state.node {
            let allowances = handle_reports(state, &state.node, &state.start_id, &batch);
            let mut slots = state.slots.borrow_mut();
            slots.holder.apply_allowances(Instant::now(), &owner, &allowances);
        } else {
            compio::runtime::spawn(send_report(state.clone(), owner, batch)).detach();
        }
    }
}

async fn send_report(state: Rc<NodeState>, owner: NodeId, batch: ReportBatch) {
    let reply = call_peer(&state, &owner, RequestBody::Report(batch)).await;
    if let Some(ReplyBody::Allowance(allowances)) = reply {
        let now = Instant::now();
        state.slots.borrow_mut().holder.apply_allowances(now, &owner, &allowances);
        dispatch_waiting(&state);
    }
}

/// Pings suspected peers until they reply, which clears the suspicion. While the configuration is
/// not confirmed, pings all of [`SlotTable::reporter_peers`] to determine whether a majority of
/// them is reachable. Also logs a warning at each interval while this node may start no requests.
///
/// [`SlotTable::reporter_peers`]: super::SlotTable::reporter_peers
pub(crate) async fn ping_peers(state: Rc<NodeState>) {
    loop {
        compio::time::sleep(PING_INTERVAL).await;
        let is_confirmed = state.confirmation.borrow().is_confirmed(Instant::now());
        let peers: Vec<NodeId> = {
            let slots = state.slots.borrow();
            let peers = slots.reporter_peers().into_iter();
            peers
                .filter(|peer| !is_confirmed || slots.failure_detector.is_suspected(peer))
                .collect()
        };
        for peer in peers {
            let state = state.clone();
            compio::runtime::spawn(async move {
                call_peer(&state, &peer, RequestBody::Ping(PingRequest {})).await;
            })
            .detach();
        }
        if state.permission() == ServePermission::NoNewRequests {
            log::warn!(
                "configuration not confirmed, or node marked as absent; refusing new requests"
            );
        }
    }
}
