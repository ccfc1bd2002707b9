//! Ends of whole responses from workers that can't be asked, or that the node has no memory for.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use common::scripted_worker::{AnswerEnd, ScriptedAnswer, ScriptedRequest, start_scripted_worker};
use common::{API_KEY, PLAIN_SERVICE, TestPlatform, caller_request, complete_stream};
use eelgrassdeal_http::{BufferedResponse, SendFailure};
use rustix::net::listen;
use rustix::net::sockopt::set_socket_linger;
use serde_json::{Value, json};

/// Body of every request of the tests.
const REQUEST_BODY: &[u8] = b"a prompt";
const EVENTS: u64 = 3;
const BODY: &str = "0123456789";
/// Time for which a sound worker may stand still.
const PAUSE: Duration = Duration::from_millis(800);
/// Time within which a connection is made, unless the queue of the listener is full.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(50);

/// Response that ends with its connection.
fn response_without_length(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-eelgrassdeal-request-id: {id}\r\n\
         x-eelgrassdeal-response-seal: seal\r\n\r\n{body}"
    )
}

fn worker_row(address: &str, start_time: u64) -> Value {
    json!({ "service": PLAIN_SERVICE, "address": address, "zone": "zone-a", "version": "1",
        "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": start_time, "born": start_time })
}

/// What a worker does with new connections after a response.
#[derive(Clone, Copy, Debug)]
enum AfterResponse {
    /// Accepts none for this time, while the queue of its listener is full.
    Pause(Duration),
    /// Accepts and resets them, as at its limit of connections.
    Reset,
    /// Closes its listener after this time, as at the end of a process.
    Exit(Duration),
}

/// Starts a worker of the plain service that writes `answer` to each request and closes the
/// connection. Returns its address.
fn start_worker(platform: &TestPlatform, answer: String, after: AfterResponse) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listen(&listener, 0).expect("a shorter queue");
    let address = listener.local_addr().expect("a bound address");
    let row = worker_row(&address.to_string(), 1);
    platform.store.put("servers", "i-desk0", row.to_string().as_bytes());
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            if !read_request(&mut stream) || stream.write_all(answer.as_bytes()).is_err() {
                continue;
            }
            match after {
                AfterResponse::Pause(pause) => {
                    let connect = || TcpStream::connect_timeout(&address, QUEUE_TIMEOUT).ok();
                    let queued: Vec<_> = std::iter::from_fn(connect).collect();
                    drop(stream);
                    std::thread::sleep(pause);
                    drop(queued);
                }
                AfterResponse::Exit(delay) => {
                    drop(stream);
                    std::thread::sleep(delay);
                    return;
                }
                AfterResponse::Reset => {
                    drop(stream);
                    while let Ok((stream, _)) = listener.accept() {
                        let _ = set_socket_linger(&stream, Some(Duration::ZERO));
                    }
                }
            }
        }
    });
    address.to_string()
}

/// Reads a request; false at the end of the connection.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut received = Vec::new();
    let mut buffer = [0; 4 * 1024];
    while !received.ends_with(REQUEST_BODY) {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return false,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
        }
    }
    true
}

/// Sends a request with this time left, in ms.
async fn send_with_deadline(
    platform: &TestPlatform,
    path: &str,
    deadline_ms: &'static str,
) -> Result<BufferedResponse, SendFailure> {
    let mut request = caller_request(path, "one", API_KEY);
    request.headers_mut().insert("x-eelgrassdeal-deadline-ms", deadline_ms.parse().expect("text"));
    platform.call(&platform.gateways[0].front.clone(), request).await
}

/// Answers to a request whose whole response is followed by a pause of its worker.
fn bodies() -> [(&'static str, String); 3] {
    [
        ("/book/x", BODY.to_owned()),
        ("/look/x", BODY.to_owned()),
        ("/feed/x", complete_stream(EVENTS)),
    ]
}

/// Checks that callers get whole responses of a worker that then does this with new connections.
async fn assert_whole_responses_are_forwarded(after: AfterResponse) {
    let mut failures = Vec::new();
    for (path, body) in bodies() {
        let platform = TestPlatform::new().await;
        start_worker(&platform, response_without_length("one", &body), after);
        let platform = platform.with_gateways(1).await;
        let answer = platform.send_request(0, path, "one", API_KEY).await;
        let answer = answer.map(|answer| (answer.status, answer.body));
        if answer != Ok((200, body.into())) {
            failures.push((path, answer));
        }
    }
    assert!(failures.is_empty(), "{after:?}: {failures:?}");
}

#[compio::test]
async fn whole_response_of_a_worker_that_pauses_is_not_taken_for_a_part() {
    assert_whole_responses_are_forwarded(AfterResponse::Pause(PAUSE)).await;
}

#[compio::test]
async fn whole_response_of_a_worker_that_is_full_is_not_taken_for_a_part() {
    assert_whole_responses_are_forwarded(AfterResponse::Reset).await;
}

/// A connection that waits in the queue of a listener is accepted by nobody.
#[compio::test]
async fn response_of_a_worker_whose_listener_ends_later_is_not_taken_for_whole() {
    let parts =
        [("/book/x", &BODY[..4]), ("/look/x", &BODY[..4]), ("/feed/x", &complete_stream(1))];
    let mut taken_for_whole = Vec::new();
    for (path, part) in parts {
        let platform = TestPlatform::new().await;
        let after = AfterResponse::Exit(Duration::from_millis(20));
        start_worker(&platform, response_without_length("one", part), after);
        let platform = platform.with_gateways(1).await;
        let answer = platform.send_request(0, path, "one", API_KEY).await;
        if answer.is_ok_and(|answer| answer.status == 200) {
            taken_for_whole.push(path);
        }
    }
    assert!(taken_for_whole.is_empty(), "{taken_for_whole:?}");
}

/// A host that answers nothing may be gone with its worker.
#[compio::test]
async fn response_of_a_worker_that_never_answers_again_is_not_taken_for_whole() {
    for (path, body) in bodies() {
        let platform = TestPlatform::new().await;
        let after = AfterResponse::Pause(Duration::from_secs(60));
        start_worker(&platform, response_without_length("one", &body), after);
        let platform = platform.with_gateways(1).await;
        let started = Instant::now();
        let answer = send_with_deadline(&platform, path, "1500").await;
        assert!(started.elapsed() < Duration::from_secs(2), "{path}: {:?}", started.elapsed());
        match answer {
            Ok(answer) => assert!(matches!(answer.status, 502 | 504), "{path}: {}", answer.status),
            Err(failure) => assert_eq!((path, failure), ("/feed/x", SendFailure::MaybeSent)),
        }
    }
}

/// Its process may have crashed, although the address accepts connections again.
#[compio::test]
async fn response_of_a_worker_that_is_replaced_meanwhile_is_not_taken_for_whole() {
    let platform = TestPlatform::new().await;
    let answer = response_without_length("one", BODY);
    let address = start_worker(&platform, answer, AfterResponse::Pause(PAUSE));
    let platform = platform.with_gateways(1).await;
    let replace = async {
        compio::time::sleep(PAUSE / 2).await;
        let row = worker_row(&address, 2);
        platform.store.put("servers", "i-desk0", row.to_string().as_bytes());
    };
    let send = platform.send_request(0, "/book/x", "one", API_KEY);
    let (answer, ()) = futures_util::future::join(send, replace).await;
    assert_eq!(answer.expect("a response").status, 502);
}

/// Memory limit of a node whose memory for responses is full with [`HELD_RESPONSES`].
const MEMORY_MB: u32 = 4;
const HELD_RESPONSES: usize = 12;
/// Bytes that each of them holds at the node.
const HELD_BYTES: usize = 64 * 1024;
/// Time after which their callers leave.
const HOLD_TIME: Duration = Duration::from_millis(1_000);
/// Body that needs more memory than they leave.
const BODY_BYTES: usize = 20 * 1024;

/// Answers `held` requests with a part of a body, streams with events of `BODY_BYTES`, and others with
/// a body of that size.
fn answer_in_full_node(request: &ScriptedRequest) -> ScriptedAnswer {
    let data = "x".repeat(BODY_BYTES);
    let (length, body) = match (request.id.starts_with("held"), request.path.starts_with("/feed/"))
    {
        (true, _) => (HELD_BYTES + 1, "x".repeat(HELD_BYTES)),
        (false, true) => {
            let events = (1..=EVENTS).map(|id| format!("id: {id}\ndata: {data}\n\n"));
            let body: String = events.collect();
            (body.len(), body)
        }
        (false, false) => (data.len(), data),
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-eelgrassdeal-request-id: {}\r\n\
         x-eelgrassdeal-response-seal: seal\r\ncontent-length: {length}\r\n\r\n",
        request.id
    );
    ScriptedAnswer::new(head + &body, AnswerEnd::KeepOpen)
}

#[compio::test]
async fn response_that_finds_no_room_for_a_moment_is_not_given_up() {
    let platform = TestPlatform::new().await.with_memory_mb(MEMORY_MB);
    for index in 0..4 {
        let id = format!("i-desk{index}");
        start_scripted_worker(&platform.store, &id, answer_in_full_node).await;
    }
    let platform = platform.with_gateways(1).await;
    for (path, length) in [("/book/x", BODY_BYTES), ("/feed/x", BODY_BYTES * EVENTS as usize)] {
        let ids: Vec<_> = (0..HELD_RESPONSES).map(|index| format!("held-{index}")).collect();
        let held = ids.iter().map(|id| platform.send_request(0, "/look/x", id, API_KEY));
        let held = compio::time::timeout(HOLD_TIME, futures_util::future::join_all(held));
        let send = async {
            compio::time::sleep(HOLD_TIME / 2).await;
            platform.send_request(0, path, "one", API_KEY).await
        };
        let (held, answer) = futures_util::future::join(held, send).await;
        assert!(held.is_err(), "{path}: the memory is held: {held:?}");
        let answer = answer.unwrap_or_else(|failure| panic!("{path}: {failure:?}"));
        assert_eq!(answer.status, 200, "{path}");
        assert!(answer.body.len() >= length, "{path}: {} bytes", answer.body.len());
    }
}
