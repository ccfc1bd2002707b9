//! The transactional table service.

mod http;
mod memory;

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use error_stack::Report;
use futures_util::future::LocalBoxFuture;

pub use http::HttpTableStore;
pub use memory::MemoryTable;

/// Tables that the system keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TableName {
    /// Configuration log and its head.
    Config,
    /// Leases.
    Leases,
    /// Heartbeats of nodes.
    Nodes,
    /// Calls that may run only once.
    Claims,
    /// Requests suspected of crashing upstreams.
    Suspects,
    /// Groups of the gateway's planner.
    Groups,
}

impl TableName {
    /// Every table.
    pub const ALL: [Self; 6] =
        [Self::Config, Self::Leases, Self::Nodes, Self::Claims, Self::Suspects, Self::Groups];

    /// Name at the table service.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Leases => "leases",
            Self::Nodes => "nodes",
            Self::Claims => "claims",
            Self::Suspects => "suspects",
            Self::Groups => "groups",
        }
    }
}

/// Names a row by table, partition and sort key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey {
    /// Table of the row.
    pub table: TableName,
    /// Partition key; rows of one partition can be read as a range.
    pub partition: Arc<str>,
    /// Sort key within the partition.
    pub sort: Arc<str>,
}

impl RowKey {
    /// Names a row.
    pub fn new(table: TableName, partition: &str, sort: &str) -> Self {
        Self { table, partition: Arc::from(partition), sort: Arc::from(sort) }
    }
}

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// Name of the row.
    pub key: RowKey,
    /// Rises with every write.
    pub version: u64,
    /// Encoded record.
    pub body: Bytes,
}

/// Rows of one partition with a sort key above a bound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowRange {
    /// Table of the rows.
    pub table: TableName,
    /// Partition of the rows.
    pub partition: Arc<str>,
    /// Only rows with a greater sort key.
    pub after: Arc<str>,
}

/// What must hold of a row for a write to be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowCondition {
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    VersionIs(u64),
}

impl RowCondition {
    /// The version of a row that is stored under this condition, where versions count the writes.
    pub(crate) fn next_version(self) -> u64 {
        match self {
            Self::Absent => 1,
            Self::VersionIs(version) => version + 1,
        }
    }
}

/// What a write does to its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteAction {
    /// Stores the body, and lets the service drop the row after `expires_unix_ms` (0: never).
    Put {
        /// Encoded record.
        body: Bytes,
        /// When the service may drop the row.
        expires_unix_ms: u64,
    },
    /// Removes the row.
    Delete,
    /// Only checks the condition.
    Check,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// Row to write.
    pub key: RowKey,
    /// What must hold of the row.
    pub condition: RowCondition,
    /// What to do.
    pub action: WriteAction,
}

impl RowWrite {
    /// Stores `body` if `condition` holds.
    pub fn put(key: RowKey, condition: RowCondition, body: Bytes) -> Self {
        Self { key, condition, action: WriteAction::Put { body, expires_unix_ms: 0 } }
    }

    /// Lets the service drop the row after `expires_unix_ms`.
    pub fn with_expiry(mut self, expires_unix_ms: u64) -> Self {
        if let WriteAction::Put { expires_unix_ms: expiry, .. } = &mut self.action {
            *expiry = expires_unix_ms;
        }
        self
    }

    /// Removes the row if `condition` holds.
    pub fn delete(key: RowKey, condition: RowCondition) -> Self {
        Self { key, condition, action: WriteAction::Delete }
    }

    /// Only checks that `condition` holds.
    pub fn check(key: RowKey, condition: RowCondition) -> Self {
        Self { key, condition, action: WriteAction::Check }
    }
}

/// The version of the first row that `writes` store, where versions count the writes of a row.
pub(crate) fn first_version(writes: &[RowWrite]) -> Option<u64> {
    let is_put = |write: &&RowWrite| matches!(write.action, WriteAction::Put { .. });
    writes.iter().find(is_put).map(|write| write.condition.next_version())
}

/// Why the store gave no answer that can be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The request did not reach the store, or was refused for load; nothing was written.
    Unreachable,
    /// The store may have applied the write; the answer was lost.
    OutcomeUnknown,
    /// A condition did not hold; nothing was written. Holds the positions of the writes at fault.
    Conflict {
        /// Positions in the transaction.
        writes: Vec<usize>,
    },
    /// The store refused the request or its answer could not be read.
    Malformed,
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => formatter.write_str("the store cannot be reached"),
            Self::OutcomeUnknown => formatter.write_str("the store's answer was lost"),
            Self::Conflict { writes } => {
                write!(formatter, "the condition of writes {writes:?} did not hold")
            }
            Self::Malformed => formatter.write_str("the store's answer cannot be read"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Result of a call to the store.
pub type StoreResult<T> = Result<T, Report<StoreError>>;

/// A transactional table service.
///
/// Reads are consistent: they see every write that was answered before the read began.
pub trait TableStore {
    /// Reads one row.
    fn get(&self, key: RowKey) -> LocalBoxFuture<'_, StoreResult<Option<StoredRow>>>;

    /// Reads the rows of a range in the order of their sort keys.
    fn query(&self, range: RowRange) -> LocalBoxFuture<'_, StoreResult<Vec<StoredRow>>>;

    /// Applies all writes or none. At most 25 writes, each of another row. Returns the version that
    /// the first of the stored rows has now; `None` if no row is stored.
    fn transact(&self, writes: Vec<RowWrite>) -> LocalBoxFuture<'_, StoreResult<Option<u64>>>;
}
