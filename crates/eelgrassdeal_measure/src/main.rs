//! `eelgrassdeal-measure`: measurement commands, each with a baseline in the same run.

mod slow_readers;

use std::process::ExitCode;

use gumdrop::Options;

/// Measures one property of the system.
#[derive(Debug, Options)]
struct MeasureOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<MeasureCommand>,
}

#[derive(Debug, Options)]
enum MeasureCommand {
    #[options(help = "bytes that a node holds for callers that stopped reading")]
    SlowReaders(slow_readers::SlowReadersOptions),
}

#[compio::main]
async fn main() -> ExitCode {
    let is_met = match MeasureOptions::parse_args_default_or_exit().command {
        Some(MeasureCommand::SlowReaders(options)) => slow_readers::measure(&options).await,
        None => {
            eprintln!("{}", MeasureOptions::usage());
            return ExitCode::from(2);
        }
    };
    if is_met { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
