//! Bounded queue of response bytes between the relay of a stream and the caller's connection.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use slotmap::{DefaultKey, SlotMap};

/// Limits the number of bytes in all response queues of a node together.
pub(crate) struct MemoryBudget {
    limit: u64,
    used_bytes: Cell<u64>,
    peak_bytes: Cell<u64>,
    /// Peak number of bytes that one stream had pushed and not yet written to its socket.
    peak_stream_bytes: Cell<usize>,
    /// One entry for each queue: its waker while the queue waits for bytes of the budget.
    waiters: RefCell<SlotMap<DefaultKey, Option<Waker>>>,
    has_waiters: Cell<bool>,
}

impl MemoryBudget {
    pub(crate) fn new(limit: u64) -> Rc<Self> {
        Rc::new(Self {
            limit,
            used_bytes: Cell::new(0),
            peak_bytes: Cell::new(0),
            peak_stream_bytes: Cell::new(0),
            waiters: RefCell::new(SlotMap::new()),
            has_waiters: Cell::new(false),
        })
    }

    /// Bytes in all queues at present.
    pub(crate) fn used_bytes(&self) -> u64 {
        self.used_bytes.get()
    }

    /// Peak number of bytes in all queues together since the node started.
    pub(crate) fn peak_bytes(&self) -> u64 {
        self.peak_bytes.get()
    }

    /// Peak number of bytes that one stream buffered since the node started, including bytes that
    /// hyper had taken from the queue and not yet written to the socket.
    pub(crate) fn peak_stream_bytes(&self) -> usize {
        self.peak_stream_bytes.get()
    }

    /// Whether a stream waits until other streams release bytes of the budget.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.has_waiters.get()
    }

    /// Whether `size` more bytes fit. A chunk larger than the limit fits only if all queues are
    /// empty.
    fn has_room(&self, size: u64) -> bool {
        self.used_bytes.get() == 0 || self.used_bytes.get() + size <= self.limit
    }

    fn reserve(&self, size: u64) {
        self.used_bytes.set(self.used_bytes.get() + size);
        self.peak_bytes.set(self.peak_bytes.get().max(self.used_bytes.get()));
        metrics::gauge!("eelgrassdeal_buffered_bytes").set(self.used_bytes.get() as f64);
    }

    fn release(&self, size: u64) {
        self.used_bytes.set(self.used_bytes.get().saturating_sub(size));
        metrics::gauge!("eelgrassdeal_buffered_bytes").set(self.used_bytes.get() as f64);
        if self.has_waiters.replace(false) {
            let mut waiters = self.waiters.borrow_mut();
            waiters.values_mut().filter_map(Option::take).for_each(Waker::wake);
        }
    }

    fn register_waiter(&self, waiter_key: DefaultKey, waker: &Waker) {
        if let Some(waiter) = self.waiters.borrow_mut().get_mut(waiter_key) {
            *waiter = Some(waker.clone());
            self.has_waiters.set(true);
        }
    }
}

struct QueuedChunk {
    /// Server-sent event as it is written to the socket.
    frame: Bytes,
    /// Length of the response text in the frame.
    text_bytes: usize,
}

/// A frame whose bytes count as unwritten until it is dropped, which happens once its last byte was
/// written to the socket.
struct CountedFrame {
    bytes: Vec<u8>,
    /// Atomic only because `Bytes` requires its owner to be `Send`.
    unwritten_bytes: Arc<AtomicUsize>,
}

impl CountedFrame {
    fn new(bytes: Vec<u8>, unwritten_bytes: &Arc<AtomicUsize>) -> Self {
        unwritten_bytes.fetch_add(bytes.len(), Ordering::Relaxed);
        Self { bytes, unwritten_bytes: unwritten_bytes.clone() }
    }
}

impl AsRef<[u8]> for CountedFrame {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for CountedFrame {
    fn drop(&mut self) {
        self.unwritten_bytes.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}

#[derive(Default)]
struct QueueState {
    chunks: VecDeque<QueuedChunk>,
    /// Bytes in `chunks`.
    queued_bytes: usize,
    /// Bytes in `chunks`, plus bytes that hyper has taken and not yet written to the socket.
    unwritten_bytes: Arc<AtomicUsize>,
    /// Bytes pushed since the queue was created, without those that were removed again.
    pushed_bytes: u64,
    /// The writing side has pushed the complete response.
    is_finished: bool,
    /// The writing side was dropped before the response was complete.
    is_aborted: bool,
    /// The reading side was dropped: the caller's connection is closed.
    is_closed: bool,
    /// Present while the connection can accept a chunk and the queue is empty.
    reader_waker: Option<Waker>,
    writer_waker: Option<Waker>,
}

/// The caller's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerDisconnected;

/// Totals of the chunks that were removed from a queue before the connection took them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RemovedChunks {
    pub(crate) count: u64,
    /// Length of the response text in these chunks.
    pub(crate) text_bytes: usize,
}

/// Writing side of the queue, owned by the relay.
pub(crate) struct ResponseQueue {
    state: Rc<RefCell<QueueState>>,
    limit: usize,
    budget: Rc<MemoryBudget>,
    /// Key of this queue in [`MemoryBudget::waiters`].
    waiter_key: DefaultKey,
}

/// Reading side of the queue: the body of the response.
pub(crate) struct StreamBody {
    state: Rc<RefCell<QueueState>>,
    budget: Rc<MemoryBudget>,
}

/// Creates a queue for at most `limit` bytes, or for one chunk that is larger. Bytes that hyper has
/// taken and not yet written to the socket count towards the limit.
pub(crate) fn response_queue(
    limit: usize,
    budget: &Rc<MemoryBudget>,
) -> (ResponseQueue, StreamBody) {
    let state = Rc::new(RefCell::new(QueueState::default()));
    let waiter_key = budget.waiters.borrow_mut().insert(None);
    let queue = ResponseQueue { state: state.clone(), limit, budget: budget.clone(), waiter_key };
    (queue, StreamBody { state, budget: budget.clone() })
}

impl ResponseQueue {
    /// Waits until a chunk of `size` bytes fits.
    pub(crate) async fn wait_for_room(&self, size: usize) -> Result<(), CallerDisconnected> {
        poll_fn(|context| {
            let mut state = self.state.borrow_mut();
            if state.is_closed {
                return Poll::Ready(Err(CallerDisconnected));
            }
            let unwritten = state.unwritten_bytes.load(Ordering::Relaxed);
            let has_own_room = unwritten == 0 || unwritten + size <= self.limit;
            if has_own_room && self.budget.has_room(size as u64) {
                return Poll::Ready(Ok(()));
            }
            state.writer_waker = Some(context.waker().clone());
            if has_own_room {
                self.budget.register_waiter(self.waiter_key, context.waker());
            }
            Poll::Pending
        })
        .await
    }

    /// Waits until the connection has written all chunks to the socket and polls for the next one.
    pub(crate) async fn wait_for_reader(&self) -> Result<(), CallerDisconnected> {
        poll_fn(|context| {
            let mut state = self.state.borrow_mut();
            let is_drained = state.unwritten_bytes.load(Ordering::Relaxed) == 0;
            match (state.is_closed, state.reader_waker.is_some() && is_drained) {
                (true, _) => Poll::Ready(Err(CallerDisconnected)),
                (false, true) => Poll::Ready(Ok(())),
                (false, false) => {
                    state.writer_waker = Some(context.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }

    /// Queues a chunk with `text_bytes` bytes of response text. [`Self::wait_for_room`] must have
    /// returned before; this function doesn't check the limits.
    pub(crate) fn push(&self, frame: Vec<u8>, text_bytes: usize) -> Result<(), CallerDisconnected> {
        let mut state = self.state.borrow_mut();
        if state.is_closed {
            return Err(CallerDisconnected);
        }
        self.budget.reserve(frame.len() as u64);
        state.queued_bytes += frame.len();
        state.pushed_bytes += frame.len() as u64;
        let frame = Bytes::from_owner(CountedFrame::new(frame, &state.unwritten_bytes));
        let unwritten = state.unwritten_bytes.load(Ordering::Relaxed);
        self.budget.peak_stream_bytes.set(self.budget.peak_stream_bytes.get().max(unwritten));
        state.chunks.push_back(QueuedChunk { frame, text_bytes });
        wake(&mut state.reader_waker);
        Ok(())
    }

    /// Removes the chunks that the connection has not taken yet.
    pub(crate) fn remove_queued(&self) -> RemovedChunks {
        let mut state = self.state.borrow_mut();
        let mut removed = RemovedChunks::default();
        for chunk in state.chunks.drain(..) {
            removed.count += 1;
            removed.text_bytes += chunk.text_bytes;
        }
        // Frees the memory of the queue as well, which a long queue may have grown.
        state.chunks.shrink_to_fit();
        let bytes = std::mem::take(&mut state.queued_bytes);
        state.pushed_bytes -= bytes as u64;
        drop(state);
        self.budget.release(bytes as u64);
        removed
    }

    /// Bytes that the connection has written to the socket.
    pub(crate) fn written_bytes(&self) -> u64 {
        let state = self.state.borrow();
        state.pushed_bytes - state.unwritten_bytes.load(Ordering::Relaxed) as u64
    }

    /// Whether the connection has taken all chunks.
    pub(crate) fn is_empty(&self) -> bool {
        self.state.borrow().chunks.is_empty()
    }

    /// Waits until the caller's connection is closed.
    pub(crate) async fn wait_closed(&self) {
        poll_fn(|context| {
            let mut state = self.state.borrow_mut();
            match state.is_closed {
                true => Poll::Ready(()),
                false => {
                    state.writer_waker = Some(context.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await;
    }

    /// Ends the body after the chunks that are queued.
    pub(crate) fn finish(self) {
        self.state.borrow_mut().is_finished = true;
    }
}

impl Drop for ResponseQueue {
    /// Dropping the queue without [`ResponseQueue::finish`] aborts the connection, so that the
    /// caller cannot mistake a truncated response for a complete one.
    fn drop(&mut self) {
        self.budget.waiters.borrow_mut().remove(self.waiter_key);
        let mut state = self.state.borrow_mut();
        state.is_aborted = !state.is_finished;
        wake(&mut state.reader_waker);
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let mut state = self.state.borrow_mut();
        match state.chunks.pop_front() {
            Some(QueuedChunk { frame, .. }) => {
                state.queued_bytes -= frame.len();
                wake(&mut state.writer_waker);
                drop(state);
                self.budget.release(frame.len() as u64);
                Poll::Ready(Some(Ok(Frame::data(frame))))
            }
            None if state.is_finished => Poll::Ready(None),
            None if state.is_aborted => {
                Poll::Ready(Some(Err(io::Error::other("the response was aborted"))))
            }
            None => {
                state.reader_waker = Some(context.waker().clone());
                wake(&mut state.writer_waker);
                Poll::Pending
            }
        }
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        state.is_closed = true;
        let bytes = std::mem::take(&mut state.queued_bytes);
        state.chunks.clear();
        wake(&mut state.writer_waker);
        drop(state);
        self.budget.release(bytes as u64);
    }
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}
