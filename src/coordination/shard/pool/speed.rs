//! Places prompts by the speed that workers have shown.
//!
//! Answers this load: model workers of one service differ by a factor of two in speed, and all are
//! short of room for some seconds. A prompt that waits behind two others at a slow worker misses its
//! first-token target, while a fast one would have computed all three. See
//! docs/design/model-work-by-speed.md.

use super::{HeldClaim, PoolWorker, WorkerPool};
use crate::coordination::messages::{ClaimPhase, SlotClaim};
use crate::prelude::*;
use std::collections::BTreeMap;

/// The weight of the newest sample in the moving average of a worker's prefill time.
const SAMPLE_WEIGHT: f64 = 0.2;
/// The limits of one sample, in expected times. A prompt may wait behind those of other owners, and one that
/// is cached takes no time.
const SAMPLE_RANGE: std::ops::RangeInclusive<f64> = 0.3..=4.0;

/// The time constant with which a worker without prompts is taken for a usual one again: one that is
/// avoided shows no other speed.
const FADE_TIME: Duration = Duration::from_secs(5);

/// How long a worker takes for prompts, relative to the time that is expected of any.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PrefillSpeed {
    /// The moving average, and when its last sample came.
    measured: Option<(f64, Instant)>,
}

impl PrefillSpeed {
    /// Returns the measured slowness; before the first sample the worker is neither fast nor slow.
    fn slowness(&self, now: Instant) -> f64 {
        let Some((slowness, at)) = self.measured else { return 1.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        1.0 + (slowness - 1.0) * (-age / FADE_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Instant, sample: f64) {
        let sample = sample.clamp(*SAMPLE_RANGE.start(), *SAMPLE_RANGE.end());
        let mean = self.measured.map_or(sample, |_| self.slowness(now));
        self.measured = Some((mean + SAMPLE_WEIGHT * (sample - mean), now));
    }
}

impl WorkerPool {
    /// Records that a worker has computed the prompt of an attempt, which is expected to take `expected` on
    /// an idle worker.
    pub fn record_prefill(&mut self, now: Instant, attempt: &AttemptId, expected: Duration) {
        let Some(held) = self.claims.get(attempt) else { return };
        let (since, queued) = (held.since, held.prompts_ahead);
        let name = held.claim.prefill.clone();
        let Some(worker) = name.and_then(|name| self.workers.get_mut(&name)) else { return };
        // What waited behind other prompts of this owner says little about the worker.
        if queued == 0 && !expected.is_zero() {
            let took = now.saturating_duration_since(since);
            worker.prefill_speed.add(now, took.as_secs_f64() / expected.as_secs_f64());
        }
    }

    /// Returns how many prompts of this owner the prefill worker of a claim computes now.
    pub(super) fn prompts_at(&self, claim: &SlotClaim) -> u32 {
        let prefill = claim.prefill.as_ref().and_then(|name| self.workers.get(name));
        prefill.map_or(0, |worker| worker.slots)
    }

    /// Returns how many prompts each decode worker computes itself at the moment, because the prefill
    /// workers were busy; empty where prompts are not placed by speed. Such a run holds no transfer, so in
    /// a burst the only worker without one would get all further prompts.
    pub(super) fn prompts_at_runners(&self) -> BTreeMap<&UpstreamName, u32> {
        let computes_prompt = |held: &&HeldClaim| {
            held.claim.phase == ClaimPhase::Run
                && held.claim.prefill.is_none()
                && held.progress.is_some_and(|progress| progress.tokens == Tokens(0))
        };
        let mut prompts = BTreeMap::new();
        let held = self.claims.values().filter(|_| self.uses_speed);
        for held in held.filter(computes_prompt) {
            *prompts.entry(&held.claim.runner).or_default() += 1;
        }
        prompts
    }

    /// Returns how slow workers have been at computing prompts, in percent of the expected time; empty
    /// where prompts are not placed by speed.
    pub fn prefill_slowness(&self) -> BTreeMap<UpstreamName, SlownessPercent> {
        let measured = self.workers.iter().filter(|_| self.uses_speed);
        let measured = measured.filter_map(|(name, worker)| {
            let (slowness, _) = worker.prefill_speed.measured?;
            Some((name.clone(), SlownessPercent((slowness * 100.0) as u32)))
        });
        measured.collect()
    }

    /// Returns the time after which one more prompt is expected to be computed, in thousandths of the time
    /// for one prompt at a worker of usual speed.
    pub(super) fn prefill_delay(&self, now: Instant, worker: &PoolWorker) -> u64 {
        (f64::from(worker.slots + 1) * worker.prefill_speed.slowness(now) * 1000.0) as u64
    }
}
