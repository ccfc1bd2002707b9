//! Limits that hold over all nodes: each node uses an equal share.

use std::time::{Duration, Instant};

/// Shortest window that is told apart from none.
const SHORTEST_WINDOW_S: f64 = 0.001;

/// Permissions that are saved up at a rate, to a bound.
#[derive(Clone, Debug)]
struct TokenBucket {
    saved: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(now: Instant, saved: f64) -> Self {
        Self { saved, refilled_at: now }
    }

    /// Takes one permission after refilling `per_s` up to `bound`.
    fn try_take(&mut self, now: Instant, per_s: f64, bound: f64) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.saved = (self.saved + elapsed * per_s).min(bound);
        let is_allowed = self.saved >= 1.0;
        if is_allowed {
            self.saved -= 1.0;
        }
        is_allowed
    }
}

/// Requests that a cold upstream bears, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Requests a second.
    pub per_s: f64,
    /// Requests in one second that are tolerated, in terms of the rate.
    pub overshoot: f64,
    /// Further requests that are tolerated in one second.
    pub slack: f64,
}

impl ColdBound {
    /// Part of the tolerated requests that the nodes use. The rest is for nodes that do not know of
    /// each other and send more than their share.
    const USED_PART: f64 = 0.6;

    /// How many of `nodes` nodes may send requests. Each may send one more than its share of the
    /// rate, so that many nodes together would send too many.
    pub fn senders(&self, nodes: usize) -> usize {
        let tolerated = self.per_s * (self.overshoot - 1.0) + self.slack;
        ((tolerated * Self::USED_PART) as usize).clamp(1, nodes.max(1))
    }
}

/// A node's share of the requests that a cold upstream bears.
#[derive(Clone, Debug)]
pub struct ColdShare(TokenBucket);

impl ColdShare {
    /// Starts with one request.
    pub fn new(now: Instant) -> Self {
        Self(TokenBucket::new(now, 1.0))
    }

    /// Takes one request; false if the share is used up.
    ///
    /// At most one request is saved, so that the senders together never send more than one each
    /// beyond the rate.
    pub fn try_take(&mut self, now: Instant, bound: &ColdBound, senders: usize) -> bool {
        self.0.try_take(now, bound.per_s / senders.max(1) as f64, 1.0)
    }
}

/// Share of the retries of one service that this node may use.
#[derive(Clone, Debug)]
pub struct RetryAllowance(TokenBucket);

impl RetryAllowance {
    /// Part of the demanded bound that the nodes use together.
    const USED_PART: f64 = 0.8;

    /// Starts with the node's part of the retries that need no requests.
    pub fn new(now: Instant, slack: f64, nodes: usize) -> Self {
        Self(TokenBucket::new(now, Self::capacity(slack, nodes)))
    }

    /// Counts a request that a caller sent.
    pub fn note_request(&mut self, ratio: f64) {
        self.0.saved += ratio * Self::USED_PART;
    }

    /// Takes one retry. In a window the nodes together get `slack` retries and those that their
    /// requests allow.
    pub fn try_retry(&mut self, now: Instant, slack: f64, window: Duration, nodes: usize) -> bool {
        // Half of the slack is saved up at most and half refilled over a window, so that no
        // window sees more than the whole.
        let capacity = Self::capacity(slack, nodes);
        let per_s = capacity / window.as_secs_f64().max(SHORTEST_WINDOW_S);
        self.0.try_take(now, per_s, capacity * 2.0)
    }

    fn capacity(slack: f64, nodes: usize) -> f64 {
        slack * Self::USED_PART / 2.0 / nodes.max(1) as f64
    }
}
