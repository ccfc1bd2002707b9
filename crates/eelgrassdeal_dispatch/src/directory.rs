//! Nodes as they are known by heartbeats that are passed on between them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{DataCentreId, NodeId};

/// A node without a newer heartbeat for this long takes no new callers. Several rounds of messages.
const LIVE_TIME: Duration = Duration::from_millis(2_000);
/// The same in a large fleet, where a heartbeat passes through several nodes.
const LARGE_LIVE_TIME: Duration = Duration::from_millis(5_000);
/// Known nodes from which on a fleet is large: each exchanges messages with some of them only.
const LARGE_FLEET: usize = 12;
/// A silent node counts for the shares of the limits for this long: it may be cut off and go on.
const COUNTED_TIME: Duration = Duration::from_secs(30);

/// A silent node may be behind a cut for this long, and reach upstreams that others do not.
const CUT_TIME: Duration = Duration::from_secs(9);
/// Nodes that compete for the planner's lease.
const PLANNER_CANDIDATES: usize = 2;

/// Where a node is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeStage {
    /// Has no configuration or fleet yet.
    Starting,
    /// Takes callers.
    Serving,
    /// Takes no new callers and finishes.
    Leaving,
}

/// Heartbeat of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeBeat {
    /// Node.
    pub node: NodeId,
    /// Rises while the node runs, also over its restarts.
    pub beat: u64,
    /// Where it is in its life.
    pub stage: NodeStage,
    /// Whether it reached the store lately.
    pub has_store: bool,
    /// Address for callers.
    pub front: Arc<str>,
    /// Address for other nodes.
    pub peer: Arc<str>,
    /// Data centre.
    pub data_centre: DataCentreId,
}

#[derive(Clone, Debug)]
struct KnownNode {
    beat: NodeBeat,
    advanced_at: Instant,
}

/// All nodes that this node knows of, itself included.
#[derive(Clone, Debug)]
pub struct NodeDirectory {
    own: NodeBeat,
    others: BTreeMap<NodeId, KnownNode>,
}

impl NodeDirectory {
    /// Knows only the node itself.
    pub fn new(own: NodeBeat) -> Self {
        Self { own, others: BTreeMap::new() }
    }

    /// Whether there are too many nodes for each to exchange messages with all.
    pub fn is_large(&self) -> bool {
        self.others.len() >= LARGE_FLEET
    }

    fn live_time(&self) -> Duration {
        if self.is_large() { LARGE_LIVE_TIME } else { LIVE_TIME }
    }

    /// The node's own heartbeat.
    pub fn own(&self) -> &NodeBeat {
        &self.own
    }

    /// Begins a new heartbeat.
    pub fn advance(&mut self, stage: NodeStage, has_store: bool) {
        self.own.beat += 1;
        self.own.stage = stage;
        self.own.has_store = has_store;
    }

    /// Takes over a heartbeat if it is newer than the known one.
    pub fn merge(&mut self, beat: NodeBeat, now: Instant) {
        if beat.node == self.own.node {
            // Heartbeats of an earlier life are still passed on: go on above them.
            self.own.beat = self.own.beat.max(beat.beat);
            return;
        }
        match self.others.get_mut(&beat.node) {
            Some(known) if known.beat.beat >= beat.beat => {}
            _ => {
                let known = KnownNode { beat, advanced_at: now };
                self.others.insert(known.beat.node.clone(), known);
            }
        }
    }

    /// Heartbeats to pass on: the node's own and those of nodes that are not long silent.
    pub fn beats(&self, now: Instant) -> Vec<NodeBeat> {
        std::iter::once(&self.own).chain(self.live_others(now)).cloned().collect()
    }

    /// Nodes that are alive, without this one.
    pub fn live_others(&self, now: Instant) -> impl Iterator<Item = &NodeBeat> {
        let live_time = self.live_time();
        self.others
            .values()
            .filter(move |known| now.duration_since(known.advanced_at) < live_time)
            .map(|known| &known.beat)
    }

    /// Peer addresses of all nodes that were ever heard of and did not leave.
    pub fn known_peers(&self) -> impl Iterator<Item = &Arc<str>> {
        self.others
            .values()
            .filter(|known| known.beat.stage != NodeStage::Leaving)
            .map(|known| &known.beat.peer)
    }

    /// Peer addresses of the other nodes that may run, also of those that were silent for a while.
    pub fn possible_peers(&self, now: Instant) -> Vec<Arc<str>> {
        let may_run = |known: &&KnownNode| {
            let age = now.duration_since(known.advanced_at);
            age < CUT_TIME && known.beat.stage != NodeStage::Leaving
        };
        self.others.values().filter(may_run).map(|known| known.beat.peer.clone()).collect()
    }

    /// Number of nodes that share the limits, this one included. Nodes that were silent for a
    /// while count: they may be cut off from this node only.
    pub fn sharing_nodes(&self, now: Instant) -> usize {
        let is_counted = |known: &&KnownNode| {
            let age = now.duration_since(known.advanced_at);
            age < LIVE_TIME || (age < COUNTED_TIME && known.beat.stage != NodeStage::Leaving)
        };
        1 + self.others.values().filter(is_counted).count()
    }

    /// Front addresses of the nodes that take callers.
    pub fn serving_fronts(&self, now: Instant) -> Vec<Arc<str>> {
        std::iter::once(&self.own)
            .chain(self.live_others(now))
            .filter(|beat| beat.stage == NodeStage::Serving && !beat.front.is_empty())
            .map(|beat| beat.front.clone())
            .collect()
    }

    /// Whether this node is among the first nodes, by id, of those that may plan. The others leave
    /// the lease to them, which saves calls to the store.
    pub fn is_planner_candidate(&self, now: Instant) -> bool {
        let may_plan = |beat: &&NodeBeat| beat.has_store && beat.stage == NodeStage::Serving;
        let before =
            self.live_others(now).filter(may_plan).filter(|beat| beat.node < self.own.node).count();
        may_plan(&&self.own) && before < PLANNER_CANDIDATES
    }

    /// Forgets nodes that have been silent for long.
    pub fn forget_silent(&mut self, now: Instant) {
        self.others.retain(|_, known| now.duration_since(known.advanced_at) < COUNTED_TIME * 2);
    }
}
