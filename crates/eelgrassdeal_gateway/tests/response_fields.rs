//! Answers of workers with lines that are no fields: names with a blank or a control byte, blanks before the
//! colon, lines without a name or a colon.

mod common;

use std::cell::RefCell;
use std::rc::Rc;

use common::odd_answers::{OddAnswer, answer_fields, answer_with_status, assert_outcomes, body_of};
use common::scripted_worker::{AnswerEnd, ScriptedAnswer, ScriptedRequest, start_scripted_worker};
use common::{API_KEY, TestPlatform};
use eelgrassdeal_standins::malformed_answers;

fn odd_answers() -> Vec<OddAnswer> {
    let odd_answer = |(index, label): (usize, String)| OddAnswer {
        label,
        make: Box::new(move |request, body| {
            let answer = malformed_answers(&answer_fields(request), body).swap_remove(index);
            ScriptedAnswer::new(answer.bytes, AnswerEnd::KeepOpen)
        }),
    };
    let labels = malformed_answers("", "").into_iter().map(|answer| answer.label);
    labels.enumerate().map(odd_answer).collect()
}

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

/// Guards against reading a later response on a connection whose framing is in doubt.
#[compio::test]
async fn connection_is_not_used_after_a_malformed_answer() {
    const REQUESTS: usize = 60;
    let platform = TestPlatform::new().await.with_retry_slack(1_000);
    // The first worker answers all requests so, and the second one none.
    let reuses: Rc<RefCell<[Vec<bool>; 2]>> = Rc::default();
    for index in 0..2 {
        let (reuses, answers) = (reuses.clone(), odd_answers());
        let script = move |request: &ScriptedRequest| {
            let mut reuses = reuses.borrow_mut();
            reuses[index].push(request.earlier_requests > 0);
            let body = body_of(request);
            match index {
                0 => (answers[reuses[index].len() % answers.len()].make)(request, &body),
                _ => answer_with_status(request, "200 OK", &body, AnswerEnd::KeepOpen),
            }
        };
        start_scripted_worker(&platform.store, &format!("i-desk{index}"), script).await;
    }
    let platform = platform.with_gateways(1).await;
    for index in 0..REQUESTS {
        let response = platform.send_request(0, "/look/x", &format!("one-{index}"), API_KEY).await;
        assert_eq!(response.expect("a response").status, 200);
    }
    let reuses = reuses.borrow();
    assert!(!reuses[0].is_empty(), "the first worker gets requests");
    assert!(reuses[0].iter().all(|is_reuse| !is_reuse), "{:?}", reuses[0]);
    assert!(reuses[1].iter().any(|is_reuse| *is_reuse), "{:?}", reuses[1]);
}
