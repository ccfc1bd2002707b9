//! Selection of the upstream that runs a request.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{NodeId, UpstreamId};

use crate::balance::{LevelCandidate, NodePosition, fraction_of, lowest_level};
use crate::counts::{CountScope, CountTracker};
use crate::fleet::{Replica, UpstreamRecord};
use crate::queue::QueueId;
use crate::slot_share::{SharedRoom, SlotBorrowing};

/// Time for which an upstream that failed is selected only if there is no other.
const AVOID_PERIOD: Duration = Duration::from_millis(1_000);
/// Time for which an upstream whose host refused a connection is not selected. It may then be back,
/// as an upstream can restart under its id, which one request at a time finds out.
const REFUSED_PERIOD: Duration = Duration::from_millis(500);
/// Weight of the newest outcome in the exponential moving average of the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.15;
/// Factor by which the peak gap of an upstream, the longest recent time between two pieces of data
/// from it, decays with each piece of data received.
const GAP_DECAY: f64 = 0.97;
/// Upper bound of the peak gap. A longer gap is a stall and says nothing about the speed of an
/// upstream.
const MAX_PEAK_GAP: Duration = Duration::from_millis(400);
/// Half-life of an upstream's failure rate.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Failure rates below this value count as zero.
const MIN_FAILURE_RATE: f64 = 0.03;
/// Lower bound of the factor by which failures reduce the weight of an upstream. An upstream whose
/// responses all failed keeps receiving a few requests, so that its recovery is noticed.
const MIN_HEALTH_FACTOR: f64 = 0.02;
/// Factor on the weight of an upstream whose streams are paused: it may have lost a group member.
const PAUSED_FACTOR: f64 = 0.05;
/// Multiple of the peak gap after which an upstream without new data counts as paused.
const PAUSED_GAP_FACTOR: f64 = 1.5;
/// Multiple of an upstream's limit from which on a node does not use its own slots there either.
const OWN_SLOT_LIMIT: f64 = 1.15;
/// Gaps up to this length never count as a pause.
const MIN_PAUSE: Duration = Duration::from_millis(120);

/// An upstream that may run a request.
#[derive(Clone, Debug)]
pub struct PlacementTarget {
    /// Record of the upstream.
    pub record: Arc<UpstreamRecord>,
    /// Number of slots divided by the slowdown: as many slots at normal speed do the same work.
    pub slots: f64,
    /// Number of slots of the upstream that belong to this node; `None` if the slots are not divided
    /// among the nodes.
    pub owned_slots: Option<u32>,
}

impl PlacementTarget {
    /// Creates a target of normal speed with the slots of its record.
    pub fn new(record: Arc<UpstreamRecord>) -> Self {
        let slots = f64::from(record.slots.max(1));
        Self { record, slots, owned_slots: None }
    }

    /// Factor on the normal processing time of a request.
    pub fn slowdown(&self) -> f64 {
        f64::from(self.record.slots.max(1)) / self.slots
    }

    /// Sets the number of slots that belong to this node.
    pub fn with_owned_slots(mut self, slots: u32) -> Self {
        self.owned_slots = Some(slots);
        self
    }

    /// Multiplies the slowdown by `factor`; factors below 1 have no effect.
    pub fn with_slowdown(mut self, factor: f64) -> Self {
        self.slots /= factor.max(1.0);
        self
    }
}

/// Constraints of a request on its placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementConstraints<'a> {
    /// Upstreams that this request must not be sent to again.
    pub excluded: &'a [UpstreamId],
    /// Maximum number of requests per slot at an upstream, over all nodes.
    pub max_per_slot: f64,
    /// Queue of the request. The nodes share the free slots of its upstreams.
    pub queue: &'a QueueId,
    /// Requests of the queue that wait at this node, including this one.
    pub waiting: u32,
    /// Whether the request may use the slots that belong to this node whatever the counts of the
    /// others say: it can still be in time, or an earlier attempt may have run.
    pub is_on_time: bool,
}

/// Use of the slots that are divided among the nodes, as far as this node knows, summed over upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotUse {
    /// Slots of this node.
    pub owned: u32,
    /// Slots of this node that its own requests use.
    pub own_in_use: u32,
    /// Requests of this node, including those in slots of others.
    pub own_requests: u32,
    /// Requests that this node may still send to slots of others.
    pub allowance: f64,
    /// Requests of other nodes that need slots beyond those of their nodes.
    pub others_need: u32,
    /// Requests of all nodes.
    pub known: u32,
    /// Slots at normal speed.
    pub slots: f64,
    /// Time since the last message with counts; `None` before the first.
    pub counts_age: Option<Duration>,
}

/// Why no upstream was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementRefusal {
    /// No upstream accepts requests, apart from those that the request excludes.
    NoneServing,
    /// Every upstream that the request may be sent to is full.
    AllFull,
}

/// What this node knows of its own requests at one upstream.
#[derive(Clone, Debug, Default)]
struct UpstreamLoad {
    /// Number of requests of this node at the upstream.
    own_requests: u32,
    /// Number of requests of this node whose response has begun.
    responding: u32,
    /// Exponential moving average of the outcomes: 0 if all succeeded, 1 if all failed.
    failure_rate: f64,
    /// When the failure rate was last updated.
    failure_rate_at: Option<Instant>,
    /// Until then, the upstream is selected only if there is no other.
    avoid_until: Option<Instant>,
    /// Until then, the upstream is not selected, and afterwards for one request at a time. `None` once
    /// a response has begun or was complete.
    refused_until: Option<Instant>,
    /// When the upstream last sent data to this node, or when this node started a request while it
    /// had no other at the upstream, whichever was later.
    last_progress: Option<Instant>,
    /// Longest recent time between two pieces of data: the gap of each new piece, or the earlier
    /// value reduced by [`GAP_DECAY`] if that is longer.
    peak_gap: Duration,
}

impl UpstreamLoad {
    /// The failure rate at `now`. It decays with time, because an upstream that gets no requests
    /// cannot improve it.
    fn decayed_failure_rate(&self, now: Instant) -> f64 {
        let Some(at) = self.failure_rate_at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let rate = self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64());
        if rate < MIN_FAILURE_RATE { 0.0 } else { rate }
    }

    /// Factor on the share of an upstream: below 1 if it is failing or paused.
    fn health(&self, now: Instant) -> f64 {
        let pause_factor = if self.is_paused(now) { PAUSED_FACTOR } else { 1.0 };
        (1.0 - self.decayed_failure_rate(now)).max(MIN_HEALTH_FACTOR) * pause_factor
    }

    /// Whether the upstream has sent no data for any running response for longer than
    /// [`PAUSED_GAP_FACTOR`] times its peak gap and longer than [`MIN_PAUSE`].
    fn is_paused(&self, now: Instant) -> bool {
        let limit = self.peak_gap.mul_f64(PAUSED_GAP_FACTOR).max(MIN_PAUSE);
        let is_late = |at: Instant| now.saturating_duration_since(at) > limit;
        self.responding > 0 && self.last_progress.is_some_and(is_late)
    }
}

/// Tracks the requests at each upstream, as far as this node knows them, and selects upstreams for
/// new requests.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    loads: HashMap<UpstreamId, UpstreamLoad>,
    /// Requests of other nodes.
    others: CountTracker<UpstreamId>,
    /// Requests of other nodes that need slots beyond those of their nodes.
    needs: CountTracker<QueueId>,
    /// Position of this node among all nodes; `None` until it is known.
    position: Option<NodePosition>,
    /// Use of slots of other nodes, by queue.
    borrowings: HashMap<QueueId, SlotBorrowing>,
}

impl LoadTracker {
    /// Creates a tracker without any requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that this node sends.
    pub fn start_request(&mut self, upstream: &UpstreamId, now: Instant) {
        let load = self.loads.entry(upstream.clone()).or_default();
        if load.own_requests == 0 {
            load.last_progress = Some(now);
        }
        load.own_requests += 1;
    }

    /// Records that the response to one of this node's requests has begun.
    pub fn record_response_start(&mut self, upstream: &UpstreamId) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.responding += 1;
            load.refused_until = None;
        }
    }

    /// Counts the end of a request of this node. `is_responding` is whether its response had begun.
    pub fn end_request(&mut self, upstream: &UpstreamId, is_responding: bool) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.own_requests = load.own_requests.saturating_sub(1);
            load.responding = load.responding.saturating_sub(u32::from(is_responding));
        }
    }

    /// Restarts the measurement of silence at `now`, for use after a stall of this process, in
    /// which it could not read any data.
    pub fn reset_progress_times(&mut self, now: Instant) {
        for load in self.loads.values_mut() {
            load.last_progress = load.last_progress.map(|_| now);
        }
    }

    /// Records that an upstream has sent data.
    pub fn record_progress(&mut self, upstream: &UpstreamId, now: Instant) {
        let Some(load) = self.loads.get_mut(upstream) else { return };
        let gap = load.last_progress.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        load.peak_gap = gap.min(MAX_PEAK_GAP).max(load.peak_gap.mul_f64(GAP_DECAY));
        load.last_progress = Some(now);
    }

    /// Longest recent time between two pieces of data from an upstream.
    pub fn peak_gap(&self, upstream: &str) -> Duration {
        self.loads.get(upstream).map_or(Duration::ZERO, |load| load.peak_gap)
    }

    /// Time since an upstream last sent data to this node. If later, the start of the request that
    /// ended its idleness counts instead. `None` if no response to this node is running there.
    pub fn silence(&self, upstream: &str, now: Instant) -> Option<Duration> {
        let load = self.loads.get(upstream).filter(|load| load.responding > 0)?;
        load.last_progress.map(|at| now.saturating_duration_since(at))
    }

    /// Records how a response ended. `is_failure` is whether it failed by a fault of the upstream.
    pub fn record_outcome(&mut self, upstream: &UpstreamId, is_failure: bool, now: Instant) {
        let load = self.loads.entry(upstream.clone()).or_default();
        let outcome = f64::from(u8::from(is_failure));
        let earlier_rate = load.decayed_failure_rate(now);
        load.failure_rate = earlier_rate + (outcome - earlier_rate) * FAILURE_RATE_WEIGHT;
        load.failure_rate_at = Some(now);
        if !is_failure {
            load.refused_until = None;
        }
    }

    /// Marks an upstream to be selected only if there is no other, for one second.
    pub fn avoid(&mut self, upstream: &UpstreamId, now: Instant) {
        self.avoid_for(upstream, now, AVOID_PERIOD);
    }

    /// Marks an upstream to be selected only if there is no other, for `period`.
    pub fn avoid_for(&mut self, upstream: &UpstreamId, now: Instant, period: Duration) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.avoid_until = Some(now + period);
    }

    /// Records that the host of an upstream refused a connection: its process is not running. The
    /// upstream is not selected for half a second, even if there is no other, and then for one
    /// request at a time until a response begins.
    pub fn record_refused_connection(&mut self, upstream: &UpstreamId, now: Instant) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.refused_until = Some(now + REFUSED_PERIOD);
    }

    /// Replaces the numbers of requests in progress that a peer reported.
    pub fn set_peer_counts(
        &mut self,
        peer: &NodeId,
        scope: CountScope,
        counts: Vec<(UpstreamId, u32)>,
        now: Instant,
    ) {
        self.others.set(peer, scope, counts, now);
        if scope == CountScope::Fleet {
            let loads = &self.loads;
            let own =
                |upstream: &UpstreamId| loads.get(upstream).map_or(0, |load| load.own_requests);
            self.others.update_means(own, now);
        }
    }

    /// Sets the position of this node, from 0, in a list of all `node_count` nodes that has the same order at
    /// all of them.
    pub fn set_position(&mut self, index: usize, node_count: usize) {
        self.position = Some(NodePosition { index, node_count });
    }

    /// Number of requests in progress by upstream, for a message of the given scope. It leaves out the
    /// counts that `recipient` itself reported to this node; with `None`, if the recipient's id is
    /// not known, it includes the counts of all peers.
    pub fn counts_for(
        &self,
        scope: CountScope,
        recipient: Option<&NodeId>,
        now: Instant,
    ) -> Vec<(UpstreamId, u32)> {
        let own = self.loads.iter().map(|(upstream, load)| (upstream, load.own_requests));
        sum_counts(own, &self.others, scope, recipient, now)
    }

    /// Number of requests in progress of all nodes at an upstream.
    pub fn total_requests(&self, upstream: &str, now: Instant) -> u32 {
        let own = self.loads.get(upstream).map_or(0, |load| load.own_requests);
        own.saturating_add(self.others.total(upstream, now))
    }

    /// Number of requests in progress of all nodes at the heads of `replicas`.
    pub fn requests_at(&self, replicas: &[Replica], now: Instant) -> u32 {
        replicas.iter().map(|replica| self.total_requests(&replica.head.upstream, now)).sum()
    }

    /// Largest number of requests of all nodes at an upstream of `targets` relative to its slots, divided by
    /// the mean, as far as this node knows. `None` without requests.
    pub fn estimated_spread(&self, targets: &[PlacementTarget], now: Instant) -> Option<f64> {
        let requests =
            |target: &PlacementTarget| f64::from(self.total_requests(&target.record.upstream, now));
        let sum: f64 = targets.iter().map(requests).sum();
        let slots: f64 = targets.iter().map(|target| target.slots).sum();
        let highest =
            targets.iter().map(|target| requests(target) / target.slots).fold(0.0, f64::max);
        (sum > 0.0).then(|| highest * slots / sum)
    }

    /// Use of the slots of `targets`, the upstreams of `queue`, for logs.
    pub fn slot_use(&self, queue: &QueueId, targets: &[PlacementTarget], now: Instant) -> SlotUse {
        let counted_at = self.others.counted_at();
        let counts_age = counted_at.map(|at| now.saturating_duration_since(at));
        let borrowing = self.borrowings.get(queue);
        let allowance = borrowing.map_or(0.0, SlotBorrowing::slots_left);
        let others_need = self.needs.total(queue, now);
        let mut sum = SlotUse { counts_age, allowance, others_need, ..SlotUse::default() };
        for target in targets {
            let upstream = &target.record.upstream;
            let own_requests = self.loads.get(upstream).map_or(0, |load| load.own_requests);
            let owned = target.owned_slots.unwrap_or(0);
            sum.owned += owned;
            sum.own_in_use += owned.min(own_requests);
            sum.own_requests += own_requests;
            sum.known += self.total_requests(upstream, now);
            sum.slots += target.slots;
        }
        sum
    }

    /// Selects an upstream. In a small fleet this is at random, weighted by free capacity: the fullest
    /// upstreams get the fewest requests, and nodes with outdated counts do not all send to the same few
    /// upstreams. In a large fleet, whose counts pass hubs, a node that knows its position keeps its own requests
    /// level over the upstreams with free capacity instead.
    /// `draw` is a random number that is uniform in 0..1, and `candidates` have the same order at all nodes.
    ///
    /// # Errors
    ///
    /// [`PlacementRefusal`] if no candidate accepts the request.
    pub fn choose(
        &mut self,
        candidates: &[PlacementTarget],
        constraints: PlacementConstraints<'_>,
        draw: f64,
        now: Instant,
    ) -> Result<PlacementTarget, PlacementRefusal> {
        self.update_borrowing(candidates, constraints, now);
        let usable: Vec<_> = candidates
            .iter()
            .enumerate()
            .filter(|(_, target)| !constraints.excluded.contains(&target.record.upstream))
            .collect();
        if usable.is_empty() {
            return Err(PlacementRefusal::NoneServing);
        }
        let position = self.position.filter(|_| self.others.is_relayed(now));
        let mut weighted: Vec<_> = usable
            .into_iter()
            .map(|(index, target)| (index, target, self.weight(target, constraints, now)))
            .collect();
        if weighted.iter().all(|(.., weight)| *weight <= 0.0) {
            return Err(PlacementRefusal::AllFull);
        }
        // While any upstream has room, old counts that show others as full for a moment would make all nodes
        // leave these at once.
        let is_open = |target: &PlacementTarget, weight: f64| {
            let mean = self.others.mean(&target.record.upstream);
            let is_filling = mean > 0.0 && mean < constraints.max_per_slot * target.slots;
            weight > 0.0 || (weight < 0.0 && position.is_some() && is_filling)
        };
        weighted.retain(|(_, target, weight)| is_open(target, *weight));
        if weighted.iter().any(|(_, target, _)| !self.is_avoided(target, now)) {
            weighted.retain(|(_, target, _)| !self.is_avoided(target, now));
        }
        let has_own_slot = weighted.iter().any(|(_, target, _)| self.has_own_slot(target));
        if has_own_slot {
            weighted.retain(|(_, target, _)| self.has_own_slot(target));
        }
        let chosen = match position {
            Some(position) => {
                let levels: Vec<_> = weighted
                    .iter()
                    .map(|(index, target, _)| self.level_candidate(*index, target, now))
                    .collect();
                let lowest = lowest_level(&levels, candidates.len(), position);
                lowest.map(|lowest| weighted[lowest].1)
            }
            None => {
                let sum: f64 = weighted.iter().map(|(.., weight)| weight).sum();
                let mut position = draw * sum;
                let drawn = weighted.iter().find(|(.., weight)| {
                    position -= weight;
                    position < 0.0
                });
                // Because of rounding the position can be past the last target.
                drawn.or(weighted.last()).map(|(_, target, _)| *target)
            }
        };
        let chosen = chosen.cloned().ok_or(PlacementRefusal::AllFull)?;
        match self.borrowings.get_mut(constraints.queue) {
            // A request in a slot of its own node needs none of another one.
            Some(borrowing) if has_own_slot => borrowing.remove_waiting(),
            _ => {}
        }
        Ok(chosen)
    }

    /// Records that a request of the queue is sent to a slot of another node.
    pub fn record_borrowed(&mut self, queue: &QueueId) {
        if let Some(borrowing) = self.borrowings.get_mut(queue) {
            borrowing.take();
        }
    }

    /// Updates how many slots of other nodes this node may use for requests of the queue.
    fn update_borrowing(
        &mut self,
        candidates: &[PlacementTarget],
        constraints: PlacementConstraints<'_>,
        now: Instant,
    ) {
        let Some(NodePosition { index, .. }) = self.position else { return };
        let PlacementConstraints { queue, waiting, max_per_slot, .. } = constraints;
        let room = self.shared_room(queue, candidates, max_per_slot, now);
        let counted_at = self.others.counted_at();
        let borrowing = self.borrowings.entry(queue.clone());
        let first = fraction_of(index as u64);
        let borrowing = borrowing.or_insert_with(|| SlotBorrowing::new(first));
        borrowing.update(waiting, room, counted_at, now);
    }

    /// Free slots of a queue's upstreams, and how many other nodes need.
    fn shared_room(
        &self,
        queue: &QueueId,
        targets: &[PlacementTarget],
        max_per_slot: f64,
        now: Instant,
    ) -> SharedRoom {
        let free = targets.iter().map(|target| {
            let total = f64::from(self.total_requests(&target.record.upstream, now));
            (max_per_slot * target.slots - total).max(0.0)
        });
        SharedRoom {
            slots: free.sum(),
            limit: targets.iter().map(|target| max_per_slot * target.slots).sum(),
            others_need: self.needs.total(queue, now),
        }
    }

    /// Replaces the numbers of requests that a peer reports as in need of slots beyond those of their nodes.
    pub fn set_peer_needs(
        &mut self,
        peer: &NodeId,
        scope: CountScope,
        needs: Vec<(QueueId, u32)>,
        now: Instant,
    ) {
        self.needs.set(peer, scope, needs, now);
    }

    /// Number of requests by queue that need slots beyond those of their nodes, for a message of the given
    /// scope, as [`Self::counts_for`].
    pub fn needs_for(
        &self,
        scope: CountScope,
        recipient: Option<&NodeId>,
        now: Instant,
    ) -> Vec<(QueueId, u32)> {
        let own =
            self.borrowings.iter().map(|(queue, borrowing)| (queue, borrowing.reported_need(now)));
        sum_counts(own, &self.needs, scope, recipient, now)
    }

    /// What decides the level of a target.
    fn level_candidate(
        &self,
        index: usize,
        target: &PlacementTarget,
        now: Instant,
    ) -> LevelCandidate {
        let upstream = &target.record.upstream;
        let load = self.loads.get(upstream);
        LevelCandidate {
            slots: target.slots,
            own_requests: load.map_or(0.0, |load| f64::from(load.own_requests)),
            mean_count: self.others.mean(upstream),
            health: load.map_or(1.0, |load| load.health(now)),
            index,
        }
    }

    /// Keeps the upstreams for which `is_known` is true and those with requests of this node, and
    /// removes all others.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.loads.retain(|upstream, load| load.own_requests > 0 || is_known(upstream));
    }

    /// Free capacity of a target in requests, multiplied by a factor below 1 if the target is failing
    /// or paused; 0 for a target whose host refused a connection shortly before or is being tried
    /// again.
    fn weight(
        &self,
        target: &PlacementTarget,
        constraints: PlacementConstraints<'_>,
        now: Instant,
    ) -> f64 {
        let capacity = self.free_capacity(target, constraints, now);
        let Some(load) = self.loads.get(&target.record.upstream) else { return capacity };
        if load.refused_until.is_some_and(|until| now < until || load.own_requests > 0) {
            return 0.0;
        }
        capacity * load.health(now)
    }

    /// Free capacity of a target in requests. A slot of this node is free for a request that is on time
    /// until this node uses it, as long as the target is not far over its limit. Otherwise the counts
    /// have to show room, and slots of other nodes are used only as far as this node's allowance goes.
    fn free_capacity(
        &self,
        target: &PlacementTarget,
        constraints: PlacementConstraints<'_>,
        now: Instant,
    ) -> f64 {
        let upstream = &target.record.upstream;
        let total = f64::from(self.total_requests(upstream, now));
        let limit = constraints.max_per_slot * target.slots;
        if target.owned_slots.is_none() {
            return limit - total;
        }
        let borrowing = self.borrowings.get(constraints.queue);
        let is_free = match (self.has_own_slot(target), constraints.is_on_time) {
            (true, true) => total < OWN_SLOT_LIMIT * limit,
            (true, false) => total < limit,
            (false, _) => total < limit && borrowing.is_some_and(SlotBorrowing::has_slot),
        };
        if is_free { (limit - total).max(1.0) } else { 0.0 }
    }

    /// Whether a slot of the target that belongs to this node is unused.
    pub fn has_own_slot(&self, target: &PlacementTarget) -> bool {
        let own = self.loads.get(&target.record.upstream).map_or(0, |load| load.own_requests);
        target.owned_slots.is_none_or(|owned| own < owned)
    }

    /// Whether a target is selected only if there is no other.
    fn is_avoided(&self, target: &PlacementTarget, now: Instant) -> bool {
        let load = self.loads.get(&target.record.upstream);
        load.and_then(|load| load.avoid_until).is_some_and(|until| now < until)
    }
}

/// Sums of a node's own counts and those that others reported to it, for a message of the given scope to
/// `recipient`. Without the counts that the recipient itself reported.
fn sum_counts<'a, K: Clone + Eq + Hash + 'a>(
    own: impl Iterator<Item = (&'a K, u32)>,
    others: &CountTracker<K>,
    scope: CountScope,
    recipient: Option<&NodeId>,
    now: Instant,
) -> Vec<(K, u32)> {
    let is_included = |node: &NodeId, reported_scope: CountScope| match scope {
        CountScope::Node => false,
        CountScope::Hub => reported_scope == CountScope::Node && Some(node) != recipient,
        CountScope::Fleet => Some(node) != recipient,
    };
    let own = own.filter(|(_, count)| *count > 0);
    let mut counts: HashMap<K, u32> = own.map(|(key, count)| (key.clone(), count)).collect();
    for (key, count) in others.collect(is_included, now) {
        let sum = counts.entry(key.clone()).or_default();
        *sum = sum.saturating_add(*count);
    }
    counts.into_iter().collect()
}
