//! Stand-in for one member of a model engine that spans several VMs.
//!
//! A member takes orders, loads weights, reports its status and, with rank 0 of a whole group,
//! answers chat completions. Answers are a function of the request, so that a test can compute what
//! every answer must be.

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

/// Requests with this text crash the engine that runs them.
const POISON_TEXT: &str = "CRASH_ENGINE";
const DONE_EVENT: Bytes = Bytes::from_static(b"data: [DONE]\n\n");
/// Frames that wait for a slow reader before the engine stops generating.
const STREAM_QUEUE_FRAMES: usize = 4;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Id of the VM in the register.
    pub vm: String,
    /// Whether orders with an old fencing number are refused.
    pub honours_fencing: bool,
    /// Token that orders must present; `None` accepts orders from anyone.
    pub order_token: Option<String>,
    /// Base URL of the weight store; `None` loads at once.
    pub weights_url: Option<String>,
    /// Time from a request to its first token, when warm and not overloaded.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Requests that a cold engine bears; one more and it crashes.
    pub cold_limit: u32,
    /// Requests that a warm engine bears.
    pub warm_limit: u32,
    /// Time under load until a cold engine is warm.
    pub warm_after: Duration,
    /// Tokens that fit into the KV cache; more and the engine crashes.
    pub kv_tokens: u64,
    /// Age of the load figures in the status.
    pub load_lag: Duration,
    /// Time from a crash until the process answers again.
    pub restart_time: Duration,
    /// How often rank 0 checks the other members.
    pub member_check: Duration,
    /// Bytes added to each event of a stream, so that the buffers of the kernel are full sooner.
    pub event_padding: usize,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            vm: String::new(),
            honours_fencing: true,
            order_token: None,
            weights_url: None,
            first_token: Duration::from_millis(20),
            token_interval: Duration::from_millis(5),
            cold_limit: u32::MAX,
            warm_limit: u32::MAX,
            warm_after: Duration::ZERO,
            kv_tokens: u64::MAX,
            load_lag: Duration::ZERO,
            restart_time: Duration::from_millis(500),
            member_check: Duration::from_millis(100),
            event_padding: 0,
        }
    }
}

impl EngineOptions {
    /// Options of the engine on `vm`.
    pub fn new(vm: impl Into<String>) -> Self {
        Self { vm: vm.into(), ..Self::default() }
    }
}

/// A fault in one stream. The number is the token offset at which it happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// The connection is cut before the token.
    CutAt(u64),
    /// The stream claims to be whole before the token.
    DoneAt(u64),
    /// The token is sent again, and the first token of the stream with it.
    RepeatAt(u64),
    /// The token is left out.
    SkipAt(u64),
    /// The token is sent after the one that follows it.
    LateAt(u64),
    /// Nothing is sent any more, and the connection stays open.
    StallAt(u64),
}

/// One request that an engine began to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRun {
    /// Request id.
    pub request_id: String,
    /// Group that the engine belonged to.
    pub group: String,
    /// Generation of the group.
    pub generation: u64,
    /// First token offset.
    pub from_offset: u64,
    /// When the request arrived.
    pub at: Instant,
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
    fn name(&self) -> &'static str {
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
    /// Model, version and rank whose weights are loaded.
    loaded: Option<(String, String, u32)>,
    fencing: u64,
    running: u32,
    peak_running: u32,
    kv_used: u64,
    peak_kv: u64,
    warm_since: Option<Instant>,
    /// Load figures with the time they were true, oldest first.
    load_history: VecDeque<(Instant, u32, u64)>,
    dead_until: Option<Instant>,
    is_paused: bool,
    crashes: u32,
    runs: Vec<EngineRun>,
    /// Orders that were accepted, oldest first.
    orders: Vec<GroupOrder>,
    resume_faults: u32,
    stream_faults: VecDeque<StreamFault>,
}

/// One member of an engine, in memory. Clones share the state.
#[derive(Clone)]
pub struct EngineFake {
    options: Rc<EngineOptions>,
    state: Rc<RefCell<EngineState>>,
    slowdown: Rc<Cell<u32>>,
}

impl EngineFake {
    /// An idle engine.
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
            peak_kv: 0,
            warm_since: None,
            load_history: VecDeque::new(),
            dead_until: None,
            is_paused: false,
            crashes: 0,
            runs: Vec::new(),
            orders: Vec::new(),
            resume_faults: 0,
            stream_faults: VecDeque::new(),
        };
        Self {
            options: Rc::new(options),
            state: Rc::new(RefCell::new(state)),
            slowdown: Rc::new(Cell::new(1)),
        }
    }

    /// Requests that the engine began to run.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.state.borrow().runs.clone()
    }

    /// Orders that the engine accepted, oldest first; a repeated order counts again.
    pub fn orders(&self) -> Vec<GroupOrder> {
        self.state.borrow().orders.clone()
    }

    /// Most requests that ran at once.
    pub fn peak_running(&self) -> u32 {
        self.state.borrow().peak_running
    }

    /// Most KV tokens that were in use at once.
    pub fn peak_kv(&self) -> u64 {
        self.state.borrow().peak_kv
    }

    /// How often the engine crashed.
    pub fn crashes(&self) -> u32 {
        self.state.borrow().crashes
    }

    /// Resumes whose delivered text was not what the engine had generated.
    pub fn resume_faults(&self) -> u32 {
        self.state.borrow().resume_faults
    }

    /// Crashes: cuts all streams, forgets group and weights, and answers again after the restart
    /// time with a new start identity.
    pub fn crash(&self) {
        self.die_until(Instant::now() + self.options.restart_time);
    }

    /// Dies for good.
    pub fn kill(&self) {
        self.die_until(Instant::now() + Duration::from_secs(365 * 24 * 60 * 60));
    }

    /// Stops answering and generating until [`EngineFake::unpause`].
    pub fn pause(&self) {
        self.state.borrow_mut().is_paused = true;
    }

    /// Goes on after [`EngineFake::pause`].
    pub fn unpause(&self) {
        self.state.borrow_mut().is_paused = false;
    }

    /// Makes the member a straggler: every token takes `factor` times as long.
    pub fn slow_down(&self, factor: u32) {
        self.slowdown.set(factor.max(1));
    }

    /// Puts a fault into the next stream that has none yet.
    pub fn fail_stream(&self, fault: StreamFault) {
        self.state.borrow_mut().stream_faults.push_back(fault);
    }

    /// Faults that no stream has met yet.
    pub fn faults_left(&self) -> usize {
        self.state.borrow().stream_faults.len()
    }

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        self.state.borrow().running
    }

    /// Turns the engine cold without a new start identity.
    pub fn turn_cold(&self) {
        self.state.borrow_mut().warm_since = None;
    }

    /// Serves orders, status and completions on `listen`.
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
            async move { engine.answer(request).await }
        })
        .await
    }

    /// What the engine says of itself.
    pub fn status(&self) -> EngineStatus {
        let state = self.state.borrow();
        let horizon = Instant::now().checked_sub(self.options.load_lag);
        let (at, running, kv_used) = state
            .load_history
            .iter()
            .rev()
            .find(|(at, _, _)| horizon.is_none_or(|horizon| *at <= horizon))
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
            state: state.state.name().to_owned(),
            fencing: state.fencing,
            running,
            waiting: 0,
            kv_tokens_used: kv_used,
            load_age_ms: u64::try_from(load_age.as_millis()).unwrap_or(u64::MAX),
            model: state.order.model.clone(),
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Reply {
        if self.is_dead() {
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
            "/order" => self.take_order(&body, header("authorization")),
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
                    .map(|run| json!({ "id": run.request_id, "from": run.from_offset }))
                    .collect();
                json_reply(200, &json!({ "runs": runs, "peak": state.peak_running }))
            }
            _ => empty_reply(404),
        }
    }

    fn set_faults(&self, value: &Value) {
        if let Some(factor) = value["slowdown"].as_u64().and_then(|value| value.try_into().ok()) {
            self.slow_down(factor);
        }
        match value["action"].as_str() {
            Some("crash") => self.crash(),
            Some("kill") => self.kill(),
            Some("cold") => self.turn_cold(),
            _ => {}
        }
    }

    fn take_order(&self, body: &[u8], authorization: Option<String>) -> Reply {
        let presented = authorization.as_deref().and_then(|value| value.strip_prefix("Bearer "));
        if self.options.order_token.is_some() && self.options.order_token.as_deref() != presented {
            return empty_reply(401);
        }
        let order: GroupOrder = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(_) => return empty_reply(400),
        };
        let mut state = self.state.borrow_mut();
        if self.options.honours_fencing && order.fencing < state.fencing {
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
            state.warm_since = None;
            let order = state.order.clone();
            let start_id = state.start_id.clone();
            let engine = self.clone();
            compio::runtime::spawn(async move { engine.load(order, start_id).await }).detach();
        }
        empty_reply(200)
    }

    async fn load(&self, order: GroupOrder, start_id: StartId) {
        if let Some(url) = &self.options.weights_url {
            let client = cyper::Client::new().ok();
            let url = format!("{url}/?bytes={}", order.weights_bytes);
            let request = client.and_then(|client| client.get(url).ok());
            let Some(request) = request else { return };
            let is_done = match request.send().await {
                Ok(response) => response.bytes().await.is_ok(),
                Err(_) => false,
            };
            if !is_done {
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
        let kv_need = prompt_tokens(&chat) + u64::from(chat.max_tokens);
        let from_offset = chat.resume.as_ref().map_or(0, |resume| resume.offset);
        let is_poison = chat.messages.iter().any(|message| message.content.contains(POISON_TEXT));
        {
            let mut state = self.state.borrow_mut();
            let is_leader = state.state == MemberState::Ready && state.order.rank == 0;
            if !is_leader || state.order.model != chat.model {
                return empty_reply(503);
            }
            let resume_text =
                chat.resume.as_ref().map_or("", |resume| resume.text.as_str()).to_owned();
            if !resume_text.is_empty() && resume_text != answer_prefix(&chat, from_offset) {
                state.resume_faults += 1;
            }
            let run = EngineRun {
                request_id,
                group: state.order.group.clone(),
                generation: state.order.generation,
                from_offset,
                at: Instant::now(),
            };
            state.runs.push(run);
            state.running += 1;
            state.kv_used += kv_need;
            state.peak_running = state.peak_running.max(state.running);
            state.peak_kv = state.peak_kv.max(state.kv_used);
            state.warm_since.get_or_insert_with(Instant::now);
            state.note_load();
        }
        let is_over = {
            let state = self.state.borrow();
            let limit = if self.is_warm(&state) {
                self.options.warm_limit
            } else {
                self.options.cold_limit
            };
            state.running > limit || state.kv_used > self.options.kv_tokens
        };
        if is_over || is_poison {
            self.crash();
            return None;
        }
        let (frames, receiver) = mpsc::channel(STREAM_QUEUE_FRAMES);
        let engine = self.clone();
        let start_id = self.state.borrow().start_id.clone();
        let body = StreamBody::new(receiver);
        compio::runtime::spawn(async move {
            engine.generate(&chat, from_offset, frames, &start_id).await;
            let mut state = engine.state.borrow_mut();
            if state.start_id == start_id {
                state.running = state.running.saturating_sub(1);
                state.kv_used = state.kv_used.saturating_sub(kv_need);
                state.note_load();
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
        from_offset: u64,
        mut frames: mpsc::Sender<io::Result<Frame<Bytes>>>,
        start_id: &StartId,
    ) {
        compio::time::sleep(self.options.first_token * self.slowdown.get()).await;
        let total = u64::from(chat.max_tokens);
        let fault = self.state.borrow_mut().stream_faults.pop_front();
        let padding = self.options.event_padding;
        let token_event = |offset| {
            let token = answer_token(chat, offset);
            Ok(Frame::data(chunk_event(chat, offset, Some(&token), padding)))
        };
        for offset in from_offset..total {
            if offset > from_offset {
                compio::time::sleep(self.options.token_interval * self.slowdown.get()).await;
            }
            self.wait_while_paused().await;
            if !self.is_serving(start_id) {
                let _ = frames.send(Err(io::Error::other("engine lost a member"))).await;
                return;
            }
            let events = match fault {
                Some(StreamFault::CutAt(at)) if at == offset => {
                    let _ = frames.send(Err(io::Error::other("cut by a fault"))).await;
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
                    vec![token_event(offset), token_event(offset), token_event(from_offset)]
                }
                Some(StreamFault::SkipAt(at)) if at == offset => Vec::new(),
                Some(StreamFault::LateAt(at)) if at == offset => Vec::new(),
                Some(StreamFault::LateAt(at)) if at + 1 == offset => {
                    vec![token_event(offset), token_event(at)]
                }
                _ => vec![token_event(offset)],
            };
            for event in events {
                // A caller that is gone cancels the stream.
                if frames.send(event).await.is_err() {
                    return;
                }
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
        state.warm_since.is_some_and(|since| since.elapsed() >= self.options.warm_after)
    }

    fn is_dead(&self) -> bool {
        let mut state = self.state.borrow_mut();
        match state.dead_until {
            Some(until) if Instant::now() < until => true,
            Some(_) => {
                state.dead_until = None;
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

    fn die_until(&self, until: Instant) {
        let mut state = self.state.borrow_mut();
        state.start_id = new_start_id();
        state.state = MemberState::Idle;
        state.order = GroupOrder::default();
        state.loaded = None;
        state.running = 0;
        state.kv_used = 0;
        state.warm_since = None;
        state.load_history.clear();
        state.dead_until = Some(until);
        state.fencing = 0;
        state.crashes += 1;
    }

    /// Losing any member kills the replica: rank 0 fails when another member is lost.
    async fn check_members(&self) {
        let Ok(client) = cyper::Client::new() else { return };
        loop {
            compio::time::sleep(self.options.member_check).await;
            let (order, is_leader) = {
                let state = self.state.borrow();
                let is_leader = state.state == MemberState::Ready && state.order.rank == 0;
                (state.order.clone(), is_leader)
            };
            if !is_leader {
                continue;
            }
            for address in order.member_addresses.iter().skip(1) {
                if !member_belongs(&client, address, &order).await {
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
    fn note_load(&mut self) {
        const HISTORY_LEN: usize = 1024;
        let (running, kv_used) = (self.running, self.kv_used);
        self.load_history.push_back((Instant::now(), running, kv_used));
        if self.load_history.len() > HISTORY_LEN {
            self.load_history.pop_front();
        }
    }
}

/// Whether the member at `address` is reachable and still in the group. A member that is loading
/// counts as present.
async fn member_belongs(client: &cyper::Client, address: &str, order: &GroupOrder) -> bool {
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

/// The token at `offset` of the answer to `chat`.
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

/// The whole answer to `chat`.
pub fn answer_text(chat: &ChatRequest) -> String {
    answer_prefix(chat, u64::from(chat.max_tokens))
}

fn answer_prefix(chat: &ChatRequest, end: u64) -> String {
    (0..end).map(|offset| answer_token(chat, offset)).collect()
}

/// About four bytes make a token.
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
        // Measurements take the delay of each token from it.
        "sent_unix_us": u64::try_from(sent_unix_us).unwrap_or(0),
        "model": chat.model,
        "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
    });
    if padding > 0 {
        chunk["padding"] = "x".repeat(padding).into();
    }
    Bytes::from(format!("id: {offset}\ndata: {chunk}\n\n"))
}
