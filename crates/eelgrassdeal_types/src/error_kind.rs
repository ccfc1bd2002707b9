//! All error kinds, and the response that a caller receives for each.

use std::fmt;

/// Whether a call that ended with an error was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call was not executed: no byte of it was sent to an upstream.
    NotRun,
    /// The call may have been executed.
    Unknown,
    /// The call was refused. Unlike [`Self::NotRun`], this makes no statement about earlier
    /// attempts of the call or earlier calls with the same effect: if there were any, they may have
    /// been executed.
    Refused,
}

impl CallOutcome {
    /// Value of `outcome` in error bodies.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "outcome_unknown",
            Self::Refused => "refused",
        }
    }
}

/// Content of the response for an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Name in error bodies, logs and metrics.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Whether the call was executed.
    pub outcome: CallOutcome,
    /// Whether the caller is advised to repeat the same call. False if a repetition cannot be
    /// expected to succeed, and for [`CallOutcome::Unknown`], because it could execute the call
    /// twice.
    pub retry: bool,
}

/// Kind of an error that a caller or an operator can receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The register, which is the operators' list of machines, models and services, has no such
    /// model, or the account may not use it.
    UnknownModel,
    /// The register has no such service, no route is configured for the request, or the account may
    /// not use the service.
    UnknownService,
    /// The API key is missing or belongs to no account.
    Unauthorized,
    /// The account has no permission for this call.
    Forbidden,
    /// The request body is larger than the limit.
    BodyTooLarge,
    /// The request headers are larger than the limit.
    HeaderTooLarge,
    /// The caller did not send the complete request in time.
    RequestTimeout,
    /// The deadline passed before the request was sent to an upstream, so it was not executed.
    DeadlineExpired,
    /// The request cannot be completed before its deadline.
    DeadlineUnreachable,
    /// The deadline passed after the request was sent to an upstream, so it may have been executed.
    DeadlinePassed,
    /// Too many requests are queued, or too much memory is in use.
    Overloaded,
    /// No replica accepts the request.
    NoCapacity,
    /// The node has not loaded a configuration yet.
    NotReady,
    /// The node is shutting down.
    Draining,
    /// The node has not read the store yet, or could not confirm in time that its configuration is
    /// still the current one.
    NotConfirmed,
    /// The call needs the store (the table service that holds the nodes' shared data), which cannot
    /// be reached.
    StoreUnavailable,
    /// The call is not idempotent and has no idempotency key.
    KeyRequired,
    /// The idempotency key is not a UUIDv7.
    KeyInvalid,
    /// The time in the idempotency key is in the future, or longer ago than the retention period,
    /// which is the age up to which keys are accepted.
    KeyExpired,
    /// The idempotency key was used before with another body.
    KeyMismatch,
    /// The first call with this idempotency key may still be running.
    CallInProgress,
    /// The request crashed upstreams and is refused until its ban (`RequestBan`) expires.
    RequestQuarantined,
    /// The request shares with earlier requests what crashed the upstreams that ran them, and is
    /// refused until the quarantine ends.
    CauseQuarantined,
    /// The call was sent, and it is unknown whether it was executed.
    OutcomeUnknown,
    /// The response was interrupted and could not be continued.
    AnswerIncomplete,
    /// Another configuration change was accepted first.
    ConfigConflict,
    /// The configuration is invalid.
    ConfigInvalid,
    /// A fault of the system itself, which the caller cannot correct.
    Internal,
}

impl ErrorKind {
    /// Every kind, in the order of declaration.
    pub const ALL: [Self; 29] = [
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
        Self::CauseQuarantined,
        Self::OutcomeUnknown,
        Self::AnswerIncomplete,
        Self::ConfigConflict,
        Self::ConfigInvalid,
        Self::Internal,
    ];

    /// Response that a caller receives for this kind.
    pub fn response(self) -> ErrorResponse {
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
            Self::CauseQuarantined => ("cause_quarantined", 503, NotRun, true),
            Self::OutcomeUnknown => ("outcome_unknown", 502, Unknown, false),
            Self::AnswerIncomplete => ("answer_incomplete", 502, Unknown, false),
            Self::ConfigConflict => ("config_conflict", 409, Refused, false),
            Self::ConfigInvalid => ("config_invalid", 422, Refused, false),
            Self::Internal => ("internal", 500, Unknown, false),
        };
        ErrorResponse { name, status, outcome, retry }
    }

    /// Name in error bodies, logs and metrics.
    pub fn name(self) -> &'static str {
        self.response().name
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
    /// Determines the HTTP status and the other fields of the response.
    pub kind: ErrorKind,
    /// Describes the cause to the caller.
    pub message: String,
}

impl CallError {
    /// Creates an error of `kind` with a message for the caller.
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
