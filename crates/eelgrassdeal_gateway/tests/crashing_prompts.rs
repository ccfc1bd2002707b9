//! Requests whose prompts crash the workers that run them.

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{API_KEY, TestPlatform, complete_stream};
use eelgrassdeal_schema::encode_message;
use eelgrassdeal_schema::gateway::{CrashSuspect, QuarantineRow, crash_suspect};
use eelgrassdeal_standins::{WorkerFake, WorkerFault, WorkerRun};

const DEADLY_PART: &str = "dead";
/// First part of all prompts.
const SHARED_PART: &str = "aa";
/// Time after which a node that reaches the store and the other nodes must know what they know.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);
/// Crashes after which a part must be known to cause them.
const CRASHES_TO_KNOW: usize = 5;
/// Requests with the part that may still reach workers from `CONTACT_TIMEOUT` after them on.
const MAX_LATER_RUNS: usize = 3;
/// Interval between two requests with the part. Every second caller is sound.
const REQUEST_INTERVAL: Duration = Duration::from_millis(120);
/// Events of a stream.
const EVENTS: u64 = 10;

/// A sound request: when it was sent, and whether its answer was complete.
type SoundRequest = (Instant, String, bool);

/// Sends requests with the deadly part and sound ones by turns to all gateways, none of them alike,
/// for `period`. Returns the sound ones.
async fn send_mixed(platform: &TestPlatform, period: Duration, name: &str) -> Vec<SoundRequest> {
    let gateways = platform.gateways.len();
    let count = (period.as_millis() / REQUEST_INTERVAL.as_millis()) as usize;
    let callers = (0..count).map(|index| async move {
        compio::time::sleep(REQUEST_INTERVAL * index as u32).await;
        let own = format!("{:x}", index + 0x1000);
        let deadly = format!("{name}-deadly-{index}");
        let deadly_parts = [SHARED_PART, DEADLY_PART, &own];
        let sound = format!("{name}-sound-{index}");
        let sound_parts = [SHARED_PART, &own];
        let sent_at = Instant::now();
        let (_, answer) = futures_util::future::join(
            platform.send_prompt(index % gateways, &deadly, &deadly_parts),
            platform.send_prompt((index + 1) % gateways, &sound, &sound_parts),
        )
        .await;
        let is_served = answer.is_ok_and(|answer| answer.body == complete_stream(EVENTS));
        (sent_at, sound, is_served)
    });
    futures_util::future::join_all(callers).await
}

fn deadly_runs(platform: &TestPlatform) -> Vec<WorkerRun> {
    let runs = platform.runs.borrow();
    let is_deadly = |run: &&WorkerRun| run.prompt_parts.iter().any(|part| part == DEADLY_PART);
    runs.iter().filter(is_deadly).cloned().collect()
}

/// When the workers crashed, in order. Each one crashes at its first run with the deadly part.
fn crash_times(platform: &TestPlatform) -> Vec<Instant> {
    let mut crashes = BTreeMap::new();
    for run in deadly_runs(platform) {
        crashes.entry(run.worker).or_insert(run.started_at);
    }
    let mut times: Vec<_> = crashes.into_values().collect();
    times.sort_unstable();
    times
}

/// The crash after which the part must be known, or the last one.
fn decisive_crash(platform: &TestPlatform) -> Instant {
    let times = crash_times(platform);
    let decisive = times.get(CRASHES_TO_KNOW - 1).or(times.last());
    *decisive.expect("the part crashes workers")
}

/// The same request crashes its upstream each time its caller sends it, because of the last part,
/// which no other request has.
#[compio::test]
async fn repeated_request_that_crashes_upstreams_stops_reaching_them() {
    const CRASHES_TO_KNOW_REQUEST: usize = 3;
    let platform = TestPlatform::new().await;
    let platform = platform.with_fragile_engines(24, DEADLY_PART).await.with_gateways(3).await;
    platform.wait_serving(12).await;
    let callers = (0..50_usize).map(|index| {
        let platform = &platform;
        async move {
            compio::time::sleep(REQUEST_INTERVAL * index as u32).await;
            let (deadly, sound) = (format!("deadly-{index}"), format!("sound-{index}"));
            let own = format!("{:x}", index + 0x1000);
            let deadly_parts = [SHARED_PART, DEADLY_PART];
            let sound_parts = [SHARED_PART, own.as_str()];
            futures_util::future::join(
                platform.send_prompt(index % 3, &deadly, &deadly_parts),
                platform.send_prompt((index + 1) % 3, &sound, &sound_parts),
            )
            .await
            .1
        }
    });
    futures_util::future::join_all(callers).await;
    let decisive = crash_times(&platform)[CRASHES_TO_KNOW_REQUEST - 1];
    let runs = deadly_runs(&platform);
    let later = runs.iter().filter(|run| run.started_at > decisive + CONTACT_TIMEOUT).count();
    assert!(
        later <= MAX_LATER_RUNS,
        "{later} runs later than {CONTACT_TIMEOUT:?} after {CRASHES_TO_KNOW_REQUEST} crashes"
    );
    let answer = platform.send_prompt(0, "last", &[SHARED_PART, "ffff"]).await;
    assert_eq!(answer.expect("a response").body, complete_stream(EVENTS));
}

/// Sends the same request, which crashes the plain workers, to all gateways by turns for `period`.
async fn send_deadly_lookups(platform: &TestPlatform, period: Duration, name: &str) {
    let gateways = platform.gateways.len();
    let count = (period.as_millis() / REQUEST_INTERVAL.as_millis()) as usize;
    let callers = (0..count).map(|index| async move {
        compio::time::sleep(REQUEST_INTERVAL * index as u32).await;
        let id = format!("{name}-{index}");
        platform.send_parts(index % gateways, "/look/x", &id, &[DEADLY_PART]).await
    });
    futures_util::future::join_all(callers).await;
}

/// Asserts that few requests with the part reached workers later than `CONTACT_TIMEOUT` after the
/// third crash.
fn assert_few_runs_after_three_crashes(platform: &TestPlatform) {
    let crashes = crash_times(platform);
    let third = *crashes.get(2).expect("three crashes");
    let runs = deadly_runs(platform);
    let later = runs.iter().filter(|run| run.started_at > third + CONTACT_TIMEOUT).count();
    assert!(
        later <= MAX_LATER_RUNS,
        "{later} runs later than {CONTACT_TIMEOUT:?} after the third of {} crashes",
        crashes.len()
    );
}

/// The request ends all upstreams of the service at once, then the first one that is back, and then all
/// of them again.
#[compio::test]
async fn request_that_crashes_all_upstreams_of_a_small_service_stops_reaching_them() {
    let platform = TestPlatform::new().await;
    let restart_delays = [3_100, 6_200, 6_200].map(Duration::from_millis);
    let platform = platform.with_fragile_plain_workers(&restart_delays, DEADLY_PART).await;
    let platform = platform.with_gateways(3).await;
    send_deadly_lookups(&platform, CONTACT_TIMEOUT * 3, "deadly").await;
    assert_few_runs_after_three_crashes(&platform);
}

/// Upstreams that fail the request before they come to what crashes them have not survived it.
#[compio::test]
async fn error_response_does_not_acquit_a_request_that_crashes_upstreams() {
    let platform = TestPlatform::new().await;
    let restart_delays = [CONTACT_TIMEOUT * 10; 14];
    let platform = platform.with_fragile_plain_workers(&restart_delays, DEADLY_PART).await;
    let platform = platform.with_gateways(1).await;
    for round in 0..6 {
        send_deadly_lookups(&platform, REQUEST_INTERVAL, &format!("deadly-{round}")).await;
        // The route allows two attempts, and all upstreams fail this request.
        let workers: Vec<_> = platform.workers.borrow().values().cloned().collect();
        workers.iter().for_each(|worker| worker.push_fault(WorkerFault::InternalError));
        let id = format!("failed-{round}");
        let answer = platform.send_parts(0, "/look/x", &id, &[DEADLY_PART]).await;
        assert!(answer.is_ok_and(|answer| matches!(answer.status, 500 | 503)), "round {round}");
        workers.iter().for_each(WorkerFake::clear_faults);
        compio::time::sleep(CONTACT_TIMEOUT / 3).await;
    }
    assert_few_runs_after_three_crashes(&platform);
}

/// Rows of other versions, or damaged ones, must not end a node.
#[compio::test]
async fn unusable_rows_in_the_table_of_suspects_are_ignored() {
    let mut platform = TestPlatform::new().await.with_plain_workers(1).await.with_gateways(1).await;
    let suspect = CrashSuspect {
        service: "engines".to_owned(),
        cause: Some(crash_suspect::Cause::Request(1)),
    };
    let endless =
        QuarantineRow { suspect: Some(suspect), until_unix_ms: u64::MAX, period_ms: u64::MAX };
    for (name, value) in [
        ("endless", encode_message(&endless)),
        ("empty", encode_message(&QuarantineRow::default())),
        ("garbage", Bytes::from_static(b"\xff\xff\xff")),
    ] {
        platform.store.put_in("suspects", "control", name, &value);
    }
    platform.gateways[0].restart();
    platform.wait_ready(0).await;
    // Time for the planner to look after the stored quarantines.
    compio::time::sleep(Duration::from_secs(6)).await;
    let answer = platform.send_request(0, "/look/x", "a", API_KEY).await.expect("a response");
    assert_eq!(answer.status, 200);
    assert!(!platform.gateways[0].log().contains("panicked"));
    assert!(platform.gateways[0].log().contains("event=row_ignored row=garbage"));
}

#[compio::test]
async fn prompt_part_that_crashes_upstreams_stops_reaching_them() {
    let platform = TestPlatform::new().await;
    let platform = platform.with_fragile_engines(24, DEADLY_PART).await.with_gateways(3).await;
    platform.wait_serving(12).await;
    let sound = send_mixed(&platform, CONTACT_TIMEOUT * 4, "first").await;
    let decisive = decisive_crash(&platform);
    let later = deadly_runs(&platform)
        .iter()
        .filter(|run| run.started_at > decisive + CONTACT_TIMEOUT)
        .count();
    let crashes = crash_times(&platform).len();
    assert!(
        later <= MAX_LATER_RUNS,
        "{later} runs with the part later than {CONTACT_TIMEOUT:?} after {CRASHES_TO_KNOW} crashes, {crashes} crashes"
    );
    let afterwards: Vec<_> =
        sound.iter().filter(|(sent_at, ..)| *sent_at > decisive + CONTACT_TIMEOUT * 2).collect();
    let served = afterwards.iter().filter(|(.., is_served)| *is_served).count();
    assert!(
        served * 2 >= afterwards.len() && served > 0,
        "{served} of {} sound requests with the same first part were served",
        afterwards.len()
    );
    platform.assert_no_violations();
}

/// The knowledge of a crashing part must outlive the nodes that gained it.
#[compio::test]
async fn prompt_part_that_crashes_upstreams_stays_known_when_all_gateways_restart() {
    let platform = TestPlatform::new().await;
    let mut platform = platform.with_fragile_engines(24, DEADLY_PART).await.with_gateways(3).await;
    platform.wait_serving(12).await;
    send_mixed(&platform, CONTACT_TIMEOUT * 2, "first").await;
    let decisive = decisive_crash(&platform);
    for gateway in &mut platform.gateways {
        gateway.kill();
    }
    for gateway in &mut platform.gateways {
        gateway.restart();
    }
    for index in 0..platform.gateways.len() {
        platform.wait_ready(index).await;
    }
    send_mixed(&platform, CONTACT_TIMEOUT, "second").await;
    let runs = deadly_runs(&platform);
    let later = runs.iter().filter(|run| run.started_at > decisive + CONTACT_TIMEOUT).count();
    assert!(
        later <= MAX_LATER_RUNS,
        "{later} runs with the part later than {CONTACT_TIMEOUT:?} after {CRASHES_TO_KNOW} crashes"
    );
}

/// The nodes that decided end before they could store what they know.
#[compio::test]
async fn quarantine_outlives_an_outage_of_the_store_in_which_the_deciding_nodes_end() {
    let platform = TestPlatform::new().await;
    let mut platform = platform.with_fragile_engines(24, DEADLY_PART).await.with_gateways(3).await;
    platform.wait_serving(12).await;
    platform.store.faults().set_down(true);
    send_mixed(&platform, CONTACT_TIMEOUT, "first").await;
    // This node learns of the quarantine from the others, after they told of the crashes.
    platform.gateways[2].restart();
    platform.wait_ready(2).await;
    platform.gateways[0].kill();
    platform.gateways[1].kill();
    assert!(!platform.gateways[2].log().contains("event=quarantined"), "the node decides itself");
    assert_eq!(platform.store.table_values("suspects").len(), 0);
    platform.store.faults().set_down(false);
    platform
        .wait_until("the quarantine is stored", async || {
            !platform.store.table_values("suspects").is_empty()
        })
        .await;
    platform.gateways[2].restart();
    platform.wait_ready(2).await;
    let parts = [SHARED_PART, DEADLY_PART, "ffff"];
    let answer = platform.send_prompt(2, "last", &parts).await.expect("a response");
    assert_eq!(answer.status, 503);
    assert!(answer.body.starts_with(b"cause_quarantined"), "{:?}", answer.body);
}
