//! Division of the limit of one replica by its owner.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassdeal_schema::peer::{RevokeNotice, SlotAllowance, SlotReport};
use eelgrassdeal_types::{Generation, NodeId, ReplicaId, StartId};

use super::division::divide;
use super::load::{LoadHistory, LoadReport, LoadSample};
use super::reporter::Reporter;
use super::{ALLOWANCE_LIFETIME, SlotAmount};
use crate::{RampState, VoterSet};

/// Properties of a replica that its owner needs to divide the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerSettings {
    /// Declared KV cache size, in tokens; 0 for a plain service.
    pub kv_tokens: u64,
    /// Most KV tokens that one request can need; assumed for each unattributed request, that is,
    /// one that no reporting node accounts for.
    pub largest_request_kv: u64,
    /// Time by which a load report may be older than its stated age, including the time between
    /// the start of a request at a node and its appearance in the load of the upstream.
    pub load_lag: Duration,
    /// Whether probes of the upstream return its load.
    pub has_load_reports: bool,
    /// Longest time that a request runs. Without load reports, a new owner grants allowances only
    /// after this time, when all requests that it does not know of have ended.
    pub longest_request: Duration,
}

/// What the previous process of a node that restarted may still have in flight.
#[derive(Clone, Copy, Debug)]
struct ReplacedReporter {
    amount: SlotAmount,
    /// Expiry of the last allowance or of the vote of that process, whichever is later, as in
    /// [`Reporter::expires_at`]. `amount` is not lowered before that time.
    expires_at: Instant,
}

/// Divides the limit of one replica among the nodes that report to this owner.
///
/// The sum of what all nodes may have in flight stays within the limit, even while several nodes
/// act as the owner because they suspect different peers or know different memberships: each of
/// them hands out at most the part of the limit for which it has votes, and each node votes for one
/// owner at a time.
#[derive(Clone, Debug)]
pub struct SlotOwner {
    replica: ReplicaId,
    settings: OwnerSettings,
    ramp: RampState,
    voters: VoterSet,
    reporters: BTreeMap<NodeId, Reporter>,
    replaced: Vec<ReplacedReporter>,
    samples: LoadHistory,
    /// Upper bound of the requests in flight that no reporter with an unexpired vote accounts for,
    /// such as those of nodes unknown to this owner. They were started before the votes of the
    /// present reporters counted here.
    unattributed: u32,
    /// Time since which as many votes as [`VoterSet::limit_divisor`] have counted here without
    /// interruption; `None` while fewer count.
    all_votes_since: Option<Instant>,
    /// Load of the upstream in the latest load report.
    last_load: u32,
    generation: Generation,
    address: String,
    /// Why nothing is granted; `None` while the owner grants allowances.
    refusal: Option<String>,
}

impl SlotOwner {
    /// Creates an owner that knows no reporters. It grants nothing until [`Self::start_granting`]
    /// is called. It counts the vote of a node only once [`ALLOWANCE_LIFETIME`] has passed since
    /// the node's first report and the requests started until then are accounted for.
    pub fn new(replica: ReplicaId, settings: OwnerSettings, ramp: RampState) -> Self {
        Self {
            replica,
            settings,
            ramp,
            voters: VoterSet::default(),
            reporters: BTreeMap::new(),
            replaced: Vec::new(),
            samples: LoadHistory::default(),
            unattributed: 0,
            all_votes_since: None,
            last_load: 0,
            generation: 0,
            address: String::new(),
            refusal: Some("the owner has not started granting allowances".to_owned()),
        }
    }

    /// Replica whose limit this owner divides.
    pub fn replica(&self) -> &ReplicaId {
        &self.replica
    }

    /// Warm-up limit of the replica, for recording observations of its engine.
    pub fn ramp_mut(&mut self) -> &mut RampState {
        &mut self.ramp
    }

    /// Warm-up limit of the replica.
    pub fn ramp(&self) -> &RampState {
        &self.ramp
    }

    /// Settings as last set by [`Self::new`] or [`Self::set_settings`].
    pub fn settings(&self) -> OwnerSettings {
        self.settings
    }

    /// Replaces the settings after a change of the configuration.
    pub fn set_settings(&mut self, settings: OwnerSettings) {
        self.settings = settings;
    }

    /// Sets the nodes whose votes count. The caller does so at each membership change and once
    /// [`crate::MEMBERSHIP_DELAY`] has passed after it.
    pub fn set_voters(&mut self, voters: VoterSet) {
        self.voters = voters;
    }

    /// Starts to grant allowances for requests to the upstream at the HTTP address `address`.
    /// `generation` is that of the group, see [`Generation`]; 0 for a plain service.
    pub fn start_granting(&mut self, generation: Generation, address: &str) {
        self.generation = generation;
        self.refusal = None;
        address.clone_into(&mut self.address);
    }

    /// Stops granting allowances. The caller sends the returned notice to all [`Self::nodes`].
    pub fn revoke(&mut self, reason: &str) -> RevokeNotice {
        self.refusal = Some(reason.to_owned());
        RevokeNotice {
            replica: self.replica.to_string(),
            generation: self.generation,
            reason: reason.to_owned(),
        }
    }

    /// Whether the owner grants allowances.
    pub fn is_granting(&self) -> bool {
        self.refusal.is_none()
    }

    /// Nodes that have reported here and may hold an allowance.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.reporters.keys()
    }

    /// Requests and KV tokens that all nodes together may have in flight, including the amounts
    /// reserved for nodes without an unexpired vote and for unattributed requests.
    pub fn max_in_flight(&self) -> (u32, u64) {
        let count = self.total_max_in_flight().saturating_add(self.unattributed_amount());
        (count.slots, count.kv_tokens)
    }

    /// Records a load report of the upstream.
    pub fn observe_load(&mut self, now: Instant, report: LoadReport) {
        self.last_load = report.load;
        if let Some(sample) = LoadSample::new(now, report, self.settings.load_lag) {
            self.samples.push(sample);
        }
        self.reconcile(now);
    }

    /// Records the report of one node and returns the allowance for it, which must be sent at once.
    pub fn handle_report(
        &mut self,
        now: Instant,
        node: &NodeId,
        start: &StartId,
        report: &SlotReport,
    ) -> SlotAllowance {
        self.update_ramp(now, report);
        let is_new = self.get_or_create_reporter(now, node, start, report.epoch).record_report(
            now,
            report,
            ALLOWANCE_LIFETIME,
        );
        if !is_new {
            return self.build_allowance(
                report.sequence,
                SlotAmount::default(),
                Some("report out of order"),
            );
        }
        self.reconcile(now);
        let amount =
            if self.is_granting() { self.available_to(now, node) } else { SlotAmount::default() };
        if let Some(reporter) = self.reporters.get_mut(node) {
            reporter.grant(now, amount, ALLOWANCE_LIFETIME);
        }
        self.build_allowance(report.sequence, amount, self.refusal.as_deref())
    }

    /// Part of the limit that this owner may grant at `now`, in requests and KV tokens.
    pub fn budget(&self, now: Instant) -> (u32, u64) {
        let budget = self.budget_amount(now);
        (budget.slots, budget.kv_tokens)
    }

    /// Passes the limit and the time to first token in a report to the ramp, even if the report is
    /// then rejected as out of order.
    fn update_ramp(&mut self, now: Instant, report: &SlotReport) {
        self.ramp.inherit_limit(now, report.limit, &report.upstream_start);
        let is_current =
            self.ramp.upstream_start().is_some_and(|start| **start == *report.upstream_start);
        if report.first_token_ms > 0 && is_current {
            let latency = Duration::from_millis(u64::from(report.first_token_ms));
            self.ramp.observe_first_token(now, latency);
        }
        self.ramp.advance(now);
    }

    /// Returns the state of the reporter `node`, which is created if it is missing. If the node has
    /// restarted, the state of its previous process is moved to `replaced`.
    fn get_or_create_reporter(
        &mut self,
        now: Instant,
        node: &NodeId,
        start: &StartId,
        epoch: u64,
    ) -> &mut Reporter {
        let is_replaced = self.reporters.get(node).is_some_and(|reporter| reporter.start != *start);
        if is_replaced && let Some(reporter) = self.reporters.remove(node) {
            self.replaced.push(ReplacedReporter {
                amount: reporter.max_in_flight(),
                expires_at: reporter.expires_at,
            });
        }
        self.reporters
            .entry(node.clone())
            .or_insert_with(|| Reporter::new(now, start.clone(), epoch, ALLOWANCE_LIFETIME))
    }

    /// Reserves the amounts of reporters without an unexpired vote, and releases what the load
    /// reports show to be unused. Without load reports, all requests started more than
    /// `longest_request` ago are taken to have ended.
    fn reconcile(&mut self, now: Instant) {
        for reporter in self.reporters.values_mut() {
            if !reporter.has_unexpired_vote(now) && reporter.reserved.is_none() {
                reporter.reserved = Some(reporter.max_in_flight());
            }
        }
        let voting: Vec<&Reporter> =
            self.reporters.values().filter(|reporter| reporter.has_unexpired_vote(now)).collect();
        let unattributed_in = |sample: &LoadSample| {
            let attributed =
                voting.iter().map(|reporter| reporter.min_in_flight(sample.from, sample.to));
            attributed.sum::<Option<u32>>().map(|sum| sample.load.saturating_sub(sum))
        };
        let unattributed_bound = match self.settings.has_load_reports {
            true => self
                .samples
                .take_newest(unattributed_in)
                .map(|(sample, requests)| (sample.from, requests)),
            false => now.checked_sub(self.settings.longest_request).map(|from| (from, 0)),
        };
        if let Some((from, requests)) = unattributed_bound {
            self.apply_unattributed_bound(now, from, requests);
        }
        self.clear_unattributed(now);
    }

    /// Applies a bound: of the requests started before `from`, at most `bound_requests` are still
    /// in flight without belonging to a reporter with an unexpired vote.
    ///
    /// Each reserved amount whose `expires_at` is before `from` is lowered to the bound. The
    /// unexpired votes of reporters whose `previous_grants_expire_at` is before `from` begin to
    /// count. `unattributed` is lowered to the bound, or set to it when further votes begin to
    /// count.
    fn apply_unattributed_bound(&mut self, now: Instant, from: Instant, bound_requests: u32) {
        let largest_kv = self.settings.largest_request_kv;
        let bound = SlotAmount {
            slots: bound_requests,
            kv_tokens: u64::from(bound_requests).saturating_mul(largest_kv),
        };
        let mut has_new_vote = false;
        for reporter in self.reporters.values_mut() {
            match &mut reporter.reserved {
                Some(reserved) if reporter.expires_at < from => *reserved = reserved.min(bound),
                Some(_) => {}
                None if !reporter.is_vote_counted && reporter.previous_grants_expire_at < from => {
                    reporter.is_vote_counted = true;
                    has_new_vote = true;
                }
                None => {}
            }
        }
        for replaced in self.replaced.iter_mut().filter(|replaced| replaced.expires_at < from) {
            replaced.amount = replaced.amount.min(bound);
        }
        self.replaced.retain(|replaced| replaced.amount.slots > 0);
        let is_empty = |reporter: &Reporter| {
            !reporter.has_unexpired_vote(now)
                && reporter.expires_at < from
                && reporter.max_in_flight().slots == 0
        };
        self.reporters.retain(|_, reporter| !is_empty(reporter));
        // The bound only decreases, except when further votes begin to count: it must then include
        // the requests that were started under another owner before these votes counted here.
        self.unattributed =
            if has_new_vote { bound_requests } else { self.unattributed.min(bound_requests) };
    }

    /// Clears the unattributed requests once as many votes as the limit divisor have counted here
    /// for the longest time that a request can run. By then the requests of previous members have
    /// ended too.
    fn clear_unattributed(&mut self, now: Instant) {
        let is_counted = |voter: &NodeId| {
            let reporter = self.reporters.get(voter);
            reporter.is_some_and(|reporter| {
                reporter.has_unexpired_vote(now) && reporter.is_vote_counted
            })
        };
        let counted = self.voters.voters.iter().filter(|voter| is_counted(voter)).count();
        if counted < self.voters.limit_divisor {
            self.all_votes_since = None;
        } else if now > *self.all_votes_since.get_or_insert(now) + self.settings.longest_request {
            self.unattributed = 0;
        }
    }

    fn limit(&self) -> SlotAmount {
        SlotAmount { slots: self.ramp.limit(), kv_tokens: self.settings.kv_tokens }
    }

    fn unattributed_amount(&self) -> SlotAmount {
        let kv = u64::from(self.unattributed).saturating_mul(self.settings.largest_request_kv);
        SlotAmount { slots: self.unattributed, kv_tokens: kv.min(self.settings.kv_tokens) }
    }

    /// Most that the reporters with an unexpired vote together may have in flight.
    fn budget_amount(&self, now: Instant) -> SlotAmount {
        let is_counted = |voter: &&NodeId| {
            let reporter = self.reporters.get(*voter);
            reporter.is_some_and(|reporter| {
                reporter.has_unexpired_vote(now) && reporter.is_vote_counted
            })
        };
        let votes = self.voters.voters.iter().filter(is_counted).count();
        // Only one owner at a time has a majority, so at most one share is rounded up.
        let has_majority = votes * 2 > self.voters.limit_divisor;
        let share = self.limit().share(votes, self.voters.limit_divisor, has_majority);
        let reserved =
            self.unattributed_amount().saturating_add(self.max_in_flight_without_vote(now));
        // The share is the part of the limit for which the owner has votes. With a majority, the
        // reserved requests take up the rest of the limit first and reduce the share only by what
        // does not fit there. An owner without a majority cannot tell which of them are within
        // another owner's share, so it deducts all of them from its own share.
        match has_majority {
            true => share.min(self.limit().saturating_sub(reserved)),
            false => share.saturating_sub(reserved),
        }
    }

    /// Most that all nodes known here, including replaced processes, may have in flight.
    fn total_max_in_flight(&self) -> SlotAmount {
        let replaced = self.replaced.iter().map(|replaced| replaced.amount);
        let reporters = self.reporters.values().map(Reporter::max_in_flight);
        reporters.chain(replaced).fold(SlotAmount::default(), SlotAmount::saturating_add)
    }

    /// Most that `node` may have in flight; zero if it has no unexpired vote.
    fn available_to(&self, now: Instant, node: &NodeId) -> SlotAmount {
        let voting: Vec<_> = self
            .reporters
            .iter()
            .filter(|(_, reporter)| reporter.has_unexpired_vote(now))
            .collect();
        let Some(position) = voting.iter().position(|(id, _)| *id == node) else {
            return SlotAmount::default();
        };
        let budget = self.budget_amount(now);
        let claims: Vec<_> = voting.iter().map(|(_, reporter)| reporter.claim()).collect();
        let others = voting.iter().filter(|(id, _)| *id != node);
        let others = others.fold(SlotAmount::default(), |sum, (_, reporter)| {
            sum.saturating_add(reporter.max_in_flight())
        });
        divide(budget, &claims)[position].min(budget.saturating_sub(others))
    }

    /// Most that the reporters without an unexpired vote and the replaced processes may have in
    /// flight. This includes new reporters, whose vote has not begun yet.
    fn max_in_flight_without_vote(&self, now: Instant) -> SlotAmount {
        let replaced = self.replaced.iter().map(|replaced| replaced.amount);
        let without_vote =
            self.reporters.values().filter(|reporter| !reporter.has_unexpired_vote(now));
        without_vote
            .map(Reporter::max_in_flight)
            .chain(replaced)
            .fold(SlotAmount::default(), SlotAmount::saturating_add)
    }

    fn build_allowance(
        &self,
        sequence: u64,
        amount: SlotAmount,
        refusal: Option<&str>,
    ) -> SlotAllowance {
        SlotAllowance {
            replica: self.replica.to_string(),
            slots: amount.slots,
            kv_tokens: amount.kv_tokens,
            lifetime_ms: u32::try_from(ALLOWANCE_LIFETIME.as_millis()).unwrap_or(u32::MAX),
            generation: self.generation,
            address: self.address.clone(),
            upstream_start: self.ramp.upstream_start().map(ToString::to_string).unwrap_or_default(),
            refusal: refusal.unwrap_or_default().to_owned(),
            load: self.last_load,
            sequence,
            limit: self.ramp.limit(),
        }
    }
}
