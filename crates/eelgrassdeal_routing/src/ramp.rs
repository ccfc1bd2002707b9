//! Limit on the requests in flight at a replica while its engine warms up. The engine is the
//! upstream process that runs the requests of the replica.

use std::time::{Duration, Instant};

use eelgrassdeal_types::StartId;

/// A time to first token above this multiple of the target means that the engine is cold again.
const COLD_LATENCY_FACTOR: u32 = 3;
/// A ramp inherits higher limits from reports only for this time after it was created. The time
/// spans several report intervals, so that a new owner receives a report from every node within it.
const INHERIT_PERIOD: Duration = Duration::from_secs(3);

/// Capacity of a replica and pace of its warm-up, as declared in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RampSettings {
    /// Requests in flight that a cold replica can handle.
    pub cold_slots: u32,
    /// Requests in flight that a warm replica can handle.
    pub slots: u32,
    /// Time for which all first tokens must be on target before the limit doubles.
    pub step: Duration,
    /// Target for the time to first token.
    pub first_token_target: Duration,
}

/// Limit on the requests in flight at one replica.
///
/// The limit starts at `cold_slots` and doubles, up to `slots`, after each step in which the engine
/// produced at least one first token and every first token was within the target. A step without
/// first tokens is no evidence that the engine is warm and leaves the limit unchanged.
#[derive(Clone, Debug)]
pub struct RampState {
    settings: RampSettings,
    limit: u32,
    upstream_start: Option<StartId>,
    step_started_at: Instant,
    first_tokens: u32,
    slow_first_tokens: u32,
    created_at: Instant,
    has_reset: bool,
}

impl RampState {
    /// Creates a ramp at the cold limit.
    pub fn new(settings: RampSettings, now: Instant) -> Self {
        let limit = settings.cold_slots.min(settings.slots);
        Self {
            settings,
            limit,
            upstream_start: None,
            step_started_at: now,
            first_tokens: 0,
            slow_first_tokens: 0,
            created_at: now,
            has_reset: false,
        }
    }

    /// Current limit on the requests in flight, summed over all nodes.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Start identity of the engine as last observed: the id of one run of the engine process,
    /// which changes when the engine restarts.
    pub fn upstream_start(&self) -> Option<&StartId> {
        self.upstream_start.as_ref()
    }

    /// Settings as last set by [`Self::new`] or [`Self::set_settings`].
    pub fn settings(&self) -> RampSettings {
        self.settings
    }

    /// Replaces the settings. The limit is lowered to the new `slots` if needed, but never raised.
    pub fn set_settings(&mut self, settings: RampSettings) {
        self.settings = settings;
        self.limit = self.limit.min(settings.slots);
    }

    /// Records the engine's start identity and returns to the cold limit if the engine restarted.
    pub fn observe_start(&mut self, now: Instant, upstream_start: &StartId) {
        match &self.upstream_start {
            Some(previous) if previous == upstream_start => {}
            previous => {
                let is_restart = previous.is_some();
                self.upstream_start = Some(upstream_start.clone());
                if is_restart {
                    self.reset(now);
                }
            }
        }
    }

    /// Records the time to first token of one request; a latency far above the target resets the
    /// limit to the cold limit.
    pub fn observe_first_token(&mut self, now: Instant, latency: Duration) {
        self.advance(now);
        let target = self.settings.first_token_target;
        if latency > target * COLD_LATENCY_FACTOR {
            self.reset(now);
            return;
        }
        if self.first_tokens == 0 {
            // Idle time does not warm an engine, so a step starts at its first token.
            self.step_started_at = now;
        }
        self.first_tokens += 1;
        self.slow_first_tokens += u32::from(latency > target);
    }

    /// Ends the current step if its duration has passed at `now`, and doubles the limit if the step
    /// was healthy.
    pub fn advance(&mut self, now: Instant) {
        if now.saturating_duration_since(self.step_started_at) < self.settings.step {
            return;
        }
        if self.first_tokens > 0 && self.slow_first_tokens == 0 {
            self.limit = self.limit.saturating_mul(2).clamp(1, self.settings.slots.max(1));
        }
        self.start_step(now);
    }

    /// Raises the limit to the one that the ramp of the previous owner reached, up to `slots`, if
    /// the engine has not restarted since. A lower limit is ignored.
    ///
    /// Does so only for a limited time after creation and only before the first reset. After a
    /// reset, nodes still report the limit from before it, and inheriting that would undo the
    /// reset.
    pub fn inherit_limit(&mut self, now: Instant, limit: u32, upstream_start: &str) {
        let is_new = !self.has_reset && now < self.created_at + INHERIT_PERIOD;
        if is_new && self.upstream_start.as_deref() == Some(upstream_start) {
            self.limit = self.limit.max(limit.min(self.settings.slots));
        }
    }

    /// Returns to the cold limit when the data centre of the engine is back in service.
    ///
    /// The engine may have become cold while it received no requests, even if it did not restart.
    pub fn return_to_service(&mut self, now: Instant) {
        self.reset(now);
    }

    fn reset(&mut self, now: Instant) {
        self.has_reset = true;
        self.limit = self.settings.cold_slots.min(self.settings.slots);
        self.start_step(now);
    }

    fn start_step(&mut self, now: Instant) {
        self.step_started_at = now;
        self.first_tokens = 0;
        self.slow_first_tokens = 0;
    }
}
