//! Signals that operators and the platform send to the process.
//!
//! The handlers stay installed until the process ends. Otherwise a signal that comes while an earlier
//! one of the same kind has its effect would end the process at once.

use std::io;
use std::os::unix::net::UnixStream as BlockingStream;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

/// Capacity for the bytes of signals that came in series, which count as one.
const SERIES_BYTES: usize = 1_024;

/// The signals that come from when this is created on. The handlers write a byte for each.
#[derive(Debug)]
pub struct ProcessSignals {
    stop: BlockingStream,
    reload: BlockingStream,
}

impl ProcessSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// When the operating system refuses a handler or its pipe.
    pub fn install() -> io::Result<Self> {
        Ok(Self { stop: notify_on(&[SIGTERM, SIGINT])?, reload: notify_on(&[SIGHUP])? })
    }

    /// The signals that ask the process to end, and those that ask it to load its settings again.
    pub(crate) fn into_listeners(self) -> io::Result<(SignalListener, SignalListener)> {
        Ok((SignalListener::new(self.stop)?, SignalListener::new(self.reload)?))
    }
}

/// Waits for signals of one kind.
#[derive(Debug)]
pub(crate) struct SignalListener(UnixStream);

impl SignalListener {
    fn new(stream: BlockingStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        Ok(Self(UnixStream::from_std(stream)?))
    }

    /// Waits for the next signal. Several that came since the last call count as one.
    pub(crate) async fn wait(&mut self) {
        let BufResult(read, _) = self.0.read(Vec::with_capacity(SERIES_BYTES)).await;
        if let Err(error) = read {
            log::error!("event=signal_unavailable reason=\"{error}\"");
            std::future::pending().await
        }
    }
}

/// The end at which a byte can be read after each of these signals.
fn notify_on(signals: &[i32]) -> io::Result<BlockingStream> {
    let (reader, writer) = BlockingStream::pair()?;
    for signal in signals {
        pipe::register(*signal, writer.try_clone()?)?;
    }
    Ok(reader)
}
