//! A fleet of nodes with fakes of the systems around them.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_node::with_defaults;
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{
    ClientAccount, ConfigChange, ConfigEntry, DataCentre, Model, ServeRule, Service, Upstream, Vm,
};
use eelgrassdeal_schema::decode_message;
use eelgrassdeal_schema::records::LeaseRecord;
use eelgrassdeal_schema::settings::{LimitSettings, NodeSettings};
use eelgrassdeal_standins::{
    CertificateAuthority, EngineFake, EngineOptions, ObjectFake, ServerHandle, ServiceFake,
    TableFake, VmListFake, WeightsFake,
};
use eelgrassdeal_store::{
    AppendOutcome, CONTROL_PARTITION, ConfigLog, HttpTableStore, RowKey, TableName, TableStore,
};
use eelgrassdeal_types::{new_writer_mark, unix_ms_now};
use sha2::{Digest, Sha256};

use crate::node_thread::NodeThread;
use crate::process::{ChildProcess, SPAWN_LOCK};

/// Id of the model that every test fleet serves.
pub const MODEL: &str = "appraiser";
/// Id of the plain service of every test fleet. Its call `price` is idempotent; every other call,
/// such as `book`, is executed at most once.
pub const SERVICE: &str = "desk";
/// API key of the client account of every test fleet.
pub const ACCOUNT_KEY: &str = "test-key";
/// Token that the admin interface of the nodes requires.
pub const ADMIN_TOKEN: &str = "test-admin";

/// Attempts to append a configuration change. An attempt fails, for example, when a planner appends
/// a change with the same revision first.
const MAX_APPEND_ATTEMPTS: u32 = 20;

/// Size and settings of a test fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Number of entry nodes. They are assigned to the data centres in turn.
    pub nodes: usize,
    /// Number of data centres; each has one fabric domain.
    pub centres: usize,
    /// Number of workers in each data centre.
    pub workers: usize,
    /// Number of workers in the group that runs one replica.
    pub vms_per_replica: u32,
    /// Number of replicas that the serve rule of the model requires.
    pub replicas: u32,
    /// Number of upstreams of the plain service.
    pub service_upstreams: usize,
    /// Options of every engine; the VM id and the URL of the weight store are replaced.
    pub engine: EngineOptions,
    /// Number of requests in flight that a warm replica can handle.
    pub slots: u32,
    /// Number of requests in flight that a cold replica can handle.
    pub cold_slots: u32,
    /// KV cache size of a replica, in tokens.
    pub kv_tokens: u64,
    /// Size of the weights, over all workers of a replica.
    pub weights_bytes: u64,
    /// Transfer rate of the weight store, over all transfers.
    pub weights_bytes_per_s: u64,
    /// Duration of a step of the warm-up. After a step in which first tokens arrived, all of them
    /// within the target of 500 ms, the limit on the replica's requests in flight doubles.
    pub ramp_step_ms: u32,
    /// Time after which a change becomes visible in the VM list.
    pub vm_list_lag: Duration,
    /// Limits in the settings of the nodes.
    pub limits: LimitSettings,
    /// Slot policy in the settings of the nodes. `owner`, the default if this is empty: a node that
    /// owns a replica grants each node an allowance of its slots. `equal_shares`: each node gets
    /// the limit of a replica divided by the number of nodes.
    pub slot_policy: String,
    /// Binary with which each node is run as a child process; `None` to run the nodes in threads.
    pub node_binary: Option<PathBuf>,
}

impl Default for FleetSpec {
    fn default() -> Self {
        Self {
            nodes: 3,
            centres: 3,
            workers: 4,
            vms_per_replica: 2,
            replicas: 3,
            service_upstreams: 3,
            engine: EngineOptions::default(),
            slots: 64,
            cold_slots: 64,
            kv_tokens: 1 << 20,
            weights_bytes: 1_000_000,
            weights_bytes_per_s: 1_000_000_000,
            ramp_step_ms: 100,
            vm_list_lag: Duration::ZERO,
            limits: LimitSettings { locate_ttl_ms: 300, ..LimitSettings::default() },
            slot_policy: String::new(),
            node_binary: None,
        }
    }
}

/// A fleet of nodes with fakes of the systems around them. Dropping it kills the nodes, and the
/// fakes stop accepting connections.
pub struct TestFleet {
    /// Size and settings that the fleet was started with.
    pub spec: FleetSpec,
    /// Fake of the table service.
    pub table: TableFake,
    /// Fake of the object store.
    pub object: ObjectFake,
    /// Fake of the platform's VM list.
    pub vm_list: VmListFake,
    /// Fake of the weight store.
    pub weights: WeightsFake,
    /// Fakes of the engines, each with its VM id.
    pub engines: Vec<(String, EngineFake)>,
    /// Fakes of the upstreams of the plain service.
    pub service_upstreams: Vec<ServiceFake>,
    /// Nodes that run in threads, by node index; `None` for a node that was killed or runs as a
    /// process.
    pub node_threads: Vec<Option<NodeThread>>,
    /// Nodes that run as processes, by node index; `None` for a node that runs in a thread, or
    /// whose process the test has moved out of this vector.
    pub node_processes: Vec<Option<ChildProcess>>,
    /// Addresses on which the nodes accept requests of callers, by node index.
    pub node_addresses: Vec<SocketAddr>,
    settings: Vec<NodeSettings>,
    config_log: ConfigLog,
    /// Configuration up to the last revision that was read from `config_log`.
    cached_config: RefCell<FleetConfig>,
    /// Servers of the fakes, which stop accepting connections when their handles are dropped.
    server_handles: Vec<ServerHandle>,
}

impl TestFleet {
    /// Starts a fleet and waits until every node that runs in a thread listens for requests. It
    /// does not wait for nodes that run as processes.
    ///
    /// # Panics
    ///
    /// When a fake or a node cannot start, or the configuration cannot be written.
    pub async fn start(spec: FleetSpec) -> Self {
        let table = TableFake::new();
        let object = ObjectFake::new();
        let vm_list = VmListFake::new().with_lag(spec.vm_list_lag);
        let weights = WeightsFake::new(spec.weights_bytes_per_s);
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut server_handles = vec![
            table.serve(any_port).await.expect("the table service should start"),
            object.serve(any_port).await.expect("the object store should start"),
            vm_list.serve(any_port).await.expect("the VM list should start"),
            weights.serve(any_port).await.expect("the weight store should start"),
        ];
        let urls: Vec<String> =
            server_handles.iter().map(|handle| format!("http://{}", handle.address())).collect();
        let client = cyper::Client::new().expect("HTTP client");
        let config_log = ConfigLog::new(Rc::new(HttpTableStore::new(client, &urls[0])));
        let mut fleet = Self {
            table,
            object,
            vm_list,
            weights,
            engines: Vec::new(),
            service_upstreams: Vec::new(),
            node_threads: Vec::new(),
            node_processes: Vec::new(),
            node_addresses: Vec::new(),
            settings: Vec::new(),
            config_log,
            cached_config: RefCell::new(FleetConfig::new()),
            server_handles: Vec::new(),
            spec,
        };
        let mut bodies = fleet.base_entries();
        bodies.extend(fleet.start_engines(&urls[3]).await);
        bodies.extend(fleet.start_service_upstreams().await);
        bodies.extend(fleet.prepare_nodes(&urls));
        fleet.apply(bodies).await;
        for index in 0..fleet.spec.nodes {
            fleet.node_threads.push(None);
            fleet.node_processes.push(None);
            fleet.restart_node(index).await;
        }
        fleet.server_handles.append(&mut server_handles);
        fleet
    }

    /// Starts a fleet and waits until every node can send requests to all replicas of the model and
    /// all upstreams of the service.
    ///
    /// # Panics
    ///
    /// When [`TestFleet::start`] panics, or the replicas and upstreams are not all serving at every
    /// node within 20 s.
    pub async fn start_serving(spec: FleetSpec) -> Self {
        let fleet = Self::start(spec).await;
        let is_serving = wait_until(Duration::from_secs(20), async || {
            for index in 0..fleet.spec.nodes {
                if !fleet.is_fully_serving(index).await {
                    return false;
                }
            }
            true
        })
        .await;
        assert!(is_serving, "the replicas are not serving at every node");
        fleet
    }

    /// Id of a node and of its entry VM.
    pub fn node_id(index: usize) -> String {
        format!("entry-{index}")
    }

    /// Id of the data centre with this index.
    pub fn centre_id(index: usize) -> String {
        format!("dc{index}")
    }

    /// Fake of the engine on a worker VM.
    ///
    /// # Panics
    ///
    /// When the fleet has no worker VM with this id.
    pub fn engine(&self, vm: &str) -> &EngineFake {
        let found = self.engines.iter().find(|(id, _)| id == vm);
        &found.expect("a VM of the fleet").1
    }

    /// VM ids of the members of each group, in the order of their ranks; the first is the leader.
    pub async fn groups(&self) -> Vec<Vec<String>> {
        self.config().await.groups().map(|group| group.members.clone()).collect()
    }

    /// Waits until the leader of a group runs a request, and returns the VM ids of the group's
    /// members.
    ///
    /// # Panics
    ///
    /// When no engine runs a request within 10 s, or none of the current groups runs it.
    pub async fn busy_group(&self) -> Vec<String> {
        let is_busy = wait_until(Duration::from_secs(10), async || self.running() > 0).await;
        assert!(is_busy, "no engine runs a request");
        let groups = self.groups().await;
        let busy = groups.into_iter().find(|members| self.engine(&members[0]).running() > 0);
        busy.expect("a group should run a request")
    }

    /// Number of requests that run on all engines.
    pub fn running(&self) -> u32 {
        self.engines.iter().map(|(_, engine)| engine.running()).sum()
    }

    /// Number of requests and resumed requests that all engines have started to run.
    pub fn run_count(&self) -> usize {
        self.engines.iter().map(|(_, engine)| engine.runs().len()).sum()
    }

    /// Number of resumed requests, over all engines, whose text delivered so far differs from what
    /// the engine generates.
    pub fn resume_mismatches(&self) -> u32 {
        self.engines.iter().map(|(_, engine)| engine.resume_mismatches()).sum()
    }

    /// Kills a node that runs in a thread, without a shutdown. Has no effect on a node that runs as
    /// a process.
    pub fn kill_node(&mut self, index: usize) {
        self.node_threads[index] = None;
    }

    /// Starts a node that is not running. It keeps its settings and addresses, but no state from
    /// its previous run.
    ///
    /// # Panics
    ///
    /// When the node cannot start.
    pub async fn restart_node(&mut self, index: usize) {
        let settings = &self.settings[index];
        match &self.spec.node_binary {
            None => self.node_threads[index] = Some(NodeThread::start(settings.clone()).await),
            Some(binary) => {
                let path = temp_path("node.toml");
                let text = toml::to_string(settings).expect("settings");
                std::fs::write(&path, text).expect("a settings file");
                let arguments = ["--settings".as_ref(), path.as_os_str()];
                let process = ChildProcess::spawn(binary, &arguments, None);
                self.node_processes[index] = Some(process.expect("the node should start"));
            }
        }
    }

    /// Child process of a node.
    ///
    /// # Panics
    ///
    /// When the node does not run as a process.
    pub fn node_process(&self, index: usize) -> &ChildProcess {
        self.node_processes[index].as_ref().expect("a node that runs as a process")
    }

    /// Index of the node that holds the planner lease according to the table service; `None` if
    /// there is no lease or it cannot be read. The lease may have expired.
    pub async fn planner_node(&self) -> Option<usize> {
        let client = cyper::Client::new().ok()?;
        let store = HttpTableStore::new(client, &self.settings[0].table_url);
        let key = RowKey::new(TableName::Leases, CONTROL_PARTITION, "planner");
        let row = store.get(key).await.ok().flatten()?;
        let record: LeaseRecord = decode_message(&row.body).ok()?;
        (0..self.spec.nodes).find(|index| record.holder == Self::node_id(*index))
    }

    /// Every accepted configuration change, oldest first.
    ///
    /// # Panics
    ///
    /// When the configuration log cannot be read.
    pub async fn accepted_changes(&self) -> Vec<ConfigChange> {
        self.config_log.changes_after(0).await.expect("the configuration log should be readable")
    }

    /// Latest configuration, read from the configuration log.
    ///
    /// # Panics
    ///
    /// When the configuration log cannot be read.
    pub async fn config(&self) -> FleetConfig {
        let revision = self.cached_config.borrow().revision();
        let changes = self
            .config_log
            .changes_after(revision)
            .await
            .expect("the configuration log should be readable");
        for change in &changes {
            self.cached_config.borrow_mut().apply(change);
        }
        self.cached_config.borrow().clone()
    }

    /// Appends a change that inserts or updates these entries to the configuration log, and returns
    /// its revision.
    ///
    /// # Panics
    ///
    /// When the change is not accepted after 20 attempts, or the configuration log cannot be read.
    pub async fn apply(&self, bodies: Vec<Body>) -> u64 {
        for _ in 0..MAX_APPEND_ATTEMPTS {
            let revision = self.config().await.revision() + 1;
            let change = ConfigChange {
                revision,
                writer_mark: new_writer_mark(),
                author: "test".to_owned(),
                accepted_unix_ms: unix_ms_now(),
                upsert: bodies
                    .iter()
                    .map(|body| ConfigEntry { body: Some(body.clone()) })
                    .collect(),
                remove: Vec::new(),
            };
            if self.config_log.append(&change).await == AppendOutcome::Accepted {
                return revision;
            }
        }
        panic!("the configuration change was not accepted after {MAX_APPEND_ATTEMPTS} attempts");
    }

    /// Sets the state of a data centre: `in` or `out` of service. Returns the revision of the
    /// change.
    pub async fn set_centre_state(&self, index: usize, state: &str) -> u64 {
        self.apply(vec![Body::DataCentre(data_centre(index, state))]).await
    }

    /// Status of a node, read from its admin interface; `None` if it does not respond.
    pub async fn node_status(&self, index: usize) -> Option<serde_json::Value> {
        let client = cyper::Client::new().ok()?;
        let url = format!("http://{}/admin/status", self.node_addresses[index]);
        let request = client.get(url).ok()?.bearer_auth(ADMIN_TOKEN).ok()?;
        request.send().await.ok()?.json().await.ok()
    }

    /// Whether a node can send requests to every replica of the model and every upstream of the
    /// service.
    async fn is_fully_serving(&self, index: usize) -> bool {
        let status = self.node_status(index).await.unwrap_or_default();
        // The status lists the replicas of the model and the upstreams of the service together.
        let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
        let expected = self.spec.replicas as usize + self.spec.service_upstreams;
        replicas.iter().filter(|replica| replica["serving"] == true).count() >= expected
    }

    /// Number of replicas of the model to which a node can send requests.
    pub async fn serving_replica_count(&self, index: usize) -> usize {
        let status = self.node_status(index).await.unwrap_or_default();
        let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
        replicas
            .iter()
            .filter(|replica| replica["model"] == MODEL && replica["serving"] == true)
            .count()
    }

    /// Entries for the data centres, the model with its serve rule, the plain service and the
    /// client account.
    fn base_entries(&self) -> Vec<Body> {
        let spec = &self.spec;
        let mut bodies: Vec<Body> =
            (0..spec.centres).map(|index| Body::DataCentre(data_centre(index, "in"))).collect();
        bodies.push(Body::Model(Model {
            id: MODEL.to_owned(),
            version: "1".to_owned(),
            vms_per_replica: spec.vms_per_replica,
            weights_bytes: spec.weights_bytes,
            slots: spec.slots,
            cold_slots: spec.cold_slots,
            kv_tokens: spec.kv_tokens,
            ramp_step_ms: spec.ramp_step_ms,
            first_token_target_ms: 500,
        }));
        bodies.push(Body::Serve(ServeRule {
            id: MODEL.to_owned(),
            model: MODEL.to_owned(),
            replicas: spec.replicas,
            ..ServeRule::default()
        }));
        bodies.push(Body::Service(Service {
            id: SERVICE.to_owned(),
            idempotent_calls: vec!["price".to_owned()],
        }));
        bodies.push(Body::ClientAccount(ClientAccount {
            id: "account-1".to_owned(),
            key_sha256: hex::encode(Sha256::digest(ACCOUNT_KEY)),
            weight: 1,
            priority: 0,
            models: vec![MODEL.to_owned()],
            services: vec![SERVICE.to_owned()],
        }));
        bodies
    }

    /// Starts the engines, and returns the entries of their VMs.
    async fn start_engines(&mut self, weights_url: &str) -> Vec<Body> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut bodies = Vec::new();
        for centre in 0..self.spec.centres {
            for worker in 0..self.spec.workers {
                let id = format!("dc{centre}-w{worker:02}");
                let options = EngineOptions {
                    vm: id.clone(),
                    weights_url: Some(weights_url.to_owned()),
                    ..self.spec.engine.clone()
                };
                let fencing = if options.enforces_fencing { "honoured" } else { "ignored" };
                let engine = EngineFake::new(options);
                let handle = engine.serve(any_port).await.expect("the engine should start");
                self.vm_list.set(&id, Some("live"));
                bodies.push(Body::Vm(Vm {
                    id: id.clone(),
                    address: handle.address().to_string(),
                    data_centre: Self::centre_id(centre),
                    fabric_domain: format!("dc{centre}-f0"),
                    role: "worker".to_owned(),
                    accelerators: 4,
                    fencing: fencing.to_owned(),
                    state: "in_service".to_owned(),
                    ..Vm::default()
                }));
                self.server_handles.push(handle);
                self.engines.push((id, engine));
            }
        }
        bodies
    }

    /// Starts the upstreams of the plain service, and returns their entries.
    async fn start_service_upstreams(&mut self) -> Vec<Body> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut bodies = Vec::new();
        for index in 0..self.spec.service_upstreams {
            let upstream = ServiceFake::new();
            let handle = upstream.serve(any_port).await.expect("the service upstream should start");
            bodies.push(Body::Upstream(Upstream {
                id: format!("desk-{index}"),
                service: SERVICE.to_owned(),
                address: handle.address().to_string(),
                data_centre: Self::centre_id(index % self.spec.centres),
                slots: 64,
                cold_slots: 64,
                state: "in_service".to_owned(),
            }));
            self.server_handles.push(handle);
            self.service_upstreams.push(upstream);
        }
        bodies
    }

    /// Chooses the addresses of the nodes, creates their settings and certificates, and returns the
    /// entries of their VMs. `urls` are those of the table service, the object store and the VM
    /// list, in this order.
    fn prepare_nodes(&mut self, urls: &[String]) -> Vec<Body> {
        let admin_token_file = write_secret_file("admin", ADMIN_TOKEN);
        let authority =
            CertificateAuthority::new(&temp_path("certificates")).expect("a certificate authority");
        let mut bodies = Vec::new();
        for index in 0..self.spec.nodes {
            let (listen, peer_listen) = (free_address(), free_address());
            let id = Self::node_id(index);
            let data_centre = Self::centre_id(index % self.spec.centres);
            self.vm_list.set(&id, Some("live"));
            self.node_addresses.push(listen);
            self.settings.push(with_defaults(NodeSettings {
                node: id.clone(),
                data_centre: data_centre.clone(),
                listen: listen.to_string(),
                peer_listen: peer_listen.to_string(),
                table_url: urls[0].clone(),
                object_url: urls[1].clone(),
                vm_list_url: urls[2].clone(),
                peer_tls: Some(authority.issue(&[&id]).expect("a certificate")),
                admin_token_file: admin_token_file.display().to_string(),
                limits: Some(self.spec.limits),
                slot_policy: self.spec.slot_policy.clone(),
                ..NodeSettings::default()
            }));
            bodies.push(Body::Vm(Vm {
                id,
                address: listen.to_string(),
                peer_address: peer_listen.to_string(),
                data_centre,
                role: "entry".to_owned(),
                state: "in_service".to_owned(),
                ..Vm::default()
            }));
        }
        bodies
    }
}

/// Polls `condition` until it holds. False if it does not hold within `timeout`.
pub async fn wait_until(timeout: Duration, condition: impl AsyncFn() -> bool) -> bool {
    const POLL_INTERVAL: Duration = Duration::from_millis(25);
    let started = Instant::now();
    while started.elapsed() < timeout {
        if condition().await {
            return true;
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    false
}

/// Returns a loopback address that no other socket uses.
///
/// The IP address is derived from the process id, so that no other test process uses it, and the
/// port is below the range from which the kernel assigns ports to outgoing connections. A port in
/// that range could be taken by an outgoing connection of another test before the node listens on
/// it. The address is free on return even if other threads start child processes meanwhile.
///
/// # Panics
///
/// When no port is free.
pub fn free_address() -> SocketAddr {
    const FIRST_PORT: u16 = 10_000;
    const LAST_PORT: u16 = 30_000;
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let process_id = std::process::id();
    let octet = |value: u32| u8::try_from(value).unwrap_or(u8::MAX);
    let ip = Ipv4Addr::new(
        127,
        octet(process_id / (254 * 254) % 250 + 1),
        octet(process_id / 254 % 254 + 1),
        octet(process_id % 254 + 1),
    );
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        assert!(port < LAST_PORT, "no port is free");
        let address = SocketAddr::from((ip, port));
        // A child process that starts now would keep copies of the two sockets below.
        let _guard = SPAWN_LOCK.write().unwrap_or_else(PoisonError::into_inner);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Configuration entry of a data centre. `state` is `in` or `out`.
fn data_centre(index: usize, state: &str) -> DataCentre {
    DataCentre {
        id: TestFleet::centre_id(index),
        region: "region-1".to_owned(),
        state: state.to_owned(),
    }
}

/// Writes a secret to a new temporary file and returns its path.
fn write_secret_file(name: &str, secret: &str) -> PathBuf {
    let path = temp_path(name);
    std::fs::write(&path, secret).expect("a secret file");
    path
}

/// Returns a unique path in the directory for temporary files. The file is not created.
fn temp_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!(
        "eelgrassdeal-{}-{name}-{}",
        std::process::id(),
        new_writer_mark()
    ))
}
