//! Groups are formed whole, repaired from what nodes see, and never share a member.

mod common;

use std::collections::HashSet;
use std::time::Duration;

use common::{BIG, PlayedFleet, SMALL};
use eelgrassdeal_dispatch::{OrderKind, UpstreamState};

/// Enough for a group to be taken apart and formed anew.
const REPAIR_TIME: Duration = Duration::from_secs(2);

fn formed(domains: usize, size: usize) -> PlayedFleet {
    let mut fleet = PlayedFleet::new(domains, size);
    fleet.run(Duration::from_secs(5));
    fleet.has_traffic = true;
    fleet
}

#[test]
fn every_domain_keeps_to_one_model() {
    let fleet = formed(6, 9);
    for domain in 0..6 {
        let models: HashSet<_> = fleet
            .view
            .upstreams
            .values()
            .filter(|record| record.upstream.starts_with(&format!("d{domain}-")))
            .filter_map(|record| record.loaded.clone().or(record.staged.first().cloned()))
            .collect();
        assert_eq!(models.len(), 1, "domain {domain}");
    }
    assert!(fleet.serving(BIG) >= 4 && fleet.serving(SMALL) >= 4);
}

#[test]
fn a_head_opens_only_when_every_member_is_ready() {
    let mut fleet = PlayedFleet::new(1, 4);
    // The last member is reached by no order.
    fleet.cut.push("d0-3".into());
    fleet.run(Duration::from_secs(3));
    let is_open = |kind: &OrderKind| *kind == OrderKind::Open;
    let opened = fleet.orders.iter().filter(|order| is_open(&order.kind));
    for order in opened {
        let group = &fleet.view.groups[&order.group.as_ref().expect("open names a group").0];
        assert!(group.members.iter().all(|(member, _)| fleet.real.contains_key(member)));
    }
    assert_eq!(fleet.serving(BIG), 0);
}

#[test]
fn a_silent_head_with_a_lost_member_is_repaired_before_the_record_lapses() {
    let mut fleet = formed(2, 9);
    let before = fleet.serving(BIG);
    let head = fleet.head_of(BIG);
    let lost = fleet.member_of(&head);
    fleet.kill(&lost);
    fleet.silent = vec![head];
    fleet.run(Duration::from_millis(100));
    fleet.silent.clear();
    fleet.run(REPAIR_TIME);
    assert_eq!(fleet.serving(BIG), before, "a spare takes the place");
    assert_eq!(fleet.violations, Vec::<String>::new());
}

#[test]
fn a_silent_head_whose_members_answer_keeps_its_group() {
    let mut fleet = formed(2, 9);
    let groups: Vec<_> = fleet.view.groups.keys().cloned().collect();
    fleet.silent = vec![fleet.head_of(BIG)];
    fleet.run(REPAIR_TIME);
    assert_eq!(fleet.view.groups.keys().cloned().collect::<Vec<_>>(), groups);
}

#[test]
fn survivors_of_a_head_that_may_still_serve_join_no_other_group() {
    let mut fleet = formed(2, 9);
    let head = fleet.head_of(BIG);
    // Cut from the planner; its record is there, so it runs.
    fleet.cut.push(head.clone());
    fleet.silent = vec![head.clone()];
    fleet.run(Duration::from_secs(8));
    assert_eq!(fleet.violations, Vec::<String>::new());
    // Its record lapses, and no node reaches it.
    fleet.real.remove(&head);
    fleet.lapse(&head);
    fleet.silent.clear();
    fleet.run(REPAIR_TIME);
    assert!(!fleet.view.groups.values().any(|group| group.members[0].0 == head));
}

#[test]
fn a_head_that_refuses_to_leave_has_not_left() {
    let mut fleet = formed(2, 9);
    let head = fleet.head_of(BIG);
    // Its record lapsed, it serves on, and the order to close is lost.
    fleet.lapse(&head);
    fleet.loses_close = true;
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.violations, Vec::<String>::new());
    assert!(fleet.view.groups.values().any(|group| group.members[0].0 == head));
    fleet.loses_close = false;
    fleet.run(REPAIR_TIME);
    assert!(!fleet.view.groups.values().any(|group| group.members[0].0 == head));
    assert_eq!(fleet.violations, Vec::<String>::new());
}

#[test]
fn a_head_behind_a_cut_with_other_nodes_keeps_its_members() {
    let mut fleet = formed(2, 9);
    let head = fleet.head_of(BIG);
    // Its data centre is cut off: the record lapses, and the nodes there do not answer.
    fleet.cut.push(head.clone());
    fleet.has_silent_nodes = true;
    fleet.lapse(&head);
    fleet.run(Duration::from_secs(6));
    assert_eq!(fleet.violations, Vec::<String>::new());
    // The cut heals; the head is closed and its members serve in another group.
    fleet.cut.clear();
    fleet.has_silent_nodes = false;
    fleet.run(REPAIR_TIME);
    assert_eq!(fleet.violations, Vec::<String>::new());
    assert!(!fleet.view.groups.values().any(|group| group.members[0].0 == head));
}

#[test]
fn a_head_whose_record_is_gone_is_given_the_stall_time() {
    let mut fleet = formed(2, 9);
    let head = fleet.head_of(BIG);
    // The record lapsed in an outage of the store and did not come back; no node reaches the head,
    // which may stand still behind a cut.
    fleet.cut.push(head.clone());
    fleet.lapse(&head);
    fleet.run(Duration::from_millis(3_900));
    assert_eq!(fleet.violations, Vec::<String>::new());
    fleet.real.remove(&head);
    fleet.run(REPAIR_TIME);
    assert!(!fleet.view.groups.values().any(|group| group.members[0].0 == head));
}

#[test]
fn a_draining_member_gives_its_place_to_a_spare() {
    let mut fleet = formed(2, 9);
    let before = fleet.serving(BIG);
    let leaving = fleet.member_of(&fleet.head_of(BIG));
    let record = fleet.view.upstreams.get_mut(&leaving).expect("the member is there");
    std::sync::Arc::make_mut(record).state = UpstreamState::Draining;
    fleet.run(REPAIR_TIME);
    assert_eq!(fleet.serving(BIG), before);
    assert_eq!(fleet.violations, Vec::<String>::new());
    let is_cut = |kind: &OrderKind| *kind == OrderKind::Close { is_cut: true };
    assert!(!fleet.orders.iter().any(|order| is_cut(&order.kind)), "its work is finished");
}

#[test]
fn a_planner_that_regains_its_lease_takes_new_generations() {
    let mut fleet = formed(2, 9);
    let used: HashSet<_> = fleet.view.groups.values().map(|group| group.generation).collect();
    let lost = fleet.member_of(&fleet.head_of(BIG));
    fleet.kill(&lost);
    fleet.lapse(&lost);
    // `PlayedFleet` fails if the row of a known group is created again.
    fleet.run(REPAIR_TIME);
    let fresh = fleet.view.groups.values().filter(|group| !used.contains(&group.generation));
    assert!(fresh.count() >= 1);
}

#[test]
fn idle_survivors_of_two_domains_serve_together_until_a_domain_can_form_its_own_group() {
    let mut fleet = formed(4, 9);
    // Every domain of the big model is left with six: one group and two idle members.
    let domains: HashSet<_> = (0..4)
        .filter(|domain| {
            let record = &fleet.view.upstreams[format!("d{domain}-0").as_str()];
            record.loaded.as_deref() == Some(BIG)
        })
        .collect();
    for domain in &domains {
        for index in 0..3 {
            let name = format!("d{domain}-{index}");
            fleet.kill(&name);
            fleet.lapse(&name);
        }
    }
    fleet.run(Duration::from_secs(8));
    let far = fleet.view.replicas(common::SERVICE, BIG).into_iter().filter(|known| known.is_far);
    assert!(far.count() >= 1, "idle members of two domains form a group");
    let orders = fleet.orders.len();
    fleet.run(Duration::from_secs(10));
    assert!(fleet.orders.len() < orders + 20, "groups are not formed and dissolved in turn");
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// Two groups across domains hold the members that one domain needs for a group of its own.
#[test]
fn groups_across_domains_are_not_formed_and_dissolved_in_turn() {
    let mut fleet = PlayedFleet::new(0, 0);
    for name in ["d0-0", "d0-1", "d0-2", "d1-0", "d1-1", "d2-0"] {
        let mut record = common::upstream(name, &name[..2], fleet.now);
        record.loaded = Some(SMALL.into());
        record.staged = vec![SMALL.into()];
        fleet.view.upstreams.insert(name.into(), std::sync::Arc::new(record));
    }
    fleet.has_traffic = true;
    for (generation, members) in [(1, ["d0-0", "d0-1", "d1-0"]), (2, ["d0-2", "d1-1", "d2-0"])] {
        fleet.add_group(&format!("g{generation}"), generation, SMALL, &members);
    }
    // The second group is taken apart later than the first.
    fleet.cut.push("d0-2".into());
    fleet.run(Duration::from_millis(1_500));
    fleet.cut.clear();
    fleet.run(Duration::from_secs(8));
    let near =
        fleet.view.replicas(common::SERVICE, SMALL).into_iter().filter(|known| !known.is_far);
    assert_eq!(near.count(), 1);
    assert_eq!(fleet.serving(SMALL), 2);
    let orders = fleet.orders.len();
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.orders.len(), orders, "nothing is left to do");
}

#[test]
fn loads_stay_under_the_permitted_rate() {
    let mut fleet = PlayedFleet::new(6, 9);
    fleet.has_traffic = true;
    let started = fleet.now;
    fleet.run(Duration::from_secs(3));
    let loads = fleet.orders.iter().filter(|order| matches!(order.kind, OrderKind::Stage { .. }));
    let permitted = 4.0 * (fleet.now - started).as_secs_f64().max(5.0);
    assert!((loads.count() as f64) <= permitted);
}

/// Seeded losses, cuts and returns: no worker ever joins while the head of its group is open.
#[test]
fn no_member_is_taken_from_an_open_group_under_random_losses() {
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    for seed in 0..30 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = formed(4, 9);
        for _ in 0..25 {
            let names: Vec<_> = fleet.view.upstreams.keys().cloned().collect();
            if names.is_empty() {
                break;
            }
            let name = names[random.random_range(0..names.len())].clone();
            match random.random_range(0..5) {
                0 => fleet.kill(&name),
                1 => {
                    fleet.kill(&name);
                    fleet.lapse(&name);
                }
                // Cut from the planner, but running and registered.
                2 => fleet.cut.push(name),
                3 => fleet.cut.retain(|known| !fleet.real.contains_key(known)),
                _ => fleet.silent = vec![name],
            }
            fleet.run(Duration::from_millis(random.random_range(100..2_000)));
            assert_eq!(fleet.violations, Vec::<String>::new(), "seed {seed}");
        }
    }
}
