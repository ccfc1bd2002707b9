//! A caller's request after its route and account have been determined.

use std::cell::Cell;
use std::ops::Range;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use eelgrassdeal_dispatch::{CrashSuspect, RouteRule, ServiceConfig};
use eelgrassdeal_http::RequestBody;
use eelgrassdeal_platform::{CallerRequest, PromptPart};
use eelgrassdeal_types::{ClientAccountId, ErrorKind, ServiceId};
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::header::HeaderMap;
use hyper::{Method, Request};
use sha2::{Digest, Sha256};

use super::hold::BufferHold;
use super::refusal::CallRefusal;
use crate::lifecycle::DRAIN_ACCEPT_PERIOD;
use crate::placing::PlacementNeed;
use crate::state::GatewayState;

/// Timeout for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Bounds of the `retry-after` of a request whose body finds no memory. Most requests have ended by then.
const MEMORY_RETRY_AFTER: Range<Duration> =
    Duration::from_millis(400)..Duration::from_millis(1_200);
/// `retry-after` of a node without a configuration. A node loads one within about this time after
/// its start.
const CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A caller's request with everything that an attempt to run it needs.
pub(super) struct GatewayCall {
    /// Values from the headers of the caller's request.
    pub(super) caller: CallerRequest,
    /// Id for logs, `-` if the caller sent none.
    pub(super) request_id: Arc<str>,
    pub(super) method: Method,
    /// Path and query.
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) route: Arc<RouteRule>,
    pub(super) service: ServiceId,
    /// Client account of the caller; `None` on a route that needs no key.
    pub(super) account: Option<ClientAccountId>,
    /// 0 is the most urgent.
    pub(super) priority: u32,
    /// Whether the request is counted for the usage report.
    pub(super) is_counted: Cell<bool>,
    /// When the request's headers were received.
    pub(super) received: Instant,
    /// Time that the caller spent on earlier attempts, as far as its timeout shows it.
    pub(super) spent: Duration,
    /// `received` plus the caller's timeout or the route's, whichever is shorter.
    pub(super) deadline: Instant,
    /// When all requests end because the node does; `None` if it goes on.
    requests_end: Rc<Cell<Option<Instant>>>,
    /// Parts of the prompt that other prompts may share.
    shared_parts: Vec<CrashSuspect>,
}

impl GatewayCall {
    /// Determines the route, account and service of a request, and reads its body.
    ///
    /// # Errors
    ///
    /// The refusal to send to the caller.
    pub(super) async fn read(
        state: &Rc<GatewayState>,
        request: Request<RequestBody>,
        received: Instant,
    ) -> Result<Self, CallRefusal> {
        let (head, body) = request.into_parts();
        let caller = CallerRequest::from_headers(&head.headers);
        let request_id = caller.request_id.clone().unwrap_or_else(|| Arc::from("-"));
        let refuse = |kind, message: &str| CallRefusal::new(kind, message, &request_id);
        let Some(config) = state.config() else {
            let refusal =
                refuse(ErrorKind::NotReady, "the node has not loaded a configuration yet");
            return Err(refusal.with_retry_after(CONFIG_RETRY_AFTER));
        };
        let check_draining = || match state.leaving_since.get() {
            Some(since) if since.elapsed() > DRAIN_ACCEPT_PERIOD => {
                let refusal = refuse(ErrorKind::Draining, "the node is shutting down");
                Err(refusal.with_retry_after(Duration::ZERO))
            }
            _ => Ok(()),
        };
        check_draining()?;
        let path = head.uri.path();
        let Some(route) = config.find_route(&caller.host, path).cloned() else {
            return Err(refuse(ErrorKind::UnknownService, "no route for this host and path"));
        };
        let (account, priority) = find_account(&config, &route, &caller).ok_or_else(|| {
            refuse(ErrorKind::Unauthorized, "the key is missing or belongs to no account")
        })?;
        let Some(service) = route.pick_service(rand::random()).cloned() else {
            return Err(refuse(ErrorKind::NoCapacity, "the route has no service"));
        };
        let hold = BufferHold::new(&state.request_budget);
        let body = read_body(body, config.limits.max_body_bytes, hold).await.map_err(|error| {
            let refusal = refuse(error.kind(), error.message());
            match error {
                BodyError::NoMemory => {
                    metrics::counter!("eelgrassdeal_request_memory_refusals_total").increment(1);
                    refusal.with_retry_after(rand::random_range(MEMORY_RETRY_AFTER))
                }
                _ => refusal,
            }
        })?;
        // The shutdown may have begun while the body arrived.
        check_draining()?;
        let spent = caller.timeout.map(|timeout| state.time_spent(&route.name, timeout));
        let timeout = caller.timeout.unwrap_or(route.timeout).min(route.timeout);
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let shared_parts = shared_parts(&service, &caller);
        Ok(Self {
            request_id,
            method: head.method,
            path,
            headers: head.headers,
            body,
            route,
            service,
            account,
            priority,
            is_counted: Cell::new(false),
            received,
            spent: spent.unwrap_or_default(),
            deadline: received + timeout,
            requests_end: state.requests_end.clone(),
            shared_parts,
            caller,
        })
    }

    /// What the upstream that runs the request has to fulfil, before the first attempt.
    pub(super) fn placement_need(&self) -> PlacementNeed {
        PlacementNeed {
            service: self.service.clone(),
            model: self.caller.model.clone(),
            priority: self.priority,
            account: self.account.clone(),
            has_returned: !self.spent.is_zero(),
            target_at: self.received + self.route.target_latency.saturating_sub(self.spent),
            allows_for_first_event: false,
            is_rerun: false,
            excluded: Vec::new(),
            occupied: Vec::new(),
        }
    }

    /// Time until the deadline or the end of the node, whichever is earlier; zero once that has passed.
    pub(super) fn time_left(&self, now: Instant) -> Duration {
        let end = self.requests_end.get().map_or(self.deadline, |end| end.min(self.deadline));
        end.saturating_duration_since(now)
    }

    /// What ended a request that has no time left at `now`.
    pub(super) fn end_reason(&self, now: Instant) -> &'static str {
        match now < self.deadline {
            true => "the node is shutting down",
            false => "the deadline passed",
        }
    }

    /// What this request has in common with others and may crash upstreams, from general to
    /// specific.
    pub(super) fn crash_suspects(&self) -> Vec<CrashSuspect> {
        // A prompt part is the likelier cause if both explain the same crashes.
        let mut suspects = vec![self.whole_request()];
        suspects.extend(self.shared_parts.iter().cloned());
        suspects
    }

    /// Returns a refusal if the request has a suspect in quarantine.
    pub(super) fn check_quarantine(&self, state: &GatewayState) -> Option<CallRefusal> {
        let ledger = state.crash_ledger.borrow();
        let whole = ledger.suspects_whole_requests().then(|| self.whole_request());
        let now = Instant::now();
        let quarantine = ledger.quarantine_of(self.shared_parts.iter().chain(&whole), now)?;
        let reason = format!(
            "{} crashed the upstreams that ran it and is in quarantine",
            quarantine.suspect
        );
        let left = quarantine.until.saturating_duration_since(now);
        Some(self.refuse(ErrorKind::CauseQuarantined, reason).with_retry_after(left))
    }

    /// Records that the upstream has survived the request: the response is complete, or has lasted for
    /// longer than a crash would take.
    pub(super) fn record_survival(&self, state: &GatewayState) {
        let mut ledger = state.crash_ledger.borrow_mut();
        let now = Instant::now();
        ledger.record_response(&self.shared_parts, now);
        // A plain request is quarantined after few crashes, and its earlier responses speak for it.
        if self.shared_parts.is_empty() || ledger.suspects_whole_requests() {
            let whole = self.whole_request();
            if ledger.is_suspected(&whole) {
                log::info!("event=suspect_answered request_id={} suspect={whole}", self.request_id);
            }
            ledger.record_response(&[whole], now);
        }
    }

    fn whole_request(&self) -> CrashSuspect {
        let mut hasher = Sha256::new();
        let account = self.account.as_deref().unwrap_or_default();
        for text in [account.as_bytes(), self.path.as_bytes()] {
            hasher.update((text.len() as u64).to_be_bytes());
            hasher.update(text);
        }
        hasher.update(&self.body);
        let digest = hasher.finalize();
        let digest = digest.iter().take(8).fold(0, |sum, byte| (sum << 8) | u64::from(*byte));
        CrashSuspect::WholeRequest { service: self.service.clone(), digest }
    }

    pub(super) fn refuse(&self, kind: ErrorKind, message: impl Into<String>) -> CallRefusal {
        CallRefusal::new(kind, message, &self.request_id)
    }
}

/// The parts of a prompt except the last one, which belongs to the request or its session.
fn shared_parts(service: &ServiceId, caller: &CallerRequest) -> Vec<CrashSuspect> {
    let (Some(model), [parts @ .., _]) = (&caller.model, caller.prompt_parts.as_slice()) else {
        return Vec::new();
    };
    let suspect = |part: &PromptPart| CrashSuspect::PromptPart {
        service: service.clone(),
        model: model.clone(),
        part: part.id,
    };
    parts.iter().map(suspect).collect()
}

/// Finds the account of the caller's API key and the priority of the request. The account is `None`
/// on a public route and if the configuration has no accounts. Returns `None` if the route needs a
/// key, and the caller sent none or one that belongs to no account.
fn find_account(
    config: &ServiceConfig,
    route: &RouteRule,
    caller: &CallerRequest,
) -> Option<(Option<ClientAccountId>, u32)> {
    let accounts = match &config.accounts {
        Some(accounts) if !route.is_public => accounts,
        _ => return Some((None, route.priority)),
    };
    let entry = accounts.get(caller.api_key.as_ref()?)?;
    Some((Some(entry.account.clone()), entry.priority.unwrap_or(route.priority)))
}

/// Why the body of a request was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyError {
    TooLarge,
    Incomplete,
    Late,
    /// The bodies of other requests hold the memory of the node.
    NoMemory,
}

impl BodyError {
    fn kind(self) -> ErrorKind {
        match self {
            Self::TooLarge => ErrorKind::BodyTooLarge,
            Self::Incomplete => ErrorKind::BadRequest,
            Self::Late => ErrorKind::RequestTimeout,
            Self::NoMemory => ErrorKind::NoCapacity,
        }
    }

    fn message(self) -> &'static str {
        match self {
            Self::TooLarge => "the request body exceeds the size limit",
            Self::Incomplete => "the request body is incomplete",
            Self::Late => "the request body was not received in time",
            Self::NoMemory => "the node has no memory for the request body",
        }
    }
}

/// Reads a body of at most `limit` bytes into one buffer. Its memory is taken from the budget of `hold`
/// before its bytes are read, and given back when the last copy of the body is dropped.
async fn read_body(body: RequestBody, limit: usize, hold: BufferHold) -> Result<Bytes, BodyError> {
    let read = compio::time::timeout(BODY_TIMEOUT, collect_body(body, limit, hold)).await;
    read.unwrap_or(Err(BodyError::Late))
}

async fn collect_body(
    mut body: RequestBody,
    limit: usize,
    mut hold: BufferHold,
) -> Result<Bytes, BodyError> {
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared > limit {
        return Err(BodyError::TooLarge);
    }
    if !hold.try_resize(declared) {
        return Err(BodyError::NoMemory);
    }
    let mut buffer = BytesMut::with_capacity(declared);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        let Some(data) = frame.data_ref() else { continue };
        let needed = buffer.len() + data.len();
        if needed > limit {
            return Err(BodyError::TooLarge);
        }
        if needed > buffer.capacity() {
            // A body of unknown length.
            let capacity = (needed * 2).min(limit);
            if !hold.try_resize(capacity) {
                return Err(BodyError::NoMemory);
            }
            buffer.reserve(capacity - buffer.len());
        }
        buffer.extend_from_slice(data);
    }
    Ok(hold.attach_to(buffer.freeze()))
}
