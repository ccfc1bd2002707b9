//! How far an answer has got.

use eelgrassdeal_schema::engine::ResumePoint;
use serde_json::{Value, json};

use crate::answer_queue::RemovedChunks;

/// Longest text that is kept for an engine to continue from. A longer answer continues by its
/// offset alone, as it does when its caller comes from another node; so the text of long answers
/// does not count against the bytes held for a stream.
const MAX_RESUME_TEXT_BYTES: usize = 8 * 1024;

/// How far an answer has got.
pub(crate) struct AnswerProgress {
    next_offset: u64,
    /// Text before `next_offset`; `None` if the node does not know all of it.
    text: Option<String>,
    has_last: bool,
}

impl AnswerProgress {
    pub(crate) fn new(resume: ResumePoint) -> Self {
        let is_known = resume.offset == 0 || !resume.text.is_empty();
        Self { next_offset: resume.offset, text: is_known.then_some(resume.text), has_last: false }
    }

    /// Offset of the next chunk to deliver.
    pub(crate) fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Whether the chunk that ends the answer was delivered.
    pub(crate) fn has_last(&self) -> bool {
        self.has_last
    }

    /// Notes that the last chunk came from an engine although it had been delivered before.
    pub(crate) fn note_last(&mut self) {
        self.has_last = true;
    }

    /// Notes the delivery of the next chunk.
    pub(crate) fn note_delivered(&mut self, text: &str, is_last: bool) {
        self.next_offset += 1;
        self.has_last |= is_last;
        match &mut self.text {
            Some(known) if known.len() + text.len() <= MAX_RESUME_TEXT_BYTES => {
                known.push_str(text);
            }
            _ => self.text = None,
        }
    }

    /// Goes back before chunks that were queued but not taken by the caller's connection.
    pub(crate) fn go_back(&mut self, removed: RemovedChunks) {
        self.next_offset -= removed.count;
        self.has_last &= removed.count == 0;
        if let Some(known) = &mut self.text {
            known.truncate(known.len().saturating_sub(removed.text_bytes));
            // The text is kept while the reader has stopped, without spare capacity.
            known.shrink_to_fit();
        }
    }

    /// Where an engine continues; `None` at the start of the answer.
    pub(crate) fn resume_point(&self) -> Option<Value> {
        let text = self.text.as_deref().unwrap_or_default();
        (self.next_offset > 0).then(|| json!({ "offset": self.next_offset, "text": text }))
    }
}
