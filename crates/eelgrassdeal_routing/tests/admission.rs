//! Order and refusals of the admission queue, and the retry budget.

#![allow(clippy::unwrap_used, reason = "a failed step fails its test")]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eelgrassdeal_routing::{AdmissionQueue, AdmissionResult, QueuedRequest, RetryBudget};
use eelgrassdeal_types::{CallError, ErrorKind};
use futures_channel::oneshot::Receiver;

/// Account and priority of a started request, used in place of a slot.
type Started = (String, u32);
type Queue = AdmissionQueue<Started>;

fn request(now: Instant, account: &str, priority: u32) -> QueuedRequest {
    QueuedRequest {
        account: account.into(),
        weight: 1,
        priority,
        target: "m1".into(),
        kv_tokens: 10,
        deadline: now + Duration::from_secs(60),
        is_resumed: false,
        slots: 4,
        excluded: Vec::new(),
        affinity: None,
    }
}

fn dispatch(queue: &mut Queue, now: Instant, mut slots: u32) -> Vec<Started> {
    let mut order = Vec::new();
    queue.dispatch(now, |request| {
        slots = slots.checked_sub(1)?;
        order.push((request.account.to_string(), request.priority));
        order.last().cloned()
    });
    order
}

fn result(receiver: &mut Receiver<AdmissionResult<Started>>) -> Option<Result<Started, ErrorKind>> {
    let result = receiver.try_recv().unwrap();
    result.map(|result| result.map_err(|error: CallError| error.kind))
}

/// Guards against an account with many requests that starves others, and against ignoring the
/// weights.
#[test]
fn accounts_share_by_weight_within_a_priority() {
    let now = Instant::now();
    let mut queue = Queue::new(1_000);
    let mut receivers = Vec::new();
    for _ in 0..100 {
        receivers.push(queue.push(now, request(now, "large", 1)).unwrap());
    }
    for _ in 0..30 {
        receivers.push(queue.push(now, request(now, "small", 1)).unwrap());
        let heavy = QueuedRequest { weight: 3, ..request(now, "heavy", 1) };
        receivers.push(queue.push(now, heavy).unwrap());
    }
    receivers.push(queue.push(now, request(now, "urgent", 0)).unwrap());
    let order = dispatch(&mut queue, now, 41);
    assert_eq!(order[0].0, "urgent");
    let mut counts = BTreeMap::new();
    for (account, _) in order {
        *counts.entry(account).or_insert(0) += 1;
    }
    let expected = [("heavy", 24), ("large", 8), ("small", 8), ("urgent", 1)];
    assert_eq!(counts, expected.map(|(account, count)| (account.to_owned(), count)).into());
}

/// Guards against an account that accumulates credit while it is idle.
#[test]
fn idle_time_earns_no_credit() {
    let now = Instant::now();
    let mut queue = Queue::new(1_000);
    let mut receivers = Vec::new();
    for _ in 0..60 {
        receivers.push(queue.push(now, request(now, "busy", 1)).unwrap());
    }
    dispatch(&mut queue, now, 40);
    for _ in 0..20 {
        receivers.push(queue.push(now, request(now, "late", 1)).unwrap());
    }
    let order = dispatch(&mut queue, now, 20);
    assert_eq!(order.iter().filter(|(account, _)| account == "late").count(), 10);
}

/// Guards against work whose result would come after the deadline of its caller.
#[test]
fn requests_are_refused_before_and_after_their_deadline() {
    let now = Instant::now();
    let mut queue = Queue::new(10);
    queue.record_service_time(&"m1".into(), Duration::from_secs(4));
    let with_deadline = |seconds| QueuedRequest {
        deadline: now + Duration::from_secs(seconds),
        ..request(now, "a", 1)
    };
    let kind = |result: Result<_, CallError>| result.map(|_: Receiver<_>| ()).unwrap_err().kind;
    assert_eq!(kind(queue.push(now, with_deadline(0))), ErrorKind::DeadlineExpired);
    assert_eq!(kind(queue.push(now, with_deadline(3))), ErrorKind::DeadlineUnreachable);
    let mut first = queue.push(now, with_deadline(4)).unwrap();
    // One request waits ahead at 4 slots, so the estimate is 1 s of waiting and 4 s of service.
    assert_eq!(kind(queue.push(now, with_deadline(4))), ErrorKind::DeadlineUnreachable);
    let mut second = queue.push(now, with_deadline(5)).unwrap();
    let later = now + Duration::from_secs(4);
    assert_eq!(dispatch(&mut queue, later, 9).len(), 1);
    assert_eq!(result(&mut first), Some(Err(ErrorKind::DeadlineExpired)));
    assert!(result(&mut second).unwrap().is_ok());
}

/// Guards against a stream that is cut although the rest of it would take less time than is left.
#[test]
fn a_resumed_response_is_not_refused_by_the_time_of_whole_ones() {
    let now = Instant::now();
    let mut queue = Queue::new(10);
    queue.record_service_time(&"m1".into(), Duration::from_secs(4));
    let resumed = |seconds| QueuedRequest {
        deadline: now + Duration::from_secs(seconds),
        is_resumed: true,
        ..request(now, "a", 1)
    };
    let mut receiver = queue.push(now, resumed(1)).expect("a place in the queue");
    assert_eq!(dispatch(&mut queue, now, 1).len(), 1);
    assert!(result(&mut receiver).expect("an outcome").is_ok());
    let expired = queue.push(now, resumed(0)).map(|_| ()).expect_err("the deadline has passed");
    assert_eq!(expired.kind, ErrorKind::DeadlineExpired);
}

/// Guards against an unbounded queue, and against refusing a more urgent request in favour of a
/// less urgent one.
#[test]
fn full_queue_refuses_the_lowest_priority() {
    let now = Instant::now();
    let mut queue = Queue::new(2);
    let mut low = queue.push(now, request(now, "a", 5)).unwrap();
    let mut middle = queue.push(now, request(now, "a", 3)).unwrap();
    let refused = queue.push(now, request(now, "a", 5)).unwrap_err();
    assert_eq!(refused.kind, ErrorKind::Overloaded);
    let _urgent = queue.push(now, request(now, "b", 1)).unwrap();
    assert_eq!(result(&mut low), Some(Err(ErrorKind::Overloaded)));
    assert_eq!(result(&mut middle), None);
    assert_eq!(queue.len(), 2);
}

/// Guards against starting requests whose caller has disconnected.
#[test]
fn request_of_a_disconnected_caller_is_withdrawn() {
    let now = Instant::now();
    let mut queue = Queue::new(2);
    drop(queue.push(now, request(now, "a", 1)).unwrap());
    drop(queue.push(now, request(now, "a", 1)).unwrap());
    let _kept = queue.push(now, request(now, "a", 1)).unwrap();
    assert_eq!(dispatch(&mut queue, now, 9).len(), 1);
    assert!(queue.is_empty());
}

/// Guards against one large request that blocks all requests after it.
#[test]
fn request_without_room_does_not_block_others() {
    let now = Instant::now();
    let mut queue = Queue::new(9);
    let large = QueuedRequest { kv_tokens: 1_000, ..request(now, "a", 1) };
    let _large = queue.push(now, large).unwrap();
    let _small = queue.push(now, request(now, "a", 1)).unwrap();
    let mut started = Vec::new();
    queue.dispatch(now, |request| {
        (request.kv_tokens < 100).then(|| started.push(request.kv_tokens))?;
        Some(("a".to_owned(), 1))
    });
    assert_eq!((started, queue.demand(&"m1".into()).largest_kv), (vec![10], 1_000));
}

/// Guards against retries that multiply the load on a failing replica.
#[test]
fn retries_are_a_tenth_of_the_requests() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(now);
    let initial = (0..10).filter(|_| budget.try_retry(now)).count();
    assert_eq!(initial, 2);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_request();
        retries += u32::from(budget.try_retry(now));
    }
    assert_eq!(retries, 100);
    assert!(budget.try_retry(now + Duration::from_secs(5)));
}
