//! Server-sent events: parses those of engines and builds those for callers.

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

/// Data of the event that ends a complete response.
const DONE_DATA: &str = "[DONE]";

/// Largest event that is accepted from an engine. Without a limit, a stream without line ends would
/// be buffered in full.
const MAX_EVENT_BYTES: usize = 16 * 1024;

type BodyBytes = Pin<Box<dyn Stream<Item = Result<Bytes, EventError>>>>;

/// The engine's stream failed or has an event that is too large.
#[derive(Debug)]
struct EventError;

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EngineEvent {
    /// A part of the response.
    Chunk {
        /// Position of the chunk in the response, in tokens; each chunk has one token.
        offset: u64,
        /// JSON of the chunk as received from the engine.
        data: String,
        /// Text that the chunk appends to the response.
        text: String,
        /// Whether the chunk has a finish reason, so that no more text follows.
        is_last: bool,
    },
    /// The response is complete.
    Done,
    /// The stream ended or failed before the event `[DONE]`, or no valid event arrived in time.
    Interrupted,
}

/// Reads events from the body of an engine's response.
pub(crate) struct EngineEvents {
    events: EventStream<BodyBytes>,
    /// Bytes received since the last complete event.
    unparsed_bytes: Rc<Cell<usize>>,
}

impl EngineEvents {
    pub(crate) fn new(body: Incoming) -> Self {
        let unparsed_bytes = Rc::new(Cell::new(0));
        let counter = unparsed_bytes.clone();
        let bytes: BodyBytes = Box::pin(body.into_data_stream().map(move |part| {
            let part = part.map_err(|_| EventError)?;
            // One part may have several complete events, so only the bytes received before it
            // without completing an event are compared with the limit.
            match counter.replace(counter.get() + part.len()) {
                before if before > MAX_EVENT_BYTES => Err(EventError),
                _ => Ok(part),
            }
        }));
        Self { events: bytes.eventsource(), unparsed_bytes }
    }

    /// Reads the next event; [`EngineEvent::Interrupted`] if none arrives within `timeout`.
    pub(crate) async fn next(&mut self, timeout: Duration) -> EngineEvent {
        match compio::time::timeout(timeout, self.events.next()).await {
            Ok(Some(Ok(event))) => {
                self.unparsed_bytes.set(0);
                parse_event(event)
            }
            Ok(Some(Err(_)) | None) | Err(_) => EngineEvent::Interrupted,
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
        _ => EngineEvent::Interrupted,
    }
}

/// Encodes a chunk of a response as a server-sent event.
pub(crate) fn chunk_frame(offset: u64, data: &str) -> Vec<u8> {
    // `concat` allocates no spare capacity, which matters because frames are queued for slow
    // readers.
    [format!("id: {offset}\n").as_bytes(), b"data: ", data.as_bytes(), b"\n\n"].concat()
}

/// Encodes the event that ends a complete response.
pub(crate) fn done_frame() -> Vec<u8> {
    format!("data: {DONE_DATA}\n\n").into_bytes()
}

/// Encodes the event that ends an incomplete response.
pub(crate) fn error_frame(error: &CallError, request_id: &str) -> Vec<u8> {
    let body = serde_json::to_string(&error_body(error, request_id)).unwrap_or_default();
    format!("event: error\ndata: {body}\n\n").into_bytes()
}
