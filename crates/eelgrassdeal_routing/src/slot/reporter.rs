//! State that the owner keeps for each reporter.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use eelgrassdeal_schema::peer::SlotReport;
use eelgrassdeal_types::StartId;

use super::division::SlotClaim;
use super::{SlotAmount, SlotDemand};

/// Number of answers and of reports kept for a reporter. More than are exchanged during the
/// lifetime of an allowance plus the load lag.
const HISTORY_LEN: usize = 64;

/// An allowance that the node may still use, and the sequence number of the report it answered.
#[derive(Clone, Copy, Debug)]
struct Grant {
    sequence: u64,
    amount: SlotAmount,
}

/// A report, when it was received, and when the answer that it names was sent.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    received: Instant,
    answer_sent: Option<Instant>,
    /// Minimum number of requests in flight since the report that the answer was for, or 0 if the
    /// answer is not known.
    min_in_flight: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Reporter {
    /// Identity of the node's process; it changes when the process restarts.
    pub(crate) start: StartId,
    /// Increased by the node with every change of the owner that it reports to.
    epoch: u64,
    /// Sequence number of the latest report.
    sequence: u64,
    in_flight: SlotAmount,
    demand: SlotDemand,
    /// When an allowance last exceeded the requests in flight.
    last_had_room: Instant,
    grants: Vec<Grant>,
    /// Sequence numbers and send times of the latest answers.
    answers: VecDeque<(u64, Instant)>,
    history: VecDeque<ReceivedReport>,
    /// End of the vote: one lifetime after the latest answer that a report names.
    live_until: Option<Instant>,
    /// End of the last allowance, or of the vote if that is later.
    pub(crate) expires_at: Instant,
    /// Time from which no allowance that another owner granted by this node's vote is in use.
    pub(crate) exclusive_from: Instant,
    /// Whether the vote counts: the requests in flight after `exclusive_from` are known, from a
    /// load report or because the longest request would have ended since.
    pub(crate) is_counted: bool,
    /// Amount that stays reserved from the expiry of the vote until the next report; `None`
    /// otherwise.
    pub(crate) reserved: Option<SlotAmount>,
}

impl Reporter {
    pub(crate) fn new(now: Instant, start: StartId, epoch: u64, lifetime: Duration) -> Self {
        Self {
            start,
            epoch,
            sequence: 0,
            in_flight: SlotAmount::default(),
            demand: SlotDemand::default(),
            last_had_room: now,
            grants: Vec::new(),
            answers: VecDeque::new(),
            history: VecDeque::new(),
            live_until: None,
            expires_at: now + lifetime,
            exclusive_from: now + lifetime,
            is_counted: false,
            reserved: None,
        }
    }

    /// Records a report; returns `false` if it is not newer than the latest one.
    pub(crate) fn record_report(
        &mut self,
        now: Instant,
        report: &SlotReport,
        lifetime: Duration,
    ) -> bool {
        if report.sequence <= self.sequence {
            return false;
        }
        if report.epoch != self.epoch {
            // The node reported to another owner in between.
            self.epoch = report.epoch;
            self.is_counted = false;
            self.exclusive_from = now + lifetime;
            self.live_until = None;
        }
        self.sequence = report.sequence;
        self.in_flight = SlotAmount { slots: report.in_flight, kv_tokens: report.in_flight_kv };
        self.demand = SlotDemand {
            requests: report.wanted,
            kv_tokens: report.wanted_kv,
            largest_kv: report.largest_kv,
        };
        self.grants.retain(|grant| grant.sequence >= report.active_from);
        self.reserved = None;
        let answer_sent = self.answers.iter().find(|(sequence, _)| *sequence == report.answered);
        let answer_sent = answer_sent.map(|(_, sent)| *sent);
        self.live_until = self.live_until.max(answer_sent.map(|sent| sent + lifetime));
        let min_in_flight = if answer_sent.is_some() { report.in_flight_low } else { 0 };
        self.history.push_back(ReceivedReport { received: now, answer_sent, min_in_flight });
        if self.history.len() > HISTORY_LEN {
            self.history.pop_front();
        }
        self.expires_at = self.expires_at.max(self.live_until.unwrap_or(now)).max(now);
        true
    }

    /// Whether the vote is unexpired at `now`, so that the node reports to no other owner.
    pub(crate) fn is_live(&self, now: Instant) -> bool {
        self.live_until.is_some_and(|until| now < until)
    }

    /// Most that the node may have in flight.
    pub(crate) fn max_in_flight(&self) -> SlotAmount {
        self.reserved.unwrap_or_else(|| {
            self.grants.iter().fold(self.in_flight, |total, grant| total.max(grant.amount))
        })
    }

    pub(crate) fn claim(&self) -> SlotClaim {
        SlotClaim {
            in_flight: self.in_flight,
            demand: self.demand,
            last_had_room: self.last_had_room,
        }
    }

    /// Records the allowance that is sent at `now` in answer to the latest report.
    pub(crate) fn grant(&mut self, now: Instant, amount: SlotAmount, lifetime: Duration) {
        self.grants.push(Grant { sequence: self.sequence, amount });
        self.answers.push_back((self.sequence, now));
        if self.answers.len() > HISTORY_LEN {
            self.answers.pop_front();
        }
        self.expires_at = self.expires_at.max(now + lifetime);
        if amount.slots > self.in_flight.slots {
            self.last_had_room = now;
        }
    }

    /// Minimum number of requests in flight over a period that includes `from` to `to`; `None` if
    /// the reports received so far do not cover it.
    pub(crate) fn min_in_flight(&self, from: Instant, to: Instant) -> Option<u32> {
        let mut min_in_flight = u32::MAX;
        for report in self.history.iter().filter(|report| report.received >= from) {
            min_in_flight = min_in_flight.min(report.min_in_flight);
            if report.answer_sent.is_some_and(|sent| sent >= to) {
                return Some(min_in_flight);
            }
        }
        None
    }
}
