//! State of the front end that its tasks share.

use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::{AbortHandle, Shared};
use slotmap::{DefaultKey, SlotMap};

use crate::pace::PaceBook;
use crate::retry_budget::RetryBudget;

/// State of the front end.
#[derive(Default)]
pub(crate) struct FrontState {
    pub(crate) retries: RefCell<RetryBudget>,
    pub(crate) paces: RefCell<PaceBook>,
    pub(crate) tasks: TaskSet,
    pub(crate) closing: CloseSignal,
}

/// Tells connections to close when their request is answered.
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
    /// Sends the signal to all connections, also to those that are accepted later.
    pub(crate) fn send(&self) {
        self.sender.borrow_mut().take();
    }

    /// Waits for the signal.
    pub(crate) async fn wait(&self) {
        // The sender is dropped, so the result says that it is gone.
        let _ = self.receiver.clone().await;
    }
}

/// Tasks that end when the node is dropped.
///
/// A connection's task is detached, so that it can outlive the loop that accepted it during a
/// shutdown. Without the set it would also outlive a node that a test has killed.
#[derive(Default)]
pub(crate) struct TaskSet {
    handles: Rc<RefCell<SlotMap<DefaultKey, AbortHandle>>>,
}

impl TaskSet {
    /// Spawns a task that [`TaskSet::abort_all`] ends.
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

    /// Ends all tasks at their next wait.
    pub(crate) fn abort_all(&self) {
        self.handles.borrow().values().for_each(AbortHandle::abort);
    }
}
