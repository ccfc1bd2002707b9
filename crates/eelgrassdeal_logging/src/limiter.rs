//! A bound on how often a kind of line is written.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Lets a line of the log through at most once per interval. A fault that recurs with every request
/// would otherwise fill the log.
#[derive(Debug)]
pub struct LogLimiter {
    interval: Duration,
    logged_at: Cell<Option<Instant>>,
}

impl LogLimiter {
    /// Creates a limiter that lets the first line through.
    pub fn new(interval: Duration) -> Self {
        Self { interval, logged_at: Cell::new(None) }
    }

    /// Whether a line may be written at `now`. Counts it as written if so.
    pub fn is_due(&self, now: Instant) -> bool {
        let last = self.logged_at.get();
        let is_due = last.is_none_or(|at| now.saturating_duration_since(at) >= self.interval);
        if is_due {
            self.logged_at.set(Some(now));
        }
        is_due
    }
}
