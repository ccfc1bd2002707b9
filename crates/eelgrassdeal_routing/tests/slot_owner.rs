//! When a vote counts, and what an owner keeps for requests that it does not know.

#![allow(clippy::unwrap_used, reason = "a step that fails fails its test")]

use std::time::{Duration, Instant};

use eelgrassdeal_routing::{
    LoadReport, OwnerSettings, RampSettings, RampState, ReporterSet, SlotHolder, SlotOwner,
    SlotPolicy, StartChoice, StartedSlot,
};
use eelgrassdeal_schema::peer::{AllowanceBatch, SlotAllowance, SlotReport};
use eelgrassdeal_types::{NodeId, ReplicaId, StartId};

const STEP: Duration = Duration::from_millis(50);
const LIMIT: u32 = 8;
const LAG: Duration = Duration::from_millis(300);
const LONGEST_REQUEST: Duration = Duration::from_secs(10);

/// Four nodes; one owner that the test drives.
struct Bench {
    now: Instant,
    replica: ReplicaId,
    owner: SlotOwner,
    holders: Vec<(NodeId, SlotHolder)>,
    /// Requests running at the upstream in addition to those of the holders.
    foreign: u32,
}

impl Bench {
    fn new() -> Self {
        let now = Instant::now();
        let replica: ReplicaId = "g1".into();
        let ids: Vec<NodeId> = (0..4).map(|index| format!("n{index}").into()).collect();
        let settings = OwnerSettings {
            kv_tokens: 1_000,
            largest_request_kv: 1,
            load_lag: LAG,
            has_load_reports: true,
            longest_request: LONGEST_REQUEST,
        };
        let ramp = RampSettings {
            cold_slots: LIMIT,
            slots: LIMIT,
            step: Duration::from_secs(10),
            first_token_target: Duration::from_millis(500),
        };
        let mut owner = SlotOwner::new(replica.clone(), settings, RampState::new(ramp, now));
        owner.set_voters(ReporterSet::new(replica.clone(), &ids).voters(now));
        owner.set_serving(1, "127.0.0.1:1");
        let holders = ids.into_iter().map(|id| (id, SlotHolder::new(SlotPolicy::Owner))).collect();
        Self { now, replica, owner, holders, foreign: 0 }
    }

    fn report(&mut self, index: usize, owner: &str) -> Option<SlotReport> {
        let owners = [(self.replica.clone(), owner.into())].into();
        let batches = self.holders[index].1.build_reports(self.now, &owners);
        batches.into_iter().next().map(|(_, batch)| batch.report[0].clone())
    }

    fn deliver(&mut self, index: usize, report: &SlotReport) -> u32 {
        let (id, holder) = &mut self.holders[index];
        let answer = self.owner.answer(self.now, id, &StartId::from("s"), report);
        let slots = answer.slots;
        holder.apply_allowances(self.now, &"o".into(), &AllowanceBatch { allowance: vec![answer] });
        slots
    }

    fn probe(&mut self) {
        let own = self.holders.iter().map(|(_, holder)| holder.in_flight(&self.replica).0);
        let running = own.sum::<u32>() + self.foreign;
        let report = LoadReport { running, age: Duration::ZERO, probe_sent: self.now };
        self.owner.observe_load(self.now, report);
    }

    /// Lets the first `count` nodes report for `time` and returns the budget after each step.
    fn run(&mut self, count: usize, time: Duration) -> Vec<(Instant, u32)> {
        let end = self.now + time;
        let mut budgets = Vec::new();
        while self.now < end {
            self.now += STEP;
            self.probe();
            for index in 0..count {
                if let Some(report) = self.report(index, "o") {
                    self.deliver(index, &report);
                }
            }
            budgets.push((self.now, self.owner.budget(self.now).0));
        }
        budgets
    }

    fn budget(&self) -> u32 {
        self.owner.budget(self.now).0
    }

    fn start(&mut self, index: usize) -> StartedSlot {
        let candidates = [self.replica.clone()];
        let choice =
            StartChoice { candidates: &candidates, excluded: &[], kv_tokens: 1, affinity: None };
        self.holders[index].1.try_start(self.now, &choice).unwrap()
    }
}

/// Guards against a new owner that grants while allowances of the former one are in use, or that
/// takes a load report from before their end as free room.
#[test]
fn new_owner_waits_for_the_lifetime_and_the_lag() {
    let mut bench = Bench::new();
    let begin = bench.now + STEP;
    let budgets = bench.run(4, Duration::from_secs(3));
    let first = budgets.iter().find(|(_, budget)| *budget > 0).unwrap().0;
    let waited = first - begin;
    assert!(waited > Duration::from_secs(1) + LAG, "granted after {waited:?}");
    assert!(waited <= Duration::from_millis(2_000), "granted after {waited:?}");
    assert_eq!(bench.budget(), LIMIT);
}

/// Guards against counting a node at once that reported to another owner in between.
#[test]
fn returning_node_counts_after_the_lifetime() {
    let mut bench = Bench::new();
    bench.run(4, Duration::from_secs(3));
    // With a request in flight the owner still knows the node when it returns.
    let slot = bench.start(3);
    bench.run(3, Duration::from_millis(1_500));
    bench.report(3, "other").unwrap();
    bench.run(3, Duration::from_millis(1_000));
    let back = bench.now;
    let budgets = bench.run(4, Duration::from_secs(3));
    let early = Duration::from_secs(1) + LAG;
    let within = budgets.iter().filter(|(at, _)| *at - back <= early);
    assert!(within.clone().count() > 20 && within.clone().all(|(_, budget)| *budget == 6));
    assert_eq!(bench.budget(), LIMIT);
    bench.holders[3].1.finish(slot);
}

/// Guards against a vote by a report that was on its way for longer than its lifetime.
#[test]
fn late_report_is_no_vote() {
    let mut bench = Bench::new();
    bench.run(4, Duration::from_secs(3));
    bench.run(3, Duration::from_millis(500));
    let report = bench.report(3, "o").unwrap();
    bench.run(3, Duration::from_secs(2));
    assert_eq!(bench.budget(), 6);
    assert_eq!(bench.deliver(3, &report), 0);
    assert_eq!(bench.budget(), 6);
}

/// Guards against the room of unknown requests being given away twice.
#[test]
fn unknown_requests_are_reserved() {
    for (reporters, foreign, expected) in [(1, 0, 2), (1, 2, 0), (3, 0, 6), (3, 2, 6), (3, 4, 4)] {
        let mut bench = Bench::new();
        bench.foreign = foreign;
        bench.run(reporters, Duration::from_secs(3));
        assert_eq!(bench.budget(), expected, "{reporters} reporters, {foreign} unknown");
    }
}

/// Guards against forgetting requests of former members as soon as all present ones report.
#[test]
fn unknown_requests_are_forgotten_after_the_longest_request() {
    let mut bench = Bench::new();
    bench.foreign = 3;
    bench.run(4, Duration::from_secs(4));
    assert_eq!(bench.budget(), LIMIT - 3);
    bench.run(4, LONGEST_REQUEST);
    assert_eq!(bench.budget(), LIMIT);
}

/// Guards against taking unknown requests for those of a node that ran none at that moment.
#[test]
fn load_is_compared_with_the_lowest_count() {
    let mut bench = Bench::new();
    bench.run(4, Duration::from_secs(3));
    // The fourth node is silent and comes back, so that the next load report is taken as it is.
    bench.run(3, Duration::from_millis(1_500));
    bench.report(3, "other").unwrap();
    bench.run(3, Duration::from_millis(1_000));
    bench.foreign = 1;
    for _ in 0..60 {
        // Node 0 runs a request except at the moments at which the load is taken.
        let slot = bench.start(0);
        bench.now += STEP;
        for index in 0..4 {
            if let Some(report) = bench.report(index, "o") {
                bench.deliver(index, &report);
            }
        }
        bench.holders[0].1.finish(slot);
        bench.probe();
    }
    assert_eq!(bench.budget(), LIMIT - 1);
}

/// Guards against an allowance that is used after its lapse at the owner.
#[test]
fn lifetime_counts_from_the_report() {
    let mut bench = Bench::new();
    bench.run(4, Duration::from_secs(3));
    bench.now += Duration::from_millis(400);
    let sent = bench.now;
    let report = bench.report(0, "o").unwrap();
    let answer = SlotAllowance {
        replica: bench.replica.to_string(),
        slots: 5,
        kv_tokens: 5,
        lifetime_ms: 1_000,
        sequence: report.sequence,
        ..SlotAllowance::default()
    };
    let answers = AllowanceBatch { allowance: vec![answer] };
    let received = sent + Duration::from_millis(900);
    bench.holders[0].1.apply_allowances(received, &"o".into(), &answers);
    let holder = &bench.holders[0].1;
    assert!(holder.remaining(sent + Duration::from_millis(999), &bench.replica).0 > 0);
    assert_eq!(holder.remaining(sent + Duration::from_secs(1), &bench.replica).0, 0);
}

/// Guards against one node that counts at two owners.
#[test]
fn owner_changes_only_after_the_lapse() {
    let mut bench = Bench::new();
    let sent = bench.now;
    let first = bench.report(0, "o").unwrap();
    bench.now = sent + Duration::from_millis(999);
    assert!(bench.report(0, "other").is_none());
    bench.now = sent + Duration::from_secs(1);
    let second = bench.report(0, "other").unwrap();
    assert_eq!((second.epoch, second.answered), (first.epoch + 1, 0));
    assert!(second.active_from > first.sequence);
}

/// Guards against a fall to the cold limit with each change of the owner, and against the limit
/// of an upstream that restarted meanwhile.
#[test]
fn limit_passes_to_the_next_owner() {
    for (start, expected) in [("u1", LIMIT), ("u2", 2)] {
        let mut bench = Bench::new();
        bench.owner.ramp_mut().observe_start(bench.now, &"u1".into());
        bench.run(4, Duration::from_secs(3));
        let settings = RampSettings { cold_slots: 2, ..bench.owner.ramp().settings() };
        let mut ramp = RampState::new(settings, bench.now);
        ramp.observe_start(bench.now, &start.into());
        let (now, s) = (bench.now + Duration::from_secs(1), StartId::from("s"));
        let mut next = SlotOwner::new(bench.replica.clone(), bench.owner.settings(), ramp);
        bench.now = now;
        let report = bench.report(0, "next").unwrap();
        next.answer(now, &"n0".into(), &s, &report);
        assert_eq!(next.ramp().limit(), expected, "start {start}");
    }
}

/// Guards against a new owner of a plain service, which reports no load, that grants while
/// requests of the former owner's time still run.
#[test]
fn without_load_reports_the_longest_request_is_awaited() {
    let mut bench = Bench::new();
    bench.owner.set_settings(OwnerSettings { has_load_reports: false, ..bench.owner.settings() });
    let begin = bench.now + STEP;
    let budgets = bench.run(4, LONGEST_REQUEST + Duration::from_secs(2));
    let first = budgets.iter().find(|(_, budget)| *budget > 0).unwrap().0;
    assert!(first - begin > LONGEST_REQUEST + Duration::from_secs(1), "{:?}", first - begin);
    assert_eq!(bench.budget(), LIMIT);
}
