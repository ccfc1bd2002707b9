//! Working state for planning the groups of one service: its free upstreams, its groups, and the
//! demand for further groups of each model.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use eelgrassdeal_types::{GroupId, ModelId, ServiceId};

use crate::config::{EngineSpec, ModelSpec};
use crate::fleet::{FleetView, GroupState, UpstreamRecord};

use super::primary_model::{PrimaryModels, primary_models};
use super::state::PlannerState;

/// A domain keeps one spare per this many group members.
const MEMBERS_PER_SPARE: usize = 8;
/// Added to the requests per slot of a model, so that the demand of an idle model does not become 0
/// and the model keeps some spares.
const REQUESTS_PER_SLOT_OFFSET: f64 = 0.2;

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
    primary_models: PrimaryModels,
    /// Number of the service's upstreams in each fabric domain, with or without a group.
    domain_sizes: HashMap<Arc<str>, usize>,
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
        let is_torn_down = |group: &GroupId| state.teardown_since.contains_key(group);
        for group in groups.filter(|group| !group.is_closing && !is_torn_down(&group.group)) {
            *group_counts.entry(group.model.clone()).or_default() += 1;
        }
        let mut domain_sizes = HashMap::new();
        let service_upstreams = view.upstreams.values().filter(|record| record.service == *service);
        for domain in service_upstreams.filter_map(|record| record.domain.clone()) {
            *domain_sizes.entry(domain).or_default() += 1;
        }
        Self {
            service,
            engine,
            has_traffic,
            now,
            pools: free_pools(view, service, state, removed_groups, now),
            group_counts,
            requests_per_slot: state.requests_per_slot.clone(),
            primary_models: primary_models(view, service, engine),
            domain_sizes,
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

    /// Whether `spec` is the primary model of a domain.
    pub(super) fn is_primary(&self, domain: &Arc<str>, spec: &ModelSpec) -> bool {
        self.primary_models.get(domain) == Some(&spec.model)
    }

    /// Number of spares that a domain keeps for groups of its primary model. A group that loses a
    /// member is torn down, and its other members need a spare to form a new group. A loss costs
    /// more the larger the group is, so the number is one per [`MEMBERS_PER_SPARE`] members of all
    /// groups that fit into the domain, not one per group.
    pub(super) fn spare_target(&self, domain: &Arc<str>) -> usize {
        let primary =
            self.primary_models.get(domain).and_then(|primary| self.engine.model(primary));
        let upstreams = self.domain_sizes.get(domain).copied().unwrap_or(0);
        primary.map_or(0, |primary| {
            let size = primary.size.max(1);
            (upstreams / size * size).div_ceil(MEMBERS_PER_SPARE)
        })
    }

    /// Removes the members of a new group from the pools and counts the group.
    pub(super) fn claim_members(&mut self, model: &ModelId, members: &UpstreamRecords) {
        for pool in self.pools.values_mut() {
            pool.retain(|record| !members.iter().any(|member| member.upstream == record.upstream));
        }
        *self.group_counts.entry(model.clone()).or_default() += 1;
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

/// Free upstreams of a service, by fabric domain: those that accept work, are not treated as lost,
/// are in no stored group, and do not report that they are the head of an open or closing group
/// that is not in the store. Groups in `removed_groups`, whose deletion is part of this draft or
/// was sent recently, count as deleted.
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
            && !may_serve_unstored_group(record, removed_groups)
    };
    for record in view.upstreams.values().filter(|record| is_free(record)) {
        if let Some(domain) = &record.domain {
            pools.entry(domain.clone()).or_default().push(record.clone());
        }
    }
    pools
}

/// Whether an upstream that is in no stored group reports that it is the head of an open or closing
/// group. The heads of `removed_groups` have left or terminated, even if their last report does not
/// show it yet.
fn may_serve_unstored_group(record: &UpstreamRecord, removed_groups: &HashSet<GroupId>) -> bool {
    record.membership.as_ref().is_some_and(|membership| {
        matches!(membership.state, GroupState::Open | GroupState::Closing)
            && !removed_groups.contains(&membership.group)
    })
}
