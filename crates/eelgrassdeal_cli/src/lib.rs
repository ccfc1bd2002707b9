//! Commands of `eelgrassdealctl`, the command-line tool for operators.
//!
//! Operators edit `register.toml` and `rules.toml`. The commands validate the files, list the
//! differences to the accepted configuration, append a change to the configuration log, and explain
//! why a part of the fleet does not serve. [`run_command`] runs one parsed command and returns the
//! text to print and the exit status.

mod apply;
mod check;
mod history;
mod node_admin;
mod options;
mod show;
mod why;

use std::fmt::Write as _;
use std::path::Path;

use eelgrassdeal_control::{FleetFiles, diff_fleet};

pub use options::{
    ApplyOptions, CheckOptions, CtlCommand, CtlOptions, DiffOptions, ShowOptions, WhyOptions,
};

use history::ConfigHistory;

/// Result of a command. The discriminants are the exit codes of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command completed.
    Success = 0,
    /// Nothing was changed: the files are invalid, another change conflicts, the configuration log
    /// could not be read, or the id to explain is unknown.
    Failed = 1,
    /// The command line is invalid, a token file cannot be used, or the client of the table service
    /// cannot be created. Nothing was changed.
    UsageError = 2,
    /// The table service did not confirm the write; the change may or may not be accepted.
    OutcomeUnknown = 3,
    /// The change is accepted, but was not active on every node within the time of `--wait`.
    NotActive = 4,
}

impl ExitStatus {
    /// The exit code of the process.
    pub fn code(self) -> u8 {
        self as u8
    }
}

/// Text output and exit status of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandReport {
    /// Determines the exit code and the stream to which `text` is printed.
    pub status: ExitStatus,
    /// Text to print: to standard output if the status is [`ExitStatus::Success`] or the text is
    /// for a program, to standard error otherwise.
    pub text: String,
    /// Whether a program is to read the text, so that it belongs to standard output in any case.
    pub is_data: bool,
}

impl CommandReport {
    fn new(status: ExitStatus, text: impl Into<String>) -> Self {
        Self { status, text: text.into(), is_data: false }
    }
}

/// A step that ends its command early returns the report of the command as the error.
type CommandResult<T> = Result<T, CommandReport>;

/// Runs one command. The program then prints the text of the report and exits with its status.
pub async fn run_command(command: &CtlCommand) -> CommandReport {
    let result = match command {
        CtlCommand::Check(options) => check::check(options),
        CtlCommand::Diff(options) => diff(options).await,
        CtlCommand::Apply(options) => apply::apply(options).await,
        CtlCommand::Show(options) => show::show(options).await,
        CtlCommand::Why(options) => why::why(options).await,
    };
    result.unwrap_or_else(|report| report)
}

async fn diff(options: &DiffOptions) -> CommandResult<CommandReport> {
    let files = load_files(&options.register, &options.rules)?;
    let history = ConfigHistory::connect(&options.table_url, &options.token_file).await?;
    let mut text = format!("against revision {}\n", history.head().revision());
    for diff in diff_fleet(history.head(), files.fleet()) {
        let _ = writeln!(text, "{diff}");
    }
    Ok(CommandReport::new(ExitStatus::Success, text))
}

/// Loads and validates the operators' files. The report of the error lists every problem.
fn load_files(register: &str, rules: &str) -> CommandResult<FleetFiles> {
    let invalid_files = |problems: Vec<eelgrassdeal_control::FileProblem>| {
        let mut text = String::from("config_invalid: nothing was changed\n");
        for problem in problems {
            let _ = writeln!(text, "{problem}");
        }
        CommandReport::new(ExitStatus::Failed, text)
    };
    let files = FleetFiles::load(Path::new(register), Path::new(rules))
        .map_err(|report| invalid_files(report.current_context().problems.clone()))?;
    match files.check() {
        problems if problems.is_empty() => Ok(files),
        problems => Err(invalid_files(problems)),
    }
}

/// Reads a token from `file`. An empty path means that the option was not given: `None`.
fn read_token(file: &str) -> CommandResult<Option<String>> {
    let unusable_file = |reason: String| {
        CommandReport::new(ExitStatus::UsageError, format!("token file {file:?}: {reason}\n"))
    };
    match file {
        "" => Ok(None),
        file => match std::fs::read_to_string(file) {
            Ok(text) if text.trim().is_empty() => Err(unusable_file("is empty".to_owned())),
            Ok(text) => Ok(Some(text.trim().to_owned())),
            Err(error) => Err(unusable_file(error.to_string())),
        },
    }
}
