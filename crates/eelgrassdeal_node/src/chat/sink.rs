//! Destination of a response: a stream to the caller's connection, or one text.

use std::time::{Duration, Instant};

use super::event::chunk_frame;
use crate::response_queue::{CallerDisconnected, MemoryBudget, ResponseQueue};

/// How often a stream whose queue is full checks whether its reader has read anything. Also the
/// time without progress after which the stream is evicted if the memory budget is exhausted.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest text of a response that is not streamed.
const MAX_TEXT_BYTES: usize = 4 * 1024 * 1024;

/// Destination of a response.
pub(crate) enum ResponseSink {
    /// Queue of the caller's connection.
    Stream(ResponseQueue),
    /// Text so far of a response that is sent as a whole.
    Text(String),
}

/// Why a chunk was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SinkFailure {
    Disconnected,
    /// The caller has read nothing for the stall timeout.
    Stalled,
    /// The memory budget is exhausted, and this stream's reader makes no progress.
    Evicted,
    /// The text is longer than [`MAX_TEXT_BYTES`].
    TooLarge,
}

impl From<CallerDisconnected> for SinkFailure {
    fn from(_: CallerDisconnected) -> Self {
        Self::Disconnected
    }
}

impl ResponseSink {
    /// Appends a chunk. Waits for room in the queue, and fails if the reader makes no progress for
    /// `stall_timeout`, or for [`POLL_INTERVAL`] while the memory budget is exhausted.
    pub(crate) async fn deliver(
        &mut self,
        offset: u64,
        data: &str,
        text: &str,
        budget: &MemoryBudget,
        stall_timeout: Duration,
    ) -> Result<(), SinkFailure> {
        match self {
            Self::Stream(queue) => {
                let frame = chunk_frame(offset, data);
                wait_for_room(queue, frame.len(), budget, stall_timeout).await?;
                Ok(queue.push(frame, text.len())?)
            }
            Self::Text(received) if received.len() + text.len() > MAX_TEXT_BYTES => {
                Err(SinkFailure::TooLarge)
            }
            Self::Text(received) => {
                received.push_str(text);
                Ok(())
            }
        }
    }

    /// Whether the caller's connection has taken all chunks so far.
    pub(crate) fn is_drained(&self) -> bool {
        match self {
            Self::Stream(queue) => queue.is_empty(),
            Self::Text(_) => true,
        }
    }

    /// Waits until the caller's connection is closed. Never returns for a response that is not
    /// streamed: its future is dropped with the connection.
    pub(crate) async fn wait_closed(&self) {
        match self {
            Self::Stream(queue) => queue.wait_closed().await,
            Self::Text(_) => std::future::pending().await,
        }
    }
}

/// Waits until `size` bytes fit into the queue; fails as [`ResponseSink::deliver`].
async fn wait_for_room(
    queue: &ResponseQueue,
    size: usize,
    budget: &MemoryBudget,
    stall_timeout: Duration,
) -> Result<(), SinkFailure> {
    let (mut written_bytes, mut progress_at) = (queue.written_bytes(), Instant::now());
    loop {
        let room = queue.wait_for_room(size);
        if let Ok(room) = compio::time::timeout(POLL_INTERVAL.min(stall_timeout), room).await {
            return Ok(room?);
        }
        if queue.written_bytes() != written_bytes {
            (written_bytes, progress_at) = (queue.written_bytes(), Instant::now());
        }
        // Other streams wait for bytes of the budget that this queue uses.
        let is_contended = budget.is_exhausted() && !queue.is_empty();
        match progress_at.elapsed() {
            waited if waited >= stall_timeout => return Err(SinkFailure::Stalled),
            waited if is_contended && waited >= POLL_INTERVAL => return Err(SinkFailure::Evicted),
            _ => {}
        }
    }
}
