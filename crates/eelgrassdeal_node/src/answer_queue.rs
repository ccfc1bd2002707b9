//! Bounded queue of answer bytes between the relay of a stream and its caller's connection.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hyper::body::{Body, Frame};

/// Bytes that all queues of a node may hold together.
pub(crate) struct MemoryBudget {
    limit: u64,
    held: Cell<u64>,
    peak: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
}

impl MemoryBudget {
    pub(crate) fn new(limit: u64) -> Rc<Self> {
        Rc::new(Self {
            limit,
            held: Cell::new(0),
            peak: Cell::new(0),
            waiting: RefCell::new(Vec::new()),
        })
    }

    /// Bytes held now.
    pub(crate) fn held(&self) -> u64 {
        self.held.get()
    }

    /// Whether `size` more bytes fit.
    fn has_room(&self, size: u64) -> bool {
        self.held.get() + size <= self.limit
    }

    fn take(&self, size: u64) {
        self.held.set(self.held.get() + size);
        self.peak.set(self.peak.get().max(self.held.get()));
        metrics::gauge!("eelgrassdeal_buffered_bytes").set(self.held.get() as f64);
    }

    fn give_back(&self, size: u64) {
        self.held.set(self.held.get().saturating_sub(size));
        metrics::gauge!("eelgrassdeal_buffered_bytes").set(self.held.get() as f64);
        self.waiting.borrow_mut().drain(..).for_each(Waker::wake);
    }
}

#[derive(Default)]
struct QueueState {
    chunks: VecDeque<Bytes>,
    bytes: usize,
    is_finished: bool,
    is_cut: bool,
    is_closed: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

/// The caller's connection is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerGone;

/// Writing side, held by the relay.
pub(crate) struct AnswerQueue {
    state: Rc<RefCell<QueueState>>,
    limit: usize,
    budget: Rc<MemoryBudget>,
}

/// Reading side: the body of the answer.
pub(crate) struct AnswerBody {
    state: Rc<RefCell<QueueState>>,
    budget: Rc<MemoryBudget>,
}

/// Makes a queue that holds at most `limit` bytes, or one chunk that is larger.
pub(crate) fn answer_queue(limit: usize, budget: &Rc<MemoryBudget>) -> (AnswerQueue, AnswerBody) {
    let state = Rc::new(RefCell::new(QueueState::default()));
    let queue = AnswerQueue { state: state.clone(), limit, budget: budget.clone() };
    (queue, AnswerBody { state, budget: budget.clone() })
}

impl AnswerQueue {
    /// Waits until a chunk of `size` bytes fits.
    pub(crate) async fn wait_for_room(&self, size: usize) -> Result<(), CallerGone> {
        poll_fn(|context| {
            let mut state = self.state.borrow_mut();
            if state.is_closed {
                return Poll::Ready(Err(CallerGone));
            }
            let has_own_room = state.bytes == 0 || state.bytes + size <= self.limit;
            if has_own_room && (state.bytes == 0 || self.budget.has_room(size as u64)) {
                return Poll::Ready(Ok(()));
            }
            state.writer = Some(context.waker().clone());
            self.budget.waiting.borrow_mut().push(context.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// Queues a chunk. The caller of this function has waited for room.
    pub(crate) fn push(&self, chunk: Bytes) -> Result<(), CallerGone> {
        let mut state = self.state.borrow_mut();
        if state.is_closed {
            return Err(CallerGone);
        }
        self.budget.take(chunk.len() as u64);
        state.bytes += chunk.len();
        state.chunks.push_back(chunk);
        wake(&mut state.reader);
        Ok(())
    }

    /// Waits until the caller's connection is gone.
    pub(crate) async fn closed(&self) {
        poll_fn(|context| {
            let mut state = self.state.borrow_mut();
            match state.is_closed {
                true => Poll::Ready(()),
                false => {
                    state.writer = Some(context.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await;
    }

    /// Ends the body after the queued chunks.
    pub(crate) fn finish(self) {
        self.state.borrow_mut().is_finished = true;
    }
}

impl Drop for AnswerQueue {
    /// A queue that is dropped without [`AnswerQueue::finish`] cuts the connection, so that the
    /// caller cannot take a part of an answer for the whole.
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        state.is_cut = !state.is_finished;
        wake(&mut state.reader);
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let mut state = self.state.borrow_mut();
        match state.chunks.pop_front() {
            Some(chunk) => {
                state.bytes -= chunk.len();
                wake(&mut state.writer);
                drop(state);
                self.budget.give_back(chunk.len() as u64);
                Poll::Ready(Some(Ok(Frame::data(chunk))))
            }
            None if state.is_finished => Poll::Ready(None),
            None if state.is_cut => {
                Poll::Ready(Some(Err(io::Error::other("the answer broke off"))))
            }
            None => {
                state.reader = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        state.is_closed = true;
        self.budget.give_back(state.bytes as u64);
        state.bytes = 0;
        state.chunks.clear();
        wake(&mut state.writer);
    }
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}
