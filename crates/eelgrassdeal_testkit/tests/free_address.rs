//! Addresses of test fleets.

use std::collections::BTreeSet;

use eelgrassdeal_testkit::free_address;

/// Guards against a node that cannot start because an outgoing connection, or another node of the
/// same test, took its port between the choice and the bind: the kernel gives outgoing connections
/// the ports from 32768.
#[test]
fn addresses_are_distinct_and_outside_the_range_of_outgoing_connections() {
    const COUNT: usize = 300;
    let ports: BTreeSet<u16> = (0..COUNT).map(|_| free_address().port()).collect();
    assert_eq!(ports.len(), COUNT, "a port was given out twice");
    let last = ports.last().copied().unwrap_or(0);
    assert!(last < 32768, "port {last} may be taken by an outgoing connection");
}
