//! Ids, error kinds and clocks shared by all crates of eelgrassdeal.
//!
//! ```
//! use eelgrassdeal_types::{CallOutcome, ErrorKind};
//!
//! let answer = ErrorKind::Draining.answer();
//! assert_eq!(answer.status, 503);
//! assert_eq!(answer.outcome, CallOutcome::NotRun);
//! ```

mod clock;
mod error_kind;
mod id;

pub use clock::{unix_ms_now, unix_ms_of};
pub use error_kind::{CallError, CallOutcome, ErrorAnswer, ErrorKind};
pub use id::{
    ClientAccountId, DataCentreId, FencingNumber, Generation, GroupId, ModelId, NodeId, ReplicaId,
    Revision, ServiceId, StartId, UpstreamId, VmId, new_start_id, new_writer_mark,
};
