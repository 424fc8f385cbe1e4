//! Attempts of a request: from the grant to the end marker or the failure of an upstream.

use super::{
    ActiveAttempt, CachedPrefill, FlowAction, FlowStage, KvHandle, MAX_CRASH_WEIGHT, RETRY_AFTER,
    RequestFlow, UpstreamFailure,
};
use crate::coordination::crashing_parts::SOUND_OUTPUT_TIME;
use crate::coordination::messages::{ClaimPhase, CrashReport, GrantMessage, ReleaseOutcome};
use crate::prelude::*;

/// The maximum number of attempts per request.
pub(super) const MAX_ATTEMPTS: u32 = 5;
/// The minimum time without progress after which an attempt counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The fraction of a prefill result's retention time after which its transfer counts as stalled.
/// The rest is left to transfer the same result to another worker.
const TRANSFER_STALL_FRACTION: f64 = 0.625;
/// The time without a token after which a run counts as stalled, in inter-token targets.
const STALL_TOKEN_INTERVALS: u32 = 40;
/// The crash weight of an upstream that died while it ran the request among others.
const SHARED_CRASH_WEIGHT: u32 = 1;
/// The crash weight of an upstream that died while this request was its only suspect.
const SUSPECT_CRASH_WEIGHT: u32 = 2;
/// The crash weight from which a request is a suspect, which runs only where no other suspect runs.
const SUSPECT_THRESHOLD: u32 = 2;

impl RequestFlow {
    pub(super) fn handle_grant(
        &mut self,
        now: Instant,
        domain: DomainName,
        grant: GrantMessage,
        out: &mut Vec<FlowAction>,
    ) {
        let attempt = grant.claim.attempt.clone();
        if let FlowStage::Active(active) = &self.stage {
            // A repeated admission request is answered with the same grant again.
            if active.grant == grant && active.domain == domain {
                return;
            }
        }
        if !self.is_current(&attempt) || !matches!(self.stage, FlowStage::Admission { .. }) {
            return self.release_grant(domain, grant, out);
        }
        let is_due = self.stop_due().is_some_and(|due| due <= now);
        if is_due || self.ends_too_late(now, &grant.claim.runner, self.spec.work.start) {
            self.release_grant(domain, grant, out);
            return self.refuse_for_stop(out);
        }
        let cached_prefill = self.usable_prefill(now);
        if grant.claim.phase == ClaimPhase::Transfer && cached_prefill.is_none() {
            // The prefill result was evicted while the request was queued.
            self.release_grant(domain, grant, out);
            return self.request_admission(now, out);
        }
        if self.software.as_ref().is_some_and(|software| *software != grant.runner_software) {
            // The owner has learned meanwhile that the upstream runs another version.
            self.release_grant(domain, grant, out);
            return self.request_admission(now, out);
        }
        if self.spec.domains.get(self.domain_index) != Some(&domain) {
            // A probed failure domain granted before the one whose queue the request is in.
            self.withdraw(out);
        }
        if grant.prefill_address.is_some() && !self.take_prefill_retry(now) {
            self.release_grant(domain, grant, out);
            let refusal = Refusal::not_run(RefusalReason::RetriesSpent);
            return self.refuse(refusal.with_retry_after(RETRY_AFTER), out);
        }
        self.cached_prefill = None;
        self.open_response(out);
        self.attempts_started += 1;
        if std::mem::take(&mut self.holds_retry) {
            self.spec.retries.record_sent(now);
        }
        out.push(FlowAction::Claim(domain.clone(), grant.claim.clone()));
        let running = grant.prefill_address.is_none();
        match grant.prefill_address {
            Some(address) => out.push(FlowAction::StartPrefill(attempt, address)),
            None => {
                let handle = cached_prefill.as_ref().map(|cached| cached.handle.clone());
                out.push(self.start_run(&grant, handle));
            }
        }
        let stall_deadline = self.stall_deadline(now, running);
        let next_report = now;
        let active = ActiveAttempt {
            domain,
            grant,
            first_token: None,
            output_reported: false,
            cached_prefill,
            stall_deadline,
            next_report,
            replacement: None,
            running,
        };
        self.stage = FlowStage::Active(Box::new(active));
    }

    /// Returns the prefill result of an earlier attempt if it can be transferred before its
    /// eviction.
    pub(super) fn usable_prefill(&self, now: Instant) -> Option<CachedPrefill> {
        self.cached_prefill
            .clone()
            .filter(|cached| now + self.spec.transfer_time < cached.expires_at)
    }

    pub(super) fn start_run(&self, grant: &GrantMessage, handle: Option<KvHandle>) -> FlowAction {
        FlowAction::StartRun {
            address: grant.runner_address,
            attempt: grant.claim.attempt.clone(),
            from: self.next_token,
            handle,
            software: grant.runner_software.clone(),
        }
    }

    /// Returns the time by which the attempt must make progress, or it counts as stalled.
    ///
    /// A plain call without a stall limit has until its deadline. So has a run that may not be
    /// retried: a silent engine may still resume, and aborting the run gains nothing.
    pub(super) fn stall_deadline(&self, now: Instant, running: bool) -> Instant {
        if running && !self.spec.retryable {
            return self.spec.deadline;
        }
        let token_gap = self.spec.inter_token_target * STALL_TOKEN_INTERVALS;
        if token_gap.is_zero() {
            return self.spec.stall_limit.map_or(self.spec.deadline, |limit| now + limit);
        }
        let token_gap = self.spec.stall_limit.unwrap_or(token_gap);
        let expected = match (running, self.awaiting_transfer) {
            (false, _) => self.spec.prefill_time * 4 + token_gap,
            (true, true) => (self.spec.transfer_time * 3)
                .max(self.spec.prefill_retention.mul_f64(TRANSFER_STALL_FRACTION)),
            (true, false) => token_gap,
        };
        now + expected.max(MIN_STALL_TIMEOUT)
    }

    pub(super) fn handle_prefill_done(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        handle: KvHandle,
        out: &mut Vec<FlowAction>,
    ) {
        if !self.is_current(attempt) {
            return;
        }
        self.awaiting_transfer = true;
        let due = self.stall_deadline(now, true);
        let expires_at = now + self.spec.prefill_retention;
        let FlowStage::Active(active) = &self.stage else { return };
        if active.running {
            return;
        }
        self.has_prefilled = true;
        if self.ends_too_late(now, &active.grant.claim.runner, self.spec.transfer_time) {
            return self.refuse_for_stop(out);
        }
        let FlowStage::Active(active) = &mut self.stage else { return };
        active.running = true;
        active.cached_prefill = Some(CachedPrefill { handle: handle.clone(), expires_at });
        active.stall_deadline = due;
        let domain = active.domain.clone();
        let grant = active.grant.clone();
        out.push(FlowAction::Advance(domain, attempt.clone(), ClaimPhase::Transfer));
        out.push(self.start_run(&grant, Some(handle)));
    }

    pub(super) fn handle_token(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        request_id: &str,
        index: u32,
        text: String,
        out: &mut Vec<FlowAction>,
    ) {
        let matches_attempt = self.is_current(attempt) && request_id == attempt.to_string();
        self.awaiting_transfer &= !matches_attempt;
        let due = self.stall_deadline(now, true);
        let (FlowStage::Active(active), true) = (&mut self.stage, matches_attempt) else {
            return out.push(FlowAction::Dropped);
        };
        if index < self.next_token {
            return out.push(FlowAction::Dropped);
        }
        if index > self.next_token {
            // The missing tokens will not arrive on this connection.
            let broken = UpstreamFailure::Broken;
            return self.fail_attempt(now, attempt, broken, ReleaseOutcome::RunnerLost, out);
        }
        active.stall_deadline = due;
        active.replacement = None;
        active.cached_prefill = None;
        let began = *active.first_token.get_or_insert(now);
        self.software.get_or_insert_with(|| active.grant.runner_software.clone());
        if active.grant.claim.phase != ClaimPhase::Run {
            active.grant.claim.phase = ClaimPhase::Run;
            let domain = active.domain.clone();
            out.push(FlowAction::Advance(domain, attempt.clone(), ClaimPhase::Run));
        }
        self.next_token += 1;
        out.push(FlowAction::Emit(text));
        if now >= began + SOUND_OUTPUT_TIME {
            self.report_output(out);
        }
        self.report_progress(now, out);
    }

    /// Reports once for each attempt that its output clears the parts of the prompt.
    pub(super) fn report_output(&mut self, out: &mut Vec<FlowAction>) {
        let FlowStage::Active(active) = &mut self.stage else { return };
        let Some(began) = active.first_token.filter(|_| !self.spec.parts.is_empty()) else {
            return;
        };
        if !std::mem::replace(&mut active.output_reported, true) {
            out.push(FlowAction::ReportOutput { began, parts: self.spec.parts.clone() });
        }
    }

    fn report_progress(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        let produced = Tokens(self.tokens().saturating_mul(self.spec.tokens_per_index));
        let FlowStage::Active(active) = &mut self.stage else { return };
        let Some(period) = self.spec.progress_period.filter(|_| active.next_report <= now) else {
            return;
        };
        active.next_report = now + period;
        let attempt = active.grant.claim.attempt.clone();
        out.push(FlowAction::Progress(active.domain.clone(), attempt, produced));
    }

    /// Extends the time in which the attempt must make progress: it is the caller that delays it.
    pub(super) fn handle_caller_behind(&mut self, now: Instant, attempt: &AttemptId) {
        let due = self.stall_deadline(now, true);
        if let (FlowStage::Active(active), true) =
            (&mut self.stage, self.attempt == attempt.attempt)
        {
            active.stall_deadline = due;
            active.replacement = None;
        }
    }

    pub(super) fn handle_run_ended(
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
            return self.fail_attempt(now, attempt, broken, ReleaseOutcome::RunnerLost, out);
        }
        self.finish(ReleaseOutcome::Finished, out);
    }

    /// Ends the request with a response that is no stream. It is no part of a stream that the caller
    /// has the beginning of, and must not end it.
    pub(super) fn handle_response(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        outcome: ReleaseOutcome,
        out: &mut Vec<FlowAction>,
    ) {
        if !self.is_current(attempt) {
            return;
        }
        if self.tokens() > 0 {
            let failed = UpstreamFailure::Failed;
            return self.fail_attempt(now, attempt, failed, ReleaseOutcome::RunnerLost, out);
        }
        self.finish(outcome, out);
    }

    /// Aborts the current attempt after an upstream failed it, and retries the request if that is
    /// safe.
    pub(super) fn fail_attempt(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        failure: UpstreamFailure,
        outcome: ReleaseOutcome,
        out: &mut Vec<FlowAction>,
    ) {
        if !self.end_attempt(now, attempt, failure, outcome, out) {
            return;
        }
        if failure == UpstreamFailure::Unread {
            return self.refuse(Refusal::not_run(RefusalReason::CallerTooSlow), out);
        }
        self.retry_elsewhere(now, was_received(failure), out);
    }

    /// Aborts the current attempt after an upstream failed it, and returns whether it was the current
    /// one.
    pub(super) fn end_attempt(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        failure: UpstreamFailure,
        outcome: ReleaseOutcome,
        out: &mut Vec<FlowAction>,
    ) -> bool {
        let matches_attempt = self.is_current(attempt);
        let (FlowStage::Active(active), true) = (&self.stage, matches_attempt) else {
            return false;
        };
        let claim = active.grant.claim.clone();
        // A decode worker whose connection ended may have fetched the prefill result already; the
        // prefill worker then no longer holds it.
        let not_fetched = !matches!(failure, UpstreamFailure::Broken | UpstreamFailure::Died);
        let prefill_survives = outcome == ReleaseOutcome::RunnerLost && not_fetched;
        self.cached_prefill = active.cached_prefill.clone().filter(|_| prefill_survives);
        let reuses_prefill = self.usable_prefill(now).is_some();
        let no_token = active.first_token.is_none();
        let is_sound = active.first_token.is_some_and(|first| now >= first + SOUND_OUTPUT_TIME);
        let not_executed = !was_received(failure) || failure == UpstreamFailure::Full;
        let may_have_executed = active.running && !not_executed;
        let failed_upstream = match (outcome, &claim.prefill) {
            (ReleaseOutcome::PrefillLost, Some(prefill)) => prefill.clone(),
            _ => claim.runner.clone(),
        };
        let outcome = match (failure, outcome) {
            (UpstreamFailure::Full, ReleaseOutcome::PrefillLost) => ReleaseOutcome::PrefillFull,
            (UpstreamFailure::Full, _) => ReleaseOutcome::RunnerFull,
            (UpstreamFailure::Unread | UpstreamFailure::Withheld, _) => ReleaseOutcome::Withheld,
            (UpstreamFailure::Failed, ReleaseOutcome::PrefillLost) => ReleaseOutcome::PrefillFailed,
            (UpstreamFailure::Failed, _) => ReleaseOutcome::RunnerFailed,
            (_, outcome) => outcome,
        };
        out.push(FlowAction::AttemptFailed { failure, running: active.running });
        self.abort(outcome, reuses_prefill, out);
        self.may_have_run |= may_have_executed;
        self.runs += u32::from(may_have_executed);
        if failure == UpstreamFailure::Died {
            let weight = if claim.suspect { SUSPECT_CRASH_WEIGHT } else { SHARED_CRASH_WEIGHT };
            self.crash_weight += weight;
            self.suspect |= no_token || self.crash_weight >= SUSPECT_THRESHOLD;
            let report = CrashReport {
                attempt: attempt.clone(),
                fingerprint: self.spec.fingerprint,
                parts: if is_sound { Vec::new() } else { self.spec.parts.clone() },
                upstream: failed_upstream.clone(),
                weight,
            };
            out.push(FlowAction::ReportCrash(report));
        }
        if failure != UpstreamFailure::Unread {
            self.avoid.push(failed_upstream);
        }
        true
    }

    /// Requests admission to other upstreams, or refuses the request when a limit forbids another
    /// attempt. `received` says whether the failed upstream received the request.
    fn retry_elsewhere(&mut self, now: Instant, received: bool, out: &mut Vec<FlowAction>) {
        if self.is_last_run {
            return self.refuse(Refusal::not_run(RefusalReason::UpstreamFailed), out);
        }
        let exhausted = self.runs > 0 && (!self.spec.retryable || self.runs >= self.spec.max_runs);
        if exhausted {
            return self.refuse(Refusal::not_run(RefusalReason::UpstreamFailed), out);
        }
        if self.crash_weight >= MAX_CRASH_WEIGHT {
            return self.refuse(Refusal::not_run(RefusalReason::CrashesUpstream), out);
        }
        if self.attempts_started >= MAX_ATTEMPTS {
            let refusal = Refusal::not_run(RefusalReason::UpstreamFailed);
            return self.refuse(refusal.with_retry_after(RETRY_AFTER), out);
        }
        if received && !self.take_retry(now) {
            let refusal = Refusal::not_run(RefusalReason::RetriesSpent);
            return self.refuse(refusal.with_retry_after(RETRY_AFTER), out);
        }
        self.request_admission(now, out);
    }

    /// Takes a retry for a prompt that is prefilled once more: upstreams get that call besides the run.
    /// Returns false if the budget is spent, unless the caller has a part of the stream.
    fn take_prefill_retry(&self, now: Instant) -> bool {
        if !self.has_prefilled {
            return true;
        }
        let is_allowed = self.spec.retries.try_acquire(now);
        if is_allowed {
            self.spec.retries.record_sent(now);
        }
        is_allowed || self.tokens() > 0
    }

    /// Reserves a retry from the budget, unless one is held that was not sent.
    pub(super) fn take_retry(&mut self, now: Instant) -> bool {
        self.holds_retry = self.holds_retry || self.spec.retries.try_acquire(now);
        self.holds_retry
    }

    /// Aborts the current attempt at every upstream where it may still run.
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

/// Returns whether an upstream that failed in this way may have received the request.
fn was_received(failure: UpstreamFailure) -> bool {
    !matches!(failure, UpstreamFailure::NothingSent | UpstreamFailure::Withheld)
}
