//! Register, rules and the group planner.
//!
//! [`FleetConfig`] is the configuration at one revision. [`load_fleet_files`] reads the operators'
//! files, [`check_fleet`] finds what is wrong in them, [`diff_fleet`] computes the change that turns
//! one configuration into another, and [`plan_groups`] decides which VMs form which groups.

mod check;
mod diff;
mod file;
mod fleet;
mod planner;

pub use check::{FleetProblem, check_fleet};
pub use diff::{EntryDiff, diff_fleet};
pub use file::{FileError, FileProblem, FleetFiles, load_fleet_files};
pub use fleet::{EntryKind, FleetConfig, entry_key};
pub use planner::{
    GroupPlan, GroupPlanner, HeartbeatWatch, plan_absent_nodes, plan_ban_removals, plan_change,
    plan_groups, plan_loss_removals,
};
