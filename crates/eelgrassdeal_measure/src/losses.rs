//! Emulates fleets under heavy losses and prints the share of the demand that their groups could
//! serve. The emulator runs no requests.

use eelgrassdeal_emulator::{EmulatedFleet, FleetSpec, LossScenario};
use gumdrop::Options;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Options of `losses`.
#[derive(Debug, Options)]
pub(crate) struct LossesOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "number of runs to emulate, each of 34 s of virtual time", default = "40")]
    days: u64,
    #[options(help = "seed of the first run; each further run has the next seed", default = "0")]
    seed: u64,
}

/// Result of one run of [`LossScenario::heavy_losses`], or the sum of the results of several runs.
/// The shares are parts of the demand that groups could serve.
#[derive(Clone, Copy, Debug, Default)]
struct RunResult {
    first_model_share: f64,
    second_model_share: f64,
    all_models_share: f64,
    /// Share of all models in the worst four seconds.
    worst_window_share: f64,
    /// Share of all models if groups formed instantly.
    potential_share: f64,
    /// Share of all models without any repair of groups.
    unrepaired_share: f64,
    /// Number of loads from the weight store; in the column `loads a day`, per run.
    load_count: f64,
}

/// Prints for each fleet the means over all runs. The columns `first`, `second` and `all` are the
/// shares of the first model, the second model and all models. Two baselines are printed beside
/// them: the share if groups formed instantly, and the share without any repair.
pub(crate) fn run(options: &LossesOptions) {
    println!("fleet  first  second  all    worst 4 s  possible  unrepaired  loads a day");
    // These fleets have 54 and 222 upstreams. They are not the fleets `today` and `planned` of the
    // subcommand `groups`.
    for (name, spec) in [("today", FleetSpec::small()), ("grown", FleetSpec::large())] {
        let mut sum = RunResult::default();
        for seed in options.seed..options.seed + options.days {
            add_run(&mut sum, &simulate_run(&spec, seed));
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

/// Emulates one run twice, with and without repair. Prints violated invariants.
fn simulate_run(spec: &FleetSpec, seed: u64) -> RunResult {
    let scenario = LossScenario::heavy_losses(spec, &mut StdRng::seed_from_u64(seed));
    let mut fleet = EmulatedFleet::new(spec.clone(), seed);
    let report = fleet.run(&scenario);
    for violation in fleet.violations() {
        println!("seed {seed}: {violation}");
    }
    let mut unrepaired = EmulatedFleet::new(spec.clone(), seed).without_repair();
    RunResult {
        first_model_share: report.model_served_share(0),
        second_model_share: report.model_served_share(1),
        all_models_share: report.served_share(),
        worst_window_share: report.worst_window_share(),
        potential_share: report.potential_share(),
        unrepaired_share: unrepaired.run(&scenario).served_share(),
        load_count: fleet.load_count() as f64,
    }
}

fn add_run(sum: &mut RunResult, run: &RunResult) {
    sum.first_model_share += run.first_model_share;
    sum.second_model_share += run.second_model_share;
    sum.all_models_share += run.all_models_share;
    sum.worst_window_share += run.worst_window_share;
    sum.potential_share += run.potential_share;
    sum.unrepaired_share += run.unrepaired_share;
    sum.load_count += run.load_count;
}
