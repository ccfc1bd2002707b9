//! Attribution of upstream crashes to what the requests in flight at them have in common.
//!
//! A request can crash every upstream that runs it, and so can every other request that shares the
//! cause, such as a part of its prompt. No single crash shows the cause: other requests are in
//! flight as well, and most of them are sound. The ledger of each node holds the crashes that any
//! node observed. A suspect that was in flight at several crashes without a complete response in
//! between is quarantined. The crashes that it explains no longer count against other suspects.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::fmt;
use std::time::{Duration, Instant};

use eelgrassdeal_types::{ModelId, ServiceId, UpstreamId};

/// Losses after which a suspect that never had a complete response is quarantined. Upstreams that
/// crash together are one loss, see [`SAME_LOSS_PERIOD`].
const LOSSES_TO_QUARANTINE: usize = 3;
/// Like [`LOSSES_TO_QUARANTINE`], if at least [`UPSTREAMS_IN_CASCADE`] upstreams crashed. Requests
/// that are sent again at once can crash all upstreams of a model within three losses.
const LOSSES_IN_CASCADE: usize = 2;
const UPSTREAMS_IN_CASCADE: usize = 5;
/// Like [`LOSSES_TO_QUARANTINE`], for a suspect that had a complete response before the crashes.
/// Another node may have passed on a response since, and told this node later of it than of the
/// crashes.
const LOSSES_AFTER_RESPONSES: usize = 5;
/// A suspect that had complete responses is quarantined only if it has had none for this many times
/// the usual interval between them.
const MISSED_RESPONSES: f64 = 4.0;
/// Weight of the newest interval between two responses in their moving average.
const INTERVAL_WEIGHT: f64 = 0.2;
/// A suspect that never had a complete response is quarantined only if it was in flight at one in
/// this many of the losses since its first one that it can explain.
const LOSSES_PER_SUSPECTED: usize = 3;
/// Like [`LOSSES_PER_SUSPECTED`], for a suspect that had a complete response before the crashes.
const LOSSES_PER_ANSWERED: usize = 2;
/// Crashes after which a request that has no prompt parts, and whose responses are overdue if it had any,
/// is quarantined, whether they are one loss or several. It was in flight at each of these upstreams, so that
/// a cause outside of it would have had to meet several of its attempts at once.
const CRASHES_OF_PLAIN_REQUEST: usize = 3;
/// Such a request is quarantined only if it was in flight at one in this many of the crashes since its
/// first one that it can explain.
const CRASHES_PER_PLAIN_REQUEST: usize = 2;
/// Time between a crash and the decision on it, in which other nodes tell what they had in flight
/// there and which suspects they saw answered.
const DECISION_DELAY: Duration = Duration::from_millis(200);
/// Crashes within this time of the first one are one loss: several upstreams can be lost together.
const SAME_LOSS_PERIOD: Duration = Duration::from_millis(150);
/// Reports of nodes on one upstream within this time concern the same crash. An upstream restarts
/// more slowly.
const SAME_CRASH_PERIOD: Duration = Duration::from_secs(2);
/// Time after the beginning of a quarantine in which requests that were in flight then may crash
/// their upstreams.
const IN_FLIGHT_PERIOD: Duration = Duration::from_millis(500);
/// Duration of the first quarantine of a prompt part, which sound requests may share. Each further one
/// lasts twice as long.
const FIRST_PART_QUARANTINE: Duration = Duration::from_secs(60);
/// Like [`FIRST_PART_QUARANTINE`], for a whole request. Its end can cost all upstreams of a small service.
const FIRST_REQUEST_QUARANTINE: Duration = Duration::from_secs(600);
/// Longest duration of a quarantine.
pub const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);
/// Time for which a crash counts.
const CRASH_LIFETIME: Duration = Duration::from_secs(600);
/// Time for which news are told to other nodes after this node learned of them.
const REPORT_PERIOD: Duration = Duration::from_millis(1_500);
/// Interval at which nodes tell each other that a suspect is still answered.
const RESPONSE_NEWS_INTERVAL: Duration = Duration::from_secs(30);
const MAX_CRASHES: usize = 256;
/// Number of suspects above which old responses are forgotten.
const MAX_RESPONSES: usize = 8_192;
/// Time for which a response is remembered if there are more than [`MAX_RESPONSES`].
const RESPONSE_LIFETIME: Duration = Duration::from_secs(60);

/// A property of requests that may crash the upstreams which run them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CrashSuspect {
    /// A part that prompts for a model share.
    PromptPart {
        /// Service that runs the model.
        service: ServiceId,
        /// Model that the prompts are for.
        model: ModelId,
        /// Id of the part.
        part: u64,
    },
    /// The request as a whole, which its caller may send again.
    WholeRequest {
        /// Service that the request is for.
        service: ServiceId,
        /// Digest of the client account, path and body.
        digest: u64,
    },
}

impl CrashSuspect {
    fn is_part(&self) -> bool {
        matches!(self, Self::PromptPart { .. })
    }

    /// Service and model of the requests that can have this property.
    fn scope(&self) -> (&ServiceId, Option<&ModelId>) {
        match self {
            Self::PromptPart { service, model, .. } => (service, Some(model)),
            Self::WholeRequest { service, .. } => (service, None),
        }
    }
}

impl fmt::Display for CrashSuspect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PromptPart { service, model, part } => {
                write!(formatter, "{service}/{model}/part-{part:x}")
            }
            Self::WholeRequest { service, digest } => {
                write!(formatter, "{service}/request-{digest:x}")
            }
        }
    }
}

/// What a node knows of a suspect that was in flight at a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectReport {
    /// The suspect.
    pub suspect: CrashSuspect,
    /// Position in the request, from general to specific; the most specific of several equally
    /// likely suspects affects the fewest requests.
    pub specificity: u32,
    /// When a request with the suspect last had a complete response.
    pub answered_at: Option<Instant>,
}

/// A crash of an upstream, as a node observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The upstream that crashed.
    pub upstream: UpstreamId,
    /// When it crashed.
    pub at: Instant,
    /// What was in flight there and may have caused the crash.
    pub suspects: Vec<SuspectReport>,
}

/// Requests with this suspect are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Cause of the crashes.
    pub suspect: CrashSuspect,
    /// End of the quarantine.
    pub until: Instant,
    /// Duration of the quarantine, which decides on that of the next one.
    pub period: Duration,
}

#[derive(Clone, Debug)]
struct CrashRecord {
    upstream: UpstreamId,
    at: Instant,
    /// When this node first learned of the crash.
    learned_at: Instant,
    /// When this node last learned of a further suspect.
    changed_at: Instant,
    /// Whether a decision on its suspects is due.
    is_undecided: bool,
    /// Suspects and their specificity.
    suspects: BTreeMap<CrashSuspect, u32>,
}

impl CrashRecord {
    /// Whether other nodes have had time to tell what they had in flight there.
    fn is_settled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.learned_at) >= DECISION_DELAY
    }
}

/// The complete responses to requests with a suspect.
#[derive(Clone, Copy, Debug)]
struct ResponseHistory {
    last: Instant,
    /// Moving average of the seconds between two responses of this node; 0 before the second one.
    interval_s: f64,
    /// When this or another node last had a response that was news to the others.
    news_at: Instant,
}

impl ResponseHistory {
    fn new(last: Instant) -> Self {
        Self { last, interval_s: 0.0, news_at: last }
    }

    fn record(&mut self, at: Instant) {
        let gap_s = at.saturating_duration_since(self.last).as_secs_f64();
        self.interval_s = match self.interval_s {
            0.0 => gap_s,
            known => known + (gap_s - known) * INTERVAL_WEIGHT,
        };
        self.last = at.max(self.last);
    }

    /// Whether a response at `at` is news to nodes that know of the one at `news_at`.
    fn is_news(&self, at: Instant) -> bool {
        at.saturating_duration_since(self.news_at) >= RESPONSE_NEWS_INTERVAL
    }

    /// Whether responses are missing at `now` that were to be expected.
    fn is_overdue(&self, now: Instant) -> bool {
        let silence_s = now.saturating_duration_since(self.last).as_secs_f64();
        silence_s >= self.interval_s * MISSED_RESPONSES
    }
}

/// Crashes, and the suspects that are in quarantine because of them.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    /// In the order in which this node learned of them.
    crashes: VecDeque<CrashRecord>,
    responses: HashMap<CrashSuspect, ResponseHistory>,
    /// Responses to tell other nodes of, in the order of their times.
    response_news: VecDeque<(Instant, CrashSuspect)>,
    /// Quarantines, also those that ended: their suspects are quarantined again at the next crash.
    quarantines: HashMap<CrashSuspect, Quarantine>,
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a crash that this or another node observed. Returns whether it was not known, or not
    /// with all of the suspects.
    pub fn record_crash(&mut self, report: CrashReport, now: Instant) -> bool {
        for reported in &report.suspects {
            if let Some(at) = reported.answered_at {
                let history = self.responses.entry(reported.suspect.clone());
                let history = history.or_insert_with(|| ResponseHistory::new(at));
                history.last = at.max(history.last);
            }
        }
        let index = self.find_or_add(&report, now);
        let record = &mut self.crashes[index];
        let known_count = record.suspects.len();
        let reported = report.suspects.into_iter();
        record.suspects.extend(reported.map(|reported| (reported.suspect, reported.specificity)));
        let is_changed = record.suspects.len() > known_count;
        if is_changed {
            record.changed_at = now;
            record.is_undecided = true;
        }
        is_changed
    }

    /// Decides on the suspects of the crashes that this node has known for long enough. Returns the
    /// quarantines that begin.
    pub fn decide(&mut self, now: Instant) -> Vec<Quarantine> {
        let mut begun = Vec::new();
        for index in 0..self.crashes.len() {
            let crash = &self.crashes[index];
            // What crashed upstreams before needs no further evidence.
            let is_due = crash.is_settled(now) || self.ended_quarantine(crash).is_some();
            if !is_due || !std::mem::take(&mut self.crashes[index].is_undecided) {
                continue;
            }
            if let Some((suspect, period)) = self.next_quarantine(index, now) {
                let quarantine = Quarantine { suspect, until: now + period, period };
                self.quarantines.insert(quarantine.suspect.clone(), quarantine.clone());
                begun.push(quarantine);
            }
        }
        begun
    }

    /// Records that a request with these suspects had a complete response.
    pub fn record_response(&mut self, suspects: &[CrashSuspect], now: Instant) {
        for suspect in suspects {
            if self.note_response(suspect, now) {
                self.response_news.push_back((now, suspect.clone()));
            }
            if let Some(history) = self.responses.get_mut(suspect) {
                history.record(now);
            }
            self.quarantines.remove(suspect);
        }
        if self.responses.len() > MAX_RESPONSES {
            self.responses.retain(|_, history| {
                now.saturating_duration_since(history.last) < RESPONSE_LIFETIME
            });
        }
    }

    /// Records that another node had a complete response to a request with this suspect shortly
    /// before. `is_told` is whether this node tells others of it.
    pub fn record_response_elsewhere(
        &mut self,
        suspect: CrashSuspect,
        now: Instant,
        is_told: bool,
    ) {
        let is_news = self.note_response(&suspect, now);
        if let Some(history) = self.responses.get_mut(&suspect) {
            history.last = now.max(history.last);
        }
        if is_news && is_told {
            self.response_news.push_back((now, suspect));
        }
    }

    /// Suspects to tell other nodes of, since a request with them had a complete response.
    pub fn response_news(&self, now: Instant) -> impl Iterator<Item = &CrashSuspect> {
        let is_recent = move |at: Instant| now.saturating_duration_since(at) < REPORT_PERIOD;
        let news = self.response_news.iter().rev();
        news.take_while(move |(at, _)| is_recent(*at)).map(|(_, suspect)| suspect)
    }

    /// Begins a quarantine that another node decided on, unless a complete response since then has
    /// shown that its suspect is sound.
    pub fn adopt(&mut self, quarantine: Quarantine) {
        let began_at = quarantine.until.checked_sub(quarantine.period);
        let answered_at = self.responses.get(&quarantine.suspect).map(|history| history.last);
        let is_refuted = answered_at > began_at;
        let known = self.quarantines.get(&quarantine.suspect);
        if !is_refuted && known.is_none_or(|known| known.until < quarantine.until) {
            self.quarantines.insert(quarantine.suspect.clone(), quarantine);
        }
    }

    /// The quarantine of one of `suspects` that lasts at `now`.
    pub fn quarantine_of<'a>(
        &self,
        suspects: impl IntoIterator<Item = &'a CrashSuspect>,
        now: Instant,
    ) -> Option<&Quarantine> {
        let mut known = suspects.into_iter().filter_map(|suspect| self.quarantines.get(suspect));
        known.find(|quarantine| now < quarantine.until)
    }

    /// All quarantines that last at `now`.
    pub fn quarantines(&self, now: Instant) -> impl Iterator<Item = &Quarantine> {
        self.quarantines.values().filter(move |quarantine| now < quarantine.until)
    }

    /// Whether whole requests are suspected, so that their digests must be computed.
    pub fn suspects_whole_requests(&self) -> bool {
        let is_whole = |suspect: &CrashSuspect| !suspect.is_part();
        self.quarantines.keys().any(is_whole)
            || self.crashes.iter().any(|crash| crash.suspects.keys().any(is_whole))
    }

    /// Whether `suspect` was in flight at a crash that still counts.
    pub fn is_suspected(&self, suspect: &CrashSuspect) -> bool {
        self.crashes.iter().any(|crash| crash.suspects.contains_key(suspect))
    }

    /// Crashes to tell other nodes of: those that this node learned of within [`REPORT_PERIOD`].
    pub fn reports(&self, now: Instant) -> Vec<CrashReport> {
        let is_recent =
            |crash: &&CrashRecord| now.saturating_duration_since(crash.changed_at) < REPORT_PERIOD;
        let report = |crash: &CrashRecord| CrashReport {
            upstream: crash.upstream.clone(),
            at: crash.at,
            suspects: crash
                .suspects
                .iter()
                .map(|(suspect, specificity)| SuspectReport {
                    suspect: suspect.clone(),
                    specificity: *specificity,
                    answered_at: self.responses.get(suspect).map(|history| history.last),
                })
                .collect(),
        };
        self.crashes.iter().filter(is_recent).map(report).collect()
    }

    /// Removes crashes that no longer count, and quarantines that ended long ago.
    pub fn remove_expired(&mut self, now: Instant) {
        self.crashes.retain(|crash| now.saturating_duration_since(crash.at) < CRASH_LIFETIME);
        self.response_news.retain(|(at, _)| now.saturating_duration_since(*at) < REPORT_PERIOD);
        self.quarantines
            .retain(|_, quarantine| now < quarantine.until + quarantine.period + CRASH_LIFETIME);
    }

    /// Adds a history for a suspect that has none. Returns whether a response now is news.
    fn note_response(&mut self, suspect: &CrashSuspect, now: Instant) -> bool {
        match self.responses.get_mut(suspect) {
            Some(history) if !history.is_news(now) => false,
            Some(history) => {
                history.news_at = now;
                true
            }
            None => {
                self.responses.insert(suspect.clone(), ResponseHistory::new(now));
                true
            }
        }
    }

    /// Index of the record of a crash, which is added if it is not known.
    fn find_or_add(&mut self, report: &CrashReport, now: Instant) -> usize {
        let is_same = |crash: &CrashRecord| {
            crash.upstream == report.upstream && distance(crash.at, report.at) < SAME_CRASH_PERIOD
        };
        if let Some(index) = self.crashes.iter().position(is_same) {
            return index;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(CrashRecord {
            upstream: report.upstream.clone(),
            at: report.at,
            learned_at: now,
            changed_at: now,
            is_undecided: true,
            suspects: BTreeMap::new(),
        });
        self.crashes.len() - 1
    }

    /// The suspect of a crash that is to be quarantined now, and for how long.
    fn next_quarantine(&self, index: usize, now: Instant) -> Option<(CrashSuspect, Duration)> {
        let crash = &self.crashes[index];
        if let Some(ended) = self.ended_quarantine(crash) {
            return Some((ended.suspect.clone(), (ended.period * 2).min(MAX_QUARANTINE)));
        }
        let likeliest = crash
            .suspects
            .iter()
            .filter(|(suspect, _)| !self.is_explained(crash, suspect))
            .map(|(suspect, specificity)| {
                (self.suspected_crashes(suspect, now), *specificity, suspect)
            })
            .filter(|(crashes, _, suspect)| self.is_suspicious(crashes, suspect, now))
            .max_by_key(|(crashes, specificity, _)| {
                (count_losses(crashes), *specificity, crashes.len())
            });
        likeliest.map(|(.., suspect)| {
            let period = match suspect.is_part() {
                true => FIRST_PART_QUARANTINE,
                false => FIRST_REQUEST_QUARANTINE,
            };
            (suspect.clone(), period)
        })
    }

    /// A quarantine that ended before a crash at which its suspect was in flight.
    fn ended_quarantine(&self, crash: &CrashRecord) -> Option<&Quarantine> {
        let mut known = crash.suspects.keys().filter_map(|suspect| self.quarantines.get(suspect));
        known.find(|quarantine| quarantine.until <= crash.at)
    }

    /// Whether crashes suffice to quarantine a suspect that was in flight at them.
    fn is_suspicious(&self, crashes: &[Instant], suspect: &CrashSuspect, now: Instant) -> bool {
        let (Some(first), Some(last)) = (crashes.first(), crashes.last()) else { return false };
        let is_comparable = |other: &CrashSuspect| other.scope() == suspect.scope();
        let comparable = self.unexplained_crashes(suspect, now, |crash| {
            crash.at >= *first && crash.suspects.keys().any(is_comparable)
        });
        if crashes.len() >= CRASHES_OF_PLAIN_REQUEST
            && crashes.len() * CRASHES_PER_PLAIN_REQUEST >= comparable.len()
            && self.responses.get(suspect).is_none_or(|history| history.is_overdue(*last))
            && self.is_plain_request(suspect)
        {
            return true;
        }
        let (needed, ratio) = match self.responses.get(suspect) {
            None if crashes.len() >= UPSTREAMS_IN_CASCADE => {
                (LOSSES_IN_CASCADE, LOSSES_PER_SUSPECTED)
            }
            None => (LOSSES_TO_QUARANTINE, LOSSES_PER_SUSPECTED),
            Some(history) if history.is_overdue(*last) => {
                (LOSSES_AFTER_RESPONSES, LOSSES_PER_ANSWERED)
            }
            Some(_) => return false,
        };
        let losses = count_losses(crashes);
        losses >= needed && losses * ratio >= count_losses(&comparable)
    }

    /// Whether a suspect is a request to a service whose requests have no prompt parts in common.
    fn is_plain_request(&self, suspect: &CrashSuspect) -> bool {
        let mut crashes = self.crashes.iter().filter(|crash| crash.suspects.contains_key(suspect));
        !suspect.is_part() && crashes.all(|crash| !crash.suspects.keys().any(CrashSuspect::is_part))
    }

    /// Times of the unexplained crashes with a suspect since its last complete response, in order.
    fn suspected_crashes(&self, suspect: &CrashSuspect, now: Instant) -> Vec<Instant> {
        let answered_at = self.responses.get(suspect).map(|history| history.last);
        self.unexplained_crashes(suspect, now, |crash| {
            crash.suspects.contains_key(suspect)
                && answered_at.is_none_or(|answered_at| answered_at < crash.at)
        })
    }

    /// Times of the settled crashes that `is_included` selects and no quarantine explains, in order.
    /// A node that counted others would count what it had in flight itself, and nothing else.
    fn unexplained_crashes(
        &self,
        suspect: &CrashSuspect,
        now: Instant,
        is_included: impl Fn(&CrashRecord) -> bool,
    ) -> Vec<Instant> {
        let settled = self.crashes.iter().filter(|crash| crash.is_settled(now));
        let unexplained = settled.filter(|crash| !self.is_explained(crash, suspect));
        let mut counted_requests = HashSet::new();
        let mut times: Vec<_> = unexplained
            .filter(|crash| is_included(crash))
            .filter(|crash| match self.quarantined_request(crash) {
                Some(request) if suspect.is_part() => counted_requests.insert(request),
                _ => true,
            })
            .map(|crash| crash.at)
            .collect();
        times.sort_unstable();
        times
    }

    /// Whether a quarantine explains the crash, so that it does not count against `suspect`. That of
    /// a whole request explains it for other requests only: a request that was interrupted each time
    /// by chance must not hide the prompt part that caused the crashes. These crashes count once
    /// against a part, see [`Self::quarantined_request`].
    fn is_explained(&self, crash: &CrashRecord, suspect: &CrashSuspect) -> bool {
        !self.quarantines.is_empty()
            && crash.suspects.keys().any(|other| {
                let is_decisive = other.is_part() || !suspect.is_part();
                is_decisive && self.quarantines.contains_key(other)
            })
    }

    /// The request in quarantine that was in flight at the crash before nodes refused it. However
    /// often its caller sent it, it says no more of its parts than one request.
    fn quarantined_request(&self, crash: &CrashRecord) -> Option<&CrashSuspect> {
        let mut requests = crash.suspects.keys().filter(|suspect| !suspect.is_part());
        requests.find_map(|request| {
            let quarantine = self.quarantines.get(request)?;
            let ends_at = crash.at + quarantine.period;
            (ends_at < quarantine.until + IN_FLIGHT_PERIOD).then_some(&quarantine.suspect)
        })
    }
}

/// Number of losses in crashes at these times, which are in order.
fn count_losses(crashes: &[Instant]) -> usize {
    let mut times = crashes.to_vec();
    times.dedup_by(|next, first| next.saturating_duration_since(*first) < SAME_LOSS_PERIOD);
    times.len()
}

fn distance(one: Instant, other: Instant) -> Duration {
    one.saturating_duration_since(other).max(other.saturating_duration_since(one))
}
