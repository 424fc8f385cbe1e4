//! One request as its entry daemon sees it, from accept to last byte.
//!
//! The flow asks shard owners for upstreams, starts prefill and run, passes on only what belongs
//! to its current attempt, tries again elsewhere while that is safe, and ends exactly once. See
//! docs/DESIGN.md, "A request".

mod attempts;
mod events;

pub use events::{
    FlowAction, FlowEvent, KvHandle, RequestSpec, RetryLimiter, UnlimitedRetries, UpstreamFailure,
};

use crate::coordination::messages::{AdmissionRequest, GrantMessage, ReleaseOutcome, ShardMessage};
use crate::prelude::*;

/// How long an owner may stay silent before the ask is sent again.
const ASK_RETRY: Duration = Duration::from_millis(250);
/// How often a queued ask is repeated, in case its owner has changed.
const QUEUED_RETRY: Duration = Duration::from_secs(1);
/// How long all owners may stay silent before the request is refused.
const OWNER_LIMIT: Duration = Duration::from_secs(4);
/// When to come back to a service whose owner is silent.
const OWNER_WAIT: Duration = Duration::from_secs(2);
/// How long an owner may stay silent before that of another failure domain is asked.
const SPILL_AFTER: Duration = Duration::from_millis(60);
/// How often an owner of another failure domain is asked while the request waits at home.
const SPILL_PERIOD: Duration = Duration::from_millis(150);
/// The weight at which a request is refused everywhere.
pub const CRASH_LIMIT: u32 = 3;

/// A computed prompt that a prefill worker still keeps.
#[derive(Clone, Debug)]
struct KeptPrompt {
    handle: KvHandle,
    until: Instant,
}

#[derive(Debug)]
struct ActiveAttempt {
    domain: DomainName,
    grant: GrantMessage,
    /// Whether a token of this attempt has come.
    heard: bool,
    kept: Option<KeptPrompt>,
    progress_due: Instant,
    /// When the owner next hears how far the run has come.
    report_at: Instant,
    running: bool,
}

/// How a request looks for upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AskRound {
    /// It asks one failure domain after another for room that is free now.
    Looking,
    /// It waits in the queue of the first, and looks at the others now and then.
    Waiting {
        /// The last of the others that was asked.
        looked: usize,
        /// When the next one is asked.
        look_at: Instant,
    },
}

#[derive(Debug)]
enum FlowStage {
    Asking { first: Instant, next: Instant, heard: bool, round: AskRound },
    Active(Box<ActiveAttempt>),
    Ended,
}

/// The state of one request at its entry.
#[derive(Debug)]
pub struct RequestFlow {
    attempt: u32,
    avoid: Vec<UpstreamName>,
    crashes: u32,
    domain: usize,
    kept: Option<KeptPrompt>,
    next_token: u32,
    opened: bool,
    /// How many upstreams may have run it.
    runs: u32,
    spec: RequestSpec,
    stage: FlowStage,
    started: Instant,
    starts: u32,
    suspect: bool,
    touched: bool,
    /// Whether the run waits for the transfer of its prompt.
    transfers: bool,
}

impl RequestFlow {
    /// Returns the flow of a request that is about to start.
    pub fn new(now: Instant, spec: RequestSpec) -> Self {
        let crashes = spec.crash_weight;
        Self {
            attempt: 0,
            avoid: Vec::new(),
            crashes,
            domain: 0,
            kept: None,
            next_token: spec.first_index,
            opened: false,
            runs: 0,
            spec,
            stage: FlowStage::Asking {
                first: now,
                heard: false,
                next: now,
                round: AskRound::Looking,
            },
            started: now,
            starts: 0,
            suspect: crashes > 0,
            touched: false,
            transfers: false,
        }
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: FlowEvent) -> Vec<FlowAction> {
        let mut out = Vec::new();
        if matches!(self.stage, FlowStage::Ended) {
            self.handle_late(event, &mut out);
            return out;
        }
        match event {
            FlowEvent::Start => self.start(now, &mut out),
            FlowEvent::OwnerMessage(domain, message) => {
                self.hear_owner(now, domain, message, &mut out)
            }
            FlowEvent::PrefillDone(attempt, handle) => {
                self.prefill_done(now, &attempt, handle, &mut out);
            }
            FlowEvent::PrefillFailed(attempt, loss) => {
                self.lose(now, &attempt, loss, ReleaseOutcome::PrefillLost, &mut out);
            }
            FlowEvent::Token { attempt, request_id, index, text } => {
                self.take_token(now, &attempt, &request_id, index, text, &mut out);
            }
            FlowEvent::RunEnded(attempt, total) => self.run_ended(now, &attempt, total, &mut out),
            FlowEvent::ResponseReceived(attempt) => {
                if self.is_current(&attempt) {
                    self.finish(ReleaseOutcome::Finished, &mut out);
                }
            }
            FlowEvent::ErrorResponseReceived(attempt) => {
                if self.is_current(&attempt) {
                    self.finish(ReleaseOutcome::RunnerFailed, &mut out);
                }
            }
            FlowEvent::RunFailed(attempt, loss) => {
                self.lose(now, &attempt, loss, ReleaseOutcome::RunnerLost, &mut out);
            }
            FlowEvent::CallerDisconnected => self.caller_gone(&mut out),
            FlowEvent::OwnerChanged => self.ask_again(now, &mut out),
            FlowEvent::Tick => self.tick(now, &mut out),
        }
        out
    }

    /// Returns when the flow wants its next [`FlowEvent::Tick`].
    pub fn next_wake(&self) -> Option<Instant> {
        let step = match &self.stage {
            FlowStage::Asking { next, round: AskRound::Waiting { look_at, .. }, .. } => {
                (*next).min(*look_at)
            }
            FlowStage::Asking { next, .. } => *next,
            FlowStage::Active(active) => active.progress_due,
            FlowStage::Ended => return None,
        };
        Some(step.min(self.spec.deadline))
    }

    /// Returns when the caller's patience ends.
    pub fn deadline(&self) -> Instant {
        self.spec.deadline
    }

    /// Returns whether the request has ended.
    pub fn is_ended(&self) -> bool {
        matches!(self.stage, FlowStage::Ended)
    }

    /// Returns how many tokens the caller has been given.
    pub fn tokens(&self) -> u32 {
        self.next_token - self.spec.first_index
    }

    /// A grant that comes after the end is given back, so that no slot stays held for nobody.
    fn handle_late(&mut self, event: FlowEvent, out: &mut Vec<FlowAction>) {
        match event {
            FlowEvent::OwnerMessage(domain, ShardMessage::Grant(grant)) => {
                self.give_back(domain, grant, out);
            }
            FlowEvent::Token { .. } => out.push(FlowAction::Dropped),
            _ => {}
        }
    }

    fn give_back(&self, domain: DomainName, grant: GrantMessage, out: &mut Vec<FlowAction>) {
        let attempt = grant.claim.attempt;
        let release = ShardMessage::Release(attempt, ReleaseOutcome::Cancelled);
        out.push(FlowAction::Send(domain, release));
    }

    fn start(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        if self.crashes >= CRASH_LIMIT {
            return self.refuse(Refusal::not_run(RefusalReason::CrashesUpstream), out);
        }
        if self.spec.domains.is_empty() {
            return self.refuse(Refusal::not_run(RefusalReason::NoUpstream), out);
        }
        self.ask(now, out);
    }

    /// Looks for room in the first failure domain, then in the others, then waits in the first.
    fn ask(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        self.attempt += 1;
        self.domain = 0;
        if self.spec.domains.len() == 1 {
            return self.wait_at_home(now, out);
        }
        let next = now + SPILL_AFTER;
        self.stage = FlowStage::Asking { first: now, heard: false, next, round: AskRound::Looking };
        self.send_ask(now, self.domain, true, out);
    }

    fn wait_at_home(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        self.wait_at(now, 0, out);
    }

    fn wait_at(&mut self, now: Instant, domain: usize, out: &mut Vec<FlowAction>) {
        self.domain = domain;
        let alone = self.spec.domains.len() == 1;
        let look_at = if alone { self.spec.deadline } else { now + SPILL_PERIOD };
        let round = AskRound::Waiting { looked: 0, look_at };
        let next = now + ASK_RETRY;
        self.stage = FlowStage::Asking { first: now, heard: false, next, round };
        self.send_ask(now, self.domain, false, out);
    }

    /// Asks the next failure domain for room that is free now, or waits at home after the last.
    fn look_on(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        if self.domain + 1 >= self.spec.domains.len() {
            return self.wait_at_home(now, out);
        }
        self.domain += 1;
        if let FlowStage::Asking { next, .. } = &mut self.stage {
            *next = now + SPILL_AFTER;
        }
        self.send_ask(now, self.domain, true, out);
    }

    fn send_ask(&self, now: Instant, domain: usize, fail_fast: bool, out: &mut Vec<FlowAction>) {
        // What upstreams have lost is finished, late or not.
        let due = match self.starts {
            0 => self.spec.first_token_due,
            _ => self.spec.deadline,
        };
        let produced = self.next_token.saturating_mul(self.spec.tokens_per_index);
        let ask = AdmissionRequest {
            account: self.spec.account.clone(),
            expected_output: Tokens(self.spec.expected_output.0.saturating_sub(produced)),
            fail_fast,
            attempt: self.current(),
            fingerprint: self.spec.fingerprint,
            avoid: self.avoid.clone(),
            first_token_within: due.saturating_duration_since(now),
            max_output: Tokens(self.spec.max_output.0.saturating_sub(produced)),
            prefilled: self.kept_prompt(now).is_some(),
            prefix: self.spec.prefix.clone(),
            prompt: Tokens(self.spec.prompt.0.saturating_add(produced)),
            resuming: self.starts > 0,
            returning: self.spec.returning,
            suspect: self.suspect,
            waited: now.saturating_duration_since(self.started),
        };
        out.push(FlowAction::Send(
            self.spec.domains[domain].clone(),
            ShardMessage::RequestAdmission(ask),
        ));
    }

    fn ask_again(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        let FlowStage::Asking { next, round, .. } = &mut self.stage else { return };
        let fail_fast = *round == AskRound::Looking;
        if !fail_fast {
            *next = now + ASK_RETRY;
        }
        self.send_ask(now, self.domain, fail_fast, out);
    }

    fn current(&self) -> AttemptId {
        AttemptId { request: self.spec.id.clone(), attempt: self.attempt }
    }

    fn is_current(&self, attempt: &AttemptId) -> bool {
        attempt.request == self.spec.id && attempt.attempt == self.attempt
    }

    fn hear_owner(
        &mut self,
        now: Instant,
        domain: DomainName,
        message: ShardMessage,
        out: &mut Vec<FlowAction>,
    ) {
        match message {
            ShardMessage::Grant(grant) => self.take_grant(now, domain, grant, out),
            ShardMessage::Queued(attempt) if self.is_current(&attempt) => {
                if let FlowStage::Asking { next, heard, .. } = &mut self.stage {
                    *next = now + QUEUED_RETRY;
                    *heard = true;
                    self.open(out);
                }
            }
            ShardMessage::FirstTokenDue(attempt, within) if self.is_current(&attempt) => {
                self.spec.first_token_due = now + within;
            }
            ShardMessage::Refuse(attempt, refusal) if self.is_current(&attempt) => {
                self.take_refusal(now, &domain, refusal, out);
            }
            _ => {}
        }
    }

    fn open(&mut self, out: &mut Vec<FlowAction>) {
        if !self.opened {
            self.opened = true;
            out.push(FlowAction::OpenResponse);
        }
    }

    fn take_refusal(
        &mut self,
        now: Instant,
        domain: &DomainName,
        refusal: Refusal,
        out: &mut Vec<FlowAction>,
    ) {
        let FlowStage::Asking { round, .. } = &self.stage else { return };
        let asked = self.spec.domains.get(self.domain);
        let elsewhere = matches!(
            refusal.reason,
            RefusalReason::NoUpstream | RefusalReason::Overloaded | RefusalReason::TooLarge
        );
        if asked != Some(domain) {
            // An owner that was asked for free room while the request waits at home.
            return;
        }
        if *round == AskRound::Looking && elsewhere && now < self.spec.deadline {
            return self.look_on(now, out);
        }
        let next = self.domain + 1;
        if refusal.reason == RefusalReason::NoUpstream && next < self.spec.domains.len() {
            // Nobody there may take it, however long it waits.
            return self.wait_at(now, next, out);
        }
        self.withdraw(out);
        self.refuse(refusal, out);
    }

    fn finish(&mut self, outcome: ReleaseOutcome, out: &mut Vec<FlowAction>) {
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
        let known = if self.touched { Verdict::MayHaveRun } else { Verdict::NotRun };
        out.push(FlowAction::Refuse(refusal.with_verdict(refusal.verdict.stronger_of(known))));
    }

    fn caller_gone(&mut self, out: &mut Vec<FlowAction>) {
        if self.spec.outlives_caller && matches!(self.stage, FlowStage::Active(_)) {
            // Whoever repeats the request with its ticket gets the answer.
            return;
        }
        self.touched |= self.is_running();
        self.withdraw(out);
        self.abort(ReleaseOutcome::Cancelled, false, out);
        self.stage = FlowStage::Ended;
    }

    /// Returns whether an upstream has been told to produce the answer. A prefill alone produces
    /// nothing that anybody could notice.
    fn is_running(&self) -> bool {
        matches!(&self.stage, FlowStage::Active(active) if active.running)
    }

    /// Takes the request out of the queue that it may wait in.
    fn withdraw(&self, out: &mut Vec<FlowAction>) {
        let waits = matches!(self.stage, FlowStage::Asking { round: AskRound::Waiting { .. }, .. });
        if waits && self.attempt > 0 {
            let domain = self.spec.domains[self.domain].clone();
            out.push(FlowAction::Send(domain, ShardMessage::Withdraw(self.current())));
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        if now >= self.spec.deadline {
            self.touched |= self.is_running();
            self.withdraw(out);
            self.abort(ReleaseOutcome::Cancelled, false, out);
            return self.refuse(Refusal::not_run(RefusalReason::DeadlinePassed), out);
        }
        match &mut self.stage {
            FlowStage::Asking { round: AskRound::Waiting { looked, look_at }, .. }
                if *look_at <= now =>
            {
                *look_at = now + SPILL_PERIOD;
                *looked = *looked % (self.spec.domains.len() - 1) + 1;
                let domain = *looked;
                self.send_ask(now, domain, true, out);
            }
            FlowStage::Asking { next, .. } if *next > now => {}
            FlowStage::Asking { round: AskRound::Looking, .. } => self.look_on(now, out),
            FlowStage::Asking { first, heard: false, .. } if now >= *first + OWNER_LIMIT => {
                self.withdraw(out);
                let refusal = Refusal::not_run(RefusalReason::NoOwner).with_retry_after(OWNER_WAIT);
                self.refuse(refusal, out);
            }
            FlowStage::Asking { next, heard, .. } => {
                *next = now + if *heard { QUEUED_RETRY } else { ASK_RETRY };
                self.send_ask(now, self.domain, false, out);
            }
            FlowStage::Active(active) if active.progress_due <= now => {
                let attempt = active.grant.claim.attempt.clone();
                let outcome = match active.running {
                    true => ReleaseOutcome::RunnerLost,
                    false => ReleaseOutcome::PrefillLost,
                };
                self.lose(now, &attempt, UpstreamFailure::Stalled, outcome, out);
            }
            FlowStage::Active(_) | FlowStage::Ended => {}
        }
    }
}
