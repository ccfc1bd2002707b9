//! Messages between nodes: their contents, and their conversion to and from the wire format.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_dispatch::{
    CountScope, NodeCondition, NodeHeartbeat, NodeRole, NodeStage, QueueId, RowChange, SharedTable,
    TableChanges, VersionGap,
};
use eelgrassdeal_schema::gateway::{
    self, NodeHeartbeat as HeartbeatMessage, QueueNeed, RowCopy, SilentUpstream, SyncMessage,
    TableCopy, TableState, UpstreamCount,
};
use eelgrassdeal_types::NodeId;

use crate::crash::{
    adopt_quarantines, apply_answered_parts, apply_crashes, encode_answered_parts, encode_crashes,
    encode_quarantines,
};
use crate::duty::{UsageMessage, adopt_usage, encode_usage_sync};
use crate::notice::{adopt_hints, encode_hints};
use crate::rate_limit::{adopt_limits, encode_limits};
use crate::state::{GatewayState, PeerVersions};
use crate::turns::{adopt_placements, encode_placements};

/// Interval at which the heartbeats of other nodes are sent to a peer if there are many nodes
/// (`NodeDirectory::is_large`). After a node was added or its [`NodeCondition`] has changed, they
/// are sent in the next message, without waiting for the interval.
const HEARTBEAT_RELAY_INTERVAL: Duration = Duration::from_millis(1_800);

/// Interval at which all rate limits of upstreams are sent to a peer. Changes are sent at once.
const LIMIT_RELAY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Largest sequence number of a heartbeat. Its node adopts it and continues above it, so that there
/// must be room.
const MAX_SEQUENCE: u64 = u64::MAX / 2;

/// Largest size of a row's value after decompression, for which memory is reserved before.
const MAX_ROW_BYTES: usize = 16 * 1024 * 1024;

/// Minimum size of a row's value that is compressed. An uncompressed configuration with many routes
/// would occupy the link of a small node for longer than the timeout of an exchange.
const MIN_COMPRESSED_BYTES: usize = 4 * 1024;

/// Name by which the nodes are put in the order of their positions, see
/// [`LoadTracker::set_position`](eelgrassdeal_dispatch::LoadTracker::set_position).
const LOAD_ORDER: &str = "load";

/// Increases the sequence number of this node's heartbeat and updates its condition for the next
/// messages, removes nodes without recent heartbeats, and updates this node's position in a large
/// fleet.
pub(crate) fn advance_own_heartbeat(state: &GatewayState) {
    let now = Instant::now();
    let mut directory = state.directory.borrow_mut();
    let current = NodeCondition {
        stage: state.stage.get(),
        has_store: !state.store_connectivity.is_lost(),
        is_planner: state.is_planner.get(),
    };
    directory.advance_heartbeat(current, now);
    directory.remove_silent_nodes(now);
    if directory.is_large() {
        let position = directory.selection_rank(LOAD_ORDER, now);
        let node_count = directory.sharing_node_count(now);
        state.loads.borrow_mut().set_position(position, node_count);
    }
}

/// Builds a message to another node.
///
/// `recipient_key` identifies the recipient in `GatewayState::heartbeats_sent_at`: it is the peer
/// address for a request and the node id for a reply. `recipient` is the recipient's role, and its
/// id if that is known. `peer_versions` are the versions of its tables that it last reported; with
/// `None` the message contains no changes of tables.
pub(super) fn build_message(
    state: &GatewayState,
    recipient_key: &Arc<str>,
    recipient: (NodeRole, Option<&NodeId>),
    peer_versions: Option<&PeerVersions>,
) -> SyncMessage {
    let now = Instant::now();
    let (recipient_role, recipient_id) = recipient;
    let mirror = state.mirror.borrow();
    let tables = SharedTable::ALL.iter().filter_map(|table| {
        let (version, age) = (mirror.version(*table)?, mirror.age(*table, now)?);
        Some(TableState { table: table_number(*table), version, age_ms: millis(age) })
    });
    let changes = peer_versions.into_iter().flat_map(|versions| {
        SharedTable::ALL.iter().filter_map(|table| {
            let (copy, since) = (mirror.table(*table)?, versions.get(table).copied());
            if !may_send_snapshot(state, copy.snapshot_bytes_since(since), now) {
                return None;
            }
            let changes = copy.changes_since(since).or_else(|| {
                let lost = mirror.lost_config(*table)?;
                let bytes = lost.rows.iter().flat_map(|row| &row.value).map(Bytes::len).sum();
                may_send_snapshot(state, Some(bytes), now).then_some(lost)
            });
            Some(encode_changes(*table, changes?))
        })
    });
    let (tables, changes) = (tables.collect(), changes.collect());
    let directory = state.directory.borrow();
    // Requests are addressed to hubs only, so a message to a leaf is a reply. The scope of a message to
    // a hub does not depend on that.
    let (is_large, role) = (directory.is_large(), directory.role());
    let scope = CountScope::for_message(is_large, role, recipient_role, true);
    let counts = state.loads.borrow().counts_for(scope, recipient_id, now);
    let counts = counts
        .into_iter()
        .map(|(upstream, requests)| UpstreamCount { upstream: upstream.to_string(), requests });
    let silent = state.silent_upstreams(now).into_iter().map(|(upstream, age)| SilentUpstream {
        upstream: upstream.to_string(),
        age_ms: millis(age),
    });
    let heartbeats = match are_heartbeats_due(state, recipient_key, directory.changed_at(), now) {
        true => directory.heartbeats_for(recipient_role, now),
        false => vec![directory.own_heartbeat().clone()],
    };
    let limits_sent_at = &mut state.limits_sent_at.borrow_mut();
    let changed_at = directory.changed_at();
    let are_limits_due =
        is_due(limits_sent_at, recipient_key, LIMIT_RELAY_INTERVAL, changed_at, now);
    SyncMessage {
        node: state.settings().node.to_string(),
        beats: heartbeats.iter().map(encode_heartbeat).collect(),
        counts: counts.collect(),
        tables,
        has_traffic: state.has_traffic.get(),
        silent: silent.collect(),
        is_leaf: directory.role() == NodeRole::Leaf,
        changes,
        crashes: encode_crashes(state, now),
        quarantines: encode_quarantines(state, now),
        answered: encode_answered_parts(state, now),
        leaving: encode_hints(state, now),
        limits: encode_limits(state, are_limits_due, now),
        usage: encode_usage_sync(
            state,
            &directory,
            recipient_key,
            (recipient_role, recipient_id),
            now,
        ),
        placements: encode_placements(state, directory.is_large(), scope, recipient_id, now),
        needs: encode_needs(state, is_large, scope, recipient_id, now),
    }
}

/// Encodes the requests that need slots of other nodes for a message of this scope. Nodes of a small fleet
/// own no slots.
fn encode_needs(
    state: &GatewayState,
    is_large: bool,
    scope: CountScope,
    recipient: Option<&NodeId>,
    now: Instant,
) -> Vec<QueueNeed> {
    if !is_large {
        return Vec::new();
    }
    let needs = state.loads.borrow().needs_for(scope, recipient, now);
    let encode = |((service, model), requests): (QueueId, u32)| QueueNeed {
        service: service.to_string(),
        model: model.map(|model| model.to_string()),
        requests,
    };
    needs.into_iter().map(encode).collect()
}

fn decode_need(need: QueueNeed) -> (QueueId, u32) {
    ((Arc::from(need.service), need.model.map(Arc::from)), need.requests)
}

/// Whether the link has room for a snapshot of this size, if one is to be sent.
fn may_send_snapshot(state: &GatewayState, snapshot_bytes: Option<usize>, now: Instant) -> bool {
    let Some(bytes) = snapshot_bytes else { return true };
    let is_allowed = state.snapshot_budget.borrow_mut().try_take(bytes, now);
    let name = match is_allowed {
        true => "eelgrassdeal_sent_snapshot_bytes_total",
        false => "eelgrassdeal_withheld_snapshot_bytes_total",
    };
    metrics::counter!(name).increment(bytes as u64);
    is_allowed
}

/// Whether a message to a node contains the heartbeats of other nodes, which is always so if there
/// are few nodes.
fn are_heartbeats_due(
    state: &GatewayState,
    recipient_key: &Arc<str>,
    changed_at: Option<Instant>,
    now: Instant,
) -> bool {
    let sent_at = &mut state.heartbeats_sent_at.borrow_mut();
    let is_large = state.directory.borrow().is_large();
    let interval = if is_large { HEARTBEAT_RELAY_INTERVAL } else { Duration::ZERO };
    is_due(sent_at, recipient_key, interval, changed_at, now)
}

/// Whether something was last sent to a node `interval` ago or earlier, or before `changed_at`. If so,
/// `now` is recorded under `recipient_key`.
fn is_due(
    sent_at: &mut HashMap<Arc<str>, Instant>,
    recipient_key: &Arc<str>,
    interval: Duration,
    changed_at: Option<Instant>,
    now: Instant,
) -> bool {
    let is_due = sent_at.get(recipient_key).is_none_or(|at| {
        now.saturating_duration_since(*at) >= interval
            || changed_at.is_some_and(|changed_at| changed_at >= *at)
    });
    if is_due {
        sent_at.insert(recipient_key.clone(), now);
    }
    is_due
}

/// Applies a message of another node, and returns that node's role, id and table versions.
///
/// `requested_at` is when this node sent the request to which the message replies. It is `None` for
/// a request of the other node, which may have been in transit for any time.
pub(super) fn apply_message(
    state: &GatewayState,
    message: SyncMessage,
    requested_at: Option<Instant>,
) -> (NodeRole, NodeId, PeerVersions) {
    let now = Instant::now();
    let node: NodeId = Arc::from(message.node);
    let role = if message.is_leaf { NodeRole::Leaf } else { NodeRole::Hub };
    if let Some(usage) = message.usage {
        let own_beat = message.beats.iter().find(|beat| *beat.node == *node);
        let peer_address = own_beat.map(|beat| Arc::from(beat.peer.as_str()));
        adopt_usage(
            state,
            UsageMessage { node: &node, role, peer_address, requested_at },
            usage,
            now,
        );
    }
    let counts: Vec<(Arc<str>, u32)> = message
        .counts
        .into_iter()
        .map(|count| (Arc::from(count.upstream), count.requests))
        .collect();
    {
        let mut directory = state.directory.borrow_mut();
        for heartbeat in message.beats.into_iter().filter_map(decode_heartbeat) {
            directory.merge(heartbeat, now);
        }
        directory.record_direct_message(&node, now);
        let (is_large, own_role) = (directory.is_large(), directory.role());
        let scope = CountScope::for_message(is_large, role, own_role, requested_at.is_some());
        let needs = message.needs.into_iter().map(decode_need).collect();
        {
            let mut loads = state.loads.borrow_mut();
            loads.set_peer_counts(&node, scope, counts, now);
            loads.set_peer_needs(&node, scope, needs, now);
        }
        let sender = (&node, scope);
        adopt_placements(state, directory.is_large(), sender, message.placements, now);
        state.waiting.notify();
    }
    for silent in message.silent {
        let age = Duration::from_millis(u64::from(silent.age_ms));
        let Some(at) = now.checked_sub(age) else { continue };
        state.mark_silent(&Arc::from(silent.upstream), at, now);
    }
    adopt_hints(state, message.leaving, now);
    apply_answered_parts(state, message.answered, now);
    adopt_quarantines(state, message.quarantines, now);
    apply_crashes(state, message.crashes, now);
    if message.has_traffic {
        state.has_traffic.set(true);
    }
    let mut versions = PeerVersions::new();
    for encoded in message.changes {
        let Some(table) = table_from_number(encoded.table) else { continue };
        if let Some(changes) = decode_changes(encoded) {
            state.update_table(table, Some(changes), None);
        }
    }
    // After the tables, as a node that starts knows the upstreams only from them.
    adopt_limits(state, message.limits, now);
    for table_state in message.tables {
        let Some(table) = table_from_number(table_state.table) else { continue };
        versions.insert(table, table_state.version);
        let is_up_to_date = state.mirror.borrow().version(table) >= Some(table_state.version);
        let age = Duration::from_millis(u64::from(table_state.age_ms));
        // The peer measured the age after `requested_at`, so its table contained all writes up to
        // `requested_at - age`. Without `requested_at` no such time is known.
        let fresh_at = requested_at.and_then(|requested_at| requested_at.checked_sub(age));
        if is_up_to_date && fresh_at.is_some() {
            state.update_table(table, None, fresh_at);
        }
    }
    (role, node, versions)
}

/// Number of a table in messages.
fn table_number(table: SharedTable) -> u32 {
    SharedTable::ALL.iter().position(|other| *other == table).unwrap_or_default() as u32
}

fn table_from_number(number: u32) -> Option<SharedTable> {
    SharedTable::ALL.get(number as usize).copied()
}

pub(crate) fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Encodes changes of a table. Despite its name, a [`TableCopy`] holds changes since a version, or
/// a snapshot; a [`RowCopy`] is one row of it.
fn encode_changes(table: SharedTable, changes: TableChanges) -> TableCopy {
    let rows = changes.rows.into_iter().map(|row| {
        let (is_compressed, value) = match row.value.clone().unwrap_or_default() {
            value if value.len() >= MIN_COMPRESSED_BYTES => {
                (true, Bytes::from(lz4_flex::compress_prepend_size(&value)))
            }
            value => (false, value),
        };
        let (key, is_removed) = (row.key.to_string(), row.value.is_none());
        RowCopy { key, version: row.version, value, is_removed, is_compressed }
    });
    TableCopy {
        table: table_number(table),
        since: changes.since,
        version: changes.version,
        rows: rows.collect(),
        gaps: changes.gaps.into_iter().map(encode_gap).collect(),
    }
}

fn encode_gap(gap: VersionGap) -> gateway::VersionGap {
    gateway::VersionGap { before: gap.before, after: gap.after }
}

/// Returns `None` if a row cannot be decompressed, since the changes would be incomplete without
/// it.
fn decode_changes(encoded: TableCopy) -> Option<TableChanges> {
    let mut rows = Vec::with_capacity(encoded.rows.len());
    for row in encoded.rows {
        let value = match (row.is_removed, row.is_compressed) {
            (true, _) => None,
            (false, false) => Some(row.value),
            (false, true) => match decompress(&row.value) {
                Ok(value) => Some(value),
                Err(error) => {
                    // A row cannot be decompressed. Only the changes of this table are ignored; the
                    // rest of the message is used.
                    log::warn!("event=peer_unreadable row={} reason=\"{error}\"", row.key);
                    return None;
                }
            },
        };
        rows.push(RowChange { key: Arc::from(row.key), version: row.version, value });
    }
    let gaps = encoded.gaps.into_iter();
    let gaps = gaps.map(|gap| VersionGap { before: gap.before, after: gap.after });
    let (since, version) = (encoded.since, encoded.version);
    Some(TableChanges { since, version, rows, gaps: gaps.collect() })
}

fn decompress(compressed: &[u8]) -> Result<Bytes, String> {
    let (size, block) =
        lz4_flex::block::uncompressed_size(compressed).map_err(|error| error.to_string())?;
    if size > MAX_ROW_BYTES {
        return Err(format!(
            "{size} bytes after decompression, at most {MAX_ROW_BYTES} are allowed"
        ));
    }
    let value = lz4_flex::block::decompress(block, size).map_err(|error| error.to_string())?;
    Ok(Bytes::from(value))
}

fn encode_heartbeat(heartbeat: &NodeHeartbeat) -> HeartbeatMessage {
    HeartbeatMessage {
        node: heartbeat.node.to_string(),
        beat: heartbeat.sequence,
        stage: match heartbeat.stage {
            NodeStage::Starting => 0,
            NodeStage::Serving => 1,
            NodeStage::Leaving => 2,
        },
        has_store: heartbeat.has_store,
        front: heartbeat.front_address.to_string(),
        peer: heartbeat.peer_address.to_string(),
        data_centre: heartbeat.data_centre.to_string(),
        processor_share: heartbeat.processor_share,
        is_planner: heartbeat.is_planner,
        age_ms: millis(heartbeat.age),
    }
}

/// Returns `None` for a heartbeat that no node sends.
fn decode_heartbeat(heartbeat: HeartbeatMessage) -> Option<NodeHeartbeat> {
    let is_sound = !heartbeat.node.is_empty() && heartbeat.beat <= MAX_SEQUENCE;
    is_sound.then(|| NodeHeartbeat {
        node: Arc::from(heartbeat.node),
        sequence: heartbeat.beat,
        stage: match heartbeat.stage {
            0 => NodeStage::Starting,
            1 => NodeStage::Serving,
            _ => NodeStage::Leaving,
        },
        has_store: heartbeat.has_store,
        front_address: Arc::from(heartbeat.front),
        peer_address: Arc::from(heartbeat.peer),
        data_centre: Arc::from(heartbeat.data_centre),
        processor_share: heartbeat.processor_share,
        is_planner: heartbeat.is_planner,
        age: Duration::from_millis(u64::from(heartbeat.age_ms)),
    })
}
