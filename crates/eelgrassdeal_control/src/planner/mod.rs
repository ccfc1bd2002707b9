//! Decides which VMs form which groups, and plans other entries that nodes write.

mod change;
mod draft;
mod liveness;
mod pass;
mod placement;

use std::collections::{BTreeMap, BTreeSet};

use eelgrassdeal_schema::config::{ConfigEntry, EntryKey, GroupRecord};
use eelgrassdeal_store::VmState;
use eelgrassdeal_types::{Generation, GroupId, VmId};

use crate::fleet::FleetConfig;
use pass::PlanPass;

pub use change::change_from_plan;
pub use liveness::{HeartbeatTracker, plan_absent_nodes, plan_ban_removals, plan_loss_removals};

/// Changes of the configuration that a planning function asks for. They may concern entries of any
/// kind that nodes write, not only groups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigPlan {
    /// Entries to write. [`change_from_plan`] fills in the fencing number of groups.
    pub upsert: Vec<ConfigEntry>,
    /// Entries to remove.
    pub remove: Vec<EntryKey>,
}

impl ConfigPlan {
    /// Whether the plan contains no change.
    pub fn is_empty(&self) -> bool {
        self.upsert.is_empty() && self.remove.is_empty()
    }

    /// Adds the changes of `other`, so that both can be written in one revision.
    pub fn merge(mut self, other: Self) -> Self {
        self.upsert.extend(other.upsert);
        self.remove.extend(other.remove);
        self
    }
}

/// Compares the serve rules with the groups of `fleet` and returns the changes of groups that the
/// rules require.
///
/// `vms` is the platform's list of VMs. It is empty if the list could not be read; no VM is then
/// considered absent or leaving because of the list. `now_unix_ms` is in milliseconds since the
/// Unix epoch.
pub fn plan_groups(
    fleet: &FleetConfig,
    vms: &BTreeMap<VmId, VmState>,
    now_unix_ms: u64,
) -> ConfigPlan {
    GroupPlanner::new(fleet, vms, now_unix_ms).plan()
}

/// Readiness of groups, as set with [`GroupPlanner::with_ready`] and
/// [`GroupPlanner::with_unready`]. The configuration does not contain it.
#[derive(Clone, Debug, Default)]
struct GroupReadiness {
    ready: BTreeSet<(GroupId, Generation)>,
    unready: BTreeSet<GroupId>,
}

impl GroupReadiness {
    /// Whether the group is ready under its current generation; `None` if that is not known.
    fn is_ready(&self, group: &GroupRecord) -> Option<bool> {
        let is_ready = self.ready.contains(&(group.id.as_str().into(), group.generation));
        match self.unready.contains(group.id.as_str()) {
            true => Some(false),
            false => is_ready.then_some(true),
        }
    }
}

/// Plans groups like [`plan_groups`], optionally with knowledge about their readiness.
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
    /// Creates a planner without knowledge about readiness. The arguments are those of
    /// [`plan_groups`].
    pub fn new(fleet: &'a FleetConfig, vms: &'a BTreeMap<VmId, VmState>, now_unix_ms: u64) -> Self {
        Self { fleet, vms, now_unix_ms, readiness: GroupReadiness::default() }
    }

    /// Sets groups that are known not to be ready. The planner does not count on them when it
    /// decides whether a rolling update may continue or a surplus group may be removed.
    pub fn with_unready(mut self, groups: impl IntoIterator<Item = GroupId>) -> Self {
        self.readiness.unready.extend(groups);
        self
    }

    /// Sets groups of which every member reports that it is ready under the given generation. They
    /// count as ready immediately. Other groups count as ready after the time that loading their
    /// weights may take, which is a conservative estimate (24 min for weights of 700 GB).
    pub fn with_ready(mut self, groups: impl IntoIterator<Item = (GroupId, Generation)>) -> Self {
        self.readiness.ready.extend(groups);
        self
    }

    /// Runs one planning pass and returns the changes.
    pub fn plan(self) -> ConfigPlan {
        PlanPass::new(self.fleet, self.vms, &self.readiness, self.now_unix_ms).run()
    }
}
