//! Tasks that panic.

use std::cell::Cell;

use eelgrassdeal_gateway::run_restarting;

/// Guards against a node that goes on without one of its tasks.
#[compio::test]
async fn task_that_panics_starts_again() {
    let starts = Cell::new(0);
    run_restarting("test", || async {
        starts.set(starts.get() + 1);
        assert!(starts.get() > 1, "the first start fails");
    })
    .await;
    assert_eq!(starts.get(), 2);
}
