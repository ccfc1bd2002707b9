//! Measures the cost of control traffic at a node, depending on the number of nodes, the number of
//! replicas and the rate of configuration changes.
//!
//! The measured node runs as a separate process. Its cost is read from the kernel's statistics and
//! from its own metrics. The other nodes and the fakes run in threads of this process.

mod fleet;
mod point;
mod threads;

use std::time::Duration;

use gumdrop::Options;
use serde_json::json;

use crate::stats::{exponent, slope};
use fleet::CapacityFleet;
use point::{CapacityPoint, FleetSize};

/// Size of the base fleet. One of its sizes or the rate of changes is varied at a time.
const BASE_SIZE: FleetSize = FleetSize { nodes: 28, replicas: 48 };
/// Configuration changes per second unless the rate is varied.
const BASE_CHANGES_PER_S: f64 = 4.0;
const NODE_COUNTS: [usize; 3] = [7, 28, 112];
const REPLICA_COUNTS: [usize; 3] = [6, 48, 212];
const CHANGE_RATES: [f64; 3] = [1.0, 4.0, 10.0];

/// Returns one metric of a point.
type MetricFn = fn(&CapacityPoint) -> f64;

/// Options of `capacity`.
#[derive(Debug, Options)]
pub(crate) struct CapacityOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "duration of the measurement of each point, in s", default = "10")]
    seconds: u64,
    #[options(help = "make the measured node the planner")]
    planner: bool,
    #[options(
        help = "measure only a fleet of this many nodes; 0 measures all sizes",
        default = "0"
    )]
    nodes: usize,
    #[options(
        help = "number of replicas if the number of nodes is given; 0 for the base size",
        default = "0"
    )]
    replicas: usize,
}

/// Runs the measurement and prints one line of JSON for each point and each fitted curve.
pub(crate) async fn run(options: &CapacityOptions) {
    let duration = Duration::from_secs(options.seconds);
    if options.nodes > 0 {
        let replicas = if options.replicas > 0 { options.replicas } else { BASE_SIZE.replicas };
        let size = FleetSize { nodes: options.nodes, replicas };
        measure(size, &[0.0, BASE_CHANGES_PER_S], duration, options.planner).await;
        return;
    }
    let mut by_nodes = Vec::new();
    let mut by_replicas = Vec::new();
    let mut by_changes = Vec::new();
    for nodes in NODE_COUNTS {
        let size = FleetSize { nodes, ..BASE_SIZE };
        let is_base = nodes == BASE_SIZE.nodes;
        let change_rates = if is_base { CHANGE_RATES.to_vec() } else { vec![BASE_CHANGES_PER_S] };
        let points = measure(size, &change_rates, duration, options.planner).await;
        by_nodes.extend(
            points.iter().filter(|point| point.changes_per_s == BASE_CHANGES_PER_S).cloned(),
        );
        if is_base {
            by_replicas.extend(by_nodes.last().cloned());
            by_changes = points;
        }
    }
    for replicas in REPLICA_COUNTS.into_iter().filter(|&replicas| replicas != BASE_SIZE.replicas) {
        let size = FleetSize { replicas, ..BASE_SIZE };
        by_replicas.extend(measure(size, &[BASE_CHANGES_PER_S], duration, options.planner).await);
    }
    print_fits("nodes", &by_nodes, |point| point.size.nodes as f64);
    print_fits("replicas", &by_replicas, |point| point.size.replicas as f64);
    print_fits("changes_per_s", &by_changes, |point| point.changes_per_s);
}

/// Starts a fleet and measures one point for each rate of changes.
async fn measure(
    size: FleetSize,
    change_rates: &[f64],
    duration: Duration,
    is_planner: bool,
) -> Vec<CapacityPoint> {
    let fleet = CapacityFleet::start(size, is_planner).await;
    let mut points = Vec::new();
    for &changes_per_s in change_rates {
        let point = fleet.measure(changes_per_s, duration).await;
        println!("{}", point.to_json());
        points.push(point);
    }
    points
}

/// Prints slope and exponent of each metric as a function of the quantity called `name`.
/// `quantity` returns its value at a point.
fn print_fits(name: &str, points: &[CapacityPoint], quantity: impl Fn(&CapacityPoint) -> f64) {
    let metrics: [(&str, MetricFn); 6] = [
        ("control_bytes_per_s", CapacityPoint::control_bytes_per_s),
        ("control_core_percent", |point| point.core_percent),
        ("resident_mb", |point| point.resident_mb),
        ("store_reads_per_s_all", |point| point.store_reads_per_s),
        ("store_writes_per_s_all", |point| point.store_writes_per_s),
        ("in_force_p95_ms", |point| point.propagation_ms[1]),
    ];
    for (metric, value) in metrics {
        let pairs: Vec<(f64, f64)> =
            points.iter().map(|point| (quantity(point), value(point))).collect();
        let fit = json!({
            "fit": metric,
            "against": name,
            "slope": slope(&pairs),
            "exponent": exponent(&pairs),
            "points": pairs,
        });
        println!("{fit}");
    }
}
