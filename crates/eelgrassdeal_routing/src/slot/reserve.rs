//! Requests in flight that no live reporter accounts for.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Load reports kept until the reports of the nodes cover them.
const SAMPLES_LEN: usize = 16;

/// Load of an upstream as it reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running and waiting.
    pub running: u32,
    /// Age of the figures when the upstream answered.
    pub age: Duration,
    /// When the probe was sent that brought the report.
    pub probe_sent: Instant,
}

/// A load report and the time that its figures may be of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadSample {
    pub(crate) running: u32,
    pub(crate) from: Instant,
    pub(crate) to: Instant,
}

impl LoadSample {
    /// `lag` is the time by which the figures may be older than stated.
    pub(crate) fn new(now: Instant, report: LoadReport, lag: Duration) -> Option<Self> {
        let from = report.probe_sent.checked_sub(report.age + lag)?;
        Some(Self { running: report.running, from, to: now.checked_sub(report.age)? })
    }
}

/// Load samples, newest last.
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

    /// Takes the newest sample for which `measure` has a result, and drops all before it.
    pub(crate) fn take_newest(
        &mut self,
        measure: impl Fn(&LoadSample) -> Option<u32>,
    ) -> Option<(LoadSample, u32)> {
        let found = self
            .samples
            .iter()
            .enumerate()
            .rev()
            .find_map(|(index, sample)| measure(sample).map(|result| (index, *sample, result)));
        let (index, sample, result) = found?;
        self.samples.drain(..=index);
        Some((sample, result))
    }
}
