//! Progress of a response: which chunks were delivered to the caller.

use eelgrassdeal_schema::engine::ResumePoint;
use serde_json::{Value, json};

use crate::response_queue::RemovedChunks;

/// Longest text that is kept so that another engine can continue the response. A longer response is
/// continued by its offset alone, like one that a caller resumes at another node without sending
/// the text. The limit keeps the text of long responses out of the memory used per stream.
const MAX_RESUME_TEXT_BYTES: usize = 8 * 1024;

/// Progress of a response.
pub(crate) struct ResponseProgress {
    next_offset: u64,
    /// Text before `next_offset`; `None` if the node does not have all of it.
    text: Option<String>,
    has_last_chunk: bool,
}

impl ResponseProgress {
    pub(crate) fn new(resume: ResumePoint) -> Self {
        let is_known = resume.offset == 0 || !resume.text.is_empty();
        Self {
            next_offset: resume.offset,
            text: is_known.then_some(resume.text),
            has_last_chunk: false,
        }
    }

    /// Offset of the next chunk to deliver.
    pub(crate) fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Whether the chunk with the finish reason was delivered.
    pub(crate) fn has_last_chunk(&self) -> bool {
        self.has_last_chunk
    }

    /// Records that an engine sent the last chunk again, which had been delivered before.
    pub(crate) fn record_last_chunk(&mut self) {
        self.has_last_chunk = true;
    }

    /// Records that the next chunk was delivered.
    pub(crate) fn record_delivered_chunk(&mut self, text: &str, is_last: bool) {
        self.next_offset += 1;
        self.has_last_chunk |= is_last;
        match &mut self.text {
            Some(known) if known.len() + text.len() <= MAX_RESUME_TEXT_BYTES => {
                known.push_str(text);
            }
            _ => self.text = None,
        }
    }

    /// Rewinds by the chunks that were removed from the queue before the caller's connection took
    /// them.
    pub(crate) fn rewind(&mut self, removed: RemovedChunks) {
        self.next_offset -= removed.count;
        self.has_last_chunk &= removed.count == 0;
        if let Some(known) = &mut self.text {
            known.truncate(known.len().saturating_sub(removed.text_bytes));
            // The text stays in memory until the reader continues, so spare capacity is freed.
            known.shrink_to_fit();
        }
    }

    /// Value of the field `resume` of an engine request: where the engine continues the response.
    /// `None` at the start of the response.
    pub(crate) fn resume_point(&self) -> Option<Value> {
        let text = self.text.as_deref().unwrap_or_default();
        (self.next_offset > 0).then(|| json!({ "offset": self.next_offset, "text": text }))
    }
}
