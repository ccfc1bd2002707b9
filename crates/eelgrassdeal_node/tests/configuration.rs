//! An accepted configuration is in force everywhere within seconds and never reverts.

use std::time::{Duration, Instant};

use eelgrassdeal_testkit::{FleetSpec, TestCaller, TestFleet, chat_request, wait_until};

/// Bound from the acceptance of a change until it is in force on every node.
const IN_FORCE_BOUND: Duration = Duration::from_secs(5);

fn revisions(fleet: &TestFleet) -> Vec<u64> {
    fleet.nodes.iter().flatten().map(|node| node.revision()).collect()
}

/// Guards against a change that reaches only some nodes, and against a revision that falls.
#[compio::test]
async fn changes_are_in_force_everywhere_and_never_fall() {
    let fleet = TestFleet::start(FleetSpec::default()).await;
    let mut highest = vec![0; fleet.nodes.len()];
    for round in 0..6 {
        let accepted = Instant::now();
        let state = if round % 2 == 0 { "out" } else { "in" };
        let revision = fleet.set_centre(2, state).await;
        while revisions(&fleet).iter().any(|known| *known < revision) {
            for (known, highest) in revisions(&fleet).into_iter().zip(&mut highest) {
                assert!(known >= *highest, "a revision fell from {highest} to {known}");
                *highest = known;
            }
            assert!(accepted.elapsed() < IN_FORCE_BOUND, "revision {revision} is late");
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Guards against a node that starts with empty memory while the store is down and then serves
/// with a configuration that is too old.
#[compio::test]
async fn a_new_node_waits_for_the_store() {
    let mut fleet = TestFleet::start_serving(FleetSpec::default()).await;
    fleet.kill_node(0);
    fleet.table.faults().set_down(true);
    fleet.restart_node(0).await;
    compio::time::sleep(Duration::from_millis(1_500)).await;
    let caller = TestCaller::new(&fleet.node_addresses[..1]).with_deadline(Duration::from_secs(1));
    let refused = caller.chat_at(fleet.node_addresses[0], &chat_request("lot", 5)).await;
    let kind = refused.error.map(|error| error.body.kind);
    assert_eq!(kind.as_deref(), Some("not_ready"));
    fleet.table.faults().set_down(false);
    let is_back = wait_until(Duration::from_secs(10), async || {
        fleet.nodes[0].as_ref().is_some_and(|node| node.revision() > 0)
    })
    .await;
    assert!(is_back, "the node reads the configuration once the store is back");
}

/// Guards against an outage of the store, longer than every lease, that stops idempotent work.
#[compio::test]
async fn an_outage_of_the_store_does_not_stop_idempotent_work() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    fleet.table.faults().set_down(true);
    let started = Instant::now();
    let mut answers = 0;
    while started.elapsed() < Duration::from_secs(12) {
        let request = chat_request(&format!("lot {answers}"), 10);
        let outcome = caller.chat(&request).await;
        assert!(outcome.is_whole, "after {:?}: {outcome:?}", started.elapsed());
        answers += 1;
        compio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.table.faults().set_down(false);
    let revision = fleet.set_centre(1, "out").await;
    let is_in_force = wait_until(IN_FORCE_BOUND, async || {
        revisions(&fleet).iter().all(|known| *known >= revision)
    })
    .await;
    assert!(is_in_force, "changes are followed again after the outage");
}

/// Guards against a node that starts from a snapshot and lacks what came before or after it.
#[compio::test]
async fn a_new_node_starts_from_a_snapshot() {
    let mut fleet = TestFleet::start_serving(FleetSpec::default()).await;
    for round in 0..70 {
        let state = if round % 2 == 0 { "out" } else { "in" };
        fleet.set_centre(2, state).await;
    }
    let has_snapshot =
        wait_until(Duration::from_secs(20), async || !fleet.object.names().is_empty()).await;
    assert!(has_snapshot, "the planner writes a snapshot");
    let revision = fleet.set_centre(2, "in").await;
    fleet.kill_node(0);
    fleet.restart_node(0).await;
    let is_in_force = wait_until(Duration::from_secs(10), async || {
        fleet.nodes[0].as_ref().is_some_and(|node| node.revision() >= revision)
    })
    .await;
    assert!(is_in_force, "the node has every revision");
    let is_serving =
        wait_until(Duration::from_secs(20), async || fleet.serving_replicas(0).await >= 3).await;
    assert!(is_serving, "the node knows the groups");
}
