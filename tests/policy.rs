//! Regression bounds of the routing policy in simulated scenarios. The bounds are the stated
//! targets, never measured figures; `cargo run --release -p standins --bin policy` prints those.

use standins::policy::mix::{Scenario, TrafficMix};
use standins::policy::report::PolicyReport;
use standins::policy::{RouterKind, run};

/// The seeds with which every scenario is run.
const SEEDS: [u64; 2] = [7, 1_000];

fn mixes() -> [TrafficMix; 2] {
    [TrafficMix::cornice(), TrafficMix::tariq()]
}

/// Runs a scenario with both traffic mixes and all seeds, and checks each report.
fn check(scenario: &Scenario, holds: impl Fn(&PolicyReport) -> bool) {
    for mix in mixes() {
        for seed in SEEDS {
            let scenario = Scenario { seed, ..scenario.clone() };
            let report = run(RouterKind::Apricotrun, &mix, &scenario);
            assert!(holds(&report), "{} {scenario:?}: {report}", mix.name);
        }
    }
}

#[test]
fn goodput_meets_the_target_below_capacity() {
    check(&Scenario::at(0.7), |report| report.goodput() >= 95.0);
    check(&Scenario::at(0.9), |report| report.goodput() >= 95.0);
}

#[test]
fn goodput_above_capacity_does_not_collapse() {
    check(&Scenario::at(1.5), |report| report.capacity_used() >= 90.0);
    check(&Scenario::at(3.0), |report| report.capacity_used() >= 90.0);
}

#[test]
fn almost_no_prefilled_tokens_are_wasted_without_failures() {
    for load in [0.7, 0.9, 1.0, 1.5, 3.0] {
        check(&Scenario::at(load), |report| report.wasted_percent() <= 1.0);
    }
}

#[test]
fn few_prefilled_tokens_are_wasted_with_failures() {
    for load in [0.7, 0.9, 1.0, 1.5, 3.0] {
        let scenario = Scenario { failures: true, ..Scenario::at(load) };
        check(&scenario, |report| report.wasted_percent() <= 3.0);
    }
}

#[test]
fn flooding_account_does_not_reduce_goodput_of_others() {
    for mix in mixes() {
        for seed in SEEDS {
            let quiet = Scenario { seed, ..Scenario::at(0.8) };
            let flooded = Scenario { flood: 3.0, ..quiet.clone() };
            let before = run(RouterKind::Apricotrun, &mix, &quiet);
            let after = run(RouterKind::Apricotrun, &mix, &flooded);
            for account in 1..4 {
                let loss = before.goodput_of(account) - after.goodput_of(account);
                assert!(loss <= 2.0, "{} account {account} lost {loss} points", mix.name);
            }
        }
    }
}

#[test]
fn retries_at_the_given_time_are_admitted() {
    for load in [1.5, 3.0] {
        let scenario = Scenario { honor_retry_after: true, ..Scenario::at(load) };
        check(&scenario, |report| report.returned > 100 && report.readmitted_percent() >= 80.0);
    }
}

#[test]
fn runs_are_deterministic() {
    let mix = TrafficMix::cornice();
    let scenario = Scenario { failures: true, honor_retry_after: true, ..Scenario::at(1.5) };
    let report = || run(RouterKind::Apricotrun, &mix, &scenario).to_string();
    assert_eq!(report(), report());
}
