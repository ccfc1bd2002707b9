//! Placement of requests on upstreams, and the requests that wait for one with free capacity.
//!
//! A service with an engine runs each model on groups of upstreams; the upstream that receives the
//! requests for a group is its head VM. Without an engine, every upstream receives requests.

use std::cell::{RefCell, RefMut};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{
    AccountTurns, EngineSpec, FleetView, LimitForecast, ModelSpec, NoticeCause,
    PlacementConstraints, PlacementRefusal, PlacementTarget, QueueId, Replica, ReplicaSpeed,
    RequestQueue, WaitingKey, WaitingRequest,
};
use eelgrassdeal_types::{ClientAccountId, ModelId, ServiceId, UpstreamId};
use event_listener::Event;

use crate::queue_log::{QueueLog, SlotOwnership, log_queues};
use crate::rate_limit::LimitShare;
use crate::state::GatewayState;

/// Maximum delay until waiting requests are placed, if no event shows that capacity became free. The
/// shares of cold upstreams refill without one.
const MAX_ASSIGN_INTERVAL: Duration = Duration::from_millis(25);
/// Number of requests per slot, over all nodes, below which an engine is given a request that is
/// still within its target latency and of which no earlier attempt may have run. It keeps requests
/// from queueing inside the engine, which runs them in order of arrival.
const ON_TIME_REQUESTS_PER_SLOT: f64 = 1.0;
/// Like [`ON_TIME_REQUESTS_PER_SLOT`], for a request that has exceeded its target latency. The
/// remaining slots are left to requests that have not.
const LATE_REQUESTS_PER_SLOT: f64 = 0.88;
/// Like [`LATE_REQUESTS_PER_SLOT`], while many requests that could be in time have to wait at this node.
/// With more, the late ones of an overload would use the slots that requests in time need, and most
/// requests would be late from then on; with much less, more of them would be refused.
const OVERLOADED_LATE_REQUESTS_PER_SLOT: f64 = 0.6;
/// Like [`ON_TIME_REQUESTS_PER_SLOT`], for a request of which an earlier attempt may have run, for
/// example a stream that is resumed.
const RERUN_REQUESTS_PER_SLOT: f64 = 1.2;
/// Part of the requests per slot that an account over its share in all nodes may use. The rest is for
/// the others, which may wait at other nodes.
const OVER_SHARE_ROOM: f64 = 0.95;
/// Like [`ON_TIME_REQUESTS_PER_SLOT`], for every request to an upstream of a service without an
/// engine.
const PLAIN_REQUESTS_PER_SLOT: f64 = 3.0;

/// Counts a request in the load of its upstream until the guard is dropped.
pub(crate) struct LoadGuard {
    state: Rc<GatewayState>,
    pub(crate) upstream: UpstreamId,
    /// Whether data of the response has arrived.
    has_response_started: bool,
}

impl LoadGuard {
    fn new(state: &Rc<GatewayState>, upstream: &UpstreamId) -> Self {
        state.loads.borrow_mut().start_request(upstream, Instant::now());
        Self { state: state.clone(), upstream: upstream.clone(), has_response_started: false }
    }

    /// Records that data of the response arrived.
    pub(crate) fn record_progress(&mut self) {
        let mut loads = self.state.loads.borrow_mut();
        if !self.has_response_started {
            self.has_response_started = true;
            loads.record_response_start(&self.upstream);
        }
        loads.record_progress(&self.upstream, Instant::now());
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.state.loads.borrow_mut().end_request(&self.upstream, self.has_response_started);
        self.state.waiting.notify();
    }
}

/// An upstream for one attempt. The request counts in its load from here on.
pub(crate) struct Placement {
    pub(crate) target: PlacementTarget,
    pub(crate) load: LoadGuard,
    pub(crate) limit_share: LimitShare,
}

impl Placement {
    fn new(
        state: &Rc<GatewayState>,
        target: PlacementTarget,
        queue: &QueueId,
        is_on_time: bool,
    ) -> Self {
        let has_own_slot = state.loads.borrow().has_own_slot(&target);
        let ownership = match (target.owned_slots, has_own_slot) {
            (None, _) => SlotOwnership::Undivided,
            (Some(_), true) => SlotOwnership::Own,
            (Some(_), false) => SlotOwnership::Borrowed,
        };
        if ownership == SlotOwnership::Borrowed {
            state.loads.borrow_mut().record_borrowed(queue);
        }
        state.waiting.log.borrow_mut().record_placement(queue, ownership, is_on_time);
        let load = LoadGuard::new(state, &target.record.upstream);
        let limit_share = LimitShare::take(state, &target.record);
        Self { target, load, limit_share }
    }
}

/// What a request needs of the upstream that runs it.
#[derive(Clone, Debug)]
pub(crate) struct PlacementNeed {
    pub(crate) service: ServiceId,
    /// Model that the caller names, whether the service runs it or not.
    pub(crate) model: Option<ModelId>,
    pub(crate) priority: u32,
    pub(crate) account: Option<ClientAccountId>,
    /// Whether the caller was refused before and has come back.
    pub(crate) has_returned: bool,
    /// When the request counts as late: when the target latency is exceeded, or in a large fleet, when
    /// its first event can no longer come in time.
    pub(crate) target_at: Instant,
    /// Whether `target_at` allows for the time of the first event.
    pub(crate) allows_for_first_event: bool,
    /// Whether an earlier attempt may have run.
    pub(crate) is_rerun: bool,
    /// Upstreams that are not used again until all others were tried.
    pub(crate) excluded: Vec<UpstreamId>,
    /// Upstreams at which an attempt of the request goes on. They are not used for another one.
    pub(crate) occupied: Vec<UpstreamId>,
}

/// Why a request was given no upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlacementFailure {
    pub(crate) reason: &'static str,
    pub(crate) room: RoomForecast,
}

/// When a refused request would find an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoomForecast {
    Unknown,
    /// No earlier than this: the queue is too long.
    AtLeast(Duration),
    /// After this time: all upstreams have asked for no requests until then.
    After(Duration),
}

impl PlacementNeed {
    /// Takes the time until the first event off `target_at`, once, in a large fleet.
    fn allow_for_first_event(&mut self, state: &GatewayState, now: Instant) {
        if self.allows_for_first_event || state.directory.borrow().slot_share().is_none() {
            return;
        }
        self.allows_for_first_event = true;
        let target_at = self.target_at;
        let late_at = self.with_model(state, |engine, spec| {
            ReplicaSpeed::new(engine, spec).late_at(target_at, now)
        });
        self.target_at = late_at.unwrap_or(target_at);
    }

    /// Calls `read` with the engine and model that the request is for. Returns `None` for a service
    /// without an engine or an unknown model.
    pub(crate) fn with_model<T>(
        &self,
        state: &GatewayState,
        read: impl FnOnce(&EngineSpec, &ModelSpec) -> T,
    ) -> Option<T> {
        let config = state.config()?;
        let engine = config.services.get(&self.service)?.engine.as_ref()?;
        let spec = engine.model(self.model.as_deref()?)?;
        Some(read(engine, spec))
    }

    /// Requests for models that the service does not run wait together.
    fn queue_id(&self, state: &GatewayState) -> QueueId {
        (self.service.clone(), self.with_model(state, |_, spec| spec.model.clone()))
    }

    fn waiting_request(&self, queue: QueueId, start_by: Instant) -> WaitingRequest {
        WaitingRequest {
            queue,
            priority: self.priority,
            is_rerun: self.is_rerun,
            has_returned: self.has_returned,
            account: self.account.clone(),
            target_at: self.target_at,
            start_by,
        }
    }

    /// Number of requests per slot below which an upstream still takes this request.
    fn max_per_slot(&self, state: &GatewayState, queue: &QueueId, now: Instant) -> f64 {
        let waiting = state.waiting.queue.borrow();
        let is_over_share = || waiting.fleet_turns().is_over_share(&self.account, now);
        let room = if !self.is_rerun && is_over_share() { OVER_SHARE_ROOM } else { 1.0 };
        let is_large = state.directory.borrow().slot_share().is_some();
        let in_time = self.with_model(state, |engine, spec| match is_large {
            true => ReplicaSpeed::new(engine, spec).in_time_per_slot(),
            false => 1.0,
        });
        let Some(in_time) = in_time else { return room * PLAIN_REQUESTS_PER_SLOT };
        // Requests that may have run before take precedence over those that have not.
        let part = match (self.is_rerun, now < self.target_at) {
            (true, _) => RERUN_REQUESTS_PER_SLOT,
            (false, true) => ON_TIME_REQUESTS_PER_SLOT,
            (false, false) if is_large && waiting.is_overloaded(queue, now) => {
                OVERLOADED_LATE_REQUESTS_PER_SLOT
            }
            (false, false) => LATE_REQUESTS_PER_SLOT,
        };
        room * in_time * part
    }
}

/// A request that waits, and the placement that it was given.
struct WaitingSeat {
    need: PlacementNeed,
    start_by: Instant,
    placement: Option<Placement>,
    /// Why the request need not wait any longer.
    failure: Option<PlacementFailure>,
    /// Notified when there is a placement or a failure.
    granted: Rc<Event>,
}

/// Requests that wait for an upstream with free capacity.
#[derive(Default)]
pub(crate) struct WaitingRoom {
    queue: RefCell<RequestQueue>,
    seats: RefCell<HashMap<WaitingKey, WaitingSeat>>,
    /// Notified when capacity may have become free.
    room_changed: Event,
    pub(crate) log: RefCell<QueueLog>,
}

impl WaitingRoom {
    /// Has the waiting requests placed, because capacity may have become free.
    pub(crate) fn notify(&self) {
        if !self.queue.borrow().is_empty() {
            self.room_changed.notify(1);
        }
    }

    /// Whether many requests of a queue that could be in time have to wait at this node.
    pub(crate) fn is_overloaded(&self, queue: &QueueId, now: Instant) -> bool {
        self.queue.borrow().is_overloaded(queue, now)
    }

    /// Turns of the client accounts over all nodes.
    pub(crate) fn fleet_turns(&self) -> RefMut<'_, AccountTurns> {
        RefMut::map(self.queue.borrow_mut(), RequestQueue::fleet_turns_mut)
    }
}

/// Removes a request from the queue when it has a placement, stops waiting, or is cancelled.
struct SeatGuard<'a> {
    room: &'a WaitingRoom,
    key: WaitingKey,
}

impl SeatGuard<'_> {
    fn take_placement(&self) -> Option<Placement> {
        self.room.seats.borrow_mut().get_mut(&self.key)?.placement.take()
    }

    fn failure(&self) -> Option<PlacementFailure> {
        self.room.seats.borrow().get(&self.key)?.failure
    }
}

impl Drop for SeatGuard<'_> {
    fn drop(&mut self) {
        self.room.queue.borrow_mut().remove(self.key);
        // Dropped after the borrow has ended: it may hold a placement, which notifies the room.
        let seat = self.room.seats.borrow_mut().remove(&self.key);
        drop(seat);
    }
}

/// Places a request on an upstream with free capacity. Waits for one until `until` if the queue is
/// expected to reach the request by then.
///
/// # Errors
///
/// [`PlacementFailure`] if no upstream was found in time.
pub(crate) async fn place(
    state: &Rc<GatewayState>,
    need: &mut PlacementNeed,
    until: Instant,
) -> Result<Placement, PlacementFailure> {
    let now = Instant::now();
    need.allow_for_first_event(state, now);
    let room = &state.waiting;
    let queue = need.queue_id(state);
    let request = need.waiting_request(queue.clone(), until);
    if need.excluded.is_empty() && !need.is_rerun {
        room.queue.borrow_mut().record_arrival(&request, now);
        room.log.borrow_mut().record_arrival(&queue, now < need.target_at);
    }
    if let Some(failure) = paused_failure(state, need, &queue, until, now) {
        return Err(failure);
    }
    let must_wait = room.queue.borrow().precedes(&request, now);
    let waiting = room.queue.borrow().count(&queue) + 1;
    let refusal = match must_wait {
        true => PlacementRefusal::AllFull,
        false => {
            match choose_upstream(state, need, (&queue, waiting), &candidates(state, &queue), now) {
                Ok(target) => {
                    room.queue.borrow_mut().record_placement(&request, now);
                    return Ok(Placement::new(state, target, &queue, now < need.target_at));
                }
                Err(refusal) => refusal,
            }
        }
    };
    if refusal == PlacementRefusal::NoneServing && !is_replica_expected(&state.view(), &queue) {
        let reason = "no upstream is available for the request, and none is being prepared";
        return Err(PlacementFailure { reason, room: RoomForecast::Unknown });
    }
    if let Some(forecast) = limit_forecast(state, &queue, now) {
        let before = room.queue.borrow().count_before(&request, now);
        if let Some(failure) = limited_failure(forecast, need, before, until, now) {
            return Err(failure);
        }
    }
    room.log.borrow_mut().record_wait(&queue);
    let pushed = room.queue.borrow_mut().push(request, now);
    let key = pushed.map_err(|room_in| {
        room.log.borrow_mut().record_refusal(&queue);
        PlacementFailure {
            reason: "every upstream is at capacity, and the queue is too long",
            room: RoomForecast::AtLeast(room_in),
        }
    })?;
    let granted = Rc::new(Event::new());
    let seat = WaitingSeat {
        need: need.clone(),
        start_by: until,
        placement: None,
        failure: None,
        granted: granted.clone(),
    };
    room.seats.borrow_mut().insert(key, seat);
    let guard = SeatGuard { room, key };
    loop {
        let grant = granted.listen();
        if let Some(placement) = guard.take_placement() {
            need.excluded.clear();
            return Ok(placement);
        }
        if let Some(failure) = guard.failure() {
            return Err(failure);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            room.log.borrow_mut().record_refusal(&queue);
            let reason = match refusal {
                PlacementRefusal::NoneServing => "no upstream is available for the request",
                PlacementRefusal::AllFull => "every upstream is at capacity",
            };
            return Err(PlacementFailure { reason, room: RoomForecast::Unknown });
        }
        // A timeout is handled above.
        let _ = compio::time::timeout(left, grant).await;
    }
}

/// Places waiting requests when capacity becomes free, until the task is dropped.
pub(crate) async fn run_waiting_room(state: Rc<GatewayState>) {
    loop {
        let change = state.waiting.room_changed.listen();
        // A timeout is the usual case while requests wait, and no error.
        let _ = compio::time::timeout(MAX_ASSIGN_INTERVAL, change).await;
        if !state.waiting.queue.borrow().is_empty() {
            assign_waiting(&state);
        }
        log_queues(&state, |queue| serving_targets(&state, queue));
    }
}

/// Gives free capacity to waiting requests in the order of the queue.
fn assign_waiting(state: &Rc<GatewayState>) {
    let now = Instant::now();
    let order = state.waiting.queue.borrow().in_order(now);
    for (queue, keys) in order {
        let candidates = candidates(state, &queue);
        let forecast = limit_forecast(state, &queue, now);
        // The highest number of requests per slot for which all upstreams were full.
        let mut full_limit = 0.0_f64;
        for (before, key) in keys.into_iter().enumerate() {
            let seats = state.waiting.seats.borrow();
            let Some(seat) = seats.get(&key) else { continue };
            let (mut need, granted) = (seat.need.clone(), seat.granted.clone());
            let start_by = seat.start_by;
            drop(seats);
            let failure = paused_failure(state, &need, &queue, start_by, now)
                .or_else(|| limited_failure(forecast?, &need, before, start_by, now));
            if let Some(failure) = failure {
                if let Some(seat) = state.waiting.seats.borrow_mut().get_mut(&key) {
                    seat.failure = Some(failure);
                }
                granted.notify(1);
                continue;
            }
            let limit = need.max_per_slot(state, &queue, now);
            if limit <= full_limit {
                continue;
            }
            let waiting = state.waiting.queue.borrow().count(&queue);
            let chosen = choose_upstream(state, &mut need, (&queue, waiting), &candidates, now);
            let Ok(target) = chosen else {
                if need.excluded.is_empty() {
                    full_limit = limit;
                }
                if let Some(seat) = state.waiting.seats.borrow_mut().get_mut(&key) {
                    seat.need = need;
                }
                continue;
            };
            let placement = Placement::new(state, target, &queue, now < need.target_at);
            state.waiting.queue.borrow_mut().take(key, now);
            if let Some(seat) = state.waiting.seats.borrow_mut().get_mut(&key) {
                seat.placement = Some(placement);
            }
            granted.notify(1);
        }
    }
}

/// Chooses an upstream with free capacity that takes the request now. `waiting` is the number of requests
/// that wait in the queue, including this one.
fn choose_upstream(
    state: &GatewayState,
    need: &mut PlacementNeed,
    (queue, waiting): (&QueueId, usize),
    candidates: &[PlacementTarget],
    now: Instant,
) -> Result<PlacementTarget, PlacementRefusal> {
    let mut candidates = candidates.to_vec();
    candidates.retain(|target| !need.occupied.contains(&target.record.upstream));
    let has_candidates = !candidates.is_empty();
    candidates.retain(|target| state.has_limit_share(&target.record, now));
    if has_candidates && candidates.is_empty() {
        return Err(PlacementRefusal::AllFull);
    }
    loop {
        let constraints = PlacementConstraints {
            excluded: &need.excluded,
            queue,
            waiting: waiting as u32,
            max_per_slot: need.max_per_slot(state, queue, now),
            is_on_time: need.is_rerun || now < need.target_at,
        };
        let choice = state.loads.borrow_mut().choose(&candidates, constraints, rand::random(), now);
        let target = match choice {
            Ok(target) => target,
            // This request excludes every candidate that is left, since sends to them failed or
            // were rejected. The next search includes them again. If the wait ends before it,
            // the caller is told that every upstream is at capacity, although some may not be.
            Err(PlacementRefusal::NoneServing) if !candidates.is_empty() => {
                need.excluded.clear();
                return Err(PlacementRefusal::AllFull);
            }
            Err(refusal) => return Err(refusal),
        };
        let may_return = state.try_take_return(&target.record, now);
        if may_return && state.try_take_cold_share(&target.record, now) {
            return Ok(target);
        }
        candidates.retain(|other| other.record.upstream != target.record.upstream);
        if candidates.is_empty() {
            // All upstreams are cold or return from a pause, and this node may not send to any of
            // them now.
            return Err(PlacementRefusal::AllFull);
        }
    }
}

/// Returns a failure if every upstream that serves a queue has asked for no requests. A request that may
/// have run waits instead if it can still start by `start_by`, since a refusal would end it for good.
fn paused_failure(
    state: &GatewayState,
    need: &PlacementNeed,
    queue: &QueueId,
    start_by: Instant,
    now: Instant,
) -> Option<PlacementFailure> {
    let notices = state.notices.borrow();
    if notices.count(NoticeCause::Paused, now) == 0 {
        return None;
    }
    let targets = serving_targets(state, queue);
    let end = notices.pause_end(targets.iter().map(|target| &*target.record), now)?;
    let reason = "every upstream of the service has asked for no requests for a while";
    let wait = end.left + end.spread.mul_f64(rand::random());
    let may_wait = need.is_rerun && now + end.left < start_by;
    (!may_wait).then_some(PlacementFailure { reason, room: RoomForecast::After(wait) })
}

/// When this node may send the next requests of a queue; `None` unless all its upstreams have named a
/// rate limit.
fn limit_forecast(state: &GatewayState, queue: &QueueId, now: Instant) -> Option<LimitForecast> {
    let mut limits = state.rate_limits.borrow_mut();
    if limits.is_empty() {
        return None;
    }
    let targets = candidates(state, queue);
    let records = targets.iter().map(|target| &*target.record);
    limits.forecast(records, &state.directory.borrow(), now)
}

/// Returns a failure if the rate limits of all upstreams leave no room by `start_by` for a request that
/// `before` others precede. A request that may have run waits instead, since a refusal would end it for
/// good.
fn limited_failure(
    forecast: LimitForecast,
    need: &PlacementNeed,
    before: usize,
    start_by: Instant,
    now: Instant,
) -> Option<PlacementFailure> {
    if need.is_rerun {
        return None;
    }
    let room_in = match forecast.wait(before) {
        Some(wait) => wait.checked_sub(start_by.saturating_duration_since(now))?,
        None => forecast.interval(),
    };
    metrics::counter!("eelgrassdeal_limit_refusals_total").increment(1);
    let reason = "every upstream has named a rate limit, and this node's share is used up";
    Some(PlacementFailure { reason, room: RoomForecast::AtLeast(room_in) })
}

/// Returns the upstreams that serve a queue and have not asked for no requests.
fn candidates(state: &GatewayState, queue: &QueueId) -> Vec<PlacementTarget> {
    let (notices, now) = (state.notices.borrow(), Instant::now());
    let mut targets = serving_targets(state, queue);
    targets.retain(|target| !notices.is_paused(&target.record, now));
    targets
}

/// Returns the head VMs that serve the model of a queue, or without a model all upstreams of its
/// service that accept requests.
fn serving_targets(state: &GatewayState, queue: &QueueId) -> Vec<PlacementTarget> {
    let (service, model) = queue;
    let view = state.view();
    let Some(model) = model else {
        return view.plain_upstreams(service).into_iter().map(PlacementTarget::new).collect();
    };
    let config = state.config();
    let engine = config.as_ref().and_then(|config| config.services.get(service)?.engine.as_ref());
    let factor = engine.map_or(1.0, |engine| engine.cross_domain_factor);
    let target = |replica: Replica| match replica.is_cross_domain {
        true => PlacementTarget::new(replica.head).with_slowdown(factor),
        false => PlacementTarget::new(replica.head),
    };
    let mut targets: Vec<_> = view.replicas(service, model).into_iter().map(target).collect();
    if let Some(share) = state.directory.borrow().slot_share() {
        let in_time = engine.and_then(|engine| {
            Some(ReplicaSpeed::new(engine, engine.model(model)?).in_time_per_slot())
        });
        let in_time = in_time.unwrap_or(1.0);
        let owned = share.divide(targets.iter().map(|target| (target.slots * in_time) as u32));
        targets = targets
            .into_iter()
            .zip(owned)
            .map(|(target, owned)| target.with_owned_slots(owned))
            .collect();
    }
    targets
}

/// Whether an upstream may soon serve a queue that none serves now: a group of the model is being
/// formed or replaced. Upstreams without groups may appear at any time.
fn is_replica_expected(view: &FleetView, queue: &QueueId) -> bool {
    let (service, model) = queue;
    let Some(model) = model else { return true };
    let is_of_model = |group: &Arc<eelgrassdeal_dispatch::GroupRecord>| {
        group.service == *service && group.model == *model
    };
    view.groups.values().any(is_of_model)
}
