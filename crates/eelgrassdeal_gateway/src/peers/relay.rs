//! Relayed orders: the planner, the node that plans the groups, asks the other nodes to send a
//! close or leave order to an upstream on its behalf.
//!
//! A group is a set of upstreams that run one model together; its head VM is the member that
//! receives the requests. A head VM that the planner cannot reach may still serve requests of other
//! nodes. Its group is torn down only after the head VM has left it, or if no node can reach the
//! head VM.

use std::sync::Arc;

use eelgrassdeal_dispatch::{OrderKind, OrderOutcome, UpstreamOrder};
use eelgrassdeal_http::SendFailure;
use eelgrassdeal_schema::gateway::{
    RelayedClose, RelayedLeave, RelayedOrder, RelayedOutcome, relayed_order,
};
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_types::FencingNumber;
use std::time::Instant;

use super::{RELAY_PATH, RELAY_TIMEOUT, send_to_peer};
use crate::notice::send_order;
use crate::state::GatewayState;

/// Outcomes in the order of their numbers in messages. If the nodes' outcomes differ,
/// [`relay_order`] returns the one with the lowest number, disregarding
/// [`OrderOutcome::Unreachable`].
const OUTCOMES: [OrderOutcome; 7] = [
    OrderOutcome::Accepted,
    OrderOutcome::Conflict,
    OrderOutcome::Outdated,
    OrderOutcome::Gone,
    OrderOutcome::Unreachable,
    OrderOutcome::Unknown,
    OrderOutcome::PartlyUnreachable,
];

/// Makes the other nodes send a close or leave order to its upstream, and combines their outcomes.
/// The result is [`OrderOutcome::Unreachable`] only if every node that may be running replied that
/// it could not reach the upstream.
pub(crate) async fn relay_order(
    state: &GatewayState,
    order: &UpstreamOrder,
    fencing: FencingNumber,
) -> OrderOutcome {
    let Some(message) = encode_order(order, fencing) else { return OrderOutcome::Unknown };
    let body = encode_message(&message);
    let peers = state.directory.borrow().possibly_running_peers(Instant::now());
    let calls =
        peers.iter().map(|peer| send_to_peer(state, peer, RELAY_PATH, body.clone(), RELAY_TIMEOUT));
    let answers = futures_util::future::join_all(calls).await;
    // A refused connection means that no node runs at the address, so no reply is missing.
    let is_complete =
        answers.iter().all(|answer| matches!(answer, Ok(_) | Err(SendFailure::Refused)));
    let outcomes = answers.into_iter().flatten().map(|answer| decode_outcome(&answer.body));
    let lowest_outcome = outcomes
        .filter(|outcome| *outcome != OrderOutcome::Unreachable)
        .min_by_key(|outcome| outcome_number(*outcome));
    match (lowest_outcome, is_complete) {
        (Some(outcome), _) => outcome,
        (None, true) => OrderOutcome::Unreachable,
        (None, false) => OrderOutcome::PartlyUnreachable,
    }
}

/// Sends a relayed order to its upstream on behalf of the planner.
pub(super) async fn execute_relayed_order(
    state: &GatewayState,
    message: RelayedOrder,
) -> RelayedOutcome {
    let fencing = message.fencing;
    let outcome = match decode_order(message) {
        Some(order) => send_order(state, &order, fencing).await,
        // This node does not know the kind of order. It sends nothing to the upstream and replies
        // as if it could not reach it.
        None => OrderOutcome::Unreachable,
    };
    RelayedOutcome { outcome: outcome_number(outcome) }
}

/// Returns `None` for an order that cannot be relayed: one other than close or leave, or without a
/// group.
fn encode_order(order: &UpstreamOrder, fencing: FencingNumber) -> Option<RelayedOrder> {
    let kind = match order.kind {
        OrderKind::Close { is_cut } => relayed_order::Kind::Close(RelayedClose { is_cut }),
        OrderKind::Leave => relayed_order::Kind::Leave(RelayedLeave {}),
        _ => return None,
    };
    let (group, generation) = order.group.as_ref()?;
    Some(RelayedOrder {
        upstream: order.upstream.to_string(),
        address: order.address.to_string(),
        group: group.to_string(),
        generation: *generation,
        fencing,
        kind: Some(kind),
    })
}

/// Returns `None` if the message has no kind of order that this node knows.
fn decode_order(message: RelayedOrder) -> Option<UpstreamOrder> {
    let kind = match message.kind? {
        relayed_order::Kind::Close(close) => OrderKind::Close { is_cut: close.is_cut },
        relayed_order::Kind::Leave(_) => OrderKind::Leave,
    };
    Some(UpstreamOrder {
        upstream: Arc::from(message.upstream),
        address: Arc::from(message.address),
        group: Some((Arc::from(message.group), message.generation)),
        kind,
    })
}

/// Number of an outcome in messages. `OUTCOMES` contains every outcome: the fallback is not used.
fn outcome_number(outcome: OrderOutcome) -> u32 {
    OUTCOMES.iter().position(|other| *other == outcome).unwrap_or(OUTCOMES.len() - 1) as u32
}

/// Decodes the outcome in a reply; [`OrderOutcome::Unknown`] if the reply cannot be decoded.
fn decode_outcome(answer: &[u8]) -> OrderOutcome {
    let message = match decode_message::<RelayedOutcome>(answer) {
        Ok(message) => message,
        Err(error) => {
            log::warn!("event=peer_unreadable reason=\"{error}\"");
            return OrderOutcome::Unknown;
        }
    };
    OUTCOMES.get(message.outcome as usize).copied().unwrap_or(OrderOutcome::Unknown)
}
