//! The node of eelgrassdeal: HTTP front end, locator, streaming, service calls and control tasks.
//!
//! A node is one single-threaded compio runtime. [`run_node`] starts its tasks: one that accepts
//! connections and one for each connection, one that follows the configuration, one that probes
//! replicas, and one that plans groups while it holds the planner lease. All of them share a
//! `NodeState` by `Rc`.

mod admin;
mod answer_queue;
mod call;
mod chat;
mod fleet_sync;
mod front;
mod http;
mod lifecycle;
mod locate;
mod pace;
mod quarantine;
mod retry_budget;
mod service_call;
mod settings;
mod slots;
mod state;
mod upstream_client;

pub use lifecycle::{NodeError, NodeHandle, run_node, start_node};
pub use settings::{SettingsError, check_settings, load_settings, with_defaults};
