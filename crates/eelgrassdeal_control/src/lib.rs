//! The configuration of the fleet and the group planner.
//!
//! [`FleetConfig`] is the configuration at one revision. [`load_fleet_files`] reads the operators'
//! files (the register of machines, models and services, and the rules), [`check_fleet`] validates
//! a configuration, [`diff_fleet`] lists the entries in which two configurations differ, and
//! [`plan_groups`] decides which VMs form which groups. A group is a set of VMs of one fabric
//! domain that together run one replica of a model.
//!
//! The node (`eelgrassdeal_node`) runs this planner. The gateway (`eelgrassdeal_gateway`) runs the
//! one of `eelgrassdeal_dispatch`, which has its own type of groups.

mod check;
mod diff;
mod file;
mod fleet;
mod planner;

pub use check::{ConfigProblem, check_fleet};
pub use diff::{EntryDiff, diff_fleet};
pub use file::{FileError, FileProblem, FleetFiles, load_fleet_files};
pub use fleet::{EntryKind, FleetConfig, entry_key};
pub use planner::{
    ConfigPlan, GroupPlanner, HeartbeatTracker, change_from_plan, plan_absent_nodes,
    plan_ban_removals, plan_groups, plan_loss_removals,
};
