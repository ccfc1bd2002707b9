//! Errors of the peer endpoint and of calls to peers.

use std::fmt;

/// Why a call to a peer or a request from a peer failed, or why the endpoint cannot be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// A certificate or key file is missing or not usable, or the idle timeout is out of range.
    InvalidSettings,
    /// The address cannot be bound, or the bound socket does not report its address.
    Bind,
    /// No connection could be opened: the peer is unreachable, or one side rejected the other's
    /// certificate.
    Connect,
    /// The connection or the stream was closed before the reply was complete. The peer may have
    /// handled the request.
    ConnectionLost,
    /// The reply was not received and read within the request timeout. On the accepting side: the
    /// request was not complete within it.
    Timeout,
    /// A request or reply is larger than [`crate::MAX_MESSAGE_BYTES`].
    TooLarge,
    /// The received message cannot be decoded.
    Malformed,
    /// The received message names another node than the one that was called or that the sender's
    /// certificate is for.
    WrongNode,
}

impl fmt::Display for PeerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::InvalidSettings => {
                "the TLS files or timeouts of the peer endpoint are not usable"
            }
            Self::Bind => "cannot bind the peer address",
            Self::Connect => "cannot connect to the peer",
            Self::ConnectionLost => "the connection to the peer was lost",
            Self::Timeout => "no complete request or reply of the peer arrived within the timeout",
            Self::TooLarge => "the message exceeds the size limit",
            Self::Malformed => "cannot decode the message of the peer",
            Self::WrongNode => "the message names an unexpected node",
        })
    }
}

impl std::error::Error for PeerError {}
