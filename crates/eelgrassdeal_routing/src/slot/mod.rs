//! Division of a replica's limit among the nodes.
//!
//! The owner's accounting is exact without comparing clocks:
//!
//! - A node names in each report the smallest report whose allowance it may still act on. The
//!   owner counts an allowance until a report says that it is out of use, so a delayed report or
//!   a lost answer frees nothing.
//! - A report counts as a vote for its owner until one lifetime after the owner sent the answer
//!   that the report names. The node changes its owner later than that, so no two owners count
//!   the same vote.

mod division;
mod holder;
mod owner;
mod reporter;
mod reserve;

use std::time::Duration;

pub use holder::{ReplicaLimit, SlotHolder, SlotPolicy, SlotTarget, StartChoice, StartedSlot};
pub use owner::{OwnerSettings, SlotOwner};
pub use reserve::LoadReport;

/// Time for which an allowance may be used, and for which a report counts for its owner.
pub const ALLOWANCE_LIFETIME: Duration = Duration::from_secs(1);

/// Time between two reports of a node about one replica.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Requests that wait for a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotDemand {
    /// Number of requests.
    pub requests: u32,
    /// KV tokens of all of them.
    pub kv_tokens: u64,
    /// KV tokens of the largest one.
    pub largest_kv: u64,
}

/// Requests and KV tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Amount {
    pub(crate) slots: u32,
    pub(crate) kv: u64,
}

impl Amount {
    pub(crate) fn max(self, other: Self) -> Self {
        Self { slots: self.slots.max(other.slots), kv: self.kv.max(other.kv) }
    }

    pub(crate) fn min(self, other: Self) -> Self {
        Self { slots: self.slots.min(other.slots), kv: self.kv.min(other.kv) }
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        Self { slots: self.slots.saturating_add(other.slots), kv: self.kv.saturating_add(other.kv) }
    }

    pub(crate) fn less(self, other: Self) -> Self {
        Self { slots: self.slots.saturating_sub(other.slots), kv: self.kv.saturating_sub(other.kv) }
    }

    /// Part `k / n`, rounded up if `is_rounded_up`.
    pub(crate) fn share(self, k: usize, n: usize, is_rounded_up: bool) -> Self {
        let part = |whole: u64| {
            let product = u128::from(whole) * k as u128;
            let divisor = n.max(1) as u128;
            let part = if is_rounded_up { product.div_ceil(divisor) } else { product / divisor };
            u64::try_from(part).unwrap_or(u64::MAX)
        };
        let slots = u32::try_from(part(u64::from(self.slots))).unwrap_or(u32::MAX);
        Self { slots, kv: part(self.kv) }
    }
}
