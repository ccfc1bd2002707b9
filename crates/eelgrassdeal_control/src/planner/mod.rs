//! Decides which VMs form which groups.

mod change;
mod draft;
mod pass;
mod placement;
mod watch;

use std::collections::{BTreeMap, BTreeSet};

use eelgrassdeal_platform::VmState;
use eelgrassdeal_schema::config::{ConfigEntry, EntryKey};
use eelgrassdeal_types::{GroupId, VmId};

use crate::fleet::FleetConfig;
use pass::PlanPass;

pub use change::plan_change;
pub use watch::{HeartbeatWatch, plan_absent_nodes, plan_loss_removals};

/// Changes that a planning pass asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupPlan {
    /// Entries to write. [`plan_change`] fills in the fencing number of groups.
    pub upsert: Vec<ConfigEntry>,
    /// Entries to remove.
    pub remove: Vec<EntryKey>,
}

impl GroupPlan {
    /// Whether nothing is to be changed.
    pub fn is_empty(&self) -> bool {
        self.upsert.is_empty() && self.remove.is_empty()
    }

    /// Adds the changes of `other`, so that one revision carries both.
    pub fn merge(mut self, other: Self) -> Self {
        self.upsert.extend(other.upsert);
        self.remove.extend(other.remove);
        self
    }
}

/// Compares the rules with the groups of `fleet` and returns what to change.
///
/// `vms` is the platform's list; it is empty when the list could not be read, and then nothing is
/// concluded from it. `now_unix_ms` is in milliseconds since the Unix epoch.
pub fn plan_groups(
    fleet: &FleetConfig,
    vms: &BTreeMap<VmId, VmState>,
    now_unix_ms: u64,
) -> GroupPlan {
    GroupPlanner::new(fleet, vms, now_unix_ms).plan()
}

/// The planner with optional knowledge about the groups.
///
/// ```
/// use std::collections::BTreeMap;
/// use eelgrassdeal_control::{FleetConfig, GroupPlanner};
///
/// let plan = GroupPlanner::new(&FleetConfig::new(), &BTreeMap::new(), 0).plan();
/// assert!(plan.is_empty());
/// ```
pub struct GroupPlanner<'a> {
    fleet: &'a FleetConfig,
    vms: &'a BTreeMap<VmId, VmState>,
    now_unix_ms: u64,
    unready: BTreeSet<GroupId>,
}

impl<'a> GroupPlanner<'a> {
    /// Plans for `fleet` as [`plan_groups`] does.
    pub fn new(fleet: &'a FleetConfig, vms: &'a BTreeMap<VmId, VmState>, now_unix_ms: u64) -> Self {
        Self { fleet, vms, now_unix_ms, unready: BTreeSet::new() }
    }

    /// Names groups that are known not to be ready. No version is rolled on and no surplus group
    /// given up on their account.
    pub fn with_unready(mut self, groups: impl IntoIterator<Item = GroupId>) -> Self {
        self.unready.extend(groups);
        self
    }

    /// Returns what to change.
    pub fn plan(self) -> GroupPlan {
        PlanPass::new(self.fleet, self.vms, &self.unready, self.now_unix_ms).run()
    }
}
