//! Fleets of nodes, with fakes of the systems around them, for tests and measurements.
//!
//! [`TestFleet`] starts fakes of the platform's services, of the engines and of a plain service in
//! the calling process, and nodes in threads or as child processes, all on loopback addresses.
//! [`TestCaller`] is a client of the fleet: it locates the entry nodes, keeps the tokens that it
//! has received, and continues an interrupted stream through another node.

mod caller;
mod fleet;
mod node_thread;
mod process;

pub use caller::{ChatOutcome, ErrorReply, OpenStream, ServiceOutcome, TestCaller, chat_request};
pub use fleet::{
    ACCOUNT_KEY, ADMIN_TOKEN, FleetSpec, MODEL, SERVICE, TestFleet, free_address, wait_until,
};
pub use node_thread::NodeThread;
pub use process::{ChildProcess, pin_current_thread, sibling_binary};

/// Writes log lines of level `info` and above to standard error, to help to debug a test. Has no
/// effect if a logger is already set.
pub fn log_to_stderr() {
    let _ = simplelog::SimpleLogger::init(log::LevelFilter::Info, simplelog::Config::default());
}
