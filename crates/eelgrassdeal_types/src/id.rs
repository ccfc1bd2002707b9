//! Aliases for ids, and generators for those that a process makes itself.

use std::sync::Arc;

use uuid::Uuid;

/// Id of a `ClientAccount`.
pub type ClientAccountId = Arc<str>;
/// Id of a `DataCentre`.
pub type DataCentreId = Arc<str>;
/// Number that rises with each change of a lease's holder.
pub type FencingNumber = u64;
/// Number that rises with each change of a group's members.
pub type Generation = u64;
/// Id of a group of VMs.
pub type GroupId = Arc<str>;
/// Id of a model.
pub type ModelId = Arc<str>;
/// Id of the `Vm` that a node runs on.
pub type NodeId = Arc<str>;
/// Id of what takes requests: a group or an upstream of a plain service.
pub type ReplicaId = Arc<str>;
/// Number of an accepted configuration.
pub type Revision = u64;
/// Id of a plain service.
pub type ServiceId = Arc<str>;
/// Identity of one start of a process.
pub type StartId = Arc<str>;
/// Id of an `Upstream`.
pub type UpstreamId = Arc<str>;
/// Id of a `Vm`.
pub type VmId = Arc<str>;

/// Makes the identity of this start of the process.
pub fn new_start_id() -> StartId {
    Arc::from(Uuid::new_v4().simple().to_string())
}

/// Makes a mark that tells one attempt to write from every other.
///
/// A writer that lost the answer reads the row back and compares the mark.
pub fn new_writer_mark() -> String {
    Uuid::new_v4().simple().to_string()
}
