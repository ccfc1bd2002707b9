//! The configuration log: the accepted revisions, each stored as the difference from the previous
//! one, and snapshots of some of them.

mod snapshot;

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use eelgrassdeal_schema::config::{ConfigChange, ConfigSnapshot};
use eelgrassdeal_schema::records::HeadRecord;
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_types::{Revision, new_writer_mark};
use error_stack::{Report, ResultExt};

use crate::object::ObjectStore;
use crate::table::{RowCondition, RowKey, RowRange, RowWrite, StoreError, TableName, TableStore};

/// Largest number of times that a write is sent when no conclusive response arrives.
const MAX_WRITE_ATTEMPTS: u32 = 4;
/// Delay before the first retry of a write; it doubles with each further retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// A snapshot is due after this many revisions. This gives about 75 snapshots a day at the planned
/// 4,800 changes a day, and a starting node reads at most about this many rows.
const SNAPSHOT_INTERVAL_REVISIONS: u64 = 64;
/// Longest log that is read from the beginning in place of a snapshot that cannot be read. A longer
/// log is assumed not to fit into the memory of a node. The limit does not apply if there is no
/// object store or no recorded snapshot.
const MAX_REPLAY_REVISIONS: u64 = 4096;
const LOG_PARTITION: &str = "log";
/// Partition key and sort key of the head row, the only row of its partition.
const HEAD_ROW_NAME: &str = "head";

/// Why an operation on the configuration log failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogError {
    /// A call to the table service or the object store failed.
    Store,
    /// A row or a snapshot cannot be decoded, or a revision is missing.
    Corrupt,
}

impl fmt::Display for LogError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => formatter.write_str("cannot access the configuration log"),
            Self::Corrupt => formatter.write_str("the configuration log is corrupt"),
        }
    }
}

impl std::error::Error for LogError {}

/// The outcome of an append.
#[derive(Clone, Debug, PartialEq)]
pub enum AppendOutcome {
    /// The change is accepted.
    Accepted,
    /// Another change, which this variant holds, was accepted under this revision. Nothing was
    /// written.
    Conflict(Box<ConfigChange>),
    /// The result is not known; the change may be accepted now or later. Appending the same change
    /// again, with the same non-empty writer mark, shows whether it was accepted, and cannot apply
    /// it twice. Also returned for a change with revision 0, which is never accepted.
    Unknown,
}

/// The configuration as a starting node reads it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadedConfig {
    /// The state to which the changes apply; `None` for the empty configuration at revision 0.
    pub snapshot: Option<ConfigSnapshot>,
    /// Every change after the snapshot, in the order of the revisions.
    pub changes: Vec<ConfigChange>,
}

impl LoadedConfig {
    /// The revision after all changes.
    pub fn revision(&self) -> Revision {
        let base = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.revision);
        self.changes.last().map_or(base, |change| change.revision)
    }
}

/// Reads and appends revisions of the configuration.
///
/// The head row holds the newest accepted revision (the head revision) and is written once by each
/// append. [`ConfigLog`] requires a store whose row versions count the writes of a row: the version
/// of the head row then equals the head revision, so an append needs to know only the revision that
/// it builds on.
#[derive(Clone)]
pub struct ConfigLog {
    store: Rc<dyn TableStore>,
    objects: Option<Rc<dyn ObjectStore>>,
    snapshot_interval: u64,
    initial_backoff: Duration,
}

impl ConfigLog {
    /// Uses the log in the table service `store`.
    pub fn new(store: Rc<dyn TableStore>) -> Self {
        Self {
            store,
            objects: None,
            snapshot_interval: SNAPSHOT_INTERVAL_REVISIONS,
            initial_backoff: INITIAL_BACKOFF,
        }
    }

    /// Keeps snapshots in the object store `objects`. Without it, a starting node reads the log
    /// from the beginning.
    pub fn with_objects(mut self, objects: Rc<dyn ObjectStore>) -> Self {
        self.objects = Some(objects);
        self
    }

    /// Sets the number of revisions after which a snapshot is due; 64 by default, at least 1.
    pub fn with_snapshot_interval(mut self, revisions: u64) -> Self {
        self.snapshot_interval = revisions.max(1);
        self
    }

    /// Sets the delay before the first retry of a write; it doubles with each further retry. 100 ms
    /// by default.
    pub fn with_initial_backoff(mut self, initial_backoff: Duration) -> Self {
        self.initial_backoff = initial_backoff;
        self
    }

    /// Reads the head revision; 0 for an empty log.
    ///
    /// # Errors
    ///
    /// [`LogError::Store`] when the call to the store fails.
    pub async fn head(&self) -> Result<Revision, Report<LogError>> {
        let row = self.store.get(head_key()).await.change_context(LogError::Store)?;
        Ok(row.map_or(0, |row| row.version))
    }

    /// Reads the changes after `revision` in the order of their revisions.
    ///
    /// # Errors
    ///
    /// [`LogError::Store`] when the call to the store fails, [`LogError::Corrupt`] when a row
    /// cannot be decoded or a revision is missing.
    pub async fn changes_after(
        &self,
        revision: Revision,
    ) -> Result<Vec<ConfigChange>, Report<LogError>> {
        let range = RowRange {
            table: TableName::Config,
            partition: LOG_PARTITION.into(),
            after: sort_key(revision).into(),
        };
        let rows = self.store.query(range).await.change_context(LogError::Store)?;
        let mut changes = Vec::with_capacity(rows.len());
        for (row, expected) in rows.iter().zip(revision + 1..) {
            let change: ConfigChange =
                decode_message(&row.body).change_context(LogError::Corrupt)?;
            if change.revision != expected {
                return Err(Report::new(LogError::Corrupt)
                    .attach(format!("revision {expected} is missing")));
            }
            changes.push(change);
        }
        Ok(changes)
    }

    /// Reads the newest snapshot and the changes after it, at least up to the head revision at the
    /// start of the call. Changes that are accepted during the call may be included.
    ///
    /// If the snapshot cannot be read, the log is read from the beginning, unless it has more than
    /// 4,096 revisions.
    ///
    /// # Errors
    ///
    /// [`LogError::Store`] when a call to a store fails, [`LogError::Corrupt`] when a row or the
    /// snapshot cannot be decoded or a revision is missing.
    pub async fn load(&self) -> Result<LoadedConfig, Report<LogError>> {
        let head = self.head().await?;
        let snapshot = match self.read_snapshot().await {
            Err(report) if head <= MAX_REPLAY_REVISIONS => {
                log::warn!(
                    "cannot read the configuration snapshot; reading the whole log: {report:?}"
                );
                None
            }
            result => result?,
        };
        let base = snapshot.as_ref().map_or(0, |snapshot| snapshot.revision);
        let loaded = LoadedConfig { snapshot, changes: self.changes_after(base).await? };
        match loaded.revision() {
            revision if revision < head => Err(Report::new(LogError::Corrupt)
                .attach(format!("the log ends at revision {revision}, but its head is {head}"))),
            _ => Ok(loaded),
        }
    }

    /// Appends `change`.
    ///
    /// Its `revision` must be one more than the revision it was computed from, and its
    /// `writer_mark` must be unique to this change. An empty mark is replaced by a new one in each
    /// call, so the change cannot be recognised when it is appended again. A change with revision 0
    /// is not written, and the call returns [`AppendOutcome::Unknown`].
    ///
    /// After a lost response, the same transaction is sent again: it cannot be applied twice, and
    /// the log row shows which change was accepted.
    pub async fn append(&self, change: &ConfigChange) -> AppendOutcome {
        let Some(base) = change.revision.checked_sub(1) else {
            log::error!("cannot append a configuration change with revision 0");
            return AppendOutcome::Unknown;
        };
        let mut change = change.clone();
        if change.writer_mark.is_empty() {
            change.writer_mark = new_writer_mark();
        }
        let writes = append_writes(base, &change);
        for attempt in 0..MAX_WRITE_ATTEMPTS {
            match self.store.transact(writes.clone()).await {
                Ok(_) => return AppendOutcome::Accepted,
                Err(report) if matches!(report.current_context(), StoreError::Conflict { .. }) => {
                    match self.read_row(change.revision).await {
                        Some(row) if row == change => return AppendOutcome::Accepted,
                        Some(row) => return AppendOutcome::Conflict(Box::new(row)),
                        None => {}
                    }
                }
                Err(report) => log::warn!(
                    "append of configuration revision {} failed: {report}",
                    change.revision
                ),
            }
            self.back_off(attempt).await;
        }
        AppendOutcome::Unknown
    }

    async fn read_row(&self, revision: Revision) -> Option<ConfigChange> {
        let row = self.store.get(log_key(revision)).await.ok().flatten()?;
        decode_message(&row.body).ok()
    }

    /// Waits after the write attempt `attempt`, counted from 0, unless it was the last.
    async fn back_off(&self, attempt: u32) {
        if attempt + 1 >= MAX_WRITE_ATTEMPTS {
            return;
        }
        compio::time::sleep(self.initial_backoff.saturating_mul(1 << attempt.min(16))).await;
    }
}

/// The writes of one append: the head row and the log row.
fn append_writes(base: Revision, change: &ConfigChange) -> Vec<RowWrite> {
    let head = HeadRecord { revision: change.revision, writer_mark: change.writer_mark.clone() };
    let head_condition = match base {
        0 => RowCondition::Absent,
        base => RowCondition::VersionIs(base),
    };
    vec![
        RowWrite::put(head_key(), head_condition, encode_message(&head)),
        RowWrite::put(log_key(change.revision), RowCondition::Absent, encode_message(change)),
    ]
}

fn head_key() -> RowKey {
    RowKey::new(TableName::Config, HEAD_ROW_NAME, HEAD_ROW_NAME)
}

fn log_key(revision: Revision) -> RowKey {
    RowKey::new(TableName::Config, LOG_PARTITION, &sort_key(revision))
}

/// Pads the revision with zeros, so that the order of the texts is the order of the numbers.
fn sort_key(revision: Revision) -> String {
    format!("{revision:020}")
}
