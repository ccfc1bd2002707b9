//! What a plan starts from: free upstreams, groups, and how many groups each model should have.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use eelgrassdeal_types::{GroupId, ModelId, ServiceId};

use crate::config::{EngineSpec, ModelSpec};
use crate::fleet::{FleetView, GroupState, UpstreamRecord};

use super::home::{HomeModels, home_models};
use super::memory::PlannerMemory;

/// Members of groups for each spare that a domain keeps for them.
const MEMBERS_PER_SPARE: usize = 8;
/// Added to the fullness of a model, so that an idle one keeps some spares.
const IDLE_FULLNESS: f64 = 0.2;

/// Upstreams of one fabric domain that are in no group.
pub(super) type DomainPool = Vec<Arc<UpstreamRecord>>;

/// A fabric domain and a model.
pub(super) type DomainModel = (Arc<str>, ModelId);

/// How an upstream would get a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum JoinCost {
    /// It was a member of a group of the model last.
    Loaded,
    /// Its host holds the model.
    Staged,
    /// Its host is loading the model.
    Loading,
    /// The weight store has to send the model.
    Missing,
}

/// State of one service while its groups are planned.
pub(super) struct FormPlan<'a> {
    pub(super) service: &'a ServiceId,
    pub(super) engine: &'a EngineSpec,
    pub(super) has_traffic: bool,
    pub(super) now: Instant,
    /// Upstreams in no group, by domain.
    pub(super) pools: BTreeMap<Arc<str>, DomainPool>,
    /// Groups by model that serve or form.
    counts: HashMap<ModelId, usize>,
    /// Requests for each slot of the groups of a model.
    fullness: HashMap<ModelId, f64>,
    homes: HomeModels,
    /// Upstreams of the service in each domain.
    sizes: HashMap<Arc<str>, usize>,
}

impl<'a> FormPlan<'a> {
    pub(super) fn new(
        view: &FleetView,
        service: &'a ServiceId,
        engine: &'a EngineSpec,
        memory: &PlannerMemory,
        removed: &HashSet<GroupId>,
        has_traffic: bool,
        now: Instant,
    ) -> Self {
        let mut counts = HashMap::new();
        let groups = view.groups.values().filter(|group| group.service == *service);
        let is_ending = |group: &GroupId| memory.closing_since.contains_key(group);
        for group in groups.filter(|group| !group.is_closing && !is_ending(&group.group)) {
            *counts.entry(group.model.clone()).or_default() += 1;
        }
        let mut sizes = HashMap::new();
        let known = view.upstreams.values().filter(|record| record.service == *service);
        for domain in known.filter_map(|record| record.domain.clone()) {
            *sizes.entry(domain).or_default() += 1;
        }
        Self {
            service,
            engine,
            has_traffic,
            now,
            pools: free_pools(view, service, memory, removed, now),
            counts,
            fullness: memory.pressure.clone(),
            homes: home_models(view, service, engine),
            sizes,
        }
    }

    /// Groups of a model that serve or form.
    pub(super) fn count(&self, model: &ModelId) -> usize {
        self.counts.get(model).copied().unwrap_or(0)
    }

    /// How much a model lacks groups: its share of the work for each group that it would have, and
    /// more while its groups are fuller than others.
    pub(super) fn need(&self, spec: &ModelSpec) -> f64 {
        let fullness = self.fullness.get(&spec.model).copied().unwrap_or(1.0);
        let groups = self.count(&spec.model) as f64 + 1.0;
        spec.share / spec.size.max(1) as f64 / groups * (fullness + IDLE_FULLNESS).powi(2)
    }

    /// Whether `spec` is the home model of a domain.
    pub(super) fn is_home(&self, domain: &Arc<str>, spec: &ModelSpec) -> bool {
        self.homes.get(domain) == Some(&spec.model)
    }

    /// Spares that a domain keeps for groups of its home model. A member that is lost costs its
    /// whole group where no spare takes its place, so that large groups are worth more spares.
    pub(super) fn reserve(&self, domain: &Arc<str>) -> usize {
        let home = self.homes.get(domain).and_then(|home| self.engine.model(home));
        let upstreams = self.sizes.get(domain).copied().unwrap_or(0);
        home.map_or(0, |home| {
            let size = home.size.max(1);
            (upstreams / size * size).div_ceil(MEMBERS_PER_SPARE)
        })
    }

    /// Takes the members of a new group out of the pools, and counts the group.
    pub(super) fn take(&mut self, model: &ModelId, members: &DomainPool) {
        for pool in self.pools.values_mut() {
            pool.retain(|record| !members.iter().any(|member| member.upstream == record.upstream));
        }
        *self.counts.entry(model.clone()).or_default() += 1;
    }
}

impl PlannerMemory {
    /// How an upstream would get `model`.
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

    /// Upstreams of a pool that can join a group of `model` without a load.
    pub(super) fn holders<'a>(
        &self,
        pool: &'a DomainPool,
        model: &ModelId,
        now: Instant,
    ) -> impl Iterator<Item = &'a Arc<UpstreamRecord>> {
        pool.iter().filter(move |record| self.join_cost(record, model, now) <= JoinCost::Staged)
    }

    /// Members for a group of `spec` that get the model soonest.
    pub(super) fn cheapest_members(
        &self,
        pool: &DomainPool,
        spec: &ModelSpec,
        now: Instant,
    ) -> Option<DomainPool> {
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

    pub(super) fn count_loads(&self, members: &DomainPool, model: &ModelId, now: Instant) -> usize {
        members
            .iter()
            .filter(|record| self.join_cost(record, model, now) == JoinCost::Missing)
            .count()
    }
}

/// Upstreams of a service that are ready and in no group, by domain. The members of `removed` groups
/// are free with the writes of this plan.
fn free_pools(
    view: &FleetView,
    service: &ServiceId,
    memory: &PlannerMemory,
    removed: &HashSet<GroupId>,
    now: Instant,
) -> BTreeMap<Arc<str>, DomainPool> {
    let grouped = view.grouped_upstreams(|group| !removed.contains(&group.group));
    let mut pools: BTreeMap<Arc<str>, DomainPool> = BTreeMap::new();
    let is_free = |record: &UpstreamRecord| {
        record.service == *service
            && view.may_place(record)
            && !grouped.contains(&(&record.upstream, record.born))
            && !memory.is_lost(&record.upstream, now)
            && !may_serve_alone(record, removed)
    };
    for record in view.upstreams.values().filter(|record| is_free(record)) {
        if let Some(domain) = &record.domain {
            pools.entry(domain.clone()).or_default().push(record.clone());
        }
    }
    pools
}

/// Whether an upstream reports that it heads a group, although no such group is stored. The head of
/// a group that is removed has left it.
fn may_serve_alone(record: &UpstreamRecord, removed: &HashSet<GroupId>) -> bool {
    record.membership.as_ref().is_some_and(|membership| {
        matches!(membership.state, GroupState::Open | GroupState::Closing)
            && !removed.contains(&membership.group)
    })
}
