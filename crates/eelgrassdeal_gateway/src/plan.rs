//! Carries out the plan of the groups, on the node that holds the planner's lease.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_dispatch::{
    FleetView, GroupPlanner, GroupRecord, GroupWrite, NodeStage, OrderKind, OrderOutcome, PlanStep,
    PlannerSettings, ProbeOutcome, ProbeTarget, ServiceConfig, SharedTable, UpstreamOrder,
    WriteOutcome,
};
use eelgrassdeal_platform::encode_group;
use eelgrassdeal_store::{
    CONTROL_PARTITION, HeldLease, LeaseKeeper, RowCondition, RowKey, RowWrite, StoreError,
    TableName, TableStore,
};
use eelgrassdeal_types::{FencingNumber, GroupId};
use event_listener::Event;

use crate::peers::relay_order;
use crate::state::GatewayState;

const LEASE_NAME: &str = "planner";
const TERM_NAME: &str = "planner-term";
/// A node takes over when the holder has not renewed for this long. Nobody repairs groups meanwhile.
const LEASE_TIME: Duration = Duration::from_millis(1_500);
/// Pause between two renewals: two may fail within the lease.
const RENEW_PAUSE: Duration = Duration::from_millis(450);
/// Longest pause between two plans, and the shortest, which lets news that come together cost one
/// plan.
const PLAN_PAUSE: Duration = Duration::from_millis(50);
const MIN_PAUSE: Duration = Duration::from_millis(3);
/// Pause of a node that does not plan.
const IDLE_PAUSE: Duration = Duration::from_millis(300);

/// Groups that are written in one transaction: the table service takes 25 rows, one of which is the
/// term's.
const MAX_WRITES: usize = 24;
/// Time after which an upstream that does not answer counts as lost if most members of its group
/// have answered. Usual answers take a few ms.
const SHORT_PROBE: Duration = Duration::from_millis(130);
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
    /// Versions of the rows that this planner wrote.
    versions: RefCell<HashMap<GroupId, u64>>,
    /// Told when an order, a probe or a write has ended.
    wake: Event,
}

/// Competes for the lease, and plans while it is held, until the task is dropped.
pub(crate) async fn run_planner(state: Rc<GatewayState>) {
    let runner = Rc::new(PlanRunner {
        state: state.clone(),
        lease: RefCell::default(),
        term: RefCell::default(),
        logged_at: Cell::default(),
        versions: RefCell::default(),
        wake: Event::new(),
    });
    let renewing = runner.clone();
    compio::runtime::spawn(async move { renewing.keep_lease().await }).detach();
    loop {
        let wake = futures_util::future::select(runner.wake.listen(), state.news.listen());
        let pause = if runner.clone().plan_once() { PLAN_PAUSE } else { IDLE_PAUSE };
        // A pause that ends without news is the usual case.
        let _ = compio::time::timeout(pause, wake).await;
        compio::time::sleep(MIN_PAUSE).await;
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
                PlanStep::Write(writes) => self.clone().write(writes),
                PlanStep::Probe(targets) => self.clone().probe(targets),
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
            let settings =
                PlannerSettings { stall_timeout: bounds.stall, load_window: bounds.load_window };
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
                term.planner.record_order_outcome(&order, outcome, Instant::now());
            }
            self.wake.notify(1);
        })
        .detach();
    }

    /// Asks the members of a group whether they are there. Once most have answered, the others count
    /// as lost a little later.
    fn probe(self: Rc<Self>, targets: Vec<ProbeTarget>) {
        let (count, answered) = (targets.len(), Rc::new(Cell::new(0)));
        for target in targets {
            let (runner, answered) = (self.clone(), answered.clone());
            compio::runtime::spawn(async move {
                let asked_at = Instant::now();
                let mut probe = std::pin::pin!(runner.state.orders.probe(&target));
                let first = compio::time::timeout(SHORT_PROBE, probe.as_mut()).await;
                let outcome = match first {
                    Ok(outcome) => outcome,
                    Err(_) if answered.get() * 2 > count => ProbeOutcome::Lost,
                    Err(_) => probe.await,
                };
                answered.set(answered.get() + usize::from(outcome == ProbeOutcome::Alive));
                log::info!(
                    "event=probe upstream={} outcome={outcome:?} answered={} of={count} took_ms={}",
                    target.upstream,
                    answered.get(),
                    asked_at.elapsed().as_millis()
                );
                if let Some(term) = runner.term.borrow_mut().as_mut() {
                    term.planner.record_probe_outcome(&target.upstream, outcome, Instant::now());
                }
                runner.wake.notify(1);
            })
            .detach();
        }
    }

    /// Writes groups under the condition that no later term has begun, in one transaction if the
    /// store takes so many rows. A part is left out when the one before it was not carried out.
    fn write(self: Rc<Self>, writes: Vec<GroupWrite>) {
        compio::runtime::spawn(async move {
            let mut is_done = true;
            for part in writes.chunks(MAX_WRITES) {
                let outcome = match is_done {
                    true => self.write_part(part).await,
                    false => WriteOutcome::Failed,
                };
                is_done = outcome == WriteOutcome::Done;
                self.note_write(part, outcome);
            }
        })
        .detach();
    }

    async fn write_part(&self, writes: &[GroupWrite]) -> WriteOutcome {
        let term = self.term.borrow().as_ref().and_then(|term| term.row_version);
        let Some(term_version) = term else { return WriteOutcome::Failed };
        let mut rows = vec![RowWrite::check(term_key(), RowCondition::VersionIs(term_version))];
        rows.extend(writes.iter().map(|write| self.row_write(write)));
        let result = self.state.store.transact(rows).await;
        let error = result.as_ref().err().map(|report| report.current_context().clone());
        for write in writes {
            log::info!("event=plan group={} write={write:?} error={error:?}", write.group());
        }
        let is_term_over = error.as_ref().is_some_and(|error| *error != StoreError::Unreachable);
        if let Some(term) = self.term.borrow_mut().as_mut().filter(|_| is_term_over) {
            // A late write fails once the term's row has a new version, and so does this planner
            // if a later term has begun.
            term.row_version = None;
        }
        match (result, error) {
            (Ok(version), _) => {
                self.note_versions(writes, version);
                WriteOutcome::Done
            }
            (Err(_), Some(StoreError::OutcomeUnknown)) => WriteOutcome::Unknown,
            (Err(_), _) => WriteOutcome::Failed,
        }
    }

    fn note_write(&self, writes: &[GroupWrite], outcome: WriteOutcome) {
        if let Some(term) = self.term.borrow_mut().as_mut() {
            term.planner.record_write_outcome(writes, outcome, Instant::now());
        }
        self.wake.notify(1);
    }

    /// Remembers the versions of rows that the table may not show yet.
    fn note_versions(&self, writes: &[GroupWrite], version: Option<u64>) {
        let mut versions = self.versions.borrow_mut();
        for write in writes {
            match (write, version) {
                (GroupWrite::Remove(group), _) => {
                    versions.remove(group);
                }
                (_, Some(version)) => {
                    versions.insert(write.group().clone(), version);
                }
                (_, None) => {}
            }
        }
    }

    fn row_write(&self, write: &GroupWrite) -> RowWrite {
        let key = group_key(write.group());
        let body = |group: &GroupRecord| Bytes::from(encode_group(group));
        match write {
            GroupWrite::Create(group) => RowWrite::put(key, RowCondition::Absent, body(group)),
            GroupWrite::MarkClosing(group) => {
                RowWrite::put(key, self.row_condition(&group.group), body(group))
            }
            GroupWrite::Remove(group) => RowWrite::delete(key, self.row_condition(group)),
        }
    }

    /// The row of a group as this planner wrote it or the table shows it, whichever is newer.
    fn row_condition(&self, group: &GroupId) -> RowCondition {
        let mirror = self.state.mirror.borrow();
        let shown = mirror.table(SharedTable::Groups).and_then(|table| table.row_version(group));
        let written = self.versions.borrow().get(group).copied();
        written.max(shown).map_or(RowCondition::Absent, RowCondition::VersionIs)
    }
}

fn term_key() -> RowKey {
    RowKey::new(TableName::Leases, CONTROL_PARTITION, TERM_NAME)
}

fn group_key(group: &GroupId) -> RowKey {
    RowKey::new(TableName::Groups, CONTROL_PARTITION, group)
}
