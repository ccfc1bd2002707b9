//! Rate limits that upstreams name in their responses, for the requests of all nodes together.
//!
//! A limit holds for one process of an upstream, until a response of it names none.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eelgrassdeal_types::UpstreamId;

use crate::fleet::{UpstreamProcess, UpstreamRecord};

/// Fraction by which a limit must change to be reported again.
const REPORTED_CHANGE: f64 = 0.1;

/// What this node learned of the rate limit of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitChange {
    /// Nothing that is worth a report.
    Unchanged,
    /// The upstream named a limit, or one that differs by a tenth or more.
    Named,
    /// The upstream takes requests at any rate again.
    Ended(EndedLimit),
}

/// A rate limit that no longer holds.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedLimit {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Time for which this node knew of the limit.
    pub held_for: Duration,
    /// Requests that this node sent to the upstream in that time.
    pub sends: SendCount,
    /// What ended it.
    pub reason: &'static str,
}

/// Number of requests that were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCount {
    /// All requests.
    pub total: u32,
    /// Those that an upstream had been sent before.
    pub repeats: u32,
}

#[derive(Clone, Debug)]
struct LimitEntry {
    process: UpstreamProcess,
    /// Requests per second, as last reported.
    reported: f64,
    since: Instant,
    sends: SendCount,
}

impl LimitEntry {
    fn ended(&self, upstream: &UpstreamId, reason: &'static str, now: Instant) -> EndedLimit {
        let held_for = now.saturating_duration_since(self.since);
        EndedLimit { upstream: upstream.clone(), held_for, sends: self.sends, reason }
    }
}

/// Tracks the rate limits that upstreams name.
#[derive(Clone, Debug, Default)]
pub struct LimitTracker {
    entries: HashMap<UpstreamId, LimitEntry>,
}

impl LimitTracker {
    /// Creates a tracker without limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a response of the process of `record` that names `per_s` requests per second, or no
    /// limit.
    pub fn record_response(
        &mut self,
        record: &UpstreamRecord,
        per_s: Option<f64>,
        now: Instant,
    ) -> LimitChange {
        let upstream = &record.upstream;
        let known = self.entries.get_mut(upstream);
        let known = known.filter(|entry| entry.process.has_written(record));
        match (known, per_s) {
            (None, None) => LimitChange::Unchanged,
            (Some(_), None) => {
                let entry = self.entries.remove(upstream);
                let ended = entry.map(|entry| entry.ended(upstream, "a response without it", now));
                ended.map_or(LimitChange::Unchanged, LimitChange::Ended)
            }
            (Some(entry), Some(per_s)) => {
                let is_reported =
                    (per_s - entry.reported).abs() >= entry.reported * REPORTED_CHANGE;
                if !is_reported || per_s == entry.reported {
                    return LimitChange::Unchanged;
                }
                entry.reported = per_s;
                LimitChange::Named
            }
            (None, Some(per_s)) => {
                let process = UpstreamProcess::of_record(record);
                let entry = LimitEntry {
                    process,
                    reported: per_s,
                    since: now,
                    sends: SendCount::default(),
                };
                self.entries.insert(upstream.clone(), entry);
                LimitChange::Named
            }
        }
    }

    /// Records that a request was sent to the process of `record`.
    pub fn record_send(&mut self, record: &UpstreamRecord, is_repeat: bool) {
        let entry = self.entries.get_mut(&record.upstream);
        if let Some(entry) = entry.filter(|entry| entry.process.has_written(record)) {
            entry.sends.total += 1;
            entry.sends.repeats += u32::from(is_repeat);
        }
    }

    /// Number of upstreams with a limit.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Drops the limits of processes that are over, and returns them. `find` returns the current record
    /// of an upstream.
    pub fn expire<'a>(
        &mut self,
        find: impl Fn(&UpstreamId) -> Option<&'a UpstreamRecord>,
        now: Instant,
    ) -> Vec<EndedLimit> {
        let mut ended = Vec::new();
        self.entries.retain(|upstream, entry| {
            let is_replaced = entry.process.is_replaced(find(upstream));
            if is_replaced {
                ended.push(entry.ended(upstream, "another process", now));
            }
            !is_replaced
        });
        ended
    }
}
