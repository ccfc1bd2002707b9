//! Check of the status that a peer answers a request with.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU32, Ordering};

use bytes::Bytes;
use event_listener::Event;
use futures_util::future::{Either, select};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};

use crate::pool::SendFailure;

/// Maximum number of informational (1xx) responses before the final one.
const MAX_INFORMATIONAL_RESPONSES: u32 = 16;

/// What a request is answered with that has no status a request can be answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StatusFault {
    /// The status line has no number of three digits from 100 on.
    Unreadable,
    /// An upgrade, which no request of ours asks for.
    Upgrade,
    /// A status that is not defined: 600 or more.
    Undefined(StatusCode),
    /// An informational response with this status that no final one follows.
    Informational(u16),
}

impl StatusFault {
    fn label(self) -> &'static str {
        match self {
            Self::Unreadable => "unreadable",
            Self::Upgrade => "upgrade",
            Self::Undefined(_) => "undefined",
            Self::Informational(_) => "informational",
        }
    }

    /// Logs and counts the fault.
    fn record(self, peer: &str) {
        let kind = self.label();
        match self {
            Self::Unreadable | Self::Upgrade => {
                log::info!("event=invalid_status peer={peer} kind={kind}");
            }
            Self::Undefined(status) => {
                log::info!(
                    "event=invalid_status peer={peer} kind={kind} status={}",
                    status.as_u16()
                );
            }
            Self::Informational(status) => {
                log::info!("event=invalid_status peer={peer} kind={kind} status={status}");
            }
        }
        metrics::counter!("eelgrassdeal_invalid_statuses_total", "kind" => kind).increment(1);
    }
}

/// Checks the status of a final response from `peer`, which is 200 to 599. Another one is logged and
/// counted.
///
/// # Errors
///
/// [`SendFailure::InvalidStatus`] for another status.
pub fn check_status(peer: &str, status: StatusCode) -> Result<(), SendFailure> {
    let fault = match status.as_u16() {
        200..=599 => return Ok(()),
        101 => StatusFault::Upgrade,
        informational @ 100..=199 => StatusFault::Informational(informational),
        _ => StatusFault::Undefined(status),
    };
    fault.record(peer);
    Err(SendFailure::InvalidStatus)
}

/// Informational responses to one request.
#[derive(Default)]
struct InformationalResponses {
    count: AtomicU32,
    /// Status of the last one; 0 before the first.
    last_status: AtomicU16,
    /// Whether one was meant as the final response.
    is_final: AtomicBool,
    /// Notified when no further response is waited for.
    ended: Event,
}

impl InformationalResponses {
    fn record(&self, status: StatusCode, headers: &HeaderMap) {
        // RFC 9110 permits neither field in an informational response, which has no body. A peer that sends
        // one ends the exchange with it, and the wait for another response would last until the deadline.
        let is_final =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        self.last_status.store(status.as_u16(), Ordering::Relaxed);
        self.is_final.fetch_or(is_final, Ordering::Relaxed);
        let count = self.count.fetch_add(1, Ordering::Relaxed) + 1;
        if is_final || count > MAX_INFORMATIONAL_RESPONSES {
            self.ended.notify(usize::MAX);
        }
    }
}

/// Checks the heads of all responses to one request, and ends it if none of them is a real answer.
pub struct StatusCheck {
    peer: Arc<str>,
    informational: Arc<InformationalResponses>,
}

/// What hyper returns for a request.
type HyperResult = Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>>;

impl StatusCheck {
    /// Prepares the check of the responses of `peer` to `request`.
    pub fn new(peer: &Arc<str>, request: &mut Request<Full<Bytes>>) -> Self {
        let informational = Arc::new(InformationalResponses::default());
        let responses = informational.clone();
        hyper::ext::on_informational(request, move |response| {
            responses.record(response.status(), response.headers());
        });
        Self { peer: peer.clone(), informational }
    }

    /// Whether there was an informational response, so that the peer has received the request.
    pub(crate) fn has_informational(&self) -> bool {
        self.informational.count.load(Ordering::Relaxed) > 0
    }

    /// Waits for the final response.
    ///
    /// # Errors
    ///
    /// [`SendFailure::InvalidStatus`] if the peer answers without a real status, and
    /// [`SendFailure::MaybeSent`] after too many informational responses. The connection must not be used
    /// again.
    pub async fn wait_for(
        &self,
        response: impl Future<Output = HyperResult>,
    ) -> Result<HyperResult, SendFailure> {
        let ended = self.informational.ended.listen();
        let result = match select(pin!(response), ended).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => return Err(self.end_failure()),
        };
        match &result {
            // Also if another response has arrived by now, so that timing does not decide.
            _ if self.informational.is_final.load(Ordering::Relaxed) => {
                return Err(self.end_failure());
            }
            Ok(response) => check_status(&self.peer, response.status())?,
            Err(error) if error.error().is_parse_status() => {
                StatusFault::Unreadable.record(&self.peer);
                return Err(SendFailure::InvalidStatus);
            }
            Err(_) if self.has_informational() => self.record_informational(),
            Err(_) => {}
        }
        Ok(result)
    }

    /// Failure of a request whose informational responses ended it.
    fn end_failure(&self) -> SendFailure {
        self.record_informational();
        match self.informational.is_final.load(Ordering::Relaxed) {
            true => SendFailure::InvalidStatus,
            false => SendFailure::MaybeSent,
        }
    }

    fn record_informational(&self) {
        let status = self.informational.last_status.load(Ordering::Relaxed);
        StatusFault::Informational(status).record(&self.peer);
    }
}
