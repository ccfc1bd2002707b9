//! Fair division of a budget among the reporters of a replica.

use std::time::Instant;

use super::{Amount, SlotDemand};

/// What one reporter holds and wants.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotClaim {
    pub(crate) in_flight: Amount,
    pub(crate) demand: SlotDemand,
    /// When the reporter last had room to start a request.
    pub(crate) served: Instant,
}

impl SlotClaim {
    /// KV tokens that the next unit needs when `given` units are assigned.
    fn next_kv(&self, given: u32) -> u64 {
        let mean = |tokens: u64, units: u32| tokens.div_ceil(u64::from(units.max(1)));
        match given.checked_sub(self.in_flight.slots) {
            None => mean(self.in_flight.kv, self.in_flight.slots),
            // The largest waiting request must fit, or it would never start.
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
/// Among equals the reporter goes first that had no room for the longest time, so that a limit
/// below the number of reporters goes round. Half of what nobody wants is given as a standing
/// allowance, so that a first request does not wait for a report; the other half stays with the
/// owner for the first reporter that wants more.
pub(crate) fn divide(budget: Amount, claims: &[SlotClaim]) -> Vec<Amount> {
    let mut targets = vec![Amount::default(); claims.len()];
    let mut free = budget;
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by_key(|&index| (claims[index].served, index));
    let mut has_progress = true;
    while has_progress && free.slots > 0 {
        has_progress = false;
        for &index in &order {
            let (claim, target) = (&claims[index], &mut targets[index]);
            let unit = Amount { slots: 1, kv: claim.next_kv(target.slots) };
            if target.slots < claim.units() && free.slots > 0 && unit.kv <= free.kv {
                *target = target.plus(unit);
                free = free.less(unit);
                has_progress = true;
            }
        }
    }
    let standing = standing_allowance(free, claims.len());
    targets.into_iter().map(|target| target.plus(standing)).collect()
}

fn standing_allowance(free: Amount, reporters: usize) -> Amount {
    let count = u32::try_from(reporters.max(1)).unwrap_or(u32::MAX);
    let half = free.slots / count / 2;
    let slots = if free.slots >= count { half.max(1) } else { 0 };
    Amount { slots, kv: if slots > 0 { free.kv / u64::from(count) / 2 } else { 0 } }
}
