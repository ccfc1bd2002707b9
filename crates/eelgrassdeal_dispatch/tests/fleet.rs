//! What the records of upstreams tell after their data centre was out of service.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::FleetView;

const MS: Duration = Duration::from_millis(1);

#[test]
fn upstream_counts_as_cold_after_an_evacuation_until_its_next_record() {
    let start = Instant::now();
    let record = common::upstream("i-1", "d1", start);
    let mut view = FleetView::default();
    assert!(!view.is_cold(&record, start + 10 * MS));
    view.set_evacuated(record.data_centre.clone(), true, start + 20 * MS);
    view.set_evacuated(record.data_centre.clone(), false, start + 5_000 * MS);
    assert!(view.is_cold(&record, start + 5_100 * MS), "it may have become cold meanwhile");
    let other = common::upstream("i-2", "d2", start);
    let other = eelgrassdeal_dispatch::UpstreamRecord { data_centre: Arc::from("other"), ..other };
    assert!(!view.is_cold(&other, start + 5_100 * MS), "its data centre was in service");
    let renewed = common::upstream("i-1", "d1", start + 5_200 * MS);
    assert!(!view.is_cold(&renewed, start + 5_300 * MS), "its record says that it is warm");
    let mut cold = common::upstream("i-1", "d1", start + 5_200 * MS);
    cold.cold_left = 2_000 * MS;
    assert!(view.is_cold(&cold, start + 7_100 * MS));
    assert!(!view.is_cold(&cold, start + 7_300 * MS));
    assert!(
        !view.is_cold(&record, start + 60_000 * MS),
        "a missing record doesn't limit it for good"
    );
}

#[test]
fn end_of_an_evacuation_that_was_never_seen_changes_nothing() {
    let start = Instant::now();
    let record = common::upstream("i-1", "d1", start);
    let mut view = FleetView::default();
    view.set_evacuated(record.data_centre.clone(), false, start + 20 * MS);
    assert!(!view.is_cold(&record, start + 30 * MS));
}
