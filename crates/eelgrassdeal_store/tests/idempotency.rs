//! Tests that a call with an idempotency key runs at most once, and that a call reported as "not
//! run" has not run, with one failure at a time.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{serve_table, wait_for_late_writes, wait_until};
use eelgrassdeal_schema::records::CallRecord;
use eelgrassdeal_schema::{decode_message, encode_message};
use eelgrassdeal_store::{
    ClaimError, ClaimOutcome, ClaimedCall, IdempotencyStore, RowCondition, RowKey, RowWrite,
    StoredResult, TableName, TableStore,
};
use eelgrassdeal_types::ErrorKind;
use futures_util::future::join_all;
use uuid::{NoContext, Timestamp, Uuid};

const NOW_MS: u64 = 1_790_000_000_000;
const DEADLINE_MS: u64 = NOW_MS + 60_000;
const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
/// Service, call name and body of the call in these tests.
const CONTENT: &[&[u8]] = &[b"crews", b"book", b"rink 4, tuesday"];

/// A new UUIDv7 key with the given time.
fn key_at(unix_ms: u64) -> String {
    let nanos = u32::try_from(unix_ms % 1000).unwrap_or(0) * 1_000_000;
    Uuid::new_v7(Timestamp::from_unix(NoContext, unix_ms / 1000, nanos)).to_string()
}

fn new_idempotency_store(store: &(impl TableStore + Clone + 'static)) -> IdempotencyStore {
    IdempotencyStore::new(std::rc::Rc::new(store.clone()))
        .with_initial_backoff(Duration::from_millis(4))
}

async fn claim(idempotency: &IdempotencyStore, key: &str) -> Result<ClaimOutcome, ClaimError> {
    idempotency.claim("account", key, CONTENT, NOW_MS, DEADLINE_MS).await
}

async fn claim_successfully(idempotency: &IdempotencyStore, key: &str) -> ClaimedCall {
    match claim(idempotency, key).await {
        Ok(ClaimOutcome::Claimed(call)) => call,
        other => panic!("the key should be claimed: {other:?}"),
    }
}

fn claim_error(outcome: Result<ClaimOutcome, ClaimError>) -> Option<ErrorKind> {
    outcome.err().map(|error| error.kind)
}

fn is_done(outcome: Result<ClaimOutcome, ClaimError>) -> bool {
    matches!(outcome, Ok(ClaimOutcome::Done(result)) if result == stored_result())
}

/// The result that the upstream returned for the call.
fn stored_result() -> StoredResult {
    StoredResult { status: 201, content_type: "text/plain".into(), body: Bytes::from("booked") }
}

/// Waits until no claim and no final write is in progress.
async fn wait_until_idle(idempotency: &IdempotencyStore) {
    wait_until("claims and final writes end", || {
        idempotency.stats().open_claims + idempotency.stats().pending_final_writes == 0
    })
    .await;
}

/// Guards against a claim that is rejected because the response to its own write was lost.
#[compio::test]
async fn lost_responses_are_resolved_by_the_writer_mark() {
    let (fake, _server, store) = serve_table().await;
    let (idempotency, key) = (new_idempotency_store(&store), key_at(NOW_MS));
    fake.faults().lose_responses(1);
    let call = claim_successfully(&idempotency, &key).await;
    assert_eq!(claim_error(claim(&idempotency, &key).await), Some(ErrorKind::CallInProgress));
    fake.faults().lose_responses(2);
    assert!(idempotency.complete(call, &stored_result()).await);
    assert!(is_done(claim(&new_idempotency_store(&store), &key).await));
    // Both writes took effect once.
    assert_eq!(fake.history().len(), 2);
}

/// Guards against a key that stays claimed after its claim was rejected, and against a claim that
/// takes effect after its rejection, when the store applies the writes of the claim late.
#[compio::test]
async fn a_rejected_claim_whose_write_is_late_is_withdrawn() {
    for late_by in [1, 20, 300] {
        let (fake, _server, store) = serve_table().await;
        let (idempotency, key) = (new_idempotency_store(&store), key_at(NOW_MS));
        fake.faults().delay_writes(3, Duration::from_millis(late_by));
        let outcome = claim(&idempotency, &key).await;
        if let Ok(ClaimOutcome::Claimed(call)) = outcome {
            // The first write was applied before a later attempt, which found it.
            assert!(idempotency.release(call).await);
        } else {
            assert_eq!(claim_error(outcome), Some(ErrorKind::StoreUnavailable));
        }
        wait_for_late_writes(&fake).await;
        wait_until_idle(&idempotency).await;
        let call = claim_successfully(&new_idempotency_store(&store), &key).await;
        assert!(idempotency.complete(call, &stored_result()).await, "late by {late_by} ms");
        assert!(is_done(claim(&idempotency, &key).await));
    }
}

/// Guards against reporting a record as written when the row holds the record of another writer.
#[compio::test]
async fn a_conflict_is_success_only_with_the_writers_mark() {
    let (_fake, _server, store) = serve_table().await;
    let (idempotency, key) = (new_idempotency_store(&store), key_at(NOW_MS));
    let call = claim_successfully(&idempotency, &key).await;
    let row_key = RowKey::new(TableName::Claims, "account", &key);
    let row = store.get(row_key.clone()).await.unwrap().unwrap();
    let mut record: CallRecord = decode_message(&row.body).unwrap();
    record.writer_mark = "another writer".to_owned();
    let condition = RowCondition::VersionIs(row.version);
    let write = RowWrite::put(row_key, condition, encode_message(&record));
    store.transact(vec![write]).await.unwrap();
    assert!(!idempotency.complete(call, &stored_result()).await);
}

/// Guards against a retried release that releases the claim of the next holder.
#[compio::test]
async fn a_release_whose_response_is_lost_keeps_the_next_claim() {
    let (fake, _server, store) = serve_table().await;
    let key = key_at(NOW_MS);
    let slow = new_idempotency_store(&store).with_initial_backoff(Duration::from_millis(200));
    let call = claim_successfully(&slow, &key).await;
    fake.faults().lose_responses(1);
    let release = compio::runtime::spawn(async move { slow.release(call).await });
    wait_until("the release is written", || fake.history().len() == 2).await;
    let idempotency = new_idempotency_store(&store);
    let next = claim_successfully(&idempotency, &key).await;
    assert!(release.await.unwrap());
    assert_eq!(claim_error(claim(&idempotency, &key).await), Some(ErrorKind::CallInProgress));
    assert!(idempotency.complete(next, &stored_result()).await);
}

/// Guards against two holders of one key, at two nodes or within one node.
#[compio::test]
async fn only_one_of_concurrent_claims_wins() {
    let (fake, _server, store) = serve_table().await;
    let (first, second) = (new_idempotency_store(&store), new_idempotency_store(&store));
    let keys: Vec<_> = (0..20).map(|_| key_at(NOW_MS)).collect();
    let attempts = keys.iter().flat_map(|key| {
        [&first, &first, &second].map(|idempotency| async move {
            match claim(idempotency, key).await {
                Ok(ClaimOutcome::Claimed(_)) => 1,
                outcome => {
                    assert_eq!(claim_error(outcome), Some(ErrorKind::CallInProgress));
                    0
                }
            }
        })
    });
    let wins: u32 = join_all(attempts).await.into_iter().sum();
    assert_eq!(wins, 20);
    assert_eq!(fake.history().len(), 20);
}

/// Guards against two rows for the spellings of one key, and against one row for two calls with
/// different content.
#[compio::test]
async fn all_spellings_of_a_key_identify_one_call() {
    let (_fake, _server, store) = serve_table().await;
    let (idempotency, key) = (new_idempotency_store(&store), key_at(NOW_MS));
    let call = claim_successfully(&idempotency, &key).await;
    assert!(idempotency.complete(call, &stored_result()).await);
    let spellings =
        [key.to_uppercase(), key.replace('-', ""), format!("{{{key}}}"), format!("urn:uuid:{key}")];
    for spelling in spellings {
        assert!(is_done(claim(&idempotency, &spelling).await), "{spelling}");
    }
    let bodies: [&[&[u8]]; 2] = [&[b"crews", b"book", b"rink 5"], &[b"crewsbook", b"", CONTENT[2]]];
    for body in bodies {
        let outcome = idempotency.claim("account", &key, body, NOW_MS, DEADLINE_MS).await;
        assert_eq!(claim_error(outcome), Some(ErrorKind::KeyMismatch));
    }
}

/// Guards against a second run of a call after its record expired, with clocks that differ by
/// minutes.
#[compio::test]
async fn a_record_outlives_its_key_despite_clock_differences() {
    for (claimer_behind_ms, reader_behind_ms) in [(0, 0), (4 * MINUTE_MS, 30 * MINUTE_MS)] {
        let (fake, _server, store) = serve_table().await;
        let idempotency = new_idempotency_store(&store);
        let key = key_at(NOW_MS);
        let claimer_ms = NOW_MS - claimer_behind_ms;
        let outcome =
            idempotency.claim("account", &key, CONTENT, claimer_ms, claimer_ms + MINUTE_MS).await;
        let Ok(ClaimOutcome::Claimed(call)) = outcome else { panic!("{outcome:?}") };
        assert!(idempotency.complete(call, &stored_result()).await);
        let mut dropped = 0;
        for age_ms in (23 * HOUR_MS..25 * HOUR_MS).step_by(5 * 60_000) {
            dropped += fake.remove_expired((NOW_MS + age_ms) / 1000);
            let reader_ms = NOW_MS + age_ms - reader_behind_ms;
            let again =
                idempotency.claim("account", &key, CONTENT, reader_ms, reader_ms + MINUTE_MS).await;
            match claim_error(again) {
                None | Some(ErrorKind::KeyExpired) => {}
                other => panic!("{other:?}"),
            }
        }
        assert_eq!(fake.history().len(), 2, "the key was claimed again");
        dropped += fake.remove_expired((NOW_MS + 26 * HOUR_MS) / 1000);
        assert_eq!(dropped, 1, "the record was not deleted exactly once");
    }
}

/// Guards the limits on the time of a key, and the check that it is a UUIDv7.
#[compio::test]
async fn keys_outside_the_retention_are_rejected() {
    let (fake, _server, store) = serve_table().await;
    let idempotency = new_idempotency_store(&store);
    let too_old = key_at(NOW_MS - 24 * HOUR_MS + 4 * MINUTE_MS);
    assert_eq!(claim_error(claim(&idempotency, &too_old).await), Some(ErrorKind::KeyExpired));
    let future = key_at(NOW_MS + 6 * MINUTE_MS);
    assert_eq!(claim_error(claim(&idempotency, &future).await), Some(ErrorKind::KeyExpired));
    let random = Uuid::new_v4().to_string();
    assert_eq!(claim_error(claim(&idempotency, &random).await), Some(ErrorKind::KeyInvalid));
    assert!(fake.history().is_empty());
}

/// Guards against a holder that sends its call late after a pause, and against another claim that
/// takes over the key of the paused holder.
#[compio::test]
async fn a_paused_holder_neither_sends_late_nor_loses_its_claim() {
    let (_fake, _server, store) = serve_table().await;
    let (idempotency, key) = (new_idempotency_store(&store), key_at(NOW_MS));
    let outcome = idempotency.claim("account", &key, CONTENT, NOW_MS, NOW_MS + 1000).await;
    let Ok(ClaimOutcome::Claimed(call)) = outcome else { panic!("{outcome:?}") };
    assert!(!call.may_send(NOW_MS + 1000), "the wall clock has passed the deadline");
    compio::time::sleep(Duration::from_millis(1010)).await;
    assert!(!call.may_send(NOW_MS), "the monotonic clock has passed the deadline");
    let other = new_idempotency_store(&store);
    let later_ms = NOW_MS + 10 * MINUTE_MS;
    let outcome = other.claim("account", &key, CONTENT, later_ms, later_ms + MINUTE_MS).await;
    assert_eq!(claim_error(outcome), Some(ErrorKind::OutcomeUnknown));
    // Only after the holder has recorded that it sent nothing may another claim succeed.
    assert!(idempotency.release(call).await);
    claim_successfully(&other, &key).await;
}

/// Guards against wrong outcomes when the store is down before the claim, or between the claim and
/// the result.
#[compio::test]
async fn an_outage_in_any_step_gives_correct_outcomes() {
    let (fake, _server, store) = serve_table().await;
    let (idempotency, key) = (new_idempotency_store(&store), key_at(NOW_MS));
    fake.faults().set_down(true);
    assert_eq!(claim_error(claim(&idempotency, &key).await), Some(ErrorKind::StoreUnavailable));
    fake.faults().set_down(false);
    wait_until_idle(&idempotency).await;

    let call = claim_successfully(&idempotency, &key).await;
    fake.faults().set_down(true);
    assert!(!idempotency.complete(call, &stored_result()).await);
    fake.faults().set_down(false);
    wait_until_idle(&idempotency).await;
    assert!(is_done(claim(&new_idempotency_store(&store), &key).await));
    assert_eq!(idempotency.stats().abandoned_writes, 0);
}

/// Guards against a key that stays claimed when its caller stops waiting during the claim.
#[compio::test]
async fn a_claim_whose_caller_stops_waiting_is_withdrawn() {
    let (fake, _server, store) = serve_table().await;
    let (idempotency, key) = (new_idempotency_store(&store), key_at(NOW_MS));
    fake.faults().set_delay(Duration::from_millis(60));
    let wait = Duration::from_millis(20);
    assert!(compio::time::timeout(wait, claim(&idempotency, &key)).await.is_err());
    let outcome = idempotency.claim("account", &key_at(NOW_MS), CONTENT, NOW_MS, NOW_MS + 20).await;
    assert_eq!(claim_error(outcome), Some(ErrorKind::DeadlineExpired));
    fake.faults().set_delay(Duration::ZERO);
    wait_until("both claims are withdrawn", || fake.history().len() == 4).await;
    wait_until_idle(&idempotency).await;
    claim_successfully(&idempotency, &key).await;
}

/// Guards against a conflict of one row that fails the other rows of its transaction, or that makes
/// each row cost a transaction of its own.
#[compio::test]
async fn a_conflict_in_a_batch_costs_one_more_transaction() {
    let (fake, _server, store) = serve_table().await;
    let idempotency = new_idempotency_store(&store);
    let keys: Vec<_> = (0..10).map(|_| key_at(NOW_MS)).collect();
    let call = claim_successfully(&idempotency, &keys[3]).await;
    assert!(idempotency.complete(call, &stored_result()).await);
    let writes_before = fake.stats().writes;
    let outcomes = join_all(keys.iter().map(|key| claim(&idempotency, key))).await;
    let wins = outcomes.iter().filter(|outcome| matches!(outcome, Ok(ClaimOutcome::Claimed(_))));
    assert_eq!(wins.count(), 9);
    assert!(matches!(&outcomes[3], Ok(ClaimOutcome::Done(_))));
    assert_eq!(fake.stats().writes - writes_before, 2);
}

/// Guards the number of transactions: the table service handles only several hundred per second.
#[compio::test]
async fn concurrent_claims_share_transactions() {
    for (claims, batched_writes) in [(1, 1), (16, 1), (64, 3)] {
        for (rows, writes) in [(1, claims), (25, batched_writes)] {
            let (fake, _server, store) = serve_table().await;
            let idempotency = new_idempotency_store(&store).with_batch_rows(rows);
            let keys: Vec<_> = (0..claims).map(|_| key_at(NOW_MS)).collect();
            let outcomes = join_all(keys.iter().map(|key| claim(&idempotency, key))).await;
            assert!(outcomes.iter().all(Result::is_ok));
            assert_eq!(fake.stats().writes, writes, "{claims} claims, {rows} rows");
        }
    }
}

/// Guards against claims that each start a transaction while another transaction is in flight.
#[compio::test]
async fn claims_are_batched_while_a_transaction_is_in_flight() {
    let (fake, _server, store) = serve_table().await;
    let idempotency = new_idempotency_store(&store);
    fake.faults().set_delay(Duration::from_millis(100));
    let keys: Vec<_> = (0..11).map(|_| key_at(NOW_MS)).collect();
    let claim_rest = async {
        wait_until("the first transaction is in flight", || idempotency.stats().transactions == 1)
            .await;
        join_all(keys[1..].iter().map(|key| claim(&idempotency, key))).await
    };
    let (first, rest) = futures_util::join!(claim(&idempotency, &keys[0]), claim_rest);
    assert!(first.is_ok() && rest.iter().all(Result::is_ok));
    assert_eq!(fake.stats().writes, 2);
}

/// Guards against one transaction without a response that delays every later claim.
#[compio::test]
async fn a_stalled_transaction_does_not_delay_other_claims() {
    let (fake, _server, store) = serve_table().await;
    let idempotency = new_idempotency_store(&store);
    fake.faults().set_delay(Duration::from_secs(3600));
    let (stalled_key, other_key) = (key_at(NOW_MS), key_at(NOW_MS));
    let stalled_claim = idempotency.claim("account", &stalled_key, CONTENT, NOW_MS, NOW_MS + 100);
    let claim_other = async {
        wait_until("the first claim is stalled", || fake.stats().calls == 1).await;
        fake.faults().set_delay(Duration::ZERO);
        // Less than the timeout of the stalled transaction.
        idempotency.claim("account", &other_key, CONTENT, NOW_MS, NOW_MS + 3000).await
    };
    let (stalled, outcome) = futures_util::join!(stalled_claim, claim_other);
    assert_eq!(claim_error(stalled), Some(ErrorKind::DeadlineExpired));
    assert!(matches!(outcome, Ok(ClaimOutcome::Claimed(_))));
}

/// Guards against a transaction with two writes to one row, which the service rejects as a whole.
#[compio::test]
async fn concurrent_claims_of_one_key_use_different_transactions() {
    let (fake, _server, store) = serve_table().await;
    let (idempotency, key) = (new_idempotency_store(&store), key_at(NOW_MS));
    let outcomes = join_all([claim(&idempotency, &key), claim(&idempotency, &key)]).await;
    assert_eq!(outcomes.iter().filter(|outcome| outcome.is_ok()).count(), 1);
    assert_eq!(fake.stats().writes, 2);
    assert_eq!(idempotency.stats().transactions, 2);
}

/// Guards against returning a result without its body for a repeated key, if the body was too large
/// to store.
#[compio::test]
async fn a_result_too_large_to_store_is_not_returned() {
    let (_fake, _server, store) = serve_table().await;
    let (idempotency, key) = (new_idempotency_store(&store), key_at(NOW_MS));
    let call = claim_successfully(&idempotency, &key).await;
    let body = Bytes::from(vec![7; 64 * 1024 + 1]);
    assert!(idempotency.complete(call, &StoredResult { body, ..stored_result() }).await);
    assert_eq!(claim_error(claim(&idempotency, &key).await), Some(ErrorKind::AnswerIncomplete));
}
