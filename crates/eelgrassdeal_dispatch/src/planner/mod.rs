//! Forms, watches and repairs groups of upstreams.
//!
//! A group is written to the store before its first order. Its members are joined, its head is
//! opened once every member is ready, and a group that lost a member is taken apart from its head:
//! the head is closed and leaves before any other member may join another group. So a worker never
//! joins a group while the head of its former group may still serve.

mod dismantle;
mod far;
mod form;
mod home;
mod layout;
mod load;
mod memory;
mod spare;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{FencingNumber, Generation, GroupId, ModelId, UpstreamId};

use crate::config::{EngineSpec, ServiceConfig};
use crate::fleet::{FleetView, GroupRecord, GroupState, UpstreamRecord, UpstreamState};
use memory::PlannerMemory;

/// Generations that one planner may use before the next fencing number begins.
const GENERATIONS_PER_TERM: u64 = 1_000_000;
/// A group that has not formed within this multiple of the load time is taken apart. Loads share
/// the weight store, so a load can take several times as long as alone.
const FORM_PATIENCE_FACTOR: u32 = 6;

/// What the nodes see of the work.
#[derive(Clone, Debug, Default)]
pub struct FleetLoad {
    /// Whether callers have sent requests.
    pub has_traffic: bool,
    /// Upstreams that send nothing to running requests.
    pub silent: Vec<UpstreamId>,
    /// Requests for each slot of the groups that serve a model.
    pub pressure: HashMap<ModelId, f64>,
}

/// Settings of the planner.
#[derive(Clone, Copy, Debug)]
pub struct PlannerSettings {
    /// Time after which an engine gives up work that depends on a lost member.
    pub stall: Duration,
    /// Window in which loads from the weight store are counted.
    pub load_window: Duration,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Join the group; the first member is the head.
    Join {
        /// Model of the group.
        model: ModelId,
        /// All members.
        members: Vec<UpstreamId>,
    },
    /// Begin to serve.
    Open,
    /// Stop to serve.
    Close {
        /// Whether work in progress is cut off.
        is_cut: bool,
    },
    /// Leave the group.
    Leave,
    /// Load a model onto the host.
    Stage {
        /// Model.
        model: ModelId,
    },
}

/// An order to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamOrder {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: Arc<str>,
    /// Group and generation that the order is about; not for staging.
    pub group: Option<(GroupId, Generation)>,
    /// What it asks for.
    pub kind: OrderKind,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Done, or begun.
    Accepted,
    /// Does not fit the state of the upstream.
    Conflict,
    /// Another planner or a newer generation came before.
    Outdated,
    /// Another upstream has the address now.
    Gone,
    /// No node could connect.
    Unreachable,
    /// No connection was made by the nodes that were asked; others did not answer and may be with
    /// the upstream behind a cut.
    PartlyUnreachable,
    /// No answer; it may be carried out later.
    Unknown,
}

/// What a probe of an upstream showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// It answers.
    Alive,
    /// It does not answer, or another has its address.
    Lost,
}

/// An upstream to probe, in the life in which it joined its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: Arc<str>,
}

/// A change of the stored groups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupWrite {
    /// Store a new group.
    Create(GroupRecord),
    /// Store that a group is taken apart.
    MarkClosing(GroupRecord),
    /// Remove a group.
    Remove(GroupId),
}

impl GroupWrite {
    /// The group that is written.
    pub fn group(&self) -> &GroupId {
        match self {
            Self::Create(record) | Self::MarkClosing(record) => &record.group,
            Self::Remove(group) => group,
        }
    }
}

/// How a write of groups ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The groups are stored.
    Done,
    /// Nothing was written.
    Failed,
    /// No answer; the groups may be stored.
    Unknown,
}

/// A step of the plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanStep {
    /// Write all of these groups or none.
    Write(Vec<GroupWrite>),
    /// Give an order.
    Order(UpstreamOrder),
    /// Ask the members of a group whether they are there.
    Probe(Vec<ProbeTarget>),
}

/// Plans the groups of all services.
#[derive(Debug)]
pub struct GroupPlanner {
    settings: PlannerSettings,
    memory: PlannerMemory,
    next_generation: Generation,
    draft: PlanDraft,
}

/// A plan that is being made.
#[derive(Debug, Default)]
struct PlanDraft {
    writes: Vec<GroupWrite>,
    steps: Vec<PlanStep>,
    /// Groups whose members are free once the writes are done.
    removed: HashSet<GroupId>,
}

impl GroupPlanner {
    /// Plans under a lease with the fencing number `fencing`.
    pub fn new(settings: PlannerSettings, fencing: FencingNumber) -> Self {
        let next_generation = fencing * GENERATIONS_PER_TERM;
        let (memory, draft) = (PlannerMemory::default(), PlanDraft::default());
        Self { settings, memory, next_generation, draft }
    }

    /// The steps that are due at `now`. Orders without an outcome are not repeated.
    ///
    /// Until callers send requests, loads are fast and groups are loaded in place.
    pub fn plan(
        &mut self,
        view: &FleetView,
        config: &ServiceConfig,
        load: &FleetLoad,
        now: Instant,
    ) -> Vec<PlanStep> {
        self.memory.forget_old(now);
        self.memory.pressure.clone_from(&load.pressure);
        self.memory.note_silent(&load.silent, now);
        let view = self.memory.with_own_writes(view, now);
        for group in view.groups.values() {
            if group.members.first().is_some_and(|(head, _)| load.silent.contains(head)) {
                self.probe_members(&view, group, now);
            }
            let engine = config.services.get(&group.service).and_then(|spec| spec.engine.as_ref());
            self.tend_group(&view, group, engine, now);
        }
        for spec in config.services.values() {
            if let Some(engine) = &spec.engine {
                self.form_groups(&view, &spec.service, engine, load.has_traffic, now);
            }
        }
        let draft = std::mem::take(&mut self.draft);
        // One transaction frees the members of a group and takes them into the next.
        let write = (!draft.writes.is_empty()).then_some(PlanStep::Write(draft.writes));
        write.into_iter().chain(draft.steps).collect()
    }

    /// Notes how a write ended.
    pub fn note_write(&mut self, writes: &[GroupWrite], outcome: WriteOutcome, now: Instant) {
        self.memory.note_write(writes, outcome, now);
    }

    /// Notes how an order ended.
    pub fn note_outcome(&mut self, order: &UpstreamOrder, outcome: OrderOutcome, now: Instant) {
        self.memory.note_outcome(order, outcome, now);
    }

    /// Notes what a probe showed.
    pub fn note_probe(&mut self, upstream: &UpstreamId, outcome: ProbeOutcome, now: Instant) {
        match outcome {
            ProbeOutcome::Alive => self.memory.clear_lost(upstream),
            ProbeOutcome::Lost => self.memory.note_lost(upstream, now),
        }
    }

    /// Probes the members of a group whose head is silent: one of them may be lost, which shows in
    /// the fleet's records only seconds later.
    fn probe_members(&mut self, view: &FleetView, group: &GroupRecord, now: Instant) {
        let is_closing = self.memory.closing_since.contains_key(&group.group);
        if group.is_closing || is_closing || !self.memory.try_probe(&group.group, now) {
            return;
        }
        let target = |record: &Arc<UpstreamRecord>| ProbeTarget {
            upstream: record.upstream.clone(),
            address: record.address.clone(),
        };
        let members = view.present_members(group).into_iter().flatten();
        self.draft.steps.push(PlanStep::Probe(members.map(target).collect()));
    }

    fn tend_group(
        &mut self,
        view: &FleetView,
        group: &GroupRecord,
        engine: Option<&EngineSpec>,
        now: Instant,
    ) {
        self.memory.pending_groups.remove(&group.group);
        let is_closing = group.is_closing || self.memory.closing_since.contains_key(&group.group);
        let spec = engine.and_then(|engine| engine.model(&group.model));
        let Some(spec) = spec.filter(|_| !is_closing) else {
            self.dismantle(view, group, now);
            return;
        };
        let members = view.present_members(group);
        let is_lost = members.iter().any(|member| {
            member.is_none_or(|record| {
                record.state == UpstreamState::Draining
                    || self.memory.is_lost(&record.upstream, now)
            })
        });
        let states: Vec<_> = members
            .iter()
            .map(|member| member.and_then(|record| record.state_in(&group.group, group.generation)))
            .collect();
        let was_open = self.memory.opened.contains(&group.group)
            || matches!(states.first(), Some(Some(GroupState::Open | GroupState::Closing)));
        let is_broken = states.contains(&Some(GroupState::Broken))
            || (was_open && states.contains(&None))
            || states.first() == Some(&Some(GroupState::Closing));
        let patience = spec.load_time * FORM_PATIENCE_FACTOR;
        let is_late = !was_open && self.memory.age(&group.group, now) > patience;
        if is_lost || is_broken || is_late {
            self.dismantle(view, group, now);
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
                self.memory.opened.insert(group.group.clone());
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

    /// Adds an order unless the same one was given lately.
    fn push_order(&mut self, order: UpstreamOrder, now: Instant) {
        if self.memory.try_send(&order, now) {
            self.draft.steps.push(PlanStep::Order(order));
        }
    }
}
