//! Retry budget: bounds the retries, so that failures do not multiply the load.

use std::time::{Duration, Instant};

/// Retries added to the budget for each first attempt.
const RETRY_RATIO: f64 = 0.1;
/// Retries in a new budget, and the amount up to which a budget refills without any requests.
const INITIAL_RETRY_TOKENS: f64 = 2.0;
/// Upper bound of the unused retries in the budget.
const MAX_RETRY_TOKENS: f64 = 20.0;
/// Time in which a budget below [`INITIAL_RETRY_TOKENS`] regains one retry without any requests.
const REFILL_INTERVAL: Duration = Duration::from_secs(5);

/// Token bucket of the retries that one replica may receive: 10% of its requests. A budget of less
/// than 2 retries also refills with time, without any requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Creates a budget of 2 retries.
    pub fn new(now: Instant) -> Self {
        Self { tokens: INITIAL_RETRY_TOKENS, refilled_at: now }
    }

    /// Records the first attempt of a request, which adds 0.1 retries to the budget. Retries are
    /// not recorded here.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(MAX_RETRY_TOKENS);
    }

    /// Takes one retry from the budget; `false` if fewer than one is left.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < INITIAL_RETRY_TOKENS {
            let refill = elapsed.as_secs_f64() / REFILL_INTERVAL.as_secs_f64();
            self.tokens = (self.tokens + refill).min(INITIAL_RETRY_TOKENS);
        }
        // Tolerance: ten additions of 0.1 do not sum to exactly 1 in binary floating point.
        let is_allowed = self.tokens > 1.0 - 1e-6;
        if is_allowed {
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
        is_allowed
    }
}
