//! The gateway: accepts callers' requests and forwards them to upstreams, which are the worker
//! processes of the platform.
//!
//! Every entry VM runs one gateway process, called a node. It uses one single-threaded compio
//! runtime. [`run_gateway`] starts its tasks: one for each listen address and one for each
//! connection, one for each table of the store, one that exchanges heartbeats, request counts and
//! table changes with other nodes, and one that forms, repairs and removes groups of upstreams
//! while this node holds the planner's lease. The tasks share a `GatewayState` by `Rc`.

mod connection;
mod connection_limit;
mod crash;
mod duty;
mod follow;
mod front;
mod lifecycle;
mod listener;
mod locator;
mod metrics_export;
mod mirror;
mod notice;
mod peers;
mod placing;
mod plan;
mod queue_log;
mod rate_limit;
mod server;
mod signals;
mod state;
mod tasks;
mod turns;

pub use lifecycle::{GatewayError, run_gateway};
pub use signals::ProcessSignals;
pub use tasks::{log_panics, run_restarting};
