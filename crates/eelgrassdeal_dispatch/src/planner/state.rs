//! State that the planner keeps between two plans.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{GroupId, ModelId, ServiceId, UpstreamId};

use crate::fleet::{FleetView, GroupRecord, UpstreamRecord};

use super::{GroupWrite, OrderKind, OrderOutcome, UpstreamOrder, WriteOutcome};

/// Time after which a write, a probe or an order that has an outcome is sent again if the fleet
/// view still calls for it. Longer than the delay until the view contains a new report of an
/// upstream.
const RESEND_INTERVAL: Duration = Duration::from_millis(900);
/// An accepted order that the fleet view doesn't show is sent again after [`RESEND_INTERVAL`], then after
/// twice that time, and so on, doubled this often. The node that sends more than it can goes on missing
/// the reports of the upstreams that have carried their orders out.
const MAX_RESEND_DOUBLINGS: u32 = 3;
/// An order without an outcome is considered lost after this time and sent again.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which an upstream is treated as lost after a failed probe or an order with the outcome
/// `Gone`, `Unreachable` or `PartlyUnreachable`. If it has terminated, its record has expired by
/// then.
const LOST_DURATION: Duration = Duration::from_secs(5);
/// The planner's own writes are assumed to appear in the fleet view within this time if the store did
/// not tell their version.
const OWN_WRITE_RETENTION: Duration = Duration::from_secs(3);
/// The fleet view shows a write without a response within this time if the write was executed. Nor
/// can the write be executed later: each write requires that the row that the store keeps for the
/// planner's term is unchanged, and after a missing response the caller rewrites that row before it
/// plans again.
const UNKNOWN_WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum time between two consecutive reports of the same silent period of an upstream.
const MAX_SILENCE_REPORT_GAP: Duration = Duration::from_millis(2_000);
/// A spare that has not reported its model as loaded this long after it was ordered to warm up is
/// ordered again.
const WARM_UP_RETRY_INTERVAL: Duration = Duration::from_secs(20);
/// A group member without a record is assumed to run for this long after its last answer to a probe.
/// Probes are repeated after [`RESEND_INTERVAL`].
const MAX_ANSWER_AGE: Duration = Duration::from_millis(1_500);
/// Time after which a group is torn down although its member without a record still answers. A member
/// that leaves without announcing it serves for some seconds after its record was removed.
const MAX_UNREGISTERED: Duration = Duration::from_secs(8);
/// Time after which entries about orders and other actions, silent periods and warm-ups are
/// dropped. Expired loads are normally removed by `remove_finished_loads`; if it is not called,
/// they are dropped this long after their expiry.
const ENTRY_RETENTION: Duration = Duration::from_secs(120);
/// An upstream that has accepted an order to leave its group may still be shown in it for this long.
const LEAVE_REPORT_DELAY: Duration = Duration::from_secs(3);

/// An action of the planner that is not repeated before a certain time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ActionKind {
    Join,
    Open,
    Close,
    Leave,
    Stage,
    /// The write that marks a group as being torn down.
    MarkClosing,
    /// The write that deletes a group.
    RemoveGroup,
    /// Probing the members of a group.
    Probe,
}

impl ActionKind {
    fn of(kind: &OrderKind) -> Self {
        match kind {
            OrderKind::Join { .. } => Self::Join,
            OrderKind::Open => Self::Open,
            OrderKind::Close { .. } => Self::Close,
            OrderKind::Leave => Self::Leave,
            OrderKind::Stage { .. } => Self::Stage,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct SentAction {
    sent_at: Instant,
    /// `None` until the order has an outcome, and always for actions that are not orders.
    outcome: Option<OrderOutcome>,
    /// How often in a row the order was accepted before it was last sent.
    acceptances: u32,
}

impl SentAction {
    fn new(sent_at: Instant) -> Self {
        Self { sent_at, outcome: None, acceptances: 0 }
    }

    /// Time after which the order is sent again.
    fn resend_interval(&self) -> Duration {
        match self.outcome {
            None => OUTCOME_TIMEOUT,
            Some(OrderOutcome::Accepted) => {
                RESEND_INTERVAL * (1 << self.acceptances.min(MAX_RESEND_DOUBLINGS))
            }
            Some(_) => RESEND_INTERVAL,
        }
    }

    /// The same order, sent again at `now`.
    fn resent(self, now: Instant) -> Self {
        let acceptances = match self.outcome {
            Some(OrderOutcome::Accepted) => self.acceptances.saturating_add(1),
            _ => 0,
        };
        Self { acceptances, ..Self::new(now) }
    }
}

/// A load of model weights from the weight store that was ordered.
#[derive(Clone, Debug)]
pub(super) struct ModelLoad {
    pub(super) model: ModelId,
    /// When the load is considered finished, even if its upstream has not reported the model.
    pub(super) expires_at: Instant,
}

/// Identifies an action: the upstream and the group that it applies to, and its kind. Orders that
/// differ only in their parameters, such as the model to stage, have the same key. Actions that are
/// not orders have the group id in place of the upstream id.
type ActionKey = (UpstreamId, Option<GroupId>, ActionKind);

/// The last write that this planner made to a group's record.
#[derive(Clone, Debug)]
struct OwnWrite {
    /// `None` if the write deleted the group.
    record: Option<Arc<GroupRecord>>,
    written_at: Instant,
    /// Version of the groups table from which on it contains the write, if known.
    version: Option<u64>,
}

/// A group member that may outlive its record.
#[derive(Clone, Debug)]
struct KnownMember {
    address: Arc<str>,
    /// Since when it has no record; `None` while it has one.
    missing_since: Option<Instant>,
    /// When it last answered a probe.
    answered_at: Option<Instant>,
}

/// Observations and pending actions that the planner keeps between two plans.
#[derive(Debug, Default)]
pub(super) struct PlannerState {
    sent_actions: HashMap<ActionKey, SentAction>,
    /// When this planner first saw a group.
    first_seen: HashMap<GroupId, Instant>,
    /// When this planner started to tear a group down.
    pub(super) teardown_since: HashMap<GroupId, Instant>,
    /// Groups whose last order to close or leave had the outcome `Unreachable`.
    pub(super) unreachable_heads: HashSet<GroupId>,
    /// Groups whose last order to close or leave had the outcome `Unreachable` or
    /// `PartlyUnreachable`. The value is the time since which the head is assumed to have made no progress
    /// ([`Self::stalled_since`]); it may be earlier than the first failed connection.
    pub(super) partly_unreachable_stall_starts: HashMap<GroupId, Instant>,
    /// Heads of the groups that this planner tears down.
    teardown_heads: HashMap<GroupId, UpstreamId>,
    /// Groups whose head is known to have left or terminated.
    pub(super) released_groups: HashSet<GroupId>,
    /// Groups whose record this planner deletes or has deleted because the head has left or
    /// terminated. Their members are free, although they report the group until they join another.
    ended_groups: HashMap<GroupId, Instant>,
    /// When a member accepted an order to leave its group.
    left_members: HashMap<(UpstreamId, GroupId), Instant>,
    /// Groups whose head was ordered to open, which completes their formation.
    pub(super) formed_groups: HashSet<GroupId>,
    /// Groups whose creation has not yet been confirmed. Their members must not join another group.
    pub(super) pending_groups: HashSet<GroupId>,
    /// Writes of this planner that the fleet view may not show yet.
    own_writes: HashMap<GroupId, OwnWrite>,
    /// When the store failed to answer the last write of a group.
    unknown_writes: HashMap<GroupId, Instant>,
    /// The last load of each upstream.
    pub(super) loads: HashMap<UpstreamId, ModelLoad>,
    /// When recent loads started, oldest first.
    pub(super) load_starts: VecDeque<Instant>,
    /// First and last report of the latest silent period of each upstream.
    silent_periods: HashMap<UpstreamId, (Instant, Instant)>,
    /// When each spare was last ordered to warm up.
    warm_ups: HashMap<UpstreamId, Instant>,
    /// Members of groups that this planner has seen.
    members: HashMap<UpstreamId, KnownMember>,
    /// Until when an upstream is treated as lost, see [`LOST_DURATION`].
    lost_until: HashMap<UpstreamId, Instant>,
    /// Requests in progress divided by the slots of all serving groups of a model.
    pub(super) requests_per_slot: HashMap<ModelId, f64>,
    /// Number of upstreams of each service, and since when it has been unchanged.
    pub(super) fleet_sizes: HashMap<ServiceId, (usize, Instant)>,
}

impl PlannerState {
    /// Records an order as sent if it is due, that is, if no order with the same key was sent
    /// recently. Returns whether it is due; the caller then sends it.
    pub(super) fn record_order_if_due(&mut self, order: &UpstreamOrder, now: Instant) -> bool {
        let key = action_key(order);
        let sent = self.sent_actions.get(&key).copied();
        let is_due = sent.is_none_or(|sent| {
            now.saturating_duration_since(sent.sent_at) > sent.resend_interval()
        });
        if is_due {
            let sent = sent.map_or_else(|| SentAction::new(now), |sent| sent.resent(now));
            self.sent_actions.insert(key, sent);
        }
        is_due
    }

    /// Records the write that marks a group as being torn down as sent if it is due. Returns
    /// whether it is due.
    pub(super) fn record_closing_mark_if_due(&mut self, group: &GroupId, now: Instant) -> bool {
        self.record_action_if_due(group, ActionKind::MarkClosing, now)
    }

    /// Records the write that deletes a group as sent if it is due. Returns whether it is due.
    pub(super) fn record_removal_if_due(&mut self, group: &GroupId, now: Instant) -> bool {
        self.record_action_if_due(group, ActionKind::RemoveGroup, now)
    }

    /// Records a probe of a group's members as sent if it is due. Returns whether it is due.
    pub(super) fn record_probe_if_due(&mut self, group: &GroupId, now: Instant) -> bool {
        self.record_action_if_due(group, ActionKind::Probe, now)
    }

    /// Records the order that warms a spare up as sent if it is due. Returns whether it is due.
    pub(super) fn record_warm_up_if_due(&mut self, upstream: &UpstreamId, now: Instant) -> bool {
        let is_due = self
            .warm_ups
            .get(upstream)
            .is_none_or(|at| now.saturating_duration_since(*at) > WARM_UP_RETRY_INTERVAL);
        if is_due {
            self.warm_ups.insert(upstream.clone(), now);
        }
        is_due
    }

    /// Treats an upstream as lost for [`LOST_DURATION`].
    pub(super) fn mark_lost(&mut self, upstream: &UpstreamId, now: Instant) {
        self.lost_until.insert(upstream.clone(), now + LOST_DURATION);
    }

    /// Records that an upstream answered, so that it is not treated as lost.
    pub(super) fn mark_alive(&mut self, upstream: &UpstreamId, now: Instant) {
        self.lost_until.remove(upstream);
        if let Some(member) = self.members.get_mut(upstream) {
            member.answered_at = Some(now);
        }
    }

    /// Remembers the address of a group member for the time after its record expires.
    pub(super) fn remember_member(&mut self, record: &UpstreamRecord) {
        let known = self.members.get(&record.upstream);
        if known
            .is_none_or(|known| known.missing_since.is_some() || known.address != record.address)
        {
            let address = record.address.clone();
            let member = KnownMember { address, missing_since: None, answered_at: None };
            self.members.insert(record.upstream.clone(), member);
        }
    }

    /// Returns the address of a group member without a record if the member is assumed to run: its
    /// record has just expired, or it has answered since, and neither is long ago.
    pub(super) fn check_unregistered(
        &mut self,
        upstream: &UpstreamId,
        now: Instant,
    ) -> Option<Arc<str>> {
        let is_lost = self.is_lost(upstream, now);
        let member = self.members.get_mut(upstream)?;
        let since = *member.missing_since.get_or_insert(now);
        let last_sign = member.answered_at.unwrap_or(since).max(since);
        let is_kept = !is_lost
            && now.saturating_duration_since(last_sign) < MAX_ANSWER_AGE
            && now.saturating_duration_since(since) < MAX_UNREGISTERED;
        is_kept.then(|| member.address.clone())
    }

    /// Records that this planner tears `group` down. Returns since when it does.
    pub(super) fn begin_teardown(&mut self, group: &GroupRecord, now: Instant) -> Instant {
        if let Some((head, _)) = group.members.first() {
            self.teardown_heads.entry(group.group.clone()).or_insert_with(|| head.clone());
        }
        *self.teardown_since.entry(group.group.clone()).or_insert(now)
    }

    /// Records that the head of a group has left or terminated, so that its members are free.
    pub(super) fn record_end(&mut self, group: &GroupId, now: Instant) {
        self.ended_groups.insert(group.clone(), now);
    }

    /// Whether this planner knows that the head of a group has left or terminated.
    pub(super) fn has_ended(&self, group: &GroupId) -> bool {
        self.ended_groups.contains_key(group)
    }

    /// Whether a member has left its group by an order that its last report may not show yet.
    pub(super) fn has_left(&self, upstream: &UpstreamId, group: &GroupId, now: Instant) -> bool {
        let left_at = self.left_members.get(&(upstream.clone(), group.clone()));
        left_at.is_some_and(|at| now.saturating_duration_since(*at) < LEAVE_REPORT_DELAY)
    }

    /// Whether an order with the same key was sent within `interval`.
    pub(super) fn was_sent_within(
        &self,
        order: &UpstreamOrder,
        interval: Duration,
        now: Instant,
    ) -> bool {
        let sent = self.sent_actions.get(&action_key(order));
        sent.is_some_and(|sent| now.saturating_duration_since(sent.sent_at) < interval)
    }

    /// Whether an upstream is treated as lost, see [`LOST_DURATION`].
    pub(super) fn is_lost(&self, upstream: &UpstreamId, now: Instant) -> bool {
        self.lost_until.get(upstream).is_some_and(|until| now < *until)
    }

    /// Records an action on a group as sent if it is due. Returns whether it is due.
    fn record_action_if_due(&mut self, group: &GroupId, kind: ActionKind, now: Instant) -> bool {
        let key = (group.clone(), Some(group.clone()), kind);
        let is_due = self
            .sent_actions
            .get(&key)
            .is_none_or(|sent| now.saturating_duration_since(sent.sent_at) > RESEND_INTERVAL);
        if is_due {
            self.sent_actions.insert(key, SentAction::new(now));
        }
        is_due
    }

    /// Returns `view` with this planner's recent writes applied to its groups.
    pub(super) fn overlay_own_writes<'a>(
        &mut self,
        view: &'a FleetView,
        now: Instant,
    ) -> Cow<'a, FleetView> {
        // A group whose creation is not in `view` yet would otherwise look as if its members were
        // free, however long the node takes to read the table.
        self.own_writes.retain(|_, write| match write.version {
            Some(version) => view.groups_version < version,
            None => now.saturating_duration_since(write.written_at) < OWN_WRITE_RETENTION,
        });
        if self.own_writes.is_empty() {
            return Cow::Borrowed(view);
        }
        let mut view = view.clone();
        for (group, write) in &self.own_writes {
            match &write.record {
                Some(record) => view.groups.insert(group.clone(), record.clone()),
                None => view.groups.remove(group),
            };
        }
        Cow::Owned(view)
    }

    /// Records the outcome of a write of group records.
    pub(super) fn record_write_outcome(
        &mut self,
        writes: &[GroupWrite],
        outcome: WriteOutcome,
        now: Instant,
    ) {
        for write in writes {
            let group = write.group();
            let record = match write {
                GroupWrite::Create(record) | GroupWrite::MarkClosing(record) => {
                    Some(Arc::new(record.clone()))
                }
                GroupWrite::Remove(_) => None,
            };
            match outcome {
                WriteOutcome::Done { version } => {
                    if record.is_none() {
                        self.clear_group(group);
                    }
                    self.own_writes
                        .insert(group.clone(), OwnWrite { record, written_at: now, version });
                    self.pending_groups.remove(group);
                }
                WriteOutcome::Failed => {
                    self.pending_groups.remove(group);
                }
                // The fleet view shows within `UNKNOWN_WRITE_TIMEOUT` whether the write succeeded.
                WriteOutcome::Unknown => {
                    self.unknown_writes.insert(group.clone(), now);
                }
            }
        }
    }

    /// Stops waiting for writes whose response was lost.
    fn expire_unknown_writes(&mut self, now: Instant) {
        let pending = &mut self.pending_groups;
        self.unknown_writes.retain(|group, at| {
            let is_pending = now.saturating_duration_since(*at) < UNKNOWN_WRITE_TIMEOUT;
            if !is_pending {
                pending.remove(group);
            }
            is_pending
        });
    }

    /// Whether the last order with the same key was accepted.
    pub(super) fn is_accepted(&self, order: &UpstreamOrder) -> bool {
        let sent = self.sent_actions.get(&action_key(order));
        sent.and_then(|sent| sent.outcome) == Some(OrderOutcome::Accepted)
    }

    /// Whether the last order with the same key has an outcome.
    pub(super) fn has_outcome(&self, order: &UpstreamOrder) -> bool {
        self.sent_actions.get(&action_key(order)).is_some_and(|sent| sent.outcome.is_some())
    }

    /// Records the outcome of an order, and what it shows about the upstream and its group.
    pub(super) fn record_order_outcome(
        &mut self,
        order: &UpstreamOrder,
        outcome: OrderOutcome,
        now: Instant,
    ) {
        if let Some(sent) = self.sent_actions.get_mut(&action_key(order)) {
            sent.outcome = Some(outcome);
        }
        match outcome {
            OrderOutcome::Gone | OrderOutcome::Unreachable | OrderOutcome::PartlyUnreachable => {
                self.mark_lost(&order.upstream, now);
            }
            OrderOutcome::Unknown => {}
            _ => self.mark_alive(&order.upstream, now),
        }
        let Some((group, _)) = &order.group else { return };
        if (&order.kind, outcome) == (&OrderKind::Leave, OrderOutcome::Accepted) {
            self.left_members.insert((order.upstream.clone(), group.clone()), now);
        }
        if self.teardown_heads.get(group) == Some(&order.upstream) {
            self.record_head_outcome(order, group, outcome, now);
        }
    }

    /// Records what the outcome of an order to close or leave shows about the head of a group that
    /// is being torn down.
    fn record_head_outcome(
        &mut self,
        order: &UpstreamOrder,
        group: &GroupId,
        outcome: OrderOutcome,
        now: Instant,
    ) {
        match (&order.kind, outcome) {
            (OrderKind::Close { .. } | OrderKind::Leave, OrderOutcome::Gone)
            | (OrderKind::Leave, OrderOutcome::Accepted) => {
                self.released_groups.insert(group.clone());
            }
            // A serving head refuses to leave but not to close. This one refused both, so it is no
            // longer a member of the group, and the group is released.
            (OrderKind::Leave, OrderOutcome::Conflict) if self.is_close_refused(order) => {
                self.released_groups.insert(group.clone());
            }
            // Only failed connections count towards dissolving a group. After an order
            // without an answer, it may still be serving, so the last of these arms clears both
            // times.
            (OrderKind::Close { .. } | OrderKind::Leave, OrderOutcome::Unreachable) => {
                let since = self.stalled_since(&order.upstream, now);
                self.unreachable_heads.insert(group.clone());
                self.partly_unreachable_stall_starts.entry(group.clone()).or_insert(since);
            }
            (OrderKind::Close { .. } | OrderKind::Leave, OrderOutcome::PartlyUnreachable) => {
                let since = self.stalled_since(&order.upstream, now);
                self.unreachable_heads.remove(group);
                self.partly_unreachable_stall_starts.entry(group.clone()).or_insert(since);
            }
            (OrderKind::Close { .. } | OrderKind::Leave, _) => {
                self.unreachable_heads.remove(group);
                self.partly_unreachable_stall_starts.remove(group);
            }
            _ => {}
        }
    }

    /// Records a report that `upstreams` send no data for their requests in progress.
    pub(super) fn record_silence(&mut self, upstreams: &[UpstreamId], now: Instant) {
        for upstream in upstreams {
            let period = self.silent_periods.entry(upstream.clone()).or_insert((now, now));
            if now.saturating_duration_since(period.1) > MAX_SILENCE_REPORT_GAP {
                period.0 = now;
            }
            period.1 = now;
        }
    }

    /// Since when an unreachable head has made no progress: since it became silent if it was
    /// reported silent just before, otherwise since `now`.
    fn stalled_since(&self, head: &UpstreamId, now: Instant) -> Instant {
        let period = self.silent_periods.get(head);
        let is_recent =
            |last: Instant| now.saturating_duration_since(last) < MAX_SILENCE_REPORT_GAP;
        period.filter(|(_, last)| is_recent(*last)).map_or(now, |(first, _)| *first)
    }

    /// Whether the head refused the last order to close the group of `order`.
    fn is_close_refused(&self, order: &UpstreamOrder) -> bool {
        let group = order.group.as_ref().map(|(group, _)| group.clone());
        let key = (order.upstream.clone(), group, ActionKind::Close);
        self.sent_actions.get(&key).and_then(|sent| sent.outcome) == Some(OrderOutcome::Conflict)
    }

    /// Whether a group is being torn down, by this planner or an earlier one.
    pub(super) fn is_torn_down(&self, group: &GroupRecord) -> bool {
        group.is_closing || self.teardown_since.contains_key(&group.group)
    }

    /// Time since this planner first saw a group.
    pub(super) fn group_age(&mut self, group: &GroupId, now: Instant) -> Duration {
        now.saturating_duration_since(*self.first_seen.entry(group.clone()).or_insert(now))
    }

    /// Time since this planner started to tear a group down; 0 if it has not.
    pub(super) fn teardown_age(&self, group: &GroupId, now: Instant) -> Duration {
        let since = self.teardown_since.get(group).copied().unwrap_or(now);
        now.saturating_duration_since(since)
    }

    /// Number of loads that are still considered running.
    pub(super) fn running_loads(&self, now: Instant) -> usize {
        self.loads.values().filter(|load| now < load.expires_at).count()
    }

    /// The model that is being loaded on the host of an upstream.
    pub(super) fn loading(&self, upstream: &UpstreamId, now: Instant) -> Option<&ModelId> {
        self.loads.get(upstream).filter(|load| now < load.expires_at).map(|load| &load.model)
    }

    /// Drops entries that are no longer needed.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.expire_unknown_writes(now);
        self.sent_actions
            .retain(|_, sent| now.saturating_duration_since(sent.sent_at) < ENTRY_RETENTION);
        self.loads.retain(|_, load| now < load.expires_at + ENTRY_RETENTION);
        self.lost_until.retain(|_, until| now < *until);
        self.silent_periods
            .retain(|_, (_, last)| now.saturating_duration_since(*last) < ENTRY_RETENTION);
        self.members.retain(|_, member| {
            member
                .missing_since
                .is_none_or(|since| now.saturating_duration_since(since) < ENTRY_RETENTION)
        });
        self.warm_ups.retain(|_, at| now.saturating_duration_since(*at) < ENTRY_RETENTION);
        self.ended_groups.retain(|_, at| now.saturating_duration_since(*at) < ENTRY_RETENTION);
        self.left_members.retain(|_, at| now.saturating_duration_since(*at) < LEAVE_REPORT_DELAY);
    }

    /// Drops the state of a group that was removed from the store.
    fn clear_group(&mut self, group: &GroupId) {
        self.first_seen.remove(group);
        self.teardown_since.remove(group);
        self.teardown_heads.remove(group);
        self.unreachable_heads.remove(group);
        self.partly_unreachable_stall_starts.remove(group);
        self.released_groups.remove(group);
        self.formed_groups.remove(group);
    }
}

fn action_key(order: &UpstreamOrder) -> ActionKey {
    let group = order.group.as_ref().map(|(group, _)| group.clone());
    (order.upstream.clone(), group, ActionKind::of(&order.kind))
}
