//! Requests of callers: routing, attempts on upstreams, and forwarding of the upstreams' responses.

mod attempt;
mod buffered;
mod call;
mod hold;
mod refusal;
mod stream;

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{CallerLimits, NodeStage};
use eelgrassdeal_http::{RequestBody, ServerTimeouts};
use hyper::Request;
use hyper::header::{CONNECTION, HeaderValue};

use crate::server::{Reply, RequestHandler};
use crate::state::{GatewayState, InFlightGuard};
use call::GatewayCall;

/// Added to the time that callers may take for a head, for what the network adds to it.
const HEAD_TRANSIT_MARGIN: Duration = Duration::from_secs(1);

/// Handles requests of callers, on the listener `listen.front`.
pub(crate) struct FrontHandler {
    state: Rc<GatewayState>,
}

impl FrontHandler {
    pub(crate) fn new(state: Rc<GatewayState>) -> Self {
        Self { state }
    }

    fn limits(&self) -> CallerLimits {
        self.state.config().map_or_else(CallerLimits::default, |config| config.limits)
    }

    async fn serve(&self, request: Request<RequestBody>) -> Reply {
        let received = Instant::now();
        let state = &self.state;
        state.has_traffic.set(true);
        let call = match GatewayCall::read(state, request, received).await {
            Ok(call) => Rc::new(call),
            Err(refusal) => return refusal.reply(),
        };
        state.record_request(&call.service, received);
        let result = match (call.check_quarantine(state), call.route.kind.is_stream()) {
            (Some(refusal), _) => Err(refusal),
            (None, true) => stream::handle(state, &call).await,
            (None, false) => buffered::handle(state, &call).await,
        };
        // Counted once the head of the reply is ready: as `answered` if an upstream's response is
        // forwarded, whatever its status and even if its stream is cut later, else under the error
        // kind. Requests that `GatewayCall::read` refuses are not counted.
        let (outcome, reply) = match result {
            Ok(reply) => ("answered", reply),
            Err(refusal) => (refusal.kind().name(), refusal.reply()),
        };
        metrics::counter!("eelgrassdeal_requests_total", "outcome" => outcome).increment(1);
        // Time until the head of the reply is ready: for a stream, once an upstream has sent its
        // response headers; otherwise, once its complete response was read.
        metrics::histogram!("eelgrassdeal_head_seconds").record(received.elapsed().as_secs_f64());
        reply
    }
}

impl RequestHandler for FrontHandler {
    async fn handle(self: Rc<Self>, request: Request<RequestBody>) -> Reply {
        let _in_flight = InFlightGuard::new(&self.state);
        let mut reply = self.serve(request).await;
        if self.state.stage.get() == NodeStage::Leaving {
            // Tells the caller not to reuse this connection, since this node is shutting down.
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    fn timeouts(&self) -> ServerTimeouts {
        let limits = self.limits();
        ServerTimeouts {
            idle: limits.idle_timeout,
            head: limits.header_timeout + HEAD_TRANSIT_MARGIN,
        }
    }

    fn max_head_bytes(&self) -> usize {
        self.limits().max_head_bytes
    }
}
