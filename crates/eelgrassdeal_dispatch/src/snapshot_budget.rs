//! Share of a node's link for snapshots of tables that other nodes ask for.

use std::time::{Duration, Instant};

/// Divisor of the link's capacity for the part that snapshots may take.
const LINK_SHARE_DIVISOR: u64 = 4;
/// Time in which the unused part of the share is kept.
const BURST_PERIOD: Duration = Duration::from_secs(1);

/// Limit on the bytes of snapshots that a node sends to others.
///
/// Many nodes that start at the same time ask the few that remain for whole tables. Without a limit the
/// replies fill the link and time out, the nodes ask again, and the node that sends them loses contact to
/// the store and to upstreams. A node whose request is not met asks again later, or reads the store.
#[derive(Clone, Debug)]
pub struct SnapshotBudget {
    bytes_per_s: u64,
    /// Bytes that may be sent now. Negative after a snapshot that is larger than the burst.
    available: i64,
    refilled_at: Instant,
}

impl SnapshotBudget {
    /// Creates the budget of a node whose link carries `link_bytes_per_s`.
    pub fn new(link_bytes_per_s: u64, now: Instant) -> Self {
        let bytes_per_s = (link_bytes_per_s / LINK_SHARE_DIVISOR).max(1);
        Self { bytes_per_s, available: Self::burst(bytes_per_s), refilled_at: now }
    }

    /// Takes the bytes of a snapshot. Returns false, and takes nothing, if it must not be sent now. A
    /// snapshot of any size may be sent after a time without others.
    pub fn try_take(&mut self, bytes: usize, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refill = elapsed.as_secs_f64() * self.bytes_per_s as f64;
        let burst = Self::burst(self.bytes_per_s);
        self.available = self.available.saturating_add(refill as i64).min(burst);
        self.refilled_at = now.max(self.refilled_at);
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        let is_allowed = bytes.min(burst) <= self.available;
        if is_allowed {
            self.available = self.available.saturating_sub(bytes);
        }
        is_allowed
    }

    fn burst(bytes_per_s: u64) -> i64 {
        let bytes = bytes_per_s as f64 * BURST_PERIOD.as_secs_f64();
        bytes as i64
    }
}
