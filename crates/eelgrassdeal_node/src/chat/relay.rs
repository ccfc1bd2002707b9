//! Relays one response from engines to the caller, in one or more attempts.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_types::{CallError, ErrorKind};
use futures_util::future::{Either, select};
use serde_json::json;

use super::ChatCall;
use super::attempt::{AttemptStarter, RESPONSE_START_TIMEOUT, RunningAttempt};
use super::event::{EngineEvent, done_frame, error_frame};
use super::progress::ResponseProgress;
use super::sink::{ResponseSink, SinkFailure};
use crate::call::CallContext;
use crate::response_queue::ResponseQueue;
use crate::state::NodeState;

/// An engine that sends no further token for this long is assumed to have lost a member or to hang.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of times that a response is resumed after its reader stalled. Without a limit, a
/// caller that reads in small portions could make engines start the same response again and again.
const MAX_RESUMES_AFTER_STALL: u32 = 64;
/// Number of tokens between two checks whether the replica of an attempt is a straggler.
const STRAGGLER_CHECK_TOKENS: u32 = 8;

/// Outcome of an attempt.
enum AttemptOutcome {
    /// The response is complete.
    Done,
    /// The engine's stream ended before the response was complete, or it skipped a chunk.
    Interrupted,
    /// The caller reads too slowly; the response is resumed once the reader continues.
    Stalled,
    /// The memory budget is exhausted and this stream's reader makes no progress. The response is
    /// resumed like one that stalled, but is not counted in `resumes_after_stall`.
    Evicted,
    /// The replica is a straggler: another replica of the model is much faster.
    Straggling,
    Disconnected,
    /// The response is too large to be sent without streaming.
    TooLarge,
}

/// Outcome of a response.
enum ResponseOutcome {
    Complete,
    /// The caller disconnected, or its connection has to be aborted because it had stalled and did
    /// not continue reading before its deadline.
    Disconnected,
    Failed(CallError),
}

/// Relays one response.
pub(crate) struct ResponseRelay {
    state: Rc<NodeState>,
    starter: AttemptStarter,
    progress: ResponseProgress,
    /// Attempt to continue with; `None` if the next one has to be started.
    attempt: Option<RunningAttempt>,
    resumes_after_stall: u32,
}

impl ResponseRelay {
    pub(crate) fn new(state: Rc<NodeState>, chat_call: ChatCall) -> Self {
        let resume = chat_call.chat.resume.clone().unwrap_or_default();
        let starter = AttemptStarter::new(state.clone(), chat_call);
        let progress = ResponseProgress::new(resume);
        Self { state, starter, progress, attempt: None, resumes_after_stall: 0 }
    }

    /// Starts the first attempt. Called before the head of the response is sent, so that a refusal
    /// can have its own status.
    pub(crate) async fn start_first_attempt(&mut self) -> Result<(), CallError> {
        self.attempt = Some(self.starter.start(&self.progress).await?);
        Ok(())
    }

    /// Streams the response into `queue`.
    pub(crate) async fn stream_into(mut self, queue: ResponseQueue) {
        let mut sink = ResponseSink::Stream(queue);
        let outcome = self.run(&mut sink).await;
        let ResponseSink::Stream(queue) = sink else { return };
        match outcome {
            ResponseOutcome::Complete => {
                self.push_final_frame(queue, done_frame(), self.call().time_left()).await
            }
            ResponseOutcome::Failed(error) => self.send_error_frame(queue, &error).await,
            ResponseOutcome::Disconnected => {}
        }
    }

    /// Collects the complete response into one chat completion.
    pub(crate) async fn collect(mut self) -> Result<Bytes, CallError> {
        let mut sink = ResponseSink::Text(String::new());
        match (self.run(&mut sink).await, sink) {
            (ResponseOutcome::Complete, ResponseSink::Text(text)) => Ok(self.completion(&text)),
            (ResponseOutcome::Failed(error), _) => Err(error),
            _ => Err(CallError::new(ErrorKind::Internal, "the response has no reader")),
        }
    }

    /// Relays attempts into `sink` until the response is complete or has failed.
    async fn run(&mut self, sink: &mut ResponseSink) -> ResponseOutcome {
        loop {
            let mut attempt = match self.next_attempt(sink).await {
                Ok(Some(attempt)) => attempt,
                Ok(None) => return ResponseOutcome::Disconnected,
                Err(error) => return ResponseOutcome::Failed(error),
            };
            let outcome = self.relay_attempt(&mut attempt, sink).await;
            let replica = attempt.slot.replica.clone();
            match outcome {
                AttemptOutcome::Done => {
                    attempt.slot.record_completion();
                    return ResponseOutcome::Complete;
                }
                AttemptOutcome::Disconnected => return ResponseOutcome::Disconnected,
                AttemptOutcome::TooLarge => {
                    let text = "the response is too large without streaming; set stream to true";
                    return ResponseOutcome::Failed(CallError::new(
                        ErrorKind::AnswerIncomplete,
                        text,
                    ));
                }
                AttemptOutcome::Interrupted => {
                    drop(attempt);
                    // An expired deadline of the caller is not counted as a failure of the replica.
                    if !self.call().time_left().is_zero() {
                        self.starter.record_failure(replica, &self.progress);
                    }
                }
                AttemptOutcome::Straggling => {
                    let moved = self.starter.start_on_other_replica(&replica, &self.progress).await;
                    self.attempt = Some(moved.unwrap_or(attempt));
                }
                AttemptOutcome::Stalled | AttemptOutcome::Evicted => {
                    drop(attempt);
                    self.resumes_after_stall +=
                        u32::from(matches!(outcome, AttemptOutcome::Stalled));
                    if let Err(outcome) = self.wait_for_stalled_reader(sink).await {
                        return outcome;
                    }
                }
            }
        }
    }

    /// Returns the attempt in progress or starts a new one; `None` if the caller disconnects
    /// meanwhile.
    async fn next_attempt(
        &mut self,
        sink: &ResponseSink,
    ) -> Result<Option<RunningAttempt>, CallError> {
        if let Some(attempt) = self.attempt.take() {
            return Ok(Some(attempt));
        }
        let started = {
            let start = std::pin::pin!(self.starter.start(&self.progress));
            match select(start, std::pin::pin!(sink.wait_closed())).await {
                Either::Left((started, _)) => started,
                Either::Right(_) => return Ok(None),
            }
        };
        started.map(Some).map_err(|error| match error.kind {
            // The request may have run, so the error must not say that it has not.
            ErrorKind::DeadlinePassed => error,
            // The outcome of this kind is "refused", which unlike "not run" does not say whether
            // earlier attempts ran. So it is correct here, and it keeps the caller from sending the
            // request again.
            ErrorKind::RequestQuarantined => error,
            _ => CallError::new(ErrorKind::AnswerIncomplete, error.message),
        })
    }

    /// Relays the events of one attempt into `sink`.
    async fn relay_attempt(
        &mut self,
        attempt: &mut RunningAttempt,
        sink: &mut ResponseSink,
    ) -> AttemptOutcome {
        let stall_timeout = Duration::from_millis(u64::from(self.state.limits.stall_timeout_ms));
        loop {
            let wait_started_at = Instant::now();
            let next = {
                let timeout = self.event_timeout(attempt);
                let event = std::pin::pin!(attempt.next(timeout));
                match select(event, std::pin::pin!(sink.wait_closed())).await {
                    Either::Left((event, _)) => event,
                    Either::Right(_) => return AttemptOutcome::Disconnected,
                }
            };
            let next_offset = self.progress.next_offset();
            match next {
                EngineEvent::Done | EngineEvent::Interrupted if self.progress.has_last_chunk() => {
                    return AttemptOutcome::Done;
                }
                // The stream ended without a chunk with a finish reason, so the response is
                // truncated.
                EngineEvent::Done | EngineEvent::Interrupted => return AttemptOutcome::Interrupted,
                // The chunk was delivered before. This node may not know that it is the last one,
                // if the caller received it from another node and resumed the response at this one.
                EngineEvent::Chunk { offset, is_last, .. } if offset < next_offset => {
                    if is_last && offset + 1 == next_offset {
                        self.progress.record_last_chunk();
                    }
                }
                EngineEvent::Chunk { offset, .. } if offset > next_offset => {
                    return AttemptOutcome::Interrupted;
                }
                EngineEvent::Chunk { offset, data, text, is_last } => {
                    let interval = sink.is_drained().then(|| wait_started_at.elapsed());
                    let budget = &self.state.memory_budget;
                    match sink.deliver(offset, &data, &text, budget, stall_timeout).await {
                        Ok(()) => self.progress.record_delivered_chunk(&text, is_last),
                        Err(SinkFailure::Disconnected) => return AttemptOutcome::Disconnected,
                        Err(SinkFailure::Stalled) => return AttemptOutcome::Stalled,
                        Err(SinkFailure::Evicted) => return AttemptOutcome::Evicted,
                        Err(SinkFailure::TooLarge) => return AttemptOutcome::TooLarge,
                    }
                    metrics::counter!("eelgrassdeal_tokens_total").increment(1);
                    if self.record_token(attempt, interval) {
                        return AttemptOutcome::Straggling;
                    }
                }
            }
        }
    }

    /// Records a token of an attempt and the interval before it. Returns whether the stream should
    /// move to a faster replica. The interval is absent if the reader may have delayed the stream.
    fn record_token(&self, attempt: &mut RunningAttempt, interval: Option<Duration>) -> bool {
        let is_first = attempt.tokens == 0;
        attempt.tokens += 1;
        let replica = &attempt.slot.replica;
        match interval {
            Some(interval) if !is_first => {
                let model = &self.starter.chat_call.chat.model;
                self.state
                    .front
                    .interval_tracker
                    .borrow_mut()
                    .record_interval(replica, model, interval);
            }
            _ => {}
        }
        let is_check_due = attempt.tokens.is_multiple_of(STRAGGLER_CHECK_TOKENS);
        is_check_due && !self.progress.has_last_chunk() && self.starter.is_straggler(replica)
    }

    /// Waits until the reader of a stalled or evicted stream continues. Removes its queued chunks,
    /// so that the stream uses no bytes of the memory budget meanwhile.
    async fn wait_for_stalled_reader(
        &mut self,
        sink: &ResponseSink,
    ) -> Result<(), ResponseOutcome> {
        let ResponseSink::Stream(queue) = sink else { return Ok(()) };
        self.progress.rewind(queue.remove_queued());
        // Counts evicted streams as well.
        metrics::counter!("eelgrassdeal_stalled_streams_total").increment(1);
        if self.resumes_after_stall > MAX_RESUMES_AFTER_STALL {
            let text = "the caller read too slowly";
            return Err(ResponseOutcome::Failed(CallError::new(ErrorKind::AnswerIncomplete, text)));
        }
        let reader_ready = async {
            queue.wait_for_reader().await?;
            // The queue is empty now, so this waits until the memory budget has any room.
            queue.wait_for_room(1).await
        };
        match compio::time::timeout(self.call().time_left(), reader_ready).await {
            Ok(Ok(())) => {
                self.starter.exempt_next_attempt();
                Ok(())
            }
            // The connection of a reader that has not continued by its deadline is aborted.
            Ok(Err(_)) | Err(_) => Err(ResponseOutcome::Disconnected),
        }
    }

    /// Longest time to wait for the next event of an attempt, at most until the deadline.
    fn event_timeout(&self, attempt: &RunningAttempt) -> Duration {
        let timeout = if attempt.tokens == 0 { RESPONSE_START_TIMEOUT } else { TOKEN_TIMEOUT };
        timeout.min(self.call().time_left())
    }

    fn call(&self) -> &CallContext {
        &self.starter.chat_call.call
    }

    /// Ends the stream with an error event.
    async fn send_error_frame(&self, queue: ResponseQueue, error: &CallError) {
        const ERROR_FRAME_TIMEOUT: Duration = Duration::from_secs(5);
        let frame = error_frame(error, &self.call().request_id);
        metrics::counter!("eelgrassdeal_errors_total", "kind" => error.kind.name()).increment(1);
        self.push_final_frame(queue, frame, ERROR_FRAME_TIMEOUT).await;
    }

    /// Queues the frame that ends the stream. If there is no room for it within `timeout`, the
    /// connection is aborted instead.
    async fn push_final_frame(&self, queue: ResponseQueue, frame: Vec<u8>, timeout: Duration) {
        let room = queue.wait_for_room(frame.len());
        if let Ok(Ok(())) = compio::time::timeout(timeout, room).await {
            let _ = queue.push(frame, 0);
            queue.finish();
        }
    }

    /// Body of a response that is not streamed.
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
