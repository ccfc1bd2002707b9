//! Reads and writes messages. A stream carries one message in each direction, without a length
//! prefix: the message ends where the stream ends.

use bytes::{Bytes, BytesMut};
use compio::quic::{RecvStream, SendStream, VarInt};
use error_stack::{Report, ResultExt};

use crate::{MAX_MESSAGE_BYTES, PeerError};

/// Reads one message, up to the end of the stream.
pub(crate) async fn read_message(stream: &mut RecvStream) -> Result<Bytes, Report<PeerError>> {
    let mut message = BytesMut::new();
    loop {
        // One byte more than allowed, to tell a message that is too large from one of maximum size.
        let max_chunk_bytes = MAX_MESSAGE_BYTES + 1 - message.len();
        let chunk = stream
            .read_chunk(max_chunk_bytes, true)
            .await
            .change_context(PeerError::ConnectionLost)?;
        let Some(chunk) = chunk else { return Ok(message.freeze()) };
        message.extend_from_slice(&chunk.bytes);
        if message.len() > MAX_MESSAGE_BYTES {
            return Err(Report::new(PeerError::TooLarge));
        }
    }
}

/// The sending side of a stream. Dropping it resets the stream unless a complete message was
/// written.
///
/// `SendStream` finishes the stream when it is dropped. After a cancelled write, the receiver would
/// take the part that was sent for a complete message, and could even decode it without an error.
pub(crate) struct MessageSender {
    stream: SendStream,
    is_complete: bool,
}

impl MessageSender {
    pub(crate) fn new(stream: SendStream) -> Self {
        Self { stream, is_complete: false }
    }

    /// Writes the message and finishes the stream.
    pub(crate) async fn write(&mut self, message: Bytes) -> Result<(), Report<PeerError>> {
        if message.len() > MAX_MESSAGE_BYTES {
            return Err(Report::new(PeerError::TooLarge));
        }
        let mut chunks = [message];
        let written = self.stream.write_all_chunks(&mut chunks).await;
        written.change_context(PeerError::ConnectionLost)?;
        self.stream.finish().change_context(PeerError::ConnectionLost)?;
        self.is_complete = true;
        Ok(())
    }
}

impl Drop for MessageSender {
    fn drop(&mut self) {
        if !self.is_complete {
            // Fails only if the connection or the stream is already closed.
            let _ = self.stream.reset(VarInt::from_u32(1));
        }
    }
}
