//! Stand-ins for the cases of the independent review: the platform's store, workers of a plain
//! service, clients, and gateways as processes.

pub mod http;
pub mod json;
pub mod store;

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use http::{Received, exchange, respond, serve};
use store::Store;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";
pub const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";
pub const SERVICE: &str = "wuno96b";
/// Interval at which a worker writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that the case started.
pub fn signal(child: &Child, number: i32) {
    // SAFETY: `kill` has no preconditions.
    unsafe { kill(child.id() as i32, number) };
}

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Whether the disruption is left out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The file `record.txt` of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file in the folder that the variable `CASE` names.
    pub fn create() -> Self {
        std::panic::set_hook(Box::new(|panic| give_up(&panic.to_string())));
        std::thread::spawn(|| {
            std::thread::sleep(TIME_LIMIT);
            give_up("time limit");
        });
        let folder = std::env::var("CASE").unwrap_or_else(|_| ".".to_owned());
        let file = File::create(Path::new(&folder).join("record.txt"));
        let file = file.unwrap_or_else(|error| give_up(&format!("record.txt: {error}")));
        let record = Self { file: Arc::new(Mutex::new(file)), started: Instant::now() };
        record.line(&format!("disruption: {}", if has_trouble() { "on" } else { "left out" }));
        record
    }

    /// Writes a line to the file and to standard output.
    pub fn line(&self, text: &str) {
        println!("{:8.3} s  {text}", self.started.elapsed().as_secs_f64());
        self.note(text);
    }

    /// Writes a line to the file.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.started.elapsed().as_secs_f64());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.write_all(line.as_bytes());
    }
}

/// Longest time for which a case runs.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// Processes that run and the temporary folders, for an early end.
static PROCESSES: Mutex<Vec<i32>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Ends the case because it could not run.
pub fn give_up(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    for process in PROCESSES.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        // SAFETY: `kill` has no preconditions.
        unsafe { kill(*process, SIGKILL) };
    }
    for folder in FOLDERS.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(NOT_RUN)
}

/// Has an early end of the case end this process, too.
pub fn register(child: &Child) {
    PROCESSES.lock().unwrap_or_else(PoisonError::into_inner).push(child.id() as i32);
}

/// Forgets a process that has ended.
pub fn unregister(child: &Child) {
    let id = child.id() as i32;
    PROCESSES.lock().unwrap_or_else(PoisonError::into_inner).retain(|known| *known != id);
}

/// The temporary folder of the case, which is removed when this is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        if let Err(error) = std::fs::create_dir_all(&path) {
            give_up(&format!("temporary folder: {error}"));
        }
        FOLDERS.lock().unwrap_or_else(PoisonError::into_inner).push(path.clone());
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Ports below the range from which the system takes those of outgoing connections.
const FIRST_PORT: u16 = 12_000;
const PORTS_PER_CASE: u16 = 100;
const CASES: u32 = 180;

/// Number of ports that this case has tried.
static TRIED_PORTS: Mutex<u16> = Mutex::new(0);

/// A free address on the loopback interface. Cases that run at the same time use other ports, as
/// these depend on the id of the process.
pub fn free_address() -> SocketAddr {
    let mut tried = TRIED_PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    let first = FIRST_PORT + (std::process::id() % CASES) as u16 * PORTS_PER_CASE;
    while *tried < PORTS_PER_CASE {
        let port = first + *tried;
        *tried += 1;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap_or_else(|error| give_up(&error.to_string()));
        }
    }
    give_up("no free port")
}

/// A gateway process, started with the command of the deploy file.
pub struct Gateway {
    pub name: String,
    pub child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

impl Gateway {
    /// Starts a gateway of a deployment in which `front` and `directory` are served.
    pub fn start(name: &str, folder: &Folder, store: SocketAddr) -> Self {
        let [front, ready, directory, peers] = [(); 4].map(|()| free_address());
        let settings = folder.0.join(format!("{name}.toml"));
        let log = folder.0.join(format!("{name}.log"));
        let text = settings_text(name, front, ready, directory, peers.port(), store);
        if let Err(error) = std::fs::write(&settings, text) {
            give_up(&format!("settings: {error}"));
        }
        let child = spawn(&settings, log_file(&log));
        Self { name: name.to_owned(), child, front, ready, settings, log }
    }

    /// Starts the process again after its end.
    pub fn start_again(&mut self) {
        let _ = self.child.wait();
        unregister(&self.child);
        self.child = spawn(&self.settings, log_file(&self.log));
    }

    /// Replaces the process by one that writes its log to `output`.
    pub fn start_with_log(&mut self, output: impl Into<Stdio>) {
        signal(&self.child, SIGKILL);
        let _ = self.child.wait();
        unregister(&self.child);
        self.child = spawn(&self.settings, output.into());
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /readiness HTTP/1.1\r\nHost: platform\r\n\r\n";
        exchange(self.ready, request, Duration::from_secs(1)).status == 200
    }

    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > until {
                give_up(&format!("{} is not ready after 15 s", self.name));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Resident memory in bytes; 0 if there is no process.
    pub fn memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        signal(&self.child, SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
        unregister(&self.child);
    }
}

fn log_file(path: &Path) -> Stdio {
    match File::options().create(true).append(true).open(path) {
        Ok(file) => file.into(),
        Err(error) => give_up(&format!("log file: {error}")),
    }
}

fn spawn(settings: &Path, output: Stdio) -> Child {
    let spawned = Command::new("target/release/eelgrassdeal-gateway")
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("EELGRASSDEAL_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(Stdio::null())
        .spawn();
    let child = spawned.unwrap_or_else(|error| give_up(&format!("the gateway: {error}")));
    register(&child);
    child
}

fn settings_text(
    name: &str,
    front: SocketAddr,
    ready: SocketAddr,
    directory: SocketAddr,
    peer_port: u16,
    store: SocketAddr,
) -> String {
    format!(
        "node_name = \"{name}\"\nrole = \"gateway\"\nmachine_class = \"front\"\n\
         serves = [\"front\",\"directory\"]\nip = \"127.0.0.1\"\nzone = \"qc-east-a\"\n\
         region = \"qc-east\"\nport_range = [{peer_port},{}]\nseeds = []\nbootstrap = true\n\
         counts_as_loss = false\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeat_ms = 1200\n\
         [zones]\nqc-east-a = \"qc-east\"\n\
         [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ndirectory = \"{directory}\"\n\
         [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4200\n\
         link_mbps = 1000.0\ndisk_mb = 0\n\
         [fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
         [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
         catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
         config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_skew_ms = 5000\n\
         strict_revoke = false\nrevoke_ms = 5000\nretry_budget = 0.2\nbudget_window_s = 10\n\
         retry_slack = 132\ncold_overshoot = 1.5\ncold_slack = 5\nevacuate_ms = 5000\n\
         recovery_s = 12\npass_ms = 120\nretry_after_s = 0\nstall_ms = 4000\n\
         fencing_enabled = true\nceiling_window_s = 5\nceiling_overshoot = 1.1\nttl_max_s = 5\n\
         [platform]\naddress = \"{store}\"\nform = \"table\"\nwrites_per_s = 400\n\
         reads_per_s = 2000\ntx_ms = 5.0\npart_writes_s = 200\nrow_bytes = 65536\n\
         across = false\nhistory_s = 20\n",
        peer_port.saturating_add(1)
    )
}

/// A route of the configuration, to the plain service.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u32,
    pub attempts: u32,
    pub is_resumable: bool,
}

/// Writes the configuration with these routes, as the operator does.
pub fn write_config(store: &Store, routes: &[Route]) {
    let routes: Vec<_> = routes
        .iter()
        .enumerate()
        .map(|(index, route)| {
            let Route { prefix, kind, timeout_ms, attempts, is_resumable } = route;
            format!(
                "{{\"name\":\"r-{index}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
                 \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":300,\
                 \"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":{attempts},\
                 \"public\":false,\"sticky\":false,\"resumable\":{is_resumable},\
                 \"gap_target_ms\":300}}"
            )
        })
        .collect();
    let config = format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    );
    store.put("op", "config", &config);
}

/// Message of a client's request.
pub fn request_message(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u32,
    body: &[u8],
) -> Vec<u8> {
    let mut message = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Eelgrassdeal-Request-Id: {id}\r\n\
         X-Eelgrassdeal-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    message.extend_from_slice(body);
    message
}

/// A worker of the plain service, which registers itself and writes its entry about every heartbeat.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub slots: u32,
    state: Arc<Mutex<Option<&'static str>>>,
    store: Store,
    seq: Arc<Mutex<u64>>,
}

impl Worker {
    /// Starts a worker. `run` answers a request that is for this worker, and returns whether the
    /// connection goes on.
    pub fn start<F>(id: &str, store: &Store, slots: u32, run: F) -> Arc<Self>
    where
        F: Fn(Received, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(free_address());
        let listener = listener.unwrap_or_else(|error| give_up(&format!("a worker: {error}")));
        let address = listener.local_addr().unwrap_or_else(|error| give_up(&error.to_string()));
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address,
            slots,
            state: Arc::new(Mutex::new(Some("ready"))),
            store: store.clone(),
            seq: Arc::default(),
        });
        let own_id = id.to_owned();
        serve(listener, move |request, stream| {
            let expected = request.header("x-eelgrassdeal-expect-instance");
            if !expected.is_empty() && expected != own_id {
                let headers = format!("X-Eelgrassdeal-Instance-Id: {own_id}\r\n");
                return respond(stream, 421, &headers, b"");
            }
            if request.path() == "/health" {
                let headers = format!("X-Eelgrassdeal-Instance-Id: {own_id}\r\n");
                return respond(stream, 200, &headers, b"");
            }
            run(request, stream)
        });
        worker.beat();
        let beating = worker.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        worker
    }

    /// Changes the state of the entry; `None` removes it.
    pub fn set_state(&self, state: Option<&'static str>) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = state;
        match state {
            Some(_) => self.beat(),
            None => self.store.remove("servers", &self.id),
        }
    }

    fn beat(&self) {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(state) = *state else { return };
        let mut seq = self.seq.lock().unwrap_or_else(PoisonError::into_inner);
        *seq += 1;
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"qc-east-a\",\
             \"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"cold_left_ms\":0,\
             \"seq\":{seq},\"born\":1700000000000}}",
            self.address, self.slots
        );
        self.store.put("servers", &self.id, &entry);
    }
}

/// Headers of a worker's response to a request that it ran.
pub fn sealed(request: &Received) -> String {
    format!(
        "X-Eelgrassdeal-Request-Id: {}\r\nX-Eelgrassdeal-Response-Seal: {SEAL}\r\n",
        request.header("x-eelgrassdeal-request-id")
    )
}
