//! Rows of the table of duties: sealed reports, the checkpoint of the counts, and the era of the store.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use eelgrassdeal_dispatch::SealedReport;
use eelgrassdeal_schema::gateway::{SealedUsage, UsageEntries};
use eelgrassdeal_schema::records::DutyEraRecord;
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_store::{
    CONTROL_PARTITION, RowCondition, RowKey, RowRange, RowWrite, StoreResult, StoredRow, TableName,
    TableStore,
};

use super::relay::{decode_entries, decode_sealed, encode_entries, encode_sealed};
use super::usage::UsageState;
use crate::state::GatewayState;

const CHECKPOINT_ROW: &str = "usage-checkpoint";
const ERA_ROW: &str = "era";
const SEALED_PREFIX: &str = "usage-";
/// Rows of reports that were never accepted are kept for this many windows, so that operators find
/// them.
const UNREPORTED_KEPT_WINDOWS: u64 = 120;

/// A row of a sealed report.
#[derive(Clone, Debug)]
struct SealedRow {
    version: u64,
    report: SealedReport,
}

/// The rows as this process last read or wrote them.
pub(super) struct UsageRows {
    state: Rc<GatewayState>,
    sealed: BTreeMap<u64, SealedRow>,
    checkpoint: RowCondition,
    /// Era of the store, and the window in which this process first saw it.
    era_seen: Option<(u64, u64)>,
}

impl UsageRows {
    pub(super) fn new(state: &Rc<GatewayState>) -> Self {
        Self {
            state: state.clone(),
            sealed: BTreeMap::new(),
            checkpoint: RowCondition::Absent,
            era_seen: None,
        }
    }

    /// Records when an era of the store was first seen. `window` is the current window.
    pub(super) fn observe_era(&mut self, window: u64) {
        let era = self.state.store_era();
        if self.era_seen.is_none_or(|(known, _)| known != era) {
            self.era_seen = Some((era, window));
        }
    }

    /// Reads all rows at the start of a term or an era. Returns whether it succeeded.
    pub(super) async fn load(&mut self, usage: &UsageState) -> bool {
        match self.try_load(usage).await {
            Ok(is_loaded) => is_loaded,
            Err(report) => {
                log::info!("event=usage_unloaded reason=\"{report}\"");
                false
            }
        }
    }

    async fn try_load(&mut self, usage: &UsageState) -> StoreResult<bool> {
        let range = RowRange {
            table: TableName::Duties,
            partition: CONTROL_PARTITION.into(),
            after: "".into(),
        };
        let rows = self.state.store.query(range).await?;
        if !self.begin_era(usage, rows.iter().find(|row| &*row.key.sort == ERA_ROW)).await? {
            return Ok(false);
        }
        self.sealed.clear();
        self.checkpoint = RowCondition::Absent;
        usage.seals.borrow_mut().forget_rows();
        for row in rows {
            match &*row.key.sort {
                ERA_ROW => {}
                CHECKPOINT_ROW => self.adopt_checkpoint(usage, &row),
                _ => {
                    if let Some(report) = self.adopt_sealed(&row) {
                        usage.record_report(report, true);
                    }
                }
            }
        }
        Ok(true)
    }

    /// Reads or writes the row of the era. Returns false if the store is of another era than the row, so
    /// that the rows must be read again.
    async fn begin_era(&self, usage: &UsageState, row: Option<&StoredRow>) -> StoreResult<bool> {
        let Some((era, seen_window)) = self.era_seen else { return Ok(false) };
        let record = row.and_then(|row| decode_message::<DutyEraRecord>(&row.body).ok());
        let record = record.unwrap_or_default();
        if record.era >= era {
            usage.seals.borrow_mut().set_first_window(record.first_window);
            return Ok(record.era == era);
        }
        let key = RowKey::new(TableName::Duties, CONTROL_PARTITION, ERA_ROW);
        let condition =
            row.map_or(RowCondition::Absent, |row| RowCondition::VersionIs(row.version));
        let begun = DutyEraRecord { era, first_window: seen_window };
        let write = RowWrite::put(key, condition, encode_message(&begun));
        self.state.store.transact(vec![write]).await?;
        log::warn!("event=usage_era era={era} first_window={seen_window}");
        usage.seals.borrow_mut().set_first_window(seen_window);
        Ok(true)
    }

    fn adopt_checkpoint(&mut self, usage: &UsageState, row: &StoredRow) {
        self.checkpoint = RowCondition::VersionIs(row.version);
        match decode_message::<UsageEntries>(&row.body) {
            Ok(entries) => {
                let current = usage.current_window(Instant::now());
                usage.ledger.borrow_mut().merge(decode_entries(entries), false, current);
            }
            Err(error) => log_unreadable(&row.key, &error.to_string()),
        }
    }

    fn adopt_sealed(&mut self, row: &StoredRow) -> Option<SealedReport> {
        let window = row.key.sort.strip_prefix(SEALED_PREFIX)?.parse().ok()?;
        match decode_message::<SealedUsage>(&row.body) {
            Ok(sealed) if sealed.window == window => {
                let report = decode_sealed(sealed);
                let known = SealedRow { version: row.version, report: report.clone() };
                self.sealed.insert(window, known);
                Some(report)
            }
            Ok(_) => {
                log_unreadable(&row.key, "another window");
                None
            }
            Err(error) => {
                log_unreadable(&row.key, &error.to_string());
                None
            }
        }
    }

    /// Stores a report, unless the window has one. Returns the report that the store holds; `None` if
    /// that is not known.
    pub(super) async fn store_report(&mut self, report: SealedReport) -> Option<SealedReport> {
        let write =
            RowWrite::put(sealed_key(report.window), RowCondition::Absent, sealed_body(&report));
        match self.state.store.transact(vec![write]).await {
            Ok(Some(version)) => {
                self.sealed.insert(report.window, SealedRow { version, report: report.clone() });
                Some(report)
            }
            // Another holder has sealed the window, or the outcome of a write is not known.
            Ok(None) | Err(_) => self.read_sealed(report.window).await,
        }
    }

    async fn read_sealed(&mut self, window: u64) -> Option<SealedReport> {
        match TableStore::get(&self.state.store, sealed_key(window)).await {
            Ok(row) => self.adopt_sealed(&row?),
            Err(report) => {
                log::debug!("event=usage_unread window={window} reason=\"{report}\"");
                None
            }
        }
    }

    /// Marks the rows of reports that were accepted.
    pub(super) async fn mark_reported(&mut self, usage: &UsageState) {
        let reports = usage.seals.borrow().reports_from(0);
        for report in reports.into_iter().filter(|report| report.is_reported) {
            let Some(row) = self.sealed.get(&report.window) else { continue };
            if row.report.is_reported || row.report.body != report.body {
                continue;
            }
            let condition = RowCondition::VersionIs(row.version);
            let write = RowWrite::put(sealed_key(report.window), condition, sealed_body(&report));
            match self.state.store.transact(vec![write]).await {
                Ok(Some(version)) => {
                    self.sealed.insert(report.window, SealedRow { version, report });
                }
                Ok(None) | Err(_) => {
                    // Another holder may have marked it, or this write may have been applied.
                    self.read_sealed(report.window).await;
                    return;
                }
            }
        }
    }

    /// Writes the counts of the windows from `from` on. Returns whether it succeeded.
    pub(super) async fn write_checkpoint(&mut self, usage: &UsageState, from: u64) -> bool {
        let entries = encode_entries(&usage.ledger.borrow().entries_from(from));
        let key = RowKey::new(TableName::Duties, CONTROL_PARTITION, CHECKPOINT_ROW);
        let write = RowWrite::put(key.clone(), self.checkpoint, encode_message(&entries));
        if let Ok(Some(version)) = self.state.store.transact(vec![write]).await {
            self.checkpoint = RowCondition::VersionIs(version);
            return true;
        }
        // Another holder may have written it, or this write may have been applied.
        match TableStore::get(&self.state.store, key).await {
            Ok(Some(row)) => self.adopt_checkpoint(usage, &row),
            Ok(None) => self.checkpoint = RowCondition::Absent,
            Err(report) => log::debug!("event=usage_checkpoint_unread reason=\"{report}\""),
        }
        false
    }

    /// Removes the rows of windows whose reports are not kept. The last row stays: it shows the next
    /// holder that there was traffic.
    pub(super) async fn remove_old(&mut self, usage: &UsageState) {
        let first_kept = usage.times.first_kept(usage.unix_ms(Instant::now()));
        let first_unreported_kept = first_kept.saturating_sub(UNREPORTED_KEPT_WINDOWS);
        let last = self.sealed.keys().next_back().copied();
        let old: Vec<(u64, u64)> = self
            .sealed
            .range(..first_kept)
            .filter(|(window, _)| Some(**window) != last)
            .filter(|(window, row)| row.report.is_reported || **window < first_unreported_kept)
            .map(|(window, row)| (*window, row.version))
            .collect();
        for (window, version) in old {
            let write = RowWrite::delete(sealed_key(window), RowCondition::VersionIs(version));
            match self.state.store.transact(vec![write]).await {
                Ok(_) => {
                    self.sealed.remove(&window);
                }
                Err(_) => {
                    if self.read_sealed(window).await.is_none() {
                        self.sealed.remove(&window);
                    }
                    return;
                }
            }
        }
    }
}

fn sealed_key(window: u64) -> RowKey {
    RowKey::new(TableName::Duties, CONTROL_PARTITION, &format!("{SEALED_PREFIX}{window}"))
}

fn sealed_body(report: &SealedReport) -> Bytes {
    encode_message(&encode_sealed(report))
}

fn log_unreadable(key: &RowKey, reason: &str) {
    log::warn!("event=row_ignored key={} reason=\"{reason}\"", key.sort);
}
