//! Plans of role changes: which prefill workers switch to decoding, and when they get no requests.

use apricotrun::coordination::registry::{RegistryEvent, UpstreamRecord, UpstreamRegistry};
use apricotrun::coordination::roles::{
    ObservedPlan, PlanDecision, PlanRecord, RequestShape, RolePlan, WorkerSnapshot,
};
use apricotrun::prelude::*;
use std::collections::BTreeMap;

const SECOND: Duration = Duration::from_secs(1);

fn worker(index: usize, domain: &str, role: UpstreamRole) -> WorkerSnapshot {
    WorkerSnapshot {
        domain: domain.parse().expect("valid name"),
        incarnation: Incarnation(index as u64),
        name: format!("w{index}").parse().expect("valid name"),
        role,
        slowness: SlownessPercent::default(),
    }
}

/// 14 workers, 5 of which do prefill although the load needs only 3 or 4 (Cornice's fitting desks).
#[test]
fn surplus_prefill_workers_switch_in_the_fullest_domains_first() {
    let shape = RequestShape { parallel: 9.65, prefill: 0.104, run: 3.7 };
    assert_eq!(shape.prefill_workers(14), 3);
    let mut workers: Vec<_> =
        (0..9).map(|index| worker(index, "tyrol-a", UpstreamRole::Decode)).collect();
    for (index, domain) in
        ["tyrol-a", "tyrol-b", "tyrol-b", "tyrol-c", "tyrol-b"].iter().enumerate()
    {
        workers.push(worker(9 + index, domain, UpstreamRole::Prefill));
    }
    let plan = RolePlan::balance(&shape, &workers);
    assert_eq!(plan.workers.len(), 2);
    let from_b = plan.workers.keys().filter(|name| ["w10", "w11", "w13"].contains(&name.as_str()));
    assert_eq!(from_b.count(), 2, "{plan:?}");
}

/// A slow worker holds the memory of each run for longer, so the fast ones decode.
#[test]
fn fast_prefill_workers_switch_first() {
    let shape = RequestShape { parallel: 9.65, prefill: 0.104, run: 3.7 };
    let mut workers: Vec<_> =
        (0..28).map(|index| worker(index, "tyrol-a", UpstreamRole::Decode)).collect();
    for index in 28..44 {
        let domain = ["tyrol-a", "tyrol-b", "tyrol-c", "tyrol-d"][index % 4];
        let slowness = SlownessPercent(if index < 32 { 180 } else { 83 });
        workers.push(WorkerSnapshot { slowness, ..worker(index, domain, UpstreamRole::Prefill) });
    }
    let plan = RolePlan::balance(&shape, &workers);
    assert_eq!(plan.workers.len(), 16 - shape.prefill_workers(44));
    let is_slow = |name: &UpstreamName| {
        workers.iter().any(|worker| worker.name == *name && worker.slowness.0 == 180)
    };
    assert!(!plan.workers.keys().any(is_slow), "{plan:?}");
}

#[test]
fn too_few_prefill_workers_change_nothing() {
    let shape = RequestShape { parallel: 20.0, prefill: 0.5, run: 1.0 };
    let workers = [worker(0, "a", UpstreamRole::Prefill), worker(1, "a", UpstreamRole::Decode)];
    assert_eq!(RolePlan::balance(&shape, &workers), RolePlan::default());
}

fn record(incarnation: u64, role: UpstreamRole) -> UpstreamRecord {
    UpstreamRecord {
        address: "127.0.0.1:8080".parse().expect("valid address"),
        domain: "tyrol-a".parse().expect("valid name"),
        draining: false,
        incarnation: Incarnation(incarnation),
        role,
        service: "llm".parse().expect("valid name"),
        slots: Slots(32),
        software: SoftwareVersion::default(),
    }
}

fn plan_record(begun: bool) -> PlanRecord {
    let name: UpstreamName = "w1".parse().expect("valid name");
    let workers = BTreeMap::from([(name, (Incarnation(1), UpstreamRole::Decode))]);
    PlanRecord { begun, holder: "h1".parse().expect("valid name"), plan: RolePlan { workers } }
}

fn registry_with_plan(now: Instant) -> UpstreamRegistry {
    let name: UpstreamName = "w1".parse().expect("valid name");
    let mut registry = UpstreamRegistry::default();
    let plan = ObservedPlan::new(now, plan_record(true), now + SECOND * 8);
    let service = "llm".parse().expect("valid name");
    registry.handle(now, RegistryEvent::Planned(service, plan));
    registry.handle(now, RegistryEvent::Written(name, record(1, UpstreamRole::Prefill)));
    registry
}

fn accepts_requests(registry: &UpstreamRegistry, now: Instant) -> bool {
    registry.accepts_requests(now, &"w1".parse().expect("valid name"))
}

#[test]
fn changing_worker_gets_no_requests_until_it_is_available() {
    let now = Instant::now();
    let mut registry = registry_with_plan(now);
    assert!(!accepts_requests(&registry, now));
    let changed = record(1, UpstreamRole::Decode);
    let name: UpstreamName = "w1".parse().expect("valid name");
    registry.handle(now + SECOND * 3, RegistryEvent::Written(name, changed));
    assert!(
        !accepts_requests(&registry, now + SECOND * 7),
        "the record changes before the worker is ready"
    );
    assert!(accepts_requests(&registry, now + SECOND * 8));
}

#[test]
fn worker_whose_order_was_lost_gets_requests_again() {
    let now = Instant::now();
    let registry = registry_with_plan(now);
    assert!(!accepts_requests(&registry, now + SECOND * 19), "the order may be executed late");
    assert!(accepts_requests(&registry, now + SECOND * 20));
}

#[test]
fn restarted_worker_is_not_part_of_the_plan() {
    let now = Instant::now();
    let mut registry = registry_with_plan(now);
    let name: UpstreamName = "w1".parse().expect("valid name");
    let restarted = record(2, UpstreamRole::Prefill);
    registry.handle(now, RegistryEvent::Written(name, restarted));
    assert!(accepts_requests(&registry, now));
}

/// A planner that fails before it sends any order used to leave the plan's workers idle for 20 s
/// and the fleet's split unchanged for good (cornice-fleet-grown, trouble-3: the host that wrote
/// last is replaced).
#[test]
fn plan_whose_planner_is_gone_is_taken_over() {
    let (now, wait) = (Instant::now(), SECOND * 2);
    let plan = ObservedPlan::new(now, plan_record(false), now + SECOND * 8);
    assert_eq!(plan.decide(now + wait, wait), PlanDecision::Leave, "its planner is about to begin");
    assert_eq!(plan.decide(now + SECOND * 4, wait), PlanDecision::TakeOver);
    let begun = ObservedPlan::new(now, plan_record(true), now + SECOND * 8);
    assert_eq!(
        begun.decide(now + SECOND * 60, wait),
        PlanDecision::Leave,
        "its orders may be in flight"
    );
}

#[test]
fn old_plan_is_replaced() {
    let now = Instant::now();
    for begun in [false, true] {
        let plan = ObservedPlan::of_unknown_age(now, plan_record(begun));
        assert_eq!(plan.decide(now + SECOND * 121, SECOND * 2), PlanDecision::Replace);
    }
}

#[test]
fn plan_record_survives_encoding() {
    let record = plan_record(true);
    let bytes = record.encode().expect("encodable record");
    assert_eq!(PlanRecord::decode(&bytes), Ok(record));
    assert!(PlanRecord::decode(b"{}").is_err());
}
