//! Rate limits that upstreams name in their responses, for the requests of all nodes together.
//!
//! A limit holds for one process of an upstream, until a response of it names none. Nodes tell each other
//! what they heard, and keep to a limit without asking: it is divided equally among a few nodes that all
//! select alike. A node with a share may save up one request, so that the number of these nodes is
//! limited by what the upstream tolerates beyond its limit.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eelgrassdeal_types::UpstreamId;

use crate::directory::NodeDirectory;
use crate::fleet::{UpstreamProcess, UpstreamRecord};
use crate::limit::TokenBucket;

/// Any period of this length may have [`TOLERATED_FACTOR`] times the requests that the limit allows, and
/// [`TOLERATED_SLACK`] more.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const TOLERATED_FACTOR: f64 = 1.5;
const TOLERATED_SLACK: f64 = 5.0;
/// Fraction of the tolerated excess that the nodes use. The rest is a reserve for nodes that do not know
/// of each other, and for requests that are held up on their way.
const USED_FRACTION: f64 = 0.6;
/// Requests per second that are sent under any lower limit, 0 included, to learn that it has ended.
const MIN_RATE: f64 = 0.25;
/// Period whose share a node may save up, if that is more than one request.
const MAX_SAVED_PERIOD: Duration = Duration::from_millis(250);
/// Time without a response of the upstream, to any node, after which twice as many nodes may send: those
/// with a share may have no requests for it, or may be lost.
const NEWS_TIMEOUT: Duration = Duration::from_secs(6);
/// Time without a response after which a limit is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Time after the end of a limit in which the upstream gets [`RETURN_PER_SLOT`] requests per second and
/// slot at most.
const RETURN_PERIOD: Duration = Duration::from_secs(1);
const RETURN_PER_SLOT: f64 = 1.0;
/// Age of a response from which on other nodes are not told of it.
const HINT_LIFETIME: Duration = Duration::from_secs(10);
/// Time by which a hint must be newer than a response of this node that it contradicts, as its age does
/// not include the time on the way.
const HINT_MARGIN: Duration = Duration::from_millis(250);
/// Time for which a change is told in every message.
const NEWS_PERIOD: Duration = Duration::from_secs(2);
/// Maximum number of hints in a message to another node.
const MAX_HINTS: usize = 512;
/// Maximum number of limits. The one that was heard of longest ago is dropped for a new one.
const MAX_LIMITS: usize = 1_024;
/// Time for which a node's rank for an upstream is used.
const RANK_LIFETIME: Duration = Duration::from_millis(500);
/// Fraction by which a limit must change to be reported again.
const REPORTED_CHANGE: f64 = 0.1;

/// What this node learned of the rate limit of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitChange {
    /// Nothing that is worth a report.
    Unchanged,
    /// The upstream named a limit, or one that differs by a tenth or more.
    Named,
    /// The upstream takes requests at any rate again.
    Ended(EndedLimit),
}

/// A rate limit that no longer holds.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedLimit {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Time for which this node knew of the limit.
    pub held_for: Duration,
    /// Requests that this node sent to the upstream in that time.
    pub sends: SendCount,
    /// What ended it.
    pub reason: &'static str,
}

/// Number of requests that were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCount {
    /// All requests.
    pub total: u32,
    /// Those that an upstream had been sent before.
    pub repeats: u32,
}

/// What an upstream said about its rate limit, as nodes tell each other.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitHint {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Start time of the process ([`UpstreamRecord::start_time_ms`]).
    pub start_time_ms: u64,
    /// Requests per second from all nodes together; `None` if the process no longer has a limit.
    pub per_s: Option<f64>,
    /// Time since the response arrived.
    pub age: Duration,
}

/// When this node may send the next requests to upstreams that all have a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitForecast {
    /// Time until the next request; `None` if this node has no share of any of the limits.
    next: Option<Duration>,
    /// Requests that may be sent now.
    saved: f64,
    /// Requests per second of this node.
    own_rate: f64,
    /// Requests per second of all nodes together.
    rate: f64,
}

impl LimitForecast {
    /// Time until a request may be sent that `before` others precede at this node; `None` if this node
    /// may send none.
    pub fn wait(&self, before: usize) -> Option<Duration> {
        let next = self.next?;
        let missing = (before as f64 + 1.0 - self.saved).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / self.own_rate).unwrap_or(Duration::MAX);
        Some(wait.max(next))
    }

    /// Mean time between two requests of all nodes.
    pub fn interval(&self) -> Duration {
        Duration::try_from_secs_f64(1.0 / self.rate).unwrap_or(Duration::MAX)
    }
}

/// How the nodes divide a limit.
#[derive(Clone, Copy, Debug)]
struct LimitDivision {
    /// Requests per second of all nodes together.
    rate: f64,
    /// Number of nodes with a share.
    senders: usize,
    /// Requests that a node with a share may save up.
    capacity: f64,
}

impl LimitDivision {
    fn new(rate: f64, nodes: usize) -> Self {
        let window = LIMIT_WINDOW.as_secs_f64();
        let excess = rate * window * (TOLERATED_FACTOR - 1.0) + TOLERATED_SLACK;
        let usable = excess * USED_FRACTION;
        let rate = rate.max(MIN_RATE);
        // A share is at least one request in a window, so that a limit that ends is soon noticed.
        let senders = (usable.min(rate * window) as usize).clamp(1, nodes.max(1));
        let saved = rate / senders as f64 * MAX_SAVED_PERIOD.as_secs_f64();
        let capacity = saved.min(usable / senders as f64).max(1.0);
        Self { rate, senders, capacity }
    }

    /// Requests per second of a node with a share.
    fn sender_rate(&self) -> f64 {
        self.rate / self.senders as f64
    }
}

/// Position of this node among those that select themselves for an upstream.
#[derive(Clone, Copy, Debug)]
struct SenderRank {
    rank: usize,
    nodes: usize,
    at: Instant,
}

#[derive(Clone, Debug)]
struct LimitEntry {
    process: UpstreamProcess,
    /// Requests per second; `None` if the limit has ended.
    per_s: Option<f64>,
    /// Limit that was last reported.
    reported: f64,
    /// When the newest response that this node knows of arrived at a node.
    heard_at: Instant,
    /// When this node learned that there is a limit.
    since: Instant,
    /// When this node learned of the last change.
    changed_at: Instant,
    share: TokenBucket,
    rank: Option<SenderRank>,
    sends: SendCount,
}

impl LimitEntry {
    fn new(record: &UpstreamRecord, per_s: f64, heard_at: Instant, now: Instant) -> Self {
        Self {
            process: UpstreamProcess::of_record(record),
            per_s: Some(per_s),
            reported: per_s,
            heard_at,
            since: now,
            changed_at: now,
            share: TokenBucket::new(now, 0.0),
            rank: None,
            sends: SendCount::default(),
        }
    }

    /// Requests per second that all nodes together may send to the upstream of `record`; `None` if any
    /// number.
    fn rate(&self, record: &UpstreamRecord, now: Instant) -> Option<f64> {
        let is_returning = now.saturating_duration_since(self.changed_at) < RETURN_PERIOD;
        let return_rate = RETURN_PER_SLOT * f64::from(record.slots.max(1));
        self.per_s.or(is_returning.then_some(return_rate))
    }

    fn sender_rank(
        &mut self,
        upstream: &str,
        directory: &NodeDirectory,
        now: Instant,
    ) -> SenderRank {
        let is_current =
            |known: &SenderRank| now.saturating_duration_since(known.at) < RANK_LIFETIME;
        let known = self.rank.filter(is_current).unwrap_or_else(|| SenderRank {
            rank: directory.selection_rank(upstream, now),
            nodes: directory.sharing_node_count(now),
            at: now,
        });
        self.rank = Some(known);
        known
    }

    /// How the nodes divide the limit, and whether this node has a share; `None` if there is no limit.
    fn division(
        &mut self,
        record: &UpstreamRecord,
        directory: &NodeDirectory,
        now: Instant,
    ) -> Option<(LimitDivision, bool)> {
        let rate = self.rate(record, now)?;
        let own = self.sender_rank(&record.upstream, directory, now);
        let division = LimitDivision::new(rate, own.nodes);
        let silence = now.saturating_duration_since(self.heard_at);
        let doublings = (silence.as_secs() / NEWS_TIMEOUT.as_secs()).min(16);
        Some((division, own.rank < division.senders << doublings))
    }

    /// Requests that this node may send now; `None` if there is no limit.
    fn available(
        &mut self,
        record: &UpstreamRecord,
        directory: &NodeDirectory,
        now: Instant,
    ) -> Option<f64> {
        let (division, has_share) = self.division(record, directory, now)?;
        let saved = self.share.refill(now, division.sender_rate(), division.capacity);
        Some(if has_share { saved } else { 0.0 })
    }

    fn ended(&self, upstream: &UpstreamId, reason: &'static str, now: Instant) -> EndedLimit {
        let held_for = now.saturating_duration_since(self.since);
        EndedLimit { upstream: upstream.clone(), held_for, sends: self.sends, reason }
    }
}

/// Tracks the rate limits that upstreams name, and this node's shares of them.
#[derive(Clone, Debug, Default)]
pub struct LimitTracker {
    entries: HashMap<UpstreamId, LimitEntry>,
}

impl LimitTracker {
    /// Creates a tracker without limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a response of the process of `record` that names `per_s` requests per second, or no
    /// limit.
    pub fn record_response(
        &mut self,
        record: &UpstreamRecord,
        per_s: Option<f64>,
        now: Instant,
    ) -> LimitChange {
        self.learn(record, per_s, now, now, "a response without it")
    }

    /// Adopts what another node heard of the process of `record`. A hint about another process than the
    /// one this node knows is ignored, and so is one that is older than what this node knows.
    pub fn adopt_hint(
        &mut self,
        record: &UpstreamRecord,
        hint: &LimitHint,
        now: Instant,
    ) -> LimitChange {
        let is_same = hint.start_time_ms != 0 && hint.start_time_ms == record.start_time_ms;
        let is_sound = hint.per_s.is_none_or(|per_s| per_s.is_finite() && per_s >= 0.0);
        if !is_same || !is_sound || hint.age >= HINT_LIFETIME {
            return LimitChange::Unchanged;
        }
        let heard_at = now.checked_sub(hint.age).unwrap_or(now);
        let known = self.entries.get(&record.upstream);
        let is_newer = match known.filter(|entry| entry.process.has_written(record)) {
            Some(entry) if entry.per_s == hint.per_s => heard_at > entry.heard_at,
            Some(entry) => heard_at > entry.heard_at + HINT_MARGIN,
            None => true,
        };
        match is_newer {
            true => self.learn(record, hint.per_s, heard_at, now, "another node"),
            false => LimitChange::Unchanged,
        }
    }

    /// Hints for other nodes, the newest first: all of them, or those that are new to this node.
    pub fn hints(&self, is_full: bool, now: Instant) -> Vec<LimitHint> {
        let hint = |(upstream, entry): (&UpstreamId, &LimitEntry)| {
            let age = now.saturating_duration_since(entry.heard_at);
            let is_new = now.saturating_duration_since(entry.changed_at) < NEWS_PERIOD;
            let start_time_ms = entry.process.start_time_ms;
            let is_told = start_time_ms != 0 && age < HINT_LIFETIME && (is_full || is_new);
            let (upstream, per_s) = (upstream.clone(), entry.per_s);
            is_told.then_some(LimitHint { upstream, start_time_ms, per_s, age })
        };
        let mut hints: Vec<_> = self.entries.iter().filter_map(hint).collect();
        hints.sort_unstable_by_key(|hint| hint.age);
        hints.truncate(MAX_HINTS);
        hints
    }

    /// Whether this node may send a request to the process of `record` now.
    pub fn may_send(
        &mut self,
        record: &UpstreamRecord,
        directory: &NodeDirectory,
        now: Instant,
    ) -> bool {
        let entry = self.entry(record);
        let available = entry.and_then(|entry| entry.available(record, directory, now));
        available.is_none_or(|available| available >= 1.0)
    }

    /// Whether the process of `record` has named a limit that still holds.
    pub fn is_limited(&self, record: &UpstreamRecord) -> bool {
        let entry = self.entries.get(&record.upstream);
        entry.is_some_and(|entry| entry.process.has_written(record))
    }

    /// Takes one request of this node's share, after [`Self::may_send`].
    pub fn take(&mut self, record: &UpstreamRecord) {
        if let Some(entry) = self.entry(record) {
            entry.share.take();
        }
    }

    /// Gives back a request that was taken and not sent.
    pub fn give_back(&mut self, record: &UpstreamRecord) {
        if let Some(entry) = self.entry(record) {
            entry.share.give_back();
        }
    }

    /// Records that a request was sent to the process of `record`.
    pub fn record_send(&mut self, record: &UpstreamRecord, is_repeat: bool) {
        if let Some(entry) = self.entry(record) {
            entry.sends.total += 1;
            entry.sends.repeats += u32::from(is_repeat);
        }
    }

    /// When this node may send the next requests to `records`; `None` if one of them has no limit, or
    /// there are none.
    pub fn forecast<'a>(
        &mut self,
        records: impl IntoIterator<Item = &'a UpstreamRecord>,
        directory: &NodeDirectory,
        now: Instant,
    ) -> Option<LimitForecast> {
        let mut forecast = LimitForecast { next: None, saved: 0.0, own_rate: 0.0, rate: 0.0 };
        for record in records {
            let entry = self.entry(record)?;
            let (division, has_share) = entry.division(record, directory, now)?;
            forecast.rate += division.rate;
            if !has_share {
                continue;
            }
            let own_rate = division.sender_rate();
            let saved = entry.share.refill(now, own_rate, division.capacity);
            let next = Duration::from_secs_f64((1.0 - saved).max(0.0) / own_rate);
            forecast.next = Some(forecast.next.map_or(next, |known| known.min(next)));
            forecast.saved += saved.floor();
            forecast.own_rate += own_rate;
        }
        (forecast.rate > 0.0).then_some(forecast)
    }

    /// Whether no upstream has a limit, or had one shortly before.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of upstreams with a limit.
    pub fn count(&self) -> usize {
        self.entries.values().filter(|entry| entry.per_s.is_some()).count()
    }

    /// Drops what no longer holds, and returns the limits that it ends. `find` returns the current record
    /// of an upstream.
    pub fn expire<'a>(
        &mut self,
        find: impl Fn(&UpstreamId) -> Option<&'a UpstreamRecord>,
        now: Instant,
    ) -> Vec<EndedLimit> {
        let mut ended = Vec::new();
        self.entries.retain(|upstream, entry| {
            let silence = now.saturating_duration_since(entry.heard_at);
            let reason = match entry.per_s {
                _ if entry.process.is_replaced(find(upstream)) => Some("another process"),
                Some(_) => (silence >= FORGET_AFTER).then_some("no response for a minute"),
                // Remembered for as long as a hint of another node could bring the limit back.
                None => (silence >= HINT_LIFETIME).then_some("a response without it"),
            };
            if let (Some(reason), Some(_)) = (reason, entry.per_s) {
                ended.push(entry.ended(upstream, reason, now));
            }
            reason.is_none()
        });
        ended
    }

    fn learn(
        &mut self,
        record: &UpstreamRecord,
        per_s: Option<f64>,
        heard_at: Instant,
        now: Instant,
        end_reason: &'static str,
    ) -> LimitChange {
        let upstream = &record.upstream;
        let known = self.entries.get_mut(upstream);
        if known.as_ref().is_some_and(|entry| entry.process.is_later_than(record)) {
            return LimitChange::Unchanged;
        }
        match (known.filter(|entry| entry.process.has_written(record)), per_s) {
            (None, None) => LimitChange::Unchanged,
            (None, Some(per_s)) => {
                self.make_room();
                let entry = LimitEntry::new(record, per_s, heard_at, now);
                self.entries.insert(upstream.clone(), entry);
                LimitChange::Named
            }
            (Some(entry), per_s) if entry.per_s == per_s => {
                entry.heard_at = heard_at;
                LimitChange::Unchanged
            }
            (Some(entry), None) => {
                entry.share.restart(now);
                (entry.per_s, entry.heard_at, entry.changed_at) = (None, heard_at, now);
                LimitChange::Ended(entry.ended(upstream, end_reason, now))
            }
            (Some(entry), Some(per_s)) if entry.per_s.is_none() => {
                *entry = LimitEntry::new(record, per_s, heard_at, now);
                LimitChange::Named
            }
            (Some(entry), Some(per_s)) => {
                entry.share.restart(now);
                (entry.per_s, entry.heard_at, entry.changed_at) = (Some(per_s), heard_at, now);
                let change = (per_s - entry.reported).abs();
                if change < entry.reported * REPORTED_CHANGE {
                    return LimitChange::Unchanged;
                }
                entry.reported = per_s;
                LimitChange::Named
            }
        }
    }

    fn make_room(&mut self) {
        if self.entries.len() >= MAX_LIMITS {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.heard_at);
            if let Some(oldest) = oldest.map(|(upstream, _)| upstream.clone()) {
                self.entries.remove(&oldest);
            }
        }
    }

    fn entry(&mut self, record: &UpstreamRecord) -> Option<&mut LimitEntry> {
        let entry = self.entries.get_mut(&record.upstream);
        entry.filter(|entry| entry.process.has_written(record))
    }
}
