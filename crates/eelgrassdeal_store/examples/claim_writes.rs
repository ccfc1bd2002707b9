//! Prints the number of transactions that concurrent calls cost, with one row per transaction and
//! with shared transactions.
//!
//! Run with `cargo run -p eelgrassdeal_store --example claim_writes`.

use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cyper::Client;
use eelgrassdeal_standins::TableFake;
use eelgrassdeal_store::{
    ClaimOutcome, ClaimedCall, HttpTableStore, IdempotencyStore, StoredResult,
};
use eelgrassdeal_types::unix_ms_now;
use futures_util::future::join_all;
use uuid::Uuid;

/// Time that the store takes to respond.
const STORE_DELAY: Duration = Duration::from_millis(10);
/// Time between two claims in the second half of the output.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(1);

/// Claims a new key after `delay`.
async fn claim(idempotency: &IdempotencyStore, delay: Duration) -> Option<ClaimedCall> {
    compio::time::sleep(delay).await;
    let now_ms = unix_ms_now();
    let key = Uuid::now_v7().to_string();
    let claim = idempotency.claim("account", &key, &[b"service", b"call"], now_ms, now_ms + 30_000);
    match claim.await {
        Ok(ClaimOutcome::Claimed(call)) => Some(call),
        Ok(ClaimOutcome::Done(_)) | Err(_) => None,
    }
}

/// Returns the number of transactions that `calls` claims took, and the number that recording their
/// results took.
async fn measure(
    rows: usize,
    calls: u32,
    interval: Duration,
) -> Result<(u64, u64), Box<dyn Error>> {
    let fake = TableFake::new();
    let server = fake.serve(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let store = HttpTableStore::new(Client::new()?, format!("http://{}", server.address()));
    fake.faults().set_delay(STORE_DELAY);
    let idempotency = IdempotencyStore::new(Rc::new(store)).with_batch_rows(rows);
    let claims = join_all((0..calls).map(|number| claim(&idempotency, interval * number))).await;
    let claims: Option<Vec<_>> = claims.into_iter().collect();
    let claim_writes = fake.stats().writes;
    let body = Bytes::from_static(b"{\"receipt\":1}");
    let result = StoredResult { status: 200, content_type: "application/json".into(), body };
    let claims = claims.ok_or("a claim failed")?;
    join_all(claims.into_iter().map(|call| idempotency.complete(call, &result))).await;
    Ok((claim_writes, fake.stats().writes - claim_writes))
}

#[compio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    println!(
        "arrivals, claims, max rows per transaction, claim transactions, transactions per claim, \
         result transactions"
    );
    for (name, interval) in [("at once", Duration::ZERO), ("every 1 ms", ARRIVAL_INTERVAL)] {
        for calls in [1, 16, 64] {
            for rows in [1, 25] {
                let (claim_writes, result_writes) = measure(rows, calls, interval).await?;
                let writes_per_claim = claim_writes as f64 / f64::from(calls);
                println!(
                    "{name}, {calls}, {rows}, {claim_writes}, {writes_per_claim:.3}, {result_writes}"
                );
            }
        }
    }
    Ok(())
}
