//! All gateways are restarted in turn, and each is away for three seconds. Then the only worker of a
//! service comes back cold. Without trouble the gateways are not restarted.

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use review_harness_2::client::get_answer;
use review_harness_2::cold::{COLD_S, Clients, Deployment, record_path};
use review_harness_2::process::SIGTERM;
use review_harness_2::record::is_calm;

const GATEWAYS: usize = 7;
/// How long a restarted machine is away.
const AWAY: Duration = Duration::from_millis(3_000);

fn main() -> ExitCode {
    let mut deployment = Deployment::start(&record_path(), GATEWAYS);
    let warm = deployment.worker("i-desk-1", 0, Duration::ZERO, true);
    if !deployment.wait_ready() {
        return ExitCode::from(2);
    }
    let record = deployment.record.clone();
    thread::sleep(Duration::from_secs(35));
    for gateway in deployment.gateways.iter_mut().filter(|_| !is_calm()) {
        record.line(&format!("SIGTERM {}", gateway.name));
        gateway.signal(SIGTERM);
        if !gateway.wait_end(Duration::from_secs(8)) {
            gateway.kill();
        }
        record.line(&format!("ended {}", gateway.name));
        thread::sleep(AWAY);
        gateway.start();
        if !gateway.wait_ready(Duration::from_secs(10)) {
            record.line("not ready again");
            return ExitCode::from(2);
        }
        record.line(&format!("ready {}", gateway.name));
    }
    thread::sleep(Duration::from_secs(2));
    for gateway in &deployment.gateways {
        let path = "/resolve?name=h.example&region=r&zone=zone-a";
        let answer = get_answer(gateway.ports.directory, path, Duration::from_secs(1));
        let named = answer.map_or(0, |answer| answer.text().matches("127.0.0.1:").count());
        record.line(&format!("{} names {named} machines", gateway.name));
    }
    warm.stop();
    warm.unregister();
    let clients = Clients::start(&deployment);
    thread::sleep(Duration::from_secs(2));
    let cold = deployment.worker("i-desk-2", 0, COLD_S, true);
    thread::sleep(COLD_S + Duration::from_secs(1));
    match clients.check(&deployment, &cold) {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(1),
    }
}
