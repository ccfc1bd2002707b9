//! Writes this node's heartbeat row.

use std::rc::Rc;
use std::time::Duration;

use eelgrassdeal_schema::encode_message;
use eelgrassdeal_schema::records::HeartbeatRecord;
use eelgrassdeal_store::{RowCondition, RowKey, RowWrite, StoreError, TableName};

use crate::state::NodeState;

/// 41 writes/s at 410 nodes, of the several hundred that the table service bears.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(10);

/// Partition of the heartbeat rows.
pub(crate) const HEARTBEAT_PARTITION: &str = "heartbeat";

/// Writes the row until the task is dropped.
pub(crate) async fn write_heartbeats(state: Rc<NodeState>) {
    let key = RowKey::new(TableName::Nodes, HEARTBEAT_PARTITION, &state.node);
    let mut condition = None;
    loop {
        condition = write_once(&state, &key, condition).await;
        compio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Returns the condition for the next write, if it is known.
async fn write_once(
    state: &NodeState,
    key: &RowKey,
    known: Option<RowCondition>,
) -> Option<RowCondition> {
    let condition = match known {
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
