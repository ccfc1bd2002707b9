//! Wall-clock time as it is kept in records.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch, now.
pub fn unix_ms_now() -> u64 {
    unix_ms_of(SystemTime::now())
}

/// Milliseconds since the Unix epoch at `time`; 0 for a time before it.
pub fn unix_ms_of(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
