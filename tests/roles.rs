//! The plan of roles: which prefill workers decode from now on, and who leaves them alone meanwhile.

use apricotrun::coordination::registry::{RegistryEvent, UpstreamRecord, UpstreamRegistry};
use apricotrun::coordination::roles::{
    ObservedPlan, PlanDecision, PlanRecord, RequestShape, RolePlan, WorkerSnapshot,
};
use apricotrun::prelude::*;
use std::collections::BTreeMap;

const SECOND: Duration = Duration::from_secs(1);

fn worker(index: usize, domain: &str, role: UpstreamRole) -> WorkerSnapshot {
    WorkerSnapshot {
        domain: domain.parse().expect("a name"),
        incarnation: Incarnation(index as u64),
        name: format!("w{index}").parse().expect("a name"),
        role,
    }
}

/// Cornice's fitting desks: 14 workers, 5 of which compute prompts though the load needs 3 or 4.
#[test]
fn surplus_prefill_workers_decode_those_of_the_fullest_domains_first() {
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

#[test]
fn too_few_prefill_workers_are_left_as_they_are() {
    let shape = RequestShape { parallel: 20.0, prefill: 0.5, run: 1.0 };
    let workers = [worker(0, "a", UpstreamRole::Prefill), worker(1, "a", UpstreamRole::Decode)];
    assert_eq!(RolePlan::balance(&shape, &workers), RolePlan::default());
}

fn record(incarnation: u64, role: UpstreamRole) -> UpstreamRecord {
    UpstreamRecord {
        address: "127.0.0.1:8080".parse().expect("an address"),
        domain: "tyrol-a".parse().expect("a name"),
        draining: false,
        incarnation: Incarnation(incarnation),
        role,
        service: "llm".parse().expect("a name"),
        slots: Slots(32),
    }
}

fn plan_record(begun: bool) -> PlanRecord {
    let name: UpstreamName = "w1".parse().expect("a name");
    let workers = BTreeMap::from([(name, (Incarnation(1), UpstreamRole::Decode))]);
    PlanRecord { begun, holder: "h1".parse().expect("a name"), plan: RolePlan { workers } }
}

fn planned(now: Instant) -> UpstreamRegistry {
    let name: UpstreamName = "w1".parse().expect("a name");
    let mut registry = UpstreamRegistry::default();
    let plan = ObservedPlan::new(now, plan_record(true), now + SECOND * 8);
    let service = "llm".parse().expect("a name");
    registry.handle(now, RegistryEvent::Planned(service, plan));
    registry.handle(now, RegistryEvent::Written(name, record(1, UpstreamRole::Prefill)));
    registry
}

fn takes_work(registry: &UpstreamRegistry, now: Instant) -> bool {
    registry.takes_work(now, &"w1".parse().expect("a name"))
}

#[test]
fn changing_worker_is_left_alone_until_it_is_back() {
    let now = Instant::now();
    let mut registry = planned(now);
    assert!(!takes_work(&registry, now));
    let changed = record(1, UpstreamRole::Decode);
    let name: UpstreamName = "w1".parse().expect("a name");
    registry.handle(now + SECOND * 3, RegistryEvent::Written(name, changed));
    assert!(!takes_work(&registry, now + SECOND * 7), "its record runs ahead of it");
    assert!(takes_work(&registry, now + SECOND * 8));
}

#[test]
fn worker_whose_order_was_lost_keeps_its_role() {
    let now = Instant::now();
    let registry = planned(now);
    assert!(!takes_work(&registry, now + SECOND * 19), "the order may be carried out late");
    assert!(takes_work(&registry, now + SECOND * 20));
}

#[test]
fn worker_that_restarted_is_not_the_one_of_the_plan() {
    let now = Instant::now();
    let mut registry = planned(now);
    let name: UpstreamName = "w1".parse().expect("a name");
    let restarted = record(2, UpstreamRole::Prefill);
    registry.handle(now, RegistryEvent::Written(name, restarted));
    assert!(takes_work(&registry, now));
}

/// A planner that was lost before it gave an order left its workers idle for 20 s and the fleet as it
/// was for good (cornice-fleet-grown trouble-3, the host that wrote last is replaced).
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
        "its orders may be under way"
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
fn plan_is_the_same_after_the_store() {
    let record = plan_record(true);
    let bytes = record.encode().expect("it is encoded");
    assert_eq!(PlanRecord::decode(&bytes), Ok(record));
    assert!(PlanRecord::decode(b"{}").is_err());
}
