//! Clients that have had an answer keep their connections, as a machine tells them to; then others come.

use std::io::Write;
use std::net::TcpStream;
use std::process::ExitCode;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use review_harness_2::client::{Call, connect, read_answer};
use review_harness_2::cold::{Deployment, record_path};
use review_harness_2::record::{Record, is_calm};

/// Clients that keep a connection; 7 machines of 260 clients each.
const KEPT: usize = 1_820;
const CALM_KEPT: usize = 1_000;
const OPENERS: usize = 20;
/// Clients that come afterwards.
const NEW: usize = 20;
const CONTACT: Duration = Duration::from_millis(3_000);

fn call(id: &str) -> Call {
    let mut call = Call::new("POST", "h.example", "/book/1", id, 1_500);
    call.body = b"order".to_vec();
    call
}

/// Opens every `OPENERS`th of `count` connections, has one request answered on each, and keeps those on
/// which it was.
fn open_and_keep(opener: usize, count: usize, port: u16, record: &Record) -> Vec<TcpStream> {
    let limit = Duration::from_millis(1_500);
    let mut kept = Vec::new();
    for index in (opener..count).step_by(OPENERS) {
        let id = format!("k{index:05}");
        let Ok(mut stream) = connect(port, limit) else { continue };
        if stream.write_all(&call(&id).bytes()).is_err() {
            continue;
        }
        let answer = read_answer(&mut stream, &mut Vec::new(), limit);
        let told = answer.header("keep-alive").to_owned();
        record.line(&format!("kept client {id} gets {} keep-alive: {told}", answer.status));
        if answer.status != 0 {
            kept.push(stream);
        }
    }
    kept
}

fn main() -> ExitCode {
    let deployment = Deployment::start(&record_path(), 1);
    let _workers = ["i-desk-1", "i-desk-2", "i-desk-3"]
        .map(|id| deployment.worker(id, 0, Duration::ZERO, true));
    if !deployment.wait_ready() {
        return ExitCode::from(2);
    }
    let record = &deployment.record;
    let gateway = &deployment.gateways[0];
    let port = gateway.ports.front;
    let count = if is_calm() { CALM_KEPT } else { KEPT };
    let started = Instant::now();
    let openers: Vec<_> = (0..OPENERS)
        .map(|opener| {
            let record = record.clone();
            thread::spawn(move || open_and_keep(opener, count, port, &record))
        })
        .collect();
    let kept: Vec<TcpStream> =
        openers.into_iter().flat_map(|opener| opener.join().unwrap_or_default()).collect();
    let answered = kept.len();
    let took = started.elapsed().as_millis();
    record
        .line(&format!("{answered} of {count} answered in {took} ms, and keep their connections"));
    // New clients, each with its own connection, while the machine says that it is ready.
    let begun = Instant::now();
    let (sender, receiver) = mpsc::channel();
    for index in 0..NEW {
        let (sender, record) = (sender.clone(), record.clone());
        thread::spawn(move || {
            let id = format!("n{index:05}");
            record.line(&format!("new client sends {id}"));
            let status = call(&id).send(port).status;
            let ms = begun.elapsed().as_millis();
            record.line(&format!("new client gets {status} for {id} {ms} ms after the first came"));
            let _ = sender.send((status, begun.elapsed()));
        });
    }
    let mut served = 0;
    let mut is_ready_always = true;
    while begun.elapsed() < CONTACT {
        is_ready_always &= gateway.is_ready();
        thread::sleep(Duration::from_millis(250));
        served += receiver.try_iter().filter(|(status, _)| *status != 0).count();
    }
    let summary = format!(
        "RECOVER: {served} of {NEW} new clients got an answer within {} ms; {answered} kept connections; \
         ready all the while: {is_ready_always}",
        CONTACT.as_millis()
    );
    record.line(&summary);
    println!("{summary}");
    deployment.keep_logs();
    drop(kept);
    match served == 0 && is_ready_always {
        true => ExitCode::from(1),
        false => ExitCode::SUCCESS,
    }
}
