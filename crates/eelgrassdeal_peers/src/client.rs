//! Client side of the peer protocol: sends requests and reuses one connection per peer.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::quic::{Connection, Endpoint, VarInt};
use eelgrassdeal_schema::peer::{PeerReply, PeerRequest};
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_types::NodeId;
use error_stack::{Report, ResultExt};
use futures_util::lock::Mutex;

use crate::counters::{CounterTable, PeerCounters};
use crate::message::{MessageSender, read_message};
use crate::{MAX_MESSAGE_BYTES, PeerError};

/// Id and address of a peer to call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Node id. The peer must present a certificate for this id.
    pub node: NodeId,
    /// UDP address on which the peer accepts QUIC connections.
    pub address: SocketAddr,
}

/// State of the connection to one peer.
#[derive(Default)]
struct PeerConnection {
    /// The open connection and the address to which it was opened. The lock is held while a
    /// connection is opened, so that concurrent calls open only one.
    connection: Mutex<Option<(SocketAddr, Connection)>>,
}

/// Calls peers. The first call to a peer opens a connection, which later calls reuse.
#[derive(Clone)]
pub struct PeerClient {
    endpoint: Endpoint,
    timeout: Duration,
    connections: Rc<RefCell<HashMap<NodeId, Rc<PeerConnection>>>>,
    counters: CounterTable,
}

impl PeerClient {
    pub(crate) fn new(endpoint: Endpoint, timeout: Duration, counters: CounterTable) -> Self {
        Self { endpoint, timeout, connections: Rc::default(), counters }
    }

    /// Sends a request and waits for the reply. The request timeout covers the complete call,
    /// including the handshake of a new connection.
    ///
    /// A reply that is read after the timeout, because this process was paused, is discarded.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`]. Only `Connect`, and `TooLarge` for a request above
    /// [`MAX_MESSAGE_BYTES`], guarantee that the peer did not handle the request.
    pub async fn call(
        &self,
        peer: &PeerAddress,
        request: PeerRequest,
    ) -> Result<PeerReply, Report<PeerError>> {
        let message = encode_message(&request);
        if message.len() > MAX_MESSAGE_BYTES {
            return Err(Report::new(PeerError::TooLarge));
        }
        let started = Instant::now();
        let exchange = self.exchange(peer, message, started);
        let reply = compio::time::timeout(self.timeout, exchange).await;
        if started.elapsed() > self.timeout {
            return Err(Report::new(PeerError::Timeout).attach(peer.node.to_string()));
        }
        let reply = reply.change_context(PeerError::Timeout)??;
        match reply.node == *peer.node {
            true => Ok(reply),
            false => Err(Report::new(PeerError::WrongNode).attach(peer.node.to_string())),
        }
    }

    /// Messages and bytes exchanged with each peer, including requests received from it.
    pub fn counters(&self) -> BTreeMap<NodeId, PeerCounters> {
        self.counters.snapshot()
    }

    /// Closes the connection to `node`. Intended for a peer that was removed from the register.
    pub fn remove_peer(&self, node: &NodeId) {
        let peer = self.connections.borrow_mut().remove(node);
        if let Some(mut current) = peer.as_ref().and_then(|peer| peer.connection.try_lock()) {
            self.close_connection(&mut current);
        }
    }

    pub(crate) fn remove_all_peers(&self) {
        let nodes: Vec<_> = self.connections.borrow().keys().cloned().collect();
        nodes.iter().for_each(|node| self.remove_peer(node));
    }

    async fn exchange(
        &self,
        peer: &PeerAddress,
        message: bytes::Bytes,
        started: Instant,
    ) -> Result<PeerReply, Report<PeerError>> {
        let connection = self.connection(peer).await?;
        let received_before = connection.stats().udp_rx.datagrams;
        let mut guard =
            DeadConnectionGuard { connection: &connection, received_before, has_reply: false };
        let (sender, mut receiver) =
            connection.open_bi_wait().await.change_context(PeerError::ConnectionLost)?;
        self.counters.count_sent(&peer.node, message.len());
        let mut sender = MessageSender::new(sender);
        sender.write(message).await?;
        let reply = read_message(&mut receiver).await?;
        guard.has_reply = true;
        self.counters.count_received(&peer.node, reply.len());
        log::trace!("peer {} replied after {:?}", peer.node, started.elapsed());
        decode_message(&reply).change_context(PeerError::Malformed)
    }

    /// Returns the open connection to `peer`. Opens a new one if there is none, if it was closed,
    /// or if the address of the peer has changed.
    async fn connection(&self, peer: &PeerAddress) -> Result<Connection, Report<PeerError>> {
        let peer_connection =
            self.connections.borrow_mut().entry(peer.node.clone()).or_default().clone();
        let mut current = peer_connection.connection.lock().await;
        match &*current {
            Some((address, connection))
                if *address == peer.address && connection.close_reason().is_none() =>
            {
                return Ok(connection.clone());
            }
            _ => self.close_connection(&mut current),
        }
        let connection = self
            .endpoint
            .connect(peer.address, &peer.node, None)
            .change_context(PeerError::Connect)?
            .await
            .change_context(PeerError::Connect)?;
        self.counters.add_connection(&peer.node, &connection);
        *current = Some((peer.address, connection.clone()));
        Ok(connection)
    }

    fn close_connection(&self, current: &mut Option<(SocketAddr, Connection)>) {
        if let Some((_, connection)) = current.take() {
            self.counters.remove_connection(&connection);
            connection.close(VarInt::from_u32(0), b"");
        }
    }
}

/// Closes the connection if a call ends without a reply and no datagram was received during it, so
/// that the next call opens a new connection. A peer that restarted has lost the connection's state
/// and cannot close it in an orderly way.
struct DeadConnectionGuard<'a> {
    connection: &'a Connection,
    /// Datagrams received on the connection when the call started.
    received_before: u64,
    has_reply: bool,
}

impl Drop for DeadConnectionGuard<'_> {
    fn drop(&mut self) {
        let is_silent = self.connection.stats().udp_rx.datagrams == self.received_before;
        if !self.has_reply && is_silent {
            self.connection.close(VarInt::from_u32(0), b"no answer");
        }
    }
}
