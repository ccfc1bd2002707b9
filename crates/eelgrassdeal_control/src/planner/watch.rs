//! Entries about nodes and workers that stopped or started to answer.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{AbsentNode, ConfigEntry, EntryKey};
use eelgrassdeal_types::{NodeId, VmId};

use super::GroupPlan;
use crate::fleet::{EntryKind, FleetConfig};

/// A node whose heartbeat row did not change for this long is absent.
const ABSENT_AFTER: Duration = Duration::from_secs(30);
/// A lost worker counts as back after it has answered for this long.
const BACK_AFTER: Duration = Duration::from_secs(10);
/// Time between two readings above which the rows count as unobserved in between, as in an outage
/// of the store.
const OBSERVE_GAP: Duration = Duration::from_secs(10);

/// Plans the `AbsentNode` entries from the ages of the heartbeats. A node without an age is left
/// as it is; an entry whose node left the register is removed.
pub fn plan_absent_nodes(fleet: &FleetConfig, ages: &BTreeMap<NodeId, Duration>) -> GroupPlan {
    let mut plan = GroupPlan::default();
    let is_entry = |id: &str| fleet.vm(id).is_some_and(|vm| vm.role == "entry");
    let age = |id: &str| ages.get(id).copied();
    for vm in fleet.vms().filter(|vm| vm.role == "entry") {
        let is_lapsed = age(&vm.id).is_some_and(|age| age >= ABSENT_AFTER);
        if is_lapsed && fleet.absent_node(&vm.id).is_none() {
            let body = Body::AbsentNode(AbsentNode { id: vm.id.clone() });
            plan.upsert.push(ConfigEntry { body: Some(body) });
        }
    }
    for node in fleet.absent_nodes() {
        let is_back = age(&node.id).is_some_and(|age| age < ABSENT_AFTER);
        if is_back || !is_entry(&node.id) {
            plan.remove.push(entry_key(EntryKind::AbsentNode, &node.id));
        }
    }
    plan
}

/// Plans the removal of `VmLoss` entries: of VMs that have answered for 10 s, according to
/// `answering`, and of VMs that left the register.
pub fn plan_loss_removals(fleet: &FleetConfig, answering: &BTreeMap<VmId, Duration>) -> GroupPlan {
    let is_over = |id: &str| {
        let is_back = answering.get(id).is_some_and(|time| *time >= BACK_AFTER);
        is_back || fleet.vm(id).is_none()
    };
    let remove = (fleet.vm_losses().filter(|loss| is_over(&loss.id)))
        .map(|loss| entry_key(EntryKind::VmLoss, &loss.id))
        .collect();
    GroupPlan { upsert: Vec::new(), remove }
}

/// Plans the removal of `RequestBan` entries that have expired at `now_unix_ms`.
pub fn plan_ban_removals(fleet: &FleetConfig, now_unix_ms: u64) -> GroupPlan {
    let remove = (fleet.request_bans().filter(|ban| ban.expires_unix_ms <= now_unix_ms))
        .map(|ban| entry_key(EntryKind::RequestBan, &ban.id))
        .collect();
    GroupPlan { upsert: Vec::new(), remove }
}

/// What was last seen of a heartbeat row.
#[derive(Clone, Copy, Debug)]
struct SeenRow {
    version: u64,
    since: Instant,
    /// Whether the row was seen to change, which shows that its node lives.
    has_changed: bool,
}

/// Derives the ages of heartbeats from the versions of their rows, by the clock of this process.
///
/// Time without readings does not count: after an outage of the store every row is old, although
/// the nodes were alive.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatWatch {
    seen: BTreeMap<NodeId, SeenRow>,
    last_reading: Option<Instant>,
}

impl HeartbeatWatch {
    /// Nothing observed yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a successful reading of all rows: the version of each node's row (0 for a node of the
    /// register without a row). Returns the ages for [`plan_absent_nodes`].
    pub fn observe(
        &mut self,
        rows: &BTreeMap<NodeId, u64>,
        now: Instant,
    ) -> BTreeMap<NodeId, Duration> {
        let has_gap = self.last_reading.is_none_or(|last| now.duration_since(last) > OBSERVE_GAP);
        if has_gap {
            self.seen.clear();
        }
        self.last_reading = Some(now);
        self.seen.retain(|node, _| rows.contains_key(node));
        for (node, &version) in rows {
            let has_changed = match self.seen.get(node) {
                Some(row) if row.version == version => continue,
                Some(_) => true,
                None => false,
            };
            self.seen.insert(node.clone(), SeenRow { version, since: now, has_changed });
        }
        let age = |row: &SeenRow| now.duration_since(row.since);
        (self.seen.iter())
            // A row that was only read once does not tell whether its node lives.
            .filter(|(_, row)| row.has_changed || age(row) >= ABSENT_AFTER)
            .map(|(node, row)| (node.clone(), age(row)))
            .collect()
    }
}

fn entry_key(kind: EntryKind, id: &str) -> EntryKey {
    EntryKey { kind: kind.name().to_owned(), id: id.to_owned() }
}
