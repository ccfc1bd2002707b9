//! A fleet of a given size, and the measurement of one point with it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use cyper::Client;
use eelgrassdeal_node::with_defaults;
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{ConfigChange, ConfigEntry, DataCentre, Model, ServeRule, Vm};
use eelgrassdeal_schema::settings::{LogSettings, NodeSettings};
use eelgrassdeal_standins::CertificateAuthority;
use eelgrassdeal_store::{AppendOutcome, ConfigLog, HttpTableStore};
use eelgrassdeal_testkit::{ADMIN_TOKEN, ChildProcess, MODEL};
use eelgrassdeal_testkit::{free_address, sibling_binary, wait_until};
use eelgrassdeal_types::{new_writer_mark, unix_ms_now};
use serde_json::Value;

use super::point::{CapacityPoint, FleetSize, read_traffic, traffic_rates};
use super::threads::FleetThreads;
use crate::stats::p50_p95_max;

/// Number of threads among which the engines are divided.
const ENGINE_THREADS: usize = 4;
/// Nodes in one thread. With more nodes the thread would become the bottleneck.
const NODES_PER_THREAD: usize = 28;
/// Number of data centres; nodes and workers are assigned to them in turn.
const DATA_CENTRES: usize = 3;
/// Timeout for the fleet to serve.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay until probes and reports have reached their usual rate.
const SETTLE_DELAY: Duration = Duration::from_secs(4);
/// Interval at which the active revisions of the nodes are read.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time within which a change must be active on all nodes at the planned size.
const CONFIG_PROPAGATION_LIMIT: Duration = Duration::from_secs(11);

/// A fleet that gets no requests from callers.
pub(super) struct CapacityFleet {
    size: FleetSize,
    /// The measured node.
    node: ChildProcess,
    node_address: SocketAddr,
    table: SocketAddr,
    client: Client,
    log: ConfigLog,
    /// Active configuration revision of each of the other nodes.
    revisions: Vec<Arc<AtomicU64>>,
    _threads: FleetThreads,
    directory: PathBuf,
}

impl Drop for CapacityFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl CapacityFleet {
    /// Starts the fleet and waits until all groups are formed and the measured node can use at
    /// least one of them. With `is_planner` the measured node is the planner.
    pub(super) async fn start(size: FleetSize, is_planner: bool) -> Self {
        // A writer mark serves as a random suffix that makes the name unique.
        let directory =
            std::env::temp_dir().join(format!("eelgrassdeal-measure-{}", new_writer_mark()));
        std::fs::create_dir_all(&directory).expect("temporary directory is created");
        std::fs::write(directory.join("admin"), ADMIN_TOKEN).expect("token file is written");
        let mut threads = FleetThreads::new();
        let workers: Vec<String> = (0..size.replicas).map(|i| format!("worker-{i:03}")).collect();
        let mut vms = workers.clone();
        vms.extend((0..size.nodes).map(node_id));
        let [table, object, vm_list] = threads.start_platform(vms);
        let mut entries = Vec::new();
        for chunk in workers.chunks(size.replicas.div_ceil(ENGINE_THREADS)) {
            let addresses = threads.start_engines(chunk.to_vec());
            let engines = chunk.iter().zip(addresses);
            entries.extend(engines.map(|(vm, address)| worker_entry(vm, address)));
        }
        let certificate_authority =
            CertificateAuthority::new(&directory).expect("certificate authority is created");
        let settings: Vec<NodeSettings> = (0..size.nodes)
            .map(|index| NodeSettings {
                peer_tls: Some(
                    certificate_authority.issue(&[&node_id(index)]).expect("certificate is issued"),
                ),
                ..node_settings(index, [table, object, vm_list], &directory)
            })
            .collect();
        entries.extend(settings.iter().map(node_entry));
        entries.extend(base_entries(size.replicas));
        let client = Client::new().expect("HTTP client is created");
        let store = HttpTableStore::new(client.clone(), format!("http://{table}"));
        let log = ConfigLog::new(Rc::new(store));
        append(&log, entries).await;

        let (measured, others) = settings.split_first().expect("at least one node");
        let revisions: Vec<Arc<AtomicU64>> = others.iter().map(|_| Arc::default()).collect();
        let peers: Vec<(NodeSettings, Arc<AtomicU64>)> =
            others.iter().cloned().zip(revisions.iter().cloned()).collect();
        // The first node that runs acquires the planner's lease.
        let planner_process = is_planner.then(|| start_node_process(measured, &directory));
        if is_planner {
            compio::time::sleep(Duration::from_secs(1)).await;
        }
        for chunk in peers.chunks(NODES_PER_THREAD) {
            threads.start_nodes(chunk.to_vec());
        }
        let node = planner_process.unwrap_or_else(|| start_node_process(measured, &directory));
        let node_address = measured.listen.parse().expect("valid socket address");
        let fleet = Self {
            size,
            node,
            node_address,
            table,
            client,
            log,
            revisions,
            _threads: threads,
            directory,
        };
        let is_serving = wait_until(START_TIMEOUT, async || {
            let status = fleet.read_json(node_address, "/admin/status").await;
            let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
            // The node can use only the replicas whose reporter set contains it, so not all need to
            // serve.
            let serves_any_replica = replicas.iter().any(|replica| replica["serving"] == true);
            replicas.len() >= size.replicas && serves_any_replica
        })
        .await;
        if !is_serving {
            println!("{size:?}: the measured node can use no replica after {START_TIMEOUT:?}");
        }
        compio::time::sleep(SETTLE_DELAY).await;
        fleet
    }

    /// Measures for `duration` while `changes_per_s` configuration changes are appended per second.
    pub(super) async fn measure(&self, changes_per_s: f64, duration: Duration) -> CapacityPoint {
        let traffic_before = self.read_traffic_counts().await;
        let store_before = self.read_json(self.table, "/stats").await;
        let cpu_time_before = self.node.cpu_time();
        let started = Instant::now();
        let (accepted, mut revision_times) = futures_util::join!(
            self.append_changes(changes_per_s, duration),
            self.record_revision_times(started + duration)
        );
        let seconds = started.elapsed().as_secs_f64();
        let cpu_time = (self.node.cpu_time() - cpu_time_before).as_secs_f64();
        let store_after = self.read_json(self.table, "/stats").await;
        let traffic_after = self.read_traffic_counts().await;
        let store_calls_per_s = |name: &str| {
            let count = |stats: &Value| stats[name].as_f64().unwrap_or(0.0);
            (count(&store_after) - count(&store_before)) / seconds
        };
        // Waits for changes that are not active yet. This time is not part of the other results.
        revision_times
            .extend(self.record_revision_times(Instant::now() + CONFIG_PROPAGATION_LIMIT).await);
        let mut propagation_times = propagation_times_ms(&accepted, &revision_times);
        CapacityPoint {
            size: self.size,
            changes_per_s,
            accepted: accepted.len(),
            traffic: traffic_rates(&traffic_before, &traffic_after, seconds),
            core_percent: 100.0 * cpu_time / seconds,
            resident_mb: self.node.resident_bytes() as f64 / 1e6,
            store_reads_per_s: store_calls_per_s("reads"),
            store_writes_per_s: store_calls_per_s("writes"),
            propagated: propagation_times.len(),
            propagation_ms: p50_p95_max(&mut propagation_times),
        }
    }

    /// Appends changes until `duration` is over. Returns each revision with the time of its
    /// acceptance.
    async fn append_changes(&self, changes_per_s: f64, duration: Duration) -> Vec<(u64, Instant)> {
        let mut accepted = Vec::new();
        let started = Instant::now();
        if changes_per_s <= 0.0 {
            compio::time::sleep(duration).await;
            return accepted;
        }
        while started.elapsed() < duration {
            let due =
                started + Duration::from_secs_f64((accepted.len() + 1) as f64 / changes_per_s);
            compio::time::sleep(due.saturating_duration_since(Instant::now())).await;
            let revision = append(&self.log, vec![modified_vm_entry(accepted.len())]).await;
            accepted.push((revision, Instant::now()));
        }
        accepted
    }

    /// Reads the active revisions of the other nodes until `stop_at`. Returns each new value of the
    /// lowest of them, with the time at which it was seen.
    async fn record_revision_times(&self, stop_at: Instant) -> Vec<(u64, Instant)> {
        let mut revision_times = Vec::new();
        let mut last = 0;
        while Instant::now() < stop_at {
            let revisions = self.revisions.iter().map(|revision| revision.load(Ordering::Relaxed));
            let lowest = revisions.min().unwrap_or(0);
            if lowest > last {
                revision_times.push((lowest, Instant::now()));
                last = lowest;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        revision_times
    }

    async fn read_traffic_counts(&self) -> super::point::TrafficCounts {
        let url = format!("http://{}/metrics", self.node_address);
        let text = match self.client.get(url).expect("valid URL").send().await {
            Ok(response) => response.text().await.unwrap_or_default(),
            Err(_) => String::new(),
        };
        read_traffic(&text)
    }

    /// Requests `path` and parses the response as JSON; null if this fails.
    async fn read_json(&self, address: SocketAddr, path: &str) -> Value {
        let exchange = async {
            let builder = self.client.get(format!("http://{address}{path}")).ok()?;
            builder.bearer_auth(ADMIN_TOKEN).ok()?.send().await.ok()?.json().await.ok()
        };
        exchange.await.unwrap_or_default()
    }
}

/// Time in ms from the acceptance of each revision until all other nodes had it or a newer one.
/// Revisions that were not reached are left out.
fn propagation_times_ms(
    accepted: &[(u64, Instant)],
    revision_times: &[(u64, Instant)],
) -> Vec<f64> {
    let reached = |revision: u64| {
        revision_times
            .iter()
            .filter(|(revision_reached, _)| *revision_reached >= revision)
            .map(|(_, at)| *at)
            .min()
    };
    accepted
        .iter()
        .filter_map(|(revision, at)| Some((reached(*revision)?, at)))
        .map(|(reached, at)| reached.saturating_duration_since(*at).as_secs_f64() * 1e3)
        .collect()
}

/// Appends a change after the newest revision and returns its revision. Retries if another writer
/// has appended that revision.
async fn append(log: &ConfigLog, bodies: Vec<Body>) -> u64 {
    loop {
        let Ok(head) = log.head().await else { continue };
        let change = ConfigChange {
            revision: head + 1,
            writer_mark: new_writer_mark(),
            author: "measure".to_owned(),
            accepted_unix_ms: unix_ms_now(),
            upsert: bodies.iter().map(|body| ConfigEntry { body: Some(body.clone()) }).collect(),
            remove: Vec::new(),
        };
        if log.append(&change).await == AppendOutcome::Accepted {
            return head + 1;
        }
    }
}

/// Writes the settings file and starts the node, with its log in `directory`.
fn start_node_process(settings: &NodeSettings, directory: &std::path::Path) -> ChildProcess {
    let path = directory.join("node.toml");
    std::fs::write(&path, toml::to_string(settings).expect("settings are valid TOML"))
        .expect("settings file is written");
    let arguments = ["--settings".as_ref(), path.as_os_str()];
    let log = directory.join("node.log");
    ChildProcess::spawn(&sibling_binary("eelgrassdeal-node"), &arguments, Some(&log))
        .expect("node process starts")
}

fn node_id(index: usize) -> String {
    format!("entry-{index:03}")
}

fn centre_id(index: usize) -> String {
    format!("dc{}", index % DATA_CENTRES)
}

fn node_settings(
    index: usize,
    [table, object, vm_list]: [SocketAddr; 3],
    directory: &std::path::Path,
) -> NodeSettings {
    with_defaults(NodeSettings {
        node: node_id(index),
        data_centre: centre_id(index),
        listen: free_address().to_string(),
        peer_listen: free_address().to_string(),
        table_url: format!("http://{table}"),
        object_url: format!("http://{object}"),
        vm_list_url: format!("http://{vm_list}"),
        admin_token_file: directory.join("admin").display().to_string(),
        log: Some(LogSettings { level: "warn".to_owned() }),
        ..NodeSettings::default()
    })
}

fn node_entry(settings: &NodeSettings) -> Body {
    Body::Vm(Vm {
        id: settings.node.clone(),
        address: settings.listen.clone(),
        peer_address: settings.peer_listen.clone(),
        data_centre: settings.data_centre.clone(),
        role: "entry".to_owned(),
        state: "in_service".to_owned(),
        ..Vm::default()
    })
}

fn worker_entry(vm: &str, address: SocketAddr) -> Body {
    let index: usize = vm.rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or(0);
    Body::Vm(Vm {
        id: vm.to_owned(),
        address: address.to_string(),
        data_centre: centre_id(index),
        fabric_domain: format!("{}-f0", centre_id(index)),
        role: "worker".to_owned(),
        accelerators: 4,
        fencing: "honoured".to_owned(),
        state: "in_service".to_owned(),
        ..Vm::default()
    })
}

/// Entry of a VM that no group uses. The number of accelerators differs in each change, as when a
/// VM is replaced by one of another size.
fn modified_vm_entry(count: usize) -> Body {
    Body::Vm(Vm {
        id: "worker-spare".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        data_centre: centre_id(0),
        fabric_domain: "dc0-f1".to_owned(),
        role: "worker".to_owned(),
        accelerators: u32::try_from(count % 8).unwrap_or(0),
        fencing: "honoured".to_owned(),
        state: "leaving".to_owned(),
        ..Vm::default()
    })
}

/// Entries of the data centres, the model and its serve rule.
fn base_entries(replicas: usize) -> Vec<Body> {
    let mut bodies: Vec<Body> = (0..DATA_CENTRES)
        .map(|index| {
            Body::DataCentre(DataCentre {
                id: centre_id(index),
                region: "region-1".to_owned(),
                state: "in".to_owned(),
            })
        })
        .collect();
    bodies.push(Body::Model(Model {
        id: MODEL.to_owned(),
        version: "1".to_owned(),
        vms_per_replica: 1,
        weights_bytes: 1_000_000,
        slots: 64,
        cold_slots: 8,
        kv_tokens: 1 << 20,
        ramp_step_ms: 100,
        first_token_target_ms: 500,
    }));
    bodies.push(Body::Serve(ServeRule {
        id: MODEL.to_owned(),
        model: MODEL.to_owned(),
        replicas: u32::try_from(replicas).unwrap_or(u32::MAX),
        ..ServeRule::default()
    }));
    bodies
}
