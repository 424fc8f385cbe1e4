//! Orders to engines: expired leases, paused holders, and engines with and without a check of
//! fencing tokens.

mod support;

use apricotrun::coordination::orders::{
    EngineOrder, FencingToken, LEASE_TTL, ORDER_TIMEOUT, OrderAction, OrderEvent, OrderOutcome,
    OrderReconciler,
};
use apricotrun::prelude::*;
use apricotrun::state::clock::ManualClock;
use apricotrun::state::fleet::AdapterSpec;
use serde_json::json;
use standins::engine::EngineReport;
use standins::fleet::Fleet;
use std::collections::BTreeSet;
use support::{engine_reports, options, owner_of, set_engine_faults, start, wait_until};

const SECOND: Duration = Duration::from_secs(1);

struct Harness {
    clock: ManualClock,
    reconciler: OrderReconciler,
}

fn engine(name: &str, checks_fencing: bool) -> UpstreamSpec {
    UpstreamSpec {
        address: "127.0.0.1:1".parse().expect("valid address"),
        checks_fencing,
        domain: "tyrol-a".parse().expect("valid name"),
        draining: false,
        incarnation: Incarnation::default(),
        name: name.parse().expect("valid name"),
        kv_blocks: None,
        role: UpstreamRole::Decode,
        slots: Slots(1),
        software: SoftwareVersion::default(),
    }
}

fn adapter(name: &str) -> AdapterSpec {
    AdapterSpec { name: name.to_owned(), path: format!("/weights/{name}") }
}

impl Harness {
    /// Returns the owner of two engines, of which only "checks" checks fencing tokens.
    fn owner() -> Self {
        let clock = ManualClock::default();
        let mut harness = Self { reconciler: OrderReconciler::new(clock.now()), clock };
        let engines = vec![engine("checks", true), engine("ignores", false)];
        harness.handle_event(OrderEvent::Configure(Some(vec![adapter("ski")]), engines));
        let actions = harness.handle_event(OrderEvent::Owner(true));
        assert_eq!(actions.len(), 2, "both engines are read: {actions:?}");
        harness
    }

    fn handle_event(&mut self, event: OrderEvent) -> Vec<OrderAction> {
        self.reconciler.handle(self.clock.now(), event)
    }

    fn advance(&mut self, time: Duration) -> Vec<OrderAction> {
        self.clock.advance(time);
        self.handle_event(OrderEvent::Tick)
    }

    fn observed(&mut self, name: &str, adapters: &[&str]) -> Vec<OrderAction> {
        let adapters: BTreeSet<_> = adapters.iter().map(|name| (*name).to_owned()).collect();
        self.handle_event(OrderEvent::Observed(name.parse().expect("valid name"), adapters))
    }

    fn granted(&mut self, fence: u64, released: bool) -> Vec<OrderAction> {
        let requested_at = self.clock.now();
        self.handle_event(OrderEvent::LeaseGranted {
            requested_at,
            released,
            fence: FencingToken(fence),
        })
    }

    fn finish(&mut self, name: &str, outcome: OrderOutcome) -> Vec<OrderAction> {
        self.handle_event(OrderEvent::Ended(name.parse().expect("valid name"), outcome))
    }
}

fn sent(actions: &[OrderAction]) -> Vec<(String, u64, EngineOrder)> {
    let order = |action: &OrderAction| match action {
        OrderAction::Send { fence, order, upstream, .. } => {
            Some((upstream.name.to_string(), fence.0, order.clone()))
        }
        _ => None,
    };
    actions.iter().filter_map(order).collect()
}

fn load(name: &str, fence: u64) -> (String, u64, EngineOrder) {
    (name.to_owned(), fence, EngineOrder::Load(adapter("ski")))
}

#[test]
fn drift_is_repaired_under_a_lease_that_is_then_released() {
    let mut harness = Harness::owner();
    assert_eq!(harness.observed("checks", &[]), [OrderAction::Acquire]);
    assert!(harness.observed("ignores", &["ski"]).is_empty());
    assert_eq!(sent(&harness.granted(7, true)), [load("checks", 7)]);
    let actions = harness.finish("checks", OrderOutcome::Done);
    assert!(matches!(actions.as_slice(), [OrderAction::Observe(_), OrderAction::Release(_)]));
    assert!(harness.observed("checks", &["ski"]).is_empty());
}

#[test]
fn engines_of_a_template_without_adapters_are_left_as_they_are() {
    let mut harness = Harness::owner();
    harness.handle_event(OrderEvent::Configure(None, vec![engine("checks", true)]));
    assert!(harness.observed("checks", &["by-hand"]).is_empty());
    let actions =
        harness.handle_event(OrderEvent::Configure(Some(Vec::new()), vec![engine("checks", true)]));
    assert!(
        actions.contains(&OrderAction::Acquire),
        "an empty list unloads everything: {actions:?}"
    );
}

#[test]
fn adapter_that_is_no_longer_wanted_is_unloaded() {
    let mut harness = Harness::owner();
    harness.observed("checks", &["old", "ski"]);
    let orders = sent(&harness.granted(1, true));
    assert_eq!(orders, [("checks".to_owned(), 1, EngineOrder::Unload("old".to_owned()))]);
}

/// Returns the successor of a holder that did not release its lease, after its order to the engine
/// that checks fencing tokens.
fn successor() -> Harness {
    let mut harness = Harness::owner();
    harness.observed("checks", &[]);
    harness.observed("ignores", &[]);
    assert_eq!(
        sent(&harness.granted(8, false)),
        [load("checks", 8)],
        "only the engine that checks fencing tokens"
    );
    harness.finish("checks", OrderOutcome::Done);
    harness.observed("checks", &["ski"]);
    harness
}

/// Lets the lease expire and grants the next one, and returns the orders that are then sent.
fn next_lease(harness: &mut Harness, fence: u64) -> Vec<(String, u64, EngineOrder)> {
    assert!(sent(&harness.advance(LEASE_TTL - SECOND)).is_empty());
    harness.advance(SECOND * 2);
    harness.observed("checks", &["ski"]);
    harness.observed("ignores", &[]);
    sent(&harness.granted(fence, false))
}

#[test]
fn successor_of_an_expired_lease_waits_before_engines_without_fencing() {
    let mut harness = successor();
    assert!(next_lease(&mut harness, 9).is_empty());
    // The successor's own leases are consecutive, so its wait continues across them and ends.
    assert_eq!(next_lease(&mut harness, 10), [load("ignores", 10)]);
}

#[test]
fn intermediate_holder_restarts_the_wait() {
    let mut harness = successor();
    assert!(next_lease(&mut harness, 9).is_empty());
    assert!(next_lease(&mut harness, 11).is_empty(), "another daemon held the lease with token 10");
}

#[test]
fn paused_holder_sends_nothing_after_its_lease() {
    let mut harness = Harness::owner();
    harness.observed("checks", &[]);
    // An order in flight keeps the lease from being released.
    assert_eq!(sent(&harness.granted(3, true)), [load("checks", 3)]);
    harness.clock.advance(LEASE_TTL);
    assert!(sent(&harness.observed("ignores", &[])).is_empty());
}

#[test]
fn order_has_a_deadline_before_the_lease_ends() {
    let mut harness = Harness::owner();
    harness.observed("checks", &[]);
    let granted_at = harness.clock.now();
    let actions = harness.granted(3, true);
    let deadline = actions.iter().find_map(|action| match action {
        OrderAction::Send { deadline, .. } => Some(*deadline),
        _ => None,
    });
    assert!(deadline.expect("an order") < granted_at + LEASE_TTL);
    assert!(ORDER_TIMEOUT > Duration::ZERO);
}

#[test]
fn stale_token_ends_the_lease() {
    let mut harness = Harness::owner();
    harness.observed("checks", &[]);
    harness.granted(3, true);
    harness.finish("checks", OrderOutcome::Stale);
    assert!(sent(&harness.observed("checks", &[])).is_empty());
    assert_eq!(harness.advance(SECOND * 2)[0], OrderAction::Observe(engine("checks", true)));
}

#[test]
fn former_owner_sends_no_orders_and_releases_the_lease() {
    let mut harness = Harness::owner();
    harness.observed("checks", &[]);
    harness.granted(3, true);
    assert!(harness.handle_event(OrderEvent::Owner(false)).is_empty(), "an order is in flight");
    let actions = harness.finish("checks", OrderOutcome::Done);
    assert_eq!(actions, [OrderAction::Release(FencingToken(3))]);
    assert!(harness.observed("ignores", &[]).is_empty());
}

#[test]
fn lease_with_an_order_of_unknown_outcome_is_not_released() {
    let mut harness = Harness::owner();
    harness.observed("checks", &[]);
    harness.granted(3, true);
    assert!(harness.finish("checks", OrderOutcome::Unknown).is_empty());
    assert!(harness.handle_event(OrderEvent::Owner(false)).is_empty());
}

#[test]
fn lease_after_an_expired_one_is_not_released_during_the_wait() {
    let mut harness = Harness::owner();
    harness.observed("checks", &[]);
    harness.observed("ignores", &[]);
    harness.granted(3, false);
    harness.finish("checks", OrderOutcome::Done);
    assert!(harness.handle_event(OrderEvent::Owner(false)).is_empty());
}

fn apply_adapters(fleet: &Fleet, names: &[&str]) {
    let mut text = fleet.llm_template();
    text = text.replace("role = \"decode\"", "role = \"decode\"\nchecks_fencing = true");
    for name in names {
        text += &format!("\n[[adapter]]\nname = \"{name}\"\npath = \"/weights/{name}\"\n");
    }
    fleet.write("adapters.toml", &text).expect("writable file");
    fleet.ctl(&["apply", "--wait", "30", "adapters.toml"]).expect("configuration in force");
}

fn all_have(fleet: &Fleet, names: &[&str]) -> bool {
    let wanted: BTreeSet<_> = names.iter().map(|name| (*name).to_owned()).collect();
    engine_reports(fleet, "").iter().all(|report| report.adapters == wanted)
}

/// Asserts that an engine never accepted an order with a lower fencing token after a higher one.
fn assert_tokens_ascend(report: &EngineReport) {
    let fences: Vec<_> = report.orders.iter().map(|(fence, _)| *fence).collect();
    assert!(fences.is_sorted(), "{:?}", report.orders);
}

#[test]
fn engines_get_the_adapters_of_the_template() {
    let fleet = start(options());
    apply_adapters(&fleet, &["ski", "boot"]);
    wait_until("all engines have both", || all_have(&fleet, &["boot", "ski"]));
    apply_adapters(&fleet, &["boot"]);
    wait_until("all engines have one", || all_have(&fleet, &["boot"]));
    let again = engine_reports(&fleet, "").iter().map(|report| report.orders.len()).max();
    assert_eq!(again, Some(3), "no order is sent twice");
}

#[test]
fn paused_holder_of_an_expired_lease_does_no_harm() {
    let mut options = options();
    options.daemons = 3;
    let fleet = start(options);
    set_engine_faults(&fleet, "", &json!({ "checks_fencing": true, "slow_order_ms": 1_000 }));
    let owner = owner_of(&fleet, "fitting-llm");
    apply_adapters(&fleet, &["ski", "boot"]);
    wait_until("the first orders are in flight", || {
        engine_reports(&fleet, "").iter().any(|report| !report.orders.is_empty())
    });
    fleet.daemons[owner].signal("STOP");
    std::thread::sleep(SECOND * 3);
    // The store expires the lease while its paused holder still takes it for valid.
    fleet.store.expire_leases();
    wait_until("the successor is done with the engines that check", || {
        let reports = engine_reports(&fleet, "decode");
        reports.iter().all(|report| report.adapters.len() == 2)
    });
    fleet.daemons[owner].signal("CONT");
    wait_until("all engines have both", || all_have(&fleet, &["boot", "ski"]));
    std::thread::sleep(SECOND * 2);
    assert!(all_have(&fleet, &["boot", "ski"]));
    engine_reports(&fleet, "decode").iter().for_each(assert_tokens_ascend);
}

#[test]
fn lost_adapter_is_loaded_again() {
    let fleet = start(options());
    apply_adapters(&fleet, &["ski"]);
    wait_until("all engines have it", || all_have(&fleet, &["ski"]));
    let engine = fleet.engines.values().next().expect("an engine").address;
    let url = format!("http://{engine}/v1/unload_lora_adapter");
    support::post(&url, &json!({ "lora_name": "ski" }));
    assert!(!all_have(&fleet, &["ski"]));
    wait_until("the owner repairs it", || all_have(&fleet, &["ski"]));
}
