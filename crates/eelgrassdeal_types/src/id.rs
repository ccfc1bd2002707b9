//! Type aliases for ids, and generators for ids that a process creates.

use std::sync::Arc;

use uuid::Uuid;

/// Id of a `ClientAccount`, to which requests are attributed.
pub type ClientAccountId = Arc<str>;
/// Id of a `DataCentre`, in which VMs and upstreams are located.
pub type DataCentreId = Arc<str>;
/// Fencing token of an order, with which a receiver can reject outdated orders. For the holder of a
/// lease it increases with each change of the holder; for a group in the configuration it is the
/// revision that wrote the group.
pub type FencingNumber = u64;
/// Number that increases with each change of a group's members and each time the same members load
/// another model or version.
pub type Generation = u64;
/// Id of a group: VMs, or upstreams in the gateway, that together run one replica of a model.
pub type GroupId = Arc<str>;
/// Id of a model, as callers name it in requests.
pub type ModelId = Arc<str>;
/// Id of a node: the id of the `Vm` that it runs on, or in the gateway the name in its settings
/// file. At most one node runs on a VM.
pub type NodeId = Arc<str>;
/// Id of a unit to which requests are dispatched: a group, or an upstream of a plain service, which
/// is a service that runs no model.
pub type ReplicaId = Arc<str>;
/// Number of an accepted configuration; a later one has a higher number.
pub type Revision = u64;
/// Id of a service, whose upstreams serve its requests.
pub type ServiceId = Arc<str>;
/// Id of one run of a process, which tells it from the runs before and after a restart.
pub type StartId = Arc<str>;
/// Id of an `Upstream`, a back end of a service.
pub type UpstreamId = Arc<str>;
/// Id of a `Vm`, a machine that runs a node or a model worker.
pub type VmId = Arc<str>;

/// Generates a random id for this run of the process.
pub fn new_start_id() -> StartId {
    Arc::from(Uuid::new_v4().simple().to_string())
}

/// Generates a random value that identifies one attempt to write a row.
///
/// A writer that received no response reads the row back and compares the value, to find out whether
/// its write was applied.
pub fn new_writer_mark() -> String {
    Uuid::new_v4().simple().to_string()
}
