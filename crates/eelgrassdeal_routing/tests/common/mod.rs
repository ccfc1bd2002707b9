//! Simulated nodes that share one replica, with a virtual clock and an unreliable network.

#![allow(clippy::unwrap_used, reason = "a failed step fails its test")]
#![allow(dead_code, reason = "each test file uses only part of this module")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use eelgrassdeal_routing::{
    FailureDetector, LoadReport, OwnerSettings, RampSettings, RampState, ReporterSet, SlotDemand,
    SlotHolder, SlotOwner, SlotPolicy, StartConstraints, StartedSlot,
};
use eelgrassdeal_schema::peer::{AllowanceBatch, SlotAllowance, SlotReport};
use eelgrassdeal_types::{NodeId, ReplicaId, StartId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub(crate) const TICK: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Upper bound of the run time of a request.
const LONGEST_REQUEST: Duration = Duration::from_secs(4);
pub(crate) const LOAD_LAG: Duration = Duration::from_millis(300);

/// Probabilities of message faults, each applied to every message separately, and faults of the
/// network.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) loss: f64,
    pub(crate) duplicate: f64,
    pub(crate) delayed: f64,
    /// Bit set of the nodes on one side of a network partition; 0 for no partition.
    pub(crate) partition: u16,
    /// Whether a suspicion is never cleared by a ping.
    pub(crate) never_clears_suspicion: bool,
}

enum Message {
    Report { owner: usize, from: usize, start: StartId, report: SlotReport },
    Answer { owner: usize, to: usize, answer: SlotAllowance },
}

pub(crate) struct Node {
    pub(crate) id: NodeId,
    start: StartId,
    pub(crate) holder: SlotHolder,
    pub(crate) owner: Option<SlotOwner>,
    pub(crate) failure_detector: FailureDetector,
    pub(crate) set: ReporterSet,
    pub(crate) paused_until: Option<Instant>,
    /// Waiting requests: KV tokens and run time.
    pub(crate) waiting: Vec<(u64, Duration)>,
    /// Running requests: end time and slot.
    running: Vec<(Instant, StartedSlot)>,
    /// Unanswered reports: index of the owner, sequence number and send time.
    calls: Vec<(usize, u64, Instant)>,
    probed: Option<Instant>,
    /// Memberships that this node applies later, in order: time at which it applies them, members,
    /// and time at which the change was accepted.
    pending_memberships: VecDeque<(Instant, Vec<NodeId>, Instant)>,
    pub(crate) is_member: bool,
}

pub(crate) struct Fleet {
    pub(crate) now: Instant,
    pub(crate) nodes: Vec<Node>,
    pub(crate) replica: ReplicaId,
    pub(crate) slots: u32,
    pub(crate) kv_tokens: u64,
    largest_kv: u64,
    pub(crate) faults: Faults,
    rng: StdRng,
    /// Messages in transit, with their arrival time.
    messages: Vec<(Instant, Message)>,
    /// Number of running requests after each step.
    load: Vec<(Instant, u32)>,
    /// Number of requests started by each node.
    pub(crate) started: Vec<u32>,
    /// Number of messages sent.
    pub(crate) sent: u64,
}

impl Fleet {
    /// Creates `nodes` nodes, of which the first `members` are members. The others can join later.
    pub(crate) fn new(seed: u64, nodes: usize, members: usize, slots: u32, kv_tokens: u64) -> Self {
        let ids: Vec<NodeId> = (0..nodes).map(|index| format!("n{index}").into()).collect();
        let replica: ReplicaId = "g1".into();
        let node = |(index, id): (usize, &NodeId)| Node {
            id: id.clone(),
            start: format!("s{index}").into(),
            holder: SlotHolder::new(SlotPolicy::Owner),
            owner: None,
            failure_detector: FailureDetector::new(),
            set: ReporterSet::new(replica.clone(), &ids[..members]),
            paused_until: None,
            waiting: Vec::new(),
            running: Vec::new(),
            calls: Vec::new(),
            probed: None,
            pending_memberships: VecDeque::new(),
            is_member: index < members,
        };
        Self {
            now: Instant::now(),
            nodes: ids.iter().enumerate().map(node).collect(),
            replica: replica.clone(),
            slots,
            kv_tokens,
            largest_kv: (kv_tokens / 3).max(1),
            faults: Faults::default(),
            rng: StdRng::seed_from_u64(seed),
            messages: Vec::new(),
            load: Vec::new(),
            started: vec![0; nodes],
            sent: 0,
        }
    }

    /// Requests and KV tokens in flight, summed over all nodes.
    pub(crate) fn in_flight(&self) -> (u32, u64) {
        self.nodes.iter().fold((0, 0), |sum, node| {
            let (slots, kv) = node.holder.in_flight(&self.replica);
            (sum.0 + slots, sum.1 + kv)
        })
    }

    /// Adds a random number of waiting requests to each node with the given probability.
    pub(crate) fn add_random_demand(&mut self, probability: f64) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].waiting.len() < 30 && self.rng.random_bool(probability) {
                for _ in 0..self.rng.random_range(1..6) {
                    let kv = self.rng.random_range(1..=self.largest_kv);
                    let millis = self.rng.random_range(20..LONGEST_REQUEST.as_millis() as u64);
                    self.nodes[index].waiting.push((kv, Duration::from_millis(millis)));
                }
            }
        }
    }

    /// Accepts a new membership. Each node applies it after a random delay below the lifetime of a
    /// confirmation (5 s).
    pub(crate) fn change_members(&mut self, members: &BTreeSet<usize>) {
        let ids: Vec<NodeId> = members.iter().map(|&index| self.nodes[index].id.clone()).collect();
        for node in &mut self.nodes {
            let delay = Duration::from_millis(self.rng.random_range(0..5_000));
            node.pending_memberships.push_back((self.now + delay, ids.clone(), self.now));
        }
    }

    /// Advances the clock by [`TICK`]. Each node that is not paused applies memberships, receives
    /// messages, ends requests, sends reports, probes the upstream and starts requests.
    pub(crate) fn step(&mut self) {
        self.now += TICK;
        for index in 0..self.nodes.len() {
            let is_paused = self.nodes[index].paused_until.is_some_and(|until| self.now < until);
            if is_paused {
                continue;
            }
            self.apply_due_memberships(index);
            self.receive(index);
            self.end_requests(index);
            self.report(index);
            self.probe(index);
            self.start_requests(index);
        }
        let (running, _) = self.in_flight();
        self.load.push((self.now, running));
    }

    pub(crate) fn run_for(&mut self, time: Duration, mut check: impl FnMut(&mut Self)) {
        let end = self.now + time;
        while self.now < end {
            self.step();
            check(self);
        }
    }

    /// Index of the node that is the owner as long as no node suspects it.
    pub(crate) fn first_owner(&self) -> usize {
        let first = &self.nodes[0].set.reporters()[0];
        self.nodes.iter().position(|node| node.id == *first).unwrap()
    }

    /// Makes the nodes in the bit set `nodes` suspect `peer`.
    pub(crate) fn suspect(&mut self, nodes: u16, peer: usize) {
        let peer = self.nodes[peer].id.clone();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if nodes & (1 << index) != 0 {
                node.failure_detector.record_failure(&peer);
                node.failure_detector.record_failure(&peer);
            }
        }
    }

    pub(crate) fn pause(&mut self, index: usize, time: Duration) {
        self.nodes[index].paused_until = Some(self.now + time);
    }

    fn is_cut(&self, left: usize, right: usize) -> bool {
        let side = |index: usize| self.faults.partition & (1 << index) != 0;
        side(left) != side(right)
    }

    fn apply_due_memberships(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        // A node that reads a later revision receives the earlier ones as well.
        let is_due = |membership: &(Instant, Vec<NodeId>, Instant)| self.now >= membership.0;
        let due = node.pending_memberships.iter().rposition(is_due).map_or(0, |last| last + 1);
        for (_, members, accepted_at) in node.pending_memberships.drain(..due) {
            node.set.set_members(&members, accepted_at);
            node.is_member = members.contains(&node.id);
        }
        if let Some(owner) = &mut node.owner {
            owner.set_voters(node.set.voters(self.now));
        }
    }

    fn receive(&mut self, index: usize) {
        let mut due = Vec::new();
        for (at, message) in std::mem::take(&mut self.messages) {
            let target = match &message {
                Message::Report { owner, .. } => *owner,
                Message::Answer { to, .. } => *to,
            };
            if target == index && at <= self.now {
                due.push(message);
            } else {
                self.messages.push((at, message));
            }
        }
        for message in due {
            match message {
                Message::Report { from, start, report, .. } => {
                    let answer = self.answer(index, from, &start, &report);
                    self.send(Message::Answer { owner: index, to: from, answer });
                }
                Message::Answer { owner, answer, .. } => self.apply(index, owner, answer),
            }
        }
    }

    fn apply(&mut self, index: usize, owner: usize, answer: SlotAllowance) {
        let peer = self.nodes[owner].id.clone();
        let node = &mut self.nodes[index];
        node.calls.retain(|(known, sequence, _)| (*known, *sequence) != (owner, answer.sequence));
        node.failure_detector.record_success(&peer);
        node.holder.apply_allowances(self.now, &peer, &AllowanceBatch { allowance: vec![answer] });
    }

    fn answer(
        &mut self,
        index: usize,
        from: usize,
        start: &StartId,
        report: &SlotReport,
    ) -> SlotAllowance {
        let reporter = self.nodes[from].id.clone();
        let (now, slots) = (self.now, self.slots);
        let settings = OwnerSettings {
            kv_tokens: self.kv_tokens,
            largest_request_kv: self.largest_kv,
            load_lag: LOAD_LAG,
            has_load_reports: true,
            longest_request: LONGEST_REQUEST,
        };
        let replica = self.replica.clone();
        let node = &mut self.nodes[index];
        let owner = node.owner.get_or_insert_with(|| {
            let ramp = RampState::new(
                RampSettings {
                    cold_slots: slots,
                    slots,
                    step: Duration::from_secs(10),
                    first_token_target: Duration::from_millis(500),
                },
                now,
            );
            let mut owner = SlotOwner::new(replica, settings, ramp);
            owner.start_granting(1, "127.0.0.1:1");
            owner
        });
        owner.set_voters(node.set.voters(now));
        owner.handle_report(now, &reporter, start, report)
    }

    fn send(&mut self, message: Message) {
        self.sent += 1;
        let (sender, receiver) = match &message {
            Message::Report { owner, from, .. } => (*from, *owner),
            Message::Answer { owner, to, .. } => (*owner, *to),
        };
        let is_local = sender == receiver;
        let is_lost = self.is_cut(sender, receiver) || self.rng.random_bool(self.faults.loss);
        if !is_local && is_lost {
            return;
        }
        let delay = |rng: &mut StdRng, delayed: f64| {
            let most = if rng.random_bool(delayed) { 3_000 } else { 10 };
            Duration::from_millis(if is_local { 0 } else { rng.random_range(0..most) })
        };
        if self.rng.random_bool(self.faults.duplicate) {
            let again = match &message {
                Message::Report { owner, from, start, report } => Message::Report {
                    owner: *owner,
                    from: *from,
                    start: start.clone(),
                    report: report.clone(),
                },
                Message::Answer { owner, to, answer } => {
                    Message::Answer { owner: *owner, to: *to, answer: answer.clone() }
                }
            };
            let at = self.now + delay(&mut self.rng, 0.5);
            self.messages.push((at, again));
        }
        let at = self.now + delay(&mut self.rng, self.faults.delayed);
        self.messages.push((at, message));
    }

    fn end_requests(&mut self, index: usize) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        let running = std::mem::take(&mut node.running);
        let (ended, running): (Vec<_>, _) = running.into_iter().partition(|(end, _)| *end <= now);
        node.running = running;
        for (_, slot) in ended {
            node.holder.finish(slot);
        }
    }

    fn report(&mut self, index: usize) {
        let now = self.now;
        for (peer, _, _) in self.nodes[index]
            .calls
            .extract_if(.., |(_, _, sent)| now >= *sent + CALL_TIMEOUT)
            .collect::<Vec<_>>()
        {
            let peer = self.nodes[peer].id.clone();
            self.nodes[index].failure_detector.record_failure(&peer);
        }
        self.clear_suspicions(index);
        let node = &mut self.nodes[index];
        let demand = node.waiting.iter().fold(SlotDemand::default(), |sum, (kv, _)| SlotDemand {
            requests: sum.requests + 1,
            kv_tokens: sum.kv_tokens + kv,
            largest_kv: sum.largest_kv.max(*kv),
        });
        node.holder.set_demand(&self.replica, demand);
        let is_reporter = node.is_member && node.set.reporters().contains(&node.id);
        let owner = node.set.owner(&node.id, &node.failure_detector).filter(|_| is_reporter);
        let owners: BTreeMap<_, _> =
            owner.map(|owner| (self.replica.clone(), owner.clone())).into_iter().collect();
        let (start, batches) = (node.start.clone(), node.holder.build_reports(now, &owners));
        for (owner, batch) in batches {
            let owner = self.nodes.iter().position(|node| node.id == owner).unwrap();
            for report in batch.report {
                self.nodes[index].calls.push((owner, report.sequence, now));
                let start = start.clone();
                if owner == index {
                    let answer = self.answer(index, index, &start, &report);
                    self.apply(index, index, answer);
                } else {
                    self.send(Message::Report { owner, from: index, start, report });
                }
            }
        }
    }

    /// Simulates the pings whose answers clear the suspicion of a peer.
    fn clear_suspicions(&mut self, index: usize) {
        let suspected_peers: Vec<_> =
            self.nodes[index].failure_detector.suspected().cloned().collect();
        for peer_id in suspected_peers {
            let peer = self.nodes.iter().find(|node| node.id == peer_id).unwrap();
            let is_alive = peer.paused_until.is_none_or(|until| until <= self.now);
            let is_reached = is_alive && !self.faults.never_clears_suspicion;
            let position = self.nodes.iter().position(|node| node.id == peer_id).unwrap();
            if is_reached && !self.is_cut(index, position) && self.rng.random_bool(0.05) {
                self.nodes[index].failure_detector.record_success(&peer_id);
            }
        }
    }

    fn probe(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(owner) = &mut node.owner else { return };
        if node.probed.is_some_and(|probed| self.now < probed + PROBE_INTERVAL) {
            return;
        }
        node.probed = Some(self.now);
        // The load is older than its stated age by up to the declared lag.
        let age = Duration::from_millis(self.rng.random_range(0..200));
        let lag = Duration::from_millis(self.rng.random_range(0..LOAD_LAG.as_millis() as u64));
        let sampled = self.now - age - lag;
        let load = self.load.iter().rev().find(|(at, _)| *at <= sampled).map_or(0, |load| load.1);
        owner.observe_load(self.now, LoadReport { load, age, probe_sent: self.now });
    }

    fn start_requests(&mut self, index: usize) {
        let now = self.now;
        let replica = self.replica.clone();
        let node = &mut self.nodes[index];
        let mut waiting = Vec::new();
        for (kv, duration) in std::mem::take(&mut node.waiting) {
            let constraints = StartConstraints {
                candidates: std::slice::from_ref(&replica),
                excluded: &[],
                kv_tokens: kv,
                affinity: None,
            };
            match node.holder.try_start(now, &constraints) {
                Some(slot) => {
                    self.started[index] += 1;
                    node.running.push((now + duration, slot));
                }
                None => waiting.push((kv, duration)),
            }
        }
        node.waiting = waiting;
    }
}
