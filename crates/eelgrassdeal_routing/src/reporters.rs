//! Selects the nodes that send reports about a replica (its reporters) and the owner among them.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use eelgrassdeal_types::{NodeId, ReplicaId};

use crate::hash::rendezvous_weight;

/// Number of reporters of one replica.
pub const REPORTERS_PER_REPLICA: usize = 8;

/// Time after which a changed membership fully applies to the division of limits: 5 s for the
/// lifetime of a confirmation and 1 s for that of an allowance. After that no node acts on the
/// previous membership.
pub const MEMBERSHIP_DELAY: Duration = Duration::from_secs(6);

/// Number of consecutive failed calls after which a peer is suspected.
const FAILURES_TO_SUSPECT: u32 = 2;

/// Reporters of `replica`: the members with the highest rendezvous weights, highest first.
pub fn select_reporters(replica: &ReplicaId, members: &[NodeId]) -> Vec<NodeId> {
    let mut weighted: Vec<_> = members
        .iter()
        .map(|member| (rendezvous_weight(replica.as_bytes(), member), member))
        .collect();
    weighted.sort_unstable_by(|left, right| right.cmp(left));
    weighted.truncate(REPORTERS_PER_REPLICA);
    weighted.into_iter().map(|(_, member)| member.clone()).collect()
}

/// Nodes that may vote for an owner of a replica. An owner may grant at most the fraction
/// (number of votes) / `limit_divisor` of the limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VoterSet {
    /// Nodes whose report counts as a vote for the owner that received it.
    pub voters: BTreeSet<NodeId>,
    /// Number of nodes whose votes this owner or any other owner may count. It exceeds the number
    /// of `voters` while a membership change takes effect, see [`ReporterSet::set_members`].
    pub limit_divisor: usize,
}

/// Earlier sets of reporters that some node may still act on.
#[derive(Clone, Debug)]
struct PreviousSets {
    union: BTreeSet<NodeId>,
    common: BTreeSet<NodeId>,
    valid_until: Instant,
}

/// Reporters of one replica, including the previous ones while a membership change takes effect.
#[derive(Clone, Debug)]
pub struct ReporterSet {
    replica: ReplicaId,
    reporters: Vec<NodeId>,
    previous: Option<PreviousSets>,
}

impl ReporterSet {
    /// Selects the reporters of `replica` from `members`, effective immediately.
    pub fn new(replica: ReplicaId, members: &[NodeId]) -> Self {
        let reporters = select_reporters(&replica, members);
        Self { replica, reporters, previous: None }
    }

    /// Applies a changed membership. `accepted_at` is when the store accepted the change, or a
    /// later time, such as that at which this node applies the change.
    ///
    /// For [`MEMBERSHIP_DELAY`] after `accepted_at`, some nodes may act on the previous membership.
    /// During this time the limit is divided by the number of nodes in either set, and only nodes
    /// in both sets vote. Otherwise a new reporter could vote for one owner while another owner
    /// still counts the vote of the node that it replaces.
    pub fn set_members(&mut self, members: &[NodeId], accepted_at: Instant) {
        let reporters = select_reporters(&self.replica, members);
        if reporters == self.reporters {
            return;
        }
        let previous_reporters: BTreeSet<_> =
            std::mem::replace(&mut self.reporters, reporters).into_iter().collect();
        let valid_until = accepted_at + MEMBERSHIP_DELAY;
        self.previous = Some(match self.previous.take() {
            Some(previous) if accepted_at < previous.valid_until => PreviousSets {
                union: previous.union.union(&previous_reporters).cloned().collect(),
                common: previous.common.intersection(&previous_reporters).cloned().collect(),
                valid_until,
            },
            _ => PreviousSets {
                union: previous_reporters.clone(),
                common: previous_reporters,
                valid_until,
            },
        });
    }

    /// Current reporters, in order of precedence as the owner.
    pub fn reporters(&self) -> &[NodeId] {
        &self.reporters
    }

    /// Nodes that may vote at `now`, and the divisor of the limit.
    pub fn voters(&self, now: Instant) -> VoterSet {
        let current: BTreeSet<_> = self.reporters.iter().cloned().collect();
        match &self.previous {
            Some(previous) if now < previous.valid_until => VoterSet {
                voters: previous.common.intersection(&current).cloned().collect(),
                limit_divisor: previous.union.union(&current).count(),
            },
            _ => VoterSet { limit_divisor: current.len(), voters: current },
        }
    }

    /// The owner as seen by `node`: the first reporter that `node` does not suspect. A node never
    /// suspects itself.
    pub fn owner(&self, node: &NodeId, failure_detector: &FailureDetector) -> Option<&NodeId> {
        self.reporters.iter().find(|peer| *peer == node || !failure_detector.is_suspected(peer))
    }
}

/// Peers that this node suspects of having failed, because calls to them were not answered.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    failures: HashMap<NodeId, u32>,
}

impl FailureDetector {
    /// Creates a detector that suspects no peer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a call that was not answered in time.
    pub fn record_failure(&mut self, peer: &NodeId) {
        *self.failures.entry(peer.clone()).or_default() += 1;
    }

    /// Records an answered call, which clears the suspicion of `peer`.
    pub fn record_success(&mut self, peer: &NodeId) {
        self.failures.remove(peer);
    }

    /// Whether the last two or more calls to `peer` failed.
    pub fn is_suspected(&self, peer: &NodeId) -> bool {
        self.failures.get(peer).is_some_and(|count| *count >= FAILURES_TO_SUSPECT)
    }

    /// Suspected peers. The caller pings them until they answer.
    pub fn suspected(&self) -> impl Iterator<Item = &NodeId> {
        self.failures.keys().filter(|peer| self.is_suspected(peer))
    }
}
