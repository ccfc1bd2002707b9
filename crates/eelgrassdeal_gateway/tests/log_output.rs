//! A gateway whose log is read too slowly, or not at all.

mod common;

use std::io::{BufRead, BufReader};
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

use common::{API_KEY, TestPlatform};
use futures_util::future::join_all;

/// Requests that are sent at once.
const REQUESTS_AT_ONCE: usize = 20;
/// Each request leaves a line in the log. These fill the pipe, and then the queue of the process.
const ROUNDS: usize = 300;
/// Time in which a request is answered, whatever the log does.
const MAX_LATENCY: Duration = Duration::from_secs(2);

/// The process stood still once the pipe of its log was full.
#[compio::test]
async fn gateway_answers_while_the_reader_of_its_log_stands_still() {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    let log = format!("/proc/self/fd/{}", writer.as_raw_fd()).into();
    let platform = TestPlatform::new().await.with_plain_workers(4).await.with_log(log);
    let platform = platform.with_gateways(1).await;
    for round in 0..ROUNDS {
        let started = Instant::now();
        let requests = (0..REQUESTS_AT_ONCE).map(|index| {
            let (platform, id) = (&platform, format!("{round}-{index}"));
            async move { platform.send_request(0, "/look/x", &id, API_KEY).await }
        });
        for answer in join_all(requests).await {
            assert_eq!(answer.expect("a response").status, 200, "round {round}");
        }
        assert!(started.elapsed() < MAX_LATENCY, "round {round} took {:?}", started.elapsed());
    }
    // The reader goes on, and learns that lines are missing.
    drop(writer);
    let mut lines = BufReader::new(reader).lines().map_while(Result::ok);
    let is_told = std::thread::spawn(move || {
        lines.any(|line| line.contains("[WARN] event=log_lines_dropped lines="))
    });
    platform
        .wait_until("the number of dropped lines is logged", async || is_told.is_finished())
        .await;
    assert!(is_told.join().expect("the reader does not panic"));
}
