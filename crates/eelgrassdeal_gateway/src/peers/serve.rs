//! Answers to other nodes, and metrics.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassdeal_schema::gateway::{RelayedOrder, SyncMessage};
use eelgrassdeal_schema::{decode_message, encode_message};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use prost::Message;

use super::{MAX_ANSWER_BYTES, RELAY_PATH, SYNC_PATH, message, relay};
use crate::observe::render_metrics;
use crate::server::{Reply, RequestHandler, whole_reply};
use crate::state::GatewayState;

const METRICS_PATH: &str = "/metrics";
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Other nodes keep their connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
const BINARY: &str = "application/x-protobuf";
const TEXT: &str = "text/plain";

/// Answers other nodes.
pub(crate) struct PeerHandler {
    state: Rc<GatewayState>,
}

impl PeerHandler {
    pub(crate) fn new(state: Rc<GatewayState>) -> Self {
        Self { state }
    }

    async fn sync(&self, body: Incoming) -> Reply {
        match read_message::<SyncMessage>(body).await {
            Ok(sync) => {
                let (role, node, versions) = message::take_message(&self.state, sync, None);
                let recipient = (role, Some(&node));
                let reply = message::message_to(&self.state, &node, recipient, Some(&versions));
                binary_reply(encode_message(&reply))
            }
            Err(reply) => reply,
        }
    }

    async fn relay(&self, body: Incoming) -> Reply {
        match read_message::<RelayedOrder>(body).await {
            Ok(order) => {
                binary_reply(encode_message(&relay::give_relayed(&self.state, order).await))
            }
            Err(reply) => reply,
        }
    }
}

impl RequestHandler for PeerHandler {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            SYNC_PATH => self.sync(request.into_body()).await,
            RELAY_PATH => self.relay(request.into_body()).await,
            METRICS_PATH => {
                whole_reply(StatusCode::OK, TEXT, Bytes::from(render_metrics(&self.state)))
            }
            _ => refusal(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn head_limits(&self) -> (Duration, usize) {
        (HEAD_TIMEOUT, MAX_HEAD_BYTES)
    }
}

/// Reads a message; the refusal if it cannot be read.
async fn read_message<M: Message + Default>(body: Incoming) -> Result<M, Reply> {
    let Ok(collected) = Limited::new(body, MAX_ANSWER_BYTES).collect().await else {
        return Err(refusal(StatusCode::BAD_REQUEST, "the message broke off"));
    };
    decode_message(&collected.to_bytes()).map_err(|error| {
        log::warn!("event=peer_unreadable reason=\"{error}\"");
        refusal(StatusCode::BAD_REQUEST, "the message cannot be read")
    })
}

fn binary_reply(body: Bytes) -> Reply {
    whole_reply(StatusCode::OK, BINARY, body)
}

fn refusal(status: StatusCode, text: &'static str) -> Reply {
    whole_reply(status, TEXT, Bytes::from_static(text.as_bytes()))
}
