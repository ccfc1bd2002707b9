//! Forms, monitors and repairs groups of upstreams.
//!
//! A group is written to the store before the first order for it is sent. The planner orders its
//! members to join, and orders the head to open once every member is ready. A group that loses a
//! member is torn down head first: the head closes and leaves before any other member may join
//! another group. This guarantees that no upstream joins a group while the head of its previous
//! group may still be serving.

mod cross_domain;
mod formation;
mod load;
mod primary_model;
mod service_plan;
mod spare;
mod state;
mod teardown;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{FencingNumber, Generation, GroupId, ModelId, UpstreamId};

use crate::config::{EngineSpec, ServiceConfig};
use crate::fleet::{FleetView, GroupRecord, GroupState, UpstreamRecord, UpstreamState};
use state::PlannerState;

/// Number of group generations reserved for each fencing number, so that successive planners assign
/// different generations.
const GENERATIONS_PER_TERM: u64 = 1_000_000;
/// A group that has not opened within this multiple of its model's load time is torn down. Loads
/// share the bandwidth of the weight store, so one can take several times as long as it would
/// alone.
const FORMATION_TIMEOUT_FACTOR: u32 = 6;

/// Request traffic as observed by the gateway nodes.
#[derive(Clone, Debug, Default)]
pub struct TrafficSummary {
    /// Whether any client has sent a request yet.
    pub has_traffic: bool,
    /// Upstreams that have requests in progress but send no data for them.
    pub silent: Vec<UpstreamId>,
    /// Requests in progress divided by the slots of all serving groups of a model. Has no entry for
    /// a model without a serving group.
    pub requests_per_slot: HashMap<ModelId, f64>,
}

/// Timing parameters of the planner, taken from the operators' settings.
#[derive(Clone, Copy, Debug)]
pub struct PlannerSettings {
    /// Time after which an engine aborts work that is waiting for a lost member.
    pub stall_timeout: Duration,
    /// Sliding window over which the rate of loads from the weight store is limited.
    pub load_window: Duration,
}

/// The action that an order requests from an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Join the group and load its model.
    Join {
        /// Model that the group runs.
        model: ModelId,
        /// All members of the group, including the recipient. The first one is the head.
        members: Vec<UpstreamId>,
    },
    /// Start serving requests. Sent to the head only.
    Open,
    /// Stop serving requests. Sent to the head only.
    Close {
        /// Whether requests in progress are aborted; otherwise they are completed.
        is_cut: bool,
    },
    /// Leave the group. Sent to the head only, which refuses it while it is open.
    Leave,
    /// Copy the weights of a model from the weight store to the upstream's host.
    Stage {
        /// Model to copy.
        model: ModelId,
    },
}

/// An order from the planner to one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamOrder {
    /// Upstream that is to execute the order.
    pub upstream: UpstreamId,
    /// `IP:PORT` to send the order to.
    pub address: Arc<str>,
    /// Group that the order applies to, and its generation. `None` for [`OrderKind::Stage`].
    pub group: Option<(GroupId, Generation)>,
    /// Requested action.
    pub kind: OrderKind,
}

/// Result of sending an order to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The upstream has executed the order or started to.
    Accepted,
    /// The upstream refused the order because its current state does not allow it.
    Conflict,
    /// The upstream refused the order because it has seen a higher fencing number or generation.
    Outdated,
    /// The address now belongs to another upstream.
    Gone,
    /// No node could connect to the upstream.
    Unreachable,
    /// No node that was asked could connect to the upstream, but some nodes did not answer. They
    /// may be in the same network partition as the upstream and still reach it.
    PartlyUnreachable,
    /// The upstream did not answer. It may still execute the order later.
    Unknown,
}

/// Result of probing an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The upstream answered.
    Alive,
    /// The upstream did not answer, or its address now belongs to another upstream.
    Lost,
}

/// A group member to probe. Members that have restarted since they joined are not probed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Upstream that is expected at the address.
    pub upstream: UpstreamId,
    /// `IP:PORT` to connect to.
    pub address: Arc<str>,
}

/// A change to one group record in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupWrite {
    /// Insert a new group.
    Create(GroupRecord),
    /// Mark a group as being torn down.
    MarkClosing(GroupRecord),
    /// Delete a group, which makes its members available to other groups.
    Remove(GroupId),
}

impl GroupWrite {
    /// Id of the group that the write changes.
    pub fn group(&self) -> &GroupId {
        match self {
            Self::Create(record) | Self::MarkClosing(record) => &record.group,
            Self::Remove(group) => group,
        }
    }
}

/// Result of writing group records to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All records were written.
    Done,
    /// No record was written.
    Failed,
    /// The store did not answer; the records may have been written.
    Unknown,
}

/// An action that the caller of [`GroupPlanner::plan`] executes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanStep {
    /// Write these group records, in one transaction if the store accepts that many rows.
    Write(Vec<GroupWrite>),
    /// Send an order to an upstream.
    Order(UpstreamOrder),
    /// Check whether the members of a group respond.
    Probe(Vec<ProbeTarget>),
}

/// Decides which groups of upstreams exist for all services with engines. It performs no I/O: the
/// caller executes the returned [`PlanStep`]s and reports their outcomes.
#[derive(Debug)]
pub struct GroupPlanner {
    settings: PlannerSettings,
    state: PlannerState,
    next_generation: Generation,
    draft: PlanDraft,
}

/// Steps collected during one call of [`GroupPlanner::plan`].
#[derive(Debug, Default)]
struct PlanDraft {
    writes: Vec<GroupWrite>,
    steps: Vec<PlanStep>,
    /// Groups that `writes` deletes. Their members can be reused in the same transaction.
    removed_groups: HashSet<GroupId>,
}

impl GroupPlanner {
    /// Creates a planner that holds the planner's lease with the fencing number `fencing`.
    pub fn new(settings: PlannerSettings, fencing: FencingNumber) -> Self {
        let next_generation = fencing * GENERATIONS_PER_TERM;
        let (state, draft) = (PlannerState::default(), PlanDraft::default());
        Self { settings, state, next_generation, draft }
    }

    /// Returns the steps that are due at `now`. An order is not sent again while its outcome is
    /// pending and has not timed out.
    ///
    /// Loads are fast until clients send requests. Until then, new groups may include members that
    /// have yet to load the model; afterwards, models are first staged on upstreams outside of
    /// groups.
    pub fn plan(
        &mut self,
        view: &FleetView,
        config: &ServiceConfig,
        traffic: &TrafficSummary,
        now: Instant,
    ) -> Vec<PlanStep> {
        self.state.remove_expired(now);
        self.state.requests_per_slot.clone_from(&traffic.requests_per_slot);
        self.state.record_silence(&traffic.silent, now);
        let view = self.state.overlay_own_writes(view, now);
        for group in view.groups.values() {
            if group.members.first().is_some_and(|(head, _)| traffic.silent.contains(head)) {
                self.probe_members(&view, group, now);
            }
            let engine = config.services.get(&group.service).and_then(|spec| spec.engine.as_ref());
            self.maintain_group(&view, group, engine, now);
        }
        for spec in config.services.values() {
            if let Some(engine) = &spec.engine {
                self.form_groups(&view, &spec.service, engine, traffic.has_traffic, now);
            }
        }
        let draft = std::mem::take(&mut self.draft);
        // One transaction removes the old group of an upstream and creates its new one.
        let write = (!draft.writes.is_empty()).then_some(PlanStep::Write(draft.writes));
        write.into_iter().chain(draft.steps).collect()
    }

    /// Records the outcome of a [`PlanStep::Write`].
    pub fn record_write_outcome(
        &mut self,
        writes: &[GroupWrite],
        outcome: WriteOutcome,
        now: Instant,
    ) {
        self.state.record_write_outcome(writes, outcome, now);
    }

    /// Records the outcome of a [`PlanStep::Order`].
    pub fn record_order_outcome(
        &mut self,
        order: &UpstreamOrder,
        outcome: OrderOutcome,
        now: Instant,
    ) {
        self.state.record_order_outcome(order, outcome, now);
    }

    /// Records the outcome for one target of a [`PlanStep::Probe`].
    pub fn record_probe_outcome(
        &mut self,
        upstream: &UpstreamId,
        outcome: ProbeOutcome,
        now: Instant,
    ) {
        match outcome {
            ProbeOutcome::Alive => self.state.clear_lost(upstream),
            ProbeOutcome::Lost => self.state.mark_lost(upstream, now),
        }
    }

    /// Probes the members of a group whose head is silent. A silent head may have lost a member,
    /// and the record of a lost member expires only seconds later.
    fn probe_members(&mut self, view: &FleetView, group: &GroupRecord, now: Instant) {
        let is_closing = self.state.closing_since.contains_key(&group.group);
        if group.is_closing || is_closing || !self.state.try_probe(&group.group, now) {
            return;
        }
        let target = |record: &Arc<UpstreamRecord>| ProbeTarget {
            upstream: record.upstream.clone(),
            address: record.address.clone(),
        };
        let members = view.present_members(group).into_iter().flatten();
        self.draft.steps.push(PlanStep::Probe(members.map(target).collect()));
    }

    /// Orders the next step in forming a group, or tears the group down if it lost a member, did
    /// not open in time or is no longer configured.
    fn maintain_group(
        &mut self,
        view: &FleetView,
        group: &GroupRecord,
        engine: Option<&EngineSpec>,
        now: Instant,
    ) {
        self.state.pending_groups.remove(&group.group);
        let is_closing = group.is_closing || self.state.closing_since.contains_key(&group.group);
        let spec = engine.and_then(|engine| engine.model(&group.model));
        let Some(spec) = spec.filter(|_| !is_closing) else {
            self.tear_down_group(view, group, now);
            return;
        };
        let members = view.present_members(group);
        let is_lost = members.iter().any(|member| {
            member.is_none_or(|record| {
                record.state == UpstreamState::Draining || self.state.is_lost(&record.upstream, now)
            })
        });
        let states: Vec<_> = members
            .iter()
            .map(|member| member.and_then(|record| record.state_in(&group.group, group.generation)))
            .collect();
        let was_open = self.state.opened_groups.contains(&group.group)
            || matches!(states.first(), Some(Some(GroupState::Open | GroupState::Closing)));
        let is_broken = states.contains(&Some(GroupState::Broken))
            || (was_open && states.contains(&None))
            || states.first() == Some(&Some(GroupState::Closing));
        let formation_timeout = spec.load_time * FORMATION_TIMEOUT_FACTOR;
        let is_formation_overdue =
            !was_open && self.state.group_age(&group.group, now) > formation_timeout;
        if is_lost || is_broken || is_formation_overdue {
            self.tear_down_group(view, group, now);
            return;
        }
        let is_ready = |state: &Option<GroupState>| {
            matches!(state, Some(GroupState::Ready | GroupState::Open))
        };
        let all_ready = states.iter().all(is_ready);
        for (index, (member, state)) in members.iter().zip(&states).enumerate() {
            let Some(record) = member else { continue };
            let kind = match state {
                None => OrderKind::Join {
                    model: group.model.clone(),
                    members: group.members.iter().map(|(id, _)| id.clone()).collect(),
                },
                Some(GroupState::Ready) if index == 0 && all_ready => OrderKind::Open,
                _ => continue,
            };
            if kind == OrderKind::Open {
                self.state.opened_groups.insert(group.group.clone());
            }
            let order = UpstreamOrder {
                upstream: record.upstream.clone(),
                address: record.address.clone(),
                group: Some((group.group.clone(), group.generation)),
                kind,
            };
            self.push_order(order, now);
        }
    }

    /// Adds an order to the plan unless the same order was sent recently.
    fn push_order(&mut self, order: UpstreamOrder, now: Instant) {
        if self.state.try_send(&order, now) {
            self.draft.steps.push(PlanStep::Order(order));
        }
    }
}
