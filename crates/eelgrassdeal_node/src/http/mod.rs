//! The HTTP front end: accepts connections and routes requests, with one task for each connection.

mod body;
mod reply;
mod tls;

use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use compio::tls::TlsAcceptor;
use futures_util::future::{Either, select};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request};

use crate::state::{NodePhase, NodeState};
use crate::{admin, call, chat, locate, service_call};
use eelgrassdeal_http::{
    BoundedSocket, ConnectionEnd, ConnectionPhase, RequestBody, ServerTimeouts, ServerWatch,
    discard_unread, reject_late_head,
};

pub(crate) use body::read_body;
pub(crate) use reply::{
    Reply, error_body, error_reply, full_reply, json_reply, stream_reply, text_reply,
};
pub(crate) use tls::load_tls_acceptor;

/// A connection whose caller accepts no byte for this long is closed. The time is long, so that a
/// caller can stop reading for a while and then continue. It equals the default drain timeout.
const WRITE_TIMEOUT: Duration = Duration::from_secs(600);
const SERVICE_PREFIX: &str = "/v1/services/";

/// Accepts connections until the task is dropped, with TLS if `tls` is present.
pub(crate) async fn accept_connections(
    state: Rc<NodeState>,
    listener: TcpListener,
    tls: Option<TlsAcceptor>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if state.connections.get() < state.limits.max_connections => {
                // Counted here and not in the task, because more connections may be accepted before
                // the task first runs.
                let guard = ConnectionGuard::new(&state);
                let task = serve_connection(state.clone(), guard, stream, tls.clone());
                state.front.tasks.spawn(task);
            }
            Ok((_, address)) => log::warn!("too many connections; closing {address}"),
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                // Usually the process has no free file descriptor; connections may end meanwhile.
                compio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection(
    state: Rc<NodeState>,
    _guard: ConnectionGuard,
    stream: TcpStream,
    tls: Option<TlsAcceptor>,
) {
    // Nagle's algorithm would delay each token until the previous one is acknowledged.
    let _ = stream.set_nodelay(true);
    let limits = state.limits;
    let header_timeout = Duration::from_millis(u64::from(limits.header_timeout_ms));
    let timeouts = ServerTimeouts { idle: header_timeout, head: header_timeout };
    let raw_stream = stream.clone();
    let is_encrypted = tls.is_some();
    let mut watch = ServerWatch::new(stream.clone());
    let socket = match open_socket(stream, tls, header_timeout).await {
        Ok(socket) => socket.with_phase_clock(watch.phase_clock()),
        Err(error) => {
            log::debug!("TLS handshake failed: {error}");
            // Closing a socket with unread bytes resets the connection, and the caller could lose
            // what was sent to it. A caller whose handshake timed out is not waited for any longer.
            if error.kind() != io::ErrorKind::TimedOut {
                discard_unread(raw_stream).await;
            }
            return;
        }
    };
    let (handler_state, phase_clock) = (state.clone(), watch.phase_clock());
    let request_clock = phase_clock.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (state, clock) = (handler_state.clone(), request_clock.clone());
        let request = clock.begin_request(request);
        // hyper reserves the space for this future as long as the connection is open. The handler
        // is boxed, so that this space is small and its memory is freed before a stream begins.
        let is_body_whole = request.body().whole_flag();
        async move {
            let mut reply = Box::pin(route_request(state, request)).await;
            let is_last = !is_body_whole.get();
            ServerWatch::tell_caller(&clock, reply.headers_mut(), timeouts, is_last);
            Ok::<_, Infallible>(reply.map(|body| clock.begin_response(body)))
        }
    });
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.max_header_bytes as usize)
        .serve_connection(socket, service);
    let mut connection = Box::pin(connection);
    let close_signal = std::pin::pin!(state.front.close_signal.wait());
    let ended = {
        let running = std::pin::pin!(watch.run(connection.as_mut(), || timeouts));
        match select(running, close_signal).await {
            Either::Left((end, _)) => Some(end),
            Either::Right(_) => None,
        }
    };
    let end = match ended {
        Some(end) => end,
        None => {
            // hyper would close a connection without requests at once, although its first request may be
            // in transit, and one in the middle of a head. The request is refused, and its response
            // closes the connection.
            let is_in_head = phase_clock.phase() == ConnectionPhase::Head;
            if phase_clock.request_count() > 0 && !is_in_head {
                connection.as_mut().graceful_shutdown();
            }
            watch.run(connection.as_mut(), || timeouts).await
        }
    };
    drop((connection, watch));
    match end {
        // Closing a socket with unread bytes resets the connection, and the caller could lose the
        // response.
        ConnectionEnd::Closed => discard_unread(raw_stream).await,
        ConnectionEnd::LateHead if !is_encrypted => reject_late_head(raw_stream).await,
        ConnectionEnd::LateHead | ConnectionEnd::Idle => {}
        ConnectionEnd::Failed(error) => log::debug!("connection ended: {error}"),
    }
}

/// Wraps a connection for hyper, after the TLS handshake if `tls` is present.
async fn open_socket(
    stream: TcpStream,
    tls: Option<TlsAcceptor>,
    handshake_timeout: Duration,
) -> io::Result<BoundedSocket> {
    let Some(acceptor) = tls else {
        return Ok(BoundedSocket::new_plain(stream, WRITE_TIMEOUT));
    };
    let handshake = BoundedSocket::accept_tls(&acceptor, stream, WRITE_TIMEOUT);
    compio::time::timeout(handshake_timeout, handshake)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Counts a connection in [`NodeState::connections`] until it is dropped.
struct ConnectionGuard(Rc<NodeState>);

impl ConnectionGuard {
    fn new(state: &Rc<NodeState>) -> Self {
        state.connections.set(state.connections.get() + 1);
        Self(state.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get().saturating_sub(1));
    }
}

async fn route_request(state: Rc<NodeState>, request: Request<RequestBody>) -> Reply {
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
            let call_path = path[SERVICE_PREFIX.len()..].to_owned();
            service_call::call_service(&state, request, &call_path, request_id.clone()).await
        }
        (_, path) if path.starts_with("/admin/") => admin::handle_request(&state, request).await,
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
    // Tells callers from the phase `Leaving` on not to reuse their connections.
    if matches!(state.phase.get(), NodePhase::Leaving | NodePhase::Draining) {
        let close = hyper::header::HeaderValue::from_static("close");
        reply.headers_mut().insert("connection", close);
    }
    reply
}
