//! Tears groups down, starting with the head.

use std::time::{Duration, Instant};

use crate::fleet::{FleetView, GroupRecord, GroupState, UpstreamState};

use super::{GroupPlanner, GroupWrite, OrderKind, UpstreamOrder};

/// Added to the engines' stall timeout before an unreachable head is considered terminated.
const STALL_MARGIN: Duration = Duration::from_millis(200);
/// Time after which an unreachable head is considered terminated although nodes that did not reply
/// may still reach it. Network partitions are assumed to have healed by then.
const PARTITION_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay before a group whose requests are aborted is marked as being torn down in the store. A
/// group that is removed within this time needs no mark.
const CLOSING_MARK_DELAY: Duration = Duration::from_millis(200);

impl GroupPlanner {
    /// Orders the head to close and leave, and removes the group once the head has left or
    /// terminated. Called for every plan until the group is removed. The first call is final: the
    /// teardown continues whatever the members report later.
    pub(super) fn tear_down_group(&mut self, view: &FleetView, group: &GroupRecord, now: Instant) {
        let since = *self.state.teardown_since.entry(group.group.clone()).or_insert(now);
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
        let has_ended = stored_record.is_none() && self.has_head_ended(group, now);
        let is_released = self.state.released_groups.contains(&group.group);
        if has_restarted || is_outside_group || has_ended || is_released {
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

    /// Whether the head has been unreachable for so long that it is considered terminated or its
    /// engine has aborted all work.
    fn has_head_ended(&self, group: &GroupRecord, now: Instant) -> bool {
        // A head that no node can reach is assumed to be partitioned from its members, too. It then
        // makes no progress, and its engine aborts its work after the stall timeout.
        let timeout = self.settings.stall_timeout + STALL_MARGIN;
        let has_elapsed = |since: Option<&Instant>, timeout: Duration| {
            since.is_some_and(|since| now.saturating_duration_since(*since) >= timeout)
        };
        has_elapsed(self.state.unreachable_stall_starts.get(&group.group), timeout)
            || has_elapsed(
                self.state.partly_unreachable_stall_starts.get(&group.group),
                PARTITION_TIMEOUT,
            )
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
