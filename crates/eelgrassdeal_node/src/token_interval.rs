//! Token intervals of the replicas, for the detection of stragglers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassdeal_types::ReplicaId;

/// Weight of a new interval in the exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.2;
/// A replica is a straggler if its mean interval is more than this many times that of the model's
/// fastest replica, or its own usual one if there is no other replica to compare it with.
const STRAGGLER_FACTOR: f64 = 4.0;
/// A replica with a shorter mean interval is never a straggler. This is twice 27 ms, the target
/// that is assumed for the time between two tokens.
const MIN_STRAGGLER_INTERVAL: Duration = Duration::from_millis(54);
/// Averages without a new interval for this long are ignored: they don't show the replica's current
/// speed.
const MAX_AVERAGE_AGE: Duration = Duration::from_secs(10);

/// Period over which the usual interval of a replica follows its intervals. It must be much longer
/// than a straggler needs to be noticed.
const USUAL_PERIOD: Duration = Duration::from_secs(60);
/// Number of intervals after which their plain mean becomes the usual interval.
const USUAL_INTERVALS: u32 = 32;

struct ReplicaInterval {
    model: String,
    /// Exponential moving average of the intervals, in seconds.
    interval_s: f64,
    /// Mean of the first [`USUAL_INTERVALS`] intervals, and from then on a moving average over
    /// [`USUAL_PERIOD`], in seconds.
    usual_s: f64,
    /// Number of intervals, up to [`USUAL_INTERVALS`].
    count: u32,
    updated_at: Instant,
}

impl ReplicaInterval {
    fn new(model: &str, interval_s: f64, now: Instant) -> Self {
        Self { model: model.to_owned(), interval_s, usual_s: interval_s, count: 1, updated_at: now }
    }

    fn record(&mut self, interval_s: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let usual_weight = match self.count < USUAL_INTERVALS {
            true => 1.0 / f64::from(self.count + 1),
            false => elapsed.as_secs_f64() / USUAL_PERIOD.as_secs_f64(),
        };
        self.interval_s += SMOOTHING_FACTOR * (interval_s - self.interval_s);
        self.usual_s += usual_weight * (interval_s - self.usual_s);
        self.count = (self.count + 1).min(USUAL_INTERVALS);
        self.updated_at = now;
    }
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
            Some(average) if !is_old(average) => average.record(interval_s, now),
            _ => {
                let average = ReplicaInterval::new(model, interval_s, now);
                self.replicas.insert(replica.clone(), average);
            }
        }
    }

    /// Replicas of `model` whose mean interval is much longer than that of the fastest one, or than
    /// usual if this node uses one replica only.
    pub(crate) fn stragglers(&self, model: &str) -> Vec<ReplicaId> {
        let is_fresh = |average: &ReplicaInterval| {
            average.model == model && average.updated_at.elapsed() < MAX_AVERAGE_AGE
        };
        let fresh: Vec<_> = self.replicas.iter().filter(|(_, average)| is_fresh(average)).collect();
        let reference_s = match fresh[..] {
            [(_, only)] => only.usual_s,
            _ => fresh.iter().map(|(_, average)| average.interval_s).fold(f64::INFINITY, f64::min),
        };
        let threshold_s =
            (reference_s * STRAGGLER_FACTOR).max(MIN_STRAGGLER_INTERVAL.as_secs_f64());
        let slow = fresh.into_iter().filter(|(_, average)| average.interval_s > threshold_s);
        slow.map(|(id, _)| id.clone()).collect()
    }
}
