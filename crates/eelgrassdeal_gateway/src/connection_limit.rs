//! Bound on the open connections of a listen address, so that callers leave descriptors for upstreams,
//! other nodes and the store. Further connections wait in the system's queue.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_logging::LogLimiter;
use event_listener::Event;

/// Descriptors of a process that are reserved for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Shortest time between two lines on an address whose connections are all in use.
const FULL_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Bounds the open connections of one listen address.
#[derive(Debug)]
pub(crate) struct ConnectionLimit {
    max: Cell<u32>,
    open: Cell<u32>,
    ended: Event,
    full_log: LogLimiter,
}

impl ConnectionLimit {
    /// Permits connections to take `fraction` of the descriptors that a process has for sockets.
    pub(crate) fn new(max_descriptors: u64, fraction: f64) -> Rc<Self> {
        let sockets = max_descriptors.saturating_sub(FILE_DESCRIPTORS) as f64;
        Self::with_max((sockets * fraction).max(1.0) as u32)
    }

    /// Permits any number of connections.
    pub(crate) fn unlimited() -> Rc<Self> {
        Self::with_max(u32::MAX)
    }

    fn with_max(max: u32) -> Rc<Self> {
        let full_log = LogLimiter::new(FULL_LOG_INTERVAL);
        Rc::new(Self { max: Cell::new(max), open: Cell::new(0), ended: Event::new(), full_log })
    }

    /// Permits any number of connections from now on.
    pub(crate) fn lift(&self) {
        self.max.set(u32::MAX);
        self.ended.notify(usize::MAX);
    }

    /// Waits until one more connection may be open. It counts until the permit is dropped.
    pub(crate) async fn reserve(self: &Rc<Self>) -> ConnectionPermit {
        while self.open.get() >= self.max.get() {
            metrics::counter!("eelgrassdeal_accept_waits_total").increment(1);
            if self.full_log.is_due(Instant::now()) {
                let (open, max) = (self.open.get(), self.max.get());
                log::warn!("event=connections_full open={open} max={max}");
            }
            self.ended.listen().await;
        }
        self.open.set(self.open.get() + 1);
        ConnectionPermit(self.clone())
    }
}

/// Counts as one open connection until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionPermit(Rc<ConnectionLimit>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.ended.notify(1);
    }
}
