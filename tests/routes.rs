//! Tests that routes are found by host and path prefix, and that only a newer table replaces the
//! current one.

use apricotrun::prelude::*;
use apricotrun::state::routes::{
    ActiveRoutes, CallerLimits, RouteKind, RouteRule, RouteTable, RouteTarget,
};
use std::collections::BTreeMap;

fn rule(name: &str, targets: &[(&str, u32)]) -> RouteRule {
    let target = |(service, weight): &(&str, u32)| RouteTarget {
        service: service.parse().expect("valid name"),
        weight: *weight,
    };
    RouteRule {
        open_to_all: false,
        inter_event_target: None,
        kind: RouteKind::Idempotent,
        latency_target: Duration::from_millis(150),
        name: name.to_owned(),
        priority: 0,
        max_runs: 1,
        targets: targets.iter().map(target).collect(),
        timeout: Duration::from_secs(1),
    }
}

fn table(revision: u64) -> RouteTable {
    let mut table = RouteTable::new(Revision(revision), BTreeMap::new(), CallerLimits::default());
    table.insert("desk.example", "/a/", rule("short", &[("app", 1)]));
    table.insert("desk.example", "/a/b/", rule("long", &[("app", 1)]));
    table
}

fn find_name(path: &str) -> Option<String> {
    table(1).find("Desk.Example:8080", path).map(|rule| rule.name.clone())
}

#[test]
fn longest_prefix_wins() {
    assert_eq!(find_name("/a/b/c").as_deref(), Some("long"));
    assert_eq!(find_name("/a/b/").as_deref(), Some("long"));
    assert_eq!(find_name("/a/b").as_deref(), Some("short"), "a prefix ends with its slash");
    assert_eq!(find_name("/a/bc/d").as_deref(), Some("short"));
    assert_eq!(find_name("/b/"), None);
    assert_eq!(table(1).find("other.example", "/a/").map(|rule| rule.name.clone()), None);
}

#[test]
fn requests_are_split_by_weight() {
    let rule = rule("split", &[("old", 90), ("new", 10), ("none", 0)]);
    let selected = |sample: f64| rule.select_service(sample).map(ServiceName::as_str);
    assert_eq!(selected(0.0), Some("old"));
    assert_eq!(selected(0.899), Some("old"));
    assert_eq!(selected(0.901), Some("new"));
    assert_eq!(selected(0.999_999), Some("new"));
}

#[test]
fn older_route_table_is_rejected() {
    let mut routes = ActiveRoutes::default();
    assert!(routes.update(table(7)));
    assert!(!routes.update(table(7)), "the same revision");
    assert!(!routes.update(table(5)));
    assert!(routes.update(table(12)));
    assert_eq!(routes.current().map(|table| table.revision), Some(Revision(12)));
}
