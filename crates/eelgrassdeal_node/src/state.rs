//! State that all tasks of a node share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use cyper::Client;
use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_platform::{CallLedger, ConfigLog, ObjectStore, TableStore, VmList};
use eelgrassdeal_schema::settings::{LimitSettings, NodeSettings};
use eelgrassdeal_types::{NodeId, StartId, new_start_id};

use crate::answer_queue::MemoryBudget;
use crate::front::FrontState;
use crate::replica::ReplicaTable;

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
    #[expect(dead_code, reason = "snapshots are not read yet")]
    pub(crate) object: Rc<dyn ObjectStore>,
    pub(crate) vm_list: Rc<dyn VmList>,
    pub(crate) log: ConfigLog,
    pub(crate) ledger: CallLedger,
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
    pub(crate) replicas: RefCell<ReplicaTable>,
    pub(crate) memory: Rc<MemoryBudget>,
    pub(crate) front: FrontState,
    pub(crate) in_flight: Cell<u32>,
    pub(crate) connections: Cell<u32>,
    fleet: RefCell<Rc<FleetConfig>>,
    confirmed: Cell<Option<Instant>>,
}

impl NodeState {
    pub(crate) fn new(
        settings: &NodeSettings,
        secrets: SecretTokens,
        platform: PlatformAccess,
        client: Client,
    ) -> Self {
        let limits = settings.limits.unwrap_or_default();
        Self {
            node: NodeId::from(settings.node.as_str()),
            start_id: new_start_id(),
            limits,
            secrets,
            platform,
            client,
            phase: Cell::new(NodePhase::Starting),
            replicas: RefCell::new(ReplicaTable::new()),
            memory: MemoryBudget::new(limits.total_buffer_bytes),
            front: FrontState::default(),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            fleet: RefCell::new(Rc::new(FleetConfig::new())),
            confirmed: Cell::new(None),
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

    /// Notes that the configuration was the head of the log at `at`.
    pub(crate) fn confirm(&self, at: Instant) {
        if self.confirmed.get().is_none_or(|before| before < at) {
            self.confirmed.set(Some(at));
        }
    }

    /// Age of the configuration's confirmation; `None` if it never was confirmed.
    pub(crate) fn confirmed_age(&self) -> Option<Duration> {
        self.confirmed.get().map(|at| at.elapsed())
    }
}
