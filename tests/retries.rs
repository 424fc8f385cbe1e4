//! The retry budget holds for all daemons together, in every window.

use apricotrun::coordination::flow::RetryLimiter;
use apricotrun::coordination::retries::{RetryBudget, RetryLimits};
use apricotrun::prelude::*;
use std::collections::VecDeque;

const LIMITS: RetryLimits =
    RetryLimits { floor: 54.0, ratio: 0.2, window: Duration::from_secs(10) };

/// Daemons retry as much as they may, with uneven shares of the requests; in no window do they send
/// more than the fleet's budget.
#[test]
fn greedy_daemons_stay_within_the_budget_of_the_fleet() {
    let start = Instant::now();
    let hosts = 7;
    let budgets: Vec<_> = (0..hosts).map(|_| RetryBudget::new(LIMITS, hosts)).collect();
    let mut requests = VecDeque::new();
    let mut retries = VecDeque::new();
    for step in 0..6_000_u64 {
        let now = start + Duration::from_millis(step * 10);
        let window = |times: &mut VecDeque<Instant>| {
            while times.front().is_some_and(|at| now - *at > LIMITS.window) {
                times.pop_front();
            }
        };
        // Load comes in waves, so that a window with few requests follows one with many.
        if step % 1_500 < 700 {
            budgets[(step % 3) as usize].record_request(now);
            requests.push_back(now);
        }
        for budget in &budgets {
            while budget.try_acquire(now) {
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
fn more_hosts_mean_smaller_parts() {
    let now = Instant::now();
    let budget = RetryBudget::new(LIMITS, 1);
    budget.set_hosts(54);
    assert!(!budget.try_acquire(now), "less than one retry a host is none");
}
