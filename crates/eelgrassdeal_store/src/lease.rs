//! Leases with a fencing number.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use eelgrassdeal_schema::records::LeaseRecord;
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_types::{FencingNumber, NodeId, new_writer_mark};
use error_stack::{Report, ResultExt};

use crate::table::{
    RowCondition, RowKey, RowWrite, StoreError, StoreResult, StoredRow, TableName, TableStore,
};

/// Partition of the rows that one transaction checks together with a lease.
pub const CONTROL_PARTITION: &str = "control";
/// The holder gives up this part of the duration, so that clocks whose rates differ by up to 5% do
/// not let two processes hold the lease.
const RATE_MARGIN_DIVISOR: u32 = 20;

/// A lease that this process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Rises with each change of the holder.
    pub fencing: FencingNumber,
    /// The holder must do nothing under the lease from this moment on.
    pub valid_until: Instant,
}

/// What was last seen of the lease's row.
#[derive(Clone, Copy, Debug)]
struct SeenRow {
    version: u64,
    since: Instant,
}

/// A lease and the wall-clock time from which its validity counts.
#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    lease: HeldLease,
    since: SystemTime,
}

/// Acquires and renews one lease.
///
/// No clocks of two machines are compared: a candidate takes over only after it has seen the row
/// unchanged for a whole lease duration by its own clock, counted from the answer to its first read
/// of that version, while the holder counts its validity from before it sent the renewal. Only an
/// answered write extends the validity. The row must never be deleted.
pub struct LeaseKeeper {
    store: Rc<dyn TableStore>,
    key: RowKey,
    holder: NodeId,
    /// Tells the rows written by this keeper, also those whose answer was lost.
    mark: String,
    duration: Duration,
    wall_clock: Rc<dyn Fn() -> SystemTime>,
    seen: Option<SeenRow>,
    granted: Option<GrantedLease>,
    /// Version of the row that this keeper wrote last, and its fencing number, if no other write
    /// may have followed unseen.
    written: Option<(u64, FencingNumber)>,
}

impl LeaseKeeper {
    /// Competes for the lease `name` on behalf of `holder`.
    pub fn new(store: Rc<dyn TableStore>, name: &str, holder: NodeId, duration: Duration) -> Self {
        let key = RowKey::new(TableName::Leases, CONTROL_PARTITION, name);
        let mark = new_writer_mark();
        let wall_clock = Rc::new(SystemTime::now);
        Self {
            store,
            key,
            holder,
            mark,
            duration,
            wall_clock,
            seen: None,
            granted: None,
            written: None,
        }
    }

    /// Replaces the wall clock. It only shortens the validity, for the case that the steady clock
    /// stood still while the VM was suspended.
    pub fn with_wall_clock(mut self, wall_clock: Rc<dyn Fn() -> SystemTime>) -> Self {
        self.wall_clock = wall_clock;
        self
    }

    /// The lease, if it is held at `now`.
    pub fn held(&self, now: Instant) -> Option<HeldLease> {
        let granted = self.granted?;
        // A wall clock that was set back says nothing.
        let wall_elapsed =
            (self.wall_clock)().duration_since(granted.since).unwrap_or(Duration::ZERO);
        let is_held = now < granted.lease.valid_until && wall_elapsed < self.validity();
        is_held.then_some(granted.lease)
    }

    /// Renews the lease, or takes it if it is free. Called about three times a lease duration.
    ///
    /// # Errors
    ///
    /// When the store gives no answer. A lease held before stays valid until it lapses; a write
    /// whose answer was lost is recognised by the next call.
    pub async fn renew(&mut self) -> StoreResult<Option<HeldLease>> {
        let (started, wall_started) = (Instant::now(), (self.wall_clock)());
        let known = match self.written.take() {
            // A holder need not read what it wrote: another's write makes the condition fail.
            Some((version, fencing)) => Some((RowCondition::VersionIs(version), fencing)),
            None => {
                let row = self.store.get(self.key.clone()).await?;
                self.judge(row)?
            }
        };
        let Some((condition, fencing)) = known else {
            self.granted = None;
            return Ok(None);
        };
        let record = LeaseRecord {
            holder: self.holder.to_string(),
            fencing,
            writer_mark: self.mark.clone(),
        };
        let write = RowWrite::put(self.key.clone(), condition, encode_message(&record));
        match self.store.transact(vec![write]).await {
            Ok(version) => {
                self.written = version.map(|version| (version, fencing));
                let lease = HeldLease { fencing, valid_until: started + self.validity() };
                self.granted = Some(GrantedLease { lease, since: wall_started });
                Ok(self.held(Instant::now()))
            }
            Err(report) if is_conflict(&report) => {
                self.granted = None;
                Ok(None)
            }
            // The write may have taken effect, but the lease counts as held only with an answer.
            Err(report) => Err(report),
        }
    }

    /// Gives up the lease, so that another keeper can take it at once. An unanswered call leaves it
    /// to lapse.
    ///
    /// # Errors
    ///
    /// When the store gives no answer.
    pub async fn release(&mut self) -> StoreResult<()> {
        self.granted = None;
        self.written = None;
        let Some(row) = self.store.get(self.key.clone()).await? else { return Ok(()) };
        let record: LeaseRecord =
            decode_message(&row.body).change_context(StoreError::Malformed)?;
        if record.writer_mark != self.mark {
            return Ok(());
        }
        let freed = LeaseRecord { fencing: record.fencing, ..LeaseRecord::default() };
        let condition = RowCondition::VersionIs(row.version);
        let write = RowWrite::put(self.key.clone(), condition, encode_message(&freed));
        self.store.transact(vec![write]).await.map(|_| ())
    }

    /// The condition and fencing number of the next write; `None` while another keeper may hold the
    /// lease. Must be called directly after the row was read.
    fn judge(
        &mut self,
        row: Option<StoredRow>,
    ) -> StoreResult<Option<(RowCondition, FencingNumber)>> {
        // Counting from before the read would include time in which the row was not yet written.
        let now = Instant::now();
        let Some(row) = row else { return Ok(Some((RowCondition::Absent, 1))) };
        let record: LeaseRecord =
            decode_message(&row.body).change_context(StoreError::Malformed)?;
        let seen = self
            .seen
            .filter(|seen| seen.version == row.version)
            .unwrap_or(SeenRow { version: row.version, since: now });
        self.seen = Some(seen);
        let is_own = record.writer_mark == self.mark;
        let is_released = record.writer_mark.is_empty();
        let has_lapsed = is_released || now.duration_since(seen.since) > self.duration;
        let condition = RowCondition::VersionIs(row.version);
        Ok(match (is_own, has_lapsed) {
            (true, _) => Some((condition, record.fencing)),
            (false, true) => Some((condition, record.fencing + 1)),
            (false, false) => None,
        })
    }

    fn validity(&self) -> Duration {
        self.duration - self.duration / RATE_MARGIN_DIVISOR
    }
}

fn is_conflict(report: &Report<StoreError>) -> bool {
    matches!(report.current_context(), StoreError::Conflict { .. })
}
