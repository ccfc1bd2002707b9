//! Queue of the requests that wait for a slot.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use eelgrassdeal_types::{CallError, ClientAccountId, ErrorKind, ModelId, ReplicaId};
use futures_channel::oneshot;

/// Weight of the newest measurement in the estimate of the service time.
const ESTIMATE_WEIGHT: f64 = 0.1;
/// Virtual time that a request of weight 1 costs, so that the weights divide it finely.
const VIRTUAL_COST: u64 = 1 << 20;

/// What the queue needs to know about a request.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Client account that sent it.
    pub account: ClientAccountId,
    /// Share of the account relative to others of the same priority; at least 1.
    pub weight: u32,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Model or service that it is for.
    pub target: ModelId,
    /// KV tokens that it may occupy; 0 for a plain service.
    pub kv_tokens: u64,
    /// When the caller no longer needs the answer.
    pub deadline: Instant,
    /// Slots of the target that this node may use at the moment, for the estimate of the wait.
    pub slots: u32,
    /// Replicas that the request must not run at.
    pub excluded: Vec<ReplicaId>,
    /// Key from [`crate::affinity_key`], if a prompt prefix may be cached.
    pub affinity: Option<[u8; 32]>,
}

/// Result of waiting: the started slot, or why there is none.
pub type AdmissionResult<S> = Result<S, CallError>;

struct Waiting<S> {
    request: QueuedRequest,
    sender: oneshot::Sender<AdmissionResult<S>>,
    start_tag: u64,
    arrival: u64,
}

struct PriorityClass<S> {
    accounts: HashMap<ClientAccountId, VecDeque<Waiting<S>>>,
    finish_tags: HashMap<ClientAccountId, u64>,
    virtual_time: u64,
}

/// Orders waiting requests by priority, then fairly between client accounts.
///
/// Within a priority each account has a virtual time that advances by `1 / weight` for every
/// request; the request with the smallest start tag goes first (start-time fair queuing). An
/// account that was idle starts at the current virtual time and saves up nothing.
pub struct AdmissionQueue<S> {
    classes: BTreeMap<u32, PriorityClass<S>>,
    service_times: HashMap<ModelId, f64>,
    len: usize,
    max_len: usize,
    arrivals: u64,
}

impl<S> AdmissionQueue<S> {
    /// Holds at most `max_len` requests.
    pub fn new(max_len: usize) -> Self {
        let (classes, service_times) = (BTreeMap::new(), HashMap::new());
        Self { classes, service_times, len: 0, max_len, arrivals: 0 }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Notes how long a request of `target` took from its start to its end.
    pub fn record_service_time(&mut self, target: &ModelId, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        self.service_times
            .entry(target.clone())
            .and_modify(|mean| *mean += (seconds - *mean) * ESTIMATE_WEIGHT)
            .or_insert(seconds);
    }

    /// Queues a request. The receiver gets the slot or the reason of the refusal; dropping it
    /// withdraws the request.
    ///
    /// # Errors
    ///
    /// `deadline_expired` and `deadline_unreachable` by the deadline, `overloaded` when the queue
    /// is full of requests that are not less urgent. Nothing of the request was sent.
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
            return Err(CallError::new(ErrorKind::Overloaded, "too many requests wait"));
        }
        let (sender, receiver) = oneshot::channel();
        self.arrivals += 1;
        let class = self.classes.entry(request.priority).or_insert_with(|| PriorityClass {
            accounts: HashMap::new(),
            finish_tags: HashMap::new(),
            virtual_time: 0,
        });
        let finish_tag = class.finish_tags.entry(request.account.clone()).or_default();
        let start_tag = class.virtual_time.max(*finish_tag);
        *finish_tag = start_tag + VIRTUAL_COST / u64::from(request.weight.max(1));
        let account = class.accounts.entry(request.account.clone()).or_default();
        account.push_back(Waiting { request, sender, start_tag, arrival: self.arrivals });
        self.len += 1;
        Ok(receiver)
    }

    /// Starts waiting requests in order, as long as `try_start` gives a slot for them.
    ///
    /// A request that gets no slot does not hold back those behind it, which may be for another
    /// target or need fewer KV tokens. Returns slots whose caller left before the hand-over; the
    /// caller of this function gives them back.
    pub fn dispatch(
        &mut self,
        now: Instant,
        mut try_start: impl FnMut(&QueuedRequest) -> Option<S>,
    ) -> Vec<S> {
        self.refuse_expired(now);
        self.remove_abandoned();
        let mut returned = Vec::new();
        for class in self.classes.values_mut() {
            for (account, arrival) in class.in_order() {
                let Some(queue) = class.accounts.get_mut(&account) else { continue };
                let position = queue.iter().position(|waiting| waiting.arrival == arrival);
                let Some(position) = position else { continue };
                let Some(slot) = try_start(&queue[position].request) else { continue };
                let Some(waiting) = queue.remove(position) else { continue };
                class.virtual_time = class.virtual_time.max(waiting.start_tag);
                self.len -= 1;
                if let Err(Ok(slot)) = waiting.sender.send(Ok(slot)) {
                    returned.push(slot);
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
        returned
    }

    /// Refuses requests whose deadline passed.
    pub fn refuse_expired(&mut self, now: Instant) {
        self.remove_where(
            |waiting| waiting.request.deadline <= now,
            || CallError::new(ErrorKind::DeadlineExpired, "the deadline passed in the queue"),
        );
    }

    /// Refuses every waiting request with `error`, for a node that shuts down or is cut off.
    pub fn refuse_all(&mut self, error: &CallError) {
        self.remove_where(|_| true, || error.clone());
    }

    /// Earliest deadline of a waiting request.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.waiting().map(|waiting| waiting.request.deadline).min()
    }

    /// Number, KV tokens and largest KV need of the requests that wait for `target`.
    pub fn demand(&self, target: &ModelId) -> crate::SlotDemand {
        let mut demand = crate::SlotDemand::default();
        for waiting in self.waiting().filter(|waiting| waiting.request.target == *target) {
            demand.requests += 1;
            demand.kv_tokens += waiting.request.kv_tokens;
            demand.largest_kv = demand.largest_kv.max(waiting.request.kv_tokens);
        }
        demand
    }

    fn waiting(&self) -> impl Iterator<Item = &Waiting<S>> {
        self.classes.values().flat_map(|class| class.accounts.values().flatten())
    }

    fn check_deadline(&self, now: Instant, request: &QueuedRequest) -> Result<(), CallError> {
        if request.deadline <= now {
            return Err(CallError::new(ErrorKind::DeadlineExpired, "the deadline has passed"));
        }
        let Some(mean) = self.service_times.get(&request.target) else { return Ok(()) };
        let is_ahead = |waiting: &&Waiting<S>| {
            waiting.request.target == request.target && waiting.request.priority <= request.priority
        };
        let ahead = self.waiting().filter(is_ahead).count();
        let wait = mean * ahead as f64 / f64::from(request.slots.max(1));
        let estimate = Duration::from_secs_f64((wait + mean).min(86_400.0));
        if now + estimate > request.deadline {
            let message = format!("the answer would take about {} ms", estimate.as_millis());
            return Err(CallError::new(ErrorKind::DeadlineUnreachable, message));
        }
        Ok(())
    }

    /// Makes room by refusing the newest request of the lowest priority below `priority`.
    fn refuse_less_urgent(&mut self, priority: u32) -> bool {
        let victim = self
            .waiting()
            .filter(|waiting| waiting.request.priority > priority)
            .max_by_key(|waiting| (waiting.request.priority, waiting.arrival))
            .map(|waiting| waiting.arrival);
        let Some(arrival) = victim else { return false };
        self.remove_where(
            |waiting| waiting.arrival == arrival,
            || CallError::new(ErrorKind::Overloaded, "displaced by a request of higher priority"),
        );
        true
    }

    fn remove_abandoned(&mut self) {
        self.remove_where(
            |waiting| waiting.sender.is_canceled(),
            || CallError::new(ErrorKind::Overloaded, "the caller left"),
        );
    }

    fn remove_where(
        &mut self,
        is_removed: impl Fn(&Waiting<S>) -> bool,
        error: impl Fn() -> CallError,
    ) {
        for queue in self.classes.values_mut().flat_map(|class| class.accounts.values_mut()) {
            let (removed, kept) = std::mem::take(queue).into_iter().partition(&is_removed);
            *queue = kept;
            let removed: VecDeque<Waiting<S>> = removed;
            self.len -= removed.len();
            for waiting in removed {
                // The receiver may be gone already; then nobody waits for the reason.
                let _ = waiting.sender.send(Err(error()));
            }
        }
    }
}

impl<S> PriorityClass<S> {
    /// Accounts and arrival numbers of the waiting requests, the next one first.
    fn in_order(&self) -> Vec<(ClientAccountId, u64)> {
        let mut order: Vec<_> = self
            .accounts
            .values()
            .flatten()
            .map(|waiting| (waiting.start_tag, waiting.arrival, &waiting.request.account))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, arrival, account)| (account.clone(), arrival)).collect()
    }
}
