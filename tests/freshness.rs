//! Tests of when a configuration is recent enough to accept callers' keys.

use apricotrun::coordination::freshness::{FreshnessMonitor, FreshnessRecord};
use apricotrun::coordination::store::StoreEra;
use apricotrun::prelude::*;

const ERA: StoreEra = StoreEra(4);
const LIMIT: Duration = Duration::from_millis(3_750);

fn at(ms: u64) -> BootTime {
    BootTime(Duration::from_millis(ms))
}

/// Returns a monitor with a configuration of revision 7 in force, which the store showed at `ms`.
fn monitor(ms: u64) -> FreshnessMonitor {
    let mut monitor = FreshnessMonitor::default();
    monitor.set_limit(Some(LIMIT));
    monitor.set_in_force(Revision(7));
    monitor.record_answer(at(ms), ERA);
    monitor
}

fn record(revision: u64, age_ms: u64) -> Option<FreshnessRecord> {
    Some(FreshnessRecord { age: Duration::from_millis(age_ms), revision: Revision(revision) })
}

/// A host that is cut off from everything must stop in time.
#[test]
fn evidence_ends_at_the_limit() {
    let monitor = monitor(1_000);
    assert!(monitor.is_fresh(at(4_749), Revision(7)));
    assert!(!monitor.is_fresh(at(4_750), Revision(7)));
}

/// A host that was suspended wakes with a monotonic clock that has not moved; the boot time has.
#[test]
fn suspension_counts() {
    let clock = apricotrun::state::clock::ManualClock::default();
    clock.advance(Duration::from_secs(1));
    let monitor = monitor(clock.boot().0.as_millis() as u64);
    clock.suspend(Duration::from_secs(10));
    assert!(!monitor.is_fresh(clock.boot(), Revision(7)));
}

#[test]
fn host_without_a_limit_is_always_fresh_and_tells_nothing() {
    let mut monitor = FreshnessMonitor::default();
    monitor.record_answer(at(5), ERA);
    assert!(monitor.is_fresh(at(1_000_000), Revision(0)));
    assert_eq!(monitor.record(at(10)), None);
}

/// A host that has lost the store goes on by the word of one that has not, however long the
/// acknowledgement was on its way.
#[test]
fn acknowledgement_counts_from_the_time_of_its_probe() {
    let mut monitor = monitor(1_000);
    monitor.record_probe(at(4_000), 1);
    monitor.record_acknowledgement(1, record(7, 500));
    assert!(monitor.is_fresh(at(3_500 + 3_749), Revision(7)));
    assert!(!monitor.is_fresh(at(3_500 + 3_750), Revision(7)));
    monitor.record_probe(at(5_000), 2);
    monitor.record_probe(at(5_250), 3);
    // The first probe's acknowledgement comes twice and late; its age does not shrink by that.
    monitor.record_acknowledgement(2, record(7, 1_000));
    monitor.record_acknowledgement(2, record(7, 0));
    monitor.record_acknowledgement(9, record(7, 0));
    assert!(!monitor.is_fresh(at(4_000 + 3_750), Revision(7)));
}

/// Two hosts that have both lost the store must not keep each other fresh.
#[test]
fn hosts_without_the_store_do_not_renew_each_other() {
    let (mut one, mut other) = (monitor(1_000), monitor(1_200));
    for step in 0..40 {
        let now = at(2_000 + step * 250);
        one.record_probe(now, step);
        other.record_probe(now, step);
        let (told, heard) = (one.record(now), other.record(now));
        one.record_acknowledgement(step, heard);
        other.record_acknowledgement(step, told);
    }
    assert!(!one.is_fresh(at(1_200 + 3_750), Revision(7)));
    assert!(!other.is_fresh(at(1_200 + 3_750), Revision(7)));
}

/// After another host has named a later revision, a store that shows the earlier one, as after a
/// return from an older copy, proves nothing.
#[test]
fn earlier_configuration_than_another_host_knows_is_no_evidence() {
    let mut monitor = monitor(1_000);
    monitor.record_probe(at(1_500), 1);
    monitor.record_acknowledgement(1, record(8, 0));
    monitor.record_answer(at(2_000), ERA);
    assert!(monitor.is_fresh(at(4_000), Revision(7)), "its own evidence still holds");
    assert!(!monitor.is_fresh(at(4_750), Revision(7)));
    monitor.set_in_force(Revision(8));
    monitor.record_answer(at(5_000), ERA);
    assert!(monitor.is_fresh(at(8_000), Revision(8)));
    assert!(!monitor.is_fresh(at(5_001), Revision(7)), "a request that still has the old table");
}

/// A store that has returned from an older copy may lack a configuration that it had confirmed,
/// until the operator has written it again.
#[test]
fn answers_right_after_a_return_are_no_evidence() {
    let mut monitor = monitor(1_000);
    monitor.record_answer(at(3_000), StoreEra(5));
    monitor.record_answer(at(4_900), StoreEra(5));
    assert!(!monitor.is_fresh(at(4_950), Revision(7)));
    monitor.record_answer(at(4_950), ERA);
    assert!(!monitor.is_fresh(at(4_950), Revision(7)), "an answer of the earlier era");
    monitor.record_answer(at(5_000), StoreEra(5));
    assert!(monitor.is_fresh(at(5_000), Revision(7)));
}

/// Guards against a host that starts when the store has just returned from an older copy: it accepted
/// keys that its neighbours knew to be withdrawn.
#[test]
fn store_that_has_returned_is_no_evidence_for_a_host_that_starts() {
    let start = |era| {
        let mut monitor = FreshnessMonitor::default();
        monitor.set_limit(Some(LIMIT));
        monitor.mark_restart();
        monitor.set_in_force(Revision(7));
        monitor.record_answer(at(1_000), era);
        monitor
    };
    assert!(start(StoreEra(0)).is_fresh(at(1_001), Revision(7)), "it has never returned");
    let mut alone = start(ERA);
    alone.record_answer(at(2_999), ERA);
    assert!(!alone.is_fresh(at(3_000), Revision(7)));
    alone.record_answer(at(3_000), ERA);
    assert!(alone.is_fresh(at(3_001), Revision(7)), "the operator has written again");
    let mut vouched_for = start(ERA);
    vouched_for.record_probe(at(1_100), 1);
    vouched_for.record_acknowledgement(1, record(7, 500));
    assert!(vouched_for.is_fresh(at(1_200), Revision(7)), "a neighbour knows no later one");
    let mut behind = start(ERA);
    behind.record_probe(at(1_100), 1);
    behind.record_acknowledgement(1, record(9, 500));
    behind.record_answer(at(4_000), ERA);
    assert!(!behind.is_fresh(at(4_001), Revision(7)), "a neighbour knows a later one");
    behind.set_in_force(Revision(9));
    behind.record_answer(at(4_100), ERA);
    assert!(behind.is_fresh(at(4_101), Revision(9)));
}
