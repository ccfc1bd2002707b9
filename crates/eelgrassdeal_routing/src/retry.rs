//! Bound on retries, so that failures do not multiply the load.

use std::time::{Duration, Instant};

/// Retries allowed for each request.
const RETRY_SHARE: f64 = 0.1;
/// Retries that are allowed without any requests before them.
const RETRY_MINIMUM: f64 = 2.0;
/// Most retries that can be saved up.
const RETRY_MAXIMUM: f64 = 20.0;
/// Time in which an idle replica gets one retry back.
const REFILL_INTERVAL: Duration = Duration::from_secs(5);

/// Retries that one replica may still receive: 10% of its requests, with a small minimum.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    refilled: Instant,
}

impl RetryBudget {
    /// Starts with the minimum.
    pub fn new(now: Instant) -> Self {
        Self { tokens: RETRY_MINIMUM, refilled: now }
    }

    /// Notes a first attempt.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + RETRY_SHARE).min(RETRY_MAXIMUM);
    }

    /// Takes one retry if the budget allows it.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled);
        self.refilled = self.refilled.max(now);
        if self.tokens < RETRY_MINIMUM {
            let refill = elapsed.as_secs_f64() / REFILL_INTERVAL.as_secs_f64();
            self.tokens = (self.tokens + refill).min(RETRY_MINIMUM);
        }
        // The sum of tenths is not exact in binary.
        let is_allowed = self.tokens > 1.0 - 1e-6;
        if is_allowed {
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
        is_allowed
    }
}
