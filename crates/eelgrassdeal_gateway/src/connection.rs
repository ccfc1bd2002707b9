//! One connection that a listen address of the gateway has accepted.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::CompioTimer;
use eelgrassdeal_http::{
    BoundedSocket, ConnectionPhase, PhaseClock, RequestBody, discard_unread, reset_connection,
};
use eelgrassdeal_platform::CallerRequest;
use eelgrassdeal_types::{CallError, ErrorKind};
use futures_util::FutureExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode, Version};

use crate::server::{Reply, RequestHandler, full_reply};

/// A connection whose other side accepts no byte for this long is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Smallest buffer that hyper accepts for the head of a request.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Reports a request without a whole response when its connection ends, also if a panic or the end of
/// the process is the reason.
struct ConnectionReport {
    phase_clock: Rc<PhaseClock>,
    caller: SocketAddr,
    /// Id of the last request.
    request_id: RefCell<Arc<str>>,
    end_reason: RefCell<Option<String>>,
    /// Whether all that was received has a response.
    is_answered: Cell<bool>,
}

impl ConnectionReport {
    fn new(caller: SocketAddr) -> Rc<Self> {
        Rc::new(Self {
            phase_clock: PhaseClock::new(),
            caller,
            request_id: RefCell::new(Arc::from("-")),
            end_reason: RefCell::new(None),
            is_answered: Cell::new(false),
        })
    }

    fn begin_request(&self, request: Request<Incoming>) -> Request<RequestBody> {
        let id = CallerRequest::request_id(request.headers()).unwrap_or_else(|| Arc::from("-"));
        *self.request_id.borrow_mut() = id;
        self.phase_clock.begin_request(request)
    }

    fn record_end(&self, ended: &hyper::Result<()>) {
        let (reason, is_answered) = match ended {
            // Without an error, what arrived after the last response is the rest of its request's body.
            Ok(()) => ("closed".to_owned(), self.phase_clock.phase() == ConnectionPhase::Head),
            // hyper answers what it can't parse.
            Err(error) => (error.to_string(), error.is_parse()),
        };
        *self.end_reason.borrow_mut() = Some(reason);
        self.is_answered.set(is_answered);
    }
}

impl Drop for ConnectionReport {
    fn drop(&mut self) {
        let phase = self.phase_clock.phase();
        if phase == ConnectionPhase::Idle || self.is_answered.get() {
            return;
        }
        metrics::counter!("eelgrassdeal_unanswered_requests_total", "phase" => phase.name())
            .increment(1);
        // The id is that of the request before while the head is incomplete.
        log::info!(
            "event=unanswered caller={} phase={} request_id={} requests={} phase_ms={} reason=\"{}\"",
            self.caller,
            phase.name(),
            self.request_id.borrow(),
            self.phase_clock.request_count(),
            self.phase_clock.since().elapsed().as_millis(),
            self.end_reason.borrow().as_deref().unwrap_or("the task of the connection ended")
        );
    }
}

/// Answers a request also if its handler panics.
async fn handle_or_report_panic<H: RequestHandler>(
    handler: Rc<H>,
    request: Request<RequestBody>,
) -> Reply {
    let reply = AssertUnwindSafe(Box::pin(handler.handle(request))).catch_unwind().await;
    reply.unwrap_or_else(|_| {
        // An upstream may have run the request.
        let error = CallError::new(ErrorKind::Internal, "an unexpected error of the node");
        let response = error.kind.response();
        let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
        full_reply(status, "text/plain", Bytes::from(format!("{error}\n")))
    })
}

/// Serves the requests of one connection until it ends.
pub(crate) async fn serve_connection<H: RequestHandler>(
    stream: TcpStream,
    caller: SocketAddr,
    handler: Rc<H>,
    unflushed: Rc<Cell<u32>>,
) {
    // Without Nagle's algorithm an event of a stream is sent before the previous one is
    // acknowledged.
    let _ = stream.set_nodelay(true);
    let raw_stream = stream.clone();
    let (header_timeout, max_head_bytes) = handler.head_limits();
    let has_chunks = Rc::new(Cell::new(true));
    let version_seen = has_chunks.clone();
    let report = ConnectionReport::new(caller);
    let phase_clock = report.phase_clock.clone();
    let request_report = report.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (handler, phase_clock) = (handler.clone(), request_report.phase_clock.clone());
        version_seen.set(request.version() >= Version::HTTP_11);
        let request = request_report.begin_request(request);
        let is_body_whole = request.body().whole_flag();
        async move {
            let mut reply = handle_or_report_panic(handler, request).await;
            // hyper ends a connection with an unread body, but announces it only sometimes.
            if !is_body_whole.get() {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(reply.map(|body| phase_clock.begin_response(body)))
        }
    });
    let socket = BoundedSocket::new_plain(stream, WRITE_TIMEOUT)
        .with_unflushed_count(unflushed)
        .with_phase_clock(phase_clock);
    let ended = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(header_timeout)
        .max_buf_size(max_head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(socket, service)
        .await;
    report.record_end(&ended);
    match ended {
        // Closing the socket with unread bytes would reset the connection, and the caller could
        // lose the last response.
        Ok(()) => discard_unread(raw_stream).await,
        Err(error) => {
            log::debug!("event=connection_ended reason=\"{error}\"");
            // Without chunks, a plain close would make a response that was cut look complete.
            if !has_chunks.get() {
                reset_connection(raw_stream);
            }
        }
    }
}
