//! Spare VMs and the choice of a fabric domain.

use std::collections::{BTreeMap, BTreeSet};

use eelgrassdeal_platform::VmState;
use eelgrassdeal_schema::config::{GroupRecord, ServeRule};
use eelgrassdeal_types::VmId;

use crate::fleet::FleetConfig;

/// Workers that belong to no group and may take new work.
pub(super) struct SparePool {
    usable: BTreeSet<String>,
    /// Spare VMs of each fabric domain.
    spares: BTreeMap<String, BTreeSet<String>>,
    domains: BTreeMap<String, String>,
}

impl SparePool {
    pub(super) fn new(fleet: &FleetConfig, vms: &BTreeMap<VmId, VmState>) -> Self {
        let is_listed =
            |vm: &str| vms.is_empty() || vms.get(vm).is_some_and(|state| *state == VmState::Live);
        let workers: Vec<_> = fleet.vms().filter(|vm| vm.role == "worker").collect();
        let usable: BTreeSet<String> = workers
            .iter()
            .filter(|vm| vm.state != "leaving" && is_listed(&vm.id))
            .filter(|vm| fleet.vm_loss(&vm.id).is_none())
            .map(|vm| vm.id.clone())
            .collect();
        let domains = workers.iter().map(|vm| (vm.id.clone(), vm.fabric_domain.clone())).collect();
        let grouped: BTreeSet<&str> =
            fleet.groups().flat_map(|group| &group.members).map(String::as_str).collect();
        let mut pool = Self { usable, spares: BTreeMap::new(), domains };
        for vm in workers {
            if !grouped.contains(vm.id.as_str()) && !fleet.is_centre_out(&vm.data_centre) {
                pool.add(&vm.id);
            }
        }
        pool
    }

    /// Members that are lost or leaving.
    pub(super) fn lost_members(&self, group: &GroupRecord) -> Vec<String> {
        group.members.iter().filter(|member| !self.usable.contains(*member)).cloned().collect()
    }

    /// Makes the members of a dissolved group spares.
    pub(super) fn release(&mut self, members: &[String]) {
        for member in members {
            self.add(member);
        }
    }

    /// Takes `count` spares of one domain, or none.
    pub(super) fn take_in_domain(&mut self, domain: &str, count: usize) -> Option<Vec<String>> {
        let spares = self.spares.get_mut(domain).filter(|spares| spares.len() >= count)?;
        Some((0..count).filter_map(|_| spares.pop_first()).collect())
    }

    /// Number of spares of a domain.
    pub(super) fn count(&self, domain: &str) -> usize {
        self.spares.get(domain).map_or(0, BTreeSet::len)
    }

    fn add(&mut self, vm: &str) {
        match self.domains.get(vm) {
            Some(domain) if self.usable.contains(vm) => {
                self.spares.entry(domain.clone()).or_default().insert(vm.to_owned());
            }
            _ => {}
        }
    }
}

/// Chooses the domain for a new group: first the data centre with the fewest groups of the rule,
/// so that one data centre out stops the least, then the domain with the fewest spares that still
/// fits, so that large gaps stay usable.
pub(super) fn choose_domain(
    fleet: &FleetConfig,
    rule: &ServeRule,
    pool: &SparePool,
    size: usize,
) -> Option<String> {
    let is_allowed = |centre: &str| {
        let is_named = rule.data_centres.iter().any(|named| named == centre);
        (rule.data_centres.is_empty() || is_named) && !fleet.is_centre_out(centre)
    };
    let groups_in = |centre: &str| {
        let is_here = |group: &&GroupRecord| group.rule == rule.id && group.data_centre == centre;
        fleet.groups().filter(is_here).count()
    };
    fleet
        .vms()
        .filter(|vm| vm.role == "worker" && is_allowed(&vm.data_centre))
        .filter(|vm| pool.count(&vm.fabric_domain) >= size)
        .min_by_key(|vm| {
            (groups_in(&vm.data_centre), pool.count(&vm.fabric_domain), &vm.fabric_domain)
        })
        .map(|vm| vm.fabric_domain.clone())
}
