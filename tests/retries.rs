//! The retry budget limits all daemons together, in every window.

use apricotrun::coordination::flow::RetryLimiter;
use apricotrun::coordination::retries::{RetryBudget, RetryLimits};
use apricotrun::prelude::*;
use std::collections::VecDeque;

const LIMITS: RetryLimits =
    RetryLimits { floor: 54.0, ratio: 0.2, window: Duration::from_secs(10) };

/// Plays daemons with uneven shares of the requests that retry as often as their limits allow, the first of them
/// begun at `started`, and checks that together they stay within the fleet's budget in every window. All
/// processes are replaced every `lifetime`.
fn play(started: Instant, start: Instant, lifetime: Duration) {
    let hosts = 7;
    let begin = |at: Instant| -> Vec<_> {
        (0..hosts).map(|_| RetryBudget::new(LIMITS, hosts, at)).collect()
    };
    let (mut budgets, mut begun) = (begin(started), start);
    let mut requests = VecDeque::new();
    let mut retries = VecDeque::new();
    for step in 0..6_000_u64 {
        let now = start + Duration::from_millis(step * 10);
        let window = |times: &mut VecDeque<Instant>| {
            while times.front().is_some_and(|at| now - *at > LIMITS.window) {
                times.pop_front();
            }
        };
        if now - begun >= lifetime {
            (budgets, begun) = (begin(now), now);
        }
        // The load alternates, so that windows with few requests follow windows with many.
        if step % 1_500 < 700 {
            budgets[(step % 3) as usize].record_request(now);
            requests.push_back(now);
        }
        for budget in &budgets {
            while budget.try_acquire(now) {
                budget.record_sent(now);
                retries.push_back(now);
            }
        }
        window(&mut requests);
        window(&mut retries);
        let allowed = LIMITS.floor + LIMITS.ratio * requests.len() as f64;
        assert!(retries.len() as f64 <= allowed, "{} of {allowed} at {step}", retries.len());
    }
}

#[test]
fn daemons_that_retry_at_their_limit_stay_within_the_fleet_budget() {
    let started = Instant::now();
    play(started, started + LIMITS.window, Duration::MAX);
}

/// Guards against processes that begin with a full share while what those before them sent still counts.
#[test]
fn daemons_that_start_again_stay_within_the_fleet_budget() {
    let start = Instant::now();
    for lifetime in [3, 7, 13, 25] {
        play(start, start, Duration::from_secs(lifetime));
    }
}

#[test]
fn more_hosts_mean_smaller_shares() {
    let now = Instant::now();
    let budget = RetryBudget::new(LIMITS, 1, now);
    budget.set_hosts(54);
    assert!(!budget.try_acquire(now + LIMITS.window), "a share below one retry allows none");
}

/// Reserves retries until none is allowed, and returns how many were.
fn reserve(budget: &RetryBudget, now: Instant) -> usize {
    std::iter::repeat_with(|| budget.try_acquire(now)).take_while(|allowed| *allowed).count()
}

/// Guards against retries that wait for an upstream and arrive together with those of the next window.
#[test]
fn retry_counts_from_when_it_is_sent() {
    let start = Instant::now();
    let budget = RetryBudget::new(LIMITS, 1, start);
    let count = reserve(&budget, start);
    assert!(count > 1, "a host that is alone has the whole floor");
    let sent_at = start + LIMITS.window * 2;
    assert!(!budget.try_acquire(sent_at), "they are still to be sent");
    (1..count).for_each(|_| budget.record_sent(sent_at));
    budget.release();
    assert_eq!(reserve(&budget, sent_at + LIMITS.window / 2), 1, "one was given back");
    budget.release();
    assert_eq!(reserve(&budget, sent_at + LIMITS.window * 2), count);
}
