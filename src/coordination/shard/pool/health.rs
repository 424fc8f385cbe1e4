//! How often an upstream fails its requests.
//!
//! An upstream that fails at once looks idle, so the least loaded choice would send it everything.

use crate::prelude::*;

/// The weight of the newest outcome in the part of requests that fail.
const OUTCOME_WEIGHT: f64 = 0.3;
/// The time in which what is known of failures loses most of its weight: an upstream that is passed
/// over gives no new answers.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(5);
/// The load, in thousandths, for which an upstream counts that fails every request.
const MAX_FAILURE_PENALTY: f64 = 1000.0;

/// What is known of an upstream from its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerHealth {
    failure_rate: f64,
    last_outcome: Option<Instant>,
}

impl WorkerHealth {
    /// Notes whether a request failed.
    pub fn record_outcome(&mut self, now: Instant, failed: bool) {
        let before = self.failure_rate(now);
        self.failure_rate = before + OUTCOME_WEIGHT * (f64::from(u8::from(failed)) - before);
        self.last_outcome = Some(now);
    }

    /// Returns the part of its requests that fail, as far as that is still known.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let Some(last_outcome) = self.last_outcome else { return 0.0 };
        let passed = now.saturating_duration_since(last_outcome);
        self.failure_rate * (-passed.as_secs_f64() / FAILURE_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Returns the load for which the upstream counts because it fails more often than its peers.
    pub fn failure_penalty(&self, now: Instant, baseline: f64) -> u64 {
        ((self.failure_rate(now) - baseline).max(0.0) * MAX_FAILURE_PENALTY) as u64
    }
}
