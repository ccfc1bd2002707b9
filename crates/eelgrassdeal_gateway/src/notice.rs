//! What upstreams say of themselves in their responses: recorded, logged, and told to other nodes. The
//! decisions are those of [`NoticeTracker`].
//!
//! [`NoticeTracker`]: eelgrassdeal_dispatch::NoticeTracker

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{
    LeavingHint, NoticeCause, OrderOutcome, ProbeOutcome, ProbeTarget, UpstreamOrder,
    UpstreamRecord,
};
use eelgrassdeal_platform::UpstreamNotice;
use eelgrassdeal_schema::gateway::LeavingUpstream;
use eelgrassdeal_types::{FencingNumber, UpstreamId};

use crate::peers::millis;
use crate::state::GatewayState;

/// Records what the process of `record` says of itself in a response. `cause` names the request in the
/// log.
pub(crate) fn record_notice(
    state: &GatewayState,
    record: &UpstreamRecord,
    notice: UpstreamNotice,
    cause: &str,
) {
    let now = Instant::now();
    if notice.has_invalid_pause {
        log_invalid_pause(state, &record.upstream, now);
    }
    let mut notices = state.notices.borrow_mut();
    let is_refuted = !notice.is_leaving && notices.record_staying(record, now);
    let has_begun_to_leave = notice.is_leaving && notices.record_leaving(record, now);
    let has_paused =
        notice.pause.is_some_and(|pause| notices.record_pause(record, pause, rand::random(), now));
    drop(notices);
    if is_refuted {
        state.mirror.borrow_mut().reload_upstream(&record.upstream, now);
        log_taken_back(&record.upstream, NoticeCause::Leaving, None, "refuted by a response");
    }
    if has_begun_to_leave {
        log_set_aside(record, NoticeCause::Leaving, None, cause, now);
        state.drain_leaving_upstreams();
    }
    if has_paused {
        log_set_aside(record, NoticeCause::Paused, notice.pause, cause, now);
    }
}

/// Sends an order to an upstream, and records what the upstream says of itself.
pub(crate) async fn send_order(
    state: &GatewayState,
    order: &UpstreamOrder,
    fencing: FencingNumber,
) -> OrderOutcome {
    let (outcome, notice) = state.order_client.send_order(order, fencing).await;
    record_control_notice(state, &order.upstream, &order.address, notice, "order");
    outcome
}

/// Probes an upstream, and records what it says of itself. One that wants no requests has answered
/// shortly before, and is not asked again.
pub(crate) async fn probe(state: &GatewayState, target: &ProbeTarget) -> ProbeOutcome {
    let now = Instant::now();
    let record = find_record(state, &target.upstream, &target.address);
    if record.is_some_and(|record| state.notices.borrow().is_paused(&record, now)) {
        return ProbeOutcome::Alive;
    }
    let (outcome, notice) = state.order_client.probe(target).await;
    record_control_notice(state, &target.upstream, &target.address, notice, "probe");
    outcome
}

/// Logs the upstreams that are used again, and forgets their notices.
pub(crate) fn take_back_upstreams(state: &GatewayState) {
    let view = state.view();
    let find = |upstream: &UpstreamId| view.upstreams.get(upstream).map(|record| &**record);
    let taken_back = state.notices.borrow_mut().expire(find, Instant::now());
    if !taken_back.is_empty() {
        state.waiting.notify();
    }
    for upstream in taken_back {
        log_taken_back(&upstream.upstream, upstream.cause, Some(upstream.after), upstream.reason);
    }
}

/// Hints for a message to another node.
pub(crate) fn encode_hints(state: &GatewayState, now: Instant) -> Vec<LeavingUpstream> {
    let hints = state.notices.borrow().leaving_hints(now);
    let encode = |hint: LeavingHint| LeavingUpstream {
        upstream: hint.upstream.to_string(),
        start_time_ms: hint.start_time_ms,
        age_ms: millis(hint.age),
    };
    hints.into_iter().map(encode).collect()
}

/// Adopts the hints of another node.
pub(crate) fn adopt_hints(state: &GatewayState, hints: Vec<LeavingUpstream>, now: Instant) {
    let view = state.view();
    let mut has_changed = false;
    for hint in hints {
        let Some(record) = view.upstreams.get(hint.upstream.as_str()) else { continue };
        let hint = LeavingHint {
            upstream: record.upstream.clone(),
            start_time_ms: hint.start_time_ms,
            age: Duration::from_millis(u64::from(hint.age_ms)),
        };
        if state.notices.borrow_mut().adopt_hint(record, &hint, now) {
            log_set_aside(record, NoticeCause::Leaving, None, "another node", now);
            has_changed = true;
        }
    }
    if has_changed {
        state.drain_leaving_upstreams();
    }
}

fn record_control_notice(
    state: &GatewayState,
    upstream: &UpstreamId,
    address: &Arc<str>,
    notice: Option<UpstreamNotice>,
    cause: &str,
) {
    if let (Some(notice), Some(record)) = (notice, find_record(state, upstream, address)) {
        record_notice(state, &record, notice, cause);
    }
}

fn find_record(
    state: &GatewayState,
    upstream: &UpstreamId,
    address: &Arc<str>,
) -> Option<Arc<UpstreamRecord>> {
    state.view().upstreams.get(upstream).filter(|record| record.address == *address).cloned()
}

fn log_invalid_pause(state: &GatewayState, upstream: &UpstreamId, now: Instant) {
    metrics::counter!("eelgrassdeal_invalid_pauses_total").increment(1);
    if state.invalid_pause_log.is_due(now) {
        log::warn!(
            "event=pause_unreadable upstream={upstream} reason=\"retry-after of a 503 is no number of seconds\""
        );
    }
}

fn log_set_aside(
    record: &UpstreamRecord,
    cause: NoticeCause,
    pause: Option<Duration>,
    told_by: &str,
    now: Instant,
) {
    log::info!(
        "event=set_aside upstream={} cause={} for_ms={:?} told_by=\"{told_by}\" record_state={:?} record_age_ms={}",
        record.upstream,
        cause.name(),
        pause.map(|pause| pause.as_millis()),
        record.state,
        now.saturating_duration_since(record.seen_at).as_millis()
    );
    metrics::counter!("eelgrassdeal_set_aside_total", "cause" => cause.name()).increment(1);
}

fn log_taken_back(
    upstream: &UpstreamId,
    cause: NoticeCause,
    after: Option<Duration>,
    reason: &str,
) {
    log::info!(
        "event=taken_back upstream={upstream} cause={} after_ms={:?} reason=\"{reason}\"",
        cause.name(),
        after.map(|after| after.as_millis())
    );
}
