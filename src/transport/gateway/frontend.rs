//! Takes callers' connections, and answers each request once.

use crate::prelude::*;
use crate::state::routes::{CallerLimits, RouteRule, RouteTable};
use crate::transport::gateway::bodies::BodyError;
use crate::transport::gateway::forward::InboundRequest;
use crate::transport::gateway::heads::{HeadTimer, TimedStream};
use crate::transport::gateway::reply::{
    ResponseBody, drop_connection_headers, refusal_response, text_response,
};
use crate::transport::gateway::request::ForwardedRequest;
use crate::transport::gateway::start::{Gateway, GatewayState};
use crate::transport::log_limiter::DecisionKind;
use crate::transport::node::lock;
use http::request::Parts;
use http::{Request, Response, StatusCode, header};
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
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// How long sent bytes may stay unacknowledged before a caller's connection counts as dead: callers
/// leave a silent stream after some seconds.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(5);
/// How much of a caller's time is kept back for the way of the answer.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// How long a caller that does not say is expected to wait.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// The bytes of a request's first line, which the configuration's limit on headers leaves out.
const REQUEST_LINE_BYTES: usize = 8 * 1024;
/// The least memory for what has been read of a connection, which the HTTP library asks for.
const MIN_READ_BUFFER_BYTES: usize = 64 * 1024;
/// When to come back to a daemon that knows no configuration yet.
const CONFIG_RETRY_AFTER: Duration = Duration::from_secs(1);
/// When to come back to a daemon whose memory for bodies is taken.
const BODY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Accepts callers' connections until the task is dropped.
pub async fn serve_callers(slot: Arc<GatewayState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(slot.clone(), stream));
            }
            Err(error) => {
                log::warn!("entry: accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(slot: Arc<GatewayState>, stream: TcpStream) {
    let prepared = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT)));
    if let Err(error) = prepared {
        return log::debug!("entry: a connection closed at once: {error}");
    }
    let mut stopping = slot.stopping.subscribe();
    let limits = slot.limits();
    let timer = HeadTimer::new(slot.clock.clone());
    let service = {
        let (slot, timer) = (slot.clone(), timer.clone());
        service_fn(move |request| {
            timer.note_head();
            let (slot, timer) = (slot.clone(), timer.clone());
            async move {
                let reply = serve(slot, request).await;
                timer.note_answer();
                Ok::<_, Infallible>(reply)
            }
        })
    };
    slot.connections.fetch_add(1, Ordering::Relaxed);
    // What the balancer still sends to a daemon that stops is served, one request a connection.
    let late = *stopping.borrow();
    let stream = TimedStream::new(TokioIo::new(stream), timer.clone());
    let connection = build_server(limits).keep_alive(!late).serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    let served = async {
        tokio::select! {
            served = connection.as_mut() => served,
            () = wait_for_stop(&mut stopping), if !late => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    tokio::select! {
        served = served => if let Err(error) = served {
            log::debug!("entry: a caller's connection ended: {error}");
        },
        () = timer.expired(limits.header_timeout) => log_slow_head(&slot),
    }
    slot.connections.fetch_sub(1, Ordering::Relaxed);
}

/// Returns the HTTP library's server with the configuration's limits.
fn build_server(limits: CallerLimits) -> Builder {
    let most = limits.max_header_bytes + REQUEST_LINE_BYTES;
    let mut server = Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_header_size(most)
        .max_buf_size(most.max(MIN_READ_BUFFER_BYTES));
    server
}

fn log_slow_head(slot: &GatewayState) {
    let gateway = slot.gateway();
    if gateway.is_none_or(|gateway| gateway.node.log_limiter.permits(DecisionKind::Unserved)) {
        log::info!("entry: a connection was closed: the head of a request came too slowly");
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

async fn serve(slot: Arc<GatewayState>, request: Request<Incoming>) -> Response<ResponseBody> {
    let Some(gateway) = slot.gateway() else {
        let refusal =
            Refusal::not_run(RefusalReason::NoConfiguration).with_retry_after(CONFIG_RETRY_AFTER);
        return refusal_response(&refusal);
    };
    let guard = slot.track_request();
    let reply = serve_request(gateway, request, guard).await;
    counter!("apricotrun_answers_total", "status" => reply.status().as_str().to_owned())
        .increment(1);
    reply
}

/// Counts a request for as long as its answer is not complete.
pub struct InFlightGuard(pub Arc<GatewayState>);

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
) -> Response<ResponseBody> {
    let Some(routes) = lock(&gateway.routes).current().cloned() else {
        let refusal =
            Refusal::not_run(RefusalReason::NoConfiguration).with_retry_after(CONFIG_RETRY_AFTER);
        return refusal_response(&refusal);
    };
    let accepted = gateway.node.clock.now();
    let (parts, body) = request.into_parts();
    let Some(rule) = find_route(&routes, &parts) else {
        if gateway.node.log_limiter.permits(DecisionKind::Unserved) {
            log::info!(path = parts.uri.path(), revision = routes.revision.0; "entry: no route");
        }
        return text_response(StatusCode::NOT_FOUND, "no route for this host and path");
    };
    let head = match gateway.dialect.read_request(&parts) {
        Ok(head) => head,
        Err(fault) => {
            if gateway.node.log_limiter.permits(DecisionKind::Unserved) {
                log::info!(route = rule.name.as_str(); "entry: malformed: {fault}");
            }
            return text_response(StatusCode::BAD_REQUEST, &fault.to_string());
        }
    };
    let patience = head.timeout.unwrap_or(DEFAULT_TIMEOUT).saturating_sub(RESPONSE_MARGIN);
    let deadline = accepted + patience.min(rule.timeout);
    let read = gateway.request_budget.read(body, routes.limits.max_body_bytes);
    let (body, room) = match tokio::time::timeout(deadline - accepted, read).await {
        Ok(Ok(read)) => read,
        Ok(Err(BodyError::OutOfMemory)) => {
            if gateway.node.log_limiter.permits(DecisionKind::Unserved) {
                log::info!(request = head.label.as_str(); "entry: no memory for its body");
            }
            return refusal_response(
                &Refusal::not_run(RefusalReason::Overloaded).with_retry_after(BODY_RETRY_AFTER),
            );
        }
        Ok(Err(BodyError::TooLarge)) => {
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than allowed");
        }
        Ok(Err(BodyError::Broken)) => {
            return text_response(StatusCode::BAD_REQUEST, "the body ended before it was whole");
        }
        Err(_) => return text_response(StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
    };
    let mut headers = parts.headers;
    drop_connection_headers(&mut headers);
    gateway.dialect.strip(&mut headers);
    let (method, target) = (parts.method, parts.uri);
    let inbound = InboundRequest { body, head, headers, method, room, target };
    ForwardedRequest { accepted, deadline, gateway, guard, inbound, routes, rule }.serve().await
}

fn find_route(routes: &RouteTable, parts: &Parts) -> Option<Arc<RouteRule>> {
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host())?;
    routes.find(host, parts.uri.path()).cloned()
}
