//! Soak of rate limits that an upstream names to a fleet, simulated: limits that begin, change and end,
//! messages that get lost, and nodes that restart, freeze, are cut off or join, in overlapping series.
//!
//! `RATE_LIMIT_SOAK_SEEDS=200 cargo test -p eelgrassdeal_dispatch --test rate_limit_soak` runs more seeds.

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use common::{heartbeat, upstream};
use eelgrassdeal_dispatch::{LimitTracker, NodeDirectory, NodeHeartbeat, UpstreamRecord};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Numbers of nodes, and the seeds that are played for each.
const FLEETS: [(usize, u64); 3] = [(7, 12), (82, 3), (295, 1)];
const TICK: Duration = Duration::from_millis(10);
const TICKS_PER_S: u64 = 100;
const RUN_TICKS: u64 = 36 * TICKS_PER_S;
/// When the upstream names its limit for the first time, and when the limit ends.
const NAMED_AT: u64 = TICKS_PER_S;
const ENDED_AT: u64 = 26 * TICKS_PER_S;
const SLOTS: u32 = 26;
/// Time for which a request waits at its node, and the number of requests that wait there at most.
const WAIT_TICKS: u64 = TICKS_PER_S;
const MAX_WAITING: usize = 3;
/// Number of nodes from which on messages go through hubs.
const LARGE_FLEET: usize = 13;
const NODES_PER_HUB: usize = 20;
/// Bounds of a limit: it holds from `CONTACT_TICKS` after it was first named, for nodes that were told
/// `TOLD_TICKS` before; a disturbed node is excused until `CONTACT_TICKS` after the disturbance.
const CONTACT_TICKS: u64 = 3 * TICKS_PER_S;
const TOLD_TICKS: u64 = TICKS_PER_S / 2;
const WINDOW_TICKS: u64 = 4 * TICKS_PER_S;

fn record(now: Instant) -> UpstreamRecord {
    UpstreamRecord { slots: SLOTS, ..upstream("i-limited", "domain", now) }
}

fn heartbeat_of(index: usize, sequence: u64) -> NodeHeartbeat {
    heartbeat(&format!("front-{index}"), sequence)
}

struct SimNode {
    directory: NodeDirectory,
    tracker: LimitTracker,
    starts_at: u64,
    frozen_until: u64,
    cut_until: u64,
    disturbed_until: u64,
    /// When it first had a response with a limit.
    told_at: Option<u64>,
    /// Requests that wait, by the tick at which they are given up.
    waiting: VecDeque<u64>,
}

#[derive(Clone, Copy, Debug)]
struct SimArrival {
    at: u64,
    is_counted: bool,
}

/// A fleet in which all times are ticks since `start`.
struct SimFleet {
    rng: StdRng,
    start: Instant,
    now: u64,
    record: UpstreamRecord,
    nodes: Vec<SimNode>,
    /// Limits by the tick from which on they hold.
    limits: BTreeMap<u64, Option<f64>>,
    /// Requests per second of all nodes.
    demand: f64,
    /// Responses by the tick at which they arrive: their node, and the limit that they name.
    responses: BTreeMap<u64, Vec<(usize, Option<f64>)>>,
    arrivals: Vec<SimArrival>,
    end_known_at: Option<u64>,
    is_disturbed: bool,
}

impl SimFleet {
    fn new(seed: u64, node_count: usize, is_disturbed: bool) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let limit = 10.0_f64.powf(rng.random_range(-1.3..1.7));
        let mut limits = BTreeMap::from([(NAMED_AT, Some(limit)), (ENDED_AT, None)]);
        if is_disturbed {
            for at in [9, 17] {
                let factor = rng.random_range(0.1..3.0);
                limits.insert(at * TICKS_PER_S, Some(limit * factor));
            }
        }
        let node = |index: usize| SimNode {
            directory: NodeDirectory::new(heartbeat_of(index, 1)),
            tracker: LimitTracker::new(),
            starts_at: 0,
            frozen_until: 0,
            cut_until: 0,
            disturbed_until: 0,
            told_at: None,
            waiting: VecDeque::new(),
        };
        let demand = (limit * 5.0).max(node_count as f64 * 1.5).max(40.0);
        let mut fleet = Self {
            rng,
            start,
            now: 0,
            record: record(start),
            nodes: (0..node_count).map(node).collect(),
            limits,
            demand,
            responses: BTreeMap::new(),
            arrivals: Vec::new(),
            end_known_at: None,
            is_disturbed,
        };
        fleet.tell_of_nodes();
        fleet
    }

    fn instant(&self) -> Instant {
        self.start + TICK * u32::try_from(self.now).expect("a short run")
    }

    fn limit(&self) -> Option<f64> {
        self.limits.range(..=self.now).next_back().and_then(|(_, limit)| *limit)
    }

    fn is_running(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.starts_at <= self.now && node.frozen_until <= self.now
    }

    fn is_connected(&self, index: usize) -> bool {
        self.is_running(index) && self.nodes[index].cut_until <= self.now
    }

    fn run(&mut self) {
        while self.now < RUN_TICKS {
            self.now += 1;
            if self.is_disturbed {
                self.disturb();
            }
            self.deliver_responses();
            self.exchange_hints();
            if self.now.is_multiple_of(2 * TICKS_PER_S) {
                self.tell_of_nodes();
            }
            let expected = self.demand / TICKS_PER_S as f64;
            let mut requests = expected as u32 + u32::from(self.rng.random_bool(expected.fract()));
            while requests > 0 {
                requests -= 1;
                let index = self.rng.random_range(0..self.nodes.len());
                let waiting = &mut self.nodes[index].waiting;
                if waiting.len() < MAX_WAITING {
                    waiting.push_back(self.now + WAIT_TICKS);
                }
            }
            for index in 0..self.nodes.len() {
                self.send_waiting(index);
            }
        }
    }

    /// Brings heartbeats of all nodes that can be reached to all others.
    fn tell_of_nodes(&mut self) {
        let now = self.instant();
        let known: Vec<_> =
            (0..self.nodes.len()).filter(|index| self.is_connected(*index)).collect();
        for receiver in &known {
            for sender in &known {
                let heartbeat = heartbeat_of(*sender, self.now + 1);
                self.nodes[*receiver].directory.merge(heartbeat, now);
            }
        }
    }

    fn disturb(&mut self) {
        if !self.rng.random_bool(0.008) {
            return;
        }
        let index = self.rng.random_range(0..self.nodes.len());
        let length = self.rng.random_range(TICKS_PER_S..5 * TICKS_PER_S);
        let until = self.now + length;
        let (now, start) = (self.now, self.instant());
        match self.rng.random_range(0..4) {
            0 => self.nodes[index].frozen_until = until,
            1 => self.nodes[index].cut_until = until,
            2 => {
                let node = &mut self.nodes[index];
                node.tracker = LimitTracker::new();
                node.told_at = None;
                node.starts_at = now + 50;
            }
            _ => {
                let index = self.nodes.len();
                let mut directory = NodeDirectory::new(heartbeat_of(index, 1));
                for other in 0..index {
                    directory.merge(heartbeat_of(other, 1), start);
                }
                let mut node = SimNode {
                    directory,
                    tracker: LimitTracker::new(),
                    starts_at: now + 50,
                    frozen_until: 0,
                    cut_until: 0,
                    disturbed_until: now + CONTACT_TICKS,
                    told_at: None,
                    waiting: VecDeque::new(),
                };
                // It asks another node before it serves.
                for hint in self.nodes[0].tracker.hints(true, start) {
                    node.tracker.adopt_hint(&self.record, &hint, start);
                }
                self.nodes.push(node);
            }
        }
        let node = &mut self.nodes[index];
        node.disturbed_until = node.disturbed_until.max(until + CONTACT_TICKS);
    }

    fn deliver_responses(&mut self) {
        let due = self.responses.remove(&self.now).unwrap_or_default();
        for (index, limit) in due {
            let frozen_until = self.nodes[index].frozen_until;
            if frozen_until > self.now {
                self.responses.entry(frozen_until).or_default().push((index, limit));
                continue;
            }
            let now = self.instant();
            let node = &mut self.nodes[index];
            node.tracker.record_response(&self.record, limit, now);
            match limit {
                Some(_) => node.told_at = node.told_at.or(Some(self.now)),
                None if self.now >= ENDED_AT => {
                    self.end_known_at = self.end_known_at.or(Some(self.now));
                }
                None => {}
            }
        }
    }

    /// Nodes of a small fleet tell each other all they know every 250 ms, those of a large one through
    /// hubs every 350 ms.
    fn exchange_hints(&mut self) {
        let count = self.nodes.len();
        let is_large = count >= LARGE_FLEET;
        let period = if is_large { 35 } else { 25 };
        let hubs = if is_large { count.div_ceil(NODES_PER_HUB) } else { count };
        for index in 0..count {
            // Rounds of different nodes begin at different times.
            if !(self.now + index as u64 * 7).is_multiple_of(period) || !self.is_connected(index) {
                continue;
            }
            let is_full = (self.now / period).is_multiple_of(4);
            let partners: Vec<usize> = match index < hubs {
                true => (0..hubs).filter(|hub| *hub != index).collect(),
                false => vec![index % hubs],
            };
            for partner in partners {
                if self.is_connected(partner) && !self.rng.random_bool(0.05) {
                    self.tell(index, partner, is_full);
                    self.tell(partner, index, is_full);
                }
            }
        }
    }

    fn tell(&mut self, sender: usize, receiver: usize, is_full: bool) {
        let now = self.instant();
        for hint in self.nodes[sender].tracker.hints(is_full, now) {
            self.nodes[receiver].tracker.adopt_hint(&self.record, &hint, now);
        }
    }

    fn send_waiting(&mut self, index: usize) {
        while self.is_running(index) && !self.nodes[index].waiting.is_empty() {
            let (now, ticks) = (self.instant(), self.now);
            let node = &mut self.nodes[index];
            node.waiting.retain(|give_up_at| *give_up_at > ticks);
            if !node.tracker.may_send(&self.record, &node.directory, now) {
                return;
            }
            if node.waiting.pop_front().is_some() {
                self.send(index);
            }
        }
    }

    fn send(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.tracker.take(&self.record);
        let is_told = node.told_at.is_some_and(|at| at + TOLD_TICKS <= self.now);
        let is_counted = is_told && node.disturbed_until <= self.now;
        self.arrivals.push(SimArrival { at: self.now, is_counted });
        let due = self.now + self.rng.random_range(5..60);
        let limit = self.limit();
        self.responses.entry(due).or_default().push((index, limit));
    }

    /// Largest excess over what is tolerated in a window, in requests; negative if there is none.
    fn excess(&self) -> f64 {
        let counted: Vec<_> = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.is_counted)
            .map(|arrival| arrival.at)
            .collect();
        let from = NAMED_AT + CONTACT_TICKS;
        let mut excess = f64::NEG_INFINITY;
        for first in counted.iter().filter(|at| (from..ENDED_AT - WINDOW_TICKS).contains(*at)) {
            let window = *first..*first + WINDOW_TICKS;
            let arrived = counted.iter().filter(|at| window.contains(*at)).count() as f64;
            // Nodes learn of a lower limit by a response of their own, or from others.
            let from = window.start.saturating_sub(2 * TICKS_PER_S);
            let before = self.limits.range(..=from).next_back();
            let during = self.limits.range(from..window.end);
            let limit = before.into_iter().chain(during).filter_map(|(_, limit)| *limit);
            let limit = limit.fold(0.0, f64::max);
            excess = excess.max(arrived - (6.0 * limit + 5.0));
        }
        excess
    }

    fn arrivals_in(&self, from: u64, to: u64) -> usize {
        self.arrivals.iter().filter(|arrival| (from..to).contains(&arrival.at)).count()
    }
}

fn fleets() -> impl Iterator<Item = (usize, u64)> {
    let count = std::env::var("RATE_LIMIT_SOAK_SEEDS").ok().and_then(|count| count.parse().ok());
    FLEETS
        .into_iter()
        .flat_map(move |(nodes, seeds)| (0..count.unwrap_or(seeds)).map(move |seed| (nodes, seed)))
}

#[test]
fn upstream_gets_no_more_than_its_limit_while_nodes_come_and_go() {
    for (nodes, seed) in fleets() {
        let mut fleet = SimFleet::new(seed, nodes, true);
        fleet.run();
        let excess = fleet.excess();
        let limits: Vec<_> = fleet.limits.values().collect();
        assert!(
            excess <= 0.0,
            "{nodes} nodes, seed {seed}, {limits:?}: {excess} requests too many"
        );
    }
}

/// With requests at all nodes, at least three quarters of a limit are used. After its end the upstream is
/// used freely soon, without a rush.
#[test]
fn upstream_gets_most_of_its_limit_and_all_requests_after_it() {
    for (nodes, seed) in fleets() {
        let mut fleet = SimFleet::new(seed, nodes, false);
        fleet.run();
        let limit = fleet.limits[&NAMED_AT].expect("a limit");
        let case = format!("{nodes} nodes, seed {seed}, limit {limit}");
        let from = NAMED_AT + CONTACT_TICKS;
        let seconds = ((ENDED_AT - from) / TICKS_PER_S) as f64;
        let used = fleet.arrivals_in(from, ENDED_AT) as f64;
        assert!(fleet.excess() <= 0.0, "{case}: {} too many", fleet.excess());
        assert!(used >= 0.75 * limit * seconds - 2.0, "{case}: {used} in {seconds} s");
        let known_at = fleet.end_known_at.expect("a response after the end");
        assert!(known_at <= ENDED_AT + 5 * TICKS_PER_S, "{case}: known at {known_at}");
        let rush = fleet.arrivals_in(known_at, known_at + TICKS_PER_S);
        let freed: f64 = fleet.demand.min(f64::from(SLOTS)).max(limit);
        assert!(rush as f64 <= freed * 2.0 + 5.0, "{case}: {rush} in the first second");
        // Word takes three rounds of messages in a large fleet.
        let free_from = known_at + TICKS_PER_S + if nodes > 7 { 2 * TICKS_PER_S } else { 50 };
        let freely = fleet.arrivals_in(free_from, free_from + TICKS_PER_S) as f64;
        assert!(freely >= 0.7 * fleet.demand, "{case}: {freely} of {}", fleet.demand);
    }
}
