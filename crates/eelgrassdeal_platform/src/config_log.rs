//! The configuration log: accepted revisions, each a difference to the one before.

use std::fmt;
use std::rc::Rc;

use eelgrassdeal_schema::config::ConfigChange;
use eelgrassdeal_schema::records::HeadRecord;
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_types::Revision;
use error_stack::{Report, ResultExt};

use crate::table::{RowCondition, RowKey, RowRange, RowWrite, StoreError, TableName, TableStore};

/// How often an append with a lost answer is sent again before its outcome is given up.
const APPEND_TRIES: u32 = 4;
const LOG_PARTITION: &str = "log";
const HEAD_PARTITION: &str = "head";

/// Why the log could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogError {
    /// The store gave no answer.
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
    /// The store gave no answer; the change may be accepted later.
    Unknown,
}

/// Reads and appends revisions.
///
/// The version of the head row equals the head revision, so that an append needs only the
/// revision it builds on.
#[derive(Clone)]
pub struct ConfigLog {
    store: Rc<dyn TableStore>,
}

impl ConfigLog {
    /// Keeps the log in `store`.
    pub fn new(store: Rc<dyn TableStore>) -> Self {
        Self { store }
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

    /// Appends `change`, whose `revision` must be one more than the revision it was computed from.
    ///
    /// A lost answer is resolved by sending the same transaction again: it cannot be applied twice,
    /// and the log row shows by the writer's mark whose change was accepted.
    pub async fn append(&self, change: &ConfigChange) -> AppendOutcome {
        let base = change.revision - 1;
        let head =
            HeadRecord { revision: change.revision, writer_mark: change.writer_mark.clone() };
        let head_condition = match base {
            0 => RowCondition::Absent,
            base => RowCondition::VersionIs(base),
        };
        let writes = vec![
            RowWrite::put(head_key(), head_condition, encode_message(&head)),
            RowWrite::put(log_key(change.revision), RowCondition::Absent, encode_message(change)),
        ];
        for _ in 0..APPEND_TRIES {
            match self.store.transact(writes.clone()).await {
                Ok(()) => return AppendOutcome::Accepted,
                Err(report) if matches!(report.current_context(), StoreError::Conflict { .. }) => {
                    match self.read_row(change.revision).await {
                        Some(row) if row.writer_mark == change.writer_mark => {
                            return AppendOutcome::Accepted;
                        }
                        Some(row) => return AppendOutcome::Conflict(Box::new(row)),
                        None => {}
                    }
                }
                Err(report) => log::warn!("append of revision {}: {report}", change.revision),
            }
        }
        AppendOutcome::Unknown
    }

    async fn read_row(&self, revision: Revision) -> Option<ConfigChange> {
        let row = self.store.get(log_key(revision)).await.ok().flatten()?;
        decode_message(&row.body).ok()
    }
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
