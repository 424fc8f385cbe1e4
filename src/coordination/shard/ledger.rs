//! The ledger of one shard: events in, actions out.

mod admission;
mod claims;
mod events;

pub use events::{ShardAction, ShardEvent, ShardRole, ShardStatus, UpstreamStatus};

use crate::coordination::messages::{ShardMessage, SlotClaim};
use crate::coordination::roles::RequestShape;
use crate::coordination::shard::estimate::{LoadEstimate, RequestSample};
use crate::coordination::shard::pool::{GrowthRate, WorkerPool};
use crate::coordination::shard::prefixes::PrefixIndex;
use crate::coordination::shard::queue::FairQueue;
use crate::coordination::shard::recovery::OwnerRecovery;
use crate::coordination::shard::refusals::RefusalHistory;
use crate::coordination::shard::retry_schedule::RetrySchedule;
use crate::prelude::*;
use crate::state::fleet::AccountQuota;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Admits work to one shard's upstreams.
#[derive(Debug)]
pub struct ShardLedger {
    retry_schedule: RetrySchedule,
    domain: DomainName,
    estimate: LoadEstimate,
    quotas: BTreeMap<AccountName, AccountQuota>,
    live: BTreeSet<DaemonId>,
    pool: WorkerPool,
    prefixes: PrefixIndex,
    queue: FairQueue,
    recovery: Option<OwnerRecovery>,
    refusals: RefusalHistory,
    role: ShardRole,
    /// What other failure domains have seen of the service's requests.
    samples: BTreeMap<DomainName, RequestSample>,
    template: Option<Arc<ServiceTemplate>>,
}

impl ShardLedger {
    /// Returns an empty ledger for a shard in `domain`.
    pub fn new(domain: DomainName) -> Self {
        Self {
            retry_schedule: RetrySchedule::default(),
            domain,
            estimate: LoadEstimate::default(),
            quotas: BTreeMap::new(),
            live: BTreeSet::new(),
            pool: WorkerPool::default(),
            prefixes: PrefixIndex::default(),
            queue: FairQueue::default(),
            recovery: None,
            refusals: RefusalHistory::default(),
            role: ShardRole::Bystander,
            samples: BTreeMap::new(),
            template: None,
        }
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: ShardEvent) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        match event {
            ShardEvent::CancelConfirmed(attempt, upstream) => {
                let account = self.pool.claim(&attempt).map(|held| held.claim.account.clone());
                if self.pool.confirm_cancel(&attempt, &upstream) {
                    account.iter().for_each(|account| self.refresh_account(account));
                }
            }
            ShardEvent::Configure(template, quotas) => {
                self.configure(template, quotas);
                self.refuse_unservable(&mut actions);
            }
            ShardEvent::Members { live, local, role } => {
                self.set_members(now, live, &local, role, &mut actions);
            }
            ShardEvent::Message(from, message) => {
                self.handle_message(now, from, message, &mut actions);
            }
            ShardEvent::Tick => {
                self.retry_schedule.prune(now);
                self.refusals.prune(now);
            }
        }
        if self.role != ShardRole::Owner {
            self.pool.expire_orphans(now);
        } else {
            // What is late but finds room runs: only overload refuses it.
            self.schedule(now, &mut actions);
            self.refuse_expired(now, &mut actions);
            self.cancel_orphans(now, &mut actions);
        }
        actions
    }

    /// Returns when the ledger wants its next [`ShardEvent::Tick`] at the latest.
    pub fn next_wake(&self) -> Option<Instant> {
        let recovery = self.recovery.as_ref().map(OwnerRecovery::deadline);
        self.queue.next_expiry().into_iter().chain(recovery).min()
    }

    /// Returns what an operator sees.
    pub fn status(&self, now: Instant) -> ShardStatus {
        let rows = self.pool.report(now).into_iter().map(|row| UpstreamStatus {
            leaving: row.spec.draining,
            name: row.spec.name,
            pieces: row.kv_blocks,
            slots: row.slots,
            slots_of: row.spec.slots,
            usable: row.usable,
        });
        ShardStatus { role: self.role, waiting: self.queue.len(), upstreams: rows.collect() }
    }

    /// Returns what requests need in the mean, if this daemon owns the shard and has seen enough.
    pub fn shape(&self, now: Instant) -> Option<RequestShape> {
        if self.role != ShardRole::Owner {
            return None;
        }
        let template = self.template.as_ref()?;
        let sample = self.samples.values().fold(self.sample(now), RequestSample::merged_with);
        sample.shape(template, self.pool.usable(now), self.pool.usable_decoders(now))
    }

    /// Returns what this failure domain has seen of the service's requests.
    pub fn sample(&self, now: Instant) -> RequestSample {
        let held = self.pool.claims();
        self.estimate.sample(held.map(|held| now.saturating_duration_since(held.since)))
    }

    /// Returns this daemon's role.
    pub fn role(&self) -> ShardRole {
        self.role
    }

    /// Returns the claims that the ledger knows.
    pub fn claims(&self) -> impl Iterator<Item = &SlotClaim> {
        self.pool.claims().map(|held| &held.claim)
    }

    /// Returns whether slots and memory equal the claims on them.
    pub fn is_consistent(&self) -> bool {
        self.pool.is_consistent()
    }

    fn configure(
        &mut self,
        template: Arc<ServiceTemplate>,
        quotas: BTreeMap<AccountName, AccountQuota>,
    ) {
        let domain = &self.domain;
        let specs = template.upstreams.iter().filter(|spec| match template.placement {
            PlacementScope::Domain => {
                let shared = template.shared_prefill && spec.role == UpstreamRole::Prefill;
                spec.domain == *domain || shared
            }
            PlacementScope::Entry => true,
        });
        let token_time = template.token_time;
        let growth_rate = token_time
            .map(|time| GrowthRate { block_tokens: template.block_tokens, token_time: time });
        self.pool.configure(domain, growth_rate, specs);
        self.template = Some(template);
        self.quotas = quotas;
        let accounts: Vec<_> = self.quotas.keys().cloned().collect();
        accounts.iter().for_each(|account| self.refresh_account(account));
    }

    fn set_members(
        &mut self,
        now: Instant,
        live: BTreeSet<DaemonId>,
        local: &BTreeSet<DaemonId>,
        role: ShardRole,
        actions: &mut Vec<ShardAction>,
    ) {
        if role == ShardRole::Owner && self.role != ShardRole::Owner {
            self.recovery = Some(OwnerRecovery::start(now, local));
            // Their own reports may have come before this daemon knew of its role.
            let pull = |entry: &DaemonId| ShardAction::Send(entry.clone(), ShardMessage::Pull);
            actions.extend(local.iter().map(pull));
        }
        if role != ShardRole::Owner {
            self.recovery = None;
            self.queue.clear();
        }
        if role == ShardRole::Bystander {
            let attempts: Vec<_> = self.claims().map(|claim| claim.attempt.clone()).collect();
            attempts.iter().for_each(|attempt| self.free_claim(attempt));
        }
        self.role = role;
        self.live = live;
        self.queue.retain_entries(&self.live);
        for entry in self.pool.entries_with_claims() {
            if !self.live.contains(&entry) {
                self.orphan_entry(now, &entry);
            }
        }
        if let Some(recovery) = &mut self.recovery {
            let gone = local.iter().filter(|entry| !self.live.contains(*entry));
            gone.for_each(|entry| recovery.mark_reported(entry));
        }
        self.refresh_all();
    }

    fn orphan_entry(&mut self, now: Instant, entry: &DaemonId) {
        let claims = self.pool.claims_of_entry(entry);
        let attempts: Vec<_> = claims.map(|held| held.claim.attempt.clone()).collect();
        attempts.iter().for_each(|attempt| self.orphan(now, attempt));
    }

    /// Frees a claim whose holder is gone: at once where nothing can be cancelled, else after the
    /// upstreams confirm.
    fn orphan(&mut self, now: Instant, attempt: &AttemptId) {
        if self.is_plain() {
            self.free_claim(attempt);
        } else {
            self.pool.orphan(now, attempt);
        }
    }

    fn is_plain(&self) -> bool {
        let template = self.template.as_ref();
        template.is_some_and(|t| t.upstreams.iter().any(|u| u.role == UpstreamRole::Plain))
    }

    fn handle_message(
        &mut self,
        now: Instant,
        from: DaemonId,
        message: ShardMessage,
        actions: &mut Vec<ShardAction>,
    ) {
        match message {
            ShardMessage::RequestAdmission(request) if self.role == ShardRole::Owner => {
                let request = self.restore_deadline(now, &from, request, actions);
                if let Some(reply) = self.handle_admission_request(now, &from, request) {
                    actions.push(ShardAction::Send(from, reply));
                }
            }
            ShardMessage::Withdraw(attempt) => {
                self.queue.remove(&attempt);
            }
            ShardMessage::Claim(claim) if self.role != ShardRole::Bystander => {
                self.record_claim(now, claim);
            }
            ShardMessage::Progress(attempt, tokens) => {
                self.pool.record_progress(now, &attempt, tokens);
            }
            ShardMessage::Release(attempt, outcome) => self.release(now, &attempt, outcome),
            ShardMessage::Summary { count, digest } if self.role != ShardRole::Bystander => {
                self.check_summary(from, count, digest, actions);
            }
            ShardMessage::ClaimList(claims) if self.role != ShardRole::Bystander => {
                self.reconcile(now, &from, claims);
            }
            ShardMessage::Sample(domain, sample) if domain != self.domain => {
                self.samples.insert(domain, sample);
            }
            // The rest is for entries, or for a daemon that has this duty.
            _ => {}
        }
    }

    fn refresh_account(&mut self, account: &AccountName) {
        self.queue.set_held(account, self.pool.slots_held_by(account));
    }

    fn refresh_all(&mut self) {
        let accounts: Vec<_> = self.quotas.keys().cloned().collect();
        accounts.iter().for_each(|account| self.refresh_account(account));
    }
}
