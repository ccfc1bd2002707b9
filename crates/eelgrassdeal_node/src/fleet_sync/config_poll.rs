//! Reads new revisions from the configuration log, and activates them on this node.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_schema::config::ConfigChange;
use eelgrassdeal_store::LogError;
use eelgrassdeal_types::Revision;
use error_stack::Report;
use prost::Message;

use crate::state::{NodePhase, NodeState};

/// Maximum time between two reads of the head of the log. The time is random, from half of this up.
/// 410 nodes, the assumed size of the fleet, make about 273 reads/s, of the 2,000 that the table
/// service handles.
const HEAD_INTERVAL: Duration = Duration::from_secs(2);
/// Number of recent revisions kept for peers. At 10 changes/s they cover about 26 s.
const MAX_RECENT_CHANGES: usize = 256;
/// Maximum total size of the revisions in one reply to a peer. A peer message holds at most 64 KiB.
const MAX_PULL_BYTES: usize = 48 * 1024;

/// Reads the head of the log at intervals, and all missing revisions, until the task is dropped.
/// The first successful read makes the node ready to serve.
pub(crate) async fn poll_config(state: Rc<NodeState>) {
    loop {
        let started_at = Instant::now();
        match catch_up(&state).await {
            Ok(()) => {
                state.confirmation.borrow_mut().record_store_read(started_at);
                if state.phase.get() == NodePhase::Starting {
                    log::info!("configuration read at revision {}", state.fleet().revision());
                    state.phase.set(NodePhase::Serving);
                }
            }
            Err(report) => log::warn!("cannot read the configuration: {report}"),
        }
        // A random delay keeps the nodes from reading at the same time after an outage of the
        // store.
        let delay = HEAD_INTERVAL.mul_f64(rand::random_range(0.5..1.0));
        compio::time::sleep(delay).await;
    }
}

/// Reads and activates all revisions up to the head of the log. A node without a configuration
/// starts from the snapshot, if there is one.
pub(crate) async fn catch_up(state: &Rc<NodeState>) -> Result<(), Report<LogError>> {
    let head = state.platform.log.head().await?;
    let revision = state.fleet().revision();
    if head > revision && revision == 0 {
        let loaded = state.platform.log.load().await?;
        if let Some(snapshot) = loaded.snapshot {
            activate_config(state, FleetConfig::from_snapshot(snapshot));
        }
        apply_changes(state, &loaded.changes);
    } else if head > revision {
        let changes = state.platform.log.changes_after(revision).await?;
        apply_changes(state, &changes);
    }
    Ok(())
}

/// Applies changes in order of their revisions, and activates the resulting configuration. Changes
/// that do not directly follow the active revision are ignored.
pub(crate) fn apply_changes(state: &Rc<NodeState>, changes: &[ConfigChange]) {
    let mut fleet = FleetConfig::clone(&state.fleet());
    let active_revision = fleet.revision();
    for change in changes {
        if fleet.apply(change) {
            store_recent_change(state, change);
        }
    }
    if fleet.revision() > active_revision {
        activate_config(state, fleet);
    }
}

/// Makes `fleet` the active configuration of this node.
fn activate_config(state: &Rc<NodeState>, fleet: FleetConfig) {
    log::info!("configuration revision {} is active", fleet.revision());
    let mut slots = state.slots.borrow_mut();
    slots.apply_config(&fleet, Instant::now());
    state.confirmation.borrow_mut().set_peers(slots.reporter_peers());
    drop(slots);
    state.set_fleet(fleet);
}

/// Changes after `revision`, as far as this node still keeps them and they fit into one reply.
pub(crate) fn recent_changes(state: &NodeState, revision: Revision) -> Vec<ConfigChange> {
    let recent = state.recent_changes.borrow();
    let mut size = 0;
    recent
        .iter()
        .filter(|change| change.revision > revision)
        .take_while(|change| {
            size += change.encoded_len();
            size <= MAX_PULL_BYTES
        })
        .cloned()
        .collect()
}

fn store_recent_change(state: &NodeState, change: &ConfigChange) {
    let mut recent = state.recent_changes.borrow_mut();
    recent.push_back(change.clone());
    if recent.len() > MAX_RECENT_CHANGES {
        recent.pop_front();
    }
}
