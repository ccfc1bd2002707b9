//! Share of the demand that is served on days with heavy losses, by the emulator.

use eelgrassdeal_emulator::{EmulatedFleet, FleetSpec, LossScenario};
use gumdrop::Options;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Options of `losses`.
#[derive(Debug, Options)]
pub(crate) struct LossesOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "number of days to emulate", default = "40")]
    days: u64,
    #[options(help = "seed of the first day", default = "0")]
    seed: u64,
}

/// Result of one day, or the sum of the results of several days. The shares are parts of the
/// demand.
#[derive(Clone, Copy, Debug, Default)]
struct DayResult {
    first_model_share: f64,
    second_model_share: f64,
    all_models_share: f64,
    /// Served share in the worst four seconds.
    worst_window_share: f64,
    /// Share that could be served if groups formed instantly.
    potential_share: f64,
    /// Served share without any repair of groups.
    unrepaired_share: f64,
    /// Number of loads from the weight store.
    load_count: f64,
}

/// Prints for each fleet the means over all days. Two baselines are printed beside the served
/// shares: the share if groups formed instantly, and the share without any repair.
pub(crate) fn run(options: &LossesOptions) {
    println!("fleet  first  second  all    worst 4 s  possible  unrepaired  loads a day");
    for (name, spec) in [("today", FleetSpec::small()), ("grown", FleetSpec::large())] {
        let mut sum = DayResult::default();
        for seed in options.seed..options.seed + options.days {
            add_day(&mut sum, &simulate_day(&spec, seed));
        }
        let mean = |sum: f64| sum / options.days.max(1) as f64;
        println!(
            "{name}  {:.3}  {:.3}   {:.3}  {:.3}      {:.3}     {:.3}       {:.1}",
            mean(sum.first_model_share),
            mean(sum.second_model_share),
            mean(sum.all_models_share),
            mean(sum.worst_window_share),
            mean(sum.potential_share),
            mean(sum.unrepaired_share),
            mean(sum.load_count)
        );
    }
}

/// Emulates one day twice, with and without repair. Prints violated invariants.
fn simulate_day(spec: &FleetSpec, seed: u64) -> DayResult {
    let scenario = LossScenario::heavy_losses(spec, &mut StdRng::seed_from_u64(seed));
    let mut fleet = EmulatedFleet::new(spec.clone(), seed);
    let report = fleet.run(&scenario);
    for violation in fleet.violations() {
        println!("seed {seed}: {violation}");
    }
    let mut unrepaired = EmulatedFleet::new(spec.clone(), seed).without_repair();
    DayResult {
        first_model_share: report.model_served_share(0),
        second_model_share: report.model_served_share(1),
        all_models_share: report.served_share(),
        worst_window_share: report.worst_window_share(),
        potential_share: report.potential_share(),
        unrepaired_share: unrepaired.run(&scenario).served_share(),
        load_count: fleet.load_count() as f64,
    }
}

fn add_day(sum: &mut DayResult, day: &DayResult) {
    sum.first_model_share += day.first_model_share;
    sum.second_model_share += day.second_model_share;
    sum.all_models_share += day.all_models_share;
    sum.worst_window_share += day.worst_window_share;
    sum.potential_share += day.potential_share;
    sum.unrepaired_share += day.unrepaired_share;
    sum.load_count += day.load_count;
}
