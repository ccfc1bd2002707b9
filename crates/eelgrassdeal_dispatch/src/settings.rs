//! Settings of a gateway process.

use std::sync::Arc;
use std::time::Duration;

use eelgrassdeal_types::{DataCentreId, NodeId};

use crate::limit::RetryBound;
use crate::table::SharedTable;

/// Addresses that a process listens on. A role that does not serve one has `None` there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Requests of callers.
    pub front: Option<Arc<str>>,
    /// Readiness checks.
    pub readiness: Option<Arc<str>>,
    /// Locator.
    pub locator: Option<Arc<str>>,
    /// Other nodes.
    pub peers: Arc<str>,
}

/// Address and rates of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreAddress {
    /// `IP:PORT`.
    pub address: Arc<str>,
}

/// Part of the time in which a change must be in force that a reader waits for news in one call.
const WAIT_PART: f64 = 0.3;
/// Part of that time after which a hub without news from another node asks the store itself: after
/// a wait of the reader and a message, and before the leaves that rely on the hub do so.
const HUB_PATIENCE_PART: f64 = 0.45;
/// The same for every other node. What is left covers the call and the requests that are on their
/// way.
const PATIENCE_PART: f64 = 0.6;
/// The same for the addresses of nodes, which only a node that starts needs.
const NODES_WAIT: Duration = Duration::from_secs(10);
const NODES_PATIENCE: Duration = Duration::from_secs(30);

/// How often a table is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TablePace {
    /// Longest wait of one call for news.
    pub wait: Duration,
    /// Age from which on a copy is not relied on by a hub of a large fleet.
    pub hub_patience: Duration,
    /// Age from which on a copy is not relied on.
    pub patience: Duration,
}

/// Bounds that the operators demand.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitBounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Time after which a leaving upstream gets no more requests.
    pub drain_notice: Duration,
    /// Time after which an accepted configuration is in force.
    pub config_notice: Duration,
    /// Retries allowed per request of a service, over all nodes.
    pub retry_ratio: f64,
    /// Retries allowed in a window without any requests, over all nodes.
    pub free_retries: f64,
    /// Window of the retry bound.
    pub retry_window: Duration,
    /// Requests in one second that a cold upstream tolerates, in terms of its rate.
    pub cold_overshoot: f64,
    /// Further requests that a cold upstream tolerates in one second.
    pub cold_slack: f64,
    /// Time after which an engine gives up work that depends on a lost member.
    pub stall: Duration,
    /// Window in which loads from the weight store are counted.
    pub load_window: Duration,
    /// Longest lifetime of a locator answer that callers respect.
    pub max_locator_lifetime: Duration,
    /// Whether engines refuse orders with an old fencing number.
    pub is_fenced: bool,
}

impl LimitBounds {
    /// Bound of the retries of a service.
    pub fn retry_bound(&self) -> RetryBound {
        RetryBound { ratio: self.retry_ratio, slack: self.free_retries, window: self.retry_window }
    }

    /// How often `table` is read.
    pub fn pace(&self, table: SharedTable) -> TablePace {
        let notice = self.drain_notice.min(self.config_notice);
        match table {
            SharedTable::Nodes => TablePace {
                wait: NODES_WAIT,
                hub_patience: NODES_PATIENCE,
                patience: NODES_PATIENCE,
            },
            SharedTable::Operators | SharedTable::Upstreams | SharedTable::Groups => TablePace {
                wait: notice.mul_f64(WAIT_PART),
                hub_patience: notice.mul_f64(HUB_PATIENCE_PART),
                patience: notice.mul_f64(PATIENCE_PART),
            },
        }
    }
}

/// Settings of a gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Id of this node.
    pub node: NodeId,
    /// Data centre of this node.
    pub data_centre: DataCentreId,
    /// Region of this node.
    pub region: Arc<str>,
    /// Addresses to listen on.
    pub listen: ListenAddresses,
    /// Peer addresses of a few other nodes, possibly stale.
    pub seeds: Vec<Arc<str>>,
    /// Store of the platform.
    pub store: StoreAddress,
    /// Bounds that the operators demand.
    pub bounds: LimitBounds,
    /// Memory limit of the process in bytes.
    pub memory_bytes: u64,
    /// Limit of open files and sockets.
    pub max_descriptors: u64,
    /// Processor share in thousandths of a core.
    pub processor_share: u32,
}
