//! What callers get while sound workers pause and go on.

mod common;

use std::time::Duration;

use common::{API_KEY, TestPlatform, complete_stream};
use eelgrassdeal_standins::WorkerFault;
use futures_util::future::{join, join_all};

/// Events of a stream, 30 ms apart.
const EVENTS: u64 = 20;
/// Streams that are sent at once.
const STREAMS: usize = 14;
/// More than the streams, as each may be sent to several workers.
const FAULTS_PER_WORKER: usize = 60;
/// Few enough that the budget is used up by the first streams that pause.
const SMALL_RETRY_SLACK: u32 = 12;
/// Pauses of a process on a machine that it shares. Callers wait for two seconds.
const PAUSES: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(1_000)];

/// Planned work that begins while the streams run.
#[derive(Clone, Copy, Debug)]
enum PlannedWork {
    Stop,
    Configuration,
}

/// Sends streams that all meet `fault` once while there is planned work, and checks that each is
/// complete.
async fn assert_streams_are_whole(fault: WorkerFault, work: PlannedWork) {
    let platform = TestPlatform::new().await.with_retry_slack(SMALL_RETRY_SLACK);
    let platform = platform.with_engines(4, EVENTS).await.with_gateways(1).await;
    platform.wait_serving(2).await;
    for head in platform.heads() {
        (0..FAULTS_PER_WORKER).for_each(|_| platform.worker(&head).push_fault(fault));
    }
    let streams = (0..STREAMS).map(|index| {
        let platform = &platform;
        async move {
            compio::time::sleep(Duration::from_millis(10) * index as u32).await;
            platform.send_request(0, "/stream/x", &format!("s{index}-"), API_KEY).await
        }
    });
    let disturb = async {
        compio::time::sleep(Duration::from_millis(250)).await;
        match work {
            PlannedWork::Stop => platform.gateways[0].terminate(),
            PlannedWork::Configuration => platform.write_config(2, &[API_KEY]),
        }
    };
    let (answers, ()) = join(join_all(streams), disturb).await;
    let log = platform.gateways[0].log();
    for (index, answer) in answers.into_iter().enumerate() {
        let id = format!("s{index}-");
        let lines: Vec<_> = log.lines().filter(|line| line.contains(&id)).collect();
        let case = format!("{fault:?} beside {work:?}: {}", lines.join("\n"));
        let answer = answer.unwrap_or_else(|failure| panic!("{failure:?}, {case}"));
        assert_eq!(answer.body, complete_stream(EVENTS), "{case}");
    }
    platform.assert_no_violations();
}

/// Streams were cut as soon as their workers paused and the retry budget was used up.
#[compio::test]
async fn streams_whose_workers_pause_are_whole_beside_a_planned_stop() {
    for pause in PAUSES {
        assert_streams_are_whole(WorkerFault::PauseAfter(5, pause), PlannedWork::Stop).await;
    }
}

/// The same beside a new configuration.
#[compio::test]
async fn streams_whose_workers_pause_are_whole_beside_a_new_configuration() {
    for pause in PAUSES {
        let fault = WorkerFault::PauseAfter(5, pause);
        assert_streams_are_whole(fault, PlannedWork::Configuration).await;
    }
}

/// Requests got an error when their worker paused before its first event: each attempt was given up
/// before it could go on, until none was left.
#[compio::test]
async fn request_of_a_worker_that_pauses_before_its_first_event_is_answered() {
    let platform = TestPlatform::new().await.with_retry_slack(SMALL_RETRY_SLACK);
    let platform = platform.with_engines(2, EVENTS).await.with_gateways(1).await;
    platform.wait_serving(1).await;
    let head = platform.heads().remove(0);
    // The pause of the first stream shows that the worker is silent; the second has not begun.
    platform.worker(&head).push_fault(WorkerFault::PauseAfter(5, PAUSES[1]));
    (0..6).for_each(|_| platform.worker(&head).push_fault(WorkerFault::LateStart(PAUSES[1])));
    let second = async {
        compio::time::sleep(Duration::from_millis(150)).await;
        platform.send_request(0, "/stream/x", "late", API_KEY).await
    };
    let first = platform.send_request(0, "/stream/x", "paused", API_KEY);
    let (first, second) = join(first, second).await;
    for answer in [first, second] {
        let log = platform.gateways[0].log();
        assert_eq!(answer.expect("a response").body, complete_stream(EVENTS), "{log}");
    }
    platform.assert_no_violations();
}
