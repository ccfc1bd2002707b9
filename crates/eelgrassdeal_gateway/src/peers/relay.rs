//! Orders that another node gives on behalf of the planner.
//!
//! A head that the planner cannot reach may still serve other nodes. Its group is taken apart only
//! once it has left, or once no node reaches it.

use std::sync::Arc;

use eelgrassdeal_dispatch::{OrderKind, OrderOutcome, UpstreamOrder};
use eelgrassdeal_http::SendFailure;
use eelgrassdeal_schema::gateway::{
    RelayedClose, RelayedLeave, RelayedOrder, RelayedOutcome, relayed_order,
};
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_types::FencingNumber;
use std::time::Instant;

use super::{RELAY_PATH, RELAY_TIMEOUT, try_peer};
use crate::state::GatewayState;

/// Outcomes by their number in messages.
const OUTCOMES: [OrderOutcome; 7] = [
    OrderOutcome::Accepted,
    OrderOutcome::Conflict,
    OrderOutcome::Outdated,
    OrderOutcome::Gone,
    OrderOutcome::Unreachable,
    OrderOutcome::Unknown,
    OrderOutcome::PartlyUnreachable,
];

/// Lets the other nodes give an order to close or leave. [`OrderOutcome::Unreachable`] only if every
/// node that may run answered that it did not reach the upstream.
pub(crate) async fn relay_order(
    state: &GatewayState,
    order: &UpstreamOrder,
    fencing: FencingNumber,
) -> OrderOutcome {
    let Some(message) = encode_order(order, fencing) else { return OrderOutcome::Unknown };
    let body = encode_message(&message);
    let peers = state.directory.borrow().possible_peers(Instant::now());
    let calls =
        peers.iter().map(|peer| try_peer(state, peer, RELAY_PATH, body.clone(), RELAY_TIMEOUT));
    let answers = futures_util::future::join_all(calls).await;
    // Where nothing listens there is no node any more.
    let is_complete =
        answers.iter().all(|answer| matches!(answer, Ok(_) | Err(SendFailure::Refused)));
    let outcomes = answers.into_iter().flatten().map(|answer| decode_outcome(&answer.body));
    let reached = outcomes
        .filter(|outcome| *outcome != OrderOutcome::Unreachable)
        .min_by_key(|outcome| outcome_number(*outcome));
    match (reached, is_complete) {
        (Some(outcome), _) => outcome,
        (None, true) => OrderOutcome::Unreachable,
        (None, false) => OrderOutcome::PartlyUnreachable,
    }
}

/// Gives an order on behalf of the planner.
pub(super) async fn give_relayed(state: &GatewayState, message: RelayedOrder) -> RelayedOutcome {
    let fencing = message.fencing;
    let outcome = match decode_order(message) {
        Some(order) => state.orders.give(&order, fencing).await,
        None => OrderOutcome::Unreachable,
    };
    RelayedOutcome { outcome: outcome_number(outcome) }
}

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

fn outcome_number(outcome: OrderOutcome) -> u32 {
    OUTCOMES.iter().position(|known| *known == outcome).unwrap_or(OUTCOMES.len() - 1) as u32
}

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
