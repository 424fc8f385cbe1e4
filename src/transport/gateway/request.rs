//! Runs one accepted request through the request flow and builds its response.

use crate::coordination::flow::{DisconnectPolicy, RequestSpec};
use crate::coordination::stops::{STOP_RETRY_AFTER, WorkForecast, expected_work};
use crate::prelude::*;
use crate::state::routes::{RouteKind, RouteRule, RouteTable};
use crate::transport::gateway::dialect::InboundHead;
use crate::transport::gateway::forward::{ForwardExecutor, InboundRequest, UpstreamResponse};
use crate::transport::gateway::in_flight::InFlightGuard;
use crate::transport::gateway::pace::StreamPace;
use crate::transport::gateway::relay::{RelayOutcome, refuse_relayed};
use crate::transport::gateway::reply::{
    ResponseBody, ResponseOutcome, drop_connection_headers, refusal_response, request_task_lost,
    status_of,
};
use crate::transport::gateway::start::Gateway;
use crate::transport::log_limiter::DecisionKind;
use crate::transport::node::{DaemonNode, lock};
use crate::transport::requests::{ResponsePart, start_request};
use crate::transport::spans::NoTrace;
use http::Response;
use metrics::counter;
use std::sync::Arc;
use tokio::sync::mpsc::Receiver;

/// The interval at which the shard's owner is sent the progress of a run; a run takes a few
/// seconds.
const PROGRESS_PERIOD: Duration = Duration::from_millis(500);
/// How long a stream may be silent before it resumes at another upstream, if its route allows that;
/// callers disconnect soon after.
const STREAM_STALL_LIMIT: Duration = Duration::from_millis(1_500);
/// The shortest time for which it is kept which software version began a stream. The operator may
/// shorten a route's timeout while streams run.
const MIN_ORIGIN_LIFETIME: Duration = Duration::from_secs(30);
/// The shortest time after which the caller of a stream of unknown origin is asked to come back.
const MIN_ORIGIN_WAIT: Duration = Duration::from_secs(1);
/// The part of its latency target for which a request waits for tokens of its account's allotment.
const TOKEN_PATIENCE: f64 = 0.5;
/// After how many latency targets a retryable call is tried at another upstream; slow responses
/// take up to one and a half targets.
const CALL_STALL_TARGETS: u32 = 3;

/// A request that has been read completely and matches a route.
pub struct ForwardedRequest {
    /// When its headers were read.
    pub accepted: Instant,
    /// The earlier of the caller's and the route's timeout.
    pub deadline: Instant,
    /// The gateway that serves it.
    pub gateway: Arc<Gateway>,
    /// Counts the request as in flight until its response is complete.
    pub guard: InFlightGuard,
    /// The request as the caller sent it.
    pub inbound: InboundRequest,
    /// The route table in force when it was accepted.
    pub routes: Arc<RouteTable>,
    /// The route that it matches.
    pub rule: Arc<RouteRule>,
}

/// Logs how a request ended and stops counting it as in flight.
struct ResponseLog {
    accepted: Instant,
    /// The account that the request was charged to, and its cost.
    charged: Option<(AccountName, f64)>,
    guard: InFlightGuard,
    request_id: String,
    node: Arc<DaemonNode>,
}

impl ResponseLog {
    /// Gives the cost of the request back to its account.
    fn refund(&mut self) {
        if let Some((account, cost)) = self.charged.take() {
            self.node.refund_tokens(&account, cost);
        }
    }

    /// Logs what is needed to tell why a stream was cut off that had begun.
    fn log_cut(&self, refusal: &Refusal) {
        let now = self.node.clock.now();
        let stop = *self.node.stop.borrow();
        let stopping = stop.map(|plan| now.saturating_duration_since(plan.began()));
        let report = self.guard.progress().report(now);
        counter!("apricotrun_cut_streams_total", "stopping" => stop.is_some().to_string())
            .increment(1);
        if self.node.log_limiter.permits(DecisionKind::Cut) {
            log::info!(
                request = self.request_id.as_str(), reason:? = refusal.reason,
                received = report.received, sent = report.sent,
                silent_ms = report.silent_ms(), upstream_done = report.upstream_done,
                stopping_ms = stopping.map_or(-1, |time| time.as_millis() as i64);
                "entry: a stream was cut off"
            );
        }
    }

    fn finish(mut self, outcome: ResponseOutcome) {
        if matches!(outcome, ResponseOutcome::Refused(refusal) if refusal.verdict == Verdict::NotRun)
        {
            self.refund();
        }
        let took = (self.node.clock.now() - self.accepted).as_millis() as u64;
        let kind = match outcome {
            ResponseOutcome::Complete => DecisionKind::Answered,
            ResponseOutcome::Refused(_) => DecisionKind::Refused,
            ResponseOutcome::CallerDisconnected => DecisionKind::CallerLeft,
        };
        if let ResponseOutcome::Refused(Refusal {
            reason: RefusalReason::Stopping, verdict, ..
        }) = outcome
        {
            let verdict = verdict.as_str();
            counter!("apricotrun_stop_refusals_total", "verdict" => verdict).increment(1);
        }
        if let ResponseOutcome::Refused(refusal) = outcome
            && self.guard.progress().has_begun()
        {
            self.log_cut(&refusal);
        }
        if !self.node.log_limiter.permits(kind) {
            return;
        }
        let request = self.request_id.as_str();
        match outcome {
            ResponseOutcome::CallerDisconnected => {
                log::info!(request, took_ms = took; "entry: the caller left");
            }
            ResponseOutcome::Complete => log::info!(request, took_ms = took; "entry: answered"),
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
    /// Runs the request and returns its response. The events of a stream are relayed in the body.
    pub async fn serve(self) -> Response<ResponseBody> {
        let least_work = expected_work(self.rule.latency_target, Tokens(0), Duration::ZERO);
        if self.gateway.node.is_too_late_for(least_work) {
            return self.refuse_for_stop();
        }
        if self.gateway.paths.is_isolated() {
            if self.inbound.relayed {
                return refuse_relayed();
            }
            // The other host places the stream, so that nothing is known of the upstream that writes it.
            if self.rule.kind.is_stream() && self.gateway.node.stop.borrow().is_some() {
                return self.refuse_for_stop();
            }
            match self.gateway.relay(&self.inbound, self.deadline).await {
                // The request is refused below, unless a path has opened meanwhile.
                RelayOutcome::NoHost => {}
                outcome => return finish_relayed(outcome, self.into_log(None)),
            }
        }
        let no_upstream = Refusal::not_run(RefusalReason::NoUpstream);
        let service = self.rule.select_service(rand::random()).cloned();
        let Some(mut service) = service else { return refusal_response(&no_upstream) };
        let mut software = None;
        if self.rule.kind.is_stream() && self.inbound.head.resume_after > 0 {
            let Some((began_at, version)) = self.find_origin(&service).await else {
                return self.refuse_unknown_origin(&service);
            };
            if self.rule.has_target(&began_at) {
                service = began_at;
            }
            software = Some(version);
        }
        if let Some(refusal) = self.gateway.refuse_while_quiet(&service) {
            return refusal_response(&refusal);
        }
        let charged = match self.charge().await {
            Ok(charged) => charged,
            Err(refusal) => {
                self.into_log(None).finish(ResponseOutcome::Refused(refusal));
                return refusal_response(&refusal);
            }
        };
        let Some(spec) = self.build_spec(&service, software) else {
            self.into_log(charged).finish(ResponseOutcome::Refused(no_upstream));
            return refusal_response(&no_upstream);
        };
        self.log_accepted(&service, &spec);
        let request_id = self.inbound.head.request_id.clone();
        let node = self.gateway.node.clone();
        let urgency = self.urgency();
        let executor = ForwardExecutor::new(
            self.gateway,
            self.rule.kind,
            service.clone(),
            self.inbound,
            urgency,
            self.guard.progress().clone(),
        );
        let executor = Arc::new(executor);
        let parts =
            start_request(&node, service, &request_id, spec, executor.clone(), Box::new(NoTrace));
        let accepted = self.accepted;
        let log = ResponseLog { accepted, charged, guard: self.guard, request_id, node };
        wait_for_response(parts, &executor, log, self.deadline).await
    }

    fn log_accepted(&self, service: &ServiceName, spec: &RequestSpec) {
        if self.gateway.node.log_limiter.permits(DecisionKind::Accepted) {
            log::info!(
                request = self.inbound.head.request_id.as_str(), id:% = spec.id,
                route = self.rule.name.as_str(), service:% = service,
                revision = self.routes.revision.0, prompt = spec.prompt.0,
                answer = spec.expected_output.0, after = spec.first_index,
                resumes = self.inbound.head.resumes.as_deref().unwrap_or_default(),
                left_ms = (self.deadline - self.accepted).as_millis() as u64;
                "entry: accepted"
            );
        }
    }

    /// Returns the service and the software version at which the stream began that the caller takes
    /// up.
    async fn find_origin(&self, service: &ServiceName) -> Option<(ServiceName, SoftwareVersion)> {
        let window = origin_lifetime(&self.rule);
        let first = self.inbound.head.resumes.as_deref();
        let node = &self.gateway.node;
        let asked_at = node.clock.boot();
        let reply = node.find_origin(first, service, window).await;
        if let Some(origin) = reply.known {
            return Some((origin.service, origin.software));
        }
        // The stream may have begun at an upstream that has joined since the list was read.
        let version = reply.sole_version?;
        if !self.gateway.read_directory_since(asked_at).await {
            return None;
        }
        let (now, versions) = (node.clock.now(), lock(&node.versions));
        let is_sole = versions.has_seen_only(now, service, window, &version);
        drop(versions);
        (is_sole && !node.has_unknown_origin(service)).then(|| (service.clone(), version))
    }

    /// Refuses a request that cannot end before this host does: other hosts serve it.
    fn refuse_for_stop(self) -> Response<ResponseBody> {
        let refusal = Refusal::not_run(RefusalReason::Stopping).with_retry_after(STOP_RETRY_AFTER);
        self.into_log(None).finish(ResponseOutcome::Refused(refusal));
        refusal_response(&refusal)
    }

    /// Refuses a stream of unknown origin. Before the time that is named, no host knows more.
    fn refuse_unknown_origin(self, service: &ServiceName) -> Response<ResponseBody> {
        counter!("apricotrun_unknown_origins_total").increment(1);
        let (now, window) = (self.gateway.node.clock.now(), origin_lifetime(&self.rule));
        let versions = lock(&self.gateway.node.versions);
        let wait = versions.time_to_sole_version(now, service, window);
        drop(versions);
        let wait = wait.max(MIN_ORIGIN_WAIT);
        let refusal = Refusal::not_run(RefusalReason::OriginUnknown).with_retry_after(wait);
        self.into_log(None).finish(ResponseOutcome::Refused(refusal));
        refusal_response(&refusal)
    }

    fn into_log(self, charged: Option<(AccountName, f64)>) -> ResponseLog {
        let request_id = self.inbound.head.request_id;
        let node = self.gateway.node.clone();
        ResponseLog { accepted: self.accepted, charged, guard: self.guard, request_id, node }
    }

    /// Takes the cost of the request from its account's allotment, and returns both.
    async fn charge(&self) -> Result<Option<(AccountName, f64)>, Refusal> {
        let Some(identity) = &self.inbound.identity else { return Ok(None) };
        let cost = identity.cost_of(self.inbound.head.prompt.as_ref());
        let patience = self.rule.latency_target.mul_f64(TOKEN_PATIENCE);
        self.gateway.charge(identity, cost, patience).await?;
        Ok(Some((identity.account.name.clone(), cost)))
    }

    /// Returns how urgent the request is, if the deployment tells requests apart by that: the account's
    /// priority goes before the route's.
    fn urgency(&self) -> Option<UrgencyRank> {
        let account = self.inbound.identity.as_ref().and_then(|caller| caller.account.priority);
        let priority = account.unwrap_or(self.rule.priority);
        self.gateway.uses_urgency.then(|| UrgencyRank::from_priority(priority))
    }

    /// Returns the account of the caller, or the one of all callers if the route needs no key.
    fn account(&self) -> AccountName {
        let identity = self.inbound.identity.as_ref();
        identity.map_or(&self.gateway.account, |identity| &identity.account.name).clone()
    }

    /// Returns how long the request takes at most, by the slowest responses of late. All tokens that a
    /// stream may ask for count: a caller that is refused by a stopping host goes elsewhere at little cost,
    /// one whose stream is cut off loses all.
    fn forecast_work(&self, service: &ServiceName) -> WorkForecast {
        let node = &self.gateway.node;
        let slowest = lock(&node.response_times).slowest(self.accepted, service);
        let slowest = slowest.unwrap_or_default();
        let start = expected_work(self.rule.latency_target, Tokens(0), Duration::ZERO);
        let start = start.max(slowest.start);
        if !self.rule.kind.is_stream() {
            return WorkForecast::fixed(start, Duration::ZERO);
        }
        let shape = self.inbound.head.prompt.as_ref();
        let tokens = shape.map_or(Tokens(0), |shape| shape.max_output);
        let left = self.deadline.saturating_duration_since(self.accepted);
        if tokens == Tokens(0) {
            // Its caller has named no length.
            return WorkForecast::fixed(start, left);
        }
        let engine = self.routes.services.get(service).and_then(|known| known.engine);
        let tokens_per_event = engine.map_or(1, |engine| engine.tokens_per_event.max(1));
        let gap = self.rule.inter_event_target.map(|gap| gap / tokens_per_event);
        let allowed = gap.map(|gap| expected_work(Duration::ZERO, tokens, gap));
        let pace = StreamPace {
            longest: allowed.map_or(left, |allowed| allowed.min(left)),
            service: service.clone(),
            times: node.response_times.clone(),
            tokens,
        };
        WorkForecast { start, writing: Arc::new(pace) }
    }

    /// Returns a digest of what makes the request the same as an earlier one: hosts of d88e3f8 know no
    /// query and no account, so that these are left out where there are none.
    fn fingerprint(&self, service: &ServiceName) -> Fingerprint {
        let InboundRequest { body, head, identity, uri, .. } = &self.inbound;
        let prompt = head.prompt.as_ref().and_then(|shape| shape.prefix.last());
        let prompt = prompt.copied().unwrap_or_default().to_le_bytes();
        let account = identity.as_ref().map_or("", |identity| identity.account.name.as_str());
        let query = uri.query().unwrap_or_default();
        let parts = [
            service.as_str().as_bytes(),
            uri.path().as_bytes(),
            &prompt,
            body,
            query.as_bytes(),
            account.as_bytes(),
        ];
        let is_plain = query.is_empty() && account.is_empty();
        Fingerprint::of(if is_plain { &parts[..4] } else { &parts })
    }

    fn build_spec(
        &self,
        service: &ServiceName,
        software: Option<SoftwareVersion>,
    ) -> Option<RequestSpec> {
        let node = &self.gateway.node;
        let fleet = node.current_config();
        let template = fleet.templates.get(service)?;
        let engine = self.routes.services.get(service)?.engine;
        let InboundHead { prompt, resume_after, .. } = &self.inbound.head;
        let shape = prompt.as_ref();
        let parts = shape.map_or(&[][..], |shape| &shape.parts);
        let prompt_tokens = shape.map_or(Tokens(0), |shape| shape.prompt);
        let max_output = shape.map_or(Tokens(0), |shape| shape.max_output);
        let expected_output =
            shape.and_then(|shape| shape.length_hint).unwrap_or(max_output).min(max_output);
        let fingerprint = self.fingerprint(service);
        let retries = self.gateway.retry_budget(service);
        retries.record_request(self.accepted);
        let avoid = self.gateway.upstreams_to_avoid(self.accepted, service);
        let (crash_verdict, crash_weight) = node.check_crashes(self.accepted, &fingerprint, parts);
        Some(RequestSpec {
            account: self.account(),
            avoid,
            expected_output,
            inter_token_target: self.rule.inter_event_target.unwrap_or_default(),
            crash_weight,
            deadline: self.deadline,
            domains: self.gateway.candidate_domains(template),
            prefill_retention: template.prefill_retention,
            fingerprint,
            first_index: *resume_after,
            first_token_due: self.accepted + self.rule.latency_target,
            id: node.next_request_id(),
            max_output,
            transfer_time: template.link_tokens_per_second.time_for(prompt_tokens),
            origin_lifetime: self.rule.kind.is_resumable().then(|| origin_lifetime(&self.rule)),
            after_disconnect: after_disconnect(self.rule.kind),
            prefill_time: template.prefill_tokens_per_second.time_for(prompt_tokens),
            crash_verdict,
            parts: parts.to_vec(),
            prefix: shape.map(|shape| shape.prefix.clone()).unwrap_or_default(),
            progress_period: self.rule.kind.is_stream().then_some(PROGRESS_PERIOD),
            prompt: prompt_tokens,
            retryable: self.rule.kind.is_retryable(),
            retries,
            returning: false,
            max_runs: self.rule.max_runs,
            software,
            stall_limit: stall_limit(&self.rule),
            urgency: self.urgency().unwrap_or_default(),
            tokens_per_index: engine.map_or(1, |engine| engine.tokens_per_event.max(1)),
            work: self.forecast_work(service),
        })
    }
}

/// Waits for the first event of a stream, a complete response or a refusal.
async fn wait_for_response(
    mut parts: Receiver<ResponsePart>,
    executor: &ForwardExecutor,
    mut log: ResponseLog,
    deadline: Instant,
) -> Response<ResponseBody> {
    loop {
        match parts.recv().await {
            Some(ResponsePart::Opened | ResponsePart::Response(_)) => {}
            Some(ResponsePart::Text(text)) => {
                let progress = log.guard.progress().clone();
                let on_end = Box::new(move |outcome| log.finish(outcome));
                let body = ResponseBody::Events {
                    on_end: Some(on_end),
                    first: Some(text),
                    parts,
                    progress,
                    window: executor.window(),
                };
                return build_response(executor.response(), body);
            }
            Some(ResponsePart::Finished) => {
                log.finish(ResponseOutcome::Complete);
                return buffered_response(executor.response());
            }
            Some(ResponsePart::Refused(refusal)) => {
                return match executor.pass_on(&refusal, deadline).await {
                    RelayOutcome::NoHost => finish_refused(executor, log, refusal),
                    outcome => {
                        // The other host charges the account too.
                        log.refund();
                        finish_relayed(outcome, log)
                    }
                };
            }
            None => return finish_refused(executor, log, request_task_lost()),
        }
    }
}

fn finish_refused(
    executor: &ForwardExecutor,
    log: ResponseLog,
    refusal: Refusal,
) -> Response<ResponseBody> {
    let response = executor.response().filter(|_| refusal.verdict != Verdict::NotRun);
    match response.filter(|response| response.status.is_server_error()) {
        // The upstream's own error response tells the caller more than a refusal would.
        Some(response) => {
            log.finish(ResponseOutcome::Complete);
            buffered_response(Some(response))
        }
        None => {
            let refusal = executor.respect_quiet(refusal);
            log.finish(ResponseOutcome::Refused(refusal));
            refusal_response(&refusal)
        }
    }
}

/// Returns the response to a request that was passed on to another host.
fn finish_relayed(outcome: RelayOutcome, log: ResponseLog) -> Response<ResponseBody> {
    let mut exchange = match outcome {
        RelayOutcome::Response(exchange) => exchange,
        RelayOutcome::Lost(refusal) => {
            log.finish(ResponseOutcome::Refused(refusal));
            return refusal_response(&refusal);
        }
        RelayOutcome::NoHost => return refusal_response(&request_task_lost()),
    };
    let (status, mut headers) =
        (exchange.response.status(), std::mem::take(exchange.response.headers_mut()));
    drop_connection_headers(&mut headers);
    log.guard.progress().record_sent();
    let on_end = Box::new(move |outcome| log.finish(outcome));
    let mut response = Response::new(ResponseBody::Relayed { exchange, on_end: Some(on_end) });
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn buffered_response(response: Option<UpstreamResponse>) -> Response<ResponseBody> {
    let Some(response) = response else { return refusal_response(&request_task_lost()) };
    let body = ResponseBody::Buffered(response.body.clone(), response.reservation.clone());
    build_response(Some(response), body)
}

fn build_response(
    upstream: Option<UpstreamResponse>,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let Some(upstream) = upstream else { return refusal_response(&request_task_lost()) };
    let mut response = Response::new(body);
    *response.status_mut() = upstream.status;
    *response.headers_mut() = upstream.headers;
    response
}

/// Returns how long it is kept which software version began a stream. Both the caller's first
/// request and the one that takes the stream up may take as long as the route allows.
fn origin_lifetime(rule: &RouteRule) -> Duration {
    (rule.timeout * 2).max(MIN_ORIGIN_LIFETIME)
}

/// Returns what becomes of a request whose caller has disconnected. A call that may run once is not broken
/// off halfway, and no repetition of it could be given its response.
fn after_disconnect(kind: RouteKind) -> DisconnectPolicy {
    match kind {
        RouteKind::NonIdempotent => DisconnectPolicy::FinishRun,
        RouteKind::Idempotent | RouteKind::Stream { .. } => DisconnectPolicy::Cancel,
    }
}

/// Returns how long an upstream may be silent before it counts as failed. A call that runs at most
/// once has no limit, as no other upstream may run it.
fn stall_limit(rule: &RouteRule) -> Option<Duration> {
    match rule.kind {
        RouteKind::Stream { .. } => Some(STREAM_STALL_LIMIT),
        RouteKind::Idempotent => Some(rule.latency_target * CALL_STALL_TARGETS),
        RouteKind::NonIdempotent => None,
    }
}
