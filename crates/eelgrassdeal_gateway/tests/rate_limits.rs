//! Workers that name in their answers the requests a second that they take from all gateways together.

mod common;

use std::time::{Duration, Instant};

use common::{API_KEY, PLAIN_SERVICE, TestPlatform, caller_request, retry_after};
use compio::time::sleep;
use eelgrassdeal_http::{BufferedResponse, SendOptions};
use eelgrassdeal_standins::{WorkerArrival, WorkerFake, WorkerOptions};
use futures_util::future::join_all;

/// Time after its first naming from which on a limit holds.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Any period of this length may have half more requests than the limit, and five more.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time after which all gateways use a worker again whose limit has ended.
const RETURN_TIME: Duration = Duration::from_secs(1);

fn tolerated(limit: f64) -> f64 {
    1.5 * limit * LIMIT_WINDOW.as_secs_f64() + 5.0
}

/// Greatest number of requests in any window, from `CONTACT_TIME` after the first answer with a limit.
fn most_arrivals(arrivals: &[WorkerArrival]) -> usize {
    let named = arrivals.iter().find(|arrival| arrival.limit.is_some());
    let Some(from) = named.map(|named| named.at + CONTACT_TIME) else { return 0 };
    let counted: Vec<_> =
        arrivals.iter().map(|arrival| arrival.at).filter(|at| *at >= from).collect();
    let in_window = |start: &Instant| {
        counted.iter().filter(|at| *at >= start && **at < *start + LIMIT_WINDOW).count()
    };
    counted.iter().map(in_window).max().unwrap_or_default()
}

fn assert_kept(worker: &WorkerFake, limit: f64) {
    let most = most_arrivals(&worker.arrivals());
    let tolerated = tolerated(limit);
    assert!(
        most as f64 <= tolerated,
        "{} named {limit} a second and got {most} requests in 4 s, {tolerated} are tolerated",
        worker.id()
    );
}

/// What a caller got, and when.
#[derive(Clone, Debug)]
struct CallResult {
    status: u16,
    retry_after: Option<Duration>,
    text: String,
    took: Duration,
}

impl CallResult {
    fn new(answer: &BufferedResponse, took: Duration) -> Self {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        Self { status: answer.status, retry_after: retry_after(answer), text, took }
    }
}

/// Callers that send one request after the other for `period`, spread over all gateways.
async fn put_under_load(
    platform: &TestPlatform,
    path: &str,
    callers: usize,
    period: Duration,
) -> Vec<CallResult> {
    let started = Instant::now();
    let callers = (0..callers).map(|caller| {
        let front = platform.gateways[caller % platform.gateways.len()].front.clone();
        async move {
            let mut results = Vec::new();
            while started.elapsed() < period {
                let id = format!("{path}-{caller}-{}", results.len());
                let request = caller_request(path, &id, API_KEY);
                let (options, timeout) = (SendOptions::default(), Duration::from_secs(9));
                let sent = Instant::now();
                let answer = platform.pool.call(&front, request, options, timeout, 64 * 1024).await;
                results.push(CallResult::new(&answer.expect("a response"), sent.elapsed()));
                sleep(Duration::from_millis(60)).await;
            }
            results
        }
    });
    join_all(callers).await.into_iter().flatten().collect()
}

fn served(results: &[CallResult]) -> usize {
    results.iter().filter(|result| result.status == 200).count()
}

#[compio::test]
async fn limited_worker_gets_no_more_than_it_named_from_all_gateways() {
    for limit in [0.4, 4.0] {
        let platform = TestPlatform::new().await.with_plain_workers(3).await.with_gateways(3).await;
        let worker = platform.worker("i-desk0");
        worker.name_limit(Some(&limit.to_string()));
        let results = put_under_load(&platform, "/book/x", 9, Duration::from_secs(9)).await;
        assert_kept(&worker, limit);
        assert_eq!(served(&results), results.len(), "the other workers have room for all callers");
        assert!(!worker.arrivals().is_empty(), "the worker still takes requests");
    }
}

#[compio::test]
async fn limited_head_gets_no_more_streams_than_it_named() {
    const LIMIT: f64 = 2.0;
    let platform = TestPlatform::new().await.with_engines(4, 3).await.with_gateways(3).await;
    platform.wait_serving(2).await;
    let head = platform.worker(&platform.heads()[0]);
    head.name_limit(Some(&LIMIT.to_string()));
    let results = put_under_load(&platform, "/stream/x", 6, Duration::from_secs(9)).await;
    assert_kept(&head, LIMIT);
    assert_eq!(served(&results), results.len(), "the other group has room for all callers");
    platform.assert_no_violations();
}

/// The new process of a gateway learns the limit from the others, and keeps to it at once.
#[compio::test]
async fn limit_holds_while_gateways_are_killed_and_started() {
    const LIMIT: f64 = 1.5;
    let mut platform = TestPlatform::new().await.with_plain_workers(2).await.with_gateways(3).await;
    let worker = platform.worker("i-desk0");
    worker.name_limit(Some(&LIMIT.to_string()));
    put_under_load(&platform, "/book/x", 9, Duration::from_secs(4)).await;
    for index in 0..3 {
        platform.gateways[index].restart();
        platform.wait_ready(index).await;
        put_under_load(&platform, "/book/x", 9, Duration::from_millis(1_200)).await;
    }
    assert_kept(&worker, LIMIT);
}

/// What no worker takes in time is refused at once, and the rest is served at the rate that was named.
#[compio::test]
async fn request_that_the_limits_leave_no_room_for_is_refused_at_once() {
    const LIMIT: f64 = 2.0;
    const PERIOD: Duration = Duration::from_secs(10);
    let platform = TestPlatform::new().await.with_plain_workers(2).await.with_gateways(2).await;
    let workers = ["i-desk0", "i-desk1"].map(|id| platform.worker(id));
    for worker in &workers {
        worker.name_limit(Some(&LIMIT.to_string()));
    }
    let results = put_under_load(&platform, "/book/x", 20, PERIOD).await;
    for worker in &workers {
        assert_kept(worker, LIMIT);
    }
    let least = LIMIT * workers.len() as f64 * PERIOD.as_secs_f64() * 0.75;
    assert!(served(&results) as f64 >= least, "{} served, {least} expected", served(&results));
    let refused: Vec<_> = results.iter().filter(|result| result.status != 200).collect();
    assert!(refused.iter().all(|result| result.status == 503), "{refused:?}");
    let has_no_advice = refused.iter().filter(|result| result.retry_after.is_none()).count();
    assert_eq!(has_no_advice, 0, "of {} refusals without a time to come back", refused.len());
    let is_at_once = |result: &&&CallResult| result.took < Duration::from_millis(100);
    let at_once = refused.iter().filter(is_at_once).count();
    assert!(
        at_once * 10 >= refused.len() * 9,
        "{at_once} of {} at once: {refused:?}",
        refused.len()
    );
}

#[compio::test]
async fn worker_is_used_again_soon_after_its_limit_ended() {
    for limit in ["0", "0.01", "2"] {
        let platform = TestPlatform::new().await.with_plain_workers(2).await.with_gateways(3).await;
        let worker = platform.worker("i-desk0");
        worker.name_limit(Some(limit));
        put_under_load(&platform, "/book/x", 6, Duration::from_secs(5)).await;
        assert_kept(&worker, limit.parse().expect("a number"));
        worker.name_limit(None);
        let ended = Instant::now();
        let is_answered = || worker.arrivals().iter().any(|arrival| arrival.at >= ended);
        // A limit close to zero leaves a request every few seconds.
        while !is_answered() {
            assert!(
                ended.elapsed() < Duration::from_secs(12),
                "no request after the limit of {limit}"
            );
            put_under_load(&platform, "/book/x", 6, Duration::from_millis(50)).await;
        }
        put_under_load(&platform, "/book/x", 6, RETURN_TIME).await;
        let earlier = worker.arrivals().len();
        let results = put_under_load(&platform, "/book/x", 6, Duration::from_secs(2)).await;
        let arrived = worker.arrivals().len() - earlier;
        assert!(arrived * 3 >= results.len(), "{arrived} of {} after {limit}", results.len());
    }
}

#[compio::test]
async fn limit_that_cannot_be_read_changes_nothing() {
    let platform = TestPlatform::new().await.with_plain_workers(2).await.with_gateways(1).await;
    let worker = platform.worker("i-desk0");
    for limit in ["-1", "nan", "inf", "", "Wed, 21 Oct 2026 07:28:00 GMT", "soon", "1e9"] {
        worker.name_limit(Some(limit));
        let earlier = worker.arrivals().len();
        let results = put_under_load(&platform, "/book/x", 4, Duration::from_secs(1)).await;
        assert_eq!(served(&results), results.len());
        let arrived = worker.arrivals().len() - earlier;
        assert!(arrived * 4 >= results.len(), "{arrived} of {} under {limit:?}", results.len());
    }
    let lines = platform.gateways[0].log().matches("event=limit_unreadable").count();
    assert_eq!(lines, 1, "within 10 s");
}

/// The process of a worker that starts anew has named no limit.
#[compio::test]
async fn later_process_of_a_limited_worker_has_no_limit() {
    let platform = TestPlatform::new().await.with_gateways(2).await;
    let worker =
        platform.start_worker(WorkerOptions::new("i-desk0", PLAIN_SERVICE, "zone-a")).await;
    platform
        .wait_until("the worker serves", async || {
            let answer = platform.send_request(0, "/book/x", "first", API_KEY).await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    worker.name_limit(Some("0.5"));
    put_under_load(&platform, "/book/x", 4, Duration::from_secs(2)).await;
    worker.restart();
    sleep(Duration::from_millis(500)).await;
    let results = put_under_load(&platform, "/book/x", 4, Duration::from_secs(1)).await;
    assert_eq!(served(&results), results.len(), "{:?}", results.last().map(|result| &result.text));
}
