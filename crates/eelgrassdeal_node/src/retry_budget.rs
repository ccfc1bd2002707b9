//! Budget of retries for each replica. An attempt that resumes an interrupted stream is a retry
//! too, except after its reader had stalled.
//!
//! When a replica fails, its streams are retried on the other replicas. Without a budget the other
//! replicas would receive all load of the failed one at once, and a fault that the requests
//! themselves cause would multiply the number of requests.

use std::collections::BTreeMap;
use std::time::Instant;

use eelgrassdeal_types::ReplicaId;

/// Retries that each first attempt at a replica adds to the replica's budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Retries added per second even without requests, so that a node with little traffic can retry.
const MIN_RETRIES_PER_S: f64 = 1.0;
/// Largest number of retries that accumulate in the budget of a replica.
const MAX_BURST_RETRIES: f64 = 10.0;

/// Token bucket of one replica.
struct RetryBucket {
    available: f64,
    refilled_at: Instant,
}

/// Retries that this node may still send to each replica: one budget for each.
#[derive(Default)]
pub(crate) struct RetryBudgets {
    buckets: BTreeMap<ReplicaId, RetryBucket>,
}

impl RetryBudgets {
    /// Records a first attempt at `replica`, which adds to the replica's budget.
    pub(crate) fn record_request(&mut self, replica: &ReplicaId, now: Instant) {
        let bucket = self.refilled(replica, now);
        bucket.available = (bucket.available + RETRIES_PER_REQUEST).min(MAX_BURST_RETRIES);
    }

    /// Takes one retry from the budget of `replica`; false if less than one is left.
    pub(crate) fn try_take_retry(&mut self, replica: &ReplicaId, now: Instant) -> bool {
        let bucket = self.refilled(replica, now);
        let is_allowed = bucket.available >= 1.0;
        if is_allowed {
            bucket.available -= 1.0;
        }
        is_allowed
    }

    fn refilled(&mut self, replica: &ReplicaId, now: Instant) -> &mut RetryBucket {
        let bucket = self
            .buckets
            .entry(replica.clone())
            .or_insert(RetryBucket { available: MAX_BURST_RETRIES, refilled_at: now });
        let elapsed = now.saturating_duration_since(bucket.refilled_at).as_secs_f64();
        bucket.available = (bucket.available + elapsed * MIN_RETRIES_PER_S).min(MAX_BURST_RETRIES);
        bucket.refilled_at = now;
        bucket
    }
}
