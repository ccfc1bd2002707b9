//! One node in a thread of its own.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use compio::runtime::Runtime;
use eelgrassdeal_node::start_node;
use eelgrassdeal_schema::settings::NodeSettings;
use futures_channel::oneshot;
use futures_util::future::{Either, select};

const REVISION_POLL: Duration = Duration::from_millis(5);

/// How a node ends.
enum NodeEnd {
    Kill,
    ShutDown,
}

/// A node with its own runtime, so that a kill drops all its tasks and sockets at once.
pub struct NodeThread {
    end: Option<oneshot::Sender<NodeEnd>>,
    revision: Arc<AtomicU64>,
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
        let revision = Arc::new(AtomicU64::new(0));
        let shared_revision = revision.clone();
        let thread = std::thread::spawn(move || {
            let runtime = Runtime::new().expect("a runtime");
            runtime.block_on(run_until(settings, started_sender, shared_revision, end_receiver));
        });
        started.await.expect("the node starts");
        Self { end: Some(end), revision, thread: Some(thread) }
    }

    /// Revision of the configuration in force on this node.
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::Relaxed)
    }

    /// Begins a graceful shutdown. The returned future is ready when the node has ended.
    pub fn shut_down(mut self) -> impl Future<Output = ()> {
        self.send_end(NodeEnd::ShutDown);
        async move {
            while self.thread.as_ref().is_some_and(|thread| !thread.is_finished()) {
                compio::time::sleep(REVISION_POLL).await;
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
    revision: Arc<AtomicU64>,
    end: oneshot::Receiver<NodeEnd>,
) {
    let handle = start_node(settings).await.expect("the node starts");
    let _ = started.send(());
    let watch = async {
        loop {
            revision.store(handle.revision(), Ordering::Relaxed);
            compio::time::sleep(REVISION_POLL).await;
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
