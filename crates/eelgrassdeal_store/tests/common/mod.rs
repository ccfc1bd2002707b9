//! Helpers that serve the stand-ins of the platform's services on free loopback ports.

#![allow(dead_code, reason = "no test file uses all helpers")]

use std::net::SocketAddr;
use std::time::Duration;

use cyper::Client;
use eelgrassdeal_schema::config::{ConfigChange, EntryKey};
use eelgrassdeal_standins::{ServerHandle, TableFake};
use eelgrassdeal_store::HttpTableStore;

/// Timeout of store calls in tests. It is long, so that it does not expire on a loaded machine.
/// Tests in which a call has to time out set a shorter one.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A loopback address with port 0, for which the operating system chooses a free port.
pub(crate) fn free_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) fn url_of(server: &ServerHandle) -> String {
    format!("http://{}", server.address())
}

pub(crate) fn new_client() -> Client {
    Client::new().expect("an HTTP client that needs no certificate files")
}

/// Serves a table stand-in that records its history. Returns the stand-in, its server, and a store
/// that calls it.
pub(crate) async fn serve_table() -> (TableFake, ServerHandle, HttpTableStore) {
    let fake = TableFake::new().with_history();
    let server = fake.serve(free_loopback_port()).await.expect("loopback port");
    let store = HttpTableStore::new(new_client(), url_of(&server));
    (fake, server, store.with_timeout(CALL_TIMEOUT))
}

/// Waits until `condition` holds. Panics after 2,000 polls, so that no test hangs.
pub(crate) async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..2000 {
        if condition() {
            return;
        }
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("timed out waiting until {what}");
}

/// Waits until the stand-in has applied all delayed writes.
pub(crate) async fn wait_for_late_writes(fake: &TableFake) {
    wait_until("late writes are applied", || fake.stats().pending_writes == 0).await;
}

/// A change to `revision` with the given writer mark. It removes a request ban with the mark as id,
/// so changes with different marks also differ in their entries.
pub(crate) fn new_change(revision: u64, mark: &str) -> ConfigChange {
    let removed = EntryKey { kind: "request_ban".to_owned(), id: mark.to_owned() };
    ConfigChange {
        revision,
        writer_mark: mark.to_owned(),
        author: "operator".to_owned(),
        remove: vec![removed],
        ..ConfigChange::default()
    }
}
