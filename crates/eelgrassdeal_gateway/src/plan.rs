//! Runs the group planner on the node that holds the planner's lease, and carries out its steps.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use eelgrassdeal_dispatch::{
    FleetView, GroupPlanner, GroupRecord, GroupWrite, NodeStage, OrderKind, OrderOutcome, PlanStep,
    PlannerSettings, ProbeOutcome, ProbeTarget, ServiceConfig, SharedTable, TermLease,
    UpstreamOrder, WriteOutcome,
};
use eelgrassdeal_logging::LogLimiter;
use eelgrassdeal_platform::encode_group;
use eelgrassdeal_store::{
    CONTROL_PARTITION, HeldLease, LeaseClient, RowCondition, RowKey, RowWrite, StoreError,
    TableName, TableStore,
};
use eelgrassdeal_types::{FencingNumber, GroupId, fencing_era, version_era};
use event_listener::Event;

use crate::notice::{probe, send_order};
use crate::peers::relay_order;
use crate::state::GatewayState;

const LEASE_NAME: &str = "planner";
const TERM_ROW_NAME: &str = "planner-term";
/// Another node takes over when the holder has not renewed the lease for this long. Until then no
/// node forms, repairs or removes groups.
const LEASE_DURATION: Duration = Duration::from_millis(1_500);
/// Interval of the renewals: two of them may fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(450);
/// Longest delay between two plans.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest delay between two plans, so that one plan covers changes that follow each other
/// shortly.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(3);
/// Longest delay until a node that does not plan checks again whether it should.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of groups written in one transaction: the store accepts 25 rows per transaction,
/// one of which is the row of the term.
const MAX_GROUPS_PER_TRANSACTION: usize = 24;
/// Timeout after which an upstream that has not answered counts as lost if most members of its
/// group have answered. Answers usually take a few milliseconds.
const SHORT_PROBE_TIMEOUT: Duration = Duration::from_millis(130);
/// Interval of the `event=fleet` log lines.
const FLEET_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// State of the planner under one fencing number of the lease.
struct PlanTerm {
    fencing: FencingNumber,
    planner: GroupPlanner,
    /// Version of the term's row, which every write of groups in this term checks. `None` while the
    /// row must be written: at the start of the term, and after a write of groups has failed. A
    /// failure with `StoreError::Unreachable` is exempt, since the store applied nothing then.
    row_version: Option<u64>,
    is_writing_row: bool,
}

/// Planner task of this node, and what it keeps between two plans.
struct PlanRunner {
    state: Rc<GatewayState>,
    lease: RefCell<Option<HeldLease>>,
    term: RefCell<Option<PlanTerm>>,
    /// The `event=fleet` lines.
    fleet_log: LogLimiter,
    /// Versions of the group rows that this node last wrote.
    written_versions: RefCell<HashMap<GroupId, u64>>,
    /// Notified when an order, a probe or a write has completed.
    wake: Event,
}

/// Competes for the planner's lease, and plans while this node holds it, until the task is dropped.
pub(crate) async fn run_planner(state: Rc<GatewayState>) {
    let runner = Rc::new(PlanRunner {
        state: state.clone(),
        lease: RefCell::default(),
        term: RefCell::default(),
        fleet_log: LogLimiter::new(FLEET_LOG_INTERVAL),
        written_versions: RefCell::default(),
        wake: Event::new(),
    });
    let lease_runner = runner.clone();
    compio::runtime::spawn(async move { lease_runner.maintain_lease().await }).detach();
    loop {
        let wake = futures_util::future::select(runner.wake.listen(), state.store_changed.listen());
        let pause = if runner.clone().plan_once() { MAX_PLAN_INTERVAL } else { IDLE_INTERVAL };
        // A timeout is the usual case, and no error.
        let _ = compio::time::timeout(pause, wake).await;
        compio::time::sleep(MIN_PLAN_INTERVAL).await;
    }
}

impl PlanRunner {
    async fn maintain_lease(&self) {
        let store: Rc<dyn TableStore> = Rc::new(self.state.store.clone());
        let node = self.state.settings().node.clone();
        let era_source = self.state.store.clone();
        let mut lease_client = LeaseClient::new(store, LEASE_NAME, node, LEASE_DURATION)
            .with_store_era(Rc::new(move || era_source.store_era()));
        loop {
            let release = self.state.lease_release.listen();
            if self.state.stage.get() == NodeStage::Leaving {
                self.record_lease(None);
                if let Err(report) = lease_client.release().await {
                    log::info!("event=lease_unreleased reason=\"{report}\"");
                }
                return;
            }
            let is_candidate = self.state.directory.borrow().is_planner_candidate();
            if self.must_release() {
                self.record_lease(None);
                match lease_client.release().await {
                    Ok(()) => self.state.released_fencing.set(None),
                    // The release is repeated: a renewal would keep the fencing number.
                    Err(report) => log::info!("event=lease_unreleased reason=\"{report}\""),
                }
            } else if (is_candidate && !self.is_left_to_others())
                || lease_client.held(Instant::now()).is_some()
            {
                // Acquires the lease if no node holds it.
                match lease_client.renew().await {
                    Ok(lease) => {
                        self.state.store_connectivity.record_success(Instant::now());
                        self.record_lease(lease);
                    }
                    Err(report) => {
                        // The store call failed. A lease held before is valid until it expires.
                        log::debug!("event=lease_unanswered reason=\"{report}\"");
                        self.record_lease(lease_client.held(Instant::now()));
                    }
                }
            } else {
                self.record_lease(None);
            }
            // A release is requested rarely.
            let _ = compio::time::timeout(RENEW_INTERVAL, release).await;
        }
    }

    /// Whether this node has given up the lease so that another candidate takes it.
    fn is_left_to_others(&self) -> bool {
        self.state.lease_left_until.get().is_some_and(|until| Instant::now() < until)
    }

    /// Whether the lease is to be released under the fencing number under which this node holds it.
    fn must_release(&self) -> bool {
        let Some(fencing) = self.state.released_fencing.get() else { return false };
        // A lease that was lost is released as well: its next renewal may keep the number.
        let is_current = self.lease.borrow().is_none_or(|lease| lease.fencing <= fencing);
        if !is_current {
            self.state.released_fencing.set(None);
        }
        is_current
    }

    fn record_lease(&self, lease: Option<HeldLease>) {
        let previous = self.lease.replace(lease);
        self.state.is_planner.set(lease.is_some());
        let (recorded_at, recorded_wall) = (Instant::now(), SystemTime::now());
        // An unanswered renewal leaves the lease as it was, and the wall clock goes on from there.
        let is_renewed = lease != previous;
        if is_renewed {
            self.state.planner_lease.set(lease.map(|HeldLease { fencing, valid_until }| {
                TermLease { fencing, valid_until, recorded_at, recorded_wall }
            }));
        }
        match (previous, lease) {
            (None, Some(lease)) => log::info!("event=lease_taken fencing={}", lease.fencing),
            (Some(lease), None) => log::info!("event=lease_lost fencing={}", lease.fencing),
            _ => {}
        }
    }

    /// Plans once and starts the resulting steps. Returns whether to plan again soon. This includes
    /// the cases in which the planner waits for the end of a grace period or for the term's row.
    fn plan_once(self: Rc<Self>) -> bool {
        let now = Instant::now();
        let era = self.state.store.store_era();
        // Any answer of the store may have shown that the lease was lost.
        if self.lease.borrow().is_some_and(|lease| fencing_era(lease.fencing) < era) {
            self.record_lease(None);
        }
        let lease = self.lease.borrow().filter(|lease| now < lease.valid_until);
        let Some(lease) = lease else { return false };
        self.begin_term(lease.fencing);
        let state = &self.state;
        let Some(config) = state.config() else { return false };
        if !state.mirror.borrow().is_loaded() || !state.store_connectivity.has_recent_answer(now) {
            return false;
        }
        if !state.mirror.borrow().is_past_grace(now) && !state.view().groups.is_empty() {
            // The planner would count members whose rows expired during an outage as lost.
            return true;
        }
        let steps = {
            let mut term = self.term.borrow_mut();
            let Some(term) = term.as_mut().filter(|term| term.row_version.is_some()) else {
                return true;
            };
            term.planner.plan(&state.view(), &config, &state.traffic_summary(&config, now), now)
        };
        for step in steps {
            match step {
                PlanStep::Order(order) => self.clone().send_order(order, lease.fencing),
                PlanStep::Write(writes) => self.clone().write(writes),
                PlanStep::Probe(targets) => self.clone().probe(targets),
            }
        }
        self.log_fleet(&state.view(), &config, now);
        true
    }

    /// Logs the numbers of groups and of upstreams in no group for each model of each engine
    /// service, at most once per `FLEET_LOG_INTERVAL`. Of the upstreams in no group, `spares` have
    /// the model staged on their host and `empty` have no model staged there.
    fn log_fleet(&self, view: &FleetView, config: &ServiceConfig, now: Instant) {
        if !self.fleet_log.is_due(now) {
            return;
        }
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

    /// Starts a new term if the fencing number has changed, and writes the term's row if it is not
    /// yet written. Its new version makes the writes of earlier terms fail.
    fn begin_term(self: &Rc<Self>, fencing: FencingNumber) {
        let mut term = self.term.borrow_mut();
        if term.as_ref().is_none_or(|known| known.fencing != fencing) {
            let limits = &self.state.settings().limits;
            let settings = PlannerSettings {
                // The window in which loads of model weights are counted.
                load_window: limits.load_window,
            };
            *term = Some(PlanTerm {
                fencing,
                planner: GroupPlanner::new(settings, fencing),
                row_version: None,
                is_writing_row: false,
            });
        }
        let Some(current) = term.as_mut() else { return };
        if current.row_version.is_none() && !current.is_writing_row {
            current.is_writing_row = true;
            let runner = self.clone();
            compio::runtime::spawn(async move { runner.write_term(fencing).await }).detach();
        }
    }

    async fn write_term(&self, fencing: FencingNumber) {
        let version = match self.try_begin_term(fencing).await {
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

    /// Writes the term's row, then reads the groups. From the new version of the row on, no earlier
    /// term can write groups, so that the copy lacks none of them. Returns the version of the row;
    /// `None` if a later term has begun.
    async fn try_begin_term(
        &self,
        fencing: FencingNumber,
    ) -> eelgrassdeal_store::StoreResult<Option<u64>> {
        let version = self.try_write_term(fencing).await?;
        if let Some(version) = version {
            self.read_groups().await?;
            if version_era(version) > 0 && self.repair_groups(version).await? {
                self.read_groups().await?;
            }
        }
        Ok(version)
    }

    async fn read_groups(&self) -> eelgrassdeal_store::StoreResult<()> {
        let groups = self.state.store.read(SharedTable::Groups).await?;
        self.state.update_table(SharedTable::Groups, Some(groups), Some(Instant::now()));
        Ok(())
    }

    /// Writes groups again whose rows were lost with an era of the store although members report
    /// them, and removes the rows that came back of groups whose members have joined later ones.
    /// Must precede the first plan of a term, which would take the members out of their groups.
    /// Returns whether rows were written.
    async fn repair_groups(&self, term_version: u64) -> eelgrassdeal_store::StoreResult<bool> {
        let writes: Vec<_> = {
            let mirror = self.state.mirror.borrow();
            let lost = mirror.lost_groups().into_iter().map(|group| {
                log::info!("event=group_repaired group={} write=again", group.group);
                let body = Bytes::from(encode_group(&group));
                RowWrite::put(group_key(&group.group), RowCondition::Absent, body)
            });
            let superseded = mirror.superseded_groups().into_iter().map(|(group, version)| {
                log::info!("event=group_repaired group={group} write=removal");
                RowWrite::delete(group_key(&group), RowCondition::VersionIs(version))
            });
            lost.chain(superseded).collect()
        };
        for chunk in writes.chunks(MAX_GROUPS_PER_TRANSACTION) {
            let term = RowWrite::check(term_key(), RowCondition::VersionIs(term_version));
            let rows = std::iter::once(term).chain(chunk.iter().cloned()).collect();
            self.state.store.transact(rows).await?;
        }
        Ok(!writes.is_empty())
    }

    /// Returns the version of the written row; `None` if a later term has begun.
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

    fn send_order(self: Rc<Self>, order: UpstreamOrder, fencing: FencingNumber) {
        compio::runtime::spawn(async move {
            let mut outcome = send_order(&self.state, &order, fencing).await;
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

    /// Probes the members of a group. A member that has not answered within `SHORT_PROBE_TIMEOUT`
    /// counts as lost if more than half of the members have answered by then; otherwise its probe
    /// continues.
    fn probe(self: Rc<Self>, targets: Vec<ProbeTarget>) {
        let (count, answered) = (targets.len(), Rc::new(Cell::new(0)));
        for target in targets {
            let (runner, answered) = (self.clone(), answered.clone());
            compio::runtime::spawn(async move {
                let started_at = Instant::now();
                let mut probe = std::pin::pin!(probe(&runner.state, &target));
                let first = compio::time::timeout(SHORT_PROBE_TIMEOUT, probe.as_mut()).await;
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
                    started_at.elapsed().as_millis()
                );
                if let Some(term) = runner.term.borrow_mut().as_mut() {
                    term.planner.record_probe_outcome(&target.upstream, outcome, Instant::now());
                }
                runner.wake.notify(1);
            })
            .detach();
        }
    }

    /// Writes groups under the condition that no later term has begun, in as few transactions as
    /// the store allows. Once a transaction has not succeeded, the remaining ones are not sent and
    /// count as failed.
    fn write(self: Rc<Self>, writes: Vec<GroupWrite>) {
        compio::runtime::spawn(async move {
            let mut is_previous_done = true;
            for chunk in writes.chunks(MAX_GROUPS_PER_TRANSACTION) {
                let outcome = match is_previous_done {
                    true => self.write_chunk(chunk).await,
                    false => WriteOutcome::Failed,
                };
                is_previous_done = matches!(outcome, WriteOutcome::Done { .. });
                self.record_write(chunk, outcome);
            }
        })
        .detach();
    }

    async fn write_chunk(&self, writes: &[GroupWrite]) -> WriteOutcome {
        let term = self.term.borrow().as_ref().and_then(|term| term.row_version);
        let Some(term_version) = term else { return WriteOutcome::Failed };
        let mut rows = vec![RowWrite::check(term_key(), RowCondition::VersionIs(term_version))];
        rows.extend(writes.iter().map(|write| self.row_write(write)));
        let result = self.state.store.transact(rows).await;
        let error = result.as_ref().err().map(|report| report.current_context().clone());
        for write in writes {
            // The result of a write that was planned before: `error` is `None` on success.
            log::info!("event=plan group={} write={write:?} error={error:?}", write.group());
        }
        let must_rewrite_term =
            error.as_ref().is_some_and(|error| *error != StoreError::Unreachable);
        if let Some(term) = self.term.borrow_mut().as_mut().filter(|_| must_rewrite_term) {
            // Have the term's row written again: its new version makes a delayed write fail, and
            // this node stops planning if a later term has begun.
            term.row_version = None;
        }
        match (result, error) {
            (Ok(version), _) => {
                self.record_versions(writes, version);
                WriteOutcome::Done { version }
            }
            (Err(_), Some(StoreError::OutcomeUnknown)) => WriteOutcome::Unknown,
            (Err(_), _) => WriteOutcome::Failed,
        }
    }

    fn record_write(&self, writes: &[GroupWrite], outcome: WriteOutcome) {
        if let Some(term) = self.term.borrow_mut().as_mut() {
            term.planner.record_write_outcome(writes, outcome, Instant::now());
        }
        self.wake.notify(1);
    }

    /// Records the versions of written rows, which the table copy may not contain yet.
    fn record_versions(&self, writes: &[GroupWrite], version: Option<u64>) {
        let mut versions = self.written_versions.borrow_mut();
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

    /// Condition that the row of a group has the newer of two versions: the one that this node last
    /// wrote, and the one in its table copy. Without either, the row must be absent.
    fn row_condition(&self, group: &GroupId) -> RowCondition {
        let mirror = self.state.mirror.borrow();
        let mirrored = mirror.table(SharedTable::Groups).and_then(|table| table.row_version(group));
        let era = self.state.store.store_era();
        let written = self.written_versions.borrow().get(group).copied();
        let written = written.filter(|version| version_era(*version) >= era);
        written.max(mirrored).map_or(RowCondition::Absent, RowCondition::VersionIs)
    }
}

fn term_key() -> RowKey {
    RowKey::new(TableName::Leases, CONTROL_PARTITION, TERM_ROW_NAME)
}

fn group_key(group: &GroupId) -> RowKey {
    RowKey::new(TableName::Groups, CONTROL_PARTITION, group)
}
