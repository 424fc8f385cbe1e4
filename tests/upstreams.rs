//! Whether an upstream whose connection broke still lives.

use apricotrun::coordination::flow::UpstreamFailure;
use apricotrun::transport::engine::UpstreamClient;
use standins::engine::{EngineConfig, start};
use standins::server::free_address;
use std::net::{SocketAddr, TcpListener};
use std::thread;

fn diagnose(address: SocketAddr) -> UpstreamFailure {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let client = UpstreamClient::new().expect("a client");
    runtime.block_on(client.diagnose(address))
}

#[test]
fn upstream_that_answers_lives() {
    let engine = start(free_address(), EngineConfig::default());
    assert_eq!(diagnose(engine.address), UpstreamFailure::Broken);
}

#[test]
fn upstream_that_refuses_connections_is_dead() {
    assert_eq!(diagnose(free_address()), UpstreamFailure::Died);
}

#[test]
fn upstream_that_is_just_dying_is_dead() {
    let listener = TcpListener::bind(free_address()).expect("a listener");
    let address = listener.local_addr().expect("an address");
    // A dying process still takes one connection, and breaks it.
    let dying = thread::spawn(move || drop(listener.accept()));
    assert_eq!(diagnose(address), UpstreamFailure::Died);
    dying.join().expect("the upstream has ended");
}
