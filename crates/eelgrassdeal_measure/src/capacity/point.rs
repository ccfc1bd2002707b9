//! One measured point.

use std::collections::BTreeMap;

use serde_json::{Value, json};

/// Size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FleetSize {
    pub(super) nodes: usize,
    pub(super) replicas: usize,
}

/// Counters of one purpose, by purpose: bytes sent, bytes received, calls.
pub(super) type TrafficCounts = BTreeMap<String, [f64; 3]>;

/// Figures of the measured node, and of the store under all nodes.
#[derive(Clone, Debug)]
pub(super) struct CapacityPoint {
    pub(super) size: FleetSize,
    /// Configuration changes asked for, in 1/s.
    pub(super) changes: f64,
    /// Revisions accepted during the measurement.
    pub(super) accepted: usize,
    /// Bytes/s sent, bytes/s received and calls/s of the measured node.
    pub(super) traffic: TrafficCounts,
    pub(super) core_percent: f64,
    pub(super) resident_mb: f64,
    /// Calls/s to the table service by all nodes and the author of the changes.
    pub(super) store_reads: f64,
    pub(super) store_writes: f64,
    /// Time from the acceptance until a change is in force on all nodes: p50, p95, maximum.
    pub(super) in_force_ms: [f64; 3],
    /// Changes that were in force on every node at the end.
    pub(super) in_force: usize,
}

impl CapacityPoint {
    /// Control bytes/s of the node, both directions.
    pub(super) fn bytes_per_second(&self) -> f64 {
        self.traffic.values().map(|[sent, received, _]| sent + received).sum()
    }

    /// The point as one line of JSON.
    pub(super) fn to_json(&self) -> Value {
        let round = |value: f64| (value * 100.0).round() / 100.0;
        let traffic: BTreeMap<&String, [f64; 3]> =
            self.traffic.iter().map(|(purpose, rates)| (purpose, rates.map(round))).collect();
        json!({
            "nodes": self.size.nodes,
            "replicas": self.size.replicas,
            "changes_per_s": self.changes,
            "accepted": self.accepted,
            "in_force": self.in_force,
            "in_force_ms_p50_p95_max": self.in_force_ms.map(round),
            "control_bytes_per_s": round(self.bytes_per_second()),
            "sent_received_calls_per_s": traffic,
            "control_core_percent": round(self.core_percent),
            "resident_mb": round(self.resident_mb),
            "store_reads_per_s_all": round(self.store_reads),
            "store_writes_per_s_all": round(self.store_writes),
        })
    }
}

/// Reads the counters of control traffic from the text of `GET /metrics`.
pub(super) fn read_traffic(text: &str) -> TrafficCounts {
    let mut counts = TrafficCounts::new();
    for line in text.lines() {
        let Some((name, value)) = line.rsplit_once(' ') else { continue };
        let label = |label: &str| {
            let start = name.split_once(&format!("{label}=\""))?.1;
            start.split('"').next().map(str::to_owned)
        };
        let column = match (name.split('{').next(), label("direction").as_deref()) {
            (Some("eelgrassdeal_control_bytes_total"), Some("sent")) => 0,
            (Some("eelgrassdeal_control_bytes_total"), Some("received")) => 1,
            (Some("eelgrassdeal_control_calls_total" | "eelgrassdeal_peer_calls_total"), _) => 2,
            _ => continue,
        };
        if let (Some(purpose), Ok(value)) = (label("purpose"), value.parse()) {
            counts.entry(purpose).or_default()[column] = value;
        }
    }
    counts
}

/// Rates from the counters at the start and the end of `seconds`.
pub(super) fn traffic_rates(
    before: &TrafficCounts,
    after: &TrafficCounts,
    seconds: f64,
) -> TrafficCounts {
    let mut rates = TrafficCounts::new();
    for (purpose, counts) in after {
        let start = before.get(purpose).copied().unwrap_or_default();
        let rate = std::array::from_fn(|column| (counts[column] - start[column]) / seconds);
        rates.insert(purpose.clone(), rate);
    }
    rates
}
