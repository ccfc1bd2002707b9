//! The fleet as it was last reported.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{DataCentreId, Generation, GroupId, ModelId, ServiceId, UpstreamId};

/// Whether an upstream takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Takes work.
    Ready,
    /// Is about to leave.
    Draining,
}

/// What a member says of its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupState {
    /// Loads its part of the model.
    Joining,
    /// Has loaded its part; does not serve.
    Ready,
    /// Serves, as the head.
    Open,
    /// Finishes its work, as the head.
    Closing,
    /// Lost a member and refuses work.
    Broken,
}

/// Membership of an upstream in a group, as the upstream reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMembership {
    /// Group.
    pub group: GroupId,
    /// Generation of the membership.
    pub generation: Generation,
    /// State.
    pub state: GroupState,
}

/// An upstream as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamRecord {
    /// Id; most starts of an upstream have a new one.
    pub upstream: UpstreamId,
    /// Service that it runs.
    pub service: ServiceId,
    /// `IP:PORT`.
    pub address: Arc<str>,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: UpstreamState,
    /// How long it stays cold, counted from `seen_at`.
    pub cold_left: Duration,
    /// When the record was read.
    pub seen_at: Instant,
    /// Fabric domain, if it can join groups.
    pub domain: Option<Arc<str>>,
    /// Models on its host.
    pub staged: Vec<ModelId>,
    /// Model that it has loaded since its start.
    pub loaded: Option<ModelId>,
    /// Group, if it is in one.
    pub membership: Option<GroupMembership>,
    /// Start of this life in ms of its own clock; 0 if it does not say.
    pub born: u64,
}

impl UpstreamRecord {
    /// Whether it is cold at `now`.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.seen_at + self.cold_left
    }

    /// Its state in `group` of `generation`; `None` if it is not in it.
    pub fn state_in(&self, group: &str, generation: Generation) -> Option<GroupState> {
        let membership = self.membership.as_ref()?;
        let is_member = &*membership.group == group && membership.generation == generation;
        is_member.then_some(membership.state)
    }
}

/// A group as the planner decided it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupRecord {
    /// Id.
    pub group: GroupId,
    /// Generation; unique among all groups.
    pub generation: Generation,
    /// Service of the members.
    pub service: ServiceId,
    /// Model that it runs.
    pub model: ModelId,
    /// Members and the starts of their lives; the first is the head.
    pub members: Vec<(UpstreamId, u64)>,
    /// Address of the head, for the case that its record is gone.
    pub head_address: Arc<str>,
    /// Whether the planner is taking it apart.
    pub is_closing: bool,
}

/// A group that takes requests.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Id of the group.
    pub group: GroupId,
    /// Model.
    pub model: ModelId,
    /// The member that takes the requests.
    pub head: Arc<UpstreamRecord>,
    /// Whether its members are in several fabric domains, which makes it slow.
    pub is_far: bool,
}

/// Groups and spares of a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetSummary {
    /// Groups that take requests.
    pub serving: usize,
    /// Groups that do not take requests yet, or no more.
    pub forming: usize,
    /// Groups that are taken apart.
    pub closing: usize,
    /// Upstreams in no group whose host holds the model.
    pub spares: usize,
    /// Upstreams in no group whose host holds no model.
    pub empty: usize,
}

/// Everything known of the fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Upstreams by id.
    pub upstreams: BTreeMap<UpstreamId, Arc<UpstreamRecord>>,
    /// Groups by id.
    pub groups: BTreeMap<GroupId, Arc<GroupRecord>>,
    /// Data centres that operators have taken out.
    pub evacuated: BTreeSet<DataCentreId>,
}

impl FleetView {
    /// Whether new work may go to `record`.
    pub fn may_place(&self, record: &UpstreamRecord) -> bool {
        record.state == UpstreamState::Ready && !self.evacuated.contains(&record.data_centre)
    }

    /// Members of `group` that are there in the life in which they joined.
    pub fn present_members(&self, group: &GroupRecord) -> Vec<Option<&Arc<UpstreamRecord>>> {
        let find = |(upstream, born): &(UpstreamId, u64)| {
            self.upstreams.get(upstream).filter(|record| record.born == *born)
        };
        group.members.iter().map(find).collect()
    }

    /// Upstreams that belong to a group that `is_counted`, with the starts of their lives.
    pub fn grouped_upstreams(
        &self,
        is_counted: impl Fn(&GroupRecord) -> bool,
    ) -> BTreeSet<(&UpstreamId, u64)> {
        self.groups
            .values()
            .filter(|group| is_counted(group))
            .flat_map(|group| group.members.iter().map(|(upstream, born)| (upstream, *born)))
            .collect()
    }

    /// Whether the members of `group` are in several fabric domains.
    pub fn is_far(&self, group: &GroupRecord) -> bool {
        let mut domains =
            self.present_members(group).into_iter().flatten().map(|record| &record.domain);
        let first = domains.next();
        domains.any(|domain| Some(domain) != first)
    }

    /// The replica of `group`, if its head is open and every member is in place.
    pub fn replica(&self, group: &GroupRecord) -> Option<Replica> {
        if group.is_closing {
            return None;
        }
        let members = self.present_members(group);
        let is_whole = members.iter().all(|member| {
            let state = member.and_then(|record| record.state_in(&group.group, group.generation));
            matches!(state, Some(GroupState::Ready | GroupState::Open))
        });
        let head = members.first().copied().flatten()?;
        let is_open = head.state_in(&group.group, group.generation) == Some(GroupState::Open);
        let replica = Replica {
            group: group.group.clone(),
            model: group.model.clone(),
            head: head.clone(),
            is_far: self.is_far(group),
        };
        (is_whole && is_open && self.may_place(head)).then_some(replica)
    }

    /// Replicas of `model` at `service` that take requests.
    pub fn replicas(&self, service: &str, model: &str) -> Vec<Replica> {
        self.groups
            .values()
            .filter(|group| &*group.service == service && &*group.model == model)
            .filter_map(|group| self.replica(group))
            .collect()
    }

    /// Counts the groups and spares of a model.
    pub fn summarize(&self, service: &str, model: &str) -> FleetSummary {
        let mut summary = FleetSummary::default();
        let is_counted =
            |group: &&Arc<GroupRecord>| &*group.service == service && &*group.model == model;
        for group in self.groups.values().filter(is_counted) {
            match (group.is_closing, self.replica(group)) {
                (true, _) => summary.closing += 1,
                (false, Some(_)) => summary.serving += 1,
                (false, None) => summary.forming += 1,
            }
        }
        let grouped = self.grouped_upstreams(|_| true);
        let is_spare = |record: &&Arc<UpstreamRecord>| {
            &*record.service == service && !grouped.contains(&(&record.upstream, record.born))
        };
        for record in self.upstreams.values().filter(is_spare) {
            let is_held = record.staged.iter().any(|staged| &**staged == model);
            summary.spares += usize::from(is_held);
            summary.empty += usize::from(record.staged.is_empty());
        }
        summary
    }

    /// Upstreams of a plain service that take requests.
    pub fn plain_upstreams(&self, service: &str) -> Vec<Arc<UpstreamRecord>> {
        self.upstreams
            .values()
            .filter(|record| &*record.service == service && self.may_place(record))
            .cloned()
            .collect()
    }
}
