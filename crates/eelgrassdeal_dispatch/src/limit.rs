//! Rate limits that apply to all nodes together. Each node keeps to its share without asking the
//! others: the rate limit of a cold upstream is divided equally among a few selected nodes, and of a
//! retry budget each node uses an equal part of the slack and what its own requests allow.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Token bucket whose rate and capacity are passed with each request.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    pub(crate) fn new(now: Instant, tokens: f64) -> Self {
        Self { tokens, refilled_at: now }
    }

    /// Refills the bucket at `per_s` tokens per second up to `capacity`, then takes one token.
    /// Returns false if there is none.
    pub(crate) fn try_take(&mut self, now: Instant, per_s: f64, capacity: f64) -> bool {
        let is_allowed = self.refill(now, per_s, capacity) >= 1.0;
        if is_allowed {
            self.take();
        }
        is_allowed
    }

    /// Refills the bucket at `per_s` tokens per second up to `capacity`, and returns the tokens in it.
    pub(crate) fn refill(&mut self, now: Instant, per_s: f64, capacity: f64) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * per_s).min(capacity);
        self.tokens
    }

    /// Adds no tokens for the time until `now`, whose rate no longer holds.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.refilled_at = now;
    }

    /// Takes one token.
    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Puts a token back that was not used.
    pub(crate) fn give_back(&mut self) {
        self.tokens += 1.0;
    }
}

/// Rate limit of a cold upstream for the requests of all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests per second.
    pub per_s: f64,
    /// Requests that are tolerated in one second, as a multiple of `per_s`.
    pub overshoot: f64,
    /// Requests that are tolerated in one second in addition to `overshoot`.
    pub slack: f64,
}

impl ColdLimit {
    /// Fraction of the tolerated excess over the rate that the nodes use. The rest is a reserve for
    /// nodes that do not know of each other and therefore send more than their share.
    const USED_FRACTION: f64 = 0.6;

    /// Number of nodes, out of `nodes`, that may send requests. Each of them may send one request
    /// more than its share of the rate, so their number is limited by the tolerated excess.
    pub fn sender_count(&self, nodes: usize) -> usize {
        let tolerated = self.per_s * (self.overshoot - 1.0) + self.slack;
        ((tolerated * Self::USED_FRACTION) as usize).clamp(1, nodes.max(1))
    }
}

/// One node's share of a [`ColdLimit`].
#[derive(Clone, Debug)]
pub struct ColdShare(TokenBucket);

impl ColdShare {
    /// Creates a share that allows one request immediately.
    pub fn new(now: Instant) -> Self {
        Self(TokenBucket::new(now, 1.0))
    }

    /// Takes one request, where `senders` nodes share the limit; false if the share is exhausted.
    ///
    /// The share accumulates at most one request, so that the senders together exceed the rate by
    /// at most one request each.
    pub fn try_take(&mut self, now: Instant, limit: &ColdLimit, senders: usize) -> bool {
        self.0.try_take(now, limit.per_s / senders.max(1) as f64, 1.0)
    }
}

/// Number of intervals into which a retry window is divided. Requests and retries are counted per
/// interval.
const INTERVALS_PER_WINDOW: u32 = 20;

/// Limits of a service's retry budget, which apply to all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in a window in addition to `ratio`.
    pub slack: f64,
    /// Window in which retries are counted.
    pub window: Duration,
}

/// Requests and retries of one interval of a window.
#[derive(Clone, Copy, Debug)]
struct RetryInterval {
    began_at: Instant,
    requests: u32,
    retries: u32,
}

/// One node's share of a service's retry budget: in each window an equal part of the slack, and the
/// retries that the node's own requests allow.
#[derive(Clone, Debug, Default)]
pub struct RetryShare {
    /// Intervals of the last window, oldest first.
    intervals: VecDeque<RetryInterval>,
}

impl RetryShare {
    /// Fraction of the budget that the nodes use together. The rest is a reserve for nodes that do
    /// not know of each other, and for requests that start in one window and end in another: this
    /// node counts a request at its start, but it may be counted at its end for the budget.
    const USED_FRACTION: f64 = 0.8;

    /// Counts a request that a caller sent. Called when the request starts.
    pub fn record_request(&mut self, limits: &RetryLimits, now: Instant) {
        self.get_or_begin_interval(limits, now).requests += 1;
    }

    /// Takes one retry, where `nodes` nodes share the budget; false if the share is exhausted.
    pub fn try_retry(&mut self, limits: &RetryLimits, nodes: usize, now: Instant) -> bool {
        // Drops expired intervals, whose retries must not be counted below.
        self.get_or_begin_interval(limits, now);
        let length = limits.window / INTERVALS_PER_WINDOW;
        let age = |interval: &RetryInterval| now.saturating_duration_since(interval.began_at);
        // Retries of an interval that began before the window can lie within the window, since they
        // may be as late as the end of the interval, so they count. Its requests do not count, nor
        // do those of an interval that began less than one `length` after the start of the window.
        let retries: u32 = self.intervals.iter().map(|interval| interval.retries).sum();
        let recent =
            self.intervals.iter().filter(|interval| age(interval) + length <= limits.window);
        let requests: u32 = recent.map(|interval| interval.requests).sum();
        let allowed = limits.slack / nodes.max(1) as f64 + limits.ratio * f64::from(requests);
        // A node may always make one retry per window, however small its share is.
        let is_allowed = f64::from(retries) + 1.0 <= (allowed * Self::USED_FRACTION).max(1.0);
        if is_allowed {
            self.get_or_begin_interval(limits, now).retries += 1;
        }
        is_allowed
    }

    /// Drops expired intervals, begins a new one if the newest has ended, and returns the one that
    /// contains `now`.
    fn get_or_begin_interval(&mut self, limits: &RetryLimits, now: Instant) -> &mut RetryInterval {
        let length = limits.window / INTERVALS_PER_WINDOW;
        let age = |interval: &RetryInterval| now.saturating_duration_since(interval.began_at);
        while self.intervals.front().is_some_and(|interval| age(interval) >= limits.window + length)
        {
            self.intervals.pop_front();
        }
        if self.intervals.back().is_none_or(|interval| age(interval) >= length) {
            self.intervals.push_back(RetryInterval { began_at: now, requests: 0, retries: 0 });
        }
        let last = self.intervals.len() - 1;
        &mut self.intervals[last]
    }
}
