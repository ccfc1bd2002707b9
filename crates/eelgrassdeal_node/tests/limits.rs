//! Cold and memory limits of an upstream hold for the sum over all nodes.

use std::time::Duration;

use eelgrassdeal_standins::EngineOptions;
use eelgrassdeal_testkit::{FleetSpec, TestCaller, TestFleet, chat_request};
use futures_util::future::join_all;

const STREAMS: usize = 60;

async fn load(fleet: &TestFleet, tokens: u32) -> usize {
    let outcomes = join_all((0..STREAMS).map(|index| {
        let seeds = [fleet.node_addresses[index % fleet.node_addresses.len()]];
        let caller = TestCaller::new(&seeds).with_deadline(Duration::from_secs(25));
        async move { caller.chat(&chat_request(&format!("lot {index}"), tokens)).await }
    }))
    .await;
    outcomes.iter().filter(|outcome| outcome.is_whole).count()
}

/// Guards against a cold engine that falls over because each node alone stays below the limit but
/// all together do not.
#[compio::test]
async fn a_cold_engine_never_gets_more_than_it_bears() {
    let engine = EngineOptions {
        cold_limit: 2,
        warm_limit: 16,
        warm_after: Duration::from_millis(600),
        ..EngineOptions::default()
    };
    let spec = FleetSpec {
        nodes: 7,
        engine,
        slots: 16,
        cold_slots: 2,
        ramp_step_ms: 800,
        ..FleetSpec::default()
    };
    let fleet = TestFleet::start_serving(spec).await;
    let whole = load(&fleet, 20).await;
    let crashes: u32 = fleet.engines.iter().map(|(_, engine)| engine.crashes()).sum();
    assert_eq!(crashes, 0, "an engine got more than it bears");
    assert_eq!(whole, STREAMS);
}

/// Guards against an engine that falls over because the requests it holds outgrow its memory.
#[compio::test]
async fn the_memory_of_an_engine_is_never_outgrown() {
    let kv_tokens = 400;
    let engine = EngineOptions { kv_tokens, ..EngineOptions::default() };
    let spec = FleetSpec { nodes: 7, engine, kv_tokens, ..FleetSpec::default() };
    let fleet = TestFleet::start_serving(spec).await;
    let whole = load(&fleet, 60).await;
    let crashes: u32 = fleet.engines.iter().map(|(_, engine)| engine.crashes()).sum();
    let peak = fleet.engines.iter().map(|(_, engine)| engine.peak_kv()).max();
    assert_eq!(crashes, 0, "peak {peak:?} of {kv_tokens}");
    assert_eq!(whole, STREAMS);
}
