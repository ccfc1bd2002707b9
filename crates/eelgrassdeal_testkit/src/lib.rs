//! Fleets of nodes, with fakes of the systems around them, for tests and measurements.
//!
//! [`TestFleet`] starts fakes of the platform's services, of the engines and of a plain service (an
//! HTTP service that is not a model) in the calling process, and nodes in threads or as child
//! processes, all on loopback addresses. Every node is an entry node, that is, it accepts requests
//! of callers. [`TestCaller`] is a client of the fleet: it locates the nodes, keeps the tokens that
//! it has received, and continues an interrupted stream through another node.

mod caller;
mod fleet;
mod node_thread;
mod process;

pub use caller::{BufferedOutcome, ChatOutcome, ErrorReply, OpenStream, TestCaller, chat_request};
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
