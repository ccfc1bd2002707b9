//! Bodies and heads without end, from several workers at the same time.

mod common;

use std::time::Duration;

use common::scripted_worker::{AnswerEnd, ScriptedAnswer, ScriptedRequest, start_scripted_worker};
use common::{API_KEY, TestPlatform, complete_stream};
use futures_util::future::{join, join_all};

const ENDLESS_WORKERS: usize = 4;
/// Requests at the same time: more than the slots of the workers.
const REQUESTS: usize = 72;
/// Memory limit of the smallest nodes.
const MEMORY_LIMIT: u64 = 160_000_000;
const EVENTS: u64 = 10;
/// Part of a body, and of an event, that has no end.
const PIECE: &[u8] = &[b'x'; 64 * 1024];

/// A large part of a response that consists of `text`.
fn repeated(text: &str) -> &'static [u8] {
    text.repeat(PIECE.len() / text.len()).leak().as_bytes()
}

/// Like [`assert_memory_is_bounded_by`], for responses that begin as complete ones do, with `content`.
async fn assert_memory_is_bounded(path: &'static str, content: &'static str) {
    let start = move |id: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nx-eelgrassdeal-request-id: {id}\r\n\
             x-eelgrassdeal-response-seal: seal\r\n\r\n{content}"
        )
    };
    assert_memory_is_bounded_by(path, start, PIECE).await;
}

/// Sends requests for `path` to workers whose responses to the request with an id begin with
/// `start(id)` and go on with `piece` again and again, and streams to others.
async fn assert_memory_is_bounded_by(
    path: &'static str,
    start: impl Fn(&str) -> String + Clone + 'static,
    piece: &'static [u8],
) {
    let platform = TestPlatform::new().await.with_engines(4, EVENTS);
    let platform = platform.await.with_gateways(1).await;
    let script = move |request: &ScriptedRequest| {
        ScriptedAnswer::new(start(&request.id), AnswerEnd::Repeat(piece))
    };
    for index in 0..ENDLESS_WORKERS {
        let script = script.clone();
        start_scripted_worker(&platform.store, &format!("i-endless{index}"), script).await;
    }
    platform.wait_serving(2).await;
    let endless = join_all((0..REQUESTS).map(|index| {
        let platform = &platform;
        async move { platform.send_request(0, path, &format!("endless-{index}"), API_KEY).await }
    }));
    let streams = async {
        let mut answers = Vec::new();
        for index in 0..5 {
            let id = format!("stream-{index}");
            answers.push(platform.send_request(0, "/stream/x", &id, API_KEY).await);
            compio::time::sleep(Duration::from_millis(100)).await;
        }
        answers
    };
    let (endless, streams) = join(endless, streams).await;
    for answer in endless.into_iter().flatten() {
        assert!(matches!(answer.status, 502..=504), "{path}: {}", answer.status);
    }
    for answer in streams {
        assert_eq!(answer.expect("a response").body, complete_stream(EVENTS), "{path}");
    }
    let peak = platform.gateways[0].peak_memory();
    println!("{path}: peak of {} MB", peak / 1_000_000);
    assert!(peak < MEMORY_LIMIT, "{path}: the gateway held up to {peak} bytes");
}

#[compio::test]
async fn endless_bodies_do_not_exhaust_the_memory_of_a_node() {
    assert_memory_is_bounded("/book/x", "").await;
    assert_memory_is_bounded("/look/x", "").await;
}

#[compio::test]
async fn endless_events_do_not_exhaust_the_memory_of_a_node() {
    assert_memory_is_bounded("/feed/x", "data: ").await;
}

/// Head of the response to the request with this id, whose body comes in chunks.
fn chunked_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-eelgrassdeal-request-id: {id}\r\n\
         x-eelgrassdeal-response-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n"
    )
}

/// Bytes that never become the head of a response, or of a chunk, or the trailers after one.
#[compio::test]
async fn endless_heads_do_not_exhaust_the_memory_of_a_node() {
    let nothing = |_: &str| String::new();
    let status_line = |_: &str| "HTTP/1.1 200 ".to_owned();
    let head = |_: &str| "HTTP/1.1 200 OK\r\n".to_owned();
    let trailers = |id: &str| chunked_head(id) + "0\r\n";
    assert_memory_is_bounded_by("/look/x", nothing, PIECE).await;
    assert_memory_is_bounded_by("/look/x", nothing, repeated("\r\n")).await;
    assert_memory_is_bounded_by("/book/x", status_line, PIECE).await;
    assert_memory_is_bounded_by("/look/x", head, repeated("x-name: value\r\n")).await;
    assert_memory_is_bounded_by("/feed/x", head, PIECE).await;
    assert_memory_is_bounded_by("/feed/x", chunked_head, repeated("1;name=value")).await;
    assert_memory_is_bounded_by("/look/x", trailers, repeated("x-name: value\r\n")).await;
}

/// The size of a chunk may begin with any number of zeros, which are parsed one by one.
#[compio::test]
async fn endless_chunk_sizes_do_not_hold_up_other_callers() {
    assert_memory_is_bounded_by("/look/x", chunked_head, repeated("0")).await;
}
