//! Group downtime, stranded accelerators and transferred bytes of the planner and of a baseline,
//! over one seeded sequence of failures with a virtual clock.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::time::{Duration, Instant};

use eelgrassdeal_control::{FleetConfig, GroupPlanner, change_from_plan, plan_loss_removals};

use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{
    ConfigChange, ConfigEntry, DataCentre, EntryKey, GroupRecord, Model, ServeRule, Vm, VmLoss,
};
use gumdrop::Options;

use crate::first_fit::plan_first_fit;
use crate::fleet_events::{FleetEvent, FleetShape, draw_events, shapes, vm_ids};

/// Time from a failure to its `VmLoss` entry, in seconds: 1.5 s without an answer, rounded up.
const LOSS_DELAY_S: u64 = 2;
/// Every group is loaded by then, in seconds.
const WARM_UP_S: u64 = PHASE_S;
/// Length of each phase of the sequence, in seconds.
const PHASE_S: u64 = 3_600;
const PHASES: [&str; 4] = ["members fail", "domain dark", "centre out 8 min", "centre out 25 min"];
/// While nothing happens the clock makes steps of this many seconds instead of 1.
const IDLE_STEP_S: u64 = 10;
/// Time without changes after which nothing happens, in seconds.
const IDLE_AFTER_S: u64 = 60;
const ACCELERATORS: u32 = 4;

/// Options of the subcommand `groups`.
#[derive(Debug, Options)]
pub struct GroupsOptions {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Seed.
    #[options(help = "seed of the sequence of events", default = "1")]
    pub seed: u64,
}

/// What decides about groups. The planner has a time until a taken-out data centre is made up for,
/// and either guesses from the time when a group is ready or is told.
#[derive(Clone, Copy)]
enum GroupPolicy {
    Baseline,
    Planner { rebuild_after_ms: u64, knows_ready: bool },
}

type Shard = (String, String, usize);

#[derive(Default)]
struct WorkerState {
    stopped_at: Option<u64>,
    started_at: u64,
    loaded: Option<Shard>,
}

/// A transfer from the weight store.
struct WeightTransfer {
    priority: u32,
    vm: String,
    shard: Shard,
    bytes_left: u64,
}

#[derive(Default)]
struct GroupFigures {
    /// Group-seconds of each phase.
    downtime: [u64; PHASES.len()],
    /// Group-seconds of the rule with priority 0.
    first_rule_downtime: u64,
    stranded_accelerator_s: u64,
    bytes: u64,
    revisions: u64,
    passes: u32,
    planning: Duration,
}

struct FleetModel<'a> {
    shape: &'a FleetShape,
    policy: GroupPolicy,
    fleet: FleetConfig,
    workers: BTreeMap<String, WorkerState>,
    transfers: Vec<WeightTransfer>,
    now_s: u64,
    figures: GroupFigures,
}

/// Runs the measurement and returns its table.
pub fn measure_groups(options: &GroupsOptions) -> String {
    let mut text = format!(
        "seed {}; downtime in group-seconds for each phase of {PHASE_S} s; planner with its time until a \
         rebuild and how it learns that a group is ready\n\n| size | policy | {} \
         | all | of priority 0 | stranded, accelerator-s | transferred, GB | revisions | ms a pass |\n|{}\n",
        options.seed,
        PHASES.join(" | "),
        " --- |".repeat(PHASES.len() + 8),
    );
    let planner =
        |rebuild_after_ms, knows_ready| GroupPolicy::Planner { rebuild_after_ms, knows_ready };
    let policies = [
        ("baseline", GroupPolicy::Baseline),
        ("planner, 10 min, guessed", planner(600_000, false)),
        ("planner, 10 min, known", planner(600_000, true)),
        ("planner, 1 s, known", planner(1_000, true)),
    ];
    for shape in shapes() {
        let events = draw_events(&shape, options.seed, WARM_UP_S, PHASE_S);
        for (name, policy) in policies {
            let figures = FleetModel::new(&shape, policy).run(&events);
            let phases = figures.downtime.map(|seconds| seconds.to_string()).join(" | ");
            let _ = writeln!(
                text,
                "| {} | {name} | {phases} | {} | {} | {} | {} | {} | {:.2} |",
                shape.name,
                figures.downtime.iter().sum::<u64>(),
                figures.first_rule_downtime,
                figures.stranded_accelerator_s,
                figures.bytes / 1_000_000_000,
                figures.revisions,
                figures.planning.as_secs_f64() * 1e3 / f64::from(figures.passes.max(1)),
            );
        }
    }
    text
}

impl<'a> FleetModel<'a> {
    fn new(shape: &'a FleetShape, policy: GroupPolicy) -> Self {
        let mut model = Self {
            shape,
            policy,
            fleet: FleetConfig::new(),
            workers: BTreeMap::new(),
            transfers: Vec::new(),
            now_s: 0,
            figures: GroupFigures::default(),
        };
        let mut bodies: Vec<Body> =
            (0..shape.centres).map(|centre| centre_body(&format!("c{centre}"), "in")).collect();
        for domain in 0..shape.domains.len() {
            for id in vm_ids(shape, domain) {
                model.workers.insert(id.clone(), WorkerState::default());
                let port = 10_000 + model.workers.len();
                bodies.push(Body::Vm(Vm {
                    id,
                    address: format!("127.0.0.1:{port}"),
                    data_centre: format!("c{}", domain % shape.centres),
                    fabric_domain: format!("f{domain:02}"),
                    role: "worker".to_owned(),
                    accelerators: ACCELERATORS,
                    fencing: "honoured".to_owned(),
                    state: "in_service".to_owned(),
                    ..Vm::default()
                }));
            }
        }
        for (priority, replicas) in (0..).zip(shape.replicas) {
            let id = format!("m{priority}");
            bodies.push(Body::Model(Model {
                id: id.clone(),
                version: "1".to_owned(),
                vms_per_replica: shape.vms_per_replica,
                weights_bytes: shape.weights_bytes,
                slots: 8,
                cold_slots: 1,
                kv_tokens: 1,
                ramp_step_ms: 1_000,
                first_token_target_ms: 500,
            }));
            let rebuild_after_ms = match policy {
                GroupPolicy::Baseline => 0,
                GroupPolicy::Planner { rebuild_after_ms, .. } => rebuild_after_ms,
            };
            let rule = ServeRule {
                id: id.clone(),
                model: id,
                replicas,
                priority,
                rebuild_after_ms,
                ..ServeRule::default()
            };
            bodies.push(Body::Serve(rule));
        }
        model.write(bodies, Vec::new());
        model
    }

    fn run(mut self, events: &BTreeMap<u64, Vec<FleetEvent>>) -> GroupFigures {
        let end_s = WARM_UP_S + PHASE_S * PHASES.len() as u64;
        let (mut last_change_s, mut last_revision) = (0, 0);
        while self.now_s < end_s {
            if self.now_s == WARM_UP_S {
                assert_eq!(self.missing_groups(), [0, 0], "the warm-up is too short");
                self.figures = GroupFigures::default();
            }
            for event in events.get(&self.now_s).into_iter().flatten() {
                self.happen(event);
                last_change_s = self.now_s;
            }
            self.write_losses();
            self.plan();
            self.order();
            self.transfer();
            if !self.transfers.is_empty() || self.fleet.revision() != last_revision {
                (last_change_s, last_revision) = (self.now_s, self.fleet.revision());
            }
            let is_idle = self.now_s - last_change_s >= IDLE_AFTER_S;
            let next_s = self.now_s + if is_idle { IDLE_STEP_S } else { 1 };
            let next_event_s = events.range(self.now_s + 1..).next().map_or(end_s, |(at, _)| *at);
            let phase_end_s = (self.now_s / PHASE_S + 1) * PHASE_S;
            let next_s = next_s.min(next_event_s).min(phase_end_s);
            self.count(next_s - self.now_s);
            self.now_s = next_s;
        }
        self.figures
    }

    fn write(&mut self, bodies: Vec<Body>, remove: Vec<EntryKey>) {
        let upsert = bodies.into_iter().map(|body| ConfigEntry { body: Some(body) }).collect();
        let revision = self.fleet.revision() + 1;
        let accepted_unix_ms = self.now_s * 1000;
        let change =
            ConfigChange { revision, accepted_unix_ms, upsert, remove, ..ConfigChange::default() };
        assert!(self.fleet.apply(&change));
    }

    fn happen(&mut self, event: &FleetEvent) {
        match event {
            FleetEvent::Stop { vm, loses_weights } => {
                let Some(worker) = self.workers.get_mut(vm) else { return };
                worker.stopped_at.get_or_insert(self.now_s);
                if *loses_weights {
                    worker.loaded = None;
                }
            }
            FleetEvent::Start(vm) => {
                let Some(worker) = self.workers.get_mut(vm) else { return };
                worker.stopped_at = None;
                worker.started_at = self.now_s;
            }
            FleetEvent::SetCentre(state) => {
                self.write(vec![centre_body("c0", state)], Vec::new());
            }
        }
    }

    /// Writes and removes `VmLoss` entries as owners and planner do.
    fn write_losses(&mut self) {
        let now_s = self.now_s;
        let lost: Vec<Body> = (self.workers.iter())
            .filter(|(_, worker)| worker.stopped_at.is_some_and(|at| now_s >= at + LOSS_DELAY_S))
            .filter(|(id, _)| self.fleet.vm_loss(id).is_none())
            .map(|(id, _)| Body::VmLoss(VmLoss { id: id.clone(), since_unix_ms: now_s * 1000 }))
            .collect();
        let answering = (self.workers.iter())
            .filter(|(_, worker)| worker.stopped_at.is_none())
            .map(|(id, worker)| (id.as_str().into(), now_s - worker.started_at))
            .map(|(id, seconds)| (id, Duration::from_secs(seconds)))
            .collect();
        let back = plan_loss_removals(&self.fleet, &answering).remove;
        if !lost.is_empty() || !back.is_empty() {
            self.write(lost, back);
        }
    }

    fn plan(&mut self) {
        let now_unix_ms = self.now_s * 1000;
        let knows_ready = matches!(self.policy, GroupPolicy::Planner { knows_ready: true, .. });
        let ready: Vec<_> = (self.fleet.groups())
            .filter(|group| knows_ready && self.is_serving(group))
            .map(|group| (group.id.as_str().into(), group.generation))
            .collect();
        let started = Instant::now();
        let plan = match self.policy {
            GroupPolicy::Planner { .. } => {
                GroupPlanner::new(&self.fleet, &BTreeMap::new(), now_unix_ms)
                    .with_ready(ready)
                    .plan()
            }
            GroupPolicy::Baseline => plan_first_fit(&self.fleet),
        };
        if !plan.is_empty() {
            let change = change_from_plan(&self.fleet, &plan, "planner", now_unix_ms)
                .expect("a plan keeps the invariants");
            assert!(self.fleet.apply(&change));
            self.figures.revisions += 1;
        }
        self.figures.passes += 1;
        self.figures.planning += started.elapsed();
    }

    /// Orders the members that lack their weights to load them, by rule priority.
    fn order(&mut self) {
        let mut wanted: BTreeMap<&str, (u32, Shard)> = BTreeMap::new();
        for group in
            self.fleet.groups().filter(|group| !self.fleet.is_centre_out(&group.data_centre))
        {
            let priority = self.fleet.serve_rule(&group.rule).map_or(0, |rule| rule.priority);
            for (rank, member) in group.members.iter().enumerate() {
                wanted.insert(member, (priority, shard(group, rank)));
            }
        }
        let workers = &self.workers;
        let is_wanted = |vm: &str, shard: &Shard| {
            workers[vm].stopped_at.is_none()
                && wanted.get(vm).is_some_and(|(_, want)| want == shard)
        };
        self.transfers.retain(|transfer| is_wanted(&transfer.vm, &transfer.shard));
        let queued: BTreeSet<String> =
            self.transfers.iter().map(|transfer| transfer.vm.clone()).collect();
        for (vm, (priority, shard)) in wanted {
            let Some(worker) = self.workers.get_mut(vm) else { continue };
            if worker.stopped_at.is_none()
                && worker.loaded.as_ref() != Some(&shard)
                && !queued.contains(vm)
            {
                worker.loaded = None;
                let bytes_left = self.shape.weights_bytes / u64::from(self.shape.vms_per_replica);
                self.transfers.push(WeightTransfer {
                    priority,
                    vm: vm.to_owned(),
                    shard,
                    bytes_left,
                });
            }
        }
        self.transfers.sort_by_key(|transfer| transfer.priority);
    }

    /// Spends one second of the weight store's rate on the first transfers of the queue.
    fn transfer(&mut self) {
        let mut budget = self.shape.store_rate;
        for transfer in &mut self.transfers {
            let bytes = budget.min(transfer.bytes_left);
            transfer.bytes_left -= bytes;
            budget -= bytes;
            self.figures.bytes += bytes;
            if transfer.bytes_left == 0
                && let Some(worker) = self.workers.get_mut(&transfer.vm)
            {
                worker.loaded = Some(transfer.shard.clone());
            }
        }
        self.transfers.retain(|transfer| transfer.bytes_left > 0);
    }

    fn is_serving(&self, group: &GroupRecord) -> bool {
        let is_ready = |(rank, member): (usize, &String)| {
            let worker = &self.workers[member];
            worker.stopped_at.is_none() && worker.loaded.as_ref() == Some(&shard(group, rank))
        };
        group.state == "serving"
            && !self.fleet.is_centre_out(&group.data_centre)
            && group.members.iter().enumerate().all(is_ready)
    }

    /// Replicas that each rule wants and that do not serve.
    fn missing_groups(&self) -> Vec<u64> {
        let missing = self.fleet.serve_rules().map(|rule| {
            let of_rule = self.fleet.groups().filter(|group| group.rule == rule.id);
            let serving = of_rule.filter(|group| self.is_serving(group)).count() as u64;
            u64::from(rule.replicas).saturating_sub(serving)
        });
        missing.collect()
    }

    fn count(&mut self, seconds: u64) {
        let by_rule = self.missing_groups();
        let missing: u64 = by_rule.iter().sum();
        self.figures.first_rule_downtime += by_rule[0] * seconds;
        let phase = usize::try_from(self.now_s.saturating_sub(WARM_UP_S) / PHASE_S).unwrap_or(0);
        self.figures.downtime[phase] += missing * seconds;
        if missing == 0 {
            return;
        }
        let serving: BTreeSet<&String> = (self.fleet.groups())
            .filter(|group| self.is_serving(group))
            .flat_map(|group| &group.members)
            .collect();
        let stranded = (self.fleet.vms())
            .filter(|vm| self.workers[&vm.id].stopped_at.is_none() && !serving.contains(&vm.id))
            .filter(|vm| !self.fleet.is_centre_out(&vm.data_centre))
            .count() as u64;
        self.figures.stranded_accelerator_s += stranded * u64::from(ACCELERATORS) * seconds;
    }
}

fn centre_body(id: &str, state: &str) -> Body {
    let (id, state) = (id.to_owned(), state.to_owned());
    Body::DataCentre(DataCentre { id, state, ..DataCentre::default() })
}

/// The weights that a member loads.
fn shard(group: &GroupRecord, rank: usize) -> Shard {
    (group.model.clone(), group.version.clone(), rank)
}
