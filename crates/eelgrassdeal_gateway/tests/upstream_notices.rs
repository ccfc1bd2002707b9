//! Workers that say in their answers that they leave, or that they want no requests for a while.

mod common;

use std::time::{Duration, Instant};

use common::{
    API_KEY, ENGINE_SERVICE, PLAIN_SERVICE, TestPlatform, caller_request, complete_stream,
    retry_after,
};
use compio::time::sleep;
use eelgrassdeal_http::{BufferedResponse, SendOptions};
use eelgrassdeal_standins::{WorkerArrival, WorkerFake, WorkerFault, WorkerOptions};
use futures_util::future::join_all;

/// Time from which on a request that reaches a worker in its pause counts: others may have been on
/// their way when it asked for the pause.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Target latency of the test routes.
const TARGET_LATENCY: Duration = Duration::from_millis(300);

/// Requests that reached a worker within a pause that it had asked for. For one gateway.
fn arrivals_in_pauses(arrivals: &[WorkerArrival]) -> usize {
    let is_in_pause = |arrival: &&WorkerArrival| {
        arrivals.iter().any(|asked| {
            let end = asked.pause.map(|pause| asked.at + pause);
            end.is_some_and(|end| asked.at + IN_FLIGHT_TIME < arrival.at && arrival.at < end)
        })
    };
    arrivals.iter().filter(is_in_pause).count()
}

/// Requests that reached a worker, over the gateway with the index `gateway`, after it had said
/// that it leaves. Test requests name their gateway.
fn arrivals_after_notice(worker: &WorkerFake, gateway: usize) -> Vec<WorkerArrival> {
    let mut arrivals = worker.arrivals();
    let suffix = format!("@{gateway}");
    arrivals.retain(|arrival| arrival.is_after_notice && arrival.request_id.ends_with(&suffix));
    arrivals
}

async fn send(platform: &TestPlatform, gateway: usize, path: &str, id: &str) -> BufferedResponse {
    let id = format!("{id}@{gateway}");
    platform.send_request(gateway, path, &id, API_KEY).await.expect("a response")
}

/// Whether a request was refused because all workers had asked for no requests: without a wait.
fn is_refused_for_pauses(answer: &BufferedResponse) -> bool {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    answer.status == 503 && text.contains("has asked for no requests")
}

#[compio::test]
async fn leaving_worker_gets_no_requests_while_its_row_says_ready_and_the_store_is_down() {
    let platform = TestPlatform::new().await.with_plain_workers(2).await.with_gateways(1).await;
    platform.store.faults().set_down(true);
    let leaving = platform.worker("i-desk0");
    leaving.leave();
    for index in 0..30 {
        let path = ["/look/x", "/book/x"][index % 2];
        assert_eq!(send(&platform, 0, path, &format!("id-{index}")).await.status, 200);
        // It lives through a reload of the settings.
        if index == 15 {
            platform.gateways[0].hang_up();
        }
    }
    assert_eq!(arrivals_after_notice(&leaving, 0), []);
    assert!(!leaving.arrivals().is_empty(), "it was used before");
    assert!(platform.gateways[0].log().contains("event=set_aside upstream=i-desk0 cause=leaving"));
}

#[compio::test]
async fn connection_of_a_leaving_worker_is_not_kept() {
    let platform = TestPlatform::new().await.with_plain_workers(1).await.with_gateways(1).await;
    platform.worker("i-desk0").leave();
    assert_eq!(send(&platform, 0, "/look/x", "a").await.status, 200);
    let refused = send(&platform, 0, "/look/x", "b").await;
    assert_eq!(refused.status, 503, "no other worker serves");
    let restarted = WorkerOptions::new("i-new", PLAIN_SERVICE, "zone-a");
    platform.start_worker(restarted).await;
    platform
        .wait_until("a later worker serves", async || {
            send(&platform, 0, "/look/x", "c").await.status == 200
        })
        .await;
}

#[compio::test]
async fn later_process_of_a_worker_that_left_is_used() {
    let platform = TestPlatform::new().await.with_plain_workers(1).await.with_gateways(1).await;
    let worker = platform.worker("i-desk0");
    worker.leave();
    assert_eq!(send(&platform, 0, "/look/x", "a").await.status, 200);
    worker.restart();
    platform
        .wait_until("the restarted worker serves", async || {
            send(&platform, 0, "/look/x", "b").await.status == 200
        })
        .await;
    platform
        .wait_until("it is logged", async || {
            let log = platform.gateways[0].log();
            log.contains("event=taken_back upstream=i-desk0 cause=leaving")
        })
        .await;
}

#[compio::test]
async fn streams_end_in_peace_and_new_ones_avoid_a_leaving_head() {
    let platform = TestPlatform::new().await.with_engines(4, 8).await.with_gateways(1).await;
    platform.wait_serving(2).await;
    let head = platform.worker(&platform.heads()[0]);
    let running = (0..4).map(|index| {
        let platform = &platform;
        async move { send(platform, 0, "/stream/x", &format!("running-{index}")).await }
    });
    let later = async {
        sleep(Duration::from_millis(100)).await;
        head.leave();
        let mut answers = Vec::new();
        for index in 0..10 {
            answers.push(send(&platform, 0, "/stream/x", &format!("later-{index}")).await);
        }
        answers
    };
    let (running, later) = futures_util::future::join(join_all(running), later).await;
    for answer in running.into_iter().chain(later) {
        assert_eq!(answer.body, complete_stream(8));
    }
    assert_eq!(arrivals_after_notice(&head, 0), []);
    platform.assert_no_violations();
}

/// The planner learns from another node that a head leaves, and forms a group without it.
#[compio::test]
async fn group_of_a_leaving_head_is_replaced_although_its_row_says_ready() {
    let platform = TestPlatform::new().await.with_engines(2, 5).await.with_gateways(3).await;
    platform.wait_serving(1).await;
    let head = platform.worker(&platform.heads()[0]);
    let spare = WorkerOptions::new("i-spare", ENGINE_SERVICE, "zone-a")
        .with_domain("d1")
        .with_events(5, Duration::from_millis(30));
    platform.start_worker(spare).await;
    sleep(Duration::from_millis(500)).await;
    head.leave();
    let planner = platform.gateways.iter().position(|node| node.log().contains("lease_taken"));
    let other = (0..3).find(|index| Some(*index) != planner).expect("a node that does not plan");
    send(&platform, other, "/stream/x", "notice").await;
    platform
        .wait_until("a group without the leaving head serves", async || {
            platform.heads().iter().any(|id| *id != head.id())
        })
        .await;
    assert!(head.group_state() != Some("open"), "{:?}", head.group_state());
    platform.assert_no_violations();
}

#[compio::test]
async fn worker_that_wants_no_requests_gets_none_until_its_time_is_over() {
    for pause in [Duration::from_millis(700), Duration::from_secs(2)] {
        let platform = TestPlatform::new().await.with_plain_workers(3).await.with_gateways(1).await;
        let paused = platform.worker("i-desk0");
        paused.push_fault(WorkerFault::TurnedAway(pause));
        let arrivals_after = |earliest: Duration, latest: Duration| {
            let arrivals = paused.arrivals();
            let asked =
                arrivals.iter().find(|arrival| arrival.pause.is_some()).map(|asked| asked.at);
            let is_counted = |arrival: &&WorkerArrival| {
                asked.is_some_and(|at| at + earliest < arrival.at && arrival.at < at + latest)
            };
            arrivals.iter().filter(is_counted).count()
        };
        let mut index = 0;
        platform
            .wait_until("the worker is used again", async || {
                index += 1;
                let answer = send(&platform, 0, "/book/x", &format!("id-{index}")).await;
                assert_eq!(answer.status, 200, "the other workers serve at once");
                arrivals_after(pause, Duration::MAX / 4) >= 10
            })
            .await;
        assert_eq!(arrivals_after(Duration::ZERO, pause), 0, "{pause:?}");
        platform
            .wait_until("it is logged", async || {
                let log = platform.gateways[0].log();
                log.contains("event=set_aside upstream=i-desk0 cause=paused")
                    && log.contains("event=taken_back upstream=i-desk0 cause=paused")
            })
            .await;
    }
}

#[compio::test]
async fn request_is_refused_at_once_if_all_workers_want_none() {
    const PAUSE: Duration = Duration::from_millis(1_500);
    let platform = TestPlatform::new().await.with_plain_workers(2).await.with_gateways(1).await;
    let workers = ["i-desk0", "i-desk1"].map(|id| platform.worker(id));
    for worker in &workers {
        worker.push_fault(WorkerFault::TurnedAway(PAUSE));
    }
    let asked = Instant::now();
    let mut waits = Vec::new();
    for index in 0..20 {
        let answer = send(&platform, 0, "/book/x", &format!("id-{index}")).await;
        assert!(is_refused_for_pauses(&answer), "{answer:?}");
        waits.push(asked.elapsed() + retry_after(&answer).expect("a time to come back"));
    }
    let (first, last) = (waits.iter().min().expect("20"), waits.iter().max().expect("20"));
    assert!(*first >= PAUSE, "a caller would come back in the pause, after {first:?}");
    assert!(*last <= PAUSE * 3, "a caller is told to wait for {last:?}");
    assert!(*last - *first >= PAUSE / 3, "callers come back at once: {first:?} to {last:?}");
    for worker in &workers {
        assert_eq!(worker.arrivals().len(), 1, "nothing but the first request");
    }
    sleep(PAUSE).await;
    platform
        .wait_until("the workers serve again", async || {
            send(&platform, 0, "/book/x", "later").await.status == 200
        })
        .await;
}

/// Requests that wait in the queue are refused too when the last worker asks for a pause.
#[compio::test]
async fn waiting_requests_are_refused_when_the_last_worker_wants_none() {
    /// Requests that the gateway sends to a worker with 8 slots at the same time.
    const SENT_AT_ONCE: usize = 24;
    const WAITING: usize = 4;
    const WORK: Duration = Duration::from_secs(4);
    let platform = TestPlatform::new().await;
    let options = WorkerOptions::new("i-desk0", PLAIN_SERVICE, "zone-a").with_events(1, WORK);
    let worker = platform.start_worker(options).await;
    let platform = platform.with_gateways(1).await;
    for _ in 1..SENT_AT_ONCE {
        // A fault of streams, which changes nothing here.
        worker.push_fault(WorkerFault::InterruptAfter(0));
    }
    worker.push_fault(WorkerFault::TurnedAway(Duration::from_secs(6)));
    let requests = (0..SENT_AT_ONCE + WAITING).map(|index| {
        let platform = &platform;
        async move { send(platform, 0, "/book/x", &format!("id-{index}")).await }
    });
    let answers = join_all(requests).await;
    let refused = answers.iter().filter(|answer| is_refused_for_pauses(answer));
    assert_eq!(refused.count(), 1 + WAITING, "{answers:?}");
    assert_eq!(worker.arrivals().len(), SENT_AT_ONCE);
}

/// A load at which 3 of 7 workers turn requests away above their slots. Figures for the callers and
/// the workers are printed; run with `--nocapture` to see them.
#[compio::test]
async fn load_with_workers_that_turn_away_is_served_by_the_others() {
    const CALLERS: u32 = 36;
    const LOAD_PERIOD: Duration = Duration::from_secs(6);
    const WORK: Duration = Duration::from_millis(40);
    let platform = TestPlatform::new().await;
    for index in 0..7 {
        let options = WorkerOptions::new(&format!("i-desk{index}"), PLAIN_SERVICE, "zone-a")
            .with_events(1, WORK);
        let options = match index {
            0..3 => options.with_turning_away(2, Duration::from_millis(900 * (index + 1))),
            _ => options,
        };
        platform.start_worker(options).await;
    }
    let platform = platform.with_gateways(1).await;
    let front = platform.gateways[0].front.clone();
    let started = Instant::now();
    let callers = (0..CALLERS).map(|caller| {
        let (platform, front) = (&platform, front.clone());
        async move {
            let mut results = Vec::new();
            while started.elapsed() < LOAD_PERIOD {
                let id = format!("{caller}-{}@0", results.len());
                let request = caller_request("/look/x", &id, API_KEY);
                let (options, timeout) = (SendOptions::default(), Duration::from_secs(9));
                let sent = Instant::now();
                let answer = platform.pool.call(&front, request, options, timeout, 4096).await;
                let status = answer.expect("a response").status;
                results.push((status, sent.elapsed()));
                if status != 200 {
                    sleep(Duration::from_millis(50)).await;
                }
            }
            results
        }
    });
    let results: Vec<_> = join_all(callers).await.into_iter().flatten().collect();
    let served = results.iter().filter(|(status, _)| *status == 200);
    let in_time = served.clone().filter(|(_, took)| *took <= TARGET_LATENCY).count();
    let is_late_refusal =
        |(status, took): &&(u16, Duration)| *status == 503 && *took > TARGET_LATENCY / 8;
    let late_refusals = results.iter().filter(is_late_refusal).count();
    let workers = (0..7).map(|index| platform.worker(&format!("i-desk{index}")));
    let in_pauses: usize = workers.map(|worker| arrivals_in_pauses(&worker.arrivals())).sum();
    println!(
        "requests {} in time {in_time} late refusals {late_refusals} arrivals in pauses {in_pauses}",
        results.len()
    );
    assert_eq!(in_pauses, 0, "arrivals at workers in their pauses");
    assert_eq!(served.count(), results.len(), "the other four workers have room for all callers");
}
