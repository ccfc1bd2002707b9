//! Fake of the platform's management API, which takes reports of usage and orders for workers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use serde_json::Value;

use crate::server::{Reply, ServerHandle, empty_reply, serve_fake};

const USAGE_PATH: &str = "/usage";
const SCALE_PATH: &str = "/scale";
const HOLDER: &str = "x-eelgrassdeal-duty-holder";
const FENCING_TOKEN: &str = "x-eelgrassdeal-fencing-token";
/// Period over which the rate of calls is limited.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// What happens to a call in place of being carried out and answered at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloudFault {
    /// The call is not carried out, and its connection stays open without an answer.
    Silent,
    /// The call is not carried out and answered with 503.
    Unavailable,
    /// The call is not carried out, and its connection is closed.
    Reset,
    /// The call is carried out and answered after this time.
    Slow(Duration),
    /// The connection is closed, and the call is carried out after this time unless its token is
    /// outdated by then.
    CarriedOutAfter(Duration),
}

/// A call that arrived at a [`CloudFake`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CloudCall {
    /// Path, which names the duty.
    pub path: String,
    /// What the fencing token is compared for: empty for all usage windows, or the service and its
    /// data centre, separated by a slash.
    pub subject: String,
    /// Name of the node that made the call.
    pub holder: String,
    /// Fencing token.
    pub token: u64,
    /// Body as it was received.
    pub body: String,
    /// When the call arrived.
    pub arrived_at: Instant,
    /// Status and time of the decision on the call; `None` if it was dropped or is still to be
    /// carried out.
    pub decision: Option<(u16, Instant)>,
}

impl CloudCall {
    /// When the call was carried out; `None` if it was not.
    pub fn carried_out_at(&self) -> Option<Instant> {
        self.decision.filter(|(status, _)| *status == 200).map(|(_, at)| at)
    }

    /// Whether both calls are of the same duty and subject.
    fn has_subject_of(&self, other: &Self) -> bool {
        self.path == other.path && self.subject == other.subject
    }
}

/// Calls, fencing tokens and faults of a [`CloudFake`].
#[derive(Debug, Default)]
struct CloudState {
    calls: Vec<CloudCall>,
    /// Highest token of each path and subject that was carried out.
    tokens: BTreeMap<(String, String), u64>,
    /// Number ordered for each service and data centre.
    desired: BTreeMap<String, u64>,
    next_faults: VecDeque<CloudFault>,
    fault: Option<CloudFault>,
}

/// A management API that keeps its calls in memory. Clones share them.
#[derive(Clone, Default)]
pub struct CloudFake {
    state: Rc<RefCell<CloudState>>,
    is_fencing: Rc<Cell<bool>>,
    /// Calls per second that are accepted; `None` if there is no limit.
    call_rate: Rc<Cell<Option<usize>>>,
    /// Bounds on the workers of each service in a data centre.
    bounds: Rc<Cell<Option<(u64, u64)>>>,
}

impl CloudFake {
    /// Creates an API without a fence and a limit on calls.
    pub fn new() -> Self {
        Self::default()
    }

    /// Refuses calls whose token is lower than one carried out for the same duty and subject.
    pub fn with_fencing(self) -> Self {
        self.is_fencing.set(true);
        self
    }

    /// Refuses calls above `per_second`, counted over a second.
    pub fn with_rate(self, per_second: usize) -> Self {
        self.call_rate.set(Some(per_second));
        self
    }

    /// Limits the ordered numbers of workers.
    pub fn with_bounds(self, min: u64, max: u64) -> Self {
        self.bounds.set(Some((min, max)));
        self
    }

    /// Sets the fault of all calls that have none of their own; `None` ends it.
    pub fn set_fault(&self, fault: Option<CloudFault>) {
        self.state.borrow_mut().fault = fault;
    }

    /// Sets the fault of the next call that has none yet.
    pub fn fault_next(&self, fault: CloudFault) {
        self.state.borrow_mut().next_faults.push_back(fault);
    }

    /// All calls in the order of their arrival.
    pub fn calls(&self) -> Vec<CloudCall> {
        self.state.borrow().calls.clone()
    }

    /// Number of workers ordered last for a service in a data centre, within the bounds.
    pub fn desired(&self, service: &str, data_centre: &str) -> Option<u64> {
        self.state.borrow().desired.get(&format!("{service}/{data_centre}")).copied()
    }

    /// What the calls violate: two bodies carried out for one usage window, a token of two nodes, a
    /// lower token after a higher one without a fence, and a holder that comes back within `lease`
    /// after another one's call.
    pub fn violations(&self, lease: Duration) -> Vec<String> {
        let calls = self.calls();
        let carried_out: Vec<(Instant, &CloudCall)> =
            calls.iter().filter_map(|call| Some((call.carried_out_at()?, call))).collect();
        let arrivals: Vec<_> = calls.iter().map(|call| (call.arrived_at, call)).collect();
        let mut violations = different_reports(&carried_out);
        violations.extend(shared_tokens(&calls));
        if !self.is_fencing.get() {
            violations.extend(lower_tokens(&calls));
        }
        violations.extend(returned_holders(&arrivals, lease));
        violations.extend(returned_holders(&carried_out, lease));
        violations
    }

    /// Serves the API on `listen`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn serve(&self, listen: SocketAddr) -> io::Result<ServerHandle> {
        serve_fake(listen, self, |fake, request| async move { fake.handle(request).await }).await
    }

    async fn handle(&self, request: Request<Incoming>) -> Reply {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let body = String::from_utf8_lossy(&body).into_owned();
        let Some(call) = parse_call(parts.uri.path(), &parts.headers, body) else {
            return empty_reply(400);
        };
        let (index, fault) = self.record(call);
        if self.is_throttled(index) {
            return self.refuse(index, 429);
        }
        match fault {
            None => self.carry_out(index),
            Some(CloudFault::Silent) => std::future::pending().await,
            Some(CloudFault::Unavailable) => self.refuse(index, 503),
            Some(CloudFault::Reset) => None,
            Some(CloudFault::Slow(delay)) => {
                // The call is carried out even if its connection is closed meanwhile.
                let fake = self.clone();
                let task = compio::runtime::spawn(async move {
                    compio::time::sleep(delay).await;
                    fake.carry_out(index)
                });
                let (sender, receiver) = futures_channel::oneshot::channel();
                compio::runtime::spawn(async move {
                    // Fails if the connection was closed.
                    let _ = sender.send(task.await.ok().flatten());
                })
                .detach();
                receiver.await.ok().flatten()
            }
            Some(CloudFault::CarriedOutAfter(delay)) => {
                let fake = self.clone();
                compio::runtime::spawn(async move {
                    compio::time::sleep(delay).await;
                    let _ = fake.carry_out(index);
                })
                .detach();
                None
            }
        }
    }

    fn record(&self, call: CloudCall) -> (usize, Option<CloudFault>) {
        let mut state = self.state.borrow_mut();
        state.calls.push(call);
        let fault = state.next_faults.pop_front().or(state.fault);
        (state.calls.len() - 1, fault)
    }

    fn is_throttled(&self, index: usize) -> bool {
        let Some(rate) = self.call_rate.get() else { return false };
        let calls = &self.state.borrow().calls;
        let arrived_at = calls[index].arrived_at;
        let is_recent =
            |call: &&CloudCall| arrived_at.duration_since(call.arrived_at) < RATE_WINDOW;
        calls[..=index].iter().filter(is_recent).count() > rate
    }

    fn refuse(&self, index: usize, status: u16) -> Reply {
        self.state.borrow_mut().calls[index].decision = Some((status, Instant::now()));
        empty_reply(status)
    }

    /// Carries a call out unless a higher token was seen.
    fn carry_out(&self, index: usize) -> Reply {
        let mut state = self.state.borrow_mut();
        let call = state.calls[index].clone();
        let highest = state.tokens.entry((call.path.clone(), call.subject.clone())).or_default();
        if self.is_fencing.get() && call.token < *highest {
            drop(state);
            return self.refuse(index, 409);
        }
        *highest = (*highest).max(call.token);
        if call.path == SCALE_PATH {
            let body: Value = serde_json::from_str(&call.body).unwrap_or_default();
            let ordered = body["desired"].as_u64().unwrap_or(0);
            let (min, max) = self.bounds.get().unwrap_or((0, u64::MAX));
            state.desired.insert(call.subject, ordered.clamp(min, max));
        }
        state.calls[index].decision = Some((200, Instant::now()));
        empty_reply(200)
    }
}

fn parse_call(path: &str, headers: &HeaderMap, body: String) -> Option<CloudCall> {
    let header = |name: &str| headers.get(name)?.to_str().ok();
    let value: Value = serde_json::from_str(&body).ok()?;
    let subject = match path {
        USAGE_PATH => {
            value["window_id"].as_u64()?;
            value["counts"].as_object()?;
            String::new()
        }
        SCALE_PATH => {
            value["desired"].as_u64()?;
            format!("{}/{}", value["service"].as_str()?, value["zone"].as_str()?)
        }
        _ => return None,
    };
    Some(CloudCall {
        path: path.to_owned(),
        subject,
        holder: header(HOLDER)?.to_owned(),
        token: header(FENCING_TOKEN)?.parse().ok()?,
        body,
        arrived_at: Instant::now(),
        decision: None,
    })
}

/// Usage windows for which two different bodies were carried out.
fn different_reports(carried_out: &[(Instant, &CloudCall)]) -> Vec<String> {
    let mut bodies: BTreeMap<u64, &str> = BTreeMap::new();
    let mut violations = Vec::new();
    for (_, call) in carried_out.iter().filter(|(_, call)| call.path == USAGE_PATH) {
        let value: Value = serde_json::from_str(&call.body).unwrap_or_default();
        let window = value["window_id"].as_u64().unwrap_or(0);
        let first = bodies.entry(window).or_insert(&call.body);
        if *first != call.body {
            violations.push(format!("window {window}: {first} and {}", call.body));
        }
    }
    violations
}

/// Tokens that two nodes sent for the same duty and subject.
fn shared_tokens(calls: &[CloudCall]) -> Vec<String> {
    let mut holders: BTreeMap<(&str, &str, u64), &str> = BTreeMap::new();
    let mut violations = Vec::new();
    for call in calls {
        let key = (&*call.path, &*call.subject, call.token);
        let first = holders.entry(key).or_insert(&call.holder);
        if *first != call.holder {
            violations.push(format!("{key:?}: sent by {first} and {}", call.holder));
        }
    }
    violations
}

/// Calls that arrived with a lower token than an earlier one of the same duty and subject.
fn lower_tokens(calls: &[CloudCall]) -> Vec<String> {
    let mut highest: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for call in calls {
        let seen = highest.entry((&call.path, &call.subject)).or_default();
        if call.token < *seen {
            violations.push(format!("{} {}: {} after {seen}", call.path, call.subject, call.token));
        }
        *seen = (*seen).max(call.token);
    }
    violations
}

/// Calls of a holder that came within `lease` of an earlier one of its own, with another holder's
/// call of the same duty and subject in between.
fn returned_holders(timed_calls: &[(Instant, &CloudCall)], lease: Duration) -> Vec<String> {
    let mut sorted = timed_calls.to_vec();
    sorted.sort_by_key(|(at, _)| *at);
    let mut violations = Vec::new();
    for (index, (at, call)) in sorted.iter().enumerate() {
        let earlier = sorted[..index].iter().rev().filter(|(_, other)| other.has_subject_of(call));
        let mut is_other_between = false;
        for (other_at, other) in earlier {
            match other.holder == call.holder {
                true if is_other_between && at.duration_since(*other_at) <= lease => {
                    violations.push(format!(
                        "{} {}: {} is back within the lease",
                        call.path, call.subject, call.holder
                    ));
                    break;
                }
                true if is_other_between => break,
                true => {}
                false => is_other_between = true,
            }
        }
    }
    violations
}
