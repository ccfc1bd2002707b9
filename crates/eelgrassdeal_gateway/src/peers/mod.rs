//! Exchange with other nodes: heartbeats, counts of requests, and tables of the store.
//!
//! Every round a node sends a message to a few others, and each answers with its own. The peers'
//! address is reachable from the entry VMs only, so messages carry no proof of identity.

mod message;
mod relay;
mod serve;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_http::{SendFailure, SendRule, WholeAnswer};
use eelgrassdeal_platform::SharedTable;
use eelgrassdeal_schema::gateway::{SyncMessage, TableCopy};
use eelgrassdeal_schema::{decode_message, encode_message};
use http_body_util::Full;
use hyper::Request;
use rand::seq::IndexedRandom;

use crate::state::GatewayState;
pub(crate) use message::note_own_beat;
pub(crate) use relay::relay_order;
pub(crate) use serve::PeerHandler;

/// Pause between two rounds, and nodes that each round reaches, in a small fleet: all of them, so
/// that counts are exact.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
const ROUND_PEERS: usize = 6;
/// The same in a large fleet, where heartbeats pass through others.
const LARGE_ROUND_PAUSE: Duration = Duration::from_millis(700);
const LARGE_ROUND_PEERS: usize = 3;
const SYNC_PATH: &str = "/sync";
const TABLE_PATH: &str = "/table/";
const RELAY_PATH: &str = "/relay";
/// Longer than an order takes when its upstream cannot be reached.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);
const SYNC_TIMEOUT: Duration = Duration::from_millis(500);
const TABLE_TIMEOUT: Duration = Duration::from_millis(1_000);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Exchanges messages with other nodes until the task is dropped.
pub(crate) async fn exchange_messages(state: Rc<GatewayState>) {
    loop {
        note_own_beat(&state);
        for peer in round_peers(&state) {
            let state = state.clone();
            compio::runtime::spawn(async move { sync_with(&state, &peer).await }).detach();
        }
        let is_large = state.directory.borrow().is_large();
        compio::time::sleep(if is_large { LARGE_ROUND_PAUSE } else { ROUND_PAUSE }).await;
    }
}

/// Tells every live node of a change at once.
pub(crate) async fn announce(state: &GatewayState) {
    note_own_beat(state);
    let peers: Vec<_> = {
        let directory = state.directory.borrow();
        directory.live_others(Instant::now()).map(|beat| beat.peer.clone()).collect()
    };
    let syncs = peers.iter().map(|peer| sync_with(state, peer));
    futures_util::future::join_all(syncs).await;
}

/// Copies a table from a peer that knows a newer version.
pub(crate) async fn pull_table(state: &GatewayState, table: SharedTable) {
    let peers = round_peers(state);
    let Some(peer) = peers.choose(&mut rand::rng()) else { return };
    let index = SharedTable::ALL.iter().position(|known| *known == table).unwrap_or(0);
    let known = state.mirror.borrow().version(table).unwrap_or(0);
    let path = format!("{TABLE_PATH}{index}?since={known}");
    let Some(body) = call_peer(state, peer, &path, Bytes::new(), TABLE_TIMEOUT).await else {
        return;
    };
    match decode_message::<TableCopy>(&body) {
        Ok(copy) if copy.version > known => {
            log::info!(
                "event=table_from_peer peer={peer} table={table:?} version={} previous={known}",
                copy.version
            );
            let changes = message::table_changes(copy);
            state.mirror.borrow_mut().replace(table, changes, Instant::now());
        }
        Ok(_) => {}
        Err(error) => log::warn!("event=peer_unreadable peer={peer} reason=\"{error}\""),
    }
}

/// Peers of one round: seeds and known nodes, chosen at random when there are many.
fn round_peers(state: &GatewayState) -> Vec<Arc<str>> {
    let settings = state.settings();
    let directory = state.directory.borrow();
    let mut known: Vec<Arc<str>> = directory.known_peers().cloned().collect();
    if known.len() < ROUND_PEERS {
        known.extend(settings.seeds.iter().cloned());
        let mirror = state.mirror.borrow();
        let rows = mirror.table(SharedTable::Nodes).into_iter().flat_map(|table| table.rows());
        known.extend(
            rows.filter_map(|(_, _, value)| std::str::from_utf8(value).ok()).map(Arc::from),
        );
    }
    known.sort_unstable();
    known.dedup();
    known.retain(|peer| *peer != settings.listen.peers);
    let count = if directory.is_large() { LARGE_ROUND_PEERS } else { ROUND_PEERS };
    known.choose_multiple(&mut rand::rng(), count).cloned().collect()
}

async fn sync_with(state: &GatewayState, peer: &Arc<str>) {
    let body = encode_message(&message::own_message(state));
    let Some(answer) = call_peer(state, peer, SYNC_PATH, body, SYNC_TIMEOUT).await else {
        return;
    };
    match decode_message::<SyncMessage>(&answer) {
        Ok(reply) => message::take_message(state, reply),
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
