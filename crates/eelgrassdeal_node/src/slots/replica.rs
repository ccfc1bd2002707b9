//! State that a node keeps for each replica.

use std::time::{Duration, Instant};

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_routing::{OwnerSettings, RampSettings, RampState, ReporterSet, SlotOwner};
use eelgrassdeal_schema::config::{GroupRecord, Model, Upstream};
use eelgrassdeal_types::{Generation, NodeId, ReplicaId};

/// Longest time between the start of a request at a node and its appearance in the load that the
/// upstream reports.
const LOAD_LAG: Duration = Duration::from_millis(500);
/// One request may need at most the KV cache of a replica divided by this. The bound limits what
/// must be reserved for each unattributed request, that is, one in the reported load that no
/// reporting node accounts for, and whose size is not known.
const LARGEST_REQUEST_DIVISOR: u64 = 4;
/// Step of the warm-up if the model declares none, and for upstreams of plain services.
const DEFAULT_RAMP_STEP: Duration = Duration::from_secs(2);
/// Target for the time to first token if the model declares none, and for upstreams of plain
/// services.
const DEFAULT_FIRST_TOKEN_TARGET: Duration = Duration::from_millis(500);

/// The model or plain service that a replica serves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReplicaTarget {
    /// Name of the model.
    Model(String),
    /// Name of the plain service.
    Service(String),
}

impl ReplicaTarget {
    /// Name of the model or service.
    pub(crate) fn name(&self) -> &str {
        match self {
            Self::Model(name) | Self::Service(name) => name,
        }
    }
}

/// Result of the last probe of a replica by its owner.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaHealth {
    /// When the last probe was sent that found all members ready; `None` before the first
    /// probe, and after a probe that found a member not ready.
    pub(crate) healthy_at: Option<Instant>,
    /// Why the replica cannot serve; empty if the latest probe found all members ready.
    pub(crate) reason: String,
}

/// Configuration of one replica, and what this node knows about its state.
#[derive(Debug)]
pub(crate) struct ReplicaEntry {
    pub(crate) target: ReplicaTarget,
    /// HTTP address of the upstream; for a group, of its leader.
    pub(crate) address: String,
    pub(crate) data_centre: String,
    /// VMs of the group by rank, the leader first; empty for an upstream of a plain service.
    pub(crate) members: Vec<String>,
    /// Generation of the group; 0 for an upstream of a plain service.
    pub(crate) generation: Generation,
    /// Requests in flight that the replica can handle when it is warm, summed over all nodes.
    pub(crate) slots: u32,
    pub(crate) settings: OwnerSettings,
    pub(crate) ramp: RampSettings,
    pub(crate) reporters: ReporterSet,
    pub(crate) health: ReplicaHealth,
    /// Division of the limit among the reporters; `None` until this node receives a report about
    /// the replica as its owner.
    pub(crate) slot_owner: Option<SlotOwner>,
    /// When the last report about the replica was received; `None` before the first.
    pub(crate) reported_at: Option<Instant>,
    /// Whether the data centre was out of service at the last probe or report.
    pub(crate) was_centre_out: bool,
}

impl ReplicaEntry {
    /// Creates the entry of a group. The reporters are selected from `member_nodes`, the entry
    /// nodes that participate in the fleet. Returns `None` if the configuration lacks the group's
    /// leader or model.
    pub(crate) fn from_group(
        fleet: &FleetConfig,
        group: &GroupRecord,
        member_nodes: &[NodeId],
    ) -> Option<Self> {
        let leader = group.members.first().and_then(|member| fleet.vm(member))?;
        let model = fleet.model(&group.model)?;
        Some(Self {
            target: ReplicaTarget::Model(group.model.clone()),
            address: leader.address.clone(),
            data_centre: group.data_centre.clone(),
            members: group.members.clone(),
            generation: group.generation,
            slots: model.slots,
            settings: OwnerSettings {
                kv_tokens: model.kv_tokens,
                largest_request_kv: largest_request_kv(model),
                load_lag: LOAD_LAG,
                has_load_reports: true,
                // With load reports, a new owner need not wait for this time. 0 also lets it
                // release what it reserves for unattributed requests once the votes of all
                // reporters count.
                longest_request: Duration::ZERO,
            },
            ramp: model_ramp(model),
            ..Self::empty(ReplicaId::from(group.id.as_str()), member_nodes)
        })
    }

    /// Creates the entry of an upstream of a plain service. The reporters are selected from
    /// `member_nodes`, as in [`Self::from_group`].
    pub(crate) fn from_upstream(upstream: &Upstream, member_nodes: &[NodeId]) -> Self {
        Self {
            target: ReplicaTarget::Service(upstream.service.clone()),
            address: upstream.address.clone(),
            data_centre: upstream.data_centre.clone(),
            slots: upstream.slots,
            ramp: RampSettings {
                cold_slots: upstream.cold_slots,
                slots: upstream.slots,
                step: DEFAULT_RAMP_STEP,
                first_token_target: DEFAULT_FIRST_TOKEN_TARGET,
            },
            ..Self::empty(ReplicaId::from(upstream.id.as_str()), member_nodes)
        }
    }

    fn empty(id: ReplicaId, member_nodes: &[NodeId]) -> Self {
        Self {
            target: ReplicaTarget::Service(String::new()),
            address: String::new(),
            data_centre: String::new(),
            members: Vec::new(),
            generation: 0,
            slots: 0,
            settings: OwnerSettings {
                kv_tokens: 0,
                largest_request_kv: 0,
                load_lag: LOAD_LAG,
                has_load_reports: true,
                // As in `from_group`.
                longest_request: Duration::ZERO,
            },
            ramp: RampSettings {
                cold_slots: 0,
                slots: 0,
                step: DEFAULT_RAMP_STEP,
                first_token_target: DEFAULT_FIRST_TOKEN_TARGET,
            },
            reporters: ReporterSet::new(id, member_nodes),
            health: ReplicaHealth { healthy_at: None, reason: "not probed yet".to_owned() },
            slot_owner: None,
            reported_at: None,
            was_centre_out: false,
        }
    }

    /// Takes over the state of the replica's entry from the previous configuration revision. Its
    /// health is kept only if generation and address are unchanged.
    pub(crate) fn inherit(&mut self, old: Self, member_nodes: &[NodeId], now: Instant) {
        let is_same = old.generation == self.generation && old.address == self.address;
        self.reporters = old.reporters;
        self.reporters.set_members(member_nodes, now);
        self.slot_owner = old.slot_owner;
        self.reported_at = old.reported_at;
        self.was_centre_out = old.was_centre_out;
        if is_same {
            self.health = old.health;
        }
        if let Some(slot_owner) = &mut self.slot_owner {
            slot_owner.set_settings(self.settings);
            slot_owner.ramp_mut().set_settings(self.ramp);
            if !is_same {
                // For a group the notice need not be sent, because each allowance names the
                // generation for which it is valid. For an upstream of a plain service, whose
                // generation is always 0, it is not sent either: a reporter can use an allowance
                // for the previous address until it expires or is replaced.
                let _ = slot_owner.revoke("the group or address of the replica has changed");
            }
        }
    }

    /// Division of this replica's limit, which is created on the first report.
    pub(crate) fn get_or_create_slot_owner(
        &mut self,
        id: &ReplicaId,
        now: Instant,
    ) -> &mut SlotOwner {
        let (settings, ramp) = (self.settings, self.ramp);
        self.slot_owner
            .get_or_insert_with(|| SlotOwner::new(id.clone(), settings, RampState::new(ramp, now)))
    }
}

/// Maximum number of KV tokens that one request to the model may need.
pub(crate) fn largest_request_kv(model: &Model) -> u64 {
    (model.kv_tokens / LARGEST_REQUEST_DIVISOR).max(1)
}

fn model_ramp(model: &Model) -> RampSettings {
    let millis = |value: u32, default: Duration| match value {
        0 => default,
        value => Duration::from_millis(u64::from(value)),
    };
    RampSettings {
        cold_slots: model.cold_slots,
        slots: model.slots,
        step: millis(model.ramp_step_ms, DEFAULT_RAMP_STEP),
        first_token_target: millis(model.first_token_target_ms, DEFAULT_FIRST_TOKEN_TARGET),
    }
}
