//! Tests of how the parts of prompts that crash upstreams are found.

use apricotrun::coordination::crashes::CrashLedger;
use apricotrun::coordination::crashing_parts::PartLedger;
use apricotrun::coordination::messages::{CrashReport, PartHistory};
use apricotrun::prelude::*;

const FIRST: PromptPart = PromptPart(1);
const BAD: PromptPart = PromptPart(2);
const OTHER: PromptPart = PromptPart(3);
const SECOND: Duration = Duration::from_secs(1);

/// A ledger and the time that has passed.
struct LedgerHarness {
    ledger: PartLedger,
    now: Instant,
}

impl LedgerHarness {
    fn new() -> Self {
        Self { ledger: PartLedger::default(), now: Instant::now() }
    }

    /// Reports that upstream `number` ended under requests with these parts.
    fn crash(&mut self, number: u32, requests: &[&[PromptPart]]) {
        let upstream = format!("u{number}").parse().expect("a valid name");
        for parts in requests {
            self.ledger.record_crash(self.now, &upstream, parts);
        }
    }

    /// Reports crashes of one upstream a second.
    fn crashes(&mut self, numbers: std::ops::Range<u32>, requests: &[&[PromptPart]]) {
        for number in numbers {
            self.now += SECOND;
            self.crash(number, requests);
        }
    }

    fn refused(&self) -> Vec<PromptPart> {
        self.ledger.refused().iter().copied().collect()
    }

    fn trial_wait(&self) -> Option<Duration> {
        self.ledger.check(self.now, &[FIRST, BAD]).map(|(wait, _)| wait)
    }
}

#[test]
fn part_is_refused_after_three_crashes_and_the_parts_before_it_are_not() {
    let mut harness = LedgerHarness::new();
    harness.crashes(0..2, &[&[FIRST, BAD]]);
    assert_eq!(harness.refused(), []);
    harness.crashes(2..3, &[&[FIRST, BAD]]);
    assert_eq!(harness.refused(), [BAD]);
}

/// Other requests on the same upstreams are lost without output too, and reported before or after.
#[test]
fn sound_requests_lost_in_the_same_crashes_are_not_blamed_in_any_order() {
    for requests in [[&[FIRST, BAD][..], &[FIRST]], [&[FIRST], &[FIRST, BAD]]] {
        let mut harness = LedgerHarness::new();
        harness.crashes(0..9, &requests);
        assert_eq!(harness.refused(), [BAD]);
    }
}

#[test]
fn first_part_is_refused_if_it_crashes_upstreams_with_different_parts_after_it() {
    let mut harness = LedgerHarness::new();
    for number in 0..3 {
        harness.crashes(number..number + 1, &[&[BAD, PromptPart(10 + u64::from(number))]]);
    }
    assert_eq!(harness.refused(), [BAD]);
}

/// A lost rack or a lost power supply takes many upstreams at once, with whatever they run.
#[test]
fn upstreams_that_end_together_refuse_nothing() {
    let mut harness = LedgerHarness::new();
    for number in 0..14 {
        harness.crash(number, &[&[FIRST, BAD]]);
        harness.now += Duration::from_millis(15);
    }
    assert_eq!(harness.refused(), []);
}

#[test]
fn reports_of_one_upstream_within_a_second_count_once() {
    let mut harness = LedgerHarness::new();
    for _ in 0..9 {
        harness.crash(0, &[&[BAD], &[BAD]]);
        harness.now += Duration::from_millis(100);
    }
    assert_eq!(harness.refused(), []);
}

#[test]
fn part_with_which_a_later_run_writes_is_allowed_again() {
    let mut harness = LedgerHarness::new();
    harness.crashes(0..3, &[&[BAD]]);
    let before = harness.now - SECOND * 9;
    assert_eq!(
        harness.ledger.record_output(harness.now, before, &[BAD]),
        [],
        "it began before the crashes"
    );
    assert_eq!(harness.refused(), [BAD]);
    assert_eq!(harness.ledger.record_output(harness.now, harness.now, &[BAD, OTHER]), [BAD]);
    assert_eq!(harness.refused(), []);
    harness.crashes(3..5, &[&[BAD]]);
    assert_eq!(harness.refused(), [], "earlier crashes no longer count");
}

/// Each trial of a part that still crashes costs an upstream, so that they become rare.
#[test]
fn trials_become_rarer_with_each_that_crashes_an_upstream() {
    let mut harness = LedgerHarness::new();
    harness.crashes(0..3, &[&[FIRST, BAD]]);
    for (number, wait) in [(3, 2), (4, 16), (5, 128)] {
        assert_eq!(harness.trial_wait(), Some(SECOND * wait));
        harness.now += SECOND * wait;
        assert_eq!(harness.trial_wait(), Some(Duration::ZERO));
        harness.ledger.begin_trial(harness.now, &[BAD]);
        assert_eq!(harness.trial_wait(), Some(SECOND * wait), "one request at a time");
        harness.crash(number, &[&[FIRST, BAD]]);
    }
    assert_eq!(harness.ledger.check(harness.now, &[FIRST]), None);
}

/// A daemon that has started later refuses the same, and both agree again after a part is cleared,
/// in whichever direction they exchange what they know.
#[test]
fn histories_bring_daemons_to_the_same_refusals() {
    let mut harness = LedgerHarness::new();
    harness.crashes(0..3, &[&[FIRST, BAD]]);
    harness.now += SECOND * 10;
    let mut late = PartLedger::default();
    late.merge(harness.now, &harness.ledger.histories(harness.now));
    assert_eq!(late.refused(), harness.ledger.refused());
    harness.now += SECOND;
    late.merge(harness.now, &harness.ledger.histories(harness.now));
    assert_eq!(late.check(harness.now, &[BAD]), harness.ledger.check(harness.now, &[BAD]));
    harness.ledger.record_output(harness.now, harness.now, &[FIRST, BAD]);
    harness.now += SECOND;
    harness.ledger.merge(harness.now, &late.histories(harness.now));
    assert_eq!(harness.refused(), [], "the crashes were before the run that was sound");
    late.merge(harness.now, &harness.ledger.histories(harness.now));
    assert!(late.refused().is_empty());
}

/// Whole requests are refused by a daemon that has started later as parts are.
#[test]
fn history_of_a_request_that_crashed_upstreams_reaches_a_late_daemon() {
    let now = Instant::now() + SECOND * 60;
    let fingerprint = Fingerprint::of(&[b"request"]);
    let mut ledger = CrashLedger::default();
    for (index, attempt) in ["a.1.7.1", "a.1.7.2", "b.1.3.1"].iter().enumerate() {
        let at = now - SECOND * (2 - index as u32);
        let upstream = format!("u{index}").parse().expect("a valid name");
        let attempt = attempt.parse().expect("a valid id");
        let parts = Vec::new();
        ledger.record(at, &CrashReport { attempt, fingerprint, parts, upstream, weight: 1 });
    }
    let mut late = CrashLedger::default();
    assert_ne!(late.digest(), ledger.digest());
    late.merge(now + SECOND, &ledger.histories(now + SECOND));
    assert_eq!(late.digest(), ledger.digest());
    assert_eq!(late.weight(now + SECOND, &fingerprint), 3);
}

/// Guards against a history that clears a refused part while another fills the ledger: the part was
/// looked up although nothing was known of it any more.
#[test]
fn full_ledger_keeps_the_crashes_of_refused_parts_until_they_are_cleared() {
    let mut harness = LedgerHarness::new();
    harness.crashes(0..3, &[&[BAD]]);
    for number in 3..400 {
        let other = PromptPart(u64::from(number) + 100);
        harness.crashes(number..number + 1, &[&[other]]);
    }
    assert_eq!(harness.refused(), [BAD], "older than the others, but still needed");
    let crashes = (0..300).map(|number| {
        let upstream = format!("w{number}").parse().expect("a valid name");
        (upstream, Duration::from_millis(number * 2))
    });
    let crashes = crashes.collect();
    let cleared = PartHistory { part: BAD, crashes: Vec::new(), depth: 0, sound: Some(SECOND) };
    let filling = PartHistory { part: OTHER, crashes, depth: 0, sound: None };
    harness.ledger.merge(harness.now, &[cleared, filling]);
    assert_eq!(harness.refused(), [OTHER]);
}
