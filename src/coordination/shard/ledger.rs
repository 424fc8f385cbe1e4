//! Admission state machine of one shard: takes events and returns the actions to perform.

mod admission;
mod claims;
mod events;
mod leaving;
mod preview;

pub use events::{ShardAction, ShardEvent, ShardRole, ShardStatus, UpstreamStatus};
pub use preview::{PlacementPreview, PreviewCandidate, PreviewDecision};

use crate::coordination::messages::{ShardMessage, SlotClaim};
use crate::coordination::roles::RequestShape;
use crate::coordination::shard::estimate::{LoadEstimate, RequestStats};
use crate::coordination::shard::leaving::LeavingBoard;
use crate::coordination::shard::pool::{GrowthRate, UpstreamNews, WorkerPool};
use crate::coordination::shard::prefixes::PrefixIndex;
use crate::coordination::shard::queue::FairQueue;
use crate::coordination::shard::recovery::OwnerRecovery;
use crate::coordination::shard::refusals::RefusalHistory;
use crate::coordination::shard::retry_schedule::RetrySchedule;
use crate::coordination::shard::starts::StartForecast;
use crate::prelude::*;
use crate::state::fleet::AccountQuota;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Admits requests to the upstreams of one shard and tracks what every attempt holds there.
#[derive(Debug)]
pub struct ShardLedger {
    retry_schedule: RetrySchedule,
    domain: DomainName,
    estimate: LoadEstimate,
    quotas: BTreeMap<AccountName, AccountQuota>,
    leaving: LeavingBoard,
    live: BTreeSet<DaemonId>,
    /// The live daemons of this failure domain.
    local: BTreeSet<DaemonId>,
    pool: WorkerPool,
    prefixes: PrefixIndex,
    queue: FairQueue,
    recovery: Option<OwnerRecovery>,
    refusals: RefusalHistory,
    role: ShardRole,
    starts: StartForecast,
    /// Request statistics reported by the owners of the same service in other failure domains.
    domain_stats: BTreeMap<DomainName, RequestStats>,
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
            leaving: LeavingBoard::default(),
            live: BTreeSet::new(),
            local: BTreeSet::new(),
            pool: WorkerPool::default(),
            prefixes: PrefixIndex::default(),
            queue: FairQueue::default(),
            recovery: None,
            refusals: RefusalHistory::default(),
            role: ShardRole::Bystander,
            starts: StartForecast::default(),
            domain_stats: BTreeMap::new(),
            template: None,
        }
    }

    /// Processes one event and returns the resulting actions.
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
            ShardEvent::Reported(name, incarnation, report, took) => {
                self.pool.record_report(now, &name, incarnation, report, took);
            }
            ShardEvent::News(news) => {
                news.iter().for_each(|record| self.pool.record_news(now, record));
            }
            ShardEvent::Tick => {
                self.retry_schedule.prune(now);
                self.refusals.prune(now);
            }
        }
        if self.role != ShardRole::Owner {
            self.pool.expire_orphans(now);
        } else {
            // Grants come before expiry, so a request past its deadline still runs if there is
            // capacity; only overload refuses it.
            self.schedule(now, &mut actions);
            self.refuse_expired(now, &mut actions);
            self.advise_waiting(now, &mut actions);
            self.report_room(now, &mut actions);
            self.cancel_orphans(now, &mut actions);
        }
        actions
    }

    /// Returns the latest time at which the ledger needs its next [`ShardEvent::Tick`].
    pub fn next_wake(&self) -> Option<Instant> {
        let recovery = self.recovery.as_ref().map(OwnerRecovery::deadline);
        self.queue.next_expiry().into_iter().chain(recovery).min()
    }

    /// Returns a snapshot of the shard for the status report.
    pub fn status(&self, now: Instant) -> ShardStatus {
        let rows = self.pool.report(now).into_iter().map(|row| UpstreamStatus {
            leaving: row.spec.draining,
            name: row.spec.name,
            pieces: row.kv_blocks,
            slots: row.slots,
            slots_of: row.spec.slots,
            usable: row.usable,
        });
        let uses_margin = self.template.as_ref().is_some_and(|t| t.leaving_cost.is_some());
        ShardStatus {
            role: self.role,
            start_margin: uses_margin.then(|| self.starts.margin()),
            waiting: self.queue.len(),
            upstreams: rows.collect(),
        }
    }

    /// Returns the average demand of a request, or `None` if this daemon does not own the shard or
    /// has not seen enough requests.
    pub fn shape(&self, now: Instant) -> Option<RequestShape> {
        if self.role != ShardRole::Owner {
            return None;
        }
        let template = self.template.as_ref()?;
        let stats =
            self.domain_stats.values().fold(self.request_stats(now), RequestStats::merged_with);
        stats.shape(template, self.pool.usable(now), self.pool.usable_decoders(now))
    }

    /// Returns the statistics of the service's requests in this failure domain.
    pub fn request_stats(&self, now: Instant) -> RequestStats {
        let held = self.pool.claims();
        self.estimate.request_stats(held.map(|held| now.saturating_duration_since(held.since)))
    }

    /// Returns what to tell other daemons of the upstreams that report their load.
    pub fn news(&self, now: Instant) -> Vec<UpstreamNews> {
        self.pool.news(now)
    }

    /// Returns how slow workers have been at computing prompts, where that is taken into account.
    pub fn prefill_slowness(&self) -> BTreeMap<UpstreamName, SlownessPercent> {
        self.pool.prefill_slowness()
    }

    /// Returns this daemon's role in the shard.
    pub fn role(&self) -> ShardRole {
        self.role
    }

    /// Returns every claim in the ledger, including those being cancelled.
    pub fn claims(&self) -> impl Iterator<Item = &SlotClaim> {
        self.pool.claims().map(|held| &held.claim)
    }

    /// Returns whether the slot and memory counters equal the sums over the claims.
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
        self.pool.set_remote_cost(template.remote_cost);
        self.pool.set_uses_speed(template.leaving_cost.is_some());
        self.template = Some(template);
        self.quotas = quotas;
        let accounts: Vec<_> = self.quotas.keys().cloned().collect();
        accounts.iter().for_each(|account| self.refresh_account(account));
    }

    /// Applies a change of the live daemons or of this daemon's role.
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
            // Entry daemons may have reported before this daemon became the owner, so ask them
            // again.
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
        self.local = local.clone();
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

    /// Reclaims what an abandoned attempt holds. Plain upstreams cannot cancel, so there the claim
    /// is removed at once; otherwise it stays until its upstreams confirm the cancel.
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
                self.record_first_token(now, &attempt, tokens);
                self.pool.record_progress(now, &attempt, tokens);
            }
            ShardMessage::Release(attempt, outcome) => self.release(now, &attempt, outcome),
            ShardMessage::Summary { count, digest } if self.role != ShardRole::Bystander => {
                self.check_summary(from, count, digest, actions);
            }
            ShardMessage::ClaimList(claims) if self.role != ShardRole::Bystander => {
                self.reconcile(now, &from, claims);
            }
            ShardMessage::Stats(domain, stats) if domain != self.domain => {
                self.domain_stats.insert(domain, stats);
            }
            ShardMessage::Room(domain, report) if domain != self.domain => {
                self.leaving.record(now, domain, report);
            }
            ShardMessage::Leaving(upstream, incarnation) => {
                self.pool.mark_leaving(&upstream, incarnation);
                self.refuse_unservable(actions);
            }
            // All other messages are addressed to entry daemons, or to a daemon in another role.
            _ => {}
        }
    }

    /// Copies the number of slots that an account holds from the pool to the queue.
    fn refresh_account(&mut self, account: &AccountName) {
        self.queue.set_held(account, self.pool.slots_held_by(account));
    }

    fn refresh_all(&mut self) {
        let accounts: Vec<_> = self.quotas.keys().cloned().collect();
        accounts.iter().for_each(|account| self.refresh_account(account));
    }
}
