//! Messages between nodes.

use std::sync::Arc;
use std::time::Instant;

use eelgrassdeal_dispatch::{NodeBeat, NodeStage};
use eelgrassdeal_platform::{RowChange, SharedTable, TableChanges};
use eelgrassdeal_schema::gateway::{
    NodeHeartbeat, RowCopy, SyncMessage, TableCopy, TableVersion, UpstreamCount,
};

use crate::state::GatewayState;

/// Begins a new heartbeat of this node.
pub(crate) fn note_own_beat(state: &GatewayState) {
    let now = Instant::now();
    let has_store = state.contact.is_reached(now);
    let mut directory = state.directory.borrow_mut();
    directory.advance(state.stage.get(), has_store);
    directory.forget_silent(now);
}

/// What this node tells others.
pub(super) fn own_message(state: &GatewayState) -> SyncMessage {
    let now = Instant::now();
    let mirror = state.mirror.borrow();
    let versions = SharedTable::ALL.iter().enumerate().filter_map(|(index, table)| {
        let version = mirror.version(*table)?;
        Some(TableVersion { table: index as u32, version })
    });
    let counts = state
        .loads
        .borrow()
        .own_counts()
        .into_iter()
        .map(|(upstream, requests)| UpstreamCount { upstream: upstream.to_string(), requests });
    SyncMessage {
        node: state.settings().node.to_string(),
        beats: state.directory.borrow().beats(now).iter().map(encode_beat).collect(),
        counts: counts.collect(),
        versions: versions.collect(),
        has_traffic: state.has_traffic.get(),
        silent: state.silent_upstreams(true, now).iter().map(|id| id.to_string()).collect(),
    }
}

/// Takes over what another node tells.
pub(super) fn take_message(state: &GatewayState, message: SyncMessage) {
    let now = Instant::now();
    let node: Arc<str> = Arc::from(message.node);
    let counts: Vec<(Arc<str>, u32)> = message
        .counts
        .into_iter()
        .map(|count| (Arc::from(count.upstream), count.requests))
        .collect();
    state.loads.borrow_mut().set_peer(&node, &counts, now);
    let mut directory = state.directory.borrow_mut();
    for beat in message.beats {
        directory.merge(decode_beat(beat), now);
    }
    for upstream in message.silent {
        state.note_silent(&Arc::from(upstream), false, now);
    }
    if message.has_traffic {
        state.has_traffic.set(true);
    }
}

/// A copy of a table for another node.
pub(super) fn table_copy(state: &GatewayState, table: SharedTable) -> TableCopy {
    let mirror = state.mirror.borrow();
    let Some(table) = mirror.table(table) else { return TableCopy::default() };
    let rows = table.rows().map(|(key, version, value)| RowCopy {
        key: key.to_string(),
        version,
        value: value.clone(),
    });
    TableCopy { version: table.version.unwrap_or(0), rows: rows.collect() }
}

/// All rows of a copied table.
pub(super) fn table_changes(copy: TableCopy) -> TableChanges {
    let rows = copy.rows.into_iter().map(|row| RowChange {
        key: Arc::from(row.key),
        version: row.version,
        value: Some(row.value),
    });
    TableChanges { rows: rows.collect(), version: copy.version }
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
    }
}
