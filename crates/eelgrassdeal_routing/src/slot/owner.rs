//! Accounting of one replica at its owner.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassdeal_schema::peer::{RevokeNotice, SlotAllowance, SlotReport};
use eelgrassdeal_types::{Generation, NodeId, ReplicaId, StartId};

use super::division::divide;
use super::reporter::Reporter;
use super::reserve::{LoadHistory, LoadReport, LoadSample};
use super::{ALLOWANCE_LIFETIME, Amount};
use crate::{RampState, VoterSet};

/// How an owner accounts for its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerSettings {
    /// Declared KV cache size, in tokens; 0 for a plain service.
    pub kv_tokens: u64,
    /// Most KV tokens that one request can need; bounds what an unknown request may hold.
    pub largest_request_kv: u64,
    /// Time by which a load report may be older than it says, including the time until a request
    /// that a node started is seen by the upstream.
    pub load_lag: Duration,
    /// Whether the upstream reports its load.
    pub has_load_reports: bool,
    /// Longest time that a request runs. An upstream without load reports gets new work from a
    /// new owner only after it.
    pub longest_request: Duration,
}

/// Reserved for a process of a reporter's node that was replaced by a newer one.
#[derive(Clone, Copy, Debug)]
struct FormerReporter {
    amount: Amount,
    lapse: Instant,
}

/// Divides the limit of one replica among the nodes that report to this owner.
///
/// The sum of what all nodes may have in flight stays within the limit, also while several nodes
/// act as owner because their views differ. See the module for the reasons.
#[derive(Clone, Debug)]
pub struct SlotOwner {
    replica: ReplicaId,
    settings: OwnerSettings,
    ramp: RampState,
    voters: VoterSet,
    reporters: BTreeMap<NodeId, Reporter>,
    former: Vec<FormerReporter>,
    samples: LoadHistory,
    /// Requests of nodes that this owner knows nothing of, started before its votes counted.
    unknown: u32,
    /// Since when the votes of the whole set count here.
    full_since: Option<Instant>,
    load: u32,
    generation: Generation,
    address: String,
    refusal: Option<String>,
}

impl SlotOwner {
    /// Starts with no knowledge of the nodes; grants nothing until [`Self::set_serving`], and
    /// not before one lifetime has passed since the first report of each node that counts.
    pub fn new(replica: ReplicaId, settings: OwnerSettings, ramp: RampState) -> Self {
        Self {
            replica,
            settings,
            ramp,
            voters: VoterSet::default(),
            reporters: BTreeMap::new(),
            former: Vec::new(),
            samples: LoadHistory::default(),
            unknown: 0,
            full_since: None,
            load: 0,
            generation: 0,
            address: String::new(),
            refusal: Some("not probed yet".to_owned()),
        }
    }

    /// Replica that this owner accounts for.
    pub fn replica(&self) -> &ReplicaId {
        &self.replica
    }

    /// The ramp, to note what was observed of the engine.
    pub fn ramp_mut(&mut self) -> &mut RampState {
        &mut self.ramp
    }

    /// The ramp.
    pub fn ramp(&self) -> &RampState {
        &self.ramp
    }

    /// How the owner accounts.
    pub fn settings(&self) -> OwnerSettings {
        self.settings
    }

    /// Takes over a changed declaration.
    pub fn set_settings(&mut self, settings: OwnerSettings) {
        self.settings = settings;
    }

    /// Sets the nodes whose reports count; called at each change and once the delay of a change
    /// has passed.
    pub fn set_voters(&mut self, voters: VoterSet) {
        self.voters = voters;
    }

    /// Grants from now on, for the group's `generation` at `address`.
    pub fn set_serving(&mut self, generation: Generation, address: &str) {
        self.generation = generation;
        self.refusal = None;
        address.clone_into(&mut self.address);
    }

    /// Grants nothing from now on. The notice is for all of [`Self::nodes`].
    pub fn revoke(&mut self, reason: &str) -> RevokeNotice {
        self.refusal = Some(reason.to_owned());
        RevokeNotice {
            replica: self.replica.to_string(),
            generation: self.generation,
            reason: reason.to_owned(),
        }
    }

    /// Whether the owner grants anything.
    pub fn is_serving(&self) -> bool {
        self.refusal.is_none()
    }

    /// Nodes that reported and may hold an allowance.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.reporters.keys()
    }

    /// Requests and KV tokens that nodes may have in flight, including what is reserved.
    pub fn counted(&self) -> (u32, u64) {
        let count = self.total().plus(self.unknown_amount());
        (count.slots, count.kv)
    }

    /// Notes the upstream's own count of its requests.
    pub fn observe_load(&mut self, now: Instant, report: LoadReport) {
        self.load = report.running;
        if let Some(sample) = LoadSample::new(now, report, self.settings.load_lag) {
            self.samples.push(sample);
        }
        self.settle(now);
    }

    /// Answers the report of one node. The answer is to be sent at once.
    pub fn answer(
        &mut self,
        now: Instant,
        node: &NodeId,
        start: &StartId,
        report: &SlotReport,
    ) -> SlotAllowance {
        self.observe_report(now, report);
        let is_new =
            self.reporter(now, node, start, report.epoch).hear(now, report, ALLOWANCE_LIFETIME);
        if !is_new {
            return self.allowance(report.sequence, Amount::default(), Some("report out of order"));
        }
        self.settle(now);
        let amount = if self.is_serving() { self.room(now, node) } else { Amount::default() };
        if let Some(reporter) = self.reporters.get_mut(node) {
            reporter.grant(now, amount, ALLOWANCE_LIFETIME);
        }
        self.allowance(report.sequence, amount, self.refusal.as_deref())
    }

    /// Part of the limit that this owner may hand out at `now`, in requests and KV tokens.
    pub fn budget(&self, now: Instant) -> (u32, u64) {
        let budget = self.budget_amount(now);
        (budget.slots, budget.kv)
    }

    fn observe_report(&mut self, now: Instant, report: &SlotReport) {
        self.ramp.adopt(now, report.limit, &report.upstream_start);
        let is_current = self.ramp.start().is_some_and(|start| **start == *report.upstream_start);
        if report.first_token_ms > 0 && is_current {
            let latency = Duration::from_millis(u64::from(report.first_token_ms));
            self.ramp.observe_first_token(now, latency);
        }
        self.ramp.advance(now);
    }

    fn reporter(
        &mut self,
        now: Instant,
        node: &NodeId,
        start: &StartId,
        epoch: u64,
    ) -> &mut Reporter {
        let is_replaced = self.reporters.get(node).is_some_and(|known| known.start != *start);
        if is_replaced && let Some(known) = self.reporters.remove(node) {
            self.former.push(FormerReporter { amount: known.count(), lapse: known.lapse });
        }
        self.reporters
            .entry(node.clone())
            .or_insert_with(|| Reporter::new(now, start.clone(), epoch, ALLOWANCE_LIFETIME))
    }

    /// Updates what is reserved, from the reporters' silence and the load reports.
    fn settle(&mut self, now: Instant) {
        for reporter in self.reporters.values_mut() {
            if !reporter.is_live(now) && reporter.reserved.is_none() {
                reporter.reserved = Some(reporter.count());
            }
        }
        let live: Vec<&Reporter> =
            self.reporters.values().filter(|reporter| reporter.is_live(now)).collect();
        let unaccounted = |sample: &LoadSample| {
            let lowest = live.iter().map(|reporter| reporter.lowest(sample.from, sample.to));
            lowest.sum::<Option<u32>>().map(|known| sample.running.saturating_sub(known))
        };
        let measured = match self.settings.has_load_reports {
            true => self.samples.take_newest(unaccounted).map(|(sample, rest)| (sample.from, rest)),
            false => now.checked_sub(self.settings.longest_request).map(|from| (from, 0)),
        };
        if let Some((from, rest)) = measured {
            self.apply_unaccounted(now, from, rest);
        }
        self.forget_unknown(now);
    }

    /// Takes over that at most `rest` requests started before `from` are of unknown nodes.
    fn apply_unaccounted(&mut self, now: Instant, from: Instant, rest: u32) {
        let largest_kv = self.settings.largest_request_kv;
        let bound = Amount { slots: rest, kv: u64::from(rest).saturating_mul(largest_kv) };
        let mut has_new_vote = false;
        for reporter in self.reporters.values_mut() {
            match &mut reporter.reserved {
                Some(reserved) if reporter.lapse < from => *reserved = reserved.min(bound),
                Some(_) => {}
                None if !reporter.is_counted && reporter.ripe < from => {
                    reporter.is_counted = true;
                    has_new_vote = true;
                }
                None => {}
            }
        }
        for former in self.former.iter_mut().filter(|former| former.lapse < from) {
            former.amount = former.amount.min(bound);
        }
        self.former.retain(|former| former.amount.slots > 0);
        let is_empty = |reporter: &Reporter| {
            !reporter.is_live(now) && reporter.lapse < from && reporter.count().slots == 0
        };
        self.reporters.retain(|_, reporter| !is_empty(reporter));
        // What is unknown only shrinks, except for what came with votes that count from now on.
        self.unknown = if has_new_vote { rest } else { self.unknown.min(rest) };
    }

    /// Forgets what is unknown once the whole set has reported here for the longest time that a
    /// request can run: by then the requests of former members have ended too.
    fn forget_unknown(&mut self, now: Instant) {
        let is_counted = |voter: &NodeId| {
            let reporter = self.reporters.get(voter);
            reporter.is_some_and(|known| known.is_live(now) && known.is_counted)
        };
        let counted = self.voters.voters.iter().filter(|voter| is_counted(voter)).count();
        if counted < self.voters.size {
            self.full_since = None;
        } else if now > *self.full_since.get_or_insert(now) + self.settings.longest_request {
            self.unknown = 0;
        }
    }

    fn limit(&self) -> Amount {
        Amount { slots: self.ramp.limit(), kv: self.settings.kv_tokens }
    }

    fn unknown_amount(&self) -> Amount {
        let kv = u64::from(self.unknown).saturating_mul(self.settings.largest_request_kv);
        Amount { slots: self.unknown, kv: kv.min(self.settings.kv_tokens) }
    }

    /// What the live reporters together may have in flight.
    fn budget_amount(&self, now: Instant) -> Amount {
        let is_counted = |voter: &&NodeId| {
            let reporter = self.reporters.get(*voter);
            reporter.is_some_and(|known| known.is_live(now) && known.is_counted)
        };
        let votes = self.voters.voters.iter().filter(is_counted).count();
        let has_majority = votes * 2 > self.voters.size;
        let share = self.limit().share(votes, self.voters.size, has_majority);
        let reserved = self.unknown_amount().plus(self.silent(now));
        // An owner without a majority cannot tell which of these requests are within another
        // owner's share, and takes them off its own.
        match has_majority {
            true => share.min(self.limit().less(reserved)),
            false => share.less(reserved),
        }
    }

    /// What may be in flight over all nodes that ever reported here.
    fn total(&self) -> Amount {
        let former = self.former.iter().map(|former| former.amount);
        let reporters = self.reporters.values().map(Reporter::count);
        reporters.chain(former).fold(Amount::default(), Amount::plus)
    }

    /// What `node` may have in flight.
    fn room(&self, now: Instant, node: &NodeId) -> Amount {
        let live: Vec<_> = self.reporters.iter().filter(|(_, known)| known.is_live(now)).collect();
        let Some(position) = live.iter().position(|(known, _)| *known == node) else {
            return Amount::default();
        };
        let budget = self.budget_amount(now);
        let claims: Vec<_> = live.iter().map(|(_, known)| known.claim()).collect();
        let others = live.iter().filter(|(known, _)| *known != node);
        let others = others.fold(Amount::default(), |sum, (_, known)| sum.plus(known.count()));
        divide(budget, &claims)[position].min(budget.less(others))
    }

    fn silent(&self, now: Instant) -> Amount {
        let former = self.former.iter().map(|former| former.amount);
        let silent = self.reporters.values().filter(|reporter| !reporter.is_live(now));
        silent.map(Reporter::count).chain(former).fold(Amount::default(), Amount::plus)
    }

    fn allowance(&self, sequence: u64, amount: Amount, refusal: Option<&str>) -> SlotAllowance {
        SlotAllowance {
            replica: self.replica.to_string(),
            slots: amount.slots,
            kv_tokens: amount.kv,
            lifetime_ms: u32::try_from(ALLOWANCE_LIFETIME.as_millis()).unwrap_or(u32::MAX),
            generation: self.generation,
            address: self.address.clone(),
            upstream_start: self.ramp.start().map(ToString::to_string).unwrap_or_default(),
            refusal: refusal.unwrap_or_default().to_owned(),
            load: self.load,
            sequence,
            limit: self.ramp.limit(),
        }
    }
}
