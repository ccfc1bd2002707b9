//! Six of seven gateways are lost, and the clients of all come to the last one, with a burst. Each client
//! keeps its connection for as long as it is told. Without trouble there is neither a loss nor a burst.

use std::io::Write;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_harness_2::client::{Call, connect, read_answer};
use review_harness_2::cold::{Deployment, record_path};
use review_harness_2::record::{Record, is_calm};

const GATEWAYS: usize = 7;
/// Requests a second of the site: 57.7 + 46.0 + 63.7.
const PER_S: f64 = 167.4;
/// Factor of the burst, when it begins and how long it lasts.
const BURST: f64 = 1.7;
const BURST_AT: f64 = 5.8;
const BURST_S: f64 = 3.0;
const LENGTH_S: f64 = 14.0;
const CONTACT: Duration = Duration::from_millis(3_000);
/// Clients that have to try meanwhile.
const TRYING: usize = 7;

/// What the clients of one gateway saw.
#[derive(Default)]
struct Seen {
    sent: Vec<Instant>,
    answered: Vec<Instant>,
    /// When the gateway didn't say that it is ready.
    not_ready: Vec<Instant>,
}

/// One client: a request on a connection of its own, which it keeps idle for as long as it is told.
fn run_client(number: usize, gateway: usize, port: u16, seen: &Mutex<Vec<Seen>>, record: &Record) {
    let limit = Duration::from_millis(1_500);
    let id = format!("c{number:05}");
    let mut call = Call::new("POST", "h.example", "/book/1", &id, 1_500);
    call.body = format!("order {number}").into_bytes();
    seen.lock().unwrap()[gateway].sent.push(Instant::now());
    record.line(&format!("client sends {id} to front-{}", gateway + 1));
    let Ok(mut stream) = connect(port, limit) else { return };
    if stream.write_all(&call.bytes()).is_err() {
        return;
    }
    let answer = read_answer(&mut stream, &mut Vec::new(), limit);
    let told = answer.header("keep-alive").to_owned();
    record.line(&format!("client gets {} for {id} keep-alive: {told}", answer.status));
    if answer.status == 0 {
        return;
    }
    seen.lock().unwrap()[gateway].answered.push(Instant::now());
    let kept: u64 = told.strip_prefix("timeout=").and_then(|s| s.parse().ok()).unwrap_or(0);
    thread::sleep(Duration::from_secs(kept));
}

fn main() -> ExitCode {
    let mut deployment = Deployment::start(&record_path(), GATEWAYS);
    let _workers = ["i-desk-1", "i-desk-2", "i-desk-3"]
        .map(|id| deployment.worker(id, 0, Duration::ZERO, true));
    if !deployment.wait_ready() {
        return ExitCode::from(2);
    }
    let record = deployment.record.clone();
    thread::sleep(Duration::from_secs(1));
    let left = if is_calm() { GATEWAYS } else { 1 };
    for gateway in deployment.gateways.iter_mut().skip(left) {
        gateway.kill();
        record.line(&format!("{} is lost for good", gateway.name));
    }
    // Until the machine that is left is in touch again.
    thread::sleep(CONTACT + Duration::from_millis(500));
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    seen.lock().unwrap().resize_with(left, Seen::default);
    let (seen_by_all, log) = (seen.clone(), record.clone());
    let fronts: Vec<u16> = deployment.gateways.iter().map(|one| one.ports.front).collect();
    let begun = Instant::now();
    let (mut next_at, mut number, mut asked_at) = (0.0, 0, 0.0);
    while next_at < LENGTH_S {
        let is_burst = !is_calm() && (BURST_AT..BURST_AT + BURST_S).contains(&next_at);
        next_at += 1.0 / (PER_S * if is_burst { BURST } else { 1.0 });
        let due = begun + Duration::from_secs_f64(next_at);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let (gateway, seen, record) = (number % left, seen.clone(), record.clone());
        let port = fronts[gateway];
        let client = move || run_client(number, gateway, port, &seen, &record);
        // Not waited for: they end with the process at the latest.
        if thread::Builder::new().stack_size(256 * 1024).spawn(client).is_err() {
            return ExitCode::from(2);
        }
        number += 1;
        if next_at - asked_at >= 0.25 {
            asked_at = next_at;
            let asked = deployment.gateways[..left].iter().enumerate();
            for (index, _) in asked.filter(|(_, gateway)| !gateway.is_ready()) {
                seen_by_all.lock().unwrap()[index].not_ready.push(Instant::now());
                log.line(&format!("front-{} isn't ready", index + 1));
            }
        }
    }
    let ended = begun + Duration::from_secs_f64(LENGTH_S);
    let mut seen = seen.lock().unwrap();
    let mut longest = Duration::ZERO;
    let mut trying = 0;
    for one in seen.iter_mut() {
        one.answered.sort();
        let times: Vec<Instant> =
            std::iter::once(begun).chain(one.answered.iter().copied()).chain([ended]).collect();
        for two in times.windows(2) {
            let (from, to) = (two[0], two[1]);
            let inside = |at: &&Instant| **at > from && **at < to;
            let tried = one.sent.iter().filter(inside).count();
            let gap = to.saturating_duration_since(from);
            let is_ready = one.not_ready.iter().filter(inside).count() == 0;
            if is_ready && tried >= TRYING && gap > longest {
                (longest, trying) = (gap, tried);
            }
        }
    }
    let sent: usize = seen.iter().map(|one| one.sent.len()).sum();
    let answered: usize = seen.iter().map(|one| one.answered.len()).sum();
    let summary = format!(
        "RECOVER: a machine that was ready answered no new connection for {} ms while {trying} clients tried, \
         bound {} ms; {sent} clients sent, {answered} were answered",
        longest.as_millis(),
        CONTACT.as_millis()
    );
    record.line(&summary);
    println!("{summary}");
    deployment.keep_logs();
    match longest > CONTACT {
        true => ExitCode::from(1),
        false => ExitCode::SUCCESS,
    }
}
