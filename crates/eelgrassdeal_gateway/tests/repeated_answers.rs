//! Workers that write an answer once more on a connection that is kept open: callers and the planner
//! never take the copy for the answer to a later request.

mod common;

use std::cell::RefCell;
use std::rc::Rc;

use common::scripted_worker::{AnswerEnd, ScriptedAnswer, ScriptedRequest, start_scripted_worker};
use common::{API_KEY, TestPlatform, caller_request};

const REQUESTS: u32 = 12;

/// A refusal that says that the request was not run.
fn refusal(status: u16, id: Option<&str>) -> String {
    let id = id.map(|id| format!("x-eelgrassdeal-request-id: {id}\r\n")).unwrap_or_default();
    format!(
        "HTTP/1.1 {status} Refused\r\n{id}x-eelgrassdeal-not-executed: full\r\n\
         content-length: 0\r\n\r\n"
    )
}

fn success(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-eelgrassdeal-request-id: {id}\r\n\
         x-eelgrassdeal-response-seal: seal\r\ncontent-length: {}\r\n\r\n{id}",
        id.len()
    )
}

/// How a worker repeats an earlier refusal.
#[derive(Clone, Copy, Debug)]
enum RefusalCopy {
    /// Right after the refusal itself.
    AfterRefusal,
    /// After the answer to a later request.
    AfterAnswer,
    /// Before the answer to a later request.
    BeforeAnswer,
}

/// Sends requests to workers that refuse the first one of each connection in three, run the others,
/// and repeat a refusal with the id `copy_id`.
async fn assert_refusals_are_true(path: &str, copy: RefusalCopy, copy_id: Option<&'static str>) {
    let platform = TestPlatform::new().await;
    let runs: Rc<RefCell<Vec<String>>> = Rc::default();
    for index in 0..2 {
        let (runs, arrivals) = (runs.clone(), Rc::new(RefCell::new(0_u32)));
        let script = move |request: &ScriptedRequest| {
            *arrivals.borrow_mut() += 1;
            let is_refused = *arrivals.borrow() % 3 == 1;
            let copied = |status| refusal(status, copy_id);
            let bytes = match (is_refused, copy) {
                (true, RefusalCopy::AfterRefusal) => {
                    format!("{}{}", refusal(503, Some(&request.id)), copied(503))
                }
                (true, _) => refusal(503, Some(&request.id)),
                (false, RefusalCopy::AfterAnswer) => {
                    format!("{}{}", success(&request.id), copied(503))
                }
                (false, RefusalCopy::BeforeAnswer) => {
                    format!("{}{}", copied(421), success(&request.id))
                }
                (false, RefusalCopy::AfterRefusal) => success(&request.id),
            };
            if !is_refused {
                runs.borrow_mut().push(request.id.clone());
            }
            ScriptedAnswer::new(bytes, AnswerEnd::KeepOpen)
        };
        start_scripted_worker(&platform.store, &format!("i-desk{index}"), script).await;
    }
    let platform = platform.with_gateways(1).await;
    for index in 0..REQUESTS {
        let id = format!("id-{index}");
        let answer = platform.send_request(0, path, &id, API_KEY).await.expect("a response");
        let run_count = runs.borrow().iter().filter(|run| **run == id).count();
        let label = format!("{path} {copy:?} {copy_id:?} {id}: {} runs", run_count);
        match answer.status {
            200 => assert_eq!(answer.body, id, "{label}"),
            429 | 503 => assert_eq!(run_count, 0, "{label}: refused as not run"),
            status => assert!(matches!(status, 502 | 504), "{label}: status {status}"),
        }
        if path.starts_with("/book/") {
            assert!(run_count <= 1, "{label}: not idempotent");
        }
    }
    assert!(!runs.borrow().is_empty(), "requests reached the workers");
}

#[compio::test]
async fn repeated_refusal_is_not_taken_for_that_of_a_later_request() {
    let copies = [RefusalCopy::AfterRefusal, RefusalCopy::AfterAnswer, RefusalCopy::BeforeAnswer];
    for path in ["/book/x", "/look/x"] {
        for copy in copies {
            for copy_id in [None, Some("earlier")] {
                assert_refusals_are_true(path, copy, copy_id).await;
            }
        }
    }
}

#[compio::test]
async fn connection_of_a_request_without_an_id_is_not_kept() {
    let platform = TestPlatform::new().await;
    let earlier_requests: Rc<RefCell<Vec<u32>>> = Rc::default();
    let seen = earlier_requests.clone();
    let script = move |request: &ScriptedRequest| {
        seen.borrow_mut().push(request.earlier_requests);
        let answer = success(&request.id).replace("x-eelgrassdeal-request-id: \r\n", "");
        ScriptedAnswer::new(answer, AnswerEnd::KeepOpen)
    };
    start_scripted_worker(&platform.store, "i-desk0", script).await;
    let platform = platform.with_gateways(1).await;
    let mut request = caller_request("/look/x", "", API_KEY);
    request.headers_mut().remove("x-eelgrassdeal-request-id");
    let front = platform.gateways[0].front.clone();
    let answer = platform.call(&front, request).await.expect("a response");
    assert_eq!(answer.status, 200);
    for id in ["a", "b"] {
        let answer = platform.send_request(0, "/look/x", id, API_KEY).await.expect("a response");
        assert_eq!((answer.status, &answer.body[..]), (200, id.as_bytes()));
    }
    assert_eq!(*earlier_requests.borrow(), [0, 0, 1]);
}
