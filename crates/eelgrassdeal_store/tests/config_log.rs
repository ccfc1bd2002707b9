//! Tests the outcomes of appends and the use of snapshots, with one failure at a time.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{
    free_loopback_port, new_change, new_client, serve_table, url_of, wait_for_late_writes,
};
use eelgrassdeal_schema::config::{ConfigChange, ConfigSnapshot, SnapshotEntry};
use eelgrassdeal_schema::encode_message;
use eelgrassdeal_standins::{ObjectFake, ServerHandle};
use eelgrassdeal_store::{
    AppendOutcome, ConfigLog, HttpObjectStore, HttpTableStore, LogError, RowCondition, RowKey,
    RowWrite, TableName, TableStore,
};

fn new_log(store: &HttpTableStore) -> ConfigLog {
    ConfigLog::new(Rc::new(store.clone())).with_initial_backoff(Duration::from_millis(4))
}

async fn serve_objects() -> (ObjectFake, ServerHandle, Rc<HttpObjectStore>) {
    let fake = ObjectFake::new();
    let server = fake.serve(free_loopback_port()).await.expect("loopback port");
    let store = HttpObjectStore::new(new_client(), url_of(&server));
    (fake, server, Rc::new(store))
}

async fn append_up_to(log: &ConfigLog, last: u64) {
    for revision in log.head().await.expect("head") + 1..=last {
        let outcome = log.append(&new_change(revision, &format!("m{revision}"))).await;
        assert_eq!(outcome, AppendOutcome::Accepted);
    }
}

fn snapshot_at(revision: u64) -> ConfigSnapshot {
    ConfigSnapshot { revision, entry: Vec::new() }
}

/// Guards against an accepted change that is reported as rejected, and the reverse, when the
/// response to the write is lost.
#[compio::test]
async fn a_lost_response_is_resolved_by_the_log_row() {
    let (fake, _server, store) = serve_table().await;
    let log = new_log(&store);
    fake.faults().lose_responses(1);
    assert_eq!(log.append(&new_change(1, "a")).await, AppendOutcome::Accepted);
    let winner = AppendOutcome::Conflict(Box::new(new_change(1, "a")));
    fake.faults().lose_requests(1);
    assert_eq!(log.append(&new_change(1, "b")).await, winner);
    // A different change with the mark of the accepted change is rejected.
    let altered = ConfigChange { author: "other".to_owned(), ..new_change(1, "a") };
    assert_eq!(log.append(&altered).await, winner);
    assert_eq!(log.changes_after(0).await.unwrap(), [new_change(1, "a")]);
}

/// Guards against a change that is reported as rejected although the store applies its delayed
/// write after the last attempt.
#[compio::test]
async fn a_late_append_is_unknown_and_then_accepted() {
    let (fake, _server, store) = serve_table().await;
    let log = new_log(&store);
    fake.faults().delay_writes(4, Duration::from_millis(1500));
    assert_eq!(log.append(&new_change(1, "a")).await, AppendOutcome::Unknown);
    wait_for_late_writes(&fake).await;
    assert_eq!(log.append(&new_change(1, "a")).await, AppendOutcome::Accepted);

    fake.faults().set_down(true);
    assert_eq!(log.append(&new_change(2, "b")).await, AppendOutcome::Unknown);
    fake.faults().set_down(false);
    assert_eq!(log.head().await.unwrap(), 1);
    assert_eq!(log.append(&new_change(2, "c")).await, AppendOutcome::Accepted);
    let winner = AppendOutcome::Conflict(Box::new(new_change(2, "c")));
    assert_eq!(log.append(&new_change(2, "b")).await, winner);
    assert_eq!(fake.history().len(), 4, "each revision writes one head row and one log row");
}

/// Guards against two appends of a change without a writer mark that are both reported as accepted,
/// since each append gets a mark of its own. Also guards against writing revision 0, which is the
/// empty configuration.
#[compio::test]
async fn a_missing_mark_is_generated_and_revision_0_is_not_written() {
    let (fake, _server, store) = serve_table().await;
    let log = new_log(&store);
    assert_eq!(log.append(&new_change(1, "")).await, AppendOutcome::Accepted);
    assert!(matches!(log.append(&new_change(1, "")).await, AppendOutcome::Conflict(_)));
    assert_eq!(log.append(&new_change(0, "a")).await, AppendOutcome::Unknown);
    assert_eq!(fake.history().len(), 2);
}

/// Guards against a load that reads the whole log despite a snapshot, or misses a change after the
/// snapshot.
#[compio::test]
async fn a_load_reads_the_snapshot_and_the_later_rows() {
    let (fake, _server, store) = serve_table().await;
    let (objects, _object_server, object_store) = serve_objects().await;
    let log = new_log(&store).with_objects(object_store);
    assert_eq!(log.load().await.unwrap().revision(), 0);
    append_up_to(&log, 63).await;
    assert!(!log.write_snapshot(&snapshot_at(63)).await.unwrap(), "not due yet");
    assert!(!log.write_snapshot(&snapshot_at(64)).await.unwrap(), "not accepted yet");
    append_up_to(&log, 130).await;
    assert!(log.is_snapshot_due(64) && !log.is_snapshot_due(65));

    objects.faults().lose_responses(1);
    fake.faults().lose_responses(1);
    assert!(log.write_snapshot(&snapshot_at(64)).await.unwrap());
    assert!(!log.write_snapshot(&snapshot_at(127)).await.unwrap(), "not due yet");
    let next = snapshot_at(128);
    let results = futures_util::join!(log.write_snapshot(&next), log.write_snapshot(&next));
    assert!(results.0.unwrap() || results.1.unwrap());
    assert!(
        !log.write_snapshot(&snapshot_at(64)).await.unwrap(),
        "the newer snapshot stays the newest"
    );
    assert_eq!(log.snapshot_revision().await.unwrap(), 128);
    assert_eq!(objects.names().len(), 2);

    let reads_before = fake.stats().reads;
    let loaded = log.load().await.unwrap();
    assert_eq!(loaded.snapshot, Some(snapshot_at(128)));
    assert_eq!(loaded.changes, [new_change(129, "m129"), new_change(130, "m130")]);
    assert_eq!(loaded.revision(), 130);
    assert_eq!(fake.stats().reads - reads_before, 3);
}

/// Guards against an older snapshot that replaces a newer one because the store applies its write
/// late.
#[compio::test]
async fn a_late_snapshot_never_replaces_a_newer_one() {
    let (fake, _server, store) = serve_table().await;
    let (_objects, _object_server, object_store) = serve_objects().await;
    let log = new_log(&store).with_objects(object_store).with_snapshot_interval(2);
    append_up_to(&log, 4).await;
    fake.faults().delay_writes(4, Duration::from_millis(1500));
    assert!(log.write_snapshot(&snapshot_at(2)).await.is_err());
    assert!(log.write_snapshot(&snapshot_at(4)).await.unwrap());
    wait_for_late_writes(&fake).await;
    assert_eq!(log.snapshot_revision().await.unwrap(), 4);
}

/// Guards against an older snapshot that replaces a newer one that was written while the object of
/// the older one was being stored.
#[compio::test]
async fn a_slow_snapshot_never_replaces_a_newer_one() {
    let (_fake, _server, store) = serve_table().await;
    let (objects, _object_server, object_store) = serve_objects().await;
    let log = new_log(&store).with_objects(object_store).with_snapshot_interval(2);
    append_up_to(&log, 4).await;
    objects.faults().set_delay(Duration::from_millis(400));
    let (older, newer) = (snapshot_at(2), snapshot_at(4));
    let write_newer = async {
        compio::time::sleep(Duration::from_millis(100)).await;
        objects.faults().set_delay(Duration::ZERO);
        log.write_snapshot(&newer).await
    };
    let (slow, fast) = futures_util::join!(log.write_snapshot(&older), write_newer);
    assert!(slow.is_ok() && fast.unwrap());
    assert_eq!(log.snapshot_revision().await.unwrap(), 4);
}

/// Guards against a load that fails or returns wrong entries when the snapshot object cannot be
/// read or is damaged.
#[compio::test]
async fn an_unreadable_snapshot_is_replaced_by_the_log() {
    let (_fake, _server, store) = serve_table().await;
    let (objects, _object_server, object_store) = serve_objects().await;
    let log = new_log(&store).with_objects(object_store).with_snapshot_interval(2);
    append_up_to(&log, 3).await;
    assert!(log.write_snapshot(&snapshot_at(2)).await.unwrap());
    let whole_log = log.changes_after(0).await.unwrap();
    objects.faults().set_down(true);
    assert_eq!(log.load().await.unwrap().changes, whole_log);
    objects.faults().set_down(false);
    assert_eq!(log.load().await.unwrap().changes, whole_log[2..]);
    let name = objects.names().remove(0);
    let damaged = ConfigSnapshot { revision: 2, entry: vec![SnapshotEntry::default()] };
    objects.overwrite(&name, encode_message(&damaged));
    assert_eq!(log.load().await.unwrap().changes, whole_log);
}

/// Guards against a load that returns a configuration older than the head, or with a gap.
#[compio::test]
async fn a_missing_revision_is_an_error() {
    let (_fake, _server, store) = serve_table().await;
    let log = new_log(&store);
    append_up_to(&log, 3).await;
    let key = |revision: u64| RowKey::new(TableName::Config, "log", &format!("{revision:020}"));
    let delete = |revision| vec![RowWrite::delete(key(revision), RowCondition::VersionIs(1))];
    store.transact(delete(3)).await.unwrap();
    assert_eq!(*log.load().await.unwrap_err().current_context(), LogError::Corrupt);
    store.transact(delete(1)).await.unwrap();
    assert_eq!(*log.changes_after(0).await.unwrap_err().current_context(), LogError::Corrupt);
}
