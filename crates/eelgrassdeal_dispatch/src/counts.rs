//! Requests of other nodes at each upstream.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{NodeId, UpstreamId};

use crate::directory::NodeRole;

/// Counts older than this are not added: their node is gone or cut off.
const COUNT_LIFETIME: Duration = Duration::from_millis(1_500);

/// Whose requests a message counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountSource {
    /// Those of the node that sent it.
    Node,
    /// Those of a hub and of the leaves that report to it.
    Hub,
    /// Those of all nodes but the recipient.
    Fleet,
}

impl CountSource {
    /// Whose requests a message from a node of `sender` to one of `recipient` counts, where
    /// `is_large` tells whether there are leaves at all.
    pub fn of(is_large: bool, sender: NodeRole, recipient: NodeRole) -> Self {
        match (is_large, sender, recipient) {
            (false, _, _) | (true, NodeRole::Leaf, _) => Self::Node,
            (true, NodeRole::Hub, NodeRole::Hub) => Self::Hub,
            (true, NodeRole::Hub, NodeRole::Leaf) => Self::Fleet,
        }
    }
}

#[derive(Clone, Debug)]
struct PeerCounts {
    source: CountSource,
    noted_at: Instant,
    counts: Vec<(UpstreamId, u32)>,
}

impl PeerCounts {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.noted_at) < COUNT_LIFETIME
    }
}

/// Requests of other nodes at each upstream, as they told.
#[derive(Clone, Debug, Default)]
pub(crate) struct CountBook {
    peers: HashMap<NodeId, PeerCounts>,
    /// Sums over `peers`.
    sums: HashMap<UpstreamId, u32>,
    /// When the oldest of `peers` was noted.
    oldest: Option<Instant>,
}

impl CountBook {
    /// Takes over a peer's counts, which replace its earlier ones.
    pub(crate) fn set(
        &mut self,
        peer: &NodeId,
        source: CountSource,
        counts: Vec<(UpstreamId, u32)>,
        now: Instant,
    ) {
        // Counts of the whole fleet include those that others told before.
        self.peers.retain(|known, entry| {
            let is_included = source == CountSource::Fleet || entry.source == CountSource::Fleet;
            known != peer && !is_included && entry.is_fresh(now)
        });
        self.peers.insert(peer.clone(), PeerCounts { source, noted_at: now, counts });
        self.sums.clear();
        for (upstream, count) in self.peers.values().flat_map(|entry| &entry.counts) {
            *self.sums.entry(upstream.clone()).or_default() += count;
        }
        self.oldest = self.peers.values().map(|entry| entry.noted_at).min();
    }

    /// Requests of other nodes at an upstream.
    pub(crate) fn total(&self, upstream: &str, now: Instant) -> u32 {
        let is_current =
            self.oldest.is_none_or(|at| now.saturating_duration_since(at) < COUNT_LIFETIME);
        if is_current {
            return self.sums.get(upstream).copied().unwrap_or(0);
        }
        self.fresh(now)
            .flat_map(|(_, entry)| &entry.counts)
            .filter(|(known, _)| **known == *upstream)
            .map(|(_, count)| count)
            .sum()
    }

    /// Counts of the nodes that `is_wanted` names, by upstream.
    pub(crate) fn collect(
        &self,
        is_wanted: impl Fn(&NodeId, CountSource) -> bool,
        now: Instant,
    ) -> impl Iterator<Item = &(UpstreamId, u32)> {
        self.fresh(now)
            .filter(move |(node, entry)| is_wanted(node, entry.source))
            .flat_map(|(_, entry)| &entry.counts)
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = (&NodeId, &PeerCounts)> {
        self.peers.iter().filter(move |(_, entry)| entry.is_fresh(now))
    }
}
