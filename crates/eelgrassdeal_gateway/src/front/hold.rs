//! Memory that the bodies of requests hold at this node until no attempt needs them, and responses of
//! upstreams until they are forwarded.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_dispatch::BufferBudget;

/// Longest wait of a small response for memory. Responses that all wait for more hold up each other.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(1_500);
/// Interval at which a small response that waits for memory checks whether there is some.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Bytes that one body holds of a [`BufferBudget`] of the node. Dropping it gives them back.
pub(super) struct BufferHold {
    // Shared with bodies, which hyper requires to be `Send`.
    budget: Arc<Mutex<BufferBudget>>,
    bytes: usize,
}

impl BufferHold {
    pub(super) fn new(budget: &Arc<Mutex<BufferBudget>>) -> Self {
        Self { budget: budget.clone(), bytes: 0 }
    }

    /// Changes the number of bytes that the body holds. Returns false, and changes nothing, if
    /// there is no room for them.
    pub(super) fn try_resize(&mut self, bytes: usize) -> bool {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let is_allowed = budget.try_resize(self.bytes, bytes);
        if is_allowed {
            self.bytes = bytes;
        }
        is_allowed
    }

    /// Changes the number of bytes that the body holds, as soon as there is room for a small one. Returns
    /// false, and changes nothing, if there is no room for a large one, or for a small one in time.
    pub(super) async fn resize(&mut self, bytes: usize) -> bool {
        let until = Instant::now() + MAX_ROOM_WAIT;
        loop {
            match self.try_resize(bytes) {
                false if BufferBudget::may_wait(bytes) && Instant::now() < until => {
                    compio::time::sleep(ROOM_CHECK_INTERVAL).await;
                }
                is_allowed => return is_allowed,
            }
        }
    }

    /// Returns a body that holds its bytes until it is dropped.
    pub(super) fn attach_to(self, body: Bytes) -> Bytes {
        Bytes::from_owner(HeldBody { body, _hold: self })
    }
}

impl Drop for BufferHold {
    fn drop(&mut self) {
        self.try_resize(0);
    }
}

struct HeldBody {
    body: Bytes,
    _hold: BufferHold,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
