//! The operators' files: `register.toml` and `rules.toml`.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::path::{Path, PathBuf};

use eelgrassdeal_schema::config::ConfigEntry;
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_types::FindingKind;
use error_stack::Report;
use serde::Deserialize;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use crate::check::check_fleet;
use crate::fleet::{EntryKind, FleetConfig, entry_key};

/// Kinds of entries in `register.toml`.
const REGISTER_FILE_KINDS: [EntryKind; 5] = [
    EntryKind::DataCentre,
    EntryKind::Vm,
    EntryKind::Model,
    EntryKind::Service,
    EntryKind::Upstream,
];
/// Kinds of entries in `rules.toml`. Of these, the planner compares only the serve rules with the
/// groups.
const RULES_FILE_KINDS: [EntryKind; 2] = [EntryKind::ClientAccount, EntryKind::Serve];

const DEFAULT_RAMP_STEP_MS: u32 = 1_000;
const DEFAULT_FIRST_TOKEN_TARGET_MS: u32 = 500;
const DEFAULT_REBUILD_AFTER_MS: u64 = 600_000;

/// A problem in an operators' file, with its location.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FileProblem {
    /// File that contains the problem. Empty if the entry has no known location, which does not
    /// occur for entries that were read from files.
    pub file: PathBuf,
    /// Line number, counted from 1; 0 if the problem concerns the whole file.
    pub line: usize,
    /// Description of the problem, for operators. Problems are ordered by it before their kind.
    pub message: String,
    /// What kind of problem it is.
    pub kind: FindingKind,
    /// Name of the invalid field; empty if the problem concerns no single field.
    pub field: String,
}

impl fmt::Display for FileProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.file.display(), self.line, self.message)
    }
}

/// The operators' files cannot be read or do not conform to the schema.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    /// All problems, ordered by file and line.
    pub problems: Vec<FileProblem>,
}

impl fmt::Display for FileError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("cannot load the operators' files")?;
        self.problems.iter().try_for_each(|problem| write!(formatter, "\n{problem}"))
    }
}

impl std::error::Error for FileError {}

/// Reads the register and the rules and fills in defaults. The result is not validated: call
/// [`check_fleet`] on it, or use [`FleetFiles`], whose [`check`](FleetFiles::check) reports the
/// file and line of each problem.
///
/// # Errors
///
/// Lists file, line and message of each place where a file does not conform to the schema.
pub fn load_fleet_files(register: &Path, rules: &Path) -> Result<FleetConfig, Report<FileError>> {
    FleetFiles::load(register, rules).map(|files| files.fleet)
}

/// Location of an entry in the operators' files.
#[derive(Clone, Debug)]
struct EntryLocation {
    file: PathBuf,
    /// Line in which the entry starts, counted from 1.
    line: usize,
    /// Line of each field that the file contains, by field name.
    fields: BTreeMap<String, usize>,
}

/// Entries of the operators' files with their locations.
#[derive(Clone, Debug, Default)]
pub struct FleetFiles {
    fleet: FleetConfig,
    locations: BTreeMap<(EntryKind, String), EntryLocation>,
}

impl FleetFiles {
    /// Reads the register and the rules and fills in defaults.
    ///
    /// # Errors
    ///
    /// Lists file, line and message of each place where a file does not conform to the schema.
    pub fn load(register: &Path, rules: &Path) -> Result<Self, Report<FileError>> {
        let mut files = Self::default();
        let mut problems = Vec::new();
        files.read(register, &REGISTER_FILE_KINDS, &mut problems);
        files.read(rules, &RULES_FILE_KINDS, &mut problems);
        problems.sort();
        match problems.is_empty() {
            true => Ok(files),
            false => Err(Report::new(FileError { problems })),
        }
    }

    /// The configuration in the files, as revision 0.
    pub fn fleet(&self) -> &FleetConfig {
        &self.fleet
    }

    /// Validates the configuration with [`check_fleet`] and adds file and line to each problem.
    pub fn check(&self) -> Vec<FileProblem> {
        let mut problems: Vec<FileProblem> = (check_fleet(&self.fleet).into_iter())
            .map(|problem| {
                let message = problem.to_string();
                let (kind, field) = (problem.finding, problem.field.to_owned());
                match self.locations.get(&(problem.kind, problem.id)) {
                    Some(location) => FileProblem {
                        file: location.file.clone(),
                        line: location.fields.get(problem.field).copied().unwrap_or(location.line),
                        kind,
                        field,
                        message,
                    },
                    None => FileProblem { file: PathBuf::new(), line: 0, kind, field, message },
                }
            })
            .collect();
        problems.sort();
        problems
    }

    /// Adds the entries of one file, which may only contain entries of `kinds`.
    fn read(&mut self, file: &Path, kinds: &[EntryKind], problems: &mut Vec<FileProblem>) {
        let mut reporter = ProblemReporter { file, text: String::new(), problems };
        match std::fs::read_to_string(file) {
            Ok(text) => reporter.text = text,
            Err(error) => {
                return reporter.report(FindingKind::UnusableFile, None, &error.to_string());
            }
        }
        let text = reporter.text.clone();
        let table = match DeTable::parse(&text) {
            Ok(table) => table.into_inner(),
            Err(error) => {
                return reporter.report(FindingKind::UnusableFile, error.span(), error.message());
            }
        };
        for (key, value) in table {
            match kinds.iter().find(|kind| kind.name() == key.get_ref()) {
                Some(kind) => self.read_kind(*kind, value, &mut reporter),
                None => {
                    let known: Vec<String> =
                        kinds.iter().map(|kind| format!("[[{}]]", kind.name())).collect();
                    let text = format!(
                        "unknown section {:?}; this file may contain {}",
                        key.get_ref(),
                        known.join(", ")
                    );
                    reporter.report(FindingKind::UnknownField, Some(key.span()), &text);
                }
            }
        }
    }

    fn read_kind(
        &mut self,
        kind: EntryKind,
        value: Spanned<DeValue<'_>>,
        reporter: &mut ProblemReporter<'_>,
    ) {
        let span = value.span();
        let DeValue::Array(items) = value.into_inner() else {
            let name = kind.name();
            return reporter.report(
                FindingKind::InvalidField,
                Some(span),
                &format!("expected double brackets: one [[{name}]] section for each entry"),
            );
        };
        for item in items {
            let span = item.span();
            let line = reporter.line_of(span.start);
            let fields = match item.get_ref() {
                DeValue::Table(table) => (table.keys())
                    .map(|key| (key.get_ref().to_string(), reporter.line_of(key.span().start)))
                    .collect(),
                _ => BTreeMap::new(),
            };
            let body = match parse_body(kind, item) {
                Ok(body) => body,
                Err(error) => {
                    let text = format!("{}: {}", kind.name(), error.message());
                    let span = error.span().or(Some(span));
                    reporter.report(FindingKind::InvalidField, span, &text);
                    continue;
                }
            };
            let entry = ConfigEntry { body: Some(with_defaults(body)) };
            let id = entry_key(&entry).map(|(_, id)| id.to_owned()).unwrap_or_default();
            let location = EntryLocation { file: reporter.file.to_owned(), line, fields };
            if let Some(first) = self.locations.get(&(kind, id.clone())) {
                let text =
                    format!("{} {id:?} is already declared in line {}", kind.name(), first.line);
                reporter.report(FindingKind::DuplicateEntry, Some(span), &text);
                continue;
            }
            self.locations.insert((kind, id), location);
            self.fleet.insert(entry, 0);
        }
    }
}

/// Adds problems found in a file, with their lines, to the list of problems.
struct ProblemReporter<'a> {
    file: &'a Path,
    text: String,
    problems: &'a mut Vec<FileProblem>,
}

impl ProblemReporter<'_> {
    /// Line of the byte at `offset`, counted from 1.
    fn line_of(&self, offset: usize) -> usize {
        1 + self.text.bytes().take(offset).filter(|byte| *byte == b'\n').count()
    }

    fn report(&mut self, kind: FindingKind, span: Option<Range<usize>>, message: &str) {
        let line = span.map_or(0, |span| self.line_of(span.start));
        let (file, field) = (self.file.to_owned(), String::new());
        self.problems.push(FileProblem { file, line, kind, field, message: message.to_owned() });
    }
}

fn parse_body(kind: EntryKind, item: Spanned<DeValue<'_>>) -> Result<Body, toml::de::Error> {
    let item = ValueDeserializer::from(item);
    Ok(match kind {
        EntryKind::DataCentre => Body::DataCentre(Deserialize::deserialize(item)?),
        EntryKind::Vm => Body::Vm(Deserialize::deserialize(item)?),
        EntryKind::Model => Body::Model(Deserialize::deserialize(item)?),
        EntryKind::Service => Body::Service(Deserialize::deserialize(item)?),
        EntryKind::Upstream => Body::Upstream(Deserialize::deserialize(item)?),
        EntryKind::ClientAccount => Body::ClientAccount(Deserialize::deserialize(item)?),
        EntryKind::Serve => Body::Serve(Deserialize::deserialize(item)?),
        EntryKind::AbsentNode => Body::AbsentNode(Deserialize::deserialize(item)?),
        EntryKind::RequestBan => Body::RequestBan(Deserialize::deserialize(item)?),
        EntryKind::Group => Body::Group(Deserialize::deserialize(item)?),
        EntryKind::VmLoss => Body::VmLoss(Deserialize::deserialize(item)?),
    })
}

/// Sets fields that the file omits to their defaults, so that the entries in the configuration log
/// (the sequence of revisions in the store) are complete, and a file that omits a field does not
/// differ from a log entry with the default value.
fn with_defaults(mut body: Body) -> Body {
    match &mut body {
        Body::DataCentre(centre) => fill_text(&mut centre.state, "in"),
        Body::Vm(vm) => {
            fill_text(&mut vm.role, "worker");
            fill_text(&mut vm.state, "in_service");
        }
        Body::Model(model) => {
            fill_number(&mut model.ramp_step_ms, DEFAULT_RAMP_STEP_MS);
            fill_number(&mut model.first_token_target_ms, DEFAULT_FIRST_TOKEN_TARGET_MS);
            fill_number(&mut model.cold_slots, 1);
        }
        Body::Upstream(upstream) => {
            fill_text(&mut upstream.state, "in_service");
            fill_number(&mut upstream.cold_slots, 1);
        }
        Body::ClientAccount(account) => fill_number(&mut account.weight, 1),
        Body::Serve(rule) => fill_number(&mut rule.rebuild_after_ms, DEFAULT_REBUILD_AFTER_MS),
        _ => {}
    }
    body
}

fn fill_text(field: &mut String, default: &str) {
    if field.is_empty() {
        default.clone_into(field);
    }
}

fn fill_number<N: Default + PartialEq>(field: &mut N, default: N) {
    if *field == N::default() {
        *field = default;
    }
}
