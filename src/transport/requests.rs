//! Drives one request: feeds its flow with events and carries out the flow's actions.

use crate::coordination::flow::{FlowAction, FlowEvent, KvHandle, RequestFlow, RequestSpec};
use crate::coordination::messages::{ClaimPhase, PeerMessage, ReleaseOutcome, SlotClaim};
use crate::coordination::tickets::StoredAnswer;
use crate::prelude::*;
use crate::transport::claims::release;
use crate::transport::engine::CallContext;
use crate::transport::node::{DaemonNode, lock};
use crate::transport::runs::{UpstreamRun, UpstreamWork};
use fastrace::Span;
use fastrace::collector::SpanContext;
use futures::future::join_all;
use metrics::{counter, histogram};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc::{self, Sender, UnboundedReceiver, UnboundedSender};
use tokio::task::AbortHandle;

/// How many parts of an answer may wait for a slow caller.
const CALLER_QUEUE: usize = 256;
/// How long a caller that does not read is waited for after its deadline.
const FINAL_PATIENCE: Duration = Duration::from_secs(1);
/// How often an entry tries to cancel before it leaves that to the shard's owner.
const CANCEL_TRIES: usize = 2;
/// The longest sleep between two looks at the clock.
const LONGEST_SLEEP: Duration = Duration::from_secs(60);

/// What the caller gets, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerPart {
    /// The answer of a plain upstream.
    Answer(StoredAnswer),
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
    spec: RequestSpec,
    work: UpstreamWork,
    trace: SpanContext,
) -> mpsc::Receiver<CallerPart> {
    let (parts, receiver) = mpsc::channel(CALLER_QUEUE);
    let (events, inbox) = mpsc::unbounded_channel();
    let now = node.clock.now();
    lock(&node.flows).insert(spec.id.sequence, events.clone());
    let latency = LatencyRecord {
        accepted: now,
        between_target: spec.between_token_target,
        first: None,
        first_target: spec.first_token_due.saturating_duration_since(now),
        last: None,
    };
    let sequence = spec.id.sequence;
    let prompt = spec.prompt;
    let driver = RequestDriver {
        answer: Arc::new(Mutex::new(None)),
        events,
        flow: RequestFlow::new(now, spec),
        hop: None,
        latency,
        lost_caller: false,
        node: node.clone(),
        parts,
        prefilled: false,
        prompt,
        service,
        span: Span::root("request", trace),
        task: None,
        work: Arc::new(work),
    };
    let node = node.clone();
    tokio::spawn(async move {
        driver.run(inbox).await;
        lock(&node.flows).remove(&sequence);
    });
    receiver
}

struct RequestDriver {
    answer: Arc<Mutex<Option<StoredAnswer>>>,
    events: UnboundedSender<FlowEvent>,
    flow: RequestFlow,
    hop: Option<Span>,
    latency: LatencyRecord,
    /// Whether the caller did not take a part of its answer.
    lost_caller: bool,
    node: Arc<DaemonNode>,
    parts: Sender<CallerPart>,
    prefilled: bool,
    prompt: Tokens,
    service: ServiceName,
    span: Span,
    task: Option<AbortHandle>,
    work: Arc<UpstreamWork>,
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
                event = FlowEvent::CallerGone;
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
                    FlowEvent::CallerGone
                }
            };
        }
        self.stop_task();
    }

    async fn carry_out(&mut self, action: FlowAction) {
        match action {
            FlowAction::Tell(domain, message) => {
                self.begin_hop("ask");
                self.node.tell_owner(&self.service, &domain, message);
            }
            FlowAction::Claim(domain, claim) => self.claim(&domain, claim),
            FlowAction::Advance(domain, attempt, phase) => self.advance(&domain, attempt, phase),
            FlowAction::Release(domain, attempt, outcome) => {
                release(&self.node, &self.service, &domain, attempt, outcome);
            }
            FlowAction::Abort { domain, attempt, keeps_prompt, upstreams, outcome } => {
                self.stop_task();
                self.count_waste(keeps_prompt);
                self.abort(domain, attempt, upstreams, outcome);
            }
            FlowAction::StartPrefill(attempt, address) => self.start_prefill(attempt, address),
            FlowAction::StartRun { attempt, address, handle, from } => {
                self.start_run(attempt, address, handle, from);
            }
            FlowAction::Open => self.pass_on(CallerPart::Opened).await,
            FlowAction::Emit(text) => {
                self.latency.token(self.node.clock.now());
                self.pass_on(CallerPart::Text(text)).await;
            }
            FlowAction::Report(report) => {
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
    async fn pass_on(&mut self, part: CallerPart) {
        if self.lost_caller {
            return;
        }
        let left = self.flow.deadline().saturating_duration_since(self.node.clock.now());
        let sent = tokio::time::timeout(left + FINAL_PATIENCE, self.parts.send(part)).await;
        self.lost_caller = !matches!(sent, Ok(Ok(())));
    }

    fn begin_hop(&mut self, name: &'static str) {
        self.hop = Some(Span::enter_with_parent(name, &self.span));
    }

    fn context(&self, attempt: &AttemptId) -> CallContext {
        let span = self.hop.as_ref().unwrap_or(&self.span);
        let context = SpanContext::from_span(span);
        CallContext {
            attempt: attempt.clone(),
            traceparent: context.map(|context| context.encode_w3c_traceparent()),
        }
    }

    fn claim(&mut self, domain: &DomainName, claim: SlotClaim) {
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
    fn count_waste(&mut self, keeps_prompt: bool) {
        if self.prefilled && !keeps_prompt && self.latency.first.is_none() {
            let tokens = u64::from(self.prompt.0);
            counter!("apricotrun_wasted_prefill_tokens_total").increment(tokens);
        }
        self.prefilled &= keeps_prompt;
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
        let plain = matches!(*self.work, UpstreamWork::Plain(_));
        if outcome != ReleaseOutcome::Stopped || plain {
            return release(&self.node, &self.service, &domain, attempt, outcome);
        }
        let (node, service) = (self.node.clone(), self.service.clone());
        tokio::spawn(async move {
            let confirmed = cancel_everywhere(&node, &upstreams, &attempt).await;
            let outcome = match confirmed {
                true => ReleaseOutcome::Stopped,
                false => ReleaseOutcome::Unconfirmed,
            };
            release(&node, &service, &domain, attempt, outcome);
        });
    }

    fn start_prefill(&mut self, attempt: AttemptId, address: SocketAddr) {
        self.begin_hop("prefill");
        // A result that was kept for another try and is computed anew was wasted after all.
        self.count_waste(false);
        let context = self.context(&attempt);
        let (node, events, work) = (self.node.clone(), self.events.clone(), self.work.clone());
        counter!("apricotrun_prefill_tokens_total").increment(u64::from(self.prompt.0));
        let task = tokio::spawn(async move {
            let UpstreamWork::Tokens { body, path } = &*work else { return };
            let event = match node.upstreams.prefill(address, path, body, &context).await {
                Ok(handle) => FlowEvent::PrefillDone(attempt, handle),
                Err(loss) => FlowEvent::PrefillFailed(attempt, loss),
            };
            let _ = events.send(event);
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
        self.begin_hop("run");
        self.prefilled = handle.is_some();
        let run = UpstreamRun {
            address,
            answer: self.answer.clone(),
            context: self.context(&attempt),
            events: self.events.clone(),
            from,
            handle,
            node: self.node.clone(),
            work: self.work.clone(),
        };
        self.task = Some(tokio::spawn(run.run()).abort_handle());
    }

    async fn finish(&mut self) {
        let answer = lock(&self.answer).take();
        let tokens = self.flow.tokens();
        let service = self.service.to_string();
        counter!("apricotrun_requests_total", "service" => service.clone(), "verdict" => "ran")
            .increment(1);
        if tokens > 0 && self.latency.meets_targets(tokens) {
            counter!("apricotrun_goodput_total", "service" => service).increment(1);
        }
        if let Some(first) = self.latency.first {
            histogram!("apricotrun_first_token_seconds").record(first - self.latency.accepted);
        }
        if let Some(answer) = answer {
            self.pass_on(CallerPart::Answer(answer)).await;
        }
        self.pass_on(CallerPart::Finished).await;
    }

    async fn refuse(&mut self, refusal: Refusal) {
        counter!(
            "apricotrun_requests_total",
            "service" => self.service.to_string(),
            "verdict" => refusal.verdict.as_str()
        )
        .increment(1);
        log::debug!("entry: refused a request of {}: {}", self.service, refusal.reason);
        self.pass_on(CallerPart::Refused(refusal)).await;
    }
}

async fn cancel_everywhere(
    node: &DaemonNode,
    upstreams: &[SocketAddr],
    attempt: &AttemptId,
) -> bool {
    let cancels = upstreams.iter().map(|address| async move {
        for _ in 0..CANCEL_TRIES {
            if node.upstreams.cancel(*address, attempt).await {
                return true;
            }
        }
        false
    });
    join_all(cancels).await.into_iter().all(|confirmed| confirmed)
}
