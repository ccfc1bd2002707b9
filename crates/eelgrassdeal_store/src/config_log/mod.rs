//! The configuration log: accepted revisions, each a difference to the one before, and snapshots of
//! some of them.

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

/// How often a write with a lost answer is sent before its outcome is given up.
const WRITE_TRIES: u32 = 4;
const FIRST_DELAY: Duration = Duration::from_millis(100);
/// A snapshot is due after this many revisions: about 75 a day at the planned 4,800 changes a day,
/// and a starting node reads at most about this many rows.
const SNAPSHOT_INTERVAL_REVISIONS: u64 = 64;
/// A log up to this length is read whole when its snapshot cannot be read. A longer one would not
/// fit the memory of a node.
const MAX_REPLAY_REVISIONS: u64 = 4096;
const LOG_PARTITION: &str = "log";
const HEAD_PARTITION: &str = "head";

/// Why the log could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogError {
    /// A store gave no answer.
    Store,
    /// A row cannot be decoded, or a revision is missing.
    Corrupt,
}

impl fmt::Display for LogError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => formatter.write_str("cannot read the configuration log"),
            Self::Corrupt => formatter.write_str("the configuration log has a damaged row"),
        }
    }
}

impl std::error::Error for LogError {}

/// What became of an append.
#[derive(Clone, Debug, PartialEq)]
pub enum AppendOutcome {
    /// The change is accepted.
    Accepted,
    /// Another change was accepted under this revision; nothing was written.
    Conflict(Box<ConfigChange>),
    /// The store gave no answer; the change may be accepted, now or later. Appending the same
    /// change again tells which, and cannot apply it twice.
    Unknown,
}

/// The configuration as it is read by a node that starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadedConfig {
    /// The state to begin with; `None` for the empty configuration at revision 0.
    pub snapshot: Option<ConfigSnapshot>,
    /// Every change after it, in order.
    pub changes: Vec<ConfigChange>,
}

impl LoadedConfig {
    /// Revision of the configuration with all changes.
    pub fn revision(&self) -> Revision {
        let base = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.revision);
        self.changes.last().map_or(base, |change| change.revision)
    }
}

/// Reads and appends revisions.
///
/// The version of the head row equals the head revision, so that an append needs only the
/// revision it builds on.
#[derive(Clone)]
pub struct ConfigLog {
    store: Rc<dyn TableStore>,
    objects: Option<Rc<dyn ObjectStore>>,
    snapshot_interval: u64,
    first_delay: Duration,
}

impl ConfigLog {
    /// Keeps the log in `store`.
    pub fn new(store: Rc<dyn TableStore>) -> Self {
        Self {
            store,
            objects: None,
            snapshot_interval: SNAPSHOT_INTERVAL_REVISIONS,
            first_delay: FIRST_DELAY,
        }
    }

    /// Keeps snapshots in `objects`. Without them the whole log is read on start.
    pub fn with_objects(mut self, objects: Rc<dyn ObjectStore>) -> Self {
        self.objects = Some(objects);
        self
    }

    /// Makes a snapshot due after this many revisions; 64 by default.
    pub fn with_snapshot_interval(mut self, revisions: u64) -> Self {
        self.snapshot_interval = revisions.max(1);
        self
    }

    /// Waits `first_delay` before a write is sent again, and twice as long each time after; 100 ms
    /// by default.
    pub fn with_first_delay(mut self, first_delay: Duration) -> Self {
        self.first_delay = first_delay;
        self
    }

    /// Reads the head revision; 0 for an empty log.
    ///
    /// # Errors
    ///
    /// [`LogError::Store`] when the store gives no answer.
    pub async fn head(&self) -> Result<Revision, Report<LogError>> {
        let row = self.store.get(head_key()).await.change_context(LogError::Store)?;
        Ok(row.map_or(0, |row| row.version))
    }

    /// Reads the revisions after `revision` in order.
    ///
    /// # Errors
    ///
    /// [`LogError::Store`] when the store gives no answer, [`LogError::Corrupt`] when a revision is
    /// missing.
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

    /// Reads the newest snapshot and the changes after it, up to the head or beyond.
    ///
    /// A snapshot that cannot be read is replaced by the whole log, up to 4,096 revisions.
    ///
    /// # Errors
    ///
    /// [`LogError::Store`] when a store gives no answer, [`LogError::Corrupt`] when a revision is
    /// missing.
    pub async fn load(&self) -> Result<LoadedConfig, Report<LogError>> {
        let head = self.head().await?;
        let snapshot = match self.read_snapshot().await {
            Err(report) if head <= MAX_REPLAY_REVISIONS => {
                log::warn!("the whole log is read in place of the snapshot: {report:?}");
                None
            }
            result => result?,
        };
        let base = snapshot.as_ref().map_or(0, |snapshot| snapshot.revision);
        let loaded = LoadedConfig { snapshot, changes: self.changes_after(base).await? };
        match loaded.revision() {
            revision if revision < head => Err(Report::new(LogError::Corrupt)
                .attach(format!("the log ends at {revision}, its head is {head}"))),
            _ => Ok(loaded),
        }
    }

    /// Appends `change`, whose `revision` must be one more than the revision it was computed from,
    /// and whose `writer_mark` must be its own; an empty mark is replaced.
    ///
    /// A lost answer is resolved by sending the same transaction again: it cannot be applied twice,
    /// and the log row shows whose change was accepted. A revision of 0 is never written.
    pub async fn append(&self, change: &ConfigChange) -> AppendOutcome {
        let Some(base) = change.revision.checked_sub(1) else {
            log::error!("revision 0 cannot be appended");
            return AppendOutcome::Unknown;
        };
        let mut change = change.clone();
        if change.writer_mark.is_empty() {
            change.writer_mark = new_writer_mark();
        }
        let writes = append_writes(base, &change);
        for number in 0..WRITE_TRIES {
            match self.store.transact(writes.clone()).await {
                Ok(_) => return AppendOutcome::Accepted,
                Err(report) if matches!(report.current_context(), StoreError::Conflict { .. }) => {
                    match self.read_row(change.revision).await {
                        Some(row) if row == change => return AppendOutcome::Accepted,
                        Some(row) => return AppendOutcome::Conflict(Box::new(row)),
                        None => {}
                    }
                }
                Err(report) => log::warn!("append of revision {}: {report}", change.revision),
            }
            self.delay(number).await;
        }
        AppendOutcome::Unknown
    }

    async fn read_row(&self, revision: Revision) -> Option<ConfigChange> {
        let row = self.store.get(log_key(revision)).await.ok().flatten()?;
        decode_message(&row.body).ok()
    }

    /// Waits after try `number` of a write unless it is the last.
    async fn delay(&self, number: u32) {
        if number + 1 >= WRITE_TRIES {
            return;
        }
        compio::time::sleep(self.first_delay.saturating_mul(1 << number.min(16))).await;
    }
}

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
    RowKey::new(TableName::Config, HEAD_PARTITION, HEAD_PARTITION)
}

fn log_key(revision: Revision) -> RowKey {
    RowKey::new(TableName::Config, LOG_PARTITION, &sort_key(revision))
}

/// Sorts as text in the order of the numbers.
fn sort_key(revision: Revision) -> String {
    format!("{revision:020}")
}
