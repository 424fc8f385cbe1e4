//! Takes callers' connections, and answers each request once.

use crate::coordination::flow::RequestSpec;
use crate::prelude::*;
use crate::state::routes::{RouteKind, RouteRule, RouteTable};
use crate::transport::decisions::DecisionKind;
use crate::transport::gateway::dialect::InboundHead;
use crate::transport::gateway::forward::{ForwardWork, InboundRequest, UpstreamReply};
use crate::transport::gateway::reply::{
    AnswerEnd, ReplyBody, drop_connection_headers, lost, plain, refuse, status_of,
};
use crate::transport::gateway::start::{Gateway, GatewaySlot};
use crate::transport::node::lock;
use crate::transport::requests::{CallerPart, start_request};
use crate::transport::spans::NoTrace;
use bytes::{Bytes, BytesMut};
use http::request::Parts;
use http::{Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics::{counter, gauge};
use socket2::SockRef;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How long after a failure to accept the next connection is awaited.
const ACCEPT_REST: Duration = Duration::from_millis(50);
/// How long sent bytes may stay unacknowledged before a caller's connection counts as dead: callers
/// leave a silent stream after some seconds.
const DEAD_CALLER: Duration = Duration::from_secs(5);
/// How much of a caller's time is kept back for the way of the answer.
const ANSWER_TRAVEL: Duration = Duration::from_millis(20);
/// How long a caller that does not say is expected to wait.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);
/// How often a shard's owner hears how far a run has come: a run takes some seconds.
const PROGRESS_PERIOD: Duration = Duration::from_millis(500);
/// How long a stream may be silent before its upstream counts as lost: callers leave soon after.
const STREAM_STALL: Duration = Duration::from_millis(1_500);
/// After how many latency targets a call that may be repeated is tried elsewhere; slow answers take
/// up to one and a half.
const CALL_STALL_TARGETS: u32 = 3;
/// When to come back to a daemon that knows no configuration yet.
const CONFIG_WAIT: Duration = Duration::from_secs(1);

/// Accepts callers' connections until the task is dropped.
pub async fn serve_callers(slot: Arc<GatewaySlot>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(slot.clone(), stream));
            }
            Err(error) => {
                log::warn!("entry: accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_REST).await;
            }
        }
    }
}

async fn serve_connection(slot: Arc<GatewaySlot>, stream: TcpStream) {
    let prepared = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(DEAD_CALLER)));
    if let Err(error) = prepared {
        return log::debug!("entry: a connection closed at once: {error}");
    }
    let mut stopping = slot.stopping.subscribe();
    let idle = slot.limits().idle;
    let service = {
        let slot = slot.clone();
        service_fn(move |request| {
            let slot = slot.clone();
            async move { Ok::<_, Infallible>(serve(slot, request).await) }
        })
    };
    slot.connections.fetch_add(1, Ordering::Relaxed);
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .keep_alive(!*stopping.borrow())
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // What the balancer still sends to a daemon that stops is served, one request a connection.
    let late = *stopping.borrow();
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = wait_for(&mut stopping), if !late => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!("entry: a caller's connection ended: {error}");
    }
    slot.connections.fetch_sub(1, Ordering::Relaxed);
}

/// Waits until the daemon stops.
async fn wait_for(stopping: &mut watch::Receiver<bool>) {
    while !*stopping.borrow_and_update() {
        if stopping.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

async fn serve(slot: Arc<GatewaySlot>, request: Request<Incoming>) -> Response<ReplyBody> {
    let Some(gateway) = slot.gateway() else {
        let refusal = Refusal::not_run(RefusalReason::NoConfiguration).after(CONFIG_WAIT);
        return refuse(&refusal);
    };
    let guard = slot.enter();
    let reply = serve_request(gateway, request, guard).await;
    counter!("apricotrun_answers_total", "status" => reply.status().as_str().to_owned())
        .increment(1);
    reply
}

/// Counts a request for as long as its answer is not complete.
pub struct InFlightGuard(pub Arc<GatewaySlot>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let left = self.0.in_flight.fetch_sub(1, Ordering::Relaxed) - 1;
        gauge!("apricotrun_requests_in_flight").set(left as f64);
    }
}

async fn serve_request(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    guard: InFlightGuard,
) -> Response<ReplyBody> {
    let Some(routes) = lock(&gateway.routes).current().cloned() else {
        let refusal = Refusal::not_run(RefusalReason::NoConfiguration).after(CONFIG_WAIT);
        return refuse(&refusal);
    };
    let accepted = gateway.node.clock.now();
    let (parts, body) = request.into_parts();
    let Some(rule) = find_route(&routes, &parts) else {
        if gateway.node.decisions.takes(DecisionKind::Unserved) {
            log::info!(path = parts.uri.path(), revision = routes.revision.0; "entry: no route");
        }
        return plain(StatusCode::NOT_FOUND, "no route for this host and path");
    };
    let head = match gateway.dialect.read_request(&parts) {
        Ok(head) => head,
        Err(fault) => {
            if gateway.node.decisions.takes(DecisionKind::Unserved) {
                log::info!(route = rule.name.as_str(); "entry: malformed: {fault}");
            }
            return plain(StatusCode::BAD_REQUEST, &fault.to_string());
        }
    };
    let patience = head.time_left.unwrap_or(DEFAULT_PATIENCE).saturating_sub(ANSWER_TRAVEL);
    let deadline = accepted + patience.min(rule.timeout);
    let read = read_body(body, routes.limits.body_bytes);
    let body = match tokio::time::timeout(deadline - accepted, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyFault::TooLarge)) => {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than allowed");
        }
        Ok(Err(BodyFault::Broken)) => {
            return plain(StatusCode::BAD_REQUEST, "the body ended before it was whole");
        }
        Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
    };
    let mut headers = parts.headers;
    drop_connection_headers(&mut headers);
    gateway.dialect.strip(&mut headers);
    let (method, target) = (parts.method, parts.uri);
    let inbound = InboundRequest { body, head, headers, method, target };
    forward(gateway, &routes, rule, inbound, accepted, deadline, guard).await
}

fn find_route(routes: &RouteTable, parts: &Parts) -> Option<Arc<RouteRule>> {
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host())?;
    routes.find(host, parts.uri.path()).cloned()
}

enum BodyFault {
    Broken,
    TooLarge,
}

async fn read_body(mut body: Incoming, most: usize) -> Result<Bytes, BodyFault> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyFault::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > most {
            return Err(BodyFault::TooLarge);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

async fn forward(
    gateway: Arc<Gateway>,
    routes: &RouteTable,
    rule: Arc<RouteRule>,
    inbound: InboundRequest,
    accepted: Instant,
    deadline: Instant,
    guard: InFlightGuard,
) -> Response<ReplyBody> {
    let no_upstream = Refusal::not_run(RefusalReason::NoUpstream);
    let Some(service) = rule.pick(rand::random()).cloned() else { return refuse(&no_upstream) };
    let label = inbound.head.label.clone();
    let spec = build_spec(&gateway, routes, &rule, &service, &inbound, accepted, deadline);
    let Some(spec) = spec else { return refuse(&no_upstream) };
    let id = spec.id.clone();
    let accepts = gateway.node.decisions.takes(DecisionKind::Accepted);
    if accepts {
        log::info!(
            request = label.as_str(), id:% = id, route = rule.name.as_str(), service:% = service,
            revision = routes.revision.0, prompt = spec.prompt.0, answer = spec.answer.0,
            left_ms = (deadline - accepted).as_millis() as u64;
            "entry: accepted"
        );
    }
    let work = Arc::new(ForwardWork::new(gateway.clone(), rule.kind, inbound));
    let mut parts =
        start_request(&gateway.node, service, &label, spec, work.clone(), Box::new(NoTrace));
    let node = gateway.node.clone();
    let ended = move |end: AnswerEnd| {
        let took = (node.clock.now() - accepted).as_millis() as u64;
        let _guard = guard;
        let kind = match end {
            AnswerEnd::Whole => DecisionKind::Answered,
            AnswerEnd::Refused(_) => DecisionKind::Refused,
            AnswerEnd::CallerLeft => DecisionKind::CallerLeft,
        };
        match end {
            _ if !node.decisions.takes(kind) => {}
            AnswerEnd::CallerLeft => {
                log::info!(request = label.as_str(), took_ms = took; "entry: the caller left");
            }
            AnswerEnd::Whole => {
                log::info!(request = label.as_str(), took_ms = took; "entry: answered")
            }
            AnswerEnd::Refused(refusal) => log::info!(
                request = label.as_str(), took_ms = took, status = status_of(&refusal).as_u16(),
                reason:? = refusal.reason, verdict:% = refusal.verdict,
                come_back_ms = refusal.retry_after.map_or(0, |wait| wait.as_millis() as u64);
                "entry: not answered"
            ),
        }
    };
    loop {
        match parts.recv().await {
            Some(CallerPart::Opened | CallerPart::Answer(_)) => {}
            Some(CallerPart::Text(text)) => {
                let body =
                    ReplyBody::Events { ended: Some(Box::new(ended)), first: Some(text), parts };
                return respond(work.reply(), body);
            }
            Some(CallerPart::Finished) => {
                ended(AnswerEnd::Whole);
                return whole_reply(work.reply());
            }
            Some(CallerPart::Refused(refusal)) => {
                let reply = work.reply().filter(|_| refusal.verdict != Verdict::NotRun);
                return match reply.filter(|reply| reply.status.is_server_error()) {
                    // The upstream's own failure says more than this daemon could.
                    Some(reply) => {
                        ended(AnswerEnd::Whole);
                        whole_reply(Some(reply))
                    }
                    None => {
                        ended(AnswerEnd::Refused(refusal));
                        refuse(&refusal)
                    }
                };
            }
            None => {
                ended(AnswerEnd::Refused(lost()));
                return refuse(&lost());
            }
        }
    }
}

fn whole_reply(reply: Option<UpstreamReply>) -> Response<ReplyBody> {
    let body = reply.as_ref().map(|reply| reply.body.clone()).unwrap_or_default();
    respond(reply, ReplyBody::whole(body))
}

fn respond(reply: Option<UpstreamReply>, body: ReplyBody) -> Response<ReplyBody> {
    let Some(reply) = reply else { return refuse(&lost()) };
    let mut response = Response::new(body);
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}

/// Returns after what silence an upstream counts as lost. A call that runs once must wait: another
/// upstream may not run it anyway.
fn stall_limit(rule: &RouteRule) -> Option<Duration> {
    match rule.kind {
        RouteKind::Stream { .. } => Some(STREAM_STALL),
        RouteKind::Idempotent => Some(rule.latency_target * CALL_STALL_TARGETS),
        RouteKind::NonIdempotent => None,
    }
}

fn build_spec(
    gateway: &Gateway,
    routes: &RouteTable,
    rule: &RouteRule,
    service: &ServiceName,
    inbound: &InboundRequest,
    accepted: Instant,
    deadline: Instant,
) -> Option<RequestSpec> {
    let node = &gateway.node;
    let fleet = node.fleet();
    let template = fleet.templates.get(service)?;
    let engine = routes.services.get(service)?.engine;
    let InboundHead { prompt, resume_after, .. } = &inbound.head;
    let shape = prompt.as_ref();
    let length = shape.map_or(Tokens(0), |shape| shape.prompt);
    let longest = shape.map_or(Tokens(0), |shape| shape.answer);
    let answer = shape.and_then(|shape| shape.hint).unwrap_or(longest).min(longest);
    let path = inbound.target.path().as_bytes();
    let own_part = shape.and_then(|shape| shape.prefix.last()).copied().unwrap_or_default();
    let fingerprint = Fingerprint::of(&[
        service.as_str().as_bytes(),
        path,
        &own_part.to_le_bytes(),
        &inbound.body,
    ]);
    let retries = gateway.retry_budget(service);
    retries.note_request(accepted);
    Some(RequestSpec {
        account: gateway.account.clone(),
        answer,
        between_token_target: rule.gap_target.unwrap_or_default(),
        crashes: lock(&node.crashes).weight(accepted, &fingerprint),
        deadline,
        domains: gateway.domains_of(template),
        eviction: template.eviction,
        fingerprint,
        first_index: *resume_after,
        first_token_due: accepted + rule.latency_target,
        id: node.next_request(),
        longest,
        link_time: template.link_tokens_per_second.time_for(length),
        owed: !rule.kind.is_stream() && !rule.kind.is_repeatable(),
        prefill_time: template.prefill_tokens_per_second.time_for(length),
        prefix: shape.map(|shape| shape.prefix.clone()).unwrap_or_default(),
        progress_period: rule.kind.is_stream().then_some(PROGRESS_PERIOD),
        prompt: length,
        repeatable: rule.kind.is_repeatable(),
        retries,
        returning: false,
        run_limit: rule.run_limit,
        stall_limit: stall_limit(rule),
        tokens_per_index: engine.map_or(1, |engine| engine.tokens_per_event.max(1)),
    })
}
