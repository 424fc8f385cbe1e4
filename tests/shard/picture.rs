//! Tests of plain calls at upstreams that report their load: uneven speeds, uneven demand, and many
//! hosts with the same news.

use crate::harness::{account, admission_request, daemon, granted};
use apricotrun::coordination::messages::{AdmissionRequest, ReleaseOutcome, ShardMessage};
use apricotrun::coordination::shard::{
    LoadReport, ShardEvent, ShardLedger, ShardRole, UpstreamNews,
};
use apricotrun::prelude::*;
use apricotrun::state::fleet::AccountQuota;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standins::fixtures::{template, upstream};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
const SLOTS: u32 = 6;
const MILLI: Duration = Duration::from_millis(1);
const REMOTE_COST: Option<Duration> = Some(Duration::from_millis(5));

/// One entry daemon in failure domain `a`, with one upstream in each of four.
struct EntryHarness {
    entry: String,
    ledger: ShardLedger,
    now: Instant,
    sequence: u64,
}

fn report(queue: u32, slowness: u32) -> LoadReport {
    LoadReport {
        running: queue.min(SLOTS),
        slowness: SlownessPercent(slowness),
        slots: Slots(SLOTS),
        waiting: queue.saturating_sub(SLOTS),
    }
}

fn name(index: usize) -> UpstreamName {
    format!("u{index}").parse().expect("a valid name")
}

impl EntryHarness {
    fn new(now: Instant, entry: &str, domain: usize, remote_cost: Option<Duration>) -> Self {
        let own: DomainName = DOMAINS[domain].parse().expect("a valid name");
        let mut ledger = ShardLedger::new(own);
        let upstreams = DOMAINS.iter().enumerate().map(|(index, domain)| {
            let domain = domain.parse().expect("a valid name");
            upstream(name(index).as_str(), &domain, UpstreamRole::Plain, SLOTS)
        });
        let template = ServiceTemplate {
            placement: PlacementScope::Entry,
            remote_cost,
            ..template("app", upstreams.collect())
        };
        let quota = AccountQuota { ceiling: 1.0, max_waiting: 50, share: 1.0 };
        let quotas = BTreeMap::from([(account("desk"), quota)]);
        ledger.handle(now, ShardEvent::Configure(Arc::new(template), quotas));
        let live = BTreeSet::from([daemon(entry)]);
        let members =
            ShardEvent::Members { live: live.clone(), local: live, role: ShardRole::Owner };
        ledger.handle(now, members);
        let summary = ShardMessage::Summary { count: 0, digest: 0 };
        ledger.handle(now, ShardEvent::Message(daemon(entry), summary));
        Self { entry: entry.to_owned(), ledger, now, sequence: 0 }
    }

    fn report(&mut self, index: usize, report: LoadReport) {
        let event = ShardEvent::Reported(name(index), Incarnation(0), report, None);
        self.ledger.handle(self.now, event);
    }

    /// Returns the attempt of a further call and the upstream that it is sent to.
    fn place(&mut self) -> Option<(AttemptId, usize)> {
        self.sequence += 1;
        let request = AdmissionRequest {
            prefix: Vec::new(),
            ..admission_request(&self.entry, self.sequence, "desk")
        };
        let message = ShardMessage::RequestAdmission(request);
        let event = ShardEvent::Message(daemon(&self.entry), message);
        let grants = granted(&self.ledger.handle(self.now, event));
        let claim = grants.first()?.claim.clone();
        let index = (0..4).find(|index| name(*index) == claim.runner).expect("an upstream");
        Some((claim.attempt, index))
    }

    fn release(&mut self, attempt: AttemptId, outcome: ReleaseOutcome) {
        let message = ShardMessage::Release(attempt, outcome);
        self.ledger.handle(self.now, ShardEvent::Message(daemon(&self.entry), message));
    }

    /// Places a number of calls one after another, each of which ends before the next.
    fn place_in_turn(&mut self, calls: usize) -> [usize; 4] {
        let mut counts = [0; 4];
        for _ in 0..calls {
            let (attempt, index) = self.place().expect("a grant");
            counts[index] += 1;
            self.release(attempt, ReleaseOutcome::Finished);
        }
        counts
    }
}

fn entry(remote_cost: Option<Duration>) -> EntryHarness {
    EntryHarness::new(Instant::now(), "e0", 0, remote_cost)
}

#[test]
fn calls_stay_at_home_while_that_is_no_slower() {
    let mut harness = entry(Some(Duration::from_millis(15)));
    (0..4).for_each(|index| harness.report(index, report(1, 100)));
    let counts = harness.place_in_turn(4);
    assert!(counts[0] >= 3, "{counts:?}");
}

/// A machine that is slow for 600 ms must not keep the calls of its failure domain.
#[test]
fn calls_leave_a_slow_upstream_and_return_to_it() {
    let mut harness = entry(REMOTE_COST);
    harness.report(0, report(1, 250));
    (1..4).for_each(|index| harness.report(index, report(1, 100)));
    let counts = harness.place_in_turn(6);
    assert_eq!(counts[0], 0, "{counts:?}");
    (0..4).for_each(|index| harness.report(index, report(1, 100)));
    let counts = harness.place_in_turn(4);
    assert!(counts[0] > 0, "{counts:?}");
}

#[test]
fn calls_leave_a_full_upstream() {
    let mut harness = entry(REMOTE_COST);
    harness.report(0, report(12, 100));
    (1..4).for_each(|index| harness.report(index, report(2, 100)));
    let counts = harness.place_in_turn(6);
    assert_eq!(counts[0], 0, "{counts:?}");
}

/// An upstream that falls silent, perhaps because it hangs, must not look idle for ever.
#[test]
fn old_report_of_an_idle_upstream_fades() {
    let mut harness = entry(REMOTE_COST);
    harness.report(1, report(0, 20));
    (2..4).for_each(|index| harness.report(index, report(4, 100)));
    harness.report(0, report(4, 100));
    let counts = harness.place_in_turn(1);
    assert_eq!(counts[1], 1, "{counts:?}");
    harness.now += Duration::from_secs(3);
    let counts = harness.place_in_turn(8);
    assert!(counts[1] < 4, "{counts:?}");
}

/// Hosts that all hear that one upstream is idle must not all run to it.
#[test]
fn hosts_with_the_same_news_spread_their_calls() {
    let now = Instant::now();
    let mut counts = [0; 4];
    for index in 0..80 {
        let mut harness = EntryHarness::new(now, &format!("e{index}"), 0, REMOTE_COST);
        harness.report(0, report(20, 100));
        (1..4).for_each(|index| harness.report(index, report(3, 100)));
        counts[harness.place().expect("a grant").1] += 1;
    }
    assert!(counts[1..].iter().all(|count| (13..=40).contains(count)), "{counts:?}");
}

/// An upstream that lies about its load and fails all calls at once attracts few of them, and another
/// host's word is enough to keep away.
#[test]
fn failing_upstream_with_an_idle_report_is_avoided() {
    let mut harness = entry(REMOTE_COST);
    (1..4).for_each(|index| harness.report(index, report(3, 100)));
    let mut counts = [0; 4];
    for _ in 0..40 {
        harness.report(0, report(0, 0));
        let (attempt, index) = harness.place().expect("a grant");
        counts[index] += 1;
        let outcome =
            if index == 0 { ReleaseOutcome::RunnerFailed } else { ReleaseOutcome::Finished };
        harness.release(attempt, outcome);
    }
    assert!(counts[0] <= 20, "{counts:?}");
    let mut other = entry(REMOTE_COST);
    (0..4).for_each(|index| other.report(index, report(3, 100)));
    let news = UpstreamNews {
        age: MILLI * 100,
        failing: 100,
        incarnation: Incarnation(0),
        name: name(0),
        report: report(3, 100),
    };
    other.ledger.handle(other.now, ShardEvent::News(vec![news]));
    let counts = other.place_in_turn(8);
    assert_eq!(counts[0], 0, "{counts:?}");
}

/// An upstream that fails some of its calls, and is idle for that, must not be preferred to loaded sound
/// ones: a failed call is lost, not late.
#[test]
fn upstream_that_fails_in_part_is_not_preferred_for_being_idle() {
    let mut harness = entry(REMOTE_COST);
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut counts = [0; 4];
    for _ in 0..200 {
        harness.report(0, report(1, 100));
        (1..4).for_each(|index| harness.report(index, report(8, 100)));
        let (attempt, index) = harness.place().expect("a grant");
        counts[index] += 1;
        let fails = index == 0 && rng.random_bool(0.4);
        let outcome = if fails { ReleaseOutcome::RunnerFailed } else { ReleaseOutcome::Finished };
        harness.release(attempt, outcome);
        harness.now += MILLI * 20;
    }
    // With an equal part of the calls it would get a quarter.
    assert!(counts[0] < 50, "{counts:?}");
}

/// An upstream that hangs sends neither errors nor reports; after the first call that does not end no
/// further ones are sent there, and other hosts are told.
#[test]
fn upstream_that_hangs_is_avoided_and_named() {
    let mut harness = entry(REMOTE_COST);
    (0..4).for_each(|index| harness.report(index, report(1, 100)));
    let mut hanging = Vec::new();
    while hanging.is_empty() {
        let (attempt, index) = harness.place().expect("a grant");
        match index {
            0 => hanging.push(attempt),
            _ => harness.release(attempt, ReleaseOutcome::Finished),
        }
    }
    harness.now += MILLI * 400;
    (1..4).for_each(|index| harness.report(index, report(6, 100)));
    let counts = harness.place_in_turn(20);
    assert_eq!(counts[0], 0, "{counts:?}");
    let news = harness.ledger.news(harness.now);
    let named = news.iter().find(|record| record.name == name(0)).expect("a record");
    assert_eq!(named.failing, 100);
}

/// News of an earlier incarnation says nothing of the one that runs.
#[test]
fn news_of_another_incarnation_is_dropped() {
    let mut harness = entry(REMOTE_COST);
    (0..4).for_each(|index| harness.report(index, report(1, 100)));
    let news = UpstreamNews {
        age: MILLI,
        failing: 100,
        incarnation: Incarnation(9),
        name: name(0),
        report: report(60, 2_000),
    };
    harness.ledger.handle(harness.now, ShardEvent::News(vec![news]));
    assert!(harness.place_in_turn(4)[0] > 0);
}

#[test]
fn without_a_cost_of_leaving_calls_are_placed_by_load_alone() {
    let mut harness = entry(None);
    harness.report(0, report(12, 250));
    (1..4).for_each(|index| harness.report(index, report(0, 100)));
    assert_eq!(harness.place_in_turn(4), [4, 0, 0, 0]);
}

#[test]
fn slowness_is_written_and_read() {
    assert_eq!(SlownessPercent(250).to_string().parse(), Ok(SlownessPercent(250)));
    assert!("fast".parse::<SlownessPercent>().is_err());
}

/// Returns which of some ten thousand calls are late, by expected completion or by load alone: four
/// upstreams at 0.65 of their capacity, each two and a half times slower for 600 ms now and then, and
/// demand of the failure domains that swings by 0.55 over 15 s.
fn late_fraction(remote_cost: Option<Duration>) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(17);
    let start = Instant::now();
    let mut entries: Vec<_> = (0..40)
        .map(|index| EntryHarness::new(start, &format!("e{index}"), index % 4, remote_cost))
        .collect();
    // For each upstream, when each of its slots is free.
    let mut slots = [[start; SLOTS as usize]; 4];
    let mut slow_until = [start; 4];
    let mut open: Vec<(Instant, usize, AttemptId, usize)> = Vec::new();
    let (mut calls, mut late) = (0, 0);
    for step in 0..20_000 {
        let now = start + MILLI * step;
        for slow in &mut slow_until {
            if *slow < now && rng.random_bool(0.000_3) {
                *slow = now + MILLI * 600;
            }
        }
        let slowness = slow_until.map(|until| if now < until { 250 } else { 100 });
        let queue = |slots: &[Instant]| slots.iter().filter(|free| **free > now).count() as u32;
        let (done, rest) = open.into_iter().partition(|(at, ..)| *at <= now);
        open = rest;
        let done: Vec<(Instant, usize, AttemptId, usize)> = done;
        for (_, entry, attempt, index) in done {
            let backlog = slots[index].iter().min().expect("a slot").saturating_duration_since(now);
            let waiting = (backlog.as_millis() / 5) as u32;
            let report = report(queue(&slots[index]) + waiting, slowness[index]);
            let harness = &mut entries[entry];
            harness.now = now;
            harness.report(index, report);
            harness.release(attempt, ReleaseOutcome::Finished);
        }
        // Each host exchanges news with another one four times a second.
        if step % 6 == 0 {
            let (from, to) = (rng.random_range(0..40), rng.random_range(0..40));
            let news = entries[from].ledger.news(now);
            entries[to].ledger.handle(now, ShardEvent::News(news));
        }
        for domain in 0..4 {
            let phase = f64::from(step) / 15_000.0 + domain as f64 * 0.25;
            let demand = 0.13 * (1.0 + 0.55 * (phase * std::f64::consts::TAU).sin());
            if !rng.random_bool(demand) {
                continue;
            }
            let entry = rng.random_range(0..10) * 4 + domain;
            entries[entry].now = now;
            calls += 1;
            let Some((attempt, index)) = entries[entry].place() else {
                late += 1;
                continue;
            };
            let free = slots[index].iter_mut().min().expect("a slot");
            let service = MILLI * 30 * slowness[index] / 100;
            *free = (*free).max(now) + service;
            late += usize::from(*free > now + MILLI * 150);
            open.push((*free, entry, attempt, index));
        }
    }
    late as f64 / f64::from(calls)
}

/// The aim: plain calls late outside faults under 3%.
#[test]
fn few_calls_are_late_while_speeds_and_demand_swing() {
    let before = late_fraction(None);
    let after = late_fraction(REMOTE_COST);
    assert!(after < 0.03, "{after} of the calls are late, by load alone {before}");
    assert!(after < before, "{after} of the calls are late, by load alone {before}");
}
