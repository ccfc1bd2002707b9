//! Snapshots in the object store, and the row that names the newest one.

use bytes::Bytes;
use eelgrassdeal_schema::config::ConfigSnapshot;
use eelgrassdeal_schema::records::SnapshotRecord;
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_types::Revision;
use error_stack::{Report, ResultExt};
use sha2::{Digest, Sha256};

use super::{ConfigLog, LogError, WRITE_TRIES};
use crate::object::ObjectStore;
use crate::table::{RowCondition, RowKey, RowWrite, TableName};

const POINTER_PARTITION: &str = "snapshot";

/// The row that names the newest snapshot; the default stands for a row that does not exist.
#[derive(Default)]
struct SnapshotPointer {
    version: u64,
    record: SnapshotRecord,
}

impl SnapshotPointer {
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
    /// [`LogError::Store`] when the store gives no answer, [`LogError::Corrupt`] when the row that
    /// names the snapshot is damaged.
    pub async fn snapshot_revision(&self) -> Result<Revision, Report<LogError>> {
        Ok(self.read_pointer().await?.record.revision)
    }

    /// Whether the author of an accepted `revision` should call [`ConfigLog::write_snapshot`].
    pub fn is_snapshot_due(&self, revision: Revision) -> bool {
        revision > 0 && revision.is_multiple_of(self.snapshot_interval)
    }

    /// Stores `snapshot` if it is at least 64 revisions newer than the newest one. Returns whether
    /// it is now the newest.
    ///
    /// Several nodes may write snapshots at once; the newest never becomes an older one. A revision
    /// that is not accepted is not stored.
    ///
    /// # Errors
    ///
    /// [`LogError::Store`] when a store gives no answer; the snapshot may then become the newest,
    /// which does no harm. [`LogError::Corrupt`] when the row that names the snapshot is damaged.
    pub async fn write_snapshot(
        &self,
        snapshot: &ConfigSnapshot,
    ) -> Result<bool, Report<LogError>> {
        let Some(objects) = &self.objects else { return Ok(false) };
        let mut pointer = self.read_pointer().await?;
        if !self.is_newer(snapshot.revision, &pointer) || self.head().await? < snapshot.revision {
            return Ok(false);
        }
        let body = encode_message(snapshot);
        let object = object_name(snapshot.revision, &body);
        self.put_object(objects.as_ref(), &object, body).await?;
        let record = SnapshotRecord { revision: snapshot.revision, object };
        for number in 0..WRITE_TRIES {
            if self.store.transact(vec![pointer.write(&record)]).await.is_ok() {
                return Ok(true);
            }
            // The row tells whether the write took effect or another node was first.
            match self.read_pointer().await {
                Ok(found) if found.record == record => return Ok(true),
                Ok(found) if !self.is_newer(snapshot.revision, &found) => return Ok(false),
                Ok(found) => pointer = found,
                Err(report) => log::warn!("snapshot {}: {report}", snapshot.revision),
            }
            self.delay(number).await;
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
            .ok_or_else(|| corrupt(&object, "is missing"))?;
        if object != object_name(revision, &body) {
            return Err(corrupt(&object, "does not have the digest in its name"));
        }
        decode_message(&body).map(Some).change_context(LogError::Corrupt)
    }

    fn is_newer(&self, revision: Revision, pointer: &SnapshotPointer) -> bool {
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
        for number in 0..WRITE_TRIES {
            match objects.put(name.to_owned(), body.clone()).await {
                Ok(()) => return Ok(()),
                Err(report) => log::warn!("snapshot object {name}: {report}"),
            }
            self.delay(number).await;
        }
        Err(Report::new(LogError::Store))
    }
}

fn pointer_key() -> RowKey {
    RowKey::new(TableName::Config, POINTER_PARTITION, POINTER_PARTITION)
}

/// Names an object by its revision and content, so that two writers never meet on one name with
/// different content, and a damaged object is noticed.
fn object_name(revision: Revision, body: &[u8]) -> String {
    let digest = Sha256::digest(body);
    let digits: String = digest.iter().take(16).map(|byte| format!("{byte:02x}")).collect();
    format!("config-{revision:020}-{digits}")
}

fn corrupt(object: &str, what: &str) -> Report<LogError> {
    Report::new(LogError::Corrupt).attach(format!("snapshot {object} {what}"))
}
