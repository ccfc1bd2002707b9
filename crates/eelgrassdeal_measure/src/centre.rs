//! Service while a data centre leaves and returns, with its engines cold on the return.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_standins::{EngineOptions, answer_text};
use eelgrassdeal_testkit::{ChatOutcome, FleetSpec, TestCaller, TestFleet, chat_request};
use futures_util::future::join_all;
use gumdrop::Options;

use crate::figures::percentile;

const CENTRE: usize = 0;
const LEAVES_AT: Duration = Duration::from_secs(4);
const RETURNS_AT: Duration = Duration::from_secs(14);
const RUN_TIME: Duration = Duration::from_secs(26);
/// From an accepted removal until no new work may start in the data centre.
const STOP_BOUND: Duration = Duration::from_secs(5);
const DEADLINE: Duration = Duration::from_secs(8);
const TOKENS: u32 = 40;
const COLD_LIMIT: u32 = 2;
const WARM_LIMIT: u32 = 16;

/// Options of `centre`.
#[derive(Debug, Options)]
pub(crate) struct CentreOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "streams at once", default = "96")]
    lanes: usize,
}

/// One policy and the slots that the register declares for a cold replica under it.
struct CentrePolicy {
    name: &'static str,
    slot_policy: &'static str,
    cold_slots: u32,
}

#[derive(Default)]
struct CentreFigures {
    answers: usize,
    in_time: usize,
    gaps_ms: Vec<f64>,
    first_tokens_ms: Vec<f64>,
}

impl CentreFigures {
    fn add(&mut self, outcome: &ChatOutcome, expected: &str) {
        self.answers += 1;
        self.in_time += usize::from(outcome.is_complete && outcome.text == expected);
        self.gaps_ms.push(outcome.longest_gap.as_secs_f64() * 1000.0);
        if let Some(first) = outcome.time_to_first_token {
            self.first_tokens_ms.push(first.as_secs_f64() * 1000.0);
        }
    }
}

/// Runs the measurement and prints its figures.
pub(crate) async fn run(options: &CentreOptions) {
    println!(
        "data centre {CENTRE} of 3 out from 4 s to 14 s, cold on the return; 26 s; deadline 8 s"
    );
    println!("24 replicas of 2 VMs, 7 nodes, {} streams at once", options.lanes);
    println!(
        "{:<24} {:>8} {:>9} {:>10} {:>10} {:>9} {:>9} {:>9}",
        "policy", "answers", "in time", "gap p95", "gap max", "first p95", "late work", "crashes"
    );
    let policies = [
        CentrePolicy { name: "owner and ramp", slot_policy: "owner", cold_slots: COLD_LIMIT },
        CentrePolicy {
            name: "equal shares, no ramp",
            slot_policy: "equal_shares",
            cold_slots: WARM_LIMIT,
        },
        CentrePolicy { name: "owner, no ramp", slot_policy: "owner", cold_slots: WARM_LIMIT },
    ];
    for policy in policies {
        run_policy(&policy, options.lanes).await;
    }
    println!("target: every answer in time, late work 0, crashes 0");
}

async fn run_policy(policy: &CentrePolicy, lanes: usize) {
    let engine = EngineOptions {
        cold_limit: COLD_LIMIT,
        warm_limit: WARM_LIMIT,
        warm_up_time: Duration::from_millis(400),
        ..EngineOptions::default()
    };
    let spec = FleetSpec {
        nodes: 7,
        workers: 17,
        replicas: 24,
        engine,
        slots: WARM_LIMIT,
        cold_slots: policy.cold_slots,
        ramp_step_ms: 600,
        slot_policy: policy.slot_policy.to_owned(),
        ..FleetSpec::default()
    };
    let fleet = TestFleet::start(spec).await;
    compio::time::sleep(Duration::from_secs(6)).await;
    let started = Instant::now();
    let figures = Rc::new(RefCell::new(CentreFigures::default()));
    let moved = Cell::new((started, started));
    let operate = async {
        compio::time::sleep(LEAVES_AT).await;
        fleet.set_centre_state(CENTRE, "out").await;
        let out = Instant::now();
        compio::time::sleep(RETURNS_AT - LEAVES_AT).await;
        for (vm, engine) in &fleet.engines {
            if vm.starts_with("dc0") {
                engine.reset_warm_up();
            }
        }
        let back = Instant::now();
        fleet.set_centre_state(CENTRE, "in").await;
        moved.set((out, back));
    };
    let calls = join_all((0..lanes).map(|lane| call_lane(&fleet, lane, started, &figures)));
    futures_util::join!(operate, calls);
    let (out, back) = moved.get();
    let late: usize = fleet
        .engines
        .iter()
        .filter(|(vm, _)| vm.starts_with("dc0"))
        .flat_map(|(_, engine)| engine.runs())
        .filter(|run| run.received_at > out + STOP_BOUND && run.received_at < back)
        .count();
    let crashes: u32 = fleet.engines.iter().map(|(_, engine)| engine.crashes()).sum();
    let mut figures = figures.borrow_mut();
    let first_token = percentile(&mut figures.first_tokens_ms, 0.95);
    let gaps = [percentile(&mut figures.gaps_ms, 0.95), percentile(&mut figures.gaps_ms, 1.0)];
    println!(
        "{:<24} {:>8} {:>8.2}% {:>7.0} ms {:>7.0} ms {:>6.0} ms {:>9} {:>9}",
        policy.name,
        figures.answers,
        100.0 * figures.in_time as f64 / figures.answers.max(1) as f64,
        gaps[0],
        gaps[1],
        first_token,
        late,
        crashes,
    );
}

async fn call_lane(
    fleet: &TestFleet,
    lane: usize,
    started: Instant,
    figures: &RefCell<CentreFigures>,
) {
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(DEADLINE);
    let mut number = 0;
    while started.elapsed() < RUN_TIME {
        let request = chat_request(&format!("lane {lane} report {number}"), TOKENS);
        let outcome = caller.chat(&request).await;
        figures.borrow_mut().add(&outcome, &answer_text(&request));
        number += 1;
    }
}
