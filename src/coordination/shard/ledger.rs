//! The ledger of one shard: events in, actions out.

use crate::coordination::claims::digest_claims;
use crate::coordination::messages::{
    AskMessage, ClaimPhase, GrantMessage, ReleaseOutcome, ShardMessage, SlotClaim,
};
use crate::coordination::shard::bookings::BookingSchedule;
use crate::coordination::shard::estimate::LoadEstimate;
use crate::coordination::shard::pool::WorkerPool;
use crate::coordination::shard::prefixes::PrefixMemory;
use crate::coordination::shard::queue::{FairQueue, WaitingAsk};
use crate::coordination::shard::recovery::OwnerRecovery;
use crate::prelude::*;
use crate::state::fleet::AccountGrant;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How many accounts are looked at when the neediest one's first ask finds no room.
const MAX_HEADS: usize = 4;
/// How long a grant may be on its way before an entry's list must name it.
const GRANT_TRAVEL: Duration = Duration::from_secs(2);
/// The weight of an account with no share.
const MIN_SHARE: f64 = 0.000_001;
/// The least time that an ask may wait, so that a request too long for its target still runs
/// on an idle shard.
const MIN_PATIENCE: Duration = Duration::from_millis(100);
/// When to come back to a shard that has no upstream.
const NO_UPSTREAM_WAIT: Duration = Duration::from_secs(2);

/// What this daemon is to the shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShardRole {
    /// Takes over if the owner goes, and knows all claims for that.
    Backup,
    /// Has no duty.
    Bystander,
    /// Alone admits work.
    Owner,
}

/// What happens to a shard.
#[derive(Clone, Debug)]
pub enum ShardEvent {
    /// An upstream confirmed that an attempt holds nothing there.
    CancelConfirmed(AttemptId, UpstreamName),
    /// The configuration changed.
    Configure(Arc<ServiceTemplate>, BTreeMap<AccountName, AccountGrant>),
    /// Another daemon, or this one, says something.
    Message(DaemonId, ShardMessage),
    /// The members that are alive changed, and with them perhaps this daemon's role.
    Members {
        /// Every live daemon, of all failure domains.
        live: BTreeSet<DaemonId>,
        /// The live daemons of the shard's own failure domain.
        local: BTreeSet<DaemonId>,
        /// What this daemon is now.
        role: ShardRole,
    },
    /// Time has passed.
    Tick,
}

/// What the ledger wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardAction {
    /// Cancel an attempt at an upstream and report the confirmation.
    Cancel(UpstreamSpec, AttemptId),
    /// Say something to a daemon.
    Send(DaemonId, ShardMessage),
}

/// One upstream in the status report.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamStatus {
    /// Its name.
    pub name: UpstreamName,
    /// The slots in use.
    pub slots: u32,
    /// All slots.
    pub slots_of: Slots,
    /// The pieces of memory in use.
    pub pieces: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it takes work now.
    pub usable: bool,
}

/// What an operator sees of a shard.
#[derive(Clone, Debug, Serialize)]
pub struct ShardStatus {
    /// This daemon's role.
    pub role: ShardRole,
    /// The asks that wait.
    pub waiting: usize,
    /// The upstreams.
    pub upstreams: Vec<UpstreamStatus>,
}

/// Admits work to one shard's upstreams.
#[derive(Debug)]
pub struct ShardLedger {
    bookings: BookingSchedule,
    domain: DomainName,
    estimate: LoadEstimate,
    grants: BTreeMap<AccountName, AccountGrant>,
    live: BTreeSet<DaemonId>,
    pool: WorkerPool,
    prefixes: PrefixMemory,
    queue: FairQueue,
    recovery: Option<OwnerRecovery>,
    role: ShardRole,
    template: Option<Arc<ServiceTemplate>>,
}

impl ShardLedger {
    /// Returns an empty ledger for a shard in `domain`.
    pub fn new(domain: DomainName) -> Self {
        Self {
            bookings: BookingSchedule::default(),
            domain,
            estimate: LoadEstimate::default(),
            grants: BTreeMap::new(),
            live: BTreeSet::new(),
            pool: WorkerPool::default(),
            prefixes: PrefixMemory::default(),
            queue: FairQueue::default(),
            recovery: None,
            role: ShardRole::Bystander,
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
            ShardEvent::Configure(template, grants) => self.configure(template, grants),
            ShardEvent::Members { live, local, role } => {
                self.set_members(now, live, &local, role, &mut actions);
            }
            ShardEvent::Message(from, message) => {
                self.take_message(now, from, message, &mut actions);
            }
            ShardEvent::Tick => self.bookings.prune(now),
        }
        if self.role != ShardRole::Owner {
            self.pool.forget_orphans(now);
        } else {
            // What is late but finds room runs: only overload refuses it.
            self.schedule(now, &mut actions);
            self.expire(now, &mut actions);
            self.cancel_orphans(now, &mut actions);
        }
        actions
    }

    /// Returns when the ledger wants its next [`ShardEvent::Tick`] at the latest.
    pub fn next_wake(&self) -> Option<Instant> {
        let recovery = self.recovery.as_ref().map(OwnerRecovery::until);
        self.queue.next_expiry().into_iter().chain(recovery).min()
    }

    /// Returns what an operator sees.
    pub fn status(&self, now: Instant) -> ShardStatus {
        let rows = self.pool.report(now).into_iter().map(|row| UpstreamStatus {
            leaving: row.spec.leaving,
            name: row.spec.name,
            pieces: row.pieces,
            slots: row.slots,
            slots_of: row.spec.slots,
            usable: row.usable,
        });
        ShardStatus { role: self.role, waiting: self.queue.len(), upstreams: rows.collect() }
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
    pub fn is_conserved(&self) -> bool {
        self.pool.is_conserved()
    }

    fn configure(
        &mut self,
        template: Arc<ServiceTemplate>,
        grants: BTreeMap<AccountName, AccountGrant>,
    ) {
        let domain = &self.domain;
        self.pool.configure(template.upstreams.iter().filter(|spec| spec.domain == *domain));
        self.template = Some(template);
        self.grants = grants;
        let accounts: Vec<_> = self.grants.keys().cloned().collect();
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
            attempts.iter().for_each(|attempt| self.free(attempt));
        }
        self.role = role;
        self.live = live;
        self.queue.retain_entries(&self.live);
        for entry in self.pool.entries() {
            if !self.live.contains(&entry) {
                self.orphan_entry(now, &entry);
            }
        }
        if let Some(recovery) = &mut self.recovery {
            let gone = local.iter().filter(|entry| !self.live.contains(*entry));
            gone.for_each(|entry| recovery.settle(entry));
        }
        self.refresh_all();
    }

    fn orphan_entry(&mut self, now: Instant, entry: &DaemonId) {
        let claims = self.pool.claims_of(entry);
        let attempts: Vec<_> = claims.map(|held| held.claim.attempt.clone()).collect();
        attempts.iter().for_each(|attempt| self.orphan(now, attempt));
    }

    /// Frees a claim whose holder is gone: at once where nothing can be cancelled, else after the
    /// upstreams confirm.
    fn orphan(&mut self, now: Instant, attempt: &AttemptId) {
        if self.is_plain() {
            self.free(attempt);
        } else {
            self.pool.orphan(now, attempt);
        }
    }

    fn is_plain(&self) -> bool {
        let template = self.template.as_ref();
        template.is_some_and(|t| t.upstreams.iter().any(|u| u.role == UpstreamRole::Plain))
    }

    fn take_message(
        &mut self,
        now: Instant,
        from: DaemonId,
        message: ShardMessage,
        actions: &mut Vec<ShardAction>,
    ) {
        match message {
            ShardMessage::Ask(ask) if self.role == ShardRole::Owner => {
                if let Some(reply) = self.take_ask(now, &from, ask) {
                    actions.push(ShardAction::Send(from, reply));
                }
            }
            ShardMessage::Withdraw(attempt) => {
                self.queue.remove(&attempt);
            }
            ShardMessage::Claim(claim) if self.role != ShardRole::Bystander => {
                self.take_claim(now, claim);
            }
            ShardMessage::Release(attempt, outcome) => self.release(now, &attempt, outcome),
            ShardMessage::Summary { count, digest } if self.role != ShardRole::Bystander => {
                self.compare(from, count, digest, actions);
            }
            ShardMessage::ClaimList(claims) if self.role != ShardRole::Bystander => {
                self.reconcile(now, &from, claims);
            }
            // The rest is for entries, or for a daemon that has this duty.
            _ => {}
        }
    }

    fn take_ask(&mut self, now: Instant, from: &DaemonId, ask: AskMessage) -> Option<ShardMessage> {
        // Nobody would release what a dead entry is granted.
        if !self.live.contains(from) {
            return None;
        }
        let attempt = ask.attempt.clone();
        if let Some(grant) = self.pool.grant_of(&attempt) {
            return Some(ShardMessage::Grant(grant));
        }
        if self.queue.contains(&attempt) {
            return Some(ShardMessage::Queued(attempt));
        }
        let template = self.template.clone()?;
        if let Err(refusal) = self.check_ask(now, &template, &ask) {
            return Some(ShardMessage::Refuse(attempt, refusal));
        }
        let grant = self.grants[&ask.account];
        let patience = self.patience(&template, &ask);
        let waiting = WaitingAsk { from: from.clone(), latest_start: now + patience, ask };
        if let Some(granted) = self.try_grant_now(now, &template, &grant, &waiting) {
            return Some(ShardMessage::Grant(granted));
        }
        if let Some(refusal) = self.refuse_hopeless(now, &template, &waiting) {
            return Some(ShardMessage::Refuse(attempt, refusal));
        }
        self.queue.push(waiting, &grant);
        Some(ShardMessage::Queued(attempt))
    }

    fn check_ask(
        &self,
        now: Instant,
        template: &ServiceTemplate,
        ask: &AskMessage,
    ) -> Result<(), Refusal> {
        let refuse = |reason| Err(Refusal::not_run(reason));
        let Some(grant) = self.grants.get(&ask.account) else {
            return refuse(RefusalReason::Forbidden);
        };
        let usable = self.pool.usable(now);
        let lacks_prefill = self.pool.needs_prefill() && usable.prefill == 0;
        if usable.run == 0 || lacks_prefill {
            let refusal = Refusal::not_run(RefusalReason::NoUpstream);
            return Err(refusal.after(NO_UPSTREAM_WAIT));
        }
        if !self.pool.could_hold(pieces_of(template, ask)) {
            return refuse(RefusalReason::TooLarge);
        }
        if self.queue.waiting_of(&ask.account) >= grant.max_waiting as usize {
            let refusal = Refusal::not_run(RefusalReason::AccountLimit);
            return Err(refusal.after(NO_UPSTREAM_WAIT));
        }
        Ok(())
    }

    /// Returns how long an ask can wait and still meet its target.
    fn patience(&self, template: &ServiceTemplate, ask: &AskMessage) -> Duration {
        let prefill = template.prefill_tokens_per_second.time_for(ask.prompt);
        let transfer = template.link_tokens_per_second.time_for(ask.prompt);
        ask.first_token_within.saturating_sub(prefill + transfer).max(MIN_PATIENCE)
    }

    fn try_grant_now(
        &mut self,
        now: Instant,
        template: &ServiceTemplate,
        grant: &AccountGrant,
        waiting: &WaitingAsk,
    ) -> Option<GrantMessage> {
        if self.queue.len() > 0 || !self.may_grant(now) || self.is_over_ceiling(now, waiting, grant)
        {
            return None;
        }
        self.grant(now, template, waiting)
    }

    /// Refuses an ask whose turn would come too late, and books a time for it to come back.
    fn refuse_hopeless(
        &mut self,
        now: Instant,
        template: &ServiceTemplate,
        waiting: &WaitingAsk,
    ) -> Option<Refusal> {
        if !self.may_grant(now) || waiting.ask.resuming {
            return None;
        }
        let account = &waiting.ask.account;
        let rate = self.account_rate(now, template, waiting);
        let free = match waiting.ask.returning {
            true => 1.0,
            false => self.bookings.free_part(now, account),
        };
        let ahead = self.queue.ahead_of(account, waiting.ask.returning) as f64 + 1.0;
        let wait = ahead / (rate * free).max(0.001);
        let patience = waiting.latest_start.saturating_duration_since(now);
        if wait <= patience.as_secs_f64() {
            return None;
        }
        let after = self.book(now, template, waiting);
        Some(Refusal::not_run(RefusalReason::Overloaded).after(after))
    }

    /// Returns how many requests a second the shard can start for an account.
    fn account_rate(&self, now: Instant, template: &ServiceTemplate, waiting: &WaitingAsk) -> f64 {
        let account = &waiting.ask.account;
        let rate = self.shard_rate(now, template, &waiting.ask);
        let held = f64::from(self.queue.held_of(account));
        // An account below its share is served before the others.
        if held < self.share_of(account) * f64::from(self.pool.usable(now).run) {
            return rate;
        }
        rate * self.fraction_of(now, account)
    }

    fn shard_rate(&self, now: Instant, template: &ServiceTemplate, ask: &AskMessage) -> f64 {
        let prefill = template.prefill_tokens_per_second.time_for(ask.prompt);
        let run = template.between_token_target * ask.answer.0;
        self.estimate.rate(self.pool.usable(now), prefill + run, prefill)
    }

    fn share_of(&self, account: &AccountName) -> f64 {
        self.grants.get(account).map_or(0.0, |grant| grant.share).max(MIN_SHARE)
    }

    /// Returns the part of the capacity that an account gets beside all others that wait or are
    /// to come back.
    fn fraction_of(&self, now: Instant, account: &AccountName) -> f64 {
        let waiting = self.queue.waiting_accounts();
        let active: BTreeSet<_> = waiting.chain(self.bookings.booked(now)).collect();
        let others = active.into_iter().filter(|other| *other != account);
        let sum: f64 = others.map(|other| self.share_of(other)).sum();
        let own = self.share_of(account);
        own / (own + sum)
    }

    /// Books a time to come back, at the rate that is the account's own even when all others
    /// come back too.
    fn book(&mut self, now: Instant, template: &ServiceTemplate, waiting: &WaitingAsk) -> Duration {
        let account = &waiting.ask.account;
        let rate = self.shard_rate(now, template, &waiting.ask) * self.fraction_of(now, account);
        self.bookings.book(now, account, rate)
    }

    fn is_over_ceiling(&self, now: Instant, waiting: &WaitingAsk, grant: &AccountGrant) -> bool {
        if grant.ceiling >= 1.0 {
            return false;
        }
        let limit = (grant.ceiling * f64::from(self.pool.usable(now).run)).max(1.0);
        f64::from(self.pool.held_of(&waiting.ask.account)) >= limit
    }

    fn may_grant(&self, now: Instant) -> bool {
        self.recovery.as_ref().is_none_or(|recovery| recovery.is_over(now))
    }

    fn schedule(&mut self, now: Instant, actions: &mut Vec<ShardAction>) {
        if !self.may_grant(now) {
            return;
        }
        self.recovery = None;
        let Some(template) = self.template.clone() else { return };
        while let Some((from, granted)) = self.grant_next(now, &template) {
            actions.push(ShardAction::Send(from, ShardMessage::Grant(granted)));
        }
    }

    fn grant_next(
        &mut self,
        now: Instant,
        template: &ServiceTemplate,
    ) -> Option<(DaemonId, GrantMessage)> {
        for waiting in self.queue.heads(MAX_HEADS) {
            let grant = self.grants.get(&waiting.ask.account).copied();
            if grant.is_some_and(|grant| self.is_over_ceiling(now, &waiting, &grant)) {
                continue;
            }
            if let Some(granted) = self.grant(now, template, &waiting) {
                self.queue.remove(&waiting.ask.attempt);
                return Some((waiting.from, granted));
            }
        }
        None
    }

    fn grant(
        &mut self,
        now: Instant,
        template: &ServiceTemplate,
        waiting: &WaitingAsk,
    ) -> Option<GrantMessage> {
        let ask = &waiting.ask;
        let pieces = pieces_of(template, ask);
        let granted = self.pool.place(now, ask, pieces, &self.prefixes)?;
        if let Some(prefill) = &granted.claim.prefill {
            self.prefixes.record(&ask.prefix, prefill);
        }
        self.pool.insert(now, granted.claim.clone());
        self.refresh_account(&ask.account);
        Some(granted)
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<ShardAction>) {
        if !self.may_grant(now) {
            return;
        }
        let Some(template) = self.template.clone() else { return };
        while let Some(waiting) = self.queue.pop_expired(now) {
            let wait = self.book(now, &template, &waiting);
            let refusal = Refusal::not_run(RefusalReason::Overloaded).after(wait);
            let message = ShardMessage::Refuse(waiting.ask.attempt, refusal);
            actions.push(ShardAction::Send(waiting.from, message));
        }
    }

    fn take_claim(&mut self, now: Instant, claim: SlotClaim) {
        let attempt = claim.attempt.clone();
        if let Some(held) = self.pool.claim(&attempt) {
            if held.cancelling.is_some() {
                return;
            }
            let finished_prefill =
                held.claim.phase == ClaimPhase::Prefill && claim.phase != ClaimPhase::Prefill;
            if finished_prefill {
                self.estimate.prefill.add(now - held.since);
            }
        }
        let account = claim.account.clone();
        self.pool.insert(now, claim);
        if !self.live.contains(&attempt.request.entry) {
            self.orphan(now, &attempt);
        }
        self.refresh_account(&account);
    }

    fn release(&mut self, now: Instant, attempt: &AttemptId, outcome: ReleaseOutcome) {
        let Some(held) = self.pool.claim(attempt) else { return };
        let claim = held.claim.clone();
        let since = held.since;
        match outcome {
            ReleaseOutcome::Finished => {
                self.estimate.hold.add(now - since);
                self.pool.note_success(&claim.runner);
                claim.prefill.iter().for_each(|name| self.pool.note_success(name));
            }
            ReleaseOutcome::Stopped => {}
            ReleaseOutcome::Unconfirmed => return self.orphan(now, attempt),
            ReleaseOutcome::PrefillLost => {
                let lost = claim.prefill.as_ref().unwrap_or(&claim.runner);
                self.pool.note_failure(now, lost);
                self.prefixes.void(lost);
                return self.orphan(now, attempt);
            }
            ReleaseOutcome::RunnerLost => {
                self.pool.note_failure(now, &claim.runner);
                return match self.is_plain() {
                    true => self.free(attempt),
                    false => self.pool.orphan_run(now, attempt),
                };
            }
            ReleaseOutcome::RunnerFull => self.pool.note_full(now, &claim.runner),
        }
        self.free(attempt);
    }

    fn free(&mut self, attempt: &AttemptId) {
        if let Some(held) = self.pool.remove(attempt) {
            self.refresh_account(&held.claim.account);
        }
    }

    fn compare(&mut self, from: DaemonId, count: u32, digest: u64, actions: &mut Vec<ShardAction>) {
        let own = self.pool.claims_of(&from).filter(|held| held.cancelling.is_none());
        if digest_claims(own.map(|held| &held.claim)) != (count, digest) {
            actions.push(ShardAction::Send(from, ShardMessage::Pull));
        } else if let Some(recovery) = &mut self.recovery {
            recovery.settle(&from);
        }
    }

    /// Makes the ledger agree with what an entry says it holds.
    fn reconcile(&mut self, now: Instant, from: &DaemonId, claims: Vec<SlotClaim>) {
        let listed: BTreeSet<_> = claims.iter().map(|claim| claim.attempt.clone()).collect();
        let own = claims.into_iter().filter(|claim| claim.attempt.request.entry == *from);
        own.for_each(|claim| self.take_claim(now, claim));
        let missing = self.pool.claims_of(from).filter(|held| {
            !listed.contains(&held.claim.attempt) && now >= held.since + GRANT_TRAVEL
        });
        let missing: Vec<_> = missing.map(|held| held.claim.attempt.clone()).collect();
        missing.iter().for_each(|attempt| self.orphan(now, attempt));
        if let Some(recovery) = &mut self.recovery {
            recovery.settle(from);
        }
    }

    fn cancel_orphans(&mut self, now: Instant, actions: &mut Vec<ShardAction>) {
        let due = self.pool.due_cancels(now);
        actions.extend(due.into_iter().map(|(spec, attempt)| ShardAction::Cancel(spec, attempt)));
    }

    fn refresh_account(&mut self, account: &AccountName) {
        self.queue.set_held(account, self.pool.held_of(account));
    }

    fn refresh_all(&mut self) {
        let accounts: Vec<_> = self.grants.keys().cloned().collect();
        accounts.iter().for_each(|account| self.refresh_account(account));
    }
}

/// Returns the engine memory that a request is charged for: its prompt and longest answer.
fn pieces_of(template: &ServiceTemplate, ask: &AskMessage) -> Pieces {
    Tokens(ask.prompt.0.saturating_add(ask.answer.0)).pieces(template.piece_tokens)
}
