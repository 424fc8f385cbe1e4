//! Who is admitted, who waits, and who is refused with a time to come back.

use super::{ShardAction, ShardLedger};
use crate::coordination::messages::{AdmissionRequest, GrantMessage, ShardMessage};
use crate::coordination::shard::pool::MemoryNeed;
use crate::coordination::shard::queue::{MIN_SHARE, WaitingRequest};
use crate::prelude::*;
use crate::state::fleet::AccountQuota;
use std::collections::BTreeSet;

/// How many accounts are looked at when the neediest one's first ask finds no room.
const MAX_SCANNED_ACCOUNTS: usize = 4;
/// How many asks of one account are looked at while those before wait for something else than room.
const MAX_SCANNED_PER_ACCOUNT: usize = 64;
/// The least time that an ask may wait, so that a request too long for its target still runs
/// on an idle shard.
const MIN_QUEUE_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a request waits for idle room in all whose first token is late already.
const LATE_QUEUE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The earliest time for a request to come back that will be late: bursts last some seconds.
const LATE_RETRY_DELAY: Duration = Duration::from_secs(3);
/// When to come back to a shard that has no upstream.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(2);

impl ShardLedger {
    /// Corrects when the first token is due of a request that was refused before.
    pub(super) fn restore_deadline(
        &self,
        now: Instant,
        from: &DaemonId,
        request: AdmissionRequest,
        actions: &mut Vec<ShardAction>,
    ) -> AdmissionRequest {
        let due = self.refusals.due(&request.fingerprint).filter(|_| !request.resuming);
        let Some(within) = due.map(|due| due.saturating_duration_since(now)) else {
            return request;
        };
        if within < request.first_token_within {
            let overdue = ShardMessage::FirstTokenDue(request.attempt.clone(), within);
            actions.push(ShardAction::Send(from.clone(), overdue));
        }
        AdmissionRequest { first_token_within: within.min(request.first_token_within), ..request }
    }

    pub(super) fn handle_admission_request(
        &mut self,
        now: Instant,
        from: &DaemonId,
        request: AdmissionRequest,
    ) -> Option<ShardMessage> {
        // Nobody would release what a dead entry is granted.
        if !self.live.contains(from) {
            return None;
        }
        let attempt = request.attempt.clone();
        if let Some(grant) = self.pool.existing_grant(&attempt) {
            return Some(ShardMessage::Grant(grant));
        }
        if self.queue.contains(&attempt) {
            return Some(ShardMessage::Queued(attempt));
        }
        let template = self.template.clone()?;
        if let Err(refusal) = self.check_request(now, &template, &request) {
            return Some(ShardMessage::Refuse(attempt, refusal));
        }
        let quota = self.quotas[&request.account];
        let queue_timeout = self.queue_timeout(&template, &request);
        let waiting =
            WaitingRequest { from: from.clone(), latest_start: now + queue_timeout, request };
        if let Some(granted) = self.try_grant_now(now, &template, &quota, &waiting) {
            return Some(ShardMessage::Grant(granted));
        }
        if waiting.request.fail_fast {
            let refusal = Refusal::not_run(RefusalReason::Overloaded);
            return Some(ShardMessage::Refuse(attempt, refusal));
        }
        if let Some(refusal) = self.refuse_if_too_late(now, &template, &waiting) {
            return Some(ShardMessage::Refuse(attempt, refusal));
        }
        self.queue.push(waiting, &quota);
        Some(ShardMessage::Queued(attempt))
    }

    pub(super) fn check_request(
        &self,
        now: Instant,
        template: &ServiceTemplate,
        request: &AdmissionRequest,
    ) -> Result<(), Refusal> {
        let refuse = |reason| Err(Refusal::not_run(reason));
        let Some(quota) = self.quotas.get(&request.account) else {
            return refuse(RefusalReason::Forbidden);
        };
        let usable = self.pool.usable(now);
        let needs_prefill = self.pool.needs_prefill() && !template.local_prefill;
        let lacks_prefill = needs_prefill && usable.prefill == 0;
        if !self.pool.has_runner_for(request) || lacks_prefill {
            let refusal = Refusal::not_run(RefusalReason::NoUpstream);
            return Err(refusal.with_retry_after(DEFAULT_RETRY_DELAY));
        }
        if !self.pool.could_hold(self.memory_need(template, request).total()) {
            return refuse(RefusalReason::TooLarge);
        }
        if self.queue.waiting_count(&request.account) >= quota.max_waiting as usize {
            let refusal = Refusal::not_run(RefusalReason::AccountLimit);
            return Err(refusal.with_retry_after(DEFAULT_RETRY_DELAY));
        }
        Ok(())
    }

    /// Returns how long an ask can wait and still meet its target.
    pub(super) fn queue_timeout(
        &self,
        template: &ServiceTemplate,
        request: &AdmissionRequest,
    ) -> Duration {
        if request.is_late() {
            return LATE_QUEUE_TIMEOUT.saturating_sub(request.waited);
        }
        let prefill = template.prefill_tokens_per_second.time_for(request.prompt);
        let transfer = template.link_tokens_per_second.time_for(request.prompt);
        request.first_token_within.saturating_sub(prefill + transfer).max(MIN_QUEUE_TIMEOUT)
    }

    pub(super) fn try_grant_now(
        &mut self,
        now: Instant,
        template: &ServiceTemplate,
        quota: &AccountQuota,
        waiting: &WaitingRequest,
    ) -> Option<GrantMessage> {
        if self.queue.len() > 0 || !self.may_grant(now) || self.is_over_ceiling(now, waiting, quota)
        {
            return None;
        }
        self.grant(now, template, waiting)
    }

    /// Refuses an ask whose turn would come too late, and books a time for it to come back.
    pub(super) fn refuse_if_too_late(
        &mut self,
        now: Instant,
        template: &ServiceTemplate,
        waiting: &WaitingRequest,
    ) -> Option<Refusal> {
        if !self.may_grant(now) || waiting.request.resuming {
            return None;
        }
        let account = &waiting.request.account;
        let rate = self.account_rate(now, template, waiting);
        let unreserved = match waiting.request.returning {
            true => 1.0,
            false => self.retry_schedule.unreserved_fraction(now, account),
        };
        let late = waiting.request.is_late();
        let ahead =
            self.queue.requests_ahead(account, waiting.request.returning, late) as f64 + 1.0;
        let wait = ahead / (rate * unreserved).max(0.001);
        let queue_timeout = waiting.latest_start.saturating_duration_since(now);
        if wait <= queue_timeout.as_secs_f64() {
            return None;
        }
        let after = self.reserve_retry(now, template, waiting);
        Some(Refusal::not_run(RefusalReason::Overloaded).with_retry_after(after))
    }

    /// Returns how many requests a second the shard can start for an account.
    pub(super) fn account_rate(
        &self,
        now: Instant,
        template: &ServiceTemplate,
        waiting: &WaitingRequest,
    ) -> f64 {
        let account = &waiting.request.account;
        let rate = self.shard_rate(now, template, &waiting.request);
        let held = f64::from(self.queue.slots_held_by(account));
        // An account below its share is served before the others.
        if held < self.share_of(account) * f64::from(self.pool.usable(now).run) {
            return rate;
        }
        rate * self.capacity_fraction(now, account)
    }

    pub(super) fn shard_rate(
        &self,
        now: Instant,
        template: &ServiceTemplate,
        request: &AdmissionRequest,
    ) -> f64 {
        let prefill = template.prefill_tokens_per_second.time_for(request.prompt);
        let run = template.inter_token_target * request.expected_output.0;
        self.estimate.rate(self.pool.usable(now), prefill + run, prefill)
    }

    pub(super) fn share_of(&self, account: &AccountName) -> f64 {
        self.quotas.get(account).map_or(0.0, |quota| quota.share).max(MIN_SHARE)
    }

    /// Returns the part of the capacity that an account gets beside all others that wait or are
    /// to come back.
    pub(super) fn capacity_fraction(&self, now: Instant, account: &AccountName) -> f64 {
        let waiting = self.queue.waiting_accounts();
        let active: BTreeSet<_> =
            waiting.chain(self.retry_schedule.accounts_with_reservations(now)).collect();
        let others = active.into_iter().filter(|other| *other != account);
        let sum: f64 = others.map(|other| self.share_of(other)).sum();
        let own = self.share_of(account);
        own / (own + sum)
    }

    /// Books a time to come back, at the rate that is the account's own even when all others
    /// come back too.
    pub(super) fn reserve_retry(
        &mut self,
        now: Instant,
        template: &ServiceTemplate,
        waiting: &WaitingRequest,
    ) -> Duration {
        let account = &waiting.request.account;
        let rate =
            self.shard_rate(now, template, &waiting.request) * self.capacity_fraction(now, account);
        let due = now + waiting.request.first_token_within;
        self.refusals.record(now, waiting.request.fingerprint, due);
        // It will be late then, so it runs in idle room only: after the burst, not in it.
        let min_delay =
            if template.token_time.is_some() { LATE_RETRY_DELAY } else { Duration::ZERO };
        self.retry_schedule.reserve(now, account, rate, min_delay)
    }

    pub(super) fn is_over_ceiling(
        &self,
        now: Instant,
        waiting: &WaitingRequest,
        quota: &AccountQuota,
    ) -> bool {
        if quota.ceiling >= 1.0 {
            return false;
        }
        let limit = (quota.ceiling * f64::from(self.pool.usable(now).run)).max(1.0);
        f64::from(self.pool.slots_held_by(&waiting.request.account)) >= limit
    }

    pub(super) fn may_grant(&self, now: Instant) -> bool {
        self.recovery.as_ref().is_none_or(|recovery| recovery.is_over(now))
    }

    pub(super) fn schedule(&mut self, now: Instant, actions: &mut Vec<ShardAction>) {
        if !self.may_grant(now) {
            return;
        }
        self.recovery = None;
        let Some(template) = self.template.clone() else { return };
        while let Some((from, granted)) = self.grant_next(now, &template) {
            actions.push(ShardAction::Send(from, ShardMessage::Grant(granted)));
        }
    }

    pub(super) fn grant_next(
        &mut self,
        now: Instant,
        template: &ServiceTemplate,
    ) -> Option<(DaemonId, GrantMessage)> {
        let is_blocked = |request: &AdmissionRequest| self.pool.is_blocked(now, request);
        for waiting in self.queue.heads(MAX_SCANNED_ACCOUNTS, MAX_SCANNED_PER_ACCOUNT, is_blocked) {
            let quota = self.quotas.get(&waiting.request.account).copied();
            if quota.is_some_and(|quota| self.is_over_ceiling(now, &waiting, &quota)) {
                continue;
            }
            if let Some(granted) = self.grant(now, template, &waiting) {
                self.queue.remove(&waiting.request.attempt);
                return Some((waiting.from, granted));
            }
        }
        None
    }

    pub(super) fn grant(
        &mut self,
        now: Instant,
        template: &ServiceTemplate,
        waiting: &WaitingRequest,
    ) -> Option<GrantMessage> {
        let request = &waiting.request;
        let need = self.memory_need(template, request);
        let granted = self.pool.place(now, request, need, template, &self.prefixes)?;
        if template.token_time.is_some() {
            self.estimate.output.begin(request.attempt.clone());
            // An answer grows evenly from nothing, so half of it in the mean.
            self.estimate.run_blocks.add(Tokens(need.prompt.0 + need.output.0 / 2));
            self.estimate.prompt.add(request.prompt);
            self.estimate.output_hint.add(request.expected_output.min(request.max_output));
        }
        if let Some(prefill) = &granted.claim.prefill {
            self.prefixes.record(&request.prefix, prefill);
        }
        self.pool.insert(now, granted.claim.clone());
        self.refresh_account(&request.account);
        Some(granted)
    }

    /// Refuses what waits in vain: the last upstream that could take it is gone or leaves.
    pub(super) fn refuse_unservable(&mut self, actions: &mut Vec<ShardAction>) {
        let unservable = self.queue.extract(|request| !self.pool.has_runner_for(request));
        for waiting in unservable {
            let refusal =
                Refusal::not_run(RefusalReason::NoUpstream).with_retry_after(DEFAULT_RETRY_DELAY);
            let message = ShardMessage::Refuse(waiting.request.attempt, refusal);
            actions.push(ShardAction::Send(waiting.from, message));
        }
    }

    pub(super) fn refuse_expired(&mut self, now: Instant, actions: &mut Vec<ShardAction>) {
        if !self.may_grant(now) {
            return;
        }
        let Some(template) = self.template.clone() else { return };
        while let Some(waiting) = self.queue.pop_expired(now) {
            let wait = self.reserve_retry(now, &template, &waiting);
            let refusal = Refusal::not_run(RefusalReason::Overloaded).with_retry_after(wait);
            let message = ShardMessage::Refuse(waiting.request.attempt, refusal);
            actions.push(ShardAction::Send(waiting.from, message));
        }
    }

    /// Returns the engine memory that a request is charged for: its prompt, and the longest answer
    /// or, where memory is forecast over time, the expected one.
    fn memory_need(&self, template: &ServiceTemplate, request: &AdmissionRequest) -> MemoryNeed {
        let blocks = |tokens: Tokens| tokens.kv_blocks(template.block_tokens);
        if template.token_time.is_none() {
            let all = blocks(Tokens(request.prompt.0.saturating_add(request.expected_output.0)));
            return MemoryNeed { output: KvBlocks(0), prompt: all };
        }
        let output = self.estimate.expected_output(request.expected_output).min(request.max_output);
        MemoryNeed { output: blocks(output), prompt: blocks(request.prompt) }
    }
}
