//! Choice of the addresses on which the nodes of a test fleet listen.

use std::collections::BTreeSet;

use eelgrassdeal_testkit::free_address;

/// Guards against a node that cannot start because its port was taken between the choice of the
/// address and the bind, by an outgoing connection or by another node of the same test. The kernel
/// assigns ports from 32768 to outgoing connections.
#[test]
fn addresses_are_distinct_and_outside_the_range_of_outgoing_connections() {
    const COUNT: usize = 300;
    let ports: BTreeSet<u16> = (0..COUNT).map(|_| free_address().port()).collect();
    assert_eq!(ports.len(), COUNT, "a port was returned twice");
    let last = ports.last().copied().unwrap_or(0);
    assert!(last < 32768, "port {last} may be taken by an outgoing connection");
}
