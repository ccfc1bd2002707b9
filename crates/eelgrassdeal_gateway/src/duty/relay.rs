//! Usage counts, sealed reports and clocks in the messages between nodes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{
    NodeDirectory, NodeRole, SealedReport, SourceCounts, UsageDelta, UsageScope, UsageSource,
    WindowCounts,
};
use eelgrassdeal_schema::gateway::{
    SealedUsage, UsageEntries, UsageSource as SourceMessage, UsageSync,
    UsageWindow as WindowMessage,
};
use eelgrassdeal_types::NodeId;

use crate::state::GatewayState;

/// Interval at which all sealed reports are sent to a hub. Changes are sent at once. A hub that restarted
/// must have them before it may act as the holder, which takes 3 s or more.
const SEALED_RELAY_INTERVAL: Duration = Duration::from_secs(2);

/// Sender of a message, and how the message came.
pub(crate) struct UsageMessage<'a> {
    pub(crate) node: &'a NodeId,
    pub(crate) role: NodeRole,
    /// Address of the sender for peers.
    pub(crate) peer_address: Option<Arc<str>>,
    /// When the request was sent to which the message replies; `None` for a request.
    pub(crate) requested_at: Option<Instant>,
}

/// Part of a message to another node; `None` if the deployment reports no usage. `recipient_key` is the
/// peer address of the recipient for a request, and its id for a reply.
pub(crate) fn encode_usage_sync(
    state: &GatewayState,
    directory: &NodeDirectory,
    recipient_key: &Arc<str>,
    recipient: (NodeRole, Option<&NodeId>),
    now: Instant,
) -> Option<UsageSync> {
    let usage = state.usage.as_ref()?;
    let (role, id) = recipient;
    let node = id.cloned().or_else(|| usage.peer_nodes.borrow().get(recipient_key).cloned());
    let scope = match role {
        NodeRole::Hub => UsageScope::OwnAndLeaves,
        // A holder of the lease that is no hub any more still reports.
        NodeRole::Leaf if is_holder(directory, node.as_ref(), now) => UsageScope::Everything,
        NodeRole::Leaf => UsageScope::Nothing,
    };
    let delta = usage.ledger.borrow_mut().delta_for(node.as_ref(), scope);
    let clock = usage.clock.borrow();
    let is_sealed_due = scope != UsageScope::Nothing
        && directory.role() == NodeRole::Hub
        && usage.take_seal_relay(recipient_key, SEALED_RELAY_INTERVAL, now);
    let sealed = if is_sealed_due { usage.kept_reports(now) } else { Vec::new() };
    Some(UsageSync {
        start_id: delta.start,
        sequence: delta.sequence,
        since: delta.since,
        acked_start_id: delta.acked_start,
        acked_sequence: delta.acked_sequence,
        clock_unix_ms: clock.anchored_unix_ms(now),
        time_unix_ms: clock.unix_ms(now),
        entries: (!delta.sources.is_empty()).then(|| encode_entries(&delta.sources)),
        sealed: sealed.iter().map(encode_sealed).collect(),
    })
}

fn is_holder(directory: &NodeDirectory, node: Option<&NodeId>, now: Instant) -> bool {
    let mut others = directory.live_others(now);
    node.is_some_and(|node| others.any(|beat| beat.node == *node && beat.is_planner))
}

/// Adopts what another node says of usage.
pub(crate) fn adopt_usage(
    state: &GatewayState,
    message: UsageMessage<'_>,
    sync: UsageSync,
    now: Instant,
) {
    let Some(usage) = &state.usage else { return };
    let UsageMessage { node, role, peer_address, requested_at } = message;
    if let Some(address) = peer_address {
        let mut nodes = usage.peer_nodes.borrow_mut();
        if nodes.get(&address) != Some(node) {
            nodes.insert(address, node.clone());
        }
    }
    if let Some(requested_at) = requested_at {
        let is_leaf = state.directory.borrow().role() == NodeRole::Leaf;
        let clocks = (sync.clock_unix_ms, sync.time_unix_ms);
        usage.clock.borrow_mut().record_reply(node, clocks, (requested_at, now), is_leaf);
    }
    let delta = UsageDelta {
        start: sync.start_id,
        sequence: sync.sequence,
        since: sync.since,
        acked_start: sync.acked_start_id,
        acked_sequence: sync.acked_sequence,
        sources: sync.entries.map(decode_entries).unwrap_or_default(),
    };
    let current = usage.current_window(now);
    usage.ledger.borrow_mut().apply(node, role == NodeRole::Leaf, delta, current);
    let kept = usage.times.first_kept(usage.unix_ms(now))..=current;
    for sealed in sync.sealed.into_iter().filter(|sealed| kept.contains(&sealed.window)) {
        usage.record_report(decode_sealed(sealed), false);
    }
}

/// Encodes counts. Names are sent once, and referred to by their index.
pub(super) fn encode_entries(sources: &[SourceCounts]) -> UsageEntries {
    let mut names: Vec<String> = Vec::new();
    let mut indexes: HashMap<Arc<str>, u32> = HashMap::new();
    let mut index_of = |name: &Arc<str>| match indexes.get(name) {
        Some(index) => *index,
        None => {
            let index = names.len() as u32;
            names.push(name.to_string());
            indexes.insert(name.clone(), index);
            index
        }
    };
    let mut messages = Vec::with_capacity(sources.len());
    for SourceCounts { source, windows } in sources {
        let node = index_of(&source.node);
        let mut encode_window = |window: &WindowCounts| WindowMessage {
            window: window.window,
            accounts: window.counts.iter().map(|(account, _)| index_of(account)).collect(),
            counts: window.counts.iter().map(|(_, count)| *count).collect(),
        };
        let windows = windows.iter().map(&mut encode_window).collect();
        messages.push(SourceMessage { node, start_id: source.start, windows });
    }
    UsageEntries { names, sources: messages }
}

/// Decodes counts. Entries with an unknown index are left out.
pub(super) fn decode_entries(entries: UsageEntries) -> Vec<SourceCounts> {
    let names: Vec<Arc<str>> = entries.names.into_iter().map(Arc::from).collect();
    let name_at = |index: u32| names.get(index as usize).cloned();
    let decode_window = |window: WindowMessage| {
        let counts = window.accounts.into_iter().zip(window.counts);
        let counts = counts.filter_map(|(account, count)| Some((name_at(account)?, count)));
        WindowCounts { window: window.window, counts: counts.collect() }
    };
    let sources = entries.sources.into_iter().filter_map(|source| {
        let windows = source.windows.into_iter().map(decode_window).collect();
        let source = UsageSource { node: name_at(source.node)?, start: source.start_id };
        Some(SourceCounts { source, windows })
    });
    sources.collect()
}

pub(super) fn encode_sealed(report: &SealedReport) -> SealedUsage {
    let SealedReport { window, body, is_reported } = report;
    SealedUsage { window: *window, body: body.clone(), is_reported: *is_reported }
}

pub(super) fn decode_sealed(sealed: SealedUsage) -> SealedReport {
    let SealedUsage { window, body, is_reported } = sealed;
    SealedReport { window, body, is_reported }
}
