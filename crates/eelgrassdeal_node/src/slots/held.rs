//! Slots that requests of this node hold, and the wait for one.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_routing::{
    QueuedRequest, ServePermission, SlotPolicy, StartConstraints, StartedSlot,
};
use eelgrassdeal_types::{CallError, ClientAccountId, ErrorKind, ModelId, ReplicaId};

use super::replica::ReplicaTarget;
use crate::call::CallContext;
use crate::state::NodeState;

/// What a request needs to run.
#[derive(Clone, Debug)]
pub(crate) struct SlotNeed {
    pub(crate) target: ReplicaTarget,
    /// KV tokens: prompt estimate plus the longest answer; 0 for a plain service.
    pub(crate) kv_tokens: u64,
    /// Replicas that failed this request.
    pub(crate) excluded: Vec<ReplicaId>,
    pub(crate) affinity: Option<[u8; 32]>,
    /// Whether to wait although no replica serves now, as for an answer that broke off.
    pub(crate) is_resume: bool,
}

/// A slot of a replica, given back when it is dropped.
pub(crate) struct HeldSlot {
    state: Rc<NodeState>,
    slot: Option<StartedSlot>,
    started: Instant,
    target: ModelId,
    pub(crate) replica: ReplicaId,
    pub(crate) address: String,
}

impl HeldSlot {
    /// Waits for a slot by priority, fairly between client accounts, until the deadline.
    pub(crate) async fn acquire(
        state: &Rc<NodeState>,
        call: &CallContext,
        need: &SlotNeed,
    ) -> Result<Self, CallError> {
        let now = Instant::now();
        check_permission(state)?;
        let receiver = {
            let mut slots = state.slots.borrow_mut();
            let candidates = slots.candidates(&need.target);
            if candidates.is_empty() || !(need.is_resume || slots.has_open_replica(&need.target)) {
                let text = format!("no replica of {:?} is serving", need.target.name());
                return Err(CallError::new(ErrorKind::NoCapacity, text));
            }
            let room =
                |id: &ReplicaId| slots.holder.remaining(now, id).0 + slots.holder.in_flight(id).0;
            let request = QueuedRequest {
                account: ClientAccountId::from(call.account.id.as_str()),
                weight: call.account.weight,
                priority: call.priority,
                target: ModelId::from(need.target.name()),
                kv_tokens: need.kv_tokens,
                deadline: call.deadline,
                slots: candidates.iter().map(room).sum(),
                excluded: need.excluded.clone(),
                affinity: need.affinity,
            };
            slots.queue.push(now, request)?
        };
        dispatch_waiting(state);
        let internal = |_| CallError::new(ErrorKind::Internal, "the queue was dropped");
        match compio::time::timeout(call.time_left(), receiver).await {
            Ok(result) => result.map_err(internal)?,
            Err(_) => Err(CallError::new(
                ErrorKind::DeadlineExpired,
                "the deadline passed before a slot was free",
            )),
        }
    }

    /// Whether the request may still be sent: the process may have been paused since the slot was
    /// taken, or operators may have taken the data centre out.
    pub(crate) fn may_send(&self) -> bool {
        let slots = self.state.slots.borrow();
        let is_out = slots
            .replicas
            .get(&self.replica)
            .is_none_or(|entry| self.state.fleet().is_centre_out(&entry.data_centre));
        let is_allowed =
            self.slot.as_ref().is_some_and(|slot| slots.holder.may_send(Instant::now(), slot));
        is_allowed && !is_out && check_permission(&self.state).is_ok()
    }

    /// Notes the time to the first token, by which the owner sees whether the upstream is warm.
    pub(crate) fn note_first_token(&self, latency: Duration) {
        self.state.slots.borrow_mut().holder.record_first_token(&self.replica, latency);
    }

    /// Notes that the request ran to its end, for the estimate of later ones.
    pub(crate) fn note_complete(&self) {
        let elapsed = self.started.elapsed();
        self.state.slots.borrow_mut().queue.record_service_time(&self.target, elapsed);
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            self.state.slots.borrow_mut().holder.finish(slot);
            self.state.in_flight.set(self.state.in_flight.get().saturating_sub(1));
            dispatch_waiting(&self.state);
        }
    }
}

/// Starts waiting requests for which there is a slot now.
pub(crate) fn dispatch_waiting(state: &Rc<NodeState>) {
    let now = Instant::now();
    let returned = {
        let mut table = state.slots.borrow_mut();
        if table.queue.is_empty() {
            return;
        }
        let slots = &mut *table;
        let replicas = &slots.replicas;
        let holder = &mut slots.holder;
        let policy = slots.policy;
        let fleet = state.fleet();
        slots.queue.dispatch(now, |request| {
            let candidates: Vec<ReplicaId> = replicas
                .iter()
                .filter(|(_, entry)| entry.target.name() == &*request.target)
                .filter(|(_, entry)| !fleet.is_centre_out(&entry.data_centre))
                .filter(|(_, entry)| {
                    policy == SlotPolicy::Owner || entry.health.healthy_at.is_some()
                })
                .map(|(id, _)| id.clone())
                .collect();
            let choice = StartConstraints {
                candidates: &candidates,
                excluded: &request.excluded,
                kv_tokens: request.kv_tokens,
                affinity: request.affinity,
            };
            let slot = holder.try_start(now, &choice)?;
            state.in_flight.set(state.in_flight.get() + 1);
            Some(HeldSlot {
                state: state.clone(),
                started: now,
                target: request.target.clone(),
                replica: slot.replica.clone(),
                address: slot.target.address.clone(),
                slot: Some(slot),
            })
        })
    };
    // Dropped only now: giving a slot back borrows the table again.
    drop(returned);
}

fn check_permission(state: &NodeState) -> Result<(), CallError> {
    match state.permission() {
        ServePermission::Serve | ServePermission::IdempotentOnly => Ok(()),
        ServePermission::NoNewRequests => Err(CallError::new(
            ErrorKind::NotConfirmed,
            "the node is cut off from the store and its peers; locate another one",
        )),
    }
}
