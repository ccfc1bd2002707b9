//! Errors of calls to peers.

use std::fmt;

/// Why a call to a peer failed, or why the endpoint cannot work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// A certificate or key file is missing or not usable.
    Settings,
    /// The address cannot be bound.
    Bind,
    /// No connection came about: the peer is out of reach or one side refused the certificate.
    Connect,
    /// The connection broke; whether the peer handled the request is not known.
    ConnectionLost,
    /// No answer came in time, or it came after its lifetime.
    Timeout,
    /// A message is larger than [`crate::MAX_MESSAGE_BYTES`].
    TooLarge,
    /// The answer is not a valid message.
    Malformed,
    /// The message names another node than the certificate.
    WrongNode,
}

impl fmt::Display for PeerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Settings => "the TLS files of the peer endpoint are not usable",
            Self::Bind => "the peer address cannot be bound",
            Self::Connect => "cannot connect to the peer",
            Self::ConnectionLost => "the connection to the peer broke",
            Self::Timeout => "the peer did not answer in time",
            Self::TooLarge => "the message is too large",
            Self::Malformed => "the message of the peer is not valid",
            Self::WrongNode => "the message names another node than the certificate",
        })
    }
}

impl std::error::Error for PeerError {}
