//! Decides which VMs form which groups.

mod change;
mod draft;
mod pass;
mod placement;
mod watch;

use std::collections::{BTreeMap, BTreeSet};

use eelgrassdeal_schema::config::{ConfigEntry, EntryKey, GroupRecord};
use eelgrassdeal_store::VmState;
use eelgrassdeal_types::{Generation, GroupId, VmId};

use crate::fleet::FleetConfig;
use pass::PlanPass;

pub use change::plan_change;
pub use watch::{HeartbeatWatch, plan_absent_nodes, plan_ban_removals, plan_loss_removals};

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

/// What the caller knows about groups beside the configuration.
#[derive(Clone, Debug, Default)]
struct GroupReadiness {
    ready: BTreeSet<(GroupId, Generation)>,
    unready: BTreeSet<GroupId>,
}

impl GroupReadiness {
    /// `None` for a group about which nothing is known.
    fn of(&self, group: &GroupRecord) -> Option<bool> {
        let is_ready = self.ready.contains(&(group.id.as_str().into(), group.generation));
        match self.unready.contains(group.id.as_str()) {
            true => Some(false),
            false => is_ready.then_some(true),
        }
    }
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
    readiness: GroupReadiness,
}

impl<'a> GroupPlanner<'a> {
    /// Plans for `fleet` as [`plan_groups`] does.
    pub fn new(fleet: &'a FleetConfig, vms: &'a BTreeMap<VmId, VmState>, now_unix_ms: u64) -> Self {
        Self { fleet, vms, now_unix_ms, readiness: GroupReadiness::default() }
    }

    /// Names groups that are known not to be ready. No version is rolled on and no surplus group
    /// given up on their account.
    pub fn with_unready(mut self, groups: impl IntoIterator<Item = GroupId>) -> Self {
        self.readiness.unready.extend(groups);
        self
    }

    /// Names groups of which every member reports ready under this generation. They count as
    /// settled at once; other groups do so after the time that their load may take, which is a
    /// cautious guess (24 min for weights of 700 GB).
    pub fn with_ready(mut self, groups: impl IntoIterator<Item = (GroupId, Generation)>) -> Self {
        self.readiness.ready.extend(groups);
        self
    }

    /// Returns what to change.
    pub fn plan(self) -> GroupPlan {
        PlanPass::new(self.fleet, self.vms, &self.readiness, self.now_unix_ms).run()
    }
}
