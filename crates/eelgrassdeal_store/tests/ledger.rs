//! Guards "at most once" and "not run" of the call ledger, one failure at a time.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{await_late_writes, await_until, serve_table};
use eelgrassdeal_schema::records::CallRecord;
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_store::{
    CallLedger, ClaimOutcome, ClaimedCall, LedgerError, RowCondition, RowKey, RowWrite,
    StoredResult, TableName, TableStore,
};
use eelgrassdeal_types::ErrorKind;
use futures_util::future::join_all;
use uuid::{NoContext, Timestamp, Uuid};

const NOW_MS: u64 = 1_790_000_000_000;
const DEADLINE_MS: u64 = NOW_MS + 60_000;
const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const BODY: &[&[u8]] = &[b"crews", b"book", b"rink 4, tuesday"];

fn key_at(unix_ms: u64) -> String {
    let nanos = u32::try_from(unix_ms % 1000).unwrap_or(0) * 1_000_000;
    Uuid::new_v7(Timestamp::from_unix(NoContext, unix_ms / 1000, nanos)).to_string()
}

fn new_ledger(store: &(impl TableStore + Clone + 'static)) -> CallLedger {
    CallLedger::new(std::rc::Rc::new(store.clone())).with_first_delay(Duration::from_millis(4))
}

async fn claim(ledger: &CallLedger, key: &str) -> Result<ClaimOutcome, LedgerError> {
    ledger.claim("kamenko", key, BODY, NOW_MS, DEADLINE_MS).await
}

async fn claimed(ledger: &CallLedger, key: &str) -> ClaimedCall {
    match claim(ledger, key).await {
        Ok(ClaimOutcome::Claimed(call)) => call,
        other => panic!("the key should be claimed: {other:?}"),
    }
}

fn refusal(outcome: Result<ClaimOutcome, LedgerError>) -> Option<ErrorKind> {
    outcome.err().map(|error| error.kind)
}

fn is_done(outcome: Result<ClaimOutcome, LedgerError>) -> bool {
    matches!(outcome, Ok(ClaimOutcome::Done(result)) if result == receipt())
}

fn receipt() -> StoredResult {
    StoredResult { status: 201, content_type: "text/plain".into(), body: Bytes::from("booked") }
}

async fn await_background(ledger: &CallLedger) {
    await_until("claims and final writes end", || {
        ledger.stats().open_claims + ledger.stats().background_writes == 0
    })
    .await;
}

/// Guards against a claim that is refused although its write took effect.
#[compio::test]
async fn lost_answers_are_resolved_by_the_mark() {
    let (fake, _server, store) = serve_table().await;
    let (ledger, key) = (new_ledger(&store), key_at(NOW_MS));
    fake.faults().lose_answers(1);
    let call = claimed(&ledger, &key).await;
    assert_eq!(refusal(claim(&ledger, &key).await), Some(ErrorKind::CallInProgress));
    fake.faults().lose_answers(2);
    assert!(ledger.complete(call, &receipt()).await);
    assert!(is_done(claim(&new_ledger(&store), &key).await));
    // Both writes took effect once.
    assert_eq!(fake.history().len(), 2);
}

/// Guards against a key that stays blocked, and against a claim that appears after its refusal,
/// when the store carries the writes of a refused claim out later.
#[compio::test]
async fn a_refused_claim_whose_write_is_late_is_withdrawn() {
    for late_by in [1, 20, 300] {
        let (fake, _server, store) = serve_table().await;
        let (ledger, key) = (new_ledger(&store), key_at(NOW_MS));
        fake.faults().delay_writes(3, Duration::from_millis(late_by));
        let outcome = claim(&ledger, &key).await;
        if let Ok(ClaimOutcome::Claimed(call)) = outcome {
            // The first write came in time for a later try to find it.
            assert!(ledger.release(call).await);
        } else {
            assert_eq!(refusal(outcome), Some(ErrorKind::StoreUnavailable));
        }
        await_late_writes(&fake).await;
        await_background(&ledger).await;
        let call = claimed(&new_ledger(&store), &key).await;
        assert!(ledger.complete(call, &receipt()).await, "late by {late_by} ms");
        assert!(is_done(claim(&ledger, &key).await));
    }
}

/// Guards against a record reported as written when the row holds something else.
#[compio::test]
async fn a_conflict_is_success_only_with_the_writers_mark() {
    let (_fake, _server, store) = serve_table().await;
    let (ledger, key) = (new_ledger(&store), key_at(NOW_MS));
    let call = claimed(&ledger, &key).await;
    let row_key = RowKey::new(TableName::Claims, "kamenko", &key);
    let row = store.get(row_key.clone()).await.unwrap().unwrap();
    let mut record: CallRecord = decode_message(&row.body).unwrap();
    record.writer_mark = "restored from a copy".to_owned();
    let condition = RowCondition::VersionIs(row.version);
    let write = RowWrite::put(row_key, condition, encode_message(&record));
    store.transact(vec![write]).await.unwrap();
    assert!(!ledger.complete(call, &receipt()).await);
}

/// Guards against a repeated release that frees the claim of the next holder.
#[compio::test]
async fn a_release_whose_answer_is_lost_leaves_the_next_claim_alone() {
    let (fake, _server, store) = serve_table().await;
    let key = key_at(NOW_MS);
    let slow = new_ledger(&store).with_first_delay(Duration::from_millis(200));
    let call = claimed(&slow, &key).await;
    fake.faults().lose_answers(1);
    let release = compio::runtime::spawn(async move { slow.release(call).await });
    await_until("the release is written", || fake.history().len() == 2).await;
    let ledger = new_ledger(&store);
    let next = claimed(&ledger, &key).await;
    assert!(release.await.unwrap());
    assert_eq!(refusal(claim(&ledger, &key).await), Some(ErrorKind::CallInProgress));
    assert!(ledger.complete(next, &receipt()).await);
}

/// Guards against two holders of one key, at two nodes and within one.
#[compio::test]
async fn of_claims_at_once_one_wins() {
    let (fake, _server, store) = serve_table().await;
    let (first, second) = (new_ledger(&store), new_ledger(&store));
    let keys: Vec<_> = (0..20).map(|_| key_at(NOW_MS)).collect();
    let attempts = keys.iter().flat_map(|key| {
        [&first, &first, &second].map(|ledger| async move {
            match claim(ledger, key).await {
                Ok(ClaimOutcome::Claimed(_)) => 1,
                outcome => {
                    assert_eq!(refusal(outcome), Some(ErrorKind::CallInProgress));
                    0
                }
            }
        })
    });
    let wins: u32 = join_all(attempts).await.into_iter().sum();
    assert_eq!(wins, 20);
    assert_eq!(fake.history().len(), 20);
}

/// Guards against one key that names two rows, or one row that answers two calls.
#[compio::test]
async fn a_key_is_one_call_in_every_spelling() {
    let (_fake, _server, store) = serve_table().await;
    let (ledger, key) = (new_ledger(&store), key_at(NOW_MS));
    let call = claimed(&ledger, &key).await;
    assert!(ledger.complete(call, &receipt()).await);
    let spellings =
        [key.to_uppercase(), key.replace('-', ""), format!("{{{key}}}"), format!("urn:uuid:{key}")];
    for spelling in spellings {
        assert!(is_done(claim(&ledger, &spelling).await), "{spelling}");
    }
    let bodies: [&[&[u8]]; 2] = [&[b"crews", b"book", b"rink 5"], &[b"crewsbook", b"", BODY[2]]];
    for body in bodies {
        let outcome = ledger.claim("kamenko", &key, body, NOW_MS, DEADLINE_MS).await;
        assert_eq!(refusal(outcome), Some(ErrorKind::KeyMismatch));
    }
}

/// Guards against a second run after the record was dropped, with clocks that differ by minutes.
#[compio::test]
async fn a_record_outlives_its_key_at_every_clock() {
    for (claimer_behind_ms, reader_behind_ms) in [(0, 0), (4 * MINUTE_MS, 30 * MINUTE_MS)] {
        let (fake, _server, store) = serve_table().await;
        let ledger = new_ledger(&store);
        let key = key_at(NOW_MS);
        let claimer_ms = NOW_MS - claimer_behind_ms;
        let outcome = ledger.claim("kamenko", &key, BODY, claimer_ms, claimer_ms + MINUTE_MS).await;
        let Ok(ClaimOutcome::Claimed(call)) = outcome else { panic!("{outcome:?}") };
        assert!(ledger.complete(call, &receipt()).await);
        let mut dropped = 0;
        for age_ms in (23 * HOUR_MS..25 * HOUR_MS).step_by(5 * 60_000) {
            dropped += fake.drop_expired((NOW_MS + age_ms) / 1000);
            let reader_ms = NOW_MS + age_ms - reader_behind_ms;
            let again = ledger.claim("kamenko", &key, BODY, reader_ms, reader_ms + MINUTE_MS).await;
            match refusal(again) {
                None | Some(ErrorKind::KeyExpired) => {}
                other => panic!("{other:?}"),
            }
        }
        assert_eq!(fake.history().len(), 2, "the key was claimed again");
        dropped += fake.drop_expired((NOW_MS + 26 * HOUR_MS) / 1000);
        assert_eq!(dropped, 1, "the record is never dropped");
    }
}

/// Guards the bounds of a key's time and form.
#[compio::test]
async fn keys_outside_the_retention_are_refused() {
    let (fake, _server, store) = serve_table().await;
    let ledger = new_ledger(&store);
    let too_old = key_at(NOW_MS - 24 * HOUR_MS + 4 * MINUTE_MS);
    assert_eq!(refusal(claim(&ledger, &too_old).await), Some(ErrorKind::KeyExpired));
    let future = key_at(NOW_MS + 6 * MINUTE_MS);
    assert_eq!(refusal(claim(&ledger, &future).await), Some(ErrorKind::KeyExpired));
    let random = Uuid::new_v4().to_string();
    assert_eq!(refusal(claim(&ledger, &random).await), Some(ErrorKind::KeyInvalid));
    assert!(fake.history().is_empty());
}

/// Guards against a send after a pause, and against a takeover from the paused holder.
#[compio::test]
async fn a_paused_holder_neither_sends_late_nor_loses_its_claim() {
    let (_fake, _server, store) = serve_table().await;
    let (ledger, key) = (new_ledger(&store), key_at(NOW_MS));
    let outcome = ledger.claim("kamenko", &key, BODY, NOW_MS, NOW_MS + 1000).await;
    let Ok(ClaimOutcome::Claimed(call)) = outcome else { panic!("{outcome:?}") };
    assert!(!call.may_send(NOW_MS + 1000), "the wall clock has passed the deadline");
    compio::time::sleep(Duration::from_millis(1010)).await;
    assert!(!call.may_send(NOW_MS), "the steady clock has passed the deadline");
    let other = new_ledger(&store);
    let later_ms = NOW_MS + 10 * MINUTE_MS;
    let outcome = other.claim("kamenko", &key, BODY, later_ms, later_ms + MINUTE_MS).await;
    assert_eq!(refusal(outcome), Some(ErrorKind::OutcomeUnknown));
    // The holder tells that it sent nothing; only then may the call run.
    assert!(ledger.release(call).await);
    claimed(&other, &key).await;
}

/// Guards the answers when the store is down before the claim, or between claim and result.
#[compio::test]
async fn an_outage_in_any_step_keeps_the_answers_true() {
    let (fake, _server, store) = serve_table().await;
    let (ledger, key) = (new_ledger(&store), key_at(NOW_MS));
    fake.faults().set_down(true);
    assert_eq!(refusal(claim(&ledger, &key).await), Some(ErrorKind::StoreUnavailable));
    fake.faults().set_down(false);
    await_background(&ledger).await;

    let call = claimed(&ledger, &key).await;
    fake.faults().set_down(true);
    assert!(!ledger.complete(call, &receipt()).await);
    fake.faults().set_down(false);
    await_background(&ledger).await;
    assert!(is_done(claim(&new_ledger(&store), &key).await));
    assert_eq!(ledger.stats().abandoned_writes, 0);
}

/// Guards against a key that stays blocked when its caller goes away during the claim.
#[compio::test]
async fn a_claim_that_nobody_waits_for_is_withdrawn() {
    let (fake, _server, store) = serve_table().await;
    let (ledger, key) = (new_ledger(&store), key_at(NOW_MS));
    fake.faults().set_delay(Duration::from_millis(60));
    let wait = Duration::from_millis(20);
    assert!(compio::time::timeout(wait, claim(&ledger, &key)).await.is_err());
    let outcome = ledger.claim("kamenko", &key_at(NOW_MS), BODY, NOW_MS, NOW_MS + 20).await;
    assert_eq!(refusal(outcome), Some(ErrorKind::DeadlineExpired));
    fake.faults().set_delay(Duration::ZERO);
    await_until("both claims are withdrawn", || fake.history().len() == 4).await;
    await_background(&ledger).await;
    claimed(&ledger, &key).await;
}

/// Guards against one row of a batch that fails the others, and against a write for each claim.
#[compio::test]
async fn a_conflict_in_a_batch_costs_one_more_write() {
    let (fake, _server, store) = serve_table().await;
    let ledger = new_ledger(&store);
    let keys: Vec<_> = (0..10).map(|_| key_at(NOW_MS)).collect();
    let call = claimed(&ledger, &keys[3]).await;
    assert!(ledger.complete(call, &receipt()).await);
    let writes_before = fake.stats().writes;
    let outcomes = join_all(keys.iter().map(|key| claim(&ledger, key))).await;
    let wins = outcomes.iter().filter(|outcome| matches!(outcome, Ok(ClaimOutcome::Claimed(_))));
    assert_eq!(wins.count(), 9);
    assert!(matches!(&outcomes[3], Ok(ClaimOutcome::Done(_))));
    assert_eq!(fake.stats().writes - writes_before, 2);
}

/// Guards the number of store writes, of which the platform bears several hundred a second.
#[compio::test]
async fn claims_at_once_share_transactions() {
    for (claims, batched_writes) in [(1, 1), (16, 1), (64, 3)] {
        for (rows, writes) in [(1, claims), (25, batched_writes)] {
            let (fake, _server, store) = serve_table().await;
            let ledger = new_ledger(&store).with_batch_rows(rows);
            let keys: Vec<_> = (0..claims).map(|_| key_at(NOW_MS)).collect();
            let outcomes = join_all(keys.iter().map(|key| claim(&ledger, key))).await;
            assert!(outcomes.iter().all(Result::is_ok));
            assert_eq!(fake.stats().writes, writes, "{claims} claims, {rows} rows");
        }
    }
}

/// Guards against claims that start a transaction each while one is in flight.
#[compio::test]
async fn claims_collect_while_a_transaction_is_in_flight() {
    let (fake, _server, store) = serve_table().await;
    let ledger = new_ledger(&store);
    fake.faults().set_delay(Duration::from_millis(100));
    let keys: Vec<_> = (0..11).map(|_| key_at(NOW_MS)).collect();
    let claim_rest = async {
        await_until("the first is in flight", || ledger.stats().transactions == 1).await;
        join_all(keys[1..].iter().map(|key| claim(&ledger, key))).await
    };
    let (first, rest) = futures_util::join!(claim(&ledger, &keys[0]), claim_rest);
    assert!(first.is_ok() && rest.iter().all(Result::is_ok));
    assert_eq!(fake.stats().writes, 2);
}

/// Guards against one transaction without an answer that holds up every later claim.
#[compio::test]
async fn a_hanging_transaction_does_not_hold_up_other_claims() {
    let (fake, _server, store) = serve_table().await;
    let ledger = new_ledger(&store);
    fake.faults().set_delay(Duration::from_secs(3600));
    let (hanging, other) = (key_at(NOW_MS), key_at(NOW_MS));
    let hang = ledger.claim("kamenko", &hanging, BODY, NOW_MS, NOW_MS + 100);
    let claim_other = async {
        await_until("the first hangs", || fake.stats().calls == 1).await;
        fake.faults().set_delay(Duration::ZERO);
        // Less than the time limit of the hanging transaction.
        ledger.claim("kamenko", &other, BODY, NOW_MS, NOW_MS + 3000).await
    };
    let (hung, outcome) = futures_util::join!(hang, claim_other);
    assert_eq!(refusal(hung), Some(ErrorKind::DeadlineExpired));
    assert!(matches!(outcome, Ok(ClaimOutcome::Claimed(_))));
}

/// Guards against a transaction that names a row twice, which the service refuses as a whole.
#[compio::test]
async fn claims_of_one_key_at_once_are_in_different_transactions() {
    let (fake, _server, store) = serve_table().await;
    let (ledger, key) = (new_ledger(&store), key_at(NOW_MS));
    let outcomes = join_all([claim(&ledger, &key), claim(&ledger, &key)]).await;
    assert_eq!(outcomes.iter().filter(|outcome| outcome.is_ok()).count(), 1);
    assert_eq!(fake.stats().writes, 2);
    assert_eq!(ledger.stats().transactions, 2);
}

/// Guards against a repeated key that is answered with a part of the first answer.
#[compio::test]
async fn a_result_too_large_to_keep_is_never_answered_in_part() {
    let (_fake, _server, store) = serve_table().await;
    let (ledger, key) = (new_ledger(&store), key_at(NOW_MS));
    let call = claimed(&ledger, &key).await;
    let body = Bytes::from(vec![7; 64 * 1024 + 1]);
    assert!(ledger.complete(call, &StoredResult { body, ..receipt() }).await);
    assert_eq!(refusal(claim(&ledger, &key).await), Some(ErrorKind::AnswerIncomplete));
}
