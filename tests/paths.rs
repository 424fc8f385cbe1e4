//! Tests of how a daemon notices that it reaches no upstream.

use apricotrun::coordination::paths::{PathMonitor, PathState};
use apricotrun::prelude::*;

fn name(text: &str) -> UpstreamName {
    text.parse().expect("a valid name")
}

#[test]
fn one_failing_upstream_does_not_put_the_paths_in_doubt() {
    let now = Instant::now();
    let mut monitor = PathMonitor::default();
    for _ in 0..20 {
        assert!(!monitor.record_failure(now, &name("a")));
    }
    assert_eq!(monitor.state(), PathState::Open);
}

#[test]
fn several_failing_upstreams_isolate_only_if_probes_fail_too() {
    let now = Instant::now();
    let mut monitor = PathMonitor::default();
    assert!(!monitor.record_failure(now, &name("a")));
    assert!(monitor.record_failure(now, &name("b")), "probes are due");
    assert_eq!(monitor.state(), PathState::Suspect);
    assert!(!monitor.record_connection(), "the daemon was not isolated");
    assert_eq!(monitor.state(), PathState::Open);
    monitor.record_failure(now, &name("a"));
    monitor.record_failure(now, &name("b"));
    assert!(monitor.record_failed_probes());
    assert_eq!(monitor.state(), PathState::Isolated);
    assert!(!monitor.record_failed_probes(), "it is known already");
    assert!(monitor.record_connection(), "the isolation ends");
    assert_eq!(monitor.state(), PathState::Open);
}

#[test]
fn failures_count_only_without_a_connection_in_between_and_for_a_short_time() {
    let now = Instant::now();
    let mut monitor = PathMonitor::default();
    monitor.record_failure(now, &name("a"));
    monitor.record_connection();
    assert!(!monitor.record_failure(now, &name("b")));
    assert!(!monitor.record_failure(now + Duration::from_secs(6), &name("c")));
    assert_eq!(monitor.state(), PathState::Open);
}

#[test]
fn failed_probes_without_failed_connections_isolate_nothing() {
    let mut monitor = PathMonitor::default();
    assert!(!monitor.record_failed_probes());
    assert_eq!(monitor.state(), PathState::Open);
}
