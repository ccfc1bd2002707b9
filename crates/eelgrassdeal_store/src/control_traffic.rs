//! Metrics of control traffic: the calls that a node makes to the platform's services, and its
//! probes of upstreams. Requests that are forwarded for callers do not count, but the claims of
//! their idempotency keys do. The metrics are labelled by purpose.
//!
//! `eelgrassdeal_control_bytes_total{purpose,direction}` adds up the lengths of HTTP bodies and the
//! estimated sizes of HTTP heads, without TCP and IP headers.
//! `eelgrassdeal_control_calls_total{purpose}` counts calls that received a response.

use http::HeaderMap;

/// Assumed size of the parts of a request head other than the path and the explicitly set headers:
/// the method, the HTTP version, `accept`, `accept-encoding`, `host` and `content-length`. The
/// actual size varies with the method, the host and the length of the body.
const CLIENT_HEAD_BYTES: usize = 90;
/// Assumed size of a response's status line and of the empty line that ends its head.
const STATUS_LINE_BYTES: usize = 19;
/// Bytes of the colon, the space and the line end of a header field.
const HEADER_EXTRA_BYTES: usize = 4;

/// Counts one call and the bytes that were sent and received for it.
pub fn record_control_traffic(purpose: &'static str, sent: usize, received: usize) {
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

/// Estimates the size of a request in bytes from its path, the explicitly set headers, and the
/// length of its body.
pub fn request_size(path: &str, headers: &[(&str, &str)], body_len: usize) -> usize {
    let header_bytes: usize =
        headers.iter().map(|(name, value)| name.len() + value.len() + HEADER_EXTRA_BYTES).sum();
    CLIENT_HEAD_BYTES + path.len() + header_bytes + body_len
}

/// Estimates the size of a response's head in bytes.
pub fn response_head_size(headers: &HeaderMap) -> usize {
    let header_bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_EXTRA_BYTES)
        .sum();
    STATUS_LINE_BYTES + header_bytes
}
