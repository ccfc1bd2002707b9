//! Compares the accounting of slots by owners with equal shares and with no limit.
//!
//! Arithmetic over the real structs with a virtual clock and a seeded load: messages take one
//! step, and no process or connection is involved.

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
const STEP: Duration = Duration::from_millis(10);
const WARM_UP: Duration = Duration::from_secs(6);
const MEASURED: Duration = Duration::from_secs(24);
/// Views differ from this time after the warm-up, for [`SPLIT_TIME`].
const SPLIT_AT: Duration = Duration::from_secs(6);
const SPLIT_TIME: Duration = Duration::from_secs(3);
/// A request that did not start by then counts as not started.
const START_BOUND: Duration = Duration::from_millis(500);
const MEAN_SERVICE_SECS: f64 = 2.0;
/// Offered load as part of the limit of all replicas.
const OFFERED_SHARE: f64 = 0.7;
const REQUEST_KV: u64 = 2_000;
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const LOAD_AGE: Duration = Duration::from_millis(100);

#[derive(Clone, Copy)]
struct ComparedPolicy {
    name: &'static str,
    slot_policy: SlotPolicy,
    /// Whether only the nodes of the reporter set use a replica, or all nodes.
    is_set_used: bool,
}

const POLICIES: [ComparedPolicy; 4] = [
    ComparedPolicy { name: "owner", slot_policy: SlotPolicy::Owner, is_set_used: true },
    ComparedPolicy {
        name: "equal shares",
        slot_policy: SlotPolicy::EqualShares,
        is_set_used: false,
    },
    ComparedPolicy { name: "equal, set", slot_policy: SlotPolicy::EqualShares, is_set_used: true },
    ComparedPolicy { name: "no limit", slot_policy: SlotPolicy::RoundRobin, is_set_used: false },
];

#[derive(Clone, Copy)]
struct SlotScenario {
    nodes: usize,
    replicas: usize,
    limit: u32,
    policy: ComparedPolicy,
    /// Whether each node suspects a random half of the nodes for 3 s.
    has_split: bool,
}

#[derive(Default)]
struct MeasuredNode {
    id: NodeId,
    start: StartId,
    holder: SlotHolder,
    suspicion: FailureDetector,
    replicas: Vec<ReplicaId>,
    waiting: Vec<(Instant, Duration)>,
    running: Vec<(Instant, StartedSlot)>,
    arrivals_per_step: f64,
    sent: u64,
    sent_bytes: u64,
}

#[derive(Default)]
struct ShareCount {
    offered: u64,
    started: u64,
}

impl ShareCount {
    fn percent(&self) -> f64 {
        100.0 * self.started as f64 / self.offered.max(1) as f64
    }
}

struct SlotRun {
    scenario: SlotScenario,
    begin: Instant,
    now: Instant,
    rng: StdRng,
    is_split: bool,
    sets: BTreeMap<ReplicaId, ReporterSet>,
    nodes: Vec<MeasuredNode>,
    positions: BTreeMap<NodeId, usize>,
    /// Owners by replica and node: several while views differ.
    owners: BTreeMap<(ReplicaId, usize), SlotOwner>,
    reports: Vec<(usize, usize, ReportBatch)>,
    answers: Vec<(usize, usize, AllowanceBatch)>,
    in_flight: BTreeMap<ReplicaId, u32>,
    load: Vec<BTreeMap<ReplicaId, u32>>,
    all: ShareCount,
    /// Requests that came while views differed and in the 6 s after.
    split: ShareCount,
    /// Most requests above the limit at one replica at one moment.
    overshoot: u32,
}

impl SlotRun {
    fn new(scenario: SlotScenario) -> Self {
        let mut rng = StdRng::seed_from_u64(SEED);
        let ids: Vec<NodeId> =
            (0..scenario.nodes).map(|index| format!("n{index}").into()).collect();
        let sets: BTreeMap<ReplicaId, ReporterSet> = (0..scenario.replicas)
            .map(|index| ReplicaId::from(format!("g{index}")))
            .map(|replica| (replica.clone(), ReporterSet::new(replica, &ids)))
            .collect();
        let capacity = f64::from(scenario.limit) * scenario.replicas as f64;
        let rate = OFFERED_SHARE * capacity / MEAN_SERVICE_SECS * STEP.as_secs_f64();
        // Some nodes get several times the load of others, because callers keep an address.
        let weights: Vec<f64> = ids.iter().map(|_| rng.random_range(0.3..1.7)).collect();
        let total: f64 = weights.iter().sum();
        let new =
            |(id, weight)| new_node(&scenario, &sets, id, rate * weight / total, rng.random());
        let nodes: Vec<MeasuredNode> = ids.iter().zip(weights).map(new).collect();
        let begin = Instant::now();
        Self {
            scenario,
            begin,
            now: begin,
            rng,
            is_split: false,
            in_flight: sets.keys().map(|replica| (replica.clone(), 0)).collect(),
            sets,
            nodes,
            positions: ids.into_iter().enumerate().map(|(index, id)| (id, index)).collect(),
            owners: BTreeMap::new(),
            reports: Vec::new(),
            answers: Vec::new(),
            load: Vec::new(),
            all: ShareCount::default(),
            split: ShareCount::default(),
            overshoot: 0,
        }
    }

    fn run(mut self) -> Self {
        while self.elapsed() < WARM_UP + MEASURED {
            self.now += STEP;
            self.set_views();
            self.exchange();
            self.probe();
            for index in 0..self.nodes.len() {
                self.end_requests(index);
                self.add_arrivals(index);
                self.start_requests(index);
            }
            let most = self.in_flight.values().max().copied().unwrap_or(0);
            self.overshoot = self.overshoot.max(most.saturating_sub(self.scenario.limit));
            self.load.push(self.in_flight.clone());
            let kept = (LOAD_AGE.as_millis() / STEP.as_millis()) as usize + 1;
            self.load.drain(..self.load.len().saturating_sub(kept));
        }
        self
    }

    /// Messages, bytes and most bytes that a node sent per second, without the overhead of QUIC.
    fn rates(&self) -> (f64, f64, f64) {
        let (count, seconds) = (self.nodes.len() as f64, (WARM_UP + MEASURED).as_secs_f64());
        let messages: u64 = self.nodes.iter().map(|node| node.sent).sum();
        let bytes: u64 = self.nodes.iter().map(|node| node.sent_bytes).sum();
        let most = self.nodes.iter().map(|node| node.sent_bytes).max().unwrap_or(0);
        (messages as f64 / seconds / count, bytes as f64 / seconds / count, most as f64 / seconds)
    }

    fn elapsed(&self) -> Duration {
        self.now - self.begin
    }

    /// Lets each node suspect a random half of the nodes for a while.
    fn set_views(&mut self) {
        let split = self.elapsed().checked_sub(WARM_UP + SPLIT_AT);
        let is_split = self.scenario.has_split && split.is_some_and(|time| time < SPLIT_TIME);
        if is_split == self.is_split {
            return;
        }
        self.is_split = is_split;
        for node in &mut self.nodes {
            node.suspicion = FailureDetector::new();
            for peer in self.positions.keys().filter(|_| is_split && self.rng.random_bool(0.5)) {
                node.suspicion.record_failure(peer);
                node.suspicion.record_failure(peer);
            }
        }
    }

    /// Delivers what was sent in the step before.
    fn exchange(&mut self) {
        for (owner, to, batch) in std::mem::take(&mut self.answers) {
            let peer = self.nodes[owner].id.clone();
            self.nodes[to].holder.apply_allowances(self.now, &peer, &batch);
        }
        for (from, owner, batch) in std::mem::take(&mut self.reports) {
            let (node, start) = (self.nodes[from].id.clone(), self.nodes[from].start.clone());
            let mut allowance = Vec::new();
            for report in &batch.report {
                let replica = ReplicaId::from(report.replica.as_str());
                let voters = self.sets[&replica].voters(self.now);
                let (now, limit) = (self.now, self.scenario.limit);
                let entry = self.owners.entry((replica.clone(), owner));
                let accounting = entry.or_insert_with(|| new_owner(replica, limit, now));
                accounting.set_voters(voters);
                allowance.push(accounting.handle_report(now, &node, &start, report));
            }
            let batch = AllowanceBatch { allowance };
            self.count(owner, from, encode_message(&batch).len());
            self.answers.push((owner, from, batch));
        }
    }

    fn probe(&mut self) {
        if !(self.elapsed().as_millis()).is_multiple_of(PROBE_INTERVAL.as_millis()) {
            return;
        }
        for ((replica, _), owner) in &mut self.owners {
            let load = self.load.first().map_or(0, |load| load[replica]);
            let report = LoadReport { load, age: LOAD_AGE, probe_sent: self.now };
            owner.observe_load(self.now, report);
        }
    }

    fn end_requests(&mut self, index: usize) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        for (_, slot) in node.running.extract_if(.., |(end, _)| *end <= now) {
            if let Some(count) = self.in_flight.get_mut(&slot.replica) {
                *count -= 1;
            }
            node.holder.finish(slot);
        }
    }

    fn add_arrivals(&mut self, index: usize) {
        if self.rng.random_bool(self.nodes[index].arrivals_per_step.min(1.0)) {
            let uniform: f64 = self.rng.random_range(1e-3..1.0);
            let service = Duration::from_secs_f64(-uniform.ln() * MEAN_SERVICE_SECS);
            self.count_request(self.now, true);
            self.nodes[index].waiting.push((self.now, service));
        }
        let now = self.now;
        self.nodes[index].waiting.retain(|(arrived, _)| now <= *arrived + START_BOUND);
    }

    /// Counts a request by the time of its arrival.
    fn count_request(&mut self, arrived: Instant, is_offer: bool) {
        let Some(time) = (arrived - self.begin).checked_sub(WARM_UP) else { return };
        let is_split = time >= SPLIT_AT && time < SPLIT_AT + SPLIT_TIME * 3;
        let counts = [&mut self.all, &mut self.split];
        for count in counts.into_iter().take(if is_split { 2 } else { 1 }) {
            count.offered += u64::from(is_offer);
            count.started += u64::from(!is_offer);
        }
    }

    fn start_requests(&mut self, index: usize) {
        let waiting = std::mem::take(&mut self.nodes[index].waiting);
        let mut started = 0;
        for (arrived, service) in &waiting {
            let node = &mut self.nodes[index];
            let (candidates, kv_tokens) = (&node.replicas[..], REQUEST_KV);
            let choice = StartConstraints { candidates, excluded: &[], kv_tokens, affinity: None };
            let Some(slot) = node.holder.try_start(self.now, &choice) else { break };
            *self.in_flight.entry(slot.replica.clone()).or_default() += 1;
            node.running.push((self.now + *service, slot));
            self.count_request(*arrived, false);
            started += 1;
        }
        let node = &mut self.nodes[index];
        node.waiting = waiting[started..].to_vec();
        let requests = u32::try_from(node.waiting.len()).unwrap_or(u32::MAX);
        let kv_tokens = u64::from(requests) * REQUEST_KV;
        let demand = SlotDemand { requests, kv_tokens, largest_kv: REQUEST_KV };
        if self.scenario.policy.slot_policy == SlotPolicy::Owner {
            node.holder.spread_demand(&node.replicas, demand);
            self.report(index);
        }
    }

    fn report(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let owner = |replica: &ReplicaId| self.sets[replica].owner(&node.id, &node.suspicion);
        let pair = |replica: &ReplicaId| Some((replica.clone(), owner(replica)?.clone()));
        let owners = node.replicas.iter().filter_map(pair).collect();
        for (owner, batch) in node.holder.build_reports(self.now, &owners) {
            let position = self.positions[&owner];
            self.count(index, position, encode_message(&batch).len());
            self.reports.push((index, position, batch));
        }
    }

    /// Counts a message around a batch; a node sends none to itself.
    fn count(&mut self, from: usize, to: usize, batch_bytes: usize) {
        if from != to {
            let sender = &mut self.nodes[from];
            // Requests and replies have the same fields around the batch, which adds its tag and
            // a length of one or two bytes.
            let envelope = PeerRequest {
                node: sender.id.to_string(),
                start_id: sender.start.to_string(),
                revision: 1_000_000,
                confirmed_age_ms: 1_000,
                body: None,
            };
            let length_bytes = if batch_bytes < 128 { 1 } else { 2 };
            let bytes = encode_message(&envelope).len() + 1 + length_bytes + batch_bytes;
            sender.sent += 1;
            sender.sent_bytes += bytes as u64;
        }
    }
}

fn new_node(
    scenario: &SlotScenario,
    sets: &BTreeMap<ReplicaId, ReporterSet>,
    id: &NodeId,
    arrivals_per_step: f64,
    first: u64,
) -> MeasuredNode {
    let is_set_used = scenario.policy.is_set_used;
    let is_used = |set: &ReporterSet| !is_set_used || set.reporters().contains(id);
    let mut holder = SlotHolder::new(scenario.policy.slot_policy);
    let used: Vec<_> = sets.iter().filter(|(_, set)| is_used(set)).collect();
    for (replica, set) in &used {
        let nodes = if is_set_used { set.reporters().len() } else { scenario.nodes };
        let limit = ReplicaLimit {
            slots: scenario.limit,
            kv_tokens: u64::from(scenario.limit) * REQUEST_KV * 2,
            nodes: u32::try_from(nodes).unwrap_or(u32::MAX),
            ..ReplicaLimit::default()
        };
        holder.set_limit(replica, &limit);
    }
    let mut replicas: Vec<_> = used.into_iter().map(|(replica, _)| replica.clone()).collect();
    // Round robin begins at another replica on each node, or all nodes would go in step.
    let first = usize::try_from(first).unwrap_or(0) % replicas.len().max(1);
    replicas.rotate_left(first);
    MeasuredNode {
        id: id.clone(),
        start: new_start_id(),
        holder,
        replicas,
        arrivals_per_step,
        ..MeasuredNode::default()
    }
}

fn new_owner(replica: ReplicaId, limit: u32, now: Instant) -> SlotOwner {
    let settings = OwnerSettings {
        kv_tokens: u64::from(limit) * REQUEST_KV * 2,
        largest_request_kv: REQUEST_KV,
        load_lag: LOAD_AGE,
        has_load_reports: true,
        longest_request: MEASURED,
    };
    let (step, first_token_target) = (MEASURED, MEASURED);
    let ramp = RampSettings { cold_slots: limit, slots: limit, step, first_token_target };
    let mut ramp = RampState::new(ramp, now);
    ramp.observe_start(now, &new_start_id());
    let mut owner = SlotOwner::new(replica, settings, ramp);
    owner.start_granting(1, "10.0.0.1:8000");
    owner
}

/// Runs all scenarios and prints one line for each.
pub fn run_slots() {
    println!(
        "nodes replicas limit views  policy       overshoot offered started% split% msg/s/node \
         B/s/node max_B/s"
    );
    for (nodes, replicas) in [(7, 6), (410, 212)] {
        for (limit, has_split) in [(2, false), (2, true), (64, false), (64, true)] {
            for policy in POLICIES {
                let scenario = SlotScenario { nodes, replicas, limit, policy, has_split };
                let (name, views) = (policy.name, if has_split { "differ" } else { "equal" });
                let run = SlotRun::new(scenario).run();
                let (overshoot, offered) = (run.overshoot, run.all.offered);
                let (started, split) = (run.all.percent(), run.split.percent());
                let (messages, bytes, most) = run.rates();
                println!(
                    "{nodes:>5} {replicas:>8} {limit:>5} {views:<6} {name:<12} {overshoot:>9} \
                     {offered:>7} {started:>8.2} {split:>6.2} {messages:>10.1} {bytes:>8.0} \
                     {most:>7.0}"
                );
            }
        }
    }
}
