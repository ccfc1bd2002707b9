//! Data centres that operators take out, and upstreams that leave.

use std::time::{Duration, Instant};

use eelgrassdeal_schema::config::Vm;
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_standins::{EngineOptions, EngineRun, answer_text};
use eelgrassdeal_testkit::{FleetSpec, TestCaller, TestFleet, chat_request, wait_until};
use futures_util::future::join_all;

/// From an accepted removal until no new work starts there.
const STOP_BOUND: Duration = Duration::from_secs(5);

fn runs_in(fleet: &TestFleet, centre: &str) -> Vec<EngineRun> {
    fleet
        .engines
        .iter()
        .filter(|(vm, _)| vm.starts_with(centre))
        .flat_map(|(_, engine)| engine.runs())
        .collect()
}

/// Sends streams one after the other until `end`, and checks that each answer is whole.
async fn keep_calling(fleet: &TestFleet, lane: usize, end: Instant) -> usize {
    let caller = TestCaller::new(&fleet.node_addresses).with_deadline(Duration::from_secs(10));
    let mut answers = 0;
    while Instant::now() < end {
        let request = chat_request(&format!("lane {lane} lot {answers}"), 20);
        let outcome = caller.chat(&request).await;
        assert!(outcome.is_whole, "{outcome:?}");
        assert_eq!(outcome.text, answer_text(&request));
        answers += 1;
    }
    answers
}

/// Guards against new work in a data centre that is out, answers lost by the move, and a second
/// wave of weight transfers on the return.
#[compio::test]
async fn a_data_centre_leaves_and_returns_under_load() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let started = Instant::now();
    let end = started + Duration::from_secs(20);
    let lanes = join_all((0..6).map(|lane| keep_calling(&fleet, lane, end)));
    let operate = async {
        let has_served =
            wait_until(Duration::from_secs(5), async || !runs_in(&fleet, "dc0").is_empty()).await;
        assert!(has_served, "the data centre serves before");
        fleet.set_centre(0, "out").await;
        let out = Instant::now();
        compio::time::sleep(Duration::from_secs(8)).await;
        // Spares elsewhere may have loaded weights by now; the return must load none.
        let transferred = fleet.weights.transferred();
        let back = Instant::now();
        fleet.set_centre(0, "in").await;
        (out, back, transferred)
    };
    let (answers, (out, back, transferred)) = futures_util::join!(lanes, operate);
    assert!(answers.iter().all(|count| *count > 0));
    let runs = runs_in(&fleet, "dc0");
    let late = runs.iter().filter(|run| run.at > out + STOP_BOUND && run.at < back).count();
    assert_eq!(late, 0, "new work started in the data centre that is out");
    assert!(runs.iter().any(|run| run.at > back), "the data centre serves again");
    assert_eq!(fleet.weights.transferred(), transferred, "the return needs no transfer");
}

/// Guards against new work for a worker that the platform lists as leaving. No spare is left, so
/// that the group is not replaced before the limits must take effect.
#[compio::test]
async fn a_leaving_worker_gets_no_new_work() {
    let fleet = TestFleet::start_serving(FleetSpec { workers: 2, ..FleetSpec::default() }).await;
    let config = fleet.config().await;
    let group = config.groups().next().cloned().expect("a group");
    fleet.vm_list.set(&group.members[1], Some("leaving"));
    let listed = Instant::now();
    let end = listed + Duration::from_secs(8);
    join_all((0..4).map(|lane| keep_calling(&fleet, lane, end))).await;
    let runs = fleet.engine(&group.members[0]).runs();
    let late = runs
        .iter()
        .filter(|run| run.generation == group.generation && run.at > listed + STOP_BOUND)
        .count();
    assert_eq!(late, 0, "new work went to a group with a leaving member");
}

/// Guards against new work for a worker that operators mark as leaving in the register, when no
/// spare is left.
#[compio::test]
async fn a_worker_marked_as_leaving_gets_no_new_work() {
    let fleet = TestFleet::start_serving(FleetSpec { workers: 2, ..FleetSpec::default() }).await;
    let config = fleet.config().await;
    let group = config.groups().next().cloned().expect("a group");
    let vm = config.vm(&group.members[0]).cloned().expect("a VM");
    let leader = fleet.engine(&vm.id).clone();
    fleet.apply(vec![Body::Vm(Vm { state: "leaving".to_owned(), ..vm })]).await;
    let accepted = Instant::now();
    let end = accepted + Duration::from_secs(8);
    join_all((0..4).map(|lane| keep_calling(&fleet, lane, end))).await;
    let runs = leader.runs();
    let late = runs
        .iter()
        .filter(|run| run.generation == group.generation && run.at > accepted + STOP_BOUND)
        .count();
    assert_eq!(late, 0, "new work went to a leaving worker");
}

/// Guards against engines that fall over because their data centre returns while they are cold.
#[compio::test]
async fn a_data_centre_that_returns_cold_is_ramped() {
    let engine = EngineOptions {
        cold_limit: 2,
        warm_limit: 16,
        warm_after: Duration::from_millis(400),
        ..EngineOptions::default()
    };
    let spec =
        FleetSpec { engine, slots: 16, cold_slots: 2, ramp_step_ms: 600, ..FleetSpec::default() };
    let fleet = TestFleet::start_serving(spec).await;
    let end = Instant::now() + Duration::from_secs(16);
    let lanes = join_all((0..24).map(|lane| keep_calling(&fleet, lane, end)));
    let operate = async {
        compio::time::sleep(Duration::from_secs(5)).await;
        fleet.set_centre(0, "out").await;
        compio::time::sleep(Duration::from_secs(5)).await;
        for (_, engine) in fleet.engines.iter().filter(|(vm, _)| vm.starts_with("dc0")) {
            engine.turn_cold();
        }
        fleet.set_centre(0, "in").await;
    };
    futures_util::join!(lanes, operate);
    let crashes: u32 = fleet.engines.iter().map(|(_, engine)| engine.crashes()).sum();
    assert_eq!(crashes, 0, "an engine got more than it bears");
}
