//! An emulated upstream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{
    EngineSpec, GroupMembership, GroupState, OrderKind, OrderOutcome, UpstreamOrder, UpstreamRecord,
};
use eelgrassdeal_types::{ModelId, UpstreamId};

/// Time from the order to join until the new member is ready, if it ran the same model in its previous
/// group.
const REJOIN_TIME: Duration = Duration::from_millis(200);
/// Time from an order to close until the requests in progress are completed.
const CLOSE_TIME: Duration = Duration::from_millis(700);

/// A state change of an upstream that is not complete.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PendingChange {
    /// The upstream becomes ready as a group member at this time.
    Ready(Instant),
    /// The upstream becomes ready as a group member once its host has loaded the model.
    ReadyAfterLoad,
    /// The upstream, as the head of a group, starts to accept requests at this time.
    Open(Instant),
    /// The upstream, as the head of a group, has completed its requests at this time.
    Closed(Instant),
}

/// A load of model weights from the weight store.
#[derive(Clone, Debug)]
pub(crate) struct RunningLoad {
    pub(crate) model: ModelId,
    /// Time until the load is complete if it runs at full speed.
    pub(crate) remaining: Duration,
}

/// State of an emulated upstream and its host.
#[derive(Clone, Debug)]
pub(crate) struct EmulatedUpstream {
    /// Current state, which the planner sees with a delay.
    pub(crate) record: UpstreamRecord,
    /// Index of the fabric domain among the domains of all data centres.
    pub(crate) domain: usize,
    /// Index of the data centre.
    pub(crate) data_centre: usize,
    pub(crate) is_alive: bool,
    /// Members of the upstream's group, the head first; empty without a group.
    pub(crate) members: Vec<UpstreamId>,
    /// Model of the last group that the upstream was ordered to join.
    pub(crate) model: Option<ModelId>,
    /// Model of the last group in which the upstream became ready.
    last_model: Option<ModelId>,
    pub(crate) pending: Option<PendingChange>,
    pub(crate) load: Option<RunningLoad>,
    /// Highest generation of a group that the upstream joined; lower ones are outdated.
    highest_generation: u64,
}

impl EmulatedUpstream {
    pub(crate) fn new(record: UpstreamRecord, domain: usize, data_centre: usize) -> Self {
        Self {
            record,
            domain,
            data_centre,
            is_alive: true,
            members: Vec::new(),
            model: None,
            last_model: None,
            pending: None,
            load: None,
            highest_generation: 0,
        }
    }

    /// Returns this upstream after a restart, with a new id. Models staged on the host, that is,
    /// whose weights it has copied from the weight store, remain; the loaded model does not.
    pub(crate) fn restarted(&self, id: &str, now: Instant) -> Self {
        let record = UpstreamRecord {
            upstream: Arc::from(id),
            loaded: None,
            membership: None,
            seen_at: now,
            start_time_ms: self.record.start_time_ms + 1,
            ..self.record.clone()
        };
        Self::new(record, self.domain, self.data_centre)
    }

    pub(crate) fn state(&self) -> Option<GroupState> {
        self.record.membership.as_ref().map(|membership| membership.state)
    }

    /// Executes an order or starts to. A load that it starts takes `load_time_fraction` of its
    /// configured time.
    pub(crate) fn execute_order(
        &mut self,
        order: &UpstreamOrder,
        engine: &EngineSpec,
        load_time_fraction: f64,
        now: Instant,
    ) -> OrderOutcome {
        if let OrderKind::Stage { model } = &order.kind {
            return self.stage(model, engine, load_time_fraction);
        }
        let Some((group, generation)) = &order.group else { return OrderOutcome::Conflict };
        if let OrderKind::Join { model, members } = &order.kind {
            return self.join(
                (group, *generation),
                model,
                members,
                engine,
                load_time_fraction,
                now,
            );
        }
        let is_member = self.record.membership.as_ref().is_some_and(|membership| {
            membership.group == *group && membership.generation == *generation
        });
        match (&order.kind, self.state()) {
            _ if !is_member => OrderOutcome::Conflict,
            (OrderKind::Open, Some(GroupState::Ready)) => {
                self.pending = Some(PendingChange::Open(now + engine.open_delay));
                OrderOutcome::Accepted
            }
            (OrderKind::Open, Some(GroupState::Open)) => OrderOutcome::Accepted,
            (OrderKind::Close { is_cut }, Some(GroupState::Open)) => {
                let delay = if *is_cut { Duration::ZERO } else { CLOSE_TIME };
                self.set_state(GroupState::Closing);
                self.pending = Some(PendingChange::Closed(now + delay));
                OrderOutcome::Accepted
            }
            (OrderKind::Close { .. }, Some(GroupState::Closing | GroupState::Ready)) => {
                OrderOutcome::Accepted
            }
            (OrderKind::Leave, Some(state))
                if !matches!(state, GroupState::Open | GroupState::Closing) =>
            {
                self.record.membership = None;
                self.record.loaded = None;
                self.members.clear();
                self.pending = None;
                OrderOutcome::Accepted
            }
            _ => OrderOutcome::Conflict,
        }
    }

    /// Makes the pending change if it is due at `now`. Returns whether the record changed.
    pub(crate) fn advance(&mut self, now: Instant) -> bool {
        let next = match &self.pending {
            Some(PendingChange::Ready(at)) if *at <= now => GroupState::Ready,
            Some(PendingChange::ReadyAfterLoad) if self.load.is_none() => GroupState::Ready,
            Some(PendingChange::Open(at)) if *at <= now => GroupState::Open,
            Some(PendingChange::Closed(at)) if *at <= now => GroupState::Ready,
            _ => return false,
        };
        self.pending = None;
        if next == GroupState::Ready {
            self.record.loaded = self.model.clone();
            self.last_model = self.model.clone();
        }
        self.set_state(next);
        true
    }

    /// Advances the load by `time` at full speed. Returns whether the load is complete.
    pub(crate) fn advance_load(&mut self, time: Duration) -> bool {
        let Some(load) = &mut self.load else { return false };
        load.remaining = load.remaining.saturating_sub(time);
        if !load.remaining.is_zero() {
            return false;
        }
        // A host has one staged model, which the next load replaces.
        self.record.staged = vec![load.model.clone()];
        self.load = None;
        true
    }

    fn set_state(&mut self, state: GroupState) {
        if let Some(membership) = &mut self.record.membership {
            membership.state = state;
        }
    }

    fn stage(
        &mut self,
        model: &ModelId,
        engine: &EngineSpec,
        load_time_fraction: f64,
    ) -> OrderOutcome {
        let Some(spec) = engine.model(model) else { return OrderOutcome::Conflict };
        if !self.record.staged.contains(model) {
            let remaining = spec.load_time.mul_f64(load_time_fraction);
            self.load = Some(RunningLoad { model: model.clone(), remaining });
        }
        OrderOutcome::Accepted
    }

    fn join(
        &mut self,
        (group, generation): (&Arc<str>, u64),
        model: &ModelId,
        members: &[UpstreamId],
        engine: &EngineSpec,
        load_time_fraction: f64,
        now: Instant,
    ) -> OrderOutcome {
        let has_joined = self.record.membership.as_ref().is_some_and(|membership| {
            membership.group == *group && membership.generation == generation
        });
        // An order with the group and generation that the upstream has joined, but with other members,
        // counts as outdated.
        match has_joined {
            true if self.members == members => return OrderOutcome::Accepted,
            _ if generation < self.highest_generation || has_joined => {
                return OrderOutcome::Outdated;
            }
            _ => {}
        }
        let Some(spec) = engine.model(model) else { return OrderOutcome::Conflict };
        self.highest_generation = generation;
        // The first case that applies: the upstream was last ready with the model, the host has it
        // staged, the host is loading it, or a new load starts.
        let pending = match &self.load {
            _ if self.last_model.as_ref() == Some(model) => PendingChange::Ready(now + REJOIN_TIME),
            _ if self.record.staged.contains(model) => PendingChange::Ready(now + spec.warm_time),
            Some(load) if load.model == *model => PendingChange::ReadyAfterLoad,
            _ => {
                let remaining = spec.load_time.mul_f64(load_time_fraction);
                self.load = Some(RunningLoad { model: model.clone(), remaining });
                PendingChange::ReadyAfterLoad
            }
        };
        self.record.loaded = None;
        self.record.membership =
            Some(GroupMembership { group: group.clone(), generation, state: GroupState::Joining });
        self.members = members.to_vec();
        self.model = Some(model.clone());
        self.pending = Some(pending);
        OrderOutcome::Accepted
    }
}
