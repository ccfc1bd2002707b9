//! Groups across fabric domains: slow, but formed without a load.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;

use eelgrassdeal_types::ModelId;

use crate::config::ModelSpec;
use crate::fleet::{FleetView, GroupRecord};

use super::GroupPlanner;
use super::layout::{DomainModel, DomainPool, FormPlan};

/// A group that is taken apart sets its members free within this time. Until then no group across
/// domains is formed, which the domain of these members might need.
const REGROUP_TIME: Duration = Duration::from_millis(700);

impl GroupPlanner {
    /// Forms groups across domains from upstreams that hold a model and complete no group of their
    /// own domain, and dissolves those whose members do by now.
    pub(super) fn plan_far_groups(&mut self, view: &FleetView, plan: &mut FormPlan<'_>) {
        let closing: HashSet<ModelId> = view
            .groups
            .values()
            .filter(|group| {
                group.is_closing && self.memory.closing_age(&group.group, plan.now) < REGROUP_TIME
            })
            .map(|group| group.model.clone())
            .collect();
        let due = self.dissolve_far_groups(view, plan);
        let is_candidate = |spec: &&ModelSpec| spec.size > 1 && !closing.contains(&spec.model);
        for spec in plan.engine.models.iter().filter(is_candidate) {
            let mut holders: DomainPool = plan
                .pools
                .iter()
                .filter(|(domain, _)| !due.contains(&((*domain).clone(), spec.model.clone())))
                .flat_map(|(_, pool)| self.memory.holders(pool, &spec.model, plan.now))
                .cloned()
                .collect();
            // Fewer domains, and members close to each other.
            holders.sort_by_key(|record| (record.data_centre.clone(), record.domain.clone()));
            while holders.len() >= spec.size {
                let members: DomainPool = holders.drain(..spec.size).collect();
                self.create_group(plan, &spec.model, &members);
            }
        }
    }

    /// Takes groups across domains apart whose members complete a group of one domain. Returns the
    /// domains and models for which that is so.
    fn dissolve_far_groups(
        &mut self,
        view: &FleetView,
        plan: &FormPlan<'_>,
    ) -> HashSet<DomainModel> {
        let mut due = HashSet::new();
        let is_far = |group: &&Arc<GroupRecord>| {
            group.service == *plan.service && !group.is_closing && view.is_far(group)
        };
        let far: Vec<_> = view.groups.values().filter(is_far).collect();
        for spec in &plan.engine.models {
            let far: Vec<_> = far.iter().filter(|group| group.model == spec.model).collect();
            for domain in domains_of(view, &far) {
                let in_domain = |group: &GroupRecord| {
                    let members = view.present_members(group).into_iter().flatten();
                    members.filter(|record| record.domain.as_ref() == Some(&domain)).count()
                };
                let free = plan
                    .pools
                    .get(&domain)
                    .map_or(0, |pool| self.memory.holders(pool, &spec.model, plan.now).count());
                let held: usize = far.iter().map(|group| in_domain(group)).sum();
                if free < spec.size && free + held >= spec.size {
                    due.insert((domain.clone(), spec.model.clone()));
                    for group in far.iter().filter(|group| in_domain(group) > 0) {
                        self.dismantle(view, group, plan.now);
                    }
                }
            }
        }
        due
    }
}

/// Domains of the members of `groups`.
fn domains_of(view: &FleetView, groups: &[&&Arc<GroupRecord>]) -> BTreeSet<Arc<str>> {
    groups
        .iter()
        .flat_map(|group| view.present_members(group))
        .flatten()
        .filter_map(|record| record.domain.clone())
        .collect()
}
