//! Quarantine for requests that are suspected of crashing the upstreams that run them.
//!
//! A strike is the record that a request was in flight at an upstream when it crashed. A strike is
//! solo if no other request was in flight there.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use eelgrassdeal_types::{ClientAccountId, ModelId, ReplicaId};
use sha2::{Digest, Sha256};

/// Number of solo strikes after which a fingerprint is to be banned, see [`CrashStrike::is_solo`].
const SOLO_STRIKES_TO_BAN: u32 = 2;

/// SHA-256 hash that identifies a request by account, model and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestFingerprint([u8; 32]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request. The account and the model are each preceded by their
    /// length, so that different pairs of them never give the same input to the hash.
    pub fn new(account: &ClientAccountId, model: &ModelId, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [account.as_bytes(), model.as_bytes()] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        Self(hasher.finalize().into())
    }

    /// Lower-case hexadecimal form, as used in records and messages.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Parses the hexadecimal form; `None` if `text` is not 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let mut bytes = [0; 32];
        if text.len() != 64 || !text.is_ascii() {
            return None;
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(text.get(index * 2..index * 2 + 2)?, 16).ok()?;
        }
        Some(Self(bytes))
    }
}

/// Record that a request was in flight when an upstream crashed, and so may have caused the crash.
/// The caller shares it with the other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashStrike {
    /// The request that was in flight at the crash.
    pub fingerprint: RequestFingerprint,
    /// Whether it was the only request in flight there.
    pub is_solo: bool,
    /// Whether the request now has enough solo strikes to be banned.
    pub is_ban_due: bool,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// Without restrictions.
    Unrestricted,
    /// Only alone, at a replica that is reserved for it, see [`QuarantineList::reserve_replica`].
    Suspect,
    /// Not at all.
    Banned,
}

#[derive(Clone, Copy, Debug)]
struct Strikes {
    /// Number of strikes, in which a solo strike counts twice. It has no effect on a verdict.
    weighted_total: u32,
    /// Number of solo strikes, which decides on the ban.
    solo: u32,
    expires: Instant,
}

/// Strikes and bans by fingerprint. A request with unexpired strikes is a suspect.
#[derive(Debug)]
pub struct QuarantineList {
    strikes: HashMap<RequestFingerprint, Strikes>,
    bans: HashMap<RequestFingerprint, Instant>,
    reservations: HashMap<ReplicaId, RequestFingerprint>,
    strike_lifetime: Duration,
}

impl QuarantineList {
    /// Creates an empty list. The strikes of a fingerprint expire `strike_lifetime` after the last
    /// one.
    pub fn new(strike_lifetime: Duration) -> Self {
        Self {
            strikes: HashMap::new(),
            bans: HashMap::new(),
            reservations: HashMap::new(),
            strike_lifetime,
        }
    }

    /// How the request with this fingerprint may run at `now`.
    pub fn verdict(&self, now: Instant, fingerprint: RequestFingerprint) -> QuarantineVerdict {
        let is_banned = self.bans.get(&fingerprint).is_some_and(|until| now < *until);
        let is_suspect = self.strikes.get(&fingerprint).is_some_and(|entry| now < entry.expires);
        match (is_banned, is_suspect) {
            (true, _) => QuarantineVerdict::Banned,
            (false, true) => QuarantineVerdict::Suspect,
            (false, false) => QuarantineVerdict::Unrestricted,
        }
    }

    /// Adds a strike to each request that was in flight when `replica` crashed, and ends the
    /// reservation of `replica`.
    ///
    /// `in_flight` lists the requests that this node ran there, and `in_flight_on_other_nodes` is
    /// the number of requests that other nodes ran there. A strike is solo only if no other
    /// request was in flight. Several copies of one request count once.
    pub fn record_crash(
        &mut self,
        now: Instant,
        replica: &ReplicaId,
        in_flight: &[RequestFingerprint],
        in_flight_on_other_nodes: u32,
    ) -> Vec<CrashStrike> {
        self.reservations.remove(replica);
        let mut distinct: Vec<_> = in_flight.to_vec();
        distinct.sort_unstable();
        distinct.dedup();
        let is_solo = distinct.len() == 1 && in_flight_on_other_nodes == 0;
        let record = |fingerprint| {
            let is_ban_due = self.record_strike(now, fingerprint, is_solo);
            CrashStrike { fingerprint, is_solo, is_ban_due }
        };
        distinct.into_iter().map(record).collect()
    }

    /// Adds a strike that this or another node observed; returns whether the fingerprint is to be
    /// banned.
    pub fn record_strike(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        is_solo: bool,
    ) -> bool {
        let expires = now + self.strike_lifetime;
        let entry = self.strikes.entry(fingerprint).or_insert(Strikes {
            weighted_total: 0,
            solo: 0,
            expires,
        });
        if entry.expires <= now {
            *entry = Strikes { weighted_total: 0, solo: 0, expires };
        }
        entry.weighted_total += if is_solo { 2 } else { 1 };
        entry.solo += u32::from(is_solo);
        entry.expires = expires;
        entry.solo >= SOLO_STRIKES_TO_BAN
    }

    /// Reserves `replica` for one suspect, so that a crash can be attributed to it. Returns `false`
    /// if another suspect has reserved the replica.
    ///
    /// [`Self::release_replica`], [`Self::record_crash`] at the replica and
    /// [`Self::record_completion`] of the suspect end the reservation.
    pub fn reserve_replica(
        &mut self,
        replica: &ReplicaId,
        fingerprint: RequestFingerprint,
    ) -> bool {
        match self.reservations.get(replica) {
            Some(reserved_for) => *reserved_for == fingerprint,
            None => {
                self.reservations.insert(replica.clone(), fingerprint);
                true
            }
        }
    }

    /// Ends the reservation of `replica` by this suspect, if there is one.
    pub fn release_replica(&mut self, replica: &ReplicaId, fingerprint: RequestFingerprint) {
        if self.reservations.get(replica) == Some(&fingerprint) {
            self.reservations.remove(replica);
        }
    }

    /// Replicas that are reserved for a suspect.
    pub fn reserved_replicas(&self) -> HashSet<&ReplicaId> {
        self.reservations.keys().collect()
    }

    /// Clears the strikes and reservations of a suspect that completed without a crash.
    pub fn record_completion(&mut self, fingerprint: RequestFingerprint) {
        self.strikes.remove(&fingerprint);
        self.reservations.retain(|_, reserved_for| *reserved_for != fingerprint);
    }

    /// Unexpired strikes of `fingerprint`: the number of all strikes, in which a solo strike counts
    /// twice, and the number of solo strikes. Only the latter decides on a ban.
    pub fn strikes(&self, now: Instant, fingerprint: RequestFingerprint) -> (u32, u32) {
        match self.strikes.get(&fingerprint) {
            Some(entry) if now < entry.expires => (entry.weighted_total, entry.solo),
            _ => (0, 0),
        }
    }

    /// Bans the fingerprint until `until`, as the configuration demands. If it is already banned
    /// until a later time, that later time remains.
    pub fn ban(&mut self, fingerprint: RequestFingerprint, until: Instant) {
        let entry = self.bans.entry(fingerprint).or_insert(until);
        *entry = (*entry).max(until);
    }

    /// Lifts a ban that was removed from the configuration.
    pub fn lift_ban(&mut self, fingerprint: RequestFingerprint) {
        self.bans.remove(&fingerprint);
    }

    /// Removes the strikes and bans that have expired at `now`.
    pub fn remove_expired(&mut self, now: Instant) {
        self.strikes.retain(|_, entry| now < entry.expires);
        self.bans.retain(|_, until| now < *until);
    }
}
