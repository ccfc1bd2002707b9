//! Tests that a call with an idempotency key runs at most once, and that a call reported as "not
//! run" has not run, with concurrent callers and faults. The test compares the histories of the
//! callers, the table stand-in and the service stand-in.

mod common;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::{
    free_loopback_port, new_client, serve_table, url_of, wait_for_late_writes, wait_until,
};
use cyper::Client;
use eelgrassdeal_schema::decode_message;
use eelgrassdeal_schema::records::CallRecord;
use eelgrassdeal_standins::{AppliedPut, FaultRates, ServiceFake, ServiceRun, TableFake};
use eelgrassdeal_store::{ClaimOutcome, HttpTableStore, IdempotencyStore, StoredResult};
use eelgrassdeal_types::{CallOutcome, ErrorKind, unix_ms_now};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use uuid::Uuid;

const KEYS: usize = 24;
const CALLERS_PER_KEY: usize = 3;
const MAX_ATTEMPTS_PER_CALLER: usize = 3;
/// Differences of the nodes' clocks from the actual time; one node for each.
const CLOCK_OFFSETS_MS: [i64; 4] = [-180_000, 0, 120_000, 240_000];
const FAULT_RATES: FaultRates = FaultRates {
    lost_response_percent: 15,
    lost_request_percent: 10,
    delayed_write_percent: 15,
    max_write_delay: Duration::from_millis(120),
};

/// A node reduced to its use of the idempotency store.
struct Node {
    idempotency: IdempotencyStore,
    client: Client,
    service_url: String,
    clock_offset_ms: i64,
}

/// What a node returns to a caller.
#[derive(Clone, Debug, PartialEq)]
enum CallResult {
    Body(Bytes),
    Error(ErrorKind),
}

/// One attempt of a caller, and what the node returned.
#[derive(Debug)]
struct Attempt {
    key: String,
    request_id: String,
    result: CallResult,
}

impl Node {
    fn now_ms(&self) -> u64 {
        unix_ms_now().saturating_add_signed(self.clock_offset_ms)
    }

    /// Calls the service with `key`. Sleeps for `pause` between the claim and sending the call.
    async fn call(
        &self,
        key: &str,
        request_id: &str,
        time_left_ms: u64,
        pause: Duration,
    ) -> CallResult {
        let now_ms = self.now_ms();
        let deadline_ms = now_ms + time_left_ms;
        let claim =
            self.idempotency.claim("account", key, &[b"crews", b"book"], now_ms, deadline_ms);
        let call = match claim.await {
            Ok(ClaimOutcome::Claimed(call)) => call,
            Ok(ClaimOutcome::Done(result)) => return CallResult::Body(result.body),
            Err(error) => return CallResult::Error(error.kind),
        };
        compio::time::sleep(pause).await;
        if !call.may_send(self.now_ms()) {
            self.idempotency.release(call).await;
            return CallResult::Error(ErrorKind::DeadlineExpired);
        }
        match self.send(key, request_id).await {
            Ok(body) => {
                let content_type = "application/json".to_owned();
                let result = StoredResult { status: 200, content_type, body: body.clone() };
                self.idempotency.complete(call, &result).await;
                CallResult::Body(body)
            }
            Err(_) => CallResult::Error(ErrorKind::OutcomeUnknown),
        }
    }

    async fn send(&self, key: &str, request_id: &str) -> cyper::Result<Bytes> {
        let request = self
            .client
            .post(format!("{}/book", self.service_url))?
            .header("idempotency-key", key)?
            .header("x-request-id", request_id)?;
        request.send().await?.bytes().await
    }
}

struct Fleet {
    table: TableFake,
    service: ServiceFake,
    nodes: Vec<Node>,
}

impl Fleet {
    fn new(table: TableFake, store: &HttpTableStore, service: ServiceFake, url: &str) -> Self {
        let nodes = CLOCK_OFFSETS_MS.map(|clock_offset_ms| Node {
            idempotency: IdempotencyStore::new(Rc::new(store.clone()))
                .with_initial_backoff(Duration::from_millis(4)),
            client: new_client(),
            service_url: url.to_owned(),
            clock_offset_ms,
        });
        Self { table, service, nodes: Vec::from(nodes) }
    }

    /// Sends calls with one key to random nodes, until one succeeds or the attempts are used up.
    async fn run_caller(&self, key: &str, seed: u64, log: &RefCell<Vec<Attempt>>) {
        let mut random = StdRng::seed_from_u64(seed);
        for number in 0..MAX_ATTEMPTS_PER_CALLER {
            let node = &self.nodes[random.random_range(0..self.nodes.len())];
            let request_id = format!("{key}/{seed}/{number}");
            let time_left_ms = random.random_range(10..150);
            let pause = match random.random_range(0..3_u8) {
                0 => Duration::from_millis(random.random_range(0..500)),
                _ => Duration::ZERO,
            };
            let result = node.call(key, &request_id, time_left_ms, pause).await;
            let attempt = Attempt { key: key.to_owned(), request_id, result: result.clone() };
            log.borrow_mut().push(attempt);
            if matches!(result, CallResult::Body(_)) {
                return;
            }
            compio::time::sleep(Duration::from_millis(random.random_range(0..60))).await;
        }
    }

    /// Takes the store down twice, at random times.
    async fn run_outages(&self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        for _ in 0..2 {
            compio::time::sleep(Duration::from_millis(random.random_range(20..150))).await;
            self.table.faults().set_down(true);
            compio::time::sleep(Duration::from_millis(100)).await;
            self.table.faults().set_down(false);
        }
    }

    /// Ends the faults and waits until all claims and writes have ended.
    async fn wait_until_idle(&self) {
        self.table.faults().clear_rates();
        self.service.faults().lose_responses(0);
        for node in &self.nodes {
            let idempotency = &node.idempotency;
            wait_until("claims and final writes end", || {
                idempotency.stats().open_claims + idempotency.stats().pending_final_writes == 0
            })
            .await;
            assert_eq!(idempotency.stats().abandoned_writes, 0);
        }
        wait_for_late_writes(&self.table).await;
    }
}

/// Runs all callers under faults and returns their attempts by key.
async fn run_callers(fleet: &Fleet, seed: u64) -> BTreeMap<String, Vec<Attempt>> {
    fleet.table.faults().set_rates(FAULT_RATES, seed);
    fleet.service.faults().lose_responses(4);
    let log = RefCell::new(Vec::new());
    let keys: Vec<_> = (0..KEYS).map(|_| Uuid::now_v7().to_string()).collect();
    let callers = keys.iter().enumerate().flat_map(|(number, key)| {
        let log = &log;
        (0..CALLERS_PER_KEY).map(move |caller| {
            fleet.run_caller(key, seed * 1000 + (number * CALLERS_PER_KEY + caller) as u64, log)
        })
    });
    futures_util::join!(join_all(callers), fleet.run_outages(seed));
    fleet.wait_until_idle().await;
    let mut attempts: BTreeMap<String, Vec<Attempt>> = BTreeMap::new();
    for attempt in log.into_inner() {
        attempts.entry(attempt.key.clone()).or_default().push(attempt);
    }
    attempts
}

/// Whether the caller got an error that says that the call has not run.
fn is_not_run(attempt: &Attempt) -> bool {
    matches!(attempt.result, CallResult::Error(kind) if kind.response().outcome == CallOutcome::NotRun)
}

/// Checks that `key` ran at most once, that no attempt reported as "not run" has run, that all
/// results of the key are equal, and that there is no result without a run.
fn check_key(key: &str, attempts: &[Attempt], runs: &[ServiceRun]) {
    let runs_of_key = || runs.iter().filter(|run| run.idempotency_key.as_deref() == Some(key));
    assert!(runs_of_key().count() <= 1, "key {key} ran more than once: {attempts:?}");
    for attempt in attempts.iter().filter(|attempt| is_not_run(attempt)) {
        let has_run = runs_of_key().any(|run| run.request_id == attempt.request_id);
        assert!(!has_run, "reported as \"not run\", but ran: {attempt:?}");
    }
    let results: Vec<_> =
        attempts.iter().filter(|attempt| matches!(attempt.result, CallResult::Body(_))).collect();
    assert!(results.windows(2).all(|pair| pair[0].result == pair[1].result), "{results:?}");
    assert!(
        results.is_empty() || runs_of_key().count() == 1,
        "a result without a run: {results:?}"
    );
}

/// Checks the rows in the history of the store: a claim is ended only by its own writer, and only a
/// call that was not sent is claimed again.
fn check_rows(history: &[AppliedPut]) {
    let mut last: BTreeMap<&str, (u64, CallRecord)> = BTreeMap::new();
    for put in history {
        let record: CallRecord = decode_message(&put.body).unwrap_or_default();
        let before = last.get(put.sort_key.as_str());
        assert_eq!(put.version, before.map_or(0, |(version, _)| *version) + 1);
        let is_allowed = match before.map(|(_, before)| (before.state.as_str(), before)) {
            None => matches!(record.state.as_str(), "claimed" | "not_run"),
            Some(("claimed", before)) => {
                record.state != "claimed" && record.writer_mark == before.writer_mark
            }
            Some(("not_run", _)) => matches!(record.state.as_str(), "claimed" | "not_run"),
            Some(_) => false,
        };
        assert!(is_allowed, "{before:?} became {record:?}");
        last.insert(&put.sort_key, (put.version, record));
    }
}

/// Guards against two runs of a key, a wrong "not run", two different results of a key, and a key
/// that stays claimed although its call was never sent.
#[compio::test]
async fn calls_run_at_most_once_under_faults_of_the_store() {
    for seed in [11, 12, 13] {
        let (table, _table_server, store) = serve_table().await;
        let service = ServiceFake::new().with_work_time(Duration::from_millis(5));
        let service_server = service.serve(free_loopback_port()).await.unwrap();
        let fleet = Fleet::new(table, &store, service, &url_of(&service_server));
        let attempts = run_callers(&fleet, seed).await;
        let runs = fleet.service.runs();
        check_rows(&fleet.table.history());
        let mut unsent_keys = 0;
        for (key, attempts) in &attempts {
            check_key(key, attempts, &runs);
            // A key whose call was never sent must accept a new call, whatever errors its callers
            // got: all claims that blocked it have been withdrawn.
            if !runs.iter().any(|run| run.idempotency_key.as_ref() == Some(key)) {
                unsent_keys += 1;
                let result = fleet.nodes[1].call(key, "last", 5000, Duration::ZERO).await;
                assert!(
                    matches!(result, CallResult::Body(_)),
                    "key {key} is blocked: {result:?} {attempts:?}"
                );
            }
        }
        println!("seed {seed}: {} runs, {unsent_keys} keys unsent", runs.len());
    }
}
