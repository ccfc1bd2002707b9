//! Forms, monitors and repairs groups of upstreams.
//!
//! A group is written to the store before the first order for it is sent. The planner orders its
//! members to join, and orders the head to open once every member is ready. A group that loses a
//! member is torn down head first: the head closes and leaves before any other member may join
//! another group. If the head cannot be heard, time does not show that it has ended: its members
//! leave the group one by one instead, and the head cannot serve without them. An upstream that
//! reports a group without a record is ordered to leave it before it is used. This guarantees that no
//! upstream joins a group while the head of its previous group may still be serving.
//!
//! The only groups that are not written to the store are those that warm a spare up: it joins a
//! group of its own to load the model that its host has a copy of. These groups never open.

mod cross_domain;
mod domain_split;
mod formation;
mod load;
mod service_context;
mod spare;
mod state;
mod teardown;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{
    FencingNumber, Generation, GroupId, ModelId, UpstreamId, first_generation,
};

use crate::config::{EngineSpec, ServiceConfig};
use crate::fleet::{FleetView, GroupRecord, GroupState, UpstreamRecord, UpstreamState};
use state::PlannerState;

/// A group is torn down if its head has neither been ordered to open nor reported itself open
/// within this multiple of the model's load time, counted from when this planner first sees the
/// group. Loads share the bandwidth of the weight store, so one can take several times as long as
/// it would alone.
const FORMATION_TIMEOUT_FACTOR: u32 = 6;

/// Request traffic as observed by the gateway nodes.
#[derive(Clone, Debug, Default)]
pub struct TrafficSummary {
    /// Whether any node has ever received a client's request, as far as the planner's node knows.
    /// Remains true when there are no requests in progress.
    pub has_traffic: bool,
    /// Upstreams that the nodes consider silent: they have requests in progress but have sent no
    /// data for longer than the silence timeout, which the nodes derive from the duration of an
    /// engine pass. The planner uses only those that are heads.
    pub silent: Vec<UpstreamId>,
    /// Requests in progress divided by the slots of all serving groups of a model. Has no entry for
    /// a model without a serving group.
    pub requests_per_slot: HashMap<ModelId, f64>,
}

/// Timing parameters of the planner, taken from the operators' settings.
#[derive(Clone, Copy, Debug)]
pub struct PlannerSettings {
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
        /// Whether the head aborts the requests in progress; otherwise it completes them.
        is_cut: bool,
    },
    /// Leave the group. A head refuses it while it is open or closing. The other members usually get
    /// no order to leave, as their next order to join replaces their membership; they do if the head
    /// is unreachable or the group has no record.
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
    /// The upstream could not be connected to. If the planner's node gets no answer to an order to
    /// close or leave, all other nodes that may be running, including silent ones, are asked to
    /// send it too, and this outcome means that none of them could connect. Any other order is sent
    /// by the planner's node only.
    Unreachable,
    /// No node that replied to the planner's node could connect to the upstream, but some nodes did
    /// not reply. They may be on the same side of a network partition as the upstream and still
    /// reach it.
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
    /// Mark a group as being torn down ([`GroupRecord::is_closing`]). This is not the head's state
    /// [`GroupState::Closing`].
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

/// Result of one transaction that writes group records to the store. A [`PlanStep::Write`] that
/// needs several transactions has one result for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All records of the transaction were written.
    Done {
        /// Version of the groups table that contains them, if the store told it.
        version: Option<u64>,
    },
    /// No record of the transaction was written.
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
    /// Groups that count as removed in this call, so that their members may join other groups.
    /// `writes` deletes them, unless their deletion was already sent recently.
    removed_groups: HashSet<GroupId>,
}

impl GroupPlanner {
    /// Creates the planner for one term: the time for which a node holds the planner's lease with
    /// the fencing number `fencing`.
    pub fn new(settings: PlannerSettings, fencing: FencingNumber) -> Self {
        let next_generation = first_generation(fencing);
        let (state, draft) = (PlannerState::default(), PlanDraft::default());
        Self { settings, state, next_generation, draft }
    }

    /// Returns the steps that are due at `now`. An order is not sent again while its outcome is
    /// pending and has not timed out.
    ///
    /// Before the first client request, new groups may include members that have yet to load the
    /// model, because loads from the weight store are assumed to be faster then. After that
    /// request, models are first staged on upstreams outside of groups.
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
                self.release_unstored_members(&view, &spec.service, now);
                self.form_groups(&view, &spec.service, engine, traffic.has_traffic, now);
            }
        }
        let draft = std::mem::take(&mut self.draft);
        // All writes form one step, so that one transaction can remove the old group of an upstream
        // and create its new one.
        let write = (!draft.writes.is_empty()).then_some(PlanStep::Write(draft.writes));
        write.into_iter().chain(draft.steps).collect()
    }

    /// Records the outcome of one transaction of a [`PlanStep::Write`]; `writes` are those in it.
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
            ProbeOutcome::Alive => self.state.mark_alive(upstream, now),
            ProbeOutcome::Lost => self.state.mark_lost(upstream, now),
        }
    }

    /// Probes the members of a group whose head is silent. A silent head may have lost a member,
    /// and the record of a lost member expires only seconds later.
    fn probe_members(&mut self, view: &FleetView, group: &GroupRecord, now: Instant) {
        if self.state.is_torn_down(group) || !self.state.record_probe_if_due(&group.group, now) {
            return;
        }
        let target = |record: &Arc<UpstreamRecord>| ProbeTarget {
            upstream: record.upstream.clone(),
            address: record.address.clone(),
        };
        let members = view.present_members(group).into_iter().flatten();
        self.draft.steps.push(PlanStep::Probe(members.map(target).collect()));
    }

    /// Members of an open group that have no record but are assumed to take part, and are probed
    /// again when it is due: they may only be partitioned from the store.
    fn check_unregistered_members(
        &mut self,
        view: &FleetView,
        group: &GroupRecord,
        now: Instant,
    ) -> HashSet<UpstreamId> {
        let has_formed =
            self.state.formed_groups.contains(&group.group) || view.replica(group).is_some();
        let is_missing =
            |upstream: &&UpstreamId| has_formed && !view.upstreams.contains_key(*upstream);
        // The head gets no requests without a record.
        let missing: Vec<_> =
            group.members.iter().skip(1).map(|(upstream, _)| upstream).filter(is_missing).collect();
        let mut kept = HashSet::new();
        let mut targets = Vec::new();
        for upstream in missing {
            let Some(address) = self.state.check_unregistered(upstream, now) else { continue };
            kept.insert(upstream.clone());
            targets.push(ProbeTarget { upstream: upstream.clone(), address });
        }
        if !targets.is_empty() && self.state.record_probe_if_due(&group.group, now) {
            self.draft.steps.push(PlanStep::Probe(targets));
        }
        kept
    }

    /// Orders the next step in forming a group. Tears the group down if a member is lost or
    /// draining, or if the group has failed, was not formed in time or is no longer configured.
    fn maintain_group(
        &mut self,
        view: &FleetView,
        group: &GroupRecord,
        engine: Option<&EngineSpec>,
        now: Instant,
    ) {
        self.state.pending_groups.remove(&group.group);
        let is_torn_down = self.state.is_torn_down(group);
        let spec = engine.and_then(|engine| engine.model(&group.model));
        let Some(spec) = spec.filter(|_| !is_torn_down) else {
            self.tear_down_group(view, group, now);
            return;
        };
        let members = view.present_members(group);
        for record in members.iter().copied().flatten() {
            self.state.remember_member(record);
        }
        let unregistered = self.check_unregistered_members(view, group, now);
        let is_unregistered = |index: usize| unregistered.contains(&group.members[index].0);
        let has_unavailable_member = members.iter().enumerate().any(|(index, member)| {
            member.map_or(!is_unregistered(index), |record| {
                record.state == UpstreamState::Draining || self.state.is_lost(&record.upstream, now)
            })
        });
        let states: Vec<_> = members
            .iter()
            .enumerate()
            .map(|(index, member)| match member {
                None if is_unregistered(index) => Some(GroupState::Ready),
                None => None,
                Some(record) => record.state_in(&group.group, group.generation),
            })
            .collect();
        let has_formed = self.state.formed_groups.contains(&group.group)
            || matches!(states.first(), Some(Some(GroupState::Open | GroupState::Closing)));
        // A group has failed if a member reports it as broken, if a member no longer reports it
        // after its formation, or if its head is closing. This planner has not started to tear the
        // group down (see above), but an earlier planner may have ordered the head to close without
        // marking the group in the store.
        let has_failed = states.contains(&Some(GroupState::Broken))
            || (has_formed && states.contains(&None))
            || states.first() == Some(&Some(GroupState::Closing));
        let formation_timeout = spec.load_time * FORMATION_TIMEOUT_FACTOR;
        let is_formation_overdue =
            !has_formed && self.state.group_age(&group.group, now) > formation_timeout;
        if has_unavailable_member || has_failed || is_formation_overdue {
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
                self.state.formed_groups.insert(group.group.clone());
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

    /// Adds an order to the draft, unless an order of this kind for the group was sent to the
    /// upstream recently.
    fn push_order(&mut self, order: UpstreamOrder, now: Instant) {
        if self.state.record_order_if_due(&order, now) {
            self.draft.steps.push(PlanStep::Order(order));
        }
    }
}
