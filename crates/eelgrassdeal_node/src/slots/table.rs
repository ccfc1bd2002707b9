//! All replicas, and the node's own side of the accounting.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_routing::{AdmissionQueue, FailureDetector, ReplicaLimit, SlotHolder, SlotPolicy};
use eelgrassdeal_schema::admin::ReplicaStatus;
use eelgrassdeal_types::{Generation, ModelId, NodeId, ReplicaId};

use super::held::HeldSlot;
use super::replica::{ReplicaEntry, ReplicaTarget};

/// All replicas, and the node's own side of the accounting.
pub(crate) struct SlotTable {
    pub(crate) node: NodeId,
    pub(crate) policy: SlotPolicy,
    pub(crate) holder: SlotHolder,
    pub(crate) queue: AdmissionQueue<HeldSlot>,
    pub(crate) suspicion: FailureDetector,
    pub(crate) replicas: BTreeMap<ReplicaId, ReplicaEntry>,
}

impl SlotTable {
    pub(crate) fn new(node: NodeId, policy: SlotPolicy, max_queued: usize) -> Self {
        Self {
            node,
            policy,
            holder: SlotHolder::new(policy),
            queue: AdmissionQueue::new(max_queued),
            suspicion: FailureDetector::new(),
            replicas: BTreeMap::new(),
        }
    }

    /// Brings the replicas in line with a configuration.
    pub(crate) fn follow(&mut self, fleet: &FleetConfig, now: Instant) {
        let members: Vec<NodeId> =
            fleet.member_nodes().map(|vm| NodeId::from(vm.id.as_str())).collect();
        let mut replicas = BTreeMap::new();
        for group in fleet.groups() {
            if let Some(entry) = ReplicaEntry::of_group(fleet, group, &members) {
                replicas.insert(ReplicaId::from(group.id.as_str()), entry);
            }
        }
        for upstream in fleet.upstreams() {
            let entry = ReplicaEntry::of_upstream(upstream, &members);
            replicas.insert(ReplicaId::from(upstream.id.as_str()), entry);
        }
        let former = std::mem::replace(&mut self.replicas, replicas);
        for (id, old) in former {
            match self.replicas.get_mut(&id) {
                Some(entry) => entry.inherit(old, &members, now),
                None => self.holder.remove_replica(&id),
            }
        }
        let nodes = u32::try_from(members.len()).unwrap_or(1);
        for (id, entry) in &self.replicas {
            let limit = ReplicaLimit {
                slots: entry.slots,
                kv_tokens: entry.settings.kv_tokens,
                nodes,
                address: entry.address.clone(),
                generation: entry.generation,
            };
            self.holder.set_limit(id, &limit);
        }
    }

    /// Owner of each replica that this node reports.
    pub(crate) fn owners(&self) -> BTreeMap<ReplicaId, NodeId> {
        self.replicas
            .iter()
            .filter(|(_, entry)| entry.reporters.reporters().contains(&self.node))
            .filter_map(|(id, entry)| {
                let owner = entry.reporters.owner(&self.node, &self.suspicion)?;
                Some((id.clone(), owner.clone()))
            })
            .collect()
    }

    /// Other members of this node's reporter sets.
    pub(crate) fn peers(&self) -> BTreeSet<NodeId> {
        self.replicas
            .values()
            .map(|entry| entry.reporters.reporters())
            .filter(|reporters| reporters.contains(&self.node))
            .flatten()
            .filter(|peer| **peer != self.node)
            .cloned()
            .collect()
    }

    /// Replicas of a model or service.
    pub(crate) fn candidates(&self, target: &ReplicaTarget) -> Vec<ReplicaId> {
        self.replicas
            .iter()
            .filter(|(_, entry)| entry.target == *target)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Whether this node reports any replica of the target.
    pub(crate) fn reports(&self, node: &NodeId, target: &ReplicaTarget) -> bool {
        self.replicas
            .values()
            .any(|entry| entry.target == *target && entry.reporters.reporters().contains(node))
    }

    /// Groups that this node reports: those that serve, by generation, and those that do not.
    pub(crate) fn group_readiness(
        &self,
        now: Instant,
    ) -> (Vec<(ReplicaId, Generation)>, Vec<ReplicaId>) {
        let (mut ready, mut unready) = (Vec::new(), Vec::new());
        for (id, entry) in &self.replicas {
            let is_reported = !entry.members.is_empty() && self.holder.owner(id).is_some();
            match self.holder.granted_generation(now, id) {
                _ if !is_reported => {}
                Some(generation) if generation == entry.generation => {
                    ready.push((id.clone(), generation));
                }
                _ => unready.push(id.clone()),
            }
        }
        (ready, unready)
    }

    /// Tells the owners how much waits here.
    pub(crate) fn update_demand(&mut self) {
        let targets: BTreeSet<ReplicaTarget> =
            self.replicas.values().map(|entry| entry.target.clone()).collect();
        for target in targets {
            let demand = self.queue.demand(&ModelId::from(target.name()));
            let candidates = self.candidates(&target);
            self.holder.spread_demand(&candidates, demand);
        }
    }

    /// Whether any replica of the target gave this node an allowance, or may do so soon.
    pub(crate) fn has_open_replica(&self, target: &ReplicaTarget) -> bool {
        self.candidates(target).iter().any(|id| self.holder.refusal(id).is_empty())
    }

    /// Every replica for the operators.
    pub(crate) fn statuses(&self, now: Instant) -> Vec<ReplicaStatus> {
        self.replicas
            .iter()
            .map(|(id, entry)| {
                let (in_flight, _) = self.holder.in_flight(id);
                let (remaining, _) = self.holder.remaining(now, id);
                let is_open = self.holder.is_granted(now, id);
                let reason = match (is_open, self.holder.refusal(id)) {
                    (false, "") => "no answer from the owner".to_owned(),
                    (_, refusal) => refusal.to_owned(),
                };
                ReplicaStatus {
                    replica: id.to_string(),
                    model: entry.target.name().to_owned(),
                    generation: entry.generation,
                    serving: is_open,
                    reason,
                    in_flight,
                    slots: in_flight + remaining,
                    owner: self.holder.owner(id).map(ToString::to_string).unwrap_or_default(),
                }
            })
            .collect()
    }
}
