//! A worker that was restarted under its id leaves and says so in its answers; then the store comes back
//! from a copy that has the entry of the worker's earlier life. Without trouble the store isn't restored.

use std::collections::HashMap;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_harness_2::client::Call;
use review_harness_2::cold::{Deployment, record_path};
use review_harness_2::record::is_calm;

const GATEWAYS: usize = 2;
const CLIENTS: usize = 20;
/// Each client sends a request in this time.
const PERIOD: Duration = Duration::from_millis(200);
const DRAIN: Duration = Duration::from_millis(2_000);

#[derive(Clone, Debug)]
struct Sent {
    at: Instant,
    gateway: usize,
    status: u16,
}

fn main() -> ExitCode {
    let deployment = Deployment::start(&record_path(), GATEWAYS);
    let first = deployment.worker("i-desk-1", 0, Duration::ZERO, true);
    let others = ["i-desk-2", "i-desk-3"].map(|id| deployment.worker(id, 0, Duration::ZERO, true));
    if !deployment.wait_ready() {
        return ExitCode::from(2);
    }
    let record = deployment.record.clone();
    let is_over = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicUsize::new(0));
    let sent: Arc<Mutex<HashMap<String, Sent>>> = Arc::default();
    // When each gateway first passed on an answer with the notice.
    let told: Arc<Mutex<HashMap<usize, Instant>>> = Arc::default();
    let fronts: Vec<u16> = deployment.gateways.iter().map(|one| one.ports.front).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (is_over, next) = (is_over.clone(), next.clone());
            let (sent, told, record) = (sent.clone(), told.clone(), record.clone());
            let gateway = index % GATEWAYS;
            let port = fronts[gateway];
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let id = format!("r{number:06}");
                    let mut call = Call::new("POST", "h.example", "/book/1", &id, 1_500);
                    call.body = format!("order {number}").into_bytes();
                    let at = Instant::now();
                    let entry = Sent { at, gateway, status: 0 };
                    sent.lock().unwrap().insert(id.clone(), entry.clone());
                    record.line(&format!("client sends {id} to front-{}", gateway + 1));
                    let answer = call.send(port);
                    let status = answer.status;
                    sent.lock().unwrap().insert(id.clone(), Sent { status, ..entry });
                    let notice = answer.header("server-leaving");
                    if notice == "1" {
                        told.lock().unwrap().entry(gateway).or_insert_with(Instant::now);
                    }
                    record.line(&format!("client gets {status} for {id} leaving: {notice:?}"));
                    thread::sleep(PERIOD.saturating_sub(at.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let copied = Instant::now();
    thread::sleep(Duration::from_millis(500));
    record.line("i-desk-1 crashes");
    let port = first.port();
    first.stop();
    thread::sleep(Duration::from_millis(1_000));
    let second = deployment.worker("i-desk-1", port, Duration::ZERO, true);
    record.line("i-desk-1 is back under its id");
    thread::sleep(Duration::from_millis(2_000));
    record.line("i-desk-1 leaves");
    second.shared.is_leaving.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(300));
    second.register("draining");
    thread::sleep(DRAIN + Duration::from_millis(500));
    if !is_calm() {
        record.line("the store is away");
        deployment.store.set_down(true);
        thread::sleep(Duration::from_millis(500));
        deployment.store.restore(copied.elapsed());
        deployment.store.set_down(false);
        record.line(&format!("the store is back from a copy of {:?} ago", copied.elapsed()));
    }
    // What the workers wrote is written again. The one that leaves ends before it would.
    thread::sleep(Duration::from_millis(500));
    others.iter().for_each(|other| other.register("ready"));
    thread::sleep(Duration::from_millis(700));
    second.stop();
    second.unregister();
    record.line("i-desk-1 has ended");
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let (sent, told) = (sent.lock().unwrap(), told.lock().unwrap());
    let arrivals = deployment.arrivals.lock().unwrap();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|one| one.worker == "i-desk-1" && one.has_run)
        .filter_map(|one| sent.get(&one.id).map(|sent| (one, sent)))
        .filter(|(_, sent)| told.get(&sent.gateway).is_some_and(|told| sent.at > *told + DRAIN))
        .collect();
    for (arrival, sent) in &late {
        let after = sent.at - told[&sent.gateway];
        let line = format!(
            "late: {} reached i-desk-1 from front-{}, sent {} ms after it had passed on the notice, status {}",
            arrival.id,
            sent.gateway + 1,
            after.as_millis(),
            sent.status
        );
        record.line(&line);
    }
    let lost = late.iter().filter(|(_, sent)| sent.status != 200).count();
    let summary = format!(
        "DRAIN: {} requests reached the leaving worker later than drain_ms after their machine had passed \
         on its notice; {lost} of them were lost; {} of {GATEWAYS} machines had passed it on",
        late.len(),
        told.len()
    );
    record.line(&summary);
    println!("{summary}");
    deployment.keep_logs();
    if told.len() < GATEWAYS {
        return ExitCode::from(2);
    }
    match late.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(1),
    }
}
