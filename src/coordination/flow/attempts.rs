//! The attempts of a request: from a grant to the end marker, or to the loss of an upstream.

use super::{
    ActiveAttempt, CRASH_LIMIT, FlowAction, FlowStage, KeptPrompt, KvHandle, OWNER_WAIT,
    RequestFlow, UpstreamFailure,
};
use crate::coordination::messages::{ClaimPhase, CrashReport, GrantMessage, ReleaseOutcome};
use crate::prelude::*;

/// How often a request may be started.
const MAX_ATTEMPTS: u32 = 5;
/// The least time that a step may take before it counts as stalled.
const MIN_STALL: Duration = Duration::from_millis(500);
/// The part of the eviction time after which a transfer counts as stalled, so that enough is
/// left to move the same result elsewhere.
const STALL_PART: f64 = 0.625;
/// How many between-token targets may pass without a token before the run counts as stalled.
const STALLED_TOKENS: u32 = 40;
/// The weight of an upstream that died while it ran the request beside others.
const SHARED_LOSS: u32 = 1;
/// The weight of an upstream that died while the request was its only suspect.
const SUSPECT_LOSS: u32 = 2;
/// The weight from which a request runs only where no other suspect runs.
const SUSPECT_WEIGHT: u32 = 2;

impl RequestFlow {
    pub(super) fn take_grant(
        &mut self,
        now: Instant,
        domain: DomainName,
        grant: GrantMessage,
        out: &mut Vec<FlowAction>,
    ) {
        let attempt = grant.claim.attempt.clone();
        if let FlowStage::Active(active) = &self.stage {
            // The same grant can come twice when an ask was repeated.
            if active.grant == grant && active.domain == domain {
                return;
            }
        }
        if !self.is_current(&attempt) || !matches!(self.stage, FlowStage::Asking { .. }) {
            return self.give_back(domain, grant, out);
        }
        let kept = self.kept_prompt(now);
        if grant.claim.phase == ClaimPhase::Transfer && kept.is_none() {
            // The result was evicted while the request waited.
            self.give_back(domain, grant, out);
            return self.ask(now, out);
        }
        if self.spec.domains.get(self.domain) != Some(&domain) {
            // Another failure domain was faster than the queue at home.
            self.withdraw(out);
        }
        self.kept = None;
        self.open(out);
        self.starts += 1;
        out.push(FlowAction::Claim(domain.clone(), grant.claim.clone()));
        let running = grant.prefill_address.is_none();
        match grant.prefill_address {
            Some(address) => out.push(FlowAction::StartPrefill(attempt, address)),
            None => {
                let handle = kept.as_ref().map(|kept| kept.handle.clone());
                out.push(self.start_run(&grant, handle));
            }
        }
        let progress_due = self.progress_due(now, running);
        let report_at = now;
        let active =
            ActiveAttempt { domain, grant, heard: false, kept, progress_due, report_at, running };
        self.stage = FlowStage::Active(Box::new(active));
    }

    /// Returns the computed prompt of an earlier attempt while it can still be moved in time.
    pub(super) fn kept_prompt(&self, now: Instant) -> Option<KeptPrompt> {
        self.kept.clone().filter(|kept| now + self.spec.transfer_time < kept.until)
    }

    pub(super) fn start_run(&self, grant: &GrantMessage, handle: Option<KvHandle>) -> FlowAction {
        FlowAction::StartRun {
            address: grant.runner_address,
            attempt: grant.claim.attempt.clone(),
            from: self.next_token,
            handle,
        }
    }

    /// Returns when the next step must have come, or the attempt counts as stalled. A plain call
    /// has until its deadline, and so has a run that may not be repeated: an engine that is silent may
    /// go on, and nothing is gained by ending its answer.
    pub(super) fn progress_due(&self, now: Instant, running: bool) -> Instant {
        if running && !self.spec.retryable {
            return self.spec.deadline;
        }
        let between = self.spec.inter_token_target * STALLED_TOKENS;
        if between.is_zero() {
            return self.spec.stall_limit.map_or(self.spec.deadline, |limit| now + limit);
        }
        let between = self.spec.stall_limit.unwrap_or(between);
        let expected = match (running, self.transfers) {
            (false, _) => self.spec.prefill_time * 4 + between,
            (true, true) => {
                (self.spec.transfer_time * 3).max(self.spec.eviction.mul_f64(STALL_PART))
            }
            (true, false) => between,
        };
        now + expected.max(MIN_STALL)
    }

    pub(super) fn prefill_done(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        handle: KvHandle,
        out: &mut Vec<FlowAction>,
    ) {
        if !self.is_current(attempt) {
            return;
        }
        self.transfers = true;
        let due = self.progress_due(now, true);
        let until = now + self.spec.eviction;
        let FlowStage::Active(active) = &mut self.stage else { return };
        if active.running {
            return;
        }
        active.running = true;
        active.kept = Some(KeptPrompt { handle: handle.clone(), until });
        active.progress_due = due;
        let domain = active.domain.clone();
        let grant = active.grant.clone();
        out.push(FlowAction::Advance(domain, attempt.clone(), ClaimPhase::Transfer));
        out.push(self.start_run(&grant, Some(handle)));
    }

    pub(super) fn take_token(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        request_id: &str,
        index: u32,
        text: String,
        out: &mut Vec<FlowAction>,
    ) {
        let ours = self.is_current(attempt) && request_id == attempt.to_string();
        self.transfers &= !ours;
        let due = self.progress_due(now, true);
        let (FlowStage::Active(active), true) = (&mut self.stage, ours) else {
            return out.push(FlowAction::Dropped);
        };
        if index < self.next_token {
            return out.push(FlowAction::Dropped);
        }
        if index > self.next_token {
            // A gap cannot be filled on this connection.
            let broken = UpstreamFailure::Broken;
            return self.lose(now, attempt, broken, ReleaseOutcome::RunnerLost, out);
        }
        active.progress_due = due;
        active.kept = None;
        active.heard = true;
        if active.grant.claim.phase != ClaimPhase::Run {
            active.grant.claim.phase = ClaimPhase::Run;
            let domain = active.domain.clone();
            out.push(FlowAction::Advance(domain, attempt.clone(), ClaimPhase::Run));
        }
        self.next_token += 1;
        out.push(FlowAction::Emit(text));
        self.report_progress(now, out);
    }

    fn report_progress(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        let produced = Tokens(self.tokens().saturating_mul(self.spec.tokens_per_index));
        let FlowStage::Active(active) = &mut self.stage else { return };
        let Some(period) = self.spec.progress_period.filter(|_| active.report_at <= now) else {
            return;
        };
        active.report_at = now + period;
        let attempt = active.grant.claim.attempt.clone();
        out.push(FlowAction::Progress(active.domain.clone(), attempt, produced));
    }

    pub(super) fn run_ended(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        total: u32,
        out: &mut Vec<FlowAction>,
    ) {
        if !self.is_current(attempt) {
            return out.push(FlowAction::Dropped);
        }
        if total != self.next_token {
            let broken = UpstreamFailure::Broken;
            return self.lose(now, attempt, broken, ReleaseOutcome::RunnerLost, out);
        }
        self.finish(ReleaseOutcome::Finished, out);
    }

    /// Gives up the current attempt because an upstream failed it, and tries again where that
    /// does no harm.
    pub(super) fn lose(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        loss: UpstreamFailure,
        outcome: ReleaseOutcome,
        out: &mut Vec<FlowAction>,
    ) {
        let ours = self.is_current(attempt);
        let (FlowStage::Active(active), true) = (&self.stage, ours) else { return };
        let claim = active.grant.claim.clone();
        // A worker that broke off may have fetched the prompt, and then nobody keeps it.
        let unfetched = !matches!(loss, UpstreamFailure::Broken | UpstreamFailure::Died);
        let transferring = outcome == ReleaseOutcome::RunnerLost && unfetched;
        self.kept = active.kept.clone().filter(|_| transferring);
        let reuses_prefill = self.kept_prompt(now).is_some();
        let unheard = !active.heard;
        let untouched = matches!(loss, UpstreamFailure::NothingSent | UpstreamFailure::Full);
        let ran = active.running && !untouched;
        let lost = match (outcome, &claim.prefill) {
            (ReleaseOutcome::PrefillLost, Some(prefill)) => prefill.clone(),
            _ => claim.runner.clone(),
        };
        let outcome = match (loss, outcome) {
            (UpstreamFailure::Full, _) => ReleaseOutcome::RunnerFull,
            (UpstreamFailure::Failed, ReleaseOutcome::PrefillLost) => ReleaseOutcome::PrefillFailed,
            (UpstreamFailure::Failed, _) => ReleaseOutcome::RunnerFailed,
            (_, outcome) => outcome,
        };
        out.push(FlowAction::AttemptFailed { loss, running: active.running });
        self.abort(outcome, reuses_prefill, out);
        self.touched |= ran;
        self.runs += u32::from(ran);
        if loss == UpstreamFailure::Died {
            let weight = if claim.suspect { SUSPECT_LOSS } else { SHARED_LOSS };
            self.crashes += weight;
            self.suspect |= unheard || self.crashes >= SUSPECT_WEIGHT;
            let report = CrashReport {
                attempt: attempt.clone(),
                fingerprint: self.spec.fingerprint,
                upstream: lost.clone(),
                weight,
            };
            out.push(FlowAction::ReportCrash(report));
        }
        self.avoid.push(lost);
        let arrived = loss != UpstreamFailure::NothingSent;
        self.try_again(now, arrived, out);
    }

    /// Asks for other upstreams; `arrived` says whether the lost one had the request.
    fn try_again(&mut self, now: Instant, arrived: bool, out: &mut Vec<FlowAction>) {
        let spent = self.runs > 0 && (!self.spec.retryable || self.runs >= self.spec.run_limit);
        if spent {
            return self.refuse(Refusal::not_run(RefusalReason::UpstreamFailed), out);
        }
        if self.crashes >= CRASH_LIMIT {
            return self.refuse(Refusal::not_run(RefusalReason::CrashesUpstream), out);
        }
        if self.starts >= MAX_ATTEMPTS {
            let refusal = Refusal::not_run(RefusalReason::UpstreamFailed);
            return self.refuse(refusal.with_retry_after(OWNER_WAIT), out);
        }
        if arrived && !self.spec.retries.take(now) {
            let refusal = Refusal::not_run(RefusalReason::RetriesSpent);
            return self.refuse(refusal.with_retry_after(OWNER_WAIT), out);
        }
        self.ask(now, out);
    }

    /// Stops the current attempt at every upstream where it may still run.
    pub(super) fn abort(
        &mut self,
        outcome: ReleaseOutcome,
        reuses_prefill: bool,
        out: &mut Vec<FlowAction>,
    ) {
        let stage = std::mem::replace(&mut self.stage, FlowStage::Ended);
        let FlowStage::Active(active) = stage else { return };
        let grant = active.grant;
        let prefill = grant.prefill_address;
        out.push(FlowAction::Abort {
            attempt: grant.claim.attempt,
            domain: active.domain,
            reuses_prefill,
            outcome,
            upstreams: prefill.into_iter().chain([grant.runner_address]).collect(),
        });
    }
}
