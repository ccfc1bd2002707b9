//! The node of eelgrassdeal: HTTP front end, locator, streaming, service calls and control tasks.
//!
//! A node is one single-threaded compio runtime. [`run_node`] starts its tasks: one that accepts
//! connections and one for each connection, one that reads the configuration, one that probes
//! replicas, one that plans groups while it holds the planner lease, and tasks that read the VM
//! list, write heartbeats, report slots and exchange messages with other nodes. All of them share
//! one `NodeState` in an `Rc`.
//!
//! A group is a set of VMs that together run one replica of a model. A replica is such a group, or
//! an upstream of a plain service, that is, a service without engines.

mod admin;
mod call;
mod chat;
mod fleet_sync;
mod front;
mod http;
mod lifecycle;
mod locate;
mod quarantine;
mod response_queue;
mod retry_budget;
mod service_call;
mod settings;
mod slots;
mod state;
mod token_interval;
mod upstream_client;

pub use lifecycle::{NodeError, NodeHandle, run_node, start_node};
pub use settings::{SettingsError, check_settings, load_settings, with_defaults};
