//! Failures, maintenance and edits that the planner answers.

mod fixture;

use std::rc::Rc;

use eelgrassdeal_control::{FleetConfig, GroupPlanner, plan_change};
use eelgrassdeal_schema::config::config_entry::Body;
use eelgrassdeal_schema::config::{ConfigChange, ConfigEntry, GroupRecord, Model, ServeRule};
use eelgrassdeal_store::{AppendOutcome, ConfigLog, MemoryTable, VmState};
use fixture::PlanFixture;

/// Three data centres with two domains of four workers each.
fn six_domains() -> PlanFixture {
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

/// Three groups of two in one domain of seven workers, settled.
fn one_domain(replicas: u32) -> PlanFixture {
    let mut fixture = PlanFixture::new(&[("a", "a1", 7)]);
    fixture.set_model("m", "1", 2);
    fixture.set_rule("m", replicas, 1);
    fixture.run(60);
    fixture
}

/// Guards against a data centre that holds most groups of a rule because groups planned in the
/// same pass were not counted.
#[test]
fn groups_of_one_pass_spread_over_data_centres() {
    let mut fixture = six_domains();
    fixture.set_rule("m", 6, 1);
    assert_eq!(fixture.step(), 6);
    for centre in ["a", "b", "c"] {
        assert_eq!(fixture.groups().iter().filter(|group| group.data_centre == centre).count(), 2);
    }
}

/// Guards against small groups that break up the only domain with room for a large one.
#[test]
fn small_groups_leave_large_gaps_usable() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 8), ("a", "a2", 3)]);
    fixture.set_model("big", "1", 8);
    fixture.set_model("small", "1", 2);
    fixture.set_rule("small", 1, 1);
    fixture.step();
    fixture.set_rule("big", 1, 1);
    fixture.step();
    assert_eq!((fixture.count("small"), fixture.count("big")), (1, 1));
}

/// Guards against a rule of high priority that waits while rules of lower priority hold the VMs.
#[test]
fn higher_priority_takes_vms_when_they_are_short() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 4)]);
    fixture.set_model("low", "1", 2);
    fixture.set_model("high", "1", 2);
    fixture.set_rule("low", 2, 5);
    fixture.run(5);
    fixture.set_rule("high", 1, 0);
    fixture.run(5);
    assert_eq!((fixture.count("high"), fixture.count("low")), (1, 1));
    assert_eq!(fixture.run(100), 0, "the rules do not take VMs from each other in turns");
}

/// Guards against a full rebuild where one spare is enough.
#[test]
fn a_lost_member_is_replaced_in_place() {
    let mut fixture = one_domain(3);
    let before = fixture.group("m-1");
    fixture.lose(&before.members[1]);
    assert_eq!(fixture.step(), 1);
    let after = fixture.group("m-1");
    assert_eq!(after.members[0], before.members[0], "the survivor keeps its rank and weights");
    assert_eq!(after.members[1], "a1-w7");
    assert_eq!(after.generation, before.generation + 1);
    assert_eq!(after.fencing, fixture.fleet.revision());
}

/// Guards against a leaving member that is only replaced once it is gone, whichever side names it.
#[test]
fn a_leaving_member_is_replaced_at_once() {
    let mut fixture = one_domain(3);
    let member = fixture.group("m-1").members[0].clone();
    fixture.vms.insert(member.as_str().into(), VmState::Leaving);
    fixture.step();
    assert!(!fixture.group("m-1").members.contains(&member));
    let mut fixture = one_domain(3);
    fixture.edit_vm(&member, |vm| vm.state = "leaving".to_owned());
    fixture.step();
    assert!(!fixture.group("m-1").members.contains(&member));
}

/// Guards against a lagging list of VMs that takes down groups whose members answer.
#[test]
fn a_member_absent_from_the_list_stays() {
    let mut fixture = one_domain(3);
    let member = fixture.group("m-1").members[0].clone();
    fixture.vms.remove(member.as_str());
    assert_eq!(fixture.run(60), 0);
}

/// Guards against groups that stay half-lost for ever, and against a dissolution that frees the
/// VMs of the wrong group.
#[test]
fn several_losses_end_in_as_many_whole_groups_as_fit() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 6)]);
    fixture.set_model("m", "1", 2);
    fixture.set_model("n", "1", 2);
    fixture.set_rule("m", 2, 5);
    fixture.set_rule("n", 1, 0);
    fixture.run(60);
    for id in ["m-1", "n-1"] {
        let member = fixture.group(id).members[0].clone();
        fixture.lose(&member);
    }
    fixture.run(30);
    assert_eq!((fixture.count("m"), fixture.count("n")), (2, 1), "waits for the members to return");
    fixture.run(5);
    assert_eq!((fixture.count("m"), fixture.count("n")), (1, 1));
    let survivor = fixture.group("n-1");
    assert_eq!(survivor.state, "serving");
    assert!(survivor.members.iter().all(|member| fixture.fleet.vm_loss(member).is_none()));
}

/// Guards against idle spares while a group waits for its members, and against a second
/// interruption when the members return before the wait is over.
#[test]
fn idle_spares_take_over_while_a_group_waits() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 2), ("a", "a2", 3)]);
    fixture.set_model("m", "1", 2);
    fixture.set_rule("m", 1, 0);
    fixture.run(60);
    fixture.lose("a1-w1");
    fixture.step();
    assert_eq!(fixture.group("m-2").fabric_domain, "a2");
    let (fleet, vms) = (fixture.fleet.clone(), fixture.vms.clone());
    let mut returned = PlanFixture { fleet, vms, now_unix_ms: fixture.now_unix_ms };
    returned.run(20);
    returned.remove("vm_loss", "a1-w1");
    returned.run(31);
    assert_eq!(returned.group("m-1").state, "serving", "serves while the new group may load");
    returned.run(120);
    assert_eq!(returned.count("m"), 1);
    fixture.run(35);
    assert_eq!(fixture.groups().iter().map(|group| &*group.id).collect::<Vec<_>>(), ["m-2"]);
}

/// Guards against a group that was only cut off for a moment and is dissolved all the same.
#[test]
fn a_member_that_returns_within_the_wait_changes_nothing() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 2)]);
    fixture.set_model("m", "1", 2);
    fixture.set_rule("m", 1, 0);
    fixture.run(60);
    let before = fixture.group("m-1");
    fixture.lose("a1-w1");
    fixture.run(20);
    assert_eq!(fixture.group("m-1").state, "draining");
    fixture.remove("vm_loss", "a1-w1");
    fixture.run(60);
    let after = fixture.group("m-1");
    assert_eq!((after.generation, after.state), (before.generation, "serving".to_owned()));
}

/// Guards against a dark domain whose groups nobody forms elsewhere.
#[test]
fn a_dark_domain_is_rebuilt_elsewhere_by_priority() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 4), ("a", "a2", 3)]);
    for (id, priority) in [("low", 5), ("high", 0)] {
        fixture.set_model(id, "1", 2);
        fixture.set_rule(id, 1, priority);
    }
    for domain in ["a2-w1", "a2-w2", "a2-w3"] {
        fixture.edit_vm(domain, |vm| vm.state = "leaving".to_owned());
    }
    fixture.run(60);
    for number in 1..=3 {
        fixture.edit_vm(&format!("a2-w{number}"), |vm| vm.state = "in_service".to_owned());
    }
    for number in 1..=4 {
        fixture.lose(&format!("a1-w{number}"));
    }
    fixture.run(40);
    assert_eq!((fixture.count("high"), fixture.count("low")), (1, 0));
    assert_eq!(fixture.groups()[0].fabric_domain, "a2");
}

fn serving_in_reach(fixture: &PlanFixture) -> usize {
    let is_in = |group: &GroupRecord| !fixture.fleet.is_centre_out(&group.data_centre);
    fixture.groups().iter().filter(|group| group.state == "serving" && is_in(group)).count()
}

/// Guards against idle spares while a data centre is out, and against a return that changes its
/// groups (a second wave of transfers) or has fewer serving groups than before.
#[test]
fn a_short_absence_of_a_data_centre_changes_none_of_its_groups() {
    let mut fixture = six_domains();
    fixture.set_rule("m", 6, 1);
    fixture.run(60);
    let in_a = |fixture: &PlanFixture| -> Vec<GroupRecord> {
        fixture.groups().into_iter().filter(|group| group.data_centre == "a").collect()
    };
    let (all, before) = (fixture.groups(), in_a(&fixture));
    fixture.set_centre("a", "out");
    assert_eq!(fixture.step(), 2, "idle spares take over at once");
    assert_eq!(serving_in_reach(&fixture), 6);
    assert_eq!(fixture.run(598), 0);
    assert_eq!(in_a(&fixture), before);
    fixture.set_centre("a", "in");
    for second in 0..100 {
        fixture.run(1);
        assert_eq!(in_a(&fixture), before, "{second} s after the return");
        assert!(serving_in_reach(&fixture) >= 6);
        assert!(second >= 30 || fixture.count("m") == 8, "the returned groups may have to load");
    }
    assert_eq!(fixture.groups(), all, "the stand-in groups are gone");
    assert_eq!(fixture.run(100), 0);
}

/// Guards against stand-in groups that hold back a new version while a data centre is out.
#[test]
fn a_version_is_rolled_while_stand_in_groups_serve() {
    let mut fixture = six_domains();
    fixture.set_rule("m", 6, 1);
    fixture.run(60);
    fixture.set_centre("a", "out");
    fixture.run(60);
    fixture.set_model("m", "2", 2);
    fixture.run(2);
    assert_eq!(fixture.groups().iter().filter(|group| group.version == "2").count(), 1);
    assert_eq!(serving_in_reach(&fixture), 7, "a new group takes over first");
}

/// Guards against groups of lower priority that lose their VMs to a short absence.
#[test]
fn a_short_absence_takes_no_vms_from_other_groups() {
    let mut fixture = six_domains();
    fixture.set_model("low", "1", 2);
    fixture.set_rule("m", 6, 1);
    fixture.set_rule("low", 6, 5);
    fixture.run(60);
    fixture.set_centre("a", "out");
    let low_in_reach = |fixture: &PlanFixture| {
        let groups = fixture.groups().into_iter();
        groups.filter(|group| group.rule == "low" && group.data_centre != "a").count()
    };
    let before = low_in_reach(&fixture);
    assert_eq!(fixture.run(599), 0);
    fixture.run(5);
    assert!(low_in_reach(&fixture) < before, "the rebuild time is over");
    fixture.set_centre("a", "in");
    fixture.run(200);
    assert_eq!((fixture.count("m"), fixture.count("low")), (6, 6));
    assert_eq!(fixture.run(100), 0);
}

/// Guards against groups that are dissolved on return because members were switched off during the
/// maintenance and their losses are old by then.
#[test]
fn members_lost_during_maintenance_get_time_to_return() {
    let mut fixture = six_domains();
    fixture.set_rule("m", 12, 1);
    fixture.run(60);
    fixture.set_centre("a", "out");
    fixture.run(10);
    for domain in ["a1", "a2"] {
        (1..=4).for_each(|number| fixture.lose(&format!("{domain}-w{number}")));
    }
    let before = fixture.groups();
    fixture.run(300);
    fixture.set_centre("a", "in");
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

/// Guards against a long absence that is never made up for, and against a return that transfers
/// weights again or gives up the replacements before the returned groups are settled.
#[test]
fn after_a_long_absence_the_return_needs_no_transfer() {
    let mut fixture = six_domains();
    fixture.set_rule("m", 6, 1);
    fixture.run(60);
    let before = fixture.groups();
    fixture.set_centre("a", "out");
    fixture.run(605);
    assert_eq!(fixture.count("m"), 8, "two replacements beside the two kept groups");
    fixture.set_centre("a", "in");
    fixture.run(20);
    assert!(fixture.groups().iter().all(|group| group.state == "serving"));
    assert_eq!(fixture.count("m"), 8, "the returned groups may have to load");
    fixture.run(120);
    let after = fixture.groups();
    assert_eq!(after.len(), 6);
    let old = after.iter().filter(|group| before.iter().any(|old| old.members == group.members));
    assert_eq!(old.filter(|group| group.data_centre == "a").count(), 2);
    assert_eq!(fixture.run(100), 0);
}

/// Six groups with a load time of 100 s. Data centre `a` is out for `seconds`, and one of its
/// groups was restarted meanwhile; its members are returned.
fn return_with_restarted_group(seconds: u64) -> (PlanFixture, Vec<String>) {
    let mut fixture = six_domains();
    let model = fixture.fleet.model("m").expect("model").clone();
    fixture.write(Body::Model(Model { weights_bytes: 50_000_000_000, ..model }));
    fixture.set_rule("m", 6, 1);
    fixture.run(200);
    fixture.set_centre("a", "out");
    fixture.run(10);
    let restarted = fixture.groups().into_iter().find(|group| group.data_centre == "a");
    let restarted = restarted.expect("a group in the data centre").members;
    restarted.iter().for_each(|member| fixture.lose(member));
    fixture.run(30);
    restarted.iter().for_each(|member| fixture.remove("vm_loss", member));
    fixture.run(seconds - 40);
    fixture.set_centre("a", "in");
    (fixture, restarted)
}

/// Guards against giving up replacements while they or the groups of a returned data centre, whose
/// engines were restarted, still load.
#[test]
fn replacements_stay_until_restarted_groups_have_loaded() {
    let (mut fixture, _) = return_with_restarted_group(60);
    fixture.run(125);
    assert_eq!(fixture.count("m"), 8);
    assert!(fixture.groups().iter().all(|group| group.state == "serving"));
    fixture.run(100);
    assert_eq!(fixture.count("m"), 6);
    assert_eq!(fixture.run(100), 0);
}

/// Guards against a restarted group that replaces a loaded replacement before it has loaded: of
/// the groups that need no load, as many as the rule wants serve throughout the return.
#[test]
fn loaded_replacements_outlast_a_restarted_group() {
    let (mut fixture, restarted) = return_with_restarted_group(640);
    for second in 0..225 {
        fixture.run(1);
        let is_loaded = |group: &&GroupRecord| {
            group.state == "serving" && (second >= 130 || group.members != restarted)
        };
        let loaded = fixture.groups().iter().filter(is_loaded).count();
        assert!(loaded >= 6, "{loaded} loaded groups after {second} s");
    }
    assert_eq!(fixture.count("m"), 6);
    assert_eq!(fixture.run(100), 0);
}

/// Guards against scaling down by groups that serve while a degraded one is kept.
#[test]
fn scaling_down_removes_degraded_groups_first() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 6)]);
    fixture.set_model("m", "1", 2);
    fixture.set_rule("m", 3, 1);
    fixture.run(60);
    let lost = fixture.group("m-2").members[0].clone();
    fixture.lose(&lost);
    fixture.run(2);
    fixture.set_rule("m", 2, 1);
    fixture.run(60);
    let left: Vec<String> = fixture.groups().into_iter().map(|group| group.id).collect();
    assert_eq!(left, ["m-1", "m-3"]);
}

/// Guards against requests that are cut off because a group they run on is removed at once.
#[test]
fn a_surplus_group_drains_before_it_is_removed() {
    let mut fixture = one_domain(3);
    fixture.set_rule("m", 2, 1);
    fixture.run(29);
    assert_eq!(fixture.groups().iter().filter(|group| group.state == "draining").count(), 1);
    fixture.run(5);
    assert_eq!(fixture.count("m"), 2);
}

/// Guards against a new version that takes several groups down together.
#[test]
fn a_version_is_rolled_one_group_at_a_time() {
    // Six workers leave no room for a group beside the three; seven neither.
    let mut fixture = one_domain(3);
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
    // Each group settles for 32 s after its change, and the next one drains for 30 s.
    let gaps: Vec<i32> = reloads.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.iter().all(|gap| *gap >= 62), "{gaps:?}");
    assert_eq!(reloads.len(), 3);
    assert!(fixture.groups().iter().all(|group| group.version == "2" && group.members.len() == 2));
    assert_eq!(fixture.run(100), 0);
}

/// Guards against downtime of a model with one replica where spares could take over first, and
/// against a bad version that goes on to the next group although the first never became ready.
#[test]
fn a_version_starts_on_spares_and_waits_for_readiness() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 4)]);
    fixture.set_model("m", "1", 2);
    fixture.set_rule("m", 1, 1);
    fixture.run(60);
    fixture.set_model("m", "2", 2);
    fixture.run(2);
    assert_eq!(fixture.group("m-1").state, "serving");
    assert_eq!(fixture.group("m-2").version, "2");
    fixture.pass_time(3_600);
    let blocked = GroupPlanner::new(&fixture.fleet, &fixture.vms, fixture.now_unix_ms)
        .with_unready(["m-2".into()])
        .plan();
    assert!(blocked.is_empty());
    fixture.run(60);
    assert_eq!(fixture.groups().iter().map(|group| &*group.version).collect::<Vec<_>>(), ["2"]);
}

/// Guards against a roll that waits for a guessed load time although the groups are known to serve,
/// and against one that goes on because a group was ready under the generation before.
#[test]
fn a_roll_goes_on_when_groups_are_known_to_be_ready() {
    let mut fixture = one_domain(2);
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

/// Guards against groups that keep a VM which the register no longer has or has elsewhere.
#[test]
fn an_edit_of_the_register_frees_the_group_of_the_vm() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 7), ("a", "a2", 1)]);
    fixture.set_model("m", "1", 2);
    fixture.set_rule("m", 3, 1);
    let late_plan = fixture.plan();
    let member = "a1-w1";
    fixture.edit_vm(member, |vm| vm.fabric_domain = "a2".to_owned());
    let problems = plan_change(&fixture.fleet, &late_plan, "planner", fixture.now_unix_ms);
    assert!(problems.is_err(), "a plan from before the edit breaks an invariant");
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

/// Guards against an engine that reports an older group of the same id and generation.
#[test]
fn a_new_group_starts_above_every_older_generation() {
    let mut fixture = one_domain(3);
    let old = fixture.group("m-1");
    fixture.set_rule("m", 0, 1);
    fixture.run(60);
    fixture.set_rule("m", 3, 1);
    fixture.run(5);
    let new = fixture.group("m-1");
    assert!(new.generation > old.generation && new.fencing > old.fencing);
}

/// Guards against VMs in two groups when two planners work from the same head.
#[compio::test]
async fn of_two_planners_from_one_head_one_is_accepted() {
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
        .map(|_| plan_change(&fixture.fleet, &fixture.plan(), "planner", fixture.now_unix_ms))
        .map(|change| change.expect("a valid plan"))
        .collect();
    assert_eq!(log.append(&changes[0]).await, AppendOutcome::Accepted);
    let AppendOutcome::Conflict(winner) = log.append(&changes[1]).await else {
        panic!("the second append must lose the condition");
    };
    assert!(fixture.fleet.apply(&winner));
    assert!(fixture.plan().is_empty(), "nothing is left for the loser");
    let is_fenced = |entry: &ConfigEntry| matches!(&entry.body, Some(Body::Group(group)) if group.fencing == winner.revision);
    assert!(winner.upsert.iter().all(is_fenced));
}

/// Guards against groups that stay where their rule no longer allows them or with a size that
/// their model no longer has, and against a rule that loses all its groups at once by such an edit.
#[test]
fn edited_rules_and_sizes_move_groups_one_at_a_time() {
    let mut fixture = PlanFixture::new(&[("a", "a1", 6), ("b", "b1", 6)]);
    fixture.set_model("m", "1", 2);
    fixture.set_rule("m", 3, 1);
    fixture.run(60);
    let rule = fixture.fleet.serve_rule("m").expect("rule").clone();
    fixture.write(Body::Serve(ServeRule { data_centres: vec!["b".to_owned()], ..rule }));
    let mut fewest = 3;
    let mut run_and_count = |fixture: &mut PlanFixture| {
        for _ in 0..600 {
            fixture.run(1);
            let serving = fixture.groups().iter().filter(|group| group.state == "serving").count();
            fewest = fewest.min(serving);
        }
        fewest
    };
    assert_eq!(run_and_count(&mut fixture), 3, "spares in b take over first");
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

/// Guards against groups that outlive their rule.
#[test]
fn groups_without_a_rule_drain_and_go() {
    let mut fixture = one_domain(3);
    fixture.remove("serve", "m");
    fixture.step();
    assert!(fixture.groups().iter().all(|group| group.state == "draining"));
    fixture.run(35);
    assert!(fixture.groups().is_empty());
}
