//! Idempotency keys and how long they are accepted.

use std::time::Duration;

use eelgrassdeal_types::ErrorKind;
use uuid::{Uuid, Variant};

use super::{LedgerError, millis};

/// Age up to which a key is accepted, but for the margin.
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// A key is refused this long before the end of the retention, and this far in the future.
const KEY_MARGIN: Duration = Duration::from_secs(5 * 60);
/// A record outlives the last moment at which its key is accepted by this and [`KEY_MARGIN`], so
/// that a call cannot run twice at a node whose clock is up to an hour behind the store's.
const EXPIRY_MARGIN: Duration = Duration::from_secs(60 * 60);

/// A valid idempotency key.
pub(super) struct CallKey {
    /// One spelling for all spellings of the same UUID, so that they share a row.
    pub(super) name: String,
    key_unix_ms: u64,
}

impl CallKey {
    pub(super) fn parse(text: &str, now_unix_ms: u64) -> Result<Self, LedgerError> {
        let uuid = Uuid::parse_str(text)
            .ok()
            .filter(|uuid| uuid.get_version_num() == 7 && uuid.get_variant() == Variant::RFC4122)
            .ok_or(LedgerError { kind: ErrorKind::KeyInvalid })?;
        let timestamp = uuid.get_timestamp().ok_or(LedgerError { kind: ErrorKind::KeyInvalid })?;
        let (seconds, nanos) = timestamp.to_unix();
        let key_unix_ms = seconds * 1000 + u64::from(nanos) / 1_000_000;
        let oldest = now_unix_ms.saturating_sub(millis(RETENTION - KEY_MARGIN));
        let newest = now_unix_ms.saturating_add(millis(KEY_MARGIN));
        match (oldest..=newest).contains(&key_unix_ms) {
            true => Ok(Self { name: uuid.hyphenated().to_string(), key_unix_ms }),
            false => Err(LedgerError { kind: ErrorKind::KeyExpired }),
        }
    }

    /// When the record may be dropped. It depends on the key's own time, which every node reads
    /// alike, and not only on this node's clock.
    pub(super) fn expires_unix_ms(&self, now_unix_ms: u64) -> u64 {
        self.key_unix_ms.max(now_unix_ms).saturating_add(millis(RETENTION + EXPIRY_MARGIN))
    }
}
