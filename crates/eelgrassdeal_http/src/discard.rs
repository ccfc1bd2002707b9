//! Closing a connection whose other side may still send.

use std::time::Duration;

use compio::io::AsyncRead;
use compio::net::TcpStream;

/// How long, and how much in reads of [`DISCARD_BYTES`], a caller may go on sending after its last
/// answer.
const DISCARD_TIME: Duration = Duration::from_secs(1);
const DISCARD_BYTES: usize = 2 * 1024;
const MAX_DISCARDS: u32 = 1024;

/// Reads what a caller still sends after its last answer. Closing a socket with unread bytes resets
/// the connection, and the caller could lose an answer that it has not read yet.
pub async fn discard_rest(mut tail: TcpStream) {
    let discard = async {
        let mut bytes = Vec::with_capacity(DISCARD_BYTES);
        for _ in 0..MAX_DISCARDS {
            let (count, buffer) = tail.read(bytes).await.into();
            match count {
                Ok(count) if count > 0 => bytes = buffer,
                _ => return,
            }
            bytes.clear();
        }
    };
    let _ = compio::time::timeout(DISCARD_TIME, discard).await;
}
