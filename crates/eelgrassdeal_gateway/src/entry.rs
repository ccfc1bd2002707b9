//! Locator and readiness.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_dispatch::NodeStage;
use eelgrassdeal_platform::{EntryCall, LOCATOR_CONTENT_TYPE, locator_body};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};

use crate::server::{Reply, RequestHandler, whole_reply};
use crate::state::GatewayState;

/// Lifetime of a locator answer. Some callers keep it three times as long, so a node that leaves
/// must take callers for a while.
const LOCATOR_LIFETIME: Duration = Duration::from_secs(2);
/// Locator and readiness requests have small heads.
const MAX_HEAD_BYTES: usize = 8 * 1024;
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
const TEXT: &str = "text/plain";

/// Answers the locator's and the readiness calls, on whichever address they arrive.
pub(crate) struct EntryHandler {
    state: Rc<GatewayState>,
}

impl EntryHandler {
    pub(crate) fn new(state: Rc<GatewayState>) -> Self {
        Self { state }
    }

    fn locate(&self) -> Reply {
        let fronts = self.state.directory.borrow().serving_fronts(Instant::now());
        if fronts.is_empty() {
            let body = Bytes::from_static(b"no node takes requests now");
            return whole_reply(StatusCode::SERVICE_UNAVAILABLE, TEXT, body);
        }
        let lifetime = LOCATOR_LIFETIME.min(self.state.settings().bounds.max_locator_lifetime);
        let body = Bytes::from(locator_body(&fronts, lifetime));
        whole_reply(StatusCode::OK, LOCATOR_CONTENT_TYPE, body)
    }

    fn readiness(&self) -> Reply {
        let (status, text) = match self.state.stage.get() {
            NodeStage::Serving => (StatusCode::OK, "ready"),
            NodeStage::Starting => (StatusCode::SERVICE_UNAVAILABLE, "starting"),
            NodeStage::Leaving => (StatusCode::SERVICE_UNAVAILABLE, "leaving"),
        };
        whole_reply(status, TEXT, Bytes::from_static(text.as_bytes()))
    }
}

impl RequestHandler for EntryHandler {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        match EntryCall::of(request.method(), request.uri().path()) {
            EntryCall::Locate => self.locate(),
            EntryCall::Readiness => self.readiness(),
            EntryCall::Unknown => {
                whole_reply(StatusCode::NOT_FOUND, TEXT, Bytes::from_static(b"no such call"))
            }
        }
    }

    fn head_limits(&self) -> (Duration, usize) {
        (HEAD_TIMEOUT, MAX_HEAD_BYTES)
    }
}
