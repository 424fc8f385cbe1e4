//! Forecasts of KV-cache memory: runs fit together although the sum of their peak sizes does not.

use apricotrun::coordination::shard::{RunForecast, peak};
use apricotrun::prelude::*;

const BLOCK_TIME: Duration = Duration::from_millis(10);

fn run(fixed: f64, produced: f64, output: f64) -> RunForecast {
    RunForecast::new(fixed, produced, output, BLOCK_TIME)
}

#[test]
fn one_run_peaks_at_its_end() {
    assert_eq!(peak(&[run(300.0, 0.0, 300.0)]), 600.0);
}

#[test]
fn runs_that_end_at_different_times_need_less_than_their_sum() {
    // The first run is half done and holds 450 of its final 600 blocks. When it ends, the second is
    // half done and holds 450.
    let held = peak(&[run(300.0, 150.0, 300.0), run(300.0, 0.0, 300.0)]);
    assert_eq!(held, 600.0 + 450.0);
}

#[test]
fn run_past_its_forecast_is_expected_to_go_on() {
    let held = peak(&[run(300.0, 400.0, 300.0)]);
    assert!((held - (300.0 + 460.0)).abs() < 1e-6, "{held}");
}

/// The usual load of a worker: a new run every 450 ms. The sum of all peak sizes would exceed the
/// worker's memory, but over time there is room for one more run.
#[test]
fn staggered_runs_leave_room_for_one_more() {
    let memory = 4_740.0;
    let running: Vec<_> = (0..8).map(|age| run(325.0, f64::from(age) * 41.0, 332.0)).collect();
    let reserved = 9.0 * (325.0 + 332.0);
    assert!(reserved > memory);
    let mut all = running;
    all.push(run(325.0, 0.0, 332.0));
    assert!(peak(&all) <= memory, "{}", peak(&all));
}
