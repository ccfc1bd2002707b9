//! HTTP/1.1 server for all listen addresses of the gateway.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use eelgrassdeal_http::{BoundedSocket, discard_unread, reset_connection};
use eelgrassdeal_logging::LogLimiter;
use eelgrassdeal_types::{CallError, ErrorKind};
use futures_util::stream::LocalBoxStream;
use futures_util::{FutureExt, StreamExt};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};

use crate::connection_limit::ConnectionLimit;
use crate::state::{CountGuard, GatewayState};

/// A connection whose other side accepts no byte for this long is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Smallest buffer that hyper accepts for the head of a request.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Delay after a failed accept, for example when no file descriptor is free: open connections may
/// end meanwhile.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Shortest time between two lines on failed accepts.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Body of a response: complete, or a stream.
pub(crate) type ReplyBody =
    Either<Full<Bytes>, StreamBody<LocalBoxStream<'static, io::Result<Frame<Bytes>>>>>;

/// Response to a caller or another node.
pub(crate) type Reply = Response<ReplyBody>;

/// Builds a response with a complete body.
pub(crate) fn full_reply(status: StatusCode, content_type: &'static str, body: Bytes) -> Reply {
    let mut reply = Response::new(Either::Left(Full::new(body)));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

/// Builds a response whose body is a stream. An error of the stream closes the connection without
/// the end of the body, so that the recipient can tell that the response is incomplete.
pub(crate) fn stream_reply(stream: LocalBoxStream<'static, io::Result<Bytes>>) -> Reply {
    let frames = stream.map(|bytes| bytes.map(Frame::data)).boxed_local();
    Response::new(Either::Right(StreamBody::new(frames)))
}

/// Handles the requests that arrive at one listen address.
pub(crate) trait RequestHandler: 'static {
    /// Handles one request.
    fn handle(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Reply>;

    /// Limits for the head of a request: the maximum time until it is received, including the time
    /// for which the connection is idle before it, and its maximum size in bytes.
    fn head_limits(&self) -> (Duration, usize);
}

/// Accepts connections, as far as `limit` permits, until the task is dropped.
pub(crate) async fn accept_connections<H: RequestHandler>(
    state: Rc<GatewayState>,
    listener: TcpListener,
    handler: Rc<H>,
    limit: Rc<ConnectionLimit>,
) {
    let failure_log = LogLimiter::new(FAILURE_LOG_INTERVAL);
    loop {
        let permit = limit.reserve().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let (state, handler) = (state.clone(), handler.clone());
                compio::runtime::spawn(async move {
                    let _permit = permit;
                    let _open = CountGuard::new(&state.connections);
                    serve_connection(stream, handler, state.unflushed.clone()).await;
                })
                .detach();
            }
            Err(error) => {
                if failure_log.is_due(Instant::now()) {
                    log::warn!("event=accept_failed reason=\"{error}\"");
                }
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Answers a request also if its handler panics.
async fn handle_or_report_panic<H: RequestHandler>(
    handler: Rc<H>,
    request: Request<Incoming>,
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

async fn serve_connection<H: RequestHandler>(
    stream: TcpStream,
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
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        version_seen.set(request.version() >= Version::HTTP_11);
        async move { Ok::<_, Infallible>(handle_or_report_panic(handler, request).await) }
    });
    let socket = BoundedSocket::new_plain(stream, WRITE_TIMEOUT).with_unflushed_count(unflushed);
    let ended = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(header_timeout)
        .max_buf_size(max_head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(socket, service)
        .await;
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
