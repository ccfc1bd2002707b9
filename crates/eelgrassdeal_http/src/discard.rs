//! Ways to close a connection: after what its other side still sends, or with a reset.

use std::time::Duration;

use compio::io::AsyncRead;
use compio::net::TcpStream;
use rustix::net::sockopt::set_socket_linger;

/// Longest time for which data is read from a caller after the last response to it. As long as a request
/// may take to send its body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest pause of a caller that still sends.
const PAUSE_TIMEOUT: Duration = Duration::from_secs(1);
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of bytes that are read after the last response. Enough for the body of a request that
/// was refused before it was read.
const MAX_BYTES: usize = 8 * 1024 * 1024;

/// Reads and drops what a caller still sends after the last response to it, until the caller closes
/// its side, pauses, or a limit of time or bytes is reached. Then closes the connection by dropping
/// `stream`.
///
/// Closing a socket with unread bytes resets the connection. The caller could lose a response that it has
/// not read yet, and one that reads only after it has sent the body would find that it can't send it.
pub async fn discard_unread(mut stream: TcpStream) {
    let discard = async {
        let (mut total, mut bytes) = (0, Vec::with_capacity(READ_BUFFER_BYTES));
        while total < MAX_BYTES {
            let Ok(read) = compio::time::timeout(PAUSE_TIMEOUT, stream.read(bytes)).await else {
                return;
            };
            let (count, buffer) = read.into();
            match count {
                Ok(count) if count > 0 => (total, bytes) = (total + count, buffer),
                _ => return,
            }
            bytes.clear();
        }
    };
    let _ = compio::time::timeout(DISCARD_TIMEOUT, discard).await;
}

/// Closes a connection with a reset. A caller can tell by it that a response without a length or chunks
/// is incomplete. Data that has not arrived yet is lost, so that a peer gets no request that was given up.
pub fn reset_connection(stream: TcpStream) {
    if let Err(error) = set_socket_linger(&stream, Some(Duration::ZERO)) {
        log::debug!("a connection is closed without a reset: {error}");
    }
}
