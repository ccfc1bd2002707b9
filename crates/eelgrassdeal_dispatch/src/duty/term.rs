//! Decides whether the holder of the planner's lease may make a call of a duty.
//!
//! Addresses holders that were frozen, holders that lost the lease, and calls of an earlier holder that
//! are executed late.

use std::time::{Duration, Instant, SystemTime};

use eelgrassdeal_types::FencingNumber;

/// Added to the time for which a new holder waits. The API measures the time between two calls where
/// they arrive, and the first one may have been slower than the second.
const HOLD_OFF_MARGIN: Duration = Duration::from_millis(200);

/// The planner's lease of this process as it was last acquired or renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermLease {
    /// Fencing number of the lease.
    pub fencing: FencingNumber,
    /// End of the validity by the monotonic clock.
    pub valid_until: Instant,
    /// When the lease was recorded, by the monotonic clock.
    pub recorded_at: Instant,
    /// When the lease was recorded, by the wall clock.
    pub recorded_wall: SystemTime,
}

impl TermLease {
    /// Whether the lease is valid for longer than `needed`. The monotonic clock does not run while a VM
    /// is suspended, so that the wall clock is compared too. It can only shorten the validity.
    pub fn is_valid_for(&self, needed: Duration, now: Instant, wall: SystemTime) -> bool {
        let left = self.valid_until.saturating_duration_since(now);
        // A wall clock that was set back says nothing about the elapsed time.
        let wall_elapsed = wall.duration_since(self.recorded_wall).unwrap_or(Duration::ZERO);
        let granted = self.valid_until.saturating_duration_since(self.recorded_at);
        left > needed && granted.saturating_sub(wall_elapsed) > needed
    }
}

/// Whether this process may make calls of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TermState {
    /// The process does not hold the lease for long enough.
    NotHeld,
    /// The last call of the earlier holder may be too recent.
    Waiting {
        /// Time until the process may act.
        left: Duration,
    },
    /// A call under the fencing number was refused because a higher one was seen.
    Refused,
    /// The process may make calls under the fencing number.
    Acting(FencingNumber),
}

/// The terms of this process as the holder of the duties.
#[derive(Clone, Copy, Debug)]
pub struct DutyTerm {
    hold_off: Duration,
    /// The last fencing number under which the process held the lease, and when it acquired it.
    acquired: Option<(FencingNumber, Instant)>,
    /// Highest fencing number that the API refused.
    refused: Option<FencingNumber>,
}

impl DutyTerm {
    /// Creates the terms of a process. `lease_time` is the time within which calls of one holder,
    /// another one and the first one again are not allowed. Without a fence at the API a new holder
    /// waits twice as long.
    pub fn new(lease_time: Duration, is_fencing_enabled: bool) -> Self {
        let factor = if is_fencing_enabled { 1 } else { 2 };
        Self { hold_off: lease_time * factor + HOLD_OFF_MARGIN, acquired: None, refused: None }
    }

    /// Records the lease of this process. Returns the fencing number if it is a new one.
    pub fn observe(&mut self, lease: Option<&TermLease>, now: Instant) -> Option<FencingNumber> {
        let fencing = lease?.fencing;
        if self.acquired.is_some_and(|(known, _)| known == fencing) {
            return None;
        }
        self.acquired = Some((fencing, now));
        Some(fencing)
    }

    /// Whether a call that takes `timeout` at most may be sent at `now`.
    pub fn state(
        &self,
        lease: Option<&TermLease>,
        timeout: Duration,
        now: Instant,
        wall: SystemTime,
    ) -> TermState {
        let Some(lease) = lease.filter(|lease| lease.is_valid_for(timeout, now, wall)) else {
            return TermState::NotHeld;
        };
        let acquired = self.acquired.filter(|(fencing, _)| *fencing == lease.fencing);
        let held_for = acquired.map(|(_, at)| now.saturating_duration_since(at));
        match held_for.unwrap_or_default() {
            _ if self.refused >= Some(lease.fencing) => TermState::Refused,
            held_for if held_for > self.hold_off => TermState::Acting(lease.fencing),
            held_for => TermState::Waiting { left: self.hold_off - held_for },
        }
    }

    /// Records that the API has seen a higher number than `fencing`.
    pub fn record_refusal(&mut self, fencing: FencingNumber) {
        self.refused = self.refused.max(Some(fencing));
    }
}

/// Longest time for which a holder keeps the lease without an answer of the API, as a multiple of the
/// shortest. In an outage for all nodes the lease must not move between them all the time.
const MAX_PATIENCE_FACTOR: u32 = 16;

/// Decides when a holder gives up the lease because the API does not answer it. Addresses a holder that
/// is cut off from the API only.
#[derive(Clone, Copy, Debug)]
pub struct AnswerWatch {
    patience: Duration,
    factor: u32,
    unanswered_since: Option<Instant>,
}

impl AnswerWatch {
    /// Creates a watch of a holder that tries for `patience` at first.
    pub fn new(patience: Duration) -> Self {
        Self { patience, factor: 1, unanswered_since: None }
    }

    /// Records a call that the API answered.
    pub fn record_answer(&mut self) {
        (self.factor, self.unanswered_since) = (1, None);
    }

    /// Records a call without an answer that began at `begun_at`. Returns whether another node is to
    /// try.
    pub fn record_failure(&mut self, begun_at: Instant, now: Instant) -> bool {
        let since = *self.unanswered_since.get_or_insert(begun_at);
        if now.saturating_duration_since(since) < self.patience * self.factor {
            return false;
        }
        self.unanswered_since = None;
        self.factor = (self.factor * 2).min(MAX_PATIENCE_FACTOR);
        true
    }

    /// Records that the node is no holder any more.
    pub fn end_term(&mut self) {
        self.unanswered_since = None;
    }
}
