//! Tears groups down, starting with the head.

use std::time::{Duration, Instant};

use crate::fleet::{FleetView, GroupRecord, GroupState, UpstreamState};

use super::{GroupPlanner, GroupWrite, OrderKind, UpstreamOrder};

/// Added to the engines' stall timeout before an unreachable head is considered terminated.
const STALL_MARGIN: Duration = Duration::from_millis(200);
/// A head that may be in a network partition together with some nodes is considered terminated
/// after this time. Network partitions are assumed to heal within it.
const PARTITION_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay before a group whose requests are aborted is marked as closing in the store. A group that
/// is removed within this time needs no mark.
const CLOSING_MARK_DELAY: Duration = Duration::from_millis(200);

impl GroupPlanner {
    /// Orders the head to close and leave, and removes the group once the head has left or
    /// terminated. Called for every plan until the group is removed. The first call is final: the
    /// teardown continues whatever the members report later.
    pub(super) fn tear_down_group(&mut self, view: &FleetView, group: &GroupRecord, now: Instant) {
        let since = *self.state.closing_since.entry(group.group.clone()).or_insert(now);
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
        let has_left = record.is_some() && state.is_none();
        let has_ended = stored_record.is_none() && self.has_head_ended(group, now);
        let is_released = self.state.released_groups.contains(&group.group);
        if has_restarted || has_left || has_ended || is_released {
            self.remove_group(group, now);
            return;
        }
        let is_cut = self.must_abort_requests(view, group, now);
        let is_mark_due = !is_cut || now.saturating_duration_since(since) >= CLOSING_MARK_DELAY;
        // A write whose response was lost is sent again.
        if !group.is_closing && is_mark_due && self.state.try_mark_closing(&group.group, now) {
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
            // Aborted requests have ended by the time the head accepts the order to close.
            (Some(_), Some(GroupState::Open)) if is_cut && self.state.is_accepted(&close) => {
                self.push_order(leave, now);
            }
            (Some(_), Some(GroupState::Closing)) if is_cut => self.push_order(leave, now),
            (Some(_), Some(GroupState::Closing)) => {}
            (Some(_), _) => self.push_order(close, now),
            (None, _) => {
                // The head may still be running in a network partition that separates it from the
                // store, so its state is unknown: order it to close, then to leave as well.
                if self.state.has_outcome(&close) {
                    self.push_order(leave, now);
                }
                self.push_order(close, now);
            }
        }
    }

    /// Whether the head has been unreachable for so long that it is considered terminated or its
    /// engine has aborted all work.
    fn has_head_ended(&self, group: &GroupRecord, now: Instant) -> bool {
        // A head that no node can reach is assumed to be partitioned from its members, too. It then
        // makes no progress, and its engine aborts its work after the stall timeout.
        let timeout = self.settings.stall_timeout + STALL_MARGIN;
        let has_elapsed = |since: Option<&Instant>, timeout: Duration| {
            since.is_some_and(|since| now.saturating_duration_since(*since) >= timeout)
        };
        has_elapsed(self.state.unreachable_since.get(&group.group), timeout)
            || has_elapsed(self.state.partly_unreachable_since.get(&group.group), PARTITION_TIMEOUT)
    }

    /// Plans the deletion of the group's record.
    fn remove_group(&mut self, group: &GroupRecord, now: Instant) {
        self.draft.removed_groups.insert(group.group.clone());
        if self.state.try_remove_group(&group.group, now) {
            self.draft.writes.push(GroupWrite::Remove(group.group.clone()));
        }
    }

    /// Whether the group's requests must be aborted. They can be completed while all members are
    /// present, but make no progress once a member is lost.
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
