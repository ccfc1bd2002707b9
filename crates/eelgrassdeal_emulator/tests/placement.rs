//! Requests that nodes with late counts place seldom wait inside a replica.

use std::time::Duration;

use eelgrassdeal_emulator::{PlacementPolicy, PlacementReport, PlacementSpec, play_placement};

const LENGTH: Duration = Duration::from_secs(12);
/// Target: at three quarters of all slots busy, one request in ten waits inside a replica.
const MAX_QUEUED: f64 = 0.1;

/// Seven nodes that tell each other their counts four times a second.
fn today() -> PlacementSpec {
    PlacementSpec {
        nodes: 7,
        replicas: 7,
        slots: 26,
        utilisation: 0.75,
        service: Duration::from_millis(1_200),
        round: Duration::from_millis(250),
        lag: Duration::from_millis(5),
    }
}

/// Counts that pass through hubs.
fn grown() -> PlacementSpec {
    PlacementSpec {
        nodes: 82,
        replicas: 28,
        slots: 30,
        round: Duration::from_millis(350),
        lag: Duration::from_millis(350),
        ..today()
    }
}

fn mean(spec: &PlacementSpec, policy: PlacementPolicy) -> PlacementReport {
    let reports: Vec<_> = (0..3).map(|seed| play_placement(spec, policy, LENGTH, seed)).collect();
    let mean_of = |read: fn(&PlacementReport) -> f64| {
        reports.iter().map(read).sum::<f64>() / reports.len() as f64
    };
    PlacementReport {
        queued: mean_of(|report| report.queued),
        refused: mean_of(|report| report.refused),
    }
}

#[test]
fn few_requests_wait_inside_a_replica_although_counts_are_late() {
    for spec in [today(), grown()] {
        let by_room = mean(&spec, PlacementPolicy::ByRoom);
        let fewest = mean(&spec, PlacementPolicy::Fewest);
        assert!(by_room.queued <= MAX_QUEUED, "{by_room:?}, {fewest:?} with {spec:?}");
        assert!(by_room.queued < fewest.queued / 2.0, "{by_room:?}, {fewest:?} with {spec:?}");
        assert_eq!(by_room.refused, 0.0);
    }
}
