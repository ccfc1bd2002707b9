//! Choice of the addresses on which the nodes of a test fleet listen.

use std::collections::BTreeSet;
use std::ffi::OsStr;
use std::net::{TcpListener, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use eelgrassdeal_testkit::{ChildProcess, free_address};

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

/// A child process has copies of its parent's sockets until it executes its own program. One that
/// another thread starts while `free_address` tries an address must not keep that address in use.
#[test]
fn addresses_are_free_while_other_threads_start_processes() {
    const COUNT: usize = 2_000;
    const THREADS: usize = 8;
    let is_done = AtomicBool::new(false);
    let start_processes = || {
        while !is_done.load(Ordering::Relaxed) {
            let child = ChildProcess::spawn::<&OsStr>(Path::new("true"), &[], None);
            drop(child.expect("a process can be started"));
        }
    };
    let taken = thread::scope(|scope| {
        (0..THREADS).for_each(|_| drop(scope.spawn(start_processes)));
        let is_taken = |_: &usize| {
            let address = free_address();
            TcpListener::bind(address).is_err() || UdpSocket::bind(address).is_err()
        };
        let taken = (0..COUNT).filter(is_taken).count();
        is_done.store(true, Ordering::Relaxed);
        taken
    });
    assert_eq!(taken, 0, "of {COUNT} addresses");
}
