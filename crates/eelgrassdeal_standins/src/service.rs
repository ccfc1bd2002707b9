//! Fake of an upstream of a plain service, that is, of an HTTP service that is not a model. Records
//! the calls that it executes.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eelgrassdeal_types::{StartId, new_start_id};
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::fault::FaultInjector;
use crate::server::{Reply, ServerHandle, empty_reply, json_reply, serve_fake};

/// A call that the service executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRun {
    /// Name of the call: the path without its leading `/`.
    pub call: String,
    /// Value of the `idempotency-key` header, if the call had one.
    pub idempotency_key: Option<String>,
    /// Value of the `x-request-id` header; empty if it was missing.
    pub request_id: String,
    /// Body of the call, with invalid UTF-8 replaced.
    pub body: String,
}

/// An upstream of a plain service that executes no real work. Clones share the state.
#[derive(Clone)]
pub struct ServiceFake {
    start_id: Rc<RefCell<StartId>>,
    runs: Rc<RefCell<Vec<ServiceRun>>>,
    running: Rc<Cell<u32>>,
    peak_running: Rc<Cell<u32>>,
    work_time: Rc<Cell<Duration>>,
    faults: FaultInjector,
}

impl Default for ServiceFake {
    fn default() -> Self {
        Self {
            start_id: Rc::new(RefCell::new(new_start_id())),
            runs: Rc::default(),
            running: Rc::default(),
            peak_running: Rc::default(),
            work_time: Rc::default(),
            faults: FaultInjector::new(),
        }
    }
}

impl ServiceFake {
    /// Creates a service that responds without delay.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the processing time of each call.
    pub fn with_work_time(self, work_time: Duration) -> Self {
        self.work_time.set(work_time);
        self
    }

    /// Fault injection for this service. A call with a lost response is executed before its
    /// connection is closed. Only lost responses, the outage and the delay have an effect.
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Calls whose execution began, in order of arrival.
    pub fn runs(&self) -> Vec<ServiceRun> {
        self.runs.borrow().clone()
    }

    /// Largest number of calls that ran concurrently.
    pub fn peak_running(&self) -> u32 {
        self.peak_running.get()
    }

    /// Changes the start identity, as a restart would.
    pub fn restart(&self) {
        *self.start_id.borrow_mut() = new_start_id();
    }

    /// Serves calls on `listen`. Every path other than `/status`, `/log` and `/faults` is a call.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn serve(&self, listen: SocketAddr) -> io::Result<ServerHandle> {
        serve_fake(listen, self, |fake, request| async move { fake.handle(request).await }).await
    }

    async fn handle(&self, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let idempotency_key = header("idempotency-key");
        let request_id = header("x-request-id").unwrap_or_default();
        let plan = self.faults.plan();
        if plan.is_down && path != "/faults" {
            return None;
        }
        match path.as_str() {
            "/status" => {
                let start_id = self.start_id.borrow().to_string();
                let body = json!({ "start_id": start_id, "state": "ready", "running": self.running.get() });
                return json_reply(200, &body);
            }
            "/log" => {
                let runs: Vec<Value> = self
                    .runs
                    .borrow()
                    .iter()
                    .map(|run| json!({ "call": run.call, "key": run.idempotency_key, "id": run.request_id }))
                    .collect();
                return json_reply(200, &json!({ "runs": runs }));
            }
            _ => {}
        }
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let body = String::from_utf8_lossy(&body).into_owned();
        if path == "/faults" {
            self.faults.set_from_json(&serde_json::from_str(&body).ok()?);
            return empty_reply(204);
        }
        self.running.set(self.running.get() + 1);
        self.peak_running.set(self.peak_running.get().max(self.running.get()));
        let run = ServiceRun { call: path[1..].to_owned(), idempotency_key, request_id, body };
        self.runs.borrow_mut().push(run);
        // Numbers the runs of this upstream from 1, so that each has a different receipt.
        let receipt = self.runs.borrow().len();
        compio::time::sleep(self.work_time.get() + plan.delay).await;
        self.running.set(self.running.get() - 1);
        match self.faults.consume_lost_response() {
            true => None,
            false => json_reply(200, &json!({ "receipt": receipt })),
        }
    }
}
