//! Numbers that other nodes report: of requests in progress at each upstream, and of requests in each queue
//! that need slots of other nodes.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use eelgrassdeal_types::NodeId;

use crate::balance::MeanCount;
use crate::directory::NodeRole;

/// Counts older than this are ignored: their node has ended or is behind a network partition.
const COUNT_LIFETIME: Duration = Duration::from_millis(1_500);
/// Mean counts below this value are dropped: the upstream is unused or gone.
const MIN_MEAN: f64 = 0.01;

/// The nodes whose requests are included in the counts of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountScope {
    /// Only the node that sent the message.
    Node,
    /// The hub that sent the message and the leaves that report to it.
    Hub,
    /// All nodes except the recipient.
    Fleet,
}

impl CountScope {
    /// The scope of a message from a node with the role `sender` to one with the role `recipient`.
    /// `is_large` is whether the fleet is large; a small fleet has no leaves. A leaf sends messages to
    /// hubs, and only replies to nodes with outdated heartbeats that take it for one.
    pub fn for_message(
        is_large: bool,
        sender: NodeRole,
        recipient: NodeRole,
        is_reply: bool,
    ) -> Self {
        match (is_large, sender, recipient) {
            (false, _, _) | (true, NodeRole::Leaf, NodeRole::Hub) => Self::Node,
            (true, NodeRole::Hub, NodeRole::Hub) => Self::Hub,
            (true, NodeRole::Hub, NodeRole::Leaf) => Self::Fleet,
            (true, NodeRole::Leaf, NodeRole::Leaf) if is_reply => Self::Fleet,
            (true, NodeRole::Leaf, NodeRole::Leaf) => Self::Node,
        }
    }
}

/// The counts in the last message of one peer.
#[derive(Clone, Debug)]
struct PeerCounts<K> {
    scope: CountScope,
    received_at: Instant,
    counts: Vec<(K, u32)>,
}

impl<K> PeerCounts<K> {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < COUNT_LIFETIME
    }
}

/// Number of requests of other nodes by upstream or by queue, from the last message of each peer.
#[derive(Clone, Debug)]
pub(crate) struct CountTracker<K> {
    peers: HashMap<NodeId, PeerCounts<K>>,
    /// Sums over all entries of `peers`.
    sums: HashMap<K, u32>,
    /// When the oldest entry of `peers` was received. `sums` is valid until it expires.
    oldest: Option<Instant>,
    /// When the last message with counts of the whole fleet was received. `None` for a node that gets
    /// counts of other scopes.
    fleet_at: Option<Instant>,
    /// When the last message with counts that passed a hub was received.
    relayed_at: Option<Instant>,
    /// Mean counts of the whole fleet.
    means: HashMap<K, MeanCount>,
}

impl<K> Default for CountTracker<K> {
    fn default() -> Self {
        Self {
            peers: HashMap::new(),
            sums: HashMap::new(),
            oldest: None,
            fleet_at: None,
            relayed_at: None,
            means: HashMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> CountTracker<K> {
    /// Replaces the counts of a peer.
    pub(crate) fn set(
        &mut self,
        peer: &NodeId,
        scope: CountScope,
        counts: Vec<(K, u32)>,
        now: Instant,
    ) {
        // Counts of the whole fleet already include those of every hub and must not be added to
        // them, so the newer of the two replaces the older. Those of a leaf that takes this node for
        // its hub reach no hub.
        self.peers.retain(|node, entry| {
            let is_overlapping = match (scope, entry.scope) {
                (CountScope::Fleet, known) => known != CountScope::Node,
                (CountScope::Hub, known) => known == CountScope::Fleet,
                (CountScope::Node, _) => false,
            };
            node != peer && !is_overlapping && entry.is_fresh(now)
        });
        self.peers.insert(peer.clone(), PeerCounts { scope, received_at: now, counts });
        self.sums.clear();
        for (key, count) in self.peers.values().flat_map(|entry| &entry.counts) {
            let sum = self.sums.entry(key.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        self.oldest = self.peers.values().map(|entry| entry.received_at).min();
        match scope {
            CountScope::Node => {}
            CountScope::Hub | CountScope::Fleet => self.relayed_at = Some(now),
        }
        if scope == CountScope::Hub {
            self.fleet_at = None;
            self.means.clear();
        }
    }

    /// Updates the mean counts of the fleet from the counts just received and those of this node.
    pub(crate) fn update_means(&mut self, own: impl Fn(&K) -> u32, now: Instant) {
        let since = self.fleet_at.replace(now);
        let elapsed = since.map_or(COUNT_LIFETIME, |at| now.saturating_duration_since(at));
        for upstream in self.sums.keys() {
            self.means.entry(upstream.clone()).or_default();
        }
        for (upstream, mean) in &mut self.means {
            let others = self.sums.get(upstream).copied().unwrap_or(0);
            mean.add(others.saturating_add(own(upstream)), elapsed);
        }
        self.means.retain(|_, mean| mean.get() >= MIN_MEAN);
    }

    /// When counts that passed a hub were last received.
    pub(crate) fn counted_at(&self) -> Option<Instant> {
        self.relayed_at
    }

    /// Whether counts are received through hubs, as in a large fleet.
    pub(crate) fn is_relayed(&self, now: Instant) -> bool {
        self.relayed_at.is_some_and(|at| now.saturating_duration_since(at) < COUNT_LIFETIME)
    }

    /// Mean number of requests of all nodes; 0 at a hub.
    pub(crate) fn mean<Q: Eq + Hash + ?Sized>(&self, key: &Q) -> f64
    where
        K: Borrow<Q>,
    {
        self.means.get(key).map_or(0.0, |mean| mean.get())
    }

    /// Number of requests of other nodes.
    pub(crate) fn total<Q: Eq + Hash + ?Sized>(&self, key: &Q, now: Instant) -> u32
    where
        K: Borrow<Q>,
    {
        let is_current =
            self.oldest.is_none_or(|at| now.saturating_duration_since(at) < COUNT_LIFETIME);
        if is_current {
            return self.sums.get(key).copied().unwrap_or(0);
        }
        self.fresh(now)
            .flat_map(|(_, entry)| &entry.counts)
            .filter(|(counted, _)| counted.borrow() == key)
            .fold(0, |sum, (_, count)| sum.saturating_add(*count))
    }

    /// Counts in the messages that `is_included` selects by their sender and scope. A key occurs once for
    /// each message that counts it.
    pub(crate) fn collect(
        &self,
        is_included: impl Fn(&NodeId, CountScope) -> bool,
        now: Instant,
    ) -> impl Iterator<Item = &(K, u32)> {
        self.fresh(now)
            .filter(move |(node, entry)| is_included(node, entry.scope))
            .flat_map(|(_, entry)| &entry.counts)
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = (&NodeId, &PeerCounts<K>)> {
        self.peers.iter().filter(move |(_, entry)| entry.is_fresh(now))
    }
}
