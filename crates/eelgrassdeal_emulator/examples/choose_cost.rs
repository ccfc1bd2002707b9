//! Prints how long a choice among 70 upstreams takes, in a small fleet and in a large one.
//!
//! Run with `cargo run --release -p eelgrassdeal_emulator --example choose_cost`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{
    CountScope, LoadTracker, PlacementConstraints, PlacementTarget, UpstreamRecord, UpstreamState,
};

const UPSTREAMS: usize = 70;
const CHOICES: u32 = 100_000;

fn main() {
    let now = Instant::now();
    let targets: Vec<_> = (0..UPSTREAMS).map(|index| target(index, now)).collect();
    for scope in [CountScope::Node, CountScope::Fleet] {
        let mut tracker = LoadTracker::new();
        tracker.set_position(17, 80);
        let counts = targets.iter().map(|target| (target.record.upstream.clone(), 20)).collect();
        tracker.set_peer_counts(&Arc::from("peer"), scope, counts, now);
        for target in &targets {
            tracker.start_request(&target.record.upstream, now);
        }
        let queue = (Arc::from("engines"), None);
        let constraints = PlacementConstraints {
            excluded: &[],
            queue: &queue,
            waiting: 1,
            max_per_slot: 1.3,
            is_on_time: true,
        };
        let started_at = Instant::now();
        for choice in 0..CHOICES {
            let draw = f64::from(choice) / f64::from(CHOICES);
            let chosen = tracker.choose(&targets, constraints, draw, now);
            std::hint::black_box(&chosen);
        }
        println!("{scope:?}: {:?} for each choice", started_at.elapsed() / CHOICES);
    }
}

fn target(index: usize, now: Instant) -> PlacementTarget {
    PlacementTarget::new(Arc::new(UpstreamRecord {
        upstream: Arc::from(format!("head-{index}")),
        service: Arc::from("engines"),
        address: Arc::from(format!("10.0.0.{index}:80")),
        data_centre: Arc::from("dc"),
        slots: 34,
        state: UpstreamState::Ready,
        cold_left: Duration::ZERO,
        seen_at: now,
        domain: None,
        staged: Vec::new(),
        loaded: None,
        membership: None,
        // Any value, since no upstream restarts.
        start_time_ms: 1,
    }))
}
