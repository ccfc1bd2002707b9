//! Placement of requests by several nodes with outdated request counts.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{
    CountScope, LoadTracker, NodeRole, PlacementConstraints, PlacementTarget, QueueId,
    UpstreamRecord, UpstreamState,
};
use eelgrassdeal_types::{NodeId, UpstreamId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time at the start that is not included in the report, because the replicas are still filling up.
const WARM_UP: Duration = Duration::from_secs(4);
/// Largest fleet in which every node exchanges its counts with every other.
const MAX_MESH_NODES: usize = 13;
/// Number of nodes for which a large fleet has one hub.
const NODES_PER_HUB: usize = 20;
/// Interval of the messages between two nodes of a small fleet.
const MESH_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of the messages between two nodes of a large fleet.
const HUB_INTERVAL: Duration = Duration::from_millis(350);
/// Time that a message takes.
const LINK_DELAY: Duration = Duration::from_millis(8);
/// Interval at which the numbers of requests at the replicas are read for the spread.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Distribution of the processing times of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceTimes {
    /// Uniform between a third and five thirds of the mean.
    Uniform,
    /// Exponential.
    Exponential,
}

/// Nodes that place requests at the replicas of one model, and their load.
#[derive(Clone, Copy, Debug)]
pub struct PlacementSpec {
    /// Number of nodes. Up to 13 exchange their counts with each other, more through hubs.
    pub nodes: usize,
    /// Number of replicas.
    pub replicas: usize,
    /// Number of requests that a replica runs concurrently.
    pub slots: u32,
    /// Every so many replicas one is slow; 0 for none.
    pub slow_every: usize,
    /// Factor on the processing time at a slow replica. The nodes know it, as the gateway measures it.
    pub slow_factor: f64,
    /// Replicas differ in speed by up to this share, which the nodes do not know.
    pub speed_difference: f64,
    /// Requests that run without refusals, divided by the slots (at a slow replica the slots divided by
    /// its factor), in 0..1.
    pub utilisation: f64,
    /// Mean processing time of a request at a replica of normal speed.
    pub mean_service_time: Duration,
    /// Distribution of the processing times.
    pub service_times: ServiceTimes,
    /// Time by which every count is older than the exchange makes it.
    pub extra_age: Duration,
    /// Number of requests per slot up to which the nodes send to a replica.
    pub max_per_slot: f64,
}

/// How a node selects the replica for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// As in the gateway: [`LoadTracker::choose`].
    Gateway,
    /// At random, weighted by free room as the counts say.
    WeightedRandom,
    /// The replica with the fewest requests, as far as the node knows.
    FewestRequests,
    /// The less loaded of two replicas drawn at random, as far as the node knows.
    TwoChoices,
    /// The replica with the fewest requests of the node itself.
    OwnCounts,
    /// A replica that reported a free slot to this node, or else any. Each end of a request is reported
    /// to one node, at once.
    JoinIdleQueue,
}

impl PlacementPolicy {
    /// All policies.
    pub const ALL: [Self; 6] = [
        Self::Gateway,
        Self::WeightedRandom,
        Self::FewestRequests,
        Self::TwoChoices,
        Self::OwnCounts,
        Self::JoinIdleQueue,
    ];
}

/// Result of [`simulate_placement`].
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementReport {
    /// Largest number of requests at a replica relative to its slots, divided by the mean: the 95th
    /// percentile over the samples. Requests that wait inside the replica are included.
    pub spread: f64,
    /// 99th percentile of the time that a request waited inside a replica.
    pub wait_p99: Duration,
    /// Share of the requests that were sent to a replica without a free slot and waited inside it.
    pub queued_share: f64,
    /// Share of the requests that were refused, because all replicas were full as far as the node
    /// knew.
    pub refused_share: f64,
    /// Mean age of the counts that the nodes used.
    pub mean_count_age: Duration,
}

/// An event of the simulation.
enum Event {
    Arrival,
    End {
        node: usize,
        replica: usize,
    },
    Send {
        from: usize,
        to: usize,
    },
    Receive {
        from: usize,
        to: usize,
        scope: CountScope,
        counts: Vec<(UpstreamId, u32)>,
        age: CountAge,
    },
    Sample,
}

/// When counts were true, as the sum over the nodes, and the number of nodes.
#[derive(Clone, Copy, Debug, Default)]
struct CountAge {
    sum_s: f64,
    nodes: usize,
}

impl CountAge {
    fn add(&mut self, other: Self) {
        self.sum_s += other.sum_s;
        self.nodes += other.nodes;
    }
}

/// An event with its time; the number orders events of the same time.
struct TimedEvent(Instant, u64, Event);

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// One replica: its requests and those that wait inside it.
#[derive(Default)]
struct ReplicaState {
    running: u32,
    /// Nodes of the waiting requests, and when they were sent.
    line: VecDeque<(usize, Instant)>,
    slowdown: f64,
}

impl ReplicaState {
    fn requests(&self) -> f64 {
        f64::from(self.running) + self.line.len() as f64
    }
}

/// One node.
struct NodeState {
    id: NodeId,
    role: NodeRole,
    hub: usize,
    tracker: LoadTracker,
    own: Vec<u32>,
    /// Replicas with a free slot, for [`PlacementPolicy::JoinIdleQueue`].
    idle: VecDeque<usize>,
    /// Ages of the counts in the last message of each peer.
    ages: Vec<(usize, CountScope, CountAge)>,
}

struct Simulation<'a> {
    spec: &'a PlacementSpec,
    policy: PlacementPolicy,
    queue: QueueId,
    random: StdRng,
    start: Instant,
    now: Instant,
    events: BinaryHeap<Reverse<TimedEvent>>,
    event_count: u64,
    targets: Vec<PlacementTarget>,
    replicas: Vec<ReplicaState>,
    nodes: Vec<NodeState>,
    waits: Vec<Duration>,
    spreads: Vec<f64>,
    arrived: u32,
    queued: u32,
    refused: u32,
    age_sum_s: f64,
    age_count: u32,
}

/// Simulates requests for `duration` of virtual time. They arrive at random nodes, which place them
/// by `policy`.
pub fn simulate_placement(
    spec: &PlacementSpec,
    policy: PlacementPolicy,
    duration: Duration,
    seed: u64,
) -> PlacementReport {
    let mut simulation = Simulation::new(spec, policy, seed);
    simulation.run(duration);
    simulation.report()
}

impl<'a> Simulation<'a> {
    fn new(spec: &'a PlacementSpec, policy: PlacementPolicy, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let is_slow = |index: usize| spec.slow_every > 0 && index.is_multiple_of(spec.slow_every);
        let slow_factor = |index: usize| if is_slow(index) { spec.slow_factor } else { 1.0 };
        let targets = (0..spec.replicas)
            .map(|index| replica(index, spec, start).with_slowdown(slow_factor(index)))
            .collect();
        let replicas = (0..spec.replicas).map(|index| {
            let difference = spec.speed_difference * (2.0 * random.random::<f64>() - 1.0);
            let slowdown = slow_factor(index) * (1.0 + difference);
            ReplicaState { slowdown, ..ReplicaState::default() }
        });
        let replicas = replicas.collect();
        let hubs = match spec.nodes <= MAX_MESH_NODES {
            true => spec.nodes,
            false => spec.nodes.div_ceil(NODES_PER_HUB),
        };
        let node = |index: usize| NodeState {
            id: Arc::from(format!("node-{index}")),
            role: if index < hubs { NodeRole::Hub } else { NodeRole::Leaf },
            hub: index % hubs,
            tracker: LoadTracker::new(),
            own: vec![0; spec.replicas],
            idle: VecDeque::new(),
            ages: Vec::new(),
        };
        let mut simulation = Self {
            spec,
            policy,
            queue: (Arc::from("engines"), None),
            random,
            start,
            now: start,
            events: BinaryHeap::new(),
            event_count: 0,
            targets,
            replicas,
            nodes: (0..spec.nodes).map(node).collect(),
            waits: Vec::new(),
            spreads: Vec::new(),
            arrived: 0,
            queued: 0,
            refused: 0,
            age_sum_s: 0.0,
            age_count: 0,
        };
        for (position, node) in simulation.nodes.iter_mut().enumerate() {
            node.tracker.set_position(position, spec.nodes);
        }
        for from in 0..spec.nodes {
            for to in 0..spec.nodes {
                let are_hubs = from < hubs && to < hubs;
                let are_partners =
                    simulation.nodes[from].hub == to || simulation.nodes[to].hub == from;
                if from != to && (are_hubs || are_partners) {
                    // At a random time, so that not all messages are sent at once.
                    let wait = simulation.interval().mul_f64(simulation.random.random());
                    simulation.schedule(wait, Event::Send { from, to });
                }
            }
        }
        simulation.schedule(Duration::ZERO, Event::Arrival);
        simulation.schedule(WARM_UP, Event::Sample);
        simulation
    }

    fn is_large(&self) -> bool {
        self.spec.nodes > MAX_MESH_NODES
    }

    fn interval(&self) -> Duration {
        if self.is_large() { HUB_INTERVAL } else { MESH_INTERVAL }
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse(TimedEvent(self.now + wait, self.event_count, event)));
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.random.random::<f64>()).ln()
    }

    fn requests_per_s(&self) -> f64 {
        let rate = |(target, replica): (&PlacementTarget, &ReplicaState)| {
            target.slots / (replica.slowdown * self.spec.mean_service_time.as_secs_f64())
        };
        self.spec.utilisation * self.targets.iter().zip(&self.replicas).map(rate).sum::<f64>()
    }

    fn run(&mut self, duration: Duration) {
        let mean_gap_s = 1.0 / self.requests_per_s();
        while let Some(Reverse(TimedEvent(at, _, event))) = self.events.pop() {
            if at >= self.start + duration {
                return;
            }
            self.now = at;
            match event {
                Event::Arrival => {
                    self.place_request();
                    let gap = Duration::from_secs_f64(self.exponential() * mean_gap_s);
                    self.schedule(gap, Event::Arrival);
                }
                Event::End { node, replica } => self.end_request(node, replica),
                Event::Send { from, to } => self.send_counts(from, to),
                Event::Receive { from, to, scope, counts, age } => {
                    let node = &mut self.nodes[to];
                    node.ages.retain(|(peer, ..)| *peer != from);
                    node.ages.push((from, scope, age));
                    let sender = self.nodes[from].id.clone();
                    self.nodes[to].tracker.set_peer_counts(&sender, scope, counts, self.now);
                }
                Event::Sample => {
                    let loads = self.replicas.iter().map(ReplicaState::requests);
                    let mean = loads.clone().sum::<f64>()
                        / self.targets.iter().map(|target| target.slots).sum::<f64>();
                    let relative =
                        loads.zip(&self.targets).map(|(requests, target)| requests / target.slots);
                    self.spreads.push(relative.fold(0.0, f64::max) / mean);
                    self.schedule(SAMPLE_INTERVAL, Event::Sample);
                }
            }
        }
    }

    fn send_counts(&mut self, from: usize, to: usize) {
        let (sender, recipient) = (&self.nodes[from], &self.nodes[to]);
        let scope = CountScope::for_message(self.is_large(), sender.role, recipient.role, true);
        let counts = sender.tracker.counts_for(scope, Some(&recipient.id), self.now);
        let now_s = self.now.duration_since(self.start).as_secs_f64();
        let mut age = CountAge { sum_s: now_s, nodes: 1 };
        for (peer, reported_scope, reported) in &sender.ages {
            let is_included = match scope {
                CountScope::Node => false,
                CountScope::Hub => *reported_scope == CountScope::Node,
                CountScope::Fleet => *peer != to,
            };
            if is_included {
                age.add(*reported);
            }
        }
        // A leaf's counts pass two such links, and between them one between hubs.
        let extra = match (self.is_large(), sender.role, recipient.role) {
            (false, ..) => self.spec.extra_age,
            (true, NodeRole::Hub, NodeRole::Hub) => Duration::ZERO,
            (true, ..) => self.spec.extra_age / 2,
        };
        self.schedule(LINK_DELAY + extra, Event::Receive { from, to, scope, counts, age });
        self.schedule(self.interval(), Event::Send { from, to });
    }

    fn place_request(&mut self) {
        let is_counted = self.now >= self.start + WARM_UP;
        self.arrived += u32::from(is_counted);
        let node = self.random.random_range(0..self.nodes.len());
        if is_counted {
            let now_s = self.now.duration_since(self.start).as_secs_f64();
            for (_, _, age) in &self.nodes[node].ages {
                self.age_sum_s += now_s * age.nodes as f64 - age.sum_s;
                self.age_count += age.nodes as u32;
            }
        }
        let Some(replica) = self.choose(node) else {
            self.refused += u32::from(is_counted);
            return;
        };
        let state = &mut self.nodes[node];
        state.own[replica] += 1;
        state.tracker.start_request(&self.targets[replica].record.upstream, self.now);
        if self.replicas[replica].running < self.spec.slots {
            if is_counted {
                self.waits.push(Duration::ZERO);
            }
            self.begin_request(node, replica);
        } else {
            self.queued += u32::from(is_counted);
            self.replicas[replica].line.push_back((node, self.now));
        }
    }

    fn begin_request(&mut self, node: usize, replica: usize) {
        let factor = match self.spec.service_times {
            ServiceTimes::Uniform => (1.0 + 4.0 * self.random.random::<f64>()) / 3.0,
            ServiceTimes::Exponential => self.exponential(),
        };
        self.replicas[replica].running += 1;
        let slowdown = self.replicas[replica].slowdown;
        let service_time = self.spec.mean_service_time.mul_f64(factor * slowdown);
        self.schedule(service_time, Event::End { node, replica });
    }

    fn end_request(&mut self, node: usize, replica: usize) {
        self.replicas[replica].running -= 1;
        let state = &mut self.nodes[node];
        state.own[replica] -= 1;
        // `false`: the simulation never counts a response as begun.
        state.tracker.end_request(&self.targets[replica].record.upstream, false);
        if let Some((node, sent_at)) = self.replicas[replica].line.pop_front() {
            if sent_at >= self.start + WARM_UP {
                self.waits.push(self.now.duration_since(sent_at));
            }
            self.begin_request(node, replica);
        } else if self.policy == PlacementPolicy::JoinIdleQueue {
            let node = self.random.random_range(0..self.nodes.len());
            self.nodes[node].idle.push_back(replica);
        }
    }

    /// The replica for a request at `node`; `None` if all are full as far as the node knows.
    fn choose(&mut self, node: usize) -> Option<usize> {
        let (targets, now) = (&self.targets, self.now);
        let draw: f64 = self.random.random();
        let state = &mut self.nodes[node];
        let relative = |replica: usize| {
            let requests = state.tracker.total_requests(&targets[replica].record.upstream, now);
            f64::from(requests) / targets[replica].slots
        };
        let is_free = |replica: &usize| relative(*replica) < self.spec.max_per_slot;
        match self.policy {
            PlacementPolicy::Gateway => {
                let constraints = PlacementConstraints {
                    excluded: &[],
                    queue: &self.queue,
                    waiting: 1,
                    max_per_slot: self.spec.max_per_slot,
                    is_on_time: true,
                };
                let target = state.tracker.choose(targets, constraints, draw, now).ok()?;
                let upstream = &target.record.upstream;
                targets.iter().position(|candidate| candidate.record.upstream == *upstream)
            }
            PlacementPolicy::WeightedRandom => {
                let room = |replica: usize| {
                    let room = self.spec.max_per_slot - relative(replica);
                    (room * targets[replica].slots).max(0.0)
                };
                let mut position = draw * (0..targets.len()).map(room).sum::<f64>();
                (0..targets.len()).find(|replica| {
                    position -= room(*replica);
                    position < 0.0
                })
            }
            PlacementPolicy::FewestRequests => (0..targets.len())
                .min_by(|left, right| relative(*left).total_cmp(&relative(*right)))
                .filter(is_free),
            PlacementPolicy::TwoChoices => {
                let pair = [(); 2].map(|()| self.random.random_range(0..targets.len()));
                let free: Vec<usize> = (0..targets.len()).filter(is_free).collect();
                pair.into_iter()
                    .filter(is_free)
                    .min_by(|left, right| relative(*left).total_cmp(&relative(*right)))
                    .or_else(|| free.get((draw * free.len() as f64) as usize).copied())
            }
            PlacementPolicy::OwnCounts => {
                let first = (draw * targets.len() as f64) as usize;
                let from_first = (0..targets.len()).map(|step| (first + step) % targets.len());
                let own =
                    |replica: &usize| f64::from(state.own[*replica]) / targets[*replica].slots;
                from_first.min_by(|left, right| own(left).total_cmp(&own(right)))
            }
            PlacementPolicy::JoinIdleQueue => {
                let any = (draw * targets.len() as f64) as usize;
                Some(state.idle.pop_front().unwrap_or(any))
            }
        }
    }

    fn report(mut self) -> PlacementReport {
        self.waits.sort_unstable();
        self.spreads.sort_unstable_by(f64::total_cmp);
        let share = |count: u32| f64::from(count) / f64::from(self.arrived.max(1));
        PlacementReport {
            spread: percentile(&self.spreads, 0.95).unwrap_or(1.0),
            wait_p99: percentile(&self.waits, 0.99).unwrap_or(Duration::ZERO),
            queued_share: share(self.queued),
            refused_share: share(self.refused),
            mean_count_age: Duration::from_secs_f64(
                self.age_sum_s / f64::from(self.age_count.max(1)),
            ),
        }
    }
}

fn percentile<T: Copy>(sorted: &[T], share: f64) -> Option<T> {
    let index = (share * sorted.len() as f64) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied()
}

fn replica(index: usize, spec: &PlacementSpec, now: Instant) -> PlacementTarget {
    PlacementTarget::new(Arc::new(UpstreamRecord {
        upstream: Arc::from(format!("head-{index}")),
        service: Arc::from("engines"),
        address: Arc::from(format!("10.0.0.{index}:80")),
        data_centre: Arc::from("dc"),
        slots: spec.slots,
        state: UpstreamState::Ready,
        cold_left: Duration::ZERO,
        seen_at: now,
        domain: None,
        staged: Vec::new(),
        loaded: None,
        membership: None,
        // Any value, since no upstream restarts.
        start_time_ms: 1,
    }))
}
