//! Guards the published table of error kinds.

use std::collections::BTreeSet;

use eelgrassdeal_types::{CallOutcome, ErrorKind};

/// Guards against two kinds that a caller cannot tell apart.
#[test]
fn names_are_unique() {
    let names: BTreeSet<_> = ErrorKind::ALL.iter().map(|kind| kind.name()).collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
}

/// Guards against advice to repeat a call that may already have run.
#[test]
fn an_unknown_outcome_never_invites_a_retry() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        assert!(!(answer.outcome == CallOutcome::Unknown && answer.retry), "{kind}");
    }
}
