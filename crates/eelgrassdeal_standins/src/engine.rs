//! Fake of a model engine, the process on a VM that runs a part of a model as a member of a group.
//!
//! An engine executes orders to join or leave a group ([`GroupOrder`]), loads weights and reports
//! its status. The member with rank 0 of a complete group also serves chat completions. The
//! generated text is a function of the request, so that a test can compute the expected text of
//! every response.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use eelgrassdeal_schema::engine::{ChatRequest, EngineStatus, GroupOrder};
use eelgrassdeal_types::{StartId, new_start_id};
use futures_channel::mpsc;
use futures_util::SinkExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use crate::server::{Reply, ServerHandle, empty_reply, json_reply, serve_http};

/// Requests whose messages contain this text crash the engine that runs them.
const CRASH_TRIGGER_TEXT: &str = "CRASH_ENGINE";
const DONE_EVENT: Bytes = Bytes::from_static(b"data: [DONE]\n\n");
/// Size of the queue of frames for a slow reader, to which the channel adds one frame for its
/// sender. The engine generates no further token while the queue is full.
const STREAM_QUEUE_FRAMES: usize = 4;

/// Behaviour of a fake engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Id of the VM in the register.
    pub vm: String,
    /// Whether orders whose fencing number is below the highest accepted one are rejected.
    pub enforces_fencing: bool,
    /// Bearer token that orders must have; `None` accepts orders without a token.
    pub order_token: Option<String>,
    /// Base URL of the weight store; `None` loads weights without delay.
    pub weights_url: Option<String>,
    /// Time from the start of a request to its first token.
    pub first_token_delay: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Maximum number of concurrent requests of a cold engine; one more crashes it.
    pub cold_limit: u32,
    /// Maximum number of concurrent requests of a warm engine; one more crashes it.
    pub warm_limit: u32,
    /// Time from the first request until a cold engine is warm.
    pub warm_up_time: Duration,
    /// Capacity of the KV cache in tokens; the engine crashes if its requests need more.
    pub kv_tokens: u64,
    /// Age of the load (running requests and KV tokens in use) that the status reports: it shows
    /// the values of this long ago.
    pub load_lag: Duration,
    /// Time from a crash until the engine responds again.
    pub restart_delay: Duration,
    /// Interval at which the member with rank 0 checks the other members.
    pub member_check_interval: Duration,
    /// Number of bytes added to each token event of a stream, so that fewer events fill the kernel's
    /// socket buffers.
    pub event_padding_bytes: usize,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            vm: String::new(),
            enforces_fencing: true,
            order_token: None,
            weights_url: None,
            first_token_delay: Duration::from_millis(20),
            token_interval: Duration::from_millis(5),
            cold_limit: u32::MAX,
            warm_limit: u32::MAX,
            warm_up_time: Duration::ZERO,
            kv_tokens: u64::MAX,
            load_lag: Duration::ZERO,
            restart_delay: Duration::from_millis(500),
            member_check_interval: Duration::from_millis(100),
            event_padding_bytes: 0,
        }
    }
}

impl EngineOptions {
    /// Default options for an engine on `vm`.
    pub fn new(vm: impl Into<String>) -> Self {
        Self { vm: vm.into(), ..Self::default() }
    }
}

/// A fault in one stream. The number is the token offset at which the fault occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// The connection is closed before the token is sent.
    InterruptAt(u64),
    /// The stream ends with `[DONE]` before the token, as if it were complete.
    DoneAt(u64),
    /// The token is sent twice, followed by the first token of the stream.
    RepeatAt(u64),
    /// The token is omitted.
    SkipAt(u64),
    /// The token is sent after its successor.
    ReorderAt(u64),
    /// No further data is sent from the token on, and the connection stays open.
    StallAt(u64),
}

/// A request that an engine started to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRun {
    /// Value of the `x-request-id` header; empty if it was missing.
    pub request_id: String,
    /// Group to which the engine belonged.
    pub group: String,
    /// Generation of the group.
    pub generation: u64,
    /// Offset of the first token to generate; above 0 if the request resumes a stream.
    pub start_offset: u64,
    /// When the request arrived.
    pub received_at: Instant,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum MemberState {
    #[default]
    Idle,
    Loading,
    Ready,
    Failed,
}

impl MemberState {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Loading => "loading",
            Self::Ready => "ready",
            Self::Failed => "failed",
        }
    }
}

struct EngineState {
    start_id: StartId,
    state: MemberState,
    order: GroupOrder,
    /// Model, version and rank of the loaded weights.
    loaded: Option<(String, String, u32)>,
    /// Highest fencing number of the accepted orders; without enforcement, the latest one.
    fencing: u64,
    running: u32,
    peak_running: u32,
    kv_used: u64,
    peak_kv_tokens: u64,
    /// When warm-up began, which is at the first request after the weights were loaded or the
    /// warm-up was reset; `None` before.
    warm_up_started: Option<Instant>,
    /// Times at which the load changed, each with the running requests and KV tokens in use from
    /// then on, oldest first.
    load_history: VecDeque<(Instant, u32, u64)>,
    down_until: Option<Instant>,
    is_paused: bool,
    crashes: u32,
    runs: Vec<EngineRun>,
    /// Group orders that were accepted, oldest first.
    orders: Vec<GroupOrder>,
    resume_mismatches: u32,
    sent_tokens: u64,
    /// Faults for the next streams, one for each stream.
    stream_faults: VecDeque<StreamFault>,
}

/// A fake engine on one VM, which can be a member of a group. Clones share the state.
#[derive(Clone)]
pub struct EngineFake {
    options: Rc<EngineOptions>,
    state: Rc<RefCell<EngineState>>,
    slowdown: Rc<Cell<u32>>,
}

impl EngineFake {
    /// Creates an idle engine.
    pub fn new(options: EngineOptions) -> Self {
        let state = EngineState {
            start_id: new_start_id(),
            state: MemberState::Idle,
            order: GroupOrder::default(),
            loaded: None,
            fencing: 0,
            running: 0,
            peak_running: 0,
            kv_used: 0,
            peak_kv_tokens: 0,
            warm_up_started: None,
            load_history: VecDeque::new(),
            down_until: None,
            is_paused: false,
            crashes: 0,
            runs: Vec::new(),
            orders: Vec::new(),
            resume_mismatches: 0,
            sent_tokens: 0,
            stream_faults: VecDeque::new(),
        };
        Self {
            options: Rc::new(options),
            state: Rc::new(RefCell::new(state)),
            slowdown: Rc::new(Cell::new(1)),
        }
    }

    /// Requests that the engine started to run, in order of arrival.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.state.borrow().runs.clone()
    }

    /// Group orders that the engine accepted, oldest first; includes repeated orders.
    pub fn orders(&self) -> Vec<GroupOrder> {
        self.state.borrow().orders.clone()
    }

    /// Largest number of requests that ran concurrently.
    pub fn peak_running(&self) -> u32 {
        self.state.borrow().peak_running
    }

    /// Largest number of KV tokens that were in use at the same time.
    pub fn peak_kv_tokens(&self) -> u64 {
        self.state.borrow().peak_kv_tokens
    }

    /// Number of crashes, including calls of [`EngineFake::crash`] and [`EngineFake::kill`].
    pub fn crashes(&self) -> u32 {
        self.state.borrow().crashes
    }

    /// Number of resumed requests whose delivered text differs from what the engine generates.
    pub fn resume_mismatches(&self) -> u32 {
        self.state.borrow().resume_mismatches
    }

    /// Number of tokens sent so far, over all streams.
    pub fn sent_tokens(&self) -> u64 {
        self.state.borrow().sent_tokens
    }

    /// Crashes the engine: interrupts all streams, discards group membership and weights, and accepts
    /// requests again after the restart delay, with a new start identity.
    pub fn crash(&self) {
        self.stop_until(Instant::now() + self.options.restart_delay);
    }

    /// Stops the engine permanently.
    pub fn kill(&self) {
        self.stop_until(Instant::now() + Duration::from_secs(365 * 24 * 60 * 60));
    }

    /// Suspends all responses and token generation until [`EngineFake::unpause`].
    pub fn pause(&self) {
        self.state.borrow_mut().is_paused = true;
    }

    /// Continues after [`EngineFake::pause`].
    pub fn unpause(&self) {
        self.state.borrow_mut().is_paused = false;
    }

    /// Makes the engine a straggler, which takes `factor` times as long for every token.
    pub fn slow_down(&self, factor: u32) {
        self.slowdown.set(factor.max(1));
    }

    /// Queues a fault for the next stream that starts; each stream takes one fault from the queue.
    pub fn inject_stream_fault(&self, fault: StreamFault) {
        self.state.borrow_mut().stream_faults.push_back(fault);
    }

    /// Number of queued faults that no stream has taken yet.
    pub fn pending_stream_faults(&self) -> usize {
        self.state.borrow().stream_faults.len()
    }

    /// Number of requests that are running.
    pub fn running(&self) -> u32 {
        self.state.borrow().running
    }

    /// Makes the engine cold again and keeps its start identity.
    pub fn reset_warm_up(&self) {
        self.state.borrow_mut().warm_up_started = None;
    }

    /// Serves orders, status and chat completions on `listen`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn serve(&self, listen: SocketAddr) -> io::Result<ServerHandle> {
        let engine = self.clone();
        let checker = self.clone();
        compio::runtime::spawn(async move { checker.check_members().await }).detach();
        serve_http(listen, move |request| {
            let engine = engine.clone();
            async move { engine.handle(request).await }
        })
        .await
    }

    /// The status that the engine reports.
    pub fn status(&self) -> EngineStatus {
        let state = self.state.borrow();
        let latest = Instant::now().checked_sub(self.options.load_lag);
        let (at, running, kv_used) = state
            .load_history
            .iter()
            .rev()
            .find(|(at, _, _)| latest.is_none_or(|latest| *at <= latest))
            .copied()
            .unwrap_or((Instant::now(), 0, 0));
        let load_age = match self.options.load_lag {
            Duration::ZERO => Duration::ZERO,
            lag => lag.min(at.elapsed()),
        };
        EngineStatus {
            vm: self.options.vm.clone(),
            start_id: state.start_id.to_string(),
            group: state.order.group.clone(),
            generation: state.order.generation,
            rank: state.order.rank,
            state: state.state.as_str().to_owned(),
            fencing: state.fencing,
            running,
            waiting: 0,
            kv_tokens_used: kv_used,
            load_age_ms: u64::try_from(load_age.as_millis()).unwrap_or(u64::MAX),
            model: state.order.model.clone(),
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Reply {
        if self.is_down() {
            return None;
        }
        self.wait_while_paused().await;
        let path = request.uri().path().to_owned();
        let headers = request.headers().clone();
        let header =
            |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
        let body = request.into_body().collect().await.ok()?.to_bytes();
        match path.as_str() {
            "/status" => json_reply(200, &serde_json::to_value(self.status()).ok()?),
            "/order" => self.handle_order(&body, header("authorization")),
            "/v1/chat/completions" => {
                let chat: ChatRequest = match serde_json::from_slice(&body) {
                    Ok(chat) => chat,
                    Err(_) => return empty_reply(400),
                };
                self.run_chat(chat, header("x-request-id").unwrap_or_default())
            }
            "/faults" => {
                self.set_faults(&serde_json::from_slice(&body).ok()?);
                empty_reply(204)
            }
            "/log" => {
                let state = self.state.borrow();
                let runs: Vec<Value> = state
                    .runs
                    .iter()
                    .map(|run| json!({ "id": run.request_id, "from": run.start_offset }))
                    .collect();
                json_reply(200, &json!({ "runs": runs, "peak": state.peak_running }))
            }
            _ => empty_reply(404),
        }
    }

    /// Injects the faults in the JSON body of `POST /faults`, such as `{"slowdown": 4, "action":
    /// "crash"}`. `slowdown` is the factor of [`EngineFake::slow_down`]. `action` is `crash`,
    /// `kill`, or `cold` for [`EngineFake::reset_warm_up`]. A field that is missing changes
    /// nothing.
    fn set_faults(&self, value: &Value) {
        if let Some(factor) = value["slowdown"].as_u64().and_then(|value| value.try_into().ok()) {
            self.slow_down(factor);
        }
        match value["action"].as_str() {
            Some("crash") => self.crash(),
            Some("kill") => self.kill(),
            Some("cold") => self.reset_warm_up(),
            _ => {}
        }
    }

    fn handle_order(&self, body: &[u8], authorization: Option<String>) -> Reply {
        let presented = authorization.as_deref().and_then(|value| value.strip_prefix("Bearer "));
        if self.options.order_token.is_some() && self.options.order_token.as_deref() != presented {
            return empty_reply(401);
        }
        let order: GroupOrder = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(_) => return empty_reply(400),
        };
        let mut state = self.state.borrow_mut();
        if self.options.enforces_fencing && order.fencing < state.fencing {
            return json_reply(409, &json!({ "fencing": state.fencing }));
        }
        state.fencing = order.fencing;
        state.orders.push(order.clone());
        if state.order == order && state.state != MemberState::Failed {
            return empty_reply(200);
        }
        let shard = (order.model.clone(), order.version.clone(), order.rank);
        let is_loaded = state.loaded.as_ref() == Some(&shard);
        state.order = order;
        state.state = match (state.order.group.is_empty(), is_loaded) {
            (true, _) => MemberState::Idle,
            (false, true) => MemberState::Ready,
            (false, false) => MemberState::Loading,
        };
        if state.state == MemberState::Loading {
            state.loaded = None;
            state.warm_up_started = None;
            let order = state.order.clone();
            let start_id = state.start_id.clone();
            let engine = self.clone();
            compio::runtime::spawn(async move { engine.load_weights(order, start_id).await })
                .detach();
        }
        empty_reply(200)
    }

    async fn load_weights(&self, order: GroupOrder, start_id: StartId) {
        if let Some(url) = &self.options.weights_url {
            let client = cyper::Client::new().ok();
            let url = format!("{url}/?bytes={}", order.weights_bytes);
            let request = client.and_then(|client| client.get(url).ok());
            let Some(request) = request else { return };
            let is_loaded = match request.send().await {
                Ok(response) => response.bytes().await.is_ok(),
                Err(_) => false,
            };
            if !is_loaded {
                self.state.borrow_mut().state = MemberState::Failed;
                return;
            }
        }
        let mut state = self.state.borrow_mut();
        if state.start_id == start_id && state.order == order {
            state.loaded = Some((order.model, order.version, order.rank));
            state.state = MemberState::Ready;
        }
    }

    fn run_chat(&self, chat: ChatRequest, request_id: String) -> Reply {
        let kv_tokens = prompt_tokens(&chat) + u64::from(chat.max_tokens);
        let start_offset = chat.resume.as_ref().map_or(0, |resume| resume.offset);
        let triggers_crash =
            chat.messages.iter().any(|message| message.content.contains(CRASH_TRIGGER_TEXT));
        {
            let mut state = self.state.borrow_mut();
            let is_leader = state.state == MemberState::Ready && state.order.rank == 0;
            if !is_leader || state.order.model != chat.model {
                return empty_reply(503);
            }
            let resume_text =
                chat.resume.as_ref().map_or("", |resume| resume.text.as_str()).to_owned();
            if !resume_text.is_empty() && resume_text != answer_prefix(&chat, start_offset) {
                state.resume_mismatches += 1;
            }
            let run = EngineRun {
                request_id,
                group: state.order.group.clone(),
                generation: state.order.generation,
                start_offset,
                received_at: Instant::now(),
            };
            state.runs.push(run);
            state.running += 1;
            state.kv_used += kv_tokens;
            state.peak_running = state.peak_running.max(state.running);
            state.peak_kv_tokens = state.peak_kv_tokens.max(state.kv_used);
            state.warm_up_started.get_or_insert_with(Instant::now);
            state.record_load();
        }
        let exceeds_limit = {
            let state = self.state.borrow();
            let limit = if self.is_warm(&state) {
                self.options.warm_limit
            } else {
                self.options.cold_limit
            };
            state.running > limit || state.kv_used > self.options.kv_tokens
        };
        if exceeds_limit || triggers_crash {
            self.crash();
            return None;
        }
        let (frames, receiver) = mpsc::channel(STREAM_QUEUE_FRAMES);
        let engine = self.clone();
        let start_id = self.state.borrow().start_id.clone();
        let body = StreamBody::new(receiver);
        compio::runtime::spawn(async move {
            engine.generate(&chat, start_offset, frames, &start_id).await;
            let mut state = engine.state.borrow_mut();
            if state.start_id == start_id {
                state.running = state.running.saturating_sub(1);
                state.kv_used = state.kv_used.saturating_sub(kv_tokens);
                state.record_load();
            }
        })
        .detach();
        Response::builder()
            .header("content-type", "text/event-stream")
            .header("x-engine-start", &*self.state.borrow().start_id)
            .body(http_body_util::Either::Right(body))
            .ok()
    }

    async fn generate(
        &self,
        chat: &ChatRequest,
        start_offset: u64,
        mut frames: mpsc::Sender<io::Result<Frame<Bytes>>>,
        start_id: &StartId,
    ) {
        compio::time::sleep(self.options.first_token_delay * self.slowdown.get()).await;
        let total = u64::from(chat.max_tokens);
        let fault = self.state.borrow_mut().stream_faults.pop_front();
        let padding = self.options.event_padding_bytes;
        let token_event = |offset| {
            let token = answer_token(chat, offset);
            Ok(Frame::data(chunk_event(chat, offset, Some(&token), padding)))
        };
        for offset in start_offset..total {
            if offset > start_offset {
                compio::time::sleep(self.options.token_interval * self.slowdown.get()).await;
            }
            self.wait_while_paused().await;
            if !self.is_serving(start_id) {
                let _ = frames
                    .send(Err(io::Error::other("the engine is not ready or was restarted")))
                    .await;
                return;
            }
            let events = match fault {
                Some(StreamFault::InterruptAt(at)) if at == offset => {
                    let _ = frames
                        .send(Err(io::Error::other("interrupted by an injected fault")))
                        .await;
                    return;
                }
                Some(StreamFault::DoneAt(at)) if at == offset => {
                    let _ = frames.send(Ok(Frame::data(DONE_EVENT))).await;
                    return;
                }
                Some(StreamFault::StallAt(at)) if at == offset => {
                    while !frames.is_closed() {
                        compio::time::sleep(Duration::from_millis(5)).await;
                    }
                    return;
                }
                Some(StreamFault::RepeatAt(at)) if at == offset => {
                    vec![token_event(offset), token_event(offset), token_event(start_offset)]
                }
                Some(StreamFault::SkipAt(at)) if at == offset => Vec::new(),
                Some(StreamFault::ReorderAt(at)) if at == offset => Vec::new(),
                Some(StreamFault::ReorderAt(at)) if at + 1 == offset => {
                    vec![token_event(offset), token_event(at)]
                }
                _ => vec![token_event(offset)],
            };
            for event in events {
                // The caller closed the connection, which cancels the stream.
                if frames.send(event).await.is_err() {
                    return;
                }
                self.state.borrow_mut().sent_tokens += 1;
            }
        }
        let end = [chunk_event(chat, total, None, 0), DONE_EVENT];
        for frame in end {
            let _ = frames.send(Ok(Frame::data(frame))).await;
        }
    }

    fn is_serving(&self, start_id: &StartId) -> bool {
        let state = self.state.borrow();
        state.start_id == *start_id && state.state == MemberState::Ready
    }

    fn is_warm(&self, state: &EngineState) -> bool {
        state.warm_up_started.is_some_and(|since| since.elapsed() >= self.options.warm_up_time)
    }

    fn is_down(&self) -> bool {
        let mut state = self.state.borrow_mut();
        match state.down_until {
            Some(until) if Instant::now() < until => true,
            Some(_) => {
                state.down_until = None;
                false
            }
            None => false,
        }
    }

    async fn wait_while_paused(&self) {
        while self.state.borrow().is_paused {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn stop_until(&self, until: Instant) {
        let mut state = self.state.borrow_mut();
        state.start_id = new_start_id();
        state.state = MemberState::Idle;
        state.order = GroupOrder::default();
        state.loaded = None;
        state.running = 0;
        state.kv_used = 0;
        state.warm_up_started = None;
        state.load_history.clear();
        state.down_until = Some(until);
        state.fencing = 0;
        state.crashes += 1;
    }

    /// Checks the other members periodically while this member has rank 0 of a ready group. If one of
    /// them is lost, this member fails, because a group can't run with a missing member.
    async fn check_members(&self) {
        let Ok(client) = cyper::Client::new() else { return };
        loop {
            compio::time::sleep(self.options.member_check_interval).await;
            let (order, is_leader) = {
                let state = self.state.borrow();
                let is_leader = state.state == MemberState::Ready && state.order.rank == 0;
                (state.order.clone(), is_leader)
            };
            if !is_leader {
                continue;
            }
            for address in order.member_addresses.iter().skip(1) {
                if !is_member_present(&client, address, &order).await {
                    let mut state = self.state.borrow_mut();
                    if state.order == order {
                        state.state = MemberState::Failed;
                    }
                    break;
                }
            }
        }
    }
}

impl EngineState {
    /// Adds the current load, that is, running requests and KV tokens in use, to the history.
    fn record_load(&mut self) {
        const HISTORY_LEN: usize = 1024;
        let (running, kv_used) = (self.running, self.kv_used);
        self.load_history.push_back((Instant::now(), running, kv_used));
        if self.load_history.len() > HISTORY_LEN {
            self.load_history.pop_front();
        }
    }
}

/// Whether the member at `address` is reachable and still belongs to the group. A member that is
/// loading counts as present.
async fn is_member_present(client: &cyper::Client, address: &str, order: &GroupOrder) -> bool {
    const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
    let exchange = async {
        let builder = client.get(format!("http://{address}/status")).ok()?;
        builder.send().await.ok()?.json::<EngineStatus>().await.ok()
    };
    match compio::time::timeout(CHECK_TIMEOUT, exchange).await {
        Ok(Some(status)) => status.group == order.group && status.generation == order.generation,
        _ => false,
    }
}

/// Token at `offset` of the text that an engine generates for `chat`.
pub fn answer_token(chat: &ChatRequest, offset: u64) -> String {
    let mut hasher = Sha256::new();
    hasher.update(&chat.model);
    for message in &chat.messages {
        hasher.update(&message.content);
    }
    hasher.update(chat.seed.to_be_bytes());
    hasher.update(offset.to_be_bytes());
    let digest = hasher.finalize();
    format!(" w{:02x}{:02x}", digest[0], digest[1])
}

/// Complete text that an engine generates for `chat`.
pub fn answer_text(chat: &ChatRequest) -> String {
    answer_prefix(chat, u64::from(chat.max_tokens))
}

fn answer_prefix(chat: &ChatRequest, end: u64) -> String {
    (0..end).map(|offset| answer_token(chat, offset)).collect()
}

/// Estimated number of prompt tokens, at four bytes for each token.
fn prompt_tokens(chat: &ChatRequest) -> u64 {
    let bytes: usize = chat.messages.iter().map(|message| message.content.len()).sum();
    (bytes as u64).div_ceil(4)
}

fn chunk_event(chat: &ChatRequest, offset: u64, token: Option<&str>, padding: usize) -> Bytes {
    let (delta, finish_reason) = match token {
        Some(token) => (json!({ "content": token }), Value::Null),
        None => (json!({}), json!("stop")),
    };
    let sent_unix_us = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
    let mut chunk = json!({
        "object": "chat.completion.chunk",
        // Measurements compute the delay of each token from this time.
        "sent_unix_us": u64::try_from(sent_unix_us).unwrap_or(0),
        "model": chat.model,
        "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
    });
    if padding > 0 {
        chunk["padding"] = "x".repeat(padding).into();
    }
    Bytes::from(format!("id: {offset}\ndata: {chunk}\n\n"))
}
