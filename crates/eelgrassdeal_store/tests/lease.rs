//! Guards "one holder at a time" of leases.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use common::{await_late_writes, serve_table};
use eelgrassdeal_schema::decode_message;
use eelgrassdeal_schema::records::LeaseRecord;
use eelgrassdeal_standins::{FaultMix, TableFake};
use eelgrassdeal_store::{HeldLease, HttpTableStore, LeaseKeeper, StoreResult};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const KEEPERS: usize = 3;

/// A time in which one keeper judges that it holds the lease.
#[derive(Debug)]
struct HeldTime {
    keeper: usize,
    fencing: u64,
    from: Instant,
    until: Instant,
}

fn new_keeper(store: &HttpTableStore, holder: &str, duration: Duration) -> LeaseKeeper {
    LeaseKeeper::new(Rc::new(store.clone()), "planner", holder.into(), duration)
}

/// Guards against a takeover counted from before the read: the row may have been written while the
/// read was on its way.
#[compio::test]
async fn a_slow_read_does_not_shorten_the_wait() {
    let (fake, _server, store) = serve_table().await;
    let duration = Duration::from_secs(1);
    let mut holder = new_keeper(&store, "n1", duration);
    let mut candidate = new_keeper(&store, "n2", duration);
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

/// Guards against a holder that takes its own unanswered write for another's.
#[compio::test]
async fn a_lost_answer_costs_no_lease_duration() {
    let (fake, _server, store) = serve_table().await;
    let mut keeper = new_keeper(&store, "n1", Duration::from_secs(3600));
    fake.faults().lose_answers(1);
    assert!(keeper.renew().await.is_err());
    assert_eq!(keeper.held(Instant::now()), None, "held without an answer");
    let first = keeper.renew().await.unwrap().unwrap();
    fake.faults().lose_answers(1);
    assert!(keeper.renew().await.is_err());
    assert_eq!(keeper.held(Instant::now()), Some(first), "extended without an answer");
    let renewed = keeper.renew().await.unwrap().unwrap();
    assert_eq!(renewed.fencing, 1);
    assert!(renewed.valid_until > first.valid_until);
}

/// Guards against a holder that reads before each renewal, and against one that trusts its own last
/// write after another's.
#[compio::test]
async fn a_holder_renews_with_one_call_until_another_takes_over() {
    let (fake, _server, store) = serve_table().await;
    let duration = Duration::from_millis(200);
    let mut holder = new_keeper(&store, "n1", duration);
    let mut other = new_keeper(&store, "n2", duration);
    holder.renew().await.unwrap().unwrap();
    let before = fake.stats().calls;
    for _ in 0..5 {
        holder.renew().await.unwrap().unwrap();
    }
    assert_eq!(fake.stats().calls - before, 5);
    assert_eq!(other.renew().await.unwrap(), None);
    compio::time::sleep(duration * 2).await;
    assert_eq!(other.renew().await.unwrap().unwrap().fencing, 2);
    assert_eq!(holder.renew().await.unwrap(), None, "the row has another writer now");
    assert_eq!(holder.renew().await.unwrap(), None, "the other holds it");
}

/// Guards against a holder that works on through an outage longer than its lease, and against two
/// holders after it.
#[compio::test]
async fn a_lease_lapses_in_an_outage_and_has_one_holder_after_it() {
    let (fake, _server, store) = serve_table().await;
    let duration = Duration::from_millis(200);
    let mut first = new_keeper(&store, "n1", duration);
    let mut second = new_keeper(&store, "n2", duration);
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
    assert_eq!(first.renew().await.unwrap(), None, "the holder before must not come back");
}

/// Guards against a holder whose steady clock stood still while its VM was suspended.
#[compio::test]
async fn a_suspended_holder_judges_by_the_wall_clock() {
    let (_fake, _server, store) = serve_table().await;
    let wall = Rc::new(Cell::new(SystemTime::now()));
    let clock = wall.clone();
    let mut keeper = new_keeper(&store, "n1", Duration::from_secs(3600))
        .with_wall_clock(Rc::new(move || clock.get()));
    keeper.renew().await.unwrap().unwrap();
    wall.set(wall.get() - Duration::from_secs(60));
    assert!(keeper.held(Instant::now()).is_some(), "a clock that is set back says nothing");
    wall.set(wall.get() + Duration::from_secs(3660));
    assert_eq!(keeper.held(Instant::now()), None);
}

fn record_renewal(keeper: usize, renewal: StoreResult<Option<HeldLease>>, log: &mut Vec<HeldTime>) {
    let from = Instant::now();
    match (renewal, log.iter_mut().rev().find(|held| held.keeper == keeper)) {
        (Ok(Some(HeldLease { fencing, valid_until: until })), _) => {
            log.push(HeldTime { keeper, fencing, from, until });
        }
        // The keeper has learnt that it no longer holds the lease.
        (Ok(None), Some(last)) => last.until = last.until.min(from),
        (Ok(None), None) | (Err(_), _) => {}
    }
}

/// Renews at random times, pauses included, and records when the keeper judges that it holds.
async fn run_keeper(
    store: &HttpTableStore,
    number: usize,
    duration: Duration,
    seed: u64,
    log: &RefCell<Vec<HeldTime>>,
) {
    let mut random = StdRng::seed_from_u64(seed * 10 + number as u64);
    let mut keeper = new_keeper(store, &format!("n{number}"), duration);
    for _ in 0..40 {
        let renewal = keeper.renew().await;
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

fn check_times(times: &[HeldTime]) {
    for (position, time) in times.iter().enumerate() {
        for other in times[..position].iter().filter(|other| other.keeper != time.keeper) {
            assert!(
                other.until <= time.from || time.until <= other.from,
                "two holders: {other:?} {time:?}"
            );
            assert_ne!(other.fencing, time.fencing);
            assert!((other.from < time.from) == (other.fencing < time.fencing));
        }
    }
}

/// Checks the rows as the store saw them: a change of the writer raises the number by 1.
fn check_rows(fake: &TableFake) {
    let records: Vec<LeaseRecord> =
        fake.history().iter().map(|put| decode_message(&put.body).unwrap_or_default()).collect();
    for pair in records.windows(2) {
        let is_same = pair[0].writer_mark == pair[1].writer_mark;
        assert_eq!(pair[1].fencing, pair[0].fencing + u64::from(!is_same));
    }
}

/// Guards against two holders at one moment by their own judgement, with pauses, outages, lost
/// answers and late writes.
#[compio::test]
async fn no_two_keepers_hold_at_once() {
    for seed in [21, 22] {
        let (fake, _server, store) = serve_table().await;
        let duration = Duration::from_millis(150);
        let mix = FaultMix {
            lost_answer_percent: 15,
            lost_request_percent: 10,
            late_write_percent: 15,
            late_by: duration * 2,
        };
        fake.faults().set_mix(mix, seed);
        let log = RefCell::default();
        let keepers = (0..KEEPERS).map(|number| run_keeper(&store, number, duration, seed, &log));
        futures_util::join!(join_all(keepers), run_outages(&fake, duration));
        await_late_writes(&fake).await;
        let times = log.into_inner();
        check_times(&times);
        check_rows(&fake);
        let changes = times.windows(2).filter(|pair| pair[0].fencing != pair[1].fencing).count();
        println!("seed {seed}: held {} times, {changes} changes of the holder", times.len());
        assert!(!times.is_empty());
    }
}
