//! Choice of the upstream that runs a request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{NodeId, UpstreamId};

use crate::counts::{CountBook, CountSource};
use crate::fleet::UpstreamRecord;

/// Time in which an upstream that failed is used only when no other is left.
const AVOID_TIME: Duration = Duration::from_millis(1_000);
/// Weight of the newest answer in the moving failure share.
const FAILURE_WEIGHT: f64 = 0.15;
/// Part of the usual gap that is kept at each sign of life.
const GAP_DECAY: f64 = 0.97;
/// A longer gap is a standstill, not the pace of an upstream.
const MAX_USUAL_GAP: Duration = Duration::from_millis(400);
/// Time in which half of the failures of an upstream are forgotten.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// A failure share below this one counts as none.
const FORGOTTEN_SHARE: f64 = 0.03;
/// Weight that an upstream whose answers all failed keeps, so that its recovery shows.
const MIN_HEALTH: f64 = 0.02;
/// Weight of an upstream whose streams pause for longer than usual: it may have lost a member.
const HESITANT_WEIGHT: f64 = 0.05;
/// Times the usual gap between two signs of life after which an upstream pauses.
const HESITANT_GAPS: f64 = 1.5;
/// Shorter pauses are usual.
const MIN_HESITATION: Duration = Duration::from_millis(120);

/// An upstream that may run a request.
#[derive(Clone, Debug)]
pub struct PlacementTarget {
    /// Upstream.
    pub record: Arc<UpstreamRecord>,
    /// Requests that it runs at once, in terms of an upstream of usual speed.
    pub slots: f64,
}

impl PlacementTarget {
    /// A target with the slots that its record names.
    pub fn new(record: Arc<UpstreamRecord>) -> Self {
        let slots = f64::from(record.slots.max(1));
        Self { record, slots }
    }

    /// How many times as long as usual it takes.
    pub fn slowness(&self) -> f64 {
        f64::from(self.record.slots.max(1)) / self.slots
    }

    /// A target that takes `factor` times as long as usual.
    pub fn with_slowness(mut self, factor: f64) -> Self {
        self.slots /= factor.max(1.0);
        self
    }
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct PlacementNeed<'a> {
    /// Upstreams that this request must not go to again.
    pub excluded: &'a [UpstreamId],
    /// Most requests per slot at an upstream, over all nodes.
    pub max_per_slot: f64,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementRefusal {
    /// No upstream takes requests.
    NoneServing,
    /// Every upstream that may be used is full.
    AllFull,
}

#[derive(Clone, Debug, Default)]
struct UpstreamLoad {
    own: u32,
    /// Requests of this node whose answer has begun.
    writing: u32,
    failure_share: f64,
    /// When the failure share was last updated.
    failure_at: Option<Instant>,
    avoid_until: Option<Instant>,
    /// Last sign of life while requests ran there.
    last_progress: Option<Instant>,
    /// Longest lately seen time between two signs of life.
    usual_gap: Duration,
}

impl UpstreamLoad {
    /// Share of failures. It is forgotten with time, as an upstream that gets no requests can show
    /// no better.
    fn failures(&self, now: Instant) -> f64 {
        let Some(at) = self.failure_at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let share = self.failure_share * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64());
        if share < FORGOTTEN_SHARE { 0.0 } else { share }
    }

    /// Whether its streams pause for longer than usual.
    fn is_hesitant(&self, now: Instant) -> bool {
        let limit = self.usual_gap.mul_f64(HESITANT_GAPS).max(MIN_HESITATION);
        let is_late = |at: Instant| now.saturating_duration_since(at) > limit;
        self.writing > 0 && self.last_progress.is_some_and(is_late)
    }
}

/// Requests at each upstream, as far as this node knows.
#[derive(Clone, Debug, Default)]
pub struct LoadBook {
    loads: HashMap<UpstreamId, UpstreamLoad>,
    /// Requests of other nodes.
    others: CountBook,
}

impl LoadBook {
    /// Knows of no requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that this node sends.
    pub fn start(&mut self, upstream: &UpstreamId, now: Instant) {
        let load = self.loads.entry(upstream.clone()).or_default();
        if load.own == 0 {
            load.last_progress = Some(now);
        }
        load.own += 1;
    }

    /// Notes that the answer to one of the requests has begun.
    pub fn start_writing(&mut self, upstream: &UpstreamId) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.writing += 1;
        }
    }

    /// Counts the end of a request of this node, whose answer had begun if `is_writing`.
    pub fn end(&mut self, upstream: &UpstreamId, is_writing: bool) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.own = load.own.saturating_sub(1);
            load.writing = load.writing.saturating_sub(u32::from(is_writing));
        }
    }

    /// Counts no silence up to `now`: this process stood still and could read nothing.
    pub fn forgive_silence(&mut self, now: Instant) {
        for load in self.loads.values_mut() {
            load.last_progress = load.last_progress.map(|_| now);
        }
    }

    /// Notes that bytes came from an upstream.
    pub fn note_progress(&mut self, upstream: &UpstreamId, now: Instant) {
        let Some(load) = self.loads.get_mut(upstream) else { return };
        let gap = load.last_progress.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        load.usual_gap = gap.min(MAX_USUAL_GAP).max(load.usual_gap.mul_f64(GAP_DECAY));
        load.last_progress = Some(now);
    }

    /// Longest lately seen time between two signs of life of an upstream.
    pub fn usual_gap(&self, upstream: &str) -> Duration {
        self.loads.get(upstream).map_or(Duration::ZERO, |load| load.usual_gap)
    }

    /// Time since an upstream that writes answers to this node last sent anything.
    pub fn silence(&self, upstream: &str, now: Instant) -> Option<Duration> {
        let load = self.loads.get(upstream).filter(|load| load.writing > 0)?;
        load.last_progress.map(|at| now.saturating_duration_since(at))
    }

    /// Notes how an answer ended, and whether the upstream was at fault.
    pub fn note_outcome(&mut self, upstream: &UpstreamId, is_failure: bool, now: Instant) {
        let load = self.loads.entry(upstream.clone()).or_default();
        let outcome = f64::from(u8::from(is_failure));
        let known = load.failures(now);
        load.failure_share = known + (outcome - known) * FAILURE_WEIGHT;
        load.failure_at = Some(now);
    }

    /// Uses the upstream only when no other is left, for a while.
    pub fn avoid(&mut self, upstream: &UpstreamId, now: Instant) {
        self.avoid_for(upstream, now, AVOID_TIME);
    }

    /// Uses the upstream only when no other is left, for `time`.
    pub fn avoid_for(&mut self, upstream: &UpstreamId, now: Instant, time: Duration) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.avoid_until = Some(now + time);
    }

    /// Takes over a peer's counts, which replace its earlier ones.
    pub fn set_peer(
        &mut self,
        peer: &NodeId,
        source: CountSource,
        counts: Vec<(UpstreamId, u32)>,
        now: Instant,
    ) {
        self.others.set(peer, source, counts, now);
    }

    /// Requests by upstream as they are told to `recipient`, if it is known, in a message that
    /// counts those of `source`.
    pub fn counts_for(
        &self,
        source: CountSource,
        recipient: Option<&NodeId>,
        now: Instant,
    ) -> Vec<(UpstreamId, u32)> {
        let is_told = |node: &NodeId, known: CountSource| match source {
            CountSource::Node => false,
            CountSource::Hub => known == CountSource::Node,
            CountSource::Fleet => Some(node) != recipient,
        };
        let own = self.loads.iter().filter(|(_, load)| load.own > 0);
        let mut counts: HashMap<UpstreamId, u32> =
            own.map(|(upstream, load)| (upstream.clone(), load.own)).collect();
        for (upstream, count) in self.others.collect(is_told, now) {
            *counts.entry(upstream.clone()).or_default() += count;
        }
        counts.into_iter().collect()
    }

    /// Requests at an upstream from all nodes.
    pub fn total(&self, upstream: &str, now: Instant) -> u32 {
        let own = self.loads.get(upstream).map_or(0, |load| load.own);
        own + self.others.total(upstream, now)
    }

    /// An upstream with room, drawn by its room: the fullest ones get the fewest requests, and nodes
    /// whose counts are late do not all send to the same few. `draw` is uniform in 0..1.
    ///
    /// # Errors
    ///
    /// See [`PlacementRefusal`].
    pub fn choose(
        &self,
        candidates: &[PlacementTarget],
        need: PlacementNeed<'_>,
        draw: f64,
        now: Instant,
    ) -> Result<PlacementTarget, PlacementRefusal> {
        let usable: Vec<_> = candidates
            .iter()
            .filter(|target| !need.excluded.contains(&target.record.upstream))
            .collect();
        if usable.is_empty() {
            return Err(PlacementRefusal::NoneServing);
        }
        let mut weighted: Vec<_> = usable
            .into_iter()
            .map(|target| (target, self.weight(target, need.max_per_slot, now)))
            .filter(|(_, weight)| *weight > 0.0)
            .collect();
        if weighted.iter().any(|(target, _)| !self.is_avoided(target, now)) {
            weighted.retain(|(target, _)| !self.is_avoided(target, now));
        }
        let sum: f64 = weighted.iter().map(|(_, weight)| weight).sum();
        let mut position = draw * sum;
        let drawn = weighted.iter().find(|(_, weight)| {
            position -= weight;
            position < 0.0
        });
        // Rounding can leave a rest behind the last one.
        let drawn = drawn.or(weighted.last());
        drawn.map(|(target, _)| (*target).clone()).ok_or(PlacementRefusal::AllFull)
    }

    /// Forgets upstreams without requests that `is_known` does not know.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.loads.retain(|upstream, load| load.own > 0 || is_known(upstream));
    }

    /// Room of a target, less what speaks against it.
    fn weight(&self, target: &PlacementTarget, max_per_slot: f64, now: Instant) -> f64 {
        let upstream = &target.record.upstream;
        let room = max_per_slot * target.slots - f64::from(self.total(upstream, now));
        let Some(load) = self.loads.get(upstream) else { return room };
        let hesitant = if load.is_hesitant(now) { HESITANT_WEIGHT } else { 1.0 };
        room * (1.0 - load.failures(now)).max(MIN_HEALTH) * hesitant
    }

    /// Whether a target is used only when no other is left.
    fn is_avoided(&self, target: &PlacementTarget, now: Instant) -> bool {
        let load = self.loads.get(&target.record.upstream);
        load.and_then(|load| load.avoid_until).is_some_and(|until| now < until)
    }
}
