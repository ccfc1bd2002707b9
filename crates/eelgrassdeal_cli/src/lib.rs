//! The operators' command line, `eelgrassdealctl`.
//!
//! Operators edit `register.toml` and `rules.toml`; the commands check the files, show what they
//! would change, append the change to the configuration log, and explain what the fleet does.
//! [`run_command`] carries out one parsed command line and returns what to print.

mod apply;
mod history;
mod nodes;
mod options;
mod show;
mod why;

use std::fmt::Write as _;
use std::path::Path;

use eelgrassdeal_control::{FleetFiles, diff_fleet};

pub use options::{
    ApplyOptions, CheckOptions, CtlCommand, CtlOptions, DiffOptions, ShowOptions, WhyOptions,
};

use history::FleetHistory;

/// How a command ended; the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command did what it was asked.
    Done = 0,
    /// Nothing was changed: the files are invalid, another change conflicts, or the store could not
    /// be read.
    Refused = 1,
    /// The command line or a token file is wrong; nothing was changed.
    Usage = 2,
    /// The store gave no answer; the change may be accepted or not.
    OutcomeUnknown = 3,
    /// The change is accepted, but some nodes do not have it in force yet.
    NotInForce = 4,
}

impl ExitStatus {
    /// The exit code.
    pub fn code(self) -> u8 {
        self as u8
    }
}

/// What a command prints and how it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandReport {
    /// How the command ended.
    pub status: ExitStatus,
    /// Text to print, to standard output when the status is [`ExitStatus::Done`] and to standard
    /// error otherwise.
    pub text: String,
}

impl CommandReport {
    fn new(status: ExitStatus, text: impl Into<String>) -> Self {
        Self { status, text: text.into() }
    }
}

/// A command that ended early returns its report as an error.
type CommandResult<T> = Result<T, CommandReport>;

/// Carries out one command.
pub async fn run_command(command: &CtlCommand) -> CommandReport {
    let result = match command {
        CtlCommand::Check(options) => check(options),
        CtlCommand::Diff(options) => diff(options).await,
        CtlCommand::Apply(options) => apply::apply(options).await,
        CtlCommand::Show(options) => show::show(options).await,
        CtlCommand::Why(options) => why::why(options).await,
    };
    result.unwrap_or_else(|report| report)
}

fn check(options: &CheckOptions) -> CommandResult<CommandReport> {
    let files = load_files(&options.register, &options.rules)?;
    let count = files.fleet().entries().count();
    Ok(CommandReport::new(ExitStatus::Done, format!("{count} entries are valid\n")))
}

async fn diff(options: &DiffOptions) -> CommandResult<CommandReport> {
    let files = load_files(&options.register, &options.rules)?;
    let history = FleetHistory::connect(&options.table_url, &options.token_file).await?;
    let mut text = format!("against revision {}\n", history.head().revision());
    for diff in diff_fleet(history.head(), files.fleet()) {
        let _ = writeln!(text, "{diff}");
    }
    Ok(CommandReport::new(ExitStatus::Done, text))
}

/// Loads and checks the files.
fn load_files(register: &str, rules: &str) -> CommandResult<FleetFiles> {
    let refuse = |problems: Vec<eelgrassdeal_control::FileProblem>| {
        let mut text = String::from("config_invalid: nothing was changed\n");
        for problem in problems {
            let _ = writeln!(text, "{problem}");
        }
        CommandReport::new(ExitStatus::Refused, text)
    };
    let files = FleetFiles::load(Path::new(register), Path::new(rules))
        .map_err(|report| refuse(report.current_context().problems.clone()))?;
    match files.check() {
        problems if problems.is_empty() => Ok(files),
        problems => Err(refuse(problems)),
    }
}

/// Reads a token from `file`; `None` for an empty path.
fn read_token(file: &str) -> CommandResult<Option<String>> {
    let refuse = |reason: String| {
        CommandReport::new(ExitStatus::Usage, format!("token file {file:?}: {reason}\n"))
    };
    match file {
        "" => Ok(None),
        file => match std::fs::read_to_string(file) {
            Ok(text) if text.trim().is_empty() => Err(refuse("is empty".to_owned())),
            Ok(text) => Ok(Some(text.trim().to_owned())),
            Err(error) => Err(refuse(error.to_string())),
        },
    }
}
