//! Exchange with other nodes: heartbeats, counts of requests, and changes of the store's tables.
//!
//! Every round a node sends a message to its partners, and each answers with its own. The peers'
//! address is reachable from the entry VMs only, so messages carry no proof of identity.

mod message;
mod relay;
mod serve;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_dispatch::{NodeRole, SharedTable};
use eelgrassdeal_http::{SendFailure, SendRule, WholeAnswer};
use eelgrassdeal_schema::gateway::SyncMessage;
use eelgrassdeal_schema::{decode_message, encode_message};
use http_body_util::Full;
use hyper::Request;
use rand::seq::IndexedRandom;

use crate::state::GatewayState;
pub(crate) use message::note_own_beat;
pub(crate) use relay::relay_order;
pub(crate) use serve::PeerHandler;

/// Pause between two rounds in a small fleet, and in a large one.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
const LARGE_ROUND_PAUSE: Duration = Duration::from_millis(350);
/// Shortest pause before news of the store's tables is told.
const NEWS_PAUSE: Duration = Duration::from_millis(50);
/// Most nodes of the store's table that are tried in one round.
const MAX_TRIED: usize = 6;
const SYNC_PATH: &str = "/sync";
const RELAY_PATH: &str = "/relay";
/// Longer than an order takes when its upstream cannot be reached.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);
const SYNC_TIMEOUT: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Exchanges messages with other nodes until the task is dropped.
pub(crate) async fn exchange_messages(state: Rc<GatewayState>) {
    loop {
        let news = state.news.listen();
        note_own_beat(&state);
        for peer in round_peers(&state) {
            let state = state.clone();
            compio::runtime::spawn(async move { sync_with(&state, &peer).await }).detach();
        }
        compio::time::sleep(NEWS_PAUSE).await;
        let is_large = state.directory.borrow().is_large();
        let pause = if is_large { LARGE_ROUND_PAUSE } else { ROUND_PAUSE };
        // A round that ends without news is the usual case.
        let _ = compio::time::timeout(pause - NEWS_PAUSE, news).await;
    }
}

/// Tells every partner of a change at once.
pub(crate) async fn announce(state: &GatewayState) {
    note_own_beat(state);
    let peers = round_peers(state);
    let syncs = peers.iter().map(|peer| sync_with(state, peer));
    futures_util::future::join_all(syncs).await;
}

/// Peers of one round: the partners, and when there are none the seeds and nodes of the store's
/// table.
fn round_peers(state: &GatewayState) -> Vec<Arc<str>> {
    let settings = state.settings();
    let mut peers = state.directory.borrow().partners(Instant::now());
    if peers.is_empty() {
        let mirror = state.mirror.borrow();
        let rows = mirror.table(SharedTable::Nodes).into_iter().flat_map(|table| table.rows());
        let mut tried: Vec<Arc<str>> = rows
            .filter_map(|(_, _, value)| std::str::from_utf8(value).ok())
            .map(Arc::from)
            .chain(settings.seeds.iter().cloned())
            .collect();
        tried.sort_unstable();
        tried.dedup();
        peers.extend(tried.choose_multiple(&mut rand::rng(), MAX_TRIED).cloned());
    }
    peers.sort_unstable();
    peers.dedup();
    peers.retain(|peer| *peer != settings.listen.peers);
    peers
}

async fn sync_with(state: &GatewayState, peer: &Arc<str>) {
    let asked_at = Instant::now();
    // One node tells the others what the store shows; the others need not tell it each other.
    let is_reader = state.directory.borrow().is_reader();
    let known = state.peer_versions.borrow().get(peer).filter(|_| is_reader).cloned();
    let message = message::message_to(state, peer, (NodeRole::Hub, None), known.as_ref());
    let body = encode_message(&message);
    let Some(answer) = call_peer(state, peer, SYNC_PATH, body, SYNC_TIMEOUT).await else {
        state.directory.borrow_mut().avoid_hub(peer, Instant::now());
        state.peer_versions.borrow_mut().remove(peer);
        return;
    };
    match decode_message::<SyncMessage>(&answer) {
        Ok(reply) => {
            let (_, _, versions) = message::take_message(state, reply, Some(asked_at));
            state.peer_versions.borrow_mut().insert(peer.clone(), versions);
        }
        Err(error) => log::warn!("event=peer_unreadable peer={peer} reason=\"{error}\""),
    }
}

/// Calls a peer; `None` without a usable answer.
async fn call_peer(
    state: &GatewayState,
    peer: &Arc<str>,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Option<Bytes> {
    match try_peer(state, peer, path, body, timeout).await {
        Ok(answer) if answer.status == 200 => Some(answer.body),
        Ok(answer) => {
            log::debug!("event=peer_refused peer={peer} status={}", answer.status);
            None
        }
        Err(failure) => {
            log::debug!("event=peer_unreached peer={peer} reason={failure:?}");
            None
        }
    }
}

async fn try_peer(
    state: &GatewayState,
    peer: &Arc<str>,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<WholeAnswer, SendFailure> {
    let request = Request::post(path).header("host", &**peer).body(Full::new(body));
    let request = request.map_err(|_| SendFailure::NotSent)?;
    let rule = SendRule::default().with_connect_timeout(CONNECT_TIMEOUT);
    state.control_pool.call(peer, request, rule, timeout, MAX_ANSWER_BYTES).await
}
