//! HTTP responses to callers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use eelgrassdeal_schema::engine::ErrorBody;
use eelgrassdeal_types::{CallError, ErrorKind};
use hyper::Response;
use hyper::body::{Body, Frame};
use serde::Serialize;

use crate::response_queue::StreamBody;

/// Body of a response: complete, or a stream.
pub(crate) enum ReplyBody {
    /// Complete body; `None` once it was sent.
    Full(Option<Bytes>),
    Stream(StreamBody),
}

/// Response to a caller.
pub(crate) type Reply = Response<ReplyBody>;

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Full(bytes) => {
                let length = bytes.as_ref().map_or(0, |bytes| bytes.len() as u64);
                hyper::body::SizeHint::with_exact(length)
            }
            Self::Stream(_) => hyper::body::SizeHint::default(),
        }
    }
}

/// Builds a response with a complete body of any content type.
pub(crate) fn full_reply(status: u16, content_type: &str, body: Bytes) -> Reply {
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(ReplyBody::Full(Some(body)))
        .unwrap_or_else(|_| Response::new(ReplyBody::Full(None)))
}

/// Builds a response with a plain text body.
pub(crate) fn text_reply(status: u16, text: impl Into<String>) -> Reply {
    full_reply(status, "text/plain; charset=utf-8", Bytes::from(text.into()))
}

/// Builds a response with a JSON body.
pub(crate) fn json_reply<T: Serialize>(status: u16, body: &T) -> Reply {
    match serde_json::to_vec(body) {
        Ok(bytes) => full_reply(status, "application/json", Bytes::from(bytes)),
        Err(error) => {
            log::error!("cannot encode a response: {error}");
            text_reply(500, "internal")
        }
    }
}

/// Builds a response that is streamed as server-sent events.
pub(crate) fn stream_reply(body: StreamBody) -> Reply {
    Response::builder()
        .header("content-type", "text/event-stream")
        .header("cache-control", "no-store")
        .body(ReplyBody::Stream(body))
        .unwrap_or_else(|_| Response::new(ReplyBody::Full(None)))
}

/// Builds the body of an error response. Streams send it as an event of the type `error`.
pub(crate) fn error_body(error: &CallError, request_id: &str) -> ErrorBody {
    let error_response = error.kind.response();
    ErrorBody {
        kind: error_response.name.to_owned(),
        outcome: error_response.outcome.name().to_owned(),
        retry: error_response.retry,
        message: error.message.clone(),
        request_id: request_id.to_owned(),
    }
}

/// Builds the response for `error`, with the status that its kind defines.
pub(crate) fn error_reply(error: &CallError, request_id: &str) -> Reply {
    let error_response = error.kind.response();
    let mut reply = json_reply(error_response.status, &error_body(error, request_id));
    match error.kind {
        // The body of the request may be unread, and what is left of it must not be parsed as the
        // next request. Other errors, some of which are also returned before the body is read, set
        // no such header.
        ErrorKind::BodyTooLarge | ErrorKind::RequestTimeout | ErrorKind::Draining => {
            let close = hyper::header::HeaderValue::from_static("close");
            reply.headers_mut().insert("connection", close);
        }
        _ => {}
    }
    reply
}
