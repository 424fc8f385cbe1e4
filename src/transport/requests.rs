//! Drives one request: feeds its flow with events and carries out the flow's actions.

use crate::coordination::flow::{
    FlowAction, FlowEvent, KvHandle, RequestFlow, RequestSpec, UpstreamFailure,
};
use crate::coordination::messages::{
    ClaimPhase, PeerMessage, ReleaseOutcome, ShardMessage, SlotClaim,
};
use crate::coordination::tickets::StoredResponse;
use crate::prelude::*;
use crate::transport::claims::release;
use crate::transport::engine::CallContext;
use crate::transport::log_limiter::DecisionKind;
use crate::transport::node::{DaemonNode, lock};
use crate::transport::runs::{AttemptTarget, RunRequest, UpstreamExecutor};
use crate::transport::spans::RequestTrace;
use metrics::{counter, histogram};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::{self, Sender, UnboundedReceiver, UnboundedSender};
use tokio::task::AbortHandle;

/// How many parts of an answer may wait for a slow caller.
const CALLER_QUEUE: usize = 256;
/// How long a caller that does not read is waited for after its deadline.
const FINAL_PATIENCE: Duration = Duration::from_secs(1);
/// The longest sleep between two looks at the clock.
const LONGEST_SLEEP: Duration = Duration::from_secs(60);

/// What the caller gets, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponsePart {
    /// The answer of a plain upstream.
    Answer(StoredResponse),
    /// The answer is whole.
    Finished,
    /// The request runs or waits; parts may follow.
    Opened,
    /// The request ended without a whole answer.
    Refused(Refusal),
    /// A part of the answer.
    Text(String),
}

/// The latency targets of a request, and what became of them.
#[derive(Debug)]
struct LatencyRecord {
    accepted: Instant,
    between_target: Duration,
    first: Option<Instant>,
    first_target: Duration,
    last: Option<Instant>,
}

impl LatencyRecord {
    fn token(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    fn meets_targets(&self, tokens: u32) -> bool {
        let (Some(first), Some(last)) = (self.first, self.last) else { return false };
        let between = (last - first) / tokens.saturating_sub(1).max(1);
        first - self.accepted <= self.first_target && between <= self.between_target
    }
}

/// Starts a request and returns the parts of its answer. The parts' end being dropped means that
/// the caller is gone.
pub fn start_request(
    node: &Arc<DaemonNode>,
    service: ServiceName,
    label: &str,
    spec: RequestSpec,
    work: Arc<dyn UpstreamExecutor>,
    trace: Box<dyn RequestTrace>,
) -> mpsc::Receiver<ResponsePart> {
    let (parts, receiver) = mpsc::channel(CALLER_QUEUE);
    let (events, inbox) = mpsc::unbounded_channel();
    let now = node.clock.now();
    lock(&node.flows).insert(spec.id.sequence, events.clone());
    let latency = LatencyRecord {
        accepted: now,
        between_target: spec.inter_token_target,
        first: None,
        first_target: spec.first_token_due.saturating_duration_since(now),
        last: None,
    };
    let sequence = spec.id.sequence;
    let prompt = spec.prompt;
    let driver = RequestDriver {
        accepted: now,
        claim: None,
        deadline: spec.deadline,
        events,
        flow: RequestFlow::new(now, spec),
        label: label.to_owned(),
        latency,
        lost_caller: false,
        node: node.clone(),
        parts,
        prefilled: false,
        prompt,
        service,
        task: None,
        trace,
        work,
    };
    let node = node.clone();
    tokio::spawn(async move {
        driver.run(inbox).await;
        lock(&node.flows).remove(&sequence);
    });
    receiver
}

struct RequestDriver {
    accepted: Instant,
    /// What the current attempt holds.
    claim: Option<SlotClaim>,
    deadline: Instant,
    events: UnboundedSender<FlowEvent>,
    flow: RequestFlow,
    /// The caller's name of the request, for the log.
    label: String,
    latency: LatencyRecord,
    /// Whether the caller did not take a part of its answer.
    lost_caller: bool,
    node: Arc<DaemonNode>,
    parts: Sender<ResponsePart>,
    prefilled: bool,
    prompt: Tokens,
    service: ServiceName,
    task: Option<AbortHandle>,
    trace: Box<dyn RequestTrace>,
    work: Arc<dyn UpstreamExecutor>,
}

impl RequestDriver {
    async fn run(mut self, mut inbox: UnboundedReceiver<FlowEvent>) {
        let mut told = false;
        let mut event = FlowEvent::Start;
        loop {
            let now = self.node.clock.now();
            let actions = self.flow.handle(now, event);
            for action in actions {
                self.carry_out(action).await;
            }
            if self.flow.is_ended() {
                break;
            }
            if self.lost_caller && !told {
                told = true;
                event = FlowEvent::CallerDisconnected;
                continue;
            }
            let now = self.node.clock.now();
            let wake =
                self.flow.next_wake().map_or(LONGEST_SLEEP, |at| at.saturating_duration_since(now));
            event = tokio::select! {
                biased;
                Some(event) = inbox.recv() => event,
                () = tokio::time::sleep(wake) => FlowEvent::Tick,
                () = self.parts.closed(), if !told => {
                    told = true;
                    self.log_caller_left();
                    FlowEvent::CallerDisconnected
                }
            };
        }
        self.stop_task();
    }

    async fn carry_out(&mut self, action: FlowAction) {
        match action {
            FlowAction::Send(domain, message) => {
                self.begin_span("ask");
                self.node.send_to_owner(&self.service, &domain, message);
            }
            FlowAction::Claim(domain, claim) => self.claim(&domain, claim),
            FlowAction::Advance(domain, attempt, phase) => self.advance(&domain, attempt, phase),
            FlowAction::Progress(domain, attempt, tokens) => {
                let message = ShardMessage::Progress(attempt, tokens);
                self.node.send_to_owner(&self.service, &domain, message);
            }
            FlowAction::Release(domain, attempt, outcome) => {
                release(&self.node, &self.service, &domain, attempt, outcome);
            }
            FlowAction::AttemptFailed { loss, running } => self.log_loss(loss, running),
            FlowAction::Abort { domain, attempt, reuses_prefill, upstreams, outcome } => {
                self.stop_task();
                self.count_waste(reuses_prefill);
                self.abort(domain, attempt, upstreams, outcome);
            }
            FlowAction::StartPrefill(attempt, address) => self.start_prefill(attempt, address),
            FlowAction::StartRun { attempt, address, handle, from } => {
                self.start_run(attempt, address, handle, from);
            }
            FlowAction::OpenResponse => self.pass_on(ResponsePart::Opened).await,
            FlowAction::Emit(text) => {
                if self.latency.first.is_none() {
                    self.log_first_token();
                }
                self.latency.token(self.node.clock.now());
                self.pass_on(ResponsePart::Text(text)).await;
            }
            FlowAction::ReportCrash(report) => {
                let now = self.node.clock.now();
                lock(&self.node.crashes).record(now, report.clone());
                self.node.tell_all(None, &PeerMessage::Crash(report));
            }
            FlowAction::Dropped => {
                counter!("apricotrun_foreign_tokens_dropped_total").increment(1);
            }
            FlowAction::Finish => self.finish().await,
            FlowAction::Refuse(refusal) => self.refuse(refusal).await,
        }
    }

    /// Passes a part on. A caller that neither reads nor leaves is let go at the deadline; after a
    /// part that it did not take it gets nothing more, so that no answer has a gap.
    async fn pass_on(&mut self, part: ResponsePart) {
        if self.lost_caller {
            return;
        }
        let left = self.flow.deadline().saturating_duration_since(self.node.clock.now());
        let sent = tokio::time::timeout(left + FINAL_PATIENCE, self.parts.send(part)).await;
        self.lost_caller = !matches!(sent, Ok(Ok(())));
    }

    fn age(&self) -> u64 {
        (self.node.clock.now() - self.accepted).as_millis() as u64
    }

    fn log_grant(&self, domain: &DomainName, claim: &SlotClaim) {
        if self.node.log_limiter.permits(DecisionKind::Granted) {
            log::info!(
                request = self.label.as_str(), attempt = claim.attempt.attempt, domain:% = domain,
                runner:% = claim.runner, prefill = prefill_of(Some(claim)),
                pieces = claim.pieces.0, age_ms = self.age();
                "entry: granted"
            );
        }
    }

    fn log_first_token(&self) {
        if self.node.log_limiter.permits(DecisionKind::FirstToken) {
            log::info!(request = self.label.as_str(), age_ms = self.age(); "entry: first token");
        }
    }

    fn log_loss(&self, loss: UpstreamFailure, running: bool) {
        if self.node.log_limiter.permits(DecisionKind::Lost) {
            let claim = self.claim.as_ref();
            log::info!(
                request = self.label.as_str(), step = if running { "run" } else { "prefill" },
                loss:? = loss, tokens = self.flow.tokens(),
                runner = claim.map_or("", |claim| claim.runner.as_str()),
                prefill = prefill_of(claim),
                age_ms = self.age();
                "entry: an upstream failed"
            );
        }
    }

    fn log_caller_left(&self) {
        if self.node.log_limiter.permits(DecisionKind::CallerLeft) {
            log::info!(
                request = self.label.as_str(), tokens = self.flow.tokens(), age_ms = self.age();
                "entry: the caller left"
            );
        }
    }

    fn begin_span(&mut self, name: &'static str) {
        self.trace.begin_span(name);
    }

    fn context(&self, attempt: &AttemptId) -> CallContext {
        CallContext { attempt: attempt.clone(), traceparent: self.trace.traceparent() }
    }

    fn site(
        &self,
        attempt: &AttemptId,
        address: SocketAddr,
        upstream: UpstreamName,
    ) -> AttemptTarget {
        let context = self.context(attempt);
        AttemptTarget { address, context, deadline: self.deadline, upstream }
    }

    fn claim(&mut self, domain: &DomainName, claim: SlotClaim) {
        self.log_grant(domain, &claim);
        self.claim = Some(claim.clone());
        let message = lock(&self.node.claims).book(&self.service, domain).insert(claim);
        self.node.tell_claim_holders(&self.service, domain, &message);
    }

    fn advance(&mut self, domain: &DomainName, attempt: AttemptId, phase: ClaimPhase) {
        let message = lock(&self.node.claims).book(&self.service, domain).advance(&attempt, phase);
        if let Some(message) = message {
            self.node.tell_claim_holders(&self.service, domain, &message);
        }
    }

    /// Counts a computed prompt that is thrown away before its first token.
    fn count_waste(&mut self, reuses_prefill: bool) {
        if self.prefilled && !reuses_prefill && self.latency.first.is_none() {
            let tokens = u64::from(self.prompt.0);
            counter!("apricotrun_wasted_prefill_tokens_total").increment(tokens);
        }
        self.prefilled &= reuses_prefill;
    }

    fn stop_task(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }

    fn abort(
        &mut self,
        domain: DomainName,
        attempt: AttemptId,
        upstreams: Vec<SocketAddr>,
        outcome: ReleaseOutcome,
    ) {
        if outcome != ReleaseOutcome::Cancelled {
            return release(&self.node, &self.service, &domain, attempt, outcome);
        }
        let (node, service, work) = (self.node.clone(), self.service.clone(), self.work.clone());
        tokio::spawn(async move {
            let confirmed = work.cancel(&upstreams, &attempt).await;
            let outcome = match confirmed {
                true => ReleaseOutcome::Cancelled,
                false => ReleaseOutcome::Unconfirmed,
            };
            release(&node, &service, &domain, attempt, outcome);
        });
    }

    fn start_prefill(&mut self, attempt: AttemptId, address: SocketAddr) {
        self.begin_span("prefill");
        // A result that was kept for another try and is computed anew was wasted after all.
        self.count_waste(false);
        let prefill = self.claim.as_ref().and_then(|claim| claim.prefill.clone());
        let Some(site) = prefill.map(|name| self.site(&attempt, address, name)) else { return };
        let (events, work) = (self.events.clone(), self.work.clone());
        counter!("apricotrun_prefill_tokens_total").increment(u64::from(self.prompt.0));
        let task = tokio::spawn(async move {
            let event = match work.prefill(&site).await {
                Ok(handle) => FlowEvent::PrefillDone(attempt, handle),
                Err(loss) => FlowEvent::PrefillFailed(attempt, loss),
            };
            send_event(&events, event);
        });
        self.task = Some(task.abort_handle());
    }

    fn start_run(
        &mut self,
        attempt: AttemptId,
        address: SocketAddr,
        handle: Option<KvHandle>,
        from: u32,
    ) {
        self.begin_span("run");
        self.prefilled = handle.is_some();
        let Some(runner) = self.claim.as_ref().map(|claim| claim.runner.clone()) else { return };
        let order =
            RunRequest { first_token: from, handle, target: self.site(&attempt, address, runner) };
        let (events, work) = (self.events.clone(), self.work.clone());
        let task = tokio::spawn(async move {
            let last = work.run(&order, &events).await;
            send_event(&events, last.unwrap_or_else(|loss| FlowEvent::RunFailed(attempt, loss)));
        });
        self.task = Some(task.abort_handle());
    }

    async fn finish(&mut self) {
        let answer = self.work.take_answer();
        let tokens = self.flow.tokens();
        let service = self.service.to_string();
        counter!("apricotrun_requests_total", "service" => service.clone(), "verdict" => "ran")
            .increment(1);
        if tokens > 0 && self.latency.meets_targets(tokens) {
            counter!("apricotrun_goodput_total", "service" => service).increment(1);
        }
        if let Some(first) = self.latency.first {
            let took = (self.node.clock.now() - self.accepted).as_secs_f64();
            histogram!("apricotrun_whole_answer_seconds").record(took);
            histogram!("apricotrun_first_token_seconds").record(first - self.latency.accepted);
        }
        if let Some(answer) = answer {
            self.pass_on(ResponsePart::Answer(answer)).await;
        }
        self.pass_on(ResponsePart::Finished).await;
    }

    async fn refuse(&mut self, refusal: Refusal) {
        counter!(
            "apricotrun_requests_total",
            "service" => self.service.to_string(),
            "verdict" => refusal.verdict.as_str()
        )
        .increment(1);
        log::debug!("entry: refused a request of {}: {}", self.service, refusal.reason);
        self.pass_on(ResponsePart::Refused(refusal)).await;
    }
}

fn send_event(events: &UnboundedSender<FlowEvent>, event: FlowEvent) {
    if events.send(event).is_err() {
        log::debug!("entry: an upstream's last event came after the end of its request");
    }
}

/// Returns the prefill worker of a claim for the log, empty if there is none.
fn prefill_of(claim: Option<&SlotClaim>) -> &str {
    let prefill = claim.and_then(|claim| claim.prefill.as_ref());
    prefill.map_or("", UpstreamName::as_str)
}
