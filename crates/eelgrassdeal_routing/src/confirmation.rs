//! How long ago the configuration was known to be in force, and what a node may do.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{NodeId, Revision};

/// Age above which a confirmation no longer counts.
pub const CONFIRMATION_LIFETIME: Duration = Duration::from_secs(5);

/// Time since its last answer after which a peer counts as out of reach.
pub const PEER_REACH_LIFETIME: Duration = Duration::from_secs(2);

/// What a node may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServePermission {
    /// All work.
    Serve,
    /// Idempotent work only: the store is down for this node and a majority of its peers.
    IdempotentOnly,
    /// No work: the node may be cut off.
    StartNothing,
}

/// Tracks when this node's configuration was last known to be in force.
///
/// Only moments before a read or a call was sent are used, so that a node that was paused does not
/// take an old answer for a new one.
#[derive(Debug, Default)]
pub struct ConfirmationState {
    confirmed_at: Option<Instant>,
    has_read_store: bool,
    peers: HashMap<NodeId, Option<Instant>>,
}

impl ConfirmationState {
    /// Starts unconfirmed and without peers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the peers: the members of this node's reporter sets without the node itself.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = NodeId>) {
        let mut known = std::mem::take(&mut self.peers);
        self.peers = peers
            .into_iter()
            .map(|peer| {
                let heard = known.remove(&peer).flatten();
                (peer, heard)
            })
            .collect();
    }

    /// Notes that the store's head was read and is in force here; the read began at `sent`.
    pub fn record_store_read(&mut self, sent: Instant) {
        self.has_read_store = true;
        self.confirm(sent);
    }

    /// Notes the answer of `peer` to a call sent at `sent`.
    ///
    /// `confirmed_age` is the age that the peer stated, `None` if it is unconfirmed. A peer that
    /// is confirmed at a newer revision confirms nothing here until that revision is in force.
    pub fn record_peer(
        &mut self,
        peer: &NodeId,
        sent: Instant,
        confirmed_age: Option<Duration>,
        peer_revision: Revision,
        own_revision: Revision,
    ) {
        if let Some(heard) = self.peers.get_mut(peer) {
            *heard = (*heard).max(Some(sent));
        }
        match confirmed_age.and_then(|age| sent.checked_sub(age)) {
            Some(at) if peer_revision <= own_revision => self.confirm(at),
            _ => {}
        }
    }

    /// Whether the store was read at least once; a node is not ready before.
    pub fn has_read_store(&self) -> bool {
        self.has_read_store
    }

    /// Age of the confirmation, `None` if there was none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// Whether the configuration is confirmed at `now`.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < CONFIRMATION_LIFETIME)
    }

    /// Whether this node and the peers it reaches are more than half of them all.
    pub fn reaches_majority(&self, now: Instant) -> bool {
        let is_fresh = |sent: &Instant| now.saturating_duration_since(*sent) < PEER_REACH_LIFETIME;
        let reached = self.peers.values().flatten().filter(|sent| is_fresh(sent)).count();
        (reached + 1) * 2 > self.peers.len() + 1
    }

    /// What the node may start at `now`.
    pub fn permission(&self, now: Instant) -> ServePermission {
        match (self.has_read_store, self.is_confirmed(now), self.reaches_majority(now)) {
            (false, _, _) => ServePermission::StartNothing,
            (true, true, _) => ServePermission::Serve,
            (true, false, true) => ServePermission::IdempotentOnly,
            (true, false, false) => ServePermission::StartNothing,
        }
    }

    fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }
}
