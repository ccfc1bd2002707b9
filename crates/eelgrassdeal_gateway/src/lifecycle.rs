//! Startup, settings reload and graceful shutdown of a gateway.

use std::cell::RefCell;
use std::fmt;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use eelgrassdeal_dispatch::{GatewaySettings, NodeStage, SharedTable};
use eelgrassdeal_logging::dropped_lines;
use eelgrassdeal_platform::{SettingsError, parse_settings, read_settings};
use error_stack::{Report, ResultExt};
use futures_util::future::join_all;

use crate::connection_limit::ConnectionLimit;
use crate::crash::{decide_quarantines, maintain_stored_quarantines};
use crate::duty::run_duties;
use crate::follow::{follow_table, register_node};
use crate::front::FrontHandler;
use crate::listener::OpenListener;
use crate::locator::LocatorHandler;
use crate::metrics_export::install_metrics;
use crate::notice::take_back_upstreams;
use crate::peers::{PeerHandler, exchange_messages, sync_with_partners};
use crate::placing::run_waiting_room;
use crate::plan::run_planner;
use crate::rate_limit::expire_limits;
use crate::server::RequestHandler;
use crate::signals::{ProcessSignals, SignalListener};
use crate::state::GatewayState;
use crate::tasks::spawn_restarting;

/// Time for which a leaving node still accepts requests: callers may have cached its address from
/// the locator.
pub(crate) const DRAIN_ACCEPT_PERIOD: Duration = Duration::from_millis(2_500);
/// Fraction of the descriptors for the connections of callers. Each request needs another one for its
/// upstream.
const FRONT_FRACTION: f64 = 0.45;
/// Fraction of the descriptors for connections to the locator.
const LOCATOR_FRACTION: f64 = 0.1;
/// Part of the time until SIGKILL that is reserved for closing connections.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Time without a new request, a request in progress and a response that the system has not taken, after
/// which a leaving node that has closed its listeners exits.
const FLUSH_PERIOD: Duration = Duration::from_millis(200);
/// Timeout of the last exchange of messages, which has to fit into `KILL_MARGIN`.
const LAST_SYNC_TIMEOUT: Duration = Duration::from_millis(200);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the settings file is checked for changes, which may come without a SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);
/// A sleep that took this much longer than requested means that the process was stalled.
const PROCESS_STALL_THRESHOLD: Duration = Duration::from_millis(100);
/// The request counts and cold shares of removed upstreams are dropped once in this many rounds of
/// housekeeping.
const CLEANUP_ROUNDS: u32 = 50;

/// The gateway failed to start.
#[derive(Debug)]
pub struct GatewayError;

impl fmt::Display for GatewayError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the gateway failed to start")
    }
}

impl std::error::Error for GatewayError {}

/// Log lines that were dropped, as far as housekeeping has dealt with them.
#[derive(Default)]
struct DroppedLines {
    /// Number in the last round.
    seen: usize,
    /// Number that the log tells of.
    reported: usize,
}

/// Runs a gateway until SIGTERM or SIGINT, and then shuts it down gracefully. The settings file
/// `path` is reloaded on SIGHUP and when its content changes.
///
/// # Errors
///
/// Returns an error when a listen address cannot be bound.
pub async fn run_gateway(
    settings: GatewaySettings,
    path: PathBuf,
    signals: ProcessSignals,
) -> Result<(), Report<GatewayError>> {
    install_metrics();
    let state = Rc::new(GatewayState::new(settings));
    let settings = state.settings();
    let front = Rc::new(FrontHandler::new(state.clone()));
    let locator = Rc::new(LocatorHandler::new(state.clone()));
    let peers = Rc::new(PeerHandler::new(state.clone()));
    let limited = |fraction| ConnectionLimit::new(settings.max_descriptors, fraction);
    let (front_limit, locator_limit) = (limited(FRONT_FRACTION), limited(LOCATOR_FRACTION));
    let unlimited = ConnectionLimit::unlimited;
    let listen_at = &settings.listen;
    let listeners = [
        listen(&state, Some(&listen_at.peers), peers, unlimited()).await?,
        listen(&state, listen_at.front.as_ref(), front, front_limit).await?,
        listen(&state, listen_at.locator.as_ref(), locator.clone(), locator_limit).await?,
        listen(&state, listen_at.readiness.as_ref(), locator, unlimited()).await?,
    ];
    log::info!(
        "event=start node={} data_centre={} version={} listen={:?}",
        settings.node,
        settings.data_centre,
        env!("CARGO_PKG_VERSION"),
        settings.listen
    );
    for table in SharedTable::ALL {
        let state = state.clone();
        spawn_restarting("follow_table", move || follow_table(state.clone(), table));
    }
    spawn_with_state(&state, "register_node", register_node);
    spawn_with_state(&state, "exchange_messages", exchange_messages);
    spawn_with_state(&state, "planner", run_planner);
    if !settings.duties.duties.is_empty() {
        spawn_with_state(&state, "duties", run_duties);
    }
    spawn_with_state(&state, "waiting_room", run_waiting_room);
    spawn_with_state(&state, "housekeeping", run_housekeeping);
    spawn_with_state(&state, "sweep_upstreams", |state| state.upstream_pool.clone().sweep());
    spawn_with_state(&state, "sweep_control", |state| state.control_pool.clone().sweep());
    let (mut stop, reload) = signals.into_listeners().change_context(GatewayError)?;
    let file = Rc::new(SettingsFile::new(path));
    compio::runtime::spawn(reload_on_signal(state.clone(), file.clone(), reload)).detach();
    compio::runtime::spawn(reload_on_change(state.clone(), file)).detach();
    stop.wait().await;
    shut_down(&state, listeners.into_iter().flatten().collect()).await;
    Ok(())
}

fn spawn_with_state<F: Future<Output = ()> + 'static>(
    state: &Rc<GatewayState>,
    name: &'static str,
    start: impl Fn(Rc<GatewayState>) -> F + 'static,
) {
    let state = state.clone();
    spawn_restarting(name, move || start(state.clone()));
}

async fn listen<H: RequestHandler>(
    state: &Rc<GatewayState>,
    address: Option<&Arc<str>>,
    handler: Rc<H>,
    limit: Rc<ConnectionLimit>,
) -> Result<Option<OpenListener>, Report<GatewayError>> {
    let Some(address) = address else { return Ok(None) };
    let socket = TcpListener::bind(&**address)
        .await
        .change_context(GatewayError)
        .attach_with(|| format!("listen address {address}"))?;
    Ok(Some(OpenListener::new(state, socket, handler, limit)))
}

/// Shuts down gracefully. The node disappears from locator responses at once and accepts requests
/// for `DRAIN_ACCEPT_PERIOD`. When that period is over, no request is in progress and all responses are
/// written, it closes its listeners, and returns once no request has come for `FLUSH_PERIOD`, at the latest
/// `KILL_MARGIN` before SIGKILL. `FLUSH_PERIOD` earlier the requests in progress end, so that their
/// callers learn of it.
async fn shut_down(state: &Rc<GatewayState>, listeners: Vec<OpenListener>) {
    let started = Instant::now();
    log::info!("event=leaving in_flight={}", state.in_flight.get());
    state.stage.set(NodeStage::Leaving);
    state.leaving_since.set(Some(started));
    let grace = state.settings().limits.shutdown_grace;
    let drain_limit = started + grace.saturating_sub(KILL_MARGIN);
    let requests_end = drain_limit.checked_sub(FLUSH_PERIOD).unwrap_or(started).max(started);
    state.requests_end.set(Some(requests_end));
    sync_with_partners(state).await;
    let accept_end = requests_end.min(started + DRAIN_ACCEPT_PERIOD);
    compio::time::sleep(accept_end.saturating_duration_since(Instant::now())).await;
    while is_in_use(state) && Instant::now() < requests_end {
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    // Requests are only refused from now on, and need no descriptors for upstreams.
    listeners.iter().for_each(OpenListener::lift_limit);
    join_all(listeners.into_iter().map(|listener| listener.close(drain_limit))).await;
    wait_until_unused(state, drain_limit).await;
    if state.usage.is_some() {
        // The counts of the last round, which the other nodes lack.
        let _ = compio::time::timeout(LAST_SYNC_TIMEOUT, sync_with_partners(state)).await;
    }
    log::info!(
        "event=stop in_flight={} unflushed={} took_ms={}",
        state.in_flight.get(),
        state.unflushed.get(),
        started.elapsed().as_millis()
    );
}

/// Whether a request is being received or in progress, or a response that the system has not taken.
fn is_in_use(state: &GatewayState) -> bool {
    state.heads.get() + state.in_flight.get() + state.unflushed.get() > 0
}

/// Waits until the node has not been in use for `FLUSH_PERIOD`, or `deadline`.
async fn wait_until_unused(state: &GatewayState, deadline: Instant) {
    let (mut used_at, mut begun) = (Instant::now(), state.begun_requests.get());
    while used_at.elapsed() < FLUSH_PERIOD && Instant::now() < deadline {
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
        // A refusal takes less time than the interval.
        if is_in_use(state) || begun != state.begun_requests.get() {
            used_at = Instant::now();
            begun = state.begun_requests.get();
        }
    }
}

/// Periodic maintenance: removes upstreams whose grace period has ended, marks the node as serving
/// once its tables are loaded, and drops the state of removed upstreams. After a stall of this
/// process, it restarts the measurement of the upstreams' silence, since the process could not read
/// their data.
async fn run_housekeeping(state: Rc<GatewayState>) {
    let mut rounds = 0;
    let mut logged_drops = DroppedLines::default();
    loop {
        log_dropped_lines(&mut logged_drops);
        state.mirror.borrow_mut().remove_missing(Instant::now());
        decide_quarantines(&state);
        take_back_upstreams(&state);
        expire_limits(&state);
        if state.stage.get() == NodeStage::Starting && state.mirror.borrow().is_loaded() {
            state.stage.set(NodeStage::Serving);
            log::info!("event=ready");
            sync_with_partners(&state).await;
        }
        rounds += 1;
        if rounds % CLEANUP_ROUNDS == 0 {
            let view = state.view();
            state.loads.borrow_mut().retain(|upstream| view.upstreams.contains_key(upstream));
            let mut cold_shares = state.cold_shares.borrow_mut();
            cold_shares.retain(|upstream, _| view.upstreams.contains_key(upstream));
            state.crash_ledger.borrow_mut().remove_expired(Instant::now());
            if state.is_planner.get() {
                maintain_stored_quarantines(&state);
            }
        }
        let sleep_started_at = Instant::now();
        compio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        if sleep_started_at.elapsed() > HOUSEKEEPING_INTERVAL + PROCESS_STALL_THRESHOLD {
            let now = Instant::now();
            state.resumed_at.set(now);
            state.loads.borrow_mut().reset_progress_times(now);
        }
    }
}

/// Logs how many log lines were dropped, once no more are.
fn log_dropped_lines(logged: &mut DroppedLines) {
    let dropped = dropped_lines();
    if dropped > logged.reported && dropped == logged.seen {
        log::warn!("event=log_lines_dropped lines={}", dropped - logged.reported);
        // Logged again if the line itself was dropped.
        if dropped_lines() == dropped {
            logged.reported = dropped;
        }
    }
    logged.seen = dropped;
}

async fn reload_on_signal(
    state: Rc<GatewayState>,
    file: Rc<SettingsFile>,
    mut signals: SignalListener,
) {
    loop {
        signals.wait().await;
        file.reload(&state);
    }
}

async fn reload_on_change(state: Rc<GatewayState>, file: Rc<SettingsFile>) {
    loop {
        compio::time::sleep(SETTINGS_POLL_INTERVAL).await;
        file.reload_if_changed(&state);
    }
}

/// The settings file, and its text when it was last loaded.
///
/// A load may find a part of a file that is being written, and the part may be valid. The file is loaded
/// again whenever its text differs from the one that was loaded, so that the part doesn't stay.
struct SettingsFile {
    path: PathBuf,
    loaded: RefCell<Option<String>>,
}

impl SettingsFile {
    fn new(path: PathBuf) -> Self {
        let loaded = RefCell::new(read_settings(&path).ok());
        Self { path, loaded }
    }

    /// Loads the file and applies it.
    fn reload(&self, state: &GatewayState) {
        match read_settings(&self.path) {
            Ok(text) => self.apply(state, text),
            Err(report) => self.log_failure(&report),
        }
    }

    fn reload_if_changed(&self, state: &GatewayState) {
        match read_settings(&self.path) {
            Ok(text) if self.loaded.borrow().as_ref() != Some(&text) => self.apply(state, text),
            // A file that is missing for a moment is being replaced.
            Ok(_) | Err(_) => {}
        }
    }

    /// Applies the text of the file. Listen addresses that are already bound do not change.
    fn apply(&self, state: &GatewayState, text: String) {
        match parse_settings(&self.path, &text) {
            Ok(settings) => {
                log::info!(
                    "event=reload file={} changed={}",
                    self.path.display(),
                    settings != *state.settings()
                );
                state.set_settings(settings);
            }
            Err(report) => self.log_failure(&report),
        }
        *self.loaded.borrow_mut() = Some(text);
    }

    /// Logs a failed load in one line. The `Debug` output of a report has many, with a backtrace whose
    /// symbols take long to find.
    fn log_failure(&self, report: &Report<SettingsError>) {
        let reason = format!("{report:#}");
        log::error!("event=reload_failed file={} reason={reason:?}", self.path.display());
    }
}
