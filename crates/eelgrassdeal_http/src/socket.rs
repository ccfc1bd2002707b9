//! Adapter from compio sockets to hyper's I/O traits, with small buffers.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use compio::tls::{MaybeTlsStream, TlsAcceptor};
use futures_util::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::phase::PhaseClock;

/// Size of each of the two buffers of a socket, one for reads and one for writes. [`BoundedSocket`]
/// is used in place of the adapter of `cyper-core`, which lets the buffers grow to 64 MiB.
const SOCKET_BUFFER_BYTES: usize = 2 * 1024;

/// Number of reads, of at most [`SOCKET_BUFFER_BYTES`] each, after which a connection lets others run. A
/// peer that sends bytes faster than they are parsed would otherwise occupy the process: hyper reads the
/// head of a chunk, which may have any number of zeros, until there is no data.
const MAX_READS_IN_TURN: u32 = 32;

/// Greatest size of hyper's buffer for a client connection, whether to an upstream or another peer.
/// It bounds the data that is received before it is consumed. 8 KiB is the smallest size that hyper
/// accepts.
pub const CLIENT_BUFFER_BYTES: usize = 8 * 1024;

type WriteTimer = Pin<Box<dyn Future<Output = ()>>>;

/// A TCP or TLS connection with bounded buffers. It fails when the peer accepts no byte of pending
/// output for the write timeout.
pub struct BoundedSocket {
    stream: MaybeTlsStream<TcpStream>,
    write_timeout: Duration,
    write_timer: Option<WriteTimer>,
    is_reset_at_end: Rc<Cell<bool>>,
    output: OutputMark,
    phase_clock: Option<Rc<PhaseClock>>,
    /// Number of reads since the connection last waited for data or let others run.
    reads_in_turn: u32,
}

impl BoundedSocket {
    /// Creates a connection without TLS.
    pub fn new_plain(stream: TcpStream, write_timeout: Duration) -> Self {
        let limits = SOCKET_BUFFER_BYTES;
        let stream = AsyncStream::with_limits(limits, limits, stream);
        Self::new(MaybeTlsStream::new_plain_compat(stream), write_timeout)
    }

    fn new(stream: MaybeTlsStream<TcpStream>, write_timeout: Duration) -> Self {
        Self {
            stream,
            write_timeout,
            write_timer: None,
            is_reset_at_end: Rc::default(),
            output: OutputMark::default(),
            phase_clock: None,
            reads_in_turn: 0,
        }
    }

    /// Counts the socket in `count` while it has output that the system has not taken yet.
    pub fn with_unflushed_count(mut self, count: Rc<Cell<u32>>) -> Self {
        self.output = OutputMark { count, is_counted: false };
        self
    }

    /// Reports what is read and written to the clock of a server connection.
    pub fn with_phase_clock(mut self, phase_clock: Rc<PhaseClock>) -> Self {
        self.phase_clock = Some(phase_clock);
        self
    }

    /// Shares a flag by which the socket is not shut down, since its owner resets the connection.
    pub(crate) fn with_reset_flag(mut self, is_reset_at_end: Rc<Cell<bool>>) -> Self {
        self.is_reset_at_end = is_reset_at_end;
        self
    }

    /// Performs the server side of a TLS handshake and returns the encrypted connection.
    pub async fn accept_tls(
        acceptor: &TlsAcceptor,
        stream: TcpStream,
        write_timeout: Duration,
    ) -> io::Result<Self> {
        let limits = SOCKET_BUFFER_BYTES;
        let stream = AsyncStream::with_limits(limits, limits, stream);
        let stream = MaybeTlsStream::new_tls(acceptor.accept_compat(stream).await?);
        Ok(Self::new(stream, write_timeout))
    }

    /// Returns the result of a write, flush or close, or an error if writes have been pending for
    /// the write timeout.
    fn check_write_timeout<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.write_timer = None;
            return result;
        }
        let timeout = self.write_timeout;
        let timer = self.write_timer.get_or_insert_with(|| Box::pin(compio::time::sleep(timeout)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "write timed out: the peer accepts no data",
        )))
    }
}

/// Whether a socket is counted among those with output that the system has not taken yet.
#[derive(Default)]
struct OutputMark {
    count: Rc<Cell<u32>>,
    is_counted: bool,
}

impl OutputMark {
    fn set(&mut self, is_counted: bool) {
        match (self.is_counted, is_counted) {
            (false, true) => self.count.set(self.count.get() + 1),
            (true, false) => self.count.set(self.count.get().saturating_sub(1)),
            _ => {}
        }
        self.is_counted = is_counted;
    }
}

impl Drop for OutputMark {
    fn drop(&mut self) {
        self.set(false);
    }
}

impl Read for BoundedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.reads_in_turn >= MAX_READS_IN_TURN {
            this.reads_in_turn = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut bytes = [0; SOCKET_BUFFER_BYTES];
        let max_count = cursor.remaining().min(bytes.len());
        let result = Pin::new(&mut this.stream).poll_read(context, &mut bytes[..max_count]);
        this.reads_in_turn = if result.is_ready() { this.reads_in_turn + 1 } else { 0 };
        let count = ready!(result)?;
        if let Some(clock) = &this.phase_clock {
            clock.record_read(&bytes[..count]);
        }
        cursor.put_slice(&bytes[..count]);
        Poll::Ready(Ok(()))
    }
}

impl Write for BoundedSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.output.set(true);
        let result = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.check_write_timeout(context, result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.output.set(true);
        let result = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.check_write_timeout(context, result)
    }

    /// Returns `true`, which bounds the chunks of a body that wait to be sent: with vectored writes
    /// hyper queues at most 16 of them. Without, it copies chunks into one buffer until that is
    /// full.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_flush(context);
        if result.is_ready() {
            this.output.set(false);
            if let Some(clock) = &this.phase_clock {
                clock.record_flush();
            }
        }
        this.check_write_timeout(context, result)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.is_reset_at_end.get() {
            return Poll::Ready(Ok(()));
        }
        let result = Pin::new(&mut this.stream).poll_close(context);
        this.check_write_timeout(context, result)
    }
}
