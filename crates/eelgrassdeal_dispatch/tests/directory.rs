//! The node directory follows the heartbeats that nodes forward to each other.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassdeal_dispatch::{NodeCondition, NodeDirectory, NodeHeartbeat, NodeRole, NodeStage};

const SERVING: NodeCondition =
    NodeCondition { stage: NodeStage::Serving, has_store: true, is_planner: false };

fn heartbeat(node: &str, number: u64, stage: NodeStage) -> NodeHeartbeat {
    NodeHeartbeat {
        node: Arc::from(node),
        sequence: number,
        stage,
        has_store: true,
        is_planner: false,
        front_address: Arc::from(format!("{node}:1")),
        peer_address: Arc::from(format!("{node}:2")),
        data_centre: Arc::from("dc"),
        processor_share: 250,
        age: Duration::ZERO,
    }
}

fn directory(node: &str) -> NodeDirectory {
    let mut directory = NodeDirectory::new(heartbeat(node, 0, NodeStage::Starting));
    directory.advance_heartbeat(SERVING, Instant::now());
    directory
}

#[test]
fn a_silent_node_is_not_listed_but_keeps_its_limit_share() {
    let now = Instant::now();
    let mut directory = directory("b");
    directory.merge(heartbeat("a", 5, NodeStage::Serving), now);
    assert_eq!(directory.located_front_addresses("dc", 64, now).len(), 2);
    let later = now + Duration::from_secs(3);
    // The same heartbeat, forwarded by another node, does not keep the node alive.
    directory.merge(heartbeat("a", 5, NodeStage::Serving), later);
    assert_eq!(directory.located_front_addresses("dc", 64, later).len(), 1);
    assert_eq!(directory.sharing_node_count(later), 2, "it may be partitioned from this node only");
}

#[test]
fn a_leaving_node_is_not_listed_and_gives_up_its_limit_share() {
    let now = Instant::now();
    let mut directory = directory("b");
    directory.merge(heartbeat("a", 5, NodeStage::Leaving), now);
    assert_eq!(directory.located_front_addresses("dc", 64, now).len(), 1);
    let later = now + Duration::from_secs(3);
    assert_eq!(directory.sharing_node_count(later), 1);
}

#[test]
fn a_restarted_node_continues_above_its_earlier_sequence_numbers() {
    let now = Instant::now();
    let mut restarted = directory("a");
    restarted.merge(heartbeat("a", 900, NodeStage::Serving), now);
    restarted.advance_heartbeat(SERVING, now);
    assert!(restarted.own_heartbeat().sequence > 900);
}

#[test]
fn two_nodes_compete_for_the_planner_lease() {
    let now = Instant::now();
    let candidates = ["a", "b", "c", "d"].map(|own| {
        let mut directory = directory(own);
        for other in ["a", "b", "c", "d"] {
            directory.merge(heartbeat(other, 1, NodeStage::Serving), now);
        }
        directory.advance_heartbeat(SERVING, now);
        directory.is_planner_candidate()
    });
    assert_eq!(candidates, [true, true, false, false]);
}

#[test]
fn a_node_without_the_store_does_not_compete() {
    let now = Instant::now();
    let mut directory = directory("a");
    directory.advance_heartbeat(NodeCondition { has_store: false, ..SERVING }, now);
    assert!(!directory.is_planner_candidate());
}

/// Directories of `count` nodes in three data centres, each of which knows all the others.
fn fleet(count: usize, now: Instant) -> Vec<NodeDirectory> {
    let heartbeats: Vec<NodeHeartbeat> = (0..count)
        .map(|index| NodeHeartbeat {
            data_centre: Arc::from(format!("dc{}", index % 3)),
            processor_share: if index < 6 { 500 } else { 120 },
            age: Duration::ZERO,
            ..heartbeat(&format!("n{index:03}"), 1, NodeStage::Serving)
        })
        .collect();
    let directories = heartbeats.iter().map(|own| {
        let mut directory = NodeDirectory::new(own.clone());
        for other in &heartbeats {
            directory.merge(other.clone(), now);
        }
        directory.advance_heartbeat(SERVING, now);
        directory
    });
    directories.collect()
}

#[test]
fn one_node_follows_the_store_for_a_small_fleet_and_all_exchange_messages() {
    let now = Instant::now();
    let fleet = fleet(7, now);
    assert_eq!(fleet.iter().filter(|directory| directory.is_reader()).count(), 1);
    for directory in &fleet {
        assert_eq!(directory.role(), NodeRole::Hub);
        assert_eq!(directory.partners(now).len(), 6);
    }
}

#[test]
fn a_few_large_nodes_are_hubs_of_a_large_fleet_and_one_follows_the_store() {
    let now = Instant::now();
    let fleet = fleet(82, now);
    let hubs: Vec<_> = fleet.iter().filter(|directory| directory.is_large_fleet_hub()).collect();
    assert_eq!(hubs.len(), 5);
    assert_eq!(fleet.iter().filter(|directory| directory.is_reader()).count(), 1);
    assert!(hubs.iter().any(|directory| directory.is_reader()));
    assert!(hubs.iter().all(|directory| directory.own_heartbeat().processor_share == 500));
    let hub_peers: Vec<_> =
        hubs.iter().map(|directory| directory.own_heartbeat().peer_address.clone()).collect();
    let mut leaf_counts = vec![0; hub_peers.len()];
    for directory in fleet.iter().filter(|directory| directory.role() == NodeRole::Leaf) {
        let partners = directory.partners(now);
        assert_eq!(partners.len(), 1, "a leaf reports to one hub");
        let hub = hub_peers.iter().position(|peer| *peer == partners[0]).expect("it is a hub");
        assert_eq!(
            directory.own_heartbeat().data_centre,
            hubs[hub].own_heartbeat().data_centre,
            "and to one in its data centre"
        );
        leaf_counts[hub] += 1;
    }
    // A hub may have twice as many leaves as the 20 nodes for which there is one hub.
    assert!(leaf_counts.iter().all(|count| *count <= 40), "{leaf_counts:?}");
    for directory in &hubs {
        assert_eq!(directory.partners(now).len(), 4, "hubs exchange messages with each other");
    }
}

#[test]
fn a_leaf_avoids_an_unresponsive_hub_and_a_reader_without_the_store_is_replaced() {
    let now = Instant::now();
    let mut fleet = fleet(82, now);
    let mut leaf = fleet.pop().expect("there are nodes");
    let hub = leaf.partners(now)[0].clone();
    leaf.avoid_hub(&hub, now);
    assert_ne!(leaf.partners(now)[0], hub);
    let reader = fleet.iter().position(NodeDirectory::is_reader).expect("a node reads");
    let mut own = fleet[reader].clone();
    own.advance_heartbeat(NodeCondition { has_store: false, ..SERVING }, now);
    assert!(!own.is_reader());
    let without_store =
        NodeHeartbeat { sequence: 9, has_store: false, ..fleet[reader].own_heartbeat().clone() };
    let readers = fleet.iter_mut().map(|directory| {
        directory.merge(without_store.clone(), now);
        directory.advance_heartbeat(SERVING, now);
        directory.is_reader() && directory.own_heartbeat().node != without_store.node
    });
    assert_eq!(readers.filter(|is_reader| *is_reader).count(), 1);
}

#[test]
fn the_planner_reads_the_store_for_the_others() {
    let now = Instant::now();
    let mut directory = directory("b");
    directory.merge(heartbeat("a", 1, NodeStage::Serving), now);
    directory.advance_heartbeat(SERVING, now);
    assert!(!directory.is_reader());
    directory.advance_heartbeat(NodeCondition { is_planner: true, ..SERVING }, now);
    assert!(directory.is_reader());
}

#[test]
fn heartbeats_of_leaves_are_forwarded_by_their_hub_only() {
    let now = Instant::now();
    let mut fleet = fleet(82, now);
    let leaf =
        fleet.iter().position(|directory| directory.role() == NodeRole::Leaf).expect("a leaf");
    assert_eq!(
        fleet[leaf].heartbeats_for(NodeRole::Hub, now).len(),
        1,
        "a leaf sends only its own"
    );
    let leaf = fleet[leaf].own_heartbeat().node.clone();
    let hub = fleet.iter_mut().find(|directory| directory.is_large_fleet_hub()).expect("a hub");
    assert_eq!(hub.heartbeats_for(NodeRole::Leaf, now).len(), 82);
    assert_eq!(hub.heartbeats_for(NodeRole::Hub, now).len(), 1, "no leaf has reported to it");
    hub.record_direct_message(&leaf, now);
    assert_eq!(hub.heartbeats_for(NodeRole::Hub, now).len(), 2);
}

/// Each node that forwards a heartbeat holds it for a while. A failed node must not count as live for
/// longer because of that.
#[test]
fn forwarded_heartbeats_keep_their_age() {
    let now = Instant::now();
    let directory = |name: &str| NodeDirectory::new(heartbeat(name, 1, NodeStage::Serving));
    let (mut first, mut second) = (directory("first"), directory("second"));
    // The node fails right after this heartbeat. A small fleet is given 2 s.
    first.merge(heartbeat("failed", 5, NodeStage::Serving), now);
    let forwarded_at = now + Duration::from_millis(1_500);
    for forwarded in first.heartbeats_for(NodeRole::Hub, forwarded_at) {
        second.merge(forwarded, forwarded_at);
    }
    let is_live =
        |at: Duration| second.live_others(now + at).any(|heartbeat| &*heartbeat.node == "failed");
    assert!(is_live(Duration::from_millis(1_800)));
    assert!(!is_live(Duration::from_millis(2_500)), "the time before it was forwarded counts");
}

#[test]
fn a_leaf_whose_hub_is_none_any_more_learns_of_the_hubs_from_it() {
    let now = Instant::now();
    let node = |index: usize| format!("node-{index:02}");
    let mut former_hub = directory("zz");
    for index in 0..40 {
        former_hub.merge(heartbeat(&node(index), 5, NodeStage::Serving), now);
    }
    former_hub.advance_heartbeat(SERVING, now);
    assert_eq!(former_hub.role(), NodeRole::Leaf);
    let forwarded = former_hub.heartbeats_for(NodeRole::Leaf, now);
    assert_eq!(forwarded.len(), 41, "all that it knows, not only its own");
    assert_eq!(former_hub.heartbeats_for(NodeRole::Hub, now).len(), 1);
}

/// Guards against callers who reach only the nodes of one data centre, the first 64 by their names.
#[test]
fn callers_of_a_large_fleet_reach_all_nodes_about_equally() {
    const NODES: usize = 295;
    const DATA_CENTRES: usize = 5;
    let now = Instant::now();
    let data_centre = |index: usize| Arc::from(format!("dc-{}", index % DATA_CENTRES));
    let beat = |index: usize| NodeHeartbeat {
        data_centre: data_centre(index),
        ..heartbeat(&format!("node-{}-{index:03}", index % DATA_CENTRES), 1, NodeStage::Serving)
    };
    let mut shares: HashMap<Arc<str>, f64> = HashMap::new();
    for index in 0..NODES {
        let mut directory = NodeDirectory::new(beat(index));
        (0..NODES)
            .filter(|other| *other != index)
            .for_each(|other| directory.merge(beat(other), now));
        let located = directory.located_front_addresses(&data_centre(index), 64, now);
        assert_eq!(located.len(), 64);
        for address in &located {
            *shares.entry(address.clone()).or_default() += 1.0 / located.len() as f64;
        }
    }
    assert_eq!(shares.len(), NODES);
    let (least, most) = shares
        .values()
        .fold((f64::MAX, 0.0_f64), |(least, most), share| (least.min(*share), most.max(*share)));
    assert!(least > 0.5 && most < 1.5, "{least:.2} to {most:.2} of an even share");
}

#[test]
fn callers_whose_data_centre_has_no_nodes_are_sent_to_others() {
    let now = Instant::now();
    let mut directory = directory("b");
    directory.merge(heartbeat("a", 5, NodeStage::Serving), now);
    assert_eq!(directory.located_front_addresses("elsewhere", 64, now).len(), 2);
}
