//! Bounded queue of answer bytes between the relay of a stream and its caller's connection.

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

/// Bytes that all queues of a node may hold together.
pub(crate) struct MemoryBudget {
    limit: u64,
    held: Cell<u64>,
    peak: Cell<u64>,
    /// Most bytes that one stream held, written to no socket yet.
    stream_peak: Cell<usize>,
    /// One place for each queue; filled while the queue waits for room.
    waiting: RefCell<SlotMap<DefaultKey, Option<Waker>>>,
    has_waiting: Cell<bool>,
}

impl MemoryBudget {
    pub(crate) fn new(limit: u64) -> Rc<Self> {
        Rc::new(Self {
            limit,
            held: Cell::new(0),
            peak: Cell::new(0),
            stream_peak: Cell::new(0),
            waiting: RefCell::new(SlotMap::new()),
            has_waiting: Cell::new(false),
        })
    }

    /// Bytes held now.
    pub(crate) fn held(&self) -> u64 {
        self.held.get()
    }

    /// Most bytes that were held at once.
    pub(crate) fn peak(&self) -> u64 {
        self.peak.get()
    }

    /// Most bytes that one stream held at once, with those that hyper had taken.
    pub(crate) fn stream_peak(&self) -> usize {
        self.stream_peak.get()
    }

    /// Whether a stream waits for bytes of others to be given back.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.has_waiting.get()
    }

    /// Whether `size` more bytes fit. A chunk above the limit fits only alone.
    fn has_room(&self, size: u64) -> bool {
        self.held.get() == 0 || self.held.get() + size <= self.limit
    }

    fn take(&self, size: u64) {
        self.held.set(self.held.get() + size);
        self.peak.set(self.peak.get().max(self.held.get()));
        metrics::gauge!("eelgrassdeal_buffered_bytes").set(self.held.get() as f64);
    }

    fn give_back(&self, size: u64) {
        self.held.set(self.held.get().saturating_sub(size));
        metrics::gauge!("eelgrassdeal_buffered_bytes").set(self.held.get() as f64);
        if self.has_waiting.replace(false) {
            let mut waiting = self.waiting.borrow_mut();
            waiting.values_mut().filter_map(Option::take).for_each(Waker::wake);
        }
    }

    fn wait(&self, place: DefaultKey, waker: &Waker) {
        if let Some(waiting) = self.waiting.borrow_mut().get_mut(place) {
            *waiting = Some(waker.clone());
            self.has_waiting.set(true);
        }
    }
}

struct QueuedChunk {
    frame: Bytes,
    text_bytes: usize,
}

/// A frame that is counted until its last byte was written to the socket.
struct CountedFrame {
    bytes: Vec<u8>,
    /// Atomic only because `Bytes` may be sent to other threads.
    unwritten: Arc<AtomicUsize>,
}

impl CountedFrame {
    fn new(bytes: Vec<u8>, unwritten: &Arc<AtomicUsize>) -> Self {
        unwritten.fetch_add(bytes.len(), Ordering::Relaxed);
        Self { bytes, unwritten: unwritten.clone() }
    }
}

impl AsRef<[u8]> for CountedFrame {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for CountedFrame {
    fn drop(&mut self) {
        self.unwritten.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}

#[derive(Default)]
struct QueueState {
    chunks: VecDeque<QueuedChunk>,
    bytes: usize,
    /// Bytes of the queue and those that hyper has taken and not written yet.
    unwritten: Arc<AtomicUsize>,
    /// Bytes pushed in all, less those that were removed.
    pushed: u64,
    is_finished: bool,
    is_cut: bool,
    is_closed: bool,
    /// Present while the connection has room and waits for a chunk.
    reader: Option<Waker>,
    writer: Option<Waker>,
}

/// The caller's connection is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerGone;

/// Chunks that were removed from a queue before the connection took them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RemovedChunks {
    pub(crate) count: u64,
    pub(crate) text_bytes: usize,
}

/// Writing side, held by the relay.
pub(crate) struct AnswerQueue {
    state: Rc<RefCell<QueueState>>,
    limit: usize,
    budget: Rc<MemoryBudget>,
    place: DefaultKey,
}

/// Reading side: the body of the answer.
pub(crate) struct AnswerBody {
    state: Rc<RefCell<QueueState>>,
    budget: Rc<MemoryBudget>,
}

/// Makes a queue that holds at most `limit` bytes, or one chunk that is larger. Bytes that hyper has
/// taken and not yet written count as held.
pub(crate) fn answer_queue(limit: usize, budget: &Rc<MemoryBudget>) -> (AnswerQueue, AnswerBody) {
    let state = Rc::new(RefCell::new(QueueState::default()));
    let place = budget.waiting.borrow_mut().insert(None);
    let queue = AnswerQueue { state: state.clone(), limit, budget: budget.clone(), place };
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
            let unwritten = state.unwritten.load(Ordering::Relaxed);
            let has_own_room = unwritten == 0 || unwritten + size <= self.limit;
            if has_own_room && self.budget.has_room(size as u64) {
                return Poll::Ready(Ok(()));
            }
            state.writer = Some(context.waker().clone());
            if has_own_room {
                self.budget.wait(self.place, context.waker());
            }
            Poll::Pending
        })
        .await
    }

    /// Waits until the connection has written all chunks and asks for more.
    pub(crate) async fn wait_for_reader(&self) -> Result<(), CallerGone> {
        poll_fn(|context| {
            let mut state = self.state.borrow_mut();
            let is_drained = state.unwritten.load(Ordering::Relaxed) == 0;
            match (state.is_closed, state.reader.is_some() && is_drained) {
                (true, _) => Poll::Ready(Err(CallerGone)),
                (false, true) => Poll::Ready(Ok(())),
                (false, false) => {
                    state.writer = Some(context.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }

    /// Queues a chunk that adds `text_bytes` of text. The caller of this function has waited for
    /// room.
    pub(crate) fn push(&self, frame: Vec<u8>, text_bytes: usize) -> Result<(), CallerGone> {
        let mut state = self.state.borrow_mut();
        if state.is_closed {
            return Err(CallerGone);
        }
        self.budget.take(frame.len() as u64);
        state.bytes += frame.len();
        state.pushed += frame.len() as u64;
        let frame = Bytes::from_owner(CountedFrame::new(frame, &state.unwritten));
        let unwritten = state.unwritten.load(Ordering::Relaxed);
        self.budget.stream_peak.set(self.budget.stream_peak.get().max(unwritten));
        state.chunks.push_back(QueuedChunk { frame, text_bytes });
        wake(&mut state.reader);
        Ok(())
    }

    /// Removes the chunks that the connection has not taken.
    pub(crate) fn remove_queued(&self) -> RemovedChunks {
        let mut state = self.state.borrow_mut();
        let mut removed = RemovedChunks::default();
        for chunk in state.chunks.drain(..) {
            removed.count += 1;
            removed.text_bytes += chunk.text_bytes;
        }
        // The space of a full queue is given back too.
        state.chunks.shrink_to_fit();
        let bytes = std::mem::take(&mut state.bytes);
        state.pushed -= bytes as u64;
        drop(state);
        self.budget.give_back(bytes as u64);
        removed
    }

    /// Bytes that the connection has written.
    pub(crate) fn written(&self) -> u64 {
        let state = self.state.borrow();
        state.pushed - state.unwritten.load(Ordering::Relaxed) as u64
    }

    /// Whether no chunk is queued.
    pub(crate) fn is_empty(&self) -> bool {
        self.state.borrow().chunks.is_empty()
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
        self.budget.waiting.borrow_mut().remove(self.place);
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
            Some(QueuedChunk { frame, .. }) => {
                state.bytes -= frame.len();
                wake(&mut state.writer);
                drop(state);
                self.budget.give_back(frame.len() as u64);
                Poll::Ready(Some(Ok(Frame::data(frame))))
            }
            None if state.is_finished => Poll::Ready(None),
            None if state.is_cut => {
                Poll::Ready(Some(Err(io::Error::other("the answer broke off"))))
            }
            None => {
                state.reader = Some(context.waker().clone());
                wake(&mut state.writer);
                Poll::Pending
            }
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        state.is_closed = true;
        let bytes = std::mem::take(&mut state.bytes);
        state.chunks.clear();
        wake(&mut state.writer);
        drop(state);
        self.budget.give_back(bytes as u64);
    }
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}
