//! Admission control: grants a request, queues it, or refuses it with a time to retry.

use super::{ShardAction, ShardLedger};
use crate::coordination::messages::{AdmissionRequest, GrantMessage, ShardMessage};
use crate::coordination::shard::pool::MemoryNeed;
use crate::coordination::shard::queue::{MIN_SHARE, WaitingRequest};
use crate::prelude::*;
use crate::state::fleet::AccountQuota;
use std::collections::BTreeSet;

/// The maximum number of accounts that are considered per grant when the first request of the
/// account furthest below its share does not fit.
const MAX_SCANNED_ACCOUNTS: usize = 4;
/// The maximum number of requests of one account that are searched for one that waits for nothing
/// but capacity.
const MAX_SCANNED_PER_ACCOUNT: usize = 64;
/// The minimum time that a request may wait, so that one whose prompt is too long for its target
/// still runs on an idle shard.
const MIN_QUEUE_TIMEOUT: Duration = Duration::from_millis(100);
/// The maximum total wait, across all owners, of a request that has already missed its first-token
/// target. Such requests use spare capacity only.
const LATE_QUEUE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The minimum retry delay of a request that will miss its target anyway; bursts last a few
/// seconds.
const LATE_RETRY_DELAY: Duration = Duration::from_secs(3);
/// The retry delay where no reservation applies: no usable upstream, or too many waiting requests
/// of the account.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(2);

impl ShardLedger {
    /// Restores the original first-token deadline of a retried request that was refused before.
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

    /// Grants, queues or refuses a request, and returns the reply. There is no reply to an entry
    /// daemon that is not alive, nor before the first configuration.
    pub(super) fn handle_admission_request(
        &mut self,
        now: Instant,
        from: &DaemonId,
        request: AdmissionRequest,
    ) -> Option<ShardMessage> {
        // A dead entry daemon would never release its grant.
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
        let waiting = WaitingRequest {
            from: from.clone(),
            latest_start: now + queue_timeout,
            leaves_at: None,
            request,
        };
        if let Some(granted) = self.try_grant_now(now, &template, &quota, &waiting) {
            return Some(ShardMessage::Grant(granted));
        }
        if let Some(cost) = self.leaving_cost(now, from) {
            return Some(self.keep_or_refuse(now, &template, &quota, waiting, cost));
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

    /// Refuses a request without queueing it if its account is unknown or has too many requests
    /// waiting, or if no upstream could run it.
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

    /// Returns how long a request can wait and still meet its first-token target.
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
        let time = request.first_token_within.saturating_sub(prefill + transfer);
        let time =
            if template.leaving_cost.is_some() { self.starts.time_to_wait(time) } else { time };
        time.max(MIN_QUEUE_TIMEOUT)
    }

    /// Grants a request at once if none is queued before it.
    pub(super) fn try_grant_now(
        &mut self,
        now: Instant,
        template: &ServiceTemplate,
        quota: &AccountQuota,
        waiting: &WaitingRequest,
    ) -> Option<GrantMessage> {
        if !self.goes_first(now, quota, waiting) {
            return None;
        }
        self.grant(now, template, waiting)
    }

    /// Returns whether a new request may be granted at once if there is room for it.
    pub(super) fn goes_first(
        &self,
        now: Instant,
        quota: &AccountQuota,
        waiting: &WaitingRequest,
    ) -> bool {
        self.queue.len() == 0 && self.may_grant(now) && !self.is_over_ceiling(now, waiting, quota)
    }

    /// Refuses a request that would not start before its deadline, and reserves a time for its
    /// retry.
    pub(super) fn refuse_if_too_late(
        &mut self,
        now: Instant,
        template: &ServiceTemplate,
        waiting: &WaitingRequest,
    ) -> Option<Refusal> {
        if !self.may_grant(now) || waiting.request.resuming {
            return None;
        }
        let wait = self.expected_wait(now, template, waiting);
        if wait <= waiting.latest_start.saturating_duration_since(now) {
            return None;
        }
        let after = self.reserve_retry(now, template, waiting);
        Some(Refusal::not_run(RefusalReason::Overloaded).with_retry_after(after))
    }

    /// Returns how long a request has to wait, with those that go first.
    pub(super) fn expected_wait(
        &self,
        now: Instant,
        template: &ServiceTemplate,
        waiting: &WaitingRequest,
    ) -> Duration {
        let rate = self.account_rate(now, template, waiting);
        let unreserved = match waiting.request.returning {
            true => 1.0,
            false => self.retry_schedule.unreserved_fraction(now, &waiting.request.account),
        };
        let ahead = self.queue.requests_ahead(waiting) as f64 + 1.0;
        Duration::from_secs_f64(ahead / (rate * unreserved).max(0.001))
    }

    /// Returns how many requests per second the shard can start for an account.
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

    /// Returns how many requests per second the shard can start for all accounts together.
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

    /// Returns an account's share of the shard.
    pub(super) fn share_of(&self, account: &AccountName) -> f64 {
        self.quotas.get(account).map_or(0.0, |quota| quota.share).max(MIN_SHARE)
    }

    /// Returns the fraction of the capacity that an account gets while all other accounts with
    /// waiting requests or reserved retries take their shares.
    pub(super) fn capacity_fraction(&self, now: Instant, account: &AccountName) -> f64 {
        let waiting = self.queue.waiting_accounts();
        let active: BTreeSet<_> =
            waiting.chain(self.retry_schedule.accounts_with_reservations(now)).collect();
        let others = active.into_iter().filter(|other| *other != account);
        let sum: f64 = others.map(|other| self.share_of(other)).sum();
        let own = self.share_of(account);
        own / (own + sum)
    }

    /// Reserves a retry time at the account's own rate, which holds even if all other accounts
    /// retry too. Returns the time until then.
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
        // The retry misses its target in any case and runs on spare capacity only, so it is sent
        // past the end of the burst.
        let min_delay =
            if template.token_time.is_some() { LATE_RETRY_DELAY } else { Duration::ZERO };
        self.retry_schedule.reserve(now, account, rate, min_delay)
    }

    /// Returns whether the account holds as large a fraction of the decode or plain slots as its
    /// quota allows.
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

    /// Returns whether the entries' claims are known, without which a grant could exceed a limit.
    pub(super) fn may_grant(&self, now: Instant) -> bool {
        self.recovery.as_ref().is_none_or(|recovery| recovery.is_over(now))
    }

    /// Grants waiting requests while there is capacity.
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

    /// Grants the first waiting request that fits, and returns the entry daemon that gets the
    /// grant.
    pub(super) fn grant_next(
        &mut self,
        now: Instant,
        template: &ServiceTemplate,
    ) -> Option<(DaemonId, GrantMessage)> {
        // A request that only some upstreams may run must not hold up those that others could.
        let is_pinned_and_full = |request: &AdmissionRequest| {
            let need = || self.memory_need(template, request);
            let place = || self.pool.place(now, request, need(), template, &self.prefixes);
            request.software.is_some() && place().is_none()
        };
        let is_blocked = |request: &AdmissionRequest| {
            self.pool.is_blocked(now, request) || is_pinned_and_full(request)
        };
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

    /// Grants a request if there is capacity, and counts it in the estimates.
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
            // The output grows linearly from zero, so it holds half of its final memory on average.
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

    /// Refuses waiting requests for which no upstream is left: the last one is gone or draining.
    pub(super) fn refuse_unservable(&mut self, actions: &mut Vec<ShardAction>) {
        let unservable = self.queue.extract(|request| !self.pool.has_runner_for(request));
        for waiting in unservable {
            let refusal =
                Refusal::not_run(RefusalReason::NoUpstream).with_retry_after(DEFAULT_RETRY_DELAY);
            let message = ShardMessage::Refuse(waiting.request.attempt, refusal);
            actions.push(ShardAction::Send(waiting.from, message));
        }
    }

    /// Refuses the waiting requests whose latest start has passed.
    pub(super) fn refuse_expired(&mut self, now: Instant, actions: &mut Vec<ShardAction>) {
        if !self.may_grant(now) {
            return;
        }
        let Some(template) = self.template.clone() else { return };
        while let Some(waiting) = self.queue.pop_expired(now) {
            let wait = self.reserve_retry(now, &template, &waiting);
            let refusal = Refusal::not_run(RefusalReason::Overloaded).with_retry_after(wait);
            let message = self.refuse_here(now, &waiting, refusal);
            actions.push(ShardAction::Send(waiting.from, message));
        }
    }

    /// Returns the KV-cache blocks that a request of average size needs.
    pub(super) fn typical_need(&self, template: &ServiceTemplate) -> MemoryNeed {
        let (prompt, output) = self.estimate.typical_request();
        let blocks = |tokens: Tokens| tokens.kv_blocks(template.block_tokens);
        MemoryNeed { output: blocks(output), prompt: blocks(prompt) }
    }

    /// Returns the KV-cache blocks that a request is charged for: its prompt plus the output that
    /// its caller expects (the longest one if the caller gave no hint) or, if memory is forecast
    /// over time, the output that the shard expects.
    pub(super) fn memory_need(
        &self,
        template: &ServiceTemplate,
        request: &AdmissionRequest,
    ) -> MemoryNeed {
        let blocks = |tokens: Tokens| tokens.kv_blocks(template.block_tokens);
        if template.token_time.is_none() {
            let all = blocks(Tokens(request.prompt.0.saturating_add(request.expected_output.0)));
            return MemoryNeed { output: KvBlocks(0), prompt: all };
        }
        let output = self.estimate.expected_output(request.expected_output).min(request.max_output);
        MemoryNeed { output: blocks(output), prompt: blocks(request.prompt) }
    }
}
