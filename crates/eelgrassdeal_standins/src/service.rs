//! Stand-in for a plain service that counts what it runs.

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

use crate::fault::FaultSwitch;
use crate::server::{Reply, ServerHandle, empty_reply, json_reply, serve_fake};

/// One call that the service ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRun {
    /// Name of the call.
    pub call: String,
    /// Idempotency key, if the call had one.
    pub key: Option<String>,
    /// Request id.
    pub request_id: String,
    /// Body of the call.
    pub body: String,
}

/// A plain service in memory.
#[derive(Clone)]
pub struct ServiceFake {
    start_id: Rc<RefCell<StartId>>,
    runs: Rc<RefCell<Vec<ServiceRun>>>,
    running: Rc<Cell<u32>>,
    peak: Rc<Cell<u32>>,
    work_time: Rc<Cell<Duration>>,
    faults: FaultSwitch,
}

impl Default for ServiceFake {
    fn default() -> Self {
        Self {
            start_id: Rc::new(RefCell::new(new_start_id())),
            runs: Rc::default(),
            running: Rc::default(),
            peak: Rc::default(),
            work_time: Rc::default(),
            faults: FaultSwitch::new(),
        }
    }
}

impl ServiceFake {
    /// A service that answers at once.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes each call take `work_time`.
    pub fn with_work_time(self, work_time: Duration) -> Self {
        self.work_time.set(work_time);
        self
    }

    /// Switches faults. A lost answer is a call that runs and whose connection is then cut.
    pub fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    /// Calls that ran.
    pub fn runs(&self) -> Vec<ServiceRun> {
        self.runs.borrow().clone()
    }

    /// Most calls that ran at once.
    pub fn peak(&self) -> u32 {
        self.peak.get()
    }

    /// Takes a new start identity, as after a restart.
    pub fn restart(&self) {
        *self.start_id.borrow_mut() = new_start_id();
    }

    /// Serves calls on `listen`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn serve(&self, listen: SocketAddr) -> io::Result<ServerHandle> {
        serve_fake(listen, self, |fake, request| async move { fake.answer(request).await }).await
    }

    async fn answer(&self, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let key = header("idempotency-key");
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
                    .map(|run| json!({ "call": run.call, "key": run.key, "id": run.request_id }))
                    .collect();
                return json_reply(200, &json!({ "runs": runs }));
            }
            _ => {}
        }
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let body = String::from_utf8_lossy(&body).into_owned();
        if path == "/faults" {
            self.faults.set_json(&serde_json::from_str(&body).ok()?);
            return empty_reply(204);
        }
        self.running.set(self.running.get() + 1);
        self.peak.set(self.peak.get().max(self.running.get()));
        let run = ServiceRun { call: path[1..].to_owned(), key, request_id, body };
        self.runs.borrow_mut().push(run);
        let receipt = self.runs.borrow().len();
        compio::time::sleep(self.work_time.get() + plan.delay).await;
        self.running.set(self.running.get() - 1);
        match self.faults.take_lost_answer() {
            true => None,
            false => json_reply(200, &json!({ "receipt": receipt })),
        }
    }
}
