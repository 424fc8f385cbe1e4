//! Failure rates of upstreams.
//!
//! An upstream that fails requests immediately has no load, so choosing by load alone would send it
//! every request.

use crate::prelude::*;

/// The weight of the newest outcome in the moving average of failures.
const OUTCOME_WEIGHT: f64 = 0.3;
/// The time constant with which a failure rate decays: an upstream that is avoided produces no new
/// outcomes that could improve it.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(5);
/// The load penalty, in thousandths of the slots, of an upstream that fails every request.
const MAX_FAILURE_PENALTY: f64 = 1000.0;

/// The moving failure rate of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerHealth {
    failure_rate: f64,
    last_outcome: Option<Instant>,
}

impl WorkerHealth {
    /// Records whether a request failed.
    pub fn record_outcome(&mut self, now: Instant, failed: bool) {
        let before = self.failure_rate(now);
        self.failure_rate = before + OUTCOME_WEIGHT * (f64::from(u8::from(failed)) - before);
        self.last_outcome = Some(now);
    }

    /// Returns the failure rate from 0 to 1, decayed by the time since the last outcome.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let Some(last_outcome) = self.last_outcome else { return 0.0 };
        let passed = now.saturating_duration_since(last_outcome);
        self.failure_rate * (-passed.as_secs_f64() / FAILURE_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Returns the load penalty, in thousandths of the slots, for failing more often than
    /// `baseline`, the average failure rate of the upstream's peers.
    pub fn failure_penalty(&self, now: Instant, baseline: f64) -> u64 {
        ((self.failure_rate(now) - baseline).max(0.0) * MAX_FAILURE_PENALTY) as u64
    }
}
