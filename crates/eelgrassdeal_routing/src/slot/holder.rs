//! The allowances and requests in flight of one node, for all replicas about which it sends
//! reports.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use eelgrassdeal_schema::peer::{
    AllowanceBatch, ReportBatch, RevokeNotice, SlotAllowance, SlotReport,
};
use eelgrassdeal_types::{Generation, NodeId, ReplicaId};

use super::{ALLOWANCE_LIFETIME, REPORT_INTERVAL, SlotAmount, SlotDemand};
use crate::hash::rendezvous_weight;

/// Interval between two reports while more requests wait than the last report stated.
const URGENT_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Time after a change of the owner in which reports are sent at
/// [`OWNER_CHANGE_REPORT_INTERVAL`], so that the new owner soon knows the requests in flight.
const OWNER_CHANGE_PERIOD: Duration = Duration::from_secs(3);
const OWNER_CHANGE_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// A replica whose load relative to its limit exceeds the average by this factor is not preferred
/// for its prefix cache.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// How a node determines how many requests it may start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SlotPolicy {
    /// By the allowances that the owners of the replicas grant.
    #[default]
    Owner,
    /// Baseline against which measurements compare [`Self::Owner`]: each node gets the limit
    /// divided by the number of nodes, without an owner.
    EqualShares,
    /// Baseline against which measurements compare [`Self::Owner`]: no limit, replicas are used in
    /// rotation.
    RoundRobin,
}

/// Fixed limit and address of a replica under the baseline policies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLimit {
    /// Limit on the requests in flight, summed over all nodes.
    pub slots: u32,
    /// Limit on the KV tokens in flight, summed over all nodes.
    pub kv_tokens: u64,
    /// Number of nodes that share the limit; 0 counts as 1.
    pub nodes: u32,
    /// HTTP address of the upstream.
    pub address: String,
    /// Generation of the group, see [`Generation`]; 0 for a plain service.
    pub generation: Generation,
}

/// Where a request may run and how much room it needs.
#[derive(Clone, Copy, Debug)]
pub struct StartConstraints<'a> {
    /// Replicas of the model, or upstreams of the plain service.
    pub candidates: &'a [ReplicaId],
    /// Replicas at which the request failed before, or that are reserved for suspects.
    pub excluded: &'a [ReplicaId],
    /// KV tokens that the request may occupy: prompt estimate plus `max_tokens`.
    pub kv_tokens: u64,
    /// Key from [`crate::affinity_key`], if a prompt prefix may be cached.
    pub affinity: Option<[u8; 32]>,
}

/// Upstream to which a request is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotDestination {
    /// HTTP address of the upstream.
    pub address: String,
    /// Generation of the group, see [`Generation`]; 0 for a plain service.
    pub generation: Generation,
    /// Start identity of the upstream; empty if the owner does not know it.
    pub upstream_start: String,
}

/// A slot in use by a started request. The caller passes it to [`SlotHolder::finish`] at the end.
#[derive(Debug)]
#[must_use = "the slot stays in use until it is given to `SlotHolder::finish`"]
pub struct StartedSlot {
    /// Replica that runs the request.
    pub replica: ReplicaId,
    /// KV tokens counted for the request.
    pub kv_tokens: u64,
    /// Upstream to which the request is sent.
    pub destination: SlotDestination,
    /// Expiry of the allowance under which the request was started; `None` if that allowance does
    /// not expire, under a baseline policy.
    valid_until: Option<Instant>,
}

/// An allowance as applied by this node.
#[derive(Clone, Debug)]
struct HeldAllowance {
    amount: SlotAmount,
    /// `None` for an allowance that does not expire, under a baseline policy.
    expires_at: Option<Instant>,
    destination: SlotDestination,
    /// Requests running and waiting at the upstream when it last reported its load.
    load: u32,
    /// Limit of the replica over all nodes.
    limit: u32,
}

impl HeldAllowance {
    fn is_valid(&self, now: Instant) -> bool {
        self.expires_at.is_none_or(|expires_at| now < expires_at)
    }
}

/// A report whose allowance may still be in use, or whose answer was the last to be applied.
#[derive(Clone, Copy, Debug)]
struct SentReport {
    sequence: u64,
    sent: Instant,
    /// Minimum requests and KV tokens in flight since `sent`.
    min_in_flight: SlotAmount,
}

/// Allowance, requests in flight and demand of this node at one replica.
#[derive(Clone, Debug, Default)]
struct ReplicaState {
    owner: Option<NodeId>,
    /// Increases with every change of the owner.
    epoch: u64,
    owner_changed_at: Option<Instant>,
    /// Sequence number of the latest report; increases over all owners.
    sequence: u64,
    sent: VecDeque<SentReport>,
    /// Only answers with a higher sequence number than this are applied from now on. It is the
    /// number of the last applied answer, or that of the latest report when the allowances were
    /// given up.
    last_ignored_sequence: u64,
    /// Smallest sequence number whose allowance was neither superseded nor given up. Its expiry is
    /// checked separately, in `build_report`.
    oldest_usable_sequence: u64,
    /// Sequence number of the latest applied answer of the present owner, which the next report
    /// names; 0 for none.
    answered_sequence: u64,
    allowance: Option<HeldAllowance>,
    /// Limit of the replica and start identity of the upstream from the last allowance of the
    /// previous owner.
    previous_owner_limit: Option<(u32, String)>,
    /// Why the owner grants nothing, as stated in the last applied answer or revocation; empty if
    /// the owner grants allowances or nothing was applied yet.
    refusal: String,
    in_flight: SlotAmount,
    /// Requests started since the allowance was applied, less those finished: an estimate of what
    /// the load in the allowance does not include.
    started_since_load: u32,
    demand: SlotDemand,
    /// Number of waiting requests that the last report stated.
    reported_demand: u32,
    /// Waiting requests that are suspected of crashing upstreams.
    suspects: u32,
    /// Longest time to first token since the last report; zero for none.
    longest_first_token: Duration,
}

impl ReplicaState {
    fn valid_allowance(&self, now: Instant) -> Option<&HeldAllowance> {
        self.allowance.as_ref().filter(|allowance| allowance.is_valid(now))
    }

    fn remaining(&self, now: Instant) -> SlotAmount {
        self.valid_allowance(now).map_or_else(SlotAmount::default, |allowance| {
            allowance.amount.saturating_sub(self.in_flight)
        })
    }

    fn has_room(&self, now: Instant, kv_tokens: u64) -> bool {
        let remaining = self.remaining(now);
        remaining.slots > 0 && remaining.kv_tokens >= kv_tokens
    }

    /// Estimate of the requests running and waiting at the replica, over all nodes.
    fn load(&self) -> u32 {
        let reported = self.allowance.as_ref().map_or(0, |allowance| allowance.load);
        reported.saturating_add(self.started_since_load).max(self.in_flight.slots)
    }

    fn limit(&self) -> u32 {
        self.allowance.as_ref().map_or(1, |allowance| allowance.limit.max(1))
    }

    fn last_sent(&self) -> Option<Instant> {
        self.sent.back().map(|report| report.sent)
    }

    fn next_report_at(&self) -> Option<Instant> {
        let sent = self.last_sent()?;
        let is_urgent = self.demand.requests > self.reported_demand;
        let is_after_owner_change = self.is_after_owner_change(sent);
        let interval = match (is_urgent, is_after_owner_change) {
            (true, _) => URGENT_REPORT_INTERVAL,
            (false, true) => OWNER_CHANGE_REPORT_INTERVAL,
            (false, false) => REPORT_INTERVAL,
        };
        Some(sent + interval)
    }

    fn is_after_owner_change(&self, at: Instant) -> bool {
        self.owner_changed_at.is_some_and(|changed_at| at < changed_at + OWNER_CHANGE_PERIOD)
    }

    /// Makes `owner` the present owner; returns `false` while the previous owner may still count
    /// this node's report as a vote.
    fn select_owner(&mut self, now: Instant, owner: &NodeId) -> bool {
        match (&self.owner, self.last_sent()) {
            (Some(present), _) if present == owner => return true,
            (Some(_), Some(sent)) if now < sent + ALLOWANCE_LIFETIME => return false,
            _ => {}
        }
        self.owner = Some(owner.clone());
        self.epoch += 1;
        self.owner_changed_at = Some(now);
        self.answered_sequence = 0;
        self.last_ignored_sequence = self.sequence;
        self.oldest_usable_sequence = self.sequence + 1;
        let previous = self.allowance.take();
        self.previous_owner_limit =
            previous.map(|allowance| (allowance.limit, allowance.destination.upstream_start));
        self.sent.clear();
        true
    }

    /// Limit and start identity of the upstream for the next report:
    ///
    /// - For [`OWNER_CHANGE_PERIOD`] after a change of the owner, both are from the last allowance
    ///   of the previous owner, so that the new owner inherits the limit.
    /// - Otherwise, a report with a time to first token has limit 0 and the identity of the
    ///   upstream to which that time refers.
    /// - In all other reports, the limit is 0 and the identity is empty, to save bytes.
    fn limit_to_report(&self, now: Instant) -> (u32, String) {
        match (&self.previous_owner_limit, &self.allowance) {
            (Some((limit, start)), _) if self.is_after_owner_change(now) => (*limit, start.clone()),
            (_, Some(allowance)) if !self.longest_first_token.is_zero() => {
                (0, allowance.destination.upstream_start.clone())
            }
            _ => (0, String::new()),
        }
    }

    fn build_report(&mut self, now: Instant, replica: &ReplicaId) -> SlotReport {
        self.sequence += 1;
        let answered = self.answered_sequence;
        let is_kept = |report: &SentReport| {
            now < report.sent + ALLOWANCE_LIFETIME || report.sequence == answered
        };
        self.sent.retain(is_kept);
        let is_active = |report: &&SentReport| now < report.sent + ALLOWANCE_LIFETIME;
        let oldest = self.sent.iter().find(is_active).map_or(self.sequence, |sent| sent.sequence);
        let min_in_flight = self.sent.iter().find(|report| report.sequence == answered);
        let min_in_flight =
            min_in_flight.map_or_else(SlotAmount::default, |report| report.min_in_flight);
        let (limit, upstream_start) = self.limit_to_report(now);
        let report = SlotReport {
            replica: replica.to_string(),
            in_flight: self.in_flight.slots,
            in_flight_kv: self.in_flight.kv_tokens,
            wanted: self.demand.requests,
            wanted_kv: self.demand.kv_tokens,
            suspects: self.suspects,
            sequence: self.sequence,
            active_from: oldest.max(self.oldest_usable_sequence),
            answered,
            epoch: self.epoch,
            in_flight_low: min_in_flight.slots,
            in_flight_kv_low: min_in_flight.kv_tokens,
            largest_kv: self.demand.largest_kv,
            first_token_ms: u32::try_from(self.longest_first_token.as_millis()).unwrap_or(u32::MAX),
            limit,
            upstream_start,
        };
        self.longest_first_token = Duration::ZERO;
        self.reported_demand = self.demand.requests;
        self.sent.push_back(SentReport {
            sequence: self.sequence,
            sent: now,
            min_in_flight: self.in_flight,
        });
        report
    }

    fn apply(&mut self, now: Instant, answer: &SlotAllowance) {
        let Some(report) = self.sent.iter().find(|report| report.sequence == answer.sequence)
        else {
            return;
        };
        let expires_at = report.sent + Duration::from_millis(u64::from(answer.lifetime_ms));
        let expires_at = expires_at.min(report.sent + ALLOWANCE_LIFETIME);
        if answer.sequence <= self.last_ignored_sequence || now >= expires_at {
            return;
        }
        self.last_ignored_sequence = answer.sequence;
        self.oldest_usable_sequence = answer.sequence;
        self.answered_sequence = answer.sequence;
        self.started_since_load = 0;
        answer.refusal.clone_into(&mut self.refusal);
        self.allowance = Some(HeldAllowance {
            amount: SlotAmount { slots: answer.slots, kv_tokens: answer.kv_tokens },
            expires_at: Some(expires_at),
            destination: SlotDestination {
                address: answer.address.clone(),
                generation: answer.generation,
                upstream_start: answer.upstream_start.clone(),
            },
            load: answer.load,
            limit: answer.limit,
        });
    }

    /// Gives up the allowance and any answers still in transit.
    fn drop_allowance(&mut self) {
        self.last_ignored_sequence = self.sequence;
        self.oldest_usable_sequence = self.sequence + 1;
        if let Some(allowance) = &mut self.allowance {
            allowance.amount = SlotAmount::default();
        }
    }
}

/// Allowances and requests in flight of one node, for all replicas about which it sends reports.
#[derive(Clone, Debug, Default)]
pub struct SlotHolder {
    policy: SlotPolicy,
    replicas: BTreeMap<ReplicaId, ReplicaState>,
    rotation: usize,
}

impl SlotHolder {
    /// Creates a holder without allowances.
    pub fn new(policy: SlotPolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Builds the reports that are due at `now`, by owner. The caller must send them at once.
    ///
    /// `owners` names the owner of each replica about which this node sends reports. After the
    /// owner of a replica changes, the node sends no report about it until one
    /// [`ALLOWANCE_LIFETIME`] has passed since the last report. A report counts as sent at `now`,
    /// whether or not it arrives.
    pub fn build_reports(
        &mut self,
        now: Instant,
        owners: &BTreeMap<ReplicaId, NodeId>,
    ) -> Vec<(NodeId, ReportBatch)> {
        let mut batches: BTreeMap<NodeId, ReportBatch> = BTreeMap::new();
        for (replica, owner) in owners {
            let state = self.replicas.entry(replica.clone()).or_default();
            if !state.select_owner(now, owner)
                || state.next_report_at().is_some_and(|due| now < due)
            {
                continue;
            }
            let report = state.build_report(now, replica);
            batches.entry(owner.clone()).or_default().report.push(report);
        }
        batches.into_iter().collect()
    }

    /// When the next report is due; `None` before the first [`Self::build_reports`].
    pub fn next_report(&self) -> Option<Instant> {
        self.replicas.values().filter_map(ReplicaState::next_report_at).min()
    }

    /// Applies the allowances from the answer of `owner`. Allowances that are expired, out of order
    /// or from a node that is not the present owner are ignored.
    pub fn apply_allowances(&mut self, now: Instant, owner: &NodeId, batch: &AllowanceBatch) {
        for answer in &batch.allowance {
            match self.replicas.get_mut(answer.replica.as_str()) {
                Some(state) if state.owner.as_ref() == Some(owner) => state.apply(now, answer),
                _ => {}
            }
        }
    }

    /// Drops the allowance that `owner` revokes.
    pub fn apply_revoke(&mut self, owner: &NodeId, notice: &RevokeNotice) {
        match self.replicas.get_mut(notice.replica.as_str()) {
            Some(state) if state.owner.as_ref() == Some(owner) => {
                state.drop_allowance();
                notice.reason.clone_into(&mut state.refusal);
            }
            _ => {}
        }
    }

    /// Gives up all allowances, for a node that shuts down. The next reports inform the owners.
    pub fn release_allowances(&mut self) {
        self.replicas.values_mut().for_each(ReplicaState::drop_allowance);
    }

    /// Sets the fixed limit of a replica under the baseline policies; has no effect under
    /// [`SlotPolicy::Owner`].
    pub fn set_limit(&mut self, replica: &ReplicaId, limit: &ReplicaLimit) {
        let nodes = limit.nodes.max(1);
        let amount = match self.policy {
            SlotPolicy::Owner => return,
            SlotPolicy::EqualShares => SlotAmount {
                slots: limit.slots / nodes,
                kv_tokens: limit.kv_tokens / u64::from(nodes),
            },
            SlotPolicy::RoundRobin => SlotAmount { slots: u32::MAX, kv_tokens: u64::MAX },
        };
        let destination = SlotDestination {
            address: limit.address.clone(),
            generation: limit.generation,
            upstream_start: String::new(),
        };
        let allowance =
            HeldAllowance { amount, expires_at: None, destination, load: 0, limit: limit.slots };
        self.replicas.entry(replica.clone()).or_default().allowance = Some(allowance);
    }

    /// Removes a replica that no longer exists. While requests of this node are in flight there,
    /// only its allowance is dropped.
    pub fn remove_replica(&mut self, replica: &ReplicaId) {
        match self.replicas.get_mut(replica) {
            Some(state) if state.in_flight.slots > 0 => state.drop_allowance(),
            _ => {
                self.replicas.remove(replica);
            }
        }
    }

    /// Sets the requests that wait for `replica`, for the next report.
    pub fn set_demand(&mut self, replica: &ReplicaId, demand: SlotDemand) {
        self.replicas.entry(replica.clone()).or_default().demand = demand;
    }

    /// Divides the requests that wait for a model evenly among its replicas, rounded up.
    pub fn spread_demand(&mut self, candidates: &[ReplicaId], demand: SlotDemand) {
        let count = u32::try_from(candidates.len().max(1)).unwrap_or(u32::MAX);
        let part = SlotDemand {
            requests: demand.requests.div_ceil(count),
            kv_tokens: demand.kv_tokens.div_ceil(u64::from(count)),
            largest_kv: demand.largest_kv,
        };
        for replica in candidates {
            self.set_demand(replica, part);
        }
    }

    /// Sets the number, for the next report, of waiting requests that are suspected of crashing
    /// upstreams and need `replica` for themselves. [`crate::SlotOwner`] does not use the number.
    pub fn set_suspects(&mut self, replica: &ReplicaId, suspects: u32) {
        self.replicas.entry(replica.clone()).or_default().suspects = suspects;
    }

    /// Records the time to first token of a request. The next report states the longest one.
    pub fn record_first_token(&mut self, replica: &ReplicaId, latency: Duration) {
        if let Some(state) = self.replicas.get_mut(replica) {
            state.longest_first_token =
                state.longest_first_token.max(latency).max(Duration::from_millis(1));
        }
    }

    /// Starts a request at one of the candidates; `None` if none of them has room.
    pub fn try_start(
        &mut self,
        now: Instant,
        constraints: &StartConstraints<'_>,
    ) -> Option<StartedSlot> {
        let replica = self.choose(now, constraints)?.clone();
        let state = self.replicas.get_mut(&replica)?;
        let allowance = state.valid_allowance(now)?.clone();
        state.in_flight = state
            .in_flight
            .saturating_add(SlotAmount { slots: 1, kv_tokens: constraints.kv_tokens });
        state.started_since_load = state.started_since_load.saturating_add(1);
        Some(StartedSlot {
            replica,
            kv_tokens: constraints.kv_tokens,
            destination: allowance.destination,
            valid_until: allowance.expires_at,
        })
    }

    /// Whether the request of `slot` may still be sent. The allowance may have expired since
    /// [`Self::try_start`] if the process was paused.
    pub fn may_send(&self, now: Instant, slot: &StartedSlot) -> bool {
        let is_within_allowance = |state: &ReplicaState| {
            state.valid_allowance(now).is_some_and(|allowance| {
                state.in_flight.slots <= allowance.amount.slots
                    && state.in_flight.kv_tokens <= allowance.amount.kv_tokens
                    && allowance.destination.generation == slot.destination.generation
            })
        };
        slot.valid_until.is_none_or(|until| now < until)
            || self.replicas.get(&slot.replica).is_some_and(is_within_allowance)
    }

    /// Releases the slot of a request that ended.
    pub fn finish(&mut self, slot: StartedSlot) {
        let Some(state) = self.replicas.get_mut(&slot.replica) else { return };
        state.in_flight =
            state.in_flight.saturating_sub(SlotAmount { slots: 1, kv_tokens: slot.kv_tokens });
        state.started_since_load = state.started_since_load.saturating_sub(1);
        for report in &mut state.sent {
            report.min_in_flight = report.min_in_flight.min(state.in_flight);
        }
    }

    /// Requests and KV tokens that this node has in flight at `replica`.
    pub fn in_flight(&self, replica: &ReplicaId) -> (u32, u64) {
        let state = self.replicas.get(replica);
        state.map_or((0, 0), |state| (state.in_flight.slots, state.in_flight.kv_tokens))
    }

    /// Requests and KV tokens that this node may still start at `replica`.
    pub fn remaining(&self, now: Instant, replica: &ReplicaId) -> (u32, u64) {
        let remaining = self.replicas.get(replica).map(|state| state.remaining(now));
        remaining.map_or((0, 0), |remaining| (remaining.slots, remaining.kv_tokens))
    }

    /// Whether this node has a valid allowance from an owner that grants allowances at `replica`.
    /// The allowance may be used up or 0.
    pub fn is_owner_granting(&self, now: Instant, replica: &ReplicaId) -> bool {
        self.granted_generation(now, replica).is_some()
    }

    /// Group generation for which the owner grants allowances at `replica`; `None` if it grants
    /// none.
    pub fn granted_generation(&self, now: Instant, replica: &ReplicaId) -> Option<Generation> {
        let state = self.replicas.get(replica).filter(|state| state.refusal.is_empty())?;
        state.valid_allowance(now).map(|allowance| allowance.destination.generation)
    }

    /// Why the owner grants nothing at `replica`, as stated in the last applied answer or
    /// revocation; empty if the owner grants allowances or nothing was applied yet.
    pub fn refusal(&self, replica: &ReplicaId) -> &str {
        self.replicas.get(replica).map_or("", |state| state.refusal.as_str())
    }

    /// Owner to which this node sends reports about `replica`; `None` before the first report.
    pub fn owner(&self, replica: &ReplicaId) -> Option<&NodeId> {
        self.replicas.get(replica)?.owner.as_ref()
    }

    fn choose<'a>(
        &mut self,
        now: Instant,
        constraints: &StartConstraints<'a>,
    ) -> Option<&'a ReplicaId> {
        let candidates = constraints.candidates;
        let with_allowance: Vec<(&'a ReplicaId, &ReplicaState)> = candidates
            .iter()
            .filter_map(|replica| self.replicas.get(replica).map(|state| (replica, state)))
            .filter(|(_, state)| state.valid_allowance(now).is_some())
            .collect();
        let eligible: Vec<_> = with_allowance
            .iter()
            .filter(|(replica, state)| {
                state.has_room(now, constraints.kv_tokens)
                    && !constraints.excluded.contains(replica)
            })
            .collect();
        if eligible.is_empty() {
            return None;
        }
        self.rotation = self.rotation.wrapping_add(1);
        let rotation = self.rotation;
        if self.policy == SlotPolicy::RoundRobin {
            return Some(eligible[rotation % eligible.len()].0);
        }
        let load: u32 = with_allowance.iter().map(|(_, state)| state.load()).sum();
        let limit: u32 = with_allowance.iter().map(|(_, state)| state.limit()).sum();
        let average = f64::from(load) / f64::from(limit.max(1));
        let allows_affinity = |state: &ReplicaState| {
            let bound = (AFFINITY_LOAD_FACTOR * average * f64::from(state.limit())).ceil();
            f64::from(state.load()) <= bound
        };
        let preferred = constraints.affinity.and_then(|key| {
            eligible
                .iter()
                .filter(|(_, state)| allows_affinity(state))
                .max_by_key(|(replica, _)| rendezvous_weight(&key, replica))
        });
        let by_load = || {
            let ratio = |state: &ReplicaState| f64::from(state.load()) / f64::from(state.limit());
            // Starts at a different replica each time, so that replicas with equal load get equal
            // shares of the requests.
            let rotated =
                eligible.iter().cycle().skip(rotation % eligible.len()).take(eligible.len());
            rotated.min_by(|(_, left), (_, right)| ratio(left).total_cmp(&ratio(right)))
        };
        preferred.or_else(by_load).map(|(replica, _)| *replica)
    }
}
