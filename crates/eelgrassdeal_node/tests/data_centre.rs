//! Data centres that operators take out of service, and upstreams that are leaving.

use std::time::{Duration, Instant};

use eelgrassdeal_schema::config::Vm;
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_standins::{EngineOptions, EngineRun, answer_text};
use eelgrassdeal_testkit::{FleetSpec, TestCaller, TestFleet, chat_request, wait_until};
use futures_util::future::join_all;

/// Longest allowed time from the removal of a data centre or worker until no new request starts
/// there.
const DRAIN_PROPAGATION_LIMIT: Duration = Duration::from_secs(5);

/// Requests that the engines of a data centre began to run.
fn runs_in(fleet: &TestFleet, centre: &str) -> Vec<EngineRun> {
    fleet
        .engines
        .iter()
        .filter(|(vm, _)| vm.starts_with(centre))
        .flat_map(|(_, engine)| engine.runs())
        .collect()
}

/// Sends streaming requests one after the other until `end` and checks that each response is
/// complete. Returns the number of responses.
async fn send_streams_until(fleet: &TestFleet, client: usize, end: Instant) -> usize {
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(Duration::from_secs(10));
    let mut completed = 0;
    while Instant::now() < end {
        let request = chat_request(&format!("client {client} lot {completed}"), 20);
        let outcome = caller.chat(&request).await;
        assert!(outcome.is_complete, "{outcome:?}");
        assert_eq!(outcome.text, answer_text(&request));
        completed += 1;
    }
    completed
}

/// Guards against new requests in a data centre that is out of service, responses lost when the
/// traffic moves away, and further weight transfers when the data centre returns.
#[compio::test]
async fn a_data_centre_leaves_and_returns_under_load() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let started = Instant::now();
    let end = started + Duration::from_secs(20);
    let clients = join_all((0..6).map(|client| send_streams_until(&fleet, client, end)));
    let operator_actions = async {
        let has_served =
            wait_until(Duration::from_secs(5), async || !runs_in(&fleet, "dc0").is_empty()).await;
        assert!(has_served, "the data centre serves no request before it is taken out");
        fleet.set_centre_state(0, "out").await;
        let out = Instant::now();
        compio::time::sleep(Duration::from_secs(8)).await;
        // Spares in other data centres may have loaded weights by this time. The return of the data
        // centre must not cause any further transfer.
        let reserved_bytes = fleet.weights.reserved_bytes();
        let returned_at = Instant::now();
        fleet.set_centre_state(0, "in").await;
        (out, returned_at, reserved_bytes)
    };
    let (completed, (out, returned_at, reserved_bytes)) =
        futures_util::join!(clients, operator_actions);
    assert!(completed.iter().all(|count| *count > 0));
    let runs = runs_in(&fleet, "dc0");
    let late = runs
        .iter()
        .filter(|run| {
            run.received_at > out + DRAIN_PROPAGATION_LIMIT && run.received_at < returned_at
        })
        .count();
    assert_eq!(late, 0, "new requests started in the data centre that is out of service");
    assert!(
        runs.iter().any(|run| run.received_at > returned_at),
        "the data centre serves no request after its return"
    );
    assert_eq!(
        fleet.weights.reserved_bytes(),
        reserved_bytes,
        "the return caused a weight transfer"
    );
}

/// Guards against new requests to a worker that the platform lists as leaving. The fleet has no
/// spare, so that the group is not replaced before the nodes must stop using it.
#[compio::test]
async fn a_leaving_worker_gets_no_new_requests() {
    let fleet = TestFleet::start_serving(FleetSpec { workers: 2, ..FleetSpec::default() }).await;
    let config = fleet.config().await;
    let group = config.groups().next().cloned().expect("a group");
    fleet.vm_list.set(&group.members[1], Some("leaving"));
    let listed_at = Instant::now();
    let end = listed_at + Duration::from_secs(8);
    join_all((0..4).map(|client| send_streams_until(&fleet, client, end))).await;
    let runs = fleet.engine(&group.members[0]).runs();
    let late = runs
        .iter()
        .filter(|run| {
            run.generation == group.generation
                && run.received_at > listed_at + DRAIN_PROPAGATION_LIMIT
        })
        .count();
    assert_eq!(late, 0, "new requests went to a group with a leaving member");
}

/// Guards against new requests to a worker that operators mark as leaving in the configuration,
/// when the fleet has no spare.
#[compio::test]
async fn a_worker_marked_as_leaving_gets_no_new_requests() {
    let fleet = TestFleet::start_serving(FleetSpec { workers: 2, ..FleetSpec::default() }).await;
    let config = fleet.config().await;
    let group = config.groups().next().cloned().expect("a group");
    let vm = config.vm(&group.members[0]).cloned().expect("a VM");
    let leader = fleet.engine(&vm.id).clone();
    fleet.apply(vec![Body::Vm(Vm { state: "leaving".to_owned(), ..vm })]).await;
    let accepted_at = Instant::now();
    let end = accepted_at + Duration::from_secs(8);
    join_all((0..4).map(|client| send_streams_until(&fleet, client, end))).await;
    let runs = leader.runs();
    let late = runs
        .iter()
        .filter(|run| {
            run.generation == group.generation
                && run.received_at > accepted_at + DRAIN_PROPAGATION_LIMIT
        })
        .count();
    assert_eq!(late, 0, "new requests went to a leaving worker");
}

/// Guards against engines that crash from overload when their data centre returns while they are
/// cold.
#[compio::test]
async fn a_data_centre_that_returns_cold_is_ramped_up() {
    // More concurrent requests than these limits crash the engine; `slots` and `cold_slots` are the
    // same limits as configured at the nodes.
    let engine = EngineOptions {
        cold_limit: 2,
        warm_limit: 16,
        warm_up_time: Duration::from_millis(400),
        ..EngineOptions::default()
    };
    let spec =
        FleetSpec { engine, slots: 16, cold_slots: 2, ramp_step_ms: 600, ..FleetSpec::default() };
    let fleet = TestFleet::start_serving(spec).await;
    let end = Instant::now() + Duration::from_secs(16);
    let clients = join_all((0..24).map(|client| send_streams_until(&fleet, client, end)));
    let operator_actions = async {
        compio::time::sleep(Duration::from_secs(5)).await;
        fleet.set_centre_state(0, "out").await;
        compio::time::sleep(Duration::from_secs(5)).await;
        for (_, engine) in fleet.engines.iter().filter(|(vm, _)| vm.starts_with("dc0")) {
            engine.reset_warm_up();
        }
        fleet.set_centre_state(0, "in").await;
    };
    futures_util::join!(clients, operator_actions);
    let crashes: u32 = fleet.engines.iter().map(|(_, engine)| engine.crashes()).sum();
    assert_eq!(crashes, 0, "an engine crashed from overload");
}
