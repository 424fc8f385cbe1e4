//! Runs one request: passes events to its [`RequestFlow`] and executes the actions that it returns.

use crate::coordination::flow::{
    DisconnectPolicy, FlowAction, FlowEvent, KvHandle, RequestFlow, RequestSpec, UpstreamFailure,
};
use crate::coordination::messages::{
    ClaimPhase, CrashReport, ReleaseOutcome, ShardMessage, SlotClaim, StreamOrigin,
};
use crate::coordination::response_times::ResponseSample;
use crate::coordination::tickets::StoredResponse;
use crate::prelude::*;
use crate::transport::claims::release_claim;
use crate::transport::crashes::join_parts;
use crate::transport::engine::CallContext;
use crate::transport::log_limiter::DecisionKind;
use crate::transport::node::{DaemonNode, lock, wait_for_plan};
use crate::transport::runs::{AttemptTarget, RunRequest, SendGate, UpstreamExecutor};
use crate::transport::spans::RequestTrace;
use metrics::{counter, histogram};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::{self, Receiver, Sender, UnboundedReceiver};
use tokio::task::AbortHandle;

/// The number of parts of a response that are buffered for a caller that reads slowly.
const RESPONSE_QUEUE: usize = 256;
/// The number of events of an attempt that are buffered until its request handles them.
const ATTEMPT_QUEUE: usize = 1024;
/// How long after the deadline a part may still wait for a caller that does not read.
const SEND_GRACE: Duration = Duration::from_secs(1);
/// How long the event loop sleeps while the flow has no timer set.
const IDLE_SLEEP: Duration = Duration::from_secs(60);

/// A part of a response; the caller receives the parts in order.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponsePart {
    /// The complete response of a plain upstream.
    Response(StoredResponse),
    /// The end of a complete response.
    Finished,
    /// The request is queued or running; parts may follow.
    Opened,
    /// The request ended without a complete response.
    Refused(Refusal),
    /// Text of a streamed response.
    Text(String),
}

/// The latency targets of a request and the times that are compared with them.
#[derive(Debug)]
struct LatencyRecord {
    accepted: Instant,
    inter_token_target: Duration,
    first_token: Option<Instant>,
    first_token_target: Duration,
    last_token: Option<Instant>,
}

impl LatencyRecord {
    fn record_token(&mut self, now: Instant) {
        self.first_token.get_or_insert(now);
        self.last_token = Some(now);
    }

    fn meets_targets(&self, tokens: u32) -> bool {
        let (Some(first), Some(last)) = (self.first_token, self.last_token) else { return false };
        let inter_token = (last - first) / tokens.saturating_sub(1).max(1);
        first - self.accepted <= self.first_token_target && inter_token <= self.inter_token_target
    }
}

/// Starts a request and returns the receiver of its response. Dropping the receiver means that the
/// caller has disconnected, and cancels the request.
pub fn start_request(
    node: &Arc<DaemonNode>,
    service: ServiceName,
    request_id: &str,
    spec: RequestSpec,
    executor: Arc<dyn UpstreamExecutor>,
    trace: Box<dyn RequestTrace>,
) -> mpsc::Receiver<ResponsePart> {
    let (parts, receiver) = mpsc::channel(RESPONSE_QUEUE);
    let (attempt_sender, attempt_events) = mpsc::channel(ATTEMPT_QUEUE);
    let (messages, inbox) = mpsc::unbounded_channel();
    let now = node.clock.now();
    lock(&node.flows).insert(spec.id.sequence, messages);
    let latency = LatencyRecord {
        accepted: now,
        inter_token_target: spec.inter_token_target,
        first_token: None,
        first_token_target: spec.first_token_due.saturating_duration_since(now),
        last_token: None,
    };
    let sequence = spec.id.sequence;
    let prompt = spec.prompt;
    let (max_output, tokens_per_event) = (spec.max_output, spec.tokens_per_index);
    let driver = RequestDriver {
        accepted: now,
        caller_behind: false,
        claim: None,
        deadline: spec.deadline,
        fingerprint: spec.fingerprint,
        origin_lifetime: spec.origin_lifetime,
        attempt_sender,
        flow: RequestFlow::new(now, spec),
        gate: Arc::default(),
        request_id: request_id.to_owned(),
        latency,
        delivery_failed: false,
        max_output,
        node: node.clone(),
        parts,
        prefilled: false,
        prompt,
        service,
        software: SoftwareVersion::default(),
        sole_writer: None,
        task: None,
        tokens_per_event,
        trace,
        executor,
    };
    let node = node.clone();
    tokio::spawn(async move {
        driver.run(inbox, attempt_events).await;
        lock(&node.flows).remove(&sequence);
    });
    receiver
}

/// The event loop of one request.
struct RequestDriver {
    accepted: Instant,
    /// Whether the caller has ever kept the upstream waiting.
    caller_behind: bool,
    /// The slot claim of the latest attempt; `None` before the first grant.
    claim: Option<SlotClaim>,
    /// The sender of events for the tasks that call upstreams. It has a limit, as upstreams decide how
    /// many events there are.
    attempt_sender: Sender<FlowEvent>,
    deadline: Instant,
    fingerprint: Fingerprint,
    flow: RequestFlow,
    /// Says whether the current attempt may be sent.
    gate: Arc<SendGate>,
    /// The caller's id of the request, for the log.
    request_id: String,
    latency: LatencyRecord,
    /// Whether a part could not be delivered, because the caller disconnected or stopped reading.
    delivery_failed: bool,
    max_output: Tokens,
    node: Arc<DaemonNode>,
    origin_lifetime: Option<Duration>,
    parts: Sender<ResponsePart>,
    prefilled: bool,
    prompt: Tokens,
    service: ServiceName,
    /// The software version of the upstream that runs the latest attempt.
    software: SoftwareVersion,
    /// The upstream that has written all of the output; `None` if another one began it.
    sole_writer: Option<UpstreamName>,
    task: Option<AbortHandle>,
    tokens_per_event: u32,
    trace: Box<dyn RequestTrace>,
    executor: Arc<dyn UpstreamExecutor>,
}

impl RequestDriver {
    async fn run(
        mut self,
        mut inbox: UnboundedReceiver<FlowEvent>,
        mut attempt_events: Receiver<FlowEvent>,
    ) {
        let mut disconnect_reported = false;
        let mut stop = self.node.stop.subscribe();
        let mut plan = *stop.borrow_and_update();
        let mut event = plan.map_or(FlowEvent::Start, FlowEvent::HostStops);
        let mut next = plan.map(|_| FlowEvent::Start);
        loop {
            let now = self.node.clock.now();
            self.caller_behind |= matches!(event, FlowEvent::CallerBehind(_));
            let actions = self.flow.handle(now, event);
            for action in actions {
                self.execute(action).await;
            }
            if self.flow.is_ended() {
                break;
            }
            if self.delivery_failed && !disconnect_reported {
                disconnect_reported = true;
                event = self.end_sending();
                continue;
            }
            if let Some(start) = next.take() {
                event = start;
                continue;
            }
            let now = self.node.clock.now();
            let wake =
                self.flow.next_wake().map_or(IDLE_SLEEP, |at| at.saturating_duration_since(now));
            event = tokio::select! {
                biased;
                Some(event) = inbox.recv() => event,
                Some(event) = attempt_events.recv() => match event {
                    // An upstream that never pauses would keep the request from its tick.
                    FlowEvent::Token { .. } if self.is_overdue() => FlowEvent::Tick,
                    event => event,
                },
                () = tokio::time::sleep(wake) => FlowEvent::Tick,
                given = wait_for_plan(&mut stop), if plan.is_none() => {
                    plan = Some(given);
                    FlowEvent::HostStops(given)
                }
                () = self.parts.closed(), if !disconnect_reported => {
                    disconnect_reported = true;
                    self.log_disconnect();
                    self.end_sending()
                }
            };
        }
        self.stop_task();
    }

    async fn execute(&mut self, action: FlowAction) {
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
                release_claim(&self.node, &self.service, &domain, attempt, outcome);
            }
            FlowAction::AttemptFailed { failure, running } => self.log_failure(failure, running),
            FlowAction::UpstreamSilent { may_move } => self.log_silence(may_move),
            FlowAction::Abort { domain, attempt, reuses_prefill, upstreams, outcome } => {
                self.stop_task();
                self.count_wasted_prefill(reuses_prefill);
                self.abort(domain, attempt, upstreams, outcome);
            }
            FlowAction::StartPrefill(attempt, address) => {
                self.gate = Arc::default();
                self.start_prefill(attempt, address);
            }
            FlowAction::StartRun { attempt, address, handle, from, software } => {
                self.gate = Arc::default();
                self.software = software;
                if from == 0 {
                    self.record_origin();
                } else {
                    self.log_continuation(from);
                }
                self.start_run(attempt, address, handle, from);
            }
            FlowAction::OpenResponse => self.send_part(ResponsePart::Opened).await,
            FlowAction::Emit(text) => {
                if self.latency.first_token.is_none() {
                    self.log_first_token();
                }
                self.latency.record_token(self.node.clock.now());
                self.send_part(ResponsePart::Text(text)).await;
            }
            FlowAction::ReportCrash(report) => {
                self.log_crash(&report);
                self.node.report_crash(report);
            }
            FlowAction::ReportOutput { began, parts } => {
                self.node.record_output(began, &self.fingerprint, &parts);
            }
            FlowAction::Dropped => {
                counter!("apricotrun_foreign_tokens_dropped_total").increment(1);
            }
            FlowAction::Finish => self.finish().await,
            FlowAction::Refuse(refusal) => self.refuse(refusal).await,
        }
    }

    /// Reports that the caller has disconnected. From now on the current attempt is not sent, if it has not
    /// been and nobody can ask for its response.
    fn end_sending(&self) -> FlowEvent {
        let may_go_on = self.flow.after_disconnect() == DisconnectPolicy::GoOn;
        FlowEvent::CallerDisconnected { is_sent: may_go_on || !self.gate.close() }
    }

    /// Sends a part to the caller. A caller that neither reads nor disconnects is abandoned shortly
    /// after the deadline. Nothing is sent after an undelivered part, so that no response has a
    /// gap.
    async fn send_part(&mut self, part: ResponsePart) {
        if self.delivery_failed {
            return;
        }
        let left = self.flow.deadline().saturating_duration_since(self.node.clock.now());
        let sent = tokio::time::timeout(left + SEND_GRACE, self.parts.send(part)).await;
        self.delivery_failed = !matches!(sent, Ok(Ok(())));
    }

    fn is_overdue(&self) -> bool {
        self.node.clock.now() >= self.flow.deadline()
    }

    fn age_ms(&self) -> u64 {
        (self.node.clock.now() - self.accepted).as_millis() as u64
    }

    fn log_grant(&self, domain: &DomainName, claim: &SlotClaim) {
        if self.node.log_limiter.permits(DecisionKind::Granted) {
            log::info!(
                request = self.request_id.as_str(), attempt = claim.attempt.attempt,
                domain:% = domain, runner:% = claim.runner, prefill = prefill_name(Some(claim)),
                pieces = claim.kv_blocks.0, age_ms = self.age_ms();
                "entry: granted"
            );
        }
    }

    fn log_first_token(&self) {
        if self.node.log_limiter.permits(DecisionKind::FirstToken) {
            log::info!(
                request = self.request_id.as_str(), software:% = self.software,
                age_ms = self.age_ms();
                "entry: first token"
            );
        }
    }

    /// Tells other daemons which software version begins the stream, ahead of its first event.
    fn record_origin(&self) {
        if let Some(lifetime) = self.origin_lifetime {
            let origin = StreamOrigin {
                domain: self.node.settings.domain.clone(),
                entry: self.node.me.clone(),
                service: self.service.clone(),
                software: self.software.clone(),
            };
            self.node.record_origin(&self.request_id, origin, lifetime);
        }
    }

    fn log_continuation(&self, from: u32) {
        if self.node.log_limiter.permits(DecisionKind::Granted) {
            log::info!(
                request = self.request_id.as_str(), after = from, software:% = self.software,
                runner = self.claim.as_ref().map_or("", |claim| claim.runner.as_str());
                "entry: a stream goes on"
            );
        }
    }

    fn log_failure(&self, failure: UpstreamFailure, running: bool) {
        if self.node.log_limiter.permits(DecisionKind::Lost) {
            let claim = self.claim.as_ref();
            log::info!(
                request = self.request_id.as_str(),
                step = if running { "run" } else { "prefill" }, loss:? = failure,
                tokens = self.flow.tokens(),
                runner = claim.map_or("", |claim| claim.runner.as_str()),
                prefill = prefill_name(claim),
                age_ms = self.age_ms();
                "entry: an upstream failed"
            );
        }
    }

    fn log_silence(&self, may_move: bool) {
        counter!("apricotrun_silent_runs_total").increment(1);
        if self.node.log_limiter.permits(DecisionKind::Lost) {
            log::info!(
                request = self.request_id.as_str(), may_move, tokens = self.flow.tokens(),
                runner = self.claim.as_ref().map_or("", |claim| claim.runner.as_str()),
                age_ms = self.age_ms();
                "entry: an upstream is silent in a stream"
            );
        }
    }

    fn log_crash(&self, report: &CrashReport) {
        if self.node.log_limiter.permits(DecisionKind::Lost) {
            log::info!(
                request = self.request_id.as_str(), attempt = report.attempt.attempt,
                upstream:% = report.upstream, weight = report.weight,
                fingerprint:% = report.fingerprint, parts = join_parts(&report.parts).as_str(),
                tokens = self.flow.tokens();
                "entry: an upstream ended under the request"
            );
        }
    }

    fn log_disconnect(&self) {
        if self.node.log_limiter.permits(DecisionKind::CallerLeft) {
            log::info!(
                request = self.request_id.as_str(), tokens = self.flow.tokens(),
                age_ms = self.age_ms();
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

    fn target(
        &self,
        attempt: &AttemptId,
        address: SocketAddr,
        upstream: UpstreamName,
    ) -> AttemptTarget {
        let context = self.context(attempt);
        let gate = self.gate.clone();
        AttemptTarget { address, context, deadline: self.deadline, gate, upstream }
    }

    fn claim(&mut self, domain: &DomainName, claim: SlotClaim) {
        self.log_grant(domain, &claim);
        self.claim = Some(claim.clone());
        let message = lock(&self.node.claims).shard_claims(&self.service, domain).insert(claim);
        self.node.send_to_replicas(&self.service, domain, &message);
    }

    fn advance(&mut self, domain: &DomainName, attempt: AttemptId, phase: ClaimPhase) {
        let message =
            lock(&self.node.claims).shard_claims(&self.service, domain).advance(&attempt, phase);
        if let Some(message) = message {
            self.node.send_to_replicas(&self.service, domain, &message);
        }
    }

    /// Counts the tokens of a computed prompt that is discarded before the first output token.
    fn count_wasted_prefill(&mut self, reuses_prefill: bool) {
        if self.prefilled && !reuses_prefill && self.latency.first_token.is_none() {
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
            return release_claim(&self.node, &self.service, &domain, attempt, outcome);
        }
        let (node, service, executor) =
            (self.node.clone(), self.service.clone(), self.executor.clone());
        tokio::spawn(async move {
            let confirmed = executor.cancel(&upstreams, &attempt).await;
            let outcome = match confirmed {
                true => ReleaseOutcome::Cancelled,
                false => ReleaseOutcome::Unconfirmed,
            };
            release_claim(&node, &service, &domain, attempt, outcome);
        });
    }

    fn start_prefill(&mut self, attempt: AttemptId, address: SocketAddr) {
        self.begin_span("prefill");
        // A prefill result that was kept for a retry is wasted when the prompt is computed again.
        self.count_wasted_prefill(false);
        let prefill = self.claim.as_ref().and_then(|claim| claim.prefill.clone());
        let Some(target) = prefill.map(|name| self.target(&attempt, address, name)) else { return };
        let (events, executor) = (self.attempt_sender.clone(), self.executor.clone());
        counter!("apricotrun_prefill_tokens_total").increment(u64::from(self.prompt.0));
        let task = tokio::spawn(async move {
            let event = match executor.prefill(&target).await {
                Ok(handle) => FlowEvent::PrefillDone(attempt, handle),
                Err(failure) => FlowEvent::PrefillFailed(attempt, failure),
            };
            send_event(&events, event).await;
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
        self.sole_writer = (self.flow.tokens() == 0).then(|| runner.clone());
        let run = RunRequest {
            first_token: from,
            handle,
            software: self.software.clone(),
            target: self.target(&attempt, address, runner),
        };
        let (events, executor) = (self.attempt_sender.clone(), self.executor.clone());
        let task = tokio::spawn(async move {
            let last = executor.run(&run, &events).await;
            let last = last.unwrap_or_else(|failure| FlowEvent::RunFailed(attempt, failure));
            send_event(&events, last).await;
        });
        self.task = Some(task.abort_handle());
    }

    /// Records the times of a response, unless its caller has delayed it.
    fn record_times(&self) {
        if self.caller_behind {
            return;
        }
        let now = self.node.clock.now();
        let first = self.latency.first_token.unwrap_or(now);
        let last = self.latency.last_token.unwrap_or(first);
        let events = self.flow.tokens();
        let written = Tokens(events.saturating_mul(self.tokens_per_event));
        let allowed = if self.max_output == Tokens(0) { written } else { self.max_output };
        let sample = ResponseSample {
            events,
            start: first - self.accepted,
            tokens: written.min(allowed),
            upstream: self.sole_writer.clone(),
            writing: last - first,
        };
        lock(&self.node.response_times).record(now, &self.service, &sample);
    }

    async fn finish(&mut self) {
        self.node.record_sound_request(&self.fingerprint);
        self.record_times();
        let response = self.executor.take_response();
        let tokens = self.flow.tokens();
        let service = self.service.to_string();
        counter!("apricotrun_requests_total", "service" => service.clone(), "verdict" => "ran")
            .increment(1);
        if tokens > 0 && self.latency.meets_targets(tokens) {
            counter!("apricotrun_goodput_total", "service" => service).increment(1);
        }
        if let Some(first) = self.latency.first_token {
            let took = (self.node.clock.now() - self.accepted).as_secs_f64();
            histogram!("apricotrun_whole_answer_seconds").record(took);
            histogram!("apricotrun_first_token_seconds").record(first - self.latency.accepted);
        }
        if let Some(response) = response {
            self.send_part(ResponsePart::Response(response)).await;
        }
        self.send_part(ResponsePart::Finished).await;
    }

    async fn refuse(&mut self, refusal: Refusal) {
        counter!(
            "apricotrun_requests_total",
            "service" => self.service.to_string(),
            "verdict" => refusal.verdict.as_str()
        )
        .increment(1);
        log::debug!("entry: refused a request to service {}: {}", self.service, refusal.reason);
        self.send_part(ResponsePart::Refused(refusal)).await;
    }
}

async fn send_event(events: &Sender<FlowEvent>, event: FlowEvent) {
    if events.send(event).await.is_err() {
        log::debug!("entry: dropped an upstream's last event, since its request has ended");
    }
}

/// Returns the name of a claim's prefill worker for log lines, or an empty string.
fn prefill_name(claim: Option<&SlotClaim>) -> &str {
    let prefill = claim.and_then(|claim| claim.prefill.as_ref());
    prefill.map_or("", UpstreamName::as_str)
}
