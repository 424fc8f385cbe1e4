//! Who is admitted, who waits, and who is refused with a time to come back.

use super::{ShardAction, ShardLedger};
use crate::coordination::messages::{AdmissionRequest, GrantMessage, ShardMessage};
use crate::coordination::shard::pool::MemoryNeed;
use crate::coordination::shard::queue::{MIN_SHARE, WaitingAsk};
use crate::prelude::*;
use crate::state::fleet::AccountQuota;
use std::collections::BTreeSet;

/// How many accounts are looked at when the neediest one's first ask finds no room.
const MAX_HEADS: usize = 4;
/// How many asks of one account are looked at while those before wait for something else than room.
const MAX_BARRED: usize = 64;
/// The least time that an ask may wait, so that a request too long for its target still runs
/// on an idle shard.
const MIN_PATIENCE: Duration = Duration::from_millis(100);
/// How long a request waits for idle room in all whose first token is late already.
const LATE_PATIENCE: Duration = Duration::from_millis(2_500);
/// The earliest time for a request to come back that will be late: bursts last some seconds.
const LATE_RETURN: Duration = Duration::from_secs(3);
/// When to come back to a shard that has no upstream.
const NO_UPSTREAM_WAIT: Duration = Duration::from_secs(2);

impl ShardLedger {
    /// Corrects when the first token is due of a request that was refused before.
    pub(super) fn recall(
        &self,
        now: Instant,
        from: &DaemonId,
        ask: AdmissionRequest,
        actions: &mut Vec<ShardAction>,
    ) -> AdmissionRequest {
        let due = self.returns.due(&ask.fingerprint).filter(|_| !ask.resuming);
        let Some(within) = due.map(|due| due.saturating_duration_since(now)) else { return ask };
        if within < ask.first_token_within {
            let overdue = ShardMessage::FirstTokenDue(ask.attempt.clone(), within);
            actions.push(ShardAction::Send(from.clone(), overdue));
        }
        AdmissionRequest { first_token_within: within.min(ask.first_token_within), ..ask }
    }

    pub(super) fn take_ask(
        &mut self,
        now: Instant,
        from: &DaemonId,
        ask: AdmissionRequest,
    ) -> Option<ShardMessage> {
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
        if waiting.ask.fail_fast {
            let refusal = Refusal::not_run(RefusalReason::Overloaded);
            return Some(ShardMessage::Refuse(attempt, refusal));
        }
        if let Some(refusal) = self.refuse_hopeless(now, &template, &waiting) {
            return Some(ShardMessage::Refuse(attempt, refusal));
        }
        self.queue.push(waiting, &grant);
        Some(ShardMessage::Queued(attempt))
    }

    pub(super) fn check_ask(
        &self,
        now: Instant,
        template: &ServiceTemplate,
        ask: &AdmissionRequest,
    ) -> Result<(), Refusal> {
        let refuse = |reason| Err(Refusal::not_run(reason));
        let Some(grant) = self.grants.get(&ask.account) else {
            return refuse(RefusalReason::Forbidden);
        };
        let usable = self.pool.usable(now);
        let needs_prefill = self.pool.needs_prefill() && !template.local_prefill;
        let lacks_prefill = needs_prefill && usable.prefill == 0;
        if !self.pool.has_runner_for(ask) || lacks_prefill {
            let refusal = Refusal::not_run(RefusalReason::NoUpstream);
            return Err(refusal.with_retry_after(NO_UPSTREAM_WAIT));
        }
        if !self.pool.could_hold(self.need_of(template, ask).total()) {
            return refuse(RefusalReason::TooLarge);
        }
        if self.queue.waiting_of(&ask.account) >= grant.max_waiting as usize {
            let refusal = Refusal::not_run(RefusalReason::AccountLimit);
            return Err(refusal.with_retry_after(NO_UPSTREAM_WAIT));
        }
        Ok(())
    }

    /// Returns how long an ask can wait and still meet its target.
    pub(super) fn patience(&self, template: &ServiceTemplate, ask: &AdmissionRequest) -> Duration {
        if ask.is_late() {
            return LATE_PATIENCE.saturating_sub(ask.waited);
        }
        let prefill = template.prefill_tokens_per_second.time_for(ask.prompt);
        let transfer = template.link_tokens_per_second.time_for(ask.prompt);
        ask.first_token_within.saturating_sub(prefill + transfer).max(MIN_PATIENCE)
    }

    pub(super) fn try_grant_now(
        &mut self,
        now: Instant,
        template: &ServiceTemplate,
        grant: &AccountQuota,
        waiting: &WaitingAsk,
    ) -> Option<GrantMessage> {
        if self.queue.len() > 0 || !self.may_grant(now) || self.is_over_ceiling(now, waiting, grant)
        {
            return None;
        }
        self.grant(now, template, waiting)
    }

    /// Refuses an ask whose turn would come too late, and books a time for it to come back.
    pub(super) fn refuse_hopeless(
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
        let late = waiting.ask.is_late();
        let ahead = self.queue.ahead_of(account, waiting.ask.returning, late) as f64 + 1.0;
        let wait = ahead / (rate * free).max(0.001);
        let patience = waiting.latest_start.saturating_duration_since(now);
        if wait <= patience.as_secs_f64() {
            return None;
        }
        let after = self.book(now, template, waiting);
        Some(Refusal::not_run(RefusalReason::Overloaded).with_retry_after(after))
    }

    /// Returns how many requests a second the shard can start for an account.
    pub(super) fn account_rate(
        &self,
        now: Instant,
        template: &ServiceTemplate,
        waiting: &WaitingAsk,
    ) -> f64 {
        let account = &waiting.ask.account;
        let rate = self.shard_rate(now, template, &waiting.ask);
        let held = f64::from(self.queue.held_of(account));
        // An account below its share is served before the others.
        if held < self.share_of(account) * f64::from(self.pool.usable(now).run) {
            return rate;
        }
        rate * self.fraction_of(now, account)
    }

    pub(super) fn shard_rate(
        &self,
        now: Instant,
        template: &ServiceTemplate,
        ask: &AdmissionRequest,
    ) -> f64 {
        let prefill = template.prefill_tokens_per_second.time_for(ask.prompt);
        let run = template.inter_token_target * ask.expected_output.0;
        self.estimate.rate(self.pool.usable(now), prefill + run, prefill)
    }

    pub(super) fn share_of(&self, account: &AccountName) -> f64 {
        self.grants.get(account).map_or(0.0, |grant| grant.share).max(MIN_SHARE)
    }

    /// Returns the part of the capacity that an account gets beside all others that wait or are
    /// to come back.
    pub(super) fn fraction_of(&self, now: Instant, account: &AccountName) -> f64 {
        let waiting = self.queue.waiting_accounts();
        let active: BTreeSet<_> = waiting.chain(self.bookings.booked(now)).collect();
        let others = active.into_iter().filter(|other| *other != account);
        let sum: f64 = others.map(|other| self.share_of(other)).sum();
        let own = self.share_of(account);
        own / (own + sum)
    }

    /// Books a time to come back, at the rate that is the account's own even when all others
    /// come back too.
    pub(super) fn book(
        &mut self,
        now: Instant,
        template: &ServiceTemplate,
        waiting: &WaitingAsk,
    ) -> Duration {
        let account = &waiting.ask.account;
        let rate = self.shard_rate(now, template, &waiting.ask) * self.fraction_of(now, account);
        let due = now + waiting.ask.first_token_within;
        self.returns.note(now, waiting.ask.fingerprint, due);
        // It will be late then, so it runs in idle room only: after the burst, not in it.
        let least = if template.token_time.is_some() { LATE_RETURN } else { Duration::ZERO };
        self.bookings.book(now, account, rate, least)
    }

    pub(super) fn is_over_ceiling(
        &self,
        now: Instant,
        waiting: &WaitingAsk,
        grant: &AccountQuota,
    ) -> bool {
        if grant.ceiling >= 1.0 {
            return false;
        }
        let limit = (grant.ceiling * f64::from(self.pool.usable(now).run)).max(1.0);
        f64::from(self.pool.held_of(&waiting.ask.account)) >= limit
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
        let is_barred = |ask: &AdmissionRequest| self.pool.is_barred(now, ask);
        for waiting in self.queue.heads(MAX_HEADS, MAX_BARRED, is_barred) {
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

    pub(super) fn grant(
        &mut self,
        now: Instant,
        template: &ServiceTemplate,
        waiting: &WaitingAsk,
    ) -> Option<GrantMessage> {
        let ask = &waiting.ask;
        let need = self.need_of(template, ask);
        let granted = self.pool.place(now, ask, need, template, &self.prefixes)?;
        if template.token_time.is_some() {
            self.estimate.answer.begin(ask.attempt.clone());
            // An answer grows evenly from nothing, so half of it in the mean.
            self.estimate.need.add(Tokens(need.prompt.0 + need.answer.0 / 2));
            self.estimate.prompt.add(ask.prompt);
            self.estimate.guess.add(ask.expected_output.min(ask.max_output));
        }
        if let Some(prefill) = &granted.claim.prefill {
            self.prefixes.record(&ask.prefix, prefill);
        }
        self.pool.insert(now, granted.claim.clone());
        self.refresh_account(&ask.account);
        Some(granted)
    }

    /// Refuses what waits in vain: the last upstream that could take it is gone or leaves.
    pub(super) fn refuse_stranded(&mut self, actions: &mut Vec<ShardAction>) {
        let stranded = self.queue.extract(|ask| !self.pool.has_runner_for(ask));
        for waiting in stranded {
            let refusal =
                Refusal::not_run(RefusalReason::NoUpstream).with_retry_after(NO_UPSTREAM_WAIT);
            let message = ShardMessage::Refuse(waiting.ask.attempt, refusal);
            actions.push(ShardAction::Send(waiting.from, message));
        }
    }

    pub(super) fn expire(&mut self, now: Instant, actions: &mut Vec<ShardAction>) {
        if !self.may_grant(now) {
            return;
        }
        let Some(template) = self.template.clone() else { return };
        while let Some(waiting) = self.queue.pop_expired(now) {
            let wait = self.book(now, &template, &waiting);
            let refusal = Refusal::not_run(RefusalReason::Overloaded).with_retry_after(wait);
            let message = ShardMessage::Refuse(waiting.ask.attempt, refusal);
            actions.push(ShardAction::Send(waiting.from, message));
        }
    }

    /// Returns the engine memory that a request is charged for: its prompt, and the longest answer
    /// or, where memory is forecast over time, the expected one.
    fn need_of(&self, template: &ServiceTemplate, ask: &AdmissionRequest) -> MemoryNeed {
        let pieces = |tokens: Tokens| tokens.kv_blocks(template.block_tokens);
        if template.token_time.is_none() {
            let all = pieces(Tokens(ask.prompt.0.saturating_add(ask.expected_output.0)));
            return MemoryNeed { answer: KvBlocks(0), prompt: all };
        }
        let answer = self.estimate.answer_length(ask.expected_output).min(ask.max_output);
        MemoryNeed { answer: pieces(answer), prompt: pieces(ask.prompt) }
    }
}
