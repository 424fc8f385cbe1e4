//! Chooses the upstreams of a request.

use super::memory::MemoryNeed;
use super::{PoolWorker, WorkerPool};
use crate::coordination::messages::{AdmissionRequest, ClaimPhase, GrantMessage, SlotClaim};
use crate::coordination::shard::ledger::PreviewCandidate;
use crate::coordination::shard::prefixes::PrefixIndex;
use crate::prelude::*;

/// The divisor of the penalty for another failure domain when a prefill worker is chosen, since
/// prefill results are transferred within milliseconds.
const PREFILL_PENALTY_DIVISOR: u64 = 10;
/// The delay, in thousandths of the time for one prompt, that is added to a prefill worker in another
/// failure domain: the transfer of its result takes twice as long and costs traffic.
const REMOTE_PREFILL_DELAY: u64 = 500;
/// The delay from which a prefill worker that is busy gets no more prompts, in the same unit.
const MAX_PREFILL_DELAY: u64 = MAX_PREFILL_QUEUE as u64 * 1000;
/// The maximum number of prompts that one owner queues at a prefill worker. A prompt takes about
/// 100 ms, and other owners send prompts to the same worker.
const MAX_PREFILL_QUEUE: u32 = 3;
/// The failure penalty, in thousandths of the slots, from which an upstream is used only if no
/// other has capacity.
const HIGH_FAILURE_PENALTY: u64 = 500;
/// The load, in thousandths of the slots, up to which a local upstream is preferred to an idle one
/// in another failure domain.
const REMOTE_DOMAIN_PENALTY: u64 = 400;

impl WorkerPool {
    /// Chooses upstreams for a request. Returns `None` while there is no capacity.
    pub fn place(
        &self,
        now: Instant,
        request: &AdmissionRequest,
        need: MemoryNeed,
        template: &ServiceTemplate,
        prefixes: &PrefixIndex,
    ) -> Option<GrantMessage> {
        let runner = self.choose_runner(now, request, need)?;
        let prefill = match self.needs_prefill() && !request.prefilled {
            true => match self.choose_prefill(now, request, prefixes) {
                None if !template.local_prefill => return None,
                chosen => chosen,
            },
            false => None,
        };
        let phase = match (prefill.is_some(), request.prefilled) {
            (true, _) => ClaimPhase::Prefill,
            (false, true) => ClaimPhase::Transfer,
            (false, false) => ClaimPhase::Run,
        };
        let claim = SlotClaim {
            account: request.account.clone(),
            attempt: request.attempt.clone(),
            growth: if self.growth_rate.is_some() { need.output } else { KvBlocks(0) },
            phase,
            kv_blocks: need.total(),
            prefill: prefill.map(|worker| worker.spec.name.clone()),
            runner: runner.spec.name.clone(),
            suspect: request.suspect,
        };
        Some(GrantMessage {
            claim,
            prefill_address: prefill.map(|worker| worker.spec.address),
            runner_address: runner.spec.address,
            runner_software: runner.spec.software.clone(),
        })
    }

    /// Returns at how many engines one more request of this size could start now. A `late` request has
    /// missed its first-token target.
    pub fn starts(&self, now: Instant, need: MemoryNeed, late: bool) -> u32 {
        let has_room = |worker: &&PoolWorker| {
            worker.is_usable(now)
                && worker.slots < worker.spec.slots.0
                && self.has_memory(now, worker, need, late)
        };
        self.runners().filter(has_room).count() as u32
    }

    /// Returns the upstreams that are compared for a request.
    pub fn compare(
        &self,
        now: Instant,
        request: &AdmissionRequest,
        need: MemoryNeed,
    ) -> Vec<PreviewCandidate> {
        let row = |worker: &PoolWorker| {
            let is_runner = worker.spec.role != UpstreamRole::Prefill;
            PreviewCandidate {
                accepts: worker.accepts(request),
                has_room: match is_runner {
                    true => {
                        worker.slots < worker.spec.slots.0
                            && self.has_memory(now, worker, need, request.is_late())
                    }
                    false => worker.slots < self.prefill_limit(worker),
                },
                name: worker.spec.name.clone(),
                role: worker.spec.role,
                slots: worker.slots,
                slots_of: worker.spec.slots,
                usable: worker.is_usable(now),
            }
        };
        self.workers.values().map(row).collect()
    }

    fn choose_runner(
        &self,
        now: Instant,
        request: &AdmissionRequest,
        need: MemoryNeed,
    ) -> Option<&PoolWorker> {
        let candidates = self.runners().filter(|worker| {
            worker.is_usable(now)
                && worker.slots < worker.spec.slots.0
                && self.has_memory(now, worker, need, request.is_late())
                && worker.accepts(request)
                && !(request.suspect && worker.suspects > 0)
        });
        let chosen = self.least_loaded(now, candidates, request);
        chosen.or_else(|| {
            let backed_off = self.runners().filter(|worker| {
                !worker.is_usable(now) && worker.can_probe() && worker.accepts(request)
            });
            let any_usable =
                self.runners().any(|worker| worker.is_usable(now) && worker.accepts(request));
            let soonest = backed_off.min_by_key(|worker| worker.backoff_until);
            soonest.filter(|_| !any_usable && !request.suspect)
        })
    }

    fn least_loaded<'a>(
        &self,
        now: Instant,
        candidates: impl Iterator<Item = &'a PoolWorker>,
        request: &AdmissionRequest,
    ) -> Option<&'a PoolWorker> {
        let baseline = self.mean_failure_rate(now, self.runners());
        if let Some(mean) = self.mean_picture(now) {
            return candidates.min_by_key(|worker| {
                let others = if request.suspect { worker.slots } else { 0 };
                let name = &worker.spec.name;
                (others, self.expected_completion(now, name, &request.attempt, &mean))
            });
        }
        let prompts = self.prompts_at_runners();
        // A suspect request goes where it endangers the fewest other runs. All others prefer, in
        // this order, workers that do not fail, compute few prompts themselves, have few transfers and
        // have a low load.
        candidates.min_by_key(|worker| {
            let others = if request.suspect { worker.slots } else { 0 };
            let failure_penalty = worker.health.failure_penalty(now, baseline);
            let load = worker.load() + self.domain_penalty(worker) + failure_penalty;
            let prompts = prompts.get(&worker.spec.name).copied().unwrap_or_default();
            (others, failure_penalty >= HIGH_FAILURE_PENALTY, prompts, worker.transfers, load)
        })
    }

    /// Returns the average failure rate of upstreams of one kind; some requests fail on any
    /// upstream.
    fn mean_failure_rate<'a>(
        &self,
        now: Instant,
        workers: impl Iterator<Item = &'a PoolWorker>,
    ) -> f64 {
        let (sum, count) = workers.fold((0.0, 0.0), |(sum, count), worker| {
            (sum + worker.health.failure_rate(now), count + 1.0)
        });
        sum / f64::max(count, 1.0)
    }

    /// Returns the load, in thousandths of the slots, that is added to an upstream in another
    /// failure domain.
    fn domain_penalty(&self, worker: &PoolWorker) -> u64 {
        match &self.local_domain {
            Some(local_domain) if *local_domain != worker.spec.domain => REMOTE_DOMAIN_PENALTY,
            _ => 0,
        }
    }

    /// Returns how many prompts a prefill worker may have at a time. With a token time configured
    /// the queue is kept short, since decode workers can compute prompts too.
    fn prefill_limit(&self, worker: &PoolWorker) -> u32 {
        let all = worker.spec.slots.0;
        if self.growth_rate.is_some() { all.min(MAX_PREFILL_QUEUE) } else { all }
    }

    fn choose_prefill(
        &self,
        now: Instant,
        request: &AdmissionRequest,
        prefixes: &PrefixIndex,
    ) -> Option<&PoolWorker> {
        let all = || self.workers.values().filter(|w| w.spec.role == UpstreamRole::Prefill);
        let baseline = self.mean_failure_rate(now, all());
        let candidates = all().filter(|worker| {
            worker.is_usable(now)
                && worker.slots < self.prefill_limit(worker)
                && !request.avoid.contains(&worker.spec.name)
        });
        if self.uses_speed {
            let is_soon = |worker: &&PoolWorker| {
                worker.slots == 0 || self.prefill_delay(now, worker) <= MAX_PREFILL_DELAY
            };
            return candidates.filter(is_soon).min_by_key(|worker| {
                let is_remote = self.domain_penalty(worker) > 0;
                let way = if is_remote { REMOTE_PREFILL_DELAY } else { 0 };
                self.prefill_delay(now, worker)
                    + way
                    + worker.health.failure_penalty(now, baseline) * 2
            });
        }
        candidates.min_by_key(|worker| {
            // One more prompt in the queue costs far more time than recomputing a shared prefix.
            let hits = prefixes.hits(&request.prefix, &worker.spec.name);
            let failure_penalty = worker.health.failure_penalty(now, baseline);
            let load = worker.load()
                + self.domain_penalty(worker) / PREFILL_PENALTY_DIVISOR
                + failure_penalty;
            (self.growth_rate.map(|_| load), std::cmp::Reverse(hits), load)
        })
    }
}
