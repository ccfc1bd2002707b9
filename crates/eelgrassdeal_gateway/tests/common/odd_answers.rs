//! Requests whose first answer no client may accept.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use super::scripted_worker::{AnswerEnd, ScriptedAnswer, ScriptedRequest, start_scripted_worker};
use super::{API_KEY, TestPlatform, complete_stream};

/// Number of events in the bodies of streams.
const EVENTS: u64 = 3;
const BODY: &str = "0123456789";
/// Time within which requests end whose worker answers at once. Less than a silent worker's.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

type AnswerMaker = dyn Fn(&ScriptedRequest, &str) -> ScriptedAnswer;

/// An answer that no client may accept.
pub struct OddAnswer {
    /// Name of the answer in the message of a failed test.
    pub label: String,
    /// Makes the answer to a request, of which the whole body is given.
    pub make: Box<AnswerMaker>,
}

/// Lines that sound answers to a request have.
pub fn answer_fields(request: &ScriptedRequest) -> String {
    format!("x-eelgrassdeal-request-id: {}\r\nx-eelgrassdeal-response-seal: seal\r\n", request.id)
}

/// Answer with a length that is sound if the status is.
pub fn answer_with_status(
    request: &ScriptedRequest,
    status: &str,
    body: &str,
    end: AnswerEnd,
) -> ScriptedAnswer {
    let (fields, length) = (answer_fields(request), body.len());
    let head = format!("HTTP/1.1 {status}\r\n{fields}content-length: {length}\r\n\r\n");
    ScriptedAnswer::new(head + body, end)
}

/// Body of the whole answer to a request.
pub fn body_of(request: &ScriptedRequest) -> String {
    match request.path.as_str() {
        "/feed/x" => {
            let received = complete_stream(request.last_event.unwrap_or(0)).len();
            complete_stream(EVENTS).split_off(received)
        }
        _ => BODY.to_owned(),
    }
}

/// Starts two workers. The one that gets a request first answers with the one of `answers` whose index the
/// request's id begins with; the other one answers 200. Returns the ids of the requests that they get.
async fn start_workers(
    platform: &TestPlatform,
    answers: &Rc<Vec<OddAnswer>>,
) -> Rc<RefCell<Vec<String>>> {
    let received = Rc::new(RefCell::new(Vec::new()));
    let seen = Rc::new(RefCell::new(HashSet::new()));
    for worker in ["i-desk0", "i-desk1"] {
        let (answers, received, seen) = (answers.clone(), received.clone(), seen.clone());
        let script = move |request: &ScriptedRequest| {
            received.borrow_mut().push(request.id.clone());
            let body = body_of(request);
            let index = request.id.split('-').next().and_then(|index| index.parse::<usize>().ok());
            match index.and_then(|index| answers.get(index)) {
                Some(answer) if seen.borrow_mut().insert(request.id.clone()) => {
                    (answer.make)(request, &body)
                }
                _ => answer_with_status(request, "200 OK", &body, AnswerEnd::KeepOpen),
            }
        };
        start_scripted_worker(&platform.store, worker, script).await;
    }
    received
}

/// What came of a request: the status that the caller got, whether the body is the whole one, and how many
/// requests the workers got.
fn outcome_text(status: Option<u16>, is_whole: bool, runs: usize) -> String {
    let status = status.map_or_else(|| "no answer".to_owned(), |status| status.to_string());
    format!("{status}, whole body: {is_whole}, runs: {runs}")
}

/// Sends a request for each answer, and lists those with another outcome.
pub async fn assert_outcomes(answers: Vec<OddAnswer>, path: &str, expected: &str) {
    let platform = TestPlatform::new().await.with_retry_slack(1_000);
    let answers = Rc::new(answers);
    let received = start_workers(&platform, &answers).await;
    let platform = platform.with_gateways(1).await;
    let whole = body_of(&ScriptedRequest { path: path.to_owned(), ..ScriptedRequest::default() });
    let mut failures = Vec::new();
    for (index, answer) in answers.iter().enumerate() {
        let id = format!("{index}-{}", path.trim_matches('/').replace('/', "-"));
        let sent = platform.send_request(0, path, &id, API_KEY);
        let result = compio::time::timeout(ANSWER_TIMEOUT, sent).await;
        let response = result.ok().and_then(Result::ok);
        let is_whole = response.as_ref().is_some_and(|response| response.body == whole.as_bytes());
        let runs = received.borrow().iter().filter(|request| **request == id).count();
        let outcome = outcome_text(response.map(|response| response.status), is_whole, runs);
        if outcome != expected {
            failures.push(format!("{}: {outcome}", answer.label));
        }
    }
    assert!(failures.is_empty(), "{path}: expected {expected}; got\n{}", failures.join("\n"));
}
