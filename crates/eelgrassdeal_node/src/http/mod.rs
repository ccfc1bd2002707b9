//! The HTTP front end: one task for each connection.

mod body;
mod reply;
mod tls;

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use compio::tls::TlsAcceptor;
use cyper_core::CompioTimer;
use futures_util::future::{Either, select};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request};

use crate::state::{NodePhase, NodeState};
use crate::{admin, call, chat, locate, service_call};
use eelgrassdeal_http::{BoundedSocket, discard_unread};

pub(crate) use body::read_body;
pub(crate) use reply::{
    AnswerReply, error_body, error_reply, json_reply, raw_reply, stream_reply, text_reply,
};
pub(crate) use tls::read_acceptor;

/// A caller that takes no byte for this long is cut off. It is as long as the longest drain, so
/// that a caller that stops reading for a while can still read on.
const WRITE_PATIENCE: Duration = Duration::from_secs(600);
const SERVICE_PREFIX: &str = "/v1/services/";

/// Accepts connections, by TLS if there is an acceptor for it, until the task is dropped.
pub(crate) async fn accept_connections(
    state: Rc<NodeState>,
    listener: TcpListener,
    tls: Option<TlsAcceptor>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if state.connections.get() < state.limits.max_connections => {
                // Counted before the task first runs: many connections may be accepted until then.
                let open = OpenConnection::new(&state);
                let task = serve_connection(state.clone(), open, stream, tls.clone());
                state.front.tasks.spawn(task);
            }
            Ok((_, address)) => log::warn!("too many connections; closing {address}"),
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                // Out of file descriptors: waiting lets connections end.
                compio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection(
    state: Rc<NodeState>,
    _open: OpenConnection,
    stream: TcpStream,
    tls: Option<TlsAcceptor>,
) {
    // A token must not wait for the acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let limits = state.limits;
    let header_timeout = Duration::from_millis(u64::from(limits.header_timeout_ms));
    let tail = stream.clone();
    let socket = match open_socket(stream, tls, header_timeout).await {
        Ok(socket) => socket,
        Err(error) => {
            log::debug!("TLS handshake failed: {error}");
            if error.kind() != io::ErrorKind::TimedOut {
                discard_unread(tail).await;
            }
            return;
        }
    };
    let handler_state = state.clone();
    let has_served = Rc::new(Cell::new(false));
    let is_used = has_served.clone();
    let service = service_fn(move |request| {
        let state = handler_state.clone();
        is_used.set(true);
        // hyper keeps the place of this future as long as the connection, so it holds a pointer
        // only; the memory of the handler is freed before a stream begins.
        async move { Ok::<_, Infallible>(Box::pin(route_request(state, request)).await) }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(header_timeout)
        .max_buf_size(limits.max_header_bytes as usize)
        .serve_connection(socket, service);
    let mut connection = std::pin::pin!(connection);
    let closing = std::pin::pin!(state.front.closing.wait());
    let ended = match select(connection.as_mut(), closing).await {
        Either::Left((ended, _)) => ended,
        Either::Right(_) => {
            // hyper would close a new connection at once, although its first request may be on
            // the way. That request is refused, which closes the connection too.
            if has_served.get() {
                connection.as_mut().graceful_shutdown();
            }
            connection.await
        }
    };
    match ended {
        Ok(()) => discard_unread(tail).await,
        Err(error) => log::debug!("connection ended: {error}"),
    }
}

/// Does the TLS handshake if there is an acceptor for it.
async fn open_socket(
    stream: TcpStream,
    tls: Option<TlsAcceptor>,
    handshake_timeout: Duration,
) -> io::Result<BoundedSocket> {
    let Some(acceptor) = tls else {
        return Ok(BoundedSocket::new_plain(stream, WRITE_PATIENCE));
    };
    let handshake = BoundedSocket::accept_tls(&acceptor, stream, WRITE_PATIENCE);
    compio::time::timeout(handshake_timeout, handshake)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Counts a connection while it is open.
struct OpenConnection(Rc<NodeState>);

impl OpenConnection {
    fn new(state: &Rc<NodeState>) -> Self {
        state.connections.set(state.connections.get() + 1);
        Self(state.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get().saturating_sub(1));
    }
}

async fn route_request(state: Rc<NodeState>, request: Request<Incoming>) -> AnswerReply {
    let request_id = call::request_id(request.headers());
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let result = match (method, path.as_str()) {
        (Method::GET, "/healthz") => Ok(text_reply(200, "ok")),
        (Method::GET, "/readyz") => Ok(admin::readiness(&state)),
        (Method::GET, "/metrics") => Ok(admin::metrics_text(&state)),
        (Method::GET, "/v1/locate") => locate::locate(&state, request.uri().query()),
        (Method::POST, "/v1/chat/completions") => {
            chat::complete_chat(&state, request, request_id.clone()).await
        }
        (Method::POST, path) if path.starts_with(SERVICE_PREFIX) => {
            let name = path[SERVICE_PREFIX.len()..].to_owned();
            service_call::call_service(&state, request, &name, request_id.clone()).await
        }
        (_, path) if path.starts_with("/admin/") => admin::answer(&state, request).await,
        _ => Ok(text_reply(404, "no such path")),
    };
    let mut reply = result.unwrap_or_else(|error| {
        metrics::counter!("eelgrassdeal_errors_total", "kind" => error.kind.name()).increment(1);
        log::info!("request_id={request_id} error={error}");
        error_reply(&error, &request_id)
    });
    if let Ok(value) = hyper::header::HeaderValue::from_str(&request_id) {
        reply.headers_mut().insert("x-request-id", value);
    }
    // Callers with idle connections learn during the first phase that they must not use them again.
    if matches!(state.phase.get(), NodePhase::Leaving | NodePhase::Draining) {
        let close = hyper::header::HeaderValue::from_static("close");
        reply.headers_mut().insert("connection", close);
    }
    reply
}
