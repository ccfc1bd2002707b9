//! Memory of a gateway for the bodies of requests.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{API_KEY, PLAIN_SERVICE, TestPlatform, caller_request, retry_after};
use compio::time::sleep;
use eelgrassdeal_http::{BufferedResponse, SendFailure, SendOptions};
use eelgrassdeal_standins::WorkerOptions;
use futures_util::future::join_all;
use http_body_util::Full;

/// Memory limit of the gateways.
const MEMORY_MB: u32 = 32;
const MAX_BODY_BYTES: usize = 262_144;
const CALL_TIMEOUT: Duration = Duration::from_secs(9);

/// A gateway in front of three workers that take `work` for a request.
async fn start_platform(work: Duration) -> TestPlatform {
    let platform = TestPlatform::new().await.with_memory_mb(MEMORY_MB);
    platform.write_config_with_bodies(2, &[API_KEY], MAX_BODY_BYTES);
    for index in 0..3 {
        let id = format!("i-desk{index}");
        let options = WorkerOptions::new(&id, PLAIN_SERVICE, "zone-a").with_events(1, work);
        platform.start_worker(options).await;
    }
    platform.with_gateways(1).await
}

async fn send_body(
    platform: &TestPlatform,
    id: &str,
    bytes: usize,
) -> Result<BufferedResponse, SendFailure> {
    let mut request = caller_request("/book/x", id, API_KEY);
    *request.body_mut() = Full::new(Bytes::from(vec![b'y'; bytes]));
    let front = platform.gateways[0].front.clone();
    platform.pool.call(&front, request, SendOptions::default(), CALL_TIMEOUT, 4_096).await
}

/// Bodies as large as the configuration allows used up the memory of the process together.
#[compio::test]
async fn large_bodies_in_progress_stay_within_the_memory_limit() {
    const CALLERS: usize = 40;
    let platform = start_platform(Duration::from_millis(800)).await;
    let calls = (0..CALLERS).map(|caller| {
        let platform = &platform;
        async move { send_body(platform, &format!("id-{caller}"), MAX_BODY_BYTES).await }
    });
    let answers = join_all(calls).await;
    let peak = platform.gateways[0].peak_memory();
    assert!(peak < u64::from(MEMORY_MB) * 900_000, "peak of {peak} bytes, {MEMORY_MB} MB allowed");
    let answers: Vec<_> = answers.into_iter().map(|answer| answer.expect("a response")).collect();
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert!(served > 0, "{served} of {CALLERS} served");
    let refused: Vec<_> = answers.iter().filter(|answer| answer.status != 200).collect();
    assert!(refused.iter().all(|answer| answer.status == 503), "{refused:?}");
    let advised = refused.iter().filter(|answer| retry_after(answer).is_some()).count();
    assert_eq!(advised, refused.len(), "refusals with a time to come back");
}

/// Large bodies must leave room for small ones, and give it back.
#[compio::test]
async fn small_bodies_are_taken_beside_large_ones() {
    let platform = start_platform(Duration::from_millis(300)).await;
    let large = (0..30).map(|index| {
        let platform = &platform;
        async move { send_body(platform, &format!("large-{index}"), MAX_BODY_BYTES).await }
    });
    let small = async {
        sleep(Duration::from_millis(150)).await;
        let mut statuses = Vec::new();
        for index in 0..10 {
            let answer = send_body(&platform, &format!("small-{index}"), 2_000).await;
            statuses.push(answer.expect("a response").status);
        }
        statuses
    };
    let (_, statuses) = futures_util::future::join(join_all(large), small).await;
    assert_eq!(statuses, [200; 10]);
    let later = send_body(&platform, "later", MAX_BODY_BYTES).await.expect("a response");
    assert_eq!(later.status, 200, "the others have given their memory back");
}
