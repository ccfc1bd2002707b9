//! State of all replicas, and the slots and waiting requests of this node.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_routing::{AdmissionQueue, FailureDetector, ReplicaLimit, SlotHolder, SlotPolicy};
use eelgrassdeal_schema::admin::ReplicaStatus;
use eelgrassdeal_types::{Generation, ModelId, NodeId, ReplicaId};

use super::held_slot::HeldSlot;
use super::replica::{ReplicaEntry, ReplicaTarget};

/// State of all replicas, and the slots and waiting requests of this node.
pub(crate) struct SlotTable {
    pub(crate) node: NodeId,
    pub(crate) policy: SlotPolicy,
    /// Allowances and requests in flight of this node.
    pub(crate) holder: SlotHolder,
    /// Requests of this node that wait for a slot.
    pub(crate) queue: AdmissionQueue<HeldSlot>,
    pub(crate) failure_detector: FailureDetector,
    pub(crate) replicas: BTreeMap<ReplicaId, ReplicaEntry>,
}

impl SlotTable {
    pub(crate) fn new(node: NodeId, policy: SlotPolicy, max_queued: usize) -> Self {
        Self {
            node,
            policy,
            holder: SlotHolder::new(policy),
            queue: AdmissionQueue::new(max_queued),
            failure_detector: FailureDetector::new(),
            replicas: BTreeMap::new(),
        }
    }

    /// Replaces the replicas by those of `fleet`, and keeps the state of replicas that still exist.
    pub(crate) fn apply_config(&mut self, fleet: &FleetConfig, now: Instant) {
        let member_nodes: Vec<NodeId> =
            fleet.member_nodes().map(|vm| NodeId::from(vm.id.as_str())).collect();
        let mut replicas = BTreeMap::new();
        for group in fleet.groups() {
            if let Some(entry) = ReplicaEntry::from_group(fleet, group, &member_nodes) {
                replicas.insert(ReplicaId::from(group.id.as_str()), entry);
            }
        }
        for upstream in fleet.upstreams() {
            let entry = ReplicaEntry::from_upstream(upstream, &member_nodes);
            replicas.insert(ReplicaId::from(upstream.id.as_str()), entry);
        }
        let previous = std::mem::replace(&mut self.replicas, replicas);
        for (id, old) in previous {
            match self.replicas.get_mut(&id) {
                Some(entry) => entry.inherit(old, &member_nodes, now),
                None => self.holder.remove_replica(&id),
            }
        }
        let nodes = u32::try_from(member_nodes.len()).unwrap_or(1);
        for (id, entry) in &self.replicas {
            let limit = ReplicaLimit {
                slots: entry.slots,
                kv_tokens: entry.settings.kv_tokens,
                nodes,
                address: entry.address.clone(),
                generation: entry.generation,
            };
            // Has an effect only under the baseline policies.
            self.holder.set_limit(id, &limit);
        }
    }

    /// Owner of each replica about which this node sends reports.
    pub(crate) fn owners(&self) -> BTreeMap<ReplicaId, NodeId> {
        self.replicas
            .iter()
            .filter(|(_, entry)| entry.reporters.reporters().contains(&self.node))
            .filter_map(|(id, entry)| {
                let owner = entry.reporters.owner(&self.node, &self.failure_detector)?;
                Some((id.clone(), owner.clone()))
            })
            .collect()
    }

    /// The other reporters of the replicas about which this node sends reports. These need not be
    /// all other nodes.
    pub(crate) fn reporter_peers(&self) -> BTreeSet<NodeId> {
        self.replicas
            .values()
            .map(|entry| entry.reporters.reporters())
            .filter(|reporters| reporters.contains(&self.node))
            .flatten()
            .filter(|peer| **peer != self.node)
            .cloned()
            .collect()
    }

    /// Replicas of a model, or upstreams of a plain service.
    pub(crate) fn candidates(&self, target: &ReplicaTarget) -> Vec<ReplicaId> {
        self.replicas
            .iter()
            .filter(|(_, entry)| entry.target == *target)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Whether `node` is a reporter of any replica of the target.
    pub(crate) fn is_reporter(&self, node: &NodeId, target: &ReplicaTarget) -> bool {
        self.replicas
            .values()
            .any(|entry| entry.target == *target && entry.reporters.reporters().contains(node))
    }

    /// Divides the groups about which this node has sent reports into two lists: first the ready
    /// ones with their generation, whose owner grants allowances for the current generation, then
    /// the others.
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

    /// Computes the demand that the next reports state, from the requests that wait at this node.
    pub(crate) fn update_demand(&mut self) {
        let targets: BTreeSet<ReplicaTarget> =
            self.replicas.values().map(|entry| entry.target.clone()).collect();
        for target in targets {
            let demand = self.queue.demand(&ModelId::from(target.name()));
            let candidates = self.candidates(&target);
            self.holder.spread_demand(&candidates, demand);
        }
    }

    /// Whether the target has a replica whose owner has not refused to grant allowances. This
    /// includes replicas whose owner has not replied yet.
    pub(crate) fn has_available_replica(&self, target: &ReplicaTarget) -> bool {
        self.candidates(target).iter().any(|id| self.holder.refusal(id).is_empty())
    }

    /// Status of every replica, for the operators.
    pub(crate) fn replica_statuses(&self, now: Instant) -> Vec<ReplicaStatus> {
        self.replicas
            .iter()
            .map(|(id, entry)| {
                let (in_flight, _) = self.holder.in_flight(id);
                let (remaining, _) = self.holder.remaining(now, id);
                let is_owner_granting = self.holder.is_owner_granting(now, id);
                let reason = match (is_owner_granting, self.holder.refusal(id)) {
                    (false, "") => "no reply from the owner".to_owned(),
                    (_, refusal) => refusal.to_owned(),
                };
                ReplicaStatus {
                    replica: id.to_string(),
                    model: entry.target.name().to_owned(),
                    generation: entry.generation,
                    serving: is_owner_granting,
                    reason,
                    in_flight,
                    slots: in_flight + remaining,
                    owner: self.holder.owner(id).map(ToString::to_string).unwrap_or_default(),
                }
            })
            .collect()
    }
}
