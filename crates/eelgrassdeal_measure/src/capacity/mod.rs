//! Cost of control for each node, against the number of nodes, of replicas and of changes.
//!
//! One node runs as a process of its own and is measured by the kernel's accounts and its own
//! counters. The other nodes run in threads of this process, and so do the stand-ins.

mod fleet;
mod point;
mod threads;

use std::time::Duration;

use gumdrop::Options;
use serde_json::json;

use crate::figures::{exponent, slope};
use fleet::CapacityFleet;
use point::{CapacityPoint, FleetSize};

/// The fleet around which each size is varied alone.
const BASE: FleetSize = FleetSize { nodes: 28, replicas: 48 };
const BASE_CHANGES: f64 = 4.0;
const NODES: [usize; 3] = [7, 28, 112];
const REPLICAS: [usize; 3] = [6, 48, 212];
const CHANGES: [f64; 3] = [1.0, 4.0, 10.0];

/// Reads one figure of a point.
type FigureOf = fn(&CapacityPoint) -> f64;

/// Options of `capacity`.
#[derive(Debug, Options)]
pub(crate) struct CapacityOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "duration of each point in s", default = "10")]
    seconds: u64,
    #[options(help = "the measured node holds the planner lease")]
    planner: bool,
    #[options(help = "measure only this many nodes", default = "0")]
    nodes: usize,
    #[options(help = "measure only this many replicas", default = "0")]
    replicas: usize,
}

/// Runs the measurement and prints one JSON line for each point and each fit.
pub(crate) async fn run(options: &CapacityOptions) {
    let time = Duration::from_secs(options.seconds);
    if options.nodes > 0 {
        let replicas = if options.replicas > 0 { options.replicas } else { BASE.replicas };
        let size = FleetSize { nodes: options.nodes, replicas };
        measure(size, &[0.0, BASE_CHANGES], time, options.planner).await;
        return;
    }
    let mut by_nodes = Vec::new();
    let mut by_replicas = Vec::new();
    let mut by_changes = Vec::new();
    for nodes in NODES {
        let size = FleetSize { nodes, ..BASE };
        let is_base = nodes == BASE.nodes;
        let rates = if is_base { CHANGES.to_vec() } else { vec![BASE_CHANGES] };
        let points = measure(size, &rates, time, options.planner).await;
        by_nodes.extend(points.iter().filter(|point| point.changes == BASE_CHANGES).cloned());
        if is_base {
            by_replicas.extend(by_nodes.last().cloned());
            by_changes = points;
        }
    }
    for replicas in REPLICAS.into_iter().filter(|&replicas| replicas != BASE.replicas) {
        let size = FleetSize { replicas, ..BASE };
        by_replicas.extend(measure(size, &[BASE_CHANGES], time, options.planner).await);
    }
    print_fits("nodes", &by_nodes, |point| point.size.nodes as f64);
    print_fits("replicas", &by_replicas, |point| point.size.replicas as f64);
    print_fits("changes_per_s", &by_changes, |point| point.changes);
}

async fn measure(
    size: FleetSize,
    rates: &[f64],
    time: Duration,
    is_planner: bool,
) -> Vec<CapacityPoint> {
    let fleet = CapacityFleet::start(size, is_planner).await;
    let mut points = Vec::new();
    for &changes in rates {
        let point = fleet.measure(changes, time).await;
        println!("{}", point.to_json());
        points.push(point);
    }
    points
}

/// Prints slope and exponent of each figure against one size.
fn print_fits(name: &str, points: &[CapacityPoint], size: impl Fn(&CapacityPoint) -> f64) {
    let figures: [(&str, FigureOf); 6] = [
        ("control_bytes_per_s", CapacityPoint::bytes_per_second),
        ("control_core_percent", |point| point.core_percent),
        ("resident_mb", |point| point.resident_mb),
        ("store_reads_per_s_all", |point| point.store_reads),
        ("store_writes_per_s_all", |point| point.store_writes),
        ("in_force_p95_ms", |point| point.in_force_ms[1]),
    ];
    for (figure, value) in figures {
        let pairs: Vec<(f64, f64)> =
            points.iter().map(|point| (size(point), value(point))).collect();
        let fit = json!({
            "fit": figure,
            "against": name,
            "slope": slope(&pairs),
            "exponent": exponent(&pairs),
            "points": pairs,
        });
        println!("{fit}");
    }
}
