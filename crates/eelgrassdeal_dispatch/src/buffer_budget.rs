//! Memory of a node for responses of upstreams, shared among them so that responses without end leave room
//! for the others.

/// Size up to which a response may use all free bytes of the budget.
const SMALL_RESPONSE_BYTES: usize = 64 * 1024;
/// Divisor of the part of the budget that larger responses leave to small ones.
const SMALL_SHARE_DIVISOR: usize = 4;

/// Bytes that a node holds for responses that it has not forwarded yet.
///
/// A response of up to 64 KiB may use what is free. A larger one may hold half of what the others leave
/// of three quarters of the capacity, so that a few large responses don't exclude further ones.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    capacity: usize,
    held: usize,
}

impl BufferBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, held: 0 }
    }

    /// Bytes that all responses together hold.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Whether a response of `bytes` that finds no room may keep what it holds until there is some.
    /// Larger ones could hold up each other.
    pub fn may_wait(bytes: usize) -> bool {
        bytes <= SMALL_RESPONSE_BYTES
    }

    /// Changes the bytes of one response from `current` to `wanted`. Returns false, and changes
    /// nothing, if there is no room for them.
    pub fn try_resize(&mut self, current: usize, wanted: usize) -> bool {
        let others = self.held.saturating_sub(current);
        let room = match wanted {
            0..=SMALL_RESPONSE_BYTES => self.capacity.saturating_sub(others),
            _ => {
                let large = self.capacity - self.capacity / SMALL_SHARE_DIVISOR;
                large.saturating_sub(others) / 2
            }
        };
        let is_allowed = wanted <= current || wanted <= room;
        if is_allowed {
            self.held = others + wanted;
        }
        is_allowed
    }
}
