//! What the owner knows of one reporter.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use eelgrassdeal_schema::peer::SlotReport;
use eelgrassdeal_types::StartId;

use super::division::SlotClaim;
use super::{Amount, SlotDemand};

/// Answers and reports kept for a reporter; more than fit into its lifetime and the load lag.
const HISTORY_LEN: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Grant {
    sequence: u64,
    amount: Amount,
}

/// A report: when it came, and when the answer left that it names.
#[derive(Clone, Copy, Debug)]
struct HeardReport {
    received: Instant,
    answered: Option<Instant>,
    low: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Reporter {
    pub(crate) start: StartId,
    epoch: u64,
    sequence: u64,
    in_flight: Amount,
    demand: SlotDemand,
    served: Instant,
    grants: Vec<Grant>,
    answers: VecDeque<(u64, Instant)>,
    history: VecDeque<HeardReport>,
    live_until: Option<Instant>,
    /// End of the last allowance, or of the vote if that is later.
    pub(crate) lapse: Instant,
    /// When no other owner's allowance can be in use any more that was based on this vote.
    pub(crate) ripe: Instant,
    /// Whether the vote counts: it is ripe, and a load report since then was seen.
    pub(crate) is_counted: bool,
    /// What stays reserved while the reporter is silent.
    pub(crate) reserved: Option<Amount>,
}

impl Reporter {
    pub(crate) fn new(now: Instant, start: StartId, epoch: u64, lifetime: Duration) -> Self {
        Self {
            start,
            epoch,
            sequence: 0,
            in_flight: Amount::default(),
            demand: SlotDemand::default(),
            served: now,
            grants: Vec::new(),
            answers: VecDeque::new(),
            history: VecDeque::new(),
            live_until: None,
            lapse: now + lifetime,
            ripe: now + lifetime,
            is_counted: false,
            reserved: None,
        }
    }

    /// Takes over a report; `false` if it is older than one that was seen.
    pub(crate) fn hear(&mut self, now: Instant, report: &SlotReport, lifetime: Duration) -> bool {
        if report.sequence <= self.sequence {
            return false;
        }
        if report.epoch != self.epoch {
            // The node reported to another owner in between.
            self.epoch = report.epoch;
            self.is_counted = false;
            self.ripe = now + lifetime;
            self.live_until = None;
        }
        self.sequence = report.sequence;
        self.in_flight = Amount { slots: report.in_flight, kv: report.in_flight_kv };
        self.demand = SlotDemand {
            requests: report.wanted,
            kv_tokens: report.wanted_kv,
            largest_kv: report.largest_kv,
        };
        self.grants.retain(|grant| grant.sequence >= report.active_from);
        self.reserved = None;
        let answered = self.answers.iter().find(|(sequence, _)| *sequence == report.answered);
        let answered = answered.map(|(_, sent)| *sent);
        self.live_until = self.live_until.max(answered.map(|sent| sent + lifetime));
        let low = if answered.is_some() { report.in_flight_low } else { 0 };
        self.history.push_back(HeardReport { received: now, answered, low });
        if self.history.len() > HISTORY_LEN {
            self.history.pop_front();
        }
        self.lapse = self.lapse.max(self.live_until.unwrap_or(now)).max(now);
        true
    }

    /// Whether the reporter reports to no other owner at `now`.
    pub(crate) fn is_live(&self, now: Instant) -> bool {
        self.live_until.is_some_and(|until| now < until)
    }

    /// What the reporter may have in flight.
    pub(crate) fn count(&self) -> Amount {
        self.reserved.unwrap_or_else(|| {
            self.grants.iter().fold(self.in_flight, |count, grant| count.max(grant.amount))
        })
    }

    pub(crate) fn claim(&self) -> SlotClaim {
        SlotClaim { in_flight: self.in_flight, demand: self.demand, served: self.served }
    }

    /// Notes the allowance that is sent at `now`.
    pub(crate) fn grant(&mut self, now: Instant, amount: Amount, lifetime: Duration) {
        self.grants.push(Grant { sequence: self.sequence, amount });
        self.answers.push_back((self.sequence, now));
        if self.answers.len() > HISTORY_LEN {
            self.answers.pop_front();
        }
        self.lapse = self.lapse.max(now + lifetime);
        if amount.slots > self.in_flight.slots {
            self.served = now;
        }
    }

    /// Fewest requests in flight over a time that covers `from` to `to`; `None` if the reports
    /// that cover it have not come yet.
    pub(crate) fn lowest(&self, from: Instant, to: Instant) -> Option<u32> {
        let mut low = u32::MAX;
        for report in self.history.iter().filter(|report| report.received >= from) {
            low = low.min(report.low);
            if report.answered.is_some_and(|answered| answered >= to) {
                return Some(low);
            }
        }
        None
    }
}
