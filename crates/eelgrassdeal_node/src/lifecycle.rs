//! Starts and shuts down a node.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use cyper::Client;
use eelgrassdeal_peers::{PeerEndpoint, PeerSettings};
use eelgrassdeal_schema::settings::NodeSettings;
use eelgrassdeal_store::{
    ConfigLog, HttpObjectStore, HttpTableStore, HttpVmList, IdempotencyStore, ObjectStore,
    TableStore,
};
use error_stack::{Report, ResultExt};
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::admin::install_metrics;
use crate::fleet_sync::{poll_config, poll_vm_list, probe_replicas, run_planner, write_heartbeats};
use crate::http::{accept_connections, load_tls_acceptor};
use crate::slots::{handle_peer_request, ping_peers, send_reports};
use crate::state::{NodePhase, NodeState, PlatformClients, SecretTokens};

/// A shutdown waits this long twice: after the lifetime of locator replies, before it refuses new
/// requests, and then again before it closes idle connections.
const SHUTDOWN_MARGIN: Duration = Duration::from_secs(1);
/// How often the drain checks whether connections are left.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How often a running node checks whether a signal asked it to stop.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The node cannot be started.
#[derive(Debug)]
pub struct NodeError;

impl fmt::Display for NodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the node cannot run")
    }
}

impl std::error::Error for NodeError {}

/// A node that runs in this process. Dropping it aborts its tasks at once, like a crash of the
/// process.
pub struct NodeHandle {
    state: Rc<NodeState>,
    address: SocketAddr,
    #[expect(dead_code, reason = "dropping the handles ends the tasks")]
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for NodeHandle {
    fn drop(&mut self) {
        self.state.front.tasks.abort_all();
    }
}

impl NodeHandle {
    /// Address at which the node accepts connections of callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Revision of the active configuration of this node.
    pub fn revision(&self) -> u64 {
        self.state.fleet().revision()
    }

    /// Bytes that are queued for all callers at present.
    pub fn buffered_bytes(&self) -> u64 {
        self.state.memory_budget.used_bytes()
    }

    /// Peak number of bytes queued for all callers together since the start.
    pub fn peak_buffered_bytes(&self) -> u64 {
        self.state.memory_budget.peak_bytes()
    }

    /// Peak number of bytes buffered for any one caller since the start. A byte counts as buffered
    /// until it is written to the caller's socket.
    pub fn peak_stream_bytes(&self) -> usize {
        self.state.memory_budget.peak_stream_bytes()
    }

    /// Number of requests that hold a slot of a replica at present.
    pub fn in_flight(&self) -> u32 {
        self.state.in_flight.get()
    }

    /// Shuts the node down gracefully: removes it from its own locator replies (other nodes still
    /// list it), waits until cached replies have expired, refuses new requests, closes each
    /// connection once its request is answered, and returns when no connection and no request is
    /// left or the drain timeout has passed.
    pub async fn shut_down(self) {
        let state = &self.state;
        state.phase.set(NodePhase::Leaving);
        let ttl = Duration::from_millis(u64::from(state.limits.locate_ttl_ms));
        compio::time::sleep(ttl + SHUTDOWN_MARGIN).await;
        state.phase.set(NodePhase::Draining);
        state.slots.borrow_mut().holder.release_allowances();
        // Calls on idle connections are still answered during this time, with a refusal that names
        // the reason. Then idle connections are closed.
        compio::time::sleep(SHUTDOWN_MARGIN).await;
        state.front.close_signal.send();
        let drain = async {
            while state.connections.get() > 0 || state.in_flight.get() > 0 {
                compio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        let drain_timeout = Duration::from_millis(u64::from(state.limits.drain_timeout_ms));
        if compio::time::timeout(drain_timeout, drain).await.is_err() {
            let (requests, connections) = (state.in_flight.get(), state.connections.get());
            log::warn!(
                "drain timeout expired with {requests} requests and {connections} connections left"
            );
        }
    }
}

/// Starts a node from settings that were loaded and checked.
///
/// # Errors
///
/// If an address cannot be bound, or a token, certificate or key file cannot be read.
pub async fn start_node(settings: NodeSettings) -> Result<NodeHandle, Report<NodeError>> {
    install_metrics();
    let secrets = SecretTokens {
        platform: read_secret(&settings.platform_token_file)?,
        admin: read_secret(&settings.admin_token_file)?,
        order: read_secret(&settings.order_token_file)?,
    };
    let tls = load_tls_acceptor(&settings.tls.clone().unwrap_or_default())?;
    let client = Client::new().change_context(NodeError)?;
    let platform = create_platform_clients(&settings, &secrets, &client);
    let listen = settings.listen.clone();
    let listener = TcpListener::bind(&listen)
        .await
        .change_context(NodeError)
        .attach_with(|| format!("listen = {listen:?}"))?;
    let address = listener.local_addr().change_context(NodeError)?;
    let endpoint = bind_peer_endpoint(&settings).await?;
    let state = Rc::new(NodeState::new(&settings, secrets, platform, client));
    *state.peers.borrow_mut() = Some(endpoint.client());
    let tasks = vec![
        compio::runtime::spawn(accept_connections(state.clone(), listener, tls)),
        compio::runtime::spawn(poll_config(state.clone())),
        compio::runtime::spawn(probe_replicas(state.clone())),
        compio::runtime::spawn(run_planner(state.clone())),
        compio::runtime::spawn(poll_vm_list(state.clone())),
        compio::runtime::spawn(write_heartbeats(state.clone())),
        compio::runtime::spawn(send_reports(state.clone())),
        compio::runtime::spawn(ping_peers(state.clone())),
        compio::runtime::spawn(serve_peers(state.clone(), endpoint)),
    ];
    log::info!("node {} listens on {address}", state.node);
    Ok(NodeHandle { state, address, tasks })
}

/// Runs a node until the process receives SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
///
/// If the node cannot be started, as in [`start_node`].
pub async fn run_node(settings: NodeSettings) -> Result<(), Report<NodeError>> {
    // The handlers stay installed, so that a second signal does not end the process during the
    // shutdown.
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop.clone()).change_context(NodeError)?;
    }
    let handle = start_node(settings).await?;
    while !stop.load(Ordering::Relaxed) {
        compio::time::sleep(SIGNAL_POLL_INTERVAL).await;
    }
    log::info!("shutting down");
    handle.shut_down().await;
    log::info!("shut down");
    Ok(())
}

async fn bind_peer_endpoint(settings: &NodeSettings) -> Result<PeerEndpoint, Report<NodeError>> {
    let listen = settings.peer_listen.parse().change_context(NodeError)?;
    let tls = settings.peer_tls.clone().unwrap_or_default();
    PeerEndpoint::bind(&PeerSettings::new(listen, tls))
        .await
        .change_context(NodeError)
        .attach_with(|| format!("peer_listen = {listen}"))
}

async fn serve_peers(state: Rc<NodeState>, endpoint: PeerEndpoint) {
    endpoint.serve(move |request| handle_peer_request(state.clone(), request)).await;
}

fn create_platform_clients(
    settings: &NodeSettings,
    secrets: &SecretTokens,
    client: &Client,
) -> PlatformClients {
    let token = secrets.platform.clone();
    let table: Rc<dyn TableStore> =
        Rc::new(HttpTableStore::new(client.clone(), &settings.table_url).with_token(token.clone()));
    let object: Rc<dyn ObjectStore> =
        Rc::new(HttpObjectStore::new(client.clone(), &settings.object_url).with_token(token));
    PlatformClients {
        vm_list: Rc::new(HttpVmList::new(client.clone(), &settings.vm_list_url)),
        log: ConfigLog::new(table.clone()).with_objects(object),
        idempotency_store: IdempotencyStore::new(table.clone()),
        table,
    }
}

/// Reads a token from a file, without surrounding white space; `None` if `path` is empty.
fn read_secret(path: &str) -> Result<Option<String>, Report<NodeError>> {
    if path.is_empty() {
        return Ok(None);
    }
    let text = std::fs::read_to_string(Path::new(path))
        .change_context(NodeError)
        .attach_with(|| format!("token file {path:?}"))?;
    Ok(Some(text.trim().to_owned()))
}
