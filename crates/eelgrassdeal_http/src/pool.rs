//! Pool of HTTP/1.1 client connections, by address of the peer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::error::Error;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use compio::net::TcpStream;
use event_listener::Event;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HeaderMap, HeaderName, TRANSFER_ENCODING};
use hyper::{Request, Response};
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};

use crate::discard::reset_connection;
use crate::socket::{BoundedSocket, CLIENT_BUFFER_BYTES};
use crate::status::StatusCheck;

/// Time after which a peer that accepts no byte of a request is treated as hung.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle timeout of a connection whose peer sends no `Keep-Alive: timeout`.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest idle timeout that is taken from a peer.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// A connection expires this long before its idle timeout, so that a request is not sent while the
/// peer closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// A wait of this long for a part of a body shows that all that had arrived before was read.
const CAUGHT_UP_WAIT: Duration = Duration::from_millis(10);
/// Maximum number of idle connections that are kept for one peer.
const MAX_IDLE_PER_PEER: usize = 32;
/// Interval at which expired connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Why a request received no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// The peer's host refused the connection: no process listens on the port.
    Refused,
    /// The peer closed a new connection at once, as one does that has too many; no byte of the request
    /// was sent.
    Closed,
    /// No connection could be used; no byte of the request was sent.
    NotSent,
    /// The number of connections to this peer has reached its limit; no byte of the request was
    /// sent.
    TooManyConnections,
    /// The peer may have received the request, but no usable response was read: the connection
    /// failed, or the response is larger than the limit.
    MaybeSent,
    /// A connection that had served earlier requests ended before the head of a response. Its peer may
    /// have received the request, or have closed the connection as idle.
    ReusedEnded,
    /// The peer answered without a real status (see [`check_status`](crate::check_status)), and may have
    /// run the request.
    InvalidStatus,
    /// The response did not arrive in time; the peer may have received the request.
    TimedOut,
}

impl SendFailure {
    /// Whether it is certain that no byte of the request was sent.
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::Refused | Self::Closed | Self::NotSent | Self::TooManyConnections)
    }
}

/// Timeouts and connection limits of a request.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Timeout for opening a new connection.
    pub connect_timeout: Duration,
    /// A connection that has been idle for this long is not reused. With zero, none is, and the one that
    /// is opened is closed after the response.
    pub max_idle: Duration,
    /// Maximum number of connections to the peer that may be open at the same time.
    pub max_connections: usize,
}

impl Default for SendOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            max_idle: Duration::from_secs(60),
            max_connections: usize::MAX,
        }
    }
}

impl SendOptions {
    /// Sets the idle time from which on a connection is not reused.
    pub fn with_max_idle(mut self, max_idle: Duration) -> Self {
        self.max_idle = max_idle;
        self
    }

    /// Sets the greatest number of open connections to the peer.
    pub fn with_max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Sets the timeout for opening a new connection.
    pub fn with_connect_timeout(mut self, connect_timeout: Duration) -> Self {
        self.connect_timeout = connect_timeout;
        self
    }
}

/// A connection to a peer, and whether it carries a request without a complete response. If it does
/// when it is dropped, it is reset, so that the peer doesn't receive the request later.
struct PeerConnection {
    sender: SendRequest<Full<Bytes>>,
    stream: TcpStream,
    is_busy: Rc<Cell<bool>>,
    _held: CountGuard,
}

impl PeerConnection {
    /// Whether nothing has arrived on an idle connection. Its end, and bytes that belong to no request,
    /// are in the socket before its task has read them.
    fn is_quiet(&self) -> bool {
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        matches!(recv(&self.stream, &mut [0_u8], flags), Err(Errno::AGAIN))
    }
}

struct PooledConnection {
    connection: PeerConnection,
    idle_since: Instant,
    expires: Instant,
}

#[derive(Default)]
struct PeerConnections {
    idle: Vec<PooledConnection>,
    counts: Rc<ConnectionCounts>,
}

/// Numbers of connections to one peer.
#[derive(Default)]
struct ConnectionCounts {
    /// Connections that are being opened, carry a request or are idle.
    held: Rc<Cell<usize>>,
    /// Connections whose sockets are open, which includes those that are being closed.
    open: Rc<Cell<usize>>,
    closed: Event,
}

impl ConnectionCounts {
    async fn wait_for_room(&self, max_connections: usize) {
        while self.open.get() >= max_connections {
            // Nothing runs between the check and the listener, as the counts are of one thread.
            self.closed.listen().await;
        }
    }
}

/// Pool of connections by address of the peer. Clones share the same pool.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    peers: Rc<RefCell<HashMap<Arc<str>, PeerConnections>>>,
    opened: Rc<Cell<u64>>,
}

/// A response that was read completely.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response headers, without trailers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// The head of a response, and the connection on which its body arrives.
///
/// Dropping it before [`Self::release_connection`] resets the connection, which cancels the request at
/// the peer, or before it gets there.
pub struct PooledResponse {
    /// Head of the response, and its body, which [`Self::next_frame`] reads.
    pub inner: Response<Incoming>,
    connection: PeerConnection,
    read_lag: ReadLag,
    is_reusable: bool,
    address: Arc<str>,
    pool: ConnectionPool,
}

/// How far the reader of a response may be behind its peer, whose idle time begins when it has sent
/// the last byte and not when that is read.
struct ReadLag {
    last_read: Instant,
    /// Time without a read since the reader last waited for data.
    unread: Duration,
}

impl ReadLag {
    fn new(last_read: Instant) -> Self {
        Self { last_read, unread: Duration::ZERO }
    }

    fn record_read(&mut self, asked_at: Instant, read_at: Instant) {
        self.unread = match read_at.duration_since(asked_at) >= CAUGHT_UP_WAIT {
            true => Duration::ZERO,
            false => self.unread + asked_at.duration_since(self.last_read),
        };
        self.last_read = read_at;
    }

    /// Earliest time at which the peer may have sent the last byte that was read.
    fn earliest_end(&self, now: Instant) -> Instant {
        self.last_read.checked_sub(self.unread).unwrap_or(now)
    }
}

impl PooledResponse {
    /// Waits for the next part of the body; `None` after the last one.
    pub async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        let asked_at = Instant::now();
        let frame = self.inner.body_mut().frame().await;
        self.read_lag.record_read(asked_at, Instant::now());
        frame
    }

    /// Whether the body has neither a length nor chunks, so that only the end of the connection tells
    /// its end.
    pub fn ends_with_connection(&self) -> bool {
        let is_chunked = has_token(self.inner.headers(), TRANSFER_ENCODING, "chunked");
        !is_chunked && self.inner.body().size_hint().exact().is_none()
    }

    /// Closes the connection after the response.
    pub fn close_after(&mut self) {
        self.is_reusable = false;
    }

    /// Returns the connection to the pool, unless the peer closes it or it must not be reused. The body
    /// must have been read completely.
    pub fn release_connection(self) {
        let headers = self.inner.headers();
        self.connection.is_busy.set(false);
        if self.is_reusable && !is_closing(headers) {
            let idle_timeout = advertised_idle_timeout(headers).unwrap_or(DEFAULT_IDLE_TIMEOUT);
            let idle_since = self.read_lag.earliest_end(Instant::now());
            self.pool.put_idle(&self.address, self.connection, idle_since, idle_timeout);
        }
    }

    /// Reads the complete body, of at most `max_bytes`, and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// [`SendFailure::MaybeSent`] when the body is incomplete or too large.
    pub async fn collect(self, max_bytes: usize) -> Result<BufferedResponse, SendFailure> {
        self.collect_while(async |bytes| bytes <= max_bytes).await
    }

    /// Reads the complete body and returns the connection to the pool. `may_hold` is asked, with the
    /// size that the body then has, before bytes are added to it. No more is read until it has decided.
    ///
    /// # Errors
    ///
    /// [`SendFailure::MaybeSent`] when the body is incomplete, or `may_hold` refused its bytes.
    pub async fn collect_while(
        mut self,
        mut may_hold: impl AsyncFnMut(usize) -> bool,
    ) -> Result<BufferedResponse, SendFailure> {
        let mut body = BytesMut::new();
        while let Some(frame) = self.next_frame().await {
            let frame = frame.map_err(|error| {
                log::debug!("peer={} response body could not be read: {error}", self.address);
                SendFailure::MaybeSent
            })?;
            let Ok(data) = frame.into_data() else { continue };
            if !may_hold(body.len() + data.len()).await {
                log::debug!("peer={} no room for a response body", self.address);
                return Err(SendFailure::MaybeSent);
            }
            body.extend_from_slice(&data);
        }
        let status = self.inner.status().as_u16();
        let headers = self.inner.headers().clone();
        self.release_connection();
        Ok(BufferedResponse { status, headers, body: body.freeze() })
    }
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of connections opened since the pool was created.
    pub fn opened_count(&self) -> u64 {
        self.opened.get()
    }

    /// Sends a request, on an idle connection if there is one, and returns the head of the response.
    ///
    /// # Errors
    ///
    /// [`SendFailure`], which says whether the peer may have received the request. The wait for the
    /// response has no timeout.
    pub async fn send(
        &self,
        address: &Arc<str>,
        request: Request<Full<Bytes>>,
        options: SendOptions,
    ) -> Result<PooledResponse, SendFailure> {
        let mut request = request;
        let check = StatusCheck::new(address, &mut request);
        while let Some(mut connection) = self.take_idle(address, options.max_idle) {
            connection.is_busy.set(true);
            match check.wait_for(connection.sender.try_send_request(request)).await? {
                Ok(response) => return Ok(self.pooled_response(address, connection, response)),
                Err(mut error) => match error.take_message() {
                    // The connection closed before the request was written.
                    Some(unsent) => request = unsent,
                    None => {
                        let error = error.error();
                        log::debug!(
                            "peer={address} request failed on a reused connection: {error}"
                        );
                        return Err(match is_connection_end(error) {
                            true if !check.has_informational() => SendFailure::ReusedEnded,
                            _ => SendFailure::MaybeSent,
                        });
                    }
                },
            }
        }
        let mut connection = self.connect(address, options).await?;
        connection.is_busy.set(true);
        match check.wait_for(connection.sender.try_send_request(request)).await? {
            Ok(response) => {
                let mut response = self.pooled_response(address, connection, response);
                if options.max_idle.is_zero() {
                    response.close_after();
                }
                Ok(response)
            }
            Err(mut error) => {
                log::debug!("peer={address} request failed: {}", error.error());
                match error.take_message() {
                    Some(_) => Err(SendFailure::NotSent),
                    None => Err(SendFailure::MaybeSent),
                }
            }
        }
    }

    /// Opens a connection, and keeps it for a later request if it is still open after `min_age`. This
    /// shows whether the peer still accepts connections: the system closes those that wait in the queue
    /// of a listener with it.
    ///
    /// # Errors
    ///
    /// [`SendFailure`] if there is no new connection, [`SendFailure::Closed`] if the peer closed it.
    pub async fn open_idle(
        &self,
        address: &Arc<str>,
        options: SendOptions,
        min_age: Duration,
    ) -> Result<(), SendFailure> {
        let connection = self.connect(address, options).await?;
        compio::time::sleep(min_age).await;
        if connection.sender.is_closed() {
            return Err(SendFailure::Closed);
        }
        self.put_idle(address, connection, Instant::now(), DEFAULT_IDLE_TIMEOUT);
        Ok(())
    }

    /// Sends a request and reads the complete response, of at most `max_bytes`, within `timeout`.
    ///
    /// # Errors
    ///
    /// [`SendFailure`], which says whether the peer may have received the request.
    pub async fn call(
        &self,
        address: &Arc<str>,
        request: Request<Full<Bytes>>,
        options: SendOptions,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<BufferedResponse, SendFailure> {
        let exchange = async {
            let response = self.send(address, request, options).await?;
            response.collect(max_bytes).await
        };
        compio::time::timeout(timeout, exchange).await.unwrap_or(Err(SendFailure::TimedOut))
    }

    /// Closes expired connections at a fixed interval. Runs until its task is dropped.
    pub async fn sweep(self) {
        loop {
            compio::time::sleep(SWEEP_INTERVAL).await;
            let now = Instant::now();
            self.peers.borrow_mut().retain(|_, peer| {
                peer.idle
                    .retain(|pooled| now < pooled.expires && !pooled.connection.sender.is_closed());
                !peer.idle.is_empty() || peer.counts.held.get() > 0 || peer.counts.open.get() > 0
            });
        }
    }

    fn pooled_response(
        &self,
        address: &Arc<str>,
        connection: PeerConnection,
        inner: Response<Incoming>,
    ) -> PooledResponse {
        PooledResponse {
            inner,
            connection,
            read_lag: ReadLag::new(Instant::now()),
            is_reusable: true,
            address: address.clone(),
            pool: self.clone(),
        }
    }

    fn take_idle(&self, address: &Arc<str>, max_idle: Duration) -> Option<PeerConnection> {
        let now = Instant::now();
        let mut peers = self.peers.borrow_mut();
        let peer = peers.get_mut(address)?;
        peer.idle.retain(|pooled| now < pooled.expires && !pooled.connection.sender.is_closed());
        let is_usable = |pooled: &PooledConnection| {
            pooled.connection.sender.is_ready() && now.duration_since(pooled.idle_since) < max_idle
        };
        while let Some(position) = peer.idle.iter().rposition(is_usable) {
            let connection = peer.idle.remove(position).connection;
            if connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    fn put_idle(
        &self,
        address: &Arc<str>,
        connection: PeerConnection,
        idle_since: Instant,
        idle_timeout: Duration,
    ) {
        let expires = idle_since + idle_timeout.saturating_sub(IDLE_MARGIN);
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(address.clone()).or_default();
        if Instant::now() < expires && peer.idle.len() < MAX_IDLE_PER_PEER {
            peer.idle.push(PooledConnection { connection, idle_since, expires });
        }
    }

    /// Closes the idle connections that leave no room for one more connection, which are of no use to
    /// the request that needs it.
    fn close_excess_idle(
        &self,
        address: &Arc<str>,
        max_connections: usize,
    ) -> Result<Rc<ConnectionCounts>, SendFailure> {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(address.clone()).or_default();
        while peer.counts.held.get() >= max_connections {
            if peer.idle.is_empty() {
                return Err(SendFailure::TooManyConnections);
            }
            peer.idle.remove(0);
        }
        Ok(peer.counts.clone())
    }

    async fn connect(
        &self,
        address: &Arc<str>,
        options: SendOptions,
    ) -> Result<PeerConnection, SendFailure> {
        let counts = self.close_excess_idle(address, options.max_connections)?;
        let held = CountGuard::new(&counts.held);
        // Connections that were given up close within the next turns of their tasks.
        let room = counts.wait_for_room(options.max_connections);
        if compio::time::timeout(options.connect_timeout, room).await.is_err() {
            return Err(SendFailure::TooManyConnections);
        }
        let open = CountGuard::new(&counts.open);
        let Ok(socket_address) = address.parse::<SocketAddr>() else {
            log::warn!("peer={address} is not a socket address");
            return Err(SendFailure::NotSent);
        };
        let connect = TcpStream::connect(socket_address);
        let stream = match compio::time::timeout(options.connect_timeout, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                log::debug!("peer={address} connect failed: {error}");
                return Err(match error.kind() {
                    ErrorKind::ConnectionRefused => SendFailure::Refused,
                    ErrorKind::ConnectionReset => SendFailure::Closed,
                    _ => SendFailure::NotSent,
                });
            }
            Err(_) => return Err(SendFailure::NotSent),
        };
        self.opened.set(self.opened.get() + 1);
        // Requests are small, and Nagle's algorithm would delay them.
        let _ = stream.set_nodelay(true);
        let is_busy = Rc::new(Cell::new(false));
        let socket = BoundedSocket::new_client(stream.clone(), WRITE_TIMEOUT)
            .with_reset_flag(is_busy.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(CLIENT_BUFFER_BYTES)
            .handshake(socket)
            .await
            .map_err(|_| SendFailure::NotSent)?;
        let (was_busy, kept_stream) = (is_busy.clone(), stream.clone());
        compio::runtime::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to a peer ended: {error}");
            }
            if was_busy.get() {
                reset_connection(stream);
            }
            drop(open);
            counts.closed.notify(usize::MAX);
        })
        .detach();
        Ok(PeerConnection { sender, stream: kept_stream, is_busy, _held: held })
    }
}

/// Guard that counts a connection until it is dropped.
struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Whether an error is the end of a connection, and not a response that can't be read.
fn is_connection_end(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    error.is_incomplete_message()
        || source.is_some_and(|source| {
            matches!(source.kind(), io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe)
        })
}

/// Whether the peer closes the connection after this response.
fn is_closing(headers: &HeaderMap) -> bool {
    has_token(headers, CONNECTION, "close")
}

/// Whether a header that holds a list of tokens contains `token`.
fn has_token(headers: &HeaderMap, name: HeaderName, token: &str) -> bool {
    headers
        .get_all(name)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|listed| listed.trim().eq_ignore_ascii_case(token))
}

/// Idle timeout from the peer's `Keep-Alive: timeout=N` header, in seconds there.
fn advertised_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?).min(MAX_IDLE_TIMEOUT))
}
