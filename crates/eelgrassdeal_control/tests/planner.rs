//! Tests of how the planner responds to failures, maintenance and edits of the configuration.

mod fixture;

use std::rc::Rc;

use eelgrassdeal_control::{FleetConfig, GroupPlanner, change_from_plan};
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{ConfigChange, ConfigEntry, GroupRecord, Model, ServeRule};
use eelgrassdeal_store::{AppendOutcome, ConfigLog, MemoryTable, VmState};
use fixture::PlanFixture;

/// Three data centres with two fabric domains of four workers each, and a model with two VMs per
/// replica.
fn fixture_with_six_domains() -> PlanFixture {
    let mut fixture = PlanFixture::new(&[
        ("a", "a1", 4),
        ("a", "a2", 4),
        ("b", "b1", 4),
        ("b", "b2", 4),
        ("c", "c1", 4),
        ("c", "c2", 4),
    ]);
    fixture.set_model("m", "1", 2);
    fixture
}

/// One fabric domain of seven workers with `replicas` groups of two workers, all past their assumed
/// load time.
fn fixture_with_one_domain(replicas: u32) -> PlanFixture {
    let mut fixture = PlanFixture::new(&[("a", "a1", 7)]);
    fixture.set_model("m", "1", 2);
    fixture.set_rule("m", replicas, 1);
    fixture.run(60);
    fixture
}

/// Guards against placing most groups of a rule in one data centre because the groups planned in
/// the same pass are not counted.
#[test]
fn groups_of_one_pass_spread_over_data_centres() {
    let mut fixture = fixture_with_six_domains();
    fixture.set_rule("m", 6, 1);
    assert_eq!(fixture.step(), 6);
    for centre in ["a", "b", "c"] {
        assert_eq!(fixture.groups().iter().filter(|group| group.data_centre == centre).count(), 2);
    }
}

/// Guards against small groups that are placed in the only domain with enough spares for a large
/// one.
#[test]
fn small_groups_leave_domains_for_large_groups() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 8), ("a", "a2", 3)]);
    fixture.set_model("big", "1", 8);
    fixture.set_model("small", "1", 2);
    fixture.set_rule("small", 1, 1);
    fixture.step();
    fixture.set_rule("big", 1, 1);
    fixture.step();
    assert_eq!((fixture.group_count("small"), fixture.group_count("big")), (1, 1));
}

/// Guards against a rule of high priority without a group while groups of lower priority occupy the
/// VMs that it needs.
#[test]
fn higher_priority_preempts_when_vms_are_short() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 4)]);
    fixture.set_model("low", "1", 2);
    fixture.set_model("high", "1", 2);
    fixture.set_rule("low", 2, 5);
    fixture.run(5);
    fixture.set_rule("high", 1, 0);
    fixture.run(5);
    assert_eq!((fixture.group_count("high"), fixture.group_count("low")), (1, 1));
    assert_eq!(fixture.run(100), 0, "the rules do not alternately take VMs from each other");
}

/// Guards against rebuilding a whole group when one spare is enough to repair it.
#[test]
fn a_lost_member_is_replaced_in_place() {
    let mut fixture = fixture_with_one_domain(3);
    let before = fixture.group("m-1");
    fixture.mark_lost(&before.members[1]);
    assert_eq!(fixture.step(), 1);
    let after = fixture.group("m-1");
    assert_eq!(
        after.members[0], before.members[0],
        "the remaining member keeps its rank and weights"
    );
    assert_eq!(after.members[1], "a1-w7");
    assert_eq!(after.generation, before.generation + 1);
    assert_eq!(after.fencing, fixture.fleet.revision());
}

/// Guards against a leaving member that is replaced only after it is gone, both when the platform's
/// list marks it as leaving and when the register does.
#[test]
fn a_leaving_member_is_replaced_at_once() {
    let mut fixture = fixture_with_one_domain(3);
    let member = fixture.group("m-1").members[0].clone();
    fixture.vms.insert(member.as_str().into(), VmState::Leaving);
    fixture.step();
    assert!(!fixture.group("m-1").members.contains(&member));
    let mut fixture = fixture_with_one_domain(3);
    fixture.edit_vm(&member, |vm| vm.state = "leaving".to_owned());
    fixture.step();
    assert!(!fixture.group("m-1").members.contains(&member));
}

/// Guards against replacing a member that answers because the platform's list of VMs, which lags,
/// does not contain it.
#[test]
fn a_member_absent_from_the_list_stays() {
    let mut fixture = fixture_with_one_domain(3);
    let member = fixture.group("m-1").members[0].clone();
    fixture.vms.remove(member.as_str());
    assert_eq!(fixture.run(60), 0);
}

/// Guards against groups that never get a replacement for a lost member, and against tearing down
/// the group of higher priority to repair the other.
#[test]
fn several_losses_leave_as_many_complete_groups_as_fit() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 6)]);
    fixture.set_model("m", "1", 2);
    fixture.set_model("n", "1", 2);
    fixture.set_rule("m", 2, 5);
    fixture.set_rule("n", 1, 0);
    fixture.run(60);
    for id in ["m-1", "n-1"] {
        let member = fixture.group(id).members[0].clone();
        fixture.mark_lost(&member);
    }
    fixture.run(30);
    assert_eq!(
        (fixture.group_count("m"), fixture.group_count("n")),
        (2, 1),
        "the groups wait for their members to return"
    );
    fixture.run(5);
    assert_eq!((fixture.group_count("m"), fixture.group_count("n")), (1, 1));
    let remaining_group = fixture.group("n-1");
    assert_eq!(remaining_group.state, "serving");
    assert!(remaining_group.members.iter().all(|member| fixture.fleet.vm_loss(member).is_none()));
}

/// Guards against spares that stay idle while a group waits for its members, and against a second
/// interruption when the members return before the waiting group is torn down.
#[test]
fn idle_spares_form_a_replacement_while_a_group_waits() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 2), ("a", "a2", 3)]);
    fixture.set_model("m", "1", 2);
    fixture.set_rule("m", 1, 0);
    fixture.run(60);
    fixture.mark_lost("a1-w1");
    fixture.step();
    assert_eq!(fixture.group("m-2").fabric_domain, "a2");
    let (fleet, vms) = (fixture.fleet.clone(), fixture.vms.clone());
    let mut fixture_after_return = PlanFixture { fleet, vms, now_unix_ms: fixture.now_unix_ms };
    fixture_after_return.run(20);
    fixture_after_return.remove("vm_loss", "a1-w1");
    fixture_after_return.run(31);
    assert_eq!(
        fixture_after_return.group("m-1").state,
        "serving",
        "serves while the new group may be loading"
    );
    fixture_after_return.run(120);
    assert_eq!(fixture_after_return.group_count("m"), 1);
    fixture.run(35);
    assert_eq!(fixture.groups().iter().map(|group| &*group.id).collect::<Vec<_>>(), ["m-2"]);
}

/// Guards against tearing down a group whose member was unreachable only for a short time.
#[test]
fn a_group_serves_again_unchanged_when_its_member_returns_before_teardown() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 2)]);
    fixture.set_model("m", "1", 2);
    fixture.set_rule("m", 1, 0);
    fixture.run(60);
    let before = fixture.group("m-1");
    fixture.mark_lost("a1-w1");
    fixture.run(20);
    assert_eq!(fixture.group("m-1").state, "draining");
    fixture.remove("vm_loss", "a1-w1");
    fixture.run(60);
    let after = fixture.group("m-1");
    assert_eq!((after.generation, after.state), (before.generation, "serving".to_owned()));
}

/// Guards against groups of an unreachable domain that are not formed again in another domain, the
/// highest priority first.
#[test]
fn groups_of_an_unreachable_domain_are_rebuilt_elsewhere_by_priority() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 4), ("a", "a2", 3)]);
    for (id, priority) in [("low", 5), ("high", 0)] {
        fixture.set_model(id, "1", 2);
        fixture.set_rule(id, 1, priority);
    }
    for vm in ["a2-w1", "a2-w2", "a2-w3"] {
        fixture.edit_vm(vm, |vm| vm.state = "leaving".to_owned());
    }
    fixture.run(60);
    for number in 1..=3 {
        fixture.edit_vm(&format!("a2-w{number}"), |vm| vm.state = "in_service".to_owned());
    }
    for number in 1..=4 {
        fixture.mark_lost(&format!("a1-w{number}"));
    }
    fixture.run(40);
    assert_eq!((fixture.group_count("high"), fixture.group_count("low")), (1, 0));
    assert_eq!(fixture.groups()[0].fabric_domain, "a2");
}

/// Number of serving groups outside data centres that are out.
fn reachable_serving_count(fixture: &PlanFixture) -> usize {
    let is_reachable = |group: &GroupRecord| !fixture.fleet.is_centre_out(&group.data_centre);
    fixture.groups().iter().filter(|group| group.state == "serving" && is_reachable(group)).count()
}

/// Guards against spares that stay idle while a data centre is out, and against changes of the
/// groups of a data centre when it returns, which would transfer weights a second time or reduce
/// the number of serving groups.
#[test]
fn short_maintenance_of_a_data_centre_changes_none_of_its_groups() {
    let mut fixture = fixture_with_six_domains();
    fixture.set_rule("m", 6, 1);
    fixture.run(60);
    let in_a = |fixture: &PlanFixture| -> Vec<GroupRecord> {
        fixture.groups().into_iter().filter(|group| group.data_centre == "a").collect()
    };
    let (all, before) = (fixture.groups(), in_a(&fixture));
    fixture.set_centre_state("a", "out");
    assert_eq!(fixture.step(), 2, "idle spares form replacement groups at once");
    assert_eq!(reachable_serving_count(&fixture), 6);
    assert_eq!(fixture.run(598), 0);
    assert_eq!(in_a(&fixture), before);
    fixture.set_centre_state("a", "in");
    for second in 0..100 {
        fixture.run(1);
        assert_eq!(in_a(&fixture), before, "{second} s after the return");
        assert!(reachable_serving_count(&fixture) >= 6);
        assert!(
            second >= 30 || fixture.group_count("m") == 8,
            "the replacement groups stay while the returned groups may be loading"
        );
    }
    assert_eq!(fixture.groups(), all, "the replacement groups have been removed");
    assert_eq!(fixture.run(100), 0);
}

/// Guards against replacement groups that block the rolling update to a new version while a data
/// centre is out.
#[test]
fn a_rolling_update_proceeds_while_replacement_groups_serve() {
    let mut fixture = fixture_with_six_domains();
    fixture.set_rule("m", 6, 1);
    fixture.run(60);
    fixture.set_centre_state("a", "out");
    fixture.run(60);
    fixture.set_model("m", "2", 2);
    fixture.run(2);
    assert_eq!(fixture.groups().iter().filter(|group| group.version == "2").count(), 1);
    assert_eq!(reachable_serving_count(&fixture), 7, "a group of the new version is formed first");
}

/// Guards against taking VMs from groups of lower priority while a data centre is out for less than
/// the rebuild time.
#[test]
fn short_maintenance_takes_no_vms_from_other_groups() {
    let mut fixture = fixture_with_six_domains();
    fixture.set_model("low", "1", 2);
    fixture.set_rule("m", 6, 1);
    fixture.set_rule("low", 6, 5);
    fixture.run(60);
    fixture.set_centre_state("a", "out");
    let reachable_low_count = |fixture: &PlanFixture| {
        let groups = fixture.groups().into_iter();
        groups.filter(|group| group.rule == "low" && group.data_centre != "a").count()
    };
    let before = reachable_low_count(&fixture);
    assert_eq!(fixture.run(599), 0);
    fixture.run(5);
    assert!(reachable_low_count(&fixture) < before, "the rebuild time has passed");
    fixture.set_centre_state("a", "in");
    fixture.run(200);
    assert_eq!((fixture.group_count("m"), fixture.group_count("low")), (6, 6));
    assert_eq!(fixture.run(100), 0);
}

/// Guards against tearing down groups as soon as their data centre returns. Members that were
/// switched off during the maintenance have been lost for longer than the teardown delay by then.
#[test]
fn members_lost_during_maintenance_get_time_to_return() {
    let mut fixture = fixture_with_six_domains();
    fixture.set_rule("m", 12, 1);
    fixture.run(60);
    fixture.set_centre_state("a", "out");
    fixture.run(10);
    for domain in ["a1", "a2"] {
        (1..=4).for_each(|number| fixture.mark_lost(&format!("{domain}-w{number}")));
    }
    let before = fixture.groups();
    fixture.run(300);
    fixture.set_centre_state("a", "in");
    fixture.run(15);
    for domain in ["a1", "a2"] {
        (1..=4).for_each(|number| fixture.remove("vm_loss", &format!("{domain}-w{number}")));
    }
    fixture.run(5);
    let members = |groups: Vec<GroupRecord>| -> Vec<_> {
        groups.into_iter().map(|group| (group.id, group.generation, group.members)).collect()
    };
    assert_eq!(members(fixture.groups()), members(before));
}

/// Guards against maintenance of a data centre for longer than the rebuild time without replacement
/// groups, and against a return that transfers weights again or removes the replacement groups
/// before the returned groups are assumed ready.
#[test]
fn after_long_maintenance_the_return_needs_no_transfer() {
    let mut fixture = fixture_with_six_domains();
    fixture.set_rule("m", 6, 1);
    fixture.run(60);
    let before = fixture.groups();
    fixture.set_centre_state("a", "out");
    fixture.run(605);
    assert_eq!(
        fixture.group_count("m"),
        8,
        "two replacement groups besides the two groups in the data centre"
    );
    fixture.set_centre_state("a", "in");
    fixture.run(20);
    assert!(fixture.groups().iter().all(|group| group.state == "serving"));
    assert_eq!(
        fixture.group_count("m"),
        8,
        "all groups stay while the returned ones may be loading"
    );
    fixture.run(120);
    let after = fixture.groups();
    assert_eq!(after.len(), 6);
    let old = after.iter().filter(|group| before.iter().any(|old| old.members == group.members));
    assert_eq!(old.filter(|group| group.data_centre == "a").count(), 2);
    assert_eq!(fixture.run(100), 0);
}

/// Fixture with six groups whose assumed load time is 130 s: 100 s for the weights and a margin of
/// 30 s. Data centre `a` was out for `out_seconds` and has just returned. The members of one of its
/// groups were restarted in the meantime; they are returned as well.
fn fixture_with_restarted_group(out_seconds: u64) -> (PlanFixture, Vec<String>) {
    let mut fixture = fixture_with_six_domains();
    let model = fixture.fleet.model("m").expect("model").clone();
    fixture.write(Body::Model(Model { weights_bytes: 50_000_000_000, ..model }));
    fixture.set_rule("m", 6, 1);
    fixture.run(200);
    fixture.set_centre_state("a", "out");
    fixture.run(10);
    let restarted = fixture.groups().into_iter().find(|group| group.data_centre == "a");
    let restarted = restarted.expect("a group in the data centre").members;
    restarted.iter().for_each(|member| fixture.mark_lost(member));
    fixture.run(30);
    restarted.iter().for_each(|member| fixture.remove("vm_loss", member));
    fixture.run(out_seconds - 40);
    fixture.set_centre_state("a", "in");
    (fixture, restarted)
}

/// Guards against removing groups while the replacement groups, or the restarted groups of a
/// returned data centre, are still loading. The data centre is out for less than the rebuild time.
#[test]
fn replacements_stay_until_groups_have_loaded_after_short_maintenance() {
    let (mut fixture, _) = fixture_with_restarted_group(60);
    fixture.run(125);
    assert_eq!(fixture.group_count("m"), 8);
    assert!(fixture.groups().iter().all(|group| group.state == "serving"));
    fixture.run(100);
    assert_eq!(fixture.group_count("m"), 6);
    assert_eq!(fixture.run(100), 0);
}

/// Guards against removing a loaded replacement group in favour of a restarted group that is still
/// loading: throughout the return, as many loaded groups serve as the rule requires. The data
/// centre is out for longer than the rebuild time.
#[test]
fn replacements_stay_until_a_restarted_group_has_loaded_after_long_maintenance() {
    let (mut fixture, restarted) = fixture_with_restarted_group(640);
    for second in 0..225 {
        fixture.run(1);
        let is_loaded = |group: &&GroupRecord| {
            group.state == "serving" && (second >= 130 || group.members != restarted)
        };
        let loaded = fixture.groups().iter().filter(is_loaded).count();
        assert!(loaded >= 6, "{loaded} loaded groups after {second} s");
    }
    assert_eq!(fixture.group_count("m"), 6);
    assert_eq!(fixture.run(100), 0);
}

/// Guards against scaling a rule down by removing a healthy group and keeping a degraded one.
#[test]
fn scaling_down_removes_degraded_groups_first() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 6)]);
    fixture.set_model("m", "1", 2);
    fixture.set_rule("m", 3, 1);
    fixture.run(60);
    let lost = fixture.group("m-2").members[0].clone();
    fixture.mark_lost(&lost);
    fixture.run(2);
    fixture.set_rule("m", 2, 1);
    fixture.run(60);
    let left: Vec<String> = fixture.groups().into_iter().map(|group| group.id).collect();
    assert_eq!(left, ["m-1", "m-3"]);
}

/// Guards against aborting requests by removing a surplus group without draining it.
#[test]
fn a_surplus_group_drains_before_it_is_removed() {
    let mut fixture = fixture_with_one_domain(3);
    fixture.set_rule("m", 2, 1);
    fixture.run(29);
    assert_eq!(fixture.groups().iter().filter(|group| group.state == "draining").count(), 1);
    fixture.run(5);
    assert_eq!(fixture.group_count("m"), 2);
}

/// Guards against a rolling update that takes several groups out of service at the same time.
#[test]
fn a_rolling_update_changes_one_group_at_a_time() {
    // Three groups of two leave one spare among the seven workers, too few for a further group.
    let mut fixture = fixture_with_one_domain(3);
    fixture.set_model("m", "2", 2);
    let mut reloads = Vec::new();
    for second in 0..400 {
        let before = fixture.groups();
        fixture.run(1);
        let after = fixture.groups();
        let changed = after.iter().zip(&before).filter(|(new, old)| new.version != old.version);
        reloads.extend(changed.map(|_| second));
        assert!(after.iter().filter(|group| group.state == "draining").count() <= 1);
    }
    // Each group counts as ready 32 s after its change, and then the next one drains for 30 s.
    let gaps: Vec<i32> = reloads.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.iter().all(|gap| *gap >= 62), "{gaps:?}");
    assert_eq!(reloads.len(), 3);
    assert!(fixture.groups().iter().all(|group| group.version == "2" && group.members.len() == 2));
    assert_eq!(fixture.run(100), 0);
}

/// Guards against an interruption of a model with one replica when there are spares for a new
/// group, and against a rolling update that continues although the first group of the new version
/// does not become ready.
#[test]
fn a_rolling_update_starts_on_spares_and_waits_for_readiness() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 4)]);
    fixture.set_model("m", "1", 2);
    fixture.set_rule("m", 1, 1);
    fixture.run(60);
    fixture.set_model("m", "2", 2);
    fixture.run(2);
    assert_eq!(fixture.group("m-1").state, "serving");
    assert_eq!(fixture.group("m-2").version, "2");
    fixture.advance_clock(3_600);
    let blocked = GroupPlanner::new(&fixture.fleet, &fixture.vms, fixture.now_unix_ms)
        .with_unready(["m-2".into()])
        .plan();
    assert!(blocked.is_empty());
    fixture.run(60);
    assert_eq!(fixture.groups().iter().map(|group| &*group.version).collect::<Vec<_>>(), ["2"]);
}

/// Guards against a rolling update that waits for the assumed load time although the groups report
/// that they are ready, and against one that continues because a group was ready under its previous
/// generation.
#[test]
fn a_rolling_update_continues_when_groups_are_known_to_be_ready() {
    let mut fixture = fixture_with_one_domain(2);
    fixture.set_model("m", "2", 2);
    fixture.run(2);
    let new = fixture.group("m-3");
    let old = fixture.groups().into_iter().filter(|group| group.id != new.id);
    let mut ready: Vec<_> = old.map(|group| (group.id.into(), group.generation)).collect();
    let plan = |ready: &[_]| {
        GroupPlanner::new(&fixture.fleet, &fixture.vms, fixture.now_unix_ms)
            .with_ready(ready.iter().cloned())
            .plan()
    };
    ready.push((new.id.as_str().into(), new.generation - 1));
    assert!(plan(&ready).is_empty());
    ready.push((new.id.as_str().into(), new.generation));
    assert_eq!(plan(&ready).upsert.len(), 1, "an old group drains");
}

/// Guards against groups that keep a VM after it was removed from the register or moved to another
/// domain.
#[test]
fn an_edit_of_the_register_removes_the_vm_from_its_group() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 7), ("a", "a2", 1)]);
    fixture.set_model("m", "1", 2);
    fixture.set_rule("m", 3, 1);
    let outdated_plan = fixture.plan();
    let member = "a1-w1";
    fixture.edit_vm(member, |vm| vm.fabric_domain = "a2".to_owned());
    let problems = change_from_plan(&fixture.fleet, &outdated_plan, "planner", fixture.now_unix_ms);
    assert!(problems.is_err(), "a plan made before the edit violates an invariant");
    fixture.edit_vm(member, |vm| vm.fabric_domain = "a1".to_owned());
    fixture.run(60);
    let holder =
        fixture.groups().into_iter().find(|group| group.members.contains(&member.to_owned()));
    let holder = holder.expect("a group with the member").id;
    fixture.edit_vm(member, |vm| vm.fabric_domain = "a2".to_owned());
    fixture.step();
    assert!(!fixture.group(&holder).members.contains(&member.to_owned()));
    let removed = fixture.group(&holder).members[1].clone();
    fixture.remove("vm", &removed);
    fixture.run(40);
    let mut domains: Vec<String> =
        fixture.groups().into_iter().map(|group| group.fabric_domain).collect();
    domains.sort();
    assert_eq!(domains, ["a1", "a1", "a2"], "the moved VM serves in its new domain");
}

/// Guards against a new group whose generation is not above that of an earlier group with the same
/// id, so that the report of an engine could be attributed to the wrong group.
#[test]
fn a_new_group_starts_above_every_older_generation() {
    let mut fixture = fixture_with_one_domain(3);
    let old = fixture.group("m-1");
    fixture.set_rule("m", 0, 1);
    fixture.run(60);
    fixture.set_rule("m", 3, 1);
    fixture.run(5);
    let new = fixture.group("m-1");
    assert!(new.generation > old.generation && new.fencing > old.fencing);
}

/// Guards against VMs in two groups when two planners plan from the same revision: the
/// configuration log accepts only one of the two changes.
#[compio::test]
async fn only_one_of_two_concurrent_plans_is_accepted() {
    let log = ConfigLog::new(Rc::new(MemoryTable::new()));
    let mut fixture = PlanFixture::new(&[("a", "a1", 4)]);
    fixture.set_model("m", "1", 2);
    fixture.set_rule("m", 2, 1);
    let mut shared = FleetConfig::new();
    let upsert = fixture.fleet.entries().cloned().collect();
    let first = ConfigChange {
        revision: 1,
        writer_mark: "operator".to_owned(),
        upsert,
        ..Default::default()
    };
    assert_eq!(log.append(&first).await, AppendOutcome::Accepted);
    assert!(shared.apply(&first));
    fixture.fleet = shared;
    let changes: Vec<_> = (0..2)
        .map(|_| change_from_plan(&fixture.fleet, &fixture.plan(), "planner", fixture.now_unix_ms))
        .map(|change| change.expect("a valid plan"))
        .collect();
    assert_eq!(log.append(&changes[0]).await, AppendOutcome::Accepted);
    let AppendOutcome::Conflict(winner) = log.append(&changes[1]).await else {
        panic!("the second append must fail its condition");
    };
    assert!(fixture.fleet.apply(&winner));
    assert!(fixture.plan().is_empty(), "nothing remains to be planned after the accepted change");
    let is_fenced = |entry: &ConfigEntry| matches!(&entry.body, Some(Body::Group(group)) if group.fencing == winner.revision);
    assert!(winner.upsert.iter().all(is_fenced));
}

/// Guards against groups that keep a data centre or size that is no longer permitted after an edit,
/// and against an edit that takes all groups of a rule out of service at once.
#[test]
fn edited_rules_and_sizes_move_groups_one_at_a_time() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 6), ("b", "b1", 6)]);
    fixture.set_model("m", "1", 2);
    fixture.set_rule("m", 3, 1);
    fixture.run(60);
    let rule = fixture.fleet.serve_rule("m").expect("rule").clone();
    fixture.write(Body::Serve(ServeRule { data_centres: vec!["b".to_owned()], ..rule }));
    let mut min_serving = 3;
    let mut run_and_count = |fixture: &mut PlanFixture| {
        for _ in 0..600 {
            fixture.run(1);
            let serving = fixture.groups().iter().filter(|group| group.state == "serving").count();
            min_serving = min_serving.min(serving);
        }
        min_serving
    };
    assert_eq!(run_and_count(&mut fixture), 3, "groups on the spares in b are formed first");
    assert!(fixture.groups().iter().all(|group| group.data_centre == "b"));
    fixture.set_model("m", "1", 3);
    fixture.set_rule("m", 2, 1);
    let rule = fixture.fleet.serve_rule("m").expect("rule").clone();
    fixture.write(Body::Serve(ServeRule { data_centres: vec!["b".to_owned()], ..rule }));
    assert_eq!(run_and_count(&mut fixture), 1);
    assert_eq!(
        fixture.groups().iter().map(|group| group.members.len()).collect::<Vec<_>>(),
        [3, 3]
    );
}

/// Guards against groups that remain after their rule was removed.
#[test]
fn groups_without_a_rule_drain_and_are_removed() {
    let mut fixture = fixture_with_one_domain(3);
    fixture.remove("serve", "m");
    fixture.step();
    assert!(fixture.groups().iter().all(|group| group.state == "draining"));
    fixture.run(35);
    assert!(fixture.groups().is_empty());
}
