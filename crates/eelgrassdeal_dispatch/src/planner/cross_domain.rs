//! Groups whose members are in several fabric domains. They are slower than groups within one
//! domain, but can be formed without loading a model.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;

use eelgrassdeal_types::ModelId;

use crate::config::ModelSpec;
use crate::fleet::{FleetView, GroupRecord};

use super::GroupPlanner;
use super::service_context::{DomainModel, ServiceContext, UpstreamRecords};

/// For this time after the start of a group's teardown, as long as its record is marked as being
/// torn down, no cross-domain group of its model is formed, because its members may need the free
/// upstreams of their own domain to form a group there. They are assumed to be released by then; a
/// group that completes its requests may take longer.
const REGROUP_DELAY: Duration = Duration::from_millis(700);

impl GroupPlanner {
    /// Forms cross-domain groups from upstreams that hold a model but are too few for a group
    /// within their domain. Tears down cross-domain groups whose members, together with free
    /// upstreams, now suffice for a group within one domain.
    pub(super) fn plan_cross_domain_groups(
        &mut self,
        view: &FleetView,
        context: &mut ServiceContext<'_>,
    ) {
        let teardown_models: HashSet<ModelId> = view
            .groups
            .values()
            .filter(|group| {
                group.is_closing
                    && self.state.teardown_age(&group.group, context.now) < REGROUP_DELAY
            })
            .map(|group| group.model.clone())
            .collect();
        let reserved_models = self.tear_down_cross_domain_groups(view, context);
        let is_candidate =
            |spec: &&ModelSpec| spec.size > 1 && !teardown_models.contains(&spec.model);
        for spec in context.engine.models.iter().filter(is_candidate) {
            let mut available: UpstreamRecords = context
                .pools
                .iter()
                .filter(|(domain, _)| {
                    !reserved_models.contains(&((*domain).clone(), spec.model.clone()))
                })
                .flat_map(|(_, pool)| self.state.upstreams_holding(pool, &spec.model, context.now))
                .cloned()
                .collect();
            // Sorting keeps the number of domains per group low and its members close to each
            // other.
            available.sort_by_key(|record| (record.data_centre.clone(), record.domain.clone()));
            while available.len() >= spec.size {
                let members: UpstreamRecords = available.drain(..spec.size).collect();
                self.create_group(context, &spec.model, &members);
            }
        }
    }

    /// Tears down cross-domain groups whose members, together with free upstreams, suffice for a
    /// group within one domain. Returns each such domain with the model of that group: the domain's
    /// free upstreams that hold the model are reserved for it.
    fn tear_down_cross_domain_groups(
        &mut self,
        view: &FleetView,
        context: &ServiceContext<'_>,
    ) -> HashSet<DomainModel> {
        let mut reserved_models = HashSet::new();
        let is_cross_domain = |group: &&Arc<GroupRecord>| {
            group.service == *context.service && !group.is_closing && view.is_cross_domain(group)
        };
        let cross_domain_groups: Vec<_> = view.groups.values().filter(is_cross_domain).collect();
        for spec in &context.engine.models {
            let cross_domain_groups: Vec<_> =
                cross_domain_groups.iter().filter(|group| group.model == spec.model).collect();
            for domain in domains_of(view, &cross_domain_groups) {
                let members_in_domain = |group: &GroupRecord| {
                    let members = view.present_members(group).into_iter().flatten();
                    members.filter(|record| record.domain.as_ref() == Some(&domain)).count()
                };
                let free = context.pools.get(&domain).map_or(0, |pool| {
                    self.state.upstreams_holding(pool, &spec.model, context.now).count()
                });
                let grouped: usize =
                    cross_domain_groups.iter().map(|group| members_in_domain(group)).sum();
                if free < spec.size && free + grouped >= spec.size {
                    reserved_models.insert((domain.clone(), spec.model.clone()));
                    for group in
                        cross_domain_groups.iter().filter(|group| members_in_domain(group) > 0)
                    {
                        self.tear_down_group(view, group, context.now);
                    }
                }
            }
        }
        reserved_models
    }
}

/// Fabric domains of all members of `groups`.
fn domains_of(view: &FleetView, groups: &[&&Arc<GroupRecord>]) -> BTreeSet<Arc<str>> {
    groups
        .iter()
        .flat_map(|group| view.present_members(group))
        .flatten()
        .filter_map(|record| record.domain.clone())
        .collect()
}
