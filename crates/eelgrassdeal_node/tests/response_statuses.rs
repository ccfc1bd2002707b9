//! Upstreams whose answers have no real status.

mod common;

use common::READY_STATUS;
use common::odd_answers::{
    answer_with_status, assert_calls_survive, assert_chats_survive, assert_probes_fail,
};
use eelgrassdeal_standins::RawAnswer;

/// What stands in the status line after the version.
const STATUSES: [&str; 14] = [
    "000 None",
    "099 None",
    "100 Continue",
    "102 Processing",
    "199 None",
    "101 Switching Protocols",
    "600 None",
    "700 None",
    "999 None",
    "20 OK",
    "2000 OK",
    "0 None",
    "-200 OK",
    "None",
];

fn odd_answers(body: &str) -> Vec<RawAnswer> {
    let odd_answer = |status: &str| RawAnswer::new(status, answer_with_status(status, body));
    STATUSES.into_iter().map(odd_answer).collect()
}

/// Guards against passing on, or storing as the result of a call, a status that is none.
#[compio::test]
async fn call_without_a_real_status_is_repeated_or_answered_502() {
    assert_calls_survive(&odd_answers("{}")).await;
}

#[compio::test]
async fn chat_without_a_real_status_is_sent_to_another_replica() {
    assert_chats_survive(&odd_answers("data: [DONE]\n\n")).await;
}

/// Guards against counting an upstream as ready because of bytes that are no answer.
#[compio::test]
async fn probe_without_a_real_status_does_not_make_an_upstream_ready() {
    assert_probes_fail(&odd_answers(READY_STATUS)).await;
}
