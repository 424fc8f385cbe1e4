//! Responses to callers: an upstream's response or a refusal.

use crate::prelude::*;
use crate::transport::gateway::bodies::BodyReservation;
use crate::transport::gateway::channels::UpstreamExchange;
use crate::transport::gateway::in_flight::RequestProgress;
use crate::transport::gateway::window::StreamWindow;
use crate::transport::requests::ResponsePart;
use bytes::Bytes;
use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};
use std::collections::BTreeSet;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::sync::mpsc::Receiver;

/// The `Retry-After` time of a refusal that names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How much of a buffered body is handed to the connection at once, in bytes. What a slow caller
/// has not read yet stays within its [`BodyReservation`].
const CHUNK_BYTES: usize = 64 * 1024;

/// A stream ended without its last event. The connection is closed before the end of the body, so
/// that the response does not look complete.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stream ended before its last event")]
pub struct TruncatedStream;

/// How a response ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseOutcome {
    /// The caller closed the connection or stopped acknowledging bytes.
    CallerDisconnected,
    /// The request was refused, or its stream was truncated.
    Refused(Refusal),
    /// The caller was sent the complete response.
    Complete,
}

/// Called once when a response has ended.
pub type CompletionHook = Box<dyn FnOnce(ResponseOutcome) + Send>;

/// The body of a response to a caller.
pub enum ResponseBody {
    /// The unsent rest of a complete body and the memory reserved for it.
    Buffered(Bytes, BodyReservation),
    /// The events of a stream as they arrive.
    Events {
        /// The first event, which has already arrived.
        first: Option<String>,
        /// Called once when the stream has ended.
        on_end: Option<CompletionHook>,
        /// The later events.
        parts: Receiver<ResponsePart>,
        /// Counts the events that the connection has taken.
        progress: RequestProgress,
        /// Bounds what is held of the stream.
        window: Arc<StreamWindow>,
    },
    /// The body of another host's response, as it arrives.
    Relayed {
        /// The rest of the body, and the connection that carries it.
        exchange: Box<UpstreamExchange>,
        /// Called once when the body has ended.
        on_end: Option<CompletionHook>,
    },
}

impl ResponseBody {
    /// Returns a body with a text of this daemon's own.
    pub fn from_text(text: String) -> Self {
        Self::Buffered(text.into(), BodyReservation::default())
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Self::Events { on_end, .. } | Self::Relayed { on_end, .. } = self
            && let Some(on_end) = on_end.take()
        {
            on_end(ResponseOutcome::CallerDisconnected);
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedStream;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        match self.get_mut() {
            Self::Buffered(bytes, _) => {
                let chunk = bytes.split_to(bytes.len().min(CHUNK_BYTES));
                Poll::Ready((!chunk.is_empty()).then(|| Ok(Frame::data(chunk))))
            }
            Self::Events { first, on_end, parts, progress, window } => {
                let frame = match first.take() {
                    Some(text) => Poll::Ready(Some(Ok(Frame::data(text.into())))),
                    None => poll_events(on_end, parts, context),
                };
                if let Poll::Ready(Some(Ok(frame))) = &frame {
                    window.release(frame.data_ref().map_or(0, Bytes::len));
                    progress.record_sent();
                }
                frame
            }
            Self::Relayed { exchange, on_end } => poll_relayed(exchange, on_end, context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(bytes, _) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes, _) => SizeHint::with_exact(bytes.len() as u64),
            Self::Events { .. } => SizeHint::default(),
            Self::Relayed { exchange, .. } => exchange.response.body().size_hint(),
        }
    }
}

fn poll_events(
    on_end: &mut Option<CompletionHook>,
    parts: &mut Receiver<ResponsePart>,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
    loop {
        let part = std::task::ready!(parts.poll_recv(context));
        let outcome = match part {
            Some(ResponsePart::Text(text)) => {
                return Poll::Ready(Some(Ok(Frame::data(text.into()))));
            }
            Some(ResponsePart::Opened | ResponsePart::Response(_)) => continue,
            Some(ResponsePart::Finished) => ResponseOutcome::Complete,
            Some(ResponsePart::Refused(refusal)) => ResponseOutcome::Refused(refusal),
            None => ResponseOutcome::Refused(request_task_lost()),
        };
        if let Some(on_end) = on_end.take() {
            on_end(outcome);
        }
        return Poll::Ready((outcome != ResponseOutcome::Complete).then_some(Err(TruncatedStream)));
    }
}

fn poll_relayed(
    exchange: &mut UpstreamExchange,
    on_end: &mut Option<CompletionHook>,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
    let frame = std::task::ready!(Pin::new(exchange.response.body_mut()).poll_frame(context));
    let outcome = match frame {
        Some(Ok(frame)) => return Poll::Ready(Some(Ok(frame))),
        Some(Err(_)) => ResponseOutcome::Refused(request_task_lost()),
        None => ResponseOutcome::Complete,
    };
    if let Some(on_end) = on_end.take() {
        on_end(outcome);
    }
    Poll::Ready((outcome != ResponseOutcome::Complete).then_some(Err(TruncatedStream)))
}

/// Returns the refusal of a request whose task ended without reporting an outcome.
pub fn request_task_lost() -> Refusal {
    Refusal::not_run(RefusalReason::UpstreamFailed).with_verdict(Verdict::MayHaveRun)
}

/// Returns the HTTP status of a refusal. Callers rely on the fact that only the statuses 404, 408,
/// 413, 421, 429 and 503 say that a request has not run.
pub fn status_of(refusal: &Refusal) -> StatusCode {
    match (refusal.verdict, refusal.reason) {
        (
            Verdict::NotRun,
            RefusalReason::AccountLimit | RefusalReason::AllotmentSpent | RefusalReason::Overloaded,
        ) => StatusCode::TOO_MANY_REQUESTS,
        (Verdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, RefusalReason::DeadlinePassed) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Returns the response for a refusal, with a `Retry-After` header if the request has not run.
pub fn refusal_response(refusal: &Refusal) -> Response<ResponseBody> {
    let mut response = text_response(status_of(refusal), &refusal.reason.to_string());
    if refusal.verdict == Verdict::NotRun {
        let wait = refusal.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        // Rounded up: a time of zero asks the caller to return at once, before its time has come.
        let seconds = format!("{:.3}", (wait.as_secs_f64() * 1_000.0).ceil() / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Returns a plain-text response of this daemon's own.
pub fn text_response(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from_text(format!("{text}\n")));
    *response.status_mut() = status;
    let media = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, media);
    response
}

/// Removes hop-by-hop headers, including those that the `Connection` header names.
pub fn drop_connection_headers(headers: &mut HeaderMap) {
    let named: BTreeSet<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        if let Ok(name) = HeaderName::try_from(name) {
            headers.remove(name);
        }
    }
    for name in [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ] {
        headers.remove(name);
    }
}
