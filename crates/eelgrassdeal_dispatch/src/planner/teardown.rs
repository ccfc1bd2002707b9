//! Tears groups down, starting with the head.

use std::time::{Duration, Instant};

use eelgrassdeal_types::ServiceId;

use crate::fleet::{
    FleetView, GroupMembership, GroupRecord, GroupState, UpstreamRecord, UpstreamState,
};

use super::spare::is_warm_up_group;
use super::state::PlannerState;
use super::{GroupPlanner, GroupWrite, OrderKind, UpstreamOrder};

/// Time after which a group with an unreachable head is dissolved although nodes that did not reply
/// may still reach the head. Most network partitions have healed by then.
const PARTITION_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval of the orders to a head that has been unreachable for longer than these times.
const ABSENT_HEAD_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which the record of a group is deleted if none of its members has a record. Those that
/// come back report the group and are ordered to leave it.
const ABSENT_GROUP_RETENTION: Duration = Duration::from_secs(300);
/// Delay before a group whose requests are aborted is marked as being torn down in the store. A
/// group that is removed within this time needs no mark.
const CLOSING_MARK_DELAY: Duration = Duration::from_millis(200);

impl GroupPlanner {
    /// Orders the head to close and leave, and removes the group once the head has left or
    /// terminated, or once its other members have left it. Called for every plan until the group is
    /// removed. The first call is final: the teardown continues whatever the members report later.
    pub(super) fn tear_down_group(&mut self, view: &FleetView, group: &GroupRecord, now: Instant) {
        let since = self.state.begin_teardown(group, now);
        let Some((head_id, head_start_time_ms)) = group.members.first() else {
            self.remove_group(group, now);
            return;
        };
        let stored_record = view.upstreams.get(head_id);
        let has_restarted =
            stored_record.is_some_and(|record| record.start_time_ms != *head_start_time_ms);
        // The record of a lost head expires only seconds later, so it is ignored.
        let record = stored_record.filter(|_| has_restarted || !self.state.is_lost(head_id, now));
        let state = record.and_then(|record| record.state_in(&group.group, group.generation));
        // Also true of a head that has not joined the group yet.
        let is_outside_group = record.is_some() && state.is_none();
        let is_released = self.state.released_groups.contains(&group.group);
        if has_restarted || is_outside_group || is_released {
            self.state.record_end(&group.group, now);
            self.remove_group(group, now);
            return;
        }
        let is_overdue = stored_record.is_none() && self.is_head_overdue(group, now);
        if is_overdue && self.dissolve_group(view, group, now) {
            self.remove_group(group, now);
            return;
        }
        let is_cut = self.must_abort_requests(view, group, now);
        let is_mark_due = !is_cut || now.saturating_duration_since(since) >= CLOSING_MARK_DELAY;
        // A write whose response was lost is sent again.
        if !group.is_closing
            && is_mark_due
            && self.state.record_closing_mark_if_due(&group.group, now)
        {
            let marked = GroupRecord { is_closing: true, ..group.clone() };
            self.draft.writes.push(GroupWrite::MarkClosing(marked));
        }
        let address = record.map_or(&group.head_address, |record| &record.address);
        let order = |kind| UpstreamOrder {
            upstream: head_id.clone(),
            address: address.clone(),
            group: Some((group.group.clone(), group.generation)),
            kind,
        };
        let (close, leave) = (order(OrderKind::Close { is_cut }), order(OrderKind::Leave));
        match (record, state) {
            (_, Some(GroupState::Ready | GroupState::Joining | GroupState::Broken)) => {
                self.push_order(leave, now);
            }
            // A head that accepts an order to abort its requests is assumed to stop at once, so its
            // report is out of date. If the accepted order was an earlier one to complete the
            // requests, the head refuses to leave until they are completed.
            (Some(_), Some(GroupState::Open)) if is_cut && self.state.is_accepted(&close) => {
                self.push_order(leave, now);
            }
            // The head refuses to leave while it is closing. The order is repeated, so that it
            // leaves soon after its requests have ended.
            (Some(_), Some(GroupState::Closing)) if is_cut => self.push_order(leave, now),
            (Some(_), Some(GroupState::Closing)) => {}
            (Some(_), _) => self.push_order(close, now),
            (None, _)
                if is_overdue
                    && [&close, &leave].into_iter().any(|order| {
                        self.state.was_sent_within(order, ABSENT_HEAD_RETRY_INTERVAL, now)
                    }) => {}
            (None, _) => {
                // The head may still be running in a network partition that separates it from the
                // store, so its state is unknown. It is ordered to close, and once an order to
                // close has an outcome, to leave as well.
                if self.state.has_outcome(&close) {
                    self.push_order(leave, now);
                }
                self.push_order(close, now);
            }
        }
    }

    /// Whether the group of a head without a record is dissolved: no node reaches the head, or for
    /// some time none that replied. It may still serve: in a partition that separates it from all nodes
    /// but not from its members, it is sound. Members are free only once they have left, so that there is
    /// no need to wait for its end.
    fn is_head_overdue(&self, group: &GroupRecord, now: Instant) -> bool {
        let since = self.state.partly_unreachable_stall_starts.get(&group.group);
        let has_elapsed =
            since.is_some_and(|since| now.saturating_duration_since(*since) >= PARTITION_TIMEOUT);
        has_elapsed || self.state.unreachable_heads.contains(&group.group)
    }

    /// Orders the members other than the head to leave the group. A head cannot serve without them,
    /// wherever it is. Returns whether every member that has a record has left, and at least one
    /// did; the members without a record remain bound to the group by their own reports, see
    /// [`Self::release_unstored_members`].
    fn dissolve_group(&mut self, view: &FleetView, group: &GroupRecord, now: Instant) -> bool {
        let (mut left_count, mut is_complete) = (0, true);
        for (upstream, start_time_ms) in group.members.iter().skip(1) {
            let Some(record) = view.upstreams.get(upstream) else { continue };
            let is_member = record.start_time_ms == *start_time_ms
                && record.state_in(&group.group, group.generation).is_some()
                && !self.state.has_left(upstream, &group.group, now);
            if !is_member {
                left_count += 1;
                continue;
            }
            is_complete = false;
            let order = UpstreamOrder {
                upstream: upstream.clone(),
                address: record.address.clone(),
                group: Some((group.group.clone(), group.generation)),
                kind: OrderKind::Leave,
            };
            self.push_order(order, now);
        }
        let is_absent = self.state.teardown_age(&group.group, now) >= ABSENT_GROUP_RETENTION;
        is_complete && (left_count > 0 || is_absent)
    }

    /// Orders the upstreams of a service that report a group without a record to leave it; they are
    /// not free until they have. The head of such a group may be open, since a record is also
    /// deleted while a part of the group is unreachable, and may be open for the other members.
    pub(super) fn release_unstored_members(
        &mut self,
        view: &FleetView,
        service: &ServiceId,
        now: Instant,
    ) {
        for record in view.upstreams.values() {
            if record.service != *service || record.state != UpstreamState::Ready {
                continue;
            }
            let Some(membership) = self.state.unstored_membership(view, record, now) else {
                continue;
            };
            let kind = match membership.state {
                GroupState::Open => OrderKind::Close { is_cut: false },
                // It leaves once it has completed its requests.
                GroupState::Closing => continue,
                GroupState::Joining | GroupState::Ready | GroupState::Broken => OrderKind::Leave,
            };
            let order = UpstreamOrder {
                upstream: record.upstream.clone(),
                address: record.address.clone(),
                group: Some((membership.group.clone(), membership.generation)),
                kind,
            };
            self.push_order(order, now);
        }
    }

    /// Plans the deletion of the group's record.
    fn remove_group(&mut self, group: &GroupRecord, now: Instant) {
        self.draft.removed_groups.insert(group.group.clone());
        if self.state.record_removal_if_due(&group.group, now) {
            self.draft.writes.push(GroupWrite::Remove(group.group.clone()));
        }
    }

    /// Whether the group's requests must be aborted. They can be completed while all members are
    /// present, but make no progress once a member is lost. A member that no longer reports the
    /// group counts as lost, unless it is draining.
    fn must_abort_requests(&self, view: &FleetView, group: &GroupRecord, now: Instant) -> bool {
        view.present_members(group).iter().any(|member| {
            member.is_none_or(|record| {
                let is_member = record.state_in(&group.group, group.generation).is_some();
                self.state.is_lost(&record.upstream, now)
                    || (record.state == UpstreamState::Ready && !is_member)
            })
        })
    }
}

impl PlannerState {
    /// The membership that an upstream reports if it may be bound by it although the group has no
    /// record. Without the record nothing shows whether the head is open. `None` also for a group
    /// that this planner knows to have ended, for a broken one, whose head serves no more, and for
    /// one that only warms the upstream up.
    pub(super) fn unstored_membership<'a>(
        &self,
        view: &FleetView,
        record: &'a UpstreamRecord,
        now: Instant,
    ) -> Option<&'a GroupMembership> {
        let membership = record.membership.as_ref()?;
        let group = &membership.group;
        let is_bound = membership.state != GroupState::Broken
            && !is_warm_up_group(group)
            && !view.groups.contains_key(group)
            && !self.has_ended(group)
            && !self.has_left(&record.upstream, group, now);
        is_bound.then_some(membership)
    }
}
