//! Fake of the metadata store.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::fault::{FaultInjector, WriteFault};
use crate::server::{Reply, ServerHandle, empty_reply, json_reply, serve_fake};

/// Interval at which a feed request, which is a long poll for the changes of one table, looks for
/// changes.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Age of the oldest state that can be restored.
const MAX_COPY_AGE: Duration = Duration::from_secs(30);
/// Limit on the memory for copies: a soak makes some hundred writes in [`MAX_COPY_AGE`].
const MAX_COPIES: usize = 2_000;
/// Header with the era, in all answers after the first restore.
const ERA_HEADER: &str = "store-era";

/// Table, partition and key of a row.
type RowKey = (String, String, String);

/// Counts of the calls to a [`MetadataStoreFake`], without throttled calls and those that arrive
/// during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreStats {
    /// Reads of rows and feed requests.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
}

#[derive(Clone, Debug)]
struct Change {
    version: u64,
    key: RowKey,
    /// Value in Base64; `None` if the row was removed.
    value: Option<Rc<str>>,
}

#[derive(Debug, Default)]
struct StoreRows {
    /// Version of the store, which rises by one with each transaction. The version of a row is that
    /// of the store at the last change of the row.
    version: u64,
    /// For each row its version, and its value in Base64.
    rows: BTreeMap<RowKey, (u64, Rc<str>)>,
    changes: Vec<Change>,
    /// Changes up to this version have been discarded.
    compacted_version: u64,
    /// Number of restores from an older copy.
    era: u64,
    /// Earlier states, of which [`MetadataStoreFake::restore_from`] brings one back.
    copies: VecDeque<StoreCopy>,
}

/// The state of the store from the copy before to `taken_at`.
#[derive(Debug)]
struct StoreCopy {
    taken_at: Instant,
    version: u64,
    rows: BTreeMap<RowKey, (u64, Rc<str>)>,
}

impl StoreRows {
    /// Increases the version for a transaction, after keeping a copy of the state before it.
    fn advance_version(&mut self) {
        let now = Instant::now();
        let (version, rows) = (self.version, self.rows.clone());
        self.copies.push_back(StoreCopy { taken_at: now, version, rows });
        while self.copies.len() > MAX_COPIES
            || self.copies.front().is_some_and(|copy| now - copy.taken_at > MAX_COPY_AGE)
        {
            self.copies.pop_front();
        }
        self.version += 1;
    }

    /// Writes a row, or removes it if `value` is `None`, and records the change.
    fn set_row(&mut self, key: RowKey, value: Option<Rc<str>>) {
        match &value {
            Some(text) => {
                self.rows.insert(key.clone(), (self.version, text.clone()));
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.changes.push(Change { version: self.version, key, value });
    }
}

/// A metadata store that keeps its rows in memory. Clones share the rows.
#[derive(Clone)]
pub struct MetadataStoreFake {
    rows: Rc<RefCell<StoreRows>>,
    faults: FaultInjector,
    stats: Rc<Cell<StoreStats>>,
    /// Whether feeds report no changes.
    are_feed_changes_suppressed: Rc<Cell<bool>>,
    started: Instant,
}

impl Default for MetadataStoreFake {
    fn default() -> Self {
        Self {
            rows: Rc::default(),
            faults: FaultInjector::new(),
            stats: Rc::default(),
            are_feed_changes_suppressed: Rc::default(),
            started: Instant::now(),
        }
    }
}

impl MetadataStoreFake {
    /// Creates a store without rows.
    pub fn new() -> Self {
        Self::default()
    }

    /// Fault injection for this store.
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Counts of the calls since the start.
    pub fn stats(&self) -> StoreStats {
        self.stats.get()
    }

    /// Writes a row unconditionally, as an operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        self.put_in(table, "", key, value);
    }

    /// Writes a row of this partition unconditionally.
    pub fn put_in(&self, table: &str, partition: &str, key: &str, value: &[u8]) {
        let mut rows = self.rows.borrow_mut();
        rows.advance_version();
        let key = (table.to_owned(), partition.to_owned(), key.to_owned());
        rows.set_row(key, Some(STANDARD.encode(value).into()));
    }

    /// Removes a row unconditionally, as an operator or a worker does.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.borrow_mut();
        rows.advance_version();
        rows.set_row((table.to_owned(), String::new(), key.to_owned()), None);
    }

    /// Values of the rows of a table, in all partitions, by key.
    pub fn table_values(&self, table: &str) -> BTreeMap<String, Vec<u8>> {
        let rows = self.rows.borrow();
        let rows_of_table = rows.rows.iter().filter(|(key, _)| key.0 == table);
        rows_of_table
            .map(|(key, (_, value))| (key.2.clone(), STANDARD.decode(&**value).unwrap_or_default()))
            .collect()
    }

    /// Discards the change history. A feed request that starts at an older version gets status 410, and
    /// its caller must read all rows again.
    pub fn compact_history(&self) {
        let mut rows = self.rows.borrow_mut();
        rows.compacted_version = rows.version;
        rows.changes.clear();
    }

    /// Brings the rows and the version of `age` ago back, as a store that is restored from a copy.
    /// The era rises by one, versions are issued again, and feeds from versions that the store does
    /// not have get status 410. Without writes that long ago, the store was empty.
    pub fn restore_from(&self, age: Duration) {
        let mut rows = self.rows.borrow_mut();
        let at = Instant::now() - age;
        // The first copy that was taken after `at` holds the state at that time.
        let copy = rows.copies.iter().find(|copy| copy.taken_at > at);
        if let Some((version, restored)) = copy.map(|copy| (copy.version, copy.rows.clone())) {
            rows.version = version;
            rows.rows = restored;
        }
        rows.copies.clear();
        rows.changes.clear();
        rows.compacted_version = rows.version;
        rows.era += 1;
    }

    /// Sets the era of the answers without a restore, for example to one that callers have seen the
    /// end of.
    pub fn set_era(&self, era: u64) {
        self.rows.borrow_mut().era = era;
    }

    /// Number of restores from an older copy.
    pub fn era(&self) -> u64 {
        self.rows.borrow().era
    }

    /// Sets whether feeds report no changes, as when notifications of changes are lost.
    pub fn suppress_feed_changes(&self, are_suppressed: bool) {
        self.are_feed_changes_suppressed.set(are_suppressed);
    }

    /// Serves the store on `listen`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn serve(&self, listen: SocketAddr) -> io::Result<ServerHandle> {
        serve_fake(listen, self, |fake, request| async move { fake.handle(request).await }).await
    }

    /// Adds the era at the time of the answer to the answer, unless the store was never restored.
    async fn handle(&self, request: Request<Incoming>) -> Reply {
        let mut reply = self.answer(request).await?;
        let era = self.era();
        if era > 0 {
            reply.headers_mut().insert(ERA_HEADER, era.into());
        }
        Some(reply)
    }

    async fn answer(&self, request: Request<Incoming>) -> Reply {
        let plan = self.faults.plan();
        if plan.is_down {
            return None;
        }
        if self.faults.consume_throttled_call() {
            return empty_reply(429);
        }
        compio::time::sleep(plan.delay).await;
        let path = request.uri().path().to_owned();
        let query = parse_query(request.uri().query().unwrap_or_default());
        match path.as_str() {
            "/rows-get" => self.get(&query),
            "/rows-feed" => self.feed(&query).await,
            "/rows-tx" => {
                let body = request.into_body().collect().await.ok()?.to_bytes();
                self.transact(&body)
            }
            _ => empty_reply(404),
        }
    }

    fn get(&self, query: &BTreeMap<String, String>) -> Reply {
        self.count_calls(1, 0);
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, partition, from, to) = (text("table"), text("part"), text("from"), text("to"));
        let limit = text("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.borrow();
        let matching = rows.rows.iter().filter(|(key, _)| {
            key.0 == table && key.1 == partition && key.2 >= from && (to.is_empty() || key.2 < to)
        });
        let rows_found: Vec<Value> = matching
            .take(limit + 1)
            .map(|(key, (version, value))| row_json(key, *version, Some(value)))
            .collect();
        let has_more = rows_found.len() > limit;
        let page = &rows_found[..rows_found.len().min(limit)];
        json_reply(
            200,
            &self.with_version(json!({ "rows": page, "has_more": has_more }), rows.version),
        )
    }

    /// Returns the changes of `table` after the store's version `since_rev`. Waits for one for up
    /// to `wait_ms`.
    async fn feed(&self, query: &BTreeMap<String, String>) -> Reply {
        self.count_calls(1, 0);
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let table = query.get("table").cloned().unwrap_or_default();
        let since_version: u64 = number("since_rev");
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms"));
        loop {
            if self.faults.plan().is_down {
                return None;
            }
            {
                let rows = self.rows.borrow();
                if since_version < rows.compacted_version || since_version > rows.version {
                    return empty_reply(410);
                }
                let is_new =
                    |change: &&Change| change.version > since_version && change.key.0 == table;
                let changed: Vec<Value> = rows
                    .changes
                    .iter()
                    .filter(is_new)
                    .map(|change| row_json(&change.key, change.version, change.value.as_ref()))
                    .collect();
                let has_visible_changes =
                    !changed.is_empty() && !self.are_feed_changes_suppressed.get();
                if has_visible_changes || Instant::now() >= deadline {
                    let visible =
                        if self.are_feed_changes_suppressed.get() { Vec::new() } else { changed };
                    let version = if self.are_feed_changes_suppressed.get() {
                        since_version
                    } else {
                        rows.version
                    };
                    return json_reply(
                        200,
                        &self.with_version(json!({ "rows": visible }), version),
                    );
                }
            }
            compio::time::sleep(FEED_POLL_INTERVAL).await;
        }
    }

    fn transact(&self, body: &Bytes) -> Reply {
        self.count_calls(0, 1);
        let Ok(body) = serde_json::from_slice::<Value>(body) else { return empty_reply(400) };
        match self.faults.next_write_fault() {
            WriteFault::NoFault => self.apply(&body),
            WriteFault::LostRequest => None,
            WriteFault::LostResponse => {
                let _ = self.apply(&body);
                None
            }
            WriteFault::Delayed(write_delay) => {
                let fake = self.clone();
                compio::runtime::spawn(async move {
                    compio::time::sleep(write_delay).await;
                    let _ = fake.apply(&body);
                })
                .detach();
                None
            }
        }
    }

    fn apply(&self, body: &Value) -> Reply {
        let mut rows = self.rows.borrow_mut();
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let puts = list("upserts");
        let removals = list("remove");
        // The gateway may not write the table of the operators (`op`) and that of the workers
        // (`servers`).
        let is_protected = |row: &Value| matches!(row["table"].as_str(), Some("op" | "servers"));
        if puts.iter().chain(&removals).any(is_protected) {
            return empty_reply(403);
        }
        // Each condition in `expected_rev` requires that a row has the version `ver`, or does not
        // exist if `ver` is 0.
        let is_condition_met = |condition: &Value| {
            let version = rows.rows.get(&row_key(condition)).map_or(0, |row| row.0);
            condition["ver"].as_u64() == Some(version)
        };
        if !list("expected_rev").iter().all(is_condition_met) {
            let response = self.with_version(json!({ "rows": [] }), rows.version);
            return json_reply(412, &response);
        }
        rows.advance_version();
        for put in &puts {
            rows.set_row(row_key(put), Some(put["value"].as_str().unwrap_or_default().into()));
        }
        for removal in &removals {
            rows.set_row(row_key(removal), None);
        }
        let response = self.with_version(json!({}), rows.version);
        json_reply(200, &response)
    }

    /// Adds the version and the time of the store to a response body.
    fn with_version(&self, mut body: Value, version: u64) -> Value {
        body["ver"] = json!(version);
        body["now_ms"] = json!(self.started.elapsed().as_millis() as u64);
        body
    }

    fn count_calls(&self, reads: u64, writes: u64) {
        let stats = self.stats.get();
        self.stats.set(StoreStats { reads: stats.reads + reads, writes: stats.writes + writes });
    }
}

fn row_key(row: &Value) -> RowKey {
    let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_json(key: &RowKey, version: u64, value: Option<&Rc<str>>) -> Value {
    let mut row = json!({ "table": key.0, "part": key.1, "key": key.2, "ver": version });
    match value {
        Some(value) => row["value"] = json!(**value),
        None => row["tombstone"] = json!(true),
    }
    row
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let pair = |part: &str| {
        let (name, value) = part.split_once('=')?;
        Some((name.to_owned(), decode_percent(value)))
    };
    query.split('&').filter_map(pair).collect()
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let code = after.get(..2).and_then(|code| std::str::from_utf8(code).ok());
        match (first, code.and_then(|code| u8::from_str_radix(code, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
