//! Stand-in of the platform's metadata store, as PROTOCOL.md describes it: rows, transactions and feeds.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{HttpRequest, Server, read_request, write_response};
use crate::json::Json;

/// Table, partition and key.
type Key = (String, String, String);

#[derive(Clone, Default)]
struct Rows {
    version: u64,
    /// Version and value (Base64) of each row.
    rows: BTreeMap<Key, (u64, String)>,
}

#[derive(Default)]
struct State {
    now: Rows,
    changes: Vec<(u64, Key, Option<String>)>,
    /// Changes up to this version are not available.
    dropped: u64,
    era: u64,
    /// Earlier states and when they ended.
    copies: Vec<(Instant, Rows)>,
    is_down: bool,
}

/// A store that keeps its rows in memory. Clones share them.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Default for Store {
    fn default() -> Self {
        Self { state: Arc::default(), started: Instant::now() }
    }
}

impl State {
    fn begin(&mut self) {
        self.copies.push((Instant::now(), self.now.clone()));
        if self.copies.len() > 2_000 {
            self.copies.remove(0);
        }
        self.now.version += 1;
    }

    fn set(&mut self, key: Key, value: Option<String>) {
        match &value {
            Some(text) => {
                self.now.rows.insert(key.clone(), (self.now.version, text.clone()));
            }
            None => {
                self.now.rows.remove(&key);
            }
        }
        self.changes.push((self.now.version, key, value));
    }
}

impl Store {
    /// Serves the store on a free loopback port.
    pub fn serve(&self) -> io::Result<Server> {
        let store = self.clone();
        Server::start(SocketAddr::from(([127, 0, 0, 1], 0)), move |stream| store.connection(stream))
    }

    /// Writes a row as the operator or a worker does. Returns when the store has acknowledged it.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.begin();
        state.set((table.into(), String::new(), key.into()), Some(base64(value.as_bytes())));
        self.state.1.notify_all();
    }

    /// Removes a row as the operator or a worker does.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.begin();
        state.set((table.into(), String::new(), key.into()), None);
        self.state.1.notify_all();
    }

    /// While the store is down it closes connections without an answer.
    pub fn set_down(&self, is_down: bool) {
        self.state.0.lock().unwrap().is_down = is_down;
        self.state.1.notify_all();
    }

    /// Brings the state of `age` ago back; the era rises by one.
    pub fn restore(&self, age: Duration) {
        let mut state = self.state.0.lock().unwrap();
        let at = Instant::now() - age;
        let copy = state.copies.iter().find(|(ended, _)| *ended > at).map(|(_, rows)| rows.clone());
        if let Some(rows) = copy {
            state.now = rows;
        }
        state.copies.clear();
        state.changes.clear();
        state.dropped = state.now.version;
        state.era += 1;
        self.state.1.notify_all();
    }

    /// Whether a row exists.
    pub fn has(&self, table: &str, key: &str) -> bool {
        let state = self.state.0.lock().unwrap();
        state.now.rows.keys().any(|known| known.0 == table && known.2 == key)
    }

    fn connection(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
            let Some((status, body)) = self.answer(&request) else { return };
            let mut headers = vec!["content-type: application/json".to_owned()];
            let era = self.state.0.lock().unwrap().era;
            if era > 0 {
                headers.push(format!("store-era: {era}"));
            }
            if write_response(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &HttpRequest) -> Option<(u16, String)> {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        if self.state.0.lock().unwrap().is_down {
            return None;
        }
        std::thread::sleep(Duration::from_millis(2));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.into_iter().find(|(known, _)| *known == name);
            found.map(|(_, value)| unescape(value)).unwrap_or_default()
        };
        match path {
            "/rows-get" => Some(self.get(&field)),
            "/rows-feed" => self.feed(&field),
            "/rows-tx" => Some(self.transact(&String::from_utf8_lossy(&request.body))),
            _ => Some((404, String::new())),
        }
    }

    fn versions(&self, version: u64) -> String {
        format!("\"ver\":{version},\"now_ms\":{}", self.started.elapsed().as_millis())
    }

    fn get(&self, field: &impl Fn(&str) -> String) -> (u16, String) {
        let (table, part, from, to) = (field("table"), field("part"), field("from"), field("to"));
        let limit = field("limit").parse().unwrap_or(500).min(500);
        let state = self.state.0.lock().unwrap();
        let matching = state.now.rows.iter().filter(|(key, _)| {
            key.0 == table && key.1 == part && key.2 >= from && (to.is_empty() || key.2 < to)
        });
        let mut rows: Vec<String> = matching
            .take(limit + 1)
            .map(|(key, (version, value))| row(key, *version, Some(value)))
            .collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        let versions = self.versions(state.now.version);
        (200, format!("{{\"rows\":[{}],\"has_more\":{has_more},{versions}}}", rows.join(",")))
    }

    fn feed(&self, field: &impl Fn(&str) -> String) -> Option<(u16, String)> {
        let table = field("table");
        let since: u64 = field("since_rev").parse().unwrap_or(0);
        let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.is_down {
                return None;
            }
            if since < state.dropped || since > state.now.version {
                return Some((410, String::new()));
            }
            let is_new = |(version, key, _): &&(u64, Key, Option<String>)| {
                *version > since && key.0 == table
            };
            let rows: Vec<String> = state
                .changes
                .iter()
                .filter(is_new)
                .map(|(version, key, value)| row(key, *version, value.as_ref()))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let versions = self.versions(state.now.version);
                return Some((200, format!("{{\"rows\":[{}],{versions}}}", rows.join(","))));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, String::new()) };
        let key = |row: &Json| -> Key {
            let text = |name: &str| row.field(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut state = self.state.0.lock().unwrap();
        let (puts, removals) = (body.field("upserts").list(), body.field("remove").list());
        if puts.iter().chain(removals).any(|row| matches!(&*key(row).0, "op" | "servers")) {
            return (403, String::new());
        }
        let is_met = |condition: &Json| {
            let version = state.now.rows.get(&key(condition)).map_or(0, |row| row.0);
            condition.field("ver").number() == version
        };
        if !body.field("expected_rev").list().iter().all(is_met) {
            return (412, format!("{{\"rows\":[],{}}}", self.versions(state.now.version)));
        }
        state.begin();
        for put in puts {
            state.set(key(put), Some(put.field("value").text().to_owned()));
        }
        for removal in removals {
            state.set(key(removal), None);
        }
        self.state.1.notify_all();
        (200, format!("{{{}}}", self.versions(state.now.version)))
    }
}

fn row(key: &Key, version: u64, value: Option<&String>) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{}\",\"part\":\"{}\",\"key\":\"{}\",\"ver\":{version},{rest}}}",
        key.0, key.1, key.2
    )
}

fn unescape(text: &str) -> String {
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

/// Encodes bytes in Base64.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let joined = three.iter().fold(0_u32, |sum, byte| (sum << 8) | u32::from(*byte));
        let joined = joined << (8 * (3 - three.len()));
        for index in 0..4 {
            match index <= three.len() {
                true => text.push(LETTERS[(joined >> (18 - 6 * index)) as usize & 63].into()),
                false => text.push('='),
            }
        }
    }
    text
}
