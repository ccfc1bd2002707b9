//! Limits that hold over all nodes: each node uses an equal share.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

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

/// Part of the window in which requests and retries are counted together.
const STEPS_PER_WINDOW: u32 = 20;

/// Bound of the retries of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries for each request.
    pub ratio: f64,
    /// Further retries in a window, over all nodes.
    pub slack: f64,
    /// Window in which retries are counted.
    pub window: Duration,
}

/// Requests and retries of one step of a window.
#[derive(Clone, Copy, Debug)]
struct RetryStep {
    began_at: Instant,
    requests: u32,
    retries: u32,
}

/// Share of the retries of one service that this node may use: in each window its part of the slack
/// and those that its own requests allow.
#[derive(Clone, Debug, Default)]
pub struct RetryAllowance {
    /// Steps of the last window, oldest first.
    steps: VecDeque<RetryStep>,
}

impl RetryAllowance {
    /// Part of the demanded bound that the nodes use together. The rest is for nodes that do not know
    /// of each other, and for requests whose end is counted in another window than their start.
    const USED_PART: f64 = 0.8;

    /// Counts a request that a caller sent.
    pub fn note_request(&mut self, bound: &RetryBound, now: Instant) {
        self.step(bound, now).requests += 1;
    }

    /// Takes one retry, where `nodes` nodes share the bound; false if the share is used up.
    pub fn try_retry(&mut self, bound: &RetryBound, nodes: usize, now: Instant) -> bool {
        self.step(bound, now);
        let length = bound.window / STEPS_PER_WINDOW;
        let age = |step: &RetryStep| now.saturating_duration_since(step.began_at);
        // The last retry of a step may be as late as its end.
        let retries: u32 = self.steps.iter().map(|step| step.retries).sum();
        let recent = self.steps.iter().filter(|step| age(step) + length <= bound.window);
        let current = self.steps.back().filter(|step| age(step) < length);
        let requests: u32 = recent.chain(current).map(|step| step.requests).sum();
        let allowed = bound.slack / nodes.max(1) as f64 + bound.ratio * f64::from(requests);
        let is_allowed = f64::from(retries) + 1.0 <= (allowed * Self::USED_PART).max(1.0);
        if is_allowed {
            self.step(bound, now).retries += 1;
        }
        is_allowed
    }

    /// The current step.
    fn step(&mut self, bound: &RetryBound, now: Instant) -> &mut RetryStep {
        let length = bound.window / STEPS_PER_WINDOW;
        let age = |step: &RetryStep| now.saturating_duration_since(step.began_at);
        while self.steps.front().is_some_and(|step| age(step) >= bound.window + length) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| age(step) >= length) {
            self.steps.push_back(RetryStep { began_at: now, requests: 0, retries: 0 });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
