//! What nodes of a large fleet tell each other of the requests that they placed for each client
//! account.

use std::sync::Arc;
use std::time::Instant;

use eelgrassdeal_dispatch::CountScope;
use eelgrassdeal_schema::gateway::AccountPlacements;
use eelgrassdeal_types::NodeId;

use crate::state::GatewayState;

/// Encodes the placements for a message of this scope. A small fleet exchanges none: its nodes keep
/// the order of their own queues.
pub(crate) fn encode_placements(
    state: &GatewayState,
    is_large: bool,
    scope: CountScope,
    recipient: Option<&NodeId>,
    now: Instant,
) -> Vec<AccountPlacements> {
    if !is_large {
        return Vec::new();
    }
    let placements = state.waiting.fleet_turns().placements_for(scope, recipient, now);
    let encode = |(account, placed): (Option<Arc<str>>, f64)| AccountPlacements {
        account: account.map(|account| account.to_string()),
        placed: placed as f32,
    };
    placements.into_iter().map(encode).collect()
}

/// Adopts the placements in a message of `node`.
pub(crate) fn adopt_placements(
    state: &GatewayState,
    is_large: bool,
    (node, scope): (&NodeId, CountScope),
    placements: Vec<AccountPlacements>,
    now: Instant,
) {
    if !is_large {
        return;
    }
    let decode = |entry: AccountPlacements| (entry.account.map(Arc::from), f64::from(entry.placed));
    let counts = placements.into_iter().map(decode).collect();
    let mut turns = state.waiting.fleet_turns();
    turns.set_peer(node, scope, counts, now);
    metrics::gauge!("eelgrassdeal_accounts_over_share").set(turns.over_share_count() as f64);
}
