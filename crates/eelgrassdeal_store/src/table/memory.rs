//! An in-memory table store for tests and measurements.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use error_stack::Report;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, ready};

use super::{
    RowCondition, RowKey, RowRange, RowWrite, StoreError, StoreResult, StoredRow, TableStore,
    WriteAction, first_put_version,
};

/// An in-memory table store with the rows of all tables. Clones share the rows.
///
/// ```
/// use bytes::Bytes;
/// use eelgrassdeal_store::{MemoryTable, RowCondition, RowKey, RowWrite, TableName};
///
/// let table = MemoryTable::new();
/// let key = RowKey::new(TableName::Leases, "lease", "planner");
/// let write = RowWrite::put(key, RowCondition::Absent, Bytes::from_static(b"held"));
/// assert!(table.apply(&[write.clone()]).is_ok());
/// assert!(table.apply(&[write]).is_err());
/// ```
#[derive(Clone, Debug, Default)]
pub struct MemoryTable {
    rows: Rc<RefCell<BTreeMap<RowKey, StoredRow>>>,
}

impl MemoryTable {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies all writes or none.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] when a condition does not hold, [`StoreError::Malformed`] when two
    /// writes have the same row.
    pub fn apply(&self, writes: &[RowWrite]) -> Result<(), StoreError> {
        let keys: BTreeSet<&RowKey> = writes.iter().map(|write| &write.key).collect();
        if keys.len() < writes.len() {
            return Err(StoreError::Malformed);
        }
        let mut rows = self.rows.borrow_mut();
        let failed: Vec<usize> = (0..writes.len())
            .filter(|&position| {
                let write = &writes[position];
                let version = rows.get(&write.key).map(|row| row.version);
                match write.condition {
                    RowCondition::Absent => version.is_some(),
                    RowCondition::VersionIs(expected) => version != Some(expected),
                }
            })
            .collect();
        if !failed.is_empty() {
            return Err(StoreError::Conflict { writes: failed });
        }
        for write in writes {
            match &write.action {
                WriteAction::Put { body, .. } => {
                    let version = rows.get(&write.key).map_or(0, |row| row.version) + 1;
                    let row = StoredRow { key: write.key.clone(), version, body: body.clone() };
                    rows.insert(write.key.clone(), row);
                }
                WriteAction::Delete => {
                    rows.remove(&write.key);
                }
                WriteAction::Check => {}
            }
        }
        Ok(())
    }

    /// Reads one row; `None` if it does not exist.
    pub fn read(&self, key: &RowKey) -> Option<StoredRow> {
        self.rows.borrow().get(key).cloned()
    }

    /// Reads the rows of a range in the order of their sort keys.
    pub fn read_range(&self, range: &RowRange) -> Vec<StoredRow> {
        self.rows
            .borrow()
            .values()
            .filter(|row| {
                row.key.table == range.table
                    && row.key.partition == range.partition
                    && row.key.sort > range.after
            })
            .cloned()
            .collect()
    }
}

impl TableStore for MemoryTable {
    fn get(&self, key: RowKey) -> LocalBoxFuture<'_, StoreResult<Option<StoredRow>>> {
        ready(Ok(self.read(&key))).boxed_local()
    }

    fn query(&self, range: RowRange) -> LocalBoxFuture<'_, StoreResult<Vec<StoredRow>>> {
        ready(Ok(self.read_range(&range))).boxed_local()
    }

    fn transact(&self, writes: Vec<RowWrite>) -> LocalBoxFuture<'_, StoreResult<Option<u64>>> {
        let version = first_put_version(&writes);
        ready(self.apply(&writes).map(|()| version).map_err(Report::new)).boxed_local()
    }
}
