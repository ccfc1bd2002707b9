//! The accounting of replicas that this node owns.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_routing::{LoadReport, ServePermission};
use eelgrassdeal_schema::peer::{AllowanceBatch, ReportBatch, RevokeNotice};
use eelgrassdeal_store::VmState;
use eelgrassdeal_types::{Generation, NodeId, ReplicaId, StartId};

use super::replica::ReplicaEntry;
use crate::state::NodeState;

/// A probe older than this says nothing about now: one interval and one timeout.
const HEALTH_LIFETIME: Duration = Duration::from_millis(1_000);
/// A replica whose last report is older than this has another owner.
const OWNER_LIFETIME: Duration = Duration::from_secs(10);

/// What a probe of all members of a replica found.
#[derive(Clone, Debug)]
pub(crate) struct ProbeResult {
    pub(crate) generation: Generation,
    /// When the probe was sent.
    pub(crate) sent: Instant,
    /// Load and start identity, or why the replica cannot serve.
    pub(crate) found: Result<(LoadReport, StartId), String>,
}

/// Replicas that this node acts as the owner of, or all of them under a baseline policy.
pub(crate) fn serving_replicas(state: &NodeState) -> Vec<ReplicaId> {
    let slots = state.slots.borrow();
    let is_probed = |entry: &ReplicaEntry| match slots.policy {
        eelgrassdeal_routing::SlotPolicy::Owner => {
            entry.reported_at.is_some_and(|at| at.elapsed() < OWNER_LIFETIME)
        }
        _ => true,
    };
    let probed = slots.replicas.iter().filter(|(_, entry)| is_probed(entry));
    probed.map(|(id, _)| id.clone()).collect()
}

/// Notes a probe. Returns a notice for the reporters when the replica stops serving by it.
pub(crate) fn note_probe(
    state: &Rc<NodeState>,
    id: &ReplicaId,
    result: ProbeResult,
) -> Option<RevokeNotice> {
    let now = Instant::now();
    let fleet = state.fleet();
    let mut slots = state.slots.borrow_mut();
    let entry = slots.replicas.get_mut(id).filter(|entry| entry.generation == result.generation)?;
    follow_centre(&fleet, entry, now);
    match result.found {
        Ok((load, start)) => {
            entry.health.healthy_at = Some(result.sent);
            entry.health.reason.clear();
            if let Some(owner) = &mut entry.owner {
                owner.ramp_mut().observe_start(now, &start);
                owner.observe_load(now, load);
            }
            None
        }
        Err(reason) => {
            entry.health.healthy_at = None;
            entry.health.reason.clone_from(&reason);
            let owner = entry.owner.as_mut().filter(|owner| owner.is_serving())?;
            Some(owner.revoke(&reason))
        }
    }
}

/// Starts the ramp over when the data centre of a replica is back in service. Called before
/// anything is granted, so that nothing is granted by the limit of before the absence.
fn follow_centre(fleet: &FleetConfig, entry: &mut ReplicaEntry, now: Instant) {
    let is_out = fleet.is_centre_out(&entry.data_centre);
    let has_returned = std::mem::replace(&mut entry.was_out, is_out) && !is_out;
    if let Some(owner) = entry.owner.as_mut().filter(|_| has_returned) {
        owner.ramp_mut().return_to_service(now);
    }
}

/// Why the owner may grant nothing at this replica now; `None` if it may.
fn refusal_now(state: &NodeState, entry: &ReplicaEntry) -> Option<String> {
    let fleet = state.fleet();
    let vms = state.vms.borrow();
    let is_leaving = |vm: &String| {
        !fleet.is_vm_in_service(vm)
            || vms.get(vm.as_str()).is_some_and(|state| *state == VmState::Leaving)
    };
    let leaving = entry.members.iter().find(|vm| is_leaving(vm));
    let is_fresh = entry.health.healthy_at.is_some_and(|at| at.elapsed() < HEALTH_LIFETIME);
    match leaving {
        _ if state.permission() == ServePermission::NoNewRequests => {
            Some("the owner is not confirmed".to_owned())
        }
        _ if fleet.is_centre_out(&entry.data_centre) => {
            Some(format!("data centre {} is out", entry.data_centre))
        }
        Some(vm) => Some(format!("{vm} is leaving")),
        None if !is_fresh && entry.health.reason.is_empty() => {
            Some("the last probe is too old".to_owned())
        }
        None if !is_fresh => Some(entry.health.reason.clone()),
        None => None,
    }
}

/// Answers the reports of one node.
pub(super) fn answer_reports(
    state: &NodeState,
    node: &NodeId,
    start: &StartId,
    batch: &ReportBatch,
) -> AllowanceBatch {
    let now = Instant::now();
    let fleet = state.fleet();
    let mut answer = AllowanceBatch::default();
    let mut slots = state.slots.borrow_mut();
    for report in &batch.report {
        let id = ReplicaId::from(report.replica.as_str());
        // A replica that is not known here yet comes with a revision that is on its way.
        let Some(entry) = slots.replicas.get_mut(&id) else { continue };
        entry.reported_at = Some(now);
        follow_centre(&fleet, entry, now);
        let refusal = refusal_now(state, entry).or_else(|| upstream_refusal(state, &id, entry));
        let (generation, address) = (entry.generation, entry.address.clone());
        let voters = entry.reporters.voters(now);
        let owner = entry.owner_mut(&id, now);
        owner.set_voters(voters);
        match refusal {
            None => owner.set_serving(generation, &address),
            Some(reason) => {
                // The answer itself tells this node; the others learn it by their own reports.
                let _ = owner.revoke(&reason);
            }
        }
        answer.allowance.push(owner.handle_report(now, node, start, report));
    }
    answer
}

fn upstream_refusal(state: &NodeState, id: &ReplicaId, entry: &ReplicaEntry) -> Option<String> {
    match entry.members.is_empty() {
        true => {
            let fleet = state.fleet();
            let is_leaving = fleet.upstream(id).is_none_or(|upstream| upstream.state == "leaving");
            is_leaving.then(|| format!("{id} is leaving"))
        }
        false => None,
    }
}
