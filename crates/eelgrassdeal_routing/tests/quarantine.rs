//! Requests that crash upstreams.

#![allow(clippy::unwrap_used, reason = "a step that fails fails its test")]

use std::time::{Duration, Instant};

use eelgrassdeal_routing::{QuarantineList, QuarantineVerdict, RequestFingerprint};
use eelgrassdeal_types::ReplicaId;

const LIFETIME: Duration = Duration::from_secs(600);

fn fingerprint(body: &str) -> RequestFingerprint {
    RequestFingerprint::new(&"account".into(), &"model".into(), body.as_bytes())
}

/// Guards against a ban of requests that only ran beside the one that crashes.
#[test]
fn only_solo_strikes_ban() {
    let now = Instant::now();
    let replica = ReplicaId::from("g1");
    let (bad, good) = (fingerprint("bad"), fingerprint("good"));
    let mut list = QuarantineList::new(LIFETIME);
    for _ in 0..5 {
        let strikes = list.record_crash(now, &replica, &[bad, good, bad], 0);
        assert_eq!(strikes.len(), 2);
        assert!(strikes.iter().all(|strike| !strike.is_solo && !strike.is_ban_due));
    }
    // Another node ran a request there too.
    assert!(!list.record_crash(now, &replica, &[bad], 1)[0].is_solo);
    assert_eq!(list.strikes(now, good), (5, 0));
    assert!(!list.record_crash(now, &replica, &[bad], 0)[0].is_ban_due);
    assert!(list.record_crash(now, &replica, &[bad], 0)[0].is_ban_due);
    list.ban(bad, now + LIFETIME);
    assert_eq!(list.verdict(now, bad), QuarantineVerdict::Banned);
    assert_eq!(list.verdict(now, good), QuarantineVerdict::Suspect);
    assert_eq!(list.verdict(now + LIFETIME, bad), QuarantineVerdict::Free);
}

/// Guards against two suspects at one replica, whose crash would show neither.
#[test]
fn suspects_run_apart_and_are_cleared() {
    let now = Instant::now();
    let replica = ReplicaId::from("g1");
    let (first, second) = (fingerprint("first"), fingerprint("second"));
    let mut list = QuarantineList::new(LIFETIME);
    list.record_crash(now, &replica, &[first, second], 0);
    assert!(list.claim_replica(&replica, first));
    assert!(!list.claim_replica(&replica, second));
    list.release_replica(&replica, second);
    assert!(!list.claim_replica(&replica, second));
    list.record_finish(first);
    assert_eq!(list.verdict(now, first), QuarantineVerdict::Free);
    assert!(list.claim_replica(&replica, second));
}

/// Guards against accounts that share a fingerprint, and against a lossy text form.
#[test]
fn fingerprint_depends_on_the_account_and_survives_text() {
    let one = RequestFingerprint::new(&"ab".into(), &"c".into(), b"body");
    let other = RequestFingerprint::new(&"a".into(), &"bc".into(), b"body");
    assert_ne!(one, other);
    assert_eq!(RequestFingerprint::from_hex(&one.to_hex()), Some(one));
    assert_eq!(RequestFingerprint::from_hex("00"), None);
}
