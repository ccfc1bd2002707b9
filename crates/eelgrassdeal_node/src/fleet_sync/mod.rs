//! Background tasks that synchronize a node with the fleet: configuration, heartbeats, probes, the
//! platform's list of VMs, and planning.

mod append;
mod config_poll;
mod heartbeat;
mod loss;
mod plan;
mod probe;
mod vm_list;

pub(crate) use config_poll::{apply_changes, poll_config, recent_changes};
pub(crate) use heartbeat::write_heartbeats;
pub(crate) use plan::run_planner;
pub(crate) use probe::{probe_replicas, read_status};
pub(crate) use vm_list::poll_vm_list;
