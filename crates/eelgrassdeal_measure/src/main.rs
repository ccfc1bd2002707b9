//! `eelgrassdeal-measure`: one subcommand for each measurement, each in a file of its own.

mod capacity;
mod centre;
mod failures;
mod fast_caller;
mod figures;
mod front;
mod losses;
mod process_fleet;
mod slow_readers;

use gumdrop::Options;

/// Measures eelgrassdeal against baselines in the same run.
#[derive(Debug, Options)]
struct MeasureOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<MeasureCommand>,
}

#[derive(Debug, Options)]
enum MeasureCommand {
    #[options(help = "what a node adds to a direct connection to the engine")]
    Front(front::FrontOptions),
    #[options(help = "cost of control against nodes, replicas and configuration changes")]
    Capacity(capacity::CapacityOptions),
    #[options(help = "failure arithmetic of the planned size")]
    Failures(failures::FailureOptions),
    #[options(help = "service while a data centre leaves and returns")]
    Centre(centre::CentreOptions),
    #[options(help = "overshoot and traffic of the division of slots among nodes")]
    Slots(SlotsOptions),
    #[options(help = "group downtime and stranded accelerators")]
    Groups(eelgrassdeal_measure::GroupsOptions),
    #[options(help = "groups that serve on days of losses")]
    Losses(losses::LossesOptions),
    #[options(help = "bytes that a node holds for callers that stopped reading")]
    SlowReaders(slow_readers::SlowReadersOptions),
}

#[derive(Debug, Options)]
struct SlotsOptions {
    #[options(help = "print this help")]
    help: bool,
}

#[compio::main]
async fn main() {
    match MeasureOptions::parse_args_default_or_exit().command {
        Some(MeasureCommand::Front(options)) => front::run(&options).await,
        Some(MeasureCommand::Capacity(options)) => capacity::run(&options).await,
        Some(MeasureCommand::Centre(options)) => centre::run(&options).await,
        Some(MeasureCommand::Groups(options)) => {
            print!("{}", eelgrassdeal_measure::measure_groups(&options));
        }
        Some(MeasureCommand::SlowReaders(options)) => {
            if !slow_readers::measure(&options).await {
                std::process::exit(1);
            }
        }
        Some(MeasureCommand::Slots(_)) => eelgrassdeal_measure::run_slots(),
        Some(MeasureCommand::Losses(options)) => losses::run(&options),
        Some(MeasureCommand::Failures(options)) => failures::run(&options),
        None => {
            eprintln!("{}", MeasureOptions::usage());
            std::process::exit(2);
        }
    }
}
