//! Keeps this node's copies of the store's tables up to date.
//!
//! One node, the reader, watches the store for changes and forwards them in the messages between
//! nodes. The other nodes query the store only when their copies have not been confirmed as current
//! for longer than the allowed age.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{SharedTable, TableChanges};
use eelgrassdeal_store::{RowCondition, RowKey, RowWrite, StoreError, TableName, TableStore};
use eelgrassdeal_types::{NodeId, version_era};
use error_stack::Report;

use crate::state::GatewayState;

/// Delay between two watch calls for a table, so that one call returns changes that follow each
/// other shortly.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Delay between two watch calls on the planner's node, which must react to each change quickly.
const PLANNER_WATCH_INTERVAL: Duration = Duration::from_millis(30);
/// Interval at which a node that gets its changes from other nodes checks whether its copy is
/// stale.
const SKIP_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after a failed store call.
const RETRY_DELAY: Duration = Duration::from_millis(350);
/// Delay after a failed store call while the store is lost, so that the nodes together do not
/// overload it when it recovers.
const STORE_LOST_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval of the calls that only check whether the store answers this node again, while other
/// nodes keep its copies current.
const STORE_CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Interval at which a node checks whether its row in the nodes table was lost.
const REGISTRATION_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the reader reads a snapshot of each table, in case a watch missed a change.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(10);

/// How a node updates its copy of a table next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextRead {
    /// Read a snapshot.
    Snapshot,
    /// Wait for changes after this version (long poll).
    Watch(u64),
    /// Ask for changes after this version without waiting.
    Poll(u64),
    /// Make no call: other nodes keep the copy current, or the store is lost.
    Skip,
}

/// Keeps one table up to date until the task is dropped.
pub(crate) async fn follow_table(state: Rc<GatewayState>, table: SharedTable) {
    let mut follower = TableFollower { state, table, snapshot_at: None, last_call_at: None };
    loop {
        let pause = follower.step().await;
        compio::time::sleep(pause).await;
    }
}

struct TableFollower {
    state: Rc<GatewayState>,
    table: SharedTable,
    /// When a snapshot was last read.
    snapshot_at: Option<Instant>,
    /// When the store was last called for this table.
    last_call_at: Option<Instant>,
}

impl TableFollower {
    /// Makes the call that is due, if any. Returns the delay until the next step.
    async fn step(&mut self) -> Duration {
        let next = self.next_read(Instant::now());
        if next != NextRead::Skip {
            self.last_call_at = Some(Instant::now());
        }
        let is_answered = match next {
            NextRead::Skip => return SKIP_INTERVAL,
            NextRead::Snapshot => self.read().await,
            NextRead::Watch(since) => {
                self.watch(since, self.state.table_timings(self.table).watch_timeout).await
            }
            NextRead::Poll(since) => self.watch(since, Duration::ZERO).await,
        };
        match (is_answered, self.state.store_connectivity.is_lost()) {
            (true, _) if self.state.is_planner.get() => PLANNER_WATCH_INTERVAL,
            (true, _) => WATCH_INTERVAL,
            (false, false) => RETRY_DELAY,
            (false, true) => STORE_LOST_RETRY_DELAY,
        }
    }

    fn next_read(&self, now: Instant) -> NextRead {
        let mirror = self.state.mirror.borrow();
        let Some(version) = mirror.version(self.table) else { return NextRead::Snapshot };
        let (watches_store, is_hub) = {
            let directory = self.state.directory.borrow();
            // The planner's node watches the store itself, so that it learns of changes at once.
            (directory.is_reader() || self.state.is_planner.get(), directory.is_large_fleet_hub())
        };
        let is_outdated = version_era(version) < self.state.store.store_era();
        let timings = self.state.table_timings(self.table);
        let max_age = if is_hub { timings.hub_max_age } else { timings.max_age };
        let is_stale = mirror.age(self.table, now).is_none_or(|age| age > max_age);
        let is_snapshot_recent =
            self.snapshot_at.is_some_and(|at| now.duration_since(at) <= SNAPSHOT_INTERVAL);
        let is_call_recent =
            self.last_call_at.is_some_and(|at| now.duration_since(at) < STORE_CHECK_INTERVAL);
        match (watches_store, is_stale, self.state.store_connectivity.is_lost()) {
            // While the store is lost, only calls for the operators' table check whether it answers
            // again: in every step if the copy of the table is stale, and otherwise once per
            // `STORE_CHECK_INTERVAL`.
            (_, false, true) if self.table != SharedTable::Operators || is_call_recent => {
                NextRead::Skip
            }
            (_, true, true) if self.table != SharedTable::Operators => NextRead::Skip,
            (_, _, true) => NextRead::Poll(version),
            (true, _, false) if !is_snapshot_recent || is_outdated => NextRead::Snapshot,
            (true, _, false) => NextRead::Watch(version),
            (false, true, false) => NextRead::Poll(version),
            (false, false, false) => NextRead::Skip,
        }
    }

    /// Reads a snapshot of the table. Returns whether the store answered.
    async fn read(&mut self) -> bool {
        match self.state.store.read(self.table).await {
            Ok(snapshot) => {
                let now = Instant::now();
                self.state.store_connectivity.record_success(now);
                self.apply(snapshot, now);
                self.snapshot_at = Some(now);
                true
            }
            Err(report) => self.record_failure(&report),
        }
    }

    /// Reads the changes after the version `since`, and waits up to `wait` for the first one.
    /// Returns whether the store answered.
    async fn watch(&mut self, since: u64, wait: Duration) -> bool {
        match self.state.store.watch(self.table, since, wait).await {
            Ok(Some(changes)) => {
                let now = Instant::now();
                self.state.store_connectivity.record_success(now);
                self.apply(changes, now);
                true
            }
            Ok(None) => {
                // The store no longer keeps the changes since this version.
                log::info!("event=history_lost table={:?} since={since}", self.table);
                self.state.store_connectivity.record_success(Instant::now());
                self.read().await
            }
            Err(report) => self.record_failure(&report),
        }
    }

    fn apply(&self, changes: TableChanges, now: Instant) {
        if self.state.update_table(self.table, Some(changes), Some(now)) {
            self.state.store_changed.notify(usize::MAX);
        }
    }

    /// Records a failed call. Always returns false: the store did not answer.
    fn record_failure(&self, report: &Report<StoreError>) -> bool {
        log::debug!("event=store_call_failed table={:?} reason=\"{report}\"", self.table);
        let now = Instant::now();
        self.state.store_connectivity.record_failure(self.last_call_at.unwrap_or(now), now);
        false
    }
}

/// Writes this node's peer address to the nodes table. Nodes without partners choose peers at
/// random from this table and their seeds. Retries until it succeeds, and writes the row again if it
/// was lost with an era of the store.
pub(crate) async fn register_node(state: Rc<GatewayState>) {
    let settings = state.settings();
    let node: NodeId = settings.node.clone();
    let key = RowKey::new(TableName::Nodes, eelgrassdeal_store::CONTROL_PARTITION, &node);
    loop {
        let body = bytes::Bytes::copy_from_slice(settings.listen.peers.as_bytes());
        let stored = TableStore::get(&state.store, key.clone()).await;
        let condition = match stored {
            Ok(Some(row)) if row.body == body => {
                wait_until_unregistered(&state, row.version).await;
                continue;
            }
            Ok(Some(row)) => Some(RowCondition::VersionIs(row.version)),
            Ok(None) => Some(RowCondition::Absent),
            Err(report) => {
                log::debug!("event=register_failed reason=\"{report}\"");
                None
            }
        };
        if let Some(condition) = condition {
            let write = RowWrite::put(key.clone(), condition, body);
            match state.store.transact(vec![write]).await {
                Ok(version) => {
                    wait_until_unregistered(&state, version.unwrap_or_default()).await;
                    continue;
                }
                Err(report) => log::debug!("event=register_failed reason=\"{report}\""),
            }
        }
        compio::time::sleep(RETRY_DELAY).await;
    }
}

/// Waits until this node's copy of the nodes table, which is kept without calls for this purpose, is
/// of a newer era of the store than `version` and lacks the row of this node.
async fn wait_until_unregistered(state: &GatewayState, version: u64) {
    let settings = state.settings();
    loop {
        compio::time::sleep(REGISTRATION_CHECK_INTERVAL).await;
        let mirror = state.mirror.borrow();
        let Some(table) = mirror.table(SharedTable::Nodes) else { continue };
        let is_newer = table.version().map_or(0, version_era) > version_era(version);
        if is_newer && table.row_version(&settings.node).is_none() {
            return;
        }
    }
}
