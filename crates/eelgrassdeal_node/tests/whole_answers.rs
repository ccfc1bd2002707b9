//! Every caller receives the whole answer to its own request, whatever fails meanwhile.

use std::time::Duration;

use eelgrassdeal_standins::{EngineOptions, StreamFault, answer_text};
use eelgrassdeal_testkit::{FleetSpec, TestCaller, TestFleet, chat_request, wait_until};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Streams a request while one engine has `fault`, and expects the whole answer.
async fn answer_with_fault(fault: StreamFault) -> TestFleet {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    for (_, engine) in &fleet.engines {
        engine.fail_stream(fault);
    }
    let caller = TestCaller::new(&fleet.node_addresses);
    let request = chat_request("appraise lot 9", 60);
    // An engine that meets its fault is left without one, so the resumes meet one each until none
    // is left; the answer must survive all of them.
    let outcome = caller.chat(&request).await;
    assert!(outcome.is_whole, "{fault:?}: {outcome:?}");
    assert_eq!(outcome.text, answer_text(&request), "{fault:?}");
    assert_eq!(fleet.resume_faults(), 0, "{fault:?}");
    fleet
}

/// Guards against an answer that is taken for whole because its upstream cut it.
#[compio::test]
async fn a_cut_stream_is_continued() {
    answer_with_fault(StreamFault::CutAt(20)).await;
}

/// Guards against an answer that is taken for whole because its upstream ended it early in the
/// proper form.
#[compio::test]
async fn a_stream_that_ends_early_is_continued() {
    answer_with_fault(StreamFault::DoneAt(20)).await;
}

/// Guards against a token that reaches the caller twice.
#[compio::test]
async fn a_repeated_event_is_dropped() {
    answer_with_fault(StreamFault::RepeatAt(20)).await;
}

/// Guards against an answer with a gap.
#[compio::test]
async fn a_skipped_event_is_fetched_again() {
    answer_with_fault(StreamFault::SkipAt(20)).await;
}

/// Guards against tokens in the wrong order.
#[compio::test]
async fn a_late_event_is_not_passed_on_out_of_order() {
    answer_with_fault(StreamFault::LateAt(20)).await;
}

/// Guards against a stream that hangs with its upstream.
#[compio::test]
async fn a_stream_that_stops_is_continued() {
    answer_with_fault(StreamFault::StallAt(20)).await;
}

/// Guards against an answer that hangs or is cut when any one member of its group is lost or
/// paused, and against engines that keep running what nobody reads.
#[compio::test]
async fn an_answer_survives_the_loss_or_pause_of_any_member() {
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
        assert!(outcome.is_whole, "rank {rank} paused {is_paused}: {outcome:?}");
        assert_eq!(outcome.text, answer_text(&request));
        assert_eq!(fleet.resume_faults(), 0);
    }
}

/// Guards against a request that hangs with an engine that takes it and never begins to answer.
#[compio::test]
async fn a_request_leaves_an_engine_that_is_paused_before_the_first_token() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let groups = fleet.groups().await;
    // All but one leader stop between two probes, so the nodes still send to them.
    for members in groups.iter().skip(1) {
        fleet.engine(&members[0]).pause();
    }
    let requests: Vec<_> = (0..6).map(|lot| chat_request(&format!("lot {lot}"), 10)).collect();
    let outcomes = join_all(requests.iter().map(|request| caller.chat(request))).await;
    for (request, outcome) in requests.iter().zip(&outcomes) {
        assert!(outcome.is_whole, "{outcome:?}");
        assert_eq!(outcome.text, answer_text(request));
    }
}

/// Guards against a stream that stays with a straggler while other replicas are fast.
#[compio::test]
async fn a_stream_moves_away_from_a_straggler() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let request = chat_request("wear of band 4", 400);
    let at_node = fleet.node_addresses[0];
    // Other streams of the same node show how fast the other replicas are.
    let others: Vec<_> = (0..8).map(|lot| chat_request(&format!("lot {lot}"), 300)).collect();
    let moves = async {
        compio::time::sleep(Duration::from_millis(300)).await;
        let members = fleet.busy_group().await;
        fleet.engine(&members[0]).slow_down(60);
        let is_left = wait_until(Duration::from_secs(20), async || {
            // At the straggler's pace the streams would take a minute and more.
            fleet.engine(&members[0]).running() == 0
        })
        .await;
        assert!(is_left, "streams stay with the straggler");
    };
    let (outcome, others_done, ()) = futures_util::join!(
        caller.chat_at(at_node, &request),
        join_all(others.iter().map(|request| caller.chat_at(at_node, request))),
        moves,
    );
    assert_eq!(outcome.text, answer_text(&request), "{outcome:?}");
    for (request, outcome) in others.iter().zip(&others_done) {
        assert_eq!(outcome.text, answer_text(request), "{outcome:?}");
    }
    assert_eq!(fleet.resume_faults(), 0);
}

/// Guards against an answer that is lost with its node, and against a second resume that sends an
/// engine only a part of the text.
#[compio::test]
async fn an_answer_survives_its_node_and_then_its_engine() {
    let mut fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let (first, second) = (fleet.node_addresses[0], fleet.node_addresses[1]);
    // The caller prefers the node that dies, then the one that stays.
    let caller = TestCaller::new(&[first, second]).with_fixed_nodes();
    let request = chat_request("inspection of rink 2", 400);
    let (outcome, ()) = futures_util::join!(caller.chat(&request), async {
        fleet.busy_group().await;
        compio::time::sleep(Duration::from_millis(300)).await;
        fleet.kill_node(0);
        let is_resumed = wait_until(Duration::from_secs(5), async || fleet.runs() == 2).await;
        assert!(is_resumed, "the caller does not continue at the other node");
        let members = fleet.busy_group().await;
        fleet.engine(&members[1]).kill();
    });
    assert!(outcome.is_whole, "{outcome:?}");
    assert_eq!(outcome.streams, 2, "{outcome:?}");
    assert_eq!(outcome.text, answer_text(&request));
    assert_eq!(fleet.resume_faults(), 0);
}

/// Guards against an answer in one piece that is cut or mixed with that of another caller.
#[compio::test]
async fn answers_in_one_piece_are_whole_when_a_member_is_lost() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let caller = TestCaller::new(&fleet.node_addresses);
    let requests: Vec<_> = (0..20).map(|lot| chat_request(&format!("lot {lot}"), 100)).collect();
    let address = fleet.node_addresses[0];
    let (outcomes, ()) = futures_util::join!(
        join_all(requests.iter().map(|request| caller.chat_text(address, request))),
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

/// Guards against engines that go on for a caller that has left, and against slots that stay
/// taken.
#[compio::test]
async fn a_caller_that_leaves_frees_engine_and_slot() {
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    let caller = TestCaller::new(&fleet.node_addresses).with_deadline(Duration::from_millis(300));
    let request = chat_request("a very long report", 100_000);
    let address = fleet.node_addresses[0];
    // The caller of the test drops its connection at its own deadline; the node gets no deadline
    // that is so short, because the requests name a longer one.
    let caller = caller.with_stated_deadline(Duration::from_secs(60));
    let (streamed, whole) =
        futures_util::join!(caller.chat_at(address, &request), caller.chat_text(address, &request));
    assert!(!streamed.is_whole && whole.status == 0);
    let is_free = wait_until(Duration::from_secs(5), async || {
        let status = fleet.node_status(0).await.unwrap_or_default();
        let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
        let in_flight: u64 =
            replicas.iter().filter_map(|replica| replica["in_flight"].as_u64()).sum();
        fleet.running() == 0 && in_flight == 0
    })
    .await;
    assert!(is_free, "{} requests still run", fleet.running());
}

/// Guards against lost, cut and crossed answers while members and a node die at random times.
#[compio::test]
async fn sixty_streams_survive_random_deaths() {
    const STREAMS: u32 = 60;
    const DEATHS: u32 = 5;
    let mut rng = StdRng::seed_from_u64(20_260_801);
    let mut fleet = TestFleet::start_serving(FleetSpec {
        replicas: 5,
        engine: EngineOptions { token_interval: Duration::from_millis(20), ..Default::default() },
        ..FleetSpec::default()
    })
    .await;
    let caller = TestCaller::new(&fleet.node_addresses).with_deadline(Duration::from_secs(60));
    let requests: Vec<_> = (0..STREAMS)
        .map(|index| chat_request(&format!("lot {index}"), rng.random_range(100..300)))
        .collect();
    let streams = join_all(requests.iter().map(|request| caller.chat(request)));
    let deaths = async {
        for death in 0..DEATHS {
            compio::time::sleep(Duration::from_millis(rng.random_range(200..900))).await;
            let groups = fleet.groups().await;
            let members = &groups[rng.random_range(0..groups.len())];
            fleet.engine(&members[rng.random_range(0..members.len())]).crash();
            if death == 2 {
                fleet.kill_node(1);
            }
        }
    };
    let (outcomes, ()) = futures_util::join!(streams, deaths);
    for (request, outcome) in requests.iter().zip(&outcomes) {
        assert!(outcome.is_whole, "{:?}: {outcome:?}", request.messages);
        assert_eq!(outcome.text, answer_text(request));
    }
    let crashes: u32 = fleet.engines.iter().map(|(_, engine)| engine.crashes()).sum();
    assert_eq!(crashes, DEATHS);
    assert_eq!(fleet.resume_faults(), 0);
}

/// Guards against retries that multiply the load when every attempt fails.
#[compio::test]
async fn retries_stay_within_their_budget() {
    const REQUESTS: usize = 40;
    /// Retries that the budget of a replica saves up.
    const SAVED_RETRIES: usize = 10;
    let fleet = TestFleet::start_serving(FleetSpec::default()).await;
    for (_, engine) in &fleet.engines {
        (0..1000).for_each(|_| engine.fail_stream(StreamFault::CutAt(2)));
    }
    let caller = TestCaller::new(&fleet.node_addresses).with_deadline(Duration::from_secs(5));
    let request = chat_request("lot 1", 100);
    let started = std::time::Instant::now();
    let address = fleet.node_addresses[0];
    join_all((0..REQUESTS).map(|_| caller.chat_at(address, &request))).await;
    let seconds = started.elapsed().as_secs() as usize + 1;
    let replicas = fleet.spec.replicas as usize;
    let bound = REQUESTS + REQUESTS / 10 + replicas * (SAVED_RETRIES + seconds);
    assert!(fleet.runs() > REQUESTS, "there are no retries");
    assert!(fleet.runs() <= bound, "{} runs, {bound} allowed", fleet.runs());
}
