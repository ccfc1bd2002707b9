//! Invalid requests get the specified error response, run nothing, and do not affect other callers.

use std::net::SocketAddr;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use eelgrassdeal_schema::settings::LimitSettings;
use eelgrassdeal_testkit::{ACCOUNT_KEY, FleetSpec, TestCaller, TestFleet, chat_request};
use futures_util::future::join_all;
use serde_json::Value;

const MAX_BODY_BYTES: u32 = 32 * 1024;
const MAX_HEADER_BYTES: u32 = 8 * 1024;
const MAX_CONNECTIONS: u32 = 8;
/// Much longer than any response takes. A connection that is still open after it counts as hung.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
const CHAT_PATH: &str = "/v1/chat/completions";
const BOOK_PATH: &str = "/v1/services/desk/book";
const VALID_CHAT: &str =
    r#"{"model":"appraiser","messages":[{"role":"user","content":"lot 1"}],"max_tokens":3}"#;
/// A UUIDv7 with a timestamp at the beginning of 2020.
const EXPIRED_KEY: &str = "016f5e66-e800-7000-8000-000000000000";
const UUID_V4: &str = "7f3c1f0e-6b5d-4c1a-9a55-0d6e1a2b3c4d";

/// HTTP status, error kind and outcome that an error response must have.
type ExpectedError = (u16, &'static str, &'static str);

const BAD_REQUEST: ExpectedError = (400, "bad_request", "not_run");
const UNAUTHORIZED: ExpectedError = (401, "unauthorized", "not_run");

/// A POST request as text, which may be malformed. It asks the node to close the connection after
/// the response.
struct RawRequest {
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
}

impl RawRequest {
    fn new(path: &'static str, body: impl Into<String>) -> Self {
        Self { path, headers: Vec::new(), body: body.into() }
            .with_header("authorization", format!("Bearer {ACCOUNT_KEY}"))
    }

    /// Sets a header, replacing any previous value.
    fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.retain(|(present, _)| *present != name);
        self.headers.push((name, value.into()));
        self
    }

    fn without_header(mut self, name: &str) -> Self {
        self.headers.retain(|(present, _)| *present != name);
        self
    }

    /// Request line and headers, up to and including the empty line.
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
    // The node may respond and stop reading before the whole text is sent.
    let _ = stream.write_all(text.into_bytes()).await;
    let read = stream.read_to_end(Vec::new());
    let (_, bytes) = compio::time::timeout(RESPONSE_TIMEOUT, read)
        .await
        .expect("the connection is closed")
        .into();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// HTTP status of a response; 0 if it has no valid status line.
fn status(response: &str) -> u16 {
    response.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn assert_refused(response: &str, expected: ExpectedError) {
    let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let body: Value = serde_json::from_str(body).unwrap_or_default();
    let field = |name: &str| body[name].as_str().unwrap_or_default();
    assert_eq!((status(response), field("kind"), field("outcome")), expected, "{response}");
    assert!(!field("request_id").is_empty(), "{response}");
    assert!(response.contains(&format!("x-request-id: {}", field("request_id"))), "{response}");
}

/// Number of calls that all services ran.
fn service_run_count(fleet: &TestFleet) -> usize {
    fleet.service_upstreams.iter().map(|service| service.runs().len()).sum()
}

/// Sends each request and checks its error response, that nothing ran, and that the node still
/// serves valid requests.
async fn assert_all_refused(fleet: &TestFleet, cases: Vec<(RawRequest, ExpectedError)>) {
    let address = fleet.node_addresses[0];
    let runs = (fleet.run_count(), service_run_count(fleet));
    for (request, expected) in cases {
        assert_refused(&request.send(address).await, expected);
    }
    assert_eq!((fleet.run_count(), service_run_count(fleet)), runs, "a refused request ran");
    assert_serves(fleet).await;
}

/// Checks that the node answers a valid request.
async fn assert_serves(fleet: &TestFleet) {
    let caller = TestCaller::new(&fleet.node_addresses);
    let outcome =
        caller.chat_without_retry(fleet.node_addresses[0], &chat_request("lot 2", 3)).await;
    assert!(outcome.is_complete, "{outcome:?}");
}

async fn start_fleet(limits: LimitSettings) -> TestFleet {
    let limits = LimitSettings {
        max_body_bytes: MAX_BODY_BYTES,
        max_header_bytes: MAX_HEADER_BYTES,
        locate_ttl_ms: 300,
        ..limits
    };
    // KV cache size of a replica, which a request for 4001 tokens exceeds.
    let kv_tokens = 4_000;
    TestFleet::start_serving(FleetSpec { nodes: 1, kv_tokens, limits, ..FleetSpec::default() })
        .await
}

/// Guards against a malformed chat completion that runs, gets no response or crashes the node.
#[compio::test]
async fn malformed_chat_completions_are_refused() {
    let fleet = start_fleet(LimitSettings::default()).await;
    let chat = |body: &str| RawRequest::new(CHAT_PATH, body);
    let large = "x".repeat(MAX_BODY_BYTES as usize + 1);
    let unknown_model = VALID_CHAT.replace("appraiser", "other");
    let exceeds_kv_cache = VALID_CHAT.replace(":3}", ":4001}");
    let cases = vec![
        (chat(&large), (413, "body_too_large", "not_run")),
        (chat("{\"model\":"), BAD_REQUEST),
        (chat(""), BAD_REQUEST),
        (chat("7"), BAD_REQUEST),
        (chat(&"[".repeat(10_000)), BAD_REQUEST),
        (chat(r#"{"model":7,"messages":"lot"}"#), BAD_REQUEST),
        (chat(&VALID_CHAT.replace(":3}", ":-3}")), BAD_REQUEST),
        (chat(r#"{"model":"appraiser","messages":[]}"#), BAD_REQUEST),
        (chat(r#"{"model":"appraiser"}"#), BAD_REQUEST),
        (chat(&unknown_model), (404, "unknown_model", "not_run")),
        (chat(&exceeds_kv_cache), BAD_REQUEST),
    ];
    assert_all_refused(&fleet, cases).await;
}

/// Guards against a panic of the node: serde also deserializes a struct from a JSON array of its
/// fields, but setting a field by name in the JSON value, as the node does, panics for an array.
#[compio::test]
async fn a_chat_completion_as_a_json_array_is_refused() {
    let fleet = start_fleet(LimitSettings::default()).await;
    let array = RawRequest::new(CHAT_PATH, r#"["appraiser",[["user","lot 1"]]]"#);
    assert_all_refused(&fleet, vec![(array, BAD_REQUEST)]).await;
}

/// Guards against treating a malformed header as absent or as having another value.
#[compio::test]
async fn malformed_headers_are_refused() {
    let fleet = start_fleet(LimitSettings::default()).await;
    let chat = || RawRequest::new(CHAT_PATH, VALID_CHAT);
    let mut cases = vec![
        (chat().without_header("authorization"), UNAUTHORIZED),
        (chat().with_header("authorization", "Bearer other"), UNAUTHORIZED),
        (chat().with_header("authorization", format!("Basic {ACCOUNT_KEY}")), UNAUTHORIZED),
        (chat().with_header("x-deadline-ms", "0"), (504, "deadline_expired", "not_run")),
        (chat().with_header("x-deadline-ms", "99999999999999999999"), BAD_REQUEST),
    ];
    for name in ["x-deadline-ms", "x-priority", "last-event-id"] {
        for value in ["soon", "-1", "1.5", ""] {
            cases.push((chat().with_header(name, value), BAD_REQUEST));
        }
    }
    assert_all_refused(&fleet, cases).await;
    let large = chat().with_header("x-large", "x".repeat(2 * MAX_HEADER_BYTES as usize));
    // hyper itself responds to a head that is too large, without a body.
    assert_eq!(status(&large.send(fleet.node_addresses[0]).await), 431);
    assert_serves(&fleet).await;
}

/// Guards against a booking that runs without a valid key, or twice with the same key.
#[compio::test]
async fn service_calls_with_invalid_keys_are_refused() {
    let fleet = start_fleet(LimitSettings::default()).await;
    let address = fleet.node_addresses[0];
    let book =
        |key: &str| RawRequest::new(BOOK_PATH, "{\"lot\":1}").with_header("idempotency-key", key);
    let key = TestCaller::new_idempotency_key();
    assert_eq!(status(&book(&key).send(address).await), 200);
    let changed_body =
        RawRequest::new(BOOK_PATH, "{\"lot\":2}").with_header("idempotency-key", key);
    let unknown = RawRequest::new("/v1/services/other/book", "{}");
    let cases = vec![
        (RawRequest::new(BOOK_PATH, "{}"), (400, "key_required", "refused")),
        (book("lot-7"), (400, "key_invalid", "refused")),
        (book(UUID_V4), (400, "key_invalid", "refused")),
        (book(EXPIRED_KEY), (409, "key_expired", "refused")),
        (changed_body, (422, "key_mismatch", "refused")),
        (
            book(&TestCaller::new_idempotency_key()).with_header("x-deadline-ms", "0"),
            (504, "deadline_expired", "not_run"),
        ),
        (book(&TestCaller::new_idempotency_key()).without_header("authorization"), UNAUTHORIZED),
        (unknown, (404, "unknown_service", "not_run")),
    ];
    assert_all_refused(&fleet, cases).await;
    assert_eq!(service_run_count(&fleet), 1);
}

/// Guards against callers that keep a connection open indefinitely by never completing a request.
#[compio::test]
async fn incomplete_requests_time_out() {
    let limits =
        LimitSettings { header_timeout_ms: 300, body_timeout_ms: 300, ..LimitSettings::default() };
    let fleet = start_fleet(limits).await;
    let address = fleet.node_addresses[0];
    let request = RawRequest::new(CHAT_PATH, VALID_CHAT);
    let partial_body = exchange(address, request.head() + &VALID_CHAT[..10]).await;
    assert_refused(&partial_body, (408, "request_timeout", "not_run"));
    let head = request.head();
    let partial_head = exchange(address, head[..head.len() / 2].to_owned()).await;
    assert!(partial_head.starts_with("HTTP/1.1 408 "), "{partial_head}");
    exchange(address, String::new()).await;
    assert_eq!(fleet.run_count(), 0, "an incomplete request ran");
    assert_serves(&fleet).await;
}

/// Guards against callers that reuse a connection which ends: their next request had no response.
#[compio::test]
async fn callers_are_told_when_their_connection_ends() {
    let fleet = start_fleet(LimitSettings::default()).await;
    let address = fleet.node_addresses[0];
    let unread =
        "POST /v1/chat/completions HTTP/1.1\r\nhost: node\r\ncontent-length: 10000\r\n\r\n{";
    let refusal = exchange(address, unread.to_owned()).await.to_lowercase();
    assert_eq!(status(&refusal), 401, "{refusal}");
    assert!(refusal.contains("connection: close"), "{refusal}");

    let mut stream = TcpStream::connect(address).await.expect("the node listens");
    let text = b"GET /healthz HTTP/1.1\r\nhost: node\r\n\r\n".to_vec();
    let _ = stream.write_all(text).await;
    let BufResult(_, head) = stream.read(Vec::with_capacity(4_096)).await;
    let head = String::from_utf8_lossy(&head).to_lowercase();
    assert!(head.contains("keep-alive: timeout=8\r\n"), "{head}");
}

/// Guards against exceeding the limit of open connections when many arrive at the same time.
#[compio::test]
async fn connections_over_the_limit_are_closed() {
    let limits = LimitSettings { max_connections: MAX_CONNECTIONS, ..LimitSettings::default() };
    let fleet = start_fleet(limits).await;
    let address = fleet.node_addresses[0];
    let count = MAX_CONNECTIONS * 8;
    let streams = join_all((0..count).map(|_| TcpStream::connect(address))).await;
    let connections = join_all(streams.into_iter().flatten().map(check_health)).await;
    let open_count = connections.iter().flatten().count();
    assert!(open_count > 0, "no connection is served");
    assert!(open_count <= MAX_CONNECTIONS as usize, "{open_count} connections are open");
    drop(connections);
    let is_served = eelgrassdeal_testkit::wait_until(RESPONSE_TIMEOUT, async || {
        match TcpStream::connect(address).await {
            Ok(stream) => check_health(stream).await.is_some(),
            Err(_) => false,
        }
    })
    .await;
    assert!(is_served, "closed connections still count towards the limit");
}

/// Requests the health of the node. Returns the open connection, or `None` if the node closed it or
/// did not respond with status 200.
async fn check_health(mut stream: TcpStream) -> Option<TcpStream> {
    let text = b"GET /healthz HTTP/1.1\r\nhost: node\r\n\r\n".to_vec();
    let (sent, _) = stream.write_all(text).await.into();
    sent.ok()?;
    let read = stream.read_exact(vec![0; b"HTTP/1.1 200".len()]);
    let (read, bytes) = compio::time::timeout(RESPONSE_TIMEOUT, read).await.ok()?.into();
    read.ok()?;
    bytes.ends_with(b"200").then_some(stream)
}
