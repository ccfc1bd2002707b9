//! Relay of one answer from engines to its caller, through as many attempts as it takes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_types::{CallError, ErrorKind, ReplicaId};
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::json;

use super::ChatCall;
use super::event::{EngineEvent, EngineEvents, chunk_frame, done_frame, error_frame};
use crate::answer_queue::AnswerQueue;
use crate::slots::{HeldSlot, ReplicaTarget, SlotNeed};
use crate::state::NodeState;
use crate::upstream_client::{SendFailure, send_request};

/// Attempts that may fail before the answer is given up.
const MAX_FAILED_ATTEMPTS: u32 = 8;
/// An engine that sends nothing for this long has lost a member or hangs.
const EVENT_PATIENCE: Duration = Duration::from_secs(3);

/// One attempt that is under way. Dropping it cancels the engine's stream and frees the slot.
struct RunningAttempt {
    slot: HeldSlot,
    events: EngineEvents,
    /// When the request was sent; `None` once the first token came.
    waiting_since: Option<Instant>,
}

impl RunningAttempt {
    /// Reads the next event, and notes how long the first one took.
    async fn next(&mut self, patience: Duration) -> EngineEvent {
        let event = self.events.next(patience).await;
        if let (EngineEvent::Chunk { .. }, Some(sent)) = (&event, self.waiting_since.take()) {
            self.slot.note_first_token(sent.elapsed());
        }
        event
    }
}

/// Why an attempt ended.
enum AttemptEnd {
    Done,
    Broken,
    /// The caller reads too slowly; the answer goes on when there is room.
    Stalled,
    CallerGone,
}

/// Relays one answer.
pub(crate) struct AnswerRelay {
    state: Rc<NodeState>,
    chat_call: ChatCall,
    attempt: Option<RunningAttempt>,
    /// Offset of the next token to deliver.
    next_offset: u64,
    /// Text delivered so far, for the next engine to continue from.
    delivered: String,
    failed_attempts: u32,
    /// Replicas that failed this request.
    avoid: Vec<ReplicaId>,
}

impl AnswerRelay {
    pub(crate) fn new(state: Rc<NodeState>, chat_call: ChatCall) -> Self {
        let resume = chat_call.chat.resume.clone().unwrap_or_default();
        Self {
            state,
            chat_call,
            attempt: None,
            next_offset: resume.offset,
            delivered: resume.text,
            failed_attempts: 0,
            avoid: Vec::new(),
        }
    }

    /// Starts the first attempt, so that a refusal still has a status of its own.
    pub(crate) async fn start_first(&mut self) -> Result<(), CallError> {
        let attempt = self.start_attempt().await?;
        self.attempt = Some(attempt);
        Ok(())
    }

    /// Streams the answer into `queue`.
    pub(crate) async fn stream_into(mut self, queue: AnswerQueue) {
        loop {
            let mut attempt = match self.next_attempt().await {
                Ok(attempt) => attempt,
                Err(error) => return self.end_with_error(queue, &error).await,
            };
            let end = self.relay_attempt(&mut attempt, &queue).await;
            let replica = attempt.slot.replica.clone();
            if matches!(end, AttemptEnd::Done) {
                attempt.slot.note_complete();
            }
            drop(attempt);
            match end {
                AttemptEnd::Done => {
                    let frame = done_frame();
                    if queue.wait_for_room(frame.len()).await.is_ok() {
                        let _ = queue.push(frame);
                        queue.finish();
                    }
                    return;
                }
                AttemptEnd::CallerGone => return,
                AttemptEnd::Broken => self.note_failure(replica),
                AttemptEnd::Stalled => {
                    let patience = self.chat_call.call.time_left();
                    let room = queue.wait_for_room(usize::from(u16::MAX));
                    if compio::time::timeout(patience, room).await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Collects the whole answer into one chat completion.
    pub(crate) async fn collect(mut self) -> Result<Bytes, CallError> {
        let mut text = String::new();
        loop {
            let mut attempt = self.next_attempt().await?;
            loop {
                match attempt.next(self.patience()).await {
                    EngineEvent::Chunk { offset, text: part, .. } if offset == self.next_offset => {
                        text.push_str(&part);
                        self.note_delivered(&part);
                    }
                    EngineEvent::Chunk { offset, .. } if offset < self.next_offset => {}
                    EngineEvent::Done => return Ok(self.completion(&text)),
                    EngineEvent::Chunk { .. } | EngineEvent::Broken => break,
                }
            }
            let replica = attempt.slot.replica.clone();
            drop(attempt);
            self.note_failure(replica);
        }
    }

    async fn next_attempt(&mut self) -> Result<RunningAttempt, CallError> {
        match self.attempt.take() {
            Some(attempt) => Ok(attempt),
            None => self.start_attempt().await.map_err(|error| match error.kind {
                ErrorKind::DeadlineExpired => {
                    CallError::new(ErrorKind::DeadlinePassed, "the deadline passed")
                }
                // The request has run, so the answer must not say that it has not.
                _ => CallError::new(ErrorKind::AnswerIncomplete, error.message),
            }),
        }
    }

    async fn start_attempt(&mut self) -> Result<RunningAttempt, CallError> {
        loop {
            self.chat_call.call.check_deadline()?;
            if self.failed_attempts >= MAX_FAILED_ATTEMPTS {
                let text = "the answer failed on several replicas";
                return Err(CallError::new(ErrorKind::AnswerIncomplete, text));
            }
            let slot = self.wait_for_slot().await?;
            // The wait may have taken long, or the process may have been paused.
            self.chat_call.call.check_deadline()?;
            if !slot.may_send() {
                continue;
            }
            let sent = Instant::now();
            match send_request(&slot.address, self.engine_request()?).await {
                Ok(response) if response.status().is_success() => {
                    let events = EngineEvents::new(response.into_body());
                    return Ok(RunningAttempt { slot, events, waiting_since: Some(sent) });
                }
                // An engine that refuses has not run the request.
                Ok(response) => {
                    log::info!("replica {} answered {}", slot.replica, response.status());
                    self.note_refusal(slot.replica.clone());
                }
                Err(SendFailure::NotSent) => self.note_refusal(slot.replica.clone()),
                Err(SendFailure::MaybeSent) => self.note_failure(slot.replica.clone()),
            }
        }
    }

    async fn wait_for_slot(&mut self) -> Result<HeldSlot, CallError> {
        let need = SlotNeed {
            target: ReplicaTarget::Model(self.chat_call.chat.model.clone()),
            kv_tokens: self.chat_call.kv_tokens,
            excluded: self.avoid.clone(),
            affinity: Some(self.chat_call.affinity),
            is_resume: self.failed_attempts > 0 || self.next_offset > 0,
        };
        let candidates = self.state.slots.borrow().candidates(&need.target).len();
        if need.excluded.len() >= candidates {
            // Every replica has failed once; a repaired one may serve by now.
            self.avoid.clear();
        }
        HeldSlot::acquire(&self.state, &self.chat_call.call, &need).await
    }

    fn engine_request(&self) -> Result<Request<Full<Bytes>>, CallError> {
        let mut body = self.chat_call.body.clone();
        body["stream"] = true.into();
        body["priority"] = self.chat_call.call.priority.into();
        if self.next_offset > 0 {
            body["resume"] = json!({ "offset": self.next_offset, "text": self.delivered });
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

    async fn relay_attempt(
        &mut self,
        attempt: &mut RunningAttempt,
        queue: &AnswerQueue,
    ) -> AttemptEnd {
        let stall_timeout = Duration::from_millis(u64::from(self.state.limits.stall_timeout_ms));
        loop {
            let next = {
                let event = std::pin::pin!(attempt.next(self.patience()));
                let closed = std::pin::pin!(queue.closed());
                match futures_util::future::select(event, closed).await {
                    futures_util::future::Either::Left((event, _)) => event,
                    futures_util::future::Either::Right(_) => return AttemptEnd::CallerGone,
                }
            };
            match next {
                EngineEvent::Done => return AttemptEnd::Done,
                EngineEvent::Broken => return AttemptEnd::Broken,
                EngineEvent::Chunk { offset, .. } if offset < self.next_offset => {}
                EngineEvent::Chunk { offset, .. } if offset > self.next_offset => {
                    return AttemptEnd::Broken;
                }
                EngineEvent::Chunk { offset, data, text } => {
                    let frame = chunk_frame(offset, &data);
                    let room = queue.wait_for_room(frame.len());
                    match compio::time::timeout(stall_timeout, room).await {
                        Ok(Ok(())) if queue.push(frame).is_ok() => self.note_delivered(&text),
                        Ok(_) => return AttemptEnd::CallerGone,
                        Err(_) => return AttemptEnd::Stalled,
                    }
                }
            }
        }
    }

    /// How long to wait for the next event: not past the deadline.
    fn patience(&self) -> Duration {
        EVENT_PATIENCE.min(self.chat_call.call.time_left())
    }

    fn note_delivered(&mut self, text: &str) {
        self.next_offset += 1;
        self.delivered.push_str(text);
        metrics::counter!("eelgrassdeal_tokens_total").increment(1);
    }

    fn note_failure(&mut self, replica: ReplicaId) {
        self.failed_attempts += 1;
        let request_id = &self.chat_call.call.request_id;
        log::info!(
            "request_id={request_id} replica={replica} offset={} attempt failed",
            self.next_offset
        );
        metrics::counter!("eelgrassdeal_failed_attempts_total").increment(1);
        self.avoid.push(replica);
    }

    fn note_refusal(&mut self, replica: ReplicaId) {
        self.avoid.push(replica);
    }

    async fn end_with_error(&self, queue: AnswerQueue, error: &CallError) {
        const ERROR_PATIENCE: Duration = Duration::from_secs(5);
        let frame = error_frame(error, &self.chat_call.call.request_id);
        metrics::counter!("eelgrassdeal_errors_total", "kind" => error.kind.name()).increment(1);
        let room = queue.wait_for_room(frame.len());
        if let Ok(Ok(())) = compio::time::timeout(ERROR_PATIENCE, room).await {
            let _ = queue.push(frame);
            queue.finish();
        }
    }

    fn completion(&self, text: &str) -> Bytes {
        let body = json!({
            "object": "chat.completion",
            "model": self.chat_call.chat.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "stop",
            }],
        });
        Bytes::from(body.to_string())
    }
}
