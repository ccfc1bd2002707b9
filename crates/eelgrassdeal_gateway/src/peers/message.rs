//! Messages between nodes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_dispatch::{
    CountSource, NodeBeat, NodeCondition, NodeRole, NodeStage, RowChange, SharedTable,
    TableChanges, VersionGap,
};
use eelgrassdeal_schema::gateway::{
    self, NodeHeartbeat, RowCopy, SilentUpstream, SyncMessage, TableCopy, TableState, UpstreamCount,
};
use eelgrassdeal_types::NodeId;

use crate::state::{GatewayState, PeerVersions};

/// In a large fleet the heartbeats of other nodes are told again after this time; changes of what a
/// node does are told at once.
const BEATS_PAUSE: Duration = Duration::from_millis(1_800);

/// Values from this size on are compressed: a configuration with many routes would fill the link of
/// a small node for longer than an exchange may take.
const MIN_COMPRESSED_BYTES: usize = 4 * 1024;

/// Begins a new heartbeat of this node.
pub(crate) fn note_own_beat(state: &GatewayState) {
    let now = Instant::now();
    let mut directory = state.directory.borrow_mut();
    let current = NodeCondition {
        stage: state.stage.get(),
        has_store: !state.contact.is_lost(),
        is_planner: state.is_planner.get(),
    };
    directory.advance(current, now);
    directory.forget_silent(now);
}

/// A message to the node at `peer`, which plays `recipient` and is `node` if that is known.
/// `known` is what it last said of its tables; `None` if it said nothing yet.
pub(super) fn message_to(
    state: &GatewayState,
    peer: &Arc<str>,
    recipient: (NodeRole, Option<&NodeId>),
    known: Option<&PeerVersions>,
) -> SyncMessage {
    let now = Instant::now();
    let (role, node) = recipient;
    let mirror = state.mirror.borrow();
    let tables = SharedTable::ALL.iter().filter_map(|table| {
        let (version, age) = (mirror.version(*table)?, mirror.age(*table, now)?);
        Some(TableState { table: table_number(*table), version, age_ms: millis(age) })
    });
    let changes = known.into_iter().flat_map(|known| {
        SharedTable::ALL.iter().filter_map(|table| {
            let changes = mirror.table(*table)?.changes_since(known.get(table).copied())?;
            Some(encode_changes(*table, changes))
        })
    });
    let (tables, changes) = (tables.collect(), changes.collect());
    let directory = state.directory.borrow();
    let source = CountSource::of(directory.is_large(), directory.role(), role);
    let counts = state.loads.borrow().counts_for(source, node, now);
    let counts = counts
        .into_iter()
        .map(|(upstream, requests)| UpstreamCount { upstream: upstream.to_string(), requests });
    let silent = state.silent_upstreams(now).into_iter().map(|(upstream, age)| SilentUpstream {
        upstream: upstream.to_string(),
        age_ms: millis(age),
    });
    let beats = match are_beats_due(state, peer, directory.changed_at(), now) {
        true => directory.beats(role, now),
        false => vec![directory.own().clone()],
    };
    SyncMessage {
        node: state.settings().node.to_string(),
        beats: beats.iter().map(encode_beat).collect(),
        counts: counts.collect(),
        tables,
        has_traffic: state.has_traffic.get(),
        silent: silent.collect(),
        is_leaf: directory.role() == NodeRole::Leaf,
        changes,
    }
}

/// Whether the heartbeats of other nodes are told to `peer` now; if so, that is noted.
fn are_beats_due(
    state: &GatewayState,
    peer: &Arc<str>,
    changed_at: Option<Instant>,
    now: Instant,
) -> bool {
    let mut told = state.beats_told.borrow_mut();
    let is_due = !state.directory.borrow().is_large()
        || told.get(peer).is_none_or(|at| {
            now.saturating_duration_since(*at) >= BEATS_PAUSE
                || changed_at.is_some_and(|changed_at| changed_at >= *at)
        });
    if is_due {
        told.insert(peer.clone(), now);
    }
    is_due
}

/// Takes over what another node tells. `asked_at` is when its answer was asked for; a message that
/// came unasked may have been on its way for any time.
pub(super) fn take_message(
    state: &GatewayState,
    message: SyncMessage,
    asked_at: Option<Instant>,
) -> (NodeRole, NodeId, PeerVersions) {
    let now = Instant::now();
    let node: NodeId = Arc::from(message.node);
    let role = if message.is_leaf { NodeRole::Leaf } else { NodeRole::Hub };
    let counts: Vec<(Arc<str>, u32)> = message
        .counts
        .into_iter()
        .map(|count| (Arc::from(count.upstream), count.requests))
        .collect();
    {
        let mut directory = state.directory.borrow_mut();
        for beat in message.beats {
            directory.merge(decode_beat(beat), now);
        }
        directory.note_heard(&node, now);
        let source = CountSource::of(directory.is_large(), role, directory.role());
        state.loads.borrow_mut().set_peer(&node, source, counts, now);
    }
    for silent in message.silent {
        let at = now - Duration::from_millis(u64::from(silent.age_ms));
        state.note_silent(&Arc::from(silent.upstream), at, now);
    }
    if message.has_traffic {
        state.has_traffic.set(true);
    }
    let mut versions = PeerVersions::new();
    for copy in message.changes {
        let Some(table) = table_of(copy.table) else { continue };
        if let Some(changes) = decode_changes(copy) {
            state.take_table(table, Some(changes), None);
        }
    }
    for known in message.tables {
        let Some(table) = table_of(known.table) else { continue };
        versions.insert(table, known.version);
        let is_as_new = state.mirror.borrow().version(table) >= Some(known.version);
        let age = Duration::from_millis(u64::from(known.age_ms));
        let fresh_at = asked_at.and_then(|asked_at| asked_at.checked_sub(age));
        if is_as_new && fresh_at.is_some() {
            state.take_table(table, None, fresh_at);
        }
    }
    (role, node, versions)
}

fn table_number(table: SharedTable) -> u32 {
    SharedTable::ALL.iter().position(|known| *known == table).unwrap_or_default() as u32
}

fn table_of(number: u32) -> Option<SharedTable> {
    SharedTable::ALL.get(number as usize).copied()
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

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

/// `None` if a row cannot be read: without it the changes would not be complete.
fn decode_changes(copy: TableCopy) -> Option<TableChanges> {
    let mut rows = Vec::with_capacity(copy.rows.len());
    for row in copy.rows {
        let value = match (row.is_removed, row.is_compressed) {
            (true, _) => None,
            (false, false) => Some(row.value),
            (false, true) => match lz4_flex::decompress_size_prepended(&row.value) {
                Ok(value) => Some(Bytes::from(value)),
                Err(error) => {
                    log::warn!("event=peer_unreadable row={} reason=\"{error}\"", row.key);
                    return None;
                }
            },
        };
        rows.push(RowChange { key: Arc::from(row.key), version: row.version, value });
    }
    let gaps = copy.gaps.into_iter();
    let gaps = gaps.map(|gap| VersionGap { before: gap.before, after: gap.after });
    let (since, version) = (copy.since, copy.version);
    Some(TableChanges { since, version, rows, gaps: gaps.collect() })
}

fn encode_beat(beat: &NodeBeat) -> NodeHeartbeat {
    NodeHeartbeat {
        node: beat.node.to_string(),
        beat: beat.beat,
        stage: match beat.stage {
            NodeStage::Starting => 0,
            NodeStage::Serving => 1,
            NodeStage::Leaving => 2,
        },
        has_store: beat.has_store,
        front: beat.front.to_string(),
        peer: beat.peer.to_string(),
        data_centre: beat.data_centre.to_string(),
        processor_share: beat.processor_share,
        is_planner: beat.is_planner,
    }
}

fn decode_beat(beat: NodeHeartbeat) -> NodeBeat {
    NodeBeat {
        node: Arc::from(beat.node),
        beat: beat.beat,
        stage: match beat.stage {
            0 => NodeStage::Starting,
            1 => NodeStage::Serving,
            _ => NodeStage::Leaving,
        },
        has_store: beat.has_store,
        front: Arc::from(beat.front),
        peer: Arc::from(beat.peer),
        data_centre: Arc::from(beat.data_centre),
        processor_share: beat.processor_share,
        is_planner: beat.is_planner,
    }
}
