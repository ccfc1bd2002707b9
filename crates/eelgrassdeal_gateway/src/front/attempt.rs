//! Attempts to run a request on an upstream: sending, retries and the detection of silent upstreams.

use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::UpstreamRecord;
use eelgrassdeal_http::{PooledResponse, SendFailure, SendOptions};
use eelgrassdeal_platform::{LimitNotice, UpstreamNotice, UpstreamResponse, upstream_headers};
use eelgrassdeal_types::{ErrorKind, UpstreamId};
use futures_util::FutureExt;
use futures_util::future::{Either, LocalBoxFuture, pending, select};
use http_body_util::Full;
use hyper::Request;

use super::call::GatewayCall;
use super::refusal::CallRefusal;
use crate::crash::{CRASH_CHECK_INTERVAL, check_for_crash, is_crash_onset};
use crate::duty::count_usage;
use crate::notice::record_notice;
use crate::placing::{LoadGuard, Placement, PlacementNeed, RoomForecast, place};
use crate::rate_limit::record_limit;
use crate::state::GatewayState;

/// Maximum number of sends in one call of [`AttemptRunner::start`], including those that upstreams
/// rejected.
const MAX_SENDS: u32 = 5;
/// Maximum number of attempts of one request beyond the attempt limit of its route. Each of them
/// replaces an attempt in which the upstream became silent before it sent response headers.
const MAX_EXTRA_ATTEMPTS: u32 = 2;
/// Maximum wait for an upstream with free capacity. Callers abandon a stream whose first event
/// takes two seconds.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Fraction of the time until the deadline that a request may wait for an upstream with free
/// capacity, so that it can still finish.
const PLACEMENT_TIME_FRACTION: f64 = 0.4;
/// Interval at which a request that waits for data checks whether its upstream is silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum `retry-after` of a refused request, as a fraction of the time until its deadline.
/// Callers are assumed to wait for at most a third of that time before they retry.
const RETRY_AFTER_FRACTION: f64 = 0.3;
/// Fraction of the `retry-after` time that is randomised, so that refused callers do not all retry
/// at the same moment.
const RETRY_AFTER_JITTER: f64 = 0.6;
/// Maximum idle time of a pooled connection that is used for a request that must not be repeated.
/// The upstream may be closing a connection that was idle for longer.
const NON_IDEMPOTENT_MAX_IDLE: Duration = Duration::from_millis(300);
/// Silence timeout of a head VM, in passes of a fully loaded engine. A pass consists of
/// `EngineSpec::steps_per_pass` decoding steps.
const SILENCE_TIMEOUT_PASSES: f64 = 1.4;
/// Minimum silence timeout of an upstream, as a multiple of its peak gap, the longest recent time
/// between two pieces of data from it.
const SILENCE_TIMEOUT_GAPS: f64 = 2.5;
/// Lower bound of the silence timeout calculated for an engine, and the shortest wait after which
/// an upstream counts as silent.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(200);
/// Upper bound of the silence timeout calculated for an engine, and the timeout without an engine.
const MAX_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which an upstream counts as silent if no response from it to this node has started,
/// so that there is no other stream that would show whether it works. An engine abandons stalled
/// work after this time.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time for which a silent upstream is avoided. By its end the group of a silent head VM is closed
/// or works again.
const SILENT_BACKOFF: Duration = Duration::from_secs(2);
/// Interval at which a request that waits for a silent upstream looks for another one again.
const RELOCATION_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a connection that shows whether a response that ended with its connection may be broken
/// off. It is that of connections for requests, so that the upstream answers in it if it can be used.
const END_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Assumed maximum number of prompt tokens that an engine processes in one step. The configuration
/// of an engine does not state it.
const PREFILL_CHUNK_TOKENS: f64 = 2_048.0;

/// An attempt whose upstream has sent the response headers. Dropping it cancels the request on the
/// upstream.
pub(super) struct RunningAttempt {
    pub(super) response: PooledResponse,
    /// The upstream as it was when the request was sent.
    pub(super) record: Arc<UpstreamRecord>,
    /// What the response headers say about the request.
    pub(super) response_info: UpstreamResponse,
    pub(super) load: LoadGuard,
    /// When the response headers arrived.
    pub(super) response_began: Instant,
    /// Minimum time without data after which the upstream counts as silent. Only streams use it.
    pub(super) silence_timeout: Duration,
}

impl RunningAttempt {
    /// Whether the response is a success with the upstream's signature.
    pub(super) fn is_signed_success(&self) -> bool {
        self.response.inner.status().is_success() && self.response_info.is_signed
    }
}

/// Result of a send: the response, of which only the headers have arrived.
type SendResult = Result<PooledResponse, SendFailure>;

/// A request that was sent to an upstream and has no response headers yet. Dropping it cancels the
/// request on the upstream.
struct PendingSend {
    record: Arc<UpstreamRecord>,
    load: LoadGuard,
    /// Minimum time without data after which the upstream counts as silent; `None` if its silence
    /// does not matter.
    silence_timeout: Option<Duration>,
    sent_at: Instant,
    /// Whether the request was sent to this upstream before, on a connection that ended.
    is_resent: bool,
    response: LocalBoxFuture<'static, SendResult>,
}

impl Future for PendingSend {
    type Output = SendResult;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<SendResult> {
        self.response.poll_unpin(context)
    }
}

/// What a request that waits for the headers of a response learns first.
enum SendEvent {
    /// The send that was made last has a result.
    Last(SendResult),
    /// The silent upstream has answered after all, or failed.
    Kept(SendResult),
    /// The upstream of the last send counts as silent.
    Silent,
    /// It is time to look for another upstream again.
    Retry,
    /// The deadline of the request passed, or the node is shutting down.
    Deadline,
}

/// An attempt after which the request has no complete response from its upstream.
pub(super) struct FailedAttempt<'a> {
    pub(super) upstream: &'a UpstreamId,
    /// When the response headers arrived, if they did.
    pub(super) response_began: Option<Instant>,
    /// Whether the upstream closed the connection.
    pub(super) is_disconnected: bool,
    pub(super) reason: &'a str,
}

/// Why a wait for data from an upstream was aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitError {
    /// The deadline of the request passed, or the node is shutting down.
    Deadline,
    /// The upstream counts as silent, as decided by `AttemptRunner::counts_as_silent`.
    Silent,
    /// The response made no progress in time, although the upstream may work.
    Stalled,
}

/// Starts the attempts of one request and counts them. An attempt is a send of the request after
/// which the upstream may have run it. A send that the upstream rejects, or of which no byte leaves
/// this node, does not count as one.
///
/// The silence of an upstream does not end its attempt, as a sound one may pause. The next attempt
/// starts beside it, and the first one that goes on is used.
pub(super) struct AttemptRunner {
    pub(super) state: Rc<GatewayState>,
    pub(super) call: Rc<GatewayCall>,
    /// What the upstream of the next attempt has to fulfil.
    need: PlacementNeed,
    /// Sends that may have reached an upstream: the attempts and the sends that were rejected.
    arrivals: u32,
    /// Number of attempts, logged as `runs`.
    pub(super) attempts: u32,
    /// Attempts in which the upstream became silent before it sent response headers. A working
    /// engine sends them with the first token, so it has done little or no work without them.
    unstarted_attempts: u32,
}

impl AttemptRunner {
    pub(super) fn new(state: &Rc<GatewayState>, call: &Rc<GatewayCall>) -> Self {
        Self {
            state: state.clone(),
            call: call.clone(),
            need: call.placement_need(),
            arrivals: 0,
            attempts: 0,
            unstarted_attempts: 0,
        }
    }

    /// Whether the request may be sent again although earlier attempts may have run.
    pub(super) fn may_run_again(&self) -> bool {
        let limit = self.call.route.attempt_limit + self.unstarted_attempts.min(MAX_EXTRA_ATTEMPTS);
        self.call.route.kind.may_repeat() && self.attempts < limit
    }

    /// Reports an upstream as silent to all requests and other nodes, and avoids it for a while.
    pub(super) fn report_silent(&self, upstream: &UpstreamId) {
        let now = Instant::now();
        self.state.loads.borrow_mut().avoid_for(upstream, now, SILENT_BACKOFF);
        self.state.mark_silent(upstream, now, now);
    }

    /// Records a failed attempt, and excludes its upstream as [`Self::exclude`] does. If the request
    /// may have crashed the upstream, checks whether the upstream has crashed.
    pub(super) fn record_failed_attempt(&mut self, failed: FailedAttempt<'_>) {
        let FailedAttempt { upstream, response_began, is_disconnected, reason } = failed;
        log::info!(
            "event=attempt_failed request_id={} upstream={upstream} runs={} response_ms={:?} prompt_parts={} reason={reason}",
            self.call.request_id,
            self.attempts,
            response_began.map(|began| began.elapsed().as_millis()),
            self.call.caller.prompt_part_ids()
        );
        metrics::counter!("eelgrassdeal_failed_attempts_total").increment(1);
        self.state.loads.borrow_mut().record_outcome(upstream, true, Instant::now());
        self.exclude(upstream);
        let record = self.state.view().upstreams.get(upstream).cloned();
        if let Some(record) = record.filter(|_| is_disconnected && is_crash_onset(response_began)) {
            check_for_crash(&self.state, record, self.call.crash_suspects());
        }
    }

    /// Excludes the upstream from further attempts of this request. Other requests avoid it for a
    /// while if there is an alternative.
    fn exclude(&mut self, upstream: &UpstreamId) {
        self.state.loads.borrow_mut().avoid(upstream, Instant::now());
        self.need.excluded.push(upstream.clone());
    }

    /// Counts a send as an attempt, until its result shows that the upstream has not run it.
    fn count_attempt(&mut self) {
        self.arrivals += 1;
        self.attempts += 1;
        self.need.is_rerun = true;
    }

    /// Takes back that a send counts as an attempt.
    fn discount_attempt(&mut self) {
        self.attempts -= 1;
        self.need.is_rerun = self.attempts > 0;
    }

    /// Prepares an attempt beside the one that goes on at `upstream`.
    pub(super) fn begin_relocation(&mut self, upstream: &UpstreamId) {
        self.exclude(upstream);
        self.need.occupied.push(upstream.clone());
    }

    /// Ends [`Self::begin_relocation`].
    pub(super) fn end_relocation(&mut self) {
        self.need.occupied.clear();
    }

    /// Tries upstreams until one sends a response that is neither a rejection nor a failure after
    /// which another attempt may be made. Failed attempts count against the attempt limit.
    ///
    /// An attempt whose upstream falls silent goes on until another one has brought a response; it
    /// is all that is left if no further send can be made. At most two attempts run at once.
    ///
    /// `last_event` is the id of the last event that the caller received, when a stream is resumed.
    ///
    /// # Errors
    ///
    /// The refusal to send to the caller if there is no such response and no further send is made.
    pub(super) async fn start(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<RunningAttempt, CallRefusal> {
        let placement_deadline = self.placement_deadline();
        let mut sends = 0;
        let mut last: Option<PendingSend> = None;
        // The attempt before the last one, whose upstream is silent.
        let mut kept: Option<PendingSend> = None;
        loop {
            if last.is_none() {
                match self.begin_next(placement_deadline, &mut sends, last_event, &mut kept).await {
                    Either::Left(Ok(send)) => last = Some(send),
                    Either::Left(Err(refusal)) if kept.is_none() => return Err(refusal),
                    Either::Left(Err(refusal)) => log::debug!(
                        "event=waiting_on request_id={} reason=\"{}\"",
                        self.call.request_id,
                        refusal.kind()
                    ),
                    Either::Right(result) => {
                        if let Some(attempt) = self.conclude_kept(&mut kept, result, false) {
                            return Ok(attempt);
                        }
                        continue;
                    }
                }
            }
            match self.next_event(last.as_mut(), kept.as_mut()).await {
                SendEvent::Last(Err(SendFailure::ReusedEnded))
                    if last.as_mut().is_some_and(|send| self.resend(send, last_event)) => {}
                SendEvent::Last(result) => {
                    let has_other = kept.is_some();
                    let Some(send) = last.take() else { continue };
                    if let Some(attempt) = self.conclude_send(send, result, has_other) {
                        self.need.occupied.clear();
                        return Ok(attempt);
                    }
                }
                SendEvent::Kept(result) => {
                    let has_other = last.is_some();
                    if let Some(attempt) = self.conclude_kept(&mut kept, result, has_other) {
                        return Ok(attempt);
                    }
                }
                SendEvent::Silent => self.keep_silent(&mut last, &mut kept),
                SendEvent::Retry => {}
                SendEvent::Deadline => {
                    let reason = self.call.end_reason(Instant::now());
                    return Err(self.final_refusal(&format!("no response: {reason}")));
                }
            }
        }
    }

    /// Makes the next send, unless the one that was kept has a result before.
    async fn begin_next(
        &mut self,
        placement_deadline: Instant,
        sends: &mut u32,
        last_event: Option<u64>,
        kept: &mut Option<PendingSend>,
    ) -> Either<Result<PendingSend, CallRefusal>, SendResult> {
        let next = pin!(self.begin_send(placement_deadline, sends, last_event));
        let kept = pin!(wait_for(kept.as_mut()));
        match select(next, kept).await {
            Either::Left((next, _)) => Either::Left(next),
            Either::Right((result, _)) => Either::Right(result),
        }
    }

    /// Waits for what happens first to the last send and to the one that was kept. Without a last
    /// send, waits for at most [`RELOCATION_INTERVAL`].
    async fn next_event(
        &self,
        last: Option<&mut PendingSend>,
        kept: Option<&mut PendingSend>,
    ) -> SendEvent {
        let retry_at = last.is_none().then(|| Instant::now() + RELOCATION_INTERVAL);
        let silence_timeout = last.as_ref().and_then(|send| send.silence_timeout);
        let waited_for = last.as_ref().or(kept.as_ref());
        let Some(upstream) = waited_for.map(|send| send.record.upstream.clone()) else {
            return SendEvent::Retry;
        };
        let first = select(Box::pin(wait_for(last)), Box::pin(wait_for(kept)));
        match self.wait_for_bytes(&upstream, silence_timeout, retry_at, first).await {
            Ok(Either::Left((result, _))) => SendEvent::Last(result),
            Ok(Either::Right((result, _))) => SendEvent::Kept(result),
            Err(WaitError::Silent) => SendEvent::Silent,
            Err(WaitError::Stalled) => SendEvent::Retry,
            Err(WaitError::Deadline) => SendEvent::Deadline,
        }
    }

    /// Records the silence of the last send's upstream, and keeps the attempt. An older one that was
    /// kept ends, unless no further send can replace it.
    fn keep_silent(&mut self, last: &mut Option<PendingSend>, kept: &mut Option<PendingSend>) {
        let Some(send) = last else { return };
        let upstream = send.record.upstream.clone();
        self.unstarted_attempts += 1;
        self.record_failed_attempt(FailedAttempt {
            upstream: &upstream,
            response_began: None,
            is_disconnected: false,
            reason: "silent",
        });
        self.report_silent(&upstream);
        match (kept.is_some(), self.may_run_again(), self.need.occupied.is_empty()) {
            (true, false, _) => send.silence_timeout = None,
            (true, true, _) | (false, _, true) => {
                *kept = last.take();
                self.need.occupied = vec![upstream];
            }
            // The caller of `start` has an attempt that goes on.
            (false, _, false) => *last = None,
        }
    }

    /// Places the request on an upstream and sends it there.
    ///
    /// # Errors
    ///
    /// The refusal to send to the caller if the request cannot be sent now.
    async fn begin_send(
        &mut self,
        placement_deadline: Instant,
        sends: &mut u32,
        last_event: Option<u64>,
    ) -> Result<PendingSend, CallRefusal> {
        loop {
            if self.attempts > 0 && !self.may_run_again() {
                return Err(self.final_refusal("the upstream sent no valid response"));
            }
            let Placement { target, load, limit_share } = self.place(placement_deadline).await?;
            // The quarantine may have begun after the last attempt or during the wait.
            if let Some(refusal) = self.call.check_quarantine(&self.state) {
                return Err(match self.attempts {
                    0 => refusal,
                    _ => self.final_refusal("what the request shares with others is in quarantine"),
                });
            }
            if *sends >= MAX_SENDS {
                return Err(
                    self.final_refusal("too many sends to upstreams failed or were rejected")
                );
            }
            *sends += 1;
            let record = target.record.clone();
            let now = Instant::now();
            let time_left = self.call.time_left(now);
            if time_left.is_zero() {
                return Err(self.final_refusal(self.call.end_reason(now)));
            }
            // The upstream may have asked for no requests while this one waited.
            if !self.state.notices.borrow().may_send(&record, now) {
                self.need.excluded.push(record.upstream.clone());
                continue;
            }
            if self.arrivals > 0 && !self.state.try_take_retry(&self.call.service, now) {
                return Err(self
                    .final_refusal("this node's share of the service's retry budget is used up"));
            }
            let Some(request) = self.build_request(&record, time_left, last_event) else {
                return Err(self
                    .call
                    .refuse(ErrorKind::BadRequest, "the path or query of the request is invalid"));
            };
            let is_stream = self.call.route.kind.is_stream();
            let silence_timeout = is_stream.then(|| self.silence_timeout(target.slowdown()));
            let response = self.send(&record, request, self.send_options());
            limit_share.use_up(self.arrivals > 0);
            self.count_attempt();
            return Ok(PendingSend {
                record,
                load,
                silence_timeout,
                sent_at: now,
                is_resent: false,
                response,
            });
        }
    }

    fn send(
        &self,
        record: &UpstreamRecord,
        request: Request<Full<bytes::Bytes>>,
        options: SendOptions,
    ) -> LocalBoxFuture<'static, SendResult> {
        let (state, address) = (self.state.clone(), record.address.clone());
        async move { state.upstream_pool.send(&address, request, options).await }.boxed_local()
    }

    /// Sends a request that may be repeated to the same upstream again, on a new connection. It is the
    /// same attempt, as no further upstream receives the request. Returns whether it was sent.
    fn resend(&mut self, send: &mut PendingSend, last_event: Option<u64>) -> bool {
        let now = Instant::now();
        let time_left = self.call.time_left(now);
        let may_resend = self.call.route.kind.may_repeat()
            && !time_left.is_zero()
            && self.call.check_quarantine(&self.state).is_none()
            && self.is_sendable_again(&send.record, now);
        let request = may_resend.then(|| self.build_request(&send.record, time_left, last_event));
        let Some(request) = request.flatten() else { return false };
        if !self.state.try_take_retry(&self.call.service, now) {
            return false;
        }
        log::info!(
            "event=resent request_id={} upstream={} took_ms={}",
            self.call.request_id,
            send.record.upstream,
            send.sent_at.elapsed().as_millis()
        );
        self.arrivals += 1;
        let options = self.send_options().with_max_idle(Duration::ZERO);
        send.response = self.send(&send.record, request, options);
        send.sent_at = now;
        send.is_resent = true;
        true
    }

    /// Whether the upstream of `record`, to which a request was sent, may get it again: it has neither left
    /// nor asked for fewer requests meanwhile.
    fn is_sendable_again(&self, record: &UpstreamRecord, now: Instant) -> bool {
        let view = self.state.view();
        let is_same = |current: &UpstreamRecord| current.start_time_ms == record.start_time_ms;
        let is_limited = self.state.rate_limits.borrow().is_limited(record);
        view.upstreams.get(&record.upstream).is_some_and(|current| {
            is_same(current) && view.may_place(current) && !current.is_cold(now)
        }) && !is_limited
            && self.state.notices.borrow().may_send(record, now)
    }

    /// Concludes the attempt that was kept. See [`Self::conclude_send`].
    fn conclude_kept(
        &mut self,
        kept: &mut Option<PendingSend>,
        result: SendResult,
        has_other: bool,
    ) -> Option<RunningAttempt> {
        let send = kept.take()?;
        self.need.occupied.clear();
        self.conclude_send(send, result, has_other)
    }

    /// Decides about the result of a send. Returns `None` if the request may be sent to another
    /// upstream, or if `has_other`: another attempt goes on.
    fn conclude_send(
        &mut self,
        send: PendingSend,
        result: SendResult,
        has_other: bool,
    ) -> Option<RunningAttempt> {
        // Possibly no byte was sent.
        log::debug!(
            "event=sent request_id={} upstream={} arrivals={} took_ms={}",
            self.call.request_id,
            send.record.upstream,
            self.arrivals,
            send.sent_at.elapsed().as_millis()
        );
        match result {
            Ok(response) => self.evaluate_response(send, response, has_other),
            Err(failure) if failure.is_unsent() && !send.is_resent => {
                self.arrivals -= 1;
                self.discount_attempt();
                self.handle_unsent(&send.record, failure);
                None
            }
            Err(failure) => {
                let is_disconnected = failure != SendFailure::TimedOut;
                self.handle_failed_attempt(&send.record, is_disconnected, &format!("{failure:?}"));
                None
            }
        }
    }

    /// Returns the refusal of a request for which no further attempt is made. Its kind depends on
    /// whether an attempt may have run and whether the deadline has passed.
    pub(super) fn final_refusal(&self, reason: &str) -> CallRefusal {
        let now = Instant::now();
        match (self.attempts, now >= self.call.deadline) {
            // It is certain that no upstream has run the request. Unlike `DeadlinePassed`, this
            // kind tells the caller so, and that it may retry.
            (0, true) => self.call.refuse(ErrorKind::DeadlineUnreachable, reason),
            (0, false) => {
                let jitter = 1.0 - RETRY_AFTER_JITTER * rand::random::<f64>();
                let fraction = RETRY_AFTER_FRACTION * jitter;
                let retry_after = self.call.time_left(now).mul_f64(fraction);
                self.call.refuse(ErrorKind::NoCapacity, reason).with_retry_after(retry_after)
            }
            (_, true) => self.call.refuse(ErrorKind::DeadlinePassed, reason),
            (_, false) => self.call.refuse(ErrorKind::OutcomeUnknown, reason),
        }
    }

    /// Waits for `future` until the deadline of the request, until `stalled_at`, or until the
    /// upstream counts as silent. Without a `silence_timeout`, silence does not end the wait.
    pub(super) async fn wait_for_bytes<T>(
        &self,
        upstream: &UpstreamId,
        silence_timeout: Option<Duration>,
        stalled_at: Option<Instant>,
        future: impl Future<Output = T>,
    ) -> Result<T, WaitError> {
        let mut future = pin!(future);
        let started = Instant::now();
        loop {
            let now = Instant::now();
            let left = self.call.time_left(now);
            if left.is_zero() {
                return Err(WaitError::Deadline);
            }
            let interval = SILENCE_CHECK_INTERVAL.min(left);
            if let Ok(value) = compio::time::timeout(interval, future.as_mut()).await {
                return Ok(value);
            }
            let now = Instant::now();
            if stalled_at.is_some_and(|at| now >= at) {
                return Err(WaitError::Stalled);
            }
            if now.duration_since(started) < MIN_SILENCE_TIMEOUT {
                continue;
            }
            if silence_timeout
                .is_some_and(|limit| self.counts_as_silent(upstream, limit, started, now))
            {
                return Err(WaitError::Silent);
            }
        }
    }

    /// Whether the upstream counts as silent for a wait that began at `started`. `limit` is the
    /// minimum silence timeout. It is raised to `SILENCE_TIMEOUT_GAPS` times the peak gap of
    /// the upstream.
    fn counts_as_silent(
        &self,
        upstream: &UpstreamId,
        limit: Duration,
        started: Instant,
        now: Instant,
    ) -> bool {
        let loads = self.state.loads.borrow();
        let limit = limit.max(loads.peak_gap(upstream).mul_f64(SILENCE_TIMEOUT_GAPS));
        match loads.silence(upstream, now) {
            // The progress of the responses that have started shows whether the upstream works.
            Some(silence) => silence > limit && now.duration_since(started) > limit,
            // No response from the upstream to this node has started, so a report of any node,
            // including this one, decides until `FIRST_EVENT_TIMEOUT`.
            None => {
                let waited = now.duration_since(started);
                let is_reported = waited > limit && self.state.is_silent(upstream, now);
                is_reported || waited > FIRST_EVENT_TIMEOUT
            }
        }
    }

    /// Time until which the request may wait for a sign whether its response is complete. If another
    /// attempt `may_follow`, enough time is left for it.
    pub(super) fn end_check_deadline(&self, may_follow: bool) -> Instant {
        match may_follow {
            true => self.placement_deadline(),
            false => self.call.deadline,
        }
    }

    /// Time until which the request may wait for an upstream with free capacity.
    fn placement_deadline(&self) -> Instant {
        let now = Instant::now();
        now + self.call.time_left(now).mul_f64(PLACEMENT_TIME_FRACTION).min(PLACEMENT_TIMEOUT)
    }

    /// Finds an upstream with free capacity, and waits for one until `until` if necessary.
    async fn place(&mut self, until: Instant) -> Result<Placement, CallRefusal> {
        let started = Instant::now();
        match place(&self.state, &mut self.need, until).await {
            Ok(placement) => {
                log::debug!(
                    "event=placed request_id={} upstream={} waited_ms={}",
                    self.call.request_id,
                    placement.target.record.upstream,
                    started.elapsed().as_millis()
                );
                Ok(placement)
            }
            Err(failure) => {
                let refusal = self.final_refusal(failure.reason);
                Err(match failure.room {
                    RoomForecast::Unknown => refusal,
                    RoomForecast::AtLeast(wait) => refusal.with_retry_at_least(wait),
                    RoomForecast::After(wait) => refusal.with_retry_instead(wait),
                })
            }
        }
    }

    /// Minimum time without data after which an upstream that serves this request counts as silent.
    /// `slowdown` is the factor by which the replica is slower than usual.
    fn silence_timeout(&self, slowdown: f64) -> Duration {
        let limit = self.need.with_model(&self.state, |engine, spec| {
            let slots = f64::from(engine.slots);
            let context_kilotokens =
                slots * (engine.mean_prompt_tokens + engine.mean_answer_tokens) / 1_000.0;
            let step_ms = engine.step_time.as_secs_f64() * 1_000.0
                + engine.per_sequence_ms * slots
                + engine.per_context_ms * context_kilotokens;
            let prefill_ms = PREFILL_CHUNK_TOKENS * 1_000.0 / engine.prompt_tokens_per_s.max(1.0);
            // A fully loaded engine processes a chunk of prompts in every step of a pass.
            let full_pass_ms = (step_ms + prefill_ms)
                * f64::from(engine.steps_per_pass)
                * spec.time_factor
                * slowdown;
            Duration::try_from_secs_f64(full_pass_ms * SILENCE_TIMEOUT_PASSES / 1_000.0)
                .unwrap_or(MAX_SILENCE_TIMEOUT)
                .clamp(MIN_SILENCE_TIMEOUT, MAX_SILENCE_TIMEOUT)
        });
        limit.unwrap_or(MAX_SILENCE_TIMEOUT)
    }

    /// Logs a send of which no byte left this node, and excludes the upstream.
    fn handle_unsent(&mut self, record: &UpstreamRecord, failure: SendFailure) {
        log::info!(
            "event=unsent request_id={} upstream={} reason={failure:?}",
            self.call.request_id,
            record.upstream
        );
        match failure {
            // This node's own connection limit was reached, so the upstream is not at fault.
            SendFailure::TooManyConnections => self.need.excluded.push(record.upstream.clone()),
            _ => {
                let now = Instant::now();
                let mut loads = self.state.loads.borrow_mut();
                loads.record_outcome(&record.upstream, true, now);
                if failure == SendFailure::Refused {
                    loads.record_refused_connection(&record.upstream, now);
                }
                drop(loads);
                self.exclude(&record.upstream);
            }
        }
    }

    /// Records a failed attempt of which no response headers arrived.
    fn handle_failed_attempt(
        &mut self,
        record: &UpstreamRecord,
        is_disconnected: bool,
        reason: &str,
    ) {
        self.record_failed_attempt(FailedAttempt {
            upstream: &record.upstream,
            response_began: None,
            is_disconnected,
            reason,
        });
    }

    /// Decides whether the attempt goes on with a response. Returns `None` if the request may be
    /// sent to another upstream instead, or if `has_other`: another attempt goes on.
    fn evaluate_response(
        &mut self,
        send: PendingSend,
        response: PooledResponse,
        has_other: bool,
    ) -> Option<RunningAttempt> {
        let PendingSend { record, load, silence_timeout, is_resent, .. } = send;
        let mut response = response;
        let response_info = UpstreamResponse::from_headers(response.inner.headers());
        let status = response.inner.status();
        // Upstreams echo the id, and a late copy of another response may lack it.
        if response_info.request_id != self.call.caller.request_id {
            self.handle_failed_attempt(&record, false, "response to another request");
            return None;
        }
        // Status 421: another upstream now responds at the address.
        if status.as_u16() != 421 {
            let notice = UpstreamNotice::from_response(status.as_u16(), response.inner.headers());
            record_notice(&self.state, &record, notice, &self.call.request_id);
            let limit = LimitNotice::from_headers(response.inner.headers());
            let has_succeeded = status.is_success() && response_info.is_signed;
            record_limit(&self.state, &record, limit, has_succeeded, &self.call.request_id);
            if notice.is_leaving {
                response.close_after();
            }
        }
        if response_info.is_not_run || status.as_u16() == 421 {
            // The rejection says nothing of the first send.
            if !is_resent {
                self.discount_attempt();
            }
            // `at_fault` is the upstream that caused the failure, if it is not the responding one.
            log::info!(
                "event=rejected request_id={} upstream={} status={} at_fault={:?}",
                self.call.request_id,
                record.upstream,
                status.as_u16(),
                response_info.at_fault
            );
            self.exclude(&record.upstream);
            return None;
        }
        count_usage(&self.state, self.call.account.as_ref(), &self.call.is_counted);
        // A success without the upstream's signature header counts as a failure.
        let is_failure =
            status.is_server_error() || (status.is_success() && !response_info.is_signed);
        if is_failure && (has_other || self.may_run_again()) {
            self.record_failed_attempt(FailedAttempt {
                upstream: &record.upstream,
                response_began: Some(Instant::now()),
                is_disconnected: false,
                reason: status.as_str(),
            });
            return None;
        }
        let silence_timeout = silence_timeout.unwrap_or(MAX_SILENCE_TIMEOUT);
        let response_began = Instant::now();
        Some(RunningAttempt {
            response,
            record,
            response_info,
            load,
            response_began,
            silence_timeout,
        })
    }

    /// Connection limits for a send: this node's share of the connections that the upstream accepts
    /// from all nodes, and only recently used connections for a request that must not be repeated. A
    /// request without an id gets a new connection, because nothing would tell its response from a
    /// late copy of another one.
    fn send_options(&self) -> SendOptions {
        let config = self.state.config();
        let spec = config.as_ref().and_then(|config| config.services.get(&self.call.service));
        let limit = spec.map_or(u32::MAX, |spec| spec.max_connections) as usize;
        let share = (limit / self.state.sharing_node_count().max(1)).max(1);
        let options = SendOptions::default().with_max_connections(share);
        match (&self.call.caller.request_id, self.call.route.kind.may_repeat()) {
            (None, _) => options.with_max_idle(Duration::ZERO),
            (Some(_), true) => options,
            (Some(_), false) => options.with_max_idle(NON_IDEMPOTENT_MAX_IDLE),
        }
    }

    /// Builds the request for the upstream; `None` if the path or query of the request is invalid.
    fn build_request(
        &self,
        record: &UpstreamRecord,
        time_left: Duration,
        last_event: Option<u64>,
    ) -> Option<Request<Full<bytes::Bytes>>> {
        let call = &self.call;
        let priority = match self.attempts {
            0 => call.priority,
            _ => call.priority.saturating_sub(1),
        };
        let headers = upstream_headers(
            &call.headers,
            &record.upstream,
            call.account.as_deref(),
            priority,
            time_left,
            last_event,
        );
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.path.parse().ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }
}

/// Whether a response of which only the end of its connection tells the end may be incomplete. `record`
/// is that of the upstream when the request was sent.
///
/// A new connection to the upstream shows it. If its host refuses one, the process may have crashed.
/// If it stays open, the process goes on. If it is closed soon, either the listener ends, and its host
/// refuses the next connection, or the upstream is at its limit of connections, and closes the next
/// one, too. No result, as of an upstream that stands still or is far away, shows neither, so the
/// upstream is asked again until `until`, and the response counts as incomplete if that has no result
/// either. A new process under the upstream's id can't vouch for the response. What the record says
/// of the upstream's state does not matter, as upstreams that leave or pause can crash too.
///
/// It can't tell a part from the whole if the upstream goes on after it has closed the connection
/// early, or if another process has taken the address and the record does not show it yet. It takes
/// the whole for a part if the upstream ended right after it, or can't be reached until `until`.
pub(super) async fn may_be_broken_off(
    state: &GatewayState,
    call: &GatewayCall,
    record: &UpstreamRecord,
    until: Instant,
) -> bool {
    let is_replaced = || {
        let view = state.view();
        let current = view.upstreams.get(&record.upstream);
        current.is_some_and(|current| current.start_time_ms != record.start_time_ms)
    };
    let mut was_closed = false;
    loop {
        let started = Instant::now();
        let left = call.time_left(started).min(until.saturating_duration_since(started));
        if left.is_zero() {
            return true;
        }
        let timeout = END_CHECK_TIMEOUT.min(left);
        let options = SendOptions::default().with_connect_timeout(timeout);
        match state.upstream_pool.open_idle(&record.address, options, CRASH_CHECK_INTERVAL).await {
            Ok(()) => return is_replaced(),
            Err(SendFailure::Closed) if was_closed => return is_replaced(),
            Err(SendFailure::Closed) => {
                was_closed = true;
                compio::time::sleep(CRASH_CHECK_INTERVAL).await;
                continue;
            }
            Err(SendFailure::Refused) => return true,
            Err(failure) => log::debug!(
                "event=end_unknown request_id={} upstream={} took_ms={} reason={failure:?}",
                call.request_id,
                record.upstream,
                started.elapsed().as_millis()
            ),
        }
        // A failure at this node, such as a lack of descriptors, comes at once.
        compio::time::sleep(timeout.saturating_sub(started.elapsed())).await;
    }
}

/// Waits for the result of a send; forever without one.
async fn wait_for(send: Option<&mut PendingSend>) -> SendResult {
    match send {
        Some(send) => send.await,
        None => pending().await,
    }
}
