//! Signals that come in series, or while an earlier one still has its effect.

mod common;

use std::time::Duration;

use common::{API_KEY, TestPlatform, complete_stream};

/// An operator, or the platform, may send SIGTERM again before the node has ended.
#[compio::test]
async fn second_sigterm_does_not_interrupt_the_requests_that_the_first_one_leaves() {
    let mut platform = TestPlatform::new().await.with_engines(4, 50).await.with_gateways(1).await;
    platform.wait_serving(2).await;
    let stream = platform.send_request(0, "/stream/x", "last", API_KEY);
    let stop = async {
        for _ in 0..4 {
            compio::time::sleep(Duration::from_millis(250)).await;
            platform.gateways[0].terminate();
        }
    };
    let (answer, ()) = futures_util::future::join(stream, stop).await;
    assert_eq!(answer.expect("a complete response").body, complete_stream(50));
    assert!(platform.gateways[0].exits_successfully().await);
}

/// Scripts that change settings send SIGHUP once for each change.
#[compio::test]
async fn sighups_in_quick_series_do_not_end_the_process() {
    let platform = TestPlatform::new().await.with_plain_workers(1).await.with_gateways(1).await;
    for index in 0..300_u64 {
        platform.gateways[0].hang_up();
        compio::time::sleep(Duration::from_micros(index * 7)).await;
    }
    let answer = platform.send_request(0, "/look/x", "a", API_KEY).await.expect("a response");
    assert_eq!(answer.status, 200);
    assert!(platform.gateways[0].log().contains("event=reload"));
}

/// The limits of a settings file that was read while it was written stayed if it had been written
/// without a change.
#[compio::test]
async fn settings_that_were_read_half_written_are_loaded_again() {
    let platform = TestPlatform::new().await.with_gateways(1).await;
    let gateway = &platform.gateways[0];
    let path = gateway.settings_path();
    let text = std::fs::read_to_string(path).expect("a settings file");
    let bounds_at = text.find("[bounds]").expect("bounds");
    let limits_at = text.find("[limits]").expect("limits");
    // A part of the file is valid if the bounds come last.
    let half = format!("{}{}", &text[..bounds_at], &text[limits_at..]);
    let whole = format!("{half}{}", &text[bounds_at..limits_at]);
    let changes = || gateway.log().matches(" changed=true").count();
    let reloads = || gateway.log().matches("event=reload ").count();
    std::fs::write(path, &whole).expect("the settings file can be written");
    platform.wait_until("the file is loaded", async || reloads() == 1).await;
    assert_eq!(changes(), 0, "only the order differs");
    std::fs::write(path, &half).expect("the settings file can be written");
    gateway.hang_up();
    platform.wait_until("a part of the file is loaded", async || changes() == 1).await;
    std::fs::write(path, &whole).expect("the settings file can be written");
    platform.wait_until("the whole file is loaded", async || changes() == 2).await;
}

/// The report on a settings file that can't be read had up to hundreds of lines, whose writing took the
/// time of requests.
#[compio::test]
async fn failed_reload_is_logged_in_one_line() {
    let platform = TestPlatform::new().await.with_gateways(1).await;
    let gateway = &platform.gateways[0];
    for text in ["node_name = ", "node_name = \"node-0\"\nip = 4\n", ""] {
        let failures = || gateway.log().matches("event=reload_failed").count();
        let earlier = failures();
        std::fs::write(gateway.settings_path(), text).expect("the settings file can be written");
        gateway.hang_up();
        platform.wait_until("the reload fails", async || failures() > earlier).await;
    }
    let log = gateway.log();
    let path = gateway.settings_path().display().to_string();
    let lines: Vec<_> = log.lines().filter(|line| line.contains("event=reload_failed")).collect();
    assert!(lines.iter().all(|line| line.contains(&path)), "{lines:#?}");
    let rest: Vec<_> = log.lines().filter(|line| !line.contains(" event=")).collect();
    assert!(rest.is_empty(), "{rest:#?}");
}
