//! One message on a stream: no length prefix, the end of the stream ends it.

use bytes::{Bytes, BytesMut};
use compio::quic::{RecvStream, SendStream, VarInt};
use error_stack::{Report, ResultExt};

use crate::{MAX_MESSAGE_BYTES, PeerError};

/// Reads to the end of the stream.
pub(crate) async fn read_message(stream: &mut RecvStream) -> Result<Bytes, Report<PeerError>> {
    let mut message = BytesMut::new();
    loop {
        let room = MAX_MESSAGE_BYTES + 1 - message.len();
        let chunk =
            stream.read_chunk(room, true).await.change_context(PeerError::ConnectionLost)?;
        let Some(chunk) = chunk else { return Ok(message.freeze()) };
        message.extend_from_slice(&chunk.bytes);
        if message.len() > MAX_MESSAGE_BYTES {
            return Err(Report::new(PeerError::TooLarge));
        }
    }
}

/// The sending side of a stream, which is reset unless a whole message was written.
///
/// `SendStream` ends the stream when it is dropped, so a write that is cancelled would arrive as a
/// shorter message, which may be a valid one.
pub(crate) struct MessageSender {
    stream: SendStream,
    is_complete: bool,
}

impl MessageSender {
    pub(crate) fn new(stream: SendStream) -> Self {
        Self { stream, is_complete: false }
    }

    /// Writes the message and ends the stream.
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
            // Fails only when the connection or the stream has ended already.
            let _ = self.stream.reset(VarInt::from_u32(1));
        }
    }
}
