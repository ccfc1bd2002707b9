//! Number of workers that each service needs in each data centre.
//!
//! It answers load that rises and falls within a day while the platform bills workers by the second
//! and starts or stops them on order. A request that is late or refused costs far more than a worker,
//! so the number grows at once and shrinks slowly, and the loss of any one data centre is always
//! covered.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{DataCentreId, ModelId, ServiceId};

use crate::config::{EngineSpec, ModelSpec, ScaleSpec, ServiceConfig, ServiceSpec};
use crate::fleet::{FleetView, GroupRecord, UpstreamRecord, UpstreamState};

/// Fraction of its slots that a replica is planned to use. First events and pauses exceed the routes'
/// targets before all slots are in use, and requests do not spread evenly over the replicas.
const TARGET_UTILISATION: f64 = 0.75;
/// Time constant of the average of the demand. Arrivals vary by a tenth within a second, and each
/// short peak would be held as if it was load.
const DEMAND_AVERAGE_TIME: Duration = Duration::from_secs(1);
/// A rise in demand is extrapolated to at most this multiple of the present demand. Without a bound,
/// each wave of load would order the maximum.
const MAX_RISE_FACTOR: f64 = 1.25;
/// Demand that is held at its peak, and a need that is lower than the present number, in start times.
const HOLD_START_TIMES: u32 = 2;
/// Largest fraction of the workers of a data centre that are stopped by one order.
const MAX_SHRINK_FRACTION: f64 = 0.2;

/// The number of workers that a service is to have in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleTarget {
    /// Service of the workers.
    pub service: ServiceId,
    /// Data centre of the workers.
    pub data_centre: DataCentreId,
    /// Number of workers.
    pub desired: u32,
}

/// Decides how many workers each service with [`ServiceSpec::scale`] has in each data centre.
#[derive(Debug, Default)]
pub struct ScalePlanner {
    services: HashMap<ServiceId, ServiceScale>,
}

impl ScalePlanner {
    /// Creates a planner that knows nothing of earlier demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// The number of workers wanted in every data centre of every service with
    /// [`ServiceSpec::scale`].
    ///
    /// `demand` is the number of requests that run and wait over all nodes, by model; for a service
    /// without an engine, by its service id. A model without an entry keeps its last demand.
    ///
    /// A data centre is left out until its number has to change for the first time: the number ordered
    /// by an earlier planner cannot be read back, and workers that have yet to register are not known.
    pub fn plan(
        &mut self,
        view: &FleetView,
        config: &ServiceConfig,
        demand: &HashMap<ModelId, f64>,
        has_traffic: bool,
        now: Instant,
    ) -> Vec<ScaleTarget> {
        self.services
            .retain(|service, _| config.services.get(service).is_some_and(|s| s.scale.is_some()));
        let mut targets = Vec::new();
        for (service, spec) in &config.services {
            let Some(scale) = spec.scale else { continue };
            let state = self.services.entry(service.clone()).or_default();
            state.observe(view, spec, now, scale.start_time);
            match has_traffic {
                true => state.follow_demand(spec, scale, demand, now),
                false => state.limit_to_max(scale),
            }
            let ordered = state.centres.iter().filter_map(|(data_centre, centre)| {
                let desired = centre.ordered?;
                Some(ScaleTarget {
                    service: service.clone(),
                    data_centre: data_centre.clone(),
                    desired,
                })
            });
            targets.extend(ordered);
        }
        targets
    }
}

/// What is known of the workers of a service.
#[derive(Debug, Default)]
struct ServiceScale {
    planned_at: Option<Instant>,
    demands: HashMap<ModelId, DemandPeak>,
    /// Data centres in which the service has or had workers.
    centres: BTreeMap<DataCentreId, CentreScale>,
    /// Most workers that were seen in one fabric domain.
    largest_domain: usize,
    /// Fewest slots of a worker, for a service without an engine.
    worker_slots: u32,
}

/// What is known of the workers of a service in one data centre.
#[derive(Debug, Default)]
struct CentreScale {
    /// Workers that accept new work.
    present: u32,
    /// Fabric domains with such workers.
    domains: usize,
    /// Whether new work may be placed in the data centre.
    is_usable: bool,
    /// Workers that are members of groups which are not being torn down.
    grouped: u32,
    /// Number that this planner ordered last.
    ordered: Option<u32>,
    /// Since when fewer workers than ordered have been present.
    short_since: Option<Instant>,
    /// Needs within the hold time, each higher than the later ones.
    needs: VecDeque<(Instant, u32)>,
    /// Since when the needs have been recorded without an order to shrink.
    recorded_since: Option<Instant>,
}

impl ServiceScale {
    /// Counts the workers and the group members of each data centre.
    fn observe(
        &mut self,
        view: &FleetView,
        spec: &ServiceSpec,
        now: Instant,
        start_time: Duration,
    ) {
        let has_gap = self.planned_at.is_none_or(|at| now.duration_since(at) > start_time);
        self.planned_at = Some(now);
        for centre in self.centres.values_mut() {
            (centre.present, centre.domains, centre.grouped) = (0, 0, 0);
            if has_gap {
                // Demand while nobody planned is not known.
                centre.needs.clear();
                centre.recorded_since = None;
            }
        }
        let is_worker = |record: &&Arc<UpstreamRecord>| {
            record.service == spec.service && record.state == UpstreamState::Ready
        };
        let mut domain_sizes: HashMap<(&DataCentreId, &Option<Arc<str>>), usize> = HashMap::new();
        self.worker_slots = u32::MAX;
        for record in view.upstreams.values().filter(is_worker) {
            let centre = self.centres.entry(record.data_centre.clone()).or_default();
            centre.present += 1;
            self.worker_slots = self.worker_slots.min(record.slots.max(1));
            *domain_sizes.entry((&record.data_centre, &record.domain)).or_default() += 1;
        }
        for ((data_centre, _), size) in domain_sizes {
            self.largest_domain = self.largest_domain.max(size);
            if let Some(centre) = self.centres.get_mut(data_centre) {
                centre.domains += 1;
            }
        }
        let is_held = |group: &GroupRecord| group.service == spec.service && !group.is_closing;
        let members: HashSet<_> = view.grouped_upstreams(is_held).into_iter().collect();
        for record in view.upstreams.values().filter(is_worker) {
            if members.contains(&(&record.upstream, record.start_time_ms))
                && let Some(centre) = self.centres.get_mut(&record.data_centre)
            {
                centre.grouped += 1;
            }
        }
        for (data_centre, centre) in &mut self.centres {
            centre.is_usable = centre.present > 0 && !view.evacuated.contains(data_centre);
            let is_short = centre.ordered.is_some_and(|ordered| centre.present < ordered);
            centre.short_since = match is_short {
                true => centre.short_since.or(Some(now)),
                false => None,
            };
        }
    }

    /// Before the first request, no demand is known and no group serves: only the workers above the
    /// maximum are stopped, all at once.
    fn limit_to_max(&mut self, scale: ScaleSpec) {
        for centre in self.centres.values_mut().filter(|centre| centre.present > scale.max) {
            centre.ordered = Some(scale.max);
        }
    }

    fn follow_demand(
        &mut self,
        spec: &ServiceSpec,
        scale: ScaleSpec,
        demand: &HashMap<ModelId, f64>,
        now: Instant,
    ) {
        let hold_time = scale.start_time * HOLD_START_TIMES;
        let needs = self.needs(spec, scale, demand, now);
        for (centre, need) in self.centres.values_mut().zip(needs) {
            let Some(need) = need else { continue };
            centre.record_need(need.clamp(scale.min, scale.max), hold_time, now);
            centre.order(scale, hold_time, now);
        }
    }

    /// The number of workers needed in each data centre, in their order. `None` where the number is
    /// to stay: in a data centre that operators have taken out of service for a while, and where
    /// nothing is known of the demand.
    fn needs(
        &mut self,
        spec: &ServiceSpec,
        scale: ScaleSpec,
        demand: &HashMap<ModelId, f64>,
        now: Instant,
    ) -> Vec<Option<u32>> {
        let Some(loads) = self.replica_loads(spec, scale, demand, now) else {
            return vec![None; self.centres.len()];
        };
        let is_usable: Vec<bool> = self.centres.values().map(|centre| centre.is_usable).collect();
        let counts = spread_replicas(&loads, &is_usable);
        let mut needs: Vec<u32> = self
            .centres
            .values()
            .zip(&counts)
            .map(|(centre, counts)| {
                let groups: Vec<_> =
                    loads.iter().zip(counts).map(|(load, count)| (load.size, *count)).collect();
                let domains = centre.domains.max(1);
                // A domain holds more workers than are seen in it while few have been started.
                let at_max = (scale.max as usize).div_ceil(domains);
                let largest_domain = self.largest_domain.max(at_max);
                workers_for(&groups, domains, largest_domain, spec.engine.is_some())
            })
            .collect();
        self.shift_missing_workers(&mut needs, scale, now);
        needs
            .into_iter()
            .zip(self.centres.values())
            .map(|(need, centre)| (centre.is_usable || centre.present == 0).then_some(need))
            .collect()
    }

    /// Workers that were ordered and do not come within the hold time are ordered in the other data
    /// centres. A data centre without any worker is lost; the others cover it already.
    fn shift_missing_workers(&self, needs: &mut [u32], scale: ScaleSpec, now: Instant) {
        let hold_time = scale.start_time * HOLD_START_TIMES;
        let is_stuck = |centre: &CentreScale| {
            centre.present > 0
                && centre.short_since.is_some_and(|since| now.duration_since(since) >= hold_time)
        };
        let missing: Vec<u32> = self
            .centres
            .values()
            .zip(&*needs)
            .map(|(centre, need)| {
                let wanted = (*need).min(scale.max);
                if is_stuck(centre) { wanted.saturating_sub(centre.present) } else { 0 }
            })
            .collect();
        let total: u32 = missing.iter().sum();
        let can_grow = |centre: &CentreScale| centre.is_usable && !is_stuck(centre);
        let helpers = self.centres.values().filter(|centre| can_grow(centre)).count() as u32;
        for (centre, need) in self.centres.values().zip(needs) {
            if can_grow(centre) {
                *need += total.div_ceil(helpers.max(1));
            }
        }
    }

    /// The replicas that each model needs in all data centres together; `None` if nothing is known
    /// of the demand.
    fn replica_loads(
        &mut self,
        spec: &ServiceSpec,
        scale: ScaleSpec,
        demand: &HashMap<ModelId, f64>,
        now: Instant,
    ) -> Option<Vec<ReplicaLoad>> {
        let mut held_peak = |name: &ModelId, lead_time: Duration| {
            let known = self.demands.get_mut(name);
            match (demand.get(name), known) {
                (Some(value), Some(known)) => {
                    known.record(*value, scale.start_time, lead_time, now);
                    Some(known.peak)
                }
                (Some(value), None) => {
                    self.demands.insert(name.clone(), DemandPeak::new(*value, now));
                    Some(*value)
                }
                (None, known) => known.map(|known| known.peak),
            }
        };
        let replicas = |peak: f64, slots: u32| {
            let capacity = f64::from(slots.max(1)) * TARGET_UTILISATION;
            // An idle model keeps a replica: forming one takes longer than any route's target.
            ((peak / capacity).ceil() as u32).max(1)
        };
        match &spec.engine {
            None => {
                let peak = held_peak(&spec.service, scale.start_time)?;
                let count = replicas(peak, self.worker_slots);
                Some(vec![ReplicaLoad { size: 1, count }])
            }
            Some(engine) => {
                let load = |model: &ModelSpec| {
                    let peak = held_peak(&model.model, lead_time(model, engine, scale))?;
                    Some(ReplicaLoad { size: model.size, count: replicas(peak, engine.slots) })
                };
                engine.models.iter().map(load).collect()
            }
        }
    }
}

impl CentreScale {
    fn record_need(&mut self, need: u32, hold_time: Duration, now: Instant) {
        self.recorded_since.get_or_insert(now);
        while self.needs.back().is_some_and(|(_, earlier)| *earlier <= need) {
            self.needs.pop_back();
        }
        self.needs.push_back((now, need));
        while self.needs.front().is_some_and(|(at, _)| now.duration_since(*at) > hold_time) {
            self.needs.pop_front();
        }
    }

    /// Orders a higher number at once, and a lower one once the need was lower for the hold time.
    fn order(&mut self, scale: ScaleSpec, hold_time: Duration, now: Instant) {
        let current = self.ordered.unwrap_or(self.present);
        let need = self.needs.back().map_or(current, |(_, need)| *need);
        // A lost data centre has no workers and keeps the number that it had.
        if need > current && (self.present > 0 || self.ordered.is_some()) {
            self.ordered = Some(need);
            return;
        }
        let is_held =
            self.recorded_since.is_some_and(|since| now.duration_since(since) >= hold_time);
        let highest = self.needs.front().map_or(current, |(_, need)| *need);
        let smallest_step = (f64::from(current) * (1.0 - MAX_SHRINK_FRACTION)).ceil() as u32;
        let lower = highest.max(smallest_step).max(self.grouped);
        // The API would cut an order above the maximum down to it, and stop members of groups.
        let is_cut = self.ordered.is_none() && lower > scale.max;
        if is_held && lower < current && self.present > 0 && !is_cut {
            self.ordered = Some(lower);
            self.recorded_since = Some(now);
        }
    }
}

/// The recent peak of the demand for a model.
#[derive(Debug)]
struct DemandPeak {
    at: Instant,
    average: f64,
    /// Highest demand, decaying over the hold time.
    peak: f64,
    /// Averages within the last start time, the oldest first.
    history: VecDeque<(Instant, f64)>,
}

impl DemandPeak {
    fn new(demand: f64, now: Instant) -> Self {
        Self { at: now, average: demand, peak: demand, history: VecDeque::from([(now, demand)]) }
    }

    fn record(&mut self, demand: f64, start_time: Duration, lead_time: Duration, now: Instant) {
        let elapsed = now.duration_since(self.at).as_secs_f64();
        self.at = now;
        let kept = (-elapsed / DEMAND_AVERAGE_TIME.as_secs_f64()).exp();
        self.average = self.average * kept + demand * (1.0 - kept);
        let hold_time = (start_time * HOLD_START_TIMES).as_secs_f64().max(f64::MIN_POSITIVE);
        let decayed = self.peak * (-elapsed / hold_time).exp();
        self.peak = decayed.max(self.expected(start_time, lead_time, now));
        self.history.push_back((now, self.average));
        while self.history.len() > 2
            && self.history.front().is_some_and(|(at, _)| now.duration_since(*at) > start_time)
        {
            self.history.pop_front();
        }
    }

    /// Demand at the time when a worker that is ordered now serves, if the rise over the last start
    /// time goes on.
    fn expected(&self, start_time: Duration, lead_time: Duration, now: Instant) -> f64 {
        let Some((at, earlier)) = self.history.front() else { return self.average };
        let elapsed = now.duration_since(*at);
        if elapsed < start_time / 2 {
            return self.average;
        }
        let per_second = (self.average - earlier).max(0.0) / elapsed.as_secs_f64();
        let expected = self.average + per_second * lead_time.as_secs_f64();
        expected.min(self.average * MAX_RISE_FACTOR)
    }
}

/// Number of replicas of one model that the demand takes.
struct ReplicaLoad {
    /// Workers of one replica.
    size: usize,
    count: u32,
}

/// Time from the order of workers until they serve as a group.
fn lead_time(model: &ModelSpec, engine: &EngineSpec, scale: ScaleSpec) -> Duration {
    scale.start_time + model.load_time + engine.open_delay
}

/// Replicas of each model in each data centre, so that those of the usable data centres suffice when
/// the one with most replicas of the model is lost. If one is lost or out of service already, the
/// others suffice; a second loss is not covered.
fn spread_replicas(loads: &[ReplicaLoad], is_usable: &[bool]) -> Vec<Vec<u32>> {
    let usable = is_usable.iter().filter(|is_usable| **is_usable).count();
    let all = is_usable.len();
    let mut counts = vec![vec![0; loads.len()]; all];
    let mut workers = vec![0; all];
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_by_key(|index| std::cmp::Reverse(loads[*index].size));
    for index in order {
        let load = &loads[index];
        let is_spread = |total: &u32| total - total.div_ceil(all as u32) >= load.count;
        let total = match all {
            0 => continue,
            1 => load.count,
            _ => (load.count..).find(is_spread).unwrap_or(load.count),
        };
        // The data centres with the fewest workers take what cannot be divided.
        let mut centres: Vec<usize> = (0..all).collect();
        centres.sort_by_key(|centre| (!is_usable[*centre], workers[*centre], *centre));
        for (position, centre) in centres.into_iter().enumerate() {
            let share = |total: u32, parts: usize| {
                total / parts as u32 + u32::from(position < (total as usize % parts))
            };
            let left = match is_usable[centre] {
                true if usable < all => share(load.count, usable),
                _ => 0,
            };
            let count = share(total, all).max(left);
            counts[centre][index] = count;
            workers[centre] += count as usize * load.size;
        }
    }
    counts
}

/// The fewest workers of a data centre in which groups, given as pairs of size and number, can be
/// formed, with a spare for each model in each domain that holds its groups. The workers are taken to
/// be divided evenly among the domains.
fn workers_for(
    groups: &[(usize, u32)],
    domains: usize,
    largest_domain: usize,
    has_spares: bool,
) -> u32 {
    let members: usize = groups.iter().map(|(size, count)| size * *count as usize).sum();
    if !has_spares {
        return members as u32;
    }
    // Each domain that the largest groups do not leave too small holds at least one group.
    let group_count: usize = groups.iter().map(|(_, count)| *count as usize).sum();
    let most = (group_count + domains + 1) * largest_domain + members;
    let fits = |workers: &usize| {
        let domains = domains.max(workers.div_ceil(largest_domain.max(1)));
        can_form(groups, *workers, domains, largest_domain)
    };
    (members..most).find(fits).unwrap_or(members) as u32
}

/// Whether groups can be formed in `domains` domains of equal size, the largest groups first, with
/// the spares of [`workers_for`]. Groups that are too large for any domain are formed across domains.
fn can_form(
    groups: &[(usize, u32)],
    workers: usize,
    domains: usize,
    largest_domain: usize,
) -> bool {
    let mut free: Vec<usize> = (0..domains)
        .map(|domain| workers / domains + usize::from(domain < workers % domains))
        .collect();
    let mut sorted = groups.to_vec();
    sorted.sort_by_key(|(size, _)| std::cmp::Reverse(*size));
    let (wide, narrow): (Vec<_>, Vec<_>) =
        sorted.into_iter().partition(|(size, _)| *size >= largest_domain);
    for (size, count) in narrow {
        let mut left = count as usize;
        for domain in &mut free {
            if left > 0 && *domain > size {
                let placed = left.min((*domain - 1) / size);
                *domain -= placed * size + 1;
                left -= placed;
            }
        }
        if left > 0 {
            return false;
        }
    }
    let wide_members: usize =
        wide.iter().map(|(size, count)| size * *count as usize + usize::from(*count > 0)).sum();
    free.iter().sum::<usize>() >= wide_members
}
