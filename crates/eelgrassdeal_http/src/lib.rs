//! HTTP/1.1 on compio: sockets with bounded buffers and pooled connections to other processes.
//!
//! - [`BoundedSocket`] is a socket as hyper uses it.
//! - [`discard_rest`] ends a connection without losing its last answer.
//! - [`ConnectionPool`] sends requests on connections that are reused only after an answer was
//!   read to its end.

mod discard;
mod pool;
mod socket;

pub use discard::discard_rest;
pub use pool::{ConnectionPool, PooledAnswer, SendFailure, SendRule, WholeAnswer};
pub use socket::{BoundedSocket, UPSTREAM_BUFFER_BYTES};
