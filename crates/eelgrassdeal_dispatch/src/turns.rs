//! Turns of client accounts over all nodes of a fleet.
//!
//! It answers an account that sends many times its usual load to a fleet that is full. Each node
//! orders its own queue, and a large account waits at every node, while a small one waits at few. If
//! the accounts only took turns within each node, the large one would have its turn at all of them.
//!
//! Nodes tell each other how many requests of each account they have placed lately. The next turn
//! belongs to the account of which all nodes together have placed the fewest.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use eelgrassdeal_types::{ClientAccountId, NodeId};

use crate::counts::CountScope;

/// Time constant with which placements are forgotten. Reports pass up to three nodes at intervals of
/// 0.35 s, so that a much shorter one would mostly measure their age.
const PLACEMENT_DECAY: Duration = Duration::from_secs(2);
/// Reports older than this are ignored, as those of requests in progress.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);
/// Placements below which an account is not reported: none within about the last 6 s.
const MIN_REPORTED: f64 = 0.05;
/// Most placements of one account that a report can name. A higher number is an error of the sender.
const MAX_REPORTED: f64 = 1e6;
/// An account is over its share if it had more than this multiple of an equal share of all placements.
/// Placements of an account vary by a fifth around their mean within the decay.
const OVER_SHARE_FACTOR: f64 = 1.5;
/// Most accounts that one report can name.
const MAX_REPORTED_ACCOUNTS: usize = 1_000;
/// Turns for one placement, so that fractions of decayed placements are compared.
const TURNS_PER_PLACEMENT: f64 = 1_000.0;

/// Account of a request; `None` for requests without one, which share their turns.
pub type TurnAccount = Option<ClientAccountId>;

/// Number that decays over [`PLACEMENT_DECAY`].
#[derive(Clone, Copy, Debug)]
struct DecayedCount {
    value: f64,
    at: Instant,
}

impl DecayedCount {
    fn value(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.value * (-age / PLACEMENT_DECAY.as_secs_f64()).exp()
    }
}

/// The placements in the last message of one peer.
#[derive(Clone, Debug)]
struct PeerPlacements {
    scope: CountScope,
    received_at: Instant,
    counts: Vec<(TurnAccount, f64)>,
}

/// Recent placements of each account, by this node and by the others.
#[derive(Clone, Debug, Default)]
pub struct AccountTurns {
    own: HashMap<TurnAccount, DecayedCount>,
    peers: HashMap<NodeId, PeerPlacements>,
    over_share: HashSet<TurnAccount>,
}

impl AccountTurns {
    /// Creates turns without placements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that this node placed a request.
    pub fn record_placement(&mut self, account: &TurnAccount, now: Instant) {
        let value = self.own.get(account).map_or(0.0, |count| count.value(now));
        self.own.insert(account.clone(), DecayedCount { value: value + 1.0, at: now });
    }

    /// Replaces the placements that a peer reports.
    pub fn set_peer(
        &mut self,
        peer: &NodeId,
        scope: CountScope,
        counts: Vec<(TurnAccount, f64)>,
        now: Instant,
    ) {
        // A report of the whole fleet includes those of every other peer, as for requests in progress.
        self.peers.retain(|node, entry| {
            let is_overlapping = scope == CountScope::Fleet || entry.scope == CountScope::Fleet;
            node != peer && !is_overlapping && entry.is_fresh(now)
        });
        let is_sound = |count: &f64| count.is_finite() && (0.0..=MAX_REPORTED).contains(count);
        let sound = counts.into_iter().filter(|(_, count)| is_sound(count));
        let counts = sound.take(MAX_REPORTED_ACCOUNTS).collect();
        self.peers.insert(peer.clone(), PeerPlacements { scope, received_at: now, counts });
        self.own.retain(|_, count| count.value(now) >= MIN_REPORTED);
        self.over_share = self.find_over_share(now);
    }

    /// Placements to report in a message of this scope to `recipient`.
    pub fn placements_for(
        &self,
        scope: CountScope,
        recipient: Option<&NodeId>,
        now: Instant,
    ) -> Vec<(TurnAccount, f64)> {
        let is_included = |node: &NodeId, reported_scope: CountScope| match scope {
            CountScope::Node => false,
            CountScope::Hub => reported_scope == CountScope::Node,
            CountScope::Fleet => Some(node) != recipient,
        };
        let mut placements = self.sums(is_included, now);
        placements.retain(|_, count| *count >= MIN_REPORTED);
        let named = placements.into_iter().map(|(account, count)| (account.clone(), count));
        named.take(MAX_REPORTED_ACCOUNTS).collect()
    }

    /// Whether all nodes together placed more requests of this account lately than its share. Such an
    /// account leaves the last room to the others: order within a node does not help a request that
    /// waits at another one. False without reports of other nodes.
    pub fn is_over_share(&self, account: &TurnAccount, now: Instant) -> bool {
        self.over_share.contains(account) && self.has_reports(now)
    }

    /// Number of accounts over their share, as of the last report.
    pub fn over_share_count(&self) -> usize {
        self.over_share.len()
    }

    /// Accounts over their share. Found once for each report: waiting requests are looked at far more
    /// often.
    fn find_over_share(&self, now: Instant) -> HashSet<TurnAccount> {
        let sums = self.sums(|_, _| true, now);
        let count = sums.values().filter(|count| **count >= MIN_REPORTED).count();
        let equal_share = sums.values().sum::<f64>() / count.max(1) as f64;
        sums.into_iter()
            .filter(|(_, placed)| *placed > equal_share * OVER_SHARE_FACTOR)
            .map(|(account, _)| account.clone())
            .collect()
    }

    fn has_reports(&self, now: Instant) -> bool {
        self.peers.values().any(|entry| entry.is_fresh(now) && !entry.counts.is_empty())
    }

    /// The turns now; `None` without reports of other nodes, where each node's own order applies.
    pub(crate) fn current(&self, now: Instant) -> Option<CurrentTurns> {
        if !self.has_reports(now) {
            return None;
        }
        let own: f64 = self.own.values().map(|count| count.value(now)).sum();
        let sums = self.sums(|_, _| true, now);
        let total: f64 = sums.values().sum();
        Some(CurrentTurns {
            // Other nodes are taken to do as this one does until their next report.
            step: total / own.max(1.0),
            placements: sums.into_iter().map(|(account, count)| (account.clone(), count)).collect(),
        })
    }

    fn sums(
        &self,
        is_included: impl Fn(&NodeId, CountScope) -> bool,
        now: Instant,
    ) -> HashMap<&TurnAccount, f64> {
        let mut sums: HashMap<&TurnAccount, f64> =
            self.own.iter().map(|(account, count)| (account, count.value(now))).collect();
        let included = self
            .peers
            .iter()
            .filter(|(node, entry)| entry.is_fresh(now) && is_included(node, entry.scope));
        for (_, entry) in included {
            for (account, value) in &entry.counts {
                let count = DecayedCount { value: *value, at: entry.received_at };
                *sums.entry(account).or_default() += count.value(now);
            }
        }
        sums
    }
}

impl PeerPlacements {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < REPORT_LIFETIME
    }
}

/// Turns of all accounts at one time.
#[derive(Clone, Debug)]
pub(crate) struct CurrentTurns {
    placements: HashMap<TurnAccount, f64>,
    /// Placements of all nodes for each one of this node.
    step: f64,
}

impl CurrentTurns {
    /// Turn of a request of `account` before which `position` others of the account wait at this
    /// node; a lower turn comes first.
    pub(crate) fn turn(&self, account: &TurnAccount, position: usize) -> u64 {
        let placements = self.placements.get(account).copied().unwrap_or(0.0);
        ((placements + position as f64 * self.step) * TURNS_PER_PLACEMENT) as u64
    }
}
