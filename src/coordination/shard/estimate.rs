//! Estimates how fast a shard works, from what finished lately.

use crate::prelude::*;

/// The weight of the newest sample in a moving mean.
const NEWEST_WEIGHT: f64 = 0.05;

/// A moving mean of durations.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanDuration {
    seconds: Option<f64>,
}

impl MeanDuration {
    /// Takes a sample in.
    pub fn add(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.seconds = Some(match self.seconds {
            None => sample,
            Some(mean) => mean + NEWEST_WEIGHT * (sample - mean),
        });
    }

    /// Returns the mean in seconds, or `default` before the first sample.
    pub fn seconds_or(&self, default: Duration) -> f64 {
        self.seconds.unwrap_or(default.as_secs_f64()).max(0.000_1)
    }
}

/// What is known of a shard's speed.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadEstimate {
    /// How long attempts hold their decode or plain slot.
    pub hold: MeanDuration,
    /// How long attempts hold their prefill slot.
    pub prefill: MeanDuration,
}

/// The slots that a shard can use now.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsableSlots {
    /// Of prefill workers.
    pub prefill: u32,
    /// Of decode workers or plain upstreams.
    pub run: u32,
}

impl LoadEstimate {
    /// Returns how many requests a second the shard can start when it is busy.
    pub fn rate(&self, slots: UsableSlots, hold: Duration, prefill: Duration) -> f64 {
        let run = f64::from(slots.run) / self.hold.seconds_or(hold);
        if slots.prefill == 0 {
            return run;
        }
        run.min(f64::from(slots.prefill) / self.prefill.seconds_or(prefill))
    }
}
