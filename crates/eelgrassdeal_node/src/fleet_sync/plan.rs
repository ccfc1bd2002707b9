//! Plans groups while this node holds the planner lease.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_control::{FleetConfig, check_fleet, plan_groups};
use eelgrassdeal_platform::{AppendOutcome, LeaseKeeper};
use eelgrassdeal_schema::config::ConfigChange;
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_types::{new_writer_mark, unix_ms_now};

use super::follow::{apply_changes, catch_up};
use crate::state::NodeState;

const LEASE_NAME: &str = "planner";
const LEASE_DURATION: Duration = Duration::from_secs(10);
const RENEW_INTERVAL: Duration = Duration::from_secs(3);
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// Competes for the planner lease and plans while it is held, until the task is dropped.
pub(crate) async fn run_planner(state: Rc<NodeState>) {
    let mut keeper = LeaseKeeper::new(
        state.platform.table.clone(),
        LEASE_NAME,
        state.node.clone(),
        LEASE_DURATION,
    );
    let mut renewed: Option<Instant> = None;
    loop {
        if renewed.is_none_or(|at| at.elapsed() >= RENEW_INTERVAL) {
            renewed = Some(Instant::now());
            if let Err(report) = keeper.renew().await {
                log::warn!("cannot renew the planner lease: {report}");
            }
        }
        if keeper.held(Instant::now()).is_some() {
            plan_once(&state).await;
        }
        compio::time::sleep(PLAN_INTERVAL).await;
    }
}

async fn plan_once(state: &Rc<NodeState>) {
    if catch_up(state).await.is_err() {
        return;
    }
    let fleet = state.fleet();
    let vms = state.platform.vm_list.read().await.unwrap_or_else(|report| {
        log::warn!("cannot read the list of VMs: {report}");
        BTreeMap::new()
    });
    let mut plan = plan_groups(&fleet, &vms, unix_ms_now());
    if plan.is_empty() {
        return;
    }
    let revision = fleet.revision() + 1;
    for entry in &mut plan.upsert {
        if let Some(Body::Group(group)) = &mut entry.body {
            group.fencing = revision;
        }
    }
    let change = ConfigChange {
        revision,
        writer_mark: new_writer_mark(),
        author: format!("planner on {}", state.node),
        accepted_unix_ms: unix_ms_now(),
        upsert: plan.upsert,
        remove: plan.remove,
    };
    let mut next = FleetConfig::clone(&fleet);
    next.apply(&change);
    match check_fleet(&next) {
        problems if problems.is_empty() => {}
        problems => {
            log::error!("the plan breaks an invariant: {}", problems[0]);
            return;
        }
    }
    match state.platform.log.append(&change).await {
        AppendOutcome::Accepted => apply_changes(state, &[change]),
        AppendOutcome::Conflict(other) => {
            log::info!("{} changed revision {revision}", other.author)
        }
        AppendOutcome::Unknown => log::warn!("the outcome of a planning pass is unknown"),
    }
}
