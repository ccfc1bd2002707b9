//! How much of a node's link the snapshots of tables take.

use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::SnapshotBudget;

const LINK_BYTES_PER_S: u64 = 2_500_000;
const SNAPSHOT_BYTES: usize = 450_000;

/// Many nodes that start at the same time ask a node with a slow link, again and again.
#[test]
fn snapshots_for_many_restarted_nodes_leave_most_of_the_link_free() {
    let start = Instant::now();
    let mut budget = SnapshotBudget::new(LINK_BYTES_PER_S, start);
    let asked = (0..10_000).map(|index| start + Duration::from_millis(index));
    let sent = asked.filter(|now| budget.try_take(SNAPSHOT_BYTES, *now)).count();
    let share = (sent * SNAPSHOT_BYTES) as f64 / (10 * LINK_BYTES_PER_S) as f64;
    assert!(share < 0.3, "{sent} snapshots take {share:.2} of the link");
    assert!(sent >= 10, "{sent} snapshots in 10 s");
}

#[test]
fn snapshot_larger_than_the_share_of_the_link_is_sent_after_a_pause() {
    let start = Instant::now();
    let mut budget = SnapshotBudget::new(LINK_BYTES_PER_S, start);
    let bytes = LINK_BYTES_PER_S as usize;
    assert!(budget.try_take(bytes, start));
    assert!(!budget.try_take(1, start + Duration::from_secs(2)));
    assert!(budget.try_take(bytes, start + Duration::from_secs(5)));
}

/// Clocks that jump, and huge or missing figures of the link, must not end a node.
#[test]
fn extreme_figures_do_not_panic() {
    let start = Instant::now();
    for link in [0, 1, u64::MAX] {
        let mut budget = SnapshotBudget::new(link, start + Duration::from_secs(9));
        for bytes in [0, 1, usize::MAX, usize::MAX] {
            budget.try_take(bytes, start);
            budget.try_take(bytes, start + Duration::from_secs(1 << 40));
        }
    }
}
