//! eelgrassdeal serves language models whose replicas span several VMs.
//!
//! This crate is the facade of the library; each part is a crate of its own:
//!
//! - [`node`]: the daemon as a library, from settings to graceful shutdown.
//! - [`control`]: register, rules, checks, differences and the group planner.
//! - [`platform`]: table service, object store, VM list, and the records kept there.
//! - [`routing`]: limits, ramp, admission, retries, quarantine.
//! - [`peers`]: connections between nodes.
//! - [`schema`] and [`types`]: messages, settings, ids and error kinds.
//!
//! ```no_run
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = eelgrassdeal::node::load_settings("node.toml".as_ref())
//!     .map_err(|report| format!("{report:?}"))?;
//! eelgrassdeal::node::run_node(settings).await.map_err(|report| format!("{report:?}"))?;
//! # Ok(()) }
//! ```

pub use eelgrassdeal_control as control;
pub use eelgrassdeal_node as node;
pub use eelgrassdeal_peers as peers;
pub use eelgrassdeal_routing as routing;
pub use eelgrassdeal_schema as schema;
pub use eelgrassdeal_store as platform;
pub use eelgrassdeal_types as types;
