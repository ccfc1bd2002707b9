//! The ledger of calls that may run only once.
//!
//! A row goes from `claimed` to `done` or to `not_run`, and only the attempt that wrote `claimed`
//! takes it there. Only a row in `not_run` can be claimed again. Every write names the version it
//! replaces, so a write that arrives late changes nothing once the row has moved on.

mod call_key;
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
use call_key::CallKey;
use row::{CLAIMED, CallRow, Judgement, NOT_RUN, decode_record};

/// How often a write without an answer is sent again while the caller waits.
const FOREGROUND_TRIES: u32 = 3;
/// How often a write is sent in all; with the delays below this takes about 2 min.
const BACKGROUND_TRIES: u32 = 14;
const FIRST_DELAY: Duration = Duration::from_millis(100);
const MAX_DELAY: Duration = Duration::from_secs(15);
/// Writes that wait for the store in the background; each holds about 1 KB.
const MAX_BACKGROUND_WRITES: usize = 4096;
/// A claim waits no longer than this, whatever its deadline.
const MAX_WAIT: Duration = Duration::from_secs(24 * 60 * 60);

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
///
/// It cannot be cloned: it ends with exactly one of [`CallLedger::complete`] and
/// [`CallLedger::release`]. A claim that is dropped stays `outcome_unknown`.
#[derive(Debug)]
pub struct ClaimedCall {
    row: Box<CallRow>,
    send_before: Instant,
}

impl ClaimedCall {
    /// Whether the call may still be sent at `now_unix_ms`.
    ///
    /// A holder asks directly before it sends, so that it sends nothing late after a pause. Both
    /// clocks count: the steady clock may stand still while the VM is suspended, and the wall clock
    /// may be set back.
    pub fn may_send(&self, now_unix_ms: u64) -> bool {
        now_unix_ms < self.row.record.deadline_unix_ms && Instant::now() < self.send_before
    }
}

/// Answer to an attempt to claim.
#[derive(Debug)]
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

/// Counts since the ledger was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerStats {
    /// Transactions sent to the store, repeats included.
    pub transactions: u64,
    /// Claims that are not decided yet, with those whose callers no longer wait.
    pub open_claims: usize,
    /// Final writes that are not settled yet, with those that go on in the background.
    pub background_writes: usize,
    /// Writes given up; their keys may answer [`ErrorKind::OutcomeUnknown`].
    pub abandoned_writes: u64,
}

/// Claims keys before their calls are sent, and keeps the results.
///
/// Clones share the batches in which rows are written. Needs a `compio` runtime.
#[derive(Clone)]
pub struct CallLedger {
    store: Rc<dyn TableStore>,
    batcher: WriteBatcher,
    first_delay: Duration,
    counts: Rc<LedgerCounts>,
}

#[derive(Default)]
struct LedgerCounts {
    open_claims: Cell<usize>,
    background_writes: Cell<usize>,
    abandoned_writes: Cell<u64>,
}

/// What a try to write a row came to.
enum TryOutcome {
    /// The row will not change any more by this attempt; whether it says what was to be written.
    Settled(bool),
    /// The row was found at another version of the same attempt.
    MovedTo(u64),
    /// The store did not answer.
    Unanswered,
}

/// A claim on its way to the caller, who confirms that it arrived.
struct DeliveredClaim {
    outcome: ClaimOutcome,
    arrival: oneshot::Sender<()>,
}

type ClaimSender = oneshot::Sender<Result<DeliveredClaim, LedgerError>>;

impl CallLedger {
    /// Keeps the records in `store`.
    pub fn new(store: Rc<dyn TableStore>) -> Self {
        let batcher = WriteBatcher::new(store.clone(), MAX_BATCH_ROWS);
        Self { store, batcher, first_delay: FIRST_DELAY, counts: Rc::default() }
    }

    /// Writes at most `rows` rows in one transaction: 1 to 25, 25 by default.
    pub fn with_batch_rows(mut self, rows: usize) -> Self {
        self.batcher = WriteBatcher::new(self.store.clone(), rows);
        self
    }

    /// Waits `first_delay` before a write is sent again, and twice as long each time after; 100 ms
    /// by default.
    pub fn with_first_delay(mut self, first_delay: Duration) -> Self {
        self.first_delay = first_delay;
        self
    }

    /// Counts so far.
    pub fn stats(&self) -> LedgerStats {
        LedgerStats {
            transactions: self.batcher.transactions(),
            open_claims: self.counts.open_claims.get(),
            background_writes: self.counts.background_writes.get(),
            abandoned_writes: self.counts.abandoned_writes.get(),
        }
    }

    /// Claims `key` of `client_account` for a call with this content.
    ///
    /// If the store does not answer, or the deadline passes, or the returned future is dropped, the
    /// claim is withdrawn in the background: it is never sent, and its key can be claimed again.
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
        let key = CallKey::parse(key, now_unix_ms)?;
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
        let time_left = time_left.min(MAX_WAIT);
        if time_left.is_zero() {
            return Err(LedgerError { kind: ErrorKind::DeadlineExpired });
        }
        let send_before = Instant::now() + time_left;
        let (sender, receiver) = oneshot::channel();
        let task = self.clone().run_claim(row, now_unix_ms, send_before, sender);
        let counts = self.counts.clone();
        counts.open_claims.set(counts.open_claims.get() + 1);
        compio::runtime::spawn(async move {
            task.await;
            counts.open_claims.set(counts.open_claims.get() - 1);
        })
        .detach();
        match compio::time::timeout(time_left, receiver).await {
            Ok(Ok(delivered)) => {
                let DeliveredClaim { outcome, arrival } = delivered?;
                match &outcome {
                    // The process was paused meanwhile; the claim is withdrawn.
                    ClaimOutcome::Claimed(call) if Instant::now() >= call.send_before => {
                        Err(LedgerError { kind: ErrorKind::DeadlineExpired })
                    }
                    _ => {
                        let _ = arrival.send(());
                        Ok(outcome)
                    }
                }
            }
            Ok(Err(_)) => Err(LedgerError { kind: ErrorKind::StoreUnavailable }),
            Err(_) => Err(LedgerError { kind: ErrorKind::DeadlineExpired }),
        }
    }

    /// Records the result of a call that ran.
    ///
    /// Returns whether the record is known to be written. If not, the key answers
    /// [`ErrorKind::OutcomeUnknown`] until the write, which goes on in the background, succeeds.
    pub async fn complete(&self, call: ClaimedCall, result: &StoredResult) -> bool {
        let mut row = *call.row;
        let state = row.set_result(result);
        self.settle(row, state).await
    }

    /// Records that a claimed call was not sent, so that its key can be claimed again.
    ///
    /// Returns whether the record is known to be written; if not, the write goes on in the
    /// background.
    pub async fn release(&self, call: ClaimedCall) -> bool {
        self.settle(*call.row, NOT_RUN).await
    }

    /// Runs a claim to its end, whether or not the caller still waits for it.
    async fn run_claim(
        self,
        mut row: CallRow,
        now_unix_ms: u64,
        send_before: Instant,
        sender: ClaimSender,
    ) {
        let is_claimed = match self.try_claim(&mut row, now_unix_ms).await {
            Ok(Judgement::Own) => {
                let call = ClaimedCall { row: Box::new(row.clone()), send_before };
                deliver(sender, ClaimOutcome::Claimed(call)).await
            }
            Ok(Judgement::Done(result)) => {
                deliver(sender, ClaimOutcome::Done(result)).await;
                return;
            }
            Ok(Judgement::Released) => {
                let _ = sender.send(Err(LedgerError { kind: ErrorKind::StoreUnavailable }));
                false
            }
            // The row belongs to another attempt, so no write of this one can take effect.
            Err(error) => {
                let _ = sender.send(Err(error));
                return;
            }
        };
        if !is_claimed {
            self.write_until_settled(row, NOT_RUN, None).await;
        }
    }

    /// Writes the claim until the store says whose the row is. [`Judgement::Released`] means that
    /// it never did; a write may then still take effect.
    async fn try_claim(
        &self,
        row: &mut CallRow,
        now_unix_ms: u64,
    ) -> Result<Judgement, LedgerError> {
        for number in 0..FOREGROUND_TRIES {
            match self.batcher.submit(row.write(CLAIMED)).await {
                Ok(()) => {
                    row.condition = RowCondition::VersionIs(row.written_version());
                    return Ok(Judgement::Own);
                }
                Err(StoreError::Conflict { .. }) => {}
                Err(_) => {
                    self.delay(number, FOREGROUND_TRIES).await;
                    continue;
                }
            }
            // The row tells both who won and whether an unanswered write took effect.
            let Ok(Some(stored)) = self.store.get(row.key.clone()).await else {
                self.delay(number, FOREGROUND_TRIES).await;
                continue;
            };
            let judgement = row.judge(&stored, now_unix_ms)?;
            match judgement {
                Judgement::Done(_) => return Ok(judgement),
                Judgement::Own => {
                    row.condition = RowCondition::VersionIs(stored.version);
                    return Ok(judgement);
                }
                Judgement::Released => row.condition = RowCondition::VersionIs(stored.version),
            }
        }
        Ok(Judgement::Released)
    }

    /// Writes the final state of a claim; returns after [`FOREGROUND_TRIES`] at the latest.
    async fn settle(&self, row: CallRow, state: &'static str) -> bool {
        let (sender, receiver) = oneshot::channel();
        let ledger = self.clone();
        compio::runtime::spawn(async move {
            ledger.write_until_settled(row, state, Some(sender)).await;
        })
        .detach();
        receiver.await.unwrap_or(false)
    }

    /// Writes `state` until it is certain what the row says, with a bound on the tries.
    ///
    /// For a claim that may not have taken effect, a write of `not_run` on the claim's own condition
    /// does the same: whichever of the two comes first, the other can no longer take effect.
    async fn write_until_settled(
        &self,
        mut row: CallRow,
        state: &'static str,
        mut waiting: Option<oneshot::Sender<bool>>,
    ) {
        let counts = self.counts.clone();
        if counts.background_writes.get() >= MAX_BACKGROUND_WRITES {
            self.abandon(&row, "too many writes wait for the store");
            return;
        }
        counts.background_writes.set(counts.background_writes.get() + 1);
        let is_settled = 'tries: {
            for number in 0..BACKGROUND_TRIES {
                match self.try_settle(&row, state).await {
                    TryOutcome::Settled(is_written) => {
                        waiting.take().map(|sender| sender.send(is_written));
                        break 'tries true;
                    }
                    TryOutcome::MovedTo(version) => {
                        row.condition = RowCondition::VersionIs(version);
                        continue;
                    }
                    TryOutcome::Unanswered => {}
                }
                if number + 1 >= FOREGROUND_TRIES {
                    waiting.take().map(|sender| sender.send(false));
                }
                self.delay(number, BACKGROUND_TRIES).await;
            }
            false
        };
        counts.background_writes.set(counts.background_writes.get() - 1);
        if !is_settled {
            self.abandon(&row, "the store does not answer");
        }
    }

    async fn try_settle(&self, row: &CallRow, state: &'static str) -> TryOutcome {
        match self.batcher.submit(row.write(state)).await {
            Ok(()) => return TryOutcome::Settled(true),
            Err(StoreError::Conflict { .. }) => {}
            Err(_) => return TryOutcome::Unanswered,
        }
        let stored = match self.store.get(row.key.clone()).await {
            Ok(Some(stored)) => stored,
            Ok(None) | Err(_) => return TryOutcome::Unanswered,
        };
        match decode_record(&stored.body) {
            Ok(record) if row.is_own(&record, state) => TryOutcome::Settled(true),
            Ok(record) if row.is_own(&record, CLAIMED) => TryOutcome::MovedTo(stored.version),
            // Only a row in `not_run` passes to another attempt, so `not_run` did take effect, or
            // the claim that was to be withdrawn never can.
            Ok(_) => TryOutcome::Settled(state == NOT_RUN),
            Err(_) => TryOutcome::Settled(false),
        }
    }

    fn abandon(&self, row: &CallRow, cause: &str) {
        self.counts.abandoned_writes.set(self.counts.abandoned_writes.get() + 1);
        let (account, key) = (&row.record.client_account, &row.record.key);
        log::warn!("the record of call {key} of {account} is given up: {cause}");
    }

    /// Waits after try `number` unless it is the last of `tries`. The random part spreads the
    /// retries of many nodes.
    async fn delay(&self, number: u32, tries: u32) {
        if number + 1 >= tries {
            return;
        }
        let delay = self.first_delay.saturating_mul(1 << number.min(16)).min(MAX_DELAY);
        let share = rand::rng().random_range(0.5..1.0);
        compio::time::sleep(delay.mul_f64(share)).await;
    }
}

/// Hands a claim to the caller; returns whether the caller took it.
async fn deliver(sender: ClaimSender, outcome: ClaimOutcome) -> bool {
    let (arrival, arrived) = oneshot::channel();
    match sender.send(Ok(DeliveredClaim { outcome, arrival })) {
        Ok(()) => arrived.await.is_ok(),
        Err(_) => false,
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
