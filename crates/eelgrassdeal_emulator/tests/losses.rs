//! Under heavy losses, enough groups keep serving, and no upstream joins a group while the head of
//! its previous group may be serving.

use std::time::Duration;

use eelgrassdeal_emulator::{EmulatedFleet, FleetEvent, FleetSpec, LossScenario};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Number of random scenarios.
const SCENARIOS: u64 = 5;
/// Target: the served share of the demand is at least this fraction of the share that could be
/// served if groups formed instantly. Repairs cost the rest.
const MIN_FRACTION_OF_POTENTIAL: f64 = 0.9;

#[test]
fn all_demand_is_served_without_losses() {
    for spec in [FleetSpec::small(), FleetSpec::shared_domains(), FleetSpec::large()] {
        let mut fleet = EmulatedFleet::new(spec, 1);
        let report = fleet.run(&LossScenario::without_events(Duration::from_secs(5)));
        assert_eq!(report.served_share(), 1.0);
        assert_eq!(fleet.violations(), &[] as &[String]);
    }
}

#[test]
fn groups_are_repaired_without_violations_under_heavy_losses() {
    for (index, spec) in [FleetSpec::small(), FleetSpec::large()].into_iter().enumerate() {
        let (mut served, mut potential, mut unrepaired) = (0.0, 0.0, 0.0);
        for seed in 0..SCENARIOS {
            let scenario = LossScenario::heavy_losses(&spec, &mut StdRng::seed_from_u64(seed));
            let mut fleet = EmulatedFleet::new(spec.clone(), seed);
            let report = fleet.run(&scenario);
            assert_eq!(fleet.violations(), &[] as &[String], "fleet {index}, seed {seed}");
            served += report.served_share();
            potential += report.potential_share();
            let mut fleet = EmulatedFleet::new(spec.clone(), seed).without_repair();
            unrepaired += fleet.run(&scenario).served_share();
        }
        assert!(
            served >= MIN_FRACTION_OF_POTENTIAL * potential,
            "fleet {index}: {served} of {potential}"
        );
        assert!(served > unrepaired, "fleet {index}: {served}, {unrepaired} without repair");
    }
}

/// Guards against running out of spares for large groups. The planner repairs such a group with a
/// spare that already holds the model, and keeps several of these spares in the group's domain.
#[test]
fn large_groups_recover_from_repeated_losses_in_their_data_centre() {
    let spec = FleetSpec::large();
    let loss = |at: u64| {
        let event = FleetEvent::LoseMembers { data_centre: 0, count: 2 };
        (Duration::from_secs(at), event)
    };
    let scenario =
        [2, 6, 10].into_iter().map(loss).fold(
            LossScenario::without_events(Duration::from_secs(16)),
            |scenario, (at, event)| scenario.with_event(at, event),
        );
    for seed in 0..6 {
        let mut fleet = EmulatedFleet::new(spec.clone(), seed);
        fleet.run(&scenario);
        // Continues from 16 s to 18 s, since durations count from the start of traffic.
        let after = fleet.run(&LossScenario::without_events(Duration::from_secs(18)));
        assert_eq!(after.model_served_share(0), 1.0, "seed {seed}");
    }
}

#[test]
fn all_demand_is_served_after_a_domain_outage() {
    let spec = FleetSpec::small();
    let outage = FleetEvent::DomainOutage { domain: 0, duration: Duration::from_secs(7) };
    let scenario = LossScenario::without_events(Duration::from_secs(20))
        .with_event(Duration::from_secs(3), outage);
    let mut fleet = EmulatedFleet::new(spec, 3);
    fleet.run(&scenario);
    // Continues from 20 s to 22 s, since durations count from the start of traffic.
    let after = fleet.run(&LossScenario::without_events(Duration::from_secs(22)));
    assert_eq!(after.served_share(), 1.0);
}

/// Guards against a model that loses its groups one after the other while the other model keeps more
/// groups than it needs. Target: no model is served less than half as well as the other.
#[test]
fn no_model_starves_beside_one_with_smaller_groups() {
    let spec = FleetSpec::shared_domains();
    let (mut first, mut second) = (0.0, 0.0);
    for seed in 0..SCENARIOS {
        let scenario = LossScenario::heavy_losses(&spec, &mut StdRng::seed_from_u64(seed));
        let mut fleet = EmulatedFleet::new(spec.clone(), seed);
        let report = fleet.run(&scenario);
        assert_eq!(fleet.violations(), &[] as &[String], "seed {seed}");
        first += report.model_served_share(0);
        second += report.model_served_share(1);
    }
    assert!(first >= 0.5 * second && second >= 0.5 * first, "first {first}, second {second}");
}
