//! Start and shutdown of a node.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
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

use crate::admin::install_metrics;
use crate::fleet_sync::{poll_config, poll_vm_list, probe_replicas, run_planner, write_heartbeats};
use crate::http::{accept_connections, read_acceptor};
use crate::slots::{handle_peer_request, ping_peers, send_reports};
use crate::state::{NodePhase, NodeState, PlatformAccess, SecretTokens};

/// Added to the lifetime of locator answers before new work is refused.
const LEAVE_MARGIN: Duration = Duration::from_secs(1);
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// The node cannot start.
#[derive(Debug)]
pub struct NodeError;

impl fmt::Display for NodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the node cannot run")
    }
}

impl std::error::Error for NodeError {}

/// A node that runs in this process. Dropping it stops its tasks at once, as a crash would.
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
    /// Address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Revision of the configuration in force on this node.
    pub fn revision(&self) -> u64 {
        self.state.fleet().revision()
    }

    /// Bytes queued for all callers now.
    pub fn buffered_bytes(&self) -> u64 {
        self.state.memory.held()
    }

    /// Most bytes that were queued for all callers at once.
    pub fn peak_buffered_bytes(&self) -> u64 {
        self.state.memory.peak()
    }

    /// Most bytes that were held for one caller at once and not written to its socket.
    pub fn peak_stream_bytes(&self) -> usize {
        self.state.memory.stream_peak()
    }

    /// Requests that hold a slot of a replica now.
    pub fn in_flight(&self) -> u32 {
        self.state.in_flight.get()
    }

    /// Leaves the locator, waits until cached answers of it have expired, refuses new work, closes
    /// each connection when its request is answered, and returns when no connection is left.
    pub async fn shut_down(self) {
        let state = &self.state;
        state.phase.set(NodePhase::Leaving);
        let ttl = Duration::from_millis(u64::from(state.limits.locate_ttl_ms));
        compio::time::sleep(ttl + LEAVE_MARGIN).await;
        state.phase.set(NodePhase::Draining);
        state.slots.borrow_mut().holder.release_allowances();
        // Callers that use an idle connection now are answered; after this time idle connections
        // are closed.
        compio::time::sleep(LEAVE_MARGIN).await;
        state.front.closing.send();
        let drain = async {
            while state.connections.get() > 0 || state.in_flight.get() > 0 {
                compio::time::sleep(DRAIN_POLL).await;
            }
        };
        let patience = Duration::from_millis(u64::from(state.limits.drain_timeout_ms));
        if compio::time::timeout(patience, drain).await.is_err() {
            let (requests, connections) = (state.in_flight.get(), state.connections.get());
            log::warn!("{requests} requests and {connections} connections at the end of the drain");
        }
    }
}

/// Starts a node from settings that were loaded and checked.
///
/// # Errors
///
/// When an address cannot be bound or a file with a secret or certificate cannot be read.
pub async fn start_node(settings: NodeSettings) -> Result<NodeHandle, Report<NodeError>> {
    install_metrics();
    let secrets = SecretTokens {
        platform: read_secret(&settings.platform_token_file)?,
        admin: read_secret(&settings.admin_token_file)?,
        order: read_secret(&settings.order_token_file)?,
    };
    let tls = read_acceptor(&settings.tls.clone().unwrap_or_default())?;
    let client = Client::new().change_context(NodeError)?;
    let platform = open_platform(&settings, &secrets, &client);
    let listen = settings.listen.clone();
    let listener = TcpListener::bind(&listen)
        .await
        .change_context(NodeError)
        .attach_with(|| format!("listen = {listen:?}"))?;
    let address = listener.local_addr().change_context(NodeError)?;
    let endpoint = open_endpoint(&settings).await?;
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

/// Runs a node until SIGTERM or SIGINT, and shuts it down gracefully.
///
/// # Errors
///
/// When the node cannot start.
pub async fn run_node(settings: NodeSettings) -> Result<(), Report<NodeError>> {
    use compio::signal::unix::signal;
    const SIGINT: i32 = 2;
    const SIGTERM: i32 = 15;
    let handle = start_node(settings).await?;
    let terminate = std::pin::pin!(signal(SIGTERM));
    let interrupt = std::pin::pin!(signal(SIGINT));
    futures_util::future::select(terminate, interrupt).await;
    log::info!("shutting down");
    handle.shut_down().await;
    log::info!("shut down");
    Ok(())
}

async fn open_endpoint(settings: &NodeSettings) -> Result<PeerEndpoint, Report<NodeError>> {
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

fn open_platform(
    settings: &NodeSettings,
    secrets: &SecretTokens,
    client: &Client,
) -> PlatformAccess {
    let token = secrets.platform.clone();
    let table: Rc<dyn TableStore> =
        Rc::new(HttpTableStore::new(client.clone(), &settings.table_url).with_token(token.clone()));
    let object: Rc<dyn ObjectStore> =
        Rc::new(HttpObjectStore::new(client.clone(), &settings.object_url).with_token(token));
    PlatformAccess {
        vm_list: Rc::new(HttpVmList::new(client.clone(), &settings.vm_list_url)),
        log: ConfigLog::new(table.clone()).with_objects(object),
        ledger: IdempotencyStore::new(table.clone()),
        table,
    }
}

fn read_secret(path: &str) -> Result<Option<String>, Report<NodeError>> {
    if path.is_empty() {
        return Ok(None);
    }
    let text = std::fs::read_to_string(Path::new(path))
        .change_context(NodeError)
        .attach_with(|| format!("secret file {path:?}"))?;
    Ok(Some(text.trim().to_owned()))
}
