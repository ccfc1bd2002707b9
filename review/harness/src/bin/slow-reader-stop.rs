//! A client reads a large answer slowly while its machine is stopped with SIGTERM.

use std::time::{Duration, Instant};

use review_harness::http::{Client, respond};
use review_harness::store::Store;
use review_harness::{
    BROKEN, Folder, Gateway, HELD, Record, Route, SIGTERM, Worker, free_address, has_trouble,
    request_message, sealed, signal, write_config,
};

const BODY_BYTES: usize = 8_000_000;
/// Time for which the client reads the answer.
const READ_TIME: Duration = Duration::from_millis(7_000);
const RECEIVE_BUFFER_BYTES: i32 = 64 * 1024;
const STOP_AFTER: Duration = Duration::from_millis(700);
const DEADLINE_MS: u32 = 8_000;

fn main() {
    let record = Record::create();
    std::process::exit(play(&record));
}

fn play(record: &Record) -> i32 {
    let folder = Folder::create();
    let store_address = free_address();
    let store = Store::start(store_address).expect("the store starts");
    write_config(
        &store,
        &[Route {
            prefix: "/cufi504/",
            kind: "idempotent",
            timeout_ms: DEADLINE_MS,
            attempts: 2,
            is_resumable: false,
        }],
    );
    let runs = record.clone();
    let _worker = Worker::start("i-desk0", &store, 6, move |request, stream| {
        runs.line(&format!("i-desk0 runs {}", request.header("x-eelgrassdeal-request-id")));
        respond(stream, 200, &sealed(&request), &vec![b'x'; BODY_BYTES])
    });
    let gateways = ["front-1", "front-2"].map(|name| Gateway::start(name, &folder, store_address));
    gateways.iter().for_each(Gateway::wait_until_ready);
    std::thread::sleep(Duration::from_secs(4));
    let message = request_message("GET", "/cufi504/x", "9c41d07be2a35f68", DEADLINE_MS, b"");
    let mut client = Client::connect(gateways[0].front).expect("the gateway accepts");
    client.set_receive_buffer(RECEIVE_BUFFER_BYTES);
    client.set_timeout(Duration::from_secs(15));
    client.send(&message).expect("the request is sent");
    let sent_at = Instant::now();
    record.line("client sends 9c41d07be2a35f68 to front-1");
    let mut is_stopped = false;
    let answer = client.receive(|bytes| {
        if !is_stopped && has_trouble() && sent_at.elapsed() > STOP_AFTER {
            is_stopped = true;
            record.line(&format!("SIGTERM to front-1; the client has {bytes} bytes"));
            signal(&gateways[0].child, SIGTERM);
        }
        let due = READ_TIME.mul_f64(bytes as f64 / BODY_BYTES as f64);
        std::thread::sleep(due.saturating_sub(sent_at.elapsed()));
    });
    record.line(&format!(
        "client has status {} and {} of {BODY_BYTES} bytes after {:.2} s {}",
        answer.status,
        answer.body.len(),
        sent_at.elapsed().as_secs_f64(),
        answer.error
    ));
    for line in gateways[0]
        .log_text()
        .lines()
        .filter(|line| line.contains("event=stop") || line.contains("event=leaving"))
    {
        record.line(&format!("log of front-1: {line}"));
    }
    match answer.status == 200 && answer.is_complete {
        true => HELD,
        false => BROKEN,
    }
}
