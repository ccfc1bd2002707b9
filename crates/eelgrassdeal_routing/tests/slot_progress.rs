//! Nodes with waiting requests promptly get their share of the limit.

mod common;

use std::time::Duration;

use common::Fleet;
use eelgrassdeal_routing::SlotDemand;
use eelgrassdeal_schema::peer::{AllowanceBatch, RevokeNotice};

const SETTLED: Duration = Duration::from_secs(6);
const REQUEST: (u64, Duration) = (100, Duration::from_secs(1));

fn settled_fleet(slots: u32) -> Fleet {
    let mut fleet = Fleet::new(7, 7, 7, slots, 100_000);
    fleet.run_for(SETTLED, |_| {});
    fleet
}

/// Sets the number of waiting requests at each of `nodes` to `count`.
fn keep_waiting(fleet: &mut Fleet, nodes: &[usize], count: usize) {
    for &index in nodes {
        fleet.nodes[index].waiting.resize(count, REQUEST);
    }
}

/// Guards against dividing the limit equally, so that the parts of idle nodes stay unused.
#[test]
fn single_node_gets_nearly_the_whole_limit() {
    let mut fleet = settled_fleet(64);
    fleet.run_for(Duration::from_secs(5), |fleet| keep_waiting(fleet, &[3], 100));
    let (in_flight, _) = fleet.nodes[3].holder.in_flight(&fleet.replica);
    // Allows 6 of the 64 slots to be unused; the other six nodes are idle.
    assert!(in_flight >= 64 - 6, "{in_flight} of 64");
}

/// Guards against one node with many waiting requests that leaves no slots to another node.
#[test]
fn second_node_gets_its_half() {
    let mut fleet = settled_fleet(16);
    fleet.run_for(Duration::from_secs(5), |fleet| keep_waiting(fleet, &[3], 100));
    let before = fleet.started[5];
    fleet.run_for(Duration::from_secs(2), |fleet| keep_waiting(fleet, &[3, 5], 100));
    assert!(fleet.started[5] > before, "nothing started in 2 s");
    fleet.run_for(Duration::from_secs(5), |fleet| keep_waiting(fleet, &[3, 5], 100));
    let (in_flight, _) = fleet.nodes[5].holder.in_flight(&fleet.replica);
    assert!((6..=8).contains(&in_flight), "{in_flight} of 16");
}

/// Guards against granting a limit of 2 always to the same two of seven nodes.
#[test]
fn small_limit_rotates_among_the_nodes() {
    let mut fleet = settled_fleet(2);
    let all: Vec<usize> = (0..7).collect();
    fleet.run_for(Duration::from_secs(60), |fleet| keep_waiting(fleet, &all, 5));
    let least = fleet.started.iter().min().copied().unwrap_or(0);
    let total: u32 = fleet.started.iter().sum();
    // Each of the 7 nodes starts at least half of an equal share, that is, 1/14 of the total.
    assert!(least * 14 >= total, "started by node: {:?}", fleet.started);
    // With two concurrent requests of 1 s each, at most 120 can start in 60 s.
    assert!(total >= 60, "{total} started in 60 s");
}

/// Guards against the first request at an idle node having to wait for a report and its answer.
#[test]
fn idle_nodes_hold_a_standing_allowance() {
    let fleet = settled_fleet(64);
    for node in &fleet.nodes {
        let (slots, kv_tokens) = node.holder.remaining(fleet.now, &fleet.replica);
        assert!(slots >= 1 && kv_tokens >= 1_000, "{}: {slots}, {kv_tokens}", node.id);
    }
}

/// Guards against the first request at an idle node having to wait for the next regular report,
/// at a limit that is too small for standing allowances.
#[test]
fn first_request_at_a_small_limit_starts_within_160_ms() {
    let mut fleet = settled_fleet(2);
    for index in 0..7 {
        let before = fleet.started[index];
        fleet.nodes[index].waiting.push(REQUEST);
        // The urgent report is sent within 60 ms (an interval of 50 ms in ticks of 20 ms), and the
        // report and its answer take one tick each. The remaining 60 ms are a reserve.
        fleet.run_for(Duration::from_millis(160), |_| {});
        assert_eq!(fleet.started[index], before + 1, "node {index}");
        fleet.run_for(Duration::from_secs(3), |_| {});
    }
}

/// Guards against a replica that remains without an owner after the owner failed, and against slots
/// of the failed node that remain reserved forever.
#[test]
fn failed_owner_is_replaced_within_five_seconds() {
    let mut fleet = settled_fleet(16);
    let failed = fleet.first_owner();
    let others: Vec<usize> = (0..7).filter(|index| *index != failed).collect();
    fleet.run_for(Duration::from_secs(3), |fleet| keep_waiting(fleet, &others, 5));
    fleet.pause(failed, Duration::from_secs(1_000));
    // The last allowance of the failed owner expires after 1 s. Later starts require an allowance
    // of the new owner.
    fleet.run_for(Duration::from_millis(1_100), |fleet| keep_waiting(fleet, &others, 5));
    let before: u32 = fleet.started.iter().sum();
    fleet.run_for(Duration::from_millis(3_900), |fleet| keep_waiting(fleet, &others, 5));
    let after: u32 = fleet.started.iter().sum();
    assert!(after > before, "nothing started within 5 s after the owner failed");
    fleet.run_for(Duration::from_secs(20), |fleet| keep_waiting(fleet, &others, 5));
    // The share of six of seven reporters in a limit of 16 is 14, rounded up. The bound of 12
    // tolerates that 2 of these slots are unused.
    assert!(fleet.in_flight().0 >= 12, "{} in flight", fleet.in_flight().0);
}

/// Guards against starting requests after a revocation, in case the answer to an earlier report
/// arrives after it.
#[test]
fn revocation_outlasts_an_older_answer() {
    let mut fleet = settled_fleet(64);
    let replica = fleet.replica.clone();
    let (owner, now) = (fleet.first_owner(), fleet.now);
    let owner_id = fleet.nodes[owner].id.clone();
    let notice = RevokeNotice { replica: replica.to_string(), ..RevokeNotice::default() };
    let holder = &mut fleet.nodes[(owner + 1) % 7].holder;
    holder.set_demand(&replica, SlotDemand { requests: 9, kv_tokens: 900, largest_kv: 100 });
    let owners = [(replica.clone(), owner_id.clone())].into();
    let later = now + Duration::from_millis(500);
    let (_, batch) = holder.build_reports(later, &owners).remove(0);
    holder.apply_revoke(&owner_id, &notice);
    let answer = eelgrassdeal_schema::peer::SlotAllowance {
        replica: replica.to_string(),
        slots: 9,
        kv_tokens: 900,
        lifetime_ms: 1_000,
        sequence: batch.report[0].sequence,
        ..Default::default()
    };
    let answers = AllowanceBatch { allowance: vec![answer] };
    holder.apply_allowances(later, &owner_id, &answers);
    assert_eq!(holder.remaining(later, &replica), (0, 0));
}
