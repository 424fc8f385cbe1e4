//! Which upstreams a request gets.

use super::memory::MemoryNeed;
use super::{PoolWorker, WorkerPool};
use crate::coordination::messages::{AdmissionRequest, ClaimPhase, GrantMessage, SlotClaim};
use crate::coordination::shard::prefixes::PrefixMemory;
use crate::prelude::*;

/// By how much less distance counts for prefill workers, whose results move in milliseconds.
const PREFILL_NEARNESS: u64 = 10;
/// How many prompts of one owner a prefill worker has at most; computing one takes a tenth of a second,
/// and other owners send it prompts too.
const PREFILL_QUEUE: u32 = 3;
/// The load for failures, in thousandths, from which an upstream is used only when no other has room.
const MUCH_FAILING: u64 = 500;
/// The load, in thousandths, that an upstream of this failure domain may have before an idle one
/// of another is chosen.
const FOREIGN_LOAD: u64 = 400;

impl WorkerPool {
    /// Chooses upstreams for an ask, or returns nothing while there is no room.
    pub fn place(
        &self,
        now: Instant,
        ask: &AdmissionRequest,
        need: MemoryNeed,
        template: &ServiceTemplate,
        prefixes: &PrefixMemory,
    ) -> Option<GrantMessage> {
        let runner = self.choose_runner(now, ask, need)?;
        let prefill = match self.needs_prefill() && !ask.prefilled {
            true => match self.choose_prefill(now, ask, prefixes) {
                None if !template.local_prefill => return None,
                chosen => chosen,
            },
            false => None,
        };
        let phase = match (prefill.is_some(), ask.prefilled) {
            (true, _) => ClaimPhase::Prefill,
            (false, true) => ClaimPhase::Transfer,
            (false, false) => ClaimPhase::Run,
        };
        let claim = SlotClaim {
            account: ask.account.clone(),
            attempt: ask.attempt.clone(),
            growth: if self.pace.is_some() { need.answer } else { KvBlocks(0) },
            phase,
            pieces: need.total(),
            prefill: prefill.map(|worker| worker.spec.name.clone()),
            runner: runner.spec.name.clone(),
            suspect: ask.suspect,
        };
        Some(GrantMessage {
            claim,
            prefill_address: prefill.map(|worker| worker.spec.address),
            runner_address: runner.spec.address,
        })
    }

    fn choose_runner(
        &self,
        now: Instant,
        ask: &AdmissionRequest,
        need: MemoryNeed,
    ) -> Option<&PoolWorker> {
        let candidates = self.runners().filter(|worker| {
            worker.is_usable(now)
                && worker.slots < worker.spec.slots.0
                && self.has_memory(now, worker, need, ask.is_late())
                && !ask.avoid.contains(&worker.spec.name)
                && !(ask.suspect && worker.suspects > 0)
        });
        let chosen = self.least_loaded(now, candidates, ask);
        chosen.or_else(|| {
            let resting = self.runners().filter(|worker| {
                !worker.is_usable(now) && worker.is_last_resort() && worker.may_take(ask)
            });
            let any_usable =
                self.runners().any(|worker| worker.is_usable(now) && worker.may_take(ask));
            let soonest = resting.min_by_key(|worker| worker.rest_until);
            soonest.filter(|_| !any_usable && !ask.suspect)
        })
    }

    fn least_loaded<'a>(
        &self,
        now: Instant,
        candidates: impl Iterator<Item = &'a PoolWorker>,
        ask: &AdmissionRequest,
    ) -> Option<&'a PoolWorker> {
        let usual = self.usual_failing(now, self.runners());
        // A suspect goes where the fewest others run; all else avoids failures, spreads transfers, then
        // load.
        candidates.min_by_key(|worker| {
            let others = if ask.suspect { worker.slots } else { 0 };
            let failing = worker.health.failing_load(now, usual);
            let load = worker.load() + self.distance(worker) + failing;
            (others, failing >= MUCH_FAILING, worker.transfers, load)
        })
    }

    /// Returns the part of requests that fail at upstreams of one kind in the mean; some fail whoever
    /// runs them.
    fn usual_failing<'a>(
        &self,
        now: Instant,
        workers: impl Iterator<Item = &'a PoolWorker>,
    ) -> f64 {
        let (sum, count) = workers.fold((0.0, 0.0), |(sum, count), worker| {
            (sum + worker.health.failing(now), count + 1.0)
        });
        sum / f64::max(count, 1.0)
    }

    /// Returns by how much an upstream of another failure domain must be less loaded to be chosen.
    fn distance(&self, worker: &PoolWorker) -> u64 {
        match &self.home {
            Some(home) if *home != worker.spec.domain => FOREIGN_LOAD,
            _ => 0,
        }
    }

    /// Returns how many prompts a prefill worker may have at the same time. Where decode workers can
    /// compute prompts too, a short queue is worth more than a full one.
    fn prefill_limit(&self, worker: &PoolWorker) -> u32 {
        let all = worker.spec.slots.0;
        if self.pace.is_some() { all.min(PREFILL_QUEUE) } else { all }
    }

    fn choose_prefill(
        &self,
        now: Instant,
        ask: &AdmissionRequest,
        prefixes: &PrefixMemory,
    ) -> Option<&PoolWorker> {
        let all = || self.workers.values().filter(|w| w.spec.role == UpstreamRole::Prefill);
        let usual = self.usual_failing(now, all());
        let candidates = all().filter(|worker| {
            worker.is_usable(now)
                && worker.slots < self.prefill_limit(worker)
                && !ask.avoid.contains(&worker.spec.name)
        });
        candidates.min_by_key(|worker| {
            // One prompt more in the queue costs far more than a shared part computed again.
            let hits = prefixes.hits(&ask.prefix, &worker.spec.name);
            let failing = worker.health.failing_load(now, usual);
            let load = worker.load() + self.distance(worker) / PREFILL_NEARNESS + failing;
            (self.pace.map(|_| load), std::cmp::Reverse(hits), load)
        })
    }
}
