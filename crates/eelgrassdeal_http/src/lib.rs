//! HTTP/1.1 on compio: sockets with bounded buffers and pooled connections to other processes.
//!
//! - [`BoundedSocket`] adapts a compio TCP or TLS stream to hyper.
//! - [`PhaseClock`] tells what a server connection is doing, and [`ServerWatch`] ends it when its caller
//!   exceeds a time limit.
//! - [`discard_unread`] closes a server connection so that the caller receives the last response,
//!   and [`reset_connection`] so that it can tell that the last response is incomplete.
//! - [`ConnectionPool`] sends requests on connections that are reused only after a response was
//!   read completely, and reset if it was not.
//! - [`check_status`] and [`StatusCheck`] decide which statuses a request can be answered with.

mod discard;
mod phase;
mod pool;
mod server;
mod socket;
mod status;

pub use discard::{discard_unread, reset_connection};
pub use phase::{ConnectionPhase, PhaseClock, RequestBody, TrackedBody};
pub use pool::{BufferedResponse, ConnectionPool, PooledResponse, SendFailure, SendOptions};
pub use server::{ConnectionEnd, ServerTimeouts, ServerWatch, reject_late_head};
pub use socket::{BoundedSocket, CLIENT_BUFFER_BYTES};
pub use status::{StatusCheck, check_status};
