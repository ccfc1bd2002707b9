//! Nodes as separate processes. The tests kill, pause or terminate them by signals, to imitate the
//! loss, pause or shutdown of their VM.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::Duration;

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_standins::{EngineOptions, answer_text};
use eelgrassdeal_testkit::{FleetSpec, TestCaller, TestFleet, chat_request, wait_until};
use futures_util::future::join_all;

/// A fleet whose nodes run as processes and whose engines are slow enough that a signal arrives
/// while a response is being streamed.
fn process_fleet_spec() -> FleetSpec {
    FleetSpec {
        node_binary: Some(PathBuf::from(env!("CARGO_BIN_EXE_eelgrassdeal-node"))),
        engine: EngineOptions { token_interval: Duration::from_millis(10), ..Default::default() },
        ..FleetSpec::default()
    }
}

/// Waits until a node has a request in flight and returns its index.
async fn wait_for_busy_node(fleet: &TestFleet) -> usize {
    for _ in 0..200 {
        for index in 0..fleet.spec.nodes {
            let status = fleet.node_status(index).await.unwrap_or_default();
            if status["in_flight"].as_u64().unwrap_or(0) > 0 {
                return index;
            }
        }
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("no node has a request in flight");
}

/// Guards against a response that is truncated or has a gap when the node that relays it is lost.
#[compio::test]
async fn a_response_survives_the_kill_of_its_node() {
    let fleet = TestFleet::start_serving(process_fleet_spec()).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let request = chat_request("appraise lot 9", 200);
    let (outcome, ()) = futures_util::join!(caller.chat(&request), async {
        let node = wait_for_busy_node(&fleet).await;
        compio::time::sleep(Duration::from_millis(500)).await;
        fleet.node_process(node).kill();
    });
    assert!(outcome.is_complete, "{outcome:?}");
    assert_eq!(outcome.text, answer_text(&request));
    assert!(outcome.stream_count > 1, "the node was not killed during the stream");
    assert_eq!(fleet.resume_mismatches(), 0);
}

/// Members of a group that is the only one in its fabric domain, so that the domain has spare VMs.
async fn members_of_group_with_spares(fleet: &TestFleet) -> Vec<String> {
    let groups: Vec<_> = fleet.config().await.groups().cloned().collect();
    let is_only_group =
        |domain: &String| groups.iter().filter(|group| group.fabric_domain == *domain).count() == 1;
    let group = groups.iter().find(|group| is_only_group(&group.fabric_domain));
    group.expect("a domain with one group").members.clone()
}

/// Guards against two active planners: the holder of the planner lease is paused until the lease
/// has expired, another node takes over, and the first node continues with an outdated
/// configuration.
#[compio::test]
async fn a_planner_paused_past_its_lease_causes_no_conflict() {
    let fleet = TestFleet::start_serving(process_fleet_spec()).await;
    let paused = fleet.planner_node().await.expect("a planner");
    let members = members_of_group_with_spares(&fleet).await;
    fleet.node_process(paused).pause();
    fleet.engine(&members[1]).kill();
    let is_repaired_by_other_node = wait_until(Duration::from_secs(30), async || {
        let is_repaired = fleet.groups().await.iter().all(|group| !group.contains(&members[1]));
        is_repaired && fleet.planner_node().await != Some(paused)
    })
    .await;
    assert!(is_repaired_by_other_node, "no other node repaired the group");
    fleet.node_process(paused).unpause();
    // Long enough for several planning passes and probes by both nodes.
    compio::time::sleep(Duration::from_secs(4)).await;

    let mut config = FleetConfig::new();
    for change in fleet.accepted_changes().await {
        config.apply(&change);
        let members: Vec<&String> = config.groups().flat_map(|group| &group.members).collect();
        let distinct: BTreeSet<&&String> = members.iter().collect();
        assert_eq!(members.len(), distinct.len(), "revision {}", change.revision);
    }
    let mut members_of: BTreeMap<(String, u64), Vec<String>> = BTreeMap::new();
    for (vm, engine) in &fleet.engines {
        let orders = engine.orders();
        let is_ascending = orders.windows(2).all(|pair| pair[0].fencing <= pair[1].fencing);
        assert!(is_ascending, "{vm} accepted an outdated order: {orders:?}");
        for order in &orders {
            let key = (order.group.clone(), order.generation);
            let expected = members_of.entry(key).or_insert(order.member_addresses.clone());
            assert_eq!(
                *expected, order.member_addresses,
                "{vm}: orders disagree on the members of a group"
            );
        }
        let group = config.groups().find(|group| group.members.contains(vm));
        let last = orders.last().map(|order| (order.group.as_str(), order.generation));
        if let Some(group) = group {
            assert_eq!(last, Some((group.id.as_str(), group.generation)), "{vm}");
        }
    }
}

/// Guards against a booking that runs after its deadline, or twice, because the node was paused
/// between claiming the key and sending the call to the service.
#[compio::test]
async fn a_node_paused_after_its_claim_sends_nothing_after_the_deadline() {
    let fleet = TestFleet::start_serving(process_fleet_spec()).await;
    let deadline = Duration::from_millis(1500);
    // The caller itself waits longer: if it disconnected, the node would abort the call before it
    // checks the deadline.
    let caller = TestCaller::new(&fleet.node_addresses)
        .with_timeout(Duration::from_secs(20))
        .with_declared_timeout(deadline);
    let key = TestCaller::new_idempotency_key();
    // The table service executes the claim 1 s after receiving it, when the node is already paused.
    fleet.table.faults().set_delay(Duration::from_secs(1));
    let (first, ()) = futures_util::join!(
        caller.call_service(fleet.node_addresses[0], "book", Some(&key), "{}"),
        async {
            compio::time::sleep(Duration::from_millis(400)).await;
            fleet.node_process(0).pause();
            compio::time::sleep(Duration::from_secs(2)).await;
            fleet.node_process(0).unpause();
        }
    );
    assert_eq!(first.call_outcome(), "not_run", "{first:?}");
    fleet.table.faults().set_delay(Duration::ZERO);
    compio::time::sleep(Duration::from_secs(2)).await;
    let runs = || fleet.service_upstreams.iter().map(|service| service.runs().len()).sum::<usize>();
    assert_eq!(runs(), 0, "the call was sent after its deadline");
    let caller = caller.with_timeout(Duration::from_secs(10));
    for address in &fleet.node_addresses[1..] {
        caller.call_service(*address, "book", Some(&key), "{}").await;
    }
    assert!(runs() <= 1, "the call ran twice");
}

/// Guards against a graceful shutdown that aborts streams or never completes.
#[compio::test]
async fn a_terminated_node_completes_its_streams_and_exits() {
    const STREAMS: usize = 8;
    let mut fleet = TestFleet::start_serving(process_fleet_spec()).await;
    let address = fleet.node_addresses[0];
    let caller = TestCaller::new(&[address]);
    let requests: Vec<_> =
        (0..STREAMS).map(|index| chat_request(&format!("appraise lot {index}"), 300)).collect();
    let streams =
        join_all(requests.iter().map(|request| caller.chat_without_retry(address, request)));
    let (outcomes, refusal) = futures_util::join!(streams, async {
        compio::time::sleep(Duration::from_millis(500)).await;
        fleet.node_process(0).terminate();
        compio::time::sleep(Duration::from_millis(300)).await;
        // A second signal must not end the process at once.
        fleet.node_process(0).terminate();
        // Longer than the lifetime of locator responses (300 ms) plus the shutdown margin (1 s),
        // after which the node refuses new requests.
        compio::time::sleep(Duration::from_millis(1500)).await;
        caller.chat_without_retry(address, &chat_request("too late", 1)).await
    });
    for (request, outcome) in requests.iter().zip(&outcomes) {
        assert!(outcome.is_complete, "{outcome:?}");
        assert_eq!(outcome.text, answer_text(request));
    }
    assert_eq!(refusal.error.expect("an error response").body.kind, "draining");
    let process = fleet.node_processes[0].as_mut().expect("the node");
    let status = process.wait_for_exit(Duration::from_secs(10)).await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}
