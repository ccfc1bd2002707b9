//! Selection of reporters and owners, and whether a node may start requests.

#![allow(clippy::unwrap_used, reason = "a failed step fails its test")]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassdeal_routing::{
    ConfirmationState, FailureDetector, MEMBERSHIP_DELAY, ReporterSet, ServePermission,
    select_reporters,
};
use eelgrassdeal_types::NodeId;

fn members(count: usize) -> Vec<NodeId> {
    (0..count).map(|index| format!("n{index}").into()).collect()
}

/// Guards against changing most reporter sets when one member leaves, and against an uneven
/// distribution of the sets over the nodes.
#[test]
fn removing_a_member_changes_few_sets() {
    // Each of the 212 replicas has 8 of the 410 members as reporters, so a member is in 4.1 sets on
    // average. The bounds below allow about three times that number.
    let all = members(410);
    let mut sets_by_node = BTreeMap::new();
    let mut changed = 0;
    for index in 0..212 {
        let replica = format!("g{index}").into();
        let before = select_reporters(&replica, &all);
        let after = select_reporters(&replica, &all[1..]);
        assert_eq!(before.len(), 8);
        changed += u32::from(before != after);
        assert_eq!(before != after, before.contains(&all[0]));
        for node in before {
            *sets_by_node.entry(node).or_insert(0) += 1;
        }
    }
    let most = sets_by_node.values().max().unwrap();
    assert!(changed <= 12 && *most <= 14, "{changed} changed, at most {most} sets of a node");
}

/// Guards against counting the vote of a new reporter while the vote of the node that it replaces
/// may still count elsewhere.
#[test]
fn changed_membership_counts_after_the_delay() {
    let now = Instant::now();
    let mut set = ReporterSet::new("g1".into(), &members(7));
    assert_eq!((set.voters(now).voters.len(), set.voters(now).limit_divisor), (7, 7));
    set.set_members(&members(6), now);
    assert_eq!((set.voters(now).voters.len(), set.voters(now).limit_divisor), (6, 7));
    let almost = now + MEMBERSHIP_DELAY - Duration::from_millis(1);
    set.set_members(&members(8), almost);
    assert_eq!((set.voters(almost).voters.len(), set.voters(almost).limit_divisor), (6, 8));
    let later = almost + MEMBERSHIP_DELAY;
    assert_eq!((set.voters(later).voters.len(), set.voters(later).limit_divisor), (8, 8));
}

/// Guards against changing the owner after a single lost message, and against never changing back.
#[test]
fn two_failures_in_a_row_move_the_owner() {
    let set = ReporterSet::new("g1".into(), &members(7));
    let (first, second, last) = (&set.reporters()[0], &set.reporters()[1], &set.reporters()[6]);
    let mut failure_detector = FailureDetector::new();
    failure_detector.record_failure(first);
    failure_detector.record_success(first);
    failure_detector.record_failure(first);
    assert_eq!(set.owner(last, &failure_detector), Some(first));
    failure_detector.record_failure(first);
    assert_eq!(set.owner(last, &failure_detector), Some(second));
    // A node does not suspect itself.
    assert_eq!(set.owner(first, &failure_detector), Some(first));
    failure_detector.record_success(first);
    assert_eq!(set.owner(last, &failure_detector), Some(first));
}

/// Guards against starting requests at a partitioned node, and against stopping all service when
/// only the store is down.
#[test]
fn permission_follows_store_and_peers() {
    let start = Instant::now() + Duration::from_secs(100);
    let peers = members(7);
    let mut state = ConfirmationState::new();
    state.set_peers(peers[1..].iter().cloned());
    state.record_peer_reply(&peers[1], start, Some(Duration::ZERO), 1, 1);
    assert_eq!(state.permission(start), ServePermission::NoNewRequests);
    state.record_store_read(start);
    assert_eq!(state.permission(start), ServePermission::Serve);
    let later = start + Duration::from_secs(5);
    assert_eq!(state.permission(later), ServePermission::NoNewRequests);
    for peer in &peers[1..4] {
        state.record_peer_reply(peer, later, None, 1, 1);
    }
    assert_eq!(state.permission(later), ServePermission::IdempotentOnly);
    // A peer that is confirmed at a newer revision does not confirm the older one of this node.
    state.record_peer_reply(&peers[1], later, Some(Duration::from_secs(1)), 2, 1);
    assert_eq!(state.permission(later), ServePermission::IdempotentOnly);
    state.record_peer_reply(&peers[1], later, Some(Duration::from_secs(1)), 2, 2);
    assert_eq!(state.permission(later), ServePermission::Serve);
    assert_eq!(state.confirmed_age(later), Some(Duration::from_secs(1)));
    let cut_off = later + Duration::from_secs(4);
    assert_eq!(state.permission(cut_off), ServePermission::NoNewRequests);
}

/// Guards against two peers that keep renewing an old confirmation for each other.
#[test]
fn confirmation_ages_while_peers_repeat_it() {
    let start = Instant::now();
    let mut states = [ConfirmationState::new(), ConfirmationState::new()];
    states.iter_mut().for_each(|state| state.record_store_read(start));
    for step in 1..=12u64 {
        let now = start + Duration::from_millis(500 * step);
        for index in 0..2 {
            let age = states[1 - index].confirmed_age(now);
            states[index].record_peer_reply(&"peer".into(), now, age, 1, 1);
        }
    }
    let end = start + Duration::from_secs(6);
    assert!(states.iter().all(|state| !state.is_confirmed(end)));
}
