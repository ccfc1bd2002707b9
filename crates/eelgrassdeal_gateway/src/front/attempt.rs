//! Attempts to run a request at an upstream.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{
    EngineSpec, FleetView, ModelSpec, PlacementNeed, PlacementRefusal, PlacementTarget, Replica,
    UpstreamRecord,
};
use eelgrassdeal_http::{PooledAnswer, SendFailure, SendRule};
use eelgrassdeal_platform::{UpstreamAnswer, upstream_headers};
use eelgrassdeal_types::{ErrorKind, UpstreamId};
use http_body_util::Full;
use hyper::Request;

use super::call::GatewayCall;
use super::refusal::CallRefusal;
use crate::state::GatewayState;

/// Sends of one request, those that upstreams rejected included.
const MAX_SENDS: u32 = 5;
/// Attempts of one request beyond the limit of its route, at engines that fell silent before their
/// answer began.
const MAX_UNBEGUN: u32 = 2;
/// Longest wait for a place. Callers give up a stream whose first event takes two seconds.
const PLACE_PATIENCE: Duration = Duration::from_millis(1_200);
/// Part of the time left that a request may wait for a place, so that it can still finish.
const PLACE_PART: f64 = 0.4;
/// Pause between two looks for a place.
const PLACE_POLL: Duration = Duration::from_millis(15);
/// Pause between two looks at a request that waits for bytes.
const SILENCE_POLL: Duration = Duration::from_millis(40);
/// Part of the time left after which a refused caller comes back. Callers wait at most a third.
const RETURN_PART: f64 = 0.3;
/// Part of the return that is drawn at random, so that refused callers come back spread out.
const RETURN_SPREAD: f64 = 0.6;
/// Most requests for each slot of an engine, over all nodes, for a request that can still be in
/// time: none waits inside the engine, which takes them in their order.
const ENGINE_PER_SLOT: f64 = 1.0;
/// The same for a request that is late already: it leaves the last slots to those that are not.
const LATE_PER_SLOT: f64 = 0.88;
/// The same for a stream that is continued.
const RESUMED_PER_SLOT: f64 = 1.2;
/// Most requests for each slot of a plain service.
const PLAIN_PER_SLOT: f64 = 3.0;
/// Idle time after which a connection is not used for a request that may not be repeated: the
/// upstream may be closing it.
const FRESH_IDLE: Duration = Duration::from_millis(300);
/// Passes of a full engine after which a head without any event counts as silent.
const SILENT_PASSES: f64 = 1.4;
/// Times the usual gap between events after which a head counts as silent.
const SILENT_GAPS: f64 = 2.5;
const MIN_SILENCE: Duration = Duration::from_millis(200);
const MAX_SILENCE: Duration = Duration::from_millis(1_000);
/// Longest wait for the first event at a head where this node has no other running stream. An engine
/// gives up work that stands still after this time.
const FIRST_EVENT_PATIENCE: Duration = Duration::from_millis(4_000);
/// A silent head gets no new requests for this long; by then it is closed or works again.
const SILENT_TIME: Duration = Duration::from_secs(2);
/// Prompt tokens that an engine reads in one step at most, when it does not say.
const READ_CHUNK_TOKENS: f64 = 2_048.0;

/// Counts a request at an upstream while it lasts.
pub(super) struct LoadGuard {
    state: Rc<GatewayState>,
    pub(super) upstream: UpstreamId,
    is_writing: bool,
}

impl LoadGuard {
    fn new(state: &Rc<GatewayState>, upstream: &UpstreamId) -> Self {
        state.loads.borrow_mut().start(upstream, Instant::now());
        Self { state: state.clone(), upstream: upstream.clone(), is_writing: false }
    }

    /// Notes that bytes of an answer came.
    pub(super) fn note_progress(&mut self) {
        let mut loads = self.state.loads.borrow_mut();
        if !self.is_writing {
            self.is_writing = true;
            loads.start_writing(&self.upstream);
        }
        loads.note_progress(&self.upstream, Instant::now());
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.state.loads.borrow_mut().end(&self.upstream, self.is_writing);
    }
}

/// An attempt whose upstream has begun to answer. Dropping it cancels the request there.
pub(super) struct RunningAttempt {
    pub(super) answer: PooledAnswer,
    pub(super) facts: UpstreamAnswer,
    pub(super) load: LoadGuard,
    /// Time without any event after which the upstream counts as lost.
    pub(super) silence: Duration,
}

/// Why waiting for bytes ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitEnd {
    /// The deadline passed.
    Deadline,
    /// The upstream sends nothing to any request of this node.
    Silent,
}

/// Starts the attempts of one request.
pub(super) struct AttemptRunner {
    pub(super) state: Rc<GatewayState>,
    pub(super) call: Rc<GatewayCall>,
    excluded: Vec<UpstreamId>,
    /// Requests that reached an upstream, also those that it rejected.
    arrivals: u32,
    /// Attempts that may have run.
    pub(super) runs: u32,
    /// Attempts at engines that fell silent before their answer began. An engine that works begins
    /// its answer with the first token, so that these hardly ran.
    unbegun: u32,
}

impl AttemptRunner {
    pub(super) fn new(state: &Rc<GatewayState>, call: &Rc<GatewayCall>) -> Self {
        Self {
            state: state.clone(),
            call: call.clone(),
            excluded: Vec::new(),
            arrivals: 0,
            runs: 0,
            unbegun: 0,
        }
    }

    /// Whether another attempt may run, after the earlier ones may have run.
    pub(super) fn may_run_again(&self) -> bool {
        let limit = self.call.route.attempt_limit + self.unbegun.min(MAX_UNBEGUN);
        self.call.route.kind.may_repeat() && self.runs < limit
    }

    /// Notes that a head sends nothing to any request of this node.
    pub(super) fn note_silent(&self, upstream: &UpstreamId) {
        let now = Instant::now();
        self.state.loads.borrow_mut().avoid_for(upstream, now, SILENT_TIME);
        self.state.note_silent(upstream, now, now);
    }

    /// Notes that the attempt at `upstream` failed after it may have run.
    pub(super) fn note_failed_run(&mut self, upstream: &UpstreamId, reason: &str) {
        log::info!(
            "event=attempt_failed request_id={} upstream={upstream} runs={} reason={reason}",
            self.call.request_id,
            self.runs
        );
        metrics::counter!("eelgrassdeal_failed_attempts_total").increment(1);
        self.state.loads.borrow_mut().note_outcome(upstream, true, Instant::now());
        self.leave_out(upstream);
    }

    /// Sends this request elsewhere, and others for a while if there is another upstream.
    fn leave_out(&mut self, upstream: &UpstreamId) {
        self.state.loads.borrow_mut().avoid(upstream, Instant::now());
        self.excluded.push(upstream.clone());
    }

    /// Counts an attempt that may have run.
    fn count_run(&mut self) {
        self.arrivals += 1;
        self.runs += 1;
    }

    /// Starts the next attempt, and tries upstreams until one answers.
    ///
    /// `last_event` is the id of the last event that the caller has, when a stream is continued.
    pub(super) async fn start(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<RunningAttempt, CallRefusal> {
        let place_until = self.place_deadline();
        let mut sends = 0;
        loop {
            let target = self.wait_for_place(place_until).await?;
            if sends >= MAX_SENDS {
                return Err(self.give_up("upstreams rejected the request several times"));
            }
            if self.arrivals > 0 && !self.state.take_retry(&self.call.service, Instant::now()) {
                return Err(self.give_up("the retry budget of the service is spent"));
            }
            sends += 1;
            if let Some(attempt) = self.send(&target, last_event).await? {
                return Ok(attempt);
            }
        }
    }

    /// The refusal of a request for which no further attempt is made.
    pub(super) fn give_up(&self, reason: &str) -> CallRefusal {
        let now = Instant::now();
        match (self.runs, now >= self.call.deadline) {
            (0, true) => self.call.refuse(ErrorKind::DeadlineUnreachable, reason),
            (0, false) => {
                let drawn = 1.0 - RETURN_SPREAD * rand::random::<f64>();
                let part = RETURN_PART * drawn;
                let wait = self.call.time_left(now).mul_f64(part);
                self.call.refuse(ErrorKind::NoCapacity, reason).with_retry_after(wait)
            }
            (_, true) => self.call.refuse(ErrorKind::DeadlinePassed, reason),
            (_, false) => self.call.refuse(ErrorKind::OutcomeUnknown, reason),
        }
    }

    /// Waits for `future` until the deadline, or until the upstream counts as lost.
    pub(super) async fn wait_for_bytes<T>(
        &self,
        upstream: &UpstreamId,
        silence: Option<Duration>,
        future: impl Future<Output = T>,
    ) -> Result<T, WaitEnd> {
        let mut future = std::pin::pin!(future);
        let started = Instant::now();
        loop {
            let now = Instant::now();
            let left = self.call.time_left(now);
            if left.is_zero() {
                return Err(WaitEnd::Deadline);
            }
            let poll = SILENCE_POLL.min(left);
            if let Ok(value) = compio::time::timeout(poll, future.as_mut()).await {
                return Ok(value);
            }
            let now = Instant::now();
            if now.duration_since(started) < MIN_SILENCE {
                continue;
            }
            if silence.is_some_and(|limit| self.is_silent(upstream, limit, started, now)) {
                return Err(WaitEnd::Silent);
            }
        }
    }

    fn is_silent(
        &self,
        upstream: &UpstreamId,
        limit: Duration,
        started: Instant,
        now: Instant,
    ) -> bool {
        let loads = self.state.loads.borrow();
        let limit = limit.max(loads.usual_gap(upstream).mul_f64(SILENT_GAPS));
        match loads.silence(upstream, now) {
            // Others of this node's streams show whether the engine works.
            Some(silence) => silence > limit && now.duration_since(started) > limit,
            None => {
                let waited = now.duration_since(started);
                let is_told = waited > limit && self.state.is_silent(upstream, now);
                is_told || waited > FIRST_EVENT_PATIENCE
            }
        }
    }

    fn place_deadline(&self) -> Instant {
        let now = Instant::now();
        now + self.call.time_left(now).mul_f64(PLACE_PART).min(PLACE_PATIENCE)
    }

    /// Waits until an upstream has room.
    async fn wait_for_place(&mut self, until: Instant) -> Result<PlacementTarget, CallRefusal> {
        loop {
            let now = Instant::now();
            let refusal = match self.choose(now) {
                Ok(target) => return Ok(target),
                Err(refusal) => refusal,
            };
            if now >= until {
                return Err(self.give_up(match refusal {
                    PlacementRefusal::NoneServing => "no upstream serves the request now",
                    PlacementRefusal::AllFull => "every upstream is full",
                }));
            }
            compio::time::sleep(PLACE_POLL).await;
        }
    }

    fn choose(&mut self, now: Instant) -> Result<PlacementTarget, PlacementRefusal> {
        let view = self.state.view();
        let mut candidates = self.candidates(&view);
        loop {
            let need = PlacementNeed { excluded: &self.excluded, max_per_slot: self.per_slot() };
            let choice = self.state.loads.borrow().choose(&candidates, need, rand::random(), now);
            let target = match choice {
                Ok(target) => target,
                // All were tried: the next round may take one that rejected the request before.
                Err(PlacementRefusal::NoneServing) if !candidates.is_empty() => {
                    self.excluded.clear();
                    return Err(PlacementRefusal::AllFull);
                }
                Err(refusal) => return Err(refusal),
            };
            if self.state.take_cold_share(&target.record, now) {
                return Ok(target);
            }
            candidates.retain(|known| known.record.upstream != target.record.upstream);
            if candidates.is_empty() {
                return Err(PlacementRefusal::AllFull);
            }
        }
    }

    fn candidates(&self, view: &FleetView) -> Vec<PlacementTarget> {
        let service = &self.call.service;
        let replicas = self.with_model(|engine, spec| {
            let target = |replica: Replica| match replica.is_far {
                true => PlacementTarget::new(replica.head).with_slowness(engine.far_factor),
                false => PlacementTarget::new(replica.head),
            };
            view.replicas(service, &spec.model).into_iter().map(target).collect()
        });
        replicas.unwrap_or_else(|| {
            view.plain_upstreams(service).into_iter().map(PlacementTarget::new).collect()
        })
    }

    fn per_slot(&self) -> f64 {
        match (self.with_model(|_, _| ()).is_some(), self.runs) {
            (true, 0) if self.call.received.elapsed() < self.call.route.target_latency => {
                ENGINE_PER_SLOT
            }
            (true, 0) => LATE_PER_SLOT,
            // A stream that has begun goes before those that have not.
            (true, _) => RESUMED_PER_SLOT,
            (false, _) => PLAIN_PER_SLOT,
        }
    }

    /// Reads the engine and the model that the request is for; `None` for a plain service.
    fn with_model<T>(&self, read: impl FnOnce(&EngineSpec, &ModelSpec) -> T) -> Option<T> {
        let config = self.state.config()?;
        let engine = config.services.get(&self.call.service)?.engine.as_ref()?;
        let spec = engine.model(self.call.caller.model.as_deref()?)?;
        Some(read(engine, spec))
    }

    /// Time without any event after which a head of the call's model counts as silent.
    fn silence_limit(&self, slowness: f64) -> Duration {
        let limit = self.with_model(|engine, spec| {
            let slots = f64::from(engine.slots);
            let context = slots * (engine.usual_prompt + engine.usual_answer) / 1_000.0;
            let step_ms = engine.step_time.as_secs_f64() * 1_000.0
                + engine.per_sequence_ms * slots
                + engine.per_context_ms * context;
            let read_ms = READ_CHUNK_TOKENS * 1_000.0 / engine.read_per_s.max(1.0);
            // Prompts are read in every step of a pass.
            let full_pass_ms =
                (step_ms + read_ms) * f64::from(engine.stride) * spec.pace * slowness;
            Duration::from_secs_f64(full_pass_ms * SILENT_PASSES / 1_000.0)
                .clamp(MIN_SILENCE, MAX_SILENCE)
        });
        limit.unwrap_or(MAX_SILENCE)
    }

    /// Sends the request to one upstream. `None` if it certainly did not run there.
    async fn send(
        &mut self,
        target: &PlacementTarget,
        last_event: Option<u64>,
    ) -> Result<Option<RunningAttempt>, CallRefusal> {
        let record = &target.record;
        let now = Instant::now();
        let time_left = self.call.time_left(now);
        if time_left.is_zero() {
            return Err(self.give_up("the deadline passed"));
        }
        let Some(request) = self.request(record, time_left, last_event) else {
            return Err(self.call.refuse(ErrorKind::BadRequest, "the request cannot be passed on"));
        };
        let load = LoadGuard::new(&self.state, &record.upstream);
        let is_stream = self.call.route.kind.is_stream();
        let silence = is_stream.then(|| self.silence_limit(target.slowness()));
        let sending = self.state.pool.send(&record.address, request, self.rule());
        let result = self.wait_for_bytes(&record.upstream, silence, sending).await;
        log::debug!(
            "event=sent request_id={} upstream={} arrivals={} took_ms={}",
            self.call.request_id,
            record.upstream,
            self.arrivals,
            now.elapsed().as_millis()
        );
        match result {
            Ok(Ok(answer)) => self.judge(record, load, answer, silence),
            Ok(Err(failure)) if failure.is_unsent() => {
                self.note_unsent(record, failure);
                Ok(None)
            }
            Ok(Err(failure)) => self.after_run(record, &format!("{failure:?}")),
            Err(WaitEnd::Silent) => {
                self.unbegun += 1;
                let refusal = self.after_run(record, "silent");
                self.note_silent(&record.upstream);
                refusal
            }
            Err(WaitEnd::Deadline) => {
                self.count_run();
                Err(self.give_up("no answer before the deadline"))
            }
        }
    }

    fn note_unsent(&mut self, record: &UpstreamRecord, failure: SendFailure) {
        log::info!(
            "event=unsent request_id={} upstream={} reason={failure:?}",
            self.call.request_id,
            record.upstream
        );
        match failure {
            // This node's own limit: the upstream is not at fault.
            SendFailure::TooManyConnections => self.excluded.push(record.upstream.clone()),
            _ => {
                let now = Instant::now();
                self.state.loads.borrow_mut().note_outcome(&record.upstream, true, now);
                self.leave_out(&record.upstream);
            }
        }
    }

    /// After an attempt that may have run: `None` if another may be made.
    fn after_run(
        &mut self,
        record: &UpstreamRecord,
        reason: &str,
    ) -> Result<Option<RunningAttempt>, CallRefusal> {
        self.count_run();
        self.note_failed_run(&record.upstream, reason);
        match self.may_run_again() {
            true => Ok(None),
            false => Err(self.give_up("the upstream gave no answer")),
        }
    }

    fn judge(
        &mut self,
        record: &UpstreamRecord,
        load: LoadGuard,
        answer: PooledAnswer,
        silence: Option<Duration>,
    ) -> Result<Option<RunningAttempt>, CallRefusal> {
        let facts = UpstreamAnswer::read(answer.response.headers());
        let status = answer.response.status();
        let is_own = facts
            .request_id
            .as_ref()
            .is_none_or(|id| Some(id) == self.call.caller.request_id.as_ref());
        if !is_own {
            return self.after_run(record, "answer of another request");
        }
        if facts.is_not_run || status.as_u16() == 421 {
            self.arrivals += 1;
            log::info!(
                "event=rejected request_id={} upstream={} status={} at_fault={:?}",
                self.call.request_id,
                record.upstream,
                status.as_u16(),
                facts.at_fault
            );
            self.leave_out(&record.upstream);
            return Ok(None);
        }
        self.count_run();
        let is_failure = status.is_server_error() || (status.is_success() && !facts.is_signed);
        if is_failure && self.may_run_again() {
            self.note_failed_run(&record.upstream, status.as_str());
            return Ok(None);
        }
        let silence = silence.unwrap_or(MAX_SILENCE);
        Ok(Some(RunningAttempt { answer, facts, load, silence }))
    }

    fn rule(&self) -> SendRule {
        let config = self.state.config();
        let spec = config.as_ref().and_then(|config| config.services.get(&self.call.service));
        let limit = spec.map_or(u32::MAX, |spec| spec.max_connections) as usize;
        let share = (limit / self.state.sharing_nodes().max(1)).max(1);
        let rule = SendRule::default().with_max_connections(share);
        match self.call.route.kind.may_repeat() {
            true => rule,
            false => rule.with_max_idle(FRESH_IDLE),
        }
    }

    fn request(
        &self,
        record: &UpstreamRecord,
        time_left: Duration,
        last_event: Option<u64>,
    ) -> Option<Request<Full<bytes::Bytes>>> {
        let call = &self.call;
        let priority = match self.runs {
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
