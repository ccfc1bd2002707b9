//! A graceful shutdown aborts no request in flight.

use std::cell::Cell;
use std::path::PathBuf;
use std::time::Duration;

use eelgrassdeal_standins::{EngineOptions, answer_text};
use eelgrassdeal_testkit::{FleetSpec, TestCaller, TestFleet, chat_request, wait_until};
use futures_util::future::join_all;

/// Engines slow enough that requests are still running when the shutdown begins.
fn slow_engine() -> EngineOptions {
    EngineOptions { token_interval: Duration::from_millis(20), ..EngineOptions::default() }
}

/// Guards against a shutdown that aborts streams, buffered responses or bookings.
///
/// The node must not refuse requests while callers may still use a cached address of it. The test
/// checks only that some bookings succeed and some are refused, not when the refusals begin.
#[compio::test]
async fn a_graceful_shutdown_aborts_no_request() {
    const BOOKING_CLIENTS: usize = 10;
    /// Time within which this test detects that the node's thread has ended.
    const EXIT_DETECTION_TIME: Duration = Duration::from_millis(100);
    let mut fleet =
        TestFleet::start_serving(FleetSpec { engine: slow_engine(), ..FleetSpec::default() }).await;
    for service in &fleet.service_upstreams {
        // Clones of the fake service share their state, so this changes the running service.
        service.clone().with_work_time(Duration::from_millis(50));
    }
    let address = fleet.node_addresses[0];
    let caller = TestCaller::new(&[address]);
    let node = fleet.node_threads[0].take().expect("the node runs");
    let is_down = Cell::new(false);
    let shutdown = async {
        compio::time::sleep(Duration::from_millis(300)).await;
        node.shut_down().await;
        is_down.set(true);
    };
    // The responses take longer than the phases of the shutdown before the drain: the node leaves
    // the locator, waits until cached addresses have expired, and then refuses new requests.
    let requests: Vec<_> =
        (0..20).map(|index| chat_request(&format!("lot {index}"), 250)).collect();
    let streams =
        join_all(requests.iter().map(|request| caller.chat_without_retry(address, request)));
    let buffered_responses =
        join_all(requests.iter().map(|request| caller.chat_buffered(address, request)));
    // Clients that reuse keep-alive connections until the node has shut down.
    let bookings = join_all((0..BOOKING_CLIENTS).map(async |_| {
        let caller = TestCaller::new(&[address]);
        let (mut booked, mut refused) = (0, 0);
        while !is_down.get() {
            let key = TestCaller::new_idempotency_key();
            let outcome = caller.call_service(address, "book", Some(&key), "{}").await;
            match outcome.status {
                200 => booked += 1,
                503 if outcome.body["kind"] == "draining" => refused += 1,
                _ => {
                    // Either the node's thread has ended or this booking was aborted. An aborted
                    // booking that ran also shows in the number of runs.
                    compio::time::sleep(EXIT_DETECTION_TIME).await;
                    assert!(is_down.get(), "a booking was aborted: {outcome:?}");
                }
            }
            compio::time::sleep(Duration::from_millis(7)).await;
        }
        (booked, refused)
    }));
    let (streamed, buffered, counts, ()) =
        futures_util::join!(streams, buffered_responses, bookings, shutdown);
    for (request, (outcome, buffered_outcome)) in
        requests.iter().zip(streamed.iter().zip(&buffered))
    {
        assert!(outcome.is_complete, "{outcome:?}");
        assert_eq!(outcome.text, answer_text(request));
        assert_eq!(buffered_outcome.status, 200, "{buffered_outcome:?}");
    }
    let booked: usize = counts.iter().map(|(booked, _)| booked).sum();
    let refused: usize = counts.iter().map(|(_, refused)| refused).sum();
    assert!(booked > BOOKING_CLIENTS && refused > 0, "{booked} booked, {refused} refused");
    let runs: usize = fleet.service_upstreams.iter().map(|service| service.runs().len()).sum();
    assert_eq!(runs, booked, "a refused booking ran, or one ran twice");
}

/// Guards against a drain that waits for requests beyond its timeout.
#[compio::test]
async fn a_drain_ends_at_its_timeout() {
    const CALLER_TIMEOUT: Duration = Duration::from_secs(30);
    let mut spec = FleetSpec { engine: slow_engine(), ..FleetSpec::default() };
    spec.limits.drain_timeout_ms = 500;
    let mut fleet = TestFleet::start_serving(spec).await;
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(CALLER_TIMEOUT);
    let address = fleet.node_addresses[0];
    let request = chat_request("a report that takes hours", 100_000);
    let node = fleet.node_threads[0].take().expect("the node runs");
    let (outcome, ()) = futures_util::join!(caller.chat_without_retry(address, &request), async {
        fleet.busy_group().await;
        node.shut_down().await;
    });
    assert!(!outcome.is_complete && !outcome.text.is_empty(), "{outcome:?}");
    assert!(
        outcome.elapsed < CALLER_TIMEOUT,
        "the caller timed out before the node ended the stream"
    );
    let is_idle = wait_until(Duration::from_secs(5), async || fleet.running() == 0).await;
    assert!(is_idle, "an engine continues a request of a node that has shut down");
}

/// Guards against a node process that exits on SIGTERM without finishing its streams.
#[compio::test]
async fn a_node_process_finishes_its_streams_on_sigterm() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_eelgrassdeal-node"));
    let mut fleet = TestFleet::start_serving(FleetSpec {
        nodes: 1,
        engine: slow_engine(),
        node_binary: Some(program),
        ..FleetSpec::default()
    })
    .await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let request = chat_request("summaries for the morning", 250);
    let address = fleet.node_addresses[0];
    let mut process = fleet.node_processes[0].take().expect("the node runs");
    let (outcome, status) =
        futures_util::join!(caller.chat_without_retry(address, &request), async {
            fleet.busy_group().await;
            process.terminate();
            process.wait_for_exit(Duration::from_secs(30)).await
        });
    assert!(outcome.is_complete, "{outcome:?}");
    assert_eq!(outcome.text, answer_text(&request));
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}
