//! Requests that crash the upstreams that run them.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use eelgrassdeal_types::{ClientAccountId, ModelId, ReplicaId};
use sha2::{Digest, Sha256};

/// Solo strikes that ban a fingerprint.
const SOLO_STRIKES_TO_BAN: u32 = 2;

/// Identifies a request by account, model and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestFingerprint([u8; 32]);

impl RequestFingerprint {
    /// Fingerprint of a request. The account and the model are each preceded by their length.
    pub fn new(account: &ClientAccountId, model: &ModelId, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [account.as_bytes(), model.as_bytes()] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        Self(hasher.finalize().into())
    }

    /// Lower-case hexadecimal form, as in records and messages.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Reads the hexadecimal form; `None` if `text` is not one.
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

/// A strike to be shared with the other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashStrike {
    /// The request that was in flight at the crash.
    pub fingerprint: RequestFingerprint,
    /// Whether it was the only one.
    pub is_solo: bool,
    /// Whether the fingerprint is to be banned now.
    pub is_ban_due: bool,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// Like any other.
    Free,
    /// As a suspect: apart from other suspects, see [`QuarantineList::claim_replica`].
    Suspect,
    /// Not at all.
    Banned,
}

#[derive(Clone, Copy, Debug)]
struct Strikes {
    total: u32,
    solo: u32,
    expires: Instant,
}

/// Strikes, suspects and bans by fingerprint.
#[derive(Debug)]
pub struct QuarantineList {
    strikes: HashMap<RequestFingerprint, Strikes>,
    bans: HashMap<RequestFingerprint, Instant>,
    replicas: HashMap<ReplicaId, RequestFingerprint>,
    strike_lifetime: Duration,
}

impl QuarantineList {
    /// Forgets strikes `strike_lifetime` after the last one of a fingerprint.
    pub fn new(strike_lifetime: Duration) -> Self {
        Self {
            strikes: HashMap::new(),
            bans: HashMap::new(),
            replicas: HashMap::new(),
            strike_lifetime,
        }
    }

    /// How `fingerprint` may run at `now`.
    pub fn verdict(&self, now: Instant, fingerprint: RequestFingerprint) -> QuarantineVerdict {
        let is_banned = self.bans.get(&fingerprint).is_some_and(|until| now < *until);
        let is_suspect = self.strikes.get(&fingerprint).is_some_and(|known| now < known.expires);
        match (is_banned, is_suspect) {
            (true, _) => QuarantineVerdict::Banned,
            (false, true) => QuarantineVerdict::Suspect,
            (false, false) => QuarantineVerdict::Free,
        }
    }

    /// Strikes the requests that were in flight when `replica` crashed.
    ///
    /// `in_flight` is everything this node ran there and `elsewhere` the number of requests that
    /// other nodes ran there; a strike is solo only if a request was alone. Several copies of one
    /// request count once.
    pub fn record_crash(
        &mut self,
        now: Instant,
        replica: &ReplicaId,
        in_flight: &[RequestFingerprint],
        elsewhere: u32,
    ) -> Vec<CrashStrike> {
        self.replicas.remove(replica);
        let mut distinct: Vec<_> = in_flight.to_vec();
        distinct.sort_unstable();
        distinct.dedup();
        let is_solo = distinct.len() == 1 && elsewhere == 0;
        let strike = |fingerprint| {
            let is_ban_due = self.record_strike(now, fingerprint, is_solo);
            CrashStrike { fingerprint, is_solo, is_ban_due }
        };
        distinct.into_iter().map(strike).collect()
    }

    /// Adds a strike, also one that another node observed; returns whether a ban is due.
    pub fn record_strike(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        is_solo: bool,
    ) -> bool {
        let expires = now + self.strike_lifetime;
        let known =
            self.strikes.entry(fingerprint).or_insert(Strikes { total: 0, solo: 0, expires });
        if known.expires <= now {
            *known = Strikes { total: 0, solo: 0, expires };
        }
        // A request that was alone when the upstream crashed gets two strikes.
        known.total += if is_solo { 2 } else { 1 };
        known.solo += u32::from(is_solo);
        known.expires = expires;
        known.solo >= SOLO_STRIKES_TO_BAN
    }

    /// Reserves `replica` for one suspect; no other suspect runs there until
    /// [`Self::release_replica`].
    pub fn claim_replica(&mut self, replica: &ReplicaId, fingerprint: RequestFingerprint) -> bool {
        match self.replicas.get(replica) {
            Some(holder) => *holder == fingerprint,
            None => {
                self.replicas.insert(replica.clone(), fingerprint);
                true
            }
        }
    }

    /// Frees `replica` after its suspect ended.
    pub fn release_replica(&mut self, replica: &ReplicaId, fingerprint: RequestFingerprint) {
        if self.replicas.get(replica) == Some(&fingerprint) {
            self.replicas.remove(replica);
        }
    }

    /// Replicas where a suspect runs.
    pub fn claimed_replicas(&self) -> HashSet<&ReplicaId> {
        self.replicas.keys().collect()
    }

    /// Clears a suspect that finished.
    pub fn record_finish(&mut self, fingerprint: RequestFingerprint) {
        self.strikes.remove(&fingerprint);
        self.replicas.retain(|_, holder| *holder != fingerprint);
    }

    /// Strikes of `fingerprint`: all and solo.
    pub fn strikes(&self, now: Instant, fingerprint: RequestFingerprint) -> (u32, u32) {
        match self.strikes.get(&fingerprint) {
            Some(known) if now < known.expires => (known.total, known.solo),
            _ => (0, 0),
        }
    }

    /// Puts a ban from the configuration into force until `until`.
    pub fn ban(&mut self, fingerprint: RequestFingerprint, until: Instant) {
        let known = self.bans.entry(fingerprint).or_insert(until);
        *known = (*known).max(until);
    }

    /// Lifts a ban that the configuration no longer holds.
    pub fn lift_ban(&mut self, fingerprint: RequestFingerprint) {
        self.bans.remove(&fingerprint);
    }

    /// Removes what expired.
    pub fn expire(&mut self, now: Instant) {
        self.strikes.retain(|_, known| now < known.expires);
        self.bans.retain(|_, until| now < *until);
    }
}
