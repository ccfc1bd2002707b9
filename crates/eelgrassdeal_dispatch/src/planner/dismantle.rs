//! Taking a group apart, head first.

use std::time::{Duration, Instant};

use crate::fleet::{FleetView, GroupRecord, GroupState, UpstreamState};

use super::{GroupPlanner, OrderKind, PlanStep, UpstreamOrder};

/// Added to the stall time of the engines before a head that cannot be reached counts as ended.
const STALL_MARGIN: Duration = Duration::from_millis(200);

/// A head that may be behind a cut together with other nodes counts as ended after this time. The
/// links of the published deployments heal within it.
const CUT_PATIENCE: Duration = Duration::from_secs(8);

impl GroupPlanner {
    /// Marks a group as closing; its orders follow once the mark is stored.
    pub(super) fn begin_dismantle(
        &mut self,
        group: &GroupRecord,
        now: Instant,
        steps: &mut Vec<PlanStep>,
    ) {
        // A write whose answer was lost is repeated.
        if self.memory.try_close_mark(&group.group, now) {
            steps.push(PlanStep::MarkClosing(GroupRecord { is_closing: true, ..group.clone() }));
        }
    }

    /// Closes the head, lets it leave, and removes the group once the head has left or ended.
    pub(super) fn dismantle(
        &mut self,
        view: &FleetView,
        group: &GroupRecord,
        now: Instant,
        steps: &mut Vec<PlanStep>,
    ) {
        self.memory.closing_since.entry(group.group.clone()).or_insert(now);
        let Some((head_id, head_born)) = group.members.first() else {
            steps.push(PlanStep::Remove(group.group.clone()));
            return;
        };
        let known = view.upstreams.get(head_id);
        let is_reborn = known.is_some_and(|record| record.born != *head_born);
        // The record of a head that is lost stays for seconds.
        let record = known.filter(|_| is_reborn || !self.memory.is_lost(head_id, now));
        let state = record.and_then(|record| record.state_in(&group.group, group.generation));
        let has_left = record.is_some() && state.is_none();
        // A head that is cut from its members stands still until the engine gives up.
        let patience = self.settings.stall + STALL_MARGIN;
        let is_past = |since: Option<&Instant>, patience: Duration| {
            since.is_some_and(|since| now.saturating_duration_since(*since) >= patience)
        };
        let is_unreachable = known.is_none()
            && (is_past(self.memory.unreachable.get(&group.group), patience)
                || is_past(self.memory.partly_unreachable.get(&group.group), CUT_PATIENCE));
        let is_released = self.memory.released.contains(&group.group);
        if is_reborn || has_left || is_unreachable || is_released {
            if self.memory.try_remove_mark(&group.group, now) {
                self.memory.forget_group(&group.group);
                steps.push(PlanStep::Remove(group.group.clone()));
            }
            return;
        }
        let kind = match state {
            Some(GroupState::Open) | None => {
                OrderKind::Close { is_cut: self.is_cut_needed(view, group, now) }
            }
            Some(GroupState::Closing) => return,
            Some(GroupState::Ready | GroupState::Joining | GroupState::Broken) => OrderKind::Leave,
        };
        let address = record.map_or(&group.head_address, |record| &record.address);
        let order = UpstreamOrder {
            upstream: head_id.clone(),
            address: address.clone(),
            group: Some((group.group.clone(), group.generation)),
            kind,
        };
        if record.is_none() {
            // The head may run behind a cut from the store: both orders in turn.
            let leave = UpstreamOrder { kind: OrderKind::Leave, ..order.clone() };
            if self.memory.has_outcome(&order) {
                self.push_order(leave, now, steps);
            }
        }
        self.push_order(order, now, steps);
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
