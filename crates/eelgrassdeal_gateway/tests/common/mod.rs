//! Test platform: fakes of the store and the workers in the test process, and gateways as child
//! processes. The workers are the upstreams of the gateways.

#![allow(dead_code, reason = "no test file uses all helpers")]
#![allow(unreachable_pub, reason = "shared by several test files")]

pub mod odd_answers;
pub mod scripted_worker;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ffi::OsStr;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_http::{BufferedResponse, ConnectionPool, SendFailure, SendOptions};
use eelgrassdeal_standins::{
    MetadataStoreFake, ServerHandle, WorkerFake, WorkerOptions, WorkerRun,
};
use eelgrassdeal_testkit::{ChildProcess, free_address};
use http_body_util::Full;
use hyper::Request;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use serde_json::{Value, json};

pub const HOST: &str = "h.example";
pub const API_KEY: &str = "key-1";
pub const MODEL: &str = "model-1";
pub const ENGINE_SERVICE: &str = "engines";
/// Service without an engine, to which four routes lead: `/book/` for requests that are not
/// idempotent, `/look/` for idempotent requests, `/once/` for those with a single attempt, and `/feed/`
/// for streams. Its workers are called `i-desk0`, `i-desk1` and so on.
pub const PLAIN_SERVICE: &str = "desk";

/// Time from SIGTERM to SIGKILL; equals `grace_s` in the settings that `start_gateway` writes.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(12);
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// A gateway process, which is killed when this is dropped.
pub struct GatewayProcess {
    child: Option<ChildProcess>,
    pub front: Arc<str>,
    /// Address of the locator and of readiness checks.
    pub locator: Arc<str>,
    pub peer: Arc<str>,
    settings: PathBuf,
    log: PathBuf,
}

impl GatewayProcess {
    /// Log since the last start of the process; empty if it doesn't go to a file.
    pub fn log(&self) -> String {
        match self.log.is_file() {
            true => std::fs::read_to_string(&self.log).unwrap_or_default(),
            false => String::new(),
        }
    }

    /// The settings file, which the process may load again at any time.
    pub fn settings_path(&self) -> &Path {
        &self.settings
    }

    /// Kills the process without a graceful shutdown.
    pub fn kill(&mut self) {
        self.child = None;
    }

    /// Requests a graceful shutdown by SIGTERM.
    pub fn terminate(&self) {
        self.child.as_ref().expect("the gateway runs").terminate();
    }

    /// Requests a reload of the settings by SIGHUP.
    pub fn hang_up(&self) {
        self.child.as_ref().expect("the gateway runs").hang_up();
    }

    /// Greatest resident memory of the process so far, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let id = self.child.as_ref().expect("the gateway runs").id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("a process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.expect("a peak in kB") * 1024
    }

    /// Has the system refuse the process more than `max_fds` descriptors.
    pub fn enforce_max_fds(&self, max_fds: u64) {
        let id = self.child.as_ref().expect("the gateway runs").id();
        let pid = Pid::from_raw(id.try_into().expect("a process id"));
        let limit = Rlimit { current: Some(max_fds), maximum: Some(max_fds) };
        prlimit(pid, Resource::Nofile, limit).expect("a lower limit");
    }

    /// Suspends the process until [`Self::unpause`].
    pub fn pause(&self) {
        self.child.as_ref().expect("the gateway runs").pause();
    }

    /// Continues the process after [`Self::pause`].
    pub fn unpause(&self) {
        self.child.as_ref().expect("the gateway runs").unpause();
    }

    /// Waits up to `GRACE_PERIOD` for the process to exit. Returns whether it exited with success.
    pub async fn exits_successfully(&mut self) -> bool {
        let child = self.child.as_mut().expect("the gateway was started");
        child.wait_for_exit(GRACE_PERIOD).await.is_some_and(|status| status.success())
    }

    /// Kills the process and starts it again with the same addresses.
    pub fn restart(&mut self) {
        self.kill();
        self.child = Some(spawn(&self.settings, &self.log));
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            eprintln!("--- log of {}\n{}", self.front, self.log());
        }
        for file in [&self.settings, &self.log] {
            // Errors are ignored: a remaining temporary file does no harm.
            let _ = std::fs::remove_file(file);
        }
    }
}

/// Bounds in the settings of the gateways, under the names that they have there.
#[derive(Clone, Copy, Debug)]
struct GatewayBounds {
    retry_slack: u32,
    memory_mb: u32,
    max_fds: u64,
    cloud: Option<CloudSettings>,
}

/// Duties of the gateways and the API at which they have them. The windows are short, so that tests
/// see several: 1 s, due within 4 s.
#[derive(Clone, Copy, Debug)]
pub struct CloudSettings {
    pub address: SocketAddr,
    /// Names of the duties.
    pub duties: &'static [&'static str],
    pub is_fencing_enabled: bool,
}

impl CloudSettings {
    fn bounds(self) -> String {
        let is_fencing_enabled = self.is_fencing_enabled;
        format!(
            "fencing_enabled = {is_fencing_enabled}\nlease_ms = 1000\nusage_window_s = 1\n\
             usage_late_s = 4\n"
        )
    }

    fn section(self) -> String {
        let Self { address, duties, .. } = self;
        format!("[cloud]\naddress = \"{address}\"\nduties = {duties:?}\nduty_per_s = 200\n")
    }
}

/// The fakes of a platform, and its gateways.
pub struct TestPlatform {
    pub store: MetadataStoreFake,
    pub store_address: String,
    /// Fakes of the workers, by id.
    pub workers: Rc<RefCell<BTreeMap<String, WorkerFake>>>,
    /// Requests that the workers ran.
    pub runs: Rc<RefCell<Vec<WorkerRun>>>,
    /// Violations of the group protocol that the workers observed.
    pub violations: Rc<RefCell<Vec<String>>>,
    pub gateways: Vec<GatewayProcess>,
    pub pool: ConnectionPool,
    bounds: GatewayBounds,
    /// Where the gateways write their logs; `None` for a file each.
    log: Option<PathBuf>,
    _server: ServerHandle,
}

impl TestPlatform {
    /// Starts a store that contains a configuration, without workers and gateways.
    pub async fn new() -> Self {
        let store = MetadataStoreFake::new();
        let server = store.serve(([127, 0, 0, 1], 0).into()).await.expect("a free port");
        let platform = Self {
            store_address: server.address().to_string(),
            store,
            workers: Rc::default(),
            runs: Rc::default(),
            violations: Rc::default(),
            gateways: Vec::new(),
            pool: ConnectionPool::new(),
            bounds: GatewayBounds { retry_slack: 132, memory_mb: 256, max_fds: 4_096, cloud: None },
            log: None,
            _server: server,
        };
        platform.write_config(1, &[API_KEY]);
        platform
    }

    /// Starts `count` workers with model engines in one fabric domain, so that they form groups
    /// without the slowdown of a cross-domain group. Their streams consist of `events` events.
    pub async fn with_engines(self, count: usize, events: u64) -> Self {
        for index in 0..count {
            let options = WorkerOptions::new(&format!("i-engine{index}"), ENGINE_SERVICE, "zone-a")
                .with_domain("d1")
                .with_events(events, Duration::from_millis(30));
            self.start_worker(options).await;
        }
        self
    }

    /// Like [`Self::with_engines`], for workers that crash when they write a response to a prompt
    /// with the part `deadly_part`.
    pub async fn with_fragile_engines(self, count: usize, deadly_part: &str) -> Self {
        for index in 0..count {
            let options = WorkerOptions::new(&format!("i-engine{index}"), ENGINE_SERVICE, "zone-a")
                .with_domain("d1")
                .with_deadly_part(deadly_part)
                .with_events(10, Duration::from_millis(30));
            self.start_worker(options).await;
        }
        self
    }

    /// Starts a worker of the plain service for each of `restart_delays`, the times after which they are
    /// back after a crash. They crash at a request with the part `deadly_part`.
    pub async fn with_fragile_plain_workers(
        self,
        restart_delays: &[Duration],
        deadly_part: &str,
    ) -> Self {
        for (index, restart_delay) in restart_delays.iter().enumerate() {
            let options = WorkerOptions::new(&format!("i-desk{index}"), PLAIN_SERVICE, "zone-a")
                .with_deadly_part(deadly_part)
                .with_restart_delay(*restart_delay);
            self.start_worker(options).await;
        }
        self
    }

    /// Starts `count` workers of the plain service.
    pub async fn with_plain_workers(self, count: usize) -> Self {
        for index in 0..count {
            self.start_worker(WorkerOptions::new(
                &format!("i-desk{index}"),
                PLAIN_SERVICE,
                "zone-a",
            ))
            .await;
        }
        self
    }

    /// Sets the retries that the gateways may make in a window beyond a share of their requests.
    pub fn with_retry_slack(mut self, retry_slack: u32) -> Self {
        self.bounds.retry_slack = retry_slack;
        self
    }

    /// Sets the memory limit of the gateways, which nothing but they themselves keep.
    pub fn with_memory_mb(mut self, memory_mb: u32) -> Self {
        self.bounds.memory_mb = memory_mb;
        self
    }

    /// Sets the limit of descriptors in the settings of the gateways; see
    /// [`GatewayProcess::enforce_max_fds`].
    pub fn with_max_fds(mut self, max_fds: u64) -> Self {
        self.bounds.max_fds = max_fds;
        self
    }

    /// Gives the gateways duties.
    pub fn with_cloud(mut self, cloud: CloudSettings) -> Self {
        self.bounds.cloud = Some(cloud);
        self
    }

    /// Has the gateways write their logs to `path`.
    pub fn with_log(self, path: PathBuf) -> Self {
        Self { log: Some(path), ..self }
    }

    /// Starts `count` gateways that know each other, and waits until they are ready.
    pub async fn with_gateways(mut self, count: usize) -> Self {
        let addresses: Vec<_> = (0..count).map(|_| free_addresses()).collect();
        let seeds: Vec<_> = addresses.iter().map(|[.., peer]| peer.clone()).collect();
        for (index, addresses) in addresses.into_iter().enumerate() {
            let store = self.store_address.clone();
            self.gateways.push(start_gateway(
                index,
                addresses,
                &seeds,
                &store,
                self.bounds,
                self.log.as_deref(),
            ));
        }
        for index in 0..count {
            self.wait_ready(index).await;
        }
        self
    }

    /// Starts one more gateway, whose address of the store is `store`.
    pub fn add_gateway(&mut self, store: &str) {
        let seeds: Vec<String> =
            self.gateways.iter().map(|gateway| gateway.peer.to_string()).collect();
        let index = self.gateways.len();
        self.gateways.push(start_gateway(
            index,
            free_addresses(),
            &seeds,
            store,
            self.bounds,
            self.log.as_deref(),
        ));
    }

    pub async fn start_worker(&self, options: WorkerOptions) -> WorkerFake {
        WorkerFake::start(options, &self.store, &self.workers, &self.runs, &self.violations)
            .await
            .expect("a free port")
    }

    pub fn worker(&self, id: &str) -> WorkerFake {
        self.workers.borrow()[id].clone()
    }

    /// Writes a configuration of this version in which only `keys` are valid API keys.
    pub fn write_config(&self, version: u64, keys: &[&str]) {
        self.write_config_with_bodies(version, keys, 65_536);
    }

    /// Like [`Self::write_config`], with request bodies of up to `max_body_bytes`.
    pub fn write_config_with_bodies(&self, version: u64, keys: &[&str], max_body_bytes: usize) {
        let limits = json!({ "max_header_bytes": 16384, "max_body_bytes": max_body_bytes,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000 });
        self.write_config_with_limits(version, keys, limits);
    }

    /// Like [`Self::write_config`], with these limits for callers.
    pub fn write_config_with_limits(&self, version: u64, keys: &[&str], limits: serde_json::Value) {
        let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32| {
            json!({ "name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
                "timeout_ms": 8000, "target_latency_ms": 300, "gap_target_ms": 300, "priority": 1,
                "service": service, "max_attempts": attempts, "public": false, "resumable": true })
        };
        let config = json!({
            "version": version,
            "routes": [
                route("stream", "/stream/", "stream", ENGINE_SERVICE, 2),
                route("book", "/book/", "non_idempotent", PLAIN_SERVICE, 1),
                route("look", "/look/", "idempotent", PLAIN_SERVICE, 2),
                route("once", "/once/", "idempotent", PLAIN_SERVICE, 1),
                route("feed", "/feed/", "stream", PLAIN_SERVICE, 2),
            ],
            "services": [
                { "name": ENGINE_SERVICE, "health_path": "/health", "max_conns": 100, "cold_per_s": 30.0,
                  "engine": { "slots": 8, "kv_capacity": 100_000, "stride": 1, "step_ms": 10.0,
                    "read_per_s": 50_000.0, "loads_per_s": 50.0, "loads_at_once": 20,
                    "models": [{ "name": MODEL, "size": 2, "share": 1.0, "load_s": 0.1, "warm_s": 0.1 }] } },
                { "name": PLAIN_SERVICE, "health_path": "/health", "max_conns": 50 },
            ],
            "limits": limits,
            "tenants": [{ "name": "account-1", "api_keys": keys, "priority": 1 }],
        });
        self.store.put("op", "config", config.to_string().as_bytes());
    }

    pub async fn wait_ready(&self, index: usize) {
        let locator = self.gateways[index].locator.clone();
        self.wait_until("the gateway is ready", async || {
            self.get(&locator, "/readiness").await.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    }

    /// Waits until at least `count` groups serve requests and the gateways know it.
    pub async fn wait_serving(&self, count: usize) {
        self.wait_until("groups serve", async || self.heads().len() >= count).await;
        // Time for the gateways to read the reports of the workers.
        compio::time::sleep(Duration::from_millis(500)).await;
    }

    /// Ids of the workers that are heads of serving groups.
    pub fn heads(&self) -> Vec<String> {
        let workers = self.workers.borrow();
        let open = workers.values().filter(|worker| worker.group_state() == Some("open"));
        open.map(|worker| worker.id().to_owned()).collect()
    }

    pub async fn wait_until(&self, what: &str, mut condition: impl AsyncFnMut() -> bool) {
        let started = Instant::now();
        while !condition().await {
            assert!(started.elapsed() < WAIT_TIMEOUT, "timed out after {WAIT_TIMEOUT:?}: {what}");
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub async fn get(
        &self,
        address: &Arc<str>,
        path: &str,
    ) -> Result<BufferedResponse, SendFailure> {
        let request = Request::get(path).header("host", HOST).body(Full::new(Bytes::new()));
        self.call(address, request.expect("a valid request")).await
    }

    /// Sends a caller's request to the gateway with the index `gateway`.
    pub async fn send_request(
        &self,
        gateway: usize,
        path: &str,
        id: &str,
        key: &str,
    ) -> Result<BufferedResponse, SendFailure> {
        let request = caller_request(path, id, key);
        self.call(&self.gateways[gateway].front.clone(), request).await
    }

    /// Sends a caller's request for a stream to the gateway with the index `gateway`. `parts` are the
    /// ids of the parts of its prompt, in hexadecimal, of which the body consists.
    pub async fn send_prompt(
        &self,
        gateway: usize,
        id: &str,
        parts: &[&str],
    ) -> Result<BufferedResponse, SendFailure> {
        self.send_parts(gateway, "/stream/x", id, parts).await
    }

    /// Like [`Self::send_prompt`], for a request to any path.
    pub async fn send_parts(
        &self,
        gateway: usize,
        path: &str,
        id: &str,
        parts: &[&str],
    ) -> Result<BufferedResponse, SendFailure> {
        let mut request = caller_request(path, id, API_KEY);
        *request.body_mut() = Full::new(Bytes::from(parts.join(" ")));
        let prefix: Vec<_> = parts.iter().map(|part| format!("{part}:40")).collect();
        let prefix = prefix.join(",").parse().expect("a valid header");
        request.headers_mut().insert("x-eelgrassdeal-prompt-prefix", prefix);
        self.call(&self.gateways[gateway].front.clone(), request).await
    }

    pub async fn call(
        &self,
        address: &Arc<str>,
        request: Request<Full<Bytes>>,
    ) -> Result<BufferedResponse, SendFailure> {
        let options = SendOptions::default();
        self.pool.call(address, request, options, CALL_TIMEOUT, MAX_ANSWER_BYTES).await
    }

    pub fn runs_for_request(&self, id: &str) -> Vec<WorkerRun> {
        self.runs.borrow().iter().filter(|run| run.request_id == id).cloned().collect()
    }

    /// Addresses in the locator response of a gateway; empty if it does not respond.
    pub async fn locator_addresses(&self, gateway: usize) -> Vec<String> {
        let locator = self.gateways[gateway].locator.clone();
        let Ok(answer) = self.get(&locator, "/resolve?name=h&region=r&zone=z").await else {
            return Vec::new();
        };
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
        addresses.iter().filter_map(|address| address.as_str().map(str::to_owned)).collect()
    }

    pub fn assert_no_violations(&self) {
        assert_eq!(*self.violations.borrow(), Vec::<String>::new());
    }
}

pub fn caller_request(path: &str, id: &str, key: &str) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", HOST)
        .header("authorization", format!("Bearer {key}"))
        .header("x-eelgrassdeal-request-id", id)
        .header("x-eelgrassdeal-deadline-ms", "8000")
        .header("x-eelgrassdeal-model", MODEL)
        .header("x-eelgrassdeal-token-count", "100,50")
        .body(Full::new(Bytes::from("a prompt")))
        .expect("a valid request")
}

/// When a refused caller is told to come back; `None` if it isn't told.
///
/// # Panics
///
/// When the header is no number of seconds.
pub fn retry_after(answer: &BufferedResponse) -> Option<Duration> {
    let value = answer.headers.get("retry-after")?;
    let seconds = value.to_str().expect("text").parse().expect("a number of seconds");
    Some(Duration::from_secs_f64(seconds))
}

/// Body of a complete stream of `count` events.
pub fn complete_stream(count: u64) -> String {
    (1..=count).map(|id| format!("id: {id}\ndata: event {id}\n\n")).collect()
}

/// Free addresses for callers, for the locator and readiness checks, and for peers, in this order.
fn free_addresses() -> [String; 3] {
    [(); 3].map(|()| free_address().to_string())
}

fn start_gateway(
    index: usize,
    addresses: [String; 3],
    seeds: &[String],
    store: &str,
    bounds: GatewayBounds,
    log: Option<&Path>,
) -> GatewayProcess {
    let [front, locator, peer] = addresses;
    let GatewayBounds { retry_slack, memory_mb, max_fds, cloud } = bounds;
    let duty_bounds = cloud.map(CloudSettings::bounds).unwrap_or_default();
    let cloud_section = cloud.map(CloudSettings::section).unwrap_or_default();
    let settings = format!(
        "node_name = \"node-{index}\"\nzone = \"zone-a\"\nregion = \"region\"\nip = \"127.0.0.1\"\n\
         port_range = [1, 2]\nseeds = {seeds:?}\n[listen]\nfront = \"{front}\"\nready = \"{locator}\"\n\
         control = \"{peer}\"\n[bounds]\ngrace_s = 8\nstall_ms = 4000\nretry_slack = {retry_slack}\n\
         {duty_bounds}[limits]\nmemory_mb = {memory_mb}\nmax_fds = {max_fds}\n[platform]\naddress = \"{store}\"\n\
         {cloud_section}"
    );
    let folder = std::env::temp_dir();
    let name = format!("eelgrassdeal-gateway-{}", front.replace(':', "-"));
    let settings_path = folder.join(format!("{name}.toml"));
    let log_path = log.map_or_else(|| folder.join(format!("{name}.log")), Path::to_owned);
    std::fs::write(&settings_path, settings).expect("the settings file can be written");
    GatewayProcess {
        child: Some(spawn(&settings_path, &log_path)),
        front: Arc::from(front),
        locator: Arc::from(locator),
        peer: Arc::from(peer),
        settings: settings_path,
        log: log_path,
    }
}

fn spawn(settings: &Path, log: &Path) -> ChildProcess {
    let binary = Path::new(env!("CARGO_BIN_EXE_eelgrassdeal-gateway"));
    let arguments = [OsStr::new("--settings"), settings.as_os_str()];
    ChildProcess::spawn(binary, &arguments, Some(log)).expect("the gateway can be started")
}
