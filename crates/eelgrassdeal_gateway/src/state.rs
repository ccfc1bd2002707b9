//! State that all tasks of a gateway share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{
    BufferBudget, ColdLimit, ColdShare, CrashLedger, FleetView, GatewaySettings, LimitTracker,
    LoadTracker, NodeDirectory, NodeHeartbeat, NodeStage, NoticeTracker, RetryShare, ServiceConfig,
    SharedTable, SnapshotBudget, TableChanges, TableTimings, TermLease, TrafficSummary,
    UpstreamRecord, UsualTimeout,
};
use eelgrassdeal_http::ConnectionPool;
use eelgrassdeal_logging::LogLimiter;
use eelgrassdeal_platform::{OrderClient, PlatformStore};
use eelgrassdeal_types::{FencingNumber, ServiceId, UpstreamId, fencing_era};
use event_listener::Event;

use crate::crash::adopt_stored_quarantines;
use crate::duty::UsageState;
use crate::mirror::StoreMirror;
use crate::placing::WaitingRoom;

/// A node counts the store as lost when its calls have had no answer for this long.
const STORE_LOST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Added to the allowed age of a table copy, `TableTimings::max_age`. If a copy is not confirmed as
/// current for longer than the sum, the store was unavailable or this node was partitioned.
const OUTAGE_MARGIN: Duration = Duration::from_millis(400);

/// Tracks whether the store answers this node.
#[derive(Debug, Default)]
pub(crate) struct StoreConnectivity {
    last_answer: Cell<Option<Instant>>,
    /// Start of the first call that failed after the last answer; `None` if none failed.
    failing_since: Cell<Option<Instant>>,
    is_lost: Cell<bool>,
}

impl StoreConnectivity {
    /// Records that the store answered a call.
    pub(crate) fn record_success(&self, now: Instant) {
        self.last_answer.set(Some(now));
        self.failing_since.set(None);
        if self.is_lost.replace(false) {
            log::info!("event=store_regained");
        }
    }

    /// Records that a call which started at `called_at` failed.
    pub(crate) fn record_failure(&self, called_at: Instant, now: Instant) {
        let since = self.failing_since.get().unwrap_or(called_at);
        self.failing_since.set(Some(since));
        let age = now.saturating_duration_since(since);
        if age >= STORE_LOST_TIMEOUT && !self.is_lost.replace(true) {
            log::warn!("event=store_lost failing_for_ms={}", age.as_millis());
        }
    }

    /// Whether the store answered within `STORE_LOST_TIMEOUT`.
    pub(crate) fn has_recent_answer(&self, now: Instant) -> bool {
        self.last_answer
            .get()
            .is_some_and(|at| now.saturating_duration_since(at) < STORE_LOST_TIMEOUT)
    }

    /// Whether calls have failed for at least `STORE_LOST_TIMEOUT` without an answer. A node that
    /// makes no calls does not count the store as lost.
    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost.get()
    }
}

/// Time for which a report that an upstream was silent is forwarded to other nodes and considered
/// by the planner.
const SILENCE_LIFETIME: Duration = Duration::from_millis(800);

/// Shortest time between two lines on headers of one kind that cannot be read.
const UNREADABLE_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Fraction of the memory limit of the process that the bodies of requests may hold.
const REQUEST_MEMORY_FRACTION: f64 = 0.4;
/// Fraction of the memory limit of the process that responses may hold.
const RESPONSE_MEMORY_FRACTION: f64 = 0.2;

/// Version of each table copy that a peer last reported.
pub(crate) type PeerVersions = HashMap<SharedTable, u64>;

/// State that all tasks of a gateway share.
pub(crate) struct GatewayState {
    settings: RefCell<Arc<GatewaySettings>>,
    /// Connections to upstreams, for callers' requests.
    pub(crate) upstream_pool: ConnectionPool,
    /// Connections to the store and to other nodes, and for orders to upstreams.
    pub(crate) control_pool: ConnectionPool,
    pub(crate) store: PlatformStore,
    /// Sends the planner's orders and probes to upstreams.
    pub(crate) order_client: OrderClient,
    pub(crate) store_connectivity: StoreConnectivity,
    pub(crate) mirror: RefCell<StoreMirror>,
    pub(crate) directory: RefCell<NodeDirectory>,
    pub(crate) loads: RefCell<LoadTracker>,
    /// Crashes of upstreams, and what is refused because of them.
    pub(crate) crash_ledger: RefCell<CrashLedger>,
    /// Memory for the bodies of requests.
    pub(crate) request_budget: Arc<Mutex<BufferBudget>>,
    /// Memory for responses that are not forwarded yet.
    pub(crate) response_budget: Arc<Mutex<BufferBudget>>,
    /// What upstreams said of themselves.
    pub(crate) notices: RefCell<NoticeTracker>,
    /// Lines on pauses of upstreams that cannot be read.
    pub(crate) invalid_pause_log: LogLimiter,
    /// Rate limits that upstreams name.
    pub(crate) rate_limits: RefCell<LimitTracker>,
    /// Lines on rate limits of upstreams that cannot be read.
    pub(crate) unreadable_limit_log: LogLimiter,
    /// Notified when this node has observed a crash that it tells the other nodes of at once.
    pub(crate) crash_observed: Event,
    /// Requests that wait for an upstream with free capacity.
    pub(crate) waiting: WaitingRoom,
    /// Usual timeouts of the callers by route.
    usual_timeouts: RefCell<HashMap<Arc<str>, UsualTimeout>>,
    /// Upstreams that did not send expected data to this node or another, and when they were last
    /// observed to be silent.
    pub(crate) silent: RefCell<HashMap<UpstreamId, Instant>>,
    /// Table versions that other nodes last reported, by their peer address.
    pub(crate) peer_versions: RefCell<HashMap<Arc<str>, PeerVersions>>,
    /// When the heartbeats of all known nodes were last sent to a node: by its peer address if they
    /// were sent in a request, by its id if they were sent in a reply.
    pub(crate) heartbeats_sent_at: RefCell<HashMap<Arc<str>, Instant>>,
    /// When the rate limits of all upstreams were last sent to a node, by the same keys.
    pub(crate) limits_sent_at: RefCell<HashMap<Arc<str>, Instant>>,
    /// Limit on the snapshots of tables that are sent to other nodes.
    pub(crate) snapshot_budget: RefCell<SnapshotBudget>,
    /// Notified when a read of the store changed a table copy.
    pub(crate) store_changed: Event,
    /// This node's shares of the rate limits of cold upstreams. An upstream reports for how long it
    /// is still cold, that is, accepts requests only at a limited rate.
    pub(crate) cold_shares: RefCell<HashMap<UpstreamId, ColdShare>>,
    /// This node's shares of the retry budgets of services.
    pub(crate) retry_shares: RefCell<HashMap<ServiceId, RetryShare>>,
    pub(crate) stage: Cell<NodeStage>,
    /// When shutdown began; `None` while the node runs normally.
    pub(crate) leaving_since: Cell<Option<Instant>>,
    /// When all requests end because the node does.
    pub(crate) requests_end: Rc<Cell<Option<Instant>>>,
    /// Whether any node has received a caller's request, as far as this node knows.
    pub(crate) has_traffic: Cell<bool>,
    /// Whether this node holds the planner's lease.
    pub(crate) is_planner: Cell<bool>,
    /// The planner's lease as this node last acquired or renewed it; `None` if it has lost or released
    /// it.
    pub(crate) planner_lease: Cell<Option<TermLease>>,
    /// Fencing number under which the planner's lease is to be released.
    pub(crate) released_fencing: Cell<Option<FencingNumber>>,
    /// Until when this node leaves the planner's lease to other candidates.
    pub(crate) lease_left_until: Cell<Option<Instant>>,
    /// Notified when the planner's lease is to be released.
    pub(crate) lease_release: Event,
    /// Usage counts and reports; `None` if the deployment reports no usage.
    pub(crate) usage: Option<UsageState>,
    /// When this process last went on after a stall, initially its start.
    pub(crate) resumed_at: Cell<Instant>,
    /// Callers' requests in progress at this node.
    pub(crate) in_flight: Cell<u32>,
    /// Number of callers' requests that have begun.
    pub(crate) begun_requests: Cell<u64>,
    /// Number of connections with output that the system has not taken yet.
    pub(crate) unflushed: Rc<Cell<u32>>,
    /// Number of connections on which a part of a request's head has been received.
    pub(crate) heads: Rc<Cell<u32>>,
    /// Open connections that this node has accepted.
    pub(crate) connections: Cell<u32>,
}

impl GatewayState {
    pub(crate) fn new(settings: GatewaySettings) -> Self {
        let (upstream_pool, control_pool) = (ConnectionPool::new(), ConnectionPool::new());
        let own = NodeHeartbeat {
            node: settings.node.clone(),
            sequence: 0,
            stage: NodeStage::Starting,
            has_store: false,
            is_planner: false,
            front_address: settings.listen.front.clone().unwrap_or_else(|| Arc::from("")),
            peer_address: settings.listen.peers.clone(),
            data_centre: settings.data_centre.clone(),
            processor_share: settings.processor_share,
            age: Duration::ZERO,
        };
        let budget = |fraction: f64| {
            let bytes = settings.memory_bytes as f64 * fraction;
            Arc::new(Mutex::new(BufferBudget::new(bytes as usize)))
        };
        Self {
            request_budget: budget(REQUEST_MEMORY_FRACTION),
            response_budget: budget(RESPONSE_MEMORY_FRACTION),
            store: PlatformStore::new(control_pool.clone(), settings.store.address.clone()),
            order_client: OrderClient::new(control_pool.clone()),
            upstream_pool,
            control_pool,
            store_connectivity: StoreConnectivity::default(),
            mirror: RefCell::default(),
            directory: RefCell::new(NodeDirectory::new(own)),
            loads: RefCell::default(),
            crash_ledger: RefCell::default(),
            notices: RefCell::default(),
            invalid_pause_log: LogLimiter::new(UNREADABLE_LOG_INTERVAL),
            rate_limits: RefCell::default(),
            unreadable_limit_log: LogLimiter::new(UNREADABLE_LOG_INTERVAL),
            crash_observed: Event::new(),
            waiting: WaitingRoom::default(),
            usual_timeouts: RefCell::default(),
            silent: RefCell::default(),
            peer_versions: RefCell::default(),
            heartbeats_sent_at: RefCell::default(),
            limits_sent_at: RefCell::default(),
            snapshot_budget: RefCell::new(SnapshotBudget::new(
                settings.link_bytes_per_s,
                Instant::now(),
            )),
            store_changed: Event::new(),
            cold_shares: RefCell::default(),
            retry_shares: RefCell::default(),
            stage: Cell::new(NodeStage::Starting),
            leaving_since: Cell::new(None),
            requests_end: Rc::default(),
            has_traffic: Cell::new(false),
            is_planner: Cell::new(false),
            planner_lease: Cell::new(None),
            released_fencing: Cell::new(None),
            lease_left_until: Cell::new(None),
            lease_release: Event::new(),
            usage: UsageState::for_settings(&settings),
            resumed_at: Cell::new(Instant::now()),
            in_flight: Cell::new(0),
            begun_requests: Cell::new(0),
            unflushed: Rc::default(),
            heads: Rc::default(),
            connections: Cell::new(0),
            settings: RefCell::new(Arc::new(settings)),
        }
    }

    pub(crate) fn settings(&self) -> Arc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    pub(crate) fn set_settings(&self, settings: GatewaySettings) {
        *self.settings.borrow_mut() = Arc::new(settings);
    }

    pub(crate) fn config(&self) -> Option<Arc<ServiceConfig>> {
        self.mirror.borrow().config()
    }

    pub(crate) fn view(&self) -> Arc<FleetView> {
        self.mirror.borrow().view()
    }

    /// Era of the store: it rises when the store comes back from an older copy.
    pub(crate) fn store_era(&self) -> u64 {
        self.store.store_era()
    }

    /// The planner's lease as this node last acquired or renewed it. A lease of an earlier era of the
    /// store is none, as another node may hold it in the restored store.
    pub(crate) fn current_lease(&self) -> Option<TermLease> {
        self.planner_lease.get().filter(|lease| fencing_era(lease.fencing) >= self.store_era())
    }

    /// Has the planner release its lease, if it holds it under this fencing number, so that the number
    /// rises.
    pub(crate) fn request_lease_release(&self, fencing: FencingNumber) {
        self.released_fencing.set(Some(fencing));
        self.lease_release.notify(usize::MAX);
    }

    /// Number of nodes, including this one, among which the limits for all nodes together are
    /// divided.
    pub(crate) fn sharing_node_count(&self) -> usize {
        self.directory.borrow().sharing_node_count(Instant::now())
    }

    /// Takes one request from this node's share of the rate limit of a cold upstream. Returns false
    /// if the share is used up or this node may not send to the upstream; always true for a warm
    /// upstream and for a service without such a limit.
    pub(crate) fn try_take_cold_share(&self, record: &UpstreamRecord, now: Instant) -> bool {
        if !record.is_cold(now) {
            return true;
        }
        let config = self.config();
        let spec = config.as_ref().and_then(|config| config.services.get(&record.service));
        let per_s = spec.map_or(0.0, |spec| spec.cold_rate);
        if per_s <= 0.0 {
            return true;
        }
        let limits = &self.settings().limits;
        let bound = ColdLimit { per_s, overshoot: limits.cold_overshoot, slack: limits.cold_slack };
        let directory = self.directory.borrow();
        let senders = bound.sender_count(directory.sharing_node_count(now));
        if !directory.is_selected_for(&record.upstream, senders, now) {
            return false;
        }
        let mut shares = self.cold_shares.borrow_mut();
        let share = shares.entry(record.upstream.clone()).or_insert_with(|| ColdShare::new(now));
        share.try_take(now, &bound, senders)
    }

    /// Records that an upstream was silent at `at`, as observed by this node or reported by
    /// another.
    pub(crate) fn mark_silent(&self, upstream: &UpstreamId, at: Instant, now: Instant) {
        let mut silent = self.silent.borrow_mut();
        let known = silent.entry(upstream.clone()).or_insert(at);
        *known = at.max(*known);
        silent.retain(|_, at| now.saturating_duration_since(*at) < SILENCE_LIFETIME);
    }

    /// Whether an upstream was reported silent within `SILENCE_LIFETIME`.
    pub(crate) fn is_silent(&self, upstream: &UpstreamId, now: Instant) -> bool {
        let silent = self.silent.borrow();
        silent.get(upstream).is_some_and(|at| now.saturating_duration_since(*at) < SILENCE_LIFETIME)
    }

    /// Upstreams that were reported silent within `SILENCE_LIFETIME`, with the age of the last
    /// report.
    pub(crate) fn silent_upstreams(&self, now: Instant) -> Vec<(UpstreamId, Duration)> {
        self.silent
            .borrow()
            .iter()
            .map(|(upstream, at)| (upstream.clone(), now.saturating_duration_since(*at)))
            .filter(|(_, age)| *age < SILENCE_LIFETIME)
            .collect()
    }

    /// Watch timeout and allowed ages for copies of `table`.
    pub(crate) fn table_timings(&self, table: SharedTable) -> TableTimings {
        self.settings().limits.table_timings(table)
    }

    /// Applies `changes` to the copy of `table`. `fresh_at`, if known, is a time for which the
    /// resulting copy contains all writes that the store had accepted until then. Returns whether
    /// any row changed.
    pub(crate) fn update_table(
        &self,
        table: SharedTable,
        changes: Option<TableChanges>,
        fresh_at: Option<Instant>,
    ) -> bool {
        let now = Instant::now();
        let outage = self.table_timings(table).max_age + OUTAGE_MARGIN;
        let mut mirror = self.mirror.borrow_mut();
        // Must come first: whether there was an outage decides how missing rows are handled.
        if let Some(at) = fresh_at {
            mirror.record_fresh(table, at, outage, now);
        }
        let is_changed = changes.is_some_and(|changes| mirror.apply(table, changes, now));
        drop(mirror);
        if is_changed && table == SharedTable::Upstreams {
            self.drain_leaving_upstreams();
        }
        if is_changed {
            self.waiting.notify();
        }
        if is_changed && table == SharedTable::Suspects {
            adopt_stored_quarantines(self);
        }
        is_changed
    }

    /// Shows upstreams that have said that they leave as draining, also before their records do.
    pub(crate) fn drain_leaving_upstreams(&self) {
        self.mirror.borrow_mut().mark_draining(&self.notices.borrow());
    }

    /// Takes one request of this node's share of the return to an upstream after a pause. Returns
    /// false if the share is used up.
    pub(crate) fn try_take_return(&self, record: &UpstreamRecord, now: Instant) -> bool {
        let nodes = self.sharing_node_count();
        self.notices.borrow_mut().try_take_return(record, nodes, now)
    }

    /// Whether the rate limit that an upstream named leaves room for a request of this node.
    pub(crate) fn has_limit_share(&self, record: &UpstreamRecord, now: Instant) -> bool {
        let mut limits = self.rate_limits.borrow_mut();
        limits.is_empty() || limits.may_send(record, &self.directory.borrow(), now)
    }

    /// Summary of the request traffic of all nodes, as far as this node knows, for the planner.
    pub(crate) fn traffic_summary(&self, config: &ServiceConfig, now: Instant) -> TrafficSummary {
        let (view, loads) = (self.view(), self.loads.borrow());
        let mut requests_per_slot = HashMap::new();
        for spec in config.services.values() {
            for model in spec.engine.iter().flat_map(|engine| &engine.models) {
                let replicas = view.replicas(&spec.service, &model.model);
                let slots: u32 = replicas.iter().map(|replica| replica.head.slots).sum();
                let total = loads.requests_at(&replicas, now);
                if slots > 0 {
                    requests_per_slot
                        .insert(model.model.clone(), f64::from(total) / f64::from(slots));
                }
            }
        }
        TrafficSummary {
            has_traffic: self.has_traffic.get(),
            silent: self.silent_upstreams(now).into_iter().map(|(upstream, _)| upstream).collect(),
            requests_per_slot,
        }
    }

    /// Time that a caller has spent on earlier attempts, judged by the timeout of its request.
    pub(crate) fn time_spent(&self, route: &Arc<str>, timeout: Duration) -> Duration {
        let mut usual_timeouts = self.usual_timeouts.borrow_mut();
        let usual =
            usual_timeouts.entry(route.clone()).or_insert_with(|| UsualTimeout::new(timeout));
        usual.record(timeout);
        usual.time_spent(timeout)
    }

    /// Counts a caller's request for the retry budget of `service`.
    pub(crate) fn record_request(&self, service: &ServiceId, now: Instant) {
        let bound = self.settings().limits.retry_limits();
        let mut shares = self.retry_shares.borrow_mut();
        shares.entry(service.clone()).or_default().record_request(&bound, now);
    }

    /// Takes one retry from the retry budget of `service`. Returns false if this node's share of
    /// the budget is used up.
    pub(crate) fn try_take_retry(&self, service: &ServiceId, now: Instant) -> bool {
        let bound = self.settings().limits.retry_limits();
        let nodes = self.sharing_node_count();
        let mut shares = self.retry_shares.borrow_mut();
        shares.entry(service.clone()).or_default().try_retry(&bound, nodes, now)
    }
}

/// Counts a caller's request as in progress until it is dropped.
pub(crate) struct InFlightGuard(Rc<GatewayState>);

impl InFlightGuard {
    pub(crate) fn new(state: &Rc<GatewayState>) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        state.begun_requests.set(state.begun_requests.get() + 1);
        Self(state.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get().saturating_sub(1));
    }
}

/// Increments a counter on creation and decrements it on drop.
pub(crate) struct CountGuard<'a>(&'a Cell<u32>);

impl<'a> CountGuard<'a> {
    pub(crate) fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
