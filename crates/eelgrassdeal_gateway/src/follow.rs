//! Following the tables of the store.
//!
//! One node, the reader, waits at the store for changes and passes them on with the messages between
//! nodes. The others ask the store only when no node has told them for a while that their copies are
//! current.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{SharedTable, TableChanges};
use eelgrassdeal_store::{RowCondition, RowKey, RowWrite, StoreError, TableName, TableStore};
use eelgrassdeal_types::NodeId;
use error_stack::Report;

use crate::state::GatewayState;

/// Pause between two watches of a table, so that changes that come together cost one call.
const WATCH_PAUSE: Duration = Duration::from_millis(100);
/// The same for the planner, which acts on each change.
const PLANNER_PAUSE: Duration = Duration::from_millis(30);
/// Longest pause of a node that relies on others, until it looks again.
const REST_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(350);
/// The same while the store is lost: the nodes together should not press it when it comes back.
const LOST_PAUSE: Duration = Duration::from_secs(1);
/// Pause between two calls that only show whether the store answers this node again, while others
/// tell it what is new.
const CONTACT_PAUSE: Duration = Duration::from_secs(3);
/// A table is read whole after this time, in case a watch lost a change.
const REREAD_TIME: Duration = Duration::from_secs(10);

/// What a node does next to know a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextRead {
    /// Reads the whole table.
    Whole,
    /// Asks for changes after a version, and waits for them.
    Watch(u64),
    /// Asks for changes after a version.
    Check(u64),
    /// Relies on others.
    Rest,
}

/// Keeps one table up to date until the task is dropped.
pub(crate) async fn follow_table(state: Rc<GatewayState>, table: SharedTable) {
    let mut follower = TableFollower { state, table, read_at: None, called_at: None };
    loop {
        let pause = follower.step().await;
        compio::time::sleep(pause).await;
    }
}

struct TableFollower {
    state: Rc<GatewayState>,
    table: SharedTable,
    /// When the whole table was last read.
    read_at: Option<Instant>,
    /// When the store was last called.
    called_at: Option<Instant>,
}

impl TableFollower {
    /// Does what is due. Returns the pause until the next step.
    async fn step(&mut self) -> Duration {
        let next = self.next_read(Instant::now());
        if next != NextRead::Rest {
            self.called_at = Some(Instant::now());
        }
        let is_answered = match next {
            NextRead::Rest => return REST_PAUSE,
            NextRead::Whole => self.read().await,
            NextRead::Watch(since) => self.watch(since, self.state.pace(self.table).wait).await,
            NextRead::Check(since) => self.watch(since, Duration::ZERO).await,
        };
        match (is_answered, self.state.contact.is_lost()) {
            (true, _) if self.state.is_planner.get() => PLANNER_PAUSE,
            (true, _) => WATCH_PAUSE,
            (false, false) => RETRY_PAUSE,
            (false, true) => LOST_PAUSE,
        }
    }

    fn next_read(&self, now: Instant) -> NextRead {
        let mirror = self.state.mirror.borrow();
        let Some(version) = mirror.version(self.table) else { return NextRead::Whole };
        let (is_reader, is_hub) = {
            let directory = self.state.directory.borrow();
            // The planner waits for changes itself, to act on them at once.
            (directory.is_reader() || self.state.is_planner.get(), directory.is_hub())
        };
        let pace = self.state.pace(self.table);
        let patience = if is_hub { pace.hub_patience } else { pace.patience };
        let is_stale = mirror.age(self.table, now).is_none_or(|age| age > patience);
        let is_read = self.read_at.is_some_and(|at| now.duration_since(at) <= REREAD_TIME);
        let has_called = self.called_at.is_some_and(|at| now.duration_since(at) < CONTACT_PAUSE);
        match (is_reader, is_stale, self.state.contact.is_lost()) {
            // One table shows whether the store is back.
            (_, false, true) if self.table != SharedTable::Operators || has_called => {
                NextRead::Rest
            }
            (_, true, true) if self.table != SharedTable::Operators => NextRead::Rest,
            (_, _, true) => NextRead::Check(version),
            (true, _, false) if !is_read => NextRead::Whole,
            (true, _, false) => NextRead::Watch(version),
            (false, true, false) => NextRead::Check(version),
            (false, false, false) => NextRead::Rest,
        }
    }

    async fn read(&mut self) -> bool {
        match self.state.store.read(self.table).await {
            Ok(all) => {
                let now = Instant::now();
                self.state.contact.note_answer(now);
                self.take(all, now);
                self.read_at = Some(now);
                true
            }
            Err(report) => self.note_failure(&report),
        }
    }

    async fn watch(&mut self, since: u64, wait: Duration) -> bool {
        match self.state.store.watch(self.table, since, wait).await {
            Ok(Some(changes)) => {
                let now = Instant::now();
                self.state.contact.note_answer(now);
                self.take(changes, now);
                true
            }
            Ok(None) => {
                log::info!("event=history_lost table={:?} since={since}", self.table);
                self.state.contact.note_answer(Instant::now());
                self.read().await
            }
            Err(report) => self.note_failure(&report),
        }
    }

    fn take(&self, changes: TableChanges, now: Instant) {
        if self.state.take_table(self.table, Some(changes), Some(now)) {
            self.state.news.notify(usize::MAX);
        }
    }

    fn note_failure(&self, report: &Report<StoreError>) -> bool {
        log::debug!("event=store_call_failed table={:?} reason=\"{report}\"", self.table);
        let now = Instant::now();
        self.state.contact.note_failure(self.called_at.unwrap_or(now), now);
        false
    }
}

/// Writes this node's row, by which nodes find each other when no seed answers.
pub(crate) async fn register_node(state: Rc<GatewayState>) {
    let settings = state.settings();
    let node: NodeId = settings.node.clone();
    let key = RowKey::new(TableName::Nodes, eelgrassdeal_store::CONTROL_PARTITION, &node);
    loop {
        let body = bytes::Bytes::copy_from_slice(settings.listen.peers.as_bytes());
        let known = TableStore::get(&state.store, key.clone()).await;
        let condition = match known {
            Ok(Some(row)) if row.body == body => return,
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
                Ok(_) => return,
                Err(report) => log::debug!("event=register_failed reason=\"{report}\""),
            }
        }
        compio::time::sleep(RETRY_PAUSE).await;
    }
}
