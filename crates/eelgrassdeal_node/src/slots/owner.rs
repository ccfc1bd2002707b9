//! Probe results and allowances of the replicas that this node owns.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_routing::{LoadReport, ServePermission};
use eelgrassdeal_schema::peer::{AllowanceBatch, ReportBatch, RevokeNotice};
use eelgrassdeal_store::VmState;
use eelgrassdeal_types::{Generation, NodeId, ReplicaId, StartId};

use super::replica::ReplicaEntry;
use crate::state::NodeState;

/// Age from which a successful probe no longer shows that the replica is healthy: one probe
/// interval plus one probe timeout, 500 ms each.
const MAX_PROBE_AGE: Duration = Duration::from_millis(1_000);
/// Time without reports about a replica after which this node assumes that another node owns it.
const OWNER_REPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// Result of probing all members of a replica.
#[derive(Clone, Debug)]
pub(crate) struct ProbeResult {
    /// Generation of the probed group; 0 for an upstream of a plain service.
    pub(crate) generation: Generation,
    pub(crate) sent_at: Instant,
    /// Load and start identity, or why the replica cannot serve.
    pub(crate) outcome: Result<(LoadReport, StartId), String>,
}

/// Replicas that this node owns. All replicas under a baseline policy, that is, one other than
/// `SlotPolicy::Owner`, which has no owners and serves only for comparison in measurements.
pub(crate) fn replicas_to_probe(state: &NodeState) -> Vec<ReplicaId> {
    let slots = state.slots.borrow();
    let is_probed = |entry: &ReplicaEntry| match slots.policy {
        eelgrassdeal_routing::SlotPolicy::Owner => {
            entry.reported_at.is_some_and(|at| at.elapsed() < OWNER_REPORT_TIMEOUT)
        }
        _ => true,
    };
    let probed = slots.replicas.iter().filter(|(_, entry)| is_probed(entry));
    probed.map(|(id, _)| id.clone()).collect()
}

/// Records the result of a probe. Returns a notice for the reporters if the replica stops serving
/// because of it. Results for another generation of the group are ignored.
pub(crate) fn record_probe_result(
    state: &Rc<NodeState>,
    id: &ReplicaId,
    result: ProbeResult,
) -> Option<RevokeNotice> {
    let now = Instant::now();
    let fleet = state.fleet();
    let mut slots = state.slots.borrow_mut();
    let entry = slots.replicas.get_mut(id).filter(|entry| entry.generation == result.generation)?;
    update_centre_state(&fleet, entry, now);
    match result.outcome {
        Ok((load, start_id)) => {
            entry.health.healthy_at = Some(result.sent_at);
            entry.health.reason.clear();
            if let Some(slot_owner) = &mut entry.slot_owner {
                slot_owner.ramp_mut().observe_start(now, &start_id);
                slot_owner.observe_load(now, load);
            }
            None
        }
        Err(reason) => {
            entry.health.healthy_at = None;
            entry.health.reason.clone_from(&reason);
            let slot_owner =
                entry.slot_owner.as_mut().filter(|slot_owner| slot_owner.is_granting())?;
            Some(slot_owner.revoke(&reason))
        }
    }
}

/// Restarts the warm-up of a replica when its data centre returns to service. Must be called before
/// allowances are granted, which would otherwise use the limit from before the absence.
fn update_centre_state(fleet: &FleetConfig, entry: &mut ReplicaEntry, now: Instant) {
    let is_out = fleet.is_centre_out(&entry.data_centre);
    let has_returned = std::mem::replace(&mut entry.was_centre_out, is_out) && !is_out;
    if let Some(slot_owner) = entry.slot_owner.as_mut().filter(|_| has_returned) {
        slot_owner.ramp_mut().return_to_service(now);
    }
}

/// Why the owner must grant nothing at this replica; `None` if it may grant allowances.
fn current_refusal(state: &NodeState, entry: &ReplicaEntry) -> Option<String> {
    let fleet = state.fleet();
    let vms = state.vms.borrow();
    let is_leaving = |vm: &String| {
        !fleet.is_vm_in_service(vm)
            || vms.get(vm.as_str()).is_some_and(|state| *state == VmState::Leaving)
    };
    let leaving = entry.members.iter().find(|vm| is_leaving(vm));
    let is_fresh = entry.health.healthy_at.is_some_and(|at| at.elapsed() < MAX_PROBE_AGE);
    match leaving {
        _ if state.permission() == ServePermission::NoNewRequests => {
            Some("the owner has no confirmed configuration or is marked as absent".to_owned())
        }
        _ if fleet.is_centre_out(&entry.data_centre) => {
            Some(format!("data centre {} is out of service", entry.data_centre))
        }
        Some(vm) => Some(format!("{vm} is leaving")),
        None if !is_fresh && entry.health.reason.is_empty() => {
            Some("the last probe is too old".to_owned())
        }
        None if !is_fresh => Some(entry.health.reason.clone()),
        None => None,
    }
}

/// Records the reports of one node, and returns its allowances.
///
/// `start_id` identifies the process that sent the reports.
pub(super) fn handle_reports(
    state: &NodeState,
    node: &NodeId,
    start_id: &StartId,
    batch: &ReportBatch,
) -> AllowanceBatch {
    let now = Instant::now();
    let fleet = state.fleet();
    let mut allowances = AllowanceBatch::default();
    let mut slots = state.slots.borrow_mut();
    for report in &batch.report {
        let id = ReplicaId::from(report.replica.as_str());
        // The replica is not in this node's configuration: the reporter has another revision, a
        // newer one that this node will read soon, or an older one.
        let Some(entry) = slots.replicas.get_mut(&id) else { continue };
        entry.reported_at = Some(now);
        update_centre_state(&fleet, entry, now);
        let refusal = current_refusal(state, entry).or_else(|| upstream_refusal(state, &id, entry));
        let (generation, address) = (entry.generation, entry.address.clone());
        let voters = entry.reporters.voters(now);
        let slot_owner = entry.get_or_create_slot_owner(&id, now);
        // Each report is a vote for this node as the owner, which may grant only the share of the
        // limit for which it has votes.
        slot_owner.set_voters(voters);
        match refusal {
            None => slot_owner.start_granting(generation, &address),
            Some(reason) => {
                // No notice is sent: the reply informs this reporter, and the others are informed
                // by the replies to their own reports.
                let _ = slot_owner.revoke(&reason);
            }
        }
        allowances.allowance.push(slot_owner.handle_report(now, node, start_id, report));
    }
    allowances
}

/// Why nothing may be granted at an upstream of a plain service; `None` for groups.
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
