//! What a server connection is doing, observed at its socket, its service and the bodies of its requests
//! and responses.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::{Method, Request};

/// What a server connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// It waits for the first byte of a request; all responses have left.
    Idle,
    /// A part of a request's head has been received.
    Head,
    /// A request has been received, and its response has not begun.
    Request,
    /// A response is being sent. The last phase of a connection whose response stays incomplete.
    Response,
    /// A response is complete, and the system has not taken all of it.
    Flush,
}

impl ConnectionPhase {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Request => "request",
            Self::Response => "response",
            Self::Flush => "flush",
        }
    }
}

/// The phase of one server connection and when it began. The connection's socket, service and response
/// bodies share it.
///
/// Bytes of a next request that arrive before the response to the previous one is complete don't count
/// as its head.
#[derive(Debug)]
pub struct PhaseClock {
    phase: Cell<ConnectionPhase>,
    since: Cell<Instant>,
    requests: Cell<u64>,
    /// Idle timeout at the last response, which told the caller a part of it.
    told_idle: Cell<Duration>,
    has_unsent: Cell<bool>,
    /// Counts the connections in [`ConnectionPhase::Head`].
    head_count: Rc<Cell<u32>>,
    /// Whether the response to the current request has no body, whatever its headers say.
    is_head_request: Cell<bool>,
}

impl PhaseClock {
    /// Creates the clock of a connection that has just been accepted, which is counted in `head_count`
    /// while it is in [`ConnectionPhase::Head`].
    pub fn new(head_count: Rc<Cell<u32>>) -> Rc<Self> {
        Rc::new(Self {
            phase: Cell::new(ConnectionPhase::Idle),
            since: Cell::new(Instant::now()),
            requests: Cell::new(0),
            told_idle: Cell::new(Duration::ZERO),
            has_unsent: Cell::new(false),
            head_count,
            is_head_request: Cell::new(false),
        })
    }

    /// What the connection is doing.
    pub fn phase(&self) -> ConnectionPhase {
        self.phase.get()
    }

    /// When the phase began.
    pub fn since(&self) -> Instant {
        self.since.get()
    }

    /// Number of requests whose heads have been received.
    pub fn request_count(&self) -> u64 {
        self.requests.get()
    }

    /// Records that the head of `request` is complete, and observes its body.
    pub fn begin_request(&self, request: Request<Incoming>) -> Request<RequestBody> {
        self.requests.set(self.requests.get() + 1);
        self.is_head_request.set(request.method() == Method::HEAD);
        self.enter(ConnectionPhase::Request);
        request.map(RequestBody::new)
    }

    /// Records that a response tells the caller a part of this idle timeout.
    pub(crate) fn tell_idle(&self, timeout: Duration) {
        self.told_idle.set(timeout);
    }

    /// Idle timeout at the last response that told the caller of it; zero if none did.
    pub(crate) fn told_idle(&self) -> Duration {
        self.told_idle.get()
    }

    /// Records that the response to the request begins, and observes its body.
    pub fn begin_response<B: Body>(self: &Rc<Self>, body: B) -> TrackedBody<B> {
        self.enter(ConnectionPhase::Response);
        let is_whole = self.is_head_request.get() || body.is_end_stream();
        TrackedBody { body, is_whole, clock: self.clone() }
    }

    /// Records that `bytes` have been received. Empty lines before a request belong to none.
    pub(crate) fn record_read(&self, bytes: &[u8]) {
        let is_empty = bytes.iter().all(|byte| matches!(byte, b'\r' | b'\n'));
        let is_waiting = matches!(self.phase.get(), ConnectionPhase::Idle | ConnectionPhase::Flush);
        if is_waiting && !is_empty {
            self.enter(ConnectionPhase::Head);
        }
    }

    /// Records that the system has taken all output.
    pub(crate) fn record_flush(&self) {
        let was_unsent = self.has_unsent.replace(false);
        match self.phase.get() {
            ConnectionPhase::Flush => self.enter(ConnectionPhase::Idle),
            // The caller has its next request in time if it sends it after it has read the response.
            ConnectionPhase::Head if was_unsent => self.enter(ConnectionPhase::Head),
            _ => {}
        }
    }

    /// Whether the system has not taken all of a response that is complete.
    pub(crate) fn has_unsent(&self) -> bool {
        self.has_unsent.get()
    }

    fn enter(&self, phase: ConnectionPhase) {
        let count = self.head_count.get();
        match (self.phase.replace(phase), phase) {
            (ConnectionPhase::Head, ConnectionPhase::Head) => {}
            (ConnectionPhase::Head, _) => self.head_count.set(count - 1),
            (_, ConnectionPhase::Head) => self.head_count.set(count + 1),
            _ => {}
        }
        self.since.set(Instant::now());
    }
}

impl Drop for PhaseClock {
    fn drop(&mut self) {
        self.enter(ConnectionPhase::Idle);
    }
}

/// Body of a request that knows whether it has been read to its end. A server connection ends after the
/// response to a request whose body was not.
#[derive(Debug)]
pub struct RequestBody {
    body: Incoming,
    is_whole: Rc<Cell<bool>>,
}

impl RequestBody {
    fn new(body: Incoming) -> Self {
        let is_whole = Rc::new(Cell::new(body.is_end_stream()));
        Self { body, is_whole }
    }

    /// Whether the body has been read to its end, also after it was dropped.
    pub fn whole_flag(&self) -> Rc<Cell<bool>> {
        self.is_whole.clone()
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let is_end = matches!(polled, Poll::Ready(None)) || self.body.is_end_stream();
        self.is_whole.set(is_end);
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Body of a response that tells its connection's [`PhaseClock`] of its end.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    is_whole: bool,
    clock: Rc<PhaseClock>,
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        self.is_whole |= match &polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(_))) => self.body.is_end_stream(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The server drops a body as soon as it is complete, or with the connection.
impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        if self.is_whole {
            self.clock.has_unsent.set(true);
            self.clock.enter(ConnectionPhase::Flush);
        }
    }
}
