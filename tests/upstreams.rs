//! Diagnosis of upstreams whose connection broke: alive or dead.

use apricotrun::coordination::flow::UpstreamFailure;
use apricotrun::transport::engine::UpstreamClient;
use standins::engine::{EngineConfig, start};
use standins::server::free_address;
use std::net::{SocketAddr, TcpListener};
use std::thread;

fn diagnose(address: SocketAddr) -> UpstreamFailure {
    let runtime = tokio::runtime::Runtime::new().expect("started runtime");
    let client = UpstreamClient::new().expect("built client");
    runtime.block_on(client.diagnose(address))
}

#[test]
fn responding_upstream_is_alive() {
    let engine = start(free_address(), EngineConfig::default());
    assert_eq!(diagnose(engine.address), UpstreamFailure::Broken);
}

#[test]
fn upstream_that_refuses_connections_is_dead() {
    assert_eq!(diagnose(free_address()), UpstreamFailure::Died);
}

#[test]
fn terminating_upstream_is_dead() {
    let listener = TcpListener::bind(free_address()).expect("bound listener");
    let address = listener.local_addr().expect("valid address");
    // A terminating process may still accept a connection, which then breaks.
    let terminating = thread::spawn(move || drop(listener.accept()));
    assert_eq!(diagnose(address), UpstreamFailure::Died);
    terminating.join().expect("listener thread ends");
}
