//! Engine fakes: decode workers whose speed falls with the requests they run.

use crate::policy::mix::TrafficMix;
use std::collections::BTreeMap;

/// A run at a decode worker.
#[derive(Clone, Copy, Debug)]
struct Run {
    began: f64,
    tokens: f64,
}

/// A decode worker. All runs advance alike; `advanced` counts the tokens that a run would have
/// made had it run from the start.
#[derive(Clone, Debug, Default)]
pub struct DecodeFake {
    advanced: f64,
    /// Whether it is lost.
    pub down: bool,
    last: f64,
    runs: BTreeMap<u64, Run>,
    /// When its link has moved what is queued on it.
    pub link_free: f64,
    /// Whether its link moves nothing.
    pub stalled: bool,
    /// Changes with every run that starts or ends, so that old predictions are recognised.
    pub version: u64,
}

impl DecodeFake {
    /// Moves the runs forward to a time.
    pub fn advance(&mut self, mix: &TrafficMix, now: f64) {
        if !self.runs.is_empty() {
            self.advanced += (now - self.last) / mix.token_time(self.runs.len());
        }
        self.last = now;
    }

    /// Starts a run of so many tokens.
    pub fn start(&mut self, mix: &TrafficMix, now: f64, id: u64, tokens: u32) {
        self.advance(mix, now);
        self.runs.insert(id, Run { began: self.advanced, tokens: f64::from(tokens) });
        self.version += 1;
    }

    /// Ends a run; returns whether it was there.
    pub fn stop(&mut self, mix: &TrafficMix, now: f64, id: u64) -> bool {
        self.advance(mix, now);
        self.version += 1;
        self.runs.remove(&id).is_some()
    }

    /// Returns how many tokens a run has made.
    pub fn progress(&mut self, mix: &TrafficMix, now: f64, id: u64) -> Option<u32> {
        self.advance(mix, now);
        let run = self.runs.get(&id)?;
        // The sum of many steps can fall short of a whole token by rounding.
        Some((self.advanced - run.began + 1e-6).min(run.tokens) as u32)
    }

    /// Returns which run ends first, and when if nothing changes.
    pub fn next_end(&self, mix: &TrafficMix) -> Option<(u64, f64)> {
        let left = |run: &Run| run.began + run.tokens - self.advanced;
        let first = self.runs.iter().min_by(|(_, a), (_, b)| left(a).total_cmp(&left(b)))?;
        let time = left(first.1).max(0.0) * mix.token_time(self.runs.len());
        Some((*first.0, self.last + time))
    }

    /// Ends the run that was predicted to end first, unless runs came or went since the prediction.
    pub fn end_predicted(&mut self, mix: &TrafficMix, now: f64, version: u64) -> Option<u64> {
        if self.version != version {
            return None;
        }
        self.advance(mix, now);
        let (id, _) = self.next_end(mix)?;
        self.stop(mix, now, id);
        Some(id)
    }

    /// Returns how many runs there are.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether nothing runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Ends all runs and returns them.
    pub fn clear(&mut self) -> Vec<u64> {
        self.version += 1;
        std::mem::take(&mut self.runs).into_keys().collect()
    }
}
