//! Metrics of the process in the Prometheus text format.

use std::sync::OnceLock;
use std::time::Instant;

use eelgrassdeal_dispatch::{NoticeCause, PlacementTarget};
use eelgrassdeal_logging::dropped_lines;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::state::GatewayState;

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the global metrics recorder. On failure the gateway runs without metrics.
pub(crate) fn install_metrics() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    match metrics::set_global_recorder(recorder) {
        Ok(()) => {
            let _ = METRICS.set(handle);
        }
        Err(error) => log::warn!("event=metrics_unavailable reason=\"{error}\""),
    }
}

/// Updates the gauges from `state` and renders all metrics in the Prometheus text format.
pub(crate) fn render_metrics(state: &GatewayState) -> String {
    metrics::gauge!("eelgrassdeal_in_flight").set(f64::from(state.in_flight.get()));
    metrics::gauge!("eelgrassdeal_connections").set(f64::from(state.connections.get()));
    // The number of connections opened since the start, not of those that are open now.
    metrics::gauge!("eelgrassdeal_upstream_connections_opened")
        .set(state.upstream_pool.opened_count() as f64);
    metrics::gauge!("eelgrassdeal_store_era").set(state.store.store_era() as f64);
    let response_bytes = state.response_budget.lock().map_or(0, |budget| budget.held());
    let request_bytes = state.request_budget.lock().map_or(0, |budget| budget.held());
    metrics::gauge!("eelgrassdeal_request_bytes_held").set(request_bytes as f64);
    metrics::gauge!("eelgrassdeal_response_bytes_held").set(response_bytes as f64);
    metrics::gauge!("eelgrassdeal_log_lines_dropped").set(dropped_lines() as f64);
    let now = Instant::now();
    for cause in NoticeCause::ALL {
        metrics::gauge!("eelgrassdeal_upstreams_set_aside", "cause" => cause.name())
            .set(state.notices.borrow().count(cause, now) as f64);
    }
    metrics::gauge!("eelgrassdeal_limited_upstreams")
        .set(state.rate_limits.borrow().count() as f64);
    set_spreads(state, now);
    METRICS.get().map(PrometheusHandle::render).unwrap_or_default()
}

/// Sets the gauge of the estimated spread over the replicas of each model; 1 without requests.
fn set_spreads(state: &GatewayState, now: Instant) {
    let Some(config) = state.config() else { return };
    let (view, loads) = (state.view(), state.loads.borrow());
    for spec in config.services.values() {
        for model in spec.engine.iter().flat_map(|engine| &engine.models) {
            let replicas = view.replicas(&spec.service, &model.model);
            let targets: Vec<_> =
                replicas.into_iter().map(|replica| PlacementTarget::new(replica.head)).collect();
            let labels =
                [("service", spec.service.to_string()), ("model", model.model.to_string())];
            metrics::gauge!("eelgrassdeal_load_spread", &labels)
                .set(loads.estimated_spread(&targets, now).unwrap_or(1.0));
        }
    }
}
