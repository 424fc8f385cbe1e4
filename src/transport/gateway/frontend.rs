//! Accepts callers' connections and serves each request once.

use crate::coordination::stops::{STOP_RETRY_AFTER, StopPlan};
use crate::prelude::*;
use crate::state::routes::{CallerLimits, RouteRule, RouteTable};
use crate::transport::gateway::bodies::BodyError;
use crate::transport::gateway::ends::{CallerStream, EndMarker};
use crate::transport::gateway::forward::InboundRequest;
use crate::transport::gateway::heads::{HeadTimer, TimedStream};
use crate::transport::gateway::in_flight::InFlightGuard;
use crate::transport::gateway::relay::{RELAYED, is_ahead, refuse_relayed};
use crate::transport::gateway::reply::{
    ResponseBody, drop_connection_headers, refusal_response, text_response,
};
use crate::transport::gateway::request::ForwardedRequest;
use crate::transport::gateway::start::{Gateway, GatewayState};
use crate::transport::log_limiter::DecisionKind;
use crate::transport::node::{DaemonNode, lock};
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use metrics::counter;
use socket2::SockRef;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The delay after an accept that failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// How long sent bytes may stay unacknowledged before the kernel closes a caller's connection
/// (`TCP_USER_TIMEOUT`); callers give up a silent stream after a few seconds.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(5);
/// The part of a caller's timeout that is reserved for sending the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// The timeout of a request whose caller names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// The largest request line, which the configured limit on headers does not include.
const REQUEST_LINE_BYTES: usize = 8 * 1024;
/// The smallest limit on a connection's read buffer, as hyper requires a minimum.
const MIN_READ_BUFFER_BYTES: usize = 64 * 1024;
/// The `Retry-After` time of a daemon that has no configuration yet.
const CONFIG_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The `Retry-After` time of a daemon whose budget for request bodies is used up.
const BODY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Accepts callers' connections until the task is dropped.
pub async fn serve_callers(state: Arc<GatewayState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(state.clone(), stream));
            }
            Err(error) => {
                log::warn!("entry: accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(state: Arc<GatewayState>, stream: TcpStream) {
    let configured = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT)));
    if let Err(error) = configured {
        return log::debug!("entry: setting the options of a connection failed: {error}");
    }
    let mut stopping = state.stopping.subscribe();
    let limits = state.limits();
    let timer = HeadTimer::new(state.clock.clone());
    let marker = EndMarker::default();
    let service = {
        let (state, timer, marker) = (state.clone(), timer.clone(), marker.clone());
        service_fn(move |request| {
            timer.record_head();
            let (state, timer, marker) = (state.clone(), timer.clone(), marker.clone());
            async move {
                let version = request.version();
                let mut response = serve(state.clone(), request).await;
                marker.record_response(version, response.body());
                if *state.stopping.borrow() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                timer.record_response_start();
                Ok::<_, Infallible>(response)
            }
        })
    };
    state.connections.fetch_add(1, Ordering::Relaxed);
    // While the daemon stops, the load balancer may still open connections. Each serves one
    // request, like those on which none has come yet.
    let is_stopping = *stopping.borrow();
    let stream = TimedStream::new(CallerStream::new(stream, marker), timer.clone());
    let connection =
        build_server(limits).keep_alive(!is_stopping).serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    let result = async {
        tokio::select! {
            result = connection.as_mut() => result,
            () = wait_for_stop(&mut stopping), if !is_stopping => {
                // Hyper would close a connection of which it has read nothing, though its first
                // request may be on its way.
                if timer.has_head() {
                    connection.as_mut().graceful_shutdown();
                }
                connection.await
            }
        }
    };
    tokio::select! {
        result = result => if let Err(error) = result {
            log::debug!("entry: a caller's connection ended: {error}");
        },
        () = timer.expired(limits.header_timeout) => log_slow_head(&state),
    }
    state.connections.fetch_sub(1, Ordering::Relaxed);
}

/// Returns an HTTP server with the configured limits.
fn build_server(limits: CallerLimits) -> Builder {
    let max_head_bytes = limits.max_header_bytes + REQUEST_LINE_BYTES;
    let mut server = Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_header_size(max_head_bytes)
        .max_buf_size(max_head_bytes.max(MIN_READ_BUFFER_BYTES));
    server
}

fn log_slow_head(state: &GatewayState) {
    let gateway = state.gateway();
    if gateway.is_none_or(|gateway| gateway.node.log_limiter.permits(DecisionKind::Unserved)) {
        log::info!("entry: connection closed: reading a request's headers timed out");
    }
}

/// Waits until the daemon stops.
async fn wait_for_stop(stopping: &mut watch::Receiver<bool>) {
    while !*stopping.borrow_and_update() {
        if stopping.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

async fn serve(state: Arc<GatewayState>, request: Request<Incoming>) -> Response<ResponseBody> {
    let Some(gateway) = state.gateway() else {
        let refusal =
            Refusal::not_run(RefusalReason::NoConfiguration).with_retry_after(CONFIG_RETRY_AFTER);
        return refusal_response(&refusal);
    };
    let guard = state.in_flight.track();
    let node = gateway.node.clone();
    let response = tokio::select! {
        response = serve_request(gateway, request, guard) => response,
        () = node.wait_for_stop_time(StopPlan::last_answers) => {
            refuse_for_stop(&node, Verdict::MayHaveRun)
        }
    };
    counter!("apricotrun_answers_total", "status" => response.status().as_str().to_owned())
        .increment(1);
    response
}

/// Answers a request that this host has not served before it stops.
fn refuse_for_stop(node: &DaemonNode, verdict: Verdict) -> Response<ResponseBody> {
    counter!("apricotrun_stop_refusals_total", "verdict" => verdict.as_str()).increment(1);
    if node.log_limiter.permits(DecisionKind::Refused) {
        log::info!(reason:? = RefusalReason::Stopping, verdict:%; "entry: not answered");
    }
    let refusal = Refusal::not_run(RefusalReason::Stopping).with_retry_after(STOP_RETRY_AFTER);
    refusal_response(&refusal.with_verdict(verdict))
}

async fn serve_request(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    guard: InFlightGuard,
) -> Response<ResponseBody> {
    let Some(routes) = lock(&gateway.routes).current().cloned() else {
        let refusal =
            Refusal::not_run(RefusalReason::NoConfiguration).with_retry_after(CONFIG_RETRY_AFTER);
        return refusal_response(&refusal);
    };
    let accepted = gateway.node.clock.now();
    let (parts, body) = request.into_parts();
    if is_ahead(&parts.headers, routes.revision) {
        return refuse_relayed();
    }
    let Some(rule) = find_route(&routes, &parts) else {
        if gateway.node.log_limiter.permits(DecisionKind::Unserved) {
            log::info!(path = parts.uri.path(), revision = routes.revision.0; "entry: no route");
        }
        return text_response(StatusCode::NOT_FOUND, "no route for this host and path");
    };
    let head = match gateway.dialect.read_request(&parts) {
        Ok(head) => head,
        Err(error) => {
            if gateway.node.log_limiter.permits(DecisionKind::Unserved) {
                log::info!(route = rule.name.as_str(); "entry: invalid request: {error}");
            }
            return text_response(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    let identity = match gateway.identify(&rule, &head.request_id, &parts.headers) {
        Ok(identity) => identity,
        Err(response) => return *response,
    };
    guard.progress().record_id(&head.request_id);
    let timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT).saturating_sub(RESPONSE_MARGIN);
    let deadline = accepted + timeout.min(rule.timeout);
    let read = gateway.request_budget.read(body, routes.limits.max_body_bytes);
    let read = tokio::select! {
        read = tokio::time::timeout(deadline - accepted, read) => read,
        () = gateway.node.wait_for_stop_time(StopPlan::answers_due) => {
            return refuse_for_stop(&gateway.node, Verdict::NotRun);
        }
    };
    let (body, reservation) = match read {
        Ok(Ok(read)) => read,
        Ok(Err(BodyError::BudgetExhausted)) => {
            if gateway.node.log_limiter.permits(DecisionKind::Unserved) {
                log::info!(
                    request = head.request_id.as_str();
                    "entry: the budget for request bodies is used up"
                );
            }
            return refusal_response(
                &Refusal::not_run(RefusalReason::Overloaded).with_retry_after(BODY_RETRY_AFTER),
            );
        }
        Ok(Err(BodyError::TooLarge)) => {
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than allowed");
        }
        Ok(Err(BodyError::Incomplete)) => {
            return text_response(StatusCode::BAD_REQUEST, "the body ended before it was whole");
        }
        Err(_) => return text_response(StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
    };
    let mut headers = parts.headers;
    drop_connection_headers(&mut headers);
    gateway.dialect.strip(&mut headers);
    if routes.accounts.is_some() {
        gateway.dialect.strip_account(&mut headers);
    }
    let relayed = headers.remove(RELAYED).is_some();
    let (method, uri) = (parts.method, parts.uri);
    let revision = routes.revision;
    let inbound = InboundRequest {
        body,
        head,
        headers,
        identity,
        method,
        relayed,
        reservation,
        revision,
        uri,
    };
    ForwardedRequest { accepted, deadline, gateway, guard, inbound, routes, rule }.serve().await
}

fn find_route(routes: &RouteTable, parts: &Parts) -> Option<Arc<RouteRule>> {
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host())?;
    routes.find(host, parts.uri.path()).cloned()
}
