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
        let served_models = self.served_models(view);
        let reserved_models = self.tear_down_cross_domain_groups(view, context);
        let is_candidate =
            |spec: &&ModelSpec| spec.size > 1 && !teardown_models.contains(&spec.model);
        for spec in context.engine.models.iter().filter(is_candidate) {
            let mut available: UpstreamRecords = context
                .pools
                .iter()
                .filter(|(domain, _)| {
                    let domain_model = ((*domain).clone(), spec.model.clone());
                    !reserved_models.contains(&domain_model)
                        && !served_models.contains(&domain_model)
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

    /// Before the first client request, forms groups of the models that fit into no domain. Their
    /// members load the model in the group.
    pub(super) fn form_wide_groups(&mut self, context: &mut ServiceContext<'_>) {
        for spec in &context.engine.models {
            if !context.fits_no_domain(spec) {
                continue;
            }
            let mut available = self.wide_group_candidates(context, spec);
            while available.len() >= spec.size {
                let members: UpstreamRecords = available.drain(..spec.size).collect();
                let loads = self.state.count_loads(&members, &spec.model, context.now);
                if !self.may_start_loads(context.engine, loads, false, context.now) {
                    return;
                }
                self.record_loads(&members, spec, false, context.now);
                self.create_group(context, &spec.model, &members);
            }
        }
    }

    /// Free upstreams that hold the model of `spec` or are to load it, with those of one domain and
    /// one data centre next to each other.
    fn wide_group_candidates(
        &self,
        context: &ServiceContext<'_>,
        spec: &ModelSpec,
    ) -> UpstreamRecords {
        let mut candidates = UpstreamRecords::new();
        for (domain, pool) in &context.pools {
            let holders: UpstreamRecords =
                self.state.upstreams_holding(pool, &spec.model, context.now).cloned().collect();
            let missing = context.missing_holders(domain, spec, holders.len());
            let without_model = pool.iter().filter(|record| self.has_no_model(record, context));
            candidates.extend(without_model.take(missing).cloned());
            candidates.extend(holders);
        }
        candidates.sort_by_key(|record| (record.data_centre.clone(), record.domain.clone()));
        candidates
    }

    /// The domains with a group of their own, each with the model of that group. The spares of such
    /// a domain stay there: one of them replaces a lost member of the group within a second, while
    /// in a cross-domain group they would first have to complete its requests.
    fn served_models(&self, view: &FleetView) -> HashSet<DomainModel> {
        let is_kept = |group: &&Arc<GroupRecord>| {
            !self.state.is_torn_down(group) && !view.is_cross_domain(group)
        };
        let groups = view.groups.values().filter(is_kept);
        groups
            .flat_map(|group| {
                domains_of(view, group).into_iter().map(|domain| (domain, group.model.clone()))
            })
            .collect()
    }

    /// For each model, tears down the fewest cross-domain groups whose members in one domain, together
    /// with the free upstreams there, suffice for a group within that domain. Nothing is torn down
    /// while another group of the model is, since their capacity is missing until new groups open.
    /// Returns each such domain with the model: the domain's free upstreams that hold the model are
    /// reserved for the new group.
    fn tear_down_cross_domain_groups(
        &mut self,
        view: &FleetView,
        context: &ServiceContext<'_>,
    ) -> HashSet<DomainModel> {
        let mut reserved_models = HashSet::new();
        let groups: Vec<_> =
            view.groups.values().filter(|group| group.service == *context.service).collect();
        for spec in &context.engine.models {
            let of_model = || groups.iter().filter(|group| group.model == spec.model);
            let closing_domains = of_model()
                .filter(|group| self.state.is_torn_down(group))
                .flat_map(|group| domains_of(view, group));
            let closing_domains: Vec<_> = closing_domains.collect();
            if !closing_domains.is_empty() {
                // Upstreams that are about to be released may complete a group.
                reserved_models
                    .extend(closing_domains.into_iter().map(|domain| (domain, spec.model.clone())));
                continue;
            }
            let cross_domain_groups: Vec<_> =
                of_model().filter(|group| view.is_cross_domain(group)).collect();
            let domains: BTreeSet<_> =
                cross_domain_groups.iter().flat_map(|group| domains_of(view, group)).collect();
            let smallest = domains
                .into_iter()
                .filter_map(|domain| {
                    let free = context.pools.get(&domain).map_or(0, |pool| {
                        self.state.upstreams_holding(pool, &spec.model, context.now).count()
                    });
                    let missing = spec.size.saturating_sub(free);
                    let groups = fewest_groups(view, &cross_domain_groups, &domain, missing)?;
                    Some((groups, domain))
                })
                .min_by_key(|(groups, _)| groups.len());
            if let Some((groups, domain)) = smallest {
                reserved_models.insert((domain, spec.model.clone()));
                for group in groups {
                    self.tear_down_group(view, group, context.now);
                }
            }
        }
        reserved_models
    }
}

/// Fabric domains of the present members of a group.
fn domains_of(view: &FleetView, group: &GroupRecord) -> BTreeSet<Arc<str>> {
    let members = view.present_members(group).into_iter().flatten();
    members.filter_map(|record| record.domain.clone()).collect()
}

/// The fewest of `groups` that together have `missing` members in a fabric domain. `None` if all of
/// them have fewer.
fn fewest_groups<'a>(
    view: &FleetView,
    groups: &[&&'a Arc<GroupRecord>],
    domain: &Arc<str>,
    missing: usize,
) -> Option<Vec<&'a Arc<GroupRecord>>> {
    let mut counted: Vec<_> =
        groups.iter().map(|group| (member_count(view, group, domain), **group)).collect();
    counted.sort_by_key(|(members, _)| std::cmp::Reverse(*members));
    let mut found = 0;
    let mut fewest = Vec::new();
    for (members, group) in counted.into_iter().take_while(|(members, _)| *members > 0) {
        if found >= missing {
            break;
        }
        found += members;
        fewest.push(group);
    }
    (found >= missing && !fewest.is_empty()).then_some(fewest)
}

/// Number of present members of a group in a fabric domain.
fn member_count(view: &FleetView, group: &GroupRecord, domain: &Arc<str>) -> usize {
    let members = view.present_members(group).into_iter().flatten();
    members.filter(|record| record.domain.as_ref() == Some(domain)).count()
}
