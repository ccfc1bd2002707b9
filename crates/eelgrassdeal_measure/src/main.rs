//! `eelgrassdeal-measure`: one subcommand for each measurement, each in a file of its own.

mod capacity;
mod fast_caller;
mod figures;
mod front;
mod process_fleet;

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
}

#[compio::main]
async fn main() {
    match MeasureOptions::parse_args_default_or_exit().command {
        Some(MeasureCommand::Front(options)) => front::run(&options).await,
        Some(MeasureCommand::Capacity(options)) => capacity::run(&options).await,
        None => {
            eprintln!("{}", MeasureOptions::usage());
            std::process::exit(2);
        }
    }
}
