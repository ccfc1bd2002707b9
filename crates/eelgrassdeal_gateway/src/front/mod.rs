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
use eelgrassdeal_http::RequestBody;
use hyper::Request;
use hyper::header::{CONNECTION, HeaderValue};

use crate::server::{Reply, RequestHandler};
use crate::state::{GatewayState, InFlightGuard};
use call::GatewayCall;

/// Handles requests of callers, on the listener `listen.front`.
pub(crate) struct FrontHandler {
    state: Rc<GatewayState>,
}

impl FrontHandler {
    pub(crate) fn new(state: Rc<GatewayState>) -> Self {
        Self { state }
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

    fn head_limits(&self) -> (Duration, usize) {
        let limits = self.state.config().map_or_else(CallerLimits::default, |config| config.limits);
        // The idle timeout is also the header timeout, in place of `CallerLimits::header_timeout`:
        // hyper measures the header timeout from the end of the previous request, so a shorter one
        // would close keep-alive connections.
        (limits.idle_timeout, limits.max_head_bytes)
    }
}
