//! Leases with a fencing number.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_schema::records::LeaseRecord;
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_types::{FencingNumber, NodeId, new_writer_mark};
use error_stack::{Report, ResultExt};

use crate::table::{
    RowCondition, RowKey, RowWrite, StoreError, StoreResult, TableName, TableStore,
};

const LEASE_PARTITION: &str = "lease";

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

/// Acquires and renews one lease.
///
/// No clocks of two machines are compared: a candidate takes over only after it has seen the row
/// unchanged for a whole lease duration by its own clock, while the holder counts its validity
/// from before it sent the renewal.
pub struct LeaseKeeper {
    store: Rc<dyn TableStore>,
    key: RowKey,
    holder: NodeId,
    duration: Duration,
    seen: Option<SeenRow>,
    held: Option<HeldLease>,
}

impl LeaseKeeper {
    /// Competes for the lease `name` on behalf of `holder`.
    pub fn new(store: Rc<dyn TableStore>, name: &str, holder: NodeId, duration: Duration) -> Self {
        let key = RowKey::new(TableName::Leases, LEASE_PARTITION, name);
        Self { store, key, holder, duration, seen: None, held: None }
    }

    /// The lease, if it is held at `now`.
    pub fn held(&self, now: Instant) -> Option<HeldLease> {
        self.held.filter(|lease| now < lease.valid_until)
    }

    /// Renews the lease, or takes it if it is free. Called about three times a lease duration.
    ///
    /// # Errors
    ///
    /// When the store gives no answer. A lease held before stays valid until it lapses.
    pub async fn renew(&mut self) -> StoreResult<Option<HeldLease>> {
        let started = Instant::now();
        let row = self.store.get(self.key.clone()).await?;
        let (condition, fencing) = match row {
            None => (RowCondition::Absent, 1),
            Some(row) => {
                let record: LeaseRecord =
                    decode_message(&row.body).change_context(StoreError::Malformed)?;
                let seen = match self.seen {
                    Some(seen) if seen.version == row.version => seen,
                    _ => SeenRow { version: row.version, since: started },
                };
                self.seen = Some(seen);
                let is_own = self.held.is_some_and(|lease| lease.fencing == record.fencing)
                    && record.holder == *self.holder;
                let has_lapsed = started.duration_since(seen.since) > self.duration;
                match (is_own, has_lapsed) {
                    (true, _) => (RowCondition::VersionIs(row.version), record.fencing),
                    (false, true) => (RowCondition::VersionIs(row.version), record.fencing + 1),
                    (false, false) => {
                        self.held = None;
                        return Ok(None);
                    }
                }
            }
        };
        let record = LeaseRecord {
            holder: self.holder.to_string(),
            fencing,
            writer_mark: new_writer_mark(),
        };
        let write = RowWrite::put(self.key.clone(), condition, encode_message(&record));
        match self.store.transact(vec![write]).await {
            Ok(()) => {
                let lease = HeldLease { fencing, valid_until: started + self.duration };
                self.held = Some(lease);
                Ok(Some(lease))
            }
            Err(report) if is_conflict(&report) => {
                self.held = None;
                Ok(None)
            }
            // The write may have taken effect, but the lease counts as held only with an answer.
            Err(report) => Err(report),
        }
    }
}

fn is_conflict(report: &Report<StoreError>) -> bool {
    matches!(report.current_context(), StoreError::Conflict { .. })
}
