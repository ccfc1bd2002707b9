//! Failures of workers, gateway nodes and the store.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{API_KEY, ENGINE_SERVICE, HOST, MODEL, TestPlatform, complete_stream};
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use eelgrassdeal_standins::WorkerOptions;

/// Time within which draining workers stop receiving requests and a new configuration takes effect.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(2);

/// The groups in the store, once none of earlier ones is left that is being taken apart.
async fn settled_groups(platform: &TestPlatform, count: usize) -> BTreeMap<String, Vec<u8>> {
    let groups = || platform.store.table_values("groups");
    platform.wait_until("no earlier group is left", async || groups().len() == count).await;
    groups()
}

#[compio::test]
async fn killed_member_interrupts_no_stream_and_is_replaced_by_a_spare() {
    let platform = TestPlatform::new().await.with_engines(5, 60).await.with_gateways(2).await;
    platform.wait_serving(2).await;
    let heads = platform.heads();
    let group_of = |head: &str| {
        let groups = platform.store.table_values("groups");
        let group = groups.values().map(|row| String::from_utf8_lossy(row).into_owned());
        group.into_iter().find(|row| row.contains(head)).expect("the head has a group")
    };
    let row = group_of(&heads[0]);
    let member = (0..5).map(|index| format!("i-engine{index}"));
    let member = member.into_iter().find(|id| *id != heads[0] && row.contains(id.as_str()));
    let member = member.expect("a group has two members");
    let streams = (0..6).map(|index| {
        let id = format!("stream-{index}");
        let platform = &platform;
        async move { platform.send_request(index % 2, "/stream/x", &id, API_KEY).await }
    });
    let kill = async {
        compio::time::sleep(Duration::from_millis(500)).await;
        platform.worker(&member).kill();
    };
    let (answers, ()) =
        futures_util::future::join(futures_util::future::join_all(streams), kill).await;
    for answer in answers {
        assert_eq!(answer.expect("a complete response").body, complete_stream(60));
    }
    // The row of the killed member does not expire in this test: the gateways must detect the
    // failure by its silence.
    platform.wait_serving(2).await;
    platform.assert_no_violations();
}

/// Requests that found the other head full were sent to the crashed one until its row expired, and
/// were refused after a few such sends.
#[compio::test]
async fn crashed_head_is_not_tried_again_and_again() {
    const REQUESTS: u32 = 60;
    const INTERVAL: Duration = Duration::from_millis(30);
    /// The node tries a crashed head again once in a while, since it may be back under its id.
    const MAX_REFUSED_SENDS: usize = 12;
    let platform = TestPlatform::new().await.with_engines(4, 40).await.with_gateways(1).await;
    platform.wait_serving(2).await;
    let crashed = platform.worker(&platform.heads()[0]);
    compio::runtime::spawn(async move { crashed.crash().await }).detach();
    let callers = (0..REQUESTS).map(|index| {
        let platform = &platform;
        async move {
            compio::time::sleep(INTERVAL * index).await;
            platform.send_request(0, "/stream/x", &format!("id-{index}"), API_KEY).await
        }
    });
    let answers = futures_util::future::join_all(callers).await;
    let served = answers.iter().flatten().filter(|answer| answer.body == complete_stream(40));
    assert!(served.count() >= 8, "the other head fills its slots");
    let refused = platform.gateways[0].log().matches("reason=Refused").count();
    assert!(refused <= MAX_REFUSED_SENDS, "{refused} sends were refused by the host");
}

#[compio::test]
async fn groups_are_kept_when_all_gateways_restart() {
    let mut platform = TestPlatform::new().await.with_engines(4, 5).await.with_gateways(2).await;
    platform.wait_serving(2).await;
    let before = settled_groups(&platform, 2).await;
    for gateway in &mut platform.gateways {
        gateway.kill();
    }
    for gateway in &mut platform.gateways {
        gateway.restart();
    }
    for index in 0..2 {
        platform.wait_ready(index).await;
        let answer =
            platform.send_request(index, "/stream/x", &format!("id-{index}"), API_KEY).await;
        assert_eq!(answer.expect("a response").body, complete_stream(5));
    }
    // Time for a new planner to take over.
    compio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(platform.store.table_values("groups"), before);
    platform.assert_no_violations();
}

#[compio::test]
async fn another_node_takes_over_planning_when_the_planner_is_killed() {
    let mut platform = TestPlatform::new().await.with_engines(4, 5).await.with_gateways(3).await;
    platform.wait_serving(2).await;
    let planner = platform.gateways.iter().position(|node| node.log().contains("lease_taken"));
    platform.gateways[planner.expect("one node is the planner")].kill();
    // A member that is not the head: its state is `ready` once it has loaded the model, and that of
    // a head is then `open`.
    let member = platform
        .workers
        .borrow()
        .values()
        .find(|worker| worker.group_state() == Some("ready"))
        .map(|worker| worker.id().to_owned())
        .expect("a member");
    platform.worker(&member).kill();
    platform.worker(&member).remove_registration();
    let spare = WorkerOptions::new("i-spare", common::ENGINE_SERVICE, "zone-a").with_domain("d1");
    platform.start_worker(spare).await;
    platform
        .wait_until("the spare has joined a group", async || {
            platform.worker("i-spare").group_state().is_some()
        })
        .await;
    platform.wait_serving(2).await;
    platform.assert_no_violations();
}

#[compio::test]
async fn requests_are_served_during_a_store_outage() {
    let platform = TestPlatform::new().await.with_engines(4, 5).await.with_gateways(2).await;
    platform.wait_serving(2).await;
    platform.store.faults().set_down(true);
    compio::time::sleep(Duration::from_secs(3)).await;
    for index in 0..4 {
        let answer =
            platform.send_request(index % 2, "/stream/x", &format!("id-{index}"), API_KEY).await;
        assert_eq!(answer.expect("a response").body, complete_stream(5));
    }
    platform.store.faults().set_down(false);
    platform
        .wait_until("all nodes reach the store again", async || {
            platform.gateways.iter().all(|node| node.log().contains("store_regained"))
        })
        .await;
}

#[compio::test]
async fn node_without_store_access_receives_tables_from_its_peers() {
    let mut platform = TestPlatform::new().await.with_plain_workers(1).await.with_gateways(1).await;
    // Nothing listens on this address, so that the node cannot reach the store.
    platform.add_gateway("127.0.0.1:9");
    platform.wait_ready(1).await;
    assert_eq!(
        platform.send_request(1, "/look/x", "a", API_KEY).await.expect("a response").status,
        200
    );
    platform.write_config(2, &["key-2"]);
    compio::time::sleep(PROPAGATION_TIMEOUT).await;
    for gateway in 0..2 {
        let status = async |key: &str| {
            platform.send_request(gateway, "/look/x", "b", key).await.expect("a response").status
        };
        assert_eq!(status(API_KEY).await, 401, "a removed API key");
        assert_eq!(status("key-2").await, 200);
    }
}

/// Maximum number of store calls per second of all nodes while nothing changes. One node, the
/// reader, watches three tables with long polls of 0.6 s, and each of the two candidates for the
/// planner's lease renews or checks it every 0.45 s; both are counted as two calls per second. The
/// calls for the nodes table and for snapshots are rare and have no allowance of their own.
const MAX_IDLE_CALLS_PER_S: u64 = 3 * 2 + 2 * 2;

#[compio::test]
async fn nodes_make_few_store_calls_while_nothing_changes() {
    let platform = TestPlatform::new().await.with_plain_workers(1).await.with_gateways(5).await;
    compio::time::sleep(Duration::from_secs(4)).await;
    let calls = || {
        let stats = platform.store.stats();
        stats.reads + stats.writes
    };
    let before = calls();
    compio::time::sleep(Duration::from_secs(5)).await;
    let call_count = calls() - before;
    assert!(call_count <= 5 * MAX_IDLE_CALLS_PER_S, "{call_count} store calls in 5 s");
}

#[compio::test]
async fn config_change_takes_effect_in_time_after_the_planner_is_killed() {
    let mut platform = TestPlatform::new().await.with_plain_workers(1).await.with_gateways(4).await;
    // Time until one node watches the store and the others get their changes from it. The planner
    // is preferred for this.
    compio::time::sleep(Duration::from_secs(4)).await;
    let planner = platform.gateways.iter().position(|node| node.log().contains("lease_taken"));
    let planner = planner.expect("one node is the planner");
    platform.gateways[planner].kill();
    platform.write_config(2, &["key-2"]);
    compio::time::sleep(PROPAGATION_TIMEOUT).await;
    for gateway in (0..4).filter(|gateway| *gateway != planner) {
        let status = async |key: &str| {
            platform.send_request(gateway, "/look/x", "b", key).await.expect("a response").status
        };
        assert_eq!(status(API_KEY).await, 401, "a removed API key");
        assert_eq!(status("key-2").await, 200);
    }
}

#[compio::test]
async fn draining_worker_gets_no_new_requests_when_watches_miss_its_change() {
    let platform = TestPlatform::new().await.with_plain_workers(2).await.with_gateways(2).await;
    // Watches do not report the change, and the store then no longer keeps it in its history: the
    // gateways can learn of it only from a snapshot.
    platform.store.suppress_feed_changes(true);
    platform.worker("i-desk0").drain();
    compio::time::sleep(Duration::from_millis(800)).await;
    platform.store.compact_history();
    platform.store.suppress_feed_changes(false);
    compio::time::sleep(PROPAGATION_TIMEOUT).await;
    platform.runs.borrow_mut().clear();
    for index in 0..20 {
        let answer =
            platform.send_request(index % 2, "/look/x", &format!("id-{index}"), API_KEY).await;
        assert_eq!(answer.expect("a response").status, 200);
    }
    let runs_at_draining_worker =
        platform.runs.borrow().iter().filter(|run| run.worker == "i-desk0").count();
    assert_eq!(runs_at_draining_worker, 0);
}

#[compio::test]
async fn evacuated_data_centre_gets_no_new_requests_until_the_evacuation_ends() {
    let platform = TestPlatform::new().await.with_plain_workers(1).await.with_gateways(1).await;
    let other = WorkerOptions::new("i-other", common::PLAIN_SERVICE, "zone-b");
    platform.start_worker(other).await;
    platform.store.put("op", "evacuate/zone-b", b"{}");
    compio::time::sleep(PROPAGATION_TIMEOUT).await;
    platform.runs.borrow_mut().clear();
    let count_requests_to_other = async || {
        for index in 0..12 {
            platform
                .send_request(0, "/look/x", &format!("id-{index}"), API_KEY)
                .await
                .expect("a response");
        }
        platform.runs.borrow().iter().filter(|run| run.worker == "i-other").count()
    };
    assert_eq!(count_requests_to_other().await, 0);
    platform.store.remove("op", "evacuate/zone-b");
    compio::time::sleep(PROPAGATION_TIMEOUT).await;
    assert!(count_requests_to_other().await > 0);
}

#[compio::test]
async fn stopped_node_finishes_its_streams_and_leaves_the_locator() {
    let mut platform = TestPlatform::new().await.with_engines(4, 50).await.with_gateways(2).await;
    platform.wait_serving(2).await;
    let stopped_front = platform.gateways[0].front.to_string();
    assert!(platform.locator_addresses(1).await.contains(&stopped_front));
    let stream = platform.send_request(0, "/stream/x", "last", API_KEY);
    let stop = async {
        compio::time::sleep(Duration::from_millis(300)).await;
        platform.gateways[0].terminate();
        compio::time::sleep(Duration::from_millis(600)).await;
        let locator = platform.gateways[0].locator.clone();
        let readiness = platform.get(&locator, "/readiness").await.expect("a response").status;
        (readiness, platform.locator_addresses(1).await)
    };
    let (answer, (readiness, located)) = futures_util::future::join(stream, stop).await;
    assert_eq!(answer.expect("a complete response").body, complete_stream(50));
    assert_eq!(readiness, 503);
    assert!(!located.contains(&stopped_front), "{located:?}");
    assert!(platform.gateways[0].exits_successfully().await);
}

/// The caller of this stream reads nothing until the node has been leaving for longer than it accepts
/// requests, so that no event is on its way in the node meanwhile.
#[compio::test]
async fn stopped_node_finishes_the_stream_of_a_caller_that_reads_late() {
    let platform = TestPlatform::new().await;
    for index in 0..2 {
        let options = WorkerOptions::new(&format!("i-engine{index}"), ENGINE_SERVICE, "zone-a")
            .with_domain("d1")
            .with_events(60, Duration::from_millis(2))
            .with_event_padding(200_000);
        platform.start_worker(options).await;
    }
    let mut platform = platform.with_gateways(1).await;
    platform.wait_serving(1).await;
    let front: std::net::SocketAddr = platform.gateways[0].front.parse().expect("an address");
    let mut caller = TcpStream::connect(front).await.expect("the node listens");
    let head = format!(
        "POST /stream/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {API_KEY}\r\n\
         x-eelgrassdeal-request-id: slow\r\nx-eelgrassdeal-deadline-ms: 8000\r\n\
         x-eelgrassdeal-model: {MODEL}\r\ncontent-length: 0\r\n\r\n"
    );
    caller.write_all(head).await.0.expect("the request is sent");
    compio::time::sleep(Duration::from_millis(500)).await;
    platform.gateways[0].terminate();
    compio::time::sleep(Duration::from_millis(3_500)).await;
    let mut received = Vec::new();
    loop {
        let BufResult(read, buffer) = caller.read(Vec::with_capacity(256 * 1024)).await;
        match read {
            Ok(0) | Err(_) => break,
            Ok(_) => received.extend_from_slice(&buffer),
        }
    }
    let text = String::from_utf8_lossy(&received);
    assert!(text.ends_with("0\r\n\r\n"), "the response ends early, at {} bytes", text.len());
    assert!(text.contains("data: event 60\n"));
    assert!(platform.gateways[0].exits_successfully().await);
}

#[compio::test]
async fn invalid_rows_do_not_block_later_changes() {
    let platform = TestPlatform::new().await.with_plain_workers(1).await.with_gateways(1).await;
    platform.store.put("servers", "i-odd", b"\xff\xfe");
    platform.store.put("servers", "i-half", br#"{"service":"desk"}"#);
    platform.store.put("op", "notes", b"not a configuration");
    let new_worker = WorkerOptions::new("i-late", common::PLAIN_SERVICE, "zone-a");
    platform.start_worker(new_worker).await;
    platform.worker("i-desk0").drain();
    compio::time::sleep(PROPAGATION_TIMEOUT).await;
    platform.runs.borrow_mut().clear();
    assert_eq!(
        platform.send_request(0, "/look/x", "id", API_KEY).await.expect("a response").status,
        200
    );
    assert_eq!(platform.runs_for_request("id")[0].worker, "i-late");
}

/// Rows that expire during a store outage are removed, and running workers write them again soon
/// after it. A gateway that starts during the outage must not take these workers for lost: it would
/// tear down their groups.
#[compio::test]
async fn node_started_during_an_outage_keeps_workers_whose_rows_expired() {
    let mut platform = TestPlatform::new().await.with_engines(4, 5).await.with_gateways(1).await;
    platform.wait_serving(2).await;
    let before = settled_groups(&platform, 2).await;
    platform.store.faults().set_down(true);
    platform.gateways[0].kill();
    let engines: Vec<_> = platform.workers.borrow().values().cloned().collect();
    for engine in &engines {
        engine.remove_registration();
    }
    platform.gateways[0].restart();
    compio::time::sleep(Duration::from_millis(500)).await;
    platform.store.faults().set_down(false);
    compio::time::sleep(Duration::from_millis(1_800)).await;
    for engine in &engines {
        engine.register();
    }
    compio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(platform.store.table_values("groups"), before);
    platform.assert_no_violations();
}
