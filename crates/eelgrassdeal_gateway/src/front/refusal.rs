//! Error responses that the gateway itself sends to callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassdeal_platform::RETRY_AFTER;
use eelgrassdeal_types::{CallError, ErrorKind};
use hyper::StatusCode;
use hyper::header::HeaderValue;

use crate::server::{Reply, full_reply};

const TEXT_CONTENT_TYPE: &str = "text/plain";

/// An error response that the gateway sends in place of an upstream's response. Depending on its
/// kind, an upstream may have run the request nevertheless.
#[derive(Clone, Debug)]
pub(super) struct CallRefusal {
    error: CallError,
    /// Time after which the caller may retry; `None` leaves the header out.
    retry_after: Option<Duration>,
    request_id: Arc<str>,
}

impl CallRefusal {
    pub(super) fn new(kind: ErrorKind, message: impl Into<String>, request_id: &Arc<str>) -> Self {
        let error = CallError::new(kind, message);
        Self { error, retry_after: None, request_id: request_id.clone() }
    }

    pub(super) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Lengthens the time after which the caller may retry to `minimum`, if it is told one.
    pub(super) fn with_retry_at_least(mut self, minimum: Duration) -> Self {
        self.retry_after = self.retry_after.map(|retry_after| retry_after.max(minimum));
        self
    }

    /// Replaces the time after which the caller may retry, if it is told one.
    pub(super) fn with_retry_instead(mut self, retry_after: Duration) -> Self {
        self.retry_after = self.retry_after.map(|_| retry_after);
        self
    }

    pub(super) fn kind(&self) -> ErrorKind {
        self.error.kind
    }

    /// Logs the refusal and builds the HTTP response.
    pub(super) fn reply(self) -> Reply {
        let response = self.error.kind.response();
        // Logged for every error response, even if the request may have run. `outcome` is the name
        // of the `CallOutcome`. `retry_after_ms` is 0 also if the header is left out.
        log::info!(
            "event=refused request_id={} kind={} status={} outcome={} retry_after_ms={} reason=\"{}\"",
            self.request_id,
            response.name,
            response.status,
            response.outcome.name(),
            self.retry_after.unwrap_or_default().as_millis(),
            self.error.message
        );
        let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let body = Bytes::from(format!("{}\n", self.error));
        let mut reply = full_reply(status, TEXT_CONTENT_TYPE, body);
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.2}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                reply.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        reply
    }
}
