//! Token intervals of the replicas, for the detection of stragglers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassdeal_types::ReplicaId;

/// Weight of a new interval in the exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.2;
/// A replica is a straggler if its mean interval is more than this many times that of the model's
/// fastest replica.
const STRAGGLER_FACTOR: f64 = 4.0;
/// A replica with a shorter mean interval is never a straggler. This is twice 27 ms, the target
/// that is assumed for the time between two tokens.
const MIN_STRAGGLER_INTERVAL: Duration = Duration::from_millis(54);
/// Averages without a new interval for this long are ignored: they don't show the replica's current
/// speed.
const MAX_AVERAGE_AGE: Duration = Duration::from_secs(10);

struct ReplicaInterval {
    model: String,
    /// Exponential moving average of the intervals, in seconds.
    interval_s: f64,
    updated_at: Instant,
}

/// Mean token interval of each replica, as measured on this node's streams.
#[derive(Default)]
pub(crate) struct IntervalTracker {
    replicas: BTreeMap<ReplicaId, ReplicaInterval>,
}

impl IntervalTracker {
    /// Records the time between two tokens of a stream. Must not be called for intervals that the
    /// stream's reader may have prolonged.
    pub(crate) fn record_interval(&mut self, replica: &ReplicaId, model: &str, interval: Duration) {
        let (now, interval_s) = (Instant::now(), interval.as_secs_f64());
        let is_old = |average: &ReplicaInterval| now - average.updated_at > MAX_AVERAGE_AGE;
        match self.replicas.get_mut(replica) {
            Some(average) if !is_old(average) => {
                average.interval_s += SMOOTHING_FACTOR * (interval_s - average.interval_s);
                average.updated_at = now;
            }
            _ => {
                let average =
                    ReplicaInterval { model: model.to_owned(), interval_s, updated_at: now };
                self.replicas.insert(replica.clone(), average);
            }
        }
    }

    /// Replicas of `model` whose mean interval is much longer than that of the fastest one.
    pub(crate) fn stragglers(&self, model: &str) -> Vec<ReplicaId> {
        let fresh = || {
            self.replicas.iter().filter(|(_, average)| {
                average.model == model && average.updated_at.elapsed() < MAX_AVERAGE_AGE
            })
        };
        let fastest = fresh().map(|(_, average)| average.interval_s).fold(f64::INFINITY, f64::min);
        let threshold = (fastest * STRAGGLER_FACTOR).max(MIN_STRAGGLER_INTERVAL.as_secs_f64());
        fresh()
            .filter(|(_, average)| average.interval_s > threshold)
            .map(|(id, _)| id.clone())
            .collect()
    }
}
