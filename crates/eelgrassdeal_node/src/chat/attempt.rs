//! Attempts at running a request on a replica.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_types::{CallError, ErrorKind, ReplicaId};
use http_body_util::Full;
use hyper::{Method, Request};

use super::ChatCall;
use super::event::{EngineEvent, EngineEvents};
use super::progress::ResponseProgress;
use crate::quarantine::check_ban;
use crate::slots::{HeldSlot, ReplicaTarget, SlotConstraints};
use crate::state::NodeState;
use crate::upstream_client::{SendFailure, send_request};

/// Failed attempts after which the response fails.
const MAX_FAILED_ATTEMPTS: u32 = 8;
/// Timeout for the head of an engine's response, and again for the first token after it. An engine
/// that exceeds it is assumed to have lost a member or to hang.
pub(crate) const RESPONSE_START_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an attempt for which replicas are excluded waits for a slot before it determines the
/// excluded replicas again.
const EXCLUSION_REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// How long a stream on a straggler waits for a slot of another replica before it stays where it
/// is.
const MOVE_SLOT_TIMEOUT: Duration = Duration::from_millis(20);
/// How long a replica that failed a request is excluded from further attempts at this request.
/// Within this time the replica is probed again, so that it may serve again afterwards.
const EXCLUSION_PERIOD: Duration = Duration::from_secs(2);

/// An attempt in progress. Dropping it cancels the engine's stream and releases the slot.
pub(crate) struct RunningAttempt {
    pub(crate) slot: HeldSlot,
    events: EngineEvents,
    /// Tokens received in this attempt.
    pub(crate) tokens: u32,
    /// When the request was sent; `None` once the first token has arrived.
    awaiting_first_token_since: Option<Instant>,
}

impl RunningAttempt {
    /// Reads the next event, as [`EngineEvents::next`], and records the time to the first token.
    pub(crate) async fn next(&mut self, timeout: Duration) -> EngineEvent {
        let event = self.events.next(timeout).await;
        if let (EngineEvent::Chunk { .. }, Some(sent_at)) =
            (&event, self.awaiting_first_token_since)
        {
            self.slot.record_first_token(sent_at.elapsed());
            self.awaiting_first_token_since = None;
        }
        event
    }
}

/// Starts the attempts of one request.
pub(crate) struct AttemptStarter {
    state: Rc<NodeState>,
    pub(crate) chat_call: ChatCall,
    failed_attempts: u32,
    /// Whether any byte of the request may have been sent to an engine.
    has_sent: bool,
    /// Whether the next attempt is exempt from the retry budget, because it resumes a stream whose
    /// reader had stalled: no replica failed.
    is_next_attempt_exempt: bool,
    /// Replicas at which an attempt failed, with the time.
    failed_replicas: Vec<(ReplicaId, Instant)>,
}

impl AttemptStarter {
    pub(crate) fn new(state: Rc<NodeState>, chat_call: ChatCall) -> Self {
        Self {
            state,
            chat_call,
            failed_attempts: 0,
            has_sent: false,
            is_next_attempt_exempt: false,
            failed_replicas: Vec::new(),
        }
    }

    /// Starts the next attempt: tries replicas until one accepts the request.
    pub(crate) async fn start(
        &mut self,
        progress: &ResponseProgress,
    ) -> Result<RunningAttempt, CallError> {
        loop {
            if self.failed_attempts >= MAX_FAILED_ATTEMPTS {
                let text = "the request failed on several replicas";
                return Err(CallError::new(ErrorKind::AnswerIncomplete, text));
            }
            check_ban(&self.state.fleet(), self.chat_call.fingerprint)?;
            let slot = self.wait_for_slot(progress).await?;
            // The request may have been banned during the wait.
            check_ban(&self.state.fleet(), self.chat_call.fingerprint)?;
            // The deadline may have passed during the wait, or while the process was paused.
            self.check_deadline()?;
            if let Some(attempt) = self.send(slot, progress).await? {
                return Ok(attempt);
            }
        }
    }

    /// Starts an attempt on a replica that is not a straggler; `None` unless such a replica has a
    /// slot and its retry budget allows the attempt.
    pub(crate) async fn start_on_other_replica(
        &mut self,
        straggler: &ReplicaId,
        progress: &ResponseProgress,
    ) -> Option<RunningAttempt> {
        let mut excluded = self.recently_failed();
        excluded.push(straggler.clone());
        excluded.extend(self.stragglers());
        let constraints = self.slot_constraints(excluded, progress);
        let acquire = HeldSlot::acquire(&self.state, &self.chat_call.call, &constraints);
        let slot = compio::time::timeout(MOVE_SLOT_TIMEOUT, acquire).await.ok()?.ok()?;
        match slot.may_send() && self.try_take_budget(&slot) {
            true => self.send(slot, progress).await.ok().flatten(),
            false => None,
        }
    }

    /// Records that an attempt failed after the request was sent.
    pub(crate) fn record_failure(&mut self, replica: ReplicaId, progress: &ResponseProgress) {
        self.failed_attempts += 1;
        let request_id = &self.chat_call.call.request_id;
        let offset = progress.next_offset();
        log::info!("request_id={request_id} replica={replica} offset={offset} attempt failed");
        metrics::counter!("eelgrassdeal_failed_attempts_total").increment(1);
        self.failed_replicas.push((replica, Instant::now()));
    }

    /// Lets the next attempt start without taking a retry from the budget.
    pub(crate) fn exempt_next_attempt(&mut self) {
        self.is_next_attempt_exempt = true;
    }

    /// Whether the replica is much slower than the fastest one of the model.
    pub(crate) fn is_straggler(&self, replica: &ReplicaId) -> bool {
        self.stragglers().contains(replica)
    }

    fn stragglers(&self) -> Vec<ReplicaId> {
        self.state.front.interval_tracker.borrow().stragglers(&self.chat_call.chat.model)
    }

    /// Refuses the next attempt if the deadline has passed. The error says whether the request may
    /// have run.
    fn check_deadline(&self) -> Result<(), CallError> {
        // `DeadlineExpired`, the kind of `error`, says that the request was not sent, and
        // `DeadlinePassed` that it may have been.
        self.chat_call.call.check_deadline().map_err(|error| match self.has_sent {
            true => CallError::new(ErrorKind::DeadlinePassed, "the deadline passed"),
            false => error,
        })
    }

    /// Replicas that failed this request within [`EXCLUSION_PERIOD`].
    fn recently_failed(&self) -> Vec<ReplicaId> {
        let recent = self.failed_replicas.iter().filter(|(_, at)| at.elapsed() < EXCLUSION_PERIOD);
        recent.map(|(replica, _)| replica.clone()).collect()
    }

    /// Waits for a slot of a replica whose retry budget allows the attempt.
    async fn wait_for_slot(&mut self, progress: &ResponseProgress) -> Result<HeldSlot, CallError> {
        let mut without_budget: Vec<ReplicaId> = Vec::new();
        loop {
            self.check_deadline()?;
            let excluded = [self.excluded(), without_budget.clone()].concat();
            let constraints = self.slot_constraints(excluded, progress);
            let acquire = HeldSlot::acquire(&self.state, &self.chat_call.call, &constraints);
            let slot = match constraints.excluded.is_empty() {
                true => acquire.await,
                false => match compio::time::timeout(EXCLUSION_REVIEW_INTERVAL, acquire).await {
                    Ok(slot) => slot,
                    Err(_) => {
                        without_budget.clear();
                        continue;
                    }
                },
            };
            let slot = match slot {
                Ok(slot) => slot,
                Err(error) if error.kind == ErrorKind::DeadlineExpired => {
                    self.check_deadline()?;
                    return Err(error);
                }
                Err(error) => return Err(error),
            };
            match slot.may_send() {
                true if self.try_take_budget(&slot) => return Ok(slot),
                true => without_budget.push(slot.replica.clone()),
                false => {}
            }
        }
    }

    /// Replicas to exclude: those that failed this request recently, and stragglers. If these are
    /// all replicas of the model, only those that failed; if these are all, none.
    fn excluded(&self) -> Vec<ReplicaId> {
        let target = ReplicaTarget::Model(self.chat_call.chat.model.clone());
        let candidates = self.state.slots.borrow().candidates(&target);
        let failed = self.recently_failed();
        let with_stragglers = [failed.clone(), self.stragglers()].concat();
        let leaves_candidate = |excluded: &Vec<ReplicaId>| {
            candidates.iter().any(|candidate| !excluded.contains(candidate))
        };
        [with_stragglers, failed].into_iter().find(leaves_candidate).unwrap_or_default()
    }

    fn slot_constraints(
        &self,
        excluded: Vec<ReplicaId>,
        progress: &ResponseProgress,
    ) -> SlotConstraints {
        let is_resumed = progress.next_offset() > 0;
        SlotConstraints {
            target: ReplicaTarget::Model(self.chat_call.chat.model.clone()),
            kv_tokens: self.chat_call.kv_tokens,
            excluded,
            affinity: Some(self.chat_call.affinity),
            may_wait_for_replica: self.has_sent || is_resumed,
            is_resumed,
        }
    }

    /// Records a first attempt, or takes a retry from the replica's budget unless the attempt is
    /// exempt; false if the budget is spent.
    fn try_take_budget(&self, slot: &HeldSlot) -> bool {
        let now = Instant::now();
        let mut budgets = self.state.front.retry_budgets.borrow_mut();
        if self.has_sent {
            return self.is_next_attempt_exempt || budgets.try_take_retry(&slot.replica, now);
        }
        budgets.record_request(&slot.replica, now);
        true
    }

    /// Sends the request to the replica of `slot`; `None` if it fails or refuses the request.
    async fn send(
        &mut self,
        slot: HeldSlot,
        progress: &ResponseProgress,
    ) -> Result<Option<RunningAttempt>, CallError> {
        self.is_next_attempt_exempt = false;
        let request = self.engine_request(progress)?;
        let timeout = RESPONSE_START_TIMEOUT.min(self.chat_call.call.time_left());
        let sent_at = Instant::now();
        let sent = compio::time::timeout(timeout, send_request(&slot.address, request)).await;
        let replica = slot.replica.clone();
        match sent {
            Ok(Ok(response)) if response.status().is_success() => {
                self.has_sent = true;
                let events = EngineEvents::new(response.into_body());
                return Ok(Some(RunningAttempt {
                    slot,
                    events,
                    tokens: 0,
                    awaiting_first_token_since: Some(sent_at),
                }));
            }
            // An engine that is not ready refuses the request and doesn't run it.
            Ok(Ok(response)) if response.status().as_u16() == 503 => {
                log::info!("replica {replica} is not ready");
                self.has_sent = true;
                self.failed_replicas.push((replica, Instant::now()));
            }
            Ok(Ok(response)) => {
                log::warn!("replica {replica} answered {}", response.status());
                self.has_sent = true;
                self.record_failure(replica, progress);
            }
            Ok(Err(SendFailure::NotSent)) => self.failed_replicas.push((replica, Instant::now())),
            Ok(Err(SendFailure::MaybeSent)) | Err(_) => {
                self.has_sent = true;
                self.record_failure(replica, progress);
            }
        }
        Ok(None)
    }

    fn engine_request(
        &self,
        progress: &ResponseProgress,
    ) -> Result<Request<Full<Bytes>>, CallError> {
        let mut body = self.chat_call.body.clone();
        body["stream"] = true.into();
        body["priority"] = self.chat_call.call.priority.into();
        if let Some(resume) = progress.resume_point() {
            body["resume"] = resume;
        }
        Request::builder()
            .method(Method::POST)
            .uri("/v1/chat/completions")
            // HTTP/1.1 requires this header; the value is a placeholder.
            .header("host", "engine")
            .header("content-type", "application/json")
            .header("x-request-id", &*self.chat_call.call.request_id)
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|error| CallError::new(ErrorKind::Internal, error.to_string()))
    }
}
