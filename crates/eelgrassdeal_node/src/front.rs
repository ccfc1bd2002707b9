//! State that the connection tasks of the HTTP front end share.

use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::{AbortHandle, Shared};
use slotmap::{DefaultKey, SlotMap};

use crate::retry_budget::RetryBudgets;
use crate::token_interval::IntervalTracker;

/// State that the connection tasks of the HTTP front end share.
#[derive(Default)]
pub(crate) struct FrontState {
    pub(crate) retry_budgets: RefCell<RetryBudgets>,
    pub(crate) interval_tracker: RefCell<IntervalTracker>,
    pub(crate) tasks: TaskSet,
    pub(crate) close_signal: CloseSignal,
}

/// Tells connections to close once their current request is answered.
pub(crate) struct CloseSignal {
    sender: RefCell<Option<oneshot::Sender<()>>>,
    receiver: Shared<oneshot::Receiver<()>>,
}

impl Default for CloseSignal {
    fn default() -> Self {
        let (sender, receiver) = oneshot::channel();
        Self { sender: RefCell::new(Some(sender)), receiver: receiver.shared() }
    }
}

impl CloseSignal {
    /// Sends the signal to all connections, including those that are accepted later.
    pub(crate) fn send(&self) {
        self.sender.borrow_mut().take();
    }

    /// Waits until the signal is sent; returns at once if it was sent before.
    pub(crate) async fn wait(&self) {
        // The result is always `Canceled`: `send` drops the sender without a value.
        let _ = self.receiver.clone().await;
    }
}

/// Detached tasks that are aborted when the node is dropped.
///
/// Tasks of connections are detached, so that during a shutdown they can outlive the task that
/// accepts connections. Without this set they would also outlive a node that a test drops to
/// simulate a crash.
#[derive(Default)]
pub(crate) struct TaskSet {
    handles: Rc<RefCell<SlotMap<DefaultKey, AbortHandle>>>,
}

impl TaskSet {
    /// Spawns a detached task that [`TaskSet::abort_all`] can abort.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let (task, handle) = futures_util::future::abortable(task);
        let key = self.handles.borrow_mut().insert(handle);
        let handles = self.handles.clone();
        compio::runtime::spawn(async move {
            let _ = task.await;
            handles.borrow_mut().remove(key);
        })
        .detach();
    }

    /// Aborts all tasks. Each ends at the `await` at which it is suspended.
    pub(crate) fn abort_all(&self) {
        self.handles.borrow().values().for_each(AbortHandle::abort);
    }
}
