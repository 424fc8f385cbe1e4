//! How long runs hold their workers, estimated while most of them still run.
//!
//! The mean of the runs that have ended is too low at first: short ones end first. A life table counts
//! what still runs with the time that it has run so far.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// The width of a step of the table.
const INTERVAL: Duration = Duration::from_millis(250);
/// The steps of the table; longer runs count as ended in the last.
const INTERVALS: usize = 48;
/// The part of the runs that may outlast the table when their mean time is known. They are taken to
/// end as fast as those in the later half of the table.
const MAX_OUTLASTING_FRACTION: f64 = 0.2;
/// How many runs the table holds before older ones lose half of their weight.
const MAX_RUNS: u32 = 4_000;

/// Counts runs by the time that they took or have taken so far.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LifeTable {
    ended: Vec<u32>,
    /// Runs that were followed no longer: they still run, or were given up.
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

    /// Counts a run that still runs or was given up.
    pub fn add_open(&mut self, time: Duration) {
        add(&mut self.open, time);
    }

    /// Counts the runs of another table too.
    pub fn merge(&mut self, other: &Self) {
        for (own, other) in [(&mut self.ended, &other.ended), (&mut self.open, &other.open)] {
            own.resize(own.len().max(other.len()).min(INTERVALS), 0);
            own.iter_mut()
                .zip(other)
                .for_each(|(count, more)| *count = count.saturating_add(*more));
        }
    }

    /// Returns how long a run takes in the mean, once enough have been followed to their end.
    pub fn mean(&self) -> Option<Duration> {
        let intervals = self.ended.len().max(self.open.len());
        let mut at_risk = f64::from(self.len());
        let (mut surviving, mut time, mut exposure, mut ended) = (1.0, 0.0, 0.0, 0.0);
        for interval in 0..intervals {
            let count = |counts: &[u32]| f64::from(counts.get(interval).copied().unwrap_or(0));
            let (completed, censored) = (count(&self.ended), count(&self.open));
            // Those that leave the table in a step were in it for half of the step.
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
