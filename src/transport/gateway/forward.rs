//! One forwarded request at its upstreams.

use crate::coordination::flow::{FlowEvent, KvHandle, UpstreamFailure};
use crate::prelude::*;
use crate::state::routes::RouteKind;
use crate::transport::gateway::bodies::{BodyError, BodyReservation, MAX_BUFFERED_BYTES};
use crate::transport::gateway::channels::{ConnectionPool, PooledConnection, UpstreamExchange};
use crate::transport::gateway::dialect::{
    InboundHead, OutboundHead, ResponseHead, ResponseKind, UpstreamStep,
};
use crate::transport::gateway::reply::drop_connection_headers;
use crate::transport::gateway::start::Gateway;
use crate::transport::gateway::stream::EventDecoder;
use crate::transport::node::lock;
use crate::transport::runs::{AttemptTarget, RunRequest, UpstreamExecutor};
use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;

/// How long an upstream may take to show that it still listens.
const DIAGNOSIS_TIMEOUT: Duration = Duration::from_millis(100);
/// The longest answer of a prefill worker, in bytes.
const MAX_SHORT_RESPONSE_BYTES: usize = 64 * 1024;

/// A caller's request, ready to be sent on.
#[derive(Clone, Debug)]
pub struct InboundRequest {
    /// The body.
    pub body: Bytes,
    /// What the gateway needs of its headers.
    pub head: InboundHead,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// The method.
    pub method: Method,
    /// The memory that the body takes.
    pub room: BodyReservation,
    /// Path and query.
    pub target: Uri,
}

/// An upstream's answer.
#[derive(Clone, Debug)]
pub struct UpstreamResponse {
    /// The whole body; empty for a stream, whose events are passed on as they come.
    pub body: Bytes,
    /// The headers.
    pub headers: HeaderMap,
    /// The memory that the body takes.
    pub room: BodyReservation,
    /// The status.
    pub status: StatusCode,
}

/// A computed prompt at its prefill worker.
#[derive(Clone, Debug)]
struct PrefillResult {
    address: SocketAddr,
    handle: String,
    upstream: UpstreamName,
}

/// What a forwarded request does at its upstreams.
pub struct ForwardExecutor {
    gateway: Arc<Gateway>,
    /// The computed prompt that no run has fetched yet.
    kept: Mutex<Option<PrefillResult>>,
    kind: RouteKind,
    reply: Mutex<Option<UpstreamResponse>>,
    request: InboundRequest,
}

impl ForwardExecutor {
    /// Returns the work of a request.
    pub fn new(gateway: Arc<Gateway>, kind: RouteKind, request: InboundRequest) -> Self {
        Self { gateway, kept: Mutex::new(None), kind, reply: Mutex::new(None), request }
    }

    /// Returns the upstream's answer as far as it is known.
    pub fn reply(&self) -> Option<UpstreamResponse> {
        lock(&self.reply).clone()
    }

    async fn send(
        &self,
        site: &AttemptTarget,
        step: UpstreamStep<'_>,
    ) -> Result<(UpstreamExchange, ResponseHead), UpstreamFailure> {
        let now = self.gateway.node.clock.now();
        // It may have begun to leave while the request waited for its turn.
        if !lock(&self.gateway.registry).takes_work(now, &site.upstream) {
            return Err(UpstreamFailure::NothingSent);
        }
        let left = site.deadline.saturating_duration_since(now);
        let dialect = &self.gateway.dialect;
        let order = OutboundHead { left, step, upstream: &site.upstream };
        let mut headers = self.request.headers.clone();
        dialect.write_request(&order, &mut headers);
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.target.clone();
        *request.headers_mut() = headers;
        let most = self.gateway.connection_limit(&site.upstream);
        let key = (site.address, site.upstream.clone());
        let answer = self.gateway.channels.send(&key, most, request).await?;
        let (parts, body) = answer.response.into_parts();
        let head = dialect.read_response(&self.request.head.label, &parts);
        let response = http::Response::from_parts(parts, body);
        Ok((UpstreamExchange { channel: answer.channel, response }, head))
    }

    async fn prefill_at(&self, site: &AttemptTarget) -> Result<KvHandle, UpstreamFailure> {
        let (answer, head) = self.send(site, UpstreamStep::Prefill).await?;
        let status = answer.response.status();
        let address = answer.channel.address();
        let body = self.read_buffered(answer, &head, MAX_SHORT_RESPONSE_BYTES).await?.body;
        if head.kind != ResponseKind::Answer {
            return Err(failure_for(head.kind));
        }
        let handle = match status {
            StatusCode::OK => self.gateway.dialect.read_handle(&body),
            _ => None,
        };
        match handle {
            Some(handle) => {
                let place = KvHandle(format!("{address}/{handle}"));
                let upstream = site.upstream.clone();
                *lock(&self.kept) = Some(PrefillResult { address, handle, upstream });
                Ok(place)
            }
            None => Err(UpstreamFailure::Failed),
        }
    }

    async fn run_at(
        &self,
        order: &RunRequest,
        events: &UnboundedSender<FlowEvent>,
    ) -> Result<FlowEvent, UpstreamFailure> {
        let handle = order.handle.as_ref().map(|handle| handle.0.as_str());
        let step = UpstreamStep::Run { after: order.first_token, handle };
        let (answer, head) = self.send(&order.target, step).await?;
        if head.kind != ResponseKind::Answer {
            if head.kind != ResponseKind::Foreign {
                self.read_buffered(answer, &head, MAX_SHORT_RESPONSE_BYTES).await?;
            }
            return Err(failure_for(head.kind));
        }
        // The run has fetched the prompt, which is gone from its prefill worker.
        lock(&self.kept).take();
        let status = answer.response.status();
        if self.kind.is_stream() && status == StatusCode::OK {
            return self.relay(order, answer, &head, events).await;
        }
        *lock(&self.reply) = Some(self.read_buffered(answer, &head, MAX_BUFFERED_BYTES).await?);
        if status.is_server_error() && self.kind.is_retryable() {
            return Err(UpstreamFailure::Failed);
        }
        let attempt = order.target.context.attempt.clone();
        Ok(match status.is_server_error() {
            true => FlowEvent::ErrorResponseReceived(attempt),
            false => FlowEvent::ResponseReceived(attempt),
        })
    }

    /// Frees a computed prompt that nobody will fetch, before its worker evicts it by itself.
    async fn free_prefill_result(&self) {
        let Some(kept) = lock(&self.kept).take() else { return };
        let path = self.gateway.dialect.handle_path(&kept.handle);
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = Method::DELETE;
        match path.parse() {
            Ok(target) => *request.uri_mut() = target,
            Err(error) => {
                return log::warn!("entry: a result of {} cannot be freed: {error}", kept.upstream);
            }
        }
        let most = self.gateway.connection_limit(&kept.upstream);
        let key = (kept.address, kept.upstream);
        if let Err(loss) = self.gateway.channels.send(&key, most, request).await {
            log::debug!("entry: a result of {} is evicted by itself: {loss:?}", key.1);
        }
    }

    /// Passes a stream's events on as they come.
    async fn relay(
        &self,
        order: &RunRequest,
        answer: UpstreamExchange,
        head: &ResponseHead,
        events: &UnboundedSender<FlowEvent>,
    ) -> Result<FlowEvent, UpstreamFailure> {
        let attempt = &order.target.context.attempt;
        let request_id = attempt.to_string();
        let (reply, mut body, channel) = split_exchange(answer);
        {
            // A stream that goes on at another upstream keeps the headers of the first; a failure
            // that was passed over is no answer.
            let mut kept = lock(&self.reply);
            if kept.as_ref().is_none_or(|kept| kept.status != StatusCode::OK) {
                *kept = Some(reply);
            }
        }
        let mut decoder = EventDecoder::default();
        let mut last = order.first_token;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| UpstreamFailure::Broken)?;
            let Ok(data) = frame.into_data() else { continue };
            decoder.push(&data);
            let broken = |fault| {
                log::warn!(upstream:% = order.target.upstream; "entry: a stream broke: {fault}");
                UpstreamFailure::Broken
            };
            while let Some(event) = decoder.next_event().map_err(broken)? {
                last = event.id.unwrap_or(last + 1);
                let Some(index) = last.checked_sub(1) else { return Err(UpstreamFailure::Broken) };
                let (attempt, request_id) = (attempt.clone(), request_id.clone());
                let token = FlowEvent::Token { attempt, index, request_id, text: event.text };
                if events.send(token).is_err() {
                    return Err(UpstreamFailure::Broken);
                }
            }
        }
        if !decoder.is_empty() {
            return Err(UpstreamFailure::Broken);
        }
        self.gateway.channels.give_back(channel, head.keep_alive);
        Ok(FlowEvent::RunEnded(attempt.clone(), last))
    }

    async fn read_buffered(
        &self,
        answer: UpstreamExchange,
        head: &ResponseHead,
        most: usize,
    ) -> Result<UpstreamResponse, UpstreamFailure> {
        let (reply, body, channel) = split_exchange(answer);
        let read = self.gateway.response_budget.read(body, most).await;
        let (body, room) = read.map_err(|fault| {
            if fault == BodyError::TooLarge {
                log::warn!("entry: an answer of {} is over {most} bytes", channel.address());
            }
            UpstreamFailure::Broken
        })?;
        self.gateway.channels.give_back(channel, head.keep_alive);
        Ok(UpstreamResponse { body, room, ..reply })
    }
}

impl UpstreamExecutor for ForwardExecutor {
    fn prefill<'a>(
        &'a self,
        site: &'a AttemptTarget,
    ) -> BoxFuture<'a, Result<KvHandle, UpstreamFailure>> {
        Box::pin(self.prefill_at(site))
    }

    fn run<'a>(
        &'a self,
        order: &'a RunRequest,
        events: &'a UnboundedSender<FlowEvent>,
    ) -> BoxFuture<'a, Result<FlowEvent, UpstreamFailure>> {
        Box::pin(async move {
            let last = self.run_at(order, events).await;
            match last {
                Err(UpstreamFailure::Broken) => Err(diagnose(order.target.address).await),
                last => last,
            }
        })
    }

    fn cancel<'a>(&'a self, _: &'a [SocketAddr], _: &'a AttemptId) -> BoxFuture<'a, bool> {
        // The connection has been closed with the attempt; what is left is an unused prompt.
        Box::pin(async {
            self.free_prefill_result().await;
            true
        })
    }
}

/// Finds out whether an upstream that broke a connection has died: then nothing listens there. Silence
/// may be the network's, so it does not count as a death.
async fn diagnose(address: SocketAddr) -> UpstreamFailure {
    match tokio::time::timeout(DIAGNOSIS_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => UpstreamFailure::Died,
        _ => UpstreamFailure::Broken,
    }
}

fn split_exchange(answer: UpstreamExchange) -> (UpstreamResponse, Incoming, PooledConnection) {
    let (parts, body) = answer.response.into_parts();
    let mut headers = parts.headers;
    drop_connection_headers(&mut headers);
    let reply = UpstreamResponse {
        body: Bytes::new(),
        headers,
        room: BodyReservation::default(),
        status: parts.status,
    };
    (reply, body, answer.channel)
}

fn failure_for(kind: ResponseKind) -> UpstreamFailure {
    match kind {
        ResponseKind::Full | ResponseKind::Declined => UpstreamFailure::Full,
        ResponseKind::Answer => UpstreamFailure::Failed,
        ResponseKind::Foreign => UpstreamFailure::Broken,
    }
}

impl std::fmt::Debug for ForwardExecutor {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ForwardExecutor({})", self.request.head.label)
    }
}

impl Gateway {
    /// Returns how many connections this daemon may have to an upstream.
    pub fn connection_limit(&self, upstream: &UpstreamName) -> usize {
        let service = lock(&self.registry).service_of(upstream);
        let routes = lock(&self.routes).current().cloned();
        let service = routes.zip(service).and_then(|(routes, name)| {
            routes.services.get(&name).map(|service| service.connection_limit)
        });
        ConnectionPool::per_host_limit(service.unwrap_or(1), self.host_count())
    }
}
