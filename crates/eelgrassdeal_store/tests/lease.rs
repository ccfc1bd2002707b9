//! Tests that a lease has at most one holder at a time.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use common::{serve_table, wait_for_late_writes};
use eelgrassdeal_schema::decode_message;
use eelgrassdeal_schema::records::LeaseRecord;
use eelgrassdeal_standins::{FaultRates, TableFake};
use eelgrassdeal_store::{HeldLease, HttpTableStore, LeaseClient, StoreResult};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const CLIENTS: usize = 3;

/// A period in which one client considers itself the holder of the lease.
#[derive(Debug)]
struct HeldPeriod {
    client: usize,
    fencing: u64,
    from: Instant,
    until: Instant,
}

fn new_lease_client(store: &HttpTableStore, holder: &str, duration: Duration) -> LeaseClient {
    LeaseClient::new(Rc::new(store.clone()), "planner", holder.into(), duration)
}

/// Guards against a candidate that counts the lease duration from before its read: the row may have
/// been written while the read was in progress.
#[compio::test]
async fn a_slow_read_does_not_shorten_the_takeover_wait() {
    let (fake, _server, store) = serve_table().await;
    let duration = Duration::from_secs(1);
    let mut holder = new_lease_client(&store, "n1", duration);
    let mut candidate = new_lease_client(&store, "n2", duration);
    holder.renew().await.unwrap().unwrap();

    fake.faults().set_delay(Duration::from_millis(300));
    let slow_read = async {
        assert_eq!(candidate.renew().await.unwrap(), None);
    };
    let renewal = async {
        compio::time::sleep(Duration::from_millis(250)).await;
        fake.faults().set_delay(Duration::ZERO);
        holder.renew().await.unwrap().unwrap();
    };
    futures_util::join!(slow_read, renewal);
    loop {
        let taken = candidate.renew().await.unwrap();
        let now = Instant::now();
        if let Some(lease) = taken {
            assert_eq!(holder.held(now), None, "two holders");
            assert_eq!(lease.fencing, 2);
            return;
        }
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a holder that mistakes its own write without a response for that of another
/// process.
#[compio::test]
async fn a_lost_response_does_not_delay_the_next_renewal() {
    let (fake, _server, store) = serve_table().await;
    let mut client = new_lease_client(&store, "n1", Duration::from_secs(3600));
    fake.faults().lose_responses(1);
    assert!(client.renew().await.is_err());
    assert_eq!(client.held(Instant::now()), None, "held without a response");
    let first = client.renew().await.unwrap().unwrap();
    fake.faults().lose_responses(1);
    assert!(client.renew().await.is_err());
    assert_eq!(client.held(Instant::now()), Some(first), "extended without a response");
    let renewed = client.renew().await.unwrap().unwrap();
    assert_eq!(renewed.fencing, 1);
    assert!(renewed.valid_until > first.valid_until);
}

/// Guards against a holder that reads the row before each renewal, and against a holder that still
/// renews after another process has written the row.
#[compio::test]
async fn a_holder_renews_with_one_call_until_another_takes_over() {
    let (fake, _server, store) = serve_table().await;
    let duration = Duration::from_millis(200);
    let mut holder = new_lease_client(&store, "n1", duration);
    let mut other = new_lease_client(&store, "n2", duration);
    holder.renew().await.unwrap().unwrap();
    let before = fake.stats().calls;
    for _ in 0..5 {
        holder.renew().await.unwrap().unwrap();
    }
    assert_eq!(fake.stats().calls - before, 5);
    assert_eq!(other.renew().await.unwrap(), None);
    compio::time::sleep(duration * 2).await;
    assert_eq!(other.renew().await.unwrap().unwrap().fencing, 2);
    assert_eq!(holder.renew().await.unwrap(), None, "another client has written the row");
    assert_eq!(holder.renew().await.unwrap(), None, "another client holds the lease");
}

/// Guards against a holder that considers its lease valid during an outage longer than the lease
/// duration, and against two holders after the outage.
#[compio::test]
async fn a_lease_expires_in_an_outage_and_has_one_holder_after_it() {
    let (fake, _server, store) = serve_table().await;
    let duration = Duration::from_millis(200);
    let mut first = new_lease_client(&store, "n1", duration);
    let mut second = new_lease_client(&store, "n2", duration);
    first.renew().await.unwrap();
    assert_eq!(second.renew().await.unwrap(), None);
    fake.faults().set_down(true);
    compio::time::sleep(duration).await;
    assert!(first.renew().await.is_err());
    assert!(second.renew().await.is_err());
    assert_eq!(first.held(Instant::now()), None);
    fake.faults().set_down(false);
    compio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(second.renew().await.unwrap().unwrap().fencing, 2);
    assert_eq!(first.renew().await.unwrap(), None, "the previous holder must not regain the lease");
}

/// Guards against a holder whose monotonic clock stopped while its VM was suspended.
#[compio::test]
async fn a_suspended_holder_checks_the_wall_clock() {
    let (_fake, _server, store) = serve_table().await;
    let wall = Rc::new(Cell::new(SystemTime::now()));
    let clock = wall.clone();
    let mut client = new_lease_client(&store, "n1", Duration::from_secs(3600))
        .with_wall_clock(Rc::new(move || clock.get()));
    client.renew().await.unwrap().unwrap();
    wall.set(wall.get() - Duration::from_secs(60));
    assert!(
        client.held(Instant::now()).is_some(),
        "a clock that is set back does not end the lease"
    );
    wall.set(wall.get() + Duration::from_secs(3660));
    assert_eq!(client.held(Instant::now()), None);
}

fn record_renewal(
    client: usize,
    renewal: StoreResult<Option<HeldLease>>,
    log: &mut Vec<HeldPeriod>,
) {
    let from = Instant::now();
    match (renewal, log.iter_mut().rev().find(|held| held.client == client)) {
        (Ok(Some(HeldLease { fencing, valid_until: until })), _) => {
            log.push(HeldPeriod { client, fencing, from, until });
        }
        // The client has found that it does not hold the lease any more.
        (Ok(None), Some(last)) => last.until = last.until.min(from),
        (Ok(None), None) | (Err(_), _) => {}
    }
}

/// Renews at random intervals, some longer than the lease duration, and records the periods in
/// which the client considers itself the holder.
async fn run_client(
    store: &HttpTableStore,
    number: usize,
    duration: Duration,
    seed: u64,
    log: &RefCell<Vec<HeldPeriod>>,
) {
    let mut random = StdRng::seed_from_u64(seed * 10 + number as u64);
    let mut client = new_lease_client(store, &format!("n{number}"), duration);
    for _ in 0..40 {
        let renewal = client.renew().await;
        record_renewal(number, renewal, &mut log.borrow_mut());
        let pause = match random.random_range(0..5_u8) {
            0 => duration.mul_f64(random.random_range(1.0..2.5)),
            _ => duration.mul_f64(random.random_range(0.1..0.35)),
        };
        compio::time::sleep(pause).await;
    }
}

async fn run_outages(fake: &TableFake, duration: Duration) {
    for _ in 0..2 {
        compio::time::sleep(duration * 4).await;
        fake.faults().set_down(true);
        compio::time::sleep(duration * 3 / 2).await;
        fake.faults().set_down(false);
    }
}

/// Checks that periods of different clients do not overlap, and that the fencing number rises with
/// each change of the holder.
fn check_held_periods(periods: &[HeldPeriod]) {
    for (position, period) in periods.iter().enumerate() {
        for other in periods[..position].iter().filter(|other| other.client != period.client) {
            assert!(
                other.until <= period.from || period.until <= other.from,
                "two holders: {other:?} {period:?}"
            );
            assert_ne!(other.fencing, period.fencing);
            assert!((other.from < period.from) == (other.fencing < period.fencing));
        }
    }
}

/// Checks the rows in the history of the store: a change of the writer raises the fencing number by
/// 1.
fn check_rows(fake: &TableFake) {
    let records: Vec<LeaseRecord> =
        fake.history().iter().map(|put| decode_message(&put.body).unwrap_or_default()).collect();
    for pair in records.windows(2) {
        let is_same = pair[0].writer_mark == pair[1].writer_mark;
        assert_eq!(pair[1].fencing, pair[0].fencing + u64::from(!is_same));
    }
}

/// Guards against two clients that consider themselves the holder at the same time, with pauses,
/// outages, lost responses and late writes.
#[compio::test]
async fn no_two_clients_hold_the_lease_at_once() {
    for seed in [21, 22] {
        let (fake, _server, store) = serve_table().await;
        let duration = Duration::from_millis(150);
        let rates = FaultRates {
            lost_response_percent: 15,
            lost_request_percent: 10,
            delayed_write_percent: 15,
            max_write_delay: duration * 2,
        };
        fake.faults().set_rates(rates, seed);
        let log = RefCell::default();
        let clients = (0..CLIENTS).map(|number| run_client(&store, number, duration, seed, &log));
        futures_util::join!(join_all(clients), run_outages(&fake, duration));
        wait_for_late_writes(&fake).await;
        let periods = log.into_inner();
        check_held_periods(&periods);
        check_rows(&fake);
        let changes = periods.windows(2).filter(|pair| pair[0].fencing != pair[1].fencing).count();
        println!("seed {seed}: held {} times, {changes} changes of the holder", periods.len());
        assert!(!periods.is_empty());
    }
}
