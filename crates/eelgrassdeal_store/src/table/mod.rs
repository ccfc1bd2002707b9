//! The interface to the platform's transactional table service.

mod http;
mod memory;

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use error_stack::Report;
use futures_util::future::LocalBoxFuture;

pub use http::HttpTableStore;
pub use memory::MemoryTable;

/// Tables in which the system stores its records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TableName {
    /// The configuration log, its head, and the row that names the newest snapshot.
    Config,
    /// Leases, each held by one process at a time.
    Leases,
    /// Heartbeats of nodes, and the peer addresses that gateway nodes register.
    Nodes,
    /// Calls with an idempotency key, which may run only once.
    Claims,
    /// Requests that are suspected of crashing upstreams, and the quarantines of gateway nodes.
    Suspects,
    /// Groups that the gateway's planner manages.
    Groups,
    /// Usage counts and reports of the gateway's duties.
    Duties,
}

impl TableName {
    /// All tables.
    pub const ALL: [Self; 7] = [
        Self::Config,
        Self::Leases,
        Self::Nodes,
        Self::Claims,
        Self::Suspects,
        Self::Groups,
        Self::Duties,
    ];

    /// The name of the table at the table service.
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Leases => "leases",
            Self::Nodes => "nodes",
            Self::Claims => "claims",
            Self::Suspects => "suspects",
            Self::Groups => "groups",
            Self::Duties => "duties",
        }
    }
}

/// Identifies a row by table, partition key and sort key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey {
    /// Table that holds the row.
    pub table: TableName,
    /// Partition key. Rows of one partition can be read as a range.
    pub partition: Arc<str>,
    /// Sort key within the partition.
    pub sort: Arc<str>,
}

impl RowKey {
    /// Makes the key of a row.
    pub fn new(table: TableName, partition: &str, sort: &str) -> Self {
        Self { table, partition: Arc::from(partition), sort: Arc::from(sort) }
    }
}

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// Identifies the row.
    pub key: RowKey,
    /// Rises with every write of the row. A store may count the writes of the row from 1, or use
    /// the version of the transaction that wrote it. [`ConfigLog`](crate::ConfigLog) works only
    /// with a store that counts. [`IdempotencyStore`](crate::IdempotencyStore) expects a count, and
    /// reads the row again if its version is another one.
    pub version: u64,
    /// The encoded record.
    pub body: Bytes,
}

/// The rows of one partition whose sort key is greater than a bound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowRange {
    /// Table that holds the rows.
    pub table: TableName,
    /// Partition key of the rows.
    pub partition: Arc<str>,
    /// Exclusive lower bound of the sort keys; an empty bound selects all rows.
    pub after: Arc<str>,
}

/// The condition under which a write is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowCondition {
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    VersionIs(u64),
}

impl RowCondition {
    /// The version that a row has after a put under this condition, in a store whose versions count
    /// the writes of a row.
    pub(crate) fn next_version(self) -> u64 {
        match self {
            Self::Absent => 1,
            Self::VersionIs(version) => version + 1,
        }
    }
}

/// The effect of a write on its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteAction {
    /// Stores a new body.
    Put {
        /// The encoded record.
        body: Bytes,
        /// Time in ms since the Unix epoch after which the service may delete the row; 0 for never.
        expires_unix_ms: u64,
    },
    /// Deletes the row.
    Delete,
    /// Changes nothing; the transaction fails if the condition does not hold.
    Check,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// Row to write or check.
    pub key: RowKey,
    /// The transaction is applied only if this holds.
    pub condition: RowCondition,
    /// The effect on the row.
    pub action: WriteAction,
}

impl RowWrite {
    /// Makes a write that stores `body` if `condition` holds.
    pub fn put(key: RowKey, condition: RowCondition, body: Bytes) -> Self {
        Self { key, condition, action: WriteAction::Put { body, expires_unix_ms: 0 } }
    }

    /// Lets the service delete the row after `expires_unix_ms`, in ms since the Unix epoch. Has an
    /// effect only on a put.
    pub fn with_expiry(mut self, expires_unix_ms: u64) -> Self {
        if let WriteAction::Put { expires_unix_ms: expiry, .. } = &mut self.action {
            *expiry = expires_unix_ms;
        }
        self
    }

    /// Makes a write that deletes the row if `condition` holds.
    pub fn delete(key: RowKey, condition: RowCondition) -> Self {
        Self { key, condition, action: WriteAction::Delete }
    }

    /// Makes a write that only checks that `condition` holds.
    pub fn check(key: RowKey, condition: RowCondition) -> Self {
        Self { key, condition, action: WriteAction::Check }
    }
}

/// The version that the row of the first put in `writes` has after the transaction, in a store
/// whose versions count the writes of a row.
pub(crate) fn first_put_version(writes: &[RowWrite]) -> Option<u64> {
    let is_put = |write: &&RowWrite| matches!(write.action, WriteAction::Put { .. });
    writes.iter().find(is_put).map(|write| write.condition.next_version())
}

/// Why a call to a store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The request did not reach the store, or the store rejected it because of overload. Nothing
    /// was written.
    Unreachable,
    /// The request may have reached the store, but no usable response arrived: for example a
    /// timeout, a broken connection, an incomplete response, or a status 5xx. The store may have
    /// applied the write.
    OutcomeUnknown,
    /// A condition did not hold. Nothing was written.
    Conflict {
        /// Positions in the transaction of the writes whose conditions did not hold. A store that
        /// does not report them leaves this empty or lists all writes.
        writes: Vec<usize>,
    },
    /// A problem that a retry of the call is not expected to solve: the request could not be built,
    /// the store rejected it (for example as invalid or unauthorised), or a stored row or record
    /// could not be decoded. [`HttpVmList`](crate::HttpVmList) also returns this for every
    /// unexpected status, including 5xx.
    Malformed,
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => {
                formatter.write_str("the store cannot be reached or is overloaded")
            }
            Self::OutcomeUnknown => formatter
                .write_str("no usable response from the store; the write may have been applied"),
            Self::Conflict { writes } => {
                write!(formatter, "the conditions of writes {writes:?} did not hold")
            }
            Self::Malformed => {
                formatter.write_str("the store rejected the request, or its data cannot be decoded")
            }
        }
    }
}

impl std::error::Error for StoreError {}

/// Result of a call to a store.
pub type StoreResult<T> = Result<T, Report<StoreError>>;

/// A transactional table service.
///
/// Reads are strongly consistent: they see every write that was acknowledged before the read began.
pub trait TableStore {
    /// Reads one row; `None` if it does not exist.
    fn get(&self, key: RowKey) -> LocalBoxFuture<'_, StoreResult<Option<StoredRow>>>;

    /// Reads all rows of a range in the order of their sort keys.
    fn query(&self, range: RowRange) -> LocalBoxFuture<'_, StoreResult<Vec<StoredRow>>>;

    /// Applies all writes or none. Takes at most 25 writes, each to a different row.
    ///
    /// Returns the new version of the row of the first put; `None` if the transaction has no put.
    fn transact(&self, writes: Vec<RowWrite>) -> LocalBoxFuture<'_, StoreResult<Option<u64>>>;
}
