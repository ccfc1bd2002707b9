//! Heavy days of losses, played by the emulator.

use eelgrassdeal_emulator::{EmulatedFleet, FleetSpec, LossScenario};
use gumdrop::Options;
use rand::SeedableRng;
use rand::rngs::StdRng;

#[derive(Debug, Options)]
pub(crate) struct LossesOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "days to play", default = "40")]
    days: u64,
    #[options(help = "seed of the first day", default = "0")]
    seed: u64,
}

/// Means over the days of one fleet.
#[derive(Clone, Copy, Debug, Default)]
struct DayFigures {
    first: f64,
    second: f64,
    all: f64,
    worst: f64,
    possible: f64,
    unrepaired: f64,
    loads: f64,
}

/// Prints how much of the demand could be served on days of losses, beside what groups formed in no
/// time could serve, and what is left without any repair.
pub(crate) fn run(options: &LossesOptions) {
    println!("fleet  first  second  all    worst 4 s  possible  unrepaired  loads a day");
    for (name, spec) in [("today", FleetSpec::small()), ("grown", FleetSpec::large())] {
        let mut sum = DayFigures::default();
        for seed in options.seed..options.seed + options.days {
            add(&mut sum, &play(&spec, seed));
        }
        let mean = |sum: f64| sum / options.days.max(1) as f64;
        println!(
            "{name}  {:.3}  {:.3}   {:.3}  {:.3}      {:.3}     {:.3}       {:.1}",
            mean(sum.first),
            mean(sum.second),
            mean(sum.all),
            mean(sum.worst),
            mean(sum.possible),
            mean(sum.unrepaired),
            mean(sum.loads)
        );
    }
}

fn play(spec: &FleetSpec, seed: u64) -> DayFigures {
    let scenario = LossScenario::heavy_losses(spec, &mut StdRng::seed_from_u64(seed));
    let mut fleet = EmulatedFleet::new(spec.clone(), seed);
    let report = fleet.run(&scenario);
    for violation in fleet.violations() {
        println!("seed {seed}: {violation}");
    }
    let mut unrepaired = EmulatedFleet::new(spec.clone(), seed).without_repair();
    DayFigures {
        first: report.model_served_share(0),
        second: report.model_served_share(1),
        all: report.served_share(),
        worst: report.worst_window_share(),
        possible: report.potential_share(),
        unrepaired: unrepaired.run(&scenario).served_share(),
        loads: fleet.load_count() as f64,
    }
}

fn add(sum: &mut DayFigures, day: &DayFigures) {
    sum.first += day.first;
    sum.second += day.second;
    sum.all += day.all;
    sum.worst += day.worst;
    sum.possible += day.possible;
    sum.unrepaired += day.unrepaired;
    sum.loads += day.loads;
}
