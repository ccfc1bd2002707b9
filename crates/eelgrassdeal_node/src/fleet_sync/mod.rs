//! Tasks that keep a node in line with the fleet: configuration, probes and planning.

mod follow;
mod plan;
mod probe;

pub(crate) use follow::{apply_changes, follow_config};
pub(crate) use plan::run_planner;
pub(crate) use probe::probe_replicas;
