//! Upstreams that close an idle connection just as a request arrives on it.

mod common;

use std::cell::RefCell;
use std::rc::Rc;

use common::scripted_worker::{AnswerEnd, ScriptedAnswer, ScriptedRequest, start_scripted_worker};
use common::{API_KEY, TestPlatform};

/// Sends two requests to a gateway whose only upstream ends each connection with `end` at its second
/// request. Returns the status of the second answer and how often the upstream received its request.
async fn outcome_at_ending_connection(
    path: &str,
    head_field: &'static str,
    end: AnswerEnd,
) -> (u16, usize) {
    let platform = TestPlatform::new().await;
    let requests: Rc<RefCell<Vec<ScriptedRequest>>> = Rc::default();
    let seen = requests.clone();
    let script = move |request: &ScriptedRequest| {
        seen.borrow_mut().push(request.clone());
        if request.earlier_requests > 0 {
            return ScriptedAnswer::new("", end);
        }
        let body = match request.path.starts_with("/feed/") {
            true => "id: 1\ndata: event 1\n\n",
            false => "0123456789",
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-eelgrassdeal-request-id: {}\r\nx-eelgrassdeal-response-seal: seal\r\n\
             {head_field}content-length: {}\r\n\r\n{body}",
            request.id,
            body.len()
        );
        ScriptedAnswer::new(answer, AnswerEnd::KeepOpen)
    };
    start_scripted_worker(&platform.store, "i-desk0", script).await;
    let platform = platform.with_gateways(1).await;
    let first = platform.send_request(0, path, "first", API_KEY).await.expect("a response");
    assert_eq!(first.status, 200, "{path} {head_field:?}");
    let second = platform.send_request(0, path, "second", API_KEY).await.expect("a response");
    let received = requests.borrow().iter().filter(|request| request.id == "second").count();
    (second.status, received)
}

#[compio::test]
async fn repeatable_request_survives_the_end_of_its_reused_connection() {
    for path in ["/look/x", "/once/x", "/feed/x"] {
        for head_field in ["", "keep-alive: timeout=1\r\n"] {
            for end in [AnswerEnd::Close, AnswerEnd::Reset] {
                let outcome = outcome_at_ending_connection(path, head_field, end).await;
                assert_eq!(outcome, (200, 2), "{path} {head_field:?} {end:?}");
            }
        }
    }
}

#[compio::test]
async fn unrepeatable_request_that_its_reused_connection_lost_is_not_sent_again() {
    let path = "/book/x";
    let outcome = outcome_at_ending_connection(path, "", AnswerEnd::Close).await;
    assert_eq!(outcome, (502, 1));
    let head_field = "connection: close\r\n";
    let outcome = outcome_at_ending_connection(path, head_field, AnswerEnd::Close).await;
    assert_eq!(outcome, (200, 1));
}

#[compio::test]
async fn request_that_may_have_run_is_not_refused_as_not_run_after_a_second_send_fails() {
    let outcome = outcome_at_ending_connection("/once/x", "", AnswerEnd::Exit).await;
    assert_eq!(outcome, (502, 1));
}
