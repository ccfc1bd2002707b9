//! Connections that callers keep open between requests.

mod common;

use std::time::{Duration, Instant};

use common::{API_KEY, HOST, TestPlatform};
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use compio::time::{sleep, timeout};
use serde_json::json;

const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
const HEAD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Callers use connections that were idle for up to this part of the timeout.
const USED_FRACTION: f64 = 0.8;
/// Time in which a gateway has read a configuration.
const CONFIG_DELAY: Duration = Duration::from_secs(1);

fn request_text(id: &str, key: &str, body_bytes: usize) -> String {
    format!(
        "POST /book/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {key}\r\n\
         x-eelgrassdeal-request-id: {id}\r\nx-eelgrassdeal-deadline-ms: 8000\r\n\
         content-length: {body_bytes}\r\n\r\n"
    )
}

/// A caller's connection on which requests follow each other.
struct KeptConnection(TcpStream);

impl KeptConnection {
    async fn open(platform: &TestPlatform) -> Self {
        let front = platform.gateways[0].front.clone();
        Self(TcpStream::connect(&*front).await.expect("a connection"))
    }

    async fn write(&mut self, text: &str) {
        // Without an open connection the response is missing.
        let _ = self.0.write_all(text.as_bytes().to_vec()).await.0;
    }

    /// Reads one response, which is short; empty if the connection ends before it.
    async fn read(&mut self) -> String {
        let BufResult(_, head) = self.0.read(Vec::with_capacity(4_096)).await;
        String::from_utf8_lossy(&head).to_lowercase()
    }

    async fn call(&mut self, id: &str) -> String {
        self.write(&request_text(id, API_KEY, 0)).await;
        self.read().await
    }
}

/// The time for which a response allows its connection to be idle.
fn told_idle(response: &str) -> Option<Duration> {
    let line = response.lines().find_map(|line| line.strip_prefix("keep-alive: timeout="))?;
    Some(Duration::from_secs(line.trim().parse().ok()?))
}

fn write_timeouts(platform: &TestPlatform, version: u64, idle: Duration) {
    let limits = json!({ "max_header_bytes": 16384, "max_body_bytes": 65_536,
        "header_timeout_ms": HEAD_TIMEOUT.as_millis(), "idle_timeout_ms": idle.as_millis() });
    platform.write_config_with_limits(version, &[API_KEY], limits);
}

async fn platform_with_timeouts() -> TestPlatform {
    let platform = TestPlatform::new().await.with_plain_workers(1).await.with_gateways(1).await;
    write_timeouts(&platform, 50, IDLE_TIMEOUT);
    sleep(CONFIG_DELAY).await;
    platform
}

/// A request crossed the end of its connection, as its caller didn't know for how long to use it.
#[compio::test]
async fn callers_are_told_how_long_an_idle_connection_lasts() {
    let platform = platform_with_timeouts().await;
    let mut connection = KeptConnection::open(&platform).await;
    let response = connection.call("first").await;
    let told = told_idle(&response).unwrap_or_else(|| panic!("no idle time in {response:?}"));
    assert!(told > Duration::ZERO && told <= IDLE_TIMEOUT.mul_f64(USED_FRACTION), "{told:?}");

    sleep(told).await;
    // The idle time begins when the node has sent the response, before it is read here.
    let sent_at = Instant::now();
    let response = connection.call("later").await;
    assert!(response.starts_with("http/1.1 200 "), "{response:?}");
    let end = timeout(IDLE_TIMEOUT * 2, connection.read()).await;
    assert_eq!(end.as_deref(), Ok(""));
    assert!(sent_at.elapsed() >= IDLE_TIMEOUT, "{:?}", sent_at.elapsed());
}

/// One timer for both closed the connection in the middle of a head that came in time.
#[compio::test]
async fn head_after_a_long_idle_time_has_its_own_time() {
    let platform = platform_with_timeouts().await;
    let mut connection = KeptConnection::open(&platform).await;
    connection.call("first").await;
    sleep(IDLE_TIMEOUT.mul_f64(USED_FRACTION)).await;
    let text = request_text("slow", API_KEY, 0);
    let (start, rest) = text.split_at(40);
    connection.write(start).await;
    sleep(HEAD_TIMEOUT.mul_f64(0.8)).await;
    connection.write(rest).await;
    let response = connection.read().await;
    assert!(response.starts_with("http/1.1 200 "), "{response:?}");
}

/// The caller found its connection closed, and could not tell whether the request had run.
#[compio::test]
async fn head_that_comes_too_late_is_answered_as_not_run() {
    let platform = platform_with_timeouts().await;
    let mut connection = KeptConnection::open(&platform).await;
    connection.write(&request_text("late", API_KEY, 0)[..40]).await;
    let response = timeout(IDLE_TIMEOUT * 2, connection.read()).await.unwrap_or_default();
    assert!(response.starts_with("http/1.1 408 "), "{response:?}");
    assert!(response.contains("connection: close"), "{response:?}");
}

/// An empty line after a request counted as a head, which was then late.
#[compio::test]
async fn empty_line_between_requests_does_not_end_the_connection() {
    let platform = platform_with_timeouts().await;
    let mut connection = KeptConnection::open(&platform).await;
    let response = connection.call("first").await;
    connection.write("\r\n").await;
    sleep(told_idle(&response).expect("an idle time")).await;
    let response = connection.call("later").await;
    assert!(response.starts_with("http/1.1 200 "), "{response:?}");
}

/// Connections kept the idle timeout that was in force when they were accepted.
#[compio::test]
async fn open_connections_have_the_idle_timeout_of_a_new_configuration() {
    let platform = platform_with_timeouts().await;
    let short = Duration::from_millis(1_500);
    write_timeouts(&platform, 60, short);
    sleep(CONFIG_DELAY).await;
    let mut connection = KeptConnection::open(&platform).await;
    connection.call("first").await;
    write_timeouts(&platform, 70, IDLE_TIMEOUT);
    sleep(CONFIG_DELAY).await;
    connection.call("second").await;
    sleep(IDLE_TIMEOUT.mul_f64(USED_FRACTION)).await;
    let response = connection.call("third").await;
    assert!(response.starts_with("http/1.1 200 "), "{response:?}");

    // What a caller was told holds until its next request.
    write_timeouts(&platform, 80, short);
    sleep(IDLE_TIMEOUT.mul_f64(USED_FRACTION)).await;
    let response = connection.call("fourth").await;
    assert!(response.starts_with("http/1.1 200 "), "{response:?}");
}

/// A caller that reused the connection after such a refusal got no answer.
#[compio::test]
async fn refusal_before_the_body_is_read_says_that_the_connection_ends() {
    let platform = platform_with_timeouts().await;
    let mut connection = KeptConnection::open(&platform).await;
    connection.write(&request_text("unread", "unknown-key", 10_000)).await;
    let response = connection.read().await;
    assert!(response.starts_with("http/1.1 401 "), "{response:?}");
    assert!(response.contains("connection: close"), "{response:?}");

    let mut connection = KeptConnection::open(&platform).await;
    connection.write(&request_text("without-body", "unknown-key", 0)).await;
    let response = connection.read().await;
    assert!(response.starts_with("http/1.1 401 "), "{response:?}");
    assert!(!response.contains("connection: close"), "{response:?}");
    assert!(connection.call("next").await.starts_with("http/1.1 200 "));
}

/// The timer of the connection and its request become due together when the node goes on.
#[compio::test]
async fn request_that_came_while_the_node_stood_still_is_answered() {
    let platform = platform_with_timeouts().await;
    let mut connection = KeptConnection::open(&platform).await;
    connection.call("first").await;
    sleep(IDLE_TIMEOUT.mul_f64(USED_FRACTION)).await;
    platform.gateways[0].pause();
    connection.write(&request_text("meanwhile", API_KEY, 0)).await;
    sleep(Duration::from_secs(2)).await;
    platform.gateways[0].unpause();
    let response = connection.read().await;
    assert!(response.starts_with("http/1.1 200 "), "{response:?}");
}
