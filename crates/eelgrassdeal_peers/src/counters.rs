//! What was sent to and received from each peer.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use compio::quic::Connection;
use eelgrassdeal_types::NodeId;

/// Messages and bytes exchanged with one peer since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerCounters {
    /// Messages sent: requests and replies.
    pub messages_sent: u64,
    /// Messages received: requests and replies.
    pub messages_received: u64,
    /// Bytes of the messages sent.
    pub bytes_sent: u64,
    /// Bytes of the messages received.
    pub bytes_received: u64,
    /// Bytes of all UDP datagrams sent: messages, handshakes, acknowledgements.
    pub udp_bytes_sent: u64,
    /// Bytes of all UDP datagrams received.
    pub udp_bytes_received: u64,
    /// Connections opened or accepted.
    pub connections: u64,
}

/// Counters of all peers and the connections that are still counting.
#[derive(Clone, Default)]
pub(crate) struct CounterTable {
    counters: Rc<RefCell<BTreeMap<NodeId, PeerCounters>>>,
    open: Rc<RefCell<Vec<(NodeId, Connection)>>>,
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

    pub(crate) fn open(&self, node: &NodeId, connection: &Connection) {
        self.update(node, |counters| counters.connections += 1);
        self.open.borrow_mut().push((node.clone(), connection.clone()));
    }

    /// Adds the datagrams of a connection that ended.
    pub(crate) fn close(&self, connection: &Connection) {
        let id = connection.stable_id();
        let mut open = self.open.borrow_mut();
        let index = open.iter().position(|(_, known)| known.stable_id() == id);
        if let Some(index) = index {
            let (node, connection) = open.swap_remove(index);
            self.update(&node, |counters| add_datagrams(counters, &connection));
        }
    }

    /// Counters of all peers, including the connections that are open.
    pub(crate) fn snapshot(&self) -> BTreeMap<NodeId, PeerCounters> {
        let mut counters = self.counters.borrow().clone();
        for (node, connection) in self.open.borrow().iter() {
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
