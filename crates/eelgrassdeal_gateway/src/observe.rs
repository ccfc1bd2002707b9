//! Metrics of the process.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::state::GatewayState;

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder of metrics for this process.
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

/// Metrics in the text exposition format.
pub(crate) fn render_metrics(state: &GatewayState) -> String {
    metrics::gauge!("eelgrassdeal_in_flight").set(f64::from(state.in_flight.get()));
    metrics::gauge!("eelgrassdeal_connections").set(f64::from(state.connections.get()));
    metrics::gauge!("eelgrassdeal_upstream_connections_opened").set(state.pool.opened() as f64);
    METRICS.get().map(PrometheusHandle::render).unwrap_or_default()
}
