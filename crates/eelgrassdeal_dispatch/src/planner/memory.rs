//! What a planner remembers between two plans.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{GroupId, ModelId, ServiceId, UpstreamId};

use crate::fleet::{FleetView, GroupRecord};

use super::{GroupWrite, OrderKind, OrderOutcome, UpstreamOrder, WriteOutcome};

/// An order whose effect does not show is given again after this time. Longer than the delay with
/// which reports are seen.
const REPEAT_TIME: Duration = Duration::from_millis(900);
/// An order without an outcome counts as lost after this time.
const OUTCOME_TIME: Duration = Duration::from_secs(4);
/// An upstream that did not answer is not used for this long. By then its record is gone, if it is
/// lost.
const LOST_TIME: Duration = Duration::from_secs(5);
/// What this planner wrote shows in the table within this time.
const OWN_WRITE_TIME: Duration = Duration::from_secs(3);
/// The same for a write without an answer, if it was carried out at all. Later ones fail, since the
/// term's row has another version by then.
const UNKNOWN_WRITE_TIME: Duration = Duration::from_millis(1_500);
/// Reports of the same silence are not further apart than this.
const SILENCE_BREAK: Duration = Duration::from_millis(2_000);
/// A spare that does not report the model of the group of its own by then is ordered again.
const REWARM_TIME: Duration = Duration::from_secs(20);
/// Nothing is remembered for longer.
const MEMORY_TIME: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum OrderTag {
    Join,
    Open,
    Close,
    Leave,
    Stage,
    /// The write that marks the group as closing.
    CloseMark,
    /// The removal of the group.
    RemoveMark,
    /// The probes of the group's members.
    Probe,
}

impl OrderTag {
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
struct SentOrder {
    sent_at: Instant,
    outcome: Option<OrderOutcome>,
}

/// A load from the weight store that was ordered.
#[derive(Clone, Debug)]
pub(super) struct LoadEntry {
    pub(super) model: ModelId,
    pub(super) ends_at: Instant,
}

type OrderKey = (UpstreamId, Option<GroupId>, OrderTag);

/// A group as this planner wrote it.
#[derive(Clone, Debug)]
struct OwnWrite {
    record: Option<Arc<GroupRecord>>,
    written_at: Instant,
}

#[derive(Debug, Default)]
pub(super) struct PlannerMemory {
    orders: HashMap<OrderKey, SentOrder>,
    first_seen: HashMap<GroupId, Instant>,
    /// Since when a group is known to be closing.
    pub(super) closing_since: HashMap<GroupId, Instant>,
    /// Since when no node reaches the head of a group.
    pub(super) unreachable: HashMap<GroupId, Instant>,
    /// Since when no node that answers reaches the head of a group.
    pub(super) partly_unreachable: HashMap<GroupId, Instant>,
    /// Heads that are known to have left their group or ended.
    pub(super) released: HashSet<GroupId>,
    /// Groups whose head was told to open.
    pub(super) opened: HashSet<GroupId>,
    /// Groups that are being written: their members must not be used twice.
    pub(super) pending_groups: HashSet<GroupId>,
    /// What this planner wrote and the table may not show yet; `None` for a removed group.
    own_writes: HashMap<GroupId, OwnWrite>,
    /// Writes without an answer.
    unknown_writes: HashMap<GroupId, Instant>,
    pub(super) loads: HashMap<UpstreamId, LoadEntry>,
    pub(super) load_starts: VecDeque<Instant>,
    /// When the streams of a head were first and last reported silent.
    silences: HashMap<UpstreamId, (Instant, Instant)>,
    /// Spares that were ordered to join a group of their own, and when.
    warmed: HashMap<UpstreamId, Instant>,
    /// Upstreams that did not answer, and until when that counts.
    lost: HashMap<UpstreamId, Instant>,
    /// Requests for each slot of the groups that serve a model.
    pub(super) pressure: HashMap<ModelId, f64>,
    /// Number of upstreams of each service, and since when it has not changed.
    pub(super) fleet_sizes: HashMap<ServiceId, (usize, Instant)>,
}

impl PlannerMemory {
    /// Whether the order is due; if so, it counts as sent.
    pub(super) fn try_send(&mut self, order: &UpstreamOrder, now: Instant) -> bool {
        let key = order_key(order);
        let is_due = self.orders.get(&key).is_none_or(|sent| {
            let age = now.saturating_duration_since(sent.sent_at);
            match sent.outcome {
                Some(_) => age > REPEAT_TIME,
                None => age > OUTCOME_TIME,
            }
        });
        if is_due {
            self.orders.insert(key, SentOrder { sent_at: now, outcome: None });
        }
        is_due
    }

    /// Whether the mark of a group as closing is due; if so, it counts as sent.
    pub(super) fn try_close_mark(&mut self, group: &GroupId, now: Instant) -> bool {
        self.try_mark(group, OrderTag::CloseMark, now)
    }

    /// Whether the removal of a group is due; if so, it counts as sent.
    pub(super) fn try_remove_mark(&mut self, group: &GroupId, now: Instant) -> bool {
        self.try_mark(group, OrderTag::RemoveMark, now)
    }

    /// Whether the members of a group are to be probed; if so, it counts as done.
    pub(super) fn try_probe(&mut self, group: &GroupId, now: Instant) -> bool {
        self.try_mark(group, OrderTag::Probe, now)
    }

    /// Whether a spare is to join a group of its own; if so, it counts as ordered.
    pub(super) fn try_warm(&mut self, upstream: &UpstreamId, now: Instant) -> bool {
        let is_due = self
            .warmed
            .get(upstream)
            .is_none_or(|at| now.saturating_duration_since(*at) > REWARM_TIME);
        if is_due {
            self.warmed.insert(upstream.clone(), now);
        }
        is_due
    }

    /// Notes that an upstream does not answer.
    pub(super) fn note_lost(&mut self, upstream: &UpstreamId, now: Instant) {
        self.lost.insert(upstream.clone(), now + LOST_TIME);
    }

    /// Notes that an upstream answers.
    pub(super) fn clear_lost(&mut self, upstream: &UpstreamId) {
        self.lost.remove(upstream);
    }

    /// Whether an upstream did not answer lately.
    pub(super) fn is_lost(&self, upstream: &UpstreamId, now: Instant) -> bool {
        self.lost.get(upstream).is_some_and(|until| now < *until)
    }

    fn try_mark(&mut self, group: &GroupId, tag: OrderTag, now: Instant) -> bool {
        let key = (group.clone(), Some(group.clone()), tag);
        let is_due = self
            .orders
            .get(&key)
            .is_none_or(|sent| now.saturating_duration_since(sent.sent_at) > REPEAT_TIME);
        if is_due {
            self.orders.insert(key, SentOrder { sent_at: now, outcome: None });
        }
        is_due
    }

    /// The fleet with the groups as this planner wrote them last.
    pub(super) fn with_own_writes<'a>(
        &mut self,
        view: &'a FleetView,
        now: Instant,
    ) -> Cow<'a, FleetView> {
        // The table may show an earlier write of the same group for a while.
        self.own_writes
            .retain(|_, write| now.saturating_duration_since(write.written_at) < OWN_WRITE_TIME);
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

    /// Notes how a write of groups ended.
    pub(super) fn note_write(
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
                WriteOutcome::Done => {
                    if record.is_none() {
                        self.forget_group(group);
                    }
                    self.own_writes.insert(group.clone(), OwnWrite { record, written_at: now });
                    self.pending_groups.remove(group);
                }
                WriteOutcome::Failed => {
                    self.pending_groups.remove(group);
                }
                // Whether the group is stored, the table shows within this time.
                WriteOutcome::Unknown => {
                    self.unknown_writes.insert(group.clone(), now);
                }
            }
        }
    }

    /// Ends the wait for writes without an answer.
    fn forget_unknown_writes(&mut self, now: Instant) {
        let pending = &mut self.pending_groups;
        self.unknown_writes.retain(|group, at| {
            let is_open = now.saturating_duration_since(*at) < UNKNOWN_WRITE_TIME;
            if !is_open {
                pending.remove(group);
            }
            is_open
        });
    }

    /// Whether an order that was given was accepted.
    pub(super) fn is_accepted(&self, order: &UpstreamOrder) -> bool {
        let sent = self.orders.get(&order_key(order));
        sent.and_then(|sent| sent.outcome) == Some(OrderOutcome::Accepted)
    }

    /// Whether an order that was given has an outcome.
    pub(super) fn has_outcome(&self, order: &UpstreamOrder) -> bool {
        self.orders.get(&order_key(order)).is_some_and(|sent| sent.outcome.is_some())
    }

    pub(super) fn note_outcome(
        &mut self,
        order: &UpstreamOrder,
        outcome: OrderOutcome,
        now: Instant,
    ) {
        if let Some(sent) = self.orders.get_mut(&order_key(order)) {
            sent.outcome = Some(outcome);
        }
        match outcome {
            OrderOutcome::Gone | OrderOutcome::Unreachable | OrderOutcome::PartlyUnreachable => {
                self.note_lost(&order.upstream, now);
            }
            OrderOutcome::Unknown => {}
            _ => self.clear_lost(&order.upstream),
        }
        let Some((group, _)) = &order.group else { return };
        match (&order.kind, outcome) {
            (OrderKind::Close { .. } | OrderKind::Leave, OrderOutcome::Gone)
            | (OrderKind::Leave, OrderOutcome::Accepted) => {
                self.released.insert(group.clone());
            }
            // A head that serves refuses to leave; one that is no member refuses both orders.
            (OrderKind::Leave, OrderOutcome::Conflict) if self.is_close_refused(order) => {
                self.released.insert(group.clone());
            }
            // An order without an answer shows nothing: the head may serve on.
            (OrderKind::Close { .. } | OrderKind::Leave, OrderOutcome::Unreachable) => {
                let since = self.still_since(&order.upstream, now);
                self.unreachable.entry(group.clone()).or_insert(since);
                self.partly_unreachable.entry(group.clone()).or_insert(since);
            }
            (OrderKind::Close { .. } | OrderKind::Leave, OrderOutcome::PartlyUnreachable) => {
                let since = self.still_since(&order.upstream, now);
                self.unreachable.remove(group);
                self.partly_unreachable.entry(group.clone()).or_insert(since);
            }
            (OrderKind::Close { .. } | OrderKind::Leave, _) => {
                self.unreachable.remove(group);
                self.partly_unreachable.remove(group);
            }
            _ => {}
        }
    }

    /// Notes heads that send nothing to running requests.
    pub(super) fn note_silent(&mut self, heads: &[UpstreamId], now: Instant) {
        for head in heads {
            let silence = self.silences.entry(head.clone()).or_insert((now, now));
            if now.saturating_duration_since(silence.1) > SILENCE_BREAK {
                silence.0 = now;
            }
            silence.1 = now;
        }
    }

    /// Since when a head that cannot be reached has stood still: since its streams fell silent, if
    /// they did just before.
    fn still_since(&self, head: &UpstreamId, now: Instant) -> Instant {
        let silence = self.silences.get(head);
        let is_recent = |last: Instant| now.saturating_duration_since(last) < SILENCE_BREAK;
        silence.filter(|(_, last)| is_recent(*last)).map_or(now, |(first, _)| *first)
    }

    /// Whether the last order to close the group of `order` did not fit the state of its head.
    fn is_close_refused(&self, order: &UpstreamOrder) -> bool {
        let group = order.group.as_ref().map(|(group, _)| group.clone());
        let key = (order.upstream.clone(), group, OrderTag::Close);
        self.orders.get(&key).and_then(|sent| sent.outcome) == Some(OrderOutcome::Conflict)
    }

    /// Time since the planner first saw a group.
    pub(super) fn age(&mut self, group: &GroupId, now: Instant) -> Duration {
        now.saturating_duration_since(*self.first_seen.entry(group.clone()).or_insert(now))
    }

    /// Time since the planner first saw that a group is closing.
    pub(super) fn closing_age(&self, group: &GroupId, now: Instant) -> Duration {
        let since = self.closing_since.get(group).copied().unwrap_or(now);
        now.saturating_duration_since(since)
    }

    pub(super) fn loads_under_way(&self, now: Instant) -> usize {
        self.loads.values().filter(|load| now < load.ends_at).count()
    }

    /// The model that is being loaded at an upstream.
    pub(super) fn loading(&self, upstream: &UpstreamId, now: Instant) -> Option<&ModelId> {
        self.loads.get(upstream).filter(|load| now < load.ends_at).map(|load| &load.model)
    }

    pub(super) fn forget_old(&mut self, now: Instant) {
        self.forget_unknown_writes(now);
        self.orders.retain(|_, sent| now.saturating_duration_since(sent.sent_at) < MEMORY_TIME);
        self.loads.retain(|_, load| now < load.ends_at + MEMORY_TIME);
        self.lost.retain(|_, until| now < *until);
        self.silences.retain(|_, (_, last)| now.saturating_duration_since(*last) < MEMORY_TIME);
        self.warmed.retain(|_, at| now.saturating_duration_since(*at) < MEMORY_TIME);
    }

    fn forget_group(&mut self, group: &GroupId) {
        self.first_seen.remove(group);
        self.closing_since.remove(group);
        self.unreachable.remove(group);
        self.partly_unreachable.remove(group);
        self.released.remove(group);
        self.opened.remove(group);
    }
}

fn order_key(order: &UpstreamOrder) -> OrderKey {
    let group = order.group.as_ref().map(|(group, _)| group.clone());
    (order.upstream.clone(), group, OrderTag::of(&order.kind))
}
