//! Server-sent events of an answer.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassdeal_types::CallError;
use eventsource_stream::{Event, EventStream, Eventsource};
use futures_util::{Stream, StreamExt};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

use crate::http::error_body;

/// Data of the last event of a whole answer.
const DONE_DATA: &str = "[DONE]";

/// Largest event of an engine. A stream without line ends would otherwise be collected without
/// bound.
const MAX_EVENT_BYTES: usize = 16 * 1024;

type BodyBytes = Pin<Box<dyn Stream<Item = Result<Bytes, EventError>>>>;

/// The engine's stream cannot be read on.
#[derive(Debug)]
struct EventError;

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EngineEvent {
    /// A part of the answer.
    Chunk {
        /// Token offset.
        offset: u64,
        /// Chunk as the engine wrote it.
        data: String,
        /// Text that the chunk adds.
        text: String,
        /// Whether the chunk says why the answer ends, so that no more text follows.
        is_last: bool,
    },
    /// The answer is whole.
    Done,
    /// The stream ended without the last event, or nothing came within the time.
    Broken,
}

/// Reads events from the body of an engine's answer.
pub(crate) struct EngineEvents {
    events: EventStream<BodyBytes>,
    /// Bytes received since the last whole event.
    unparsed: Rc<Cell<usize>>,
}

impl EngineEvents {
    pub(crate) fn new(body: Incoming) -> Self {
        let unparsed = Rc::new(Cell::new(0));
        let counter = unparsed.clone();
        let bytes: BodyBytes = Box::pin(body.into_data_stream().map(move |part| {
            let part = part.map_err(|_| EventError)?;
            // Several whole events may arrive in one part, so the part itself is not counted
            // before the bytes that came without an event.
            match counter.replace(counter.get() + part.len()) {
                before if before > MAX_EVENT_BYTES => Err(EventError),
                _ => Ok(part),
            }
        }));
        Self { events: bytes.eventsource(), unparsed }
    }

    /// Reads the next event, and gives up after `patience`.
    pub(crate) async fn next(&mut self, patience: Duration) -> EngineEvent {
        match compio::time::timeout(patience, self.events.next()).await {
            Ok(Some(Ok(event))) => {
                self.unparsed.set(0);
                parse_event(event)
            }
            Ok(Some(Err(_)) | None) | Err(_) => EngineEvent::Broken,
        }
    }
}

fn parse_event(event: Event) -> EngineEvent {
    if event.data == DONE_DATA {
        return EngineEvent::Done;
    }
    match (event.id.parse(), serde_json::from_str::<Value>(&event.data)) {
        (Ok(offset), Ok(chunk)) => {
            let choice = &chunk["choices"][0];
            let text = choice["delta"]["content"].as_str().unwrap_or_default().to_owned();
            let is_last = choice["finish_reason"].is_string();
            EngineEvent::Chunk { offset, text, is_last, data: event.data }
        }
        _ => EngineEvent::Broken,
    }
}

/// Frame of one part of an answer.
pub(crate) fn chunk_frame(offset: u64, data: &str) -> Vec<u8> {
    // Frames are held for slow readers, so they have no spare capacity.
    [format!("id: {offset}\n").as_bytes(), b"data: ", data.as_bytes(), b"\n\n"].concat()
}

/// Frame that ends a whole answer.
pub(crate) fn done_frame() -> Vec<u8> {
    format!("data: {DONE_DATA}\n\n").into_bytes()
}

/// Frame that ends an answer that is not whole.
pub(crate) fn error_frame(error: &CallError, request_id: &str) -> Vec<u8> {
    let body = serde_json::to_string(&error_body(error, request_id)).unwrap_or_default();
    format!("event: error\ndata: {body}\n\n").into_bytes()
}
