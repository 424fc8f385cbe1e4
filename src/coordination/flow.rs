//! One request as its entry daemon sees it, from accept to last byte.
//!
//! The flow asks shard owners for upstreams, starts prefill and run, passes on only what belongs
//! to its current attempt, tries again elsewhere while that is safe, and ends exactly once. See
//! docs/DESIGN.md, "A request".

use crate::coordination::messages::{
    AskMessage, ClaimPhase, CrashReport, GrantMessage, ReleaseOutcome, ShardMessage, SlotClaim,
};
use crate::prelude::*;
use std::net::SocketAddr;

/// How long an owner may stay silent before the ask is sent again.
const ASK_RETRY: Duration = Duration::from_millis(250);
/// How often a queued ask is repeated, in case its owner has changed.
const QUEUED_RETRY: Duration = Duration::from_secs(1);
/// How long all owners may stay silent before the request is refused.
const OWNER_LIMIT: Duration = Duration::from_secs(4);
/// When to come back to a service whose owner is silent.
const OWNER_WAIT: Duration = Duration::from_secs(2);
/// How often a request may be started.
const MAX_ATTEMPTS: u32 = 5;
/// How many owners of other failure domains are asked after the local one refuses.
const MAX_SPILLS: usize = 1;
/// The least time that a step may take before it counts as stalled.
const MIN_STALL: Duration = Duration::from_millis(500);
/// The part of the eviction time after which a transfer counts as stalled, so that enough is
/// left to move the same result elsewhere.
const STALL_PART: f64 = 0.625;
/// How many between-token targets may pass without a token before the run counts as stalled.
const STALLED_TOKENS: u32 = 40;
/// A run this short before its upstream died makes the request a suspect.
const SHORT_RUN: Duration = Duration::from_secs(1);
/// The weight of an upstream that died while it ran the request beside others.
const SHARED_LOSS: u32 = 1;
/// The weight of an upstream that died while the request was its only suspect.
const SUSPECT_LOSS: u32 = 2;
/// The weight from which a request runs only where no other suspect runs.
const SUSPECT_WEIGHT: u32 = 2;
/// The weight at which a request is refused everywhere.
pub const CRASH_LIMIT: u32 = 3;

/// Where an engine keeps a computed prompt, in the engine's own words.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvHandle(pub String);

/// What is known of a request when it is accepted.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The account that pays for it.
    pub account: AccountName,
    /// The longest answer.
    pub answer: Tokens,
    /// The target for the time between tokens.
    pub between_token_target: Duration,
    /// The weight of the upstreams that died while they ran the same body.
    pub crashes: u32,
    /// When the caller's patience ends.
    pub deadline: Instant,
    /// How long a prefill worker keeps a result that nobody fetched.
    pub eviction: Duration,
    /// The failure domains to ask, the daemon's own first.
    pub domains: Vec<DomainName>,
    /// A digest of the body.
    pub fingerprint: Fingerprint,
    /// When the first token is due.
    pub first_token_due: Instant,
    /// The request's id.
    pub id: RequestId,
    /// How long a transfer of the prompt takes on an idle link.
    pub link_time: Duration,
    /// Digests of the prompt's leading pieces.
    pub prefix: Vec<u64>,
    /// How long the prefill of the prompt takes on an idle worker.
    pub prefill_time: Duration,
    /// The prompt's length.
    pub prompt: Tokens,
    /// Whether a second run does no harm.
    pub repeatable: bool,
    /// Whether the caller comes back at a booked time.
    pub returning: bool,
}

/// How an upstream failed an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamLoss {
    /// No byte reached it.
    NothingSent,
    /// It answered that it has no room and did not start.
    Full,
    /// It ended the attempt or the connection, and still lives.
    Broken,
    /// It has made no progress for too long.
    Stalled,
    /// It is gone.
    Died,
}

/// What happens to a request.
#[derive(Clone, Debug)]
pub enum FlowEvent {
    /// It has been accepted.
    Start,
    /// A shard owner answers.
    Owner(DomainName, ShardMessage),
    /// The prompt is computed.
    PrefillDone(AttemptId, KvHandle),
    /// The prefill worker failed.
    PrefillFailed(AttemptId, UpstreamLoss),
    /// A part of the answer arrived on the connection of the first attempt, marked by the
    /// upstream with the second.
    Token {
        /// The attempt whose connection carried it.
        attempt: AttemptId,
        /// The request id that the upstream wrote into it.
        marked: String,
        /// Its place in the answer.
        index: u32,
        /// The text.
        text: String,
    },
    /// The upstream says that the answer is whole and how many tokens it has.
    RunEnded(AttemptId, u32),
    /// A plain upstream has answered.
    CallAnswered(AttemptId),
    /// The decode worker or plain upstream failed.
    RunFailed(AttemptId, UpstreamLoss),
    /// The caller is gone.
    CallerGone,
    /// Another daemon may own the shard now.
    OwnerChanged,
    /// Time has passed.
    Tick,
}

/// What the flow wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowAction {
    /// Say this to the shard's owner.
    Tell(DomainName, ShardMessage),
    /// The attempt holds this now: record it, and tell the backup.
    Claim(DomainName, SlotClaim),
    /// The attempt has come further: record it, and tell owner and backup.
    Advance(DomainName, AttemptId, ClaimPhase),
    /// The attempt holds nothing: record it, and tell owner and backup.
    Release(DomainName, AttemptId, ReleaseOutcome),
    /// Stop the attempt's connections, cancel it at these upstreams until they confirm, and then
    /// release it with this outcome.
    Abort {
        /// The shard's failure domain.
        domain: DomainName,
        /// The attempt.
        attempt: AttemptId,
        /// Whether the next attempt uses the computed prompt.
        keeps_prompt: bool,
        /// Where it may still run.
        upstreams: Vec<SocketAddr>,
        /// How it ended.
        outcome: ReleaseOutcome,
    },
    /// Compute the prompt.
    StartPrefill(AttemptId, SocketAddr),
    /// Produce the answer from this token on.
    StartRun {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream's address.
        address: SocketAddr,
        /// Where the computed prompt lies.
        handle: Option<KvHandle>,
        /// The first token that the caller lacks.
        from: u32,
    },
    /// The request waits: begin the answer to the caller so that its going is noticed.
    Open,
    /// Pass this on to the caller.
    Emit(String),
    /// Tell all daemons of a lost upstream.
    Report(CrashReport),
    /// A message was dropped because it belongs to another request, attempt or place.
    Dropped,
    /// The answer is whole.
    Finish,
    /// The request has ended without a whole answer.
    Refuse(Refusal),
}

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
    kept: Option<KeptPrompt>,
    progress_due: Instant,
    running: bool,
    step_began: Instant,
}

#[derive(Debug)]
enum FlowStage {
    Asking { first: Instant, next: Instant, heard: bool },
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
    refusal: Option<Refusal>,
    spec: RequestSpec,
    spills: usize,
    stage: FlowStage,
    starts: u32,
    suspect: bool,
    touched: bool,
    /// Whether the run waits for the transfer of its prompt.
    transfers: bool,
}

impl RequestFlow {
    /// Returns the flow of a request that is about to start.
    pub fn new(now: Instant, spec: RequestSpec) -> Self {
        let crashes = spec.crashes;
        Self {
            attempt: 0,
            avoid: Vec::new(),
            crashes,
            domain: 0,
            kept: None,
            next_token: 0,
            opened: false,
            refusal: None,
            spec,
            spills: 0,
            stage: FlowStage::Asking { first: now, next: now, heard: false },
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
            FlowEvent::Owner(domain, message) => self.hear_owner(now, domain, message, &mut out),
            FlowEvent::PrefillDone(attempt, handle) => {
                self.prefill_done(now, &attempt, handle, &mut out);
            }
            FlowEvent::PrefillFailed(attempt, loss) => {
                self.lose(now, &attempt, loss, ReleaseOutcome::PrefillLost, &mut out);
            }
            FlowEvent::Token { attempt, marked, index, text } => {
                self.take_token(now, &attempt, &marked, index, text, &mut out);
            }
            FlowEvent::RunEnded(attempt, total) => self.run_ended(now, &attempt, total, &mut out),
            FlowEvent::CallAnswered(attempt) => {
                if self.is_current(&attempt) {
                    self.finish(&mut out);
                }
            }
            FlowEvent::RunFailed(attempt, loss) => {
                self.lose(now, &attempt, loss, ReleaseOutcome::RunnerLost, &mut out);
            }
            FlowEvent::CallerGone => self.caller_gone(&mut out),
            FlowEvent::OwnerChanged => self.ask_again(now, &mut out),
            FlowEvent::Tick => self.tick(now, &mut out),
        }
        out
    }

    /// Returns when the flow wants its next [`FlowEvent::Tick`].
    pub fn next_wake(&self) -> Option<Instant> {
        let step = match &self.stage {
            FlowStage::Asking { next, .. } => *next,
            FlowStage::Active(active) => active.progress_due,
            FlowStage::Ended => return None,
        };
        Some(step.min(self.spec.deadline))
    }

    /// Returns whether the request has ended.
    pub fn is_ended(&self) -> bool {
        matches!(self.stage, FlowStage::Ended)
    }

    /// Returns how many tokens the caller has been given.
    pub fn tokens(&self) -> u32 {
        self.next_token
    }

    /// Returns how often upstreams were asked to start.
    pub fn starts(&self) -> u32 {
        self.starts
    }

    /// A grant that comes after the end is given back, so that no slot stays held for nobody.
    fn handle_late(&mut self, event: FlowEvent, out: &mut Vec<FlowAction>) {
        match event {
            FlowEvent::Owner(domain, ShardMessage::Grant(grant)) => {
                self.give_back(domain, grant, out);
            }
            FlowEvent::Token { .. } => out.push(FlowAction::Dropped),
            _ => {}
        }
    }

    fn give_back(&self, domain: DomainName, grant: GrantMessage, out: &mut Vec<FlowAction>) {
        let attempt = grant.claim.attempt;
        let release = ShardMessage::Release(attempt, ReleaseOutcome::Stopped);
        out.push(FlowAction::Tell(domain, release));
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

    fn ask(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        self.attempt += 1;
        self.stage = FlowStage::Asking { first: now, next: now + ASK_RETRY, heard: false };
        self.send_ask(now, out);
    }

    fn send_ask(&self, now: Instant, out: &mut Vec<FlowAction>) {
        // What upstreams have lost is finished, late or not.
        let due = match self.starts {
            0 => self.spec.first_token_due,
            _ => self.spec.deadline,
        };
        let ask = AskMessage {
            account: self.spec.account.clone(),
            answer: Tokens(self.spec.answer.0.saturating_sub(self.next_token)),
            attempt: self.current(),
            avoid: self.avoid.clone(),
            first_token_within: due.saturating_duration_since(now),
            prefilled: self.kept_prompt(now).is_some(),
            prefix: self.spec.prefix.clone(),
            prompt: Tokens(self.spec.prompt.0 + self.next_token),
            resuming: self.starts > 0,
            returning: self.spec.returning,
            suspect: self.suspect,
        };
        out.push(FlowAction::Tell(self.spec.domains[self.domain].clone(), ShardMessage::Ask(ask)));
    }

    fn ask_again(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        let FlowStage::Asking { next, .. } = &mut self.stage else { return };
        *next = now + ASK_RETRY;
        self.send_ask(now, out);
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
            ShardMessage::Refuse(attempt, refusal) if self.is_current(&attempt) => {
                if matches!(self.stage, FlowStage::Asking { .. }) {
                    self.take_refusal(now, refusal, out);
                }
            }
            _ => {}
        }
    }

    fn open(&mut self, out: &mut Vec<FlowAction>) {
        if !self.opened {
            self.opened = true;
            out.push(FlowAction::Open);
        }
    }

    fn take_grant(
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
        let step_began = now;
        let active = ActiveAttempt { domain, grant, kept, progress_due, running, step_began };
        self.stage = FlowStage::Active(Box::new(active));
    }

    /// Returns the computed prompt of an earlier attempt while it can still be moved in time.
    fn kept_prompt(&self, now: Instant) -> Option<KeptPrompt> {
        self.kept.clone().filter(|kept| now + self.spec.link_time < kept.until)
    }

    fn start_run(&self, grant: &GrantMessage, handle: Option<KvHandle>) -> FlowAction {
        FlowAction::StartRun {
            address: grant.runner_address,
            attempt: grant.claim.attempt.clone(),
            from: self.next_token,
            handle,
        }
    }

    /// Returns when the next step must have come, or the attempt counts as stalled. A plain call
    /// has until its deadline.
    fn progress_due(&self, now: Instant, running: bool) -> Instant {
        let between = self.spec.between_token_target * STALLED_TOKENS;
        if between.is_zero() {
            return self.spec.deadline;
        }
        let expected = match (running, self.transfers) {
            (false, _) => self.spec.prefill_time * 4 + between,
            (true, true) => (self.spec.link_time * 3).max(self.spec.eviction.mul_f64(STALL_PART)),
            (true, false) => between,
        };
        now + expected.max(MIN_STALL)
    }

    fn take_refusal(&mut self, now: Instant, refusal: Refusal, out: &mut Vec<FlowAction>) {
        let elsewhere = matches!(
            refusal.reason,
            RefusalReason::NoUpstream | RefusalReason::Overloaded | RefusalReason::TooLarge
        );
        let first = *self.refusal.get_or_insert(refusal);
        let more = self.domain + 1 < self.spec.domains.len() && self.spills < MAX_SPILLS;
        if elsewhere && more && now < self.spec.deadline {
            self.spills += 1;
            self.domain += 1;
            return self.ask(now, out);
        }
        self.refuse(first, out);
    }

    fn prefill_done(
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
        active.step_began = now;
        let domain = active.domain.clone();
        let grant = active.grant.clone();
        out.push(FlowAction::Advance(domain, attempt.clone(), ClaimPhase::Transfer));
        out.push(self.start_run(&grant, Some(handle)));
    }

    fn take_token(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        marked: &str,
        index: u32,
        text: String,
        out: &mut Vec<FlowAction>,
    ) {
        let ours = self.is_current(attempt) && marked == attempt.to_string();
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
            let broken = UpstreamLoss::Broken;
            return self.lose(now, attempt, broken, ReleaseOutcome::RunnerLost, out);
        }
        active.progress_due = due;
        active.kept = None;
        if active.grant.claim.phase != ClaimPhase::Run {
            active.grant.claim.phase = ClaimPhase::Run;
            let domain = active.domain.clone();
            out.push(FlowAction::Advance(domain, attempt.clone(), ClaimPhase::Run));
        }
        self.next_token += 1;
        out.push(FlowAction::Emit(text));
    }

    fn run_ended(
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
            let broken = UpstreamLoss::Broken;
            return self.lose(now, attempt, broken, ReleaseOutcome::RunnerLost, out);
        }
        self.finish(out);
    }

    fn finish(&mut self, out: &mut Vec<FlowAction>) {
        if let FlowStage::Active(active) = std::mem::replace(&mut self.stage, FlowStage::Ended) {
            let attempt = active.grant.claim.attempt;
            out.push(FlowAction::Release(active.domain, attempt, ReleaseOutcome::Finished));
        }
        out.push(FlowAction::Finish);
    }

    fn refuse(&mut self, refusal: Refusal, out: &mut Vec<FlowAction>) {
        self.stage = FlowStage::Ended;
        let known = if self.touched { Verdict::MayHaveRun } else { Verdict::NotRun };
        out.push(FlowAction::Refuse(refusal.with_verdict(refusal.verdict.or_worse(known))));
    }

    /// Gives up the current attempt because an upstream failed it, and tries again where that
    /// does no harm.
    fn lose(
        &mut self,
        now: Instant,
        attempt: &AttemptId,
        loss: UpstreamLoss,
        outcome: ReleaseOutcome,
        out: &mut Vec<FlowAction>,
    ) {
        let ours = self.is_current(attempt);
        let (FlowStage::Active(active), true) = (&self.stage, ours) else { return };
        let claim = active.grant.claim.clone();
        // A worker that broke off may have fetched the prompt, and then nobody keeps it.
        let unfetched = !matches!(loss, UpstreamLoss::Broken | UpstreamLoss::Died);
        let transferring = outcome == ReleaseOutcome::RunnerLost && unfetched;
        self.kept = active.kept.clone().filter(|_| transferring);
        let keeps_prompt = self.kept_prompt(now).is_some();
        let short = now < active.step_began + SHORT_RUN;
        let lost = match (outcome, &claim.prefill) {
            (ReleaseOutcome::PrefillLost, Some(prefill)) => prefill.clone(),
            _ => claim.runner.clone(),
        };
        let outcome = if loss == UpstreamLoss::Full { ReleaseOutcome::RunnerFull } else { outcome };
        self.abort(outcome, keeps_prompt, out);
        self.touched |= !matches!(loss, UpstreamLoss::NothingSent | UpstreamLoss::Full);
        if loss == UpstreamLoss::Died {
            let weight = if claim.suspect { SUSPECT_LOSS } else { SHARED_LOSS };
            self.crashes += weight;
            self.suspect |= short || self.crashes >= SUSPECT_WEIGHT;
            let report = CrashReport {
                attempt: attempt.clone(),
                fingerprint: self.spec.fingerprint,
                upstream: lost.clone(),
                weight,
            };
            out.push(FlowAction::Report(report));
        }
        self.avoid.push(lost);
        self.try_again(now, out);
    }

    fn try_again(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        if self.touched && !self.spec.repeatable {
            return self.refuse(Refusal::not_run(RefusalReason::UpstreamFailed), out);
        }
        if self.crashes >= CRASH_LIMIT {
            return self.refuse(Refusal::not_run(RefusalReason::CrashesUpstream), out);
        }
        if self.starts >= MAX_ATTEMPTS {
            let refusal = Refusal::not_run(RefusalReason::UpstreamFailed);
            return self.refuse(refusal.after(OWNER_WAIT), out);
        }
        self.ask(now, out);
    }

    /// Stops the current attempt at every upstream where it may still run.
    fn abort(&mut self, outcome: ReleaseOutcome, keeps_prompt: bool, out: &mut Vec<FlowAction>) {
        let stage = std::mem::replace(&mut self.stage, FlowStage::Ended);
        let FlowStage::Active(active) = stage else { return };
        let grant = active.grant;
        let prefill = grant.prefill_address;
        out.push(FlowAction::Abort {
            attempt: grant.claim.attempt,
            domain: active.domain,
            keeps_prompt,
            outcome,
            upstreams: prefill.into_iter().chain([grant.runner_address]).collect(),
        });
    }

    fn caller_gone(&mut self, out: &mut Vec<FlowAction>) {
        if !self.spec.repeatable && matches!(self.stage, FlowStage::Active(_)) {
            // The answer is still owed to whoever repeats the request with its ticket.
            return;
        }
        self.touched |= matches!(self.stage, FlowStage::Active(_));
        self.withdraw(out);
        self.abort(ReleaseOutcome::Stopped, false, out);
        self.stage = FlowStage::Ended;
    }

    fn withdraw(&self, out: &mut Vec<FlowAction>) {
        if matches!(self.stage, FlowStage::Asking { .. }) && self.attempt > 0 {
            let domain = self.spec.domains[self.domain].clone();
            out.push(FlowAction::Tell(domain, ShardMessage::Withdraw(self.current())));
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<FlowAction>) {
        if now >= self.spec.deadline {
            self.touched |= matches!(self.stage, FlowStage::Active(_));
            self.withdraw(out);
            self.abort(ReleaseOutcome::Stopped, false, out);
            return self.refuse(Refusal::not_run(RefusalReason::DeadlinePassed), out);
        }
        match &mut self.stage {
            FlowStage::Asking { next, .. } if *next > now => {}
            FlowStage::Asking { first, heard: false, .. } if now >= *first + OWNER_LIMIT => {
                self.withdraw(out);
                let refusal = Refusal::not_run(RefusalReason::NoOwner).after(OWNER_WAIT);
                self.refuse(refusal, out);
            }
            FlowStage::Asking { next, heard, .. } => {
                *next = now + if *heard { QUEUED_RETRY } else { ASK_RETRY };
                self.send_ask(now, out);
            }
            FlowStage::Active(active) if active.progress_due <= now => {
                let attempt = active.grant.claim.attempt.clone();
                let outcome = match active.running {
                    true => ReleaseOutcome::RunnerLost,
                    false => ReleaseOutcome::PrefillLost,
                };
                self.lose(now, &attempt, UpstreamLoss::Stalled, outcome, out);
            }
            FlowStage::Active(_) | FlowStage::Ended => {}
        }
    }
}
