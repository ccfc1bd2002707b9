//! Calls to peers.

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

/// A peer and where it listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Node id; the peer's certificate must be for it.
    pub node: NodeId,
    /// QUIC address.
    pub address: SocketAddr,
}

/// The connection to one peer, if one is open.
#[derive(Default)]
struct PeerSlot {
    connection: Mutex<Option<(SocketAddr, Connection)>>,
}

/// Calls peers over one kept connection each, opened at the first call.
#[derive(Clone)]
pub struct PeerClient {
    endpoint: Endpoint,
    timeout: Duration,
    slots: Rc<RefCell<HashMap<NodeId, Rc<PeerSlot>>>>,
    counters: CounterTable,
}

impl PeerClient {
    pub(crate) fn new(endpoint: Endpoint, timeout: Duration, counters: CounterTable) -> Self {
        Self { endpoint, timeout, slots: Rc::default(), counters }
    }

    /// Sends a request and waits for the reply, in all for at most the request timeout.
    ///
    /// A reply that is handed over later than that, because this process was paused, is dropped.
    ///
    /// # Errors
    ///
    /// [`PeerError`]. Only after `Connect` and `TooLarge` it is certain that the peer did not
    /// handle the request.
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

    /// Messages and bytes by peer, in both directions.
    pub fn counters(&self) -> BTreeMap<NodeId, PeerCounters> {
        self.counters.snapshot()
    }

    /// Closes the connection to `node`, for a peer that left the register.
    pub fn forget(&self, node: &NodeId) {
        let slot = self.slots.borrow_mut().remove(node);
        if let Some(mut open) = slot.as_ref().and_then(|slot| slot.connection.try_lock()) {
            self.drop_connection(&mut open);
        }
    }

    pub(crate) fn forget_all(&self) {
        let nodes: Vec<_> = self.slots.borrow().keys().cloned().collect();
        nodes.iter().for_each(|node| self.forget(node));
    }

    async fn exchange(
        &self,
        peer: &PeerAddress,
        message: bytes::Bytes,
        started: Instant,
    ) -> Result<PeerReply, Report<PeerError>> {
        let connection = self.connection(peer).await?;
        let received = connection.stats().udp_rx.datagrams;
        let mut guard = DeadConnectionGuard { connection: &connection, received, is_done: false };
        let (sender, mut receiver) =
            connection.open_bi_wait().await.change_context(PeerError::ConnectionLost)?;
        self.counters.count_sent(&peer.node, message.len());
        let mut sender = MessageSender::new(sender);
        sender.write(message).await?;
        let reply = read_message(&mut receiver).await?;
        guard.is_done = true;
        self.counters.count_received(&peer.node, reply.len());
        log::trace!("peer {} answered after {:?}", peer.node, started.elapsed());
        decode_message(&reply).change_context(PeerError::Malformed)
    }

    /// The open connection, or a new one if there is none, it is dead or the address changed.
    async fn connection(&self, peer: &PeerAddress) -> Result<Connection, Report<PeerError>> {
        let slot = self.slots.borrow_mut().entry(peer.node.clone()).or_default().clone();
        let mut open = slot.connection.lock().await;
        match &*open {
            Some((address, connection))
                if *address == peer.address && connection.close_reason().is_none() =>
            {
                return Ok(connection.clone());
            }
            _ => self.drop_connection(&mut open),
        }
        let connection = self
            .endpoint
            .connect(peer.address, &peer.node, None)
            .change_context(PeerError::Connect)?
            .await
            .change_context(PeerError::Connect)?;
        self.counters.open(&peer.node, &connection);
        *open = Some((peer.address, connection.clone()));
        Ok(connection)
    }

    fn drop_connection(&self, open: &mut Option<(SocketAddr, Connection)>) {
        if let Some((_, connection)) = open.take() {
            self.counters.close(&connection);
            connection.close(VarInt::from_u32(0), b"");
        }
    }
}

/// Closes a connection on which nothing came back while a call waited, so that the next call
/// opens a new one: a peer that restarted does not know the connection and cannot say so.
struct DeadConnectionGuard<'a> {
    connection: &'a Connection,
    received: u64,
    is_done: bool,
}

impl Drop for DeadConnectionGuard<'_> {
    fn drop(&mut self) {
        let is_silent = self.connection.stats().udp_rx.datagrams == self.received;
        if !self.is_done && is_silent {
            self.connection.close(VarInt::from_u32(0), b"no answer");
        }
    }
}
