//! Upstreams that say that they leave, or that they want no requests for a while.

mod common;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::upstream;
use eelgrassdeal_dispatch::{LeavingHint, MAX_PAUSE, NoticeCause, NoticeTracker, UpstreamRecord};
use proptest::prelude::*;

const NODES: usize = 7;

fn record(name: &str, start_time_ms: u64, now: Instant) -> UpstreamRecord {
    UpstreamRecord { slots: 8, start_time_ms, ..upstream(name, "domain", now) }
}

/// What happens to one upstream.
#[derive(Clone, Debug)]
enum UpstreamEvent {
    Leaves,
    Pauses(u64),
    Stays,
    HintFromOtherNode { age_ms: u64 },
    Restarts,
    RecordLost,
    RecordBack,
    Expire,
    TrySend,
}

fn upstream_event() -> impl Strategy<Value = UpstreamEvent> {
    prop_oneof![
        1 => Just(UpstreamEvent::Leaves),
        3 => (0_u64..6_000).prop_map(UpstreamEvent::Pauses),
        2 => Just(UpstreamEvent::Stays),
        1 => (0_u64..12_000).prop_map(|age_ms| UpstreamEvent::HintFromOtherNode { age_ms }),
        1 => Just(UpstreamEvent::Restarts),
        1 => Just(UpstreamEvent::RecordLost),
        1 => Just(UpstreamEvent::RecordBack),
        4 => Just(UpstreamEvent::Expire),
        8 => Just(UpstreamEvent::TrySend),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn nothing_is_sent_in_a_pause_and_none_is_shut_out_for_good(
        history in prop::collection::vec((upstream_event(), 0_u64..900), 1..120),
        draw in 0.0_f64..1.0,
    ) {
        let mut now = Instant::now();
        let mut tracker = NoticeTracker::new();
        let mut start_time_ms = 1_000;
        let mut has_record = true;
        // By start time: what the process itself has said to this node.
        let mut left: HashMap<u64, bool> = HashMap::new();
        let mut paused_until: HashMap<u64, Instant> = HashMap::new();
        for (event, pause_ms) in history {
            now += Duration::from_millis(pause_ms);
            let current = record("u", start_time_ms, now);
            match event {
                UpstreamEvent::Leaves => {
                    tracker.record_leaving(&current, now);
                    left.insert(start_time_ms, true);
                }
                UpstreamEvent::Pauses(ms) => {
                    let pause = Duration::from_millis(ms);
                    tracker.record_pause(&current, pause, draw, now);
                    let until = paused_until.entry(start_time_ms).or_insert(now);
                    *until = (*until).max(now + pause);
                }
                UpstreamEvent::Stays => {
                    tracker.record_staying(&current, now);
                }
                UpstreamEvent::HintFromOtherNode { age_ms } => {
                    let hint = LeavingHint {
                        upstream: Arc::from("u"),
                        start_time_ms,
                        age: Duration::from_millis(age_ms),
                    };
                    tracker.adopt_hint(&current, &hint, now);
                }
                UpstreamEvent::Restarts => start_time_ms += 1_000,
                UpstreamEvent::RecordLost => has_record = false,
                UpstreamEvent::RecordBack => has_record = true,
                UpstreamEvent::Expire => {
                    tracker.expire(|_| has_record.then_some(&current), now);
                }
                UpstreamEvent::TrySend => {
                    let is_sent = tracker.may_send(&current, now)
                        && tracker.try_take_return(&current, NODES, now);
                    let is_paused = paused_until.get(&start_time_ms).is_some_and(|until| now < *until);
                    let has_left = left.contains_key(&start_time_ms);
                    prop_assert!(!is_sent || !(is_paused || has_left), "{is_paused} {has_left}");
                }
            }
        }
        // A new process is used at once.
        let restarted = record("u", start_time_ms + 1_000, now);
        prop_assert!(tracker.may_send(&restarted, now));
        // The old one too, once its pauses are over, unless it has said that it leaves.
        let later = now + MAX_PAUSE + Duration::from_secs(5);
        let current = record("u", start_time_ms, now);
        tracker.record_staying(&current, later);
        if !left.contains_key(&start_time_ms) {
            prop_assert!(tracker.may_send(&current, later));
            prop_assert!(tracker.try_take_return(&current, NODES, later));
        }
    }
}

#[test]
fn pause_of_any_length_is_bounded() {
    let now = Instant::now();
    let upstream = record("u", 1, now);
    let mut tracker = NoticeTracker::new();
    assert!(!tracker.record_pause(&upstream, Duration::ZERO, 0.5, now));
    assert!(tracker.may_send(&upstream, now), "a pause of no length changes nothing");
    assert!(tracker.record_pause(&upstream, Duration::MAX, 1.0, now));
    assert!(!tracker.may_send(&upstream, now + MAX_PAUSE));
    assert!(tracker.may_send(&upstream, now + MAX_PAUSE + Duration::from_secs(1)));
}

#[test]
fn nodes_return_to_an_upstream_apart_and_over_a_ramp() {
    let start = Instant::now();
    let pause = Duration::from_secs(2);
    let upstream = record("u", 1, start);
    let mut nodes: Vec<NoticeTracker> = (0..NODES)
        .map(|index| {
            let mut tracker = NoticeTracker::new();
            tracker.record_pause(&upstream, pause, index as f64 / NODES as f64, start);
            tracker
        })
        .collect();
    // Each node tries every 5 ms. Counted are the requests of all nodes by tenth of a second.
    let mut sent = [0_u32; 40];
    for (tenth, count) in sent.iter_mut().enumerate() {
        for step in 0..20 {
            let now = start + Duration::from_millis(tenth as u64 * 100 + step * 5);
            for tracker in &mut nodes {
                let is_sent = tracker.may_send(&upstream, now)
                    && tracker.try_take_return(&upstream, NODES, now);
                *count += u32::from(is_sent);
            }
        }
    }
    assert_eq!(sent[..20].iter().sum::<u32>(), 0, "nothing within the pause");
    assert!(sent[20..25].iter().all(|count| *count <= 3), "the nodes return apart: {sent:?}");
    assert!(sent[20..30].iter().sum::<u32>() <= 2 * 8, "at most two a slot in a second: {sent:?}");
    assert!(sent[36..40].iter().sum::<u32>() > sent[21..25].iter().sum::<u32>(), "{sent:?}");
}

#[test]
fn notice_is_about_one_process() {
    let now = Instant::now();
    let (old, new) = (record("u", 1, now), record("u", 2, now));
    let mut tracker = NoticeTracker::new();
    assert!(tracker.record_leaving(&old, now));
    assert!(!tracker.record_leaving(&old, now), "logged once");
    assert!(tracker.is_leaving(&old) && !tracker.is_leaving(&new));
    let moved = UpstreamRecord { address: Arc::from("127.0.0.1:2"), ..old.clone() };
    assert!(tracker.may_send(&moved, now));
    // The row lapses in an outage of the store and comes back with the same process.
    assert!(tracker.expire(|_| None, now + Duration::from_secs(20)).is_empty());
    assert!(tracker.is_leaving(&old));
    let taken_back = tracker.expire(|_| Some(&new), now + Duration::from_secs(30));
    assert_eq!(taken_back[0].cause, NoticeCause::Leaving);
    // A late response of the old process does not replace what the new one said.
    tracker.record_pause(&new, Duration::from_secs(1), 0.0, now);
    tracker.record_leaving(&old, now);
    assert!(!tracker.may_send(&new, now));
}

#[test]
fn hint_of_another_node_yields_to_what_the_upstream_says() {
    let now = Instant::now();
    let upstream = record("u", 5, now);
    let hint = |start_time_ms, age| LeavingHint {
        upstream: Arc::from("u"),
        start_time_ms,
        age: Duration::from_secs(age),
    };
    let mut tracker = NoticeTracker::new();
    for wrong in [hint(4, 0), hint(6, 0), hint(0, 0), hint(5, 11)] {
        assert!(!tracker.adopt_hint(&upstream, &wrong, now), "{wrong:?}");
    }
    assert!(tracker.adopt_hint(&upstream, &hint(5, 1), now));
    assert_eq!(tracker.leaving_hints(now).len(), 1, "told on, with its age");
    assert!(tracker.leaving_hints(now + Duration::from_secs(10)).is_empty());
    tracker.record_staying(&upstream, now);
    assert!(tracker.may_send(&upstream, now));
    tracker.record_leaving(&upstream, now);
    tracker.record_staying(&upstream, now + Duration::from_secs(1));
    assert!(!tracker.may_send(&upstream, now), "its own word holds");
}

#[test]
fn callers_are_told_the_first_end_of_a_pause_if_all_upstreams_are_paused() {
    let now = Instant::now();
    let (first, second) = (record("a", 1, now), record("b", 1, now));
    let mut tracker = NoticeTracker::new();
    tracker.record_pause(&first, Duration::from_secs(3), 0.0, now);
    assert_eq!(tracker.pause_end([&first, &second].into_iter(), now), None);
    tracker.record_pause(&second, Duration::from_secs(1), 0.0, now);
    let end = tracker.pause_end([&first, &second].into_iter(), now).expect("all are paused");
    assert_eq!(end.left, Duration::from_secs(1));
    tracker.record_leaving(&second, now);
    let end = tracker.pause_end([&first, &second].into_iter(), now).expect("the other is paused");
    assert_eq!(end.left, Duration::from_secs(3));
    assert_eq!(tracker.count(NoticeCause::Leaving, now), 1);
    assert_eq!(tracker.count(NoticeCause::Paused, now), 2);
}

#[test]
fn number_of_notices_is_bounded() {
    let now = Instant::now();
    let mut tracker = NoticeTracker::new();
    for index in 0..5_000 {
        tracker.record_leaving(&record(&format!("u{index}"), 1, now), now);
    }
    assert_eq!(tracker.count(NoticeCause::Leaving, now), 1024);
    assert_eq!(tracker.leaving_hints(now).len(), 64);
}
