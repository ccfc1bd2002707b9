//! Selection among the replicas of a model.

#![allow(clippy::unwrap_used, reason = "a failed step fails its test")]

use std::time::{Duration, Instant};

use eelgrassdeal_routing::{SlotHolder, SlotPolicy, StartConstraints, affinity_key};
use eelgrassdeal_schema::peer::{AllowanceBatch, SlotAllowance};
use eelgrassdeal_types::ReplicaId;

/// Creates a holder with an allowance of 10 slots at each of several replicas, which have the given
/// loads.
fn holder(now: Instant, loads: &[u32]) -> (SlotHolder, Vec<ReplicaId>) {
    let mut holder = SlotHolder::new(SlotPolicy::Owner);
    let replicas: Vec<ReplicaId> =
        (0..loads.len()).map(|index| format!("g{index}").into()).collect();
    let owners = replicas.iter().map(|replica| (replica.clone(), "o".into())).collect();
    let (_, batch) = holder.build_reports(now, &owners).remove(0);
    let allowance = batch.report.iter().zip(loads).map(|(report, load)| SlotAllowance {
        replica: report.replica.clone(),
        slots: 10,
        kv_tokens: 1_000,
        lifetime_ms: 1_000,
        load: *load,
        limit: 64,
        sequence: report.sequence,
        ..SlotAllowance::default()
    });
    let answers = AllowanceBatch { allowance: allowance.collect() };
    holder.apply_allowances(now, &"o".into(), &answers);
    (holder, replicas)
}

fn constraints(candidates: &[ReplicaId], affinity: Option<[u8; 32]>) -> StartConstraints<'_> {
    StartConstraints { candidates, excluded: &[], kv_tokens: 10, affinity }
}

/// Guards against sending all requests to one replica.
#[test]
fn least_loaded_replica_is_chosen() {
    let now = Instant::now();
    let (mut holder, replicas) = holder(now, &[9, 4, 6]);
    let started: Vec<_> = (0..5)
        .map(|_| holder.try_start(now, &constraints(&replicas, None)).unwrap().replica.to_string())
        .collect();
    // After two starts, g1 has the load 6 of g2. Rotation decides at equal loads, so g2 gets one or
    // two of the other three starts.
    let started_at_g2 = started.iter().filter(|replica| *replica == "g2").count();
    assert!(started[..2] == ["g1", "g1"] && (1..=2).contains(&started_at_g2), "{started:?}");
}

/// Guards against not using a cached prompt prefix, and against overloading one replica because of
/// it.
#[test]
fn affinity_applies_up_to_a_load_25_percent_above_average() {
    let now = Instant::now();
    let long = [b'x'; 2_048];
    let key = affinity_key("account", &long);
    assert_eq!(key, affinity_key("account", &long[..1_024]));
    assert_ne!(key, affinity_key("other", &long));
    let (mut even, replicas) = holder(now, &[20, 20, 20]);
    let preferred = even.try_start(now, &constraints(&replicas, Some(key))).unwrap().replica;
    let again = even.try_start(now, &constraints(&replicas, Some(key))).unwrap().replica;
    assert_eq!(preferred, again);
    let loads = |load| replicas.iter().map(|id| if *id == preferred { load } else { 20 }).collect();
    for (load, is_kept) in [(27, true), (32, false)] {
        let loads: Vec<u32> = loads(load);
        let (mut uneven, replicas) = holder(now, &loads);
        let chosen = uneven.try_start(now, &constraints(&replicas, Some(key))).unwrap().replica;
        assert_eq!(chosen == preferred, is_kept, "load {load}");
    }
}

/// Guards against starting a request without room or at an excluded replica, and against sending it
/// after the allowance expired during a pause of the process.
#[test]
fn starts_need_room_and_a_valid_allowance() {
    let now = Instant::now();
    let (mut holder, replicas) = holder(now, &[0, 0]);
    let excluded = &replicas[..1];
    let constraints = StartConstraints { excluded, kv_tokens: 400, ..constraints(&replicas, None) };
    let first = holder.try_start(now, &constraints).unwrap();
    let second = holder.try_start(now, &constraints).unwrap();
    assert_eq!((&first.replica, &second.replica), (&replicas[1], &replicas[1]));
    assert!(holder.try_start(now, &constraints).is_none(), "800 of 1000 KV tokens are in use");
    let expired = now + Duration::from_secs(1);
    assert!(holder.may_send(now, &first) && !holder.may_send(expired, &first));
    holder.finish(first);
    assert!(holder.try_start(expired, &constraints).is_none());
    assert_eq!(holder.in_flight(&replicas[1]), (1, 400));
    holder.finish(second);
}
