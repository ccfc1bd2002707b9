//! A worker that is partitioned from the store crashes behind the cut and starts again, cold, under
//! its id. Without trouble it restarts in the same way and reaches the store.

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use review_harness_2::cold::{COLD_S, Clients, Deployment, record_path};
use review_harness_2::record::is_calm;

/// How long the crashed worker is down.
const DOWN: Duration = Duration::from_millis(1_000);
/// Time from the last heartbeat to the end of the entry: three intervals.
const EXPIRY: Duration = Duration::from_millis(3_600);

fn main() -> ExitCode {
    let deployment = Deployment::start(&record_path(), 3);
    let workers = ["i-desk-1", "i-desk-2", "i-desk-3"]
        .map(|id| deployment.worker(id, 0, Duration::ZERO, true));
    if !deployment.wait_ready() {
        return ExitCode::from(2);
    }
    let clients = Clients::start(&deployment);
    thread::sleep(Duration::from_secs(4));
    let port = workers[0].port();
    deployment.record.line("i-desk-1 crashes");
    workers[0].stop();
    thread::sleep(DOWN);
    let cold = deployment.worker("i-desk-1", port, COLD_S, is_calm());
    deployment.record.line("i-desk-1 is back, cold");
    if !is_calm() {
        thread::sleep(EXPIRY - DOWN);
        cold.unregister();
    }
    thread::sleep(COLD_S);
    match clients.check(&deployment, &cold) {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(1),
    }
}
