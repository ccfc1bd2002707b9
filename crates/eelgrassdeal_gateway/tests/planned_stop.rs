//! What callers get whose requests a node has when it is told to stop.

mod common;

use std::time::{Duration, Instant};

use common::scripted_worker::{AnswerEnd, ScriptedAnswer, ScriptedRequest, start_scripted_worker};
use common::{API_KEY, HOST, PLAIN_SERVICE, TestPlatform};
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use eelgrassdeal_standins::WorkerOptions;
use futures_util::future::join;
use rustix::net::sockopt::set_socket_recv_buffer_size;

/// Later than a stopping node takes requests, and early enough for the rest of a body.
const LATE_IN_GRACE: Duration = Duration::from_millis(4_500);
/// Longer than what is then left of the grace.
const LONG_RUN: Duration = Duration::from_secs(4);
/// Time from SIGTERM to SIGKILL.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
const BODY: &str = "a body";
/// More than the buffers of a connection hold.
const LARGE_BODY_BYTES: usize = 8_000_000;
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Time in which a caller reads a large body.
const READ_TIME: Duration = Duration::from_secs(6);

/// The head of a caller's request with [`BODY`], whose connection ends after the response.
fn request_head(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {API_KEY}\r\n\
         x-eelgrassdeal-request-id: {id}\r\nx-eelgrassdeal-deadline-ms: 12000\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        BODY.len()
    )
}

async fn write(stream: &mut TcpStream, text: String) {
    stream.write_all(text.into_bytes()).await.0.expect("the node reads");
}

/// Reads until the connection ends, no faster than all of `expected` bytes in `period`.
async fn read_slowly(stream: &mut TcpStream, expected: usize, period: Duration) -> Vec<u8> {
    let (started, mut received) = (Instant::now(), Vec::new());
    loop {
        let BufResult(count, buffer) = stream.read(Vec::with_capacity(64 * 1024)).await;
        match count {
            Ok(0) | Err(_) => return received,
            Ok(_) => received.extend_from_slice(&buffer),
        }
        let due = period.mul_f64(received.len() as f64 / expected as f64);
        compio::time::sleep(due.saturating_sub(started.elapsed())).await;
    }
}

async fn platform_with_slow_worker(run_time: Duration) -> TestPlatform {
    let platform = TestPlatform::new().await;
    let options = WorkerOptions::new("i-slow", PLAIN_SERVICE, "zone-a").with_events(1, run_time);
    platform.start_worker(options).await;
    platform.with_gateways(1).await
}

/// A request that may not be repeated would run, and its caller would not learn of it.
#[compio::test]
async fn request_whose_body_ends_late_in_the_grace_is_refused_and_not_passed_on() {
    let platform = platform_with_slow_worker(LONG_RUN).await;
    let mut stream = TcpStream::connect(&*platform.gateways[0].front).await.expect("a connection");
    write(&mut stream, request_head("/book/x", "late") + &BODY[..1]).await;
    compio::time::sleep(Duration::from_millis(200)).await;
    platform.gateways[0].terminate();
    compio::time::sleep(LATE_IN_GRACE).await;
    write(&mut stream, BODY[1..].to_owned()).await;
    let answer = read_slowly(&mut stream, 1, Duration::ZERO).await;
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
    assert_eq!(platform.runs_for_request("late"), []);
}

/// A caller must learn that the outcome is unknown, and not find its connection closed.
#[compio::test]
async fn request_that_outlasts_the_grace_is_answered_before_the_node_ends() {
    let platform = platform_with_slow_worker(GRACE_PERIOD * 2).await;
    platform.gateways[0].terminate();
    compio::time::sleep(Duration::from_millis(1_500)).await;
    let answer = platform.send_request(0, "/book/x", "long", API_KEY).await;
    assert_eq!(answer.expect("a response").status, 502);
    assert_eq!(platform.runs_for_request("long").len(), 1);
}

#[compio::test]
async fn response_that_a_caller_reads_slowly_is_written_whole_before_the_node_ends() {
    let platform = TestPlatform::new().await;
    let script = |request: &ScriptedRequest| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-eelgrassdeal-request-id: {}\r\n\
             x-eelgrassdeal-response-seal: seal\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n",
            request.id
        );
        let bytes = [head.into_bytes(), vec![b'x'; LARGE_BODY_BYTES]].concat();
        ScriptedAnswer::new(bytes, AnswerEnd::KeepOpen)
    };
    start_scripted_worker(&platform.store, "i-large", script).await;
    let mut platform = platform.with_gateways(1).await;
    let mut stream = TcpStream::connect(&*platform.gateways[0].front).await.expect("a connection");
    set_socket_recv_buffer_size(&stream, RECEIVE_BUFFER_BYTES).expect("an open socket");
    write(&mut stream, request_head("/look/x", "large") + BODY).await;
    let stop = async {
        compio::time::sleep(Duration::from_millis(500)).await;
        platform.gateways[0].terminate();
    };
    let read = read_slowly(&mut stream, LARGE_BODY_BYTES, READ_TIME);
    let (answer, ()) = join(read, stop).await;
    let head_end = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n").expect("a head");
    assert_eq!(answer.len() - head_end - 4, LARGE_BODY_BYTES);
    assert!(platform.gateways[0].exits_successfully().await);
}
