//! Exchange of messages with other nodes: heartbeats, request counts, and changes of the store's
//! tables.
//!
//! In every round a node sends a message to each of its partners, which reply with their own. In a
//! small fleet, every node is a hub, and its partners are all other nodes that it knows and that
//! are not leaving. In a large fleet, only some nodes are hubs and the others are leaves: the
//! partners of a hub are the other hubs, and a leaf has one hub as its partner.
//!
//! The peer listener is reachable from the entry VMs only, so messages are not authenticated.

mod message;
mod relay;
mod serve;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_dispatch::{NodeRole, SharedTable};
use eelgrassdeal_http::{BufferedResponse, SendFailure, SendOptions};
use eelgrassdeal_schema::gateway::SyncMessage;
use eelgrassdeal_schema::{decode_message, encode_message};
use http_body_util::Full;
use hyper::Request;
use rand::seq::IndexedRandom;

use crate::state::GatewayState;
pub(crate) use message::{advance_own_heartbeat, millis};
pub(crate) use relay::relay_order;
pub(crate) use serve::PeerHandler;

/// Interval between two rounds in a small fleet of nodes if the store's tables do not change.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two rounds in a large fleet of nodes (`NodeDirectory::is_large`) if the store's
/// tables do not change.
const LARGE_FLEET_ROUND_INTERVAL: Duration = Duration::from_millis(350);
/// Minimum interval between two rounds, also if the store's tables change.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of seeds and nodes in [`SharedTable::Nodes`] that are tried in one round while no
/// partner is known.
const MAX_FALLBACK_PEERS: usize = 6;
/// Path for the exchange of messages.
const SYNC_PATH: &str = "/sync";
/// Path for orders that a node sends on behalf of the planner.
const RELAY_PATH: &str = "/relay";
/// Timeout for a relayed order. It is longer than the time after which sending an order to an
/// unreachable upstream fails.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);
const SYNC_TIMEOUT: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of a message, in either direction.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Exchanges messages with other nodes until the task is dropped.
pub(crate) async fn exchange_messages(state: Rc<GatewayState>) {
    loop {
        let change = futures_util::future::select(
            state.store_changed.listen(),
            state.crash_observed.listen(),
        );
        advance_own_heartbeat(&state);
        for peer in round_peers(&state) {
            let state = state.clone();
            compio::runtime::spawn(async move { sync_with(&state, &peer).await }).detach();
        }
        compio::time::sleep(MIN_ROUND_INTERVAL).await;
        let is_large = state.directory.borrow().is_large();
        let interval = if is_large { LARGE_FLEET_ROUND_INTERVAL } else { ROUND_INTERVAL };
        // Starts the next round early if the tables change or an upstream crashes. Usually they do not.
        let _ = compio::time::timeout(interval - MIN_ROUND_INTERVAL, change).await;
    }
}

/// Exchanges messages with every partner immediately, so that they learn of a change of this node.
/// Returns when all exchanges have ended.
pub(crate) async fn sync_with_partners(state: &GatewayState) {
    advance_own_heartbeat(state);
    let peers = round_peers(state);
    let syncs = peers.iter().map(|peer| sync_with(state, peer));
    futures_util::future::join_all(syncs).await;
}

/// Returns the peer addresses for one round: the partners, or a random selection of the seeds and
/// the nodes in [`SharedTable::Nodes`] if there are no partners.
fn round_peers(state: &GatewayState) -> Vec<Arc<str>> {
    let settings = state.settings();
    let mut peers = state.directory.borrow().partners(Instant::now());
    if peers.is_empty() {
        let mirror = state.mirror.borrow();
        let rows = mirror.table(SharedTable::Nodes).into_iter().flat_map(|table| table.rows());
        let mut fallback: Vec<Arc<str>> = rows
            .filter_map(|(_, _, value)| std::str::from_utf8(value).ok())
            .map(Arc::from)
            .chain(settings.seeds.iter().cloned())
            .collect();
        fallback.sort_unstable();
        fallback.dedup();
        peers.extend(fallback.choose_multiple(&mut rand::rng(), MAX_FALLBACK_PEERS).cloned());
    }
    peers.sort_unstable();
    peers.dedup();
    peers.retain(|peer| *peer != settings.listen.peers);
    peers
}

/// Exchanges one message with a peer.
async fn sync_with(state: &GatewayState, peer: &Arc<str>) {
    let requested_at = Instant::now();
    // Among the requests, only those of the reader, the node that follows the store for all others,
    // contain changes of its table copies: the other nodes need not repeat them to each other. The
    // replies of every node contain changes.
    let is_reader = state.directory.borrow().is_reader();
    let peer_versions = state.peer_versions.borrow().get(peer).filter(|_| is_reader).cloned();
    // Partners are always hubs. The fallback peers are treated as hubs too.
    let message =
        message::build_message(state, peer, (NodeRole::Hub, None), peer_versions.as_ref());
    let body = encode_message(&message);
    let Some(answer) = call_peer(state, peer, SYNC_PATH, body, SYNC_TIMEOUT).await else {
        state.directory.borrow_mut().avoid_hub(peer, Instant::now());
        state.peer_versions.borrow_mut().remove(peer);
        return;
    };
    match decode_message::<SyncMessage>(&answer) {
        Ok(reply) => {
            let (_, _, versions) = message::apply_message(state, reply, Some(requested_at));
            state.peer_versions.borrow_mut().insert(peer.clone(), versions);
        }
        // The reply cannot be decoded.
        Err(error) => log::warn!("event=peer_unreadable peer={peer} reason=\"{error}\""),
    }
}

/// Sends a request to a peer. Returns the body of the response, or `None` and logs the reason if
/// there is no response with status 200.
async fn call_peer(
    state: &GatewayState,
    peer: &Arc<str>,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Option<Bytes> {
    match send_to_peer(state, peer, path, body, timeout).await {
        Ok(answer) if answer.status == 200 => Some(answer.body),
        Ok(answer) => {
            // The peer responded with another status. A refused connection is logged below.
            log::debug!("event=peer_refused peer={peer} status={}", answer.status);
            None
        }
        Err(failure) => {
            // No complete response was read. The peer may have received the request nevertheless.
            log::debug!("event=peer_unreached peer={peer} reason={failure:?}");
            None
        }
    }
}

/// Sends a request to a peer and reads the response.
async fn send_to_peer(
    state: &GatewayState,
    peer: &Arc<str>,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<BufferedResponse, SendFailure> {
    let request = Request::post(path).header("host", &**peer).body(Full::new(body));
    let request = request.map_err(|_| SendFailure::NotSent)?;
    let options = SendOptions::default().with_connect_timeout(CONNECT_TIMEOUT);
    state.control_pool.call(peer, request, options, timeout, MAX_MESSAGE_BYTES).await
}
