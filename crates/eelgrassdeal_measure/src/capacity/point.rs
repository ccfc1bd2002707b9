//! A measured point, and the rates of control traffic.

use std::collections::BTreeMap;

use serde_json::{Value, json};

/// Number of nodes and replicas of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FleetSize {
    pub(super) nodes: usize,
    pub(super) replicas: usize,
}

/// Control traffic by purpose: bytes sent, bytes received and calls, as totals or as rates per
/// second.
pub(super) type TrafficCounts = BTreeMap<String, [f64; 3]>;

/// Results for the measured node, and for the table service that all nodes use.
#[derive(Clone, Debug)]
pub(super) struct CapacityPoint {
    pub(super) size: FleetSize,
    /// Requested rate of configuration changes.
    pub(super) changes_per_s: f64,
    /// Number of changes that were accepted during the measurement.
    pub(super) accepted: usize,
    /// Bytes/s sent, bytes/s received and calls/s of the measured node.
    pub(super) traffic: TrafficCounts,
    /// CPU time of the measured node, in percent of one core.
    pub(super) core_percent: f64,
    /// Resident memory of the measured node.
    pub(super) resident_mb: f64,
    /// Reads of the table service by all nodes and by the writer of the changes.
    pub(super) store_reads_per_s: f64,
    /// Writes of the table service by all nodes and by the writer of the changes.
    pub(super) store_writes_per_s: f64,
    /// Time from the acceptance of a change until it is active on all other nodes: p50, p95,
    /// maximum.
    pub(super) propagation_ms: [f64; 3],
    /// Number of accepted changes that became active on all other nodes, including those that did
    /// so within the waiting time after the measurement.
    pub(super) propagated: usize,
}

impl CapacityPoint {
    /// Control bytes/s of the measured node, sent and received.
    pub(super) fn control_bytes_per_s(&self) -> f64 {
        self.traffic.values().map(|[sent, received, _]| sent + received).sum()
    }

    /// The point as one line of JSON. The keys that start with `in_force` are about the propagation
    /// of changes to all other nodes. Keys that end in `_all` count the calls of all nodes and of
    /// the writer of the changes; the traffic, CPU time and memory are those of the measured node.
    pub(super) fn to_json(&self) -> Value {
        let round = |value: f64| (value * 100.0).round() / 100.0;
        let traffic: BTreeMap<&String, [f64; 3]> =
            self.traffic.iter().map(|(purpose, rates)| (purpose, rates.map(round))).collect();
        json!({
            "nodes": self.size.nodes,
            "replicas": self.size.replicas,
            "changes_per_s": self.changes_per_s,
            "accepted": self.accepted,
            "in_force": self.propagated,
            "in_force_ms_p50_p95_max": self.propagation_ms.map(round),
            "control_bytes_per_s": round(self.control_bytes_per_s()),
            "sent_received_calls_per_s": traffic,
            "control_core_percent": round(self.core_percent),
            "resident_mb": round(self.resident_mb),
            "store_reads_per_s_all": round(self.store_reads_per_s),
            "store_writes_per_s_all": round(self.store_writes_per_s),
        })
    }
}

/// Parses the counters of control traffic in the response to `GET /metrics`.
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

/// Rates per second from the counters at the start and at the end of a time of `seconds`.
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
