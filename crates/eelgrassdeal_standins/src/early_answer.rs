//! Peer that answers requests before it has read them, on threads of its own.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

const HEAD_END: &[u8] = b"\r\n\r\n";
const BUFFER_BYTES: usize = 64 * 1024;

/// What follows the bytes of an [`EarlyAnswer`] on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyEnd {
    /// Resets the connection.
    Reset,
    /// Closes the connection while it holds unread bytes, so that the system resets it.
    CloseUnread,
    /// Closes the sending half, reads the request to its end and closes the connection.
    ReadToEnd,
    /// Reads the request to its end, and then the next one.
    KeepOpen,
}

/// Answer that is sent when a part of its request has been read.
#[derive(Clone, Debug)]
pub struct EarlyAnswer {
    /// Head and body, as they are written to the connection.
    pub bytes: Vec<u8>,
    /// Number of bytes of the request that are read before the answer, without those of its head.
    pub read_bytes: usize,
    /// Time for which nothing is read before the answer, so that the client's writes come to a stop.
    pub pause: Duration,
    /// What follows.
    pub end: EarlyEnd,
}

impl EarlyAnswer {
    /// Creates an answer that is sent when the head of the request has been read.
    pub fn new(bytes: impl Into<Vec<u8>>, end: EarlyEnd) -> Self {
        Self { bytes: bytes.into(), read_bytes: 0, pause: Duration::ZERO, end }
    }

    /// Sets the number of bytes of the request's body that are read first, at most all of them.
    pub fn with_read_bytes(mut self, read_bytes: usize) -> Self {
        self.read_bytes = read_bytes;
        self
    }

    /// Sets the time for which nothing is read before the answer.
    pub fn with_pause(mut self, pause: Duration) -> Self {
        self.pause = pause;
        self
    }
}

/// Starts a peer that answers each request as `script` says, which gets the request's head. The peer runs
/// until the process ends.
///
/// # Errors
///
/// When there is no free port.
pub fn start_early_peer(
    script: impl Fn(&str) -> EarlyAnswer + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let script = Arc::new(script);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let script = script.clone();
            // Errors are ends that the client caused, which it reports itself.
            thread::spawn(move || answer_requests(stream, &*script));
        }
    });
    Ok(address)
}

fn answer_requests(
    mut stream: TcpStream,
    script: &(dyn Fn(&str) -> EarlyAnswer + Send + Sync),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    while let Some(mut request) = PartialRequest::read_head(&mut stream)? {
        let answer = script(&request.head);
        request.read_body(&mut stream, answer.read_bytes)?;
        thread::sleep(answer.pause);
        stream.write_all(&answer.bytes)?;
        match answer.end {
            EarlyEnd::Reset => return Ok(set_socket_linger(&stream, Some(Duration::ZERO))?),
            EarlyEnd::CloseUnread => return stream.peek(&mut [0]).map(|_| ()),
            EarlyEnd::ReadToEnd => {
                stream.shutdown(Shutdown::Write)?;
                return request.read_body(&mut stream, usize::MAX);
            }
            EarlyEnd::KeepOpen => request.read_body(&mut stream, usize::MAX)?,
        }
    }
    Ok(())
}

/// A request of which the head has been read, and maybe a part of the body.
struct PartialRequest {
    head: String,
    body_bytes: usize,
    read_bytes: usize,
}

impl PartialRequest {
    /// Reads the head of the next request byte by byte; `None` at the end of the connection.
    fn read_head(stream: &mut TcpStream) -> io::Result<Option<Self>> {
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(HEAD_END) {
            if stream.read(&mut byte)? == 0 {
                return Ok(None);
            }
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut fields = head.lines().filter_map(|line| line.split_once(": "));
        let length = fields.find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
        let body_bytes = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
        Ok(Some(Self { head, body_bytes, read_bytes: 0 }))
    }

    /// Reads the body up to its first `count` bytes.
    fn read_body(&mut self, stream: &mut TcpStream, count: usize) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        let end = count.min(self.body_bytes);
        while self.read_bytes < end {
            let most = buffer.len().min(end - self.read_bytes);
            match stream.read(&mut buffer[..most])? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                read => self.read_bytes += read,
            }
        }
        Ok(())
    }
}
