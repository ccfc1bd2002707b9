//! Fleets of the simulated sizes, and the random failures of their VMs and data centres.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Size of a fleet, and the number of its failures in one run.
pub(crate) struct FleetShape {
    /// Name in the printed table.
    pub(crate) name: &'static str,
    /// Number of data centres.
    pub(crate) data_centres: usize,
    /// Number of workers in each fabric domain. Domains are assigned to the data centres in turn.
    pub(crate) domain_sizes: Vec<u32>,
    pub(crate) vms_per_replica: u32,
    /// Replicas of the serve rules with priority 0 and 1.
    pub(crate) replicas: [u32; 2],
    /// Size of the weights of one replica.
    pub(crate) weights_bytes: u64,
    /// Bandwidth of the weight store, shared by all transfers.
    pub(crate) weights_bytes_per_s: u64,
    /// Workers that fail and return after 20 min without their weights.
    pub(crate) crashes: usize,
    /// Workers that do not answer for 15 s and keep their weights.
    pub(crate) pauses: usize,
}

/// The two simulated fleets.
///
/// `planned` has the planned 1,700 workers. Its 200 replicas of 8 VMs leave 100 workers as spares;
/// the calculation in `failures` places 212 groups on the same workers and leaves 4. The domains,
/// weights and bandwidth are assumed values of this simulation and differ from the defaults of
/// `failures`.
pub(crate) fn fleet_shapes() -> [FleetShape; 2] {
    let today = FleetShape {
        name: "today",
        data_centres: 3,
        domain_sizes: vec![6, 6, 6, 6, 6, 5, 5, 5, 5],
        vms_per_replica: 2,
        replicas: [12, 8],
        weights_bytes: 140_000_000_000,
        weights_bytes_per_s: 5_000_000_000,
        crashes: 3,
        pauses: 3,
    };
    let planned = FleetShape {
        name: "planned",
        data_centres: 6,
        domain_sizes: [vec![40; 42], vec![20]].concat(),
        vms_per_replica: 8,
        replicas: [120, 80],
        weights_bytes: 700_000_000_000,
        weights_bytes_per_s: 40_000_000_000,
        crashes: 16,
        pauses: 40,
    };
    [today, planned]
}

/// Change of the state of a VM or of a data centre.
pub(crate) enum FleetEvent {
    /// The VM stops answering.
    Stop {
        vm: String,
        /// Whether the VM loses its weights, as by a restart.
        loses_weights: bool,
    },
    /// The VM with this id answers again.
    Start(String),
    /// An operator sets the state of the first data centre.
    SetCentreState(&'static str),
}

/// Ids of the VMs of a fabric domain, given by its index.
pub(crate) fn vm_ids(shape: &FleetShape, domain: usize) -> impl Iterator<Item = String> {
    (0..shape.domain_sizes[domain]).map(move |index| format!("w{domain:02}-{index:02}"))
}

/// Generates a random sequence of failures, by their time in seconds. It has four phases of
/// `phase_s` from `start_s` on:
///
/// 1. Single workers stop at random times in the first half of the phase.
/// 2. All VMs of one fabric domain stop for 20 min.
/// 3. The first data centre is out of service for 8 min.
/// 4. The first data centre is out of service for 25 min.
pub(crate) fn generate_events(
    shape: &FleetShape,
    seed: u64,
    start_s: u64,
    phase_s: u64,
) -> BTreeMap<u64, Vec<FleetEvent>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut events: BTreeMap<u64, Vec<FleetEvent>> = BTreeMap::new();
    let mut add = |at_s: u64, event| events.entry(start_s + at_s).or_default().push(event);
    let domains = 0..shape.domain_sizes.len();
    let vms: Vec<String> = domains.clone().flat_map(|domain| vm_ids(shape, domain)).collect();
    let failing: Vec<String> =
        vms.choose_multiple(&mut rng, shape.crashes + shape.pauses).cloned().collect();
    for (index, vm) in failing.into_iter().enumerate() {
        let loses_weights = index < shape.crashes;
        let at_s = rng.random_range(0..phase_s / 2);
        add(at_s, FleetEvent::Stop { vm: vm.clone(), loses_weights });
        add(at_s + if loses_weights { 1_200 } else { 15 }, FleetEvent::Start(vm));
    }
    // A network partition separates the domain for 20 min. Its VMs keep their weights.
    for vm in vm_ids(shape, rng.random_range(domains)) {
        add(phase_s, FleetEvent::Stop { vm: vm.clone(), loses_weights: false });
        add(phase_s + 1_200, FleetEvent::Start(vm));
    }
    for (at_s, duration_s) in [(2 * phase_s, 480), (3 * phase_s, 1_500)] {
        add(at_s, FleetEvent::SetCentreState("out"));
        add(at_s + duration_s, FleetEvent::SetCentreState("in"));
    }
    events
}
