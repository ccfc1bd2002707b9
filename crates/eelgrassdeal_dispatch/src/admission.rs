//! Number of requests that run at one replica at once.
//!
//! It answers the load of more requests than the replicas can serve in time. An engine takes a
//! request for each of its slots, but near its last slots the throughput hardly rises, while every
//! request waits longer for its first event. Requests beyond the limit wait at the nodes, which
//! prefer those that can still be in time.

use std::time::{Duration, Instant};

use crate::config::{EngineSpec, ModelSpec};

/// Part of the throughput with all slots in use that a replica reaches at the limit.
const THROUGHPUT_FRACTION: f64 = 0.9;
/// Passes of an engine from the arrival of a request to its first event: the pass under way, those
/// that read its prompt beside others, and the one that writes.
const FIRST_EVENT_PASSES: f64 = 4.7;

/// Largest part of the time until the target that is set aside for the first event. A request that needn't
/// wait is not late, whatever the estimate of that time.
const MAX_LEAD_FRACTION: f64 = 0.875;

/// Expected load and speed of the replicas of one model.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSpeed<'a> {
    engine: &'a EngineSpec,
    model: &'a ModelSpec,
}

impl<'a> ReplicaSpeed<'a> {
    /// The speed that the configuration states.
    pub fn new(engine: &'a EngineSpec, model: &'a ModelSpec) -> Self {
        Self { engine, model }
    }

    /// Number of requests per slot at which the throughput is [`THROUGHPUT_FRACTION`] of that with
    /// all slots in use; 1 if the configuration states no times.
    pub fn in_time_per_slot(&self) -> f64 {
        let slots = self.engine.slots.max(1);
        if !self.throughput(slots).is_finite() {
            return 1.0;
        }
        let wanted = self.throughput(slots) * THROUGHPUT_FRACTION;
        let limit = (1..slots).find(|requests| self.throughput(*requests) >= wanted);
        f64::from(limit.unwrap_or(slots)) / f64::from(slots)
    }

    /// Requests per second that a replica completes while `requests` of mean length run. Each takes
    /// its decoding steps, and in each of them the engine also reads prompts.
    fn throughput(&self, requests: u32) -> f64 {
        let decoding = self.step_seconds(requests) * self.engine.mean_answer_tokens;
        let seconds = decoding + self.prompt_seconds() * f64::from(requests);
        if seconds > 0.0 { f64::from(requests) / seconds } else { f64::INFINITY }
    }

    /// Duration of a decoding step with `requests` in the batch.
    fn step_seconds(&self, requests: u32) -> f64 {
        let context = (self.engine.mean_prompt_tokens + self.engine.mean_answer_tokens / 2.0)
            / 1_000.0
            * f64::from(requests);
        let step_ms = self.engine.step_time.as_secs_f64() * 1_000.0
            + self.engine.per_sequence_ms * f64::from(requests)
            + self.engine.per_context_ms * context;
        step_ms * self.model.time_factor / 1_000.0
    }

    /// Time from a send to the first event at a replica that runs the number of requests of
    /// [`Self::in_time_per_slot`].
    pub fn first_event_time(&self) -> Duration {
        let requests = self.in_time_per_slot() * f64::from(self.engine.slots);
        let requests = requests.round() as u32;
        let reading_share = (self.throughput(requests) * self.prompt_seconds()).min(0.9);
        let pass = self.step_seconds(requests) * f64::from(self.engine.steps_per_pass)
            / (1.0 - reading_share);
        Duration::try_from_secs_f64(pass * FIRST_EVENT_PASSES).unwrap_or_default()
    }

    /// When a request that arrives at `now` counts as late, if its first event is due at `target_at`.
    pub fn late_at(&self, target_at: Instant, now: Instant) -> Instant {
        let left = target_at.saturating_duration_since(now);
        let lead = self.first_event_time().min(left.mul_f64(MAX_LEAD_FRACTION));
        target_at.checked_sub(lead).unwrap_or(target_at)
    }

    /// Time that an engine takes to read a prompt of mean length.
    fn prompt_seconds(&self) -> f64 {
        self.engine.mean_prompt_tokens / self.engine.prompt_tokens_per_s.max(1.0)
            * self.model.time_factor
    }
}
