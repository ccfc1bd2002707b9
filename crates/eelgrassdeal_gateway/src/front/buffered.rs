//! Responses that are read completely before they are forwarded.

use std::rc::Rc;
use std::time::Instant;

use eelgrassdeal_http::{BufferedResponse, SendFailure};
use eelgrassdeal_platform::UpstreamResponse;
use eelgrassdeal_types::{ErrorKind, UpstreamId};
use http_body_util::{Either, Full};
use hyper::{Response, StatusCode};

use super::attempt::{AttemptRunner, FailedAttempt, RunningAttempt, may_be_broken_off};
use super::call::GatewayCall;
use super::hold::BufferHold;
use super::refusal::CallRefusal;
use crate::server::Reply;
use crate::state::GatewayState;

/// Maximum size of a response body that is buffered, if the memory for responses has room for it.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Handles a request whose response is not a stream.
pub(super) async fn handle(
    state: &Rc<GatewayState>,
    call: &Rc<GatewayCall>,
) -> Result<Reply, CallRefusal> {
    let mut runner = AttemptRunner::new(state, call);
    loop {
        let attempt = runner.start(None).await?;
        let upstream = attempt.load.upstream.clone();
        if let Some(response) = collect(&mut runner, attempt).await? {
            state.loads.borrow_mut().record_outcome(&upstream, false, Instant::now());
            // An upstream that fails a request may not have come to what would crash it.
            if response.status < 500 {
                call.record_survival(state);
            }
            return forward(&runner, &upstream, response);
        }
    }
}

/// Reads the complete response. Returns `None` if it was incomplete or too large and another
/// attempt may be made.
pub(super) async fn collect(
    runner: &mut AttemptRunner,
    attempt: RunningAttempt,
) -> Result<Option<BufferedResponse>, CallRefusal> {
    let RunningAttempt { response, record, load, response_began, .. } = attempt;
    let upstream = load.upstream.clone();
    let mut hold = BufferHold::new(&runner.state.response_budget);
    let may_hold = async |bytes| bytes <= MAX_RESPONSE_BYTES && hold.resize(bytes).await;
    let ends_with_connection = response.ends_with_connection();
    let response = response.collect_while(may_hold);
    let collected = match runner.wait_for_bytes(&upstream, None, None, response).await {
        Ok(Ok(response)) if ends_with_connection => {
            let (state, call) = (&runner.state, &runner.call);
            let until = runner.end_check_deadline(runner.may_run_again());
            match may_be_broken_off(state, call, &record, until).await {
                true => Ok(Err(SendFailure::MaybeSent)),
                false => Ok(Ok(response)),
            }
        }
        collected => collected,
    };
    match collected {
        Ok(Ok(response)) => {
            let body = hold.attach_to(response.body);
            Ok(Some(BufferedResponse { body, ..response }))
        }
        Ok(Err(_)) => {
            runner.record_failed_attempt(FailedAttempt {
                upstream: &upstream,
                response_began: Some(response_began),
                is_disconnected: true,
                reason: "response incomplete or too large",
            });
            match runner.may_run_again() {
                true => Ok(None),
                false => {
                    Err(runner.final_refusal("the upstream's response was incomplete or too large"))
                }
            }
        }
        Err(_) => {
            let reason = runner.call.end_reason(Instant::now());
            Err(runner.final_refusal(&format!("the response is incomplete: {reason}")))
        }
    }
}

/// Forwards the status, body and permitted headers of an upstream's response.
///
/// # Errors
///
/// [`ErrorKind::OutcomeUnknown`] if the status is below 400 but the upstream's signature header is
/// missing ([`UpstreamResponse::is_signed`]), or if the status would tell the caller that the
/// request did not run.
pub(super) fn forward(
    runner: &AttemptRunner,
    upstream: &UpstreamId,
    response: BufferedResponse,
) -> Result<Reply, CallRefusal> {
    let call = &runner.call;
    let is_signed = UpstreamResponse::from_headers(&response.headers).is_signed;
    // Callers take these statuses to mean that the request did not run, but it may have run.
    let claims_not_run = matches!(response.status, 408 | 421 | 429 | 503);
    if claims_not_run || (response.status < 400 && !is_signed) {
        let reason = format!(
            "upstream {upstream} sent status {}, unsigned or not telling whether the request ran",
            response.status
        );
        return Err(call.refuse(ErrorKind::OutcomeUnknown, reason));
    }
    log::info!(
        "event=answered request_id={} route={} upstream={upstream} status={} runs={} took_ms={}",
        call.request_id,
        call.route.name,
        response.status,
        runner.attempts,
        call.received.elapsed().as_millis()
    );
    let mut reply = Response::new(Either::Left(Full::new(response.body)));
    *reply.status_mut() = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *reply.headers_mut() = UpstreamResponse::forwarded_headers(&response.headers);
    Ok(reply)
}
