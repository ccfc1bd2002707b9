//! A test client that retries chat completions as callers are expected to do.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cyper::{Client, Response};
use eelgrassdeal_schema::engine::{ChatMessage, ChatRequest, ErrorBody, LocateReply};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use serde_json::Value;
use uuid::Uuid;

use crate::fleet::{ACCOUNT_KEY, MODEL, SERVICE};

/// Error that a caller received, as an error response or as an error event in a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct ErrorReply {
    /// HTTP status of the response; 200 for an error event in a stream.
    pub status: u16,
    /// Error kind, and whether the call was executed and may be repeated. If the body could not be
    /// parsed, the texts are empty and `retry` is false.
    pub body: ErrorBody,
}

/// What a caller received for a chat completion.
#[derive(Clone, Debug, Default)]
pub struct ChatOutcome {
    /// Text of the tokens received, over all streams.
    pub text: String,
    /// Whether the final event `[DONE]` was received.
    pub is_complete: bool,
    /// Number of requests sent for this completion; more than 1 if one failed or its stream was
    /// interrupted, for example because its node was killed.
    pub stream_count: u32,
    /// Error response or error event that ended the last stream; `None` if the stream ended in
    /// another way.
    pub error: Option<ErrorReply>,
    /// Time from the call to its first token; `None` if no token was received.
    pub time_to_first_token: Option<Duration>,
    /// Longest time between two tokens of one stream. In a stream that continues an interrupted
    /// one, the time before its first token counts from the response headers. The time from an
    /// interruption to the response headers of the next stream is not included.
    pub longest_gap: Duration,
    /// Time from the call to its end, with all retries.
    pub elapsed: Duration,
}

impl BufferedOutcome {
    /// Field `outcome` of an error response: whether the call was executed (see [`ErrorBody`]).
    /// Empty for a response without this field.
    pub fn call_outcome(&self) -> &str {
        self.body["outcome"].as_str().unwrap_or_default()
    }
}

/// What a caller received for a service call, or for a chat completion whose response is not
/// streamed.
#[derive(Clone, Debug, PartialEq)]
pub struct BufferedOutcome {
    /// HTTP status; 0 if no complete response arrived within the timeout.
    pub status: u16,
    /// Request id from the header `x-request-id`; empty without the header.
    pub request_id: String,
    /// Response body; null if it is not JSON.
    pub body: Value,
}

/// HTTP client of a fleet that presents the API key of a client account.
#[derive(Clone)]
pub struct TestCaller {
    client: Client,
    seed_addresses: Vec<SocketAddr>,
    api_key: String,
    timeout: Duration,
    declared_timeout: Option<Duration>,
    has_fixed_nodes: bool,
}

/// Creates a streaming chat request whose response has `tokens` tokens.
pub fn chat_request(prompt: &str, tokens: u32) -> ChatRequest {
    ChatRequest {
        model: MODEL.to_owned(),
        messages: vec![ChatMessage { role: "user".to_owned(), content: prompt.to_owned() }],
        max_tokens: tokens,
        stream: true,
        ..ChatRequest::default()
    }
}

impl TestCaller {
    /// Creates a client that finds the entry nodes through the nodes at `seed_addresses`. It uses
    /// [`ACCOUNT_KEY`] and a timeout of 30 s.
    ///
    /// # Panics
    ///
    /// When the HTTP client cannot be created.
    pub fn new(seed_addresses: &[SocketAddr]) -> Self {
        Self {
            client: Client::new().expect("HTTP client"),
            seed_addresses: seed_addresses.to_vec(),
            api_key: ACCOUNT_KEY.to_owned(),
            timeout: Duration::from_secs(30),
            declared_timeout: None,
            has_fixed_nodes: false,
        }
    }

    /// Sets the timeout of each call. For [`TestCaller::chat`] it includes all retries.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends this timeout to the nodes in the header `x-deadline-ms`, whatever the timeout of the
    /// client itself.
    pub fn with_declared_timeout(mut self, timeout: Duration) -> Self {
        self.declared_timeout = Some(timeout);
        self
    }

    /// Uses the seed addresses in their order instead of locating the entry nodes.
    pub fn with_fixed_nodes(mut self) -> Self {
        self.has_fixed_nodes = true;
        self
    }

    /// Sends this API key instead of [`ACCOUNT_KEY`].
    pub fn with_api_key(mut self, api_key: &str) -> Self {
        self.api_key = api_key.to_owned();
        self
    }

    /// Returns the addresses of the entry nodes to send requests to.
    ///
    /// Sends a locator request to one seed address after the other, each with a timeout of 1 s,
    /// and returns the addresses from the first response. Empty if no node responds.
    pub async fn locate(&self) -> Vec<SocketAddr> {
        if self.has_fixed_nodes {
            return self.seed_addresses.clone();
        }
        for seed in &self.seed_addresses {
            let exchange = async {
                let url = format!("http://{seed}/v1/locate?model={MODEL}");
                let reply = self.client.get(url).ok()?.send().await.ok()?;
                reply.json::<LocateReply>().await.ok()
            };
            let reply = compio::time::timeout(Duration::from_secs(1), exchange).await;
            if let Ok(Some(reply)) = reply {
                return reply.addresses.iter().filter_map(|text| text.parse().ok()).collect();
            }
        }
        Vec::new()
    }

    /// Streams a chat completion. After an interruption or an error that allows a retry, continues
    /// it through another node at the first token that is missing, until `[DONE]` is received, an
    /// error forbids a retry, or the timeout has passed.
    pub async fn chat(&self, request: &ChatRequest) -> ChatOutcome {
        let started = Instant::now();
        let mut outcome = ChatOutcome::default();
        let mut next_offset = 0;
        while !outcome.is_complete && started.elapsed() < self.timeout {
            let addresses = self.locate().await;
            let Some(address) =
                addresses.get(outcome.stream_count as usize % addresses.len().max(1))
            else {
                compio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            outcome.stream_count += 1;
            let time_left = self.timeout.saturating_sub(started.elapsed());
            let stream =
                self.stream_once(*address, request, started, &mut next_offset, &mut outcome);
            let _ = compio::time::timeout(time_left, stream).await;
            let is_retryable = outcome.error.as_ref().is_none_or(|error| error.body.retry);
            if !outcome.is_complete && !is_retryable {
                break;
            }
            if !outcome.is_complete {
                compio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        outcome.elapsed = started.elapsed();
        outcome
    }

    /// Streams a chat completion from one node, and does not retry it.
    pub async fn chat_without_retry(
        &self,
        address: SocketAddr,
        request: &ChatRequest,
    ) -> ChatOutcome {
        let started = Instant::now();
        let mut outcome = ChatOutcome { stream_count: 1, ..ChatOutcome::default() };
        let mut next_offset = 0;
        let stream = self.stream_once(address, request, started, &mut next_offset, &mut outcome);
        let _ = compio::time::timeout(self.timeout, stream).await;
        outcome.elapsed = started.elapsed();
        outcome
    }

    async fn stream_once(
        &self,
        address: SocketAddr,
        request: &ChatRequest,
        started: Instant,
        next_offset: &mut u64,
        outcome: &mut ChatOutcome,
    ) -> Option<()> {
        outcome.error = None;
        let time_left = self.timeout.saturating_sub(started.elapsed());
        let response = self.send_chat(address, request, time_left, *next_offset).await?;
        read_response(response, started, next_offset, outcome).await
    }

    /// Sends a chat completion to one node and waits for the response headers, but reads nothing
    /// of the body. `None` if the request fails.
    pub async fn open_stream(
        &self,
        address: SocketAddr,
        request: &ChatRequest,
    ) -> Option<OpenStream> {
        let started = Instant::now();
        let response = self.send_chat(address, request, self.timeout, 0).await?;
        Some(OpenStream { response, started })
    }

    async fn send_chat(
        &self,
        address: SocketAddr,
        request: &ChatRequest,
        time_left: Duration,
        next_offset: u64,
    ) -> Option<Response> {
        let declared_timeout = self.declared_timeout.unwrap_or(time_left);
        let mut builder = self
            .client
            .post(format!("http://{address}/v1/chat/completions"))
            .ok()?
            .bearer_auth(&self.api_key)
            .ok()?
            .header("x-deadline-ms", declared_timeout.as_millis().to_string())
            .ok()?;
        if next_offset > 0 {
            builder = builder.header("last-event-id", (next_offset - 1).to_string()).ok()?;
        }
        builder.json(request).ok()?.send().await.ok()
    }

    /// Sends a chat completion to one node and asks for a buffered response instead of a stream.
    pub async fn chat_buffered(
        &self,
        address: SocketAddr,
        request: &ChatRequest,
    ) -> BufferedOutcome {
        let request = ChatRequest { stream: false, ..request.clone() };
        let body = serde_json::to_string(&request).unwrap_or_default();
        self.post(address, "/v1/chat/completions", None, &body).await
    }

    /// Calls [`SERVICE`] through one node, with an idempotency key if one is given.
    pub async fn call_service(
        &self,
        address: SocketAddr,
        call: &str,
        idempotency_key: Option<&str>,
        body: &str,
    ) -> BufferedOutcome {
        let path = format!("/v1/services/{SERVICE}/{call}");
        self.post(address, &path, idempotency_key, body).await
    }

    async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        idempotency_key: Option<&str>,
        body: &str,
    ) -> BufferedOutcome {
        let declared_timeout = self.declared_timeout.unwrap_or(self.timeout);
        let exchange = async {
            let url = format!("http://{address}{path}");
            let mut builder = self
                .client
                .post(url)
                .ok()?
                .bearer_auth(&self.api_key)
                .ok()?
                .header("x-deadline-ms", declared_timeout.as_millis().to_string())
                .ok()?;
            if let Some(key) = idempotency_key {
                builder = builder.header("idempotency-key", key).ok()?;
            }
            let response = builder.body(Bytes::from(body.to_owned())).send().await.ok()?;
            let status = response.status().as_u16();
            let request_id = response
                .headers()
                .get("x-request-id")
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned();
            let bytes = response.bytes().await.ok()?;
            let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
            Some(BufferedOutcome { status, request_id, body })
        };
        compio::time::timeout(self.timeout, exchange)
            .await
            .ok()
            .flatten()
            .unwrap_or(BufferedOutcome { status: 0, request_id: String::new(), body: Value::Null })
    }

    /// Creates a unique idempotency key (a UUID of version 7).
    pub fn new_idempotency_key() -> String {
        Uuid::now_v7().to_string()
    }
}

/// Chat stream of which the caller has read the response headers only.
pub struct OpenStream {
    response: Response,
    started: Instant,
}

impl OpenStream {
    /// Reads the stream to its end, without a timeout.
    pub async fn read_to_end(self) -> ChatOutcome {
        let mut outcome = ChatOutcome { stream_count: 1, ..ChatOutcome::default() };
        read_response(self.response, self.started, &mut 0, &mut outcome).await;
        outcome.elapsed = self.started.elapsed();
        outcome
    }
}

async fn read_response(
    response: Response,
    started: Instant,
    next_offset: &mut u64,
    outcome: &mut ChatOutcome,
) -> Option<()> {
    let status = response.status().as_u16();
    if status != 200 {
        let body = response.json::<ErrorBody>().await.unwrap_or_default();
        outcome.error = Some(ErrorReply { status, body });
        return None;
    }
    let mut events = Box::pin(response.bytes_stream()).eventsource();
    let mut last_token = Instant::now();
    while let Some(Ok(event)) = events.next().await {
        if event.event == "error" {
            let body = serde_json::from_str(&event.data).unwrap_or_default();
            outcome.error = Some(ErrorReply { status, body });
            return None;
        }
        if event.data == "[DONE]" {
            outcome.is_complete = true;
            return Some(());
        }
        let offset: u64 = event.id.parse().ok()?;
        assert_eq!(offset, *next_offset, "the stream skips or repeats a token");
        *next_offset += 1;
        let chunk: Value = serde_json::from_str(&event.data).ok()?;
        let text = chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
        outcome.text.push_str(text);
        match outcome.time_to_first_token {
            None => outcome.time_to_first_token = Some(started.elapsed()),
            Some(_) => outcome.longest_gap = outcome.longest_gap.max(last_token.elapsed()),
        }
        last_token = Instant::now();
    }
    None
}
