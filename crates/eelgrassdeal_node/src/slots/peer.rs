//! Calls to peers, which are the other nodes, and the handling of their requests.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_peers::PeerAddress;
use eelgrassdeal_schema::peer::peer_reply::Body as ReplyBody;
use eelgrassdeal_schema::peer::peer_request::Body as RequestBody;
use eelgrassdeal_schema::peer::{AckReply, ConfigRows, PeerReply, PeerRequest, ProbeReply};
use eelgrassdeal_types::{NodeId, StartId};

use super::owner::handle_reports;
use crate::fleet_sync::{apply_changes, read_status, recent_changes};
use crate::state::NodeState;

/// Timeout of a probe that a peer requested.
const WITNESS_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Age on the wire of a configuration that was never confirmed.
const NEVER_CONFIRMED_MS: u64 = u64::MAX;

/// Calls a peer. The reply also updates the confirmation of this node's configuration, and starts a
/// read of missing revisions if the peer has a newer one.
///
/// Returns `None` if the peer is not in the configuration, has no valid address or does not reply.
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
    let sent_at = Instant::now();
    match client.call(&address, request).await {
        Ok(reply) => {
            state.slots.borrow_mut().failure_detector.record_success(peer);
            record_reply(state, peer, sent_at, &reply);
            reply.body
        }
        Err(report) => {
            log::debug!("call to peer {peer} failed: {report}");
            state.slots.borrow_mut().failure_detector.record_failure(peer);
            None
        }
    }
}

/// Value of the label `purpose` of the metric that counts calls to peers.
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

fn record_reply(state: &Rc<NodeState>, peer: &NodeId, sent_at: Instant, reply: &PeerReply) {
    if reply.revision > state.fleet().revision() {
        pull_config(state, peer);
    }
    let confirmed_age = match reply.confirmed_age_ms {
        NEVER_CONFIRMED_MS => None,
        age_ms => Some(Duration::from_millis(age_ms)),
    };
    let own_revision = state.fleet().revision();
    let mut confirmation = state.confirmation.borrow_mut();
    confirmation.record_peer_reply(peer, sent_at, confirmed_age, reply.revision, own_revision);
}

/// Reads missing configuration revisions from a peer in a background task, so that the node does
/// not depend on the speed of the store. Does nothing while another such read is running.
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
            // Until this node has read the store once, it cannot tell whether a peer's
            // configuration is outdated.
            if state.confirmation.borrow().has_read_store() {
                apply_changes(&state, &rows.change);
            }
        }
        state.is_pulling.set(false);
    })
    .detach();
}

/// Handles a request of a peer.
pub(crate) async fn handle_peer_request(state: Rc<NodeState>, request: PeerRequest) -> PeerReply {
    let node = NodeId::from(request.node.as_str());
    let start_id = StartId::from(request.start_id.as_str());
    if request.revision > state.fleet().revision() {
        pull_config(&state, &node);
    }
    let body = match request.body {
        Some(RequestBody::Report(batch)) => {
            ReplyBody::Allowance(handle_reports(&state, &node, &start_id, &batch))
        }
        Some(RequestBody::Revoke(notice)) => {
            state.slots.borrow_mut().holder.apply_revoke(&node, &notice);
            ReplyBody::Ack(AckReply {})
        }
        Some(RequestBody::PullConfig(pull)) => ReplyBody::ConfigRows(ConfigRows {
            change: recent_changes(&state, pull.after_revision),
        }),
        Some(RequestBody::Probe(probe)) => {
            // A connection does not show that the upstream works, because its kernel accepts
            // connections even while the process is paused. So its status is read.
            let status = read_status(&state, &probe.address);
            let result = compio::time::timeout(WITNESS_PROBE_TIMEOUT, status).await;
            ReplyBody::Probe(ProbeReply { is_reachable: matches!(result, Ok(Some(_))) })
        }
        // A strike records that a request was in flight at an upstream that crashed. This node only
        // acknowledges it.
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
