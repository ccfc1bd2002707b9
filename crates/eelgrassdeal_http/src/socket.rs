//! Sockets of callers and upstreams as hyper uses them, with small buffers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use compio::tls::{MaybeTlsStream, TlsAcceptor};
use futures_util::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};

/// Size of each of the two buffers of a socket. The adapter of `cyper-core` allows 64 MiB.
const SOCKET_BUFFER_BYTES: usize = 2 * 1024;

/// Bytes that hyper reads from an upstream before they are taken: its smallest buffer.
pub const UPSTREAM_BUFFER_BYTES: usize = 8 * 1024;

type WriteTimer = Pin<Box<dyn Future<Output = ()>>>;

/// A connection whose buffers are bounded, and which fails when the other side takes no byte for
/// too long.
pub struct BoundedSocket {
    stream: MaybeTlsStream<TcpStream>,
    write_patience: Duration,
    write_timer: Option<WriteTimer>,
}

impl BoundedSocket {
    /// A connection without TLS.
    pub fn new_plain(stream: TcpStream, write_patience: Duration) -> Self {
        let limits = SOCKET_BUFFER_BYTES;
        let stream = AsyncStream::with_limits(limits, limits, stream);
        Self { stream: MaybeTlsStream::new_plain_compat(stream), write_patience, write_timer: None }
    }

    /// A connection whose TLS handshake `acceptor` has done.
    pub async fn accept_tls(
        acceptor: &TlsAcceptor,
        stream: TcpStream,
        write_patience: Duration,
    ) -> io::Result<Self> {
        let limits = SOCKET_BUFFER_BYTES;
        let stream = AsyncStream::with_limits(limits, limits, stream);
        let stream = MaybeTlsStream::new_tls(acceptor.accept_compat(stream).await?);
        Ok(Self { stream, write_patience, write_timer: None })
    }

    /// Passes on the result of a write, and fails when it has waited for too long.
    fn watch<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.write_timer = None;
            return result;
        }
        let patience = self.write_patience;
        let timer = self.write_timer.get_or_insert_with(|| Box::pin(compio::time::sleep(patience)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the other side reads nothing")))
    }
}

impl Read for BoundedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; SOCKET_BUFFER_BYTES];
        let room = cursor.remaining().min(bytes.len());
        let stream = Pin::new(&mut self.get_mut().stream);
        let count = ready!(stream.poll_read(context, &mut bytes[..room]))?;
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
        let result = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.watch(context, result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.watch(context, result)
    }

    /// With vectored writes hyper queues at most 16 chunks of a body; otherwise it copies chunks
    /// until its buffer is full.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_flush(context);
        this.watch(context, result)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_close(context);
        this.watch(context, result)
    }
}
