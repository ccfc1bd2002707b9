//! Nodes as they are known by heartbeats that are passed on between them.
//!
//! In a small fleet every node exchanges messages with all others. In a large one only some of them,
//! the hubs, do so; each of the other nodes exchanges messages with one hub.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
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
/// Nodes that one hub tells of changes: a hub of an eighth of a core spends about a twentieth of it
/// on their messages.
const NODES_PER_HUB: usize = 20;
/// A hub that did not answer is left out for this long.
const HUB_AVOID_TIME: Duration = Duration::from_millis(2_000);

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

/// Part that a node plays among the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeRole {
    /// Exchanges messages with all other hubs.
    Hub,
    /// Exchanges messages with one hub.
    Leaf,
}

/// What changes of a node from one heartbeat to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeCondition {
    /// Where it is in its life.
    pub stage: NodeStage,
    /// Whether the store answers it, as far as it knows.
    pub has_store: bool,
    /// Whether it holds the planner's lease.
    pub is_planner: bool,
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
    /// Whether the store answers it, as far as it knows.
    pub has_store: bool,
    /// Whether it holds the planner's lease.
    pub is_planner: bool,
    /// Address for callers.
    pub front: Arc<str>,
    /// Address for other nodes.
    pub peer: Arc<str>,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Processor share of the node in thousandths of a core. Larger nodes become hubs first.
    pub processor_share: u32,
}

impl NodeBeat {
    fn condition(&self) -> NodeCondition {
        NodeCondition { stage: self.stage, has_store: self.has_store, is_planner: self.is_planner }
    }

    /// How well others may rely on the node for news of the store. The planner follows the store
    /// anyway.
    fn fitness(&self) -> u32 {
        4 * u32::from(self.stage == NodeStage::Serving)
            + 2 * u32::from(self.has_store)
            + u32::from(self.is_planner)
    }
}

#[derive(Clone, Debug)]
struct KnownNode {
    beat: NodeBeat,
    advanced_at: Instant,
    /// When the node itself last sent a message.
    heard_at: Option<Instant>,
    /// Until when the node is left out as a hub.
    avoid_until: Option<Instant>,
}

/// All nodes that this node knows of, itself included.
#[derive(Clone, Debug)]
pub struct NodeDirectory {
    own: NodeBeat,
    others: BTreeMap<NodeId, KnownNode>,
    /// When a node was first heard of or changed what it does.
    changed_at: Option<Instant>,
    /// Nodes by their fitness to serve the others, at the last heartbeat.
    ranked: Vec<NodeId>,
    /// The first of `ranked` are hubs.
    hub_count: usize,
}

impl NodeDirectory {
    /// Knows only the node itself.
    pub fn new(own: NodeBeat) -> Self {
        Self { own, others: BTreeMap::new(), changed_at: None, ranked: Vec::new(), hub_count: 1 }
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

    /// Begins a new heartbeat, and looks which nodes are hubs.
    pub fn advance(&mut self, current: NodeCondition, now: Instant) {
        self.own.beat += 1;
        self.own.stage = current.stage;
        self.own.has_store = current.has_store;
        self.own.is_planner = current.is_planner;
        self.ranked = self.rank(now);
        self.hub_count = self.ranked.len().div_ceil(NODES_PER_HUB);
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
            Some(known) => {
                if known.beat.condition() != beat.condition() {
                    self.changed_at = Some(now);
                }
                known.beat = beat;
                known.advanced_at = now;
            }
            None => {
                self.changed_at = Some(now);
                let known = KnownNode { beat, advanced_at: now, heard_at: None, avoid_until: None };
                self.others.insert(known.beat.node.clone(), known);
            }
        }
    }

    /// Notes a message that came from `node` itself.
    pub fn note_heard(&mut self, node: &NodeId, now: Instant) {
        if let Some(known) = self.others.get_mut(node) {
            known.heard_at = Some(now);
        }
    }

    /// Heartbeats for a node that plays `recipient`: the own one, and those of the nodes of which
    /// it hears through this node.
    pub fn beats(&self, recipient: NodeRole, now: Instant) -> Vec<NodeBeat> {
        let is_passed_on = |beat: &&NodeBeat| match (self.is_large(), self.role(), recipient) {
            (false, _, _) | (true, NodeRole::Hub, NodeRole::Leaf) => true,
            (true, NodeRole::Hub, NodeRole::Hub) => self.is_heard(&beat.node, now),
            (true, NodeRole::Leaf, _) => false,
        };
        let others = self.live_others(now).filter(is_passed_on);
        std::iter::once(&self.own).chain(others).cloned().collect()
    }

    /// Whether a node itself sent a message lately.
    fn is_heard(&self, node: &NodeId, now: Instant) -> bool {
        let heard_at = self.others.get(node).and_then(|known| known.heard_at);
        heard_at.is_some_and(|at| now.saturating_duration_since(at) < LIVE_TIME)
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

    /// Other nodes that share the limits. Nodes that were silent for a while count: they may be cut
    /// off from this node only.
    fn sharing_others(&self, now: Instant) -> impl Iterator<Item = &NodeId> {
        let is_counted = move |known: &&KnownNode| {
            let age = now.duration_since(known.advanced_at);
            age < LIVE_TIME || (age < COUNTED_TIME && known.beat.stage != NodeStage::Leaving)
        };
        self.others.values().filter(is_counted).map(|known| &known.beat.node)
    }

    /// Number of nodes that share the limits, this one included.
    pub fn sharing_nodes(&self, now: Instant) -> usize {
        1 + self.sharing_others(now).count()
    }

    /// Whether this node is one of `count` that use what is named `name`. Every node names the same
    /// ones, as far as they know of each other, and others for another name.
    pub fn is_among(&self, name: &str, count: usize, now: Instant) -> bool {
        let rank = |node: &str| name_hash(&format!("{name}/{node}"));
        let own = rank(&self.own.node);
        self.sharing_others(now).filter(|node| rank(node) < own).count() < count
    }

    /// Front addresses of the nodes that take callers.
    pub fn serving_fronts(&self, now: Instant) -> Vec<Arc<str>> {
        std::iter::once(&self.own)
            .chain(self.live_others(now))
            .filter(|beat| beat.stage == NodeStage::Serving && !beat.front.is_empty())
            .map(|beat| beat.front.clone())
            .collect()
    }

    /// When a node was first heard of or changed what it does.
    pub fn changed_at(&self) -> Option<Instant> {
        self.changed_at
    }

    /// Live nodes by their fitness to serve the others: spread over the data centres, larger ones
    /// first.
    fn rank(&self, now: Instant) -> Vec<NodeId> {
        let mut live: Vec<_> = std::iter::once(&self.own).chain(self.live_others(now)).collect();
        live.sort_by_key(|beat| {
            (Reverse(beat.fitness()), Reverse(beat.processor_share), beat.node.clone())
        });
        let mut counts: HashMap<(u32, &DataCentreId), usize> = HashMap::new();
        let mut ranked = Vec::with_capacity(live.len());
        for beat in live {
            let count = counts.entry((beat.fitness(), &beat.data_centre)).or_default();
            *count += 1;
            ranked.push((
                Reverse(beat.fitness()),
                *count,
                Reverse(beat.processor_share),
                &beat.node,
            ));
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(.., node)| node.clone()).collect()
    }

    fn hubs(&self) -> &[NodeId] {
        &self.ranked[..self.hub_count.min(self.ranked.len())]
    }

    /// Whether this node follows the store on behalf of all others.
    pub fn is_reader(&self) -> bool {
        self.ranked.first() == Some(&self.own.node)
    }

    /// Whether this node is one of few that exchange messages with all others of them.
    pub fn is_hub(&self) -> bool {
        self.is_large() && self.hubs().contains(&self.own.node)
    }

    /// The part that this node plays.
    pub fn role(&self) -> NodeRole {
        if !self.is_large() || self.is_hub() { NodeRole::Hub } else { NodeRole::Leaf }
    }

    /// Peer addresses of the nodes to exchange messages with.
    pub fn partners(&self, now: Instant) -> Vec<Arc<str>> {
        if !self.is_large() {
            return self.known_peers().cloned().collect();
        }
        let hubs: Vec<_> = self.hubs().iter().filter_map(|hub| self.others.get(hub)).collect();
        match self.role() {
            NodeRole::Hub => hubs.iter().map(|hub| hub.beat.peer.clone()).collect(),
            NodeRole::Leaf => self.choose_hub(&hubs, now).into_iter().collect(),
        }
    }

    /// Peer address of the hub that a leaf reports to, near ones first.
    fn choose_hub(&self, hubs: &[&KnownNode], now: Instant) -> Option<Arc<str>> {
        let is_usable = |hub: &&&KnownNode| hub.avoid_until.is_none_or(|until| until <= now);
        let is_near = |hub: &&&KnownNode| hub.beat.data_centre == self.own.data_centre;
        let near: Vec<_> = hubs.iter().filter(is_usable).filter(is_near).collect();
        let usable: Vec<_> = hubs.iter().filter(is_usable).collect();
        let candidates = match (near.is_empty(), usable.is_empty()) {
            (false, _) => near,
            (true, false) => usable,
            (true, true) => hubs.iter().collect(),
        };
        let position = name_hash(&self.own.node) % candidates.len().max(1);
        candidates.get(position).map(|hub| hub.beat.peer.clone())
    }

    /// Leaves a hub that did not answer out for a while.
    pub fn avoid_hub(&mut self, peer: &str, now: Instant) {
        for known in self.others.values_mut().filter(|known| *known.beat.peer == *peer) {
            known.avoid_until = Some(now + HUB_AVOID_TIME);
        }
    }

    /// Whether this node is among the first that may plan. The others leave the lease to them, which
    /// saves calls to the store.
    pub fn is_planner_candidate(&self) -> bool {
        let may_plan = |node: &&NodeId| {
            let others = self.others.get(*node).map(|known| &known.beat);
            let beat = if **node == self.own.node { Some(&self.own) } else { others };
            beat.is_some_and(|beat| beat.has_store && beat.stage == NodeStage::Serving)
        };
        self.ranked
            .iter()
            .filter(may_plan)
            .take(PLANNER_CANDIDATES)
            .any(|node| *node == self.own.node)
    }

    /// Forgets nodes that have been silent for long.
    pub fn forget_silent(&mut self, now: Instant) {
        self.others.retain(|_, known| now.duration_since(known.advanced_at) < COUNTED_TIME * 2);
    }
}

/// A number that is the same on every node, to spread choices by name (FNV-1a with a final mix).
fn name_hash(name: &str) -> usize {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    const MIXER: u64 = 0x9e37_79b9_7f4a_7c15;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    let hash = name.bytes().fold(OFFSET, step);
    // Names that differ in their last letters only differ in few bits until here.
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(MIXER);
    (mixed ^ (mixed >> 29)) as usize
}
