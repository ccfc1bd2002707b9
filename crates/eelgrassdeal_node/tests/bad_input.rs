//! Bad input gets the answer of the table of error kinds, runs nothing, and harms no one else.

use std::net::SocketAddr;
use std::time::Duration;

use compio::io::{AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use eelgrassdeal_schema::settings::LimitSettings;
use eelgrassdeal_testkit::{ACCOUNT_KEY, FleetSpec, TestCaller, TestFleet, chat_request};
use futures_util::future::join_all;
use serde_json::Value;

const MAX_BODY_BYTES: u32 = 32 * 1024;
const MAX_HEADER_BYTES: u32 = 8 * 1024;
const MAX_CONNECTIONS: u32 = 8;
/// Much longer than any answer takes, and shorter than a timeout that is not enforced.
const PATIENCE: Duration = Duration::from_secs(20);
const CHAT: &str = "/v1/chat/completions";
const BOOK: &str = "/v1/services/desk/book";
const GOOD_CHAT: &str =
    r#"{"model":"appraiser","messages":[{"role":"user","content":"lot 1"}],"max_tokens":3}"#;
/// A UUIDv7 whose time is the beginning of 2020.
const OLD_KEY: &str = "016f5e66-e800-7000-8000-000000000000";
const UUID_V4: &str = "7f3c1f0e-6b5d-4c1a-9a55-0d6e1a2b3c4d";

/// Expected status, kind and outcome of an error answer.
type Expected = (u16, &'static str, &'static str);

const BAD_REQUEST: Expected = (400, "bad_request", "not_run");
const UNAUTHORIZED: Expected = (401, "unauthorized", "not_run");

/// Text of a request; its connection ends with the answer.
struct RawRequest {
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
}

impl RawRequest {
    fn new(path: &'static str, body: impl Into<String>) -> Self {
        Self { path, headers: Vec::new(), body: body.into() }
            .with("authorization", format!("Bearer {ACCOUNT_KEY}"))
    }

    fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.retain(|(known, _)| *known != name);
        self.headers.push((name, value.into()));
        self
    }

    fn without(mut self, name: &str) -> Self {
        self.headers.retain(|(known, _)| *known != name);
        self
    }

    fn head(&self) -> String {
        let mut text = format!(
            "POST {} HTTP/1.1\r\nhost: node\r\nconnection: close\r\ncontent-length: {}\r\n",
            self.path,
            self.body.len()
        );
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text + "\r\n"
    }

    async fn send(&self, address: SocketAddr) -> String {
        exchange(address, self.head() + &self.body).await
    }
}

/// Sends bytes and reads until the node closes the connection.
async fn exchange(address: SocketAddr, text: String) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the node listens");
    // The node may answer and stop reading before everything is sent.
    let _ = stream.write_all(text.into_bytes()).await;
    let read = stream.read_to_end(Vec::new());
    let (_, bytes) =
        compio::time::timeout(PATIENCE, read).await.expect("the connection ends").into();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn assert_refused(answer: &str, expected: Expected) {
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let body: Value = serde_json::from_str(body).unwrap_or_default();
    let text = |name: &str| body[name].as_str().unwrap_or_default();
    assert_eq!((status(answer), text("kind"), text("outcome")), expected, "{answer}");
    assert!(!text("request_id").is_empty(), "{answer}");
    assert!(answer.contains(&format!("x-request-id: {}", text("request_id"))), "{answer}");
}

fn service_runs(fleet: &TestFleet) -> usize {
    fleet.services.iter().map(|service| service.runs().len()).sum()
}

/// Sends each request and checks its answer, that nothing ran, and that the node still serves.
async fn check_all(fleet: &TestFleet, cases: Vec<(RawRequest, Expected)>) {
    let address = fleet.node_addresses[0];
    let runs = (fleet.runs(), service_runs(fleet));
    for (request, expected) in cases {
        assert_refused(&request.send(address).await, expected);
    }
    assert_eq!((fleet.runs(), service_runs(fleet)), runs, "a refused request ran");
    assert_serves(fleet).await;
}

async fn assert_serves(fleet: &TestFleet) {
    let caller = TestCaller::new(&fleet.node_addresses);
    let outcome = caller.chat_at(fleet.node_addresses[0], &chat_request("lot 2", 3)).await;
    assert!(outcome.is_whole, "{outcome:?}");
}

async fn start_fleet(limits: LimitSettings) -> TestFleet {
    let limits = LimitSettings {
        max_body_bytes: MAX_BODY_BYTES,
        max_header_bytes: MAX_HEADER_BYTES,
        locate_ttl_ms: 300,
        ..limits
    };
    let kv_tokens = 4_000;
    TestFleet::start_serving(FleetSpec { nodes: 1, kv_tokens, limits, ..FleetSpec::default() })
        .await
}

/// Guards against a chat completion that runs, has no answer or stops the node although it is
/// malformed.
#[compio::test]
async fn malformed_chat_completions_are_refused() {
    let fleet = start_fleet(LimitSettings::default()).await;
    let chat = |body: &str| RawRequest::new(CHAT, body);
    let large = "x".repeat(MAX_BODY_BYTES as usize + 1);
    let unknown_model = GOOD_CHAT.replace("appraiser", "other");
    let too_long = GOOD_CHAT.replace(":3}", ":4001}");
    let cases = vec![
        (chat(&large), (413, "body_too_large", "not_run")),
        (chat("{\"model\":"), BAD_REQUEST),
        (chat(""), BAD_REQUEST),
        (chat("7"), BAD_REQUEST),
        (chat(&"[".repeat(10_000)), BAD_REQUEST),
        (chat(r#"{"model":7,"messages":"lot"}"#), BAD_REQUEST),
        (chat(&GOOD_CHAT.replace(":3}", ":-3}")), BAD_REQUEST),
        (chat(r#"{"model":"appraiser","messages":[]}"#), BAD_REQUEST),
        (chat(r#"{"model":"appraiser"}"#), BAD_REQUEST),
        (chat(&unknown_model), (404, "unknown_model", "not_run")),
        (chat(&too_long), BAD_REQUEST),
    ];
    check_all(&fleet, cases).await;
}

/// Guards against a panic of the node: serde also reads a struct from a JSON array, and a field
/// cannot be set in one.
#[compio::test]
async fn a_chat_completion_in_a_json_array_is_refused() {
    let fleet = start_fleet(LimitSettings::default()).await;
    let array = RawRequest::new(CHAT, r#"["appraiser",[["user","lot 1"]]]"#);
    check_all(&fleet, vec![(array, BAD_REQUEST)]).await;
}

/// Guards against a header that is taken as absent, or as another value, because it is malformed.
#[compio::test]
async fn malformed_headers_are_refused() {
    let fleet = start_fleet(LimitSettings::default()).await;
    let chat = || RawRequest::new(CHAT, GOOD_CHAT);
    let mut cases = vec![
        (chat().without("authorization"), UNAUTHORIZED),
        (chat().with("authorization", "Bearer other"), UNAUTHORIZED),
        (chat().with("authorization", format!("Basic {ACCOUNT_KEY}")), UNAUTHORIZED),
        (chat().with("x-deadline-ms", "0"), (504, "deadline_expired", "not_run")),
        (chat().with("x-deadline-ms", "99999999999999999999"), BAD_REQUEST),
    ];
    for name in ["x-deadline-ms", "x-priority", "last-event-id"] {
        for value in ["soon", "-1", "1.5", ""] {
            cases.push((chat().with(name, value), BAD_REQUEST));
        }
    }
    check_all(&fleet, cases).await;
    let large = chat().with("x-large", "x".repeat(2 * MAX_HEADER_BYTES as usize));
    // hyper answers this one itself, without a body.
    assert_eq!(status(&large.send(fleet.node_addresses[0]).await), 431);
    assert_serves(&fleet).await;
}

/// Guards against a booking that runs without a usable key, or twice under one key.
#[compio::test]
async fn service_calls_with_unusable_keys_are_refused() {
    let fleet = start_fleet(LimitSettings::default()).await;
    let address = fleet.node_addresses[0];
    let book = |key: &str| RawRequest::new(BOOK, "{\"lot\":1}").with("idempotency-key", key);
    let key = TestCaller::new_key();
    assert_eq!(status(&book(&key).send(address).await), 200);
    let other_body = RawRequest::new(BOOK, "{\"lot\":2}").with("idempotency-key", key);
    let unknown = RawRequest::new("/v1/services/other/book", "{}");
    let cases = vec![
        (RawRequest::new(BOOK, "{}"), (400, "key_required", "refused")),
        (book("lot-7"), (400, "key_invalid", "refused")),
        (book(UUID_V4), (400, "key_invalid", "refused")),
        (book(OLD_KEY), (409, "key_expired", "refused")),
        (other_body, (422, "key_mismatch", "refused")),
        (
            book(&TestCaller::new_key()).with("x-deadline-ms", "0"),
            (504, "deadline_expired", "not_run"),
        ),
        (book(&TestCaller::new_key()).without("authorization"), UNAUTHORIZED),
        (unknown, (404, "unknown_service", "not_run")),
    ];
    check_all(&fleet, cases).await;
    assert_eq!(service_runs(&fleet), 1);
}

/// Guards against callers that hold a connection for ever by never finishing a request.
#[compio::test]
async fn unfinished_requests_end_in_time() {
    let limits =
        LimitSettings { header_timeout_ms: 300, body_timeout_ms: 300, ..LimitSettings::default() };
    let fleet = start_fleet(limits).await;
    let address = fleet.node_addresses[0];
    let request = RawRequest::new(CHAT, GOOD_CHAT);
    let half_body = exchange(address, request.head() + &GOOD_CHAT[..10]).await;
    assert_refused(&half_body, (408, "request_timeout", "not_run"));
    let head = request.head();
    let half_head = exchange(address, head[..head.len() / 2].to_owned()).await;
    assert!(!half_head.contains("200 OK"), "{half_head}");
    exchange(address, String::new()).await;
    assert_eq!(fleet.runs(), 0, "an unfinished request ran");
    assert_serves(&fleet).await;
}

/// Guards against more open connections than the limit when many arrive at once.
#[compio::test]
async fn connections_over_the_limit_are_closed() {
    let limits = LimitSettings { max_connections: MAX_CONNECTIONS, ..LimitSettings::default() };
    let fleet = start_fleet(limits).await;
    let address = fleet.node_addresses[0];
    let count = MAX_CONNECTIONS * 8;
    let connects = join_all((0..count).map(|_| TcpStream::connect(address))).await;
    let answers = join_all(connects.into_iter().flatten().map(ask_health)).await;
    let held = answers.iter().flatten().count();
    assert!(held > 0, "no connection is served");
    assert!(held <= MAX_CONNECTIONS as usize, "{held} connections are open");
    drop(answers);
    let is_served =
        eelgrassdeal_testkit::wait_until(PATIENCE, async || {
            match TcpStream::connect(address).await {
                Ok(stream) => ask_health(stream).await.is_some(),
                Err(_) => false,
            }
        })
        .await;
    assert!(is_served, "closed connections still count");
}

/// Asks for the health of the node and returns the open connection, or `None` if it was closed.
async fn ask_health(mut stream: TcpStream) -> Option<TcpStream> {
    let text = b"GET /healthz HTTP/1.1\r\nhost: node\r\n\r\n".to_vec();
    let (sent, _) = stream.write_all(text).await.into();
    sent.ok()?;
    let read = stream.read_exact(vec![0; b"HTTP/1.1 200".len()]);
    let (read, bytes) = compio::time::timeout(PATIENCE, read).await.ok()?.into();
    read.ok()?;
    bytes.ends_with(b"200").then_some(stream)
}
