//! Load reports of an upstream, from which the owner determines how many requests are in flight
//! that no reporter with an unexpired vote accounts for.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum number of load samples that wait until the reports of the nodes cover the time at which
/// the load was measured. Beyond it, the oldest sample is dropped.
const SAMPLES_LEN: usize = 16;

/// Load of an upstream, as the upstream itself reported it in answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running and waiting at the upstream.
    pub load: u32,
    /// Age of `load` at the time when the upstream answered.
    pub age: Duration,
    /// When the probe was sent that the report answers.
    pub probe_sent: Instant,
}

/// A load report and the bounds of the time at which its load was measured.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadSample {
    pub(crate) load: u32,
    pub(crate) from: Instant,
    pub(crate) to: Instant,
}

impl LoadSample {
    /// `lag` is the time by which the load may be older than stated. Returns `None` if the bounds
    /// cannot be represented as an [`Instant`].
    pub(crate) fn new(now: Instant, report: LoadReport, lag: Duration) -> Option<Self> {
        let from = report.probe_sent.checked_sub(report.age + lag)?;
        Some(Self { load: report.load, from, to: now.checked_sub(report.age)? })
    }
}

/// The latest load samples, newest last.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadHistory {
    samples: VecDeque<LoadSample>,
}

impl LoadHistory {
    pub(crate) fn push(&mut self, sample: LoadSample) {
        self.samples.push_back(sample);
        if self.samples.len() > SAMPLES_LEN {
            self.samples.pop_front();
        }
    }

    /// Returns the newest sample whose unattributed requests can be counted, and their number.
    /// Removes this sample and all older ones. `count_unattributed` returns `None` for a sample
    /// whose time the reports of the nodes do not cover yet.
    pub(crate) fn take_newest(
        &mut self,
        count_unattributed: impl Fn(&LoadSample) -> Option<u32>,
    ) -> Option<(LoadSample, u32)> {
        let found = self.samples.iter().enumerate().rev().find_map(|(index, sample)| {
            count_unattributed(sample).map(|result| (index, *sample, result))
        });
        let (index, sample, result) = found?;
        self.samples.drain(..=index);
        Some((sample, result))
    }
}
