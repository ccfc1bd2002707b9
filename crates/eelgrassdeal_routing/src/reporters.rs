//! Which nodes report a replica, and which of them is its owner.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use eelgrassdeal_types::{NodeId, ReplicaId};

use crate::hash::rendezvous_weight;

/// Members that report one replica.
pub const REPORTERS_PER_REPLICA: usize = 8;

/// Time after which a changed membership counts for the limits: 5 s confirmation and 1 s
/// allowance. After that no node acts on the membership before.
pub const MEMBERSHIP_DELAY: Duration = Duration::from_secs(6);

/// Failed reports in a row that make a peer suspected.
const FAILURES_TO_SUSPECT: u32 = 2;

/// Members that report `replica`: the ones with the highest weights, highest first.
pub fn select_reporters(replica: &ReplicaId, members: &[NodeId]) -> Vec<NodeId> {
    let mut weighted: Vec<_> = members
        .iter()
        .map(|member| (rendezvous_weight(replica.as_bytes(), member), member))
        .collect();
    weighted.sort_unstable_by(|left, right| right.cmp(left));
    weighted.truncate(REPORTERS_PER_REPLICA);
    weighted.into_iter().map(|(_, member)| member.clone()).collect()
}

/// Reporters whose reports count for the limit of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VoterSet {
    /// Nodes whose report counts.
    pub voters: BTreeSet<NodeId>,
    /// Number of nodes among which the limit is divided; at least the number of voters.
    pub size: usize,
}

/// Sets of reporters that some node may still act on.
#[derive(Clone, Debug)]
struct FormerSets {
    union: BTreeSet<NodeId>,
    common: BTreeSet<NodeId>,
    until: Instant,
}

/// The reporter set of one replica.
#[derive(Clone, Debug)]
pub struct ReporterSet {
    replica: ReplicaId,
    reporters: Vec<NodeId>,
    former: Option<FormerSets>,
}

impl ReporterSet {
    /// Set of `replica` among `members`, in force at once.
    pub fn new(replica: ReplicaId, members: &[NodeId]) -> Self {
        let reporters = select_reporters(&replica, members);
        Self { replica, reporters, former: None }
    }

    /// Takes over a changed membership that was accepted at `accepted`.
    ///
    /// Until [`MEMBERSHIP_DELAY`] after it, nodes may act on the membership before. So long the
    /// limit is divided by all nodes of both sets, and only nodes that are in both count: one
    /// that enters would otherwise count beside one that another owner still counts.
    pub fn set_members(&mut self, members: &[NodeId], accepted: Instant) {
        let reporters = select_reporters(&self.replica, members);
        if reporters == self.reporters {
            return;
        }
        let before: BTreeSet<_> =
            std::mem::replace(&mut self.reporters, reporters).into_iter().collect();
        let until = accepted + MEMBERSHIP_DELAY;
        self.former = Some(match self.former.take() {
            Some(former) if accepted < former.until => FormerSets {
                union: former.union.union(&before).cloned().collect(),
                common: former.common.intersection(&before).cloned().collect(),
                until,
            },
            _ => FormerSets { union: before.clone(), common: before, until },
        });
    }

    /// Nodes that report, in the order in which they become the owner.
    pub fn reporters(&self) -> &[NodeId] {
        &self.reporters
    }

    /// Nodes whose reports count at `now`, and by how many the limit is divided.
    pub fn voters(&self, now: Instant) -> VoterSet {
        let current: BTreeSet<_> = self.reporters.iter().cloned().collect();
        match &self.former {
            Some(former) if now < former.until => VoterSet {
                voters: former.common.intersection(&current).cloned().collect(),
                size: former.union.union(&current).count(),
            },
            _ => VoterSet { size: current.len(), voters: current },
        }
    }

    /// The owner as `node` sees it: the first reporter that is not suspected.
    pub fn owner(&self, node: &NodeId, suspicion: &PeerSuspicion) -> Option<&NodeId> {
        self.reporters.iter().find(|peer| *peer == node || !suspicion.is_suspected(peer))
    }
}

/// Peers that this node suspects of having failed.
#[derive(Clone, Debug, Default)]
pub struct PeerSuspicion {
    failures: HashMap<NodeId, u32>,
}

impl PeerSuspicion {
    /// Suspects no peer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a call that got no answer in time.
    pub fn record_failure(&mut self, peer: &NodeId) {
        *self.failures.entry(peer.clone()).or_default() += 1;
    }

    /// Notes an answer; the peer is trusted again.
    pub fn record_success(&mut self, peer: &NodeId) {
        self.failures.remove(peer);
    }

    /// Whether two calls in a row failed.
    pub fn is_suspected(&self, peer: &NodeId) -> bool {
        self.failures.get(peer).is_some_and(|count| *count >= FAILURES_TO_SUSPECT)
    }

    /// Suspected peers: the ones to ping until they answer.
    pub fn suspected(&self) -> impl Iterator<Item = &NodeId> {
        self.failures.keys().filter(|peer| self.is_suspected(peer))
    }
}
