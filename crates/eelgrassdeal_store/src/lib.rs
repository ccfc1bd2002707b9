//! Access to the platform: table service, object store and list of VMs.
//!
//! The traits [`TableStore`], [`ObjectStore`] and [`VmList`] are the edge of the process. Another
//! platform needs one new file that implements them. On top of them stand the records that several
//! nodes share: the [`ConfigLog`], leases by [`LeaseKeeper`], and the [`CallLedger`] for calls that
//! may run only once.

mod config_log;
mod http_call;
mod lease;
mod ledger;
mod object;
mod table;
mod traffic;
mod vm_list;
mod write_batch;

pub use config_log::{AppendOutcome, ConfigLog, LoadedConfig, LogError};
pub use lease::{CONTROL_PARTITION, HeldLease, LeaseKeeper};
pub use ledger::{CallLedger, ClaimOutcome, ClaimedCall, LedgerError, LedgerStats, StoredResult};
pub use object::{HttpObjectStore, ObjectStore};
pub use table::{
    HttpTableStore, MemoryTable, RowCondition, RowKey, RowRange, RowWrite, StoreError, StoreResult,
    StoredRow, TableName, TableStore, WriteAction,
};
pub use traffic::{count_control, request_size, response_head_size};
pub use vm_list::{HttpVmList, VmList, VmState};
