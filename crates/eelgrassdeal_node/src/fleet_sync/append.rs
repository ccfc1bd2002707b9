//! Appends configuration changes that nodes make themselves, without an operator.

use std::rc::Rc;
use std::time::Duration;

use eelgrassdeal_control::{ConfigPlan, FleetConfig, change_from_plan};
use eelgrassdeal_store::AppendOutcome;
use eelgrassdeal_types::unix_ms_now;

use super::config_poll::{apply_changes, catch_up};
use crate::state::NodeState;

/// Maximum number of attempts to append a change. A change is computed anew after each conflict
/// with another append.
const MAX_APPEND_ATTEMPTS: u32 = 8;
/// Maximum delay before the next attempt. The delay is random, because after the loss of a rack
/// many owners append at the same time.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Appends the change that `compute_plan` returns for the latest revision, which is read before
/// each attempt. Returns whether the change was appended or was not needed.
pub(crate) async fn append_plan(
    state: &Rc<NodeState>,
    compute_plan: impl Fn(&FleetConfig) -> ConfigPlan,
) -> bool {
    for _ in 0..MAX_APPEND_ATTEMPTS {
        if catch_up(state).await.is_err() {
            return false;
        }
        let fleet = state.fleet();
        let plan = compute_plan(&fleet);
        if plan.is_empty() {
            return true;
        }
        let change = match change_from_plan(&fleet, &plan, &state.node, unix_ms_now()) {
            Ok(change) => change,
            Err(problems) => {
                log::error!("configuration change violates an invariant: {}", problems[0]);
                return false;
            }
        };
        match state.platform.log.append(&change).await {
            AppendOutcome::Accepted => {
                apply_changes(state, &[change]);
                return true;
            }
            AppendOutcome::Conflict(_) => {
                compio::time::sleep(MAX_RETRY_DELAY.mul_f64(rand::random())).await;
            }
            AppendOutcome::Unknown => return false,
        }
    }
    false
}
