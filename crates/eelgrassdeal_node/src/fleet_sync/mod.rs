//! Tasks that keep a node in line with the fleet: configuration, probes and planning.

mod append;
mod follow;
mod heartbeat;
mod loss;
mod plan;
mod probe;
mod vm_list;

pub(crate) use follow::{apply_changes, follow_config, recent_changes};
pub(crate) use heartbeat::write_heartbeats;
pub(crate) use plan::run_planner;
pub(crate) use probe::{probe_replicas, read_status};
pub(crate) use vm_list::follow_vm_list;
