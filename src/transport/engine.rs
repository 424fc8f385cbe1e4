//! The HTTP client for upstreams: prefill, decode, cancel, orders and plain calls. Engines speak
//! the OpenAI protocol with the extensions that vLLM publishes. See docs/PROTOCOL.md.

use crate::coordination::flow::{KvHandle, UpstreamFailure};
use crate::coordination::orders::{EngineOrder, FencingToken, ORDER_TIMEOUT, OrderOutcome};
use crate::coordination::tickets::StoredResponse;
use crate::prelude::*;
use crate::transport::client::{client_builder, read_bounded};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt};
use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use thiserror::Error;

/// Timeout for connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the confirmation of a cancel, and for the list of loaded adapters.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of one health probe.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(300);
/// How many health probes an upstream gets that gives no clear response.
const HEALTH_TRIES: u32 = 3;
/// The delay after a health probe without a clear response.
const HEALTH_BACKOFF: Duration = Duration::from_millis(100);
/// The largest body of a plain or forwarded response, in bytes.
const MAX_PLAIN_BYTES: usize = 16 * 1024 * 1024;
/// The largest response to a prefill, in bytes.
const MAX_PREFILL_BYTES: usize = 1024 * 1024;
/// The largest list of models, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// The most bytes without a blank line in a stream of events, which is aborted after them.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// An event of a streamed response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineEvent {
    /// An output token.
    Token {
        /// The request id that the engine wrote into the event.
        request_id: String,
        /// The position of the token in the response, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The response is complete and has this many tokens.
    End(u32),
}

/// A call to a plain service, passed on without a change.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The request body.
    pub body: Vec<u8>,
    /// The media type of the body, if the caller sent one.
    pub content_type: Option<String>,
    /// The HTTP method.
    pub method: String,
    /// The path with the query string.
    pub path: String,
}

/// The response of another entry to a forwarded call.
#[derive(Clone, Debug)]
pub struct ForwardedResponse {
    /// The status, media type and body of the response.
    pub response: StoredResponse,
    /// The refusal that the response reports, if any.
    pub refusal: Option<Refusal>,
    /// Whether the response is a stored one that was sent before.
    pub replayed: bool,
}

/// The headers that every call to an upstream carries.
#[derive(Clone, Debug)]
pub struct CallContext {
    /// The attempt id, which the upstream receives as the request id.
    pub attempt: AttemptId,
    /// The W3C trace context, if the request is traced.
    pub traceparent: Option<String>,
}

/// The HTTP clients for upstreams, one of them without pooled connections.
pub struct UpstreamClient {
    unpooled: Client,
    pooled: Client,
}

impl UpstreamClient {
    /// Builds the clients.
    ///
    /// # Errors
    ///
    /// Returns an error when a client cannot be built.
    pub fn new() -> Result<Self, reqwest::Error> {
        let builder = || client_builder().connect_timeout(CONNECT_TIMEOUT);
        // A pooled connection that the upstream has just closed fails after bytes were sent, so it
        // is not known whether the call ran.
        let unpooled = builder().pool_max_idle_per_host(0).build()?;
        let pooled = builder().pool_idle_timeout(Duration::from_secs(20)).build()?;
        Ok(Self { unpooled, pooled })
    }

    /// Computes the KV cache of a prompt and returns the handle under which the engine keeps it.
    ///
    /// # Errors
    ///
    /// Returns how the upstream failed.
    pub async fn prefill(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
        context: &CallContext,
    ) -> Result<KvHandle, UpstreamFailure> {
        let mut body = body.clone();
        body["max_tokens"] = json!(1);
        body["stream"] = json!(false);
        body["kv_transfer_params"] = json!({ "do_remote_decode": true });
        let request = self.request(&self.pooled, address, path, context).json(&body);
        let response = self.send_for_output(address, request).await?;
        let body = read_bounded(response, MAX_PREFILL_BYTES).await;
        let Some(value) = body.and_then(|body| serde_json::from_slice::<Value>(&body).ok()) else {
            return Err(self.diagnose(address).await);
        };
        match value.get("kv_transfer_params") {
            Some(handle) => Ok(KvHandle(handle.to_string())),
            None => Err(UpstreamFailure::Broken),
        }
    }

    /// Starts decoding from token `from` and returns the events of the response.
    ///
    /// # Errors
    ///
    /// Returns how the upstream failed before it responded.
    pub async fn decode(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
        handle: Option<&KvHandle>,
        from: u32,
        context: &CallContext,
    ) -> Result<impl Stream<Item = Result<EngineEvent, UpstreamFailure>> + use<>, UpstreamFailure>
    {
        let mut body = body.clone();
        body["stream"] = json!(true);
        if let Some(handle) = handle {
            body["kv_transfer_params"] = serde_json::from_str(&handle.0).unwrap_or(Value::Null);
        }
        if from > 0 {
            body["continue_from"] = json!(from);
        }
        let request = self.request(&self.pooled, address, path, context).json(&body);
        let response = self.send_for_output(address, request).await?;
        let events = limit_events(response.bytes_stream()).eventsource();
        Ok(events.filter_map(|event| async move {
            match event {
                Ok(event) => parse_event(&event.data),
                Err(_) => Some(Err(UpstreamFailure::Broken)),
            }
        }))
    }

    /// Makes a plain call on a new connection.
    ///
    /// # Errors
    ///
    /// Returns how the upstream failed.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &PlainCall,
        context: &CallContext,
    ) -> Result<StoredResponse, UpstreamFailure> {
        let method = call.method.parse().map_err(|_| UpstreamFailure::NothingSent)?;
        let url = format!("http://{address}{}", call.path);
        let mut request = with_context(self.unpooled.request(method, url), context);
        if let Some(media_type) = &call.content_type {
            request = request.header("Content-Type", media_type);
        }
        let response = self.send(address, request.body(call.body.clone())).await?;
        let status = response.status().as_u16();
        let media_type =
            response.headers().get("Content-Type").and_then(|value| value.to_str().ok());
        let content_type = media_type.unwrap_or("application/octet-stream").to_owned();
        match read_bounded(response, MAX_PLAIN_BYTES).await {
            Some(body) => Ok(StoredResponse { body: Some(body), content_type, status }),
            None => Err(self.diagnose(address).await),
        }
    }

    /// Forwards a call to the entry that holds its ticket; returns `None` if no valid response
    /// came.
    pub async fn forward(
        &self,
        url: &str,
        call: &PlainCall,
        bearer: Option<&str>,
        ticket: &str,
        timeout: Duration,
    ) -> Option<ForwardedResponse> {
        let method = call.method.parse().ok()?;
        let mut request = self
            .unpooled
            .request(method, url)
            .timeout(timeout)
            .header("Apricotrun-Forwarded", "1")
            .header("Apricotrun-Ticket", ticket)
            .bearer_auth(bearer.unwrap_or_default());
        if let Some(media_type) = &call.content_type {
            request = request.header("Content-Type", media_type);
        }
        let response = request.body(call.body.clone()).send().await.ok()?;
        read_forwarded(response).await
    }

    /// Cancels an attempt and returns whether the upstream confirmed that nothing of it is left.
    pub async fn cancel(&self, address: SocketAddr, attempt: &AttemptId) -> bool {
        let url = format!("http://{address}/abort_requests");
        let body = json!({ "request_ids": [attempt.to_string()] });
        let request = self.pooled.post(url).json(&body).timeout(CANCEL_TIMEOUT);
        matches!(request.send().await, Ok(response) if response.status().is_success())
    }

    /// Returns the LoRA adapters that an engine has loaded; `None` if it does not list them.
    pub async fn adapters(&self, address: SocketAddr) -> Option<BTreeSet<String>> {
        let request = self.pooled.get(format!("http://{address}/v1/models"));
        let response = request.timeout(CANCEL_TIMEOUT).send().await.ok()?;
        let body = read_bounded(response.error_for_status().ok()?, MAX_LIST_BYTES).await?;
        let body: Value = serde_json::from_slice(&body).ok()?;
        let models = body["data"].as_array()?;
        // Of the listed models, only adapters name a parent.
        let adapters = models.iter().filter(|model| !model["parent"].is_null());
        Some(adapters.filter_map(|model| model["id"].as_str().map(str::to_owned)).collect())
    }

    /// Sends an order to an engine, with the fencing token of the lease under which it is given.
    pub async fn send_order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        fence: FencingToken,
    ) -> OrderOutcome {
        let (path, body) = match order {
            EngineOrder::Load(adapter) => (
                "load_lora_adapter",
                json!({ "lora_name": adapter.name, "lora_path": adapter.path }),
            ),
            EngineOrder::Unload(name) => ("unload_lora_adapter", json!({ "lora_name": name })),
        };
        let request = self.unpooled.post(format!("http://{address}/v1/{path}")).json(&body);
        let request = request.header("X-Fencing-Number", fence.0).timeout(ORDER_TIMEOUT);
        match request.send().await {
            Ok(response) if response.status().is_success() => OrderOutcome::Done,
            Ok(response) if response.status().as_u16() == 412 => OrderOutcome::Stale,
            Ok(_) => OrderOutcome::Refused,
            Err(error) if error.is_connect() => OrderOutcome::Refused,
            Err(_) => OrderOutcome::Unknown,
        }
    }

    /// Finds out whether an upstream whose connection broke is still running. A process that is
    /// about to exit may still accept a connection, so a probe without a clear response is
    /// repeated; an upstream that never responds counts as dead.
    pub async fn diagnose(&self, address: SocketAddr) -> UpstreamFailure {
        for _ in 0..HEALTH_TRIES {
            let request = self.unpooled.get(format!("http://{address}/health"));
            match request.timeout(HEALTH_TIMEOUT).send().await {
                Ok(_) => return UpstreamFailure::Broken,
                Err(error) if error.is_connect() && !error.is_timeout() => {
                    return UpstreamFailure::Died;
                }
                Err(_) => tokio::time::sleep(HEALTH_BACKOFF).await,
            }
        }
        UpstreamFailure::Died
    }

    fn request(
        &self,
        client: &Client,
        address: SocketAddr,
        path: &str,
        context: &CallContext,
    ) -> RequestBuilder {
        with_context(client.post(format!("http://{address}{path}")), context)
    }

    /// Like [`UpstreamClient::send`], for a request whose output only status 200 brings.
    async fn send_for_output(
        &self,
        address: SocketAddr,
        request: RequestBuilder,
    ) -> Result<Response, UpstreamFailure> {
        let response = self.send(address, request).await?;
        if response.status().as_u16() != 200 {
            log::debug!("upstream: {address} answered with status {}", response.status());
            return Err(self.diagnose(address).await);
        }
        Ok(response)
    }

    async fn send(
        &self,
        address: SocketAddr,
        request: RequestBuilder,
    ) -> Result<Response, UpstreamFailure> {
        match request.send().await {
            Ok(response) if response.status().as_u16() == 429 => Err(UpstreamFailure::Full),
            Ok(response) if response.status().as_u16() == 503 => Err(UpstreamFailure::Full),
            // HTTP has no such status.
            Ok(response) if response.status().as_u16() >= 600 => Err(self.diagnose(address).await),
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() => Err(UpstreamFailure::NothingSent),
            Err(_) => Err(self.diagnose(address).await),
        }
    }
}

fn with_context(request: RequestBuilder, context: &CallContext) -> RequestBuilder {
    let request = request.header("X-Request-Id", context.attempt.to_string());
    match &context.traceparent {
        Some(traceparent) => request.header("traceparent", traceparent),
        None => request,
    }
}

async fn read_forwarded(response: Response) -> Option<ForwardedResponse> {
    let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
    let verdict: Verdict = header("Apricotrun-Verdict")?.parse().ok()?;
    let content_type = header("Content-Type").unwrap_or_default();
    let replayed = header("Apricotrun-Replayed").is_some();
    let status = response.status().as_u16();
    let body = read_bounded(response, MAX_PLAIN_BYTES).await?;
    let refusal = match content_type.as_str() {
        "application/problem+json" if verdict != Verdict::Ran => {
            Some(parse_refusal(&body, verdict)?)
        }
        _ => None,
    };
    // Status 204 stands for a response that was too large to store.
    let body = Some(body).filter(|_| status != 204);
    Some(ForwardedResponse {
        response: StoredResponse { body, content_type, status },
        refusal,
        replayed,
    })
}

fn parse_refusal(body: &[u8], verdict: Verdict) -> Option<Refusal> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let reason = serde_json::from_value(body["reason"].clone()).ok()?;
    let retry_after = body["retry_after_ms"].as_u64().map(Duration::from_millis);
    Some(Refusal { reason, retry_after, verdict })
}

/// An engine's stream of events is not read any further.
#[derive(Debug, Error)]
enum StreamError {
    #[error("the connection broke: {0}")]
    Broken(#[from] reqwest::Error),
    #[error("no event ends within {MAX_EVENT_BYTES} bytes")]
    TooLarge,
}

/// Passes a stream of events on until one is too large, before the parser holds it: its work grows with
/// the square of an event's size.
fn limit_events(
    parts: impl Stream<Item = Result<Bytes, reqwest::Error>>,
) -> impl Stream<Item = Result<Bytes, StreamError>> {
    let (mut unended, mut line_is_empty, mut after_return) = (0_usize, false, false);
    parts.map(move |part| {
        let part = part?;
        for byte in &part {
            unended += 1;
            match byte {
                b'\n' if after_return => {}
                b'\r' | b'\n' if line_is_empty => unended = 0,
                b'\r' | b'\n' => line_is_empty = true,
                _ => line_is_empty = false,
            }
            after_return = *byte == b'\r';
            if unended > MAX_EVENT_BYTES {
                return Err(StreamError::TooLarge);
            }
        }
        Ok(part)
    })
}

/// Parses one event; `None` for the `[DONE]` marker, which carries neither a token nor the end.
fn parse_event(data: &str) -> Option<Result<EngineEvent, UpstreamFailure>> {
    if data == "[DONE]" {
        return None;
    }
    let Ok(value) = serde_json::from_str::<Value>(data) else {
        return Some(Err(UpstreamFailure::Broken));
    };
    let choice = &value["choices"][0];
    if !choice["finish_reason"].is_null() {
        let total = value["usage"]["completion_tokens"].as_u64();
        return Some(
            total.map(|total| EngineEvent::End(total as u32)).ok_or(UpstreamFailure::Broken),
        );
    }
    let text = choice["text"].as_str().or(choice["delta"]["content"].as_str());
    let (Some(text), Some(index)) = (text, value["token_index"].as_u64()) else {
        return Some(Err(UpstreamFailure::Broken));
    };
    let id = value["id"].as_str().unwrap_or_default();
    let id = id.strip_prefix("cmpl-").or(id.strip_prefix("chatcmpl-")).unwrap_or(id);
    let (request_id, text) = (id.to_owned(), text.to_owned());
    Some(Ok(EngineEvent::Token { index: index as u32, request_id, text }))
}
