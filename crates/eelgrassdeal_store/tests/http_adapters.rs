//! Tests the timeouts and size limits of the HTTP adapters, and whether an error tells if a write
//! may have taken effect.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{free_loopback_port, new_client, serve_table, url_of};
use eelgrassdeal_standins::{ObjectFake, VmListFake};
use eelgrassdeal_store::{
    HttpObjectStore, HttpTableStore, HttpVmList, ObjectStore, RowCondition, RowKey, RowRange,
    RowWrite, StoreError, StoreResult, TableName, TableStore, VmList, VmState,
};

const STALL_DELAY: Duration = Duration::from_secs(3600);
const SHORT_TIMEOUT: Duration = Duration::from_millis(30);

fn store_error<T: std::fmt::Debug>(result: StoreResult<T>) -> StoreError {
    result.expect_err("call should fail").current_context().clone()
}

fn row_write(sort: &str, body: Bytes) -> RowWrite {
    RowWrite::put(RowKey::new(TableName::Nodes, "node", sort), RowCondition::Absent, body)
}

/// Guards against transferring the whole list every 2 s when it has not changed.
#[compio::test]
async fn an_unchanged_vm_list_costs_a_response_without_a_body() {
    let fake = VmListFake::new();
    let server = fake.serve(free_loopback_port()).await.unwrap();
    let list = HttpVmList::new(new_client(), url_of(&server));
    fake.set("w01", Some("live"));

    let first = list.read().await.unwrap();
    let body_bytes = fake.stats().body_bytes;
    for _ in 0..9 {
        assert_eq!(list.read().await.unwrap(), first);
    }
    let stats = fake.stats();
    assert_eq!((stats.full_replies, stats.unchanged_replies), (1, 9));
    assert_eq!(stats.body_bytes, body_bytes);

    fake.set("w01", Some("leaving"));
    assert_eq!(list.read().await.unwrap()["w01"], VmState::Leaving);
    assert_eq!(fake.stats().full_replies, 2);
}

/// Guards against returning the cached list in place of an error when the service is down or does
/// not respond.
#[compio::test]
async fn a_vm_list_that_is_down_is_an_error() {
    let fake = VmListFake::new();
    let server = fake.serve(free_loopback_port()).await.unwrap();
    let list = HttpVmList::new(new_client(), url_of(&server));
    fake.set("w01", Some("live"));
    list.read().await.unwrap();
    fake.faults().set_down(true);
    assert_eq!(store_error(list.read().await), StoreError::OutcomeUnknown);
    fake.faults().set_down(false);
    fake.faults().set_delay(STALL_DELAY);
    let list = list.with_timeout(SHORT_TIMEOUT);
    assert_eq!(store_error(list.read().await), StoreError::OutcomeUnknown);
}

/// Guards against a call that waits forever for a store that does not respond.
#[compio::test]
async fn a_call_to_a_store_that_does_not_respond_times_out() {
    let (fake, _server, store) = serve_table().await;
    let store = store.with_timeout(SHORT_TIMEOUT);
    fake.faults().set_delay(STALL_DELAY);
    let write = row_write("a", Bytes::new());
    assert_eq!(store_error(store.transact(vec![write]).await), StoreError::OutcomeUnknown);

    let objects = ObjectFake::new();
    let server = objects.serve(free_loopback_port()).await.unwrap();
    let store = HttpObjectStore::new(new_client(), url_of(&server)).with_timeout(SHORT_TIMEOUT);
    objects.faults().set_delay(STALL_DELAY);
    assert_eq!(store_error(store.get("a".to_owned()).await), StoreError::OutcomeUnknown);
}

/// Guards against a response that exhausts the memory of the node.
#[compio::test]
async fn a_response_above_the_limit_is_an_error() {
    let (_fake, _server, store) = serve_table().await;
    store.transact(vec![row_write("a", Bytes::from(vec![7; 4096]))]).await.unwrap();
    let key = RowKey::new(TableName::Nodes, "node", "a");
    assert!(store.get(key.clone()).await.unwrap().is_some());
    let store = store.with_max_response_bytes(4096);
    assert_eq!(store_error(store.get(key).await), StoreError::OutcomeUnknown);

    let objects = ObjectFake::new();
    let server = objects.serve(free_loopback_port()).await.unwrap();
    let store = HttpObjectStore::new(new_client(), url_of(&server)).with_max_response_bytes(1024);
    store.put("exact".to_owned(), Bytes::from(vec![7; 1024])).await.unwrap();
    store.put("large".to_owned(), Bytes::from(vec![7; 1025])).await.unwrap();
    assert_eq!(store.get("exact".to_owned()).await.unwrap().unwrap().len(), 1024);
    assert_eq!(store_error(store.get("large".to_owned()).await), StoreError::OutcomeUnknown);
}

/// Guards against confusing errors after which nothing was written with errors after which the
/// write may have taken effect. Callers such as the gateway's planner rely on the difference.
#[compio::test]
async fn errors_tell_whether_a_write_may_have_taken_effect() {
    let (fake, mut server, store) = serve_table().await;
    let write = |sort: &str| vec![row_write(sort, Bytes::new())];
    fake.faults().throttle(1);
    assert_eq!(store_error(store.transact(write("a")).await), StoreError::Unreachable);
    fake.faults().lose_requests(1);
    assert_eq!(store_error(store.transact(write("a")).await), StoreError::OutcomeUnknown);
    assert!(fake.history().is_empty());
    fake.faults().lose_responses(1);
    assert_eq!(store_error(store.transact(write("a")).await), StoreError::OutcomeUnknown);
    assert_eq!(fake.history().len(), 1);
    let conflict = StoreError::Conflict { writes: vec![1] };
    let writes = [write("b"), write("a")].concat();
    assert_eq!(store_error(store.transact(writes).await), conflict);
    let duplicate = [write("c"), write("c")].concat();
    assert_eq!(store_error(store.transact(duplicate).await), StoreError::Malformed);

    server.stop_accepting();
    // Only a new connection fails with a refused connect, so a new client is needed.
    let store = HttpTableStore::new(new_client(), url_of(&server));
    assert_eq!(store_error(store.transact(write("d")).await), StoreError::Unreachable);
}

/// Guards against losing rows between the pages of a range.
#[compio::test]
async fn a_range_larger_than_one_page_is_read_completely() {
    let (_fake, _server, store) = serve_table().await;
    let body = Bytes::from(vec![7; 100 * 1024]);
    for number in 0..12 {
        store.transact(vec![row_write(&format!("{number:02}"), body.clone())]).await.unwrap();
    }
    let range = RowRange { table: TableName::Nodes, partition: "node".into(), after: "01".into() };
    let rows = store.query(range).await.unwrap();
    let numbers: Vec<_> = rows.iter().map(|row| row.key.sort.parse::<u32>().unwrap()).collect();
    assert_eq!(numbers, (2..12).collect::<Vec<_>>());
}
