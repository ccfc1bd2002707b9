//! Findings about files that operators write.

use std::fmt;

/// How much a finding matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingSeverity {
    /// The configuration must not be sent as it is.
    Error,
    /// The configuration works, but a part of it may not do what it was written for.
    Warning,
}

impl FindingSeverity {
    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
        }
    }
}

/// Kinds of findings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingKind {
    /// The file can't be read, is too large, is not UTF-8, or does not have the syntax of its format.
    UnusableFile,
    /// A key occurs twice in one object.
    DuplicateKey,
    /// A field is missing, has the wrong type, or has a value that makes no sense.
    InvalidField,
    /// A field has no meaning.
    UnknownField,
    /// Two entries have the same name, or the same key of a caller.
    DuplicateEntry,
    /// An entry names another one that does not exist.
    UnknownReference,
    /// A route that no request can match.
    UnreachableRoute,
    /// An entry that has no effect.
    UnusedEntry,
    /// Two limits contradict each other.
    ContradictingLimits,
    /// The version does not follow the one in force, so that the configuration would be ignored.
    StaleVersion,
}

impl FindingKind {
    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::UnusableFile => "unusable_file",
            Self::DuplicateKey => "duplicate_key",
            Self::InvalidField => "invalid_field",
            Self::UnknownField => "unknown_field",
            Self::DuplicateEntry => "duplicate_entry",
            Self::UnknownReference => "unknown_reference",
            Self::UnreachableRoute => "unreachable_route",
            Self::UnusedEntry => "unused_entry",
            Self::ContradictingLimits => "contradicting_limits",
            Self::StaleVersion => "stale_version",
        }
    }
}

/// A finding about a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CheckFinding {
    /// Line number, counted from 1; 0 if the finding concerns the whole file.
    pub line: usize,
    /// How much it matters.
    pub severity: FindingSeverity,
    /// What was found.
    pub kind: FindingKind,
    /// Path of the field, for example `routes[2].timeout_ms`; empty if it concerns no single one.
    pub field: String,
    /// Description for operators. It holds no key of a caller.
    pub message: String,
}

impl CheckFinding {
    /// Makes a finding of severity [`FindingSeverity::Error`].
    pub fn new_error(
        kind: FindingKind,
        line: usize,
        field: impl Into<String>,
        message: impl Into<String>,
    ) -> Self {
        let (field, message) = (field.into(), message.into());
        Self { line, severity: FindingSeverity::Error, kind, field, message }
    }

    /// Makes a finding of severity [`FindingSeverity::Warning`].
    pub fn new_warning(
        kind: FindingKind,
        line: usize,
        field: impl Into<String>,
        message: impl Into<String>,
    ) -> Self {
        let severity = FindingSeverity::Warning;
        Self { severity, ..Self::new_error(kind, line, field, message) }
    }
}

impl fmt::Display for CheckFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {} [{}]", self.line, self.severity.name(), self.kind.name())?;
        match self.field.as_str() {
            "" => {}
            field => write!(formatter, " {field}")?,
        }
        write!(formatter, ": {}", self.message)
    }
}
