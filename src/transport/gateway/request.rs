//! One accepted request: its specification, its way through the flow, and its answer.

use crate::coordination::flow::RequestSpec;
use crate::prelude::*;
use crate::state::routes::{RouteKind, RouteRule, RouteTable};
use crate::transport::gateway::dialect::InboundHead;
use crate::transport::gateway::forward::{ForwardExecutor, InboundRequest, UpstreamResponse};
use crate::transport::gateway::frontend::InFlightGuard;
use crate::transport::gateway::reply::{
    ResponseBody, ResponseOutcome, driver_lost, refusal_response, status_of,
};
use crate::transport::gateway::start::Gateway;
use crate::transport::log_limiter::DecisionKind;
use crate::transport::node::{DaemonNode, lock};
use crate::transport::requests::{ResponsePart, start_request};
use crate::transport::spans::NoTrace;
use http::Response;
use std::sync::Arc;
use tokio::sync::mpsc::Receiver;

/// How often a shard's owner hears how far a run has come: a run takes some seconds.
const PROGRESS_PERIOD: Duration = Duration::from_millis(500);
/// How long a stream may be silent before it goes on elsewhere, where it may: callers leave soon after.
const STREAM_STALL_LIMIT: Duration = Duration::from_millis(1_500);
/// After how many latency targets a call that may be repeated is tried elsewhere; slow answers take
/// up to one and a half.
const CALL_STALL_TARGETS: u32 = 3;

/// A request that has a route and has been read.
pub struct ForwardedRequest {
    /// When it came.
    pub accepted: Instant,
    /// When its caller's or its route's time is over.
    pub deadline: Instant,
    /// The gateway.
    pub gateway: Arc<Gateway>,
    /// Counts it as long as its answer is not complete.
    pub guard: InFlightGuard,
    /// What the caller sent.
    pub inbound: InboundRequest,
    /// The routes in force when it came.
    pub routes: Arc<RouteTable>,
    /// Its route.
    pub rule: Arc<RouteRule>,
}

/// Logs how a request ended, and counts it out.
struct ResponseLog {
    accepted: Instant,
    _guard: InFlightGuard,
    label: String,
    node: Arc<DaemonNode>,
}

impl ResponseLog {
    fn end(self, end: ResponseOutcome) {
        let took = (self.node.clock.now() - self.accepted).as_millis() as u64;
        let kind = match end {
            ResponseOutcome::Whole => DecisionKind::Answered,
            ResponseOutcome::Refused(_) => DecisionKind::Refused,
            ResponseOutcome::CallerLeft => DecisionKind::CallerLeft,
        };
        if !self.node.log_limiter.permits(kind) {
            return;
        }
        let request = self.label.as_str();
        match end {
            ResponseOutcome::CallerLeft => {
                log::info!(request, took_ms = took; "entry: the caller left");
            }
            ResponseOutcome::Whole => log::info!(request, took_ms = took; "entry: answered"),
            ResponseOutcome::Refused(refusal) => log::info!(
                request, took_ms = took, status = status_of(&refusal).as_u16(),
                reason:? = refusal.reason, verdict:% = refusal.verdict,
                come_back_ms = refusal.retry_after.map_or(0, |wait| wait.as_millis() as u64);
                "entry: not answered"
            ),
        }
    }
}

impl ForwardedRequest {
    /// Runs the request and returns its answer; a stream's events follow as they come.
    pub async fn serve(self) -> Response<ResponseBody> {
        let no_upstream = Refusal::not_run(RefusalReason::NoUpstream);
        let service = self.rule.select_service(rand::random()).cloned();
        let Some(service) = service else { return refusal_response(&no_upstream) };
        let Some(spec) = self.build_spec(&service) else { return refusal_response(&no_upstream) };
        self.log_accepted(&service, &spec);
        let label = self.inbound.head.label.clone();
        let node = self.gateway.node.clone();
        let work = Arc::new(ForwardExecutor::new(self.gateway, self.rule.kind, self.inbound));
        let parts = start_request(&node, service, &label, spec, work.clone(), Box::new(NoTrace));
        let log = ResponseLog { accepted: self.accepted, _guard: self.guard, label, node };
        answer(parts, &work, log).await
    }

    fn log_accepted(&self, service: &ServiceName, spec: &RequestSpec) {
        if self.gateway.node.log_limiter.permits(DecisionKind::Accepted) {
            log::info!(
                request = self.inbound.head.label.as_str(), id:% = spec.id,
                route = self.rule.name.as_str(), service:% = service,
                revision = self.routes.revision.0, prompt = spec.prompt.0, answer = spec.expected_output.0,
                left_ms = (self.deadline - self.accepted).as_millis() as u64;
                "entry: accepted"
            );
        }
    }

    fn build_spec(&self, service: &ServiceName) -> Option<RequestSpec> {
        let node = &self.gateway.node;
        let fleet = node.current_config();
        let template = fleet.templates.get(service)?;
        let engine = self.routes.services.get(service)?.engine;
        let InboundHead { prompt, resume_after, .. } = &self.inbound.head;
        let shape = prompt.as_ref();
        let length = shape.map_or(Tokens(0), |shape| shape.prompt);
        let longest = shape.map_or(Tokens(0), |shape| shape.answer);
        let answer = shape.and_then(|shape| shape.hint).unwrap_or(longest).min(longest);
        let path = self.inbound.target.path().as_bytes();
        let own_part = shape.and_then(|shape| shape.prefix.last()).copied().unwrap_or_default();
        let fingerprint = Fingerprint::of(&[
            service.as_str().as_bytes(),
            path,
            &own_part.to_le_bytes(),
            &self.inbound.body,
        ]);
        let retries = self.gateway.retry_budget(service);
        retries.record_request(self.accepted);
        Some(RequestSpec {
            account: self.gateway.account.clone(),
            expected_output: answer,
            inter_token_target: self.rule.gap_target.unwrap_or_default(),
            crash_weight: lock(&node.crashes).weight(self.accepted, &fingerprint),
            deadline: self.deadline,
            domains: self.gateway.candidate_domains(template),
            eviction: template.eviction,
            fingerprint,
            first_index: *resume_after,
            first_token_due: self.accepted + self.rule.latency_target,
            id: node.next_request_id(),
            max_output: longest,
            transfer_time: template.link_tokens_per_second.time_for(length),
            outlives_caller: !self.rule.kind.is_stream() && !self.rule.kind.is_retryable(),
            prefill_time: template.prefill_tokens_per_second.time_for(length),
            prefix: shape.map(|shape| shape.prefix.clone()).unwrap_or_default(),
            progress_period: self.rule.kind.is_stream().then_some(PROGRESS_PERIOD),
            prompt: length,
            retryable: self.rule.kind.is_retryable(),
            retries,
            returning: false,
            run_limit: self.rule.run_limit,
            stall_limit: stall_limit(&self.rule),
            tokens_per_index: engine.map_or(1, |engine| engine.tokens_per_event.max(1)),
        })
    }
}

/// Waits until it is known how the answer begins.
async fn answer(
    mut parts: Receiver<ResponsePart>,
    work: &ForwardExecutor,
    log: ResponseLog,
) -> Response<ResponseBody> {
    loop {
        match parts.recv().await {
            Some(ResponsePart::Opened | ResponsePart::Answer(_)) => {}
            Some(ResponsePart::Text(text)) => {
                let ended = Box::new(move |end| log.end(end));
                let body = ResponseBody::Events { ended: Some(ended), first: Some(text), parts };
                return respond(work.reply(), body);
            }
            Some(ResponsePart::Finished) => {
                log.end(ResponseOutcome::Whole);
                return buffered_response(work.reply());
            }
            Some(ResponsePart::Refused(refusal)) => return finish_refused(work, log, refusal),
            None => return finish_refused(work, log, driver_lost()),
        }
    }
}

fn finish_refused(
    work: &ForwardExecutor,
    log: ResponseLog,
    refusal: Refusal,
) -> Response<ResponseBody> {
    let reply = work.reply().filter(|_| refusal.verdict != Verdict::NotRun);
    match reply.filter(|reply| reply.status.is_server_error()) {
        // The upstream's own failure says more than this daemon could.
        Some(reply) => {
            log.end(ResponseOutcome::Whole);
            buffered_response(Some(reply))
        }
        None => {
            log.end(ResponseOutcome::Refused(refusal));
            refusal_response(&refusal)
        }
    }
}

fn buffered_response(reply: Option<UpstreamResponse>) -> Response<ResponseBody> {
    let Some(reply) = reply else { return refusal_response(&driver_lost()) };
    let body = ResponseBody::Whole(reply.body.clone(), reply.room.clone());
    respond(Some(reply), body)
}

fn respond(reply: Option<UpstreamResponse>, body: ResponseBody) -> Response<ResponseBody> {
    let Some(reply) = reply else { return refusal_response(&driver_lost()) };
    let mut response = Response::new(body);
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}

/// Returns after what silence an upstream counts as lost. A call that runs once must wait: another
/// upstream may not run it anyway.
fn stall_limit(rule: &RouteRule) -> Option<Duration> {
    match rule.kind {
        RouteKind::Stream { .. } => Some(STREAM_STALL_LIMIT),
        RouteKind::Idempotent => Some(rule.latency_target * CALL_STALL_TARGETS),
        RouteKind::NonIdempotent => None,
    }
}
