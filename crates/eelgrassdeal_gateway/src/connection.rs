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
use eelgrassdeal_http::{
    BoundedSocket, ConnectionEnd, ConnectionPhase, PhaseClock, RequestBody, ServerWatch,
    discard_unread, reject_late_head, reset_connection,
};
use eelgrassdeal_platform::CallerRequest;
use eelgrassdeal_types::{CallError, ErrorKind};
use futures_util::FutureExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode, Version};

use crate::server::{Reply, RequestHandler, full_reply};
use crate::state::GatewayState;

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
    fn new(caller: SocketAddr, phase_clock: Rc<PhaseClock>) -> Rc<Self> {
        Rc::new(Self {
            phase_clock,
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

    fn record_end(&self, end: &ConnectionEnd) {
        let (reason, is_answered) = match end {
            // Without an error, what arrived after the last response is the rest of its request's body.
            ConnectionEnd::Closed => {
                ("closed".to_owned(), self.phase_clock.phase() == ConnectionPhase::Head)
            }
            ConnectionEnd::Idle => ("idle".to_owned(), true),
            ConnectionEnd::LateHead => ("the head is late".to_owned(), true),
            // hyper answers what it can't parse.
            ConnectionEnd::Failed(error) => (error.to_string(), error.is_parse()),
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
    state: Rc<GatewayState>,
) {
    // Without Nagle's algorithm an event of a stream is sent before the previous one is
    // acknowledged.
    let _ = stream.set_nodelay(true);
    let raw_stream = stream.clone();
    let max_head_bytes = handler.max_head_bytes();
    let has_chunks = Rc::new(Cell::new(true));
    let version_seen = has_chunks.clone();
    let mut watch = ServerWatch::new(stream.clone()).with_head_count(state.heads.clone());
    let report = ConnectionReport::new(caller, watch.phase_clock());
    let (service_report, service_handler) = (report.clone(), handler.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (report, handler) = (service_report.clone(), service_handler.clone());
        version_seen.set(request.version() >= Version::HTTP_11);
        let request = report.begin_request(request);
        async move {
            let is_body_whole = request.body().whole_flag();
            let mut reply = handle_or_report_panic(handler.clone(), request).await;
            // hyper ends a connection with an unread body, and keeps the limit that it began with.
            let is_last = !is_body_whole.get() || handler.max_head_bytes() != max_head_bytes;
            let clock = &report.phase_clock;
            ServerWatch::tell_caller(clock, reply.headers_mut(), handler.timeouts(), is_last);
            Ok::<_, Infallible>(reply.map(|body| clock.begin_response(body)))
        }
    });
    let socket = BoundedSocket::new_plain(stream, WRITE_TIMEOUT)
        .with_unflushed_count(state.unflushed.clone())
        .with_phase_clock(watch.phase_clock());
    let end = {
        let connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(max_head_bytes.max(MIN_HEAD_BYTES))
            .serve_connection(socket, service);
        watch.run(std::pin::pin!(connection), || handler.timeouts()).await
    };
    drop(watch);
    report.record_end(&end);
    match end {
        // Closing the socket with unread bytes would reset the connection, and the caller could
        // lose the last response.
        ConnectionEnd::Closed => discard_unread(raw_stream).await,
        ConnectionEnd::Idle => {
            metrics::counter!("eelgrassdeal_idle_connections_ended_total").increment(1);
        }
        ConnectionEnd::LateHead => {
            metrics::counter!("eelgrassdeal_late_heads_total").increment(1);
            log::info!(
                "event=late_head caller={caller} requests={}",
                report.phase_clock.request_count()
            );
            reject_late_head(raw_stream).await;
        }
        ConnectionEnd::Failed(error) => {
            log::debug!("event=connection_ended reason=\"{error}\"");
            // Without chunks, a plain close would make a response that was cut look complete.
            if !has_chunks.get() {
                reset_connection(raw_stream);
            }
        }
    }
}
