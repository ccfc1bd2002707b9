//! Carries out the plan of the groups, on the node that holds the planner's lease.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_dispatch::{
    FleetView, GroupPlanner, GroupRecord, NodeStage, OrderKind, OrderOutcome, PlanStep,
    PlannerSettings, ProbeTarget, ServiceConfig, SharedTable, UpstreamOrder,
};
use eelgrassdeal_platform::encode_group;
use eelgrassdeal_store::{
    CONTROL_PARTITION, HeldLease, LeaseKeeper, RowCondition, RowKey, RowWrite, StoreError,
    TableName, TableStore,
};
use eelgrassdeal_types::{FencingNumber, GroupId};

use crate::peers::relay_order;
use crate::state::GatewayState;

const LEASE_NAME: &str = "planner";
const TERM_NAME: &str = "planner-term";
/// A node takes over when the holder has not renewed for this long.
const LEASE_TIME: Duration = Duration::from_millis(2_400);
/// Pause between two renewals.
const RENEW_PAUSE: Duration = Duration::from_millis(700);
/// Pause between two plans.
const PLAN_PAUSE: Duration = Duration::from_millis(50);
/// Pause of a node that does not plan.
const IDLE_PAUSE: Duration = Duration::from_millis(300);

/// Pause between two lines on the groups and spares.
const FLEET_LOG_PAUSE: Duration = Duration::from_secs(1);

/// Planning under one lease.
struct PlanTerm {
    fencing: FencingNumber,
    planner: GroupPlanner,
    /// Version of the row that every write of this term checks; `None` until it is written.
    row_version: Option<u64>,
    is_writing_row: bool,
}

struct PlanRunner {
    state: Rc<GatewayState>,
    lease: RefCell<Option<HeldLease>>,
    term: RefCell<Option<PlanTerm>>,
    logged_at: Cell<Option<Instant>>,
}

/// Competes for the lease, and plans while it is held, until the task is dropped.
pub(crate) async fn run_planner(state: Rc<GatewayState>) {
    let runner = Rc::new(PlanRunner {
        state: state.clone(),
        lease: RefCell::default(),
        term: RefCell::default(),
        logged_at: Cell::default(),
    });
    let renewing = runner.clone();
    compio::runtime::spawn(async move { renewing.keep_lease().await }).detach();
    loop {
        let is_planning = runner.clone().plan_once();
        compio::time::sleep(if is_planning { PLAN_PAUSE } else { IDLE_PAUSE }).await;
    }
}

impl PlanRunner {
    async fn keep_lease(&self) {
        let store: Rc<dyn TableStore> = Rc::new(self.state.store.clone());
        let node = self.state.settings().node.clone();
        let mut keeper = LeaseKeeper::new(store, LEASE_NAME, node, LEASE_TIME);
        loop {
            if self.state.stage.get() == NodeStage::Leaving {
                self.note_lease(None);
                if let Err(report) = keeper.release().await {
                    log::info!("event=lease_unreleased reason=\"{report}\"");
                }
                return;
            }
            let is_candidate = self.state.directory.borrow().is_planner_candidate();
            if is_candidate || keeper.held(Instant::now()).is_some() {
                match keeper.renew().await {
                    Ok(lease) => {
                        self.state.contact.note_answer(Instant::now());
                        self.note_lease(lease);
                    }
                    Err(report) => {
                        log::debug!("event=lease_unanswered reason=\"{report}\"");
                        self.note_lease(keeper.held(Instant::now()));
                    }
                }
            } else {
                self.note_lease(None);
            }
            compio::time::sleep(RENEW_PAUSE).await;
        }
    }

    fn note_lease(&self, lease: Option<HeldLease>) {
        let previous = self.lease.replace(lease);
        self.state.is_planner.set(lease.is_some());
        match (previous, lease) {
            (None, Some(lease)) => log::info!("event=lease_taken fencing={}", lease.fencing),
            (Some(lease), None) => log::info!("event=lease_lost fencing={}", lease.fencing),
            _ => {}
        }
    }

    /// Carries out the steps that are due; false while this node does not plan.
    fn plan_once(self: Rc<Self>) -> bool {
        let now = Instant::now();
        let lease = self.lease.borrow().filter(|lease| now < lease.valid_until);
        let Some(lease) = lease else { return false };
        self.begin_term(lease.fencing);
        let state = &self.state;
        let Some(config) = state.config() else { return false };
        if !state.mirror.borrow().is_loaded() || !state.contact.is_reached(now) {
            return false;
        }
        if !state.mirror.borrow().is_settled(now) && !state.view().groups.is_empty() {
            // Members whose rows lapsed during an outage would be taken for lost.
            return true;
        }
        let steps = {
            let mut term = self.term.borrow_mut();
            let Some(term) = term.as_mut().filter(|term| term.row_version.is_some()) else {
                return true;
            };
            term.planner.plan(&state.view(), &config, &state.fleet_load(&config, now), now)
        };
        for step in steps {
            match step {
                PlanStep::Order(order) => self.clone().give(order, lease.fencing),
                PlanStep::Create(group) => self.clone().create(group),
                PlanStep::MarkClosing(group) => self.clone().mark_closing(group),
                PlanStep::Remove(group) => self.clone().remove(group),
                PlanStep::Probe(target) => self.clone().probe(target),
            }
        }
        self.log_fleet(&state.view(), &config, now);
        true
    }

    /// Logs the groups and spares of each engine service, once a while.
    fn log_fleet(&self, view: &FleetView, config: &ServiceConfig, now: Instant) {
        if self.logged_at.get().is_some_and(|at| now.duration_since(at) < FLEET_LOG_PAUSE) {
            return;
        }
        self.logged_at.set(Some(now));
        for spec in config.services.values() {
            let Some(engine) = &spec.engine else { continue };
            for model in &engine.models {
                let summary = view.summarize(&spec.service, &model.model);
                log::info!(
                    "event=fleet service={} model={} serving={} forming={} closing={} spares={} empty={}",
                    spec.service,
                    model.model,
                    summary.serving,
                    summary.forming,
                    summary.closing,
                    summary.spares,
                    summary.empty
                );
            }
        }
    }

    /// Writes the row of a new term, which makes the writes of earlier terms fail.
    fn begin_term(self: &Rc<Self>, fencing: FencingNumber) {
        let mut term = self.term.borrow_mut();
        if term.as_ref().is_none_or(|known| known.fencing != fencing) {
            let bounds = &self.state.settings().bounds;
            let settings = PlannerSettings { stall: bounds.stall, load_window: bounds.load_window };
            *term = Some(PlanTerm {
                fencing,
                planner: GroupPlanner::new(settings, fencing),
                row_version: None,
                is_writing_row: false,
            });
        }
        let Some(known) = term.as_mut() else { return };
        if known.row_version.is_none() && !known.is_writing_row {
            known.is_writing_row = true;
            let runner = self.clone();
            compio::runtime::spawn(async move { runner.write_term(fencing).await }).detach();
        }
    }

    async fn write_term(&self, fencing: FencingNumber) {
        let version = match self.try_write_term(fencing).await {
            Ok(version) => version,
            Err(report) => {
                log::warn!("event=term_unwritten fencing={fencing} reason=\"{report}\"");
                None
            }
        };
        if let Some(term) = self.term.borrow_mut().as_mut().filter(|term| term.fencing == fencing) {
            term.is_writing_row = false;
            term.row_version = version;
        }
    }

    /// The version of the written row; `None` if a later term has begun.
    async fn try_write_term(
        &self,
        fencing: FencingNumber,
    ) -> eelgrassdeal_store::StoreResult<Option<u64>> {
        let store = &self.state.store;
        let body = Bytes::from(fencing.to_string());
        let known = TableStore::get(store, term_key()).await?;
        let stored =
            known.as_ref().and_then(|row| std::str::from_utf8(&row.body).ok()?.parse().ok());
        if stored.is_some_and(|stored: u64| stored > fencing) {
            return Ok(None);
        }
        let condition =
            known.map_or(RowCondition::Absent, |row| RowCondition::VersionIs(row.version));
        store.transact(vec![RowWrite::put(term_key(), condition, body)]).await
    }

    fn give(self: Rc<Self>, order: UpstreamOrder, fencing: FencingNumber) {
        compio::runtime::spawn(async move {
            let mut outcome = self.state.orders.give(&order, fencing).await;
            if matches!(outcome, OrderOutcome::Unreachable | OrderOutcome::Unknown)
                && matches!(order.kind, OrderKind::Close { .. } | OrderKind::Leave)
            {
                outcome = relay_order(&self.state, &order, fencing).await;
            }
            log::info!(
                "event=order upstream={} kind={:?} group={:?} fencing={fencing} outcome={outcome:?}",
                order.upstream,
                order.kind,
                order.group
            );
            if let Some(term) = self.term.borrow_mut().as_mut() {
                term.planner.note_outcome(&order, outcome, Instant::now());
            }
        })
        .detach();
    }

    fn probe(self: Rc<Self>, target: ProbeTarget) {
        compio::runtime::spawn(async move {
            let outcome = self.state.orders.probe(&target).await;
            log::info!("event=probe upstream={} outcome={outcome:?}", target.upstream);
            if let Some(term) = self.term.borrow_mut().as_mut() {
                term.planner.note_probe(&target.upstream, outcome, Instant::now());
            }
        })
        .detach();
    }

    fn create(self: Rc<Self>, group: GroupRecord) {
        self.put(group, RowCondition::Absent);
    }

    fn mark_closing(self: Rc<Self>, group: GroupRecord) {
        let condition = self.row_condition(&group.group);
        self.put(group, condition);
    }

    fn put(self: Rc<Self>, group: GroupRecord, condition: RowCondition) {
        let body = Bytes::from(encode_group(&group));
        let write = RowWrite::put(group_key(&group.group), condition, body);
        let text = format!("{group:?}");
        self.spawn_write(group.group, write, text);
    }

    fn remove(self: Rc<Self>, group: GroupId) {
        let condition = self.row_condition(&group);
        if condition != RowCondition::Absent {
            let delete = RowWrite::delete(group_key(&group), condition);
            self.spawn_write(group, delete, "removed".to_owned());
        }
    }

    fn row_condition(&self, group: &GroupId) -> RowCondition {
        let mirror = self.state.mirror.borrow();
        let version = mirror.table(SharedTable::Groups).and_then(|table| table.row_version(group));
        version.map_or(RowCondition::Absent, RowCondition::VersionIs)
    }

    fn spawn_write(self: Rc<Self>, group: GroupId, write: RowWrite, text: String) {
        let term = self.term.borrow().as_ref().and_then(|term| term.row_version);
        let Some(term_version) = term else { return };
        compio::runtime::spawn(async move {
            let check = RowWrite::check(term_key(), RowCondition::VersionIs(term_version));
            let result = self.state.store.transact(vec![check, write]).await;
            let error = result.err().map(|report| report.current_context().clone());
            log::info!("event=plan group={group} record=\"{text}\" error={error:?}");
            let Some(error) = error else { return };
            let mut term = self.term.borrow_mut();
            let Some(term) = term.as_mut() else { return };
            term.planner.note_write_failure(&group);
            if !matches!(error, StoreError::Unreachable) {
                // A late write fails once the term's row has a new version, and so does this
                // planner if a later term has begun.
                term.row_version = None;
            }
        })
        .detach();
    }
}

fn term_key() -> RowKey {
    RowKey::new(TableName::Leases, CONTROL_PARTITION, TERM_NAME)
}

fn group_key(group: &GroupId) -> RowKey {
    RowKey::new(TableName::Groups, CONTROL_PARTITION, group)
}
