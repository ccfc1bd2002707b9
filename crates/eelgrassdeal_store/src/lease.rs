//! Leases with a fencing number, kept as rows of the table service.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use eelgrassdeal_schema::records::LeaseRecord;
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_types::{
    FencingNumber, NodeId, StoreEra, fencing_era, new_writer_mark, next_fencing_number, version_era,
};
use error_stack::{Report, ResultExt};

use crate::table::{
    RowCondition, RowKey, RowWrite, StoreError, StoreResult, StoredRow, TableName, TableStore,
};

/// Partition key of the rows through which nodes coordinate: leases, rows that are checked or
/// written in one transaction with a row of the lease table (such as the groups of the gateway's
/// planner), and the peer addresses that gateway nodes register.
pub const CONTROL_PARTITION: &str = "control";
/// The holder's validity is shorter than the lease duration by the duration divided by this number,
/// so that two processes never hold the lease as long as the rates of their clocks differ by up to
/// 5%.
const CLOCK_DRIFT_DIVISOR: u32 = 20;

/// A lease that this process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing number (fencing token): rises with each change of the holder, so that writes of a
    /// previous holder can be rejected.
    pub fencing: FencingNumber,
    /// End of the validity. From this moment on the process must not act as the holder.
    pub valid_until: Instant,
}

/// The version of the lease's row at the last read, and when that version was first read in this
/// era.
#[derive(Clone, Copy, Debug)]
struct ObservedRow {
    /// `None` if there was no row.
    version: Option<u64>,
    era: StoreEra,
    first_read_at: Instant,
}

/// A lease, and the wall-clock time at which its validity began.
#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    lease: HeldLease,
    granted_at: SystemTime,
}

/// Acquires and renews one lease on behalf of this process.
///
/// The protocol never compares the clocks of two machines. A candidate takes over only after it has
/// observed the row unchanged for a full lease duration by its own clock, counted from the response
/// to its first read of that version. The holder counts its validity from before it sent the
/// renewal, and only an acknowledged write extends the validity. The row must never be deleted,
/// because the fencing number would start again.
///
/// A lease ends with the era of the store in which it was granted, because the row may name an
/// earlier holder afterwards. In a new era nobody acquires it before having observed the row
/// unchanged for a full lease duration: by then a holder that has not seen the new era has given it
/// up. The era is a part of each packed version and fencing number.
pub struct LeaseClient {
    store: Rc<dyn TableStore>,
    key: RowKey,
    holder: NodeId,
    /// Random id of this client, written into the lease record by every acquisition and renewal. It
    /// shows that a row is this client's own, also if the response to the write was lost. A
    /// released lease has no mark.
    writer_mark: String,
    duration: Duration,
    wall_clock: Rc<dyn Fn() -> SystemTime>,
    /// Highest era of the store that any answer to this process had.
    store_era: Rc<dyn Fn() -> StoreEra>,
    observed: Option<ObservedRow>,
    granted: Option<GrantedLease>,
    /// Version of the row after this client's last acknowledged write, and its fencing number.
    /// `None` before the first such write, and after a write that failed or got no response.
    last_written: Option<(u64, FencingNumber)>,
}

impl LeaseClient {
    /// Creates a client of the lease `name` for the process `holder`. It does not hold the lease
    /// until [`LeaseClient::renew`] acquires it.
    pub fn new(store: Rc<dyn TableStore>, name: &str, holder: NodeId, duration: Duration) -> Self {
        let key = RowKey::new(TableName::Leases, CONTROL_PARTITION, name);
        let writer_mark = new_writer_mark();
        let wall_clock = Rc::new(SystemTime::now);
        Self {
            store,
            key,
            holder,
            writer_mark,
            duration,
            wall_clock,
            store_era: Rc::new(|| 0),
            observed: None,
            granted: None,
            last_written: None,
        }
    }

    /// Replaces the wall clock. The wall clock can only shorten the validity: it covers the case
    /// that the monotonic clock stopped while the VM was suspended.
    pub fn with_wall_clock(mut self, wall_clock: Rc<dyn Fn() -> SystemTime>) -> Self {
        self.wall_clock = wall_clock;
        self
    }

    /// Sets the source of the highest era of the store that any answer to this process had. A store
    /// without it is in era 0.
    pub fn with_store_era(mut self, store_era: Rc<dyn Fn() -> StoreEra>) -> Self {
        self.store_era = store_era;
        self
    }

    /// The lease, if this process holds it at `now`.
    pub fn held(&self, now: Instant) -> Option<HeldLease> {
        let granted = self.granted?;
        // A wall clock that was set back says nothing about the elapsed time.
        let wall_elapsed =
            (self.wall_clock)().duration_since(granted.granted_at).unwrap_or(Duration::ZERO);
        let is_held = now < granted.lease.valid_until
            && wall_elapsed < self.validity()
            && fencing_era(granted.lease.fencing) >= (self.store_era)();
        is_held.then_some(granted.lease)
    }

    /// Renews the lease, or acquires it if it is released or expired; returns it if this process
    /// then holds it. To be called about three times per lease duration.
    ///
    /// # Errors
    ///
    /// When a call to the store fails. A lease held before stays valid until it expires. The next
    /// call recognises a write whose response was lost.
    pub async fn renew(&mut self) -> StoreResult<Option<HeldLease>> {
        let (started_at, wall_started_at) = (Instant::now(), (self.wall_clock)());
        let is_current =
            |written: &(u64, FencingNumber)| version_era(written.0) >= (self.store_era)();
        let next_write = match self.last_written.take().filter(is_current) {
            // The holder need not read the row: if another process has written it, the condition
            // fails.
            Some((version, fencing)) => Some((RowCondition::VersionIs(version), fencing)),
            None => {
                let row = self.store.get(self.key.clone()).await?;
                self.next_write(row)?
            }
        };
        let Some((condition, fencing)) = next_write else {
            self.granted = None;
            return Ok(None);
        };
        let record = LeaseRecord {
            holder: self.holder.to_string(),
            fencing,
            writer_mark: self.writer_mark.clone(),
        };
        let write = RowWrite::put(self.key.clone(), condition, encode_message(&record));
        match self.store.transact(vec![write]).await {
            // The condition may have been met by chance in another era than that of the read.
            Ok(version) if version.is_some_and(|one| version_era(one) != fencing_era(fencing)) => {
                self.granted = None;
                Ok(None)
            }
            Ok(version) => {
                self.last_written = version.map(|version| (version, fencing));
                let lease = HeldLease { fencing, valid_until: started_at + self.validity() };
                self.granted = Some(GrantedLease { lease, granted_at: wall_started_at });
                Ok(self.held(Instant::now()))
            }
            Err(report) if is_conflict(&report) => {
                self.granted = None;
                Ok(None)
            }
            // The write may have taken effect, but only an acknowledged write extends the lease.
            Err(report) => Err(report),
        }
    }

    /// Releases the lease, so that another process can acquire it at once. If the call fails, the
    /// lease may stay taken until it expires.
    ///
    /// # Errors
    ///
    /// When a call to the store fails.
    pub async fn release(&mut self) -> StoreResult<()> {
        self.granted = None;
        self.last_written = None;
        let Some(row) = self.store.get(self.key.clone()).await? else { return Ok(()) };
        let record: LeaseRecord =
            decode_message(&row.body).change_context(StoreError::Malformed)?;
        if record.writer_mark != self.writer_mark {
            return Ok(());
        }
        let released = LeaseRecord { fencing: record.fencing, ..LeaseRecord::default() };
        let condition = RowCondition::VersionIs(row.version);
        let write = RowWrite::put(self.key.clone(), condition, encode_message(&released));
        self.store.transact(vec![write]).await.map(|_| ())
    }

    /// Decides from the stored row on the condition and the fencing number of the next write;
    /// `None` while another process may hold the lease. Must be called directly after the row was
    /// read.
    fn next_write(
        &mut self,
        row: Option<StoredRow>,
    ) -> StoreResult<Option<(RowCondition, FencingNumber)>> {
        // Counting from before the read would include time before this version was written.
        let now = Instant::now();
        let known_era = (self.store_era)();
        let version = row.as_ref().map(|row| row.version);
        let era = version.map_or(known_era, version_era);
        if era < known_era {
            return Ok(None);
        }
        let record: Option<LeaseRecord> = row
            .map(|row| decode_message(&row.body))
            .transpose()
            .change_context(StoreError::Malformed)?;
        let observed = self
            .observed
            .filter(|observed| (observed.era, observed.version) == (era, version))
            .unwrap_or(ObservedRow { version, era, first_read_at: now });
        self.observed = Some(observed);
        let is_unchanged = now.duration_since(observed.first_read_at) > self.duration;
        let (is_free, fencing) = match record {
            None => (era == 0, next_fencing_number(era, 0)),
            // Written before the store was restored: a later holder may not have noticed yet.
            Some(record) if fencing_era(record.fencing) < era => {
                (false, next_fencing_number(era, record.fencing))
            }
            Some(record) if record.writer_mark == self.writer_mark => (true, record.fencing),
            Some(record) => (record.writer_mark.is_empty(), record.fencing + 1),
        };
        let condition = version.map_or(RowCondition::Absent, RowCondition::VersionIs);
        Ok((is_free || is_unchanged).then_some((condition, fencing)))
    }

    /// How long a lease is valid after the renewal was sent.
    fn validity(&self) -> Duration {
        self.duration - self.duration / CLOCK_DRIFT_DIVISOR
    }
}

fn is_conflict(report: &Report<StoreError>) -> bool {
    matches!(report.current_context(), StoreError::Conflict { .. })
}
