//! Workers that answer a request while it is still being sent to them.

mod common;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use common::odd_answers::{answer_fields, answer_with_status, body_of};
use common::scripted_worker::{AnswerEnd, ScriptedRequest, worker_row};
use common::{API_KEY, TestPlatform, caller_request, complete_stream};
use eelgrassdeal_http::{BufferedResponse, SendFailure, SendOptions};
use eelgrassdeal_standins::{EarlyAnswer, EarlyEnd, start_early_peer};
use http_body_util::Full;

const TIMEOUT: Duration = Duration::from_secs(8);
const MAX_ANSWER_BYTES: usize = 4_096;
const MAX_UPLOAD_BYTES: usize = 16_000_000;
/// More than the sockets of both sides hold.
const UPLOAD_BYTES: usize = 8_000_000;
/// Time after which the gateway's writes have come to a stop, as the sockets are full.
const PAUSE: Duration = Duration::from_millis(20);
/// Uploads to each kind of route. Whether a write or a read learns of a reset first is a race.
const UPLOADS: usize = 50;

/// Number of requests that the workers got, by id.
type RequestCounts = Arc<Mutex<HashMap<String, usize>>>;

/// Answer whose body ends with its connection.
fn answer_without_length(request: &ScriptedRequest, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{}\r\n{body}", answer_fields(request))
}

/// Whole answer with a length to a request that was read to its end.
fn whole_answer(request: &ScriptedRequest) -> EarlyAnswer {
    let answer = answer_with_status(request, "200 OK", &body_of(request), AnswerEnd::KeepOpen);
    EarlyAnswer::new(answer.bytes, EarlyEnd::KeepOpen).with_read_bytes(usize::MAX)
}

/// Starts two workers of the plain service. The one that gets a request first answers it with `answer`, the
/// other one with a whole answer.
fn start_workers(
    platform: &TestPlatform,
    answer: impl Fn(&ScriptedRequest) -> EarlyAnswer + Clone + Send + Sync + 'static,
) -> RequestCounts {
    let counts = RequestCounts::default();
    for worker in ["i-desk0", "i-desk1"] {
        let (answer, counts) = (answer.clone(), counts.clone());
        let address = start_early_peer(move |head| {
            let request = ScriptedRequest::from_head(head);
            let mut counts = counts.lock().expect("no panic");
            let count = counts.entry(request.id.clone()).or_default();
            *count += 1;
            match *count {
                1 if !request.id.is_empty() => answer(&request),
                _ => whole_answer(&request),
            }
        });
        let row = worker_row(&address.expect("a free port").to_string());
        platform.store.put("servers", worker, row.to_string().as_bytes());
    }
    counts
}

async fn upload(
    platform: &TestPlatform,
    path: &str,
    id: &str,
    body: &Bytes,
) -> Result<BufferedResponse, SendFailure> {
    let mut request = caller_request(path, id, API_KEY);
    *request.body_mut() = Full::new(body.clone());
    let front = platform.gateways[0].front.clone();
    platform.pool.call(&front, request, SendOptions::default(), TIMEOUT, MAX_ANSWER_BYTES).await
}

/// Body of the whole answer to a request.
fn whole_body(path: &str) -> String {
    body_of(&ScriptedRequest { path: path.to_owned(), ..ScriptedRequest::default() })
}

/// What came of an upload: the status that the caller got, its body, and how many requests the workers got.
type UploadOutcome = (Option<u16>, String, usize);

/// Sends uploads to workers of which the first one answers with `answer`, and lists those with another
/// outcome than `expected`.
async fn assert_outcomes(
    path: &str,
    uploads: usize,
    answer: impl Fn(&ScriptedRequest) -> EarlyAnswer + Clone + Send + Sync + 'static,
    expected: UploadOutcome,
) {
    let platform = TestPlatform::new().await.with_retry_slack(1_000);
    platform.write_config_with_bodies(2, &[API_KEY], MAX_UPLOAD_BYTES);
    let counts = start_workers(&platform, answer);
    let platform = platform.with_gateways(1).await;
    let body = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
    let mut failures = Vec::new();
    for index in 0..uploads {
        let id = format!("id-{index}");
        let response = upload(&platform, path, &id, &body).await.ok();
        let status = response.as_ref().map(|response| response.status);
        let body = response.filter(|response| response.status == 200).map(|response| response.body);
        let body = String::from_utf8_lossy(&body.unwrap_or_default()).into_owned();
        let runs = counts.lock().expect("no panic").get(&id).copied().unwrap_or(0);
        let outcome = (status, body, runs);
        if outcome != expected {
            failures.push((id, outcome));
        }
    }
    let count = failures.len();
    assert!(
        failures.is_empty(),
        "{path}: {count} of {uploads} with another outcome than {expected:?}, the first ones {:#?}",
        &failures[..count.min(4)]
    );
}

/// The first bytes of an answer, after which the connection is reset. The request's id decides how it is
/// reset, and how much of the request has been read.
fn reset_answer(request: &ScriptedRequest) -> EarlyAnswer {
    let index: usize = request.id.trim_start_matches("id-").parse().expect("an index");
    let end = [EarlyEnd::Reset, EarlyEnd::CloseUnread][index % 2];
    let read_bytes = [0, 100_000, 1_000_000, 3_000_000][index / 2 % 4];
    // The part of a stream ends between two events, as a complete one does.
    let part = match request.path.starts_with("/feed/") {
        true => complete_stream(1),
        false => body_of(request)[..4].to_owned(),
    };
    EarlyAnswer::new(answer_without_length(request, &part), end)
        .with_read_bytes(read_bytes)
        .with_pause(PAUSE)
}

#[compio::test]
async fn repeatable_upload_that_is_reset_runs_elsewhere() {
    assert_outcomes("/look/x", UPLOADS, reset_answer, (Some(200), whole_body("/look/x"), 2)).await;
}

#[compio::test]
async fn stream_that_is_reset_during_the_upload_is_resumed_elsewhere() {
    let expected = (Some(200), whole_body("/feed/x"), 2);
    assert_outcomes("/feed/x", UPLOADS, reset_answer, expected).await;
}

/// It may have run, and must not run twice.
#[compio::test]
async fn upload_that_must_not_be_repeated_is_answered_502_after_a_reset() {
    assert_outcomes("/book/x", UPLOADS, reset_answer, (Some(502), String::new(), 1)).await;
}

#[compio::test]
async fn upload_with_a_single_attempt_is_answered_502_after_a_reset() {
    assert_outcomes("/once/x", UPLOADS, reset_answer, (Some(502), String::new(), 1)).await;
}

/// A worker may answer before it has read the upload, close its sending half and read on.
#[compio::test]
async fn early_answer_of_a_worker_that_reads_the_upload_arrives_whole() {
    const WHOLE_UPLOADS: usize = 8;
    for path in ["/look/x", "/book/x", "/once/x", "/feed/x"] {
        let answer = |request: &ScriptedRequest| {
            let answer = answer_without_length(request, &body_of(request));
            EarlyAnswer::new(answer, EarlyEnd::ReadToEnd).with_pause(PAUSE)
        };
        assert_outcomes(path, WHOLE_UPLOADS, answer, (Some(200), whole_body(path), 1)).await;
    }
}
