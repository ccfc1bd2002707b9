//! What upstreams say of themselves in their responses: that they leave, and that they want no requests
//! for a while.
//!
//! Both hold for one process of an upstream. A later process, at the same address or with the same id, is
//! used like any other. A process that leaves stays set aside for the rest of its life; a pause ends, and
//! the node then returns to the upstream over a ramp, so that the nodes don't all come back at once.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eelgrassdeal_types::UpstreamId;

use crate::fleet::{UpstreamProcess, UpstreamRecord};
use crate::limit::TokenBucket;

/// Longest pause that an upstream can ask for. A longer one is cut to it, so that a wrong value does not
/// shut the upstream out for good.
pub const MAX_PAUSE: Duration = Duration::from_secs(300);
/// Bounds of the ramp after a pause, which is as long as the pause otherwise.
const MIN_RAMP: Duration = Duration::from_millis(200);
const MAX_RAMP: Duration = Duration::from_secs(2);
/// Fraction of the ramp by which a node's return is delayed at most.
const MAX_DELAY_FRACTION: f64 = 0.25;
/// Requests per second and slot, of all nodes together, at the end of the ramp.
const RAMP_REQUESTS_PER_SLOT: f64 = 4.0;
/// Fraction of that rate at the beginning of the ramp.
const RAMP_START: f64 = 0.1;
/// Time for which other nodes are told that a process leaves.
const HINT_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of hints in a message to another node.
const MAX_HINTS: usize = 64;
/// A response later than this after a hint, without the notice, shows that the hint is wrong.
const HINT_MARGIN: Duration = Duration::from_millis(500);
/// Time after which a process without a record is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// Maximum number of processes with a notice. The oldest one is dropped for a new one.
const MAX_PROCESSES: usize = 1024;

/// Why an upstream gets no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeCause {
    /// Its process leaves.
    Leaving,
    /// It has asked for no requests for a while.
    Paused,
}

impl NoticeCause {
    /// All causes.
    pub const ALL: [Self; 2] = [Self::Leaving, Self::Paused];

    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Paused => "paused",
        }
    }
}

/// A process that leaves, as nodes tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingHint {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Start time of the process ([`UpstreamRecord::start_time_ms`]).
    pub start_time_ms: u64,
    /// Time since the process said so.
    pub age: Duration,
}

/// An upstream that is used again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenBack {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Why it was set aside.
    pub cause: NoticeCause,
    /// Time for which it was set aside.
    pub after: Duration,
    /// What ended it.
    pub reason: &'static str,
}

/// When the upstreams of a request can be used again, if all of them are paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PauseEnd {
    /// Time until the first of them is used again.
    pub left: Duration,
    /// Time over which callers should come back after that.
    pub spread: Duration,
}

/// A time for which an upstream wants no requests, and the return after it.
#[derive(Clone, Debug)]
struct RequestPause {
    asked_at: Instant,
    until: Instant,
    /// When this node begins to send again.
    returns_at: Instant,
    ramp: Duration,
    share: TokenBucket,
}

/// Who said that a process leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeavingSource {
    Upstream,
    OtherNode,
}

#[derive(Clone, Debug)]
struct ProcessNotice {
    process: UpstreamProcess,
    leaving: Option<(Instant, LeavingSource)>,
    pause: Option<RequestPause>,
    changed_at: Instant,
}

impl ProcessNotice {
    fn new(record: &UpstreamRecord, now: Instant) -> Self {
        Self {
            process: UpstreamProcess::of_record(record),
            leaving: None,
            pause: None,
            changed_at: now,
        }
    }
}

/// Tracks what upstreams said of themselves, and decides whether they may be sent requests.
#[derive(Clone, Debug, Default)]
pub struct NoticeTracker {
    notices: HashMap<UpstreamId, ProcessNotice>,
}

impl NoticeTracker {
    /// Creates a tracker without notices.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the process of `record` said that it leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, record: &UpstreamRecord, now: Instant) -> bool {
        let Some(notice) = self.entry(record, now) else { return false };
        let is_new = notice.leaving.is_none();
        let since = notice.leaving.map_or(now, |(since, _)| since);
        notice.leaving = Some((since, LeavingSource::Upstream));
        is_new
    }

    /// Records that the process of `record` wants no requests for `pause`. `draw` is a random number
    /// that is uniform in 0..1. Returns whether the upstream was not paused before.
    pub fn record_pause(
        &mut self,
        record: &UpstreamRecord,
        pause: Duration,
        draw: f64,
        now: Instant,
    ) -> bool {
        let pause = pause.min(MAX_PAUSE);
        let Some(notice) = self.entry(record, now).filter(|_| !pause.is_zero()) else {
            return false;
        };
        let known = notice.pause.as_ref().filter(|known| now < known.until);
        let is_new = known.is_none();
        let asked_at = known.map_or(now, |known| known.asked_at);
        let until = known.map_or(now + pause, |known| known.until.max(now + pause));
        let ramp = until.saturating_duration_since(asked_at).clamp(MIN_RAMP, MAX_RAMP);
        let returns_at = until + ramp.mul_f64(MAX_DELAY_FRACTION * draw.clamp(0.0, 1.0));
        let share = TokenBucket::new(returns_at, 1.0);
        notice.pause = Some(RequestPause { asked_at, until, returns_at, ramp, share });
        is_new
    }

    /// Records a response without the notice of leaving. Returns whether it refutes an earlier hint of
    /// another node.
    pub fn record_staying(&mut self, record: &UpstreamRecord, now: Instant) -> bool {
        let Some(notice) = self.notices.get_mut(&record.upstream) else { return false };
        let is_refuted = notice.process.has_written(record)
            && matches!(notice.leaving, Some((since, LeavingSource::OtherNode))
                if now > since + HINT_MARGIN);
        if is_refuted {
            notice.leaving = None;
        }
        is_refuted
    }

    /// Adopts the hint of another node for the process of `record`. Returns whether it is new. A hint
    /// about another process than the one this node knows is ignored.
    pub fn adopt_hint(
        &mut self,
        record: &UpstreamRecord,
        hint: &LeavingHint,
        now: Instant,
    ) -> bool {
        let is_same = hint.start_time_ms != 0 && hint.start_time_ms == record.start_time_ms;
        if !is_same || hint.age >= HINT_LIFETIME {
            return false;
        }
        let Some(notice) = self.entry(record, now) else { return false };
        let is_new = notice.leaving.is_none();
        if is_new {
            let since = now.checked_sub(hint.age).unwrap_or(now);
            notice.leaving = Some((since, LeavingSource::OtherNode));
        }
        is_new
    }

    /// Hints for other nodes, the newest first.
    pub fn leaving_hints(&self, now: Instant) -> Vec<LeavingHint> {
        let hint = |(upstream, notice): (&UpstreamId, &ProcessNotice)| {
            let (since, _) = notice.leaving?;
            let age = now.saturating_duration_since(since);
            let is_told = notice.process.start_time_ms != 0 && age < HINT_LIFETIME;
            let start_time_ms = notice.process.start_time_ms;
            is_told.then(|| LeavingHint { upstream: upstream.clone(), start_time_ms, age })
        };
        let mut hints: Vec<_> = self.notices.iter().filter_map(hint).collect();
        hints.sort_unstable_by_key(|hint| hint.age);
        hints.truncate(MAX_HINTS);
        hints
    }

    /// Whether the process of `record` has said that it leaves.
    pub fn is_leaving(&self, record: &UpstreamRecord) -> bool {
        self.notice(record).is_some_and(|notice| notice.leaving.is_some())
    }

    /// Ids of the upstreams with a process that has said that it leaves.
    pub fn leaving(&self) -> impl Iterator<Item = &UpstreamId> {
        let leaving = self.notices.iter().filter(|(_, notice)| notice.leaving.is_some());
        leaving.map(|(upstream, _)| upstream)
    }

    /// Whether the process of `record` may be sent anything that is not part of a request in progress.
    pub fn may_send(&self, record: &UpstreamRecord, now: Instant) -> bool {
        !self.is_leaving(record) && !self.is_paused(record, now)
    }

    /// Whether the process of `record` wants no requests at `now`, or this node has not returned to it
    /// yet.
    pub fn is_paused(&self, record: &UpstreamRecord, now: Instant) -> bool {
        let pause = self.notice(record).and_then(|notice| notice.pause.as_ref());
        pause.is_some_and(|pause| now < pause.returns_at)
    }

    /// Takes one request of this node's share of the ramp after a pause, where `nodes` nodes share it.
    /// Returns false if the share is used up; always true for an upstream that is not returning.
    pub fn try_take_return(&mut self, record: &UpstreamRecord, nodes: usize, now: Instant) -> bool {
        let notice = self.notices.get_mut(&record.upstream);
        let pause = notice.filter(|notice| notice.process.has_written(record));
        let Some(pause) = pause.and_then(|notice| notice.pause.as_mut()) else { return true };
        let elapsed = now.saturating_duration_since(pause.returns_at);
        if elapsed >= pause.ramp {
            return true;
        }
        let progress = elapsed.as_secs_f64() / pause.ramp.as_secs_f64();
        let per_slot = RAMP_REQUESTS_PER_SLOT * progress.max(RAMP_START);
        let per_s = per_slot * f64::from(record.slots.max(1)) / nodes.max(1) as f64;
        pause.share.try_take(now, per_s, 1.0)
    }

    /// When the first of `records` is used again, if all of them that do not leave are paused; `None`
    /// if one of them may be used, or all leave.
    pub fn pause_end<'a>(
        &self,
        records: impl Iterator<Item = &'a UpstreamRecord>,
        now: Instant,
    ) -> Option<PauseEnd> {
        let mut first: Option<PauseEnd> = None;
        for record in records.filter(|record| !self.is_leaving(record)) {
            let pause = self.notice(record)?.pause.as_ref();
            let pause = pause.filter(|pause| now < pause.returns_at)?;
            let left = pause.returns_at.saturating_duration_since(now);
            if first.is_none_or(|end| left < end.left) {
                first = Some(PauseEnd { left, spread: pause.ramp });
            }
        }
        first
    }

    /// Number of upstreams that are set aside for a cause.
    pub fn count(&self, cause: NoticeCause, now: Instant) -> usize {
        let is_counted = |notice: &&ProcessNotice| match cause {
            NoticeCause::Leaving => notice.leaving.is_some(),
            NoticeCause::Paused => {
                notice.pause.as_ref().is_some_and(|pause| now < pause.returns_at)
            }
        };
        self.notices.values().filter(is_counted).count()
    }

    /// Drops what no longer holds, and returns the upstreams that are used again. `find` returns the
    /// current record of an upstream.
    pub fn expire<'a>(
        &mut self,
        find: impl Fn(&UpstreamId) -> Option<&'a UpstreamRecord>,
        now: Instant,
    ) -> Vec<TakenBack> {
        let mut taken_back = Vec::new();
        self.notices.retain(|upstream, notice| {
            let mut report = |cause, since: Instant, reason| {
                let after = now.saturating_duration_since(since);
                taken_back.push(TakenBack { upstream: upstream.clone(), cause, after, reason });
            };
            let is_replaced = notice.process.is_replaced(find(upstream));
            let is_forgotten = find(upstream).is_none()
                && now.saturating_duration_since(notice.changed_at) >= FORGET_AFTER;
            let pause_end = notice.pause.as_ref().map(|pause| (pause.asked_at, pause.returns_at));
            let is_pause_over =
                notice.pause.as_ref().is_some_and(|pause| now >= pause.returns_at + pause.ramp);
            match (notice.leaving, pause_end) {
                (Some((since, _)), _) if is_replaced => {
                    report(NoticeCause::Leaving, since, "another process");
                }
                (None, Some((asked_at, returns_at))) if is_replaced && now < returns_at => {
                    report(NoticeCause::Paused, asked_at, "another process");
                }
                (None, Some((asked_at, _))) if is_pause_over => {
                    report(NoticeCause::Paused, asked_at, "the pause and the return are over");
                }
                _ => {}
            }
            if is_pause_over {
                notice.pause = None;
            }
            let is_empty = notice.leaving.is_none() && notice.pause.is_none();
            !is_replaced && !is_forgotten && !is_empty
        });
        taken_back
    }

    fn notice(&self, record: &UpstreamRecord) -> Option<&ProcessNotice> {
        self.notices.get(&record.upstream).filter(|notice| notice.process.has_written(record))
    }

    /// The notice of the process of `record`; `None` if a later process of the upstream is known.
    fn entry(&mut self, record: &UpstreamRecord, now: Instant) -> Option<&mut ProcessNotice> {
        let known = self.notices.get(&record.upstream);
        if known.is_some_and(|notice| {
            !notice.process.has_written(record) && notice.process.is_later_than(record)
        }) {
            return None;
        }
        if known.is_none() && self.notices.len() >= MAX_PROCESSES {
            let oldest = self.notices.iter().min_by_key(|(_, notice)| notice.changed_at);
            let oldest = oldest.map(|(upstream, _)| upstream.clone())?;
            self.notices.remove(&oldest);
        }
        let notice = self
            .notices
            .entry(record.upstream.clone())
            .or_insert_with(|| ProcessNotice::new(record, now));
        if !notice.process.has_written(record) {
            *notice = ProcessNotice::new(record, now);
        }
        notice.changed_at = now;
        Some(notice)
    }
}
