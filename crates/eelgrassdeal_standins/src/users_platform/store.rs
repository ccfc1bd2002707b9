//! Stand-in for the metadata store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
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

use crate::fault::{FaultSwitch, WriteFault};
use crate::server::{Reply, ServerHandle, empty_reply, json_reply, serve_fake};

/// How often a waiting feed looks for changes.
const FEED_POLL: Duration = Duration::from_millis(5);

type RowName = (String, String, String);

/// Calls that the store answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCalls {
    /// Reads and feeds.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
}

#[derive(Clone, Debug)]
struct Change {
    version: u64,
    name: RowName,
    /// `None` for a row that was removed.
    value: Option<String>,
}

#[derive(Debug, Default)]
struct StoreRows {
    version: u64,
    rows: BTreeMap<RowName, (u64, String)>,
    changes: Vec<Change>,
    /// Changes up to this version are forgotten.
    forgotten: u64,
}

impl StoreRows {
    fn put(&mut self, name: RowName, value: Option<String>) {
        match &value {
            Some(text) => {
                self.rows.insert(name.clone(), (self.version, text.clone()));
            }
            None => {
                self.rows.remove(&name);
            }
        }
        self.changes.push(Change { version: self.version, name, value });
    }
}

/// The metadata store in memory.
#[derive(Clone)]
pub struct MetadataStoreFake {
    rows: Rc<RefCell<StoreRows>>,
    faults: FaultSwitch,
    calls: Rc<Cell<StoreCalls>>,
    /// Feeds say nothing of changes while this is set.
    is_feed_silent: Rc<Cell<bool>>,
    started: Instant,
}

impl Default for MetadataStoreFake {
    fn default() -> Self {
        Self {
            rows: Rc::default(),
            faults: FaultSwitch::new(),
            calls: Rc::default(),
            is_feed_silent: Rc::default(),
            started: Instant::now(),
        }
    }
}

impl MetadataStoreFake {
    /// A store without rows.
    pub fn new() -> Self {
        Self::default()
    }

    /// Switches faults.
    pub fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    /// Calls answered so far.
    pub fn calls(&self) -> StoreCalls {
        self.calls.get()
    }

    /// Writes a row as an operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let mut rows = self.rows.borrow_mut();
        rows.version += 1;
        let name = (table.to_owned(), String::new(), key.to_owned());
        rows.put(name, Some(STANDARD.encode(value)));
    }

    /// Removes a row as an operator or a worker does.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.borrow_mut();
        rows.version += 1;
        rows.put((table.to_owned(), String::new(), key.to_owned()), None);
    }

    /// Values of a table by key, of any partition.
    pub fn table(&self, table: &str) -> BTreeMap<String, Vec<u8>> {
        let rows = self.rows.borrow();
        let in_table = rows.rows.iter().filter(|(name, _)| name.0 == table);
        in_table
            .map(|(name, (_, value))| (name.2.clone(), STANDARD.decode(value).unwrap_or_default()))
            .collect()
    }

    /// Forgets which rows changed, so that feeds must begin anew.
    pub fn forget_history(&self) {
        let mut rows = self.rows.borrow_mut();
        rows.forgotten = rows.version;
        rows.changes.clear();
    }

    /// Lets feeds hear nothing while `is_silent`.
    pub fn silence_feeds(&self, is_silent: bool) {
        self.is_feed_silent.set(is_silent);
    }

    /// Serves the store on `listen`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn serve(&self, listen: SocketAddr) -> io::Result<ServerHandle> {
        serve_fake(listen, self, |fake, request| async move { fake.answer(request).await }).await
    }

    async fn answer(&self, request: Request<Incoming>) -> Reply {
        let plan = self.faults.plan();
        if plan.is_down {
            return None;
        }
        if self.faults.take_throttled() {
            return empty_reply(429);
        }
        compio::time::sleep(plan.delay).await;
        let path = request.uri().path().to_owned();
        let query = read_query(request.uri().query().unwrap_or_default());
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
        self.count(1, 0);
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from, to) = (text("table"), text("part"), text("from"), text("to"));
        let limit = text("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.borrow();
        let matching = rows.rows.iter().filter(|(name, _)| {
            name.0 == table && name.1 == part && name.2 >= from && (to.is_empty() || name.2 < to)
        });
        let found: Vec<Value> = matching
            .take(limit + 1)
            .map(|(name, (version, value))| row_json(name, *version, Some(value)))
            .collect();
        let has_more = found.len() > limit;
        let page = &found[..found.len().min(limit)];
        json_reply(200, &self.stamped(json!({ "rows": page, "has_more": has_more }), rows.version))
    }

    async fn feed(&self, query: &BTreeMap<String, String>) -> Reply {
        self.count(1, 0);
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let table = query.get("table").cloned().unwrap_or_default();
        let since: u64 = number("since_rev");
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        loop {
            if self.faults.plan().is_down {
                return None;
            }
            {
                let rows = self.rows.borrow();
                if since < rows.forgotten {
                    return empty_reply(410);
                }
                let is_new = |change: &&Change| change.version > since && change.name.0 == table;
                let changed: Vec<Value> = rows
                    .changes
                    .iter()
                    .filter(is_new)
                    .map(|change| row_json(&change.name, change.version, change.value.as_ref()))
                    .collect();
                let is_heard = !changed.is_empty() && !self.is_feed_silent.get();
                if is_heard || Instant::now() >= until {
                    let shown = if self.is_feed_silent.get() { Vec::new() } else { changed };
                    let version = if self.is_feed_silent.get() { since } else { rows.version };
                    return json_reply(200, &self.stamped(json!({ "rows": shown }), version));
                }
            }
            compio::time::sleep(FEED_POLL).await;
        }
    }

    fn transact(&self, body: &Bytes) -> Reply {
        self.count(0, 1);
        let Ok(body) = serde_json::from_slice::<Value>(body) else { return empty_reply(400) };
        match self.faults.take_write_fault() {
            WriteFault::Answered => self.apply(&body),
            WriteFault::LostRequest => None,
            WriteFault::LostAnswer => {
                let _ = self.apply(&body);
                None
            }
            WriteFault::Late(by) => {
                let fake = self.clone();
                compio::runtime::spawn(async move {
                    compio::time::sleep(by).await;
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
        let is_foreign = |row: &Value| matches!(row["table"].as_str(), Some("op" | "servers"));
        if puts.iter().chain(&removals).any(is_foreign) {
            return empty_reply(403);
        }
        let is_held = |condition: &Value| {
            let version = rows.rows.get(&row_name(condition)).map_or(0, |row| row.0);
            condition["ver"].as_u64() == Some(version)
        };
        if !list("expected_rev").iter().all(is_held) {
            let answer = self.stamped(json!({ "rows": [] }), rows.version);
            return json_reply(412, &answer);
        }
        rows.version += 1;
        for put in &puts {
            rows.put(row_name(put), Some(put["value"].as_str().unwrap_or_default().to_owned()));
        }
        for removal in &removals {
            rows.put(row_name(removal), None);
        }
        let answer = self.stamped(json!({}), rows.version);
        json_reply(200, &answer)
    }

    fn stamped(&self, mut body: Value, version: u64) -> Value {
        body["ver"] = json!(version);
        body["now_ms"] = json!(self.started.elapsed().as_millis() as u64);
        body
    }

    fn count(&self, reads: u64, writes: u64) {
        let known = self.calls.get();
        self.calls.set(StoreCalls { reads: known.reads + reads, writes: known.writes + writes });
    }
}

fn row_name(row: &Value) -> RowName {
    let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_json(name: &RowName, version: u64, value: Option<&String>) -> Value {
    let mut row = json!({ "table": name.0, "part": name.1, "key": name.2, "ver": version });
    match value {
        Some(value) => row["value"] = json!(value),
        None => row["tombstone"] = json!(true),
    }
    row
}

fn read_query(query: &str) -> BTreeMap<String, String> {
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
