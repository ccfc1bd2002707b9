//! Placement of requests by several nodes with outdated request counts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{
    CountScope, LoadTracker, PlacementConstraints, PlacementTarget, UpstreamRecord, UpstreamState,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time at the start that is not included in the report, because the replicas are still filling up.
const WARM_UP: Duration = Duration::from_secs(3);

/// Nodes that place requests at the replicas of one model, and their load.
#[derive(Clone, Copy, Debug)]
pub struct PlacementSpec {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of replicas.
    pub replicas: usize,
    /// Number of requests that a replica runs concurrently.
    pub slots: u32,
    /// Mean share of all slots that would be busy if no request were refused, in 0..1.
    pub utilisation: f64,
    /// Mean processing time of a request; the times are exponentially distributed.
    pub mean_service_time: Duration,
    /// Minimum interval between two messages with request counts to the same node.
    pub message_interval: Duration,
    /// Minimum age of the counts in a message, except shortly after the start.
    pub count_age: Duration,
}

/// How a node selects the replica for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// As in the gateway: at random, weighted by free capacity.
    WeightedRandom,
    /// Baseline: the replica with the fewest requests, as far as the node knows.
    FewestRequests,
}

/// Result of [`simulate_placement`].
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementReport {
    /// Share of the requests that were sent to a replica without a free slot and waited inside it.
    pub queued_share: f64,
    /// Share of the requests that were refused, because all replicas were full as far as the node
    /// knew.
    pub refused_share: f64,
}

/// End times of the running requests, each with the indices of its node and replica. The earliest
/// comes first.
type RequestEnds = BinaryHeap<Reverse<(Instant, usize, usize)>>;

/// Simulates requests for `duration` of virtual time. They arrive at random nodes, which place them
/// by `policy`.
pub fn simulate_placement(
    spec: &PlacementSpec,
    policy: PlacementPolicy,
    duration: Duration,
    seed: u64,
) -> PlacementReport {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let targets: Vec<_> = (0..spec.replicas).map(|index| replica(index, spec, start)).collect();
    let mut trackers = vec![LoadTracker::new(); spec.nodes];
    let mut running = vec![vec![0_u32; spec.replicas]; spec.nodes];
    let mut ends = RequestEnds::new();
    // Request counts by node and replica at earlier times, oldest first.
    let mut history: Vec<(Instant, Vec<Vec<u32>>)> = Vec::new();
    // At a random time, so that the nodes do not all receive their messages at once.
    let mut last_message_at: Vec<Instant> =
        (0..spec.nodes).map(|_| start - spec.message_interval.mul_f64(random.random())).collect();
    let requests_per_s = spec.utilisation * f64::from(spec.slots) * spec.replicas as f64
        / spec.mean_service_time.as_secs_f64();
    let (mut arrived, mut queued, mut refused) = (0_u32, 0_u32, 0_u32);
    let mut now = start;
    while now < start + duration {
        now += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / requests_per_s);
        while let Some(Reverse((_, node, replica))) =
            ends.peek().filter(|end| end.0.0 <= now).copied()
        {
            ends.pop();
            running[node][replica] -= 1;
            // `false`: the simulation never counts a response as begun.
            trackers[node].end_request(&targets[replica].record.upstream, false);
        }
        send_counts(
            spec,
            &targets,
            &mut trackers,
            &running,
            &mut history,
            &mut last_message_at,
            now,
        );
        let node = random.random_range(0..spec.nodes);
        let constraints = PlacementConstraints { excluded: &[], max_per_slot: 1.0 };
        let is_counted = now >= start + WARM_UP;
        arrived += u32::from(is_counted);
        let chosen = match policy {
            PlacementPolicy::WeightedRandom => {
                let target =
                    trackers[node].choose(&targets, constraints, random.random(), now).ok();
                target.and_then(|target| {
                    let upstream = &target.record.upstream;
                    targets.iter().position(|candidate| candidate.record.upstream == *upstream)
                })
            }
            PlacementPolicy::FewestRequests => {
                let total = |replica: &usize| {
                    trackers[node].total_requests(&targets[*replica].record.upstream, now)
                };
                let fewest = (0..targets.len()).min_by_key(total);
                fewest.filter(|replica| total(replica) < spec.slots)
            }
        };
        let Some(replica) = chosen else {
            refused += u32::from(is_counted);
            continue;
        };
        let total: u32 = running.iter().map(|counts| counts[replica]).sum();
        queued += u32::from(is_counted && total >= spec.slots);
        running[node][replica] += 1;
        trackers[node].start_request(&targets[replica].record.upstream, now);
        let service_time = spec.mean_service_time.mul_f64(-(1.0 - random.random::<f64>()).ln());
        ends.push(Reverse((now + service_time, node, replica)));
    }
    let share = |count: u32| f64::from(count) / f64::from(arrived.max(1));
    PlacementReport { queued_share: share(queued), refused_share: share(refused) }
}

/// Sends the request counts of all other nodes to the nodes that are due for a message. The counts
/// are at least `count_age` old, or the oldest ones if none are that old yet.
fn send_counts(
    spec: &PlacementSpec,
    targets: &[PlacementTarget],
    trackers: &mut [LoadTracker],
    running: &[Vec<u32>],
    history: &mut Vec<(Instant, Vec<Vec<u32>>)>,
    last_message_at: &mut [Instant],
    now: Instant,
) {
    let is_due = |at: &Instant| now.duration_since(*at) >= spec.message_interval;
    if !last_message_at.iter().any(is_due) {
        return;
    }
    history.push((now, running.to_vec()));
    let sent =
        history.iter().rposition(|(at, _)| now.duration_since(*at) >= spec.count_age).unwrap_or(0);
    history.drain(..sent);
    let counts_by_node = &history[0].1;
    for node in 0..trackers.len() {
        if !is_due(&last_message_at[node]) {
            continue;
        }
        last_message_at[node] = now;
        let counts = targets.iter().enumerate().map(|(replica, target)| {
            let others = counts_by_node.iter().enumerate().filter(|(other, _)| *other != node);
            let total = others.map(|(_, counts)| counts[replica]).sum();
            (target.record.upstream.clone(), total)
        });
        trackers[node].set_peer_counts(
            &Arc::from("others"),
            CountScope::Fleet,
            counts.collect(),
            now,
        );
    }
}

fn replica(index: usize, spec: &PlacementSpec, now: Instant) -> PlacementTarget {
    PlacementTarget::new(Arc::new(UpstreamRecord {
        upstream: Arc::from(format!("head-{index}")),
        service: Arc::from("engines"),
        address: Arc::from(format!("10.0.0.{index}:80")),
        data_centre: Arc::from("dc"),
        slots: spec.slots,
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
