//! Forecasts the engine memory that the runs of one worker will hold.
//!
//! A run holds its prompt from the start and one more token with each that it produces, and frees all
//! of it at its end. Runs end at different times, so their longest lengths never add up, and a worker
//! takes more of them than it could if each reserved its longest length. See docs/DESIGN.md, "Memory
//! over time".

use crate::prelude::*;

/// How much longer than produced so far a run is expected to get that has passed its forecast.
const OVERRUN_FACTOR: f64 = 1.15;

/// What one run is expected to hold from now on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunForecast {
    /// The pieces that it holds at its end.
    final_blocks: f64,
    /// How long it still runs, in seconds.
    left: f64,
    /// The pieces that it holds now.
    current_blocks: f64,
}

impl RunForecast {
    /// Forecasts a run that holds `fixed` pieces for its prompt, has produced `produced` pieces of
    /// an answer of `answer` pieces, and needs `piece_time` for each.
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

/// Returns the most pieces that the runs are expected to hold together at any time.
pub fn peak(runs: &[RunForecast]) -> f64 {
    // The sum only grows between the ends of runs, so it peaks at one of them.
    let ends = runs.iter().map(|run| run.left);
    let sums = ends.map(|end| runs.iter().map(|run| run.at(end)).sum::<f64>());
    sums.fold(0.0, f64::max)
}
