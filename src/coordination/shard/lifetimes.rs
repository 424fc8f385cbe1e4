//! Estimates the mean duration of runs while most of them are still in progress.
//!
//! The mean of the completed runs is too low at first, because short runs complete first. A life
//! table also counts the runs in progress, as right-censored observations: each is known to take
//! longer than it has taken so far.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// The width of one interval of the table.
const INTERVAL: Duration = Duration::from_millis(250);
/// The number of intervals; longer runs are counted in the last one.
const INTERVALS: usize = 48;
/// The mean is known only if at most this fraction of the runs outlasts the table. These are
/// assumed to end at the same rate as those in the later half of the table.
const MAX_OUTLASTING_FRACTION: f64 = 0.2;
/// Above this number of runs all counts are halved, which halves the weight of older runs.
const MAX_RUNS: u32 = 4_000;

/// A life table: counts runs by the interval in which they ended or were last observed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LifeTable {
    ended: Vec<u32>,
    /// Censored runs: still in progress when counted, or stopped early.
    open: Vec<u32>,
}

impl LifeTable {
    /// Counts a run that ended by itself.
    pub fn add_ended(&mut self, time: Duration) {
        add(&mut self.ended, time);
        if self.len() > MAX_RUNS {
            let counts = self.ended.iter_mut().chain(&mut self.open);
            counts.for_each(|count| *count /= 2);
        }
    }

    /// Counts a run that is still in progress or was stopped early.
    pub fn add_open(&mut self, time: Duration) {
        add(&mut self.open, time);
    }

    /// Adds the counts of another table.
    pub fn merge(&mut self, other: &Self) {
        for (own, other) in [(&mut self.ended, &other.ended), (&mut self.open, &other.open)] {
            own.resize(own.len().max(other.len()).min(INTERVALS), 0);
            own.iter_mut()
                .zip(other)
                .for_each(|(count, more)| *count = count.saturating_add(*more));
        }
    }

    /// Returns the mean duration of a run, or `None` until enough runs have been observed to their
    /// end.
    pub fn mean(&self) -> Option<Duration> {
        let intervals = self.ended.len().max(self.open.len());
        let mut at_risk = f64::from(self.len());
        let (mut surviving, mut time, mut exposure, mut ended) = (1.0, 0.0, 0.0, 0.0);
        for interval in 0..intervals {
            let count = |counts: &[u32]| f64::from(counts.get(interval).copied().unwrap_or(0));
            let (completed, censored) = (count(&self.ended), count(&self.open));
            // Runs that are censored in an interval were observed for half of it on average.
            let exposed = at_risk - censored / 2.0;
            let before = surviving;
            surviving *= 1.0 - completed / exposed.max(1.0);
            time += (before + surviving) / 2.0;
            if interval >= intervals / 2 {
                exposure += exposed - completed / 2.0;
                ended += completed;
            }
            at_risk -= completed + censored;
        }
        if ended == 0.0 || surviving > MAX_OUTLASTING_FRACTION {
            return None;
        }
        Some(INTERVAL.mul_f64(time + surviving * exposure / ended))
    }

    fn len(&self) -> u32 {
        self.ended.iter().chain(&self.open).fold(0, |sum, count| sum.saturating_add(*count))
    }
}

fn add(counts: &mut Vec<u32>, time: Duration) {
    let interval = (time.as_secs_f64() / INTERVAL.as_secs_f64()) as usize;
    let interval = interval.min(INTERVALS - 1);
    counts.resize(counts.len().max(interval + 1), 0);
    counts[interval] = counts[interval].saturating_add(1);
}
