//! Reads the platform's list of VMs, which states for each VM whether it is live or leaving.

use std::rc::Rc;
use std::time::Duration;

use crate::state::NodeState;

/// A leaving VM must get no new requests after 5 s. This interval and the 1 s in which allowances
/// expire stay within that limit.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the list at intervals until the task is dropped. If a read fails, the previous list stays
/// in use.
pub(crate) async fn poll_vm_list(state: Rc<NodeState>) {
    loop {
        match state.platform.vm_list.read().await {
            Ok(vms) => *state.vms.borrow_mut() = Rc::new(vms),
            Err(report) => log::warn!("cannot read the list of VMs: {report}"),
        }
        compio::time::sleep(LIST_INTERVAL).await;
    }
}
