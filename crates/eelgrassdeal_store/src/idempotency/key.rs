//! Idempotency keys and the time during which they are accepted.

use std::time::Duration;

use eelgrassdeal_types::ErrorKind;
use uuid::{Uuid, Variant};

use super::{ClaimError, millis};

/// A key is accepted up to an age of this time minus [`KEY_MARGIN`], which is 23 h 55 min.
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Used for both limits on the time of a key: a key is rejected if it is older than [`RETENTION`]
/// minus this margin, or if its time is further in the future than this margin.
const KEY_MARGIN: Duration = Duration::from_secs(5 * 60);
/// A record expires at the earliest when its key is as old as [`RETENTION`] plus this margin. As
/// the key is rejected from [`KEY_MARGIN`] before the end of the retention, the record stays for
/// 1 h 5 min after that, so that a call cannot run twice at a node whose clock is up to an hour
/// behind the store's.
const EXPIRY_MARGIN: Duration = Duration::from_secs(60 * 60);

/// A valid idempotency key: a UUIDv7 whose time is within the limits.
pub(super) struct IdempotencyKey {
    /// The hyphenated lower-case form, so that all spellings of a UUID have the same row.
    pub(super) name: String,
    /// Time in the UUIDv7.
    key_unix_ms: u64,
}

impl IdempotencyKey {
    pub(super) fn parse(text: &str, now_unix_ms: u64) -> Result<Self, ClaimError> {
        let uuid = Uuid::parse_str(text)
            .ok()
            .filter(|uuid| uuid.get_version_num() == 7 && uuid.get_variant() == Variant::RFC4122)
            .ok_or(ClaimError { kind: ErrorKind::KeyInvalid })?;
        let timestamp = uuid.get_timestamp().ok_or(ClaimError { kind: ErrorKind::KeyInvalid })?;
        let (seconds, nanos) = timestamp.to_unix();
        let key_unix_ms = seconds * 1000 + u64::from(nanos) / 1_000_000;
        let oldest = now_unix_ms.saturating_sub(millis(RETENTION - KEY_MARGIN));
        let newest = now_unix_ms.saturating_add(millis(KEY_MARGIN));
        match (oldest..=newest).contains(&key_unix_ms) {
            true => Ok(Self { name: uuid.hyphenated().to_string(), key_unix_ms }),
            false => Err(ClaimError { kind: ErrorKind::KeyExpired }),
        }
    }

    /// Time after which the table service may delete the record. It depends on the time in the key,
    /// which is the same at every node, and not only on this node's clock.
    pub(super) fn expires_unix_ms(&self, now_unix_ms: u64) -> u64 {
        self.key_unix_ms.max(now_unix_ms).saturating_add(millis(RETENTION + EXPIRY_MARGIN))
    }
}
