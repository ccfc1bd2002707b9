//! Answers to callers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use eelgrassdeal_schema::engine::ErrorBody;
use eelgrassdeal_types::{CallError, ErrorKind};
use hyper::Response;
use hyper::body::{Body, Frame};
use serde::Serialize;

use crate::answer_queue::AnswerBody;

/// Body of an answer: whole, or a stream.
pub(crate) enum ReplyBody {
    Whole(Option<Bytes>),
    Stream(AnswerBody),
}

/// Answer to a caller.
pub(crate) type AnswerReply = Response<ReplyBody>;

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, |bytes| bytes.len() as u64);
                hyper::body::SizeHint::with_exact(length)
            }
            Self::Stream(_) => hyper::body::SizeHint::default(),
        }
    }
}

/// An answer with any body.
pub(crate) fn raw_reply(status: u16, content_type: &str, body: Bytes) -> AnswerReply {
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(ReplyBody::Whole(Some(body)))
        .unwrap_or_else(|_| Response::new(ReplyBody::Whole(None)))
}

/// An answer with a text body.
pub(crate) fn text_reply(status: u16, text: impl Into<String>) -> AnswerReply {
    raw_reply(status, "text/plain; charset=utf-8", Bytes::from(text.into()))
}

/// An answer with a JSON body.
pub(crate) fn json_reply<T: Serialize>(status: u16, body: &T) -> AnswerReply {
    match serde_json::to_vec(body) {
        Ok(bytes) => raw_reply(status, "application/json", Bytes::from(bytes)),
        Err(error) => {
            log::error!("cannot encode an answer: {error}");
            text_reply(500, "internal")
        }
    }
}

/// An answer that is streamed as server-sent events.
pub(crate) fn stream_reply(body: AnswerBody) -> AnswerReply {
    Response::builder()
        .header("content-type", "text/event-stream")
        .header("cache-control", "no-store")
        .body(ReplyBody::Stream(body))
        .unwrap_or_else(|_| Response::new(ReplyBody::Whole(None)))
}

/// Body of an error answer.
pub(crate) fn error_body(error: &CallError, request_id: &str) -> ErrorBody {
    let response = error.kind.response();
    ErrorBody {
        kind: response.name.to_owned(),
        outcome: response.outcome.name().to_owned(),
        retry: response.retry,
        message: error.message.clone(),
        request_id: request_id.to_owned(),
    }
}

/// The answer that the table of error kinds gives for `error`.
pub(crate) fn error_reply(error: &CallError, request_id: &str) -> AnswerReply {
    let response = error.kind.response();
    let mut reply = json_reply(response.status, &error_body(error, request_id));
    match error.kind {
        // The rest of the body would be read as the next request.
        ErrorKind::BodyTooLarge | ErrorKind::RequestTimeout | ErrorKind::Draining => {
            let close = hyper::header::HeaderValue::from_static("close");
            reply.headers_mut().insert("connection", close);
        }
        _ => {}
    }
    reply
}
