//! A token bucket that may go into debt.

use crate::prelude::*;

/// A bucket that fills at a rate up to a capacity.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    at: Instant,
    level: f64,
}

impl TokenBucket {
    /// Returns a bucket with this level.
    pub fn new(now: Instant, level: f64) -> Self {
        Self { at: now, level }
    }

    /// Adds what has flowed in since the last call.
    pub fn refill(&mut self, now: Instant, rate: f64, capacity: f64) {
        let time = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + rate * time).min(capacity);
        self.at = now;
    }

    /// Returns the tokens in the bucket; negative while it is in debt.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns the tokens that are missing from an empty bucket.
    pub fn debt(&self) -> f64 {
        (-self.level).max(0.0)
    }

    /// Adds tokens, or takes them if negative.
    pub fn add(&mut self, tokens: f64) {
        self.level += tokens;
    }
}
