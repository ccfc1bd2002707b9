//! Fakes and nodes that run in threads of this process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use compio::runtime::Runtime;
use eelgrassdeal_node::start_node;
use eelgrassdeal_schema::settings::NodeSettings;
use eelgrassdeal_standins::{EngineFake, EngineOptions, ObjectFake, TableFake, VmListFake};

/// Interval at which threads check whether to stop, and at which the active revisions are read.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Threads that are stopped and joined when the value is dropped.
pub(super) struct FleetThreads {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl FleetThreads {
    pub(super) fn new() -> Self {
        Self { stop: Arc::default(), threads: Vec::new() }
    }

    /// Starts fakes of the table service, the object store and the VM list in one thread, and
    /// returns their addresses in this order.
    pub(super) fn start_platform(&mut self, vms: Vec<String>) -> [SocketAddr; 3] {
        let stop = self.stop.clone();
        let (sender, receiver) = channel();
        self.spawn(async move || {
            let vm_list = VmListFake::new();
            for vm in &vms {
                vm_list.set(vm, Some("live"));
            }
            let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
            let handles = [
                TableFake::new().serve(any_port).await.expect("table service starts"),
                ObjectFake::new().serve(any_port).await.expect("object store starts"),
                vm_list.serve(any_port).await.expect("VM list starts"),
            ];
            let _ = sender.send(std::array::from_fn(|index| handles[index].address()));
            wait_for_stop(&stop).await;
        });
        receiver.recv().expect("platform fakes start")
    }

    /// Starts an engine for each VM, all in one thread, and returns their addresses in the order of
    /// `vms`.
    pub(super) fn start_engines(&mut self, vms: Vec<String>) -> Vec<SocketAddr> {
        let stop = self.stop.clone();
        let (sender, receiver) = channel();
        self.spawn(async move || {
            let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
            let mut handles = Vec::new();
            for vm in vms {
                let engine = EngineFake::new(EngineOptions::new(vm));
                handles.push(engine.serve(any_port).await.expect("engine starts"));
            }
            let _ = sender.send(handles.iter().map(|handle| handle.address()).collect());
            wait_for_stop(&stop).await;
        });
        receiver.recv().expect("engines start")
    }

    /// Starts nodes in one thread. Into the number that is paired with the settings of a node, the
    /// thread repeatedly writes the revision of the node's active configuration.
    pub(super) fn start_nodes(&mut self, nodes: Vec<(NodeSettings, Arc<AtomicU64>)>) {
        let stop = self.stop.clone();
        let (sender, receiver): (Sender<()>, _) = channel();
        self.spawn(async move || {
            let mut handles = Vec::new();
            for (settings, revision) in nodes {
                let handle = start_node(settings).await.expect("node starts");
                handles.push((handle, revision));
            }
            let _ = sender.send(());
            while !stop.load(Ordering::Relaxed) {
                for (handle, revision) in &handles {
                    revision.store(handle.revision(), Ordering::Relaxed);
                }
                compio::time::sleep(POLL_INTERVAL).await;
            }
        });
        receiver.recv().expect("nodes start");
    }

    /// Runs `body` in a new thread with its own runtime.
    fn spawn<F>(&mut self, body: F)
    where
        F: AsyncFnOnce() + Send + 'static,
    {
        self.threads.push(std::thread::spawn(move || {
            Runtime::new().expect("a runtime").block_on(body());
        }));
    }
}

impl Drop for FleetThreads {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

async fn wait_for_stop(stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        compio::time::sleep(POLL_INTERVAL).await;
    }
}
