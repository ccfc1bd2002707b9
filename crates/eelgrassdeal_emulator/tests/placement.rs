//! Requests seldom wait inside a replica, although the nodes place them by outdated counts.

use std::time::Duration;

use eelgrassdeal_emulator::{PlacementPolicy, PlacementReport, PlacementSpec, simulate_placement};

/// Virtual time that each simulation covers.
const DURATION: Duration = Duration::from_secs(12);
/// Target: with three quarters of all slots busy, at most one request in ten waits inside a
/// replica.
const MAX_QUEUED_SHARE: f64 = 0.1;

/// Seven nodes that send each other their counts four times a second.
fn small_fleet() -> PlacementSpec {
    PlacementSpec {
        nodes: 7,
        replicas: 7,
        slots: 26,
        utilisation: 0.75,
        mean_service_time: Duration::from_millis(1_200),
        message_interval: Duration::from_millis(250),
        count_age: Duration::from_millis(5),
    }
}

/// 82 nodes that exchange their counts through hubs.
fn large_fleet() -> PlacementSpec {
    PlacementSpec {
        nodes: 82,
        replicas: 28,
        slots: 30,
        message_interval: Duration::from_millis(350),
        count_age: Duration::from_millis(350),
        ..small_fleet()
    }
}

fn mean(spec: &PlacementSpec, policy: PlacementPolicy) -> PlacementReport {
    let reports: Vec<_> =
        (0..3).map(|seed| simulate_placement(spec, policy, DURATION, seed)).collect();
    let mean_of = |read: fn(&PlacementReport) -> f64| {
        reports.iter().map(read).sum::<f64>() / reports.len() as f64
    };
    PlacementReport {
        queued_share: mean_of(|report| report.queued_share),
        refused_share: mean_of(|report| report.refused_share),
    }
}

#[test]
fn few_requests_wait_inside_a_replica_although_counts_are_outdated() {
    for spec in [small_fleet(), large_fleet()] {
        let weighted = mean(&spec, PlacementPolicy::WeightedRandom);
        let fewest = mean(&spec, PlacementPolicy::FewestRequests);
        assert!(
            weighted.queued_share <= MAX_QUEUED_SHARE,
            "{weighted:?}, {fewest:?} with {spec:?}"
        );
        assert!(
            weighted.queued_share < fewest.queued_share / 2.0,
            "{weighted:?}, {fewest:?} with {spec:?}"
        );
        assert_eq!(weighted.refused_share, 0.0);
    }
}
