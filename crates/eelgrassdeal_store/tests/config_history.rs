//! Tests the order of revisions with concurrent operators and faults, by a linearizability check of
//! the head row.

mod common;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use common::{new_change, serve_table, wait_for_late_writes};
use eelgrassdeal_schema::config::ConfigChange;
use eelgrassdeal_schema::decode_message;
use eelgrassdeal_schema::records::HeadRecord;
use eelgrassdeal_standins::{FaultRates, TableFake};
use eelgrassdeal_store::{AppendOutcome, ConfigLog};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use todc_utils::{Action, History, Specification, WGLChecker};

const OPERATORS: usize = 4;
/// Number of changes that each operator appends.
const CHANGES_PER_OPERATOR: usize = 8;

/// An operation on the head of the log, with its result.
#[derive(Clone, Debug, PartialEq)]
enum HeadOperation {
    /// The change with writer mark `mark` was accepted as the one after revision `base`.
    Accept { base: usize, mark: String },
    /// A change based on revision `base` was rejected, because the change with writer mark `winner`
    /// was accepted there.
    Reject { base: usize, winner: String },
    /// The head revision was read.
    Read { head: usize },
    /// An operation whose result is not known yet.
    Pending,
}

/// The specification of the log as one object, whose state is the writer marks of the accepted
/// changes in order.
struct HeadSpec;

impl Specification for HeadSpec {
    type State = Vec<String>;
    type Operation = HeadOperation;

    fn init() -> Self::State {
        Vec::new()
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        match operation {
            HeadOperation::Accept { base, mark } if *base == state.len() => {
                (true, state.iter().chain([mark]).cloned().collect())
            }
            HeadOperation::Reject { base, winner } => {
                (state.get(*base) == Some(winner), state.clone())
            }
            HeadOperation::Read { head } => (*head == state.len(), state.clone()),
            HeadOperation::Accept { .. } | HeadOperation::Pending => (false, state.clone()),
        }
    }
}

/// The calls and the responses in the order in which the callers saw them. An operation is
/// identified by its position among the calls.
#[derive(Default)]
struct OperationLog {
    /// Number of the operation with `None` when it was called, and with its result when it
    /// returned.
    events: RefCell<Vec<(usize, Option<HeadOperation>)>>,
    /// Appends with unknown outcome, with the result that they have if they took effect.
    unknown: RefCell<BTreeMap<usize, HeadOperation>>,
    operation_count: RefCell<usize>,
}

impl OperationLog {
    fn record_call(&self) -> usize {
        let operation = self.operation_count.replace_with(|count| *count + 1);
        self.events.borrow_mut().push((operation, None));
        operation
    }

    fn record_response(&self, operation: usize, response: HeadOperation) {
        self.events.borrow_mut().push((operation, Some(response)));
    }

    /// Makes the history to check. Appends with unknown outcome that took effect get their response
    /// at the end, after all others; those that did not take effect are left out.
    fn into_history(self, accepted: &[ConfigChange]) -> History<HeadOperation> {
        let mut unknown = self.unknown.into_inner();
        let is_accepted = |mark: &String| accepted.iter().any(|row| row.writer_mark == *mark);
        let late: BTreeMap<usize, HeadOperation> = unknown
            .extract_if(.., |_, operation| match operation {
                HeadOperation::Accept { mark, .. } => is_accepted(mark),
                _ => false,
            })
            .collect();
        let mut actions = Vec::new();
        for (operation, response) in self.events.into_inner() {
            match response {
                Some(response) => actions.push((operation, Action::Response(response))),
                None if unknown.contains_key(&operation) => {}
                None => actions.push((operation, Action::Call(HeadOperation::Pending))),
            }
        }
        let late =
            late.into_iter().map(|(operation, result)| (operation, Action::Response(result)));
        History::from_actions(actions.into_iter().chain(late).collect())
    }
}

async fn read_head(log: &ConfigLog, operation_log: &OperationLog) -> u64 {
    let operation = operation_log.record_call();
    // Reads get no faults in this test.
    let head = log.head().await.expect("head");
    operation_log.record_response(operation, HeadOperation::Read { head: head as usize });
    head
}

async fn append(
    log: &ConfigLog,
    change: &ConfigChange,
    operation_log: &OperationLog,
) -> AppendOutcome {
    let operation = operation_log.record_call();
    let base = change.revision as usize - 1;
    let accept = HeadOperation::Accept { base, mark: change.writer_mark.clone() };
    let outcome = log.append(change).await;
    match &outcome {
        AppendOutcome::Accepted => operation_log.record_response(operation, accept),
        AppendOutcome::Conflict(winner) => {
            let winner = winner.writer_mark.clone();
            operation_log.record_response(operation, HeadOperation::Reject { base, winner });
        }
        AppendOutcome::Unknown => {
            operation_log.unknown.borrow_mut().insert(operation, accept);
        }
    }
    outcome
}

/// Appends changes, each based on the head that was read just before.
async fn run_operator(log: &ConfigLog, number: usize, seed: u64, operation_log: &OperationLog) {
    let mut random = StdRng::seed_from_u64(seed * 100 + number as u64);
    for change in 0..CHANGES_PER_OPERATOR {
        let head = read_head(log, operation_log).await;
        compio::time::sleep(Duration::from_millis(random.random_range(0..8))).await;
        append(log, &new_change(head + 1, &format!("{number}/{change}")), operation_log).await;
    }
}

/// Follows the log like a node, and returns the changes that it read.
async fn run_follower(log: &ConfigLog, operation_log: &OperationLog) -> Vec<ConfigChange> {
    let mut changes: Vec<ConfigChange> = Vec::new();
    for _ in 0..40 {
        let head = read_head(log, operation_log).await;
        let rows = log.changes_after(changes.len() as u64).await.expect("log rows");
        changes.extend(rows);
        assert!(changes.len() as u64 >= head, "a revision of the head is missing");
        compio::time::sleep(Duration::from_millis(4)).await;
    }
    changes
}

/// Checks the head rows in the history of the store: version and revision rise by 1 with each
/// write.
fn check_head_rows(fake: &TableFake) {
    let heads = fake.history().into_iter().filter(|put| put.partition_key == "head");
    for (put, expected) in heads.zip(1..) {
        let record: HeadRecord = decode_message(&put.body).unwrap_or_default();
        assert_eq!((put.version, record.revision), (expected, expected));
    }
}

/// Guards against an accepted change that is reverted, reported as rejected, or missing, and
/// against a head revision that decreases.
#[compio::test]
async fn concurrent_appends_are_linearizable() {
    for seed in [31, 32, 33] {
        let (fake, _server, store) = serve_table().await;
        let log =
            ConfigLog::new(Rc::new(store.clone())).with_initial_backoff(Duration::from_millis(2));
        let rates = FaultRates {
            lost_response_percent: 20,
            lost_request_percent: 20,
            delayed_write_percent: 25,
            max_write_delay: Duration::from_millis(60),
        };
        fake.faults().set_rates(rates, seed);
        let operation_log = OperationLog::default();
        let operators =
            join_all((0..OPERATORS).map(|number| run_operator(&log, number, seed, &operation_log)));
        let (_, followed) = futures_util::join!(operators, run_follower(&log, &operation_log));
        fake.faults().clear_rates();
        wait_for_late_writes(&fake).await;

        check_head_rows(&fake);
        let accepted = log.changes_after(0).await.unwrap();
        assert!(accepted.starts_with(&followed), "an accepted change was reverted");
        let unknown = operation_log.unknown.borrow().len();
        println!("seed {seed}: {} accepted, {unknown} unknown", accepted.len());
        assert!(WGLChecker::<HeadSpec>::is_linearizable(operation_log.into_history(&accepted)));
    }
}
