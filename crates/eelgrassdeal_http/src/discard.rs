//! Ways to close a connection: after what its other side still sends, or with a reset.

use std::time::Duration;

use compio::io::AsyncRead;
use compio::net::TcpStream;
use rustix::net::sockopt::set_socket_linger;

/// Longest time for which data is read from a caller after the last response to it.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the buffer of one read.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of reads after the last response, of at most [`READ_BUFFER_BYTES`] each. Enough for the
/// body of a request that was refused before it was read.
const MAX_READS: u32 = 512;

/// Reads and drops what a caller still sends after the last response to it, until the caller closes
/// its side or a limit of time or reads is reached. Then closes the connection by dropping
/// `stream`.
///
/// Closing a socket with unread bytes resets the connection, and the caller could lose a response
/// that it has not read yet.
pub async fn discard_unread(mut stream: TcpStream) {
    let discard = async {
        let mut bytes = Vec::with_capacity(READ_BUFFER_BYTES);
        for _ in 0..MAX_READS {
            let (count, buffer) = stream.read(bytes).await.into();
            match count {
                Ok(count) if count > 0 => bytes = buffer,
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
