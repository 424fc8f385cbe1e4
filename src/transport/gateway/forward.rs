//! Sends a forwarded request to its upstreams and collects or relays the response.

use crate::coordination::flow::{FlowEvent, KvHandle, UpstreamFailure};
use crate::coordination::upstream_lifetimes::LifetimeReport;
use crate::prelude::*;
use crate::state::routes::RouteKind;
use crate::transport::gateway::accounts::CallerIdentity;
use crate::transport::gateway::bodies::{BodyError, BodyReservation, MAX_BUFFERED_BYTES};
use crate::transport::gateway::channels::{ConnectionPool, PooledConnection, UpstreamExchange};
use crate::transport::gateway::dialect::{
    InboundHead, OutboundHead, ResponseHead, ResponseKind, UpstreamStep,
};
use crate::transport::gateway::in_flight::RequestProgress;
use crate::transport::gateway::lifetimes::FirstWriter;
use crate::transport::gateway::relay::RelayOutcome;
use crate::transport::gateway::reply::drop_connection_headers;
use crate::transport::gateway::start::Gateway;
use crate::transport::gateway::stream::EventDecoder;
use crate::transport::gateway::window::StreamWindow;
use crate::transport::log_limiter::DecisionKind;
use crate::transport::node::lock;
use crate::transport::runs::{AttemptTarget, RunRequest, SendGate, UpstreamExecutor};
use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderMap, Method, Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use metrics::counter;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::task::JoinHandle;

/// The media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";
/// Timeout of the connection attempt that shows whether an upstream still listens.
const DIAGNOSIS_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of the connection attempt that confirms a response that ended with its connection. The kernel
/// repeats a lost first packet after 1 s.
const LISTENING_TIMEOUT: Duration = Duration::from_millis(1_500);
/// For how long a stream must have been left unread for its upstream to be excused when it breaks off.
const UNREAD_TIME: Duration = Duration::from_secs(1);
/// How long a prefill worker may take to free a result. The claim of the attempt, and with it room in its
/// decode worker, is held until then.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a run that goes on waits for what the upstream that began the stream says. Its first event
/// waits longer.
const WRITER_PATIENCE: Duration = Duration::from_millis(50);
/// Limit on response bodies that never reach the caller, in bytes: prefill results and refusals.
const MAX_SHORT_RESPONSE_BYTES: usize = 64 * 1024;

/// A caller's request after the gateway has read and stripped it.
#[derive(Clone, Debug)]
pub struct InboundRequest {
    /// The complete body, kept so that the request can be retried.
    pub body: Bytes,
    /// The fields of the headers that the gateway acts on.
    pub head: InboundHead,
    /// The client account of the caller; `None` if the route needs no key.
    pub identity: Option<CallerIdentity>,
    /// The headers that are forwarded, without hop-by-hop and internal ones.
    pub headers: HeaderMap,
    /// The method, forwarded unchanged.
    pub method: Method,
    /// Whether another host has passed the request on to this one.
    pub relayed: bool,
    /// The memory reserved for the body.
    pub reservation: BodyReservation,
    /// The revision of the configuration by which it was accepted.
    pub revision: Revision,
    /// Path and query, forwarded unchanged.
    pub uri: Uri,
}

/// An upstream's response as it is passed on to the caller.
#[derive(Clone, Debug)]
pub struct UpstreamResponse {
    /// The complete body; empty for a stream, whose events are relayed as they arrive.
    pub body: Bytes,
    /// The headers without hop-by-hop ones.
    pub headers: HeaderMap,
    /// The memory reserved for the body.
    pub reservation: BodyReservation,
    /// The status that the upstream sent.
    pub status: StatusCode,
}

/// The KV cache of a computed prompt, held by its prefill worker.
#[derive(Clone, Debug)]
struct PrefillResult {
    address: SocketAddr,
    handle: String,
    upstream: UpstreamName,
}

/// Runs the attempts of one forwarded request.
pub struct ForwardExecutor {
    /// The question which process of the upstream begins the stream, until its answer is used.
    confirmation: Mutex<Option<JoinHandle<()>>>,
    /// The upstream at which this daemon began the stream, if it did.
    first_writer: Arc<Mutex<Option<FirstWriter>>>,
    /// Whether an event of the stream has been relayed.
    has_relayed: AtomicBool,
    gateway: Arc<Gateway>,
    /// The prefill result that no decode worker has fetched yet.
    prefill_result: Mutex<Option<PrefillResult>>,
    kind: RouteKind,
    progress: RequestProgress,
    response: Mutex<Option<UpstreamResponse>>,
    request: InboundRequest,
    service: ServiceName,
    /// What upstreams are told of the request's urgency.
    urgency: Option<UrgencyRank>,
    /// Bounds what is held of a stream for the caller.
    window: Arc<StreamWindow>,
    /// The question to the upstream that began the stream, until its answer is used.
    writer_check: Mutex<Option<JoinHandle<bool>>>,
}

impl ForwardExecutor {
    /// Returns an executor that has sent nothing yet.
    pub fn new(
        gateway: Arc<Gateway>,
        kind: RouteKind,
        service: ServiceName,
        request: InboundRequest,
        urgency: Option<UrgencyRank>,
        progress: RequestProgress,
    ) -> Self {
        let window = Arc::new(StreamWindow::new(gateway.stream_window));
        Self {
            window,
            confirmation: Mutex::new(None),
            first_writer: Arc::default(),
            has_relayed: AtomicBool::new(false),
            gateway,
            prefill_result: Mutex::new(None),
            kind,
            progress,
            response: Mutex::new(None),
            request,
            service,
            urgency,
            writer_check: Mutex::new(None),
        }
    }

    /// Returns a refusal that names no earlier retry time than the one at which an upstream takes
    /// requests again, if all have asked this daemon to wait.
    pub fn respect_quiet(&self, refusal: Refusal) -> Refusal {
        let quiet = self.gateway.refuse_while_quiet(&self.service);
        match quiet.filter(|_| refusal.verdict == Verdict::NotRun) {
            Some(quiet) => {
                Refusal { retry_after: refusal.retry_after.max(quiet.retry_after), ..refusal }
            }
            None => refusal,
        }
    }

    /// Passes the request on to another host if it has run nowhere and this host reaches no
    /// upstream.
    pub async fn pass_on(&self, refusal: &Refusal, deadline: Instant) -> RelayOutcome {
        let has_run = refusal.verdict != Verdict::NotRun;
        let is_stopping = self.kind.is_stream() && self.gateway.node.stop.borrow().is_some();
        if has_run || is_stopping || self.request.relayed || !self.gateway.paths.is_isolated() {
            return RelayOutcome::NoHost;
        }
        self.gateway.relay(&self.request, deadline).await
    }

    /// Returns the window of the stream, whose bytes are released as the caller takes them.
    pub fn window(&self) -> Arc<StreamWindow> {
        self.window.clone()
    }

    /// Returns the upstream's response as far as it has been received.
    pub fn response(&self) -> Option<UpstreamResponse> {
        lock(&self.response).clone()
    }

    async fn send(
        &self,
        target: &AttemptTarget,
        step: UpstreamStep<'_>,
        connection: Option<PooledConnection>,
    ) -> Result<(UpstreamExchange, ResponseHead), UpstreamFailure> {
        if self.gateway.paths.is_isolated() {
            return Err(UpstreamFailure::Withheld);
        }
        let now = self.gateway.node.clock.now();
        // The upstream may have started to drain while the request was queued.
        let incarnation = self.gateway.check_upstream(now, &target.upstream)?;
        let timeout = target.deadline.saturating_duration_since(now);
        let dialect = &self.gateway.dialect;
        let account = self.request.identity.as_ref().map(|identity| &identity.account.name);
        let (urgency, upstream) = (self.urgency, &target.upstream);
        let outbound = OutboundHead { account, timeout, step, upstream, urgency };
        let mut headers = self.request.headers.clone();
        dialect.write_request(&outbound, &mut headers);
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.uri.clone();
        *request.headers_mut() = headers;
        let limit = self.gateway.connection_limit(&target.upstream);
        let key = (target.address, target.upstream.clone());
        let exchange = match connection {
            Some(connection) => ConnectionPool::send_on(connection, request, &target.gate).await?,
            None => self.gateway.connections.send(&key, limit, request, &target.gate).await?,
        };
        let (parts, body) = exchange.response.into_parts();
        let head = dialect.read_response(&self.request.head.request_id, step, &parts);
        self.gateway.record_notices(now, &target.upstream, incarnation, &head);
        let response = http::Response::from_parts(parts, body);
        Ok((UpstreamExchange { connection: exchange.connection, response }, head))
    }

    /// Has the upstream asked that begins the stream which process it is, unless its connection shows it.
    fn confirm_writer(&self, writer: FirstWriter, lifetime: Arc<OnceLock<LifetimeReport>>) {
        let (gateway, request) = (self.gateway.clone(), self.request.head.request_id.clone());
        let first_writer = self.first_writer.clone();
        let task = tokio::spawn(async move {
            let doubtful = gateway.confirm_writer(&request, writer, &lifetime).await;
            if doubtful.is_some() {
                *lock(&first_writer) = doubtful;
            }
        });
        *lock(&self.confirmation) = Some(task);
    }

    /// Asks the upstream that began the stream, if the caller has events of it, which process it is. It has
    /// often ended and does not answer, so it is asked ahead of the run that goes on.
    fn ask_writer(&self) {
        let mut check = lock(&self.writer_check);
        let writer = lock(&self.first_writer).clone();
        let Some(writer) = writer.filter(|_| self.has_relayed.load(Ordering::Relaxed)) else {
            return;
        };
        if check.is_none() {
            let (gateway, request) = (self.gateway.clone(), self.request.head.request_id.clone());
            *check =
                Some(tokio::spawn(async move { gateway.check_writer(&request, &writer).await }));
        }
    }

    /// Returns whether the upstream that began the stream is known, within `patience`, to have been another
    /// process than its record said.
    async fn is_writer_refuted(&self, patience: Duration) -> bool {
        let confirmation = lock(&self.confirmation).take();
        if let Some(mut confirmation) = confirmation
            && tokio::time::timeout(patience, &mut confirmation).await.is_err()
        {
            *lock(&self.confirmation) = Some(confirmation);
        }
        let is_doubtful = lock(&self.first_writer)
            .as_ref()
            .is_some_and(|writer| writer.origin.beginning.is_doubtful());
        if is_doubtful && self.has_relayed.load(Ordering::Relaxed) {
            return true;
        }
        let Some(mut check) = lock(&self.writer_check).take() else { return false };
        match tokio::time::timeout(patience, &mut check).await {
            Ok(answer) => answer.unwrap_or(false),
            Err(_) => {
                *lock(&self.writer_check) = Some(check);
                false
            }
        }
    }

    async fn prefill_at(&self, target: &AttemptTarget) -> Result<KvHandle, UpstreamFailure> {
        self.ask_writer();
        let (exchange, head) = self.send(target, UpstreamStep::Prefill, None).await?;
        let status = exchange.response.status();
        let address = exchange.connection.address();
        let body = self.read_buffered(exchange, &head, MAX_SHORT_RESPONSE_BYTES).await?.body;
        if head.kind != ResponseKind::Matching {
            return Err(failure_for(head.kind));
        }
        let handle = match status {
            StatusCode::OK => self.gateway.dialect.read_handle(&body),
            _ => None,
        };
        match handle {
            Some(handle) => {
                let location = KvHandle(format!("{address}/{handle}"));
                let upstream = target.upstream.clone();
                *lock(&self.prefill_result) = Some(PrefillResult { address, handle, upstream });
                Ok(location)
            }
            None => Err(UpstreamFailure::Failed),
        }
    }

    async fn run_at(
        &self,
        run: &RunRequest,
        events: &Sender<FlowEvent>,
    ) -> Result<FlowEvent, UpstreamFailure> {
        let handle = run.handle.as_ref().map(|handle| handle.0.as_str());
        let step = UpstreamStep::Run { resume_after: run.first_token, handle };
        let goes_on = self.kind.is_stream() && run.first_token > 0;
        let mut connection = None;
        if goes_on {
            self.ask_writer();
            connection = self.gateway.check_continuation(run).await?;
            if self.is_writer_refuted(WRITER_PATIENCE).await {
                return Err(UpstreamFailure::Withheld);
            }
        }
        let begins = !goes_on && self.kind.is_resumable();
        let writer = begins.then(|| self.gateway.describe_writer(run));
        let (exchange, head) = self.send(&run.target, step, connection).await?;
        if let Some(writer) = writer {
            let writer = self.gateway.keep_writer(&self.request.head.request_id, writer);
            *lock(&self.first_writer) = Some(writer.clone());
            self.confirm_writer(writer, exchange.connection.lifetime.clone());
        }
        if head.kind != ResponseKind::Matching {
            if head.kind != ResponseKind::Foreign {
                self.read_buffered(exchange, &head, MAX_SHORT_RESPONSE_BYTES).await?;
            }
            return Err(failure_for(head.kind));
        }
        // The decode worker has fetched the result, and the prefill worker no longer holds it.
        lock(&self.prefill_result).take();
        if goes_on && self.is_writer_refuted(Duration::MAX).await {
            return Err(UpstreamFailure::Failed);
        }
        let status = exchange.response.status();
        let is_stream = status == StatusCode::OK && is_event_stream(exchange.response.headers());
        if self.kind.is_stream() && is_stream {
            return self.relay(run, exchange, &head, events).await;
        }
        if self.kind.is_stream() {
            self.log_other_answer(run, status);
        }
        let response = self.read_buffered(exchange, &head, MAX_BUFFERED_BYTES).await?;
        if !self.has_begun(run) {
            *lock(&self.response) = Some(response);
        }
        if status.is_server_error() && self.kind.is_retryable() {
            return Err(UpstreamFailure::Failed);
        }
        let attempt = run.target.context.attempt.clone();
        Ok(match status.is_server_error() {
            true => FlowEvent::ErrorResponseReceived(attempt),
            false => FlowEvent::ResponseReceived(attempt),
        })
    }

    /// Returns whether the caller had been sent events of the stream when the run was started.
    fn has_begun(&self, run: &RunRequest) -> bool {
        run.first_token > self.request.head.resume_after
    }

    fn log_other_answer(&self, run: &RunRequest, status: StatusCode) {
        counter!("apricotrun_stream_ends_total", "end" => "other-answer").increment(1);
        if self.gateway.node.log_limiter.permits(DecisionKind::Lost) {
            log::info!(
                request = self.request.head.request_id.as_str(), upstream:% = run.target.upstream,
                status = status.as_u16(), after = run.first_token;
                "entry: an upstream answered without a stream"
            );
        }
    }

    fn log_doubtful_end(&self, upstream: SocketAddr, doubt: &str) {
        counter!("apricotrun_doubtful_ends_total").increment(1);
        if self.gateway.node.log_limiter.permits(DecisionKind::Lost) {
            log::info!(
                request = self.request.head.request_id.as_str(), upstream:%, doubt;
                "entry: a response that ended with its connection is not taken for complete"
            );
        }
    }

    /// Frees a prefill result that will not be fetched, before its worker evicts it.
    async fn free_prefill_result(&self) {
        let Some(result) = lock(&self.prefill_result).take() else { return };
        let now = self.gateway.node.clock.now();
        if lock(&self.gateway.registry).is_quiet(now, &result.upstream) {
            return;
        }
        let path = self.gateway.dialect.handle_path(&result.handle);
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = Method::DELETE;
        match path.parse() {
            Ok(uri) => *request.uri_mut() = uri,
            Err(error) => {
                return log::warn!(
                    "entry: the prefill result at {} cannot be freed: {error}",
                    result.upstream
                );
            }
        }
        let limit = self.gateway.connection_limit(&result.upstream);
        let key = (result.address, result.upstream);
        let gate = SendGate::default();
        let freed = self.gateway.connections.send(&key, limit, request, &gate);
        match tokio::time::timeout(FREE_TIMEOUT, freed).await {
            Ok(Ok(_)) => {}
            Ok(Err(failure)) => {
                log::debug!(
                    "entry: the prefill result at {} is left to expire: {failure:?}",
                    key.1
                );
            }
            Err(_) => log::debug!("entry: {} frees no prefill result, which expires", key.1),
        }
    }

    /// Relays the events of a stream as they arrive.
    async fn relay(
        &self,
        run: &RunRequest,
        exchange: UpstreamExchange,
        head: &ResponseHead,
        events: &Sender<FlowEvent>,
    ) -> Result<FlowEvent, UpstreamFailure> {
        let attempt = &run.target.context.attempt;
        let request_id = attempt.to_string();
        let framed = is_framed(&exchange);
        let (response, mut body, connection) = self.split_exchange(exchange);
        if !self.has_begun(run) {
            *lock(&self.response) = Some(response);
        }
        self.window.reset();
        let mut decoder = EventDecoder::default();
        let mut previous = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| self.broken_stream())?;
            let Ok(data) = frame.into_data() else { continue };
            decoder.push(&data);
            let broken = |error| {
                log::warn!(
                    upstream:% = run.target.upstream;
                    "entry: invalid event stream: {error}"
                );
                UpstreamFailure::Broken
            };
            while let Some(event) = decoder.next_event().map_err(broken)? {
                if event.id <= previous {
                    return Err(UpstreamFailure::Broken);
                }
                previous = event.id;
                if previous <= run.first_token {
                    // The caller has it from an earlier run. It would take a place in the window that no
                    // caller frees.
                    counter!("apricotrun_foreign_tokens_dropped_total").increment(1);
                    continue;
                }
                let index = previous - 1;
                let (attempt, request_id) = (attempt.clone(), request_id.clone());
                // A full queue has events that the request has yet to handle, and one that has ended
                // needs no word.
                let tell = || drop(events.try_send(FlowEvent::CallerBehind(attempt.clone())));
                let clock = &*self.gateway.node.clock;
                self.window.acquire(clock, event.text.len(), tell).await;
                let token = FlowEvent::Token { attempt, index, request_id, text: event.text };
                if events.send(token).await.is_err() {
                    return Err(UpstreamFailure::Broken);
                }
                self.progress.record_event(clock.now());
                self.has_relayed.store(true, Ordering::Relaxed);
            }
        }
        let last = if previous == 0 { run.first_token } else { previous };
        let wrote_event = last > run.first_token;
        if !decoder.is_empty() || !wrote_event && decoder.has_other_text() {
            return Err(self.broken_stream());
        }
        self.end_response(framed, wrote_event, connection, head).await?;
        self.progress.record_upstream_end();
        let end = if framed { "framed" } else { "connection" };
        counter!("apricotrun_stream_ends_total", "end" => end).increment(1);
        Ok(FlowEvent::RunEnded(attempt.clone(), last))
    }

    /// Returns why a stream broke off: upstreams end a response that is not read for seconds.
    fn broken_stream(&self) -> UpstreamFailure {
        match self.window.longest_wait() >= UNREAD_TIME {
            true => UpstreamFailure::Unread,
            false => UpstreamFailure::Broken,
        }
    }

    fn split_exchange(
        &self,
        exchange: UpstreamExchange,
    ) -> (UpstreamResponse, Incoming, PooledConnection) {
        let (parts, body) = exchange.response.into_parts();
        let mut headers = parts.headers;
        drop_connection_headers(&mut headers);
        self.gateway.dialect.strip_response(&mut headers);
        let response = UpstreamResponse {
            body: Bytes::new(),
            headers,
            reservation: BodyReservation::default(),
            status: parts.status,
        };
        (response, body, exchange.connection)
    }

    async fn read_buffered(
        &self,
        exchange: UpstreamExchange,
        head: &ResponseHead,
        limit: usize,
    ) -> Result<UpstreamResponse, UpstreamFailure> {
        let framed = is_framed(&exchange);
        let (response, body, connection) = self.split_exchange(exchange);
        let read = self.gateway.response_budget.read(body, limit).await;
        let (body, reservation) = read.map_err(|error| {
            if error == BodyError::TooLarge {
                log::warn!(
                    "entry: the response of {} is larger than {limit} bytes",
                    connection.address()
                );
            }
            UpstreamFailure::Broken
        })?;
        let has_body = !body.is_empty() || !response.status.is_success();
        self.end_response(framed, has_body, connection, head).await?;
        Ok(UpstreamResponse { body, reservation, ..response })
    }

    /// Ends the use of a connection after a complete response. The end of the connection alone does
    /// not show that a response without a length is complete: a crash ends it too. A success of which
    /// only the head has come is therefore taken for broken off.
    async fn end_response(
        &self,
        framed: bool,
        has_body: bool,
        connection: PooledConnection,
        head: &ResponseHead,
    ) -> Result<(), UpstreamFailure> {
        if framed {
            self.gateway.connections.release(connection, head.keep_alive);
            return Ok(());
        }
        if !has_body {
            self.log_doubtful_end(connection.address(), "no byte of its body has come");
            return Err(UpstreamFailure::Broken);
        }
        let address = connection.address();
        if connection.has_unwritten_request() {
            // An upstream that closes its connection then resets it as well.
            self.log_doubtful_end(address, "the request is still being written");
            return Err(UpstreamFailure::Broken);
        }
        let listens = tokio::time::timeout(LISTENING_TIMEOUT, TcpStream::connect(address)).await;
        if matches!(listens, Ok(Ok(_))) {
            return Ok(());
        }
        // Its process or its path may have ended before the response did.
        self.log_doubtful_end(address, "its upstream cannot be reached");
        Err(UpstreamFailure::Broken)
    }
}

impl UpstreamExecutor for ForwardExecutor {
    fn prefill<'a>(
        &'a self,
        target: &'a AttemptTarget,
    ) -> BoxFuture<'a, Result<KvHandle, UpstreamFailure>> {
        Box::pin(self.prefill_at(target))
    }

    fn run<'a>(
        &'a self,
        run: &'a RunRequest,
        events: &'a Sender<FlowEvent>,
    ) -> BoxFuture<'a, Result<FlowEvent, UpstreamFailure>> {
        Box::pin(async move {
            let last = self.run_at(run, events).await;
            match last {
                // Without a path, a refused connection does not show that the upstream has died.
                Err(UpstreamFailure::Broken) if !self.gateway.paths.is_isolated() => {
                    Err(diagnose(run.target.address).await)
                }
                last => last,
            }
        })
    }

    fn cancel<'a>(&'a self, _: &'a [SocketAddr], _: &'a AttemptId) -> BoxFuture<'a, bool> {
        // The connection was closed with the attempt, so only an unused prefill result is left.
        Box::pin(async {
            self.free_prefill_result().await;
            true
        })
    }
}

/// Finds out whether an upstream that broke a connection has died: then connections to its port are
/// refused. A timeout may be the network's fault and does not count as a death.
async fn diagnose(address: SocketAddr) -> UpstreamFailure {
    match tokio::time::timeout(DIAGNOSIS_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => UpstreamFailure::Died,
        _ => UpstreamFailure::Broken,
    }
}

/// Returns whether the end of a response is part of it; otherwise it ends with its connection. Of the
/// transfer codings only `chunked` has an end, and a length beside any coding says nothing.
fn is_framed(exchange: &UpstreamExchange) -> bool {
    let headers = exchange.response.headers();
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let has_end = match codings {
        Some(codings) => codings.to_str().is_ok_and(ends_with_chunked),
        None => headers.contains_key(header::CONTENT_LENGTH),
    };
    has_end || exchange.response.body().is_end_stream()
}

fn ends_with_chunked(codings: &str) -> bool {
    let last = codings.rsplit(',').next().unwrap_or_default();
    last.trim().eq_ignore_ascii_case("chunked")
}

/// Returns whether a response holds events. One that names no media type is what its route says.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let media = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let essence = media.and_then(|media| media.split(';').next());
    essence.is_none_or(|essence| essence.trim().eq_ignore_ascii_case(EVENT_STREAM))
}

fn failure_for(kind: ResponseKind) -> UpstreamFailure {
    match kind {
        ResponseKind::Full | ResponseKind::Declined => UpstreamFailure::Full,
        ResponseKind::Matching | ResponseKind::Unclear => UpstreamFailure::Failed,
        ResponseKind::Foreign => UpstreamFailure::Broken,
    }
}

impl std::fmt::Debug for ForwardExecutor {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ForwardExecutor({})", self.request.head.request_id)
    }
}

impl Gateway {
    /// Returns how many connections this daemon may have open to an upstream.
    pub fn connection_limit(&self, upstream: &UpstreamName) -> usize {
        let service = lock(&self.registry).service_of(upstream);
        let routes = lock(&self.routes).current().cloned();
        let service = routes.zip(service).and_then(|(routes, name)| {
            routes.services.get(&name).map(|service| service.connection_limit)
        });
        ConnectionPool::per_host_limit(service.unwrap_or(1), self.sharing_hosts())
    }
}
