//! Invariants of the table of error kinds that callers rely on.

use std::collections::BTreeSet;

use eelgrassdeal_types::{CallOutcome, ErrorKind};

/// Two kinds with one name could not be told apart by a caller.
#[test]
fn names_are_unique() {
    let names: BTreeSet<_> = ErrorKind::ALL.iter().map(|kind| kind.name()).collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
}

/// Advice to repeat a call that may already have run could make it run twice.
#[test]
fn an_unknown_outcome_never_advises_a_retry() {
    for kind in ErrorKind::ALL {
        let response = kind.response();
        assert!(!(response.outcome == CallOutcome::Unknown && response.retry), "{kind}");
    }
}
