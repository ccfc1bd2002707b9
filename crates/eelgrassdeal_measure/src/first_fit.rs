//! First-fit planning of groups, the baseline for the group planner.

use std::collections::{BTreeMap, BTreeSet};

use eelgrassdeal_control::{ConfigPlan, EntryKind, FleetConfig};
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{ConfigEntry, EntryKey, GroupRecord, ServeRule, Vm};

/// Removes every group that has lost a member or is in a data centre out of service, without delay,
/// and forms each missing group in the first fabric domain with enough spare VMs.
pub(crate) fn plan_first_fit(fleet: &FleetConfig) -> ConfigPlan {
    let is_usable = |vm: &str| fleet.vm_loss(vm).is_none() && fleet.is_vm_in_service(vm);
    let mut plan = ConfigPlan::default();
    let mut used_vms: BTreeSet<&String> = BTreeSet::new();
    let mut kept_counts: BTreeMap<&str, u32> = BTreeMap::new();
    for group in fleet.groups() {
        if group.members.iter().all(|member| is_usable(member)) {
            used_vms.extend(&group.members);
            *kept_counts.entry(&group.rule).or_default() += 1;
        } else {
            let kind = EntryKind::Group.name().to_owned();
            plan.remove.push(EntryKey { kind, id: group.id.clone() });
        }
    }
    let lacks_groups = |rule: &ServeRule| {
        kept_counts.get(rule.id.as_str()).is_none_or(|count| *count < rule.replicas)
    };
    if !fleet.serve_rules().any(lacks_groups) {
        return plan;
    }
    let mut spare_vms: BTreeMap<&str, Vec<&Vm>> = BTreeMap::new();
    for vm in fleet.vms().filter(|vm| is_usable(&vm.id) && !used_vms.contains(&vm.id)) {
        spare_vms.entry(&vm.fabric_domain).or_default().push(vm);
    }
    for rule in fleet.serve_rules() {
        let size = fleet.model(&rule.model).map_or(1, |model| model.vms_per_replica) as usize;
        for number in kept_counts.get(rule.id.as_str()).copied().unwrap_or(0)..rule.replicas {
            let Some(domain) = spare_vms.values_mut().find(|vms| vms.len() >= size) else { break };
            let members: Vec<&Vm> = domain.drain(..size).collect();
            plan.upsert.push(ConfigEntry {
                body: Some(Body::Group(GroupRecord {
                    id: format!("{}-{}-{number}", rule.id, fleet.revision() + 1),
                    generation: 1,
                    model: rule.model.clone(),
                    version: "1".to_owned(),
                    rule: rule.id.clone(),
                    data_centre: members[0].data_centre.clone(),
                    fabric_domain: members[0].fabric_domain.clone(),
                    members: members.iter().map(|vm| vm.id.clone()).collect(),
                    state: "serving".to_owned(),
                    fencing: 0,
                })),
            });
        }
    }
    plan
}
