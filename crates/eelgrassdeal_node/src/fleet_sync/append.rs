//! Appends entries that nodes write themselves.

use std::rc::Rc;
use std::time::Duration;

use eelgrassdeal_control::{FleetConfig, GroupPlan, change_from_plan};
use eelgrassdeal_store::AppendOutcome;
use eelgrassdeal_types::unix_ms_now;

use super::follow::{apply_changes, catch_up};
use crate::state::NodeState;

/// How often an append that lost against another one is computed again.
const APPEND_TRIES: u32 = 8;
/// Longest pause before the next try. It is random, because after the loss of a rack many owners
/// append at the same moment.
const MAX_PAUSE: Duration = Duration::from_millis(200);

/// Appends what `edit` asks for, computed from the newest revision on each try. Returns whether
/// the configuration is as `edit` wants it.
pub(crate) async fn append_edit(
    state: &Rc<NodeState>,
    edit: impl Fn(&FleetConfig) -> GroupPlan,
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
        let change = match change_from_plan(&fleet, &wanted, &state.node, unix_ms_now()) {
            Ok(change) => change,
            Err(problems) => {
                log::error!("the edit breaks an invariant: {}", problems[0]);
                return false;
            }
        };
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
