//! Order and length of the queue of requests that wait at this node for an upstream with free
//! capacity.
//!
//! It answers the load of more requests than free slots, as after the loss of groups or in a burst.
//! A free slot goes to the request that can still make the most of it: first to one of which an
//! earlier attempt may have run, then by priority, then to those within their target latency, then
//! to callers that were refused before. Client accounts take turns within each of these classes, so
//! that a large account does not delay the others; in a large fleet over all nodes ([`AccountTurns`]).
//! A request that would not reach the front in time
//! is refused at once, and told to come back when the queue is expected to have room.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{ClientAccountId, ModelId, ServiceId};
use slotmap::{SlotMap, new_key_type};

use crate::turns::{AccountTurns, CurrentTurns, TurnAccount};

/// Period over which the rate of placements is measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Lower bound of the rate at which requests are assumed to be placed, in requests per second. It
/// applies before the first placements.
const MIN_PLACEMENT_RATE: f64 = 1.0;
/// Fraction of the requests within their target latency that have to wait above which the node counts
/// as overloaded.
const OVERLOAD_FRACTION: f64 = 0.35;
/// Fraction of the placements that requests past their target latency are assumed to get at least.
const MIN_LEFT_FRACTION: f64 = 0.1;

new_key_type! {
    /// Identifies a waiting request.
    pub struct WaitingKey;
}

/// The upstreams that requests wait for: those of one service that run the same model.
pub type QueueId = (ServiceId, Option<ModelId>);

/// What the order in a queue depends on.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Queue that the request waits in.
    pub queue: QueueId,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Whether an earlier attempt may have run.
    pub is_rerun: bool,
    /// Whether the caller was refused before and has come back.
    pub has_returned: bool,
    /// Client account of the caller, if known.
    pub account: Option<ClientAccountId>,
    /// When the target latency is exceeded.
    pub target_at: Instant,
    /// Latest time at which the request may start.
    pub start_by: Instant,
}

/// A request that waits, and its turn among those of its class.
#[derive(Clone, Debug)]
struct WaitingEntry {
    request: WaitingRequest,
    /// Virtual time at which its account has its turn.
    turn: u64,
    /// Number of requests that arrived before it.
    arrival: u64,
}

/// Order of a request; a smaller one is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct QueueRank {
    is_first_run: bool,
    priority: u32,
    is_late: bool,
    is_newcomer: bool,
    turn: u64,
    arrival: u64,
}

impl QueueRank {
    /// The part of the order that comes before the turns of accounts.
    fn class(self) -> Self {
        Self { turn: 0, arrival: 0, ..self }
    }
}

impl WaitingEntry {
    fn rank(&self, now: Instant) -> QueueRank {
        let request = &self.request;
        let is_late = now >= request.target_at;
        QueueRank {
            is_first_run: !request.is_rerun,
            priority: request.priority,
            is_late,
            // A caller that came back is late already, so this orders the late ones.
            is_newcomer: is_late && !request.has_returned,
            turn: self.turn,
            arrival: self.arrival,
        }
    }
}

/// Number of recent events of one kind in one queue.
#[derive(Clone, Debug)]
struct EventRate {
    began_at: Instant,
    current: u32,
    previous: f64,
}

impl EventRate {
    fn new(now: Instant) -> Self {
        Self { began_at: now, current: 0, previous: 0.0 }
    }

    fn record(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.began_at);
        if elapsed >= RATE_WINDOW {
            let is_recent = elapsed < RATE_WINDOW * 2;
            self.previous = if is_recent { f64::from(self.current) } else { 0.0 };
            self.current = 0;
            self.began_at = now;
        }
        self.current += 1;
    }

    /// Events per second over the last window.
    fn per_second(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.began_at);
        let past = 1.0 - (elapsed.as_secs_f64() / RATE_WINDOW.as_secs_f64()).min(1.0);
        (f64::from(self.current) + self.previous * past) / RATE_WINDOW.as_secs_f64()
    }
}

/// The timeout that most callers of a route send with their first attempt. A caller that comes back
/// sends what is left of it.
#[derive(Clone, Copy, Debug)]
pub struct UsualTimeout(Duration);

impl UsualTimeout {
    /// Fraction by which the estimate follows a timeout that differs from it. Whichever side of it
    /// most timeouts are on wins, so the few callers that come back do not lower it.
    const STEP: f64 = 0.01;
    /// Timeouts that are shorter by less than this fraction are those of first attempts.
    const TOLERANCE: f64 = 0.05;

    /// Starts with the timeout of one request.
    pub fn new(timeout: Duration) -> Self {
        Self(timeout)
    }

    /// Records the timeout of a request.
    pub fn record(&mut self, timeout: Duration) {
        let factor = match timeout.cmp(&self.0) {
            Ordering::Less => 1.0 - Self::STEP,
            Ordering::Equal => 1.0,
            Ordering::Greater => 1.0 + Self::STEP,
        };
        let followed = self.0.mul_f64(factor);
        let is_passed = (followed < timeout) != (self.0 < timeout);
        self.0 = if is_passed { timeout } else { followed };
    }

    /// Time that a caller with this timeout has spent on earlier attempts; zero for a first one.
    pub fn time_spent(&self, timeout: Duration) -> Duration {
        let spent = self.0.saturating_sub(timeout);
        if spent > self.0.mul_f64(Self::TOLERANCE) { spent } else { Duration::ZERO }
    }
}

/// Requests that wait at this node, in the order in which they are placed.
#[derive(Debug, Default)]
pub struct RequestQueue {
    entries: SlotMap<WaitingKey, WaitingEntry>,
    /// Turns over all nodes, which replace those of this node if other nodes report theirs.
    fleet_turns: AccountTurns,
    /// Last turn of each account at this node, by queue.
    turns: HashMap<(QueueId, Option<ClientAccountId>), u64>,
    /// Turn of the request that was placed last, by queue.
    current_turns: HashMap<QueueId, u64>,
    /// Placements, which tell how fast upstreams free up.
    placement_rates: HashMap<QueueId, EventRate>,
    /// Arrivals of requests that are still within their target latency.
    arrival_rates: HashMap<QueueId, EventRate>,
    /// Requests within their target latency that had to wait.
    wait_rates: HashMap<QueueId, EventRate>,
    arrivals: u64,
}

impl RequestQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request that finds no free capacity now.
    ///
    /// # Errors
    ///
    /// The time until the queue is expected to have room, if the request would not start in time.
    pub fn push(&mut self, request: WaitingRequest, now: Instant) -> Result<WaitingKey, Duration> {
        let queue = request.queue.clone();
        let current = self.current_turns.get(&queue).copied().unwrap_or(0);
        let last = self.turns.entry((queue, request.account.clone())).or_insert(current);
        let turn = (*last).max(current) + 1;
        let entry = WaitingEntry { request, turn, arrival: self.arrivals };
        let wait = self.expected_wait(&entry, now);
        let excess = (now + wait).saturating_duration_since(entry.request.start_by);
        if now < entry.request.target_at {
            let queue = entry.request.queue.clone();
            self.wait_rates.entry(queue).or_insert_with(|| EventRate::new(now)).record(now);
        }
        if !excess.is_zero() {
            return Err(excess);
        }
        self.arrivals += 1;
        self.turns.insert((entry.request.queue.clone(), entry.request.account.clone()), turn);
        Ok(self.entries.insert(entry))
    }

    /// Whether a request that waits would be placed before `request`.
    pub fn precedes(&self, request: &WaitingRequest, now: Instant) -> bool {
        // Most requests arrive when none waits.
        if self.is_empty() {
            return false;
        }
        let rank = self.rank_of_arrival(request, now);
        self.ranked_before(&request.queue, rank, now).next().is_some()
    }

    /// Number of waiting requests that would be placed before `request`.
    pub fn count_before(&self, request: &WaitingRequest, now: Instant) -> usize {
        let rank = self.rank_of_arrival(request, now);
        self.ranked_before(&request.queue, rank, now).count()
    }

    /// Order of a request that arrives now, if its account has the next turn.
    fn rank_of_arrival(&self, request: &WaitingRequest, now: Instant) -> QueueRank {
        let current = self.current_turns.get(&request.queue).copied().unwrap_or(0);
        let entry =
            WaitingEntry { request: request.clone(), turn: current + 1, arrival: self.arrivals };
        self.rank_of_next(&entry, now)
    }

    /// Order of a request that is not in the queue yet, behind those of its account.
    fn rank_of_next(&self, entry: &WaitingEntry, now: Instant) -> QueueRank {
        let rank = entry.rank(now);
        let Some(turns) = self.fleet_turns.current(now) else { return rank };
        let (queue, account) = (&entry.request.queue, &entry.request.account);
        let is_before = |other: &&WaitingEntry| {
            other.request.queue == *queue
                && other.request.account == *account
                && other.rank(now).class() == rank.class()
        };
        let position = self.entries.values().filter(is_before).count();
        QueueRank { turn: turns.turn(account, position), ..rank }
    }

    /// Waiting requests of a queue, or of all queues, with their order.
    fn ranks(
        &self,
        queue: Option<&QueueId>,
        now: Instant,
    ) -> Vec<(QueueRank, WaitingKey, &WaitingEntry)> {
        let is_included =
            |entry: &WaitingEntry| queue.is_none_or(|queue| entry.request.queue == *queue);
        let mut ranks: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_included(entry))
            .map(|(key, entry)| (entry.rank(now), key, entry))
            .collect();
        if let Some(turns) = self.fleet_turns.current(now) {
            apply_fleet_turns(&mut ranks, &turns);
        }
        ranks
    }

    /// Turns of the accounts over all nodes.
    pub fn fleet_turns(&self) -> &AccountTurns {
        &self.fleet_turns
    }

    /// Like [`Self::fleet_turns`], to record what other nodes report.
    pub fn fleet_turns_mut(&mut self) -> &mut AccountTurns {
        &mut self.fleet_turns
    }

    /// Whether many of the requests that could be in time have to wait. Then those that are late must
    /// not keep the room that the others need.
    pub fn is_overloaded(&self, queue: &QueueId, now: Instant) -> bool {
        let per_second = |rates: &HashMap<QueueId, EventRate>| {
            rates.get(queue).map_or(0.0, |rate| rate.per_second(now))
        };
        let arrivals = per_second(&self.arrival_rates);
        arrivals > 0.0 && per_second(&self.wait_rates) > OVERLOAD_FRACTION * arrivals
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, key: WaitingKey) {
        self.entries.remove(key);
    }

    /// Removes a request that was given an upstream.
    pub fn take(&mut self, key: WaitingKey, now: Instant) {
        if let Some(entry) = self.entries.remove(key) {
            let current = self.current_turns.entry(entry.request.queue.clone()).or_default();
            *current = (*current).max(entry.turn.saturating_sub(1));
            self.record_placement(&entry.request, now);
        }
    }

    /// Records that a request was placed, whether it has waited or not.
    pub fn record_placement(&mut self, request: &WaitingRequest, now: Instant) {
        self.fleet_turns.record_placement(&request.account, now);
        let queue = request.queue.clone();
        self.placement_rates.entry(queue).or_insert_with(|| EventRate::new(now)).record(now);
    }

    /// Records that a request has arrived, whether it has to wait or not.
    pub fn record_arrival(&mut self, request: &WaitingRequest, now: Instant) {
        if now < request.target_at {
            let queue = request.queue.clone();
            self.arrival_rates.entry(queue).or_insert_with(|| EventRate::new(now)).record(now);
        }
    }

    /// Waiting requests of each queue, in the order in which they are to be placed.
    pub fn in_order(&self, now: Instant) -> HashMap<QueueId, Vec<WaitingKey>> {
        let mut ranked: HashMap<QueueId, Vec<(QueueRank, WaitingKey)>> = HashMap::new();
        for (rank, key, entry) in self.ranks(None, now) {
            ranked.entry(entry.request.queue.clone()).or_default().push((rank, key));
        }
        let sorted = ranked.into_iter().map(|(queue, mut keys)| {
            keys.sort_unstable_by_key(|(rank, _)| *rank);
            (queue, keys.into_iter().map(|(_, key)| key).collect())
        });
        sorted.collect()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Number of waiting requests of a queue.
    pub fn count(&self, queue: &QueueId) -> usize {
        self.entries.values().filter(|entry| entry.request.queue == *queue).count()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Time until the request is expected to start. The requests before it are placed at the rate of
    /// the recent placements. Once it is past its target latency, later arrivals pass it as well, so
    /// that only what they leave of that rate remains.
    fn expected_wait(&self, entry: &WaitingEntry, now: Instant) -> Duration {
        let rank = self.rank_of_next(entry, now);
        let request = &entry.request;
        let queue = &request.queue;
        let before = self.ranked_before(queue, rank, now).count();
        let per_second = |rates: &HashMap<QueueId, EventRate>| {
            rates.get(queue).map_or(0.0, |rate| rate.per_second(now))
        };
        let rate = per_second(&self.placement_rates).max(MIN_PLACEMENT_RATE);
        let wait = Duration::from_secs_f64(before as f64 / rate);
        if request.is_rerun || now + wait < request.target_at {
            return wait;
        }
        let left = (rate - per_second(&self.arrival_rates)).max(rate * MIN_LEFT_FRACTION);
        Duration::from_secs_f64(before as f64 / left)
    }

    /// Waiting requests of a queue that are placed before one of this rank.
    fn ranked_before(
        &self,
        queue: &QueueId,
        rank: QueueRank,
        now: Instant,
    ) -> impl Iterator<Item = &WaitingEntry> {
        let ranks = self.ranks(Some(queue), now).into_iter();
        ranks.filter(move |(other, ..)| *other < rank).map(|(.., entry)| entry)
    }
}

/// Replaces the turns within this node. An account's requests of one class keep their order.
fn apply_fleet_turns(ranks: &mut [(QueueRank, WaitingKey, &WaitingEntry)], turns: &CurrentTurns) {
    ranks.sort_unstable_by_key(|(rank, ..)| *rank);
    let mut positions: HashMap<(&QueueId, &TurnAccount, QueueRank), usize> = HashMap::new();
    for (rank, _, entry) in ranks {
        let (queue, account) = (&entry.request.queue, &entry.request.account);
        let position = positions.entry((queue, account, rank.class())).or_default();
        rank.turn = turns.turn(account, *position);
        *position += 1;
    }
}
