//! When votes count, and what an owner reserves for requests that it cannot attribute to a node.

#![allow(clippy::unwrap_used, reason = "a failed step fails its test")]

use std::time::{Duration, Instant};

use eelgrassdeal_routing::{
    LoadReport, OwnerSettings, RampSettings, RampState, ReporterSet, SlotHolder, SlotOwner,
    SlotPolicy, StartConstraints, StartedSlot,
};
use eelgrassdeal_schema::peer::{AllowanceBatch, SlotAllowance, SlotReport};
use eelgrassdeal_types::{NodeId, ReplicaId, StartId};

const STEP: Duration = Duration::from_millis(50);
const LIMIT: u32 = 8;
const LAG: Duration = Duration::from_millis(300);
const LONGEST_REQUEST: Duration = Duration::from_secs(10);

/// Four nodes that report to one owner, with messages delivered by the test.
struct OwnerFixture {
    now: Instant,
    replica: ReplicaId,
    owner: SlotOwner,
    holders: Vec<(NodeId, SlotHolder)>,
    /// Requests running at the upstream that are not from `holders`.
    unattributed: u32,
}

impl OwnerFixture {
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
        owner.start_granting(1, "127.0.0.1:1");
        let holders = ids.into_iter().map(|id| (id, SlotHolder::new(SlotPolicy::Owner))).collect();
        Self { now, replica, owner, holders, unattributed: 0 }
    }

    fn report(&mut self, index: usize, owner: &str) -> Option<SlotReport> {
        let owners = [(self.replica.clone(), owner.into())].into();
        let batches = self.holders[index].1.build_reports(self.now, &owners);
        batches.into_iter().next().map(|(_, batch)| batch.report[0].clone())
    }

    fn deliver(&mut self, index: usize, report: &SlotReport) -> u32 {
        let (id, holder) = &mut self.holders[index];
        let answer = self.owner.handle_report(self.now, id, &StartId::from("s"), report);
        let slots = answer.slots;
        holder.apply_allowances(self.now, &"o".into(), &AllowanceBatch { allowance: vec![answer] });
        slots
    }

    fn probe(&mut self) {
        let own = self.holders.iter().map(|(_, holder)| holder.in_flight(&self.replica).0);
        let load = own.sum::<u32>() + self.unattributed;
        let report = LoadReport { load, age: Duration::ZERO, probe_sent: self.now };
        self.owner.observe_load(self.now, report);
    }

    /// Lets the first `count` nodes send reports for `time` and returns the budget after each step.
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
        let constraints = StartConstraints {
            candidates: &candidates,
            excluded: &[],
            kv_tokens: 1,
            affinity: None,
        };
        self.holders[index].1.try_start(self.now, &constraints).unwrap()
    }
}

/// Guards against a new owner that grants allowances while those of the previous owner may be in
/// use, or that infers free slots from a load measured before those allowances expired.
#[test]
fn new_owner_waits_for_the_lifetime_and_the_lag() {
    let mut fixture = OwnerFixture::new();
    let begin = fixture.now + STEP;
    let budgets = fixture.run(4, Duration::from_secs(3));
    let first = budgets.iter().find(|(_, budget)| *budget > 0).unwrap().0;
    let waited = first - begin;
    assert!(waited > Duration::from_secs(1) + LAG, "granted after {waited:?}");
    assert!(waited <= Duration::from_millis(2_000), "granted after {waited:?}");
    assert_eq!(fixture.budget(), LIMIT);
}

/// Guards against counting the vote of a returning node at once, although it reported to another
/// owner in the meantime.
#[test]
fn returning_node_counts_after_the_lifetime() {
    let mut fixture = OwnerFixture::new();
    fixture.run(4, Duration::from_secs(3));
    // The owner keeps its record of a node with an expired vote while a request is in flight there.
    let slot = fixture.start(3);
    fixture.run(3, Duration::from_millis(1_500));
    fixture.report(3, "other").unwrap();
    fixture.run(3, Duration::from_millis(1_000));
    let back = fixture.now;
    let budgets = fixture.run(4, Duration::from_secs(3));
    let early = Duration::from_secs(1) + LAG;
    let within = budgets.iter().filter(|(at, _)| *at - back <= early);
    assert!(within.clone().count() > 20 && within.clone().all(|(_, budget)| *budget == 6));
    assert_eq!(fixture.budget(), LIMIT);
    fixture.holders[3].1.finish(slot);
}

/// Guards against counting the vote of a report that arrives only after the vote has expired.
#[test]
fn late_report_is_no_vote() {
    let mut fixture = OwnerFixture::new();
    fixture.run(4, Duration::from_secs(3));
    fixture.run(3, Duration::from_millis(500));
    let report = fixture.report(3, "o").unwrap();
    fixture.run(3, Duration::from_secs(2));
    assert_eq!(fixture.budget(), 6);
    assert_eq!(fixture.deliver(3, &report), 0);
    assert_eq!(fixture.budget(), 6);
}

/// Guards against granting slots that unattributed requests occupy.
#[test]
fn unattributed_requests_are_reserved() {
    // Of a limit of 8 and 4 voters, the share of 1 reporter is 2 and that of 3 is 6. Without a
    // majority, the unattributed requests are deducted from the share. With a majority, they take
    // up the other 2 slots first.
    for (reporters, unattributed, expected) in
        [(1, 0, 2), (1, 2, 0), (3, 0, 6), (3, 2, 6), (3, 4, 4)]
    {
        let mut fixture = OwnerFixture::new();
        fixture.unattributed = unattributed;
        fixture.run(reporters, Duration::from_secs(3));
        assert_eq!(
            fixture.budget(),
            expected,
            "{reporters} reporters, {unattributed} unattributed"
        );
    }
}

/// Guards against ignoring the requests of previous members as soon as all present members report.
#[test]
fn unattributed_requests_are_cleared_after_the_longest_request() {
    let mut fixture = OwnerFixture::new();
    fixture.unattributed = 3;
    fixture.run(4, Duration::from_secs(4));
    assert_eq!(fixture.budget(), LIMIT - 3);
    fixture.run(4, LONGEST_REQUEST);
    assert_eq!(fixture.budget(), LIMIT);
}

/// Guards against attributing a request to a node that had none in flight when the load was
/// measured.
#[test]
fn load_is_compared_with_the_minimum_in_flight() {
    let mut fixture = OwnerFixture::new();
    fixture.run(4, Duration::from_secs(3));
    // The fourth node stops reporting and returns, so that its vote begins to count anew and the
    // next load report can raise the number of unattributed requests.
    fixture.run(3, Duration::from_millis(1_500));
    fixture.report(3, "other").unwrap();
    fixture.run(3, Duration::from_millis(1_000));
    fixture.unattributed = 1;
    for _ in 0..60 {
        // Node 0 runs a request at all times except when the load is measured.
        let slot = fixture.start(0);
        fixture.now += STEP;
        for index in 0..4 {
            if let Some(report) = fixture.report(index, "o") {
                fixture.deliver(index, &report);
            }
        }
        fixture.holders[0].1.finish(slot);
        fixture.probe();
    }
    assert_eq!(fixture.budget(), LIMIT - 1);
}

/// Guards against counting the lifetime of an allowance from the arrival of the answer: the node
/// would use the allowance after it has expired at the owner.
#[test]
fn allowance_lifetime_starts_at_the_report() {
    let mut fixture = OwnerFixture::new();
    fixture.run(4, Duration::from_secs(3));
    fixture.now += Duration::from_millis(400);
    let sent = fixture.now;
    let report = fixture.report(0, "o").unwrap();
    let answer = SlotAllowance {
        replica: fixture.replica.to_string(),
        slots: 5,
        kv_tokens: 5,
        lifetime_ms: 1_000,
        sequence: report.sequence,
        ..SlotAllowance::default()
    };
    let answers = AllowanceBatch { allowance: vec![answer] };
    let received = sent + Duration::from_millis(900);
    fixture.holders[0].1.apply_allowances(received, &"o".into(), &answers);
    let holder = &fixture.holders[0].1;
    assert!(holder.remaining(sent + Duration::from_millis(999), &fixture.replica).0 > 0);
    assert_eq!(holder.remaining(sent + Duration::from_secs(1), &fixture.replica).0, 0);
}

/// Guards against a node whose vote counts at two owners at once.
#[test]
fn owner_changes_only_after_expiry() {
    let mut fixture = OwnerFixture::new();
    let sent = fixture.now;
    let first = fixture.report(0, "o").unwrap();
    fixture.now = sent + Duration::from_millis(999);
    assert!(fixture.report(0, "other").is_none());
    fixture.now = sent + Duration::from_secs(1);
    let second = fixture.report(0, "other").unwrap();
    assert_eq!((second.epoch, second.answered), (first.epoch + 1, 0));
    assert!(second.active_from > first.sequence);
}

/// Guards against returning to the cold limit at each change of the owner, and against inheriting
/// the limit although the upstream restarted in the meantime.
#[test]
fn limit_passes_to_the_next_owner() {
    for (start, expected) in [("u1", LIMIT), ("u2", 2)] {
        let mut fixture = OwnerFixture::new();
        fixture.owner.ramp_mut().observe_start(fixture.now, &"u1".into());
        fixture.run(4, Duration::from_secs(3));
        let settings = RampSettings { cold_slots: 2, ..fixture.owner.ramp().settings() };
        let mut ramp = RampState::new(settings, fixture.now);
        ramp.observe_start(fixture.now, &start.into());
        let (now, s) = (fixture.now + Duration::from_secs(1), StartId::from("s"));
        let mut next = SlotOwner::new(fixture.replica.clone(), fixture.owner.settings(), ramp);
        fixture.now = now;
        let report = fixture.report(0, "next").unwrap();
        next.handle_report(now, &"n0".into(), &s, &report);
        assert_eq!(next.ramp().limit(), expected, "start {start}");
    }
}

/// Guards against a new owner of an upstream without load reports that grants allowances while
/// requests granted by the previous owner still run.
#[test]
fn without_load_reports_owner_waits_for_the_longest_request() {
    let mut fixture = OwnerFixture::new();
    fixture
        .owner
        .set_settings(OwnerSettings { has_load_reports: false, ..fixture.owner.settings() });
    let begin = fixture.now + STEP;
    let budgets = fixture.run(4, LONGEST_REQUEST + Duration::from_secs(2));
    let first = budgets.iter().find(|(_, budget)| *budget > 0).unwrap().0;
    assert!(first - begin > LONGEST_REQUEST + Duration::from_secs(1), "{:?}", first - begin);
    assert_eq!(fixture.budget(), LIMIT);
}
