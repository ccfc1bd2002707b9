//! Snapshots in the object store, and the row of the table service that names the newest one.

use bytes::Bytes;
use eelgrassdeal_schema::config::ConfigSnapshot;
use eelgrassdeal_schema::records::SnapshotRecord;
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_types::Revision;
use error_stack::{Report, ResultExt};
use sha2::{Digest, Sha256};

use super::{ConfigLog, LogError, MAX_WRITE_ATTEMPTS};
use crate::object::ObjectStore;
use crate::table::{RowCondition, RowKey, RowWrite, TableName};

/// Partition key and sort key of the row that names the newest snapshot, the only row of its
/// partition.
const POINTER_ROW_NAME: &str = "snapshot";

/// The row that names the newest snapshot; the default value stands for a row that does not exist.
#[derive(Default)]
struct SnapshotPointer {
    version: u64,
    record: SnapshotRecord,
}

impl SnapshotPointer {
    /// The write that replaces the row by `record` if the row has not changed since it was read.
    fn write(&self, record: &SnapshotRecord) -> RowWrite {
        let condition = match self.version {
            0 => RowCondition::Absent,
            version => RowCondition::VersionIs(version),
        };
        RowWrite::put(pointer_key(), condition, encode_message(record))
    }
}

impl ConfigLog {
    /// Reads the revision of the newest snapshot; 0 if there is none.
    ///
    /// # Errors
    ///
    /// [`LogError::Store`] when the call to the store fails, [`LogError::Corrupt`] when the row
    /// that names the snapshot cannot be decoded.
    pub async fn snapshot_revision(&self) -> Result<Revision, Report<LogError>> {
        Ok(self.read_pointer().await?.record.revision)
    }

    /// Whether the process that appended `revision` should call [`ConfigLog::write_snapshot`]: true
    /// for the multiples of the snapshot interval. [`ConfigLog::write_snapshot`] does not use this;
    /// it compares the snapshot with the newest stored one.
    pub fn is_snapshot_due(&self, revision: Revision) -> bool {
        revision > 0 && revision.is_multiple_of(self.snapshot_interval)
    }

    /// Stores `snapshot` if it is at least the snapshot interval (64 revisions by default) newer
    /// than the newest stored one. Returns whether this snapshot became the newest.
    ///
    /// Several nodes may write snapshots at once; an older snapshot never replaces a newer one as
    /// the newest. A snapshot of a revision that is not accepted is not stored.
    ///
    /// # Errors
    ///
    /// [`LogError::Store`] when a call to a store fails; the snapshot may then still become the
    /// newest later, which is harmless. [`LogError::Corrupt`] when the row that names the snapshot
    /// cannot be decoded.
    pub async fn write_snapshot(
        &self,
        snapshot: &ConfigSnapshot,
    ) -> Result<bool, Report<LogError>> {
        let Some(objects) = &self.objects else { return Ok(false) };
        let mut pointer = self.read_pointer().await?;
        if !self.should_replace(snapshot.revision, &pointer)
            || self.head().await? < snapshot.revision
        {
            return Ok(false);
        }
        let body = encode_message(snapshot);
        let object = object_name(snapshot.revision, &body);
        self.put_object(objects.as_ref(), &object, body).await?;
        let record = SnapshotRecord { revision: snapshot.revision, object };
        for attempt in 0..MAX_WRITE_ATTEMPTS {
            if self.store.transact(vec![pointer.write(&record)]).await.is_ok() {
                return Ok(true);
            }
            // The row shows whether the write took effect or another node wrote a newer snapshot.
            match self.read_pointer().await {
                Ok(found) if found.record == record => return Ok(true),
                Ok(found) if !self.should_replace(snapshot.revision, &found) => return Ok(false),
                Ok(found) => pointer = found,
                Err(report) => log::warn!(
                    "cannot check whether configuration snapshot {} was recorded: {report}",
                    snapshot.revision
                ),
            }
            self.back_off(attempt).await;
        }
        Err(Report::new(LogError::Store))
    }

    /// Reads the newest snapshot; `None` if there is none.
    pub(super) async fn read_snapshot(&self) -> Result<Option<ConfigSnapshot>, Report<LogError>> {
        let Some(objects) = &self.objects else { return Ok(None) };
        let SnapshotRecord { revision, object } = self.read_pointer().await?.record;
        if revision == 0 {
            return Ok(None);
        }
        let body = objects
            .get(object.clone())
            .await
            .change_context(LogError::Store)?
            .ok_or_else(|| corrupt_snapshot(&object, "is missing"))?;
        if object != object_name(revision, &body) {
            return Err(corrupt_snapshot(&object, "does not match the digest in its name"));
        }
        decode_message(&body).map(Some).change_context(LogError::Corrupt)
    }

    /// Whether a snapshot of `revision` is newer than the newest one by the snapshot interval.
    fn should_replace(&self, revision: Revision, pointer: &SnapshotPointer) -> bool {
        revision >= pointer.record.revision.saturating_add(self.snapshot_interval)
    }

    async fn read_pointer(&self) -> Result<SnapshotPointer, Report<LogError>> {
        match self.store.get(pointer_key()).await.change_context(LogError::Store)? {
            None => Ok(SnapshotPointer::default()),
            Some(row) => Ok(SnapshotPointer {
                version: row.version,
                record: decode_message(&row.body).change_context(LogError::Corrupt)?,
            }),
        }
    }

    async fn put_object(
        &self,
        objects: &dyn ObjectStore,
        name: &str,
        body: Bytes,
    ) -> Result<(), Report<LogError>> {
        for attempt in 0..MAX_WRITE_ATTEMPTS {
            match objects.put(name.to_owned(), body.clone()).await {
                Ok(()) => return Ok(()),
                Err(report) => log::warn!("cannot store snapshot object {name}: {report}"),
            }
            self.back_off(attempt).await;
        }
        Err(Report::new(LogError::Store))
    }
}

fn pointer_key() -> RowKey {
    RowKey::new(TableName::Config, POINTER_ROW_NAME, POINTER_ROW_NAME)
}

/// Names an object by its revision and a digest of its content, so that two writers never store
/// different content under one name, and a damaged object is detected.
fn object_name(revision: Revision, body: &[u8]) -> String {
    let digest = Sha256::digest(body);
    let hex_digits: String = digest.iter().take(16).map(|byte| format!("{byte:02x}")).collect();
    format!("config-{revision:020}-{hex_digits}")
}

fn corrupt_snapshot(object: &str, problem: &str) -> Report<LogError> {
    Report::new(LogError::Corrupt).attach(format!("snapshot {object} {problem}"))
}
