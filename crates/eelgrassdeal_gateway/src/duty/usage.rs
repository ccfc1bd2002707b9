//! Counts requests and reports them: seals the windows, and sends the sealed reports.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{
    CallBackoff, DutyKind, FleetClock, GatewaySettings, SealBook, SealChange, SealedReport,
    TermState, UsageLedger, UsageSource, UsageTimes,
};
use eelgrassdeal_platform::{DutyOutcome, encode_usage};
use eelgrassdeal_types::{ClientAccountId, FencingNumber, NodeId, unix_ms_now};

use super::rows::UsageRows;
use super::{CALL_TIMEOUT, DutyRunner};
use crate::state::GatewayState;

/// Interval of the checkpoints, if counts have changed.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which rows of old windows are removed.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(5);

/// Usage counts and reports as this node knows them.
pub(crate) struct UsageState {
    pub(super) times: UsageTimes,
    pub(super) ledger: RefCell<UsageLedger>,
    pub(super) clock: RefCell<FleetClock>,
    pub(super) seals: RefCell<SealBook>,
    /// Rises with every change of `seals`.
    seal_changes: Cell<u64>,
    /// `seal_changes` when the reports were last sent to a node, and when that was.
    seals_sent: RefCell<HashMap<Arc<str>, (u64, Instant)>>,
    /// Ids of nodes by their peer address.
    pub(super) peer_nodes: RefCell<HashMap<Arc<str>, NodeId>>,
}

impl UsageState {
    /// Creates the state of a node that counts no request yet; `None` if the settings do not name the
    /// duty.
    pub(crate) fn for_settings(settings: &GatewaySettings) -> Option<Self> {
        let duties = &settings.duties;
        duties.has(DutyKind::Usage).then(|| Self {
            times: UsageTimes { window: duties.usage_window, due: duties.usage_due },
            ledger: RefCell::new(UsageLedger::new(UsageSource {
                node: settings.node.clone(),
                // 0 stands for no process.
                start: rand::random_range(1..=u64::MAX),
            })),
            clock: RefCell::new(FleetClock::new(unix_ms_now(), Instant::now())),
            seals: RefCell::default(),
            seal_changes: Cell::new(0),
            seals_sent: RefCell::default(),
            peer_nodes: RefCell::default(),
        })
    }

    /// True time in ms since the Unix epoch.
    pub(super) fn unix_ms(&self, now: Instant) -> u64 {
        self.clock.borrow().unix_ms(now)
    }

    pub(super) fn current_window(&self, now: Instant) -> u64 {
        self.times.window_at(self.unix_ms(now))
    }

    /// Sealed reports that are kept.
    pub(super) fn kept_reports(&self, now: Instant) -> Vec<SealedReport> {
        let from = self.times.first_kept(self.unix_ms(now));
        self.seals.borrow().reports_from(from)
    }

    /// Records a sealed report, as the store holds it (`is_stored`) or another node told it.
    pub(super) fn record_report(&self, report: SealedReport, is_stored: bool) {
        let window = report.window;
        let change = self.seals.borrow_mut().record(report, is_stored);
        if change == SealChange::Disputed {
            log::error!("event=usage_disputed window={window}");
        }
        if change != SealChange::Unchanged {
            self.seal_changes.set(self.seal_changes.get() + 1);
        }
    }

    fn record_acceptance(&self, window: u64) {
        self.seals.borrow_mut().record_acceptance(window);
        self.seal_changes.set(self.seal_changes.get() + 1);
    }

    /// Whether the sealed reports are to be sent to a node: they have changed, or were last sent
    /// `interval` ago.
    pub(super) fn take_seal_relay(&self, key: &Arc<str>, interval: Duration, now: Instant) -> bool {
        let changes = self.seal_changes.get();
        let mut sent = self.seals_sent.borrow_mut();
        let is_due = sent.get(key).is_none_or(|(sent, at)| {
            *sent != changes || now.saturating_duration_since(*at) >= interval
        });
        if is_due {
            sent.insert(key.clone(), (changes, now));
        }
        is_due
    }

    /// Forgets windows whose reports are over.
    fn remove_old_windows(&self, now: Instant) {
        let unix_ms = self.unix_ms(now);
        self.ledger.borrow_mut().remove_before(self.times.first_reportable(unix_ms));
        self.seals.borrow_mut().remove_before(self.times.first_kept(unix_ms));
        let unreported = self.seals.borrow().unreported_count();
        metrics::gauge!("eelgrassdeal_usage_unreported_windows").set(unreported as f64);
    }
}

/// Counts a request that an upstream began to run, once for each attempt of a caller.
pub(crate) fn count_usage(
    state: &GatewayState,
    account: Option<&ClientAccountId>,
    is_counted: &Cell<bool>,
) {
    let (Some(usage), Some(account)) = (&state.usage, account) else { return };
    if !is_counted.replace(true) {
        let window = usage.current_window(Instant::now());
        usage.ledger.borrow_mut().count(window, account);
    }
}

/// Seals windows and keeps the rows of the store, while this node holds the lease, until the task is
/// dropped.
pub(super) async fn maintain_reports(runner: &DutyRunner) {
    let Some(usage) = &runner.state.usage else { return };
    let mut rows = UsageRows::new(&runner.state);
    let mut loaded: Option<(FencingNumber, u64)> = None;
    let (mut checkpoint_at, mut removal_at) = (Instant::now(), Instant::now());
    let mut checkpointed_change = 0;
    loop {
        let now = Instant::now();
        usage.remove_old_windows(now);
        rows.observe_era(usage.current_window(now));
        let term = runner.held_fencing().map(|fencing| (fencing, runner.state.store_era()));
        if let Some(term) = term.filter(|_| runner.has_duty(DutyKind::Usage)) {
            if loaded != Some(term) {
                loaded = rows.load(usage).await.then_some(term);
            }
            if loaded == Some(term) {
                if runner.may_seal() {
                    seal_windows(runner, usage, &mut rows).await;
                }
                let from = usage.seals.borrow().first_unsealed(&usage.times, usage.unix_ms(now));
                let change = usage.ledger.borrow().latest_change(from);
                if now >= checkpoint_at && change != checkpointed_change {
                    checkpoint_at = now + CHECKPOINT_INTERVAL;
                    if rows.write_checkpoint(usage, from).await {
                        checkpointed_change = change;
                    }
                }
                rows.mark_reported(usage).await;
                if now >= removal_at {
                    removal_at = now + REMOVAL_INTERVAL;
                    rows.remove_old(usage).await;
                }
            }
        }
        compio::time::sleep(runner.interval()).await;
    }
}

impl DutyRunner {
    fn may_seal(&self) -> bool {
        matches!(self.term_state(Duration::ZERO), TermState::Acting(_))
    }
}

/// Writes the rows of windows that are due, and of reports that only other nodes know.
async fn seal_windows(runner: &DutyRunner, usage: &UsageState, rows: &mut UsageRows) {
    let unix_ms = usage.unix_ms(Instant::now());
    let first_kept = usage.times.first_kept(unix_ms);
    let unstored = usage.seals.borrow().unstored();
    for report in unstored.into_iter().filter(|report| report.window >= first_kept) {
        if let Some(stored) = rows.store_report(report).await {
            usage.record_report(stored, true);
        }
    }
    let first_counted = usage.ledger.borrow().first_counted_window();
    let windows = usage.seals.borrow().windows_to_seal(&usage.times, first_counted, unix_ms);
    for window in windows {
        // The term may have ended during the write before.
        if !runner.may_seal() {
            return;
        }
        let totals = usage.ledger.borrow().totals(window);
        let body = encode_usage(window, &totals);
        let report = SealedReport { window, body: body.clone(), is_reported: false };
        let Some(stored) = rows.store_report(report).await else { return };
        let is_own = stored.body == body;
        usage.record_report(stored, true);
        log::info!(
            "event=usage_sealed window={window} requests={} is_own={is_own}",
            totals.values().sum::<u64>()
        );
    }
}

/// Sends the sealed reports, one at a time, until the task is dropped.
pub(super) async fn send_reports(runner: &DutyRunner) {
    let Some(usage) = &runner.state.usage else { return };
    let mut backoff = CallBackoff::default();
    loop {
        let unix_ms = usage.unix_ms(Instant::now());
        let is_holder = runner.held_fencing().is_some() && runner.has_duty(DutyKind::Usage);
        let report = usage.seals.borrow().next_report(&usage.times, unix_ms);
        if let Some(report) = report.filter(|_| is_holder && backoff.is_over(Instant::now())) {
            let SealedReport { window, body, .. } = report;
            let subject = format!("window-{window}");
            let call = runner.call(DutyKind::Usage, &subject, |client, node, fencing| async move {
                client.report_usage(&node, fencing, body, CALL_TIMEOUT).await
            });
            match call.await {
                Some(DutyOutcome::Accepted) => {
                    usage.record_acceptance(window);
                    backoff.record_success();
                }
                Some(DutyOutcome::Refused(_)) => {
                    usage.seals.borrow_mut().record_refusal(window);
                    backoff.record_failure(Instant::now());
                }
                Some(_) => backoff.record_failure(Instant::now()),
                None => {}
            }
        }
        compio::time::sleep(runner.interval()).await;
    }
}
