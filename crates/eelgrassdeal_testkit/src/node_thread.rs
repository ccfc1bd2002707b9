//! A node that runs in a thread of the test process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use compio::runtime::Runtime;
use eelgrassdeal_node::{NodeHandle, start_node};
use eelgrassdeal_schema::settings::NodeSettings;
use futures_channel::oneshot;
use futures_util::future::{Either, select};

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How a node is stopped.
enum StopMode {
    /// At once, with all its tasks and connections.
    Kill,
    /// Gracefully, after its requests in flight.
    ShutDown,
}

/// Latest values that were read from the [`NodeHandle`], which other threads cannot access.
#[derive(Default)]
struct NodeStats {
    revision: AtomicU64,
    buffered_bytes: AtomicU64,
    peak_buffered_bytes: AtomicU64,
    peak_stream_bytes: AtomicU64,
    in_flight: AtomicU64,
}

impl NodeStats {
    /// Stores the current values. The number of requests in flight is stored last, so that a thread
    /// that first reads 0 requests in flight and then another value gets one at least as recent.
    fn update(&self, handle: &NodeHandle) {
        self.revision.store(handle.revision(), Ordering::SeqCst);
        self.buffered_bytes.store(handle.buffered_bytes(), Ordering::SeqCst);
        self.peak_buffered_bytes.store(handle.peak_buffered_bytes(), Ordering::SeqCst);
        self.peak_stream_bytes.store(handle.peak_stream_bytes() as u64, Ordering::SeqCst);
        self.in_flight.store(u64::from(handle.in_flight()), Ordering::SeqCst);
    }
}

/// A node with a thread and a runtime of its own, so that a kill drops all its tasks and sockets
/// at once.
///
/// The methods return values that are read from the node every 5 ms. Dropping kills the node.
pub struct NodeThread {
    stop_sender: Option<oneshot::Sender<StopMode>>,
    stats: Arc<NodeStats>,
    thread: Option<JoinHandle<()>>,
}

impl NodeThread {
    /// Starts a node and waits until it listens for requests.
    ///
    /// # Panics
    ///
    /// When the node cannot start.
    pub async fn start(settings: NodeSettings) -> Self {
        let (stop_sender, stop_receiver) = oneshot::channel();
        let (started_sender, started_receiver) = oneshot::channel();
        let stats = Arc::new(NodeStats::default());
        let shared_stats = stats.clone();
        let thread = std::thread::spawn(move || {
            let runtime = Runtime::new().expect("a runtime");
            runtime.block_on(run_node_until_stop(
                settings,
                started_sender,
                shared_stats,
                stop_receiver,
            ));
        });
        started_receiver.await.expect("the node should start");
        Self { stop_sender: Some(stop_sender), stats, thread: Some(thread) }
    }

    /// Revision of the configuration that is active on this node.
    pub fn revision(&self) -> u64 {
        self.stats.revision.load(Ordering::SeqCst)
    }

    /// Bytes queued for all callers.
    pub fn buffered_bytes(&self) -> u64 {
        self.stats.buffered_bytes.load(Ordering::SeqCst)
    }

    /// Maximum number of bytes that were queued for all callers at once.
    pub fn peak_buffered_bytes(&self) -> u64 {
        self.stats.peak_buffered_bytes.load(Ordering::SeqCst)
    }

    /// Maximum number of bytes that were queued for one caller at once.
    pub fn peak_stream_bytes(&self) -> u64 {
        self.stats.peak_stream_bytes.load(Ordering::SeqCst)
    }

    /// Number of requests that hold a slot of a replica.
    pub fn in_flight(&self) -> u64 {
        self.stats.in_flight.load(Ordering::SeqCst)
    }

    /// Starts a graceful shutdown. The returned future completes when the node has stopped. If it
    /// is dropped earlier, the drop blocks the calling thread until then.
    pub fn shut_down(mut self) -> impl Future<Output = ()> {
        self.send_stop(StopMode::ShutDown);
        async move {
            while self.thread.as_ref().is_some_and(|thread| !thread.is_finished()) {
                compio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    fn send_stop(&mut self, mode: StopMode) {
        if let Some(sender) = self.stop_sender.take() {
            let _ = sender.send(mode);
        }
    }
}

impl Drop for NodeThread {
    /// Kills the node unless a graceful shutdown was started, and waits until it has stopped.
    fn drop(&mut self) {
        self.send_stop(StopMode::Kill);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn run_node_until_stop(
    settings: NodeSettings,
    started_sender: oneshot::Sender<()>,
    stats: Arc<NodeStats>,
    stop_receiver: oneshot::Receiver<StopMode>,
) {
    let handle = start_node(settings).await.expect("the node should start");
    let _ = started_sender.send(());
    let poll_stats = async {
        loop {
            stats.update(&handle);
            compio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let mode = match select(std::pin::pin!(poll_stats), stop_receiver).await {
        Either::Left(((), _)) => return,
        Either::Right((mode, _)) => mode,
    };
    if let Ok(StopMode::ShutDown) = mode {
        handle.shut_down().await;
    }
}
