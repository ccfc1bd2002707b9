//! Traffic counters of each peer.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use compio::quic::Connection;
use eelgrassdeal_types::NodeId;

/// Traffic exchanged with one peer since the start of the process, over all connections in both
/// directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerCounters {
    /// Number of messages sent: requests and replies.
    pub messages_sent: u64,
    /// Number of messages received: requests and replies.
    pub messages_received: u64,
    /// Total size of the messages sent, without protocol overhead.
    pub bytes_sent: u64,
    /// Total size of the messages received, without protocol overhead.
    pub bytes_received: u64,
    /// Total size of all UDP datagrams sent: messages, handshakes and acknowledgements.
    pub udp_bytes_sent: u64,
    /// Total size of all UDP datagrams received.
    pub udp_bytes_received: u64,
    /// Number of connections opened or accepted.
    pub connections: u64,
}

/// Counters of all peers, and the open connections whose datagrams are not yet included in them.
#[derive(Clone, Default)]
pub(crate) struct CounterTable {
    counters: Rc<RefCell<BTreeMap<NodeId, PeerCounters>>>,
    open_connections: Rc<RefCell<Vec<(NodeId, Connection)>>>,
}

impl CounterTable {
    pub(crate) fn count_sent(&self, node: &NodeId, bytes: usize) {
        self.update(node, |counters| {
            counters.messages_sent += 1;
            counters.bytes_sent += bytes as u64;
        });
    }

    pub(crate) fn count_received(&self, node: &NodeId, bytes: usize) {
        self.update(node, |counters| {
            counters.messages_received += 1;
            counters.bytes_received += bytes as u64;
        });
    }

    pub(crate) fn add_connection(&self, node: &NodeId, connection: &Connection) {
        self.update(node, |counters| counters.connections += 1);
        self.open_connections.borrow_mut().push((node.clone(), connection.clone()));
    }

    /// Adds the datagrams of a closed connection to the counters of its peer.
    pub(crate) fn remove_connection(&self, connection: &Connection) {
        let id = connection.stable_id();
        let mut open_connections = self.open_connections.borrow_mut();
        let index = open_connections.iter().position(|(_, open)| open.stable_id() == id);
        if let Some(index) = index {
            let (node, connection) = open_connections.swap_remove(index);
            self.update(&node, |counters| add_datagrams(counters, &connection));
        }
    }

    /// Returns the counters of all peers, including the datagrams of open connections.
    pub(crate) fn snapshot(&self) -> BTreeMap<NodeId, PeerCounters> {
        let mut counters = self.counters.borrow().clone();
        for (node, connection) in self.open_connections.borrow().iter() {
            add_datagrams(counters.entry(node.clone()).or_default(), connection);
        }
        counters
    }

    fn update(&self, node: &NodeId, change: impl FnOnce(&mut PeerCounters)) {
        change(self.counters.borrow_mut().entry(node.clone()).or_default());
    }
}

fn add_datagrams(counters: &mut PeerCounters, connection: &Connection) {
    let stats = connection.stats();
    counters.udp_bytes_sent += stats.udp_tx.bytes;
    counters.udp_bytes_received += stats.udp_rx.bytes;
}
