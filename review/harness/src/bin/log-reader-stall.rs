//! The process that reads a gateway's log stops for a while, as when its disk is full or its own
//! receiver is away. The gateway's requests go on, and are to be answered by their route's timeout.

use std::io::Read;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_harness::http::{exchange, respond};
use review_harness::store::Store;
use review_harness::{
    BROKEN, Folder, Gateway, HELD, NOT_RUN, Record, Route, SIGCONT, SIGSTOP, Worker, free_address,
    has_trouble, register, request_message, sealed, signal, write_config,
};

const TIMEOUT_MS: u32 = 800;
const DEADLINE_MS: u32 = 1_500;
/// Time after the route's timeout by which a request must have an answer.
const SLACK: Duration = Duration::from_millis(500);
const REQUESTS_PER_S: u32 = 40;
const QUIET_BEFORE: Duration = Duration::from_secs(3);
const STALL: Duration = Duration::from_secs(20);
const AFTER: Duration = Duration::from_secs(4);

fn main() {
    if std::env::args().nth(1).as_deref() == Some("collect") {
        // The reader of the log: drops what it reads.
        let (mut input, mut buffer) = (std::io::stdin(), [0; 4096]);
        while input.read(&mut buffer).is_ok_and(|count| count > 0) {}
        return;
    }
    let record = Record::create();
    std::process::exit(play(&record));
}

/// Time until the answer, `None` without one, and when the request was sent.
type Seen = (Duration, Option<Duration>, u16);

fn play(record: &Record) -> i32 {
    let folder = Folder::create();
    let store_address = free_address();
    let store = Store::start(store_address).expect("the store starts");
    write_config(
        &store,
        &[Route {
            prefix: "/cufi504/",
            kind: "idempotent",
            timeout_ms: TIMEOUT_MS,
            attempts: 2,
            is_resumable: false,
        }],
    );
    let _workers = ["i-desk0", "i-desk1"].map(|id| {
        let runs = record.clone();
        Worker::start(id, &store, 6, move |request, stream| {
            runs.note(&format!("{id} runs {}", request.header("x-eelgrassdeal-request-id")));
            std::thread::sleep(Duration::from_millis(30));
            respond(stream, 200, &sealed(&request), &[b'x'; 800])
        })
    });
    let mut gateways =
        ["front-1", "front-2"].map(|name| Gateway::start(name, &folder, store_address));
    let mut collector = Command::new(std::env::current_exe().expect("a path"))
        .arg("collect")
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .expect("the reader of the log starts");
    register(&collector);
    let pipe = collector.stdin.take().expect("a pipe");
    gateways[0].start_with_log(pipe);
    gateways.iter().for_each(Gateway::wait_until_ready);
    std::thread::sleep(Duration::from_secs(3));
    let started = Instant::now();
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let (front, total) = (gateways[0].front, QUIET_BEFORE + STALL + AFTER);
    let mut clients = Vec::new();
    let mut is_stalled = false;
    let mut number = 0;
    while started.elapsed() < total {
        if !is_stalled && started.elapsed() >= QUIET_BEFORE {
            is_stalled = true;
            if has_trouble() {
                record.line("SIGSTOP to the reader of front-1's log");
                signal(&collector, SIGSTOP);
            }
        }
        if is_stalled && has_trouble() && started.elapsed() >= QUIET_BEFORE + STALL {
            signal(&collector, SIGCONT);
        }
        number += 1;
        let (seen, record) = (seen.clone(), record.clone());
        clients.push(std::thread::spawn(move || {
            let id = format!("{number:016x}");
            record.note(&format!("client sends {id} to front-1"));
            let message = request_message("GET", "/cufi504/x", &id, DEADLINE_MS, b"");
            let (sent_at, sent_after) = (Instant::now(), started.elapsed());
            let answer = exchange(front, &message, Duration::from_millis(DEADLINE_MS.into()));
            record.note(&format!("{id} answered with {} {}", answer.status, answer.error));
            let took = answer.is_complete.then(|| sent_at.elapsed());
            seen.lock().expect("no panic").push((sent_after, took, answer.status));
        }));
        std::thread::sleep(Duration::from_secs(1) / REQUESTS_PER_S);
    }
    clients.into_iter().for_each(|client| client.join().expect("no panic"));
    signal(&collector, SIGCONT);
    let seen = seen.lock().expect("no panic");
    let timeout = Duration::from_millis(TIMEOUT_MS.into());
    for second in 0..total.as_secs() {
        let sent: Vec<_> = seen.iter().filter(|(sent, ..)| sent.as_secs() == second).collect();
        let answered = sent.iter().filter(|(_, took, _)| took.is_some()).count();
        let good = sent.iter().filter(|(.., status)| *status == 200).count();
        record.line(&format!(
            "second {second}: {} requests sent, {answered} answered within {DEADLINE_MS} ms, {good} with 200",
            sent.len()
        ));
    }
    let is_late = |took: &Option<Duration>, limit: Duration| took.is_none_or(|took| took > limit);
    let open = seen.iter().filter(|(_, took, _)| is_late(took, timeout)).count();
    let late = seen.iter().filter(|(_, took, _)| is_late(took, timeout + SLACK)).count();
    record.line(&format!(
        "{open} requests unanswered at the route's {TIMEOUT_MS} ms, {late} of them half a second later"
    ));
    drop(gateways);
    let _ = collector.kill();
    let _ = collector.wait();
    match (seen.len(), late * 2 > open) {
        (0, _) => NOT_RUN,
        (_, true) => BROKEN,
        (_, false) => HELD,
    }
}
