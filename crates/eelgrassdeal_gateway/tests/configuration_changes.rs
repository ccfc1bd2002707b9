//! Changes of the configuration, reloads of the settings and replacements of workers in series, while
//! callers send requests on open connections. All workers are sound: they pause, name limits, turn
//! requests away or answer without a length, but break nothing off.
//!
//! `CONFIGURATION_CHANGES_SEEDS=100..150 cargo test -p eelgrassdeal_gateway --test configuration_changes`
//! plays these seeds one after the other.

mod common;

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::scripted_worker::{
    AnswerEnd, ScriptedAnswer, ScriptedRequest, start_scripted_worker_of,
};
use common::{API_KEY, ENGINE_SERVICE, HOST, MODEL, PLAIN_SERVICE, TestPlatform, complete_stream};
use compio::net::TcpStream;
use eelgrassdeal_http::BoundedSocket;
use eelgrassdeal_standins::{WorkerFault, WorkerOptions};
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::{LocalBoxStream, iter};
use http_body_util::{BodyExt, StreamBody};
use hyper::Request;
use hyper::body::Frame;
use hyper::client::conn::http1::{self, SendRequest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

const SEEDS: Range<u64> = 0..2;
const GATEWAYS: usize = 2;
const CALLERS_PER_GATEWAY: usize = 24;
const EVENTS: u64 = 20;
const CHANGING_PERIOD: Duration = Duration::from_secs(12);
/// Services with engines, and those without, between which routes move.
const ENGINE_SERVICES: [&str; 2] = [ENGINE_SERVICE, "engines-2"];
const PLAIN_SERVICES: [&str; 2] = [PLAIN_SERVICE, "desk-2"];
/// Service whose workers end each answer with its connection.
const UNSIZED_SERVICE: &str = "unsized";
const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// API key that some versions of the configuration don't have.
const CHANGING_KEY: &str = "key-2";
/// Timeouts of routes and of callers.
const TIMEOUTS_MS: [u64; 3] = [2_500, 4_000, 8_000];
/// Distance to a timeout at which it may be what ended a request.
const TIMEOUT_TOLERANCE: Duration = Duration::from_millis(400);
/// Idle timeout of callers' connections, before and after [`IDLE_CHANGE_AT`].
const IDLE_TIMEOUTS: [Duration; 2] = [Duration::from_millis(1_500), Duration::from_secs(6)];
const IDLE_CHANGE_AT: Duration = Duration::from_secs(4);
/// Part of the idle timeout for which callers leave connections idle at most.
const IDLE_FRACTION: f64 = 0.75;
/// Time after which a change of the configuration is in force.
const APPLY_PERIOD: Duration = Duration::from_millis(2_500);
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8 + 2);
/// Time for which a worker serves on after it has announced that it leaves.
const DRAIN_PERIOD: Duration = Duration::from_millis(2_500);
/// Pieces in which the body of a request is sent.
const BODY_PIECES: [&str; 2] = ["a long ", "prompt"];
const PLAIN_ANSWER: &str = "plain answer";

type RequestBody = StreamBody<LocalBoxStream<'static, Result<Frame<Bytes>, Infallible>>>;

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Stream,
    UnsizedStream,
    Book,
    Look,
    UnsizedLook,
    /// To a route of which the configuration mostly has none.
    Extra,
}

impl RequestKind {
    const ALL: [Self; 6] =
        [Self::Stream, Self::UnsizedStream, Self::Book, Self::Look, Self::UnsizedLook, Self::Extra];

    fn path(self) -> &'static str {
        match self {
            Self::Stream => "/stream/x",
            Self::UnsizedStream => "/feed/x",
            Self::Book => "/book/x",
            Self::Look => "/look/x",
            Self::UnsizedLook => "/tail/x",
            Self::Extra => "/extra/x",
        }
    }

    fn request(
        self,
        id: &str,
        key: &str,
        deadline_ms: u64,
        body: RequestBody,
    ) -> Request<RequestBody> {
        let builder = Request::post(self.path())
            .header("host", HOST)
            .header("authorization", format!("Bearer {key}"))
            .header("x-eelgrassdeal-request-id", id)
            .header("x-eelgrassdeal-deadline-ms", deadline_ms.to_string())
            .header("x-eelgrassdeal-model", MODEL)
            .header("x-eelgrassdeal-token-count", "100,50");
        // Otherwise the body is sent in chunks.
        let builder = match id.len().is_multiple_of(2) {
            true => builder.header("content-length", BODY_PIECES.concat().len()),
            false => builder,
        };
        builder.body(body).expect("a valid request")
    }

    fn whole_answer(self) -> String {
        match self {
            Self::Stream | Self::UnsizedStream => complete_stream(EVENTS),
            Self::Book | Self::Look | Self::UnsizedLook | Self::Extra => PLAIN_ANSWER.to_owned(),
        }
    }
}

/// How the wait for the answer to a request ended.
#[derive(Clone, Debug)]
enum RequestEnd {
    Answered {
        status: u16,
        body: Bytes,
    },
    /// The connection ended before the request was written.
    NotSent,
    /// The connection ended after it, maybe after a part of the answer.
    Cut,
    TimedOut,
}

/// A request that ended.
#[derive(Debug)]
struct EndedRequest {
    id: String,
    kind: RequestKind,
    gateway: usize,
    deadline: Duration,
    took: Duration,
    /// Status of the answer to the request before on the connection, if there is one.
    previous_status: Option<u16>,
    /// Whether the gateway was free to end the connection before the request.
    may_have_ended: bool,
    end: RequestEnd,
}

/// A connection of a caller, which it uses until the gateway ends it.
struct CallerConnection {
    sender: SendRequest<RequestBody>,
    /// Status of the last answer.
    last_status: Option<u16>,
    /// Whether the gateway may end the connection before its idle timeout: it has said so, or has
    /// refused a request while the body was on its way.
    may_end: bool,
}

impl CallerConnection {
    async fn open(address: &str) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        let socket = BoundedSocket::new_plain(stream, WRITE_TIMEOUT);
        let (sender, connection) = http1::handshake(socket).await.ok()?;
        compio::runtime::spawn(async move {
            // The request that it carries reports the error.
            let _ = connection.await;
        })
        .detach();
        Some(Self { sender, last_status: None, may_end: false })
    }

    async fn send(&mut self, request: Request<RequestBody>, is_paused: bool) -> RequestEnd {
        self.may_end = true;
        let exchange = async {
            let response = match self.sender.try_send_request(request).await {
                Ok(response) => response,
                Err(mut error) => {
                    return match error.take_message() {
                        Some(_) => RequestEnd::NotSent,
                        None => RequestEnd::Cut,
                    };
                }
            };
            let status = response.status().as_u16();
            self.last_status = Some(status);
            let says_so = response.headers().contains_key("connection");
            match response.into_body().collect().await {
                Ok(body) => {
                    self.may_end = says_so || (is_paused && status != 200);
                    RequestEnd::Answered { status, body: body.to_bytes() }
                }
                Err(_) => RequestEnd::Cut,
            }
        };
        compio::time::timeout(ANSWER_TIMEOUT, exchange).await.unwrap_or(RequestEnd::TimedOut)
    }
}

/// A body in two pieces with a pause between them.
fn paused_body(pause: Duration) -> RequestBody {
    let [first, rest] = BODY_PIECES;
    let pieces = iter([(Duration::ZERO, first), (pause, rest)]);
    let frames = pieces.then(|(pause, piece)| async move {
        compio::time::sleep(pause).await;
        Ok(Frame::data(Bytes::from(piece)))
    });
    StreamBody::new(frames.boxed_local())
}

/// A whole answer whose end is that of its connection, which may come with a pause at any place.
fn unsized_answer(request: &ScriptedRequest, rng: &mut StdRng) -> ScriptedAnswer {
    let after = request.last_event.unwrap_or(0);
    let body = match request.path.starts_with("/feed/") {
        true => (after + 1..=EVENTS).map(|id| format!("id: {id}\ndata: event {id}\n\n")).collect(),
        false => PLAIN_ANSWER.to_owned(),
    };
    let id = &request.id;
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-eelgrassdeal-request-id: {id}\r\n\
         x-eelgrassdeal-response-seal: seal\r\nconnection: close\r\n\r\n"
    );
    let answer = head + &body;
    let position = rng.random_range(0..=answer.len());
    let pause_ms = if rng.random_bool(0.3) { rng.random_range(100..1_100) } else { 0 };
    let pause = Duration::from_millis(pause_ms);
    ScriptedAnswer::new(answer, AnswerEnd::Close).with_pause(position, pause)
}

async fn start_unsized_worker(platform: &TestPlatform, id: &str, rng: StdRng) {
    let rng = RefCell::new(rng);
    let script = move |request: &ScriptedRequest| unsized_answer(request, &mut rng.borrow_mut());
    start_scripted_worker_of(UNSIZED_SERVICE, &platform.store, id, script).await;
}

/// Gateways whose configuration changes, and what their callers saw.
struct ChangingFleet {
    platform: TestPlatform,
    started: Instant,
    is_over: Cell<bool>,
    ended: RefCell<Vec<EndedRequest>>,
    faults: RefCell<Vec<String>>,
}

impl ChangingFleet {
    async fn start(rng: &mut StdRng) -> Self {
        let platform = TestPlatform::new().await;
        for service in ENGINE_SERVICES {
            for index in 0..4 {
                let options =
                    WorkerOptions::new(&format!("i-{service}-{index}"), service, "zone-a")
                        .with_domain("d1")
                        .with_events(EVENTS, Duration::from_millis(40));
                platform.start_worker(options).await;
            }
        }
        for service in PLAIN_SERVICES {
            for index in 0..3 {
                let options =
                    WorkerOptions::new(&format!("i-{service}-{index}"), service, ZONES[index % 2])
                        .with_restart_delay(Duration::from_millis(200))
                        .with_events(0, Duration::from_millis(60));
                platform.start_worker(options).await;
            }
        }
        for index in 0..2 {
            let rng = StdRng::seed_from_u64(rng.random());
            start_unsized_worker(&platform, &format!("i-unsized-{index}"), rng).await;
        }
        write_version(&platform, random_configuration(rng, 2, IDLE_TIMEOUTS[0]));
        let platform = platform.with_gateways(GATEWAYS).await;
        platform.wait_serving(4).await;
        Self {
            platform,
            started: Instant::now(),
            is_over: Cell::default(),
            ended: RefCell::default(),
            faults: RefCell::default(),
        }
    }

    /// Idle timeout that has been in force for at least `age`.
    fn idle_timeout(&self, age: Duration) -> Duration {
        let is_changed = self.started.elapsed() > IDLE_CHANGE_AT + age;
        IDLE_TIMEOUTS[usize::from(is_changed)]
    }

    /// One caller, which keeps its connection until the gateway ends it.
    async fn run_caller(&self, caller: usize, mut rng: StdRng) {
        let gateway = caller % GATEWAYS;
        // Requests that are refused before they are read mostly end the connection. Some callers send
        // few of them, so that their connections grow old.
        let is_steady = (caller / GATEWAYS).is_multiple_of(3);
        let mut connection: Option<CallerConnection> = None;
        let mut idle = Duration::ZERO;
        let mut number = 0;
        while !self.is_over.get() {
            let kept = connection.take().filter(|kept| {
                let is_closed = kept.sender.is_closed();
                if is_closed && !kept.may_end {
                    let status = kept.last_status;
                    let text =
                        format!("connection ended early, idle for {idle:?} after {status:?}");
                    self.faults.borrow_mut().push(text);
                }
                !is_closed
            });
            let open = match kept {
                Some(kept) => Some(kept),
                None => CallerConnection::open(&self.platform.gateways[gateway].front).await,
            };
            let mut open = open.expect("the gateway accepts connections");
            let kind = match is_steady {
                true => RequestKind::UnsizedLook,
                false => RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())],
            };
            let id = format!("c{caller}-{number}-");
            number += 1;
            let has_changing_key = !is_steady && rng.random_bool(0.3);
            let key = if has_changing_key { CHANGING_KEY } else { API_KEY };
            let deadline_ms = TIMEOUTS_MS[rng.random_range(0..TIMEOUTS_MS.len())];
            let pause = match rng.random_range(0..4) {
                0 => Duration::from_millis(rng.random_range(1..900)),
                _ => Duration::ZERO,
            };
            let request = kind.request(&id, key, deadline_ms, paused_body(pause));
            let (previous_status, may_have_ended) = (open.last_status, open.may_end);
            let sent_at = Instant::now();
            let end = open.send(request, !pause.is_zero()).await;
            self.ended.borrow_mut().push(EndedRequest {
                id,
                kind,
                gateway,
                deadline: Duration::from_millis(deadline_ms),
                took: sent_at.elapsed(),
                previous_status,
                may_have_ended,
                end,
            });
            connection = Some(open);
            let idle_timeout = self.idle_timeout(APPLY_PERIOD);
            idle = match rng.random_range(0..if is_steady { 4 } else { 16 }) {
                0 => idle_timeout.mul_f64(rng.random_range(0.0..IDLE_FRACTION)),
                _ => Duration::from_millis(rng.random_range(0..80)),
            };
            compio::time::sleep(idle).await;
        }
    }

    /// Writes versions of the configuration, singly and in bursts.
    async fn change_configuration(&self, mut rng: StdRng) {
        let started = Instant::now();
        let mut version = 3;
        while started.elapsed() < CHANGING_PERIOD {
            let burst = if rng.random_bool(0.3) { rng.random_range(2..20) } else { 1 };
            for _ in 0..burst {
                version += rng.random_range(1..5);
                let idle_timeout = self.idle_timeout(Duration::ZERO);
                let config = random_configuration(&mut rng, version, idle_timeout);
                write_version(&self.platform, config);
                compio::time::sleep(Duration::from_millis(rng.random_range(0..25))).await;
            }
            compio::time::sleep(Duration::from_millis(rng.random_range(20..900))).await;
        }
    }

    /// Takes a zone, in which some of the workers run, out of service and back.
    async fn evacuate_zone(&self, mut rng: StdRng) {
        let started = Instant::now();
        while started.elapsed() < CHANGING_PERIOD {
            compio::time::sleep(Duration::from_millis(rng.random_range(500..3_000))).await;
            self.platform.store.put("op", "evacuate/zone-b", b"{}");
            compio::time::sleep(Duration::from_millis(rng.random_range(200..3_000))).await;
            self.platform.store.remove("op", "evacuate/zone-b");
        }
    }

    /// Has a gateway load its settings again and again, some of them half written.
    async fn reload_settings(&self, gateway: usize, mut rng: StdRng) {
        let process = &self.platform.gateways[gateway];
        let path = process.settings_path();
        let original = std::fs::read_to_string(path).expect("a settings file");
        let started = Instant::now();
        while started.elapsed() < CHANGING_PERIOD {
            let slack = format!("retry_slack = {}", rng.random_range(0..200));
            let text = original.replace("retry_slack = 132", &slack);
            let part = &text[..rng.random_range(0..text.len())];
            for text in [part, &text] {
                std::fs::write(path, text).expect("the settings file can be written");
                for _ in 0..rng.random_range(0..8) {
                    process.hang_up();
                    compio::time::sleep(Duration::from_millis(rng.random_range(0..10))).await;
                }
            }
            compio::time::sleep(Duration::from_millis(rng.random_range(50..1_500))).await;
        }
        std::fs::write(path, original).expect("the settings file can be written");
    }

    /// Has workers pause, turn requests away and name limits.
    async fn disturb_workers(&self, mut rng: StdRng) {
        let started = Instant::now();
        while started.elapsed() < CHANGING_PERIOD {
            compio::time::sleep(Duration::from_millis(rng.random_range(10..100))).await;
            let ids: Vec<_> = self.platform.workers.borrow().keys().cloned().collect();
            let worker = self.platform.worker(&ids[rng.random_range(0..ids.len())]);
            let pause = Duration::from_millis(rng.random_range(200..1_100));
            match rng.random_range(0..8) {
                0 => worker.push_fault(WorkerFault::NotExecuted),
                1 => worker.push_fault(WorkerFault::TurnedAway(pause)),
                2 => worker.name_limit(Some(&rng.random_range(2..40).to_string())),
                3 => worker.name_limit(None),
                4 | 5 => worker.push_fault(WorkerFault::LateStart(pause)),
                _ => {
                    let events = rng.random_range(0..EVENTS);
                    worker.push_fault(WorkerFault::PauseAfter(events, pause));
                }
            }
        }
    }

    /// Replaces workers of services without engines: they announce it, serve on, and end once no
    /// request runs.
    async fn replace_workers(&self, mut rng: StdRng) {
        let started = Instant::now();
        while started.elapsed() < CHANGING_PERIOD {
            let leaving = {
                let workers = self.platform.workers.borrow();
                let plain: Vec<_> =
                    workers.values().filter(|worker| worker.id().contains("desk")).collect();
                plain[rng.random_range(0..plain.len())].clone()
            };
            leaving.drain();
            compio::time::sleep(DRAIN_PERIOD).await;
            while leaving.running() > 0 {
                compio::time::sleep(Duration::from_millis(50)).await;
            }
            // The last answer is on its way.
            compio::time::sleep(Duration::from_millis(300)).await;
            leaving.crash().await;
            self.platform.workers.borrow_mut().remove(leaving.id());
        }
    }

    /// What is wrong with a request that ended, if anything is.
    fn fault_of(&self, request: &EndedRequest) -> Option<&'static str> {
        let runs = self.platform.runs_for_request(&request.id).len();
        let is_at_limit = |limit: Duration| request.took.abs_diff(limit) < TIMEOUT_TOLERANCE;
        let mut limits = TIMEOUTS_MS.map(Duration::from_millis).into_iter();
        let may_be_late = limits.any(|limit| limit <= request.deadline && is_at_limit(limit));
        match &request.end {
            _ if request.kind == RequestKind::Book && runs > 1 => Some("ran twice"),
            RequestEnd::Answered { status: 200, body } => {
                (*body != request.kind.whole_answer()).then_some("has a part of its answer")
            }
            RequestEnd::Answered { status: 408 | 421 | 429 | 503, .. } if runs > 0 => {
                Some("ran, and was told not to have run")
            }
            RequestEnd::NotSent if !request.may_have_ended => Some("met the end of its connection"),
            RequestEnd::Answered { .. } | RequestEnd::NotSent => None,
            RequestEnd::TimedOut => Some("had no answer within its time"),
            RequestEnd::Cut if may_be_late => None,
            RequestEnd::Cut => Some("was cut off"),
        }
    }

    /// Everything that must not have happened.
    fn collect_faults(&self) -> Vec<String> {
        let mut faults = self.faults.borrow().clone();
        faults.extend(self.platform.violations.borrow().iter().cloned());
        let logs: Vec<_> = self.platform.gateways.iter().map(|gateway| gateway.log()).collect();
        for log in &logs {
            let panics = log.lines().filter(|line| line.contains("panicked"));
            faults.extend(panics.map(str::to_owned));
        }
        for request in self.ended.borrow().iter() {
            let Some(fault) = self.fault_of(request) else { continue };
            let id = format!("request_id={} ", request.id);
            let lines = logs[request.gateway].lines().filter(|line| line.contains(&id));
            let lines: Vec<_> = lines.collect();
            faults.push(format!("{request:?} {fault}; log:\n{}", lines.join("\n")));
        }
        faults
    }
}

/// A configuration in which routes, services, keys, zones and limits are drawn at random.
fn random_configuration(rng: &mut StdRng, version: u64, idle_timeout: Duration) -> Value {
    let mut route = |name: &str, kind: &str, services: &[&str]| {
        let service = services[rng.random_range(0..services.len())];
        let mut route = json!({ "name": name, "host": HOST, "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": TIMEOUTS_MS[rng.random_range(0..TIMEOUTS_MS.len())],
            "target_latency_ms": rng.random_range(50..800), "gap_target_ms": rng.random_range(50..300),
            "priority": rng.random_range(0..3), "max_attempts": rng.random_range(1..4),
            "public": rng.random_bool(0.1), "resumable": rng.random_bool(0.7) });
        match rng.random_bool(0.3) {
            true => {
                let split = services.iter().map(
                    |service| json!({ "service": service, "weight": rng.random_range(0..100) }),
                );
                route["split"] = split.collect();
            }
            false => route["service"] = json!(service),
        }
        route
    };
    let extra = route("extra", "idempotent", &PLAIN_SERVICES);
    let mut routes = vec![
        route("stream", "stream", &ENGINE_SERVICES),
        route("feed", "stream", &[UNSIZED_SERVICE]),
        route("book", "non_idempotent", &PLAIN_SERVICES),
        route("look", "idempotent", &PLAIN_SERVICES),
        route("tail", "idempotent", &[UNSIZED_SERVICE]),
    ];
    // The last one stays, for the callers that send few requests that are refused.
    if rng.random_bool(0.3) {
        routes.remove(rng.random_range(0..routes.len() - 1));
    }
    routes.extend(rng.random_bool(0.3).then_some(extra));
    let engines = ENGINE_SERVICES.map(|name| {
        json!({ "name": name, "health_path": "/health", "max_conns": 100, "cold_per_s": 30.0,
            "engine": { "slots": rng.random_range(4..9), "kv_capacity": 100_000,
                "stride": rng.random_range(1..3), "step_ms": 10.0, "read_per_s": 50_000.0,
                "loads_per_s": 50.0, "loads_at_once": 20, "models": [{ "name": MODEL, "size": 2,
                    "share": 1.0, "load_s": 0.1, "warm_s": 0.1 }] } })
    });
    // A service that is removed may have requests that wait or run.
    let plain = PLAIN_SERVICES.into_iter().filter(|_| rng.random_bool(0.8));
    let plain: Vec<_> = plain.chain([UNSIZED_SERVICE]).collect();
    let plain = plain.into_iter().map(|name| {
        json!({ "name": name, "health_path": "/health", "max_conns": rng.random_range(20..60) })
    });
    let services: Vec<_> = engines.into_iter().chain(plain).collect();
    let keys: &[&str] = if rng.random_bool(0.5) { &[API_KEY, CHANGING_KEY] } else { &[API_KEY] };
    let max_head_bytes = [8_192, 16_384][rng.random_range(0..2)];
    // Less than a body in a few versions.
    let max_body_bytes = if rng.random_bool(0.05) { 8 } else { 65_536 };
    json!({ "version": version, "routes": routes, "services": services,
        "limits": { "max_header_bytes": max_head_bytes,
            "max_body_bytes": max_body_bytes,
            "header_timeout_ms": 3_000, "idle_timeout_ms": idle_timeout.as_millis() as u64 },
        "tenants": [{ "name": "account-1", "api_keys": keys, "priority": rng.random_range(0..3) }] })
}

fn write_version(platform: &TestPlatform, config: Value) {
    platform.store.put("op", "config", config.to_string().as_bytes());
}

async fn play(seed: u64) -> Vec<String> {
    let mut seeds = StdRng::seed_from_u64(seed);
    let fleet = Rc::new(ChangingFleet::start(&mut seeds).await);
    let mut next_rng = || StdRng::seed_from_u64(seeds.random());
    let callers: Vec<_> = (0..GATEWAYS * CALLERS_PER_GATEWAY)
        .map(|caller| {
            let (fleet, rng) = (fleet.clone(), next_rng());
            compio::runtime::spawn(async move { fleet.run_caller(caller, rng).await })
        })
        .collect();
    let reloads: Vec<_> =
        (0..GATEWAYS).map(|gateway| fleet.reload_settings(gateway, next_rng())).collect();
    futures_util::join!(
        fleet.change_configuration(next_rng()),
        fleet.evacuate_zone(next_rng()),
        join_all(reloads),
        fleet.disturb_workers(next_rng()),
        fleet.replace_workers(next_rng()),
    );
    fleet.is_over.set(true);
    for caller in callers {
        assert!(caller.await.is_ok(), "a caller panicked");
    }
    let faults = fleet.collect_faults();
    let ended = fleet.ended.borrow();
    let count = |is_counted: &dyn Fn(&EndedRequest) -> bool| {
        ended.iter().filter(|request| is_counted(request)).count()
    };
    let served = count(&|one| matches!(one.end, RequestEnd::Answered { status: 200, .. }));
    println!(
        "seed {seed}: {} requests, {} on used connections, {served} served, {} refused, {} not \
         sent, {} cut at a timeout, {} faults",
        ended.len(),
        count(&|one| one.previous_status.is_some()),
        count(&|one| matches!(one.end, RequestEnd::Answered { status, .. } if status != 200)),
        count(&|one| matches!(one.end, RequestEnd::NotSent)),
        count(&|one| matches!(one.end, RequestEnd::Cut) && fleet.fault_of(one).is_none()),
        faults.len()
    );
    if !faults.is_empty() {
        for (index, gateway) in fleet.platform.gateways.iter().enumerate() {
            println!("--- log of gateway {index} at seed {seed}\n{}", gateway.log());
        }
    }
    assert!(served > ended.len() / 4, "{served} of {} requests served", ended.len());
    faults
}

/// Guards against requests on open connections that end without a whole answer or a refusal beside
/// a change of the configuration or a reload.
#[compio::test]
async fn requests_beside_changes_of_the_configuration_are_answered_or_refused() {
    let seeds = std::env::var("CONFIGURATION_CHANGES_SEEDS").ok().and_then(|text| {
        let (first, end) = text.split_once("..")?;
        Some(first.parse().ok()?..end.parse().ok()?)
    });
    for seed in seeds.unwrap_or(SEEDS) {
        let faults = play(seed).await;
        assert!(faults.is_empty(), "seed {seed}: {} faults: {faults:#?}", faults.len());
    }
}

/// A connection kept the idle timeout of the configuration in which it was accepted.
#[compio::test]
async fn connection_that_is_open_while_the_idle_timeout_is_raised_does_not_end_early() {
    let mut rng = StdRng::seed_from_u64(1);
    let platform = TestPlatform::new().await;
    start_unsized_worker(&platform, "i-unsized", StdRng::seed_from_u64(0)).await;
    write_version(&platform, random_configuration(&mut rng, 2, IDLE_TIMEOUTS[0]));
    let platform = platform.with_gateways(1).await;
    let mut open = CallerConnection::open(&platform.gateways[0].front).await.expect("a connection");
    write_version(&platform, random_configuration(&mut rng, 3, IDLE_TIMEOUTS[1]));
    let rounds = 5;
    let last = IDLE_TIMEOUTS[1].mul_f64(IDLE_FRACTION);
    for idle in std::iter::repeat_n(APPLY_PERIOD / rounds, rounds as usize).chain([last]) {
        compio::time::sleep(idle).await;
        let body = paused_body(Duration::ZERO);
        let request = RequestKind::UnsizedLook.request("a", API_KEY, TIMEOUTS_MS[2], body);
        let end = open.send(request, false).await;
        let is_served = matches!(end, RequestEnd::Answered { status: 200, .. });
        assert!(is_served, "{end:?} after {idle:?}");
    }
}
