//! Attempts to run a request on an upstream: sending, retries and the detection of silent upstreams.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::UpstreamRecord;
use eelgrassdeal_http::{PooledResponse, SendFailure, SendOptions};
use eelgrassdeal_platform::{UpstreamNotice, UpstreamResponse, upstream_headers};
use eelgrassdeal_types::{ErrorKind, UpstreamId};
use http_body_util::Full;
use hyper::Request;

use super::call::GatewayCall;
use super::refusal::CallRefusal;
use crate::crash::{check_for_crash, is_crash_onset};
use crate::notice::record_notice;
use crate::placing::{LoadGuard, Placement, PlacementNeed, RoomForecast, place};
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
/// Timeout of the check whether a response that ended with its connection may be broken off.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Assumed maximum number of prompt tokens that an engine processes in one step. The configuration
/// of an engine does not state it.
const PREFILL_CHUNK_TOKENS: f64 = 2_048.0;

/// An attempt whose upstream has sent the response headers. Dropping it cancels the request on the
/// upstream.
pub(super) struct RunningAttempt {
    pub(super) response: PooledResponse,
    /// What the response headers say about the request.
    pub(super) response_info: UpstreamResponse,
    pub(super) load: LoadGuard,
    /// When the response headers arrived.
    pub(super) response_began: Instant,
    /// Minimum time without data after which the upstream counts as silent. Only streams use it.
    pub(super) silence_timeout: Duration,
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

    /// Whether a response of which only the end of its connection tells the end may be incomplete: the
    /// upstream at `address` accepts no further connection, so that its process may have crashed. What
    /// its record says does not matter, as upstreams that leave or pause can crash too.
    ///
    /// It can't tell a part from the whole if the upstream goes on after it has closed the connection
    /// early, or if another process has taken the address. It takes the whole for a part if the
    /// upstream ended right after it, or can't be reached.
    pub(super) async fn may_be_broken_off(&self, address: &Arc<str>) -> bool {
        let options = SendOptions::default().with_connect_timeout(CRASH_CHECK_TIMEOUT);
        self.state.upstream_pool.open_idle(address, options).await.is_err()
    }

    /// Excludes the upstream from further attempts of this request. Other requests avoid it for a
    /// while if there is an alternative.
    fn exclude(&mut self, upstream: &UpstreamId) {
        self.state.loads.borrow_mut().avoid(upstream, Instant::now());
        self.need.excluded.push(upstream.clone());
    }

    /// Counts a send as an attempt.
    fn count_attempt(&mut self) {
        self.arrivals += 1;
        self.attempts += 1;
        self.need.is_rerun = true;
    }

    /// Tries upstreams until one sends a response that is neither a rejection nor a failure after
    /// which another attempt may be made. Failed attempts count against the attempt limit.
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
        loop {
            let placement = self.place(placement_deadline).await?;
            // The quarantine may have begun after the last attempt or during the wait.
            if let Some(refusal) = self.call.check_quarantine(&self.state) {
                return Err(match self.attempts {
                    0 => refusal,
                    _ => self.final_refusal("what the request shares with others is in quarantine"),
                });
            }
            if sends >= MAX_SENDS {
                return Err(
                    self.final_refusal("too many sends to upstreams failed or were rejected")
                );
            }
            if self.arrivals > 0 && !self.state.try_take_retry(&self.call.service, Instant::now()) {
                return Err(self
                    .final_refusal("this node's share of the service's retry budget is used up"));
            }
            sends += 1;
            if let Some(attempt) = self.send(placement, last_event).await? {
                return Ok(attempt);
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
        let mut future = std::pin::pin!(future);
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
            Duration::from_secs_f64(full_pass_ms * SILENCE_TIMEOUT_PASSES / 1_000.0)
                .clamp(MIN_SILENCE_TIMEOUT, MAX_SILENCE_TIMEOUT)
        });
        limit.unwrap_or(MAX_SILENCE_TIMEOUT)
    }

    /// Sends the request to one upstream. Returns `None` if the request may be sent to another one.
    async fn send(
        &mut self,
        placement: Placement,
        last_event: Option<u64>,
    ) -> Result<Option<RunningAttempt>, CallRefusal> {
        let Placement { target, load } = placement;
        let record = &target.record;
        let now = Instant::now();
        let time_left = self.call.time_left(now);
        if time_left.is_zero() {
            return Err(self.final_refusal(self.call.end_reason(now)));
        }
        // The upstream may have asked for no requests while this one waited.
        if !self.state.notices.borrow().may_send(record, now) {
            self.need.excluded.push(record.upstream.clone());
            return Ok(None);
        }
        let Some(request) = self.build_request(record, time_left, last_event) else {
            return Err(self
                .call
                .refuse(ErrorKind::BadRequest, "the path or query of the request is invalid"));
        };
        let is_stream = self.call.route.kind.is_stream();
        let silence_timeout = is_stream.then(|| self.silence_timeout(target.slowdown()));
        let sending = self.state.upstream_pool.send(&record.address, request, self.send_options());
        let result = self.wait_for_bytes(&record.upstream, silence_timeout, None, sending).await;
        // Logged when the wait for the response headers has ended, with any result: possibly no
        // byte was sent. `arrivals` does not include this send.
        log::debug!(
            "event=sent request_id={} upstream={} arrivals={} took_ms={}",
            self.call.request_id,
            record.upstream,
            self.arrivals,
            now.elapsed().as_millis()
        );
        match result {
            Ok(Ok(response)) => self.evaluate_response(record, load, response, silence_timeout),
            Ok(Err(failure)) if failure.is_unsent() => {
                self.handle_unsent(record, failure);
                Ok(None)
            }
            Ok(Err(failure)) => {
                let is_disconnected = failure == SendFailure::MaybeSent;
                self.handle_failed_attempt(record, is_disconnected, &format!("{failure:?}"))
            }
            Err(WaitError::Silent) => {
                self.unstarted_attempts += 1;
                let next_step = self.handle_failed_attempt(record, false, "silent");
                self.report_silent(&record.upstream);
                next_step
            }
            Err(WaitError::Deadline | WaitError::Stalled) => {
                self.count_attempt();
                let reason = self.call.end_reason(Instant::now());
                Err(self.final_refusal(&format!("no response: {reason}")))
            }
        }
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

    /// Counts and records a failed attempt. Returns `None` if another attempt may be made.
    fn handle_failed_attempt(
        &mut self,
        record: &UpstreamRecord,
        is_disconnected: bool,
        reason: &str,
    ) -> Result<Option<RunningAttempt>, CallRefusal> {
        self.count_attempt();
        self.record_failed_attempt(FailedAttempt {
            upstream: &record.upstream,
            response_began: None,
            is_disconnected,
            reason,
        });
        match self.may_run_again() {
            true => Ok(None),
            false => Err(self.final_refusal("the upstream sent no valid response")),
        }
    }

    /// Decides whether the attempt goes on with a response. Returns `None` if the request may be
    /// sent to another upstream instead.
    fn evaluate_response(
        &mut self,
        record: &UpstreamRecord,
        load: LoadGuard,
        response: PooledResponse,
        silence_timeout: Option<Duration>,
    ) -> Result<Option<RunningAttempt>, CallRefusal> {
        let mut response = response;
        let response_info = UpstreamResponse::from_headers(response.inner.headers());
        let status = response.inner.status();
        // Upstreams echo the id, and a late copy of another response may lack it.
        if response_info.request_id != self.call.caller.request_id {
            return self.handle_failed_attempt(record, false, "response to another request");
        }
        // Status 421: another upstream now responds at the address.
        if status.as_u16() != 421 {
            let notice = UpstreamNotice::from_response(status.as_u16(), response.inner.headers());
            record_notice(&self.state, record, notice, &self.call.request_id);
            if notice.is_leaving {
                response.close_after();
            }
        }
        if response_info.is_not_run || status.as_u16() == 421 {
            self.arrivals += 1;
            // `at_fault` is the upstream that caused the failure, if it is not the responding one.
            log::info!(
                "event=rejected request_id={} upstream={} status={} at_fault={:?}",
                self.call.request_id,
                record.upstream,
                status.as_u16(),
                response_info.at_fault
            );
            self.exclude(&record.upstream);
            return Ok(None);
        }
        self.count_attempt();
        // A success without the upstream's signature header counts as a failure.
        let is_failure =
            status.is_server_error() || (status.is_success() && !response_info.is_signed);
        if is_failure && self.may_run_again() {
            self.record_failed_attempt(FailedAttempt {
                upstream: &record.upstream,
                response_began: Some(Instant::now()),
                is_disconnected: false,
                reason: status.as_str(),
            });
            return Ok(None);
        }
        let silence_timeout = silence_timeout.unwrap_or(MAX_SILENCE_TIMEOUT);
        let response_began = Instant::now();
        Ok(Some(RunningAttempt { response, response_info, load, response_began, silence_timeout }))
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
