//! One replica as this node knows it.

use std::time::{Duration, Instant};

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_routing::{OwnerSettings, RampSettings, RampState, ReporterSet, SlotOwner};
use eelgrassdeal_schema::config::{GroupRecord, Model, Upstream};
use eelgrassdeal_types::{Generation, NodeId, ReplicaId};

/// Time until a request that was sent shows in the load of its upstream.
const LOAD_LAG: Duration = Duration::from_millis(500);
/// Part of a replica's KV cache that one request may need at most. It bounds what must be
/// reserved for a request of which only the count is known.
const LARGEST_REQUEST_DIVISOR: u64 = 4;
const DEFAULT_RAMP_STEP: Duration = Duration::from_secs(2);
const DEFAULT_FIRST_TOKEN_TARGET: Duration = Duration::from_millis(500);

/// What a replica serves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReplicaTarget {
    Model(String),
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
    /// When the last probe was sent that found every member ready; `None` while one is not.
    pub(crate) healthy_at: Option<Instant>,
    /// Why the replica does not serve; empty if it does.
    pub(crate) reason: String,
}

/// One replica as this node knows it.
#[derive(Debug)]
pub(crate) struct ReplicaEntry {
    pub(crate) target: ReplicaTarget,
    pub(crate) address: String,
    pub(crate) data_centre: String,
    /// VMs of the group; empty for an upstream of a plain service.
    pub(crate) members: Vec<String>,
    pub(crate) generation: Generation,
    pub(crate) slots: u32,
    pub(crate) settings: OwnerSettings,
    pub(crate) ramp: RampSettings,
    pub(crate) reporters: ReporterSet,
    pub(crate) health: ReplicaHealth,
    /// Accounting, while this node acts as the owner.
    pub(crate) owner: Option<SlotOwner>,
    /// When the last report came in.
    pub(crate) reported_at: Option<Instant>,
    /// Whether the data centre was out at the last probe.
    pub(crate) was_out: bool,
}

impl ReplicaEntry {
    /// Entry of a group; `None` if the configuration lacks its leader or model.
    pub(crate) fn of_group(
        fleet: &FleetConfig,
        group: &GroupRecord,
        members: &[NodeId],
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
                longest_request: Duration::ZERO,
            },
            ramp: model_ramp(model),
            ..Self::empty(ReplicaId::from(group.id.as_str()), members)
        })
    }

    /// Entry of an upstream of a plain service.
    pub(crate) fn of_upstream(upstream: &Upstream, members: &[NodeId]) -> Self {
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
            ..Self::empty(ReplicaId::from(upstream.id.as_str()), members)
        }
    }

    fn empty(id: ReplicaId, members: &[NodeId]) -> Self {
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
                longest_request: Duration::ZERO,
            },
            ramp: RampSettings {
                cold_slots: 0,
                slots: 0,
                step: DEFAULT_RAMP_STEP,
                first_token_target: DEFAULT_FIRST_TOKEN_TARGET,
            },
            reporters: ReporterSet::new(id, members),
            health: ReplicaHealth { healthy_at: None, reason: "not probed yet".to_owned() },
            owner: None,
            reported_at: None,
            was_out: false,
        }
    }

    /// Takes over what stays true of the same replica at the revision before.
    pub(crate) fn inherit(&mut self, old: Self, members: &[NodeId], now: Instant) {
        let is_same = old.generation == self.generation && old.address == self.address;
        self.reporters = old.reporters;
        self.reporters.set_members(members, now);
        self.owner = old.owner;
        self.reported_at = old.reported_at;
        self.was_out = old.was_out;
        if is_same {
            self.health = old.health;
        }
        if let Some(owner) = &mut self.owner {
            owner.set_settings(self.settings);
            owner.ramp_mut().set_settings(self.ramp);
            if !is_same {
                // The notice need not be sent: allowances name the generation they are for.
                let _ = owner.revoke("the group changes");
            }
        }
    }

    /// The accounting of this replica, started when the first report comes in.
    pub(crate) fn owner_mut(&mut self, id: &ReplicaId, now: Instant) -> &mut SlotOwner {
        let (settings, ramp) = (self.settings, self.ramp);
        self.owner
            .get_or_insert_with(|| SlotOwner::new(id.clone(), settings, RampState::new(ramp, now)))
    }
}

/// Most KV tokens that one request to the model may need.
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
