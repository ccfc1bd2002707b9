//! A fleet that carries out a planner's steps, for tests.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(unreachable_pub, reason = "shared by several test files")]

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{
    EngineSpec, FleetView, GroupMembership, GroupPlanner, GroupRecord, GroupState, GroupWrite,
    ModelSpec, OrderKind, OrderOutcome, PlanStep, PlannerSettings, ProbeOutcome, ServiceConfig,
    ServiceSpec, TrafficSummary, UpstreamOrder, UpstreamRecord, UpstreamState, WriteOutcome,
};

pub const SERVICE: &str = "engines";
pub const BIG: &str = "big";
pub const SMALL: &str = "small";

/// Models of 4 and 3 members.
pub fn engine() -> EngineSpec {
    let model = |name: &str, size, load_s| ModelSpec {
        model: Arc::from(name),
        size,
        share: 0.5,
        pace: 1.0,
        load_time: Duration::from_secs(load_s),
        warm_time: Duration::from_millis(1_500),
    };
    EngineSpec {
        models: vec![model(BIG, 4, 16), model(SMALL, 3, 12)],
        slots: 26,
        kv_memory_tokens: 1_000_000,
        step_time: Duration::from_millis(6),
        per_sequence_ms: 0.04,
        per_context_ms: 0.01,
        read_per_s: 50_000.0,
        stride: 7,
        load_rate: 4.0,
        loads_at_once: 6,
        form_time: Duration::from_millis(300),
        far_factor: 2.5,
        usual_prompt: 1_000.0,
        usual_answer: 200.0,
    }
}

pub fn config() -> ServiceConfig {
    let spec = ServiceSpec {
        service: Arc::from(SERVICE),
        max_connections: 400,
        cold_rate: 30.0,
        engine: Some(engine()),
    };
    ServiceConfig::new(1).with_services(vec![spec])
}

pub fn upstream(name: &str, domain: &str, now: Instant) -> UpstreamRecord {
    UpstreamRecord {
        upstream: Arc::from(name),
        service: Arc::from(SERVICE),
        address: Arc::from(format!("10.0.0.1:{}", 1_000 + name.len())),
        data_centre: Arc::from("dc"),
        slots: 26,
        state: UpstreamState::Ready,
        cold_left: Duration::ZERO,
        seen_at: now,
        domain: Some(Arc::from(domain)),
        staged: Vec::new(),
        loaded: None,
        membership: None,
        born: 1,
    }
}

/// Carries out orders at once, except at upstreams that are cut off.
pub struct PlayedFleet {
    pub view: FleetView,
    pub planner: GroupPlanner,
    pub config: ServiceConfig,
    pub now: Instant,
    pub has_traffic: bool,
    /// Upstreams that no order reaches.
    pub cut: Vec<Arc<str>>,
    /// Real state of each upstream, also of those whose record is gone.
    pub real: BTreeMap<Arc<str>, GroupMembership>,
    /// Joins of an upstream while the head of its former group was open.
    pub violations: Vec<String>,
    pub orders: Vec<UpstreamOrder>,
    pub silent: Vec<Arc<str>>,
    pub pressure: HashMap<Arc<str>, f64>,
    /// Some nodes cannot be asked whether they reach an upstream.
    pub has_silent_nodes: bool,
    /// Orders to close get no answer and are not carried out.
    pub loses_close: bool,
    heads: BTreeMap<Arc<str>, Arc<str>>,
}

impl PlayedFleet {
    pub fn new(domains: usize, size: usize) -> Self {
        let now = Instant::now();
        let mut view = FleetView::default();
        for domain in 0..domains {
            for index in 0..size {
                let name = format!("d{domain}-{index}");
                let record = upstream(&name, &format!("d{domain}"), now);
                view.upstreams.insert(Arc::from(name), Arc::new(record));
            }
        }
        let settings = PlannerSettings {
            stall_timeout: Duration::from_secs(4),
            load_window: Duration::from_secs(5),
        };
        Self {
            view,
            planner: GroupPlanner::new(settings, 1),
            config: config(),
            now,
            has_traffic: false,
            cut: Vec::new(),
            real: BTreeMap::new(),
            violations: Vec::new(),
            orders: Vec::new(),
            silent: Vec::new(),
            pressure: HashMap::new(),
            has_silent_nodes: false,
            loses_close: false,
            heads: BTreeMap::new(),
        }
    }

    /// Plans every 50 ms for `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(50);
            let load = TrafficSummary {
                has_traffic: self.has_traffic,
                silent: self.silent.clone(),
                requests_per_slot: self.pressure.clone(),
            };
            let steps = self.planner.plan(&self.view, &self.config, &load, self.now);
            for step in steps {
                self.carry_out(step);
            }
        }
    }

    /// Adds a group that serves.
    pub fn add_group(&mut self, name: &str, generation: u64, model: &str, members: &[&str]) {
        for (index, member) in members.iter().enumerate() {
            let state = if index == 0 { GroupState::Open } else { GroupState::Ready };
            let membership = GroupMembership { group: Arc::from(name), generation, state };
            let member: Arc<str> = Arc::from(*member);
            self.real.insert(member.clone(), membership.clone());
            self.change(&member, |record| record.membership = Some(membership));
        }
        self.heads.insert(Arc::from(name), Arc::from(members[0]));
        let group = GroupRecord {
            group: Arc::from(name),
            generation,
            service: Arc::from(SERVICE),
            model: Arc::from(model),
            members: members.iter().map(|member| (Arc::from(*member), 1)).collect(),
            head_address: Arc::from("10.0.0.1:1"),
            is_closing: false,
        };
        self.view.groups.insert(group.group.clone(), Arc::new(group));
    }

    /// Takes an upstream away; its record stays.
    pub fn kill(&mut self, name: &str) {
        self.cut.push(Arc::from(name));
        self.real.remove(name);
    }

    /// Removes the record of an upstream.
    pub fn lapse(&mut self, name: &str) {
        self.view.upstreams.remove(name);
    }

    pub fn serving(&self, model: &str) -> usize {
        self.view.replicas(SERVICE, model).len()
    }

    pub fn head_of(&self, model: &str) -> Arc<str> {
        let replica = self.view.replicas(SERVICE, model).into_iter().next();
        replica.expect("a group serves").head.upstream.clone()
    }

    /// A member that is no head, of the group of `head`.
    pub fn member_of(&self, head: &str) -> Arc<str> {
        let group = self.view.groups.values().find(|group| &*group.members[0].0 == head);
        group.expect("the head has a group").members[1].0.clone()
    }

    fn carry_out(&mut self, step: PlanStep) {
        match step {
            PlanStep::Write(writes) => {
                for write in writes.clone() {
                    match write {
                        GroupWrite::Create(group) => {
                            let is_known = self.view.groups.contains_key(&group.group);
                            assert!(!is_known, "a row is overwritten");
                            self.view.groups.insert(group.group.clone(), Arc::new(group));
                        }
                        GroupWrite::MarkClosing(group) => {
                            self.view.groups.insert(group.group.clone(), Arc::new(group));
                        }
                        GroupWrite::Remove(group) => {
                            self.view.groups.remove(&group);
                        }
                    }
                }
                self.check_members();
                self.planner.record_write_outcome(&writes, WriteOutcome::Done, self.now);
            }
            PlanStep::Probe(targets) => {
                for target in targets {
                    let outcome = match self.cut.contains(&target.upstream) {
                        true => ProbeOutcome::Lost,
                        false => ProbeOutcome::Alive,
                    };
                    self.planner.record_probe_outcome(&target.upstream, outcome, self.now);
                }
            }
            PlanStep::Order(order) => {
                let is_close = matches!(order.kind, OrderKind::Close { .. });
                let outcome = match self.cut.contains(&order.upstream) {
                    true if self.has_silent_nodes => OrderOutcome::PartlyUnreachable,
                    true => OrderOutcome::Unreachable,
                    false if is_close && self.loses_close => OrderOutcome::Unknown,
                    false => self.obey(&order),
                };
                self.orders.push(order.clone());
                self.planner.record_order_outcome(&order, outcome, self.now);
            }
        }
    }

    /// No upstream belongs to two groups, and none twice to one.
    fn check_members(&mut self) {
        let mut seen = std::collections::BTreeSet::new();
        for group in self.view.groups.values() {
            for member in &group.members {
                if !seen.insert(member.clone()) {
                    self.violations.push(format!("{} is in two places", member.0));
                }
            }
        }
    }

    fn obey(&mut self, order: &UpstreamOrder) -> OrderOutcome {
        let known = self.real.get(&order.upstream).cloned();
        let next = match (&order.kind, &order.group) {
            (OrderKind::Stage { model }, _) => {
                self.change(&order.upstream, |record| record.staged = vec![model.clone()]);
                return OrderOutcome::Accepted;
            }
            (OrderKind::Join { model, members }, Some((group, generation))) => {
                self.check_join(order);
                self.heads.insert(group.clone(), members[0].clone());
                let model = model.clone();
                self.change(&order.upstream, |record| {
                    record.loaded = Some(model.clone());
                    record.staged = vec![model];
                });
                Some(GroupMembership {
                    group: group.clone(),
                    generation: *generation,
                    state: GroupState::Ready,
                })
            }
            (kind, Some((group, generation))) => {
                let Some(known) =
                    known.filter(|known| known.group == *group && known.generation == *generation)
                else {
                    return OrderOutcome::Conflict;
                };
                match kind {
                    OrderKind::Open => Some(GroupMembership { state: GroupState::Open, ..known }),
                    OrderKind::Close { .. } => {
                        Some(GroupMembership { state: GroupState::Ready, ..known })
                    }
                    // A head that serves must be closed first.
                    _ if known.state == GroupState::Open => return OrderOutcome::Conflict,
                    _ => None,
                }
            }
            _ => return OrderOutcome::Conflict,
        };
        match next.clone() {
            Some(next) => self.real.insert(order.upstream.clone(), next),
            None => self.real.remove(&order.upstream),
        };
        self.change(&order.upstream, |record| record.membership = next);
        OrderOutcome::Accepted
    }

    fn check_join(&mut self, order: &UpstreamOrder) {
        let Some(former) = self.real.get(&order.upstream) else { return };
        let Some(head) = self.heads.get(&former.group) else { return };
        let is_other = order.group.as_ref().map(|(group, _)| group) != Some(&former.group);
        let is_open = self
            .real
            .get(head)
            .is_some_and(|known| known.group == former.group && known.state == GroupState::Open);
        if is_other && is_open {
            self.violations.push(format!("{} joins while {head} is open", order.upstream));
        }
    }

    fn change(&mut self, name: &Arc<str>, change: impl FnOnce(&mut UpstreamRecord)) {
        if let Some(record) = self.view.upstreams.get_mut(name) {
            change(Arc::make_mut(record));
        }
    }
}
