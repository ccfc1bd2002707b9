//! No group serves while missing a member, and no VM belongs to two groups.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassdeal_standins::EngineOptions;
use eelgrassdeal_testkit::{FleetSpec, TestCaller, TestFleet, chat_request, wait_until};

/// From the loss of a member until no new work goes to its group.
const STOP_BOUND: Duration = Duration::from_secs(2);

/// Checks every revision of the log: no VM in two groups, all members in one fabric domain.
async fn check_groups(fleet: &TestFleet) {
    let config = fleet.config().await;
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for group in config.groups() {
        for member in &group.members {
            let other = owners.insert(member, &group.id);
            assert_eq!(other, None, "{member} is in two groups");
            let domain = config.vm(member).map(|vm| vm.fabric_domain.as_str());
            assert_eq!(domain, Some(group.fabric_domain.as_str()));
        }
    }
}

/// Guards against new work for a group that lost a member, and against a group that is not
/// repaired although the domain has spares.
#[compio::test]
async fn a_lost_member_stops_its_group_and_is_replaced() {
    // The leader itself does not notice the loss; only the probes of the owner do.
    let engine =
        EngineOptions { member_check: Duration::from_secs(600), ..EngineOptions::default() };
    let fleet = TestFleet::start_serving(FleetSpec { engine, ..FleetSpec::default() }).await;
    let caller = TestCaller::new(&fleet.node_addresses).with_deadline(Duration::from_secs(10));
    let config = fleet.config().await;
    let group = config.groups().next().cloned().expect("a group");
    let leader = fleet.engine(&group.members[0]).clone();
    fleet.engine(&group.members[1]).kill();
    let killed = Instant::now();
    let mut answers = 0;
    while killed.elapsed() < Duration::from_secs(8) {
        let outcome = caller.chat(&chat_request(&format!("lot {answers}"), 5)).await;
        assert!(outcome.is_whole, "{outcome:?}");
        answers += 1;
    }
    let late = leader
        .runs()
        .into_iter()
        .filter(|run| run.generation == group.generation && run.at > killed + STOP_BOUND)
        .count();
    assert_eq!(late, 0, "new work went to the group after the bound");
    let repaired = fleet.config().await;
    let next = repaired.group(&group.id).expect("the group is kept");
    assert!(next.generation > group.generation, "{next:?}");
    assert!(!next.members.contains(&group.members[1]));
    assert_eq!(next.members[0], group.members[0], "survivors keep their rank");
    check_groups(&fleet).await;
}

/// Guards against new work for a group that lost a member, when no spare is left to replace it and
/// its leader does not notice the loss.
#[compio::test]
async fn a_group_without_a_member_gets_no_new_work() {
    let engine =
        EngineOptions { member_check: Duration::from_secs(600), ..EngineOptions::default() };
    let spec = FleetSpec { engine, workers: 2, ..FleetSpec::default() };
    let fleet = TestFleet::start_serving(spec).await;
    let caller = TestCaller::new(&fleet.node_addresses).with_deadline(Duration::from_secs(10));
    let group = fleet.config().await.groups().next().cloned().expect("a group");
    let leader = fleet.engine(&group.members[0]).clone();
    let mut answers = 0;
    while leader.runs().len() < 3 {
        let outcome = caller.chat(&chat_request(&format!("lot {answers}"), 5)).await;
        assert!(outcome.is_whole && answers < 500, "{outcome:?}");
        answers += 1;
    }
    fleet.engine(&group.members[1]).kill();
    let killed = Instant::now();
    while killed.elapsed() < Duration::from_secs(5) {
        let outcome = caller.chat(&chat_request(&format!("lot {answers}"), 5)).await;
        assert!(outcome.is_whole, "{outcome:?}");
        answers += 1;
    }
    let late = leader.runs().into_iter().filter(|run| run.at > killed + STOP_BOUND).count();
    assert_eq!(late, 0, "new work went to the group after the bound");
}

/// Guards against two planners, spare VMs that die, and engines that ignore fencing numbers.
#[compio::test]
async fn members_that_die_one_after_the_other_leave_no_vm_in_two_groups() {
    let engine = EngineOptions { honours_fencing: false, ..EngineOptions::default() };
    let fleet =
        TestFleet::start_serving(FleetSpec { workers: 5, engine, ..FleetSpec::default() }).await;
    for round in 0..3 {
        let config = fleet.config().await;
        let group = config.groups().nth(round % 3).cloned().expect("a group");
        fleet.engine(&group.members[round % 2]).crash();
        compio::time::sleep(Duration::from_millis(700)).await;
        check_groups(&fleet).await;
    }
    let is_whole = wait_until(Duration::from_secs(15), async || {
        let count = fleet.serving_replicas(0).await;
        check_groups(&fleet).await;
        count >= 3
    })
    .await;
    assert!(is_whole, "the groups serve again");
}

/// Guards against a fabric domain that goes dark and takes the service with it.
#[compio::test]
async fn a_dark_domain_leaves_the_others_serving() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let caller = TestCaller::new(&fleet.node_addresses).with_deadline(Duration::from_secs(10));
    for (vm, engine) in &fleet.engines {
        if vm.starts_with("dc0") {
            engine.kill();
        }
    }
    for round in 0..40 {
        let outcome = caller.chat(&chat_request(&format!("lot {round}"), 10)).await;
        assert!(outcome.is_whole, "{outcome:?}");
    }
    check_groups(&fleet).await;
}
