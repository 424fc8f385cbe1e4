//! Measures the policy: the real shard ledger and request flows against small engine fakes, with
//! a clock turned by hand and seeded arrivals, beside simpler routers on the same arrivals.

pub mod baselines;
pub mod engines;
pub mod mix;
pub mod report;
pub mod router;
pub mod timeline;

use mix::{Scenario, TrafficMix};
use report::PolicyReport;

/// Which router serves the arrivals.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouterKind {
    /// This project's ledger and flows.
    Apricotrun,
    /// The decode worker with the least load by reports that lag.
    LeastLoaded,
    /// A prefill as soon as possible, and a decode worker after it.
    PrefillFirst,
    /// Workers in turn.
    RoundRobin,
}

impl RouterKind {
    /// All routers.
    pub const ALL: [Self; 4] =
        [Self::Apricotrun, Self::PrefillFirst, Self::LeastLoaded, Self::RoundRobin];
}

/// Serves a scenario with a router and returns what became of the arrivals.
pub fn run(kind: RouterKind, mix: &TrafficMix, scenario: &Scenario) -> PolicyReport {
    match kind {
        RouterKind::Apricotrun => router::run(mix, scenario),
        _ => baselines::run(kind, mix, scenario),
    }
}
