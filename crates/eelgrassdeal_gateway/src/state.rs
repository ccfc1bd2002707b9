//! State that all tasks of a gateway share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{
    ColdBound, ColdShare, FleetView, GatewaySettings, LoadBook, NodeBeat, NodeDirectory, NodeStage,
    RetryAllowance, ServiceConfig, SharedTable, TableChanges, TablePace, TrafficSummary,
    UpstreamRecord,
};
use eelgrassdeal_http::ConnectionPool;
use eelgrassdeal_platform::{PlatformStore, UpstreamCalls};
use eelgrassdeal_types::{ServiceId, UpstreamId};
use event_listener::Event;

use crate::mirror::StoreMirror;

/// A node whose calls had no answer for this long has lost the store.
const STORE_PATIENCE: Duration = Duration::from_millis(1_500);
/// Added to the age from which on a copy of a table is not relied on: the store, or this node, was
/// away when no copy was current for so long.
const OUTAGE_MARGIN: Duration = Duration::from_millis(400);

/// Whether the store answers this node.
#[derive(Debug, Default)]
pub(crate) struct StoreContact {
    last_answer: Cell<Option<Instant>>,
    /// When the first of the calls began that failed since the last answer.
    failing_since: Cell<Option<Instant>>,
    is_lost: Cell<bool>,
}

impl StoreContact {
    /// Notes an answer.
    pub(crate) fn note_answer(&self, now: Instant) {
        self.last_answer.set(Some(now));
        self.failing_since.set(None);
        if self.is_lost.replace(false) {
            log::info!("event=store_regained");
        }
    }

    /// Notes that a call which began at `called_at` had no answer.
    pub(crate) fn note_failure(&self, called_at: Instant, now: Instant) {
        let since = self.failing_since.get().unwrap_or(called_at);
        self.failing_since.set(Some(since));
        let age = now.saturating_duration_since(since);
        if age >= STORE_PATIENCE && !self.is_lost.replace(true) {
            log::warn!("event=store_lost failing_for_ms={}", age.as_millis());
        }
    }

    /// Whether the store answered lately.
    pub(crate) fn is_reached(&self, now: Instant) -> bool {
        self.last_answer.get().is_some_and(|at| now.saturating_duration_since(at) < STORE_PATIENCE)
    }

    /// Whether the last calls had no answer. A node that calls nothing has not lost the store.
    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost.get()
    }
}

/// How long the silence of an upstream is told to other nodes and considered by the planner.
const SILENCE_LIFETIME: Duration = Duration::from_millis(800);

/// What a peer last said of its copies of the tables, by table.
pub(crate) type PeerVersions = HashMap<SharedTable, u64>;

/// State that all tasks of a gateway share.
pub(crate) struct GatewayState {
    settings: RefCell<Arc<GatewaySettings>>,
    /// Connections to upstreams.
    pub(crate) pool: ConnectionPool,
    /// Connections to the store and to other nodes.
    pub(crate) control_pool: ConnectionPool,
    pub(crate) store: PlatformStore,
    pub(crate) orders: UpstreamCalls,
    pub(crate) contact: StoreContact,
    pub(crate) mirror: RefCell<StoreMirror>,
    pub(crate) directory: RefCell<NodeDirectory>,
    pub(crate) loads: RefCell<LoadBook>,
    /// Upstreams that were silent towards this node or another, and when.
    pub(crate) silent: RefCell<HashMap<UpstreamId, Instant>>,
    /// What other nodes last said of their tables, by their peer address.
    pub(crate) peer_versions: RefCell<HashMap<Arc<str>, PeerVersions>>,
    /// When other nodes were last told the heartbeats, by their peer address.
    pub(crate) beats_told: RefCell<HashMap<Arc<str>, Instant>>,
    /// Told when the store shows something new.
    pub(crate) news: Event,
    pub(crate) cold_shares: RefCell<HashMap<UpstreamId, ColdShare>>,
    pub(crate) retries: RefCell<HashMap<ServiceId, RetryAllowance>>,
    pub(crate) stage: Cell<NodeStage>,
    /// When SIGTERM came.
    pub(crate) leaving_since: Cell<Option<Instant>>,
    pub(crate) has_traffic: Cell<bool>,
    /// Whether this node holds the planner's lease.
    pub(crate) is_planner: Cell<bool>,
    pub(crate) in_flight: Cell<u32>,
    pub(crate) connections: Cell<u32>,
}

impl GatewayState {
    pub(crate) fn new(settings: GatewaySettings) -> Self {
        let (pool, control_pool) = (ConnectionPool::new(), ConnectionPool::new());
        let own = NodeBeat {
            node: settings.node.clone(),
            beat: 0,
            stage: NodeStage::Starting,
            has_store: false,
            is_planner: false,
            front: settings.listen.front.clone().unwrap_or_else(|| Arc::from("")),
            peer: settings.listen.peers.clone(),
            data_centre: settings.data_centre.clone(),
            processor_share: settings.processor_share,
        };
        Self {
            store: PlatformStore::new(control_pool.clone(), settings.store.address.clone()),
            orders: UpstreamCalls::new(control_pool.clone()),
            pool,
            control_pool,
            contact: StoreContact::default(),
            mirror: RefCell::default(),
            directory: RefCell::new(NodeDirectory::new(own)),
            loads: RefCell::default(),
            silent: RefCell::default(),
            peer_versions: RefCell::default(),
            beats_told: RefCell::default(),
            news: Event::new(),
            cold_shares: RefCell::default(),
            retries: RefCell::default(),
            stage: Cell::new(NodeStage::Starting),
            leaving_since: Cell::new(None),
            has_traffic: Cell::new(false),
            is_planner: Cell::new(false),
            in_flight: Cell::new(0),
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

    /// Number of nodes that share the limits.
    pub(crate) fn sharing_nodes(&self) -> usize {
        self.directory.borrow().sharing_nodes(Instant::now())
    }

    /// Takes one request of the rate that a cold upstream bears; true for a warm one.
    pub(crate) fn take_cold_share(&self, record: &UpstreamRecord, now: Instant) -> bool {
        if !record.is_cold(now) {
            return true;
        }
        let config = self.config();
        let spec = config.as_ref().and_then(|config| config.services.get(&record.service));
        let per_s = spec.map_or(0.0, |spec| spec.cold_rate);
        if per_s <= 0.0 {
            return true;
        }
        let bounds = &self.settings().bounds;
        let bound = ColdBound { per_s, overshoot: bounds.cold_overshoot, slack: bounds.cold_slack };
        let directory = self.directory.borrow();
        let senders = bound.senders(directory.sharing_nodes(now));
        if !directory.is_among(&record.upstream, senders, now) {
            return false;
        }
        let mut shares = self.cold_shares.borrow_mut();
        let share = shares.entry(record.upstream.clone()).or_insert_with(|| ColdShare::new(now));
        share.try_take(now, &bound, senders)
    }

    /// Notes that an upstream was silent at `at`, as this node saw or another told.
    pub(crate) fn note_silent(&self, upstream: &UpstreamId, at: Instant, now: Instant) {
        let mut silent = self.silent.borrow_mut();
        let known = silent.entry(upstream.clone()).or_insert(at);
        *known = at.max(*known);
        silent.retain(|_, at| now.saturating_duration_since(*at) < SILENCE_LIFETIME);
    }

    /// Whether an upstream was silent lately towards this node or another.
    pub(crate) fn is_silent(&self, upstream: &UpstreamId, now: Instant) -> bool {
        let silent = self.silent.borrow();
        silent.get(upstream).is_some_and(|at| now.saturating_duration_since(*at) < SILENCE_LIFETIME)
    }

    /// Upstreams that were silent lately, and for how long that is known.
    pub(crate) fn silent_upstreams(&self, now: Instant) -> Vec<(UpstreamId, Duration)> {
        self.silent
            .borrow()
            .iter()
            .map(|(upstream, at)| (upstream.clone(), now.saturating_duration_since(*at)))
            .filter(|(_, age)| *age < SILENCE_LIFETIME)
            .collect()
    }

    /// How often `table` is read.
    pub(crate) fn pace(&self, table: SharedTable) -> TablePace {
        self.settings().bounds.pace(table)
    }

    /// Takes over what was learned of a table. `fresh_at` is a time at which the store had accepted
    /// nothing that `changes` and the known copy do not show. Returns whether there was news.
    pub(crate) fn take_table(
        &self,
        table: SharedTable,
        changes: Option<TableChanges>,
        fresh_at: Option<Instant>,
    ) -> bool {
        let now = Instant::now();
        let outage = self.pace(table).patience + OUTAGE_MARGIN;
        let mut mirror = self.mirror.borrow_mut();
        // Whether the store was away decides what missing rows mean.
        if let Some(at) = fresh_at {
            mirror.note_fresh(table, at, outage, now);
        }
        changes.is_some_and(|changes| mirror.take(table, changes, now))
    }

    /// What this node knows of the work of all nodes.
    pub(crate) fn fleet_load(&self, config: &ServiceConfig, now: Instant) -> TrafficSummary {
        let (view, loads) = (self.view(), self.loads.borrow());
        let mut requests_per_slot = HashMap::new();
        for spec in config.services.values() {
            for model in spec.engine.iter().flat_map(|engine| &engine.models) {
                let replicas = view.replicas(&spec.service, &model.model);
                let slots: u32 = replicas.iter().map(|replica| replica.head.slots).sum();
                let total: u32 =
                    replicas.iter().map(|replica| loads.total(&replica.head.upstream, now)).sum();
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

    /// Counts a caller's request for the retry budget of `service`.
    pub(crate) fn note_request(&self, service: &ServiceId, now: Instant) {
        let bound = self.settings().bounds.retry_bound();
        let mut retries = self.retries.borrow_mut();
        retries.entry(service.clone()).or_default().note_request(&bound, now);
    }

    /// Takes one retry of the budget of `service`.
    pub(crate) fn take_retry(&self, service: &ServiceId, now: Instant) -> bool {
        let bound = self.settings().bounds.retry_bound();
        let nodes = self.sharing_nodes();
        let mut retries = self.retries.borrow_mut();
        retries.entry(service.clone()).or_default().try_retry(&bound, nodes, now)
    }
}

/// Counts something while it lasts.
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
