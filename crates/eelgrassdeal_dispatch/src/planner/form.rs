//! Forming new groups and preparing spares.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{ModelId, ServiceId, UpstreamId};

use crate::config::{EngineSpec, ModelSpec};
use crate::fleet::{FleetView, GroupRecord, GroupState, UpstreamRecord};

use super::memory::LoadEntry;
use super::{GroupPlanner, OrderKind, PlanStep, UpstreamOrder};

/// Part of the permitted load starts that the planner uses.
const LOAD_RATE_PART: f64 = 0.8;
/// Before the first request, loads that run together beyond those at full speed: the next ones
/// begin without waiting for the reports of the ones before.
const EARLY_LOADS_FACTOR: usize = 20;
/// A group that is taken apart sets its members free within this time. Until then no group across
/// domains is formed, which the domain of these members might need.
const REGROUP_TIME: Duration = Duration::from_millis(700);
/// Added to the pressure of a model, so that an idle one keeps some spares.
const IDLE_PRESSURE: f64 = 0.2;
/// While no group exists, groups are planned once the fleet has not grown for this long: their
/// members would be chosen from the first few upstreams otherwise.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// Before the first request a load takes this part of its time.
const EARLY_LOAD_PART: f64 = 0.1;

/// Value of a spare that completes no group yet, against one that does.
const PARTIAL_VALUE: f64 = 0.4;
/// Value of a group of another model than the home model of its domain: its members have no spares.
const FOREIGN_VALUE: f64 = 0.7;
/// Shortest load time that is told apart from none.
const MIN_LOAD_TIME_S: f64 = 0.1;
/// Part of a domain's upstreams that may be lost before its groups are counted.
const RESERVE_PART: f64 = 0.33;
/// A load that shares the weight store with others may take this many times as long as alone, and
/// its report a little longer.
const SHARED_LOAD_FACTOR: f64 = 2.0;
const LOAD_MARGIN: Duration = Duration::from_secs(1);
/// Starts of loads that are remembered: more than any window permits.
const MAX_LOAD_STARTS: usize = 1_000;
/// Weights by which the next group is chosen: the need of its model decides, then the free upstreams
/// of its domain, then its loads.
const NEED_WEIGHT: f64 = 100.0;
const POOL_WEIGHT: f64 = 0.1;
const LOAD_WEIGHT: f64 = 0.01;

/// How an upstream would get a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum JoinCost {
    /// It has loaded the model since its start.
    Loaded,
    /// Its host holds the model.
    Staged,
    /// Its host is loading the model.
    Loading,
    /// The weight store has to send the model.
    Missing,
}

/// Upstreams that no group across domains may take.
struct ReservedHolders {
    /// Models of which a group is being taken apart.
    closing: HashSet<ModelId>,
    /// Domains that form a group of their own once groups across domains are dissolved.
    due: HashSet<(Arc<str>, ModelId)>,
}

/// Spares of all domains while loads are chosen.
#[derive(Default)]
struct SpareBook {
    /// Upstreams that hold and load no model.
    unused: BTreeMap<Arc<str>, DomainPool>,
    /// Upstreams in no group that hold or load a model.
    held: HashMap<(Arc<str>, ModelId), usize>,
}

impl SpareBook {
    /// Takes an unused upstream of `domain` for a load of `model`.
    fn take(&mut self, domain: &Arc<str>, model: &ModelId) -> Option<Arc<UpstreamRecord>> {
        let record = self.unused.get_mut(domain)?.pop()?;
        *self.held.entry((domain.clone(), model.clone())).or_default() += 1;
        Some(record)
    }
}

/// Upstreams of one fabric domain that are in no group.
type DomainPool = Vec<Arc<UpstreamRecord>>;

impl GroupPlanner {
    /// Forms the groups that are possible without a load, then those worth one, then stages models
    /// on the spares.
    pub(super) fn form_groups(
        &mut self,
        view: &FleetView,
        service: &ServiceId,
        engine: &EngineSpec,
        has_traffic: bool,
        now: Instant,
        steps: &mut Vec<PlanStep>,
    ) {
        if !self.memory.pending_groups.is_empty() {
            // The members of a group that is being written must not be used twice.
            return;
        }
        self.note_finished_loads(view, now);
        if !self.is_settled(view, service, now) {
            return;
        }
        let homes = home_models(view, service, engine);
        let mut pools = self.free_pools(view, service, now);
        let mut counts = group_counts(view, service);
        loop {
            let best = self.best_group(&pools, engine, &homes, &counts, has_traffic, now);
            let Some((model, members)) = best else { break };
            let Some(spec) = engine.model(&model) else { break };
            self.note_loads(&members, spec, has_traffic, now);
            self.create_group(service, &model, &members, &mut pools, &mut counts, steps);
        }
        let is_closing = |group: &&Arc<GroupRecord>| {
            group.is_closing && self.memory.closing_age(&group.group, now) < REGROUP_TIME
        };
        let closing: HashSet<ModelId> =
            view.groups.values().filter(is_closing).map(|group| group.model.clone()).collect();
        if has_traffic {
            let due = self.dissolve_far_groups(view, service, engine, &pools, now, steps);
            let reserved = ReservedHolders { closing, due };
            self.form_far_groups(service, engine, &reserved, &mut pools, &mut counts, now, steps);
        }
        self.stage_spares(engine, &homes, &pools, &counts, has_traffic, now, steps);
    }

    /// Forms groups across fabric domains from upstreams that hold a model and complete no group of
    /// their own domain. Such a group is slow, but it needs no load.
    #[expect(clippy::too_many_arguments, reason = "one plan's inputs, passed on as they are")]
    fn form_far_groups(
        &mut self,
        service: &ServiceId,
        engine: &EngineSpec,
        reserved: &ReservedHolders,
        pools: &mut BTreeMap<Arc<str>, DomainPool>,
        counts: &mut HashMap<ModelId, usize>,
        now: Instant,
        steps: &mut Vec<PlanStep>,
    ) {
        let is_candidate =
            |spec: &&ModelSpec| spec.size > 1 && !reserved.closing.contains(&spec.model);
        for spec in engine.models.iter().filter(is_candidate) {
            let mut holders: DomainPool = pools
                .iter()
                .filter(|(domain, _)| {
                    !reserved.due.contains(&((*domain).clone(), spec.model.clone()))
                })
                .flat_map(|(_, pool)| self.holders(pool, &spec.model, now))
                .cloned()
                .collect();
            // Fewer domains, and members close to each other.
            holders.sort_by_key(|record| (record.data_centre.clone(), record.domain.clone()));
            while holders.len() >= spec.size {
                let members: DomainPool = holders.drain(..spec.size).collect();
                self.create_group(service, &spec.model, &members, pools, counts, steps);
            }
        }
    }

    /// Takes groups across domains apart whose members complete a group of one domain. Returns the
    /// domains and models for which that is so.
    fn dissolve_far_groups(
        &mut self,
        view: &FleetView,
        service: &ServiceId,
        engine: &EngineSpec,
        pools: &BTreeMap<Arc<str>, DomainPool>,
        now: Instant,
        steps: &mut Vec<PlanStep>,
    ) -> HashSet<(Arc<str>, ModelId)> {
        let mut due = HashSet::new();
        let far: Vec<_> = view
            .groups
            .values()
            .filter(|group| group.service == *service && !group.is_closing && view.is_far(group))
            .collect();
        for spec in &engine.models {
            let far: Vec<_> = far.iter().filter(|group| group.model == spec.model).collect();
            for domain in domains_of(view, &far) {
                let in_domain = |group: &GroupRecord| {
                    let members = view.present_members(group).into_iter().flatten();
                    members.filter(|record| record.domain.as_ref() == Some(&domain)).count()
                };
                let free = pools
                    .get(&domain)
                    .map_or(0, |pool| self.holders(pool, &spec.model, now).count());
                let held: usize = far.iter().map(|group| in_domain(group)).sum();
                if free < spec.size && free + held >= spec.size {
                    due.insert((domain.clone(), spec.model.clone()));
                    for group in far.iter().filter(|group| in_domain(group) > 0) {
                        self.begin_dismantle(group, now, steps);
                    }
                }
            }
        }
        due
    }

    /// The group to form next: of the model that lacks most, in the domain with the most free
    /// upstreams, with the fewest loads.
    fn best_group(
        &self,
        pools: &BTreeMap<Arc<str>, DomainPool>,
        engine: &EngineSpec,
        homes: &HomeModels,
        counts: &HashMap<ModelId, usize>,
        has_traffic: bool,
        now: Instant,
    ) -> Option<(ModelId, DomainPool)> {
        let mut best: Option<(f64, ModelId, DomainPool)> = None;
        for (domain, pool) in pools {
            for spec in &engine.models {
                let Some(members) = self.cheapest_members(pool, spec, now) else { continue };
                let loads = self.count_loads(&members, &spec.model, now);
                if loads > 0 && homes.get(domain) != Some(&spec.model) {
                    continue;
                }
                // With requests to serve, spares load while the others stay free to regroup.
                if loads > 0 && (has_traffic || !self.may_load(engine, loads, has_traffic, now)) {
                    continue;
                }
                let is_loading = members
                    .iter()
                    .any(|record| self.join_cost(record, &spec.model, now) == JoinCost::Loading);
                if is_loading {
                    continue;
                }
                let rank = self.model_need(spec, counts) * NEED_WEIGHT
                    + pool.len() as f64 * POOL_WEIGHT
                    - loads as f64 * LOAD_WEIGHT;
                if best.as_ref().is_none_or(|(known, ..)| rank > *known) {
                    best = Some((rank, spec.model.clone(), members));
                }
            }
        }
        best.map(|(_, model, members)| (model, members))
    }

    /// How much a model lacks groups: its share of the work for each group that it would have, and
    /// more while its groups are fuller than others.
    fn model_need(&self, spec: &ModelSpec, counts: &HashMap<ModelId, usize>) -> f64 {
        let groups = counts.get(&spec.model).copied().unwrap_or(0);
        let pressure = self.memory.pressure.get(&spec.model).copied().unwrap_or(1.0);
        let fullness = (pressure + IDLE_PRESSURE).powi(2);
        spec.share / spec.size.max(1) as f64 / (groups as f64 + 1.0) * fullness
    }

    fn cheapest_members(
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

    fn join_cost(&self, record: &UpstreamRecord, model: &ModelId, now: Instant) -> JoinCost {
        match self.memory.loading(&record.upstream, now) {
            _ if record.loaded.as_ref() == Some(model) => JoinCost::Loaded,
            _ if record.staged.contains(model) => JoinCost::Staged,
            Some(loading) if loading == model => JoinCost::Loading,
            _ => JoinCost::Missing,
        }
    }

    /// Upstreams of a pool that can join a group of `model` without a load.
    fn holders<'a>(
        &self,
        pool: &'a DomainPool,
        model: &ModelId,
        now: Instant,
    ) -> impl Iterator<Item = &'a Arc<UpstreamRecord>> {
        pool.iter().filter(move |record| self.join_cost(record, model, now) <= JoinCost::Staged)
    }

    fn count_loads(&self, members: &DomainPool, model: &ModelId, now: Instant) -> usize {
        members
            .iter()
            .filter(|record| self.join_cost(record, model, now) == JoinCost::Missing)
            .count()
    }

    /// Whether `loads` more may begin now.
    fn may_load(&self, engine: &EngineSpec, loads: usize, has_traffic: bool, now: Instant) -> bool {
        let at_once = (engine.loads_at_once as usize).max(1);
        let under_way = self.memory.loads_under_way(now);
        if !has_traffic {
            return under_way < at_once * EARLY_LOADS_FACTOR;
        }
        let window = self.settings.load_window;
        let recent = self
            .memory
            .load_starts
            .iter()
            .filter(|start| now.saturating_duration_since(**start) < window)
            .count();
        let permitted = engine.load_rate * window.as_secs_f64() * LOAD_RATE_PART;
        under_way + loads <= at_once && (recent + loads) as f64 <= permitted
    }

    fn note_loads(
        &mut self,
        members: &DomainPool,
        spec: &ModelSpec,
        has_traffic: bool,
        now: Instant,
    ) {
        for record in members {
            if self.join_cost(record, &spec.model, now) == JoinCost::Missing {
                self.note_load(record, spec, has_traffic, now);
            }
        }
    }

    fn note_load(
        &mut self,
        record: &UpstreamRecord,
        spec: &ModelSpec,
        has_traffic: bool,
        now: Instant,
    ) {
        let part = if has_traffic { 1.0 } else { EARLY_LOAD_PART };
        // Loads that share the weight store take longer; a report ends the entry earlier.
        let longest = spec.load_time.mul_f64(part * SHARED_LOAD_FACTOR) + LOAD_MARGIN;
        let entry = LoadEntry { model: spec.model.clone(), ends_at: now + longest };
        self.memory.loads.insert(record.upstream.clone(), entry);
        self.memory.load_starts.push_back(now);
        while self.memory.load_starts.len() > MAX_LOAD_STARTS {
            self.memory.load_starts.pop_front();
        }
    }

    /// Ends the entries of loads whose upstream reports the model, or is gone.
    fn note_finished_loads(&mut self, view: &FleetView, now: Instant) {
        self.memory.loads.retain(|upstream, load| {
            let is_done = view.upstreams.get(upstream).is_none_or(|record| {
                record.staged.contains(&load.model) || record.loaded.as_ref() == Some(&load.model)
            });
            !is_done && now < load.ends_at
        });
    }

    /// Plans a new group and takes its members out of the pools.
    fn create_group(
        &mut self,
        service: &ServiceId,
        model: &ModelId,
        members: &DomainPool,
        pools: &mut BTreeMap<Arc<str>, DomainPool>,
        counts: &mut HashMap<ModelId, usize>,
        steps: &mut Vec<PlanStep>,
    ) {
        for pool in pools.values_mut() {
            pool.retain(|record| !members.iter().any(|member| member.upstream == record.upstream));
        }
        *counts.entry(model.clone()).or_default() += 1;
        let group = self.new_group(service, model, members);
        self.memory.pending_groups.insert(group.group.clone());
        steps.push(PlanStep::Create(group));
    }

    fn new_group(
        &mut self,
        service: &ServiceId,
        model: &ModelId,
        members: &DomainPool,
    ) -> GroupRecord {
        let generation = self.next_generation;
        self.next_generation += 1;
        // The head takes all requests, of which a cold one bears few.
        let mut members = members.clone();
        members.sort_by_key(|record| record.cold_left);
        GroupRecord {
            group: Arc::from(format!("g{generation}")),
            generation,
            service: service.clone(),
            model: model.clone(),
            members: members.iter().map(|record| (record.upstream.clone(), record.born)).collect(),
            head_address: members.first().map_or(Arc::from(""), |head| head.address.clone()),
            is_closing: false,
        }
    }

    /// Stages models on upstreams that no group uses, so that they can replace lost members.
    #[expect(clippy::too_many_arguments, reason = "one plan's inputs, passed on as they are")]
    fn stage_spares(
        &mut self,
        engine: &EngineSpec,
        homes: &HomeModels,
        pools: &BTreeMap<Arc<str>, DomainPool>,
        counts: &HashMap<ModelId, usize>,
        has_traffic: bool,
        now: Instant,
        steps: &mut Vec<PlanStep>,
    ) {
        let mut spares = SpareBook::default();
        for (domain, pool) in pools {
            let unused = pool.iter().filter(|record| self.is_unused(record, engine, now));
            spares.unused.insert(domain.clone(), unused.cloned().collect());
            for spec in &engine.models {
                let holds = |record: &&Arc<UpstreamRecord>| {
                    self.join_cost(record, &spec.model, now) < JoinCost::Missing
                };
                let held = pool.iter().filter(holds).count();
                spares.held.insert((domain.clone(), spec.model.clone()), held);
            }
        }
        while self.may_load(engine, 1, has_traffic, now) {
            let Some((domain, spec)) = self.best_spare(engine, homes, &spares, counts) else {
                return;
            };
            let Some(record) = spares.take(&domain, &spec.model) else { return };
            self.note_load(&record, spec, has_traffic, now);
            let order = UpstreamOrder {
                upstream: record.upstream.clone(),
                address: record.address.clone(),
                group: None,
                kind: OrderKind::Stage { model: spec.model.clone() },
            };
            self.push_order(order, now, steps);
        }
    }

    /// The domain and model whose next load brings a group soonest for the load time spent.
    fn best_spare<'a>(
        &self,
        engine: &'a EngineSpec,
        homes: &HomeModels,
        spares: &SpareBook,
        counts: &HashMap<ModelId, usize>,
    ) -> Option<(Arc<str>, &'a ModelSpec)> {
        let mut best: Option<(f64, Arc<str>, &ModelSpec)> = None;
        for (domain, unused) in spares.unused.iter().filter(|(_, unused)| !unused.is_empty()) {
            for spec in &engine.models {
                let held = spares.held.get(&(domain.clone(), spec.model.clone())).copied();
                let missing = spec.size - held.unwrap_or(0) % spec.size;
                let load_time = spec.load_time.as_secs_f64().max(MIN_LOAD_TIME_S);
                let is_home = homes.get(domain) == Some(&spec.model);
                let chance = match (missing <= unused.len(), is_home) {
                    (true, true) => 1.0,
                    (true, false) => FOREIGN_VALUE,
                    (false, true) => PARTIAL_VALUE,
                    (false, false) => 0.0,
                };
                let value = self.model_need(spec, counts) * chance / (missing as f64 * load_time);
                if value > 0.0 && best.as_ref().is_none_or(|(known, ..)| value > *known) {
                    best = Some((value, domain.clone(), spec));
                }
            }
        }
        best.map(|(_, domain, spec)| (domain, spec))
    }

    /// Whether an upstream holds no model and loads none.
    fn is_unused(&self, record: &UpstreamRecord, engine: &EngineSpec, now: Instant) -> bool {
        engine
            .models
            .iter()
            .all(|spec| self.join_cost(record, &spec.model, now) == JoinCost::Missing)
    }

    /// Upstreams of a service that are ready and in no group, by domain.
    fn free_pools(
        &self,
        view: &FleetView,
        service: &ServiceId,
        now: Instant,
    ) -> BTreeMap<Arc<str>, DomainPool> {
        let grouped = view.grouped_upstreams();
        let mut pools: BTreeMap<Arc<str>, DomainPool> = BTreeMap::new();
        for record in view.upstreams.values() {
            let is_free = record.service == *service
                && view.may_place(record)
                && !grouped.contains(&(&record.upstream, record.born))
                && !self.memory.is_lost(&record.upstream, now)
                && !may_serve_alone(record);
            if let (true, Some(domain)) = (is_free, &record.domain) {
                pools.entry(domain.clone()).or_default().push(record.clone());
            }
        }
        pools
    }

    /// Whether the fleet is known well enough to form the first groups.
    fn is_settled(&mut self, view: &FleetView, service: &ServiceId, now: Instant) -> bool {
        let count = view.upstreams.values().filter(|record| record.service == *service).count();
        let seen = self.memory.fleet_sizes.entry(service.clone()).or_insert((count, now));
        if seen.0 != count {
            *seen = (count, now);
        }
        let has_groups = view.groups.values().any(|group| group.service == *service);
        has_groups || now.saturating_duration_since(seen.1) >= SETTLE_TIME
    }
}

/// The model that the spares of a domain hold. Upstreams of one domain that hold the same model can
/// replace each other, so a domain keeps to one model as far as it can.
pub(super) type HomeModels = BTreeMap<Arc<str>, ModelId>;

/// The home model of each domain: the one that most of its upstreams hold, or for a domain without
/// any the one that lacks most groups.
fn home_models(view: &FleetView, service: &ServiceId, engine: &EngineSpec) -> HomeModels {
    let mut domains: BTreeMap<&Arc<str>, Vec<&Arc<UpstreamRecord>>> = BTreeMap::new();
    for record in view.upstreams.values().filter(|record| record.service == *service) {
        if let Some(domain) = &record.domain {
            domains.entry(domain).or_default().push(record);
        }
    }
    let planned: HashMap<&UpstreamId, &ModelId> = view
        .groups
        .values()
        .flat_map(|group| group.members.iter().map(|(upstream, _)| (upstream, &group.model)))
        .collect();
    let mut homes = HomeModels::new();
    let mut groups: HashMap<ModelId, f64> = HashMap::new();
    let note = |groups: &mut HashMap<ModelId, f64>, spec: &ModelSpec, upstreams: usize| {
        let lasting = upstreams as f64 * (1.0 - RESERVE_PART);
        *groups.entry(spec.model.clone()).or_default() += (lasting / spec.size as f64).floor();
    };
    let mut unassigned = Vec::new();
    for (domain, records) in &domains {
        let held = |spec: &&ModelSpec| {
            records
                .iter()
                .filter(|record| match planned.get(&record.upstream) {
                    Some(model) => **model == spec.model,
                    None => {
                        record.staged.contains(&spec.model)
                            || record.loaded.as_ref() == Some(&spec.model)
                    }
                })
                .count()
        };
        match engine.models.iter().max_by_key(held).filter(|spec| held(spec) > 0) {
            Some(spec) => {
                note(&mut groups, spec, records.len());
                homes.insert((*domain).clone(), spec.model.clone());
            }
            None => unassigned.push((*domain, records)),
        }
    }
    unassigned.sort_by_key(|(domain, records)| (std::cmp::Reverse(records.len()), *domain));
    while !unassigned.is_empty() {
        let lack = |spec: &&ModelSpec| {
            let groups = groups.get(&spec.model).copied().unwrap_or(0.0);
            spec.share / spec.size as f64 / (groups + 1.0)
        };
        let fits = |spec: &&ModelSpec| unassigned.iter().any(|(_, known)| known.len() >= spec.size);
        let best = engine.models.iter().filter(fits).max_by(|left, right| {
            (lack(left), left.size)
                .partial_cmp(&(lack(right), right.size))
                .unwrap_or(Ordering::Equal)
        });
        let Some(spec) = best else { break };
        // The models are spread over the data centres.
        let same_centre = |records: &[&Arc<UpstreamRecord>]| {
            let centre = records.first().map(|record| &record.data_centre);
            let is_same = |domain: &Arc<str>| {
                let known = domains.get(domain).and_then(|records| records.first());
                known.map(|record| &record.data_centre) == centre
            };
            homes.iter().filter(|(domain, model)| **model == spec.model && is_same(domain)).count()
        };
        let position = (0..unassigned.len())
            .filter(|index| unassigned[*index].1.len() >= spec.size)
            .min_by_key(|index| same_centre(unassigned[*index].1));
        let Some(position) = position else { break };
        let (domain, records) = unassigned.remove(position);
        note(&mut groups, spec, records.len());
        homes.insert(domain.clone(), spec.model.clone());
    }
    homes
}

/// Groups by model that serve or form.
fn group_counts(view: &FleetView, service: &ServiceId) -> HashMap<ModelId, usize> {
    let mut counts = HashMap::new();
    for group in view.groups.values() {
        if group.service == *service && !group.is_closing {
            *counts.entry(group.model.clone()).or_default() += 1;
        }
    }
    counts
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

/// Whether an upstream reports that it heads a group, although no such group is stored.
fn may_serve_alone(record: &UpstreamRecord) -> bool {
    matches!(
        record.membership.as_ref().map(|membership| membership.state),
        Some(GroupState::Open | GroupState::Closing)
    )
}
