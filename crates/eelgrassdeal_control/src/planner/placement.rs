//! Spare VMs and the choice of a fabric domain.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use eelgrassdeal_schema::config::{GroupRecord, ServeRule, Vm};
use eelgrassdeal_store::VmState;
use eelgrassdeal_types::VmId;

use crate::fleet::FleetConfig;

/// A data centre and a fabric domain in it.
pub(super) type DomainKey<'a> = (&'a str, &'a str);

/// Workers that belong to no group and may take new work.
pub(super) struct SparePool<'a> {
    workers: HashMap<&'a str, &'a Vm>,
    /// Workers that answer and are not leaving.
    healthy: BTreeSet<&'a str>,
    /// Healthy workers that may join a group: in the platform's list and in a data centre that is in.
    usable: BTreeSet<&'a str>,
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

    /// Members that are lost, leaving, no longer in the register or moved to another domain. A
    /// member that the platform's list lacks is kept while its owner reaches it, because the list
    /// lags.
    pub(super) fn missing_members(&self, group: &GroupRecord) -> Vec<String> {
        let is_fit = |member: &str| {
            self.healthy.contains(member)
                && self.workers.get(member).is_some_and(|vm| {
                    vm.fabric_domain == group.fabric_domain && vm.data_centre == group.data_centre
                })
        };
        group.members.iter().filter(|member| !is_fit(member)).cloned().collect()
    }

    /// Makes the usable ones of `members` spares.
    pub(super) fn release(&mut self, members: &[String]) {
        for member in members {
            let Some((id, vm)) = self.workers.get_key_value(member.as_str()) else { continue };
            if self.usable.contains(id) {
                let key = (vm.data_centre.as_str(), vm.fabric_domain.as_str());
                self.spares.entry(key).or_default().insert(id);
            }
        }
    }

    /// Takes `count` spares of one domain, or none.
    pub(super) fn take(&mut self, domain: (&str, &str), count: usize) -> Option<Vec<String>> {
        let (_, spares) = self.spares.iter_mut().find(|(key, _)| **key == domain)?;
        if spares.len() < count {
            return None;
        }
        Some((0..count).filter_map(|_| spares.pop_first()).map(str::to_owned).collect())
    }

    /// Number of spares of a domain.
    pub(super) fn count(&self, domain: (&str, &str)) -> usize {
        self.spares.get(&domain).map_or(0, BTreeSet::len)
    }

    /// How many of `members` would become spares.
    pub(super) fn count_usable(&self, members: &[String]) -> usize {
        members.iter().filter(|member| self.usable.contains(member.as_str())).count()
    }

    /// Every domain with a usable worker.
    pub(super) fn domains(&self) -> BTreeSet<DomainKey<'a>> {
        let key_of = |id: &&'a str| {
            self.workers.get(id).map(|vm| (vm.data_centre.as_str(), vm.fabric_domain.as_str()))
        };
        self.usable.iter().filter_map(key_of).collect()
    }

    /// Chooses the domain for a new group: first the data centre with the fewest groups of the
    /// rule, so that one data centre out stops the least, then the domain with the fewest spares
    /// that still fits, so that large gaps stay usable.
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

/// Whether the rule may use the data centre.
pub(super) fn is_allowed(rule: &ServeRule, centre: &str) -> bool {
    rule.data_centres.is_empty() || rule.data_centres.iter().any(|named| named == centre)
}
