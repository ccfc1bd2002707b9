//! State that all tasks of a node share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use cyper::Client;
use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_peers::PeerClient;
use eelgrassdeal_routing::{ConfirmationState, ServePermission, SlotPolicy};
use eelgrassdeal_schema::config::ConfigChange;
use eelgrassdeal_schema::settings::{LimitSettings, NodeSettings};
use eelgrassdeal_store::{ConfigLog, IdempotencyStore, TableStore, VmList, VmState};
use eelgrassdeal_types::{NodeId, StartId, VmId, new_start_id};

use crate::front::FrontState;
use crate::response_queue::MemoryBudget;
use crate::slots::SlotTable;

/// Phase of a node between its start and its shutdown. The phases follow each other in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodePhase {
    /// The configuration has not been read from the store yet.
    Starting,
    /// The node accepts requests.
    Serving,
    /// The node is shutting down: its locator replies omit it, but it still accepts requests of
    /// callers that have cached an earlier reply.
    Leaving,
    /// New requests are refused; requests in flight run to their end.
    Draining,
}

impl NodePhase {
    /// Name in the replies to operators and readiness checks.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Draining => "draining",
        }
    }
}

/// Bearer tokens, read from files when the node starts; `None` if the settings name no file.
#[derive(Clone, Default)]
pub(crate) struct SecretTokens {
    /// Presented to the table service and the object store.
    pub(crate) platform: Option<String>,
    /// Expected from operators; without it all of their requests are refused.
    pub(crate) admin: Option<String>,
    /// Presented to engines that authenticate orders, which tell an engine to join a group.
    pub(crate) order: Option<String>,
}

/// Clients of the platform's services.
pub(crate) struct PlatformClients {
    pub(crate) table: Rc<dyn TableStore>,
    pub(crate) vm_list: Rc<dyn VmList>,
    pub(crate) log: ConfigLog,
    pub(crate) idempotency_store: IdempotencyStore,
}

/// State that all tasks of a node share.
pub(crate) struct NodeState {
    pub(crate) node: NodeId,
    pub(crate) start_id: StartId,
    pub(crate) limits: LimitSettings,
    pub(crate) secrets: SecretTokens,
    pub(crate) platform: PlatformClients,
    /// HTTP client for probes and orders. Requests of callers don't use it: each of them has its
    /// own connection, see `upstream_client`.
    pub(crate) client: Client,
    pub(crate) phase: Cell<NodePhase>,
    pub(crate) slots: RefCell<SlotTable>,
    /// Client for calls to other nodes; `None` until the peer endpoint is bound.
    pub(crate) peers: RefCell<Option<PeerClient>>,
    pub(crate) confirmation: RefCell<ConfirmationState>,
    /// Whether a task is reading missing configuration revisions from a peer; only one runs at a
    /// time.
    pub(crate) is_pulling: Cell<bool>,
    /// Newest configuration changes, for peers that lack them.
    pub(crate) recent_changes: RefCell<VecDeque<ConfigChange>>,
    /// The platform's list of VMs; empty until it was read for the first time.
    pub(crate) vms: RefCell<Rc<BTreeMap<VmId, VmState>>>,
    pub(crate) memory_budget: Rc<MemoryBudget>,
    pub(crate) front: FrontState,
    /// Requests that hold a slot of a replica.
    pub(crate) in_flight: Cell<u32>,
    /// Open connections of callers.
    pub(crate) connections: Cell<u32>,
    fleet: RefCell<Rc<FleetConfig>>,
}

impl NodeState {
    pub(crate) fn new(
        settings: &NodeSettings,
        secrets: SecretTokens,
        platform: PlatformClients,
        client: Client,
    ) -> Self {
        let limits = settings.limits.unwrap_or_default();
        let node = NodeId::from(settings.node.as_str());
        let max_queued = limits.max_queued as usize;
        let policy = match settings.slot_policy.as_str() {
            "equal_shares" => SlotPolicy::EqualShares,
            _ => SlotPolicy::Owner,
        };
        Self {
            node: node.clone(),
            start_id: new_start_id(),
            limits,
            secrets,
            platform,
            client,
            phase: Cell::new(NodePhase::Starting),
            slots: RefCell::new(SlotTable::new(node.clone(), policy, max_queued)),
            peers: RefCell::default(),
            confirmation: RefCell::new(ConfirmationState::new()),
            is_pulling: Cell::new(false),
            recent_changes: RefCell::default(),
            vms: RefCell::default(),
            memory_budget: MemoryBudget::new(limits.total_buffer_bytes),
            front: FrontState::default(),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            fleet: RefCell::new(Rc::new(FleetConfig::new())),
        }
    }

    /// The active configuration of this node.
    pub(crate) fn fleet(&self) -> Rc<FleetConfig> {
        self.fleet.borrow().clone()
    }

    /// Replaces the active configuration, unless `fleet` has a lower revision.
    pub(crate) fn set_fleet(&self, fleet: FleetConfig) {
        if fleet.revision() >= self.fleet.borrow().revision() {
            metrics::gauge!("eelgrassdeal_config_revision").set(fleet.revision() as f64);
            *self.fleet.borrow_mut() = Rc::new(fleet);
        }
    }

    /// Time since the configuration was last confirmed to be current; `None` if it never was.
    pub(crate) fn confirmed_age(&self) -> Option<Duration> {
        self.confirmation.borrow().confirmed_age(Instant::now())
    }

    /// Which requests this node may start at present.
    pub(crate) fn permission(&self) -> ServePermission {
        match self.fleet().absent_node(&self.node) {
            // The configuration marks this node as absent, so the other nodes divide the limits
            // among themselves without it.
            Some(_) => ServePermission::NoNewRequests,
            None => self.confirmation.borrow().permission(Instant::now()),
        }
    }
}
