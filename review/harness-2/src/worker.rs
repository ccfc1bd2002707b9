//! Stand-in of a worker of a plain service, as PROTOCOL.md describes it.

use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{HttpRequest, Server, read_request, write_response};
use crate::record::Record;
use crate::store::Store;

/// A request that reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub worker: String,
    pub id: String,
    pub target: String,
    /// Whether the worker began to work on it.
    pub has_run: bool,
    /// Whether the worker was cold.
    pub is_cold: bool,
}

/// How a worker works.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Requests that wait beside those in the slots.
    pub queue: u32,
    pub work: Duration,
    /// Unix millisecond of the start.
    pub born: u64,
    /// Time for which the worker is cold from its start on.
    pub cold: Duration,
    /// Requests in one second above which a cold worker crashes.
    pub cold_bound: Option<usize>,
    /// Port to listen on; 0 for a free one.
    pub port: u16,
    /// Whether the store can be reached at the start, so that the worker's entry is written.
    pub reaches_store: bool,
}

impl WorkerOptions {
    pub fn new(id: &str, service: &str, zone: &str) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots: 6,
            queue: 24,
            work: Duration::from_millis(30),
            born: unix_ms(),
            cold: Duration::ZERO,
            cold_bound: None,
            port: 0,
            reaches_store: true,
        }
    }
}

pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// A running worker.
pub struct Worker {
    pub shared: Arc<Shared>,
    server: Server,
    store: Store,
}

pub struct Shared {
    pub options: WorkerOptions,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub is_leaving: AtomicBool,
    pub has_crashed: AtomicBool,
    record: Record,
    started: Instant,
    running: AtomicU32,
    recent: Mutex<VecDeque<Instant>>,
    sequence: AtomicU32,
}

impl Worker {
    /// Starts a worker and registers it. Workers of a test share `arrivals`.
    pub fn start(
        options: WorkerOptions,
        store: &Store,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        record: &Record,
    ) -> io::Result<Self> {
        let port = options.port;
        let shared = Arc::new(Shared {
            options,
            arrivals: arrivals.clone(),
            is_leaving: AtomicBool::new(false),
            has_crashed: AtomicBool::new(false),
            record: record.clone(),
            started: Instant::now(),
            running: AtomicU32::new(0),
            recent: Mutex::default(),
            sequence: AtomicU32::new(0),
        });
        let serving = shared.clone();
        let server = Server::start(SocketAddr::from(([127, 0, 0, 1], port)), move |stream| {
            serving.connection(stream);
        })?;
        let worker = Self { shared, server, store: store.clone() };
        let (is_down, crashing) = (worker.server.down_flag(), worker.shared.clone());
        thread::spawn(move || {
            // A worker that has crashed does not listen any more.
            while !is_down.load(Ordering::SeqCst) {
                if crashing.has_crashed.load(Ordering::SeqCst) {
                    is_down.store(true, Ordering::SeqCst);
                }
                thread::sleep(Duration::from_millis(1));
            }
        });
        if worker.shared.options.reaches_store {
            worker.register("ready");
        }
        Ok(worker)
    }

    pub fn port(&self) -> u16 {
        self.server.address.port()
    }

    /// Writes the worker's entry with this state.
    pub fn register(&self, state: &str) {
        let entry = self.entry(state);
        self.store.put("servers", &self.shared.options.id, &entry);
        self.shared.record.line(&format!("entry {} {entry}", self.shared.options.id));
    }

    /// The worker's entry as it would write it now.
    pub fn entry(&self, state: &str) -> String {
        let options = &self.shared.options;
        let seq = self.shared.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let cold = options.cold.saturating_sub(self.shared.started.elapsed()).as_millis();
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"1\",\
             \"slots\":{},\"state\":\"{state}\",\"cold_left_ms\":{cold},\"seq\":{seq},\
             \"born\":{}}}",
            options.service, self.server.address, options.zone, options.slots, options.born
        )
    }

    /// Ends the process of the worker.
    pub fn stop(&self) {
        self.server.stop();
    }

    /// Ends the worker and removes its entry, as it expires.
    pub fn unregister(&self) {
        self.store.remove("servers", &self.shared.options.id);
        self.shared.record.line(&format!("entry {} removed", self.shared.options.id));
    }

    pub fn has_crashed(&self) -> bool {
        self.shared.has_crashed.load(Ordering::SeqCst)
    }
}

impl Shared {
    fn is_cold(&self) -> bool {
        self.started.elapsed() < self.options.cold
    }

    fn connection(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
            if self.answer(&mut stream, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &HttpRequest) -> io::Result<()> {
        let id = request.header("x-eelgrassdeal-request-id").to_owned();
        let mut headers =
            vec![format!("x-eelgrassdeal-request-id: {id}"), "keep-alive: timeout=20".to_owned()];
        if self.is_leaving.load(Ordering::SeqCst) {
            headers.push("server-leaving: 1".to_owned());
        }
        let options = &self.options;
        let expected = request.header("x-eelgrassdeal-expect-instance");
        let is_other = !expected.is_empty() && expected != options.id;
        let at = Instant::now();
        let is_full = self.running.load(Ordering::SeqCst) >= options.slots + options.queue;
        let has_run = !is_other && !is_full;
        let is_cold = self.is_cold();
        let target = request.target.clone();
        let worker = options.id.clone();
        let arrival = Arrival { at, worker, id: id.clone(), target, has_run, is_cold };
        self.arrivals.lock().unwrap().push(arrival);
        let word = if has_run { "run" } else { "turned away" };
        let line = format!("worker {} {word} {id} {} cold={is_cold}", options.id, request.target);
        self.record.line(&line);
        if is_other {
            headers.push("x-eelgrassdeal-not-executed: 1".to_owned());
            return write_response(stream, 421, &headers, b"");
        }
        if is_cold && let Some(bound) = options.cold_bound {
            let mut recent = self.recent.lock().unwrap();
            recent.push_back(at);
            while recent.front().is_some_and(|first| at - *first > Duration::from_secs(1)) {
                recent.pop_front();
            }
            if recent.len() > bound && !self.has_crashed.swap(true, Ordering::SeqCst) {
                let line = format!("worker {} crashes: {} in a second", options.id, recent.len());
                self.record.line(&line);
            }
        }
        if self.has_crashed.load(Ordering::SeqCst) {
            return Err(io::Error::other("crashed"));
        }
        if is_full {
            headers.push("x-eelgrassdeal-not-executed: 1".to_owned());
            return write_response(stream, 503, &headers, b"full");
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(options.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if self.has_crashed.load(Ordering::SeqCst) {
            return Err(io::Error::other("crashed"));
        }
        headers.push(format!("x-eelgrassdeal-response-seal: {}.{id}", options.id));
        write_response(stream, 200, &headers, format!("answer of {}", options.id).as_bytes())
    }
}
