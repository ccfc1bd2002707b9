//! Callers that stop reading hold little memory and no engine, and still get their whole answer.

use std::time::Duration;

use eelgrassdeal_schema::settings::LimitSettings;
use eelgrassdeal_standins::{EngineOptions, answer_text};
use eelgrassdeal_testkit::{
    FleetSpec, OpenStream, TestCaller, TestFleet, chat_request, wait_until,
};
use futures_util::future::join_all;

const STREAM_BUFFER_BYTES: u64 = 16 * 1024;
/// With the padding more than the buffers of the kernel hold for one connection.
const TOKENS: u32 = 1_000;
const PADDING: usize = 6 * 1024;

async fn start_fleet(total_buffer_bytes: u64) -> TestFleet {
    TestFleet::start_serving(FleetSpec {
        nodes: 1,
        engine: EngineOptions {
            first_token: Duration::from_millis(1),
            token_interval: Duration::ZERO,
            event_padding: PADDING,
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

async fn open_streams(fleet: &TestFleet, caller: &TestCaller, count: u32) -> Vec<OpenStream> {
    let requests: Vec<_> =
        (0..count).map(|lot| chat_request(&format!("lot {lot}"), TOKENS)).collect();
    let address = fleet.node_addresses[0];
    let opened =
        join_all(requests.iter().map(|request| caller.open_stream(address, request))).await;
    opened.into_iter().map(|stream| stream.expect("a stream")).collect()
}

async fn assert_detached(fleet: &TestFleet) {
    let node = fleet.nodes[0].as_ref().expect("the node runs");
    let is_detached =
        wait_until(Duration::from_secs(20), async || fleet.running() == 0 && node.in_flight() == 0)
            .await;
    assert!(is_detached, "{} engines' streams, {} slots", fleet.running(), node.in_flight());
    assert_eq!(node.buffered_bytes(), 0, "bytes stay queued for readers that stopped");
}

async fn assert_whole(streams: Vec<OpenStream>) {
    let outcomes = join_all(streams.into_iter().map(OpenStream::read_on)).await;
    for (lot, outcome) in outcomes.iter().enumerate() {
        let request = chat_request(&format!("lot {lot}"), TOKENS);
        assert!(outcome.is_whole, "{:?}", outcome.error);
        assert_eq!(outcome.text, answer_text(&request));
    }
}

/// Guards against a stopped reader that occupies an engine or memory, and against an answer that
/// is lost when the reader goes on.
#[compio::test]
async fn a_stopped_reader_frees_its_engine_and_gets_the_rest_later() {
    let fleet = start_fleet(0).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let streams = open_streams(&fleet, &caller, 1).await;
    assert_detached(&fleet).await;
    let node = fleet.nodes[0].as_ref().expect("the node runs");
    let peak = node.peak_stream_bytes();
    assert!(peak > STREAM_BUFFER_BYTES / 2, "the reader was never slow: {peak}");
    assert!(peak <= STREAM_BUFFER_BYTES, "{peak} bytes were held");
    assert_whole(streams).await;
    assert!(fleet.runs() >= 2, "the stream was never detached");
    assert_eq!(fleet.resume_faults(), 0);
}

/// Guards against a bound for each stream that adds up to more than the node has, and against
/// stopped readers that take the share of a caller that reads.
#[compio::test]
async fn all_streams_stay_within_the_global_bound() {
    const TOTAL: u64 = 24 * 1024;
    let fleet = start_fleet(TOTAL).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let streams = open_streams(&fleet, &caller, 10).await;
    let request = chat_request("a lot for a caller that reads", 200);
    let outcome = caller.chat_at(fleet.node_addresses[0], &request).await;
    assert_eq!(outcome.text, answer_text(&request), "{:?}", outcome.error);
    assert_detached(&fleet).await;
    let peak = fleet.nodes[0].as_ref().expect("the node runs").peak_buffered_bytes();
    assert!(peak > TOTAL / 2, "the bound was never near: {peak}");
    assert!(peak <= TOTAL, "{peak} bytes were queued");
    assert_whole(streams).await;
    assert_eq!(fleet.resume_faults(), 0);
}

/// Guards against a caller that never reads and holds its connection's memory for ever.
#[compio::test]
async fn a_reader_that_never_reads_is_cut_at_its_deadline() {
    let fleet = start_fleet(0).await;
    let caller = TestCaller::new(&fleet.node_addresses).with_deadline(Duration::from_secs(2));
    let streams = open_streams(&fleet, &caller, 3).await;
    let node = fleet.nodes[0].as_ref().expect("the node runs");
    assert_detached(&fleet).await;
    compio::time::sleep(Duration::from_secs(2)).await;
    let outcomes = join_all(streams.into_iter().map(OpenStream::read_on)).await;
    for outcome in outcomes {
        assert!(!outcome.is_whole, "an answer went on after its deadline");
    }
    assert_eq!(node.buffered_bytes(), 0);
    assert_eq!(node.in_flight(), 0);
}
