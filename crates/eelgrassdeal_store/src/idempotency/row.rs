//! The row of one call, and what a stored row means for a claim.

use bytes::Bytes;
use eelgrassdeal_schema::records::CallRecord;
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_types::ErrorKind;

use super::{ClaimError, StoredResult};
use crate::table::{RowCondition, RowKey, RowWrite, StoredRow};

/// Largest result body that is stored for callers that repeat a key; a larger body is not stored.
const MAX_RESULT_BYTES: usize = 64 * 1024;

/// The call may be sent, or was sent and has no result yet.
pub(super) const CLAIMED: &str = "claimed";
/// The claim ended without sending the call.
pub(super) const NOT_RUN: &str = "not_run";
/// The call ran, and the record holds its result.
pub(super) const DONE: &str = "done";
/// The call ran, but its result was too large to store.
pub(super) const DONE_WITHOUT_RESULT: &str = "done_without_result";

/// The row of a call as one claim writes it: the record, and the condition of the next write.
#[derive(Clone, Debug)]
pub(super) struct CallRow {
    pub(super) key: RowKey,
    pub(super) record: CallRecord,
    pub(super) condition: RowCondition,
    pub(super) expires_unix_ms: u64,
}

impl CallRow {
    /// The write of this claim's record with `state`. Every write sets the expiry, because a put
    /// without an expiry would keep the row forever.
    pub(super) fn write(&self, state: &str) -> RowWrite {
        let record = CallRecord { state: state.to_owned(), ..self.record.clone() };
        RowWrite::put(self.key.clone(), self.condition, encode_message(&record))
            .with_expiry(self.expires_unix_ms)
    }

    /// Version that the row has after the next write, in a store whose versions count the writes of
    /// a row. With another store, the final write finds the actual version by reading the row.
    pub(super) fn next_version(&self) -> u64 {
        match self.condition {
            RowCondition::Absent => 1,
            RowCondition::VersionIs(version) => version + 1,
        }
    }

    /// Whether this claim wrote `record` with `state`.
    pub(super) fn is_own(&self, record: &CallRecord, state: &str) -> bool {
        record.writer_mark == self.record.writer_mark && record.state == state
    }

    /// Puts `result` into the record, without a body that is too large. Returns the state to write.
    pub(super) fn set_result(&mut self, result: &StoredResult) -> &'static str {
        self.record.status = u32::from(result.status);
        self.record.content_type = result.content_type.clone();
        match result.body.len() {
            0..=MAX_RESULT_BYTES => {
                self.record.result = result.body.clone();
                DONE
            }
            _ => DONE_WITHOUT_RESULT,
        }
    }

    /// What the stored `row` means for this claim.
    ///
    /// # Errors
    ///
    /// With the error for the caller when the row does not allow this claim.
    pub(super) fn claim_status(
        &self,
        row: &StoredRow,
        now_unix_ms: u64,
    ) -> Result<ClaimStatus, ClaimError> {
        let record = decode_record(&row.body)?;
        let reject = |kind| Err(ClaimError { kind });
        match record.state.as_str() {
            _ if self.is_own(&record, CLAIMED) => Ok(ClaimStatus::Own),
            _ if record.body_digest != self.record.body_digest => reject(ErrorKind::KeyMismatch),
            DONE => Ok(ClaimStatus::Done(StoredResult {
                status: u16::try_from(record.status).unwrap_or(200),
                content_type: record.content_type,
                body: record.result,
            })),
            // The body was too large to store, and a result without it must not be taken for the
            // complete one.
            DONE_WITHOUT_RESULT => reject(ErrorKind::AnswerIncomplete),
            NOT_RUN => Ok(ClaimStatus::Unclaimed),
            _ if now_unix_ms <= record.deadline_unix_ms => reject(ErrorKind::CallInProgress),
            // The holder may have sent the call before it stopped, so the call must not be sent
            // again.
            _ => reject(ErrorKind::OutcomeUnknown),
        }
    }
}

/// What a stored row means for a claim.
pub(super) enum ClaimStatus {
    /// The row was written by this claim, which holds the key.
    Own,
    /// The call ran before; this is its result.
    Done(StoredResult),
    /// The row says that the call was not sent, so the key can be claimed on the version that was
    /// read. `IdempotencyStore::try_claim` also returns it if it is not known who holds the row.
    Unclaimed,
}

pub(super) fn decode_record(body: &Bytes) -> Result<CallRecord, ClaimError> {
    decode_message(body).map_err(|error| {
        log::error!("cannot decode the record of a call: {error}");
        ClaimError { kind: ErrorKind::Internal }
    })
}
