//! Fleet-wide limits hold for the sum over all nodes.

mod common;

use std::time::{Duration, Instant};

use common::heartbeat;
use eelgrassdeal_dispatch::{ColdLimit, ColdShare, NodeDirectory, RetryLimits, RetryShare};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Directory of node `index` in a fleet of `nodes`. The node does not know about one in `missed` of
/// the others.
fn node(index: usize, nodes: usize, missed: usize, now: Instant) -> NodeDirectory {
    let heartbeat = |index: usize| heartbeat(&format!("front-{index}"), 1);
    let mut directory = NodeDirectory::new(heartbeat(index));
    let known = (0..nodes).filter(|other| !(index + other).is_multiple_of(missed));
    known.for_each(|other| directory.merge(heartbeat(other), now));
    directory
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(24) })]

    /// In any second, all nodes together send no more than a cold upstream tolerates, although each
    /// node knows only most of the others.
    #[test]
    fn cold_upstreams_get_no_more_than_they_tolerate(
        nodes in 1_usize..120,
        missed in 8_usize..12,
        per_s in 15.0_f64..60.0,
        gaps in proptest::collection::vec(0_u64..20, 1_000..2_000),
    ) {
        let limit = ColdLimit { per_s, overshoot: 1.5, slack: 5.0 };
        let start = Instant::now();
        let directories: Vec<_> = (0..nodes).map(|index| node(index, nodes, missed, start)).collect();
        let mut shares = vec![ColdShare::new(start); nodes];
        let mut now = start;
        let mut sent = Vec::new();
        for (index, gap) in gaps.iter().enumerate() {
            now += Duration::from_millis(*gap);
            let directory = &directories[index % nodes];
            let senders = limit.sender_count(directory.sharing_node_count(start));
            if directory.is_selected_for("cold", senders, start)
                && shares[index % nodes].try_take(now, &limit, senders)
            {
                sent.push(now);
            }
        }
        prop_assert!(!sent.is_empty());
        for first in &sent {
            let end = *first + Duration::from_secs(1);
            let count = sent.iter().filter(|at| **at >= *first && **at < end).count();
            let tolerated = limit.per_s * limit.overshoot + limit.slack;
            prop_assert!(
                count as f64 <= tolerated,
                "{count} requests in a second, {tolerated} are tolerated"
            );
        }
    }

    /// In any second, nodes that know of each other exceed the rate by at most one request each. The
    /// check tolerates one request more over all nodes.
    #[test]
    fn cold_upstreams_get_no_more_than_their_rate(
        nodes in 1_usize..12,
        per_s in 5.0_f64..60.0,
        gaps in proptest::collection::vec(1_u64..40, 200..400),
    ) {
        let limit = ColdLimit { per_s, overshoot: 1.5, slack: 5.0 };
        let start = Instant::now();
        let mut shares = vec![ColdShare::new(start); nodes];
        let mut now = start;
        let mut sent = Vec::new();
        for (index, gap) in gaps.iter().enumerate() {
            now += Duration::from_millis(*gap);
            if shares[index % nodes].try_take(now, &limit, nodes) {
                sent.push(now);
            }
        }
        for first in &sent {
            let end = *first + Duration::from_secs(1);
            let count = sent.iter().filter(|at| **at >= *first && **at < end).count();
            prop_assert!(count as f64 <= per_s + nodes as f64 + 1.0, "{count} requests in a second");
        }
    }

    /// In any window, the retries of all nodes together stay within the budget. The window that is
    /// checked follows its first retry, whereas a node counts the requests of the window before each
    /// retry. The budget is therefore taken from the requests of the window that is checked, of the
    /// one that starts half a window earlier, or of the one that starts a whole window earlier,
    /// whichever has most. Each node may exceed it by one retry, which it may always make.
    #[test]
    fn retries_stay_within_the_budget(
        nodes in 1_usize..10,
        requests in proptest::collection::vec(0_u32..8, 50..150),
        is_greedy in proptest::collection::vec(any::<bool>(), 150),
    ) {
        let limits =
            RetryLimits { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };
        let start = Instant::now();
        let mut shares = vec![RetryShare::default(); nodes];
        let mut now = start;
        let mut retries = Vec::new();
        let mut request_times = Vec::new();
        for (step, requests) in requests.iter().enumerate() {
            now += Duration::from_millis(200);
            for share in &mut shares {
                for _ in 0..*requests {
                    share.record_request(&limits, now);
                    request_times.push(now);
                }
                // In greedy steps every node retries as often as it may.
                while is_greedy[step] && share.try_retry(&limits, nodes, now) {
                    retries.push(now);
                }
            }
        }
        let count_in = |times: &[Instant], from: Instant| {
            times.iter().filter(|at| **at >= from && **at < from + limits.window).count() as f64
        };
        let mut firsts = retries.clone();
        firsts.dedup();
        for first in &firsts {
            let earlier = [Duration::ZERO, limits.window / 2, limits.window];
            let starts = earlier.map(|earlier| *first - earlier);
            let requests =
                starts.map(|from| count_in(&request_times, from)).into_iter().fold(0.0, f64::max);
            let allowed = limits.slack + limits.ratio * requests;
            let count = count_in(&retries, *first);
            prop_assert!(count <= allowed + nodes as f64, "{count} retries, {allowed} are allowed");
        }
    }
}

/// The loss of a fabric domain breaks many streams at once. The requests of the last window allow
/// more retries than the slack alone.
#[test]
fn a_burst_of_broken_streams_may_use_what_the_requests_of_the_window_allow() {
    let limits = RetryLimits { ratio: 0.2, slack: 70.0, window: Duration::from_secs(10) };
    let start = Instant::now();
    let mut share = RetryShare::default();
    for index in 0..200 {
        share.record_request(&limits, start + Duration::from_millis(45 * index));
    }
    let now = start + Duration::from_millis(9_400);
    let taken = (0..100).take_while(|_| share.try_retry(&limits, 7, now)).count();
    // Slack of 70 / 7 nodes = 10 and 200 * 0.2 = 40 for the requests, of which 80 % are used.
    assert_eq!(taken, 40);
}

/// Guards against retries beyond the budget in the first moments after many requests.
#[test]
fn requests_of_the_current_interval_count_once_for_the_retry_budget() {
    let limits = RetryLimits { ratio: 0.2, slack: 0.0, window: Duration::from_secs(10) };
    let (now, mut share) = (Instant::now(), RetryShare::default());
    (0..100).for_each(|_| share.record_request(&limits, now));
    let taken = (0..100).take_while(|_| share.try_retry(&limits, 1, now)).count();
    assert!(taken <= 20, "{taken} retries for 100 requests");
}
