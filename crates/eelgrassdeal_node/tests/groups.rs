//! A group that lost a member gets no new requests, and no VM belongs to two groups.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassdeal_standins::EngineOptions;
use eelgrassdeal_testkit::{FleetSpec, TestCaller, TestFleet, chat_request, wait_until};

/// Longest allowed time from the loss of a member until no new request is sent to its group.
const LOSS_DETECTION_LIMIT: Duration = Duration::from_secs(2);

/// Checks in the newest configuration that no VM is in two groups and that all members of a group
/// are in its fabric domain.
async fn assert_groups_valid(fleet: &TestFleet) {
    let config = fleet.config().await;
    let mut groups_by_vm: BTreeMap<&str, &str> = BTreeMap::new();
    for group in config.groups() {
        for member in &group.members {
            let other = groups_by_vm.insert(member, &group.id);
            assert_eq!(other, None, "{member} is in two groups");
            let domain = config.vm(member).map(|vm| vm.fabric_domain.as_str());
            assert_eq!(domain, Some(group.fabric_domain.as_str()));
        }
    }
}

/// Guards against new requests to a group that lost a member, and against a group that is not
/// repaired although its fabric domain has spares.
#[compio::test]
async fn a_lost_member_stops_its_group_and_is_replaced() {
    // The leader does not check its members during the test, so only the probes of the replica's
    // owner can detect the loss.
    let engine = EngineOptions {
        member_check_interval: Duration::from_secs(600),
        ..EngineOptions::default()
    };
    let fleet = TestFleet::start_serving(FleetSpec { engine, ..FleetSpec::default() }).await;
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(Duration::from_secs(10));
    let config = fleet.config().await;
    let group = config.groups().next().cloned().expect("a group");
    let leader = fleet.engine(&group.members[0]).clone();
    fleet.engine(&group.members[1]).kill();
    let killed_at = Instant::now();
    let mut completed = 0;
    while killed_at.elapsed() < Duration::from_secs(8) {
        let outcome = caller.chat(&chat_request(&format!("lot {completed}"), 5)).await;
        assert!(outcome.is_complete, "{outcome:?}");
        completed += 1;
    }
    let late = leader
        .runs()
        .into_iter()
        .filter(|run| {
            run.generation == group.generation && run.received_at > killed_at + LOSS_DETECTION_LIMIT
        })
        .count();
    assert_eq!(late, 0, "new requests went to the group after the limit");
    let repaired_config = fleet.config().await;
    let repaired_group = repaired_config.group(&group.id).expect("the group still exists");
    assert!(repaired_group.generation > group.generation, "{repaired_group:?}");
    assert!(!repaired_group.members.contains(&group.members[1]));
    assert_eq!(repaired_group.members[0], group.members[0], "the remaining member lost its rank");
    assert_groups_valid(&fleet).await;
}

/// Guards against new requests to a group that lost a member, when there is no spare to replace it
/// and its leader does not detect the loss.
#[compio::test]
async fn a_group_that_lost_a_member_gets_no_new_requests() {
    let engine = EngineOptions {
        member_check_interval: Duration::from_secs(600),
        ..EngineOptions::default()
    };
    let spec = FleetSpec { engine, workers: 2, ..FleetSpec::default() };
    let fleet = TestFleet::start_serving(spec).await;
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(Duration::from_secs(10));
    let group = fleet.config().await.groups().next().cloned().expect("a group");
    let leader = fleet.engine(&group.members[0]).clone();
    let mut completed = 0;
    while leader.runs().len() < 3 {
        let outcome = caller.chat(&chat_request(&format!("lot {completed}"), 5)).await;
        assert!(outcome.is_complete && completed < 500, "{outcome:?}");
        completed += 1;
    }
    fleet.engine(&group.members[1]).kill();
    let killed_at = Instant::now();
    while killed_at.elapsed() < Duration::from_secs(5) {
        let outcome = caller.chat(&chat_request(&format!("lot {completed}"), 5)).await;
        assert!(outcome.is_complete, "{outcome:?}");
        completed += 1;
    }
    let late = leader
        .runs()
        .into_iter()
        .filter(|run| run.received_at > killed_at + LOSS_DETECTION_LIMIT)
        .count();
    assert_eq!(late, 0, "new requests went to the group after the limit");
}

/// Guards against a VM in two groups, which two active planners or the crash of a spare VM could
/// cause. The test crashes members of different groups one after the other. The engines ignore
/// fencing numbers, so they do not refuse outdated orders.
#[compio::test]
async fn successive_member_crashes_leave_no_vm_in_two_groups() {
    let engine = EngineOptions { enforces_fencing: false, ..EngineOptions::default() };
    let fleet =
        TestFleet::start_serving(FleetSpec { workers: 5, engine, ..FleetSpec::default() }).await;
    for round in 0..3 {
        let config = fleet.config().await;
        let group = config.groups().nth(round % 3).cloned().expect("a group");
        fleet.engine(&group.members[round % 2]).crash();
        compio::time::sleep(Duration::from_millis(700)).await;
        assert_groups_valid(&fleet).await;
    }
    let is_recovered = wait_until(Duration::from_secs(15), async || {
        let count = fleet.serving_replica_count(0).await;
        assert_groups_valid(&fleet).await;
        count >= 3
    })
    .await;
    assert!(is_recovered, "the groups do not all serve again");
}

/// Guards against failing requests in all fabric domains when every engine of one domain is lost.
#[compio::test]
async fn the_loss_of_a_domain_leaves_the_others_serving() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(Duration::from_secs(10));
    // Each data centre of the test fleet has one fabric domain, and the VM ids begin with the id of
    // the data centre.
    for (vm, engine) in &fleet.engines {
        if vm.starts_with("dc0") {
            engine.kill();
        }
    }
    for round in 0..40 {
        let outcome = caller.chat(&chat_request(&format!("lot {round}"), 10)).await;
        assert!(outcome.is_complete, "{outcome:?}");
    }
    assert_groups_valid(&fleet).await;
}
