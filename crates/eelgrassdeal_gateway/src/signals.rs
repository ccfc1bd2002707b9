//! Signals that operators and the platform send to the process.
//!
//! The handlers stay installed until the process ends. Otherwise a signal that comes while an earlier
//! one of the same kind has its effect would end the process at once.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The signals that have come, from when this is created on.
#[derive(Clone, Debug)]
pub struct ProcessSignals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl ProcessSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// When the operating system refuses a handler.
    pub fn install() -> io::Result<Self> {
        let signals = Self { stop: Arc::default(), reload: Arc::default() };
        for signal in [SIGTERM, SIGINT] {
            flag::register(signal, signals.stop.clone())?;
        }
        flag::register(SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }

    /// Waits for the first SIGTERM or SIGINT.
    pub(crate) async fn wait_for_stop(&self) {
        while !self.stop.load(Ordering::Relaxed) {
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits for SIGHUP. Several that came since the last call count as one.
    pub(crate) async fn wait_for_reload(&self) {
        while !self.reload.swap(false, Ordering::Relaxed) {
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
