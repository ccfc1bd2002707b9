//! Chat completions: requests run on any replica of the model, and move to another one if it fails.

mod attempt;
mod event;
mod progress;
mod relay;
mod sink;

use std::rc::Rc;
use std::sync::Arc;

use eelgrassdeal_http::RequestBody;
use eelgrassdeal_routing::{RequestFingerprint, affinity_key};
use eelgrassdeal_schema::engine::{ChatRequest, ResumePoint};
use eelgrassdeal_types::{CallError, ClientAccountId, ErrorKind, ModelId};
use hyper::Request;
use serde::Deserialize;
use serde_json::Value;

use crate::call::{CallContext, authenticate_call, header_number};
use crate::http::{Reply, full_reply, read_body, stream_reply};
use crate::quarantine::request_fingerprint;
use crate::response_queue::response_queue;
use crate::slots::largest_request_kv;
use crate::state::NodeState;
use relay::ResponseRelay;

/// Maximum number of tokens of a response if the caller sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 512;
/// Assumed mean length of a token, for the estimate of the prompt's tokens.
const BYTES_PER_TOKEN: u64 = 4;

/// A chat completion request, as parsed and as it is sent to engines.
pub(crate) struct ChatCall {
    pub(crate) call: CallContext,
    pub(crate) chat: ChatRequest,
    /// The caller's body, with the default `max_tokens` if it has none. Each attempt sets the
    /// fields `stream`, `priority` and `resume` in a copy.
    pub(crate) body: Value,
    /// KV cache tokens that are reserved for the request: the estimated tokens of the prompt plus
    /// `max_tokens`. The request occupies more if the estimate is too low.
    pub(crate) kv_tokens: u64,
    /// Hash of the account and the start of the prompt, by which requests are sent to a replica
    /// that may have this prefix in its cache.
    pub(crate) affinity: [u8; 32],
    /// Identifies the request in bans.
    pub(crate) fingerprint: RequestFingerprint,
}

/// Handles `POST /v1/chat/completions`.
pub(crate) async fn complete_chat(
    state: &Rc<NodeState>,
    request: Request<RequestBody>,
    request_id: Arc<str>,
) -> Result<Reply, CallError> {
    let (parts, body) = request.into_parts();
    let call = authenticate_call(state, &parts.headers, request_id)?;
    let last_event = header_number(&parts.headers, "last-event-id")?;
    let bytes = read_body(body, &state.limits).await?;
    let (chat, body) = parse_chat(&bytes, last_event)?;
    let fleet = state.fleet();
    let may_use = call.account.models.contains(&chat.model);
    if !may_use || fleet.model(&chat.model).is_none() {
        let text = format!("no model {:?} for this account", chat.model);
        return Err(CallError::new(ErrorKind::UnknownModel, text));
    }
    let is_streamed = chat.stream;
    let kv_tokens = kv_tokens(&chat);
    let max_kv_tokens = fleet.model(&chat.model).map_or(0, largest_request_kv);
    if kv_tokens > max_kv_tokens {
        let text = format!("the request needs up to {kv_tokens} tokens, more than {max_kv_tokens}");
        return Err(CallError::new(ErrorKind::BadRequest, text));
    }
    let account = ClientAccountId::from(call.account.id.as_str());
    let affinity = affinity_key(&account, prompt_start(&chat).as_bytes());
    let fingerprint = request_fingerprint(&account, &ModelId::from(chat.model.as_str()), &body);
    let chat_call = ChatCall { call, chat, body, kv_tokens, affinity, fingerprint };
    let mut relay = ResponseRelay::new(state.clone(), chat_call);
    // The first attempt starts before the head of the response is sent, so that a refusal can have
    // its own status.
    relay.start_first_attempt().await?;
    if is_streamed {
        let limit = state.limits.stream_buffer_bytes as usize;
        let (queue, body) = response_queue(limit, &state.memory_budget);
        state.front.tasks.spawn(relay.stream_into(queue));
        return Ok(stream_reply(body));
    }
    let text = relay.collect().await?;
    Ok(full_reply(200, "application/json", text))
}

/// Parses the body of a chat request, and fills in the default `max_tokens`.
///
/// `last_event` is the header `last-event-id`: the offset of the last chunk that the caller
/// received. It replaces the offset of the field `resume`, whose text is kept.
fn parse_chat(bytes: &[u8], last_event: Option<u64>) -> Result<(ChatRequest, Value), CallError> {
    let bad_request = |error: serde_json::Error| {
        CallError::new(ErrorKind::BadRequest, format!("the body is not a chat request: {error}"))
    };
    let mut body: Value = serde_json::from_slice(bytes).map_err(bad_request)?;
    if !body.is_object() {
        return Err(CallError::new(ErrorKind::BadRequest, "the body is not a JSON object"));
    }
    let mut chat = ChatRequest::deserialize(&body).map_err(bad_request)?;
    if chat.messages.is_empty() {
        return Err(CallError::new(ErrorKind::BadRequest, "messages: at least one is needed"));
    }
    if chat.max_tokens == 0 {
        chat.max_tokens = DEFAULT_MAX_TOKENS;
        body["max_tokens"] = DEFAULT_MAX_TOKENS.into();
    }
    if let Some(last) = last_event {
        let text = chat.resume.take().map(|resume| resume.text).unwrap_or_default();
        chat.resume = Some(ResumePoint { offset: last.saturating_add(1), text });
    }
    Ok((chat, body))
}

/// KV cache tokens to reserve for a request: the estimated tokens of the prompt plus `max_tokens`.
fn kv_tokens(chat: &ChatRequest) -> u64 {
    let bytes: usize = chat.messages.iter().map(|message| message.content.len()).sum();
    (bytes as u64).div_ceil(BYTES_PER_TOKEN) + u64::from(chat.max_tokens)
}

/// Text of the first message.
fn prompt_start(chat: &ChatRequest) -> &str {
    chat.messages.first().map_or("", |message| message.content.as_str())
}
