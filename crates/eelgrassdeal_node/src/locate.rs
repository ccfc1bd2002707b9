//! The locator: tells callers to which nodes they may send requests.

use std::rc::Rc;

use eelgrassdeal_routing::ServePermission;
use eelgrassdeal_schema::engine::LocateReply;
use eelgrassdeal_types::{CallError, ErrorKind, NodeId};

use crate::http::{Reply, json_reply};
use crate::slots::ReplicaTarget;
use crate::state::{NodePhase, NodeState};

/// Handles `GET /v1/locate?model=`. Without a model the reply lists nodes for any request.
pub(crate) fn locate(state: &Rc<NodeState>, query: Option<&str>) -> Result<Reply, CallError> {
    if state.phase.get() == NodePhase::Starting {
        let text = "the node has not read the configuration yet";
        return Err(CallError::new(ErrorKind::NotReady, text));
    }
    let fleet = state.fleet();
    let model = query
        .and_then(|query| query.split('&').find_map(|pair| pair.strip_prefix("model=")))
        .unwrap_or_default();
    if !model.is_empty() && fleet.model(model).is_none() {
        return Err(CallError::new(ErrorKind::UnknownModel, format!("no model {model:?}")));
    }
    let target = ReplicaTarget::Model(model.to_owned());
    let slots = state.slots.borrow();
    let may_serve_here = state.phase.get() == NodePhase::Serving
        && state.permission() != ServePermission::NoNewRequests;
    let is_usable = |vm: &str| match NodeId::from(vm) {
        node if node == state.node => may_serve_here,
        node if slots.failure_detector.is_suspected(&node) => false,
        // A node that isn't a reporter of any replica of the model has no slots of it and would
        // refuse the request.
        node => model.is_empty() || slots.is_reporter(&node, &target),
    };
    let mut addresses: Vec<String> = fleet
        .member_nodes()
        .filter(|vm| fleet.is_vm_in_service(&vm.id) && is_usable(&vm.id))
        .map(|vm| vm.address.clone())
        .collect();
    // Callers use the first address, so a random order distributes them over the nodes.
    rand::seq::SliceRandom::shuffle(addresses.as_mut_slice(), &mut rand::rng());
    let reply = LocateReply { addresses, ttl_ms: u64::from(state.limits.locate_ttl_ms) };
    Ok(json_reply(200, &reply))
}
