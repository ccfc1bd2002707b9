//! `eelgrassdeal-measure`: measurements, each with a baseline policy in the same run.

use std::process::ExitCode;

use eelgrassdeal_measure::GroupsOptions;
use gumdrop::Options;

/// Runs one measurement.
#[derive(Debug, Options)]
struct MeasureOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<MeasureCommand>,
}

#[derive(Debug, Options)]
enum MeasureCommand {
    #[options(help = "group downtime, stranded accelerators and transfers of the planner")]
    Groups(GroupsOptions),
}

fn main() -> ExitCode {
    let options = MeasureOptions::parse_args_default_or_exit();
    match options.command {
        Some(MeasureCommand::Groups(options)) => {
            print!("{}", eelgrassdeal_measure::measure_groups(&options));
            ExitCode::SUCCESS
        }
        None => {
            eprintln!("{}", MeasureOptions::usage());
            ExitCode::from(2)
        }
    }
}
