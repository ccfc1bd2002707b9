//! Callers that stop reading occupy little memory and no engine, and still get their complete
//! response.

use std::time::Duration;

use eelgrassdeal_schema::settings::LimitSettings;
use eelgrassdeal_standins::{EngineOptions, answer_text};
use eelgrassdeal_testkit::{
    FleetSpec, OpenStream, TestCaller, TestFleet, chat_request, wait_until,
};
use futures_util::future::join_all;

/// Default limit of a node on the bytes queued for one stream.
const STREAM_BUFFER_BYTES: u64 = 16 * 1024;
/// Tokens of a response. With the padding, a response is larger than the kernel's buffers for one
/// connection.
const RESPONSE_TOKENS: u32 = 1_000;
const EVENT_PADDING_BYTES: usize = 6 * 1024;

/// Starts a fleet with one node and padded events; 0 leaves the node's default for
/// `total_buffer_bytes`.
async fn start_fleet(total_buffer_bytes: u64) -> TestFleet {
    TestFleet::start_serving(FleetSpec {
        nodes: 1,
        engine: EngineOptions {
            first_token_delay: Duration::from_millis(1),
            token_interval: Duration::ZERO,
            event_padding_bytes: EVENT_PADDING_BYTES,
            ..EngineOptions::default()
        },
        limits: LimitSettings {
            total_buffer_bytes,
            stall_timeout_ms: 300,
            locate_ttl_ms: 300,
            ..LimitSettings::default()
        },
        ..FleetSpec::default()
    })
    .await
}

/// Starts `count` streams at the node without reading them.
async fn open_streams(fleet: &TestFleet, caller: &TestCaller, count: u32) -> Vec<OpenStream> {
    let requests: Vec<_> =
        (0..count).map(|index| chat_request(&format!("lot {index}"), RESPONSE_TOKENS)).collect();
    let address = fleet.node_addresses[0];
    let opened =
        join_all(requests.iter().map(|request| caller.open_stream(address, request))).await;
    opened.into_iter().map(|stream| stream.expect("a stream")).collect()
}

/// Checks that the node soon has no request in flight at an engine and no bytes queued for callers.
async fn assert_streams_suspended(fleet: &TestFleet) {
    let node = fleet.node_threads[0].as_ref().expect("the node runs");
    let is_suspended =
        wait_until(Duration::from_secs(20), async || fleet.running() == 0 && node.in_flight() == 0)
            .await;
    assert!(
        is_suspended,
        "{} requests still run on engines, {} hold a slot",
        fleet.running(),
        node.in_flight()
    );
    assert_eq!(node.buffered_bytes(), 0, "bytes remain queued for callers that stopped reading");
}

/// Reads the streams to their end and checks that each response is complete.
async fn assert_complete(streams: Vec<OpenStream>) {
    let outcomes = join_all(streams.into_iter().map(OpenStream::read_to_end)).await;
    for (lot, outcome) in outcomes.iter().enumerate() {
        let request = chat_request(&format!("lot {lot}"), RESPONSE_TOKENS);
        assert!(outcome.is_complete, "{:?}", outcome.error);
        assert_eq!(outcome.text, answer_text(&request));
    }
}

/// Guards against a caller that stops reading and thereby occupies an engine or memory, and against
/// a response that is lost when the caller continues to read.
#[compio::test]
async fn a_caller_that_stops_reading_frees_its_engine_and_gets_the_rest_later() {
    let fleet = start_fleet(0).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let streams = open_streams(&fleet, &caller, 1).await;
    assert_streams_suspended(&fleet).await;
    let node = fleet.node_threads[0].as_ref().expect("the node runs");
    let peak = node.peak_stream_bytes();
    assert!(
        peak > STREAM_BUFFER_BYTES / 2,
        "the queue was never more than half full: peak of {peak} bytes"
    );
    assert!(peak <= STREAM_BUFFER_BYTES, "{peak} bytes were queued for one stream");
    assert_complete(streams).await;
    assert!(fleet.run_count() >= 2, "the stream was never suspended");
    assert_eq!(fleet.resume_mismatches(), 0);
}

/// Guards against buffers that stay below the limit for each stream but together exceed the limit
/// for all streams, and against callers that stopped reading and leave no buffer for a caller that
/// reads.
#[compio::test]
async fn all_streams_stay_within_the_total_buffer_limit() {
    const TOTAL_BUFFER_BYTES: u64 = 24 * 1024;
    let fleet = start_fleet(TOTAL_BUFFER_BYTES).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let streams = open_streams(&fleet, &caller, 10).await;
    let request = chat_request("a lot for a caller that reads", 200);
    let outcome = caller.chat_without_retry(fleet.node_addresses[0], &request).await;
    assert_eq!(outcome.text, answer_text(&request), "{:?}", outcome.error);
    assert_streams_suspended(&fleet).await;
    let peak = fleet.node_threads[0].as_ref().expect("the node runs").peak_buffered_bytes();
    assert!(
        peak > TOTAL_BUFFER_BYTES / 2,
        "the queues were never more than half full: peak of {peak} bytes"
    );
    assert!(peak <= TOTAL_BUFFER_BYTES, "{peak} bytes were queued for all streams");
    assert_complete(streams).await;
    assert_eq!(fleet.resume_mismatches(), 0);
}

/// Guards against a caller that never reads and occupies the memory of its connection indefinitely.
#[compio::test]
async fn a_stream_that_is_never_read_ends_at_its_deadline() {
    let fleet = start_fleet(0).await;
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(Duration::from_secs(2));
    let streams = open_streams(&fleet, &caller, 3).await;
    let node = fleet.node_threads[0].as_ref().expect("the node runs");
    assert_streams_suspended(&fleet).await;
    compio::time::sleep(Duration::from_secs(2)).await;
    let outcomes = join_all(streams.into_iter().map(OpenStream::read_to_end)).await;
    for outcome in outcomes {
        assert!(!outcome.is_complete, "a response continued after its deadline");
    }
    assert_eq!(node.buffered_bytes(), 0);
    assert_eq!(node.in_flight(), 0);
}
