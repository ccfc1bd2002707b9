//! The gateway: takes callers' requests and passes them to the upstreams of the platform.
//!
//! A gateway is one single-threaded compio runtime, and every entry VM runs one. [`run_gateway`]
//! starts its tasks: one that accepts callers and one for each connection, one for each table of
//! the store that it follows, one that exchanges heartbeats and counts with other nodes, and one
//! that plans replicas while it holds the planner's lease. They share a `GatewayState` by `Rc`.

mod entry;
mod follow;
mod front;
mod lifecycle;
mod mirror;
mod observe;
mod peers;
mod plan;
mod server;
mod state;

pub use lifecycle::{GatewayError, run_gateway};
