//! Answers that are passed on whole.

use std::rc::Rc;
use std::time::Instant;

use eelgrassdeal_http::WholeAnswer;
use eelgrassdeal_platform::UpstreamAnswer;
use eelgrassdeal_types::{ErrorKind, UpstreamId};
use http_body_util::{Either, Full};
use hyper::{Response, StatusCode};

use super::attempt::{AttemptRunner, RunningAttempt};
use super::call::GatewayCall;
use super::refusal::CallRefusal;
use crate::server::Reply;
use crate::state::GatewayState;

/// Largest answer that is held to be passed on whole.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Answers a request whose answer is not a stream.
pub(super) async fn answer(
    state: &Rc<GatewayState>,
    call: &Rc<GatewayCall>,
) -> Result<Reply, CallRefusal> {
    let mut runner = AttemptRunner::new(state, call);
    loop {
        let attempt = runner.start(None).await?;
        let upstream = attempt.load.upstream.clone();
        if let Some(whole) = collect(&mut runner, attempt).await? {
            state.loads.borrow_mut().note_outcome(&upstream, false, Instant::now());
            return pass_on(&runner, &upstream, whole);
        }
    }
}

/// Reads the whole answer; `None` if it broke off and another attempt may be made.
pub(super) async fn collect(
    runner: &mut AttemptRunner,
    attempt: RunningAttempt,
) -> Result<Option<WholeAnswer>, CallRefusal> {
    let RunningAttempt { answer, load, .. } = attempt;
    let upstream = load.upstream.clone();
    let collecting = answer.collect(MAX_ANSWER_BYTES);
    match runner.wait_for_bytes(&upstream, None, collecting).await {
        Ok(Ok(whole)) => Ok(Some(whole)),
        Ok(Err(_)) => {
            runner.note_failed_run(&upstream, "answer broke off");
            match runner.may_run_again() {
                true => Ok(None),
                false => Err(runner.give_up("the answer broke off")),
            }
        }
        Err(_) => Err(runner.give_up("the answer was not whole before the deadline")),
    }
}

/// Passes on an upstream's answer unchanged, unless it would promise what is not true.
pub(super) fn pass_on(
    runner: &AttemptRunner,
    upstream: &UpstreamId,
    whole: WholeAnswer,
) -> Result<Reply, CallRefusal> {
    let call = &runner.call;
    let is_signed = UpstreamAnswer::read(&whole.headers).is_signed;
    // These statuses would say that the request has not run.
    let is_false_promise = matches!(whole.status, 408 | 421 | 429 | 503);
    if is_false_promise || (whole.status < 400 && !is_signed) {
        let reason = format!("upstream {upstream} answered {}", whole.status);
        return Err(call.refuse(ErrorKind::OutcomeUnknown, reason));
    }
    log::info!(
        "event=answered request_id={} route={} upstream={upstream} status={} runs={} took_ms={}",
        call.request_id,
        call.route.name,
        whole.status,
        runner.runs,
        call.received.elapsed().as_millis()
    );
    let mut reply = Response::new(Either::Left(Full::new(whole.body)));
    *reply.status_mut() = StatusCode::from_u16(whole.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *reply.headers_mut() = UpstreamAnswer::forwarded(&whole.headers);
    Ok(reply)
}
