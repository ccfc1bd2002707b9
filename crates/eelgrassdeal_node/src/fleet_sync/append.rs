//! Appends entries that nodes write themselves.

use std::rc::Rc;
use std::time::Duration;

use eelgrassdeal_control::{FleetConfig, check_fleet};
use eelgrassdeal_platform::AppendOutcome;
use eelgrassdeal_schema::config::{ConfigChange, ConfigEntry, EntryKey};
use eelgrassdeal_types::{new_writer_mark, unix_ms_now};

use super::follow::{apply_changes, catch_up};
use crate::state::NodeState;

/// How often an append that lost against another one is computed again.
const APPEND_TRIES: u32 = 8;
/// Longest pause before the next try. It is random, because after the loss of a rack many owners
/// append at the same moment.
const MAX_PAUSE: Duration = Duration::from_millis(200);

/// Entries to write and to remove.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryEdit {
    pub(crate) upsert: Vec<ConfigEntry>,
    pub(crate) remove: Vec<EntryKey>,
}

impl EntryEdit {
    fn is_empty(&self) -> bool {
        self.upsert.is_empty() && self.remove.is_empty()
    }
}

/// Appends what `edit` asks for, computed from the newest revision on each try. Returns whether
/// the configuration is as `edit` wants it.
pub(crate) async fn append_edit(
    state: &Rc<NodeState>,
    edit: impl Fn(&FleetConfig) -> EntryEdit,
) -> bool {
    for _ in 0..APPEND_TRIES {
        if catch_up(state).await.is_err() {
            return false;
        }
        let fleet = state.fleet();
        let wanted = edit(&fleet);
        if wanted.is_empty() {
            return true;
        }
        let change = ConfigChange {
            revision: fleet.revision() + 1,
            writer_mark: new_writer_mark(),
            author: state.node.to_string(),
            accepted_unix_ms: unix_ms_now(),
            upsert: wanted.upsert,
            remove: wanted.remove,
        };
        let mut next = FleetConfig::clone(&fleet);
        next.apply(&change);
        if let Some(problem) = check_fleet(&next).first() {
            log::error!("the edit breaks an invariant: {problem}");
            return false;
        }
        match state.platform.log.append(&change).await {
            AppendOutcome::Accepted => {
                apply_changes(state, &[change]);
                return true;
            }
            AppendOutcome::Conflict(_) => {
                compio::time::sleep(MAX_PAUSE.mul_f64(rand::random())).await;
            }
            AppendOutcome::Unknown => return false,
        }
    }
    false
}
