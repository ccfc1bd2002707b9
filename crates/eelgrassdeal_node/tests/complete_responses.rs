//! Every caller receives the complete response to its own request, despite failures that occur
//! meanwhile.

use std::time::Duration;

use eelgrassdeal_standins::{EngineFake, EngineOptions, StreamFault, answer_text};
use eelgrassdeal_testkit::{FleetSpec, TestCaller, TestFleet, chat_request, wait_until};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Sends a request for a streamed response while each engine has `fault` in its next stream, and
/// checks that the response is complete. Returns the fleet that was started for it.
async fn assert_response_survives_fault(fault: StreamFault) -> TestFleet {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    for (_, engine) in &fleet.engines {
        engine.inject_stream_fault(fault);
    }
    let caller = TestCaller::new(&fleet.node_addresses);
    let request = chat_request("appraise lot 9", 60);
    // The fault occurs once on each engine. Each resume can therefore meet another fault until none
    // is left, and the response must survive all of them.
    let outcome = caller.chat(&request).await;
    assert!(outcome.is_complete, "{fault:?}: {outcome:?}");
    assert_eq!(outcome.text, answer_text(&request), "{fault:?}");
    assert_eq!(fleet.resume_mismatches(), 0, "{fault:?}");
    fleet
}

/// Waits until an engine has sent `count` more tokens.
async fn wait_for_tokens(engine: &EngineFake, count: u64) {
    let sent_before = engine.sent_tokens();
    let sent = || engine.sent_tokens() - sent_before;
    let are_sent = wait_until(Duration::from_secs(20), async || sent() >= count).await;
    assert!(are_sent, "{} of {count} tokens were sent", sent());
}

/// Guards against treating a response as complete when the upstream closed the connection early.
#[compio::test]
async fn an_interrupted_stream_is_resumed() {
    assert_response_survives_fault(StreamFault::InterruptAt(20)).await;
}

/// Guards against treating a response as complete when the upstream sent the final event too early.
#[compio::test]
async fn a_stream_that_ends_early_is_resumed() {
    assert_response_survives_fault(StreamFault::DoneAt(20)).await;
}

/// Guards against forwarding a token twice.
#[compio::test]
async fn a_repeated_event_is_dropped() {
    assert_response_survives_fault(StreamFault::RepeatAt(20)).await;
}

/// Guards against a response with a missing token.
#[compio::test]
async fn a_skipped_event_is_recovered() {
    assert_response_survives_fault(StreamFault::SkipAt(20)).await;
}

/// Guards against forwarding tokens in the wrong order.
#[compio::test]
async fn a_late_event_is_not_forwarded_out_of_order() {
    assert_response_survives_fault(StreamFault::ReorderAt(20)).await;
}

/// Guards against a stream that hangs because its upstream has stalled.
#[compio::test]
async fn a_stalled_stream_is_resumed() {
    assert_response_survives_fault(StreamFault::StallAt(20)).await;
}

/// Guards against a response that hangs or is truncated when one member of its group is lost or
/// paused, and against a resume that sends an engine the wrong text.
#[compio::test]
async fn a_response_survives_the_loss_or_pause_of_any_member() {
    for (rank, is_paused) in [(0, false), (1, false), (0, true), (1, true)] {
        let fleet = TestFleet::start_serving(FleetSpec::default()).await;
        let caller = TestCaller::new(&fleet.node_addresses);
        let request = chat_request("summarize contract 3", 200);
        let (outcome, ()) = futures_util::join!(caller.chat(&request), async {
            compio::time::sleep(Duration::from_millis(300)).await;
            let members = fleet.busy_group().await;
            let engine = fleet.engine(&members[rank]);
            if is_paused { engine.pause() } else { engine.kill() }
        });
        assert!(outcome.is_complete, "rank {rank} paused {is_paused}: {outcome:?}");
        assert_eq!(outcome.text, answer_text(&request));
        assert_eq!(fleet.resume_mismatches(), 0);
    }
}

/// Guards against a request that hangs because its engine accepted it and never starts to respond.
#[compio::test]
async fn a_request_moves_away_from_an_engine_paused_before_its_first_token() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let groups = fleet.groups().await;
    // All leaders but one are paused. The nodes notice this at their next probe of the leader; until
    // then they still send requests to it.
    for members in groups.iter().skip(1) {
        fleet.engine(&members[0]).pause();
    }
    let requests: Vec<_> = (0..6).map(|index| chat_request(&format!("lot {index}"), 10)).collect();
    let outcomes = join_all(requests.iter().map(|request| caller.chat(request))).await;
    for (request, outcome) in requests.iter().zip(&outcomes) {
        assert!(outcome.is_complete, "{outcome:?}");
        assert_eq!(outcome.text, answer_text(request));
    }
}

/// Guards against a stream that stays at a straggler while other replicas are fast.
#[compio::test]
async fn a_stream_moves_away_from_a_straggler() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let request = chat_request("wear of band 4", 400);
    let address = fleet.node_addresses[0];
    // The node learns the speed of the other replicas from its other streams.
    let other_requests: Vec<_> =
        (0..8).map(|index| chat_request(&format!("lot {index}"), 300)).collect();
    let check_move = async {
        // A replica that was never faster is no straggler.
        let have_started =
            wait_until(Duration::from_secs(10), async || fleet.run_count() >= 9).await;
        assert!(have_started, "{} of 9 streams have started", fleet.run_count());
        let members = fleet.busy_group().await;
        // Enough for the node to know the usual speed of the replica.
        wait_for_tokens(fleet.engine(&members[0]), 50).await;
        // From now on, each token takes 60 times as long.
        fleet.engine(&members[0]).slow_down(60);
        let has_moved = wait_until(Duration::from_secs(20), async || {
            // The streams would take more than a minute at the straggler's token interval.
            fleet.engine(&members[0]).running() == 0
        })
        .await;
        assert!(has_moved, "streams are still running at the straggler");
    };
    let (outcome, other_outcomes, ()) = futures_util::join!(
        caller.chat_without_retry(address, &request),
        join_all(other_requests.iter().map(|request| caller.chat_without_retry(address, request))),
        check_move,
    );
    assert_eq!(outcome.text, answer_text(&request), "{outcome:?}");
    for (request, outcome) in other_requests.iter().zip(&other_outcomes) {
        assert_eq!(outcome.text, answer_text(request), "{outcome:?}");
    }
    assert_eq!(fleet.resume_mismatches(), 0);
}

/// Guards against a stream that stays at a straggler because the node has no other stream to compare
/// its speed with.
#[compio::test]
async fn a_single_stream_moves_away_from_a_replica_that_becomes_a_straggler() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let request = chat_request("wear of band 5", 400);
    let check_move = async {
        let members = fleet.busy_group().await;
        // Enough for the node to know the usual speed of the replica.
        wait_for_tokens(fleet.engine(&members[0]), 50).await;
        fleet.engine(&members[0]).slow_down(60);
        let has_moved =
            wait_until(Duration::from_secs(20), async || fleet.engine(&members[0]).running() == 0)
                .await;
        assert!(has_moved, "the stream is still running at the straggler");
    };
    let (outcome, ()) = futures_util::join!(
        caller.chat_without_retry(fleet.node_addresses[0], &request),
        check_move
    );
    assert_eq!(outcome.text, answer_text(&request), "{outcome:?}");
    assert_eq!(fleet.resume_mismatches(), 0);
}

/// Guards against a response that is lost with its node, and against a second resume that sends an
/// engine only a part of the text delivered so far.
#[compio::test]
async fn a_response_survives_the_loss_of_its_node_and_then_of_its_engine() {
    let mut fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let (first, second) = (fleet.node_addresses[0], fleet.node_addresses[1]);
    // The caller uses the node that is killed first, then the one that keeps running.
    let caller = TestCaller::new(&[first, second]).with_fixed_nodes();
    let request = chat_request("inspection of rink 2", 400);
    let (outcome, ()) = futures_util::join!(caller.chat(&request), async {
        fleet.busy_group().await;
        compio::time::sleep(Duration::from_millis(300)).await;
        fleet.kill_node(0);
        let is_resumed = wait_until(Duration::from_secs(5), async || fleet.run_count() == 2).await;
        assert!(is_resumed, "the stream was not resumed through the other node");
        let members = fleet.busy_group().await;
        fleet.engine(&members[1]).kill();
    });
    assert!(outcome.is_complete, "{outcome:?}");
    assert_eq!(outcome.stream_count, 2, "{outcome:?}");
    assert_eq!(outcome.text, answer_text(&request));
    assert_eq!(fleet.resume_mismatches(), 0);
}

/// Guards against a stream that is cut because a whole response would take longer than is left until
/// its deadline, although the rest of this one would not.
#[compio::test]
async fn a_stream_interrupted_near_its_end_and_its_deadline_is_resumed() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let address = fleet.node_addresses[0];
    // The node learns how long a whole response takes: 4 s, and more where engines are slow.
    let earlier = chat_request("inspection of rink 4", 800);
    let outcome = caller.chat_without_retry(address, &earlier).await;
    assert!(outcome.is_complete, "{outcome:?}");
    // Without the start of the first stream, which is slower than later ones.
    let whole = outcome.elapsed - outcome.time_to_first_token.expect("a token");
    let caller = caller.with_declared_timeout(whole.mul_f64(1.6));
    let request = chat_request("inspection of rink 5", 800);
    let (outcome, ()) = futures_util::join!(caller.chat_without_retry(address, &request), async {
        let members = fleet.busy_group().await;
        // Less time is left then than a whole response takes, but more than the rest of this one.
        wait_for_tokens(fleet.engine(&members[0]), 680).await;
        fleet.engine(&members[0]).kill();
    });
    assert!(outcome.is_complete, "{outcome:?}");
    assert_eq!(outcome.text, answer_text(&request));
    assert_eq!(fleet.run_count(), 3, "the stream was not interrupted");
}

/// Guards against a buffered response that is truncated or mixed with that of another caller.
#[compio::test]
async fn buffered_responses_are_complete_when_a_member_is_lost() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let requests: Vec<_> =
        (0..20).map(|index| chat_request(&format!("lot {index}"), 100)).collect();
    let address = fleet.node_addresses[0];
    let (outcomes, ()) = futures_util::join!(
        join_all(requests.iter().map(|request| caller.chat_buffered(address, request))),
        async {
            compio::time::sleep(Duration::from_millis(200)).await;
            let members = fleet.busy_group().await;
            fleet.engine(&members[1]).kill();
        }
    );
    for (request, outcome) in requests.iter().zip(&outcomes) {
        assert_eq!(outcome.status, 200, "{outcome:?}");
        let text = outcome.body["choices"][0]["message"]["content"].as_str();
        assert_eq!(text, Some(answer_text(request).as_str()));
    }
}

/// Guards against engines that continue a request, and slots that remain in use, after the caller
/// has disconnected.
#[compio::test]
async fn a_disconnected_caller_frees_engine_and_slot() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(Duration::from_millis(300));
    let request = chat_request("a very long report", 100_000);
    let address = fleet.node_addresses[0];
    // The test caller disconnects after its own timeout of 300 ms. The requests state a longer
    // deadline, so the node does not end them for that reason.
    let caller = caller.with_declared_timeout(Duration::from_secs(60));
    let (streamed, buffered) = futures_util::join!(
        caller.chat_without_retry(address, &request),
        caller.chat_buffered(address, &request)
    );
    // Status 0: no complete response arrived within the caller's timeout.
    assert!(!streamed.is_complete && buffered.status == 0);
    let is_released = wait_until(Duration::from_secs(5), async || {
        let status = fleet.node_status(0).await.unwrap_or_default();
        let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
        let in_flight: u64 =
            replicas.iter().filter_map(|replica| replica["in_flight"].as_u64()).sum();
        fleet.running() == 0 && in_flight == 0
    })
    .await;
    assert!(is_released, "{} requests still run, or slots are still in use", fleet.running());
}

/// Guards against lost, truncated and mixed-up responses while group members and a node crash at
/// random times.
#[compio::test]
async fn sixty_streams_survive_random_crashes() {
    const STREAMS: u32 = 60;
    const CRASHES: u32 = 5;
    let mut rng = StdRng::seed_from_u64(20_260_801);
    let mut fleet = TestFleet::start_serving(FleetSpec {
        replicas: 5,
        engine: EngineOptions { token_interval: Duration::from_millis(20), ..Default::default() },
        ..FleetSpec::default()
    })
    .await;
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(Duration::from_secs(60));
    let requests: Vec<_> = (0..STREAMS)
        .map(|index| chat_request(&format!("lot {index}"), rng.random_range(100..300)))
        .collect();
    let streams = join_all(requests.iter().map(|request| caller.chat(request)));
    let inject_crashes = async {
        for index in 0..CRASHES {
            compio::time::sleep(Duration::from_millis(rng.random_range(200..900))).await;
            let groups = fleet.groups().await;
            let members = &groups[rng.random_range(0..groups.len())];
            // Unlike a killed engine, a crashed one accepts requests again after a delay.
            fleet.engine(&members[rng.random_range(0..members.len())]).crash();
            if index == 2 {
                fleet.kill_node(1);
            }
        }
    };
    let (outcomes, ()) = futures_util::join!(streams, inject_crashes);
    for (request, outcome) in requests.iter().zip(&outcomes) {
        assert!(outcome.is_complete, "{:?}: {outcome:?}", request.messages);
        assert_eq!(outcome.text, answer_text(request));
    }
    let crashes: u32 = fleet.engines.iter().map(|(_, engine)| engine.crashes()).sum();
    assert_eq!(crashes, CRASHES);
    assert_eq!(fleet.resume_mismatches(), 0);
}

/// Guards against retries that multiply the requests when every attempt fails.
#[compio::test]
async fn retries_stay_within_their_budget() {
    const REQUESTS: usize = 40;
    /// Most retries that the budget of a replica can accumulate.
    const MAX_SAVED_RETRIES: usize = 10;
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    for (_, engine) in &fleet.engines {
        (0..1000).for_each(|_| engine.inject_stream_fault(StreamFault::InterruptAt(2)));
    }
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(Duration::from_secs(5));
    let request = chat_request("lot 1", 100);
    let started = std::time::Instant::now();
    let address = fleet.node_addresses[0];
    join_all((0..REQUESTS).map(|_| caller.chat_without_retry(address, &request))).await;
    let seconds = started.elapsed().as_secs() as usize + 1;
    let replicas = fleet.spec.replicas as usize;
    // Each request earns a tenth of a retry. Each replica starts with the most retries that it can
    // accumulate, and earns one more every second.
    let max_runs = REQUESTS + REQUESTS / 10 + replicas * (MAX_SAVED_RETRIES + seconds);
    assert!(fleet.run_count() > REQUESTS, "there are no retries");
    assert!(fleet.run_count() <= max_runs, "{} runs, {max_runs} allowed", fleet.run_count());
}
