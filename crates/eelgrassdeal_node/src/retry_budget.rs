//! Budget of retries and resumes for each replica.
//!
//! A replica that fails sends its streams to the others. Without a budget their load would rise by
//! all of it at once, and a fault that follows the requests would multiply them.

use std::collections::BTreeMap;
use std::time::Instant;

use eelgrassdeal_types::ReplicaId;

/// Retries that each request allows.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Retries allowed every second without any requests, so that a quiet node can still retry.
const MIN_RETRIES_PER_S: f64 = 1.0;
/// Retries that may be saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;

struct RetryBucket {
    saved: f64,
    refilled_at: Instant,
}

/// Retries that each replica may still receive from this node.
#[derive(Default)]
pub(crate) struct RetryBudget {
    buckets: BTreeMap<ReplicaId, RetryBucket>,
}

impl RetryBudget {
    /// Counts a first attempt at `replica`.
    pub(crate) fn note_request(&mut self, replica: &ReplicaId, now: Instant) {
        let bucket = self.refilled(replica, now);
        bucket.saved = (bucket.saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry at `replica`; false if the budget is spent.
    pub(crate) fn take_retry(&mut self, replica: &ReplicaId, now: Instant) -> bool {
        let bucket = self.refilled(replica, now);
        let is_allowed = bucket.saved >= 1.0;
        if is_allowed {
            bucket.saved -= 1.0;
        }
        is_allowed
    }

    fn refilled(&mut self, replica: &ReplicaId, now: Instant) -> &mut RetryBucket {
        let bucket = self
            .buckets
            .entry(replica.clone())
            .or_insert(RetryBucket { saved: MAX_SAVED_RETRIES, refilled_at: now });
        let elapsed = now.saturating_duration_since(bucket.refilled_at).as_secs_f64();
        bucket.saved = (bucket.saved + elapsed * MIN_RETRIES_PER_S).min(MAX_SAVED_RETRIES);
        bucket.refilled_at = now;
        bucket
    }
}
