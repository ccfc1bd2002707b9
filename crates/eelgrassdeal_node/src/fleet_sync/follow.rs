//! Follows the configuration log.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_schema::config::ConfigChange;
use eelgrassdeal_store::LogError;
use eelgrassdeal_types::Revision;
use error_stack::Report;
use prost::Message;

use crate::state::{NodePhase, NodeState};

/// Longest time between two reads of the head of the log. With the random part, 410 nodes make
/// about 273 reads/s, of the 2,000 that the table service handles.
const HEAD_INTERVAL: Duration = Duration::from_secs(2);
/// Revisions kept for peers. At 10 changes a second they cover half a minute.
const RECENT_CHANGES: usize = 256;
/// Revisions in one answer to a peer; a peer message holds 64 KiB.
const MAX_PULL_BYTES: usize = 48 * 1024;

/// Reads the head of the log and all missing revisions, until the task is dropped.
pub(crate) async fn follow_config(state: Rc<NodeState>) {
    loop {
        let started = Instant::now();
        match catch_up(&state).await {
            Ok(()) => {
                state.confirmation.borrow_mut().record_store_read(started);
                if state.phase.get() == NodePhase::Starting {
                    log::info!("configuration read; revision {}", state.fleet().revision());
                    state.phase.set(NodePhase::Serving);
                }
            }
            Err(report) => log::warn!("cannot read the configuration: {report}"),
        }
        // A random part keeps the nodes from reading in step after an outage of the store.
        let pause = HEAD_INTERVAL.mul_f64(rand::random_range(0.5..1.0));
        compio::time::sleep(pause).await;
    }
}

/// Reads the revisions up to the head of the log.
pub(crate) async fn catch_up(state: &Rc<NodeState>) -> Result<(), Report<LogError>> {
    let head = state.platform.log.head().await?;
    let revision = state.fleet().revision();
    if head > revision && revision == 0 {
        let loaded = state.platform.log.load().await?;
        if let Some(snapshot) = loaded.snapshot {
            put_in_force(state, FleetConfig::from_snapshot(snapshot));
        }
        apply_changes(state, &loaded.changes);
    } else if head > revision {
        let changes = state.platform.log.changes_after(revision).await?;
        apply_changes(state, &changes);
    }
    Ok(())
}

/// Puts changes in force in their order. Those that do not follow the revision in force are left
/// out.
pub(crate) fn apply_changes(state: &Rc<NodeState>, changes: &[ConfigChange]) {
    let mut fleet = FleetConfig::clone(&state.fleet());
    let before = fleet.revision();
    for change in changes {
        if fleet.apply(change) {
            keep_recent(state, change);
        }
    }
    if fleet.revision() > before {
        put_in_force(state, fleet);
    }
}

fn put_in_force(state: &Rc<NodeState>, fleet: FleetConfig) {
    log::info!("configuration revision {} is in force", fleet.revision());
    let mut slots = state.slots.borrow_mut();
    slots.follow(&fleet, Instant::now());
    state.confirmation.borrow_mut().set_peers(slots.peers());
    drop(slots);
    state.set_fleet(fleet);
}

/// Revisions after `revision`, as far as they are kept here.
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

fn keep_recent(state: &NodeState, change: &ConfigChange) {
    let mut recent = state.recent_changes.borrow_mut();
    recent.push_back(change.clone());
    if recent.len() > RECENT_CHANGES {
        recent.pop_front();
    }
}
