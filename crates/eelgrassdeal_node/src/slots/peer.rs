//! Calls between nodes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_peers::PeerAddress;
use eelgrassdeal_schema::peer::peer_reply::Body as ReplyBody;
use eelgrassdeal_schema::peer::peer_request::Body as RequestBody;
use eelgrassdeal_schema::peer::{AckReply, ConfigRows, PeerReply, PeerRequest, ProbeReply};
use eelgrassdeal_types::{NodeId, StartId};

use super::owner::answer_reports;
use crate::fleet_sync::{apply_changes, read_status, recent_changes};
use crate::state::NodeState;

const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Stands for the age of a configuration that was never confirmed.
const NEVER_CONFIRMED_MS: u64 = u64::MAX;

/// Calls a peer, and notes what its answer says about the configuration.
pub(crate) async fn call_peer(
    state: &Rc<NodeState>,
    peer: &NodeId,
    body: RequestBody,
) -> Option<ReplyBody> {
    let client = state.peers.borrow().clone()?;
    let address = {
        let fleet = state.fleet();
        let vm = fleet.vm(peer)?;
        PeerAddress { node: peer.clone(), address: vm.peer_address.parse().ok()? }
    };
    metrics::counter!("eelgrassdeal_peer_calls_total", "purpose" => purpose_of(&body)).increment(1);
    let request = PeerRequest {
        node: state.node.to_string(),
        start_id: state.start_id.to_string(),
        revision: state.fleet().revision(),
        confirmed_age_ms: confirmed_age_ms(state),
        body: Some(body),
    };
    let sent = Instant::now();
    match client.call(&address, request).await {
        Ok(reply) => {
            state.slots.borrow_mut().suspicion.record_success(peer);
            note_reply(state, peer, sent, &reply);
            reply.body
        }
        Err(report) => {
            log::debug!("call to {peer}: {report}");
            state.slots.borrow_mut().suspicion.record_failure(peer);
            None
        }
    }
}

/// What a call is for, as the counters name it.
fn purpose_of(body: &RequestBody) -> &'static str {
    match body {
        RequestBody::Report(_) => "peer_report",
        RequestBody::Revoke(_) => "peer_revoke",
        RequestBody::PullConfig(_) => "peer_pull",
        RequestBody::Strike(_) => "peer_strike",
        RequestBody::Ping(_) => "peer_ping",
        RequestBody::Probe(_) => "peer_probe",
    }
}

fn note_reply(state: &Rc<NodeState>, peer: &NodeId, sent: Instant, reply: &PeerReply) {
    if reply.revision > state.fleet().revision() {
        pull_config(state, peer);
    }
    let age = match reply.confirmed_age_ms {
        NEVER_CONFIRMED_MS => None,
        age_ms => Some(Duration::from_millis(age_ms)),
    };
    let own_revision = state.fleet().revision();
    let mut confirmation = state.confirmation.borrow_mut();
    confirmation.record_peer_reply(peer, sent, age, reply.revision, own_revision);
}

/// Reads missing revisions from a peer, for the case that the store is slow.
fn pull_config(state: &Rc<NodeState>, peer: &NodeId) {
    if state.is_pulling.replace(true) {
        return;
    }
    let (state, peer) = (state.clone(), peer.clone());
    compio::runtime::spawn(async move {
        let after_revision = state.fleet().revision();
        let body =
            RequestBody::PullConfig(eelgrassdeal_schema::peer::PullConfig { after_revision });
        if let Some(ReplyBody::ConfigRows(rows)) = Box::pin(call_peer(&state, &peer, body)).await {
            // Before the first read from the store a peer's configuration may be too old.
            if state.confirmation.borrow().has_read_store() {
                apply_changes(&state, &rows.change);
            }
        }
        state.is_pulling.set(false);
    })
    .detach();
}

/// Answers a request of a peer.
pub(crate) async fn handle_peer_request(state: Rc<NodeState>, request: PeerRequest) -> PeerReply {
    let node = NodeId::from(request.node.as_str());
    let start = StartId::from(request.start_id.as_str());
    if request.revision > state.fleet().revision() {
        pull_config(&state, &node);
    }
    let body = match request.body {
        Some(RequestBody::Report(batch)) => {
            ReplyBody::Allowance(answer_reports(&state, &node, &start, &batch))
        }
        Some(RequestBody::Revoke(notice)) => {
            state.slots.borrow_mut().holder.apply_revoke(&node, &notice);
            ReplyBody::Ack(AckReply {})
        }
        Some(RequestBody::PullConfig(pull)) => ReplyBody::ConfigRows(ConfigRows {
            change: recent_changes(&state, pull.after_revision),
        }),
        Some(RequestBody::Probe(probe)) => {
            // The upstream itself must answer: its kernel accepts connections while it is paused.
            let probe = read_status(&state, &probe.address);
            let result = compio::time::timeout(PROBE_TIMEOUT, probe).await;
            ReplyBody::Probe(ProbeReply { is_reachable: matches!(result, Ok(Some(_))) })
        }
        Some(RequestBody::Strike(_) | RequestBody::Ping(_)) | None => ReplyBody::Ack(AckReply {}),
    };
    PeerReply {
        node: state.node.to_string(),
        start_id: state.start_id.to_string(),
        revision: state.fleet().revision(),
        confirmed_age_ms: confirmed_age_ms(&state),
        body: Some(body),
    }
}

fn confirmed_age_ms(state: &NodeState) -> u64 {
    state
        .confirmed_age()
        .map_or(NEVER_CONFIRMED_MS, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX - 1))
}
