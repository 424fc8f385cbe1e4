//! Forecasts until when a request may start, and how soon it will.
//!
//! Answers this load: requests arrive faster than decode room frees for some seconds, so each waits
//! until just before its latest start. A latest start that is too late wastes the room on responses
//! that miss their target, and a rate that is too high lets requests wait in vain. See
//! docs/design/latest-start.md.

use crate::prelude::*;
use std::collections::VecDeque;

/// The fraction of requests whose time to the first token is within the margin.
const MARGIN_QUANTILE: f64 = 0.8;
/// The change of the margin by one sample, weighted with the quantile.
const MARGIN_STEP: Duration = Duration::from_millis(15);
/// The largest margin as a fraction of the time that the target leaves.
const MAX_MARGIN_FRACTION: f64 = 0.5;
/// The largest sample, since the report of a first token may be lost.
const MAX_SAMPLE: Duration = Duration::from_millis(500);
/// The time over which grants are counted.
const DRAIN_WINDOW: Duration = Duration::from_secs(1);
/// How long requests must have waited before the grants of that time are a rate.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(300);

/// What the owner of a shard has measured of the starts that it granted.
#[derive(Debug, Default)]
pub struct StartForecast {
    /// When requests began to wait, if any wait.
    busy_since: Option<Instant>,
    /// The recent grants of waiting requests, the oldest first.
    grants: VecDeque<Instant>,
    margin: Duration,
}

impl StartForecast {
    /// Records by how much longer than at an idle worker a request took to its first token.
    pub fn record_first_token(&mut self, excess: Duration) {
        self.margin = match excess.min(MAX_SAMPLE) > self.margin {
            true => self.margin + MARGIN_STEP.mul_f64(MARGIN_QUANTILE),
            false => self.margin.saturating_sub(MARGIN_STEP.mul_f64(1.0 - MARGIN_QUANTILE)),
        };
    }

    /// Returns how long a request may wait that needs to start within `time` at an idle worker.
    pub fn time_to_wait(&self, time: Duration) -> Duration {
        time - self.margin.min(time.mul_f64(MAX_MARGIN_FRACTION))
    }

    /// Records whether requests wait now.
    pub fn record_queue(&mut self, now: Instant, is_waiting: bool) {
        if !is_waiting {
            self.busy_since = None;
            self.grants.clear();
        } else if self.busy_since.is_none() {
            self.busy_since = Some(now);
        }
    }

    /// Records the grant of a request that had waited.
    pub fn record_grant(&mut self, now: Instant) {
        self.grants.push_back(now);
        self.prune(now);
    }

    /// Returns at how many requests a second the queue has lately been served; `None` if it has not been
    /// long enough, or nothing was granted.
    pub fn drain_rate(&self, now: Instant) -> Option<f64> {
        let busy = now.saturating_duration_since(self.busy_since?);
        let recent = self.grants.iter().filter(|at| now < **at + DRAIN_WINDOW).count();
        let time = busy.min(DRAIN_WINDOW);
        (busy >= MIN_DRAIN_TIME && recent > 0).then(|| recent as f64 / time.as_secs_f64())
    }

    fn prune(&mut self, now: Instant) {
        while self.grants.front().is_some_and(|at| *at + DRAIN_WINDOW <= now) {
            self.grants.pop_front();
        }
    }
}
