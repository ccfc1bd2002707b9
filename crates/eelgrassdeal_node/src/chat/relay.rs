//! Relay of one answer from engines to its caller, through as many attempts as it takes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_types::{CallError, ErrorKind};
use futures_util::future::{Either, select};
use serde_json::json;

use super::ChatCall;
use super::attempt::{AttemptStarter, HEAD_PATIENCE, RunningAttempt};
use super::event::{EngineEvent, done_frame, error_frame};
use super::progress::AnswerProgress;
use super::sink::{AnswerSink, SinkFailure};
use crate::answer_queue::AnswerQueue;
use crate::call::CallContext;
use crate::state::NodeState;

/// An engine that sends no further token for this long has lost a member or hangs.
const TOKEN_PATIENCE: Duration = Duration::from_secs(2);
/// Resumes after a stall before the answer is given up, so that a caller that reads in small
/// portions cannot occupy engines with the same answer again and again.
const MAX_STALL_RESUMES: u32 = 64;
/// Tokens of an attempt after which its pace is compared with that of other replicas.
const PACE_CHECK_TOKENS: u32 = 8;

/// Why an attempt ended.
enum AttemptEnd {
    Done,
    Broken,
    /// The caller reads too slowly; the answer goes on when there is room.
    Stalled,
    /// Other streams need the bytes that this one holds.
    Evicted,
    /// Another replica is much faster.
    Straggling,
    CallerGone,
    TooLarge,
}

/// How an answer ended.
enum AnswerEnd {
    Whole,
    CallerGone,
    Failed(CallError),
}

/// Relays one answer.
pub(crate) struct AnswerRelay {
    state: Rc<NodeState>,
    starter: AttemptStarter,
    progress: AnswerProgress,
    attempt: Option<RunningAttempt>,
    stall_resumes: u32,
}

impl AnswerRelay {
    pub(crate) fn new(state: Rc<NodeState>, chat_call: ChatCall) -> Self {
        let resume = chat_call.chat.resume.clone().unwrap_or_default();
        let starter = AttemptStarter::new(state.clone(), chat_call);
        let progress = AnswerProgress::new(resume);
        Self { state, starter, progress, attempt: None, stall_resumes: 0 }
    }

    /// Starts the first attempt, so that a refusal still has a status of its own.
    pub(crate) async fn start_first(&mut self) -> Result<(), CallError> {
        self.attempt = Some(self.starter.start(&self.progress).await?);
        Ok(())
    }

    /// Streams the answer into `queue`.
    pub(crate) async fn stream_into(mut self, queue: AnswerQueue) {
        let mut sink = AnswerSink::Stream(queue);
        let end = self.run(&mut sink).await;
        let AnswerSink::Stream(queue) = sink else { return };
        match end {
            AnswerEnd::Whole => self.push_last(queue, done_frame(), self.call().time_left()).await,
            AnswerEnd::Failed(error) => self.end_with_error(queue, &error).await,
            AnswerEnd::CallerGone => {}
        }
    }

    /// Collects the whole answer into one chat completion.
    pub(crate) async fn collect(mut self) -> Result<Bytes, CallError> {
        let mut sink = AnswerSink::Text(String::new());
        match (self.run(&mut sink).await, sink) {
            (AnswerEnd::Whole, AnswerSink::Text(text)) => Ok(self.completion(&text)),
            (AnswerEnd::Failed(error), _) => Err(error),
            _ => Err(CallError::new(ErrorKind::Internal, "the answer has no reader")),
        }
    }

    /// Relays attempts into `sink` until the answer has ended.
    async fn run(&mut self, sink: &mut AnswerSink) -> AnswerEnd {
        loop {
            let mut attempt = match self.next_attempt(sink).await {
                Ok(Some(attempt)) => attempt,
                Ok(None) => return AnswerEnd::CallerGone,
                Err(error) => return AnswerEnd::Failed(error),
            };
            let end = self.relay_attempt(&mut attempt, sink).await;
            let replica = attempt.slot.replica.clone();
            match end {
                AttemptEnd::Done => {
                    attempt.slot.record_completion();
                    return AnswerEnd::Whole;
                }
                AttemptEnd::CallerGone => return AnswerEnd::CallerGone,
                AttemptEnd::TooLarge => {
                    let text = "the answer is too large to be sent in one piece; use a stream";
                    return AnswerEnd::Failed(CallError::new(ErrorKind::AnswerIncomplete, text));
                }
                AttemptEnd::Broken => {
                    drop(attempt);
                    // The deadline is the caller's and no fault of the replica.
                    if !self.call().time_left().is_zero() {
                        self.starter.note_failure(replica, &self.progress);
                    }
                }
                AttemptEnd::Straggling => {
                    let moved = self.starter.start_elsewhere(&replica, &self.progress).await;
                    self.attempt = Some(moved.unwrap_or(attempt));
                }
                AttemptEnd::Stalled | AttemptEnd::Evicted => {
                    drop(attempt);
                    self.stall_resumes += u32::from(matches!(end, AttemptEnd::Stalled));
                    if let Err(end) = self.wait_out_stall(sink).await {
                        return end;
                    }
                }
            }
        }
    }

    /// The attempt that is under way, or a new one; `None` if the caller leaves meanwhile.
    async fn next_attempt(
        &mut self,
        sink: &AnswerSink,
    ) -> Result<Option<RunningAttempt>, CallError> {
        if let Some(attempt) = self.attempt.take() {
            return Ok(Some(attempt));
        }
        let started = {
            let start = std::pin::pin!(self.starter.start(&self.progress));
            match select(start, std::pin::pin!(sink.closed())).await {
                Either::Left((started, _)) => started,
                Either::Right(_) => return Ok(None),
            }
        };
        started.map(Some).map_err(|error| match error.kind {
            // The request has run, so the answer must not say that it has not.
            ErrorKind::DeadlinePassed => error,
            // Refused rather than not run, so the kind is true of a request that has run, and it
            // keeps the caller from sending the request again.
            ErrorKind::RequestQuarantined => error,
            _ => CallError::new(ErrorKind::AnswerIncomplete, error.message),
        })
    }

    async fn relay_attempt(
        &mut self,
        attempt: &mut RunningAttempt,
        sink: &mut AnswerSink,
    ) -> AttemptEnd {
        let stall_timeout = Duration::from_millis(u64::from(self.state.limits.stall_timeout_ms));
        loop {
            let asked_at = Instant::now();
            let next = {
                let patience = self.patience(attempt);
                let event = std::pin::pin!(attempt.next(patience));
                match select(event, std::pin::pin!(sink.closed())).await {
                    Either::Left((event, _)) => event,
                    Either::Right(_) => return AttemptEnd::CallerGone,
                }
            };
            let next_offset = self.progress.next_offset();
            match next {
                EngineEvent::Done | EngineEvent::Broken if self.progress.has_last() => {
                    return AttemptEnd::Done;
                }
                // An end that no chunk announced is an answer that was cut.
                EngineEvent::Done | EngineEvent::Broken => return AttemptEnd::Broken,
                EngineEvent::Chunk { offset, is_last, .. } if offset < next_offset => {
                    if is_last && offset + 1 == next_offset {
                        self.progress.note_last();
                    }
                }
                EngineEvent::Chunk { offset, .. } if offset > next_offset => {
                    return AttemptEnd::Broken;
                }
                EngineEvent::Chunk { offset, data, text, is_last } => {
                    let interval = sink.is_drained().then(|| asked_at.elapsed());
                    let memory = &self.state.memory;
                    match sink.deliver(offset, &data, &text, memory, stall_timeout).await {
                        Ok(()) => self.progress.note_delivered(&text, is_last),
                        Err(SinkFailure::CallerGone) => return AttemptEnd::CallerGone,
                        Err(SinkFailure::Stalled) => return AttemptEnd::Stalled,
                        Err(SinkFailure::Evicted) => return AttemptEnd::Evicted,
                        Err(SinkFailure::TooLarge) => return AttemptEnd::TooLarge,
                    }
                    metrics::counter!("eelgrassdeal_tokens_total").increment(1);
                    if self.is_straggling(attempt, interval) {
                        return AttemptEnd::Straggling;
                    }
                }
            }
        }
    }

    /// Notes the pace of an attempt; true if the stream should move to a faster replica. The
    /// interval is absent if the reader may have held the stream up.
    fn is_straggling(&self, attempt: &mut RunningAttempt, interval: Option<Duration>) -> bool {
        let is_first = attempt.tokens == 0;
        attempt.tokens += 1;
        let replica = &attempt.slot.replica;
        match interval {
            Some(interval) if !is_first => {
                let model = &self.starter.chat_call.chat.model;
                self.state.front.paces.borrow_mut().note_interval(replica, model, interval);
            }
            _ => {}
        }
        let is_due = attempt.tokens.is_multiple_of(PACE_CHECK_TOKENS);
        is_due && !self.progress.has_last() && self.starter.is_straggler(replica)
    }

    /// Waits until the reader of a stalled stream reads on. Meanwhile nothing is queued for it.
    async fn wait_out_stall(&mut self, sink: &AnswerSink) -> Result<(), AnswerEnd> {
        let AnswerSink::Stream(queue) = sink else { return Ok(()) };
        self.progress.go_back(queue.remove_queued());
        metrics::counter!("eelgrassdeal_stalled_streams_total").increment(1);
        if self.stall_resumes > MAX_STALL_RESUMES {
            let text = "the caller read too slowly";
            return Err(AnswerEnd::Failed(CallError::new(ErrorKind::AnswerIncomplete, text)));
        }
        let reader = async {
            queue.wait_for_reader().await?;
            queue.wait_for_room(1).await
        };
        match compio::time::timeout(self.call().time_left(), reader).await {
            Ok(Ok(())) => {
                self.starter.allow_resume();
                Ok(())
            }
            // A reader that has not read until its deadline is cut off.
            Ok(Err(_)) | Err(_) => Err(AnswerEnd::CallerGone),
        }
    }

    /// How long to wait for the next event: not past the deadline.
    fn patience(&self, attempt: &RunningAttempt) -> Duration {
        let patience = if attempt.tokens == 0 { HEAD_PATIENCE } else { TOKEN_PATIENCE };
        patience.min(self.call().time_left())
    }

    fn call(&self) -> &CallContext {
        &self.starter.chat_call.call
    }

    async fn end_with_error(&self, queue: AnswerQueue, error: &CallError) {
        const ERROR_PATIENCE: Duration = Duration::from_secs(5);
        let frame = error_frame(error, &self.call().request_id);
        metrics::counter!("eelgrassdeal_errors_total", "kind" => error.kind.name()).increment(1);
        self.push_last(queue, frame, ERROR_PATIENCE).await;
    }

    /// Queues the frame that ends the stream.
    async fn push_last(&self, queue: AnswerQueue, frame: Vec<u8>, patience: Duration) {
        let room = queue.wait_for_room(frame.len());
        if let Ok(Ok(())) = compio::time::timeout(patience, room).await {
            let _ = queue.push(frame, 0);
            queue.finish();
        }
    }

    fn completion(&self, text: &str) -> Bytes {
        let body = json!({
            "object": "chat.completion",
            "model": self.starter.chat_call.chat.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "stop",
            }],
        });
        Bytes::from(body.to_string())
    }
}
