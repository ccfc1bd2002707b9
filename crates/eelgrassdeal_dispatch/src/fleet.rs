//! State of the fleet as last reported.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{DataCentreId, Generation, GroupId, ModelId, ServiceId, UpstreamId};

/// Whether an upstream accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// Accepts new work.
    Ready,
    /// Will stop soon and accepts no new work.
    Draining,
}

/// State of a group as one of its members reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupState {
    /// The member is loading its part of the model.
    Joining,
    /// The member has loaded its part of the model but does not accept requests: it is not the head,
    /// or the head is not open. Unrelated to [`UpstreamState::Ready`].
    Ready,
    /// The member is the head and accepts requests.
    Open,
    /// The member is the head, accepts no new requests and finishes those in progress.
    Closing,
    /// The group has lost a member and rejects work.
    Broken,
}

/// Membership of an upstream in a group, as the upstream reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMembership {
    /// Id of the group.
    pub group: GroupId,
    /// Generation of the group that the upstream joined.
    pub generation: Generation,
    /// State that the upstream reports.
    pub state: GroupState,
}

/// Record by which an upstream registers itself.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamRecord {
    /// Id of the upstream. After a restart an upstream usually has a new id.
    pub upstream: UpstreamId,
    /// Service that the upstream runs.
    pub service: ServiceId,
    /// `IP:PORT`.
    pub address: Arc<str>,
    /// Data centre that the upstream runs in.
    pub data_centre: DataCentreId,
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new work.
    pub state: UpstreamState,
    /// Time from `seen_at` for which the upstream remains cold, that is, accepts requests only at
    /// the service's rate limit for cold upstreams.
    pub cold_left: Duration,
    /// When the record was read.
    pub seen_at: Instant,
    /// Fabric domain that the upstream runs in; `None` if the upstream cannot join groups. A group
    /// with members in several fabric domains is slower.
    pub domain: Option<Arc<str>>,
    /// Models whose weights are staged on the host.
    pub staged: Vec<ModelId>,
    /// Model that the upstream reports as loaded, if any. An upstream that has left its group may
    /// keep the model loaded.
    pub loaded: Option<ModelId>,
    /// Membership in a group, if the upstream is in one.
    pub membership: Option<GroupMembership>,
    /// Start time of the upstream process in ms of its own clock, which tells a restarted upstream
    /// from its earlier process; 0 if it is not reported.
    pub start_time_ms: u64,
}

impl UpstreamRecord {
    /// Whether the upstream is cold at `now`.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.seen_at + self.cold_left
    }

    /// The state that the upstream reports as a member of `group`; `None` if it reports no membership
    /// in this group or another generation than `generation`.
    pub fn state_in(&self, group: &str, generation: Generation) -> Option<GroupState> {
        let membership = self.membership.as_ref()?;
        let is_member = &*membership.group == group && membership.generation == generation;
        is_member.then_some(membership.state)
    }
}

/// One process of an upstream, which a later one can replace under the same id or address.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamProcess {
    address: Arc<str>,
    /// [`UpstreamRecord::start_time_ms`].
    pub(crate) start_time_ms: u64,
}

impl UpstreamProcess {
    /// The process that wrote `record`.
    pub(crate) fn of_record(record: &UpstreamRecord) -> Self {
        Self { address: record.address.clone(), start_time_ms: record.start_time_ms }
    }

    /// Whether the process wrote `record`.
    pub(crate) fn has_written(&self, record: &UpstreamRecord) -> bool {
        self.start_time_ms == record.start_time_ms && self.address == record.address
    }

    /// Whether an earlier process wrote `record`.
    pub(crate) fn is_later_than(&self, record: &UpstreamRecord) -> bool {
        record.start_time_ms != 0 && self.start_time_ms > record.start_time_ms
    }

    /// Whether the process is over, where `record` is the current one of the upstream. Without a start
    /// time, a process that comes back can't be told from a new one.
    pub(crate) fn is_replaced(&self, record: Option<&UpstreamRecord>) -> bool {
        match record {
            Some(record) => !self.has_written(record) && !self.is_later_than(record),
            None => self.start_time_ms == 0,
        }
    }
}

/// Record of a group, as the planner stored it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupRecord {
    /// Id of the group.
    pub group: GroupId,
    /// Generation of the group. Each group that the planner forms gets a number that no other group
    /// has or had.
    pub generation: Generation,
    /// Service of the members.
    pub service: ServiceId,
    /// Model that the group runs.
    pub model: ModelId,
    /// Members with their start times ([`UpstreamRecord::start_time_ms`]); the first is the head.
    pub members: Vec<(UpstreamId, u64)>,
    /// Address of the head, used when the head's own record has expired.
    pub head_address: Arc<str>,
    /// Whether the planner is tearing the group down.
    pub is_closing: bool,
}

/// A group that accepts requests.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Id of the group.
    pub group: GroupId,
    /// Model that the group runs.
    pub model: ModelId,
    /// The member that receives the requests.
    pub head: Arc<UpstreamRecord>,
    /// Whether the members are in several fabric domains, which makes the group slower.
    pub is_cross_domain: bool,
}

/// Numbers of groups and spare upstreams for one model of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetSummary {
    /// Groups that accept requests.
    pub serving: usize,
    /// Groups that are neither serving nor marked as closing: groups that are being formed, and
    /// those that have lost a member or whose head accepts no new work.
    pub forming: usize,
    /// Groups that the planner is tearing down.
    pub closing: usize,
    /// Upstreams of the service that are in no group and have this model staged on their host.
    pub spares: usize,
    /// Upstreams of the service that are in no group and have no model at all staged on their host.
    /// The number is the same for every model of the service.
    pub empty: usize,
}

/// Snapshot of everything that is known of the fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Upstreams by id.
    pub upstreams: BTreeMap<UpstreamId, Arc<UpstreamRecord>>,
    /// Groups by id.
    pub groups: BTreeMap<GroupId, Arc<GroupRecord>>,
    /// Version of the groups table that `groups` shows.
    pub groups_version: u64,
    /// Data centres that operators have taken out of service.
    pub evacuated: BTreeSet<DataCentreId>,
}

impl FleetView {
    /// Whether new work may be placed on the upstream of `record`.
    pub fn may_place(&self, record: &UpstreamRecord) -> bool {
        record.state == UpstreamState::Ready && !self.evacuated.contains(&record.data_centre)
    }

    /// Records of the members of `group` in their order; `None` for a member without a record or
    /// one that has restarted since the group was formed.
    pub fn present_members(&self, group: &GroupRecord) -> Vec<Option<&Arc<UpstreamRecord>>> {
        let find = |(upstream, start_time_ms): &(UpstreamId, u64)| {
            self.upstreams.get(upstream).filter(|record| record.start_time_ms == *start_time_ms)
        };
        group.members.iter().map(find).collect()
    }

    /// Members of the groups that `is_included` selects, with their start times.
    pub fn grouped_upstreams(
        &self,
        is_included: impl Fn(&GroupRecord) -> bool,
    ) -> BTreeSet<(&UpstreamId, u64)> {
        self.groups
            .values()
            .filter(|group| is_included(group))
            .flat_map(|group| {
                group.members.iter().map(|(upstream, start_time_ms)| (upstream, *start_time_ms))
            })
            .collect()
    }

    /// Whether the members of `group` are in several fabric domains.
    pub fn is_cross_domain(&self, group: &GroupRecord) -> bool {
        let mut domains =
            self.present_members(group).into_iter().flatten().map(|record| &record.domain);
        let first = domains.next();
        domains.any(|domain| Some(domain) != first)
    }

    /// The replica that `group` provides; `None` unless the head is open and accepts new work and
    /// every member with a record is [`GroupState::Ready`] or [`GroupState::Open`]. The head opens
    /// only after all members were ready, so a member whose record has expired since may still be
    /// one: it may only be partitioned from the store. If it is lost, the head becomes silent.
    pub fn replica(&self, group: &GroupRecord) -> Option<Replica> {
        if group.is_closing {
            return None;
        }
        let members = self.present_members(group);
        let is_complete = group.members.iter().zip(&members).all(|((upstream, _), member)| {
            let state = member.and_then(|record| record.state_in(&group.group, group.generation));
            let is_unregistered = !self.upstreams.contains_key(upstream);
            is_unregistered || matches!(state, Some(GroupState::Ready | GroupState::Open))
        });
        let head = members.first().copied().flatten()?;
        let is_open = head.state_in(&group.group, group.generation) == Some(GroupState::Open);
        let replica = Replica {
            group: group.group.clone(),
            model: group.model.clone(),
            head: head.clone(),
            is_cross_domain: self.is_cross_domain(group),
        };
        (is_complete && is_open && self.may_place(head)).then_some(replica)
    }

    /// Replicas of `model` at `service` that accept requests.
    pub fn replicas(&self, service: &str, model: &str) -> Vec<Replica> {
        self.groups
            .values()
            .filter(|group| &*group.service == service && &*group.model == model)
            .filter_map(|group| self.replica(group))
            .collect()
    }

    /// Counts the groups and spare upstreams for `model` at `service`.
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
        let is_ungrouped = |record: &&Arc<UpstreamRecord>| {
            &*record.service == service
                && !grouped.contains(&(&record.upstream, record.start_time_ms))
        };
        for record in self.upstreams.values().filter(is_ungrouped) {
            let is_staged = record.staged.iter().any(|staged| &**staged == model);
            summary.spares += usize::from(is_staged);
            summary.empty += usize::from(record.staged.is_empty());
        }
        summary
    }

    /// Upstreams of a plain service, that is, one without engines, that accept requests.
    pub fn plain_upstreams(&self, service: &str) -> Vec<Arc<UpstreamRecord>> {
        self.upstreams
            .values()
            .filter(|record| &*record.service == service && self.may_place(record))
            .cloned()
            .collect()
    }
}
