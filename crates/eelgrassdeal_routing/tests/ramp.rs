//! Limit of a replica while it warms up.

use std::time::{Duration, Instant};

use eelgrassdeal_routing::{RampSettings, RampState};
use eelgrassdeal_types::StartId;

const STEP: Duration = Duration::from_secs(10);
const TARGET: Duration = Duration::from_millis(500);

fn ramp(now: Instant) -> RampState {
    let settings =
        RampSettings { cold_slots: 2, slots: 12, step: STEP, first_token_target: TARGET };
    let mut ramp = RampState::new(settings, now);
    ramp.observe_start(now, &StartId::from("s1"));
    ramp
}

/// Records first tokens with `latency` during each of `steps` steps.
fn run_steps(ramp: &mut RampState, now: &mut Instant, steps: u32, latency: Duration) {
    for _ in 0..steps {
        ramp.observe_first_token(*now, latency);
        *now += STEP / 2;
        ramp.observe_first_token(*now, latency);
        *now += STEP / 2;
        ramp.advance(*now);
    }
}

/// Guards against putting the full load on a cold engine.
#[test]
fn limit_doubles_with_each_healthy_step() {
    let mut now = Instant::now();
    let mut ramp = ramp(now);
    let mut limits = vec![ramp.limit()];
    for _ in 0..4 {
        run_steps(&mut ramp, &mut now, 1, TARGET);
        limits.push(ramp.limit());
    }
    assert_eq!(limits, [2, 4, 8, 12, 12]);
}

/// Guards against raising the limit after idle time or slow first tokens.
#[test]
fn limit_stays_without_healthy_answers() {
    let mut now = Instant::now();
    let mut ramp = ramp(now);
    ramp.advance(now + STEP * 10);
    assert_eq!(ramp.limit(), 2);
    now += STEP * 10;
    run_steps(&mut ramp, &mut now, 2, TARGET * 2);
    assert_eq!(ramp.limit(), 2);
}

/// Guards against keeping the warm limit for an engine that restarted or lost its caches.
#[test]
fn restart_or_slow_first_token_resets_the_limit() {
    let mut now = Instant::now();
    let mut ramp = ramp(now);
    run_steps(&mut ramp, &mut now, 2, TARGET);
    assert_eq!(ramp.limit(), 8);
    ramp.observe_first_token(now, TARGET * 3);
    assert_eq!(ramp.limit(), 8);
    ramp.observe_first_token(now, TARGET * 3 + Duration::from_millis(1));
    assert_eq!(ramp.limit(), 2);
    run_steps(&mut ramp, &mut now, 2, TARGET);
    ramp.observe_start(now, &StartId::from("s2"));
    assert_eq!(ramp.limit(), 2);
    // Nodes may still report the limit from before the reset.
    ramp.inherit_limit(now, 8, "s2");
    assert_eq!(ramp.limit(), 2);
}

/// Guards against a new owner that starts from the cold limit although the engine is warm. It must
/// not inherit a limit that belongs to another run of the engine, nor one that is reported after
/// the initial period.
#[test]
fn new_owner_inherits_the_limit_of_the_same_start() {
    let now = Instant::now();
    let mut ramp = ramp(now);
    ramp.inherit_limit(now, 8, "s2");
    assert_eq!(ramp.limit(), 2);
    ramp.inherit_limit(now, 8, "s1");
    assert_eq!(ramp.limit(), 8);
    ramp.inherit_limit(now + STEP, 12, "s1");
    assert_eq!(ramp.limit(), 8);
}

/// Guards against counting idle time as a healthy step of an engine that processed no requests.
#[test]
fn step_starts_at_its_first_token() {
    let mut now = Instant::now();
    let mut ramp = ramp(now);
    now += STEP * 10;
    ramp.observe_first_token(now, TARGET);
    ramp.advance(now);
    assert_eq!(ramp.limit(), 2);
    ramp.advance(now + STEP);
    assert_eq!(ramp.limit(), 4);
}

/// Guards against a load surge on the engines of a data centre that returns to service: they may
/// have become cold without a restart.
#[test]
fn return_to_service_starts_cold() {
    let mut now = Instant::now();
    let mut ramp = ramp(now);
    run_steps(&mut ramp, &mut now, 3, TARGET);
    assert_eq!(ramp.limit(), 12);
    ramp.return_to_service(now);
    assert_eq!(ramp.limit(), 2);
    // Nodes may still report the limit from before the data centre went out of service.
    ramp.inherit_limit(now, 12, "s1");
    assert_eq!(ramp.limit(), 2);
}
