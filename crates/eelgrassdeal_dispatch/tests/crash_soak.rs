//! Soak of the crash ledgers of a fleet, simulated: prompts that crash upstreams, crashes without a
//! cause, nodes that restart or are cut off, and a store that is away, in overlapping series.
//!
//! `CRASH_SOAK_SEEDS=200 cargo test -p eelgrassdeal_dispatch --test crash_soak` runs more seeds.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{CrashLedger, CrashReport, CrashSuspect, Quarantine, SuspectReport};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 24;
const NODES: usize = 7;
const GROUPS: usize = 12;
const TICK: Duration = Duration::from_millis(10);
const RUN_TICKS: u64 = 3_000;
/// Interval at which a node tells the others what it knows, in ticks.
const MESSAGE_TICKS: u64 = 25;
/// Time after which a crashed group serves again, in ticks.
const GROUP_DOWN_TICKS: u64 = 450;
/// Time from the start of a response to the crash that it causes, in ticks.
const CRASH_TICKS: u64 = 6;
/// Age of a response above which it did not cause a crash, in ticks.
const ONSET_TICKS: u64 = 50;
const SHARED_PARTS: u64 = 180;
/// First part of the deadly prompts, which sound ones share.
const COMMON_PART: u64 = 0;
const DEADLY_PART: u64 = 1_000;
const ATTEMPTS: u32 = 2;
/// Time for which a node must have run and reached others, and the store must have been there, before
/// the bounds hold for it.
const CONTACT_TICKS: u64 = 300;
const CRASHES_TO_KNOW: usize = 5;
/// Runs of deadly requests that nodes in touch may start from `CONTACT_TICKS` after these crashes on.
const MAX_LATER_RUNS: usize = 3;

fn suspect(part: u64) -> CrashSuspect {
    CrashSuspect::PromptPart { service: Arc::from("s"), model: Arc::from("m"), part }
}

#[derive(Clone, Debug)]
struct SimRequest {
    parts: Vec<u64>,
    attempts: u32,
}

impl SimRequest {
    fn is_deadly(&self) -> bool {
        self.parts.contains(&DEADLY_PART)
    }

    fn suspects(&self) -> Vec<CrashSuspect> {
        self.parts.iter().map(|part| suspect(*part)).collect()
    }
}

#[derive(Debug)]
struct SimRun {
    request: SimRequest,
    node: usize,
    /// When the response begins.
    begins: u64,
    /// When the response is complete, or the upstream crashes.
    ends: u64,
}

struct SimNode {
    ledger: CrashLedger,
    /// When it last started, or was last cut off.
    disturbed_at: u64,
    cut_until: u64,
}

/// A fleet in which all times are ticks since `start`.
struct SimFleet {
    rng: StdRng,
    start: Instant,
    now: u64,
    nodes: Vec<SimNode>,
    runs: BTreeMap<usize, Vec<SimRun>>,
    down_until: Vec<u64>,
    store_away_until: u64,
    stored: Vec<Quarantine>,
    /// Crashes that deadly requests caused.
    deadly_crashes: Vec<u64>,
    /// Runs of deadly requests that nodes in touch started: when.
    deadly_runs: Vec<u64>,
    /// Sound requests with the common first part: when, and whether they were refused.
    common_requests: Vec<(u64, bool)>,
}

impl SimFleet {
    fn new(seed: u64) -> Self {
        let node = || SimNode { ledger: CrashLedger::new(), disturbed_at: 0, cut_until: 0 };
        Self {
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0,
            nodes: (0..NODES).map(|_| node()).collect(),
            runs: BTreeMap::new(),
            down_until: vec![0; GROUPS],
            store_away_until: 0,
            stored: Vec::new(),
            deadly_crashes: Vec::new(),
            deadly_runs: Vec::new(),
            common_requests: Vec::new(),
        }
    }

    fn at(&self) -> Instant {
        self.start + TICK * self.now as u32
    }

    /// Whether something that happens `per_s` times a second happens in this tick.
    fn happens(&mut self, per_s: f64) -> bool {
        self.rng.random_bool(per_s * TICK.as_secs_f64())
    }

    fn send(&mut self, node: usize, request: SimRequest) {
        let at = self.at();
        let suspects = request.suspects();
        let is_refused = self.nodes[node].ledger.quarantine_of(&suspects, at).is_some();
        if request.parts == [COMMON_PART] && request.attempts == 0 {
            self.common_requests.push((self.now, is_refused));
        }
        let up: Vec<_> = (0..GROUPS).filter(|group| self.down_until[*group] <= self.now).collect();
        if is_refused || up.is_empty() {
            return;
        }
        let disturbed_at = self.nodes[node].disturbed_at.max(self.store_away_until);
        let is_in_touch = self.now >= disturbed_at + CONTACT_TICKS;
        if request.is_deadly() && is_in_touch {
            self.deadly_runs.push(self.now);
        }
        let group = up[self.rng.random_range(0..up.len())];
        let prefill = self.rng.random_range(5..25);
        let length = if request.is_deadly() { CRASH_TICKS } else { self.rng.random_range(20..200) };
        let begins = self.now + prefill;
        let run = SimRun { request, node, begins, ends: begins + length };
        self.runs.entry(group).or_default().push(run);
    }

    fn end_runs(&mut self) {
        let at = self.at();
        let mut crashed = Vec::new();
        for (group, runs) in &mut self.runs {
            let is_over = |run: &SimRun| run.ends <= self.now;
            if runs.iter().any(|run| is_over(run) && run.request.is_deadly()) {
                crashed.push((*group, true));
                continue;
            }
            let is_sound = |run: &&SimRun| is_over(run) || self.now == run.begins + ONSET_TICKS;
            for run in runs.iter().filter(is_sound) {
                self.nodes[run.node].ledger.record_response(&run.request.suspects(), at);
            }
            runs.retain(|run| !is_over(run));
        }
        if self.happens(0.25) {
            crashed.push((self.rng.random_range(0..GROUPS), false));
        }
        for (group, is_deadly) in crashed {
            self.crash(group, is_deadly);
        }
    }

    fn crash(&mut self, group: usize, is_deadly: bool) {
        let at = self.at();
        self.down_until[group] = self.now + GROUP_DOWN_TICKS;
        if is_deadly {
            self.deadly_crashes.push(self.now);
        }
        let upstream: Arc<str> = Arc::from(format!("i-{group}-{}", self.now));
        let interrupted = self.runs.remove(&group).unwrap_or_default();
        let mut observers = Vec::new();
        for run in &interrupted {
            if self.now > run.begins + ONSET_TICKS {
                continue;
            }
            let suspects = run.request.suspects().into_iter().zip(1..);
            let suspects = suspects.map(|(suspect, specificity)| SuspectReport {
                suspect,
                specificity,
                answered_at: None,
            });
            let report =
                CrashReport { upstream: upstream.clone(), at, suspects: suspects.collect() };
            self.nodes[run.node].ledger.record_crash(report, at);
            observers.push(run.node);
        }
        observers.sort_unstable();
        observers.dedup();
        observers.into_iter().for_each(|node| self.tell(node));
        for SimRun { mut request, node, .. } in interrupted {
            request.attempts += 1;
            if request.attempts < ATTEMPTS {
                self.send(node, request);
            } else if request.attempts == ATTEMPTS {
                // The caller tries once more, anywhere.
                let other = self.rng.random_range(0..NODES);
                self.send(other, request);
            }
        }
    }

    /// A node exchanges what it knows with all others that it reaches.
    fn tell(&mut self, node: usize) {
        if self.nodes[node].cut_until > self.now {
            return;
        }
        let reached = (0..NODES).filter(|other| *other != node);
        let reached: Vec<_> =
            reached.filter(|other| self.nodes[*other].cut_until <= self.now).collect();
        for other in reached {
            self.copy_knowledge(node, other);
            self.copy_knowledge(other, node);
        }
    }

    fn copy_knowledge(&mut self, from: usize, to: usize) {
        let at = self.at();
        let ledger = &self.nodes[from].ledger;
        let reports = ledger.reports(at);
        let answered: Vec<_> = ledger.response_news(at).cloned().collect();
        let quarantines: Vec<_> = ledger.quarantines(at).cloned().collect();
        let ledger = &mut self.nodes[to].ledger;
        answered.into_iter().for_each(|part| ledger.record_response_elsewhere(part, at, false));
        quarantines.into_iter().for_each(|quarantine| ledger.adopt(quarantine));
        for report in reports {
            ledger.record_crash(report, at);
        }
    }

    fn disturb_nodes(&mut self) {
        if self.happens(0.1) {
            self.store_away_until = self.now + self.rng.random_range(100..600);
        }
        let is_store_there = self.store_away_until <= self.now;
        // Single nodes restart, and now and then all of them.
        let restarts_all = self.happens(0.03);
        for node in 0..NODES {
            if restarts_all || self.happens(0.03) {
                let mut ledger = CrashLedger::new();
                if is_store_there {
                    self.stored.iter().for_each(|quarantine| ledger.adopt(quarantine.clone()));
                }
                self.nodes[node] =
                    SimNode { ledger, disturbed_at: self.now, cut_until: self.now + 20 };
            }
            if self.happens(0.03) {
                let until = self.now + self.rng.random_range(50..500);
                self.nodes[node].cut_until = until;
                self.nodes[node].disturbed_at = until;
            }
            let at = self.at();
            let node = &mut self.nodes[node];
            node.ledger.decide(at);
            let known: Vec<_> = self.stored.iter().map(|stored| stored.suspect.clone()).collect();
            if is_store_there && node.cut_until <= self.now {
                let unstored = node.ledger.quarantines(at);
                let unstored = unstored.filter(|quarantine| !known.contains(&quarantine.suspect));
                self.stored.extend(unstored.cloned());
            }
        }
    }

    fn run(mut self) -> Self {
        while self.now < RUN_TICKS {
            self.now += 1;
            self.end_runs();
            self.disturb_nodes();
            let node = self.rng.random_range(0..NODES);
            if self.now > 400 && self.happens(2.0) {
                let parts = vec![COMMON_PART, DEADLY_PART];
                self.send(node, SimRequest { parts, attempts: 0 });
            }
            if self.happens(45.0) {
                // Some parts are far more popular than others.
                let draw: f64 = self.rng.random();
                let part = (draw * draw * SHARED_PARTS as f64) as u64;
                self.send(node, SimRequest { parts: vec![part], attempts: 0 });
            }
            let due: Vec<_> = (0..NODES)
                .filter(|node| (self.now + *node as u64 * 3).is_multiple_of(MESSAGE_TICKS))
                .collect();
            due.into_iter().for_each(|node| self.tell(node));
        }
        self
    }
}

#[test]
fn deadly_prompts_stop_reaching_upstreams_in_a_disturbed_fleet() {
    let seeds = std::env::var("CRASH_SOAK_SEEDS").ok().and_then(|text| text.parse().ok());
    let mut failures = Vec::new();
    for seed in 0..seeds.unwrap_or(SEEDS) {
        let fleet = SimFleet::new(seed).run();
        let crashes = &fleet.deadly_crashes;
        let decisive = crashes.get(CRASHES_TO_KNOW - 1).or(crashes.last()).copied().unwrap_or(0);
        let later = fleet.deadly_runs.iter().filter(|at| **at > decisive + CONTACT_TICKS).count();
        let common = |is_counted: fn(bool) -> bool| {
            let afterwards =
                fleet.common_requests.iter().filter(|(at, _)| *at > decisive + CONTACT_TICKS * 2);
            afterwards.filter(|(_, is_refused)| is_counted(*is_refused)).count()
        };
        let (refused, all) = (common(|is_refused| is_refused), common(|_| true));
        if crashes.is_empty() || later > MAX_LATER_RUNS || refused * 2 > all {
            failures.push(format!(
                "seed {seed}: {} crashes, {later} later runs, {refused} of {all} sound requests refused",
                crashes.len()
            ));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
