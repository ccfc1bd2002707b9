//! Counters of control traffic, by purpose.
//!
//! `eelgrassdeal_control_bytes_total{purpose,direction}` counts heads and bodies of messages;
//! `eelgrassdeal_control_calls_total{purpose}` counts exchanges. Headers of TCP and IP are not
//! included.

use http::HeaderMap;

/// Bytes of a request head that the HTTP client adds: `accept`, `accept-encoding`, `host`,
/// `content-length` and the version; taken from a captured request.
const CLIENT_HEAD_BYTES: usize = 90;
/// Status line and the empty line after the head.
const STATUS_LINE_BYTES: usize = 19;
/// Colon, blank and line end of a header.
const HEADER_EXTRA_BYTES: usize = 4;

/// Counts one exchange of control traffic, in bytes.
pub fn count_control(purpose: &'static str, sent: usize, received: usize) {
    let bytes = |direction| {
        metrics::counter!(
            "eelgrassdeal_control_bytes_total",
            "purpose" => purpose,
            "direction" => direction
        )
    };
    bytes("sent").increment(sent as u64);
    bytes("received").increment(received as u64);
    metrics::counter!("eelgrassdeal_control_calls_total", "purpose" => purpose).increment(1);
}

/// Size of a request in bytes, from its path, its own headers and its body.
pub fn request_size(path: &str, headers: &[(&str, &str)], body: usize) -> usize {
    let own: usize =
        headers.iter().map(|(name, value)| name.len() + value.len() + HEADER_EXTRA_BYTES).sum();
    CLIENT_HEAD_BYTES + path.len() + own + body
}

/// Size of an answer's head in bytes.
pub fn response_head_size(headers: &HeaderMap) -> usize {
    let headers: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_EXTRA_BYTES)
        .sum();
    STATUS_LINE_BYTES + headers
}
