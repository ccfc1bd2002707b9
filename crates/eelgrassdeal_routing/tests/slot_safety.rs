//! The sum of the requests in flight at all nodes stays within the limit of the replica.

#![allow(clippy::unwrap_used, reason = "a failed step fails its test")]

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{Faults, Fleet};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 60;

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, rng)
}

/// A period without faults, followed by a period in which several faults act together.
#[derive(Clone, Copy, Debug)]
struct Episode {
    fault_free_time: Duration,
    fault_time: Duration,
    faults: Faults,
    /// Bit set of the nodes that suspect the owner.
    suspecting: u16,
    /// Bit set of the nodes that lose the state that they keep as owners.
    losing_owner_state: u16,
    /// Bit set of the nodes that are paused for `fault_time`.
    paused: u16,
}

fn episodes() -> impl Strategy<Value = Vec<Episode>> {
    let bits = || prop_oneof![2 => Just(0u16), 1 => any::<u16>()];
    let probability = || prop_oneof![2 => Just(0.0), 1 => 0.0..0.6f64];
    let times = (1_000u64..6_000, 200u64..5_000);
    let messages = (probability(), probability(), probability(), bits(), any::<bool>());
    let nodes = (bits(), bits(), bits());
    let episode = (times, messages, nodes).prop_map(|(times, messages, nodes)| {
        let (loss, duplicate, delayed, partition, never_clears_suspicion) = messages;
        Episode {
            fault_free_time: Duration::from_millis(times.0),
            fault_time: Duration::from_millis(times.1),
            faults: Faults { loss, duplicate, delayed, partition, never_clears_suspicion },
            suspecting: nodes.0,
            losing_owner_state: nodes.1,
            paused: nodes.2,
        }
    });
    proptest::collection::vec(episode, 1..6)
}

fn run_episode(fleet: &mut Fleet, episode: &Episode) -> Result<(), TestCaseError> {
    let mut result = Ok(());
    let mut check_step = |fleet: &mut Fleet| {
        fleet.add_random_demand(0.1);
        if result.is_ok() {
            result = check(fleet);
        }
    };
    fleet.faults = Faults::default();
    fleet.run_for(episode.fault_free_time, &mut check_step);
    fleet.faults = episode.faults;
    fleet.suspect(episode.suspecting, fleet.first_owner());
    for index in 0..fleet.nodes.len() {
        if episode.losing_owner_state & (1 << index) != 0 {
            fleet.nodes[index].owner = None;
        }
        if episode.paused & (1 << index) != 0 {
            fleet.pause(index, episode.fault_time);
        }
    }
    fleet.run_for(episode.fault_time, &mut check_step);
    result
}

fn check(fleet: &Fleet) -> Result<(), TestCaseError> {
    let (slots, kv_tokens) = fleet.in_flight();
    prop_assert!(slots <= fleet.slots, "{slots} requests above the limit {}", fleet.slots);
    prop_assert!(kv_tokens <= fleet.kv_tokens, "{kv_tokens} KV above {}", fleet.kv_tokens);
    Ok(())
}

/// Guards against exceeding the limit while nodes disagree on the owner, messages are lost, delayed
/// or duplicated, nodes are paused and owners lose their state.
#[test]
fn limit_holds_under_faults() {
    let scenario = (any::<u64>(), 2usize..=8, 1u32..24, 100u64..20_000, episodes());
    let result = runner(CASES).run(&scenario, |(seed, nodes, slots, kv_tokens, episodes)| {
        let mut fleet = Fleet::new(seed, nodes, nodes, slots, kv_tokens);
        episodes.iter().try_for_each(|episode| run_episode(&mut fleet, episode))
    });
    result.unwrap();
}

/// Guards against exceeding the limit while the set of reporters changes and the nodes apply the
/// change at different times.
#[test]
fn limit_holds_while_members_change() {
    let scenario = (any::<u64>(), 4usize..=12, 1u32..24, episodes());
    let result = runner(CASES).run(&scenario, |(seed, nodes, slots, episodes)| {
        let mut fleet = Fleet::new(seed, nodes, nodes - 1, slots, 10_000);
        for (round, episode) in episodes.iter().enumerate() {
            // A node that resumes after a pause is unconfirmed and applies the change before
            // anything else, so it does not use the previous members longer than without the pause.
            // This test therefore pauses no nodes.
            let episode =
                Episode { paused: 0, fault_free_time: episode.fault_free_time / 3, ..*episode };
            let absent = (seed as usize).wrapping_add(round) % nodes;
            let members: BTreeSet<usize> = (0..nodes).filter(|index| *index != absent).collect();
            fleet.change_members(&members);
            run_episode(&mut fleet, &episode)?;
            run_episode(&mut fleet, &Episode { faults: Faults::default(), ..episode })?;
        }
        Ok(())
    });
    result.unwrap();
}
