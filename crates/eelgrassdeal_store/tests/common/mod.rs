//! Stand-ins on loopback ports given by the system.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::time::Duration;

use cyper::Client;
use eelgrassdeal_schema::config::{ConfigChange, EntryKey};
use eelgrassdeal_standins::{ServerHandle, TableFake};
use eelgrassdeal_store::HttpTableStore;

/// Time limit in tests: no fault here needs it, and a loaded machine must not reach it.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(5);

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) fn url_of(server: &ServerHandle) -> String {
    format!("http://{}", server.address())
}

pub(crate) fn new_client() -> Client {
    Client::new().expect("client without TLS files")
}

/// A table stand-in that keeps its history, its server, and a store that reaches it.
pub(crate) async fn serve_table() -> (TableFake, ServerHandle, HttpTableStore) {
    let fake = TableFake::new().with_history();
    let server = fake.serve(any_port()).await.expect("loopback port");
    let store = HttpTableStore::new(new_client(), url_of(&server));
    (fake, server, store.with_timeout(CALL_TIMEOUT))
}

/// Waits until `condition` holds; fails after 2,000 polls, so that no test hangs.
pub(crate) async fn await_until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..2000 {
        if condition() {
            return;
        }
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("waited in vain until {what}");
}

/// Waits until every late write was carried out.
pub(crate) async fn await_late_writes(fake: &TableFake) {
    await_until("late writes are carried out", || fake.stats().waiting_writes == 0).await;
}

/// The change to `revision` with this writer's mark, which removes the entry named by the mark.
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
