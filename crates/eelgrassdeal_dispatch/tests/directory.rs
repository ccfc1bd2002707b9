//! Nodes are known by heartbeats that others pass on.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{NodeBeat, NodeDirectory, NodeStage};

fn beat(node: &str, number: u64, stage: NodeStage) -> NodeBeat {
    NodeBeat {
        node: Arc::from(node),
        beat: number,
        stage,
        has_store: true,
        front: Arc::from(format!("{node}:1")),
        peer: Arc::from(format!("{node}:2")),
        data_centre: Arc::from("dc"),
    }
}

fn directory(node: &str) -> NodeDirectory {
    let mut directory = NodeDirectory::new(beat(node, 0, NodeStage::Starting));
    directory.advance(NodeStage::Serving, true);
    directory
}

#[test]
fn a_node_that_falls_silent_leaves_the_answers_but_keeps_its_share() {
    let now = Instant::now();
    let mut known = directory("b");
    known.merge(beat("a", 5, NodeStage::Serving), now);
    assert_eq!(known.serving_fronts(now).len(), 2);
    let later = now + Duration::from_secs(3);
    // The same heartbeat, passed on by another node, does not keep it alive.
    known.merge(beat("a", 5, NodeStage::Serving), later);
    assert_eq!(known.serving_fronts(later).len(), 1);
    assert_eq!(known.sharing_nodes(later), 2, "it may only be cut off from this node");
}

#[test]
fn a_node_that_leaves_is_not_named_and_gives_up_its_share() {
    let now = Instant::now();
    let mut known = directory("b");
    known.merge(beat("a", 5, NodeStage::Leaving), now);
    assert_eq!(known.serving_fronts(now).len(), 1);
    let later = now + Duration::from_secs(3);
    assert_eq!(known.sharing_nodes(later), 1);
}

#[test]
fn a_restarted_node_goes_on_above_its_earlier_heartbeats() {
    let now = Instant::now();
    let mut restarted = directory("a");
    restarted.merge(beat("a", 900, NodeStage::Serving), now);
    restarted.advance(NodeStage::Serving, true);
    assert!(restarted.own().beat > 900);
}

#[test]
fn two_nodes_compete_for_the_lease() {
    let now = Instant::now();
    let candidates = ["a", "b", "c", "d"].map(|own| {
        let mut known = directory(own);
        for other in ["a", "b", "c", "d"] {
            known.merge(beat(other, 1, NodeStage::Serving), now);
        }
        known.is_planner_candidate(now)
    });
    assert_eq!(candidates, [true, true, false, false]);
}

#[test]
fn a_node_without_the_store_does_not_compete() {
    let now = Instant::now();
    let mut known = directory("a");
    known.advance(NodeStage::Serving, false);
    assert!(!known.is_planner_candidate(now));
}
