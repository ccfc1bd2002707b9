//! Calls to plain services; those that may not be repeated run at most once.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use eelgrassdeal_store::{ClaimOutcome, ClaimedCall, StoredResult};
use eelgrassdeal_types::{CallError, ErrorKind, ReplicaId, unix_ms_now};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};

use crate::call::{CallContext, header_text, open_call};
use crate::http::{AnswerReply, raw_reply, read_body};
use crate::slots::{HeldSlot, ReplicaTarget, SlotConstraints};
use crate::state::NodeState;
use crate::upstream_client::{SendFailure, send_request};

/// Largest answer of a service that is passed on.
const MAX_RESULT_BYTES: usize = 1024 * 1024;
/// Attempts of a call that may be repeated.
const MAX_ATTEMPTS: u32 = 4;

struct ServiceCall {
    call: CallContext,
    service: String,
    name: String,
    key: Option<String>,
    body: Bytes,
}

/// How sending a call ended.
enum SendEnd {
    Answered(StoredResult),
    /// No byte of the call left for any upstream.
    NotRun(CallError),
    /// An upstream may have run the call.
    MaybeRun(CallError),
}

/// Answers `POST /v1/services/{service}/{call}`.
pub(crate) async fn call_service(
    state: &Rc<NodeState>,
    request: Request<Incoming>,
    path: &str,
    request_id: Arc<str>,
) -> Result<AnswerReply, CallError> {
    let (parts, body) = request.into_parts();
    let call = open_call(state, &parts.headers, request_id)?;
    let (service, name) = path
        .split_once('/')
        .filter(|(_, name)| !name.is_empty() && !name.contains('/'))
        .ok_or_else(|| CallError::new(ErrorKind::UnknownService, "no such call"))?;
    let fleet = state.fleet();
    let entry = fleet
        .service(service)
        .filter(|_| call.account.services.iter().any(|allowed| allowed == service))
        .ok_or_else(|| CallError::new(ErrorKind::UnknownService, "no such service"))?;
    let is_idempotent = entry.idempotent_calls.iter().any(|known| known == name);
    let key = header_text(&parts.headers, "idempotency-key").map(str::to_owned);
    let body = read_body(body, &state.limits).await?;
    let (service, name) = (service.to_owned(), name.to_owned());
    let service_call = ServiceCall { call, service, name, key, body };
    match is_idempotent {
        true => run_repeatable(state, &service_call).await,
        false => run_once(state, &service_call).await,
    }
}

async fn run_repeatable(
    state: &Rc<NodeState>,
    service_call: &ServiceCall,
) -> Result<AnswerReply, CallError> {
    let mut avoid = Vec::new();
    let mut last_end = None;
    for _ in 0..MAX_ATTEMPTS {
        match send_call(state, service_call, None, &mut avoid).await {
            SendEnd::Answered(result) => return Ok(result_reply(result, false)),
            SendEnd::NotRun(error) => {
                // An earlier attempt may have run the call.
                return Err(last_end.unwrap_or(error));
            }
            SendEnd::MaybeRun(error) => last_end = Some(error),
        }
    }
    let text = "the service failed several times";
    Err(last_end.unwrap_or_else(|| CallError::new(ErrorKind::OutcomeUnknown, text)))
}

async fn run_once(
    state: &Rc<NodeState>,
    service_call: &ServiceCall,
) -> Result<AnswerReply, CallError> {
    let key = service_call.key.as_deref().ok_or_else(|| {
        CallError::new(ErrorKind::KeyRequired, "the call needs an idempotency-key (UUIDv7)")
    })?;
    let claimed = match claim_call(state, service_call, key).await? {
        ClaimOutcome::Done(result) => return Ok(result_reply(result, true)),
        ClaimOutcome::Claimed(claimed) => claimed,
    };
    match send_call(state, service_call, Some(&claimed), &mut Vec::new()).await {
        SendEnd::Answered(result) => {
            if !state.platform.ledger.complete(claimed, &result).await {
                log::warn!("request_id={} cannot record its result", service_call.call.request_id);
            }
            Ok(result_reply(result, false))
        }
        SendEnd::NotRun(error) => {
            release_claim(state, claimed);
            Err(error)
        }
        SendEnd::MaybeRun(error) => Err(error),
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
        [service_call.service.as_bytes(), service_call.name.as_bytes(), &service_call.body];
    state
        .platform
        .ledger
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

/// Releases a claim without making the caller wait for the store.
fn release_claim(state: &Rc<NodeState>, claimed: ClaimedCall) {
    let ledger = state.platform.ledger.clone();
    compio::runtime::spawn(async move {
        if !ledger.release(claimed).await {
            log::warn!("cannot release a claim; its key stays unusable");
        }
    })
    .detach();
}

/// Sends a call to one upstream, and to another one as long as no byte of it has left.
async fn send_call(
    state: &Rc<NodeState>,
    service_call: &ServiceCall,
    claim: Option<&ClaimedCall>,
    avoid: &mut Vec<ReplicaId>,
) -> SendEnd {
    let target = ReplicaTarget::Service(service_call.service.clone());
    loop {
        let need = SlotConstraints {
            target: target.clone(),
            kv_tokens: 0,
            excluded: avoid.clone(),
            affinity: None,
            is_resume: false,
        };
        let slot = match HeldSlot::acquire(state, &service_call.call, &need).await {
            Ok(slot) if slot.may_send() => slot,
            Ok(_) => continue,
            Err(error) => return SendEnd::NotRun(error),
        };
        // The claim and the wait may have taken long, or the process may have been paused.
        if let Err(error) = service_call.call.check_deadline() {
            return SendEnd::NotRun(error);
        }
        if claim.is_some_and(|claim| !claim.may_send(unix_ms_now())) {
            let text = "the deadline passed before the call was sent";
            return SendEnd::NotRun(CallError::new(ErrorKind::DeadlineExpired, text));
        }
        let request = match upstream_request(service_call) {
            Ok(request) => request,
            Err(error) => return SendEnd::NotRun(error),
        };
        let exchange = async {
            let response = send_request(&slot.address, request).await?;
            read_result(response).await.ok_or(SendFailure::MaybeSent)
        };
        let unknown = |text: &str| CallError::new(ErrorKind::OutcomeUnknown, text);
        match compio::time::timeout(service_call.call.time_left(), exchange).await {
            Ok(Ok(result)) => {
                slot.record_completion();
                return SendEnd::Answered(result);
            }
            Ok(Err(SendFailure::NotSent)) => avoid.push(slot.replica.clone()),
            Ok(Err(SendFailure::MaybeSent)) => {
                avoid.push(slot.replica.clone());
                return SendEnd::MaybeRun(unknown("the upstream gave no answer"));
            }
            Err(_) => {
                return SendEnd::MaybeRun(unknown("the deadline passed before the answer came"));
            }
        }
    }
}

fn upstream_request(service_call: &ServiceCall) -> Result<Request<Full<Bytes>>, CallError> {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(format!("/{}", service_call.name))
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

async fn read_result(response: Response<Incoming>) -> Option<StoredResult> {
    let status = response.status().as_u16();
    let content_type =
        header_text(response.headers(), "content-type").unwrap_or("application/json").to_owned();
    let body = Limited::new(response.into_body(), MAX_RESULT_BYTES).collect().await.ok()?;
    Some(StoredResult { status, content_type, body: body.to_bytes() })
}

fn result_reply(result: StoredResult, is_replayed: bool) -> AnswerReply {
    let mut reply = raw_reply(result.status, &result.content_type, result.body);
    if is_replayed {
        let value = hyper::header::HeaderValue::from_static("true");
        reply.headers_mut().insert("idempotent-replayed", value);
    }
    reply
}
