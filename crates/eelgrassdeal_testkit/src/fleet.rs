//! A fleet in one process.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;
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
use crate::process::ChildProcess;

/// Model that every test fleet serves.
pub const MODEL: &str = "appraiser";
/// Plain service of every test fleet: `price` is idempotent, `book` is not.
pub const SERVICE: &str = "desk";
/// Key of the client account of every test fleet.
pub const ACCOUNT_KEY: &str = "test-key";
/// Token of the operators' interface.
pub const ADMIN_TOKEN: &str = "test-admin";

const APPEND_TRIES: u32 = 20;

/// Shape of a test fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Entry nodes, spread over the data centres.
    pub nodes: usize,
    /// Data centres; each has one fabric domain.
    pub centres: usize,
    /// Workers in each data centre.
    pub workers: usize,
    /// VMs of a replica.
    pub vms_per_replica: u32,
    /// Replicas that the rule asks for.
    pub replicas: u32,
    /// Upstreams of the plain service.
    pub services: usize,
    /// How engines behave; the VM id is filled in.
    pub engine: EngineOptions,
    /// Slots of a warm replica.
    pub slots: u32,
    /// Slots of a cold replica.
    pub cold_slots: u32,
    /// KV tokens of a replica.
    pub kv_tokens: u64,
    /// Weights of a replica.
    pub weights_bytes: u64,
    /// Rate of the weight store in bytes/s.
    pub weights_rate: u64,
    /// Healthy time after which a cold replica's limit doubles, in ms.
    pub ramp_step_ms: u32,
    /// Lag of the list of VMs.
    pub vm_list_lag: Duration,
    /// Limits of the nodes.
    pub limits: LimitSettings,
    /// Slot policy of the nodes; empty for the default.
    pub slot_policy: String,
    /// Binary of the daemon, to run each node as a process; `None` runs them in threads.
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
            services: 3,
            engine: EngineOptions::default(),
            slots: 64,
            cold_slots: 64,
            kv_tokens: 1 << 20,
            weights_bytes: 1_000_000,
            weights_rate: 1_000_000_000,
            ramp_step_ms: 100,
            vm_list_lag: Duration::ZERO,
            limits: LimitSettings { locate_ttl_ms: 300, ..LimitSettings::default() },
            slot_policy: String::new(),
            node_binary: None,
        }
    }
}

/// A fleet in one process. Dropping it stops everything.
pub struct TestFleet {
    /// Shape of the fleet.
    pub spec: FleetSpec,
    /// Table service.
    pub table: TableFake,
    /// Object store.
    pub object: ObjectFake,
    /// List of VMs.
    pub vm_list: VmListFake,
    /// Weight store.
    pub weights: WeightsFake,
    /// Engines by VM id.
    pub engines: Vec<(String, EngineFake)>,
    /// Upstreams of the plain service.
    pub services: Vec<ServiceFake>,
    /// Nodes; `None` once killed.
    pub nodes: Vec<Option<NodeThread>>,
    /// Nodes that run as processes; `None` once killed.
    pub node_processes: Vec<Option<ChildProcess>>,
    /// HTTP addresses of the nodes.
    pub node_addresses: Vec<SocketAddr>,
    settings: Vec<NodeSettings>,
    log: ConfigLog,
    config: RefCell<FleetConfig>,
    handles: Vec<ServerHandle>,
}

impl TestFleet {
    /// Starts a fleet and waits until every node has read the configuration.
    ///
    /// # Panics
    ///
    /// When a part cannot start.
    pub async fn start(spec: FleetSpec) -> Self {
        let table = TableFake::new();
        let object = ObjectFake::new();
        let vm_list = VmListFake::new().with_lag(spec.vm_list_lag);
        let weights = WeightsFake::new(spec.weights_rate);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut handles = vec![
            table.serve(any).await.expect("table service starts"),
            object.serve(any).await.expect("object store starts"),
            vm_list.serve(any).await.expect("VM list starts"),
            weights.serve(any).await.expect("weight store starts"),
        ];
        let urls: Vec<String> =
            handles.iter().map(|handle| format!("http://{}", handle.address())).collect();
        let client = cyper::Client::new().expect("HTTP client");
        let log = ConfigLog::new(Rc::new(HttpTableStore::new(client, &urls[0])));
        let mut fleet = Self {
            table,
            object,
            vm_list,
            weights,
            engines: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
            node_processes: Vec::new(),
            node_addresses: Vec::new(),
            settings: Vec::new(),
            log,
            config: RefCell::new(FleetConfig::new()),
            handles: Vec::new(),
            spec,
        };
        let mut bodies = fleet.declare_rules();
        bodies.extend(fleet.start_engines(&urls[3]).await);
        bodies.extend(fleet.start_services().await);
        bodies.extend(fleet.declare_nodes(&urls));
        fleet.apply(bodies).await;
        for index in 0..fleet.spec.nodes {
            fleet.nodes.push(None);
            fleet.node_processes.push(None);
            fleet.restart_node(index).await;
        }
        fleet.handles.append(&mut handles);
        fleet
    }

    /// Starts a fleet and waits until all replicas and upstreams serve at every node.
    ///
    /// # Panics
    ///
    /// When the replicas do not serve within 20 s.
    pub async fn start_serving(spec: FleetSpec) -> Self {
        let fleet = Self::start(spec).await;
        let is_serving = wait_until(Duration::from_secs(20), async || {
            for index in 0..fleet.spec.nodes {
                if !fleet.is_fully_open(index).await {
                    return false;
                }
            }
            true
        })
        .await;
        assert!(is_serving, "the replicas do not serve");
        fleet
    }

    /// Id of the entry VM of a node.
    pub fn node_id(index: usize) -> String {
        format!("entry-{index}")
    }

    /// Id of a data centre.
    pub fn centre_id(index: usize) -> String {
        format!("dc{index}")
    }

    /// Engine on a VM.
    ///
    /// # Panics
    ///
    /// When there is no such VM.
    pub fn engine(&self, vm: &str) -> &EngineFake {
        let found = self.engines.iter().find(|(id, _)| id == vm);
        &found.expect("a VM of the fleet").1
    }

    /// Ids of the members of the groups of the model, in the order of their ranks.
    pub async fn groups(&self) -> Vec<Vec<String>> {
        self.config().await.groups().map(|group| group.members.clone()).collect()
    }

    /// Waits for a group whose leader runs a request, and returns its members.
    ///
    /// # Panics
    ///
    /// When no engine runs a request within 10 s.
    pub async fn busy_group(&self) -> Vec<String> {
        let is_busy = wait_until(Duration::from_secs(10), async || self.running() > 0).await;
        assert!(is_busy, "no engine runs a request");
        let groups = self.groups().await;
        let busy = groups.into_iter().find(|members| self.engine(&members[0]).running() > 0);
        busy.expect("a group runs a request")
    }

    /// Requests that run on any engine now.
    pub fn running(&self) -> u32 {
        self.engines.iter().map(|(_, engine)| engine.running()).sum()
    }

    /// Requests and resumes that all engines began to run.
    pub fn runs(&self) -> usize {
        self.engines.iter().map(|(_, engine)| engine.runs().len()).sum()
    }

    /// Resumes at any engine whose delivered text was not what the engine had generated.
    pub fn resume_faults(&self) -> u32 {
        self.engines.iter().map(|(_, engine)| engine.resume_mismatches()).sum()
    }

    /// Stops a node at once, as a crash would.
    pub fn kill_node(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    /// Starts a node with empty memory.
    ///
    /// # Panics
    ///
    /// When the node cannot start.
    pub async fn restart_node(&mut self, index: usize) {
        let settings = &self.settings[index];
        match &self.spec.node_binary {
            None => self.nodes[index] = Some(NodeThread::start(settings.clone()).await),
            Some(binary) => {
                let path = temp_path("node.toml");
                let text = toml::to_string(settings).expect("settings");
                std::fs::write(&path, text).expect("a settings file");
                let arguments = ["--settings".as_ref(), path.as_os_str()];
                let process = ChildProcess::spawn(binary, &arguments, None);
                self.node_processes[index] = Some(process.expect("node starts"));
            }
        }
    }

    /// Process of a node.
    ///
    /// # Panics
    ///
    /// When the node does not run as a process.
    pub fn node_process(&self, index: usize) -> &ChildProcess {
        self.node_processes[index].as_ref().expect("a node that runs as a process")
    }

    /// Index of the node that the planner lease names.
    pub async fn planner_node(&self) -> Option<usize> {
        let client = cyper::Client::new().ok()?;
        let store = HttpTableStore::new(client, &self.settings[0].table_url);
        let key = RowKey::new(TableName::Leases, CONTROL_PARTITION, "planner");
        let row = store.get(key).await.ok().flatten()?;
        let record: LeaseRecord = decode_message(&row.body).ok()?;
        (0..self.spec.nodes).find(|index| record.holder == Self::node_id(*index))
    }

    /// Every accepted revision, oldest first.
    ///
    /// # Panics
    ///
    /// When the log cannot be read.
    pub async fn revisions(&self) -> Vec<ConfigChange> {
        self.log.changes_after(0).await.expect("log can be read")
    }

    /// Newest configuration, read from the log.
    ///
    /// # Panics
    ///
    /// When the log cannot be read.
    pub async fn config(&self) -> FleetConfig {
        let revision = self.config.borrow().revision();
        let changes = self.log.changes_after(revision).await.expect("log can be read");
        for change in &changes {
            self.config.borrow_mut().apply(change);
        }
        self.config.borrow().clone()
    }

    /// Accepts a change with these entries and returns its revision.
    ///
    /// # Panics
    ///
    /// When the change is not accepted.
    pub async fn apply(&self, bodies: Vec<Body>) -> u64 {
        for _ in 0..APPEND_TRIES {
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
            if self.log.append(&change).await == AppendOutcome::Accepted {
                return revision;
            }
        }
        panic!("the change was not accepted");
    }

    /// Takes a data centre out or brings it back.
    pub async fn set_centre(&self, index: usize, state: &str) -> u64 {
        self.apply(vec![Body::DataCentre(data_centre(index, state))]).await
    }

    /// Status of a node by its operators' interface.
    pub async fn node_status(&self, index: usize) -> Option<serde_json::Value> {
        let client = cyper::Client::new().ok()?;
        let url = format!("http://{}/admin/status", self.node_addresses[index]);
        let request = client.get(url).ok()?.bearer_auth(ADMIN_TOKEN).ok()?;
        request.send().await.ok()?.json().await.ok()
    }

    /// Whether a node may use every replica of the model and every upstream of the service.
    async fn is_fully_open(&self, index: usize) -> bool {
        let status = self.node_status(index).await.unwrap_or_default();
        let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
        let wanted = self.spec.replicas as usize + self.spec.services;
        replicas.iter().filter(|replica| replica["serving"] == true).count() >= wanted
    }

    /// Replicas of the model that a node serves from.
    pub async fn serving_replicas(&self, index: usize) -> usize {
        let status = self.node_status(index).await.unwrap_or_default();
        let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
        replicas
            .iter()
            .filter(|replica| replica["model"] == MODEL && replica["serving"] == true)
            .count()
    }

    fn declare_rules(&self) -> Vec<Body> {
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

    async fn start_engines(&mut self, weights_url: &str) -> Vec<Body> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
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
                let handle = engine.serve(any).await.expect("engine starts");
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
                self.handles.push(handle);
                self.engines.push((id, engine));
            }
        }
        bodies
    }

    async fn start_services(&mut self) -> Vec<Body> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut bodies = Vec::new();
        for index in 0..self.spec.services {
            let service = ServiceFake::new();
            let handle = service.serve(any).await.expect("service starts");
            bodies.push(Body::Upstream(Upstream {
                id: format!("desk-{index}"),
                service: SERVICE.to_owned(),
                address: handle.address().to_string(),
                data_centre: Self::centre_id(index % self.spec.centres),
                slots: 64,
                cold_slots: 64,
                state: "in_service".to_owned(),
            }));
            self.handles.push(handle);
            self.services.push(service);
        }
        bodies
    }

    fn declare_nodes(&mut self, urls: &[String]) -> Vec<Body> {
        let admin_token_file = secret_file("admin", ADMIN_TOKEN);
        let authority =
            CertificateAuthority::new(&temp_path("certificates")).expect("an authority");
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

/// Waits until `condition` holds; false if it does not within `time`.
pub async fn wait_until(time: Duration, condition: impl AsyncFn() -> bool) -> bool {
    const POLL: Duration = Duration::from_millis(25);
    let started = Instant::now();
    while started.elapsed() < time {
        if condition().await {
            return true;
        }
        compio::time::sleep(POLL).await;
    }
    false
}

/// A loopback address that nothing else uses.
///
/// The IP number is that of this process alone, and the port lies below those that the system
/// hands out. A port that was merely free a moment ago could be taken by an outgoing connection of
/// another test before the node listens on it.
///
/// # Panics
///
/// When no port is free.
pub fn free_address() -> SocketAddr {
    const FIRST_PORT: u16 = 10_000;
    const LAST_PORT: u16 = 30_000;
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let number = std::process::id();
    let part = |value: u32| u8::try_from(value).unwrap_or(u8::MAX);
    let ip = Ipv4Addr::new(
        127,
        part(number / (254 * 254) % 250 + 1),
        part(number / 254 % 254 + 1),
        part(number % 254 + 1),
    );
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        assert!(port < LAST_PORT, "no port is free");
        let address = SocketAddr::from((ip, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

fn data_centre(index: usize, state: &str) -> DataCentre {
    DataCentre {
        id: TestFleet::centre_id(index),
        region: "region-1".to_owned(),
        state: state.to_owned(),
    }
}

fn secret_file(name: &str, secret: &str) -> PathBuf {
    let path = temp_path(name);
    std::fs::write(&path, secret).expect("a secret file");
    path
}

fn temp_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!(
        "eelgrassdeal-{}-{name}-{}",
        std::process::id(),
        new_writer_mark()
    ))
}
