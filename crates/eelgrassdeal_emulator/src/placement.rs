//! Placement of requests by many nodes whose counts are late.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{
    CountScope, LoadTracker, PlacementConstraints, PlacementTarget, UpstreamRecord, UpstreamState,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Part of the day that is not counted: the engines fill up.
const WARM_UP: Duration = Duration::from_secs(3);

/// Load of a fleet of nodes before replicas of one model.
#[derive(Clone, Copy, Debug)]
pub struct PlacementSpec {
    /// Nodes.
    pub nodes: usize,
    /// Replicas.
    pub replicas: usize,
    /// Requests that a replica runs at once.
    pub slots: u32,
    /// Part of all slots that is busy on average.
    pub utilisation: f64,
    /// Mean time of a request.
    pub service: Duration,
    /// Pause between two messages of counts to a node.
    pub round: Duration,
    /// Age of the counts in a message.
    pub lag: Duration,
}

/// How a node places a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// As the gateway does: drawn by room.
    ByRoom,
    /// Baseline: the replica with the fewest requests, as far as the node knows.
    Fewest,
}

/// What callers get.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementReport {
    /// Share of the requests that came to a replica without a free slot and waited inside it.
    pub queued: f64,
    /// Share of the requests for which their node knew no room.
    pub refused: f64,
}

/// Ends of requests: when, at which node and at which replica.
type RequestEnds = BinaryHeap<Reverse<(Instant, usize, usize)>>;

/// Plays `length` of requests that nodes place by `policy`.
pub fn play_placement(
    spec: &PlacementSpec,
    policy: PlacementPolicy,
    length: Duration,
    seed: u64,
) -> PlacementReport {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let targets: Vec<_> = (0..spec.replicas).map(|index| replica(index, spec, start)).collect();
    let mut books = vec![LoadTracker::new(); spec.nodes];
    let mut running = vec![vec![0_u32; spec.replicas]; spec.nodes];
    let mut ends = RequestEnds::new();
    // Counts as they were, oldest first.
    let mut history: Vec<(Instant, Vec<Vec<u32>>)> = Vec::new();
    let mut told_at: Vec<Instant> =
        (0..spec.nodes).map(|_| start - spec.round.mul_f64(random.random())).collect();
    let per_s = spec.utilisation * f64::from(spec.slots) * spec.replicas as f64
        / spec.service.as_secs_f64();
    let (mut asked, mut queued, mut refused) = (0_u32, 0_u32, 0_u32);
    let mut now = start;
    while now < start + length {
        now += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / per_s);
        while let Some(Reverse((_, node, replica))) =
            ends.peek().filter(|end| end.0.0 <= now).copied()
        {
            ends.pop();
            running[node][replica] -= 1;
            books[node].end_request(&targets[replica].record.upstream, false);
        }
        tell_counts(spec, &targets, &mut books, &running, &mut history, &mut told_at, now);
        let node = random.random_range(0..spec.nodes);
        let need = PlacementConstraints { excluded: &[], max_per_slot: 1.0 };
        let is_counted = now >= start + WARM_UP;
        asked += u32::from(is_counted);
        let chosen = match policy {
            PlacementPolicy::ByRoom => {
                let chosen = books[node].choose(&targets, need, random.random(), now).ok();
                chosen.and_then(|target| {
                    let id = &target.record.upstream;
                    targets.iter().position(|known| known.record.upstream == *id)
                })
            }
            PlacementPolicy::Fewest => {
                let total = |replica: &usize| {
                    books[node].total_requests(&targets[*replica].record.upstream, now)
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
        books[node].start_request(&targets[replica].record.upstream, now);
        let service = spec.service.mul_f64(-(1.0 - random.random::<f64>()).ln());
        ends.push(Reverse((now + service, node, replica)));
    }
    let share = |count: u32| f64::from(count) / f64::from(asked.max(1));
    PlacementReport { queued: share(queued), refused: share(refused) }
}

/// Tells the nodes that are due the counts of all others as they were a while ago.
fn tell_counts(
    spec: &PlacementSpec,
    targets: &[PlacementTarget],
    books: &mut [LoadTracker],
    running: &[Vec<u32>],
    history: &mut Vec<(Instant, Vec<Vec<u32>>)>,
    told_at: &mut [Instant],
    now: Instant,
) {
    let is_due = |at: &Instant| now.duration_since(*at) >= spec.round;
    if !told_at.iter().any(is_due) {
        return;
    }
    history.push((now, running.to_vec()));
    let seen = history.iter().rposition(|(at, _)| now.duration_since(*at) >= spec.lag).unwrap_or(0);
    history.drain(..seen);
    let known = &history[0].1;
    for node in 0..books.len() {
        if !is_due(&told_at[node]) {
            continue;
        }
        told_at[node] = now;
        let counts = targets.iter().enumerate().map(|(replica, target)| {
            let others = known.iter().enumerate().filter(|(other, _)| *other != node);
            let total = others.map(|(_, counts)| counts[replica]).sum();
            (target.record.upstream.clone(), total)
        });
        books[node].set_peer_counts(&Arc::from("others"), CountScope::Fleet, counts.collect(), now);
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
        start_time_ms: 1,
    }))
}
