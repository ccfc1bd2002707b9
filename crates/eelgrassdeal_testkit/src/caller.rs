//! A well-made caller.

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

/// An error answer.
#[derive(Clone, Debug, PartialEq)]
pub struct ErrorReply {
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// Body by the table of error kinds.
    pub body: ErrorBody,
}

/// What a caller got for a chat completion.
#[derive(Clone, Debug, Default)]
pub struct ChatOutcome {
    /// Text received.
    pub text: String,
    /// Whether the final event came.
    pub is_whole: bool,
    /// Streams it took: more than one after a node died.
    pub streams: u32,
    /// Last error answer or error event.
    pub error: Option<ErrorReply>,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Longest time between two tokens.
    pub longest_gap: Duration,
    /// Whole time.
    pub elapsed: Duration,
}

impl ServiceOutcome {
    /// What the node says became of the call; empty for a result.
    pub fn outcome(&self) -> &str {
        self.body["outcome"].as_str().unwrap_or_default()
    }
}

/// What a caller got for a call to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceOutcome {
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// Id that the node gave the request.
    pub request_id: String,
    /// Body.
    pub body: Value,
}

/// Calls a fleet as a client account does.
#[derive(Clone)]
pub struct TestCaller {
    client: Client,
    seeds: Vec<SocketAddr>,
    key: String,
    deadline: Duration,
    stated_deadline: Option<Duration>,
    has_fixed_nodes: bool,
}

/// A chat request with an answer of `tokens` tokens.
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
    /// Calls through the nodes at `seeds`.
    ///
    /// # Panics
    ///
    /// When no HTTP client can be made.
    pub fn new(seeds: &[SocketAddr]) -> Self {
        Self {
            client: Client::new().expect("HTTP client"),
            seeds: seeds.to_vec(),
            key: ACCOUNT_KEY.to_owned(),
            deadline: Duration::from_secs(30),
            stated_deadline: None,
            has_fixed_nodes: false,
        }
    }

    /// Gives each call this long.
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// States another deadline to the nodes than the caller itself keeps.
    pub fn with_stated_deadline(mut self, deadline: Duration) -> Self {
        self.stated_deadline = Some(deadline);
        self
    }

    /// Uses the seeds in their order instead of asking the nodes which addresses to use.
    pub fn with_fixed_nodes(mut self) -> Self {
        self.has_fixed_nodes = true;
        self
    }

    /// Presents another key.
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = key.to_owned();
        self
    }

    /// Asks the nodes, one after the other, which addresses to use.
    pub async fn locate(&self) -> Vec<SocketAddr> {
        if self.has_fixed_nodes {
            return self.seeds.clone();
        }
        for seed in &self.seeds {
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

    /// Streams a chat completion, and continues it through other nodes until it is whole, is
    /// refused for good, or the deadline has passed.
    pub async fn chat(&self, request: &ChatRequest) -> ChatOutcome {
        let started = Instant::now();
        let mut outcome = ChatOutcome::default();
        let mut next_offset = 0;
        while !outcome.is_whole && started.elapsed() < self.deadline {
            let addresses = self.locate().await;
            let Some(address) = addresses.get(outcome.streams as usize % addresses.len().max(1))
            else {
                compio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            outcome.streams += 1;
            let time_left = self.deadline.saturating_sub(started.elapsed());
            let stream =
                self.stream_once(*address, request, started, &mut next_offset, &mut outcome);
            let _ = compio::time::timeout(time_left, stream).await;
            let retry = outcome.error.as_ref().is_none_or(|error| error.body.retry);
            if !outcome.is_whole && !retry {
                break;
            }
            if !outcome.is_whole {
                compio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        outcome.elapsed = started.elapsed();
        outcome
    }

    /// Streams a chat completion from one node, without a second try.
    pub async fn chat_at(&self, address: SocketAddr, request: &ChatRequest) -> ChatOutcome {
        let started = Instant::now();
        let mut outcome = ChatOutcome { streams: 1, ..ChatOutcome::default() };
        let mut next_offset = 0;
        let stream = self.stream_once(address, request, started, &mut next_offset, &mut outcome);
        let _ = compio::time::timeout(self.deadline, stream).await;
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
        let time_left = self.deadline.saturating_sub(started.elapsed());
        let response = self.send_chat(address, request, time_left, *next_offset).await?;
        read_answer(response, started, next_offset, outcome).await
    }

    /// Starts a stream at one node and reads nothing of it yet.
    pub async fn open_stream(
        &self,
        address: SocketAddr,
        request: &ChatRequest,
    ) -> Option<OpenStream> {
        let started = Instant::now();
        let response = self.send_chat(address, request, self.deadline, 0).await?;
        Some(OpenStream { response, started })
    }

    async fn send_chat(
        &self,
        address: SocketAddr,
        request: &ChatRequest,
        time_left: Duration,
        next_offset: u64,
    ) -> Option<Response> {
        let stated = self.stated_deadline.unwrap_or(time_left);
        let mut builder = self
            .client
            .post(format!("http://{address}/v1/chat/completions"))
            .ok()?
            .bearer_auth(&self.key)
            .ok()?
            .header("x-deadline-ms", stated.as_millis().to_string())
            .ok()?;
        if next_offset > 0 {
            builder = builder.header("last-event-id", (next_offset - 1).to_string()).ok()?;
        }
        builder.json(request).ok()?.send().await.ok()
    }

    /// Sends a chat completion to one node and returns status and body of an answer that is not
    /// streamed.
    pub async fn chat_text(&self, address: SocketAddr, request: &ChatRequest) -> ServiceOutcome {
        let request = ChatRequest { stream: false, ..request.clone() };
        let body = serde_json::to_string(&request).unwrap_or_default();
        self.post(address, "/v1/chat/completions", None, &body).await
    }

    /// Calls the plain service through one node.
    pub async fn call_service(
        &self,
        address: SocketAddr,
        call: &str,
        key: Option<&str>,
        body: &str,
    ) -> ServiceOutcome {
        let path = format!("/v1/services/{SERVICE}/{call}");
        self.post(address, &path, key, body).await
    }

    async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> ServiceOutcome {
        let stated = self.stated_deadline.unwrap_or(self.deadline);
        let exchange = async {
            let url = format!("http://{address}{path}");
            let mut builder = self
                .client
                .post(url)
                .ok()?
                .bearer_auth(&self.key)
                .ok()?
                .header("x-deadline-ms", stated.as_millis().to_string())
                .ok()?;
            if let Some(key) = key {
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
            Some(ServiceOutcome { status, request_id, body })
        };
        compio::time::timeout(self.deadline, exchange)
            .await
            .ok()
            .flatten()
            .unwrap_or(ServiceOutcome { status: 0, request_id: String::new(), body: Value::Null })
    }

    /// A new idempotency key.
    pub fn new_key() -> String {
        Uuid::now_v7().to_string()
    }
}

/// A stream whose caller has not read the answer yet.
pub struct OpenStream {
    response: Response,
    started: Instant,
}

impl OpenStream {
    /// Reads the answer up to its end.
    pub async fn read_on(self) -> ChatOutcome {
        let mut outcome = ChatOutcome { streams: 1, ..ChatOutcome::default() };
        read_answer(self.response, self.started, &mut 0, &mut outcome).await;
        outcome.elapsed = self.started.elapsed();
        outcome
    }
}

async fn read_answer(
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
            outcome.is_whole = true;
            return Some(());
        }
        let offset: u64 = event.id.parse().ok()?;
        assert_eq!(offset, *next_offset, "the stream skips or repeats a token");
        *next_offset += 1;
        let chunk: Value = serde_json::from_str(&event.data).ok()?;
        let text = chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
        outcome.text.push_str(text);
        match outcome.first_token {
            None => outcome.first_token = Some(started.elapsed()),
            Some(_) => outcome.longest_gap = outcome.longest_gap.max(last_token.elapsed()),
        }
        last_token = Instant::now();
    }
    None
}
