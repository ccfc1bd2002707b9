//! `eelgrassdealctl`, the command-line tool for operators. `docs/operators.md` describes its use.

use std::process::ExitCode;

use eelgrassdeal_cli::{CtlOptions, ExitStatus, run_command};
use gumdrop::Options;
use simplelog::{ColorChoice, Config, LevelFilter, TermLogger, TerminalMode};

#[compio::main]
async fn main() -> ExitCode {
    let _ = TermLogger::init(
        LevelFilter::Warn,
        Config::default(),
        TerminalMode::Stderr,
        ColorChoice::Auto,
    );
    let options = CtlOptions::parse_args_default_or_exit();
    let Some(command) = options.command else {
        eprintln!("usage: eelgrassdealctl COMMAND [OPTIONS]\n\n{}", CtlOptions::usage());
        if let Some(commands) = CtlOptions::command_list() {
            eprintln!("\ncommands:\n{commands}");
        }
        return ExitCode::from(ExitStatus::UsageError.code());
    };
    let report = run_command(&command).await;
    match report.status {
        ExitStatus::Success => print!("{}", report.text),
        _ if report.is_data => print!("{}", report.text),
        _ => eprint!("{}", report.text),
    }
    ExitCode::from(report.status.code())
}
