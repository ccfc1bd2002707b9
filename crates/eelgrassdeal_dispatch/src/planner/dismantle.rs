//! Taking a group apart, head first.

use std::time::{Duration, Instant};

use crate::fleet::{FleetView, GroupRecord, GroupState, UpstreamState};

use super::{GroupPlanner, GroupWrite, OrderKind, UpstreamOrder};

/// Added to the stall time of the engines before a head that cannot be reached counts as ended.
const STALL_MARGIN: Duration = Duration::from_millis(200);
/// A head that may be behind a cut together with other nodes counts as ended after this time. The
/// links of the published deployments heal within it.
const CUT_PATIENCE: Duration = Duration::from_secs(8);
/// A group that is gone within this time needs no mark that it is taken apart.
const MARK_DELAY: Duration = Duration::from_millis(200);

impl GroupPlanner {
    /// Closes the head, lets it leave, and removes the group once the head has left or ended. From
    /// the first call on the group is taken apart, whatever is reported later.
    pub(super) fn dismantle(&mut self, view: &FleetView, group: &GroupRecord, now: Instant) {
        let since = *self.memory.closing_since.entry(group.group.clone()).or_insert(now);
        let Some((head_id, head_born)) = group.members.first() else {
            self.remove_group(group, now);
            return;
        };
        let known = view.upstreams.get(head_id);
        let is_reborn = known.is_some_and(|record| record.born != *head_born);
        // The record of a head that is lost stays for seconds.
        let record = known.filter(|_| is_reborn || !self.memory.is_lost(head_id, now));
        let state = record.and_then(|record| record.state_in(&group.group, group.generation));
        let has_left = record.is_some() && state.is_none();
        let is_unreachable = known.is_none() && self.is_ended(group, now);
        let is_released = self.memory.released.contains(&group.group);
        if is_reborn || has_left || is_unreachable || is_released {
            self.remove_group(group, now);
            return;
        }
        let is_cut = self.is_cut_needed(view, group, now);
        let is_mark_due = !is_cut || now.saturating_duration_since(since) >= MARK_DELAY;
        // A write whose answer was lost is repeated.
        if !group.is_closing && is_mark_due && self.memory.try_close_mark(&group.group, now) {
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
            // Work that is cut off has ended once the order is answered.
            (Some(_), Some(GroupState::Open)) if is_cut && self.memory.is_accepted(&close) => {
                self.push_order(leave, now);
            }
            (Some(_), Some(GroupState::Closing)) if is_cut => self.push_order(leave, now),
            (Some(_), Some(GroupState::Closing)) => {}
            (Some(_), _) => self.push_order(close, now),
            (None, _) => {
                // The head may run behind a cut from the store: both orders in turn.
                if self.memory.has_outcome(&close) {
                    self.push_order(leave, now);
                }
                self.push_order(close, now);
            }
        }
    }

    /// Whether a head that no node reaches has ended, or its engine has given up by now.
    fn is_ended(&self, group: &GroupRecord, now: Instant) -> bool {
        // A head that is cut from its members stands still until the engine gives up.
        let patience = self.settings.stall + STALL_MARGIN;
        let is_past = |since: Option<&Instant>, patience: Duration| {
            since.is_some_and(|since| now.saturating_duration_since(*since) >= patience)
        };
        is_past(self.memory.unreachable.get(&group.group), patience)
            || is_past(self.memory.partly_unreachable.get(&group.group), CUT_PATIENCE)
    }

    fn remove_group(&mut self, group: &GroupRecord, now: Instant) {
        self.draft.removed.insert(group.group.clone());
        if self.memory.try_remove_mark(&group.group, now) {
            self.draft.writes.push(GroupWrite::Remove(group.group.clone()));
        }
    }

    /// Work is finished when every member is there, and cut off when one is lost: it stands still.
    fn is_cut_needed(&self, view: &FleetView, group: &GroupRecord, now: Instant) -> bool {
        view.present_members(group).iter().any(|member| {
            member.is_none_or(|record| {
                let is_member = record.state_in(&group.group, group.generation).is_some();
                self.memory.is_lost(&record.upstream, now)
                    || (record.state == UpstreamState::Ready && !is_member)
            })
        })
    }
}
