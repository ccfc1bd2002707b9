//! Decides which report belongs to a usage window, and when it is sent.
//!
//! Addresses two holders that would report different counts for one window: a report is sealed by a row
//! of the store before it is sent, and only that report is ever sent.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;

/// Part of the time until a report is due after which the window is sealed. Counts arrive within two
/// rounds of messages (0.7 s), and the rest of the time is left for repeated calls.
const SEAL_FRACTION: f64 = 0.3;
/// A report is given up after this multiple of the time until it is due.
const GIVE_UP_FACTOR: u32 = 3;
/// Sealed reports of this many windows are kept.
const KEPT_WINDOWS: u64 = 12;

/// Times of the usage windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageTimes {
    /// Length of a window.
    pub window: Duration,
    /// Time from the end of a window until its report is due.
    pub due: Duration,
}

impl UsageTimes {
    /// The window at a time.
    pub fn window_at(&self, unix_ms: u64) -> u64 {
        unix_ms / self.window_ms()
    }

    /// End of a window, in ms since the Unix epoch.
    pub fn end_unix_ms(&self, window: u64) -> u64 {
        window.saturating_add(1).saturating_mul(self.window_ms())
    }

    /// When a window is sealed.
    pub fn seal_unix_ms(&self, window: u64) -> u64 {
        let delay = self.due.mul_f64(SEAL_FRACTION);
        self.end_unix_ms(window).saturating_add(delay.as_millis() as u64)
    }

    /// When a report is given up.
    pub fn give_up_unix_ms(&self, window: u64) -> u64 {
        let delay = self.due * GIVE_UP_FACTOR;
        self.end_unix_ms(window).saturating_add(delay.as_millis() as u64)
    }

    /// The first window whose report is not given up at a time.
    pub fn first_reportable(&self, unix_ms: u64) -> u64 {
        let delay = (self.due * GIVE_UP_FACTOR).as_millis() as u64;
        self.window_at(unix_ms.saturating_sub(delay))
    }

    /// The first window whose sealed report is kept at a time: for [`KEPT_WINDOWS`] windows, and longer
    /// if a report of the window may still be sent.
    pub fn first_kept(&self, unix_ms: u64) -> u64 {
        let kept = self.window_at(unix_ms).saturating_sub(KEPT_WINDOWS);
        kept.min(self.first_reportable(unix_ms).saturating_sub(1))
    }

    fn window_ms(&self) -> u64 {
        (self.window.as_millis() as u64).max(1)
    }
}

/// A report that was sealed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealedReport {
    /// Number of the window.
    pub window: u64,
    /// Exact content of every call for the window.
    pub body: Bytes,
    /// Whether the API has accepted it.
    pub is_reported: bool,
}

/// What became of a report that was recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealChange {
    /// It was known.
    Unchanged,
    /// The window had no report, or its report was not known to be accepted.
    Changed,
    /// It is the first that contradicts the known one. Neither is sent any more.
    Disputed,
}

#[derive(Clone, Debug)]
struct SealEntry {
    body: Bytes,
    is_reported: bool,
    /// Whether another report for the window is known. Then neither is sent.
    is_disputed: bool,
    /// Whether the store's row is known to hold the report.
    is_stored: bool,
    /// Calls that the API refused although it is in service.
    refusals: u32,
}

/// The sealed reports that this process knows.
#[derive(Clone, Debug, Default)]
pub struct SealBook {
    reports: BTreeMap<u64, SealEntry>,
    /// Windows before this one are not sealed: their reports may be lost with an older state of the
    /// store.
    first_window: u64,
}

impl SealBook {
    /// Sets the first window that may be sealed.
    pub fn set_first_window(&mut self, first_window: u64) {
        self.first_window = self.first_window.max(first_window);
    }

    /// Records a sealed report, as read from the store (`is_stored`) or told by another node.
    pub fn record(&mut self, report: SealedReport, is_stored: bool) -> SealChange {
        let SealedReport { window, body, is_reported } = report;
        let Some(entry) = self.reports.get_mut(&window) else {
            let entry = SealEntry { body, is_reported, is_disputed: false, is_stored, refusals: 0 };
            self.reports.insert(window, entry);
            return SealChange::Changed;
        };
        if entry.body != body {
            let was_disputed = std::mem::replace(&mut entry.is_disputed, true);
            return if was_disputed { SealChange::Unchanged } else { SealChange::Disputed };
        }
        entry.is_stored |= is_stored;
        if is_reported && !entry.is_reported {
            entry.is_reported = true;
            return SealChange::Changed;
        }
        SealChange::Unchanged
    }

    /// Records that the rows of the store may be lost.
    pub fn forget_rows(&mut self) {
        self.reports.values_mut().for_each(|entry| entry.is_stored = false);
    }

    /// Reports whose rows must be written.
    pub fn unstored(&self) -> Vec<SealedReport> {
        let unstored = self.reports.iter().filter(|(_, entry)| !entry.is_stored);
        unstored.map(|(window, entry)| sealed_report(*window, entry)).collect()
    }

    /// All reports from window `from` on.
    pub fn reports_from(&self, from: u64) -> Vec<SealedReport> {
        let reports = self.reports.range(from..).filter(|(_, entry)| !entry.is_disputed);
        reports.map(|(window, entry)| sealed_report(*window, entry)).collect()
    }

    /// Windows that are to be sealed, oldest first. `first_counted` is the first window in which a
    /// request was counted: windows before the first traffic have no report.
    pub fn windows_to_seal(
        &self,
        times: &UsageTimes,
        first_counted: Option<u64>,
        unix_ms: u64,
    ) -> Vec<u64> {
        let first_known = self.reports.keys().next().copied();
        let first = match (first_known, first_counted) {
            (Some(known), Some(counted)) => known.min(counted),
            (Some(first), None) | (None, Some(first)) => first,
            (None, None) => return Vec::new(),
        };
        let first = first.max(self.first_window).max(times.first_reportable(unix_ms));
        (first..=times.window_at(unix_ms))
            .filter(|window| unix_ms >= times.seal_unix_ms(*window))
            .filter(|window| !self.reports.contains_key(window))
            .collect()
    }

    /// The next report to send: the oldest, as it is due first. A report that the API refused comes
    /// after the others, so that it does not hold them up.
    pub fn next_report(&self, times: &UsageTimes, unix_ms: u64) -> Option<SealedReport> {
        let (window, entry) = self
            .reports
            .iter()
            .filter(|(window, entry)| {
                entry.is_stored && is_open(entry) && unix_ms < times.give_up_unix_ms(**window)
            })
            .min_by_key(|(window, entry)| (entry.refusals, **window))?;
        Some(sealed_report(*window, entry))
    }

    /// Records that the API accepted the report of a window.
    pub fn record_acceptance(&mut self, window: u64) {
        if let Some(entry) = self.reports.get_mut(&window) {
            entry.is_reported = true;
        }
    }

    /// Records that the API refused the report of a window, although it is in service.
    pub fn record_refusal(&mut self, window: u64) {
        if let Some(entry) = self.reports.get_mut(&window) {
            entry.refusals = entry.refusals.saturating_add(1);
        }
    }

    /// The first window that is not sealed and whose report is not given up.
    pub fn first_unsealed(&self, times: &UsageTimes, unix_ms: u64) -> u64 {
        let first = times.first_reportable(unix_ms).max(self.first_window);
        let mut window = first;
        while self.reports.contains_key(&window) {
            window += 1;
        }
        window
    }

    /// Number of windows whose report was sealed and not accepted.
    pub fn unreported_count(&self) -> usize {
        self.reports.values().filter(|entry| !entry.is_reported).count()
    }

    /// Forgets the windows before `first_window`. The last one is kept: later windows without requests
    /// follow it.
    pub fn remove_before(&mut self, first_window: u64) {
        let last = self.reports.keys().next_back().copied();
        let first_kept = last.map_or(first_window, |last| last.min(first_window));
        self.reports = self.reports.split_off(&first_kept);
    }
}

fn is_open(entry: &SealEntry) -> bool {
    !entry.is_reported && !entry.is_disputed
}

fn sealed_report(window: u64, entry: &SealEntry) -> SealedReport {
    SealedReport { window, body: entry.body.clone(), is_reported: entry.is_reported }
}
