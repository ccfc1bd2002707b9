//! Rate limits that upstreams name in their responses: recorded, logged, and told to other nodes. The
//! decisions are those of [`LimitTracker`].
//!
//! [`LimitTracker`]: eelgrassdeal_dispatch::LimitTracker

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{EndedLimit, LimitChange, LimitHint, UpstreamRecord};
use eelgrassdeal_platform::LimitNotice;
use eelgrassdeal_schema::gateway::UpstreamLimit;
use eelgrassdeal_types::UpstreamId;

use crate::peers::millis;
use crate::state::GatewayState;

/// Records what the process of `record` says in a response about the rate at which it takes requests.
/// `has_succeeded` is whether the response is a signed success: others may lack the header.
pub(crate) fn record_limit(
    state: &GatewayState,
    record: &UpstreamRecord,
    notice: LimitNotice,
    has_succeeded: bool,
    request_id: &str,
) {
    let now = Instant::now();
    let per_s = match notice {
        LimitNotice::PerSecond(per_s) => Some(per_s),
        LimitNotice::Absent if has_succeeded => None,
        LimitNotice::Absent => return,
        LimitNotice::Unreadable => return log_unreadable_limit(state, &record.upstream, now),
    };
    let change = state.rate_limits.borrow_mut().record_response(record, per_s, now);
    if change != LimitChange::Unchanged {
        state.waiting.notify();
    }
    log_limit_change(&record.upstream, change, per_s, request_id);
}

/// A request of this node's share of a rate limit. It is given back if it is not used.
pub(crate) struct LimitShare {
    state: Rc<GatewayState>,
    record: Arc<UpstreamRecord>,
    is_used: bool,
}

impl LimitShare {
    /// Takes a request of the share, after [`GatewayState::has_limit_share`].
    pub(crate) fn take(state: &Rc<GatewayState>, record: &Arc<UpstreamRecord>) -> Self {
        state.rate_limits.borrow_mut().take(record);
        Self { state: state.clone(), record: record.clone(), is_used: false }
    }

    /// Records that the request is sent.
    pub(crate) fn use_up(mut self, is_repeat: bool) {
        self.is_used = true;
        self.state.rate_limits.borrow_mut().record_send(&self.record, is_repeat);
    }
}

impl Drop for LimitShare {
    fn drop(&mut self) {
        if !self.is_used {
            self.state.rate_limits.borrow_mut().give_back(&self.record);
        }
    }
}

/// Rate limits for a message to another node: all of them, or those that are new to this node.
pub(crate) fn encode_limits(
    state: &GatewayState,
    is_full: bool,
    now: Instant,
) -> Vec<UpstreamLimit> {
    let hints = state.rate_limits.borrow().hints(is_full, now);
    let encode = |hint: LimitHint| UpstreamLimit {
        upstream: hint.upstream.to_string(),
        start_time_ms: hint.start_time_ms,
        per_s: hint.per_s,
        age_ms: millis(hint.age),
    };
    hints.into_iter().map(encode).collect()
}

/// Adopts what another node heard of rate limits.
pub(crate) fn adopt_limits(state: &GatewayState, limits: Vec<UpstreamLimit>, now: Instant) {
    let view = state.view();
    for limit in limits {
        let Some(record) = view.upstreams.get(limit.upstream.as_str()) else { continue };
        let hint = LimitHint {
            upstream: record.upstream.clone(),
            start_time_ms: limit.start_time_ms,
            per_s: limit.per_s,
            age: Duration::from_millis(u64::from(limit.age_ms)),
        };
        let change = state.rate_limits.borrow_mut().adopt_hint(record, &hint, now);
        log_limit_change(&record.upstream, change, hint.per_s, "another node");
    }
}

/// Logs the limits of processes that are over, and forgets them.
pub(crate) fn expire_limits(state: &GatewayState) {
    let view = state.view();
    let find = |upstream: &UpstreamId| view.upstreams.get(upstream).map(|record| &**record);
    for ended in state.rate_limits.borrow_mut().expire(find, Instant::now()) {
        log_ended_limit(&ended);
    }
}

fn log_limit_change(upstream: &UpstreamId, change: LimitChange, per_s: Option<f64>, told_by: &str) {
    match change {
        LimitChange::Unchanged => {}
        LimitChange::Named => {
            let per_s = per_s.unwrap_or_default();
            log::info!("event=limit_named upstream={upstream} per_s={per_s} told_by=\"{told_by}\"");
            metrics::counter!("eelgrassdeal_named_limits_total").increment(1);
        }
        LimitChange::Ended(ended) => log_ended_limit(&ended),
    }
}

fn log_ended_limit(ended: &EndedLimit) {
    log::info!(
        "event=limit_ended upstream={} held_ms={} sent={} repeats={} reason=\"{}\"",
        ended.upstream,
        ended.held_for.as_millis(),
        ended.sends.total,
        ended.sends.repeats,
        ended.reason
    );
}

fn log_unreadable_limit(state: &GatewayState, upstream: &UpstreamId, now: Instant) {
    metrics::counter!("eelgrassdeal_unreadable_limits_total").increment(1);
    if state.unreadable_limit_log.is_due(now) {
        log::warn!(
            "event=limit_unreadable upstream={upstream} reason=\"server-limit is no number of requests a second\""
        );
    }
}
