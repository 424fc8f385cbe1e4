//! Orders to engines: lapsed leases, paused holders, engines that check fencing numbers and those
//! that do not.

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

struct Bench {
    clock: ManualClock,
    keeper: OrderReconciler,
}

fn engine(name: &str, checks_fencing: bool) -> UpstreamSpec {
    UpstreamSpec {
        address: "127.0.0.1:1".parse().expect("an address"),
        checks_fencing,
        domain: "tyrol-a".parse().expect("a name"),
        draining: false,
        incarnation: Incarnation::default(),
        name: name.parse().expect("a name"),
        kv_blocks: None,
        role: UpstreamRole::Decode,
        slots: Slots(1),
    }
}

fn adapter(name: &str) -> AdapterSpec {
    AdapterSpec { name: name.to_owned(), path: format!("/weights/{name}") }
}

impl Bench {
    /// Returns an owner of one engine that checks fencing numbers and one that does not.
    fn owner() -> Self {
        let clock = ManualClock::default();
        let mut bench = Self { keeper: OrderReconciler::new(clock.now()), clock };
        let engines = vec![engine("checks", true), engine("ignores", false)];
        bench.feed(OrderEvent::Configure(Some(vec![adapter("ski")]), engines));
        let actions = bench.feed(OrderEvent::Owner(true));
        assert_eq!(actions.len(), 2, "both engines are looked at: {actions:?}");
        bench
    }

    fn feed(&mut self, event: OrderEvent) -> Vec<OrderAction> {
        self.keeper.handle(self.clock.now(), event)
    }

    fn pass(&mut self, time: Duration) -> Vec<OrderAction> {
        self.clock.advance(time);
        self.feed(OrderEvent::Tick)
    }

    fn observed(&mut self, name: &str, adapters: &[&str]) -> Vec<OrderAction> {
        let adapters: BTreeSet<_> = adapters.iter().map(|name| (*name).to_owned()).collect();
        self.feed(OrderEvent::Observed(name.parse().expect("a name"), adapters))
    }

    fn granted(&mut self, fence: u64, clean: bool) -> Vec<OrderAction> {
        let requested_at = self.clock.now();
        self.feed(OrderEvent::LeaseGranted { requested_at, clean, fence: FencingToken(fence) })
    }

    fn ended(&mut self, name: &str, outcome: OrderOutcome) -> Vec<OrderAction> {
        self.feed(OrderEvent::Ended(name.parse().expect("a name"), outcome))
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
fn drift_is_repaired_under_a_lease_that_is_then_given_back() {
    let mut bench = Bench::owner();
    assert_eq!(bench.observed("checks", &[]), [OrderAction::Acquire]);
    assert!(bench.observed("ignores", &["ski"]).is_empty());
    assert_eq!(sent(&bench.granted(7, true)), [load("checks", 7)]);
    let actions = bench.ended("checks", OrderOutcome::Done);
    assert!(matches!(actions.as_slice(), [OrderAction::Observe(_), OrderAction::Release(_)]));
    assert!(bench.observed("checks", &["ski"]).is_empty());
}

#[test]
fn engines_of_a_template_without_adapters_are_left_as_they_are() {
    let mut bench = Bench::owner();
    bench.feed(OrderEvent::Configure(None, vec![engine("checks", true)]));
    assert!(bench.observed("checks", &["by-hand"]).is_empty());
    let actions = bench.feed(OrderEvent::Configure(Some(Vec::new()), vec![engine("checks", true)]));
    assert!(actions.contains(&OrderAction::Acquire), "an empty list is a wish: {actions:?}");
}

#[test]
fn adapter_that_is_no_longer_wanted_is_unloaded() {
    let mut bench = Bench::owner();
    bench.observed("checks", &["old", "ski"]);
    let orders = sent(&bench.granted(1, true));
    assert_eq!(orders, [("checks".to_owned(), 1, EngineOrder::Unload("old".to_owned()))]);
}

/// Brings a successor to the point where it has ordered the engine that checks.
fn successor() -> Bench {
    let mut bench = Bench::owner();
    bench.observed("checks", &[]);
    bench.observed("ignores", &[]);
    assert_eq!(sent(&bench.granted(8, false)), [load("checks", 8)], "only the one that checks");
    bench.ended("checks", OrderOutcome::Done);
    bench.observed("checks", &["ski"]);
    bench
}

/// Lets the lease run out and asks for the next one.
fn next_lease(bench: &mut Bench, fence: u64) -> Vec<(String, u64, EngineOrder)> {
    assert!(sent(&bench.pass(LEASE_TTL - SECOND)).is_empty());
    bench.pass(SECOND * 2);
    bench.observed("checks", &["ski"]);
    bench.observed("ignores", &[]);
    sent(&bench.granted(fence, false))
}

#[test]
fn successor_of_a_lapsed_lease_waits_before_engines_that_do_not_check() {
    let mut bench = successor();
    assert!(next_lease(&mut bench, 9).is_empty());
    // Its own leases follow each other, so the wait goes on and ends.
    assert_eq!(next_lease(&mut bench, 10), [load("ignores", 10)]);
}

#[test]
fn holder_in_between_starts_the_wait_anew() {
    let mut bench = successor();
    assert!(next_lease(&mut bench, 9).is_empty());
    assert!(next_lease(&mut bench, 11).is_empty(), "somebody else had number 10");
}

#[test]
fn paused_holder_sends_nothing_after_its_lease() {
    let mut bench = Bench::owner();
    bench.observed("checks", &[]);
    // An order on its way keeps the lease from being given back.
    assert_eq!(sent(&bench.granted(3, true)), [load("checks", 3)]);
    bench.clock.advance(LEASE_TTL);
    assert!(sent(&bench.observed("ignores", &[])).is_empty());
}

#[test]
fn order_says_until_when_it_may_be_sent() {
    let mut bench = Bench::owner();
    bench.observed("checks", &[]);
    let granted_at = bench.clock.now();
    let actions = bench.granted(3, true);
    let until = actions.iter().find_map(|action| match action {
        OrderAction::Send { until, .. } => Some(*until),
        _ => None,
    });
    assert!(until.expect("an order") < granted_at + LEASE_TTL);
    assert!(ORDER_TIMEOUT > Duration::ZERO);
}

#[test]
fn stale_number_ends_the_lease() {
    let mut bench = Bench::owner();
    bench.observed("checks", &[]);
    bench.granted(3, true);
    bench.ended("checks", OrderOutcome::Stale);
    assert!(sent(&bench.observed("checks", &[])).is_empty());
    assert_eq!(bench.pass(SECOND * 2)[0], OrderAction::Observe(engine("checks", true)));
}

#[test]
fn daemon_that_lost_the_shard_orders_nothing_and_gives_the_lease_back() {
    let mut bench = Bench::owner();
    bench.observed("checks", &[]);
    bench.granted(3, true);
    assert!(bench.feed(OrderEvent::Owner(false)).is_empty(), "an order is on its way");
    let actions = bench.ended("checks", OrderOutcome::Done);
    assert_eq!(actions, [OrderAction::Release(FencingToken(3))]);
    assert!(bench.observed("ignores", &[]).is_empty());
}

#[test]
fn lease_with_an_order_that_may_still_run_is_not_given_back_as_clean() {
    let mut bench = Bench::owner();
    bench.observed("checks", &[]);
    bench.granted(3, true);
    assert!(bench.ended("checks", OrderOutcome::Unknown).is_empty());
    assert!(bench.feed(OrderEvent::Owner(false)).is_empty());
}

#[test]
fn lease_after_a_lapsed_one_is_not_given_back_as_clean_too_early() {
    let mut bench = Bench::owner();
    bench.observed("checks", &[]);
    bench.observed("ignores", &[]);
    bench.granted(3, false);
    bench.ended("checks", OrderOutcome::Done);
    assert!(bench.feed(OrderEvent::Owner(false)).is_empty());
}

fn apply_adapters(fleet: &Fleet, names: &[&str]) {
    let mut text = fleet.llm_template();
    text = text.replace("role = \"decode\"", "role = \"decode\"\nchecks_fencing = true");
    for name in names {
        text += &format!("\n[[adapter]]\nname = \"{name}\"\npath = \"/weights/{name}\"\n");
    }
    fleet.write("adapters.toml", &text).expect("a file");
    fleet.ctl(&["apply", "--wait", "30", "adapters.toml"]).expect("in force");
}

fn all_have(fleet: &Fleet, names: &[&str]) -> bool {
    let wanted: BTreeSet<_> = names.iter().map(|name| (*name).to_owned()).collect();
    engine_reports(fleet, "").iter().all(|report| report.adapters == wanted)
}

/// Expects that an engine which checks was never told anything with a lower number after a higher.
fn check_fences(report: &EngineReport) {
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
    assert_eq!(again, Some(3), "nothing is ordered twice");
}

#[test]
fn paused_holder_of_a_lapsed_lease_does_no_harm() {
    let mut options = options();
    options.daemons = 3;
    let fleet = start(options);
    set_engine_faults(&fleet, "", &json!({ "checks_fencing": true, "slow_order_ms": 1_000 }));
    let owner = owner_of(&fleet, "fitting-llm");
    apply_adapters(&fleet, &["ski", "boot"]);
    wait_until("the first orders are on their way", || {
        engine_reports(&fleet, "").iter().any(|report| !report.orders.is_empty())
    });
    fleet.daemons[owner].signal("STOP");
    std::thread::sleep(SECOND * 3);
    // The store lets the lease lapse while its holder still believes in it.
    fleet.store.lapse_leases();
    wait_until("the successor finishes at the engines that check", || {
        let reports = engine_reports(&fleet, "decode");
        reports.iter().all(|report| report.adapters.len() == 2)
    });
    fleet.daemons[owner].signal("CONT");
    wait_until("all engines have both", || all_have(&fleet, &["boot", "ski"]));
    std::thread::sleep(SECOND * 2);
    assert!(all_have(&fleet, &["boot", "ski"]));
    engine_reports(&fleet, "decode").iter().for_each(check_fences);
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
