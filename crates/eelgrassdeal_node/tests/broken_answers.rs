//! Upstreams whose answers are broken off, or have lines that are no fields: names with a blank or a control
//! byte, blanks before the colon, lines without a name or a colon.

mod common;

use common::READY_STATUS;
use common::odd_answers::{assert_calls_survive, assert_chats_survive, assert_probes_fail};
use eelgrassdeal_standins::{RawAnswer, broken_off_answers, malformed_answers};

/// Of the answers, one in this number is sent to chats. It has no factor in common with the number of malformed
/// lines, so that each of them is sent.
const CHAT_STEP: usize = 5;

const FIELDS: &str = "content-type: application/json\r\n";

fn broken_answers(body: &str) -> Vec<RawAnswer> {
    [malformed_answers(FIELDS, body), broken_off_answers(FIELDS, body)].concat()
}

/// Guards against passing on, or storing as the result of a call, a part of an answer or one whose framing is
/// in doubt.
#[compio::test]
async fn broken_answer_to_a_call_is_repeated_or_answered_502() {
    assert_calls_survive(&broken_answers("{}")).await;
}

#[compio::test]
async fn chat_with_a_malformed_answer_is_sent_to_another_replica() {
    let answers = malformed_answers(FIELDS, "data: [DONE]\n\n").into_iter().step_by(CHAT_STEP);
    assert_chats_survive(&answers.collect::<Vec<_>>()).await;
}

/// Guards against counting an upstream as ready because of a part of an answer or one whose framing
/// is in doubt.
#[compio::test]
async fn broken_answer_to_a_probe_does_not_make_an_upstream_ready() {
    assert_probes_fail(&broken_answers(READY_STATUS)).await;
}
