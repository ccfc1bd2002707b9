//! Context that all calls of callers share: account, deadline, priority and request id.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_schema::config::ClientAccount;
use eelgrassdeal_types::{CallError, ErrorKind};
use hyper::HeaderMap;
use sha2::{Digest, Sha256};
use uuid::Uuid;

use crate::state::{NodePhase, NodeState};

/// Longest request id that is accepted from a caller; a longer one is replaced.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Longest time until the deadline of a call; a longer one that the caller requests is reduced.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// Account, deadline and priority of one call.
#[derive(Clone, Debug)]
pub(crate) struct CallContext {
    pub(crate) request_id: Arc<str>,
    pub(crate) account: Arc<ClientAccount>,
    pub(crate) deadline: Instant,
    /// Priority class in the queue for slots, 0 is the most urgent. The caller can request a less
    /// urgent class than that of its account, but not a more urgent one.
    pub(crate) priority: u32,
}

impl CallContext {
    /// Time left until the deadline; zero once it has passed.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Refuses a call whose deadline has passed. To be called right before a request is sent to an
    /// upstream.
    pub(crate) fn check_deadline(&self) -> Result<(), CallError> {
        match self.time_left() {
            Duration::ZERO => Err(CallError::new(
                ErrorKind::DeadlineExpired,
                "the deadline passed before the request was sent",
            )),
            _ => Ok(()),
        }
    }
}

/// Id from the header `x-request-id`, or a new one if it is absent or too long.
pub(crate) fn request_id(headers: &HeaderMap) -> Arc<str> {
    header_text(headers, "x-request-id")
        .filter(|id| id.len() <= MAX_REQUEST_ID_BYTES)
        .map_or_else(|| Arc::from(Uuid::new_v4().simple().to_string()), Arc::from)
}

/// Authenticates a caller and reads the deadline and priority of its call. Refuses the call in
/// phases in which the node accepts none.
pub(crate) fn authenticate_call(
    state: &NodeState,
    headers: &HeaderMap,
    request_id: Arc<str>,
) -> Result<CallContext, CallError> {
    let received = Instant::now();
    match state.phase.get() {
        NodePhase::Starting => {
            let text = "the node has not read the configuration yet";
            return Err(CallError::new(ErrorKind::NotReady, text));
        }
        NodePhase::Draining => {
            let text = "the node is shutting down; locate another one";
            return Err(CallError::new(ErrorKind::Draining, text));
        }
        NodePhase::Serving | NodePhase::Leaving => {}
    }
    let key = header_text(headers, "authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| CallError::new(ErrorKind::Unauthorized, "no bearer key"))?;
    let digest = hex::encode(Sha256::digest(key.as_bytes()));
    let fleet = state.fleet();
    let account = fleet
        .account_by_key(&digest)
        .ok_or_else(|| CallError::new(ErrorKind::Unauthorized, "unknown key"))?;
    let default_deadline_ms = u64::from(state.limits.default_deadline_ms);
    let time_left_ms = header_number(headers, "x-deadline-ms")?.unwrap_or(default_deadline_ms);
    let requested_priority = header_number(headers, "x-priority")?
        .map_or(account.priority, |value| u32::try_from(value).unwrap_or(u32::MAX));
    let call = CallContext {
        request_id,
        account: Arc::new(account.clone()),
        deadline: received + Duration::from_millis(time_left_ms).min(MAX_DEADLINE),
        priority: requested_priority.max(account.priority),
    };
    call.check_deadline()?;
    Ok(call)
}

/// Value of a header; `None` if it is absent or not visible ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Value of a header as a decimal number; `None` if it is absent.
pub(crate) fn header_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, CallError> {
    match headers.get(name) {
        None => Ok(None),
        Some(value) => {
            value.to_str().ok().and_then(|text| text.trim().parse().ok()).map(Some).ok_or_else(
                || CallError::new(ErrorKind::BadRequest, format!("{name}: not a number")),
            )
        }
    }
}
