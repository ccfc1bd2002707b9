//! Writes this node's heartbeat row.

use std::rc::Rc;
use std::time::Duration;

use eelgrassdeal_schema::encode_message;
use eelgrassdeal_schema::records::HeartbeatRecord;
use eelgrassdeal_store::{RowCondition, RowKey, RowWrite, StoreError, TableName};

use crate::state::NodeState;

/// With 410 nodes, the assumed size of the fleet, this makes 41 writes/s, of the several hundred
/// that the table service handles.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(10);

/// Partition of the heartbeat rows in the table of nodes. The sort key of a row is the name of its
/// node.
pub(crate) const HEARTBEAT_PARTITION: &str = "heartbeat";

/// Writes the heartbeat row at intervals until the task is dropped.
pub(crate) async fn write_heartbeats(state: Rc<NodeState>) {
    let key = RowKey::new(TableName::Nodes, HEARTBEAT_PARTITION, &state.node);
    let mut condition = None;
    loop {
        condition = write_heartbeat(&state, &key, condition).await;
        compio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Writes the row once. `known_condition` is the condition that the previous write returned;
/// without it the row is read first. Returns the condition for the next write; `None` if the row's
/// version is unknown because a read or write failed.
async fn write_heartbeat(
    state: &NodeState,
    key: &RowKey,
    known_condition: Option<RowCondition>,
) -> Option<RowCondition> {
    let condition = match known_condition {
        Some(condition) => condition,
        None => match state.platform.table.get(key.clone()).await {
            Ok(Some(row)) => RowCondition::VersionIs(row.version),
            Ok(None) => RowCondition::Absent,
            Err(_) => return None,
        },
    };
    let record = HeartbeatRecord {
        node: state.node.to_string(),
        start_id: state.start_id.to_string(),
        revision: state.fleet().revision(),
    };
    let write = RowWrite::put(key.clone(), condition, encode_message(&record));
    match state.platform.table.transact(vec![write]).await {
        Ok(_) => match condition {
            RowCondition::Absent => Some(RowCondition::VersionIs(1)),
            RowCondition::VersionIs(version) => Some(RowCondition::VersionIs(version + 1)),
        },
        Err(report) => {
            if !matches!(report.current_context(), StoreError::Conflict { .. }) {
                log::warn!("cannot write the heartbeat: {report}");
            }
            None
        }
    }
}
