//! What this node knows of the replicas: groups of VMs and upstreams of plain services.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_schema::admin::ReplicaStatus;
use eelgrassdeal_types::{Generation, ReplicaId};

use crate::state::NodeState;

/// A replica may have been checked last this long ago and still take new work.
const HEALTH_LIFETIME: Duration = Duration::from_millis(1_500);

/// What a replica serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReplicaTarget {
    Model(String),
    Service(String),
}

/// One replica as this node sees it.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaView {
    pub(crate) target: ReplicaTarget,
    pub(crate) address: String,
    pub(crate) data_centre: String,
    pub(crate) generation: Generation,
    /// When every member was last seen whole; `None` while it is not.
    pub(crate) healthy_at: Option<Instant>,
    pub(crate) reason: String,
    pub(crate) in_flight: u32,
    /// Requests that this node may have in flight.
    pub(crate) slots: u32,
}

/// All replicas, by id.
#[derive(Debug, Default)]
pub(crate) struct ReplicaTable {
    views: BTreeMap<ReplicaId, ReplicaView>,
}

impl ReplicaTable {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Brings the replicas in line with the configuration.
    pub(crate) fn follow(&mut self, fleet: &FleetConfig) {
        let members = u32::try_from(fleet.member_nodes().count()).unwrap_or(1).max(1);
        let mut views = BTreeMap::new();
        for group in fleet.groups() {
            let leader = group.members.first().and_then(|member| fleet.vm(member));
            let (Some(leader), Some(model)) = (leader, fleet.model(&group.model)) else { continue };
            let view = ReplicaView {
                target: ReplicaTarget::Model(group.model.clone()),
                address: leader.address.clone(),
                data_centre: group.data_centre.clone(),
                generation: group.generation,
                healthy_at: None,
                reason: "not checked yet".to_owned(),
                in_flight: 0,
                slots: (model.slots / members).max(1),
            };
            views.insert(ReplicaId::from(group.id.as_str()), view);
        }
        for upstream in fleet.upstreams() {
            let view = ReplicaView {
                target: ReplicaTarget::Service(upstream.service.clone()),
                address: upstream.address.clone(),
                data_centre: upstream.data_centre.clone(),
                generation: 0,
                healthy_at: None,
                reason: "not checked yet".to_owned(),
                in_flight: 0,
                slots: (upstream.slots / members).max(1),
            };
            views.insert(ReplicaId::from(upstream.id.as_str()), view);
        }
        for (id, view) in &mut views {
            match self.views.get(id) {
                Some(old) if old.generation == view.generation && old.address == view.address => {
                    view.healthy_at = old.healthy_at;
                    view.reason = old.reason.clone();
                    view.in_flight = old.in_flight;
                }
                Some(old) => view.in_flight = old.in_flight,
                None => {}
            }
        }
        self.views = views;
    }

    /// Notes the result of a check of a replica.
    pub(crate) fn note_health(
        &mut self,
        id: &str,
        generation: Generation,
        health: Result<Instant, String>,
    ) {
        match self.views.get_mut(id) {
            Some(view) if view.generation == generation => match health {
                Ok(at) => {
                    view.healthy_at = Some(at);
                    view.reason.clear();
                }
                Err(reason) => {
                    view.healthy_at = None;
                    view.reason = reason;
                }
            },
            _ => {}
        }
    }

    /// Picks the least loaded replica with a free slot and takes the slot.
    pub(crate) fn take_slot(
        &mut self,
        fleet: &FleetConfig,
        target: &ReplicaTarget,
        avoid: &[ReplicaId],
    ) -> Option<(ReplicaId, String)> {
        let (id, view) = self
            .views
            .iter_mut()
            .filter(|(id, view)| view.target == *target && !avoid.contains(id))
            .filter(|(id, view)| may_start(fleet, id, view) && view.in_flight < view.slots)
            .min_by_key(|(_, view)| view.in_flight)?;
        view.in_flight += 1;
        Some((id.clone(), view.address.clone()))
    }

    /// Gives a slot back.
    pub(crate) fn free_slot(&mut self, id: &str) {
        if let Some(view) = self.views.get_mut(id) {
            view.in_flight = view.in_flight.saturating_sub(1);
        }
    }

    /// Whether any replica of the target takes new work.
    pub(crate) fn serves(&self, fleet: &FleetConfig, target: &ReplicaTarget) -> bool {
        let mut views = self.views.iter().filter(|(_, view)| view.target == *target);
        views.any(|(id, view)| may_start(fleet, id, view))
    }

    /// Every replica for the operators.
    pub(crate) fn statuses(&self, fleet: &FleetConfig) -> Vec<ReplicaStatus> {
        self.views
            .iter()
            .map(|(id, view)| ReplicaStatus {
                replica: id.to_string(),
                model: match &view.target {
                    ReplicaTarget::Model(name) | ReplicaTarget::Service(name) => name.clone(),
                },
                generation: view.generation,
                serving: may_start(fleet, id, view),
                reason: view.reason.clone(),
                in_flight: view.in_flight,
                slots: view.slots,
                owner: String::new(),
            })
            .collect()
    }
}

fn may_start(fleet: &FleetConfig, id: &str, view: &ReplicaView) -> bool {
    let is_fresh = view.healthy_at.is_some_and(|at| at.elapsed() < HEALTH_LIFETIME);
    let is_leaving = match view.target {
        ReplicaTarget::Model(_) => fleet
            .group(id)
            .is_none_or(|group| group.members.iter().any(|vm| !fleet.is_vm_in_service(vm))),
        ReplicaTarget::Service(_) => {
            fleet.upstream(id).is_none_or(|upstream| upstream.state == "leaving")
        }
    };
    is_fresh && !is_leaving && !fleet.is_centre_out(&view.data_centre)
}

/// A slot of a replica, given back when it is dropped.
pub(crate) struct HeldSlot {
    state: Rc<NodeState>,
    pub(crate) replica: ReplicaId,
    pub(crate) address: String,
}

impl HeldSlot {
    /// Takes a slot of any replica of `target` that is not in `avoid`.
    pub(crate) fn take(
        state: &Rc<NodeState>,
        target: &ReplicaTarget,
        avoid: &[ReplicaId],
    ) -> Option<Self> {
        let fleet = state.fleet();
        let (replica, address) = state.replicas.borrow_mut().take_slot(&fleet, target, avoid)?;
        state.in_flight.set(state.in_flight.get() + 1);
        Some(Self { state: state.clone(), replica, address })
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        self.state.replicas.borrow_mut().free_slot(&self.replica);
        self.state.in_flight.set(self.state.in_flight.get().saturating_sub(1));
    }
}
