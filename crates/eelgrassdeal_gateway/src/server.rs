//! Serving of HTTP/1.1 connections.

use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use eelgrassdeal_http::{BoundedSocket, discard_rest};
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};

use crate::state::{CountGuard, GatewayState};

/// A caller that takes no byte for this long is cut off.
const WRITE_PATIENCE: Duration = Duration::from_secs(30);
/// Smallest buffer that hyper accepts for the head of a request.
const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Time for open connections to end when no descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Body of an answer: whole, or a stream.
pub(crate) type ReplyBody =
    Either<Full<Bytes>, StreamBody<LocalBoxStream<'static, io::Result<Frame<Bytes>>>>>;

/// Answer to a caller or another node.
pub(crate) type Reply = Response<ReplyBody>;

/// An answer with a whole body.
pub(crate) fn whole_reply(status: StatusCode, content_type: &'static str, body: Bytes) -> Reply {
    let mut reply = Response::new(Either::Left(Full::new(body)));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

/// An answer whose body is a stream. An error of the stream cuts the connection, so that the answer
/// does not look complete.
pub(crate) fn stream_reply(stream: LocalBoxStream<'static, io::Result<Bytes>>) -> Reply {
    let frames = stream.map(|bytes| bytes.map(Frame::data)).boxed_local();
    Response::new(Either::Right(StreamBody::new(frames)))
}

/// Answers requests of one listener.
pub(crate) trait RequestHandler: 'static {
    /// Answers one request.
    fn answer(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Reply>;

    /// Limits of the connection: time for a head, and its largest size.
    fn head_limits(&self) -> (Duration, usize);
}

/// Accepts connections until the task is dropped.
pub(crate) async fn accept_connections<H: RequestHandler>(
    state: Rc<GatewayState>,
    listener: TcpListener,
    handler: Rc<H>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (state, handler) = (state.clone(), handler.clone());
                compio::runtime::spawn(async move {
                    let _open = CountGuard::new(&state.connections);
                    serve_connection(stream, handler).await;
                })
                .detach();
            }
            Err(error) => {
                log::warn!("event=accept_failed reason=\"{error}\"");
                compio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<H: RequestHandler>(stream: TcpStream, handler: Rc<H>) {
    // An event must not wait for the acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let tail = stream.clone();
    let (header_timeout, max_head_bytes) = handler.head_limits();
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(Box::pin(handler.answer(request)).await) }
    });
    let ended = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(header_timeout)
        .max_buf_size(max_head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(BoundedSocket::new_plain(stream, WRITE_PATIENCE), service)
        .await;
    match ended {
        Ok(()) => discard_rest(tail).await,
        Err(error) => log::debug!("event=connection_ended reason=\"{error}\""),
    }
}
