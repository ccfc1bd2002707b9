//! Bodies without end, from several workers at the same time.

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

/// Sends requests for `path` to workers whose responses to it have no end, and streams to others.
async fn assert_memory_is_bounded(path: &'static str, content: &'static str) {
    let platform = TestPlatform::new().await.with_engines(4, EVENTS);
    let platform = platform.await.with_gateways(1).await;
    let script = move |request: &ScriptedRequest| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-eelgrassdeal-request-id: {}\r\n\
             x-eelgrassdeal-response-seal: seal\r\n\r\n{content}",
            request.id
        );
        ScriptedAnswer::new(head, AnswerEnd::Repeat(PIECE))
    };
    for index in 0..ENDLESS_WORKERS {
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
