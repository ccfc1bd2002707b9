//! Requests in time under more load than fits.

mod common;
mod load_play;

use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{EngineSpec, ModelSpec, ReplicaSpeed};

use crate::load_play::{CallerChoice, LoadReport, LoadSpec, five_step_engine as engine, play};

const TARGET: Duration = Duration::from_millis(250);

fn model() -> ModelSpec {
    ModelSpec { time_factor: 0.6, ..common::engine().models[0].clone() }
}

fn fleet() -> LoadSpec {
    LoadSpec {
        nodes: 80,
        data_centres: 1,
        callers: CallerChoice::AnyNode,
        replicas: 8,
        engine: engine(),
        model: model(),
        target: TARGET,
        answer_tokens: engine().mean_answer_tokens,
        first_event_passes: 4.7,
        round: Duration::from_millis(350),
        count_age: Duration::from_millis(700),
    }
}

/// Six seconds of a load that fits, six of twice as much, and the first load again. About 250 requests a
/// second fit.
fn overload_play() -> LoadReport {
    play(&fleet(), &[vec![200.0; 6], vec![400.0; 6], vec![200.0; 6]].concat(), 1)
}

fn mean(seconds: &[u32]) -> f64 {
    f64::from(seconds.iter().sum::<u32>()) / seconds.len() as f64
}

/// Guards against the collapse in which replicas run so many requests that nearly all are late.
#[test]
fn requests_in_time_keep_up_under_twice_the_load() {
    let LoadReport { in_time, .. } = overload_play();
    let (before, during) = (mean(&in_time[2..6]), mean(&in_time[6..12]));
    println!("in time per second: before {before:.0}, during {during:.0}");
    assert!(during >= 0.8 * before, "{in_time:?}");
}

/// Guards against an overload that goes on after its cause: late requests and old counts keep the room
/// of those that could be in time.
#[test]
fn requests_in_time_are_back_two_seconds_after_an_overload() {
    let LoadReport { in_time, .. } = overload_play();
    let (before, after) = (mean(&in_time[2..6]), mean(&in_time[14..17]));
    println!("in time per second: before {before:.0}, after {after:.0}");
    assert!(after >= 0.95 * before, "{in_time:?}");
}

#[test]
fn a_replica_gets_fewer_requests_than_slots_where_more_hardly_help() {
    let (engine, model) = (engine(), model());
    let speed = ReplicaSpeed::new(&engine, &model);
    let limit = speed.in_time_per_slot();
    assert!((0.6..0.95).contains(&limit), "{limit}");
    let first_event = speed.first_event_time();
    assert!(first_event < TARGET, "a request that needn't wait is in time: {first_event:?}");
}

/// Guards against an estimate of the first event beyond the target, with which every request would be late
/// on arrival.
#[test]
fn a_request_is_not_late_when_it_arrives() {
    let now = Instant::now();
    for steps_per_pass in [5, 11, 40] {
        let engine = EngineSpec { steps_per_pass, ..engine() };
        let model = model();
        let late_at = ReplicaSpeed::new(&engine, &model).late_at(now + TARGET, now);
        assert!(late_at > now && late_at < now + TARGET, "{steps_per_pass} steps");
    }
    let (engine, model) = (engine(), model());
    let speed = ReplicaSpeed::new(&engine, &model);
    assert_eq!(speed.late_at(now, now + TARGET), now, "its target has passed");
}

#[test]
fn an_engine_without_stated_times_is_used_fully() {
    let engine = EngineSpec {
        step_time: Duration::ZERO,
        per_sequence_ms: 0.0,
        per_context_ms: 0.0,
        mean_prompt_tokens: 0.0,
        mean_answer_tokens: 0.0,
        ..engine()
    };
    let model = model();
    let speed = ReplicaSpeed::new(&engine, &model);
    assert_eq!(speed.in_time_per_slot(), 1.0);
    assert_eq!(speed.first_event_time(), Duration::ZERO);
}
