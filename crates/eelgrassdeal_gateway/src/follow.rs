//! Following the tables of the store, by the store itself or by other nodes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_platform::SharedTable;
use eelgrassdeal_store::{RowCondition, RowKey, RowWrite, TableName, TableStore};
use eelgrassdeal_types::NodeId;

use crate::peers::pull_table;
use crate::state::GatewayState;

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Pause between two watches of the upstreams, which change often.
const UPSTREAM_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two watches of other tables, to bound the calls of a storm of changes.
const TABLE_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(350);
/// A table is read whole after this time, in case a watch lost a change.
const REREAD_TIME: Duration = Duration::from_secs(10);

/// Keeps one table up to date until the task is dropped.
pub(crate) async fn follow_table(state: Rc<GatewayState>, table: SharedTable) {
    let mut read_at: Option<Instant> = None;
    loop {
        let is_due = read_at.is_none_or(|at| at.elapsed() > REREAD_TIME);
        let since = state.mirror.borrow().version(table).filter(|_| !is_due);
        let is_answered = match since {
            Some(since) => watch_table(&state, table, since, &mut read_at).await,
            None => read_table(&state, table, &mut read_at).await,
        };
        let pause = match (is_answered, table) {
            (false, _) => {
                pull_table(&state, table).await;
                RETRY_PAUSE
            }
            (true, SharedTable::Upstreams) => UPSTREAM_PAUSE,
            (true, _) => TABLE_PAUSE,
        };
        compio::time::sleep(pause).await;
    }
}

async fn read_table(
    state: &GatewayState,
    table: SharedTable,
    read_at: &mut Option<Instant>,
) -> bool {
    match state.store.read(table).await {
        Ok(all) => {
            let now = Instant::now();
            note_answer(state, now);
            state.mirror.borrow_mut().replace(table, all, now);
            *read_at = Some(now);
            true
        }
        Err(report) => note_failure(state, table, &report),
    }
}

async fn watch_table(
    state: &GatewayState,
    table: SharedTable,
    since: u64,
    read_at: &mut Option<Instant>,
) -> bool {
    match state.store.watch(table, since, WATCH_WAIT).await {
        Ok(changes) => {
            let now = Instant::now();
            note_answer(state, now);
            match changes {
                Some(changes) => state.mirror.borrow_mut().apply(table, changes, now),
                None => {
                    log::info!("event=history_lost table={table:?} since={since}");
                    *read_at = None;
                }
            }
            true
        }
        Err(report) => note_failure(state, table, &report),
    }
}

fn note_answer(state: &GatewayState, now: Instant) {
    if state.contact.note_answer(now) {
        state.mirror.borrow_mut().note_store_return(now);
    }
}

fn note_failure(
    state: &GatewayState,
    table: SharedTable,
    report: &error_stack::Report<eelgrassdeal_store::StoreError>,
) -> bool {
    log::debug!("event=store_call_failed table={table:?} reason=\"{report}\"");
    state.contact.note_failure(Instant::now());
    false
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
                Ok(()) => return,
                Err(report) => log::debug!("event=register_failed reason=\"{report}\""),
            }
        }
        compio::time::sleep(RETRY_PAUSE).await;
    }
}
