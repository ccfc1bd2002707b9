//! The limits on requests at a cold upstream and on its memory hold for the sum over all nodes.

use std::time::Duration;

use eelgrassdeal_standins::EngineOptions;
use eelgrassdeal_testkit::{FleetSpec, TestCaller, TestFleet, chat_request};
use futures_util::future::join_all;

const STREAMS: usize = 60;

/// Sends [`STREAMS`] requests at once, spread over all nodes, and returns the number of complete
/// responses.
async fn run_streams(fleet: &TestFleet, tokens: u32) -> usize {
    let outcomes = join_all((0..STREAMS).map(|index| {
        let node = [fleet.node_addresses[index % fleet.node_addresses.len()]];
        let caller = TestCaller::new(&node).with_timeout(Duration::from_secs(25));
        async move { caller.chat(&chat_request(&format!("lot {index}"), tokens)).await }
    }))
    .await;
    outcomes.iter().filter(|outcome| outcome.is_complete).count()
}

/// Guards against overloading a cold engine when each node alone stays below the limit but the sum
/// over all nodes does not.
#[compio::test]
async fn a_cold_engine_is_never_overloaded() {
    // More concurrent requests than these limits crash the engine.
    let engine = EngineOptions {
        cold_limit: 2,
        warm_limit: 16,
        warm_up_time: Duration::from_millis(600),
        ..EngineOptions::default()
    };
    let spec = FleetSpec {
        nodes: 7,
        engine,
        // The limits of the engine as configured at the nodes.
        slots: 16,
        cold_slots: 2,
        ramp_step_ms: 800,
        ..FleetSpec::default()
    };
    let fleet = TestFleet::start_serving(spec).await;
    let complete = run_streams(&fleet, 20).await;
    let crashes: u32 = fleet.engines.iter().map(|(_, engine)| engine.crashes()).sum();
    assert_eq!(crashes, 0, "an engine crashed from overload");
    assert_eq!(complete, STREAMS);
}

/// Guards against an engine that crashes because the KV tokens of its requests exceed its memory.
#[compio::test]
async fn the_memory_of_an_engine_is_never_exceeded() {
    let kv_tokens = 400;
    let engine = EngineOptions { kv_tokens, ..EngineOptions::default() };
    let spec = FleetSpec { nodes: 7, engine, kv_tokens, ..FleetSpec::default() };
    let fleet = TestFleet::start_serving(spec).await;
    let complete = run_streams(&fleet, 60).await;
    let crashes: u32 = fleet.engines.iter().map(|(_, engine)| engine.crashes()).sum();
    let peak = fleet.engines.iter().map(|(_, engine)| engine.peak_kv_tokens()).max();
    assert_eq!(crashes, 0, "peak {peak:?} of {kv_tokens}");
    assert_eq!(complete, STREAMS);
}
