//! Limit of a replica while its engine warms up.

use std::time::{Duration, Instant};

use eelgrassdeal_types::StartId;

/// A first-token time above this multiple of the target means that the engine is cold again.
const COLD_LATENCY_FACTOR: u32 = 3;
/// Time in which a new owner hears from every node: several report intervals.
const ADOPT_TIME: Duration = Duration::from_secs(3);

/// Declared capacity of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RampSettings {
    /// Requests in flight that a cold replica can handle.
    pub cold_slots: u32,
    /// Requests in flight that a warm replica can handle.
    pub slots: u32,
    /// Time of healthy answers after which the limit doubles.
    pub step: Duration,
    /// Target of the time to the first token.
    pub first_token_target: Duration,
}

/// Limit of requests in flight at one replica.
///
/// The limit starts at `cold_slots` and doubles after each step in which the engine answered and
/// every first token came within the target. A step without answers shows nothing and changes
/// nothing.
#[derive(Clone, Debug)]
pub struct RampState {
    settings: RampSettings,
    limit: u32,
    start: Option<StartId>,
    step_began: Instant,
    answers: u32,
    slow_answers: u32,
    created: Instant,
    has_reset: bool,
}

impl RampState {
    /// Starts at the cold limit.
    pub fn new(settings: RampSettings, now: Instant) -> Self {
        let limit = settings.cold_slots.min(settings.slots);
        Self {
            settings,
            limit,
            start: None,
            step_began: now,
            answers: 0,
            slow_answers: 0,
            created: now,
            has_reset: false,
        }
    }

    /// Limit of requests in flight over all nodes.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Start identity of the engine as last observed.
    pub fn start(&self) -> Option<&StartId> {
        self.start.as_ref()
    }

    /// Declared capacity.
    pub fn settings(&self) -> RampSettings {
        self.settings
    }

    /// Takes over a changed declaration; the limit does not rise by it.
    pub fn set_settings(&mut self, settings: RampSettings) {
        self.settings = settings;
        self.limit = self.limit.min(settings.slots);
    }

    /// Notes the engine's start identity and returns to the cold limit when it changed.
    pub fn observe_start(&mut self, now: Instant, start: &StartId) {
        match &self.start {
            Some(known) if known == start => {}
            known => {
                let is_restart = known.is_some();
                self.start = Some(start.clone());
                if is_restart {
                    self.reset(now);
                }
            }
        }
    }

    /// Notes the time to a first token.
    pub fn observe_first_token(&mut self, now: Instant, latency: Duration) {
        self.advance(now);
        let target = self.settings.first_token_target;
        if latency > target * COLD_LATENCY_FACTOR {
            self.reset(now);
            return;
        }
        if self.answers == 0 {
            // Idle time warms no engine, so a step lasts from its first answer.
            self.step_began = now;
        }
        self.answers += 1;
        self.slow_answers += u32::from(latency > target);
    }

    /// Ends the steps that passed until `now`.
    pub fn advance(&mut self, now: Instant) {
        if now.saturating_duration_since(self.step_began) < self.settings.step {
            return;
        }
        if self.answers > 0 && self.slow_answers == 0 {
            self.limit = self.limit.saturating_mul(2).clamp(1, self.settings.slots.max(1));
        }
        self.begin_step(now);
    }

    /// Continues from the limit that another owner reached for the same start of the engine.
    ///
    /// Only an owner that is new does so. Later the nodes still tell the limit of before a reset,
    /// and to adopt it would undo the reset.
    pub fn adopt(&mut self, now: Instant, limit: u32, start: &str) {
        let is_new = !self.has_reset && now < self.created + ADOPT_TIME;
        if is_new && self.start.as_deref() == Some(start) {
            self.limit = self.limit.max(limit.min(self.settings.slots));
        }
    }

    /// Sets the cold limit for an engine whose data centre came back into service.
    ///
    /// It may have turned cold while it got no requests, also without a new start identity.
    pub fn return_to_service(&mut self, now: Instant) {
        self.reset(now);
    }

    fn reset(&mut self, now: Instant) {
        self.has_reset = true;
        self.limit = self.settings.cold_slots.min(self.settings.slots);
        self.begin_step(now);
    }

    fn begin_step(&mut self, now: Instant) {
        self.step_began = now;
        self.answers = 0;
        self.slow_answers = 0;
    }
}
