//! The row of one call and what it says to an attempt to claim it.

use bytes::Bytes;
use eelgrassdeal_schema::records::CallRecord;
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_types::ErrorKind;

use super::{LedgerError, StoredResult};
use crate::table::{RowCondition, RowKey, RowWrite, StoredRow};

/// Largest result that is kept for callers that repeat a key.
const MAX_RESULT_BYTES: usize = 64 * 1024;

pub(super) const CLAIMED: &str = "claimed";
pub(super) const NOT_RUN: &str = "not_run";
pub(super) const DONE: &str = "done";
/// The call ran, and its result was too large to keep.
pub(super) const DONE_WITHOUT_RESULT: &str = "done_without_result";

/// One attempt's view of the row: what it writes, and on which condition.
#[derive(Clone, Debug)]
pub(super) struct CallRow {
    pub(super) key: RowKey,
    pub(super) record: CallRecord,
    pub(super) condition: RowCondition,
    pub(super) expires_unix_ms: u64,
}

impl CallRow {
    /// The write of this attempt in `state`. Every write carries the expiry, because a put without
    /// one would keep the row forever.
    pub(super) fn write(&self, state: &str) -> RowWrite {
        let record = CallRecord { state: state.to_owned(), ..self.record.clone() };
        RowWrite::put(self.key.clone(), self.condition, encode_message(&record))
            .with_expiry(self.expires_unix_ms)
    }

    /// Version of the row after the write took effect.
    pub(super) fn written_version(&self) -> u64 {
        match self.condition {
            RowCondition::Absent => 1,
            RowCondition::VersionIs(version) => version + 1,
        }
    }

    /// Whether `record` was written by this attempt in `state`.
    pub(super) fn is_own(&self, record: &CallRecord, state: &str) -> bool {
        record.writer_mark == self.record.writer_mark && record.state == state
    }

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

    /// Reads what the stored row says to this attempt.
    pub(super) fn judge(
        &self,
        row: &StoredRow,
        now_unix_ms: u64,
    ) -> Result<Judgement, LedgerError> {
        let record = decode_record(&row.body)?;
        let refuse = |kind| Err(LedgerError { kind });
        match record.state.as_str() {
            _ if self.is_own(&record, CLAIMED) => Ok(Judgement::Own),
            _ if record.body_digest != self.record.body_digest => refuse(ErrorKind::KeyMismatch),
            DONE => Ok(Judgement::Done(StoredResult {
                status: u16::try_from(record.status).unwrap_or(200),
                content_type: record.content_type,
                body: record.result,
            })),
            // A part of the answer must not pass for the whole one.
            DONE_WITHOUT_RESULT => refuse(ErrorKind::AnswerIncomplete),
            NOT_RUN => Ok(Judgement::Released),
            _ if now_unix_ms <= record.deadline_unix_ms => refuse(ErrorKind::CallInProgress),
            // The holder may have sent the call before it died; nobody may send it again.
            _ => refuse(ErrorKind::OutcomeUnknown),
        }
    }
}

/// What a row says to a claim.
pub(super) enum Judgement {
    /// The claim itself wrote the row.
    Own,
    /// The call ran.
    Done(StoredResult),
    /// The call was not sent; the row may be claimed at the version read.
    Released,
}

pub(super) fn decode_record(body: &Bytes) -> Result<CallRecord, LedgerError> {
    decode_message(body).map_err(|error| {
        log::error!("the record of a call cannot be read: {error}");
        LedgerError { kind: ErrorKind::Internal }
    })
}
