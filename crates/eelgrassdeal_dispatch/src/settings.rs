//! Settings of a gateway process.

use std::sync::Arc;
use std::time::Duration;

use eelgrassdeal_types::{DataCentreId, NodeId};

use crate::limit::RetryLimits;
use crate::table::SharedTable;

/// Addresses that a process listens on; `None` for an endpoint that it does not serve.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Address for the callers' requests.
    pub front: Option<Arc<str>>,
    /// Address for readiness checks.
    pub readiness: Option<Arc<str>>,
    /// Address of the locator, which tells callers the front addresses of the serving nodes.
    pub locator: Option<Arc<str>>,
    /// Address for messages of other nodes.
    pub peers: Arc<str>,
}

/// Network address of the platform's store, the table service that holds the [`SharedTable`]s.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreAddress {
    /// `IP:PORT`.
    pub address: Arc<str>,
}

/// A duty: calls to the platform's management API that one node at a time makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DutyKind {
    /// Reports the requests of each client account.
    Usage,
    /// Orders the number of workers of each service in each data centre.
    Scale,
}

/// The platform's management API, and the duties that the nodes have there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DutySettings {
    /// `IP:PORT` of the API.
    pub address: Arc<str>,
    /// Duties of this deployment. The nodes make no calls for any other duty.
    pub duties: Vec<DutyKind>,
    /// Calls per second that the API accepts from all nodes together.
    pub calls_per_s: f64,
    /// A holder, another one and the first one again must not act within this time.
    pub lease_time: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Relative error that the reported usage of an account may have.
    pub usage_tolerance: f64,
    /// Time from the end of a usage window until its report is due.
    pub usage_due: Duration,
}

impl DutySettings {
    /// Whether the deployment has this duty.
    pub fn has(&self, duty: DutyKind) -> bool {
        self.duties.contains(&duty)
    }
}

/// Timeout of a long poll for changes, as a fraction of the time within which a change must be in
/// force. The nodes that poll are the reader, which follows the store on behalf of all others, and
/// the one of the planner.
const WATCH_TIMEOUT_FRACTION: f64 = 0.3;
/// Maximum age of a hub's copy, as a fraction of the time within which a change must be in force.
/// A hub with an older copy queries the store itself. The age leaves time for a long poll of the
/// reader and a message to the hub. It is lower than that of the leaves, so that a hub renews its
/// copy before the copies of the leaves that rely on it become stale.
const HUB_MAX_AGE_FRACTION: f64 = 0.45;
/// Maximum age of the copy of any other node, as a fraction of the time within which a change must
/// be in force. The remaining time covers the query to the store and the requests in flight.
const MAX_AGE_FRACTION: f64 = 0.6;
/// Long-poll timeout for the table of nodes. It holds the addresses of nodes, which only a starting
/// node needs, so it may be older than the other tables.
const NODES_WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum age of a copy of the table of nodes, which only a starting node needs.
const NODES_MAX_AGE: Duration = Duration::from_secs(30);

/// How long reads of a table wait for changes, and how old a copy may become.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableTimings {
    /// Timeout of one long poll for changes of the table.
    pub watch_timeout: Duration,
    /// Age above which a hub of a large fleet treats its copy as stale.
    pub hub_max_age: Duration,
    /// Age above which any other node treats its copy as stale.
    pub max_age: Duration,
}

/// Limits that the operators require of the gateway, and properties of the engines and upstreams
/// that the gateway relies on.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorLimits {
    /// Time from SIGTERM to SIGKILL.
    pub shutdown_grace: Duration,
    /// Time after which a draining upstream must not receive new requests from any node.
    pub drain_propagation_limit: Duration,
    /// Time after which an accepted configuration must be in force at every node.
    pub config_propagation_limit: Duration,
    /// Retries allowed per request of a service, over all nodes.
    pub retry_ratio: f64,
    /// Retries of a service allowed in a window in addition to `retry_ratio`, over all nodes.
    pub retry_slack: f64,
    /// Window in which requests and retries are counted.
    pub retry_window: Duration,
    /// Requests that a cold upstream tolerates in one second, as a multiple of its rate.
    pub cold_overshoot: f64,
    /// Requests that a cold upstream tolerates in one second in addition to `cold_overshoot`.
    pub cold_slack: f64,
    /// Time after which an engine aborts work that waits for a lost group member.
    pub stall_timeout: Duration,
    /// Window in which loads from the weight store are counted.
    pub load_window: Duration,
    /// Longest time for which callers may cache a response of the locator.
    pub max_locator_ttl: Duration,
    /// Whether engines reject orders with an outdated fencing number.
    pub is_fencing_enabled: bool,
}

impl OperatorLimits {
    /// Limits of a service's retry budget.
    pub fn retry_limits(&self) -> RetryLimits {
        RetryLimits { ratio: self.retry_ratio, slack: self.retry_slack, window: self.retry_window }
    }

    /// Timings for following `table`.
    pub fn table_timings(&self, table: SharedTable) -> TableTimings {
        let limit = self.drain_propagation_limit.min(self.config_propagation_limit);
        match table {
            // Nodes tell each other of quarantines, and only starting ones need the stored ones.
            SharedTable::Nodes | SharedTable::Suspects => TableTimings {
                watch_timeout: NODES_WATCH_TIMEOUT,
                hub_max_age: NODES_MAX_AGE,
                max_age: NODES_MAX_AGE,
            },
            SharedTable::Operators | SharedTable::Upstreams | SharedTable::Groups => TableTimings {
                watch_timeout: limit.mul_f64(WATCH_TIMEOUT_FRACTION),
                hub_max_age: limit.mul_f64(HUB_MAX_AGE_FRACTION),
                max_age: limit.mul_f64(MAX_AGE_FRACTION),
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
    /// Peer addresses of a few other nodes, through which a starting node finds the rest. Some may
    /// be out of date.
    pub seeds: Vec<Arc<str>>,
    /// Network address of the platform's store.
    pub store: StoreAddress,
    /// Limits and properties that the operators set.
    pub limits: OperatorLimits,
    /// Duties of the nodes; without any by default.
    pub duties: DutySettings,
    /// Memory limit of the process in bytes.
    pub memory_bytes: u64,
    /// Maximum number of open files and sockets of the process.
    pub max_descriptors: u64,
    /// Capacity of the machine's link in bytes per second.
    pub link_bytes_per_s: u64,
    /// CPU share of the process in thousandths of a core.
    pub processor_share: u32,
}
