//! The ledger of calls that may run only once.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassdeal_schema::records::CallRecord;
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_types::{ErrorKind, new_writer_mark};
use sha2::{Digest, Sha256};
use uuid::{Uuid, Variant};

use crate::table::{RowCondition, RowKey, RowWrite, StoreError, StoredRow, TableName, TableStore};

/// How long a record is kept.
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// A key is refused this long before its record may be dropped, and this far in the future, so
/// that clocks that differ cannot let a call run twice.
const KEY_MARGIN: Duration = Duration::from_secs(5 * 60);
/// How often a claim with a lost answer is sent again.
const CLAIM_TRIES: u32 = 3;
/// Largest result that is kept for callers that repeat a key.
const MAX_RESULT_BYTES: usize = 64 * 1024;

const CLAIMED: &str = "claimed";
const NOT_RUN: &str = "not_run";
const DONE: &str = "done";

/// Result of a call, as it was first answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResult {
    /// HTTP status of the upstream's answer.
    pub status: u16,
    /// Content type of the upstream's answer.
    pub content_type: String,
    /// Body of the upstream's answer.
    pub body: Bytes,
}

/// A claim that this process holds; only its holder may send the call.
#[derive(Clone, Debug)]
pub struct ClaimedCall {
    key: RowKey,
    version: u64,
    record: CallRecord,
}

/// Answer to an attempt to claim.
#[derive(Clone, Debug)]
pub enum ClaimOutcome {
    /// The caller of this function may send the call, once.
    Claimed(ClaimedCall),
    /// The call ran before; this is its result.
    Done(StoredResult),
}

/// Why a call may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerError {
    /// What the caller is told.
    pub kind: ErrorKind,
}

impl fmt::Display for LedgerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the call may not be sent: {}", self.kind)
    }
}

impl std::error::Error for LedgerError {}

/// Claims keys before their calls are sent, and keeps the results.
#[derive(Clone)]
pub struct CallLedger {
    store: Rc<dyn TableStore>,
}

impl CallLedger {
    /// Keeps the records in `store`.
    pub fn new(store: Rc<dyn TableStore>) -> Self {
        Self { store }
    }

    /// Claims `key` of `client_account` for a call with this content.
    ///
    /// # Errors
    ///
    /// With the kind to answer when the call may not be sent.
    pub async fn claim(
        &self,
        client_account: &str,
        key: &str,
        content: &[&[u8]],
        now_unix_ms: u64,
        deadline_unix_ms: u64,
    ) -> Result<ClaimOutcome, LedgerError> {
        check_key_age(key, now_unix_ms)?;
        let mut record = CallRecord {
            client_account: client_account.to_owned(),
            key: key.to_owned(),
            body_digest: content_digest(content),
            state: CLAIMED.to_owned(),
            writer_mark: new_writer_mark(),
            deadline_unix_ms,
            ..CallRecord::default()
        };
        let row_key = RowKey::new(TableName::Claims, client_account, key);
        let expires_unix_ms = now_unix_ms + millis(RETENTION + KEY_MARGIN);
        let mut condition = RowCondition::Absent;
        for _ in 0..CLAIM_TRIES {
            let write = RowWrite::put(row_key.clone(), condition, encode_message(&record))
                .with_expiry(expires_unix_ms);
            match self.store.transact(vec![write]).await {
                Ok(()) => {
                    let version = match condition {
                        RowCondition::Absent => 1,
                        RowCondition::VersionIs(version) => version + 1,
                    };
                    let call = ClaimedCall { key: row_key, version, record };
                    return Ok(ClaimOutcome::Claimed(call));
                }
                Err(report) if *report.current_context() == StoreError::Malformed => {
                    return Err(LedgerError { kind: ErrorKind::Internal });
                }
                Err(report) => log::debug!("claim: {report}"),
            }
            // The row tells both who won and whether an unanswered write took effect.
            let Ok(Some(row)) = self.store.get(row_key.clone()).await else { continue };
            match self.judge_row(&row, &record, now_unix_ms)? {
                Judgement::Own => {
                    let call = ClaimedCall { key: row_key, version: row.version, record };
                    return Ok(ClaimOutcome::Claimed(call));
                }
                Judgement::Done(result) => return Ok(ClaimOutcome::Done(result)),
                Judgement::Released => condition = RowCondition::VersionIs(row.version),
            }
        }
        record.state = NOT_RUN.to_owned();
        Err(LedgerError { kind: ErrorKind::StoreUnavailable })
    }

    /// Records the result of a call that ran.
    ///
    /// Returns false if the record could not be written; the key then answers
    /// [`ErrorKind::OutcomeUnknown`].
    pub async fn complete(&self, call: ClaimedCall, result: &StoredResult) -> bool {
        let mut record = call.record;
        record.state = DONE.to_owned();
        record.status = u32::from(result.status);
        record.content_type = result.content_type.clone();
        if result.body.len() <= MAX_RESULT_BYTES {
            record.result = result.body.clone();
        }
        self.replace(call.key, call.version, &record).await
    }

    /// Records that a claimed call was not sent, so that its key can be claimed again.
    pub async fn release(&self, call: ClaimedCall) -> bool {
        let mut record = call.record;
        record.state = NOT_RUN.to_owned();
        self.replace(call.key, call.version, &record).await
    }

    async fn replace(&self, key: RowKey, version: u64, record: &CallRecord) -> bool {
        let condition = RowCondition::VersionIs(version);
        for _ in 0..CLAIM_TRIES {
            let write = RowWrite::put(key.clone(), condition, encode_message(record));
            match self.store.transact(vec![write]).await {
                Ok(()) => return true,
                Err(report) => match report.current_context() {
                    // A repeated write meets its own first effect.
                    StoreError::Conflict { .. } => return true,
                    StoreError::Malformed => return false,
                    StoreError::Unreachable | StoreError::OutcomeUnknown => {}
                },
            }
        }
        false
    }

    fn judge_row(
        &self,
        row: &StoredRow,
        claim: &CallRecord,
        now_unix_ms: u64,
    ) -> Result<Judgement, LedgerError> {
        let Ok(record) = decode_message::<CallRecord>(&row.body) else {
            return Err(LedgerError { kind: ErrorKind::Internal });
        };
        if record.writer_mark == claim.writer_mark {
            return Ok(Judgement::Own);
        }
        match record.state.as_str() {
            _ if record.body_digest != claim.body_digest => {
                Err(LedgerError { kind: ErrorKind::KeyMismatch })
            }
            DONE => Ok(Judgement::Done(StoredResult {
                status: u16::try_from(record.status).unwrap_or(200),
                content_type: record.content_type,
                body: record.result,
            })),
            NOT_RUN => Ok(Judgement::Released),
            _ if now_unix_ms <= record.deadline_unix_ms => {
                Err(LedgerError { kind: ErrorKind::CallInProgress })
            }
            // The holder may have sent the call before it died; nobody may send it again.
            _ => Err(LedgerError { kind: ErrorKind::OutcomeUnknown }),
        }
    }
}

/// What a row says to a claim.
enum Judgement {
    /// The claim itself wrote the row.
    Own,
    /// The call ran.
    Done(StoredResult),
    /// The call was not sent; the row may be claimed at the version read.
    Released,
}

fn check_key_age(key: &str, now_unix_ms: u64) -> Result<(), LedgerError> {
    let key_unix_ms = Uuid::parse_str(key)
        .ok()
        .filter(|uuid| uuid.get_version_num() == 7 && uuid.get_variant() == Variant::RFC4122)
        .and_then(|uuid| uuid.get_timestamp())
        .map(|timestamp| {
            let (seconds, nanos) = timestamp.to_unix();
            seconds * 1000 + u64::from(nanos) / 1_000_000
        })
        .ok_or(LedgerError { kind: ErrorKind::KeyInvalid })?;
    let oldest = now_unix_ms.saturating_sub(millis(RETENTION - KEY_MARGIN));
    let newest = now_unix_ms + millis(KEY_MARGIN);
    match key_unix_ms {
        time if time < oldest || time > newest => Err(LedgerError { kind: ErrorKind::KeyExpired }),
        _ => Ok(()),
    }
}

fn content_digest(content: &[&[u8]]) -> Bytes {
    let mut hasher = Sha256::new();
    for part in content {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    Bytes::copy_from_slice(&hasher.finalize())
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
