//! What the cases on cold workers share: the deployment, its clients and the check of FAILBACK.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::Call;
use crate::http::Server;
use crate::process::{Gateway, Ports, TemporaryFolder};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Arrival, Worker, WorkerOptions};

/// `cold_per_s` of the service, as in `caroube-qc`.
pub const COLD_PER_S: f64 = 38.0;
/// `cold_s` of the service, as in `caroube-qc`.
pub const COLD_S: Duration = Duration::from_secs(3);
/// `cold_per_s` x `cold_overshoot` + `cold_slack`.
pub const BOUND: usize = 62;
/// Requests in a second above which a cold worker crashes: more than twice its rate, and above the bound.
const CRASH_BOUND: usize = 76;
const CLIENTS: usize = 57;
/// Each client sends a request in this time: 285 a second in all.
const PERIOD: Duration = Duration::from_millis(200);
const SECOND: Duration = Duration::from_secs(1);

/// A store, a service and gateways.
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub gateways: Vec<Gateway>,
    _store_server: Server,
    folder: TemporaryFolder,
}

impl Deployment {
    /// Starts the store, and `gateways` gateways without waiting for them.
    pub fn start(record_path: &Path, gateways: usize) -> Self {
        let record = Record::create(record_path);
        let folder = TemporaryFolder::new();
        let store = Store::default();
        let server = store.serve().expect("a store");
        store.put("op", "config", &config());
        let ports: Vec<Ports> = (0..gateways).map(|_| Ports::free()).collect();
        let seeds: Vec<u16> = ports.iter().take(3).map(|ports| ports.peers).collect();
        let address = server.address.to_string();
        let gateway = |(index, ports): (usize, &Ports)| {
            let name = format!("front-{}", index + 1);
            Gateway::new(&folder.0, &name, "zone-a", ports.clone(), &seeds, &address, &[])
        };
        let mut gateways: Vec<Gateway> = ports.iter().enumerate().map(gateway).collect();
        gateways.iter_mut().for_each(Gateway::start);
        let arrivals = Arc::default();
        Self { record, store, arrivals, gateways, _store_server: server, folder }
    }

    /// Whether all gateways become ready in time.
    pub fn wait_ready(&self) -> bool {
        let are_ready = self.gateways.iter().all(|one| one.wait_ready(Duration::from_secs(10)));
        self.record.line(&format!("all ready: {are_ready}"));
        are_ready
    }

    /// Starts a worker of the service. A cold one crashes above [`CRASH_BOUND`].
    pub fn worker(&self, id: &str, port: u16, cold: Duration, reaches_store: bool) -> Worker {
        let mut options = WorkerOptions::new(id, "desk", "zone-a");
        options.slots = 26;
        options.queue = 52;
        options.port = port;
        options.cold = cold;
        options.cold_bound = (!cold.is_zero()).then_some(CRASH_BOUND);
        options.reaches_store = reaches_store;
        Worker::start(options, &self.store, &self.arrivals, &self.record).expect("a worker")
    }

    /// Copies the logs of the gateways to the folder that `KEEP_LOGS` names.
    pub fn keep_logs(&self) {
        if let Ok(folder) = std::env::var("KEEP_LOGS") {
            for gateway in &self.gateways {
                let _ = std::fs::copy(&gateway.log, format!("{folder}/{}.log", gateway.name));
            }
        }
        let _ = &self.folder;
    }
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"book\",\"host\":\"h.example\",\
         \"path_prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeout_ms\":800,\
         \"target_latency_ms\":150,\"priority\":2,\"service\":\"desk\",\"max_attempts\":1}}],\
         \"services\":[{{\"name\":\"desk\",\"max_conns\":464,\"cold_per_s\":{COLD_PER_S},\
         \"health_path\":\"/health\"}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// The path of the record, from the command line.
pub fn record_path() -> PathBuf {
    PathBuf::from(std::env::args().nth(1).expect("the path of the record"))
}

/// Clients that send requests to all gateways until they are stopped.
pub struct Clients {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// When each request was sent, and its status.
    sent: Arc<Mutex<HashMap<String, (Instant, u16)>>>,
}

impl Clients {
    pub fn start(deployment: &Deployment) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicUsize::new(0));
        let sent: Arc<Mutex<HashMap<String, (Instant, u16)>>> = Arc::default();
        let fronts: Vec<u16> = deployment.gateways.iter().map(|one| one.ports.front).collect();
        let client = |index: usize| {
            let (is_over, next, sent) = (is_over.clone(), next.clone(), sent.clone());
            let (record, port) = (deployment.record.clone(), fronts[index % fronts.len()]);
            thread::spawn(move || {
                thread::sleep(PERIOD * index as u32 / CLIENTS as u32);
                while !is_over.load(Ordering::SeqCst) {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let id = format!("r{number:06}");
                    let mut call = Call::new("POST", "h.example", "/book/1", &id, 1_500);
                    call.body = format!("order {number}").into_bytes();
                    let started = Instant::now();
                    sent.lock().unwrap().insert(id.clone(), (started, 0));
                    record.line(&format!("client {index} sends {id}"));
                    let status = call.send(port).status;
                    sent.lock().unwrap().insert(id.clone(), (started, status));
                    let took = started.elapsed();
                    let ms = took.as_millis();
                    record.line(&format!("client {index} gets {status} for {id} after {ms} ms"));
                    thread::sleep(PERIOD.saturating_sub(took));
                }
            })
        };
        let threads = (0..CLIENTS).map(client).collect();
        Self { is_over, threads, sent }
    }

    /// Stops the clients, and checks FAILBACK: the most requests at the cold worker that were sent and
    /// arrived in one second. Returns whether the rule held.
    pub fn check(self, deployment: &Deployment, cold: &Worker) -> bool {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let sent = self.sent.lock().unwrap();
        let arrivals = deployment.arrivals.lock().unwrap();
        let at_cold: Vec<&Arrival> = arrivals.iter().filter(|one| one.is_cold).collect();
        let times: Vec<(Instant, Instant)> =
            at_cold.iter().filter_map(|one| Some((sent.get(&one.id)?.0, one.at))).collect();
        let starts = times.iter().flat_map(|(sent, arrived)| [*sent, *arrived]);
        let in_second = |from: Instant| {
            times.iter().filter(|(sent, at)| *sent >= from && *at < from + SECOND).count()
        };
        let most = starts.map(in_second).max().unwrap_or(0);
        let status = |id: &str| sent.get(id).map_or(0, |(_, status)| *status);
        let lost = at_cold.iter().filter(|one| one.has_run && status(&one.id) != 200).count();
        let summary = format!(
            "FAILBACK: {most} requests were sent to the cold worker and arrived in one second, bound \
             {BOUND}; {} reached it while it was cold; it crashed: {}; {lost} that it had begun were lost",
            at_cold.len(),
            cold.has_crashed()
        );
        deployment.record.line(&summary);
        println!("{summary}");
        deployment.keep_logs();
        most <= BOUND
    }
}
