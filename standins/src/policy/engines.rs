//! Simulated decode workers, whose token rate falls with the number of concurrent runs.

use crate::policy::mix::TrafficMix;
use std::collections::BTreeMap;

/// A run on a decode worker.
#[derive(Clone, Copy, Debug)]
struct Run {
    /// The worker's position when the run started.
    start_position: f64,
    /// The length of the output, in tokens.
    tokens: f64,
}

/// A simulated decode worker. All its runs generate tokens at the same rate, so that one position
/// gives the progress of each. Times are in seconds.
#[derive(Clone, Debug, Default)]
pub struct DecodeSimulator {
    /// The tokens that a run would have generated if it had been running since the start.
    position: f64,
    /// Whether the worker is out of service.
    pub down: bool,
    /// The time for which `position` holds.
    updated_at: f64,
    runs: BTreeMap<u64, Run>,
    /// When the link into the worker has completed all queued transfers.
    pub link_free_at: f64,
    /// Whether the link into the worker makes no progress.
    pub stalled: bool,
    /// Changes with every start or end of a run, to identify outdated predictions of the next end.
    pub version: u64,
}

impl DecodeSimulator {
    /// Advances all runs to a time.
    pub fn advance(&mut self, mix: &TrafficMix, now: f64) {
        if !self.runs.is_empty() {
            self.position += (now - self.updated_at) / mix.token_time(self.runs.len());
        }
        self.updated_at = now;
    }

    /// Starts a run that generates this number of tokens.
    pub fn start(&mut self, mix: &TrafficMix, now: f64, id: u64, tokens: u32) {
        self.advance(mix, now);
        self.runs.insert(id, Run { start_position: self.position, tokens: f64::from(tokens) });
        self.version += 1;
    }

    /// Removes a run and returns whether it existed.
    pub fn stop(&mut self, mix: &TrafficMix, now: f64, id: u64) -> bool {
        self.advance(mix, now);
        self.version += 1;
        self.runs.remove(&id).is_some()
    }

    /// Returns the number of tokens that a run has generated, or `None` if it does not exist.
    pub fn progress(&mut self, mix: &TrafficMix, now: f64, id: u64) -> Option<u32> {
        self.advance(mix, now);
        let run = self.runs.get(&id)?;
        // Rounding errors can leave the sum of many steps just below a whole token.
        Some((self.position - run.start_position + 1e-6).min(run.tokens) as u32)
    }

    /// Returns the run that ends first and the time of its end if no run starts or ends before.
    pub fn next_end(&self, mix: &TrafficMix) -> Option<(u64, f64)> {
        let left = |run: &Run| run.start_position + run.tokens - self.position;
        let first = self.runs.iter().min_by(|(_, a), (_, b)| left(a).total_cmp(&left(b)))?;
        let time = left(first.1).max(0.0) * mix.token_time(self.runs.len());
        Some((*first.0, self.updated_at + time))
    }

    /// Ends the run that was predicted to end first and returns it. Does nothing if runs have
    /// started or ended since the prediction, which `version` tells.
    pub fn end_predicted(&mut self, mix: &TrafficMix, now: f64, version: u64) -> Option<u64> {
        if self.version != version {
            return None;
        }
        self.advance(mix, now);
        let (id, _) = self.next_end(mix)?;
        self.stop(mix, now, id);
        Some(id)
    }

    /// Returns the number of runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether there are no runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Removes all runs and returns their ids.
    pub fn clear(&mut self) -> Vec<u64> {
        self.version += 1;
        std::mem::take(&mut self.runs).into_keys().collect()
    }
}
