//! A fleet that carries out a planner's steps in virtual time.

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
use crate::script::{FleetEvent, LossScript};
use crate::spec::FleetSpec;
use crate::upstream::EmulatedUpstream;

/// Virtual time between two looks.
const STEP: Duration = Duration::from_millis(10);
/// Pause between two plans, as in the gateway.
const PLAN_PAUSE: Duration = Duration::from_millis(50);
/// Time from a change of an upstream until the planner sees it in its record.
const REPORT_DELAY: Duration = Duration::from_millis(60);
/// Time of a write to the store until the planner sees it.
const WRITE_DELAY: Duration = Duration::from_millis(60);
/// Time of an order that is answered.
const ORDER_DELAY: Duration = Duration::from_millis(10);
/// Time until an order to an upstream that is silent ends, other nodes included.
const UNREACHABLE_DELAY: Duration = Duration::from_millis(900);
/// Time until a probe of a silent upstream ends.
const PROBE_DELAY: Duration = Duration::from_millis(140);
/// Time from the loss of a member until the nodes have told that the head is silent.
const SILENCE_DELAY: Duration = Duration::from_millis(600);
/// The record of a silent upstream lapses after this time, less the time since its last heartbeat.
const LAPSE_TIME: Duration = Duration::from_millis(3_600);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Upstreams register over this time after the start.
const START_SPREAD: Duration = Duration::from_secs(3);
/// Time from the start of the fleet until the first request.
const LEAD: Duration = Duration::from_secs(10);
/// Before the first request a load takes this part of its time.
const EARLY_LOAD_PART: f64 = 0.1;
/// After this time a group whose head waits for a lost member is broken.
const STALL: Duration = Duration::from_secs(4);
const LOAD_WINDOW: Duration = Duration::from_secs(5);

/// Something that takes effect later.
#[derive(Clone, Debug)]
enum DelayedEffect {
    /// The planner sees a record; `None` when it lapsed.
    Record(UpstreamId, Option<Box<UpstreamRecord>>),
    /// An order arrives.
    Order(UpstreamOrder),
    Outcome(UpstreamOrder, OrderOutcome),
    Probe(UpstreamId, ProbeOutcome),
    /// The store has carried out a write.
    Write(Vec<GroupWrite>),
    /// The table shows a write.
    Shown(Vec<GroupWrite>),
    /// An upstream starts.
    Start(Box<EmulatedUpstream>),
    /// The next planner begins.
    Planner,
}

/// A fleet and its planner.
pub struct EmulatedFleet {
    spec: FleetSpec,
    config: ServiceConfig,
    random: StdRng,
    started: Instant,
    now: Instant,
    upstreams: BTreeMap<UpstreamId, EmulatedUpstream>,
    view: FleetView,
    planner: Option<GroupPlanner>,
    fencing: u64,
    effects: Vec<(Instant, DelayedEffect)>,
    planned_at: Option<Instant>,
    /// Since when a group stands still.
    still_since: HashMap<Arc<str>, Instant>,
    violations: Vec<String>,
    loads: usize,
    names: usize,
    /// Whether a planner works while there are requests.
    is_repaired: bool,
}

impl EmulatedFleet {
    /// A fleet that has just started.
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
            planned_at: None,
            still_since: HashMap::new(),
            violations: Vec::new(),
            loads: 0,
            names: 0,
            is_repaired: true,
            spec,
        };
        fleet.replace_planner();
        for domain in 0..fleet.spec.data_centres * fleet.spec.domains {
            for _ in 0..fleet.spec.domain_size {
                let upstream = fleet.new_upstream(domain);
                let at = fleet.now + START_SPREAD.mul_f64(fleet.random.random());
                fleet.effects.push((at, DelayedEffect::Start(Box::new(upstream))));
            }
        }
        fleet
    }

    /// Lets no planner work from the first request on.
    pub fn without_repair(mut self) -> Self {
        self.is_repaired = false;
        self
    }

    /// Plays a day and reports how much of the demand could be served.
    pub fn play(&mut self, script: &LossScript) -> CapacityReport {
        let mut report = CapacityReport::new(self.spec.demand.len(), STEP);
        let start = self.started + LEAD;
        let mut events = script.events.iter().peekable();
        while self.now < start + script.length {
            self.now += STEP;
            while let Some((_, event)) = events.next_if(|(at, _)| start + *at <= self.now) {
                self.happen(event);
            }
            self.step();
            if self.now >= start {
                report.note(&self.capacity(), &self.potential(), &self.spec.demand);
            }
        }
        report
    }

    /// Joins of an upstream while the head of its former group might serve, and groups that served
    /// without a member.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Loads from the weight store after the first request.
    pub fn loads(&self) -> usize {
        self.loads
    }

    fn has_traffic(&self) -> bool {
        self.now >= self.started + LEAD
    }

    fn load_part(&self) -> f64 {
        if self.has_traffic() { 1.0 } else { EARLY_LOAD_PART }
    }

    fn new_upstream(&mut self, domain: usize) -> EmulatedUpstream {
        self.names += 1;
        let data_centre = domain / self.spec.domains;
        let record = UpstreamRecord {
            upstream: Arc::from(format!("i-{}-{}", self.random.random::<u16>(), self.names)),
            service: self.spec.service(),
            address: Arc::from(format!("10.{data_centre}.0.{}:80", self.names)),
            data_centre: Arc::from(format!("dc{data_centre}")),
            slots: self.spec.engine.slots,
            state: UpstreamState::Ready,
            cold_left: Duration::ZERO,
            seen_at: self.now,
            domain: Some(Arc::from(format!("d{domain}"))),
            staged: Vec::new(),
            loaded: None,
            membership: None,
            start_time_ms: 1,
        };
        EmulatedUpstream::new(record, domain, data_centre)
    }

    fn replace_planner(&mut self) {
        self.fencing += 1;
        let settings = PlannerSettings { stall_timeout: STALL, load_window: LOAD_WINDOW };
        self.planner = Some(GroupPlanner::new(settings, self.fencing));
    }

    fn happen(&mut self, event: &FleetEvent) {
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
                        self.lose(&lost);
                    }
                }
            }
            FleetEvent::DarkDomain { domain, lasts } => {
                let dark: Vec<_> = self
                    .upstreams
                    .values()
                    .filter(|upstream| upstream.is_alive && upstream.domain == *domain)
                    .cloned()
                    .collect();
                for upstream in dark {
                    self.lose(&upstream.record.upstream);
                    self.names += 1;
                    let id = format!("i-{}-{}", self.random.random::<u16>(), self.names);
                    let back = upstream.restarted(&id, self.now + *lasts);
                    self.effects.push((self.now + *lasts, DelayedEffect::Start(Box::new(back))));
                }
            }
            FleetEvent::Add { data_centre } => {
                let domain = data_centre * self.spec.domains
                    + self.random.random_range(0..self.spec.domains);
                let upstream = self.new_upstream(domain);
                self.effects.push((self.now, DelayedEffect::Start(Box::new(upstream))));
            }
            FleetEvent::LosePlanner { lasts } => {
                self.planner = None;
                self.effects.push((self.now + *lasts, DelayedEffect::Planner));
            }
        }
    }

    fn lose(&mut self, id: &UpstreamId) {
        let lapse = LAPSE_TIME - HEARTBEAT.mul_f64(self.random.random());
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.is_alive = false;
            upstream.load = None;
            self.effects.push((self.now + lapse, DelayedEffect::Record(id.clone(), None)));
        }
    }

    fn step(&mut self) {
        self.run_loads();
        self.advance_upstreams();
        let (due, later) =
            std::mem::take(&mut self.effects).into_iter().partition(|(at, _)| *at <= self.now);
        self.effects = later;
        let due: Vec<(Instant, DelayedEffect)> = due;
        let is_news = !due.is_empty();
        for (_, effect) in due {
            self.take_effect(effect);
        }
        self.check_groups();
        let is_due = self.planned_at.is_none_or(|at| self.now.duration_since(at) >= PLAN_PAUSE);
        if is_news || is_due {
            self.planned_at = Some(self.now);
            self.plan();
        }
    }

    fn plan(&mut self) {
        let load = TrafficSummary {
            has_traffic: self.has_traffic(),
            silent: self.silent_heads(),
            requests_per_slot: self.pressure(),
        };
        if load.has_traffic && !self.is_repaired {
            return;
        }
        let Some(planner) = &mut self.planner else { return };
        let steps = planner.plan(&self.view, &self.config, &load, self.now);
        for step in steps {
            let (delay, effect) = match step {
                PlanStep::Write(writes) => (ORDER_DELAY, DelayedEffect::Write(writes)),
                PlanStep::Probe(targets) => {
                    for target in targets {
                        let (delay, outcome) = match self.is_alive(&target.upstream) {
                            true => (ORDER_DELAY, ProbeOutcome::Alive),
                            false => (PROBE_DELAY, ProbeOutcome::Lost),
                        };
                        let effect = DelayedEffect::Probe(target.upstream, outcome);
                        self.effects.push((self.now + delay, effect));
                    }
                    continue;
                }
                PlanStep::Order(order) => match self.is_alive(&order.upstream) {
                    true => (ORDER_DELAY, DelayedEffect::Order(order)),
                    false => {
                        let outcome = OrderOutcome::Unreachable;
                        (UNREACHABLE_DELAY, DelayedEffect::Outcome(order, outcome))
                    }
                },
            };
            self.effects.push((self.now + delay, effect));
        }
    }

    fn take_effect(&mut self, effect: DelayedEffect) {
        match effect {
            DelayedEffect::Record(id, Some(record)) => {
                self.view.upstreams.insert(id, Arc::new(*record));
            }
            DelayedEffect::Record(id, None) => {
                self.view.upstreams.remove(&id);
            }
            DelayedEffect::Order(order) => {
                let outcome = self.obey(&order);
                if let Some(planner) = &mut self.planner {
                    planner.record_order_outcome(&order, outcome, self.now);
                }
            }
            DelayedEffect::Outcome(order, outcome) => {
                if let Some(planner) = &mut self.planner {
                    planner.record_order_outcome(&order, outcome, self.now);
                }
            }
            DelayedEffect::Probe(id, outcome) => {
                if let Some(planner) = &mut self.planner {
                    planner.record_probe_outcome(&id, outcome, self.now);
                }
            }
            DelayedEffect::Write(writes) => {
                if let Some(planner) = &mut self.planner {
                    planner.record_write_outcome(&writes, WriteOutcome::Done, self.now);
                }
                let shown = DelayedEffect::Shown(writes);
                self.effects.push((self.now + WRITE_DELAY, shown));
            }
            DelayedEffect::Shown(writes) => {
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
            DelayedEffect::Start(upstream) => {
                let id = upstream.record.upstream.clone();
                self.upstreams.insert(id.clone(), *upstream);
                self.report(&id);
            }
            DelayedEffect::Planner => self.replace_planner(),
        }
    }

    fn obey(&mut self, order: &UpstreamOrder) -> OrderOutcome {
        self.check_join(order);
        let part = self.load_part();
        let Some(upstream) = self.upstreams.get_mut(&order.upstream) else {
            return OrderOutcome::Gone;
        };
        if !upstream.is_alive {
            return OrderOutcome::Unknown;
        }
        let was_loading = upstream.load.is_some();
        let outcome = upstream.obey(order, &self.spec.engine, part, self.now);
        let is_load = !was_loading && upstream.load.is_some();
        self.loads += usize::from(is_load && self.has_traffic());
        self.report(&order.upstream);
        outcome
    }

    /// A worker must not join another group while the head of its former one may serve.
    fn check_join(&mut self, order: &UpstreamOrder) {
        let OrderKind::Join { .. } = &order.kind else { return };
        let Some(upstream) = self.upstreams.get(&order.upstream) else { return };
        let Some(former) = &upstream.record.membership else { return };
        let is_same = order.group.as_ref().is_some_and(|(group, _)| *group == former.group);
        let head = upstream.members.first().and_then(|head| self.upstreams.get(head));
        let may_serve = head.is_some_and(|head| {
            let is_of_group = head
                .record
                .membership
                .as_ref()
                .is_some_and(|known| known.generation == former.generation);
            let is_serving = matches!(head.state(), Some(GroupState::Open | GroupState::Closing));
            head.is_alive && is_of_group && is_serving
        });
        if !is_same && may_serve {
            self.violations.push(format!(
                "{} joins while the head of {} may serve",
                order.upstream, former.group
            ));
        }
    }

    fn run_loads(&mut self) {
        let running = self.upstreams.values().filter(|upstream| upstream.load.is_some()).count();
        if running == 0 {
            return;
        }
        let at_once = f64::from(self.spec.engine.loads_at_once);
        // Loads before the first request do not slow each other down.
        let speed = if self.has_traffic() { (at_once / running as f64).min(1.0) } else { 1.0 };
        let ended: Vec<_> = self
            .upstreams
            .values_mut()
            .filter_map(|upstream| {
                let has_ended = upstream.advance_load(STEP.mul_f64(speed));
                has_ended.then(|| upstream.record.upstream.clone())
            })
            .collect();
        ended.iter().for_each(|id| self.report(id));
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
        changed.iter().for_each(|id| self.report(id));
    }

    /// Lets the planner see the record of an upstream.
    fn report(&mut self, id: &UpstreamId) {
        let Some(upstream) = self.upstreams.get(id).filter(|upstream| upstream.is_alive) else {
            return;
        };
        let record = Box::new(upstream.record.clone());
        self.effects
            .push((self.now + REPORT_DELAY, DelayedEffect::Record(id.clone(), Some(record))));
    }

    fn is_alive(&self, id: &UpstreamId) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| upstream.is_alive)
    }

    /// Whether all members of the group that `head` serves are there.
    fn is_whole(&self, head: &EmulatedUpstream) -> bool {
        let Some(group) = &head.record.membership else { return false };
        head.members.iter().all(|member| {
            self.upstreams.get(member).is_some_and(|member| {
                let is_member = member.record.membership.as_ref().is_some_and(|known| {
                    known.generation == group.generation && known.state != GroupState::Joining
                });
                member.is_alive && is_member
            })
        })
    }

    /// Notes which groups stand still, and which serve although they never were whole.
    fn check_groups(&mut self) {
        let mut still = HashMap::new();
        for head in self.upstreams.values() {
            let Some(group) = head.record.membership.as_ref() else { continue };
            if group.state != GroupState::Open || (head.is_alive && self.is_whole(head)) {
                continue;
            }
            let since = self.still_since.get(&group.group).copied().unwrap_or(self.now);
            still.insert(group.group.clone(), since);
        }
        self.still_since = still;
    }

    /// Heads that the nodes have told to be silent.
    fn silent_heads(&self) -> Vec<UpstreamId> {
        let is_told = |group: &Arc<str>| {
            self.still_since
                .get(group)
                .is_some_and(|since| self.now.duration_since(*since) >= SILENCE_DELAY)
        };
        self.view
            .groups
            .values()
            .filter(|group| is_told(&group.group))
            .filter_map(|group| group.members.first().map(|(head, _)| head.clone()))
            .collect()
    }

    /// Groups of each model that serve, in groups of usual speed.
    fn capacity(&self) -> Vec<f64> {
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
                    head.is_some_and(|head| head.is_alive && self.is_whole(head))
                })
                .map(|replica| speed(replica.is_cross_domain))
                .sum()
        };
        models.iter().map(|spec| capacity_of(&spec.model)).collect()
    }

    /// Groups of each model that the upstreams which hold it could form in no time.
    fn potential(&self) -> Vec<f64> {
        let engine = &self.spec.engine;
        let potential_of = |spec: &ModelSpec| {
            let mut holders = vec![0; self.spec.data_centres * self.spec.domains];
            for upstream in self.upstreams.values().filter(|upstream| upstream.is_alive) {
                let record = &upstream.record;
                let holds = record.staged.contains(&spec.model)
                    || record.loaded.as_ref() == Some(&spec.model);
                holders[upstream.domain] += usize::from(holds);
            }
            let near: usize = holders.iter().map(|count| count / spec.size).sum();
            let rest: usize = holders.iter().map(|count| count % spec.size).sum();
            near as f64 + (rest / spec.size) as f64 / engine.cross_domain_factor
        };
        engine.models.iter().map(potential_of).collect()
    }

    fn pressure(&self) -> HashMap<ModelId, f64> {
        let capacity = self.capacity();
        let models = self.spec.engine.models.iter().zip(&self.spec.demand).zip(capacity);
        let filled = |demand: f64, capacity: f64| (demand / capacity.max(0.5)).min(1.0);
        models
            .filter(|_| self.has_traffic())
            .map(|((spec, demand), capacity)| (spec.model.clone(), filled(*demand, capacity)))
            .collect()
    }
}
