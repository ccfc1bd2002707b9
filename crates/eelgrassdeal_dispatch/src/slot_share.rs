//! Division of the slots of upstreams among the nodes.
//!
//! It answers the load of a fleet that is nearly full: the counts that nodes tell each other are as
//! old as a request lasts, so that many nodes would send to the same free slot. Each slot belongs to
//! one node, which may use it without knowing the counts. Beyond its own slots, a node uses those of
//! others that the counts show as free. While all nodes together need more than are free, each covers an
//! equal part of its need.

use std::time::{Duration, Instant};

/// Factor on the free fraction of the limit, which gives the part of the free slots that all nodes together
/// use beyond their own for each message with counts. The counts do not show yet what was sent after the
/// last one or two messages, which matters more the fewer slots are free.
const BORROWING_GAIN: f64 = 1.5;
/// A need that was not updated for this long is over: a node looks for a slot far more often while requests
/// wait.
const NEED_LIFETIME: Duration = Duration::from_millis(500);

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

/// Free slots of a queue that the nodes share, as this node knows them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SharedRoom {
    /// Free slots over all upstreams of the queue.
    pub(crate) slots: f64,
    /// Requests that the upstreams take at once.
    pub(crate) limit: f64,
    /// Requests at other nodes that need one.
    pub(crate) others_need: u32,
}

impl SharedRoom {
    /// Part of its need that each node may cover by slots of others, if this node needs `own`.
    fn fraction(self, own: u32) -> f64 {
        let need = f64::from(self.others_need.saturating_add(own));
        let part = (BORROWING_GAIN * self.slots / self.limit.max(1.0)).min(1.0);
        let usable = part * self.slots;
        if usable >= need { 1.0 } else { usable / need }
    }
}

/// Requests of one queue at this node that find no slot of its own.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlotBorrowing {
    /// Requests sent to slots of others since the last message with counts.
    borrowed: u32,
    /// Requests that waited when this node last looked for a slot.
    waiting: u32,
    /// Requests that needed a slot between the last two messages.
    last_need: u32,
    /// Slots that this node may use since the last message, including those that it has used.
    granted: f64,
    /// Part of a slot that was left of the grants before.
    carried: f64,
    /// When the last counts before the last update were received.
    counted_at: Option<Instant>,
    /// When this node last looked for a slot.
    updated_at: Option<Instant>,
}

impl SlotBorrowing {
    /// Creates a state without requests. Different parts of a slot at the start keep nodes from using free
    /// slots at the same moment.
    pub(crate) fn new(granted: f64) -> Self {
        Self { granted, ..Self::default() }
    }

    /// Requests that need a slot now or had to use one of others since the last message.
    pub(crate) fn need(&self) -> u32 {
        self.borrowed + self.waiting
    }

    /// Need that this node reports to others. Shortly after a message the time before it tells more.
    pub(crate) fn reported_need(&self, now: Instant) -> u32 {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < NEED_LIFETIME;
        if self.updated_at.is_some_and(is_recent) { self.need().max(self.last_need) } else { 0 }
    }

    /// Updates the grant, if `waiting` requests of the queue wait at this node. `counted_at` is when the last
    /// message with counts was received.
    pub(crate) fn update(
        &mut self,
        waiting: u32,
        room: SharedRoom,
        counted_at: Option<Instant>,
        now: Instant,
    ) {
        self.updated_at = Some(now);
        if self.counted_at != counted_at {
            self.counted_at = counted_at;
            self.carried = (self.granted - f64::from(self.borrowed)).clamp(0.0, 1.0);
            self.last_need = self.need();
            self.borrowed = 0;
        }
        self.waiting = waiting;
        let need = self.need();
        self.granted = self.carried + room.fraction(need) * f64::from(need);
    }

    /// Whether the grant has a slot left.
    pub(crate) fn has_slot(&self) -> bool {
        self.slots_left() >= 1.0
    }

    pub(crate) fn slots_left(&self) -> f64 {
        self.granted - f64::from(self.borrowed)
    }

    /// Records that a request was sent to a slot of another node.
    pub(crate) fn take(&mut self) {
        self.borrowed += 1;
        self.remove_waiting();
    }

    /// Records that a request was given a slot.
    pub(crate) fn remove_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }
}
