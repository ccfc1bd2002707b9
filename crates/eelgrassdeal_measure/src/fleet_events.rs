//! Fleets of the sizes that are measured, and what fails in them.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// A fleet and how often its parts fail.
pub(crate) struct FleetShape {
    pub(crate) name: &'static str,
    pub(crate) centres: usize,
    /// Workers of each fabric domain; domains go to the data centres in turn.
    pub(crate) domains: Vec<u32>,
    pub(crate) vms_per_replica: u32,
    /// Replicas of the rule with priority 0 and of the one with priority 1.
    pub(crate) replicas: [u32; 2],
    pub(crate) weights_bytes: u64,
    /// Rate of the weight store for all transfers together, in bytes/s.
    pub(crate) store_rate: u64,
    /// Members that die and return empty after 20 min, and members that pause for 15 s.
    pub(crate) deaths: usize,
    pub(crate) pauses: usize,
}

pub(crate) fn shapes() -> [FleetShape; 2] {
    let today = FleetShape {
        name: "today",
        centres: 3,
        domains: vec![6, 6, 6, 6, 6, 5, 5, 5, 5],
        vms_per_replica: 2,
        replicas: [12, 8],
        weights_bytes: 140_000_000_000,
        store_rate: 5_000_000_000,
        deaths: 3,
        pauses: 3,
    };
    let planned = FleetShape {
        name: "planned",
        centres: 6,
        domains: [vec![40; 42], vec![20]].concat(),
        vms_per_replica: 8,
        replicas: [120, 80],
        weights_bytes: 700_000_000_000,
        store_rate: 40_000_000_000,
        deaths: 16,
        pauses: 40,
    };
    [today, planned]
}

/// What happens to a VM or data centre.
pub(crate) enum FleetEvent {
    /// The VM stops answering; it loses its weights if it was restarted.
    Stop {
        vm: String,
        loses_weights: bool,
    },
    Start(String),
    SetCentre(&'static str),
}

pub(crate) fn vm_ids(shape: &FleetShape, domain: usize) -> impl Iterator<Item = String> {
    (0..shape.domains[domain]).map(move |number| format!("w{domain:02}-{number:02}"))
}

/// Draws what fails and when, in seconds: from `start_s` on single members, a phase later a whole
/// domain, and in the two phases after that a data centre for 8 and for 25 min.
pub(crate) fn draw_events(
    shape: &FleetShape,
    seed: u64,
    start_s: u64,
    phase_s: u64,
) -> BTreeMap<u64, Vec<FleetEvent>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut events: BTreeMap<u64, Vec<FleetEvent>> = BTreeMap::new();
    let mut add = |at: u64, event| events.entry(start_s + at).or_default().push(event);
    let domains = 0..shape.domains.len();
    let workers: Vec<String> = domains.clone().flat_map(|domain| vm_ids(shape, domain)).collect();
    let failing: Vec<String> =
        workers.choose_multiple(&mut rng, shape.deaths + shape.pauses).cloned().collect();
    for (number, vm) in failing.into_iter().enumerate() {
        let loses_weights = number < shape.deaths;
        let at = rng.random_range(0..phase_s / 2);
        add(at, FleetEvent::Stop { vm: vm.clone(), loses_weights });
        add(at + if loses_weights { 1_200 } else { 15 }, FleetEvent::Start(vm));
    }
    // The domain is cut off for 20 min and keeps its weights.
    for vm in vm_ids(shape, rng.random_range(domains)) {
        add(phase_s, FleetEvent::Stop { vm: vm.clone(), loses_weights: false });
        add(phase_s + 1_200, FleetEvent::Start(vm));
    }
    for (at, length) in [(2 * phase_s, 480), (3 * phase_s, 1_500)] {
        add(at, FleetEvent::SetCentre("out"));
        add(at + length, FleetEvent::SetCentre("in"));
    }
    events
}
