//! Max-min fair division of a budget among the reporters of a replica.

use std::time::Instant;

use super::{SlotAmount, SlotDemand};

/// What one reporter uses and requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotClaim {
    pub(crate) in_flight: SlotAmount,
    pub(crate) demand: SlotDemand,
    /// When the reporter last had room to start another request.
    pub(crate) last_had_room: Instant,
}

impl SlotClaim {
    /// KV tokens for the next unit, if `assigned` units are already assigned. A unit is one request
    /// that is in flight or waiting; those in flight come first.
    fn next_kv(&self, assigned: u32) -> u64 {
        let mean = |tokens: u64, units: u32| tokens.div_ceil(u64::from(units.max(1)));
        match assigned.checked_sub(self.in_flight.slots) {
            None => mean(self.in_flight.kv_tokens, self.in_flight.slots),
            // The first waiting unit is as large as the largest waiting request, which would never
            // start otherwise.
            Some(0) => {
                self.demand.largest_kv.max(mean(self.demand.kv_tokens, self.demand.requests))
            }
            Some(_) => mean(self.demand.kv_tokens, self.demand.requests),
        }
    }

    fn units(&self) -> u32 {
        self.in_flight.slots.saturating_add(self.demand.requests)
    }
}

/// Divides `budget` by max-min fairness in whole requests.
///
/// Ties go to the reporter that had no room for the longest time, so that all reporters get a turn
/// when the limit is smaller than their number. About half of what no reporter requests is granted
/// to all of them in equal parts, so that a first request need not wait for a report. Such a
/// standing allowance is at least one slot, or nothing if fewer free slots than reporters remain.
/// The owner keeps the rest for the first reporter that requests more.
pub(crate) fn divide(budget: SlotAmount, claims: &[SlotClaim]) -> Vec<SlotAmount> {
    let mut amounts = vec![SlotAmount::default(); claims.len()];
    let mut free = budget;
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by_key(|&index| (claims[index].last_had_room, index));
    let mut has_progress = true;
    while has_progress && free.slots > 0 {
        has_progress = false;
        for &index in &order {
            let (claim, amount) = (&claims[index], &mut amounts[index]);
            let unit = SlotAmount { slots: 1, kv_tokens: claim.next_kv(amount.slots) };
            if amount.slots < claim.units() && free.slots > 0 && unit.kv_tokens <= free.kv_tokens {
                *amount = amount.saturating_add(unit);
                free = free.saturating_sub(unit);
                has_progress = true;
            }
        }
    }
    let standing = standing_allowance(free, claims.len());
    amounts.into_iter().map(|amount| amount.saturating_add(standing)).collect()
}

fn standing_allowance(free: SlotAmount, reporters: usize) -> SlotAmount {
    let count = u32::try_from(reporters.max(1)).unwrap_or(u32::MAX);
    let half = free.slots / count / 2;
    let slots = if free.slots >= count { half.max(1) } else { 0 };
    SlotAmount {
        slots,
        kv_tokens: if slots > 0 { free.kv_tokens / u64::from(count) / 2 } else { 0 },
    }
}
