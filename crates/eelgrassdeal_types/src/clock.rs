//! Wall-clock time in the form that stored records use.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Current wall-clock time in milliseconds since the Unix epoch.
pub fn unix_ms_now() -> u64 {
    unix_ms_of(SystemTime::now())
}

/// Milliseconds from the Unix epoch to `time`; 0 for a time before the epoch.
pub fn unix_ms_of(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
