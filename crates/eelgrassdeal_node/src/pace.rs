//! Token intervals of the replicas, to find stragglers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassdeal_types::ReplicaId;

/// Weight of a new interval in the moving average.
const NEW_WEIGHT: f64 = 0.2;
/// A straggler takes this many times as long for a token as the fastest replica of the model.
const STRAGGLER_FACTOR: f64 = 4.0;
/// Twice the target of 27 ms between tokens; a replica that is faster is never a straggler.
const MIN_STRAGGLER_INTERVAL: Duration = Duration::from_millis(54);
/// Older averages say nothing about the replica's pace now.
const PACE_LIFETIME: Duration = Duration::from_secs(10);

struct ReplicaPace {
    model: String,
    interval_s: f64,
    noted_at: Instant,
}

/// Mean token interval of each replica, as this node's streams saw it.
#[derive(Default)]
pub(crate) struct PaceBook {
    paces: BTreeMap<ReplicaId, ReplicaPace>,
}

impl PaceBook {
    /// Notes the time between two tokens of a stream whose reader did not hold it up.
    pub(crate) fn note_interval(&mut self, replica: &ReplicaId, model: &str, interval: Duration) {
        let (now, interval_s) = (Instant::now(), interval.as_secs_f64());
        let is_old = |pace: &ReplicaPace| now - pace.noted_at > PACE_LIFETIME;
        match self.paces.get_mut(replica) {
            Some(pace) if !is_old(pace) => {
                pace.interval_s += NEW_WEIGHT * (interval_s - pace.interval_s);
                pace.noted_at = now;
            }
            _ => {
                let pace = ReplicaPace { model: model.to_owned(), interval_s, noted_at: now };
                self.paces.insert(replica.clone(), pace);
            }
        }
    }

    /// Replicas of `model` that are much slower than the fastest one.
    pub(crate) fn stragglers(&self, model: &str) -> Vec<ReplicaId> {
        let fresh = || {
            self.paces
                .iter()
                .filter(|(_, pace)| pace.model == model && pace.noted_at.elapsed() < PACE_LIFETIME)
        };
        let fastest = fresh().map(|(_, pace)| pace.interval_s).fold(f64::INFINITY, f64::min);
        let bound = (fastest * STRAGGLER_FACTOR).max(MIN_STRAGGLER_INTERVAL.as_secs_f64());
        fresh().filter(|(_, pace)| pace.interval_s > bound).map(|(id, _)| id.clone()).collect()
    }
}
