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

use crate::answer_queue::MemoryBudget;
use crate::front::FrontState;
use crate::slots::SlotTable;

/// Where a node is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodePhase {
    /// The configuration has not been read from the store yet.
    Starting,
    /// The node takes requests.
    Serving,
    /// Locator answers no longer name the node, which still takes requests.
    Leaving,
    /// New requests are refused; those in flight finish.
    Draining,
}

impl NodePhase {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Draining => "draining",
        }
    }
}

/// Secrets read from files at the start.
#[derive(Clone, Default)]
pub(crate) struct SecretTokens {
    pub(crate) platform: Option<String>,
    pub(crate) admin: Option<String>,
    pub(crate) order: Option<String>,
}

/// The platform's services as the node uses them.
pub(crate) struct PlatformAccess {
    pub(crate) table: Rc<dyn TableStore>,
    pub(crate) vm_list: Rc<dyn VmList>,
    pub(crate) log: ConfigLog,
    pub(crate) ledger: IdempotencyStore,
}

/// State that all tasks of a node share.
pub(crate) struct NodeState {
    pub(crate) node: NodeId,
    pub(crate) start_id: StartId,
    pub(crate) limits: LimitSettings,
    pub(crate) secrets: SecretTokens,
    pub(crate) platform: PlatformAccess,
    /// For probes and orders; requests of callers use connections of their own.
    pub(crate) client: Client,
    pub(crate) phase: Cell<NodePhase>,
    pub(crate) slots: RefCell<SlotTable>,
    /// Calls to other nodes; `None` until the endpoint is bound.
    pub(crate) peers: RefCell<Option<PeerClient>>,
    pub(crate) confirmation: RefCell<ConfirmationState>,
    /// Whether missing revisions are being read from a peer.
    pub(crate) is_pulling: Cell<bool>,
    /// Newest revisions, for peers that lack them.
    pub(crate) recent_changes: RefCell<VecDeque<ConfigChange>>,
    /// The platform's list of VMs; empty until it has been read.
    pub(crate) vms: RefCell<Rc<BTreeMap<VmId, VmState>>>,
    pub(crate) memory: Rc<MemoryBudget>,
    pub(crate) front: FrontState,
    pub(crate) in_flight: Cell<u32>,
    pub(crate) connections: Cell<u32>,
    fleet: RefCell<Rc<FleetConfig>>,
}

impl NodeState {
    pub(crate) fn new(
        settings: &NodeSettings,
        secrets: SecretTokens,
        platform: PlatformAccess,
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
            memory: MemoryBudget::new(limits.total_buffer_bytes),
            front: FrontState::default(),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            fleet: RefCell::new(Rc::new(FleetConfig::new())),
        }
    }

    /// The configuration in force on this node.
    pub(crate) fn fleet(&self) -> Rc<FleetConfig> {
        self.fleet.borrow().clone()
    }

    /// Puts a newer configuration in force. An older one is ignored.
    pub(crate) fn set_fleet(&self, fleet: FleetConfig) {
        if fleet.revision() >= self.fleet.borrow().revision() {
            metrics::gauge!("eelgrassdeal_config_revision").set(fleet.revision() as f64);
            *self.fleet.borrow_mut() = Rc::new(fleet);
        }
    }

    /// Age of the configuration's confirmation; `None` if it never was confirmed.
    pub(crate) fn confirmed_age(&self) -> Option<Duration> {
        self.confirmation.borrow().confirmed_age(Instant::now())
    }

    /// What this node may start now.
    pub(crate) fn permission(&self) -> ServePermission {
        match self.fleet().absent_node(&self.node) {
            // The others no longer count this node for the limits.
            Some(_) => ServePermission::NoNewRequests,
            None => self.confirmation.borrow().permission(Instant::now()),
        }
    }
}
