//! HTTP/1.1 server for all listen addresses of the gateway.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpListener;
use eelgrassdeal_http::{RequestBody, ServerTimeouts};
use eelgrassdeal_logging::LogLimiter;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};

use crate::connection::serve_connection;
use crate::connection_limit::ConnectionLimit;
use crate::state::{CountGuard, GatewayState};

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
    fn handle(self: Rc<Self>, request: Request<RequestBody>) -> impl Future<Output = Reply>;

    /// How long connections wait for their callers.
    fn timeouts(&self) -> ServerTimeouts;

    /// Maximum size of a request's head in bytes.
    fn max_head_bytes(&self) -> usize;
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
            Ok((stream, caller)) => {
                let (state, handler) = (state.clone(), handler.clone());
                compio::runtime::spawn(async move {
                    let _permit = permit;
                    let _open = CountGuard::new(&state.connections);
                    serve_connection(stream, caller, handler, state.clone()).await;
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
