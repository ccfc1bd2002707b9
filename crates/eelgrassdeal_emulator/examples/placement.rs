//! Prints how evenly each policy places requests: one line for each fleet, utilisation, extra age of the
//! counts, kind of replicas and policy, with the means of three seeds.
//!
//! Run with `cargo run --release -p eelgrassdeal_emulator --example placement`. Arguments select lines: only
//! those are run whose description contains all of them.

use std::time::Duration;

use eelgrassdeal_emulator::{
    PlacementPolicy, PlacementReport, PlacementSpec, ServiceTimes, simulate_placement,
};

const DURATION: Duration = Duration::from_secs(24);
const SEEDS: u64 = 3;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    println!("fleet utilisation extra_ms replicas policy age_ms spread wait_p99_ms queued refused");
    for nodes in [7, 80, 300] {
        for utilisation in [0.6, 0.75, 0.85, 0.95] {
            for extra_ms in [0, 500, 1_000, 2_000] {
                for replicas in ["equal", "exponential", "differing", "slow"] {
                    for policy in PlacementPolicy::ALL {
                        let line =
                            format!("n{nodes} u{utilisation} x{extra_ms} {replicas} {policy:?}");
                        let is_selected = |word: &String| {
                            line.split(' ').any(|part| word.split(',').any(|word| word == part))
                        };
                        if !words.iter().all(is_selected) {
                            continue;
                        }
                        let spec = spec(nodes, utilisation, extra_ms, replicas);
                        println!("{line} {}", measure(&spec, policy));
                    }
                }
            }
        }
    }
}

fn spec(nodes: usize, utilisation: f64, extra_ms: u64, replicas: &str) -> PlacementSpec {
    PlacementSpec {
        nodes,
        replicas: 24,
        slots: 34,
        slow_every: if replicas == "slow" { 6 } else { 0 },
        slow_factor: 4.0,
        speed_difference: if replicas == "differing" { 0.25 } else { 0.0 },
        utilisation,
        mean_service_time: Duration::from_millis(900),
        service_times: match replicas {
            "exponential" => ServiceTimes::Exponential,
            _ => ServiceTimes::Uniform,
        },
        extra_age: Duration::from_millis(extra_ms),
        max_per_slot: 1.3,
    }
}

fn measure(spec: &PlacementSpec, policy: PlacementPolicy) -> String {
    let reports: Vec<PlacementReport> =
        (0..SEEDS).map(|seed| simulate_placement(spec, policy, DURATION, seed)).collect();
    let mean = |read: fn(&PlacementReport) -> f64| {
        reports.iter().map(read).sum::<f64>() / reports.len() as f64
    };
    format!(
        "{:.0} {:.3} {:.0} {:.4} {:.4}",
        mean(|report| report.mean_count_age.as_secs_f64() * 1e3),
        mean(|report| report.spread),
        mean(|report| report.wait_p99.as_secs_f64() * 1e3),
        mean(|report| report.queued_share),
        mean(|report| report.refused_share),
    )
}
