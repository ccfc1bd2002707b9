//! Queue of requests that wait for a slot.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use eelgrassdeal_types::{CallError, ClientAccountId, ErrorKind, ModelId, ReplicaId};
use futures_channel::oneshot;

/// Weight of the newest sample in the moving average of the service time.
const ESTIMATE_WEIGHT: f64 = 0.1;
/// Virtual time that a request of weight 1 costs; large, so that integer division by the weight
/// loses little precision.
const VIRTUAL_COST: u64 = 1 << 20;

/// The properties of a request that decide when it starts.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Client account that sent the request.
    pub account: ClientAccountId,
    /// Share of the account relative to other accounts with the same priority; 0 counts as 1.
    pub weight: u32,
    /// Priority class; 0 is the most urgent.
    pub priority: u32,
    /// Name of the requested model or plain service.
    pub target: ModelId,
    /// KV cache tokens that the request may occupy; 0 for a plain service.
    pub kv_tokens: u64,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Instant,
    /// Whether the caller already has a part of the response, so that the rest takes less time than
    /// a whole one.
    pub is_resumed: bool,
    /// Slots of the target that this node may use at present; used to estimate the waiting time.
    pub slots: u32,
    /// Replicas at which the request must not run.
    pub excluded: Vec<ReplicaId>,
    /// Key from [`crate::affinity_key`], if a prompt prefix may be cached.
    pub affinity: Option<[u8; 32]>,
}

/// Result of waiting: the slot, or the error with which the request was refused.
pub type AdmissionResult<S> = Result<S, CallError>;

struct WaitingRequest<S> {
    request: QueuedRequest,
    sender: oneshot::Sender<AdmissionResult<S>>,
    /// Virtual time at which the request may start.
    start_tag: u64,
    /// Position in the order of arrival over all priority classes; identifies the request.
    arrival_number: u64,
}

struct PriorityClass<S> {
    accounts: HashMap<ClientAccountId, VecDeque<WaitingRequest<S>>>,
    /// Finish tag of the last request of each account, at which its next request may start.
    finish_tags: HashMap<ClientAccountId, u64>,
    /// Largest start tag of the requests that were started.
    virtual_time: u64,
}

/// Orders waiting requests by priority, then fairly between client accounts.
///
/// Within a priority class it uses start-time fair queuing: the tags of each account advance by
/// `1 / weight` per request, and the request with the smallest start tag starts first. An account
/// that was idle continues at the current virtual time, so idle time earns no credit.
pub struct AdmissionQueue<S> {
    classes: BTreeMap<u32, PriorityClass<S>>,
    /// Moving average of the service time of each target, in seconds.
    service_times: HashMap<ModelId, f64>,
    len: usize,
    max_len: usize,
    last_arrival_number: u64,
}

impl<S> AdmissionQueue<S> {
    /// Creates an empty queue for at most `max_len` requests.
    pub fn new(max_len: usize) -> Self {
        let (classes, service_times) = (BTreeMap::new(), HashMap::new());
        Self { classes, service_times, len: 0, max_len, last_arrival_number: 0 }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no requests are waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Records how long a request to `target` ran, to estimate whether later requests can meet
    /// their deadline.
    pub fn record_service_time(&mut self, target: &ModelId, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        self.service_times
            .entry(target.clone())
            .and_modify(|mean| *mean += (seconds - *mean) * ESTIMATE_WEIGHT)
            .or_insert(seconds);
    }

    /// Adds a request to the queue. The returned receiver resolves to the slot or to the error of
    /// a refusal; dropping it withdraws the request.
    ///
    /// # Errors
    ///
    /// `deadline_expired` if the deadline has passed, `deadline_unreachable` if the estimated wait
    /// and service time of a request that is not resumed exceed it, `overloaded` if the queue is full and none of the waiting
    /// requests is less urgent than this one. No part of the request was sent to an upstream.
    pub fn push(
        &mut self,
        now: Instant,
        request: QueuedRequest,
    ) -> Result<oneshot::Receiver<AdmissionResult<S>>, CallError> {
        self.check_deadline(now, &request)?;
        if self.len >= self.max_len {
            self.remove_abandoned();
        }
        if self.len >= self.max_len && !self.refuse_less_urgent(request.priority) {
            return Err(CallError::new(ErrorKind::Overloaded, "too many requests are waiting"));
        }
        let (sender, receiver) = oneshot::channel();
        self.last_arrival_number += 1;
        let class = self.classes.entry(request.priority).or_insert_with(|| PriorityClass {
            accounts: HashMap::new(),
            finish_tags: HashMap::new(),
            virtual_time: 0,
        });
        let finish_tag = class.finish_tags.entry(request.account.clone()).or_default();
        let start_tag = class.virtual_time.max(*finish_tag);
        *finish_tag = start_tag + VIRTUAL_COST / u64::from(request.weight.max(1));
        let account = class.accounts.entry(request.account.clone()).or_default();
        account.push_back(WaitingRequest {
            request,
            sender,
            start_tag,
            arrival_number: self.last_arrival_number,
        });
        self.len += 1;
        Ok(receiver)
    }

    /// Calls `try_start` for each waiting request in order and hands over the slots that it
    /// returns.
    ///
    /// A request that gets no slot does not block the requests after it, which may be for another
    /// target or need fewer KV tokens. Returns the slots that could not be handed over because
    /// the receiver was dropped; the caller must release them.
    pub fn dispatch(
        &mut self,
        now: Instant,
        mut try_start: impl FnMut(&QueuedRequest) -> Option<S>,
    ) -> Vec<S> {
        self.refuse_expired(now);
        self.remove_abandoned();
        let mut undelivered = Vec::new();
        for class in self.classes.values_mut() {
            for (account, arrival_number) in class.dispatch_order() {
                let Some(queue) = class.accounts.get_mut(&account) else { continue };
                let position =
                    queue.iter().position(|waiting| waiting.arrival_number == arrival_number);
                let Some(position) = position else { continue };
                let Some(slot) = try_start(&queue[position].request) else { continue };
                let Some(waiting) = queue.remove(position) else { continue };
                class.virtual_time = class.virtual_time.max(waiting.start_tag);
                self.len -= 1;
                if let Err(Ok(slot)) = waiting.sender.send(Ok(slot)) {
                    undelivered.push(slot);
                }
            }
        }
        self.classes.retain(|_, class| {
            class.accounts.retain(|_, queue| !queue.is_empty());
            let time = class.virtual_time;
            class
                .finish_tags
                .retain(|account, tag| *tag > time || class.accounts.contains_key(account));
            !class.accounts.is_empty() || !class.finish_tags.is_empty()
        });
        undelivered
    }

    /// Refuses the requests whose deadline has passed at `now`.
    pub fn refuse_expired(&mut self, now: Instant) {
        self.remove_where(
            |waiting| waiting.request.deadline <= now,
            || CallError::new(ErrorKind::DeadlineExpired, "the deadline passed in the queue"),
        );
    }

    /// Refuses every waiting request with `error`, for a node that shuts down or is partitioned.
    pub fn refuse_all(&mut self, error: &CallError) {
        self.remove_where(|_| true, || error.clone());
    }

    /// Earliest deadline of the waiting requests; `None` if the queue is empty.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.waiting().map(|waiting| waiting.request.deadline).min()
    }

    /// Number, total KV tokens and largest KV tokens of the requests that wait for `target`.
    pub fn demand(&self, target: &ModelId) -> crate::SlotDemand {
        let mut demand = crate::SlotDemand::default();
        for waiting in self.waiting().filter(|waiting| waiting.request.target == *target) {
            demand.requests += 1;
            demand.kv_tokens += waiting.request.kv_tokens;
            demand.largest_kv = demand.largest_kv.max(waiting.request.kv_tokens);
        }
        demand
    }

    fn waiting(&self) -> impl Iterator<Item = &WaitingRequest<S>> {
        self.classes.values().flat_map(|class| class.accounts.values().flatten())
    }

    fn check_deadline(&self, now: Instant, request: &QueuedRequest) -> Result<(), CallError> {
        if request.deadline <= now {
            return Err(CallError::new(ErrorKind::DeadlineExpired, "the deadline has passed"));
        }
        let mean = match self.service_times.get(&request.target) {
            Some(mean) if !request.is_resumed => mean,
            _ => return Ok(()),
        };
        let is_ahead = |waiting: &&WaitingRequest<S>| {
            waiting.request.target == request.target && waiting.request.priority <= request.priority
        };
        let ahead = self.waiting().filter(is_ahead).count();
        let wait = mean * ahead as f64 / f64::from(request.slots.max(1));
        // Capped at one day, since `from_secs_f64` panics on a value that a `Duration` cannot hold.
        let estimate = Duration::from_secs_f64((wait + mean).min(86_400.0));
        if now + estimate > request.deadline {
            let message = format!("the answer would take about {} ms", estimate.as_millis());
            return Err(CallError::new(ErrorKind::DeadlineUnreachable, message));
        }
        Ok(())
    }

    /// Refuses the newest of the least urgent requests to make room for one with `priority`.
    /// Returns `false` if no waiting request is less urgent than `priority`.
    fn refuse_less_urgent(&mut self, priority: u32) -> bool {
        let victim = self
            .waiting()
            .filter(|waiting| waiting.request.priority > priority)
            .max_by_key(|waiting| (waiting.request.priority, waiting.arrival_number))
            .map(|waiting| waiting.arrival_number);
        let Some(arrival_number) = victim else { return false };
        self.remove_where(
            |waiting| waiting.arrival_number == arrival_number,
            || CallError::new(ErrorKind::Overloaded, "displaced by a request of higher priority"),
        );
        true
    }

    /// Removes the requests whose receiver was dropped. The error is a placeholder that nobody
    /// receives.
    fn remove_abandoned(&mut self) {
        self.remove_where(
            |waiting| waiting.sender.is_canceled(),
            || CallError::new(ErrorKind::Overloaded, "the caller disconnected"),
        );
    }

    fn remove_where(
        &mut self,
        should_remove: impl Fn(&WaitingRequest<S>) -> bool,
        error: impl Fn() -> CallError,
    ) {
        for queue in self.classes.values_mut().flat_map(|class| class.accounts.values_mut()) {
            let (removed, kept) = std::mem::take(queue).into_iter().partition(&should_remove);
            *queue = kept;
            let removed: VecDeque<WaitingRequest<S>> = removed;
            self.len -= removed.len();
            for waiting in removed {
                // Fails if the receiver was dropped, in which case no caller waits for the error.
                let _ = waiting.sender.send(Err(error()));
            }
        }
    }
}

impl<S> PriorityClass<S> {
    /// Accounts and arrival numbers of the waiting requests, in the order in which they start.
    fn dispatch_order(&self) -> Vec<(ClientAccountId, u64)> {
        let mut order: Vec<_> = self
            .accounts
            .values()
            .flatten()
            .map(|waiting| (waiting.start_tag, waiting.arrival_number, &waiting.request.account))
            .collect();
        order.sort_unstable();
        order
            .into_iter()
            .map(|(_, arrival_number, account)| (account.clone(), arrival_number))
            .collect()
    }
}
