//! Plans configuration changes while this node holds the planner lease: groups, absent nodes, and
//! the removal of expired bans and of the losses of workers that answer again.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_control::{
    ConfigPlan, FleetConfig, GroupPlanner, HeartbeatTracker, change_from_plan, plan_absent_nodes,
    plan_ban_removals, plan_loss_removals,
};
use eelgrassdeal_store::{AppendOutcome, LeaseClient, RowRange, TableName};
use eelgrassdeal_types::{NodeId, Revision, VmId, unix_ms_now};
use futures_util::future::join_all;

use super::config_poll::{apply_changes, catch_up};
use super::heartbeat::HEARTBEAT_PARTITION;
use super::probe::read_status;
use crate::state::NodeState;

const LEASE_NAME: &str = "planner";
const LEASE_DURATION: Duration = Duration::from_secs(10);
const RENEW_INTERVAL: Duration = Duration::from_secs(3);
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Nodes write their heartbeats every 10 s, so more frequent reads would return mostly unchanged
/// rows.
const HEARTBEAT_READ_INTERVAL: Duration = Duration::from_secs(5);
/// Number of revisions after which a new snapshot is written.
const SNAPSHOT_INTERVAL: Revision = 64;
/// Interval between two probes of each lost worker.
const LOSS_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// What the planner observes besides the configuration.
#[derive(Default)]
struct PlannerObservations {
    heartbeats: HeartbeatTracker,
    heartbeat_ages: BTreeMap<NodeId, Duration>,
    heartbeats_read_at: Option<Instant>,
    /// By lost worker that answers probes again, when it was first seen to answer.
    answering_since: BTreeMap<VmId, Instant>,
    losses_probed_at: Option<Instant>,
    /// Revision of the last snapshot that was written under this lease; 0 for none.
    snapshot_revision: Revision,
}

/// Competes for the planner lease and plans while it is held, until the task is dropped.
pub(crate) async fn run_planner(state: Rc<NodeState>) {
    let mut lease_client = LeaseClient::new(
        state.platform.table.clone(),
        LEASE_NAME,
        state.node.clone(),
        LEASE_DURATION,
    );
    let mut renewed_at: Option<Instant> = None;
    let mut observations = PlannerObservations::default();
    loop {
        if is_due(renewed_at, RENEW_INTERVAL) {
            renewed_at = Some(Instant::now());
            if let Err(report) = lease_client.renew().await {
                log::warn!("cannot renew the planner lease: {report}");
            }
        }
        match lease_client.held(Instant::now()) {
            Some(_) => plan_once(&state, &mut observations).await,
            // Observations from an earlier lease are too old to act on.
            None => observations = PlannerObservations::default(),
        }
        compio::time::sleep(PLAN_INTERVAL).await;
    }
}

/// Plans once, and appends the resulting change. Losing the lease during the call is harmless,
/// because the append succeeds only if the revision from which the change was computed is still the
/// latest.
async fn plan_once(state: &Rc<NodeState>, observations: &mut PlannerObservations) {
    if let Err(report) = catch_up(state).await {
        log::debug!("skipping planning because the store cannot be read: {report}");
        return;
    }
    observations.write_due_snapshot(state).await;
    observations.read_heartbeats(state).await;
    observations.probe_losses(state).await;
    let fleet = state.fleet();
    let vms = state.vms.borrow().clone();
    let now_unix_ms = unix_ms_now();
    let (ready, unready) = state.slots.borrow().group_readiness(Instant::now());
    let plan = GroupPlanner::new(&fleet, &vms, now_unix_ms)
        .with_ready(ready)
        .with_unready(unready)
        .plan()
        .merge(observations.plan_node_changes(&fleet))
        .merge(plan_loss_removals(&fleet, &observations.answering_times()))
        .merge(plan_ban_removals(&fleet, now_unix_ms));
    let author = format!("planner on {}", state.node);
    if plan.is_empty() {
        return;
    }
    let change = match change_from_plan(&fleet, &plan, &author, now_unix_ms) {
        Ok(change) => change,
        Err(problems) => {
            log::error!("plan violates an invariant: {}", problems[0]);
            return;
        }
    };
    let revision = change.revision;
    match state.platform.log.append(&change).await {
        AppendOutcome::Accepted => apply_changes(state, &[change]),
        AppendOutcome::Conflict(winner) => {
            log::info!("{} appended a change first; planning again", winner.author);
        }
        AppendOutcome::Unknown => log::warn!("unknown whether revision {revision} was appended"),
    }
}

impl PlannerObservations {
    /// Writes a snapshot of the configuration when one is due, so that starting nodes have to read
    /// only few revisions. This is a task of the planner and not of the author of a revision,
    /// because the author may be an operator instead of a node.
    async fn write_due_snapshot(&mut self, state: &Rc<NodeState>) {
        let fleet = state.fleet();
        if fleet.revision() < self.snapshot_revision + SNAPSHOT_INTERVAL {
            return;
        }
        match state.platform.log.write_snapshot(&fleet.to_snapshot()).await {
            Ok(_) => self.snapshot_revision = fleet.revision(),
            Err(report) => log::warn!("cannot write a configuration snapshot: {report}"),
        }
    }

    /// Reads the heartbeat rows when a read is due, and updates the ages. Entry nodes without a row
    /// count as version 0, so that their age increases too.
    async fn read_heartbeats(&mut self, state: &Rc<NodeState>) {
        if !is_due(self.heartbeats_read_at, HEARTBEAT_READ_INTERVAL) {
            return;
        }
        let range = RowRange {
            table: TableName::Nodes,
            partition: HEARTBEAT_PARTITION.into(),
            after: "".into(),
        };
        let Ok(rows) = state.platform.table.query(range).await else { return };
        self.heartbeats_read_at = Some(Instant::now());
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

    fn plan_node_changes(&self, fleet: &FleetConfig) -> ConfigPlan {
        plan_absent_nodes(fleet, &self.heartbeat_ages)
    }

    /// Probes the lost workers when a probe is due, and updates since when they answer again.
    async fn probe_losses(&mut self, state: &Rc<NodeState>) {
        if !is_due(self.losses_probed_at, LOSS_PROBE_INTERVAL) {
            return;
        }
        self.losses_probed_at = Some(Instant::now());
        let fleet = state.fleet();
        let probes = fleet.vm_losses().filter_map(|loss| fleet.vm(&loss.id)).map(|vm| async {
            (VmId::from(vm.id.as_str()), read_status(state, &vm.address).await.is_some())
        });
        let previous = std::mem::take(&mut self.answering_since);
        for (vm, is_answering) in join_all(probes).await {
            if is_answering {
                let since = previous.get(&vm).copied().unwrap_or_else(Instant::now);
                self.answering_since.insert(vm, since);
            }
        }
    }

    /// By lost worker that answers again, for how long it has been answering.
    fn answering_times(&self) -> BTreeMap<VmId, Duration> {
        self.answering_since.iter().map(|(vm, since)| (vm.clone(), since.elapsed())).collect()
    }
}

fn is_due(last: Option<Instant>, interval: Duration) -> bool {
    last.is_none_or(|at| at.elapsed() >= interval)
}
