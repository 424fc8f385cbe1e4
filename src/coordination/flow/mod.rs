//! State machine of one request at its entry daemon, from acceptance to the last byte.
//!
//! The flow requests admission from shard owners, starts the prefill and the run, forwards only
//! output of the current attempt, retries on other upstreams while that is safe, and ends exactly
//! once. See docs/DESIGN.md, "A request".

mod attempts;
mod events;
mod silence;

pub use events::{
    DisconnectPolicy, FlowAction, FlowEvent, KvHandle, RequestSpec, RetryLimiter, UnlimitedRetries,
    UpstreamFailure,
};

use crate::coordination::crashing_parts::{CrashVerdict, FIRST_TRIAL_DELAY};
use crate::coordination::messages::{AdmissionRequest, GrantMessage, ReleaseOutcome, ShardMessage};
use crate::coordination::stops::{STOP_RETRY_AFTER, StopPlan};
use crate::prelude::*;
use silence::ReplacementSearch;
use std::collections::BTreeSet;

/// The time without a reply from a shard owner after which an admission request is sent again.
const ADMISSION_RETRY: Duration = Duration::from_millis(250);
/// The interval at which a queued admission request is repeated, in case its owner has changed.
const QUEUED_RETRY: Duration = Duration::from_secs(1);
/// The time without a reply from any owner after which the request is refused.
const OWNER_TIMEOUT: Duration = Duration::from_secs(4);
/// The retry-after time of refusals for a missing owner, too many attempts or spent retries.
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// The time without a reply after which the owner in the next failure domain is probed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);
/// The interval between probes of other failure domains while the request is queued in one.
const PROBE_PERIOD: Duration = Duration::from_millis(150);
/// The same while the owner says when to ask another failure domain; it may have fallen silent.
const GUIDED_PROBE_PERIOD: Duration = Duration::from_secs(1);
/// The crash weight from which every daemon refuses a request.
pub const MAX_CRASH_WEIGHT: u32 = 3;

/// The result of a prefill that the prefill worker still holds.
#[derive(Clone, Debug)]
struct CachedPrefill {
    handle: KvHandle,
    expires_at: Instant,
}

/// An attempt that holds upstreams.
#[derive(Debug)]
struct ActiveAttempt {
    /// The failure domain whose owner granted the upstreams.
    domain: DomainName,
    grant: GrantMessage,
    /// When the first token of this attempt arrived.
    first_token: Option<Instant>,
    /// Whether [`FlowAction::ReportOutput`] has been returned for this attempt.
    output_reported: bool,
    /// The prefill result that this attempt uses, until its first token arrives.
    cached_prefill: Option<CachedPrefill>,
    /// When the attempt counts as stalled if it makes no progress.
    stall_deadline: Instant,
    /// When progress is next reported to the owner.
    next_report: Instant,
    /// The search for an upstream that takes over while this one is silent.
    replacement: Option<ReplacementSearch>,
    /// Whether the decode worker or plain upstream has been called.
    running: bool,
}

/// How a request seeks admission.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AdmissionMode {
    /// Asks the other failure domains in turn, and is refused if none has room.
    Leaving(Refusal),
    /// Probes one failure domain after another for an upstream with free capacity.
    Probing,
    /// Waits in the queue of one failure domain and probes the others periodically.
    Queued {
        /// The index of the failure domain that was probed last.
        last_probed: usize,
        /// When the next failure domain is probed.
        next_probe: Instant,
        /// The interval between two probes.
        period: Duration,
    },
}

/// The stage that a request has reached.
#[derive(Debug)]
enum FlowStage {
    /// Waits for a grant since the given time. `acknowledged` is set once an owner has queued the
    /// request; at `next_send`, the admission request is sent again or the next domain probed.
    Admission { since: Instant, next_send: Instant, acknowledged: bool, mode: AdmissionMode },
    /// Runs at the granted upstreams.
    Active(Box<ActiveAttempt>),
    /// Completed, refused or abandoned by the caller.
    Ended,
}

/// The stop of the host, as it concerns one request.
#[derive(Clone, Copy, Debug)]
struct HostStop {
    /// When a run must begin, wherever that may be.
    latest_start: Instant,
    plan: StopPlan,
}

/// The state of one request at its entry daemon.
#[derive(Debug)]
pub struct RequestFlow {
    /// The number of the current attempt, from 1.
    attempt: u32,
    /// The highest number of an attempt for which upstreams were requested.
    last_attempt: u32,
    /// The upstreams that failed or rejected an attempt of this request.
    avoid: Vec<UpstreamName>,
    /// The sum of the crash weights recorded for requests with the same fingerprint.
    crash_weight: u32,
    /// The index in `spec.domains` of the failure domain that is probed or queued in.
    domain_index: usize,
    /// The prefill result of the previous attempt.
    cached_prefill: Option<CachedPrefill>,
    /// The index of the first token that the caller lacks.
    next_token: u32,
    /// Whether [`FlowAction::OpenResponse`] has been returned.
    response_opened: bool,
    /// The number of attempts that may have executed the request.
    runs: u32,
    /// The software version that wrote the first event that the caller has.
    software: Option<SoftwareVersion>,
    spec: RequestSpec,
    stage: FlowStage,
    started: Instant,
    /// The number of attempts that were granted upstreams.
    attempts_started: u32,
    /// Whether an upstream has prefilled the prompt.
    has_prefilled: bool,
    /// Whether a retry of the budget is reserved for the next attempt.
    holds_retry: bool,
    /// Whether [`FlowAction::UpstreamSilent`] has been returned for this attempt.
    silence_reported: bool,
    /// Whether the request is suspected of crashing its upstreams.
    suspect: bool,
    /// Whether the request ends with its current run, as its caller has disconnected.
    is_last_run: bool,
    /// Whether an upstream may have executed the request, which a refusal has to report.
    may_have_run: bool,
    /// How the host stops, once it does.
    stop: Option<HostStop>,
    /// Whether the run waits for the KV cache of the prompt to be transferred.
    awaiting_transfer: bool,
}

impl RequestFlow {
    /// Creates the flow of a request; [`FlowEvent::Start`] starts it.
    pub fn new(now: Instant, spec: RequestSpec) -> Self {
        let crash_weight = spec.crash_weight;
        Self {
            attempt: 0,
            last_attempt: 0,
            avoid: spec.avoid.clone(),
            crash_weight,
            domain_index: 0,
            cached_prefill: None,
            next_token: spec.first_index,
            response_opened: false,
            runs: 0,
            software: spec.software.clone(),
            spec,
            stage: FlowStage::Admission {
                since: now,
                acknowledged: false,
                next_send: now,
                mode: AdmissionMode::Probing,
            },
            started: now,
            attempts_started: 0,
            has_prefilled: false,
            is_last_run: false,
            holds_retry: false,
            silence_reported: false,
            suspect: crash_weight > 0,
            may_have_run: false,
            stop: None,
            awaiting_transfer: false,
        }
    }

    /// Processes one event and returns the resulting actions, in the order in which to execute
    /// them.
    pub fn handle(&mut self, now: Instant, event: FlowEvent) -> Vec<FlowAction> {
        let mut out = Vec::new();
        if matches!(self.stage, FlowStage::Ended) {
            self.handle_after_end(event, &mut out);
            return out;
        }
        match event {
            FlowEvent::Start => self.start(now, &mut out),
            FlowEvent::OwnerMessage(domain, message) => {
                self.handle_owner_message(now, domain, message, &mut out)
            }
            FlowEvent::PrefillDone(attempt, handle) => {
                self.handle_prefill_done(now, &attempt, handle, &mut out);
            }
            FlowEvent::PrefillFailed(attempt, failure) => {
                self.fail_attempt(now, &attempt, failure, ReleaseOutcome::PrefillLost, &mut out);
            }
            FlowEvent::Token { attempt, request_id, index, text } => {
                self.handle_token(now, &attempt, &request_id, index, text, &mut out);
            }
            FlowEvent::CallerBehind(attempt) => self.handle_caller_behind(now, &attempt),
            FlowEvent::RunEnded(attempt, total) => {
                self.handle_run_ended(now, &attempt, total, &mut out)
            }
            FlowEvent::ResponseReceived(attempt) => {
                self.handle_response(now, &attempt, ReleaseOutcome::Finished, &mut out);
            }
            FlowEvent::ErrorResponseReceived(attempt) => {
                self.handle_response(now, &attempt, ReleaseOutcome::RunnerFailed, &mut out);
            }
            FlowEvent::RunFailed(attempt, failure) => {
                self.fail_attempt(now, &attempt, failure, ReleaseOutcome::RunnerLost, &mut out);
            }
            FlowEvent::CallerDisconnected { is_sent } => {
                self.handle_caller_disconnected(is_sent, &mut out);
            }
            FlowEvent::HostStops(plan) => {
                let work = self.spec.work.whole(now, None);
                let latest_start = plan.latest_start(work).unwrap_or(self.started);
                self.stop = Some(HostStop { latest_start, plan });
                self.end_for_stop(now, &mut out);
            }
            FlowEvent::PartsRefused(parts) => self.handle_parts_refused(&parts, &mut out),
            FlowEvent::OwnerChanged => self.resend_admission_request(now, &mut out),
            FlowEvent::Tick => self.handle_tick(now, &mut out),
        }
        out
    }

    /// Returns when the flow needs its next [`FlowEvent::Tick`], or `None` once it has ended.
    pub fn next_wake(&self) -> Option<Instant> {
        let step = match &self.stage {
            FlowStage::Admission {
                next_send,
                mode: AdmissionMode::Queued { next_probe, .. },
                ..
            } => (*next_send).min(*next_probe),
            FlowStage::Admission { next_send, .. } => *next_send,
            FlowStage::Active(active) => match &active.replacement {
                Some(search) => search.next_send,
                None => active.stall_deadline,
            },
            FlowStage::Ended => return None,
        };
        let step = step.min(self.spec.deadline);
        Some(self.stop_due().map_or(step, |due| step.min(due)))
    }

    /// Returns when the request is aborted and refused if it has not ended.
    pub fn deadline(&self) -> Instant {
        self.spec.deadline
    }

    /// Returns what becomes of the request when its caller disconnects.
    pub fn after_disconnect(&self) -> DisconnectPolicy {
        self.spec.after_disconnect
    }

    /// Returns whether the request has completed, failed or lost its caller.
    pub fn is_ended(&self) -> bool {
        matches!(self.stage, FlowStage::Ended)
    }

    /// Returns the number of token events forwarded to the caller.
    pub fn tokens(&self) -> u32 {
        self.next_token - self.spec.first_index
    }

    /// Handles an event after the request has ended. A grant is released, so that its slots do not
    /// stay reserved for a request that no longer exists.
    fn handle_after_end(&mut self, event: FlowEvent, out: &mut Vec<FlowAction>) {
        match event {
            FlowEvent::OwnerMessage(domain, ShardMessage::Grant(grant)) => {
                self.release_grant(domain, grant, out);
            }
            FlowEvent::Token { .. } => out.push(FlowAction::Dropped),
            _ => {}
        }
    }

    fn release_grant(&self, domain: DomainName, grant: GrantMessage, out: &mut Vec<FlowAction>) {
        let attempt = grant.claim.attempt;
        let release = ShardMessage::Release(attempt, ReleaseOutcome::Cancelled);
        out.push(FlowAction::Send(domain, release));
    }

    fn start(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        if let CrashVerdict::Refused(wait) = self.spec.crash_verdict {
            let refusal = Refusal::not_run(RefusalReason::CrashesUpstream);
            return self.refuse(refusal.with_retry_after(wait), out);
        }
        if self.crash_weight >= MAX_CRASH_WEIGHT {
            return self.refuse(Refusal::not_run(RefusalReason::CrashesUpstream), out);
        }
        if self.spec.domains.is_empty() {
            return self.refuse(Refusal::not_run(RefusalReason::NoUpstream), out);
        }
        self.request_admission(now, out);
    }

    /// Starts a new attempt: probes the local failure domain, then the others, then queues in the
    /// local one.
    fn request_admission(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        if self.end_for_stop(now, out) {
            return;
        }
        self.last_attempt += 1;
        self.attempt = self.last_attempt;
        self.domain_index = 0;
        if self.spec.domains.len() == 1 {
            return self.queue_locally(now, out);
        }
        let next_send = now + PROBE_TIMEOUT;
        self.stage = FlowStage::Admission {
            since: now,
            acknowledged: false,
            next_send,
            mode: AdmissionMode::Probing,
        };
        self.send_admission_request(now, self.domain_index, true, out);
    }

    fn queue_locally(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        self.queue_in(now, 0, out);
    }

    fn queue_in(&mut self, now: Instant, domain: usize, out: &mut Vec<FlowAction>) {
        self.domain_index = domain;
        let single_domain = self.spec.domains.len() == 1;
        let next_probe = if single_domain { self.spec.deadline } else { now + PROBE_PERIOD };
        let mode = AdmissionMode::Queued { last_probed: 0, next_probe, period: PROBE_PERIOD };
        let next_send = now + ADMISSION_RETRY;
        self.stage = FlowStage::Admission { since: now, acknowledged: false, next_send, mode };
        self.send_admission_request(now, self.domain_index, false, out);
    }

    /// Probes the next failure domain, or queues in the local one after the last.
    fn probe_next_domain(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        if self.domain_index + 1 >= self.spec.domains.len() {
            return self.queue_locally(now, out);
        }
        self.domain_index += 1;
        if let FlowStage::Admission { next_send, .. } = &mut self.stage {
            *next_send = now + PROBE_TIMEOUT;
        }
        self.send_admission_request(now, self.domain_index, true, out);
    }

    fn send_admission_request(
        &self,
        now: Instant,
        domain: usize,
        fail_fast: bool,
        out: &mut Vec<FlowAction>,
    ) {
        let (attempt, avoid) = (self.current_attempt(), self.avoid.clone());
        let request = self.build_admission_request(now, fail_fast, attempt, avoid);
        out.push(FlowAction::Send(
            self.spec.domains[domain].clone(),
            ShardMessage::RequestAdmission(request),
        ));
    }

    fn build_admission_request(
        &self,
        now: Instant,
        fail_fast: bool,
        attempt: AttemptId,
        avoid: Vec<UpstreamName>,
    ) -> AdmissionRequest {
        // Once an attempt was made, or the caller has a part of the stream, the request is completed
        // even if its first token is late.
        let first_token_due = match (self.attempts_started, self.spec.first_index) {
            (0, 0) => self.spec.first_token_due,
            _ => self.spec.deadline,
        };
        let produced = self.next_token.saturating_mul(self.spec.tokens_per_index);
        AdmissionRequest {
            account: self.spec.account.clone(),
            expected_output: Tokens(self.spec.expected_output.0.saturating_sub(produced)),
            fail_fast,
            attempt,
            fingerprint: self.spec.fingerprint,
            avoid,
            first_token_within: first_token_due.saturating_duration_since(now),
            max_output: Tokens(self.spec.max_output.0.saturating_sub(produced)),
            prefilled: self.usable_prefill(now).is_some(),
            prefix: self.spec.prefix.clone(),
            prompt: Tokens(self.spec.prompt.0.saturating_add(produced)),
            resuming: self.attempts_started > 0 || self.spec.first_index > 0,
            returning: self.spec.returning,
            software: self.software.clone(),
            suspect: self.suspect,
            urgency: self.spec.urgency,
            waited: now.saturating_duration_since(self.started),
        }
    }

    fn resend_admission_request(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        let FlowStage::Admission { next_send, mode, .. } = &mut self.stage else { return };
        let fail_fast = !matches!(mode, AdmissionMode::Queued { .. });
        // While probing, the timer runs on: changing owners must not delay the next probe.
        if !fail_fast {
            *next_send = now + ADMISSION_RETRY;
        }
        self.send_admission_request(now, self.domain_index, fail_fast, out);
    }

    fn current_attempt(&self) -> AttemptId {
        AttemptId { request: self.spec.id.clone(), attempt: self.attempt }
    }

    fn is_current(&self, attempt: &AttemptId) -> bool {
        attempt.request == self.spec.id && attempt.attempt == self.attempt
    }

    fn handle_owner_message(
        &mut self,
        now: Instant,
        domain: DomainName,
        message: ShardMessage,
        out: &mut Vec<FlowAction>,
    ) {
        let Some(message) = self.handle_search_message(now, &domain, message, out) else { return };
        match message {
            ShardMessage::Grant(grant) => self.handle_grant(now, domain, grant, out),
            ShardMessage::Queued(attempt) if self.is_current(&attempt) => {
                if let FlowStage::Admission { next_send, acknowledged, .. } = &mut self.stage {
                    *next_send = now + QUEUED_RETRY;
                    *acknowledged = true;
                    self.open_response(out);
                }
            }
            ShardMessage::Waiting(attempt) if self.is_current(&attempt) => {
                self.wait_in(now, &domain, out);
            }
            ShardMessage::TryDomain(attempt, other) if self.is_current(&attempt) => {
                let queued = matches!(
                    self.stage,
                    FlowStage::Admission { mode: AdmissionMode::Queued { .. }, .. }
                );
                let index = self.spec.domains.iter().position(|known| *known == other);
                if let Some(index) = index.filter(|_| queued) {
                    self.send_admission_request(now, index, true, out);
                }
            }
            ShardMessage::RefuseHere(attempt, refusal, other) if self.is_current(&attempt) => {
                self.leave_or_refuse(now, refusal, other, out);
            }
            ShardMessage::FirstTokenDue(attempt, within) if self.is_current(&attempt) => {
                self.spec.first_token_due = now + within;
            }
            ShardMessage::Refuse(attempt, refusal) if self.is_current(&attempt) => {
                self.handle_refusal(now, &domain, refusal, out);
            }
            _ => {}
        }
    }

    /// Waits in the queue of the owner that says when to ask another failure domain.
    fn wait_in(&mut self, now: Instant, domain: &DomainName, out: &mut Vec<FlowAction>) {
        let index = self.spec.domains.iter().position(|known| known == domain);
        let (FlowStage::Admission { since, .. }, Some(index)) = (&self.stage, index) else {
            return;
        };
        let single_domain = self.spec.domains.len() == 1;
        let period = GUIDED_PROBE_PERIOD;
        let next_probe = if single_domain { self.spec.deadline } else { now + period };
        let mode = AdmissionMode::Queued { last_probed: 0, next_probe, period };
        self.domain_index = index;
        let (since, next_send) = (*since, now + QUEUED_RETRY);
        self.stage = FlowStage::Admission { since, next_send, acknowledged: true, mode };
        self.open_response(out);
    }

    /// Asks the other failure domains before the request ends, the one that may have room first.
    fn leave_or_refuse(
        &mut self,
        now: Instant,
        refusal: Refusal,
        domain: Option<DomainName>,
        out: &mut Vec<FlowAction>,
    ) {
        let FlowStage::Admission { since, acknowledged, .. } = &self.stage else { return };
        let (since, acknowledged) = (*since, *acknowledged);
        self.withdraw(out);
        if let Some(others) = self.spec.domains.get_mut(1..) {
            others.sort_by_key(|other| Some(other) != domain.as_ref());
        }
        self.domain_index = 0;
        let mode = AdmissionMode::Leaving(refusal);
        self.stage = FlowStage::Admission { since, next_send: now, acknowledged, mode };
        self.ask_next_domain(now, refusal, out);
    }

    /// Asks the next failure domain for room; after the last one the refusal holds.
    fn ask_next_domain(&mut self, now: Instant, refusal: Refusal, out: &mut Vec<FlowAction>) {
        if self.domain_index + 1 >= self.spec.domains.len() {
            return self.refuse(refusal, out);
        }
        self.domain_index += 1;
        if let FlowStage::Admission { next_send, .. } = &mut self.stage {
            *next_send = now + PROBE_TIMEOUT;
        }
        self.send_admission_request(now, self.domain_index, true, out);
    }

    fn open_response(&mut self, out: &mut Vec<FlowAction>) {
        if !self.response_opened {
            self.response_opened = true;
            out.push(FlowAction::OpenResponse);
        }
    }

    fn handle_refusal(
        &mut self,
        now: Instant,
        domain: &DomainName,
        refusal: Refusal,
        out: &mut Vec<FlowAction>,
    ) {
        let FlowStage::Admission { mode, .. } = &self.stage else { return };
        let mode = *mode;
        let current_domain = self.spec.domains.get(self.domain_index);
        let other_domain_may_admit = matches!(
            refusal.reason,
            RefusalReason::NoUpstream | RefusalReason::Overloaded | RefusalReason::TooLarge
        );
        if current_domain != Some(domain) {
            // The answer to a probe; the request stays in the queue where it is.
            return;
        }
        if let AdmissionMode::Leaving(refusal) = mode {
            return self.ask_next_domain(now, refusal, out);
        }
        if mode == AdmissionMode::Probing && other_domain_may_admit && now < self.spec.deadline {
            return self.probe_next_domain(now, out);
        }
        let next_domain = self.domain_index + 1;
        if refusal.reason == RefusalReason::NoUpstream && next_domain < self.spec.domains.len() {
            // No upstream of this failure domain may take the request, so queueing there is futile.
            return self.queue_in(now, next_domain, out);
        }
        self.withdraw(out);
        self.refuse(refusal, out);
    }

    /// Ends the request if it has one of these parts and has not begun to write, or if it is refused
    /// itself and waits: it would crash the next upstream. A run that goes on may still show that the
    /// request is sound.
    fn handle_parts_refused(&mut self, refused: &BTreeSet<PromptPart>, out: &mut Vec<FlowAction>) {
        let (writes, waits) = match &self.stage {
            FlowStage::Active(active) => (active.first_token.is_some(), false),
            _ => (false, true),
        };
        let has_part = self.spec.parts.iter().any(|part| refused.contains(part));
        let is_refused = has_part || waits && refused.contains(&self.spec.fingerprint.as_part());
        if writes || !is_refused || self.spec.crash_verdict == CrashVerdict::Trial {
            return;
        }
        self.may_have_run |= self.is_running();
        self.withdraw(out);
        self.abort(ReleaseOutcome::Cancelled, false, out);
        let refusal = Refusal::not_run(RefusalReason::CrashesUpstream);
        self.refuse(refusal.with_retry_after(FIRST_TRIAL_DELAY), out);
    }

    fn finish(&mut self, outcome: ReleaseOutcome, out: &mut Vec<FlowAction>) {
        self.report_output(out);
        if let FlowStage::Active(active) = std::mem::replace(&mut self.stage, FlowStage::Ended) {
            let attempt = active.grant.claim.attempt;
            if self.spec.progress_period.is_some() {
                let produced = Tokens(self.tokens().saturating_mul(self.spec.tokens_per_index));
                let domain = active.domain.clone();
                out.push(FlowAction::Progress(domain, attempt.clone(), produced));
            }
            out.push(FlowAction::Release(active.domain, attempt, outcome));
        }
        out.push(FlowAction::Finish);
    }

    fn refuse(&mut self, refusal: Refusal, out: &mut Vec<FlowAction>) {
        self.stage = FlowStage::Ended;
        let own_verdict = if self.may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun };
        out.push(FlowAction::Refuse(
            refusal.with_verdict(refusal.verdict.stronger_of(own_verdict)),
        ));
    }

    fn handle_caller_disconnected(&mut self, is_sent: bool, out: &mut Vec<FlowAction>) {
        let goes_on = match self.spec.after_disconnect {
            DisconnectPolicy::Cancel => false,
            DisconnectPolicy::FinishRun => is_sent && self.is_running(),
            DisconnectPolicy::GoOn => matches!(self.stage, FlowStage::Active(_)),
        };
        if goes_on {
            self.is_last_run = self.spec.after_disconnect == DisconnectPolicy::FinishRun;
            return;
        }
        self.may_have_run |= self.is_running();
        self.withdraw(out);
        self.abort(ReleaseOutcome::Cancelled, false, out);
        self.stage = FlowStage::Ended;
    }

    /// Returns whether an upstream has been told to produce the output. A prefill alone has no
    /// effect that can be observed outside.
    fn is_running(&self) -> bool {
        matches!(&self.stage, FlowStage::Active(active) if active.running)
    }

    /// Removes the request from the queue of a shard owner, if it is in one.
    fn withdraw(&self, out: &mut Vec<FlowAction>) {
        let queued =
            matches!(self.stage, FlowStage::Admission { mode: AdmissionMode::Queued { .. }, .. });
        if queued && self.attempt > 0 {
            let domain = self.spec.domains[self.domain_index].clone();
            out.push(FlowAction::Send(domain, ShardMessage::Withdraw(self.current_attempt())));
        }
    }

    /// Returns from when on the request is refused because the host stops: a run that has begun has until
    /// answers are due, another one must be expected to end by then. A stream of which the caller has a
    /// part goes on until the process exits, since it can only be cut off.
    fn stop_due(&self) -> Option<Instant> {
        let stop = self.stop.filter(|_| self.tokens() == 0)?;
        Some(match &self.stage {
            FlowStage::Active(_) => stop.plan.answers_due(),
            _ => stop.latest_start,
        })
    }

    /// Returns whether the host stops before `runner` could end a run that has `start` left until its
    /// response begins. The upstreams of a service differ in speed, so this is asked of the one that is to
    /// run it, and again when the prompt has been prefilled.
    fn ends_too_late(&self, now: Instant, runner: &UpstreamName, start: Duration) -> bool {
        let stop = self.stop.filter(|_| self.tokens() == 0);
        let writing = || self.spec.work.writing.writing_time(now, Some(runner));
        stop.is_some_and(|stop| !stop.plan.admits(now, start.saturating_add(writing())))
    }

    /// Refuses the request if it cannot end before the host does, and returns whether it has.
    fn end_for_stop(&mut self, now: Instant, out: &mut Vec<FlowAction>) -> bool {
        let ends = self.stop_due().is_some_and(|due| now >= due);
        if ends {
            self.refuse_for_stop(out);
        }
        ends
    }

    fn refuse_for_stop(&mut self, out: &mut Vec<FlowAction>) {
        self.may_have_run |= self.is_running();
        self.withdraw(out);
        self.abort(ReleaseOutcome::Cancelled, false, out);
        let refusal = Refusal::not_run(RefusalReason::Stopping);
        self.refuse(refusal.with_retry_after(STOP_RETRY_AFTER), out);
    }

    fn handle_tick(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        if now >= self.spec.deadline {
            self.may_have_run |= self.is_running();
            self.withdraw(out);
            self.abort(ReleaseOutcome::Cancelled, false, out);
            return self.refuse(Refusal::not_run(RefusalReason::DeadlinePassed), out);
        }
        if self.end_for_stop(now, out) {
            return;
        }
        match &mut self.stage {
            FlowStage::Admission {
                mode: AdmissionMode::Queued { last_probed, next_probe, period },
                ..
            } if *next_probe <= now => {
                *next_probe = now + *period;
                *last_probed = *last_probed % (self.spec.domains.len() - 1) + 1;
                let domain = *last_probed;
                self.send_admission_request(now, domain, true, out);
            }
            FlowStage::Admission { next_send, .. } if *next_send > now => {}
            FlowStage::Admission { mode: AdmissionMode::Probing, .. } => {
                self.probe_next_domain(now, out)
            }
            FlowStage::Admission { mode: AdmissionMode::Leaving(refusal), .. } => {
                let refusal = *refusal;
                self.ask_next_domain(now, refusal, out);
            }
            FlowStage::Admission { since, acknowledged: false, .. }
                if now >= *since + OWNER_TIMEOUT =>
            {
                self.withdraw(out);
                let refusal =
                    Refusal::not_run(RefusalReason::NoOwner).with_retry_after(RETRY_AFTER);
                self.refuse(refusal, out);
            }
            FlowStage::Admission { next_send, acknowledged, .. } => {
                *next_send = now + if *acknowledged { QUEUED_RETRY } else { ADMISSION_RETRY };
                self.send_admission_request(now, self.domain_index, false, out);
            }
            FlowStage::Active(_) => self.handle_silence(now, out),
            FlowStage::Ended => {}
        }
    }
}

impl Drop for RequestFlow {
    fn drop(&mut self) {
        if self.holds_retry {
            self.spec.retries.release();
        }
    }
}
