//! Calls that are not idempotent run at most once, and a call that is refused as `not_run` never
//! ran.
//!
//! The tests call two calls of a plain service: `price` is configured as idempotent, `book` is not.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrassdeal_standins::FaultPlan;
use eelgrassdeal_testkit::{BufferedOutcome, FleetSpec, TestCaller, TestFleet, wait_until};
use futures_util::future::join_all;

const KEYS: usize = 40;
/// Longer than any step of a test takes, even on a busy machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// Short enough that some calls reach their deadline while a fault is injected.
const SHORT_TIMEOUT: Duration = Duration::from_millis(2_500);
const NOT_RUN: &str = "not_run";

/// Responses that the callers received.
struct CallHistory {
    /// Idempotency key and outcome of each call, including repeated calls.
    outcomes: Vec<(String, BufferedOutcome)>,
}

impl CallHistory {
    /// Compares the responses with the calls that the services ran: each key ran at most once, no
    /// call that was refused as `not_run` ran, and each confirmed call ran.
    fn check(&self, fleet: &TestFleet) {
        let runs: Vec<_> =
            fleet.service_upstreams.iter().flat_map(|service| service.runs()).collect();
        let mut runs_by_key: BTreeMap<String, u32> = BTreeMap::new();
        for run in &runs {
            *runs_by_key.entry(run.idempotency_key.clone().unwrap_or_default()).or_default() += 1;
        }
        for (key, count) in &runs_by_key {
            assert_eq!(*count, 1, "key {key} ran {count} times");
        }
        let ran: BTreeSet<&str> = runs.iter().map(|run| run.request_id.as_str()).collect();
        for (key, outcome) in &self.outcomes {
            match outcome.call_outcome() {
                NOT_RUN => assert!(
                    !ran.contains(outcome.request_id.as_str()),
                    "{key} was refused as not_run but ran: {outcome:?}"
                ),
                _ if outcome.status == 200 => {
                    assert!(runs_by_key.contains_key(key), "{key} was confirmed but never ran");
                }
                _ => {}
            }
        }
    }

    /// Number of keys for which at least one call succeeded.
    fn confirmed_key_count(&self) -> usize {
        let keys: BTreeSet<&String> = self
            .outcomes
            .iter()
            .filter(|(_, outcome)| outcome.status == 200)
            .map(|(key, _)| key)
            .collect();
        keys.len()
    }
}

/// Sends [`KEYS`] bookings, each with its own key and through all nodes at the same time. For each
/// key, each node is called up to 4 times, until a call through it succeeds or gets a response with
/// `"retry": false`.
async fn send_bookings(fleet: &TestFleet, timeout: Duration) -> CallHistory {
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(timeout);
    let calls = (0..KEYS).flat_map(|_| {
        let key = TestCaller::new_idempotency_key();
        fleet.node_addresses.iter().map(move |address| (key.clone(), *address))
    });
    let outcomes_by_call = join_all(calls.map(|(key, address)| {
        let caller = caller.clone();
        async move {
            let mut outcomes = Vec::new();
            for _ in 0..4 {
                let outcome = caller.call_service(address, "book", Some(&key), "{\"lot\":7}").await;
                let is_final = outcome.status == 200 || outcome.body["retry"] == false;
                outcomes.push((key.clone(), outcome));
                if is_final {
                    break;
                }
                compio::time::sleep(Duration::from_millis(150)).await;
            }
            outcomes
        }
    }))
    .await;
    CallHistory { outcomes: outcomes_by_call.into_iter().flatten().collect() }
}

/// Guards against running a call twice when two nodes receive the same key at the same time.
#[compio::test]
async fn the_same_key_at_three_nodes_runs_once() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let history = send_bookings(&fleet, LONG_TIMEOUT).await;
    history.check(&fleet);
    assert_eq!(history.confirmed_key_count(), KEYS, "not every key has a result");
}

/// Guards against running a call twice, or reporting `not_run` for a call that ran, when the table
/// service loses responses to writes that took effect, is slow, or is down while calls are in
/// progress.
#[compio::test]
async fn faults_of_the_table_service_never_cause_a_second_run() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let fault_injector = fleet.table.faults().clone();
    let inject_faults = async {
        for step in 0..12u32 {
            let plan = match step % 4 {
                0 => FaultPlan { lost_responses: 15, ..FaultPlan::default() },
                1 => FaultPlan { delay: Duration::from_millis(120), ..FaultPlan::default() },
                2 => FaultPlan { is_down: true, ..FaultPlan::default() },
                _ => FaultPlan::default(),
            };
            fault_injector.set(plan);
            compio::time::sleep(Duration::from_millis(150)).await;
        }
        fault_injector.set(FaultPlan::default());
    };
    let (history, ()) = futures_util::join!(send_bookings(&fleet, SHORT_TIMEOUT), inject_faults);
    history.check(&fleet);
}

/// Guards against running a call twice when the service runs it and the response is lost.
#[compio::test]
async fn a_lost_response_of_the_service_is_an_unknown_outcome() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    for service in &fleet.service_upstreams {
        service.faults().lose_responses(u32::MAX);
    }
    let history = send_bookings(&fleet, LONG_TIMEOUT).await;
    history.check(&fleet);
    let is_unknown_outcome =
        |(_, outcome): &&(String, BufferedOutcome)| outcome.call_outcome() == "outcome_unknown";
    let unknown: BTreeSet<&String> =
        history.outcomes.iter().filter(is_unknown_outcome).map(|(key, _)| key).collect();
    assert_eq!(unknown.len(), KEYS, "every call with a lost response has an unknown outcome");
}

/// Guards against running a call a second time after the node that claimed its key has crashed.
#[compio::test]
async fn a_call_is_not_repeated_after_its_claiming_node_crashes() {
    let mut fleet = TestFleet::start_serving(FleetSpec::default()).await;
    for service in &fleet.service_upstreams {
        service.faults().set_delay(Duration::from_secs(2));
    }
    let timeout = Duration::from_secs(5);
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(timeout);
    let key = TestCaller::new_idempotency_key();
    let address = fleet.node_addresses[0];
    let first = {
        let (caller, key) = (caller.clone(), key.clone());
        compio::runtime::spawn(async move {
            caller.call_service(address, "book", Some(&key), "{}").await
        })
    };
    let is_sent = wait_until(LONG_TIMEOUT, async || {
        fleet.service_upstreams.iter().any(|service| !service.runs().is_empty())
    })
    .await;
    assert!(is_sent, "the call was not sent");
    fleet.kill_node(0);
    // Cancels the call, so that the caller does not wait for the killed node.
    drop(first);
    let in_progress = caller.call_service(fleet.node_addresses[1], "book", Some(&key), "{}").await;
    assert_eq!(in_progress.body["kind"], "call_in_progress", "{in_progress:?}");
    compio::time::sleep(timeout).await;
    let after = caller.call_service(fleet.node_addresses[1], "book", Some(&key), "{}").await;
    // The killed node may still have recorded the result, which is then replayed.
    assert!(after.call_outcome() == "outcome_unknown" || after.status == 200, "{after:?}");
    let runs: usize = fleet.service_upstreams.iter().map(|service| service.runs().len()).sum();
    assert_eq!(runs, 1);
}

/// Guards against a call that is refused because the table service is unavailable and runs
/// nevertheless.
#[compio::test]
async fn without_the_table_service_a_call_is_refused_as_not_run() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    fleet.table.faults().set_down(true);
    let caller = TestCaller::new(&fleet.node_addresses);
    let key = TestCaller::new_idempotency_key();
    let refused = caller.call_service(fleet.node_addresses[0], "book", Some(&key), "{}").await;
    assert_eq!(refused.body["kind"], "store_unavailable", "{refused:?}");
    let idempotent = caller.call_service(fleet.node_addresses[0], "price", None, "{}").await;
    assert_eq!(idempotent.status, 200, "{idempotent:?}");
    fleet.table.faults().set_down(false);
    let accepted = caller.call_service(fleet.node_addresses[1], "book", Some(&key), "{}").await;
    assert_eq!(accepted.status, 200, "{accepted:?}");
    let booked = fleet.service_upstreams.iter().flat_map(|service| service.runs());
    assert_eq!(booked.filter(|run| run.call == "book").count(), 1);
}
