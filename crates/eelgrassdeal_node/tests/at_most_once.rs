//! Calls that may not be repeated run at most once, and a refusal that says "not run" is true.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrassdeal_standins::FaultPlan;
use eelgrassdeal_testkit::{FleetSpec, ServiceOutcome, TestCaller, TestFleet, wait_until};
use futures_util::future::join_all;

const KEYS: usize = 40;
/// More than any step takes on a busy machine.
const AMPLE_TIME: Duration = Duration::from_secs(20);
/// Some calls meet their deadline in the middle of a fault.
const SCARCE_TIME: Duration = Duration::from_millis(2_500);
const NOT_RUN: &str = "not_run";

struct CallHistory {
    outcomes: Vec<(String, ServiceOutcome)>,
}

impl CallHistory {
    /// Checks the callers' side against what the services ran.
    fn check(&self, fleet: &TestFleet) {
        let runs: Vec<_> = fleet.services.iter().flat_map(|service| service.runs()).collect();
        let mut runs_by_key: BTreeMap<String, u32> = BTreeMap::new();
        for run in &runs {
            *runs_by_key.entry(run.key.clone().unwrap_or_default()).or_default() += 1;
        }
        for (key, count) in &runs_by_key {
            assert_eq!(*count, 1, "key {key} ran {count} times");
        }
        let ran: BTreeSet<&str> = runs.iter().map(|run| run.request_id.as_str()).collect();
        for (key, outcome) in &self.outcomes {
            match outcome.outcome() {
                NOT_RUN => assert!(
                    !ran.contains(outcome.request_id.as_str()),
                    "{key} was answered not_run, but ran: {outcome:?}"
                ),
                _ if outcome.status == 200 => {
                    assert!(runs_by_key.contains_key(key), "{key} was confirmed, but never ran");
                }
                _ => {}
            }
        }
    }

    fn confirmed(&self) -> usize {
        let keys: BTreeSet<&String> = self
            .outcomes
            .iter()
            .filter(|(_, outcome)| outcome.status == 200)
            .map(|(key, _)| key)
            .collect();
        keys.len()
    }
}

/// Sends each key through all nodes at once, and again until it has a result or is refused for
/// good.
async fn book_all(fleet: &TestFleet, deadline: Duration) -> CallHistory {
    let caller = TestCaller::new(&fleet.node_addresses).with_deadline(deadline);
    let calls = (0..KEYS).flat_map(|_| {
        let key = TestCaller::new_key();
        fleet.node_addresses.iter().map(move |address| (key.clone(), *address))
    });
    let histories = join_all(calls.map(|(key, address)| {
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
    CallHistory { outcomes: histories.into_iter().flatten().collect() }
}

/// Guards against two nodes that both run a call whose key they get at the same time.
#[compio::test]
async fn the_same_key_at_three_nodes_runs_once() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let history = book_all(&fleet, AMPLE_TIME).await;
    history.check(&fleet);
    assert_eq!(history.confirmed(), KEYS, "every key has a result");
}

/// Guards against a second run, or an untrue "not run", when the table service loses answers after
/// the write took effect, is slow, and goes down while calls are under way.
#[compio::test]
async fn faults_of_the_store_never_cause_a_second_run() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let table = fleet.table.faults().clone();
    let disturb = async {
        for step in 0..12u32 {
            let plan = match step % 4 {
                0 => FaultPlan { lost_answers: 15, ..FaultPlan::default() },
                1 => FaultPlan { delay: Duration::from_millis(120), ..FaultPlan::default() },
                2 => FaultPlan { is_down: true, ..FaultPlan::default() },
                _ => FaultPlan::default(),
            };
            table.set(plan);
            compio::time::sleep(Duration::from_millis(150)).await;
        }
        table.set(FaultPlan::default());
    };
    let (history, ()) = futures_util::join!(book_all(&fleet, SCARCE_TIME), disturb);
    history.check(&fleet);
}

/// Guards against a second run when the service runs the call and its answer is lost.
#[compio::test]
async fn a_lost_answer_of_the_service_is_an_unknown_outcome() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    for service in &fleet.services {
        service.faults().lose_answers(u32::MAX);
    }
    let history = book_all(&fleet, AMPLE_TIME).await;
    history.check(&fleet);
    let is_unknown =
        |(_, outcome): &&(String, ServiceOutcome)| outcome.outcome() == "outcome_unknown";
    let unknown: BTreeSet<&String> =
        history.outcomes.iter().filter(is_unknown).map(|(key, _)| key).collect();
    assert_eq!(unknown.len(), KEYS, "every lost answer is told");
}

/// Guards against a call that runs a second time because the node that claimed its key died.
#[compio::test]
async fn the_death_of_the_claiming_node_leaves_the_outcome_unknown() {
    let mut fleet = TestFleet::start_serving(FleetSpec::default()).await;
    for service in &fleet.services {
        service.faults().set_delay(Duration::from_secs(2));
    }
    let deadline = Duration::from_secs(5);
    let caller = TestCaller::new(&fleet.node_addresses).with_deadline(deadline);
    let key = TestCaller::new_key();
    let address = fleet.node_addresses[0];
    let first = {
        let (caller, key) = (caller.clone(), key.clone());
        compio::runtime::spawn(async move {
            caller.call_service(address, "book", Some(&key), "{}").await
        })
    };
    let is_sent = wait_until(AMPLE_TIME, async || {
        fleet.services.iter().any(|service| !service.runs().is_empty())
    })
    .await;
    assert!(is_sent, "the call was sent");
    fleet.kill_node(0);
    drop(first);
    let during = caller.call_service(fleet.node_addresses[1], "book", Some(&key), "{}").await;
    assert_eq!(during.body["kind"], "call_in_progress", "{during:?}");
    compio::time::sleep(deadline).await;
    let after = caller.call_service(fleet.node_addresses[1], "book", Some(&key), "{}").await;
    // The dead node's task may still have recorded the result; then it is replayed.
    assert!(after.outcome() == "outcome_unknown" || after.status == 200, "{after:?}");
    let runs: usize = fleet.services.iter().map(|service| service.runs().len()).sum();
    assert_eq!(runs, 1);
}

/// Guards against a call that is refused for want of the store but runs nevertheless.
#[compio::test]
async fn without_the_store_a_call_is_refused_as_not_run() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    fleet.table.faults().set_down(true);
    let caller = TestCaller::new(&fleet.node_addresses);
    let key = TestCaller::new_key();
    let refused = caller.call_service(fleet.node_addresses[0], "book", Some(&key), "{}").await;
    assert_eq!(refused.body["kind"], "store_unavailable", "{refused:?}");
    let idempotent = caller.call_service(fleet.node_addresses[0], "price", None, "{}").await;
    assert_eq!(idempotent.status, 200, "{idempotent:?}");
    fleet.table.faults().set_down(false);
    let accepted = caller.call_service(fleet.node_addresses[1], "book", Some(&key), "{}").await;
    assert_eq!(accepted.status, 200, "{accepted:?}");
    let booked = fleet.services.iter().flat_map(|service| service.runs());
    assert_eq!(booked.filter(|run| run.call == "book").count(), 1);
}
