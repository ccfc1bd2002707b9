//! One node in a thread of its own.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use compio::runtime::Runtime;
use eelgrassdeal_node::{NodeHandle, start_node};
use eelgrassdeal_schema::settings::NodeSettings;
use futures_channel::oneshot;
use futures_util::future::{Either, select};

const FIGURE_POLL: Duration = Duration::from_millis(5);

/// How a node ends.
enum NodeEnd {
    Kill,
    ShutDown,
}

/// What a node said of itself last.
#[derive(Default)]
struct NodeFigures {
    revision: AtomicU64,
    buffered_bytes: AtomicU64,
    peak_buffered_bytes: AtomicU64,
    peak_stream_bytes: AtomicU64,
    in_flight: AtomicU64,
}

impl NodeFigures {
    /// Takes one moment's figures. The requests in flight come last, so that whoever sees none
    /// also sees what the others are without them.
    fn update(&self, handle: &NodeHandle) {
        self.revision.store(handle.revision(), Ordering::SeqCst);
        self.buffered_bytes.store(handle.buffered_bytes(), Ordering::SeqCst);
        self.peak_buffered_bytes.store(handle.peak_buffered_bytes(), Ordering::SeqCst);
        self.peak_stream_bytes.store(handle.peak_stream_bytes() as u64, Ordering::SeqCst);
        self.in_flight.store(u64::from(handle.in_flight()), Ordering::SeqCst);
    }
}

/// A node with its own runtime, so that a kill drops all its tasks and sockets at once.
pub struct NodeThread {
    end: Option<oneshot::Sender<NodeEnd>>,
    figures: Arc<NodeFigures>,
    thread: Option<JoinHandle<()>>,
}

impl NodeThread {
    /// Starts a node and waits until it listens.
    ///
    /// # Panics
    ///
    /// When the node cannot start.
    pub async fn start(settings: NodeSettings) -> Self {
        let (end, end_receiver) = oneshot::channel();
        let (started_sender, started) = oneshot::channel();
        let figures = Arc::new(NodeFigures::default());
        let shared_figures = figures.clone();
        let thread = std::thread::spawn(move || {
            let runtime = Runtime::new().expect("a runtime");
            runtime.block_on(run_until(settings, started_sender, shared_figures, end_receiver));
        });
        started.await.expect("the node starts");
        Self { end: Some(end), figures, thread: Some(thread) }
    }

    /// Revision of the configuration in force on this node.
    pub fn revision(&self) -> u64 {
        self.figures.revision.load(Ordering::SeqCst)
    }

    /// Bytes queued for callers.
    pub fn buffered_bytes(&self) -> u64 {
        self.figures.buffered_bytes.load(Ordering::SeqCst)
    }

    /// Most bytes that were queued for all callers at once.
    pub fn peak_buffered_bytes(&self) -> u64 {
        self.figures.peak_buffered_bytes.load(Ordering::SeqCst)
    }

    /// Most bytes that were queued for one caller at once.
    pub fn peak_stream_bytes(&self) -> u64 {
        self.figures.peak_stream_bytes.load(Ordering::SeqCst)
    }

    /// Requests in flight at upstreams.
    pub fn in_flight(&self) -> u64 {
        self.figures.in_flight.load(Ordering::SeqCst)
    }

    /// Begins a graceful shutdown. The returned future is ready when the node has ended.
    pub fn shut_down(mut self) -> impl Future<Output = ()> {
        self.send_end(NodeEnd::ShutDown);
        async move {
            while self.thread.as_ref().is_some_and(|thread| !thread.is_finished()) {
                compio::time::sleep(FIGURE_POLL).await;
            }
        }
    }

    fn send_end(&mut self, end: NodeEnd) {
        if let Some(sender) = self.end.take() {
            let _ = sender.send(end);
        }
    }
}

impl Drop for NodeThread {
    /// Kills the node.
    fn drop(&mut self) {
        self.send_end(NodeEnd::Kill);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn run_until(
    settings: NodeSettings,
    started: oneshot::Sender<()>,
    figures: Arc<NodeFigures>,
    end: oneshot::Receiver<NodeEnd>,
) {
    let handle = start_node(settings).await.expect("the node starts");
    let _ = started.send(());
    let watch = async {
        loop {
            figures.update(&handle);
            compio::time::sleep(FIGURE_POLL).await;
        }
    };
    let end = match select(std::pin::pin!(watch), end).await {
        Either::Left(((), _)) => return,
        Either::Right((end, _)) => end,
    };
    if let Ok(NodeEnd::ShutDown) = end {
        handle.shut_down().await;
    }
}
