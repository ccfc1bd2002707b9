//! Follows the platform's list of live and leaving VMs.

use std::rc::Rc;
use std::time::Duration;

use crate::state::NodeState;

/// A leaving VM must get no new work within 5 s: this interval, and 1 s until allowances lapse.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the list until the task is dropped. A list that cannot be read changes nothing.
pub(crate) async fn follow_vm_list(state: Rc<NodeState>) {
    loop {
        match state.platform.vm_list.read().await {
            Ok(vms) => *state.vms.borrow_mut() = Rc::new(vms),
            Err(report) => log::warn!("cannot read the list of VMs: {report}"),
        }
        compio::time::sleep(LIST_INTERVAL).await;
    }
}
