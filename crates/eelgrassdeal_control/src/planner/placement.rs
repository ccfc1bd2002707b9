//! Spare workers and the choice of a fabric domain for a new group.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use eelgrassdeal_schema::config::{GroupRecord, ServeRule, Vm};
use eelgrassdeal_store::VmState;
use eelgrassdeal_types::VmId;

use crate::fleet::FleetConfig;

/// A data centre and a fabric domain in it.
pub(super) type DomainKey<'a> = (&'a str, &'a str);

/// Spare workers of each fabric domain: healthy workers that belong to no group and may join one.
pub(super) struct SparePool<'a> {
    /// All workers in the register, by id.
    workers: HashMap<&'a str, &'a Vm>,
    /// Workers that are neither lost nor leaving.
    healthy: BTreeSet<&'a str>,
    /// Healthy workers that may join a group: they are in the platform's list, and their data
    /// centre is not out of service.
    usable: BTreeSet<&'a str>,
    /// Usable workers that belong to no group, by domain.
    spares: BTreeMap<DomainKey<'a>, BTreeSet<&'a str>>,
}

impl<'a> SparePool<'a> {
    pub(super) fn new(fleet: &'a FleetConfig, vms: &BTreeMap<VmId, VmState>) -> Self {
        let lost: BTreeSet<&str> = fleet.vm_losses().map(|loss| loss.id.as_str()).collect();
        let out: BTreeSet<&str> = (fleet.data_centres().filter(|centre| centre.state == "out"))
            .map(|centre| centre.id.as_str())
            .collect();
        let grouped: BTreeSet<&str> =
            fleet.groups().flat_map(|group| &group.members).map(String::as_str).collect();
        let workers: HashMap<&str, &Vm> =
            (fleet.vms().filter(|vm| vm.role == "worker")).map(|vm| (vm.id.as_str(), vm)).collect();
        let mut pool = Self {
            workers,
            healthy: BTreeSet::new(),
            usable: BTreeSet::new(),
            spares: BTreeMap::new(),
        };
        for vm in fleet.vms().filter(|vm| vm.role == "worker") {
            let id = vm.id.as_str();
            let listed = vms.get(id);
            let is_leaving = vm.state == "leaving" || listed == Some(&VmState::Leaving);
            if is_leaving || lost.contains(id) {
                continue;
            }
            pool.healthy.insert(id);
            let is_listed = vms.is_empty() || listed.is_some();
            if is_listed && !out.contains(vm.data_centre.as_str()) {
                pool.usable.insert(id);
                if !grouped.contains(id) {
                    pool.release(std::slice::from_ref(&vm.id));
                }
            }
        }
        pool
    }

    /// Members that must be replaced: those that are lost, leaving, not in the register, or
    /// registered in another domain than the group's. A member that is not in the platform's list
    /// stays as long as it is not marked as lost, because the list lags. The mark is written by the
    /// owner of the group, which is the node that probes its members.
    pub(super) fn unfit_members(&self, group: &GroupRecord) -> Vec<String> {
        let is_fit = |member: &str| {
            self.healthy.contains(member)
                && self.workers.get(member).is_some_and(|vm| {
                    vm.fabric_domain == group.fabric_domain && vm.data_centre == group.data_centre
                })
        };
        group.members.iter().filter(|member| !is_fit(member)).cloned().collect()
    }

    /// Adds those of `members` that are usable to the spares.
    pub(super) fn release(&mut self, members: &[String]) {
        for member in members {
            let Some((id, vm)) = self.workers.get_key_value(member.as_str()) else { continue };
            if self.usable.contains(id) {
                let key = (vm.data_centre.as_str(), vm.fabric_domain.as_str());
                self.spares.entry(key).or_default().insert(id);
            }
        }
    }

    /// Removes `count` spares of a domain from the pool and returns them. Returns `None`, and
    /// removes nothing, if the domain has fewer.
    pub(super) fn take(&mut self, domain: (&str, &str), count: usize) -> Option<Vec<String>> {
        let (_, spares) = self.spares.iter_mut().find(|(key, _)| **key == domain)?;
        if spares.len() < count {
            return None;
        }
        Some((0..count).filter_map(|_| spares.pop_first()).map(str::to_owned).collect())
    }

    /// Number of spares in a domain.
    pub(super) fn count(&self, domain: (&str, &str)) -> usize {
        self.spares.get(&domain).map_or(0, BTreeSet::len)
    }

    /// Number of `members` that would become spares if their group were torn down.
    pub(super) fn count_usable(&self, members: &[String]) -> usize {
        members.iter().filter(|member| self.usable.contains(member.as_str())).count()
    }

    /// All domains that have a usable worker.
    pub(super) fn domains(&self) -> BTreeSet<DomainKey<'a>> {
        let key_of = |id: &&'a str| {
            self.workers.get(id).map(|vm| (vm.data_centre.as_str(), vm.fabric_domain.as_str()))
        };
        self.usable.iter().filter_map(key_of).collect()
    }

    /// Chooses the domain for a new group of `size` members. Prefers the data centre with the
    /// fewest groups of the rule, which limits the effect of an outage of a data centre, and then
    /// the domain with the fewest spares that suffice (best fit), so that domains with many spares
    /// remain available for large groups.
    pub(super) fn choose_domain(
        &self,
        rule: &ServeRule,
        size: usize,
        groups_in: impl Fn(&str) -> usize,
    ) -> Option<DomainKey<'a>> {
        self.spares
            .iter()
            .filter(|((centre, _), spares)| spares.len() >= size && is_allowed(rule, centre))
            .min_by_key(|((centre, domain), spares)| (groups_in(centre), spares.len(), *domain))
            .map(|(key, _)| *key)
    }
}

/// Whether the rule permits groups in the data centre.
pub(super) fn is_allowed(rule: &ServeRule, centre: &str) -> bool {
    rule.data_centres.is_empty() || rule.data_centres.iter().any(|named| named == centre)
}
