//! Fleet that executes a planner's steps in virtual time.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{
    FleetView, GroupPlanner, GroupState, GroupWrite, ModelSpec, OrderKind, OrderOutcome, PlanStep,
    PlannerSettings, ProbeOutcome, ServiceConfig, TrafficSummary, UpstreamOrder, UpstreamRecord,
    UpstreamState, WriteOutcome,
};
use eelgrassdeal_types::{ModelId, UpstreamId};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::capacity::CapacityReport;
use crate::scenario::{FleetEvent, LossScenario};
use crate::spec::FleetSpec;
use crate::upstream::EmulatedUpstream;

/// Virtual time between two steps of the emulation.
const STEP: Duration = Duration::from_millis(10);
/// Maximum time between two plans, as in the gateway.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// Time from a change of an upstream's record until the planner sees it.
const REPORT_DELAY: Duration = Duration::from_millis(60);
/// Time from the completion of a write to the store until the planner sees it in its copy of the
/// table.
const WRITE_DELAY: Duration = Duration::from_millis(60);
/// Time until an order or a probe is answered, or a write to the store is completed.
const CALL_DELAY: Duration = Duration::from_millis(10);
/// Time until an order to a lost upstream fails, including the attempts of other nodes.
const UNREACHABLE_ORDER_DELAY: Duration = Duration::from_millis(900);
/// Time until a probe of a lost upstream fails.
const LOST_PROBE_DELAY: Duration = Duration::from_millis(140);
/// Time from the loss of a member until the nodes report that the head is silent.
const SILENCE_REPORT_DELAY: Duration = Duration::from_millis(600);
/// The record of an upstream expires this long after its last heartbeat.
const RECORD_LIFETIME: Duration = Duration::from_millis(3_600);
/// Time between two heartbeats of an upstream.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// The upstreams of a new fleet start at random times within this period.
const START_PERIOD: Duration = Duration::from_secs(3);
/// Time from the start of the fleet until the start of traffic, when clients would send the first
/// request.
const PRE_TRAFFIC_PERIOD: Duration = Duration::from_secs(10);
/// Before the start of traffic, a load takes this fraction of its configured time.
const PRE_TRAFFIC_LOAD_TIME_FRACTION: f64 = 0.1;
/// Sliding window over which the planner limits the rate of loads from the weight store.
const LOAD_WINDOW: Duration = Duration::from_secs(5);

/// A change that takes effect after a delay.
#[derive(Clone, Debug)]
enum DelayedEffect {
    /// The planner sees a new record of an upstream; `None` if the record has expired.
    RecordVisible(UpstreamId, Option<Box<UpstreamRecord>>),
    /// An upstream executes an order and answers it.
    OrderReceived(UpstreamOrder),
    /// An order that did not reach its upstream fails.
    OrderFailed(UpstreamOrder, OrderOutcome),
    /// A probe of an upstream ends.
    ProbeCompleted(UpstreamId, ProbeOutcome),
    /// The store has executed writes.
    WriteCompleted(Vec<GroupWrite>),
    /// The planner sees writes in its copy of the table.
    WriteVisible(Vec<GroupWrite>),
    /// An upstream starts.
    UpstreamStarted(Box<EmulatedUpstream>),
    /// A new planner takes over.
    PlannerStarted,
}

/// An emulated fleet and its planner.
pub struct EmulatedFleet {
    spec: FleetSpec,
    config: ServiceConfig,
    random: StdRng,
    started: Instant,
    now: Instant,
    /// Actual state of all upstreams, including lost ones.
    upstreams: BTreeMap<UpstreamId, EmulatedUpstream>,
    /// What the planner sees.
    view: FleetView,
    /// `None` during an outage of the planner.
    planner: Option<GroupPlanner>,
    /// Fencing number of the current planner, or of the last one during an outage.
    fencing: u64,
    /// Changes that have not taken effect yet, with the time at which they do.
    effects: Vec<(Instant, DelayedEffect)>,
    /// When [`Self::plan`] was last called.
    last_planned_at: Option<Instant>,
    /// Since when each open group has had a lost head or an incomplete set of members.
    stalled_since: HashMap<Arc<str>, Instant>,
    violations: Vec<String>,
    /// Loads from the weight store that started after the start of traffic.
    load_count: usize,
    /// Number of upstreams created so far, which makes their names unique.
    upstream_count: usize,
    /// Whether the planner runs after the start of traffic.
    is_repair_enabled: bool,
}

impl EmulatedFleet {
    /// Creates a fleet whose upstreams are about to start. `seed` determines all random choices.
    pub fn new(spec: FleetSpec, seed: u64) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            config: spec.config(),
            random: StdRng::seed_from_u64(seed),
            started: now,
            now,
            upstreams: BTreeMap::new(),
            view: FleetView::default(),
            planner: None,
            fencing: 0,
            effects: Vec::new(),
            last_planned_at: None,
            stalled_since: HashMap::new(),
            violations: Vec::new(),
            load_count: 0,
            upstream_count: 0,
            is_repair_enabled: true,
            spec,
        };
        fleet.replace_planner();
        for domain in 0..fleet.spec.data_centres * fleet.spec.domains {
            for _ in 0..fleet.spec.domain_size {
                let upstream = fleet.new_upstream(domain);
                let at = fleet.now + START_PERIOD.mul_f64(fleet.random.random());
                fleet.effects.push((at, DelayedEffect::UpstreamStarted(Box::new(upstream))));
            }
        }
        fleet
    }

    /// Disables the planner from the start of traffic on, so that groups are not repaired.
    pub fn without_repair(mut self) -> Self {
        self.is_repair_enabled = false;
        self
    }

    /// Runs a scenario and reports how much of the demand could be served. Every call continues
    /// from the current state, but the times of a scenario, including its duration, always count
    /// from the start of traffic.
    pub fn run(&mut self, scenario: &LossScenario) -> CapacityReport {
        let mut report = CapacityReport::new(self.spec.demand.len(), STEP);
        let start = self.started + PRE_TRAFFIC_PERIOD;
        let mut events = scenario.events.iter().peekable();
        while self.now < start + scenario.duration {
            self.now += STEP;
            while let Some((_, event)) = events.next_if(|(at, _)| start + *at <= self.now) {
                self.apply_event(event);
            }
            self.step();
            if self.now >= start {
                report.record_step(
                    &self.serving_capacity(),
                    &self.potential_capacity(),
                    &self.spec.demand,
                );
            }
        }
        report
    }

    /// Violations of the planner's invariant: an upstream was ordered to join a group while the head
    /// of its previous group may have been serving.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Number of loads from the weight store that started after the start of traffic.
    pub fn load_count(&self) -> usize {
        self.load_count
    }

    fn has_traffic(&self) -> bool {
        self.now >= self.started + PRE_TRAFFIC_PERIOD
    }

    /// Fraction of its configured time that a load takes.
    fn load_time_fraction(&self) -> f64 {
        if self.has_traffic() { 1.0 } else { PRE_TRAFFIC_LOAD_TIME_FRACTION }
    }

    fn new_upstream(&mut self, domain: usize) -> EmulatedUpstream {
        self.upstream_count += 1;
        let data_centre = domain / self.spec.domains;
        let record = UpstreamRecord {
            upstream: Arc::from(format!(
                "i-{}-{}",
                self.random.random::<u16>(),
                self.upstream_count
            )),
            service: self.spec.service(),
            address: Arc::from(format!("10.{data_centre}.0.{}:80", self.upstream_count)),
            data_centre: Arc::from(format!("dc{data_centre}")),
            slots: self.spec.engine.slots,
            state: UpstreamState::Ready,
            cold_left: Duration::ZERO,
            seen_at: self.now,
            domain: Some(Arc::from(format!("d{domain}"))),
            staged: Vec::new(),
            loaded: None,
            membership: None,
            // Only has to differ after a restart, which adds 1.
            start_time_ms: 1,
        };
        EmulatedUpstream::new(record, domain, data_centre)
    }

    fn replace_planner(&mut self) {
        self.fencing += 1;
        let settings = PlannerSettings { load_window: LOAD_WINDOW };
        self.planner = Some(GroupPlanner::new(settings, self.fencing));
    }

    fn apply_event(&mut self, event: &FleetEvent) {
        match event {
            FleetEvent::LoseMembers { data_centre, count } => {
                for _ in 0..*count {
                    let members: Vec<_> = self
                        .upstreams
                        .values()
                        .filter(|upstream| {
                            upstream.is_alive
                                && upstream.data_centre == *data_centre
                                && upstream.record.membership.is_some()
                        })
                        .map(|upstream| upstream.record.upstream.clone())
                        .collect();
                    if let Some(lost) = members.choose(&mut self.random).cloned() {
                        self.lose_upstream(&lost);
                    }
                }
            }
            FleetEvent::DomainOutage { domain, duration } => {
                let lost: Vec<_> = self
                    .upstreams
                    .values()
                    .filter(|upstream| upstream.is_alive && upstream.domain == *domain)
                    .cloned()
                    .collect();
                for upstream in lost {
                    self.lose_upstream(&upstream.record.upstream);
                    self.upstream_count += 1;
                    let id = format!("i-{}-{}", self.random.random::<u16>(), self.upstream_count);
                    let restarted = upstream.restarted(&id, self.now + *duration);
                    self.effects.push((
                        self.now + *duration,
                        DelayedEffect::UpstreamStarted(Box::new(restarted)),
                    ));
                }
            }
            FleetEvent::AddUpstream { data_centre } => {
                let domain = data_centre * self.spec.domains
                    + self.random.random_range(0..self.spec.domains);
                let upstream = self.new_upstream(domain);
                self.effects.push((self.now, DelayedEffect::UpstreamStarted(Box::new(upstream))));
            }
            FleetEvent::PlannerOutage { duration } => {
                self.planner = None;
                self.effects.push((self.now + *duration, DelayedEffect::PlannerStarted));
            }
        }
    }

    /// Stops an upstream. Its record expires later.
    fn lose_upstream(&mut self, id: &UpstreamId) {
        let expiry_delay = RECORD_LIFETIME - HEARTBEAT_INTERVAL.mul_f64(self.random.random());
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.is_alive = false;
            upstream.load = None;
            self.effects
                .push((self.now + expiry_delay, DelayedEffect::RecordVisible(id.clone(), None)));
        }
    }

    /// Advances the fleet to `now`, and plans if anything has changed or a plan is due.
    fn step(&mut self) {
        self.advance_loads();
        self.advance_upstreams();
        let (due, later) =
            std::mem::take(&mut self.effects).into_iter().partition(|(at, _)| *at <= self.now);
        self.effects = later;
        let due: Vec<(Instant, DelayedEffect)> = due;
        let has_changes = !due.is_empty();
        for (_, effect) in due {
            self.apply_effect(effect);
        }
        self.update_stalled_groups();
        let is_plan_due =
            self.last_planned_at.is_none_or(|at| self.now.duration_since(at) >= MAX_PLAN_INTERVAL);
        if has_changes || is_plan_due {
            self.last_planned_at = Some(self.now);
            self.plan();
        }
    }

    fn plan(&mut self) {
        let traffic = TrafficSummary {
            has_traffic: self.has_traffic(),
            silent: self.silent_heads(),
            requests_per_slot: self.requests_per_slot(),
        };
        if traffic.has_traffic && !self.is_repair_enabled {
            return;
        }
        let Some(planner) = &mut self.planner else { return };
        let steps = planner.plan(&self.view, &self.config, &traffic, self.now);
        for step in steps {
            let (delay, effect) = match step {
                PlanStep::Write(writes) => (CALL_DELAY, DelayedEffect::WriteCompleted(writes)),
                PlanStep::Probe(targets) => {
                    for target in targets {
                        let (delay, outcome) = match self.is_alive(&target.upstream) {
                            true => (CALL_DELAY, ProbeOutcome::Alive),
                            false => (LOST_PROBE_DELAY, ProbeOutcome::Lost),
                        };
                        let effect = DelayedEffect::ProbeCompleted(target.upstream, outcome);
                        self.effects.push((self.now + delay, effect));
                    }
                    continue;
                }
                PlanStep::Order(order) => match self.is_alive(&order.upstream) {
                    true => (CALL_DELAY, DelayedEffect::OrderReceived(order)),
                    false => {
                        let outcome = OrderOutcome::Unreachable;
                        (UNREACHABLE_ORDER_DELAY, DelayedEffect::OrderFailed(order, outcome))
                    }
                },
            };
            self.effects.push((self.now + delay, effect));
        }
    }

    fn apply_effect(&mut self, effect: DelayedEffect) {
        match effect {
            DelayedEffect::RecordVisible(id, Some(record)) => {
                self.view.upstreams.insert(id, Arc::new(*record));
            }
            DelayedEffect::RecordVisible(id, None) => {
                self.view.upstreams.remove(&id);
            }
            DelayedEffect::OrderReceived(order) => {
                let outcome = self.execute_order(&order);
                if let Some(planner) = &mut self.planner {
                    planner.record_order_outcome(&order, outcome, self.now);
                }
            }
            DelayedEffect::OrderFailed(order, outcome) => {
                if let Some(planner) = &mut self.planner {
                    planner.record_order_outcome(&order, outcome, self.now);
                }
            }
            DelayedEffect::ProbeCompleted(id, outcome) => {
                if let Some(planner) = &mut self.planner {
                    planner.record_probe_outcome(&id, outcome, self.now);
                }
            }
            DelayedEffect::WriteCompleted(writes) => {
                if let Some(planner) = &mut self.planner {
                    planner.record_write_outcome(
                        &writes,
                        WriteOutcome::Done { version: None },
                        self.now,
                    );
                }
                let visible = DelayedEffect::WriteVisible(writes);
                self.effects.push((self.now + WRITE_DELAY, visible));
            }
            DelayedEffect::WriteVisible(writes) => {
                for write in writes {
                    match write {
                        GroupWrite::Create(group) | GroupWrite::MarkClosing(group) => {
                            self.view.groups.insert(group.group.clone(), Arc::new(group));
                        }
                        GroupWrite::Remove(group) => {
                            self.view.groups.remove(&group);
                        }
                    }
                }
            }
            DelayedEffect::UpstreamStarted(upstream) => {
                let id = upstream.record.upstream.clone();
                self.upstreams.insert(id.clone(), *upstream);
                self.report_record(&id);
            }
            DelayedEffect::PlannerStarted => self.replace_planner(),
        }
    }

    fn execute_order(&mut self, order: &UpstreamOrder) -> OrderOutcome {
        self.check_join(order);
        let load_time_fraction = self.load_time_fraction();
        let Some(upstream) = self.upstreams.get_mut(&order.upstream) else {
            return OrderOutcome::Gone;
        };
        if !upstream.is_alive {
            return OrderOutcome::Unknown;
        }
        let was_loading = upstream.load.is_some();
        let outcome =
            upstream.execute_order(order, &self.spec.engine, load_time_fraction, self.now);
        let has_started_load = !was_loading && upstream.load.is_some();
        self.load_count += usize::from(has_started_load && self.has_traffic());
        self.report_record(&order.upstream);
        outcome
    }

    /// Records a violation if an upstream is ordered to join another group while the head of its
    /// previous group may be serving.
    fn check_join(&mut self, order: &UpstreamOrder) {
        let OrderKind::Join { .. } = &order.kind else { return };
        let Some(upstream) = self.upstreams.get(&order.upstream) else { return };
        let Some(previous) = &upstream.record.membership else { return };
        let is_same = order.group.as_ref().is_some_and(|(group, _)| *group == previous.group);
        let head = upstream.members.first().and_then(|head| self.upstreams.get(head));
        let may_serve = head.is_some_and(|head| {
            let is_in_group = head
                .record
                .membership
                .as_ref()
                .is_some_and(|membership| membership.generation == previous.generation);
            let is_serving = matches!(head.state(), Some(GroupState::Open | GroupState::Closing));
            head.is_alive && is_in_group && is_serving
        });
        if !is_same && may_serve {
            self.violations.push(format!(
                "{} was ordered to join a group while the head of its previous group {} may be serving",
                order.upstream, previous.group
            ));
        }
    }

    fn advance_loads(&mut self) {
        let running_loads =
            self.upstreams.values().filter(|upstream| upstream.load.is_some()).count();
        if running_loads == 0 {
            return;
        }
        let max_full_speed_loads = f64::from(self.spec.engine.loads_at_once);
        // Before the start of traffic, loads do not slow each other down.
        let speed = if self.has_traffic() {
            (max_full_speed_loads / running_loads as f64).min(1.0)
        } else {
            1.0
        };
        let ended: Vec<_> = self
            .upstreams
            .values_mut()
            .filter_map(|upstream| {
                let has_ended = upstream.advance_load(STEP.mul_f64(speed));
                has_ended.then(|| upstream.record.upstream.clone())
            })
            .collect();
        ended.iter().for_each(|id| self.report_record(id));
    }

    fn advance_upstreams(&mut self) {
        let now = self.now;
        let changed: Vec<_> = self
            .upstreams
            .values_mut()
            .filter(|upstream| upstream.is_alive)
            .filter_map(|upstream| {
                let has_changed = upstream.advance(now);
                has_changed.then(|| upstream.record.upstream.clone())
            })
            .collect();
        changed.iter().for_each(|id| self.report_record(id));
    }

    /// Makes the current record of an upstream visible to the planner after [`REPORT_DELAY`].
    fn report_record(&mut self, id: &UpstreamId) {
        let Some(upstream) = self.upstreams.get(id).filter(|upstream| upstream.is_alive) else {
            return;
        };
        let record = Box::new(upstream.record.clone());
        self.effects.push((
            self.now + REPORT_DELAY,
            DelayedEffect::RecordVisible(id.clone(), Some(record)),
        ));
    }

    fn is_alive(&self, id: &UpstreamId) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| upstream.is_alive)
    }

    /// Whether all members of the group that `head` belongs to are running and have joined it.
    fn is_complete(&self, head: &EmulatedUpstream) -> bool {
        let Some(group) = &head.record.membership else { return false };
        head.members.iter().all(|member| {
            self.upstreams.get(member).is_some_and(|member| {
                let is_member = member.record.membership.as_ref().is_some_and(|membership| {
                    membership.generation == group.generation
                        && membership.state != GroupState::Joining
                });
                member.is_alive && is_member
            })
        })
    }

    /// Records which open groups cannot make progress, because the head or a member is lost.
    fn update_stalled_groups(&mut self) {
        let mut stalled = HashMap::new();
        for head in self.upstreams.values() {
            let Some(group) = head.record.membership.as_ref() else { continue };
            if group.state != GroupState::Open || (head.is_alive && self.is_complete(head)) {
                continue;
            }
            let since = self.stalled_since.get(&group.group).copied().unwrap_or(self.now);
            stalled.insert(group.group.clone(), since);
        }
        self.stalled_since = stalled;
    }

    /// Heads that the nodes report as silent.
    fn silent_heads(&self) -> Vec<UpstreamId> {
        let is_reported = |group: &Arc<str>| {
            self.stalled_since
                .get(group)
                .is_some_and(|since| self.now.duration_since(*since) >= SILENCE_REPORT_DELAY)
        };
        self.view
            .groups
            .values()
            .filter(|group| is_reported(&group.group))
            .filter_map(|group| group.members.first().map(|(head, _)| head.clone()))
            .collect()
    }

    /// Number of serving groups of each model, in groups of normal speed: a cross-domain group,
    /// which is slower, counts as a fraction of a group.
    fn serving_capacity(&self) -> Vec<f64> {
        let models = &self.spec.engine.models;
        let capacity_of = |model: &ModelId| {
            let replicas = self.view.replicas(&self.spec.service(), model);
            let speed = |is_cross_domain: bool| {
                if is_cross_domain { 1.0 / self.spec.engine.cross_domain_factor } else { 1.0 }
            };
            replicas
                .iter()
                .filter(|replica| {
                    let head = self.upstreams.get(&replica.head.upstream);
                    head.is_some_and(|head| head.is_alive && self.is_complete(head))
                })
                .map(|replica| speed(replica.is_cross_domain))
                .sum()
        };
        models.iter().map(|spec| capacity_of(&spec.model)).collect()
    }

    /// Number of groups of each model, in groups of normal speed, that would serve if all upstreams
    /// that hold the model formed groups instantly.
    fn potential_capacity(&self) -> Vec<f64> {
        let engine = &self.spec.engine;
        let potential_of = |spec: &ModelSpec| {
            // Number of upstreams that hold the model, by fabric domain.
            let mut holders = vec![0; self.spec.data_centres * self.spec.domains];
            for upstream in self.upstreams.values().filter(|upstream| upstream.is_alive) {
                let record = &upstream.record;
                let holds = record.staged.contains(&spec.model)
                    || record.loaded.as_ref() == Some(&spec.model);
                holders[upstream.domain] += usize::from(holds);
            }
            let single_domain_groups: usize = holders.iter().map(|count| count / spec.size).sum();
            let remainder: usize = holders.iter().map(|count| count % spec.size).sum();
            single_domain_groups as f64
                + (remainder / spec.size) as f64 / engine.cross_domain_factor
        };
        engine.models.iter().map(potential_of).collect()
    }

    /// Stands in for the requests divided by the slots of the serving groups, by model: the demand
    /// divided by the serving capacity, both in groups, and at most 1. A capacity of less than half a
    /// group counts as half a group. Empty before the start of traffic.
    fn requests_per_slot(&self) -> HashMap<ModelId, f64> {
        let capacity = self.serving_capacity();
        let models = self.spec.engine.models.iter().zip(&self.spec.demand).zip(capacity);
        let utilisation = |demand: f64, capacity: f64| (demand / capacity.max(0.5)).min(1.0);
        models
            .filter(|_| self.has_traffic())
            .map(|((spec, demand), capacity)| (spec.model.clone(), utilisation(*demand, capacity)))
            .collect()
    }
}
