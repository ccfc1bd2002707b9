//! Upstreams of a plain service that answer a call while it is still being sent to them.

mod common;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{READY_STATUS, start_serving_fleet};
use eelgrassdeal_schema::settings::LimitSettings;
use eelgrassdeal_standins::{EarlyAnswer, EarlyEnd, start_early_peer};
use eelgrassdeal_testkit::{FleetSpec, TestCaller};
use serde_json::json;

const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// More than the sockets of both sides hold.
const UPLOAD_BYTES: usize = 8_000_000;
/// Time after which the node's writes have come to a stop, as the sockets are full.
const PAUSE: Duration = Duration::from_millis(20);
/// Uploads of each kind of call. Whether a write or a read learns of a reset first is a race.
const UPLOADS: usize = 24;
/// Start of the line with the id of a call, which all its attempts have.
const REQUEST_ID_FIELD: &str = "x-request-id: ";

/// Number of calls that the upstreams got, by request id.
type CallCounts = Arc<Mutex<HashMap<String, usize>>>;

fn answer_with_length(body: &str) -> EarlyAnswer {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    EarlyAnswer::new(head + body, EarlyEnd::KeepOpen).with_read_bytes(usize::MAX)
}

/// Answer without a length. The JSON text of the part is complete, so that callers can't tell.
fn early_answer(body: &str, end: EarlyEnd) -> EarlyAnswer {
    EarlyAnswer::new(format!("HTTP/1.1 200 OK\r\n\r\n{body}"), end)
        .with_read_bytes(100_000)
        .with_pause(PAUSE)
}

/// Starts an upstream that answers the first attempt of each call with `answer`, whichever upstream gets it.
fn start_upstream(counts: &CallCounts, answer: EarlyAnswer) -> String {
    let counts = counts.clone();
    let address = start_early_peer(move |head| {
        if head.starts_with("GET /status ") {
            return answer_with_length(READY_STATUS);
        }
        let id = head.lines().find_map(|line| line.strip_prefix(REQUEST_ID_FIELD));
        let mut counts = counts.lock().expect("no panic");
        let count = counts.entry(id.expect("a request id").to_owned()).or_default();
        *count += 1;
        match *count {
            1 => answer.clone(),
            _ => answer_with_length(r#"{"is_whole":true}"#),
        }
    });
    address.expect("a free port").to_string()
}

/// Sends uploads of both kinds of calls. `expected` has the status, the body and the number of attempts of
/// those that may be repeated, and of those that must not.
async fn assert_outcomes(
    answers: [EarlyAnswer; 2],
    expected: [(u16, serde_json::Value, usize); 2],
) {
    let counts = CallCounts::default();
    let addresses = answers.into_iter().cycle().take(4);
    let addresses = addresses.map(|answer| start_upstream(&counts, answer)).collect();
    let limits = LimitSettings { max_body_bytes: 16_000_000, ..FleetSpec::default().limits };
    let spec = FleetSpec { limits, ..FleetSpec::default() };
    let fleet = start_serving_fleet(spec, addresses).await;
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(CALL_TIMEOUT);
    let upload = "u".repeat(UPLOAD_BYTES);
    let mut failures = Vec::new();
    for (call, expected) in ["price", "book"].into_iter().zip(&expected) {
        for index in 0..UPLOADS {
            counts.lock().expect("no panic").clear();
            let key = (call == "book").then(TestCaller::new_idempotency_key);
            let address = fleet.node_addresses[0];
            let outcome = caller.call_service(address, call, key.as_deref(), &upload).await;
            let runs = counts.lock().expect("no panic").values().sum::<usize>();
            let body = if outcome.status == 200 { outcome.body } else { json!(null) };
            let outcome = (outcome.status, body, runs);
            // A repeated call with the same key gets the stored result, if there is one.
            let repeated = match key.as_deref() {
                Some(key) => caller.call_service(address, call, Some(key), &upload).await.body,
                None => json!(null),
            };
            if outcome != *expected || repeated["is_whole"] == false {
                failures.push((call, index, outcome, repeated));
            }
        }
    }
    let count = failures.len();
    assert!(
        failures.is_empty(),
        "{count} of {} with another outcome than {expected:?}, the first ones {:#?}",
        2 * UPLOADS,
        &failures[..count.min(4)]
    );
}

#[compio::test]
async fn part_of_an_answer_that_is_reset_during_the_upload_is_not_passed_on_or_stored() {
    let answer = |end| early_answer(r#"{"is_whole":false}"#, end);
    let answers = [answer(EarlyEnd::Reset), answer(EarlyEnd::CloseUnread)];
    assert_outcomes(answers, [(200, json!({"is_whole": true}), 2), (502, json!(null), 1)]).await;
}

/// An upstream may answer before it has read the upload, close its sending half and read on.
#[compio::test]
async fn early_answer_of_an_upstream_that_reads_the_upload_is_passed_on() {
    let answer = early_answer(r#"{"is_whole":true}"#, EarlyEnd::ReadToEnd);
    let expected = (200, json!({"is_whole": true}), 1);
    assert_outcomes([answer.clone(), answer], [expected.clone(), expected]).await;
}
