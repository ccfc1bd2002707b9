//! Requests of operators, readiness checks and metrics.

use std::rc::Rc;
use std::sync::OnceLock;
use std::time::Instant;

use eelgrassdeal_http::RequestBody;
use eelgrassdeal_schema::admin::NodeStatus;
use eelgrassdeal_schema::config::ConfigChange;
use eelgrassdeal_schema::decode_message;
use eelgrassdeal_types::{CallError, ErrorKind};
use hyper::{Method, Request};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::call::header_text;
use crate::fleet_sync;
use crate::http::{Reply, json_reply, read_body, text_reply};
use crate::state::{NodePhase, NodeState};

/// Renders the metrics. The recorder is global, so all nodes of a process share it.
static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder of this process, if none is installed yet.
pub(crate) fn install_metrics() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    // This fails for every further node of the process, which then shares the first recorder.
    if metrics::set_global_recorder(recorder).is_ok() {
        let _ = METRICS.set(handle);
    }
}

/// Handles `GET /metrics`: renders the metrics in the Prometheus text exposition format.
pub(crate) fn metrics_text(state: &Rc<NodeState>) -> Reply {
    metrics::gauge!("eelgrassdeal_in_flight").set(f64::from(state.in_flight.get()));
    metrics::gauge!("eelgrassdeal_connections").set(f64::from(state.connections.get()));
    update_peer_counters(state);
    text_reply(200, METRICS.get().map(PrometheusHandle::render).unwrap_or_default())
}

/// Copies the numbers of bytes and messages exchanged with peers into the control traffic metrics.
fn update_peer_counters(state: &NodeState) {
    let Some(client) = state.peers.borrow().clone() else { return };
    let counters = client.counters();
    let bytes = |direction| {
        metrics::counter!(
            "eelgrassdeal_control_bytes_total",
            "purpose" => "peer",
            "direction" => direction
        )
    };
    bytes("sent").absolute(counters.values().map(|peer| peer.udp_bytes_sent).sum());
    bytes("received").absolute(counters.values().map(|peer| peer.udp_bytes_received).sum());
    metrics::counter!("eelgrassdeal_control_calls_total", "purpose" => "peer")
        .absolute(counters.values().map(|peer| peer.messages_sent).sum());
}

/// Handles `GET /readyz`: 200 while the node accepts requests and is in locator replies, otherwise
/// 503 with the name of the phase.
pub(crate) fn readiness(state: &Rc<NodeState>) -> Reply {
    match state.phase.get() {
        NodePhase::Serving => text_reply(200, "ready"),
        phase => text_reply(503, phase.name()),
    }
}

/// Handles requests to paths below `/admin/`, which need the admin token.
pub(crate) async fn handle_request(
    state: &Rc<NodeState>,
    request: Request<RequestBody>,
) -> Result<Reply, CallError> {
    check_admin(state, &request)?;
    match (request.method().clone(), request.uri().path()) {
        (Method::GET, "/admin/status") => Ok(json_reply(200, &node_status(state))),
        (Method::POST, "/admin/config") => {
            let bytes = read_body(request.into_body(), &state.limits).await?;
            let change: ConfigChange = decode_message(&bytes)
                .map_err(|_| CallError::new(ErrorKind::BadRequest, "not a ConfigChange"))?;
            // Operators send a change that they have appended to the configuration log, which is
            // not checked here. It becomes active before this node reads the log the next time.
            fleet_sync::apply_changes(state, &[change]);
            Ok(json_reply(200, &node_status(state)))
        }
        _ => Ok(text_reply(404, "no such path")),
    }
}

fn check_admin(state: &NodeState, request: &Request<RequestBody>) -> Result<(), CallError> {
    let presented = header_text(request.headers(), "authorization")
        .and_then(|value| value.strip_prefix("Bearer "));
    match (&state.secrets.admin, presented) {
        (Some(expected), Some(presented)) if expected == presented => Ok(()),
        (_, None) => Err(CallError::new(ErrorKind::Unauthorized, "no admin token")),
        _ => Err(CallError::new(ErrorKind::Forbidden, "not the admin token of this node")),
    }
}

fn node_status(state: &NodeState) -> NodeStatus {
    let fleet = state.fleet();
    let confirmed_age_ms = state
        .confirmed_age()
        .map_or(u64::MAX, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
    NodeStatus {
        node: state.node.to_string(),
        start_id: state.start_id.to_string(),
        revision: fleet.revision(),
        confirmed_age_ms,
        state: state.phase.get().name().to_owned(),
        replicas: state.slots.borrow().replica_statuses(Instant::now()),
        buffered_bytes: state.memory_budget.used_bytes(),
        in_flight: state.in_flight.get(),
    }
}
