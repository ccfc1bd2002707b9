//! Answers of workers whose status is none: 000, informational ones that no other follows, an upgrade that
//! nobody asked for, numbers above 599, and those of two or four digits.

mod common;

use common::odd_answers::{OddAnswer, answer_with_status, assert_outcomes};
use common::scripted_worker::{AnswerEnd, ScriptedRequest, start_scripted_worker};
use common::{API_KEY, TestPlatform};

const BODY: &str = "0123456789";

/// What stands in the status line after the version, and what follows the answer.
const ANSWERS: [(&str, AnswerEnd); 23] = [
    ("000 None", AnswerEnd::KeepOpen),
    ("000 None", AnswerEnd::Close),
    ("099 None", AnswerEnd::KeepOpen),
    ("100 Continue", AnswerEnd::KeepOpen),
    ("100 Continue", AnswerEnd::Close),
    ("100 Continue", AnswerEnd::Reset),
    ("102 Processing", AnswerEnd::KeepOpen),
    ("103 Early Hints", AnswerEnd::Close),
    ("100 Empty", AnswerEnd::KeepOpen),
    ("199 Empty", AnswerEnd::KeepOpen),
    ("101 Empty", AnswerEnd::KeepOpen),
    ("199 None", AnswerEnd::KeepOpen),
    ("199 None", AnswerEnd::Reset),
    ("101 Switching Protocols", AnswerEnd::KeepOpen),
    ("101 Switching Protocols", AnswerEnd::Close),
    ("600 None", AnswerEnd::KeepOpen),
    ("600 None", AnswerEnd::Close),
    ("700 None", AnswerEnd::KeepOpen),
    ("999 None", AnswerEnd::KeepOpen),
    ("20 OK", AnswerEnd::KeepOpen),
    ("2000 OK", AnswerEnd::KeepOpen),
    ("0 None", AnswerEnd::KeepOpen),
    ("None", AnswerEnd::KeepOpen),
];

/// Answers that are sound but for their status. They have no body if the text of the status says so.
fn odd_answers() -> Vec<OddAnswer> {
    let odd_answer = |(status, end): (&'static str, AnswerEnd)| OddAnswer {
        label: format!("{status}, {end:?}"),
        make: Box::new(move |request, body| {
            let body = if status.ends_with("Empty") { "" } else { body };
            answer_with_status(request, status, body, end)
        }),
    };
    ANSWERS.into_iter().map(odd_answer).collect()
}

/// A caller may take such a status for anything; a request that may be repeated runs elsewhere.
#[compio::test]
async fn repeatable_request_is_sent_to_another_worker() {
    assert_outcomes(odd_answers(), "/look/x", "200, whole body: true, runs: 2").await;
}

#[compio::test]
async fn stream_is_sent_to_another_worker() {
    assert_outcomes(odd_answers(), "/feed/x", "200, whole body: true, runs: 2").await;
}

/// It may have run, and must not run twice.
#[compio::test]
async fn request_that_must_not_be_repeated_is_answered_502() {
    assert_outcomes(odd_answers(), "/book/x", "502, whole body: false, runs: 1").await;
}

#[compio::test]
async fn request_with_a_single_attempt_is_answered_502() {
    assert_outcomes(odd_answers(), "/once/x", "502, whole body: false, runs: 1").await;
}

/// Guards against a worker that goes on getting its share of the requests, as it answers fast and its answers
/// count as complete.
#[compio::test]
async fn worker_without_real_statuses_is_avoided_and_named() {
    const REQUESTS: usize = 30;
    let platform = TestPlatform::new().await.with_retry_slack(1_000);
    for (worker, status) in [("i-desk0", "600 None"), ("i-desk1", "200 OK")] {
        let script = move |request: &ScriptedRequest| {
            answer_with_status(request, status, BODY, AnswerEnd::KeepOpen)
        };
        start_scripted_worker(&platform.store, worker, script).await;
    }
    let platform = platform.with_gateways(1).await;
    for index in 0..REQUESTS {
        let response = platform.send_request(0, "/look/x", &format!("one-{index}"), API_KEY).await;
        assert_eq!(response.expect("a response").status, 200);
    }
    let log = platform.gateways[0].log();
    let failed = log.lines().filter(|line| line.contains("event=attempt_failed"));
    let failed = failed.filter(|line| line.contains("i-desk0")).count();
    let named = log.matches("event=invalid_status").count();
    assert!(log.contains(" kind=undefined status=600"), "{log}");
    assert_eq!(named, failed, "each fault has its line");
    // Without weight in placement, half of the requests would reach it first.
    assert!((1..=REQUESTS / 5).contains(&failed), "{failed} attempts");
}
