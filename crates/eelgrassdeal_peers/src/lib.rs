//! QUIC connections between the nodes.
//!
//! [`PeerEndpoint`] accepts connections with mutual TLS and passes each request to a handler.
//! [`PeerClient`] calls peers. Each call uses its own bidirectional stream, which carries one
//! protobuf message in each direction: the request and the reply. A node is identified by its
//! certificate, whose DNS name is the node id.
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

/// Maximum size of a request or reply.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;
