//! What callers get at the end of a process, and when a connection ends with unread bytes.

mod common;

use std::time::Duration;

use common::{API_KEY, HOST, TestPlatform};
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use compio::time::sleep;
use futures_util::future::{join, join_all};
use serde_json::{Value, json};

const CALLERS: u64 = 24;
const MAX_BODY_BYTES: usize = 6_000_000;
/// More than the memory of a gateway with this limit lets one body have.
const HUGE_BODY_BYTES: usize = 5_500_000;
const MEMORY_MB: u32 = 32;
/// Limit of descriptors of a gateway, and more idle connections than it permits callers.
const MAX_FDS: u64 = 400;
const IDLE_CONNECTIONS: usize = 150;

fn request_head(path: &str, key: &str, id: &str, body_bytes: usize) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {key}\r\n\
         x-eelgrassdeal-request-id: {id}\r\nx-eelgrassdeal-deadline-ms: 8000\r\n\
         content-length: {body_bytes}\r\n\r\n"
    )
    .into_bytes()
}

/// Reads a response with a length. Returns its head, or how the connection ended before its end.
async fn read_answer(stream: &mut TcpStream) -> Result<String, String> {
    let mut received = Vec::new();
    loop {
        let BufResult(read, bytes) = stream.read(Vec::with_capacity(16 * 1024)).await;
        match read {
            Ok(0) => return Err(format!("closed after {} bytes", received.len())),
            Ok(_) => received.extend_from_slice(&bytes),
            Err(error) => return Err(format!("{error} after {} bytes", received.len())),
        }
        let text = String::from_utf8_lossy(&received).to_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        if body.len() >= length.expect("a length").parse().expect("a number") {
            return Ok(head.to_owned());
        }
    }
}

/// Sends requests, each in two pieces, until the node refuses connections. Keeps a connection until a
/// response says that it ends. Returns how connections ended before a response.
async fn call_until_refused(front: &str, caller: u64) -> Vec<String> {
    let (mut losses, mut number) = (Vec::new(), 0);
    while let Ok(mut stream) = TcpStream::connect(front).await {
        loop {
            number += 1;
            let mut head = request_head("/book/x", API_KEY, &format!("c{caller}-{number}"), 0);
            let rest = head.split_off(60);
            let _ = stream.write_all(head).await;
            sleep(Duration::from_millis(caller % 7)).await;
            let _ = stream.write_all(rest).await;
            match read_answer(&mut stream).await {
                Ok(head) if head.contains("connection: close") => break,
                Ok(_) => {}
                Err(end) => {
                    losses.push(format!("request {number} of {caller}: {end}"));
                    break;
                }
            }
        }
    }
    losses
}

/// A stopping node exited beside callers whose requests were refused between two looks at what is in
/// progress, and reset their connections.
#[compio::test]
async fn requests_up_to_the_end_of_a_node_are_answered() {
    let platform = TestPlatform::new().await.with_plain_workers(2).await;
    let mut platform = platform.with_gateways(1).await;
    let front = platform.gateways[0].front.clone();
    let callers = (0..CALLERS).map(|caller| call_until_refused(&front, caller));
    let stop = async {
        sleep(Duration::from_millis(500)).await;
        platform.gateways[0].terminate();
    };
    let (losses, ()) = join(join_all(callers), stop).await;
    assert_eq!(losses.concat(), Vec::<String>::new());
    assert!(platform.gateways[0].exits_successfully().await);
}

/// Connections beyond the limit waited in the system's queue until the exit reset them.
#[compio::test]
async fn request_on_a_connection_beyond_the_limit_is_refused_at_a_stop() {
    let platform = TestPlatform::new().await.with_max_fds(MAX_FDS).with_plain_workers(1).await;
    let mut platform = platform.with_gateways(1).await;
    let front = platform.gateways[0].front.clone();
    let connect = async || TcpStream::connect(&*front).await.expect("a connection");
    let idle = join_all((0..IDLE_CONNECTIONS).map(|_| connect())).await;
    let mut stream = connect().await;
    stream.write_all(request_head("/book/x", API_KEY, "queued", 0)).await.0.expect("sent");
    platform.gateways[0].terminate();
    let answer = read_answer(&mut stream).await;
    assert!(answer.as_ref().is_ok_and(|head| head.starts_with("http/1.1 503 ")), "{answer:?}");
    assert!(platform.gateways[0].exits_successfully().await);
    drop(idle);
}

/// A stopping node exited in the middle of a head, which no handler had seen.
#[compio::test]
async fn request_whose_head_is_in_two_parts_is_answered_by_a_stopping_node() {
    let mut platform = TestPlatform::new().await.with_gateways(1).await;
    let front = &*platform.gateways[0].front;
    let mut stream = TcpStream::connect(front).await.expect("a connection");
    platform.gateways[0].terminate();
    sleep(Duration::from_millis(1_500)).await;
    let mut head = request_head("/book/x", API_KEY, "parts", 0);
    let rest = head.split_off(60);
    stream.write_all(head).await.0.expect("sent");
    sleep(Duration::from_millis(2_000)).await;
    let _ = stream.write_all(rest).await;
    let answer = read_answer(&mut stream).await;
    assert!(answer.as_ref().is_ok_and(|head| head.starts_with("http/1.1 503 ")), "{answer:?}");
    assert!(platform.gateways[0].exits_successfully().await);
}

/// The log ended before the connections.
#[compio::test]
async fn request_that_the_end_of_a_process_cuts_has_a_line() {
    let mut platform = TestPlatform::new().await.with_gateways(1).await;
    // Longer than the time that a stopping node has, which waits for the rest of a head.
    let limits = json!({ "max_header_bytes": 16384, "max_body_bytes": MAX_BODY_BYTES,
        "header_timeout_ms": 60_000, "idle_timeout_ms": 15_000 });
    platform.write_config_with_limits(50, &[API_KEY], limits);
    sleep(Duration::from_secs(1)).await;
    let front = &*platform.gateways[0].front;
    let mut stream = TcpStream::connect(front).await.expect("a connection");
    let mut head = request_head("/book/x", API_KEY, "half", 0);
    head.truncate(60);
    stream.write_all(head).await.0.expect("sent");
    platform.gateways[0].terminate();
    assert!(platform.gateways[0].exits_successfully().await);
    let log = platform.gateways[0].log();
    let line = log.lines().find(|line| line.contains("event=unanswered"));
    assert!(line.is_some_and(|line| line.contains("phase=head")), "{line:?}");
}

/// Sends a body in pieces, longer than a second, and reads the response only after it.
async fn send_before_reading(front: &str, path: &str, key: &str, bytes: usize) -> String {
    let mut stream = TcpStream::connect(front).await.expect("a connection");
    stream.write_all(request_head(path, key, "slow", bytes)).await.0.expect("sent");
    for piece in 1..=20 {
        if let Err(error) = stream.write_all(vec![b'x'; bytes / 20]).await.0 {
            return format!("{error} in piece {piece}");
        }
        sleep(Duration::from_millis(150)).await;
    }
    let head = read_answer(&mut stream).await.unwrap_or_else(|end| end);
    head.split(' ').nth(1).unwrap_or(&head).to_owned()
}

/// Callers that read only after the whole body found their connection reset while they sent it.
#[compio::test]
async fn refusal_reaches_a_caller_that_still_sends_the_body() {
    let platform = TestPlatform::new().await.with_memory_mb(MEMORY_MB);
    platform.write_config_with_bodies(2, &[API_KEY], MAX_BODY_BYTES);
    let platform = platform.with_gateways(1).await;
    let front = platform.gateways[0].front.clone();
    let unauthorized = send_before_reading(&front, "/book/x", "none", 200_000);
    let unknown = send_before_reading(&front, "/nowhere/x", API_KEY, 200_000);
    let too_large = send_before_reading(&front, "/book/x", API_KEY, MAX_BODY_BYTES + 20);
    let no_memory = send_before_reading(&front, "/book/x", API_KEY, HUGE_BODY_BYTES);
    let ends = join(join(unauthorized, unknown), join(too_large, no_memory)).await;
    let ends = [ends.0.0, ends.0.1, ends.1.0, ends.1.1];
    assert_eq!(ends, ["401", "404", "413", "503"]);
}

/// The silence timeout that follows from such a configuration overflowed, and every stream's handler
/// panicked.
#[compio::test]
async fn streams_are_served_under_a_configuration_with_endless_steps() {
    let platform = TestPlatform::new().await.with_engines(2, 3).await.with_gateways(1).await;
    platform.wait_serving(1).await;
    let rows = platform.store.table_values("op");
    let mut config: Value = serde_json::from_slice(&rows["config"]).expect("JSON");
    config["version"] = json!(2);
    let engine = &mut config["services"][0]["engine"];
    engine["step_ms"] = json!(1e12);
    engine["models"][0]["pace"] = json!(1e12);
    platform.store.put("op", "config", config.to_string().as_bytes());
    let gateway = &platform.gateways[0];
    let is_applied = async || gateway.log().contains("event=config revision=2");
    platform.wait_until("the configuration is applied", is_applied).await;
    let answer = platform.send_prompt(0, "endless", &["a1"]).await;
    assert_eq!(answer.expect("a response").status, 200);
    assert!(!gateway.log().contains("event=panic"));
}
