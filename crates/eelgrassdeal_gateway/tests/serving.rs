//! Requests through gateway and workers without failures, and with faults of single workers:
//! retries, resumption of streams, and correct reports on whether a request ran.

mod common;

use std::time::Duration;

use common::{API_KEY, TestPlatform, complete_stream};
use eelgrassdeal_standins::WorkerFault;

/// Number of requests of which at least one must go to a worker that failed before.
const MAX_REQUESTS: usize = 60;
/// Delay between two of these requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

#[compio::test]
async fn stream_is_forwarded_completely_with_the_account_and_without_the_api_key() {
    let platform = TestPlatform::new().await.with_engines(4, 5).await.with_gateways(2).await;
    platform.wait_serving(2).await;
    for gateway in 0..2 {
        let id = format!("id-{gateway}");
        let answer = platform
            .send_request(gateway, "/stream/x?a=1", &id, API_KEY)
            .await
            .expect("a response");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, complete_stream(5));
        assert!(answer.headers.contains_key("x-eelgrassdeal-response-seal"));
        let runs = platform.runs_for_request(&id);
        assert_eq!(runs.len(), 1);
        assert_eq!(runs[0].path, "/stream/x?a=1");
        assert_eq!(runs[0].body, "a prompt");
        assert_eq!(runs[0].client_account.as_deref(), Some("account-1"));
        assert!(!runs[0].has_api_key);
        assert!((1..=8_000).contains(&runs[0].timeout_ms));
    }
    platform.assert_no_violations();
}

#[compio::test]
async fn unauthorized_and_unrouted_requests_are_rejected() {
    let platform = TestPlatform::new().await.with_plain_workers(1).await.with_gateways(1).await;
    let status = async |path: &str, key: &str| {
        platform.send_request(0, path, "id", key).await.expect("a response").status
    };
    assert_eq!(status("/look/x", "unknown").await, 401);
    assert_eq!(status("/nowhere/x", API_KEY).await, 404);
    assert_eq!(status("/look/x", API_KEY).await, 200);
}

#[compio::test]
async fn node_without_a_configuration_answers_503() {
    let mut platform = TestPlatform::new().await;
    platform.store.faults().set_down(true);
    let store = platform.store_address.clone();
    platform.add_gateway(&store);
    let locator = platform.gateways[0].locator.clone();
    platform
        .wait_until("the gateway listens", async || {
            platform.get(&locator, "/readiness").await.is_ok()
        })
        .await;
    let readiness = platform.get(&locator, "/readiness").await.expect("a response");
    assert_eq!(readiness.status, 503);
    let answer = platform.send_request(0, "/look/x", "id", API_KEY).await.expect("a response");
    assert_eq!(answer.status, 503, "without a configuration, 401 and 404 would be wrong");
    assert!(answer.headers.contains_key("retry-after"));
}

#[compio::test]
async fn non_idempotent_request_runs_once_and_its_outcome_is_reported_correctly() {
    let platform = TestPlatform::new().await.with_plain_workers(1).await.with_gateways(1).await;
    let worker = platform.worker("i-desk0");
    let send_non_idempotent = async |id: &str| {
        platform.send_request(0, "/book/x", id, API_KEY).await.expect("a response").status
    };
    assert_eq!(send_non_idempotent("normal").await, 200);
    worker.push_fault(WorkerFault::LostResponse);
    assert_eq!(send_non_idempotent("lost").await, 502, "the request may have run");
    worker.push_fault(WorkerFault::WrongRequestId);
    assert_eq!(
        send_non_idempotent("foreign").await,
        502,
        "the response belongs to another request"
    );
    worker.push_fault(WorkerFault::AmbiguousRefusal);
    assert_eq!(
        send_non_idempotent("false").await,
        502,
        "503 would mean that the request has not run"
    );
    worker.push_fault(WorkerFault::InternalError);
    assert_eq!(send_non_idempotent("error").await, 500, "the worker's own response is forwarded");
    for id in ["normal", "lost", "foreign", "false", "error"] {
        assert_eq!(platform.runs_for_request(id).len(), 1, "{id}");
    }
    worker.push_fault(WorkerFault::NotExecuted);
    let status = send_non_idempotent("shed").await;
    let runs = platform.runs_for_request("shed").len();
    assert!((status, runs) == (200, 1) || (status, runs) == (503, 0), "{status}, {runs} runs");
}

#[compio::test]
async fn failed_idempotent_request_is_retried_on_another_worker() {
    let platform = TestPlatform::new().await.with_plain_workers(2).await.with_gateways(1).await;
    let worker = platform.worker("i-desk0");
    for fault in
        [WorkerFault::InternalError, WorkerFault::LostResponse, WorkerFault::WrongRequestId]
    {
        worker.push_fault(fault);
        // The gateway avoids a worker for some seconds after a failure.
        for index in 0..MAX_REQUESTS {
            let id = format!("{fault:?}-{index}");
            let answer =
                platform.send_request(0, "/look/x", &id, API_KEY).await.expect("a response");
            assert_eq!(answer.status, 200, "{fault:?}");
            let runs = platform.runs_for_request(&id);
            assert!(runs.len() <= 2);
            if runs[0].worker == worker.id() {
                assert_eq!(runs.len(), 2, "the fault occurred and the request was retried");
                break;
            }
            assert!(index + 1 < MAX_REQUESTS, "the worker never receives a request again");
            compio::time::sleep(REQUEST_INTERVAL).await;
        }
    }
}

#[compio::test]
async fn stream_cut_inside_an_event_resumes_on_another_replica() {
    let platform = TestPlatform::new().await.with_engines(4, 6).await.with_gateways(1).await;
    platform.wait_serving(2).await;
    let heads = platform.heads();
    for head in &heads {
        platform.worker(head).push_fault(WorkerFault::InterruptAfter(2));
    }
    let answer = platform.send_request(0, "/stream/x", "broken", API_KEY).await;
    assert!(answer.is_err(), "a truncated response must not look complete");
    let runs = platform.runs_for_request("broken");
    assert_eq!(runs.len(), 2, "a request runs on at most two replicas");
    assert_ne!(runs[0].worker, runs[1].worker);
    assert_eq!(runs[1].last_event_id, Some(2));
    platform.worker(&heads[0]).push_fault(WorkerFault::InterruptAfter(3));
    for index in 0..MAX_REQUESTS {
        let id = format!("resumed-{index}");
        let answer =
            platform.send_request(0, "/stream/x", &id, API_KEY).await.expect("a complete response");
        assert_eq!(answer.body, complete_stream(6));
        let runs = platform.runs_for_request(&id);
        if runs[0].worker == heads[0] {
            assert_eq!((runs.len(), runs[1].last_event_id), (2, Some(3)));
            break;
        }
        assert!(index + 1 < MAX_REQUESTS, "the head never receives a request again");
        compio::time::sleep(REQUEST_INTERVAL).await;
    }
}

#[compio::test]
async fn caller_disconnect_cancels_the_request() {
    let platform = TestPlatform::new().await.with_engines(2, 400).await.with_gateways(1).await;
    platform.wait_serving(1).await;
    let request = platform.send_request(0, "/stream/x", "disconnected", API_KEY);
    assert!(compio::time::timeout(Duration::from_millis(400), request).await.is_err());
    let head = platform.worker(&platform.heads()[0]);
    compio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(head.running(), 0);
}
