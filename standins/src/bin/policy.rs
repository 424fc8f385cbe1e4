//! Prints the tables of the policy benchmark, which compares the routers in simulated scenarios.

use standins::policy::mix::{Scenario, TrafficMix};
use standins::policy::{RouterKind, run};

fn main() {
    for mix in [TrafficMix::cornice(), TrafficMix::tariq()] {
        println!("{}: capacity {:.2} requests a second", mix.name, mix.capacity());
        for load in [0.7, 0.9, 1.0, 1.5, 3.0] {
            for failures in [false, true] {
                let scenario = Scenario { failures, ..Scenario::at(load) };
                for kind in RouterKind::ALL {
                    let report = run(kind, &mix, &scenario);
                    let failures = if failures { "failures" } else { "-" };
                    println!("{load:3.1} {failures:8} {:12} {report}", format!("{kind:?}"));
                }
            }
        }
        let quiet = Scenario::at(0.8);
        let flooded = Scenario { flood: 3.0, ..quiet.clone() };
        for kind in RouterKind::ALL {
            let (before, after) = (run(kind, &mix, &quiet), run(kind, &mix, &flooded));
            let goodputs: Vec<_> = (1..4)
                .map(|a| format!("{:.1} -> {:.1}", before.goodput_of(a), after.goodput_of(a)))
                .collect();
            println!(
                "flood        {:12} others' goodput {}",
                format!("{kind:?}"),
                goodputs.join(", ")
            );
        }
        for load in [1.5, 3.0] {
            let scenario = Scenario { honor_retry_after: true, ..Scenario::at(load) };
            let report = run(RouterKind::Apricotrun, &mix, &scenario);
            println!(
                "{load:3.1} follow   {report} came back {} admitted {:.1}%",
                report.returned,
                report.readmitted_percent()
            );
        }
    }
}
