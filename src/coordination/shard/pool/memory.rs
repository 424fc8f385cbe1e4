//! Checks whether a worker's KV cache has room for one more request, now and until the runs end.

use super::{HeldClaim, PoolWorker, WorkerPool};
use crate::coordination::shard::forecast::{RunForecast, peak};
use crate::prelude::*;

/// The fraction of a worker's KV cache that forecasts may fill; the rest is for outputs longer than
/// forecast.
const MAX_FILL_FRACTION: f64 = 0.92;
/// The same for requests that have already missed their first-token target, which leaves memory for
/// those that can still meet theirs.
const LATE_FILL_FRACTION: f64 = 0.75;
/// The weight of the newest measurement in the moving average of a worker's slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;

/// The progress of a run at one time.
#[derive(Clone, Copy, Debug)]
pub struct RunProgress {
    /// When the progress was reported.
    pub at: Instant,
    /// The tokens produced by then.
    pub tokens: Tokens,
}

/// The KV-cache blocks that a request is expected to need.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryNeed {
    /// The blocks of the prompt, held from the start.
    pub prompt: KvBlocks,
    /// The blocks of the complete output, filled as it grows.
    pub output: KvBlocks,
}

impl MemoryNeed {
    /// Returns the blocks in use when the output is complete.
    pub fn total(self) -> KvBlocks {
        KvBlocks(self.prompt.0.saturating_add(self.output.0))
    }
}

/// The rate at which a run fills KV-cache blocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrowthRate {
    /// The tokens per KV-cache block.
    pub block_tokens: Tokens,
    /// The expected time to produce one token.
    pub token_time: Duration,
}

impl HeldClaim {
    fn forecast(&self, now: Instant, growth_rate: GrowthRate, block_time: Duration) -> RunForecast {
        let growth = f64::from(self.claim.growth.0);
        let fixed = f64::from(self.claim.kv_blocks.0) - growth;
        let produced = self.progress.map_or(0.0, |progress| {
            let since = now.saturating_duration_since(progress.at).as_secs_f64();
            let known = f64::from(progress.tokens.0) / f64::from(growth_rate.block_tokens.0.max(1));
            known + since / block_time.as_secs_f64().max(1e-9)
        });
        RunForecast::new(fixed, produced, growth, block_time)
    }
}

impl WorkerPool {
    /// Returns whether the worker has memory for one more request, now and until it ends. A `late`
    /// request has missed its first-token target and gets a smaller fraction of the memory.
    pub(super) fn has_memory(
        &self,
        now: Instant,
        worker: &PoolWorker,
        need: MemoryNeed,
        late: bool,
    ) -> bool {
        let Some(all) = worker.spec.kv_blocks else { return true };
        let Some(growth_rate) = self.growth_rate else {
            return worker.kv_blocks + need.total().0 <= all.0;
        };
        let block_time =
            (growth_rate.token_time * growth_rate.block_tokens.0).mul_f64(worker.slowness);
        let mut runs: Vec<_> = self
            .claims
            .values()
            .filter(|held| held.claim.runner == worker.spec.name)
            .map(|held| held.forecast(now, growth_rate, block_time))
            .collect();
        let (prompt, output) = (f64::from(need.prompt.0), f64::from(need.output.0));
        runs.push(RunForecast::new(prompt, 0.0, output, block_time));
        let fraction = if late { LATE_FILL_FRACTION } else { MAX_FILL_FRACTION };
        peak(&runs) <= f64::from(all.0) * fraction
    }

    /// Records a run's progress and updates the slowness of its worker.
    pub fn record_progress(&mut self, now: Instant, attempt: &AttemptId, tokens: Tokens) {
        let Some(growth_rate) = self.growth_rate else { return };
        let Some(held) = self.claims.get_mut(attempt) else { return };
        let before = held.progress.replace(RunProgress { at: now, tokens });
        let Some(before) = before.filter(|before| tokens > before.tokens) else { return };
        let Some(worker) = self.workers.get_mut(&held.claim.runner) else { return };
        let expected = growth_rate.token_time * (tokens.0 - before.tokens.0);
        let seen = (now - before.at).as_secs_f64() / expected.as_secs_f64().max(1e-9);
        worker.slowness += SLOWNESS_WEIGHT * (seen.clamp(0.2, 20.0) - worker.slowness);
    }
}
