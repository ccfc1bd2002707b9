//! A worker that leaves crashes while it sends answers without a length.
//!
//! The worker is a process of its own, so that its end has the effect on its connections that the end
//! of a process has. The case writes its entry, as the worker itself would.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use review_harness::http::{Answer, exchange, respond, serve};
use review_harness::store::Store;
use review_harness::{
    BROKEN, Folder, Gateway, HELD, NOT_RUN, Record, Route, SERVICE, SIGKILL, free_address,
    has_trouble, register, request_message, sealed, signal, unregister, write_config,
};

const WORKER: &str = "i-desk0";
/// Pieces of an answer, and the time between two of them.
const PIECES: u32 = 16;
const PIECE_INTERVAL: Duration = Duration::from_millis(250);
const DEADLINE_MS: u32 = 8_000;
/// When the worker reports that it drains, and when it crashes, after the requests were sent. It
/// serves for `drain_ms` (2 s) and a little longer after the report.
const DRAINING_AFTER: Duration = Duration::from_millis(500);
const CRASH_AFTER: Duration = Duration::from_millis(2_125);

fn piece(number: u32) -> String {
    format!("id: {number}\ndata: event {number}\n\n")
}

fn whole_body() -> String {
    (1..=PIECES).map(piece).collect()
}

/// Runs the worker until it is killed.
fn run_worker(address: &str) {
    let listener = TcpListener::bind(address).expect("the worker's address is free");
    serve(listener, |request, stream| {
        let expected = request.header("x-eelgrassdeal-expect-instance");
        if !expected.is_empty() && expected != WORKER {
            return respond(stream, 421, "", b"");
        }
        let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", sealed(&request));
        let mut is_sent = stream.write_all(head.as_bytes()).is_ok();
        for number in 1..=PIECES {
            is_sent = is_sent && stream.write_all(piece(number).as_bytes()).is_ok();
            std::thread::sleep(PIECE_INTERVAL);
        }
        // The end of the connection ends the answer.
        false
    });
    loop {
        std::thread::park();
    }
}

fn write_entry(store: &Store, address: SocketAddr, state: &str, seq: u32) {
    let entry = format!(
        "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"qc-east-a\",\
         \"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{seq},\
         \"born\":1700000000000}}"
    );
    store.put("servers", WORKER, &entry);
}

fn main() {
    if let Some(address) = std::env::args().nth(1) {
        run_worker(&address);
    }
    let record = Record::create();
    std::process::exit(play(&record));
}

fn play(record: &Record) -> i32 {
    let folder = Folder::create();
    let store_address = free_address();
    let store = Store::start(store_address).expect("the store starts");
    let route = |prefix, kind| Route {
        prefix,
        kind,
        timeout_ms: DEADLINE_MS,
        attempts: 1,
        is_resumable: false,
    };
    write_config(&store, &[route("/puxa403/", "non_idempotent"), route("/lohu930/", "stream")]);
    let worker_address = free_address();
    let mut worker = Command::new(std::env::current_exe().expect("a path"))
        .arg(worker_address.to_string())
        .stdin(Stdio::null())
        .spawn()
        .expect("the worker starts");
    register(&worker);
    write_entry(&store, worker_address, "ready", 1);
    let gateways = ["front-1", "front-2"].map(|name| Gateway::start(name, &folder, store_address));
    gateways.iter().for_each(Gateway::wait_until_ready);
    std::thread::sleep(Duration::from_secs(4));
    let front = gateways[0].front;
    let sent_at = Instant::now();
    let requests = [("/puxa403/x", "9c41d07be2a35f68"), ("/lohu930/x", "9c41d07be2a35f69")];
    let clients = requests.map(|(path, id)| {
        let record = record.clone();
        record.line(&format!("client sends {id} for {path} to front-1"));
        std::thread::spawn(move || {
            let message = request_message("POST", path, id, DEADLINE_MS, b"an order");
            let answer = exchange(front, &message, Duration::from_millis(DEADLINE_MS.into()));
            record.line(&format!(
                "{id} has status {}, {} of {} bytes, {} {}",
                answer.status,
                answer.body.len(),
                whole_body().len(),
                if answer.is_complete { "complete by its framing" } else { "incomplete" },
                answer.error
            ));
            answer
        })
    });
    // As in the planned end of a worker; `LEAVING=0` leaves the worker ready, for comparison.
    std::thread::sleep(DRAINING_AFTER);
    if std::env::var("LEAVING").as_deref() != Ok("0") {
        record.line("i-desk0 reports that it is draining");
        write_entry(&store, worker_address, "draining", 2);
    }
    std::thread::sleep(CRASH_AFTER.saturating_sub(sent_at.elapsed()));
    if has_trouble() {
        record.line("i-desk0 crashes (SIGKILL)");
        signal(&worker, SIGKILL);
        let _ = worker.wait();
    }
    let answers: Vec<Answer> =
        clients.into_iter().map(|client| client.join().expect("no panic")).collect();
    let _ = worker.kill();
    let _ = worker.wait();
    unregister(&worker);
    let looks_whole = |answer: &Answer| answer.status == 200 && answer.is_complete;
    let is_whole = |answer: &Answer| answer.body == whole_body().as_bytes();
    let broken = answers.iter().filter(|answer| looks_whole(answer) && !is_whole(answer)).count();
    record.line(&format!("{broken} of 2 answers look complete and are not"));
    let has_run = has_trouble() || answers.iter().all(|answer| looks_whole(answer));
    match (has_run, broken) {
        (false, _) => NOT_RUN,
        (true, 0) => HELD,
        (true, _) => BROKEN,
    }
}
