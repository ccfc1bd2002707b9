//! Front-end cost: what a node adds to a direct connection, requests/s a core, and memory for each
//! connection.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_testkit::{ChildProcess, SERVICE, chat_request, pin_current_thread};
use futures_util::future::join_all;
use gumdrop::Options;

use crate::fast_caller::{FastCaller, StreamSample};
use crate::figures::{percentile, spread};
use crate::process_fleet::ProcessFleet;

const FIRST_TOKEN_MS: u64 = 20;
/// Time between tokens that the planned size asks for.
const TOKEN_MS: u64 = 27;
const TOKENS: u32 = 64;
/// Pairs of a direct run and a run through the node; taking turns spreads the machine's other load
/// over both.
const ROUNDS: usize = 3;
const NODE_PROCESSOR: usize = 1;
const ENGINE_PROCESSOR: usize = 2;
const CALLER_PROCESSOR: usize = 3;
/// Connections with one request under way each, for requests/s.
const BUSY_CONNECTIONS: usize = 64;
const IDLE_CONNECTIONS: usize = 2000;
const MEMORY_STREAMS: usize = 1000;
/// Time until buffers of new connections are in use.
const SETTLE: Duration = Duration::from_secs(1);

/// Options of `front`.
#[derive(Debug, Options)]
pub(crate) struct FrontOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "streams at once", default = "200")]
    streams: usize,
    #[options(help = "duration of each run in s", default = "6")]
    seconds: u64,
    #[options(help = "command put before the node's binary, for a profiler")]
    node_command: String,
}

/// Runs the measurement and prints its figures.
pub(crate) async fn run(options: &FrontOptions) {
    let start = async || ProcessFleet::start(FIRST_TOKEN_MS, TOKEN_MS, &options.node_command).await;
    // The allocator keeps memory that a node once used, so each figure needs a new process.
    measure_idle_memory(&start().await).await;
    measure_stream_memory(&start().await).await;
    let fleet = start().await;
    let pinned = [
        fleet.node.pin_to_cpu(NODE_PROCESSOR),
        fleet.engine.pin_to_cpu(ENGINE_PROCESSOR),
        pin_current_thread(CALLER_PROCESSOR),
    ];
    println!("pinned: {}", pinned.iter().all(Result::is_ok));
    measure_delay(&fleet, options).await;
    let chat = Bytes::from(serde_json::to_vec(&chat_request("short", 1)).expect("JSON"));
    let time = Duration::from_secs(options.seconds);
    measure_rate(&fleet, "short completions", "/v1/chat/completions", &chat, time).await;
    let path = format!("/v1/services/{SERVICE}/price");
    measure_rate(&fleet, "idempotent service calls", &path, &Bytes::from("{}"), time).await;
}

async fn measure_delay(fleet: &ProcessFleet, options: &FrontOptions) {
    let time = Duration::from_secs(options.seconds);
    let (mut direct, mut through) = (Vec::new(), Vec::new());
    let mut node_time = Duration::ZERO;
    for _ in 0..ROUNDS {
        direct.extend(stream_for(fleet.engine_address, options.streams, time).await);
        let before = fleet.node.cpu_time();
        through.extend(stream_for(fleet.node_address, options.streams, time).await);
        node_time += fleet.node.cpu_time() - before;
    }
    println!(
        "streams={} whole answers: direct {} node {}",
        options.streams,
        direct.len(),
        through.len()
    );
    let first = |samples: &[StreamSample]| -> Vec<f64> {
        samples.iter().map(|sample| sample.first_token_ms).collect()
    };
    let token = |samples: &[StreamSample]| -> Vec<f64> {
        samples.iter().flat_map(|sample| sample.token_ms.clone()).collect()
    };
    print_added("first token", &mut first(&direct), &mut first(&through), 2.0);
    print_added("token", &mut token(&direct), &mut token(&through), 1.0);
    let tokens: usize = through.iter().map(|sample| sample.token_ms.len() + 1).sum();
    let cost_us = node_time.as_secs_f64() * 1e6 / tokens.max(1) as f64;
    println!("node processor time: {cost_us:.1} us a token over {tokens} tokens");
}

fn print_added(name: &str, direct: &mut [f64], through: &mut [f64], target_ms: f64) {
    let (direct, through) = (spread(direct), spread(through));
    println!(
        "{name}: direct p50/p95 {:.3}/{:.3} ms, node {:.3}/{:.3} ms, added {:.3}/{:.3} ms \
         (target at p95: {target_ms} ms)",
        direct[0],
        direct[1],
        through[0],
        through[1],
        through[0] - direct[0],
        through[1] - direct[1],
    );
}

/// Streams answers over `streams` connections for `time`. Starts are spread over the time of one
/// answer, as those of independent callers are.
async fn stream_for(address: SocketAddr, streams: usize, time: Duration) -> Vec<StreamSample> {
    let samples = Rc::new(RefCell::new(Vec::new()));
    let until = Instant::now() + time;
    let answer_time = Duration::from_millis(FIRST_TOKEN_MS + TOKEN_MS * u64::from(TOKENS));
    let callers = (0..streams).map(|index| {
        let samples = samples.clone();
        async move {
            compio::time::sleep(answer_time.mul_f64(index as f64 / streams as f64)).await;
            let mut caller = FastCaller::connect(address).await?;
            let request = chat_request(&format!("stream {index}"), TOKENS);
            let body = Bytes::from(serde_json::to_vec(&request).ok()?);
            while Instant::now() < until {
                let sample = caller.stream(&body).await?;
                samples.borrow_mut().push(sample);
            }
            Some(())
        }
    });
    let ends = join_all(callers).await;
    let failures = ends.iter().filter(|end| end.is_none()).count();
    if failures > 0 {
        println!("streams that broke off at {address}: {failures}");
    }
    samples.take()
}

async fn measure_rate(fleet: &ProcessFleet, name: &str, path: &str, body: &Bytes, time: Duration) {
    let done = Rc::new(Cell::new(0_u64));
    let latencies = Rc::new(RefCell::new(Vec::new()));
    let started = Instant::now();
    let before = fleet.node.cpu_time();
    let callers = (0..BUSY_CONNECTIONS).map(|_| {
        let (done, latencies) = (done.clone(), latencies.clone());
        async move {
            let mut caller = FastCaller::connect(fleet.node_address).await?;
            while started.elapsed() < time {
                let sent = Instant::now();
                caller.call(path, body).await?;
                done.set(done.get() + 1);
                latencies.borrow_mut().push(sent.elapsed().as_secs_f64() * 1e3);
            }
            Some(())
        }
    });
    let failures = join_all(callers).await.iter().filter(|end| end.is_none()).count();
    let used = (fleet.node.cpu_time() - before).as_secs_f64();
    let (count, wall) = (done.get() as f64, started.elapsed().as_secs_f64());
    let mut latencies = latencies.take();
    println!(
        "{name}: {:.0} requests/s over {BUSY_CONNECTIONS} connections, node busy {:.0}%, \
         {:.0} requests/s a core, p95 {:.1} ms, failures {failures}",
        count / wall,
        100.0 * used / wall,
        count / used,
        percentile(&mut latencies, 0.95),
    );
}

async fn measure_idle_memory(fleet: &ProcessFleet) {
    let empty = fleet.node.resident_bytes();
    println!("resident memory without connections: {:.1} MB", empty as f64 / 1e6);
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        let Some(mut caller) = FastCaller::connect(fleet.node_address).await else { break };
        // A connection that has carried a request has its buffers.
        let _ = caller.call(&format!("/v1/services/{SERVICE}/price"), &Bytes::from("{}")).await;
        idle.push(caller);
    }
    compio::time::sleep(SETTLE).await;
    print_memory("idle connection", &fleet.node, empty, idle.len());
}

async fn measure_stream_memory(fleet: &ProcessFleet) {
    let empty = fleet.node.resident_bytes();
    let streams = compio::runtime::spawn(stream_long(fleet.node_address));
    compio::time::sleep(SETTLE * 3).await;
    print_memory("streaming connection", &fleet.node, empty, MEMORY_STREAMS);
    let whole = streams.await.unwrap_or(0);
    println!("whole answers of {MEMORY_STREAMS} streams: {whole}");
}

/// Streams long answers at once; the starts are 1 ms apart. Returns how many were whole.
async fn stream_long(address: SocketAddr) -> usize {
    let callers = (0..MEMORY_STREAMS).map(|index| async move {
        compio::time::sleep(Duration::from_millis(index as u64)).await;
        let mut caller = FastCaller::connect(address).await?;
        let request = chat_request(&format!("memory {index}"), 128);
        caller.stream(&Bytes::from(serde_json::to_vec(&request).ok()?)).await
    });
    join_all(callers).await.iter().flatten().count()
}

fn print_memory(name: &str, node: &ChildProcess, empty: u64, count: usize) {
    let resident = node.resident_bytes();
    let each = resident.saturating_sub(empty) as f64 / count.max(1) as f64 / 1024.0;
    println!("{count} x {name}: resident {:.1} MB, {each:.1} KiB each", resident as f64 / 1e6);
}
