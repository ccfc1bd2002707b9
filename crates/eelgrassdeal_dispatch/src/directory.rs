//! Directory of the nodes, built from heartbeats that nodes forward to each other.
//!
//! In a small fleet every node exchanges messages with all others. In a large fleet only a few
//! nodes, the hubs, exchange messages with each other; every other node, a leaf, exchanges messages
//! with one hub.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{DataCentreId, NodeId};

use crate::slot_share::SlotShare;

/// Time without a newer heartbeat after which a node counts as failed and callers are not sent to
/// it. Covers several rounds of messages.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Liveness timeout in a large fleet, where a heartbeat is forwarded by several nodes. Counted from the
/// time at which the node itself sent it.
const LARGE_FLEET_LIVENESS_TIMEOUT: Duration = Duration::from_millis(6_000);
/// A fleet counts as large if a node knows at least this many other nodes, silent ones included.
const LARGE_FLEET_MIN_OTHERS: usize = 12;
/// Time for which a silent node still counts for the shares of the fleet-wide limits: it may keep
/// running behind a network partition.
const LIMIT_SHARE_RETENTION: Duration = Duration::from_secs(30);

/// Time for which orders are also relayed through a silent node: it may be running behind a network
/// partition and reach upstreams that other nodes do not. Longer than the time after which the
/// planner considers a head behind a partition terminated.
const PARTITIONED_NODE_TIMEOUT: Duration = Duration::from_secs(9);
/// Number of nodes that compete for the planner's lease.
const PLANNER_CANDIDATES: usize = 2;
/// Number of nodes per hub. A hub with an eighth of a core spends about a twentieth of its CPU share
/// on the messages of this many nodes.
const NODES_PER_HUB: usize = 20;
/// Time for which a leaf does not select a hub that did not answer.
const HUB_AVOID_PERIOD: Duration = Duration::from_millis(2_000);

/// Name by which the nodes are put in the order in which locators name them.
const LOCATOR_ORDER: &str = "locator";

/// Lifecycle stage of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeStage {
    /// The node has not yet read the configuration and the fleet.
    Starting,
    /// The node accepts requests of callers.
    Serving,
    /// The node is shutting down: it finishes its requests, and callers are not sent to it.
    Leaving,
}

/// Role of a node in the exchange of messages between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeRole {
    /// Exchanges messages with all other hubs. In a small fleet every node has this role.
    Hub,
    /// Exchanges messages with one hub.
    Leaf,
}

/// The part of a heartbeat that describes what the node currently does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeCondition {
    /// Lifecycle stage of the node.
    pub stage: NodeStage,
    /// Whether the store answers the node, as far as the node knows.
    pub has_store: bool,
    /// Whether the node holds the planner's lease.
    pub is_planner: bool,
}

/// State that a node periodically announces to the other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeHeartbeat {
    /// Id of the node.
    pub node: NodeId,
    /// Sequence number. It increases with each heartbeat and continues after a restart.
    pub sequence: u64,
    /// Lifecycle stage of the node.
    pub stage: NodeStage,
    /// Whether the store answers the node, as far as the node knows.
    pub has_store: bool,
    /// Whether the node holds the planner's lease.
    pub is_planner: bool,
    /// Address for callers; empty if the node does not accept requests of callers.
    pub front_address: Arc<str>,
    /// Address for other nodes.
    pub peer_address: Arc<str>,
    /// Data centre that the node runs in.
    pub data_centre: DataCentreId,
    /// CPU share of the node in thousandths of a core. Nodes with a larger share become hubs first.
    pub processor_share: u32,
    /// Time for which other nodes have held the heartbeat before they forwarded it.
    pub age: Duration,
}

impl NodeHeartbeat {
    fn condition(&self) -> NodeCondition {
        NodeCondition { stage: self.stage, has_store: self.has_store, is_planner: self.is_planner }
    }

    /// How suitable the node is as reader, as hub and as planner candidate. Serving nodes rank above
    /// all others, then nodes that reach the store, then the planner, because it follows the store
    /// anyway.
    fn fitness(&self) -> u32 {
        4 * u32::from(self.stage == NodeStage::Serving)
            + 2 * u32::from(self.has_store)
            + u32::from(self.is_planner)
    }
}

/// Another node and when it was last heard of.
#[derive(Clone, Debug)]
struct KnownNode {
    /// Newest heartbeat of the node.
    heartbeat: NodeHeartbeat,
    /// When the first node received that heartbeat, as far as its age tells.
    heartbeat_at: Instant,
    /// When the node last sent a message to this node.
    direct_message_at: Option<Instant>,
    /// Until then, a leaf does not select the node as its hub.
    avoid_until: Option<Instant>,
}

/// All nodes that this node knows of, including itself.
#[derive(Clone, Debug)]
pub struct NodeDirectory {
    own: NodeHeartbeat,
    others: BTreeMap<NodeId, KnownNode>,
    /// When a node last appeared or changed its [`NodeCondition`].
    changed_at: Option<Instant>,
    /// Live nodes in the order of [`Self::rank`], as of this node's last heartbeat.
    ranked: Vec<NodeId>,
    /// Number of nodes at the start of `ranked` that are hubs in a large fleet.
    hub_count: usize,
    /// This node's share of the slots of all upstreams, as of its last heartbeat.
    slot_share: Option<SlotShare>,
}

impl NodeDirectory {
    /// Creates a directory with only the node itself.
    pub fn new(own: NodeHeartbeat) -> Self {
        Self {
            own,
            others: BTreeMap::new(),
            changed_at: None,
            ranked: Vec::new(),
            hub_count: 1,
            slot_share: None,
        }
    }

    /// Whether there are too many nodes for each to exchange messages with all others.
    pub fn is_large(&self) -> bool {
        self.others.len() >= LARGE_FLEET_MIN_OTHERS
    }

    fn liveness_timeout(&self) -> Duration {
        if self.is_large() { LARGE_FLEET_LIVENESS_TIMEOUT } else { LIVENESS_TIMEOUT }
    }

    /// The current heartbeat of this node.
    pub fn own_heartbeat(&self) -> &NodeHeartbeat {
        &self.own
    }

    /// Updates this node's heartbeat to its current condition with the next sequence number, and
    /// updates the ranking of the nodes. Sends nothing.
    pub fn advance_heartbeat(&mut self, current: NodeCondition, now: Instant) {
        self.own.sequence += 1;
        self.own.stage = current.stage;
        self.own.has_store = current.has_store;
        self.own.is_planner = current.is_planner;
        self.ranked = self.rank(now);
        self.hub_count = self.ranked.len().div_ceil(NODES_PER_HUB);
        self.slot_share = self.divide_slots(now);
    }

    /// This node's share of the slots of all upstreams; `None` in a small fleet, whose counts of
    /// requests are nearly exact.
    pub fn slot_share(&self) -> Option<SlotShare> {
        self.slot_share
    }

    /// Divides the slots among the serving nodes in the order of their ids.
    fn divide_slots(&self, now: Instant) -> Option<SlotShare> {
        if !self.is_large() {
            return None;
        }
        let serving = self.live_others(now).filter(|other| other.stage == NodeStage::Serving);
        let (nodes, index) = serving.fold((1, 0), |(nodes, index), other| {
            (nodes + 1, index + usize::from(other.node < self.own.node))
        });
        Some(SlotShare { nodes, index })
    }

    /// Stores a heartbeat of another node if it is newer than the known one.
    pub fn merge(&mut self, heartbeat: NodeHeartbeat, now: Instant) {
        if heartbeat.node == self.own.node {
            // After a restart, heartbeats from before it are still forwarded: continue above their
            // sequence numbers.
            self.own.sequence = self.own.sequence.max(heartbeat.sequence);
            return;
        }
        let heartbeat_at = now.checked_sub(heartbeat.age).unwrap_or(now);
        let heartbeat = NodeHeartbeat { age: Duration::ZERO, ..heartbeat };
        match self.others.get_mut(&heartbeat.node) {
            Some(known) if known.heartbeat.sequence >= heartbeat.sequence => {}
            Some(known) => {
                if known.heartbeat.condition() != heartbeat.condition() {
                    self.changed_at = Some(now);
                }
                known.heartbeat = heartbeat;
                known.heartbeat_at = heartbeat_at;
            }
            None => {
                self.changed_at = Some(now);
                let known = KnownNode {
                    heartbeat,
                    heartbeat_at,
                    direct_message_at: None,
                    avoid_until: None,
                };
                self.others.insert(known.heartbeat.node.clone(), known);
            }
        }
    }

    /// Records a message that `node` sent to this node itself.
    pub fn record_direct_message(&mut self, node: &NodeId, now: Instant) {
        if let Some(known) = self.others.get_mut(node) {
            known.direct_message_at = Some(now);
        }
    }

    /// Heartbeats to send to a node with the role `recipient`: the one of this node, and those that
    /// this node forwards to it.
    pub fn heartbeats_for(&self, recipient: NodeRole, now: Instant) -> Vec<NodeHeartbeat> {
        let is_forwarded = |known: &&KnownNode| match (self.is_large(), self.role(), recipient) {
            // A leaf that reports to another one has outdated heartbeats, and takes it for a hub. It
            // learns of the hubs from no other node.
            (false, _, _) | (true, _, NodeRole::Leaf) => true,
            (true, NodeRole::Hub, NodeRole::Hub) => {
                self.has_recent_direct_message(&known.heartbeat.node, now)
            }
            (true, NodeRole::Leaf, NodeRole::Hub) => false,
        };
        let with_age = |known: &KnownNode| {
            let age = now.saturating_duration_since(known.heartbeat_at);
            NodeHeartbeat { age, ..known.heartbeat.clone() }
        };
        let others = self.live_nodes(now).filter(is_forwarded).map(with_age);
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    /// Whether a node has recently sent a message to this node itself.
    fn has_recent_direct_message(&self, node: &NodeId, now: Instant) -> bool {
        let direct_message_at = self.others.get(node).and_then(|known| known.direct_message_at);
        direct_message_at.is_some_and(|at| now.saturating_duration_since(at) < LIVENESS_TIMEOUT)
    }

    /// Heartbeats of the live nodes other than this one.
    pub fn live_others(&self, now: Instant) -> impl Iterator<Item = &NodeHeartbeat> {
        self.live_nodes(now).map(|known| &known.heartbeat)
    }

    fn live_nodes(&self, now: Instant) -> impl Iterator<Item = &KnownNode> {
        let timeout = self.liveness_timeout();
        self.others
            .values()
            .filter(move |known| now.saturating_duration_since(known.heartbeat_at) < timeout)
    }

    /// Peer addresses of all other known nodes that are not leaving, whether live or not.
    pub fn known_peers(&self) -> impl Iterator<Item = &Arc<str>> {
        self.others
            .values()
            .filter(|known| known.heartbeat.stage != NodeStage::Leaving)
            .map(|known| &known.heartbeat.peer_address)
    }

    /// Peer addresses of the other nodes that may be running, including silent ones that may be
    /// behind a network partition.
    pub fn possibly_running_peers(&self, now: Instant) -> Vec<Arc<str>> {
        let may_run = |known: &&KnownNode| {
            let age = now.duration_since(known.heartbeat_at);
            age < PARTITIONED_NODE_TIMEOUT && known.heartbeat.stage != NodeStage::Leaving
        };
        self.others
            .values()
            .filter(may_run)
            .map(|known| known.heartbeat.peer_address.clone())
            .collect()
    }

    /// Other nodes that share the fleet-wide limits. Silent nodes are included for
    /// `LIMIT_SHARE_RETENTION`, since they may be partitioned from this node only. Leaving nodes are
    /// included until they are silent for `LIVENESS_TIMEOUT`, also in a large fleet.
    fn other_sharing_nodes(&self, now: Instant) -> impl Iterator<Item = &NodeId> {
        let is_included = move |known: &&KnownNode| {
            let age = now.duration_since(known.heartbeat_at);
            age < LIVENESS_TIMEOUT
                || (age < LIMIT_SHARE_RETENTION && known.heartbeat.stage != NodeStage::Leaving)
        };
        self.others.values().filter(is_included).map(|known| &known.heartbeat.node)
    }

    /// Number of nodes that share the fleet-wide limits, including this one.
    pub fn sharing_node_count(&self, now: Instant) -> usize {
        1 + self.other_sharing_nodes(now).count()
    }

    /// Whether this node is one of the `count` nodes that are selected for the resource `name` by
    /// rendezvous hashing. Nodes that know the same set of nodes agree on the selection without
    /// exchanging messages.
    pub fn is_selected_for(&self, name: &str, count: usize, now: Instant) -> bool {
        self.selection_rank(name, now) < count
    }

    /// Number of nodes that are selected for the resource `name` before this one.
    pub fn selection_rank(&self, name: &str, now: Instant) -> usize {
        let hash = |node: &str| stable_hash_of(&[name, "/", node]);
        let own = hash(&self.own.node);
        self.other_sharing_nodes(now).filter(|node| hash(node) < own).count()
    }

    /// Front addresses of at most `max` live nodes that accept requests of callers, for a caller in
    /// `data_centre`. Nodes of that data centre come first. The selections of all nodes together contain
    /// each node about equally often, so that requests reach all nodes of a large fleet.
    pub fn located_front_addresses(
        &self,
        data_centre: &str,
        max: usize,
        now: Instant,
    ) -> Vec<Arc<str>> {
        let hash = |node: &str| stable_hash_of(&[LOCATOR_ORDER, "/", node]);
        let own = hash(&self.own.node);
        // Each node continues the order of all nodes from its own position.
        let mut serving: Vec<_> = std::iter::once(&self.own)
            .chain(self.live_others(now))
            .filter(|node| node.stage == NodeStage::Serving && !node.front_address.is_empty())
            .map(|node| {
                let is_far = *node.data_centre != *data_centre;
                (is_far, hash(&node.node).wrapping_sub(own), &node.front_address)
            })
            .collect();
        serving.sort_unstable();
        serving.into_iter().take(max).map(|(.., address)| address.clone()).collect()
    }

    /// When a node last appeared or changed its [`NodeCondition`]; `None` if there has
    /// never been another node.
    pub fn changed_at(&self) -> Option<Instant> {
        self.changed_at
    }

    /// Live nodes, the fittest first. Nodes of the same fitness alternate between the data centres;
    /// within a data centre those with a larger CPU share come first.
    fn rank(&self, now: Instant) -> Vec<NodeId> {
        let mut live: Vec<_> = std::iter::once(&self.own).chain(self.live_others(now)).collect();
        live.sort_by_key(|heartbeat| {
            (
                Reverse(heartbeat.fitness()),
                Reverse(heartbeat.processor_share),
                heartbeat.node.clone(),
            )
        });
        // Position of each node, from 1, among those with its fitness in its data centre. Sorting by
        // the position first makes the data centres alternate.
        let mut positions: HashMap<(u32, &DataCentreId), usize> = HashMap::new();
        let mut ranked = Vec::with_capacity(live.len());
        for heartbeat in live {
            let position =
                positions.entry((heartbeat.fitness(), &heartbeat.data_centre)).or_default();
            *position += 1;
            ranked.push((
                Reverse(heartbeat.fitness()),
                *position,
                Reverse(heartbeat.processor_share),
                &heartbeat.node,
            ));
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(.., node)| node.clone()).collect()
    }

    fn hubs(&self) -> &[NodeId] {
        &self.ranked[..self.hub_count.min(self.ranked.len())]
    }

    /// Whether this node is the reader, which follows the store on behalf of all others.
    pub fn is_reader(&self) -> bool {
        self.ranked.first() == Some(&self.own.node)
    }

    /// Whether the fleet is large and this node is one of its hubs. False in a small fleet, although
    /// there [`Self::role`] is [`NodeRole::Hub`] for every node.
    pub fn is_large_fleet_hub(&self) -> bool {
        self.is_large() && self.hubs().contains(&self.own.node)
    }

    /// The role of this node; [`NodeRole::Hub`] for every node of a small fleet.
    pub fn role(&self) -> NodeRole {
        if !self.is_large() || self.is_large_fleet_hub() { NodeRole::Hub } else { NodeRole::Leaf }
    }

    /// Peer addresses of the nodes to exchange messages with.
    pub fn partners(&self, now: Instant) -> Vec<Arc<str>> {
        if !self.is_large() {
            return self.known_peers().cloned().collect();
        }
        let hubs: Vec<_> = self.hubs().iter().filter_map(|hub| self.others.get(hub)).collect();
        match self.role() {
            NodeRole::Hub => hubs.iter().map(|hub| hub.heartbeat.peer_address.clone()).collect(),
            NodeRole::Leaf => self.choose_hub(&hubs, now).into_iter().collect(),
        }
    }

    /// Peer address of the hub that this leaf reports to. Hubs in the same data centre are preferred,
    /// and the leaves are spread over them by a hash of their ids.
    fn choose_hub(&self, hubs: &[&KnownNode], now: Instant) -> Option<Arc<str>> {
        let is_usable = |hub: &&&KnownNode| hub.avoid_until.is_none_or(|until| until <= now);
        let is_near = |hub: &&&KnownNode| hub.heartbeat.data_centre == self.own.data_centre;
        let near: Vec<_> = hubs.iter().filter(is_usable).filter(is_near).collect();
        let usable: Vec<_> = hubs.iter().filter(is_usable).collect();
        let candidates = match (near.is_empty(), usable.is_empty()) {
            (false, _) => near,
            (true, false) => usable,
            (true, true) => hubs.iter().collect(),
        };
        let position = stable_hash(&self.own.node) % candidates.len().max(1);
        candidates.get(position).map(|hub| hub.heartbeat.peer_address.clone())
    }

    /// Excludes the hub at `peer_address`, which did not answer, from the selection for two seconds,
    /// unless no other hub is left.
    pub fn avoid_hub(&mut self, peer_address: &str, now: Instant) {
        for known in
            self.others.values_mut().filter(|known| *known.heartbeat.peer_address == *peer_address)
        {
            known.avoid_until = Some(now + HUB_AVOID_PERIOD);
        }
    }

    /// Whether this node is one of the first in the ranking that may plan. The others do not compete
    /// for the planner's lease, which saves calls to the store.
    pub fn is_planner_candidate(&self) -> bool {
        let may_plan = |node: &&NodeId| {
            let other = self.others.get(*node).map(|known| &known.heartbeat);
            let heartbeat = if **node == self.own.node { Some(&self.own) } else { other };
            heartbeat.is_some_and(|heartbeat| {
                heartbeat.has_store && heartbeat.stage == NodeStage::Serving
            })
        };
        self.ranked
            .iter()
            .filter(may_plan)
            .take(PLANNER_CANDIDATES)
            .any(|node| *node == self.own.node)
    }

    /// Removes nodes without a newer heartbeat for one minute. For the second half of this time they
    /// no longer count for the limits, but [`Self::known_peers`] still includes them.
    pub fn remove_silent_nodes(&mut self, now: Instant) {
        self.others
            .retain(|_, known| now.duration_since(known.heartbeat_at) < LIMIT_SHARE_RETENTION * 2);
    }
}

/// Hash of a name that is the same on every node.
fn stable_hash(name: &str) -> usize {
    stable_hash_of(&[name])
}

/// Hash of several texts after one another that is the same on every node (FNV-1a with a final mix).
fn stable_hash_of(texts: &[&str]) -> usize {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    const MIXER: u64 = 0x9e37_79b9_7f4a_7c15;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    let hash = texts.iter().flat_map(|text| text.bytes()).fold(OFFSET, step);
    // Without the mix, the hashes of names that differ only in their last letters differ in few
    // bits.
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(MIXER);
    (mixed ^ (mixed >> 29)) as usize
}
