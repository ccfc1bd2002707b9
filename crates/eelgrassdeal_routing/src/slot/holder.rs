//! A node's side of the accounting, for all its replicas.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use eelgrassdeal_schema::peer::{
    AllowanceBatch, ReportBatch, RevokeNotice, SlotAllowance, SlotReport,
};
use eelgrassdeal_types::{Generation, NodeId, ReplicaId};

use super::{ALLOWANCE_LIFETIME, Amount, REPORT_INTERVAL, SlotDemand};
use crate::hash::rendezvous_weight;

/// Time between two reports when more requests wait than the owner knows of.
const URGENT_INTERVAL: Duration = Duration::from_millis(50);

/// Time after a change of the owner in which reports are sent more often, so that the new owner
/// soon knows what runs.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);

/// Load above this multiple of the average ends the prefix affinity.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// How a node learns how much it may start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SlotPolicy {
    /// From the allowances of the owners.
    #[default]
    Owner,
    /// Baseline: the limit divided by the number of nodes, without an owner.
    EqualShares,
    /// Baseline: no limit, each replica in turn.
    RoundRobin,
}

/// What a baseline policy needs to know of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLimit {
    /// Requests in flight over all nodes.
    pub slots: u32,
    /// KV tokens in flight over all nodes.
    pub kv_tokens: u64,
    /// Number of nodes that share the limit.
    pub nodes: u32,
    /// Address of the upstream.
    pub address: String,
    /// Generation of the group.
    pub generation: Generation,
}

/// Where a request may run.
#[derive(Clone, Copy, Debug)]
pub struct StartChoice<'a> {
    /// Replicas of the model or upstreams of the service.
    pub candidates: &'a [ReplicaId],
    /// Replicas that were tried before or are reserved for suspects.
    pub excluded: &'a [ReplicaId],
    /// KV tokens that the request may occupy: prompt estimate plus `max_tokens`.
    pub kv_tokens: u64,
    /// Key from [`crate::affinity_key`], if a prompt prefix may be cached.
    pub affinity: Option<[u8; 32]>,
}

/// Where a request is to be sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotTarget {
    /// HTTP address of the upstream.
    pub address: String,
    /// Generation of the group.
    pub generation: Generation,
    /// Start identity of the upstream, if the owner knows it.
    pub upstream_start: String,
}

/// A started request; goes back to [`SlotHolder::finish`].
#[derive(Debug)]
#[must_use = "the slot stays in use until it is given to `SlotHolder::finish`"]
pub struct StartedSlot {
    /// Replica that runs the request.
    pub replica: ReplicaId,
    /// KV tokens counted for it.
    pub kv_tokens: u64,
    /// Where it is sent.
    pub target: SlotTarget,
    valid_until: Option<Instant>,
}

#[derive(Clone, Debug)]
struct HeldAllowance {
    amount: Amount,
    /// `None` for an allowance that does not lapse.
    lapse: Option<Instant>,
    target: SlotTarget,
    load: u32,
    limit: u32,
}

impl HeldAllowance {
    fn is_valid(&self, now: Instant) -> bool {
        self.lapse.is_none_or(|lapse| now < lapse)
    }
}

#[derive(Clone, Copy, Debug)]
struct SentReport {
    sequence: u64,
    sent: Instant,
    /// Fewest requests and KV tokens in flight since then.
    low: Amount,
}

/// State of one replica at this node.
#[derive(Clone, Debug, Default)]
struct HeldReplica {
    owner: Option<NodeId>,
    epoch: u64,
    switched: Option<Instant>,
    sequence: u64,
    sent: VecDeque<SentReport>,
    /// Newest answer that was applied; older ones are ignored.
    applied: u64,
    /// Smallest report whose allowance may still be used, apart from the lapse.
    floor: u64,
    /// Newest answer from the present owner.
    answered: u64,
    allowance: Option<HeldAllowance>,
    /// Limit of the replica and start identity of the upstream that the former owner told.
    former_limit: Option<(u32, String)>,
    refusal: String,
    in_flight: Amount,
    /// Requests started since the load in the allowance was told.
    started: u32,
    demand: SlotDemand,
    reported_demand: u32,
    suspects: u32,
    first_token: Duration,
}

impl HeldReplica {
    fn valid_allowance(&self, now: Instant) -> Option<&HeldAllowance> {
        self.allowance.as_ref().filter(|allowance| allowance.is_valid(now))
    }

    fn remaining(&self, now: Instant) -> Amount {
        self.valid_allowance(now)
            .map_or_else(Amount::default, |allowance| allowance.amount.less(self.in_flight))
    }

    fn has_room(&self, now: Instant, kv_tokens: u64) -> bool {
        let remaining = self.remaining(now);
        remaining.slots > 0 && remaining.kv >= kv_tokens
    }

    /// Requests at the replica as far as this node knows.
    fn load(&self) -> u32 {
        let told = self.allowance.as_ref().map_or(0, |allowance| allowance.load);
        told.saturating_add(self.started).max(self.in_flight.slots)
    }

    fn limit(&self) -> u32 {
        self.allowance.as_ref().map_or(1, |allowance| allowance.limit.max(1))
    }

    fn last_sent(&self) -> Option<Instant> {
        self.sent.back().map(|report| report.sent)
    }

    fn due(&self) -> Option<Instant> {
        let sent = self.last_sent()?;
        let is_urgent = self.demand.requests > self.reported_demand;
        let is_settling = self.is_settling(sent);
        let interval = match (is_urgent, is_settling) {
            (true, _) => URGENT_INTERVAL,
            (false, true) => SETTLE_INTERVAL,
            (false, false) => REPORT_INTERVAL,
        };
        Some(sent + interval)
    }

    fn is_settling(&self, at: Instant) -> bool {
        self.switched.is_some_and(|switched| at < switched + SETTLE_TIME)
    }

    /// Makes `owner` the present one, unless the former one may still count this node's report.
    fn select_owner(&mut self, now: Instant, owner: &NodeId) -> bool {
        match (&self.owner, self.last_sent()) {
            (Some(present), _) if present == owner => return true,
            (Some(_), Some(sent)) if now < sent + ALLOWANCE_LIFETIME => return false,
            _ => {}
        }
        self.owner = Some(owner.clone());
        self.epoch += 1;
        self.switched = Some(now);
        self.answered = 0;
        self.applied = self.sequence;
        self.floor = self.sequence + 1;
        let former = self.allowance.take();
        self.former_limit = former.map(|held| (held.limit, held.target.upstream_start));
        self.sent.clear();
        true
    }

    /// Limit and start identity for the report: a new owner goes on from the limit of the former
    /// one, and a latency is of a certain start. Otherwise both are left out to save bytes.
    fn told_limit(&self, now: Instant) -> (u32, String) {
        match (&self.former_limit, &self.allowance) {
            (Some((limit, start)), _) if self.is_settling(now) => (*limit, start.clone()),
            (_, Some(held)) if !self.first_token.is_zero() => {
                (0, held.target.upstream_start.clone())
            }
            _ => (0, String::new()),
        }
    }

    fn build_report(&mut self, now: Instant, replica: &ReplicaId) -> SlotReport {
        self.sequence += 1;
        let answered = self.answered;
        let is_kept = |report: &SentReport| {
            now < report.sent + ALLOWANCE_LIFETIME || report.sequence == answered
        };
        self.sent.retain(is_kept);
        let is_active = |report: &&SentReport| now < report.sent + ALLOWANCE_LIFETIME;
        let oldest = self.sent.iter().find(is_active).map_or(self.sequence, |sent| sent.sequence);
        let low = self.sent.iter().find(|report| report.sequence == answered);
        let low = low.map_or_else(Amount::default, |report| report.low);
        let (limit, upstream_start) = self.told_limit(now);
        let report = SlotReport {
            replica: replica.to_string(),
            in_flight: self.in_flight.slots,
            in_flight_kv: self.in_flight.kv,
            wanted: self.demand.requests,
            wanted_kv: self.demand.kv_tokens,
            suspects: self.suspects,
            sequence: self.sequence,
            active_from: oldest.max(self.floor),
            answered,
            epoch: self.epoch,
            in_flight_low: low.slots,
            in_flight_kv_low: low.kv,
            largest_kv: self.demand.largest_kv,
            first_token_ms: u32::try_from(self.first_token.as_millis()).unwrap_or(u32::MAX),
            limit,
            upstream_start,
        };
        self.first_token = Duration::ZERO;
        self.reported_demand = self.demand.requests;
        self.sent.push_back(SentReport { sequence: self.sequence, sent: now, low: self.in_flight });
        report
    }

    fn apply(&mut self, now: Instant, answer: &SlotAllowance) {
        let Some(report) = self.sent.iter().find(|report| report.sequence == answer.sequence)
        else {
            return;
        };
        let lapse = report.sent + Duration::from_millis(u64::from(answer.lifetime_ms));
        let lapse = lapse.min(report.sent + ALLOWANCE_LIFETIME);
        if answer.sequence <= self.applied || now >= lapse {
            return;
        }
        self.applied = answer.sequence;
        self.floor = answer.sequence;
        self.answered = answer.sequence;
        self.started = 0;
        answer.refusal.clone_into(&mut self.refusal);
        self.allowance = Some(HeldAllowance {
            amount: Amount { slots: answer.slots, kv: answer.kv_tokens },
            lapse: Some(lapse),
            target: SlotTarget {
                address: answer.address.clone(),
                generation: answer.generation,
                upstream_start: answer.upstream_start.clone(),
            },
            load: answer.load,
            limit: answer.limit,
        });
    }

    /// Gives up the allowance, and with it the answers that are still on their way.
    fn drop_allowance(&mut self) {
        self.applied = self.sequence;
        self.floor = self.sequence + 1;
        if let Some(allowance) = &mut self.allowance {
            allowance.amount = Amount::default();
        }
    }
}

/// Allowances and requests in flight of one node, for all replicas that it reports.
#[derive(Clone, Debug, Default)]
pub struct SlotHolder {
    policy: SlotPolicy,
    replicas: BTreeMap<ReplicaId, HeldReplica>,
    turn: usize,
}

impl SlotHolder {
    /// Holds nothing yet.
    pub fn new(policy: SlotPolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Reports of all replicas that are due at `now`, by owner; to be sent at once.
    ///
    /// `owners` names the owner of each replica that this node reports. When the owner of a
    /// replica changed, the node is silent until its last allowance lapsed. A report counts as
    /// sent at `now`, whether or not it arrives.
    pub fn build_reports(
        &mut self,
        now: Instant,
        owners: &BTreeMap<ReplicaId, NodeId>,
    ) -> Vec<(NodeId, ReportBatch)> {
        let mut batches: BTreeMap<NodeId, ReportBatch> = BTreeMap::new();
        for (replica, owner) in owners {
            let held = self.replicas.entry(replica.clone()).or_default();
            if !held.select_owner(now, owner) || held.due().is_some_and(|due| now < due) {
                continue;
            }
            let report = held.build_report(now, replica);
            batches.entry(owner.clone()).or_default().report.push(report);
        }
        batches.into_iter().collect()
    }

    /// When the next report is due; `None` before the first [`Self::build_reports`].
    pub fn next_report(&self) -> Option<Instant> {
        self.replicas.values().filter_map(HeldReplica::due).min()
    }

    /// Takes over the answer of `owner`; parts that are late or out of order are ignored.
    pub fn apply_allowances(&mut self, now: Instant, owner: &NodeId, batch: &AllowanceBatch) {
        for answer in &batch.allowance {
            match self.replicas.get_mut(answer.replica.as_str()) {
                Some(held) if held.owner.as_ref() == Some(owner) => held.apply(now, answer),
                _ => {}
            }
        }
    }

    /// Drops the allowance that `owner` withdraws.
    pub fn apply_revoke(&mut self, owner: &NodeId, notice: &RevokeNotice) {
        match self.replicas.get_mut(notice.replica.as_str()) {
            Some(held) if held.owner.as_ref() == Some(owner) => {
                held.drop_allowance();
                notice.reason.clone_into(&mut held.refusal);
            }
            _ => {}
        }
    }

    /// Gives up all allowances, for a node that shuts down; the next reports tell the owners.
    pub fn release_allowances(&mut self) {
        self.replicas.values_mut().for_each(HeldReplica::drop_allowance);
    }

    /// Sets the fixed limit that the baseline policies use.
    pub fn set_limit(&mut self, replica: &ReplicaId, limit: &ReplicaLimit) {
        let nodes = limit.nodes.max(1);
        let amount = match self.policy {
            SlotPolicy::Owner => return,
            SlotPolicy::EqualShares => {
                Amount { slots: limit.slots / nodes, kv: limit.kv_tokens / u64::from(nodes) }
            }
            SlotPolicy::RoundRobin => Amount { slots: u32::MAX, kv: u64::MAX },
        };
        let target = SlotTarget {
            address: limit.address.clone(),
            generation: limit.generation,
            upstream_start: String::new(),
        };
        let allowance = HeldAllowance { amount, lapse: None, target, load: 0, limit: limit.slots };
        self.replicas.entry(replica.clone()).or_default().allowance = Some(allowance);
    }

    /// Forgets a replica that no longer exists, once nothing of this node runs there.
    pub fn remove_replica(&mut self, replica: &ReplicaId) {
        match self.replicas.get_mut(replica) {
            Some(held) if held.in_flight.slots > 0 => held.drop_allowance(),
            _ => {
                self.replicas.remove(replica);
            }
        }
    }

    /// Sets what waits for one replica.
    pub fn set_demand(&mut self, replica: &ReplicaId, demand: SlotDemand) {
        self.replicas.entry(replica.clone()).or_default().demand = demand;
    }

    /// Divides what waits for a model evenly among its replicas.
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

    /// Sets how many suspects wait for a replica of their own.
    pub fn set_suspects(&mut self, replica: &ReplicaId, suspects: u32) {
        self.replicas.entry(replica.clone()).or_default().suspects = suspects;
    }

    /// Notes the time to the first token; the next report tells the owner the longest.
    pub fn record_first_token(&mut self, replica: &ReplicaId, latency: Duration) {
        if let Some(held) = self.replicas.get_mut(replica) {
            held.first_token = held.first_token.max(latency).max(Duration::from_millis(1));
        }
    }

    /// Starts a request at one of the candidates, `None` if none has room.
    pub fn try_start(&mut self, now: Instant, choice: &StartChoice<'_>) -> Option<StartedSlot> {
        let replica = self.choose(now, choice)?.clone();
        let held = self.replicas.get_mut(&replica)?;
        let allowance = held.valid_allowance(now)?.clone();
        held.in_flight = held.in_flight.plus(Amount { slots: 1, kv: choice.kv_tokens });
        held.started = held.started.saturating_add(1);
        Some(StartedSlot {
            replica,
            kv_tokens: choice.kv_tokens,
            target: allowance.target,
            valid_until: allowance.lapse,
        })
    }

    /// Whether the request of `slot` may still be sent: a node that was paused after
    /// [`Self::try_start`] may have lost its allowance.
    pub fn may_send(&self, now: Instant, slot: &StartedSlot) -> bool {
        let is_within = |held: &HeldReplica| {
            held.valid_allowance(now).is_some_and(|allowance| {
                held.in_flight.slots <= allowance.amount.slots
                    && held.in_flight.kv <= allowance.amount.kv
                    && allowance.target.generation == slot.target.generation
            })
        };
        slot.valid_until.is_none_or(|until| now < until)
            || self.replicas.get(&slot.replica).is_some_and(is_within)
    }

    /// Ends a request.
    pub fn finish(&mut self, slot: StartedSlot) {
        let Some(held) = self.replicas.get_mut(&slot.replica) else { return };
        held.in_flight = held.in_flight.less(Amount { slots: 1, kv: slot.kv_tokens });
        held.started = held.started.saturating_sub(1);
        for report in &mut held.sent {
            report.low = report.low.min(held.in_flight);
        }
    }

    /// Requests and KV tokens of this node in flight at `replica`.
    pub fn in_flight(&self, replica: &ReplicaId) -> (u32, u64) {
        let held = self.replicas.get(replica);
        held.map_or((0, 0), |held| (held.in_flight.slots, held.in_flight.kv))
    }

    /// Requests and KV tokens that this node may still start at `replica`.
    pub fn remaining(&self, now: Instant, replica: &ReplicaId) -> (u32, u64) {
        let remaining = self.replicas.get(replica).map(|held| held.remaining(now));
        remaining.map_or((0, 0), |remaining| (remaining.slots, remaining.kv))
    }

    /// Whether the owner grants allowances at `replica`, even if this node's is used up or 0.
    pub fn is_open(&self, now: Instant, replica: &ReplicaId) -> bool {
        self.open_generation(now, replica).is_some()
    }

    /// Generation for which the owner grants allowances at `replica`; `None` if it grants none.
    pub fn open_generation(&self, now: Instant, replica: &ReplicaId) -> Option<Generation> {
        let held = self.replicas.get(replica).filter(|held| held.refusal.is_empty())?;
        held.valid_allowance(now).map(|allowance| allowance.target.generation)
    }

    /// Why the owner grants nothing at `replica`; empty if it did not say.
    pub fn refusal(&self, replica: &ReplicaId) -> &str {
        self.replicas.get(replica).map_or("", |held| held.refusal.as_str())
    }

    /// Owner that this node reports `replica` to.
    pub fn owner(&self, replica: &ReplicaId) -> Option<&NodeId> {
        self.replicas.get(replica)?.owner.as_ref()
    }

    fn choose<'a>(&mut self, now: Instant, choice: &StartChoice<'a>) -> Option<&'a ReplicaId> {
        let candidates = choice.candidates;
        let known: Vec<(&'a ReplicaId, &HeldReplica)> = candidates
            .iter()
            .filter_map(|replica| self.replicas.get(replica).map(|held| (replica, held)))
            .filter(|(_, held)| held.valid_allowance(now).is_some())
            .collect();
        let open: Vec<_> = known
            .iter()
            .filter(|(replica, held)| {
                held.has_room(now, choice.kv_tokens) && !choice.excluded.contains(replica)
            })
            .collect();
        if open.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        let turn = self.turn;
        if self.policy == SlotPolicy::RoundRobin {
            return Some(open[turn % open.len()].0);
        }
        let load: u32 = known.iter().map(|(_, held)| held.load()).sum();
        let limit: u32 = known.iter().map(|(_, held)| held.limit()).sum();
        let average = f64::from(load) / f64::from(limit.max(1));
        let is_within = |held: &HeldReplica| {
            let bound = (AFFINITY_LOAD_FACTOR * average * f64::from(held.limit())).ceil();
            f64::from(held.load()) <= bound
        };
        let preferred = choice.affinity.and_then(|key| {
            open.iter()
                .filter(|(_, held)| is_within(held))
                .max_by_key(|(replica, _)| rendezvous_weight(&key, replica))
        });
        let by_load = || {
            let ratio = |held: &HeldReplica| f64::from(held.load()) / f64::from(held.limit());
            // Starts at another replica each time, so that equal loads share the requests.
            let rotated = open.iter().cycle().skip(turn % open.len()).take(open.len());
            rotated.min_by(|(_, left), (_, right)| ratio(left).total_cmp(&ratio(right)))
        };
        preferred.or_else(by_load).map(|(replica, _)| *replica)
    }
}
