//! Measures responses while a data centre is taken out of service and returns with cold engines.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use eelgrassdeal_standins::{EngineOptions, answer_text};
use eelgrassdeal_testkit::{ChatOutcome, FleetSpec, TestCaller, TestFleet, chat_request};
use futures_util::future::join_all;
use gumdrop::Options;

use crate::stats::percentile;

/// Index of the data centre that is taken out of service.
const CENTRE_INDEX: usize = 0;
/// Time after the start of the run at which the data centre is taken out of service.
const REMOVAL_TIME: Duration = Duration::from_secs(4);
/// Time after the start of the run at which the data centre returns.
const RETURN_TIME: Duration = Duration::from_secs(14);
/// Time for which requests are sent.
const RUN_DURATION: Duration = Duration::from_secs(26);
/// Time for which engines of the data centre may still receive new requests, after the
/// configuration change that takes it out of service was accepted.
const DRAIN_PROPAGATION_LIMIT: Duration = Duration::from_secs(5);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// Tokens of each response.
const TOKENS: u32 = 40;
/// Requests that a cold engine can run at once; one more crashes it.
const COLD_LIMIT: u32 = 2;
/// Requests that a warm engine can run at once; one more crashes it.
const WARM_LIMIT: u32 = 16;

/// Options of `centre`.
#[derive(Debug, Options)]
pub(crate) struct CentreOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "number of callers, each sending one request after the other",
        default = "96"
    )]
    lanes: usize,
}

/// Slot policy, and the slots that the configuration gives to a cold replica.
struct CentrePolicy {
    name: &'static str,
    slot_policy: &'static str,
    cold_slots: u32,
}

/// Results of all requests of a run.
#[derive(Default)]
struct CentreStats {
    responses: usize,
    /// Responses that were complete and correct before the request timeout.
    in_time: usize,
    /// Longest time between two tokens of each response.
    longest_gaps_ms: Vec<f64>,
    /// Only of responses with at least one token.
    times_to_first_token_ms: Vec<f64>,
}

impl CentreStats {
    fn add(&mut self, outcome: &ChatOutcome, expected: &str) {
        self.responses += 1;
        self.in_time += usize::from(outcome.is_complete && outcome.text == expected);
        self.longest_gaps_ms.push(outcome.longest_gap.as_secs_f64() * 1000.0);
        if let Some(first) = outcome.time_to_first_token {
            self.times_to_first_token_ms.push(first.as_secs_f64() * 1000.0);
        }
    }
}

/// Runs the measurement under each policy and prints a table.
pub(crate) async fn run(options: &CentreOptions) {
    println!(
        "data centre {CENTRE_INDEX} of 3 out of service from 4 s to 14 s, engines cold on return; \
         duration 26 s; request timeout 8 s"
    );
    println!(
        "24 replicas of 2 VMs, 7 nodes, {} callers, each sending one request after the other; gap: \
         longest time between two tokens of a response; first: time to the first token; late work: \
         requests that an engine of the data centre received more than 5 s after its removal \
         and before its return",
        options.lanes
    );
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
    println!("target: all answers in time, late work 0, crashes 0");
}

/// Runs a fleet under one policy and prints its row.
async fn run_policy(policy: &CentrePolicy, caller_count: usize) {
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
    let start_time = Instant::now();
    let stats = Rc::new(RefCell::new(CentreStats::default()));
    let transition_times = Cell::new((start_time, start_time));
    let change_centre_state = async {
        compio::time::sleep(REMOVAL_TIME).await;
        fleet.set_centre_state(CENTRE_INDEX, "out").await;
        let out_at = Instant::now();
        compio::time::sleep(RETURN_TIME - REMOVAL_TIME).await;
        for (vm, engine) in &fleet.engines {
            if vm.starts_with("dc0") {
                engine.reset_warm_up();
            }
        }
        let back_at = Instant::now();
        fleet.set_centre_state(CENTRE_INDEX, "in").await;
        transition_times.set((out_at, back_at));
    };
    let calls = join_all(
        (0..caller_count)
            .map(|caller_index| send_requests(&fleet, caller_index, start_time, &stats)),
    );
    futures_util::join!(change_centre_state, calls);
    let (out_at, back_at) = transition_times.get();
    // The column `late work`.
    let late_requests: usize = fleet
        .engines
        .iter()
        .filter(|(vm, _)| vm.starts_with("dc0"))
        .flat_map(|(_, engine)| engine.runs())
        .filter(|run| {
            run.received_at > out_at + DRAIN_PROPAGATION_LIMIT && run.received_at < back_at
        })
        .count();
    let crashes: u32 = fleet.engines.iter().map(|(_, engine)| engine.crashes()).sum();
    let mut stats = stats.borrow_mut();
    let time_to_first_token = percentile(&mut stats.times_to_first_token_ms, 0.95);
    let longest_gaps =
        [percentile(&mut stats.longest_gaps_ms, 0.95), percentile(&mut stats.longest_gaps_ms, 1.0)];
    println!(
        "{:<24} {:>8} {:>8.2}% {:>7.0} ms {:>7.0} ms {:>6.0} ms {:>9} {:>9}",
        policy.name,
        stats.responses,
        100.0 * stats.in_time as f64 / stats.responses.max(1) as f64,
        longest_gaps[0],
        longest_gaps[1],
        time_to_first_token,
        late_requests,
        crashes,
    );
}

/// Sends requests one after the other until the end of the run.
async fn send_requests(
    fleet: &TestFleet,
    caller_index: usize,
    start_time: Instant,
    stats: &RefCell<CentreStats>,
) {
    let caller = TestCaller::new(&fleet.node_addresses).with_timeout(REQUEST_TIMEOUT);
    let mut number = 0;
    while start_time.elapsed() < RUN_DURATION {
        // An arbitrary prompt, different for each request.
        let request = chat_request(&format!("lane {caller_index} report {number}"), TOKENS);
        let outcome = caller.chat(&request).await;
        stats.borrow_mut().add(&outcome, &answer_text(&request));
        number += 1;
    }
}
