//! Division of the limit of a replica among the nodes.
//!
//! A few selected nodes, the reporters of the replica (see [`crate::ReporterSet`]), regularly send
//! a report to the owner of the replica. The owner answers with an allowance: an upper bound on the
//! requests and KV tokens that the node may have in flight, which expires after
//! [`ALLOWANCE_LIFETIME`].
//!
//! The sum of what the nodes have in flight stays within the limit, and no clocks of different
//! nodes are compared:
//!
//! - Reports are numbered. Each states the number of the oldest report whose allowance the node may
//!   still use, or its own number if there is none. The owner counts an allowance until a report
//!   states that it is out of use, so a delayed report or a lost answer never frees slots that may
//!   be in use.
//! - Each node that reports to an owner votes for it, and an owner may grant only the fraction of
//!   the limit for which it has votes. Each report names the last answer that the node applied;
//!   the vote expires one lifetime after the owner sent that answer. The node reports to another
//!   owner only later than that, so no two owners count the vote of one node at the same time.

mod division;
mod holder;
mod load;
mod owner;
mod reporter;

use std::time::Duration;

pub use holder::{
    ReplicaLimit, SlotDestination, SlotHolder, SlotPolicy, StartConstraints, StartedSlot,
};
pub use load::LoadReport;
pub use owner::{OwnerSettings, SlotOwner};

/// Time for which an allowance may be used, counted from when the node sent the report that the
/// allowance answers. A vote is valid for the same time, counted from when the owner sent the
/// latest answer that a report of the node names.
pub const ALLOWANCE_LIFETIME: Duration = Duration::from_secs(1);

/// Regular interval between two reports of a node about one replica.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Requests that wait for a slot at a replica or a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotDemand {
    /// Number of waiting requests.
    pub requests: u32,
    /// Total KV tokens of these requests.
    pub kv_tokens: u64,
    /// KV tokens of the largest of these requests.
    pub largest_kv: u64,
}

/// A number of slots (requests) and of KV tokens; used for limits, allowances and usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SlotAmount {
    pub(crate) slots: u32,
    pub(crate) kv_tokens: u64,
}

impl SlotAmount {
    pub(crate) fn max(self, other: Self) -> Self {
        Self { slots: self.slots.max(other.slots), kv_tokens: self.kv_tokens.max(other.kv_tokens) }
    }

    pub(crate) fn min(self, other: Self) -> Self {
        Self { slots: self.slots.min(other.slots), kv_tokens: self.kv_tokens.min(other.kv_tokens) }
    }

    pub(crate) fn saturating_add(self, other: Self) -> Self {
        Self {
            slots: self.slots.saturating_add(other.slots),
            kv_tokens: self.kv_tokens.saturating_add(other.kv_tokens),
        }
    }

    pub(crate) fn saturating_sub(self, other: Self) -> Self {
        Self {
            slots: self.slots.saturating_sub(other.slots),
            kv_tokens: self.kv_tokens.saturating_sub(other.kv_tokens),
        }
    }

    /// The fraction `numerator / denominator` of this amount, rounded up if `rounds_up`.
    pub(crate) fn share(self, numerator: usize, denominator: usize, rounds_up: bool) -> Self {
        let part = |whole: u64| {
            let product = u128::from(whole) * numerator as u128;
            let divisor = denominator.max(1) as u128;
            let part = if rounds_up { product.div_ceil(divisor) } else { product / divisor };
            u64::try_from(part).unwrap_or(u64::MAX)
        };
        let slots = u32::try_from(part(u64::from(self.slots))).unwrap_or(u32::MAX);
        Self { slots, kv_tokens: part(self.kv_tokens) }
    }
}
