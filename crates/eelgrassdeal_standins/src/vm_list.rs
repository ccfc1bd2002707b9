//! Stand-in for the platform's list of VMs, with a lag.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request};
use serde_json::{Value, json};

use crate::server::{Reply, ServerHandle, empty_reply, json_reply, serve_http};

#[derive(Default)]
struct ListState {
    shown: BTreeMap<String, String>,
    /// Changes that the list does not show yet.
    pending: VecDeque<(Instant, String, Option<String>)>,
}

/// A list of VMs that shows changes late.
#[derive(Clone, Default)]
pub struct VmListFake {
    state: Rc<RefCell<ListState>>,
    lag: Duration,
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

    /// Sets the state of a VM (`live` or `leaving`), or removes it.
    pub fn set(&self, vm: &str, state: Option<&str>) {
        let due = Instant::now() + self.lag;
        let change = (due, vm.to_owned(), state.map(str::to_owned));
        self.state.borrow_mut().pending.push_back(change);
    }

    /// Serves the list on `listen`. `PUT` of `{"vm": "...", "state": "leaving"}` changes it; a null
    /// state removes the VM.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn serve(&self, listen: SocketAddr) -> io::Result<ServerHandle> {
        let fake = self.clone();
        serve_http(listen, move |request| {
            let fake = fake.clone();
            async move { fake.answer(request).await }
        })
        .await
    }

    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Reply {
        let method = request.method().clone();
        let body = request.into_body().collect().await.ok()?.to_bytes();
        if method == Method::PUT {
            let change: Value = serde_json::from_slice(&body).ok()?;
            self.set(change["vm"].as_str()?, change["state"].as_str());
            return empty_reply(204);
        }
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
        let vms: Vec<Value> =
            state.shown.iter().map(|(vm, shown)| json!({ "vm": vm, "state": shown })).collect();
        json_reply(200, &json!({ "vms": vms }))
    }
}
