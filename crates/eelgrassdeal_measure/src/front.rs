//! Measures the cost of a node in front of an engine: added latency, requests/s per core, and
//! memory per connection.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_testkit::{ChildProcess, SERVICE, chat_request, pin_current_thread};
use futures_util::future::join_all;
use gumdrop::Options;

use crate::low_overhead_client::{LowOverheadClient, StreamSample};
use crate::process_fleet::ProcessFleet;
use crate::stats::{p50_p95_max, percentile};

/// Delay of the engine before the first token.
const FIRST_TOKEN_MS: u64 = 20;
/// Interval between the tokens of the engine, as required of engines in a fleet of the planned size
/// (410 nodes, 212 replicas).
const TOKEN_MS: u64 = 27;
/// Tokens of each response in the latency measurement.
const TOKENS: u32 = 64;
/// Number of pairs of a direct run and a run through the node. The runs alternate, so that other
/// load on the machine affects both alike.
const ROUND_COUNT: usize = 3;
/// CPU to which the node is pinned.
const NODE_CPU: usize = 1;
/// CPU to which the engine is pinned.
const ENGINE_CPU: usize = 2;
/// CPU to which the thread of the clients is pinned.
const CLIENT_CPU: usize = 3;
/// Connections in the throughput measurement; each has one request in flight.
const ACTIVE_CONNECTIONS: usize = 64;
const IDLE_CONNECTIONS: usize = 2000;
/// Concurrent streams in the memory measurement.
const MEMORY_STREAMS: usize = 1000;
/// Delay until the buffers of new connections are in use.
const SETTLE_DELAY: Duration = Duration::from_secs(1);

/// Options of `front`.
#[derive(Debug, Options)]
pub(crate) struct FrontOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "number of concurrent streams", default = "200")]
    streams: usize,
    #[options(help = "duration of each run in s", default = "6")]
    seconds: u64,
    #[options(
        help = "command that gets the node's command line as arguments, for example a profiler"
    )]
    node_command: String,
}

/// Runs the measurements and prints the results.
pub(crate) async fn run(options: &FrontOptions) {
    let start = async || ProcessFleet::start(FIRST_TOKEN_MS, TOKEN_MS, &options.node_command).await;
    // The allocator keeps memory that a node has used before, so each memory measurement needs a
    // new process.
    measure_idle_memory(&start().await).await;
    measure_stream_memory(&start().await).await;
    let fleet = start().await;
    let pinned = [
        fleet.node.pin_to_cpu(NODE_CPU),
        fleet.engine.pin_to_cpu(ENGINE_CPU),
        pin_current_thread(CLIENT_CPU),
    ];
    println!("node, engine and clients pinned to a CPU each: {}", pinned.iter().all(Result::is_ok));
    measure_added_latency(&fleet, options).await;
    let chat = Bytes::from(serde_json::to_vec(&chat_request("short", 1)).expect("JSON"));
    let duration = Duration::from_secs(options.seconds);
    measure_throughput(&fleet, "short completions", "/v1/chat/completions", &chat, duration).await;
    let path = format!("/v1/services/{SERVICE}/price");
    measure_throughput(&fleet, "idempotent service calls", &path, &Bytes::from("{}"), duration)
        .await;
}

/// Measures the latency that the node adds to the first token and to each further token, and its
/// CPU time per token.
async fn measure_added_latency(fleet: &ProcessFleet, options: &FrontOptions) {
    let duration = Duration::from_secs(options.seconds);
    let (mut direct, mut via_node) = (Vec::new(), Vec::new());
    let mut node_cpu_time = Duration::ZERO;
    for _ in 0..ROUND_COUNT {
        direct.extend(stream_repeatedly(fleet.engine_address, options.streams, duration).await);
        let before = fleet.node.cpu_time();
        via_node.extend(stream_repeatedly(fleet.node_address, options.streams, duration).await);
        node_cpu_time += fleet.node.cpu_time() - before;
    }
    println!(
        "streams={} complete responses: direct {} node {}",
        options.streams,
        direct.len(),
        via_node.len()
    );
    let first = |samples: &[StreamSample]| -> Vec<f64> {
        samples.iter().map(|sample| sample.time_to_first_token_ms).collect()
    };
    let token = |samples: &[StreamSample]| -> Vec<f64> {
        samples.iter().flat_map(|sample| sample.token_delays_ms.clone()).collect()
    };
    print_added_latency("first token", &mut first(&direct), &mut first(&via_node), 2.0);
    print_added_latency("token", &mut token(&direct), &mut token(&via_node), 1.0);
    let tokens: usize = via_node.iter().map(|sample| sample.token_delays_ms.len() + 1).sum();
    let cpu_us_per_token = node_cpu_time.as_secs_f64() * 1e6 / tokens.max(1) as f64;
    println!("node CPU time: {cpu_us_per_token:.1} us per token over {tokens} tokens");
}

/// Prints percentiles of the delays in ms without and with the node, and their differences.
fn print_added_latency(name: &str, direct: &mut [f64], via_node: &mut [f64], target_ms: f64) {
    let (direct, via_node) = (p50_p95_max(direct), p50_p95_max(via_node));
    println!(
        "{name}: direct p50/p95 {:.3}/{:.3} ms, node {:.3}/{:.3} ms, added {:.3}/{:.3} ms \
         (target at p95: {target_ms} ms)",
        direct[0],
        direct[1],
        via_node[0],
        via_node[1],
        via_node[0] - direct[0],
        via_node[1] - direct[1],
    );
}

/// Streams responses over `streams` connections, one after the other on each, until `duration` is
/// over. The first requests are spread over the duration of one response, as those of independent
/// clients are.
async fn stream_repeatedly(
    address: SocketAddr,
    streams: usize,
    duration: Duration,
) -> Vec<StreamSample> {
    let samples = Rc::new(RefCell::new(Vec::new()));
    let stop_at = Instant::now() + duration;
    let response_duration = Duration::from_millis(FIRST_TOKEN_MS + TOKEN_MS * u64::from(TOKENS));
    let clients = (0..streams).map(|index| {
        let samples = samples.clone();
        async move {
            compio::time::sleep(response_duration.mul_f64(index as f64 / streams as f64)).await;
            let mut client = LowOverheadClient::connect(address).await?;
            let request = chat_request(&format!("stream {index}"), TOKENS);
            let body = Bytes::from(serde_json::to_vec(&request).ok()?);
            while Instant::now() < stop_at {
                let sample = client.stream(&body).await?;
                samples.borrow_mut().push(sample);
            }
            Some(())
        }
    });
    let results = join_all(clients).await;
    let failed_connections = results.iter().filter(|result| result.is_none()).count();
    if failed_connections > 0 {
        println!("connections to {address} that ended with a failure: {failed_connections}");
    }
    samples.take()
}

/// Measures how many requests the node completes per second of real time, and per second of its CPU
/// time.
async fn measure_throughput(
    fleet: &ProcessFleet,
    name: &str,
    path: &str,
    body: &Bytes,
    duration: Duration,
) {
    let completed = Rc::new(Cell::new(0_u64));
    let latencies = Rc::new(RefCell::new(Vec::new()));
    let started = Instant::now();
    let before = fleet.node.cpu_time();
    let clients = (0..ACTIVE_CONNECTIONS).map(|_| {
        let (completed, latencies) = (completed.clone(), latencies.clone());
        async move {
            let mut client = LowOverheadClient::connect(fleet.node_address).await?;
            while started.elapsed() < duration {
                let sent = Instant::now();
                client.call(path, body).await?;
                completed.set(completed.get() + 1);
                latencies.borrow_mut().push(sent.elapsed().as_secs_f64() * 1e3);
            }
            Some(())
        }
    });
    // A connection ends at its first failure, so this counts connections and not requests.
    let failed_connections =
        join_all(clients).await.iter().filter(|result| result.is_none()).count();
    let cpu_seconds = (fleet.node.cpu_time() - before).as_secs_f64();
    let (count, elapsed_seconds) = (completed.get() as f64, started.elapsed().as_secs_f64());
    let mut latencies = latencies.take();
    println!(
        "{name}: {:.0} requests/s over {ACTIVE_CONNECTIONS} connections, node busy {:.0}%, \
         {:.0} requests/s per core, p95 {:.1} ms, failed connections {failed_connections}",
        count / elapsed_seconds,
        100.0 * cpu_seconds / elapsed_seconds,
        count / cpu_seconds,
        percentile(&mut latencies, 0.95),
    );
}

async fn measure_idle_memory(fleet: &ProcessFleet) {
    let bytes_without_connections = fleet.node.resident_bytes();
    println!(
        "resident memory without connections: {:.1} MB",
        bytes_without_connections as f64 / 1e6
    );
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        let Some(mut client) = LowOverheadClient::connect(fleet.node_address).await else { break };
        // The node allocates the buffers of a connection at its first request.
        let _ = client.call(&format!("/v1/services/{SERVICE}/price"), &Bytes::from("{}")).await;
        idle.push(client);
    }
    compio::time::sleep(SETTLE_DELAY).await;
    print_memory("idle connection", &fleet.node, bytes_without_connections, idle.len());
}

async fn measure_stream_memory(fleet: &ProcessFleet) {
    let bytes_without_connections = fleet.node.resident_bytes();
    let streams = compio::runtime::spawn(stream_concurrently(fleet.node_address));
    compio::time::sleep(SETTLE_DELAY * 3).await;
    print_memory("streaming connection", &fleet.node, bytes_without_connections, MEMORY_STREAMS);
    let complete = streams.await.unwrap_or(0);
    println!("complete responses of {MEMORY_STREAMS} streams: {complete}");
}

/// Streams long responses concurrently, each started 1 ms after the previous one. Returns the
/// number of complete responses.
async fn stream_concurrently(address: SocketAddr) -> usize {
    let clients = (0..MEMORY_STREAMS).map(|index| async move {
        compio::time::sleep(Duration::from_millis(index as u64)).await;
        let mut client = LowOverheadClient::connect(address).await?;
        let request = chat_request(&format!("memory {index}"), 128);
        client.stream(&Bytes::from(serde_json::to_vec(&request).ok()?)).await
    });
    join_all(clients).await.iter().flatten().count()
}

/// Prints the growth of the resident memory since there were no connections.
fn print_memory(name: &str, node: &ChildProcess, bytes_without_connections: u64, count: usize) {
    let resident = node.resident_bytes();
    let kib_per_connection =
        resident.saturating_sub(bytes_without_connections) as f64 / count.max(1) as f64 / 1024.0;
    println!(
        "{count} x {name}: resident {:.1} MB, {kib_per_connection:.1} KiB each",
        resident as f64 / 1e6
    );
}
