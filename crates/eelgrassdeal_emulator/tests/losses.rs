//! A day of losses leaves enough groups to serve, and no upstream joins a second group.

use std::time::Duration;

use eelgrassdeal_emulator::{EmulatedFleet, FleetEvent, FleetSpec, LossScript};
use rand::SeedableRng;
use rand::rngs::StdRng;

const DAYS: u64 = 5;
/// Target: repairs cost at most a tenth of what the upstreams that hold a model could serve.
const MIN_REPAIRED: f64 = 0.9;

#[test]
fn a_calm_day_is_served_whole() {
    for spec in [FleetSpec::today(), FleetSpec::grown()] {
        let mut fleet = EmulatedFleet::new(spec, 1);
        let report = fleet.play(&LossScript::calm(Duration::from_secs(5)));
        assert_eq!(report.share(), 1.0);
        assert_eq!(fleet.violations(), &[] as &[String]);
    }
}

#[test]
fn heavy_days_break_no_rule_and_are_repaired() {
    for (index, spec) in [FleetSpec::today(), FleetSpec::grown()].into_iter().enumerate() {
        let (mut served, mut possible, mut unrepaired) = (0.0, 0.0, 0.0);
        for seed in 0..DAYS {
            let script = LossScript::heavy_day(&spec, &mut StdRng::seed_from_u64(seed));
            let mut fleet = EmulatedFleet::new(spec.clone(), seed);
            let report = fleet.play(&script);
            assert_eq!(fleet.violations(), &[] as &[String], "fleet {index}, seed {seed}");
            served += report.share();
            possible += report.possible_share();
            let mut fleet = EmulatedFleet::new(spec.clone(), seed).without_repair();
            unrepaired += fleet.play(&script).share();
        }
        assert!(served >= MIN_REPAIRED * possible, "fleet {index}: {served} of {possible}");
        assert!(served > unrepaired, "fleet {index}: {served}, {unrepaired} without repair");
    }
}

/// A large group that loses a member takes a spare of its own model: its domain keeps some.
#[test]
fn a_large_group_survives_several_losses_of_its_domain() {
    let spec = FleetSpec::grown();
    let loss = |at: u64| {
        let event = FleetEvent::LoseMembers { data_centre: 0, count: 2 };
        (Duration::from_secs(at), event)
    };
    let script = [2, 6, 10]
        .into_iter()
        .map(loss)
        .fold(LossScript::calm(Duration::from_secs(16)), |script, (at, event)| {
            script.with_event(at, event)
        });
    for seed in 0..6 {
        let mut fleet = EmulatedFleet::new(spec.clone(), seed);
        fleet.play(&script);
        let after = fleet.play(&LossScript::calm(Duration::from_secs(18)));
        assert_eq!(after.model_share(0), 1.0, "seed {seed}");
    }
}

#[test]
fn a_domain_that_comes_back_serves_again() {
    let spec = FleetSpec::today();
    let dark = FleetEvent::DarkDomain { domain: 0, lasts: Duration::from_secs(7) };
    let script = LossScript::calm(Duration::from_secs(20)).with_event(Duration::from_secs(3), dark);
    let mut fleet = EmulatedFleet::new(spec, 3);
    fleet.play(&script);
    let after = fleet.play(&LossScript::calm(Duration::from_secs(22)));
    assert_eq!(after.share(), 1.0);
}
