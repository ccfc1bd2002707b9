//! Calls to plain services. Calls that are not idempotent run at most once.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use eelgrassdeal_http::RequestBody;
use eelgrassdeal_store::{ClaimOutcome, ClaimedCall, StoredResult};
use eelgrassdeal_types::{CallError, ErrorKind, ReplicaId, unix_ms_now};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};

use crate::call::{CallContext, authenticate_call, header_text};
use crate::http::{Reply, full_reply, read_body};
use crate::slots::{HeldSlot, ReplicaTarget, SlotConstraints};
use crate::state::NodeState;
use crate::upstream_client::{SendFailure, send_request};

/// Largest response body that is accepted from a service. The outcome of a call whose response is
/// larger counts as unknown.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;
/// Maximum number of attempts at an idempotent call that may have run it. Upstreams to which no
/// byte of the call was sent are not counted.
const MAX_ATTEMPTS: u32 = 4;

/// A call to a plain service.
struct ServiceCall {
    call: CallContext,
    service: String,
    /// Last segment of the request path, which names the operation of the service.
    call_name: String,
    /// Header `idempotency-key`; required unless the call is idempotent.
    key: Option<String>,
    body: Bytes,
}

/// Outcome of sending a call to upstreams.
enum SendOutcome {
    /// An upstream ran the call and responded.
    Responded(StoredResult),
    /// No byte of the call was sent to any upstream.
    NotRun(CallError),
    /// An upstream may have run the call.
    MaybeRun(CallError),
}

/// Handles `POST /v1/services/{service}/{call}`. `path` is the part `{service}/{call}`.
pub(crate) async fn call_service(
    state: &Rc<NodeState>,
    request: Request<RequestBody>,
    path: &str,
    request_id: Arc<str>,
) -> Result<Reply, CallError> {
    let (parts, body) = request.into_parts();
    let call = authenticate_call(state, &parts.headers, request_id)?;
    let (service, call_name) = path
        .split_once('/')
        .filter(|(_, call_name)| !call_name.is_empty() && !call_name.contains('/'))
        .ok_or_else(|| CallError::new(ErrorKind::UnknownService, "no such call"))?;
    let fleet = state.fleet();
    let entry = fleet
        .service(service)
        .filter(|_| call.account.services.iter().any(|allowed| allowed == service))
        .ok_or_else(|| CallError::new(ErrorKind::UnknownService, "no such service"))?;
    let is_idempotent = entry.idempotent_calls.iter().any(|known| known == call_name);
    let key = header_text(&parts.headers, "idempotency-key").map(str::to_owned);
    let body = read_body(body, &state.limits).await?;
    let (service, call_name) = (service.to_owned(), call_name.to_owned());
    let service_call = ServiceCall { call, service, call_name, key, body };
    match is_idempotent {
        true => run_idempotent(state, &service_call).await,
        false => run_at_most_once(state, &service_call).await,
    }
}

async fn run_idempotent(
    state: &Rc<NodeState>,
    service_call: &ServiceCall,
) -> Result<Reply, CallError> {
    let mut excluded = Vec::new();
    let mut last_error = None;
    for _ in 0..MAX_ATTEMPTS {
        match send_call(state, service_call, None, &mut excluded).await {
            SendOutcome::Responded(result) => return Ok(result_reply(result, false)),
            SendOutcome::NotRun(error) => {
                // Prefers the error of an earlier attempt, which may have run the call.
                return Err(last_error.unwrap_or(error));
            }
            SendOutcome::MaybeRun(error) => last_error = Some(error),
        }
    }
    let text = "the call failed at several upstreams";
    Err(last_error.unwrap_or_else(|| CallError::new(ErrorKind::OutcomeUnknown, text)))
}

async fn run_at_most_once(
    state: &Rc<NodeState>,
    service_call: &ServiceCall,
) -> Result<Reply, CallError> {
    let key = service_call.key.as_deref().ok_or_else(|| {
        CallError::new(ErrorKind::KeyRequired, "the call needs an idempotency-key header (UUIDv7)")
    })?;
    let claimed = match claim_call(state, service_call, key).await? {
        ClaimOutcome::Done(result) => return Ok(result_reply(result, true)),
        ClaimOutcome::Claimed(claimed) => claimed,
    };
    match send_call(state, service_call, Some(&claimed), &mut Vec::new()).await {
        SendOutcome::Responded(result) => {
            if !state.platform.idempotency_store.complete(claimed, &result).await {
                log::warn!(
                    "request_id={} cannot store the result of the call",
                    service_call.call.request_id
                );
            }
            Ok(result_reply(result, false))
        }
        SendOutcome::NotRun(error) => {
            release_claim(state, claimed);
            Err(error)
        }
        SendOutcome::MaybeRun(error) => Err(error),
    }
}

async fn claim_call(
    state: &Rc<NodeState>,
    service_call: &ServiceCall,
    key: &str,
) -> Result<ClaimOutcome, CallError> {
    let now_unix_ms = unix_ms_now();
    let time_left_ms = service_call.call.time_left().as_millis() as u64;
    let content: [&[u8]; 3] =
        [service_call.service.as_bytes(), service_call.call_name.as_bytes(), &service_call.body];
    state
        .platform
        .idempotency_store
        .claim(
            &service_call.call.account.id,
            key,
            &content,
            now_unix_ms,
            now_unix_ms + time_left_ms,
        )
        .await
        .map_err(|error| CallError::new(error.kind, error.to_string()))
}

/// Releases a claim in the background, so that the caller doesn't wait for the store.
fn release_claim(state: &Rc<NodeState>, claimed: ClaimedCall) {
    let idempotency_store = state.platform.idempotency_store.clone();
    compio::runtime::spawn(async move {
        if !idempotency_store.release(claimed).await {
            log::warn!("cannot release a claim; its idempotency key remains claimed");
        }
    })
    .detach();
}

/// Sends a call to an upstream, and if no byte of it was sent, to another one. `excluded` has the
/// replicas that failed the call, and receives those at which this attempt failed.
async fn send_call(
    state: &Rc<NodeState>,
    service_call: &ServiceCall,
    claim: Option<&ClaimedCall>,
    excluded: &mut Vec<ReplicaId>,
) -> SendOutcome {
    let target = ReplicaTarget::Service(service_call.service.clone());
    loop {
        let constraints = SlotConstraints {
            target: target.clone(),
            kv_tokens: 0,
            excluded: excluded.clone(),
            affinity: None,
            may_wait_for_replica: false,
            is_resumed: false,
        };
        let slot = match HeldSlot::acquire(state, &service_call.call, &constraints).await {
            Ok(slot) if slot.may_send() => slot,
            Ok(_) => continue,
            Err(error) => return SendOutcome::NotRun(error),
        };
        // The deadline may have passed during the claim or the wait for a slot, or while the
        // process was paused.
        if let Err(error) = service_call.call.check_deadline() {
            return SendOutcome::NotRun(error);
        }
        // The check above uses only the monotonic clock, which may stop while the VM is suspended.
        // The claim checks the wall clock as well.
        if claim.is_some_and(|claim| !claim.may_send(unix_ms_now())) {
            let text = "the deadline passed before the call was sent";
            return SendOutcome::NotRun(CallError::new(ErrorKind::DeadlineExpired, text));
        }
        let request = match upstream_request(service_call) {
            Ok(request) => request,
            Err(error) => return SendOutcome::NotRun(error),
        };
        let send_and_read = async {
            let response = send_request(&slot.address, request).await?;
            read_result(response).await.ok_or(SendFailure::MaybeSent)
        };
        let outcome_unknown = |text: &str| CallError::new(ErrorKind::OutcomeUnknown, text);
        match compio::time::timeout(service_call.call.time_left(), send_and_read).await {
            Ok(Ok(result)) => {
                slot.record_completion();
                return SendOutcome::Responded(result);
            }
            Ok(Err(SendFailure::NotSent)) => excluded.push(slot.replica.clone()),
            Ok(Err(SendFailure::MaybeSent)) => {
                excluded.push(slot.replica.clone());
                return SendOutcome::MaybeRun(outcome_unknown(
                    "the upstream sent no complete response",
                ));
            }
            Err(_) => {
                return SendOutcome::MaybeRun(outcome_unknown(
                    "the deadline passed before the response arrived",
                ));
            }
        }
    }
}

fn upstream_request(service_call: &ServiceCall) -> Result<Request<Full<Bytes>>, CallError> {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(format!("/{}", service_call.call_name))
        .header("host", &service_call.service)
        .header("content-type", "application/json")
        .header("x-request-id", &*service_call.call.request_id)
        .header("x-client-account", &service_call.call.account.id);
    if let Some(key) = &service_call.key {
        builder = builder.header("idempotency-key", key);
    }
    builder
        .body(Full::new(service_call.body.clone()))
        .map_err(|error| CallError::new(ErrorKind::BadRequest, error.to_string()))
}

/// Reads a complete response; `None` if it is truncated or its body is too large.
async fn read_result(response: Response<Incoming>) -> Option<StoredResult> {
    let status = response.status().as_u16();
    let content_type =
        header_text(response.headers(), "content-type").unwrap_or("application/json").to_owned();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await.ok()?;
    Some(StoredResult { status, content_type, body: body.to_bytes() })
}

/// Builds the response from a result; `is_replayed` marks a stored result of an earlier request.
fn result_reply(result: StoredResult, is_replayed: bool) -> Reply {
    let mut reply = full_reply(result.status, &result.content_type, result.body);
    if is_replayed {
        let value = hyper::header::HeaderValue::from_static("true");
        reply.headers_mut().insert("idempotent-replayed", value);
    }
    reply
}
