//! Bytes that a node holds for callers that stopped reading.
//!
//! The node runs as a process of its own, so that its resident set contains neither callers nor
//! stand-ins. For each number of streams the resident set is read after one stream was read to its
//! end, and again after all readers have stopped and the node no longer takes bytes from engines.
//! A second wave of as many streams is opened while the first is still stopped. The allocator keeps
//! what the first wave had held before it was detached, so the growth by the second wave is what a
//! detached stream holds. All figures are bytes for each stream. The baseline is the same node with limits that are never reached.

use std::path::PathBuf;
use std::time::Duration;

use eelgrassdeal_schema::settings::LimitSettings;
use eelgrassdeal_standins::EngineOptions;
use eelgrassdeal_testkit::{
    FleetSpec, OpenStream, TestCaller, TestFleet, chat_request, wait_until,
};
use futures_util::future::join_all;
use gumdrop::Options;

/// Target of `docs/design.md`, section 1.3.
const TARGET_BYTES: u64 = 64 * 1024;
/// Bytes of an event besides its padding are about 200.
const PADDING: usize = 2 * 1024;
const HOUR_MS: u32 = 3_600_000;

/// Options of `slow-readers`.
#[derive(Debug, Options)]
pub(crate) struct SlowReadersOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "program of the node; default: beside this program", meta = "FILE")]
    node: Option<PathBuf>,
    #[options(help = "tokens of each answer", default = "3000")]
    tokens: u32,
}

struct HeldBytes {
    first: u64,
    second: u64,
    counted: u64,
}

/// Measures 1, 50 and 200 stopped readers; false if the target is missed.
pub(crate) async fn measure(options: &SlowReadersOptions) -> bool {
    let mut is_met = true;
    println!("streams  limits  first_wave  second_wave  counted  target");
    for streams in [1, 50, 200] {
        for has_limits in [true, false] {
            let Some(held) = hold_streams(options, streams, has_limits).await else {
                println!("{streams:>7}  {has_limits:>6}  not measured");
                is_met = false;
                continue;
            };
            let count = u64::from(streams);
            let [first, second, counted] =
                [held.first, held.second, held.counted].map(|bytes| bytes / count);
            println!(
                "{streams:>7}  {has_limits:>6}  {first:>10}  {second:>11}  {counted:>7}  \
                 {TARGET_BYTES}"
            );
            // One stream is within the noise of the allocator, which takes memory in steps.
            is_met &= !has_limits || streams == 1 || first <= TARGET_BYTES;
        }
    }
    is_met
}

async fn hold_streams(
    options: &SlowReadersOptions,
    streams: u32,
    has_limits: bool,
) -> Option<HeldBytes> {
    let program = match &options.node {
        Some(program) => program.clone(),
        None => std::env::current_exe().ok()?.with_file_name("eelgrassdeal-node"),
    };
    let fleet = TestFleet::start_serving(spec(program, has_limits)).await;
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(Duration::from_secs(600));
    let address = fleet.node_addresses[0];
    let warm_up = caller.chat_without_retry(address, &chat_request("warm up", 100)).await;
    if !warm_up.is_complete {
        return None;
    }
    let before = resident_bytes(&fleet)?;
    let first_wave = stop_readers(&fleet, &caller, options.tokens, streams).await?;
    let after_first = resident_bytes(&fleet)?;
    let second_wave = stop_readers(&fleet, &caller, options.tokens, streams).await?;
    let after_second = resident_bytes(&fleet)?;
    let counted = fleet.node_status(0).await?["buffered_bytes"].as_u64()? / 2;
    drop((first_wave, second_wave));
    Some(HeldBytes {
        first: after_first.saturating_sub(before),
        second: after_second.saturating_sub(after_first),
        counted,
    })
}

fn resident_bytes(fleet: &TestFleet) -> Option<u64> {
    Some(fleet.node_processes[0].as_ref()?.resident_bytes())
}

/// Opens streams, reads nothing of them, and waits until the node takes no more from engines.
async fn stop_readers(
    fleet: &TestFleet,
    caller: &TestCaller,
    tokens: u32,
    streams: u32,
) -> Option<Vec<OpenStream>> {
    let address = fleet.node_addresses[0];
    let requests: Vec<_> =
        (0..streams).map(|lot| chat_request(&format!("lot {lot}"), tokens)).collect();
    let open = join_all(requests.iter().map(|request| caller.open_stream(address, request))).await;
    let open: Option<Vec<OpenStream>> = open.into_iter().collect();
    // With limits the streams are detached; without limits they run to their end.
    let is_still = wait_until(Duration::from_secs(30), async || {
        let status = fleet.node_status(0).await.unwrap_or_default();
        fleet.running() == 0 && status["in_flight"] == 0
    })
    .await;
    // The last answers' buffers are freed after their slots.
    compio::time::sleep(Duration::from_millis(500)).await;
    open.filter(|_| is_still)
}

fn spec(program: PathBuf, has_limits: bool) -> FleetSpec {
    let limits = if has_limits {
        LimitSettings::default()
    } else {
        LimitSettings {
            stream_buffer_bytes: u32::MAX,
            total_buffer_bytes: u64::from(u32::MAX),
            stall_timeout_ms: HOUR_MS,
            ..LimitSettings::default()
        }
    };
    FleetSpec {
        nodes: 1,
        slots: 256,
        cold_slots: 256,
        engine: EngineOptions {
            first_token_delay: Duration::from_millis(1),
            token_interval: Duration::from_micros(100),
            event_padding_bytes: PADDING,
            ..EngineOptions::default()
        },
        limits,
        node_binary: Some(program),
        ..FleetSpec::default()
    }
}
