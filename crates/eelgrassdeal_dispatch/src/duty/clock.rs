//! True time, from the clocks of several nodes.
//!
//! Addresses wall clocks that differ or are set, and VMs that were suspended.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eelgrassdeal_types::NodeId;

/// A leaf keeps its own clock while that of its hub differs by at most this. An exchange of messages
/// does not tell smaller differences reliably.
const LEAF_TOLERANCE_MS: i64 = 50;
/// Age after which the clock of a node no longer counts.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(10);
/// Age after which a clock is taken over from an exchange that took longer than the one before.
const SAMPLE_RENEWAL: Duration = Duration::from_secs(4);

/// How the clock of another node differs from the one of this node.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    /// Difference of the other node's anchored clock.
    anchored_ms: i64,
    /// Difference of the other node's estimate of true time.
    time_ms: i64,
    /// Time that the exchange took, which bounds the error.
    round_trip: Duration,
    at: Instant,
}

/// True time as this node estimates it. The wall clock is read once at the start and continues with the
/// monotonic clock. The nodes that exchange messages with many others take the median of the anchored
/// clocks: estimates would keep a wrong time that a few early nodes agreed on.
#[derive(Clone, Debug)]
pub struct FleetClock {
    anchored_at: Instant,
    anchor_unix_ms: i64,
    samples: HashMap<NodeId, ClockSample>,
    /// Difference between true time and the anchored clock.
    correction_ms: i64,
}

impl FleetClock {
    /// Creates a clock that shows `unix_ms` at `now`.
    pub fn new(unix_ms: u64, now: Instant) -> Self {
        let anchor_unix_ms = i64::try_from(unix_ms).unwrap_or(i64::MAX / 4);
        Self { anchored_at: now, anchor_unix_ms, samples: HashMap::new(), correction_ms: 0 }
    }

    /// This node's own clock, in ms since the Unix epoch.
    pub fn anchored_unix_ms(&self, now: Instant) -> u64 {
        self.anchored(now).max(0) as u64
    }

    /// True time, in ms since the Unix epoch.
    pub fn unix_ms(&self, now: Instant) -> u64 {
        self.anchored(now).saturating_add(self.correction_ms).max(0) as u64
    }

    /// Records the clocks of another node from its reply to a request that was sent at `requested_at`.
    /// `anchored_unix_ms` is its own clock and `unix_ms` its estimate of true time. `is_leaf` is whether
    /// this node takes the time of the only node that it exchanges messages with.
    pub fn record_reply(
        &mut self,
        node: &NodeId,
        (anchored_unix_ms, unix_ms): (u64, u64),
        (requested_at, now): (Instant, Instant),
        is_leaf: bool,
    ) {
        let round_trip = now.saturating_duration_since(requested_at);
        let here = self.anchored(requested_at + round_trip / 2);
        let difference = |there: u64| i64::try_from(there).unwrap_or(i64::MAX / 4) - here;
        let sample = ClockSample {
            anchored_ms: difference(anchored_unix_ms),
            time_ms: difference(unix_ms),
            round_trip,
            at: now,
        };
        let is_better = self.samples.get(node).is_none_or(|known| {
            let error_ms = ((round_trip + known.round_trip) / 2).as_millis() as i64 + 1;
            round_trip <= known.round_trip
                || now.saturating_duration_since(known.at) > SAMPLE_RENEWAL
                || known.anchored_ms.abs_diff(sample.anchored_ms) > error_ms as u64
                || known.time_ms.abs_diff(sample.time_ms) > error_ms as u64
        });
        if is_better {
            self.samples.insert(node.clone(), sample);
        }
        self.samples.retain(|_, sample| now.saturating_duration_since(sample.at) < SAMPLE_LIFETIME);
        self.correction_ms = match is_leaf {
            true if sample.time_ms.abs() > LEAF_TOLERANCE_MS => sample.time_ms,
            true => 0,
            false => self.median(),
        };
    }

    fn anchored(&self, now: Instant) -> i64 {
        let elapsed = now.saturating_duration_since(self.anchored_at).as_millis();
        self.anchor_unix_ms.saturating_add(elapsed as i64)
    }

    /// Median of the differences of all clocks, among which the own one has none.
    fn median(&self) -> i64 {
        let mut differences: Vec<i64> =
            self.samples.values().map(|sample| sample.anchored_ms).chain([0]).collect();
        differences.sort_unstable();
        let middle = differences.len() / 2;
        match differences.len() % 2 {
            0 => differences[middle - 1] / 2 + differences[middle] / 2,
            _ => differences[middle],
        }
    }
}
