//! An emulated upstream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{
    EngineSpec, GroupMembership, GroupState, OrderKind, OrderOutcome, UpstreamOrder, UpstreamRecord,
};
use eelgrassdeal_types::{ModelId, UpstreamId};

/// A member that had the model in its last group joins within this time.
const REJOIN_TIME: Duration = Duration::from_millis(200);
/// Work in progress ends within about this time after an order to close.
const CLOSE_TIME: Duration = Duration::from_millis(700);

/// What an upstream waits for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PendingChange {
    /// It becomes ready as a member.
    Ready(Instant),
    /// It becomes ready as a member once its host has the model.
    ReadyAfterLoad,
    /// It begins to serve.
    Open(Instant),
    /// It stops to serve.
    Closed(Instant),
}

/// A load from the weight store.
#[derive(Clone, Debug)]
pub(crate) struct RunningLoad {
    pub(crate) model: ModelId,
    /// Time that is left at full speed.
    pub(crate) left: Duration,
}

/// An upstream and its host.
#[derive(Clone, Debug)]
pub(crate) struct EmulatedUpstream {
    pub(crate) record: UpstreamRecord,
    pub(crate) domain: usize,
    pub(crate) data_centre: usize,
    pub(crate) is_alive: bool,
    /// Members of its group, the head first.
    pub(crate) members: Vec<UpstreamId>,
    pub(crate) model: Option<ModelId>,
    /// Model of its last group since its start.
    last_model: Option<ModelId>,
    pub(crate) pending: Option<PendingChange>,
    pub(crate) load: Option<RunningLoad>,
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

    /// Starts again under a new id. The host keeps its models.
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

    /// Carries out an order.
    pub(crate) fn obey(
        &mut self,
        order: &UpstreamOrder,
        engine: &EngineSpec,
        load_part: f64,
        now: Instant,
    ) -> OrderOutcome {
        if let OrderKind::Stage { model } = &order.kind {
            return self.stage(model, engine, load_part);
        }
        let Some((group, generation)) = &order.group else { return OrderOutcome::Conflict };
        if let OrderKind::Join { model, members } = &order.kind {
            return self.join((group, *generation), model, members, engine, load_part, now);
        }
        let is_member = self.record.membership.as_ref().is_some_and(|membership| {
            membership.group == *group && membership.generation == *generation
        });
        match (&order.kind, self.state()) {
            _ if !is_member => OrderOutcome::Conflict,
            (OrderKind::Open, Some(GroupState::Ready)) => {
                self.pending = Some(PendingChange::Open(now + engine.form_time));
                OrderOutcome::Accepted
            }
            (OrderKind::Open, Some(GroupState::Open)) => OrderOutcome::Accepted,
            (OrderKind::Close { is_cut }, Some(GroupState::Open)) => {
                let takes = if *is_cut { Duration::ZERO } else { CLOSE_TIME };
                self.set_state(GroupState::Closing);
                self.pending = Some(PendingChange::Closed(now + takes));
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

    /// Does what is due at `now`; whether its record changed.
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

    /// Goes on with its load for `time` at full speed; whether it ended.
    pub(crate) fn advance_load(&mut self, time: Duration) -> bool {
        let Some(load) = &mut self.load else { return false };
        load.left = load.left.saturating_sub(time);
        if !load.left.is_zero() {
            return false;
        }
        self.record.staged = vec![load.model.clone()];
        self.load = None;
        true
    }

    fn set_state(&mut self, state: GroupState) {
        if let Some(membership) = &mut self.record.membership {
            membership.state = state;
        }
    }

    fn stage(&mut self, model: &ModelId, engine: &EngineSpec, load_part: f64) -> OrderOutcome {
        let Some(spec) = engine.model(model) else { return OrderOutcome::Conflict };
        if !self.record.staged.contains(model) {
            let left = spec.load_time.mul_f64(load_part);
            self.load = Some(RunningLoad { model: model.clone(), left });
        }
        OrderOutcome::Accepted
    }

    fn join(
        &mut self,
        (group, generation): (&Arc<str>, u64),
        model: &ModelId,
        members: &[UpstreamId],
        engine: &EngineSpec,
        load_part: f64,
        now: Instant,
    ) -> OrderOutcome {
        let is_known = self
            .record
            .membership
            .as_ref()
            .is_some_and(|known| known.group == *group && known.generation == generation);
        match is_known {
            true if self.members == members => return OrderOutcome::Accepted,
            _ if generation < self.highest_generation || is_known => {
                return OrderOutcome::Outdated;
            }
            _ => {}
        }
        let Some(spec) = engine.model(model) else { return OrderOutcome::Conflict };
        self.highest_generation = generation;
        let pending = match &self.load {
            _ if self.last_model.as_ref() == Some(model) => PendingChange::Ready(now + REJOIN_TIME),
            _ if self.record.staged.contains(model) => PendingChange::Ready(now + spec.warm_time),
            Some(load) if load.model == *model => PendingChange::ReadyAfterLoad,
            _ => {
                let left = spec.load_time.mul_f64(load_part);
                self.load = Some(RunningLoad { model: model.clone(), left });
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
