//! Even distribution of requests over upstreams by nodes whose counts of each other are a little old.
//!
//! In a large fleet the counts of other nodes arrive through hubs, 0.35 to 1.1 s after they were true. A
//! request lasts about as long, so that most of what a count includes has ended, and most of what runs
//! was sent since. Nodes that choose by such counts send too much to the same upstreams, then too little;
//! nodes that draw at random leave the unevenness of independent draws, whatever they know.
//!
//! A node's own counts are exact. Each node therefore keeps its own requests level over the upstreams, and
//! the orders in which nodes fill the upstreams of a level start at evenly spaced upstreams. Then most of
//! the load of each upstream is constant, and only the last step of each node varies. The counts of the
//! fleet, averaged over a few seconds, only correct lasting differences, for which their age is no matter.
//! No node can fill an upstream by an old count, since its own share there follows its own level.

use std::time::Duration;

/// Time constant of the mean over the counts of the fleet.
const MEAN_PERIOD: Duration = Duration::from_millis(2_500);
/// Part of an upstream's relative deviation from the mean load by which its share is corrected. Gains of 0
/// to 1.5 give the same spread in the emulated fleets, whose nodes are even by their positions.
const CORRECTION_GAIN: f64 = 0.5;
/// Bounds of the correction.
const MIN_CORRECTION: f64 = 0.5;
const MAX_CORRECTION: f64 = 1.5;
/// Levels by which an upstream that fails or pauses comes later than a healthy one. Without it a node with
/// few requests would send each of them to the same failing upstream, the first in its order.
const UNHEALTHY_LAG: f64 = 4.0;

/// Position of a node among all nodes, by which its order of the upstreams differs from those of the others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodePosition {
    /// Position from 0.
    pub(crate) index: usize,
    /// Number of all nodes.
    pub(crate) node_count: usize,
}

impl NodePosition {
    /// Part of a level, in 0..1, at which this node sends to upstream `upstream` of `upstream_count`. Over the
    /// nodes it is evenly spaced for each upstream. A node that lacks a few others in its list is off by as
    /// small a share.
    fn step(self, upstream: usize, upstream_count: usize) -> f64 {
        let start = self.index as f64 / self.node_count.max(1) as f64;
        let count = upstream_count as f64;
        let offset = (upstream as f64 / count - start).rem_euclid(1.0);
        // With equal distances between the upstreams in an order, corrections below a distance would change
        // nothing, and those above it all orders at once.
        offset + staggered_fraction(self.index, upstream) / count
    }
}

/// A fraction in 0..1 that differs from node to node and from upstream to upstream.
fn staggered_fraction(node: usize, upstream: usize) -> f64 {
    fraction_of((node as u64) << 32 | upstream as u64)
}

/// A fraction in 0..1 that looks random, by SplitMix64.
pub(crate) fn fraction_of(seed: u64) -> f64 {
    let mut bits = seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^= bits >> 31;
    (bits >> 11) as f64 / (1_u64 << 53) as f64
}

/// Mean number of requests of all nodes at an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MeanCount(Option<f64>);

impl MeanCount {
    /// Adds a count that is valid for `elapsed`.
    pub(crate) fn add(&mut self, count: u32, elapsed: Duration) {
        let share = 1.0 - (-elapsed.as_secs_f64() / MEAN_PERIOD.as_secs_f64()).exp();
        let count = f64::from(count);
        self.0 = Some(self.0.map_or(count, |mean| mean + (count - mean) * share));
    }

    /// The mean; 0 if there was no count.
    pub(crate) fn get(self) -> f64 {
        self.0.unwrap_or(0.0)
    }
}

/// An upstream that may run a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LevelCandidate {
    /// Number of slots at normal speed, by which loads are compared.
    pub(crate) slots: f64,
    /// Requests of this node.
    pub(crate) own_requests: f64,
    /// Mean number of requests of all nodes.
    pub(crate) mean_count: f64,
    /// Factor of at most 1, below 1 if the upstream fails or pauses.
    pub(crate) health: f64,
    /// Index of the upstream among all upstreams, in an order that is the same at all nodes.
    pub(crate) index: usize,
}

/// Index in `candidates` of the one with the lowest level of this node's requests. `upstream_count` is the number
/// of all upstreams, including those that accept no request now.
pub(crate) fn lowest_level(
    candidates: &[LevelCandidate],
    upstream_count: usize,
    position: NodePosition,
) -> Option<usize> {
    let slots: f64 = candidates.iter().map(|candidate| candidate.slots).sum();
    let mean_slots = slots / candidates.len() as f64;
    let mean_load = candidates.iter().map(|candidate| candidate.mean_count).sum::<f64>() / slots;
    let level = |candidate: &LevelCandidate| {
        let deviation = match mean_load > 0.0 {
            true => candidate.mean_count / (candidate.slots * mean_load) - 1.0,
            false => 0.0,
        };
        let correction = (1.0 - CORRECTION_GAIN * deviation).clamp(MIN_CORRECTION, MAX_CORRECTION);
        let share = candidate.slots / mean_slots * correction * candidate.health;
        let step = position.step(candidate.index, upstream_count);
        (candidate.own_requests + step) / share + (1.0 - candidate.health) * UNHEALTHY_LAG
    };
    let levels = candidates.iter().map(level).enumerate();
    levels.min_by(|left, right| left.1.total_cmp(&right.1)).map(|(index, _)| index)
}
