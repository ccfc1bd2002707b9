//! Tests of the entries that mark absent nodes and lost workers.

mod fixture;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_control::{HeartbeatTracker, plan_absent_nodes, plan_loss_removals};
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{AbsentNode, Vm};
use fixture::PlanFixture;

/// A fleet with the entry nodes `n1` and `n2`.
fn fixture_with_entry_nodes() -> PlanFixture {
    let mut fixture = PlanFixture::new(&[("a", "a1", 2)]);
    for id in ["n1", "n2"] {
        let (id, role) = (id.to_owned(), "entry".to_owned());
        fixture.write(Body::Vm(Vm { id, role, ..Vm::default() }));
    }
    fixture
}

fn rows(versions: &[(&str, u64)]) -> BTreeMap<Arc<str>, u64> {
    versions.iter().map(|(node, version)| (Arc::from(*node), *version)).collect()
}

/// Guards against nodes that are marked again while they are marked, that stay marked after their
/// heartbeats resume, or that stay marked after they were removed from the register.
#[test]
fn an_expired_heartbeat_marks_the_node_once() {
    let mut fixture = fixture_with_entry_nodes();
    let ages = |first: u64, second: u64| -> BTreeMap<Arc<str>, Duration> {
        [("n1", first), ("n2", second), ("w", 99)]
            .map(|(node, age)| (Arc::from(node), Duration::from_secs(age)))
            .into()
    };
    assert!(plan_absent_nodes(&fixture.fleet, &ages(29, 3)).is_empty());
    let plan = plan_absent_nodes(&fixture.fleet, &ages(30, 3));
    assert_eq!((plan.upsert.len(), plan.remove.len()), (1, 0));
    fixture.write(Body::AbsentNode(AbsentNode { id: "n1".to_owned() }));
    assert!(plan_absent_nodes(&fixture.fleet, &ages(31, 3)).is_empty());
    assert!(plan_absent_nodes(&fixture.fleet, &BTreeMap::new()).is_empty());
    assert_eq!(plan_absent_nodes(&fixture.fleet, &ages(2, 3)).remove.len(), 1);
    fixture.remove("vm", "n1");
    assert_eq!(plan_absent_nodes(&fixture.fleet, &BTreeMap::new()).remove.len(), 1);
}

/// Guards against marking all nodes absent after an outage of the store, and against unmarking a
/// failed node because a new planner reads its row for the first time.
#[test]
fn time_without_reads_does_not_count() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut tracker = HeartbeatTracker::new();
    assert!(tracker.observe(&rows(&[("n1", 1), ("n2", 1)]), at(0)).is_empty());
    let ages = tracker.observe(&rows(&[("n1", 1), ("n2", 2)]), at(8));
    assert_eq!(ages, BTreeMap::from([("n2".into(), Duration::ZERO)]));
    let ages = tracker.observe(&rows(&[("n1", 1), ("n2", 2)]), at(3600));
    assert!(ages.is_empty(), "the store was down");
    for seconds in (3605..3630).step_by(5) {
        tracker.observe(&rows(&[("n1", 1), ("n2", seconds)]), at(seconds));
    }
    let ages = tracker.observe(&rows(&[("n1", 1), ("n2", 3630)]), at(3630));
    assert_eq!(ages.get("n1"), Some(&Duration::from_secs(30)));
    assert_eq!(ages.get("n2"), Some(&Duration::ZERO));
}

/// Guards against a worker that counts as recovered after a single answer, and against entries
/// that remain although their VM is not in the register.
#[test]
fn a_loss_is_removed_after_ten_seconds_of_answers() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 2)]);
    fixture.mark_lost("a1-w1");
    fixture.mark_lost("gone");
    let answering_times =
        |seconds| BTreeMap::from([(Arc::from("a1-w1"), Duration::from_secs(seconds))]);
    let removed = |seconds| -> Vec<String> {
        let plan = plan_loss_removals(&fixture.fleet, &answering_times(seconds));
        plan.remove.into_iter().map(|key| key.id).collect()
    };
    assert_eq!(removed(9), ["gone"]);
    assert_eq!(removed(10), ["a1-w1", "gone"]);
}
