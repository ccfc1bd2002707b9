//! Measures the memory that a node holds for callers that have stopped reading.
//!
//! The node runs as a separate process, so that its resident set contains neither callers nor
//! fakes. For each number of streams the resident set is read after one stream was read to its end,
//! and again when no caller reads and the node receives no more bytes from engines. Then a second
//! wave of as many streams is opened, while the first wave still waits for its readers.
//!
//! With limits, the streams stall: the node ends their requests at the engines and removes the
//! queued events, until the readers continue. The allocator keeps the memory that the first wave
//! used before its streams stalled, so the growth by the second wave is the memory that a stalled
//! stream holds. The growth by the first wave, which also includes the kept memory, is compared with
//! the target. All values are in bytes per stream. The baseline is the same node with limits that
//! are never reached.

use std::path::PathBuf;
use std::time::Duration;

use eelgrassdeal_schema::settings::LimitSettings;
use eelgrassdeal_standins::EngineOptions;
use eelgrassdeal_testkit::{
    FleetSpec, OpenStream, TestCaller, TestFleet, chat_request, wait_until,
};
use futures_util::future::join_all;
use gumdrop::Options;

/// Greatest memory per stalled stream, as required by `docs/design.md`, section 1.3.
const TARGET_BYTES_PER_STREAM: u64 = 64 * 1024;
/// Padding of each event; the other bytes of an event are about 200.
const EVENT_PADDING_BYTES: usize = 2 * 1024;
const HOUR_MS: u32 = 3_600_000;

/// Options of `slow-readers`.
#[derive(Debug, Options)]
pub(crate) struct SlowReadersOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "path of eelgrassdeal-node; default: in the directory of this program",
        meta = "FILE"
    )]
    node: Option<PathBuf>,
    #[options(help = "number of tokens of each response", default = "3000")]
    tokens: u32,
}

/// Memory of the node for all streams of a wave, in bytes.
struct WaveMemory {
    /// Growth of the resident set by the first wave.
    first_wave_growth: u64,
    /// Growth of the resident set by the second wave.
    second_wave_growth: u64,
    /// Bytes queued for callers according to the status of the node, for one wave: half of those of
    /// both waves.
    reported_buffer: u64,
}

/// Measures 1, 50 and 200 streams that nobody reads, and prints a table. The column `counted` is
/// [`WaveMemory::reported_buffer`] per stream. Returns false if the target is missed or a
/// measurement failed.
pub(crate) async fn measure(options: &SlowReadersOptions) -> bool {
    let mut is_met = true;
    println!("streams  limits  first_wave  second_wave  counted  target");
    for streams in [1, 50, 200] {
        for has_limits in [true, false] {
            let Some(memory) = measure_waves(options, streams, has_limits).await else {
                println!("{streams:>7}  {has_limits:>6}  not measured");
                is_met = false;
                continue;
            };
            let divisor = u64::from(streams);
            let [first_growth, second_growth, reported_buffer] =
                [memory.first_wave_growth, memory.second_wave_growth, memory.reported_buffer]
                    .map(|bytes| bytes / divisor);
            println!(
                "{streams:>7}  {has_limits:>6}  {first_growth:>10}  {second_growth:>11}  \
                 {reported_buffer:>7}  {TARGET_BYTES_PER_STREAM}"
            );
            // A single stream is not compared with the target: its growth is within the noise of
            // the allocator, which takes memory in steps.
            is_met &= !has_limits || streams == 1 || first_growth <= TARGET_BYTES_PER_STREAM;
        }
    }
    is_met
}

/// Opens two waves of `stream_count` streams each. `None` if a step failed.
async fn measure_waves(
    options: &SlowReadersOptions,
    stream_count: u32,
    has_limits: bool,
) -> Option<WaveMemory> {
    let program = match &options.node {
        Some(program) => program.clone(),
        None => std::env::current_exe().ok()?.with_file_name("eelgrassdeal-node"),
    };
    let fleet = TestFleet::start_serving(fleet_spec(program, has_limits)).await;
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(Duration::from_secs(600));
    let address = fleet.node_addresses[0];
    let warm_up = caller.chat_without_retry(address, &chat_request("warm up", 100)).await;
    if !warm_up.is_complete {
        return None;
    }
    let before = resident_bytes(&fleet)?;
    let first_wave = open_unread_streams(&fleet, &caller, options.tokens, stream_count).await?;
    let after_first = resident_bytes(&fleet)?;
    let second_wave = open_unread_streams(&fleet, &caller, options.tokens, stream_count).await?;
    let after_second = resident_bytes(&fleet)?;
    let reported_buffer = fleet.node_status(0).await?["buffered_bytes"].as_u64()? / 2;
    drop((first_wave, second_wave));
    Some(WaveMemory {
        first_wave_growth: after_first.saturating_sub(before),
        second_wave_growth: after_second.saturating_sub(after_first),
        reported_buffer,
    })
}

fn resident_bytes(fleet: &TestFleet) -> Option<u64> {
    Some(fleet.node_processes[0].as_ref()?.resident_bytes())
}

/// Opens streams without reading from them, and waits until no engine runs a request and the node
/// has no request in flight. `None` if a stream was not opened or this is not reached within 30 s.
async fn open_unread_streams(
    fleet: &TestFleet,
    caller: &TestCaller,
    tokens: u32,
    stream_count: u32,
) -> Option<Vec<OpenStream>> {
    let address = fleet.node_addresses[0];
    // Arbitrary prompts, different for each stream of a wave.
    let requests: Vec<_> =
        (0..stream_count).map(|index| chat_request(&format!("lot {index}"), tokens)).collect();
    let open = join_all(requests.iter().map(|request| caller.open_stream(address, request))).await;
    let open: Option<Vec<OpenStream>> = open.into_iter().collect();
    // With limits, the streams stall. Without limits, the node buffers the complete responses.
    let is_idle = wait_until(Duration::from_secs(30), async || {
        let status = fleet.node_status(0).await.unwrap_or_default();
        fleet.running() == 0 && status["in_flight"] == 0
    })
    .await;
    // The buffers of the last responses are freed after their slots.
    compio::time::sleep(Duration::from_millis(500)).await;
    open.filter(|_| is_idle)
}

fn fleet_spec(program: PathBuf, has_limits: bool) -> FleetSpec {
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
            event_padding_bytes: EVENT_PADDING_BYTES,
            ..EngineOptions::default()
        },
        limits,
        node_binary: Some(program),
        ..FleetSpec::default()
    }
}
