//! Compares slot allocation by owners with fixed equal shares and with no limit.
//!
//! The simulation uses the types of the routing crate with a virtual clock and a seeded random
//! load. A message takes one step to arrive. There are no processes and no connections.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassdeal_routing::{
    FailureDetector, LoadReport, OwnerSettings, RampSettings, RampState, ReplicaLimit, ReporterSet,
    SlotDemand, SlotHolder, SlotOwner, SlotPolicy, StartConstraints, StartedSlot,
};
use eelgrassdeal_schema::encode_message;
use eelgrassdeal_schema::peer::{AllowanceBatch, PeerRequest, ReportBatch};
use eelgrassdeal_types::{NodeId, ReplicaId, StartId, new_start_id};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 4;
/// Step of the virtual clock, and time that a message takes to arrive.
const STEP: Duration = Duration::from_millis(10);
/// Time before requests are counted. Messages and overshoot are counted from the start.
const WARM_UP_DURATION: Duration = Duration::from_secs(6);
const MEASURED_DURATION: Duration = Duration::from_secs(24);
/// Time after the warm-up from which the nodes suspect different peers.
const DIVERGENCE_START: Duration = Duration::from_secs(6);
/// Time for which the nodes suspect different peers.
const DIVERGENCE_DURATION: Duration = Duration::from_secs(3);
/// Time after its arrival until which a request can start; later it counts as not started.
const START_TIMEOUT: Duration = Duration::from_millis(500);
const MEAN_SERVICE_TIME_S: f64 = 2.0;
/// Mean number of requests that would run if none had to wait, as a fraction of all slots.
const OFFERED_LOAD: f64 = 0.7;
/// KV tokens of every request.
const REQUEST_KV_TOKENS: u64 = 2_000;
/// Interval at which owners read the load of their replicas.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Age of a load report when an owner reads it.
const LOAD_AGE: Duration = Duration::from_millis(100);

#[derive(Clone, Copy)]
struct ComparedPolicy {
    /// Name in the printed table.
    name: &'static str,
    slot_policy: SlotPolicy,
    /// Whether a replica is used only by the nodes of its reporter set, instead of by all nodes.
    uses_reporter_set: bool,
}

const POLICIES: [ComparedPolicy; 4] = [
    ComparedPolicy { name: "owner", slot_policy: SlotPolicy::Owner, uses_reporter_set: true },
    ComparedPolicy {
        name: "equal shares",
        slot_policy: SlotPolicy::EqualShares,
        uses_reporter_set: false,
    },
    ComparedPolicy {
        // Equal shares among the nodes of the reporter set, instead of among all nodes.
        name: "equal, set",
        slot_policy: SlotPolicy::EqualShares,
        uses_reporter_set: true,
    },
    ComparedPolicy {
        name: "no limit",
        slot_policy: SlotPolicy::RoundRobin,
        uses_reporter_set: false,
    },
];

#[derive(Clone, Copy)]
struct SlotScenario {
    nodes: usize,
    replicas: usize,
    /// Slots of each replica.
    limit: u32,
    policy: ComparedPolicy,
    /// Whether each node suspects a random half of the nodes for [`DIVERGENCE_DURATION`]. The nodes
    /// that a node suspects are its view.
    has_differing_views: bool,
}

#[derive(Default)]
struct SimulatedNode {
    id: NodeId,
    start_id: StartId,
    holder: SlotHolder,
    failure_detector: FailureDetector,
    /// Replicas that the node may use, in the order of its rotation.
    replicas: Vec<ReplicaId>,
    /// Arrival time and service time of each waiting request, in order of arrival.
    waiting: Vec<(Instant, Duration)>,
    /// End time and slot of each running request.
    running: Vec<(Instant, StartedSlot)>,
    /// Probability that a request arrives in a step.
    arrivals_per_step: f64,
    sent_messages: u64,
    sent_bytes: u64,
}

/// Number of requests that arrived, and how many of them were started.
#[derive(Default)]
struct StartCounts {
    offered: u64,
    started: u64,
}

impl StartCounts {
    fn started_percent(&self) -> f64 {
        100.0 * self.started as f64 / self.offered.max(1) as f64
    }
}

struct SlotSimulation {
    scenario: SlotScenario,
    start_time: Instant,
    now: Instant,
    rng: StdRng,
    are_views_differing: bool,
    reporter_sets: BTreeMap<ReplicaId, ReporterSet>,
    nodes: Vec<SimulatedNode>,
    node_indices: BTreeMap<NodeId, usize>,
    /// Owner states by replica and index of the node; while views differ, several nodes can own a
    /// replica.
    owners: BTreeMap<(ReplicaId, usize), SlotOwner>,
    /// Reports in transit: index of the sender, index of the owner, batch.
    report_batches: Vec<(usize, usize, ReportBatch)>,
    /// Replies in transit: index of the owner, index of the receiver, batch.
    allowance_batches: Vec<(usize, usize, AllowanceBatch)>,
    in_flight: BTreeMap<ReplicaId, u32>,
    /// Values of `in_flight` at the last steps, oldest first; covers [`LOAD_AGE`].
    load_history: Vec<BTreeMap<ReplicaId, u32>>,
    all_requests: StartCounts,
    /// Requests that arrived in the [`DIVERGENCE_DURATION`] from [`DIVERGENCE_START`] on, in which
    /// the views of some scenarios differ, or in the 6 s after that. The time window is the same in
    /// scenarios with equal views.
    affected_requests: StartCounts,
    /// Greatest number of requests by which one replica exceeded its limit at the end of a step.
    max_overshoot: u32,
}

impl SlotSimulation {
    fn new(scenario: SlotScenario) -> Self {
        let mut rng = StdRng::seed_from_u64(SEED);
        let ids: Vec<NodeId> =
            (0..scenario.nodes).map(|index| format!("n{index}").into()).collect();
        let reporter_sets: BTreeMap<ReplicaId, ReporterSet> = (0..scenario.replicas)
            .map(|index| ReplicaId::from(format!("g{index}")))
            .map(|replica| (replica.clone(), ReporterSet::new(replica, &ids)))
            .collect();
        let capacity = f64::from(scenario.limit) * scenario.replicas as f64;
        let rate = OFFERED_LOAD * capacity / MEAN_SERVICE_TIME_S * STEP.as_secs_f64();
        // Some nodes get several times the load of others, because callers keep using one address.
        let weights: Vec<f64> = ids.iter().map(|_| rng.random_range(0.3..1.7)).collect();
        let total_weight: f64 = weights.iter().sum();
        let create_node = |(id, weight)| {
            new_node(&scenario, &reporter_sets, id, rate * weight / total_weight, rng.random())
        };
        let nodes: Vec<SimulatedNode> = ids.iter().zip(weights).map(create_node).collect();
        let start_time = Instant::now();
        Self {
            scenario,
            start_time,
            now: start_time,
            rng,
            are_views_differing: false,
            in_flight: reporter_sets.keys().map(|replica| (replica.clone(), 0)).collect(),
            reporter_sets,
            nodes,
            node_indices: ids.into_iter().enumerate().map(|(index, id)| (id, index)).collect(),
            owners: BTreeMap::new(),
            report_batches: Vec::new(),
            allowance_batches: Vec::new(),
            load_history: Vec::new(),
            all_requests: StartCounts::default(),
            affected_requests: StartCounts::default(),
            max_overshoot: 0,
        }
    }

    fn run(mut self) -> Self {
        while self.elapsed() < WARM_UP_DURATION + MEASURED_DURATION {
            self.now += STEP;
            self.update_views();
            self.deliver_messages();
            self.observe_loads();
            for index in 0..self.nodes.len() {
                self.finish_requests(index);
                self.add_arrivals(index);
                self.start_requests(index);
            }
            let max_in_flight = self.in_flight.values().max().copied().unwrap_or(0);
            self.max_overshoot =
                self.max_overshoot.max(max_in_flight.saturating_sub(self.scenario.limit));
            self.load_history.push(self.in_flight.clone());
            let kept_steps = (LOAD_AGE.as_millis() / STEP.as_millis()) as usize + 1;
            self.load_history.drain(..self.load_history.len().saturating_sub(kept_steps));
        }
        self
    }

    /// Messages and bytes that a node sent per second on average, and the bytes per second of the
    /// node that sent most. Does not include the overhead of QUIC.
    fn traffic_rates(&self) -> (f64, f64, f64) {
        let (count, seconds) =
            (self.nodes.len() as f64, (WARM_UP_DURATION + MEASURED_DURATION).as_secs_f64());
        let messages: u64 = self.nodes.iter().map(|node| node.sent_messages).sum();
        let bytes: u64 = self.nodes.iter().map(|node| node.sent_bytes).sum();
        let max_bytes = self.nodes.iter().map(|node| node.sent_bytes).max().unwrap_or(0);
        (
            messages as f64 / seconds / count,
            bytes as f64 / seconds / count,
            max_bytes as f64 / seconds,
        )
    }

    fn elapsed(&self) -> Duration {
        self.now - self.start_time
    }

    /// In a scenario with differing views, makes each node suspect a random half of the nodes at
    /// [`DIVERGENCE_START`], and none once [`DIVERGENCE_DURATION`] has passed.
    fn update_views(&mut self) {
        let since_divergence_start =
            self.elapsed().checked_sub(WARM_UP_DURATION + DIVERGENCE_START);
        let are_views_differing = self.scenario.has_differing_views
            && since_divergence_start.is_some_and(|time| time < DIVERGENCE_DURATION);
        if are_views_differing == self.are_views_differing {
            return;
        }
        self.are_views_differing = are_views_differing;
        for node in &mut self.nodes {
            node.failure_detector = FailureDetector::new();
            // Two failures in a row make a node suspect the peer.
            for peer in self
                .node_indices
                .keys()
                .filter(|_| are_views_differing && self.rng.random_bool(0.5))
            {
                node.failure_detector.record_failure(peer);
                node.failure_detector.record_failure(peer);
            }
        }
    }

    /// Delivers the messages of the previous step. Owners reply to the reports.
    fn deliver_messages(&mut self) {
        for (owner, to, batch) in std::mem::take(&mut self.allowance_batches) {
            let peer = self.nodes[owner].id.clone();
            self.nodes[to].holder.apply_allowances(self.now, &peer, &batch);
        }
        for (from, owner, batch) in std::mem::take(&mut self.report_batches) {
            let (node, start_id) = (self.nodes[from].id.clone(), self.nodes[from].start_id.clone());
            let mut allowance = Vec::new();
            for report in &batch.report {
                let replica = ReplicaId::from(report.replica.as_str());
                let voters = self.reporter_sets[&replica].voters(self.now);
                let (now, limit) = (self.now, self.scenario.limit);
                let entry = self.owners.entry((replica.clone(), owner));
                let slot_owner = entry.or_insert_with(|| new_owner(replica, limit, now));
                slot_owner.set_voters(voters);
                allowance.push(slot_owner.handle_report(now, &node, &start_id, report));
            }
            let batch = AllowanceBatch { allowance };
            self.record_message(owner, from, encode_message(&batch).len());
            self.allowance_batches.push((owner, from, batch));
        }
    }

    /// Reports the load of the replicas to their owners at every [`PROBE_INTERVAL`].
    fn observe_loads(&mut self) {
        if !(self.elapsed().as_millis()).is_multiple_of(PROBE_INTERVAL.as_millis()) {
            return;
        }
        for ((replica, _), owner) in &mut self.owners {
            let load = self.load_history.first().map_or(0, |load| load[replica]);
            let report = LoadReport { load, age: LOAD_AGE, probe_sent: self.now };
            owner.observe_load(self.now, report);
        }
    }

    /// Ends the running requests of a node whose service time has passed.
    fn finish_requests(&mut self, index: usize) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        for (_, slot) in node.running.extract_if(.., |(end, _)| *end <= now) {
            if let Some(count) = self.in_flight.get_mut(&slot.replica) {
                *count -= 1;
            }
            node.holder.finish(slot);
        }
    }

    /// Adds at most one new request to a node and removes those that waited too long.
    fn add_arrivals(&mut self, index: usize) {
        if self.rng.random_bool(self.nodes[index].arrivals_per_step.min(1.0)) {
            let uniform: f64 = self.rng.random_range(1e-3..1.0);
            let service = Duration::from_secs_f64(-uniform.ln() * MEAN_SERVICE_TIME_S);
            self.record_request(self.now, true);
            self.nodes[index].waiting.push((self.now, service));
        }
        let now = self.now;
        self.nodes[index].waiting.retain(|(arrived, _)| now <= *arrived + START_TIMEOUT);
    }

    /// Counts the arrival of a request, or its start if `is_arrival` is false. The time of arrival
    /// decides in which counts it is included.
    fn record_request(&mut self, arrived: Instant, is_arrival: bool) {
        let Some(time) = (arrived - self.start_time).checked_sub(WARM_UP_DURATION) else { return };
        let is_affected =
            time >= DIVERGENCE_START && time < DIVERGENCE_START + DIVERGENCE_DURATION * 3;
        let counts = [&mut self.all_requests, &mut self.affected_requests];
        for count in counts.into_iter().take(if is_affected { 2 } else { 1 }) {
            count.offered += u64::from(is_arrival);
            count.started += u64::from(!is_arrival);
        }
    }

    /// Starts as many waiting requests of a node as it has slots for, and reports its demand under
    /// the owner policy.
    fn start_requests(&mut self, index: usize) {
        let waiting = std::mem::take(&mut self.nodes[index].waiting);
        let mut started = 0;
        for (arrived, service) in &waiting {
            let node = &mut self.nodes[index];
            let (candidates, kv_tokens) = (&node.replicas[..], REQUEST_KV_TOKENS);
            let constraints =
                StartConstraints { candidates, excluded: &[], kv_tokens, affinity: None };
            let Some(slot) = node.holder.try_start(self.now, &constraints) else { break };
            *self.in_flight.entry(slot.replica.clone()).or_default() += 1;
            node.running.push((self.now + *service, slot));
            self.record_request(*arrived, false);
            started += 1;
        }
        let node = &mut self.nodes[index];
        node.waiting = waiting[started..].to_vec();
        let requests = u32::try_from(node.waiting.len()).unwrap_or(u32::MAX);
        let kv_tokens = u64::from(requests) * REQUEST_KV_TOKENS;
        let demand = SlotDemand { requests, kv_tokens, largest_kv: REQUEST_KV_TOKENS };
        if self.scenario.policy.slot_policy == SlotPolicy::Owner {
            node.holder.spread_demand(&node.replicas, demand);
            self.send_reports(index);
        }
    }

    /// Sends the reports of a node that are due, each to the owner that the node assumes.
    fn send_reports(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let owner = |replica: &ReplicaId| {
            self.reporter_sets[replica].owner(&node.id, &node.failure_detector)
        };
        let pair = |replica: &ReplicaId| Some((replica.clone(), owner(replica)?.clone()));
        let owners = node.replicas.iter().filter_map(pair).collect();
        for (owner, batch) in node.holder.build_reports(self.now, &owners) {
            let owner_index = self.node_indices[&owner];
            self.record_message(index, owner_index, encode_message(&batch).len());
            self.report_batches.push((index, owner_index, batch));
        }
    }

    /// Counts the message that carries a batch; a node sends no message to itself.
    fn record_message(&mut self, from: usize, to: usize, batch_bytes: usize) {
        if from != to {
            let sender = &mut self.nodes[from];
            // Requests and replies have the same fields besides the batch. The batch is preceded by
            // a tag of one byte and a length of one or two bytes.
            let envelope = PeerRequest {
                node: sender.id.to_string(),
                start_id: sender.start_id.to_string(),
                revision: 1_000_000,
                confirmed_age_ms: 1_000,
                body: None,
            };
            let length_bytes = if batch_bytes < 128 { 1 } else { 2 };
            let bytes = encode_message(&envelope).len() + 1 + length_bytes + batch_bytes;
            sender.sent_messages += 1;
            sender.sent_bytes += bytes as u64;
        }
    }
}

/// Creates a node. `rotation` selects the replica at which it starts its rotation.
fn new_node(
    scenario: &SlotScenario,
    reporter_sets: &BTreeMap<ReplicaId, ReporterSet>,
    id: &NodeId,
    arrivals_per_step: f64,
    rotation: u64,
) -> SimulatedNode {
    let uses_reporter_set = scenario.policy.uses_reporter_set;
    let is_used = |set: &ReporterSet| !uses_reporter_set || set.reporters().contains(id);
    let mut holder = SlotHolder::new(scenario.policy.slot_policy);
    let used: Vec<_> = reporter_sets.iter().filter(|(_, set)| is_used(set)).collect();
    for (replica, set) in &used {
        let nodes = if uses_reporter_set { set.reporters().len() } else { scenario.nodes };
        let limit = ReplicaLimit {
            slots: scenario.limit,
            kv_tokens: u64::from(scenario.limit) * REQUEST_KV_TOKENS * 2,
            nodes: u32::try_from(nodes).unwrap_or(u32::MAX),
            ..ReplicaLimit::default()
        };
        holder.set_limit(replica, &limit);
    }
    let mut replicas: Vec<_> = used.into_iter().map(|(replica, _)| replica.clone()).collect();
    // Each node starts its rotation at a random replica. Otherwise all nodes would send their
    // requests to the same replica at the same time.
    let rotation = usize::try_from(rotation).unwrap_or(0) % replicas.len().max(1);
    replicas.rotate_left(rotation);
    SimulatedNode {
        id: id.clone(),
        start_id: new_start_id(),
        holder,
        replicas,
        arrivals_per_step,
        ..SimulatedNode::default()
    }
}

/// Creates the owner state of a replica that serves without a ramp.
fn new_owner(replica: ReplicaId, limit: u32, now: Instant) -> SlotOwner {
    let settings = OwnerSettings {
        kv_tokens: u64::from(limit) * REQUEST_KV_TOKENS * 2,
        largest_request_kv: REQUEST_KV_TOKENS,
        load_lag: LOAD_AGE,
        has_load_reports: true,
        // Longer than any request: `add_arrivals` generates service times of less than 14 s.
        longest_request: MEASURED_DURATION,
    };
    // Without effect: the cold limit is the full limit, so the ramp has nothing to raise.
    let (step, first_token_target) = (MEASURED_DURATION, MEASURED_DURATION);
    let ramp = RampSettings { cold_slots: limit, slots: limit, step, first_token_target };
    let mut ramp = RampState::new(ramp, now);
    ramp.observe_start(now, &new_start_id());
    let mut owner = SlotOwner::new(replica, settings, ramp);
    owner.start_granting(1, "10.0.0.1:8000");
    owner
}

/// Simulates all scenarios and prints one row for each.
pub fn measure_slots() {
    // `started%` is the percentage of `all_requests` that were started, and `split%` that of
    // `affected_requests`.
    println!(
        "nodes replicas limit views  policy       overshoot offered started% split% msg/s/node \
         B/s/node max_B/s"
    );
    // Nodes and replicas of a small fleet and of one of the planned size.
    for (nodes, replicas) in [(7, 6), (410, 212)] {
        for (limit, has_differing_views) in [(2, false), (2, true), (64, false), (64, true)] {
            for policy in POLICIES {
                let scenario = SlotScenario { nodes, replicas, limit, policy, has_differing_views };
                let (name, views) =
                    (policy.name, if has_differing_views { "differ" } else { "equal" });
                let run = SlotSimulation::new(scenario).run();
                let (overshoot, offered) = (run.max_overshoot, run.all_requests.offered);
                let (started, affected) =
                    (run.all_requests.started_percent(), run.affected_requests.started_percent());
                let (messages, bytes, max_bytes) = run.traffic_rates();
                println!(
                    "{nodes:>5} {replicas:>8} {limit:>5} {views:<6} {name:<12} {overshoot:>9} \
                     {offered:>7} {started:>8.2} {affected:>6.2} {messages:>10.1} {bytes:>8.0} \
                     {max_bytes:>7.0}"
                );
            }
        }
    }
}
