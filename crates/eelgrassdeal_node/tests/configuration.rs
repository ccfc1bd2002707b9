//! An accepted configuration takes effect on every node within seconds and is never reverted.

use std::time::{Duration, Instant};

use eelgrassdeal_testkit::{FleetSpec, TestCaller, TestFleet, chat_request, wait_until};

/// Longest allowed time from the acceptance of a change until it is in force on every node.
const CONFIG_PROPAGATION_LIMIT: Duration = Duration::from_secs(5);

/// Revision of the configuration in force on each running node.
fn revisions(fleet: &TestFleet) -> Vec<u64> {
    fleet.node_threads.iter().flatten().map(|node| node.revision()).collect()
}

/// Guards against a change that does not reach every node, and against a node that goes back to an
/// older revision.
#[compio::test]
async fn changes_reach_every_node_and_revisions_never_decrease() {
    let fleet = TestFleet::start(FleetSpec::default()).await;
    let mut highest = vec![0; fleet.node_threads.len()];
    for round in 0..6 {
        let accepted = Instant::now();
        let state = if round % 2 == 0 { "out" } else { "in" };
        let revision = fleet.set_centre_state(2, state).await;
        while revisions(&fleet).iter().any(|current| *current < revision) {
            for (current, highest) in revisions(&fleet).into_iter().zip(&mut highest) {
                assert!(current >= *highest, "a revision decreased from {highest} to {current}");
                *highest = current;
            }
            assert!(
                accepted.elapsed() < CONFIG_PROPAGATION_LIMIT,
                "revision {revision} is not in force everywhere in time"
            );
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Guards against a node that starts while the table service is down and serves requests without a
/// current configuration.
#[compio::test]
async fn a_restarted_node_waits_for_the_table_service() {
    let mut fleet = TestFleet::start_serving(FleetSpec::default()).await;
    fleet.kill_node(0);
    fleet.table.faults().set_down(true);
    fleet.restart_node(0).await;
    compio::time::sleep(Duration::from_millis(1_500)).await;
    let caller = TestCaller::new(&fleet.node_addresses[..1]).with_timeout(Duration::from_secs(1));
    let refused = caller.chat_without_retry(fleet.node_addresses[0], &chat_request("lot", 5)).await;
    let kind = refused.error.map(|error| error.body.kind);
    assert_eq!(kind.as_deref(), Some("not_ready"));
    fleet.table.faults().set_down(false);
    let is_ready = wait_until(Duration::from_secs(10), async || {
        fleet.node_threads[0].as_ref().is_some_and(|node| node.revision() > 0)
    })
    .await;
    assert!(is_ready, "the node did not read the configuration after the outage");
}

/// Guards against refusing idempotent requests while the table service is down for longer than every
/// lease.
#[compio::test]
async fn idempotent_requests_are_served_during_an_outage_of_the_table_service() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    fleet.table.faults().set_down(true);
    let started = Instant::now();
    let mut completed = 0;
    while started.elapsed() < Duration::from_secs(12) {
        let request = chat_request(&format!("lot {completed}"), 10);
        let outcome = caller.chat(&request).await;
        assert!(outcome.is_complete, "after {:?}: {outcome:?}", started.elapsed());
        completed += 1;
        compio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.table.faults().set_down(false);
    let revision = fleet.set_centre_state(1, "out").await;
    let is_in_force = wait_until(CONFIG_PROPAGATION_LIMIT, async || {
        revisions(&fleet).iter().all(|current| *current >= revision)
    })
    .await;
    assert!(is_in_force, "a change after the outage is not in force everywhere");
}

/// Guards against a node that starts from a snapshot and lacks changes from before or after it.
#[compio::test]
async fn a_restarted_node_starts_from_a_snapshot() {
    let mut fleet = TestFleet::start_serving(FleetSpec::default()).await;
    // The planner writes a snapshot after 64 revisions.
    for round in 0..70 {
        let state = if round % 2 == 0 { "out" } else { "in" };
        fleet.set_centre_state(2, state).await;
    }
    let has_snapshot =
        wait_until(Duration::from_secs(20), async || !fleet.object.names().is_empty()).await;
    assert!(has_snapshot, "the planner wrote no snapshot");
    let revision = fleet.set_centre_state(2, "in").await;
    fleet.kill_node(0);
    fleet.restart_node(0).await;
    let is_in_force = wait_until(Duration::from_secs(10), async || {
        fleet.node_threads[0].as_ref().is_some_and(|node| node.revision() >= revision)
    })
    .await;
    assert!(is_in_force, "the node lacks revisions");
    let is_serving =
        wait_until(Duration::from_secs(20), async || fleet.serving_replica_count(0).await >= 3)
            .await;
    assert!(is_serving, "the node does not serve from all groups");
}
