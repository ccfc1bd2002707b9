//! Decides which VMs form which groups.

mod placement;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrassdeal_platform::VmState;
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{ConfigEntry, EntryKey, GroupRecord, Model, ServeRule};
use eelgrassdeal_types::VmId;

use crate::fleet::{EntryKind, FleetConfig};
use placement::{SparePool, choose_domain};

/// A group that lacks a member and finds no spare is dissolved after this time, so that its other
/// VMs can serve elsewhere.
const DISSOLVE_AFTER: Duration = Duration::from_secs(30);
/// Time that a group in a taken-out data centre stays formed, where the rule names none.
const DEFAULT_REBUILD_AFTER: Duration = Duration::from_secs(600);

const SERVING: &str = "serving";

/// Changes that a planning pass asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupPlan {
    /// Groups to write. The fencing number is filled in with the revision.
    pub upsert: Vec<ConfigEntry>,
    /// Groups to remove.
    pub remove: Vec<EntryKey>,
}

impl GroupPlan {
    /// Whether nothing is to be changed.
    pub fn is_empty(&self) -> bool {
        self.upsert.is_empty() && self.remove.is_empty()
    }
}

/// Compares the rules with the groups of `fleet` and returns what to change.
///
/// `vms` is the platform's list; it is empty when the list could not be read, and then nothing is
/// concluded from it.
pub fn plan_groups(
    fleet: &FleetConfig,
    vms: &BTreeMap<VmId, VmState>,
    now_unix_ms: u64,
) -> GroupPlan {
    let mut plan = GroupPlan::default();
    let mut pool = SparePool::new(fleet, vms);
    let mut rules: Vec<&ServeRule> = fleet.serve_rules().collect();
    rules.sort_by_key(|rule| (rule.priority, &rule.id));
    let rule_ids: BTreeSet<&str> = rules.iter().map(|rule| rule.id.as_str()).collect();

    for group in fleet.groups().filter(|group| !rule_ids.contains(group.rule.as_str())) {
        pool.release(&group.members);
        plan.remove.push(group_key(group));
    }
    for rule in rules {
        if let Some(model) = fleet.model(&rule.model) {
            plan_rule(fleet, rule, model, now_unix_ms, &mut pool, &mut plan);
        }
    }
    plan
}

fn plan_rule(
    fleet: &FleetConfig,
    rule: &ServeRule,
    model: &Model,
    now_unix_ms: u64,
    pool: &mut SparePool,
    plan: &mut GroupPlan,
) {
    let mut kept = 0;
    for group in fleet.groups().filter(|group| group.rule == rule.id) {
        let is_out = fleet.is_centre_out(&group.data_centre);
        let is_fitting = group.model == model.id
            && group.members.len() == model.vms_per_replica as usize
            && group.version == model.version;
        match pool.lost_members(group) {
            _ if kept >= rule.replicas || !is_fitting => {
                pool.release(&group.members);
                plan.remove.push(group_key(group));
            }
            // The group stays formed and loaded, so that a return needs no transfer.
            _ if is_out => {
                if !is_rebuild_due(fleet, rule, group, now_unix_ms) {
                    kept += 1;
                }
            }
            lost if lost.is_empty() => kept += 1,
            lost => match pool.take_in_domain(&group.fabric_domain, lost.len()) {
                Some(spares) => {
                    let record = replace_members(group, &lost, &spares);
                    plan.upsert.push(group_entry(record));
                    kept += 1;
                }
                None if is_dissolve_due(fleet, &lost, now_unix_ms) => {
                    pool.release(&group.members);
                    plan.remove.push(group_key(group));
                }
                None => kept += 1,
            },
        }
    }
    let mut taken_ids: BTreeSet<String> = fleet.groups().map(|group| group.id.clone()).collect();
    for _ in kept..rule.replicas {
        let size = model.vms_per_replica as usize;
        let Some(domain) = choose_domain(fleet, rule, pool, size) else { return };
        let Some(members) = pool.take_in_domain(&domain, size) else { return };
        let id = free_id(&rule.id, &taken_ids);
        taken_ids.insert(id.clone());
        let data_centre =
            fleet.vm(&members[0]).map(|vm| vm.data_centre.clone()).unwrap_or_default();
        plan.upsert.push(group_entry(GroupRecord {
            id,
            generation: 1,
            model: model.id.clone(),
            version: model.version.clone(),
            rule: rule.id.clone(),
            data_centre,
            fabric_domain: domain,
            members,
            state: SERVING.to_owned(),
            fencing: 0,
        }));
    }
}

fn is_rebuild_due(
    fleet: &FleetConfig,
    rule: &ServeRule,
    group: &GroupRecord,
    now_unix_ms: u64,
) -> bool {
    let wait_ms = match rule.rebuild_after_ms {
        0 => DEFAULT_REBUILD_AFTER.as_millis() as u64,
        wait_ms => wait_ms,
    };
    fleet
        .changed_unix_ms(EntryKind::DataCentre, &group.data_centre)
        .is_some_and(|since| now_unix_ms >= since + wait_ms)
}

fn is_dissolve_due(fleet: &FleetConfig, lost: &[String], now_unix_ms: u64) -> bool {
    lost.iter().any(|vm| {
        fleet.vm_loss(vm).is_none_or(|loss| {
            now_unix_ms >= loss.since_unix_ms + DISSOLVE_AFTER.as_millis() as u64
        })
    })
}

/// Puts each spare at the rank of a lost member, so that the others keep their rank and weights.
fn replace_members(group: &GroupRecord, lost: &[String], spares: &[String]) -> GroupRecord {
    let mut spares = spares.iter();
    let members = group
        .members
        .iter()
        .map(|member| match lost.contains(member) {
            true => spares.next().unwrap_or(member).clone(),
            false => member.clone(),
        })
        .collect();
    GroupRecord { generation: group.generation + 1, members, ..group.clone() }
}

fn group_entry(group: GroupRecord) -> ConfigEntry {
    ConfigEntry { body: Some(Body::Group(group)) }
}

fn group_key(group: &GroupRecord) -> EntryKey {
    EntryKey { kind: EntryKind::Group.name().to_owned(), id: group.id.clone() }
}

fn free_id(rule: &str, taken: &BTreeSet<String>) -> String {
    let ids = (1..).map(|number: u32| format!("{rule}-{number}"));
    ids.into_iter().find(|id| !taken.contains(id)).unwrap_or_default()
}
