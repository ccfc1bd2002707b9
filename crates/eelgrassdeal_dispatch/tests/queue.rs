//! Under overload, the queue serves more callers within their target latency than polling without
//! order, refuses early what it cannot serve, and lets no caller starve.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{QueueId, RequestQueue, UsualTimeout, WaitingKey, WaitingRequest};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const TARGET: Duration = Duration::from_millis(400);
const MAX_WAIT: Duration = Duration::from_millis(1_200);
const TICK: Duration = Duration::from_millis(5);

fn queue_id() -> QueueId {
    (Arc::from("service"), Some(Arc::from("model")))
}

fn request(account: &str, now: Instant) -> WaitingRequest {
    WaitingRequest {
        queue: queue_id(),
        priority: 1,
        is_rerun: false,
        has_returned: false,
        account: Some(Arc::from(account)),
        target_at: now + TARGET,
        start_by: now + MAX_WAIT,
    }
}

fn first(queue: &RequestQueue, now: Instant) -> WaitingKey {
    queue.in_order(now)[&queue_id()][0]
}

/// How waiting requests are selected in [`play_overload`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// The order and the bound of [`RequestQueue`].
    Ordered,
    /// Each waiting request polls, so that a random one finds the free slot; no bound.
    Polling,
}

/// What the callers of [`play_overload`] got.
#[derive(Clone, Copy, Debug, Default)]
struct CallerReport {
    on_time: u32,
    late: u32,
    refused: u32,
    /// Sum of the times until a refusal.
    refusal_time: Duration,
}

/// Plays 30 s of 30 requests per second at 20 slots that are each held for 0.5 to 1.5 s, which is one
/// and a half times what they can serve.
fn play_overload(policy: Policy, seed: u64) -> CallerReport {
    let mut random = StdRng::seed_from_u64(seed);
    let started = Instant::now();
    let (mut queue, mut report) = (RequestQueue::new(), CallerReport::default());
    let mut waiting: HashMap<WaitingKey, Instant> = HashMap::new();
    let mut busy_until = vec![started; 20];
    for tick in 0..6_000 {
        let now = started + TICK * tick;
        if random.random_bool(0.15) {
            let mut arrival = request("account", now);
            if policy == Policy::Polling {
                // Without a bound, every request waits to the end.
                arrival.start_by = now + Duration::from_secs(3_600);
            }
            if policy == Policy::Ordered {
                queue.record_arrival(&arrival, now);
            }
            match queue.push(arrival, now) {
                Ok(key) => {
                    waiting.insert(key, now);
                }
                Err(_) => report.refused += 1,
            }
        }
        waiting.retain(|key, arrived| {
            let is_over = now.duration_since(*arrived) >= MAX_WAIT;
            if is_over {
                queue.remove(*key);
                report.refused += 1;
                report.refusal_time += MAX_WAIT;
            }
            !is_over
        });
        for slot in busy_until.iter_mut().filter(|until| **until <= now) {
            let keys: Vec<_> = waiting.keys().copied().collect();
            let key = match policy {
                Policy::Ordered if !queue.is_empty() => Some(first(&queue, now)),
                Policy::Ordered => None,
                Policy::Polling => keys.choose(&mut random).copied(),
            };
            let Some(key) = key else { break };
            queue.take(key, now);
            let Some(arrived) = waiting.remove(&key) else { continue };
            match now.duration_since(arrived) < TARGET {
                true => report.on_time += 1,
                false => report.late += 1,
            }
            *slot = now + Duration::from_millis(random.random_range(500..1_500));
        }
    }
    report
}

#[test]
fn more_callers_are_served_on_time_than_with_polling() {
    for seed in 0..5 {
        let ordered = play_overload(Policy::Ordered, seed);
        let polling = play_overload(Policy::Polling, seed);
        assert!(ordered.on_time > polling.on_time, "seed {seed}: {ordered:?}, {polling:?}");
        let served = |report: CallerReport| report.on_time + report.late;
        assert!(
            f64::from(served(ordered)) >= 0.98 * f64::from(served(polling)),
            "seed {seed}: {ordered:?}, {polling:?}"
        );
        let mean = |report: CallerReport| report.refusal_time / report.refused.max(1);
        assert!(mean(ordered) < mean(polling), "seed {seed}: {ordered:?}, {polling:?}");
    }
}

#[test]
fn requests_that_may_have_run_come_first_then_urgent_ones_then_those_on_time() {
    let now = Instant::now();
    let mut queue = RequestQueue::new();
    let late = WaitingRequest { target_at: now, ..request("a", now) };
    let returned = WaitingRequest { has_returned: true, ..late.clone() };
    let urgent = WaitingRequest { priority: 0, ..late.clone() };
    let rerun = WaitingRequest { is_rerun: true, ..late.clone() };
    let start_by = now + Duration::from_secs(60);
    let mut push = |request: WaitingRequest| {
        queue.push(WaitingRequest { start_by, ..request }, now).expect("the queue has room")
    };
    let keys = [late, request("a", now), returned, urgent, rerun].map(&mut push);
    let [late, on_time, returned, urgent, rerun] = keys;
    assert_eq!(queue.in_order(now)[&queue_id()], [rerun, urgent, on_time, returned, late]);
}

#[test]
fn a_small_account_does_not_wait_behind_a_large_one() {
    let now = Instant::now();
    let mut queue = RequestQueue::new();
    let start_by = now + Duration::from_secs(60);
    for _ in 0..20 {
        let large = WaitingRequest { start_by, ..request("large", now) };
        queue.push(large, now).expect("the queue has room");
    }
    let small = WaitingRequest { start_by, ..request("small", now) };
    let small = queue.push(small, now).expect("the queue has room");
    let position = queue.in_order(now)[&queue_id()].iter().position(|key| *key == small);
    assert!(position <= Some(1), "the small account waits at {position:?}");
}

#[test]
fn a_request_that_would_start_too_late_is_refused_at_once_with_the_time_to_return() {
    let now = Instant::now();
    let mut queue = RequestQueue::new();
    // Without placements so far, one request per second is assumed to start.
    queue.push(request("a", now), now).expect("the queue is empty");
    queue.push(request("a", now), now).expect("it starts after 1 s");
    let refused = queue.push(request("a", now), now);
    assert_eq!(refused, Err(Duration::from_millis(800)), "it would start after 2 s");
    // An urgent request passes those that wait.
    let urgent = WaitingRequest { priority: 0, ..request("a", now) };
    queue.push(urgent, now).expect("it starts before the others");
}

#[test]
fn the_time_spent_on_earlier_attempts_is_what_the_usual_timeout_lacks() {
    let full = Duration::from_secs(8);
    let mut usual = UsualTimeout::new(full);
    for _ in 0..100 {
        // A third of the callers come back with what is left of their time.
        for timeout in [full, full, Duration::from_secs(5)] {
            usual.record(timeout);
        }
    }
    assert_eq!(usual.time_spent(full), Duration::ZERO);
    assert!(usual.time_spent(Duration::from_secs(5)) > Duration::from_secs(2));
}
