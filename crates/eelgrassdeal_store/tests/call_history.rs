//! Guards "at most once" and "not run" in concurrent runs with faults, by the histories of the
//! callers, the table stand-in and the service stand-in.

mod common;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::{any_port, await_late_writes, await_until, new_client, serve_table, url_of};
use cyper::Client;
use eelgrassdeal_schema::decode_message;
use eelgrassdeal_schema::records::CallRecord;
use eelgrassdeal_standins::{AppliedPut, FaultMix, ServiceFake, ServiceRun, TableFake};
use eelgrassdeal_store::{CallLedger, ClaimOutcome, HttpTableStore, StoredResult};
use eelgrassdeal_types::{CallOutcome, ErrorKind, unix_ms_now};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use uuid::Uuid;

const KEYS: usize = 24;
const CALLERS: usize = 3;
const ATTEMPTS: usize = 3;
/// Clocks of the nodes differ by minutes.
const CLOCK_OFFSETS_MS: [i64; 4] = [-180_000, 0, 120_000, 240_000];
const MIX: FaultMix = FaultMix {
    lost_answer_percent: 15,
    lost_request_percent: 10,
    late_write_percent: 15,
    late_by: Duration::from_millis(120),
};

/// A node reduced to its use of the ledger.
struct Node {
    ledger: CallLedger,
    client: Client,
    service_url: String,
    clock_offset_ms: i64,
}

#[derive(Clone, Debug, PartialEq)]
enum Answer {
    Result(Bytes),
    Refused(ErrorKind),
}

/// What one caller was told.
#[derive(Debug)]
struct Attempt {
    key: String,
    request_id: String,
    answer: Answer,
}

impl Node {
    fn now_ms(&self) -> u64 {
        unix_ms_now().saturating_add_signed(self.clock_offset_ms)
    }

    /// Calls the service under `key`; stands still for `pause` between claim and send.
    async fn call(
        &self,
        key: &str,
        request_id: &str,
        time_left_ms: u64,
        pause: Duration,
    ) -> Answer {
        let now_ms = self.now_ms();
        let deadline_ms = now_ms + time_left_ms;
        let claim = self.ledger.claim("kamenko", key, &[b"crews", b"book"], now_ms, deadline_ms);
        let call = match claim.await {
            Ok(ClaimOutcome::Claimed(call)) => call,
            Ok(ClaimOutcome::Done(result)) => return Answer::Result(result.body),
            Err(error) => return Answer::Refused(error.kind),
        };
        compio::time::sleep(pause).await;
        if !call.may_send(self.now_ms()) {
            self.ledger.release(call).await;
            return Answer::Refused(ErrorKind::DeadlineExpired);
        }
        match self.send(key, request_id).await {
            Ok(body) => {
                let content_type = "application/json".to_owned();
                let result = StoredResult { status: 200, content_type, body: body.clone() };
                self.ledger.complete(call, &result).await;
                Answer::Result(body)
            }
            Err(_) => Answer::Refused(ErrorKind::OutcomeUnknown),
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
            ledger: CallLedger::new(Rc::new(store.clone()))
                .with_first_delay(Duration::from_millis(4)),
            client: new_client(),
            service_url: url.to_owned(),
            clock_offset_ms,
        });
        Self { table, service, nodes: Vec::from(nodes) }
    }

    /// Repeats one key at changing nodes, as long as the answer invites it.
    async fn run_caller(&self, key: &str, seed: u64, log: &RefCell<Vec<Attempt>>) {
        let mut random = StdRng::seed_from_u64(seed);
        for number in 0..ATTEMPTS {
            let node = &self.nodes[random.random_range(0..self.nodes.len())];
            let request_id = format!("{key}/{seed}/{number}");
            let time_left_ms = random.random_range(10..150);
            let pause = match random.random_range(0..3_u8) {
                0 => Duration::from_millis(random.random_range(0..500)),
                _ => Duration::ZERO,
            };
            let answer = node.call(key, &request_id, time_left_ms, pause).await;
            let attempt = Attempt { key: key.to_owned(), request_id, answer: answer.clone() };
            log.borrow_mut().push(attempt);
            if matches!(answer, Answer::Result(_)) {
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

    async fn settle(&self) {
        self.table.faults().clear_mix();
        self.service.faults().lose_answers(0);
        for node in &self.nodes {
            let ledger = &node.ledger;
            await_until("claims and final writes end", || {
                ledger.stats().open_claims + ledger.stats().background_writes == 0
            })
            .await;
            assert_eq!(ledger.stats().abandoned_writes, 0);
        }
        await_late_writes(&self.table).await;
    }
}

/// Runs all callers under faults and returns what they were told, by key.
async fn run_callers(fleet: &Fleet, seed: u64) -> BTreeMap<String, Vec<Attempt>> {
    fleet.table.faults().set_mix(MIX, seed);
    fleet.service.faults().lose_answers(4);
    let log = RefCell::new(Vec::new());
    let keys: Vec<_> = (0..KEYS).map(|_| Uuid::now_v7().to_string()).collect();
    let callers = keys.iter().enumerate().flat_map(|(number, key)| {
        let log = &log;
        (0..CALLERS).map(move |caller| {
            fleet.run_caller(key, seed * 1000 + (number * CALLERS + caller) as u64, log)
        })
    });
    futures_util::join!(join_all(callers), fleet.run_outages(seed));
    fleet.settle().await;
    let mut attempts: BTreeMap<String, Vec<Attempt>> = BTreeMap::new();
    for attempt in log.into_inner() {
        attempts.entry(attempt.key.clone()).or_default().push(attempt);
    }
    attempts
}

fn is_not_run(attempt: &Attempt) -> bool {
    matches!(attempt.answer, Answer::Refused(kind) if kind.response().outcome == CallOutcome::NotRun)
}

fn check_key(key: &str, attempts: &[Attempt], runs: &[ServiceRun]) {
    let of_key = || runs.iter().filter(|run| run.key.as_deref() == Some(key));
    assert!(of_key().count() <= 1, "key {key} ran more than once: {attempts:?}");
    for attempt in attempts.iter().filter(|attempt| is_not_run(attempt)) {
        let has_run = of_key().any(|run| run.request_id == attempt.request_id);
        assert!(!has_run, "told \"not run\", but ran: {attempt:?}");
    }
    let results: Vec<_> =
        attempts.iter().filter(|attempt| matches!(attempt.answer, Answer::Result(_))).collect();
    assert!(results.windows(2).all(|pair| pair[0].answer == pair[1].answer), "{results:?}");
    assert!(results.is_empty() || of_key().count() == 1, "a result without a run: {results:?}");
}

/// Checks the rows as the store saw them: a claim is ended only by its own writer, and only a call
/// that was not sent is claimed again.
fn check_rows(history: &[AppliedPut]) {
    let mut last: BTreeMap<&str, (u64, CallRecord)> = BTreeMap::new();
    for put in history {
        let record: CallRecord = decode_message(&put.body).unwrap_or_default();
        let before = last.get(put.sort.as_str());
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
        last.insert(&put.sort, (put.version, record));
    }
}

/// Guards against two runs of a key, an untrue "not run", two different results of a key, and a
/// key that stays blocked although its call was never sent.
#[compio::test]
async fn calls_run_at_most_once_under_faults_of_the_store() {
    for seed in [11, 12, 13] {
        let (table, _table_server, store) = serve_table().await;
        let service = ServiceFake::new().with_work_time(Duration::from_millis(5));
        let service_server = service.serve(any_port()).await.unwrap();
        let fleet = Fleet::new(table, &store, service, &url_of(&service_server));
        let attempts = run_callers(&fleet, seed).await;
        let runs = fleet.service.runs();
        check_rows(&fleet.table.history());
        let mut unsent_keys = 0;
        for (key, attempts) in &attempts {
            check_key(key, attempts, &runs);
            // Refusals about the key stand here for a claim that was later withdrawn.
            if !runs.iter().any(|run| run.key.as_ref() == Some(key)) {
                unsent_keys += 1;
                let answer = fleet.nodes[1].call(key, "last", 5000, Duration::ZERO).await;
                assert!(
                    matches!(answer, Answer::Result(_)),
                    "key {key} is blocked: {answer:?} {attempts:?}"
                );
            }
        }
        println!("seed {seed}: {} runs, {unsent_keys} keys unsent", runs.len());
    }
}
