//! Fleets of nodes and stand-ins in one process, for tests and measurements.
//!
//! [`TestFleet`] starts the platform, engines, services and nodes on loopback ports that the system
//! chooses. [`TestCaller`] behaves as a well-made caller does: it locates a node, keeps the
//! answer, and continues a broken stream through another node.

mod caller;
mod fleet;
mod node_thread;
mod process;

pub use caller::{ChatOutcome, ErrorReply, OpenStream, ServiceOutcome, TestCaller, chat_request};
pub use fleet::{
    ACCOUNT_KEY, ADMIN_TOKEN, FleetSpec, MODEL, SERVICE, TestFleet, free_address, wait_until,
};
pub use node_thread::NodeThread;
pub use process::{ChildProcess, pin_this_thread, sibling_binary};

/// Writes log lines of level `info` to standard error, for the analysis of a test.
pub fn log_to_stderr() {
    let _ = simplelog::SimpleLogger::init(log::LevelFilter::Info, simplelog::Config::default());
}
