//! Adapter from compio sockets to hyper's I/O traits, with small buffers.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
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
///
/// The system reports a reset to one call only. If that is a write, later reads return 0 bytes, as at the end
/// of the input. A client reads the end of a response without a length by it, so that its socket reports the
/// end only when the system has taken all output. A server's socket reports it at once: it learns by it that a
/// caller has left, or has closed its sending half and reads on.
pub struct BoundedSocket {
    stream: MaybeTlsStream<TcpStream>,
    write_timeout: Duration,
    write_timer: Option<WriteTimer>,
    is_reset_at_end: Rc<Cell<bool>>,
    is_client: bool,
    /// Whether a read of a client's socket has returned 0 bytes.
    is_at_end: bool,
    /// The reader of a client's socket that waits at the end of the input while output is pending.
    end_reader: Option<Waker>,
    output: OutputMark,
    phase_clock: Option<Rc<PhaseClock>>,
    /// Number of reads since the connection last waited for data or let others run.
    reads_in_turn: u32,
}

impl BoundedSocket {
    /// Creates the connection of a client, without TLS.
    pub fn new_client(stream: TcpStream, write_timeout: Duration) -> Self {
        Self { is_client: true, ..Self::new_plain(stream, write_timeout) }
    }

    /// Creates the connection of a server, without TLS.
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
            is_client: false,
            is_at_end: false,
            end_reader: None,
            output: OutputMark::default(),
            phase_clock: None,
            reads_in_turn: 0,
        }
    }

    /// Counts the socket in `count` while it has output that the system has not taken yet.
    pub fn with_unflushed_count(mut self, count: Rc<Cell<u32>>) -> Self {
        self.output = OutputMark { count, state: OutputState::Taken };
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
    fn check_write<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        let result = self.check_write_timeout(context, result);
        if matches!(result, Poll::Ready(Err(_))) {
            self.enter_output_state(OutputState::Failed);
        }
        result
    }

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

    fn enter_output_state(&mut self, state: OutputState) {
        self.output.enter(state);
        if let Some(reader) = self.end_reader.take_if(|_| state != OutputState::Pending) {
            reader.wake();
        }
    }

    /// Reports the end of the input of a client's socket when the system has taken all output, or an error
    /// if a write has failed.
    fn poll_input_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.output.state {
            OutputState::Taken => Poll::Ready(Ok(())),
            OutputState::Pending => {
                self.end_reader = Some(context.waker().clone());
                Poll::Pending
            }
            OutputState::Failed => Poll::Ready(Err(io::Error::new(
                io::ErrorKind::ConnectionReset,
                "the connection failed while output was pending",
            ))),
        }
    }
}

/// What has become of the output of a socket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum OutputState {
    /// The system has taken all of it.
    #[default]
    Taken,
    /// The system has not taken all of it yet.
    Pending,
    /// A write has failed.
    Failed,
}

/// State of a socket's output. Sockets with pending output are counted.
#[derive(Default)]
struct OutputMark {
    count: Rc<Cell<u32>>,
    state: OutputState,
}

impl OutputMark {
    /// Enters a state. A failure is final.
    fn enter(&mut self, state: OutputState) {
        match (self.state, state) {
            (OutputState::Failed, _) => return,
            (OutputState::Taken, OutputState::Pending) => self.count.set(self.count.get() + 1),
            (OutputState::Pending, OutputState::Taken | OutputState::Failed) => {
                self.count.set(self.count.get().saturating_sub(1));
            }
            _ => {}
        }
        self.state = state;
    }
}

impl Drop for OutputMark {
    fn drop(&mut self) {
        self.enter(OutputState::Taken);
    }
}

impl Read for BoundedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.is_at_end {
            return this.poll_input_end(context);
        }
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
        if this.is_client && count == 0 && max_count > 0 {
            this.is_at_end = true;
            return this.poll_input_end(context);
        }
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
        this.enter_output_state(OutputState::Pending);
        let result = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.check_write(context, result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.enter_output_state(OutputState::Pending);
        let result = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.check_write(context, result)
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
        if let (Poll::Ready(_), Some(clock)) = (&result, &this.phase_clock) {
            clock.record_flush();
        }
        let result = this.check_write(context, result);
        if matches!(result, Poll::Ready(Ok(()))) {
            this.enter_output_state(OutputState::Taken);
        }
        result
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.is_reset_at_end.get() {
            return Poll::Ready(Ok(()));
        }
        let result = Pin::new(&mut this.stream).poll_close(context);
        this.check_write(context, result)
    }
}
