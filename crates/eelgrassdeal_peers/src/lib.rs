//! QUIC connections between the nodes.
