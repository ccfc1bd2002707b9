//! Where an answer goes: to the caller's connection as a stream, or into one text.

use std::time::{Duration, Instant};

use super::event::chunk_frame;
use crate::answer_queue::{AnswerQueue, CallerGone, MemoryBudget};

/// How often a stream that waits for its reader checks the reader's progress.
const READER_POLL: Duration = Duration::from_millis(50);
/// Longest text of an answer that is not streamed.
const MAX_TEXT_BYTES: usize = 4 * 1024 * 1024;

/// Where an answer goes.
pub(crate) enum AnswerSink {
    Stream(AnswerQueue),
    Text(String),
}

/// Why a chunk was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SinkFailure {
    CallerGone,
    /// The caller has read nothing for a while.
    Stalled,
    /// Other streams need the bytes that this one holds.
    Evicted,
    TooLarge,
}

impl From<CallerGone> for SinkFailure {
    fn from(_: CallerGone) -> Self {
        Self::CallerGone
    }
}

impl AnswerSink {
    /// Delivers a chunk, and gives up when the reader makes no progress for `patience`.
    pub(crate) async fn deliver(
        &mut self,
        offset: u64,
        data: &str,
        text: &str,
        budget: &MemoryBudget,
        patience: Duration,
    ) -> Result<(), SinkFailure> {
        match self {
            Self::Stream(queue) => {
                let frame = chunk_frame(offset, data);
                wait_for_room(queue, frame.len(), budget, patience).await?;
                Ok(queue.push(frame, text.len())?)
            }
            Self::Text(whole) if whole.len() + text.len() > MAX_TEXT_BYTES => {
                Err(SinkFailure::TooLarge)
            }
            Self::Text(whole) => {
                whole.push_str(text);
                Ok(())
            }
        }
    }

    /// Whether the reader has taken everything so far.
    pub(crate) fn is_drained(&self) -> bool {
        match self {
            Self::Stream(queue) => queue.is_empty(),
            Self::Text(_) => true,
        }
    }

    /// Waits until the caller is gone. An answer that is not streamed is dropped with its caller.
    pub(crate) async fn closed(&self) {
        match self {
            Self::Stream(queue) => queue.closed().await,
            Self::Text(_) => std::future::pending().await,
        }
    }
}

async fn wait_for_room(
    queue: &AnswerQueue,
    size: usize,
    budget: &MemoryBudget,
    patience: Duration,
) -> Result<(), SinkFailure> {
    let (mut written, mut progress_at) = (queue.written(), Instant::now());
    loop {
        let room = queue.wait_for_room(size);
        if let Ok(room) = compio::time::timeout(READER_POLL.min(patience), room).await {
            return Ok(room?);
        }
        if queue.written() != written {
            (written, progress_at) = (queue.written(), Instant::now());
        }
        // Others wait for the bytes of this queue.
        let is_needed = budget.is_exhausted() && !queue.is_empty();
        match progress_at.elapsed() {
            waited if waited >= patience => return Err(SinkFailure::Stalled),
            waited if is_needed && waited >= READER_POLL => return Err(SinkFailure::Evicted),
            _ => {}
        }
    }
}
