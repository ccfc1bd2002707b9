//! Command line of the measurements.

use gumdrop::Options;

#[derive(Debug, Options)]
struct MeasureOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<MeasureCommand>,
}

#[derive(Debug, Options)]
enum MeasureCommand {
    #[options(help = "compare the division of slots among nodes")]
    Slots(SlotsOptions),
}

#[derive(Debug, Options)]
struct SlotsOptions {
    #[options(help = "print this help")]
    help: bool,
}

fn main() {
    match MeasureOptions::parse_args_default_or_exit().command {
        Some(MeasureCommand::Slots(_)) => eelgrassdeal_measure::run_slots(),
        None => println!("{}", MeasureOptions::usage()),
    }
}
