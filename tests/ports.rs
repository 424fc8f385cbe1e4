//! The ports that are allocated to servers of tests and stand-ins before they start.

use standins::server::free_address;
use std::net::TcpListener;
use std::thread;

/// The number of threads that allocate ports concurrently.
const THREADS: usize = 4;
/// The number of ports that each thread allocates.
const ALLOCATIONS: usize = 1_000;

/// Guards against an allocation that tries a port which is already allocated: even a brief bind
/// makes the bind of the port's server fail if it happens at the same time.
#[test]
fn allocated_address_can_be_bound_during_other_allocations() {
    let allocated: Vec<_> = (0..50).map(|_| free_address()).collect();
    thread::scope(|scope| {
        let allocate = || {
            for _ in 0..ALLOCATIONS {
                free_address();
            }
        };
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(allocate)).collect();
        while threads.iter().any(|thread| !thread.is_finished()) {
            for address in &allocated {
                TcpListener::bind(address).expect("an allocated port is free");
            }
        }
    });
}
