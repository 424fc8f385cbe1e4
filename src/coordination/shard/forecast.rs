//! Forecast of the KV-cache memory that the runs of one worker will use.
//!
//! A run holds the memory of its prompt from the start, grows with each token that it produces, and
//! frees everything at its end. Runs end at different times, so their peak sizes never add up, and
//! a worker can take more runs than if each reserved its peak size. See docs/DESIGN.md, "Memory
//! over time".

use crate::prelude::*;

/// The output of a run that has outgrown its forecast is expected to reach this multiple of the
/// length produced so far.
const OVERRUN_FACTOR: f64 = 1.15;

/// The expected memory of one run from now on, in KV-cache blocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunForecast {
    /// The blocks in use when the run ends.
    final_blocks: f64,
    /// The remaining time in seconds.
    left: f64,
    /// The blocks in use now.
    current_blocks: f64,
}

impl RunForecast {
    /// Forecasts a run that holds `fixed` blocks for its prompt and has filled `produced` of the
    /// `output` blocks that it is expected to produce, each of which takes `block_time`.
    pub fn new(fixed: f64, produced: f64, output: f64, block_time: Duration) -> Self {
        let output = output.max(produced * OVERRUN_FACTOR);
        let left = (output - produced) * block_time.as_secs_f64();
        Self { final_blocks: fixed + output, left, current_blocks: fixed + produced }
    }

    fn at(&self, time: f64) -> f64 {
        if time > self.left {
            return 0.0;
        }
        if self.left <= 0.0 {
            return self.final_blocks;
        }
        self.current_blocks + (self.final_blocks - self.current_blocks) * time / self.left
    }
}

/// Returns the maximum over time of the blocks that all runs are expected to use together.
pub fn peak(runs: &[RunForecast]) -> f64 {
    // The sum only grows between the ends of runs, so its maximum is at one of them.
    let ends = runs.iter().map(|run| run.left);
    let sums = ends.map(|end| runs.iter().map(|run| run.at(end)).sum::<f64>());
    sums.fold(0.0, f64::max)
}
