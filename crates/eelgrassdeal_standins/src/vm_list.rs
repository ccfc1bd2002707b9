//! Stand-in for the platform's list of VMs, with a lag.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::HeaderValue;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use crate::fault::FaultSwitch;
use crate::server::{Reply, ServerHandle, empty_reply, json_reply, serve_fake};

#[derive(Default)]
struct ListState {
    shown: BTreeMap<String, String>,
    /// Changes that the list does not show yet.
    pending: VecDeque<(Instant, String, Option<String>)>,
}

/// Answers given so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VmListStats {
    /// Answers with the whole list.
    pub full_replies: u64,
    /// Answers that the list has not changed.
    pub unchanged_replies: u64,
    /// Bytes of all bodies.
    pub body_bytes: u64,
}

/// A list of VMs that shows changes late.
#[derive(Clone, Default)]
pub struct VmListFake {
    state: Rc<RefCell<ListState>>,
    stats: Rc<Cell<VmListStats>>,
    lag: Duration,
    faults: FaultSwitch,
}

impl VmListFake {
    /// An empty list without lag.
    pub fn new() -> Self {
        Self::default()
    }

    /// Shows changes only after `lag`.
    pub fn with_lag(mut self, lag: Duration) -> Self {
        self.lag = lag;
        self
    }

    /// Switches faults.
    pub fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    /// Answers so far.
    pub fn stats(&self) -> VmListStats {
        self.stats.get()
    }

    /// Sets the state of a VM (`live` or `leaving`), or removes it.
    pub fn set(&self, vm: &str, state: Option<&str>) {
        let due = Instant::now() + self.lag;
        let change = (due, vm.to_owned(), state.map(str::to_owned));
        self.state.borrow_mut().pending.push_back(change);
    }

    /// Serves the list on `listen`. `PUT` of `{"vm": "...", "state": "leaving"}` changes it; a null
    /// state removes the VM. `GET` answers 304 to an `If-None-Match` with the current `ETag`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn serve(&self, listen: SocketAddr) -> io::Result<ServerHandle> {
        serve_fake(listen, self, |fake, request| async move { fake.answer(request).await }).await
    }

    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Reply {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let known_tag = request.headers().get("if-none-match").cloned();
        let body = request.into_body().collect().await.ok()?.to_bytes();
        if path == "/faults" {
            self.faults.set_json(&serde_json::from_slice(&body).ok()?);
            return empty_reply(204);
        }
        let plan = self.faults.plan();
        if plan.is_down {
            return None;
        }
        if !plan.delay.is_zero() {
            compio::time::sleep(plan.delay).await;
        }
        if method == Method::PUT {
            let change: Value = serde_json::from_slice(&body).ok()?;
            self.set(change["vm"].as_str()?, change["state"].as_str());
            return empty_reply(204);
        }
        self.show_due_changes();
        self.list_reply(known_tag)
    }

    fn list_reply(&self, known_tag: Option<HeaderValue>) -> Reply {
        let state = self.state.borrow();
        let vms: Vec<Value> =
            state.shown.iter().map(|(vm, shown)| json!({ "vm": vm, "state": shown })).collect();
        let body = json!({ "vms": vms }).to_string();
        let tag = list_tag(&body);
        let mut stats = self.stats.get();
        let mut reply = match known_tag.is_some_and(|known_tag| known_tag == tag) {
            true => {
                stats.unchanged_replies += 1;
                empty_reply(304)?
            }
            false => {
                stats.full_replies += 1;
                stats.body_bytes += body.len() as u64;
                json_reply(200, &json!({ "vms": vms }))?
            }
        };
        self.stats.set(stats);
        reply.headers_mut().insert("etag", HeaderValue::from_str(&tag).ok()?);
        Some(reply)
    }

    fn show_due_changes(&self) {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        while state.pending.front().is_some_and(|(due, _, _)| *due <= now) {
            match state.pending.pop_front() {
                Some((_, vm, Some(shown))) => {
                    state.shown.insert(vm, shown);
                }
                Some((_, vm, None)) => {
                    state.shown.remove(&vm);
                }
                None => {}
            }
        }
    }
}

fn list_tag(body: &str) -> String {
    let digest = Sha256::digest(body);
    let digits: String = digest.iter().take(8).map(|byte| format!("{byte:02x}")).collect();
    format!("\"{digits}\"")
}
