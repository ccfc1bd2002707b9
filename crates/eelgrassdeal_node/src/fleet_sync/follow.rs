//! Follows the configuration log.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_control::FleetConfig;
use eelgrassdeal_platform::LogError;
use eelgrassdeal_schema::config::ConfigChange;
use error_stack::Report;

use crate::state::{NodePhase, NodeState};

/// How often the head of the log is read. At 410 nodes this is 205 reads/s, of the 2,000 that the
/// table service bears.
const HEAD_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the head of the log and all missing revisions, until the task is dropped.
pub(crate) async fn follow_config(state: Rc<NodeState>) {
    loop {
        let started = Instant::now();
        match catch_up(&state).await {
            Ok(()) => {
                state.confirm(started);
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
    if head > revision {
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
        fleet.apply(change);
    }
    if fleet.revision() > before {
        log::info!("configuration revision {} is in force", fleet.revision());
        state.replicas.borrow_mut().follow(&fleet);
        state.set_fleet(fleet);
    }
}
