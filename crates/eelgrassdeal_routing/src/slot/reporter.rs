//! State that the owner keeps for each reporter.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use eelgrassdeal_schema::peer::SlotReport;
use eelgrassdeal_types::StartId;

use super::division::SlotClaim;
use super::{SlotAmount, SlotDemand};

/// Number of answers and of reports kept for a reporter. It exceeds the number that the node and
/// the owner exchange during the lifetime of an allowance plus the load lag, so that the history
/// covers this time.
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
    /// Minimum number of requests in flight from when the node sent the report to which that answer
    /// replied until it sent this report; 0 if the answer is not known.
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
    /// Expiry of the vote: one lifetime after the owner sent the latest answer that a report named.
    /// `None` before the first such report in an epoch.
    vote_expires_at: Option<Instant>,
    /// Expiry of the last allowance, or of the vote if that is later.
    pub(crate) expires_at: Instant,
    /// By this time, all allowances have expired that another owner may have granted, to any node,
    /// while that owner counted this node's vote.
    pub(crate) previous_grants_expire_at: Instant,
    /// Whether the vote counts for this owner's part of the limit as long as it is unexpired. Set
    /// once the requests started before `previous_grants_expire_at` are accounted for: a load
    /// measured after that time was compared with the reports, or without load reports, the longest
    /// time that a request runs has passed since then.
    pub(crate) is_vote_counted: bool,
    /// Amount reserved for the node while its vote is expired or has not begun yet; load reports
    /// can lower it. The next report of the node resets it to `None`.
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
            vote_expires_at: None,
            expires_at: now + lifetime,
            previous_grants_expire_at: now + lifetime,
            is_vote_counted: false,
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
            self.is_vote_counted = false;
            self.previous_grants_expire_at = now + lifetime;
            self.vote_expires_at = None;
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
        self.vote_expires_at = self.vote_expires_at.max(answer_sent.map(|sent| sent + lifetime));
        let min_in_flight = if answer_sent.is_some() { report.in_flight_low } else { 0 };
        self.history.push_back(ReceivedReport { received: now, answer_sent, min_in_flight });
        if self.history.len() > HISTORY_LEN {
            self.history.pop_front();
        }
        self.expires_at = self.expires_at.max(self.vote_expires_at.unwrap_or(now)).max(now);
        true
    }

    /// Whether the vote is unexpired at `now`, so that the node reports to no other owner.
    pub(crate) fn has_unexpired_vote(&self, now: Instant) -> bool {
        self.vote_expires_at.is_some_and(|until| now < until)
    }

    /// Most that the node may have in flight.
    pub(crate) fn max_in_flight(&self) -> SlotAmount {
        self.reserved.unwrap_or_else(|| {
            self.grants.iter().fold(self.in_flight, |largest, grant| largest.max(grant.amount))
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
    ///
    /// It takes the reports received since `from`, up to the first whose named answer was sent at
    /// or after `to`. They leave no gap: the period of each begins when an earlier report was sent,
    /// which either is one of them or was sent before `from`.
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
