//! Whether a node's configuration is confirmed to be current, and which requests the node may
//! start.
//!
//! A confirmation comes from a read of the store, or from a peer that was confirmed itself.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{NodeId, Revision};

/// Age from which a confirmation is expired.
pub const CONFIRMATION_LIFETIME: Duration = Duration::from_secs(5);

/// A peer counts as unreachable once the last call that it answered was sent this long ago.
pub const PEER_REACHABLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Which requests a node may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServePermission {
    /// All requests.
    Serve,
    /// Idempotent requests only: the configuration is not confirmed although the node reaches a
    /// majority of its peers, so the store is assumed to be down for them as well.
    IdempotentOnly,
    /// No requests: the node has not read the store yet, or it may be partitioned.
    NoNewRequests,
}

/// Tracks when this node's configuration was last known to be current.
///
/// A confirmation is dated to the time at which the read or call was sent, not to the arrival of
/// the answer. Otherwise a node whose process was paused would treat an old answer as current.
#[derive(Debug, Default)]
pub struct ConfirmationState {
    confirmed_at: Option<Instant>,
    has_read_store: bool,
    /// For each peer, when its last answered call was sent; `None` if it has answered none.
    peers: HashMap<NodeId, Option<Instant>>,
}

impl ConfirmationState {
    /// Creates an unconfirmed state without peers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the peers: the other members of the reporter sets that this node belongs to.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = NodeId>) {
        let mut previous = std::mem::take(&mut self.peers);
        self.peers = peers
            .into_iter()
            .map(|peer| {
                let last_answered_sent_at = previous.remove(&peer).flatten();
                (peer, last_answered_sent_at)
            })
            .collect();
    }

    /// Records that this node read the number of the latest revision from the store, and that this
    /// revision is active here. The read began at `sent`.
    pub fn record_store_read(&mut self, sent: Instant) {
        self.has_read_store = true;
        self.confirm(sent);
    }

    /// Records the reply of `peer` to a call sent at `sent`.
    ///
    /// `confirmed_age` is the age of the peer's own confirmation, `None` if it has none. A peer
    /// with a newer revision confirms nothing here until that revision is active here too.
    pub fn record_peer_reply(
        &mut self,
        peer: &NodeId,
        sent: Instant,
        confirmed_age: Option<Duration>,
        peer_revision: Revision,
        own_revision: Revision,
    ) {
        if let Some(last_answered_sent_at) = self.peers.get_mut(peer) {
            *last_answered_sent_at = (*last_answered_sent_at).max(Some(sent));
        }
        match confirmed_age.and_then(|age| sent.checked_sub(age)) {
            Some(at) if peer_revision <= own_revision => self.confirm(at),
            _ => {}
        }
    }

    /// Whether the store was read at least once. Until then the node is not ready.
    pub fn has_read_store(&self) -> bool {
        self.has_read_store
    }

    /// Age of the confirmation; `None` if the configuration was never confirmed.
    pub fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// Whether the confirmation is younger than [`CONFIRMATION_LIFETIME`] at `now`.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        self.confirmed_age(now).is_some_and(|age| age < CONFIRMATION_LIFETIME)
    }

    /// Whether this node and the peers that it reaches are more than half of the node and all its
    /// peers.
    pub fn reaches_majority(&self, now: Instant) -> bool {
        let is_fresh =
            |sent: &Instant| now.saturating_duration_since(*sent) < PEER_REACHABLE_TIMEOUT;
        let reached = self.peers.values().flatten().filter(|sent| is_fresh(sent)).count();
        (reached + 1) * 2 > self.peers.len() + 1
    }

    /// Which requests the node may start at `now`.
    pub fn permission(&self, now: Instant) -> ServePermission {
        match (self.has_read_store, self.is_confirmed(now), self.reaches_majority(now)) {
            (false, _, _) => ServePermission::NoNewRequests,
            (true, true, _) => ServePermission::Serve,
            (true, false, true) => ServePermission::IdempotentOnly,
            (true, false, false) => ServePermission::NoNewRequests,
        }
    }

    fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }
}
