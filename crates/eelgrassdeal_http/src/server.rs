//! Time limits of server connections, and what callers are told of them.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};
use rustix::io::ioctl_fionread;

use crate::discard::discard_unread;
use crate::phase::{ConnectionPhase, PhaseClock};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Fraction of the idle timeout for which callers are told to use a connection. The rest covers what is
/// on its way, and a response that its caller reads slowly.
const TOLD_FRACTION: f64 = 0.8;
/// Delay of the end of a connection whose socket has bytes that have not been read yet.
const INPUT_DELAY: Duration = Duration::from_millis(20);
/// Response to a head that doesn't arrive in time. By its status the request has not run.
const LATE_HEAD_RESPONSE: &str =
    "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Longest times for which a server connection waits for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerTimeouts {
    /// From the end of a response, or from the start of the connection, to the first byte of a request.
    pub idle: Duration,
    /// From the first byte of a request to the end of its head.
    pub head: Duration,
}

/// Why a server connection ended.
#[derive(Debug)]
pub enum ConnectionEnd {
    /// One side closed it after the last response.
    Closed,
    /// No request came within the idle timeout.
    Idle,
    /// A part of a head came, and its rest did not come in time.
    LateHead,
    /// The caller left during a request or response, or sent what can't be read, or a response failed.
    Failed(hyper::Error),
}

/// Observes a server connection and ends it when its caller exceeds a limit.
pub struct ServerWatch {
    phase_clock: Rc<PhaseClock>,
    stream: TcpStream,
    timer: Option<WaitTimer>,
    /// The connection does not end before, because the socket had unread bytes.
    delayed_until: Option<Instant>,
}

struct WaitTimer {
    at: Instant,
    sleep: Pin<Box<dyn Future<Output = ()>>>,
}

impl ServerWatch {
    /// Watches a connection on `stream`.
    pub fn new(stream: TcpStream) -> Self {
        let phase_clock = PhaseClock::new(Rc::default());
        Self { phase_clock, stream, timer: None, delayed_until: None }
    }

    /// Counts the connection in `count` while a part of a request's head has been received.
    pub fn with_head_count(mut self, count: Rc<Cell<u32>>) -> Self {
        self.phase_clock = PhaseClock::new(count);
        self
    }

    /// The clock that the connection's socket, requests and responses share.
    pub fn phase_clock(&self) -> Rc<PhaseClock> {
        self.phase_clock.clone()
    }

    /// Runs `connection` until it ends or its caller exceeds one of `timeouts`, which are asked for again
    /// whenever the connection waits.
    pub async fn run<C>(
        &mut self,
        mut connection: Pin<&mut C>,
        timeouts: impl Fn() -> ServerTimeouts,
    ) -> ConnectionEnd
    where
        C: Future<Output = hyper::Result<()>>,
    {
        poll_fn(|context| match connection.as_mut().poll(context) {
            Poll::Ready(Ok(())) => Poll::Ready(ConnectionEnd::Closed),
            Poll::Ready(Err(error)) => Poll::Ready(ConnectionEnd::Failed(error)),
            Poll::Pending => self.poll_timeouts(context, &timeouts),
        })
        .await
    }

    fn poll_timeouts(
        &mut self,
        context: &mut Context<'_>,
        timeouts: &impl Fn() -> ServerTimeouts,
    ) -> Poll<ConnectionEnd> {
        loop {
            let since = self.phase_clock.since();
            let (deadline, end) = match self.phase_clock.phase() {
                // The caller may rely on what it was told, also if the timeout is shorter by now.
                ConnectionPhase::Idle => {
                    let told = self.phase_clock.told_idle();
                    (since + timeouts().idle.max(told), ConnectionEnd::Idle)
                }
                // Until a response is sent, the write timeout of the socket applies.
                ConnectionPhase::Head if !self.phase_clock.has_unsent() => {
                    (since + timeouts().head, ConnectionEnd::LateHead)
                }
                _ => return Poll::Pending,
            };
            let deadline = self.delayed_until.map_or(deadline, |until| until.max(deadline));
            // A timer that fires earlier is kept, so that most requests need none.
            let timer = match self.timer.take() {
                Some(timer) if timer.at <= deadline => self.timer.insert(timer),
                _ => self.timer.insert(WaitTimer::new(deadline)),
            };
            ready!(timer.sleep.as_mut().poll(context));
            self.timer = None;
            let now = Instant::now();
            if now < deadline {
                continue;
            }
            // A request that came while the process stood still is read before the connection ends.
            if ioctl_fionread(&self.stream).is_ok_and(|unread| unread > 0) {
                self.delayed_until = Some(now + INPUT_DELAY);
                continue;
            }
            return Poll::Ready(end);
        }
    }

    /// Tells the caller in the headers of a response for how long it may use the connection afterwards.
    /// The connection ends after the response if `is_last`.
    pub fn tell_caller(
        phase_clock: &PhaseClock,
        headers: &mut HeaderMap,
        timeouts: ServerTimeouts,
        is_last: bool,
    ) {
        let told = timeouts.idle.mul_f64(TOLD_FRACTION).as_secs();
        match told {
            _ if is_last => {
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            // Shorter times can't be told, as the header has whole seconds.
            0 => {}
            _ if headers.contains_key(CONNECTION) => {}
            _ => {
                if let Ok(value) = HeaderValue::from_str(&format!("timeout={told}")) {
                    headers.insert(KEEP_ALIVE, value);
                }
                phase_clock.tell_idle(timeouts.idle);
            }
        }
    }
}

impl WaitTimer {
    fn new(at: Instant) -> Self {
        Self { at, sleep: Box::pin(compio::time::sleep_until(at)) }
    }
}

/// Tells a caller that the rest of its request's head came too late, and closes the connection.
pub async fn reject_late_head(mut stream: TcpStream) {
    let _ = stream.write_all(LATE_HEAD_RESPONSE).await;
    discard_unread(stream).await;
}
