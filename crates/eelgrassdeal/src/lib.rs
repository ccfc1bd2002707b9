//! eelgrassdeal serves language models whose replicas span several VMs.
//!
//! This crate re-exports the crates of the library:
//!
//! - [`node`]: the server process as a library. Loads the settings, serves requests and shuts
//!   down gracefully.
//! - [`control`]: the fleet configuration that operators write, its validation and comparison, and
//!   the planner that assigns VMs to replicas.
//! - [`store`]: clients of the platform's table service, object store and VM list, and the records
//!   that nodes share through them.
//! - [`routing`]: limits on the requests in flight, ramp-up of cold replicas, admission queue,
//!   retry budget and quarantine of requests that crash replicas.
//! - [`peers`]: QUIC connections between nodes.
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
pub use eelgrassdeal_store as store;
pub use eelgrassdeal_types as types;
