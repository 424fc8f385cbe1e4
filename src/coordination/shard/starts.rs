//! Forecasts how long a request takes from its grant to its first token, and so until when it may start.
//!
//! Answers this load: requests arrive faster than decode room frees for some seconds, so each waits
//! until just before its latest start. A latest start that is too late wastes the room on responses
//! that miss their target. See docs/design/latest-start.md.

use crate::prelude::*;

/// The fraction of requests whose time to the first token is within the margin.
const MARGIN_QUANTILE: f64 = 0.8;
/// The change of the margin by one sample, weighted with the quantile.
const MARGIN_STEP: Duration = Duration::from_millis(15);
/// The largest margin as a fraction of the time that the target leaves.
const MAX_MARGIN_FRACTION: f64 = 0.5;
/// The largest sample, since the report of a first token may be lost.
const MAX_SAMPLE: Duration = Duration::from_millis(500);

/// What the owner of a shard has measured of the starts that it granted.
#[derive(Debug, Default)]
pub struct StartForecast {
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

    /// Returns the time that requests must leave for their first token beyond that of an idle worker.
    pub fn margin(&self) -> Duration {
        self.margin
    }

    /// Returns how long a request may wait that needs to start within `time` at an idle worker.
    pub fn time_to_wait(&self, time: Duration) -> Duration {
        time - self.margin.min(time.mul_f64(MAX_MARGIN_FRACTION))
    }
}
