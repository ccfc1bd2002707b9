//! Workers, nodes and the store fail.

mod common;

use std::time::Duration;

use common::{KEY, PlayedPlatform, whole_stream};
use eelgrassdeal_standins::WorkerOptions;

/// Time within which leaving workers get no more requests, and a configuration is in force.
const NOTICE_TIME: Duration = Duration::from_secs(2);

#[compio::test]
async fn a_lost_member_breaks_no_stream_and_a_spare_takes_its_place() {
    let platform = PlayedPlatform::new().await.with_engines(5, 60).await.with_gateways(2).await;
    platform.wait_serving(2).await;
    let heads = platform.heads();
    let group_of = |head: &str| {
        let groups = platform.store.table("groups");
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
        async move { platform.ask(index % 2, "/stream/x", &id, KEY).await }
    });
    let kill = async {
        compio::time::sleep(Duration::from_millis(500)).await;
        platform.worker(&member).kill();
    };
    let (answers, ()) =
        futures_util::future::join(futures_util::future::join_all(streams), kill).await;
    for answer in answers {
        assert_eq!(answer.expect("a whole answer").body, whole_stream(60));
    }
    // The row of the lost member never lapses in this test: its silence is enough.
    platform.wait_serving(2).await;
    platform.assert_no_violations();
}

#[compio::test]
async fn groups_outlive_the_gateways() {
    let mut platform = PlayedPlatform::new().await.with_engines(4, 5).await.with_gateways(2).await;
    platform.wait_serving(2).await;
    let before = platform.store.table("groups");
    for gateway in &mut platform.gateways {
        gateway.kill();
    }
    for gateway in &mut platform.gateways {
        gateway.restart();
    }
    for index in 0..2 {
        platform.wait_ready(index).await;
        let answer = platform.ask(index, "/stream/x", &format!("id-{index}"), KEY).await;
        assert_eq!(answer.expect("an answer").body, whole_stream(5));
    }
    // A new planner has taken over by now.
    compio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(platform.store.table("groups"), before);
    platform.assert_no_violations();
}

#[compio::test]
async fn the_planner_is_replaced_when_its_node_dies() {
    let mut platform = PlayedPlatform::new().await.with_engines(4, 5).await.with_gateways(3).await;
    platform.wait_serving(2).await;
    let planner = platform.gateways.iter().position(|node| node.log().contains("lease_taken"));
    platform.gateways[planner.expect("a node plans")].kill();
    let member = platform
        .fleet
        .borrow()
        .values()
        .find(|worker| worker.group_state() == Some("ready"))
        .map(|worker| worker.id().to_owned())
        .expect("a member");
    platform.worker(&member).kill();
    platform.worker(&member).lapse();
    let spare = WorkerOptions::new("i-spare", common::ENGINES, "zone-a").with_domain("d1");
    platform.start_worker(spare).await;
    platform
        .wait_until("the spare is in a group", async || {
            platform.worker("i-spare").group_state().is_some()
        })
        .await;
    platform.wait_serving(2).await;
    platform.assert_no_violations();
}

#[compio::test]
async fn serving_goes_on_while_the_store_is_down() {
    let platform = PlayedPlatform::new().await.with_engines(4, 5).await.with_gateways(2).await;
    platform.wait_serving(2).await;
    platform.store.faults().set_down(true);
    compio::time::sleep(Duration::from_secs(3)).await;
    for index in 0..4 {
        let answer = platform.ask(index % 2, "/stream/x", &format!("id-{index}"), KEY).await;
        assert_eq!(answer.expect("an answer").body, whole_stream(5));
    }
    platform.store.faults().set_down(false);
    platform
        .wait_until("the nodes reach the store again", async || {
            platform.gateways.iter().all(|node| node.log().contains("store_regained"))
        })
        .await;
}

#[compio::test]
async fn a_node_that_the_store_turns_away_learns_from_its_peers() {
    let mut platform = PlayedPlatform::new().await.with_desks(1).await.with_gateways(1).await;
    // Nothing listens there.
    platform.add_gateway("127.0.0.1:9");
    platform.wait_ready(1).await;
    assert_eq!(platform.ask(1, "/look/x", "a", KEY).await.expect("an answer").status, 200);
    platform.configure(2, &["key-2"]);
    compio::time::sleep(NOTICE_TIME).await;
    for gateway in 0..2 {
        let status = async |key: &str| {
            platform.ask(gateway, "/look/x", "b", key).await.expect("an answer").status
        };
        assert_eq!(status(KEY).await, 401, "a key that was taken away");
        assert_eq!(status("key-2").await, 200);
    }
}

/// Calls a second that a fleet without changes makes: one node waits for news of three tables in
/// calls of 0.8 s, one renews the planner's lease and one watches it every 0.7 s.
const MAX_IDLE_CALLS_PER_S: u64 = 3 * 2 + 2 * 2;

#[compio::test]
async fn one_node_follows_the_store_for_all() {
    let platform = PlayedPlatform::new().await.with_desks(1).await.with_gateways(5).await;
    compio::time::sleep(Duration::from_secs(4)).await;
    let calls = || {
        let calls = platform.store.calls();
        calls.reads + calls.writes
    };
    let before = calls();
    compio::time::sleep(Duration::from_secs(5)).await;
    let made = calls() - before;
    assert!(made <= 5 * MAX_IDLE_CALLS_PER_S, "{made} calls in 5 s");
}

#[compio::test]
async fn a_change_is_in_force_in_time_when_the_node_that_follows_the_store_has_died() {
    let mut platform = PlayedPlatform::new().await.with_desks(1).await.with_gateways(4).await;
    // By now one node follows the store and the others rely on it.
    compio::time::sleep(Duration::from_secs(4)).await;
    let planner = platform.gateways.iter().position(|node| node.log().contains("lease_taken"));
    let planner = planner.expect("a node plans");
    platform.gateways[planner].kill();
    platform.configure(2, &["key-2"]);
    compio::time::sleep(NOTICE_TIME).await;
    for gateway in (0..4).filter(|gateway| *gateway != planner) {
        let status = async |key: &str| {
            platform.ask(gateway, "/look/x", "b", key).await.expect("an answer").status
        };
        assert_eq!(status(KEY).await, 401, "a key that was taken away");
        assert_eq!(status("key-2").await, 200);
    }
}

#[compio::test]
async fn a_leaving_worker_gets_no_new_requests_even_when_the_feed_is_silent() {
    let platform = PlayedPlatform::new().await.with_desks(2).await.with_gateways(2).await;
    platform.store.silence_feeds(true);
    platform.worker("i-desk0").drain();
    compio::time::sleep(Duration::from_millis(800)).await;
    platform.store.forget_history();
    platform.store.silence_feeds(false);
    compio::time::sleep(NOTICE_TIME).await;
    platform.runs.borrow_mut().clear();
    for index in 0..20 {
        let answer = platform.ask(index % 2, "/look/x", &format!("id-{index}"), KEY).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    let at_leaving = platform.runs.borrow().iter().filter(|run| run.worker == "i-desk0").count();
    assert_eq!(at_leaving, 0);
}

#[compio::test]
async fn an_evacuated_data_centre_gets_no_new_requests_until_it_is_back() {
    let platform = PlayedPlatform::new().await.with_desks(1).await.with_gateways(1).await;
    let other = WorkerOptions::new("i-other", common::DESK, "zone-b");
    platform.start_worker(other).await;
    platform.store.put("op", "evacuate/zone-b", b"{}");
    compio::time::sleep(NOTICE_TIME).await;
    platform.runs.borrow_mut().clear();
    let ask_all = async || {
        for index in 0..12 {
            platform.ask(0, "/look/x", &format!("id-{index}"), KEY).await.expect("an answer");
        }
        platform.runs.borrow().iter().filter(|run| run.worker == "i-other").count()
    };
    assert_eq!(ask_all().await, 0);
    platform.store.remove("op", "evacuate/zone-b");
    compio::time::sleep(NOTICE_TIME).await;
    assert!(ask_all().await > 0);
}

#[compio::test]
async fn a_node_that_is_stopped_finishes_its_streams_and_leaves_the_locator() {
    let mut platform = PlayedPlatform::new().await.with_engines(4, 50).await.with_gateways(2).await;
    platform.wait_serving(2).await;
    let leaving = platform.gateways[0].front.to_string();
    assert!(platform.located(1).await.contains(&leaving));
    let stream = platform.ask(0, "/stream/x", "last", KEY);
    let stop = async {
        compio::time::sleep(Duration::from_millis(300)).await;
        platform.gateways[0].terminate();
        compio::time::sleep(Duration::from_millis(600)).await;
        let entry = platform.gateways[0].entry.clone();
        let readiness = platform.get(&entry, "/readiness").await.expect("an answer").status;
        (readiness, platform.located(1).await)
    };
    let (answer, (readiness, located)) = futures_util::future::join(stream, stop).await;
    assert_eq!(answer.expect("a whole answer").body, whole_stream(50));
    assert_eq!(readiness, 503);
    assert!(!located.contains(&leaving), "{located:?}");
    assert!(platform.gateways[0].ends_well().await);
}

#[compio::test]
async fn rows_of_other_writers_stop_nothing() {
    let platform = PlayedPlatform::new().await.with_desks(1).await.with_gateways(1).await;
    platform.store.put("servers", "i-odd", b"\xff\xfe");
    platform.store.put("servers", "i-half", br#"{"service":"desk"}"#);
    platform.store.put("op", "notes", b"not a configuration");
    let joined = WorkerOptions::new("i-late", common::DESK, "zone-a");
    platform.start_worker(joined).await;
    platform.worker("i-desk0").drain();
    compio::time::sleep(NOTICE_TIME).await;
    platform.runs.borrow_mut().clear();
    assert_eq!(platform.ask(0, "/look/x", "id", KEY).await.expect("an answer").status, 200);
    assert_eq!(platform.runs_of("id")[0].worker, "i-late");
}

/// The store removes rows that lapse while it is away; they are written again soon after.
#[compio::test]
async fn a_node_started_in_an_outage_does_not_take_lapsed_workers_for_lost() {
    let mut platform = PlayedPlatform::new().await.with_engines(4, 5).await.with_gateways(1).await;
    platform.wait_serving(2).await;
    let before = platform.store.table("groups");
    platform.store.faults().set_down(true);
    platform.gateways[0].kill();
    let engines: Vec<_> = platform.fleet.borrow().values().cloned().collect();
    for engine in &engines {
        engine.lapse();
    }
    platform.gateways[0].restart();
    compio::time::sleep(Duration::from_millis(500)).await;
    platform.store.faults().set_down(false);
    compio::time::sleep(Duration::from_millis(1_800)).await;
    for engine in &engines {
        engine.register();
    }
    compio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(platform.store.table("groups"), before);
    platform.assert_no_violations();
}
