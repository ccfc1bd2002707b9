//! Plans the entries that mark absent nodes, and the removal of entries about recovered workers and
//! of expired bans.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{AbsentNode, ConfigEntry, EntryKey};
use eelgrassdeal_types::{NodeId, VmId};

use super::ConfigPlan;
use crate::fleet::{EntryKind, FleetConfig};

/// Time without a change of its heartbeat row after which a node counts as absent.
const ABSENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a lost worker must have answered probes without interruption before its `VmLoss`
/// entry is removed.
const RECOVERY_DURATION: Duration = Duration::from_secs(10);
/// Longest time between two reads of the heartbeat rows. After a longer time, such as an outage of
/// the store, the earlier observations are discarded.
const MAX_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Plans additions and removals of `AbsentNode` entries. `ages` contains the time since the last
/// heartbeat of each node; a node without an age keeps its entry if it has one, and gets none
/// otherwise. Entries of nodes that are not in the register are removed.
pub fn plan_absent_nodes(fleet: &FleetConfig, ages: &BTreeMap<NodeId, Duration>) -> ConfigPlan {
    let mut plan = ConfigPlan::default();
    let is_entry_node = |id: &str| fleet.vm(id).is_some_and(|vm| vm.role == "entry");
    let age = |id: &str| ages.get(id).copied();
    for vm in fleet.vms().filter(|vm| vm.role == "entry") {
        let is_expired = age(&vm.id).is_some_and(|age| age >= ABSENT_TIMEOUT);
        if is_expired && fleet.absent_node(&vm.id).is_none() {
            let body = Body::AbsentNode(AbsentNode { id: vm.id.clone() });
            plan.upsert.push(ConfigEntry { body: Some(body) });
        }
    }
    for node in fleet.absent_nodes() {
        let is_alive = age(&node.id).is_some_and(|age| age < ABSENT_TIMEOUT);
        if is_alive || !is_entry_node(&node.id) {
            plan.remove.push(removal_key(EntryKind::AbsentNode, &node.id));
        }
    }
    plan
}

/// Plans the removal of the `VmLoss` entries of VMs that have answered the probes of the planner's
/// node for at least 10 s without interruption and of VMs that are not in the register.
/// `answering_times` contains the time for which each lost VM has answered.
pub fn plan_loss_removals(
    fleet: &FleetConfig,
    answering_times: &BTreeMap<VmId, Duration>,
) -> ConfigPlan {
    let is_over = |id: &str| {
        let has_recovered = answering_times.get(id).is_some_and(|time| *time >= RECOVERY_DURATION);
        has_recovered || fleet.vm(id).is_none()
    };
    let remove = (fleet.vm_losses().filter(|loss| is_over(&loss.id)))
        .map(|loss| removal_key(EntryKind::VmLoss, &loss.id))
        .collect();
    ConfigPlan { upsert: Vec::new(), remove }
}

/// Plans the removal of `RequestBan` entries that have expired at `now_unix_ms`.
pub fn plan_ban_removals(fleet: &FleetConfig, now_unix_ms: u64) -> ConfigPlan {
    let remove = (fleet.request_bans().filter(|ban| ban.expires_unix_ms <= now_unix_ms))
        .map(|ban| removal_key(EntryKind::RequestBan, &ban.id))
        .collect();
    ConfigPlan { upsert: Vec::new(), remove }
}

/// State of a heartbeat row at the last read.
#[derive(Clone, Copy, Debug)]
struct ObservedRow {
    version: u64,
    /// Time of the read that first returned this version.
    unchanged_since: Instant,
    /// Whether the row changed between two reads, which shows that its node was alive.
    has_changed: bool,
}

/// Measures the ages of the nodes' heartbeats with the clock of this process, from the times at
/// which the versions of their rows change.
///
/// Time in which the rows are not read does not count: after an outage of the store every row is
/// old, although its node may have been alive throughout.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatTracker {
    observed: BTreeMap<NodeId, ObservedRow>,
    last_read: Option<Instant>,
}

impl HeartbeatTracker {
    /// Creates a tracker without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a successful read of all heartbeat rows. `rows` contains the version of each node's
    /// row, or 0 for a registered node without a row. Returns the ages for [`plan_absent_nodes`]; a
    /// node has no age until its row has changed or has stayed the same for 30 s.
    pub fn observe(
        &mut self,
        rows: &BTreeMap<NodeId, u64>,
        now: Instant,
    ) -> BTreeMap<NodeId, Duration> {
        let was_interrupted =
            self.last_read.is_none_or(|last| now.duration_since(last) > MAX_READ_INTERVAL);
        if was_interrupted {
            self.observed.clear();
        }
        self.last_read = Some(now);
        self.observed.retain(|node, _| rows.contains_key(node));
        for (node, &version) in rows {
            let has_changed = match self.observed.get(node) {
                Some(row) if row.version == version => continue,
                Some(_) => true,
                None => false,
            };
            self.observed
                .insert(node.clone(), ObservedRow { version, unchanged_since: now, has_changed });
        }
        let age = |row: &ObservedRow| now.duration_since(row.unchanged_since);
        (self.observed.iter())
            // Until the first change of a row or the timeout, it is unknown whether its node is
            // alive.
            .filter(|(_, row)| row.has_changed || age(row) >= ABSENT_TIMEOUT)
            .map(|(node, row)| (node.clone(), age(row)))
            .collect()
    }
}

/// Builds the key of an entry to remove.
fn removal_key(kind: EntryKind, id: &str) -> EntryKey {
    EntryKey { kind: kind.name().to_owned(), id: id.to_owned() }
}
