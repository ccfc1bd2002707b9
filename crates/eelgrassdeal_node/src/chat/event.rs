//! Server-sent events of an answer.

use std::pin::Pin;
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

type BodyBytes = Pin<Box<dyn Stream<Item = Result<Bytes, hyper::Error>>>>;

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
    },
    /// The answer is whole.
    Done,
    /// The stream ended without the last event, or nothing came within the time.
    Broken,
}

/// Reads events from the body of an engine's answer.
pub(crate) struct EngineEvents {
    events: EventStream<BodyBytes>,
}

impl EngineEvents {
    pub(crate) fn new(body: Incoming) -> Self {
        let bytes: BodyBytes = Box::pin(body.into_data_stream());
        Self { events: bytes.eventsource() }
    }

    /// Reads the next event, and gives up after `patience`.
    pub(crate) async fn next(&mut self, patience: Duration) -> EngineEvent {
        match compio::time::timeout(patience, self.events.next()).await {
            Ok(Some(Ok(event))) => parse_event(event),
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
            let text = chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
            EngineEvent::Chunk { offset, text: text.to_owned(), data: event.data }
        }
        _ => EngineEvent::Broken,
    }
}

/// Frame of one part of an answer.
pub(crate) fn chunk_frame(offset: u64, data: &str) -> Bytes {
    Bytes::from(format!("id: {offset}\ndata: {data}\n\n"))
}

/// Frame that ends a whole answer.
pub(crate) fn done_frame() -> Bytes {
    Bytes::from(format!("data: {DONE_DATA}\n\n"))
}

/// Frame that ends an answer that is not whole.
pub(crate) fn error_frame(error: &CallError, request_id: &str) -> Bytes {
    let body = serde_json::to_string(&error_body(error, request_id)).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {body}\n\n"))
}
