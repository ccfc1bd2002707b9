//! Fleets with upstreams that write any bytes.

#![allow(dead_code, reason = "no test file uses all helpers")]
#![allow(unreachable_pub, reason = "shared by several test files")]

pub mod odd_answers;

use std::time::Duration;

use eelgrassdeal_schema::config::Upstream;
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_testkit::{FleetSpec, SERVICE, TestFleet, wait_until};

/// Answer to a probe by which the upstream is ready.
pub const READY_STATUS: &str = r#"{"start_id":"start","state":"ready","running":0}"#;
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

fn upstream_entry(index: usize, address: String) -> Body {
    Body::Upstream(Upstream {
        id: format!("raw-{index}"),
        service: SERVICE.to_owned(),
        address,
        data_centre: TestFleet::centre_id(0),
        slots: 64,
        cold_slots: 64,
        state: "in_service".to_owned(),
    })
}

/// Starts a fleet whose service has only the upstreams at `addresses`, which are named `raw-0`, `raw-1` and
/// so on.
pub async fn start_fleet(spec: FleetSpec, addresses: Vec<String>) -> TestFleet {
    let fleet = TestFleet::start(FleetSpec { service_upstreams: 0, ..spec }).await;
    let entries = addresses.into_iter().enumerate();
    fleet.apply(entries.map(|(index, address)| upstream_entry(index, address)).collect()).await;
    fleet
}

/// Like [`start_fleet`], and waits until the first node sends requests to all upstreams.
pub async fn start_serving_fleet(spec: FleetSpec, addresses: Vec<String>) -> TestFleet {
    let count = addresses.len();
    let fleet = start_fleet(spec, addresses).await;
    let is_serving = async || serving_upstreams(&fleet).await.len() == count;
    assert!(wait_until(WAIT_TIMEOUT, is_serving).await, "the upstreams serve");
    fleet
}

/// Statuses of the upstreams to which the first node sends requests.
pub async fn serving_upstreams(fleet: &TestFleet) -> Vec<serde_json::Value> {
    let status = fleet.node_status(0).await.unwrap_or_default();
    let mut replicas = status["replicas"].as_array().cloned().unwrap_or_default();
    replicas.retain(|replica| replica["serving"] == true && replica.to_string().contains("raw-"));
    replicas
}
