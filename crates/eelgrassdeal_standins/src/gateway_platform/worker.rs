//! Fake of a worker, a back-end process of a service.
//!
//! Workers of an engine service join groups, each of which runs a model. A worker of a plain
//! service runs requests by itself.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::SinkExt;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response};
use serde_json::{Value, json};

use super::store::MetadataStoreFake;
use crate::server::{Reply, ServerHandle, empty_reply, json_reply, serve_http};

/// Time for which an open worker waits for a lost member of its group before it aborts its
/// requests.
const STALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval at which a waiting worker checks whether all members are back.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time that a join takes, as if the model were already on the host.
const JOIN_DURATION: Duration = Duration::from_millis(60);
/// Time from the first event of a response to the crash that its prompt causes.
const CRASH_DELAY: Duration = Duration::from_millis(40);
/// Time after which a crashed worker is back under a new id, unless its options say otherwise.
const RESTART_DELAY: Duration = Duration::from_secs(3);
/// Time after which the row of a crashed worker expires.
const ROW_EXPIRY: Duration = Duration::from_millis(2_800);

/// Configuration of a fake worker.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// Id of the worker, which is the key of its row in the metadata store.
    pub id: String,
    /// Name of the service that the worker belongs to.
    pub service: String,
    /// Data centre of the worker (`zone` in its row).
    pub data_centre: String,
    /// Fabric domain of a worker of an engine service; `None` for a plain service.
    pub domain: Option<String>,
    /// Number of events in a stream.
    pub event_count: u64,
    /// Interval between two events of a stream; in a plain service, the processing time of a
    /// request.
    pub event_interval: Duration,
    /// Size of a comment that is added to each event of a stream, in bytes.
    pub event_padding: usize,
    /// Id of a prompt part that crashes the worker: shortly after the first event of the response, or
    /// in a plain service in place of the response.
    pub deadly_part: Option<String>,
    /// Time after which the worker is back after a crash. Its row expires no later than that.
    pub restart_delay: Duration,
    /// Number of requests at which the worker turns further ones away, and the time for which it then
    /// wants none; `None` if it accepts all.
    pub turns_away: Option<(u32, Duration)>,
}

impl WorkerOptions {
    /// Options for a worker of a plain service.
    pub fn new(id: &str, service: &str, data_centre: &str) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            data_centre: data_centre.to_owned(),
            domain: None,
            event_count: 5,
            event_interval: Duration::from_millis(10),
            event_padding: 0,
            deadly_part: None,
            restart_delay: RESTART_DELAY,
            turns_away: None,
        }
    }

    /// Makes the worker answer 503 while it runs `limit` requests, with a `Retry-After` of `pause`.
    pub fn with_turning_away(mut self, limit: u32, pause: Duration) -> Self {
        self.turns_away = Some((limit, pause));
        self
    }

    /// Makes the worker crash when it writes a response to a prompt with this part.
    pub fn with_deadly_part(mut self, part: &str) -> Self {
        self.deadly_part = Some(part.to_owned());
        self
    }

    /// Sets the time after which the worker is back after a crash.
    pub fn with_restart_delay(mut self, restart_delay: Duration) -> Self {
        self.restart_delay = restart_delay;
        self
    }

    /// Makes the worker one of an engine service, which can join groups, in a fabric domain.
    pub fn with_domain(mut self, domain: &str) -> Self {
        self.domain = Some(domain.to_owned());
        self
    }

    /// Adds a comment of `bytes` bytes to each event of a stream.
    pub fn with_event_padding(mut self, bytes: usize) -> Self {
        self.event_padding = bytes;
        self
    }

    /// Sets the number of events in a stream and the interval between them.
    pub fn with_events(mut self, event_count: u64, event_interval: Duration) -> Self {
        self.event_count = event_count;
        self.event_interval = event_interval;
        self
    }
}

/// A fault in the response to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerFault {
    /// The request runs and the connection is closed without a response.
    LostResponse,
    /// The request does not run, and the response (503) says so in a header.
    NotExecuted,
    /// Like [`Self::NotExecuted`], and the response asks for no requests for this time.
    TurnedAway(Duration),
    /// The stream is interrupted after this many events, in the middle of the next one.
    InterruptAfter(u64),
    /// The stream ends after this many events, in the middle of the next one, as if it were complete.
    EndInsideEvent(u64),
    /// The response has the id of another request.
    WrongRequestId,
    /// The response has no request id.
    NoRequestId,
    /// After this many events, the stream goes on with comment lines and without events.
    CommentsAfter(u64),
    /// The stream pauses once for this time after this many events, and is complete.
    PauseAfter(u64, Duration),
    /// The response begins after this time, and is complete.
    LateStart(Duration),
    /// The stream starts with an event that never ends, in small pieces.
    EndlessEvent,
    /// The request runs and gets status 500.
    InternalError,
    /// The request runs and gets status 503, without the header for requests that did not run.
    AmbiguousRefusal,
}

impl WorkerFault {
    /// Whether the stream pauses once `count` events are sent.
    fn pauses_before(&self, count: u64) -> bool {
        matches!(self, Self::PauseAfter(events, _) if *events == count)
    }
}

/// A request that a worker started to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerRun {
    /// Id of the worker.
    pub worker: String,
    /// Request id that the gateway assigned.
    pub request_id: String,
    /// Path and query of the request.
    pub path: String,
    /// Body of the request, with invalid UTF-8 replaced.
    pub body: String,
    /// Client account according to the gateway.
    pub client_account: Option<String>,
    /// Whether the request has an `authorization` header, which the gateway must not forward.
    pub has_api_key: bool,
    /// Time left until the deadline, according to the gateway; 0 if the header was missing.
    pub timeout_ms: u64,
    /// Id of the last event that the caller received, if the request resumes a stream.
    pub last_event_id: Option<u64>,
    /// Ids of the parts of the prompt.
    pub prompt_parts: Vec<String>,
    /// When the request started to run.
    pub started_at: Instant,
}

/// A request that reached a worker, whether it ran or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerArrival {
    /// Id of the worker.
    pub worker: String,
    /// Request id that the gateway forwarded.
    pub request_id: String,
    /// When the request arrived.
    pub at: Instant,
    /// Time for which the worker then asked for no requests, if it turned the request away.
    pub pause: Option<Duration>,
    /// Whether the worker had said in an earlier answer that it leaves.
    pub is_after_notice: bool,
    /// Rate limit that the answer names, as it stands in the header.
    pub limit: Option<String>,
}

#[derive(Clone, Debug)]
struct Membership {
    group: String,
    epoch: u64,
    members: Vec<String>,
    state: &'static str,
}

struct WorkerState {
    options: WorkerOptions,
    address: RefCell<String>,
    store: MetadataStoreFake,
    /// All workers of the test, to check whether the other members are running.
    fleet: Rc<RefCell<BTreeMap<String, WorkerFake>>>,
    runs: Rc<RefCell<Vec<WorkerRun>>>,
    is_down: Cell<bool>,
    is_draining: Cell<bool>,
    /// Start time of the process in ms of its own clock.
    started_ms: Cell<u64>,
    /// Number of rows that the process has written.
    sequence: Cell<u64>,
    /// Whether answers say that the worker leaves.
    is_leaving: Cell<bool>,
    /// Whether an answer has said so.
    has_given_notice: Cell<bool>,
    /// Rate limit that all answers to requests name.
    limit: RefCell<Option<String>>,
    arrivals: RefCell<Vec<WorkerArrival>>,
    /// Model whose weights are on the host, after an order to stage or join.
    staged: RefCell<Option<String>>,
    /// Model that the worker has loaded; it stays loaded when the worker leaves its group.
    loaded: RefCell<Option<String>>,
    membership: RefCell<Option<Membership>>,
    highest_epoch: Cell<u64>,
    highest_fencing_token: Cell<u64>,
    faults: RefCell<VecDeque<WorkerFault>>,
    running: Cell<u32>,
    violations: Rc<RefCell<Vec<String>>>,
    server: RefCell<Option<ServerHandle>>,
}

/// A worker that runs in the process of a test. Clones share the state.
#[derive(Clone)]
pub struct WorkerFake(Rc<WorkerState>);

impl WorkerFake {
    /// Starts a worker on a free loopback port and registers it. All workers of a test share `runs`
    /// and `violations`. `runs` records the requests that ran. `violations` records violations of
    /// the group protocol: a worker that joins another group while the head (first member) of its
    /// previous group is open, and a request that starts while a member that is running has not
    /// loaded the model or does not belong to the group.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start(
        options: WorkerOptions,
        store: &MetadataStoreFake,
        fleet: &Rc<RefCell<BTreeMap<String, WorkerFake>>>,
        runs: &Rc<RefCell<Vec<WorkerRun>>>,
        violations: &Rc<RefCell<Vec<String>>>,
    ) -> io::Result<Self> {
        let id = options.id.clone();
        let worker = Self(Rc::new(WorkerState {
            options,
            address: RefCell::default(),
            store: store.clone(),
            fleet: fleet.clone(),
            runs: runs.clone(),
            is_down: Cell::default(),
            is_draining: Cell::default(),
            started_ms: Cell::new(1),
            sequence: Cell::default(),
            is_leaving: Cell::default(),
            has_given_notice: Cell::default(),
            limit: RefCell::default(),
            arrivals: RefCell::default(),
            staged: RefCell::default(),
            loaded: RefCell::default(),
            membership: RefCell::default(),
            highest_epoch: Cell::default(),
            highest_fencing_token: Cell::default(),
            faults: RefCell::default(),
            running: Cell::default(),
            violations: violations.clone(),
            server: RefCell::default(),
        }));
        let serving = worker.clone();
        let handle = serve_http(SocketAddr::from(([127, 0, 0, 1], 0)), move |request| {
            let worker = serving.clone();
            async move { worker.handle(request).await }
        })
        .await?;
        *worker.0.address.borrow_mut() = handle.address().to_string();
        *worker.0.server.borrow_mut() = Some(handle);
        fleet.borrow_mut().insert(id, worker.clone());
        worker.register();
        Ok(worker)
    }

    /// Id of the worker.
    pub fn id(&self) -> &str {
        &self.0.options.id
    }

    /// Whether the worker's process runs.
    pub fn is_running(&self) -> bool {
        !self.0.is_down.get()
    }

    /// Queues a fault; each request that the worker accepts takes one fault from the queue.
    pub fn push_fault(&self, fault: WorkerFault) {
        self.0.faults.borrow_mut().push_back(fault);
    }

    /// Removes the faults that no request has taken.
    pub fn clear_faults(&self) {
        self.0.faults.borrow_mut().clear();
    }

    /// Number of requests that are running.
    pub fn running(&self) -> u32 {
        self.0.running.get()
    }

    /// State of the worker in its group: `joining` while it loads the model, `ready` when it has
    /// loaded it but rejects requests, or `open` when it accepts requests; `None` without a group.
    pub fn group_state(&self) -> Option<&'static str> {
        self.0.membership.borrow().as_ref().map(|membership| membership.state)
    }

    /// Stops all responses permanently. The worker's row remains in the metadata store.
    pub fn kill(&self) {
        self.0.is_down.set(true);
        if let Some(server) = self.0.server.borrow_mut().as_mut() {
            server.stop_accepting();
        }
    }

    /// Ends the worker's process: its connections are closed, new ones are refused, its row expires
    /// a little later, and then a worker with a new id starts in its place. Does nothing if the
    /// worker is down.
    pub async fn crash(&self) {
        if self.0.is_down.replace(true) {
            return;
        }
        if let Some(server) = self.0.server.borrow_mut().as_mut() {
            server.crash();
        }
        let state = &self.0;
        let restart_delay = state.options.restart_delay;
        let row_expiry = ROW_EXPIRY.min(restart_delay);
        compio::time::sleep(row_expiry).await;
        self.remove_registration();
        compio::time::sleep(restart_delay - row_expiry).await;
        let options = WorkerOptions { id: format!("{}b", self.id()), ..state.options.clone() };
        let restarted =
            Self::start(options, &state.store, &state.fleet, &state.runs, &state.violations).await;
        if let Ok(worker) = restarted {
            // The host keeps the weights.
            *worker.0.staged.borrow_mut() = state.staged.borrow().clone();
            worker.register();
        }
    }

    /// Removes the worker's row from the metadata store, as after the loss of the worker.
    pub fn remove_registration(&self) {
        self.0.store.remove("servers", self.id());
    }

    /// Announces that the worker is leaving, by the state `draining` in its row.
    pub fn drain(&self) {
        self.0.is_draining.set(true);
        self.register();
    }

    /// Says in all further answers that the worker leaves. Its row doesn't change.
    pub fn leave(&self) {
        self.0.is_leaving.set(true);
    }

    /// Names a rate limit in all further answers to requests, in requests per second; `None` ends it.
    pub fn name_limit(&self, limit: Option<&str>) {
        *self.0.limit.borrow_mut() = limit.map(str::to_owned);
    }

    /// Starts a new process under the same id and address, which knows nothing of before.
    pub fn restart(&self) {
        let state = &self.0;
        state.started_ms.set(state.started_ms.get() + 1);
        state.sequence.set(0);
        state.is_leaving.set(false);
        state.has_given_notice.set(false);
        *state.limit.borrow_mut() = None;
        *state.membership.borrow_mut() = None;
        *state.loaded.borrow_mut() = None;
        self.register();
    }

    /// Number of faults that have not occurred yet.
    pub fn pending_faults(&self) -> usize {
        self.0.faults.borrow().len()
    }

    /// Requests that have reached the worker, in their order.
    pub fn arrivals(&self) -> Vec<WorkerArrival> {
        self.0.arrivals.borrow().clone()
    }

    /// Writes the worker's row to the metadata store.
    pub fn register(&self) {
        let state = &self.0;
        let group = state.membership.borrow().as_ref().map(|membership| {
            json!({ "name": membership.group, "epoch": membership.epoch, "state": membership.state })
        });
        let models: Vec<Value> =
            state.loaded.borrow().iter().map(|model| json!({ "name": model })).collect();
        // `cold_left_ms` is the time until the worker is warm, and constant here. `seq` counts the rows
        // that the process has written. `born` is the start time of the process.
        state.sequence.set(state.sequence.get() + 1);
        let mut row = json!({
            "service": state.options.service,
            "address": *state.address.borrow(),
            "zone": state.options.data_centre,
            "version": "v1",
            "slots": 8,
            "state": if state.is_draining.get() { "draining" } else { "ready" },
            "cold_left_ms": 0,
            "seq": state.sequence.get(),
            "born": state.started_ms.get(),
        });
        if let Some(domain) = &state.options.domain {
            row["domain"] = json!(domain);
            row["models"] = json!(models);
            row["staged"] = json!(state.staged.borrow().iter().collect::<Vec<_>>());
        }
        if let Some(group) = group {
            row["group"] = group;
        }
        state.store.put("servers", self.id(), row.to_string().as_bytes());
    }

    async fn handle(&self, request: Request<Incoming>) -> Reply {
        let mut reply = self.answer(request).await?;
        if self.0.is_leaving.get() {
            reply.headers_mut().insert("server-leaving", HeaderValue::from_static("1"));
            self.0.has_given_notice.set(true);
        }
        Some(reply)
    }

    async fn answer(&self, request: Request<Incoming>) -> Reply {
        if self.0.is_down.get() {
            // A VM that failed neither responds nor closes its connections.
            std::future::pending::<()>().await;
        }
        let headers = request.headers().clone();
        let expected = header_text(&headers, "x-eelgrassdeal-expect-instance");
        if expected.as_deref().is_some_and(|id| id != self.id()) {
            return empty_reply(421);
        }
        match request.uri().path() {
            "/report" => json_reply(200, &json!({ "queued": 0, "active": self.running() })),
            "/order" => {
                let body = request.into_body().collect().await.ok()?.to_bytes();
                let order = serde_json::from_slice(&body).ok()?;
                empty_reply(self.execute_order(&order))
            }
            _ => {
                let mut reply = self.run(request, headers).await?;
                if let Some(limit) = self.0.limit.borrow().as_deref() {
                    let limit = HeaderValue::from_str(limit).ok()?;
                    reply.headers_mut().insert("server-limit", limit);
                }
                Some(reply)
            }
        }
    }

    fn execute_order(&self, order: &Value) -> u16 {
        let state = &self.0;
        let fencing_token = order["fencing_token"].as_u64().unwrap_or(0);
        if fencing_token < state.highest_fencing_token.get() {
            return 412;
        }
        state.highest_fencing_token.set(fencing_token);
        let group = order["group"].as_str().unwrap_or_default().to_owned();
        let epoch = order["epoch"].as_u64().unwrap_or(0);
        let model = order["model"].as_str().unwrap_or_default().to_owned();
        let is_member = state
            .membership
            .borrow()
            .as_ref()
            .is_some_and(|current| current.group == group && current.epoch == epoch);
        match (order["operation"].as_str().unwrap_or_default(), is_member) {
            ("join", _) => self.join(group, epoch, model, order),
            ("stage", _) => {
                *state.staged.borrow_mut() = Some(model);
                self.register();
                202
            }
            ("open", true) if self.group_state() == Some("ready") => self.set_group_state("open"),
            ("close", true) => self.set_group_state("ready"),
            ("leave", true) if self.group_state() == Some("open") => 409,
            ("leave", true) => {
                *state.membership.borrow_mut() = None;
                self.register();
                200
            }
            ("open" | "close" | "leave", _) => 409,
            _ => 400,
        }
    }

    fn join(&self, group: String, epoch: u64, model: String, order: &Value) -> u16 {
        let state = &self.0;
        if epoch < state.highest_epoch.get() {
            return 412;
        }
        self.check_join(&group);
        state.highest_epoch.set(epoch);
        let members = order["members"].as_array().cloned().unwrap_or_default();
        let members = members.iter().filter_map(|id| id.as_str().map(str::to_owned)).collect();
        let membership = Membership { group: group.clone(), epoch, members, state: "joining" };
        *state.membership.borrow_mut() = Some(membership);
        self.register();
        let worker = self.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(JOIN_DURATION).await;
            *worker.0.staged.borrow_mut() = Some(model.clone());
            *worker.0.loaded.borrow_mut() = Some(model);
            let is_current = worker
                .0
                .membership
                .borrow()
                .as_ref()
                .is_some_and(|current| current.group == group && current.epoch == epoch);
            if is_current && !worker.0.is_down.get() {
                worker.set_group_state("ready");
            }
        })
        .detach();
        202
    }

    /// Records a violation if this worker joins another group while the head of its previous group,
    /// that is, its first member, is open.
    fn check_join(&self, group: &str) {
        let Some(previous) = self.0.membership.borrow().clone() else { return };
        let head = previous.members.first().cloned().unwrap_or_default();
        let is_open = self.0.fleet.borrow().get(&head).is_some_and(|head| {
            let current = head.0.membership.borrow();
            let is_same = current.as_ref().is_some_and(|current| current.group == previous.group);
            !head.0.is_down.get() && is_same && head.state_in(&current) == Some("open")
        });
        if previous.group != group && is_open {
            let text = format!("{} joins {group} while {head} is open", self.id());
            self.0.violations.borrow_mut().push(text);
        }
    }

    /// State of a worker in its group according to `membership`; `None` without a group.
    fn state_in(&self, membership: &Option<Membership>) -> Option<&'static str> {
        membership.as_ref().map(|membership| membership.state)
    }

    fn set_group_state(&self, state: &'static str) -> u16 {
        if let Some(membership) = self.0.membership.borrow_mut().as_mut() {
            membership.state = state;
        }
        self.register();
        200
    }

    async fn run(&self, request: Request<Incoming>, headers: HeaderMap) -> Reply {
        let state = &self.0;
        if state.options.domain.is_some() && self.group_state() != Some("open") {
            return empty_reply(421);
        }
        self.check_complete();
        let path = request.uri().path_and_query().map_or("", |path| path.as_str()).to_owned();
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let fault = state.faults.borrow_mut().pop_front();
        let request_id = header_text(&headers, "x-eelgrassdeal-request-id").unwrap_or_default();
        let pause = match (fault, state.options.turns_away) {
            (Some(WorkerFault::TurnedAway(pause)), _) => Some(pause),
            (_, Some((limit, pause))) if self.running() >= limit => Some(pause),
            _ => None,
        };
        state.arrivals.borrow_mut().push(WorkerArrival {
            worker: self.id().to_owned(),
            request_id: request_id.clone(),
            at: Instant::now(),
            pause,
            is_after_notice: state.has_given_notice.get(),
            limit: state.limit.borrow().clone(),
        });
        if fault == Some(WorkerFault::NotExecuted) || pause.is_some() {
            let mut rejection = Response::builder()
                .status(503)
                .header("x-eelgrassdeal-not-executed", "1")
                .header("x-eelgrassdeal-request-id", request_id);
            if let Some(pause) = pause {
                rejection = rejection.header("retry-after", pause.as_secs_f64().to_string());
            }
            return rejection.body(http_body_util::Either::Left(Full::new(Bytes::new()))).ok();
        }
        let number = |name: &str| header_text(&headers, name).and_then(|value| value.parse().ok());
        let last_event_id = number("last-event-id");
        let prompt = header_text(&headers, "x-eelgrassdeal-prompt-prefix").unwrap_or_default();
        let part_id = |part: &str| part.split(':').next().unwrap_or_default().to_owned();
        let prompt_parts: Vec<_> = prompt.split(',').map(part_id).collect();
        let is_deadly =
            state.options.deadly_part.as_ref().is_some_and(|part| prompt_parts.contains(part));
        state.runs.borrow_mut().push(WorkerRun {
            worker: self.id().to_owned(),
            request_id: request_id.clone(),
            path,
            body: String::from_utf8_lossy(&body).into_owned(),
            client_account: header_text(&headers, "x-eelgrassdeal-tenant"),
            has_api_key: headers.contains_key("authorization"),
            timeout_ms: number("x-eelgrassdeal-deadline-ms").unwrap_or(0),
            last_event_id,
            prompt_parts,
            started_at: Instant::now(),
        });
        let response_id = match fault {
            Some(WorkerFault::WrongRequestId) => "another".to_owned(),
            _ => request_id,
        };
        // The seal is the worker's signature. The gateway accepts a successful response only with
        // this header and forwards it, but does not check its value.
        let mut builder = Response::builder();
        if fault != Some(WorkerFault::NoRequestId) {
            builder = builder.header("x-eelgrassdeal-request-id", response_id);
        }
        let builder = builder.header("x-eelgrassdeal-response-seal", format!("seal-{}", self.id()));
        let running = RunGuard::new(self);
        if let Some(WorkerFault::LateStart(delay)) = fault {
            compio::time::sleep(delay).await;
        }
        match (fault, state.options.domain.is_some()) {
            (Some(WorkerFault::LostResponse), _) => {
                compio::time::sleep(state.options.event_interval).await;
                None
            }
            (Some(WorkerFault::InternalError), _) => {
                let body = http_body_util::Either::Left(Full::new(Bytes::from("failed")));
                builder.status(500).body(body).ok()
            }
            (Some(WorkerFault::AmbiguousRefusal), _) => {
                let body = http_body_util::Either::Left(Full::new(Bytes::from("later")));
                builder.status(503).body(body).ok()
            }
            (_, false) if is_deadly => {
                compio::time::sleep(state.options.event_interval).await;
                let worker = self.clone();
                compio::runtime::spawn(async move { worker.crash().await }).detach();
                None
            }
            (_, false) => {
                compio::time::sleep(state.options.event_interval).await;
                let body = http_body_util::Either::Left(Full::new(Bytes::from("plain answer")));
                builder.status(200).body(body).ok()
            }
            (fault, true) => {
                let (sender, receiver) = mpsc::channel(0);
                let worker = self.clone();
                let first_id = last_event_id.map_or(1, |id: u64| id + 1);
                compio::runtime::spawn(async move {
                    let _running = running;
                    worker.write_events(sender, first_id, fault).await;
                })
                .detach();
                if is_deadly {
                    let worker = self.clone();
                    let delay = state.options.event_interval + CRASH_DELAY;
                    compio::runtime::spawn(async move {
                        compio::time::sleep(delay).await;
                        worker.crash().await;
                    })
                    .detach();
                }
                let builder = builder.status(200).header("content-type", "text/event-stream");
                builder.body(http_body_util::Either::Right(StreamBody::new(receiver))).ok()
            }
        }
    }

    /// Records a violation if a request starts in an incomplete group.
    fn check_complete(&self) {
        let Some(membership) = self.0.membership.borrow().clone() else { return };
        let fleet = self.0.fleet.borrow();
        let is_complete = membership.members.iter().all(|member| {
            let current = fleet.get(member).map(|worker| worker.0.membership.borrow().clone());
            // A lost member does not make the group incomplete: a request may start before the loss is
            // detected.
            let is_lost = fleet.get(member).is_none_or(|worker| worker.0.is_down.get());
            let is_member = current.flatten().is_some_and(|current| {
                current.group == membership.group && current.state != "joining"
            });
            is_lost || is_member
        });
        if !is_complete {
            let text = format!("{} runs a request in an incomplete group", self.id());
            self.0.violations.borrow_mut().push(text);
        }
    }

    async fn write_events(
        &self,
        mut sender: mpsc::Sender<io::Result<Frame<Bytes>>>,
        first_id: u64,
        fault: Option<WorkerFault>,
    ) {
        let (interrupt_after, comments_after) = match fault {
            Some(WorkerFault::InterruptAfter(events) | WorkerFault::EndInsideEvent(events)) => {
                (Some(events), None)
            }
            Some(WorkerFault::CommentsAfter(events)) => (None, Some(events)),
            Some(WorkerFault::EndlessEvent) => {
                write_endlessly(sender, Bytes::from_static(b"data: 0123456789abcdef\n")).await;
                return;
            }
            _ => (None, None),
        };
        for id in first_id..=self.0.options.event_count {
            compio::time::sleep(self.0.options.event_interval).await;
            if !self.wait_for_members().await {
                let _ = sender.send(Err(io::Error::other("stalled"))).await;
                return;
            }
            if let Some(WorkerFault::PauseAfter(_, pause)) =
                fault.filter(|fault| fault.pauses_before(id - first_id))
            {
                compio::time::sleep(pause).await;
            }
            if comments_after.is_some_and(|count| id - first_id >= count) {
                write_slowly(sender, Bytes::from_static(b": waiting\n")).await;
                return;
            }
            let padding = match self.0.options.event_padding {
                0 => String::new(),
                bytes => format!(": {}\n", "x".repeat(bytes)),
            };
            let event = format!("{padding}id: {id}\ndata: event {id}\n\n");
            if interrupt_after.is_some_and(|count| id - first_id >= count) {
                let half = Bytes::from(event[..event.len() / 2].to_owned());
                let _ = sender.send(Ok(Frame::data(half))).await;
                if !matches!(fault, Some(WorkerFault::EndInsideEvent(_))) {
                    let error = io::Error::other("interrupted by an injected fault");
                    let _ = sender.send(Err(error)).await;
                }
                return;
            }
            if sender.send(Ok(Frame::data(Bytes::from(event)))).await.is_err() {
                return;
            }
        }
    }

    /// Waits until no member is lost. Returns false if this takes longer than [`STALL_TIMEOUT`], or if
    /// this worker's group is closed or the worker is killed.
    async fn wait_for_members(&self) -> bool {
        let mut waited = Duration::ZERO;
        loop {
            if self.group_state() != Some("open") || self.0.is_down.get() {
                return false;
            }
            let members =
                self.0.membership.borrow().as_ref().map(|current| current.members.clone());
            let is_complete = members.unwrap_or_default().iter().all(|member| {
                self.0.fleet.borrow().get(member).is_some_and(|worker| !worker.0.is_down.get())
            });
            if is_complete {
                return true;
            }
            if waited >= STALL_TIMEOUT {
                return false;
            }
            compio::time::sleep(STALL_POLL_INTERVAL).await;
            waited += STALL_POLL_INTERVAL;
        }
    }
}

/// Writes the same piece again and again, until the receiver closes the connection.
async fn write_endlessly(mut sender: mpsc::Sender<io::Result<Frame<Bytes>>>, piece: Bytes) {
    while sender.send(Ok(Frame::data(piece.clone()))).await.is_ok() {}
}

/// Like [`write_endlessly`], with a pause before each piece.
async fn write_slowly(mut sender: mpsc::Sender<io::Result<Frame<Bytes>>>, piece: Bytes) {
    while sender.send(Ok(Frame::data(piece.clone()))).await.is_ok() {
        compio::time::sleep(STALL_POLL_INTERVAL).await;
    }
}

/// Counts a request as running until it is dropped.
struct RunGuard(WorkerFake);

impl RunGuard {
    fn new(worker: &WorkerFake) -> Self {
        worker.0.running.set(worker.0.running.get() + 1);
        Self(worker.clone())
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let running = &self.0.0.running;
        running.set(running.get().saturating_sub(1));
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}
