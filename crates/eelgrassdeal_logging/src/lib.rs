//! Log output of the daemons.
//!
//! Lines go to standard output through a bounded queue and a thread of its own, so that a reader
//! that stands still holds up nothing but the log. Lines that find the queue full are dropped and
//! counted.

mod limiter;

use std::sync::OnceLock;

use log::{LevelFilter, SetLoggerError};
use simplelog::{ConfigBuilder, WriteLogger};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

pub use limiter::LogLimiter;

/// Lines that wait for the reader at most. They have some hundred bytes each.
const MAX_WAITING_LINES: usize = 4_096;

static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// Writes the waiting lines when it is dropped, for at most about a second.
#[derive(Debug)]
#[must_use = "lines that wait are lost when the process ends without dropping this"]
pub struct LogGuard {
    _worker: WorkerGuard,
}

/// Installs the logger of the process, which writes lines of `level` and above.
///
/// # Errors
///
/// When the process has a logger already.
pub fn init_logging(level: LevelFilter) -> Result<LogGuard, SetLoggerError> {
    let (output, worker) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_WAITING_LINES)
        .lossy(true)
        .thread_name("log")
        .finish(std::io::stdout());
    let _ = DROPPED_LINES.set(output.error_counter());
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    WriteLogger::init(level, config, output)?;
    Ok(LogGuard { _worker: worker })
}

/// Number of lines that were dropped since the start of the process because the reader of the log was
/// too slow.
pub fn dropped_lines() -> usize {
    DROPPED_LINES.get().map_or(0, ErrorCounter::dropped_lines)
}
