//! The closed list of error kinds and the table from kind to answer.

use std::fmt;

/// What became of a call that ended with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// No byte of the call left for an upstream.
    NotRun,
    /// The call may have run.
    Unknown,
    /// The call was refused because of an earlier one, which may have run.
    Refused,
}

impl CallOutcome {
    /// Name in error bodies.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "outcome_unknown",
            Self::Refused => "refused",
        }
    }
}

/// What a caller is told about an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// Name in error bodies, logs and metrics.
    pub name: &'static str,
    /// HTTP status.
    pub status: u16,
    /// What became of the call.
    pub outcome: CallOutcome,
    /// Whether the same call may succeed when it is sent again.
    pub retry: bool,
}

/// Every kind of error that a caller or an operator can meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ErrorKind {
    /// The request is not well formed.
    BadRequest,
    /// The register has no such model, or the account may not use it.
    UnknownModel,
    /// The register has no such service, or the account may not use it.
    UnknownService,
    /// The key is absent or belongs to no account.
    Unauthorized,
    /// The account may not do this.
    Forbidden,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The headers are larger than the limit.
    HeaderTooLarge,
    /// The caller did not finish sending in time.
    RequestTimeout,
    /// The deadline passed before the request was sent.
    DeadlineExpired,
    /// The request cannot finish before its deadline.
    DeadlineUnreachable,
    /// The deadline passed after the request was sent.
    DeadlinePassed,
    /// Too many requests wait, or too much memory is held.
    Overloaded,
    /// No replica takes the request.
    NoCapacity,
    /// The node has not read the configuration yet.
    NotReady,
    /// The node is shutting down.
    Draining,
    /// The node cannot tell whether its configuration is still in force.
    NotConfirmed,
    /// The table service cannot be reached, and the call needs it.
    StoreUnavailable,
    /// A call that may not be repeated came without an idempotency key.
    KeyRequired,
    /// The idempotency key is not a UUIDv7.
    KeyInvalid,
    /// The idempotency key is older than the retention, or of the future.
    KeyExpired,
    /// The idempotency key came before with another body.
    KeyMismatch,
    /// The first call under this idempotency key may still be running.
    CallInProgress,
    /// The request crashed upstreams and is refused for a while.
    RequestQuarantined,
    /// The call was sent, and whether it ran is not known.
    OutcomeUnknown,
    /// The answer broke off and could not be continued.
    AnswerIncomplete,
    /// Another change of the configuration was accepted first.
    ConfigConflict,
    /// The configuration is not valid.
    ConfigInvalid,
    /// A fault of the system itself.
    Internal,
}

impl ErrorKind {
    /// Every kind, in the order of the table.
    pub const ALL: [Self; 28] = [
        Self::BadRequest,
        Self::UnknownModel,
        Self::UnknownService,
        Self::Unauthorized,
        Self::Forbidden,
        Self::BodyTooLarge,
        Self::HeaderTooLarge,
        Self::RequestTimeout,
        Self::DeadlineExpired,
        Self::DeadlineUnreachable,
        Self::DeadlinePassed,
        Self::Overloaded,
        Self::NoCapacity,
        Self::NotReady,
        Self::Draining,
        Self::NotConfirmed,
        Self::StoreUnavailable,
        Self::KeyRequired,
        Self::KeyInvalid,
        Self::KeyExpired,
        Self::KeyMismatch,
        Self::CallInProgress,
        Self::RequestQuarantined,
        Self::OutcomeUnknown,
        Self::AnswerIncomplete,
        Self::ConfigConflict,
        Self::ConfigInvalid,
        Self::Internal,
    ];

    /// The answer for this kind.
    pub fn answer(self) -> ErrorAnswer {
        use CallOutcome::{NotRun, Refused, Unknown};
        let (name, status, outcome, retry) = match self {
            Self::BadRequest => ("bad_request", 400, NotRun, false),
            Self::UnknownModel => ("unknown_model", 404, NotRun, false),
            Self::UnknownService => ("unknown_service", 404, NotRun, false),
            Self::Unauthorized => ("unauthorized", 401, NotRun, false),
            Self::Forbidden => ("forbidden", 403, NotRun, false),
            Self::BodyTooLarge => ("body_too_large", 413, NotRun, false),
            Self::HeaderTooLarge => ("header_too_large", 431, NotRun, false),
            Self::RequestTimeout => ("request_timeout", 408, NotRun, true),
            Self::DeadlineExpired => ("deadline_expired", 504, NotRun, false),
            Self::DeadlineUnreachable => ("deadline_unreachable", 503, NotRun, true),
            Self::DeadlinePassed => ("deadline_passed", 504, Unknown, false),
            Self::Overloaded => ("overloaded", 429, NotRun, true),
            Self::NoCapacity => ("no_capacity", 503, NotRun, true),
            Self::NotReady => ("not_ready", 503, NotRun, true),
            Self::Draining => ("draining", 503, NotRun, true),
            Self::NotConfirmed => ("not_confirmed", 503, NotRun, true),
            Self::StoreUnavailable => ("store_unavailable", 503, NotRun, true),
            Self::KeyRequired => ("key_required", 400, Refused, false),
            Self::KeyInvalid => ("key_invalid", 400, Refused, false),
            Self::KeyExpired => ("key_expired", 409, Refused, false),
            Self::KeyMismatch => ("key_mismatch", 422, Refused, false),
            Self::CallInProgress => ("call_in_progress", 409, Refused, true),
            Self::RequestQuarantined => ("request_quarantined", 422, Refused, false),
            Self::OutcomeUnknown => ("outcome_unknown", 502, Unknown, false),
            Self::AnswerIncomplete => ("answer_incomplete", 502, Unknown, false),
            Self::ConfigConflict => ("config_conflict", 409, Refused, false),
            Self::ConfigInvalid => ("config_invalid", 422, Refused, false),
            Self::Internal => ("internal", 500, Unknown, false),
        };
        ErrorAnswer { name, status, outcome, retry }
    }

    /// Name in error bodies, logs and metrics.
    pub fn name(self) -> &'static str {
        self.answer().name
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// An error that ends a call: its kind and a message for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallError {
    /// Decides the answer.
    pub kind: ErrorKind,
    /// Tells the caller what to change.
    pub message: String,
}

impl CallError {
    /// Makes an error of `kind`.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for CallError {}
