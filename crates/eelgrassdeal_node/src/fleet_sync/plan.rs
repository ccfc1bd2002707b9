//! Plans groups, absent nodes and the end of losses while this node holds the planner lease.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_control::{
    FleetConfig, GroupPlan, GroupPlanner, HeartbeatTracker, change_from_plan, plan_absent_nodes,
    plan_ban_removals, plan_loss_removals,
};
use eelgrassdeal_store::{AppendOutcome, LeaseClient, RowRange, TableName};
use eelgrassdeal_types::{NodeId, Revision, VmId, unix_ms_now};
use futures_util::future::join_all;

use super::follow::{apply_changes, catch_up};
use super::heartbeat::HEARTBEAT_PARTITION;
use super::probe::read_status;
use crate::state::NodeState;

const LEASE_NAME: &str = "planner";
const LEASE_DURATION: Duration = Duration::from_secs(10);
const RENEW_INTERVAL: Duration = Duration::from_secs(3);
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Nodes write their heartbeat every 10 s, so reading the rows more often shows little.
const HEARTBEAT_READ_INTERVAL: Duration = Duration::from_secs(5);
/// Revisions after which a new snapshot is written.
const SNAPSHOT_INTERVAL: Revision = 64;
const LOSS_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// What the planner observes besides the configuration.
#[derive(Default)]
struct PlannerWatch {
    heartbeats: HeartbeatTracker,
    heartbeat_ages: BTreeMap<NodeId, Duration>,
    heartbeats_read: Option<Instant>,
    /// Since when lost workers answer again.
    answering: BTreeMap<VmId, Instant>,
    losses_probed: Option<Instant>,
    /// Revision up to which no new snapshot is due.
    snapshot_revision: Revision,
}

/// Competes for the planner lease and plans while it is held, until the task is dropped.
pub(crate) async fn run_planner(state: Rc<NodeState>) {
    let mut keeper = LeaseClient::new(
        state.platform.table.clone(),
        LEASE_NAME,
        state.node.clone(),
        LEASE_DURATION,
    );
    let mut renewed: Option<Instant> = None;
    let mut watch = PlannerWatch::default();
    loop {
        if is_due(renewed, RENEW_INTERVAL) {
            renewed = Some(Instant::now());
            if let Err(report) = keeper.renew().await {
                log::warn!("cannot renew the planner lease: {report}");
            }
        }
        match keeper.held(Instant::now()) {
            Some(_) => plan_once(&state, &mut watch).await,
            // What was observed under an earlier lease is too old to act on.
            None => watch = PlannerWatch::default(),
        }
        compio::time::sleep(PLAN_INTERVAL).await;
    }
}

/// A pass that loses its lease on the way is harmless: its append is conditional on the revision
/// from which it was computed.
async fn plan_once(state: &Rc<NodeState>, watch: &mut PlannerWatch) {
    if let Err(report) = catch_up(state).await {
        log::debug!("no planning without the store: {report}");
        return;
    }
    watch.keep_snapshot(state).await;
    watch.read_heartbeats(state).await;
    watch.probe_losses(state).await;
    let fleet = state.fleet();
    let vms = state.vms.borrow().clone();
    let now_unix_ms = unix_ms_now();
    let (ready, unready) = state.slots.borrow().group_readiness(Instant::now());
    let plan = GroupPlanner::new(&fleet, &vms, now_unix_ms)
        .with_ready(ready)
        .with_unready(unready)
        .plan()
        .merge(watch.plan_nodes(&fleet))
        .merge(plan_loss_removals(&fleet, &watch.answering_times()))
        .merge(plan_ban_removals(&fleet, now_unix_ms));
    let author = format!("planner on {}", state.node);
    if plan.is_empty() {
        return;
    }
    let change = match change_from_plan(&fleet, &plan, &author, now_unix_ms) {
        Ok(change) => change,
        Err(problems) => {
            log::error!("the plan breaks an invariant: {}", problems[0]);
            return;
        }
    };
    let revision = change.revision;
    match state.platform.log.append(&change).await {
        AppendOutcome::Accepted => apply_changes(state, &[change]),
        AppendOutcome::Conflict(other) => {
            log::info!("{} changed the configuration first; planning again", other.author);
        }
        AppendOutcome::Unknown => log::warn!("the outcome of revision {revision} is unknown"),
    }
}

impl PlannerWatch {
    /// Writes a snapshot of the configuration when one is due, so that nodes that start read few
    /// revisions. The planner does it because operators' revisions have no node as their author.
    async fn keep_snapshot(&mut self, state: &Rc<NodeState>) {
        let fleet = state.fleet();
        if fleet.revision() < self.snapshot_revision + SNAPSHOT_INTERVAL {
            return;
        }
        match state.platform.log.write_snapshot(&fleet.to_snapshot()).await {
            Ok(_) => self.snapshot_revision = fleet.revision(),
            Err(report) => log::warn!("cannot write a snapshot: {report}"),
        }
    }

    async fn read_heartbeats(&mut self, state: &Rc<NodeState>) {
        if !is_due(self.heartbeats_read, HEARTBEAT_READ_INTERVAL) {
            return;
        }
        let range = RowRange {
            table: TableName::Nodes,
            partition: HEARTBEAT_PARTITION.into(),
            after: "".into(),
        };
        let Ok(rows) = state.platform.table.query(range).await else { return };
        self.heartbeats_read = Some(Instant::now());
        let fleet = state.fleet();
        let mut versions: BTreeMap<NodeId, u64> = fleet
            .vms()
            .filter(|vm| vm.role == "entry")
            .map(|vm| (NodeId::from(vm.id.as_str()), 0))
            .collect();
        for row in rows {
            versions.insert(row.key.sort.clone(), row.version);
        }
        self.heartbeat_ages = self.heartbeats.observe(&versions, Instant::now());
    }

    fn plan_nodes(&self, fleet: &FleetConfig) -> GroupPlan {
        plan_absent_nodes(fleet, &self.heartbeat_ages)
    }

    async fn probe_losses(&mut self, state: &Rc<NodeState>) {
        if !is_due(self.losses_probed, LOSS_PROBE_INTERVAL) {
            return;
        }
        self.losses_probed = Some(Instant::now());
        let fleet = state.fleet();
        let probes = fleet.vm_losses().filter_map(|loss| fleet.vm(&loss.id)).map(|vm| async {
            (VmId::from(vm.id.as_str()), read_status(state, &vm.address).await.is_some())
        });
        let since = std::mem::take(&mut self.answering);
        for (vm, is_answering) in join_all(probes).await {
            if is_answering {
                let start = since.get(&vm).copied().unwrap_or_else(Instant::now);
                self.answering.insert(vm, start);
            }
        }
    }

    fn answering_times(&self) -> BTreeMap<VmId, Duration> {
        self.answering.iter().map(|(vm, since)| (vm.clone(), since.elapsed())).collect()
    }
}

fn is_due(last: Option<Instant>, interval: Duration) -> bool {
    last.is_none_or(|at| at.elapsed() >= interval)
}
