//! Fake of the platform's VM list, which shows changes after a delay.

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

use crate::fault::FaultInjector;
use crate::server::{Reply, ServerHandle, empty_reply, json_reply, serve_fake};

#[derive(Default)]
struct ListState {
    /// State of each VM that the list shows, by VM id.
    visible: BTreeMap<String, String>,
    /// Changes that the list does not show yet: when it will show them, VM id, and the state or
    /// `None` if the VM is removed.
    pending: VecDeque<(Instant, String, Option<String>)>,
}

/// Counts of the responses of a [`VmListFake`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VmListStats {
    /// Responses with the complete list.
    pub full_replies: u64,
    /// Responses with status 304, which say that the list has not changed.
    pub unchanged_replies: u64,
    /// Total size of all response bodies.
    pub body_bytes: u64,
}

/// A VM list that shows changes after a delay. Clones share the list.
#[derive(Clone, Default)]
pub struct VmListFake {
    state: Rc<RefCell<ListState>>,
    stats: Rc<Cell<VmListStats>>,
    lag: Duration,
    faults: FaultInjector,
}

impl VmListFake {
    /// Creates an empty list that shows changes without delay.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the delay after which the list shows a change.
    pub fn with_lag(mut self, lag: Duration) -> Self {
        self.lag = lag;
        self
    }

    /// Fault injection for this list; only the outage and the delay have an effect.
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Counts of the responses since the start.
    pub fn stats(&self) -> VmListStats {
        self.stats.get()
    }

    /// Sets the state of a VM (`live` or `leaving`), or removes it if `state` is `None`.
    pub fn set(&self, vm: &str, state: Option<&str>) {
        let visible_at = Instant::now() + self.lag;
        let change = (visible_at, vm.to_owned(), state.map(str::to_owned));
        self.state.borrow_mut().pending.push_back(change);
    }

    /// Serves the list on `listen`. `PUT` of `{"vm": "...", "state": "leaving"}` changes it; a null
    /// state removes the VM. `GET` returns 304 if `If-None-Match` has the current `ETag`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn serve(&self, listen: SocketAddr) -> io::Result<ServerHandle> {
        serve_fake(listen, self, |fake, request| async move { fake.handle(request).await }).await
    }

    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Reply {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let known_etag = request.headers().get("if-none-match").cloned();
        let body = request.into_body().collect().await.ok()?.to_bytes();
        if path == "/faults" {
            self.faults.set_from_json(&serde_json::from_slice(&body).ok()?);
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
        self.apply_due_changes();
        self.list_reply(known_etag)
    }

    fn list_reply(&self, known_etag: Option<HeaderValue>) -> Reply {
        let state = self.state.borrow();
        let vms: Vec<Value> = state
            .visible
            .iter()
            .map(|(vm, vm_state)| json!({ "vm": vm, "state": vm_state }))
            .collect();
        let body = json!({ "vms": vms }).to_string();
        let tag = list_etag(&body);
        let mut stats = self.stats.get();
        let mut reply = match known_etag.is_some_and(|known_etag| known_etag == tag) {
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

    fn apply_due_changes(&self) {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        while state.pending.front().is_some_and(|(visible_at, _, _)| *visible_at <= now) {
            match state.pending.pop_front() {
                Some((_, vm, Some(vm_state))) => {
                    state.visible.insert(vm, vm_state);
                }
                Some((_, vm, None)) => {
                    state.visible.remove(&vm);
                }
                None => {}
            }
        }
    }
}

fn list_etag(body: &str) -> String {
    let digest = Sha256::digest(body);
    let digits: String = digest.iter().take(8).map(|byte| format!("{byte:02x}")).collect();
    format!("\"{digits}\"")
}
