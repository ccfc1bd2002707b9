//! Working state for planning the groups of one service: its free upstreams, its groups, and the
//! demand for further groups of each model.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use eelgrassdeal_types::{GroupId, ModelId, ServiceId};

use crate::config::{EngineSpec, ModelSpec};
use crate::fleet::{FleetView, GroupRecord, UpstreamRecord};

use super::domain_split::{DomainContent, DomainSplit};
use super::state::PlannerState;

/// Added to the requests per slot of a model, so that the demand of an idle model does not become 0
/// and the model keeps some spares.
const REQUESTS_PER_SLOT_OFFSET: f64 = 0.2;

/// The weight of a model in the division of the domains is its share of the work to this power. A
/// power above 1 favours the model with most of the work, whose lost groups cost the most requests
/// until they are repaired. The expected capacity leaves that time out.
const WORK_WEIGHT_POWER: f64 = 1.5;

/// Records of several upstreams, such as the free ones of a fabric domain or the members of a new
/// group.
pub(super) type UpstreamRecords = Vec<Arc<UpstreamRecord>>;

/// Key for values that depend on a fabric domain and a model.
pub(super) type DomainModel = (Arc<str>, ModelId);

/// How an upstream would obtain a model when it joins a group, from cheapest to most expensive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum JoinCost {
    /// The upstream reports the model as loaded: the last group that it joined, which may have been
    /// one to warm it up, ran this model.
    Loaded,
    /// The upstream's host has a copy of the weights.
    Staged,
    /// The upstream's host is loading the weights from the weight store.
    Loading,
    /// The weights have yet to be loaded from the weight store.
    Missing,
}

/// Inputs and working state for planning the groups of one service during one call of
/// [`super::GroupPlanner::plan`].
pub(super) struct ServiceContext<'a> {
    pub(super) service: &'a ServiceId,
    pub(super) engine: &'a EngineSpec,
    pub(super) has_traffic: bool,
    pub(super) now: Instant,
    /// Free upstreams by fabric domain, see [`free_pools`].
    pub(super) pools: BTreeMap<Arc<str>, UpstreamRecords>,
    /// Number of groups that are forming or serving, by model.
    group_counts: HashMap<ModelId, usize>,
    /// Requests in progress divided by the slots of all serving groups of a model.
    requests_per_slot: HashMap<ModelId, f64>,
    /// How many upstreams of each domain are to hold each model.
    split: DomainSplit,
    /// Number of upstreams in the largest domain.
    largest_domain: usize,
    /// Number of group members by domain and model.
    grouped_holders: HashMap<DomainModel, usize>,
}

impl<'a> ServiceContext<'a> {
    pub(super) fn new(
        view: &FleetView,
        service: &'a ServiceId,
        engine: &'a EngineSpec,
        state: &PlannerState,
        removed_groups: &HashSet<GroupId>,
        has_traffic: bool,
        now: Instant,
    ) -> Self {
        let mut group_counts = HashMap::new();
        let groups = view.groups.values().filter(|group| group.service == *service);
        for group in groups.filter(|group| !state.is_torn_down(group)) {
            *group_counts.entry(group.model.clone()).or_default() += 1;
        }
        let requests_per_slot = state.requests_per_slot.clone();
        let weight = |spec: &ModelSpec| {
            let load = requests_per_slot.get(&spec.model).copied().unwrap_or(1.0);
            spec.share.powf(WORK_WEIGHT_POWER) * (load + REQUESTS_PER_SLOT_OFFSET)
        };
        let weights: Vec<f64> = engine.models.iter().map(weight).collect();
        let contents = domain_contents(view, service, engine, state, now);
        let split = DomainSplit::new(&contents, engine, &weights);
        Self {
            service,
            engine,
            has_traffic,
            now,
            pools: free_pools(view, service, state, removed_groups, now),
            group_counts,
            requests_per_slot,
            split,
            largest_domain: contents.values().map(DomainContent::size).max().unwrap_or(0),
            grouped_holders: grouped_holders(view, service, removed_groups),
        }
    }

    /// Number of groups of `model` that are forming or serving.
    pub(super) fn group_count(&self, model: &ModelId) -> usize {
        self.group_counts.get(model).copied().unwrap_or(0)
    }

    /// Demand for another group of a model: its configured share of the work, divided by its group
    /// size and by the number of groups that it would have then. This is multiplied by the square
    /// of the sum of its requests per slot and [`REQUESTS_PER_SLOT_OFFSET`]; the square gives the
    /// requests more weight than the number of groups. A model without serving groups counts as
    /// having one request per slot.
    pub(super) fn demand(&self, spec: &ModelSpec) -> f64 {
        let requests_per_slot = self.requests_per_slot.get(&spec.model).copied().unwrap_or(1.0);
        let groups = self.group_count(&spec.model) as f64 + 1.0;
        spec.share / spec.size.max(1) as f64 / groups
            * (requests_per_slot + REQUESTS_PER_SLOT_OFFSET).powi(2)
    }

    /// Whether a group of `spec` needs more upstreams than any domain has.
    pub(super) fn fits_no_domain(&self, spec: &ModelSpec) -> bool {
        spec.size > self.largest_domain
    }

    /// Whether the division of a domain has room for another group of `spec`.
    pub(super) fn wants_group(&self, domain: &Arc<str>, spec: &ModelSpec) -> bool {
        self.missing_holders(domain, spec, 0) >= spec.size
    }

    /// Number of upstreams of `domain` that are still to load the model of `spec`, if `spares` free
    /// upstreams hold or are loading it.
    pub(super) fn missing_holders(
        &self,
        domain: &Arc<str>,
        spec: &ModelSpec,
        spares: usize,
    ) -> usize {
        let key = (domain.clone(), spec.model.clone());
        let grouped = self.grouped_holders.get(&key).copied().unwrap_or(0);
        self.split.wanted(domain, &spec.model).saturating_sub(grouped + spares)
    }

    /// Removes the members of a new group from the pools and counts the group.
    pub(super) fn claim_members(&mut self, model: &ModelId, members: &UpstreamRecords) {
        for pool in self.pools.values_mut() {
            pool.retain(|record| !members.iter().any(|member| member.upstream == record.upstream));
        }
        *self.group_counts.entry(model.clone()).or_default() += 1;
        for domain in members.iter().filter_map(|member| member.domain.clone()) {
            *self.grouped_holders.entry((domain, model.clone())).or_default() += 1;
        }
    }
}

impl PlannerState {
    /// Returns how `record` would obtain `model` when it joins a group.
    pub(super) fn join_cost(
        &self,
        record: &UpstreamRecord,
        model: &ModelId,
        now: Instant,
    ) -> JoinCost {
        match self.loading(&record.upstream, now) {
            _ if record.loaded.as_ref() == Some(model) => JoinCost::Loaded,
            _ if record.staged.contains(model) => JoinCost::Staged,
            Some(loading) if loading == model => JoinCost::Loading,
            _ => JoinCost::Missing,
        }
    }

    /// Upstreams of a pool that can join a group of `model` without a load from the weight store.
    pub(super) fn upstreams_holding<'a>(
        &self,
        pool: &'a UpstreamRecords,
        model: &ModelId,
        now: Instant,
    ) -> impl Iterator<Item = &'a Arc<UpstreamRecord>> {
        pool.iter().filter(move |record| self.join_cost(record, model, now) <= JoinCost::Staged)
    }

    /// Selects the members for a group of `spec` that can obtain the model at the lowest cost.
    /// `None` if the pool has too few upstreams.
    pub(super) fn cheapest_members(
        &self,
        pool: &UpstreamRecords,
        spec: &ModelSpec,
        now: Instant,
    ) -> Option<UpstreamRecords> {
        if pool.len() < spec.size {
            return None;
        }
        let mut sorted = pool.clone();
        sorted.sort_by_key(|record| {
            (self.join_cost(record, &spec.model, now), record.upstream.clone())
        });
        sorted.truncate(spec.size);
        Some(sorted)
    }

    /// Number of `members` that would have to load `model` from the weight store.
    pub(super) fn count_loads(
        &self,
        members: &UpstreamRecords,
        model: &ModelId,
        now: Instant,
    ) -> usize {
        members
            .iter()
            .filter(|record| self.join_cost(record, model, now) == JoinCost::Missing)
            .count()
    }
}

/// Counts the members of the groups that are not in `removed_groups`, by domain and model.
fn grouped_holders(
    view: &FleetView,
    service: &ServiceId,
    removed_groups: &HashSet<GroupId>,
) -> HashMap<DomainModel, usize> {
    let mut holders = HashMap::new();
    let is_counted = |group: &&Arc<GroupRecord>| {
        group.service == *service && !removed_groups.contains(&group.group)
    };
    for group in view.groups.values().filter(is_counted) {
        let members = view.present_members(group).into_iter().flatten();
        for domain in members.filter_map(|record| record.domain.clone()) {
            *holders.entry((domain, group.model.clone())).or_default() += 1;
        }
    }
    holders
}

/// Counts the upstreams of each fabric domain that may serve, by the model that they hold. A member
/// of a group counts as holding the group's model.
fn domain_contents(
    view: &FleetView,
    service: &ServiceId,
    engine: &EngineSpec,
    state: &PlannerState,
    now: Instant,
) -> BTreeMap<Arc<str>, DomainContent> {
    let group_models: HashMap<_, _> = view
        .groups
        .values()
        .flat_map(|group| group.members.iter().map(|(upstream, _)| (upstream, &group.model)))
        .collect();
    let mut contents: BTreeMap<Arc<str>, DomainContent> = BTreeMap::new();
    let may_serve = |record: &&Arc<UpstreamRecord>| {
        record.service == *service
            && view.may_place(record)
            && !state.is_lost(&record.upstream, now)
    };
    for record in view.upstreams.values().filter(may_serve) {
        let Some(domain) = &record.domain else { continue };
        let content = contents.entry(domain.clone()).or_insert_with(|| DomainContent {
            data_centre: record.data_centre.clone(),
            holders: vec![0; engine.models.len()],
            empty: 0,
        });
        let is_held = |spec: &ModelSpec| match group_models.get(&record.upstream) {
            Some(model) => **model == spec.model,
            None => state.join_cost(record, &spec.model, now) < JoinCost::Missing,
        };
        match engine.models.iter().position(is_held) {
            Some(model) => content.holders[model] += 1,
            None => content.empty += 1,
        }
    }
    contents
}

/// Free upstreams of a service, by fabric domain: those that accept work, are not treated as lost,
/// are in no stored group, and do not report membership in a group that has no record, unless that
/// group has ended. Groups in `removed_groups`, whose deletion is part of this draft or was sent
/// recently, count as deleted.
fn free_pools(
    view: &FleetView,
    service: &ServiceId,
    state: &PlannerState,
    removed_groups: &HashSet<GroupId>,
    now: Instant,
) -> BTreeMap<Arc<str>, UpstreamRecords> {
    let grouped = view.grouped_upstreams(|group| !removed_groups.contains(&group.group));
    let mut pools: BTreeMap<Arc<str>, UpstreamRecords> = BTreeMap::new();
    let is_free = |record: &UpstreamRecord| {
        record.service == *service
            && view.may_place(record)
            && !grouped.contains(&(&record.upstream, record.start_time_ms))
            && !state.is_lost(&record.upstream, now)
            && state.unstored_membership(view, record, now).is_none()
    };
    for record in view.upstreams.values().filter(|record| is_free(record)) {
        if let Some(domain) = &record.domain {
            pools.entry(domain.clone()).or_default().push(record.clone());
        }
    }
    pools
}
