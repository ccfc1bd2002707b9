//! Request handler of the locator and readiness addresses.
//!
//! The locator tells callers which nodes accept requests; the readiness check tells whether this
//! node does.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_dispatch::NodeStage;
use eelgrassdeal_http::{RequestBody, ServerTimeouts};
use eelgrassdeal_platform::{
    LOCATOR_CONTENT_TYPE, LocatorEndpoint, MAX_LOCATED_ADDRESSES, caller_data_centre, locator_body,
};
use hyper::{Request, StatusCode};

use crate::server::{Reply, RequestHandler, full_reply};
use crate::state::GatewayState;

/// Time for which callers may cache a locator response, unless `max_locator_ttl` is shorter. A
/// leaving node keeps accepting requests for `DRAIN_ACCEPT_PERIOD`, which is longer than this time.
/// Some callers cache the response for three times as long, which this period covers only if
/// `max_locator_ttl` is at most a third of it.
const LOCATOR_TTL: Duration = Duration::from_secs(2);
/// Largest request head; locator and readiness requests have small ones.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Time after which a connection without a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum time until a request head is received.
const HEAD_TIMEOUT: Duration = Duration::from_secs(4);
/// Content type of readiness and error responses.
const TEXT: &str = "text/plain";

/// Answers locator and readiness requests. Both addresses accept both kinds of request.
pub(crate) struct LocatorHandler {
    state: Rc<GatewayState>,
}

impl LocatorHandler {
    pub(crate) fn new(state: Rc<GatewayState>) -> Self {
        Self { state }
    }

    fn locate(&self, query: Option<&str>) -> Reply {
        let settings = self.state.settings();
        let data_centre = caller_data_centre(query).unwrap_or(&settings.data_centre);
        let fronts = self.state.directory.borrow().located_front_addresses(
            data_centre,
            MAX_LOCATED_ADDRESSES,
            Instant::now(),
        );
        if fronts.is_empty() {
            let body = Bytes::from_static(b"no node is accepting requests");
            return full_reply(StatusCode::SERVICE_UNAVAILABLE, TEXT, body);
        }
        let ttl = LOCATOR_TTL.min(settings.limits.max_locator_ttl);
        let body = Bytes::from(locator_body(&fronts, ttl));
        full_reply(StatusCode::OK, LOCATOR_CONTENT_TYPE, body)
    }

    fn readiness(&self) -> Reply {
        let (status, text) = match self.state.stage.get() {
            NodeStage::Serving => (StatusCode::OK, "ready"),
            NodeStage::Starting => (StatusCode::SERVICE_UNAVAILABLE, "starting"),
            NodeStage::Leaving => (StatusCode::SERVICE_UNAVAILABLE, "leaving"),
        };
        full_reply(status, TEXT, Bytes::from_static(text.as_bytes()))
    }
}

impl RequestHandler for LocatorHandler {
    async fn handle(self: Rc<Self>, request: Request<RequestBody>) -> Reply {
        match LocatorEndpoint::for_request(request.method(), request.uri().path()) {
            LocatorEndpoint::Locate => self.locate(request.uri().query()),
            LocatorEndpoint::Readiness => self.readiness(),
            LocatorEndpoint::Unknown => {
                full_reply(StatusCode::NOT_FOUND, TEXT, Bytes::from_static(b"not found"))
            }
        }
    }

    fn timeouts(&self) -> ServerTimeouts {
        ServerTimeouts { idle: IDLE_TIMEOUT, head: HEAD_TIMEOUT }
    }

    fn max_head_bytes(&self) -> usize {
        MAX_HEAD_BYTES
    }
}
