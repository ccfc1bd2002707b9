//! Attempts to run a request on a replica.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_types::{CallError, ErrorKind, ReplicaId};
use http_body_util::Full;
use hyper::{Method, Request};

use super::ChatCall;
use super::event::{EngineEvent, EngineEvents};
use super::progress::AnswerProgress;
use crate::quarantine::check_ban;
use crate::slots::{HeldSlot, ReplicaTarget, SlotConstraints};
use crate::state::NodeState;
use crate::upstream_client::{SendFailure, send_request};

/// Attempts that may fail before the answer is given up.
const MAX_FAILED_ATTEMPTS: u32 = 8;
/// An engine that does not begin its answer within this time has lost a member or hangs.
pub(crate) const HEAD_PATIENCE: Duration = Duration::from_secs(5);
/// How long a retry waits for a slot before it looks again at the replicas to leave out.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// How long a stream waits for a slot elsewhere before it stays with its straggler.
const MOVE_PATIENCE: Duration = Duration::from_millis(20);
/// A replica that failed a request is checked anew within this time, and may serve again by then.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// One attempt that is under way. Dropping it cancels the engine's stream and frees the slot.
pub(crate) struct RunningAttempt {
    pub(crate) slot: HeldSlot,
    events: EngineEvents,
    /// Tokens received in this attempt.
    pub(crate) tokens: u32,
    /// When the request was sent; `None` once the first token came.
    waiting_since: Option<Instant>,
}

impl RunningAttempt {
    /// Reads the next event, and notes how long the first token took.
    pub(crate) async fn next(&mut self, patience: Duration) -> EngineEvent {
        let event = self.events.next(patience).await;
        if let (EngineEvent::Chunk { .. }, Some(sent)) = (&event, self.waiting_since) {
            self.slot.record_first_token(sent.elapsed());
            self.waiting_since = None;
        }
        event
    }
}

/// Starts the attempts of one request.
pub(crate) struct AttemptStarter {
    state: Rc<NodeState>,
    pub(crate) chat_call: ChatCall,
    failed_attempts: u32,
    /// Whether any byte of the request may have left for an engine.
    has_sent: bool,
    /// Whether the next attempt continues a stream that its reader had stopped. No replica failed,
    /// so it does not draw on the retry budget.
    is_resume_allowed: bool,
    /// Replicas that failed this request, and when.
    avoid: Vec<(ReplicaId, Instant)>,
}

impl AttemptStarter {
    pub(crate) fn new(state: Rc<NodeState>, chat_call: ChatCall) -> Self {
        Self {
            state,
            chat_call,
            failed_attempts: 0,
            has_sent: false,
            is_resume_allowed: false,
            avoid: Vec::new(),
        }
    }

    /// Starts the next attempt, and tries replicas until one runs the request.
    pub(crate) async fn start(
        &mut self,
        progress: &AnswerProgress,
    ) -> Result<RunningAttempt, CallError> {
        loop {
            if self.failed_attempts >= MAX_FAILED_ATTEMPTS {
                let text = "the answer failed on several replicas";
                return Err(CallError::new(ErrorKind::AnswerIncomplete, text));
            }
            check_ban(&self.state.fleet(), self.chat_call.fingerprint)?;
            let slot = self.wait_for_slot(progress).await?;
            // The ban may have come during the wait.
            check_ban(&self.state.fleet(), self.chat_call.fingerprint)?;
            // The wait may have taken long, or the process may have been paused.
            self.check_deadline()?;
            if let Some(attempt) = self.send(slot, progress).await? {
                return Ok(attempt);
            }
        }
    }

    /// Starts an attempt on a replica that is not a straggler, if one has a slot and its retry
    /// budget allows it now.
    pub(crate) async fn start_elsewhere(
        &mut self,
        straggler: &ReplicaId,
        progress: &AnswerProgress,
    ) -> Option<RunningAttempt> {
        let mut avoid = self.avoided();
        avoid.push(straggler.clone());
        avoid.extend(self.stragglers());
        let need = self.slot_need(avoid, true);
        let acquire = HeldSlot::acquire(&self.state, &self.chat_call.call, &need);
        let slot = compio::time::timeout(MOVE_PATIENCE, acquire).await.ok()?.ok()?;
        match slot.may_send() && self.has_budget(&slot) {
            true => self.send(slot, progress).await.ok().flatten(),
            false => None,
        }
    }

    /// Notes that an attempt failed after it was sent.
    pub(crate) fn note_failure(&mut self, replica: ReplicaId, progress: &AnswerProgress) {
        self.failed_attempts += 1;
        let request_id = &self.chat_call.call.request_id;
        let offset = progress.next_offset();
        log::info!("request_id={request_id} replica={replica} offset={offset} attempt failed");
        metrics::counter!("eelgrassdeal_failed_attempts_total").increment(1);
        self.avoid.push((replica, Instant::now()));
    }

    /// Lets the next attempt start without drawing on the retry budget.
    pub(crate) fn allow_resume(&mut self) {
        self.is_resume_allowed = true;
    }

    /// Whether the replica is much slower than others of the model.
    pub(crate) fn is_straggler(&self, replica: &ReplicaId) -> bool {
        self.stragglers().contains(replica)
    }

    fn stragglers(&self) -> Vec<ReplicaId> {
        self.state.front.paces.borrow().stragglers(&self.chat_call.chat.model)
    }

    fn check_deadline(&self) -> Result<(), CallError> {
        self.chat_call.call.check_deadline().map_err(|error| match self.has_sent {
            true => CallError::new(ErrorKind::DeadlinePassed, "the deadline passed"),
            false => error,
        })
    }

    fn avoided(&self) -> Vec<ReplicaId> {
        let recent = self.avoid.iter().filter(|(_, at)| at.elapsed() < AVOID_TIME);
        recent.map(|(replica, _)| replica.clone()).collect()
    }

    async fn wait_for_slot(&mut self, progress: &AnswerProgress) -> Result<HeldSlot, CallError> {
        let mut refused: Vec<ReplicaId> = Vec::new();
        loop {
            self.check_deadline()?;
            let is_resume = self.has_sent || progress.next_offset() > 0;
            let need = self.slot_need([self.excluded(), refused.clone()].concat(), is_resume);
            let acquire = HeldSlot::acquire(&self.state, &self.chat_call.call, &need);
            let slot = match need.excluded.is_empty() {
                true => acquire.await,
                false => match compio::time::timeout(REVIEW_INTERVAL, acquire).await {
                    Ok(slot) => slot,
                    Err(_) => {
                        refused.clear();
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
                true if self.has_budget(&slot) => return Ok(slot),
                true => refused.push(slot.replica.clone()),
                false => {}
            }
        }
    }

    /// Replicas to leave out: those that failed this request, and stragglers unless nothing else
    /// is left.
    fn excluded(&self) -> Vec<ReplicaId> {
        let target = ReplicaTarget::Model(self.chat_call.chat.model.clone());
        let candidates = self.state.slots.borrow().candidates(&target);
        let avoided = self.avoided();
        let with_stragglers = [avoided.clone(), self.stragglers()].concat();
        let leaves_some = |excluded: &Vec<ReplicaId>| {
            candidates.iter().any(|candidate| !excluded.contains(candidate))
        };
        [with_stragglers, avoided].into_iter().find(leaves_some).unwrap_or_default()
    }

    fn slot_need(&self, excluded: Vec<ReplicaId>, is_resume: bool) -> SlotConstraints {
        SlotConstraints {
            target: ReplicaTarget::Model(self.chat_call.chat.model.clone()),
            kv_tokens: self.chat_call.kv_tokens,
            excluded,
            affinity: Some(self.chat_call.affinity),
            is_resume,
        }
    }

    /// Counts a first attempt, or takes a retry from the replica's budget.
    fn has_budget(&self, slot: &HeldSlot) -> bool {
        let now = Instant::now();
        let mut retries = self.state.front.retries.borrow_mut();
        if self.has_sent {
            return self.is_resume_allowed || retries.take_retry(&slot.replica, now);
        }
        retries.note_request(&slot.replica, now);
        true
    }

    /// Sends the request; `None` if the replica does not run it.
    async fn send(
        &mut self,
        slot: HeldSlot,
        progress: &AnswerProgress,
    ) -> Result<Option<RunningAttempt>, CallError> {
        self.is_resume_allowed = false;
        let request = self.engine_request(progress)?;
        let patience = HEAD_PATIENCE.min(self.chat_call.call.time_left());
        let sent_at = Instant::now();
        let sent = compio::time::timeout(patience, send_request(&slot.address, request)).await;
        let replica = slot.replica.clone();
        match sent {
            Ok(Ok(response)) if response.status().is_success() => {
                self.has_sent = true;
                let events = EngineEvents::new(response.into_body());
                return Ok(Some(RunningAttempt {
                    slot,
                    events,
                    tokens: 0,
                    waiting_since: Some(sent_at),
                }));
            }
            // An engine that is not ready refuses without running the request.
            Ok(Ok(response)) if response.status().as_u16() == 503 => {
                log::info!("replica {replica} is not ready");
                self.has_sent = true;
                self.avoid.push((replica, Instant::now()));
            }
            Ok(Ok(response)) => {
                log::warn!("replica {replica} answered {}", response.status());
                self.has_sent = true;
                self.note_failure(replica, progress);
            }
            Ok(Err(SendFailure::NotSent)) => self.avoid.push((replica, Instant::now())),
            Ok(Err(SendFailure::MaybeSent)) | Err(_) => {
                self.has_sent = true;
                self.note_failure(replica, progress);
            }
        }
        Ok(None)
    }

    fn engine_request(&self, progress: &AnswerProgress) -> Result<Request<Full<Bytes>>, CallError> {
        let mut body = self.chat_call.body.clone();
        body["stream"] = true.into();
        body["priority"] = self.chat_call.call.priority.into();
        if let Some(resume) = progress.resume_point() {
            body["resume"] = resume;
        }
        Request::builder()
            .method(Method::POST)
            .uri("/v1/chat/completions")
            .header("host", "engine")
            .header("content-type", "application/json")
            .header("x-request-id", &*self.chat_call.call.request_id)
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|error| CallError::new(ErrorKind::Internal, error.to_string()))
    }
}
