//! The registry of upstreams, in normal operation and around outages of the store.

use apricotrun::coordination::notices::UpstreamNotice;
use apricotrun::coordination::registry::{
    RegistryChange, RegistryEvent, UpstreamRecord, UpstreamRegistry,
};
use apricotrun::coordination::roles::{ObservedPlan, PlanDecision, PlanRecord, RolePlan};
use apricotrun::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
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
        software: SoftwareVersion::default(),
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

fn returned(upstreams: BTreeMap<UpstreamName, UpstreamRecord>, plans: &[&str]) -> RegistryEvent {
    let stored_plans = plans.iter().map(|text| text.parse().expect("valid name")).collect();
    RegistryEvent::Returned { stored_plans, upstreams }
}

fn later(record: UpstreamRecord, incarnation: u64) -> UpstreamRecord {
    UpstreamRecord { incarnation: Incarnation(incarnation), ..record }
}

#[test]
fn older_copy_of_the_store_revives_no_upstream() {
    let now = Instant::now();
    let mut registry = registry(now);
    let copy = BTreeMap::from([(name("a"), record(false)), (name("b"), record(false))]);
    registry.handle(now, RegistryEvent::Removed(name("a")));
    registry.handle(now, RegistryEvent::Written(name("b"), record(true)));
    registry.handle(now + MILLI * 100, returned(copy.clone(), &[]));
    let accepts = |registry: &UpstreamRegistry, after: u32| {
        ["a", "b"].map(|text| registry.accepts_requests(now + MILLI * after, &name(text)))
    };
    assert_eq!(accepts(&registry, 200), [false, false]);
    // Reading the same copy again, after its history was compacted, changes nothing.
    registry.handle(now + MILLI * 300, RegistryEvent::Listed(copy));
    assert_eq!(accepts(&registry, 300), [false, false]);
    // The record of an upstream that is gone would have expired by then.
    registry.handle(now + MILLI * 6_100, RegistryEvent::Tick);
    assert_eq!(accepts(&registry, 6_100), [true, false]);
}

#[test]
fn upstream_that_writes_its_record_after_the_return_is_used_at_once() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.handle(now, RegistryEvent::Removed(name("a")));
    let copy = BTreeMap::from([(name("a"), record(false)), (name("b"), record(false))]);
    registry.handle(now, returned(copy, &[]));
    assert!(!registry.accepts_requests(now, &name("a")));
    registry.handle(now + MILLI, RegistryEvent::Written(name("a"), later(record(false), 2)));
    assert!(registry.accepts_requests(now + MILLI, &name("a")));
    registry.handle(now + MILLI * 6_100, RegistryEvent::Tick);
    assert_eq!(registry.incarnation_of(&name("a")), Some(Incarnation(2)), "not the deferred one");
}

#[test]
fn upstream_that_drains_is_not_used_on_while_the_records_of_the_copy_wait() {
    let now = Instant::now();
    let mut registry = registry(now);
    let all =
        |draining| BTreeMap::from([(name("a"), record(draining)), (name("b"), record(false))]);
    registry.handle(now, returned(all(false), &[]));
    // The write that says so was in the history that the store has discarded.
    registry.handle(now + MILLI, RegistryEvent::Listed(all(true)));
    assert!(!registry.accepts_requests(now + MILLI, &name("a")));
}

#[test]
fn upstream_that_the_copy_lacks_is_used_until_its_time_to_reregister_ends() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.handle(now, returned(BTreeMap::from([(name("b"), record(false))]), &[]));
    assert!(registry.accepts_requests(now + MILLI * 1_999, &name("a")));
    assert!(!registry.accepts_requests(now + MILLI * 2_000, &name("a")));
    registry.handle(now + MILLI * 1_500, RegistryEvent::Written(name("a"), record(false)));
    assert!(registry.accepts_requests(now + MILLI * 2_000, &name("a")));
}

#[test]
fn no_plan_is_made_or_begun_while_orders_of_a_lost_one_may_be_under_way() {
    let now = Instant::now();
    let service: ServiceName = "rental".parse().expect("valid name");
    let workers = BTreeMap::from([(name("a"), (Incarnation(1), UpstreamRole::Decode))]);
    let holder = "edge-1".parse().expect("valid name");
    let plan = PlanRecord { begun: true, holder, plan: RolePlan { workers } };
    let observed = ObservedPlan::new(now, plan.clone(), now);
    let mut registry = registry(now);
    registry.handle(now, RegistryEvent::Planned(service.clone(), observed));
    registry.handle(now, returned(BTreeMap::new(), &[]));
    let decide = |registry: &UpstreamRegistry, after: u64| {
        registry.decide_plan(now + Duration::from_secs(after), &service, MILLI * 500)
    };
    assert_eq!(decide(&registry, 19), (PlanDecision::Leave, None));
    assert_eq!(decide(&registry, 20), (PlanDecision::Replace, None), "the store has no plan");
    let unbegun = ObservedPlan::of_unknown_age(now, PlanRecord { begun: false, ..plan.clone() });
    registry.handle(now, RegistryEvent::Planned(service.clone(), unbegun));
    registry.handle(now, returned(BTreeMap::new(), &["rental"]));
    assert_eq!(decide(&registry, 19).0, PlanDecision::Leave);
    assert_eq!(decide(&registry, 20).0, PlanDecision::TakeOver);
}

#[test]
fn notices_bind_an_incarnation_and_earlier_ones_whatever_its_record_says() {
    let now = Instant::now();
    let mut registry = registry(now);
    let notice = |notice| RegistryEvent::Noticed(name("a"), Incarnation(1), notice);
    let changes = registry.handle(now, notice(UpstreamNotice::Leaving));
    assert_eq!(changes, [RegistryChange::Leaving(name("a"))]);
    assert_eq!(registry.handle(now, notice(UpstreamNotice::Leaving)), []);
    let copy = BTreeMap::from([(name("a"), record(false)), (name("b"), record(false))]);
    for event in [
        RegistryEvent::Written(name("a"), UpstreamRecord { slots: Slots(7), ..record(false) }),
        RegistryEvent::Listed(copy.clone()),
        returned(copy, &[]),
        RegistryEvent::Removed(name("a")),
        RegistryEvent::Written(name("a"), record(false)),
    ] {
        registry.handle(now, event);
        assert!(!registry.accepts_requests(now + Duration::from_secs(3_600), &name("a")));
    }
    registry.handle(now, RegistryEvent::Written(name("a"), later(record(false), 2)));
    assert!(registry.accepts_requests(now, &name("a")));
    // A late response of the earlier process says nothing about its successor.
    registry.handle(now, notice(UpstreamNotice::Quiet(MILLI * 500)));
    registry.handle(now, notice(UpstreamNotice::Leaving));
    assert!(registry.accepts_requests(now, &name("a")));
}

#[test]
fn quiet_time_is_never_shortened_and_ends_by_itself() {
    let now = Instant::now();
    let service = "rental".parse().expect("valid name");
    let mut registry = registry(now);
    let quiet = |text: &str, ms: u32| {
        RegistryEvent::Noticed(name(text), Incarnation(1), UpstreamNotice::Quiet(MILLI * ms))
    };
    registry.handle(now, quiet("a", 900));
    registry.handle(now, quiet("a", 100));
    assert!(!registry.accepts_requests(now + MILLI * 899, &name("a")));
    assert!(registry.accepts_requests(now + MILLI * 900, &name("a")));
    assert_eq!(registry.quiet_until(now, &service, |_, _| None), None, "b takes requests");
    registry.handle(now, quiet("b", 400));
    assert_eq!(registry.quiet_until(now, &service, |_, _| None), Some(now + MILLI * 400));
    assert_eq!(registry.forbidden_upstreams(now + MILLI * 500, &service, |_, _| None), [name("a")]);
}

/// Random writes, removals and returns from copies some seconds old: an upstream that left in its
/// current incarnation is not used again before the copy's records would have expired.
#[test]
fn random_returns_revive_no_upstream_that_has_left() {
    for seed in 0..500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let began = Instant::now();
        let (mut now, mut registry) = (began, UpstreamRegistry::default());
        let mut store: BTreeMap<UpstreamName, UpstreamRecord> = BTreeMap::new();
        let mut copies = vec![store.clone()];
        let mut left: BTreeMap<UpstreamName, (Incarnation, Instant)> = BTreeMap::new();
        let mut returned_at = began;
        for _ in 0..60 {
            now += MILLI * rng.random_range(1..700);
            let upstream = name(["a", "b", "c"][rng.random_range(0..3)]);
            let event = match (rng.random_range(0..5), store.get(&upstream).cloned()) {
                (0, _) => {
                    store = copies[rng.random_range(copies.len().saturating_sub(4)..copies.len())]
                        .clone();
                    returned_at = now;
                    returned(store.clone(), &[])
                }
                (1, Some(known)) if !known.draining => {
                    let incarnation = known.incarnation;
                    left.insert(upstream.clone(), (incarnation, now));
                    let record = UpstreamRecord { draining: true, ..known };
                    store.insert(upstream.clone(), record.clone());
                    RegistryEvent::Written(upstream, record)
                }
                (2, Some(known)) => {
                    // Right after a return, records expire although their upstreams live.
                    let expires = now < returned_at + MILLI * 1_200;
                    let from = if expires { returned_at + MILLI * 2_000 } else { now };
                    left.insert(upstream.clone(), (known.incarnation, from));
                    store.remove(&upstream);
                    RegistryEvent::Removed(upstream)
                }
                _ => {
                    let record = later(record(false), (now - began).as_millis() as u64);
                    left.remove(&upstream);
                    store.insert(upstream.clone(), record.clone());
                    RegistryEvent::Written(upstream, record)
                }
            };
            registry.handle(now, event);
            copies.push(store.clone());
            for (upstream, (incarnation, from)) in &left {
                let is_old = registry.incarnation_of(upstream) <= Some(*incarnation);
                let revived = is_old && registry.accepts_requests(now, upstream);
                let until = returned_at.max(*from) + Duration::from_secs(6);
                let is_gone = *from <= now && now < until;
                assert!(!(revived && is_gone), "seed {seed}: {upstream}");
            }
        }
    }
}
