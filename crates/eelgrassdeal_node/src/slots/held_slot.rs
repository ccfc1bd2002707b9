//! Slots that requests of this node hold, and the queueing of requests until a slot is free.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_routing::{
    QueuedRequest, ServePermission, SlotPolicy, StartConstraints, StartedSlot,
};
use eelgrassdeal_types::{CallError, ClientAccountId, ErrorKind, ModelId, ReplicaId};

use super::replica::ReplicaTarget;
use crate::call::CallContext;
use crate::state::NodeState;

/// Where a request may run and how much room it needs.
#[derive(Clone, Debug)]
pub(crate) struct SlotConstraints {
    pub(crate) target: ReplicaTarget,
    /// KV tokens that are reserved for the request: prompt estimate plus the longest possible
    /// response; 0 for a plain service.
    pub(crate) kv_tokens: u64,
    /// Replicas at which the request must not run, for example because it failed there.
    pub(crate) excluded: Vec<ReplicaId>,
    /// Key of the prompt prefix, which selects a replica that may have the prefix cached; `None`
    /// for a plain service.
    pub(crate) affinity: Option<[u8; 32]>,
    /// Whether the request waits for a slot even while no replica is serving. True if it continues
    /// an interrupted response, or is a retry.
    pub(crate) may_wait_for_replica: bool,
    /// Whether the request continues a response of which the caller has a part.
    pub(crate) is_resumed: bool,
}

/// A slot of a replica. Dropping it releases the slot.
pub(crate) struct HeldSlot {
    state: Rc<NodeState>,
    /// `None` only while the value is dropped.
    slot: Option<StartedSlot>,
    started_at: Instant,
    /// Name of the model or plain service; the admission queue uses [`ModelId`] for both.
    target: ModelId,
    pub(crate) replica: ReplicaId,
    /// HTTP address of the upstream.
    pub(crate) address: String,
}

impl HeldSlot {
    /// Waits for a slot until the deadline. Slots go to requests by priority, then fairly between
    /// client accounts.
    pub(crate) async fn acquire(
        state: &Rc<NodeState>,
        call: &CallContext,
        constraints: &SlotConstraints,
    ) -> Result<Self, CallError> {
        let now = Instant::now();
        check_permission(state)?;
        let receiver = {
            let mut slots = state.slots.borrow_mut();
            let candidates = slots.candidates(&constraints.target);
            if candidates.is_empty()
                || !(constraints.may_wait_for_replica
                    || slots.has_available_replica(&constraints.target))
            {
                let text = format!("no replica of {:?} is serving", constraints.target.name());
                return Err(CallError::new(ErrorKind::NoCapacity, text));
            }
            // The first field of both tuples is the number of requests.
            let usable_slots =
                |id: &ReplicaId| slots.holder.remaining(now, id).0 + slots.holder.in_flight(id).0;
            let request = QueuedRequest {
                account: ClientAccountId::from(call.account.id.as_str()),
                weight: call.account.weight,
                priority: call.priority,
                target: ModelId::from(constraints.target.name()),
                kv_tokens: constraints.kv_tokens,
                deadline: call.deadline,
                is_resumed: constraints.is_resumed,
                slots: candidates.iter().map(usable_slots).sum(),
                excluded: constraints.excluded.clone(),
                affinity: constraints.affinity,
            };
            slots.queue.push(now, request)?
        };
        dispatch_waiting(state);
        let queue_dropped =
            |_| CallError::new(ErrorKind::Internal, "the queue of waiting requests was dropped");
        match compio::time::timeout(call.time_left(), receiver).await {
            Ok(result) => result.map_err(queue_dropped)?,
            Err(_) => Err(CallError::new(
                ErrorKind::DeadlineExpired,
                "the deadline passed before a slot was free",
            )),
        }
    }

    /// Whether the request may still be sent. Since the slot was acquired, the process may have
    /// been paused beyond the expiry of the allowance, operators may have taken the data centre out
    /// of service, the replica may have been removed, or the node may have been partitioned.
    pub(crate) fn may_send(&self) -> bool {
        let slots = self.state.slots.borrow();
        let is_out_of_service = slots
            .replicas
            .get(&self.replica)
            .is_none_or(|entry| self.state.fleet().is_centre_out(&entry.data_centre));
        let is_allowed =
            self.slot.as_ref().is_some_and(|slot| slots.holder.may_send(Instant::now(), slot));
        is_allowed && !is_out_of_service && check_permission(&self.state).is_ok()
    }

    /// Records the time to first token, from which the owner determines whether the upstream is
    /// warm.
    pub(crate) fn record_first_token(&self, latency: Duration) {
        self.state.slots.borrow_mut().holder.record_first_token(&self.replica, latency);
    }

    /// Records that the request completed. Its run time enters the estimate of whether later
    /// requests can meet their deadline.
    pub(crate) fn record_completion(&self) {
        let elapsed = self.started_at.elapsed();
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

/// Starts the waiting requests for which a slot is free.
pub(crate) fn dispatch_waiting(state: &Rc<NodeState>) {
    let now = Instant::now();
    let undelivered_slots = {
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
            // The queue has only the name of the target, so a model and a plain service of the same
            // name are not told apart here.
            let candidates: Vec<ReplicaId> = replicas
                .iter()
                .filter(|(_, entry)| entry.target.name() == &*request.target)
                .filter(|(_, entry)| !fleet.is_centre_out(&entry.data_centre))
                .filter(|(_, entry)| {
                    policy == SlotPolicy::Owner || entry.health.healthy_at.is_some()
                })
                .map(|(id, _)| id.clone())
                .collect();
            let start_constraints = StartConstraints {
                candidates: &candidates,
                excluded: &request.excluded,
                kv_tokens: request.kv_tokens,
                affinity: request.affinity,
            };
            let slot = holder.try_start(now, &start_constraints)?;
            state.in_flight.set(state.in_flight.get() + 1);
            Some(HeldSlot {
                state: state.clone(),
                started_at: now,
                target: request.target.clone(),
                replica: slot.replica.clone(),
                address: slot.destination.address.clone(),
                slot: Some(slot),
            })
        })
    };
    // Slots whose request has stopped waiting meanwhile. They are dropped after the borrow of the
    // table has ended, because dropping a slot borrows it again.
    drop(undelivered_slots);
}

fn check_permission(state: &NodeState) -> Result<(), CallError> {
    match state.permission() {
        // Calls that are not idempotent need no check here: each of them first needs a claim, which
        // is refused while the store cannot be reached.
        ServePermission::Serve | ServePermission::IdempotentOnly => Ok(()),
        ServePermission::NoNewRequests => Err(CallError::new(
            ErrorKind::NotConfirmed,
            "the node has no confirmed configuration or is marked as absent; locate another node",
        )),
    }
}
