//! Event streams that are forwarded event by event, and resumed on another upstream when they are
//! interrupted.

use std::io;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_dispatch::{EndSignal, EventAssembler, EventFault, RouteRule, StreamEnd};
use eelgrassdeal_platform::UpstreamResponse;
use futures_util::future::{Either, select};
use futures_util::stream::unfold;
use futures_util::{FutureExt, StreamExt};

use super::attempt::{AttemptRunner, FailedAttempt, RunningAttempt, WaitError, may_be_broken_off};
use super::buffered;
use super::call::GatewayCall;
use super::hold::BufferHold;
use super::refusal::CallRefusal;
use crate::crash::is_crash_onset;
use crate::server::{Reply, stream_reply};
use crate::state::{GatewayState, InFlightGuard};

/// Callers are assumed to abandon a stream without a new event after this time, after this multiple
/// of the target latency, or after this multiple of the target gap, whichever is longest.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);
const CALLER_PATIENCE_LATENCIES: u32 = 4;
const CALLER_PATIENCE_GAPS: u32 = 8;
/// Fraction of the callers' patience after which a stream without a complete event is resumed on
/// another upstream. The rest of it is left for the resumption.
const STALL_FRACTION: f64 = 0.7;

/// Handles a request whose response is a stream of events.
pub(super) async fn handle(
    state: &Rc<GatewayState>,
    call: &Rc<GatewayCall>,
) -> Result<Reply, CallRefusal> {
    let mut runner = AttemptRunner::new(state, call);
    loop {
        let attempt = runner.start(call.caller.last_event).await?;
        if attempt.is_signed_success() {
            let headers = UpstreamResponse::forwarded_headers(attempt.response.inner.headers());
            let relay = StreamRelay::new(runner, attempt);
            let mut reply = stream_reply(relay.into_stream());
            *reply.headers_mut() = headers;
            return Ok(reply);
        }
        let upstream = attempt.load.upstream.clone();
        if let Some(response) = buffered::collect(&mut runner, attempt).await? {
            return buffered::forward(&runner, &upstream, response);
        }
    }
}

/// Result of reading from an upstream.
enum ReadResult {
    Bytes(Bytes),
    /// The response has ended without an error.
    End(EndSignal),
    /// The response ended early.
    Failed(StreamFailure),
    /// The deadline of the request passed, or the node is shutting down.
    Deadline,
}

/// Why a stream is resumed on another upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamFailure {
    /// The connection to the upstream ended before the response did.
    Disconnected,
    /// The response ended without an error, but inside an event, before the first one, or in a crash.
    BrokenOff,
    /// The upstream counts as silent.
    Silent,
    /// Bytes arrive, but no event is completed.
    Stalled,
    /// The memory for responses has no room for an event that is not complete.
    NoRoom,
    /// An event must not be forwarded.
    InvalidEvent(EventFault),
}

impl StreamFailure {
    fn reason(self) -> &'static str {
        match self {
            Self::Disconnected => "response interrupted",
            Self::Silent => "silent",
            Self::Stalled => "no complete event",
            Self::NoRoom => "no room for an incomplete event",
            Self::BrokenOff => "response ended inside an event, without any, or in a crash",
            Self::InvalidEvent(EventFault::TooLarge) => "an event exceeds the size limit",
            Self::InvalidEvent(EventFault::NotIncreasing) => "the ids of events do not increase",
        }
    }

    /// Whether the attempt may still go on.
    fn is_pause(self) -> bool {
        matches!(self, Self::Silent | Self::Stalled)
    }

    /// Whether the upstream closed the connection before the stream was complete.
    fn is_disconnected(self) -> bool {
        matches!(self, Self::Disconnected | Self::BrokenOff)
    }
}

/// How the wait for another attempt beside the running one ends.
enum RelocationResult {
    /// The other attempt has a response; the running one may have failed meanwhile.
    Started(Box<RunningAttempt>, Option<StreamFailure>),
    /// No other attempt can be made; the running one goes on.
    Refused,
    /// The running attempt has brought an event.
    Continued,
    /// The running attempt has completed the stream with these bytes.
    Completed(Bytes),
    /// The running attempt has failed for this reason, and no other attempt can be made.
    Lost(StreamFailure, CallRefusal),
}

/// Forwards one event stream to a caller. Dropping it cancels the request on the upstream.
struct StreamRelay {
    runner: AttemptRunner,
    /// The attempt that is being forwarded; `None` while the stream is resumed and after its end.
    attempt: Option<RunningAttempt>,
    events: EventAssembler,
    /// Memory for the bytes of an event that is not complete.
    hold: BufferHold,
    /// When the wait for the next complete event began. Other bytes, such as comments, are no
    /// progress. The time in which the caller reads does not count.
    waiting_since: Instant,
    /// Whether the running attempt is known not to crash its upstream.
    is_acquitted: bool,
    is_over: bool,
}

impl StreamRelay {
    fn new(runner: AttemptRunner, attempt: RunningAttempt) -> Self {
        let events = EventAssembler::new(runner.call.caller.last_event);
        let hold = BufferHold::new(&runner.state.response_budget);
        Self {
            runner,
            attempt: Some(attempt),
            events,
            hold,
            waiting_since: Instant::now(),
            is_acquitted: false,
            is_over: false,
        }
    }

    fn into_stream(self) -> futures_util::stream::LocalBoxStream<'static, io::Result<Bytes>> {
        // The stream counts as in progress until the server drops it, also while the caller reads.
        let in_flight = InFlightGuard::new(&self.runner.state);
        unfold((self, in_flight), |(mut relay, in_flight)| async move {
            let next = AssertUnwindSafe(relay.next()).catch_unwind().await;
            // Without an error, a response that ends with its connection would look complete.
            let item = next.unwrap_or_else(|_| relay.fail("an unexpected error of the node"));
            item.map(|item| (item, (relay, in_flight)))
        })
        .boxed_local()
    }

    /// Returns the next complete events, or `None` after the end of the stream.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        self.waiting_since = Instant::now();
        while !self.is_over {
            let failure = match self.events.take_events() {
                Ok(Some(events)) => return Some(Ok(events)),
                Ok(None) if self.is_stalled() => StreamFailure::Stalled,
                Ok(None) => match self.read().await {
                    ReadResult::Bytes(bytes) => match self.hold_bytes(bytes.len()).await {
                        Ok(true) => {
                            self.events.push(&bytes);
                            continue;
                        }
                        Ok(false) => StreamFailure::NoRoom,
                        Err(_) => return self.fail(self.runner.call.end_reason(Instant::now())),
                    },
                    ReadResult::End(signal) => match self.events.end(signal) {
                        StreamEnd::Complete(rest) => return self.finish(rest),
                        StreamEnd::BrokenOff => StreamFailure::BrokenOff,
                    },
                    ReadResult::Failed(failure) => failure,
                    ReadResult::Deadline => {
                        return self.fail(self.runner.call.end_reason(Instant::now()));
                    }
                },
                Err(fault) => StreamFailure::InvalidEvent(fault),
            };
            let result = match failure.is_pause() {
                true => self.relocate(failure).await,
                false => self.resume(failure).await.map(|()| None),
            };
            match result {
                Ok(None) => {}
                Ok(Some(rest)) => return self.finish(rest),
                Err(reason) => return self.fail(&reason),
            }
        }
        None
    }

    /// Whether the stream can be resumed on another upstream. If not, waiting is all that is left.
    fn may_move(&self) -> bool {
        self.runner.may_run_again() && self.events.is_resumable()
    }

    /// Time at which the stream is resumed on another upstream unless an event is completed before;
    /// `None` if it can't be.
    fn stalled_at(&self) -> Option<Instant> {
        // Nor does a stall of this process, in which it could not read.
        let since = self.waiting_since.max(self.runner.state.resumed_at.get());
        let timeout = stall_timeout(&self.runner.call.route);
        self.may_move().then(|| since + timeout)
    }

    /// Whether bytes arrive, but no event is completed.
    fn is_stalled(&self) -> bool {
        self.stalled_at().is_some_and(|at| Instant::now() >= at)
    }

    async fn read(&mut self) -> ReadResult {
        let (stalled_at, may_move) = (self.stalled_at(), self.may_move());
        // Does not fail: there is no attempt only while `resume` runs and after the end.
        let Some(attempt) = &mut self.attempt else {
            return ReadResult::Failed(StreamFailure::Disconnected);
        };
        let upstream = attempt.load.upstream.clone();
        let frame = attempt.response.next_frame();
        let silence_timeout = Some(attempt.silence_timeout);
        match self.runner.wait_for_bytes(&upstream, silence_timeout, stalled_at, frame).await {
            Ok(Some(Ok(frame))) => {
                attempt.load.record_progress();
                if !self.is_acquitted && !is_crash_onset(Some(attempt.response_began)) {
                    self.is_acquitted = true;
                    self.runner.call.record_survival(&self.runner.state);
                }
                ReadResult::Bytes(frame.into_data().unwrap_or_default())
            }
            Ok(Some(Err(_))) => ReadResult::Failed(StreamFailure::Disconnected),
            Ok(None) => {
                let until = self.runner.end_check_deadline(may_move);
                let (state, call) = (&self.runner.state, &self.runner.call);
                ReadResult::End(end_signal(state, call, attempt, until).await)
            }
            Err(WaitError::Silent) => {
                self.runner.report_silent(&upstream);
                match may_move {
                    true => ReadResult::Failed(StreamFailure::Silent),
                    false => ReadResult::Bytes(Bytes::new()),
                }
            }
            Err(WaitError::Stalled) => ReadResult::Failed(StreamFailure::Stalled),
            Err(WaitError::Deadline) => ReadResult::Deadline,
        }
    }

    /// Holds memory for `count` further bytes of an event. Waits for it if the event is small: another
    /// upstream would not help, and the upstream can't send more meanwhile. Returns false if there is none
    /// for a large event.
    async fn hold_bytes(&mut self, count: usize) -> Result<bool, WaitError> {
        let bytes = self.events.pending_bytes() + count;
        if self.hold.try_resize(bytes) {
            return Ok(true);
        }
        let Some(attempt) = &self.attempt else { return Ok(false) };
        let upstream = attempt.load.upstream.clone();
        let resize = self.hold.resize(bytes);
        let is_held = self.runner.wait_for_bytes(&upstream, None, None, resize).await?;
        // The wait is no stall of the upstream.
        self.waiting_since = Instant::now();
        Ok(is_held)
    }

    /// Starts another attempt beside the running one, whose upstream is silent or sends no complete
    /// event, and uses the one that goes on first. Without another one, the running attempt goes on.
    /// Returns the rest of the stream if it is complete.
    ///
    /// # Errors
    ///
    /// The reason why the stream cannot go on.
    async fn relocate(&mut self, failure: StreamFailure) -> Result<Option<Bytes>, String> {
        let Some(mut running) = self.attempt.take() else { return Ok(None) };
        let upstream = running.load.upstream.clone();
        self.runner.begin_relocation(&upstream);
        let relocation = self.await_relocation(&mut running).await;
        self.runner.end_relocation();
        self.waiting_since = Instant::now();
        match relocation {
            RelocationResult::Started(attempt, None) if !attempt.is_signed_success() => {
                self.runner.record_failed_attempt(FailedAttempt {
                    upstream: &attempt.load.upstream,
                    response_began: Some(attempt.response_began),
                    is_disconnected: false,
                    reason: attempt.response.inner.status().as_str(),
                });
                self.attempt = Some(running);
            }
            RelocationResult::Started(attempt, loss) => {
                let failure = loss.unwrap_or(failure);
                self.runner.record_failed_attempt(FailedAttempt {
                    upstream: &upstream,
                    response_began: Some(running.response_began),
                    is_disconnected: failure.is_disconnected(),
                    reason: failure.reason(),
                });
                if !attempt.is_signed_success() {
                    let status = attempt.response.inner.status();
                    return Err(format!("{}; resume failed: status {status}", failure.reason()));
                }
                self.events.begin_attempt();
                self.adopt(*attempt, failure);
            }
            RelocationResult::Continued => {
                log::info!(
                    "event=kept request_id={} upstream={upstream} last_event={:?} reason=\"{}\"",
                    self.runner.call.request_id,
                    self.events.last_event(),
                    failure.reason()
                );
                self.attempt = Some(running);
            }
            RelocationResult::Refused => self.attempt = Some(running),
            RelocationResult::Completed(rest) => {
                self.attempt = Some(running);
                return Ok(Some(rest));
            }
            RelocationResult::Lost(loss, refusal) => {
                self.runner.record_failed_attempt(FailedAttempt {
                    upstream: &upstream,
                    response_began: Some(running.response_began),
                    is_disconnected: loss.is_disconnected(),
                    reason: loss.reason(),
                });
                return Err(format!("{}; resume failed: {}", loss.reason(), refusal.kind()));
            }
        }
        Ok(None)
    }

    async fn await_relocation(&mut self, running: &mut RunningAttempt) -> RelocationResult {
        let Self { runner, events, hold, .. } = self;
        let (state, call) = (runner.state.clone(), runner.call.clone());
        let mut start = pin!(runner.start(events.last_event()));
        let loss = loop {
            let frame = match select(start.as_mut(), pin!(running.response.next_frame())).await {
                Either::Left((Ok(attempt), _)) => {
                    return RelocationResult::Started(Box::new(attempt), None);
                }
                Either::Left((Err(_), _)) => return RelocationResult::Refused,
                Either::Right((frame, _)) => frame,
            };
            match frame {
                Some(Ok(frame)) => {
                    running.load.record_progress();
                    let bytes = frame.into_data().unwrap_or_default();
                    if !hold.try_resize(events.pending_bytes() + bytes.len()) {
                        break StreamFailure::NoRoom;
                    }
                    events.push(&bytes);
                    if events.has_event() {
                        return RelocationResult::Continued;
                    }
                }
                Some(Err(_)) => break StreamFailure::Disconnected,
                None => {
                    let end = pin!(end_signal(&state, &call, running, call.deadline));
                    let signal = match select(start.as_mut(), end).await {
                        Either::Left((Ok(attempt), _)) => {
                            return RelocationResult::Started(Box::new(attempt), None);
                        }
                        // The end is read again, and checked, without another attempt.
                        Either::Left((Err(_), _)) => return RelocationResult::Refused,
                        Either::Right((signal, _)) => signal,
                    };
                    match events.end(signal) {
                        StreamEnd::Complete(rest) => return RelocationResult::Completed(rest),
                        StreamEnd::BrokenOff => break StreamFailure::BrokenOff,
                    }
                }
            }
        };
        match start.await {
            Ok(attempt) => RelocationResult::Started(Box::new(attempt), Some(loss)),
            Err(refusal) => RelocationResult::Lost(loss, refusal),
        }
    }

    /// Goes on with another attempt.
    fn adopt(&mut self, attempt: RunningAttempt, failure: StreamFailure) {
        log::info!(
            "event=resumed request_id={} upstream={} last_event={:?} reason=\"{}\"",
            self.runner.call.request_id,
            attempt.load.upstream,
            self.events.last_event(),
            failure.reason()
        );
        self.attempt = Some(attempt);
        self.is_acquitted = false;
        self.waiting_since = Instant::now();
    }

    /// Resumes the stream on another upstream after its last forwarded event.
    ///
    /// # Errors
    ///
    /// The reason why the stream cannot be resumed.
    async fn resume(&mut self, failure: StreamFailure) -> Result<(), String> {
        let reason = failure.reason();
        self.events.begin_attempt();
        if let Some(attempt) = self.attempt.take() {
            self.runner.record_failed_attempt(FailedAttempt {
                upstream: &attempt.load.upstream,
                response_began: Some(attempt.response_began),
                is_disconnected: failure.is_disconnected(),
                reason,
            });
        }
        if !self.events.is_resumable() {
            return Err(format!("{reason}; the last event has no id to resume after"));
        }
        loop {
            if !self.runner.may_run_again() {
                return Err(format!("{reason}; no further attempt is allowed"));
            }
            let attempt = match self.runner.start(self.events.last_event()).await {
                Ok(attempt) => attempt,
                Err(refusal) => return Err(format!("{reason}; resume failed: {}", refusal.kind())),
            };
            let upstream = attempt.load.upstream.clone();
            let status = attempt.response.inner.status();
            if attempt.is_signed_success() {
                self.adopt(attempt, failure);
                return Ok(());
            }
            self.runner.record_failed_attempt(FailedAttempt {
                upstream: &upstream,
                response_began: Some(attempt.response_began),
                is_disconnected: false,
                reason: status.as_str(),
            });
        }
    }

    /// Ends the stream after `rest`, which follows the last event of the response and may be empty.
    fn finish(&mut self, rest: Bytes) -> Option<io::Result<Bytes>> {
        self.is_over = true;
        if let Some(attempt) = self.attempt.take() {
            self.runner.state.loads.borrow_mut().record_outcome(
                &attempt.load.upstream,
                false,
                Instant::now(),
            );
            let call = &self.runner.call;
            call.record_survival(&self.runner.state);
            log::info!(
                "event=answered request_id={} route={} upstream={} runs={} last_event={:?} ends_with_connection={} took_ms={}",
                call.request_id,
                call.route.name,
                attempt.load.upstream,
                self.runner.attempts,
                self.events.last_event(),
                attempt.response.ends_with_connection(),
                call.received.elapsed().as_millis()
            );
            attempt.response.release_connection();
        }
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Ends the stream with an error, which makes the server close the connection to the caller.
    fn fail(&mut self, reason: &str) -> Option<io::Result<Bytes>> {
        self.is_over = true;
        self.attempt = None;
        let call = &self.runner.call;
        // The stream to the caller ends incomplete.
        log::info!(
            "event=cut request_id={} route={} last_event={:?} took_ms={} reason=\"{reason}\"",
            call.request_id,
            call.route.name,
            self.events.last_event(),
            call.received.elapsed().as_millis()
        );
        metrics::counter!("eelgrassdeal_cut_streams_total").increment(1);
        Some(Err(io::Error::other(reason.to_owned())))
    }
}

/// Time without a complete event after which a stream is resumed on another upstream.
fn stall_timeout(route: &RouteRule) -> Duration {
    let patience = CALLER_PATIENCE
        .max(route.target_latency * CALLER_PATIENCE_LATENCIES)
        .max(route.target_event_gap * CALLER_PATIENCE_GAPS);
    patience.mul_f64(STALL_FRACTION)
}

/// What the end of a response without an error shows, as far as it can be found out by `until`.
async fn end_signal(
    state: &GatewayState,
    call: &GatewayCall,
    attempt: &RunningAttempt,
    until: Instant,
) -> EndSignal {
    match attempt.response.ends_with_connection() {
        false => EndSignal::Framing,
        true => match may_be_broken_off(state, call, &attempt.record, until).await {
            true => EndSignal::Crash,
            false => EndSignal::Disconnection,
        },
    }
}
