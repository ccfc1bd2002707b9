//! A fleet of the wanted size and the measurement of one point on it.

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
use crate::figures::spread;

const ENGINE_THREADS: usize = 4;
/// Nodes in one thread; more would make the thread, not the node, the limit.
const NODES_A_THREAD: usize = 28;
const CENTRES: usize = 3;
const START_TIME: Duration = Duration::from_secs(60);
/// Time until probes and reports have their usual rate.
const SETTLE: Duration = Duration::from_secs(4);
const POLL: Duration = Duration::from_millis(5);
/// Bound for a change at the planned size.
const IN_FORCE_TIME: Duration = Duration::from_secs(11);

/// A fleet without callers.
pub(super) struct CapacityFleet {
    size: FleetSize,
    node: ChildProcess,
    node_address: SocketAddr,
    table: SocketAddr,
    client: Client,
    log: ConfigLog,
    revisions: Vec<Arc<AtomicU64>>,
    _threads: FleetThreads,
    folder: PathBuf,
}

impl Drop for CapacityFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl CapacityFleet {
    /// Starts the fleet and waits until all groups are formed and the measured node serves.
    pub(super) async fn start(size: FleetSize, is_planner: bool) -> Self {
        let folder =
            std::env::temp_dir().join(format!("eelgrassdeal-measure-{}", new_writer_mark()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        std::fs::write(folder.join("admin"), ADMIN_TOKEN).expect("a token file");
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
        let authority = CertificateAuthority::new(&folder).expect("an authority");
        let settings: Vec<NodeSettings> = (0..size.nodes)
            .map(|index| NodeSettings {
                peer_tls: Some(authority.issue(&[&node_id(index)]).expect("a certificate")),
                ..node_settings(index, [table, object, vm_list], &folder)
            })
            .collect();
        entries.extend(settings.iter().map(node_entry));
        entries.extend(rule_entries(size.replicas));
        let client = Client::new().expect("HTTP client");
        let store = HttpTableStore::new(client.clone(), format!("http://{table}"));
        let log = ConfigLog::new(Rc::new(store));
        append(&log, entries).await;

        let (measured, others) = settings.split_first().expect("at least one node");
        let revisions: Vec<Arc<AtomicU64>> = others.iter().map(|_| Arc::default()).collect();
        let peers: Vec<(NodeSettings, Arc<AtomicU64>)> =
            others.iter().cloned().zip(revisions.iter().cloned()).collect();
        // The first node that runs takes the planner lease.
        let early = is_planner.then(|| start_process(measured, &folder));
        if is_planner {
            compio::time::sleep(Duration::from_secs(1)).await;
        }
        for chunk in peers.chunks(NODES_A_THREAD) {
            threads.start_nodes(chunk.to_vec());
        }
        let node = early.unwrap_or_else(|| start_process(measured, &folder));
        let node_address = measured.listen.parse().expect("an address");
        let fleet = Self {
            size,
            node,
            node_address,
            table,
            client,
            log,
            revisions,
            _threads: threads,
            folder,
        };
        let is_serving = wait_until(START_TIME, async || {
            let status = fleet.read_json(node_address, "/admin/status").await;
            let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
            // At most the replicas whose reporter set has the node are served from it.
            let is_any_served = replicas.iter().any(|replica| replica["serving"] == true);
            replicas.len() >= size.replicas && is_any_served
        })
        .await;
        if !is_serving {
            println!("{size:?}: the measured node serves nothing after {START_TIME:?}");
        }
        compio::time::sleep(SETTLE).await;
        fleet
    }

    /// Measures for `time` with `changes` configuration changes a second.
    pub(super) async fn measure(&self, changes: f64, time: Duration) -> CapacityPoint {
        let traffic_before = self.read_counters().await;
        let store_before = self.read_json(self.table, "/stats").await;
        let used_before = self.node.cpu_time();
        let started = Instant::now();
        let (accepted, mut delays) =
            futures_util::join!(self.make_changes(changes, time), self.watch(started + time));
        let seconds = started.elapsed().as_secs_f64();
        let used = (self.node.cpu_time() - used_before).as_secs_f64();
        let store_after = self.read_json(self.table, "/stats").await;
        let traffic_after = self.read_counters().await;
        let store_rate = |name: &str| {
            let count = |stats: &Value| stats[name].as_f64().unwrap_or(0.0);
            (count(&store_after) - count(&store_before)) / seconds
        };
        // Changes that are not in force yet are waited for, outside of the other figures.
        delays.extend(self.watch(Instant::now() + IN_FORCE_TIME).await);
        let mut in_force = in_force_times(&accepted, &delays);
        CapacityPoint {
            size: self.size,
            changes,
            accepted: accepted.len(),
            traffic: traffic_rates(&traffic_before, &traffic_after, seconds),
            core_percent: 100.0 * used / seconds,
            resident_mb: self.node.resident_bytes() as f64 / 1e6,
            store_reads: store_rate("reads"),
            store_writes: store_rate("writes"),
            in_force: in_force.len(),
            in_force_ms: spread(&mut in_force),
        }
    }

    /// Appends changes until `time` is over; returns each revision with the time of its acceptance.
    async fn make_changes(&self, changes: f64, time: Duration) -> Vec<(u64, Instant)> {
        let mut accepted = Vec::new();
        let started = Instant::now();
        if changes <= 0.0 {
            compio::time::sleep(time).await;
            return accepted;
        }
        while started.elapsed() < time {
            let due = started + Duration::from_secs_f64((accepted.len() + 1) as f64 / changes);
            compio::time::sleep(due.saturating_duration_since(Instant::now())).await;
            let revision = append(&self.log, vec![changed_entry(accepted.len())]).await;
            accepted.push((revision, Instant::now()));
        }
        accepted
    }

    /// Notes when each lowest revision in force on the peers was reached.
    async fn watch(&self, until: Instant) -> Vec<(u64, Instant)> {
        let mut steps = Vec::new();
        let mut last = 0;
        while Instant::now() < until {
            let revisions = self.revisions.iter().map(|revision| revision.load(Ordering::Relaxed));
            let lowest = revisions.min().unwrap_or(0);
            if lowest > last {
                steps.push((lowest, Instant::now()));
                last = lowest;
            }
            compio::time::sleep(POLL).await;
        }
        steps
    }

    async fn read_counters(&self) -> super::point::TrafficCounts {
        let url = format!("http://{}/metrics", self.node_address);
        let text = match self.client.get(url).expect("a request").send().await {
            Ok(response) => response.text().await.unwrap_or_default(),
            Err(_) => String::new(),
        };
        read_traffic(&text)
    }

    async fn read_json(&self, address: SocketAddr, path: &str) -> Value {
        let exchange = async {
            let builder = self.client.get(format!("http://{address}{path}")).ok()?;
            builder.bearer_auth(ADMIN_TOKEN).ok()?.send().await.ok()?.json().await.ok()
        };
        exchange.await.unwrap_or_default()
    }
}

/// Time in ms from each acceptance to the first step at or above its revision.
fn in_force_times(accepted: &[(u64, Instant)], steps: &[(u64, Instant)]) -> Vec<f64> {
    let reached =
        |revision: u64| steps.iter().filter(|(step, _)| *step >= revision).map(|(_, at)| *at).min();
    accepted
        .iter()
        .filter_map(|(revision, at)| Some((reached(*revision)?, at)))
        .map(|(reached, at)| reached.saturating_duration_since(*at).as_secs_f64() * 1e3)
        .collect()
}

/// Appends a change after the newest revision, again if another writer was faster.
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

fn start_process(settings: &NodeSettings, folder: &std::path::Path) -> ChildProcess {
    let path = folder.join("node.toml");
    std::fs::write(&path, toml::to_string(settings).expect("settings")).expect("a settings file");
    let arguments = ["--settings".as_ref(), path.as_os_str()];
    let log = folder.join("node.log");
    ChildProcess::spawn(&sibling_binary("eelgrassdeal-node"), &arguments, Some(&log))
        .expect("the node starts")
}

fn node_id(index: usize) -> String {
    format!("entry-{index:03}")
}

fn centre_id(index: usize) -> String {
    format!("dc{}", index % CENTRES)
}

fn node_settings(
    index: usize,
    [table, object, vm_list]: [SocketAddr; 3],
    folder: &std::path::Path,
) -> NodeSettings {
    with_defaults(NodeSettings {
        node: node_id(index),
        data_centre: centre_id(index),
        listen: free_address().to_string(),
        peer_listen: free_address().to_string(),
        table_url: format!("http://{table}"),
        object_url: format!("http://{object}"),
        vm_list_url: format!("http://{vm_list}"),
        admin_token_file: folder.join("admin").display().to_string(),
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

/// A change of the size of a replaced VM, on a VM that no group uses.
fn changed_entry(count: usize) -> Body {
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

fn rule_entries(replicas: usize) -> Vec<Body> {
    let mut bodies: Vec<Body> = (0..CENTRES)
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
