//! Rate limits that upstreams name in their responses: recorded, logged, and told to other nodes. The
//! decisions are those of [`LimitTracker`].
//!
//! [`LimitTracker`]: eelgrassdeal_dispatch::LimitTracker

use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{EndedLimit, LimitChange, UpstreamRecord};
use eelgrassdeal_platform::LimitNotice;
use eelgrassdeal_types::UpstreamId;

use crate::state::GatewayState;

/// Shortest time between two log lines on limits that cannot be read.
const UNREADABLE_LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(10);

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
    log_limit_change(&record.upstream, change, per_s, request_id);
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
    let logged_at = state.unreadable_limit_logged_at.get();
    if logged_at.is_none_or(|at| now.duration_since(at) >= UNREADABLE_LIMIT_LOG_INTERVAL) {
        state.unreadable_limit_logged_at.set(Some(now));
        log::warn!(
            "event=limit_unreadable upstream={upstream} reason=\"server-limit is no number of requests a second\""
        );
    }
}
