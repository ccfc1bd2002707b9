//! Tests of the bound on how often a kind of line is written.

use std::time::{Duration, Instant};

use eelgrassdeal_logging::LogLimiter;

/// Guards against a log that is filled by a fault of every request, and against a line that is never
/// written again.
#[test]
fn a_line_is_due_once_per_interval() {
    let limiter = LogLimiter::new(Duration::from_secs(10));
    let start = Instant::now();
    let due_at: Vec<u64> =
        (0..31).filter(|second| limiter.is_due(start + Duration::from_secs(*second))).collect();
    assert_eq!(due_at, [0, 10, 20, 30]);
}
