//! Ids, error kinds, findings about files and wall-clock functions shared by the crates of eelgrassdeal.
//!
//! ```
//! use eelgrassdeal_types::{CallOutcome, ErrorKind};
//!
//! let response = ErrorKind::Draining.response();
//! assert_eq!(response.status, 503);
//! assert_eq!(response.outcome, CallOutcome::NotRun);
//! ```

mod clock;
mod era;
mod error_kind;
mod finding;
mod id;

pub use clock::{unix_ms_now, unix_ms_of};
pub use era::{
    MAX_STORE_ERA, StoreEra, fencing_era, first_generation, next_fencing_number, pack_version,
    unpack_version, version_era,
};
pub use error_kind::{CallError, CallOutcome, ErrorKind, ErrorResponse};
pub use finding::{CheckFinding, FindingKind, FindingSeverity};
pub use id::{
    ClientAccountId, DataCentreId, FencingNumber, Generation, GroupId, ModelId, NodeId, ReplicaId,
    Revision, ServiceId, StartId, UpstreamId, VmId, new_start_id, new_writer_mark,
};
