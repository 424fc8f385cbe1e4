//! Claims that attempts hold on upstreams, and their reconciliation with the entry daemons.

use super::{ShardAction, ShardLedger};
use crate::coordination::claims::digest_claims;
use crate::coordination::messages::{ClaimPhase, ReleaseOutcome, ShardMessage, SlotClaim};
use crate::coordination::shard::pool::HeldClaim;
use crate::prelude::*;
use std::collections::BTreeSet;

/// The time for which a grant may be in transit before it must appear in the entry daemon's claim
/// list.
const GRANT_TRANSIT_TIME: Duration = Duration::from_secs(2);

impl ShardLedger {
    /// Records a claim that an entry daemon reports, unless it is being cancelled.
    pub(super) fn record_claim(&mut self, now: Instant, claim: SlotClaim) {
        let attempt = claim.attempt.clone();
        if let Some(held) = self.pool.claim(&attempt) {
            if held.cancelling.is_some() {
                return;
            }
            let finished_prefill =
                held.claim.phase == ClaimPhase::Prefill && claim.phase != ClaimPhase::Prefill;
            if finished_prefill {
                self.estimate.prefill.add(now - held.since);
                let blocks = KvBlocks(held.claim.kv_blocks.0.saturating_sub(held.claim.growth.0));
                let expected = self.prefill_time(blocks);
                self.pool.record_prefill(now, &attempt, expected);
            }
        }
        let account = claim.account.clone();
        self.pool.insert(now, claim);
        if !self.live.contains(&attempt.request.entry) {
            self.orphan(now, &attempt);
        }
        self.refresh_account(&account);
    }

    /// Records how long a run took from its grant to its first token, if these are its first ones.
    pub(super) fn record_first_token(&mut self, now: Instant, attempt: &AttemptId, tokens: Tokens) {
        let is_first = |held: &&HeldClaim| {
            held.progress.is_none_or(|progress| progress.tokens == Tokens(0))
                && held.cancelling.is_none()
                && tokens > Tokens(0)
        };
        let Some(held) = self.pool.claim(attempt).filter(is_first) else { return };
        let prompt = KvBlocks(held.claim.kv_blocks.0.saturating_sub(held.claim.growth.0));
        let took = now.saturating_duration_since(held.since);
        self.starts.record_first_token(took.saturating_sub(self.prefill_time(prompt)));
    }

    /// Returns the time for which a worker of usual speed computes a prompt of this many blocks.
    fn prefill_time(&self, prompt: KvBlocks) -> Duration {
        let Some(template) = &self.template else { return Duration::ZERO };
        let tokens = Tokens(prompt.0.saturating_mul(template.block_tokens.0));
        template.prefill_tokens_per_second.time_for(tokens)
    }

    /// Ends a claim and updates the estimates and the health of its upstreams by the outcome.
    pub(super) fn release(&mut self, now: Instant, attempt: &AttemptId, outcome: ReleaseOutcome) {
        let Some(held) = self.pool.claim(attempt) else { return };
        let claim = held.claim.clone();
        let (since, progress) = (held.since, held.progress);
        if outcome != ReleaseOutcome::Finished {
            self.estimate.runs.add_open(now - since);
        }
        match outcome {
            ReleaseOutcome::Finished => {
                self.estimate.hold.add(now - since);
                self.estimate.runs.add_ended(now - since);
                if let Some(progress) = progress.filter(|progress| progress.tokens.0 > 0) {
                    self.estimate.output.finish(attempt, progress.tokens);
                }
                for name in claim.prefill.iter().chain([&claim.runner]) {
                    self.pool.record_response(now, name, false);
                }
            }
            ReleaseOutcome::PrefillFailed => {
                let failed = claim.prefill.as_ref().unwrap_or(&claim.runner);
                self.pool.record_response(now, failed, true);
            }
            ReleaseOutcome::RunnerFailed => self.pool.record_response(now, &claim.runner, true),
            ReleaseOutcome::Cancelled | ReleaseOutcome::Withheld => {}
            ReleaseOutcome::Unconfirmed => return self.orphan(now, attempt),
            ReleaseOutcome::PrefillLost => {
                let lost = claim.prefill.as_ref().unwrap_or(&claim.runner);
                self.pool.record_failure(now, lost);
                self.prefixes.drop_worker(lost);
                return self.orphan(now, attempt);
            }
            ReleaseOutcome::RunnerLost => {
                self.pool.record_failure(now, &claim.runner);
                return match self.is_plain() {
                    true => self.free_claim(attempt),
                    false => self.pool.orphan_runner(now, attempt),
                };
            }
            ReleaseOutcome::PrefillFull => {
                let full = claim.prefill.as_ref().unwrap_or(&claim.runner);
                self.pool.record_full(now, full);
            }
            ReleaseOutcome::RunnerFull => self.pool.record_full(now, &claim.runner),
        }
        self.free_claim(attempt);
    }

    /// Removes a claim without waiting for its upstreams.
    pub(super) fn free_claim(&mut self, attempt: &AttemptId) {
        if let Some(held) = self.pool.remove(attempt) {
            self.refresh_account(&held.claim.account);
        }
        self.estimate.output.add_ended_in_order(|attempt| self.pool.claim(attempt).is_some());
    }

    /// Compares an entry daemon's summary with the ledger, and pulls the entry daemon's claims if
    /// they differ.
    pub(super) fn check_summary(
        &mut self,
        from: DaemonId,
        count: u32,
        digest: u64,
        actions: &mut Vec<ShardAction>,
    ) {
        let own = self.pool.claims_of_entry(&from).filter(|held| held.cancelling.is_none());
        if digest_claims(own.map(|held| &held.claim)) != (count, digest) {
            actions.push(ShardAction::Send(from, ShardMessage::Pull));
        } else if let Some(recovery) = &mut self.recovery {
            recovery.mark_reported(&from);
        }
    }

    /// Brings the ledger in line with an entry daemon's full list of claims. A granted claim that
    /// the list lacks is cancelled, unless the grant may still be in transit.
    pub(super) fn reconcile(&mut self, now: Instant, from: &DaemonId, claims: Vec<SlotClaim>) {
        let listed: BTreeSet<_> = claims.iter().map(|claim| claim.attempt.clone()).collect();
        let own = claims.into_iter().filter(|claim| claim.attempt.request.entry == *from);
        own.for_each(|claim| self.record_claim(now, claim));
        let missing = self.pool.claims_of_entry(from).filter(|held| {
            !listed.contains(&held.claim.attempt) && now >= held.since + GRANT_TRANSIT_TIME
        });
        let missing: Vec<_> = missing.map(|held| held.claim.attempt.clone()).collect();
        missing.iter().for_each(|attempt| self.orphan(now, attempt));
        if let Some(recovery) = &mut self.recovery {
            recovery.mark_reported(from);
        }
    }

    /// Sends the cancels that are due.
    pub(super) fn cancel_orphans(&mut self, now: Instant, actions: &mut Vec<ShardAction>) {
        let due = self.pool.due_cancels(now);
        actions.extend(due.into_iter().map(|(spec, attempt)| ShardAction::Cancel(spec, attempt)));
    }
}
