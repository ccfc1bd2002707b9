//! Quarantine of requests that crash upstreams.

#![allow(clippy::unwrap_used, reason = "a failed step fails its test")]

use std::time::{Duration, Instant};

use eelgrassdeal_routing::{QuarantineList, QuarantineVerdict, RequestFingerprint};
use eelgrassdeal_types::ReplicaId;

const LIFETIME: Duration = Duration::from_secs(600);

fn fingerprint(body: &str) -> RequestFingerprint {
    RequestFingerprint::new(&"account".into(), &"model".into(), body.as_bytes())
}

/// Guards against banning requests that only ran concurrently with one that crashes upstreams.
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
    // Another node had a request in flight there as well.
    assert!(!list.record_crash(now, &replica, &[bad], 1)[0].is_solo);
    assert_eq!(list.strikes(now, good), (5, 0));
    assert!(!list.record_crash(now, &replica, &[bad], 0)[0].is_ban_due);
    assert!(list.record_crash(now, &replica, &[bad], 0)[0].is_ban_due);
    list.ban(bad, now + LIFETIME);
    assert_eq!(list.verdict(now, bad), QuarantineVerdict::Banned);
    assert_eq!(list.verdict(now, good), QuarantineVerdict::Suspect);
    assert_eq!(list.verdict(now + LIFETIME, bad), QuarantineVerdict::Unrestricted);
}

/// Guards against two suspects at one replica: a crash could then be attributed to neither.
#[test]
fn suspects_run_apart_and_are_cleared() {
    let now = Instant::now();
    let replica = ReplicaId::from("g1");
    let (first, second) = (fingerprint("first"), fingerprint("second"));
    let mut list = QuarantineList::new(LIFETIME);
    list.record_crash(now, &replica, &[first, second], 0);
    assert!(list.reserve_replica(&replica, first));
    assert!(!list.reserve_replica(&replica, second));
    list.release_replica(&replica, second);
    assert!(!list.reserve_replica(&replica, second));
    list.record_completion(first);
    assert_eq!(list.verdict(now, first), QuarantineVerdict::Unrestricted);
    assert!(list.reserve_replica(&replica, second));
}

/// Guards against equal fingerprints for different accounts, and against a text form that is
/// parsed to another fingerprint.
#[test]
fn fingerprint_depends_on_the_account_and_is_parsed_from_its_text_form() {
    let one = RequestFingerprint::new(&"ab".into(), &"c".into(), b"body");
    let other = RequestFingerprint::new(&"a".into(), &"bc".into(), b"body");
    assert_ne!(one, other);
    assert_eq!(RequestFingerprint::from_hex(&one.to_hex()), Some(one));
    assert_eq!(RequestFingerprint::from_hex("00"), None);
}
