//! The registry of upstreams, in normal operation and around outages of the store.

use apricotrun::coordination::registry::{
    RegistryChange, RegistryEvent, UpstreamRecord, UpstreamRegistry,
};
use apricotrun::prelude::*;
use std::collections::BTreeMap;

const MILLI: Duration = Duration::from_millis(1);

fn name(text: &str) -> UpstreamName {
    text.parse().expect("valid name")
}

fn record(draining: bool) -> UpstreamRecord {
    UpstreamRecord {
        address: "127.0.0.1:8080".parse().expect("valid address"),
        domain: "tyrol-a".parse().expect("valid name"),
        draining,
        incarnation: Incarnation(1),
        role: UpstreamRole::Plain,
        service: "rental".parse().expect("valid name"),
        slots: Slots(6),
    }
}

fn registry(now: Instant) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::default();
    let all = ["a", "b"].map(|text| (name(text), record(false)));
    registry.handle(now, RegistryEvent::Listed(BTreeMap::from(all)));
    registry
}

#[test]
fn removed_upstream_is_gone_at_once_while_the_store_is_up() {
    let now = Instant::now();
    let mut registry = registry(now);
    let changes = registry.handle(now, RegistryEvent::Removed(name("a")));
    assert_eq!(changes, [RegistryChange::Gone(name("a"))]);
    assert!(!registry.accepts_requests(now, &name("a")));
    assert!(registry.accepts_requests(now, &name("b")));
}

#[test]
fn draining_upstream_accepts_no_requests() {
    let now = Instant::now();
    let mut registry = registry(now);
    let changes = registry.handle(now, RegistryEvent::Written(name("a"), record(true)));
    assert_eq!(changes, [RegistryChange::Draining(name("a"))]);
    assert!(!registry.accepts_requests(now, &name("a")));
}

#[test]
fn upstream_expired_by_an_outage_is_used_until_its_time_to_reregister_ends() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.handle(now, RegistryEvent::StoreLost);
    registry.handle(now, RegistryEvent::StoreRestored);
    registry.handle(now + MILLI * 300, RegistryEvent::Removed(name("a")));
    assert!(registry.accepts_requests(now + MILLI * 1_999, &name("a")));
    assert!(!registry.accepts_requests(now + MILLI * 2_000, &name("a")));
    let changes = registry.handle(now + MILLI * 2_000, RegistryEvent::Tick);
    assert_eq!(changes, [RegistryChange::Gone(name("a"))]);
}

#[test]
fn expired_upstream_that_reregisters_stays() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.handle(now, RegistryEvent::StoreLost);
    registry.handle(now, RegistryEvent::StoreRestored);
    registry.handle(now, RegistryEvent::Removed(name("a")));
    registry.handle(now + MILLI * 900, RegistryEvent::Written(name("a"), record(false)));
    registry.handle(now + MILLI * 5_000, RegistryEvent::Tick);
    assert!(registry.accepts_requests(now + MILLI * 5_000, &name("a")));
}

/// An upstream that left 2.5 s after the store was restored used to count as expired by the outage,
/// so it was still used 2.03 s after the store had confirmed the removal (tariq-roads, scale-2).
#[test]
fn record_removed_well_after_an_outage_is_gone_at_once() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.handle(now, RegistryEvent::StoreLost);
    registry.handle(now, RegistryEvent::StoreRestored);
    let later = now + MILLI * 2_500;
    registry.handle(later, RegistryEvent::Removed(name("a")));
    assert!(!registry.accepts_requests(later, &name("a")));
}

#[test]
fn draining_upstream_is_gone_at_once_even_after_an_outage() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.handle(now, RegistryEvent::Written(name("a"), record(true)));
    assert!(!registry.accepts_requests(now, &name("a")));
    registry.handle(now, RegistryEvent::StoreLost);
    registry.handle(now, RegistryEvent::StoreRestored);
    let changes = registry.handle(now, RegistryEvent::Removed(name("a")));
    assert_eq!(changes, [RegistryChange::Gone(name("a"))]);
}

#[test]
fn upstream_missing_from_a_list_after_an_outage_counts_as_expired() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.handle(now, RegistryEvent::StoreLost);
    registry.handle(now, RegistryEvent::StoreRestored);
    let left = BTreeMap::from([(name("b"), record(false))]);
    let changes = registry.handle(now, RegistryEvent::Listed(left));
    assert_eq!(changes, [RegistryChange::Expired(name("a"))]);
}
