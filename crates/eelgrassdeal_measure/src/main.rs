//! `eelgrassdeal-measure` runs measurements and simulations of eelgrassdeal, one for each
//! subcommand.

mod capacity;
mod centre;
mod failures;
mod front;
mod losses;
mod low_overhead_client;
mod process_fleet;
mod slow_readers;
mod stats;

use gumdrop::Options;

/// Measures eelgrassdeal and compares it with baselines in the same run.
#[derive(Debug, Options)]
struct MeasureOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<MeasureCommand>,
}

#[derive(Debug, Options)]
enum MeasureCommand {
    #[options(help = "cost of a node in front of an engine: added latency, CPU time and memory")]
    Front(front::FrontOptions),
    #[options(
        help = "cost of control traffic by number of nodes, replicas and configuration changes"
    )]
    Capacity(capacity::CapacityOptions),
    #[options(help = "expected effects of VM losses at the planned size, calculated")]
    Failures(failures::FailureOptions),
    #[options(help = "responses while a data centre is taken out of service and returns")]
    Centre(centre::CentreOptions),
    #[options(help = "requests above the slot limits and message traffic of the slot policies")]
    Slots(SlotsOptions),
    #[options(help = "group downtime and stranded accelerators, simulated")]
    Groups(eelgrassdeal_measure::GroupsOptions),
    #[options(help = "share of the demand that groups could serve under heavy losses, emulated")]
    Losses(losses::LossesOptions),
    #[options(help = "memory that a node holds for callers that have stopped reading")]
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
        Some(MeasureCommand::Slots(_)) => eelgrassdeal_measure::measure_slots(),
        Some(MeasureCommand::Losses(options)) => losses::run(&options),
        Some(MeasureCommand::Failures(options)) => failures::run(&options),
        None => {
            eprintln!("{}", MeasureOptions::usage());
            std::process::exit(2);
        }
    }
}
