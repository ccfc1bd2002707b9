//! Records of calls with an idempotency key, which may run only once.
//!
//! A call is a request of a caller (an HTTP client) to a plain service (an HTTP service that is not
//! a model). A claim reserves the key of a call for one attempt to send it. The final write of a
//! claim records how the attempt ended: the result of the call, or that the call was not sent.
//!
//! A row changes from `claimed` to `done` (`done_without_result` for a large result) or to
//! `not_run`, and only the claim that wrote `claimed` makes this change. Only a row in state
//! `not_run` can be claimed again. Every write is conditional on the version that it replaces, so a
//! late write has no effect once the row has changed.

mod key;
mod row;

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_schema::records::CallRecord;
use eelgrassdeal_types::{ErrorKind, new_writer_mark};
use futures_channel::oneshot;
use rand::Rng;
use sha2::{Digest, Sha256};

use crate::table::{RowCondition, RowKey, StoreError, TableName, TableStore};
use crate::write_batch::{MAX_BATCH_ROWS, WriteBatcher};
use key::IdempotencyKey;
use row::{CLAIMED, CallRow, ClaimStatus, NOT_RUN, decode_record};

/// Largest number of times that a write is sent while the task that submitted it waits.
const MAX_FOREGROUND_ATTEMPTS: u32 = 3;
/// Largest number of times that a final write is sent, in the foreground and the background
/// together. With the delays below, which add up to 50 to 100 s, and the timeouts of the calls,
/// these attempts take about 2 min.
const MAX_FINAL_WRITE_ATTEMPTS: u32 = 14;
/// Delay before the first retry of a write; it doubles with each further retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest delay before a retry.
const MAX_BACKOFF: Duration = Duration::from_secs(15);
/// Largest number of final writes that are pending at once. Each is assumed to hold about 1 KB;
/// with a large result it holds up to 64 KiB.
const MAX_PENDING_FINAL_WRITES: usize = 4096;
/// Upper limit of the time until the deadline of a claim, even if the given deadline is later. It
/// limits the wait for the claim and the time during which the call may be sent.
const MAX_TIME_LEFT: Duration = Duration::from_secs(24 * 60 * 60);

/// The result of a call that ran, as the upstream returned it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResult {
    /// HTTP status of the upstream's response.
    pub status: u16,
    /// Content type of the upstream's response.
    pub content_type: String,
    /// Body of the upstream's response.
    pub body: Bytes,
}

/// A claim that this process holds. Only the holder may send the call.
///
/// A claim cannot be cloned, so that it ends with at most one of [`IdempotencyStore::complete`] and
/// [`IdempotencyStore::release`]. If a claim is dropped, its key returns
/// [`ErrorKind::OutcomeUnknown`] after the deadline.
#[derive(Debug)]
pub struct ClaimedCall {
    row: Box<CallRow>,
    send_deadline: Instant,
}

impl ClaimedCall {
    /// Whether the call may still be sent at `now_unix_ms`.
    ///
    /// The holder must check this directly before it sends the call, so that it does not send the
    /// call late after a pause of the process. Both clocks are checked: the monotonic clock may
    /// stop while the VM is suspended, and the wall clock may be set back.
    pub fn may_send(&self, now_unix_ms: u64) -> bool {
        now_unix_ms < self.row.record.deadline_unix_ms && Instant::now() < self.send_deadline
    }
}

/// The outcome of a claim that was not rejected.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The key is claimed, and the holder of the claim may send the call, once.
    Claimed(ClaimedCall),
    /// The call ran before; this is its result.
    Done(StoredResult),
}

/// Why a claim was rejected; the call must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimError {
    /// The error to return to the caller.
    pub kind: ErrorKind,
}

impl fmt::Display for ClaimError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the claim of the idempotency key was rejected: {}", self.kind)
    }
}

impl std::error::Error for ClaimError {}

/// Counters of an [`IdempotencyStore`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IdempotencyStats {
    /// Number of transactions sent to the store, retries included.
    pub transactions: u64,
    /// Number of claims in progress, including those that no task awaits any more.
    pub open_claims: usize,
    /// Number of final writes (results and releases) in progress, both those that a task still
    /// awaits and those that are retried in the background.
    pub pending_final_writes: usize,
    /// Number of final writes that are not retried any more although the final state is not known
    /// to be recorded. Their keys may return [`ErrorKind::OutcomeUnknown`].
    pub abandoned_writes: u64,
}

/// Claims idempotency keys before their calls are sent, and stores the results of the calls.
///
/// Clones share the counters and one batcher, which combines their writes into common transactions.
/// Needs a `compio` runtime.
#[derive(Clone)]
pub struct IdempotencyStore {
    store: Rc<dyn TableStore>,
    batcher: WriteBatcher,
    initial_backoff: Duration,
    counters: Rc<IdempotencyCounters>,
}

#[derive(Default)]
struct IdempotencyCounters {
    open_claims: Cell<usize>,
    pending_final_writes: Cell<usize>,
    abandoned_writes: Cell<u64>,
}

/// The outcome of one attempt at the final write of a claim.
enum FinalWriteOutcome {
    /// No write of this claim can change the row any more. `true` if the final state was recorded,
    /// or if `not_run` was to be written and another claim owns the row, so that this claim cannot
    /// take effect any more. `false` if the result of a call was not recorded, or the row cannot be
    /// decoded.
    Decided(bool),
    /// The row holds this claim, but at this version instead of the expected one. The claim's own
    /// write took effect without a response, or the versions of the store do not count writes.
    VersionChanged(u64),
    /// It is not known what the row holds.
    NoResponse,
}

/// The outcome of a claim as it is sent to the task that awaits [`IdempotencyStore::claim`]. That
/// task acknowledges that it received the outcome.
struct DeliveredClaim {
    outcome: ClaimOutcome,
    acknowledgement: oneshot::Sender<()>,
}

type ClaimSender = oneshot::Sender<Result<DeliveredClaim, ClaimError>>;

impl IdempotencyStore {
    /// Keeps the records in the table service `store`.
    pub fn new(store: Rc<dyn TableStore>) -> Self {
        let batcher = WriteBatcher::new(store.clone(), MAX_BATCH_ROWS);
        Self { store, batcher, initial_backoff: INITIAL_BACKOFF, counters: Rc::default() }
    }

    /// Sets the largest number of rows in one transaction: 1 to 25, 25 by default.
    pub fn with_batch_rows(mut self, rows: usize) -> Self {
        self.batcher = WriteBatcher::new(self.store.clone(), rows);
        self
    }

    /// Sets the delay before the first retry of a write; it doubles with each further retry. 100 ms
    /// by default.
    pub fn with_initial_backoff(mut self, initial_backoff: Duration) -> Self {
        self.initial_backoff = initial_backoff;
        self
    }

    /// The current values of the counters.
    pub fn stats(&self) -> IdempotencyStats {
        IdempotencyStats {
            transactions: self.batcher.transactions(),
            open_claims: self.counters.open_claims.get(),
            pending_final_writes: self.counters.pending_final_writes.get(),
            abandoned_writes: self.counters.abandoned_writes.get(),
        }
    }

    /// Claims `key` of `client_account` for a call with the given content.
    ///
    /// `content` holds the parts that identify the call: service, call name and body. A key that
    /// was used for other content is rejected with [`ErrorKind::KeyMismatch`].
    ///
    /// If the store does not respond, the deadline passes or the returned future is dropped, the
    /// claim is withdrawn in the background: the call is not sent, and the key can be claimed
    /// again.
    ///
    /// # Errors
    ///
    /// With the error for the caller when the call must not be sent.
    pub async fn claim(
        &self,
        client_account: &str,
        key: &str,
        content: &[&[u8]],
        now_unix_ms: u64,
        deadline_unix_ms: u64,
    ) -> Result<ClaimOutcome, ClaimError> {
        let key = IdempotencyKey::parse(key, now_unix_ms)?;
        let record = CallRecord {
            client_account: client_account.to_owned(),
            key: key.name.clone(),
            body_digest: content_digest(content),
            writer_mark: new_writer_mark(),
            deadline_unix_ms,
            ..CallRecord::default()
        };
        let row = CallRow {
            key: RowKey::new(TableName::Claims, client_account, &key.name),
            record,
            condition: RowCondition::Absent,
            expires_unix_ms: key.expires_unix_ms(now_unix_ms),
        };
        let time_left = Duration::from_millis(deadline_unix_ms.saturating_sub(now_unix_ms));
        let time_left = time_left.min(MAX_TIME_LEFT);
        if time_left.is_zero() {
            return Err(ClaimError { kind: ErrorKind::DeadlineExpired });
        }
        let send_deadline = Instant::now() + time_left;
        let (sender, receiver) = oneshot::channel();
        let task = self.clone().run_claim(row, now_unix_ms, send_deadline, sender);
        let counters = self.counters.clone();
        counters.open_claims.set(counters.open_claims.get() + 1);
        compio::runtime::spawn(async move {
            task.await;
            counters.open_claims.set(counters.open_claims.get() - 1);
        })
        .detach();
        match compio::time::timeout(time_left, receiver).await {
            Ok(Ok(delivered)) => {
                let DeliveredClaim { outcome, acknowledgement } = delivered?;
                match &outcome {
                    // The process was paused past the deadline. Without the acknowledgement, the
                    // claim is withdrawn.
                    ClaimOutcome::Claimed(call) if Instant::now() >= call.send_deadline => {
                        Err(ClaimError { kind: ErrorKind::DeadlineExpired })
                    }
                    _ => {
                        let _ = acknowledgement.send(());
                        Ok(outcome)
                    }
                }
            }
            Ok(Err(_)) => Err(ClaimError { kind: ErrorKind::StoreUnavailable }),
            Err(_) => Err(ClaimError { kind: ErrorKind::DeadlineExpired }),
        }
    }

    /// Records the result of a call that ran.
    ///
    /// Returns whether the record is known to be written. If the store did not confirm it within
    /// three attempts, the write is retried in the background; until it succeeds, the key returns
    /// [`ErrorKind::CallInProgress`] before its deadline and [`ErrorKind::OutcomeUnknown`] after
    /// it. The write is not retried if the row holds the record of another writer or cannot be
    /// decoded, or if too many final writes are pending.
    pub async fn complete(&self, call: ClaimedCall, result: &StoredResult) -> bool {
        let mut row = *call.row;
        let state = row.set_result(result);
        self.write_final_state(row, state).await
    }

    /// Records that a claimed call was not sent, so that its key can be claimed again.
    ///
    /// Returns whether the key is known not to be held by this claim any more. If the store did not
    /// confirm it within three attempts, the write is retried in the background. The write is not
    /// retried if the row cannot be decoded or too many final writes are pending.
    pub async fn release(&self, call: ClaimedCall) -> bool {
        self.write_final_state(*call.row, NOT_RUN).await
    }

    /// Runs a claim to its end, even if the task that awaits it is dropped.
    async fn run_claim(
        self,
        mut row: CallRow,
        now_unix_ms: u64,
        send_deadline: Instant,
        sender: ClaimSender,
    ) {
        let is_claimed = match self.try_claim(&mut row, now_unix_ms).await {
            Ok(ClaimStatus::Own) => {
                let call = ClaimedCall { row: Box::new(row.clone()), send_deadline };
                deliver(sender, ClaimOutcome::Claimed(call)).await
            }
            Ok(ClaimStatus::Done(result)) => {
                deliver(sender, ClaimOutcome::Done(result)).await;
                return;
            }
            Ok(ClaimStatus::Unclaimed) => {
                let _ = sender.send(Err(ClaimError { kind: ErrorKind::StoreUnavailable }));
                false
            }
            // The row belongs to another claim, so no write of this claim can take effect.
            Err(error) => {
                let _ = sender.send(Err(error));
                return;
            }
        };
        if !is_claimed {
            self.run_final_write(row, NOT_RUN, None).await;
        }
    }

    /// Writes the claim until the store tells who holds the row. Returns [`ClaimStatus::Unclaimed`]
    /// if no attempt showed this; a write without a response may then still take effect.
    async fn try_claim(
        &self,
        row: &mut CallRow,
        now_unix_ms: u64,
    ) -> Result<ClaimStatus, ClaimError> {
        for attempt in 0..MAX_FOREGROUND_ATTEMPTS {
            match self.batcher.submit(row.write(CLAIMED)).await {
                Ok(()) => {
                    row.condition = RowCondition::VersionIs(row.next_version());
                    return Ok(ClaimStatus::Own);
                }
                Err(StoreError::Conflict { .. }) => {}
                Err(_) => {
                    self.back_off(attempt, MAX_FOREGROUND_ATTEMPTS).await;
                    continue;
                }
            }
            // The row shows which claim holds the key, and whether a write without a response took
            // effect.
            let Ok(Some(stored)) = self.store.get(row.key.clone()).await else {
                self.back_off(attempt, MAX_FOREGROUND_ATTEMPTS).await;
                continue;
            };
            let status = row.claim_status(&stored, now_unix_ms)?;
            match status {
                ClaimStatus::Done(_) => return Ok(status),
                ClaimStatus::Own => {
                    row.condition = RowCondition::VersionIs(stored.version);
                    return Ok(status);
                }
                ClaimStatus::Unclaimed => row.condition = RowCondition::VersionIs(stored.version),
            }
        }
        Ok(ClaimStatus::Unclaimed)
    }

    /// Writes the final state of a claim, and returns whether it is known to be recorded after at
    /// most [`MAX_FOREGROUND_ATTEMPTS`] attempts. Further attempts are made in the background.
    async fn write_final_state(&self, row: CallRow, state: &'static str) -> bool {
        let (sender, receiver) = oneshot::channel();
        let idempotency = self.clone();
        compio::runtime::spawn(async move {
            idempotency.run_final_write(row, state, Some(sender)).await;
        })
        .detach();
        receiver.await.unwrap_or(false)
    }

    /// Writes the final state `state` until it is known what the row holds, at most
    /// [`MAX_FINAL_WRITE_ATTEMPTS`] times. Sends the result of the first attempts to
    /// `result_sender`.
    ///
    /// If it is not known whether the claim was written, it is withdrawn in the same way: `not_run`
    /// is written on the condition of the claim's own write, so that only one of the two writes can
    /// take effect.
    async fn run_final_write(
        &self,
        mut row: CallRow,
        state: &'static str,
        mut result_sender: Option<oneshot::Sender<bool>>,
    ) {
        let counters = self.counters.clone();
        if counters.pending_final_writes.get() >= MAX_PENDING_FINAL_WRITES {
            self.record_abandoned_write(&row, "too many writes are pending");
            return;
        }
        counters.pending_final_writes.set(counters.pending_final_writes.get() + 1);
        let is_decided = 'attempts: {
            for attempt in 0..MAX_FINAL_WRITE_ATTEMPTS {
                match self.try_final_write(&row, state).await {
                    FinalWriteOutcome::Decided(is_written) => {
                        result_sender.take().map(|sender| sender.send(is_written));
                        break 'attempts true;
                    }
                    FinalWriteOutcome::VersionChanged(version) => {
                        row.condition = RowCondition::VersionIs(version);
                        continue;
                    }
                    FinalWriteOutcome::NoResponse => {}
                }
                if attempt + 1 >= MAX_FOREGROUND_ATTEMPTS {
                    result_sender.take().map(|sender| sender.send(false));
                }
                self.back_off(attempt, MAX_FINAL_WRITE_ATTEMPTS).await;
            }
            false
        };
        counters.pending_final_writes.set(counters.pending_final_writes.get() - 1);
        if !is_decided {
            self.record_abandoned_write(&row, "the store did not respond");
        }
    }

    async fn try_final_write(&self, row: &CallRow, state: &'static str) -> FinalWriteOutcome {
        match self.batcher.submit(row.write(state)).await {
            Ok(()) => return FinalWriteOutcome::Decided(true),
            Err(StoreError::Conflict { .. }) => {}
            Err(_) => return FinalWriteOutcome::NoResponse,
        }
        let stored = match self.store.get(row.key.clone()).await {
            Ok(Some(stored)) => stored,
            Ok(None) | Err(_) => return FinalWriteOutcome::NoResponse,
        };
        match decode_record(&stored.body) {
            Ok(record) if row.is_own(&record, state) => FinalWriteOutcome::Decided(true),
            Ok(record) if row.is_own(&record, CLAIMED) => {
                FinalWriteOutcome::VersionChanged(stored.version)
            }
            // Another claim owns the row, which it can take over only in state `not_run`. If
            // `not_run` was to be written, this is a success: either it was written and the key was
            // claimed again, or this claim was never written and cannot be any more. If a result
            // was to be written, it was not recorded.
            Ok(_) => FinalWriteOutcome::Decided(state == NOT_RUN),
            Err(_) => FinalWriteOutcome::Decided(false),
        }
    }

    /// Counts and logs a final write that is given up.
    fn record_abandoned_write(&self, row: &CallRow, cause: &str) {
        self.counters.abandoned_writes.set(self.counters.abandoned_writes.get() + 1);
        let (account, key) = (&row.record.client_account, &row.record.key);
        log::warn!(
            "giving up the final write for idempotency key {key} of client account {account}, \
             which may stay claimed: {cause}"
        );
    }

    /// Waits after the write attempt `attempt`, counted from 0, unless it was the last of
    /// `max_attempts`. The random factor spreads the retries of many nodes over time.
    async fn back_off(&self, attempt: u32, max_attempts: u32) {
        if attempt + 1 >= max_attempts {
            return;
        }
        let delay = self.initial_backoff.saturating_mul(1 << attempt.min(16)).min(MAX_BACKOFF);
        let factor = rand::rng().random_range(0.5..1.0);
        compio::time::sleep(delay.mul_f64(factor)).await;
    }
}

/// Sends the outcome of a claim to the task that awaits it; returns whether the task acknowledged
/// it.
async fn deliver(sender: ClaimSender, outcome: ClaimOutcome) -> bool {
    let (acknowledgement, acknowledged) = oneshot::channel();
    match sender.send(Ok(DeliveredClaim { outcome, acknowledgement })) {
        Ok(()) => acknowledged.await.is_ok(),
        Err(_) => false,
    }
}

/// SHA-256 over the parts, each preceded by its length, so that different divisions into parts have
/// different digests.
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
