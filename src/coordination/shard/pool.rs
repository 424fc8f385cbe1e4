//! The upstreams of a shard with their health, slots and memory in use.

mod health;
mod memory;
mod picture;
mod placement;
mod speed;

pub use memory::{GrowthRate, MemoryNeed, RunProgress};
pub use picture::{LoadReport, MAX_NEWS, UpstreamNews, UpstreamPicture};

use crate::coordination::messages::{AdmissionRequest, ClaimPhase, GrantMessage, SlotClaim};
use crate::coordination::shard::estimate::{MeanDuration, UsableSlots};
use crate::prelude::*;
use health::WorkerHealth;
use speed::PrefillSpeed;
use std::collections::{BTreeMap, BTreeSet};

/// The backoff after an upstream's first failure; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// The maximum backoff after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// The backoff of an upstream that refused a request for lack of capacity.
const FULL_BACKOFF: Duration = Duration::from_millis(100);
/// The time for which a daemon that is not the owner keeps claims that the owner has to cancel.
const ORPHAN_RETENTION: Duration = Duration::from_secs(60);
/// The interval at which an unconfirmed cancel is repeated.
const CANCEL_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A claim and its state in the ledger.
#[derive(Debug)]
pub struct HeldClaim {
    /// The slots and memory that the attempt holds.
    pub claim: SlotClaim,
    /// When the claim was granted or first reported.
    pub since: Instant,
    /// The last reported progress of the run, if it has started.
    pub progress: Option<RunProgress>,
    /// The prompts of this owner that the prefill worker had to compute before this one.
    pub prompts_ahead: u32,
    /// The upstreams that have not confirmed the cancel yet, each with the time at which the cancel
    /// is sent next. `None` unless the claim is being cancelled.
    pub cancelling: Option<BTreeMap<UpstreamName, Instant>>,
}

#[derive(Debug)]
struct PoolWorker {
    /// The measured time per token relative to the expected one.
    slowness: f64,
    /// The number of times that the worker has failed to respond since its last response.
    consecutive_failures: u32,
    health: WorkerHealth,
    kv_blocks: u32,
    /// Whether the worker has said in a response that it is about to stop.
    leaving: bool,
    /// What it reports of its load; `None` if it reports nothing.
    picture: Option<UpstreamPicture>,
    /// How fast it has computed prompts.
    prefill_speed: PrefillSpeed,
    /// The end of the current backoff.
    backoff_until: Option<Instant>,
    slots: u32,
    spec: UpstreamSpec,
    /// The number of suspect requests that run on this worker.
    suspects: u32,
    /// The number of claims on this worker that have not reached the run phase.
    transfers: u32,
}

impl PoolWorker {
    fn new(spec: UpstreamSpec) -> Self {
        Self {
            slowness: 1.0,
            consecutive_failures: 0,
            health: WorkerHealth::default(),
            kv_blocks: 0,
            leaving: false,
            picture: None,
            prefill_speed: PrefillSpeed::default(),
            backoff_until: None,
            slots: 0,
            spec,
            suspects: 0,
            transfers: 0,
        }
    }

    fn is_usable(&self, now: Instant) -> bool {
        !self.is_stopping() && self.backoff_until.is_none_or(|until| until <= now)
    }

    fn is_stopping(&self) -> bool {
        self.spec.draining || self.leaving
    }

    /// Returns whether the request may run here once there is capacity.
    fn accepts(&self, request: &AdmissionRequest) -> bool {
        !self.is_stopping()
            && !request.avoid.contains(&self.spec.name)
            && request.software.as_ref().is_none_or(|software| *software == self.spec.software)
    }

    /// Returns whether a worker that is backed off may get a probe if no other is usable: it must
    /// be idle, so that it gets one request at a time.
    fn can_probe(&self) -> bool {
        self.slots == 0
    }

    /// Returns the slots in use, in thousandths of all slots.
    fn load(&self) -> u64 {
        u64::from(self.slots) * 1000 / u64::from(self.spec.slots.0)
    }
}

/// One upstream in the status report.
#[derive(Clone, Debug)]
pub struct WorkerReport {
    /// The upstream's configuration.
    pub spec: UpstreamSpec,
    /// The number of slots in use.
    pub slots: u32,
    /// The number of KV-cache blocks in use.
    pub kv_blocks: u32,
    /// Whether the upstream takes requests now.
    pub usable: bool,
}

/// The upstreams of one shard, with exact counts of the slots and memory in use.
#[derive(Debug, Default)]
pub struct WorkerPool {
    claims: BTreeMap<AttemptId, HeldClaim>,
    /// The number of decode or plain slots that each account holds.
    slots_by_account: BTreeMap<AccountName, u32>,
    local_domain: Option<DomainName>,
    /// The rate at which runs fill memory; `None` if each is charged for its full size from the
    /// start.
    growth_rate: Option<GrowthRate>,
    /// How much longer a call may wait before it leaves the failure domain; `None` to place calls
    /// by load alone.
    remote_cost: Option<Duration>,
    /// Whether prompts are placed by the speed that workers have shown.
    uses_speed: bool,
    /// The time that a call takes on a machine of usual speed.
    service_time: MeanDuration,
    workers: BTreeMap<UpstreamName, PoolWorker>,
}

impl WorkerPool {
    /// Replaces the set of upstreams. Claims are kept; an upstream of the same incarnation also
    /// keeps its health and backoff.
    pub fn configure<'a>(
        &mut self,
        local_domain: &DomainName,
        growth_rate: Option<GrowthRate>,
        specs: impl Iterator<Item = &'a UpstreamSpec>,
    ) {
        self.local_domain = Some(local_domain.clone());
        self.growth_rate = growth_rate;
        let mut old = std::mem::take(&mut self.workers);
        for spec in specs {
            let worker = match old.remove(&spec.name) {
                Some(worker) if worker.spec.incarnation == spec.incarnation => {
                    PoolWorker { spec: spec.clone(), ..worker }
                }
                _ => PoolWorker::new(spec.clone()),
            };
            self.workers.insert(spec.name.clone(), worker);
        }
        self.recount();
    }

    /// Sets how much longer a call may wait before it leaves the failure domain.
    pub fn set_remote_cost(&mut self, cost: Option<Duration>) {
        self.remote_cost = cost;
    }

    /// Sets whether prompts are placed by the speed that workers have shown.
    pub fn set_uses_speed(&mut self, uses_speed: bool) {
        self.uses_speed = uses_speed;
    }

    /// Returns the claim of an attempt.
    pub fn claim(&self, attempt: &AttemptId) -> Option<&HeldClaim> {
        self.claims.get(attempt)
    }

    /// Returns the claims of the attempts that one entry daemon started.
    pub fn claims_of_entry<'a>(
        &'a self,
        entry: &'a DaemonId,
    ) -> impl Iterator<Item = &'a HeldClaim> {
        self.claims.values().filter(move |held| held.claim.attempt.request.entry == *entry)
    }

    /// Returns all claims, including those being cancelled.
    pub fn claims(&self) -> impl Iterator<Item = &HeldClaim> {
        self.claims.values()
    }

    /// Returns how many decode or plain slots an account holds.
    pub fn slots_held_by(&self, account: &AccountName) -> u32 {
        self.slots_by_account.get(account).copied().unwrap_or(0)
    }

    /// Adds a claim, or replaces the attempt's earlier one and keeps its start time and progress.
    pub fn insert(&mut self, now: Instant, claim: SlotClaim) {
        let old = self.remove(&claim.attempt);
        let since = old.as_ref().map_or(now, |old| old.since);
        let old_prompts_ahead = old.as_ref().map(|old| old.prompts_ahead);
        let begins = claim.phase == ClaimPhase::Run && claim.growth.0 > 0;
        let begun = begins.then_some(RunProgress { at: now, tokens: Tokens(0) });
        let progress = old.and_then(|old| old.progress).or(begun);
        let prompts_ahead = old_prompts_ahead.unwrap_or_else(|| self.prompts_at(&claim));
        self.adjust_counts(&claim, true);
        let picture =
            self.workers.get_mut(&claim.runner).and_then(|worker| worker.picture.as_mut());
        picture.into_iter().for_each(UpstreamPicture::record_sent);
        let held = HeldClaim { claim, since, progress, prompts_ahead, cancelling: None };
        self.claims.insert(held.claim.attempt.clone(), held);
    }

    /// Removes a claim and frees its slots and memory at once.
    pub fn remove(&mut self, attempt: &AttemptId) -> Option<HeldClaim> {
        let held = self.claims.remove(attempt)?;
        self.adjust_counts(&held.claim, false);
        Some(held)
    }

    /// Starts to cancel an orphaned claim: its slots stay in use until the upstreams confirm.
    pub fn orphan(&mut self, now: Instant, attempt: &AttemptId) {
        self.begin_cancel(now, attempt, true);
    }

    /// Like [`WorkerPool::orphan`], but does not cancel a prefill that has finished: the next
    /// attempt may still fetch its result, which the prefill worker evicts soon anyway.
    pub fn orphan_runner(&mut self, now: Instant, attempt: &AttemptId) {
        let held = self.claims.get(attempt);
        let computing = held.is_some_and(|held| held.claim.phase == ClaimPhase::Prefill);
        self.begin_cancel(now, attempt, computing);
    }

    fn begin_cancel(&mut self, now: Instant, attempt: &AttemptId, with_prefill: bool) {
        let Some(held) = self.claims.get_mut(attempt) else { return };
        if held.cancelling.is_some() {
            return;
        }
        let prefill = held.claim.prefill.as_ref().filter(|_| with_prefill);
        let names = std::iter::once(&held.claim.runner).chain(prefill);
        held.cancelling = Some(names.map(|name| (name.clone(), now)).collect());
    }

    /// Returns the cancels that are due, and schedules when each is repeated. Removes claims of
    /// which no upstream is left that could confirm.
    pub fn due_cancels(&mut self, now: Instant) -> Vec<(UpstreamSpec, AttemptId)> {
        let mut due = Vec::new();
        let mut settled = Vec::new();
        for (attempt, held) in &mut self.claims {
            let Some(cancelling) = &mut held.cancelling else { continue };
            cancelling.retain(|name, _| self.workers.contains_key(name));
            for (name, at) in cancelling.iter_mut().filter(|(_, at)| **at <= now) {
                *at = now + CANCEL_RETRY_INTERVAL;
                due.push((self.workers[name].spec.clone(), attempt.clone()));
            }
            if cancelling.is_empty() {
                settled.push(attempt.clone());
            }
        }
        for attempt in settled {
            self.remove(&attempt);
        }
        due
    }

    /// Drops old orphaned claims on a daemon that is not the owner: it sends no cancels, so it
    /// never gets a confirmation.
    pub fn expire_orphans(&mut self, now: Instant) {
        let is_old = |held: &HeldClaim| {
            let since = held.cancelling.as_ref().and_then(|open| open.values().max());
            since.is_some_and(|since| now >= *since + ORPHAN_RETENTION)
        };
        let old = self.claims.iter().filter(|(_, held)| is_old(held));
        let old: Vec<_> = old.map(|(attempt, _)| attempt.clone()).collect();
        for attempt in old {
            self.remove(&attempt);
        }
    }

    /// Records that an upstream confirmed a cancel. Returns whether that was the last one, which
    /// frees the claim.
    pub fn confirm_cancel(&mut self, attempt: &AttemptId, upstream: &UpstreamName) -> bool {
        let Some(held) = self.claims.get_mut(attempt) else { return false };
        let Some(cancelling) = &mut held.cancelling else { return false };
        cancelling.remove(upstream);
        if !cancelling.is_empty() {
            return false;
        }
        self.remove(attempt);
        true
    }

    /// Records that an upstream did not respond, and backs it off exponentially.
    pub fn record_failure(&mut self, now: Instant, name: &UpstreamName) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let backoff = INITIAL_BACKOFF
            .saturating_mul(1 << worker.consecutive_failures.min(8))
            .min(MAX_BACKOFF);
        worker.consecutive_failures += 1;
        worker.backoff_until = Some(now + backoff);
    }

    /// Records that an upstream refused a request for lack of capacity, and backs it off briefly.
    pub fn record_full(&mut self, now: Instant, name: &UpstreamName) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.backoff_until = Some(now + FULL_BACKOFF);
        }
    }

    /// Records that an upstream has said that it is about to stop. This holds for the incarnation
    /// and all earlier ones.
    pub fn mark_leaving(&mut self, name: &UpstreamName, incarnation: Incarnation) {
        let worker = self.workers.get_mut(name);
        if let Some(worker) = worker.filter(|worker| worker.spec.incarnation <= incarnation) {
            worker.leaving = true;
        }
    }

    /// Records that an upstream responded, possibly with an error. Any response ends its backoff,
    /// but upstreams that fail less often are preferred.
    pub fn record_response(&mut self, now: Instant, name: &UpstreamName, failed: bool) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.consecutive_failures = 0;
            worker.backoff_until = None;
            worker.health.record_outcome(now, failed);
        }
    }

    /// Returns the slots and memory of the upstreams that take requests now.
    pub fn usable(&self, now: Instant) -> UsableSlots {
        let mut slots = UsableSlots::default();
        for worker in self.workers.values().filter(|worker| worker.is_usable(now)) {
            match worker.spec.role {
                UpstreamRole::Prefill => {
                    slots.prefill = slots.prefill.saturating_add(worker.spec.slots.0);
                }
                UpstreamRole::Decode | UpstreamRole::Plain => {
                    slots.run = slots.run.saturating_add(worker.spec.slots.0);
                    let kv_blocks = worker.spec.kv_blocks.map(|kv_blocks| u64::from(kv_blocks.0));
                    slots.kv_blocks =
                        kv_blocks.map(|kv_blocks| slots.kv_blocks.unwrap_or(0) + kv_blocks);
                }
            }
        }
        slots
    }

    /// Returns how many decode workers or plain upstreams take requests now.
    pub fn usable_decoders(&self, now: Instant) -> usize {
        self.runners().filter(|worker| worker.is_usable(now)).count()
    }

    /// Returns whether the request has any upstream it may run on, even one that is busy or backed
    /// off.
    pub fn has_runner_for(&self, request: &AdmissionRequest) -> bool {
        self.runners().any(|worker| worker.accepts(request))
    }

    /// Returns whether a request waits for something other than capacity: the shard has usable
    /// upstreams, but all those that this request may use are backed off or run another suspect
    /// request.
    pub fn is_blocked(&self, now: Instant, request: &AdmissionRequest) -> bool {
        let mut usable = self.runners().filter(|worker| worker.is_usable(now)).peekable();
        let any_usable = usable.peek().is_some();
        let is_eligible = |worker: &PoolWorker| {
            worker.accepts(request) && !(request.suspect && worker.suspects > 0)
        };
        any_usable && !usable.any(is_eligible)
    }

    /// Returns whether the shard has separate prefill workers.
    pub fn needs_prefill(&self) -> bool {
        self.workers.values().any(|worker| worker.spec.role == UpstreamRole::Prefill)
    }

    /// Returns whether this much memory fits on any single upstream when it is empty.
    pub fn could_hold(&self, kv_blocks: KvBlocks) -> bool {
        let mut runners = self.runners();
        runners.any(|worker| worker.spec.kv_blocks.is_none_or(|all| kv_blocks <= all))
    }

    /// Returns the existing grant of an attempt, as the reply to a duplicate admission request.
    pub fn existing_grant(&self, attempt: &AttemptId) -> Option<GrantMessage> {
        let held = self.claims.get(attempt)?;
        let address = |name: &UpstreamName| self.workers.get(name).map(|w| w.spec.address);
        let runner = &self.workers.get(&held.claim.runner)?.spec;
        Some(GrantMessage {
            claim: held.claim.clone(),
            prefill_address: held.claim.prefill.as_ref().and_then(address),
            runner_address: runner.address,
            runner_software: runner.software.clone(),
        })
    }

    /// Returns the status of every upstream.
    pub fn report(&self, now: Instant) -> Vec<WorkerReport> {
        let row = |worker: &PoolWorker| WorkerReport {
            spec: worker.spec.clone(),
            slots: worker.slots,
            kv_blocks: worker.kv_blocks,
            usable: worker.is_usable(now),
        };
        self.workers.values().map(row).collect()
    }

    /// Returns whether the running counters equal the sums over the claims; tests check this after
    /// each event.
    pub fn is_consistent(&self) -> bool {
        let mut slots: BTreeMap<&UpstreamName, (u32, u32)> = BTreeMap::new();
        for held in self.claims.values() {
            let runner = slots.entry(&held.claim.runner).or_default();
            runner.0 += 1;
            runner.1 += held.claim.kv_blocks.0;
            if let (Some(name), ClaimPhase::Prefill) = (&held.claim.prefill, held.claim.phase) {
                slots.entry(name).or_default().0 += 1;
            }
        }
        self.workers.iter().all(|(name, worker)| {
            let (count, kv_blocks) = slots.get(name).copied().unwrap_or_default();
            worker.slots == count && worker.kv_blocks == kv_blocks
        })
    }

    fn runners(&self) -> impl Iterator<Item = &PoolWorker> {
        self.workers.values().filter(|worker| worker.spec.role != UpstreamRole::Prefill)
    }

    fn adjust_counts(&mut self, claim: &SlotClaim, add: bool) {
        let step = |value: &mut u32, by: u32| {
            *value = if add { *value + by } else { value.saturating_sub(by) };
        };
        step(self.slots_by_account.entry(claim.account.clone()).or_default(), 1);
        if self.slots_by_account.get(&claim.account) == Some(&0) {
            self.slots_by_account.remove(&claim.account);
        }
        if let Some(runner) = self.workers.get_mut(&claim.runner) {
            step(&mut runner.slots, 1);
            step(&mut runner.kv_blocks, claim.kv_blocks.0);
            step(&mut runner.suspects, u32::from(claim.suspect));
            step(&mut runner.transfers, u32::from(claim.phase != ClaimPhase::Run));
        }
        if claim.phase == ClaimPhase::Prefill {
            let name = claim.prefill.as_ref();
            if let Some(prefill) = name.and_then(|name| self.workers.get_mut(name)) {
                step(&mut prefill.slots, 1);
            }
        }
    }

    fn recount(&mut self) {
        for worker in self.workers.values_mut() {
            (worker.slots, worker.kv_blocks, worker.suspects, worker.transfers) = (0, 0, 0, 0);
        }
        self.slots_by_account.clear();
        let claims: Vec<_> = self.claims.values().map(|held| held.claim.clone()).collect();
        claims.iter().for_each(|claim| self.adjust_counts(claim, true));
    }

    /// Returns the entry daemons whose attempts hold any claim.
    pub fn entries_with_claims(&self) -> BTreeSet<DaemonId> {
        self.claims.keys().map(|attempt| attempt.request.entry.clone()).collect()
    }
}
