//! A discrete-event simulation that measures the routing policy. It runs the real shard ledger and
//! request flows against simulated engines, and compares them with simpler routers on the same
//! seeded arrivals.

pub mod baselines;
pub mod engines;
pub mod mix;
pub mod report;
pub mod router;
pub mod timeline;

use mix::{Scenario, TrafficMix};
use report::PolicyReport;

/// The router that serves the arrivals.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouterKind {
    /// This project's shard ledger and request flows.
    Apricotrun,
    /// Prefills on the least loaded prefill worker, then takes the decode worker that reported the
    /// lowest load; the reports are up to a second old.
    LeastLoaded,
    /// Prefills on the least loaded prefill worker, then takes the decode worker with the lowest
    /// current load.
    PrefillFirst,
    /// Takes prefill and decode workers in turn, whatever their state.
    RoundRobin,
}

impl RouterKind {
    /// All routers, in the order of the benchmark's rows.
    pub const ALL: [Self; 4] =
        [Self::Apricotrun, Self::PrefillFirst, Self::LeastLoaded, Self::RoundRobin];
}

/// Runs a scenario with a router and returns the results.
pub fn run(kind: RouterKind, mix: &TrafficMix, scenario: &Scenario) -> PolicyReport {
    match kind {
        RouterKind::Apricotrun => router::run(mix, scenario),
        _ => baselines::run(kind, mix, scenario),
    }
}
