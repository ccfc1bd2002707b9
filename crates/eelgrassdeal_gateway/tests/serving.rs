//! The whole path on a calm day, and truth about what ran.

mod common;

use std::time::Duration;

use common::{KEY, PlayedPlatform, whole_stream};
use eelgrassdeal_standins::WorkerFault;

/// Requests after which an upstream that failed must have been asked again, and their distance.
const ASKS: usize = 60;
const PAUSE: Duration = Duration::from_millis(100);

#[compio::test]
async fn a_stream_is_passed_on_whole_with_the_account_and_without_the_key() {
    let platform = PlayedPlatform::new().await.with_engines(4, 5).await.with_gateways(2).await;
    platform.wait_serving(2).await;
    for gateway in 0..2 {
        let id = format!("id-{gateway}");
        let answer = platform.ask(gateway, "/stream/x?a=1", &id, KEY).await.expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, whole_stream(5));
        assert!(answer.headers.contains_key("x-eelgrassdeal-response-seal"));
        let runs = platform.runs_of(&id);
        assert_eq!(runs.len(), 1);
        assert_eq!(runs[0].path, "/stream/x?a=1");
        assert_eq!(runs[0].body, "a prompt");
        assert_eq!(runs[0].account.as_deref(), Some("account-1"));
        assert!(!runs[0].has_key);
        assert!((1..=8_000).contains(&runs[0].deadline_ms));
    }
    platform.assert_no_violations();
}

#[compio::test]
async fn requests_that_no_configuration_allows_are_refused() {
    let platform = PlayedPlatform::new().await.with_desks(1).await.with_gateways(1).await;
    let status = async |path: &str, key: &str| {
        platform.ask(0, path, "id", key).await.expect("an answer").status
    };
    assert_eq!(status("/look/x", "unknown").await, 401);
    assert_eq!(status("/nowhere/x", KEY).await, 404);
    assert_eq!(status("/look/x", KEY).await, 200);
}

#[compio::test]
async fn a_node_without_a_configuration_says_so() {
    let mut platform = PlayedPlatform::new().await;
    platform.store.faults().set_down(true);
    let store = platform.store_address.clone();
    platform.add_gateway(&store);
    let entry = platform.gateways[0].entry.clone();
    platform
        .wait_until("it listens", async || platform.get(&entry, "/readiness").await.is_ok())
        .await;
    let readiness = platform.get(&entry, "/readiness").await.expect("an answer");
    assert_eq!(readiness.status, 503);
    let answer = platform.ask(0, "/look/x", "id", KEY).await.expect("an answer");
    assert_eq!(answer.status, 503, "neither 401 nor 404 would be true");
    assert!(answer.headers.contains_key("retry-after"));
}

#[compio::test]
async fn a_booking_runs_once_and_what_became_of_it_is_said_truly() {
    let platform = PlayedPlatform::new().await.with_desks(1).await.with_gateways(1).await;
    let desk = platform.worker("i-desk0");
    let book =
        async |id: &str| platform.ask(0, "/book/x", id, KEY).await.expect("an answer").status;
    assert_eq!(book("calm").await, 200);
    desk.push_fault(WorkerFault::LostAnswer);
    assert_eq!(book("lost").await, 502, "it may have run");
    desk.push_fault(WorkerFault::ForeignId);
    assert_eq!(book("foreign").await, 502, "the answer belongs to another request");
    desk.push_fault(WorkerFault::FalseRefusal);
    assert_eq!(book("false").await, 502, "503 would say that it has not run");
    desk.push_fault(WorkerFault::Error);
    assert_eq!(book("error").await, 500, "the worker's own answer");
    for id in ["calm", "lost", "foreign", "false", "error"] {
        assert_eq!(platform.runs_of(id).len(), 1, "{id}");
    }
    desk.push_fault(WorkerFault::Shed);
    let status = book("shed").await;
    let runs = platform.runs_of("shed").len();
    assert!((status, runs) == (200, 1) || (status, runs) == (503, 0), "{status}, {runs} runs");
}

#[compio::test]
async fn a_lookup_that_fails_is_asked_again_elsewhere() {
    let platform = PlayedPlatform::new().await.with_desks(2).await.with_gateways(1).await;
    let desk = platform.worker("i-desk0");
    for fault in [WorkerFault::Error, WorkerFault::LostAnswer, WorkerFault::ForeignId] {
        desk.push_fault(fault);
        // The failures before count against the desk for some seconds.
        for index in 0..ASKS {
            let id = format!("{fault:?}-{index}");
            let answer = platform.ask(0, "/look/x", &id, KEY).await.expect("an answer");
            assert_eq!(answer.status, 200, "{fault:?}");
            let runs = platform.runs_of(&id);
            assert!(runs.len() <= 2);
            if runs[0].worker == desk.id() {
                assert_eq!(runs.len(), 2, "the fault was met");
                break;
            }
            assert!(index + 1 < ASKS, "the desk is never asked again");
            compio::time::sleep(PAUSE).await;
        }
    }
}

#[compio::test]
async fn a_stream_that_breaks_in_an_event_goes_on_at_another_replica() {
    let platform = PlayedPlatform::new().await.with_engines(4, 6).await.with_gateways(1).await;
    platform.wait_serving(2).await;
    let heads = platform.heads();
    for head in &heads {
        platform.worker(head).push_fault(WorkerFault::CutAfter(2));
    }
    let answer = platform.ask(0, "/stream/x", "broken", KEY).await;
    assert!(answer.is_err(), "an answer that breaks off must not look complete");
    let runs = platform.runs_of("broken");
    assert_eq!(runs.len(), 2, "a request runs at two replicas at most");
    assert_ne!(runs[0].worker, runs[1].worker);
    assert_eq!(runs[1].last_event, Some(2));
    platform.worker(&heads[0]).push_fault(WorkerFault::CutAfter(3));
    for index in 0..ASKS {
        let id = format!("resumed-{index}");
        let answer = platform.ask(0, "/stream/x", &id, KEY).await.expect("a whole answer");
        assert_eq!(answer.body, whole_stream(6));
        let runs = platform.runs_of(&id);
        if runs[0].worker == heads[0] {
            assert_eq!((runs.len(), runs[1].last_event), (2, Some(3)));
            break;
        }
        assert!(index + 1 < ASKS, "the head is never asked again");
        compio::time::sleep(PAUSE).await;
    }
}

#[compio::test]
async fn a_caller_that_leaves_ends_the_work() {
    let platform = PlayedPlatform::new().await.with_engines(2, 400).await.with_gateways(1).await;
    platform.wait_serving(1).await;
    let asking = platform.ask(0, "/stream/x", "leaver", KEY);
    assert!(compio::time::timeout(Duration::from_millis(400), asking).await.is_err());
    let head = platform.worker(&platform.heads()[0]);
    compio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(head.running(), 0);
}
