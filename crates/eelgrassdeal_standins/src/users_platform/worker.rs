//! Stand-in for a worker: a model engine that joins groups, or a plain service.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::SinkExt;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use serde_json::{Value, json};

use super::store::MetadataStoreFake;
use crate::server::{Reply, ServerHandle, empty_reply, json_reply, serve_http};

/// Time that an engine waits for a lost member before it gives up its work.
const STALL_TIME: Duration = Duration::from_secs(4);
const STALL_POLL: Duration = Duration::from_millis(20);
/// Time of a join whose model is on the host.
const JOIN_TIME: Duration = Duration::from_millis(60);

/// How a worker runs.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// Id.
    pub id: String,
    /// Service.
    pub service: String,
    /// Data centre.
    pub zone: String,
    /// Fabric domain; `None` for a plain service.
    pub domain: Option<String>,
    /// Events of a stream.
    pub events: u64,
    /// Time between two events, and of a plain answer.
    pub pace: Duration,
}

impl WorkerOptions {
    /// A plain service.
    pub fn new(id: &str, service: &str, zone: &str) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            domain: None,
            events: 5,
            pace: Duration::from_millis(10),
        }
    }

    /// A model engine in a fabric domain.
    pub fn with_domain(mut self, domain: &str) -> Self {
        self.domain = Some(domain.to_owned());
        self
    }

    /// Sets the events of a stream and the time between them.
    pub fn with_events(mut self, events: u64, pace: Duration) -> Self {
        self.events = events;
        self.pace = pace;
        self
    }
}

/// A fault of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerFault {
    /// The request runs and the connection is cut without an answer.
    LostAnswer,
    /// The request does not run; the answer says so.
    Shed,
    /// The stream is cut after this many events, in the middle of the next one.
    CutAfter(u64),
    /// The answer bears the id of another request.
    ForeignId,
    /// The request runs and is answered with 500.
    Error,
    /// The request runs and is answered with 503, which does not say that it did not run.
    FalseRefusal,
}

/// A request that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerRun {
    /// Worker that ran it.
    pub worker: String,
    /// Its id.
    pub request_id: String,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: String,
    /// Account that the gateway named.
    pub account: Option<String>,
    /// Whether the caller's key was passed on.
    pub has_key: bool,
    /// Time that was left.
    pub deadline_ms: u64,
    /// Id of the last event that the caller has.
    pub last_event: Option<u64>,
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
    /// All workers, to see whether members live.
    fleet: Rc<RefCell<BTreeMap<String, WorkerFake>>>,
    runs: Rc<RefCell<Vec<WorkerRun>>>,
    is_dead: Cell<bool>,
    is_draining: Cell<bool>,
    staged: RefCell<Option<String>>,
    loaded: RefCell<Option<String>>,
    membership: RefCell<Option<Membership>>,
    highest_epoch: Cell<u64>,
    highest_fence: Cell<u64>,
    faults: RefCell<VecDeque<WorkerFault>>,
    running: Cell<u32>,
    violations: Rc<RefCell<Vec<String>>>,
    server: RefCell<Option<ServerHandle>>,
}

/// A worker in memory.
#[derive(Clone)]
pub struct WorkerFake(Rc<WorkerState>);

impl WorkerFake {
    /// Starts a worker on a free port and registers it. Runs and broken rules are noted in lists
    /// that all workers of a test share.
    ///
    /// # Errors
    ///
    /// When no address can be bound.
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
            is_dead: Cell::default(),
            is_draining: Cell::default(),
            staged: RefCell::default(),
            loaded: RefCell::default(),
            membership: RefCell::default(),
            highest_epoch: Cell::default(),
            highest_fence: Cell::default(),
            faults: RefCell::default(),
            running: Cell::default(),
            violations: violations.clone(),
            server: RefCell::default(),
        }));
        let serving = worker.clone();
        let handle = serve_http(SocketAddr::from(([127, 0, 0, 1], 0)), move |request| {
            let worker = serving.clone();
            async move { worker.answer(request).await }
        })
        .await?;
        *worker.0.address.borrow_mut() = handle.address().to_string();
        *worker.0.server.borrow_mut() = Some(handle);
        fleet.borrow_mut().insert(id, worker.clone());
        worker.register();
        Ok(worker)
    }

    /// Id.
    pub fn id(&self) -> &str {
        &self.0.options.id
    }

    /// Faults of the next answers, in order.
    pub fn push_fault(&self, fault: WorkerFault) {
        self.0.faults.borrow_mut().push_back(fault);
    }

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        self.0.running.get()
    }

    /// State of the worker's group.
    pub fn group_state(&self) -> Option<&'static str> {
        self.0.membership.borrow().as_ref().map(|membership| membership.state)
    }

    /// Falls silent for good; its row stays.
    pub fn kill(&self) {
        self.0.is_dead.set(true);
        if let Some(server) = self.0.server.borrow_mut().as_mut() {
            server.kill();
        }
    }

    /// Removes the row.
    pub fn lapse(&self) {
        self.0.store.remove("servers", self.id());
    }

    /// Announces that it leaves.
    pub fn drain(&self) {
        self.0.is_draining.set(true);
        self.register();
    }

    /// Writes its row.
    pub fn register(&self) {
        let state = &self.0;
        let group = state.membership.borrow().as_ref().map(|membership| {
            json!({ "name": membership.group, "epoch": membership.epoch, "state": membership.state })
        });
        let models: Vec<Value> =
            state.loaded.borrow().iter().map(|model| json!({ "name": model })).collect();
        let mut row = json!({
            "service": state.options.service,
            "address": *state.address.borrow(),
            "zone": state.options.zone,
            "version": "v1",
            "slots": 8,
            "state": if state.is_draining.get() { "draining" } else { "ready" },
            "cold_left_ms": 0,
            "seq": 1,
            "born": 1,
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

    async fn answer(&self, request: Request<Incoming>) -> Reply {
        if self.0.is_dead.get() {
            // A dead machine does not answer.
            std::future::pending::<()>().await;
        }
        let headers = request.headers().clone();
        let expected = text(&headers, "x-eelgrassdeal-expect-instance");
        if expected.as_deref().is_some_and(|id| id != self.id()) {
            return empty_reply(421);
        }
        match request.uri().path() {
            "/report" => json_reply(200, &json!({ "queued": 0, "active": self.running() })),
            "/order" => {
                let body = request.into_body().collect().await.ok()?.to_bytes();
                let order = serde_json::from_slice(&body).ok()?;
                empty_reply(self.obey(&order))
            }
            _ => self.run(request, headers).await,
        }
    }

    fn obey(&self, order: &Value) -> u16 {
        let state = &self.0;
        let fence = order["fencing_token"].as_u64().unwrap_or(0);
        if fence < state.highest_fence.get() {
            return 412;
        }
        state.highest_fence.set(fence);
        let group = order["group"].as_str().unwrap_or_default().to_owned();
        let epoch = order["epoch"].as_u64().unwrap_or(0);
        let model = order["model"].as_str().unwrap_or_default().to_owned();
        let is_member = state
            .membership
            .borrow()
            .as_ref()
            .is_some_and(|known| known.group == group && known.epoch == epoch);
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
            compio::time::sleep(JOIN_TIME).await;
            *worker.0.staged.borrow_mut() = Some(model.clone());
            *worker.0.loaded.borrow_mut() = Some(model);
            let is_current = worker
                .0
                .membership
                .borrow()
                .as_ref()
                .is_some_and(|known| known.group == group && known.epoch == epoch);
            if is_current && !worker.0.is_dead.get() {
                worker.set_group_state("ready");
            }
        })
        .detach();
        202
    }

    /// Notes a join while the head of the former group serves.
    fn check_join(&self, group: &str) {
        let Some(former) = self.0.membership.borrow().clone() else { return };
        let head = former.members.first().cloned().unwrap_or_default();
        let is_open = self.0.fleet.borrow().get(&head).is_some_and(|head| {
            let known = head.0.membership.borrow();
            let is_same = known.as_ref().is_some_and(|known| known.group == former.group);
            !head.0.is_dead.get() && is_same && head.group_state_of(&known) == Some("open")
        });
        if former.group != group && is_open {
            let text = format!("{} joins {group} while {head} is open", self.id());
            self.0.violations.borrow_mut().push(text);
        }
    }

    fn group_state_of(&self, known: &Option<Membership>) -> Option<&'static str> {
        known.as_ref().map(|membership| membership.state)
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
        self.check_whole();
        let path = request.uri().path_and_query().map_or("", |path| path.as_str()).to_owned();
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let fault = state.faults.borrow_mut().pop_front();
        let request_id = text(&headers, "x-eelgrassdeal-request-id").unwrap_or_default();
        if fault == Some(WorkerFault::Shed) {
            let shed = Response::builder()
                .status(503)
                .header("x-eelgrassdeal-not-executed", "1")
                .header("x-eelgrassdeal-request-id", request_id);
            return shed.body(http_body_util::Either::Left(Full::new(Bytes::new()))).ok();
        }
        let number = |name: &str| text(&headers, name).and_then(|value| value.parse().ok());
        let last_event = number("last-event-id");
        state.runs.borrow_mut().push(WorkerRun {
            worker: self.id().to_owned(),
            request_id: request_id.clone(),
            path,
            body: String::from_utf8_lossy(&body).into_owned(),
            account: text(&headers, "x-eelgrassdeal-tenant"),
            has_key: headers.contains_key("authorization"),
            deadline_ms: number("x-eelgrassdeal-deadline-ms").unwrap_or(0),
            last_event,
        });
        let answer_id = match fault {
            Some(WorkerFault::ForeignId) => "another".to_owned(),
            _ => request_id,
        };
        let builder = Response::builder()
            .header("x-eelgrassdeal-request-id", answer_id)
            .header("x-eelgrassdeal-response-seal", format!("seal-{}", self.id()));
        let running = RunGuard::new(self);
        match (fault, state.options.domain.is_some()) {
            (Some(WorkerFault::LostAnswer), _) => {
                compio::time::sleep(state.options.pace).await;
                None
            }
            (Some(WorkerFault::Error), _) => {
                let body = http_body_util::Either::Left(Full::new(Bytes::from("failed")));
                builder.status(500).body(body).ok()
            }
            (Some(WorkerFault::FalseRefusal), _) => {
                let body = http_body_util::Either::Left(Full::new(Bytes::from("later")));
                builder.status(503).body(body).ok()
            }
            (_, false) => {
                compio::time::sleep(state.options.pace).await;
                let body = http_body_util::Either::Left(Full::new(Bytes::from("plain answer")));
                builder.status(200).body(body).ok()
            }
            (fault, true) => {
                let cut_after = match fault {
                    Some(WorkerFault::CutAfter(events)) => Some(events),
                    _ => None,
                };
                let (sender, receiver) = mpsc::channel(0);
                let worker = self.clone();
                let first = last_event.map_or(1, |id: u64| id + 1);
                compio::runtime::spawn(async move {
                    let _running = running;
                    worker.write_events(sender, first, cut_after).await;
                })
                .detach();
                let builder = builder.status(200).header("content-type", "text/event-stream");
                builder.body(http_body_util::Either::Right(StreamBody::new(receiver))).ok()
            }
        }
    }

    /// Notes a request that begins in a group that is not whole.
    fn check_whole(&self) {
        let Some(membership) = self.0.membership.borrow().clone() else { return };
        let fleet = self.0.fleet.borrow();
        let is_whole = membership.members.iter().all(|member| {
            let known = fleet.get(member).map(|worker| worker.0.membership.borrow().clone());
            // A member that was ready and is lost excuses the request.
            let is_lost = fleet.get(member).is_none_or(|worker| worker.0.is_dead.get());
            let is_member = known
                .flatten()
                .is_some_and(|known| known.group == membership.group && known.state != "joining");
            is_lost || is_member
        });
        if !is_whole {
            let text = format!("{} runs a request in a group that is not whole", self.id());
            self.0.violations.borrow_mut().push(text);
        }
    }

    async fn write_events(
        &self,
        mut sender: mpsc::Sender<io::Result<Frame<Bytes>>>,
        first: u64,
        cut_after: Option<u64>,
    ) {
        for id in first..=self.0.options.events {
            compio::time::sleep(self.0.options.pace).await;
            if !self.wait_for_members().await {
                let _ = sender.send(Err(io::Error::other("stalled"))).await;
                return;
            }
            let event = format!("id: {id}\ndata: event {id}\n\n");
            if cut_after.is_some_and(|count| id - first >= count) {
                let half = Bytes::from(event[..event.len() / 2].to_owned());
                let _ = sender.send(Ok(Frame::data(half))).await;
                let _ = sender.send(Err(io::Error::other("cut"))).await;
                return;
            }
            if sender.send(Ok(Frame::data(Bytes::from(event)))).await.is_err() {
                return;
            }
        }
    }

    /// Waits while a member is lost; false once the engine gives up, or the head is closed.
    async fn wait_for_members(&self) -> bool {
        let mut waited = Duration::ZERO;
        loop {
            if self.group_state() != Some("open") || self.0.is_dead.get() {
                return false;
            }
            let members = self.0.membership.borrow().as_ref().map(|known| known.members.clone());
            let is_whole = members.unwrap_or_default().iter().all(|member| {
                self.0.fleet.borrow().get(member).is_some_and(|worker| !worker.0.is_dead.get())
            });
            if is_whole {
                return true;
            }
            if waited >= STALL_TIME {
                return false;
            }
            compio::time::sleep(STALL_POLL).await;
            waited += STALL_POLL;
        }
    }
}

/// Counts a request while it runs.
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

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}
