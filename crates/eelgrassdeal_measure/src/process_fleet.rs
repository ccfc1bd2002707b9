//! A fleet of processes: platform, one engine, one plain service, one node.

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

/// More than any measurement has in flight, so that no limit is met.
const MANY: u32 = 100_000;
const DAY_MS: u32 = 24 * 60 * 60 * 1000;
const START_TIME: Duration = Duration::from_secs(20);

/// One node with all that it needs, each part a process.
pub(crate) struct ProcessFleet {
    pub(crate) node: ChildProcess,
    pub(crate) engine: ChildProcess,
    pub(crate) node_address: SocketAddr,
    pub(crate) engine_address: SocketAddr,
    _others: Vec<ChildProcess>,
    _folder: TemporaryFolder,
}

/// A folder that is removed when it is dropped.
struct TemporaryFolder {
    path: PathBuf,
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

impl ProcessFleet {
    /// Starts the fleet and waits until the node serves. `node_command` is put before the node's
    /// binary, for example a profiler; empty starts the node itself.
    pub(crate) async fn start(first_token_ms: u64, token_ms: u64, node_command: &str) -> Self {
        let path = std::env::temp_dir().join(format!("eelgrassdeal-measure-{}", new_writer_mark()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        let folder = TemporaryFolder { path };
        let standin = sibling_binary("eelgrassdeal-standin");
        let [table, object, vm_list, weights, engine_address, service, node_address, peer] =
            std::array::from_fn(|_| free_address());
        let start = |arguments: &[&str]| {
            ChildProcess::spawn(&standin, arguments, None).expect("a stand-in starts")
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
        let many = MANY.to_string();
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
            &many,
            "--warm-limit",
            &many,
            "--warm-after-ms",
            "0",
        ]);
        let service_process = start(&["service", "--listen", &service_text, "--work-ms", "0"]);
        let authority = CertificateAuthority::new(&folder.path).expect("an authority");
        let settings = NodeSettings {
            peer_tls: Some(authority.issue(&["entry-0"]).expect("a certificate")),
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
                max_connections: MANY,
                ..LimitSettings::default()
            }),
            ..NodeSettings::default()
        };
        await_table(table).await;
        let entries = register(node_address, peer, engine_address, service);
        append_entries(table, entries).await;
        let node = start_node(&folder.path, &settings, node_command);
        let fleet = Self {
            node,
            engine,
            node_address,
            engine_address,
            _others: vec![platform, service_process],
            _folder: folder,
        };
        fleet.wait_until_serving().await;
        fleet
    }

    async fn wait_until_serving(&self) {
        let client = cyper::Client::new().expect("HTTP client");
        let url = format!("http://{}/status", self.engine_address);
        let is_ready = wait_until(START_TIME, async || {
            let Ok(builder) = client.get(&url) else { return false };
            let Ok(response) = builder.send().await else { return false };
            let status = response.json::<serde_json::Value>().await.unwrap_or_default();
            status["state"] == "ready"
        })
        .await;
        assert!(is_ready, "the engine is not ready");
        // The node sees the ready engine at its next probe.
        compio::time::sleep(Duration::from_secs(2)).await;
    }
}

async fn await_table(table: SocketAddr) {
    let is_up =
        wait_until(START_TIME, async || compio::net::TcpStream::connect(table).await.is_ok()).await;
    assert!(is_up, "the table service does not answer");
}

fn start_node(folder: &Path, settings: &NodeSettings, node_command: &str) -> ChildProcess {
    let path = folder.join("node.toml");
    std::fs::write(&path, toml::to_string(settings).expect("settings")).expect("a settings file");
    let node = sibling_binary("eelgrassdeal-node").display().to_string();
    let path = path.display().to_string();
    let mut words: Vec<&str> = node_command.split_whitespace().collect();
    words.extend([node.as_str(), "--settings", &path]);
    ChildProcess::spawn(Path::new(words[0]), &words[1..], None).expect("the node starts")
}

async fn append_entries(table: SocketAddr, bodies: Vec<Body>) {
    let client = cyper::Client::new().expect("HTTP client");
    let log = ConfigLog::new(Rc::new(HttpTableStore::new(client, format!("http://{table}"))));
    let change = ConfigChange {
        revision: 1,
        writer_mark: new_writer_mark(),
        author: "measure".to_owned(),
        accepted_unix_ms: unix_ms_now(),
        upsert: bodies.into_iter().map(|body| ConfigEntry { body: Some(body) }).collect(),
        remove: Vec::new(),
    };
    assert_eq!(log.append(&change).await, AppendOutcome::Accepted, "the register is accepted");
}

fn register(
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
            slots: MANY,
            cold_slots: MANY,
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
            slots: MANY,
            cold_slots: MANY,
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
