//! Copies of a table stay true whichever source their changes come from.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdeal_dispatch::{RowChange, TableChanges, TableMirror};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Enough to find a removal that a copy misses, which the first hundred do not.
const CASES: u32 = 5_000;

fn row(key: &str, version: u64, value: Option<&str>) -> RowChange {
    RowChange {
        key: Arc::from(key),
        version,
        value: value.map(|value| Bytes::copy_from_slice(value.as_bytes())),
    }
}

fn whole(version: u64, rows: Vec<RowChange>) -> TableChanges {
    TableChanges { since: None, version, rows, gaps: Vec::new() }
}

fn changes(since: u64, version: u64, rows: Vec<RowChange>) -> TableChanges {
    TableChanges { since: Some(since), version, rows, gaps: Vec::new() }
}

fn keys(mirror: &TableMirror) -> Vec<&str> {
    mirror.rows().map(|(key, ..)| &**key).collect()
}

#[test]
fn a_late_answer_does_not_bring_a_removed_row_back() {
    let mut mirror = TableMirror::default();
    mirror.take(whole(1, vec![row("a", 1, Some("x"))]));
    mirror.take(changes(1, 5, vec![row("a", 5, None)]));
    // Another source, slower, tells what was written in between.
    assert_eq!(mirror.take(changes(1, 3, vec![row("a", 3, Some("y"))])), vec![]);
    assert_eq!(mirror.take(whole(3, vec![row("a", 3, Some("y"))])), vec![]);
    assert!(keys(&mirror).is_empty());
    assert_eq!(mirror.version(), Some(5));
}

#[test]
fn a_late_answer_does_not_remove_a_row_that_was_written_again() {
    let mut mirror = TableMirror::default();
    mirror.take(whole(1, vec![row("a", 1, Some("x"))]));
    mirror.take(changes(1, 8, vec![row("a", 5, None), row("a", 8, Some("z"))]));
    mirror.take(changes(1, 5, vec![row("a", 5, None)]));
    assert_eq!(mirror.row_version("a"), Some(8));
}

#[test]
fn changes_after_a_version_that_was_not_reached_are_left_out() {
    let mut mirror = TableMirror::default();
    assert_eq!(mirror.take(changes(0, 4, vec![row("a", 4, Some("x"))])), vec![]);
    mirror.take(whole(4, vec![]));
    assert_eq!(mirror.take(changes(6, 9, vec![row("b", 9, Some("x"))])), vec![]);
    assert_eq!(mirror.version(), Some(4), "what happened up to 6 is not known");
}

#[test]
fn a_copy_that_missed_forgotten_removals_is_given_the_whole_table() {
    let mut mirror = TableMirror::default();
    mirror.take(whole(1, vec![row("a", 1, Some("x"))]));
    for version in 2..2_000 {
        mirror.take(changes(version - 1, version, vec![row("b", version, None)]));
    }
    let told = mirror.changes_since(Some(3)).expect("there are changes");
    assert_eq!(told.since, None);
    assert_eq!(told.rows.len(), 1);
    let recent = mirror.changes_since(Some(1_990)).expect("there are changes");
    assert_eq!(recent.since, Some(1_990));
    assert_eq!(mirror.changes_since(mirror.version()), None);
}

#[test]
fn the_age_counts_from_the_last_time_that_the_copy_was_current() {
    let now = Instant::now();
    let mut mirror = TableMirror::default();
    assert_eq!(mirror.age(now), None);
    mirror.note_fresh(now);
    mirror.note_fresh(now - Duration::from_secs(5));
    assert_eq!(mirror.age(now + Duration::from_secs(2)), Some(Duration::from_secs(2)));
}

/// A step of a run in which a table changes and copies exchange what they know.
#[derive(Clone, Debug)]
enum Step {
    Write {
        key: u8,
    },
    Remove {
        key: u8,
    },
    /// A copy reads the whole table.
    Read {
        copy: usize,
    },
    /// A copy asks the store for changes; the answer arrives `delay` steps later.
    Watch {
        copy: usize,
        delay: usize,
    },
    /// A copy is told what another knows; the message arrives `delay` steps later.
    Tell {
        from: usize,
        to: usize,
        delay: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..5_u8).prop_map(|key| Step::Write { key }),
        2 => (0..5_u8).prop_map(|key| Step::Remove { key }),
        1 => (0..3_usize).prop_map(|copy| Step::Read { copy }),
        2 => (0..3_usize, 0..4_usize).prop_map(|(copy, delay)| Step::Watch { copy, delay }),
        3 => (0..3_usize, 0..3_usize, 0..4_usize)
            .prop_map(|(from, to, delay)| Step::Tell { from, to, delay }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(CASES) })]

    /// Whatever overtakes what, a copy shows the table as it was at the copy's version.
    #[test]
    fn copies_show_the_table_as_of_their_version(steps in prop::collection::vec(step(), 1..80)) {
        let mut store = TableMirror::default();
        store.take(whole(0, vec![]));
        let mut history: BTreeMap<u64, Vec<(Arc<str>, u64)>> = BTreeMap::new();
        let mut copies = vec![TableMirror::default(); 3];
        let mut on_the_way: Vec<(usize, usize, TableChanges)> = Vec::new();
        let shown = |mirror: &TableMirror| -> Vec<(Arc<str>, u64)> {
            mirror.rows().map(|(key, version, _)| (key.clone(), version)).collect()
        };
        history.insert(0, Vec::new());
        for (at, step) in steps.into_iter().enumerate() {
            let version = store.version().expect("the store has a version");
            match step {
                Step::Write { key } | Step::Remove { key } => {
                    let value = matches!(step, Step::Write { .. }).then_some("x");
                    let change = row(&format!("k{key}"), version + 1, value);
                    store.take(changes(version, version + 1, vec![change]));
                    history.insert(version + 1, shown(&store));
                }
                Step::Read { copy } => {
                    let all = store.changes_since(None).expect("the store has a version");
                    copies[copy].take(all);
                }
                Step::Watch { copy, delay } => {
                    let since = copies[copy].version();
                    if let Some(told) = since.and_then(|since| store.changes_since(Some(since))) {
                        on_the_way.push((at + delay, copy, told));
                    }
                }
                Step::Tell { from, to, delay } => {
                    let known = copies[to].version();
                    if let Some(told) = copies[from].changes_since(known) {
                        on_the_way.push((at + delay, to, told));
                    }
                }
            }
            let (arrived, late) = on_the_way.into_iter().partition(|(due, ..)| *due <= at);
            on_the_way = late;
            for (_, copy, told) in arrived {
                copies[copy].take(told);
            }
            for copy in &copies {
                if let Some(version) = copy.version() {
                    prop_assert_eq!(&shown(copy), &history[&version]);
                }
            }
        }
    }
}
