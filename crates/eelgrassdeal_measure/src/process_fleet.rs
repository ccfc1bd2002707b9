//! A fleet with a single node. The node, its engine and the fakes run as separate processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{
    ClientAccount, ConfigChange, ConfigEntry, DataCentre, Model, ServeRule, Service, Upstream, Vm,
};
use eelgrassdeal_schema::settings::{LimitSettings, LogSettings, NodeSettings};
use eelgrassdeal_standins::CertificateAuthority;
use eelgrassdeal_store::{AppendOutcome, ConfigLog, HttpTableStore};
use eelgrassdeal_testkit::{ACCOUNT_KEY, ChildProcess, MODEL, SERVICE};
use eelgrassdeal_testkit::{free_address, sibling_binary, wait_until};
use eelgrassdeal_types::{new_writer_mark, unix_ms_now};
use sha2::{Digest, Sha256};

/// Limit that is greater than the number of requests that any measurement has in flight.
const UNREACHED_LIMIT: u32 = 100_000;
const DAY_MS: u32 = 24 * 60 * 60 * 1000;
/// Timeout for the start of the table service and of the engine, each.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A node, an engine and an upstream of the plain service, each in its own process, and one process
/// with the fakes of the platform: table service, object store, VM list and weight store.
pub(crate) struct ProcessFleet {
    pub(crate) node: ChildProcess,
    pub(crate) engine: ChildProcess,
    pub(crate) node_address: SocketAddr,
    pub(crate) engine_address: SocketAddr,
    _other_processes: Vec<ChildProcess>,
    _directory: TemporaryDirectory,
}

/// Directory that is removed when the value is dropped.
struct TemporaryDirectory {
    path: PathBuf,
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

impl ProcessFleet {
    /// Starts the fleet and waits until the node can use the engine. `first_token_ms` and
    /// `token_ms` are the engine's delays before the first token and between tokens. `node_command`
    /// is a command that gets the node's command line as its last arguments, for example a
    /// profiler; if it is empty, the node is started directly.
    pub(crate) async fn start(first_token_ms: u64, token_ms: u64, node_command: &str) -> Self {
        // A writer mark serves as a random suffix that makes the name unique.
        let path = std::env::temp_dir().join(format!("eelgrassdeal-measure-{}", new_writer_mark()));
        std::fs::create_dir_all(&path).expect("temporary directory is created");
        let directory = TemporaryDirectory { path };
        let standin = sibling_binary("eelgrassdeal-standin");
        let [table, object, vm_list, weights, engine_address, service, node_address, peer] =
            std::array::from_fn(|_| free_address());
        let start = |arguments: &[&str]| {
            ChildProcess::spawn(&standin, arguments, None).expect("eelgrassdeal-standin starts")
        };
        let [table_text, object_text, vm_list_text, weights_text, engine_text, service_text] =
            [table, object, vm_list, weights, engine_address, service].map(|a| a.to_string());
        let platform = start(&[
            "platform",
            "--table",
            &table_text,
            "--object",
            &object_text,
            "--vm-list",
            &vm_list_text,
            "--weights",
            &weights_text,
        ]);
        let (first_token_text, token_text) = (first_token_ms.to_string(), token_ms.to_string());
        let unreached_limit = UNREACHED_LIMIT.to_string();
        let engine = start(&[
            "engine",
            "--vm",
            "worker-0",
            "--listen",
            &engine_text,
            "--first-token-ms",
            &first_token_text,
            "--token-ms",
            &token_text,
            "--cold-limit",
            &unreached_limit,
            "--warm-limit",
            &unreached_limit,
            "--warm-after-ms",
            "0",
        ]);
        let service_process = start(&["service", "--listen", &service_text, "--work-ms", "0"]);
        let certificate_authority =
            CertificateAuthority::new(&directory.path).expect("certificate authority is created");
        let settings = NodeSettings {
            peer_tls: Some(
                certificate_authority.issue(&["entry-0"]).expect("certificate is issued"),
            ),
            node: "entry-0".to_owned(),
            data_centre: "dc0".to_owned(),
            listen: node_address.to_string(),
            peer_listen: peer.to_string(),
            table_url: format!("http://{table}"),
            object_url: format!("http://{object}"),
            vm_list_url: format!("http://{vm_list}"),
            log: Some(LogSettings { level: "warn".to_owned() }),
            limits: Some(LimitSettings {
                header_timeout_ms: DAY_MS,
                max_connections: UNREACHED_LIMIT,
                ..LimitSettings::default()
            }),
            ..NodeSettings::default()
        };
        wait_for_table(table).await;
        let entries = initial_entries(node_address, peer, engine_address, service);
        append_entries(table, entries).await;
        let node = start_node(&directory.path, &settings, node_command);
        let fleet = Self {
            node,
            engine,
            node_address,
            engine_address,
            _other_processes: vec![platform, service_process],
            _directory: directory,
        };
        fleet.wait_until_serving().await;
        fleet
    }

    /// Waits until the engine reports that it is ready and the node has probed it.
    async fn wait_until_serving(&self) {
        let client = cyper::Client::new().expect("HTTP client is created");
        let url = format!("http://{}/status", self.engine_address);
        let is_ready = wait_until(START_TIMEOUT, async || {
            let Ok(builder) = client.get(&url) else { return false };
            let Ok(response) = builder.send().await else { return false };
            let status = response.json::<serde_json::Value>().await.unwrap_or_default();
            status["state"] == "ready"
        })
        .await;
        assert!(is_ready, "the engine is not ready after {START_TIMEOUT:?}");
        // The node notices the ready engine at its next probe.
        compio::time::sleep(Duration::from_secs(2)).await;
    }
}

async fn wait_for_table(table: SocketAddr) {
    let is_up =
        wait_until(START_TIMEOUT, async || compio::net::TcpStream::connect(table).await.is_ok())
            .await;
    assert!(is_up, "the table service accepts no connection after {START_TIMEOUT:?}");
}

/// Writes the settings file and starts the node.
fn start_node(directory: &Path, settings: &NodeSettings, node_command: &str) -> ChildProcess {
    let path = directory.join("node.toml");
    std::fs::write(&path, toml::to_string(settings).expect("settings are valid TOML"))
        .expect("settings file is written");
    let node = sibling_binary("eelgrassdeal-node").display().to_string();
    let path = path.display().to_string();
    let mut command: Vec<&str> = node_command.split_whitespace().collect();
    command.extend([node.as_str(), "--settings", &path]);
    ChildProcess::spawn(Path::new(command[0]), &command[1..], None).expect("node process starts")
}

/// Appends the first revision of the configuration.
async fn append_entries(table: SocketAddr, bodies: Vec<Body>) {
    let client = cyper::Client::new().expect("HTTP client is created");
    let log = ConfigLog::new(Rc::new(HttpTableStore::new(client, format!("http://{table}"))));
    let change = ConfigChange {
        revision: 1,
        writer_mark: new_writer_mark(),
        author: "measure".to_owned(),
        accepted_unix_ms: unix_ms_now(),
        upsert: bodies.into_iter().map(|body| ConfigEntry { body: Some(body) }).collect(),
        remove: Vec::new(),
    };
    assert_eq!(
        log.append(&change).await,
        AppendOutcome::Accepted,
        "the first configuration change is accepted"
    );
}

/// Entries of the first configuration revision.
fn initial_entries(
    node: SocketAddr,
    peer: SocketAddr,
    engine: SocketAddr,
    service: SocketAddr,
) -> Vec<Body> {
    let in_service = || "in_service".to_owned();
    vec![
        Body::DataCentre(DataCentre {
            id: "dc0".to_owned(),
            region: "region-1".to_owned(),
            state: "in".to_owned(),
        }),
        Body::Vm(Vm {
            id: "entry-0".to_owned(),
            address: node.to_string(),
            peer_address: peer.to_string(),
            data_centre: "dc0".to_owned(),
            role: "entry".to_owned(),
            state: in_service(),
            ..Vm::default()
        }),
        Body::Vm(Vm {
            id: "worker-0".to_owned(),
            address: engine.to_string(),
            data_centre: "dc0".to_owned(),
            fabric_domain: "dc0-f0".to_owned(),
            role: "worker".to_owned(),
            accelerators: 4,
            fencing: "honoured".to_owned(),
            state: in_service(),
            ..Vm::default()
        }),
        Body::Model(Model {
            id: MODEL.to_owned(),
            version: "1".to_owned(),
            vms_per_replica: 1,
            weights_bytes: 1_000_000,
            slots: UNREACHED_LIMIT,
            cold_slots: UNREACHED_LIMIT,
            kv_tokens: u64::from(u32::MAX),
            ramp_step_ms: 100,
            first_token_target_ms: 500,
        }),
        Body::Service(Service {
            id: SERVICE.to_owned(),
            idempotent_calls: vec!["price".to_owned()],
        }),
        Body::Upstream(Upstream {
            id: "desk-0".to_owned(),
            service: SERVICE.to_owned(),
            address: service.to_string(),
            data_centre: "dc0".to_owned(),
            slots: UNREACHED_LIMIT,
            cold_slots: UNREACHED_LIMIT,
            state: in_service(),
        }),
        Body::ClientAccount(ClientAccount {
            id: "account-1".to_owned(),
            key_sha256: hex::encode(Sha256::digest(ACCOUNT_KEY)),
            weight: 1,
            models: vec![MODEL.to_owned()],
            services: vec![SERVICE.to_owned()],
            ..ClientAccount::default()
        }),
        Body::Serve(ServeRule {
            id: MODEL.to_owned(),
            model: MODEL.to_owned(),
            replicas: 1,
            ..ServeRule::default()
        }),
    ]
}
