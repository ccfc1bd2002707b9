//! Division of the slots of upstreams among the nodes.
//!
//! It answers the load of a fleet that is nearly full: the counts that nodes tell each other are as
//! old as a request lasts, so that many nodes would send to the same free slot. Each slot belongs to
//! one node, which may use it without knowing the counts. Of the slots that the counts show as free,
//! a node may use its part beyond its own.

use std::time::Instant;

/// Part of the free slots that the nodes together use beyond their own for each message with counts. The
/// counts do not show yet what was sent after the last one or two messages, which would use the rest.
const ALLOWANCE_PART: f64 = 0.5;

/// The part of all slots that belongs to one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotShare {
    /// Number of nodes that share the slots, including this one.
    pub nodes: usize,
    /// Position of this node among them.
    pub index: usize,
}

impl SlotShare {
    /// Number of slots of this node at each upstream. The slots of all upstreams, one after the
    /// other, are dealt to the nodes in turn: no node has two slots more than another, neither
    /// over all upstreams nor at one of them.
    pub fn divide(&self, slots: impl IntoIterator<Item = u32>) -> Vec<u32> {
        let mut first = 0;
        let divided = slots.into_iter().map(|slots| {
            let owned = self.slots_before(first + slots as usize) - self.slots_before(first);
            first += slots as usize;
            owned as u32
        });
        divided.collect()
    }

    /// Number of this node's slots among the first `count` slots.
    fn slots_before(&self, count: usize) -> usize {
        let nodes = self.nodes.max(1);
        count / nodes + usize::from(count % nodes > self.index)
    }
}

/// Slots of other nodes at one upstream that this node may use, as a number that grows with the free
/// slots that counts show. At most one is saved.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlotAllowance {
    slots: f64,
    /// When the counts were received by which it last grew.
    counted_at: Option<Instant>,
}

impl SlotAllowance {
    /// Creates an allowance. Different first values keep nodes from using free slots at the same
    /// moment.
    pub(crate) fn new(slots: f64) -> Self {
        Self { slots, counted_at: None }
    }

    /// Adds a part of `room`, the free slots for each node, once for each message with counts.
    pub(crate) fn refill(&mut self, room: f64, counted_at: Option<Instant>) {
        if counted_at.is_none() || self.counted_at == counted_at {
            return;
        }
        self.counted_at = counted_at;
        self.slots = (self.slots + ALLOWANCE_PART * room.max(0.0)).min(1.0);
    }

    pub(crate) fn slots(&self) -> f64 {
        self.slots
    }

    pub(crate) fn has_slot(&self) -> bool {
        self.slots >= 1.0
    }

    pub(crate) fn take(&mut self) {
        self.slots = (self.slots - 1.0).max(0.0);
    }
}
