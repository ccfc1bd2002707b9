//! Requests on the peer listener: messages and relayed orders of other nodes, and queries for
//! metrics.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassdeal_http::{RequestBody, ServerTimeouts};
use eelgrassdeal_schema::gateway::{RelayedOrder, SyncMessage};
use eelgrassdeal_schema::{decode_message, encode_message};
use http_body_util::{BodyExt, Limited};
use hyper::{Request, StatusCode};
use prost::Message;

use super::{MAX_MESSAGE_BYTES, RELAY_PATH, SYNC_PATH, message, relay};
use crate::metrics_export::render_metrics;
use crate::server::{Reply, RequestHandler, full_reply};
use crate::state::GatewayState;

const METRICS_PATH: &str = "/metrics";
const MAX_HEADER_BYTES: usize = 8 * 1024;
/// Time after which another node's connection without a request is closed. Nodes exchange messages several
/// times a second, so that a connection which is idle for longer may lead to a node that is lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const PROTOBUF_CONTENT_TYPE: &str = "application/x-protobuf";
const TEXT_CONTENT_TYPE: &str = "text/plain";

/// Handles the requests on the peer listener.
pub(crate) struct PeerHandler {
    state: Rc<GatewayState>,
}

impl PeerHandler {
    pub(crate) fn new(state: Rc<GatewayState>) -> Self {
        Self { state }
    }

    /// Applies a message of another node and replies with one.
    async fn handle_sync(&self, body: RequestBody) -> Reply {
        match read_message::<SyncMessage>(body).await {
            Ok(sync) => {
                let (role, node, versions) = message::apply_message(&self.state, sync, None);
                let recipient = (role, Some(&node));
                let reply = message::build_message(&self.state, &node, recipient, Some(&versions));
                protobuf_reply(encode_message(&reply))
            }
            Err(reply) => reply,
        }
    }

    /// Sends a relayed order to its upstream and replies with the outcome.
    async fn handle_relay(&self, body: RequestBody) -> Reply {
        match read_message::<RelayedOrder>(body).await {
            Ok(order) => protobuf_reply(encode_message(
                &relay::execute_relayed_order(&self.state, order).await,
            )),
            Err(reply) => reply,
        }
    }
}

impl RequestHandler for PeerHandler {
    async fn handle(self: Rc<Self>, request: Request<RequestBody>) -> Reply {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            SYNC_PATH => self.handle_sync(request.into_body()).await,
            RELAY_PATH => self.handle_relay(request.into_body()).await,
            METRICS_PATH => full_reply(
                StatusCode::OK,
                TEXT_CONTENT_TYPE,
                Bytes::from(render_metrics(&self.state)),
            ),
            _ => error_reply(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn timeouts(&self) -> ServerTimeouts {
        ServerTimeouts { idle: IDLE_TIMEOUT, head: HEADER_TIMEOUT }
    }

    fn max_head_bytes(&self) -> usize {
        MAX_HEADER_BYTES
    }
}

/// Reads and decodes a message.
///
/// # Errors
///
/// The error response, if the message is incomplete or malformed.
async fn read_message<M: Message + Default>(body: RequestBody) -> Result<M, Reply> {
    let Ok(collected) = Limited::new(body, MAX_MESSAGE_BYTES).collect().await else {
        return Err(error_reply(StatusCode::BAD_REQUEST, "the message is incomplete or too large"));
    };
    decode_message(&collected.to_bytes()).map_err(|error| {
        log::warn!("event=peer_unreadable reason=\"{error}\"");
        error_reply(StatusCode::BAD_REQUEST, "the message cannot be decoded")
    })
}

fn protobuf_reply(body: Bytes) -> Reply {
    full_reply(StatusCode::OK, PROTOBUF_CONTENT_TYPE, body)
}

fn error_reply(status: StatusCode, text: &'static str) -> Reply {
    full_reply(status, TEXT_CONTENT_TYPE, Bytes::from_static(text.as_bytes()))
}
