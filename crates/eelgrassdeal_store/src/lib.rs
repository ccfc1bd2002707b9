//! Access to the platform: table service, object store and list of VMs.
//!
//! The traits [`TableStore`], [`ObjectStore`] and [`VmList`] are the interfaces to the platform's
//! services; support for another platform means implementing them. The records that several nodes
//! share are built on these traits: the configuration log ([`ConfigLog`]), leases
//! ([`LeaseClient`]), and the records of calls that may run only once ([`IdempotencyStore`]).

mod bounded_client;
mod config_log;
mod control_traffic;
mod idempotency;
mod lease;
mod object;
mod table;
mod vm_list;
mod write_batch;

pub use config_log::{AppendOutcome, ConfigLog, LoadedConfig, LogError};
pub use control_traffic::{record_control_traffic, request_size, response_head_size};
pub use idempotency::{
    ClaimError, ClaimOutcome, ClaimedCall, IdempotencyStats, IdempotencyStore, StoredResult,
};
pub use lease::{CONTROL_PARTITION, HeldLease, LeaseClient};
pub use object::{HttpObjectStore, ObjectStore};
pub use table::{
    HttpTableStore, MemoryTable, RowCondition, RowKey, RowRange, RowWrite, StoreError, StoreResult,
    StoredRow, TableName, TableStore, WriteAction,
};
pub use vm_list::{HttpVmList, VmList, VmState};
