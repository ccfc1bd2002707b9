//! One of two machines is lost for a few seconds, and its clients go to the other. Their requests
//! have bodies that the configuration's limits allow. As on the platform, a process that exceeds its
//! memory is killed and started again.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use review_harness::http::{Answer, exchange, respond};
use review_harness::store::Store;
use review_harness::{
    BROKEN, Folder, Gateway, HELD, NOT_RUN, Record, Route, SIGKILL, Worker, free_address,
    has_trouble, request_message, sealed, signal, write_config,
};

/// Below the 4,194,304 bytes of the configuration.
const BODY_BYTES: usize = 4_000_000;
/// Clients of each gateway.
const CLIENTS: usize = 18;
const WORK: Duration = Duration::from_millis(800);
const PAUSE: Duration = Duration::from_millis(200);
const DEADLINE_MS: u32 = 8_000;
/// `memory_mb` of the settings, in the larger of its two readings.
const MEMORY_BYTES: u64 = 260 * 1024 * 1024;
const RESTART_DELAY: Duration = Duration::from_millis(500);
const BEFORE: Duration = Duration::from_secs(6);
/// Time for which the machine is lost.
const LOSS: Duration = Duration::from_millis(3_500);
const AFTER: Duration = Duration::from_secs(20);
/// An end of a process within this time of the disruption on its machine doesn't count.
const EXCUSED: Duration = Duration::from_secs(1);
/// Ends of a process, on each of two machines, that break the rule.
const MAX_ENDS: usize = 3;

#[derive(Default)]
struct Results {
    served: usize,
    refused: usize,
    /// Requests without a complete answer: the connection ended or was refused.
    cut: usize,
}

/// A client that sends one request after the other until its time is over. It goes to the other
/// gateway when one has failed it.
fn run_client(
    number: usize,
    fronts: [SocketAddr; 2],
    until: Instant,
    results: Arc<Mutex<Results>>,
    record: Record,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        // The clients of a gateway don't start at the same moment.
        std::thread::sleep((WORK + PAUSE).mul_f64((number / 2) as f64 / CLIENTS as f64));
        let body = vec![b'y'; BODY_BYTES];
        let (mut request, mut gateway) = (0, number % 2);
        while Instant::now() < until {
            request += 1;
            let id = format!("{number:08x}{request:08x}");
            let message = request_message("POST", "/cufi504/x", &id, DEADLINE_MS, &body);
            let timeout = Duration::from_millis(DEADLINE_MS.into());
            let answer: Answer = exchange(fronts[gateway], &message, timeout);
            record.note(&format!(
                "{id} sent to front-{}, answered with {} {}",
                gateway + 1,
                answer.status,
                answer.error
            ));
            let mut results = results.lock().expect("no panic");
            match (answer.status, answer.is_complete) {
                (200, true) => results.served += 1,
                (0, _) | (_, false) => {
                    results.cut += 1;
                    gateway = 1 - gateway;
                }
                (_, true) => results.refused += 1,
            }
            drop(results);
            std::thread::sleep(PAUSE);
        }
    })
}

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
    let _workers = ["i-desk0", "i-desk1", "i-desk2", "i-desk3", "i-desk4", "i-desk5"].map(|id| {
        let runs = record.clone();
        Worker::start(id, &store, 6, move |request, stream| {
            runs.note(&format!("{id} runs {}", request.header("x-eelgrassdeal-request-id")));
            std::thread::sleep(WORK);
            respond(stream, 200, &sealed(&request), &[b'x'; 800])
        })
    });
    let mut gateways =
        ["front-1", "front-2"].map(|name| Gateway::start(name, &folder, store_address));
    gateways.iter().for_each(Gateway::wait_until_ready);
    std::thread::sleep(Duration::from_secs(3));
    let fronts = [gateways[0].front, gateways[1].front];
    let (started, results) = (Instant::now(), Arc::new(Mutex::new(Results::default())));
    let clients: Vec<_> = (0..2 * CLIENTS)
        .map(|number| {
            run_client(number, fronts, started + BEFORE + AFTER, results.clone(), record.clone())
        })
        .collect();
    let (mut peaks, mut ends) = ([0; 2], [0; 2]);
    let mut restart_at = [None; 2];
    let mut is_lost = false;
    while started.elapsed() < BEFORE + AFTER {
        if has_trouble() && !is_lost && started.elapsed() >= BEFORE {
            is_lost = true;
            record.line("front-1 is lost for 3.5 s");
            signal(&gateways[0].child, SIGKILL);
            restart_at[0] = Some(Instant::now() + LOSS);
        }
        for index in 0..2 {
            if restart_at[index].is_some_and(|at| Instant::now() >= at) {
                restart_at[index] = None;
                gateways[index].start_again();
            }
            let memory = gateways[index].memory();
            peaks[index] = memory.max(peaks[index]);
            if restart_at[index].is_none() && memory > MEMORY_BYTES {
                let is_excused = index == 0
                    && started.elapsed() < BEFORE + LOSS + EXCUSED
                    && started.elapsed() >= BEFORE;
                ends[index] += usize::from(!is_excused);
                record.line(&format!(
                    "{} has {} MB in memory and is killed",
                    gateways[index].name,
                    memory / 1_000_000
                ));
                signal(&gateways[index].child, SIGKILL);
                restart_at[index] = Some(Instant::now() + RESTART_DELAY);
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    clients.into_iter().for_each(|client| client.join().expect("no panic"));
    let results = results.lock().expect("no panic");
    record.line(&format!(
        "{} requests served, {} refused or failed, {} without an answer; peaks {:?} MB of {}; \
         ends for memory {ends:?}",
        results.served,
        results.refused,
        results.cut,
        peaks.map(|peak| peak / 1_000_000),
        MEMORY_BYTES / 1_000_000
    ));
    match (results.served, ends.iter().all(|count| *count >= MAX_ENDS)) {
        (0, _) => NOT_RUN,
        (_, true) => BROKEN,
        (_, false) => HELD,
    }
}
