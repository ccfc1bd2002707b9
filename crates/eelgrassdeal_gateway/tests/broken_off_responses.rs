//! Responses that workers break off at any byte: callers never take a part for the whole.

mod common;

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::scripted_worker::{AnswerEnd, ScriptedAnswer, ScriptedRequest, start_scripted_worker};
use common::{API_KEY, HOST, PLAIN_SERVICE, TestPlatform, complete_stream};
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use eelgrassdeal_http::{BufferedResponse, SendFailure};
use eelgrassdeal_schema::encode_message;
use eelgrassdeal_schema::gateway::SyncMessage;
use http_body_util::Full;
use hyper::Request;
use rustix::net::{AddressFamily, SocketType};

/// Events of a stream.
const EVENTS: u64 = 3;
/// Of the positions within a head, one in this number is tried.
const HEAD_STEP: usize = 9;
/// Line of a response's head by which its worker says that it leaves.
const LEAVING_FIELD: &str = "\r\nserver-leaving: 1\r\n";

/// How a response says where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyFraming {
    Length,
    Chunks,
    /// By the end of the connection.
    ConnectionEnd,
}

/// Response of a sound worker.
fn response(id: &str, framing: BodyFraming, pieces: &[String]) -> Vec<u8> {
    let length: usize = pieces.iter().map(String::len).sum();
    let framing_field = match framing {
        BodyFraming::Length => format!("content-length: {length}\r\n"),
        BodyFraming::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
        BodyFraming::ConnectionEnd => String::new(),
    };
    let mut response = format!(
        "HTTP/1.1 200 OK\r\nx-eelgrassdeal-request-id: {id}\r\n\
         x-eelgrassdeal-response-seal: seal\r\n{framing_field}\r\n"
    );
    for piece in pieces {
        match framing {
            BodyFraming::Chunks => {
                response.push_str(&format!("{:x}\r\n{piece}\r\n", piece.len()));
            }
            BodyFraming::Length | BodyFraming::ConnectionEnd => response.push_str(piece),
        }
    }
    if framing == BodyFraming::Chunks {
        response.push_str("0\r\n\r\n");
    }
    response.into_bytes()
}

/// Events of a stream after `last_event`.
fn events_after(last_event: u64) -> Vec<String> {
    (last_event + 1..=EVENTS).map(|id| format!("id: {id}\ndata: event {id}\n\n")).collect()
}

/// Pieces of the body that answers a request.
fn body_pieces(request: &ScriptedRequest) -> Vec<String> {
    match request.path.starts_with("/feed/") {
        true => events_after(request.last_event.unwrap_or(0)),
        false => vec!["0123456789".to_owned()],
    }
}

/// Positions at which a response is cut: all within the body, some within the head.
fn cut_positions(response: &[u8]) -> Vec<usize> {
    let head_end = response.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let head_end = head_end.expect("a head") + 4;
    (0..head_end).step_by(HEAD_STEP).chain(head_end - 2..response.len()).collect()
}

/// Two workers break off the first answer to each request at a given position. Checks that the
/// caller gets what `is_allowed` accepts, given the position in the body and the answer's body.
async fn assert_no_part_is_taken_for_the_whole(
    path: &str,
    framing: BodyFraming,
    end: AnswerEnd,
    is_allowed: impl Fn(&str, &str) -> bool,
) {
    let platform = TestPlatform::new().await;
    let position = Rc::new(Cell::new(0));
    let broken_off: Rc<RefCell<HashSet<String>>> = Rc::default();
    for index in 0..2 {
        let (position, broken_off) = (position.clone(), broken_off.clone());
        let script = move |request: &ScriptedRequest| {
            let pieces = body_pieces(request);
            match broken_off.borrow_mut().insert(request.id.clone()) {
                true => {
                    let bytes = response(&request.id, framing, &pieces);
                    ScriptedAnswer::new(&bytes[..position.get()], end)
                }
                false => {
                    let bytes = response(&request.id, BodyFraming::Length, &pieces);
                    ScriptedAnswer::new(bytes, AnswerEnd::KeepOpen)
                }
            }
        };
        start_scripted_worker(&platform.store, &format!("i-desk{index}"), script).await;
    }
    let platform = platform.with_gateways(1).await;
    let sample = ScriptedRequest { path: path.to_owned(), ..ScriptedRequest::default() };
    let positions = cut_positions(&response("id-000", framing, &body_pieces(&sample)));
    let mut failures = Vec::new();
    for (index, at) in positions.into_iter().enumerate() {
        position.set(at);
        let id = format!("id-{index:03}");
        let sent = response(&id, framing, &body_pieces(&sample));
        let sent = String::from_utf8_lossy(&sent[..at]).into_owned();
        let sent_body = sent.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        let answer = platform.send_request(0, path, &id, API_KEY).await;
        let verdict = match &answer {
            Ok(answer) if answer.status == 200 => {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                is_allowed(sent_body, &body).then_some(()).ok_or(body)
            }
            Ok(answer) => Err(format!("status {}", answer.status)),
            Err(failure) => Err(format!("{failure:?}")),
        };
        if let Err(got) = verdict {
            failures.push(format!("at byte {at} after {sent_body:?}: got {got:?}"));
        }
    }
    assert_eq!(failures, Vec::<String>::new(), "{framing:?} {end:?}");
}

/// Whether a caller got a complete stream. A stream without a length may also end after any event.
fn is_whole_stream(framing: BodyFraming, end: AnswerEnd, sent: &str, got: &str) -> bool {
    let may_end_here =
        framing == BodyFraming::ConnectionEnd && end == AnswerEnd::Close && sent.ends_with("\n\n");
    got == complete_stream(EVENTS) || (may_end_here && got == sent)
}

async fn assert_streams_are_whole(framing: BodyFraming, end: AnswerEnd) {
    assert_no_part_is_taken_for_the_whole("/feed/x", framing, end, |sent, got| {
        is_whole_stream(framing, end, sent, got)
    })
    .await;
}

#[compio::test]
async fn stream_without_length_that_is_closed_early_is_not_taken_for_whole() {
    assert_streams_are_whole(BodyFraming::ConnectionEnd, AnswerEnd::Close).await;
}

#[compio::test]
async fn stream_without_length_that_is_reset_is_not_taken_for_whole() {
    assert_streams_are_whole(BodyFraming::ConnectionEnd, AnswerEnd::Reset).await;
}

#[compio::test]
async fn stream_in_chunks_that_is_closed_early_is_not_taken_for_whole() {
    assert_streams_are_whole(BodyFraming::Chunks, AnswerEnd::Close).await;
}

#[compio::test]
async fn stream_in_chunks_that_is_reset_is_not_taken_for_whole() {
    assert_streams_are_whole(BodyFraming::Chunks, AnswerEnd::Reset).await;
}

/// The end of a response without a length is only told by its connection, so an early close after
/// the head leaves nothing to tell it by; a reset does.
async fn assert_responses_are_whole(framing: BodyFraming, end: AnswerEnd) {
    let may_end_here = framing == BodyFraming::ConnectionEnd && end == AnswerEnd::Close;
    assert_no_part_is_taken_for_the_whole("/look/x", framing, end, |sent, got| {
        got == "0123456789" || (may_end_here && got == sent)
    })
    .await;
}

#[compio::test]
async fn response_without_length_that_is_closed_in_its_head_is_not_taken_for_whole() {
    assert_responses_are_whole(BodyFraming::ConnectionEnd, AnswerEnd::Close).await;
}

#[compio::test]
async fn response_without_length_that_is_reset_is_not_taken_for_whole() {
    assert_responses_are_whole(BodyFraming::ConnectionEnd, AnswerEnd::Reset).await;
}

#[compio::test]
async fn response_with_length_that_is_broken_off_is_not_taken_for_whole() {
    assert_responses_are_whole(BodyFraming::Length, AnswerEnd::Close).await;
    assert_responses_are_whole(BodyFraming::Length, AnswerEnd::Reset).await;
}

/// Sends a stream request to two workers that answer as `script` says, which gets the number of
/// earlier sends of the request. Returns the body if the answer is framed as whole, and what ran.
async fn stream_from_script(
    script: impl Fn(&ScriptedRequest, usize) -> ScriptedAnswer + Clone + 'static,
) -> (Option<String>, Vec<ScriptedRequest>) {
    let (answer, requests) = answer_from_script("/feed/x", "stream", script).await;
    let body = answer.ok().filter(|answer| answer.status == 200);
    (body.map(|answer| String::from_utf8_lossy(&answer.body).into_owned()), requests)
}

/// Sends a request to two workers that answer as `script` says, which gets the number of earlier
/// sends. Returns the answer, and what ran.
async fn answer_from_script(
    path: &str,
    id: &str,
    script: impl Fn(&ScriptedRequest, usize) -> ScriptedAnswer + Clone + 'static,
) -> (Result<BufferedResponse, SendFailure>, Vec<ScriptedRequest>) {
    let platform = TestPlatform::new().await;
    let requests: Rc<RefCell<Vec<ScriptedRequest>>> = Rc::default();
    for index in 0..2 {
        let (script, requests) = (script.clone(), requests.clone());
        let answer = move |request: &ScriptedRequest| {
            let earlier = requests.borrow().len();
            requests.borrow_mut().push(request.clone());
            script(request, earlier)
        };
        start_scripted_worker(&platform.store, &format!("i-desk{index}"), answer).await;
    }
    let platform = platform.with_gateways(1).await;
    let answer = platform.send_request(0, path, id, API_KEY).await;
    (answer, requests.take())
}

/// The first bytes of a stream in chunks, with `events` whole events, after which the connection
/// ends.
fn broken_off_stream(events: usize) -> ScriptedAnswer {
    let whole = response("stream", BodyFraming::Chunks, &events_after(0));
    let text = String::from_utf8(whole).expect("text");
    let end = text.match_indices("\n\n\r\n").nth(events - 1).expect("an event").0;
    ScriptedAnswer::new(&text[..end + 4], AnswerEnd::Close)
}

/// The first bytes of a response without a length, up to the position `at` in the body, after which
/// the process of the worker ends. `head_field` is a line of its head, which may be empty.
fn exit_within(pieces: &[String], head_field: &str, id: &str, at: usize) -> ScriptedAnswer {
    let whole = response(id, BodyFraming::ConnectionEnd, pieces);
    let text = String::from_utf8(whole).expect("text").replacen("\r\n", head_field, 1);
    let head_end = text.find("\r\n\r\n").expect("a head") + 4;
    ScriptedAnswer::new(&text[..head_end + at], AnswerEnd::Exit)
}

#[compio::test]
async fn stream_without_length_of_a_crashed_worker_is_not_taken_for_whole() {
    for events in 1..EVENTS {
        let (body, requests) = stream_from_script(move |request, earlier| match earlier {
            0 => {
                let end = complete_stream(events).len();
                exit_within(&events_after(0), "\r\n", &request.id, end)
            }
            _ => {
                let rest = events_after(request.last_event.unwrap_or(0));
                let rest = response(&request.id, BodyFraming::Length, &rest);
                ScriptedAnswer::new(rest, AnswerEnd::KeepOpen)
            }
        })
        .await;
        assert_eq!(body, Some(complete_stream(EVENTS)), "cut after {events} events");
        assert_eq!(requests.last().and_then(|request| request.last_event), Some(events));
    }
}

#[compio::test]
async fn response_without_length_of_a_crashed_worker_is_not_taken_for_whole() {
    for (path, status, sends) in [("/look/x", 200, 2), ("/book/x", 502, 1)] {
        let (answer, requests) = answer_from_script(path, "one", |request, earlier| {
            let pieces = body_pieces(request);
            match earlier {
                0 => exit_within(&pieces, "\r\n", &request.id, 4),
                _ => {
                    let whole = response(&request.id, BodyFraming::Length, &pieces);
                    ScriptedAnswer::new(whole, AnswerEnd::KeepOpen)
                }
            }
        })
        .await;
        let answer = answer.expect("a response");
        assert_eq!(answer.status, status, "{path}");
        assert_eq!(answer.body == "0123456789", status == 200, "{path}: {:?}", answer.body);
        assert_eq!(requests.len(), sends, "{path}");
    }
}

/// A worker that has said that it leaves can crash as well.
#[compio::test]
async fn response_without_length_of_a_leaving_worker_that_crashes_is_not_taken_for_whole() {
    for at in [0, 4, 10] {
        let (answer, requests) = answer_from_script("/book/x", "one", move |request, _| {
            exit_within(&body_pieces(request), LEAVING_FIELD, &request.id, at)
        })
        .await;
        assert_eq!(answer.expect("a response").status, 502, "ends after {at} bytes");
        assert_eq!(requests.len(), 1, "ends after {at} bytes");
    }
}

#[compio::test]
async fn stream_without_length_of_a_leaving_worker_that_crashes_is_not_taken_for_whole() {
    let (body, requests) = stream_from_script(|request, earlier| match earlier {
        0 => {
            let end = complete_stream(1).len();
            exit_within(&events_after(0), LEAVING_FIELD, &request.id, end)
        }
        _ => {
            let rest = events_after(request.last_event.unwrap_or(0));
            let rest = response(&request.id, BodyFraming::Length, &rest);
            ScriptedAnswer::new(rest, AnswerEnd::KeepOpen)
        }
    })
    .await;
    assert_eq!(body, Some(complete_stream(EVENTS)));
    assert_eq!(requests.last().and_then(|request| request.last_event), Some(1));
}

#[compio::test]
async fn response_without_length_of_a_leaving_worker_that_goes_on_is_complete() {
    for (path, body) in [("/feed/x", complete_stream(EVENTS)), ("/book/x", "0123456789".into())] {
        let (answer, requests) = answer_from_script(path, "one", |request, _| {
            let pieces = body_pieces(request);
            let end = pieces.iter().map(String::len).sum();
            let answer = exit_within(&pieces, LEAVING_FIELD, &request.id, end);
            ScriptedAnswer { end: AnswerEnd::Close, ..answer }
        })
        .await;
        let answer = answer.expect("a response");
        assert_eq!((answer.status, &answer.body[..]), (200, body.as_bytes()), "{path}");
        assert_eq!(requests.len(), 1, "{path}");
    }
}

#[compio::test]
async fn error_after_a_broken_off_stream_is_not_written_into_it() {
    for head in ["500 Internal Server Error", "503 Service Unavailable", "200 OK"] {
        let error = format!(
            "HTTP/1.1 {head}\r\nx-eelgrassdeal-request-id: stream\r\ncontent-length: 5\r\n\r\nerror"
        );
        let (body, requests) = stream_from_script(move |_, earlier| match earlier {
            0 => broken_off_stream(2),
            _ => ScriptedAnswer::new(error.clone(), AnswerEnd::Close),
        })
        .await;
        assert_eq!(body, None, "{head}: the stream must not look complete");
        assert_eq!(requests.len(), 2, "{head}");
    }
}

#[compio::test]
async fn events_that_a_resumed_stream_repeats_are_not_forwarded() {
    let (body, requests) = stream_from_script(|_, earlier| match earlier {
        0 => broken_off_stream(2),
        // Ignores the id after which the stream should go on.
        _ => {
            let whole = response("stream", BodyFraming::Length, &events_after(0));
            ScriptedAnswer::new(whole, AnswerEnd::Close)
        }
    })
    .await;
    assert_eq!(requests.last().and_then(|request| request.last_event), Some(2));
    assert_eq!(body, None, "two events came twice");
}

#[compio::test]
async fn stream_of_events_without_ids_is_not_started_again() {
    let (body, requests) = stream_from_script(|_, earlier| match earlier {
        0 => {
            let pieces = ["data: one\n\n".to_owned(), "data: two\n\n".to_owned()];
            let whole = response("stream", BodyFraming::Chunks, &pieces);
            let cut = whole.len() - 10;
            ScriptedAnswer::new(&whole[..cut], AnswerEnd::Close)
        }
        _ => {
            let pieces = ["data: one\n\n".to_owned()];
            ScriptedAnswer::new(response("stream", BodyFraming::Length, &pieces), AnswerEnd::Close)
        }
    })
    .await;
    assert_eq!(body, None, "an event would come twice");
    assert_eq!(requests.len(), 1);
}

#[compio::test]
async fn booking_whose_response_is_broken_off_is_neither_refused_nor_sent_again() {
    for framing in [BodyFraming::Length, BodyFraming::Chunks] {
        for end in [AnswerEnd::Close, AnswerEnd::Reset] {
            let platform = TestPlatform::new().await;
            let (position, run_count) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
            for index in 0..2 {
                let (position, run_count) = (position.clone(), run_count.clone());
                let script = move |request: &ScriptedRequest| {
                    run_count.set(run_count.get() + 1);
                    let bytes = response(&request.id, framing, &body_pieces(request));
                    ScriptedAnswer::new(&bytes[..position.get()], end)
                };
                start_scripted_worker(&platform.store, &format!("i-desk{index}"), script).await;
            }
            let platform = platform.with_gateways(1).await;
            let sample = ScriptedRequest { path: "/book/x".to_owned(), ..Default::default() };
            let positions = cut_positions(&response("id-000", framing, &body_pieces(&sample)));
            for (index, at) in positions.into_iter().enumerate() {
                position.set(at);
                run_count.set(0);
                let id = format!("id-{index:03}");
                let answer = platform.send_request(0, "/book/x", &id, API_KEY).await;
                let status = answer.expect("a response").status;
                let label = format!("{framing:?} {end:?} at byte {at}");
                assert!(matches!(status, 502 | 504), "{label}: status {status}");
                assert_eq!(run_count.get(), 1, "{label}");
            }
        }
    }
}

/// A caller that speaks HTTP/1.0 gets no chunks, so only a reset tells it that a stream was cut.
#[compio::test]
async fn stream_that_is_cut_does_not_look_complete_to_an_http_1_0_caller() {
    let platform = TestPlatform::new().await;
    for index in 0..2 {
        let script = |request: &ScriptedRequest| {
            let whole = response(&request.id, BodyFraming::Length, &body_pieces(request));
            ScriptedAnswer::new(&whole[..whole.len() - 5], AnswerEnd::Close)
        };
        start_scripted_worker(&platform.store, &format!("i-desk{index}"), script).await;
    }
    let platform = platform.with_gateways(1).await;
    let front: std::net::SocketAddr = platform.gateways[0].front.parse().expect("an address");
    let mut caller = TcpStream::connect(front).await.expect("the gateway listens");
    let head = format!(
        "POST /feed/x HTTP/1.0\r\nhost: {HOST}\r\nauthorization: Bearer {API_KEY}\r\n\
         x-eelgrassdeal-request-id: old\r\nx-eelgrassdeal-deadline-ms: 8000\r\n\
         content-length: 0\r\n\r\n"
    );
    caller.write_all(head).await.0.expect("the request is sent");
    let mut received = Vec::new();
    let ended = loop {
        let BufResult(read, buffer) = caller.read(Vec::with_capacity(64 * 1024)).await;
        match read {
            Ok(0) => break Ok(()),
            Ok(_) => received.extend_from_slice(&buffer),
            Err(error) => break Err(error.kind()),
        }
    };
    let text = String::from_utf8_lossy(&received);
    assert!(text.contains("data: event 2"), "the stream began: {text}");
    assert_eq!(ended, Err(std::io::ErrorKind::ConnectionReset), "after {text}");
}

/// A worker whose answer ends with its connection, and which then takes no connection for `pause`, as
/// if its process stood still.
fn start_pausing_worker(platform: &TestPlatform, pause: Duration) {
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None);
    let socket = socket.expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    rustix::net::bind(&socket, &any).expect("a free port");
    // One connection fills the queue of those that are not accepted.
    rustix::net::listen(&socket, 0).expect("a listening socket");
    let listener = std::net::TcpListener::from(socket);
    let address = listener.local_addr().expect("a bound address");
    let row = serde_json::json!({ "service": PLAIN_SERVICE, "address": address.to_string(),
        "zone": "zone-a", "version": "1", "slots": 6, "state": "ready", "cold_left_ms": 0,
        "seq": 1, "born": 1 });
    platform.store.put("servers", "i-desk0", row.to_string().as_bytes());
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut head = [0; 8 * 1024];
            let count = stream.read(&mut head).unwrap_or(0);
            if count == 0 {
                continue;
            }
            let is_stream = head[..count].starts_with(b"POST /feed/");
            let pieces = if is_stream { events_after(0) } else { vec!["0123456789".to_owned()] };
            let whole = response("one", BodyFraming::ConnectionEnd, &pieces);
            let waiting = std::net::TcpStream::connect(address);
            let _ = stream.write_all(&whole);
            drop(stream);
            std::thread::sleep(pause);
            drop(waiting);
        }
    });
}

/// A worker that stands still, or a pause of the gateway itself, was taken for a crash after 100 ms.
#[compio::test]
async fn response_without_length_of_a_worker_that_then_pauses_is_complete() {
    for (path, body) in [("/feed/x", complete_stream(EVENTS)), ("/book/x", "0123456789".into())] {
        let platform = TestPlatform::new().await;
        start_pausing_worker(&platform, Duration::from_millis(700));
        let platform = platform.with_gateways(1).await;
        let answer = platform.send_request(0, path, "one", API_KEY).await;
        let answer = answer.expect("a complete response");
        assert_eq!((answer.status, &answer.body[..]), (200, body.as_bytes()), "{path}");
    }
}

/// A peer would take a reply that was cut for a shorter one if only the end of the connection told its end.
#[compio::test]
async fn reply_of_a_node_to_a_peer_has_a_length() {
    let platform = TestPlatform::new().await.with_gateways(1).await;
    let message = encode_message(&SyncMessage { node: "node".to_owned(), ..Default::default() });
    let request = Request::post("/sync").header("host", "node").body(Full::new(message));
    let peer = platform.gateways[0].peer.clone();
    let reply = platform.call(&peer, request.expect("a request")).await.expect("a reply");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.headers["content-length"], reply.body.len().to_string());
}
