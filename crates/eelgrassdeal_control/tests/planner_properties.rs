//! Property tests of the planner with random fleets and failures.

mod fixture;

use std::collections::BTreeSet;

use eelgrassdeal_control::check_fleet;
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_store::VmState;
use fixture::PlanFixture;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CENTRES: [&str; 3] = ["a", "b", "c"];
const RULES: [&str; 3] = ["m", "n", "o"];
/// Number of planning passes within which the plan must become empty if nothing else changes.
const FIXED_POINT_PASSES: usize = 4;

/// A change of the fleet. Numbers of VMs are taken modulo the number of VMs that exist; the other
/// numbers index data centres, domains, rules or models.
#[derive(Clone, Debug)]
enum FleetEvent {
    /// The VM is marked as lost.
    Lose(usize),
    /// The VM is no longer marked as lost.
    Return(usize),
    /// The platform's list marks the VM as leaving.
    Leave(usize),
    /// The platform's list does not contain the VM any more.
    Unlist(usize),
    /// The VM moves to the first domain of its data centre.
    Move(usize),
    /// The VM is removed from the register.
    RemoveVm(usize),
    /// All VMs of the domain are marked as lost.
    LoseDomain(usize),
    /// The data centre is taken out of service, or returned to service.
    ToggleCentre(usize),
    /// Rule, number of replicas.
    SetReplicas(usize, u32),
    /// Model, version, VMs per replica.
    SetModel(usize, u32, u32),
    /// Rule, the only data centre that it then permits. Index 3, which is that of no data centre,
    /// permits all.
    RestrictRule(usize, usize),
    /// The rule is removed.
    RemoveRule(usize),
    /// Time passes, in seconds.
    Wait(u64),
}

fn any_event() -> impl Strategy<Value = FleetEvent> {
    prop_oneof![
        4 => (0..99usize).prop_map(FleetEvent::Lose),
        4 => (0..99usize).prop_map(FleetEvent::Return),
        1 => (0..99usize).prop_map(FleetEvent::Leave),
        1 => (0..99usize).prop_map(FleetEvent::Unlist),
        1 => (0..99usize).prop_map(FleetEvent::Move),
        1 => (0..99usize).prop_map(FleetEvent::RemoveVm),
        1 => (0..9usize).prop_map(FleetEvent::LoseDomain),
        2 => (0..3usize).prop_map(FleetEvent::ToggleCentre),
        2 => (0..3usize, 0..5u32).prop_map(|(rule, count)| FleetEvent::SetReplicas(rule, count)),
        2 => (0..3usize, 1..3u32, 1..5u32)
            .prop_map(|(model, version, size)| FleetEvent::SetModel(model, version, size)),
        1 => (0..3usize, 0..4usize)
            .prop_map(|(rule, centre)| FleetEvent::RestrictRule(rule, centre)),
        1 => (0..3usize).prop_map(FleetEvent::RemoveRule),
        4 => (1..900u64).prop_map(FleetEvent::Wait),
    ]
}

/// Id of the VM with this number, modulo the number of VMs.
fn vm_id(fixture: &PlanFixture, number: usize) -> Option<String> {
    let ids: Vec<&String> = fixture.fleet.vms().map(|vm| &vm.id).collect();
    (!ids.is_empty()).then(|| ids[number % ids.len()].clone())
}

fn apply_event(fixture: &mut PlanFixture, event: &FleetEvent) {
    use FleetEvent as Event;
    let number = match event {
        Event::Lose(number) | Event::Return(number) | Event::Leave(number) => *number,
        Event::Unlist(number) | Event::Move(number) | Event::RemoveVm(number) => *number,
        _ => 0,
    };
    let Some(vm) = vm_id(fixture, number) else { return };
    match *event {
        Event::Lose(_) => fixture.mark_lost(&vm),
        Event::Return(_) => fixture.remove("vm_loss", &vm),
        Event::Leave(_) => {
            fixture.vms.insert(vm.into(), VmState::Leaving);
        }
        Event::Unlist(_) => {
            fixture.vms.remove(vm.as_str());
        }
        Event::Move(_) => fixture.edit_vm(&vm, |vm| {
            vm.fabric_domain = format!("{}0", vm.data_centre);
        }),
        Event::RemoveVm(_) => fixture.remove("vm", &vm),
        Event::LoseDomain(number) => {
            let domain = format!("{}{}", CENTRES[number % 3], number / 3);
            let vms: Vec<String> = (fixture.fleet.vms())
                .filter(|vm| vm.fabric_domain == domain)
                .map(|vm| vm.id.clone())
                .collect();
            vms.iter().for_each(|vm| fixture.mark_lost(vm));
        }
        Event::ToggleCentre(number) => {
            let state = if fixture.fleet.is_centre_out(CENTRES[number]) { "in" } else { "out" };
            fixture.set_centre_state(CENTRES[number], state);
        }
        // Priority 0 for the first two rules, and the lower priority 1 for the third.
        Event::SetReplicas(rule, count) => fixture.set_rule(RULES[rule], count, rule as u32 / 2),
        Event::SetModel(model, version, size) => {
            fixture.set_model(RULES[model], &version.to_string(), size);
        }
        Event::RestrictRule(rule, centre) => {
            let Some(mut rule) = fixture.fleet.serve_rule(RULES[rule]).cloned() else { return };
            rule.data_centres =
                CENTRES.get(centre).map(|id| (*id).to_owned()).into_iter().collect();
            fixture.write(Body::Serve(rule));
        }
        Event::RemoveRule(rule) => fixture.remove("serve", RULES[rule]),
        Event::Wait(seconds) => fixture.advance_clock(seconds),
    }
}

/// Checks the invariants of the groups that the last pass wrote.
fn check_written(before: &PlanFixture, after: &PlanFixture) {
    let members: Vec<&String> = after.fleet.groups().flat_map(|group| &group.members).collect();
    assert_eq!(members.len(), members.iter().collect::<BTreeSet<_>>().len(), "VM in two groups");
    for group in after.fleet.groups() {
        let is_written = before.fleet.group(&group.id) != Some(group);
        if !is_written || group.state != "serving" {
            continue;
        }
        assert_eq!(group.fencing, after.fleet.revision());
        for member in &group.members {
            let vm = after.fleet.vm(member).expect("member in the register");
            assert_eq!(vm.fabric_domain, group.fabric_domain);
            assert_eq!(vm.data_centre, group.data_centre);
            assert!(after.fleet.is_vm_in_service(member), "leaving or out");
            assert!(after.fleet.vm_loss(member).is_none(), "lost");
            assert_ne!(after.vms.get(member.as_str()), Some(&VmState::Leaving));
        }
    }
    let has_problem = check_fleet(&after.fleet)
        .into_iter()
        .any(|problem| problem.message.contains("already belongs"));
    assert!(!has_problem);
}

/// Applies each event and runs planning passes until the plan is empty. `domains` contains the
/// number of workers of each fabric domain.
fn run_events(domains: &[u32], events: &[FleetEvent]) {
    let names: Vec<(&str, String, u32)> = (domains.iter().enumerate())
        .map(|(index, count)| {
            (CENTRES[index % 3], format!("{}{}", CENTRES[index % 3], index / 3), *count)
        })
        .collect();
    let shape: Vec<(&str, &str, u32)> =
        names.iter().map(|(centre, domain, count)| (*centre, domain.as_str(), *count)).collect();
    let mut fixture = PlanFixture::new(&shape);
    for (index, rule) in RULES.iter().enumerate() {
        fixture.set_model(rule, "1", index as u32 + 1);
        // Priority 0 for the first two rules, and the lower priority 1 for the third.
        fixture.set_rule(rule, 2, index as u32 / 2);
    }
    for event in events {
        apply_event(&mut fixture, event);
        for pass in 0.. {
            assert!(pass < FIXED_POINT_PASSES, "no fixed point after {event:?}");
            let before = PlanFixture {
                fleet: fixture.fleet.clone(),
                vms: fixture.vms.clone(),
                now_unix_ms: fixture.now_unix_ms,
            };
            if fixture.step() == 0 {
                break;
            }
            check_written(&before, &fixture);
        }
    }
    // After all delays have passed, the plan must stay empty.
    (0..40).for_each(|_| {
        fixture.advance_clock(700);
        fixture.step();
    });
    assert_eq!(fixture.run(40), 0, "no change when nothing changes");
}

/// Guards against combinations of failures after which a VM is in two groups, a group contains a VM
/// that cannot serve, or the planner repeatedly reverts its own changes.
#[test]
fn groups_keep_their_invariants_under_random_failures() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let input = (vec(0..9u32, 9), vec(any_event(), 1..25));
    let result = runner.run(&input, |(domains, events)| {
        run_events(&domains, &events);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
