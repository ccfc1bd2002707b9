//! Fleets of nodes and stand-ins in one process, for tests and measurements.
//!
//! [`TestFleet`] starts the platform, engines, services and nodes on loopback ports that the system
//! chooses. [`TestCaller`] behaves as a well-made caller does: it locates a node, keeps the
//! answer, and continues a broken stream through another node.

mod caller;
mod fleet;
mod process;

pub use caller::{ChatOutcome, ErrorReply, OpenStream, ServiceOutcome, TestCaller, chat_request};
pub use fleet::{
    ACCOUNT_KEY, ADMIN_TOKEN, FleetSpec, MODEL, SERVICE, TestFleet, free_address, wait_until,
};
pub use process::NodeProcess;
