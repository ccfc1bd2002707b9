//! The platform's metadata store: rows in memory, transactions under conditions and a feed.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Received, respond, serve};
use crate::json::{Json, base64, quote};

/// Table, part and key.
type Place = (String, String, String);

#[derive(Default)]
struct Rows {
    ver: u64,
    /// Version and value in Base64.
    rows: BTreeMap<Place, (u64, String)>,
    /// Changes in order; no value for a dropped row.
    changes: Vec<(u64, Place, Option<String>)>,
}

impl Rows {
    fn set(&mut self, place: Place, value: Option<String>) {
        match &value {
            Some(text) => {
                self.rows.insert(place.clone(), (self.ver, text.clone()));
            }
            None => {
                self.rows.remove(&place);
            }
        }
        self.changes.push((self.ver, place, value));
    }
}

/// The store; clones share the rows.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

impl Store {
    /// Starts the store at `address`.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self { rows: Arc::default(), started: Instant::now() };
        let served = store.clone();
        serve(TcpListener::bind(address)?, move |request, stream| served.handle(&request, stream));
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row, as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(table, key, Some(base64(value.as_bytes())));
    }

    /// Drops a row, as the platform does when a worker is gone.
    pub fn remove(&self, table: &str, key: &str) {
        self.change(table, key, None);
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.lock();
        rows.ver += 1;
        rows.set((table.to_owned(), String::new(), key.to_owned()), value);
        self.rows.1.notify_all();
    }

    fn handle(&self, request: &Received, stream: &mut TcpStream) -> bool {
        let (status, body) = match request.path() {
            "/rows-tx" => self.transact(request),
            "/rows-get" => (200, self.read(request)),
            "/rows-feed" => (200, self.feed(request)),
            _ => (404, "{}".to_owned()),
        };
        let headers = "Content-Type: application/json\r\n";
        respond(stream, status, headers, body.as_bytes())
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn transact(&self, request: &Received) -> (u16, String) {
        // `tx_ms` of the settings.
        std::thread::sleep(Duration::from_millis(5));
        let call = Json::parse(&String::from_utf8_lossy(&request.body));
        let place = |row: &Json| -> Place {
            let text = |name: &str| row.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.lock();
        let is_met = |row: &Json| {
            let ver = rows.rows.get(&place(row)).map_or(0, |(ver, _)| *ver);
            ver == row.get("ver").number() as u64
        };
        if !call.get("expected_rev").list().iter().all(is_met) {
            return (
                412,
                format!("{{\"rows\":[],\"ver\":{},\"now_ms\":{}}}", rows.ver, self.now_ms()),
            );
        }
        rows.ver += 1;
        for row in call.get("upserts").list() {
            rows.set(place(row), Some(row.get("value").text().to_owned()));
        }
        for row in call.get("remove").list() {
            rows.set(place(row), None);
        }
        self.rows.1.notify_all();
        (200, format!("{{\"ver\":{},\"now_ms\":{}}}", rows.ver, self.now_ms()))
    }

    fn read(&self, request: &Received) -> String {
        let text = |name: &str| request.query(name).unwrap_or_default();
        let (table, part, from, to) =
            (text("table"), text("part"), text("from"), request.query("to"));
        let limit = text("limit").parse().unwrap_or(500).min(500);
        let rows = self.lock();
        let is_found = |place: &Place| {
            place.0 == table
                && place.1 == part
                && place.2 >= from
                && to.as_ref().is_none_or(|to| place.2 < *to)
        };
        let found: Vec<_> = rows.rows.iter().filter(|(place, _)| is_found(place)).collect();
        let listed: Vec<_> = found
            .iter()
            .take(limit)
            .map(|(place, (ver, value))| row_json(place, *ver, Some(value)))
            .collect();
        format!(
            "{{\"rows\":[{}],\"has_more\":{},\"ver\":{},\"now_ms\":{}}}",
            listed.join(","),
            found.len() > limit,
            rows.ver,
            self.now_ms()
        )
    }

    fn feed(&self, request: &Received) -> String {
        let number = |name: &str| -> u64 {
            request.query(name).and_then(|text| text.parse().ok()).unwrap_or_default()
        };
        let (table, since) = (request.query("table").unwrap_or_default(), number("since_rev"));
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut rows = self.lock();
        loop {
            let changed: Vec<_> = rows
                .changes
                .iter()
                .filter(|(ver, place, _)| *ver > since && place.0 == table)
                .map(|(ver, place, value)| row_json(place, *ver, value.as_ref()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                return format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                    changed.join(","),
                    rows.ver,
                    self.now_ms()
                );
            }
            rows = self.rows.1.wait_timeout(rows, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn row_json(place: &Place, ver: u64, value: Option<&String>) -> String {
    let (table, part, key) = (quote(&place.0), quote(&place.1), quote(&place.2));
    let rest = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"tombstone\":true".to_owned(),
    };
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},\"ver\":{ver},{rest}}}")
}
