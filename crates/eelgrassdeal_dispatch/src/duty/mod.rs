//! Decisions about the duties: calls to the platform's management API that one node at a time makes.
//!
//! The holder of the planner's lease has all duties. [`DutyTerm`] decides when it may make a call.
//! [`UsageLedger`] counts the requests of each client account, [`FleetClock`] assigns them to windows
//! of true time, and [`SealBook`] decides which report belongs to a window.

mod clock;
mod seal;
mod term;
mod usage;

use std::time::{Duration, Instant};

pub use clock::FleetClock;
pub use seal::{SealBook, SealChange, SealedReport, UsageTimes};
pub use term::{AnswerWatch, DutyTerm, TermLease, TermState};
pub use usage::{SourceCounts, UsageDelta, UsageLedger, UsageScope, UsageSource, WindowCounts};

/// Delay after the first call without success.
const MIN_BACKOFF: Duration = Duration::from_millis(300);
/// Longest delay between two calls for one subject.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Share of the calls that the API accepts which the duties use. Operators and other programs call it
/// too, and the late execution of unanswered calls counts again.
const CALL_SHARE: f64 = 0.1;
/// Interval of the calls if the settings name no rate.
const DEFAULT_CALL_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before a failed call is repeated.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallBackoff {
    failures: u32,
    until: Option<Instant>,
}

impl CallBackoff {
    /// Whether the next call may be made.
    pub fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Records a call that was not carried out, or may not have been.
    pub fn record_failure(&mut self, now: Instant) {
        let delay = MIN_BACKOFF * 2_u32.pow(self.failures.min(3));
        self.until = Some(now + delay.min(MAX_BACKOFF));
        self.failures = self.failures.saturating_add(1);
    }

    /// Records a call that was carried out.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }
}

/// Spaces the calls of all duties evenly, below the rate that the API accepts.
#[derive(Clone, Copy, Debug)]
pub struct CallBudget {
    interval: Duration,
    next_at: Option<Instant>,
}

impl CallBudget {
    /// Creates a budget for an API that accepts `calls_per_s` from all nodes together.
    pub fn new(calls_per_s: f64) -> Self {
        let interval = Duration::try_from_secs_f64(1.0 / (calls_per_s * CALL_SHARE));
        let is_named = calls_per_s > 0.0;
        let interval = interval.ok().filter(|_| is_named).unwrap_or(DEFAULT_CALL_INTERVAL);
        Self { interval, next_at: None }
    }

    /// Takes one call. Returns false if it would follow the last one too soon.
    pub fn try_take(&mut self, now: Instant) -> bool {
        if self.next_at.is_some_and(|next_at| now < next_at) {
            return false;
        }
        self.next_at = Some(now + self.interval);
        true
    }
}
