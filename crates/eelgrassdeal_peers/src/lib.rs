//! QUIC connections between the nodes.
//!
//! [`PeerEndpoint`] listens with mutual TLS and hands each request to a handler; [`PeerClient`]
//! calls peers. A request is one protobuf message on a bidirectional stream of its own, and so is
//! the reply. A node is identified by its certificate, whose DNS name is the node id.
//!
//! ```no_run
//! # use eelgrassdeal_peers::{PeerAddress, PeerEndpoint, PeerError, PeerSettings};
//! # use eelgrassdeal_schema::peer::PeerRequest;
//! # async fn example(settings: PeerSettings, peer: PeerAddress)
//! # -> Result<(), error_stack::Report<PeerError>> {
//! let endpoint = PeerEndpoint::bind(&settings).await?;
//! let request = PeerRequest { node: "yul1-n01".to_owned(), ..PeerRequest::default() };
//! let reply = endpoint.client().call(&peer, request).await?;
//! # Ok(()) }
//! ```

mod client;
mod counters;
mod endpoint;
mod error;
mod message;
mod tls;

pub use client::{PeerAddress, PeerClient};
pub use counters::PeerCounters;
pub use endpoint::{PeerEndpoint, PeerSettings};
pub use error::PeerError;

/// Largest message in either direction.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;
