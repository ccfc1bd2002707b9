//! Simulates the group planner and a baseline over one seeded sequence of failures, with a virtual
//! clock. Reports group downtime, stranded accelerators and bytes transferred from the weight
//! store.

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
use crate::fleet_events::{FleetEvent, FleetShape, fleet_shapes, generate_events, vm_ids};

/// Time from the failure of a VM to its `VmLoss` entry, in seconds: 1.5 s without a response,
/// rounded up.
const LOSS_RECORD_DELAY_S: u64 = 2;
/// Time in seconds before the first failure, in which all groups load their weights.
const WARM_UP_S: u64 = PHASE_S;
/// Length of each phase of the failure sequence, in seconds.
const PHASE_S: u64 = 3_600;
/// Names of the phases, which are columns of the table; [`generate_events`] describes the phases.
/// In `domain dark`, no VM of one fabric domain answers for 20 min.
const PHASES: [&str; 4] = ["members fail", "domain dark", "centre out 8 min", "centre out 25 min"];
/// Step of the clock in seconds while the fleet is idle; otherwise the step is 1 s.
const IDLE_STEP_S: u64 = 10;
/// Time in seconds without events, transfers and new revisions after which the fleet is idle.
const IDLE_AFTER_S: u64 = 60;
/// Accelerators of each worker.
const ACCELERATORS: u32 = 4;

/// Options of the subcommand `groups`.
#[derive(Debug, Options)]
pub struct GroupsOptions {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Seed of the failure sequence.
    #[options(help = "seed of the failure sequence", default = "1")]
    pub seed: u64,
}

/// Algorithm that forms and removes groups.
#[derive(Clone, Copy)]
enum GroupPolicy {
    /// First fit, without delay.
    Baseline,
    /// The group planner. `rebuild_after_ms` is the time for which it keeps a group whose data
    /// centre is out of service. With `receives_ready_reports` it learns which groups are ready;
    /// without, it estimates this from the time that loading may take.
    Planner { rebuild_after_ms: u64, receives_ready_reports: bool },
}

/// Part of a model's weights: model id, version and rank of the group member.
type Shard = (String, String, usize);

/// State of a worker. Times are in seconds of the virtual clock.
#[derive(Default)]
struct WorkerState {
    /// Since when the worker does not answer; `None` while it answers.
    stopped_at: Option<u64>,
    /// When the worker last started to answer.
    started_at: u64,
    /// Weights that the worker has in memory.
    loaded: Option<Shard>,
}

/// Transfer of weights from the weight store to a worker.
struct WeightTransfer {
    /// Priority of the serve rule; 0 comes first.
    priority: u32,
    vm: String,
    shard: Shard,
    bytes_left: u64,
}

#[derive(Default)]
struct GroupMetrics {
    /// Time for which required groups did not serve, summed over these groups, for each phase.
    downtime: [u64; PHASES.len()],
    /// Downtime of the groups of the serve rule with priority 0.
    priority_0_downtime: u64,
    /// Time of accelerators whose worker answers but is in no serving group, while groups are
    /// missing. Includes spare workers, but none in a data centre out of service.
    stranded_accelerator_s: u64,
    transferred_bytes: u64,
    /// Configuration changes that contain a plan.
    plan_revisions: u64,
    planner_passes: u32,
    /// Real time of all calls of the planner or baseline.
    planning_time: Duration,
}

/// Simulated fleet under one policy.
struct FleetSimulation<'a> {
    shape: &'a FleetShape,
    policy: GroupPolicy,
    fleet: FleetConfig,
    workers: BTreeMap<String, WorkerState>,
    /// Transfers in progress or queued, by priority.
    transfers: Vec<WeightTransfer>,
    now_s: u64,
    metrics: GroupMetrics,
}

/// Simulates every fleet size under every policy and returns the table of the results.
pub fn measure_groups(options: &GroupsOptions) -> String {
    let mut table = format!(
        "seed {}; downtime in group-seconds for each phase of {PHASE_S} s; domain dark: \
         no VM of one fabric domain answers for 20 min; the time in the name of a policy is that \
         after which the planner replaces the groups of a data centre out of service; known: the \
         planner receives reports of ready groups; guessed: it counts a group as ready after the \
         time that loading may take\n\n| size | policy | {} | all | of priority 0 | stranded, accelerator-s | transferred, GB \
         | revisions | ms a pass |\n|{}\n",
        options.seed,
        PHASES.join(" | "),
        " --- |".repeat(PHASES.len() + 8),
    );
    let planner = |rebuild_after_ms, receives_ready_reports| GroupPolicy::Planner {
        rebuild_after_ms,
        receives_ready_reports,
    };
    let policies = [
        ("baseline", GroupPolicy::Baseline),
        ("planner, 10 min, guessed", planner(600_000, false)),
        ("planner, 10 min, known", planner(600_000, true)),
        ("planner, 1 s, known", planner(1_000, true)),
    ];
    for shape in fleet_shapes() {
        let events = generate_events(&shape, options.seed, WARM_UP_S, PHASE_S);
        for (name, policy) in policies {
            let metrics = FleetSimulation::new(&shape, policy).run(&events);
            let phases = metrics.downtime.map(|seconds| seconds.to_string()).join(" | ");
            let _ = writeln!(
                table,
                "| {} | {name} | {phases} | {} | {} | {} | {} | {} | {:.2} |",
                shape.name,
                metrics.downtime.iter().sum::<u64>(),
                metrics.priority_0_downtime,
                metrics.stranded_accelerator_s,
                metrics.transferred_bytes / 1_000_000_000,
                metrics.plan_revisions,
                metrics.planning_time.as_secs_f64() * 1e3
                    / f64::from(metrics.planner_passes.max(1)),
            );
        }
    }
    table
}

impl<'a> FleetSimulation<'a> {
    fn new(shape: &'a FleetShape, policy: GroupPolicy) -> Self {
        let mut simulation = Self {
            shape,
            policy,
            fleet: FleetConfig::new(),
            workers: BTreeMap::new(),
            transfers: Vec::new(),
            now_s: 0,
            metrics: GroupMetrics::default(),
        };
        let mut bodies: Vec<Body> = (0..shape.data_centres)
            .map(|centre| centre_body(&format!("c{centre}"), "in"))
            .collect();
        for domain in 0..shape.domain_sizes.len() {
            for id in vm_ids(shape, domain) {
                simulation.workers.insert(id.clone(), WorkerState::default());
                let port = 10_000 + simulation.workers.len();
                bodies.push(Body::Vm(Vm {
                    id,
                    address: format!("127.0.0.1:{port}"),
                    data_centre: format!("c{}", domain % shape.data_centres),
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
        simulation.apply_entries(bodies, Vec::new());
        simulation
    }

    fn run(mut self, events: &BTreeMap<u64, Vec<FleetEvent>>) -> GroupMetrics {
        let end_s = WARM_UP_S + PHASE_S * PHASES.len() as u64;
        let (mut last_change_s, mut last_revision) = (0, 0);
        while self.now_s < end_s {
            if self.now_s == WARM_UP_S {
                assert_eq!(self.missing_groups_by_rule(), [0, 0], "the warm-up is too short");
                self.metrics = GroupMetrics::default();
            }
            for event in events.get(&self.now_s).into_iter().flatten() {
                self.apply_event(event);
                last_change_s = self.now_s;
            }
            self.update_losses();
            self.plan();
            self.update_transfers();
            self.advance_transfers();
            if !self.transfers.is_empty() || self.fleet.revision() != last_revision {
                (last_change_s, last_revision) = (self.now_s, self.fleet.revision());
            }
            let is_idle = self.now_s - last_change_s >= IDLE_AFTER_S;
            let next_s = self.now_s + if is_idle { IDLE_STEP_S } else { 1 };
            let next_event_s = events.range(self.now_s + 1..).next().map_or(end_s, |(at, _)| *at);
            let phase_end_s = (self.now_s / PHASE_S + 1) * PHASE_S;
            let next_s = next_s.min(next_event_s).min(phase_end_s);
            self.record_metrics(next_s - self.now_s);
            self.now_s = next_s;
        }
        self.metrics
    }

    /// Accepts a configuration change with these entries.
    fn apply_entries(&mut self, bodies: Vec<Body>, remove: Vec<EntryKey>) {
        let upsert = bodies.into_iter().map(|body| ConfigEntry { body: Some(body) }).collect();
        let revision = self.fleet.revision() + 1;
        let accepted_unix_ms = self.now_s * 1000;
        let change =
            ConfigChange { revision, accepted_unix_ms, upsert, remove, ..ConfigChange::default() };
        assert!(self.fleet.apply(&change));
    }

    fn apply_event(&mut self, event: &FleetEvent) {
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
            FleetEvent::SetCentreState(state) => {
                self.apply_entries(vec![centre_body("c0", state)], Vec::new());
            }
        }
    }

    /// Adds and removes `VmLoss` entries, as the owners of replicas and the planner do.
    fn update_losses(&mut self) {
        let now_s = self.now_s;
        let new_losses: Vec<Body> = (self.workers.iter())
            .filter(|(_, worker)| {
                worker.stopped_at.is_some_and(|at| now_s >= at + LOSS_RECORD_DELAY_S)
            })
            .filter(|(id, _)| self.fleet.vm_loss(id).is_none())
            .map(|(id, _)| Body::VmLoss(VmLoss { id: id.clone(), since_unix_ms: now_s * 1000 }))
            .collect();
        let answering_times = (self.workers.iter())
            .filter(|(_, worker)| worker.stopped_at.is_none())
            .map(|(id, worker)| (id.as_str().into(), now_s - worker.started_at))
            .map(|(id, seconds)| (id, Duration::from_secs(seconds)))
            .collect();
        let losses_to_remove = plan_loss_removals(&self.fleet, &answering_times).remove;
        if !new_losses.is_empty() || !losses_to_remove.is_empty() {
            self.apply_entries(new_losses, losses_to_remove);
        }
    }

    /// Calls the planner or baseline once and applies its plan.
    fn plan(&mut self) {
        let now_unix_ms = self.now_s * 1000;
        let receives_ready_reports =
            matches!(self.policy, GroupPolicy::Planner { receives_ready_reports: true, .. });
        let ready: Vec<_> = (self.fleet.groups())
            .filter(|group| receives_ready_reports && self.is_serving(group))
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
            self.metrics.plan_revisions += 1;
        }
        self.metrics.planner_passes += 1;
        self.metrics.planning_time += started.elapsed();
    }

    /// Starts transfers to the members that lack their weights, and cancels those that are not
    /// needed. Transfers are ordered by the priority of the serve rule.
    fn update_transfers(&mut self) {
        let mut wanted_shards: BTreeMap<&str, (u32, Shard)> = BTreeMap::new();
        for group in
            self.fleet.groups().filter(|group| !self.fleet.is_centre_out(&group.data_centre))
        {
            let priority = self.fleet.serve_rule(&group.rule).map_or(0, |rule| rule.priority);
            for (rank, member) in group.members.iter().enumerate() {
                wanted_shards.insert(member, (priority, shard(group, rank)));
            }
        }
        let workers = &self.workers;
        let is_wanted = |vm: &str, shard: &Shard| {
            workers[vm].stopped_at.is_none()
                && wanted_shards.get(vm).is_some_and(|(_, wanted_shard)| wanted_shard == shard)
        };
        self.transfers.retain(|transfer| is_wanted(&transfer.vm, &transfer.shard));
        let queued_vms: BTreeSet<String> =
            self.transfers.iter().map(|transfer| transfer.vm.clone()).collect();
        for (vm, (priority, shard)) in wanted_shards {
            let Some(worker) = self.workers.get_mut(vm) else { continue };
            if worker.stopped_at.is_none()
                && worker.loaded.as_ref() != Some(&shard)
                && !queued_vms.contains(vm)
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

    /// Advances the transfers by one second, in the order of the queue, with the bandwidth of the
    /// weight store.
    fn advance_transfers(&mut self) {
        let mut budget = self.shape.weights_bytes_per_s;
        for transfer in &mut self.transfers {
            let bytes = budget.min(transfer.bytes_left);
            transfer.bytes_left -= bytes;
            budget -= bytes;
            self.metrics.transferred_bytes += bytes;
            if transfer.bytes_left == 0
                && let Some(worker) = self.workers.get_mut(&transfer.vm)
            {
                worker.loaded = Some(transfer.shard.clone());
            }
        }
        self.transfers.retain(|transfer| transfer.bytes_left > 0);
    }

    /// Whether the group is in state `serving` in a data centre that is in service, and all its
    /// members answer and have their weights.
    fn is_serving(&self, group: &GroupRecord) -> bool {
        let is_ready = |(rank, member): (usize, &String)| {
            let worker = &self.workers[member];
            worker.stopped_at.is_none() && worker.loaded.as_ref() == Some(&shard(group, rank))
        };
        group.state == "serving"
            && !self.fleet.is_centre_out(&group.data_centre)
            && group.members.iter().enumerate().all(is_ready)
    }

    /// For each serve rule, the number of required replicas minus the number of serving groups. A
    /// group is the set of VMs that runs one replica.
    fn missing_groups_by_rule(&self) -> Vec<u64> {
        let missing = self.fleet.serve_rules().map(|rule| {
            let of_rule = self.fleet.groups().filter(|group| group.rule == rule.id);
            let serving = of_rule.filter(|group| self.is_serving(group)).count() as u64;
            u64::from(rule.replicas).saturating_sub(serving)
        });
        missing.collect()
    }

    /// Adds the current state to the metrics with a duration of `seconds`.
    fn record_metrics(&mut self, seconds: u64) {
        let missing_by_rule = self.missing_groups_by_rule();
        let missing: u64 = missing_by_rule.iter().sum();
        self.metrics.priority_0_downtime += missing_by_rule[0] * seconds;
        let phase = usize::try_from(self.now_s.saturating_sub(WARM_UP_S) / PHASE_S).unwrap_or(0);
        self.metrics.downtime[phase] += missing * seconds;
        if missing == 0 {
            return;
        }
        let serving: BTreeSet<&String> = (self.fleet.groups())
            .filter(|group| self.is_serving(group))
            .flat_map(|group| &group.members)
            .collect();
        let stranded_workers = (self.fleet.vms())
            .filter(|vm| self.workers[&vm.id].stopped_at.is_none() && !serving.contains(&vm.id))
            .filter(|vm| !self.fleet.is_centre_out(&vm.data_centre))
            .count() as u64;
        self.metrics.stranded_accelerator_s += stranded_workers * u64::from(ACCELERATORS) * seconds;
    }
}

fn centre_body(id: &str, state: &str) -> Body {
    let (id, state) = (id.to_owned(), state.to_owned());
    Body::DataCentre(DataCentre { id, state, ..DataCentre::default() })
}

/// Weights that the member with this rank loads.
fn shard(group: &GroupRecord, rank: usize) -> Shard {
    (group.model.clone(), group.version.clone(), rank)
}
