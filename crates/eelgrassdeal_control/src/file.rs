//! The operators' files: `register.toml` and `rules.toml`.

use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

use eelgrassdeal_schema::config::ConfigEntry;
use eelgrassdeal_schema::config::config_entry::Body;
use error_stack::Report;
use serde::Deserialize;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use crate::check::check_fleet;
use crate::fleet::{EntryKind, FleetConfig, entry_key};

const REGISTER_KINDS: [EntryKind; 5] = [
    EntryKind::DataCentre,
    EntryKind::Vm,
    EntryKind::Model,
    EntryKind::Service,
    EntryKind::Upstream,
];
const RULE_KINDS: [EntryKind; 2] = [EntryKind::ClientAccount, EntryKind::Serve];

const DEFAULT_RAMP_STEP_MS: u32 = 1_000;
const DEFAULT_FIRST_TOKEN_TARGET_MS: u32 = 500;
const DEFAULT_REBUILD_AFTER_MS: u64 = 600_000;

/// Something that is wrong at a place of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FileProblem {
    /// File at fault.
    pub file: PathBuf,
    /// Line, counted from 1; 0 for the whole file.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for FileProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.file.display(), self.line, self.message)
    }
}

/// The files cannot be read or do not follow the schema.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    /// Everything that is wrong, in the order of the lines.
    pub problems: Vec<FileProblem>,
}

impl fmt::Display for FileError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("cannot load the operators' files")?;
        self.problems.iter().try_for_each(|problem| write!(formatter, "\n{problem}"))
    }
}

impl std::error::Error for FileError {}

/// Reads the register and the rules. Call [`check_fleet`] or [`FleetFiles::check`] on the result.
///
/// # Errors
///
/// With file, line and reason of everything that does not follow the schema.
pub fn load_fleet_files(register: &Path, rules: &Path) -> Result<FleetConfig, Report<FileError>> {
    FleetFiles::load(register, rules).map(|files| files.fleet)
}

/// Lines of an entry.
#[derive(Clone, Debug)]
struct EntryPlace {
    file: PathBuf,
    line: usize,
    fields: BTreeMap<String, usize>,
}

/// The content of the operators' files with the places of the entries.
#[derive(Clone, Debug, Default)]
pub struct FleetFiles {
    fleet: FleetConfig,
    places: BTreeMap<(EntryKind, String), EntryPlace>,
}

impl FleetFiles {
    /// Reads the register and the rules and fills in defaults.
    ///
    /// # Errors
    ///
    /// With file, line and reason of everything that does not follow the schema.
    pub fn load(register: &Path, rules: &Path) -> Result<Self, Report<FileError>> {
        let mut files = Self::default();
        let mut problems = Vec::new();
        files.read(register, &REGISTER_KINDS, &mut problems);
        files.read(rules, &RULE_KINDS, &mut problems);
        problems.sort();
        match problems.is_empty() {
            true => Ok(files),
            false => Err(Report::new(FileError { problems })),
        }
    }

    /// The configuration that the files declare, at revision 0.
    pub fn fleet(&self) -> &FleetConfig {
        &self.fleet
    }

    /// Everything that [`check_fleet`] finds, with file and line.
    pub fn check(&self) -> Vec<FileProblem> {
        let mut problems: Vec<FileProblem> = (check_fleet(&self.fleet).into_iter())
            .map(|problem| {
                let message = problem.to_string();
                match self.places.get(&(problem.kind, problem.id)) {
                    Some(place) => FileProblem {
                        file: place.file.clone(),
                        line: place.fields.get(problem.field).copied().unwrap_or(place.line),
                        message,
                    },
                    None => FileProblem { file: PathBuf::new(), line: 0, message },
                }
            })
            .collect();
        problems.sort();
        problems
    }

    fn read(&mut self, file: &Path, kinds: &[EntryKind], problems: &mut Vec<FileProblem>) {
        let mut reader = FileReader { file, text: String::new(), problems };
        match std::fs::read_to_string(file) {
            Ok(text) => reader.text = text,
            Err(error) => return reader.report(None, &error.to_string()),
        }
        let text = reader.text.clone();
        let table = match DeTable::parse(&text) {
            Ok(table) => table.into_inner(),
            Err(error) => return reader.report(error.span(), error.message()),
        };
        for (key, value) in table {
            match kinds.iter().find(|kind| kind.name() == key.get_ref()) {
                Some(kind) => self.read_kind(*kind, value, &mut reader),
                None => {
                    let known: Vec<String> =
                        kinds.iter().map(|kind| format!("[[{}]]", kind.name())).collect();
                    let text = format!(
                        "unknown section {:?}; this file has {}",
                        key.get_ref(),
                        known.join(", ")
                    );
                    reader.report(Some(key.span()), &text);
                }
            }
        }
    }

    fn read_kind(
        &mut self,
        kind: EntryKind,
        value: Spanned<DeValue<'_>>,
        reader: &mut FileReader<'_>,
    ) {
        let span = value.span();
        let DeValue::Array(items) = value.into_inner() else {
            let name = kind.name();
            return reader.report(Some(span), &format!("write [[{name}]], one for each {name}"));
        };
        for item in items {
            let span = item.span();
            let line = reader.line_of(span.start);
            let fields = match item.get_ref() {
                DeValue::Table(table) => (table.keys())
                    .map(|key| (key.get_ref().to_string(), reader.line_of(key.span().start)))
                    .collect(),
                _ => BTreeMap::new(),
            };
            let body = match parse_body(kind, item) {
                Ok(body) => body,
                Err(error) => {
                    let text = format!("{}: {}", kind.name(), error.message());
                    reader.report(error.span().or(Some(span)), &text);
                    continue;
                }
            };
            let entry = ConfigEntry { body: Some(with_defaults(body)) };
            let id = entry_key(&entry).map(|(_, id)| id.to_owned()).unwrap_or_default();
            let place = EntryPlace { file: reader.file.to_owned(), line, fields };
            if let Some(first) = self.places.get(&(kind, id.clone())) {
                let text =
                    format!("{} {id:?} is already declared in line {}", kind.name(), first.line);
                reader.report(Some(span), &text);
                continue;
            }
            self.places.insert((kind, id), place);
            self.fleet.insert(entry, 0);
        }
    }
}

/// A file that is being read.
struct FileReader<'a> {
    file: &'a Path,
    text: String,
    problems: &'a mut Vec<FileProblem>,
}

impl FileReader<'_> {
    fn line_of(&self, offset: usize) -> usize {
        1 + self.text.bytes().take(offset).filter(|byte| *byte == b'\n').count()
    }

    fn report(&mut self, span: Option<std::ops::Range<usize>>, message: &str) {
        let line = span.map_or(0, |span| self.line_of(span.start));
        let file = self.file.to_owned();
        self.problems.push(FileProblem { file, line, message: message.to_owned() });
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

/// Fills in what the file leaves out, so that the log holds complete entries and an absent field
/// equals its default in differences.
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
