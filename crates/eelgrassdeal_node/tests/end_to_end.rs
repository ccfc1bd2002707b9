//! End-to-end tests with a caller, nodes, a group of engines and a plain service.

use eelgrassdeal_standins::answer_text;
use eelgrassdeal_testkit::{FleetSpec, TestCaller, TestFleet, chat_request};

/// Guards against a response that differs from what the engine generated.
#[compio::test]
async fn a_streamed_response_is_complete() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let request = chat_request("appraise lot 7", 40);
    let outcome = caller.chat(&request).await;
    assert!(outcome.is_complete, "{outcome:?}");
    assert_eq!(outcome.text, answer_text(&request));
    assert_eq!(outcome.stream_count, 1);
}

/// Guards against a response that is truncated when a member of the group is lost during the stream.
#[compio::test]
async fn a_response_survives_the_loss_of_a_group_member() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let request = chat_request("appraise lot 8", 200);
    let (outcome, ()) = futures_util::join!(caller.chat(&request), async {
        let members = fleet.busy_group().await;
        fleet.engine(&members[1]).kill();
    });
    assert!(outcome.is_complete, "{outcome:?}");
    assert_eq!(outcome.text, answer_text(&request));
}

/// Guards against a booking that runs twice when its caller repeats the key at another node.
#[compio::test]
async fn a_repeated_key_runs_once() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let key = TestCaller::new_idempotency_key();
    let first = caller.call_service(fleet.node_addresses[0], "book", Some(&key), "{}").await;
    let second = caller.call_service(fleet.node_addresses[1], "book", Some(&key), "{}").await;
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(first.body, second.body);
    let runs: usize = fleet.service_upstreams.iter().map(|service| service.runs().len()).sum();
    assert_eq!(runs, 1);
}
