//! Pool of client connections.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpStream;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HeaderMap};
use hyper::{Request, Response};

use crate::socket::{BoundedSocket, UPSTREAM_BUFFER_BYTES};

/// A peer that takes no byte of a request for this long hangs.
const WRITE_PATIENCE: Duration = Duration::from_secs(10);
/// Idle time after which a connection is not reused when its peer states no time of its own.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(900);
/// A connection is given up this long before the idle time that its peer states, so that a request
/// does not meet the peer's close on the way.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Idle connections kept for one peer.
const MAX_IDLE_PER_PEER: usize = 32;
/// Interval of the sweeps that close connections past their idle time.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// The peer's host answered that nothing listens there.
    Refused,
    /// No connection was made; no byte of the request left.
    NotSent,
    /// The number of connections to this peer has reached its limit; no byte left.
    TooManyConnections,
    /// The peer may have received the request.
    MaybeSent,
    /// No answer came in time; the peer may have received the request.
    TimedOut,
}

impl SendFailure {
    /// Whether it is certain that no byte of the request left.
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::Refused | Self::NotSent | Self::TooManyConnections)
    }
}

/// How a request may use connections.
#[derive(Clone, Copy, Debug)]
pub struct SendRule {
    /// Longest time for a new connection.
    pub connect_timeout: Duration,
    /// Longest idle time of a reused connection.
    pub max_idle: Duration,
    /// Most connections to the peer at once.
    pub max_connections: usize,
}

impl Default for SendRule {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            max_idle: Duration::from_secs(60),
            max_connections: usize::MAX,
        }
    }
}

impl SendRule {
    /// Sets the longest idle time of a reused connection.
    pub fn with_max_idle(mut self, max_idle: Duration) -> Self {
        self.max_idle = max_idle;
        self
    }

    /// Sets the limit of connections to the peer.
    pub fn with_max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Sets the longest time for a new connection.
    pub fn with_connect_timeout(mut self, connect_timeout: Duration) -> Self {
        self.connect_timeout = connect_timeout;
        self
    }
}

struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    idle_since: Instant,
    expires: Instant,
}

#[derive(Default)]
struct PeerConnections {
    idle: Vec<PooledConnection>,
    open: Rc<Cell<usize>>,
}

/// Connections by address. Clones share them.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    peers: Rc<RefCell<HashMap<Arc<str>, PeerConnections>>>,
    opened: Rc<Cell<u64>>,
}

/// An answer that was read to its end.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// The head of an answer, and the connection on which its body arrives.
///
/// Dropping it closes the connection, which cancels the request at the peer.
pub struct PooledAnswer {
    /// Head and body.
    pub response: Response<Incoming>,
    connection: Option<SendRequest<Full<Bytes>>>,
    address: Arc<str>,
    pool: ConnectionPool,
}

impl PooledAnswer {
    /// Gives the connection back. Call it only after the body was read to its end.
    pub fn finish(mut self) {
        let headers = self.response.headers();
        let Some(sender) = self.connection.take() else { return };
        if !is_closing(headers) {
            let idle_time = stated_idle_time(headers).unwrap_or(DEFAULT_IDLE_TIME);
            self.pool.put_idle(&self.address, sender, idle_time);
        }
    }

    /// Reads the whole body, of at most `max_bytes`, and gives the connection back.
    ///
    /// # Errors
    ///
    /// [`SendFailure::MaybeSent`] when the body breaks off or is too large.
    pub async fn collect(mut self, max_bytes: usize) -> Result<WholeAnswer, SendFailure> {
        let status = self.response.status().as_u16();
        let headers = self.response.headers().clone();
        let body = Limited::new(self.response.body_mut(), max_bytes).collect().await;
        let body = body.map_err(|error| {
            log::debug!("peer={} answer broke off: {error}", self.address);
            SendFailure::MaybeSent
        })?;
        self.finish();
        Ok(WholeAnswer { status, headers, body: body.to_bytes() })
    }
}

impl ConnectionPool {
    /// A pool without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Sends a request and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// See [`SendFailure`].
    pub async fn send(
        &self,
        address: &Arc<str>,
        request: Request<Full<Bytes>>,
        rule: SendRule,
    ) -> Result<PooledAnswer, SendFailure> {
        let mut request = request;
        while let Some(mut sender) = self.take_idle(address, rule.max_idle) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.answer(address, sender, response)),
                Err(mut error) => match error.take_message() {
                    // The connection closed before the request was written.
                    Some(unsent) => request = unsent,
                    None => {
                        log::debug!("peer={address} request failed: {}", error.error());
                        return Err(SendFailure::MaybeSent);
                    }
                },
            }
        }
        let mut sender = self.connect(address, rule).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(self.answer(address, sender, response)),
            Err(mut error) => {
                log::debug!("peer={address} request failed: {}", error.error());
                match error.take_message() {
                    Some(_) => Err(SendFailure::NotSent),
                    None => Err(SendFailure::MaybeSent),
                }
            }
        }
    }

    /// Sends a request and reads the whole answer within `timeout`.
    ///
    /// # Errors
    ///
    /// See [`SendFailure`].
    pub async fn call(
        &self,
        address: &Arc<str>,
        request: Request<Full<Bytes>>,
        rule: SendRule,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<WholeAnswer, SendFailure> {
        let exchange = async {
            let answer = self.send(address, request, rule).await?;
            answer.collect(max_bytes).await
        };
        compio::time::timeout(timeout, exchange).await.unwrap_or(Err(SendFailure::TimedOut))
    }

    /// Closes connections past their idle time, until the task is dropped.
    pub async fn sweep(self) {
        loop {
            compio::time::sleep(SWEEP_INTERVAL).await;
            let now = Instant::now();
            self.peers.borrow_mut().retain(|_, peer| {
                peer.idle.retain(|known| now < known.expires && !known.sender.is_closed());
                !peer.idle.is_empty() || peer.open.get() > 0
            });
        }
    }

    fn answer(
        &self,
        address: &Arc<str>,
        sender: SendRequest<Full<Bytes>>,
        response: Response<Incoming>,
    ) -> PooledAnswer {
        PooledAnswer {
            response,
            connection: Some(sender),
            address: address.clone(),
            pool: self.clone(),
        }
    }

    fn take_idle(
        &self,
        address: &Arc<str>,
        max_idle: Duration,
    ) -> Option<SendRequest<Full<Bytes>>> {
        let now = Instant::now();
        let mut peers = self.peers.borrow_mut();
        let peer = peers.get_mut(address)?;
        peer.idle.retain(|known| now < known.expires && !known.sender.is_closed());
        let is_usable = |known: &PooledConnection| {
            known.sender.is_ready() && now.duration_since(known.idle_since) <= max_idle
        };
        let position = peer.idle.iter().rposition(is_usable)?;
        Some(peer.idle.remove(position).sender)
    }

    fn put_idle(&self, address: &Arc<str>, sender: SendRequest<Full<Bytes>>, idle_time: Duration) {
        let now = Instant::now();
        let expires = now + idle_time.saturating_sub(IDLE_MARGIN);
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(address.clone()).or_default();
        if peer.idle.len() < MAX_IDLE_PER_PEER {
            peer.idle.push(PooledConnection { sender, idle_since: now, expires });
        }
    }

    async fn connect(
        &self,
        address: &Arc<str>,
        rule: SendRule,
    ) -> Result<SendRequest<Full<Bytes>>, SendFailure> {
        let open = self.peers.borrow_mut().entry(address.clone()).or_default().open.clone();
        if open.get() >= rule.max_connections {
            return Err(SendFailure::TooManyConnections);
        }
        let open = OpenConnection::new(open);
        let Ok(socket_address) = address.parse::<SocketAddr>() else {
            log::warn!("peer={address} is not an address");
            return Err(SendFailure::NotSent);
        };
        let connect = TcpStream::connect(socket_address);
        let stream = match compio::time::timeout(rule.connect_timeout, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Err(SendFailure::Refused);
            }
            Ok(Err(error)) => {
                log::debug!("peer={address} connect failed: {error}");
                return Err(SendFailure::NotSent);
            }
            Err(_) => return Err(SendFailure::NotSent),
        };
        self.opened.set(self.opened.get() + 1);
        // Requests are small; waiting to fill a segment only delays them.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(UPSTREAM_BUFFER_BYTES)
            .handshake(BoundedSocket::new_plain(stream, WRITE_PATIENCE))
            .await
            .map_err(|_| SendFailure::NotSent)?;
        compio::runtime::spawn(async move {
            let _open = open;
            if let Err(error) = connection.await {
                log::debug!("connection to a peer ended: {error}");
            }
        })
        .detach();
        Ok(sender)
    }
}

/// Counts a connection while it is open.
struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    fn new(open: Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

fn is_closing(headers: &HeaderMap) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Idle time from a `Keep-Alive: timeout=N` header.
fn stated_idle_time(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}
